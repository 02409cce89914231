"""The phases of a front's recovery, each with its evidence, its timeout and the safe assumption. Pure.

    phase    entered with                                 at latest            otherwise it is assumed that
    nothing  the start of an incarnation
    listed   a list of this incarnation                   `list_ms`            the cached list holds, and all
                                                                               servers are cold
    heard    all fronts that may exist are members, and   `report_ms` later    silent fronts exist
             some have reported in this incarnation
    agreed   the same members for `stable_ms`             `agreement_ms`       the number of fronts in force
                                                          later                holds
    full     no request waited or was told to retry for   no timeout: nothing
             `calm_ms`; the list is of this incarnation;  waits for it
             `reconnect_ms` have passed

No requests are admitted before `listed`; from there to `full` the gate's rate limit applies, for at most
`rate_limit_ms`. Within an incarnation phases only advance. A front that was suspended for `SUSPENDED_MS`
starts a new incarnation, because what it knew is outdated.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from math import inf

MIN_REPORTS = 3  # fronts that reported in this incarnation
SUSPENDED_MS = 2000.0  # a front that was not called for this long was stopped, or its machine was


class Phase(IntEnum):
    NOTHING = 0
    LISTED = 1
    HEARD = 2
    AGREED = 3
    FULL = 4


@dataclass(frozen=True)
class PhaseTimeouts:
    """In ms; `period_ms`: of the membership protocol."""

    period_ms: float = 1000.0
    list_ms: float = 2000.0
    calm_ms: float = 1000.0
    reconnect_ms: float = (
        4000.0  # in which viewers of an earlier incarnation reconnect; calm before then is no evidence
    )
    rate_limit_ms: float = 10_000.0

    @property
    def report_ms(self) -> float:
        return 3 * self.period_ms

    @property
    def stable_ms(self) -> float:
        return 2 * self.period_ms

    @property
    def agreement_ms(self) -> float:
        return 6 * self.period_ms


@dataclass(frozen=True)
class PhaseEntry:
    """A phase that was entered; `missing`: the evidence that was missing if it was entered by its timeout."""

    phase: Phase
    after_ms: float
    missing: str = ""


class PhaseTracker:
    """Derives the phase from the evidence. `other_fronts`: number of fronts that may exist beside this one.
    Times are of one clock, in ms."""

    def __init__(self, now: float, timeouts: PhaseTimeouts, other_fronts: int) -> None:
        self.timeouts, self.other_fronts = timeouts, other_fronts
        self.incarnations = 0
        self.members: tuple[int, ...] = (-1,)  # this front alone
        self.expects_reconnects = other_fronts > 0  # there may have been an earlier incarnation
        self.start_incarnation(now)

    def start_incarnation(self, now: float) -> None:
        self.incarnations += 1
        self.incarnation_started_at = self.now = now
        self.phase = Phase.NOTHING
        self.entered_at = {Phase.NOTHING: now}
        self.missing: dict[Phase, str] = {}
        self.has_fresh_list = False
        self.reporting_fronts: set[int] = set()
        self.members_changed_at = now
        self.calm = False

    # evidence

    def on_list(self, as_of: float) -> None:
        """A list, or an update of it, that was true at that time."""
        self.has_fresh_list |= as_of >= self.incarnation_started_at

    def on_report(self, front: int) -> None:
        self.reporting_fronts.add(front)

    def on_members(self, now: float, members: tuple[int, ...]) -> None:
        if members != self.members:
            self.members, self.members_changed_at = members, now

    # transitions

    def update(self, now: float) -> list[PhaseEntry]:
        """Enters phases. To be called at `next_due_at` or earlier, and after new evidence."""
        self.now = now
        entries = []
        while self.phase is not Phase.FULL:
            ready_at, until, missing = self.next_phase()
            if now < min(ready_at, until):
                break
            self.phase = Phase(self.phase + 1)
            self.entered_at[self.phase] = now
            if ready_at > now:
                self.missing[self.phase] = missing
            entries.append(
                PhaseEntry(self.phase, now - self.incarnation_started_at, missing if ready_at > now else "")
            )
        return entries

    def next_phase(self) -> tuple[float, float, str]:
        """Of the next phase: when its evidence is complete (inf: not yet), its timeout, and its evidence."""
        now, timeouts, since = self.now, self.timeouts, self.entered_at[self.phase]
        if self.phase is Phase.NOTHING:
            return now if self.has_fresh_list else inf, since + timeouts.list_ms, "a list of this life"
        if self.phase is Phase.LISTED:
            complete = (
                len(self.reporting_fronts) >= min(MIN_REPORTS, self.other_fronts)
                and len(self.members) > self.other_fronts
            )
            return now if complete else inf, since + timeouts.report_ms, "a word of every front"
        if self.phase is Phase.HEARD:
            stable_at = self.members_changed_at + timeouts.stable_ms if self.other_fronts else now
            return stable_at, since + timeouts.agreement_ms, "the same fronts for a while"
        reconnected_at = self.incarnation_started_at + (
            timeouts.reconnect_ms if self.expects_reconnects else 0.0
        )
        return max(now, reconnected_at) if self.calm and self.has_fresh_list else inf, inf, "calm"

    def next_due_at(self) -> float:
        if self.phase is Phase.FULL:
            return inf
        ready_at, until, _ = self.next_phase()
        return min(ready_at if ready_at > self.now else inf, until)

    @property
    def rate_limited_until(self) -> float:
        return self.incarnation_started_at + self.timeouts.rate_limit_ms
