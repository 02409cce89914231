"""Halls, as one front goes by them: what it sees of each, its parts of the limits, what a session may use.

Time, the list, ends of attempts and the words of other fronts go in; rulings, messages and changes come out.
No I/O, no clock; chance is passed in. The module has the last word on each session: a ruling is advice, but
for the halls that it bars.

A session's home is the hall of the front that it came to. While that is up it plays there and nowhere else,
unless a tier says that what does not fit may overflow. While it is lost or comes back, a session may spill to
the first tier whose hall is up and of whose limits this front holds enough; room is taken before the ruling
and given back when the session has ended, or has come to play at home.
"""

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

LOST = (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT)
ALIVE = (Outcome.OK, Outcome.FULL, Outcome.ERROR)
PERIODS = 4.0  # of words, in a notice
PERIOD_MOST_MS = 500.0
FANOUT = 2  # others that are told each period, whoever they are
WIDE_PART = 0.5  # of what is free: a session is let over its floor only for less, and while nobody lacks room
NEED_MOST = 0.25  # of a limit, asked for at once
EASE = 0.5  # of an unmet need that is still asked for after a period


@dataclass(frozen=True)
class ZoneDecision:
    """What a session may use: `bars` binds, `prefer` and `cap` are wishes. `spill`: it may leave its home."""

    barred: tuple[int, ...] = ()
    preferred: tuple[tuple[str, int], ...] = ()
    rung_cap: int = 99
    spill_zone: int = -1


FREE = ZoneDecision()  # of a session that no hall has a claim on


@dataclass(frozen=True)
class OutgoingMessage:
    """Words to another front, by its number."""

    to: int
    data: bytes


@dataclass
class Held:
    """What a session has taken: units of limits, a turn of the return."""

    tier: Tier | None = None
    units: dict[int, int] = field(default_factory=dict)  # by limit
    premium: bool = False
    turn: bool = False  # of the ramp, not yet used
    trial: bool = False
    safe: bool = False  # another set-up does no harm
    plays: bool = False  # in another hall
    since: float = 0.0


@dataclass
class Bucket:
    """Turns at a rate that is told each time; never more than one second's, or one, in store."""

    left: float = 0.0
    at: float = 0.0

    def fill(self, now: float, per_ms: float) -> float:
        self.left = min(max(1.0, 1000 * per_ms), self.left + per_ms * (now - self.at))
        self.at = now
        return self.left


class ZoneFailover:
    """`life` grows with each start that remembers nothing; `kept`: of `to_keep`, of the life before.

    `remembers`: nothing can have been lent that is not in `kept`."""

    def __init__(
        self,
        settings: ZoneSettings,
        number: int,
        fronts: int,
        home: int,
        life: int,
        random: Random,
        now: float,
        state_complete: bool = True,
        saved_state: bytes = b"",
    ) -> None:
        self.settings, self.number, self.fronts, self.home = settings, number, fronts, home
        self.life, self.random = life, random
        self.sights = [ZoneMonitor(settings, n, since=now) for n in range(len(settings.zones))]
        self.by_server: dict[int, int] = {}
        self.cells: list[set[int]] = [set() for _ in settings.zones]  # that each hall has ever had
        self.tiers = [t for t in settings.tiers if t.hall == home]
        own = equal_share(number, fronts) if number < fronts else 0
        unheard = set() if state_complete else set(range(fronts)) - {number}
        self.parts = [LimitShare(own, unheard) for _ in settings.limits]
        self.reserves = [Reserve() for _ in settings.limits]
        self.rates = [Bucket(at=now) for _ in settings.limits]
        self.ramp = Bucket(at=now)
        self.sessions: dict[int, Held] = {}
        self.lives: dict[int, int] = {}
        self.homes: dict[int, int] = {}  # of the others, as far as they have said
        self.pending_replies: set[int] = set()  # fronts that are told something out of turn
        self.members: tuple[int, ...] = ()
        self.next_words = now + self.message_period_ms() * random.random()
        self.spilled_at = float("-inf")
        self.state_changes: list[StateChange] = []
        self.wanted: dict[int, float] = {}  # limits that others lack room under: when that was heard
        self.pending_moves: list[int] = []  # sessions that had better come home
        self.counts = Counter[str]()
        self.cheapest = min(c.worth for c in settings.classes)
        if saved_state:
            self.restore(saved_state)

    def message_period_ms(self) -> float:
        return min(PERIOD_MOST_MS, self.settings.spilling.notice_ms / PERIODS)

    # what is seen

    def on_list(self, now: float, servers: list[i.Server], fresh: bool, whole: bool = True) -> None:
        """The list as it stands, or what has changed; `fresh`: it is not a kept or an old one."""
        lines: dict[int, list[i.Server]] = {n: [] for n in range(len(self.sights))}
        if whole:
            self.by_server = {}
        for server in servers:
            gone = server.state == i.ServerState.GONE
            zone = self.by_server.pop(server.id, server.zone) if gone else server.zone
            if zone not in lines:
                continue
            lines[zone].append(server)
            if not gone:
                self.by_server[server.id] = zone
                self.cells[zone].add(server.cell)
        for hall, own in lines.items():
            if own or whole:
                self.sights[hall].hold(own, whole)
        ready = sum(sight.ready_now for sight in self.sights)
        for sight in self.sights:
            sight.judge(now, ready > sight.ready_now, fresh)
        self.update_states(now)

    def on_attempt_result(self, now: float, server: int, outcome: Outcome) -> None:
        """The end of an attempt, or a sign of life (`OK`)."""
        hall = self.by_server.get(server)
        if hall is None:
            return
        if outcome in LOST:
            self.sights[hall].bad(now, server)
        elif outcome in ALIVE:
            self.sights[hall].good(now, server)

    def update_states(self, now: float) -> None:
        for sight in self.sights:
            if change := sight.look(now):
                self.state_changes.append(change)
                if sight.hall == self.home:
                    self.ramp = Bucket(at=now)

    def set_override(self, hall: int, what: OperatorOverride, at_ms: float) -> bool:
        """An operator's, or one that was heard of. False: a later one holds."""
        sight = self.sights[hall]
        if at_ms <= sight.order_at:
            return False
        if sight.order is OperatorOverride.HOLD and what is OperatorOverride.NONE:
            sight.flaps = 0
        sight.order, sight.order_at = what, at_ms
        self.parts[0].dirty = True
        return True

    # sessions

    def choose_zones(self, now: float, ask: int, cls: int, row: frozenset[int] | None = None) -> ZoneDecision:
        """What a session of a class may use; `row`: the cells that hold its title, if not all do."""
        self.update_states(now)
        home, sight = self.home, self.sights[self.home]
        if row is not None and self.cells[home] and not row & self.cells[home]:
            return FREE  # its home has never had the title
        terms = self.settings.classes[cls]
        held = Held(since=now, safe=terms.repeat is Repeat.SAFE)
        held.premium = terms.worth > self.cheapest
        allowed: set[int] = set()
        if sight.state in (ZoneState.UP, ZoneState.FAILING):
            allowed.add(home)
        elif sight.state is ZoneState.RETURNING:
            if self.ramp.fill(now, sight.set_up_rate(now) / self.sharers()) >= 1.0:
                self.ramp.left -= 1.0
                held.turn = True
                allowed.add(home)
        elif terms.repeat is Repeat.SAFE and sight.trial_due(now):
            sight.tried(now)
            held.trial = True
            allowed.add(home)
        cap, to = 99, -1
        if cls not in self.settings.no_spill:
            for tier in self.tiers:
                wanted = sight.state is not ZoneState.UP or tier.overflow
                if wanted and self.sights[tier.to].state is ZoneState.UP:
                    cap = self.take(now, held, tier, terms)
                    if held.tier:
                        to = tier.to
                        allowed.add(to)
                        break
        self.counts["spill_refused"] += not allowed
        if held.tier or held.turn or held.trial:
            self.sessions[ask] = held
        bars = tuple(h for h in range(len(self.settings.zones)) if h not in allowed)
        wish = (("zone", home),) if home in allowed and len(allowed) > 1 else ()
        return ZoneDecision(bars, wish, cap, to)

    def sharers(self) -> int:
        """Fronts that a return is shared by: those of its hall, and those that have never said theirs. Who
        falls silent is counted on: it may still be sending."""
        return self.fronts - sum(home != self.home for home in self.homes.values())

    def take(self, now: float, held: Held, tier: Tier, terms: i.SessionClass) -> int:
        """Room under all limits of a tier, at the best rung that leaves some to others. The rung, or 99."""
        self.spilled_at = now
        links, scale = self.sights[tier.to].links_kb(), terms.scale
        limits = self.settings.limits_of(tier)
        ladder = self.settings.ladder_kb
        for n in limits:
            self.reserves[n].record_request(now, held.premium)
        if links <= 0:
            return 99
        for rung in range(min(terms.top, len(ladder) - 1), terms.floor - 1, -1):
            units = {
                n: ceil(MILLIONTHS * ladder[rung] * scale / (self.settings.limits[n][1] * links))
                for n in limits
            }
            if all(self.fits(now, n, units[n], held.premium, rung == terms.floor) for n in limits):
                if not all(self.rate_left(now, n) for n in limits):
                    self.counts["over_rate"] += 1
                    return 99
                for n in limits:
                    self.parts[n].used += units[n]
                    self.reserves[n].record_use(units[n], held.premium, 1)
                    self.rates[n].left -= 1.0
                held.tier, held.units = tier, units
                self.counts["spilled"] += 1
                return rung
        for n in limits:
            if self.parts[n].free() < units[n] + self.reserves[n].units_kept_free(held.premium):
                self.parts[n].need = min(int(NEED_MOST * MILLIONTHS), self.parts[n].need + 2 * units[n])
        self.counts["over_limit"] += 1
        return 99

    def fits(self, now: float, limit: int, units: int, premium: bool, floor: bool) -> bool:
        parts, reserve = self.parts[limit], self.reserves[limit]
        reserve.update_quota(now, parts.capacity(), self.settings.classes)
        free = parts.free() - reserve.units_kept_free(premium)
        return units <= (free if floor else WIDE_PART * free * (not parts.need))

    def rate_left(self, now: float, limit: int) -> bool:
        """Of the set-ups a second that a hall takes in, this front has as much as it has of the links."""
        place = limit - len(self.settings.tiers)
        if place < 0 or not self.settings.intakes[place].per_s:
            return True
        part = self.parts[limit].capacity() / MILLIONTHS
        return self.rates[limit].fill(now, self.settings.intakes[place].per_s / 1000 * part) >= 1.0

    def on_set_up(self, now: float, ask: int, server: int) -> None:
        """An attempt leaves. One more at a hall that returns, or beyond the first, is paid for later."""
        held, hall = self.sessions.get(ask), self.by_server.get(server)
        if hall == self.home and self.sights[hall].state is ZoneState.RETURNING:
            if held and held.turn:
                held.turn = False
            else:
                self.ramp.left -= 1.0

    def on_playing(self, now: float, ask: int, server: int) -> None:
        """It plays: at home it needs no room elsewhere."""
        self.on_attempt_result(now, server, Outcome.OK)
        held = self.sessions.get(ask)
        if held and held.tier and self.by_server.get(server) == self.home:
            self.let_go(held)
        elif held:
            held.plays = True

    def restore_session(self, now: float, ask: int, cls: int, rung: int, server: int) -> None:
        """It plays already, under a process that is gone: what it takes elsewhere counts from here on."""
        hall = self.by_server.get(server, self.home)
        tier = next((t for t in self.tiers if t.to == hall), None)
        links = self.sights[hall].links_kb()
        if tier is None or hall == self.home or links <= 0:
            return
        terms = self.settings.classes[cls]
        held = Held(tier, since=now, safe=terms.repeat is Repeat.SAFE, plays=True)
        kb = self.settings.ladder_kb[min(rung, len(self.settings.ladder_kb) - 1)] * terms.scale
        for n in self.settings.limits_of(tier):
            held.units[n] = ceil(MILLIONTHS * kb / (self.settings.limits[n][1] * links))
            self.parts[n].used += held.units[n]
        self.sessions[ask] = held

    def release(self, now: float, ask: int) -> None:
        """Nothing of it is out any more."""
        held = self.sessions.pop(ask, None)
        if held is None:
            return
        if held.turn:
            self.ramp.left += 1.0
        for n in held.units:
            self.reserves[n].record_length(now - held.since)
        self.let_go(held)

    def let_go(self, held: Held) -> None:
        for n, units in held.units.items():
            self.parts[n].used -= units
            self.reserves[n].record_use(units, held.premium, -1)
        held.tier, held.units = None, {}

    # other fronts

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Each moment; words go out each period, and at once to who has asked."""
        self.update_states(now)
        to = set(self.pending_replies)
        self.pending_replies = set()
        if now >= self.next_words:
            self.next_words = now + self.message_period_ms()
            to |= self.round(now)
            self.bring_home(now)
        return [OutgoingMessage(other, self.words(now, other)) for other in sorted(to)]

    def round(self, now: float) -> set[int]:
        """Who is told in this period: some at random, and who holds a part of ours or lends us one."""
        others = [m for m in self.members if m != self.number]
        to = set(self.random.sample(others, min(FANOUT, len(others))))
        for parts in self.parts:
            if parts.need and now - self.spilled_at > self.settings.spilling.notice_ms:
                parts.need = 0
            parts.need = int(EASE * parts.need)
            if now - self.spilled_at > 2 * self.settings.spilling.notice_ms:
                parts.return_free(0)
            to |= parts.peers_to_notify()
            if parts.unheard:
                to |= set(self.random.sample(sorted(parts.unheard), min(FANOUT, len(parts.unheard))))
        return to

    def bring_home(self, now: float) -> None:
        """A move is worth it where others are refused for the room that a session takes here whose own hall
        is back: one a period and limit, in turns as a return is paced, and none that was paid for."""
        sight = self.sights[self.home]
        for limit, at in list(self.wanted.items()):
            if now - at > 2 * self.message_period_ms():
                del self.wanted[limit]
            elif (
                sight.state is ZoneState.UP
                and self.ramp.fill(now, sight.set_up_rate(now) / self.sharers()) >= 1.0
            ):
                for ask, held in self.sessions.items():
                    if limit in held.units and held.plays and held.safe:
                        held.safe = False  # once
                        self.ramp.left -= 1.0
                        self.pending_moves.append(ask)
                        self.counts["brought_home"] += 1
                        break

    def words(self, now: float, other: int) -> bytes:
        to_life = self.lives.get(other, 0)
        made = Words(plan=self.settings.digest, life=self.life, to_life=to_life, home=self.home + 1)
        for n, parts in enumerate(self.parts):
            lent, held = parts.lent.get(other, Loan()), parts.borrowed.get(other, Loan())
            if lent.seq or held.seq or held.amount or parts.need:
                waits = lent.unacknowledged and lent.seq > 0
                told = (lent.seq, lent.amount, held.seq, held.amount, parts.need, waits)
                names = ("grant_seq", "grant", "held_seq", "held", "need", "tell")
                made.parts.add(limit=n, **dict(zip(names, told, strict=True)))
        for sight in self.sights:
            if sight.order is not OperatorOverride.HOLD and (sight.state or sight.heard_list):
                state = sight.state if self.own_sight(now, sight) else ZoneState.UP
                made.sights.add(hall=sight.hall, state=state, progress=int(1000 * sight.progress(now)))
            if sight.order_at:
                made.orders.add(hall=sight.hall, what=sight.order, at_ms=int(sight.order_at))
        data: bytes = made.SerializeToString()
        return data

    @staticmethod
    def own_sight(now: float, sight: ZoneMonitor) -> bool:
        """Rumours are not passed on: a state that rests on others' words alone is no evidence."""
        return "other fronts" not in sight.why

    def receive(self, now: float, sender: int, data: bytes) -> None:
        """Another front's words. What cannot be read, or is of another plan, is counted and passed over."""
        try:
            words = Words.FromString(data)
        except DecodeError:
            self.counts["unreadable"] += 1
            return
        if words.plan != self.settings.digest or not 0 <= sender < self.fronts or sender == self.number:
            self.counts["other_plan"] += 1
            return
        for order in words.orders:
            if order.hall < len(self.sights) and order.what in (OperatorOverride.NONE, OperatorOverride.HOLD):
                self.set_override(order.hall, OperatorOverride(order.what), float(order.at_ms))
        known = self.lives.get(sender, 0)
        if words.life < known:
            self.counts["old_life"] += 1
            return
        if 0 < words.home <= len(self.sights):
            self.homes[sender] = words.home - 1
        if words.life > known:
            self.lives[sender] = words.life
            for parts in self.parts:
                if known:
                    parts.on_peer_restart(sender)
            self.pending_replies.add(sender)
        for told in words.sights:
            if told.hall < len(self.sights) and told.state <= ZoneState.RETURNING:
                self.sights[told.hall].said(now, sender, ZoneState(told.state), told.progress / 1000)
        if words.to_life != self.life:
            self.pending_replies.add(sender)  # it does not know us yet, or speaks to who we were
            return
        by_limit: dict[int, Any] = {p.limit: p for p in words.parts}
        for n, parts in enumerate(self.parts):
            part = by_limit.get(n)
            if part and part.need:
                self.wanted[n] = now
            parts.on_grant(sender, part.grant_seq if part else 0, part.grant if part else 0)
            parts.on_holding(sender, part.held_seq if part else 0, part.held if part else 0)
            lent = part is not None and part.need > 0 and parts.lend(sender, part.need) > 0
            if lent or (part is not None and part.tell):
                self.pending_replies.add(sender)

    # over a restart

    @property
    def dirty(self) -> bool:
        """Something has changed that must be on disk before the next words leave."""
        return any(parts.dirty for parts in self.parts)

    def serialize(self) -> bytes:
        made = Kept(plan=self.settings.digest, life=self.life)
        for n, parts in enumerate(self.parts):
            parts.dirty = False
            for kind, loans in ((made.lent, parts.lent), (made.held, parts.borrowed)):
                for front, loan in sorted(loans.items()):
                    kind.add(limit=n, front=front, seq=loan.seq, amount=loan.amount)
        for sight in self.sights:
            if sight.order_at:
                made.orders.add(hall=sight.hall, what=sight.order, at_ms=int(sight.order_at))
        data: bytes = made.SerializeToString()
        return data

    def restore(self, data: bytes) -> None:
        """Raises `ValueError` if it cannot be read. Of another plan the orders alone are taken: its parts
        were of other limits, and this is another life."""
        try:
            kept = Kept.FromString(data)
        except DecodeError as error:
            raise ValueError(f"what was kept of halls cannot be read: {error}") from error
        for order in kept.orders:
            if order.hall < len(self.sights) and order.what in (OperatorOverride.NONE, OperatorOverride.HOLD):
                sight = self.sights[order.hall]
                sight.order, sight.order_at = OperatorOverride(order.what), float(order.at_ms)
        if kept.plan != self.settings.digest:
            return
        self.life = int(kept.life)
        for n, parts in enumerate(self.parts):
            lent, held = (
                {loan.front: Loan(loan.seq, loan.amount) for loan in kind if loan.limit == n}
                for kind in (kept.lent, kept.held)
            )
            parts.restore(lent, held)

    # what is seen from outside

    def status(self, now: float) -> dict[str, Any]:
        """Shares of links as parts of 1, times in seconds."""
        halls = []
        for sight in self.sights:
            halls.append(
                {
                    "hall": self.settings.zones[sight.hall],
                    "home": sight.hall == self.home,
                    "state": sight.state.name.lower(),
                    "since_s": round((now - sight.since) / 1000, 1),
                    "why": sight.why,
                    "held_out": sight.order is OperatorOverride.HOLD,
                    "servers_ready": sight.ready(),
                    "servers_most": sight.most,
                    "progress": round(sight.progress(now), 3),
                    "flaps": sight.flaps,
                    "ramp_s": sight.ramp_ms() / 1000,
                }
            )
        limits = []
        for n, (to, share) in enumerate(self.settings.limits):
            parts, tier = self.parts[n], self.settings.tiers[n] if n < len(self.settings.tiers) else None
            limits.append(
                {
                    "of": self.settings.zones[tier.hall] if tier else "all halls",
                    "to": self.settings.zones[to],
                    "limit": share,
                    "held": share * parts.capacity() / MILLIONTHS,
                    "used": share * parts.used / MILLIONTHS,
                    "lent_to": sum(loan.amount > 0 for loan in parts.lent.values()),
                    "waits_for": len(parts.unheard),
                }
            )
        return {"halls": halls, "limits": limits, "counts": dict(self.counts)}
