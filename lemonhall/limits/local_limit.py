"""State of one limit at one front: its share, the demand for it, and the tokens of a rate limit."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import ceil, exp

from lemonhall.limits.reserve import Reserve
from lemonhall.limits.settings import UNITS_PER_SET_UP, Limit, LimitKind
from lemonhall.limits.shares import LimitShare

DEMAND_WINDOW_PERIODS = 1  # time constant of the demand average
LENDER_RESERVE_PERIODS = 2  # of the own demand, which are not lent
BORROWER_RESERVE_PERIODS = 4  # of the own demand, which a borrower keeps of its free units
RATE_MARGIN = 1.25  # a rate that just covers the demand refuses requests by chance
MAX_NEED_SHARE = 0.25  # of a limit, requested at once
NEED_DECAY = 0.5  # fraction of an unmet need that is still requested after a period
MIN_DEMAND_UNITS = 0.01  # per period; less counts as no demand


class Demand:
    """Requested units per ms, as an exponential average with the time constant `window_ms`."""

    def __init__(self, window_ms: float) -> None:
        self.window_ms, self.updated_at, self.rate_at_update = window_ms, float("-inf"), 0.0

    def per_ms(self, now: float) -> float:
        return self.rate_at_update * exp(-max(0.0, now - self.updated_at) / self.window_ms)

    def record_request(self, now: float, units: float) -> None:
        self.rate_at_update = self.per_ms(now) + units / self.window_ms
        self.updated_at = max(now, self.updated_at)


@dataclass
class TokenBucket:
    """Tokens of set-ups: starting one takes a token from `level`; `reserved` tokens belong to admitted
    sessions that have not started.

    The bucket is empty at a start, because the previous incarnation may have used all tokens.
    """

    level: float = 0.0
    reserved: int = 0
    updated_at: float = float("-inf")

    def fill(self, now: float, per_ms: float, max_level: float) -> None:
        if self.updated_at > float("-inf"):
            self.level += per_ms * max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        self.level = min(self.level, max_level)

    def has_free_token(self) -> bool:
        return self.level - self.reserved >= 1.0

    def take_token(self, is_reserved: bool) -> bool:
        if self.level < 1.0 or not (is_reserved or self.has_free_token()):
            return False
        self.level -= 1.0
        return True


@dataclass
class LocalLimit:
    """The state of one limit, or of one title under a limit for each title."""

    limit: Limit
    title: int
    share: LimitShare
    demand: Demand
    period_ms: float
    amount: int  # in force: the least that any front has announced
    bucket: TokenBucket = field(default_factory=TokenBucket)
    reserve: Reserve = field(default_factory=Reserve)
    requested_at: dict[int, float] = field(default_factory=dict)  # by front: when units were requested of it
    remainder_owners: list[int] = field(default_factory=list)  # fronts that own one unit more
    orphaned: int = 0  # own units lent to earlier incarnations of other fronts, not yet expired
    needs_of_others: dict[int, int] = field(default_factory=dict)  # units of the own share, by front
    recalled_by: dict[int, float] = field(default_factory=dict)  # lenders that recall units, until when
    shortage_at: float = float("-inf")  # when units were last short
    shortage_units: int = 0  # units that did not fit then
    recalled_at: float = float("-inf")  # when lent units were last recalled
    last_usable: int = 0  # of a rate limit: usable units at the last refill
    handover_units: int = 0  # used at the predecessor by sessions that are not handed over yet

    @property
    def rate_limited(self) -> bool:
        return self.limit.kind is LimitKind.PACED

    def demand_units(self, now: float, periods: float) -> int:
        """Units that the own demand takes in so many periods; of a rate limit, the rate that it requires."""
        per_ms = self.demand.per_ms(now)
        if self.rate_limited:
            rate = RATE_MARGIN * UNITS_PER_SET_UP * 1000 * per_ms
            return ceil(max(rate, self.min_rate())) if rate > MIN_DEMAND_UNITS * UNITS_PER_SET_UP else 0
        return int(per_ms * self.period_ms * periods + 0.5)

    def min_rate(self) -> float:
        """Of a rate limit: the rate whose share of the burst is one set-up."""
        return self.amount / max(1.0, self.limit.burst)

    def lendable(self, now: float) -> int:
        if self.share.unreported or self.share.need:
            return 0
        if self.rate_limited:
            self.share.used = self.demand_units(now, 1)
            return self.share.free_own_units()
        return max(0, self.share.free_own_units() - self.demand_units(now, LENDER_RESERVE_PERIODS))

    def refill_tokens(self, now: float, usable: int) -> None:
        """Adds tokens for the time since the last call, by the share that was held in that time.

        To be called before and after each change of the share.
        """
        units = max(0, min(usable, self.last_usable))
        self.last_usable = usable
        per_ms = units / UNITS_PER_SET_UP / 1000
        max_level = max(0, usable) / self.amount * self.limit.burst if self.amount else 0.0
        self.bucket.fill(now, per_ms, max_level)
        self.share.used = self.demand_units(now, 1)

    def record_shortage(self, now: float, units: int) -> None:
        """The units did not fit: raises the need."""
        if self.rate_limited:
            short = self.demand_units(now, 1) - self.share.capacity()
        else:
            short = units + self.demand_units(now, LENDER_RESERVE_PERIODS) - max(0, self.share.free())
        self.shortage_at, self.shortage_units = now, units
        max_need = max(units, int(MAX_NEED_SHARE * self.amount))
        self.share.need = max(self.share.need, min(max_need, short), 0)

    def reduce_need(self, now: float) -> None:
        """Lowers the need by the units that have become free since."""
        free = self.share.free()
        if not self.rate_limited and free >= max(1, self.shortage_units):
            self.share.need = max(
                0, min(self.share.need, self.demand_units(now, LENDER_RESERVE_PERIODS) - free)
            )

    def decay_need(self, now: float) -> None:
        """Once a period: a need that is not renewed decays, and surplus borrowed units are returned."""
        if self.rate_limited:
            self.share.used = self.demand_units(now, 1)
            self.share.need = max(0, min(self.share.need, -self.share.free()))
        else:
            if now - self.shortage_at >= self.period_ms:  # a newer need has not reached all fronts yet
                self.share.need = int(NEED_DECAY * self.share.need)
            self.reduce_need(now)
        self.needs_of_others = {
            f: int(NEED_DECAY * units) for f, units in self.needs_of_others.items() if units > 1
        }
        if not self.share.need:
            self.requested_at.clear()
            self.share.return_free(
                0 if self.rate_limited else self.demand_units(now, BORROWER_RESERVE_PERIODS)
            )

    def needed_by_others_than(self, front: int) -> int:
        """Units that the other fronts need of what this one holds."""
        return sum(units for other, units in self.needs_of_others.items() if other != front)

    def is_idle(self, now: float) -> bool:
        """Whether the object can be dropped without losing state. A rate limit collects tokens while idle."""
        if self.rate_limited:
            return False
        no_demand = self.demand.per_ms(now) * self.period_ms < MIN_DEMAND_UNITS
        return (
            no_demand
            and self.share.is_idle()
            and not (self.orphaned or self.handover_units or self.bucket.reserved)
        )
