"""Whether a front's store is the one that it wrote last, by the word of others. Pure.

A store that was put back from an older copy is whole and fits its front; nothing in it tells what was
written after the copy. So a store counts its commits, and its front tells the count, its *mark*, to some
others: never more than is on disk. A front that starts asks for the furthest mark that they heard. If that
is further than its own, the store is older than the front.

Stated bound: a copy is believed only if none of the fronts that answer had heard a mark from after it; so,
where words get through, only if it was made within a period of the end of the life before, or (if all were
killed with it) within that and `KEEP_MS` of it. Where no front answers in time nobody can say, and then
nothing of the ledger is believed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from math import inf

WITNESSES = 3  # that a mark is told to, beside one at random
ASKED_MOST = 8  # fronts that are asked
ENOUGH = 3  # answers of fronts that had heard of us, after which no more are waited for
KEEP_MS = 2000.0  # a front writes down what it heard of others' marks this often
SEEN_MOST = 4096  # fronts whose marks are remembered


@dataclass(frozen=True, order=True)
class StoreCheckpoint:
    """Of two marks of one front the greater is the later: a store that was made later, or one written
    further."""

    created_ms: int
    commit_count: int


class StoreTrust(Enum):
    WAITING = "waiting"
    SOUND = "sound"  # nobody who answered knows a later one
    OLDER = "older"  # somebody does
    UNKNOWN = "unknown"  # nobody answered in time who had heard of us


class Seen:
    """The marks of other fronts, as they told them."""

    def __init__(self) -> None:
        self.checkpoints: dict[int, StoreCheckpoint] = {}
        self.fresh = False  # something is not written down yet

    def hear(self, front: int, mark: StoreCheckpoint) -> None:
        known = self.checkpoints.get(front)
        if known is None and len(self.checkpoints) >= SEEN_MOST:
            return
        if known is None or mark > known:
            self.checkpoints[front] = mark
            self.fresh = True


def successors(number: int, members: Iterable[int], count: int) -> list[int]:
    """Whoever comes next by number, in a ring: so a front finds those that it told, without a list of
    them."""
    ring = sorted(m for m in members if m != number)
    after = [m for m in ring if m > number] + [m for m in ring if m < number]
    return after[:count]


class Witnesses:
    """Asks whether the store, at `mark` when it was opened, is the last. `until`: when it has to know."""

    def __init__(self, mark: StoreCheckpoint, until: float) -> None:
        self.mark, self.until = mark, until
        self.trust = StoreTrust.WAITING
        self.answers: dict[int, StoreCheckpoint | None] = {}

    def answer(self, front: int, seen: StoreCheckpoint | None) -> None:
        if self.trust is not StoreTrust.WAITING:
            return
        self.answers[front] = seen
        if seen is not None and seen > self.mark:
            self.trust = StoreTrust.OLDER

    def look(self, now: float, asked: int, others: int) -> StoreTrust:
        """`asked`: fronts that are known to be there and asked; `others`: fronts that there may be beside
        us."""
        if self.trust is StoreTrust.WAITING:
            knew = sum(seen is not None for seen in self.answers.values())
            all_there = asked >= min(others, ASKED_MOST) and len(self.answers) >= asked
            if knew >= min(ENOUGH, others) or (all_there and knew):
                self.trust = StoreTrust.SOUND
            elif now >= self.until:
                self.trust = StoreTrust.SOUND if knew else StoreTrust.UNKNOWN
        return self.trust

    def due(self) -> float:
        return self.until if self.trust is StoreTrust.WAITING else inf
