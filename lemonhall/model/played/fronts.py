"""Fronts in simulated time: the module's events made of what happens, its actions carried out.

The same rules of conduct as `lemonhall/front`: one attempt at a time, no more than the most, answers by the
deadline, proofs by what has left. What is not here is the protocol.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any, Protocol

from lemonhall import interface as i
from lemonhall.audit.trace import Attempt as Seen
from lemonhall.interface import NoteKind, Outcome, ServerState
from lemonhall.model.played import deciders
from lemonhall.model.played.fleet import Box
from lemonhall.model.played.limited import Limited
from lemonhall.model.played.parts import Stage, Watcher
from lemonhall.recovery import Phase, PhaseTimeouts, Recovery
from lemonhall.zones import ZoneFailover, ZoneSettings

NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
MARGIN_MS = 100.0  # of a deadline: the answer travels
BACKSTOP_MS = 50.0
TEARDOWN_MS = 500.0
MOVE_PAUSE_MS = 50.0
PEER_MS = 1.0
PEER_LOSS = 0.01
PERIOD_MS = 500.0  # of the members, as days have it
TURN_MS = 25.0  # in which a front that comes back looks at its gate
MOST_PAUSE_MS = 2000.0


class Decider(Protocol):
    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]: ...


Make = Callable[[i.Settings, int], Decider]


class Ask:
    """One session of the module's."""

    def __init__(self, number: int, viewer: Watcher, token: str, moved: bool) -> None:
        self.number, self.viewer, self.token, self.moved = number, viewer, token, moved
        self.deadline = 0.0
        self.rung = self.attempts = 0
        self.tries = 0  # attempts under whichever deciders
        self.attempt: Attempt | None = None
        self.answered = self.gone = False
        self.ran = False  # an attempt may have run


class Attempt:
    """One attempt at a server. `sent`: its request has left, so it may have run."""

    def __init__(self, front: Front, ask: Ask, number: int, server: int, box: Box, kb: float) -> None:
        self.front, self.ask, self.number, self.server, self.box = front, ask, number, server, box
        self.kb = self.kb_there = kb
        self.truth = front.world.truth(ask.viewer.wish)
        self.sent = self.over = self.play_ok = self.leaving = False
        self.report: tuple[float, ...] = ()
        self.seen: Seen | None = None
        self.began = front.world.sim.now
        self.decider = front.decider  # under which it was made, or that was told of it
        self.timer: Any = None

    def refused(self) -> None:
        self.end(Outcome.CONNECT_FAILED)

    def broken(self) -> None:
        self.end(Outcome.OK if self.leaving else Outcome.RESET)

    def answered(self, status: int, report: tuple[float, ...]) -> None:
        if self.over:
            return
        self.report = report
        if status == 200:
            self.front.world.sim.after(self.front.world.hop(), self.box.play, self)
        else:
            self.end(Outcome.FULL if status == 503 else Outcome.ERROR)

    def media(self) -> None:
        if self.over or self.play_ok:
            return
        self.play_ok = True
        if self.timer:
            self.timer.cancel()
        self.front.playing(self.ask, self)

    def note(self, kind: NoteKind, value: float) -> None:
        if not self.over and self.play_ok:
            self.front.tell(i.Note(self.ask.number, self.number, self.server, kind, value))

    def hear(self, report: tuple[float, ...]) -> None:
        """Every answer of a server tells its load."""
        if not self.over:
            self.report = report

    def set_rate(self, kb: float) -> None:
        self.kb = kb
        if self.play_ok or self.seen:
            self.front.world.sim.after(self.front.world.hop(), self.box.set_rate, self, kb)
        else:
            self.kb_there = kb

    def leave(self, outcome: Outcome = Outcome.OK) -> None:
        if self.over or self.leaving:
            return
        if not self.play_ok:
            self.end(Outcome.CANCELLED)
            return
        self.leaving = True
        sim, hop = self.front.world.sim, self.front.world.hop()
        if self.box.still:
            sim.after(TEARDOWN_MS, self.end, outcome)
        else:
            sim.after(hop, self.box.tear_down, self, outcome)

    def end(self, outcome: Outcome) -> None:
        if self.over:
            return
        if outcome == Outcome.TIMEOUT and not self.sent:
            outcome = Outcome.CONNECT_FAILED
        self.over = True
        if self.timer:
            self.timer.cancel()
        self.front.world.sim.after(self.front.world.hop(), self.box.let_go, self)
        self.front.ended(self.ask, self, outcome)


class Front:
    def __init__(self, world: Stage, index: int, name: str, hall: int) -> None:
        self.world, self.index, self.name, self.hall = world, index, name, hall
        self.up = False
        self.life = 0
        self.module: Decider
        self.asks: dict[int, Ask] = {}
        self.next_ask = 1
        self.events: list[i.Event] = []
        self.flushing = False
        self.born = 0.0
        self.heard: dict[int, i.Server] = {}
        self.calls = 0
        self.memory: i.LearnedState | None = None  # what it had learned when it was killed, if that is kept
        self.make: Make
        self.decider = 0  # how many of its deciders have ended
        self.headless = False  # none is there
        self.halls: ZoneFailover | None = None
        self.halls_kept = b""
        self.limits: Limited | None = None
        self.apart = False  # hears none that are not, nor do these hear it
        self.returning: Recovery | None = None
        self.kept_return = b""
        self.held: dict[int, i.NewSession] = {}  # asks that wait for their turn of the return

    # life

    def start(self, make: Make) -> None:
        self.life += 1
        self.up, self.born = True, self.world.sim.now
        self.make, self.headless = make, False
        self.asks, self.events, self.flushing = {}, [], False
        settings = self.world.module_settings(self.index)
        self.module = make(settings, self.world.seed * 100 + self.index)
        if self.world.day.terms.spills:
            self.start_halls()
        self.limits = Limited(self, PEER_MS, PEER_LOSS) if self.world.limited else None
        if self.world.returning:
            self.start_return()
        self.call()

    # the return

    def start_return(self) -> None:
        """The same machine as at a running front; who is there is known at once, the store is its own."""
        day, sim, terms = self.world.day, self.world.sim, self.world.day.terms
        self.held = {}
        self.returning = Recovery(
            sim.now,
            self.index,
            len(day.fronts),
            Random(f"{self.world.seed}/{self.index}/{self.life}"),
            PhaseTimeouts(period_ms=PERIOD_MS),
            terms.max_pause_ms or MOST_PAUSE_MS,
            quota_per_s=sum(t.quota_per_s for t in terms.tenants),
        )
        self.returning.restore(self.kept_return if day.keep else b"")
        self.tick_return((self.life, self.decider))

    def tick_return(self, whose: tuple[int, int]) -> None:
        machine, now = self.returning, self.world.sim.now
        if not (self.up and whose == (self.life, self.decider) and machine):
            return
        machine.on_view(now, tuple(f.index for f in self.world.fronts if f.up and f.apart == self.apart))
        words, lets = machine.tick(now)
        self.say_return(words)
        for let in lets:
            self.let(let.request_id, let.retry_after_ms)
        for one in machine.entered_phases:
            if one.phase is Phase.FULL:
                self.world.trace.front_recoveries.append((now, self.name, one.after_ms / 1000))
        machine.entered_phases.clear()
        full = machine.phases.phase is Phase.FULL
        self.world.sim.after(PERIOD_MS if full else TURN_MS, self.tick_return, whose)

    def say_return(self, words: list[Any]) -> None:
        for out in words:
            other = self.world.fronts[out.to]
            self.world.peer_messages += 1
            draw = self.world.named.uniform("return", f"{self.name}/{other.name}", self.world.peer_messages)
            if draw >= PEER_LOSS and other.apart == self.apart:
                self.world.sim.after(PEER_MS, other.hear_return, self.index, out.data)

    def hear_return(self, sender: int, data: bytes) -> None:
        if self.up and self.returning:
            self.say_return(self.returning.receive(self.world.sim.now, sender, data))

    def let(self, number: int, pause_ms: float | None) -> None:
        told = self.held.pop(number, None)
        if told is None:
            return
        if pause_ms is not None:
            told = replace(told, advice=replace(told.advice, refuse=True, pause_ms=max(1.0, pause_ms)))
        left = max(1.0, self.asks[number].deadline - self.world.sim.now) if number in self.asks else 1.0
        self.tell(replace(told, left_ms=left, waited_ms=max(0.0, told.left_ms - left)))

    # halls

    def start_halls(self) -> None:
        """The same machine as at a running front; what it keeps is on disk where the day says so."""
        day, sim = self.world.day, self.world.sim
        self.halls = ZoneFailover(
            ZoneSettings.of(day.terms),
            self.index,
            len(day.fronts),
            self.hall,
            int(sim.now) + self.life,
            Random(self.world.seed * 1000 + self.index),
            sim.now,
            state_complete=day.keep or self.life == 1,
            saved_state=self.halls_kept,
        )
        self.halls.members = tuple(range(len(day.fronts)))
        sim.after(0.0, self.tick_halls, (self.life, self.decider))

    def tick_halls(self, whose: tuple[int, int]) -> None:
        if self.up and whose == (self.life, self.decider) and self.halls and not self.headless:
            self.say_halls()
            self.world.sim.after(self.halls.message_period_ms(), self.tick_halls, whose)

    def say_halls(self) -> None:
        """Words travel as those of members do: some are lost."""
        assert self.halls
        words = self.halls.tick(self.world.sim.now)
        moves, self.halls.pending_moves = self.halls.pending_moves, []
        for number in moves:
            if (ask := self.asks.get(number)) and ask.answered and not ask.gone:
                self.tell(i.AdviceChanged(number, i.Advice(bars=(), move=True)))
        for out in words:
            other = self.world.fronts[out.to]
            self.world.peer_messages += 1
            draw = self.world.named.uniform("peers", f"{self.name}/{other.name}", self.world.peer_messages)
            if draw >= PEER_LOSS and other.apart == self.apart:
                self.world.sim.after(PEER_MS, other.hear_halls, self.index, out.data)

    def hear_halls(self, sender: int, data: bytes) -> None:
        if self.up and self.halls and not self.headless:
            self.halls.receive(self.world.sim.now, sender, data)
            if self.halls.pending_replies:
                self.say_halls()

    def advise(self, ask: Ask, advice: i.Advice) -> i.Advice:
        """What the rulings of its halls and limits make of it."""
        if self.limits:
            advice = self.limits.advise(ask, advice)
        if self.halls is None:
            return advice
        _, first, cells = self.world.place_of(ask.viewer.wish)
        most = self.world.day.terms.cells
        row = frozenset((first + n) % most for n in range(cells)) if cells < most else None
        ruling = self.halls.choose_zones(self.world.sim.now, ask.number, ask.viewer.wish.cls, row)
        return replace(
            advice, prefer=ruling.preferred, cap=min(advice.cap, ruling.rung_cap), bars=ruling.barred
        )

    def forget(self, ask: Ask) -> None:
        self.asks.pop(ask.number, None)
        if self.held.pop(ask.number, None) and self.returning:
            self.returning.cancel_request(ask.number)
        if self.halls:
            self.halls.release(self.world.sim.now, ask.number)
        if self.limits:
            self.limits.over(ask)

    def kill(self) -> None:
        """All but what is on disk is gone with it; viewers and servers see their connections break."""
        self.up = False
        give = getattr(self.module, "memory", None)
        self.memory = give() if give and self.world.day.keep else None
        self.kept_return = self.returning.serialize() if self.returning else b""
        if self.halls and self.world.day.keep:
            self.halls_kept = self.halls.serialize()  # each change was on disk before its words left
        asks, self.asks = self.asks, {}
        for ask in asks.values():
            if ask.attempt:
                if not ask.answered and ask.viewer.has_claim:
                    ask.viewer.wish.claim_ran = True  # written before it was sent, its end is not known
                ask.attempt.over = True
                if ask.attempt.timer:
                    ask.attempt.timer.cancel()
                ask.attempt.box.let_go(ask.attempt)
            if not ask.gone:
                ask.viewer.lost()

    def lose_part(self, count: int) -> None:
        """One of so many workers ends: viewers and servers see connections break, the decider the ends."""
        for ask in [a for a in self.asks.values() if a.number % count == 0]:
            attempt = ask.attempt
            if attempt and attempt.sent and not ask.answered and ask.viewer.has_claim:
                ask.viewer.wish.claim_ran = True
            viewer, gone = ask.viewer, ask.gone
            self.viewer_gone(ask)
            if attempt:
                attempt.end(Outcome.CANCELLED)
            if not gone:
                viewer.lost()

    # the module

    def tell(self, event: i.Event) -> None:
        if not self.up or self.headless:
            return
        self.events.append(event)
        if not self.flushing:
            self.flushing = True
            self.world.sim.after(self.world.PASS_MS, self.flush, self.life)

    def flush(self, life: int) -> None:
        if self.up and life == self.life and self.flushing:
            self.flushing = False
            self.call()

    def call(self) -> None:
        events, self.events = self.events, []
        self.calls += 1
        began = self.world.timer()
        actions = self.module.handle(self.world.sim.now, events)
        self.world.module_s += self.world.timer() - began
        for action in actions:
            if act := ACTS.get(type(action)):
                act(self, action)

    def hear_list(self, full: bool, version: int, lines: tuple[i.Server, ...], as_of: float) -> None:
        """A list that is older than this front is told as cached, whole."""
        if not self.up:
            return
        states = {s.id: int(s.state) for s in lines}
        self.world.trace.list_updates.append((self.world.sim.now, self.name, full, states))
        if full:
            self.heard = {}
        for line in lines:
            if line.state == ServerState.GONE:
                self.heard.pop(line.id, None)
            else:
                self.heard[line.id] = line
        if self.returning:
            self.returning.on_list(self.world.sim.now, as_of, len(self.heard))
        if self.halls and not self.headless:
            self.halls.on_list(self.world.sim.now, list(lines), as_of >= self.born, full)
        if as_of < self.born:
            self.tell(i.ServerList(i.ListKind.CACHED, version, tuple(self.heard.values())))
        else:
            kind = i.ListKind.FULL if full else i.ListKind.CHANGES
            self.tell(i.ServerList(kind, version, lines))

    # sessions

    def ask(self, viewer: Watcher, token: str, moved: bool = False) -> Ask:
        day, wish = self.world.day, viewer.wish
        ask = Ask(self.next_ask, viewer, token, moved)
        self.next_ask += 1
        self.asks[ask.number] = ask
        left = max(1.0, day.terms.classes[wish.cls].deadline_ms - MARGIN_MS)
        ask.deadline = self.world.sim.now + left
        self.world.sim.at(ask.deadline + BACKSTOP_MS, self.overdue, ask)
        ran, advice = self.claim(ask) if not moved else (False, i.NO_ADVICE)
        told = self.session_of(ask, ran, self.advise(ask, advice), left)
        self.admit(ask, told)
        return ask

    def admit(self, ask: Ask, told: i.NewSession) -> None:
        """A front that comes back lets through what the fleet can take."""
        if self.returning is None or told.moved or told.maybe_ran or told.advice.refuse:
            self.tell(told)
            return
        self.held[ask.number] = told
        worth = self.world.day.terms.classes[told.cls].worth
        if let := self.returning.admit_request(self.world.sim.now, ask.number, worth, told.left_ms):
            self.let(let.request_id, let.retry_after_ms)

    def session_of(self, ask: Ask, ran: bool, advice: i.Advice, left: float = 0.0) -> i.NewSession:
        """As the module is told of it; `left`: ms to its deadline, 0: what is left of them now."""
        wish = ask.viewer.wish
        title, first, cells = self.world.place_of(wish)
        return i.NewSession(
            ask.number,
            wish.cls,
            wish.number,
            title,
            left or max(1.0, ask.deadline - self.world.sim.now),
            wish.top,
            first,
            cells,
            wish.tenant,
            0.0,
            ask.moved,
            ask.moved or wish.tries > 1,
            advice,
            ran,
        )

    def claim(self, ask: Ask) -> tuple[bool, i.Advice]:
        """A paid claim that comes again: its own front says whether it may have run, or nobody can."""
        wish = ask.viewer.wish
        if not ask.viewer.has_claim:
            return False, i.NO_ADVICE
        home = next((f for f in self.world.fronts if f.name == wish.claim_front), None)
        if home and not home.up:
            return False, i.Advice(refuse=True)
        if not wish.claim_ran:
            wish.claim_front = self.name
        return wish.claim_ran, i.NO_ADVICE

    def overdue(self, ask: Ask) -> None:
        if not ask.answered and self.asks.get(ask.number) is ask:
            self.world.count("overdue")
            if ask.attempt:
                ask.attempt.end(Outcome.TIMEOUT)
            self.final(ask, 504)

    def playing(self, ask: Ask, attempt: Attempt) -> None:
        took = self.world.sim.now - attempt.began
        ask.answered = True
        if attempt.decider != self.decider or self.headless:  # one that is gone had allowed it
            if not self.headless:
                deciders.carry(self, ask)
            if not ask.moved:
                self.world.sim.after(self.world.hop(), ask.viewer.answer, ask.token, 200)
            return
        self.tell(i.Playing(ask.number, attempt.number, attempt.server, took))
        if self.halls:
            self.halls.on_playing(self.world.sim.now, ask.number, attempt.server)
        for name, value in zip(self.world.day.terms.report_fields, attempt.report, strict=False):
            if kind := {"x0": NoteKind.LINK, "x1": NoteKind.UPLINK}.get(name):
                self.tell(i.Note(ask.number, attempt.number, attempt.server, kind, value))
        if not ask.moved:
            self.world.sim.after(self.world.hop(), ask.viewer.answer, ask.token, 200)

    def ended(self, ask: Ask, attempt: Attempt, outcome: Outcome) -> None:
        if self.halls:
            self.halls.on_attempt_result(self.world.sim.now, attempt.server, outcome)
        if ask.attempt is not attempt:
            return
        ask.attempt = None
        if outcome not in NEVER_RAN:
            ask.viewer.wish.claim_ran = ask.viewer.has_claim
        ask.ran |= outcome not in NEVER_RAN and attempt.sent
        closed = ask.answered or ask.gone
        alone = self.headless or attempt.decider != self.decider
        if alone and not closed:
            if not self.headless:
                deciders.again(self, ask)
            return
        took = self.world.sim.now - attempt.began
        self.tell(
            i.AttemptEnded(ask.number, attempt.number, attempt.server, outcome, closed, took, attempt.report)
        )
        if not closed:
            return
        self.forget(ask)
        if ask.gone:
            return
        if ask.viewer.moving:
            self.world.sim.after(MOVE_PAUSE_MS, self.ask_again, ask)
        else:
            self.world.sim.after(self.world.hop(), ask.viewer.broken, ask.token)

    def ask_again(self, ask: Ask) -> None:
        if self.up and not ask.gone and ask.viewer.moving:
            ask.viewer.ask = self.ask(ask.viewer, ask.token, True)

    def viewer_gone(self, ask: Ask) -> None:
        """It tore its session down, gave up or vanished."""
        if ask.gone or not self.up:
            return
        ask.gone = True
        self.tell(i.ViewerGone(ask.number))
        if ask.attempt:
            ask.attempt.leave()
        else:
            self.forget(ask)

    def final(self, ask: Ask, status: int) -> None:
        ask.answered = True
        attempt, ask.attempt = ask.attempt, None
        if attempt:
            attempt.end(Outcome.CANCELLED)
        self.forget(ask)
        if ask.gone:
            return
        if ask.moved:
            self.world.sim.after(self.world.hop(), ask.viewer.broken, ask.token)
        else:
            self.world.sim.after(self.world.hop(), ask.viewer.answer, ask.token, status)

    # actions

    def do_set_up(self, action: i.SetUp) -> None:
        ask = self.asks.get(action.id)
        if ask is None:
            return
        number = ask.attempts
        ask.attempts += 1
        ask.tries += 1
        left = ask.deadline - self.world.sim.now
        limit = min(left, action.timeout_ms) if action.timeout_ms > 0 else left
        box = self.world.box_at(action.server)
        over = ask.tries > self.world.day.terms.max_attempts or ask.attempt is not None
        over = over or box is None or ask.answered or ask.gone
        if over or box is None or (self.limits and not self.limits.may(ask)):
            self.tell(i.AttemptEnded(action.id, number, action.server, Outcome.MOOT, False, 0.0))
            return
        made = Attempt(self, ask, number, action.server, box, self.world.rate(ask.viewer.wish, ask.rung))
        ask.attempt = made
        if self.halls:
            self.halls.on_set_up(self.world.sim.now, ask.number, action.server)
        self.world.sim.after(self.world.hop(), box.arrive, made)
        made.timer = self.world.sim.after(max(1.0, limit), made.end, Outcome.TIMEOUT)

    def do_set_rung(self, action: i.SetRung) -> None:
        if ask := self.asks.get(action.id):
            ask.rung = action.rung
            if ask.attempt:
                ask.attempt.set_rate(self.world.rate(ask.viewer.wish, action.rung))

    def do_refuse(self, action: i.Refuse) -> None:
        if (ask := self.asks.get(action.id)) and not ask.answered:
            ask.viewer.told_ms = action.pause_ms
            self.final(ask, 503 if action.pause_ms > 0 else 453)

    def do_fail(self, action: i.Fail) -> None:
        if (ask := self.asks.get(action.id)) and not ask.answered:
            self.final(ask, 502)

    def do_move(self, action: i.Move) -> None:
        ask = self.asks.get(action.id)
        if ask and ask.attempt and ask.answered and not ask.gone:
            ask.viewer.moving = True
            ask.attempt.leave(Outcome.CANCELLED)

    def do_cancel(self, action: i.Cancel) -> None:
        ask = self.asks.get(action.id)
        if ask and not ask.answered and ask.attempt and ask.attempt.number == action.attempt:
            ask.attempt.end(Outcome.CANCELLED)

    def do_timer(self, action: i.SetTimer) -> None:
        self.world.sim.after(action.after_ms, self.due, action.token, (self.life, self.decider))

    def due(self, token: int, whose: tuple[int, int]) -> None:
        if whose == (self.life, self.decider):
            self.tell(i.TimerDue(token))

    def do_probe(self, action: i.Probe) -> None:
        box = self.world.box_at(action.server)
        alive = box is not None and box.alive
        outcome = Outcome.OK if alive else Outcome.CONNECT_FAILED
        if alive and box and box.still:
            outcome = Outcome.TIMEOUT
        wait = 1500.0 if outcome == Outcome.TIMEOUT else 2 * self.world.hop()
        self.world.sim.after(wait, self.tell, i.ProbeEnded(action.server, outcome, wait))

    def do_tell_peers(self, action: i.SendToPeers) -> None:
        for front in self.world.fronts:
            wanted = action.to is None or action.to == front.index
            self.world.peer_messages += wanted and front is not self
            if not wanted or front is self:
                continue
            draw = self.world.named.uniform("peers", f"{self.name}/{front.name}", self.world.peer_messages)
            if draw >= PEER_LOSS:
                self.world.sim.after(PEER_MS, front.tell, i.PeerMessage(self.index, action.data))

    def do_subscribe(self, action: i.Subscribe | i.Reload) -> None:
        self.world.box_list.send_whole(self.index, self.world.box_list.lag_ms)


ACTS: dict[type, Callable[[Front, Any], None]] = {
    i.SetUp: Front.do_set_up,
    i.SetRung: Front.do_set_rung,
    i.Refuse: Front.do_refuse,
    i.Fail: Front.do_fail,
    i.Move: Front.do_move,
    i.Cancel: Front.do_cancel,
    i.SetTimer: Front.do_timer,
    i.Probe: Front.do_probe,
    i.SendToPeers: Front.do_tell_peers,
    i.Subscribe: Front.do_subscribe,
    i.Reload: Front.do_subscribe,
}
