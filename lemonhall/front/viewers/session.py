"""A viewer's session, from its first SETUP to its end.

States (RFC 2326, appendix A, extended by the wait for the decision):

    ready     SETUP was answered by the front; no server knows the session
    starting  PLAY was accepted: the module has a `NewSession`, and the viewer is owed one response
    playing   PLAY was answered with 200; media flow
    moving    removed from its server; a new set-up request follows, and the viewer keeps its connection
    ended     every further request is answered with 454
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
from lemonhall.front.viewers.response_slot import ResponseSlot
from lemonhall.front.viewers.routes import RoutingResult
from lemonhall.interface import Outcome
from lemonhall.ipc import RequestState, SetUpRequested
from lemonhall.loop import Loop, Timer
from lemonhall.rtsp import FrameRun, rtp
from lemonhall.rtsp.messages import encode_response, make_response
from lemonhall.rtsp.parser import encode_frame, split_frames
from lemonhall.store import Token


class State(Enum):
    READY = auto()
    STARTING = auto()
    PLAYING = auto()
    MOVING = auto()
    ENDED = auto()


class Connection(Protocol):
    """The viewer's connection, as its sessions use it."""

    sessions: dict[str, Session]

    def complete_slot(self, slot: ResponseSlot, response: bytes) -> None: ...
    def send_media(self, session: Session, data: memoryview) -> None: ...
    def track_url(self, session: Session, track: int) -> str: ...


class SessionHost(Protocol):
    """The worker, as its sessions use it."""

    loop: Loop
    counts: Counter[str]

    def new_session_id(self) -> str: ...
    def open_request(self, session: Session, moved: bool) -> None: ...
    def on_viewer_gone(self, session: Session) -> None: ...
    def remove_session(self, session: Session) -> None: ...
    def on_attempt_playing(self, request: SetUpRequest, attempt: Attempt, took_ms: float) -> None: ...
    def on_server_note(self, request: SetUpRequest, attempt: Attempt, kind: int, value: float) -> None: ...
    def on_attempt_finished(
        self, request: SetUpRequest, attempt: Attempt, outcome: Outcome, report: tuple[float, ...]
    ) -> None: ...


class SetUpRequest:
    """A set-up request, which is one session for the module, and the owner of its attempts.

    A session has a new one for each PLAY and each move. `message` reports the request to the decider.
    """

    def __init__(self, session: Session, message: SetUpRequested, max_attempts: int) -> None:
        self.session, self.message, self.number, self.deadline = (
            session,
            message,
            message.request_id,
            message.deadline,
        )
        self.request_state = RequestState(max_attempts)
        self.rung = 0
        self.attempt: Attempt | None = None
        self.answered = False
        self.deadline_timer: Timer | None = None
        self.memo = b""  # opaque data of the decider, returned to the next decider
        self.attempt_media = session.attempt_media
        self.attempt_rtcp = session.attempt_rtcp

    def attempt_playing(self, attempt: Attempt, took_ms: float) -> None:
        self.session.attempt_playing(self, attempt, took_ms)

    def attempt_note(self, attempt: Attempt, kind: int, value: float) -> None:
        self.session.worker.on_server_note(self, attempt, kind, value)

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, report: tuple[float, ...]) -> None:
        self.session.worker.on_attempt_finished(self, attempt, outcome, report)


class ViewerTrack:
    """One track as the viewer receives it: channels on the viewer's connection, and continuity of RTP."""

    def __init__(self, channels: tuple[int, int], control: str, clock_rate: int) -> None:
        self.channels, self.control, self.rewriter = channels, control, RtpRewriter(clock_rate)


class Session:
    """One session on a viewer's connection. `server_path`, which a route may rewrite, is sent to servers."""

    def __init__(
        self,
        worker: SessionHost,
        viewer: Connection,
        path: str,
        server_path: str,
        routing: RoutingResult,
        viewer_name: str,
        top_rung: int,
    ) -> None:
        self.worker, self.viewer, self.path, self.routing = worker, viewer, path, routing
        self.server_path = server_path
        self.viewer_name, self.top_rung = viewer_name, top_rung
        self.viewer_id = title_of(viewer_name)  # identifies the viewer to the module
        self.id = worker.new_session_id()
        self.state = State.READY
        self.tracks: dict[int, ViewerTrack] = {}
        self.set_up_request: SetUpRequest | None = None
        self.play_slot: ResponseSlot | None = None  # for the response to PLAY
        self.play_cseq = ""
        # position in the media at loop time `position_at`, which is 0 until media flow
        self.position_s, self.position_at = 0.0, 0.0
        self.is_repeat = False  # the viewer states that it has requested this before
        self.claim: Token | None = None  # of a paid session, if the front has a ledger
        # the viewer's send buffer is full or its PLAY response is queued, so the server is not read
        self.server_paused = False

    # requests of the viewer

    def play(self, slot: ResponseSlot, cseq: str, start_s: float | None) -> None:
        """Handles PLAY of a ready session: opens one set-up request."""
        if start_s is not None:
            self.position_s = start_s
        self.state, self.play_slot, self.play_cseq = State.STARTING, slot, cseq
        self.worker.open_request(self, moved=False)

    def current_position_s(self) -> float:
        playing = self.state in (State.PLAYING, State.MOVING)
        return self.position_s + (self.worker.loop.now() - self.position_at if playing else 0.0)

    def teardown(self) -> None:
        """Ends the session for the viewer: the server receives TEARDOWN, a PLAY without response gets 454."""
        previous = self.state
        self.state = State.ENDED
        if previous is State.STARTING:
            self.respond(encode_response(454, self.play_cseq))
        if self.set_up_request:
            self.worker.on_viewer_gone(self)
        self.worker.remove_session(self)

    def on_viewer_lost(self) -> None:
        """Ends the session after its viewer's connection has closed; no response is sent."""
        if self.state is State.ENDED:
            return
        self.state = State.ENDED
        self.play_slot = None
        if self.set_up_request:
            self.worker.on_viewer_gone(self)
        self.worker.remove_session(self)

    # decisions of the module

    def respond(self, response: bytes) -> None:
        """Sends the response to PLAY. A second response is dropped, so the viewer receives only one."""
        slot, self.play_slot = self.play_slot, None
        if slot:
            self.viewer.complete_slot(slot, response)

    def refuse(self, pause_ms: float, reason: str = "") -> None:
        """Responds with 503 and the advised pause in whole seconds, or with 453 if the pause is 0
        (RFC 2326, 11.3.8 and 7.1.1).

        A hook's reason replaces the reason phrase, which is intended for people (7.1).
        """
        pause = ("Retry-After", str(math.ceil(pause_ms / 1000)))
        response = (
            make_response(503, self.play_cseq, pause) if pause_ms > 0 else make_response(453, self.play_cseq)
        )
        response.reason = reason
        self.respond_or_end(response.encode(), "refused")

    def fail(self, status: int = 502) -> None:
        self.respond_or_end(encode_response(status, self.play_cseq), "failed")

    def respond_or_end(self, response: bytes, bye_reason: str) -> None:
        """Gives up the set-up request: sends the response if PLAY waits for it, otherwise ends the stream."""
        if self.state is State.STARTING:
            self.respond(response)
            self.state = State.READY
            self.set_up_request = None
        elif self.state is not State.ENDED:
            self.end(bye_reason)

    def end(self, bye_reason: str) -> None:
        """Ends the stream with BYE on each RTCP channel (RFC 3550, 6.6) and removes the session."""
        if self.state is State.ENDED:
            return
        self.state = State.ENDED
        for track in self.tracks.values():
            if track.rewriter.ssrc is not None:
                bye = encode_frame(track.channels[1], rtp.build_bye(track.rewriter.ssrc, bye_reason))
                self.viewer.send_media(self, memoryview(bye))
        self.worker.remove_session(self)

    # events of an attempt

    def attempt_playing(self, request: SetUpRequest, attempt: Attempt, took_ms: float) -> None:
        if self.set_up_request is not request or request.attempt is not attempt:
            return
        moved = self.state is State.MOVING
        self.worker.on_attempt_playing(request, attempt, took_ms)
        if not moved:
            self.position_at = self.worker.loop.now()
        self.state = State.PLAYING
        if not moved:
            headers = [
                ("Session", f"{self.id};timeout=60"),
                ("Range", f"npt={self.position_s:.3f}-"),
                (
                    "RTP-Info",
                    ",".join(f"url={self.viewer.track_url(self, number)}" for number in sorted(self.tracks)),
                ),
            ]
            self.respond(encode_response(200, self.play_cseq, *headers))
        if self.server_paused:
            attempt.stream.pause_reading()

    def attempt_media(self, attempt: Attempt, run: FrameRun) -> None:
        if (
            self.state is not State.PLAYING
            or self.set_up_request is None
            or self.set_up_request.attempt is not attempt
        ):
            return
        rewriter = next((t.rewriter for t in self.tracks.values() if t.channels[0] == run.channel), None)
        if rewriter is None:  # may be a channel of another session on the viewer's connection
            self.worker.counts["stray_frames"] += 1
            return
        now = self.worker.loop.now()
        if rewriter.offsets is None and not rewriter.resync:
            rewriter.observe(run.data[run.last_offset + 4 :], now)
            self.viewer.send_media(self, run.data)
            return
        copy = memoryview(bytearray(run.data))
        for _, packet in split_frames(copy):
            rewriter.rewrite(packet, now)
        self.viewer.send_media(self, copy)

    def attempt_rtcp(self, attempt: Attempt, channel: int, packet: rtp.RtcpPacket) -> None:
        for track in self.tracks.values():
            if track.channels[1] == channel and packet.packet_type != rtp.BYE:
                self.viewer.send_media(
                    self, memoryview(encode_frame(channel, track.rewriter.rewrite_rtcp(packet)))
                )

    def forward_rtcp(self, channel: int, payload: memoryview) -> None:
        """Forwards a viewer's receiver report to its server as long as both sides use the same SSRC."""
        request = self.set_up_request
        if self.state is not State.PLAYING or request is None or request.attempt is None:
            return
        if (
            all(t.rewriter.offsets is None for t in self.tracks.values())
            and request.attempt.stream.backlog_bytes == 0
        ):
            request.attempt.stream.write(encode_frame(channel, payload))

    # back-pressure

    def pause_server(self) -> None:
        self.server_paused = True
        attempt = self.set_up_request.attempt if self.set_up_request else None
        # Until it plays, an attempt must be read for its responses.
        if attempt and attempt.state is AttemptState.PLAYING:
            attempt.stream.pause_reading()

    def resume_server(self) -> None:
        self.server_paused = False
        if self.set_up_request and self.set_up_request.attempt:
            self.set_up_request.attempt.stream.resume_reading()
