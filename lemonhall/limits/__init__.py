"""Limits that hold for all fronts together: escrow with leases, paced shares, soft counters. No I/O."""

from lemonhall.limits.escrow import OutgoingMessage
from lemonhall.limits.machine import AdmissionDecision, FleetLimits
from lemonhall.limits.settings import Limit, LimitKind, LimitSettings, LimitUnit

__all__ = [
    "AdmissionDecision",
    "FleetLimits",
    "Limit",
    "LimitKind",
    "LimitSettings",
    "LimitUnit",
    "OutgoingMessage",
]
