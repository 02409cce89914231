"""Measures how sessions spilled to other zones and how service recovered when a zone was lost.

These figures are read from the trace in addition to the rules. This module does no I/O.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass
from math import inf

from lemonhall.audit.rules import ENDS_SLACK_MS
from lemonhall.audit.trace import Trace
from lemonhall.config.day import Day

RECOVERED_WITHIN = 0.02  # share of the earlier service by which recovered service may be lower
WINDOW_MS = 2000.0  # service is measured over the requests of this time
ZONE_FAULTS = ("hall-dark", "hall-flap")


@dataclass(frozen=True)
class ZoneReport:
    """What spilled, and the recovery.

    `spilled_most`, `spilled_allowed`: of the spill tier or intake that came nearest to its limit, as shares
    of the bandwidth of the zone's links.
    `overloaded`: servers of a lost zone that failed under load after the zone returned.
    `recovered_s`: from the last return until service is within 2% of that before the first loss; -1 if that
    is not reached within the day, 0 if no zone was lost.
    """

    spilled_most: float = 0.0
    spilled_allowed: float = 0.0
    overloaded: int = 0
    recovered_s: float = 0.0

    def to_json(self) -> dict[str, float]:
        return {
            "spilled_most": round(self.spilled_most, 4),
            "spilled_allowed": self.spilled_allowed,
            "returned_pushed_over": self.overloaded,
            "recovered_s": round(self.recovered_s, 1),
        }


def max_requested_kb(trace: Trace, servers: dict[str, float], fronts: set[str]) -> float:
    """The highest total rate that these fronts requested of these servers at one time, in kB/s."""
    steps: list[tuple[float, float]] = []
    for attempt in trace.attempts:
        if attempt.server not in servers or attempt.front not in fronts:
            continue
        end = max(attempt.at, attempt.end - ENDS_SLACK_MS)  # a front learns of an end before the tap does
        rates = [(at, bits) for at, bits in attempt.rates if at < end] + [(end, 0.0)]
        for (at, bits), (until, _) in zip(rates, rates[1:], strict=False):
            steps += [(at, bits / 8000), (until, -bits / 8000)]
    current = highest = 0.0
    for _, kb in sorted(steps):
        current += kb
        highest = max(highest, current)
    return highest


def worst_spill(trace: Trace, day: Day) -> tuple[float, float]:
    """Of all spill tiers and intakes, the one nearest to its limit: the highest share used, and the limit."""
    terms, worst = day.terms, (0.0, 0.0)
    spills = [
        ({front.name for front in day.fronts if front.hall == tier.hall}, tier.to, tier.share)
        for tier in terms.spills
    ]
    spills += [
        ({front.name for front in day.fronts if front.hall != intake.hall}, intake.hall, intake.links)
        for intake in terms.takes_in
        if intake.links
    ]
    for fronts, target, limit in spills:
        servers = {box.name: box.link_kb for box in day.boxes if box.hall == target}
        share = max_requested_kb(trace, servers, fronts) / max(1e-9, sum(servers.values()))
        if not worst[1] or share / limit > worst[0] / worst[1]:
            worst = (share, limit)
    return worst


def zone_losses(trace: Trace, day: Day) -> list[tuple[float, float, str]]:
    """For each loss of a zone: when it was lost, when it was last back, and its name."""
    losses = []
    for at, kind, zone in trace.zone_faults:
        fault = next(f for f in day.faults if f.kind == kind and zone in f.targets)
        duration_ms = fault.for_ms if kind == "hall-dark" else 2 * fault.for_ms + fault.by_ms
        losses.append((at, at + duration_ms, zone))
    return losses


def overloaded_servers(trace: Trace, day: Day, losses: list[tuple[float, float, str]]) -> int:
    zones = {box.name: day.terms.halls[box.hall] for box in day.boxes}
    return sum(
        any(at >= lost_at and zones[server] == zone for lost_at, _, zone in losses)
        for at, server in trace.overloads
    )


def recovery_time_s(trace: Trace, day: Day, losses: list[tuple[float, float, str]]) -> float:
    """Service is the worth of the requests in a window that were played, over the worth of all of them."""
    if not losses:
        return 0.0
    requests = sorted((r for r in trace.requests.values() if not r.vanished), key=lambda r: r.at)
    times = [request.at for request in requests]

    def service(since: float, until: float) -> float:
        window = requests[bisect_left(times, since) : bisect_left(times, until)]
        worths = [day.terms.classes[request.cls].worth for request in window]
        played = [
            worth
            for worth, request in zip(worths, window, strict=True)
            if any(status == 200 for _, status in request.answers)
        ]
        return sum(played) / sum(worths) if window else 1.0

    before = service(-inf, min(lost_at for lost_at, _, _ in losses))
    at = returned_at = max(until for _, until, _ in losses)
    while times and at < times[-1]:
        if service(at, at + WINDOW_MS) >= before - RECOVERED_WITHIN:
            return (at - returned_at) / 1000
        at += WINDOW_MS / 4
    return -1.0


def zone_report(trace: Trace, day: Day) -> ZoneReport | None:
    """Returns None if the day has no spill tiers."""
    if not day.terms.spills:
        return None
    losses = zone_losses(trace, day)
    return ZoneReport(
        *worst_spill(trace, day),
        overloaded_servers(trace, day, losses),
        recovery_time_s(trace, day, losses),
    )
