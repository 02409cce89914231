"""Admission of sessions at one front under the limits of the whole fleet. No I/O, no clock; randomness is
passed in.

Inputs are sessions, their ends, messages of other fronts and time; outputs are decisions, messages, and
sessions that must end. `Escrow` knows this front's side of each limit. The module makes the final
decision on each session that a limit admits; what a limit refuses is refused at once.

Times are ms of a monotonic clock that keeps running while the process does not.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil, inf
from random import Random
from typing import Any

from lemonhall import interface as i
from lemonhall.limits.escrow import MAX_LOCAL_LIMITS, Escrow, Key, OutgoingMessage
from lemonhall.limits.local_limit import LocalLimit, TokenBucket
from lemonhall.limits.settings import (
    MAX_COUNTER_AGE_PERIODS,
    Limit,
    LimitKind,
    LimitSettings,
    LimitUnit,
    title_digest,
)
from lemonhall.limits.soft_counters import Estimate

MOVE_HOLD_PERIODS = 8  # units of a moving session are held this long
ABOVE_FLOOR_SHARE = 0.5  # of the free units: a session may take no more above its floor, and none in need


@dataclass(frozen=True)
class AdmissionDecision:
    """`refused_by`: name of the limit without free units; `rung_cap`: highest rung of an admitted session."""

    refused_by: str = ""
    retry_after_ms: float = 0.0
    rung_cap: int = 99


UNLIMITED = AdmissionDecision()


@dataclass
class Reservation:
    """Units of a session. `started`: its first set-up has been sent; `held_until`: it moves."""

    units: dict[Key, int]
    worth: float
    premium: bool
    since: float
    started: bool = False
    ending: bool = False
    held_until: float = inf


class FleetLimits:
    """Admits sessions under all limits. `zone`: of this front; the other parameters as of `Escrow`.

    `sessions_to_end` holds sessions whose units have expired; the caller ends them and then calls `release`.
    """

    def __init__(
        self,
        settings: LimitSettings,
        number: int,
        fronts: int,
        zone: int,
        incarnation: int,
        random: Random,
        now: float,
        fresh: bool = True,
    ) -> None:
        self.zone = zone
        self.escrow = Escrow(settings, number, fronts, incarnation, random, now, fresh)
        self.sessions: dict[int, Reservation] = {}  # by request
        self.moving: dict[str, int] = {}  # by session: the request that holds its units
        self.sessions_to_end: list[int] = []
        self.refused = Counter[str]()
        self.rise_buckets: dict[int, TokenBucket] = {}
        self.oldest_ms = 0.0  # greatest age of the counters that a soft limit has been decided by
        self.apply_settings(settings)

    @property
    def settings(self) -> LimitSettings:
        return self.escrow.settings

    @property
    def counts(self) -> Counter[str]:
        return self.escrow.counts

    def apply_settings(self, settings: LimitSettings) -> None:
        """Takes over new settings while sessions play; sessions count under a new limit from their next
        one."""
        self.escrow.apply_settings(settings)
        self.limits_by_class: dict[tuple[int, int], tuple[Limit, ...]] = {}
        self.rise_buckets = {
            limit_id: self.rise_buckets.get(limit_id, TokenBucket()) for limit_id in self.escrow.soft_counters
        }
        self.lowest_worth = min((c.worth for c in settings.classes), default=0.0)

    def expire_leases(self, now: float) -> None:
        """To be called before each decision: ends leases that expired while this process did not run."""
        self.escrow.expire_leases(now)
        if self.escrow.expired_units:
            expired, self.escrow.expired_units = self.escrow.expired_units, {}
            for key in expired.keys() & self.escrow.local_limits.keys():
                self.end_sessions(key, expired[key])

    def receive(self, now: float, sender: int, data: bytes) -> None:
        self.expire_leases(now)
        self.escrow.receive(now, sender, data)
        self.expire_leases(now)

    def tick(self, now: float) -> list[OutgoingMessage]:
        self.expire_leases(now)
        for request_id in [n for n, r in self.sessions.items() if r.held_until < now]:
            self.release(now, request_id)
        self.moving = {s: n for s, n in self.moving.items() if n in self.sessions}
        return self.escrow.tick(now)

    def restore_state(self, now: float, data: bytes) -> None:
        """Continues from the predecessor's `Escrow.handover_state`. The units in use there count until
        `finish_handover`. Raises `ValueError` if the state is unreadable."""
        self.escrow.restore_state(now, data)

    def finish_handover(self) -> None:
        """The predecessor has no sessions any more."""
        for local in self.escrow.local_limits.values():
            local.handover_units = 0

    def limits_for(self, partner: int, cls: int) -> tuple[Limit, ...]:
        found = self.limits_by_class.get((partner, cls))
        if found is None:
            covering = (m for m in self.settings.limits if m.covers(partner, cls, self.zone))
            found = self.limits_by_class[partner, cls] = tuple(covering)
        return found

    def end_sessions(self, key: Key, expired: float) -> None:
        """Ends sessions that used expired units: lowest worth first, of these the youngest. A limit that was
        only made smaller ends none."""
        local = self.escrow.local_limits[key]
        if local.limit.kind is not LimitKind.EXACT or local.share.unreported:
            return
        here = [(request_id, r) for request_id, r in self.sessions.items() if key in r.units]
        excess = min(expired, -local.share.free() - sum(r.units[key] for _, r in here if r.ending))
        for request_id, reservation in sorted(here, key=lambda pair: (pair[1].worth, -pair[1].since)):
            if excess <= 0:
                break
            if not reservation.ending:
                reservation.ending = True
                excess -= reservation.units[key]
                self.sessions_to_end.append(request_id)
                self.counts["ended"] += 1

    # sessions

    def admit(
        self, now: float, request_id: int, partner: int, cls: int, title: str, top: int = 99
    ) -> AdmissionDecision:
        """Reserves units under every limit that covers the session, or under none."""
        self.expire_leases(now)
        limits = self.limits_for(partner, cls)
        if not limits:
            return UNLIMITED
        terms = self.settings.classes[cls]
        premium, digest = terms.worth > self.lowest_worth, title_digest(title)
        local_limits = [self.escrow.local_limit(m, digest) for m in limits if m.kind is not LimitKind.SOFT]
        if len(self.escrow.local_limits) > MAX_LOCAL_LIMITS:
            self.escrow.drop_idle(now)
            if len(self.escrow.local_limits) > MAX_LOCAL_LIMITS:
                return AdmissionDecision("too many titles at once", self.settings.period_ms)
        for local in local_limits:
            local.reserve.record_request(now, premium)
        by_rate = any(m.unit is LimitUnit.RATE for m in limits)
        best = max(terms.floor, min(terms.top, top, len(self.settings.ladder_kb) - 1))
        full: list[LocalLimit] = []
        for rung in range(best, terms.floor - 1, -1) if by_rate else (terms.floor,):
            units = {id(local): self.units_for(local.limit, terms, rung) for local in local_limits}
            above_floor = rung > terms.floor
            full = [
                local
                for local in local_limits
                if not self.fits(now, local, units[id(local)], premium, above_floor)
            ]
            if not full:
                break
        for local in local_limits:
            local.demand.record_request(now, 1 if local.rate_limited else units[id(local)])
        full_soft = next((m for m in limits if m.kind is LimitKind.SOFT and not self.fits_soft(now, m)), None)
        if full or full_soft:
            for local in full:
                local.record_shortage(now, units[id(local)])
            name = full[0].limit.name if full else full_soft.name if full_soft else ""
            self.refused[name] += 1
            return AdmissionDecision(name, self.retry_after_ms(now, full[0] if full else None))
        reservation = Reservation({}, terms.worth, premium, now)
        for local in local_limits:
            key, reserved = (local.limit.limit_id, local.title), units[id(local)]
            reservation.units[key] = reserved
            if local.rate_limited:
                local.bucket.reserved += 1
            else:
                local.share.used += reserved
                local.reserve.record_use(reserved, premium, 1)
        for limit in limits:
            if limit.kind is LimitKind.SOFT:
                self.rise_buckets[limit.limit_id].take_token(False)
                self.escrow.soft_used[limit.limit_id] += 1
                reservation.units[limit.limit_id, 0] = 1
        self.sessions[request_id] = reservation
        return AdmissionDecision(rung_cap=rung if by_rate else 99)

    def units_for(self, limit: Limit, terms: i.SessionClass, rung: int) -> int:
        if limit.unit is LimitUnit.RATE:
            return ceil(self.settings.ladder_kb[rung] * terms.scale)
        return 1

    def fits(self, now: float, local: LocalLimit, units: int, premium: bool, above_floor: bool) -> bool:
        usable = self.escrow.usable_units(local)
        if local.rate_limited:
            local.refill_tokens(now, usable)
            return local.bucket.has_free_token()
        local.reserve.update_quota(now, usable, self.settings.classes)
        free = usable - local.share.used - local.reserve.units_kept_free(premium)
        return units <= (ABOVE_FLOOR_SHARE * free * (not local.share.need) if above_floor else free)

    def fits_soft(self, now: float, limit: Limit) -> bool:
        counters, bucket = self.escrow.soft_counters[limit.limit_id], self.rise_buckets[limit.limit_id]
        bucket.fill(now, limit.rise_per_s / 1000, counters.burst())
        amount, others = self.escrow.amounts[limit.limit_id], self.estimate_others(now, limit)
        used = self.escrow.soft_used[limit.limit_id] + 1
        if others.oldest_ms > MAX_COUNTER_AGE_PERIODS * self.settings.period_ms:
            # The counters are too old: only the own share is used.
            return bucket.has_free_token() and used <= amount // self.escrow.share_count
        self.oldest_ms = max(self.oldest_ms, others.oldest_ms)
        return bucket.has_free_token() and used + others.known + others.max_added <= amount

    def estimate_others(self, now: float, limit: Limit) -> Estimate:
        escrow = self.escrow
        return escrow.soft_counters[limit.limit_id].estimate(
            now, escrow.number, escrow.fronts, escrow.amounts[limit.limit_id]
        )

    def retry_after_ms(self, now: float, local: LocalLimit | None) -> float:
        """Units of other fronts arrive within two periods; a token arrives at the rate of the bucket."""
        if local is None or not local.rate_limited:
            return 2 * self.settings.period_ms
        share = max(1, self.escrow.usable_units(local)) / max(1, local.amount)
        token_ms = 1000.0 / max(1e-9, share * local.limit.amount / 1000)
        return min(token_ms, 10 * self.settings.period_ms)

    def may_start_set_up(self, now: float, request_id: int) -> bool:
        """Whether a set-up of the request may be sent. To be called just before sending; takes the tokens of
        its rate limits."""
        self.expire_leases(now)
        reservation = self.sessions.get(request_id)
        if reservation is None:
            return True
        local_limits = [
            self.escrow.local_limits[k] for k in reservation.units if k in self.escrow.local_limits
        ]
        exact = [local for local in local_limits if not local.rate_limited]
        if not reservation.started and any(
            local.share.used > self.escrow.usable_units(local) for local in exact
        ):
            self.counts["lapsed_before_set_up"] += 1
            return False
        rate_limited = [local for local in local_limits if local.rate_limited]
        for local in rate_limited:
            local.refill_tokens(now, self.escrow.usable_units(local))
        if not all(
            local.bucket.level >= 1.0 and (not reservation.started or local.bucket.has_free_token())
            for local in rate_limited
        ):
            self.counts["no_token"] += 1
            return False
        for local in rate_limited:
            local.bucket.take_token(not reservation.started)
            local.bucket.reserved -= not reservation.started
        reservation.started = True
        return True

    def release(self, now: float, request_id: int) -> None:
        """The request has ended and none of its set-ups is pending. Units of a moving session stay held."""
        reservation = self.sessions.get(request_id)
        if reservation is None or now < reservation.held_until < inf:
            return
        del self.sessions[request_id]
        for key, units in reservation.units.items():
            if key[0] in self.escrow.soft_counters:
                self.escrow.soft_used[key[0]] -= 1
            elif local := self.escrow.local_limits.get(key):
                if local.rate_limited:
                    local.bucket.reserved -= not reservation.started
                else:
                    local.share.used -= units
                    local.reserve.record_use(units, reservation.premium, -1)
                    local.reserve.record_length(now - reservation.since)
                    if local.recalled_by:
                        self.escrow.on_units_freed(now, key)

    def hold_for_move(self, now: float, request_id: int, session: str) -> None:
        """The session has left its server and will be requested again: its units are held for that time."""
        if reservation := self.sessions.get(request_id):
            reservation.held_until = now + MOVE_HOLD_PERIODS * self.settings.period_ms
            self.moving[session] = request_id

    def resume_after_move(self, now: float, request_id: int, session: str) -> bool:
        """The session is requested again under another number. False if no units were held."""
        self.expire_leases(now)
        old = self.moving.pop(session, None)
        reservation = self.sessions.pop(old, None) if old is not None else None
        if reservation is None:
            return False
        reservation.held_until = inf
        self.sessions[request_id] = reservation
        return True

    def restore_session(
        self, now: float, request_id: int, partner: int, cls: int, title: str, rung: int
    ) -> None:
        """Counts a session that plays already, set up by an earlier process, whether or not it fits."""
        terms, digest = self.settings.classes[cls], title_digest(title)
        reservation = Reservation({}, terms.worth, terms.worth > self.lowest_worth, now, started=True)
        for limit in self.limits_for(partner, cls):
            if limit.kind is LimitKind.SOFT:
                reservation.units[limit.limit_id, 0] = 1
                self.escrow.soft_used[limit.limit_id] += 1
            elif limit.kind is LimitKind.EXACT:
                local, units = self.escrow.local_limit(limit, digest), self.units_for(limit, terms, rung)
                reservation.units[limit.limit_id, local.title] = units
                local.share.used += units
                local.handover_units = max(0, local.handover_units - units)
                local.reserve.record_use(units, reservation.premium, 1)
        self.sessions[request_id] = reservation

    # status

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
            "soft_oldest_s": round(self.oldest_ms / 1000, 3) if self.escrow.soft_counters else None,
            "soft_bound_s": MAX_COUNTER_AGE_PERIODS * self.settings.period_ms / 1000
            if self.escrow.soft_counters
            else None,
            "counts": dict(self.counts),
        }

    def limit_status(self, now: float, limit: Limit) -> dict[str, Any]:
        local_limits = [
            local for (limit_id, _), local in self.escrow.local_limits.items() if limit_id == limit.limit_id
        ]
        lenders = self.lenders(local_limits)
        status: dict[str, Any] = {
            "limit": limit.name,
            "hold": limit.kind.value,
            "of": limit.unit.value,
            "amount": limit.amount,
            "goes_by": self.escrow.amounts[limit.limit_id],
            "refused": self.refused[limit.name],
        }
        if limit.kind is LimitKind.SOFT:
            others = self.estimate_others(now, limit)
            status["used"] = self.escrow.soft_used[limit.limit_id]
            status["others"] = others.known
            status["off_most"] = round(others.max_added, 1)
            status["oldest_s"] = round(others.oldest_ms / 1000, 3) if others.oldest_ms < inf else None
            return status
        own = 0 if limit.each_title else self.escrow.unused_share(limit)
        status["used"] = sum(local.share.used for local in local_limits)
        status["held"] = sum(local.share.capacity() for local in local_limits) if local_limits else own
        status["borrowed"] = sum(local.share.borrowed_total for local in local_limits)
        status["lent"] = sum(local.share.lent_total for local in local_limits)
        status["needed"] = sum(local.share.need for local in local_limits)
        oldest = max((now - self.escrow.peers[f].echoed / 1000 for f in lenders), default=0.0)
        status["oldest_s"] = round(oldest / 1000, 3)
        if limit.kind is LimitKind.EXACT:
            status["over_most"] = 0
            status["back_s"] = round(self.settings.expiry_ms(limit) / 1000, 1)
        else:
            status["in_a_second_most"] = round(self.settings.max_set_ups(limit, 1000.0), 1)
        if limit.each_title:
            status["titles"] = len(local_limits)
        return status

    def lenders(self, local_limits: Iterable[LocalLimit]) -> set[int]:
        return {f for local in local_limits for f, loan in local.share.borrowed.items() if loan.amount}
