"""Members on a network that loses, doubles, reorders, cuts and pauses; datagrams nobody else can make."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lemonhall.members import DatagramError, KeyRing, MembershipMachine, MembershipView, SwimConfig
from lemonhall.members.front_count import FrontCount
from lemonhall.members.machine import DATAGRAM_MOST
from lemonhall.members.members_pb2 import Message
from tests.members.network import KEY, Network, address_of

PERIOD = SwimConfig().period_ms
MANY = settings(max_examples=25, deadline=None, suppress_health_check=list(HealthCheck), derandomize=True)


def fleet(count: int, seed: int = 1) -> Network:
    """A network of fronts that agree."""
    net = Network(seed)
    for number in range(count):
        net.add(number, (0, 1))
    net.until_agreed(30 * PERIOD)
    return net


@pytest.mark.parametrize("count", [2, 5, 20, 60])
def test_fronts_find_one_another_by_their_seeds(count: int) -> None:
    net = fleet(count)
    assert net.largest <= DATAGRAM_MOST
    net.run(60 * PERIOD)
    assert net.agreed() and net.false_deaths() == 0


@pytest.mark.parametrize("count", [3, 12, 40])
def test_a_front_that_is_killed_is_seen_by_all_and_nobody_else_is(count: int) -> None:
    net = fleet(count)
    net.kill(count - 1)
    took = net.until_agreed(90 * PERIOD)
    assert took > 2 * PERIOD  # not on one lost answer
    assert net.false_deaths() == 0


def test_most_can_go_at_once_in_a_roll_and_come_back() -> None:
    net = fleet(32, seed=3)
    for number in range(2, 32):  # 94%
        net.post(number, net.nodes[number].machine.leave(net.now))
        net.run(300)
        net.kill(number)
        net.add(number, (0, 1))
        net.run(300)
    net.until_agreed(60 * PERIOD)
    assert not any(n.machine.duplicate_number for n in net.nodes.values())


def test_who_leaves_is_gone_at_once_without_suspicion() -> None:
    net = fleet(10)
    net.post(9, net.nodes[9].machine.leave(net.now))
    net.kill(9)
    assert net.until_agreed(10 * PERIOD) < 8 * PERIOD
    assert not any("declared_dead" in n.machine.counts for n in net.nodes.values())


def test_a_front_returns_with_a_new_incarnation() -> None:
    net = fleet(8)
    net.kill(7)
    net.until_agreed(90 * PERIOD)
    net.add(7, (0, 1))
    net.until_agreed(30 * PERIOD)
    assert net.nodes[0].machine.members[7].incarnation >= 2


def test_a_third_of_all_datagrams_lost_doubled_and_reordered() -> None:
    net = fleet(12, seed=5)
    net.loss, net.double, net.delay = 0.3, 0.2, (0.2, 60.0)
    net.run(120 * PERIOD)
    assert net.false_deaths() <= 4  # of 132 views; each is refuted in its turn
    net.loss = 0.0
    net.until_agreed(60 * PERIOD)


def test_loss_one_way_does_not_kill_whom_others_hear() -> None:
    net = fleet(12, seed=6)
    net.cut = lambda a, b: (a, b) == (3, 4)
    net.run(90 * PERIOD)
    assert net.agreed() and net.false_deaths() == 0


def test_a_cut_makes_two_fleets_and_its_end_makes_one() -> None:
    net = fleet(10, seed=7)
    net.cut = lambda a, b: (a < 3) != (b < 3)
    net.run(120 * PERIOD)
    small, large = net.nodes[1].machine.view(), net.nodes[5].machine.view()
    assert small.members == (0, 1, 2) and large.members == tuple(range(3, 10))
    net.cut = lambda a, b: False
    net.until_agreed(200 * PERIOD)


def test_who_is_cut_off_knows_that_it_may_be_itself() -> None:
    net = fleet(10, seed=8)
    net.cut = lambda a, b: (a == 9) != (b == 9)
    net.run(10 * PERIOD)
    assert net.nodes[9].machine.view().cut_off
    net.run(35 * PERIOD)
    assert net.nodes[9].machine.view().cut_off
    assert not net.nodes[4].machine.view().cut_off


def test_a_process_that_was_paused_does_not_judge_the_others() -> None:
    net = fleet(10, seed=9)
    net.nodes[4].paused_until = net.now + 60 * PERIOD
    net.run(59 * PERIOD)
    assert all(4 not in net.nodes[n].machine.view().members for n in range(10) if n != 4)
    net.run(3 * PERIOD)
    assert net.nodes[4].machine.counts.get("woke") and not net.nodes[4].machine.counts.get("declared_dead")
    net.until_agreed(60 * PERIOD)


def test_two_fronts_under_one_number_are_named() -> None:
    net = fleet(5)
    twin = net.add(4, (0, 1))  # while the first is still there: the network sends to the second alone
    other = MembershipMachine(4, address_of(4), 1234, [address_of(0)], SwimConfig(), Random(1))
    other.start(net.now)
    late = twin.machine.start(net.now)[0].data
    other.receive(net.now, address_of(4), late)
    assert not other.duplicate_number  # one late word may be of an earlier life
    other.receive(net.now + 6 * PERIOD, address_of(4), late)
    assert other.duplicate_number and other.counts["twin"] == 2


def test_nothing_that_comes_makes_a_machine_raise() -> None:
    machine = MembershipMachine(1, address_of(1), 7, [address_of(0)], SwimConfig(), Random(1))
    machine.start(0.0)
    draws = Random(2)
    for _ in range(3000):
        message = Message(kind=draws.randrange(9), sequence=draws.randrange(99), sender=draws.randrange(5))
        message.incarnation, message.boot = draws.randrange(1 << 32), draws.randrange(3)
        message.target = draws.randrange(6)
        for _ in range(draws.randrange(4)):
            update = message.updates.add()
            update.member, update.state = draws.randrange(6), draws.randrange(6)
            update.incarnation, update.boot = draws.randrange(1 << 32), draws.randrange(3)
            update.host, update.port = draws.randrange(1 << 32), draws.randrange(1 << 16)
        data = message.SerializeToString()
        if draws.random() < 0.2:
            data = data[: draws.randrange(len(data) + 1)] + draws.randbytes(3)
        machine.receive(draws.random() * 1e5, address_of(draws.randrange(5)), data)
        machine.tick(draws.random() * 1e5)
        assert 1 in machine.view().members


@MANY
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
def test_whatever_happens_all_agree_once_it_is_calm(
    count: int, happenings: list[tuple[str, int, int]], seed: int
) -> None:
    net = Network(seed)
    for number in range(count):
        net.add(number, (0, 1))
    highest: dict[tuple[int, int], int] = {}
    for what, number, long in happenings:
        number %= count
        node = net.nodes[number]
        if what == "kill" and len(net.up()) > 2 and number > 1:
            net.kill(number)
        elif what == "add" and not node.up:
            net.add(number, (0, 1))
        elif what == "leave" and node.up and number > 1:
            net.post(number, node.machine.leave(net.now))
            net.kill(number)
        elif what == "pause":
            node.paused_until = net.now + long * PERIOD
        elif what == "cut":
            net.cut = lambda a, b, n=number: (a == n) != (b == n)
        elif what == "loss":
            net.loss = long / 60
        net.run(long * PERIOD / 2)
        for n, each in net.nodes.items():  # a boot never goes back on its incarnation
            key = (n, each.machine.boot)
            assert each.machine.incarnation >= highest.get(key, 0)
            highest[key] = each.machine.incarnation
    net.loss, net.cut = 0.0, lambda a, b: False
    net.run(25 * PERIOD)  # all pauses are over
    net.until_agreed(400 * PERIOD)


# seals


def pair() -> tuple[KeyRing, KeyRing]:
    return KeyRing(KEY, 1), KeyRing(KEY, 2)


def test_a_datagram_is_opened_once() -> None:
    ours, theirs = pair()
    data = theirs.seal(b"hello")
    assert ours.open(data) == b"hello"
    with pytest.raises(DatagramError, match="came before"):
        ours.open(data)


def test_datagrams_may_come_out_of_order_within_a_window() -> None:
    ours, theirs = pair()
    sealed = [theirs.seal(bytes([n % 250])) for n in range(600)]
    order = list(range(300))
    Random(1).shuffle(order)
    for block in range(0, 600, 100):
        part = [n for n in order if n < 100]
        for n in part:
            assert ours.open(sealed[block + n]) == bytes([(block + n) % 250])
    with pytest.raises(DatagramError, match="too old"):
        KeyRing(KEY, 3).open(sealed[0]) and ours.open(sealed[0])


@pytest.mark.parametrize("at", [0, 1, 5, 12, 13, 20, -1])
def test_what_was_changed_is_not_opened(at: int) -> None:
    ours, theirs = pair()
    data = bytearray(theirs.seal(b"a message"))
    data[at] ^= 1
    with pytest.raises(DatagramError):
        ours.open(bytes(data))
    assert ours.open(theirs.seal(b"next")) == b"next"


def test_strangers_and_ourselves_are_not_heard() -> None:
    ours, _ = pair()
    with pytest.raises(DatagramError, match="another key"):
        ours.open(KeyRing({1: b"x" * 16}, 9).seal(b"poison"))
    with pytest.raises(DatagramError, match="not known"):
        ours.open(KeyRing({7: b"k" * 16}, 9).seal(b"poison"))
    with pytest.raises(DatagramError, match="our own"):
        ours.open(KeyRing(KEY, 1).seal(b"echo"))
    with pytest.raises(DatagramError, match="too short"):
        ours.open(b"short")


def test_a_replayed_network_changes_nothing() -> None:
    net = fleet(6)
    for target, data, _sender in list(net.captured):
        with pytest.raises(DatagramError):
            net.nodes[target].keys.open(data)
    net.kill(5)
    old = [c for c in net.captured if c[0] != 5]
    net.until_agreed(90 * PERIOD)
    for target, data, sender in old:
        net.deliver(target, data, sender)
    assert net.agreed()


def test_keys_are_rotated_without_a_gap() -> None:
    old, new = {1: b"a" * 16}, {2: b"b" * 16}
    first, second = KeyRing(old, 1), KeyRing(old, 2)
    steps = [{**old, **new}, {**new, **old}, new]  # know the new one, seal with it, forget the old one
    for step in steps:
        first.set_keys(step)
        assert second.open(first.seal(b"x")) == b"x" and first.open(second.seal(b"y")) == b"y"
        second.set_keys(step)
        assert second.open(first.seal(b"x")) == b"x" and first.open(second.seal(b"y")) == b"y"
    with pytest.raises(ValueError):
        first.set_keys({})
    with pytest.raises(ValueError):
        KeyRing({1: b"short"}, 1)


# what the module is told


def view(*members: int, cut_off: bool = False) -> MembershipView:
    return MembershipView(members, cut_off, 1)


def test_more_fronts_are_told_at_once_and_fewer_slowly() -> None:
    share = FrontCount(2, 3, 0.0)
    assert share.update(view(0, 1, 2), 0.0) is None
    assert share.update(view(*range(80)), 10.0) == (80, 2)
    few = view(1, 2, 3)
    assert share.update(few, 5000.0) == (80, 1)  # the rank is known, the fall waits
    times, counts = [], []
    for ms in range(0, 120_000, 500):
        if told := share.update(few, 5000.0 + ms):
            times.append(ms)
            counts.append(told[0])
    assert times[0] >= 5000 and counts == sorted(counts, reverse=True) and counts[-1] == 3
    assert all(b - a >= 1000 for a, b in zip(times, times[1:], strict=False))
    assert all(a - b <= max(1, a // 16) for a, b in zip([80, *counts], counts, strict=False))


def test_who_may_be_cut_off_does_not_take_more_for_itself() -> None:
    share = FrontCount(0, 40, 0.0)
    for ms in range(0, 300_000, 1000):
        assert share.update(view(0, 1, cut_off=True), float(ms)) is None
    assert share.reported == (40, 0)
