"""Test harness: fronts as separate processes; scripted servers and viewers on one event loop, on loopback."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

from lemonhall.boxlist import Box, State, Update, encode_delimited
from lemonhall.loop import Handler, Loop, Stream, listen
from lemonhall.rtsp import rtp
from tests.front.harness import TERMS, Client, ScriptedServer, ServerConnection

TIMEOUT_S = 40.0  # far more than any step takes, also on a busy machine
PACKET_INTERVAL_S = 0.01  # between packets of each session


class ListService(Handler):
    """Sends one full server list to each client, then nothing more."""

    def __init__(self, loop: Loop, servers: list[ScriptedServer]) -> None:
        self.loop, self.scripted_servers, self.streams = loop, servers, list[Stream]()
        self.listener = listen(loop, ("127.0.0.1", 0), self.accept)
        self.port = self.listener.getsockname()[1]

    def accept(self, sock: object, _: object) -> None:
        stream = Stream(self.loop, sock, self)  # type: ignore[arg-type]
        entries = [
            Box(id=s.server_id, address=f"127.0.0.1:{s.port}", weight=1.0, state=State.READY)
            for s in self.scripted_servers
        ]
        body = encode_delimited(Update(version=1, full=True, boxes=entries))
        stream.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/x-protobuf\r\n\r\n" + body)
        self.streams.append(stream)


class ProcessHarness:
    def __init__(self, folder: Path, terms: str = TERMS, options: str = "") -> None:
        self.folder, self.loop, self.options = folder, Loop(), options
        self.scripted_servers = [ScriptedServer(self.loop, n + 1) for n in range(2)]
        for server in self.scripted_servers:
            server.script["PLAY"] = self.on_play
        self.list = ListService(self.loop, self.scripted_servers)
        self.streaming: list[ServerConnection] = []
        self.clients: list[tuple[Client, str]] = []
        self.processes: list[subprocess.Popen[str]] = []
        self.write_settings("front.kdl", terms)
        self.loop.call_later(PACKET_INTERVAL_S, self.send_media)

    def write_settings(self, name: str, terms: str, store: str = 'store "front.store" size=(MB)4') -> Path:
        path = self.folder / name
        path.write_text(
            terms
            + f"""front "f0" hall="hall-a" seed=3 listen="127.0.0.1:0" guard="front.guard" {self.options} {{
    boxes "http://127.0.0.1:{self.list.port}/boxes"
    {store}
}}
"""
        )
        return path

    def on_play(self, connection: ServerConnection, request: object) -> None:
        connection.reply(request, 200, "Session: s")  # type: ignore[arg-type]
        connection.media()
        self.streaming.append(connection)

    def send_media(self) -> None:
        for connection in self.streaming:
            if connection.open:
                connection.media()
        self.loop.call_later(PACKET_INTERVAL_S, self.send_media)

    def run_until(self, condition: Callable[[], object], timeout_s: float = TIMEOUT_S) -> None:
        expired: list[bool] = []
        timer = self.loop.call_later(timeout_s, expired.append, True)
        self.loop.run(until=lambda: bool(expired) or bool(condition()))
        timer.cancel()
        assert condition(), f"condition not met within {timeout_s} s"

    def start_front(self, *arguments: str, settings: str = "front.kdl") -> subprocess.Popen[str]:
        log = open(self.folder / f"log-{len(self.processes)}", "w")  # noqa: SIM115
        child = subprocess.Popen(
            [sys.executable, "-m", "lemonhall", "--log-format", "json", "serve"]
            + [str(self.folder / settings), *arguments],
            stdout=subprocess.PIPE,
            stderr=log,
            stdin=subprocess.DEVNULL,
            text=True,
        )
        log.close()
        self.processes.append(child)
        return child

    def serving_address(self, child: subprocess.Popen[str]) -> tuple[str, int]:
        """Waits until the front prints the address it serves at; media flow meanwhile."""
        output: list[str] = []
        assert child.stdout
        stdout = child.stdout

        def on_ready(_: int) -> None:
            self.loop.watch_socket(stdout, 0, on_ready)
            output.append(stdout.readline())

        self.loop.watch_socket(stdout, 1, on_ready)
        self.run_until(lambda: output)
        host, _, port = json.loads(output[0])["serving"].rpartition(":")
        return host, int(port)

    def exit_status(self, child: subprocess.Popen[str]) -> int:
        self.run_until(lambda: child.poll() is not None)
        return child.returncode

    def start_session(self, address: tuple[str, int], path: str, claim: str = "") -> tuple[Client, int, str]:
        client = Client(self.loop, address)
        transport = ("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1")
        more = [("X-Claim", claim)] if claim else []
        cseq = client.send("SETUP", f"{path}/trackID=0", transport, *more)
        self.run_until(lambda: client.answers_to(cseq))
        answer = client.answers[-1]
        assert answer.status == 200
        cseq = client.send("PLAY", path, ("Session", answer.session))
        self.run_until(lambda: client.answers_to(cseq))
        status = client.answers[-1].status
        if status == 200:
            self.clients.append((client, answer.session))
        else:
            client.stream.abort()
        return client, status, answer.headers.get("X-Claim")

    def play_sessions(self, address: tuple[str, int], count: int) -> None:
        for n in range(count):
            assert self.start_session(address, f"/browse/{n}")[1] == 200
        self.run_until(lambda: all(c.media for c, _ in self.clients))

    def open_clients(self) -> list[Client]:
        return [c for c, _ in self.clients if c.stream.open]

    def assert_no_gap(self, clients: list[Client]) -> None:
        """Waits for one more packet to each client; no sequence number may be missing from the first on."""
        before = {id(c): len(c.media) for c in clients}
        self.run_until(lambda: all(len(c.media) > before[id(c)] for c in clients))
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
        for server in self.scripted_servers:
            for connection in server.connections:
                if connection.stream.open:
                    connection.stream.abort()
            server.stop_listening()
        self.loop.watch_socket(self.list.listener, 0, lambda _: None)
        self.list.listener.close()
        self.loop.close()
