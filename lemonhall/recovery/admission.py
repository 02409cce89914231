"""Admission control while a front recovers: which requests proceed, wait, or are told to retry later. Pure.

All viewers of a killed front reconnect within a second or two. A token bucket admits as many requests as the
fleet's rate allows, highest worth first; requests that may still be admitted in time wait; the others are at
once told when to retry, each at another time, so that they do not return together. Each wait ends after a
share of the time that the request has left.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from math import inf
from random import Random

from lemonhall.recovery.rates import SPAN_S

MAX_WAIT_SHARE = 0.6  # of the time that a request has left; the rest is for its attempts
RATE_DOUBLING_MS = 1000.0  # after its end the rate limit doubles at this interval, so it cannot last
SPAN_MS = 1000 * SPAN_S
RETRY_JITTER = 0.5  # a retry time beyond the maximum is drawn from this share of the maximum upwards


@dataclass(frozen=True)
class AdmissionResult:
    """A request that proceeds now (`retry_after_ms` is None) or has to retry after that time."""

    request_id: int
    retry_after_ms: float | None = None


@dataclass(frozen=True)
class WaitingRequest:
    request_id: int
    worth: float
    since: float
    until: float


class AdmissionGate:
    """A rate limit with a queue. `admit` and `poll` return results of requests; `next_due_at` is when to call
    `poll`. Times in ms."""

    def __init__(self, random: Random, max_retry_ms: float) -> None:
        self.random, self.max_retry_ms = random, max_retry_ms
        self.rate_per_s = inf
        self.closed = False  # no request is admitted yet
        self.rate_ends_at = inf  # from then on the rate doubles
        self.tokens, self.updated_at = 1.0, 0.0
        self.waiting: dict[int, WaitingRequest] = {}
        self.queue: list[tuple[float, float, int]] = []
        self.last_slot_at = 0.0  # the latest retry time that has been assigned
        self.strained_at = -inf  # when a request last had waited for long or was told to retry
        self.counts = {"held": 0, "paced": 0, "told_to_wait": 0}

    def rate(self, now: float) -> float:
        """The rate limit in requests/s."""
        over_ms = now - self.rate_ends_at
        return (
            self.rate_per_s
            if over_ms <= 0
            else self.rate_per_s * 2.0 ** min(60.0, over_ms / RATE_DOUBLING_MS)
        )

    def fill(self, now: float) -> None:
        passed_s = max(0.0, now - self.updated_at) / 1000
        self.updated_at = max(self.updated_at, now)
        rate = self.rate(now)
        if rate == inf:
            self.tokens = inf
        elif not self.closed:  # no tokens collect while the gate is closed, so there is no burst afterwards
            self.tokens = min(max(1.0, rate * SPAN_S), self.tokens + passed_s * rate)

    def is_calm(self, now: float, for_ms: float) -> bool:
        """Whether for that time no request waited for long or was told to retry: the rate does not bind."""
        if any(now - w.since > SPAN_MS for w in self.waiting.values()):
            self.strained_at = now
        return now - self.strained_at >= for_ms

    def admit(self, now: float, request_id: int, worth: float, left_ms: float) -> AdmissionResult | None:
        """Returns None if the request waits; `poll` returns its result later."""
        self.fill(now)
        if not (self.closed or self.waiting) and self.tokens >= 1:
            self.tokens -= 1
            return AdmissionResult(request_id)
        wait_ms = MAX_WAIT_SHARE * left_ms
        ahead = sum(w.worth >= worth for w in self.waiting.values())
        if ahead + 1 > max(1.0, self.rate(now) * wait_ms / 1000):
            return self.defer(now, request_id)
        self.counts["held"] += 1
        self.waiting[request_id] = WaitingRequest(request_id, worth, now, now + wait_ms)
        heapq.heappush(self.queue, (-worth, now + wait_ms, request_id))
        return None

    def defer(self, now: float, request_id: int) -> AdmissionResult:
        """Assigns the next retry time after those of the waiting requests and of earlier deferred ones."""
        self.strained_at = now
        self.counts["told_to_wait"] += 1
        gap_ms = 1000 / self.rate(now)
        self.last_slot_at = max(self.last_slot_at, now + len(self.waiting) * gap_ms) + gap_ms
        retry_after_ms = self.last_slot_at - now
        if retry_after_ms > self.max_retry_ms:
            retry_after_ms = self.max_retry_ms * (RETRY_JITTER + (1 - RETRY_JITTER) * self.random.random())
        return AdmissionResult(request_id, retry_after_ms)

    def cancel(self, request_id: int) -> bool:
        """Drops a request. Returns whether it was waiting."""
        return self.waiting.pop(request_id, None) is not None

    def poll(self, now: float) -> list[AdmissionResult]:
        """Requests that are admitted by now, highest worth first, and requests whose wait has ended."""
        self.fill(now)
        results = []
        while not self.closed and self.queue and self.tokens >= 1:
            *_, request_id = heapq.heappop(self.queue)
            if request := self.waiting.pop(request_id, None):
                self.tokens -= 1
                if now - request.since > SPAN_MS:
                    self.strained_at = now
                self.counts["paced"] += 1
                results.append(AdmissionResult(request_id))
        for expired in [w for w in self.waiting.values() if w.until <= now]:
            del self.waiting[expired.request_id]
            results.append(self.defer(now, expired.request_id))
        if not self.waiting:
            self.queue.clear()
        return results

    def next_due_at(self, now: float) -> float:
        if not self.waiting:
            return inf
        first_end = min(w.until for w in self.waiting.values())
        return (
            first_end
            if self.closed
            else min(first_end, now + max(0.0, 1 - self.tokens) * 1000 / self.rate(now))
        )
