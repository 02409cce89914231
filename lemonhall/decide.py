"""The decisions of one front: who plays, on which server, at what rung.

Types, events and actions are in `lemonhall/interface.py`. A `Front` is told what happens through
`handle(now, events)` and answers with actions. Times are milliseconds, rates kB a second.
The order below is that of the design: quotas, pipes, admission and sub-rating, pick, then health,
cold starts, attempts and rung control.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from lemonhall import interface as i
from lemonhall.interface import Outcome, Repeat, ServerState

ALPHA = 2  # sessions sub-rated for one premium session (the paper's alpha)
QUOTA_PERIOD_MS = 5000.0  # the quotas of a server are picked anew this often (design)
FEW_COUNTS = 8.0  # arrivals (decayed count) under which every slot stays in the pool
QUOTA_BURST_S = 5.0  # a tenant may be this far ahead of its told rate before it counts as over its share
RATE_WINDOW_MS = 20000.0  # memory of arrival rates and lengths; a third of a usual session's life
GAIN = 0.1  # weight of the newest in running means of set-up times, lengths and worths
FIRST_LENGTH_MS = 40000.0  # length of a session before any was seen to end; only scales the quotas
TARGET = 1.0  # part of a link or uplink that may be asked; lifts stop short of it, cuts begin past it
FULL_BELOW = 0.92  # of the link use at which a server turns set-ups away
BLIND = 0.75  # of what is given, when no report has come for a while: grow cautious
LEDGER_MS = 5000.0  # own use is remembered this long: reports are late by less
SMOOTH = 0.6  # weight of the newest report of other use against the older ones (reports are noisy)
STALE_PERIODS = 2.5  # report periods without a report after which the own ledger alone decides
NO_REPORTS_MS = 10000.0  # the same where no period is told
TICK_MS = 500.0  # rung control and quota upkeep
CUT_ABOVE = 1.05  # own use over its budget that starts a step down: reports wander by a few points
LIFT_BELOW = 0.9  # part of the budget that lifts may fill: room for the next arrivals, and hysteresis
START_LIMIT = 0.92  # of this front's part of a told uplink, before any shortfall tells
SHORT_HOLD_MS = 3000.0  # an uplink found short is held at what it gave this long
SHARE_FRESH_MS = 2200.0  # a share is told each second while it is short: two periods and some delay
SHORT = 0.98  # a share under this is short (below it worth is lost)
EXPLAINED = 0.9  # told use times the delivered share from which the one explains the other
REGAIN = 0.01  # then, each tick, it is tried for so much more
LIMIT_OVER = 1.2  # over own use: a limit that is not tried is no knowledge
DWELL_UP = 20.0  # switch costs for which a rung is kept before a lift: a lift must have time to pay for it
DWELL_DOWN_MS = 4000.0  # nor cut again before a report can tell of the last cut
EVIDENCE_BAR = 1.5  # evidence at which a server is left alone: two failures nearly in a row
EVIDENCE_PROVEN = 0.5  # evidence above which no paid session is sent
BACKOFF_MS = 1500.0  # first rest of a barred server; doubles up to the cap
BACKOFF_CAP_MS = 8000.0
# Evidence of an attempt's end, and whether the server may have restarted since.
BLAME: dict[int, tuple[float, bool]] = {
    Outcome.CONNECT_FAILED: (EVIDENCE_BAR, True),
    Outcome.RESET: (EVIDENCE_BAR, True),
    Outcome.TIMEOUT: (1.0, True),
    Outcome.ERROR: (1.0, False),
}
FLEET_PART = 0.5  # part of the servers barred at once above which the fleet is blamed, not the servers
STALLED_SHARE = 0.15  # delivered share under which a server is taken to stand still
FIRST_SET_UP_MS = 150.0  # set-up time before any was seen
SET_UP_SPREADS = 4.0  # spreads over the usual set-up time at which an attempt is given up
MIN_ATTEMPT_MS = 120.0  # less time left than this is no use for another attempt
COLD_MARGIN = 1.3  # the fleet-wide gap between set-ups to a cold server, over the gap it can take


def erlang(load: float, slots: int) -> list[float]:
    """Blocking of M/M/n/n for n = 0..slots, by the Erlang B recurrence."""
    blocking = [1.0]
    for n in range(1, slots + 1):
        b = load * blocking[-1]
        blocking.append(b / (n + b))
    return blocking


def best_split(slots: int, high: float, low: float, v_high: float, v_low: float) -> tuple[int, int]:
    """The paper's Method II by enumeration: the reserves (premium, low) with the best pay-off.

    `high` and `low` are loads in erlangs; pay-off is per mean session length (mu = 1), penalties are
    the worths. A state's probability in the pool is (6); with B the Erlang blocking and carried
    load a(1 - B), (2), (3), (7), (9) and (11) need no inner sums, so a split costs O(pool).
    """
    block_h, block_l = erlang(high, slots), erlang(low, slots)
    best, choice = float("-inf"), (0, 0)
    low_over = [low * block_l[n] for n in range(slots + 1)]
    low_tables = [erlang(a, slots) for a in low_over]
    for n_h in range(slots + 1):
        over_h = high * block_h[n_h]
        sub = erlang(over_h, slots // ALPHA)
        gain = [over_h * ((1 - b) * (v_high - v_low) - b * v_high) for b in sub]
        terms = [1.0]
        for n in range(1, slots - n_h + 1):
            terms.append(terms[-1] * over_h / n)
        for n_l in range(slots - n_h + 1):
            pool = slots - n_h - n_l
            over_l, table = low_over[n_l], low_tables[n_l]
            total = value = 0.0
            for held in range(pool + 1):
                b = table[pool - held]
                total += terms[held]
                value += terms[held] * (
                    held * v_high + over_l * ((1 - b) * v_low - b * v_low) + b * gain[(pool - held) // ALPHA]
                )
            pay = value / total
            pay += high * (1 - block_h[n_h]) * v_high + low * (1 - block_l[n_l]) * v_low
            if pay > best + 1e-9:
                best, choice = pay, (n_h, n_l)
    return choice


class Plan:
    """What a kind of session (class, within share or over it, viewer's best rung) asks at each price.

    A price is worth per kB; at a price the session plays the highest rung whose last step still
    earns it. Level 0 is the lowest price: everything at its top.
    """

    def __init__(self, cls: i.SessionClass, worth: float, top: int, settings: i.Settings) -> None:
        self.floor = cls.floor
        self.top = max(cls.floor, min(top, cls.top, len(settings.ladder_kb) - 1))
        self.worth = worth
        self.kb = [rate * cls.scale for rate in settings.ladder_kb]
        self.prices: list[float] = []  # of the step onto each rung above the floor, falling
        for r in range(self.floor + 1, self.top + 1):
            gain = worth * (settings.ladder_worth[r] - settings.ladder_worth[r - 1])
            self.prices.append(gain / max(1e-9, self.kb[r] - self.kb[r - 1]))
        for n in range(len(self.prices) - 2, -1, -1):  # a dear step is not blocked by a poor one below it
            self.prices[n] = max(self.prices[n], self.prices[n + 1])

    def price_out(self, levels: list[float]) -> None:
        self.rungs = [self.floor + sum(1 for p in self.prices if p >= level) for level in levels]
        self.rates = [self.kb[r] for r in self.rungs]


class Pipe:
    """A server's link or a rack's uplink: what it gives, what this front asks of it, and the rest."""

    def __init__(self, cap: float, levels: int, target: float = TARGET) -> None:
        self.cap, self.target = cap, target
        self.own = 0.0
        self.want = [0.0] * levels  # own sessions' rates at each price level
        self.past: deque[tuple[float, float]] = deque()  # (time, own use up to then)
        self.others: float | None = None
        self.base = 0.0  # own use that the last report of this pipe knew of
        self.limit = 0.0  # what this front may ask where no use is told, 0: it is told
        self.short_at = float("-inf")  # last told short of its rates, where no use is told
        self.heard_at = float("-inf")

    def change(self, now: float, kb: float) -> None:
        self.past.append((now, self.own))
        while self.past[0][0] < now - LEDGER_MS:
            self.past.popleft()
        self.own = max(0.0, self.own + kb)

    def own_at(self, when: float) -> float:
        return next((own for at, own in self.past if at > when), self.own)

    def hear(self, now: float, use: float, lag: float) -> None:
        """A report of asked over given, as of `lag` ago."""
        self.base = self.own_at(now - lag)
        others = max(0.0, use * self.cap - self.base)
        old = others if self.others is None or now - self.heard_at > NO_REPORTS_MS else self.others
        self.others = SMOOTH * others + (1 - SMOOTH) * old
        self.heard_at = now

    def load(self) -> float:
        return self.own / self.limit if self.limit else (self.own + (self.others or 0.0)) / self.cap


class Box:
    def __init__(self, told: i.Server, link: Pipe, uplink: Pipe | None, now: float) -> None:
        self.told, self.link, self.uplink = told, link, uplink
        self.pipes = [link] if uplink is None else [link, uplink]
        self.sessions: dict[int, Session] = {}
        self.quota, self.quota_at, self.slot_kb = (0, 0), now, 1.0
        self.share, self.share_at = 1.0, float("-inf")  # last told share of the rates delivered
        self.evidence, self.barred_until, self.backoff = 0.0, float("-inf"), BACKOFF_MS
        self.trial: int | None = None  # the one session that tries it again
        self.proven = False
        self.failed_at = float("-inf")  # of a failure after which it may have restarted
        self.cold_until = self.cold_sent = float("-inf")

    def held(self, part: str) -> float:
        return sum(s.kb for s in self.sessions.values() if s.part == part)


class Session:
    def __init__(self, told: i.NewSession, cls: i.SessionClass, plan: Plan, now: float) -> None:
        self.told, self.cls, self.plan = told, cls, plan
        self.deadline = now + told.left_ms
        self.premium = False
        self.box: Box | None = None
        self.rung, self.kb = plan.floor, 0.0
        self.part = ""  # high, low (the reserves) or pool
        self.playing, self.gone, self.first_note = False, False, True
        self.started, self.changed_at = now, float("-inf")
        self.sub_rated_from: int | None = None
        self.was_sub_rated = False  # only once in its life
        self.attempts, self.maybe_ran = 0, False
        self.tried: list[int] = []


class Front:
    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.settings, self.random, self.now = settings, Random(seed), 0.0
        self.out: list[i.Action] = []
        self.boxes: dict[int, Box] = {}
        self.racks: dict[int, Pipe] = {}
        self.sessions: dict[int, Session] = {}
        self.seats: dict[tuple[int, int], int] = {}
        self.born: float | None = None
        self.list_fresh = self.ticking = False
        self.cheapest = min(c.worth for c in settings.classes)
        self.counts, self.counted_at = [0.0, 0.0], 0.0  # decayed arrivals: low, premium
        self.worths = [self.cheapest, self.cheapest]
        self.length_ms = FIRST_LENGTH_MS
        self.set_up_ms, self.set_up_spread = FIRST_SET_UP_MS, FIRST_SET_UP_MS / 2
        self.splits: dict[tuple[int, int, int], tuple[int, int]] = {}
        self.taken: deque[float] = deque()  # kept only where further attempts are rationed
        self.retried: deque[float] = deque()
        self.tenant_room: dict[int, tuple[float, float]] = {}
        self.plans: dict[tuple[int, bool, int], Plan] = {}
        prices: dict[float, None] = {0.0: None}
        for n, cls in enumerate(settings.classes):
            for over in (False, True):
                worth = cls.worth * (settings.over_share_worth if over else 1.0)
                for top in range(len(settings.ladder_kb)):
                    plan = self.plans[n, over, top] = Plan(cls, worth, top, settings)
                    prices.update(dict.fromkeys(plan.prices))
        self.acts: dict[type, Callable[[Any], None]] = {
            i.NewSession: self.on_new,
            i.Note: self.on_note,
            i.Playing: self.on_playing,
            i.AttemptEnded: self.on_ended,
            i.HandedOver: self.on_handed_over,
            i.ViewerGone: self.on_viewer_gone,
            i.TimerDue: self.on_tick,
        }
        self.levels = [p * (1 + 1e-9) if p else 0.0 for p in sorted(prices)]
        for plan in self.plans.values():
            plan.price_out(self.levels)

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        self.now, self.out = now, []
        if self.born is None:
            self.born = self.counted_at = now
            if self.settings.subscribes:
                self.out.append(i.Subscribe(True))
        for event in events:  # what is told of the servers binds all that is decided in this batch
            if isinstance(event, i.ServerList):
                self.on_list(event)
        for event in events:
            act = self.acts.get(type(event))
            if act:
                act(event)
        if not self.ticking:
            self.ticking = True
            self.out.append(i.SetTimer(0, TICK_MS))
        return self.out

    # The list of servers

    def on_list(self, event: i.ServerList) -> None:
        if event.kind == i.ListKind.FAILED:
            self.out.append(i.Subscribe(True))
            return
        if event.kind != i.ListKind.CACHED:
            self.list_fresh = True
        if event.kind != i.ListKind.CHANGES:
            named = {s.id: None for s in event.servers}
            self.boxes = {n: b for n, b in self.boxes.items() if n in named}
        size = [self.places(s) for s in event.servers] + [self.places(b.told) for b in self.boxes.values()]
        mean_places = sum(size) / max(1, len(size))
        for told in event.servers:
            known = self.boxes.get(told.id)
            if told.state == ServerState.GONE:
                self.boxes.pop(told.id, None)  # its sessions are kept until their end is reported
            elif known:
                if told.ready_at != known.told.ready_at:
                    known.evidence, known.backoff, known.proven = 0.0, BACKOFF_MS, False
                    known.barred_until = known.failed_at = float("-inf")
                known.told = told
            else:
                self.boxes[told.id] = self.new_box(told, mean_places)

    def places(self, told: i.Server) -> int:
        table = self.settings.places_by_kind
        return table[told.kind] if told.kind < len(table) else max(1, min(table))

    def new_box(self, told: i.Server, mean_places: float) -> Box:
        size = told.weight if self.settings.weights_tell_size else self.places(told) / mean_places
        most = min(TARGET, FULL_BELOW * self.settings.full_from or TARGET)
        link = Pipe(max(1.0, self.settings.link_kb_per_weight * size), len(self.levels), most)
        uplink = None
        if self.settings.racks and self.settings.uplink_kb:
            rack = told.cell % self.settings.racks
            if rack not in self.racks:
                self.racks[rack] = Pipe(self.settings.uplink_kb, len(self.levels))
                if "x1" not in self.settings.report_fields:
                    self.racks[rack].limit = START_LIMIT * self.settings.uplink_kb / self.settings.fronts
            uplink = self.racks[rack]
        return Box(told, link, uplink, self.now + self.random.random() * QUOTA_PERIOD_MS)

    # Arrivals

    def on_new(self, told: i.NewSession) -> None:
        s = self.session(told, self.over_share(told.tenant))
        if self.settings.retry_free is not None:
            self.taken.append(self.now)
        self.decay_counts()
        self.counts[s.premium] += 1.0
        self.worths[s.premium] += GAIN * (s.plan.worth - self.worths[s.premium])
        self.place(s)

    def session(self, told: i.NewSession, over: bool) -> Session:
        top = max(0, min(told.top, len(self.settings.ladder_kb) - 1))
        plan = self.plans[told.cls, over, top]
        s = self.sessions[told.id] = Session(told, self.settings.classes[told.cls], plan, self.now)
        s.premium = plan.worth > self.cheapest
        return s

    def over_share(self, tenant: int) -> bool:
        """A bucket of this front's part of the tenant's told rate."""
        tenants = self.settings.tenants
        quota = tenants[tenant].quota_per_s / self.settings.fronts if tenant < len(tenants) else 0.0
        if quota <= 0:
            return False
        room, at = self.tenant_room.get(tenant, (quota * QUOTA_BURST_S, self.now))
        room = min(quota * QUOTA_BURST_S, room + quota * (self.now - at) / 1000)
        over = room < 1
        self.tenant_room[tenant] = (room if over else room - 1, self.now)
        return over

    def decay_counts(self) -> None:
        kept = max(0.0, 1 - (self.now - self.counted_at) / RATE_WINDOW_MS)
        self.counts = [c * kept for c in self.counts]
        self.counted_at = self.now

    # Quotas

    def set_quota(self, box: Box) -> None:
        """The reserves of a server by Method II; few counts or a fresh front: all in the pool."""
        box.quota_at = self.now + QUOTA_PERIOD_MS
        self.decay_counts()
        level = self.level(box, None)
        usual = self.settings.ladder_kb[len(self.settings.ladder_kb) // 2]
        box.slot_kb = box.link.want[level] / len(box.sessions) if box.sessions else usual
        slots = self.slots(box)
        fresh = self.now - (self.born or 0.0) < QUOTA_PERIOD_MS
        if fresh or sum(self.counts) < FEW_COUNTS or self.worths[1] <= self.worths[0]:
            box.quota = (0, 0)
            return
        fronts_per_server = self.settings.fronts / max(1, len(self.boxes))
        span = min(RATE_WINDOW_MS, self.now - (self.born or 0.0))
        loads = [c / span * fronts_per_server * self.length_ms for c in self.counts]
        key = (slots, round(loads[1] * 4), round(loads[0] * 4))
        if key not in self.splits:
            if len(self.splits) > 200:
                self.splits.clear()
            self.splits[key] = best_split(slots, key[1] / 4, key[2] / 4, self.worths[1], self.worths[0])
        box.quota = self.splits[key]

    def slots(self, box: Box) -> int:
        """The told link (or its part of the uplink) over the asked rate, capped by the told streams."""
        mates = sum(1 for b in self.boxes.values() if b.uplink is box.uplink)
        cap = min(box.link.cap, box.uplink.cap / max(1, mates)) if box.uplink else box.link.cap
        return max(1, min(self.places(box.told), int(TARGET * cap / max(1.0, box.slot_kb))))

    # Pipes and the asked rung

    def budget(self, pipe: Pipe) -> float:
        """What this front may ask of a pipe in all.

        All fronts hear the same report at once, so each takes 1/N of the room, and of what is asked
        too much each gives back in proportion. Without fresh reports: 1/N of a cautious target.
        """
        if pipe.limit:
            return pipe.limit
        period = self.settings.reports_every_ms
        patience = STALE_PERIODS * period + self.settings.told_late_ms if period else NO_REPORTS_MS
        if pipe.others is None or self.now - pipe.heard_at > patience:
            return BLIND * pipe.cap / self.settings.fronts
        total, most = pipe.others + pipe.base, pipe.target * pipe.cap
        if total <= most:
            return pipe.base + (most - total) / self.settings.fronts
        return pipe.base * most / total

    def room(self, box: Box) -> float:
        return min(self.budget(p) - p.own for p in box.pipes)

    def level(self, box: Box, plan: Plan | None) -> int:
        """The lowest price level at which the own sessions, and one more of `plan`, fit every pipe."""
        level, more = 0, plan.rates if plan else [0.0] * len(self.levels)
        for pipe in box.pipes:
            budget = self.budget(pipe)
            while level < len(self.levels) - 1 and pipe.want[level] + more[level] > budget:
                level += 1
        return level

    # Admission

    def place(self, s: Session) -> None:
        """The ordinary path: two random holders, less loaded first; reserve, pool, sub-rating, refusal."""
        if s.cls.seats and self.seats.get((s.told.cls, s.told.title), 0) >= s.cls.seats:
            self.give_up(s)
            return
        pair = self.pick(s)
        for box in pair:
            top = s.plan.rungs[self.level(box, s.plan)]
            if top < s.plan.top and s.plan.kb[top + 1] <= self.lift_room(box):
                top += 1
            for rung in range(top, s.plan.floor - 1, -1):
                part = self.part(box, s.premium, s.plan.kb[rung])
                if part:
                    self.send(s, box, rung, part)
                    return
        for box in pair:
            if s.premium and self.sub_rate(box, s):
                self.send(s, box, s.plan.floor, "pool")
                return
        self.give_up(s)

    def part(self, box: Box, premium: bool, kb: float) -> str:
        """Where a session of this rate may sit: its own reserve, else the pool, else nowhere."""
        room = self.room(box)
        if room < kb:
            return ""
        unit = box.slot_kb / self.settings.fronts  # this front's part of the reserves, as of the room
        left_high = max(0.0, box.quota[0] * unit - box.held("high"))
        left_low = max(0.0, box.quota[1] * unit - box.held("low"))
        left, kept = (left_high, left_low) if premium else (left_low, left_high)
        if room - kept < kb:  # what is kept for the other class is not for this one
            return ""
        return ("high" if premium else "low") if left >= kb / 2 else "pool"  # slots do not divide evenly

    def sub_rate(self, box: Box, s: Session) -> bool:
        """Alpha low pool sessions drop enough rungs to free the premium session's rate together."""
        need = s.plan.kb[s.plan.floor] - max(0.0, self.room(box))
        pool = [low for low in box.sessions.values() if low.playing and low.part == "pool"]
        chosen = [low for low in pool if not (low.premium or low.was_sub_rated)]
        chosen.sort(key=lambda low: low.plan.kb[low.plan.floor] - low.kb)
        chosen = chosen[:ALPHA]
        if len(chosen) < ALPHA or sum(low.kb - low.plan.kb[low.plan.floor] for low in chosen) < need:
            return False
        for n, low in enumerate(chosen):
            low.was_sub_rated, low.sub_rated_from, before = True, low.rung, low.kb
            part = need / (len(chosen) - n)
            fit = [r for r in range(low.plan.floor, low.rung) if low.kb - low.plan.kb[r] >= part]
            self.set_rung(low, max(fit, default=low.plan.floor))
            need -= before - low.kb
        return True

    def restore(self, box: Box) -> None:
        """A premium session ended here: the sub-rated regain their rung where it fits."""
        for low in box.sessions.values():
            if low.playing and low.sub_rated_from is not None:
                rung, low.sub_rated_from = low.sub_rated_from, None
                if rung > low.rung and low.plan.kb[rung] - low.kb <= self.room(box):
                    self.set_rung(low, rung)

    # The pick

    def pick(self, s: Session) -> list[Box]:
        """Two random servers of those that hold the title and may take new work, the less loaded first."""
        paid, cells = s.cls.repeat != Repeat.SAFE, self.settings.cells
        fresh = [b for b in self.boxes.values() if b.told.id not in s.tried]
        held = [b for b in fresh if (b.told.cell - s.told.first_cell) % cells < s.told.cells]
        ready = [b for b in held if b.told.state == ServerState.READY and self.warm_enough(b)]
        fit = [b for b in ready if self.healthy(b, paid)]
        if paid and not fit:
            fit = [b for b in ready if self.healthy(b, False) and b.evidence == 0 and b.trial is None]
        fit = [b for b in fit if self.room(b) >= s.plan.kb[s.plan.floor]] or fit  # known full: no choice
        return sorted(self.random.sample(fit, min(2, len(fit))), key=lambda b: max(p.load() for p in b.pipes))

    # Health

    def healthy(self, box: Box, paid: bool) -> bool:
        if paid:
            return box.proven and box.evidence <= EVIDENCE_PROVEN and self.now >= box.barred_until
        sick = sum(1 for b in self.boxes.values() if b.evidence >= EVIDENCE_BAR)
        if box.evidence < EVIDENCE_BAR or sick > FLEET_PART * len(self.boxes):
            return True
        return self.now >= box.barred_until and box.trial is None

    def blame(self, box: Box, weight: float, restart: bool) -> None:
        """One score for every sign that a server does not serve; what raises it is told apart only here."""
        box.evidence = min(4.0, box.evidence + weight)
        if restart:
            box.failed_at = self.now
        if box.evidence >= EVIDENCE_BAR and self.now >= box.barred_until:
            box.barred_until = self.now + box.backoff * (1 + 0.2 * self.random.random())
            box.backoff = min(BACKOFF_CAP_MS, box.backoff * 2)

    def praise(self, box: Box) -> None:
        box.evidence /= 2
        box.proven, box.trial, box.backoff = True, None, BACKOFF_MS
        if box.failed_at > float("-inf"):  # it may have started anew between the failure and now
            box.cold_until, box.failed_at = self.now + self.settings.warm_within_ms, float("-inf")

    # Cold starts

    def warm_enough(self, box: Box) -> bool:
        """Cold servers: one set-up a turn. The turns run from the told start, so that fronts alternate."""
        warm = self.settings.warm_within_ms
        if warm <= 0:
            return True
        pace = max(1e-9, self.places(box.told) * self.settings.cold_from / warm)  # of all fronts together
        gap = COLD_MARGIN / pace
        start = box.told.ready_at
        if start > 0 and self.now < start + warm and box.failed_at == float("-inf"):
            turn = (self.now - start) / gap
            mine = int(turn) % self.settings.fronts == self.settings.index and turn % 1 < 0.5
            return mine and self.now - box.cold_sent > gap / 2
        unsure = not self.list_fresh and self.now - (self.born or 0.0) < warm
        cold = unsure or box.failed_at > float("-inf") or self.now < box.cold_until
        return not cold or self.now - box.cold_sent > gap * self.settings.fronts

    # Attempts

    def send(self, s: Session, box: Box, rung: int, part: str) -> None:
        if rung != s.cls.floor or s.attempts:
            self.out.append(i.SetRung(s.told.id, rung))
        left, timeout = s.deadline - self.now, 0.0
        if s.cls.repeat == Repeat.SAFE and s.attempts + 1 < self.settings.max_attempts:
            usual = self.set_up_ms + SET_UP_SPREADS * self.set_up_spread
            timeout = min(max(usual, self.settings.connect_timeout_ms), left / 2)
        self.out.append(i.SetUp(s.told.id, box.told.id, timeout))
        if s.attempts and self.settings.retry_free is not None:
            self.retried.append(self.now)
        s.attempts, s.rung, s.part = s.attempts + 1, rung, part
        s.tried.append(box.told.id)
        if box.evidence >= EVIDENCE_BAR:
            box.trial = s.told.id
        box.cold_sent = self.now
        self.attach(s, box)

    def attach(self, s: Session, box: Box) -> None:
        s.box, s.kb = box, s.plan.kb[s.rung]
        box.sessions[s.told.id] = s
        self.ledger(s, 1)

    def detach(self, s: Session) -> None:
        if s.box is None:
            return
        self.ledger(s, -1)
        del s.box.sessions[s.told.id]
        if s.box.trial == s.told.id:
            s.box.trial = None
        s.box = None

    def ledger(self, s: Session, sign: int) -> None:
        """Seats and rates count from the set-up (or the hand-over) to the report of the end."""
        key = (s.told.cls, s.told.title)
        self.seats[key] = self.seats.get(key, 0) + sign
        if not self.seats[key]:
            del self.seats[key]
        for pipe in s.box.pipes if s.box else ():
            pipe.change(self.now, sign * s.kb)
            pipe.want = [w + sign * r for w, r in zip(pipe.want, s.plan.rates, strict=True)]

    def set_rung(self, s: Session, rung: int, told: bool = False) -> None:
        if not told:
            self.out.append(i.SetRung(s.told.id, rung))
            s.changed_at = self.now
        for pipe in s.box.pipes if s.box else ():
            pipe.change(self.now, s.plan.kb[rung] - s.kb)
        s.rung, s.kb = rung, s.plan.kb[rung]

    def may_retry(self, s: Session) -> bool:
        spent = s.attempts >= self.settings.max_attempts or s.deadline - self.now < MIN_ATTEMPT_MS
        if spent or (s.maybe_ran and s.cls.repeat != Repeat.SAFE):
            return False
        if s.attempts == 0 or self.settings.retry_free is None:
            return True
        since = self.now - self.settings.retry_span_ms
        for times in (self.taken, self.retried):
            while times and times[0] <= since:
                times.popleft()
        return len(self.retried) + 1 <= self.settings.retry_free + self.settings.retry_share * len(self.taken)

    def give_up(self, s: Session) -> None:
        """The final answer, at once: refused where no attempt can have run or that does no harm."""
        if s.maybe_ran and s.cls.repeat != Repeat.SAFE:
            self.out.append(i.Fail(s.told.id))
        else:
            pause = self.settings.max_pause_ms if self.settings.pause_advice else 0.0
            self.out.append(i.Refuse(s.told.id, pause))
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

    def on_ended(self, event: i.AttemptEnded) -> None:
        s = self.sessions.get(event.id)
        box = s.box if s else self.boxes.get(event.server)
        if box:
            self.read_report(box, event.report)
        if s is None:
            return
        self.detach(s)
        if box and event.outcome == Outcome.FULL:
            box.link.hear(self.now, max(self.settings.full_from, 1.0), 0.0)
        elif box and event.outcome in BLAME:
            self.blame(box, *BLAME[event.outcome])
        if s.playing and box:
            if event.outcome == Outcome.OK:
                self.length_ms += GAIN * (self.now - s.started - self.length_ms)
            if s.premium:
                self.restore(box)
        if event.closed or s.gone:
            del self.sessions[event.id]
            return
        s.maybe_ran |= event.outcome not in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
        if self.may_retry(s):
            self.place(s)
        else:
            self.give_up(s)

    def read_report(self, box: Box, report: tuple[float, ...]) -> None:
        for name, value in zip(self.settings.report_fields, report, strict=False):
            if name == "x0" or (name == "utilization" and value < 0.99):
                box.link.hear(self.now, value, TICK_MS)
            elif name == "x1" and box.uplink:
                box.uplink.hear(self.now, value, TICK_MS)

    def on_viewer_gone(self, event: i.ViewerGone) -> None:
        s = self.sessions.get(event.id)
        if s:  # an attempt that is out is kept until its end is reported
            s.gone = True
            if s.box is None:
                del self.sessions[event.id]

    def on_handed_over(self, event: i.HandedOver) -> None:
        told = event.session
        s = self.session(told, False)
        s.playing, s.attempts, s.part = True, 1, "pool"
        box = self.boxes.get(event.server)
        if box is None:  # not on the list that came with the start: keep its session, send nothing there
            told_box = i.Server(event.server, 0, 1.0, 0, told.first_cell, 0.0, ServerState.GONE)
            box = self.new_box(told_box, self.places(told_box))
        box.proven = True
        self.attach(s, box)

    # Notes and rung control

    def on_note(self, event: i.Note) -> None:
        s = self.sessions.get(event.id)
        if s is None or s.box is None:
            return
        box = s.box
        lag = 0.0 if s.first_note and s.attempts else self.settings.told_late_ms
        if event.kind == i.NoteKind.RUNG:
            self.set_rung(s, int(event.value), told=True)
        elif event.kind == i.NoteKind.LINK:
            box.link.hear(self.now, event.value, lag)
        elif event.kind == i.NoteKind.UPLINK and box.uplink:
            box.uplink.hear(self.now, event.value, lag)
        elif event.kind == i.NoteKind.SHARE:
            self.on_share(box, event.value)
        # The notes at set-up tell of now; that of the link comes first, then the uplink's.
        s.first_note &= event.kind == i.NoteKind.LINK and "x1" in self.settings.report_fields

    def on_share(self, box: Box, share: float) -> None:
        box.share, box.share_at = share, self.now
        if share < STALLED_SHARE:  # it stands still: no matter of rates
            self.blame(box, EVIDENCE_BAR, False)
            return
        # An uplink falls short for all its servers alike, a link for one: the best-served server tells.
        best, mates = share, 0
        for mate in self.boxes.values():
            since = min((s.started for s in mate.sessions.values() if s.playing), default=self.now)
            if mate.uplink is box.uplink and self.now - since > SHARE_FRESH_MS:
                mates += 1
                best = max(best, mate.share if self.now - mate.share_at < SHARE_FRESH_MS else 1.0)
        if box.uplink and best < SHORT and (mates > 1 or box.link.load() * best < EXPLAINED):
            self.found_short(box.uplink, best)
        elif share < SHORT:
            self.found_short(box.link, share)

    def found_short(self, pipe: Pipe, share: float) -> None:
        """A shortfall that the told use does not explain: reports stay out or lie, or none are made.

        It stands for the report. What comes within the hold still tells of before the cut. It would do
        harm where viewers' own networks were counted as the server's shortfall.
        """
        if self.now - pipe.short_at < SHORT_HOLD_MS or (not pipe.limit and pipe.load() * share > EXPLAINED):
            return
        pipe.short_at = self.now
        if pipe.limit:
            pipe.limit = share * pipe.own_at(self.now - self.settings.told_late_ms)
        else:
            pipe.hear(self.now, 1 / share, self.settings.told_late_ms)

    def on_tick(self, _: i.TimerDue) -> None:
        self.out.append(i.SetTimer(0, TICK_MS))
        for up in self.racks.values():
            most = max(up.cap / self.settings.fronts, LIMIT_OVER * up.own)
            if self.now - up.short_at > SHORT_HOLD_MS and up.limit < most:
                up.limit *= 1 + REGAIN
        for box in self.boxes.values():
            if self.now >= box.quota_at:
                self.set_quota(box)
            self.control(box)

    def control(self, box: Box) -> None:
        """Rung control: cut to the level that fits when a pipe is over-asked, lift one when room stays."""
        playing = [s for s in box.sessions.values() if s.playing]
        level = self.level(box, None)
        over = [p for p in box.pipes if p.own > CUT_ABOVE * self.budget(p)]
        if over:
            for s in sorted(playing, key=lambda s: s.plan.worth):
                if s.rung > s.plan.rungs[level] and self.now - s.changed_at > DWELL_DOWN_MS:
                    self.set_rung(s, s.plan.rungs[level])
                    if self.room(box) >= 0:
                        return
            return
        room = self.lift_room(box)
        dwell = 1000 * DWELL_UP * self.settings.switch_cost_s
        ready = [s for s in playing if s.rung < s.plan.top and self.now - s.changed_at > dwell]
        for s in sorted(ready, key=lambda s: -s.plan.prices[s.rung - s.plan.floor]):
            for rung in range(max(s.plan.rungs[level], s.rung + 1), s.rung, -1):
                if s.plan.kb[rung] - s.kb <= room:
                    self.set_rung(s, rung)
                    return

    def lift_room(self, box: Box) -> float:
        return min(LIFT_BELOW * self.budget(p) - p.own for p in box.pipes)
