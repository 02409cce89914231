"""Measures the fleet-wide limits at the servers' taps and compares the use with what each limit allows.

This module does no I/O.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from math import inf

import numpy as np

from lemonhall.audit.rules import ENDS_SLACK_MS, SLACK_MS
from lemonhall.audit.trace import Attempt, SetUpRequest, Trace
from lemonhall.config.day import Day
from lemonhall.limits import Limit, LimitKind, LimitUnit

RAMP_UP_MS = 3000.0  # the start of a day, during which its viewers arrive


@dataclass(frozen=True)
class LimitsReport:
    """Use of the limits.

    `over_most`: the most by which an exact or soft limit was exceeded at any time, in its unit (sessions,
    kB/s).
    `over_bound`: of rate limits, set-ups in any span of time over those that the limit's formula allows; 1 is
    the bound.
    `used_share`: of the exact limit with the highest demand, the use over the possible use.
    `stale_most_s`, `stale_bound_s`: the greatest age of a report that a soft limit was decided by, and the
    age beyond which no more is admitted; -1 if there was none.
    """

    over_most: float = 0.0
    over_bound: float = 0.0
    used_share: float = -1.0
    stale_most_s: float = -1.0
    stale_bound_s: float = -1.0
    # by name: the highest use; for rate limits the highest ratio of `over_bound`
    by_limit: dict[str, float] = field(default_factory=dict)

    def to_json(self) -> dict[str, float]:
        return {
            "limit_over_most": round(self.over_most, 3),
            "limit_over_bound": round(self.over_bound, 4),
            "limit_used_share": round(self.used_share, 4),
            "limit_stale_most_s": round(self.stale_most_s, 3),
            "limit_stale_bound_s": round(self.stale_bound_s, 3),
        }


def covered_attempts(trace: Trace, day: Day, limit: Limit) -> Iterator[tuple[Attempt, SetUpRequest]]:
    zones = {front.name: front.hall for front in day.fronts}
    for attempt in trace.attempts:
        request = trace.requests.get(attempt.token)
        if request and covers(limit, request, zones):
            yield attempt, request


def covers(limit: Limit, request: SetUpRequest, zones: dict[str, int]) -> bool:
    """`zones`: the zone's number by front."""
    pairs = (
        (limit.partner, request.tenant),
        (limit.cls, request.cls),
        (limit.zone, zones.get(request.front, -2)),
    )
    return all(expected in (-1, actual) for expected, actual in pairs)


def use_steps(limit: Limit, attempt: Attempt, last: float) -> list[tuple[float, float]]:
    """The changes of a limit's use by an attempt, with their times.

    The use starts with the set-up and ends with the attempt, less the time by which a tap may report its end
    late. `last` is the end of the trace.
    """
    if attempt.never_ran:
        return []
    end = max(attempt.at, min(last, attempt.end) - ENDS_SLACK_MS)
    if limit.unit is not LimitUnit.RATE:
        return [(attempt.at, 1.0), (end, -1.0)]
    rates = [(at, bits / 8000) for at, bits in attempt.rates if at < end] + [(end, 0.0)]
    steps = []
    for (at, kb), (until, _) in zip(rates, rates[1:], strict=False):
        steps += [(at, kb), (until, -kb)]
    return steps


def highest_use(steps: Iterable[tuple[float, float]]) -> float:
    current = highest = 0.0
    for _, step in sorted(steps):
        current += step
        highest = max(highest, current)
    return highest


def highest_limit_use(trace: Trace, day: Day, limit: Limit) -> float:
    """The highest use at one time: of all titles together, or of one title if the limit is for each title."""
    last = end_of_trace(trace)
    by_title: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for attempt, request in covered_attempts(trace, day, limit):
        by_title[request.title if limit.each_title else ""] += use_steps(limit, attempt, last)
    return max((highest_use(steps) for steps in by_title.values()), default=0.0)


def end_of_trace(trace: Trace) -> float:
    times = [a.end for a in trace.attempts if a.end < inf] + [a.at for a in trace.attempts]
    return max(times, default=0.0)


def set_ups_over_bound(trace: Trace, day: Day, limit: Limit) -> float:
    """Of all spans from one set-up to a later one, the highest ratio of set-ups to those allowed.

    The span is lengthened by the slack of the taps.
    """
    times = np.sort(np.array([attempt.at for attempt, _ in covered_attempts(trace, day, limit)]))
    per_ms, worst = limit.amount / 1_000_000, 0.0
    for first in range(len(times)):
        spans = times[first:] - times[first] + SLACK_MS
        worst = max(worst, float(np.max(np.arange(1, len(spans) + 1) / (per_ms * spans + limit.burst))))
    return worst


def used_share(trace: Trace, day: Day, limit: Limit) -> tuple[float, float]:
    """Returns the use over the possible use, and the highest demand over the limit."""
    zones = {front.name: front.hall for front in day.fronts}
    # by person: from the first try until the end of what was requested
    demand: dict[str, tuple[float, float]] = {}
    for request in trace.requests.values():
        if covers(limit, request, zones) and not request.vanished:
            person = request.token.partition(".")[0]
            since, until = demand.get(person, (request.at, request.at))
            demand[person] = (
                min(since, request.at),
                max(until, min(request.left_at, request.at + request.length_ms)),
            )
    if not demand:
        return -1.0, 0.0
    start = min(since for since, _ in demand.values()) + RAMP_UP_MS
    grid = np.arange(start, start + max(1000.0, day.length_ms - RAMP_UP_MS), 50.0)
    demanded, used = np.zeros(len(grid)), np.zeros(len(grid))
    for since, until in demand.values():
        demanded += (grid >= since) & (grid < until)
    for attempt, _ in covered_attempts(trace, day, limit):
        if attempt.media_at < inf:
            used += (grid >= attempt.at) & (grid < attempt.end)
    possible = np.minimum(demanded, limit.amount)
    total = float(possible.sum())
    share = float(np.minimum(used, possible).sum()) / total if total else -1.0
    return share, float(demanded.max()) / limit.amount


def limits_report(trace: Trace, day: Day, statuses: list[dict[str, object]]) -> LimitsReport | None:
    """Returns None if the day has no limits. `statuses`: the last reports of the fronts on their limits."""
    limits = day.terms.fleet_limits
    if not limits:
        return None
    over, by_limit = 0.0, {}
    rate_limits = [limit for limit in limits if limit.kind is LimitKind.PACED]
    use_limits = [limit for limit in limits if limit.kind is not LimitKind.PACED]
    for limit in use_limits:
        by_limit[limit.name] = highest_limit_use(trace, day, limit)
        over = max(over, by_limit[limit.name] - limit.amount)
    over_bound = 0.0
    for limit in rate_limits:
        by_limit[limit.name] = set_ups_over_bound(trace, day, limit)
        over_bound = max(over_bound, by_limit[limit.name])
    shares = [
        used_share(trace, day, limit)
        for limit in use_limits
        if limit.kind is LimitKind.EXACT and limit.unit is LimitUnit.SESSIONS and not limit.each_title
    ]
    share = max(shares, key=lambda pair: pair[1], default=(-1.0, 0.0))[0]
    ages = [float(str(s["soft_oldest_s"])) for s in statuses if s.get("soft_oldest_s") is not None]
    bounds = [float(str(s["soft_bound_s"])) for s in statuses if s.get("soft_bound_s") is not None]
    has_soft = bool(ages) and any(limit.kind is LimitKind.SOFT for limit in limits)
    return LimitsReport(
        max(0.0, over),
        over_bound,
        share,
        max(ages) if has_soft else -1.0,
        max(bounds) if has_soft and bounds else -1.0,
        by_limit,
    )
