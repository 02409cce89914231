"""Settings of the fleet-wide limits and the bounds that follow from them. Pure.

Times are in ms, rates in kB/s. Every bound is computed from the settings: the message period, the number of
fronts, and the longest deadline of a class.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from functools import cached_property
from hashlib import blake2b
from typing import Protocol

from lemonhall import interface as i

MAX_PERIOD_MS = 500.0
LEASE_PERIODS = 16  # allows RENEWAL_ATTEMPTS with each of MAX_LENDERS lenders
MAX_CLOCK_DRIFT = 0.001  # relative difference of two monotonic clocks
FANOUT = 12  # fronts asked for units at once, and fronts sent unacknowledged loans in a period
RENEWALS_PER_PERIOD = 48  # lenders asked to renew in a period
RENEWAL_ATTEMPTS = 3  # within one lease
MAX_LENDERS = RENEWALS_PER_PERIOD * LEASE_PERIODS // RENEWAL_ATTEMPTS
MAX_LIMITS = 16  # of one fleet, so that one datagram can name all of them
MAX_LOANS_PER_PAIR = 20  # from one front to another, so that one datagram can name all of them
UNITS_PER_SET_UP = 1000  # rate limits count thousandths of a set-up per second
MAX_COUNTER_AGE_PERIODS = 10  # older counters of other fronts are not used


def lease_expiry_ms(period_ms: float, session_grace_ms: float, deadline_ms: float) -> float:
    """Time from the last message of a borrower until no session uses the loan, by the lender's clock."""
    return (LEASE_PERIODS * period_ms + session_grace_ms) * (1 + MAX_CLOCK_DRIFT) + deadline_ms


class LimitKind(StrEnum):
    EXACT = "exact"
    PACED = "paced"  # a rate limit on set-ups
    SOFT = "soft"


class LimitUnit(StrEnum):
    SESSIONS = "sessions"
    RATE = "rate"  # kB/s
    SET_UPS = "set-ups"  # thousandths of a set-up per second


@dataclass(frozen=True)
class Limit:
    """One limit of the settings.

    `amount`: in units; `partner`, `cls`, `zone`: -1 matches any; `each_title`: the amount applies to every
    title on its own; `session_grace_ms`: time that sessions may outlast the loan they were set up on, 0 to
    end them with the loan; `rise_per_s`: units that one front may add per second to a soft limit."""

    name: str
    kind: LimitKind
    unit: LimitUnit
    amount: int
    partner: int = -1
    cls: int = -1
    zone: int = -1
    each_title: bool = False
    burst: float = 0.0
    rise_per_s: float = 0.0
    session_grace_ms: float = 0.0

    @cached_property
    def limit_id(self) -> int:
        return zlib.crc32(self.name.encode())

    def covers(self, partner: int, cls: int, zone: int) -> bool:
        pairs = ((self.partner, partner), (self.cls, cls), (self.zone, zone))
        return all(own in (-1, other) for own, other in pairs)


class Terms(Protocol):
    """The fields that are read of the service's terms."""

    @property
    def fleet_limits(self) -> Sequence[Limit]: ...
    @property
    def classes(self) -> tuple[i.SessionClass, ...]: ...
    @property
    def ladder_kb(self) -> tuple[float, ...]: ...


@dataclass(frozen=True)
class LimitSettings:
    """Settings of all limits. `limits` are sorted by name, the order in which a session reserves units."""

    limits: tuple[Limit, ...]
    classes: tuple[i.SessionClass, ...]
    ladder_kb: tuple[float, ...]
    period_ms: float

    @classmethod
    def of(cls, terms: Terms, period_ms: float) -> LimitSettings:
        limits = tuple(sorted(terms.fleet_limits, key=lambda limit: limit.name))
        return cls(limits, terms.classes, terms.ladder_kb, min(MAX_PERIOD_MS, period_ms))

    def describe_bound(self, limit: Limit) -> str:
        """The guarantee of a limit, in figures, for operators."""
        if limit.kind is LimitKind.EXACT:
            lease_s, expiry_s = self.lease_ms / 1000, self.expiry_ms(limit) / 1000
            grace = f", what stands on it ends after {limit.session_grace_ms / 1000:g} s more" * bool(
                limit.session_grace_ms
            )
            return (
                f"never over {limit.amount}; cut off, a front begins nothing on lent room after {lease_s:g} s"
                f"{grace}; room of one that is gone is back after {expiry_s:.3g} s"
            )
        if limit.kind is LimitKind.PACED:
            rate = limit.amount / UNITS_PER_SET_UP
            return f"all fronts begin at most {rate:g} t + {limit.burst:g} in any t seconds"
        max_age_s = MAX_COUNTER_AGE_PERIODS * self.period_ms / 1000
        return (
            f"never over {limit.amount} while all hear one another; a front that has not heard of another "
            f"for {max_age_s:g} s begins nothing over its part, 1 of so many fronts"
        )

    @property
    def lease_ms(self) -> float:
        """Time from the last renewal request in which sessions may be set up on borrowed units."""
        return LEASE_PERIODS * self.period_ms

    @cached_property
    def deadline_ms(self) -> float:
        """Longest time from the admission of a set-up until it is sent; later it is not sent at all."""
        return max((c.deadline_ms for c in self.classes), default=0.0)

    def usable_ms(self) -> float:
        """Time from the renewal request in which borrowed units are usable, by the borrower's clock."""
        return self.lease_ms * (1 - MAX_CLOCK_DRIFT)

    def session_end_ms(self, limit: Limit) -> float:
        """Time from the renewal request by which the borrower ends the sessions on the loan, by its clock."""
        return (self.lease_ms + limit.session_grace_ms) * (1 - MAX_CLOCK_DRIFT)

    def expiry_ms(self, limit: Limit) -> float:
        """Time from the receipt of a renewal request until the loan is free again, by the lender's clock."""
        return lease_expiry_ms(self.period_ms, limit.session_grace_ms, self.deadline_ms)

    @property
    def restart_wait_ms(self) -> float:
        """Time after a start without state until every loan of the previous incarnation has expired."""
        return max((self.expiry_ms(limit) for limit in self.limits), default=0.0)

    def max_set_ups(self, limit: Limit, span_ms: float) -> float:
        """Set-ups that the whole fleet starts at most within any span under a rate limit."""
        return limit.amount / UNITS_PER_SET_UP * span_ms / 1000 + limit.burst


def title_digest(title: str) -> int:
    return int.from_bytes(blake2b(title.encode(), digest_size=8).digest(), "big") or 1


def rendezvous_weight(limit: Limit, title: int, front: int) -> int:
    """Rendezvous hash that decides which fronts own one unit more where a limit does not divide evenly.

    All fronts compute the same order, and each title has another one.
    """
    data = limit.limit_id.to_bytes(4, "big") + title.to_bytes(8, "big") + front.to_bytes(4, "big")
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "big")


def remainder_owners(limit: Limit, title: int, amount: int, fronts: Sequence[int]) -> list[int]:
    """The fronts that own one unit more than the others."""
    rest = amount % len(fronts)
    return sorted(fronts, key=lambda n: rendezvous_weight(limit, title, n))[:rest] if rest else []
