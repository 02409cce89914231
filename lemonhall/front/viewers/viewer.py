"""A viewer's connection: requests answered in the order in which they came, media between the answers.

A request takes a slot; a slot's answer goes out when all before it have (RFC 2326, 9.1). What is asked of a
session that another slot still waits for is judged at once, by the state that the session has then.
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
from lemonhall.front.viewers.session import Minder, Session, State, ViewerTrack
from lemonhall.front.viewers.slot import Slot
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
PENDING_MOST = 32  # requests of one connection that wait for their answer
KNOWN_PARAMETERS = ("position",)
DOES = {method: f"do_{method.lower()}" for method in METHODS}


class Host(Minder, Protocol):
    """The worker, as a viewer's connection sees it."""

    settings: FrontSettings
    descriptions: DescriptionCache
    router: Router
    host: str
    stopping: bool
    store_failing: bool

    def no_more(self) -> str: ...
    def new_token(self) -> Token | None: ...
    def add(self, session: Session) -> None: ...
    def viewer_closed(self, viewer: ViewerConnection) -> None: ...


class ViewerConnection(Handler):
    def __init__(self, worker: Host, sock: socket.socket, peer: Any) -> None:
        self.worker, self.peer = worker, peer
        self.limits = worker.settings.limits
        self.parser = Parser()
        self.sessions: dict[str, Session] = {}
        self.slots: deque[Slot] = deque()
        self.last: tuple[str, str, str] | None = None  # CSeq, method and URL of the newest request
        self.last_answer: bytes | None = None
        self.ending = False
        self.asked = 0  # requests of ours to the viewer
        self.head_timer: Timer | None = None
        self.active_at = worker.loop.now()
        self.stream = Stream(worker.loop, sock, self, high_watermark=self.limits.viewer_backlog)
        self.idle_timer = worker.loop.call_later(self.limits.idle_ms / 1000, self.idle)

    # bytes

    def on_data(self, view: memoryview) -> None:
        for event in self.parser.feed(view):
            if self.ending:
                return
            if isinstance(event, Request):
                self.on_request(event)
            elif isinstance(event, FrameRun):
                self.on_frames(event)
            elif isinstance(event, MalformedInput):
                self.refuse_all(event)
        self.watch_head()

    def watch_head(self) -> None:
        """A message that has begun must end in time: a drip of bytes holds a descriptor, no more."""
        if self.parser.in_message and self.head_timer is None:
            wait = self.limits.head_ms / 1000
            self.head_timer = self.worker.loop.call_later(wait, self.too_slow)
        elif not self.parser.in_message and self.head_timer:
            self.head_timer.cancel()
            self.head_timer = None

    def too_slow(self) -> None:
        self.head_timer = None
        if self.stream.open:
            self.refuse_all(MalformedInput(408, "a message that does not end"))

    def rest(self) -> None:
        """Notes that something happened; one timer a connection looks back at it, none is made anew."""
        self.active_at = self.worker.loop.now()

    def idle(self) -> None:
        """Without a session and without a request a connection is kept for a while, then closed."""
        if not self.stream.open:
            return
        wait = self.limits.idle_ms / 1000
        left = self.active_at + wait - self.worker.loop.now()
        if left <= 0 and not (self.sessions or self.slots):
            self.stream.close()
            return
        self.idle_timer = self.worker.loop.call_later(left if left > 0 else wait, self.idle)

    def refuse_all(self, what: MalformedInput) -> None:
        """Bytes that cannot be read: one answer, then the connection ends. What played on it ends with it."""
        self.worker.counts["malformed"] += 1
        log.info("connection closed", peer=str(self.peer), status=what.status, why=what.reason)
        self.ending = True
        self.stream.write(make_response(what.status, what.cseq, ("Connection", "close")).encode())
        self.stream.close()

    def on_closed(self, reason: str) -> None:
        self.idle_timer.cancel()
        if self.head_timer:
            self.head_timer.cancel()
        for session in list(self.sessions.values()):
            session.viewer_lost()
        self.worker.viewer_closed(self)

    def on_frames(self, run: FrameRun) -> None:
        """Receiver reports of the viewer's; channels that nobody set up are passed over."""
        for channel, payload in split_frames(run.data):
            for session in self.sessions.values():
                if any(t.channels[1] == channel for t in session.tracks.values()):
                    session.to_server(channel, payload)

    # answers

    def answer(self, slot: Slot, data: bytes) -> None:
        if slot.answer is not None:
            return
        slot.answer = data
        if slot.request.cseq == (self.last[0] if self.last else None):
            self.last_answer = slot.answer
        while self.slots and self.slots[0].answer is not None:
            first = self.slots.popleft()
            assert first.answer is not None
            self.stream.write(b"".join([first.answer, *first.tail]))
            for session in self.sessions.values():
                if (
                    session.held_back
                    and not self.stream.above_high_watermark
                    and self.slot_of(session) is None
                ):
                    session.let_flow()
        self.rest()

    def redirect(self, to: str) -> None:
        """Asks the viewer to play elsewhere (RFC 2326, 10.10): it may, or go on here until the drain ends."""
        for session in self.sessions.values():
            if session.state is State.PLAYING and not self.slots:
                self.asked += 1
                location = ("Location", f"rtsp://{to}{session.path}")
                named = ("Session", session.id)
                url = f"rtsp://{self.worker.host}{session.path}"
                self.stream.write(make_request("REDIRECT", url, self.asked, named, location).encode())

    def slot_of(self, session: Session) -> Slot | None:
        """The slot, still waiting its turn, whose answer says that this session plays."""
        for slot in self.slots:
            if slot.request.method == "PLAY" and slot.request.session == session.id:
                return slot
        return None

    def media(self, session: Session, data: memoryview) -> None:
        if self.slots and (slot := self.slot_of(session)):
            slot.tail.append(bytes(data))
            session.hold_back()
            return
        self.stream.write(data)

    def on_backlog_full(self) -> None:
        for session in self.sessions.values():
            session.hold_back()
        self.worker.loop.call_later(self.limits.stalled_ms / 1000, self.check_stalled)

    def check_stalled(self) -> None:
        stream = self.stream
        if not stream.open or stream.stalled_since is None:
            return
        still = stream.stalled_since + self.limits.stalled_ms / 1000 - self.worker.loop.now()
        if still > 0:
            self.worker.loop.call_later(still + 0.001, self.check_stalled)
            return
        self.worker.counts["viewer_stalled"] += 1
        stream.abort()

    def on_backlog_drained(self) -> None:
        for session in self.sessions.values():
            if self.slot_of(session) is None:
                session.let_flow()

    # requests

    def on_request(self, request: Request) -> None:
        self.rest()
        cseq = request.cseq
        key = (cseq, request.method, request.url)
        if not (cseq.isascii() and cseq.isdigit() and len(cseq) <= 10):
            self.refuse_all(MalformedInput(400, "a request without a CSeq"))
            return
        if self.last and cseq == self.last[0]:
            if key != self.last:
                self.now(request, 400)
            elif self.last_answer is not None:  # the same again: the same answer, nothing is done twice
                self.stream.write(self.last_answer)
            return
        if len(self.slots) >= PENDING_MOST:
            self.refuse_all(MalformedInput(503, "too many requests at once", request.cseq))
            return
        self.last, self.last_answer = key, None
        slot = Slot(request)
        self.slots.append(slot)
        if "Require" in request.headers:
            wanted = ("Unsupported", request.headers.get("Require"))
            self.reply(slot, 551, wanted)
            return
        act = getattr(self, DOES[request.method], None) if request.method in METHODS else None
        if act:
            act(slot, request)
        elif request.method in METHODS:
            self.reply(slot, 405, ("Allow", PUBLIC))
        else:
            self.reply(slot, 501, ("Public", PUBLIC))

    def now(self, request: Request, status: int) -> None:
        slot = Slot(request)
        self.slots.append(slot)
        self.reply(slot, status)

    def reply(self, slot: Slot, status: int, *headers: tuple[str, str], body: bytes = b"") -> None:
        self.answer(slot, encode_response(status, slot.request.cseq, *headers, body=body))

    def path(self, slot: Slot, request: Request) -> tuple[str, int | None] | None:
        """Path and track of the request's URL; answers 400 itself if it is none."""
        try:
            return split_track(split_url(request.url)[1])
        except ValueError:
            self.reply(slot, 400)
            return None

    def asked_for(self, slot: Slot, path: str, request: Request) -> tuple[routes.Asked, str] | None:
        """Where the request's route leads; where it leads nowhere, or elsewhere, it is answered here."""
        worker = self.worker
        host = split_url(request.url)[0]
        found = routes.match(worker.settings.terms, worker.router, path, request.headers, host)
        if isinstance(found, tuple):
            return found
        if found is None:
            self.reply(slot, 404)
        elif found.to and 300 <= found.status < 400:
            to = found.to if "://" in found.to else f"rtsp://{host}{found.to}"
            self.reply(slot, found.status, ("Location", re.sub(r"^https?://", "rtsp://", to)))
        else:
            self.reply(slot, found.status)
        return None

    def find(self, slot: Slot, request: Request) -> Session | None:
        """The session that the request names, on this connection; answers 454 itself."""
        session = self.sessions.get(request.session)
        if session is None:
            self.reply(slot, 454)
        return session

    def do_options(self, slot: Slot, request: Request) -> None:
        self.reply(slot, 200, ("Public", PUBLIC))

    def do_describe(self, slot: Slot, request: Request) -> None:
        found = self.path(slot, request)
        if found is None:
            return
        path = found[0]
        asked = self.asked_for(slot, path, request)
        if asked is None:
            return
        path = asked[1]
        base = ("Content-Base", request.url.rstrip("/") + "/")

        def described(status: int, description: Description | None) -> None:
            if description:
                kind = ("Content-Type", "application/sdp")
                self.reply(slot, 200, base, kind, body=description.text)
            elif status == 503:
                self.reply(slot, 503, ("Retry-After", "1"))
            else:
                self.reply(slot, status)

        self.worker.descriptions.describe(path, described)

    def do_setup(self, slot: Slot, request: Request) -> None:
        found = self.path(slot, request)
        if found is None:
            return
        path, track = found
        settings = self.worker.settings
        routed = self.asked_for(slot, path, request)
        if routed is None:
            return
        asked, there = routed
        known = self.worker.descriptions.cached(there)
        if known and track is None and len(known.tracks) > 1:
            self.reply(slot, 459)
            return
        number = track or 0
        if known and number >= len(known.tracks):
            self.reply(slot, 404)
            return
        transport = self.transport(slot, request)
        if transport is None:
            return
        session = self.sessions.get(request.session)
        if session is None:
            if request.session:
                self.reply(slot, 454)
                return
            if why := self.worker.no_more():
                self.worker.counts[why] += 1
                self.reply(slot, 503, ("Retry-After", "2"))
                return
            top = request.headers.get(settings.rung_header)
            most = len(settings.terms.ladder_kb) - 1
            session = Session(
                self.worker,
                self,
                path,
                there,
                asked,
                request.headers.get(settings.viewer_header) or f"{self.peer}",
                min(most, int(top)) if top.isascii() and top.isdigit() else most,
            )
            if not self.name_claim(session, slot, request):
                return
            session.again = request.headers.get(settings.again_header) not in ("", "0")
            self.sessions[session.id] = session
            self.worker.add(session)
        elif session.state is not State.READY:
            self.reply(slot, 455, ("Allow", "PLAY, TEARDOWN, GET_PARAMETER, SET_PARAMETER"))
            return
        elif session.path != path or (number in session.tracks):
            self.reply(slot, 455)
            return
        assert transport.channels
        control = known.tracks[number].control if known else f"trackID={number}"
        clock = known.tracks[number].clock_rate if known else 90000
        session.tracks[number] = ViewerTrack(transport.channels, control, clock)
        answer = [("Transport", transport.encode()), ("Session", f"{session.id};timeout=60")]
        if session.claim:
            answer.append((settings.claim_header, str(session.claim)))
        self.reply(slot, 200, *answer)

    def name_claim(self, session: Session, slot: Slot, request: Request) -> bool:
        """The token of a paid claim: the viewer's, if it comes again, else a new one. Answers 400 or 503."""
        settings = self.worker.settings
        if settings.terms.classes[session.asked.cls].repeat is not Repeat.PAID:
            return True
        if self.worker.store_failing:
            self.worker.counts["refused_store"] += 1
            self.reply(slot, 503, ("Retry-After", "2"))
            return False
        text = request.headers.get(settings.claim_header)
        session.claim = Token.parse(text) if text else self.worker.new_token()
        if text and session.claim is None:
            self.reply(slot, 400)
            return False
        return True

    def transport(self, slot: Slot, request: Request) -> Transport | None:
        """The first transport that we carry, with channels that are free here; answers 400 or 461 itself."""
        try:
            offers = parse_transport(request.headers.get("Transport"))
        except ValueError:
            self.reply(slot, 400)
            return None
        offer = next((o for o in offers if o.is_interleaved), None)
        if offer is None:
            self.reply(slot, 461)
            return None
        used = {c for s in self.sessions.values() for t in s.tracks.values() for c in t.channels}
        wish = offer.channels
        if wish is None or used & set(wish) or wish[0] % 2 or wish[1] != wish[0] + 1:
            wish = next(((c, c + 1) for c in range(0, 256, 2) if not used & {c, c + 1}), None)
        if wish is None:
            self.reply(slot, 461)
            return None
        return Transport("RTP/AVP/TCP", True, wish)

    def url(self, session: Session, track: int) -> str:
        return f"rtsp://{self.worker.host}{session.path}/trackID={track}"

    def do_play(self, slot: Slot, request: Request) -> None:
        session = self.find(slot, request)
        if session is None:
            return
        found = self.path(slot, request)
        if found is None:
            return
        path, track = found
        if path != session.path:
            self.reply(slot, 404)
        elif track is not None and len(session.tracks) > 1:
            self.reply(slot, 460)
        elif session.state is State.PLAYING:
            self.reply(slot, 200, ("Session", session.id), ("Range", f"npt={session.position():.3f}-"))
        elif session.state is not State.READY:
            self.reply(slot, 455)
        elif self.worker.stopping:
            self.reply(slot, 503, ("Retry-After", "2"))
        else:
            session.play(slot, request.cseq, parse_npt(request.headers.get("Range")))

    def do_teardown(self, slot: Slot, request: Request) -> None:
        if session := self.find(slot, request):
            session.teardown()
            self.sessions.pop(session.id, None)
            self.reply(slot, 200, ("Session", session.id))

    def do_get_parameter(self, slot: Slot, request: Request) -> None:
        """Empty: a sign of life (10.8). `position` is the one parameter known here; others are 451."""
        if not request.session and not request.body:
            self.reply(slot, 200)
            return
        session = self.find(slot, request)
        if session is None:
            return
        names = request.body.decode(errors="replace").split()
        if any(name not in KNOWN_PARAMETERS for name in names):
            self.reply(slot, 451, ("Session", session.id))
            return
        body = f"position: {session.position():.3f}\r\n".encode() if names else b""
        kind = [("Content-Type", "text/parameters")] if body else []
        self.reply(slot, 200, ("Session", session.id), *kind, body=body)

    def do_set_parameter(self, slot: Slot, request: Request) -> None:
        """Nothing of a session is the viewer's to set; an empty one is a sign of life."""
        if request.session and self.find(slot, request) is None:
            return
        self.reply(slot, 451 if request.body.strip() else 200)
