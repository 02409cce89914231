"""Parts of one limit: whatever messages are lost, doubled or late, and whoever starts anew, their sum stays
within it, and nothing is lost for good."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from lemonhall.limits.shares import MILLION, LimitShare, Loan, equal_share
from lemonhall.zones import FailoverTiming, Tier, ZoneFailover, ZoneSettings
from tests.zones.fixtures import PLAN, server

FRONTS = 3
NUMBERS = st.integers(0, FRONTS - 1)


class Fleet:
    """Fronts with a network that keeps every word ever said, and gives it out again when it likes."""

    def __init__(self, remember: list[bool], plan: ZoneSettings = PLAN) -> None:
        self.plan, self.remember, self.now = plan, remember, 0.0
        self.disks = [b""] * len(remember)
        self.said: list[tuple[int, int, bytes]] = []
        self.life = 0
        self.fronts = [self.born(n, True) for n in range(len(remember))]
        self.asks = 0

    def born(self, number: int, first: bool) -> ZoneFailover:
        self.life += 1
        keeps = self.remember[number]
        made = ZoneFailover(
            self.plan,
            number,
            len(self.remember),
            0,
            self.life,
            Random(self.life),
            self.now,
            state_complete=keeps or first,
            saved_state=self.disks[number],
        )
        made.members = tuple(range(len(self.remember)))
        lines = [server(n, zone=n % 3, cell=n % 6) for n in range(12) if n % 3]
        made.on_list(self.now, lines, True)  # hall 0 is not there: sessions spill
        return made

    def say(self, number: int) -> None:
        front = self.fronts[number]
        self.now += front.message_period_ms()
        outs = front.tick(self.now)
        if front.dirty:
            kept = front.serialize()
            if self.remember[number]:
                self.disks[number] = kept
        self.said += [(number, out.to, out.data) for out in outs]

    def give(self, place: int) -> None:
        sender, to, data = self.said[place]
        self.fronts[to].receive(self.now, sender, data)

    def ask(self, number: int) -> None:
        self.asks += 1
        self.fronts[number].choose_zones(self.now, self.asks, 0)

    def end(self, number: int) -> None:
        front = self.fronts[number]
        if front.sessions:
            front.release(self.now, min(front.sessions))

    def kill(self, number: int) -> None:
        self.fronts[number] = self.born(number, False)

    def check(self) -> None:
        for n in range(len(self.plan.limits)):
            used = sum(front.parts[n].used for front in self.fronts)
            mine = sum(max(0, front.parts[n].mine()) for front in self.fronts)
            assert used <= MILLION, f"limit {n}: {used} used"
            assert mine <= MILLION, f"limit {n}: parts add up to {mine}"


class Lossy(RuleBasedStateMachine):
    """Words are given in any order, any number of times, or never."""

    @initialize(remember=st.lists(st.booleans(), min_size=FRONTS, max_size=FRONTS))
    def begin(self, remember: list[bool]) -> None:
        self.fleet = Fleet(remember)

    @rule(number=NUMBERS)
    def say(self, number: int) -> None:
        self.fleet.say(number)

    @precondition(lambda self: self.fleet.said)
    @rule(draw=st.floats(0, 1, exclude_max=True), late=st.booleans())
    def give(self, draw: float, late: bool) -> None:
        said = self.fleet.said
        first = 0 if late else max(0, len(said) - 4)
        self.fleet.give(first + int(draw * (len(said) - first)))

    @rule(number=NUMBERS, count=st.integers(1, 40))
    def ask(self, number: int, count: int) -> None:
        for _ in range(count):
            self.fleet.ask(number)

    @rule(number=NUMBERS, count=st.integers(1, 40))
    def end(self, number: int, count: int) -> None:
        for _ in range(count):
            self.fleet.end(number)

    @rule(number=NUMBERS)
    def kill(self, number: int) -> None:
        self.fleet.kill(number)

    @rule()
    def rest(self) -> None:
        self.fleet.now += 10 * PLAN.spilling.notice_ms

    @invariant()
    def sums(self) -> None:
        if hasattr(self, "fleet"):
            self.fleet.check()


LOSSY = settings(
    max_examples=60, stateful_step_count=60, deadline=None, suppress_health_check=list(HealthCheck)
)
TestLossy = Lossy.TestCase
TestLossy.settings = LOSSY


def walk(fleet: Fleet, seed: int, steps: int) -> None:
    """The same steps drawn from a seed, for flaws that must be found each time."""
    random = Random(seed)
    for _ in range(steps):
        number, what = random.randrange(len(fleet.fronts)), random.random()
        if what < 0.4:
            fleet.say(number)
        elif what < 0.75 and fleet.said:
            fleet.give(random.randrange(len(fleet.said)))
        elif what < 0.9:
            for _ in range(random.randrange(1, 60)):
                fleet.ask(number)
        elif what < 0.97:
            fleet.end(number)
        else:
            fleet.kill(number)
        fleet.check()


def test_long_walks_keep_within_the_limits() -> None:
    lent = 0
    for seed in range(12):
        fleet = Fleet([seed % 2 > 0, seed % 3 > 0, True])
        walk(fleet, seed, 400)
        lent += sum(loan.seq for f in fleet.fronts for p in f.parts for loan in p.lent.values())
    assert lent > 100  # parts have moved


def no_number(self: LimitShare, other: int, seq: int, amount: int) -> None:
    loan = self.held.setdefault(other, Loan())
    self.held_sum += amount - loan.amount
    loan.seq, loan.amount = seq, amount


def any_number(self: LimitShare, other: int, seq: int, amount: int) -> None:
    loan = self.lent.setdefault(other, Loan())
    self.unreported.discard(other)
    if amount < loan.amount:
        self.set_lent(other, loan, loan.seq, amount)


def not_gone(self: LimitShare, other: int, asked: int) -> int:
    given = min(asked, self.own_free() // 2)
    loan = self.lent.setdefault(other, Loan())
    self.set_lent(other, loan, loan.seq, given)
    return given


def trusting(self: LimitShare, own: int, unheard: set[int], numbers: list[int] | None = None) -> None:
    INIT(self, own, set(), numbers)


INIT = LimitShare.__init__
FLAWS = {
    "a grant counts whenever it comes": ("granted", no_number),
    "a holding counts whenever it is told": ("returned", any_number),
    "what was lent before is forgotten with a new grant": ("lend", not_gone),
    "one that remembers nothing uses all of its part": ("__init__", trusting),
}


@pytest.mark.parametrize("flaw", FLAWS)
def test_each_defence_is_missed(flaw: str, monkeypatch: pytest.MonkeyPatch) -> None:
    name, flawed = FLAWS[flaw]
    monkeypatch.setattr(LimitShare, name, flawed)
    with pytest.raises(AssertionError, match="limit"):
        for seed in range(60):
            walk(Fleet([seed % 2 > 0, seed % 3 > 0, seed % 5 > 0]), seed, 400)


def settle(fleet: Fleet, rounds: int) -> None:
    """Every word comes, once and in order."""
    for _ in range(rounds):
        for number in range(len(fleet.fronts)):
            before = len(fleet.said)
            fleet.say(number)
            for place in range(before, len(fleet.said)):
                fleet.give(place)


def test_a_part_goes_to_where_it_is_needed_and_comes_back() -> None:
    fleet = Fleet([True] * 6)
    per_front = sum(fleet.fronts[n].counts["spilled"] for n in range(6))
    assert per_front == 0
    for _ in range(60):
        for _ in range(8):
            fleet.ask(0)
        settle(fleet, 1)
        fleet.check()
    alone = fleet.fronts[0].parts[0]
    assert alone.used > 3 * equal_share(0, 6)  # far more than its own part
    for ask in list(fleet.fronts[0].sessions):
        fleet.fronts[0].release(fleet.now, ask)
    fleet.now += 10 * PLAN.spilling.notice_ms
    settle(fleet, 12)
    for front in fleet.fronts:
        assert front.parts[0].mine() == equal_share(front.number, 6)
        assert all(loan.amount == 0 for loan in front.parts[0].lent.values())


def test_one_that_remembers_nothing_uses_its_part_when_all_have_spoken() -> None:
    fleet = Fleet([False, True, True])
    settle(fleet, 4)
    fleet.kill(0)
    assert fleet.fronts[0].parts[0].mine() == 0
    settle(fleet, 6)
    assert fleet.fronts[0].parts[0].mine() == equal_share(0, 3)


def test_fronts_of_another_plan_share_nothing() -> None:
    fleet = Fleet([True, True])
    other = replace(PLAN, tiers=(Tier(0, 1, 0.5),), spilling=FailoverTiming())
    fleet.fronts[1] = ZoneFailover(other, 1, 2, 0, 99, Random(1), 0.0)
    fleet.fronts[1].members = (0, 1)
    fleet.ask(0)
    settle(fleet, 4)
    assert fleet.fronts[1].counts["other_plan"] > 0 and fleet.fronts[1].parts[0].mine() == equal_share(1, 2)


@pytest.mark.parametrize("fronts", [1, 3, 7, 200, 1000])
def test_own_parts_add_up(fronts: int) -> None:
    assert sum(equal_share(n, fronts) for n in range(fronts)) == MILLION
