"""A viewer's session from its first SETUP to its end, in one file.

States (RFC 2326, appendix A, with the wait for the module's word made plain):

    ready    SETUP was answered here; no server knows of it
    asked    PLAY was taken: the module has a `NewSession` and owes one answer
    playing  PLAY was answered 200; media flow
    moving   off its server, to be asked again as a moved session; the viewer keeps its connection
    ended    454 to whatever comes
"""

from __future__ import annotations

import math
from collections import Counter
from enum import Enum, auto
from typing import Protocol

from lemonhall.config.routing import title_of
from lemonhall.front.servers.attempt import Attempt
from lemonhall.front.servers.attempt import State as AttemptState
from lemonhall.front.servers.rtp_rewriter import RtpRewriter
from lemonhall.front.viewers.routes import Asked
from lemonhall.front.viewers.slot import Slot
from lemonhall.interface import Outcome
from lemonhall.ipc import RequestState, SetUpRequested
from lemonhall.loop import Loop, Timer
from lemonhall.rtsp import FrameRun, rtp
from lemonhall.rtsp.messages import encode_response, make_response
from lemonhall.rtsp.parser import encode_frame, split_frames
from lemonhall.store import Token


class State(Enum):
    READY = auto()
    ASKED = auto()
    PLAYING = auto()
    MOVING = auto()
    ENDED = auto()


class Connection(Protocol):
    """The viewer's, as its sessions see it."""

    sessions: dict[str, Session]

    def answer(self, slot: Slot, data: bytes) -> None: ...
    def media(self, session: Session, data: memoryview) -> None: ...
    def url(self, session: Session, track: int) -> str: ...


class Minder(Protocol):
    """The worker, as its sessions see it."""

    loop: Loop
    counts: Counter[str]

    def new_id(self) -> str: ...
    def begin_ask(self, session: Session, moved: bool) -> None: ...
    def viewer_gone(self, session: Session) -> None: ...
    def forget(self, session: Session) -> None: ...
    def playing(self, ask: Ask, attempt: Attempt, took_ms: float) -> None: ...
    def note(self, ask: Ask, attempt: Attempt, kind: int, value: float) -> None: ...
    def attempt_ended(
        self, ask: Ask, attempt: Attempt, outcome: Outcome, report: tuple[float, ...]
    ) -> None: ...


class Ask:
    """One session of the module's, and what its attempts tell. `said`: as the decider is told of it."""

    def __init__(self, session: Session, said: SetUpRequested, most: int) -> None:
        self.session, self.said, self.number, self.deadline = session, said, said.request_id, said.deadline
        self.carry = RequestState(most)
        self.rung = 0
        self.attempt: Attempt | None = None
        self.answered = False
        self.backstop: Timer | None = None
        self.memo = b""  # what its decider wishes to be remembered
        self.attempt_media = session.attempt_media
        self.attempt_rtcp = session.attempt_rtcp

    def attempt_playing(self, attempt: Attempt, took_ms: float) -> None:
        self.session.attempt_playing(self, attempt, took_ms)

    def attempt_note(self, attempt: Attempt, kind: int, value: float) -> None:
        self.session.worker.note(self, attempt, kind, value)

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, report: tuple[float, ...]) -> None:
        self.session.worker.attempt_ended(self, attempt, outcome, report)


class ViewerTrack:
    """One track as the viewer has it: channels on its connection, and RTP continuity."""

    def __init__(self, channels: tuple[int, int], control: str, clock_rate: int) -> None:
        self.channels, self.control, self.rtp = channels, control, RtpRewriter(clock_rate)


class Session:
    def __init__(
        self,
        worker: Minder,
        viewer: Connection,
        path: str,
        there: str,
        asked: Asked,
        viewer_name: str,
        top: int,
    ) -> None:
        self.worker, self.viewer, self.path, self.asked = worker, viewer, path, asked
        self.there = there  # the path at the servers; most often the same
        self.viewer_name, self.top = viewer_name, top
        self.viewer_id = title_of(viewer_name)  # what the module knows the viewer by
        self.id = worker.new_id()
        self.state = State.READY
        self.tracks: dict[int, ViewerTrack] = {}
        self.ask: Ask | None = None
        self.slot: Slot | None = None  # where the answer to PLAY goes
        self.cseq = ""
        self.position_s, self.since = 0.0, 0.0  # of the media at time `since` of the loop
        self.again = False
        self.claim: Token | None = None  # of a paid session, where a ledger is kept
        self.held_back = False  # its server, while the viewer's buffer is full or the answer waits its turn

    # asked for by the viewer

    def play(self, slot: Slot, cseq: str, start_s: float | None) -> None:
        """PLAY while ready: the module is asked, once."""
        if start_s is not None:
            self.position_s = start_s
        self.state, self.slot, self.cseq = State.ASKED, slot, cseq
        self.worker.begin_ask(self, moved=False)

    def position(self) -> float:
        playing = self.state in (State.PLAYING, State.MOVING)
        return self.position_s + (self.worker.loop.now() - self.since if playing else 0.0)

    def teardown(self) -> None:
        """The viewer wants no more: the server is told, an answer that is still owed becomes 454."""
        was = self.state
        self.state = State.ENDED
        if was is State.ASKED:
            self.answer(encode_response(454, self.cseq))
        if self.ask:
            self.worker.viewer_gone(self)
        self.worker.forget(self)

    def viewer_lost(self) -> None:
        """The viewer's connection is gone: nobody is left to answer."""
        if self.state is State.ENDED:
            return
        self.state = State.ENDED
        self.slot = None
        if self.ask:
            self.worker.viewer_gone(self)
        self.worker.forget(self)

    # decided by the module

    def answer(self, data: bytes) -> None:
        """The one answer to PLAY. A second is refused here: the viewer never sees it."""
        slot, self.slot = self.slot, None
        if slot:
            self.viewer.answer(slot, data)

    def refused(self, pause_ms: float, reason: str = "") -> None:
        """503 with the pause that is advised, in whole seconds, else 453 (RFC 2326, 11.3.8 and 7.1.1).

        A hook's reason takes the place of the reason phrase, which is for people (7.1).
        """
        pause = ("Retry-After", str(math.ceil(pause_ms / 1000)))
        made = make_response(503, self.cseq, pause) if pause_ms > 0 else make_response(453, self.cseq)
        made.reason = reason
        self.over(made.encode(), "refused")

    def failed(self, status: int = 502) -> None:
        self.over(encode_response(status, self.cseq), "failed")

    def over(self, data: bytes, why: str) -> None:
        """No more of this ask: an answer where one is owed, else the end of the stream."""
        if self.state is State.ASKED:
            self.answer(data)
            self.state = State.READY
            self.ask = None
        elif self.state is not State.ENDED:
            self.end(why)

    def end(self, why: str) -> None:
        """The stream is over: BYE on each RTCP channel (RFC 3550, 6.6), then the session is no more."""
        if self.state is State.ENDED:
            return
        self.state = State.ENDED
        for track in self.tracks.values():
            if track.rtp.ssrc is not None:
                bye = encode_frame(track.channels[1], rtp.build_bye(track.rtp.ssrc, why))
                self.viewer.media(self, memoryview(bye))
        self.worker.forget(self)

    # told by an attempt

    def attempt_playing(self, ask: Ask, attempt: Attempt, took_ms: float) -> None:
        if self.ask is not ask or ask.attempt is not attempt:
            return
        moved = self.state is State.MOVING
        self.worker.playing(ask, attempt, took_ms)
        if not moved:
            self.since = self.worker.loop.now()
        self.state = State.PLAYING
        if not moved:
            headers = [
                ("Session", f"{self.id};timeout=60"),
                ("Range", f"npt={self.position_s:.3f}-"),
                ("RTP-Info", ",".join(f"url={self.viewer.url(self, n)}" for n in sorted(self.tracks))),
            ]
            self.answer(encode_response(200, self.cseq, *headers))
        if self.held_back:
            attempt.stream.pause_reading()

    def attempt_media(self, attempt: Attempt, run: FrameRun) -> None:
        if self.state is not State.PLAYING or self.ask is None or self.ask.attempt is not attempt:
            return
        track = next((t.rtp for t in self.tracks.values() if t.channels[0] == run.channel), None)
        if track is None:  # a channel that is not this session's: it may be a neighbour's
            self.worker.counts["stray_frames"] += 1
            return
        now = self.worker.loop.now()
        if track.offsets is None and not track.resync:
            track.observe(run.data[run.last_offset + 4 :], now)
            self.viewer.media(self, run.data)
            return
        copy = memoryview(bytearray(run.data))
        for _, packet in split_frames(copy):
            track.rewrite(packet, now)
        self.viewer.media(self, copy)

    def attempt_rtcp(self, attempt: Attempt, channel: int, packet: rtp.RtcpPacket) -> None:
        for track in self.tracks.values():
            if track.channels[1] == channel and packet.packet_type != rtp.BYE:
                self.viewer.media(self, memoryview(encode_frame(channel, track.rtp.rewrite_rtcp(packet))))

    def to_server(self, channel: int, payload: memoryview) -> None:
        """A viewer's receiver report goes on to its server while SSRCs are the same on both sides."""
        ask = self.ask
        if self.state is not State.PLAYING or ask is None or ask.attempt is None:
            return
        if all(t.rtp.offsets is None for t in self.tracks.values()) and ask.attempt.stream.backlog_bytes == 0:
            ask.attempt.stream.write(encode_frame(channel, payload))

    # back-pressure

    def hold_back(self) -> None:
        self.held_back = True
        attempt = self.ask.attempt if self.ask else None
        if attempt and attempt.state is AttemptState.PLAYING:  # before that its answers are waited for
            attempt.stream.pause_reading()

    def let_flow(self) -> None:
        self.held_back = False
        if self.ask and self.ask.attempt:
            self.ask.attempt.stream.resume_reading()
