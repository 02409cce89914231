"""Losing and regaining a hall: what may spill, how much of it, and how a hall is let in again. No I/O."""

from lemonhall.zones.machine import OutgoingMessage, ZoneDecision, ZoneFailover
from lemonhall.zones.monitor import OperatorOverride, StateChange, ZoneMonitor, ZoneState
from lemonhall.zones.settings import FailoverTiming, Intake, Tier, ZoneSettings

__all__ = [
    "StateChange",
    "ZoneFailover",
    "Intake",
    "OperatorOverride",
    "OutgoingMessage",
    "ZoneSettings",
    "ZoneDecision",
    "ZoneMonitor",
    "FailoverTiming",
    "ZoneState",
    "Tier",
]
