"""Limits of the whole fleet, counted at the servers' taps and held against what they promise. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from math import inf

import numpy as np

from lemonhall.audit.rules import ENDS_SLACK_MS, SLACK_MS
from lemonhall.audit.trace import Ask, Attempt, Trace
from lemonhall.config.day import Day
from lemonhall.limits import Limit, LimitKind, LimitUnit

STARTED_MS = 3000.0  # of a day: until its viewers have come


@dataclass(frozen=True)
class LimitsReport:
    """`over_most`: units over an exact or soft limit at any time, the most of all (sessions, kB a second).

    `over_bound`: of paced limits, begun in any span over what its formula allows in it; 1 is the bound.
    `used_share`: of the exact limit that was wanted most, what was used over what could have been.
    `stale_most_s`, `stale_bound_s`: age of words that a soft limit was gone by, and where it is charged no
    more; -1: none was."""

    over_most: float = 0.0
    over_bound: float = 0.0
    used_share: float = -1.0
    stale_most_s: float = -1.0
    stale_bound_s: float = -1.0
    by_limit: dict[str, float] = field(default_factory=dict)  # the most that stood, or began in a second

    def to_json(self) -> dict[str, float]:
        return {
            "limit_over_most": round(self.over_most, 3),
            "limit_over_bound": round(self.over_bound, 4),
            "limit_used_share": round(self.used_share, 4),
            "limit_stale_most_s": round(self.stale_most_s, 3),
            "limit_stale_bound_s": round(self.stale_bound_s, 3),
        }


def covered(trace: Trace, day: Day, limit: Limit) -> Iterator[tuple[Attempt, Ask]]:
    halls = {f.name: f.hall for f in day.fronts}
    for attempt in trace.attempts:
        ask = trace.asks.get(attempt.token)
        if ask and covers(limit, ask, halls):
            yield attempt, ask


def covers(limit: Limit, ask: Ask, halls: dict[str, int]) -> bool:
    pairs = ((limit.partner, ask.tenant), (limit.cls, ask.cls), (limit.zone, halls.get(ask.front, -2)))
    return all(mine in (-1, theirs) for mine, theirs in pairs)


def steps_of(limit: Limit, attempt: Attempt, last: float) -> list[tuple[float, float]]:
    """What it takes from when to when: from its set-up until its end came, less what a tap may be late by."""
    if attempt.never_ran:
        return []
    end = max(attempt.at, min(last, attempt.end) - ENDS_SLACK_MS)
    if limit.unit is not LimitUnit.RATE:
        return [(attempt.at, 1.0), (end, -1.0)]
    marks = [(at, bits / 8000) for at, bits in attempt.rates if at < end] + [(end, 0.0)]
    found = []
    for (at, kb), (until, _) in zip(marks, marks[1:], strict=False):
        found += [(at, kb), (until, -kb)]
    return found


def most_of(steps: Iterable[tuple[float, float]]) -> float:
    now = most = 0.0
    for _, step in sorted(steps):
        now += step
        most = max(most, now)
    return most


def held_most(trace: Trace, day: Day, limit: Limit) -> float:
    """The most that stood at one time, of all titles or of the one that had most."""
    last = last_of(trace)
    by_title: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for attempt, ask in covered(trace, day, limit):
        by_title[ask.title if limit.each_title else ""] += steps_of(limit, attempt, last)
    return max((most_of(steps) for steps in by_title.values()), default=0.0)


def last_of(trace: Trace) -> float:
    ends = [a.end for a in trace.attempts if a.end < inf] + [a.at for a in trace.attempts]
    return max(ends, default=0.0)


def begun_over(trace: Trace, day: Day, limit: Limit) -> float:
    """Of all spans from one set-up to a later one, the most that began over what may, taps being late."""
    times = np.sort(np.array([attempt.at for attempt, _ in covered(trace, day, limit)]))
    per_ms, worst = limit.amount / 1_000_000, 0.0
    for first in range(len(times)):
        spans = times[first:] - times[first] + SLACK_MS
        worst = max(worst, float(np.max(np.arange(1, len(spans) + 1) / (per_ms * spans + limit.burst))))
    return worst


def used_share(trace: Trace, day: Day, limit: Limit) -> tuple[float, float]:
    """What was used over what could have been, and how much more was wanted than there was."""
    halls = {f.name: f.hall for f in day.fronts}
    wanted: dict[str, tuple[float, float]] = {}  # by person: from the first try to the end of what it asked
    for ask in trace.asks.values():
        if covers(limit, ask, halls) and not ask.vanished:
            person = ask.token.partition(".")[0]
            since, until = wanted.get(person, (ask.at, ask.at))
            wanted[person] = (min(since, ask.at), max(until, min(ask.left_at, ask.at + ask.length_ms)))
    if not wanted:
        return -1.0, 0.0
    begin = min(since for since, _ in wanted.values()) + STARTED_MS
    grid = np.arange(begin, begin + max(1000.0, day.length_ms - STARTED_MS), 50.0)
    asked, used = np.zeros(len(grid)), np.zeros(len(grid))
    for since, until in wanted.values():
        asked += (grid >= since) & (grid < until)
    for attempt, _ in covered(trace, day, limit):
        if attempt.media_at < inf:
            used += (grid >= attempt.at) & (grid < attempt.end)
    could = np.minimum(asked, limit.amount)
    total = float(could.sum())
    share = float(np.minimum(used, could).sum()) / total if total else -1.0
    return share, float(asked.max()) / limit.amount


def of_limits(trace: Trace, day: Day, told: list[dict[str, object]]) -> LimitsReport | None:
    """`told`: what fronts said of their limits at their end. None where there are no limits."""
    limits = day.terms.fleet_limits
    if not limits:
        return None
    over, by_limit = 0.0, {}
    paced = [m for m in limits if m.kind is LimitKind.PACED]
    held = [m for m in limits if m.kind is not LimitKind.PACED]
    for limit in held:
        by_limit[limit.name] = held_most(trace, day, limit)
        over = max(over, by_limit[limit.name] - limit.amount)
    begun = 0.0
    for limit in paced:
        by_limit[limit.name] = begun_over(trace, day, limit)
        begun = max(begun, by_limit[limit.name])
    shares = [
        used_share(trace, day, m)
        for m in held
        if m.kind is LimitKind.EXACT and m.unit is LimitUnit.SESSIONS and not m.each_title
    ]
    share = max(shares, key=lambda pair: pair[1], default=(-1.0, 0.0))[0]
    ages = [float(str(t["soft_oldest_s"])) for t in told if t.get("soft_oldest_s") is not None]
    bounds = [float(str(t["soft_bound_s"])) for t in told if t.get("soft_bound_s") is not None]
    soft = bool(ages) and any(m.kind is LimitKind.SOFT for m in limits)
    return LimitsReport(
        max(0.0, over),
        begun,
        share,
        max(ages) if soft else -1.0,
        max(bounds) if soft and bounds else -1.0,
        by_limit,
    )
