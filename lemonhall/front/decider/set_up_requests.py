"""What is asked of this front, on the deciding side: the module's events made of what workers say, its
actions given to them, and the ledger of paid claims between the two.

An ask is what the module knows as a session. It is here from the worker's `Asked` to the end of its last
attempt.
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

from lemonhall import interface as i
from lemonhall.capture.story import advice_words
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
from lemonhall.store import Begun, Hold, Token, Verdict

log = structlog.get_logger("lemonhall.front")
ASK_PART = 0.4  # of the time that is left: another front's word on a claim is waited for
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
FAILPOINTS = ("given", "written", "cleared")  # of a paid attempt; for tests, as in a change of guard
LATE_S = 1.0  # behind the deadline: a worker that has said nothing by then does not run


class Line(Protocol):
    """To one worker. `number` is of the link: a worker that comes again has another."""

    number: int

    def send(self, message: Message) -> bool: ...


class Ask:
    def __init__(self, line: Line, said: SetUpRequested) -> None:
        self.line, self.said, self.number, self.deadline = line, said, said.request_id, said.deadline
        self.rung = 0
        self.attempts = 0
        self.out: OpenAttempt | None = None  # the attempt that is out, or plays
        self.answered = False
        self.came = 0.0  # when it was asked for
        self.advice = i.NO_ADVICE  # what the module was told of wishes for it
        self.hold: Hold | None = None  # of a paid claim: the right to set it up
        self.told: i.NewSession | None = None  # as the module was told of it
        self.reason = ""  # given by a hook that wishes it refused
        self.cls = said.cls  # as the module was told
        self.moving = False
        self.since = 0.0  # when it came to play


def advice_of(packed: dict[str, Any]) -> i.Advice:
    pairs = {n: tuple((str(a), int(b)) for a, b in packed[n]) for n in ("prefer", "avoid")}
    return i.Advice(**{**packed, **pairs, "bars": tuple(int(n) for n in packed.get("bars", ()))})


def remembered(memo: bytes) -> tuple[int, i.Advice, str]:
    """Of `Asks.memo`. Raises `ValueError`, `KeyError` or `TypeError`."""
    cls, advice, reason = json.loads(memo)
    return int(cls), advice_of(advice), str(reason)


class SetUpRequests:
    """`addresses` gives a server's address by its number, also of servers that have left the list."""

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
        self.open_requests: dict[int, Ask] = {}
        self.attempt_table = AttemptRegistry()
        self.holds: dict[tuple[int, int], Hold] = {}  # of attempts that are out, by ask and attempt
        self.failpoint: Callable[[str], object] = lambda name: None
        self.on_set_up_time: Callable[[float], object] = lambda ms: None
        self.recorder: SessionRecorder | None = None
        self.store_service: StoreService | None = None
        self.claim_resolver = ClaimResolver(loop, None, None)
        self.zones: ZonesDriver | None = None
        self.limits: LimitsDriver | None = None
        self.recovery: RecoveryDriver | None = None
        self.held_verdicts: dict[int, Verdict] = {}  # held back by the return: what was said of their claims
        self.pool_preferences = PoolPreferences(
            settings, self.attempts_by_server, self.counts, Random(random.random())
        )
        self.message_handlers: dict[type[Message], Callable[[Line, Any], object]] = {
            SetUpRequested: self.asked,
            PlaybackStarted: self.playing,
            AttemptFinished: self.ended,
            ServerNote: self.noted,
            ViewerGone: self.gone,
            DeadlineExpired: self.lapsed,
            SessionClosed: self.over,
            OngoingSession: self.carried,
        }
        bridge.action_handlers.update(
            {
                i.SetUp: self.set_up,
                i.SetRung: self.set_rung,
                i.Refuse: self.refuse,
                i.Fail: self.fail,
                i.Move: self.move,
                i.Cancel: self.cancel,
            }
        )

    def on_worker_message(self, line: Line, message: Message) -> bool:
        """A worker's word. False: it is not about an ask."""
        if act := self.message_handlers.get(type(message)):
            act(line, message)
            return True
        return False

    def attempts_by_server(self) -> Counter[int]:
        """Attempts that are out or play, by server."""
        return Counter(out.server for out in self.attempt_table.open_attempts.values())

    # what workers say

    def asked(self, line: Line, said: SetUpRequested) -> None:
        """The module is told now, or when a claim's own front has spoken. What is late has had its answer."""
        now = self.loop.now()
        if said.deadline <= now or not self.attempt_table.add_request(line.number, said.request_id):
            self.counts["asked_late"] += 1
            return
        ask = self.open_requests[said.request_id] = Ask(line, said)
        ask.came = now
        self.counts["asked"] += 1
        if self.recorder and not said.moved:
            self.recorder.on_request(said, now * 1000)
        claim = None if said.moved else Token.parse(said.claim)
        if claim is None:
            self.admit(ask, Verdict.RAN if said.maybe_ran else Verdict.GO)
            return
        if said.unsent_attempt and self.store_service:
            self.store_service.settle_unsent(claim, said.unsent_turn, said.unsent_attempt)
        self.claim_resolver.begin(claim, ASK_PART * (said.deadline - now), partial(self.begun, ask))

    def begun(self, ask: Ask, begun: Begun) -> None:
        """Whether a claim may be set up here is known, or that nobody can say in time."""
        if self.open_requests.get(ask.number) is not ask:
            return
        ask.hold = begun.hold
        verdict = Verdict.RAN if ask.said.maybe_ran else begun.verdict
        self.counts[f"claim_{verdict.value}"] += verdict is not Verdict.GO
        self.admit(ask, verdict)

    def admit(self, ask: Ask, verdict: Verdict) -> None:
        """A front that comes back lets through what the fleet can take. What plays, or is only to be told
        off, may go."""
        if self.recovery is None or ask.said.moved or verdict is not Verdict.GO:
            self.tell(ask, verdict)
            return
        worth = self.settings.terms.classes[ask.said.cls].worth
        self.held_verdicts[ask.number] = verdict
        made = self.recovery.request_admission(ask.number, worth, (ask.deadline - self.loop.now()) * 1000)
        if made:
            self.release_held_request(made.request_id, made.retry_after_ms)

    def release_held_request(self, number: int, pause_ms: float | None) -> None:
        """An ask that was held back: on with it, or it is wished away with a pause."""
        ask, verdict = self.open_requests.get(number), self.held_verdicts.pop(number, None)
        if ask and verdict:
            self.counts["told_to_wait"] += pause_ms is not None
            self.tell(ask, verdict, pause_ms)

    def tell(self, ask: Ask, verdict: Verdict, pause_ms: float | None = None) -> None:
        """Tells the module of a session asked for: once. A claim that nobody can speak for is wished away."""
        left_ms = max(1.0, (ask.deadline - self.loop.now()) * 1000)
        said, capture = ask.said, self.bridge.capture
        if capture:
            capture.add_note(
                self.bridge.now_ms(), "viewer", f"session {said.session_id} {said.path}", ask.number
            )
        ruling = self.hooks.run("arrival", ask, said.moved)
        ask.advice, ask.reason, ask.cls = ruling.advice, ruling.reason, ruling.cls
        if capture and (ruling.advice != i.NO_ADVICE or ruling.cls != said.cls):
            words = advice_words(ruling.advice)
            if ruling.cls != said.cls:
                words += f", counts as {self.settings.terms.class_names[ruling.cls]}"
            capture.add_note(self.bridge.now_ms(), "hook", f"arrival: {words}", ask.number)
        prefer = said.prefer + self.pool_preferences.preferences(said.pool, said.key or said.viewer_name)
        if prefer:  # the route's pool; what a hook says comes first
            ask.advice = merge(i.Advice(prefer=prefer), ruling.advice)
        if self.zones:
            ask.advice = merge(
                self.zones.advice_for(ask.number, ask.cls, said.first_cell, said.cells), ask.advice
            )
        if self.limits:
            self.take_room(ask, self.limits)
        if verdict is Verdict.UNKNOWN:
            ask.advice = merge(ask.advice, i.Advice(refuse=True))
        if pause_ms is not None:
            ask.advice = merge(ask.advice, i.Advice(refuse=True, pause_ms=max(1.0, pause_ms)))
        told = self.new_session(ask, left_ms, verdict is Verdict.RAN)
        ask.told = replace(told, waited_ms=(self.loop.now() - ask.came) * 1000)
        self.bridge.enqueue(ask.told)

    def take_room(self, ask: Ask, limits: LimitsDriver) -> None:
        """Under the limits of the whole fleet, or it is wished away with a pause."""
        said = ask.said
        moved = said.session_id if said.moved else ""
        ruling = limits.reserve(ask.number, said.tenant, ask.cls, str(said.title), said.top_rung, moved)
        advice = i.Advice(cap=ruling.rung_cap)
        if ruling.refused_by:
            self.counts["over_limit"] += 1
            ask.reason = f"limit {ruling.refused_by}"
            advice = i.Advice(refuse=True, pause_ms=max(1.0, ruling.retry_after_ms))
        ask.advice = merge(ask.advice, advice)

    def new_session(self, ask: Ask, left_ms: float, ran: bool) -> i.NewSession:
        said = ask.said
        return i.NewSession(
            id=ask.number,
            cls=ask.cls,
            viewer=said.viewer,
            title=said.title,
            left_ms=left_ms,
            top=said.top_rung,
            first_cell=said.first_cell,
            cells=said.cells,
            tenant=said.tenant,
            moved=said.moved,
            repeated=said.moved or said.again,
            advice=ask.advice,
            maybe_ran=ran,
        )

    def playing(self, line: Line, word: PlaybackStarted) -> None:
        ask = self.mine(line, word.request_id, word.attempt)
        if ask is None or ask.answered:
            return
        ask.answered, ask.since = True, self.loop.now()
        self.counts["played"] += 1
        self.on_set_up_time(word.took_ms)
        if self.zones:
            self.zones.on_playing(ask.number, word.server)
        if self.store_service:
            said = ask.said
            self.store_service.save_session(said.session_id, said.claim, said.path, said.cls, word.server)
        self.bridge.enqueue(i.Playing(ask.number, word.attempt, word.server, word.took_ms))
        for name, value in zip(self.settings.terms.report_fields, word.report, strict=False):
            if kind := {"x0": i.NoteKind.LINK, "x1": i.NoteKind.UPLINK}.get(name):
                self.note(ask.number, word.attempt, word.server, kind, value)  # as a note of now

    def mine(self, line: Line, number: int, attempt: int) -> Ask | None:
        """The ask of a line whose attempt this is."""
        ask = self.open_requests.get(number)
        if ask is None or ask.line is not line or ask.out is None or ask.out.number != attempt:
            return None
        return ask

    def noted(self, line: Line, word: ServerNote) -> None:
        if self.mine(line, word.request_id, word.attempt):
            self.note(word.request_id, word.attempt, word.server, word.note_kind, word.value)

    def note(self, ask: int, attempt: int, server: int, kind: int, value: float) -> None:
        self.bridge.enqueue(i.Note(ask, attempt, server, kind, value))
        if self.zones:
            self.zones.on_outcome(server, Outcome.OK)
        if kind == i.NoteKind.LINK:
            self.hooks.on_link_use(server, value)

    def gone(self, line: Line, word: ViewerGone) -> None:
        """The module is told now; of the end of an attempt that is out when it comes."""
        ask = self.open_requests.get(word.request_id)
        if ask is None or ask.line is not line:
            return
        self.counts["viewer_gone"] += not ask.answered
        if ask.told:
            self.bridge.enqueue_viewer_gone(ask.told)
        if ask.out is None:
            self.close_request(ask)

    def ended(self, line: Line, word: AttemptFinished) -> None:
        out = self.attempt_table.finish_attempt(line.number, word.request_id, word.attempt)
        if out is None:
            return
        outcome = Outcome(word.outcome)
        self.settle(out, word.request_sent and outcome not in NEVER_RAN)
        if self.limits and word.moving and word.request_id in self.open_requests:
            self.limits.park(word.request_id, self.open_requests[word.request_id].said.session_id)
        else:
            self.give_room_back(word.request_id)
        if self.zones:
            self.zones.on_outcome(word.server, outcome)
        ask = self.open_requests.get(word.request_id)
        if ask is None or ask.out is not out:
            return
        ask.out = None
        self.counts[f"ended_{outcome.name.lower()}"] += 1
        if outcome not in (Outcome.OK, Outcome.MOOT, Outcome.CANCELLED) and not word.viewer_gone:
            self.broke(ask, outcome, word)
        told = i.AttemptEnded(
            ask.number, word.attempt, word.server, outcome, word.request_closed, word.took_ms, word.report
        )
        self.bridge.enqueue(told)
        if word.request_closed:
            self.close_request(ask)

    def settle(self, out: OpenAttempt, ran: bool) -> None:
        hold = self.holds.pop((out.request_id, out.number), None)
        if hold and self.store_service:
            self.store_service.settle(hold, ran)

    def broke(self, ask: Ask, outcome: Outcome, word: AttemptFinished) -> None:
        """The hooks are heard of a break before the module is told of it."""
        facts = {"outcome": outcome.name.lower(), "played": word.played_ms}
        ruling = self.hooks.run("break", ask, word.moving, **facts)
        if not ask.answered:
            self.advise(ask, ruling.advice)

    def lapsed(self, line: Line, word: DeadlineExpired) -> None:
        """The worker has answered in our place: the module was silent, or this process did not run."""
        ask = self.open_requests.get(word.request_id)
        if ask is None or ask.line is not line:
            return
        self.counts["overdue"] += 1
        log.error("no answer by the deadline", session=ask.said.session_id, ask=ask.number)
        if ask.told:
            self.bridge.enqueue_viewer_gone(ask.told)
        self.close_request(ask)

    def over(self, line: Line, word: SessionClosed) -> None:
        if self.recorder:
            played = word.played_ms if word.played_ms >= 0 else None
            self.recorder.on_session_over(word.session_id, played, word.vanished)
        if word.played_ms >= 0 and self.store_service:
            self.store_service.remove_session(word.session_id)

    def carried(self, line: Line, word: OngoingSession) -> None:
        """It plays, under a set-up of a decider that is gone, or of a front that this one relieves."""
        said = MessageDecoder().feed(word.request)[0]
        if isinstance(said, MalformedMessage) or not isinstance(said, SetUpRequested):
            self.counts["carried_unreadable"] += 1
            return
        said.request_id = word.request_id
        if not self.attempt_table.add_request(line.number, word.request_id):
            return
        ask = self.open_requests[word.request_id] = Ask(line, said)
        ask.answered, ask.rung, ask.attempts, ask.since = True, word.rung, 1, word.playing_since
        if word.memo:
            ask.cls, ask.advice, ask.reason = remembered(word.memo)
        ask.told = self.new_session(ask, max(1.0, (said.deadline - self.loop.now()) * 1000), False)
        ask.out = self.attempt_table.add_attempt(word.request_id, 0, word.server, True)
        if self.store_service:
            self.store_service.save_session(said.session_id, said.claim, said.path, said.cls, word.server)
            if word.claim_attempts and (claim := Token.parse(said.claim)):
                self.holds[word.request_id, 0] = Hold(claim, word.claim_turn, 0)
        self.counts["carried"] += 1
        if self.zones:
            self.zones.adopt_session(word.request_id, ask.cls, word.rung, word.server)
        if self.limits:
            self.limits.adopt_session(word.request_id, said.tenant, ask.cls, str(said.title), word.rung)
        self.bridge.enqueue(i.HandedOver(ask.told, word.server))
        self.bridge.enqueue(i.Note(word.request_id, 0, word.server, i.NoteKind.RUNG, float(word.rung)))

    def on_worker_lost(self, line: Line) -> None:
        """A worker's link has ended: every end that it owes is told here, once."""
        asks, ends = self.attempt_table.remove_connection(line.number)
        for out, proof in ends:
            self.settle(out, proof is Execution.MAY_HAVE_RUN)
        told = {out.request_id: out for out, _ in ends}
        for number in asks:
            ask = self.open_requests.pop(number)
            if self.held_verdicts.pop(number, None) and self.recovery:
                self.recovery.drop_request(number)
            if self.zones:
                self.zones.on_session_over(number)
            self.give_room_back(number)
            if ask.hold and self.store_service:
                self.store_service.ledger.over(ask.hold)
            if ask.answered and self.store_service:
                self.store_service.remove_session(ask.said.session_id)
            if self.recorder:
                played = (self.loop.now() - ask.since) * 1000 if ask.answered else None
                self.recorder.on_session_over(ask.said.session_id, played, not ask.answered)
            if ask.told:
                self.bridge.enqueue_viewer_gone(ask.told)
            if ask.out and (last := told.get(number)):
                ended = i.AttemptEnded(number, last.number, last.server, Outcome.CANCELLED, True, 0.0)
                self.bridge.enqueue(ended)
        if asks:
            self.counts["lost_with_worker"] += len(asks)

    def expire_overdue_requests(self) -> None:
        """Asks of workers that do not run: at some time after the deadline nobody waits any more."""
        until = self.loop.now() - LATE_S
        for ask in [a for a in self.open_requests.values() if not a.answered and a.deadline < until]:
            self.counts["given_up_late"] += 1
            if ask.told and self.bridge.enqueue_viewer_gone(ask.told) and ask.out:
                cancelled = (ask.number, ask.out.number, ask.out.server, Outcome.CANCELLED, True, 0.0)
                self.bridge.enqueue(i.AttemptEnded(*cancelled))
            ask.out = None  # it stays in the book, for the ledger: its end may still come
            self.close_request(ask)

    def close_request(self, ask: Ask) -> None:
        if self.store_service and ask.hold:
            self.store_service.ledger.over(ask.hold)
        self.attempt_table.remove_request(ask.number)
        self.open_requests.pop(ask.number, None)
        if self.held_verdicts.pop(ask.number, None) and self.recovery:
            self.recovery.drop_request(ask.number)
        if self.zones:
            self.zones.on_session_over(ask.number)
        self.give_room_back(ask.number)

    def give_room_back(self, number: int) -> None:
        """Once nothing of it is asked for, out, or plays: what a limit counts stands at a server."""
        if self.limits and number not in self.open_requests:
            attempts = range(self.settings.terms.max_attempts)
            if not any((number, n) in self.attempt_table.open_attempts for n in attempts):
                self.limits.release(number)

    def end_session(self, number: int, why: str) -> None:
        """The room that it stands on is not this front's any more."""
        ask = self.open_requests.get(number)
        if ask:
            self.counts["ended_by_limit"] += 1
            if ask.answered:
                ask.line.send(EndSession(number, why))
            elif ask.out:
                ask.line.send(CancelAttempt(number, ask.out.number))

    def advise(self, ask: Ask, advice: i.Advice) -> None:
        """Tells the module of other wishes for a session, if they are any."""
        merged = merge(ask.advice, advice) if advice != i.NO_ADVICE else ask.advice
        if merged != ask.advice:
            ask.advice = merged
            self.bridge.enqueue(i.AdviceChanged(ask.number, merged))

    def advise_move_home(self, number: int) -> None:
        """Its own hall is back, and others lack the room that it takes: the module may move it."""
        ask = self.open_requests.get(number)
        if ask and ask.answered and not ask.moving:
            self.bridge.enqueue(i.AdviceChanged(number, replace(ask.advice, move=True)))

    # what the module decides

    def pack_memo(self, ask: Ask) -> bytes:
        """What another decider must know of it, if anything was wished."""
        plain = ask.advice == i.NO_ADVICE and ask.cls == ask.said.cls and not ask.reason
        return b"" if plain else json.dumps([ask.cls, asdict(ask.advice), ask.reason]).encode()

    def set_up(self, action: i.SetUp) -> None:
        ask = self.open_requests.get(action.id)
        if ask is None:
            return
        number = ask.attempts
        ask.attempts += 1
        left_s = ask.deadline - self.loop.now()
        limit_s = min(left_s, action.timeout_ms / 1000) if action.timeout_ms > 0 else left_s
        address = self.addresses(action.server)
        moot = number >= self.settings.terms.max_attempts or left_s <= 0 or ask.out is not None
        moot |= ask.answered or address is None
        moot |= bool(ask.said.claim) and ask.hold is None  # nobody has said that it may be set up
        moot = moot or bool(self.limits and not self.limits.may_set_up(ask.number))
        record = None
        if not moot and ask.hold and self.store_service:
            cleared = partial(self.cleared, ask.number, number)
            record = self.store_service.attempt(ask.hold, action.server, cleared)
            moot = record is None  # passed on, or taken by a later ask, meanwhile
        if not moot:
            assert address is not None
            message = StartAttempt(
                ask.number,
                number,
                action.server,
                ask.rung,
                record.turn if record else 0,
                record.attempts if record else 0,
                self.rate(ask, ask.rung),
                max(0.001, limit_s),
                record is not None,
                address if isinstance(address, str) else f"{address[0]}:{address[1]}",
                self.pack_memo(ask),
            )
            if ask.line.send(message):
                self.counts["attempts"] += 1
                if self.zones:
                    self.zones.on_set_up(ask.number, action.server)
                ask.out = self.attempt_table.add_attempt(ask.number, number, action.server, record is None)
                if ask.hold:
                    self.holds[ask.number, number] = ask.hold
                    self.failpoint("given")
                return
            self.counts["seam_full"] += 1
            if record and ask.hold and self.store_service:
                self.store_service.settle(ask.hold, False)
        self.counts["ended_moot"] += 1  # nothing is sent: too many, two at once, nowhere, or too late
        self.bridge.enqueue(i.AttemptEnded(action.id, number, action.server, Outcome.MOOT, False, 0.0))

    def cleared(self, ask: int, number: int, why: str) -> None:
        """The ledger has it, or says why not: only now may the request leave."""
        out = self.attempt_table.open_attempts.get((ask, number))
        found = self.open_requests.get(ask)
        if out is None or found is None or found.out is not out:
            return
        self.failpoint("written")
        if why or self.attempt_table.allow_send(ask, number):
            found.line.send(AttemptRecorded(ask, number, why))
            self.loop.call_later(0.0, self.failpoint, "cleared")  # once it has left

    def rate(self, ask: Ask, rung: int) -> float:
        """kB a second of a rung for the session's class."""
        terms = self.settings.terms
        return terms.ladder_kb[rung] * terms.classes[ask.said.cls].scale

    def set_rung(self, action: i.SetRung) -> None:
        ask = self.open_requests.get(action.id)
        if ask is None:
            return
        before, ask.rung = ask.rung, action.rung
        if ask.out:
            self.counts["rung_changes"] += 1
            ask.line.send(ChangeRung(ask.number, action.rung, self.rate(ask, action.rung)))
            self.changed(ask, before)

    def changed(self, ask: Ask, before: int) -> None:
        """The hooks are heard of a change of rung; it stands, what they wish holds from the next on."""
        if ask.answered and not ask.moving and self.hooks.engine.scripts:
            played_ms = (self.loop.now() - ask.since) * 1000
            rungs = {"rung": float(ask.rung), "before": float(before)}
            self.advise(ask, self.hooks.run("change", ask, False, played=played_ms, **rungs).advice)

    def refuse(self, action: i.Refuse) -> None:
        if ask := self.final(action.id, "refused"):
            reason = ask.reason if ask.advice.refuse and not ask.attempts else ""
            ask.line.send(RefuseRequest(action.id, action.pause_ms, reason))

    def fail(self, action: i.Fail) -> None:
        if ask := self.final(action.id, "failed"):
            ask.line.send(FailRequest(action.id, 502))

    def final(self, number: int, name: str) -> Ask | None:
        """The module's last word; the end of an attempt that is still out is the ledger's alone."""
        ask = self.open_requests.get(number)
        if ask is None or ask.answered:
            return None
        self.counts[name] += 1
        self.hooks.refusal_times.add(self.hooks.now_ms())
        self.hooks.run("refusal", ask, ask.said.moved, verdict=name)
        self.close_request(ask)
        return ask

    def move(self, action: i.Move) -> None:
        """Off its server; its worker asks again shortly, as moved."""
        ask = self.open_requests.get(action.id)
        if ask is None or not ask.answered or ask.moving:
            return
        self.counts["moved"] += 1
        ask.moving = True
        ask.line.send(MoveSession(action.id))

    def cancel(self, action: i.Cancel) -> None:
        ask = self.open_requests.get(action.id)
        if ask and not ask.answered and ask.out and ask.out.number == action.attempt:
            ask.line.send(CancelAttempt(action.id, action.attempt))
