"""How many fronts the module is told there are. Pure.

Every share that a front takes for itself (of quotas, of a cold server's pace, of an uplink) is one over this
number, so more fronts than there are is safe, and fewer is not. The number rises at once with what is seen,
falls slowly (who fell silent may still be sending), and does not fall while this front may be the one that is
cut off.
"""

from __future__ import annotations

from lemonhall.members.machine import MembershipView

FALL_MS = 10_000.0  # for which a fall waits before it begins
STEP_MS = 1000.0  # then a sixteenth of it, at least one, each step
STEP_PART = 16


class FrontCount:
    """`reported`: fronts and this front's rank among them, as the module last heard."""

    def __init__(self, number: int, fronts: int, now: float) -> None:
        self.number = number
        self.reported = (fronts, number % fronts)
        self.fallen_since = now
        self.stepped_at = now

    def update(self, view: MembershipView, now: float) -> tuple[int, int] | None:
        """What the module is to be told now; None: nothing new."""
        seen = len(view.members)
        fronts = self.reported[0]
        if seen >= fronts or view.cut_off:
            self.fallen_since = now
            fronts = max(fronts, seen)
        elif now - self.fallen_since >= FALL_MS and now - self.stepped_at >= STEP_MS:
            fronts = max(seen, fronts - max(1, fronts // STEP_PART))
        rank = sum(m < self.number for m in view.members)
        made = (fronts, min(rank, fronts - 1))
        if made == self.reported:
            return None
        if made[0] != self.reported[0]:
            self.stepped_at = now
        self.reported = made
        return made
