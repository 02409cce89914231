"""Paced limits begin no more than rate and burst allow, soft ones are off by no more than they say."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lemonhall.limits.local_limit import Bucket, Demand, LocalLimit
from lemonhall.limits.shares import LimitShare
from lemonhall.limits.soft_counters import Counters, Entry
from tests.limits.fleet import PERIOD, Fleet, exact, paced, plan, soft, walk

PACE = paced(20.0, 6.0)


def swung(seed: int, fronts: int = 3, rounds: int = 60) -> Fleet:
    """Demand goes from front to front; links lose, fronts freeze, wake and start anew."""
    fleet, random = Fleet(plan(PACE), fronts, seed, (1.0,) * fronts), Random(seed)
    fleet.run(3)
    for turn in range(rounds):
        busy = random.randrange(fronts)
        for _ in range(random.randrange(1, 12)):
            fleet.ask(busy)
        fleet.run(random.choice((0.2, 1.0, 2.0)), loss=random.choice((0.0, 0.3)))
        if random.random() < 0.1:
            fleet.frozen ^= {random.randrange(fronts)}
        if random.random() < 0.04:
            fleet.kill(random.randrange(fronts))
        if turn % 10 == 0:
            fleet.now += random.choice((0.0, 3.0 * fleet.plan.lease_ms))
        for number in range(fronts):
            for ask in list(fleet.stands[number]):
                fleet.end(number, ask)
        fleet.check()
    return fleet


@pytest.mark.parametrize("seed", range(8))
def test_a_pace_is_kept_over_every_span(seed: int) -> None:
    fleet = swung(seed, fronts=3 + seed % 3)
    assert len(fleet.began) > 20
    fleet.check_paced(PACE)


WIDE = paced(10.0, 30.0)


def moved(spent: bool) -> Fleet:
    """All pace goes to one front, from those whose buckets are full, or from one that has spent its own."""
    fleet = Fleet(plan(WIDE), 3)
    fleet.run(20)
    for number in range(3):
        fleet.ask(number)
    fleet.run(20)  # their own buckets are full
    for _ in range(14 * spent):
        fleet.ask(1)
    for _ in range(60):
        fleet.ask(0)
        fleet.ask(0)
        fleet.run(0.2)
    for number in (1, 2) * 12:
        fleet.ask(number)
    return fleet


@pytest.mark.parametrize("spent", [False, True])
def test_a_burst_where_the_pace_went_and_where_it_came_from(spent: bool) -> None:
    fleet = moved(spent)
    assert fleet.fronts[0].status(fleet.clock(0))["limits"][0]["borrowed"] > 5000
    fleet.check_paced(WIDE)


SLOW = paced(1.0, 6.0)


def killed_often() -> Fleet:
    """One front alone, whose bucket is the whole one; with others it waits for their words first."""
    fleet = Fleet(plan(SLOW), 1)
    for _ in range(8):
        fleet.run(3)
        for _ in range(4):
            fleet.ask(0)
        fleet.run(0.2)
        for _ in range(4):
            fleet.ask(0)
        fleet.kill(0)
    return fleet


def test_a_start_begins_with_no_tokens() -> None:
    killed_often().check_paced(SLOW)


def tokens_move(monkeypatch: pytest.MonkeyPatch) -> None:
    """A bucket keeps what it holds when its part shrinks."""

    def flawed(self: Bucket, now: float, per_ms: float, most: float) -> None:
        if self.at > float("-inf"):
            self.level = min(max(self.level, most), self.level + per_ms * max(0.0, now - self.at))
        self.at = max(self.at, now)

    monkeypatch.setattr(Bucket, "fill", flawed)


def starts_full(monkeypatch: pytest.MonkeyPatch) -> None:
    """A start takes its bucket for full."""
    fill = Bucket.fill

    def flawed(self: Bucket, now: float, per_ms: float, most: float) -> None:
        self.level = most if self.at == float("-inf") else self.level
        fill(self, now, per_ms, most)

    monkeypatch.setattr(Bucket, "fill", flawed)


def promised_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    """What has been promised to a session that waits is free for others."""
    monkeypatch.setattr(Bucket, "begin", lambda self, promised: True)
    monkeypatch.setattr(Bucket, "free", lambda self: self.level > 0)


@pytest.mark.parametrize("flaw", [tokens_move, starts_full, promised_twice], ids=lambda f: f.__name__)
def test_each_defence_of_a_pace_is_missed(flaw: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    flaw(monkeypatch)
    with pytest.raises(AssertionError, match="pace"):
        for spent in (False, True):
            moved(spent).check_paced(WIDE)
        killed_often().check_paced(SLOW)
        for seed in range(20):
            swung(seed).check_paced(PACE)


def test_pace_goes_where_the_demand_is() -> None:
    fleet = Fleet(plan(paced(50.0, 50.0)), 8)
    fleet.run(4)
    for _ in range(100):  # 20 periods, 2 s
        fleet.ask(5)
        fleet.run(0.2)
        for ask in list(fleet.stands[5]):
            fleet.end(5, ask)
    late = [at for at in fleet.began if at > fleet.now - 1000]
    assert len(late) >= 45  # a front of eight has 6 a second of its own


def test_a_part_brings_no_tokens_of_the_time_before_it_was_held() -> None:
    room = LocalLimit(WIDE, 0, LimitShare(0, set()), Demand(PERIOD), PERIOD, WIDE.amount)
    room.settle_pace(0.0, 0)
    room.settle_pace(2000.0, 0)
    room.settle_pace(2000.0, WIDE.amount)  # all of it comes now
    assert room.bucket.level == 0
    room.settle_pace(3000.0, WIDE.amount)
    assert room.bucket.level == pytest.approx(10.0)
    room.settle_pace(3000.0, WIDE.amount // 10)  # and most of it goes
    assert room.bucket.level == pytest.approx(3.0)


def test_a_front_that_nobody_asked_for_long_has_its_tokens() -> None:
    fleet = Fleet(plan(WIDE), 3)
    fleet.run(40)
    assert [fleet.ask(n) for n in range(3)] == [True] * 3


def test_a_set_up_takes_its_token_when_it_leaves() -> None:
    fleet = Fleet(plan(paced(10.0, 2.0)), 1)
    fleet.now += 1000
    front = fleet.fronts[0]
    front.admit(fleet.clock(0), 90, 0, 0, "/a")  # the bucket begins to fill
    fleet.now += 1000
    assert [front.admit(fleet.clock(0), n, 0, 0, "/a").refused_by for n in (1, 2, 3)] == ["", "", "pace"]
    fleet.now += 5000  # both waited
    assert front.may_start_set_up(fleet.clock(0), 1) and front.may_start_set_up(fleet.clock(0), 2)
    assert not front.may_start_set_up(fleet.clock(0), 2)  # a further attempt needs one more
    told = front.admit(fleet.clock(0), 4, 0, 0, "/a")
    assert told.refused_by == "pace" and 0 < told.retry_after_ms <= 10 * PERIOD


# soft limits


def test_a_soft_limit_holds_while_words_are_young() -> None:
    fleet = Fleet(plan(soft(200, rise=20.0)), 6, rates=(1.0, 1.0004, 0.9996, 1.0, 1.0, 1.0))
    fleet.run(8)
    random = Random(1)
    for _ in range(400):
        fleet.ask(random.randrange(6))
        fleet.run(0.2, loss=0.2)
        if random.random() < 0.1:
            fleet.end(random.randrange(6))
        assert fleet.standing() <= 200
    assert fleet.standing() >= 100


def test_it_says_how_far_off_it_may_be() -> None:
    fleet = Fleet(plan(soft(1000, rise=20.0)), 3)
    fleet.run(8)
    cut = frozenset(frozenset((0, n)) for n in (1, 2))
    for _ in range(150):
        for number in (1, 2):
            fleet.ask(number)
        fleet.run(0.2, cut=cut)
        told = fleet.fronts[0].status(fleet.clock(0))["limits"][0]
        assert fleet.standing() <= told["used"] + told["others"] + told["off_most"] + 1e-6
    assert told["oldest_s"] >= 2.9 and fleet.standing() > 60


def test_one_that_has_not_heard_for_long_goes_by_its_own_part() -> None:
    fleet = Fleet(plan(soft(30, rise=100.0)), 3)
    fleet.run(8)
    cut = frozenset(frozenset((0, n)) for n in (1, 2))
    for _ in range(100):
        for number in range(3):
            fleet.ask(number)
        fleet.run(0.4, cut=cut)
    assert [len(s) for s in fleet.stands] == [10, 10, 10]
    assert fleet.fronts[0].status(fleet.clock(0))["soft_oldest_s"] <= 10 * PERIOD / 1000


@given(st.permutations(range(6)), st.lists(st.integers(0, 5), max_size=6))
@settings(max_examples=80, deadline=None, suppress_health_check=list(HealthCheck))
def test_counters_join_without_order(order: list[int], again: list[int]) -> None:
    said = [(n % 2, Entry(1 + n % 3, 10 * n, float(n), n)) for n in range(6)]
    one, other = Counters(soft(9, 1.0), PERIOD), Counters(soft(9, 1.0), PERIOD)
    for n in range(6):
        one.join(*said[n])
    for n in (*order, *again):
        other.join(*said[n])
    assert one.entries == other.entries


# all kinds together, at a larger size


@pytest.mark.parametrize("seed", range(3))
def test_five_fronts_keep_all_kinds_at_once(seed: int) -> None:
    mixed = plan(exact(12), exact(2, "each", each_title=True), paced(40.0, 10.0), soft(40, 30.0))
    fleet = Fleet(mixed, 5, seed, (1.0, 1.0004, 0.9996, 1.0002, 1.0))
    fleet.run(6)
    walk(fleet, seed, 500)
    fleet.check_paced(mixed.limits[2])
