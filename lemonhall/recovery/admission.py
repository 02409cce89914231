"""Who is asked for now, who waits a little, who is told to come again, while a front comes back. Pure.

Everybody whom a killed front served comes again within a second or two. A bucket of tokens lets through as
many as the plan has room for, the worthiest first; what may still be in time waits; the others are told at
once when their turn would be, so that they do not come together again. Each wait has an end: part of the
time that the request has.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from math import inf
from random import Random

from lemonhall.recovery.rates import SPAN_S

HOLD_PART = 0.6  # of the time that a request has: the rest is for its attempts
EASE_MS = 1000.0  # past its end the pace doubles each so often: it cannot last, whatever is asked
SPAN_MS = 1000 * SPAN_S
SPREAD = 0.5  # a pause that cannot name a turn is drawn from this part of the longest on


@dataclass(frozen=True)
class AdmissionResult:
    """An ask that may go on now (`pause_ms` None), or is to come again after that."""

    request_id: int
    retry_after_ms: float | None = None


@dataclass(frozen=True)
class Held:
    number: int
    worth: float
    since: float
    until: float


class Gate:
    """`ask` and `take` give what becomes of asks; `due` says when `take` has something. Times in ms."""

    def __init__(self, random: Random, pause_most_ms: float) -> None:
        self.random, self.pause_most = random, pause_most_ms
        self.rate_per_s = inf
        self.shut = False  # nobody is let through yet
        self.eased_from = inf  # from when on the pace no longer stands
        self.tokens, self.at = 1.0, 0.0
        self.waiting: dict[int, Held] = {}
        self.order: list[tuple[float, float, int]] = []
        self.turn = 0.0  # until when turns have been given away
        self.strained_at = -inf  # when somebody last had waited for long, or was told to come again
        self.counts = {"held": 0, "paced": 0, "told_to_wait": 0}

    def rate(self, now: float) -> float:
        over = now - self.eased_from
        return self.rate_per_s if over <= 0 else self.rate_per_s * 2.0 ** min(60.0, over / EASE_MS)

    def fill(self, now: float) -> None:
        passed = max(0.0, now - self.at) / 1000
        self.at = max(self.at, now)
        rate = self.rate(now)
        if rate == inf:
            self.tokens = inf
        elif not self.shut:  # what was not used while nobody could go does not come in one go afterwards
            self.tokens = min(max(1.0, rate * SPAN_S), self.tokens + passed * rate)

    def calm(self, now: float, for_ms: float) -> bool:
        """Whether lately nobody has waited for long or been told to come again: the pace does not bind."""
        if any(now - h.since > SPAN_MS for h in self.waiting.values()):
            self.strained_at = now
        return now - self.strained_at >= for_ms

    def admit(self, now: float, number: int, worth: float, left_ms: float) -> AdmissionResult | None:
        """None: it waits, and `take` will say."""
        self.fill(now)
        if not (self.shut or self.waiting) and self.tokens >= 1:
            self.tokens -= 1
            return AdmissionResult(number)
        hold = HOLD_PART * left_ms
        ahead = sum(h.worth >= worth for h in self.waiting.values())
        if ahead + 1 > max(1.0, self.rate(now) * hold / 1000):
            return self.later(now, number)
        self.counts["held"] += 1
        self.waiting[number] = Held(number, worth, now, now + hold)
        heapq.heappush(self.order, (-worth, now + hold, number))
        return None

    def later(self, now: float, number: int) -> AdmissionResult:
        """Turns are given away one after the other, behind those that wait."""
        self.strained_at = now
        self.counts["told_to_wait"] += 1
        gap = 1000 / self.rate(now)
        self.turn = max(self.turn, now + len(self.waiting) * gap) + gap
        pause = self.turn - now
        if pause > self.pause_most:
            pause = self.pause_most * (SPREAD + (1 - SPREAD) * self.random.random())
        return AdmissionResult(number, pause)

    def drop(self, number: int) -> bool:
        """It is not wanted any more. Whether it waited."""
        return self.waiting.pop(number, None) is not None

    def take(self, now: float) -> list[AdmissionResult]:
        """Whoever may go by now, the worthiest first, and whose wait is over."""
        self.fill(now)
        out = []
        while not self.shut and self.order and self.tokens >= 1:
            *_, number = heapq.heappop(self.order)
            if held := self.waiting.pop(number, None):
                self.tokens -= 1
                if now - held.since > SPAN_MS:
                    self.strained_at = now
                self.counts["paced"] += 1
                out.append(AdmissionResult(number))
        for late in [h for h in self.waiting.values() if h.until <= now]:
            del self.waiting[late.number]
            out.append(self.later(now, late.number))
        if not self.waiting:
            self.order.clear()
        return out

    def due(self, now: float) -> float:
        if not self.waiting:
            return inf
        first = min(h.until for h in self.waiting.values())
        return first if self.shut else min(first, now + max(0.0, 1 - self.tokens) * 1000 / self.rate(now))
