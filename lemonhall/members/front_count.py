"""The number of fronts that is reported to the module. Pure.

Every share that a front takes (of quotas, of the set-up rate of a cold server, of an uplink) is one part in
this number, so too many fronts are safe and too few are not. The number increases as soon as more fronts are
seen, decreases slowly, because a silent front may still be sending, and does not decrease while this front
may be the one that is isolated."""

from __future__ import annotations

from lemonhall.members.machine import MembershipView

DECREASE_DELAY_MS = 10_000.0  # before a decrease begins
DECREASE_STEP_MS = 1000.0  # interval of further steps
DECREASE_DIVISOR = 16  # each step removes 1/16 of the number, at least one


class FrontCount:
    """Derives the number of fronts from membership views. `reported`: the number of fronts and this front's
    rank among them, as last returned by `update`."""

    def __init__(self, number: int, fronts: int, now: float) -> None:
        self.number = number
        self.reported = (fronts, number % fronts)
        self.lower_since = now
        self.stepped_at = now

    def update(self, view: MembershipView, now: float) -> tuple[int, int] | None:
        """Returns the number of fronts and the rank to report now, or None if they are unchanged."""
        seen = len(view.members)
        fronts = self.reported[0]
        if seen >= fronts or view.isolated:
            self.lower_since = now
            fronts = max(fronts, seen)
        elif now - self.lower_since >= DECREASE_DELAY_MS and now - self.stepped_at >= DECREASE_STEP_MS:
            fronts = max(seen, fronts - max(1, fronts // DECREASE_DIVISOR))
        rank = sum(m < self.number for m in view.members)
        report = (fronts, min(rank, fronts - 1))
        if report == self.reported:
            return None
        if report[0] != self.reported[0]:
            self.stepped_at = now
        self.reported = report
        return report
