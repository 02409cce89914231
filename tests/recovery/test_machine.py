"""Recovery of whole fleets: trust in stores, the rate of all fronts together, messages of earlier
incarnations."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lemonhall.recovery import Phase, PhaseTimeouts, Recovery, StoreCheckpoint, StoreTrust, rates
from lemonhall.recovery.recovery_pb2 import Words
from tests.recovery.fleet import Fleet


def running_fleet(count: int, seed: int, loss: float = 0.0, requests_per_s: float = 4.0) -> Fleet:
    """A fleet that has served for 7 s, each front with so many requests/s and constant writes to its
    store."""
    fleet = Fleet(count, seed, loss)
    for n in range(count):
        fleet.start(n)
    request_id, random = 0, Random(seed)
    for _ in range(70):
        fleet.run(fleet.now + 100)
        for n, front in fleet.fronts.items():
            front.checkpoint = StoreCheckpoint(front.checkpoint.created_ms, front.checkpoint.commit_count + 1)
            if random.random() < requests_per_s / 10:
                request_id += 1
                fleet.request(n, request_id)
    return fleet


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_all_fronts_recover_and_each_store_is_vouched_for(loss: float) -> None:
    fleet = running_fleet(8, 1, loss)
    for n in range(8):
        fleet.kill(n)
    for n in range(8):
        fleet.start(n, query=True)
        fleet.run(fleet.now + 20)
    fleet.run(fleet.now + 6000)
    for front in fleet.fronts.values():
        assert front.machine.store_trust is StoreTrust.SOUND
        assert front.machine.phases.phase is Phase.FULL


def test_an_outdated_store_is_detected_and_one_that_no_front_knows_is_not_trusted() -> None:
    fleet = running_fleet(8, 2)
    old = StoreCheckpoint(fleet.fronts[3].checkpoint.created_ms, fleet.fronts[3].checkpoint.commit_count - 20)
    fleet.kill(3)
    restarted = fleet.start(3, query=True, checkpoint=old)
    began = fleet.now
    while restarted.machine.store_trust is StoreTrust.WAITING:
        fleet.step(fleet.now + 10)
    assert restarted.machine.store_trust is StoreTrust.OLDER and fleet.now - began < 100
    fleet = running_fleet(4, 2)
    for n in range(4):
        fleet.kill(n)
    alone = fleet.start(0, query=True)
    fleet.run(fleet.now + 1100)
    assert alone.machine.store_trust is StoreTrust.UNKNOWN


@settings(max_examples=10, deadline=None)
@given(st.integers(2, 12), st.integers(0, 10_000), st.sampled_from([0.0, 0.3, 0.9]))
def test_the_rate_of_all_fronts_together_stays_within_the_fleet_rate(
    count: int, seed: int, loss: float
) -> None:
    """With any message loss, more requests than each front admits, and all fronts restarted within a
    second."""
    fleet = Fleet(count, seed, loss)
    random = Random(seed)
    usual = [random.uniform(0, 12) for _ in range(count)]
    mean = sum(usual) / count
    for n in range(count):
        before = Recovery(0.0, n, count, Random(n), PhaseTimeouts(), 2000.0)
        before.stored.usual, before.stored.mean, before.stored.fronts = usual[n], mean, count
        fleet.stored[n] = before.serialize(), StoreCheckpoint(1, 1)
        fleet.start(n)
    for at in range(0, 4000, 100):
        fleet.run(float(at))
        gate_rates = [
            f.machine.gate.rate_per_s for f in fleet.fronts.values() if f.machine.phases.phase < Phase.FULL
        ]
        assert sum(gate_rates) <= rates.fleet_rate(mean * count, 12) * 1.05 + 1e-6
        for n in range(count):
            fleet.request(n, at * 100 + n)
            fleet.request(n, at * 100 + n + count)


def test_a_late_message_of_an_earlier_incarnation_is_dropped() -> None:
    fleet = running_fleet(3, 5)
    old = fleet.fronts[1].machine.build_message(0).data
    fleet.kill(1)
    fleet.start(1)
    fleet.run(fleet.now + 1000)
    receiver = fleet.fronts[0].machine
    incarnation = receiver.peers[1].incarnation
    receiver.receive(fleet.now, 1, old)
    assert receiver.counts["of_an_earlier_life"] == 1 and receiver.peers[1].incarnation == incarnation


def test_a_suspended_front_starts_a_new_incarnation() -> None:
    fleet = running_fleet(3, 6)
    machine = fleet.fronts[2].machine
    assert machine.phases.phase is Phase.FULL
    machine.on_list(fleet.now + 20_000, fleet.now + 15_000, 12)  # was waiting in its socket
    assert machine.phases.phase is Phase.NOTHING and machine.gate.closed
    assert machine.admit_request(fleet.now + 20_000, 1, 1.0, 4000.0) is None
    machine.on_list(fleet.now + 20_400, fleet.now + 20_300, 12)
    assert machine.phases.phase >= Phase.LISTED and not machine.gate.closed


@given(st.binary(max_size=1400))
def test_unreadable_messages_and_state_do_not_raise_or_break_the_rate(data: bytes) -> None:
    machine = Recovery(0.0, 0, 4, Random(1), PhaseTimeouts(), 2000.0)
    machine.receive(1.0, 1, data)
    machine.receive(2.0, 1, Words(life=1, age_ms=2**63, usual=float("inf"), ask=True).SerializeToString())
    machine.receive(3.0, 1, Words(life=2, usual=float("nan"), answer=True).SerializeToString())
    machine.tick(4.0)
    machine.restore(data)
    assert 0 < machine.gate.rate(4.0) < 1e9


def test_list_requests_are_spread_by_the_number_of_recovering_fronts() -> None:
    fleet = Fleet(8, 3)
    for n in range(8):
        fleet.start(n)
    fleet.run(1500)
    waits = [fleet.fronts[0].machine.list_wait_ms() for _ in range(200)]
    assert 40 < max(waits) <= 7 * 20
    alone = Recovery(0.0, 0, 8, Random(1), PhaseTimeouts(), 2000.0)
    assert alone.list_wait_ms() == 0
