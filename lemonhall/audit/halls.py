"""What spilled when a hall was lost, and how it came back: read from the trace, beside the rules. Pure."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass
from math import inf

from lemonhall.audit.rules import ENDS_SLACK_MS
from lemonhall.audit.trace import Trace
from lemonhall.config.day import Day

WITHIN = 0.02  # of the service before, from which on it counts as recovered
WINDOW_MS = 2000.0  # asks of so long are taken together
HALL_FAULTS = ("hall-dark", "hall-flap")


@dataclass(frozen=True)
class HallReport:
    """`most`, `allowed`: of the tier or intake that came nearest to its limit, as parts of the hall's links.

    `pushed_over`: servers of a hall that had been lost which fell over after they came back.
    `recovered_s`: from the last return until service is within 2% of what it was before the first loss; -1:
    not within the day; 0 if no hall was lost."""

    most: float = 0.0
    allowed: float = 0.0
    pushed_over: int = 0
    recovered_s: float = 0.0

    def to_json(self) -> dict[str, float]:
        return {
            "spilled_most": round(self.most, 4),
            "spilled_allowed": self.allowed,
            "returned_pushed_over": self.pushed_over,
            "recovered_s": round(self.recovered_s, 1),
        }


def asked_most(trace: Trace, boxes: dict[str, float], fronts: set[str]) -> float:
    """The most that the fronts ever asked of these servers at one time, kB a second."""
    steps: list[tuple[float, float]] = []
    for attempt in trace.attempts:
        if attempt.box not in boxes or attempt.front not in fronts:
            continue
        end = max(attempt.at, attempt.end - ENDS_SLACK_MS)  # a front knows of an end before a tap does
        marks = [(at, bits) for at, bits in attempt.rates if at < end] + [(end, 0.0)]
        for (at, bits), (until, _) in zip(marks, marks[1:], strict=False):
            steps += [(at, bits / 8000), (until, -bits / 8000)]
    now = most = 0.0
    for _, kb in sorted(steps):
        now += kb
        most = max(most, now)
    return most


def spilled(trace: Trace, day: Day) -> tuple[float, float]:
    """Of all tiers and intakes the one nearest to its limit: the most that was taken, and the limit."""
    terms, worst = day.terms, (0.0, 0.0)
    asks = [({f.name for f in day.fronts if f.hall == t.hall}, t.to, t.share) for t in terms.spills]
    asks += [
        ({f.name for f in day.fronts if f.hall != t.hall}, t.hall, t.links) for t in terms.takes_in if t.links
    ]
    for fronts, to, limit in asks:
        boxes = {b.name: b.link_kb for b in day.boxes if b.hall == to}
        most = asked_most(trace, boxes, fronts) / max(1e-9, sum(boxes.values()))
        if not worst[1] or most / limit > worst[0] / worst[1]:
            worst = (most, limit)
    return worst


def losses(trace: Trace, day: Day) -> list[tuple[float, float, str]]:
    """When each hall went and when it was last back."""
    found = []
    for at, kind, hall in trace.hall_faults:
        spec = next(f for f in day.faults if f.kind == kind and hall in f.targets)
        away = spec.for_ms if kind == "hall-dark" else 2 * spec.for_ms + spec.by_ms
        found.append((at, at + away, hall))
    return found


def pushed_over(trace: Trace, day: Day, lost: list[tuple[float, float, str]]) -> int:
    halls = {b.name: day.terms.halls[b.hall] for b in day.boxes}
    return sum(any(at >= gone and halls[box] == hall for gone, _, hall in lost) for at, box in trace.tipped)


def recovered_s(trace: Trace, day: Day, lost: list[tuple[float, float, str]]) -> float:
    """By the worth of what was asked for in a window, and played."""
    if not lost:
        return 0.0
    asks = sorted((a for a in trace.asks.values() if not a.vanished), key=lambda a: a.at)
    times = [a.at for a in asks]

    def part(since: float, until: float) -> float:
        some = asks[bisect_left(times, since) : bisect_left(times, until)]
        worth = [day.terms.classes[a.cls].worth for a in some]
        played = [w for w, a in zip(worth, some, strict=True) if any(s == 200 for _, s in a.answers)]
        return sum(played) / sum(worth) if some else 1.0

    before = part(-inf, min(gone for gone, _, _ in lost))
    at = back = max(end for _, end, _ in lost)
    while times and at < times[-1]:
        if part(at, at + WINDOW_MS) >= before - WITHIN:
            return (at - back) / 1000
        at += WINDOW_MS / 4
    return -1.0


def of_halls(trace: Trace, day: Day) -> HallReport | None:
    """None where nothing may spill."""
    if not day.terms.spills:
        return None
    lost = losses(trace, day)
    return HallReport(*spilled(trace, day), pushed_over(trace, day, lost), recovered_s(trace, day, lost))
