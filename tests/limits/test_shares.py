"""Shares of one limit, without leases: their sum stays within the limit and no unit is lost permanently,
whatever messages are lost, duplicated or late and whichever fronts restart."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from lemonhall.limits.shares import MILLIONTHS, LimitShare, Loan, equal_share
from lemonhall.zones import FailoverTiming, Tier, ZoneFailover, ZoneSettings
from tests.zones.fixtures import ZONE_SETTINGS, server

FRONTS = 3
NUMBERS = st.integers(0, FRONTS - 1)


class Fleet:
    """Fronts with a network that keeps every message and can deliver each again at any time."""

    def __init__(self, stores: list[bool], zone_settings: ZoneSettings = ZONE_SETTINGS) -> None:
        self.zone_settings, self.stores, self.now = zone_settings, stores, 0.0
        self.disks = [b""] * len(stores)
        self.sent: list[tuple[int, int, bytes]] = []  # sender, recipient, data
        self.incarnation = 0
        self.fronts = [self.start_front(n, True) for n in range(len(stores))]
        self.requests = 0

    def start_front(self, number: int, first: bool) -> ZoneFailover:
        self.incarnation += 1
        has_store = self.stores[number]
        front = ZoneFailover(
            self.zone_settings,
            number,
            len(self.stores),
            0,
            self.incarnation,
            Random(self.incarnation),
            self.now,
            state_complete=has_store or first,
            saved_state=self.disks[number],
        )
        front.members = tuple(range(len(self.stores)))
        servers = [server(n, zone=n % 3, cell=n % 6) for n in range(12) if n % 3]
        front.on_list(self.now, servers, True)  # zone 0 is lost, so sessions spill over
        return front

    def send(self, number: int) -> None:
        front = self.fronts[number]
        self.now += front.message_period_ms()
        messages = front.tick(self.now)
        if front.dirty:
            saved = front.serialize()
            if self.stores[number]:
                self.disks[number] = saved
        self.sent += [(number, message.to, message.data) for message in messages]

    def deliver(self, place: int) -> None:
        sender, to, data = self.sent[place]
        self.fronts[to].receive(self.now, sender, data)

    def request(self, number: int) -> None:
        self.requests += 1
        self.fronts[number].choose_zones(self.now, self.requests, 0)

    def end(self, number: int) -> None:
        front = self.fronts[number]
        if front.sessions:
            front.release(self.now, min(front.sessions))

    def restart(self, number: int) -> None:
        self.fronts[number] = self.start_front(number, False)

    def check(self) -> None:
        for n in range(len(self.zone_settings.limits)):
            used = sum(front.shares[n].used for front in self.fronts)
            capacity = sum(max(0, front.shares[n].capacity()) for front in self.fronts)
            assert used <= MILLIONTHS, f"limit {n}: {used} used"
            assert capacity <= MILLIONTHS, f"limit {n}: shares add up to {capacity}"


class LossyNetwork(RuleBasedStateMachine):
    """Messages are delivered in any order, any number of times, or never."""

    @initialize(stores=st.lists(st.booleans(), min_size=FRONTS, max_size=FRONTS))
    def start(self, stores: list[bool]) -> None:
        self.fleet = Fleet(stores)

    @rule(number=NUMBERS)
    def send(self, number: int) -> None:
        self.fleet.send(number)

    @precondition(lambda self: self.fleet.sent)
    @rule(draw=st.floats(0, 1, exclude_max=True), late=st.booleans())
    def deliver(self, draw: float, late: bool) -> None:
        sent = self.fleet.sent
        first = 0 if late else max(0, len(sent) - 4)
        self.fleet.deliver(first + int(draw * (len(sent) - first)))

    @rule(number=NUMBERS, count=st.integers(1, 40))
    def request(self, number: int, count: int) -> None:
        for _ in range(count):
            self.fleet.request(number)

    @rule(number=NUMBERS, count=st.integers(1, 40))
    def end(self, number: int, count: int) -> None:
        for _ in range(count):
            self.fleet.end(number)

    @rule(number=NUMBERS)
    def restart(self, number: int) -> None:
        self.fleet.restart(number)

    @rule()
    def wait(self) -> None:
        self.fleet.now += 10 * ZONE_SETTINGS.timing.notice_ms

    @invariant()
    def sums(self) -> None:
        if hasattr(self, "fleet"):
            self.fleet.check()


LOSSY = settings(
    max_examples=60, stateful_step_count=60, deadline=None, suppress_health_check=list(HealthCheck)
)
TestLossyNetwork = LossyNetwork.TestCase
TestLossyNetwork.settings = LOSSY


def random_walk(fleet: Fleet, seed: int, steps: int) -> None:
    """Steps like those of `LossyNetwork`, drawn from a seed, so that each run finds the same flaws."""
    random = Random(seed)
    for _ in range(steps):
        number, draw = random.randrange(len(fleet.fronts)), random.random()
        if draw < 0.4:
            fleet.send(number)
        elif draw < 0.75 and fleet.sent:
            fleet.deliver(random.randrange(len(fleet.sent)))
        elif draw < 0.9:
            for _ in range(random.randrange(1, 60)):
                fleet.request(number)
        elif draw < 0.97:
            fleet.end(number)
        else:
            fleet.restart(number)
        fleet.check()


def test_long_random_walks_stay_within_the_limits() -> None:
    grants = 0
    for seed in range(12):
        fleet = Fleet([seed % 2 > 0, seed % 3 > 0, True])
        random_walk(fleet, seed, 400)
        grants += sum(loan.seq for f in fleet.fronts for s in f.shares for loan in s.lent.values())
    assert grants > 100  # units have moved


def grant_without_sequence(self: LimitShare, other: int, seq: int, amount: int) -> None:
    loan = self.borrowed.setdefault(other, Loan())
    self.borrowed_total += amount - loan.amount
    loan.seq, loan.amount = seq, amount


def holding_without_sequence(self: LimitShare, other: int, seq: int, amount: int) -> None:
    loan = self.lent.setdefault(other, Loan())
    self.unreported.discard(other)
    if amount < loan.amount:
        self.record_grant(other, loan, loan.seq, amount)


def grant_replaces_loan(self: LimitShare, other: int, requested: int) -> int:
    units = min(requested, self.free_own_units() // 2)
    loan = self.lent.setdefault(other, Loan())
    self.record_grant(other, loan, loan.seq, units)
    return units


def no_restart_wait(
    self: LimitShare, own: int, unreported: set[int], grant_counter: list[int] | None = None
) -> None:
    INIT(self, own, set(), grant_counter)


INIT = LimitShare.__init__
FLAWS = {
    "late grants count": ("on_grant", grant_without_sequence),
    "late holdings count": ("on_holding", holding_without_sequence),
    "a new grant replaces the earlier loan": ("lend", grant_replaces_loan),
    "a front without state uses its whole share": ("__init__", no_restart_wait),
}


@pytest.mark.parametrize("flaw", FLAWS)
def test_each_safeguard_is_needed(flaw: str, monkeypatch: pytest.MonkeyPatch) -> None:
    name, flawed = FLAWS[flaw]
    monkeypatch.setattr(LimitShare, name, flawed)
    with pytest.raises(AssertionError, match="limit"):
        for seed in range(60):
            random_walk(Fleet([seed % 2 > 0, seed % 3 > 0, seed % 5 > 0]), seed, 400)


def exchange_messages(fleet: Fleet, rounds: int) -> None:
    """Delivers every message once and in order."""
    for _ in range(rounds):
        for number in range(len(fleet.fronts)):
            before = len(fleet.sent)
            fleet.send(number)
            for place in range(before, len(fleet.sent)):
                fleet.deliver(place)


def test_units_move_to_the_demand_and_return() -> None:
    fleet = Fleet([True] * 6)
    spilled = sum(fleet.fronts[n].counts["spilled"] for n in range(6))
    assert spilled == 0
    for _ in range(60):
        for _ in range(8):
            fleet.request(0)
        exchange_messages(fleet, 1)
        fleet.check()
    busy = fleet.fronts[0].shares[0]
    assert busy.used > 3 * equal_share(0, 6)  # far more than its own share
    for request_id in list(fleet.fronts[0].sessions):
        fleet.fronts[0].release(fleet.now, request_id)
    fleet.now += 10 * ZONE_SETTINGS.timing.notice_ms
    exchange_messages(fleet, 12)
    for front in fleet.fronts:
        assert front.shares[0].capacity() == equal_share(front.number, 6)
        assert all(loan.amount == 0 for loan in front.shares[0].lent.values())


def test_a_front_without_state_uses_its_share_when_all_others_have_reported() -> None:
    fleet = Fleet([False, True, True])
    exchange_messages(fleet, 4)
    fleet.restart(0)
    assert fleet.fronts[0].shares[0].capacity() == 0
    exchange_messages(fleet, 6)
    assert fleet.fronts[0].shares[0].capacity() == equal_share(0, 3)


def test_fronts_with_different_settings_lend_each_other_nothing() -> None:
    fleet = Fleet([True, True])
    other = replace(ZONE_SETTINGS, tiers=(Tier(0, 1, 0.5),), timing=FailoverTiming())
    fleet.fronts[1] = ZoneFailover(other, 1, 2, 0, 99, Random(1), 0.0)
    fleet.fronts[1].members = (0, 1)
    fleet.request(0)
    exchange_messages(fleet, 4)
    assert fleet.fronts[1].counts["other_plan"] > 0 and fleet.fronts[1].shares[0].capacity() == equal_share(
        1, 2
    )


@pytest.mark.parametrize("fronts", [1, 3, 7, 200, 1000])
def test_equal_shares_add_up_to_the_whole(fronts: int) -> None:
    assert sum(equal_share(n, fronts) for n in range(fronts)) == MILLIONTHS
