"""Clip boxes: the media servers of one rack in one process, on real sockets, with links, warm-up and faults.

A box takes set-ups (RFC 2326), streams JPEG video at the rung that it was asked for, reports its load in
every answer and late on the RTCP channel, and falls over when it is pushed while cold. A fault changes what
it does, never what its tap writes.
"""

from __future__ import annotations

import socket
import time
from collections import deque
from random import Random
from typing import Any

from lemonhall.config.day import BoxSpec
from lemonhall.config.settings import Terms
from lemonhall.interface import NoteKind
from lemonhall.loop import Handler, Loop, Stream, listen
from lemonhall.loop.event_loop import Timer
from lemonhall.rtsp import MalformedInput, Parser, Request, reports, rtp
from lemonhall.rtsp.messages import make_response, parse_npt, parse_transport, split_url
from lemonhall.rtsp.parser import encode_frame
from lemonhall.standins import media
from lemonhall.standins.arrival import Looks, data_ago_ms
from lemonhall.standins.control import say
from lemonhall.standins.tap import Tap

TRUE_RATES = 0.15  # a title's true rate lies so far above or below the ladder
CLIP_S = 3600.0


class Rack:
    """What boxes of one rack share: the uplink."""

    def __init__(self, uplink_kb: float, looks: Looks) -> None:
        self.uplink_kb, self.factor, self.looks = uplink_kb, 1.0, looks
        self.boxes: list[Box] = []

    def use(self) -> float:
        asked = sum(min(b.asked, b.spec.link_kb) for b in self.boxes)
        return asked / max(1.0, self.uplink_kb * self.factor) if self.uplink_kb else 0.0


class Connection(Handler):
    """One connection of a front's."""

    def __init__(self, box: Box, sock: socket.socket, conn: int) -> None:
        self.box, self.conn = box, conn
        self.parser = Parser()
        self.via = ""
        self.sessions: dict[str, Playing] = {}
        self.stream = Stream(box.loop, sock, self, high_watermark=1 << 18)

    def on_data(self, view: memoryview) -> None:
        self.box.loop.call_soon(self.stream.read_pending)  # an end behind it is read now, not a pass later
        ago_ms = data_ago_ms(self.stream.sock)
        for event in self.parser.feed(view):
            if isinstance(event, Request):
                self.box.tap.message(self.box.who, self.conn, "in", event, self.stream.bytes_read, ago_ms)
                self.via = event.headers.get("Via").rpartition(" ")[2] or self.via
                self.box.on_request(self, event, ago_ms)
            elif isinstance(event, MalformedInput):
                self.stream.abort()

    def respond(self, request: Request, status: int, *headers: tuple[str, str], body: bytes = b"") -> None:
        """Every answer tells the load."""
        load = (reports.HEADER, reports.encode(self.box.load()))
        response = make_response(status, request.cseq, *headers, load, body=body)
        if self.stream.open:
            self.box.tap.message(self.box.who, self.conn, "out", response)
            self.stream.write(response.encode())

    def on_closed(self, reason: str) -> None:
        since = round(self.box.looks.since_ms(), 2)
        self.box.tap.write(self.box.who, self.conn, "close", reason=reason, since=since)
        for playing in list(self.sessions.values()):
            playing.end()
        self.box.conns.discard(self)


class Playing:
    """One session at a box."""

    def __init__(self, conn: Connection, ident: str, channels: tuple[int, int], truth: float) -> None:
        self.conn, self.box, self.ident, self.channels = conn, conn.box, ident, channels
        self.truth = truth  # its true rate over the ladder's
        self.kb = 0.0
        self.sequence, self.stamp = self.box.random.getrandbits(16), self.box.random.getrandbits(32)
        self.ssrc = self.box.random.getrandbits(32)
        self.ticks, self.credit, self.started = 0, 1.0, False
        self.left_s = CLIP_S
        self.timer: Timer | None = None

    def rate(self) -> float:
        return self.kb * self.truth

    def play(self) -> None:
        if not self.started:
            self.started = True
            self.box.tap.write(self.box.who, self.conn.conn, "media", session=self.ident, kb=self.kb)
            self.tick()

    def tick(self) -> None:
        """One frame when its credit has come together: where less is delivered, fewer frames are."""
        box = self.box
        fps = box.fps
        self.timer = box.loop.call_later(1 / fps, self.tick)
        self.ticks += 1
        self.stamp = (self.stamp + round(media.CLOCK / fps)) & 0xFFFFFFFF
        self.left_s -= 1 / fps
        if self.left_s <= 0:
            self.conn.stream.write(encode_frame(self.channels[1], rtp.build_bye(self.ssrc, "end")))
            self.end()
            return
        self.credit = min(2.0, self.credit + box.share())
        if box.still or self.credit < 1 or self.conn.stream.backlog_bytes > self.conn.stream.high_watermark:
            return
        self.credit -= 1
        parts = media.fragments(max(64, round(self.rate() * 1000 / fps)), self.ticks % 3)
        out = []
        for n, part in enumerate(parts, 1):
            head = rtp.build_rtp(
                rtp.RtpHeader(media.PAYLOAD_TYPE, n == len(parts), self.sequence, self.stamp, self.ssrc)
            )
            self.sequence = (self.sequence + 1) & 0xFFFF
            out.append(encode_frame(self.channels[0], head + part))
        self.conn.stream.write(b"".join(out))

    def note(self, kind: int, value: float) -> None:
        if self.started and not self.box.still:
            self.conn.stream.write(encode_frame(self.channels[1], rtp.build_note(self.ssrc, kind, value)))

    def end(self) -> None:
        if self.timer:
            self.timer.cancel()
        if self.conn.sessions.pop(self.ident, None):
            self.box.asked -= self.rate()
            self.box.held -= 1


class Box:
    """`life` is the number under which the list knows this life of it; a successor has another."""

    def __init__(
        self,
        loop: Loop,
        tap: Tap,
        rack: Rack,
        spec: BoxSpec,
        terms: Terms,
        set_up_ms: tuple[float, float],
        fps: float,
        random: Random,
    ) -> None:
        self.loop, self.tap, self.rack, self.spec, self.terms = loop, tap, rack, spec, terms
        self.looks = rack.looks
        self.set_up_ms, self.fps, self.random = set_up_ms, fps, random
        self.who = f"box:{spec.name}"
        self.life = 0
        self.listener: socket.socket | None = None
        self.port = 0
        self.reserved: socket.socket | None = None  # its port, also while it is dead
        self.conns: set[Connection] = set()
        self.next_conn = self.next_session = 0
        self.asked, self.held = 0.0, 0
        self.still = self.lost = False  # faults: answers nothing; its answers do not leave
        self.error_part = 0.0
        self.slow_since: float | None = None
        self.started_ms, self.cold = 0.0, False
        self.recent: deque[float] = deque()  # set-ups while cold
        self.delayed: list[tuple[Connection, Request]] = []
        rack.boxes.append(self)

    # life

    def start(self, life: int, cold: bool) -> None:
        self.life, self.cold = life, cold
        self.still = self.lost = False
        self.error_part, self.slow_since = 0.0, None
        self.recent.clear()
        self.started_ms = time.time() * 1000
        if self.reserved is None:
            # Bound and not listening. Guards against another process that is given the port of a dead box:
            # its successor could not listen, and fronts of another day would play here.
            self.reserved = socket.socket()
            self.reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self.reserved.bind(("127.0.0.1", 0))
            self.port = self.reserved.getsockname()[1]
        self.listener = listen(self.loop, ("127.0.0.1", self.port), self.accept, reuse_port=True)
        self.tap.write(self.who, 0, "start", life=life, cold=cold, port=self.port)
        self.loop.call_later(self.random.random(), self.tell_late, life)
        started = self.started_ms if cold else 0.0
        say(box=self.spec.name, life=life, at=f"127.0.0.1:{self.port}", started_ms=started)

    def die(self, why: str) -> None:
        if self.listener is None:
            return
        self.loop.watch_socket(self.listener, 0, self.accept)
        self.listener.close()
        self.listener = None
        self.tap.write(self.who, 0, "die", life=self.life, why=why)
        for conn in list(self.conns):
            conn.stream.abort()
        say(died=self.spec.name, life=self.life, why=why)

    def accept(self, sock: socket.socket, peer: Any) -> None:
        self.next_conn += 1
        self.tap.write(self.who, self.next_conn, "open", life=self.life, port=peer[1])
        self.conns.add(Connection(self, sock, self.next_conn))

    # load

    def load(self) -> dict[str, float]:
        noise = 1 + 0.04 * (self.random.random() - 0.5)
        return {"x0": noise * self.asked / self.spec.link_kb, "x1": noise * self.rack.use()}

    def share(self) -> float:
        link = min(1.0, self.spec.link_kb / self.asked) if self.asked > 0 else 1.0
        use = self.rack.use()
        return min(link, 1 / use if use > 1 else 1.0)

    def tell_late(self, life: int) -> None:
        """Notes as of now, sent later: link and uplink each period, the share each second while short."""
        if life != self.life or self.listener is None:
            return
        every_s, late_s = self.terms.reports_every_ms / 1000, self.terms.told_late_ms / 1000
        load = self.load()
        self.loop.call_later(late_s, self.tell, NoteKind.LINK, load["x0"])
        self.loop.call_later(late_s, self.tell, NoteKind.UPLINK, load["x1"])
        share = 0.0 if self.still else self.share()
        if share < 0.98:
            self.loop.call_later(late_s, self.tell, NoteKind.SHARE, share)
        if every_s > 0:
            self.loop.call_later(min(1.0, every_s) if share < 0.98 else every_s, self.tell_late, life)

    def tell(self, kind: int, value: float) -> None:
        """To one session of each front."""
        told: set[str] = set()
        for conn in self.conns:
            if conn.via not in told and conn.sessions:
                told.add(conn.via)
                next(iter(conn.sessions.values())).note(kind, value)

    # requests

    def on_request(self, conn: Connection, request: Request, ago_ms: float = 0.0) -> None:
        """`ago_ms`: how long it lay unread."""
        if self.still:
            self.delayed.append((conn, request))
            return
        if request.method == "SETUP":
            self.count_cold(ago_ms)
            if not conn.stream.open:
                return
            slow = 1.0
            if self.slow_since is not None:
                slow += 40 * max(0.0, self.loop.now() - self.slow_since)
            wait_ms = slow * self.random.uniform(*self.set_up_ms)
            self.loop.call_later(wait_ms / 1000, self.set_up, conn, request, self.life)
        else:
            act = getattr(self, f"do_{request.method.lower()}", None)
            if act:
                act(conn, request)
            else:
                conn.respond(request, 501)

    def count_cold(self, ago_ms: float) -> None:
        """A cold box that is sent too much for its present warmth falls over and stays down."""
        if not self.cold:
            return
        terms, now = self.terms, self.loop.now() * 1000 - ago_ms
        age = time.time() * 1000 - ago_ms - self.started_ms
        if age >= terms.warm_ms:
            self.cold = False
            return
        warmth = max(terms.cold_from, age / terms.warm_ms)
        pace = terms.places_by_kind[self.spec.kind] / terms.warm_ms * warmth
        self.recent.append(now)
        while self.recent[0] < now - terms.tip_after_ms:
            self.recent.popleft()
        if len(self.recent) > max(2.0, terms.overload_factor * pace * terms.tip_after_ms + 2):
            self.die("tipped")

    def set_up(self, conn: Connection, request: Request, life: int) -> None:
        if life != self.life or not conn.stream.open:
            return
        if self.still:
            self.delayed.append((conn, request))
            return
        if self.random.random() < self.error_part:
            conn.respond(request, 500)
            return
        full_from = self.terms.full_from
        places = self.terms.places_by_kind[self.spec.kind]
        if self.held >= places or (full_from and self.asked >= full_from * self.spec.link_kb):
            conn.respond(request, 503)
            return
        offers = parse_transport(request.headers.get("Transport"))
        if not offers or offers[0].channels is None:
            conn.respond(request, 461)
            return
        self.next_session += 1
        ident = f"{self.spec.name}-{self.life}-{self.next_session}"
        truth = 1 + TRUE_RATES * (2 * Random(split_url(request.url)[1].partition("?")[0]).random() - 1)
        playing = Playing(conn, ident, offers[0].channels, truth)
        conn.sessions[ident] = playing
        self.held += 1
        self.take_bandwidth(playing, request)
        if not self.lost:
            reply = offers[0].encode()
            conn.respond(request, 200, ("Session", ident), ("Transport", reply))

    def take_bandwidth(self, playing: Playing, request: Request) -> None:
        bits = request.headers.get("Bandwidth")
        if bits.isdigit():
            self.asked -= playing.rate()
            playing.kb = int(bits) / 8000
            self.asked += playing.rate()

    def session(self, conn: Connection, request: Request) -> Playing | None:
        found = conn.sessions.get(request.session)
        if found is None:
            conn.respond(request, 454)
        return found

    def do_options(self, conn: Connection, request: Request) -> None:
        conn.respond(request, 200, ("Public", "OPTIONS, DESCRIBE, SETUP, PLAY, SET_PARAMETER, TEARDOWN"))

    def do_describe(self, conn: Connection, request: Request) -> None:
        path = split_url(request.url)[1]
        if path == "/" or path.endswith("/missing"):
            conn.respond(request, 404)
            return
        kind = ("Content-Type", "application/sdp")
        conn.respond(request, 200, kind, body=media.sdp(path.rpartition("/")[2], CLIP_S))

    def do_play(self, conn: Connection, request: Request) -> None:
        if playing := self.session(conn, request):
            if start := parse_npt(request.headers.get("Range")):
                playing.left_s = CLIP_S - start
            conn.respond(request, 200, ("Session", playing.ident))
            if not self.lost:
                playing.play()

    def do_set_parameter(self, conn: Connection, request: Request) -> None:
        if playing := self.session(conn, request):
            self.take_bandwidth(playing, request)
            conn.respond(request, 200, ("Session", playing.ident))

    def do_teardown(self, conn: Connection, request: Request) -> None:
        if playing := self.session(conn, request):
            playing.end()
            conn.respond(request, 200, ("Session", playing.ident))

    # faults

    def unstill(self) -> None:
        self.still = False
        waiting, self.delayed = self.delayed, []
        for conn, request in waiting:
            if conn.stream.open:
                self.on_request(conn, request)

    def fault(self, kind: str, on: bool, part: float) -> None:
        if kind in ("hang", "silent"):
            if on:
                self.still = True
            else:
                self.unstill()
        elif kind == "errors":
            self.error_part = part if on else 0.0
        elif kind == "slow-dead":
            self.slow_since = self.loop.now() if on else None
        elif kind == "answers-lost":
            self.lost = on
        else:
            raise ValueError(f"no fault of a box: {kind}")


def run_rack(
    loop: Loop,
    tap: Tap,
    terms: Terms,
    specs: list[BoxSpec],
    uplink_kb: float,
    set_up_ms: tuple[float, float],
    fps: float,
    seed: int,
) -> Any:
    """Builds the boxes of a rack and gives the function that obeys commands about them."""
    rack = Rack(uplink_kb, Looks(loop))
    boxes = {
        s.name: Box(loop, tap, rack, s, terms, set_up_ms, fps, Random(f"{seed}/{s.name}")) for s in specs
    }

    def command(asked: dict[str, Any]) -> None:
        do = asked["do"]
        if do == "uplink":
            rack.factor = asked["part"]
        elif do == "start":
            boxes[asked["box"]].start(asked["life"], asked["cold"])
        elif do == "die":
            boxes[asked["box"]].die("crash")
        elif do == "fault":
            boxes[asked["box"]].fault(asked["kind"], asked["on"], asked.get("part", 1.0))
        else:
            raise ValueError(f"no command of a rack: {do}")

    return command
