"""Processes for the measurements: a server that answers at once, viewers, a bare pump. Each runs alone."""

from __future__ import annotations

import json
import multiprocessing
import os
import selectors
import socket
import sys
import threading
import time
from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram

from lemonhall.boxlist import Box, State, Update, encode_delimited
from lemonhall.loop import Handler, Loop, Stream, listen
from lemonhall.loop.event_loop import READ
from lemonhall.rtsp import FrameRun, Parser, Request, Response, rtp
from lemonhall.rtsp.messages import make_request
from lemonhall.rtsp.parser import encode_frame, split_frames
from lemonhall.standins.media import sdp

Context = multiprocessing.get_context("spawn")
PACKET = 1400


def packets(count: int) -> bytes:
    """Interleaved RTP packets of the usual size, one run."""
    header = rtp.RtpHeader
    return b"".join(
        encode_frame(0, rtp.build_rtp(header(26, False, n, n * 3000, 7)) + b"m" * PACKET)
        for n in range(count)
    )


class FastServer(Handler):
    """A media server without work: answers at once, one packet at PLAY, then `fps` small ones, or a flood."""

    def __init__(self, loop: Loop, sock: socket.socket, fps: float, flood: bool) -> None:
        self.loop, self.fps, self.flood = loop, fps, flood
        self.parser = Parser()
        self.block = packets(64)
        self.sent = 0
        self.timer: Any = None
        self.stream = Stream(loop, sock, self, high_watermark=1 << 20)

    def on_data(self, view: memoryview) -> None:
        for event in self.parser.feed(view):
            if isinstance(event, Request):
                self.respond(event)

    def respond(self, request: Request) -> None:
        extra = f"Transport: {request.headers.get('Transport')}\r\n" if request.method == "SETUP" else ""
        body = sdp("t", 3600) if request.method == "DESCRIBE" else b""
        load = "endpoint-load-metrics: TEXT named_metrics.x0=0.1,named_metrics.x1=0.1\r\n"
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        head = f"RTSP/1.0 200 OK\r\nCSeq: {request.cseq}\r\nSession: s1\r\n{extra}{load}{length}\r\n"
        self.stream.write(head.encode() + body)
        if request.method == "PLAY":
            self.packet()
            if self.flood:
                self.pour()
            elif self.fps:
                self.tick()

    def tick(self) -> None:
        if self.stream.open:
            self.packet()
            self.timer = self.loop.call_later(1 / self.fps, self.tick)

    def packet(self) -> None:
        header = rtp.build_rtp(rtp.RtpHeader(26, False, self.sent & 0xFFFF, self.sent * 3000, 7))
        self.stream.write(encode_frame(0, header + b"m" * PACKET))
        self.sent += 1

    def pour(self) -> None:
        while self.stream.open and not (self.stream.closing or self.stream.above_high_watermark):
            self.stream.write(self.block)

    def on_backlog_drained(self) -> None:
        self.pour()

    def on_closed(self, reason: str) -> None:
        if self.timer:
            self.timer.cancel()


def serve_boxes(ports: Any, count: int, fps: float, flood: bool) -> None:
    """`count` fast servers and the box list that names them; tells the list's port."""
    loop = Loop()
    found = []
    for _ in range(count):
        at = listen(loop, ("127.0.0.1", 0), lambda sock, _: FastServer(loop, sock, fps, flood))
        found.append(int(at.getsockname()[1]))
    ports.put((list_at(loop, found), found))
    loop.run()


def serve_list(ports: Any, found: list[int]) -> None:
    """The box list alone, of servers that other processes are."""
    loop = Loop()
    ports.put((list_at(loop, found), found))
    loop.run()


def list_at(loop: Loop, found: list[int]) -> int:
    """Serves a list of servers at those ports; its own port."""
    boxes = [
        Box(id=n + 1, address=f"127.0.0.1:{port}", weight=1.0, cell=n % 2, state=State.READY)
        for n, port in enumerate(found)
    ]
    body = encode_delimited(Update(version=2, full=True, boxes=boxes))
    kept: list[Stream] = []

    class ListConn(Handler):
        def __init__(self, sock: socket.socket) -> None:
            self.stream = Stream(loop, sock, self)
            kept.append(self.stream)

        def on_data(self, view: memoryview) -> None:
            head = f"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{len(body):x}\r\n"
            self.stream.write(head.encode() + body + b"\r\n")

    at = listen(loop, ("127.0.0.1", 0), lambda sock, _: ListConn(sock))
    port: int = at.getsockname()[1]
    return port


class FastViewer(Handler):
    """SETUP, PLAY, then what `played` says. Times PLAY to the first media (and SETUP to it, where direct)."""

    def __init__(self, loop: Loop, port: int, path: str, played: Callable[[FastViewer, float], None]) -> None:
        self.loop, self.port, self.path, self.played = loop, port, path, played
        self.parser = Parser()
        self.cseq, self.session, self.asked, self.seen = 0, "", 0.0, False
        self.refused = False
        self.url = f"rtsp://127.0.0.1:{port}{path}"
        self.stream = Stream.connect(loop, ("127.0.0.1", port), self, 5.0)

    def send(self, method: str, *headers: tuple[str, str]) -> None:
        self.cseq += 1
        session = [("Session", self.session)] if self.session else []
        url = f"{self.url}/trackID=0" if method == "SETUP" else self.url
        self.stream.write(make_request(method, url, self.cseq, *session, *headers).encode())

    def on_connected(self) -> None:
        self.asked = self.loop.now()
        self.send("SETUP", ("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1"))

    def on_data(self, view: memoryview) -> None:
        for event in self.parser.feed(view):
            if isinstance(event, Response):
                if self.cseq == 1:
                    self.session = event.session
                    self.send("PLAY")
                elif event.status != 200 and not self.seen:
                    self.refused = self.seen = True
                    self.played(self, -1.0)
            elif isinstance(event, FrameRun) and not self.seen:
                self.seen = True
                self.played(self, self.loop.now() - self.asked)

    def finish(self) -> None:
        self.send("TEARDOWN")
        self.stream.close()

    def on_closed(self, reason: str) -> None:
        if not self.seen:
            self.refused = self.seen = True
            self.played(self, -1.0)


def view(
    results: Any, ports: list[int], path: str, keep: int, cycles: int, at_once: int, gap_s: float
) -> None:
    """Sets up `keep` sessions that go on playing, then runs `cycles` set-ups, `at_once` of them at a time.

    Puts one JSON text: seconds for the cycles, the histogram of their delays in microseconds, refusals.
    """
    loop = Loop()
    histogram = HdrHistogram(1, 60_000_000, 3)
    state = {"kept": 0, "done": 0, "started": 0, "refused": 0, "began": 0.0}
    holding: list[FastViewer] = []

    def start() -> None:
        n = state["started"]
        if n < cycles:
            state["started"] += 1
            FastViewer(loop, ports[n % len(ports)], f"{path}c{n}", played)

    def kept(viewer: FastViewer, _: float) -> None:
        state["kept"] += 1
        state["refused"] += viewer.refused
        if state["kept"] < keep:
            loop.call_later(0.002, hold)
        else:
            results.put("kept")

    def hold() -> None:
        n = state["kept"]
        holding.append(FastViewer(loop, ports[n % len(ports)], f"{path}k{n % 500}", kept))

    def played(viewer: FastViewer, took: float) -> None:
        viewer.finish()
        state["done"] += 1
        if took < 0:
            state["refused"] += 1
        else:
            histogram.record_value(max(1, round(took * 1e6)))
        if state["done"] < cycles:
            loop.call_later(gap_s, start)
        else:
            finish()

    def finish() -> None:
        seconds = time.monotonic() - state["began"]
        quantiles = {q: histogram.get_value_at_percentile(q) for q in (50, 90, 99, 99.9)}
        results.put(json.dumps({"seconds": seconds, "us": quantiles, "refused": state["refused"]}))

    def go(line: str) -> None:
        if line == "cycles":
            state["began"] = time.monotonic()
            for _ in range(min(at_once, cycles)):
                start()

    orders, inbox = socket.socketpair()

    def pass_on() -> None:
        for word in iter(results.orders.get, None):
            orders.sendall((word + chr(10)).encode())

    threading.Thread(target=pass_on, daemon=True).start()
    loop.watch_socket(inbox, READ, lambda _: [go(w) for w in inbox.recv(4096).decode().split()])
    if keep:
        hold()
    else:
        results.put("kept")
    loop.run()


class Watcher(FastViewer):
    """Plays on, and looks at each packet: what is missing, and the longest time without one."""

    def __init__(self, loop: Loop, port: int, path: str, played: Callable[[FastViewer, float], None]) -> None:
        super().__init__(loop, port, path, played)
        self.last = -1
        self.at = 0.0
        self.packets = self.missing = 0
        self.gap = 0.0
        self.lost = False

    def on_data(self, view: memoryview) -> None:
        for event in self.parser.feed(view):
            if isinstance(event, Response):
                if self.cseq == 1:
                    self.session = event.session
                    self.send("PLAY")
            elif isinstance(event, FrameRun) and not event.is_rtcp:
                for _, packet in split_frames(event.data):
                    self.packet(rtp.parse_rtp(packet).sequence)
                if not self.seen:
                    self.seen = True
                    self.played(self, 0.0)

    def packet(self, sequence: int) -> None:
        now = self.loop.now()
        if self.last >= 0:
            self.missing += (sequence - self.last - 1) & 0xFFFF
            self.gap = max(self.gap, now - self.at)
        self.last, self.at, self.packets = sequence, now, self.packets + 1

    def on_closed(self, reason: str) -> None:
        self.lost = True


def watch(results: Any, port: int, count: int) -> None:
    """`count` sessions that play on. At a `mark` the longest gap since the last; at `end` one JSON text."""
    loop = Loop()
    all_of: list[Watcher] = []
    gaps: list[float] = []

    def kept(_: FastViewer, __: float) -> None:
        if len(all_of) < count:
            loop.call_later(0.002, more)
        else:
            results.put("kept")

    def more() -> None:
        all_of.append(Watcher(loop, port, f"/browse/w{len(all_of)}", kept))

    def go(word: str) -> None:
        gaps.append(max(w.gap for w in all_of))
        for each in all_of:
            each.gap = 0.0
        if word == "end":
            told = {
                "playing": len(all_of),
                "gaps": gaps[1:],
                "lost": sum(w.lost for w in all_of),
                "missing": sum(w.missing for w in all_of),
                "packets": sum(w.packets for w in all_of),
            }
            results.put(json.dumps(told))

    orders, inbox = socket.socketpair()

    def pass_on() -> None:
        for word in iter(results.orders.get, None):
            orders.sendall((word + chr(10)).encode())

    threading.Thread(target=pass_on, daemon=True).start()
    loop.watch_socket(inbox, READ, lambda _: [go(w) for w in inbox.recv(4096).decode().split()])
    more()
    loop.run()


class Channel:
    """A pair of queues: results out, orders in."""

    def __init__(self) -> None:
        self.out, self.orders = Context.Queue(), Context.Queue()

    def put(self, value: Any) -> None:
        self.out.put(value)

    def get(self, within_s: float = 120.0) -> Any:
        return self.out.get(timeout=within_s)


def pump(ports: Any, source: int) -> None:
    """The bare comparison: two sockets, one buffer, nothing looked at; as good as `selectors` goes."""
    listener = socket.create_server(("127.0.0.1", 0))
    ports.put(listener.getsockname()[1])
    while True:
        viewer, _ = listener.accept()
        server = socket.create_connection(("127.0.0.1", source))
        chooser = selectors.DefaultSelector()
        for sock in (viewer, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            chooser.register(sock, READ)
        other = {viewer: server, server: viewer}
        buffer = bytearray(1 << 16)
        try:
            while True:
                for key, _ in chooser.select(30):
                    sock = key.fileobj
                    assert isinstance(sock, socket.socket)
                    count = sock.recv_into(buffer)
                    if not count:
                        raise ConnectionResetError
                    other[sock].sendall(memoryview(buffer)[:count])
        except OSError:
            chooser.close()
            viewer.close()
            server.close()


class BareViewer(Handler):
    """A front that reads nothing: canned answers, one connection to the server, bytes passed on.

    The same connections and messages as a set-up through the real front, on the same loop and streams.
    """

    SETUP = b"SETUP rtsp://s/a/trackID=0 RTSP/1.0\r\nCSeq: 1\r\nTransport: RTP/AVP/TCP\r\n\r\n"
    PLAY = b"PLAY rtsp://s/a RTSP/1.0\r\nCSeq: 2\r\nSession: s1\r\n\r\n"
    DOWN = b"TEARDOWN rtsp://s/a RTSP/1.0\r\nCSeq: 3\r\nSession: s1\r\n\r\n"
    OK = b"RTSP/1.0 200 OK\r\nCSeq: %d\r\nSession: s1\r\n\r\n"

    def __init__(self, loop: Loop, sock: socket.socket, source: int) -> None:
        self.loop, self.source, self.asked = loop, source, 0
        self.server: Stream | None = None
        self.stream = Stream(loop, sock, self)

    def on_data(self, view: memoryview) -> None:
        self.asked += 1
        if self.asked == 1:
            self.stream.write(self.OK % 1)
        elif self.asked == 2:
            self.server = Stream.connect(self.loop, ("127.0.0.1", self.source), BareServer(self), 2.0)
        elif self.server:
            self.server.write(self.DOWN)
            self.stream.write(self.OK % 3)

    def on_closed(self, reason: str) -> None:
        if self.server:
            self.server.close()


class BareServer(Handler):
    def __init__(self, viewer: BareViewer) -> None:
        self.viewer, self.heard = viewer, 0

    def on_connected(self) -> None:
        assert self.viewer.server
        self.viewer.server.write(self.viewer.SETUP)

    def on_data(self, view: memoryview) -> None:
        self.heard += 1
        assert self.viewer.server
        if self.heard == 1:
            self.viewer.server.write(self.viewer.PLAY)
        elif self.heard == 2:
            self.viewer.stream.write(self.viewer.OK % 2)
            self.viewer.stream.write(view[view.tobytes().find(b"$") :] if b"$" in bytes(view) else b"")
        else:
            self.viewer.stream.write(view)


def bare_front(ports: Any, sources: list[int]) -> None:
    loop = Loop()
    count = iter(range(1 << 60))
    at = listen(loop, ("127.0.0.1", 0), lambda s, _: BareViewer(loop, s, sources[next(count) % len(sources)]))
    ports.put((at.getsockname()[1], os.getpid()))
    loop.run()


def rss_kb(pid: int) -> int:
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))


def cpu_s(pid: int) -> float:
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


if __name__ == "__main__":
    sys.exit("run benchmarks/front.py")
