"""The worker of a front: viewers and their sessions, the attempts, and the orders of the decider.

A worker decides nothing about a session. It reports requests and events to its decider, executes the
decider's orders, and guarantees three things by itself: each PLAY gets one response by its deadline, whatever
happens to the decider; there is never more than one attempt at a time, nor more attempts than allowed; and no
byte of a paid attempt is sent before its decider has allowed it. What applies without a decider is defined in
`lemonhall.ipc.request_state`.
"""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random, SystemRandom
from typing import Any, Protocol

import structlog

from lemonhall.config.settings import FrontSettings
from lemonhall.front.servers.attempt import Attempt
from lemonhall.front.servers.descriptions import DescriptionCache
from lemonhall.front.servers.server_list import ServerListState, parse_address
from lemonhall.front.viewers import routes
from lemonhall.front.viewers.session import Session, SetUpRequest, State
from lemonhall.front.viewers.viewer import ViewerConnection
from lemonhall.interface import Outcome, Repeat
from lemonhall.ipc import (
    Announcement,
    AttemptFinished,
    AttemptRecorded,
    CancelAttempt,
    ChangeRung,
    DeadlineExpired,
    EndSession,
    FailRequest,
    Message,
    MoveSession,
    NextStep,
    OngoingSession,
    PlaybackStarted,
    RedirectViewers,
    RefuseRequest,
    RetireWorker,
    ServerNote,
    SessionClosed,
    SetUpRequested,
    StartAttempt,
    StoreStatus,
    ViewerGone,
    Welcome,
    encode,
)
from lemonhall.loop import Loop
from lemonhall.rtsp.messages import make_response
from lemonhall.store import Token

log = structlog.get_logger("lemonhall.front")
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
DEADLINE_MARGIN_S = 0.05  # after the deadline; the answer of a running decider has arrived by then
STOP_TIMEOUT_S = 10.0  # for an orderly stop
MEMORY_CHECK_INTERVAL_S = 0.5
BUSY_PAUSE_MS = 2000.0  # advised to a viewer whose request cannot be decided now
STATM, PAGE_BYTES = Path("/proc/self/statm"), 4096


class DeciderConnection(Protocol):
    """Sends messages to the decider. `send` returns False if the queue has no room."""

    def send(self, message: Message) -> bool: ...


class Worker:
    """The viewers, sessions and attempts of one process.

    `number` is not used twice during the lifetime of the front; `server_list` is this process's copy.
    """

    def __init__(
        self,
        loop: Loop,
        settings: FrontSettings,
        number: int,
        server_list: ServerListState,
        random: Random,
        now_ms: Callable[[], float],
        wall_clock: Callable[[], float],
        counts: Counter[str] | None = None,
    ) -> None:
        self.loop, self.settings, self.number, self.server_list = loop, settings, number, server_list
        self.now_ms, self.wall_clock, self.random = now_ms, wall_clock, random
        self.counts = Counter[str]() if counts is None else counts
        # seeded by the system, because a claim token must not be generated twice, whatever the front's seed
        self.token_random = Random(SystemRandom().getrandbits(64))
        self.decider: DeciderConnection | None = None
        # number of the current connection to a decider (0: none), and of the last one
        self.connection_id, self.last_connection_id = 0, 0
        self.welcome: Welcome | None = None  # the last one received
        self.store_failing = False
        self.pruned_s = 0
        self.sessions_by_id: dict[str, Session] = {}
        self.requests_by_number: dict[int, SetUpRequest] = {}
        self.next_request_number = (number << 32) + 1
        self.viewers: set[ViewerConnection] = set()
        self.descriptions = DescriptionCache(
            loop,
            server_list.servers,
            server_list.addresses.get,
            now_ms,
            settings.terms.warm_ms,
            Random(random.random()),
        )
        self.router = routes.build_router(settings.terms)
        self.worker_count = 1  # workers that share the limits of the front
        self.host = ""
        self.stopping = self.draining = self.over_memory = False
        self.on_stopped: Callable[[], object] = lambda: None  # called once, when nothing is left
        self.message_handlers: dict[type[Message], Callable[[Any], object]] = {
            StartAttempt: self.on_start_attempt,
            AttemptRecorded: self.on_attempt_recorded,
            ChangeRung: self.on_change_rung,
            RefuseRequest: self.on_refuse_request,
            FailRequest: self.on_fail_request,
            MoveSession: self.on_move_session,
            CancelAttempt: self.on_cancel_attempt,
            EndSession: self.on_end_session,
            StoreStatus: self.on_store_status,
            RedirectViewers: self.on_redirect_viewers,
            RetireWorker: self.on_retire_worker,
        }

    def replace_settings(self, settings: FrontSettings, worker_count: int) -> None:
        """Applies new settings from now on. `worker_count` workers share the front's limits."""
        self.settings, self.worker_count = settings, worker_count
        self.router = routes.build_router(settings.terms)

    # the connection to the decider

    def on_decider_message(self, message: Message) -> bool:
        """Handles a message of the decider. Returns False if it is of a kind that is not handled here."""
        if handler := self.message_handlers.get(type(message)):
            handler(message)
            return True
        return False

    def on_decider_connected(self, decider: DeciderConnection, welcome: Welcome) -> None:
        """Reports open requests and playing sessions over the new connection."""
        self.decider, self.welcome = decider, welcome
        self.pruned_s = welcome.pruned_s
        self.last_connection_id += 1
        self.connection_id = self.last_connection_id
        for request in list(self.requests_by_number.values()):
            self.announce_request(request)

    def on_decider_lost(self) -> None:
        """Drops attempts whose request may not be sent yet; the next decider gets their set-up requests.

        Attempts that may have been sent and playing sessions continue.
        """
        if not self.connection_id:
            return
        self.decider, self.connection_id = None, 0
        for request in list(self.requests_by_number.values()):
            if request.request_state.on_connection_lost() and request.attempt:
                attempt, request.attempt = request.attempt, None
                attempt.end(Outcome.MOOT)

    def send_to_decider(self, message: Message) -> bool:
        return self.decider is not None and self.decider.send(message)

    def announce_request(self, request: SetUpRequest) -> None:
        """Reports to the connected decider what it has to know about a request."""
        if not self.connection_id or request.answered and request.attempt is None:
            return
        announcement = request.request_state.announce(self.connection_id)
        if announcement is Announcement.REQUEST:
            message = request.message
            paid = self.settings.terms.classes[message.cls].repeat is Repeat.PAID
            message.attempts_made, message.maybe_ran = (
                request.request_state.attempts_made,
                request.request_state.unreported_run and paid,
            )
            message.unsent_turn, message.unsent_attempt = request.request_state.unsent_claim
            if not self.send_to_decider(message):
                request.request_state.mark_unannounced()
                self.on_queue_full(request)
        elif announcement is Announcement.ONGOING_SESSION:
            self.announce_ongoing_session(request)

    def announce_ongoing_session(self, request: SetUpRequest) -> None:
        attempt = request.attempt
        assert attempt
        attempt.number = 0  # the new decider counts from 0
        state, playing_since = request.request_state, request.session.position_at or self.loop.now()
        values = (
            request.number,
            attempt.server,
            request.rung,
            state.claim_turn,
            state.claim_attempts,
            playing_since,
        )
        self.send_to_decider(OngoingSession(*values, encode(request.message), request.memo))

    def on_queue_full(self, request: SetUpRequest) -> None:
        """The queue to the decider has no room, so the request is answered here."""
        self.counts["seam_full"] += 1
        self.answer_without_decider(request)

    def on_store_status(self, message: StoreStatus) -> None:
        self.store_failing, self.pruned_s = message.failing, message.pruned_s

    # viewers

    def accept(self, sock: socket.socket, peer: Any) -> None:
        max_viewers = -(-self.settings.limits.connections // self.worker_count)
        if self.stopping or self.over_memory or len(self.viewers) >= max_viewers:
            self.counts["connections_refused"] += 1
            try:
                sock.setblocking(False)
                sock.send(make_response(503, "", ("Retry-After", "2")).encode())
            except OSError:
                pass
            sock.close()
            return
        self.counts["connections"] += 1
        self.viewers.add(ViewerConnection(self, sock, peer))

    def on_viewer_closed(self, viewer: ViewerConnection) -> None:
        self.viewers.discard(viewer)

    def refusal_counter(self) -> str:
        """Returns the name of the counter for why no new session is accepted; empty if one is."""
        if self.stopping or self.draining:
            return "refused_stopping"
        if self.over_memory:
            return "refused_memory"
        max_sessions = -(-self.settings.limits.sessions // self.worker_count)
        return "over_limit" if len(self.sessions_by_id) >= max_sessions else ""

    def check_memory(self) -> None:
        """Refuses new connections and sessions above the memory limit until 10 % of it is free again.

        Playing sessions continue.
        """
        resident_bytes = int(STATM.read_text().split()[1]) * PAGE_BYTES
        limit_bytes = self.settings.limits.memory
        was_over, self.over_memory = (
            self.over_memory,
            resident_bytes > (0.9 * limit_bytes if self.over_memory else limit_bytes),
        )
        if was_over != self.over_memory:
            log.warning(
                "resident memory crossed its limit; above it new viewers and sessions are refused",
                over_limit=self.over_memory,
                resident_bytes=resident_bytes,
                limit_bytes=limit_bytes,
            )
        self.loop.call_later(MEMORY_CHECK_INTERVAL_S, self.check_memory)

    def new_claim_token(self) -> Token | None:
        """Returns a token for a new paid claim, or None if the front has no ledger."""
        welcome = self.welcome
        if welcome is None or not welcome.store:
            return None
        serial = self.token_random.getrandbits(64)
        return Token.new(self.wall_clock(), self.pruned_s, welcome.front, welcome.store, serial)

    # sessions

    def new_session_id(self) -> str:
        while (session_id := f"{self.random.getrandbits(64):016x}") in self.sessions_by_id:
            pass
        return session_id

    def add_session(self, session: Session) -> None:
        self.sessions_by_id[session.id] = session

    def remove_session(self, session: Session) -> None:
        if self.sessions_by_id.pop(session.id, None) and self.connection_id:
            request = session.set_up_request
            played_ms = (self.loop.now() - session.position_at) * 1000 if session.position_at else -1.0
            vanished = played_ms < 0 and request is not None and not request.answered
            self.send_to_decider(SessionClosed(played_ms, vanished, session.id))
        session.viewer.sessions.pop(session.id, None)

    def open_request(self, session: Session, moved: bool) -> None:
        """Opens a set-up request. From here on this worker owes the viewer a response by the deadline."""
        terms, routing = self.settings.terms, session.routing
        remaining_ms = max(
            1.0, terms.classes[routing.cls].deadline_ms - self.settings.limits.answer_margin_ms
        )
        number = self.next_request_number
        self.next_request_number += 1
        message = SetUpRequested(
            number,
            routing.cls,
            routing.tenant,
            routing.title,
            routing.first_cell,
            routing.cells,
            session.viewer_id,
            session.top_rung,
            0,
            0,
            0,
            self.loop.now() + remaining_ms / 1000,
            moved,
            session.is_repeat,
            False,
            routing.route,
            routing.prefer,
            routing.pool,
            routing.key,
            session.id,
            session.path,
            session.viewer_name,
            str(session.claim or ""),
        )
        request = session.set_up_request = self.requests_by_number[number] = SetUpRequest(
            session, message, terms.max_attempts
        )
        request.deadline_timer = self.loop.call_at(
            request.deadline + DEADLINE_MARGIN_S, self.on_deadline, request
        )
        self.announce_request(request)

    def remove_request(self, request: SetUpRequest) -> None:
        if request.deadline_timer:
            request.deadline_timer.cancel()
        self.requests_by_number.pop(request.number, None)

    def close_request(self, request: SetUpRequest) -> bool:
        """Closes a request that does not play, and cancels its attempt.

        Returns whether the connected decider knows the request.
        """
        known = request.request_state.close(self.connection_id)
        attempt, request.attempt = request.attempt, None
        self.remove_request(request)
        if attempt:
            attempt.end(Outcome.CANCELLED)
        return known

    def on_deadline(self, request: SetUpRequest) -> None:
        """Responds to the viewer if no decision has arrived in time."""
        if request.answered:
            return
        self.counts["answered_alone"] += 1
        self.answer_without_decider(request)

    def answer_without_decider(self, request: SetUpRequest) -> None:
        """Refuses the request with a pause if it certainly did not run, otherwise fails it with 504."""
        maybe_ran = request.request_state.may_have_run()
        known = self.close_request(request)
        if known:
            self.send_to_decider(DeadlineExpired(request.number))
        if known or maybe_ran:
            request.session.fail(504)
        else:
            request.session.refuse(BUSY_PAUSE_MS)

    def on_viewer_gone(self, session: Session) -> None:
        """Tears down the session's attempt; its end is reported to the decider when it occurs."""
        request = session.set_up_request
        if request is None or request.number not in self.requests_by_number:
            return
        attempt = request.attempt
        if request.request_state.close(self.connection_id):
            self.send_to_decider(ViewerGone(request.number, attempt is not None))
        if attempt:
            attempt.teardown()
        else:
            self.remove_request(request)

    # events of attempts

    def on_attempt_playing(self, request: SetUpRequest, attempt: Attempt, took_ms: float) -> None:
        request.answered = True
        if request.deadline_timer:
            request.deadline_timer.cancel()
        announcement = request.request_state.on_playing(self.connection_id)
        if announcement is Announcement.REQUEST:
            self.send_to_decider(
                PlaybackStarted(request.number, attempt.number, attempt.server, took_ms, attempt.report)
            )
        elif announcement is Announcement.ONGOING_SESSION:
            self.announce_ongoing_session(request)

    def on_server_note(self, request: SetUpRequest, attempt: Attempt, kind: int, value: float) -> None:
        if self.connection_id and request.request_state.connection_id == self.connection_id:
            self.send_to_decider(ServerNote(request.number, attempt.number, attempt.server, kind, value))

    def on_attempt_finished(
        self, request: SetUpRequest, attempt: Attempt, outcome: Outcome, report: tuple[float, ...]
    ) -> None:
        session, now = request.session, self.loop.now()
        request_sent = attempt.may_have_run
        already_closed = request.attempt is not attempt  # cancelled or dropped before
        next_step = request.request_state.on_attempt_ended(
            self.connection_id, request_sent, outcome in NEVER_RAN
        )
        viewer_gone = session.state is State.ENDED
        closed = already_closed or request.answered or viewer_gone
        if next_step is NextStep.REPORT:
            played_ms = (now - session.position_at) * 1000 if request.answered else 0.0
            took_ms = (now - attempt.started_at) * 1000
            values = (request.number, attempt.number, attempt.server, int(outcome), took_ms, played_ms)
            self.send_to_decider(
                AttemptFinished(
                    *values, request_sent, closed, session.state is State.MOVING, viewer_gone, report
                )
            )
        if already_closed:
            return
        request.attempt = None
        if not closed:
            if next_step is NextStep.RESUBMIT:
                self.announce_request(request)
            return
        self.remove_request(request)
        if session.set_up_request is not request:
            return
        if session.state is State.PLAYING:
            session.end("end" if outcome == Outcome.OK else "broken")
        elif session.state is State.MOVING:
            pause_s = self.settings.limits.move_pause_ms / 1000
            self.loop.call_later(pause_s, self.request_again, session, request)

    def request_again(self, session: Session, previous: SetUpRequest) -> None:
        """Opens the next request of a moved session, unless it has ended or has another one."""
        if session.state is State.MOVING and session.set_up_request is previous:
            self.open_request(session, moved=True)

    # messages of the decider

    def on_start_attempt(self, message: StartAttempt) -> None:
        """Starts an attempt, or reports it as `MOOT` if the request cannot have one now."""
        request = self.requests_by_number.get(message.request_id)
        address = parse_address(message.address) if message.address[:1] != "/" else message.address
        possible = (
            request is not None and address is not None and request.attempt is None and not request.answered
        )
        possible = (
            possible and request is not None and request.session.state in (State.STARTING, State.MOVING)
        )
        if not (
            possible
            and request
            and request.request_state.start_attempt(
                self.connection_id,
                message.attempt,
                message.wait_for_ledger,
                message.claim_turn,
                message.claim_attempts,
            )
        ):
            closed = request is None or request.session.state is State.ENDED
            moot = (message.request_id, message.attempt, message.server, int(Outcome.MOOT), 0.0, 0.0)
            self.send_to_decider(AttemptFinished(*moot, False, closed, False, closed, ()))
            return
        assert address is not None
        session = request.session
        host = address if isinstance(address, str) else f"{address[0]}:{address[1]}"
        base = f"rtsp://{host}{session.server_path}"
        tracks = [
            (track.control if "://" in track.control else f"{base}/{track.control}", track.channels)
            for _, track in sorted(session.tracks.items())
        ]
        for track in session.tracks.values():
            track.rewriter.on_server_changed()
        request.rung, request.memo = message.rung, message.memo
        request.attempt = Attempt(
            self.loop,
            request,
            message.attempt,
            message.server,
            address,
            base,
            tracks,
            [("Via", f"RTSP/1.0 {self.settings.name}")],
            message.rate_kb,
            session.current_position_s(),
            self.settings.terms.connect_timeout_ms / 1000,
            min(message.timeout_s, max(0.001, request.deadline - self.loop.now())),
            self.settings.terms.report_fields,
            may_send=not message.wait_for_ledger,
        )

    def on_attempt_recorded(self, message: AttemptRecorded) -> None:
        request = self.requests_by_number.get(message.request_id)
        if request is None or request.attempt is None or request.attempt.number != message.attempt:
            return
        if message.error:
            request.attempt.on_claim_written(message.error)
        elif request.request_state.allow_send(self.connection_id, message.attempt):
            request.attempt.on_claim_written("")

    def on_change_rung(self, message: ChangeRung) -> None:
        request = self.requests_by_number.get(message.request_id)
        if request:
            request.rung = message.rung
            if request.attempt:
                request.attempt.set_bandwidth(message.rate_kb, message.rung)

    def on_refuse_request(self, message: RefuseRequest) -> None:
        self.answer_request(
            message.request_id, lambda session: session.refuse(message.pause_ms, message.reason)
        )

    def on_fail_request(self, message: FailRequest) -> None:
        self.answer_request(message.request_id, lambda session: session.fail(message.status))

    def answer_request(self, number: int, answer: Callable[[Session], object]) -> None:
        """Closes a request with the decider's answer, unless it has been answered."""
        request = self.requests_by_number.get(number)
        if request and not request.answered:
            self.close_request(request)
            answer(request.session)

    def on_move_session(self, message: MoveSession) -> None:
        """Removes a playing session from its server. It opens a new request shortly; the numbering of the
        viewer's stream continues."""
        request = self.requests_by_number.get(message.request_id)
        if request is None or request.session.state is not State.PLAYING:
            return
        session, attempt = request.session, request.attempt
        session.position_s, session.position_at = session.current_position_s(), self.loop.now()
        session.state = State.MOVING
        if attempt:
            attempt.teardown(Outcome.CANCELLED)

    def on_cancel_attempt(self, message: CancelAttempt) -> None:
        """Cancels an attempt, unless it plays."""
        request = self.requests_by_number.get(message.request_id)
        if request and not request.answered and request.attempt and request.attempt.number == message.attempt:
            request.attempt.end(Outcome.CANCELLED)

    def on_end_session(self, message: EndSession) -> None:
        """Ends a playing or moving session in order: BYE to the viewer, TEARDOWN to the server."""
        request = self.requests_by_number.get(message.request_id)
        if request and request.session.state in (State.PLAYING, State.MOVING):
            request.session.end(message.bye_reason)
            if request.attempt:
                request.attempt.teardown()

    def on_redirect_viewers(self, message: RedirectViewers) -> None:
        for viewer in list(self.viewers):
            viewer.redirect(message.location)

    # shutdown

    def on_retire_worker(self, message: RetireWorker) -> None:
        self.stop() if message.end_sessions else self.drain()

    def drain(self) -> None:
        """Accepts no new sessions. Stops after the last session, or when the drain time has passed."""
        if self.draining or self.stopping:
            return
        self.draining = True
        self.loop.call_later(self.settings.limits.drain_ms / 1000, self.stop)
        self.check_drained()

    def check_drained(self) -> None:
        if not self.sessions_by_id:
            self.stop()
        elif not self.stopping:
            self.loop.call_later(0.1, self.check_drained)

    def stop(self) -> None:
        """Ends playing sessions in order (BYE to viewers, TEARDOWN to servers) and waits until all open
        requests are answered, at most `STOP_TIMEOUT_S`."""
        if self.stopping:
            return
        self.stopping = True
        self.loop.call_later(STOP_TIMEOUT_S, self.finish_stop)
        self.end_open_sessions()

    def end_open_sessions(self) -> None:
        """Repeats until no response is due and no attempt is open."""
        for request in list(self.requests_by_number.values()):
            if request.session.state in (State.PLAYING, State.MOVING):
                request.session.end("front stops")
                if request.attempt:
                    self.loop.call_soon(partial(request.attempt.teardown))
        if self.requests_by_number:
            self.loop.call_later(0.02, self.end_open_sessions)
            return
        for viewer in list(self.viewers):
            viewer.stream.close()
        self.finish_stop()

    def finish_stop(self) -> None:
        callback, self.on_stopped = self.on_stopped, lambda: None
        callback()
