"""Counters of all fronts for soft limits: the last known use of the other fronts, and how much they may have
added since.

The counters are a state-based CRDT (Shapiro et al., SSS 2011): merging keeps the later entry of each front,
so neither the order of messages nor their repetition matters."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from lemonhall.limits.settings import Limit


@dataclass(frozen=True, order=True)
class CounterEntry:
    """The use of one front. `counter_stamp`: by that front's clock; `as_of`: the earliest time at which
    it was true, by this front's clock."""

    incarnation: int
    counter_stamp: int
    as_of: float
    used: int


@dataclass(frozen=True)
class Estimate:
    """`known`: use by the other fronts' last messages, at most `oldest_ms` old; `max_added`: the most that
    they may have added since."""

    known: int
    max_added: float
    oldest_ms: float


class SoftCounters:
    """The counters of one soft limit."""

    def __init__(self, limit: Limit, period_ms: float) -> None:
        self.limit, self.period_ms = limit, period_ms
        self.entries: dict[int, CounterEntry] = {}

    def merge(self, front: int, entry: CounterEntry) -> None:
        """Keeps the later entry; of two copies of one message, the one known to be younger."""
        old = self.entries.get(front)
        if old is None or entry > old:
            self.entries[front] = entry

    def estimate(self, now: float, number: int, fronts: int, amount: int) -> Estimate:
        """The use of all fronts but `number`."""
        known, max_added, oldest = 0, 0.0, 0.0
        for front in range(fronts):
            if front == number:
                continue
            entry = self.entries.get(front)
            used, age = (entry.used, max(0.0, now - entry.as_of)) if entry else (0, inf)
            rise = self.burst() + self.limit.rise_per_s * age / 1000
            known += used
            max_added += min(rise, max(0, amount - used))
            oldest = max(oldest, age)
        return Estimate(known, max_added, oldest)

    def forget_front(self, front: int, now: float) -> None:
        """The front is permanently gone and adds nothing any more."""
        old = self.entries.get(front)
        self.entries[front] = CounterEntry(
            old.incarnation if old else 0, old.counter_stamp + 1 if old else 0, inf, 0
        )

    def burst(self) -> float:
        """Units that one front may add at once."""
        return max(1.0, self.limit.rise_per_s * self.period_ms / 1000)
