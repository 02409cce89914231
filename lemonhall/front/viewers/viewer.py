"""A viewer's connection: pipelined requests, responses in the order of the requests, media in between.

A request takes a slot; its response is sent once all earlier ones have been (RFC 2326, 9.1). A request for a
session whose earlier request still waits for a response is handled at once, in the session's current state.
"""

from __future__ import annotations

import re
import socket
from collections import deque
from typing import Any, Protocol

import structlog

from lemonhall.config.routing import Router
from lemonhall.config.settings import FrontSettings
from lemonhall.front.servers.descriptions import DescriptionCache
from lemonhall.front.viewers import routes
from lemonhall.front.viewers.response_slot import ResponseSlot
from lemonhall.front.viewers.session import Session, SessionHost, State, ViewerTrack
from lemonhall.interface import Repeat
from lemonhall.loop import Handler, Stream, Timer
from lemonhall.rtsp import FrameRun, MalformedInput, Parser, Request
from lemonhall.rtsp.messages import (
    METHODS,
    Transport,
    encode_response,
    make_request,
    make_response,
    parse_npt,
    parse_transport,
    split_track,
    split_url,
)
from lemonhall.rtsp.parser import split_frames
from lemonhall.rtsp.sdp import Description
from lemonhall.store import Token

log = structlog.get_logger("lemonhall.front")
PUBLIC = "OPTIONS, DESCRIBE, SETUP, PLAY, GET_PARAMETER, SET_PARAMETER, TEARDOWN"
MAX_PENDING_REQUESTS = 32  # of one connection, without a response
KNOWN_PARAMETERS = ("position",)
HANDLER_NAMES = {method: f"do_{method.lower()}" for method in METHODS}


class ViewerHost(SessionHost, Protocol):
    """The worker, as a viewer's connection uses it."""

    settings: FrontSettings
    descriptions: DescriptionCache
    router: Router
    host: str
    stopping: bool
    store_failing: bool

    def refusal_counter(self) -> str: ...
    def new_claim_token(self) -> Token | None: ...
    def add_session(self, session: Session) -> None: ...
    def on_viewer_closed(self, viewer: ViewerConnection) -> None: ...


class ViewerConnection(Handler):
    """The RTSP connection of one viewer, with its sessions by id."""

    def __init__(self, worker: ViewerHost, sock: socket.socket, peer: Any) -> None:
        self.worker, self.peer = worker, peer
        self.limits = worker.settings.limits
        self.parser = Parser()
        self.sessions: dict[str, Session] = {}
        self.slots: deque[ResponseSlot] = deque()
        self.last_request: tuple[str, str, str] | None = None  # CSeq, method and URL
        self.last_response: bytes | None = None  # to the last request
        self.closing_on_error = False
        self.sent_requests = 0  # requests of the front to the viewer, which are numbered by CSeq
        self.message_timer: Timer | None = None
        self.active_at = worker.loop.now()
        self.stream = Stream(worker.loop, sock, self, high_watermark=self.limits.viewer_backlog)
        self.idle_timer = worker.loop.call_later(self.limits.idle_ms / 1000, self.check_idle)

    # input and connection state

    def on_data(self, view: memoryview) -> None:
        for event in self.parser.feed(view):
            if self.closing_on_error:
                return
            if isinstance(event, Request):
                self.on_request(event)
            elif isinstance(event, FrameRun):
                self.on_frames(event)
            elif isinstance(event, MalformedInput):
                self.close_with_error(event)
        self.update_message_timer()

    def update_message_timer(self) -> None:
        """Limits the time for an incomplete message: a viewer that sends byte by byte only holds a
        descriptor until the timeout."""
        if self.parser.in_message and self.message_timer is None:
            timeout_s = self.limits.head_ms / 1000
            self.message_timer = self.worker.loop.call_later(timeout_s, self.on_message_timeout)
        elif not self.parser.in_message and self.message_timer:
            self.message_timer.cancel()
            self.message_timer = None

    def on_message_timeout(self) -> None:
        self.message_timer = None
        if self.stream.open:
            self.close_with_error(MalformedInput(408, "message not complete within the time limit"))

    def mark_active(self) -> None:
        """Records activity. The connection's only idle timer compares with it and is not set anew."""
        self.active_at = self.worker.loop.now()

    def check_idle(self) -> None:
        """Closes a connection that has had no session and no request for the idle time."""
        if not self.stream.open:
            return
        idle_s = self.limits.idle_ms / 1000
        remaining_s = self.active_at + idle_s - self.worker.loop.now()
        if remaining_s <= 0 and not (self.sessions or self.slots):
            self.stream.close()
            return
        self.idle_timer = self.worker.loop.call_later(
            remaining_s if remaining_s > 0 else idle_s, self.check_idle
        )

    def close_with_error(self, error: MalformedInput) -> None:
        """Responds once to input that cannot be processed, and closes; sessions end with the connection."""
        self.worker.counts["malformed"] += 1
        log.info(
            "request not processable; connection closed",
            peer=str(self.peer),
            status=error.status,
            reason=error.reason,
        )
        self.closing_on_error = True
        self.stream.write(make_response(error.status, error.cseq, ("Connection", "close")).encode())
        self.stream.close()

    def on_closed(self, reason: str) -> None:
        self.idle_timer.cancel()
        if self.message_timer:
            self.message_timer.cancel()
        for session in list(self.sessions.values()):
            session.on_viewer_lost()
        self.worker.on_viewer_closed(self)

    def on_frames(self, run: FrameRun) -> None:
        """Passes receiver reports to their session; frames of channels without a track are ignored."""
        for channel, payload in split_frames(run.data):
            for session in self.sessions.values():
                if any(track.channels[1] == channel for track in session.tracks.values()):
                    session.forward_rtcp(channel, payload)

    # responses and media

    def complete_slot(self, slot: ResponseSlot, response: bytes) -> None:
        """Sets the response of a slot and sends all responses that are next in order."""
        if slot.response is not None:
            return
        slot.response = response
        if slot.request.cseq == (self.last_request[0] if self.last_request else None):
            self.last_response = slot.response
        while self.slots and self.slots[0].response is not None:
            first = self.slots.popleft()
            assert first.response is not None
            self.stream.write(b"".join([first.response, *first.queued_media]))
            for session in self.sessions.values():
                if (
                    session.server_paused
                    and not self.stream.above_high_watermark
                    and self.find_play_slot(session) is None
                ):
                    session.resume_server()
        self.mark_active()

    def redirect(self, location: str) -> None:
        """Sends REDIRECT for each playing session (RFC 2326, 10.10). A viewer may follow it, or play on
        here until the drain ends."""
        for session in self.sessions.values():
            if session.state is State.PLAYING and not self.slots:
                self.sent_requests += 1
                location_header = ("Location", f"rtsp://{location}{session.path}")
                session_header = ("Session", session.id)
                url = f"rtsp://{self.worker.host}{session.path}"
                self.stream.write(
                    make_request(
                        "REDIRECT", url, self.sent_requests, session_header, location_header
                    ).encode()
                )

    def find_play_slot(self, session: Session) -> ResponseSlot | None:
        """Returns the queued slot whose response starts the session."""
        for slot in self.slots:
            if slot.request.method == "PLAY" and slot.request.session == session.id:
                return slot
        return None

    def send_media(self, session: Session, data: memoryview) -> None:
        if self.slots and (slot := self.find_play_slot(session)):
            slot.queued_media.append(bytes(data))
            session.pause_server()
            return
        self.stream.write(data)

    def on_backlog_full(self) -> None:
        for session in self.sessions.values():
            session.pause_server()
        self.worker.loop.call_later(self.limits.stalled_ms / 1000, self.check_stalled)

    def check_stalled(self) -> None:
        """Aborts the connection if the viewer has read nothing for the stall time."""
        stream = self.stream
        if not stream.open or stream.stalled_since is None:
            return
        remaining_s = stream.stalled_since + self.limits.stalled_ms / 1000 - self.worker.loop.now()
        if remaining_s > 0:
            self.worker.loop.call_later(remaining_s + 0.001, self.check_stalled)
            return
        self.worker.counts["viewer_stalled"] += 1
        stream.abort()

    def on_backlog_drained(self) -> None:
        for session in self.sessions.values():
            if self.find_play_slot(session) is None:
                session.resume_server()

    # requests

    def on_request(self, request: Request) -> None:
        self.mark_active()
        cseq = request.cseq
        key = (cseq, request.method, request.url)
        if not (cseq.isascii() and cseq.isdigit() and len(cseq) <= 10):
            self.close_with_error(MalformedInput(400, "CSeq is missing or not a number of at most 10 digits"))
            return
        if self.last_request and cseq == self.last_request[0]:
            if key != self.last_request:
                self.enqueue_response(request, 400)
            elif self.last_response is not None:  # a retransmission: the response is repeated
                self.stream.write(self.last_response)
            return
        if len(self.slots) >= MAX_PENDING_REQUESTS:
            self.close_with_error(MalformedInput(503, "too many pending requests", request.cseq))
            return
        self.last_request, self.last_response = key, None
        slot = ResponseSlot(request)
        self.slots.append(slot)
        if "Require" in request.headers:
            unsupported = ("Unsupported", request.headers.get("Require"))
            self.respond(slot, 551, unsupported)
            return
        handler = getattr(self, HANDLER_NAMES[request.method], None) if request.method in METHODS else None
        if handler:
            handler(slot, request)
        elif request.method in METHODS:
            self.respond(slot, 405, ("Allow", PUBLIC))
        else:
            self.respond(slot, 501, ("Public", PUBLIC))

    def enqueue_response(self, request: Request, status: int) -> None:
        slot = ResponseSlot(request)
        self.slots.append(slot)
        self.respond(slot, status)

    def respond(self, slot: ResponseSlot, status: int, *headers: tuple[str, str], body: bytes = b"") -> None:
        self.complete_slot(slot, encode_response(status, slot.request.cseq, *headers, body=body))

    def parse_path(self, slot: ResponseSlot, request: Request) -> tuple[str, int | None] | None:
        """Returns path and track of the request's URL. Responds with 400 to a malformed one; returns None."""
        try:
            return split_track(split_url(request.url)[1])
        except ValueError:
            self.respond(slot, 400)
            return None

    def route(
        self, slot: ResponseSlot, path: str, request: Request
    ) -> tuple[routes.RoutingResult, str] | None:
        """Returns where the request's route leads. Responds itself and returns None if there is no route,
        or if the route responds or redirects."""
        worker = self.worker
        host = split_url(request.url)[0]
        result = routes.route_request(worker.settings.terms, worker.router, path, request.headers, host)
        if isinstance(result, tuple):
            return result
        if result is None:
            self.respond(slot, 404)
        elif result.to and 300 <= result.status < 400:
            location = result.to if "://" in result.to else f"rtsp://{host}{result.to}"
            self.respond(slot, result.status, ("Location", re.sub(r"^https?://", "rtsp://", location)))
        else:
            self.respond(slot, result.status)
        return None

    def find_session(self, slot: ResponseSlot, request: Request) -> Session | None:
        """Returns the session that the request names. Responds with 454 if it is not on this connection."""
        session = self.sessions.get(request.session)
        if session is None:
            self.respond(slot, 454)
        return session

    def do_options(self, slot: ResponseSlot, request: Request) -> None:
        self.respond(slot, 200, ("Public", PUBLIC))

    def do_describe(self, slot: ResponseSlot, request: Request) -> None:
        parsed = self.parse_path(slot, request)
        if parsed is None:
            return
        path = parsed[0]
        routed = self.route(slot, path, request)
        if routed is None:
            return
        path = routed[1]
        content_base = ("Content-Base", request.url.rstrip("/") + "/")

        def on_description(status: int, description: Description | None) -> None:
            if description:
                content_type = ("Content-Type", "application/sdp")
                self.respond(slot, 200, content_base, content_type, body=description.text)
            elif status == 503:
                self.respond(slot, 503, ("Retry-After", "1"))
            else:
                self.respond(slot, status)

        self.worker.descriptions.describe(path, on_description)

    def do_setup(self, slot: ResponseSlot, request: Request) -> None:
        parsed = self.parse_path(slot, request)
        if parsed is None:
            return
        path, track = parsed
        settings = self.worker.settings
        routed = self.route(slot, path, request)
        if routed is None:
            return
        routing, server_path = routed
        description = self.worker.descriptions.cached(server_path)
        if description and track is None and len(description.tracks) > 1:
            self.respond(slot, 459)
            return
        number = track or 0
        if description and number >= len(description.tracks):
            self.respond(slot, 404)
            return
        transport = self.choose_transport(slot, request)
        if transport is None:
            return
        session = self.sessions.get(request.session)
        if session is None:
            if request.session:
                self.respond(slot, 454)
                return
            if counter := self.worker.refusal_counter():
                self.worker.counts[counter] += 1
                self.respond(slot, 503, ("Retry-After", "2"))
                return
            requested_rung = request.headers.get(settings.rung_header)
            highest_rung = len(settings.terms.ladder_kb) - 1
            session = Session(
                self.worker,
                self,
                path,
                server_path,
                routing,
                request.headers.get(settings.viewer_header) or f"{self.peer}",
                min(highest_rung, int(requested_rung))
                if requested_rung.isascii() and requested_rung.isdigit()
                else highest_rung,
            )
            if not self.assign_claim(session, slot, request):
                return
            session.is_repeat = request.headers.get(settings.again_header) not in ("", "0")
            self.sessions[session.id] = session
            self.worker.add_session(session)
        elif session.state is not State.READY:
            self.respond(slot, 455, ("Allow", "PLAY, TEARDOWN, GET_PARAMETER, SET_PARAMETER"))
            return
        elif session.path != path or (number in session.tracks):
            self.respond(slot, 455)
            return
        assert transport.channels
        control = description.tracks[number].control if description else f"trackID={number}"
        clock_rate = description.tracks[number].clock_rate if description else 90000
        session.tracks[number] = ViewerTrack(transport.channels, control, clock_rate)
        headers = [("Transport", transport.encode()), ("Session", f"{session.id};timeout=60")]
        if session.claim:
            headers.append((settings.claim_header, str(session.claim)))
        self.respond(slot, 200, *headers)

    def assign_claim(self, session: Session, slot: ResponseSlot, request: Request) -> bool:
        """Gives a paid session its claim token: the one that the viewer sends, otherwise a new one.

        Returns False after responding with 400 (invalid token) or 503 (the store fails).
        """
        settings = self.worker.settings
        if settings.terms.classes[session.routing.cls].repeat is not Repeat.PAID:
            return True
        if self.worker.store_failing:
            self.worker.counts["refused_store"] += 1
            self.respond(slot, 503, ("Retry-After", "2"))
            return False
        text = request.headers.get(settings.claim_header)
        session.claim = Token.parse(text) if text else self.worker.new_claim_token()
        if text and session.claim is None:
            self.respond(slot, 400)
            return False
        return True

    def choose_transport(self, slot: ResponseSlot, request: Request) -> Transport | None:
        """Returns the first supported transport, on channels that are free on this connection. Responds with
        400 or 461 and returns None if there is none."""
        try:
            offers = parse_transport(request.headers.get("Transport"))
        except ValueError:
            self.respond(slot, 400)
            return None
        offer = next((offer for offer in offers if offer.is_interleaved), None)
        if offer is None:
            self.respond(slot, 461)
            return None
        used = {
            channel
            for session in self.sessions.values()
            for track in session.tracks.values()
            for channel in track.channels
        }
        channels = offer.channels
        if channels is None or used & set(channels) or channels[0] % 2 or channels[1] != channels[0] + 1:
            channels = next(((c, c + 1) for c in range(0, 256, 2) if not used & {c, c + 1}), None)
        if channels is None:
            self.respond(slot, 461)
            return None
        return Transport("RTP/AVP/TCP", True, channels)

    def track_url(self, session: Session, track: int) -> str:
        return f"rtsp://{self.worker.host}{session.path}/trackID={track}"

    def do_play(self, slot: ResponseSlot, request: Request) -> None:
        session = self.find_session(slot, request)
        if session is None:
            return
        parsed = self.parse_path(slot, request)
        if parsed is None:
            return
        path, track = parsed
        if path != session.path:
            self.respond(slot, 404)
        elif track is not None and len(session.tracks) > 1:
            self.respond(slot, 460)
        elif session.state is State.PLAYING:
            self.respond(
                slot, 200, ("Session", session.id), ("Range", f"npt={session.current_position_s():.3f}-")
            )
        elif session.state is not State.READY:
            self.respond(slot, 455)
        elif self.worker.stopping:
            self.respond(slot, 503, ("Retry-After", "2"))
        else:
            session.play(slot, request.cseq, parse_npt(request.headers.get("Range")))

    def do_teardown(self, slot: ResponseSlot, request: Request) -> None:
        if session := self.find_session(slot, request):
            session.teardown()
            self.sessions.pop(session.id, None)
            self.respond(slot, 200, ("Session", session.id))

    def do_get_parameter(self, slot: ResponseSlot, request: Request) -> None:
        """Without a body a keep-alive (RFC 2326, 10.8). `position` is the only parameter; others get 451."""
        if not request.session and not request.body:
            self.respond(slot, 200)
            return
        session = self.find_session(slot, request)
        if session is None:
            return
        names = request.body.decode(errors="replace").split()
        if any(name not in KNOWN_PARAMETERS for name in names):
            self.respond(slot, 451, ("Session", session.id))
            return
        body = f"position: {session.current_position_s():.3f}\r\n".encode() if names else b""
        content_type = [("Content-Type", "text/parameters")] if body else []
        self.respond(slot, 200, ("Session", session.id), *content_type, body=body)

    def do_set_parameter(self, slot: ResponseSlot, request: Request) -> None:
        """Without a body a keep-alive. A viewer cannot set any parameter: a body gets 451."""
        if request.session and self.find_session(slot, request) is None:
            return
        self.respond(slot, 451 if request.body.strip() else 200)
