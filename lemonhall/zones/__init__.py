"""Failover between zones: which sessions may spill over to another zone, how many, and how a zone that
recovers gets its sessions back. No I/O."""

from lemonhall.zones.machine import OutgoingMessage, ZoneDecision, ZoneFailover
from lemonhall.zones.monitor import OperatorOverride, StateChange, ZoneMonitor, ZoneState
from lemonhall.zones.settings import FailoverTiming, Intake, Tier, ZoneSettings

__all__ = [
    "FailoverTiming",
    "Intake",
    "OperatorOverride",
    "OutgoingMessage",
    "StateChange",
    "Tier",
    "ZoneDecision",
    "ZoneFailover",
    "ZoneMonitor",
    "ZoneSettings",
    "ZoneState",
]
