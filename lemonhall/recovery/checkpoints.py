"""Whether a front's store is the one that it wrote last, as vouched for by other fronts. Pure.

A store restored from an older copy is intact and belongs to its front; nothing in it shows what was written
after the copy. Therefore a store counts its commits, and its front reports the count, its checkpoint, to some
other fronts, never one beyond what is on disk. A front that starts asks for the latest checkpoint that they
have received. If that is later than its own, the store is outdated.

Guarantee: a copy is trusted only if no front that answers has received a checkpoint from after it. Where
messages are delivered, the copy was then made within one period before the end of the previous incarnation
or, if all fronts were killed together, within that period and `SAVE_INTERVAL_MS`. Where no front answers in
time, this cannot be known, and nothing of the ledger is trusted.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from math import inf

CHECKPOINT_PEERS = 3  # fronts that receive each checkpoint, beside one at random
MAX_QUERIED = 8  # fronts
SUFFICIENT_ANSWERS = 3  # from fronts that had received a checkpoint; no further ones are waited for
SAVE_INTERVAL_MS = 2000.0  # a front stores the checkpoints of others this often
MAX_PEERS = 4096  # whose checkpoints are kept


@dataclass(frozen=True, order=True)
class StoreCheckpoint:
    """Of two checkpoints of one front the greater is the later one: of a store that was created later, or
    with more commits."""

    created_ms: int
    commit_count: int


class StoreTrust(Enum):
    WAITING = "waiting"
    SOUND = "sound"  # no front that answered knows a later checkpoint
    OLDER = "older"  # a front knows a later checkpoint
    UNKNOWN = "unknown"  # no front that had received a checkpoint answered in time


class PeerCheckpoints:
    """The checkpoints that other fronts have reported."""

    def __init__(self) -> None:
        self.checkpoints: dict[int, StoreCheckpoint] = {}
        self.dirty = False  # not stored since the last change

    def record(self, front: int, checkpoint: StoreCheckpoint) -> None:
        known = self.checkpoints.get(front)
        if known is None and len(self.checkpoints) >= MAX_PEERS:
            return
        if known is None or checkpoint > known:
            self.checkpoints[front] = checkpoint
            self.dirty = True


def ring_successors(number: int, members: Iterable[int], count: int) -> list[int]:
    """The next members by number, in a ring. A restarted front so finds the fronts that it reported to
    without having stored them."""
    ring = sorted(m for m in members if m != number)
    successors = [m for m in ring if m > number] + [m for m in ring if m < number]
    return successors[:count]


class CheckpointQuery:
    """Asks whether the store is the latest one. `checkpoint`: of the store when it was opened; `until`: the
    time of the result at the latest."""

    def __init__(self, checkpoint: StoreCheckpoint, until: float) -> None:
        self.checkpoint, self.until = checkpoint, until
        self.trust = StoreTrust.WAITING
        self.answers: dict[int, StoreCheckpoint | None] = {}

    def on_answer(self, front: int, known: StoreCheckpoint | None) -> None:
        if self.trust is not StoreTrust.WAITING:
            return
        self.answers[front] = known
        if known is not None and known > self.checkpoint:
            self.trust = StoreTrust.OLDER

    def evaluate(self, now: float, queried: int, other_fronts: int) -> StoreTrust:
        """`queried`: number of fronts that are known and have been asked; `other_fronts`: number of fronts
        that may exist beside this one."""
        if self.trust is StoreTrust.WAITING:
            informed = sum(known is not None for known in self.answers.values())
            all_answered = queried >= min(other_fronts, MAX_QUERIED) and len(self.answers) >= queried
            if informed >= min(SUFFICIENT_ANSWERS, other_fronts) or (all_answered and informed):
                self.trust = StoreTrust.SOUND
            elif now >= self.until:
                self.trust = StoreTrust.SOUND if informed else StoreTrust.UNKNOWN
        return self.trust

    def next_due_at(self) -> float:
        return self.until if self.trust is StoreTrust.WAITING else inf
