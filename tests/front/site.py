"""Fronts as processes of their own, scripted servers and viewers on one loop, on loopback sockets."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

from lemonhall.boxlist import Box, State, Update, delimit
from lemonhall.loop import Handler, Loop, Stream, listen
from lemonhall.rtsp import rtp
from tests.front.world import TERMS, Client, ScriptedBox, Server

WAIT_S = 40.0  # far more than anything takes, also where others keep the machine busy
EVERY_S = 0.01  # a packet of each session


class ListService(Handler):
    """One full list to whoever asks, then silence."""

    def __init__(self, loop: Loop, boxes: list[ScriptedBox]) -> None:
        self.loop, self.boxes, self.streams = loop, boxes, list[Stream]()
        self.listener = listen(loop, ("127.0.0.1", 0), self.accept)
        self.port = self.listener.getsockname()[1]

    def accept(self, sock: object, _: object) -> None:
        stream = Stream(self.loop, sock, self)  # type: ignore[arg-type]
        lines = [
            Box(id=b.ident, address=f"127.0.0.1:{b.port}", weight=1.0, state=State.READY) for b in self.boxes
        ]
        body = delimit(Update(version=1, full=True, boxes=lines))
        stream.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/x-protobuf\r\n\r\n" + body)
        self.streams.append(stream)


class Site:
    def __init__(self, folder: Path, terms: str = TERMS, fields: str = "") -> None:
        self.folder, self.loop, self.fields = folder, Loop(), fields
        self.boxes = [ScriptedBox(self.loop, n + 1) for n in range(2)]
        for box in self.boxes:
            box.script["PLAY"] = self.play
        self.list = ListService(self.loop, self.boxes)
        self.flowing: list[Server] = []
        self.clients: list[tuple[Client, str]] = []
        self.processes: list[subprocess.Popen[str]] = []
        self.write("front.kdl", terms)
        self.loop.call_later(EVERY_S, self.flow)

    def write(self, name: str, terms: str, store: str = 'store "front.store" size=(MB)4') -> Path:
        path = self.folder / name
        path.write_text(
            terms
            + f"""front "f0" hall="hall-a" seed=3 listen="127.0.0.1:0" guard="front.guard" {self.fields} {{
    boxes "http://127.0.0.1:{self.list.port}/boxes"
    {store}
}}
"""
        )
        return path

    def play(self, conn: Server, request: object) -> None:
        conn.reply(request, 200, "Session: s")  # type: ignore[arg-type]
        conn.media()
        self.flowing.append(conn)

    def flow(self) -> None:
        for conn in self.flowing:
            if conn.open:
                conn.media()
        self.loop.call_later(EVERY_S, self.flow)

    def until(self, condition: Callable[[], object], within_s: float = WAIT_S) -> None:
        over: list[bool] = []
        timer = self.loop.call_later(within_s, over.append, True)
        self.loop.run(until=lambda: bool(over) or bool(condition()))
        timer.cancel()
        assert condition(), f"not within {within_s} s"

    def serve(self, *words: str, settings: str = "front.kdl") -> subprocess.Popen[str]:
        log = open(self.folder / f"log-{len(self.processes)}", "w")  # noqa: SIM115
        child = subprocess.Popen(
            [sys.executable, "-m", "lemonhall", "--log-format", "json", "serve"]
            + [str(self.folder / settings), *words],
            stdout=subprocess.PIPE,
            stderr=log,
            stdin=subprocess.DEVNULL,
            text=True,
        )
        log.close()
        self.processes.append(child)
        return child

    def started(self, child: subprocess.Popen[str]) -> tuple[str, int]:
        """Where it serves, once it says so; media flow meanwhile."""
        said: list[str] = []
        assert child.stdout
        out = child.stdout

        def on_ready(_: int) -> None:
            self.loop.watch_socket(out, 0, on_ready)
            said.append(out.readline())

        self.loop.watch_socket(out, 1, on_ready)
        self.until(lambda: said)
        host, _, port = json.loads(said[0])["serving"].rpartition(":")
        return host, int(port)

    def ended(self, child: subprocess.Popen[str]) -> int:
        self.until(lambda: child.poll() is not None)
        return child.returncode

    def viewer(self, at: tuple[str, int], path: str, claim: str = "") -> tuple[Client, int, str]:
        client = Client(self.loop, at)
        transport = ("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1")
        more = [("X-Claim", claim)] if claim else []
        cseq = client.send("SETUP", f"{path}/trackID=0", transport, *more)
        self.until(lambda: client.answers_to(cseq))
        answer = client.answers[-1]
        assert answer.status == 200
        cseq = client.send("PLAY", path, ("Session", answer.session))
        self.until(lambda: client.answers_to(cseq))
        status = client.answers[-1].status
        if status == 200:
            self.clients.append((client, answer.session))
        else:
            client.stream.abort()
        return client, status, answer.headers.get("X-Claim")

    def playing(self, at: tuple[str, int], count: int) -> None:
        for n in range(count):
            assert self.viewer(at, f"/browse/{n}")[1] == 200
        self.until(lambda: all(c.media for c, _ in self.clients))

    def open(self) -> list[Client]:
        return [c for c, _ in self.clients if c.stream.open]

    def no_gap(self, clients: list[Client]) -> None:
        """From here on a packet more for each, and from the first to the last none is missing."""
        had = {id(c): len(c.media) for c in clients}
        self.until(lambda: all(len(c.media) > had[id(c)] for c in clients))
        for client in clients:
            sequences = [rtp.parse_rtp(data).sequence for _, data in client.media]
            assert sequences == list(range(sequences[0], sequences[0] + len(sequences)))

    def close(self) -> None:
        for child in self.processes:
            if child.poll() is None:
                child.kill()
            child.wait()
            if child.stdout:
                child.stdout.close()
        for stream in [*(c.stream for c, _ in self.clients), *self.list.streams]:
            if stream.open:
                stream.abort()
        for box in self.boxes:
            for conn in box.conns:
                if conn.stream.open:
                    conn.stream.abort()
            box.shut()
        self.loop.watch_socket(self.list.listener, 0, lambda _: None)
        self.list.listener.close()
        self.loop.close()
