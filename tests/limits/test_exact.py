"""Exact limits: never more units than the limit are usable, whatever messages are lost, late or duplicated
and whichever fronts are killed or paused; and removing any single safeguard makes a test fail."""

from __future__ import annotations

import pickle
from collections.abc import Callable
from typing import Any

import pytest

from lemonhall.limits import LimitSettings
from lemonhall.limits.escrow import Escrow, Peer
from lemonhall.limits.shares import LimitShare, Loan
from tests.limits.fleet import CLAIM, PERIOD, VIEW, Fleet, exact_limit, random_walk, settings_of

MIXED = settings_of(
    exact_limit(5), exact_limit(2, "claims", cls=CLAIM), exact_limit(1, "title", each_title=True)
)
CLOCK_RATES = (1.0, 1.0004, 0.9996)
WITH_GRACE = settings_of(exact_limit(6, session_grace_ms=5000.0))


@pytest.mark.parametrize("seeds", range(4))
def test_random_walks_never_exceed_a_limit(seeds: int) -> None:
    lent = 0
    for seed in range(12 * seeds, 12 * seeds + 12):
        fleet = Fleet(MIXED if seed % 3 else WITH_GRACE, 3, seed, CLOCK_RATES)
        fleet.run(4 * (seed % 2))
        random_walk(fleet, seed, 400)
        lent += sum(front.counts["lent"] for front in fleet.fronts)
    assert lent > 20


def fill(fleet: Fleet, number: int, count: int) -> None:
    """Requests sessions at one front until so many play."""
    for _ in range(20 * count):
        if fleet.playing_count() >= count:
            return
        fleet.request(number)
        fleet.run(0.2)
    raise AssertionError(f"{fleet.playing_count()} of {count} play")


def fingerprint(fleet: Fleet) -> str:
    """The state of a fleet without the sequence numbers of its messages."""
    parts = []
    for n, front in enumerate(fleet.fronts):
        e = front.escrow
        local_limits = [
            (k, s.share.used, s.share.need, sorted(s.share.unreported), s.share.own)
            + tuple(sorted((o, loan.amount, loan.unacknowledged) for o, loan in s.share.lent.items()))
            + tuple(sorted((-o, loan.amount, loan.unacknowledged) for o, loan in s.share.borrowed.items()))
            for k, s in sorted(e.local_limits.items())
        ]
        peers = sorted((o, p.received_at, p.echoed, p.incarnation) for o, p in e.peers.items())
        parts.append((local_limits, peers, len(fleet.playing[n]), sorted(e.pending_replies)))
    return repr((parts, [(s, t) for s, t, _ in fleet.sent], round(fleet.now, 3)))


def next_steps(fleet: Fleet) -> list[Callable[[Fleet], object]]:
    """All possible next steps: any front acts, any of the last messages arrives (again), a front restarts, or
    time advances to just before or after the expiry of a lease."""
    found: list[Callable[[Fleet], object]] = []
    for n in range(fleet.count):
        found += [lambda f, n=n: f.tick(n), lambda f, n=n: f.request(n), lambda f, n=n: f.restart(n)]
        if fleet.playing[n]:
            found.append(lambda f, n=n: f.end(n))
    found += [lambda f, m=m: f.deliver(m) for m in range(max(0, len(fleet.sent) - 3), len(fleet.sent))]
    for ms in (
        PERIOD,
        0.9985 * fleet.settings.lease_ms,
        0.002 * fleet.settings.lease_ms + fleet.settings.deadline_ms,
    ):
        found.append(lambda f, ms=ms: setattr(f, "now", f.now + ms))
    return found


def prepared(lent: bool, drifting: bool) -> Fleet:
    fleet = Fleet(settings_of(exact_limit(2)), 3, 3, CLOCK_RATES if drifting else ())
    fleet.run(4)
    if lent:  # both units are requested at one front, which owns one at most
        fill(fleet, 2, 2)
    fleet.sent.clear()
    return fleet


def explore(fleet: Fleet, depth: int) -> int:
    """Checks the fleet after every sequence of so many steps. Returns the number of distinct states."""
    seen, layer = set[str](), [fleet]
    for _ in range(depth):
        following = []
        for state in layer:
            pickled = pickle.dumps(state)
            for step in next_steps(state):
                copy = pickle.loads(pickled)
                step(copy)
                copy.check()
                if (found := fingerprint(copy)) not in seen:
                    seen.add(found)
                    following.append(copy)
        layer = following
    return len(seen)


@pytest.mark.parametrize("drifting", [False, True])
@pytest.mark.parametrize("lent", [False, True])
def test_every_sequence_of_four_steps_stays_within_the_limit(lent: bool, drifting: bool) -> None:
    assert explore(prepared(lent, drifting), 4) > 1500


# flaws: each removes one safeguard


def lease_from_receipt(monkeypatch: pytest.MonkeyPatch) -> None:
    """The borrower counts its lease from the receipt of the reply instead of its own request."""
    receive = Escrow.receive

    def flawed(self: Escrow, now: float, sender: int, data: bytes) -> None:
        stamp = self.peers[sender].stamp if sender in self.peers else 0
        receive(self, now, sender, data)
        if sender in self.peers and self.peers[sender].stamp != stamp and self.peers[sender].echoed:
            self.peers[sender].echoed = int(now * 1000)

    monkeypatch.setattr(Escrow, "receive", flawed)


def early_reclaim(monkeypatch: pytest.MonkeyPatch) -> None:
    """The lender reclaims units that the borrower may still use."""
    monkeypatch.setattr(LimitSettings, "expiry_ms", lambda self, limit: 0.5 * self.lease_ms)


def no_clock_drift(monkeypatch: pytest.MonkeyPatch) -> None:
    """All clocks are taken to run at one rate."""
    monkeypatch.setattr("lemonhall.limits.settings.MAX_CLOCK_DRIFT", 0.0)
    monkeypatch.setattr(LimitSettings, "deadline_ms", 0.0)


def no_message_order(monkeypatch: pytest.MonkeyPatch) -> None:
    """Late and duplicated messages count."""
    receive = Escrow.receive

    def flawed(self: Escrow, now: float, sender: int, data: bytes) -> None:
        self.peers.setdefault(sender, Peer()).stamp = 0
        for key in self.loan_keys.get(sender, ()):
            if loan := self.local_limits[key].share.borrowed.get(sender):
                loan.seq = 0
        receive(self, now, sender, data)

    monkeypatch.setattr(Escrow, "receive", flawed)


def no_restart_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """A front without state uses its share at once."""
    init = Escrow.__init__

    def flawed(self: Escrow, *args: Any, **more: Any) -> None:
        init(self, *args, **more)
        self.unreported.clear()

    monkeypatch.setattr(Escrow, "__init__", flawed)


def lends_borrowed_units(monkeypatch: pytest.MonkeyPatch) -> None:
    """Borrowed units are lent on."""
    monkeypatch.setattr(LimitShare, "free_own_units", lambda self: max(0, self.free()))


def late_deduction(monkeypatch: pytest.MonkeyPatch) -> None:
    """A grant counts as lent only once the borrower has received it."""

    def flawed(self: LimitShare, other: int, units: int) -> int:
        if units <= 0 or self.unreported:
            return 0
        loan = self.lent.setdefault(other, Loan())
        self.grant_counter[0] += 1
        loan.seq, loan.amount, loan.unacknowledged = self.grant_counter[0], loan.amount + units, True
        return units

    monkeypatch.setattr(LimitShare, "grant", flawed)


def no_session_grace(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sessions are taken to end with the lease although they may outlast it."""
    expiry_ms = LimitSettings.expiry_ms
    monkeypatch.setattr(
        LimitSettings,
        "expiry_ms",
        lambda self, limit: expiry_ms(self, limit) - limit.session_grace_ms * (1 + 0.001),
    )


FLAWS = (
    lease_from_receipt,
    early_reclaim,
    no_clock_drift,
    no_message_order,
    no_restart_wait,
    lends_borrowed_units,
    late_deduction,
    no_session_grace,
)


@pytest.mark.parametrize("flaw", FLAWS, ids=lambda f: f.__name__)
def test_each_safeguard_is_needed(flaw: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    flaw(monkeypatch)
    with pytest.raises(AssertionError, match=r"could be used|play"):
        run_to_lease_expiry()
        try_to_borrow_borrowed_units()
        for seed in range(60):
            fleet = Fleet(WITH_GRACE if flaw is no_session_grace else MIXED, 3, seed, CLOCK_RATES)
            fleet.run(4 * (seed % 2))
            random_walk(fleet, seed, 400)
            fleet.run(3)
            fleet.check_playing()


def run_to_lease_expiry() -> None:
    """Cuts a link without message loss before, where the borrower's clock is the slower one."""
    fleet = Fleet(settings_of(exact_limit(2)), 2, clock_rates=(1 - 0.0005, 1 + 0.0004))
    fleet.run(4)
    fill(fleet, 0, 2)
    requested_at = fleet.fronts[0].escrow.peers[1].echoed / 1000
    fleet.now += fleet.settings.lease_ms - (fleet.clock(0) - requested_at) - 2.0
    for _ in range(20_000):
        if not fleet.fronts[1].escrow.loan_keys:
            break
        fleet.now += 0.1
        fleet.fronts[1].expire_leases(fleet.clock(1))
        fleet.check()
    assert not fleet.fronts[1].escrow.loan_keys


def try_to_borrow_borrowed_units() -> None:
    """Front 0 borrows from 1, front 2 requests units of 0, and 1 is cut off from both."""
    fleet = Fleet(settings_of(exact_limit(6)), 3)
    fleet.run(4)
    while fleet.fronts[0].escrow.local_limits.get((fleet.settings.limits[0].limit_id, 0)) is None or (
        fleet.playing_count() < 4
    ):
        fleet.request(0)
        fleet.run(0.2, cut=frozenset({frozenset((0, 2))}))
    for _ in range(4):
        fleet.end(0)
    for _ in range(100):
        fleet.request(2)
        fleet.request(1)
        fleet.run(0.4, cut=frozenset({frozenset((0, 1)), frozenset((1, 2))}))
        fleet.check()


def test_a_lease_expires_at_the_borrower_first_and_borrowed_units_are_not_lent_on() -> None:
    run_to_lease_expiry()
    try_to_borrow_borrowed_units()


# demand that moves between fronts


def test_a_surge_at_one_of_many_fronts_reaches_the_units_of_all() -> None:
    fleet = Fleet(settings_of(exact_limit(400)), 24)
    fleet.run(4)
    began = fleet.now
    while fleet.playing_count() < 360:
        for _ in range(9):
            fleet.request(0)
        fleet.run(0.2)
        assert fleet.now - began < 2000  # one of 24 fronts receives 450 requests/s
    for request_id in list(fleet.playing[0]):
        fleet.end(0, request_id)
    began = fleet.now
    while fleet.playing_count() < 360:  # then at another front
        for _ in range(9):
            fleet.request(7)
        fleet.run(0.2)
        fleet.check()
        assert fleet.now - began < 2000


def test_units_without_demand_return_to_their_owners() -> None:
    fleet = Fleet(settings_of(exact_limit(48)), 6)
    fleet.run(4)
    fill(fleet, 1, 40)
    for request_id in list(fleet.playing[1]):
        fleet.end(1, request_id)
    fleet.run(30)
    for front in fleet.fronts:
        assert front.status(fleet.clock(front.escrow.number))["limits"][0]["held"] == 8
        assert not front.escrow.loan_keys and not front.escrow.local_limits  # no state is left


def test_a_limit_of_one_unit_is_usable_at_every_front_in_turn() -> None:
    fleet = Fleet(settings_of(exact_limit(1)), 24)
    fleet.run(4)
    for number in (3, 17, 0, 11):
        for _ in range(20):
            fleet.request(number)
            fleet.run(0.2)
            fleet.check()
        assert [len(s) for s in fleet.playing] == [n == number for n in range(24)]
        fleet.end(number)


def test_state_and_messages_for_ten_thousand_titles_grow_with_use_only() -> None:
    fleet = Fleet(settings_of(exact_limit(2, each_title=True)), 8)
    fleet.run(4)
    for n in range(10_000):
        fleet.request(n % 8, title=f"/t/{n}")
        if n % 500 == 0:
            fleet.run(0.2)
        while len(fleet.playing[n % 8]) > 20:
            fleet.end(n % 8)
    fleet.run(60)
    assert sum(len(f.escrow.local_limits) for f in fleet.fronts) <= 2 * fleet.playing_count() + 8
    fleet.run(0.2)
    fleet.tick(0)
    assert all(len(data) <= 1200 for _, _, data in fleet.sent)
    fleet.check()


def test_a_session_under_several_limits_reserves_all_or_none() -> None:
    nested = settings_of(
        exact_limit(6, "a-all"), exact_limit(3, "b-partner", partner=0), exact_limit(2, "c-claims", cls=CLAIM)
    )
    fleet = Fleet(nested, 3)
    fleet.run(4)
    for _ in range(40):
        for number in range(3):
            fleet.request(number, cls=CLAIM)
            fleet.request(number, cls=VIEW, partner=1)
        fleet.run(0.4)
        fleet.check()
    fleet.check_playing()
    assert fleet.playing_count() == 6  # two claims of partner 0, the others of partner 1
    used = {m["limit"]: 0 for m in fleet.fronts[0].status(fleet.clock(0))["limits"]}
    for n, front in enumerate(fleet.fronts):
        for limit in front.status(fleet.clock(n))["limits"]:
            used[limit["limit"]] += limit["used"]
    assert used == {"a-all": 6, "b-partner": 2, "c-claims": 2}


# leases


def fleet_with_borrowed_units(session_grace_ms: float = 0.0, fronts: int = 3) -> Fleet:
    """A fleet where all units are in use at front 0."""
    fleet = Fleet(
        settings_of(exact_limit(6, session_grace_ms=session_grace_ms)),
        fronts,
        clock_rates=CLOCK_RATES[:fronts],
    )
    fleet.run(4)
    fill(fleet, 0, 6)
    return fleet


def test_a_partitioned_borrower_ends_its_sessions_before_the_units_are_used_again() -> None:
    fleet = fleet_with_borrowed_units()
    cut = frozenset(frozenset((0, n)) for n in (1, 2))
    began, reused_at = fleet.now, 0.0
    for _ in range(400):
        if reused_at:
            break
        for number in (1, 2):
            reused_at = reused_at or (fleet.request(number) and fleet.now)
        fleet.run(0.2, cut=cut)
        fleet.check()
        fleet.check_playing()
    assert len(fleet.playing[0]) == 2  # its own share
    limit = fleet.settings.limits[0]
    assert reused_at - began <= 1.01 * fleet.settings.expiry_ms(limit) + 2 * PERIOD


def test_sessions_with_a_grace_time_outlast_the_lease_and_are_counted() -> None:
    fleet = fleet_with_borrowed_units(session_grace_ms=3000.0)
    cut = frozenset(frozenset((0, n)) for n in (1, 2))
    fleet.run(20, cut=cut)
    assert len(fleet.playing[0]) == 6 and not fleet.request(1)
    fleet.end(0)
    assert not fleet.request(0)  # nothing new on an expired lease
    fleet.run(30, cut=cut)
    assert len(fleet.playing[0]) == 2
    fleet.run(10, cut=cut)
    assert fleet.request(1) and fleet.request(2)
    fleet.check_playing()


def test_a_front_paused_before_a_set_up_does_not_send_it_on_an_expired_lease() -> None:
    fleet = fleet_with_borrowed_units()
    for _ in range(3):
        fleet.end(0)
    front, clock = fleet.fronts[0], fleet.clock(0)
    fleet.requests += 1
    assert not front.admit(clock, fleet.requests, 0, VIEW, "/a").refused_by  # admitted, not sent yet
    fleet.paused.add(0)
    fleet.run(40)
    assert not front.may_start_set_up(fleet.clock(0), fleet.requests)  # resumes just before the set-up
    assert front.counts["lapsed_before_set_up"] == 1


def test_units_of_a_killed_borrower_return_with_its_first_message() -> None:
    fleet = fleet_with_borrowed_units()
    fleet.restart(0)
    fleet.run(3)
    assert sum(fleet.request(n) for n in (1, 1, 2, 2)) == 4


def test_a_killed_lender_counts_the_units_that_it_lent() -> None:
    fleet = fleet_with_borrowed_units()
    fleet.restart(1)
    assert not fleet.request(1)
    fleet.run(6)
    assert len(fleet.playing[0]) == 6 and not fleet.request(1)
    fleet.end(0)
    fleet.end(0)
    for _ in range(4):
        fleet.request(1)
        fleet.run(1)
    assert len(fleet.playing[1]) == 2
    fleet.check_playing()


def test_a_successor_continues_with_the_loans_of_its_predecessor() -> None:
    fleet = fleet_with_borrowed_units()
    predecessor = fleet.fronts[0]
    successor = fleet.start_front(0)
    successor.restore_state(fleet.clock(0), predecessor.escrow.handover_state())
    fleet.fronts[0] = successor
    assert not fleet.request(0)  # the predecessor's sessions count before they are restored
    for request_id in fleet.playing[0]:
        successor.restore_session(fleet.clock(0), request_id, 0, VIEW, "/a", 0)
    fleet.run(40)
    assert len(fleet.playing[0]) == 6
    fleet.check()
    fleet.check_playing()


def test_a_front_that_restores_sessions_without_its_loans_ends_those_above_its_share() -> None:
    fleet = fleet_with_borrowed_units()
    successor = fleet.start_front(0)
    successor.escrow.fresh = False
    for request_id in fleet.playing[0]:
        successor.restore_session(fleet.clock(0), request_id, 0, VIEW, "/a", 0)
    fleet.fronts[0] = successor
    for _ in range(25):
        fleet.run(1)
        for number in (1, 2):
            fleet.request(number)
        fleet.check_playing()
    assert len(fleet.playing[0]) == 2 and fleet.playing_count() == 6


# settings


def test_a_limit_lowered_below_its_use_admits_nothing_until_the_use_fits() -> None:
    fleet = fleet_with_borrowed_units()
    less = settings_of(exact_limit(3))
    for front in fleet.fronts:
        front.apply_settings(less)
    fleet.run(3)
    assert fleet.playing_count() == 6 and not any(fleet.request(n) for n in range(3))
    for _ in range(4):
        fleet.end(0)
    for _ in range(6):
        fleet.request(1)
        fleet.run(1)
    assert fleet.playing_count() == 3


def test_the_smaller_of_two_amounts_is_in_force_until_all_fronts_have_the_new_one() -> None:
    fleet = Fleet(settings_of(exact_limit(3)), 3)
    fleet.run(4)
    more = settings_of(exact_limit(30))
    fleet.fronts[0].apply_settings(more)
    fleet.fronts[1].apply_settings(more)
    for _ in range(10):
        for number in range(3):
            fleet.request(number)
        fleet.run(1)
    assert fleet.playing_count() == 3
    assert fleet.fronts[0].status(fleet.clock(0))["limits"][0]["goes_by"] == 3
    fleet.fronts[2].apply_settings(more)
    fleet.settings = more
    for _ in range(40):
        for number in range(3):
            fleet.request(number)
        fleet.run(1)
    assert fleet.playing_count() == 30


def test_the_share_of_a_forgotten_front_goes_to_the_others_until_it_returns() -> None:
    fleet = fleet_with_borrowed_units()
    cut = frozenset(frozenset((0, n)) for n in (1, 2))
    assert "speaks" in fleet.fronts[1].escrow.forget_front(fleet.clock(1), 0)
    fleet.paused.add(0)
    fleet.playing[0].clear()  # killed
    for number in (1, 2):
        fleet.fronts[number].escrow.members = (1, 2)
    fleet.run(25)
    for _ in range(20):
        fleet.request(1)
        fleet.run(0.4)
    assert fleet.playing_count() == 4
    assert fleet.fronts[1].escrow.forget_front(fleet.clock(1), 0) == ""
    fleet.run(6)
    assert fleet.fronts[2].escrow.forgotten == {0}  # the command reaches the other fronts
    for _ in range(20):
        fleet.request(1)
        fleet.run(0.4)
    assert fleet.playing_count() == 6
    fleet.paused.clear()
    fleet.fronts[0] = fleet.start_front(0)  # it returns after all
    for number in (1, 2):
        fleet.fronts[number].escrow.members = (0, 1, 2)
    for _ in range(20):
        fleet.request(0)
        fleet.run(0.4)
        fleet.check_playing()
    for _ in range(6):
        fleet.end(1)
    fleet.run(10)
    assert not fleet.fronts[1].escrow.forgotten and fleet.request(0)
    assert cut


def test_unreadable_or_false_messages_cost_at_most_what_was_lent() -> None:
    fleet = fleet_with_borrowed_units()
    front = fleet.fronts[1]
    for data in (b"\xff\xff", b"", bytes(1200), b"\x09" + b"\x01" * 40):
        front.receive(fleet.clock(1), 0, data)
    front.receive(fleet.clock(1), 99, b"")
    assert front.counts["unreadable"] + front.counts["no_such_front"] >= 2
    fleet.check()


# many fronts, and rare faults


@pytest.mark.parametrize("groups", [2, 3])
def test_24_partitioned_fronts_stay_within_the_limit_and_use_what_each_group_holds(groups: int) -> None:
    fleet = Fleet(settings_of(exact_limit(72, session_grace_ms=60_000.0)), 24)
    fleet.run(4)
    cut = frozenset(frozenset((a, b)) for a in range(24) for b in range(a) if a % groups != b % groups)
    random = fleet.random
    for turn in range(60):
        for number in (0, 1, 2):  # one front of each group receives the demand
            for _ in range(4):
                fleet.request(number)
            if random.random() < 0.5:
                fleet.end(number)
        if turn == 30:
            fleet.restart(5)
        fleet.run(0.4, loss=0.3, cut=cut)
        fleet.check()
        fleet.check_playing()
    assert fleet.playing_count() >= 60  # units move within each group
    fleet.run(4)
    fleet.check()


def test_fronts_killed_at_once_use_their_shares_when_all_have_reported() -> None:
    fleet = fleet_with_borrowed_units()
    for number in range(3):
        fleet.restart(number)
    assert not any(fleet.request(number) for number in range(3))
    fleet.run(2)
    assert all(fleet.request(number) for number in range(3))
    fleet.check()


def test_a_front_whose_clock_was_set_back_still_takes_a_later_incarnation() -> None:
    fleet = fleet_with_borrowed_units()
    fleet.restart(0)
    fleet.fronts[0].escrow.incarnation = 0  # its wall clock is an hour behind
    fleet.run(4)
    assert fleet.fronts[0].escrow.incarnation > 1 and not fleet.fronts[0].escrow.unreported
    assert fleet.request(0)
    fleet.check()


def test_two_fronts_with_one_number_do_not_use_the_share() -> None:
    fleet = Fleet(settings_of(exact_limit(6)), 3)
    fleet.run(4)
    fleet.fronts[0].escrow.duplicate_member = True
    fleet.fronts[0].escrow.recompute_shares()
    assert not fleet.request(0)
    assert fleet.request(1)
    fleet.run(2)
    fleet.check()
