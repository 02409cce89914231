"""Limits that all fronts hold together without a coordinator. No I/O.

Exact limits use escrow with leases, rate limits on set-ups use shares of the rate, and soft limits use
gossiped counters.
"""

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
