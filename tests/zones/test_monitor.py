"""What a hall is taken to be: losses that are some, and what looks like one and is none."""

from __future__ import annotations

from dataclasses import replace

import pytest

from lemonhall.zones import OperatorOverride, ZoneMonitor, ZoneState
from tests.zones.fixtures import PLAN, fleet, server

NOTICE = PLAN.spilling.notice_ms
OTHERS = fleet(1, 2)


def sight(lines: int = 4) -> ZoneMonitor:
    made = ZoneMonitor(PLAN, 0)
    made.listed(0.0, fleet(0)[:lines], True, True)
    made.look(0.0)
    return made


def run(made: ZoneMonitor, since: float, until: float) -> list[ZoneState]:
    """Looks each tenth of a notice; the states that it turned to."""
    found, now = [], since
    while now <= until:
        if change := made.look(now):
            found.append(change.state)
        now += NOTICE / 10
    return found


def test_a_list_that_names_no_server_of_it_and_others_is_a_loss_that_must_hold() -> None:
    made = sight()
    made.listed(1000.0, [], True, True)
    assert run(made, 1000.0, 1000.0 + 3 * NOTICE) == [ZoneState.FAILING, ZoneState.DARK]
    assert "the list names no ready server" in made.why


@pytest.mark.parametrize(("others", "fresh"), [(False, True), (True, False), (False, False)])
def test_a_list_that_is_empty_or_old_says_nothing(others: bool, fresh: bool) -> None:
    made = sight()
    made.listed(1000.0, [], others, fresh)
    assert run(made, 1000.0, 1000.0 + 3 * NOTICE) == []


def test_a_loss_of_less_than_a_notice_is_a_failing_hall_that_is_up_again() -> None:
    made = sight()
    made.listed(1000.0, [], True, True)
    assert run(made, 1000.0, 1000.0 + NOTICE / 2) == [ZoneState.FAILING]
    made.listed(1000.0 + NOTICE / 2, fleet(0), True, True)
    assert run(made, 1000.0 + NOTICE / 2, 1000.0 + 4 * NOTICE) == [ZoneState.UP]


def test_attempts_that_fail_on_one_rack_are_no_loss_of_a_hall() -> None:
    made = sight()
    for now in range(1000, 6000, 200):
        made.bad(now, 0)
        made.bad(now, 2)  # the other server of rack 0
        assert made.look(now) is None
    made.bad(6000.0, 1)
    assert made.look(6000.0) is not None  # a server of the other rack as well, and nobody answers


def test_attempts_that_fail_beside_others_that_play_are_no_loss() -> None:
    made = sight()
    for now in range(1000, 6000, 200):
        made.bad(now, 0)
        made.bad(now, 1)
        made.good(now, 2)
        made.good(now, 3)
        assert made.look(now) is None


def test_a_few_servers_that_are_deployed_are_no_loss() -> None:
    made = sight()
    lines = [server(0, 0, 0, draining=True), server(1, 0, 1, draining=True), *fleet(0)[2:]]
    made.listed(1000.0, lines, True, True)
    made.listed(1200.0, lines[2:], True, True)
    assert run(made, 1000.0, 1000.0 + 5 * NOTICE) == []


def test_an_announced_deploy_of_the_whole_hall_is_a_loss_without_a_failure() -> None:
    made = sight()
    made.listed(1000.0, [server(n, 0, n % 2, draining=True) for n in range(4)], True, True)
    assert run(made, 1000.0, 1000.0 + 2 * NOTICE) == [ZoneState.FAILING, ZoneState.DARK]


def dark(made: ZoneMonitor, at: float = 1000.0) -> float:
    made.listed(at, [], True, True)
    run(made, at, at + 2 * NOTICE)
    assert made.state is ZoneState.DARK
    return at + 2 * NOTICE


def back(made: ZoneMonitor, now: float, servers: int = 4) -> None:
    made.listed(now, fleet(0, ready_at=now, first=100)[:servers], True, True)
    made.look(now)
    assert made.state is ZoneState.RETURNING


def test_a_return_is_let_in_by_a_ramp_and_half_of_a_hall_at_half_the_pace() -> None:
    whole, half = sight(), sight()
    for made, servers in ((whole, 4), (half, 2)):
        now = dark(made)
        back(made, now, servers)
    paces = [whole.set_up_rate(now + part * PLAN.spilling.ramp_ms) for part in (0.0, 0.25, 0.5, 0.9)]
    assert paces == sorted(paces) and paces[0] == pytest.approx(PLAN.cold_from / 0.5 * paces[2])
    assert half.set_up_rate(now) == pytest.approx(whole.set_up_rate(now) / 2)
    assert run(whole, now, now + 1.1 * PLAN.spilling.ramp_ms) == [ZoneState.UP]


def test_flaps_make_the_return_slower_up_to_the_bound_and_are_forgotten() -> None:
    made, now, seen = sight(), 1000.0, []
    for _ in range(5):
        now = dark(made, now)
        back(made, now)
        seen.append(made.ramp_ms() / PLAN.spilling.ramp_ms)
        now += NOTICE
    assert seen == [1, 2, 4, 4, 4]
    done = now + 5 * PLAN.spilling.ramp_ms
    run(made, now, done)
    assert made.state is ZoneState.UP and made.flaps == 4
    run(made, done, done + 5 * PLAN.spilling.forget_ms)
    assert made.flaps == 0


def test_a_hall_that_is_held_out_stays_out_until_it_is_released() -> None:
    made = sight()
    made.order = OperatorOverride.HOLD
    assert run(made, 1000.0, 1000.0 + 5 * NOTICE) == [ZoneState.DARK] and made.why == "held out by order"
    assert not made.trial_due(1e6)
    made.order = OperatorOverride.NONE
    assert run(made, 7000.0, 7000.0 + NOTICE) == [ZoneState.RETURNING]


def test_a_dark_hall_that_is_still_listed_is_tried_ever_less_often_until_one_plays() -> None:
    made, now = sight(), 1000.0
    while made.state is not ZoneState.DARK:
        for n in range(4):
            made.bad(now, n)
        made.look(now)
        now += NOTICE / 10
    trials, end = [], now + 20_000
    while now < end:
        if made.trial_due(now):
            made.tried(now)
            made.bad(now, len(trials) % 4)
            trials.append(now)
        assert made.look(now) is None
        now += 50
    gaps = [b - a for a, b in zip(trials, trials[1:], strict=False)]
    assert gaps == sorted(gaps) and gaps[-1] == pytest.approx(4 * PLAN.spilling.trial_ms, abs=100)
    made.good(now, 1)
    assert run(made, now, now + 3 * NOTICE)[:1] == [ZoneState.RETURNING]


def tell(made: ZoneMonitor, now: float, state: ZoneState, progress: float = 0.0, voters: int = 4) -> None:
    for front in range(voters):
        made.said(now, front, state, progress)


def test_others_are_believed_by_one_that_sees_nothing_and_not_by_one_whose_sessions_play() -> None:
    blind, sees = sight(), sight()
    for now in range(20_000, 20_000 + int(3 * NOTICE), 100):
        for made in (blind, sees):
            tell(made, now, ZoneState.DARK)
        sees.good(now, 1)
        blind.look(now)
        sees.look(now)
    assert blind.state is ZoneState.DARK and sees.state is ZoneState.UP


def test_two_others_are_not_most() -> None:
    made = sight()
    tell(made, 20_000.0, ZoneState.DARK, voters=2)
    assert made.look(20_000.0) is None


def test_a_hall_that_is_dark_for_one_front_alone_is_dark_there_whatever_others_say() -> None:
    made, now = sight(), 10_000.0
    while now < 10_000 + 3 * NOTICE:
        tell(made, now, ZoneState.UP)
        for n in range(4):
            made.bad(now, n)
        made.look(now)
        now += 100
    assert made.state is ZoneState.DARK and "attempts failed" in made.why


def test_a_front_that_starts_in_the_outage_holds_what_it_never_saw_for_dark() -> None:
    made = ZoneMonitor(PLAN, 0)
    made.listed(0.0, [], True, True)
    assert run(made, 0.0, NOTICE)[:1] == [ZoneState.DARK] and "never" in made.why
    back(made, 3 * NOTICE)


def test_a_front_that_starts_in_the_return_takes_the_others_ramp() -> None:
    made = sight()
    tell(made, 100.0, ZoneState.RETURNING, 0.5)
    change = made.look(100.0)
    assert change and change.state is ZoneState.RETURNING
    assert made.progress(100.0) == pytest.approx(0.5)
    old = sight()
    old.look(10 * NOTICE)
    tell(old, 10 * NOTICE, ZoneState.RETURNING, 0.5)
    assert old.look(10 * NOTICE) is None  # it has seen the hall all along


def test_no_order_of_events_makes_the_ramp_jump() -> None:
    plan = replace(PLAN, spilling=replace(PLAN.spilling, ramp_ms=1000.0))
    made = ZoneMonitor(plan, 0)
    made.listed(0.0, fleet(0), True, True)
    made.look(0.0)
    now = dark(made)
    assert made.progress(now) == 0.0
    back(made, now)
    seen = [made.progress(now + t) for t in range(0, 1200, 100)]
    assert seen == sorted(seen) and seen[0] == 0.0 and seen[-1] == 1.0
