"""Servers, racks and the box list, in simulated time: the behaviour of the stand-ins, without sockets."""

from __future__ import annotations

from collections import deque

from lemonhall import interface as i
from lemonhall.audit.trace import Attempt as Seen
from lemonhall.config.day import BoxSpec
from lemonhall.interface import NoteKind, Outcome, ServerState
from lemonhall.model.played.parts import Caller, Stage

TRUE_RATES = 0.15  # a title's true rate lies so far above or below the ladder
NOISE = 0.04  # of what servers report
SHORT = 0.98  # a share under it is told each second


class Rack:
    """What boxes of one rack share: the uplink."""

    def __init__(self, uplink_kb: float) -> None:
        self.uplink_kb, self.factor = uplink_kb, 1.0
        self.boxes: list[Box] = []

    def use(self) -> float:
        if not self.uplink_kb:
            return 0.0
        asked = sum(min(b.asked, b.spec.link_kb) for b in self.boxes)
        return asked / max(1.0, self.uplink_kb * self.factor)


class Box:
    """`life` is the number under which the list knows this life of it; a successor has another."""

    def __init__(self, world: Stage, spec: BoxSpec, rack: Rack) -> None:
        self.world, self.spec, self.rack = world, spec, rack
        self.life = 0
        self.alive = False
        self.attempts: dict[Caller, None] = {}  # whose connections are open
        self.playing: dict[Caller, None] = {}
        self.asked = 0.0
        self.still = self.lost = self.cold = False
        self.error_part = 0.0
        self.slow_since: float | None = None
        self.started = 0.0
        self.recent: deque[float] = deque()
        self.delayed: list[Caller] = []
        self.said = 0
        rack.boxes.append(self)

    # life

    def start(self, cold: bool) -> None:
        world = self.world
        self.life = world.new_life(self)
        self.alive, self.cold = True, cold
        self.still = self.lost = False
        self.error_part, self.slow_since = 0.0, None
        self.recent.clear()
        self.started = world.sim.now
        world.trace.server_starts[self.spec.name, self.life] = (world.sim.now, cold)
        first = world.named.uniform("first-report", self.spec.name, self.life, 0, 1000)
        world.sim.after(first, self.tell_late, self.life)
        world.box_list.says(self, self.life, ServerState.READY)

    def die(self) -> None:
        if not self.alive:
            return
        world = self.world
        self.alive = False
        witnesses = {a.front.name for a in self.attempts}
        world.trace.server_deaths[self.spec.name, self.life] = (world.sim.now, witnesses)
        life = self.life
        for attempt in list(self.attempts):
            self.let_go(attempt)
            world.sim.after(world.hop(), attempt.broken)
        world.sim.after(world.SEEN_MS, world.box_list.says, self, life, ServerState.GONE)

    def told(self, state: ServerState) -> i.Server:
        """As the list names it."""
        ready = self.started if self.cold else 0.0
        s = self.spec
        return i.Server(self.life, s.kind, s.weight, s.hall, s.cell, ready, state)

    # load

    def load(self) -> tuple[float, ...]:
        self.said += 1
        noise = 1 + NOISE * (self.world.named.uniform("noise", self.spec.name, self.said) - 0.5)
        values = {"x0": noise * self.asked / self.spec.link_kb, "x1": noise * self.rack.use()}
        return tuple(values.get(name, 0.0) for name in self.world.day.terms.report_fields)

    def share(self) -> float:
        link = min(1.0, self.spec.link_kb / self.asked) if self.asked > 0 else 1.0
        use = self.rack.use()
        return min(link, 1 / use if use > 1 else 1.0)

    def tell_late(self, life: int) -> None:
        """Notes as of now, heard later: link and uplink each period, the share each second while short."""
        if life != self.life or not self.alive:
            return
        terms, sim = self.world.day.terms, self.world.sim
        self.said += 1
        noise = 1 + NOISE * (self.world.named.uniform("noise", self.spec.name, self.said) - 0.5)
        late = terms.told_late_ms
        notes = [(NoteKind.LINK, noise * self.asked / self.spec.link_kb)]
        notes.append((NoteKind.UPLINK, noise * self.rack.use()))
        share = self.share()
        if share < SHORT:
            notes.append((NoteKind.SHARE, share))
        sim.after(late, self.tell, notes)
        if terms.reports_every_ms > 0:
            every = min(1000.0, terms.reports_every_ms) if share < SHORT else terms.reports_every_ms
            sim.after(every, self.tell_late, life)

    def tell(self, notes: list[tuple[NoteKind, float]]) -> None:
        """To one session of each front."""
        if self.still:
            return
        told: set[str] = set()
        for attempt in list(self.playing):
            if attempt.front.name not in told:
                told.add(attempt.front.name)
                for kind, value in notes:
                    self.world.sim.after(self.world.hop(), attempt.note, kind, value)

    # set-ups

    def arrive(self, attempt: Caller) -> None:
        """The first request of an attempt; the audit sees it from here on."""
        world = self.world
        if attempt.over:
            return
        if not self.alive:
            world.sim.after(world.hop(), attempt.refused)
            return
        world.trace.server_connections.append((world.sim.now, self.spec.name))
        attempt.sent = True
        seen = Seen(attempt.ask.token, self.spec.name, self.life, attempt.front.name, world.sim.now)
        seen.rates.append((world.sim.now, round(attempt.kb * 8000)))
        attempt.seen = seen
        world.trace.attempts.append(seen)
        self.attempts[attempt] = None
        if self.still:
            self.delayed.append(attempt)
        else:
            self.take(attempt)

    def take(self, attempt: Caller) -> None:
        self.count_cold()
        if not self.alive:
            return
        slow = 1.0
        if self.slow_since is not None:
            slow += 40 * (self.world.sim.now - self.slow_since) / 1000
        low, high = self.world.day.set_up_ms
        wait = slow * self.world.named.uniform("set-up", attempt.ask.token, attempt.number, low, high)
        self.world.sim.after(wait, self.set_up, attempt, self.life)

    def count_cold(self) -> None:
        """A cold box that is sent too much for its present warmth falls over and stays down."""
        terms, now = self.world.day.terms, self.world.sim.now
        if not self.cold:
            return
        age = now - self.started
        if age >= terms.warm_ms:
            self.cold = False
            return
        warmth = max(terms.cold_from, age / terms.warm_ms)
        pace = terms.places_by_kind[self.spec.kind] / terms.warm_ms * warmth
        self.recent.append(now)
        while self.recent[0] < now - terms.tip_after_ms:
            self.recent.popleft()
        if len(self.recent) > max(2.0, terms.overload_factor * pace * terms.tip_after_ms + 2):
            self.world.count("tipped")
            self.world.trace.overloads.append((now, self.spec.name))
            self.die()

    def set_up(self, attempt: Caller, life: int) -> None:
        world, terms = self.world, self.world.day.terms
        if life != self.life or attempt not in self.attempts:
            return
        if self.still:
            self.delayed.append(attempt)
            return
        status = 200
        if world.named.uniform("error", attempt.ask.token, attempt.number) < self.error_part:
            status = 500
        elif (
            len(self.playing) >= terms.places_by_kind[self.spec.kind]
            or terms.full_from
            and self.asked >= terms.full_from * self.spec.link_kb
        ):
            status = 503
        assert attempt.seen
        if status == 200:
            self.playing[attempt] = None
            self.asked += attempt.kb * attempt.truth
            if self.lost:
                return
        attempt.seen.status = status
        if status != 200:
            attempt.seen.end = min(attempt.seen.end, world.sim.now)
        world.sim.after(world.hop(), attempt.answered, status, self.load())

    def play(self, attempt: Caller) -> None:
        if attempt in self.playing and not self.lost and not self.still:
            assert attempt.seen
            attempt.seen.media_at = min(attempt.seen.media_at, self.world.sim.now)
            self.world.sim.after(self.world.hop(), attempt.hear, self.load())
            self.world.sim.after(self.world.hop(), attempt.media)

    def set_rate(self, attempt: Caller, kb: float) -> None:
        if attempt in self.playing:
            assert attempt.seen
            self.asked += (kb - attempt.kb_there) * attempt.truth
            attempt.seen.rates.append((self.world.sim.now, round(kb * 8000)))
            if not self.still:
                self.world.sim.after(self.world.hop(), attempt.hear, self.load())
        attempt.kb_there = kb

    def tear_down(self, attempt: Caller, outcome: Outcome) -> None:
        if attempt not in self.attempts:  # it died meanwhile
            return
        self.let_go(attempt)
        self.world.sim.after(self.world.hop(), attempt.hear, self.load())
        self.world.sim.after(self.world.hop(), attempt.end, outcome)

    def let_go(self, attempt: Caller) -> None:
        """Its connection is closed, or it was torn down."""
        if self.attempts.pop(attempt, 0) is None and attempt.seen:
            attempt.seen.end = min(attempt.seen.end, self.world.sim.now)
        if self.playing.pop(attempt, 0) is None:
            self.asked = max(0.0, self.asked - attempt.kb_there * attempt.truth) if self.playing else 0.0

    # faults

    def unstill(self) -> None:
        self.still = False
        waiting, self.delayed = self.delayed, []
        for attempt in waiting:
            if attempt in self.attempts:
                self.take(attempt)

    def fault(self, kind: str, on: bool, part: float) -> None:
        if kind in ("hang", "silent"):
            if on:
                self.still = True
            else:
                self.unstill()
        elif kind == "errors":
            self.error_part = part if on else 0.0
        elif kind == "slow-dead":
            self.slow_since = self.world.sim.now if on else None
        elif kind == "answers-lost":
            self.lost = on


class BoxList:
    """What the list says, and what each front has heard of it, late."""

    def __init__(self, world: Stage) -> None:
        self.world = world
        self.version = 1
        self.lines: dict[int, i.Server] = {}
        self.lag_ms = world.day.list_lag_ms

    def says(self, box: Box, life: int, state: ServerState) -> None:
        if life != box.life and state != ServerState.GONE:
            return
        line = box.told(state) if life == box.life else i.Server(life, 0, 1.0, 0, 0, 0.0, state)
        if state == ServerState.GONE:
            self.lines.pop(life, None)
        else:
            self.lines[life] = line
        self.version += 1
        for front in self.world.fronts:
            self.world.sim.after(
                self.lag_ms, front.hear_list, False, self.version, (line,), self.world.sim.now
            )

    def push_whole(self) -> None:
        for front in self.world.fronts:
            self.send_whole(front.index, 0.0)

    def send_whole(self, index: int, late_ms: float) -> None:
        lines = tuple(self.lines.values())
        front = self.world.fronts[index]
        self.world.sim.after(late_ms, front.hear_list, True, self.version, lines, self.world.sim.now)
