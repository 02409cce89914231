"""A front, scripted servers and scripted viewers on one loop, in one process, on loopback sockets."""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

from lemonhall import decide
from lemonhall import interface as i
from lemonhall.boxlist import Box, State, Update
from lemonhall.config.settings import read_settings
from lemonhall.front.process.daemon import Daemon
from lemonhall.loop import Handler, Loop, Stream, listen
from lemonhall.rtsp import Frames, Parser, Request, Response, rtp
from lemonhall.rtsp.messages import make_request, parse_transport
from lemonhall.rtsp.parser import frame, split_frames
from lemonhall.standins.media import sdp

TERMS = """
halls "hall-a"
racks count=1
link per-weight=(kBps)5000
ladder { rung rate=(kBps)10 worth=0.3; rung rate=(kBps)20 worth=0.7; rung rate=(kBps)40 worth=1.0; }
kind "box" places=50
class "claim-view" worth=3 repeat="paid" aim=(ms)500 deadline=(ms)1200 floor=1 seats=2
class "browse-clip" worth=1 aim=(ms)500 deadline=(ms)1500
route "/claims/" class="claim-view"
route "/browse/" class="browse-clip"
attempts most=3 connect-timeout=(ms)250
cold from=(%)10 warm=(s)5 factor=2 tip-after=(s)2
reports fields="x0 x1" every=(s)2 late=(ms)100
allow peers=#true probe=#true
"""
WAIT_S = 8.0


class Server(Handler):
    """One connection to a scripted server; `answer` decides what each request gets."""

    def __init__(self, box: ScriptedBox, sock: socket.socket) -> None:
        self.box, self.parser = box, Parser()
        self.open, self.sequence, self.reason, self.channel = True, 100, "", 0
        self.stream = Stream(box.loop, sock, self)

    def on_data(self, view: memoryview) -> None:
        for event in self.parser.feed(view):
            if isinstance(event, Request):
                self.box.requests.append(event)
                if offers := parse_transport(event.headers.get("Transport")):
                    self.channel = (offers[0].channels or (0, 1))[0]
                self.box.answer(self, event)
            elif isinstance(event, Frames):
                self.box.frames += split_frames(bytes(event.data))

    def reply(self, request: Request, status: int = 200, *headers: str, body: bytes = b"") -> None:
        lines = [f"RTSP/1.0 {status} X", f"CSeq: {request.cseq}", *headers]
        lines += [f"Content-Length: {len(body)}"] if body else []
        self.stream.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def packet(self, payload: bytes = b"media", sequence: int | None = None, stamp: int = 9000) -> bytes:
        if sequence is None:
            sequence, self.sequence = self.sequence, self.sequence + 1
        header = rtp.build_rtp(rtp.RtpHeader(26, False, sequence, stamp, self.box.ssrc))
        return frame(self.channel, header + payload)

    def media(self, payload: bytes = b"media", stamp: int = 9000) -> None:
        self.stream.write(self.packet(payload, stamp=stamp))

    def on_closed(self, reason: str) -> None:
        self.open, self.reason = False, reason


class ScriptedBox:
    """Answers like a good server unless its script (method to function) says otherwise."""

    def __init__(self, loop: Loop, ident: int) -> None:
        self.loop, self.ident, self.ssrc = loop, ident, 0x1000 + ident
        self.requests: list[Request] = []
        self.frames: list[tuple[int, memoryview]] = []
        self.conns: list[Server] = []
        self.script: dict[str, Callable[[Server, Request], object]] = {}
        self.listener = listen(loop, ("127.0.0.1", 0), lambda sock, _: self.conns.append(Server(self, sock)))
        self.port = self.listener.getsockname()[1]

    def answer(self, conn: Server, request: Request) -> None:
        if act := self.script.get(request.method):
            act(conn, request)
            return
        if request.method == "SETUP":
            transport = f"Transport: {request.headers.get('Transport')}"
            conn.reply(request, 200, f"Session: s{self.ident}", transport)
        elif request.method == "DESCRIBE":
            conn.reply(request, 200, "Content-Type: application/sdp", body=sdp("t", 60))
        else:
            conn.reply(request, 200, f"Session: s{self.ident}")
            if request.method == "PLAY":
                conn.media()

    def count(self, method: str) -> int:
        return sum(r.method == method for r in self.requests)

    def shut(self) -> None:
        self.loop.watch_socket(self.listener, 0, lambda _: None)
        self.listener.close()


class Client(Handler):
    """A viewer that says what it is told to and keeps what it hears, in order."""

    def __init__(self, loop: Loop, address: tuple[str, int]) -> None:
        self.parser, self.cseq, self.reason = Parser(), 0, ""
        self.heard: list[Any] = []
        self.stream = Stream.connect(loop, address, self, 2.0)
        self.base = f"rtsp://{address[0]}:{address[1]}"

    def on_data(self, view: memoryview) -> None:
        for event in self.parser.feed(view):
            if isinstance(event, Frames):
                self.heard += [(c, bytes(p)) for c, p in split_frames(event.data)]
            else:
                self.heard.append(event)

    def on_closed(self, reason: str) -> None:
        self.reason = reason

    def send(self, method: str, path: str, *headers: tuple[str, str], body: bytes = b"") -> int:
        self.cseq += 1
        self.stream.write(make_request(method, self.base + path, self.cseq, *headers, body=body).encode())
        return self.cseq

    @property
    def answers(self) -> list[Response]:
        return [h for h in self.heard if isinstance(h, Response)]

    def answers_to(self, cseq: int) -> list[int]:
        return [r.status for r in self.answers if r.cseq == str(cseq)]

    @property
    def media(self) -> list[tuple[int, bytes]]:
        return [h for h in self.heard if isinstance(h, tuple) and h[0] % 2 == 0]

    @property
    def byes(self) -> int:
        rtcp = [h[1] for h in self.heard if isinstance(h, tuple) and h[0] % 2]
        return sum(p.kind == rtp.BYE for data in rtcp for p in rtp.parse_rtcp(data))


class Recorder:
    """Passes everything to the module and keeps it; `script` may answer in the module's place."""

    def __init__(self, inner: Any) -> None:
        self.inner = inner
        self.events: list[i.Event] = []
        self.actions: list[i.Action] = []
        self.extra: list[i.Action] = []

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        self.events += events
        made, self.extra = self.inner.handle(now, events) + self.extra, []
        self.actions += made
        return made

    def told(self, kind: type) -> list[Any]:
        return [e for e in self.events if isinstance(e, kind)]


class World:
    def __init__(
        self, folder: Path, boxes: int = 2, make: Any = decide.Front, limits: str = "", terms: str = TERMS
    ) -> None:
        self.loop = Loop()
        path = folder / "front.kdl"
        path.write_text(
            terms + f'front "f0" hall="hall-a" seed=3 listen="127.0.0.1:0" {{\n limits {limits}\n}}\n'
        )
        self.settings = read_settings(path)
        self.module = Recorder(None)

        def build(settings: i.Settings, seed: int) -> Recorder:
            self.module.inner = make(settings, seed)
            return self.module

        self.daemon = Daemon(self.settings, build, self.loop)
        self.faults: list[Exception] = []
        self.loop.on_error = self.faults.append
        self.address = self.daemon.open()
        self.boxes = [ScriptedBox(self.loop, n + 1) for n in range(boxes)]
        self.tell_list(1, full=True)
        self.clients: list[Client] = []

    def box_line(self, box: ScriptedBox, state: int = State.READY, **more: Any) -> Box:
        at = f"127.0.0.1:{box.port}"
        return Box(id=box.ident, address=at, kind=0, weight=1.0, cell=0, state=state, **more)

    def tell_list(self, version: int, full: bool = False, lines: list[Box] | None = None) -> None:
        lines = [self.box_line(b) for b in self.boxes] if lines is None else lines
        event = self.daemon.list_client.server_list.apply(Update(version=version, full=full, boxes=lines))
        assert event
        self.daemon.bridge.enqueue(event)

    def client(self) -> Client:
        made = Client(self.loop, self.address)
        self.clients.append(made)
        return made

    def until(self, condition: Callable[[], object], within_s: float = WAIT_S) -> None:
        """Runs the loop until the condition holds; fails if it does not in time, or after a fault."""
        over: list[bool] = []
        timer = self.loop.call_later(within_s, over.append, True)
        self.loop.run(until=lambda: bool(over) or bool(condition()))
        timer.cancel()
        assert condition(), f"not within {within_s} s"
        assert not self.faults, self.faults

    def pass_time(self, seconds: float) -> None:
        over: list[bool] = []
        self.loop.call_later(seconds, over.append, True)
        self.until(lambda: over)

    def ready(self, path: str, channels: str = "0-1", client: Client | None = None) -> tuple[Client, str]:
        """A viewer whose SETUP was answered: the connection and the session's id."""
        client = client or self.client()
        transport = ("Transport", f"RTP/AVP/TCP;unicast;interleaved={channels}")
        cseq = client.send("SETUP", f"{path}/trackID=0", transport)
        self.until(lambda: client.answers_to(cseq))
        assert client.answers[-1].status == 200
        return client, client.answers[-1].session

    def play(self, path: str, channels: str = "0-1", client: Client | None = None) -> tuple[Client, str, int]:
        client, session = self.ready(path, channels, client)
        return client, session, client.send("PLAY", path, ("Session", session))

    def playing(self, path: str, channels: str = "0-1", client: Client | None = None) -> tuple[Client, str]:
        client, session, cseq = self.play(path, channels, client)
        self.until(lambda: client.answers_to(cseq) and client.media)
        assert client.answers_to(cseq) == [200]
        return client, session

    def playing_at(self) -> ScriptedBox:
        """The box that the newest attempt that plays is at."""
        ident = self.module.told(i.Playing)[-1].server
        return next(b for b in self.boxes if b.ident == ident)

    def set_ups(self) -> int:
        return sum(b.count("SETUP") for b in self.boxes)

    def close(self) -> None:
        for client in self.clients:
            if client.stream.open:
                client.stream.abort()
        for box in self.boxes:
            for conn in box.conns:
                if conn.stream.open:
                    conn.stream.abort()
            if box.listener.fileno() >= 0:
                box.shut()
        for sock in self.daemon.listeners:
            if sock.fileno() >= 0:
                self.loop.watch_socket(sock, 0, lambda _: None)
                sock.close()
        self.loop.close()
