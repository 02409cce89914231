"""The machine in fleets: the store vouched for, the pace of all together, words of earlier lives."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lemonhall.recovery import Phase, PhaseTimeouts, Recovery, StoreCheckpoint, StoreTrust, rates
from lemonhall.recovery.recovery_pb2 import Words
from tests.recovery.fleet import Fleet


def lived(count: int, seed: int, loss: float = 0.0, asks: float = 4.0) -> Fleet:
    """A fleet that has served for 7 s, each front `asks` a second, each store written all the time."""
    fleet = Fleet(count, seed, loss)
    for n in range(count):
        fleet.start(n)
    ident, random = 0, Random(seed)
    for _ in range(70):
        fleet.run(fleet.now + 100)
        for n, front in fleet.fronts.items():
            front.mark = StoreCheckpoint(front.mark.created_ms, front.mark.commit_count + 1)
            if random.random() < asks / 10:
                ident += 1
                fleet.ask(n, ident)
    return fleet


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_all_come_back_and_each_store_is_vouched_for(loss: float) -> None:
    fleet = lived(8, 1, loss)
    for n in range(8):
        fleet.kill(n)
    for n in range(8):
        fleet.start(n, ask=True)
        fleet.run(fleet.now + 20)
    fleet.run(fleet.now + 6000)
    for front in fleet.fronts.values():
        assert front.machine.store_trust is StoreTrust.SOUND
        assert front.machine.phases.phase is Phase.FULL


def test_an_older_store_is_told_by_the_others_and_an_unknown_one_is_not_believed() -> None:
    fleet = lived(8, 2)
    old = StoreCheckpoint(fleet.fronts[3].mark.created_ms, fleet.fronts[3].mark.commit_count - 20)
    fleet.kill(3)
    back = fleet.start(3, ask=True, mark=old)
    began = fleet.now
    while back.machine.store_trust is StoreTrust.WAITING:
        fleet.step(fleet.now + 10)
    assert back.machine.store_trust is StoreTrust.OLDER and fleet.now - began < 100
    fleet = lived(4, 2)
    for n in range(4):
        fleet.kill(n)
    alone = fleet.start(0, ask=True)
    fleet.run(fleet.now + 1100)
    assert alone.machine.store_trust is StoreTrust.UNKNOWN


@settings(max_examples=10, deadline=None)
@given(st.integers(2, 12), st.integers(0, 10_000), st.sampled_from([0.0, 0.3, 0.9]))
def test_the_pace_of_all_together_is_never_over_the_plan(count: int, seed: int, loss: float) -> None:
    """Whatever words are lost: a crowd at each front, all back within a second."""
    fleet = Fleet(count, seed, loss)
    random = Random(seed)
    usual = [random.uniform(0, 12) for _ in range(count)]
    mean = sum(usual) / count
    for n in range(count):
        kept = Recovery(0.0, n, count, Random(n), PhaseTimeouts(), 2000.0)
        kept.kept.usual, kept.kept.mean, kept.kept.fronts = usual[n], mean, count
        fleet.kept[n] = kept.serialize(), StoreCheckpoint(1, 1)
        fleet.start(n)
    for at in range(0, 4000, 100):
        fleet.run(float(at))
        gate_rates = [
            f.machine.gate.rate_per_s for f in fleet.fronts.values() if f.machine.phases.phase < Phase.FULL
        ]
        assert sum(gate_rates) <= rates.plan(mean * count, 12) * 1.05 + 1e-6
        for n in range(count):
            fleet.ask(n, at * 100 + n)
            fleet.ask(n, at * 100 + n + count)


def test_a_word_of_an_earlier_life_is_void() -> None:
    fleet = lived(3, 5)
    old = fleet.fronts[1].machine.say(0).data
    fleet.kill(1)
    fleet.start(1)
    fleet.run(fleet.now + 1000)
    here = fleet.fronts[0].machine
    life = here.others[1].life
    here.receive(fleet.now, 1, old)
    assert here.counts["of_an_earlier_life"] == 1 and here.others[1].life == life


def test_a_front_that_did_not_run_begins_anew() -> None:
    fleet = lived(3, 6)
    machine = fleet.fronts[2].machine
    assert machine.phases.phase is Phase.FULL
    machine.on_list(fleet.now + 20_000, fleet.now + 15_000, 12)  # what lay in its socket
    assert machine.phases.phase is Phase.NOTHING and machine.gate.shut
    assert machine.admit_request(fleet.now + 20_000, 1, 1.0, 4000.0) is None
    machine.on_list(fleet.now + 20_400, fleet.now + 20_300, 12)
    assert machine.phases.phase >= Phase.LISTED and not machine.gate.shut


@given(st.binary(max_size=1400))
def test_bad_words_are_counted_and_passed_over(data: bytes) -> None:
    machine = Recovery(0.0, 0, 4, Random(1), PhaseTimeouts(), 2000.0)
    machine.receive(1.0, 1, data)
    machine.receive(2.0, 1, Words(life=1, age_ms=2**63, usual=float("inf"), ask=True).SerializeToString())
    machine.receive(3.0, 1, Words(life=2, usual=float("nan"), answer=True).SerializeToString())
    machine.tick(4.0)
    machine.restore(data)
    assert 0 < machine.gate.rate(4.0) < 1e9


def test_calls_for_the_list_are_spread_by_as_many_as_come_back() -> None:
    fleet = Fleet(8, 3)
    for n in range(8):
        fleet.start(n)
    fleet.run(1500)
    waits = [fleet.fronts[0].machine.list_wait_ms() for _ in range(200)]
    assert 40 < max(waits) <= 7 * 20
    alone = Recovery(0.0, 0, 8, Random(1), PhaseTimeouts(), 2000.0)
    assert alone.list_wait_ms() == 0
