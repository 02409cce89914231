"""Limits that hold for all fronts together, as one front goes by them. No I/O, no clock; chance is passed in.

Sessions, ends, words of other fronts and time go in; rulings, words, and sessions that must end come out.
What of each limit is this front's, `Escrow` knows. The module has the last word on each session that a limit
lets pass; what a limit refuses is refused at once.

Times are ms of a clock that does not go back, and that goes on while the process does not run.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil, inf
from random import Random
from typing import Any

from lemonhall import interface as i
from lemonhall.limits.escrow import ROOMS_MOST, Escrow, Key, OutgoingMessage
from lemonhall.limits.local_limit import Bucket, LocalLimit
from lemonhall.limits.settings import STALE_PERIODS, Limit, LimitKind, LimitSettings, LimitUnit, title_digest
from lemonhall.limits.soft_counters import Estimate

PARK_PERIODS = 8  # a session that moves has its room kept for so long
WIDE_PART = 0.5  # of what is free: a session is let over its floor only for less, and while nobody lacks room


@dataclass(frozen=True)
class AdmissionDecision:
    """`refused`: the name of the limit that has no room, `pause_ms`: when to come again; `cap`: best rung."""

    refused_by: str = ""
    retry_after_ms: float = 0.0
    rung_cap: int = 99


FREE = AdmissionDecision()


@dataclass
class Charge:
    """What a session has taken. `begun`: its first set-up has left; `parked_until`: it moves."""

    units: dict[Key, int]
    worth: float
    premium: bool
    since: float
    begun: bool = False
    ending: bool = False
    parked_until: float = inf


class FleetLimits:
    """`hall`: where this front stands. The others as of `Escrow`.

    `ends` holds sessions whose room has lapsed: whoever runs the machine ends them, and then says `over`.
    """

    def __init__(
        self,
        settings: LimitSettings,
        number: int,
        fronts: int,
        hall: int,
        life: int,
        random: Random,
        now: float,
        fresh: bool = True,
    ) -> None:
        self.hall = hall
        self.escrow = Escrow(settings, number, fronts, life, random, now, fresh)
        self.sessions: dict[int, Charge] = {}
        self.parked: dict[str, int] = {}  # a session that moves: under which ask
        self.sessions_to_end: list[int] = []
        self.refused = Counter[str]()
        self.rises: dict[int, Bucket] = {}
        self.oldest_ms = 0.0  # of the words that a soft limit was ever gone by
        self.apply_settings(settings)

    @property
    def settings(self) -> LimitSettings:
        return self.escrow.settings

    @property
    def counts(self) -> Counter[str]:
        return self.escrow.counts

    def apply_settings(self, settings: LimitSettings) -> None:
        """Other settings, while sessions stand: those that a new limit would cover count from here on."""
        self.escrow.apply_settings(settings)
        self.covering: dict[tuple[int, int], tuple[Limit, ...]] = {}
        self.rises = {ident: self.rises.get(ident, Bucket()) for ident in self.escrow.soft}
        self.cheapest = min((c.worth for c in settings.classes), default=0.0)

    def expire_leases(self, now: float) -> None:
        """Before anything is decided: what has ended while this process did not run, has ended."""
        self.escrow.expire_leases(now)
        if self.escrow.short:
            short, self.escrow.short = self.escrow.short, {}
            for key in short.keys() & self.escrow.local_limits.keys():
                self.shed(key, short[key])

    def receive(self, now: float, sender: int, data: bytes) -> None:
        self.expire_leases(now)
        self.escrow.receive(now, sender, data)
        self.expire_leases(now)

    def tick(self, now: float) -> list[OutgoingMessage]:
        self.expire_leases(now)
        for ask in [a for a, c in self.sessions.items() if c.parked_until < now]:
            self.release(now, ask)
        self.parked = {s: a for s, a in self.parked.items() if a in self.sessions}
        return self.escrow.tick(now)

    def restore_state(self, now: float, data: bytes) -> None:
        """Goes on in the place of the process that gave `Escrow.state`. What stands there counts until
        `carried_all`. Raises `ValueError`."""
        self.escrow.restore_state(now, data)

    def finish_handover(self) -> None:
        """The process that was relieved has nothing any more."""
        for room in self.escrow.local_limits.values():
            room.owed = 0

    def limits_of(self, partner: int, cls: int) -> tuple[Limit, ...]:
        found = self.covering.get((partner, cls))
        if found is None:
            every = (m for m in self.settings.limits if m.covers(partner, cls, self.hall))
            found = self.covering[partner, cls] = tuple(every)
        return found

    def shed(self, key: Key, lapsed: float) -> None:
        """What stands on room that has lapsed ends: the least worth first, of these the youngest. That a
        limit was made smaller ends nothing."""
        room = self.escrow.local_limits[key]
        if room.limit.kind is not LimitKind.EXACT or room.parts.unreported:
            return
        here = [(ask, c) for ask, c in self.sessions.items() if key in c.units]
        over = min(lapsed, -room.parts.free() - sum(c.units[key] for _, c in here if c.ending))
        for ask, charge in sorted(here, key=lambda pair: (pair[1].worth, -pair[1].since)):
            if over <= 0:
                break
            if not charge.ending:
                charge.ending = True
                over -= charge.units[key]
                self.sessions_to_end.append(ask)
                self.counts["ended"] += 1

    # sessions

    def ask(
        self, now: float, ask: int, partner: int, cls: int, title: str, top: int = 99
    ) -> AdmissionDecision:
        """Takes room under every limit that covers a session, or under none."""
        self.expire_leases(now)
        limits = self.limits_of(partner, cls)
        if not limits:
            return FREE
        terms = self.settings.classes[cls]
        premium, digest = terms.worth > self.cheapest, title_digest(title)
        rooms = [self.escrow.room(m, digest) for m in limits if m.kind is not LimitKind.SOFT]
        if len(self.escrow.local_limits) > ROOMS_MOST:
            self.escrow.sweep(now)
            if len(self.escrow.local_limits) > ROOMS_MOST:
                return AdmissionDecision("too many titles at once", self.settings.period_ms)
        for room in rooms:
            room.reserve.came(now, premium)
        rated = any(m.unit is LimitUnit.RATE for m in limits)
        best = max(terms.floor, min(terms.top, top, len(self.settings.ladder_kb) - 1))
        short: list[LocalLimit] = []
        for rung in range(best, terms.floor - 1, -1) if rated else (terms.floor,):
            units = {id(r): self.units(r.limit, terms, rung) for r in rooms}
            wide = rung > terms.floor
            short = [r for r in rooms if not self.fits(now, r, units[id(r)], premium, wide)]
            if not short:
                break
        for room in rooms:
            room.demand.came(now, 1 if room.paced else units[id(room)])
        tight = next((m for m in limits if m.kind is LimitKind.SOFT and not self.fits_soft(now, m)), None)
        if short or tight:
            for room in short:
                room.want(now, units[id(room)])
            name = short[0].limit.name if short else tight.name if tight else ""
            self.refused[name] += 1
            return AdmissionDecision(name, self.pause(now, short[0] if short else None))
        charge = Charge({}, terms.worth, premium, now)
        for room in rooms:
            key, took = (room.limit.ident, room.title), units[id(room)]
            charge.units[key] = took
            if room.paced:
                room.bucket.reserved += 1
            else:
                room.parts.used += took
                room.reserve.take(took, premium, 1)
        for m in limits:
            if m.kind is LimitKind.SOFT:
                self.rises[m.ident].begin(False)
                self.escrow.soft_used[m.ident] += 1
                charge.units[m.ident, 0] = 1
        self.sessions[ask] = charge
        return AdmissionDecision(rung_cap=rung if rated else 99)

    def units(self, limit: Limit, terms: i.SessionClass, rung: int) -> int:
        if limit.unit is LimitUnit.RATE:
            return ceil(self.settings.ladder_kb[rung] * terms.scale)
        return 1

    def fits(self, now: float, room: LocalLimit, units: int, premium: bool, wide: bool) -> bool:
        usable = self.escrow.usable(room)
        if room.paced:
            room.settle_pace(now, usable)
            return room.bucket.free()
        room.reserve.settle(now, usable, self.settings.classes)
        free = usable - room.parts.used - room.reserve.kept(premium)
        return units <= (WIDE_PART * free * (not room.parts.need) if wide else free)

    def fits_soft(self, now: float, limit: Limit) -> bool:
        counters, rises = self.escrow.soft[limit.ident], self.rises[limit.ident]
        rises.fill(now, limit.rise / 1000, counters.burst())
        amount, told = self.escrow.amounts[limit.ident], self.estimate(now, limit)
        used = self.escrow.soft_used[limit.ident] + 1
        if told.oldest_ms > STALE_PERIODS * self.settings.period_ms:  # too old to go by: its own part, then
            return rises.free() and used <= amount // self.escrow.share
        self.oldest_ms = max(self.oldest_ms, told.oldest_ms)
        return rises.free() and used + told.known + told.off <= amount

    def estimate(self, now: float, limit: Limit) -> Estimate:
        e = self.escrow
        return e.soft[limit.ident].estimate(now, e.number, e.fronts, e.amounts[limit.ident])

    def pause(self, now: float, room: LocalLimit | None) -> float:
        """Room that others have is here within two periods; a token by its pace."""
        if room is None or not room.paced:
            return 2 * self.settings.period_ms
        part = max(1, self.escrow.usable(room)) / max(1, room.amount)
        gap = 1000.0 / max(1e-9, part * room.limit.amount / 1000)
        return min(gap, 10 * self.settings.period_ms)

    def may_start_set_up(self, now: float, ask: int) -> bool:
        """Whether a set-up of it may leave now: just before it does. It takes the token of a paced limit."""
        self.expire_leases(now)
        charge = self.sessions.get(ask)
        if charge is None:
            return True
        rooms = [self.escrow.local_limits[k] for k in charge.units if k in self.escrow.local_limits]
        exact = [r for r in rooms if not r.paced]
        if not charge.begun and any(r.parts.used > self.escrow.usable(r) for r in exact):
            self.counts["lapsed_before_set_up"] += 1
            return False
        paced = [r for r in rooms if r.paced]
        for room in paced:
            room.settle_pace(now, self.escrow.usable(room))
        if not all(r.bucket.level >= 1.0 and (not charge.begun or r.bucket.free()) for r in paced):
            self.counts["no_token"] += 1
            return False
        for room in paced:
            room.bucket.begin(not charge.begun)
            room.bucket.reserved -= not charge.begun
        charge.begun = True
        return True

    def release(self, now: float, ask: int) -> None:
        """Nothing of it is out any more. Of one that moves the room waits for it."""
        charge = self.sessions.get(ask)
        if charge is None or now < charge.parked_until < inf:
            return
        del self.sessions[ask]
        for key, units in charge.units.items():
            if key[0] in self.escrow.soft:
                self.escrow.soft_used[key[0]] -= 1
            elif room := self.escrow.local_limits.get(key):
                if room.paced:
                    room.bucket.reserved -= not charge.begun
                else:
                    room.parts.used -= units
                    room.reserve.take(units, charge.premium, -1)
                    room.reserve.lasted(now - charge.since)
                    if room.wanted_by:
                        self.escrow.freed(now, key)

    def hold_for_move(self, now: float, ask: int, session: str) -> None:
        """It has left its server and will be asked for again: its room waits for it."""
        if charge := self.sessions.get(ask):
            charge.parked_until = now + PARK_PERIODS * self.settings.period_ms
            self.parked[session] = ask

    def resume_after_move(self, now: float, ask: int, session: str) -> bool:
        """It is asked for again, by another number. False: nothing was kept."""
        self.expire_leases(now)
        old = self.parked.pop(session, None)
        charge = self.sessions.pop(old, None) if old is not None else None
        if charge is None:
            return False
        charge.parked_until = inf
        self.sessions[ask] = charge
        return True

    def restore_session(self, now: float, ask: int, partner: int, cls: int, title: str, rung: int) -> None:
        """It plays already, under a process that is gone: it counts, whether there is room or not."""
        terms, digest = self.settings.classes[cls], title_digest(title)
        charge = Charge({}, terms.worth, terms.worth > self.cheapest, now, begun=True)
        for m in self.limits_of(partner, cls):
            if m.kind is LimitKind.SOFT:
                charge.units[m.ident, 0] = 1
                self.escrow.soft_used[m.ident] += 1
            elif m.kind is LimitKind.EXACT:
                room, units = self.escrow.room(m, digest), self.units(m, terms, rung)
                charge.units[m.ident, room.title] = units
                room.parts.used += units
                room.owed = max(0, room.owed - units)
                room.reserve.take(units, charge.premium, 1)
        self.sessions[ask] = charge

    # what is seen from outside

    def status(self, now: float) -> dict[str, Any]:
        """Amounts in the units of the settings, times in seconds."""
        self.expire_leases(now)
        limits = [self.limit_status(now, m) for m in self.settings.limits]
        return {
            "front": self.escrow.number,
            "period_s": self.settings.period_ms / 1000,
            "lease_s": self.settings.lease_ms / 1000,
            "waits_for": sorted(self.escrow.unreported),
            "forgotten": sorted(self.escrow.forgotten),
            "limits": limits,
            "soft_oldest_s": round(self.oldest_ms / 1000, 3) if self.escrow.soft else None,
            "soft_bound_s": STALE_PERIODS * self.settings.period_ms / 1000 if self.escrow.soft else None,
            "counts": dict(self.counts),
        }

    def limit_status(self, now: float, m: Limit) -> dict[str, Any]:
        rooms = [r for (ident, _), r in self.escrow.local_limits.items() if ident == m.ident]
        fronts = self.lenders(rooms)
        shown: dict[str, Any] = {
            "limit": m.name,
            "hold": m.kind.value,
            "of": m.unit.value,
            "amount": m.amount,
            "goes_by": self.escrow.amounts[m.ident],
            "refused": self.refused[m.name],
        }
        if m.kind is LimitKind.SOFT:
            told = self.estimate(now, m)
            shown["used"] = self.escrow.soft_used[m.ident]
            shown["others"] = told.known
            shown["off_most"] = round(told.off, 1)
            shown["oldest_s"] = round(told.oldest_ms / 1000, 3) if told.oldest_ms < inf else None
            return shown
        own = 0 if m.each_title else self.escrow.unused(m)
        shown["used"] = sum(r.parts.used for r in rooms)
        shown["held"] = sum(r.parts.mine() for r in rooms) if rooms else own
        shown["borrowed"] = sum(r.parts.held_sum for r in rooms)
        shown["lent"] = sum(r.parts.lent_sum for r in rooms)
        shown["needed"] = sum(r.parts.need for r in rooms)
        oldest = max((now - self.escrow.peers[f].asked / 1000 for f in fronts), default=0.0)
        shown["oldest_s"] = round(oldest / 1000, 3)
        if m.kind is LimitKind.EXACT:
            shown["over_most"] = 0
            shown["back_s"] = round(self.settings.back_ms(m) / 1000, 1)
        else:
            shown["in_a_second_most"] = round(self.settings.paced_most(m, 1000.0), 1)
        if m.each_title:
            shown["titles"] = len(rooms)
        return shown

    def lenders(self, rooms: Iterable[LocalLimit]) -> set[int]:
        return {f for r in rooms for f, loan in r.parts.held.items() if loan.amount}
