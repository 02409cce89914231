"""What the settings say of limits that hold for the whole fleet, and the bounds that follow from it. Pure.

Times in ms, rates in kB a second. Every bound is computed from the settings: the period of words, the number
of fronts, the longest deadline of a class.
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

PERIOD_MOST_MS = 500.0
LEASE_PERIODS = 16  # three tries to renew with each of as many lenders as may be held from
DRIFT = 0.001  # two clocks that do not go back differ by no more than this part of what has passed
FANOUT = 12  # fronts that are asked at once, and told of open loans in a period
RENEWALS = 48  # lenders that are asked to renew in a period
TRIES = 3  # to renew a loan within its lease
LENDERS_MOST = RENEWALS * LEASE_PERIODS // TRIES
LIMITS_MOST = 16  # of one fleet, so that one datagram tells of all
PAIR_MOST = 20  # loans from one front to another, so that one datagram names them all
MILLI = 1000  # units of a set-up a second
STALE_PERIODS = 10  # counters older than that are not gone by


def back_ms(period_ms: float, longest_ms: float, deadline_ms: float) -> float:
    """From when a front was last heard until nothing stands on what it was lent, by the lender's clock."""
    return (LEASE_PERIODS * period_ms + longest_ms) * (1 + DRIFT) + deadline_ms


class LimitKind(StrEnum):
    EXACT = "exact"
    PACED = "paced"
    SOFT = "soft"


class LimitUnit(StrEnum):
    SESSIONS = "sessions"
    RATE = "rate"  # kB a second
    SET_UPS = "set-ups"  # thousandths of one a second


@dataclass(frozen=True)
class Limit:
    """`amount` in units; `partner`, `cls`, `hall`: -1 means any. `each_title`: so much of every title.

    `longest_ms`: what stands on lent room may outlast the loan for so long; 0: it is ended with it.
    `rise`: units a second that one front may add, of a soft limit.
    """

    name: str
    kind: LimitKind
    unit: LimitUnit
    amount: int
    partner: int = -1
    cls: int = -1
    hall: int = -1
    each_title: bool = False
    burst: float = 0.0
    rise: float = 0.0
    longest_ms: float = 0.0

    @cached_property
    def ident(self) -> int:
        return zlib.crc32(self.name.encode())

    def covers(self, partner: int, cls: int, hall: int) -> bool:
        pairs = ((self.partner, partner), (self.cls, cls), (self.hall, hall))
        return all(mine in (-1, theirs) for mine, theirs in pairs)


class Terms(Protocol):
    """What is read of the terms of the service."""

    @property
    def fleet_limits(self) -> Sequence[Limit]: ...
    @property
    def classes(self) -> tuple[i.SessionClass, ...]: ...
    @property
    def ladder_kb(self) -> tuple[float, ...]: ...


@dataclass(frozen=True)
class LimitSettings:
    """Limits stand in the order of their names, which is the order in which a session takes its room."""

    limits: tuple[Limit, ...]
    classes: tuple[i.SessionClass, ...]
    ladder_kb: tuple[float, ...]
    period_ms: float

    @classmethod
    def of(cls, terms: Terms, period_ms: float) -> LimitSettings:
        made = tuple(sorted(terms.fleet_limits, key=lambda limit: limit.name))
        return cls(made, terms.classes, terms.ladder_kb, min(PERIOD_MOST_MS, period_ms))

    def bound(self, limit: Limit) -> str:
        """What holds, in figures."""
        if limit.kind is LimitKind.EXACT:
            lease, back = self.lease_ms / 1000, self.back_ms(limit) / 1000
            keeps = f", what stands on it ends after {limit.longest_ms / 1000:g} s more" * bool(
                limit.longest_ms
            )
            return (
                f"never over {limit.amount}; cut off, a front begins nothing on lent room after {lease:g} s"
                f"{keeps}; room of one that is gone is back after {back:.3g} s"
            )
        if limit.kind is LimitKind.PACED:
            rate = limit.amount / MILLI
            return f"all fronts begin at most {rate:g} t + {limit.burst:g} in any t seconds"
        stale = STALE_PERIODS * self.period_ms / 1000
        return (
            f"never over {limit.amount} while all hear one another; a front that has not heard of another "
            f"for {stale:g} s begins nothing over its part, 1 of so many fronts"
        )

    @property
    def lease_ms(self) -> float:
        """New sessions may be set up on lent room for so long after the loan was last asked for."""
        return LEASE_PERIODS * self.period_ms

    @cached_property
    def deadline_ms(self) -> float:
        """A set-up that was cleared leaves within the deadline of its class, or not at all."""
        return max((c.deadline_ms for c in self.classes), default=0.0)

    def usable_ms(self) -> float:
        """By the borrower's clock, from when it asked."""
        return self.lease_ms * (1 - DRIFT)

    def stands_ms(self, limit: Limit) -> float:
        """By the borrower's clock, from when it asked: then what stands on the loan has been ended."""
        return (self.lease_ms + limit.longest_ms) * (1 - DRIFT)

    def back_ms(self, limit: Limit) -> float:
        """By the lender's clock, from when it heard the question: then nothing stands on the loan."""
        return back_ms(self.period_ms, limit.longest_ms, self.deadline_ms)

    @property
    def open_ms(self) -> float:
        """After a start that remembers nothing: every loan of the life before is over."""
        return max((self.back_ms(limit) for limit in self.limits), default=0.0)

    def paced_most(self, limit: Limit, span_ms: float) -> float:
        """Of a paced limit: begun within any span, by the whole fleet."""
        return limit.amount / MILLI * span_ms / 1000 + limit.burst


def title_digest(title: str) -> int:
    return int.from_bytes(blake2b(title.encode(), digest_size=8).digest(), "big") or 1


def drawn(limit: Limit, title: int, front: int) -> int:
    """By rendezvous: who has one unit more, where a limit cannot be cut into equal parts. The same at every
    front, another order for every title."""
    data = limit.ident.to_bytes(4, "big") + title.to_bytes(8, "big") + front.to_bytes(4, "big")
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "big")


def owners(limit: Limit, title: int, amount: int, fronts: Sequence[int]) -> list[int]:
    """Of these fronts those that own one unit more than the others, by their draw."""
    rest = amount % len(fronts)
    return sorted(fronts, key=lambda n: drawn(limit, title, n))[:rest] if rest else []
