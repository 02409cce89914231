"""Measures how a fleet recovered after fronts were killed, from the trace and in addition to the rules.

Demand is what people wanted, whether or not a front was there to receive it: a try that reached no front, or
was rejected on connecting, was not served. This module does no I/O.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass
from math import inf

from lemonhall.audit.rules import SLACK_MS
from lemonhall.audit.trace import Trace
from lemonhall.config.settings import Terms
from lemonhall.interface import ServerState

BEFORE_MS = 4000.0  # time before the first kill over which the earlier service is measured
FULL_WITHIN = 0.02  # share of the earlier service by which full service may be lower
WINDOW_MS = 2000.0  # service is measured over the tries of this time, and has to stay full for as long
# The start of the first window must not be much worse than the rest of it. Otherwise the measured recovery
# would begin before the fronts are back.
HEAD_MS, HEAD_WITHIN = 500.0, 0.1
STEP_MS = 100.0  # step of the search, and the span in which connections and list calls are counted
MASS_KILL_FRONTS = 3  # kills within a second of one another that are measured as one mass kill
MASS_KILL_MS = 1000.0


@dataclass(frozen=True)
class RecoveryReport:
    """The recovery after the last mass kill.

    `full_service_s`: from the last kill until service is within 2% of the earlier one, and stays so for 2 s;
    -1 if that is not reached within the day.
    `fronts_s`: for each front that recovered, from its start until it reported the phase `full`.
    `connects_most`: the most new connections at one server in 100 ms, over the same figure before the kill.
    `list_calls_most`: the most calls for the server list in 100 ms.
    """

    full_service_s: float
    fronts_s: tuple[float, ...]
    connects_most: float
    list_calls_most: int
    stale_decisions: int

    def to_json(self) -> dict[str, float]:
        sorted_s = sorted(self.fronts_s)
        median_s = sorted_s[len(sorted_s) // 2] if sorted_s else -1.0
        return {
            "full_service_s": round(self.full_service_s, 1),
            "full_service_p50_s": round(median_s, 2),
            "full_service_worst_s": round(sorted_s[-1] if sorted_s else -1.0, 2),
            "connects_most": round(self.connects_most, 2),
            "list_calls_most": self.list_calls_most,
            "stale_decisions": self.stale_decisions,
        }


def mass_kills(trace: Trace) -> list[float]:
    """Returns the time of the last kill of each mass kill."""
    groups: list[list[float]] = []
    for at in sorted(at for at, _, _ in trace.front_kills):
        if groups and at - groups[-1][-1] <= MASS_KILL_MS:
            groups[-1].append(at)
        else:
            groups.append([at])
    return [times[-1] for times in groups if len(times) >= MASS_KILL_FRONTS]


def tries_by_time(trace: Trace, terms: Terms) -> list[tuple[float, float, float]]:
    """Returns the time, the worth and the served worth of each try, in the order of time."""
    tries = [(at, terms.classes[cls].worth, 0.0) for at, cls in trace.rejected_tries]
    for request in trace.requests.values():
        if not request.vanished:
            worth = terms.classes[request.cls].worth
            tries.append((request.at, worth, worth * any(status == 200 for _, status in request.answers)))
    return sorted(tries)


def full_service_s(trace: Trace, terms: Terms, first: float, last: float) -> float:
    """`first`: time of the first kill of the run; `last`: of the last kill of a mass kill."""
    tries = tries_by_time(trace, terms)
    times = [at for at, _, _ in tries]

    def service(since: float, until: float) -> float:
        window = tries[bisect_left(times, since) : bisect_left(times, until)]
        return (
            sum(served for _, _, served in window) / sum(worth for _, worth, _ in window) if window else 0.0
        )

    before = service(first - BEFORE_MS, first)
    at, full_since = last, inf
    while times and at + WINDOW_MS <= times[-1]:
        head_served = full_since < inf or service(at, at + HEAD_MS) >= before - HEAD_WITHIN
        if head_served and service(at, at + WINDOW_MS) >= before - FULL_WITHIN:
            full_since = min(full_since, at)
            if at - full_since >= WINDOW_MS:
                return (full_since - last) / 1000
        else:
            full_since = inf
        at += STEP_MS
    return -1.0


def most_in_step(times: list[float]) -> int:
    """Returns the highest number of times within a span of `STEP_MS`."""
    times, most, first = sorted(times), 0, 0
    for last, at in enumerate(times):
        while at - times[first] >= STEP_MS:
            first += 1
        most = max(most, last - first + 1)
    return most


def most_connections(trace: Trace, since: float, until: float) -> int:
    """Returns the most new connections at one server within `STEP_MS`."""
    by_server: dict[str, list[float]] = defaultdict(list)
    for at, server in trace.server_connections:
        if since <= at < until:
            by_server[server].append(at)
    return max(map(most_in_step, by_server.values()), default=0)


def stale_decisions(trace: Trace) -> int:
    """Counts set-ups at a server after the same front process had received its drain or end."""
    starts: dict[str, list[float]] = defaultdict(list)
    for _, back_at, front in trace.front_kills:
        starts[front].append(back_at)
    updates: dict[tuple[str, int], list[tuple[float, bool]]] = defaultdict(list)
    for at, front, _, states in trace.list_updates:
        for incarnation, state in states.items():
            updates[front, incarnation].append((at, state != ServerState.READY))
    count = 0
    for attempt in trace.attempts:
        since = max((at for at in starts[attempt.front] if at <= attempt.at), default=-inf)
        known = [
            ended
            for at, ended in updates[attempt.front, attempt.incarnation]
            if since <= at <= attempt.at - SLACK_MS
        ]
        count += bool(known and known[-1])
    return count


def recovery_report(trace: Trace, terms: Terms) -> RecoveryReport | None:
    """Returns None if no mass kill took place."""
    if not (kills := mass_kills(trace)):
        return None
    first, last = min(at for at, _, _ in trace.front_kills), kills[-1]
    usual_connections = most_connections(trace, first - BEFORE_MS, first)
    return RecoveryReport(
        full_service_s(trace, terms, first, last),
        tuple(after_s for at, _, after_s in trace.front_recoveries if at >= last),
        most_connections(trace, first, inf) / max(1, usual_connections),
        most_in_step([at for at in trace.list_calls if at >= first]),
        stale_decisions(trace),
    )
