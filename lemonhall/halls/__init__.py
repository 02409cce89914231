"""Losing and regaining a hall: what may spill, how much of it, and how a hall is let in again. No I/O."""

from lemonhall.halls.machine import Halls, Out, Ruling
from lemonhall.halls.plan import Intake, Plan, Spilling, Tier
from lemonhall.halls.sight import Change, Order, Sight, State

__all__ = [
    "Change",
    "Halls",
    "Intake",
    "Order",
    "Out",
    "Plan",
    "Ruling",
    "Sight",
    "Spilling",
    "State",
    "Tier",
]
