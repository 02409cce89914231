"""Limits that hold for all fronts together: escrow with leases, paced shares, soft counters. No I/O."""

from lemonhall.limits.escrow import Out
from lemonhall.limits.machine import Limits, Ruling
from lemonhall.limits.plan import Hold, Limit, Plan, Unit

__all__ = ["Hold", "Limit", "Limits", "Out", "Plan", "Ruling", "Unit"]
