"""One limit at one front: what is used of its parts, how much is asked for, and the tokens of a paced one."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import ceil, exp

from lemonhall.limits.reserve import Reserve
from lemonhall.limits.settings import MILLI, Limit, LimitKind
from lemonhall.limits.shares import LimitShare

SPAN_PERIODS = 1  # of what was asked for, as it is remembered
KEEP_PERIODS = 2  # of own demand, that are not lent
BACK_PERIODS = 4  # of own demand, that a borrower keeps of what is free
MARGIN = 1.25  # a pace that just fits what was asked for refuses by chance
NEED_MOST = 0.25  # of a limit, asked for at once
EASE = 0.5  # of an unmet need that is still asked for after a period
FAINT = 0.01  # units in a period: no demand


class Demand:
    """Units asked for in a ms, by an average that fades over `span_ms`."""

    def __init__(self, span_ms: float) -> None:
        self.span_ms, self.at, self.level = span_ms, float("-inf"), 0.0

    def per_ms(self, now: float) -> float:
        return self.level * exp(-max(0.0, now - self.at) / self.span_ms)

    def came(self, now: float, units: float) -> None:
        self.level = self.per_ms(now) + units / self.span_ms
        self.at = max(now, self.at)


@dataclass
class Bucket:
    """Tokens of set-ups. `level` falls when one begins; `reserved`: of it, promised to sessions that have
    been let in and have not begun. Full after a start is `0`: the life before may have used all."""

    level: float = 0.0
    reserved: int = 0
    at: float = float("-inf")

    def fill(self, now: float, per_ms: float, most: float) -> None:
        if self.at > float("-inf"):
            self.level += per_ms * max(0.0, now - self.at)
        self.at = max(self.at, now)
        self.level = min(self.level, most)

    def free(self) -> bool:
        return self.level - self.reserved >= 1.0

    def begin(self, promised: bool) -> bool:
        if self.level < 1.0 or not (promised or self.free()):
            return False
        self.level -= 1.0
        return True


@dataclass
class LocalLimit:
    limit: Limit
    title: int
    parts: LimitShare
    demand: Demand
    period_ms: float
    amount: int  # that it goes by: the least that any front has said
    bucket: Bucket = field(default_factory=Bucket)
    reserve: Reserve = field(default_factory=Reserve)
    asked_of: dict[int, float] = field(default_factory=dict)  # fronts that were told of the need, and when
    owners: list[int] = field(default_factory=list)  # who have one unit more than the others
    orphaned: int = 0  # of the own part, lent to lives of others that are over, and not yet run out
    called: dict[int, int] = field(default_factory=dict)  # who lacks what of what is lent of the own part
    wanted_by: dict[int, float] = field(default_factory=dict)  # lenders that ask theirs back, until when
    wanted_at: float = float("-inf")  # when too little was here last
    wanted: int = 0  # units that did not fit then
    called_at: float = float("-inf")  # when it was last asked back
    usable_before: int = 0  # of a paced limit, since its tokens were last counted
    owed: int = 0  # stands under a process that this one relieved, and has not been carried over

    @property
    def paced(self) -> bool:
        return self.limit.kind is LimitKind.PACED

    def periods(self, now: float, count: float) -> int:
        """Units that own demand takes in so many periods; of a paced limit the pace that it asks for."""
        per_ms = self.demand.per_ms(now)
        if self.paced:
            pace = MARGIN * MILLI * 1000 * per_ms
            return ceil(max(pace, self.least())) if pace > FAINT * MILLI else 0
        return int(per_ms * self.period_ms * count + 0.5)

    def least(self) -> float:
        """Of a paced limit: the pace whose part of the burst is one set-up."""
        return self.amount / max(1.0, self.limit.burst)

    def lendable(self, now: float) -> int:
        if self.parts.unreported or self.parts.need:
            return 0
        if self.paced:
            self.parts.used = self.periods(now, 1)
            return self.parts.own_free()
        return max(0, self.parts.own_free() - self.periods(now, KEEP_PERIODS))

    def settle_pace(self, now: float, usable: int) -> None:
        """Tokens for the time since the last call, by the part of the limit that this front had in it. Before
        and after each change of the part."""
        units = max(0, min(usable, self.usable_before))
        self.usable_before = usable
        per_ms = units / MILLI / 1000
        most = max(0, usable) / self.amount * self.limit.burst if self.amount else 0.0
        self.bucket.fill(now, per_ms, most)
        self.parts.used = self.periods(now, 1)

    def want(self, now: float, units: int) -> None:
        """Too little here for so much."""
        if self.paced:
            short = self.periods(now, 1) - self.parts.mine()
        else:
            short = units + self.periods(now, KEEP_PERIODS) - max(0, self.parts.free())
        self.wanted_at, self.wanted = now, units
        most = max(units, int(NEED_MOST * self.amount))
        self.parts.need = max(self.parts.need, min(most, short), 0)

    def settle_need(self, now: float) -> None:
        """What has become free since is not lacked any more."""
        free = self.parts.free()
        if not self.paced and free >= max(1, self.wanted):
            self.parts.need = max(0, min(self.parts.need, self.periods(now, KEEP_PERIODS) - free))

    def ease(self, now: float) -> None:
        """Once a period: what is not asked for again is not wanted, and what is held too much goes back."""
        if self.paced:
            self.parts.used = self.periods(now, 1)
            self.parts.need = max(0, min(self.parts.need, -self.parts.free()))
        else:
            if now - self.wanted_at >= self.period_ms:  # a new one has yet to be told to all
                self.parts.need = int(EASE * self.parts.need)
            self.settle_need(now)
        self.called = {f: int(EASE * units) for f, units in self.called.items() if units > 1}
        if not self.parts.need:
            self.asked_of.clear()
            self.parts.give_back(0 if self.paced else self.periods(now, BACK_PERIODS))

    def called_from(self, other: int) -> int:
        """What others lack of what this one holds."""
        return sum(units for front, units in self.called.items() if front != other)

    def idle(self, now: float) -> bool:
        """Nothing would be lost with it. Tokens of a paced limit come together while nobody asks."""
        if self.paced:
            return False
        faint = self.demand.per_ms(now) * self.period_ms < FAINT
        return faint and self.parts.idle() and not (self.orphaned or self.owed or self.bucket.reserved)
