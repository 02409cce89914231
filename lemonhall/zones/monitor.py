"""What one front sees of one hall, and the state that it takes it to be in, with the evidence.

    up         all is usual
    failing    signs of a loss: its sessions may spill, the hall is tried first
    dark       the signs have held: nothing is sent but single trials
    returning  it is there again: set-ups are let in by a ramp

Signs are a fresh list that names no ready server of the hall while it names others; failed attempts on most
of its racks and on as many servers as fail, with no sign of life since; and the like seen by most other
fronts, where this one sees nothing of its own. One rack is no hall, nor are a few servers that are deployed;
an empty or an old list says nothing of a hall.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import IntEnum

from lemonhall import interface as i
from lemonhall.interface import ServerState
from lemonhall.zones.settings import ZoneSettings

BAD_PART = 0.5  # of the racks, and of the servers seen lately, on which attempts fail
VOTES_LEAST = 3  # of other fronts, before most of them count
VOTES_PART = 0.1  # of a notice: others' words are counted anew this often
WORD_NOTICES = 4.0  # for so many notices another's word is fresh
SLOW_PACE = 1.3  # the pace of a return lies by this under what cold servers can take


class ZoneState(IntEnum):
    UP = 0
    FAILING = 1
    DARK = 2
    RETURNING = 3


class OperatorOverride(IntEnum):
    NONE = 0
    HOLD = 1  # nothing is sent there until it is let in


@dataclass(frozen=True)
class StateChange:
    """A hall has come into another state here, and why."""

    zone: str
    state: ZoneState
    reason: str


@dataclass
class Server:
    cell: int
    ready: bool
    places: int
    kb: float
    began: float  # of its life, as the list tells; 0: long ago
    good_at: float = float("-inf")
    bad_at: float = float("-inf")


@dataclass
class ZoneMonitor:
    """One hall, here. `now` in ms; nothing goes back."""

    plan: ZoneSettings
    hall: int
    servers: dict[int, Server] = field(default_factory=dict)
    state: ZoneState = ZoneState.UP
    since: float = 0.0
    why: str = ""
    bad_at: float = float("-inf")  # the last that failed
    ready_now: int = 0  # these three are found anew with each list
    cells: set[int] = field(default_factory=set)
    links: float = 0.0
    most: int = 0  # servers that were ready at once, lately
    most_at: float = 0.0
    heard_list: bool = False
    came_at: float | None = None  # first seen, and there; None from the first turn on
    gone: bool = False  # a fresh list names none that is ready, though it names others
    good_at: float = float("-inf")
    bad_since: float | None = None  # the signs have held from here on
    flaps: int = 0
    flap_at: float = float("-inf")
    trial_at: float = float("-inf")
    trials: int = 0
    ramp_from: float = 0.0
    head_start: float = 0.0  # of the ramp, done before this front came
    words: dict[int, tuple[ZoneState, float, float]] = field(
        default_factory=dict
    )  # by front: state, progress, at
    votes: Counter[ZoneState] = field(default_factory=Counter)
    counted_at: float = float("-inf")
    order: OperatorOverride = OperatorOverride.NONE
    order_at: float = 0.0

    # what is seen

    def hold(self, lines: list[i.Server], whole: bool) -> None:
        """The hall's lines of the list: all of them, or those that have changed."""
        plan, known = self.plan, dict(self.servers)
        if whole:
            self.servers = {}
        for line in lines:
            if line.state == ServerState.GONE:
                self.servers.pop(line.id, None)
                continue
            kb = max(1.0, plan.link_kb_per_weight * line.weight)
            ready = line.state == ServerState.READY
            made = Server(line.cell, ready, plan.places(line), kb, line.ready_at)
            if (old := known.get(line.id)) and old.began == line.ready_at:
                made.good_at, made.bad_at = old.good_at, old.bad_at
            self.servers[line.id] = made
        self.ready_now = sum(s.ready for s in self.servers.values())
        self.cells = {s.cell for s in self.servers.values()}
        self.links = sum(s.kb for s in self.servers.values())

    def listed(self, now: float, lines: list[i.Server], others: bool, fresh: bool) -> None:
        """The hall's lines of the list as it stands; `others`: it names ready servers elsewhere."""
        self.hold(lines, True)
        self.judge(now, others, fresh)

    def judge(self, now: float, others: bool, fresh: bool) -> None:
        """What the list says of the hall as a whole."""
        plan, ready_now = self.plan, self.ready_now
        if fresh:
            self.gone = ready_now == 0 and others
            if not self.heard_list and ready_now:
                self.since = self.came_at = now  # as usual, until somebody says otherwise
            self.heard_list = True
        if ready_now >= self.most or now - self.most_at > plan.spilling.forget_ms:
            self.most, self.most_at = ready_now, now

    def ready(self) -> int:
        return self.ready_now

    def links_kb(self) -> float:
        return self.links

    def good(self, now: float, server: int) -> None:
        if known := self.servers.get(server):
            known.good_at = self.good_at = now

    def bad(self, now: float, server: int) -> None:
        if known := self.servers.get(server):
            known.bad_at = self.bad_at = now

    def said(self, now: float, front: int, state: ZoneState, progress: float) -> None:
        self.words[front] = (state, progress, now)

    # what it comes to

    def failing(self, now: float) -> str:
        """The signs of a loss that hold now, by this front's own sight; "": none."""
        if self.gone:
            return "the list names no ready server of it" if self.most else "the list has never named it"
        span = 2 * self.plan.spilling.notice_ms
        if self.bad_at <= now - span:
            return ""
        lately = [s for s in self.servers.values() if max(s.good_at, s.bad_at) > now - span]
        bad = [s for s in lately if s.bad_at > s.good_at]
        racks = self.cells
        bad_racks = {s.cell for s in bad}
        alive = {s.cell for s in lately if s.good_at >= s.bad_at}
        few = len(bad) < min(2, len(self.servers)) or len(bad_racks) < min(2, len(racks))
        if few or len(bad) <= BAD_PART * len(lately) or len(alive) >= BAD_PART * len(racks):
            return ""
        return f"attempts failed on {len(bad)} servers of {len(bad_racks)} racks of {len(racks)}"

    def others_say(self, now: float, states: tuple[ZoneState, ...]) -> bool:
        """Most of those who have spoken lately, and enough of them."""
        if now - self.counted_at >= VOTES_PART * self.plan.spilling.notice_ms:
            self.counted_at, since = now, now - self.word_ms()
            self.votes = Counter(s for s, _, at in self.words.values() if at > since)
        fresh = self.votes.total()
        return fresh >= VOTES_LEAST and 2 * sum(self.votes[s] for s in states) > fresh

    def word_ms(self) -> float:
        return WORD_NOTICES * self.plan.spilling.notice_ms

    def look(self, now: float) -> StateChange | None:
        """To be called each moment: the state that follows from what is seen."""
        s = self.plan.spilling
        why = self.failing(now)
        seen = self.good_at > now - s.notice_ms
        blind = not why and not seen and self.state is not ZoneState.RETURNING
        if blind and self.others_say(now, (ZoneState.DARK,)):
            why = "most other fronts have lost it"
        self.bad_since = (now if self.bad_since is None else self.bad_since) if why else None
        held = self.bad_since is not None and now - self.bad_since >= s.notice_ms
        if self.order is OperatorOverride.HOLD:
            return (
                self.turn(now, ZoneState.DARK, "held out by order")
                if self.state is not ZoneState.DARK
                else None
            )
        if self.state is ZoneState.UP:
            if why:
                return self.turn(
                    now, ZoneState.DARK if self.gone and not self.most else ZoneState.FAILING, why
                )
            new = self.came_at is not None and now - self.came_at < 2 * s.notice_ms
            if new and self.others_say(now, (ZoneState.DARK, ZoneState.RETURNING)):
                return self.join_return(now)
            if self.flaps and now - max(self.flap_at, self.since) > s.forget_ms:
                self.flaps, self.flap_at = self.flaps - 1, now
        elif self.state is ZoneState.FAILING:
            if held:
                return self.turn(now, ZoneState.DARK, why)
            if not why and now - self.since >= s.notice_ms:
                return self.turn(now, ZoneState.UP, "the signs have passed")
        elif self.state is ZoneState.DARK:
            if not why and not self.gone and self.ready() and self.life(now):
                return self.turn(now, ZoneState.RETURNING, f"{self.ready()} servers are there of {self.most}")
        elif held and why:
            self.flaps, self.flap_at = self.flaps + 1, now
            return self.turn(now, ZoneState.DARK, why)
        elif self.progress(now) >= 1.0 and self.warm(now):
            return self.turn(now, ZoneState.UP, "the ramp is done")
        return None

    def life(self, now: float) -> bool:
        """Signs of life since it went dark: servers that started since, or one that took a trial."""
        new = any(s.ready and s.began > 0 and s.bad_at <= s.good_at for s in self.servers.values())
        asked = any(s.bad_at > float("-inf") for s in self.servers.values())
        return self.good_at > self.since or (new and not asked) or not asked

    def join_return(self, now: float) -> StateChange:
        """A front that has just come: the others know how far the return is."""
        fresh = [(s, p) for s, p, at in self.words.values() if now - at < self.word_ms()]
        self.head_start = min([p for s, p in fresh if s is ZoneState.RETURNING], default=0.0)
        return self.turn(now, ZoneState.RETURNING, "other fronts say that it returns")

    def turn(self, now: float, state: ZoneState, why: str) -> StateChange:
        if state is ZoneState.RETURNING:
            self.ramp_from = now - self.head_start * self.ramp_ms()
            self.head_start = 0.0
        if state is ZoneState.DARK:
            self.trials, self.trial_at = 0, now
        if state in (ZoneState.UP, ZoneState.RETURNING):
            self.bad_since = None
        self.state, self.since, self.why, self.came_at = state, now, why, None
        return StateChange(self.plan.zones[self.hall], state, why)

    # the return

    def slowness(self) -> float:
        """Doubles with each flap, up to the stated bound."""
        return float(min(self.plan.spilling.slowest, 2.0 ** min(30, self.flaps)))

    def ramp_ms(self) -> float:
        return self.plan.spilling.ramp_ms * self.slowness()

    def progress(self, now: float) -> float:
        """Of the return, 0 to 1; 1 when it is up."""
        if self.state is ZoneState.UP or self.state is ZoneState.FAILING:
            return 1.0
        if self.state is ZoneState.DARK:
            return 0.0
        return min(1.0, max(0.0, (now - self.ramp_from) / max(1.0, self.ramp_ms())))

    def set_up_rate(self, now: float) -> float:
        """Set-ups a ms that all fronts together may send: what its servers can take if each is as warm as it
        is by its start, and no warmer than the ramp is far (DESIGN, cold servers: places over the warm time,
        times the warmth)."""
        done, warm = self.progress(now), max(1.0, self.plan.warm_ms)
        taken = sum(
            s.places * max(self.plan.cold_from, min(done, self.warmth(now, s)))
            for s in self.servers.values()
            if s.ready
        )
        return taken / warm / SLOW_PACE

    def warmth(self, now: float, server: Server) -> float:
        """By its start, as the list tells it."""
        if server.began <= 0:
            return 1.0
        return min(1.0, max(0.0, now - server.began) / max(1.0, self.plan.warm_ms))

    def warm(self, now: float) -> bool:
        """Most of the servers that are there: a single one that has just started holds no hall back."""
        ready = [s for s in self.servers.values() if s.ready]
        return 2 * sum(self.warmth(now, s) >= 1.0 for s in ready) > len(ready)

    def trial_due(self, now: float) -> bool:
        """One session may try a dark hall whose servers are listed; less often with each that failed."""
        wait = self.plan.spilling.trial_ms * min(self.plan.spilling.slowest, 2.0 ** min(30, self.trials))
        wait *= self.slowness()
        listed = self.state is ZoneState.DARK and self.ready() > 0 and self.order is OperatorOverride.NONE
        return listed and now - self.trial_at >= wait

    def tried(self, now: float) -> None:
        self.trial_at, self.trials = now, self.trials + 1
