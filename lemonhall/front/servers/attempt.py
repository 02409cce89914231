"""One attempt to play a session at a media server, on its own connection: SETUP for each track, PLAY, media.

Every attempt ends exactly once. Its outcome states whether the session can have run at the server:
`CONNECT_FAILED` is reported only if the kernel took no byte of the request, `FULL` only if the response to
the first SETUP says so. After any other outcome the session may have run.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum, auto
from typing import Protocol

from lemonhall.interface import Outcome
from lemonhall.loop import Handler, Loop, Stream, Timer
from lemonhall.loop.stream import Address
from lemonhall.rtsp import FrameRun, MalformedInput, Parser, Request, Response, reports, rtp
from lemonhall.rtsp.messages import encode_request
from lemonhall.rtsp.parser import split_frames

TEARDOWN_TIMEOUT_S = 0.5  # without a response to TEARDOWN the connection is reset
FULL_STATUSES = (453, 503)


class State(Enum):
    CONNECTING = auto()
    SETTING_UP = auto()  # connected; a SETUP may have been sent
    PLAY_SENT = auto()
    PLAYING = auto()  # PLAY succeeded and media has arrived
    TEARING_DOWN = auto()  # TEARDOWN sent
    ENDED = auto()


class Owner(Protocol):
    """The session. Playing and ended are reported at most once each, the others any number of times."""

    def attempt_playing(self, attempt: Attempt, took_ms: float) -> None: ...
    def attempt_media(self, attempt: Attempt, run: FrameRun) -> None: ...
    def attempt_rtcp(self, attempt: Attempt, channel: int, packet: rtp.RtcpPacket) -> None: ...
    def attempt_note(self, attempt: Attempt, kind: int, value: float) -> None: ...
    def attempt_ended(self, attempt: Attempt, outcome: Outcome, report: tuple[float, ...]) -> None: ...


class Attempt(Handler):
    """`tracks` holds the control URL and the channels (RTP, RTCP) of each track; `headers` are sent with
    every request.

    `bandwidth` is in kB/s. With `may_send` False the connection is made, but no request is sent before
    `on_claim_written` reports success.
    """

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
        may_send: bool = True,
    ) -> None:
        self.loop, self.owner, self.number, self.server, self.url = loop, owner, number, server, url
        self.tracks, self.headers, self.bandwidth, self.start_s = tracks, headers, bandwidth, start_s
        self.report_fields = report_fields
        self.state, self.teardown_outcome = State.CONNECTING, Outcome.OK
        self.started_at = loop.now()
        self.parser = Parser()
        self.cseq = self.tracks_set_up = 0
        self.session = ""
        self.pending_methods: dict[str, str] = {}  # methods of requests without a response, by CSeq
        self.report: tuple[float, ...] = ()
        self.play_ok = self.media_seen = False
        self.may_send = may_send
        self.timer: Timer | None = loop.call_later(timeout_s, self.end, Outcome.TIMEOUT)
        self.stream = Stream.connect(loop, address, self, min(connect_s, max(0.001, timeout_s)))

    @property
    def may_have_run(self) -> bool:
        return self.stream.bytes_written > 0

    def send(self, method: str, url: str, *headers: tuple[str, str], body: bytes = b"") -> None:
        self.cseq += 1
        self.pending_methods[str(self.cseq)] = method
        session = [("Session", self.session)] if self.session else []
        self.stream.write(
            encode_request(method, url, self.cseq, *session, *self.headers, *headers, body=body)
        )

    # callbacks of the stream

    def on_connected(self) -> None:
        self.state = State.SETTING_UP
        if self.may_send:
            self.send_set_up()

    def on_claim_written(self, error: str) -> None:
        """Called once the attempt is recorded on disk, which allows the first request.

        `error` is empty, or why the record could not be written; the attempt then ends as `MOOT`.
        """
        if self.state is State.ENDED:
            return
        if error:
            self.end(Outcome.MOOT)
            return
        self.may_send = True
        if self.state is State.SETTING_UP:
            self.send_set_up()

    def send_set_up(self) -> None:
        control, channels = self.tracks[self.tracks_set_up]
        transport = f"RTP/AVP/TCP;unicast;interleaved={channels[0]}-{channels[1]}"
        self.send("SETUP", control, ("Transport", transport), self.bandwidth_header())

    def bandwidth_header(self) -> tuple[str, str]:
        """The bandwidth of the session in bits per second (RFC 2326, 12.6)."""
        return "Bandwidth", str(round(self.bandwidth * 8000))

    def on_data(self, view: memoryview) -> None:
        for event in self.parser.feed(view):
            if self.state is State.ENDED:
                return
            if isinstance(event, FrameRun):
                self.on_frames(event)
            elif isinstance(event, Response):
                self.on_response(event)
            elif isinstance(event, Request):
                self.on_request(event)
            elif isinstance(event, MalformedInput):
                self.end(Outcome.RESET if self.state is State.PLAYING else Outcome.ERROR)

    def on_closed(self, reason: str) -> None:
        if self.state is State.ENDED:
            return
        if self.state is State.TEARING_DOWN:
            self.end(self.teardown_outcome)
        else:
            self.end(Outcome.RESET if self.stream.bytes_written else Outcome.CONNECT_FAILED)

    # RTSP

    def on_response(self, response: Response) -> None:
        method = self.pending_methods.pop(response.cseq, "")
        if text := response.headers.get(reports.HEADER):
            self.report = reports.decode(text, self.report_fields) or self.report
        success = 200 <= response.status < 300
        if method == "SETUP" and self.state is State.SETTING_UP:
            if not success or not response.session:
                first = self.tracks_set_up == 0
                self.end(Outcome.FULL if first and response.status in FULL_STATUSES else Outcome.ERROR)
                return
            self.session = response.session
            self.tracks_set_up += 1
            if self.tracks_set_up < len(self.tracks):
                self.send_set_up()
                return
            self.state = State.PLAY_SENT
            position = ("Range", f"npt={self.start_s:.3f}-")
            self.send("PLAY", self.url, position, self.bandwidth_header())
        elif method == "PLAY" and self.state is State.PLAY_SENT:
            if not success:
                self.end(Outcome.ERROR)
                return
            self.play_ok = True
            self.check_playing()
        elif method == "TEARDOWN":
            self.end(self.teardown_outcome)

    def on_request(self, request: Request) -> None:
        """Answers a server's keep-alive request; other methods are not implemented."""
        status = "200 OK" if request.method in ("OPTIONS", "GET_PARAMETER") else "501 Not Implemented"
        self.stream.write(f"RTSP/1.0 {status}\r\nCSeq: {request.cseq}\r\n\r\n".encode())

    def on_frames(self, run: FrameRun) -> None:
        if run.is_rtcp:
            self.on_rtcp(run)
        elif self.state in (State.PLAY_SENT, State.PLAYING):
            if not self.media_seen:
                self.media_seen = True
                self.check_playing()
            if self.state is State.PLAYING:
                self.owner.attempt_media(self, run)

    def on_rtcp(self, run: FrameRun) -> None:
        channel, payload = split_frames(run.data)[0]
        try:
            packets = rtp.parse_rtcp(payload)
        except ValueError:
            return
        for packet in packets:
            if note := rtp.parse_note(packet):
                self.owner.attempt_note(self, *note)
            elif packet.packet_type == rtp.BYE and self.state is State.PLAYING:
                self.owner.attempt_rtcp(self, channel, packet)
                self.end(Outcome.OK)
                return
            elif self.state is State.PLAYING:
                self.owner.attempt_rtcp(self, channel, packet)

    def check_playing(self) -> None:
        if self.play_ok and self.media_seen and self.state is State.PLAY_SENT:
            self.state = State.PLAYING
            if self.timer:
                self.timer.cancel()
            self.owner.attempt_playing(self, (self.loop.now() - self.started_at) * 1000)

    # called by the session

    def set_bandwidth(self, rate_kb: float, rung: int) -> None:
        """Changes the rate to `rate_kb` (kB/s): by SET_PARAMETER once PLAY was sent, before with the next
        request."""
        self.bandwidth = rate_kb
        if self.state in (State.PLAY_SENT, State.PLAYING):
            body = f"rung: {rung}\r\n".encode()
            content_type = ("Content-Type", "text/parameters")
            self.send("SET_PARAMETER", self.url, self.bandwidth_header(), content_type, body=body)

    def teardown(self, outcome: Outcome = Outcome.OK) -> None:
        """Sends TEARDOWN and ends with `outcome` after the response.

        Before media plays the connection is reset instead, and the outcome is `CANCELLED`.
        """
        if self.state is State.PLAYING:
            self.state, self.teardown_outcome = State.TEARING_DOWN, outcome
            self.stream.resume_reading()
            self.send("TEARDOWN", self.url)
            self.timer = self.loop.call_later(TEARDOWN_TIMEOUT_S, self.end, outcome)
        elif self.state is not State.TEARING_DOWN:
            self.end(Outcome.CANCELLED)

    def end(self, outcome: Outcome) -> None:
        if self.state is State.ENDED:
            return
        if outcome == Outcome.TIMEOUT and not self.may_have_run:
            outcome = Outcome.CONNECT_FAILED  # provably, no byte of the request was sent
        self.state = State.ENDED
        if self.timer:
            self.timer.cancel()
        if outcome == Outcome.OK:
            self.stream.close()
        else:
            self.stream.abort()
        self.owner.attempt_ended(self, outcome, self.report)
