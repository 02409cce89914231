"""How far a front has come back: phases, each with its evidence, its longest wait and its safe side. Pure.

    phase    entered with                                 at latest            else (the safe side)
    nothing  the start of a life
    listed   a list that is of this life                  `list_ms`            the kept list, all servers cold
    heard    all fronts that there may be are in view,    `hear_ms` behind it  who was not heard is there
             some of them have spoken in this life
    agreed   the same fronts for `settle_ms`              `agree_ms` behind    shares by the number in force
    full     nobody waited, or was told to come again,    no limit: nothing
             for `calm_ms`; the list is of this life;     waits for it
             `crowd_ms` have passed

Up to `listed` nobody is asked for; from there to `full` the gate's pace stands, for `pace_ms` at most.
Within a life phases only go forward. A front that did not run for a while (`woke`) begins a new life: what
it knew is of the old one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from math import inf

WORDS = 3  # of fronts that were heard in this life
WOKE_MS = 2000.0  # a front that was not called for so long was stopped, or its machine was


class Phase(IntEnum):
    NOTHING = 0
    LISTED = 1
    HEARD = 2
    AGREED = 3
    FULL = 4


@dataclass(frozen=True)
class PhaseTimeouts:
    """In ms; `period`: of the members."""

    period: float = 1000.0
    list_ms: float = 2000.0
    calm_ms: float = 1000.0
    crowd_ms: float = (
        4000.0  # in which those come again whom an earlier life served: calm before says nothing
    )
    pace_ms: float = 10_000.0

    @property
    def hear_ms(self) -> float:
        return 3 * self.period

    @property
    def settle_ms(self) -> float:
        return 2 * self.period

    @property
    def agree_ms(self) -> float:
        return 6 * self.period


@dataclass(frozen=True)
class PhaseEntry:
    """A phase that was entered; `lacks`: it was by the longest wait, without this evidence."""

    phase: Phase
    after_ms: float
    missing: str = ""


class Phases:
    """`other_fronts`: fronts that there may be beside this one. Times are of one clock, in ms."""

    def __init__(self, now: float, waits: PhaseTimeouts, other_fronts: int) -> None:
        self.waits, self.other_fronts = waits, other_fronts
        self.lives = 0
        self.members: tuple[int, ...] = (-1,)  # nobody but this one
        self.crowd = other_fronts > 0  # whether there may have been an earlier life
        self.begin(now)

    def begin(self, now: float) -> None:
        self.lives += 1
        self.since = self.at = now
        self.phase = Phase.NOTHING
        self.entered = {Phase.NOTHING: now}
        self.lacks: dict[Phase, str] = {}
        self.fresh = False
        self.heard: set[int] = set()
        self.changed_at = now
        self.calm = False

    # evidence

    def listed(self, as_of: float) -> None:
        """A list, or a sign of life of it, that was true at that time."""
        self.fresh |= as_of >= self.since

    def hear(self, front: int) -> None:
        self.heard.add(front)

    def view(self, now: float, members: tuple[int, ...]) -> None:
        if members != self.members:
            self.members, self.changed_at = members, now

    # what comes of it

    def look(self, now: float) -> list[PhaseEntry]:
        """To be called at `due` or sooner, and when evidence has come."""
        self.at = now
        out = []
        while self.phase is not Phase.FULL:
            came, until, lack = self.next()
            if now < min(came, until):
                break
            self.phase = Phase(self.phase + 1)
            self.entered[self.phase] = now
            if came > now:
                self.lacks[self.phase] = lack
            out.append(PhaseEntry(self.phase, now - self.since, lack if came > now else ""))
        return out

    def next(self) -> tuple[float, float, str]:
        """Of the phase that comes: when its evidence is there (inf: not yet), the longest wait, what is
        lacking."""
        now, waits, since = self.at, self.waits, self.entered[self.phase]
        if self.phase is Phase.NOTHING:
            return now if self.fresh else inf, since + waits.list_ms, "a list of this life"
        if self.phase is Phase.LISTED:
            enough = (
                len(self.heard) >= min(WORDS, self.other_fronts) and len(self.members) > self.other_fronts
            )
            return now if enough else inf, since + waits.hear_ms, "a word of every front"
        if self.phase is Phase.HEARD:
            settled = self.changed_at + waits.settle_ms if self.other_fronts else now
            return settled, since + waits.agree_ms, "the same fronts for a while"
        crowd_until = self.since + (waits.crowd_ms if self.crowd else 0.0)
        return max(now, crowd_until) if self.calm and self.fresh else inf, inf, "calm"

    def due(self) -> float:
        if self.phase is Phase.FULL:
            return inf
        came, until, _ = self.next()
        return min(came if came > self.at else inf, until)

    @property
    def paced_until(self) -> float:
        return self.since + self.waits.pace_ms
