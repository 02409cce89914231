"""Failover between zones at one front: the state of each zone, this front's shares of the limits, and the
zones that a session may use.

Inputs are time, the server list, results of attempts and messages of other fronts; outputs are decisions,
messages and state changes. No I/O, no clock; randomness is passed in. The module makes the final
decision on each session: a decision here is advice, except for the zones that it bars.

The home zone of a session is the zone of the front that received it. While that zone is up the session plays
there and nowhere else, unless a tier allows what does not fit to overflow. While the zone is lost or
recovering, a session may spill over to the first tier whose zone is up and under whose limits this front
holds enough units. The units are reserved before the decision and released when the session has ended or
plays in its home zone."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from math import ceil
from random import Random
from typing import Any

from google.protobuf.message import DecodeError

from lemonhall import interface as i
from lemonhall.interface import Outcome, Repeat
from lemonhall.limits.reserve import Reserve
from lemonhall.limits.shares import MILLIONTHS, LimitShare, Loan, equal_share
from lemonhall.zones.halls_pb2 import Kept, Words
from lemonhall.zones.monitor import OperatorOverride, StateChange, ZoneMonitor, ZoneState
from lemonhall.zones.settings import Tier, ZoneSettings

FAILURE_OUTCOMES = (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT)
LIVE_OUTCOMES = (Outcome.OK, Outcome.FULL, Outcome.ERROR)  # the server answered
MESSAGES_PER_NOTICE = 4.0
MAX_PERIOD_MS = 500.0
FANOUT = 2  # fronts that are sent a message each period regardless of loans
ABOVE_FLOOR_SHARE = 0.5  # of the free units: a session may take no more above its floor, and none in need
MAX_NEED_SHARE = 0.25  # of a limit, requested at once
NEED_DECAY = 0.5  # fraction of an unmet need that is still requested after a period


@dataclass(frozen=True)
class ZoneDecision:
    """The zones that a session may use. `barred` is binding, `preferred` and `rung_cap` are advice;
    `spill_zone`: the zone that it may spill over to, or -1."""

    barred: tuple[int, ...] = ()
    preferred: tuple[tuple[str, int], ...] = ()
    rung_cap: int = 99
    spill_zone: int = -1


UNRESTRICTED = ZoneDecision()  # of a session whose home zone does not hold its title


@dataclass(frozen=True)
class OutgoingMessage:
    """A message to another front, by its number."""

    to: int
    data: bytes


@dataclass
class Reservation:
    """Units of limits and a ramp token that a session holds."""

    tier: Tier | None = None
    units: dict[int, int] = field(default_factory=dict)  # by limit
    premium: bool = False
    ramp_token: bool = False  # not used yet
    is_probe: bool = False
    repeatable: bool = False  # another set-up does no harm
    plays_in_other_zone: bool = False
    since: float = 0.0


@dataclass
class TokenBucket:
    """Tokens at a rate that is passed with each call; at most those of one second, or one if that is less."""

    tokens: float = 0.0
    updated_at: float = 0.0

    def fill(self, now: float, per_ms: float) -> float:
        self.tokens = min(max(1.0, 1000 * per_ms), self.tokens + per_ms * (now - self.updated_at))
        self.updated_at = now
        return self.tokens


class ZoneFailover:
    """The state machine of one front.

    `incarnation` grows with each start without state; `saved_state`: from `serialize`, of the previous
    process; `state_complete`: every loan is in `saved_state`."""

    def __init__(
        self,
        settings: ZoneSettings,
        number: int,
        fronts: int,
        home_zone: int,
        incarnation: int,
        random: Random,
        now: float,
        state_complete: bool = True,
        saved_state: bytes = b"",
    ) -> None:
        self.settings, self.number, self.fronts, self.home_zone = settings, number, fronts, home_zone
        self.incarnation, self.random = incarnation, random
        self.monitors = [ZoneMonitor(settings, n, since=now) for n in range(len(settings.zones))]
        self.zone_by_server: dict[int, int] = {}
        self.cells_by_zone: list[set[int]] = [set() for _ in settings.zones]  # all that were ever listed
        self.tiers = [t for t in settings.tiers if t.hall == home_zone]
        own = equal_share(number, fronts) if number < fronts else 0
        unreported = set() if state_complete else set(range(fronts)) - {number}
        self.shares = [LimitShare(own, unreported) for _ in settings.limits]
        self.reserves = [Reserve() for _ in settings.limits]
        self.intake_buckets = [TokenBucket(updated_at=now) for _ in settings.limits]
        self.ramp_bucket = TokenBucket(updated_at=now)
        self.sessions: dict[int, Reservation] = {}  # by request
        self.peer_incarnations: dict[int, int] = {}
        self.peer_home_zones: dict[int, int] = {}  # of the fronts that have reported theirs
        self.pending_replies: set[int] = set()  # fronts that are sent a message before the next period
        self.members: tuple[int, ...] = ()
        self.next_period_at = now + self.message_period_ms() * random.random()
        self.last_spill_at = float("-inf")
        self.state_changes: list[StateChange] = []
        self.needed_by_others: dict[int, float] = {}  # by limit: when another front last reported a need
        self.pending_moves: list[int] = []  # sessions that should move back to their home zone
        self.counts = Counter[str]()
        self.lowest_worth = min(c.worth for c in settings.classes)
        if saved_state:
            self.restore(saved_state)

    def message_period_ms(self) -> float:
        return min(MAX_PERIOD_MS, self.settings.timing.notice_ms / MESSAGES_PER_NOTICE)

    # evidence

    def on_list(self, now: float, servers: list[i.Server], fresh: bool, whole: bool = True) -> None:
        """Handles a whole list or a change of it; `fresh`: it is neither cached nor outdated."""
        by_zone: dict[int, list[i.Server]] = {n: [] for n in range(len(self.monitors))}
        if whole:
            self.zone_by_server = {}
        for server in servers:
            gone = server.state == i.ServerState.GONE
            zone = self.zone_by_server.pop(server.id, server.zone) if gone else server.zone
            if zone not in by_zone:
                continue
            by_zone[zone].append(server)
            if not gone:
                self.zone_by_server[server.id] = zone
                self.cells_by_zone[zone].add(server.cell)
        for zone, listed in by_zone.items():
            if listed or whole:
                self.monitors[zone].update_servers(listed, whole)
        ready = sum(monitor.ready_count for monitor in self.monitors)
        for monitor in self.monitors:
            monitor.evaluate_list(now, ready > monitor.ready_count, fresh)
        self.update_states(now)

    def on_attempt_result(self, now: float, server: int, outcome: Outcome) -> None:
        """Handles the end of an attempt; `OK` also for any other sign that the server is alive."""
        zone = self.zone_by_server.get(server)
        if zone is None:
            return
        if outcome in FAILURE_OUTCOMES:
            self.monitors[zone].on_failure(now, server)
        elif outcome in LIVE_OUTCOMES:
            self.monitors[zone].on_success(now, server)

    def update_states(self, now: float) -> None:
        for monitor in self.monitors:
            if change := monitor.update(now):
                self.state_changes.append(change)
                if monitor.zone == self.home_zone:
                    self.ramp_bucket = TokenBucket(updated_at=now)

    def set_override(self, zone: int, override: OperatorOverride, at_ms: float) -> bool:
        """Takes over an operator's override, given here or at another front. False if a later one is set."""
        monitor = self.monitors[zone]
        if at_ms <= monitor.override_at:
            return False
        if monitor.override is OperatorOverride.HOLD and override is OperatorOverride.NONE:
            monitor.flaps = 0
        monitor.override, monitor.override_at = override, at_ms
        self.shares[0].dirty = True
        return True

    # sessions

    def choose_zones(
        self, now: float, request_id: int, cls: int, title_cells: frozenset[int] | None = None
    ) -> ZoneDecision:
        """Decides which zones a session may use; `title_cells`: the cells that hold its title, None for
        all."""
        self.update_states(now)
        home_zone, monitor = self.home_zone, self.monitors[self.home_zone]
        if (
            title_cells is not None
            and self.cells_by_zone[home_zone]
            and not title_cells & self.cells_by_zone[home_zone]
        ):
            return UNRESTRICTED
        terms = self.settings.classes[cls]
        reservation = Reservation(since=now, repeatable=terms.repeat is Repeat.SAFE)
        reservation.premium = terms.worth > self.lowest_worth
        allowed: set[int] = set()
        if monitor.state in (ZoneState.UP, ZoneState.FAILING):
            allowed.add(home_zone)
        elif monitor.state is ZoneState.RETURNING:
            if self.ramp_bucket.fill(now, monitor.set_up_rate(now) / self.fronts_sharing_zone()) >= 1.0:
                self.ramp_bucket.tokens -= 1.0
                reservation.ramp_token = True
                allowed.add(home_zone)
        elif terms.repeat is Repeat.SAFE and monitor.probe_due(now):
            monitor.record_probe(now)
            reservation.is_probe = True
            allowed.add(home_zone)
        rung_cap, spill_zone = 99, -1
        if cls not in self.settings.no_spill:
            for tier in self.tiers:
                may_spill = monitor.state is not ZoneState.UP or tier.overflow
                if may_spill and self.monitors[tier.to].state is ZoneState.UP:
                    rung_cap = self.reserve_spill(now, reservation, tier, terms)
                    if reservation.tier:
                        spill_zone = tier.to
                        allowed.add(spill_zone)
                        break
        self.counts["spill_refused"] += not allowed
        if reservation.tier or reservation.ramp_token or reservation.is_probe:
            self.sessions[request_id] = reservation
        barred = tuple(z for z in range(len(self.settings.zones)) if z not in allowed)
        preferred = (("zone", home_zone),) if home_zone in allowed and len(allowed) > 1 else ()
        return ZoneDecision(barred, preferred, rung_cap, spill_zone)

    def fronts_sharing_zone(self) -> int:
        """Fronts that share the ramp of the home zone: those of the zone and those of an unknown zone.

        Silent fronts are counted, since they may still send set-ups.
        """
        return self.fronts - sum(zone != self.home_zone for zone in self.peer_home_zones.values())

    def reserve_spill(self, now: float, reservation: Reservation, tier: Tier, terms: i.SessionClass) -> int:
        """Reserves units under all limits of a tier, at the highest rung that leaves some to other sessions.

        Returns the rung, or 99 if nothing was reserved.
        """
        self.last_spill_at = now
        links_kb, scale = self.monitors[tier.to].total_link_kb(), terms.scale
        limits = self.settings.limits_of(tier)
        ladder = self.settings.ladder_kb
        for limit in limits:
            self.reserves[limit].record_request(now, reservation.premium)
        if links_kb <= 0:
            return 99
        for rung in range(min(terms.top, len(ladder) - 1), terms.floor - 1, -1):
            units = {
                n: ceil(MILLIONTHS * ladder[rung] * scale / (self.settings.limits[n][1] * links_kb))
                for n in limits
            }
            if all(self.fits(now, n, units[n], reservation.premium, rung == terms.floor) for n in limits):
                if not all(self.has_intake_token(now, n) for n in limits):
                    self.counts["over_rate"] += 1
                    return 99
                for limit in limits:
                    self.shares[limit].used += units[limit]
                    self.reserves[limit].record_use(units[limit], reservation.premium, 1)
                    self.intake_buckets[limit].tokens -= 1.0
                reservation.tier, reservation.units = tier, units
                self.counts["spilled"] += 1
                return rung
        for limit in limits:
            if self.shares[limit].free() < units[limit] + self.reserves[limit].units_kept_free(
                reservation.premium
            ):
                self.shares[limit].need = min(
                    int(MAX_NEED_SHARE * MILLIONTHS), self.shares[limit].need + 2 * units[limit]
                )
        self.counts["over_limit"] += 1
        return 99

    def fits(self, now: float, limit: int, units: int, premium: bool, at_floor: bool) -> bool:
        share, reserve = self.shares[limit], self.reserves[limit]
        reserve.update_quota(now, share.capacity(), self.settings.classes)
        free = share.free() - reserve.units_kept_free(premium)
        return units <= (free if at_floor else ABOVE_FLOOR_SHARE * free * (not share.need))

    def has_intake_token(self, now: float, limit: int) -> bool:
        """Whether the zone's limit of set-ups/s allows another one; this front has the same share of that
        limit as of the links."""
        place = limit - len(self.settings.tiers)
        if place < 0 or not self.settings.intakes[place].per_s:
            return True
        share = self.shares[limit].capacity() / MILLIONTHS
        return self.intake_buckets[limit].fill(now, self.settings.intakes[place].per_s / 1000 * share) >= 1.0

    def on_set_up(self, now: float, request_id: int, server: int) -> None:
        """A set-up is sent. In a recovering zone each one beyond the first takes a token in advance."""
        reservation, zone = self.sessions.get(request_id), self.zone_by_server.get(server)
        if zone == self.home_zone and self.monitors[zone].state is ZoneState.RETURNING:
            if reservation and reservation.ramp_token:
                reservation.ramp_token = False
            else:
                self.ramp_bucket.tokens -= 1.0

    def on_playing(self, now: float, request_id: int, server: int) -> None:
        """The session plays. In its home zone it needs no units of other zones."""
        self.on_attempt_result(now, server, Outcome.OK)
        reservation = self.sessions.get(request_id)
        if reservation and reservation.tier and self.zone_by_server.get(server) == self.home_zone:
            self.release_units(reservation)
        elif reservation:
            reservation.plays_in_other_zone = True

    def restore_session(self, now: float, request_id: int, cls: int, rung: int, server: int) -> None:
        """Counts a session that plays already, set up by an earlier process, if it plays in another zone."""
        zone = self.zone_by_server.get(server, self.home_zone)
        tier = next((t for t in self.tiers if t.to == zone), None)
        links_kb = self.monitors[zone].total_link_kb()
        if tier is None or zone == self.home_zone or links_kb <= 0:
            return
        terms = self.settings.classes[cls]
        reservation = Reservation(
            tier, since=now, repeatable=terms.repeat is Repeat.SAFE, plays_in_other_zone=True
        )
        kb = self.settings.ladder_kb[min(rung, len(self.settings.ladder_kb) - 1)] * terms.scale
        for limit in self.settings.limits_of(tier):
            reservation.units[limit] = ceil(MILLIONTHS * kb / (self.settings.limits[limit][1] * links_kb))
            self.shares[limit].used += reservation.units[limit]
        self.sessions[request_id] = reservation

    def release(self, now: float, request_id: int) -> None:
        """The request has ended and none of its set-ups is pending."""
        reservation = self.sessions.pop(request_id, None)
        if reservation is None:
            return
        if reservation.ramp_token:
            self.ramp_bucket.tokens += 1.0
        for limit in reservation.units:
            self.reserves[limit].record_length(now - reservation.since)
        self.release_units(reservation)

    def release_units(self, reservation: Reservation) -> None:
        for limit, units in reservation.units.items():
            self.shares[limit].used -= units
            self.reserves[limit].record_use(units, reservation.premium, -1)
        reservation.tier, reservation.units = None, {}

    # messages

    def tick(self, now: float) -> list[OutgoingMessage]:
        """To be called on each tick. Messages leave each period, replies at once."""
        self.update_states(now)
        to = set(self.pending_replies)
        self.pending_replies = set()
        if now >= self.next_period_at:
            self.next_period_at = now + self.message_period_ms()
            to |= self.start_period(now)
            self.select_moves_home(now)
        return [OutgoingMessage(other, self.build_message(now, other)) for other in sorted(to)]

    def start_period(self, now: float) -> set[int]:
        """The recipients of this period: some at random, and those with an unacknowledged loan."""
        others = [m for m in self.members if m != self.number]
        to = set(self.random.sample(others, min(FANOUT, len(others))))
        for share in self.shares:
            if share.need and now - self.last_spill_at > self.settings.timing.notice_ms:
                share.need = 0
            share.need = int(NEED_DECAY * share.need)
            if now - self.last_spill_at > 2 * self.settings.timing.notice_ms:
                share.return_free(0)
            to |= share.peers_to_notify()
            if share.unreported:
                to |= set(self.random.sample(sorted(share.unreported), min(FANOUT, len(share.unreported))))
        return to

    def select_moves_home(self, now: float) -> None:
        """Selects sessions to move back to their home zone.

        A move is worth its cost where other fronts need the units that a session uses here although its home
        zone is up. One session per period and limit moves, at the rate of the ramp, and none of a paid class.
        """
        monitor = self.monitors[self.home_zone]
        for limit, at in list(self.needed_by_others.items()):
            if now - at > 2 * self.message_period_ms():
                del self.needed_by_others[limit]
            elif (
                monitor.state is ZoneState.UP
                and self.ramp_bucket.fill(now, monitor.set_up_rate(now) / self.fronts_sharing_zone()) >= 1.0
            ):
                for request_id, reservation in self.sessions.items():
                    if (
                        limit in reservation.units
                        and reservation.plays_in_other_zone
                        and reservation.repeatable
                    ):
                        reservation.repeatable = False  # it is moved once only
                        self.ramp_bucket.tokens -= 1.0
                        self.pending_moves.append(request_id)
                        self.counts["brought_home"] += 1
                        break

    def build_message(self, now: float, other: int) -> bytes:
        to_life = self.peer_incarnations.get(other, 0)
        message = Words(
            plan=self.settings.digest, life=self.incarnation, to_life=to_life, home=self.home_zone + 1
        )
        for limit, share in enumerate(self.shares):
            lent, borrowed = share.lent.get(other, Loan()), share.borrowed.get(other, Loan())
            if lent.seq or borrowed.seq or borrowed.amount or share.need:
                wants_reply = lent.unacknowledged and lent.seq > 0
                values = (lent.seq, lent.amount, borrowed.seq, borrowed.amount, share.need, wants_reply)
                names = ("grant_seq", "grant", "held_seq", "held", "need", "tell")
                message.parts.add(limit=limit, **dict(zip(names, values, strict=True)))
        for monitor in self.monitors:
            if monitor.override is not OperatorOverride.HOLD and (monitor.state or monitor.list_received):
                state = monitor.state if self.is_own_evidence(now, monitor) else ZoneState.UP
                message.sights.add(hall=monitor.zone, state=state, progress=int(1000 * monitor.progress(now)))
            if monitor.override_at:
                message.orders.add(hall=monitor.zone, what=monitor.override, at_ms=int(monitor.override_at))
        data: bytes = message.SerializeToString()
        return data

    @staticmethod
    def is_own_evidence(now: float, monitor: ZoneMonitor) -> bool:
        """A state that rests on the reports of other fronts alone is not reported further."""
        return "other fronts" not in monitor.reason

    def receive(self, now: float, sender: int, data: bytes) -> None:
        """Handles another front's message. Counts and drops one that is unreadable or of other settings."""
        try:
            message = Words.FromString(data)
        except DecodeError:
            self.counts["unreadable"] += 1
            return
        if message.plan != self.settings.digest or not 0 <= sender < self.fronts or sender == self.number:
            self.counts["other_plan"] += 1
            return
        for order in message.orders:
            if order.hall < len(self.monitors) and order.what in (
                OperatorOverride.NONE,
                OperatorOverride.HOLD,
            ):
                self.set_override(order.hall, OperatorOverride(order.what), float(order.at_ms))
        known = self.peer_incarnations.get(sender, 0)
        if message.life < known:
            self.counts["old_life"] += 1
            return
        if 0 < message.home <= len(self.monitors):
            self.peer_home_zones[sender] = message.home - 1
        if message.life > known:
            self.peer_incarnations[sender] = message.life
            for share in self.shares:
                if known:
                    share.on_peer_restart(sender)
            self.pending_replies.add(sender)
        for report in message.sights:
            if report.hall < len(self.monitors) and report.state <= ZoneState.RETURNING:
                self.monitors[report.hall].on_report(
                    now, sender, ZoneState(report.state), report.progress / 1000
                )
        if message.to_life != self.incarnation:
            self.pending_replies.add(sender)  # it does not know this incarnation yet
            return
        by_limit: dict[int, Any] = {p.limit: p for p in message.parts}
        for limit, share in enumerate(self.shares):
            part = by_limit.get(limit)
            if part and part.need:
                self.needed_by_others[limit] = now
            share.on_grant(sender, part.grant_seq if part else 0, part.grant if part else 0)
            share.on_holding(sender, part.held_seq if part else 0, part.held if part else 0)
            lent = part is not None and part.need > 0 and share.lend(sender, part.need) > 0
            if lent or (part is not None and part.tell):
                self.pending_replies.add(sender)

    # persistence

    @property
    def dirty(self) -> bool:
        """Whether state has changed that must be on disk before the next messages leave."""
        return any(share.dirty for share in self.shares)

    def serialize(self) -> bytes:
        """The state to be stored; clears `dirty`."""
        state = Kept(plan=self.settings.digest, life=self.incarnation)
        for limit, share in enumerate(self.shares):
            share.dirty = False
            for stored, loans in ((state.lent, share.lent), (state.held, share.borrowed)):
                for front, loan in sorted(loans.items()):
                    stored.add(limit=limit, front=front, seq=loan.seq, amount=loan.amount)
        for monitor in self.monitors:
            if monitor.override_at:
                state.orders.add(hall=monitor.zone, what=monitor.override, at_ms=int(monitor.override_at))
        data: bytes = state.SerializeToString()
        return data

    def restore(self, data: bytes) -> None:
        """Takes over stored state. Raises `ValueError` if it is unreadable.

        Of state with other settings only the overrides are taken: its loans belong to other limits, and this
        is a new incarnation."""
        try:
            state = Kept.FromString(data)
        except DecodeError as error:
            raise ValueError(f"stored state of halls cannot be read: {error}") from error
        for order in state.orders:
            if order.hall < len(self.monitors) and order.what in (
                OperatorOverride.NONE,
                OperatorOverride.HOLD,
            ):
                monitor = self.monitors[order.hall]
                monitor.override, monitor.override_at = OperatorOverride(order.what), float(order.at_ms)
        if state.plan != self.settings.digest:
            return
        self.incarnation = int(state.life)
        for limit, share in enumerate(self.shares):
            lent, borrowed = (
                {loan.front: Loan(loan.seq, loan.amount) for loan in stored if loan.limit == limit}
                for stored in (state.lent, state.held)
            )
            share.restore(lent, borrowed)

    # status

    def status(self, now: float) -> dict[str, Any]:
        """Shares of links as fractions, times in seconds."""
        zones = []
        for monitor in self.monitors:
            zones.append(
                {
                    "hall": self.settings.zones[monitor.zone],
                    "home": monitor.zone == self.home_zone,
                    "state": monitor.state.name.lower(),
                    "since_s": round((now - monitor.since) / 1000, 1),
                    "why": monitor.reason,
                    "held_out": monitor.override is OperatorOverride.HOLD,
                    "servers_ready": monitor.ready_servers(),
                    "servers_most": monitor.max_ready,
                    "progress": round(monitor.progress(now), 3),
                    "flaps": monitor.flaps,
                    "ramp_s": monitor.ramp_ms() / 1000,
                }
            )
        limits = []
        for limit, (to, fraction) in enumerate(self.settings.limits):
            share, tier = (
                self.shares[limit],
                self.settings.tiers[limit] if limit < len(self.settings.tiers) else None,
            )
            limits.append(
                {
                    "of": self.settings.zones[tier.hall] if tier else "all halls",
                    "to": self.settings.zones[to],
                    "limit": fraction,
                    "held": fraction * share.capacity() / MILLIONTHS,
                    "used": fraction * share.used / MILLIONTHS,
                    "lent_to": sum(loan.amount > 0 for loan in share.lent.values()),
                    "waits_for": len(share.unreported),
                }
            )
        return {"halls": zones, "limits": limits, "counts": dict(self.counts)}
