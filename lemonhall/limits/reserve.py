"""What of a limit is kept for the sessions of more worth: the paper's Method II, as the design's reserves.

The limit is a server of so many slots; the loads are those of sessions that asked to spill; the reserve of
the premium sessions is the one with the best pay-off (`lemonhall.decide.best_reserves`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lemonhall import interface as i
from lemonhall.decide import best_reserves

PERIOD_MS = 5000.0  # it is found anew this often (design)
WINDOW_MS = 60_000.0  # memory of what asked
FEW = 6.0  # asked for, under which nothing is kept
SLOTS_MOST = 24  # more are taken in groups: the sum over slots grows with their square
GAIN = 0.1
FIRST_LENGTH_MS = 40_000.0


@dataclass
class Reserve:
    """Of one limit; amounts in millionths of it."""

    counts: list[float] = field(default_factory=lambda: [0.0, 0.0])  # decayed: low, premium
    counted_at: float = 0.0
    seen_ms: float = 0.0
    length_ms: float = FIRST_LENGTH_MS
    sits: list[int] = field(default_factory=lambda: [0, 0])
    number: int = 0
    settled_at: float = float("-inf")
    quota: int = 0  # kept for premium sessions

    def came(self, now: float, premium: bool) -> None:
        left = max(0.0, 1 - (now - self.counted_at) / WINDOW_MS)
        self.counts = [c * left for c in self.counts]
        self.seen_ms = left * self.seen_ms + min(WINDOW_MS, now - self.counted_at)
        self.counted_at = now
        self.counts[premium] += 1.0

    def take(self, units: int, premium: bool, sign: int) -> None:
        self.sits[premium] += sign * units
        self.number += sign

    def lasted(self, ms: float) -> None:
        self.length_ms += GAIN * (ms - self.length_ms)

    def settle(self, now: float, mine: int, classes: tuple[i.SessionClass, ...]) -> None:
        if now - self.settled_at < PERIOD_MS:
            return
        self.settled_at = now
        worths = sorted({c.worth for c in classes})
        if sum(self.counts) < FEW or len(worths) < 2 or not self.number or mine <= 0:
            self.quota = 0
            return
        each = max(1.0, sum(self.sits) / self.number)
        group = max(1, round(mine / each / SLOTS_MOST))
        slots = max(1, int(mine / (each * group)))
        load = [c * self.length_ms / max(PERIOD_MS, self.seen_ms) / group for c in self.counts]
        high = sum(worths[1:]) / len(worths[1:])
        self.quota = int(best_reserves(slots, load[1], load[0], high, worths[0])[0] * each * group)

    def kept(self, premium: bool) -> int:
        """What a session must leave free."""
        return 0 if premium else max(0, self.quota - self.sits[True])
