"""Units of a limit kept for premium sessions by Method II of the paper.

The limit is treated as a server with slots, the loads are those of the sessions that asked for units, and the
reserve of the premium sessions is the one with the best pay-off (`lemonhall.decide.best_reserves`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lemonhall import interface as i
from lemonhall.decide import best_reserves

UPDATE_PERIOD_MS = 5000.0
WINDOW_MS = 60_000.0  # of the decayed request counts
MIN_REQUESTS = 6.0  # below this count nothing is reserved
MAX_SLOTS = 24  # more slots are grouped, since the sum over slots grows with their square
LENGTH_GAIN = 0.1  # of the exponential average of session lengths
INITIAL_LENGTH_MS = 40_000.0


@dataclass
class Reserve:
    """The reserve of one limit; amounts in units of the limit."""

    request_counts: list[float] = field(default_factory=lambda: [0.0, 0.0])  # decayed: low, premium
    counted_at: float = 0.0
    observed_ms: float = 0.0
    length_ms: float = INITIAL_LENGTH_MS
    units_in_use: list[int] = field(default_factory=lambda: [0, 0])  # low, premium
    session_count: int = 0
    updated_at: float = float("-inf")
    quota: int = 0  # units kept for premium sessions

    def record_request(self, now: float, premium: bool) -> None:
        left = max(0.0, 1 - (now - self.counted_at) / WINDOW_MS)
        self.request_counts = [c * left for c in self.request_counts]
        self.observed_ms = left * self.observed_ms + min(WINDOW_MS, now - self.counted_at)
        self.counted_at = now
        self.request_counts[premium] += 1.0

    def record_use(self, units: int, premium: bool, sign: int) -> None:
        """Adds (`sign` 1) or removes (-1) a session that uses the units."""
        self.units_in_use[premium] += sign * units
        self.session_count += sign

    def record_length(self, length_ms: float) -> None:
        self.length_ms += LENGTH_GAIN * (length_ms - self.length_ms)

    def update_quota(self, now: float, capacity: int, classes: tuple[i.SessionClass, ...]) -> None:
        if now - self.updated_at < UPDATE_PERIOD_MS:
            return
        self.updated_at = now
        worths = sorted({c.worth for c in classes})
        if (
            sum(self.request_counts) < MIN_REQUESTS
            or len(worths) < 2
            or not self.session_count
            or capacity <= 0
        ):
            self.quota = 0
            return
        units_per_session = max(1.0, sum(self.units_in_use) / self.session_count)
        group = max(1, round(capacity / units_per_session / MAX_SLOTS))
        slots = max(1, int(capacity / (units_per_session * group)))
        load = [
            c * self.length_ms / max(UPDATE_PERIOD_MS, self.observed_ms) / group for c in self.request_counts
        ]
        premium_worth = sum(worths[1:]) / len(worths[1:])
        self.quota = int(
            best_reserves(slots, load[1], load[0], premium_worth, worths[0])[0] * units_per_session * group
        )

    def units_kept_free(self, premium: bool) -> int:
        """Units that a session has to leave free for premium sessions."""
        return 0 if premium else max(0, self.quota - self.units_in_use[True])
