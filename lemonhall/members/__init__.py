"""Membership of the fleet's fronts and detection of failed ones: a state machine of SWIM with Lifeguard, and
the encryption of its datagrams. No I/O."""

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
