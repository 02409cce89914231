"""Limits that all fronts hold together without a coordinator: exact limits by escrow with leases, rate limits on
set-ups by shares of the rate, and soft limits by gossiped counters. No I/O."""

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
