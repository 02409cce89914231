"""The decisions of one front: who plays, on which server, at what rung. `Front.handle` gives actions.

Times are milliseconds, rates kB a second. The order is that of the design: quotas, pipes, admission and
sub-rating, the pick; then health, cold starts, attempts and rung control.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import replace
from itertools import islice
from operator import mul
from random import Random
from typing import Any

from lemonhall import interface as i
from lemonhall.interface import Outcome, ReasonCode, Repeat, ServerState

ALPHA = 2  # sessions sub-rated for one premium session (the paper's alpha)
QUOTA_PERIOD_MS = 5000.0  # the quotas of a server are picked anew this often (design)
FEW_COUNTS = 6.0  # arrivals (decayed count) under which every slot stays in the pool
QUOTA_GRAINS = 32  # steps in which reserves are enumerated: past so many slots a step is several of them
SPLITS_KEPT = 256  # quotas remembered by their loads
QUOTA_BURST_S = 5.0  # a tenant may be this far ahead of its told rate before it counts as over its share
QUOTA_CHANCE = 3.0  # and by so many sessions more: what a front sees of a rate is subject to chance
RATE_WINDOW_MS = 60000.0  # memory of arrival rates: a front of many sees few arrivals a minute
GAIN = 0.1  # weight of the newest in running means of set-up times, lengths and worths
FIRST_LENGTH_MS = 40000.0  # length of a session before any was seen to end; only scales the quotas
TARGET = 1.0  # part of a link or uplink that may be asked; lifts stop short of it, cuts begin past it
FULL_BELOW = 0.92  # of the link use at which a server turns set-ups away
FIRST_USE = 0.75  # use of the fleet before any report was heard: grow cautious
SPREAD = 0.2  # of that use from server to server, before it was seen
FADE_MS = 30000.0  # in which a report fades to what is usual elsewhere: most of a session's life
GUESS_ROOM = 0.1  # left of an uplink by a guess, whatever it says: without sessions nothing is heard
SMOOTH = 0.6  # weight of the newest report of other use against the older ones (reports are noisy)
STALE_MS = 10000.0  # after which a report starts no step of a rung any more
TICK_MS = 500.0  # rung control and quota upkeep
CUT_ABOVE = 1.05  # own use over its budget that starts a step down: reports wander by a few points
LIFT_BELOW = 0.9  # part of the budget that lifts may fill: room for the next arrivals, and hysteresis
SHORT_HOLD_MS = 2500.0  # a share, told each second while short, stands this long: two periods and some delay
SHORT = 0.98  # a share under this is short (below it worth is lost)
EXPLAINED = 0.9  # told use times the delivered share from which the one explains the other
REGAIN = 0.01  # then, each tick that it binds, it is tried for so much more
LEAN = 2.0  # most by which sessions off the common level are hurried, or spared, when all must step
LIMIT_OVER = 1.2  # over own use: a limit that is not tried is no knowledge
DWELL_UP = 20.0  # switch costs for which a rung is kept before a lift: a lift must have time to pay for it
DWELL_DOWN_MS = 4000.0  # nor cut again before a report can tell of the last cut
EVIDENCE_BAR = 1.5  # evidence at which a server is left alone: two failures nearly in a row
EVIDENCE_PROVEN = 0.5  # evidence above which no paid session is sent
BACKOFF_MS = 1500.0  # first rest of a barred server; doubles up to the cap
BACKOFF_CAP_MS = 8000.0
SURE = (Outcome.CONNECT_FAILED, Outcome.RESET)  # ends that bar a server at once: its process is down
DOUBT = (Outcome.TIMEOUT, Outcome.ERROR)  # ends that count as evidence of 1
STALLED_SHARE = 0.15  # delivered share under which a server is taken to stand still
FIRST_SET_UP_MS = 150.0  # set-up time before any was seen
SET_UP_SPREADS = 4.0  # spreads over the usual set-up time at which an attempt is given up
MIN_ATTEMPT_MS = 120.0  # less time left than this is no use for another attempt
COLD_MARGIN = 1.3  # the fleet-wide gap between set-ups to a cold server, over the gap it can take
COLD_WAVE = 4.0  # all fronts may ask so many times more than lately: waves of viewers who come again
LOOKS = 16  # servers looked at for one request: with more full or barred than that, it may be refused


def erlang(load: float, slots: int) -> list[float]:
    """Blocking of M/M/n/n for n = 0..slots, by the Erlang B recurrence."""
    blocking = [1.0]
    for n in range(1, slots + 1):
        b = load * blocking[-1]
        blocking.append(b / (n + b))
    return blocking


def best_split(slots: int, high: float, low: float, v_high: float, v_low: float) -> tuple[int, int]:
    """The paper's Method II by enumeration: the reserves (premium, low) with the best pay-off.

    Loads are in erlangs, penalties the worths; by the carried load a(1 - B) no inner sums are needed. The
    cost is that of the cube of the slots: where there are many, reserves are whole grains of slots (ours).
    """
    grain = -(-slots // QUOTA_GRAINS)
    block_h, block_l = erlang(high, slots), erlang(low, slots)
    best, choice = float("-inf"), (0, 0)
    low_over = [low * block_l[n] for n in range(slots + 1)]
    low_tables = [erlang(low_over[n], slots - n) for n in range(0, slots + 1, grain)]
    for n_h in range(0, slots + 1, grain):
        over_h = high * block_h[n_h]
        sub = erlang(over_h, slots // ALPHA)
        gain = [over_h * ((1 - b) * (v_high - v_low) - b * v_high) for b in sub]
        gains = [gain[n // ALPHA] for n in range(slots, -1, -1)]
        terms = [1.0]
        for n in range(1, slots - n_h + 1):
            terms.append(terms[-1] * over_h / n)
        for n_l in range(0, slots - n_h + 1, grain):
            pool = slots - n_h - n_l
            over_l, blocked = low_over[n_l] * v_low, low_tables[n_l // grain][pool::-1]
            weight = sum(terms[: pool + 1])
            passed = list(map(mul, terms, blocked))  # n premium sessions there, and the low ones blocked
            value = sum(map(mul, passed, gains[slots - pool :])) - 2 * over_l * sum(passed)
            pay = (value + v_high * over_h * sum(terms[:pool])) / weight + over_l
            pay += high * (1 - block_h[n_h]) * v_high + low * (1 - block_l[n_l]) * v_low
            if pay > best + 1e-9:
                best, choice = pay, (n_h, n_l)
    return choice


class Plan:
    """What a kind of session asks at each price of worth a kB: the highest rung whose last step earns it."""

    def __init__(self, cls: i.SessionClass, worth: float, top: int, settings: i.Settings) -> None:
        self.floor = cls.floor
        self.top = max(cls.floor, min(top, cls.top, len(settings.ladder_kb) - 1))
        self.worth = worth
        self.kb = [rate * cls.scale for rate in settings.ladder_kb]
        self.rungs, self.rates = list[int](), list[float]()  # at each level
        self.prices: list[float] = []  # of the step onto each rung above the floor, falling
        for r in range(self.floor + 1, self.top + 1):
            gain = worth * (settings.ladder_worth[r] - settings.ladder_worth[r - 1])
            self.prices.append(gain / max(1e-9, self.kb[r] - self.kb[r - 1]))
        self.prices = [
            max(self.prices[n:]) for n in range(len(self.prices))
        ]  # no dear step behind a poor one


class Pipe:
    """A server's link or a rack's uplink: what it gives, what this front asks of it, and the rest."""

    def __init__(self, cap: float, levels: int, usual: list[float], target: float = TARGET) -> None:
        self.cap, self.target = cap, target
        self.usual = usual  # lately asked by others of such pipes, over the span: shared by all of a kind
        self.told = True  # what is asked of it in all; else the links of its rack are samples
        self.span = cap  # what a use of 1 means; for an untold uplink the links of its rack
        self.own = 0.0
        self.want = [0.0] * levels  # own sessions' rates at each price level
        self.past = deque[tuple[float, float]](maxlen=256)  # (time, own use up to then): reports are late
        self.others = 0.0
        self.base = 0.0  # own use that the last report of this pipe knew of
        self.limit = 0.0  # of own use, where what is asked in all is not told
        self.short_at = float("-inf")  # last found short though its told use does not explain it
        self.heard_at = float("-inf")

    def change(self, now: float, kb: float) -> None:
        self.past.append((now, self.own))
        self.own = max(0.0, self.own + kb)

    def hear(self, now: float, total: float, lag: float, weight: float = SMOOTH) -> None:  # as of `lag` ago
        old = self.unowned(now)
        self.base = next((own for at, own in self.past if at > now - lag), self.own)
        others = max(0.0, total - self.base)
        if self.told and others > old + self.usual[2] * self.span:  # over the usual jump: believed at once
            weight = 1.0
        if self.told:
            self.usual[3] = now
            off, jump = others / self.span - self.usual[0], abs(others - self.others) / self.span
            self.usual[0] += GAIN * off
            self.usual[1] += GAIN * (abs(off) - self.usual[1])
            if now - self.heard_at < STALE_MS:
                self.usual[2] += GAIN * (jump - self.usual[2])
        self.others = others if self.heard_at == float("-inf") else weight * others + (1 - weight) * old
        self.heard_at = now

    def unowned(self, now: float) -> float:  # the last report, fading with its age to what is usual elsewhere
        kept = max(0.0, 1 - (now - self.heard_at) / FADE_MS)
        usual = self.usual[0] if now - self.usual[3] < FADE_MS else min(FIRST_USE, self.usual[0])
        return kept * self.others + (1 - kept) * usual * self.span

    def room(self, now: float) -> float:
        asked = self.own + self.unowned(now)
        # A guess alone refuses nobody.
        room = max(self.target * self.cap - asked, -9e99 if self.told else GUESS_ROOM * self.cap)
        return room if self.told or not self.own else min(room, asked * (self.limit / self.own - 1))

    def doubt(self, now: float) -> float:  # how far use may lie over it: what it jumps by, more with its age
        age = min(1.0, (now - self.heard_at) / FADE_MS)
        return (self.usual[2] + age * self.usual[1]) * self.span * self.told

    def usual_room(
        self, now: float
    ) -> bool:  # as much as one that is not seen is taken to have, less the spread
        return self.room(now) >= (self.target - self.usual[0] - self.usual[1]) * self.cap

    def fit(self, less: float = 0.0) -> float:
        """What it may be asked over what it was asked by the last report."""
        return max(0.0, self.target * self.cap - less) / max(1.0, self.others + self.base)


class Box:
    def __init__(self, told: i.Server, link: Pipe, uplink: Pipe | None, now: float) -> None:
        self.told, self.link, self.uplink = told, link, uplink
        self.pipes = [link] if uplink is None else [link, uplink]
        self.sessions: dict[int, Session] = {}
        self.quota, self.quota_at, self.slot_kb = (0, 0), now, 1.0
        self.dice = 0.5  # of the last report: rounds this front's part of a change to whole steps
        self.share, self.share_at = 1.0, float("-inf")  # last told share of the rates delivered
        self.evidence, self.barred_until, self.backoff = 0.0, float("-inf"), BACKOFF_MS
        self.failed_at = self.cold_until = self.cold_sent = float("-inf")


class Session:
    def __init__(self, told: i.NewSession, cls: i.SessionClass, plan: Plan, now: float) -> None:
        self.told, self.cls, self.plan, self.advice = told, cls, plan, told.advice
        self.deadline, self.started, self.changed_at = now + told.left_ms, now, float("-inf")
        self.premium = self.playing = self.gone = self.maybe_ran = self.settled = False
        self.paid = cls.repeat != Repeat.SAFE
        self.box: Box | None = None
        self.rung, self.kb = plan.floor, 0.0
        self.part = ""  # its reserve or pool
        self.sub_rated_from: int | None = None
        self.was_sub_rated = False  # only once in its life
        self.attempts, self.tried = 0, list[int]()
        self.erred = list[Box]()  # servers that answered it with an error


class Front:
    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.settings, self.random, self.now = settings, Random(seed), 0.0
        self.untold = "x1" not in settings.report_fields  # what is asked of uplinks
        self.out: list[i.Action] = []
        self.why: list[i.Reason] | None = None  # reasons are kept only where somebody asks for them
        self.boxes: dict[int, Box] = {}
        self.order: list[Box] = []  # the same, to draw from
        self.by_cell: dict[int, list[Box]] = {}
        self.held: dict[Box, None] = {}  # those with own sessions: nothing else is walked
        first = FIRST_USE * (settings.fronts - 1) / settings.fronts
        self.usual = (
            [first, SPREAD, 0.0, 0.0],
            [first, SPREAD, 0.0, 0.0],
        )  # of links, of uplinks: use by others
        self.sessions: dict[int, Session] = {}
        self.seats = Counter[tuple[int, int]]()
        self.born: float | None = None
        self.list_fresh = False
        self.cheapest = min(c.worth for c in settings.classes)
        self.counts, self.counted_at = [0.0, 0.0], 0.0  # decayed arrivals: low, premium
        self.worths = [self.cheapest, self.cheapest]
        self.length_ms, self.ends = FIRST_LENGTH_MS, 0
        self.own, self.own_high, self.links = 0.0, 0.0, 0.0  # kB: own sessions, the premium ones, all links
        self.seen_ms = 0.0  # time that the counts stand for
        self.set_up_ms, self.set_up_spread = FIRST_SET_UP_MS, FIRST_SET_UP_MS / 2
        self.splits: dict[tuple[int, int, int], tuple[int, int]] = {}
        self.taken, self.retried = deque[float](maxlen=9999), deque[float](maxlen=9999)  # requests, retries
        self.tenant_room: dict[int, tuple[float, float]] = {}
        self.plans: dict[tuple[int, int, int], Plan] = {}
        for n, cls in enumerate(settings.classes):
            for over, part in enumerate((1.0, settings.over_share_worth)):
                for top in range(len(settings.ladder_kb)):
                    self.plans[n, over, top] = Plan(cls, cls.worth * part, top, settings)
        self.acts: dict[type, Callable[[Any], None]] = {
            i.NewSession: self.on_new,
            i.AdviceChanged: self.on_advised,
            i.FleetChanged: self.on_fleet,
            i.Note: self.on_note,
            i.Playing: self.on_playing,
            i.AttemptEnded: self.on_ended,
            i.HandedOver: self.on_handed_over,
            i.LearnedState: self.on_memory,
            i.ViewerGone: self.on_viewer_gone,
            i.TimerDue: self.on_tick,
        }
        prices = {0.0, *(p for plan in self.plans.values() for p in plan.prices)}
        self.levels = [p * (1 + 1e-9) for p in sorted(prices)]
        for plan in self.plans.values():
            plan.rungs = [plan.floor + sum(p >= level for p in plan.prices) for level in self.levels]
            plan.rates = [plan.kb[r] for r in plan.rungs]
        self.racks: dict[int, Pipe] = {}
        for n in range(settings.racks if settings.uplink_kb else 0):
            up = self.racks[n] = Pipe(settings.uplink_kb, len(self.levels), self.usual[not self.untold])
            up.told, up.span, up.limit = (
                not self.untold,
                up.span * (not self.untold),
                up.cap / settings.fronts,
            )
        self.want = [0.0] * len(self.levels)  # of all own sessions: a sample of everybody's

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        self.now, self.out = now, []
        if self.born is None:
            self.born = self.counted_at = now
            self.out.append(i.SetTimer(0, TICK_MS))
            self.out += [i.Subscribe(True)] * self.settings.subscribes
        for event in events:  # what is told of the servers binds all that is decided in this batch
            if isinstance(event, i.ServerList):
                self.on_list(event)
        for event in events:
            if act := self.acts.get(type(event)):
                act(event)
        return self.out

    def tell(self, s: Session, box: Box | None, because: ReasonCode, value: float = 0.0) -> None:
        if self.why is not None:
            age = self.now - box.link.heard_at if box else 0.0
            self.why.append(i.Reason(s.told.id, box.told.id if box else 0, because, value, age))

    def on_list(self, event: i.ServerList) -> None:
        if event.kind == i.ListKind.FAILED:
            self.out.append(i.Subscribe(True))
            return
        self.list_fresh |= event.kind != i.ListKind.CACHED
        if event.kind != i.ListKind.CHANGES:
            named = {s.id for s in event.servers}
            for ref in [n for n in self.boxes if n not in named]:
                self.enlist(self.boxes.pop(ref), -1)
        size = [self.places(s) for s in event.servers] + [self.places(b.told) for b in self.order]
        mean_places = sum(size) / max(1, len(size))
        for told in event.servers:
            known = self.boxes.get(told.id)
            if known and told.state != ServerState.GONE and told.cell == known.told.cell:
                if told.ready_at != known.told.ready_at:
                    known.evidence, known.backoff = 0.0, BACKOFF_MS
                    known.barred_until = known.failed_at = float("-inf")
                known.told = told
                continue
            if known:
                self.enlist(self.boxes.pop(told.id), -1)  # its sessions are kept until their end is reported
            if told.state != ServerState.GONE:
                self.boxes[told.id] = self.new_box(told, mean_places)
                self.enlist(self.boxes[told.id], 1)

    def enlist(self, box: Box, sign: int) -> None:
        for group in (self.order, self.by_cell.setdefault(box.told.cell, [])):
            (group.append if sign > 0 else group.remove)(box)
        self.links += sign * box.link.cap
        if box.uplink:
            box.uplink.span += sign * box.link.cap * self.untold

    def places(self, told: i.Server) -> int:
        table = self.settings.places_by_kind
        return table[told.kind] if told.kind < len(table) else max(1, min(table))

    def new_box(self, told: i.Server, mean_places: float) -> Box:
        size = told.weight if self.settings.weights_are_sizes else self.places(told) / mean_places
        most = min(TARGET, FULL_BELOW * self.settings.full_from or TARGET)
        link_kb = max(1.0, self.settings.link_kb_per_weight * size)
        link = Pipe(link_kb, len(self.levels), self.usual[0], most)
        uplink = self.racks.get(told.cell % max(1, self.settings.racks))
        return Box(told, link, uplink, self.now + self.random.random() * QUOTA_PERIOD_MS)

    def on_new(self, told: i.NewSession) -> None:
        s = self.session(told, self.over_share(told.tenant))
        self.taken.append(self.now - told.waited_ms)
        self.counts[s.premium] += 1.0
        self.worths[s.premium] += GAIN * (s.plan.worth - self.worths[s.premium])
        s.maybe_ran = told.maybe_ran
        over = (s.maybe_ran and s.paid) or (told.advice.refuse and not told.moved)
        (self.give_up if over else self.place)(s)

    def memory(self) -> i.LearnedState:
        """What this front has learned and would not like to learn again."""
        servers = tuple(
            i.LearnedServerState(
                b.told.id,
                b.told.ready_at,
                b.evidence,
                b.barred_until,
                b.failed_at,
                b.link.others,
                b.link.heard_at,
            )
            for b in self.order
        )
        return i.LearnedState(
            self.now, self.length_ms, self.ends, self.set_up_ms, self.set_up_spread, servers
        )

    def on_memory(self, event: i.LearnedState) -> None:
        """Reports fade by their own times; of a server that has started anew since, nothing holds."""
        kept = max(0.0, 1 - (self.now - event.recorded_at) / RATE_WINDOW_MS)
        self.length_ms, self.ends = event.mean_session_ms, event.sessions_ended
        self.set_up_ms, self.set_up_spread = event.mean_set_up_ms, event.set_up_deviation_ms
        for old in event.servers:
            box = self.boxes.get(old.server)
            if box and box.told.ready_at == old.ready_at:
                box.evidence, box.barred_until, box.failed_at = (
                    kept * old.failure_score,
                    old.ejected_until,
                    old.failed_at,
                )
                if old.updated_at > box.link.heard_at:
                    box.link.others, box.link.heard_at = old.other_fronts_kb, old.updated_at

    def on_advised(self, event: i.AdviceChanged) -> None:
        """Other advice from now on; a session that plays over its cap comes down, never under its floor."""
        s = self.sessions.get(event.id)
        if s is None:
            return
        s.advice, box, over = event.advice, s.box, s.plan.worth < s.cls.worth
        self.detach(s)
        s.plan = self.plans[s.told.cls, over, self.top(s.told, s.advice)]
        if box:
            self.attach(s, box)
            if s.playing and s.rung > s.plan.top:
                self.set_rung(s, s.plan.top)
            if event.advice.move and s.playing and not s.paid:
                self.out.append(i.Move(s.told.id))

    def on_fleet(self, event: i.FleetChanged) -> None:
        """Shares of quotas, cold pace and uplinks are of so many fronts from now on."""
        if event.fronts >= 1:
            index = min(max(0, event.index), event.fronts - 1)
            self.settings = replace(self.settings, fronts=event.fronts, index=index)

    def top(self, told: i.NewSession, advice: i.Advice) -> int:
        return max(0, min(told.top, advice.cap, len(self.settings.ladder_kb) - 1))

    def session(self, told: i.NewSession, over: bool) -> Session:
        plan = self.plans[told.cls, over, self.top(told, told.advice)]
        s = self.sessions[told.id] = Session(told, self.settings.classes[told.cls], plan, self.now)
        s.premium = plan.worth > self.cheapest
        return s

    def over_share(self, tenant: int) -> bool:  # a bucket of this front's part of the told rate
        told = self.settings.tenants[tenant : tenant + 1]
        quota = sum(t.quota_per_s for t in told) / self.settings.fronts
        if quota <= 0:
            return False
        most = quota * QUOTA_BURST_S + QUOTA_CHANCE
        room, at = self.tenant_room.get(tenant, (most, self.now))
        room = min(most, room + quota * (self.now - at) / 1000)
        over = room < 1
        self.tenant_room[tenant] = (room if over else room - 1, self.now)
        return over

    def rate(self) -> float:  # own arrivals a millisecond; the counts fade
        kept = max(0.0, 1 - (self.now - self.counted_at) / RATE_WINDOW_MS)
        self.counts = [c * kept for c in self.counts]
        self.seen_ms = kept * self.seen_ms + self.now - self.counted_at
        self.counted_at = self.now
        return max(1.0, sum(self.counts)) / max(1.0, self.settings.reports_every_ms, self.seen_ms)

    def set_quota(self, box: Box) -> None:
        """The reserves of a server by Method II; few counts or a fresh front: all in the pool."""
        box.quota_at = self.now + QUOTA_PERIOD_MS
        self.rate()
        level, number = self.level(box, None), len(self.sessions)
        usual = self.settings.ladder_kb[len(self.settings.ladder_kb) // 2]
        box.slot_kb = max(1.0, self.want[level] / number if self.own and number else usual)
        if sum(self.counts) < FEW_COUNTS or self.worths[1] <= self.worths[0]:
            box.quota = (0, 0)
            return
        servers = self.settings.fronts / max(1, len(self.boxes)) * self.length_ms / max(1.0, self.seen_ms)
        slots = max(1, min(self.places(box.told), int(box.link.target * box.link.cap / box.slot_kb)))
        key = (slots, round(self.counts[1] * servers * 2), round(self.counts[0] * servers * 2))
        if key not in self.splits:
            if len(self.splits) >= SPLITS_KEPT:  # for long: loads wander, and no table may grow with time
                self.splits.clear()
            self.splits[key] = best_split(slots, key[1] / 2, key[2] / 2, self.worths[1], self.worths[0])
        box.quota = self.splits[key]

    def room(self, box: Box) -> float:
        return min(p.room(self.now) for p in box.pipes)

    def level(self, box: Box, plan: Plan | None) -> int:
        """The lowest price level at which all sessions there, taken to be as this front's, and `plan` fit."""
        level, more = 0, plan.rates if plan else [0.0] * len(self.levels)
        for pipe in box.pipes:
            others = pipe.unowned(self.now) / self.own if self.own else 0.0
            most, last = pipe.target * pipe.cap, len(self.levels) - 1
            while level < last and pipe.want[level] + others * self.want[level] + more[level] > most:
                level += 1
        return level

    def place(self, s: Session) -> None:
        """The ordinary path: two random holders, less loaded first; reserve, pool, sub-rating, refusal."""
        if s.cls.seats and self.seats[s.told.cls, s.told.title] >= s.cls.seats:
            self.tell(s, None, ReasonCode.NO_SEAT, s.cls.seats)
            self.give_up(s)
            return
        # Where more requests may act on one report than fit, each does so with that probability.
        period, fronts = self.settings.reports_every_ms or STALE_MS, self.settings.fronts
        rivals = min(fronts, self.rate() * fronts * period / max(1, len(self.boxes)))
        pair, luck = self.pick(s), self.random.random()
        for box in pair:
            doubt = max(p.doubt(self.now) for p in box.pipes)
            best = min(s.plan.rungs[self.level(box, s.plan)], max(s.plan.floor, s.advice.start))
            for rung in range(best, s.plan.floor - 1, -1):
                kb = s.plan.kb[rung]
                ask = kb + doubt if rung > s.plan.floor else max(kb, kb * luck * rivals)
                if part := self.part(box, s.premium, ask):
                    self.tell(s, box, ReasonCode[part.upper()], kb)
                    self.send(s, box, rung, part)
                    return
            self.tell(s, box, ReasonCode.NO_ROOM, s.plan.kb[s.plan.floor])
        for box in pair:
            if s.premium and self.sub_rate(box, s):
                self.tell(s, box, ReasonCode.SUB_RATED, s.plan.kb[s.plan.floor])
                self.send(s, box, s.plan.floor, "pool")
                return
        self.give_up(s)

    def part(self, box: Box, premium: bool, kb: float) -> str:
        """Where a session of this rate may sit: its own reserve, else the pool, else nowhere."""
        room = self.room(box)
        if room < kb:
            return ""
        if self.now >= box.quota_at:
            self.set_quota(box)
        others = box.link.unowned(self.now)  # what sits in the reserves is estimated alike
        high = self.own_high / self.own if self.own else 0.0
        own_high = sum(s.kb for s in box.sessions.values() if s.premium)
        sits = (own_high + high * others, box.link.own - own_high + (1 - high) * others)
        left = [max(0.0, quota * box.slot_kb - kept) for quota, kept in zip(box.quota, sits, strict=True)]
        if room - left[premium] < kb:  # what is kept for the other class is not for this one
            return ""
        return "reserve" if left[not premium] >= kb / 2 else "pool"  # slots do not divide evenly

    def sub_rate(self, box: Box, s: Session) -> bool:
        """Alpha low pool sessions drop enough rungs to free the premium session's rate together."""
        need = s.plan.kb[s.plan.floor] - max(0.0, self.room(box))
        able = [
            low for low in box.sessions.values() if low.playing and not (low.premium or low.was_sub_rated)
        ]
        pool = [low for low in able if low.part == "pool"]
        chosen = sorted(pool, key=lambda low: low.plan.kb[low.plan.floor] - low.kb)[:ALPHA]
        if sum(low.kb - low.plan.kb[low.plan.floor] for low in chosen) < need:
            return False
        for low in chosen:
            low.was_sub_rated, low.sub_rated_from = True, low.rung
        self.step_down(chosen, need, 1.0)
        return True

    def restore(self, box: Box) -> None:
        """A premium session ended here: the sub-rated regain their rung where it fits."""
        for low in box.sessions.values():
            if low.playing and low.sub_rated_from is not None:
                rung, low.sub_rated_from = low.sub_rated_from, None
                if rung > low.rung and low.plan.kb[rung] - low.kb <= self.room(box):
                    self.set_rung(low, rung)

    def pick(self, s: Session) -> list[Box]:
        """Two random servers of those that hold the title and may take new work, the less loaded first.

        Where it costs to cross zones two of the own zone are looked at beside them, and the price counts.

        Where advice sets some aside, two of the others come first, and two of these behind them.
        """
        cells, holders = self.settings.cells, self.order
        cross, zone = self.settings.cross_zone_cost, self.settings.zone

        def net(box: Box) -> float:
            return self.part_free(box) - cross * (box.told.zone != zone)

        if s.told.cells < cells:
            row = [(s.told.first_cell + n) % cells for n in range(s.told.cells)]
            holders = [b for cell in row for b in self.by_cell.get(cell, ())]
        if s.advice.bars:
            holders = [b for b in holders if b.told.zone not in s.advice.bars]
            if not holders:
                self.tell(s, None, ReasonCode.ZONES_BARRED, len(self.order))
        good: list[Box] = []
        aside: list[Box] = []  # by advice
        spare: list[Box] = []  # known full, or for a paid session not known to serve
        for box in islice(self.looks(s, holders), LOOKS):
            if box.told.state != ServerState.READY or box.told.id in s.tried:
                drains = box.told.state != ServerState.READY
                self.tell(s, box, ReasonCode.DRAINING if drains else ReasonCode.ALREADY_TRIED)
                continue
            if s.paid and box.evidence > EVIDENCE_PROVEN:
                self.tell(s, box, ReasonCode.RECENT_FAILURE, box.evidence)
                continue
            if self.now < box.barred_until:
                self.tell(s, box, ReasonCode.EJECTED, box.barred_until - self.now)
            elif not self.warm_enough(box):
                self.tell(s, box, ReasonCode.COLD_START)
            else:
                full = self.room(box) < s.plan.kb[s.plan.floor]
                later = s.advice is not i.NO_ADVICE and self.set_aside(s.advice, box.told)
                group = ReasonCode.FULL if full else ReasonCode.AVOIDED if later else ReasonCode.CANDIDATE
                self.tell(s, box, group, self.room(box))
                (spare if full else aside if later else good).append(box)
                if len(good) >= 2 and (not cross or sum(b.told.zone == zone for b in good) >= 2):
                    break
        good = good[:2] + [b for b in good[2:] if b.told.zone == zone]
        pairs = [good, aside[:2]] if good or aside else [spare[:2]]
        return [b for pair in pairs for b in sorted(pair, key=net, reverse=True)[:2]]

    def looks(self, s: Session, holders: list[Box]) -> Iterator[Box]:
        """Holders in random order, drawn as far as they are asked for. Those with own sessions come first, as
        long as they have the room that is usual for the unseen: their load is heard, a connection stands."""
        cells, cell = self.settings.cells, s.told.first_cell
        mine = [b for b in self.held if self.boxes.get(b.told.id) is b and b.told.zone not in s.advice.bars]
        mine = [b for b in mine if s.told.cells >= cells or (b.told.cell - cell) % cells < s.told.cells]
        mine = [b for b in mine if all(p.usual_room(self.now) for p in b.pipes)]
        self.random.shuffle(mine)
        yield from mine
        moved: dict[int, int] = {}
        for n in range(len(holders)):
            k = self.random.randrange(n, len(holders))
            box = holders[moved.get(k, k)]
            moved[k] = moved.get(n, n)
            if box not in mine:
                yield box

    def part_free(self, box: Box) -> float:
        return min(p.room(self.now) / p.cap for p in box.pipes)

    def set_aside(self, advice: i.Advice, told: i.Server) -> bool:
        """Avoided, or of none of the values that are preferred of its zone, cell, kind or itself."""
        own = {("zone", told.zone), ("cell", told.cell), ("kind", told.kind), ("server", told.id)}
        wished = {what for what, _ in advice.prefer}
        return not own.isdisjoint(advice.avoid) or any(
            (what, n) not in advice.prefer for what, n in own if what in wished
        )

    def blame(self, box: Box, weight: float, restart: bool) -> None:
        """One score for every sign that a server does not serve; what raises it is told apart only here."""
        box.evidence = min(4.0, box.evidence + weight)
        if restart:
            box.failed_at = self.now
        if box.evidence >= EVIDENCE_BAR and self.now >= box.barred_until:
            box.barred_until = self.now + box.backoff * (1 + 0.2 * self.random.random())
            box.backoff = min(BACKOFF_CAP_MS, box.backoff * 2)

    def excuse(self, box: Box) -> None:
        """Guards servers against nonsense: what two answer with an error tells of the session, not of them.

        Harm: where most servers fail, none is blamed for sessions that may be tried again; it would not help.
        """
        box.evidence = max(0.0, box.evidence - 1.0)
        if box.evidence < EVIDENCE_BAR and self.now < box.barred_until:
            box.barred_until, box.backoff = self.now, max(BACKOFF_MS, box.backoff / 2)

    def praise(self, box: Box) -> None:
        box.evidence /= 2
        box.backoff = BACKOFF_MS
        if box.failed_at > float("-inf"):  # it may have started anew between the failure and now
            box.cold_until, box.failed_at = self.now + self.settings.warm_up_ms, float("-inf")

    def warm_enough(self, box: Box) -> bool:
        """Cold servers: a turn (from the told start) is for as many fronts as would ask about once in it."""
        warm = max(1.0, self.settings.warm_up_ms)
        start, fronts = box.told.ready_at, self.settings.fronts
        told = start > 0 and self.now < start + warm and box.failed_at == float("-inf")
        unsure = not self.list_fresh and self.now - (self.born or 0.0) < warm
        if not (told or unsure or box.failed_at > float("-inf") or self.now < box.cold_until):
            return True
        pace = max(1e-9, self.places(box.told) * self.settings.cold_from / warm)  # of all fronts together
        gap = COLD_MARGIN / pace
        each = self.rate() * 2 / max(1, len(self.boxes)) * gap  # set-ups that a front would send it in a turn
        group = max(1, min(fronts, int(1 / (COLD_WAVE * each))))
        if not told:
            return self.now - box.cold_sent > gap * fronts / group
        turn, part = (self.now - start) / gap, 1.0 if group > 1 else 0.5  # apart, if of one front each
        mine = (int(turn) * group - self.settings.index) % fronts < group and turn % 1 < part
        return mine and self.now - box.cold_sent > gap / 2

    def send(self, s: Session, box: Box, rung: int, part: str) -> None:
        self.out.append(i.SetRung(s.told.id, rung))
        timeout = 0.0
        if not s.paid and s.attempts + 1 < self.settings.max_attempts:
            usual = self.set_up_ms + SET_UP_SPREADS * self.set_up_spread
            timeout = min(max(usual, self.settings.connect_timeout_ms), (s.deadline - self.now) / 2)
        self.out.append(i.SetUp(s.told.id, box.told.id, timeout))
        if s.attempts:
            self.retried.append(self.now)
        s.attempts, s.rung, s.part = s.attempts + 1, rung, part
        s.tried.append(box.told.id)
        box.cold_sent = self.now
        self.attach(s, box)

    def attach(self, s: Session, box: Box) -> None:
        s.box, s.kb = box, s.plan.kb[s.rung]
        box.sessions[s.told.id] = s
        self.held[box] = None
        self.ledger(s, 1)

    def detach(self, s: Session) -> None:
        if s.box:
            self.ledger(s, -1)
            del s.box.sessions[s.told.id]
            if not s.box.sessions:
                del self.held[s.box]
            s.box = None

    def ledger(self, s: Session, sign: int) -> None:
        """Seats and rates count from the set-up (or the hand-over) to the report of the end."""
        seat = s.told.cls, s.told.title
        self.seats[seat] += sign
        if not self.seats[seat]:  # for long: titles come and go
            del self.seats[seat]
        self.add_own(s, sign * s.kb, True)
        for want in [self.want, *(p.want for p in (s.box.pipes if s.box else ()))]:
            want[:] = [w + sign * r for w, r in zip(want, s.plan.rates, strict=True)]

    def add_own(self, s: Session, kb: float, joins: bool) -> None:
        """For what joins an untold uplink, the sessions of the other fronts make room as well."""
        self.own = max(0.0, self.own + kb)
        self.own_high = max(0.0, self.own_high + kb * s.premium)
        for pipe in s.box.pipes if s.box else ():
            pipe.change(self.now, kb)
            pipe.limit = max(0.0, pipe.limit + joins * kb * (1 - 1 / self.settings.fronts))

    def set_rung(self, s: Session, rung: int, told: bool = False, joins: bool = False) -> None:
        if not told:
            self.out.append(i.SetRung(s.told.id, rung))
            s.changed_at = self.now
        self.add_own(s, s.plan.kb[rung] - s.kb, joins)
        s.rung, s.kb = rung, s.plan.kb[rung]

    def may_retry(self, s: Session) -> bool:
        spent = s.attempts >= self.settings.max_attempts or s.deadline - self.now < MIN_ATTEMPT_MS
        if spent or (s.maybe_ran and s.paid) or self.settings.retry_free is None:
            return not (spent or (s.maybe_ran and s.paid))
        since = self.now - self.settings.retry_span_ms
        taken, again = (sum(t > since for t in times) for times in (self.taken, self.retried))
        return again + 1 <= self.settings.retry_free + self.settings.retry_share * taken

    def give_up(self, s: Session) -> None:  # the final answer, at once
        self.tell(s, None, ReasonCode.GIVEN_UP, s.attempts)
        most = self.settings.max_pause_ms if self.settings.pause_advice else 0.0
        pause = min(most, s.advice.pause_ms or most)
        self.out.append(i.Fail(s.told.id) if s.maybe_ran and s.paid else i.Refuse(s.told.id, pause))
        del self.sessions[s.told.id]

    def on_playing(self, event: i.Playing) -> None:
        s = self.sessions.get(event.id)
        if s is None or s.box is None:
            return
        s.playing, s.started = True, self.now
        off = event.took_ms - self.set_up_ms
        self.set_up_ms += GAIN * off
        self.set_up_spread += GAIN * (abs(off) - self.set_up_spread)
        self.praise(s.box)
        self.hear_report(s.box, event.report, 0.0)

    def on_ended(self, event: i.AttemptEnded) -> None:
        s = self.sessions.get(event.id)
        box = s.box if s else self.boxes.get(event.server)
        if box:
            self.hear_report(box, event.report, TICK_MS)
        if s is None or event.attempt != s.attempts - 1:  # unknown, or of an attempt that has ended
            return
        self.detach(s)
        if box and event.outcome == Outcome.FULL:
            box.link.hear(self.now, max(self.settings.full_from, 1.0) * box.link.cap, 0.0)
        elif box and event.outcome in (*SURE, *DOUBT):
            weight = EVIDENCE_BAR if event.outcome in SURE else 1.0
            s.erred += [box] * (event.outcome == Outcome.ERROR)
            if event.outcome != Outcome.ERROR or len(s.erred) == 1:
                self.blame(box, weight, event.outcome != Outcome.ERROR)
            elif len(s.erred) == 2:
                self.excuse(s.erred[0])
        if event.outcome == Outcome.OK:  # the first few count as their mean, until the newest weighs GAIN
            self.ends += 1
            self.length_ms += max(GAIN, 1 / self.ends) * (self.now - s.started - self.length_ms)
        if s.playing and box and s.premium:
            self.restore(box)
        if event.closed or s.gone:
            del self.sessions[event.id]
            return
        s.maybe_ran |= event.outcome not in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
        (self.place if self.may_retry(s) else self.give_up)(s)

    def hear_report(self, box: Box, report: tuple[float, ...], lag: float) -> None:
        for name, value in zip(self.settings.report_fields, report, strict=False):
            if name in ("x0", "x1") or (name == "utilization" and value < 0.99):
                self.hear(box, i.NoteKind.UPLINK if name == "x1" else i.NoteKind.LINK, value, lag)

    def hear(self, box: Box, kind: int, use: float, lag: float) -> None:
        if not 0 <= use < float("inf"):
            return
        if kind == i.NoteKind.LINK:
            box.link.hear(self.now, use * box.link.cap, lag)
            box.dice = self.random.random()
        if box.uplink and (kind == i.NoteKind.UPLINK or self.untold):  # untold: its links are samples of it
            box.uplink.hear(self.now, use * box.uplink.span, lag, SMOOTH / 2 if self.untold else SMOOTH)

    def on_viewer_gone(self, event: i.ViewerGone) -> None:
        if s := self.sessions.get(event.id):  # an attempt that is out is kept until its end is reported
            s.gone = True

    def on_handed_over(self, event: i.HandedOver) -> None:
        told = event.session
        s = self.session(told, False)
        s.playing, s.settled, s.attempts, s.part = True, True, 1, "pool"
        gone = i.Server(event.server, 0, 1.0, 0, told.first_cell, 0.0, ServerState.GONE)
        box = self.boxes.get(event.server) or self.new_box(gone, self.places(gone))  # unlisted: send nothing
        self.counts[s.premium] += 1.0  # sessions held stand for the arrivals of one length
        self.seen_ms = max(self.seen_ms, self.length_ms)
        self.attach(s, box)

    def on_note(self, event: i.Note) -> None:
        s = self.sessions.get(event.id)
        if s is None or s.box is None or not 0 <= event.value < float("inf"):
            return
        lag = min(self.settings.report_delay_ms, self.now - s.started)  # those at set-up tell of now
        if event.kind == i.NoteKind.RUNG:
            self.set_rung(s, max(0, min(int(event.value), len(s.plan.kb) - 1)), told=True, joins=True)
        elif event.kind == i.NoteKind.SHARE:
            self.on_share(s.box, event.value)
        else:
            self.hear(s.box, event.kind, event.value, lag)

    def on_share(self, box: Box, share: float) -> None:
        """A shortfall that the told use does not explain (reports stay out, lie or are none) stands for one.

        An uplink falls short for all its servers, a link for one. Harm: viewers' own networks counted as it.
        """
        box.share, box.share_at = share, self.now
        if share < STALLED_SHARE:  # it stands still: no matter of rates
            self.blame(box, EVIDENCE_BAR, False)
        if not STALLED_SHARE <= share < SHORT:
            return
        up, since = box.uplink, self.now - SHORT_HOLD_MS
        mates = [
            m for m in self.held if m.uplink is up and any(s.started < since for s in m.sessions.values())
        ]
        best = max([share, *(m.share if m.share_at > since else 1.0 for m in mates)])
        pipe = box.link
        if up and best < SHORT and (len(mates) > 1 or pipe.fit() * EXPLAINED > best):
            pipe, share = up, best
        if pipe.short_at > since or (pipe.told and pipe.fit() * EXPLAINED < share):
            return  # what comes within the hold still tells of before the cut
        pipe.short_at = self.now
        if pipe is up and self.untold:
            late = self.now - self.settings.report_delay_ms
            pipe.limit = share * next((own for at, own in pipe.past if at > late), pipe.own)
        else:
            pipe.hear(self.now, pipe.cap / share, self.settings.report_delay_ms)

    def on_tick(self, _: i.TimerDue) -> None:
        self.out.append(i.SetTimer(0, TICK_MS))
        for up in {b.uplink: None for b in self.held if b.uplink and self.untold}:
            if self.now - up.short_at > SHORT_HOLD_MS:
                up.limit = max(up.limit, min(up.limit * (1 + REGAIN), LIMIT_OVER * up.own))
        for box in self.held:
            self.control(box)

    def control(self, box: Box) -> None:
        """Give back when a pipe is over-asked, lift sessions while room stays: each front for its own part.

        A part of a step is taken with that probability, by the dice of the report: the sum comes out right.
        """
        playing = [s for s in box.sessions.values() if s.playing]
        if self.now - box.link.heard_at > STALE_MS or not playing:
            return
        level, up = self.level(box, None), box.uplink
        for s in playing:
            if not s.settled and s.started <= box.link.heard_at:
                self.settle(box, s, s.plan.rungs[level])
        fit, done = min(p.fit() for p in box.pipes if p.told), box.link.own - box.link.base  # no guess
        lean = max(1 / LEAN, min(LEAN, box.link.own / max(1.0, box.link.want[level])))
        give = box.link.base * lean * (1 - fit) + done if fit * CUT_ABOVE < 1 else 0.0
        room = (
            box.link.base / lean * (min(p.fit(p.doubt(self.now)) for p in box.pipes) * LIFT_BELOW - 1) - done
        )
        if up and not up.told:
            room = min(room, up.limit - up.own)
            if up.own > CUT_ABOVE * up.limit:
                give = max(give, (1 - up.limit / up.own) * box.link.own)
        if give > 0:
            ready = [s for s in playing if self.now - s.changed_at > DWELL_DOWN_MS]
            self.step_down(ready, give, box.dice)
            return
        dwell = 1000 * DWELL_UP * self.settings.switch_cost_s
        ready = [s for s in playing if s.rung < s.plan.top and self.now - s.changed_at > dwell]
        for s in sorted(ready, key=lambda s: -s.plan.prices[s.rung - s.plan.floor]):
            for rung in range(max(s.plan.rungs[level], s.rung + 1), s.rung, -1):
                part = box.dice if rung == s.rung + 1 else 1.0
                if room > 0 and part * (s.plan.kb[rung] - s.kb) <= room:
                    self.tell(s, box, ReasonCode.RUNG_RAISED, room)
                    room -= s.plan.kb[rung] - s.kb
                    self.set_rung(s, rung)
                    break

    def settle(self, box: Box, s: Session, top: int) -> None:
        """A newcomer takes the rung that its set-up note leaves room for: no other front has heard it yet."""
        s.settled, spare = True, min(p.room(self.now) - p.doubt(self.now) for p in box.pipes)
        fit = [r for r in range(s.plan.floor, top + 1) if s.plan.kb[r] - s.kb <= spare]
        if (rung := max(fit, default=s.plan.floor)) != s.rung:
            self.tell(s, box, ReasonCode.RUNG_ADJUSTED, spare)
            self.set_rung(s, rung, joins=True)

    def step_down(self, ready: list[Session], give: float, dice: float) -> None:  # the cheapest steps first
        aims: dict[int, int] = {}
        steps: list[tuple[float, int, int]] = []
        for n, s in enumerate(ready):
            held = s.plan.prices[: s.rung - s.plan.floor]
            steps += [(price, -r, n) for r, price in enumerate(held, s.plan.floor + 1)]
        for _, r, n in sorted(steps):
            step = ready[n].plan.kb[-r] - ready[n].plan.kb[-r - 1]
            if give <= (1 - dice) * step:
                break
            aims[n], give = -r - 1, give - step
        for n, rung in aims.items():
            box = ready[n].box
            self.tell(ready[n], box, ReasonCode.RUNG_LOWERED, min(p.fit() for p in box.pipes) if box else 0.0)
            self.set_rung(ready[n], rung)
