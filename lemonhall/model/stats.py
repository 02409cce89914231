"""Means with bars, paired differences, when to stop, and whether a mean says anything. Pure.

Bars are Student's, 95%. A comparison looks at its pairs several times; to be told apart at any look the bars
at that look are widened so that all looks together err in 5% (Bonferroni: simple, and on the safe side).
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import sqrt

LOOKS = (6, 12, 24, 48)  # pairs at which a comparison is judged
CLUSTER = 0.15  # a mode holds at least this part of the runs
APART = 5.0  # modes lie so many of their own spreads apart
# Student's t, two-sided, by degrees of freedom: 95% and 98.75% (four looks)
T_TABLE = {
    0.95: (12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
           2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048,
           2.045, 2.042),
    0.9875: (50.923, 8.860, 5.392, 4.315, 3.810, 3.521, 3.335, 3.206, 3.111, 3.038, 2.981, 2.934, 2.896,
             2.864, 2.837, 2.813, 2.793, 2.775, 2.759, 2.744, 2.732, 2.720, 2.710, 2.700, 2.692, 2.684,
             2.676, 2.669, 2.663, 2.657),
}  # fmt: skip
T_LIMIT = {0.95: 1.96, 0.9875: 2.498}


def student(freedom: int, level: float = 0.95) -> float:
    """Student's t; beyond 30 degrees of freedom by its expansion towards the normal."""
    table = T_TABLE[level]
    if freedom <= len(table):
        return table[freedom - 1]
    z = T_LIMIT[level]
    return z + (z**3 + z) / (4 * freedom)


@dataclass(frozen=True)
class Bar:
    """A mean with its 95% interval."""

    mean: float
    low: float
    high: float

    def to_json(self) -> dict[str, float]:
        return {"mean": round(self.mean, 5), "low": round(self.low, 5), "high": round(self.high, 5)}

    def __str__(self) -> str:
        return f"{self.mean:.4f} ({self.low:.4f} to {self.high:.4f})"


def spread(values: Sequence[float]) -> float:
    mean = sum(values) / len(values)
    return sqrt(sum((v - mean) ** 2 for v in values) / max(1, len(values) - 1))


def bar(values: Sequence[float], level: float = 0.95) -> Bar:
    """Raises `ValueError` for no values; one value has bars without end."""
    if not values:
        raise ValueError("no values")
    mean = sum(values) / len(values)
    if len(values) < 2:
        return Bar(mean, float("-inf"), float("inf"))
    half = student(len(values) - 1, level) * spread(values) / sqrt(len(values))
    return Bar(mean, mean - half, mean + half)


@dataclass(frozen=True)
class Modes:
    """Two groups of runs: means and the part of the lower one."""

    low: float
    high: float
    part_low: float


def modes(values: Sequence[float]) -> Modes | None:
    """Two modes, if the runs fall into two groups far apart: then a mean describes none of them."""
    ordered = sorted(values)
    n = len(ordered)
    if n < 8:
        return None
    gaps = [(ordered[k + 1] - ordered[k], k + 1) for k in range(n - 1)]
    for _, k in sorted(gaps, reverse=True)[:3]:
        low, high = ordered[:k], ordered[k:]
        if min(len(low), len(high)) < max(2, CLUSTER * n):
            continue
        a, b = sum(low) / len(low), sum(high) / len(high)
        own = sqrt((spread(low) ** 2 * (len(low) - 1) + spread(high) ** 2 * (len(high) - 1)) / max(1, n - 2))
        if b - a > APART * max(own, 1e-9) and b - a > 0.02:
            return Modes(a, b, k / n)
    return None


def judge(differences: Sequence[float], looks: int = len(LOOKS)) -> str:
    """After this look: `better`, `worse` (of B against A) or `cannot tell`."""
    level = 0.9875 if looks > 1 else 0.95
    found = bar(differences, level)
    if found.low > 0:
        return "better"
    return "worse" if found.high < 0 else "cannot tell"
