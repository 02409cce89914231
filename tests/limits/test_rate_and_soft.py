"""Rate limits start no more set-ups than rate and burst allow; soft limits are exceeded by no more than
stated."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lemonhall.limits.local_limit import Demand, LocalLimit, TokenBucket
from lemonhall.limits.shares import LimitShare
from lemonhall.limits.soft_counters import CounterEntry, SoftCounters
from tests.limits.fleet import PERIOD, Fleet, exact_limit, random_walk, rate_limit, settings_of, soft_limit

RATE = rate_limit(20.0, 6.0)


def fleet_with_moving_demand(seed: int, fronts: int = 3, rounds: int = 60) -> Fleet:
    """Demand moves from front to front; messages are lost, fronts are paused, resumed and restarted."""
    fleet, random = Fleet(settings_of(RATE), fronts, seed, (1.0,) * fronts), Random(seed)
    fleet.run(3)
    for turn in range(rounds):
        busy = random.randrange(fronts)
        for _ in range(random.randrange(1, 12)):
            fleet.request(busy)
        fleet.run(random.choice((0.2, 1.0, 2.0)), loss=random.choice((0.0, 0.3)))
        if random.random() < 0.1:
            fleet.paused ^= {random.randrange(fronts)}
        if random.random() < 0.04:
            fleet.restart(random.randrange(fronts))
        if turn % 10 == 0:
            fleet.now += random.choice((0.0, 3.0 * fleet.settings.lease_ms))
        for number in range(fronts):
            for request_id in list(fleet.playing[number]):
                fleet.end(number, request_id)
        fleet.check()
    return fleet


@pytest.mark.parametrize("seed", range(8))
def test_a_rate_limit_holds_over_every_span(seed: int) -> None:
    fleet = fleet_with_moving_demand(seed, fronts=3 + seed % 3)
    assert len(fleet.started_at) > 20
    fleet.check_rate(RATE)


LARGE_BURST = rate_limit(10.0, 30.0)


def fleet_with_lent_rate(spent: bool) -> Fleet:
    """The whole rate is lent to one front, by fronts with full buckets or by one that has spent its
    tokens."""
    fleet = Fleet(settings_of(LARGE_BURST), 3)
    fleet.run(20)
    for number in range(3):
        fleet.request(number)
    fleet.run(20)  # their own buckets are full
    for _ in range(14 * spent):
        fleet.request(1)
    for _ in range(60):
        fleet.request(0)
        fleet.request(0)
        fleet.run(0.2)
    for number in (1, 2) * 12:
        fleet.request(number)
    return fleet


@pytest.mark.parametrize("spent", [False, True])
def test_bursts_at_lender_and_borrower_stay_within_the_limit(spent: bool) -> None:
    fleet = fleet_with_lent_rate(spent)
    assert fleet.fronts[0].status(fleet.clock(0))["limits"][0]["borrowed"] > 5000
    fleet.check_rate(LARGE_BURST)


SLOW = rate_limit(1.0, 6.0)


def often_restarted_front() -> Fleet:
    """A single front, which owns the whole bucket; with others it would first wait for their reports."""
    fleet = Fleet(settings_of(SLOW), 1)
    for _ in range(8):
        fleet.run(3)
        for _ in range(4):
            fleet.request(0)
        fleet.run(0.2)
        for _ in range(4):
            fleet.request(0)
        fleet.restart(0)
    return fleet


def test_a_restarted_front_has_no_tokens() -> None:
    often_restarted_front().check_rate(SLOW)


# flaws: each removes one safeguard


def tokens_survive_lending(monkeypatch: pytest.MonkeyPatch) -> None:
    """A bucket keeps its tokens when the share shrinks."""

    def flawed(self: TokenBucket, now: float, per_ms: float, max_level: float) -> None:
        if self.updated_at > float("-inf"):
            self.level = min(
                max(self.level, max_level), self.level + per_ms * max(0.0, now - self.updated_at)
            )
        self.updated_at = max(self.updated_at, now)

    monkeypatch.setattr(TokenBucket, "fill", flawed)


def bucket_starts_full(monkeypatch: pytest.MonkeyPatch) -> None:
    """A restarted front takes its bucket for full."""
    fill = TokenBucket.fill

    def flawed(self: TokenBucket, now: float, per_ms: float, max_level: float) -> None:
        self.level = max_level if self.updated_at == float("-inf") else self.level
        fill(self, now, per_ms, max_level)

    monkeypatch.setattr(TokenBucket, "fill", flawed)


def tokens_are_reserved_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    """Tokens reserved for an admitted session are free for others."""
    monkeypatch.setattr(TokenBucket, "take_token", lambda self, is_reserved: True)
    monkeypatch.setattr(TokenBucket, "has_free_token", lambda self: self.level > 0)


@pytest.mark.parametrize(
    "flaw",
    [tokens_survive_lending, bucket_starts_full, tokens_are_reserved_twice],
    ids=lambda f: f.__name__,
)
def test_each_safeguard_of_a_rate_limit_is_needed(flaw: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    flaw(monkeypatch)
    with pytest.raises(AssertionError, match="pace"):
        for spent in (False, True):
            fleet_with_lent_rate(spent).check_rate(LARGE_BURST)
        often_restarted_front().check_rate(SLOW)
        for seed in range(20):
            fleet_with_moving_demand(seed).check_rate(RATE)


def test_the_rate_moves_to_the_front_with_the_demand() -> None:
    fleet = Fleet(settings_of(rate_limit(50.0, 50.0)), 8)
    fleet.run(4)
    for _ in range(100):  # 20 periods, 2 s
        fleet.request(5)
        fleet.run(0.2)
        for request_id in list(fleet.playing[5]):
            fleet.end(5, request_id)
    recent = [at for at in fleet.started_at if at > fleet.now - 1000]
    assert len(recent) >= 45  # one of eight fronts owns 6 set-ups/s


def test_a_share_yields_no_tokens_for_the_time_before_it_was_held() -> None:
    local = LocalLimit(LARGE_BURST, 0, LimitShare(0, set()), Demand(PERIOD), PERIOD, LARGE_BURST.amount)
    local.refill_tokens(0.0, 0)
    local.refill_tokens(2000.0, 0)
    local.refill_tokens(2000.0, LARGE_BURST.amount)  # the whole share arrives
    assert local.bucket.level == 0
    local.refill_tokens(3000.0, LARGE_BURST.amount)
    assert local.bucket.level == pytest.approx(10.0)
    local.refill_tokens(3000.0, LARGE_BURST.amount // 10)  # most of it is given away
    assert local.bucket.level == pytest.approx(3.0)


def test_a_front_without_requests_collects_tokens() -> None:
    fleet = Fleet(settings_of(LARGE_BURST), 3)
    fleet.run(40)
    assert [fleet.request(n) for n in range(3)] == [True] * 3


def test_a_set_up_takes_its_token_when_it_is_sent() -> None:
    fleet = Fleet(settings_of(rate_limit(10.0, 2.0)), 1)
    fleet.now += 1000
    front = fleet.fronts[0]
    front.admit(fleet.clock(0), 90, 0, 0, "/a")  # the bucket starts to fill
    fleet.now += 1000
    assert [front.admit(fleet.clock(0), n, 0, 0, "/a").refused_by for n in (1, 2, 3)] == ["", "", "pace"]
    fleet.now += 5000  # both waited
    assert front.may_start_set_up(fleet.clock(0), 1) and front.may_start_set_up(fleet.clock(0), 2)
    assert not front.may_start_set_up(fleet.clock(0), 2)  # a further attempt needs another token
    decision = front.admit(fleet.clock(0), 4, 0, 0, "/a")
    assert decision.refused_by == "pace" and 0 < decision.retry_after_ms <= 10 * PERIOD


# soft limits


def test_a_soft_limit_holds_while_messages_are_recent() -> None:
    fleet = Fleet(
        settings_of(soft_limit(200, rise_per_s=20.0)), 6, clock_rates=(1.0, 1.0004, 0.9996, 1.0, 1.0, 1.0)
    )
    fleet.run(8)
    random = Random(1)
    for _ in range(400):
        fleet.request(random.randrange(6))
        fleet.run(0.2, loss=0.2)
        if random.random() < 0.1:
            fleet.end(random.randrange(6))
        assert fleet.playing_count() <= 200
    assert fleet.playing_count() >= 100


def test_the_status_of_a_soft_limit_bounds_the_use_of_all_fronts() -> None:
    fleet = Fleet(settings_of(soft_limit(1000, rise_per_s=20.0)), 3)
    fleet.run(8)
    cut = frozenset(frozenset((0, n)) for n in (1, 2))
    for _ in range(150):
        for number in (1, 2):
            fleet.request(number)
        fleet.run(0.2, cut=cut)
        status = fleet.fronts[0].status(fleet.clock(0))["limits"][0]
        assert fleet.playing_count() <= status["used"] + status["others"] + status["off_most"] + 1e-6
    assert status["oldest_s"] >= 2.9 and fleet.playing_count() > 60


def test_a_front_with_old_counters_uses_its_own_share_only() -> None:
    fleet = Fleet(settings_of(soft_limit(30, rise_per_s=100.0)), 3)
    fleet.run(8)
    cut = frozenset(frozenset((0, n)) for n in (1, 2))
    for _ in range(100):
        for number in range(3):
            fleet.request(number)
        fleet.run(0.4, cut=cut)
    assert [len(s) for s in fleet.playing] == [10, 10, 10]
    assert fleet.fronts[0].status(fleet.clock(0))["soft_oldest_s"] <= 10 * PERIOD / 1000


@given(st.permutations(range(6)), st.lists(st.integers(0, 5), max_size=6))
@settings(max_examples=80, deadline=None, suppress_health_check=list(HealthCheck))
def test_the_order_and_repetition_of_counters_make_no_difference(order: list[int], again: list[int]) -> None:
    sent = [(n % 2, CounterEntry(1 + n % 3, 10 * n, float(n), n)) for n in range(6)]
    one, other = SoftCounters(soft_limit(9, 1.0), PERIOD), SoftCounters(soft_limit(9, 1.0), PERIOD)
    for n in range(6):
        one.merge(*sent[n])
    for n in (*order, *again):
        other.merge(*sent[n])
    assert one.entries == other.entries


# all kinds of limits together


@pytest.mark.parametrize("seed", range(3))
def test_five_fronts_keep_limits_of_all_kinds_at_once(seed: int) -> None:
    mixed = settings_of(
        exact_limit(12), exact_limit(2, "each", each_title=True), rate_limit(40.0, 10.0), soft_limit(40, 30.0)
    )
    fleet = Fleet(mixed, 5, seed, (1.0, 1.0004, 0.9996, 1.0002, 1.0))
    fleet.run(6)
    random_walk(fleet, seed, 500)
    fleet.check_rate(mixed.limits[2])
