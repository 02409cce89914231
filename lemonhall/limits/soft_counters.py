"""Counters of all fronts that merge without order, each with its age: what others used, and how far off that
may be by now. Joining takes the later word on each front (Shapiro and others, SSS 2011): the order of words,
and how often one comes, make no difference.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from lemonhall.limits.settings import Limit


@dataclass(frozen=True, order=True)
class Entry:
    """`at`: that front's own clock; `as_of`: of this front's clock, when it was true at the earliest."""

    life: int
    at: int
    as_of: float
    used: int


@dataclass(frozen=True)
class Estimate:
    """`known` by others' last words, `oldest_ms` old at most; `off`: they may have added so much since."""

    known: int
    off: float
    oldest_ms: float


class Counters:
    """Of one soft limit."""

    def __init__(self, limit: Limit, period_ms: float) -> None:
        self.limit, self.period_ms = limit, period_ms
        self.entries: dict[int, Entry] = {}

    def join(self, front: int, entry: Entry) -> None:
        """The later wins; of the same word, the one that is known to be younger."""
        old = self.entries.get(front)
        if old is None or entry > old:
            self.entries[front] = entry

    def estimate(self, now: float, number: int, fronts: int, amount: int) -> Estimate:
        known, off, oldest = 0, 0.0, 0.0
        for front in range(fronts):
            if front == number:
                continue
            entry = self.entries.get(front)
            used, age = (entry.used, max(0.0, now - entry.as_of)) if entry else (0, inf)
            rise = self.burst() + self.limit.rise * age / 1000
            known += used
            off += min(rise, max(0, amount - used))
            oldest = max(oldest, age)
        return Estimate(known, off, oldest)

    def forget(self, front: int, now: float) -> None:
        """It is gone for good, and adds nothing any more."""
        old = self.entries.get(front)
        self.entries[front] = Entry(old.life if old else 0, old.at + 1 if old else 0, inf, 0)

    def burst(self) -> float:
        """What one front may add at once."""
        return max(1.0, self.limit.rise * self.period_ms / 1000)
