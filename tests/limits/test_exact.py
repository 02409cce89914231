"""Exact limits: whatever is lost, late, doubled, killed or frozen, never more than the limit can be used; and
each defence is seen to be needed."""

from __future__ import annotations

import pickle
from collections.abc import Callable
from typing import Any

import pytest

from lemonhall.limits import LimitSettings
from lemonhall.limits.escrow import Escrow, Peer
from lemonhall.limits.shares import LimitShare, Loan
from tests.limits.fleet import CLAIM, PERIOD, VIEW, Fleet, exact, plan, walk

MIXED = plan(exact(5), exact(2, "claims", cls=CLAIM), exact(1, "title", each_title=True))
CLOCKS = (1.0, 1.0004, 0.9996)
KEPT = plan(exact(6, longest_ms=5000.0))


@pytest.mark.parametrize("seeds", range(4))
def test_no_walk_leads_over_a_limit(seeds: int) -> None:
    lent = 0
    for seed in range(12 * seeds, 12 * seeds + 12):
        fleet = Fleet(MIXED if seed % 3 else KEPT, 3, seed, CLOCKS)
        fleet.run(4 * (seed % 2))
        walk(fleet, seed, 400)
        lent += sum(front.counts["lent"] for front in fleet.fronts)
    assert lent > 20


def fill(fleet: Fleet, number: int, count: int) -> None:
    """Asked for at one front until so many stand."""
    for _ in range(20 * count):
        if fleet.standing() >= count:
            return
        fleet.ask(number)
        fleet.run(0.2)
    raise AssertionError(f"{fleet.standing()} of {count} stand")


def state_of(fleet: Fleet) -> str:
    """What tells two worlds apart, but for the numbers of words."""
    told = []
    for n, front in enumerate(fleet.fronts):
        e = front.escrow
        rooms = [
            (k, r.parts.used, r.parts.need, sorted(r.parts.unreported), r.parts.own)
            + tuple(sorted((o, loan.amount, loan.open) for o, loan in r.parts.lent.items()))
            + tuple(sorted((-o, loan.amount, loan.open) for o, loan in r.parts.held.items()))
            for k, r in sorted(e.local_limits.items())
        ]
        peers = sorted((o, p.heard_at, p.asked, p.life) for o, p in e.peers.items())
        told.append((rooms, peers, len(fleet.stands[n]), sorted(e.pending_replies)))
    return repr((told, [(s, t) for s, t, _ in fleet.said], round(fleet.now, 3)))


def acts(fleet: Fleet) -> list[Callable[[Fleet], object]]:
    """All that can happen next: any front acts, any of the last words comes (again), a process starts anew,
    time goes on to just before and behind the end of a lease."""
    found: list[Callable[[Fleet], object]] = []
    for n in range(fleet.count):
        found += [lambda f, n=n: f.tick(n), lambda f, n=n: f.ask(n), lambda f, n=n: f.kill(n)]
        if fleet.stands[n]:
            found.append(lambda f, n=n: f.end(n))
    found += [lambda f, m=m: f.give(m) for m in range(max(0, len(fleet.said) - 3), len(fleet.said))]
    for ms in (PERIOD, 0.9985 * fleet.plan.lease_ms, 0.002 * fleet.plan.lease_ms + fleet.plan.deadline_ms):
        found.append(lambda f, ms=ms: setattr(f, "now", f.now + ms))
    return found


def prepared(lent: bool, slow: bool) -> Fleet:
    fleet = Fleet(plan(exact(2)), 3, 3, CLOCKS if slow else ())
    fleet.run(4)
    if lent:  # both units are wanted at one front, which owns one at most
        fill(fleet, 2, 2)
    fleet.said.clear()
    return fleet


def explore(fleet: Fleet, depth: int) -> int:
    """All orders of so many steps. How many worlds were seen."""
    seen, layer = set[str](), [fleet]
    for _ in range(depth):
        following = []
        for world in layer:
            kept = pickle.dumps(world)
            for act in acts(world):
                made = pickle.loads(kept)
                act(made)
                made.check()
                if (told := state_of(made)) not in seen:
                    seen.add(told)
                    following.append(made)
        layer = following
    return len(seen)


@pytest.mark.parametrize("slow", [False, True])
@pytest.mark.parametrize("lent", [False, True])
def test_every_order_of_a_few_steps_keeps_within_the_limit(lent: bool, slow: bool) -> None:
    assert explore(prepared(lent, slow), 4) > 1500


# flaws


def from_receipt(monkeypatch: pytest.MonkeyPatch) -> None:
    """A borrower counts its lease from when the answer came."""
    hear = Escrow.receive

    def flawed(self: Escrow, now: float, sender: int, data: bytes) -> None:
        stamp = self.peers[sender].stamp if sender in self.peers else 0
        hear(self, now, sender, data)
        if sender in self.peers and self.peers[sender].stamp != stamp and self.peers[sender].asked:
            self.peers[sender].asked = int(now * 1000)

    monkeypatch.setattr(Escrow, "receive", flawed)


def too_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """A lender takes back what the borrower may still use."""
    monkeypatch.setattr(LimitSettings, "back_ms", lambda self, limit: 0.5 * self.lease_ms)


def one_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clocks are thought to run alike."""
    monkeypatch.setattr("lemonhall.limits.settings.DRIFT", 0.0)
    monkeypatch.setattr(LimitSettings, "deadline_ms", 0.0)


def any_order(monkeypatch: pytest.MonkeyPatch) -> None:
    """Words count whenever they come."""
    hear = Escrow.receive

    def flawed(self: Escrow, now: float, sender: int, data: bytes) -> None:
        self.peers.setdefault(sender, Peer()).stamp = 0
        for key in self.links.get(sender, ()):
            if loan := self.local_limits[key].parts.held.get(sender):
                loan.seq = 0
        hear(self, now, sender, data)

    monkeypatch.setattr(Escrow, "receive", flawed)


def trusting(monkeypatch: pytest.MonkeyPatch) -> None:
    """One that remembers nothing uses its part at once."""
    init = Escrow.__init__

    def flawed(self: Escrow, *args: Any, **more: Any) -> None:
        init(self, *args, **more)
        self.unreported.clear()

    monkeypatch.setattr(Escrow, "__init__", flawed)


def lends_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is borrowed is lent on."""
    monkeypatch.setattr(LimitShare, "own_free", lambda self: max(0, self.free()))


def not_gone(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is granted counts as gone when the other has seen it."""

    def flawed(self: LimitShare, other: int, given: int) -> int:
        if given <= 0 or self.unreported:
            return 0
        loan = self.lent.setdefault(other, Loan())
        self.numbers[0] += 1
        loan.seq, loan.amount, loan.open = self.numbers[0], loan.amount + given, True
        return given

    monkeypatch.setattr(LimitShare, "grant", flawed)


def ends_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """What stands on a loan is thought to be over with the lease, though it may outlast it."""
    back = LimitSettings.back_ms
    monkeypatch.setattr(
        LimitSettings, "back_ms", lambda self, limit: back(self, limit) - limit.longest_ms * (1 + 0.001)
    )


FLAWS = (from_receipt, too_early, one_clock, any_order, trusting, lends_on, not_gone, ends_at_once)


@pytest.mark.parametrize("flaw", FLAWS, ids=lambda f: f.__name__)
def test_each_defence_is_missed(flaw: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    flaw(monkeypatch)
    with pytest.raises(AssertionError, match=r"could be used|stand"):
        to_the_end_of_a_lease()
        lent_on()
        for seed in range(60):
            fleet = Fleet(KEPT if flaw is ends_at_once else MIXED, 3, seed, CLOCKS)
            fleet.run(4 * (seed % 2))
            walk(fleet, seed, 400)
            fleet.run(3)
            fleet.check_standing()


def to_the_end_of_a_lease() -> None:
    """No word is lost until a link is cut: then the borrower's clock is the slower one."""
    fleet = Fleet(plan(exact(2)), 2, rates=(1 - 0.0005, 1 + 0.0004))
    fleet.run(4)
    fill(fleet, 0, 2)
    asked = fleet.fronts[0].escrow.peers[1].asked / 1000
    fleet.now += fleet.plan.lease_ms - (fleet.clock(0) - asked) - 2.0
    for _ in range(20_000):
        if not fleet.fronts[1].escrow.links:
            break
        fleet.now += 0.1
        fleet.fronts[1].expire_leases(fleet.clock(1))
        fleet.check()
    assert not fleet.fronts[1].escrow.links


def lent_on() -> None:
    """0 borrows of 1, 2 asks 0 for it, and 1 is cut off from 0."""
    fleet = Fleet(plan(exact(6)), 3)
    fleet.run(4)
    while fleet.fronts[0].escrow.local_limits.get((fleet.plan.limits[0].ident, 0)) is None or (
        fleet.standing() < 4
    ):
        fleet.ask(0)
        fleet.run(0.2, cut=frozenset({frozenset((0, 2))}))
    for _ in range(4):
        fleet.end(0)
    for _ in range(100):
        fleet.ask(2)
        fleet.ask(1)
        fleet.run(0.4, cut=frozenset({frozenset((0, 1)), frozenset((1, 2))}))
        fleet.check()


def test_a_lease_ends_first_where_it_was_borrowed_and_is_not_lent_on() -> None:
    to_the_end_of_a_lease()
    lent_on()


# what it is for


def test_a_surge_at_one_of_many_fronts_finds_the_room_of_all() -> None:
    fleet = Fleet(plan(exact(400)), 24)
    fleet.run(4)
    began = fleet.now
    while fleet.standing() < 360:
        for _ in range(9):
            fleet.ask(0)
        fleet.run(0.2)
        assert fleet.now - began < 2000  # of 24 fronts one gets 450 a second
    for ask in list(fleet.stands[0]):
        fleet.end(0, ask)
    began = fleet.now
    while fleet.standing() < 360:  # then another
        for _ in range(9):
            fleet.ask(7)
        fleet.run(0.2)
        fleet.check()
        assert fleet.now - began < 2000


def test_what_is_not_wanted_any_more_goes_back() -> None:
    fleet = Fleet(plan(exact(48)), 6)
    fleet.run(4)
    fill(fleet, 1, 40)
    for ask in list(fleet.stands[1]):
        fleet.end(1, ask)
    fleet.run(30)
    for front in fleet.fronts:
        assert front.status(fleet.clock(front.escrow.number))["limits"][0]["held"] == 8
        assert not front.escrow.links and not front.escrow.local_limits  # and nothing of it is remembered


def test_a_limit_of_one_is_held_by_one_and_found_by_all() -> None:
    fleet = Fleet(plan(exact(1)), 24)
    fleet.run(4)
    for number in (3, 17, 0, 11):
        for _ in range(20):
            fleet.ask(number)
            fleet.run(0.2)
            fleet.check()
        assert [len(s) for s in fleet.stands] == [n == number for n in range(24)]
        fleet.end(number)


def test_seats_of_ten_thousand_titles_cost_what_is_used() -> None:
    fleet = Fleet(plan(exact(2, each_title=True)), 8)
    fleet.run(4)
    for n in range(10_000):
        fleet.ask(n % 8, title=f"/t/{n}")
        if n % 500 == 0:
            fleet.run(0.2)
        while len(fleet.stands[n % 8]) > 20:
            fleet.end(n % 8)
    fleet.run(60)
    assert sum(len(f.escrow.local_limits) for f in fleet.fronts) <= 2 * fleet.standing() + 8
    fleet.run(0.2)
    fleet.tick(0)
    assert all(len(data) <= 1200 for _, _, data in fleet.said)
    fleet.check()


def test_one_within_another_takes_all_or_nothing() -> None:
    within = plan(exact(6, "a-all"), exact(3, "b-partner", partner=0), exact(2, "c-claims", cls=CLAIM))
    fleet = Fleet(within, 3)
    fleet.run(4)
    for _ in range(40):
        for number in range(3):
            fleet.ask(number, cls=CLAIM)
            fleet.ask(number, cls=VIEW, partner=1)
        fleet.run(0.4)
        fleet.check()
    fleet.check_standing()
    assert fleet.standing() == 6  # two claims of partner 0, the rest of partner 1
    used = {m["limit"]: 0 for m in fleet.fronts[0].status(fleet.clock(0))["limits"]}
    for n, front in enumerate(fleet.fronts):
        for told in front.status(fleet.clock(n))["limits"]:
            used[told["limit"]] += told["used"]
    assert used == {"a-all": 6, "b-partner": 2, "c-claims": 2}


# leases


def borrowed(longest_ms: float = 0.0, fronts: int = 3) -> Fleet:
    """All room stands at front 0."""
    fleet = Fleet(plan(exact(6, longest_ms=longest_ms)), fronts, rates=CLOCKS[:fronts])
    fleet.run(4)
    fill(fleet, 0, 6)
    return fleet


def test_one_that_is_cut_off_ends_what_it_borrowed_in_time() -> None:
    fleet = borrowed()
    cut = frozenset(frozenset((0, n)) for n in (1, 2))
    began, taken = fleet.now, 0.0
    for _ in range(400):
        if taken:
            break
        for number in (1, 2):
            taken = taken or (fleet.ask(number) and fleet.now)
        fleet.run(0.2, cut=cut)
        fleet.check()
        fleet.check_standing()
    assert len(fleet.stands[0]) == 2  # its own part
    limit = fleet.plan.limits[0]
    assert taken - began <= 1.01 * fleet.plan.back_ms(limit) + 2 * PERIOD


def test_what_may_outlast_the_loan_plays_on_and_is_counted() -> None:
    fleet = borrowed(longest_ms=3000.0)
    cut = frozenset(frozenset((0, n)) for n in (1, 2))
    fleet.run(20, cut=cut)
    assert len(fleet.stands[0]) == 6 and not fleet.ask(1)
    fleet.end(0)
    assert not fleet.ask(0)  # nothing new on a loan that has run out
    fleet.run(30, cut=cut)
    assert len(fleet.stands[0]) == 2
    fleet.run(10, cut=cut)
    assert fleet.ask(1) and fleet.ask(2)
    fleet.check_standing()


def test_one_that_froze_sends_nothing_on_a_lease_that_has_ended() -> None:
    fleet = borrowed()
    for _ in range(3):
        fleet.end(0)
    front, clock = fleet.fronts[0], fleet.clock(0)
    fleet.asks += 1
    assert not front.admit(clock, fleet.asks, 0, VIEW, "/a").refused_by  # let in, not yet sent
    fleet.frozen.add(0)
    fleet.run(40)
    assert not front.may_start_set_up(fleet.clock(0), fleet.asks)  # it wakes just before the action
    assert front.counts["lapsed_before_set_up"] == 1


def test_a_borrower_that_is_killed_gives_back_at_once_when_it_speaks() -> None:
    fleet = borrowed()
    fleet.kill(0)
    fleet.run(3)
    assert sum(fleet.ask(n) for n in (1, 1, 2, 2)) == 4


def test_a_lender_that_is_killed_counts_what_it_lent() -> None:
    fleet = borrowed()
    fleet.kill(1)
    assert not fleet.ask(1)
    fleet.run(6)
    assert len(fleet.stands[0]) == 6 and not fleet.ask(1)
    fleet.end(0)
    fleet.end(0)
    for _ in range(4):
        fleet.ask(1)
        fleet.run(1)
    assert len(fleet.stands[1]) == 2
    fleet.check_standing()


def test_a_process_in_its_place_goes_on_with_its_loans() -> None:
    fleet = borrowed()
    old = fleet.fronts[0]
    made = fleet.born(0)
    made.restore_state(fleet.clock(0), old.escrow.handover_state())
    fleet.fronts[0] = made
    assert not fleet.ask(0)  # what stands counts before it has been told
    for ask in fleet.stands[0]:
        made.restore_session(fleet.clock(0), ask, 0, VIEW, "/a", 0)
    fleet.run(40)
    assert len(fleet.stands[0]) == 6
    fleet.check()
    fleet.check_standing()


def test_one_that_carries_sessions_over_and_remembers_nothing_ends_what_is_not_its_own() -> None:
    fleet = borrowed()
    made = fleet.born(0)
    made.escrow.fresh = False
    for ask in fleet.stands[0]:
        made.restore_session(fleet.clock(0), ask, 0, VIEW, "/a", 0)
    fleet.fronts[0] = made
    for _ in range(25):
        fleet.run(1)
        for number in (1, 2):
            fleet.ask(number)
        fleet.check_standing()
    assert len(fleet.stands[0]) == 2 and fleet.standing() == 6


# settings


def test_a_limit_made_smaller_than_what_stands_lets_in_none_until_it_fits() -> None:
    fleet = borrowed()
    less = plan(exact(3))
    for front in fleet.fronts:
        front.apply_settings(less)
    fleet.run(3)
    assert fleet.standing() == 6 and not any(fleet.ask(n) for n in range(3))
    for _ in range(4):
        fleet.end(0)
    for _ in range(6):
        fleet.ask(1)
        fleet.run(1)
    assert fleet.standing() == 3


def test_of_two_amounts_in_one_fleet_the_smaller_holds_until_all_have_the_new_one() -> None:
    fleet = Fleet(plan(exact(3)), 3)
    fleet.run(4)
    more = plan(exact(30))
    fleet.fronts[0].apply_settings(more)
    fleet.fronts[1].apply_settings(more)
    for _ in range(10):
        for number in range(3):
            fleet.ask(number)
        fleet.run(1)
    assert fleet.standing() == 3
    assert fleet.fronts[0].status(fleet.clock(0))["limits"][0]["goes_by"] == 3
    fleet.fronts[2].apply_settings(more)
    fleet.plan = more
    for _ in range(40):
        for number in range(3):
            fleet.ask(number)
        fleet.run(1)
    assert fleet.standing() == 30


def test_a_front_that_is_gone_for_good_leaves_its_part_to_the_others() -> None:
    fleet = borrowed()
    cut = frozenset(frozenset((0, n)) for n in (1, 2))
    assert "speaks" in fleet.fronts[1].escrow.forget(fleet.clock(1), 0)
    fleet.frozen.add(0)
    fleet.stands[0].clear()  # killed
    for number in (1, 2):
        fleet.fronts[number].escrow.members = (1, 2)
    fleet.run(25)
    for _ in range(20):
        fleet.ask(1)
        fleet.run(0.4)
    assert fleet.standing() == 4
    assert fleet.fronts[1].escrow.forget(fleet.clock(1), 0) == ""
    fleet.run(6)
    assert fleet.fronts[2].escrow.forgotten == {0}  # the word goes round
    for _ in range(20):
        fleet.ask(1)
        fleet.run(0.4)
    assert fleet.standing() == 6
    fleet.frozen.clear()
    fleet.fronts[0] = fleet.born(0)  # it is there after all
    for number in (1, 2):
        fleet.fronts[number].escrow.members = (0, 1, 2)
    for _ in range(20):
        fleet.ask(0)
        fleet.run(0.4)
        fleet.check_standing()
    for _ in range(6):
        fleet.end(1)
    fleet.run(10)
    assert not fleet.fronts[1].escrow.forgotten and fleet.ask(0)
    assert cut


def test_words_that_cannot_be_read_or_lie_cost_what_was_lent_at_most() -> None:
    fleet = borrowed()
    front = fleet.fronts[1]
    for data in (b"\xff\xff", b"", bytes(1200), b"\x09" + b"\x01" * 40):
        front.hear(fleet.clock(1), 0, data)
    front.hear(fleet.clock(1), 99, b"")
    assert front.counts["unreadable"] + front.counts["no_such_front"] >= 2
    fleet.check()


# many fronts, and what should not happen


@pytest.mark.parametrize("groups", [2, 3])
def test_24_fronts_in_parts_keep_within_the_limit_and_use_what_they_hold(groups: int) -> None:
    fleet = Fleet(plan(exact(72, longest_ms=60_000.0)), 24)
    fleet.run(4)
    cut = frozenset(frozenset((a, b)) for a in range(24) for b in range(a) if a % groups != b % groups)
    random = fleet.random
    for turn in range(60):
        for number in (0, 1, 2):  # of each group one gets the demand
            for _ in range(4):
                fleet.ask(number)
            if random.random() < 0.5:
                fleet.end(number)
        if turn == 30:
            fleet.kill(5)
        fleet.run(0.4, loss=0.3, cut=cut)
        fleet.check()
        fleet.check_standing()
    assert fleet.standing() >= 60  # what each group holds is found within it
    fleet.run(4)
    fleet.check()


def test_all_killed_at_once_use_their_parts_when_all_have_spoken() -> None:
    fleet = borrowed()
    for number in range(3):
        fleet.kill(number)
    assert not any(fleet.ask(number) for number in range(3))
    fleet.run(2)
    assert all(fleet.ask(number) for number in range(3))
    fleet.check()


def test_a_clock_set_back_begins_a_later_life_all_the_same() -> None:
    fleet = borrowed()
    fleet.kill(0)
    fleet.fronts[0].escrow.life = 0  # its wall clock is an hour back
    fleet.run(4)
    assert fleet.fronts[0].escrow.life > 1 and not fleet.fronts[0].escrow.unreported
    assert fleet.ask(0)
    fleet.check()


def test_of_two_fronts_with_one_number_neither_uses_the_part() -> None:
    fleet = Fleet(plan(exact(6)), 3)
    fleet.run(4)
    fleet.fronts[0].escrow.twin = True
    fleet.fronts[0].escrow.agree()
    assert not fleet.ask(0)
    assert fleet.ask(1)
    fleet.run(2)
    fleet.check()
