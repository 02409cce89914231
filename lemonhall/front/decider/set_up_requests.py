"""Set-up requests on the decider's side: turns workers' messages into events for the decision module, the
module's actions into messages for the workers, and records attempts of paid claims in the ledger in between.

A set-up request is what the module knows as a session. It exists from the worker's `SetUpRequested` to the
end of its last attempt.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, replace
from functools import partial
from random import Random
from typing import Any, Protocol

import structlog

from lemonhall import interface
from lemonhall.capture.report import describe_advice
from lemonhall.config.settings import FrontSettings
from lemonhall.front.decider.bridge import Bridge
from lemonhall.front.decider.claim_resolver import ClaimResolver
from lemonhall.front.decider.hooks import HookRunner
from lemonhall.front.decider.limits import LimitsDriver
from lemonhall.front.decider.pool_preferences import PoolPreferences
from lemonhall.front.decider.recovery import RecoveryDriver
from lemonhall.front.decider.zones import ZonesDriver
from lemonhall.front.persistence.session_recorder import SessionRecorder
from lemonhall.front.persistence.store_service import StoreService
from lemonhall.hooks.advice import merge
from lemonhall.interface import Outcome
from lemonhall.ipc import (
    AttemptFinished,
    AttemptRecorded,
    AttemptRegistry,
    CancelAttempt,
    ChangeRung,
    DeadlineExpired,
    EndSession,
    Execution,
    FailRequest,
    MalformedMessage,
    Message,
    MessageDecoder,
    MoveSession,
    OngoingSession,
    PlaybackStarted,
    RefuseRequest,
    ServerNote,
    SessionClosed,
    SetUpRequested,
    StartAttempt,
    ViewerGone,
)
from lemonhall.ipc.attempt_registry import OpenAttempt
from lemonhall.loop import Loop
from lemonhall.loop.stream import Address
from lemonhall.store import ClaimDecision, Permit, Token, Verdict

log = structlog.get_logger("lemonhall.front")
CLAIM_QUERY_SHARE = 0.4  # of the time until the deadline, to wait for another front's answer about a claim
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
FAILPOINTS = ("given", "written", "cleared")  # of a paid attempt, for tests
OVERDUE_S = 1.0  # after the deadline; a worker that has sent nothing by then is not running


class WorkerConnection(Protocol):
    """A connection to one worker. `number` belongs to the connection and changes when a worker reconnects."""

    number: int

    def send(self, message: Message) -> bool: ...


class SetUpRequest:
    """The state of one request. `message` is the worker's request, unchanged."""

    def __init__(self, connection: WorkerConnection, message: SetUpRequested) -> None:
        self.connection, self.message, self.request_id, self.deadline = (
            connection,
            message,
            message.request_id,
            message.deadline,
        )
        self.rung = 0
        self.attempt_count = 0
        self.open_attempt: OpenAttempt | None = None  # in progress or playing
        self.answered = False
        self.received_at = 0.0
        self.advice = interface.NO_ADVICE  # as last reported to the module
        self.permit: Permit | None = None  # the right to set up a paid claim
        self.new_session: interface.NewSession | None = None  # the event sent to the module
        self.reason = ""  # of a refusal, from a hook or a limit
        self.cls = message.cls  # the class reported to the module, which a hook may have changed
        self.moving = False
        self.playing_since = 0.0


def parse_advice(packed: dict[str, Any]) -> interface.Advice:
    pairs = {
        name: tuple((str(kind), int(number)) for kind, number in packed[name]) for name in ("prefer", "avoid")
    }
    return interface.Advice(
        **{**packed, **pairs, "bars": tuple(int(zone) for zone in packed.get("bars", ()))}
    )


def parse_memo(memo: bytes) -> tuple[int, interface.Advice, str]:
    """Parses the result of `SetUpRequests.pack_memo`. Raises `ValueError`, `KeyError` or `TypeError`."""
    cls, advice, reason = json.loads(memo)
    return int(cls), parse_advice(advice), str(reason)


class SetUpRequests:
    """All open requests of this front.

    `addresses` returns a server's address by its id, also for servers that were removed from the list.
    """

    def __init__(
        self,
        loop: Loop,
        settings: FrontSettings,
        bridge: Bridge,
        random: Random,
        addresses: Callable[[int], Address | None],
        hooks: HookRunner,
        counts: Counter[str],
    ) -> None:
        self.loop, self.settings, self.bridge, self.counts = loop, settings, bridge, counts
        self.addresses, self.hooks = addresses, hooks
        self.open_requests: dict[int, SetUpRequest] = {}
        self.attempt_registry = AttemptRegistry()
        self.permits: dict[tuple[int, int], Permit] = {}  # of open attempts, by request and attempt number
        self.failpoint: Callable[[str], object] = lambda name: None
        self.on_set_up_time: Callable[[float], object] = lambda ms: None
        self.recorder: SessionRecorder | None = None
        self.store_service: StoreService | None = None
        self.claim_resolver = ClaimResolver(loop, None, None)
        self.zones: ZonesDriver | None = None
        self.limits: LimitsDriver | None = None
        self.recovery: RecoveryDriver | None = None
        self.held_verdicts: dict[int, Verdict] = {}  # on the claims of requests that wait for admission
        self.pool_preferences = PoolPreferences(
            settings, self.attempts_by_server, self.counts, Random(random.random())
        )
        self.message_handlers: dict[type[Message], Callable[[WorkerConnection, Any], object]] = {
            SetUpRequested: self.on_request,
            PlaybackStarted: self.on_playing,
            AttemptFinished: self.on_attempt_finished,
            ServerNote: self.on_note,
            ViewerGone: self.on_viewer_gone,
            DeadlineExpired: self.on_deadline_expired,
            SessionClosed: self.on_session_closed,
            OngoingSession: self.on_ongoing_session,
        }
        bridge.action_handlers.update(
            {
                interface.SetUp: self.set_up,
                interface.SetRung: self.set_rung,
                interface.Refuse: self.refuse,
                interface.Fail: self.fail,
                interface.Move: self.move,
                interface.Cancel: self.cancel,
            }
        )

    def on_worker_message(self, connection: WorkerConnection, message: Message) -> bool:
        """Handles a worker's message. Returns False if it is not about a set-up request."""
        if handler := self.message_handlers.get(type(message)):
            handler(connection, message)
            return True
        return False

    def attempts_by_server(self) -> Counter[int]:
        """Counts the attempts that are in progress or playing, by server id."""
        return Counter(attempt.server for attempt in self.attempt_registry.open_attempts.values())

    # messages of workers

    def on_request(self, connection: WorkerConnection, message: SetUpRequested) -> None:
        """Reports the request to the module, after the claim's own front has answered if it has a claim.

        A request past its deadline is ignored, as the worker has answered it.
        """
        now = self.loop.now()
        if message.deadline <= now or not self.attempt_registry.add_request(
            connection.number, message.request_id
        ):
            self.counts["asked_late"] += 1
            return
        request = self.open_requests[message.request_id] = SetUpRequest(connection, message)
        request.received_at = now
        self.counts["asked"] += 1
        if self.recorder and not message.moved:
            self.recorder.on_request(message, now * 1000)
        claim = None if message.moved else Token.parse(message.claim)
        if claim is None:
            self.admit(request, Verdict.RAN if message.maybe_ran else Verdict.GO)
            return
        if message.unsent_attempt and self.store_service:
            self.store_service.settle_unsent(claim, message.unsent_turn, message.unsent_attempt)
        self.claim_resolver.begin(
            claim,
            CLAIM_QUERY_SHARE * (message.deadline - now),
            partial(self.on_claim_resolved, request),
        )

    def on_claim_resolved(self, request: SetUpRequest, decision: ClaimDecision) -> None:
        """Called when it is known whether the claim may be set up here, or after the timeout."""
        if self.open_requests.get(request.request_id) is not request:
            return
        request.permit = decision.permit
        verdict = Verdict.RAN if request.message.maybe_ran else decision.verdict
        self.counts[f"claim_{verdict.value}"] += verdict is not Verdict.GO
        self.admit(request, verdict)

    def admit(self, request: SetUpRequest, verdict: Verdict) -> None:
        """Passes the request through the admission gate of a recovering front, which follows the fleet's
        capacity.

        Moved sessions, and requests that the verdict on their claim rejects, bypass the gate.
        """
        if self.recovery is None or request.message.moved or verdict is not Verdict.GO:
            self.submit(request, verdict)
            return
        worth = self.settings.terms.classes[request.message.cls].worth
        self.held_verdicts[request.request_id] = verdict
        admission = self.recovery.request_admission(
            request.request_id, worth, (request.deadline - self.loop.now()) * 1000
        )
        if admission:
            self.release_held_request(admission.request_id, admission.retry_after_ms)

    def release_held_request(self, request_id: int, pause_ms: float | None) -> None:
        """Submits a request that waited for admission, or advises to refuse it with a pause."""
        request, verdict = (
            self.open_requests.get(request_id),
            self.held_verdicts.pop(request_id, None),
        )
        if request and verdict:
            self.counts["told_to_wait"] += pause_ms is not None
            self.submit(request, verdict, pause_ms)

    def submit(self, request: SetUpRequest, verdict: Verdict, pause_ms: float | None = None) -> None:
        """Reports the request to the module, once, with the advice of hooks, pools, zones and limits.

        If no front could resolve the claim, the advice is to refuse.
        """
        left_ms = max(1.0, (request.deadline - self.loop.now()) * 1000)
        message, capture = request.message, self.bridge.capture
        if capture:
            capture.add_note(
                self.bridge.now_ms(),
                "viewer",
                f"session {message.session_id} {message.path}",
                request.request_id,
            )
        ruling = self.hooks.run("arrival", request, message.moved)
        request.advice, request.reason, request.cls = ruling.advice, ruling.reason, ruling.cls
        if capture and (ruling.advice != interface.NO_ADVICE or ruling.cls != message.cls):
            words = describe_advice(ruling.advice)
            if ruling.cls != message.cls:
                words += f", counts as {self.settings.terms.class_names[ruling.cls]}"
            capture.add_note(self.bridge.now_ms(), "hook", f"arrival: {words}", request.request_id)
        prefer = message.prefer + self.pool_preferences.preferences(
            message.pool, message.key or message.viewer_name
        )
        if prefer:  # the preference of the route's pool yields to that of a hook
            request.advice = merge(interface.Advice(prefer=prefer), ruling.advice)
        if self.zones:
            request.advice = merge(
                self.zones.advice_for(request.request_id, request.cls, message.first_cell, message.cells),
                request.advice,
            )
        if self.limits:
            self.reserve_limits(request, self.limits)
        if verdict is Verdict.UNKNOWN:
            request.advice = merge(request.advice, interface.Advice(refuse=True))
        if pause_ms is not None:
            request.advice = merge(request.advice, interface.Advice(refuse=True, pause_ms=max(1.0, pause_ms)))
        new_session = self.build_new_session(request, left_ms, verdict is Verdict.RAN)
        request.new_session = replace(new_session, waited_ms=(self.loop.now() - request.received_at) * 1000)
        self.bridge.enqueue(request.new_session)

    def reserve_limits(self, request: SetUpRequest, limits: LimitsDriver) -> None:
        """Reserves the session under the limits of the fleet, or advises to refuse it with a pause."""
        message = request.message
        moved = message.session_id if message.moved else ""
        ruling = limits.reserve(
            request.request_id,
            message.tenant,
            request.cls,
            str(message.title),
            message.top_rung,
            moved,
        )
        advice = interface.Advice(cap=ruling.rung_cap)
        if ruling.refused_by:
            self.counts["over_limit"] += 1
            request.reason = f"limit {ruling.refused_by}"
            advice = interface.Advice(refuse=True, pause_ms=max(1.0, ruling.retry_after_ms))
        request.advice = merge(request.advice, advice)

    def build_new_session(
        self, request: SetUpRequest, left_ms: float, maybe_ran: bool
    ) -> interface.NewSession:
        message = request.message
        return interface.NewSession(
            id=request.request_id,
            cls=request.cls,
            viewer=message.viewer,
            title=message.title,
            left_ms=left_ms,
            top=message.top_rung,
            first_cell=message.first_cell,
            cells=message.cells,
            tenant=message.tenant,
            moved=message.moved,
            repeated=message.moved or message.again,
            advice=request.advice,
            maybe_ran=maybe_ran,
        )

    def on_playing(self, connection: WorkerConnection, message: PlaybackStarted) -> None:
        request = self.find_request(connection, message.request_id, message.attempt)
        if request is None or request.answered:
            return
        request.answered, request.playing_since = True, self.loop.now()
        self.counts["played"] += 1
        self.on_set_up_time(message.took_ms)
        if self.zones:
            self.zones.on_playing(request.request_id, message.server)
        if self.store_service:
            requested = request.message
            self.store_service.save_session(
                requested.session_id, requested.claim, requested.path, requested.cls, message.server
            )
        self.bridge.enqueue(
            interface.Playing(request.request_id, message.attempt, message.server, message.took_ms)
        )
        for name, value in zip(self.settings.terms.report_fields, message.report, strict=False):
            if kind := {"x0": interface.NoteKind.LINK, "x1": interface.NoteKind.UPLINK}.get(name):
                # the load reported with the set-up counts as a note received now
                self.report_note(request.request_id, message.attempt, message.server, kind, value)

    def find_request(
        self, connection: WorkerConnection, request_id: int, attempt: int
    ) -> SetUpRequest | None:
        """Returns the connection's request if `attempt` is its current attempt."""
        request = self.open_requests.get(request_id)
        if (
            request is None
            or request.connection is not connection
            or request.open_attempt is None
            or request.open_attempt.number != attempt
        ):
            return None
        return request

    def on_note(self, connection: WorkerConnection, message: ServerNote) -> None:
        if self.find_request(connection, message.request_id, message.attempt):
            self.report_note(
                message.request_id, message.attempt, message.server, message.note_kind, message.value
            )

    def report_note(self, request_id: int, attempt: int, server: int, kind: int, value: float) -> None:
        self.bridge.enqueue(interface.Note(request_id, attempt, server, kind, value))
        if self.zones:
            self.zones.on_outcome(server, Outcome.OK)
        if kind == interface.NoteKind.LINK:
            self.hooks.on_link_use(server, value)

    def on_viewer_gone(self, connection: WorkerConnection, message: ViewerGone) -> None:
        """Reports to the module that the viewer is gone; the end of an open attempt follows separately."""
        request = self.open_requests.get(message.request_id)
        if request is None or request.connection is not connection:
            return
        self.counts["viewer_gone"] += not request.answered
        if request.new_session:
            self.bridge.enqueue_viewer_gone(request.new_session)
        if request.open_attempt is None:
            self.close_request(request)

    def on_attempt_finished(self, connection: WorkerConnection, message: AttemptFinished) -> None:
        attempt = self.attempt_registry.finish_attempt(connection.number, message.request_id, message.attempt)
        if attempt is None:
            return
        outcome = Outcome(message.outcome)
        self.settle_claim(attempt, message.request_sent and outcome not in NEVER_RAN)
        if self.limits and message.moving and message.request_id in self.open_requests:
            self.limits.park(message.request_id, self.open_requests[message.request_id].message.session_id)
        else:
            self.release_limits(message.request_id)
        if self.zones:
            self.zones.on_outcome(message.server, outcome)
        request = self.open_requests.get(message.request_id)
        if request is None or request.open_attempt is not attempt:
            return
        request.open_attempt = None
        self.counts[f"ended_{outcome.name.lower()}"] += 1
        if outcome not in (Outcome.OK, Outcome.MOOT, Outcome.CANCELLED) and not message.viewer_gone:
            self.run_break_hooks(request, outcome, message)
        event = interface.AttemptEnded(
            request.request_id,
            message.attempt,
            message.server,
            outcome,
            message.request_closed,
            message.took_ms,
            message.report,
        )
        self.bridge.enqueue(event)
        if message.request_closed:
            self.close_request(request)

    def settle_claim(self, attempt: OpenAttempt, ran: bool) -> None:
        """Records in the ledger that an attempt of a paid claim has ended, and whether it may have run."""
        permit = self.permits.pop((attempt.request_id, attempt.number), None)
        if permit and self.store_service:
            self.store_service.settle(permit, ran)

    def run_break_hooks(self, request: SetUpRequest, outcome: Outcome, message: AttemptFinished) -> None:
        """Runs the hooks for a failed attempt or stream, before the module receives the failure."""
        facts = {"outcome": outcome.name.lower(), "played": message.played_ms}
        ruling = self.hooks.run("break", request, message.moving, **facts)
        if not request.answered:
            self.update_advice(request, ruling.advice)

    def on_deadline_expired(self, connection: WorkerConnection, message: DeadlineExpired) -> None:
        """The worker answered the viewer: the module did not decide, or this process did not run in time."""
        request = self.open_requests.get(message.request_id)
        if request is None or request.connection is not connection:
            return
        self.counts["overdue"] += 1
        log.error(
            "no decision by the deadline; the worker answered the viewer",
            session=request.message.session_id,
            request_id=request.request_id,
        )
        if request.new_session:
            self.bridge.enqueue_viewer_gone(request.new_session)
        self.close_request(request)

    def on_session_closed(self, connection: WorkerConnection, message: SessionClosed) -> None:
        if self.recorder:
            played_ms = message.played_ms if message.played_ms >= 0 else None
            self.recorder.on_session_over(message.session_id, played_ms, message.vanished)
        if message.played_ms >= 0 and self.store_service:
            self.store_service.remove_session(message.session_id)

    def on_ongoing_session(self, connection: WorkerConnection, message: OngoingSession) -> None:
        """Adopts a playing session that an earlier decider, or the predecessor of this front, set up."""
        requested = MessageDecoder().feed(message.request)[0]
        if isinstance(requested, MalformedMessage) or not isinstance(requested, SetUpRequested):
            self.counts["carried_unreadable"] += 1
            return
        requested.request_id = message.request_id
        if not self.attempt_registry.add_request(connection.number, message.request_id):
            return
        request = self.open_requests[message.request_id] = SetUpRequest(connection, requested)
        request.answered, request.rung, request.attempt_count, request.playing_since = (
            True,
            message.rung,
            1,
            message.playing_since,
        )
        if message.memo:
            request.cls, request.advice, request.reason = parse_memo(message.memo)
        request.new_session = self.build_new_session(
            request, max(1.0, (requested.deadline - self.loop.now()) * 1000), False
        )
        request.open_attempt = self.attempt_registry.add_attempt(message.request_id, 0, message.server, True)
        if self.store_service:
            self.store_service.save_session(
                requested.session_id, requested.claim, requested.path, requested.cls, message.server
            )
            if message.claim_attempts and (claim := Token.parse(requested.claim)):
                self.permits[message.request_id, 0] = Permit(claim, message.claim_turn, 0)
        self.counts["carried"] += 1
        if self.zones:
            self.zones.adopt_session(message.request_id, request.cls, message.rung, message.server)
        if self.limits:
            self.limits.adopt_session(
                message.request_id,
                requested.tenant,
                request.cls,
                str(requested.title),
                message.rung,
            )
        self.bridge.enqueue(interface.HandedOver(request.new_session, message.server))
        self.bridge.enqueue(
            interface.Note(
                message.request_id, 0, message.server, interface.NoteKind.RUNG, float(message.rung)
            )
        )

    def on_worker_lost(self, connection: WorkerConnection) -> None:
        """Closes all requests of a lost connection and reports the end of each of its open attempts once."""
        request_ids, ends = self.attempt_registry.remove_connection(connection.number)
        for attempt, execution in ends:
            self.settle_claim(attempt, execution is Execution.MAY_HAVE_RUN)
        last_attempts = {attempt.request_id: attempt for attempt, _ in ends}
        for request_id in request_ids:
            request = self.open_requests.pop(request_id)
            if self.held_verdicts.pop(request_id, None) and self.recovery:
                self.recovery.drop_request(request_id)
            if self.zones:
                self.zones.on_session_over(request_id)
            self.release_limits(request_id)
            if request.permit and self.store_service:
                self.store_service.ledger.end_permit(request.permit)
            if request.answered and self.store_service:
                self.store_service.remove_session(request.message.session_id)
            if self.recorder:
                played_ms = (self.loop.now() - request.playing_since) * 1000 if request.answered else None
                self.recorder.on_session_over(request.message.session_id, played_ms, not request.answered)
            if request.new_session:
                self.bridge.enqueue_viewer_gone(request.new_session)
            if request.open_attempt and (last := last_attempts.get(request_id)):
                event = interface.AttemptEnded(
                    request_id, last.number, last.server, Outcome.CANCELLED, True, 0.0
                )
                self.bridge.enqueue(event)
        if request_ids:
            self.counts["lost_with_worker"] += len(request_ids)

    def expire_overdue_requests(self) -> None:
        """Closes unanswered requests after their deadline: their workers do not run, no viewer waits."""
        limit = self.loop.now() - OVERDUE_S
        for request in [
            request
            for request in self.open_requests.values()
            if not request.answered and request.deadline < limit
        ]:
            self.counts["given_up_late"] += 1
            if (
                request.new_session
                and self.bridge.enqueue_viewer_gone(request.new_session)
                and request.open_attempt
            ):
                cancelled = (
                    request.request_id,
                    request.open_attempt.number,
                    request.open_attempt.server,
                    Outcome.CANCELLED,
                    True,
                    0.0,
                )
                self.bridge.enqueue(interface.AttemptEnded(*cancelled))
            # the attempt stays in the registry: the ledger must learn of its end, which may still be reported
            request.open_attempt = None
            self.close_request(request)

    def close_request(self, request: SetUpRequest) -> None:
        if self.store_service and request.permit:
            self.store_service.ledger.end_permit(request.permit)
        self.attempt_registry.remove_request(request.request_id)
        self.open_requests.pop(request.request_id, None)
        if self.held_verdicts.pop(request.request_id, None) and self.recovery:
            self.recovery.drop_request(request.request_id)
        if self.zones:
            self.zones.on_session_over(request.request_id)
        self.release_limits(request.request_id)

    def release_limits(self, request_id: int) -> None:
        """Releases the reservation of a closed request once none of its attempts is open.

        Until then the session that a limit counts may exist at a server.
        """
        if self.limits and request_id not in self.open_requests:
            attempts = range(self.settings.terms.max_attempts)
            if not any((request_id, attempt) in self.attempt_registry.open_attempts for attempt in attempts):
                self.limits.release(request_id)

    def end_session(self, request_id: int, reason: str) -> None:
        """Ends a session because the loan that its reservation stood on has expired."""
        request = self.open_requests.get(request_id)
        if request:
            self.counts["ended_by_limit"] += 1
            if request.answered:
                request.connection.send(EndSession(request_id, reason))
            elif request.open_attempt:
                request.connection.send(CancelAttempt(request_id, request.open_attempt.number))

    def update_advice(self, request: SetUpRequest, advice: interface.Advice) -> None:
        """Merges new advice and reports the result to the module if it has changed."""
        merged = merge(request.advice, advice) if advice != interface.NO_ADVICE else request.advice
        if merged != request.advice:
            request.advice = merged
            self.bridge.enqueue(interface.AdviceChanged(request.request_id, merged))

    def advise_move_home(self, request_id: int) -> None:
        """Advises to move a session back to its own zone, which is up again: others lack the room that it
        takes."""
        request = self.open_requests.get(request_id)
        if request and request.answered and not request.moving:
            self.bridge.enqueue(interface.AdviceChanged(request_id, replace(request.advice, move=True)))

    # actions of the module

    def pack_memo(self, request: SetUpRequest) -> bytes:
        """Encodes what another decider must know of the request; empty if there is no advice."""
        plain = (
            request.advice == interface.NO_ADVICE
            and request.cls == request.message.cls
            and not request.reason
        )
        return b"" if plain else json.dumps([request.cls, asdict(request.advice), request.reason]).encode()

    def set_up(self, action: interface.SetUp) -> None:
        """Starts an attempt at a server; the attempt of a paid claim is first recorded in the ledger.

        An attempt that must not or cannot start is reported to the module as `MOOT`.
        """
        request = self.open_requests.get(action.id)
        if request is None:
            return
        number = request.attempt_count
        request.attempt_count += 1
        left_s = request.deadline - self.loop.now()
        timeout_s = min(left_s, action.timeout_ms / 1000) if action.timeout_ms > 0 else left_s
        address = self.addresses(action.server)
        moot = number >= self.settings.terms.max_attempts or left_s <= 0 or request.open_attempt is not None
        moot |= request.answered or address is None
        moot |= bool(request.message.claim) and request.permit is None  # the claim may not be set up here
        moot = moot or bool(self.limits and not self.limits.may_set_up(request.request_id))
        record = None
        if not moot and request.permit and self.store_service:
            on_written = partial(self.on_claim_written, request.request_id, number)
            record = self.store_service.record_attempt(request.permit, action.server, on_written)
            moot = record is None  # meanwhile passed to another front, or held by a later request
        if not moot:
            assert address is not None
            message = StartAttempt(
                request.request_id,
                number,
                action.server,
                request.rung,
                record.turn if record else 0,
                record.attempts if record else 0,
                self.rung_rate_kb(request, request.rung),
                max(0.001, timeout_s),
                record is not None,
                address if isinstance(address, str) else f"{address[0]}:{address[1]}",
                self.pack_memo(request),
            )
            if request.connection.send(message):
                self.counts["attempts"] += 1
                if self.zones:
                    self.zones.on_set_up(request.request_id, action.server)
                request.open_attempt = self.attempt_registry.add_attempt(
                    request.request_id, number, action.server, record is None
                )
                if request.permit:
                    self.permits[request.request_id, number] = request.permit
                    self.failpoint("given")
                return
            self.counts["seam_full"] += 1
            if record and request.permit and self.store_service:
                self.store_service.settle(request.permit, False)
        # nothing is sent: too many attempts, one still open, no address, past the deadline, or not allowed
        self.counts["ended_moot"] += 1
        self.bridge.enqueue(
            interface.AttemptEnded(action.id, number, action.server, Outcome.MOOT, False, 0.0)
        )

    def on_claim_written(self, request_id: int, number: int, error: str) -> None:
        """Allows the worker to send the attempt's request, now that the ledger has recorded the attempt.

        `error` is empty, or why the record could not be written.
        """
        attempt = self.attempt_registry.open_attempts.get((request_id, number))
        request = self.open_requests.get(request_id)
        if attempt is None or request is None or request.open_attempt is not attempt:
            return
        self.failpoint("written")
        if error or self.attempt_registry.allow_send(request_id, number):
            request.connection.send(AttemptRecorded(request_id, number, error))
            self.loop.call_later(0.0, self.failpoint, "cleared")  # after the message was sent

    def rung_rate_kb(self, request: SetUpRequest, rung: int) -> float:
        """The rate of a rung for the session's class, in kB/s."""
        terms = self.settings.terms
        return terms.ladder_kb[rung] * terms.classes[request.message.cls].scale

    def set_rung(self, action: interface.SetRung) -> None:
        request = self.open_requests.get(action.id)
        if request is None:
            return
        before, request.rung = request.rung, action.rung
        if request.open_attempt:
            self.counts["rung_changes"] += 1
            request.connection.send(
                ChangeRung(request.request_id, action.rung, self.rung_rate_kb(request, action.rung))
            )
            self.run_change_hooks(request, before)

    def run_change_hooks(self, request: SetUpRequest, before: int) -> None:
        """Runs the hooks for a change of rung. Their advice applies from the next change on."""
        if request.answered and not request.moving and self.hooks.engine.scripts:
            played_ms = (self.loop.now() - request.playing_since) * 1000
            rungs = {"rung": float(request.rung), "before": float(before)}
            self.update_advice(
                request,
                self.hooks.run("change", request, False, played=played_ms, **rungs).advice,
            )

    def refuse(self, action: interface.Refuse) -> None:
        if request := self.close_unanswered(action.id, "refused"):
            reason = request.reason if request.advice.refuse and not request.attempt_count else ""
            request.connection.send(RefuseRequest(action.id, action.pause_ms, reason))

    def fail(self, action: interface.Fail) -> None:
        if request := self.close_unanswered(action.id, "failed"):
            request.connection.send(FailRequest(action.id, 502))

    def close_unanswered(self, request_id: int, verdict: str) -> SetUpRequest | None:
        """Closes the request at the module's final decision.

        An attempt that is still open stays in the registry; its end concerns the ledger only.
        """
        request = self.open_requests.get(request_id)
        if request is None or request.answered:
            return None
        self.counts[verdict] += 1
        self.hooks.refusal_times.add(self.hooks.now_ms())
        self.hooks.run("refusal", request, request.message.moved, verdict=verdict)
        self.close_request(request)
        return request

    def move(self, action: interface.Move) -> None:
        """Moves a playing session off its server; its worker soon sends a new request, marked as moved."""
        request = self.open_requests.get(action.id)
        if request is None or not request.answered or request.moving:
            return
        self.counts["moved"] += 1
        request.moving = True
        request.connection.send(MoveSession(action.id))

    def cancel(self, action: interface.Cancel) -> None:
        request = self.open_requests.get(action.id)
        if (
            request
            and not request.answered
            and request.open_attempt
            and request.open_attempt.number == action.attempt
        ):
            request.connection.send(CancelAttempt(action.id, action.attempt))
