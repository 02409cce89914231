"""The decider's book of what its workers have: each attempt has one end, whoever dies. Pure.

An attempt is entered when its set-up is given to a worker, cleared when its request may leave, and ended
once: by the worker's word, or because the worker is lost. What is lost before it was cleared never left; the
rest may have run.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Proof(Enum):
    NEVER = "never"  # provably never ran
    MAYBE = "maybe"  # may have run


@dataclass
class Out:
    """An attempt that is out."""

    worker: int
    ask: int
    number: int
    server: int
    cleared: bool


class Book:
    """`worker` is the number of a link, so that a worker that comes again is another."""

    def __init__(self) -> None:
        self.asks: dict[int, int] = {}  # to the worker that has it
        self.out: dict[tuple[int, int], Out] = {}  # by ask and attempt
        self.by_worker: dict[int, set[int]] = {}

    def enter(self, worker: int, ask: int) -> bool:
        """False: it is here already, or another worker's."""
        if ask in self.asks:
            return False
        self.asks[ask] = worker
        self.by_worker.setdefault(worker, set()).add(ask)
        return True

    def set_up(self, ask: int, number: int, server: int, cleared: bool) -> Out:
        made = self.out[ask, number] = Out(self.asks[ask], ask, number, server, cleared)
        return made

    def clear(self, ask: int, number: int) -> bool:
        """Whether the worker is to be told that the request may leave."""
        found = self.out.get((ask, number))
        if found is None or found.cleared:
            return False
        found.cleared = True
        return True

    def ended(self, worker: int, ask: int, number: int) -> Out | None:
        """The attempt's one end; None: it was not this worker's, or has ended already."""
        found = self.out.get((ask, number))
        if found is None or found.worker != worker:
            return None
        return self.out.pop((ask, number))

    def drop(self, ask: int) -> None:
        """The ask is over. An attempt that is out still has its end to come."""
        worker = self.asks.pop(ask, None)
        if worker is not None:
            self.by_worker[worker].discard(ask)

    def lost(self, worker: int) -> tuple[list[int], list[tuple[Out, Proof]]]:
        """A worker's link is gone: its asks, and its attempts with what is known of each."""
        asks = sorted(self.by_worker.pop(worker, ()))
        for ask in asks:
            del self.asks[ask]
        ends = []
        for out in [o for o in self.out.values() if o.worker == worker]:
            del self.out[out.ask, out.number]
            ends.append((out, Proof.MAYBE if out.cleared else Proof.NEVER))
        return asks, ends
