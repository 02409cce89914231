"""Test harness: a front, scripted servers and scripted viewers on one event loop, on loopback sockets."""

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
from lemonhall.rtsp import FrameRun, Parser, Request, Response, rtp
from lemonhall.rtsp.messages import make_request, parse_transport
from lemonhall.rtsp.parser import encode_frame, split_frames
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
TIMEOUT_S = 8.0


class ServerConnection(Handler):
    """One connection to a scripted server; `ScriptedServer.answer` answers its requests."""

    def __init__(self, server: ScriptedServer, sock: socket.socket) -> None:
        self.scripted_server, self.parser = server, Parser()
        self.open, self.sequence, self.reason, self.channel = True, 100, "", 0
        self.stream = Stream(server.loop, sock, self)

    def on_data(self, view: memoryview) -> None:
        for event in self.parser.feed(view):
            if isinstance(event, Request):
                self.scripted_server.requests.append(event)
                if offers := parse_transport(event.headers.get("Transport")):
                    self.channel = (offers[0].channels or (0, 1))[0]
                self.scripted_server.answer(self, event)
            elif isinstance(event, FrameRun):
                self.scripted_server.frames += split_frames(bytes(event.data))

    def reply(self, request: Request, status: int = 200, *headers: str, body: bytes = b"") -> None:
        lines = [f"RTSP/1.0 {status} X", f"CSeq: {request.cseq}", *headers]
        lines += [f"Content-Length: {len(body)}"] if body else []
        self.stream.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def packet(self, payload: bytes = b"media", sequence: int | None = None, stamp: int = 9000) -> bytes:
        if sequence is None:
            sequence, self.sequence = self.sequence, self.sequence + 1
        header = rtp.build_rtp(rtp.RtpHeader(26, False, sequence, stamp, self.scripted_server.ssrc))
        return encode_frame(self.channel, header + payload)

    def media(self, payload: bytes = b"media", stamp: int = 9000) -> None:
        self.stream.write(self.packet(payload, stamp=stamp))

    def on_closed(self, reason: str) -> None:
        self.open, self.reason = False, reason


class ScriptedServer:
    """Answers as a working server would, except for methods that `script` maps to a function."""

    def __init__(self, loop: Loop, server_id: int) -> None:
        self.loop, self.server_id, self.ssrc = loop, server_id, 0x1000 + server_id
        self.requests: list[Request] = []
        self.frames: list[tuple[int, memoryview]] = []
        self.connections: list[ServerConnection] = []
        self.script: dict[str, Callable[[ServerConnection, Request], object]] = {}
        self.listener = listen(
            loop, ("127.0.0.1", 0), lambda sock, _: self.connections.append(ServerConnection(self, sock))
        )
        self.port = self.listener.getsockname()[1]

    def answer(self, connection: ServerConnection, request: Request) -> None:
        if handler := self.script.get(request.method):
            handler(connection, request)
            return
        if request.method == "SETUP":
            transport = f"Transport: {request.headers.get('Transport')}"
            connection.reply(request, 200, f"Session: s{self.server_id}", transport)
        elif request.method == "DESCRIBE":
            connection.reply(request, 200, "Content-Type: application/sdp", body=sdp("t", 60))
        else:
            connection.reply(request, 200, f"Session: s{self.server_id}")
            if request.method == "PLAY":
                connection.media()

    def count(self, method: str) -> int:
        return sum(r.method == method for r in self.requests)

    def stop_listening(self) -> None:
        self.loop.watch_socket(self.listener, 0, lambda _: None)
        self.listener.close()


class Client(Handler):
    """A viewer that sends what a test tells it to and keeps everything received, in order."""

    def __init__(self, loop: Loop, address: tuple[str, int]) -> None:
        self.parser, self.cseq, self.reason = Parser(), 0, ""
        self.received: list[Any] = []
        self.stream = Stream.connect(loop, address, self, 2.0)
        self.base = f"rtsp://{address[0]}:{address[1]}"

    def on_data(self, view: memoryview) -> None:
        for event in self.parser.feed(view):
            if isinstance(event, FrameRun):
                self.received += [(c, bytes(p)) for c, p in split_frames(event.data)]
            else:
                self.received.append(event)

    def on_closed(self, reason: str) -> None:
        self.reason = reason

    def send(self, method: str, path: str, *headers: tuple[str, str], body: bytes = b"") -> int:
        self.cseq += 1
        self.stream.write(make_request(method, self.base + path, self.cseq, *headers, body=body).encode())
        return self.cseq

    @property
    def answers(self) -> list[Response]:
        return [h for h in self.received if isinstance(h, Response)]

    def answers_to(self, cseq: int) -> list[int]:
        return [r.status for r in self.answers if r.cseq == str(cseq)]

    @property
    def media(self) -> list[tuple[int, bytes]]:
        return [h for h in self.received if isinstance(h, tuple) and h[0] % 2 == 0]

    @property
    def byes(self) -> int:
        rtcp = [h[1] for h in self.received if isinstance(h, tuple) and h[0] % 2]
        return sum(p.packet_type == rtp.BYE for data in rtcp for p in rtp.parse_rtcp(data))


class RecordingModule:
    """Passes everything to the decision module and records it; `injected` actions are added to its own."""

    def __init__(self, inner: Any) -> None:
        self.inner = inner
        self.events: list[i.Event] = []
        self.actions: list[i.Action] = []
        self.injected: list[i.Action] = []

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        self.events += events
        actions, self.injected = self.inner.handle(now, events) + self.injected, []
        self.actions += actions
        return actions

    def events_of(self, kind: type) -> list[Any]:
        return [e for e in self.events if isinstance(e, kind)]


class FrontHarness:
    def __init__(
        self, folder: Path, servers: int = 2, make: Any = decide.Front, limits: str = "", terms: str = TERMS
    ) -> None:
        self.loop = Loop()
        path = folder / "front.kdl"
        path.write_text(
            terms + f'front "f0" hall="hall-a" seed=3 listen="127.0.0.1:0" {{\n limits {limits}\n}}\n'
        )
        self.settings = read_settings(path)
        self.module = RecordingModule(None)

        def build(settings: i.Settings, seed: int) -> RecordingModule:
            self.module.inner = make(settings, seed)
            return self.module

        self.daemon = Daemon(self.settings, build, self.loop)
        self.faults: list[Exception] = []
        self.loop.on_error = self.faults.append
        self.address = self.daemon.open()
        self.scripted_servers = [ScriptedServer(self.loop, n + 1) for n in range(servers)]
        self.apply_server_list(1, full=True)
        self.clients: list[Client] = []

    def server_entry(self, server: ScriptedServer, state: int = State.READY, **more: Any) -> Box:
        address = f"127.0.0.1:{server.port}"
        return Box(id=server.server_id, address=address, kind=0, weight=1.0, cell=0, state=state, **more)

    def apply_server_list(self, version: int, full: bool = False, entries: list[Box] | None = None) -> None:
        entries = [self.server_entry(s) for s in self.scripted_servers] if entries is None else entries
        event = self.daemon.list_client.server_list.apply(Update(version=version, full=full, boxes=entries))
        assert event
        self.daemon.bridge.enqueue(event)

    def connect_client(self) -> Client:
        client = Client(self.loop, self.address)
        self.clients.append(client)
        return client

    def run_until(self, condition: Callable[[], object], timeout_s: float = TIMEOUT_S) -> None:
        """Runs the loop until the condition holds; fails after `timeout_s` or after a fault in a callback."""
        expired: list[bool] = []
        timer = self.loop.call_later(timeout_s, expired.append, True)
        self.loop.run(until=lambda: bool(expired) or bool(condition()))
        timer.cancel()
        assert condition(), f"condition not met within {timeout_s} s"
        assert not self.faults, self.faults

    def run_for(self, seconds: float) -> None:
        expired: list[bool] = []
        self.loop.call_later(seconds, expired.append, True)
        self.run_until(lambda: expired)

    def set_up_session(
        self, path: str, channels: str = "0-1", client: Client | None = None
    ) -> tuple[Client, str]:
        """Sends SETUP and waits for its answer. Returns the viewer and the session's id."""
        client = client or self.connect_client()
        transport = ("Transport", f"RTP/AVP/TCP;unicast;interleaved={channels}")
        cseq = client.send("SETUP", f"{path}/trackID=0", transport)
        self.run_until(lambda: client.answers_to(cseq))
        assert client.answers[-1].status == 200
        return client, client.answers[-1].session

    def send_play(
        self, path: str, channels: str = "0-1", client: Client | None = None
    ) -> tuple[Client, str, int]:
        client, session = self.set_up_session(path, channels, client)
        return client, session, client.send("PLAY", path, ("Session", session))

    def play_session(
        self, path: str, channels: str = "0-1", client: Client | None = None
    ) -> tuple[Client, str]:
        client, session, cseq = self.send_play(path, channels, client)
        self.run_until(lambda: client.answers_to(cseq) and client.media)
        assert client.answers_to(cseq) == [200]
        return client, session

    def playing_server(self) -> ScriptedServer:
        """The server of the latest attempt that started to play."""
        server_id = self.module.events_of(i.Playing)[-1].server
        return next(s for s in self.scripted_servers if s.server_id == server_id)

    def set_up_count(self) -> int:
        return sum(s.count("SETUP") for s in self.scripted_servers)

    def close(self) -> None:
        for client in self.clients:
            if client.stream.open:
                client.stream.abort()
        for server in self.scripted_servers:
            for connection in server.connections:
                if connection.stream.open:
                    connection.stream.abort()
            if server.listener.fileno() >= 0:
                server.stop_listening()
        for sock in self.daemon.listeners:
            if sock.fileno() >= 0:
                self.loop.watch_socket(sock, 0, lambda _: None)
                sock.close()
        self.loop.close()
