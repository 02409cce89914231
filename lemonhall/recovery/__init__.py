"""Recovery of a front after many fronts restarted at once or their stored state was lost. No I/O, no
clock."""

from lemonhall.recovery.admission import AdmissionResult
from lemonhall.recovery.checkpoints import StoreCheckpoint, StoreTrust
from lemonhall.recovery.machine import OutgoingMessage, Recovery
from lemonhall.recovery.phases import Phase, PhaseEntry, PhaseTimeouts

__all__ = [
    "AdmissionResult",
    "OutgoingMessage",
    "Phase",
    "PhaseEntry",
    "PhaseTimeouts",
    "Recovery",
    "StoreCheckpoint",
    "StoreTrust",
]
