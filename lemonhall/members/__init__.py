"""Fronts that find and watch one another: a state machine after SWIM and Lifeguard, without I/O."""

from lemonhall.members.encryption import DatagramError, KeyRing
from lemonhall.members.machine import Member, MembershipMachine, MembershipView, OutgoingDatagram, SwimConfig

__all__ = [
    "DatagramError",
    "KeyRing",
    "Member",
    "MembershipMachine",
    "MembershipView",
    "OutgoingDatagram",
    "SwimConfig",
]
