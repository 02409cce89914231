"""The decisions of one front: which sessions play, on which server and at which rung.

Times are in milliseconds, rates in kB/s. The admission of premium and low sessions follows Method II of the
paper on dynamic quota based admission; health, cold starts, retries and rung control are added to it.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import replace
from itertools import islice
from operator import mul
from random import Random
from typing import Any

from lemonhall import interface
from lemonhall.interface import Outcome, Repeat, ServerState

ALPHA = 2  # low sessions sub-rated for one premium session (alpha of the paper)
QUOTA_PERIOD_MS = 5000.0  # between two computations of a server's quotas
MIN_ARRIVALS = 6.0  # decayed count of arrivals below which all slots stay in the pool
MAX_RESERVE_STEPS = 32  # steps in which reserves are enumerated; with more slots a step is several of them
MAX_CACHED_QUOTAS = 256  # quotas kept by their loads
TENANT_BURST_S = 5.0  # by which a tenant may be ahead of its configured rate
TENANT_BURST_SESSIONS = 3.0  # and by so many sessions more: what one front sees of a rate is random
ARRIVAL_WINDOW_MS = 60000.0  # one of many fronts sees only a few arrivals in a minute
EWMA_WEIGHT = 0.1  # of the newest value in running means of set-up times, session lengths and worths
INITIAL_SESSION_MS = 40000.0  # mean session length until one has ended; it only scales the quotas
TARGET_USE = 1.0  # of a link or uplink; rungs are raised below it and lowered above it
FULL_USE_MARGIN = 0.92  # of the link use at which a server refuses set-ups
INITIAL_USE = 0.75  # of the fleet until the first report, so that a new front fills servers cautiously
INITIAL_USE_DEVIATION = 0.2  # of that use between servers
REPORT_FADE_MS = 30000.0  # in which a report loses its weight: most of a session's length
MIN_ESTIMATED_ROOM = 0.1  # of an uplink that is only estimated: a front without sessions gets no reports
REPORT_WEIGHT = 0.6  # of the newest report against the older ones, because reports are noisy
REPORT_STALE_MS = 10000.0  # age from which a report causes no change of rungs
CONTROL_PERIOD_MS = 500.0
LOWER_ABOVE = 1.05  # use over target at which rungs are lowered; reports vary by a few per cent
RAISE_BELOW = 0.9  # part of the target that raised rungs may fill: room for arrivals, and hysteresis
SHORTFALL_HOLD_MS = 2500.0  # two periods of the reports of a shortfall (1 s each) and their delay
SHORTFALL_SHARE = 0.98  # delivered share below which a session loses worth
EXPLAINED = 0.9  # reported use times delivered share above which the use explains a shortfall
LIMIT_GROWTH = 0.01  # of an estimated limit in each control period, to test whether it still holds
MAX_STEP_BIAS = 2.0  # of the change by sessions that are off the common price level
MAX_LIMIT_OVER_USE = 1.2  # because an estimated limit far above the own use is untested
RAISE_DWELL = 20.0  # switch costs that a rung must last before it is raised, to repay the switch
LOWER_DWELL_MS = 4000.0  # in which a report can show the effect of the last lowering
EJECTION_SCORE = 1.5  # failure score at which a server is ejected: two failures nearly in a row
MAX_SCORE_FOR_PAID = 0.5  # failure score above which a server gets no paid session
BACKOFF_MS = 1500.0  # first ejection; doubles up to the maximum
MAX_BACKOFF_MS = 8000.0
DOWN_OUTCOMES = (Outcome.CONNECT_FAILED, Outcome.RESET)  # the process is down: one ejects the server
SUSPECT_OUTCOMES = (Outcome.TIMEOUT, Outcome.ERROR)  # each adds 1 to the failure score
STALLED_SHARE = 0.15  # delivered share below which a server is taken to have stalled
INITIAL_SET_UP_MS = 150.0  # mean set-up time until one is known
TIMEOUT_DEVIATIONS = 4.0  # over the mean set-up time, until an attempt times out
MIN_ATTEMPT_MS = 120.0  # remaining time below which no further attempt is made
COLD_GAP_MARGIN = 1.3  # gap between set-ups of all fronts to a cold server, over the gap that it needs
COLD_SURGE = 4.0  # growth of the request rate to allow for, as when many viewers reconnect
MAX_EXAMINED = 16  # servers examined for one request; if all are full or ejected, it may be refused


def erlang_blocking(load: float, slots: int) -> list[float]:
    """Blocking probabilities of M/M/n/n for n = 0..slots, by the Erlang B recurrence; `load` in erlangs."""
    blocking = [1.0]
    for n in range(1, slots + 1):
        b = load * blocking[-1]
        blocking.append(b / (n + b))
    return blocking


def best_reserves(slots: int, high: float, low: float, v_high: float, v_low: float) -> tuple[int, int]:
    """The reserves (premium, low) with the highest pay-off by Method II of the paper, found by enumeration.

    `high` and `low` are loads in erlangs, `v_high` and `v_low` worths, which are also the penalties. The
    carried load a(1 - B) replaces the paper's inner sums. The cost grows with the cube of the slots, so with
    many slots only multiples of a grain are tried, which the paper does not do.
    """
    grain = -(-slots // MAX_RESERVE_STEPS)
    block_h, block_l = erlang_blocking(high, slots), erlang_blocking(low, slots)
    best, choice = float("-inf"), (0, 0)
    low_over = [low * block_l[n] for n in range(slots + 1)]
    low_tables = [erlang_blocking(low_over[n], slots - n) for n in range(0, slots + 1, grain)]
    for n_h in range(0, slots + 1, grain):
        over_h = high * block_h[n_h]
        sub_rating = erlang_blocking(over_h, slots // ALPHA)
        gain = [over_h * ((1 - b) * (v_high - v_low) - b * v_high) for b in sub_rating]
        gains = [gain[n // ALPHA] for n in range(slots, -1, -1)]
        terms = [1.0]
        for n in range(1, slots - n_h + 1):
            terms.append(terms[-1] * over_h / n)
        for n_l in range(0, slots - n_h + 1, grain):
            pool = slots - n_h - n_l
            over_l, blocked = low_over[n_l] * v_low, low_tables[n_l // grain][pool::-1]
            weight = sum(terms[: pool + 1])
            passed = list(map(mul, terms, blocked))  # n premium sessions in the pool, and low ones blocked
            value = sum(map(mul, passed, gains[slots - pool :])) - 2 * over_l * sum(passed)
            pay_off = (value + v_high * over_h * sum(terms[:pool])) / weight + over_l
            pay_off += high * (1 - block_h[n_h]) * v_high + low * (1 - block_l[n_l]) * v_low
            if pay_off > best + 1e-9:
                best, choice = pay_off, (n_h, n_l)
    return choice


class DemandCurve:
    """The rung that sessions of a class take at each price (worth for a kB/s): the highest that earns it."""

    def __init__(
        self, cls: interface.SessionClass, worth: float, top: int, settings: interface.Settings
    ) -> None:
        self.floor = cls.floor
        self.top = max(cls.floor, min(top, cls.top, len(settings.ladder_kb) - 1))
        self.worth = worth
        self.kb = [rate * cls.scale for rate in settings.ladder_kb]  # of each rung
        self.rungs, self.rates = list[int](), list[float]()  # at each price level
        self.prices: list[float] = []  # of the step to each rung above the floor, falling
        for r in range(self.floor + 1, self.top + 1):
            gain = worth * (settings.ladder_worth[r] - settings.ladder_worth[r - 1])
            self.prices.append(gain / max(1e-9, self.kb[r] - self.kb[r - 1]))
        # A step that earns more than the one below it must not be cut off by that one.
        self.prices = [max(self.prices[n:]) for n in range(len(self.prices))]


class Link:
    """A server's link or a rack's uplink: its capacity, this front's use and the estimated use by others."""

    def __init__(
        self, capacity_kb: float, levels: int, fleet_use: list[float], target_use: float = TARGET_USE
    ) -> None:
        self.capacity_kb, self.target_use = capacity_kb, target_use
        # Others' use of all links of the kind, shared: mean, deviation, mean jump, time of the last report.
        self.fleet_use = fleet_use
        self.is_reported = True  # whether reports give its total use; else the links of its rack are samples
        self.full_use_kb = capacity_kb  # at a use of 1; without reports, that of all links of its rack
        self.own_kb = 0.0
        self.loads_kb = [0.0] * levels  # rates of this front's sessions at each price level
        # (time of a change, own use before it): reports are late.
        self.own_history = deque[tuple[float, float]](maxlen=256)
        self.others_kb = 0.0
        self.reported_own_kb = 0.0  # own use that the last report includes
        self.own_limit_kb = 0.0  # of own use, where reports do not give the total use
        self.shortfall_at = float("-inf")  # last shortfall that the reported use does not explain
        self.reported_at = float("-inf")

    def change_own(self, now: float, kb: float) -> None:
        """Adds `kb` to this front's use."""
        self.own_history.append((now, self.own_kb))
        self.own_kb = max(0.0, self.own_kb + kb)

    def record_use(self, now: float, total_kb: float, age_ms: float, weight: float = REPORT_WEIGHT) -> None:
        """Takes a report of the total use, as it was `age_ms` ago, less the own use at that time."""
        previous = self.others_use(now)
        self.reported_own_kb = next((own for at, own in self.own_history if at > now - age_ms), self.own_kb)
        others = max(0.0, total_kb - self.reported_own_kb)
        if self.is_reported and others > previous + self.fleet_use[2] * self.full_use_kb:
            weight = 1.0  # a rise above the usual jump is not noise, so it is not smoothed
        if self.is_reported:
            self.fleet_use[3] = now
            error, jump = (
                others / self.full_use_kb - self.fleet_use[0],
                abs(others - self.others_kb) / self.full_use_kb,
            )
            self.fleet_use[0] += EWMA_WEIGHT * error
            self.fleet_use[1] += EWMA_WEIGHT * (abs(error) - self.fleet_use[1])
            if now - self.reported_at < REPORT_STALE_MS:
                self.fleet_use[2] += EWMA_WEIGHT * (jump - self.fleet_use[2])
        self.others_kb = (
            others if self.reported_at == float("-inf") else weight * others + (1 - weight) * previous
        )
        self.reported_at = now

    def others_use(self, now: float) -> float:
        """Use by other fronts: the last report, which the mean of the fleet replaces as it ages."""
        kept = max(0.0, 1 - (now - self.reported_at) / REPORT_FADE_MS)
        mean = (
            self.fleet_use[0]
            if now - self.fleet_use[3] < REPORT_FADE_MS
            else min(INITIAL_USE, self.fleet_use[0])
        )
        return kept * self.others_kb + (1 - kept) * mean * self.full_use_kb

    def room(self, now: float) -> float:
        """Rate that may be added, negative if the use exceeds the target."""
        use = self.own_kb + self.others_use(now)
        # An estimate alone must not refuse sessions.
        room = max(
            self.target_use * self.capacity_kb - use,
            -9e99 if self.is_reported else MIN_ESTIMATED_ROOM * self.capacity_kb,
        )
        return (
            room
            if self.is_reported or not self.own_kb
            else min(room, use * (self.own_limit_kb / self.own_kb - 1))
        )

    def uncertainty(self, now: float) -> float:
        """By how much the use may exceed the estimate: the usual jump, and more as the report ages."""
        age = min(1.0, (now - self.reported_at) / REPORT_FADE_MS)
        return (self.fleet_use[2] + age * self.fleet_use[1]) * self.full_use_kb * self.is_reported

    def has_usual_room(self, now: float) -> bool:
        """Whether it has the room that is assumed of a link without reports, less the deviation."""
        return self.room(now) >= (self.target_use - self.fleet_use[0] - self.fleet_use[1]) * self.capacity_kb

    def headroom(self, margin_kb: float = 0.0) -> float:
        """The target, less a margin, over the total use at the last report."""
        return max(0.0, self.target_use * self.capacity_kb - margin_kb) / max(
            1.0, self.others_kb + self.reported_own_kb
        )


class MediaServer:
    """A listed server, or one with sessions that is not listed any more."""

    def __init__(self, entry: interface.Server, link: Link, uplink: Link | None, now: float) -> None:
        self.entry, self.link, self.uplink = entry, link, uplink
        self.links = [link] if uplink is None else [link, uplink]
        self.sessions: dict[int, Session] = {}
        self.quota, self.quota_due_at, self.slot_kb = (0, 0), now, 1.0  # slots reserved: premium, low
        # Random, drawn with each report; rounds this front's share of a change to whole rungs.
        self.rounding_draw = 0.5
        self.delivered_share, self.delivered_share_at = 1.0, float("-inf")  # last reported, of the rates
        self.failure_score, self.ejected_until, self.backoff_ms = 0.0, float("-inf"), BACKOFF_MS
        self.failed_at = self.cold_until = self.last_set_up_at = float("-inf")


class Session:
    """A session from its request until its final answer, or until the end of its last attempt is reported."""

    def __init__(
        self, request: interface.NewSession, cls: interface.SessionClass, demand: DemandCurve, now: float
    ) -> None:
        self.request, self.cls, self.demand, self.advice = request, cls, demand, request.advice
        self.deadline, self.started_at, self.rung_changed_at = now + request.left_ms, now, float("-inf")
        self.premium = self.playing = self.viewer_gone = self.maybe_ran = self.rung_adjusted = False
        self.paid = cls.repeat != Repeat.SAFE
        self.assigned_server: MediaServer | None = None
        self.rung, self.kb = demand.floor, 0.0
        self.allocation = ""  # "reserve" or "pool"
        self.sub_rated_from: int | None = None
        self.was_sub_rated = False  # a session is sub-rated only once
        self.attempts, self.tried = 0, list[int]()
        self.error_servers = list[MediaServer]()  # that answered its set-up with an error


class Front:
    """The decision module of one front. Reasons of decisions are added to `why`, unless it is None."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.settings, self.random, self.now = settings, Random(seed), 0.0
        self.uplinks_estimated = "x1" not in settings.report_fields  # their use is not reported
        self.actions: list[interface.Action] = []
        self.why: list[interface.Reason] | None = None
        self.tracked_servers: dict[int, MediaServer] = {}
        self.server_list: list[MediaServer] = []  # the same, for random draws
        self.servers_by_cell: dict[int, list[MediaServer]] = {}
        self.servers_in_use: dict[MediaServer, None] = {}  # with own sessions; no loop visits all servers
        first = INITIAL_USE * (settings.fronts - 1) / settings.fronts
        # Of links and of uplinks; see `Link.fleet_use`.
        self.fleet_use = ([first, INITIAL_USE_DEVIATION, 0.0, 0.0], [first, INITIAL_USE_DEVIATION, 0.0, 0.0])
        self.sessions: dict[int, Session] = {}
        self.seats_taken = Counter[tuple[int, int]]()  # by class and title
        self.first_call_at: float | None = None
        self.list_fresh = False
        self.lowest_worth = min(c.worth for c in settings.classes)
        self.arrivals, self.arrivals_at = [0.0, 0.0], 0.0  # decayed counts: low, premium
        self.mean_worths = [self.lowest_worth, self.lowest_worth]  # low, premium
        self.mean_session_ms, self.sessions_ended = INITIAL_SESSION_MS, 0
        self.own_kb, self.own_premium_kb, self.all_links_kb = 0.0, 0.0, 0.0
        self.observed_ms = 0.0  # time that `arrivals` stand for
        self.mean_set_up_ms, self.set_up_deviation_ms = INITIAL_SET_UP_MS, INITIAL_SET_UP_MS / 2
        self.cached_quotas: dict[tuple[int, int, int], tuple[int, int]] = {}  # by slots and loads
        self.request_times, self.retry_times = deque[float](maxlen=9999), deque[float](maxlen=9999)
        self.tenant_tokens: dict[int, tuple[float, float]] = {}  # tokens and time of update
        self.demands: dict[tuple[int, int, int], DemandCurve] = {}
        for n, cls in enumerate(settings.classes):
            for over, factor in enumerate((1.0, settings.over_share_worth)):
                for top in range(len(settings.ladder_kb)):
                    self.demands[n, over, top] = DemandCurve(cls, cls.worth * factor, top, settings)
        self.handlers: dict[type, Callable[[Any], None]] = {
            interface.NewSession: self.on_new_session,
            interface.AdviceChanged: self.on_advice_changed,
            interface.FleetChanged: self.on_fleet_changed,
            interface.Note: self.on_note,
            interface.Playing: self.on_playing,
            interface.AttemptEnded: self.on_attempt_ended,
            interface.HandedOver: self.on_handed_over,
            interface.LearnedState: self.on_learned_state,
            interface.ViewerGone: self.on_viewer_gone,
            interface.TimerDue: self.on_timer_due,
        }
        prices = {0.0, *(p for demand in self.demands.values() for p in demand.prices)}
        self.price_levels = [p * (1 + 1e-9) for p in sorted(prices)]
        for demand in self.demands.values():
            demand.rungs = [
                demand.floor + sum(p >= level for p in demand.prices) for level in self.price_levels
            ]
            demand.rates = [demand.kb[r] for r in demand.rungs]
        self.uplinks: dict[int, Link] = {}  # by rack
        for n in range(settings.racks if settings.uplink_kb else 0):
            up = self.uplinks[n] = Link(
                settings.uplink_kb, len(self.price_levels), self.fleet_use[not self.uplinks_estimated]
            )
            up.is_reported, up.full_use_kb, up.own_limit_kb = (
                not self.uplinks_estimated,
                up.full_use_kb * (not self.uplinks_estimated),
                up.capacity_kb / settings.fronts,
            )
        # Of all own sessions, which are a sample of the sessions of all fronts.
        self.loads_kb = [0.0] * len(self.price_levels)

    def handle(self, now: float, events: list[interface.Event]) -> list[interface.Action]:
        """Decides on events that happened up to `now`. The first call starts the control timer."""
        self.now, self.actions = now, []
        if self.first_call_at is None:
            self.first_call_at = self.arrivals_at = now
            self.actions.append(interface.SetTimer(0, CONTROL_PERIOD_MS))
            self.actions += [interface.Subscribe(True)] * self.settings.subscribes
        for event in events:  # a server list holds for all decisions of its batch
            if isinstance(event, interface.ServerList):
                self.on_server_list(event)
        for event in events:
            if act := self.handlers.get(type(event)):
                act(event)
        return self.actions

    def explain(
        self, session: Session, server: MediaServer | None, code: interface.ReasonCode, value: float = 0.0
    ) -> None:
        """Adds a reason to `why`, if reasons are collected."""
        if self.why is not None:
            age_ms = self.now - server.link.reported_at if server else 0.0
            self.why.append(
                interface.Reason(session.request.id, server.entry.id if server else 0, code, value, age_ms)
            )

    def on_server_list(self, event: interface.ServerList) -> None:
        """Tracks the listed servers. A restart resets the health of a server, a new cell all its state."""
        if event.kind == interface.ListKind.FAILED:
            self.actions.append(interface.Subscribe(True))
            return
        self.list_fresh |= event.kind != interface.ListKind.CACHED
        if event.kind != interface.ListKind.CHANGES:
            listed = {s.id for s in event.servers}
            for number in [n for n in self.tracked_servers if n not in listed]:
                self.index_server(self.tracked_servers.pop(number), -1)
        sizes = [self.server_places(s) for s in event.servers] + [
            self.server_places(s.entry) for s in self.server_list
        ]
        mean_places = sum(sizes) / max(1, len(sizes))
        for entry in event.servers:
            known = self.tracked_servers.get(entry.id)
            if known and entry.state != ServerState.GONE and entry.cell == known.entry.cell:
                if entry.ready_at != known.entry.ready_at:  # it has restarted
                    known.failure_score, known.backoff_ms = 0.0, BACKOFF_MS
                    known.ejected_until = known.failed_at = float("-inf")
                known.entry = entry
                continue
            if known:  # its sessions are kept until their ends are reported
                self.index_server(self.tracked_servers.pop(entry.id), -1)
            if entry.state != ServerState.GONE:
                self.tracked_servers[entry.id] = self.track_server(entry, mean_places)
                self.index_server(self.tracked_servers[entry.id], 1)

    def index_server(self, server: MediaServer, sign: int) -> None:
        """Adds (`sign` 1) or removes (-1) a server from the tables for random draws and the sums of links."""
        for group in (self.server_list, self.servers_by_cell.setdefault(server.entry.cell, [])):
            (group.append if sign > 0 else group.remove)(server)
        self.all_links_kb += sign * server.link.capacity_kb
        if server.uplink:
            server.uplink.full_use_kb += sign * server.link.capacity_kb * self.uplinks_estimated

    def server_places(self, entry: interface.Server) -> int:
        """Streams that a server of its kind may run; of an unknown kind, as of the smallest."""
        table = self.settings.places_by_kind
        return table[entry.kind] if entry.kind < len(table) else max(1, min(table))

    def track_server(self, entry: interface.Server, mean_places: float) -> MediaServer:
        """A server without sessions, with a link of the size that its weight or its kind gives."""
        size = entry.weight if self.settings.weights_are_sizes else self.server_places(entry) / mean_places
        target_use = min(TARGET_USE, FULL_USE_MARGIN * self.settings.full_from or TARGET_USE)
        link_kb = max(1.0, self.settings.link_kb_per_weight * size)
        link = Link(link_kb, len(self.price_levels), self.fleet_use[0], target_use)
        uplink = self.uplinks.get(entry.cell % max(1, self.settings.racks))
        return MediaServer(entry, link, uplink, self.now + self.random.random() * QUOTA_PERIOD_MS)

    def on_new_session(self, event: interface.NewSession) -> None:
        """Places a session or rejects it at once, if a paid one may have run or advice refuses it."""
        session = self.add_session(event, self.exceeds_tenant_rate(event.tenant))
        self.request_times.append(self.now - event.waited_ms)
        self.arrivals[session.premium] += 1.0
        self.mean_worths[session.premium] += EWMA_WEIGHT * (
            session.demand.worth - self.mean_worths[session.premium]
        )
        session.maybe_ran = event.maybe_ran
        rejected = (session.maybe_ran and session.paid) or (event.advice.refuse and not event.moved)
        (self.reject_session if rejected else self.place_session)(session)

    def memory(self) -> interface.LearnedState:
        """What this front knows of the servers and their sessions, for a successor or its own restart."""
        servers = tuple(
            interface.LearnedServerState(
                s.entry.id,
                s.entry.ready_at,
                s.failure_score,
                s.ejected_until,
                s.failed_at,
                s.link.others_kb,
                s.link.reported_at,
            )
            for s in self.server_list
        )
        return interface.LearnedState(
            self.now,
            self.mean_session_ms,
            self.sessions_ended,
            self.mean_set_up_ms,
            self.set_up_deviation_ms,
            servers,
        )

    def on_learned_state(self, event: interface.LearnedState) -> None:
        """Takes over learned state, but not of servers that have restarted. Link reports keep their times."""
        kept = max(0.0, 1 - (self.now - event.recorded_at) / ARRIVAL_WINDOW_MS)
        self.mean_session_ms, self.sessions_ended = event.mean_session_ms, event.sessions_ended
        self.mean_set_up_ms, self.set_up_deviation_ms = event.mean_set_up_ms, event.set_up_deviation_ms
        for learned in event.servers:
            server = self.tracked_servers.get(learned.server)
            if server and server.entry.ready_at == learned.ready_at:
                server.failure_score, server.ejected_until, server.failed_at = (
                    kept * learned.failure_score,
                    learned.ejected_until,
                    learned.failed_at,
                )
                if learned.updated_at > server.link.reported_at:
                    server.link.others_kb, server.link.reported_at = (
                        learned.other_fronts_kb,
                        learned.updated_at,
                    )

    def on_advice_changed(self, event: interface.AdviceChanged) -> None:
        """A session that plays above the new cap is lowered to it, but never below its floor."""
        session = self.sessions.get(event.id)
        if session is None:
            return
        session.advice, server, over = (
            event.advice,
            session.assigned_server,
            session.demand.worth < session.cls.worth,
        )
        self.detach_session(session)
        session.demand = self.demands[
            session.request.cls, over, self.top_rung(session.request, session.advice)
        ]
        if server:
            self.attach_session(session, server)
            if session.playing and session.rung > session.demand.top:
                self.set_rung(session, session.demand.top)
            if event.advice.move and session.playing and not session.paid:
                self.actions.append(interface.Move(session.request.id))

    def on_fleet_changed(self, event: interface.FleetChanged) -> None:
        """Quotas, slow starts and uplinks are divided by the new number of fronts."""
        if event.fronts >= 1:
            index = min(max(0, event.index), event.fronts - 1)
            self.settings = replace(self.settings, fronts=event.fronts, index=index)

    def top_rung(self, request: interface.NewSession, advice: interface.Advice) -> int:
        """The highest rung that the viewer and the advice allow."""
        return max(0, min(request.top, advice.cap, len(self.settings.ladder_kb) - 1))

    def add_session(self, event: interface.NewSession, over: bool) -> Session:
        """Registers a session. `over`: its tenant exceeds its rate, so it counts for less worth."""
        demand = self.demands[event.cls, over, self.top_rung(event, event.advice)]
        session = self.sessions[event.id] = Session(event, self.settings.classes[event.cls], demand, self.now)
        session.premium = demand.worth > self.lowest_worth
        return session

    def exceeds_tenant_rate(self, tenant: int) -> bool:
        """Takes a token from a bucket that fills at this front's share of the tenant's configured rate."""
        tenants = self.settings.tenants[tenant : tenant + 1]
        rate = sum(t.quota_per_s for t in tenants) / self.settings.fronts
        if rate <= 0:
            return False
        capacity = rate * TENANT_BURST_S + TENANT_BURST_SESSIONS
        tokens, updated_at = self.tenant_tokens.get(tenant, (capacity, self.now))
        tokens = min(capacity, tokens + rate * (self.now - updated_at) / 1000)
        over = tokens < 1
        self.tenant_tokens[tenant] = (tokens if over else tokens - 1, self.now)
        return over

    def arrival_rate(self) -> float:
        """Arrivals at this front per millisecond, after decay of the counts."""
        kept = max(0.0, 1 - (self.now - self.arrivals_at) / ARRIVAL_WINDOW_MS)
        self.arrivals = [c * kept for c in self.arrivals]
        self.observed_ms = kept * self.observed_ms + self.now - self.arrivals_at
        self.arrivals_at = self.now
        return max(1.0, sum(self.arrivals)) / max(1.0, self.settings.reports_every_ms, self.observed_ms)

    def update_quota(self, server: MediaServer) -> None:
        """Sets the reserves by Method II. With few arrivals, as on a new front, all slots are in the pool."""
        server.quota_due_at = self.now + QUOTA_PERIOD_MS
        self.arrival_rate()
        level, number = self.price_level(server, None), len(self.sessions)
        middle_kb = self.settings.ladder_kb[len(self.settings.ladder_kb) // 2]
        server.slot_kb = max(1.0, self.loads_kb[level] / number if self.own_kb and number else middle_kb)
        if sum(self.arrivals) < MIN_ARRIVALS or self.mean_worths[1] <= self.mean_worths[0]:
            server.quota = (0, 0)
            return
        # Of one server, for each counted arrival at this front: all fronts, and the mean session length.
        erlangs = (
            self.settings.fronts
            / max(1, len(self.tracked_servers))
            * self.mean_session_ms
            / max(1.0, self.observed_ms)
        )
        slots = max(
            1,
            min(
                self.server_places(server.entry),
                int(server.link.target_use * server.link.capacity_kb / server.slot_kb),
            ),
        )
        key = (slots, round(self.arrivals[1] * erlangs * 2), round(self.arrivals[0] * erlangs * 2))
        if key not in self.cached_quotas:
            if len(self.cached_quotas) >= MAX_CACHED_QUOTAS:  # loads vary, so it would grow without end
                self.cached_quotas.clear()
            self.cached_quotas[key] = best_reserves(
                slots, key[1] / 2, key[2] / 2, self.mean_worths[1], self.mean_worths[0]
            )
        server.quota = self.cached_quotas[key]

    def room(self, server: MediaServer) -> float:
        """Rate that may be added to the server's link and uplink."""
        return min(link.room(self.now) for link in server.links)

    def price_level(self, server: MediaServer, demand: DemandCurve | None) -> int:
        """The lowest price level at which `demand` and all sessions there fit into the links.

        Sessions of other fronts are taken to have the same mix of demands as those of this front.
        """
        level, more = 0, demand.rates if demand else [0.0] * len(self.price_levels)
        for link in server.links:
            others = link.others_use(self.now) / self.own_kb if self.own_kb else 0.0
            most, last = link.target_use * link.capacity_kb, len(self.price_levels) - 1
            while level < last and link.loads_kb[level] + others * self.loads_kb[level] + more[level] > most:
                level += 1
        return level

    def place_session(self, session: Session) -> None:
        """Tries two servers, for a reserve or the pool, then by sub-rating; else the session is rejected."""
        if (
            session.cls.seats
            and self.seats_taken[session.request.cls, session.request.title] >= session.cls.seats
        ):
            self.explain(session, None, interface.ReasonCode.NO_SEAT, session.cls.seats)
            self.reject_session(session)
            return
        # Where more requests may rely on one report than fit, each does so with the matching probability.
        period_ms, fronts = self.settings.reports_every_ms or REPORT_STALE_MS, self.settings.fronts
        competing = min(fronts, self.arrival_rate() * fronts * period_ms / max(1, len(self.tracked_servers)))
        pair, draw = self.pick_servers(session), self.random.random()
        for server in pair:
            margin_kb = max(link.uncertainty(self.now) for link in server.links)
            best = min(
                session.demand.rungs[self.price_level(server, session.demand)],
                max(session.demand.floor, session.advice.start),
            )
            for rung in range(best, session.demand.floor - 1, -1):
                kb = session.demand.kb[rung]
                needed_kb = kb + margin_kb if rung > session.demand.floor else max(kb, kb * draw * competing)
                if allocation := self.find_allocation(server, session.premium, needed_kb):
                    self.explain(session, server, interface.ReasonCode[allocation.upper()], kb)
                    self.send_set_up(session, server, rung, allocation)
                    return
            self.explain(
                session, server, interface.ReasonCode.NO_ROOM, session.demand.kb[session.demand.floor]
            )
        for server in pair:
            if session.premium and self.sub_rate(server, session):
                self.explain(
                    session, server, interface.ReasonCode.SUB_RATED, session.demand.kb[session.demand.floor]
                )
                self.send_set_up(session, server, session.demand.floor, "pool")
                return
        self.reject_session(session)

    def find_allocation(self, server: MediaServer, premium: bool, kb: float) -> str:
        """Where a session of this rate fits: "reserve" of its class, else "pool", else "" for nowhere."""
        room_kb = self.room(server)
        if room_kb < kb:
            return ""
        if self.now >= server.quota_due_at:
            self.update_quota(server)
        others_kb = server.link.others_use(self.now)  # assumed to have the same part of premium sessions
        premium_part = self.own_premium_kb / self.own_kb if self.own_kb else 0.0
        premium_kb = sum(session.kb for session in server.sessions.values() if session.premium)
        used_kb = (
            premium_kb + premium_part * others_kb,
            server.link.own_kb - premium_kb + (1 - premium_part) * others_kb,
        )
        unused_kb = [
            max(0.0, slots * server.slot_kb - use) for slots, use in zip(server.quota, used_kb, strict=True)
        ]
        if room_kb - unused_kb[premium] < kb:  # the rest is reserved for the other class
            return ""
        # Rates do not divide evenly into slots, so half a rate is enough.
        return "reserve" if unused_kb[not premium] >= kb / 2 else "pool"

    def sub_rate(self, server: MediaServer, session: Session) -> bool:
        """Lowers up to `ALPHA` low sessions of the pool if that frees the rate of the premium session."""
        needed_kb = session.demand.kb[session.demand.floor] - max(0.0, self.room(server))
        able = [s for s in server.sessions.values() if s.playing and not (s.premium or s.was_sub_rated)]
        pool = [low for low in able if low.allocation == "pool"]
        chosen = sorted(pool, key=lambda low: low.demand.kb[low.demand.floor] - low.kb)[:ALPHA]
        if sum(low.kb - low.demand.kb[low.demand.floor] for low in chosen) < needed_kb:
            return False
        for low in chosen:
            low.was_sub_rated, low.sub_rated_from = True, low.rung
        self.lower_rungs(chosen, needed_kb, 1.0)
        return True

    def restore_sub_rated(self, server: MediaServer) -> None:
        """Raises sub-rated sessions to their former rungs where a premium session has left enough room."""
        for low in server.sessions.values():
            if low.playing and low.sub_rated_from is not None:
                rung, low.sub_rated_from = low.sub_rated_from, None
                if rung > low.rung and low.demand.kb[rung] - low.kb <= self.room(server):
                    self.set_rung(low, rung)

    def pick_servers(self, session: Session) -> list[MediaServer]:
        """Two random servers that hold the title and accept new sessions, the less loaded first.

        Where sessions in other zones have a cost, it counts as load, and two servers of the own zone are
        examined as well. Two servers that the advice avoids come behind the others.
        """
        cells, holders = self.settings.cells, self.server_list
        cost, zone = self.settings.cross_zone_cost, self.settings.zone

        def net(server: MediaServer) -> float:
            return self.free_share(server) - cost * (server.entry.zone != zone)

        if session.request.cells < cells:
            row = [(session.request.first_cell + n) % cells for n in range(session.request.cells)]
            holders = [s for cell in row for s in self.servers_by_cell.get(cell, ())]
        if session.advice.bars:
            holders = [s for s in holders if s.entry.zone not in session.advice.bars]
            if not holders:
                self.explain(session, None, interface.ReasonCode.ZONES_BARRED, len(self.server_list))
        good: list[MediaServer] = []
        avoided: list[MediaServer] = []  # by the advice
        full: list[MediaServer] = []  # used if there are no others
        for server in islice(self.draw_servers(session, holders), MAX_EXAMINED):
            if server.entry.state != ServerState.READY or server.entry.id in session.tried:
                draining = server.entry.state != ServerState.READY
                self.explain(
                    session,
                    server,
                    interface.ReasonCode.DRAINING if draining else interface.ReasonCode.ALREADY_TRIED,
                )
                continue
            if session.paid and server.failure_score > MAX_SCORE_FOR_PAID:
                self.explain(session, server, interface.ReasonCode.RECENT_FAILURE, server.failure_score)
                continue
            if self.now < server.ejected_until:
                self.explain(session, server, interface.ReasonCode.EJECTED, server.ejected_until - self.now)
            elif not self.slow_start_allows(server):
                self.explain(session, server, interface.ReasonCode.COLD_START)
            else:
                is_full = self.room(server) < session.demand.kb[session.demand.floor]
                avoid = session.advice is not interface.NO_ADVICE and self.is_avoided(
                    session.advice, server.entry
                )
                code = (
                    interface.ReasonCode.FULL
                    if is_full
                    else interface.ReasonCode.AVOIDED
                    if avoid
                    else interface.ReasonCode.CANDIDATE
                )
                self.explain(session, server, code, self.room(server))
                (full if is_full else avoided if avoid else good).append(server)
                if len(good) >= 2 and (not cost or sum(s.entry.zone == zone for s in good) >= 2):
                    break
        good = good[:2] + [s for s in good[2:] if s.entry.zone == zone]
        pairs = [good, avoided[:2]] if good or avoided else [full[:2]]
        return [s for pair in pairs for s in sorted(pair, key=net, reverse=True)[:2]]

    def draw_servers(self, session: Session, holders: list[MediaServer]) -> Iterator[MediaServer]:
        """Yields `holders` in random order, drawn one by one.

        Servers with own sessions come first while they have the room of an average server: their load is
        reported, and connections to them are open.
        """
        cells, cell = self.settings.cells, session.request.first_cell
        used = [
            s
            for s in self.servers_in_use
            if self.tracked_servers.get(s.entry.id) is s and s.entry.zone not in session.advice.bars
        ]
        used = [
            s
            for s in used
            if session.request.cells >= cells or (s.entry.cell - cell) % cells < session.request.cells
        ]
        used = [s for s in used if all(link.has_usual_room(self.now) for link in s.links)]
        self.random.shuffle(used)
        yield from used
        moved: dict[int, int] = {}  # of a partial Fisher-Yates shuffle: index to the index that replaces it
        for n in range(len(holders)):
            k = self.random.randrange(n, len(holders))
            server = holders[moved.get(k, k)]
            moved[k] = moved.get(n, n)
            if server not in used:
                yield server

    def free_share(self, server: MediaServer) -> float:
        """Room over capacity, of the link or uplink with less of it."""
        return min(link.room(self.now) / link.capacity_kb for link in server.links)

    def is_avoided(self, advice: interface.Advice, entry: interface.Server) -> bool:
        """Whether `avoid` names it, or `prefer` names only others of its zones, cells, kinds or servers."""
        own = {("zone", entry.zone), ("cell", entry.cell), ("kind", entry.kind), ("server", entry.id)}
        named = {what for what, _ in advice.prefer}
        return not own.isdisjoint(advice.avoid) or any(
            (k, n) not in advice.prefer for k, n in own if k in named
        )

    def record_failure(self, server: MediaServer, weight: float, restart: bool) -> None:
        """Raises the failure score and ejects the server at the limit, for longer each time.

        All signs of failure add to one score; only a possible restart is recorded on its own.
        """
        server.failure_score = min(4.0, server.failure_score + weight)
        if restart:
            server.failed_at = self.now
        if server.failure_score >= EJECTION_SCORE and self.now >= server.ejected_until:
            server.ejected_until = self.now + server.backoff_ms * (1 + 0.2 * self.random.random())
            server.backoff_ms = min(MAX_BACKOFF_MS, server.backoff_ms * 2)

    def withdraw_failure(self, server: MediaServer) -> None:
        """Takes back an error: where two servers answer with one, it is taken as a fault of the session.

        The drawback: where most servers fail, sessions that are retried eject none. It would not help there.
        """
        server.failure_score = max(0.0, server.failure_score - 1.0)
        if server.failure_score < EJECTION_SCORE and self.now < server.ejected_until:
            server.ejected_until, server.backoff_ms = self.now, max(BACKOFF_MS, server.backoff_ms / 2)

    def record_success(self, server: MediaServer) -> None:
        """Halves the failure score and ends the backoff."""
        server.failure_score /= 2
        server.backoff_ms = BACKOFF_MS
        if server.failed_at > float("-inf"):  # it may have restarted since the failure
            server.cold_until, server.failed_at = self.now + self.settings.warm_up_ms, float("-inf")

    def slow_start_allows(self, server: MediaServer) -> bool:
        """Whether this front may send a set-up to a server that may be cold.

        The time from the listed start is divided into turns, one set-up each. A turn is for as many fronts as
        would together send about one set-up in it. Where the start is not listed, each front keeps a gap.
        """
        warm_ms = max(1.0, self.settings.warm_up_ms)
        start, fronts = server.entry.ready_at, self.settings.fronts
        listed = start > 0 and self.now < start + warm_ms and server.failed_at == float("-inf")
        list_is_old = not self.list_fresh and self.now - (self.first_call_at or 0.0) < warm_ms
        if not (listed or list_is_old or server.failed_at > float("-inf") or self.now < server.cold_until):
            return True
        # Set-ups that it can take from all fronts together, per millisecond.
        rate = max(1e-9, self.server_places(server.entry) * self.settings.cold_from / warm_ms)
        gap_ms = COLD_GAP_MARGIN / rate
        # Set-ups that one front would send to it in a turn.
        set_ups_per_turn = self.arrival_rate() * 2 / max(1, len(self.tracked_servers)) * gap_ms
        group = max(1, min(fronts, int(1 / (COLD_SURGE * set_ups_per_turn))))
        if not listed:
            return self.now - server.last_set_up_at > gap_ms * fronts / group
        # A single front uses the first half of its turn, which keeps the set-ups of different fronts apart.
        turn, usable = (self.now - start) / gap_ms, 1.0 if group > 1 else 0.5
        own_turn = (int(turn) * group - self.settings.index) % fronts < group and turn % 1 < usable
        return own_turn and self.now - server.last_set_up_at > gap_ms / 2

    def send_set_up(self, session: Session, server: MediaServer, rung: int, allocation: str) -> None:
        """Starts an attempt. It has a timeout if the session may be set up again elsewhere."""
        self.actions.append(interface.SetRung(session.request.id, rung))
        timeout_ms = 0.0
        if not session.paid and session.attempts + 1 < self.settings.max_attempts:
            usual = self.mean_set_up_ms + TIMEOUT_DEVIATIONS * self.set_up_deviation_ms
            timeout_ms = min(max(usual, self.settings.connect_timeout_ms), (session.deadline - self.now) / 2)
        self.actions.append(interface.SetUp(session.request.id, server.entry.id, timeout_ms))
        if session.attempts:
            self.retry_times.append(self.now)
        session.attempts, session.rung, session.allocation = session.attempts + 1, rung, allocation
        session.tried.append(server.entry.id)
        server.last_set_up_at = self.now
        self.attach_session(session, server)

    def attach_session(self, session: Session, server: MediaServer) -> None:
        """Assigns a session to a server and counts it there."""
        session.assigned_server, session.kb = server, session.demand.kb[session.rung]
        server.sessions[session.request.id] = session
        self.servers_in_use[server] = None
        self.count_session(session, 1)

    def detach_session(self, session: Session) -> None:
        """Undoes `attach_session`, if the session is assigned."""
        if session.assigned_server:
            self.count_session(session, -1)
            del session.assigned_server.sessions[session.request.id]
            if not session.assigned_server.sessions:
                del self.servers_in_use[session.assigned_server]
            session.assigned_server = None

    def count_session(self, session: Session, sign: int) -> None:
        """Adds (`sign` 1) or removes (-1) seat and rates, which count from set-up or handover to the end."""
        seat = session.request.cls, session.request.title
        self.seats_taken[seat] += sign
        if not self.seats_taken[seat]:  # titles change, so the table would grow without end
            del self.seats_taken[seat]
        self.add_rate(session, sign * session.kb, True)
        for loads_kb in [
            self.loads_kb,
            *(link.loads_kb for link in (session.assigned_server.links if session.assigned_server else ())),
        ]:
            loads_kb[:] = [kb + sign * r for kb, r in zip(loads_kb, session.demand.rates, strict=True)]

    def add_rate(self, session: Session, kb: float, joins: bool) -> None:
        """Changes the rates in use by `kb`, and with `joins` the estimated limits of uplinks.

        A session that joins an uplink without reports takes its rate from the sessions of all fronts alike.
        """
        self.own_kb = max(0.0, self.own_kb + kb)
        self.own_premium_kb = max(0.0, self.own_premium_kb + kb * session.premium)
        for link in session.assigned_server.links if session.assigned_server else ():
            link.change_own(self.now, kb)
            link.own_limit_kb = max(0.0, link.own_limit_kb + joins * kb * (1 - 1 / self.settings.fronts))

    def set_rung(self, session: Session, rung: int, is_set: bool = False, joins: bool = False) -> None:
        """Changes the rung. `is_set`: the server has reported it, so there is nothing to send."""
        if not is_set:
            self.actions.append(interface.SetRung(session.request.id, rung))
            session.rung_changed_at = self.now
        self.add_rate(session, session.demand.kb[rung] - session.kb, joins)
        session.rung, session.kb = rung, session.demand.kb[rung]

    def may_retry(self, session: Session) -> bool:
        """Whether attempts, time and the budget for retries are left, and a paid session cannot have run."""
        spent = session.attempts >= self.settings.max_attempts or session.deadline - self.now < MIN_ATTEMPT_MS
        if spent or (session.maybe_ran and session.paid) or self.settings.retry_free is None:
            return not (spent or (session.maybe_ran and session.paid))
        since = self.now - self.settings.retry_span_ms
        requests, retries = (
            sum(t > since for t in times) for times in (self.request_times, self.retry_times)
        )
        return retries + 1 <= self.settings.retry_free + self.settings.retry_share * requests

    def reject_session(self, session: Session) -> None:
        """Sends the final answer: a paid session that may have run fails, others are refused."""
        self.explain(session, None, interface.ReasonCode.GIVEN_UP, session.attempts)
        max_pause_ms = self.settings.max_pause_ms if self.settings.pause_advice else 0.0
        pause_ms = min(max_pause_ms, session.advice.pause_ms or max_pause_ms)
        self.actions.append(
            interface.Fail(session.request.id)
            if session.maybe_ran and session.paid
            else interface.Refuse(session.request.id, pause_ms)
        )
        del self.sessions[session.request.id]

    def on_playing(self, event: interface.Playing) -> None:
        """Updates the mean set-up time and takes the report of the set-up."""
        session = self.sessions.get(event.id)
        if session is None or session.assigned_server is None:
            return
        session.playing, session.started_at = True, self.now
        error_ms = event.took_ms - self.mean_set_up_ms
        self.mean_set_up_ms += EWMA_WEIGHT * error_ms
        self.set_up_deviation_ms += EWMA_WEIGHT * (abs(error_ms) - self.set_up_deviation_ms)
        self.record_success(session.assigned_server)
        self.record_report(session.assigned_server, event.report, 0.0)

    def on_attempt_ended(self, event: interface.AttemptEnded) -> None:
        """Takes the report, counts failures and then ends, retries or rejects the session."""
        session = self.sessions.get(event.id)
        server = session.assigned_server if session else self.tracked_servers.get(event.server)
        if server:
            self.record_report(server, event.report, CONTROL_PERIOD_MS)
        if session is None or event.attempt != session.attempts - 1:
            return  # unknown, or the end of an earlier attempt
        self.detach_session(session)
        if server and event.outcome == Outcome.FULL:
            server.link.record_use(self.now, max(self.settings.full_from, 1.0) * server.link.capacity_kb, 0.0)
        elif server and event.outcome in (*DOWN_OUTCOMES, *SUSPECT_OUTCOMES):
            weight = EJECTION_SCORE if event.outcome in DOWN_OUTCOMES else 1.0
            session.error_servers += [server] * (event.outcome == Outcome.ERROR)
            if event.outcome != Outcome.ERROR or len(session.error_servers) == 1:
                self.record_failure(server, weight, event.outcome != Outcome.ERROR)
            elif len(session.error_servers) == 2:
                self.withdraw_failure(session.error_servers[0])
        if event.outcome == Outcome.OK:  # a plain mean of the first lengths, then weighted
            self.sessions_ended += 1
            self.mean_session_ms += max(EWMA_WEIGHT, 1 / self.sessions_ended) * (
                self.now - session.started_at - self.mean_session_ms
            )
        if session.playing and server and session.premium:
            self.restore_sub_rated(server)
        if event.closed or session.viewer_gone:
            del self.sessions[event.id]
            return
        session.maybe_ran |= event.outcome not in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
        (self.place_session if self.may_retry(session) else self.reject_session)(session)

    def record_report(self, server: MediaServer, report: tuple[float, ...], age_ms: float) -> None:
        """Takes the known fields of a report; a `utilization` of 0.99 or more is ignored."""
        for name, value in zip(self.settings.report_fields, report, strict=False):
            if name in ("x0", "x1") or (name == "utilization" and value < 0.99):
                self.record_use(
                    server,
                    interface.NoteKind.UPLINK if name == "x1" else interface.NoteKind.LINK,
                    value,
                    age_ms,
                )

    def record_use(self, server: MediaServer, kind: int, use: float, age_ms: float) -> None:
        """Takes a reported use, as part of the capacity, of the server's link or its uplink."""
        if not 0 <= use < float("inf"):
            return
        if kind == interface.NoteKind.LINK:
            server.link.record_use(self.now, use * server.link.capacity_kb, age_ms)
            server.rounding_draw = self.random.random()
        # Without reports of uplinks, each report of a link is a sample of its uplink.
        if server.uplink and (kind == interface.NoteKind.UPLINK or self.uplinks_estimated):
            server.uplink.record_use(
                self.now,
                use * server.uplink.full_use_kb,
                age_ms,
                REPORT_WEIGHT / 2 if self.uplinks_estimated else REPORT_WEIGHT,
            )

    def on_viewer_gone(self, event: interface.ViewerGone) -> None:
        """Marks the session, which is kept until the end of its attempt is reported."""
        if session := self.sessions.get(event.id):
            session.viewer_gone = True

    def on_handed_over(self, event: interface.HandedOver) -> None:
        """Takes over a session that plays."""
        request = event.session
        session = self.add_session(request, False)
        session.playing, session.rung_adjusted, session.attempts, session.allocation = True, True, 1, "pool"
        # A server that is not listed is taken as gone, so that it gets no set-ups.
        gone = interface.Server(event.server, 0, 1.0, 0, request.first_cell, 0.0, ServerState.GONE)
        server = self.tracked_servers.get(event.server) or self.track_server(gone, self.server_places(gone))
        self.arrivals[session.premium] += 1.0  # sessions held stand for the arrivals of one session length
        self.observed_ms = max(self.observed_ms, self.mean_session_ms)
        self.attach_session(session, server)

    def on_note(self, event: interface.Note) -> None:
        """Takes what a server reports while a session plays."""
        session = self.sessions.get(event.id)
        if session is None or session.assigned_server is None or not 0 <= event.value < float("inf"):
            return
        # A note at the set-up is not delayed.
        age_ms = min(self.settings.report_delay_ms, self.now - session.started_at)
        if event.kind == interface.NoteKind.RUNG:
            self.set_rung(
                session, max(0, min(int(event.value), len(session.demand.kb) - 1)), is_set=True, joins=True
            )
        elif event.kind == interface.NoteKind.SHARE:
            self.on_delivered_share(session.assigned_server, event.value)
        else:
            self.record_use(session.assigned_server, event.kind, event.value, age_ms)

    def on_delivered_share(self, server: MediaServer, share: float) -> None:
        """Treats a shortfall that the reported use does not explain (no reports, or wrong ones) as a report.

        An uplink falls short for all its servers, a link for one. The drawback: shortfalls in viewers' own
        networks count as well.
        """
        server.delivered_share, server.delivered_share_at = share, self.now
        if share < STALLED_SHARE:  # stalled, which lower rates cannot help
            self.record_failure(server, EJECTION_SCORE, False)
        if not STALLED_SHARE <= share < SHORTFALL_SHARE:
            return
        up, since = server.uplink, self.now - SHORTFALL_HOLD_MS
        neighbours = [
            other
            for other in self.servers_in_use
            if other.uplink is up and any(s.started_at < since for s in other.sessions.values())
        ]
        best = max(
            [
                share,
                *(other.delivered_share if other.delivered_share_at > since else 1.0 for other in neighbours),
            ]
        )
        link = server.link
        if up and best < SHORTFALL_SHARE and (len(neighbours) > 1 or link.headroom() * EXPLAINED > best):
            link, share = up, best
        if link.shortfall_at > since or (link.is_reported and link.headroom() * EXPLAINED < share):
            return  # reports within the hold do not show the effect of lowered rungs yet
        link.shortfall_at = self.now
        if link is up and self.uplinks_estimated:
            late = self.now - self.settings.report_delay_ms
            link.own_limit_kb = share * next((own for at, own in link.own_history if at > late), link.own_kb)
        else:
            link.record_use(self.now, link.capacity_kb / share, self.settings.report_delay_ms)

    def on_timer_due(self, _: interface.TimerDue) -> None:
        """Raises estimated limits of uplinks that were not short lately, and controls the rungs."""
        self.actions.append(interface.SetTimer(0, CONTROL_PERIOD_MS))
        for up in {
            server.uplink: None for server in self.servers_in_use if server.uplink and self.uplinks_estimated
        }:
            if self.now - up.shortfall_at > SHORTFALL_HOLD_MS:
                up.own_limit_kb = max(
                    up.own_limit_kb, min(up.own_limit_kb * (1 + LIMIT_GROWTH), MAX_LIMIT_OVER_USE * up.own_kb)
                )
        for server in self.servers_in_use:
            self.control_rungs(server)

    def control_rungs(self, server: MediaServer) -> None:
        """Lowers rungs when a link exceeds its target, and raises them while there is room.

        Each front makes its share of the change. A part of a step is taken as a whole step with that
        probability, by the random draw of the report, so that the changes of all fronts add up.
        """
        playing = [session for session in server.sessions.values() if session.playing]
        if self.now - server.link.reported_at > REPORT_STALE_MS or not playing:
            return
        level, up = self.price_level(server, None), server.uplink
        for session in playing:
            if not session.rung_adjusted and session.started_at <= server.link.reported_at:
                self.adjust_first_rung(server, session, session.demand.rungs[level])
        # Of reported use only; then what this front has changed since.
        ratio, changed_kb = (
            min(link.headroom() for link in server.links if link.is_reported),
            server.link.own_kb - server.link.reported_own_kb,
        )
        bias = max(
            1 / MAX_STEP_BIAS, min(MAX_STEP_BIAS, server.link.own_kb / max(1.0, server.link.loads_kb[level]))
        )
        excess_kb = (
            server.link.reported_own_kb * bias * (1 - ratio) + changed_kb if ratio * LOWER_ABOVE < 1 else 0.0
        )
        room_kb = (
            server.link.reported_own_kb
            / bias
            * (min(link.headroom(link.uncertainty(self.now)) for link in server.links) * RAISE_BELOW - 1)
            - changed_kb
        )
        if up and not up.is_reported:
            room_kb = min(room_kb, up.own_limit_kb - up.own_kb)
            if up.own_kb > LOWER_ABOVE * up.own_limit_kb:
                excess_kb = max(excess_kb, (1 - up.own_limit_kb / up.own_kb) * server.link.own_kb)
        if excess_kb > 0:
            ready = [session for session in playing if self.now - session.rung_changed_at > LOWER_DWELL_MS]
            self.lower_rungs(ready, excess_kb, server.rounding_draw)
            return
        dwell_ms = 1000 * RAISE_DWELL * self.settings.switch_cost_s
        ready = [s for s in playing if s.rung < s.demand.top and self.now - s.rung_changed_at > dwell_ms]
        for session in sorted(ready, key=lambda s: -s.demand.prices[s.rung - s.demand.floor]):
            for rung in range(max(session.demand.rungs[level], session.rung + 1), session.rung, -1):
                draw = server.rounding_draw if rung == session.rung + 1 else 1.0
                if room_kb > 0 and draw * (session.demand.kb[rung] - session.kb) <= room_kb:
                    self.explain(session, server, interface.ReasonCode.RUNG_RAISED, room_kb)
                    room_kb -= session.demand.kb[rung] - session.kb
                    self.set_rung(session, rung)
                    break

    def adjust_first_rung(self, server: MediaServer, session: Session, top: int) -> None:
        """Sets the rung that the set-up's report leaves room for. No other front has that report yet."""
        session.rung_adjusted, spare = (
            True,
            min(link.room(self.now) - link.uncertainty(self.now) for link in server.links),
        )
        fitting = [
            r for r in range(session.demand.floor, top + 1) if session.demand.kb[r] - session.kb <= spare
        ]
        if (rung := max(fitting, default=session.demand.floor)) != session.rung:
            self.explain(session, server, interface.ReasonCode.RUNG_ADJUSTED, spare)
            self.set_rung(session, rung, joins=True)

    def lower_rungs(self, ready: list[Session], excess_kb: float, draw: float) -> None:
        """Takes the steps that lose the least worth for each kB/s, until `excess_kb` is free."""
        targets: dict[int, int] = {}
        steps: list[tuple[float, int, int]] = []
        for n, session in enumerate(ready):
            held = session.demand.prices[: session.rung - session.demand.floor]
            steps += [(price, -r, n) for r, price in enumerate(held, session.demand.floor + 1)]
        for _, r, n in sorted(steps):
            step = ready[n].demand.kb[-r] - ready[n].demand.kb[-r - 1]
            if excess_kb <= (1 - draw) * step:
                break
            targets[n], excess_kb = -r - 1, excess_kb - step
        for n, rung in targets.items():
            server = ready[n].assigned_server
            self.explain(
                ready[n],
                server,
                interface.ReasonCode.RUNG_LOWERED,
                min(link.headroom() for link in server.links) if server else 0.0,
            )
            self.set_rung(ready[n], rung)
