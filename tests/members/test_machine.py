"""Membership on a network that loses, duplicates, reorders and cuts off datagrams and pauses fronts; the
encryption of datagrams; and the number of fronts that is reported to the module."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lemonhall.members import DatagramError, KeyRing, MembershipMachine, MembershipView, SwimConfig
from lemonhall.members.front_count import FrontCount
from lemonhall.members.machine import MAX_DATAGRAM_BYTES
from lemonhall.members.members_pb2 import Message
from tests.members.network import KEY, Network, address_of

PERIOD = SwimConfig().period_ms
FEW_EXAMPLES = settings(
    max_examples=25, deadline=None, suppress_health_check=list(HealthCheck), derandomize=True
)


def fleet(count: int, seed: int = 1) -> Network:
    """A network of fronts that all know each other."""
    net = Network(seed)
    for number in range(count):
        net.add(number, (0, 1))
    net.run_until_agreed(30 * PERIOD)
    return net


@pytest.mark.parametrize("count", [2, 5, 20, 60])
def test_fronts_find_each_other_by_their_seeds(count: int) -> None:
    net = fleet(count)
    assert net.largest_bytes <= MAX_DATAGRAM_BYTES
    net.run(60 * PERIOD)
    assert net.agreed() and net.false_deaths() == 0


@pytest.mark.parametrize("count", [3, 12, 40])
def test_a_killed_front_and_no_other_is_detected_by_all(count: int) -> None:
    net = fleet(count)
    net.kill(count - 1)
    detected_after_ms = net.run_until_agreed(90 * PERIOD)
    assert detected_after_ms > 2 * PERIOD  # not by one lost ack
    assert net.false_deaths() == 0


def test_most_fronts_can_restart_in_one_rolling_deployment() -> None:
    net = fleet(32, seed=3)
    for number in range(2, 32):  # 94%
        net.send(number, net.nodes[number].machine.leave(net.now))
        net.run(300)
        net.kill(number)
        net.add(number, (0, 1))
        net.run(300)
    net.run_until_agreed(60 * PERIOD)
    assert not any(n.machine.duplicate_number for n in net.nodes.values())


def test_a_leaving_front_is_removed_without_a_suspicion() -> None:
    net = fleet(10)
    net.send(9, net.nodes[9].machine.leave(net.now))
    net.kill(9)
    assert net.run_until_agreed(10 * PERIOD) < 8 * PERIOD
    assert not any("declared_dead" in n.machine.counts for n in net.nodes.values())


def test_a_front_returns_with_a_new_incarnation() -> None:
    net = fleet(8)
    net.kill(7)
    net.run_until_agreed(90 * PERIOD)
    net.add(7, (0, 1))
    net.run_until_agreed(30 * PERIOD)
    assert net.nodes[0].machine.members[7].incarnation >= 2


def test_fronts_agree_again_after_loss_duplication_and_reordering() -> None:
    net = fleet(12, seed=5)
    net.loss, net.duplication, net.delay_ms = 0.3, 0.2, (0.2, 60.0)
    net.run(120 * PERIOD)
    assert net.false_deaths() <= 4  # of 132 views; each is refuted later
    net.loss = 0.0
    net.run_until_agreed(60 * PERIOD)


def test_a_front_unreachable_from_one_other_front_stays_alive() -> None:
    net = fleet(12, seed=6)
    net.cut = lambda a, b: (a, b) == (3, 4)
    net.run(90 * PERIOD)
    assert net.agreed() and net.false_deaths() == 0


def test_a_partition_forms_two_fleets_and_its_end_one() -> None:
    net = fleet(10, seed=7)
    net.cut = lambda a, b: (a < 3) != (b < 3)
    net.run(120 * PERIOD)
    small, large = net.nodes[1].machine.view(), net.nodes[5].machine.view()
    assert small.members == (0, 1, 2) and large.members == tuple(range(3, 10))
    net.cut = lambda a, b: False
    net.run_until_agreed(200 * PERIOD)


def test_a_partitioned_front_sees_that_it_may_be_isolated() -> None:
    net = fleet(10, seed=8)
    net.cut = lambda a, b: (a == 9) != (b == 9)
    net.run(10 * PERIOD)
    assert net.nodes[9].machine.view().isolated
    net.run(35 * PERIOD)
    assert net.nodes[9].machine.view().isolated
    assert not net.nodes[4].machine.view().isolated


def test_a_resumed_front_declares_no_other_dead() -> None:
    net = fleet(10, seed=9)
    net.nodes[4].paused_until = net.now + 60 * PERIOD
    net.run(59 * PERIOD)
    assert all(4 not in net.nodes[n].machine.view().members for n in range(10) if n != 4)
    net.run(3 * PERIOD)
    assert net.nodes[4].machine.counts.get("woke") and not net.nodes[4].machine.counts.get("declared_dead")
    net.run_until_agreed(60 * PERIOD)


def test_two_fronts_with_one_number_are_reported() -> None:
    net = fleet(5)
    second = net.add(4, (0, 1))  # the first is still up; the network delivers to the second only
    other = MembershipMachine(4, address_of(4), 1234, [address_of(0)], SwimConfig(), Random(1))
    other.start(net.now)
    late = second.machine.start(net.now)[0].data
    other.receive(net.now, address_of(4), late)
    assert not other.duplicate_number  # a late message may be of an earlier start
    other.receive(net.now + 6 * PERIOD, address_of(4), late)
    assert other.duplicate_number and other.counts["twin"] == 2


def test_no_message_makes_a_machine_raise() -> None:
    machine = MembershipMachine(1, address_of(1), 7, [address_of(0)], SwimConfig(), Random(1))
    machine.start(0.0)
    random = Random(2)
    for _ in range(3000):
        message = Message(kind=random.randrange(9), sequence=random.randrange(99), sender=random.randrange(5))
        message.incarnation, message.boot = random.randrange(1 << 32), random.randrange(3)
        message.target = random.randrange(6)
        for _ in range(random.randrange(4)):
            update = message.updates.add()
            update.member, update.state = random.randrange(6), random.randrange(6)
            update.incarnation, update.boot = random.randrange(1 << 32), random.randrange(3)
            update.host, update.port = random.randrange(1 << 32), random.randrange(1 << 16)
        data = message.SerializeToString()
        if random.random() < 0.2:
            data = data[: random.randrange(len(data) + 1)] + random.randbytes(3)
        machine.receive(random.random() * 1e5, address_of(random.randrange(5)), data)
        machine.tick(random.random() * 1e5)
        assert 1 in machine.view().members


@FEW_EXAMPLES
@given(
    st.integers(2, 9),
    st.lists(
        st.tuples(
            st.sampled_from(["kill", "add", "leave", "pause", "cut", "loss", "wait"]),
            st.integers(0, 8),
            st.integers(1, 20),
        ),
        max_size=8,
    ),
    st.integers(0, 1000),
)
def test_all_fronts_agree_after_any_sequence_of_faults(
    count: int, events: list[tuple[str, int, int]], seed: int
) -> None:
    net = Network(seed)
    for number in range(count):
        net.add(number, (0, 1))
    highest: dict[tuple[int, int], int] = {}
    for what, number, periods in events:
        number %= count
        node = net.nodes[number]
        if what == "kill" and len(net.up()) > 2 and number > 1:
            net.kill(number)
        elif what == "add" and not node.up:
            net.add(number, (0, 1))
        elif what == "leave" and node.up and number > 1:
            net.send(number, node.machine.leave(net.now))
            net.kill(number)
        elif what == "pause":
            node.paused_until = net.now + periods * PERIOD
        elif what == "cut":
            net.cut = lambda a, b, n=number: (a == n) != (b == n)
        elif what == "loss":
            net.loss = periods / 60
        net.run(periods * PERIOD / 2)
        for n, each in net.nodes.items():  # the incarnation of a boot never decreases
            key = (n, each.machine.boot)
            assert each.machine.incarnation >= highest.get(key, 0)
            highest[key] = each.machine.incarnation
    net.loss, net.cut = 0.0, lambda a, b: False
    net.run(25 * PERIOD)  # all pauses have ended
    net.run_until_agreed(400 * PERIOD)


# encryption


def two_key_rings() -> tuple[KeyRing, KeyRing]:
    return KeyRing(KEY, 1), KeyRing(KEY, 2)


def test_a_datagram_is_accepted_once() -> None:
    own, other = two_key_rings()
    data = other.seal(b"hello")
    assert own.open(data) == b"hello"
    with pytest.raises(DatagramError, match="received before"):
        own.open(data)


def test_datagrams_are_accepted_out_of_order_within_the_replay_window() -> None:
    own, other = two_key_rings()
    sealed = [other.seal(bytes([n % 250])) for n in range(600)]
    order = list(range(300))
    Random(1).shuffle(order)
    for block in range(0, 600, 100):
        part = [n for n in order if n < 100]
        for n in part:
            assert own.open(sealed[block + n]) == bytes([(block + n) % 250])
    with pytest.raises(DatagramError, match="counter is too old"):
        KeyRing(KEY, 3).open(sealed[0]) and own.open(sealed[0])


@pytest.mark.parametrize("at", [0, 1, 5, 12, 13, 20, -1])
def test_a_modified_datagram_is_refused(at: int) -> None:
    own, other = two_key_rings()
    data = bytearray(other.seal(b"a message"))
    data[at] ^= 1
    with pytest.raises(DatagramError):
        own.open(bytes(data))
    assert own.open(other.seal(b"next")) == b"next"


def test_foreign_and_own_datagrams_are_refused() -> None:
    own, _ = two_key_rings()
    with pytest.raises(DatagramError, match="another key"):
        own.open(KeyRing({1: b"x" * 16}, 9).seal(b"poison"))
    with pytest.raises(DatagramError, match="key 7 is unknown"):
        own.open(KeyRing({7: b"k" * 16}, 9).seal(b"poison"))
    with pytest.raises(DatagramError, match="sent by this front"):
        own.open(KeyRing(KEY, 1).seal(b"echo"))
    with pytest.raises(DatagramError, match="too short"):
        own.open(b"short")


def test_replayed_datagrams_change_nothing() -> None:
    net = fleet(6)
    for target, data, _sender in list(net.captured):
        with pytest.raises(DatagramError):
            net.nodes[target].keys.open(data)
    net.kill(5)
    old = [c for c in net.captured if c[0] != 5]
    net.run_until_agreed(90 * PERIOD)
    for target, data, sender in old:
        net.deliver(target, data, sender)
    assert net.agreed()


def test_keys_are_rotated_without_a_gap() -> None:
    old, new = {1: b"a" * 16}, {2: b"b" * 16}
    first, second = KeyRing(old, 1), KeyRing(old, 2)
    steps = [{**old, **new}, {**new, **old}, new]  # add the new key, encrypt with it, remove the old key
    for step in steps:
        first.set_keys(step)
        assert second.open(first.seal(b"x")) == b"x" and first.open(second.seal(b"y")) == b"y"
        second.set_keys(step)
        assert second.open(first.seal(b"x")) == b"x" and first.open(second.seal(b"y")) == b"y"
    with pytest.raises(ValueError):
        first.set_keys({})
    with pytest.raises(ValueError):
        KeyRing({1: b"short"}, 1)


# number of fronts


def view(*members: int, isolated: bool = False) -> MembershipView:
    return MembershipView(members, isolated, 1)


def test_the_number_of_fronts_increases_at_once_and_decreases_slowly() -> None:
    count = FrontCount(2, 3, 0.0)
    assert count.update(view(0, 1, 2), 0.0) is None
    assert count.update(view(*range(80)), 10.0) == (80, 2)
    three_left = view(1, 2, 3)
    assert count.update(three_left, 5000.0) == (80, 1)  # the rank changes at once, the number after a delay
    times, counts = [], []
    for ms in range(0, 120_000, 500):
        if report := count.update(three_left, 5000.0 + ms):
            times.append(ms)
            counts.append(report[0])
    assert times[0] >= 5000 and counts == sorted(counts, reverse=True) and counts[-1] == 3
    assert all(b - a >= 1000 for a, b in zip(times, times[1:], strict=False))
    assert all(a - b <= max(1, a // 16) for a, b in zip([80, *counts], counts, strict=False))


def test_the_number_of_fronts_does_not_decrease_while_isolated() -> None:
    count = FrontCount(0, 40, 0.0)
    for ms in range(0, 300_000, 1000):
        assert count.update(view(0, 1, isolated=True), float(ms)) is None
    assert count.reported == (40, 0)
