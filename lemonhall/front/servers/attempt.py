"""One attempt at a media server: a connection of its own, SETUP for each track, PLAY, media, and its one end.

States: connecting, setting up (the request may have left), asked to play, playing, ended. What an end
proves is told by its outcome: `CONNECT_FAILED` only while no byte of the request was taken by the kernel,
`FULL` only for an answer to the first SETUP that says so. Everything else may have run.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum, auto
from typing import Protocol

from lemonhall.interface import Outcome
from lemonhall.loop import Handler, Loop, Stream, Timer
from lemonhall.loop.stream import Address
from lemonhall.rtsp import Frames, Malformed, Parser, Request, Response, reports, rtp
from lemonhall.rtsp.messages import ask
from lemonhall.rtsp.parser import split_frames

TEARDOWN_S = 0.5  # a server's answer to TEARDOWN is waited for so long; then the connection is reset
FULL = (453, 503)


class State(Enum):
    CONNECTING = auto()
    SETTING_UP = auto()
    ASKED = auto()
    PLAYING = auto()
    LEAVING = auto()  # TEARDOWN is out
    ENDED = auto()


class Owner(Protocol):
    """The session. Each of these is told at most once but media, rtcp and note."""

    def attempt_playing(self, attempt: Attempt, took_ms: float) -> None: ...
    def attempt_media(self, attempt: Attempt, run: Frames) -> None: ...
    def attempt_rtcp(self, attempt: Attempt, channel: int, packet: rtp.RtcpPacket) -> None: ...
    def attempt_note(self, attempt: Attempt, kind: int, value: float) -> None: ...
    def attempt_ended(self, attempt: Attempt, outcome: Outcome, report: tuple[float, ...]) -> None: ...


class Attempt(Handler):
    """`tracks`: control URL and channels (RTP, RTCP) of each; `headers` go with every request."""

    def __init__(
        self,
        loop: Loop,
        owner: Owner,
        number: int,
        server: int,
        address: Address,
        url: str,
        tracks: Sequence[tuple[str, tuple[int, int]]],
        headers: Sequence[tuple[str, str]],
        bandwidth: float,
        start_s: float,
        connect_s: float,
        timeout_s: float,
        report_fields: tuple[str, ...],
        clear: bool = True,
    ) -> None:
        self.loop, self.owner, self.number, self.server, self.url = loop, owner, number, server, url
        self.tracks, self.headers, self.bandwidth, self.start_s = tracks, headers, bandwidth, start_s
        self.report_fields = report_fields
        self.state, self.left_as = State.CONNECTING, Outcome.OK
        self.began = loop.now()
        self.parser = Parser()
        self.cseq = self.set_up = 0
        self.session = ""
        self.waiting: dict[str, str] = {}  # CSeq to method
        self.report: tuple[float, ...] = ()
        self.play_ok = self.media_seen = False
        self.clear = clear  # whether the request may leave
        self.timer: Timer | None = loop.call_later(timeout_s, self.end, Outcome.TIMEOUT)
        self.stream = Stream.connect(loop, address, self, min(connect_s, max(0.001, timeout_s)))

    @property
    def may_have_run(self) -> bool:
        return self.stream.bytes_written > 0

    def send(self, method: str, url: str, *headers: tuple[str, str], body: bytes = b"") -> None:
        self.cseq += 1
        self.waiting[str(self.cseq)] = method
        session = [("Session", self.session)] if self.session else []
        self.stream.write(ask(method, url, self.cseq, *session, *self.headers, *headers, body=body))

    # the stream's side

    def on_connected(self) -> None:
        self.state = State.SETTING_UP
        if self.clear:
            self.send_set_up()

    def cleared(self, why: str) -> None:
        """The ledger has it, or says why not: only now may the request leave. The connection may be there."""
        if self.state is State.ENDED:
            return
        if why:
            self.end(Outcome.MOOT)
            return
        self.clear = True
        if self.state is State.SETTING_UP:
            self.send_set_up()

    def send_set_up(self) -> None:
        control, channels = self.tracks[self.set_up]
        transport = f"RTP/AVP/TCP;unicast;interleaved={channels[0]}-{channels[1]}"
        self.send("SETUP", control, ("Transport", transport), self.bandwidth_header())

    def bandwidth_header(self) -> tuple[str, str]:
        """What the session may take, in bits a second (RFC 2326, 12.6)."""
        return "Bandwidth", str(round(self.bandwidth * 8000))

    def on_data(self, view: memoryview) -> None:
        for event in self.parser.feed(view):
            if self.state is State.ENDED:
                return
            if isinstance(event, Frames):
                self.on_frames(event)
            elif isinstance(event, Response):
                self.on_response(event)
            elif isinstance(event, Request):
                self.on_request(event)
            elif isinstance(event, Malformed):
                self.end(Outcome.RESET if self.state is State.PLAYING else Outcome.ERROR)

    def on_closed(self, reason: str) -> None:
        if self.state is State.ENDED:
            return
        if self.state is State.LEAVING:
            self.end(self.left_as)
        else:
            self.end(Outcome.RESET if self.stream.bytes_written else Outcome.CONNECT_FAILED)

    # the protocol

    def on_response(self, response: Response) -> None:
        method = self.waiting.pop(response.cseq, "")
        if text := response.headers.get(reports.HEADER):
            self.report = reports.decode(text, self.report_fields) or self.report
        fine = 200 <= response.status < 300
        if method == "SETUP" and self.state is State.SETTING_UP:
            if not fine or not response.session:
                first = self.set_up == 0
                self.end(Outcome.FULL if first and response.status in FULL else Outcome.ERROR)
                return
            self.session = response.session
            self.set_up += 1
            if self.set_up < len(self.tracks):
                self.send_set_up()
                return
            self.state = State.ASKED
            position = ("Range", f"npt={self.start_s:.3f}-")
            self.send("PLAY", self.url, position, self.bandwidth_header())
        elif method == "PLAY" and self.state is State.ASKED:
            if not fine:
                self.end(Outcome.ERROR)
                return
            self.play_ok = True
            self.check_playing()
        elif method == "TEARDOWN":
            self.end(self.left_as)

    def on_request(self, request: Request) -> None:
        """Servers may ask for signs of life; they get an answer, nothing more."""
        status = "200 OK" if request.method in ("OPTIONS", "GET_PARAMETER") else "501 Not Implemented"
        self.stream.write(f"RTSP/1.0 {status}\r\nCSeq: {request.cseq}\r\n\r\n".encode())

    def on_frames(self, run: Frames) -> None:
        if run.rtcp:
            self.on_rtcp(run)
        elif self.state in (State.ASKED, State.PLAYING):
            if not self.media_seen:
                self.media_seen = True
                self.check_playing()
            if self.state is State.PLAYING:
                self.owner.attempt_media(self, run)

    def on_rtcp(self, run: Frames) -> None:
        channel, payload = split_frames(run.data)[0]
        try:
            packets = rtp.parse_rtcp(payload)
        except ValueError:
            return
        for packet in packets:
            if note := rtp.read_note(packet):
                self.owner.attempt_note(self, *note)
            elif packet.kind == rtp.BYE and self.state is State.PLAYING:
                self.owner.attempt_rtcp(self, channel, packet)
                self.end(Outcome.OK)
                return
            elif self.state is State.PLAYING:
                self.owner.attempt_rtcp(self, channel, packet)

    def check_playing(self) -> None:
        if self.play_ok and self.media_seen and self.state is State.ASKED:
            self.state = State.PLAYING
            if self.timer:
                self.timer.cancel()
            self.owner.attempt_playing(self, (self.loop.now() - self.began) * 1000)

    # the session's side

    def set_bandwidth(self, kb: float, rung: int) -> None:
        """A change of rung while it is set up or plays: SET_PARAMETER with the rung and its rate."""
        self.bandwidth = kb
        if self.state in (State.ASKED, State.PLAYING):
            body = f"rung: {rung}\r\n".encode()
            kind = ("Content-Type", "text/parameters")
            self.send("SET_PARAMETER", self.url, self.bandwidth_header(), kind, body=body)

    def leave(self, outcome: Outcome = Outcome.OK) -> None:
        """Ends it in order: TEARDOWN, its answer, `outcome`. Before it plays the connection is dropped."""
        if self.state is State.PLAYING:
            self.state, self.left_as = State.LEAVING, outcome
            self.stream.resume_reading()
            self.send("TEARDOWN", self.url)
            self.timer = self.loop.call_later(TEARDOWN_S, self.end, outcome)
        elif self.state is not State.LEAVING:
            self.end(Outcome.CANCELLED)

    def end(self, outcome: Outcome) -> None:
        if self.state is State.ENDED:
            return
        if outcome == Outcome.TIMEOUT and not self.may_have_run:
            outcome = Outcome.CONNECT_FAILED  # nothing left: that is provable
        self.state = State.ENDED
        if self.timer:
            self.timer.cancel()
        if outcome == Outcome.OK:
            self.stream.close()
        else:
            self.stream.abort()
        self.owner.attempt_ended(self, outcome, self.report)
