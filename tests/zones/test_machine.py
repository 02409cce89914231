"""Rulings: what a session may use while its hall is up, lost, coming back; limits, reserves, the ramp."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lemonhall import decide
from lemonhall import interface as i
from lemonhall.interface import Outcome
from lemonhall.limits.shares import equal_share
from lemonhall.zones import (
    Intake,
    OperatorOverride,
    Tier,
    ZoneDecision,
    ZoneFailover,
    ZoneSettings,
    ZoneState,
)
from tests.zones.fixtures import PAID, PLAN, SAFE, STAYS, fleet

NOTICE = PLAN.spilling.notice_ms


def made(
    home: int = 0, fronts: int = 1, plan: ZoneSettings = PLAN, halls: tuple[int, ...] = (0, 1, 2)
) -> ZoneFailover:
    machine = ZoneFailover(plan, 0, fronts, home, 1, Random(1), 0.0)
    machine.on_list(0.0, fleet(*halls), True)
    return machine


def lose(machine: ZoneFailover, now: float, *stay: int) -> float:
    machine.on_list(now, fleet(*stay), True)
    machine.update_states(now + NOTICE)
    assert machine.sights[machine.home].state is ZoneState.DARK
    return now + NOTICE


def test_while_its_hall_is_up_a_session_plays_there_alone() -> None:
    ruling = made().choose_zones(10.0, 1, SAFE)
    assert ruling == ZoneDecision(barred=(1, 2))


def test_overflow_is_let_out_while_the_hall_is_up_and_behind_it() -> None:
    ruling = made(home=1).choose_zones(10.0, 1, SAFE)
    assert ruling.barred == (0,) and ruling.preferred == (("zone", 1),) and ruling.spill_zone == 2


def test_a_title_that_its_hall_has_never_had_is_nobodys_to_bind() -> None:
    machine = made()
    assert machine.choose_zones(10.0, 1, SAFE, frozenset({4})) == ZoneDecision()
    assert machine.choose_zones(10.0, 2, SAFE, frozenset({1, 4})).barred == (1, 2)


def test_a_lost_halls_sessions_go_to_the_first_tier_then_the_next_then_nowhere() -> None:
    machine = made()
    now = lose(machine, 1000.0, 1, 2)
    took = [machine.choose_zones(now, n, SAFE).spill_zone for n in range(200)]
    first, second = took.count(1), took.count(2)
    assert took == [1] * first + [2] * second + [-1] * (200 - first - second)
    links = 4 * PLAN.link_kb_per_weight
    floor = PLAN.ladder_kb[0]
    # the intake of hall-b (20%) binds before its tier (25%)
    used = [machine.parts[n].used / 1e6 * limit for n, (_, limit) in enumerate(PLAN.limits)]
    assert used[0] <= 0.2 and used[1] <= 0.1 and used[3] <= 0.2
    assert used[0] > 0.2 - floor / links and used[1] > 0.1 - floor / links
    assert machine.choose_zones(now, 999, SAFE) == ZoneDecision(barred=(0, 1, 2))  # at once: nowhere
    for n in range(200):
        machine.release(now, n)
    assert [p.used for p in machine.parts] == [0] * len(machine.parts)


def test_a_class_that_may_not_spill_is_refused() -> None:
    machine = made()
    now = lose(machine, 1000.0, 1, 2)
    assert machine.choose_zones(now, 1, STAYS).barred == (0, 1, 2)


def test_a_tier_whose_own_hall_is_lost_is_passed_over() -> None:
    machine = made()
    now = lose(machine, 1000.0, 2)  # hall-b carries nothing: it went as well
    assert machine.choose_zones(now, 1, SAFE).spill_zone == 2


def test_a_spilled_session_is_let_over_its_floor_while_there_is_much_room_only() -> None:
    machine = made()
    now = lose(machine, 1000.0, 1, 2)
    caps = [r.rung_cap for r in (machine.choose_zones(now, n, SAFE) for n in range(200)) if r.spill_zone == 1]
    assert caps[0] == 3 and caps[-1] == 0 and caps == sorted(caps, reverse=True)


def test_what_is_kept_for_the_worthier_goes_by_method_two() -> None:
    machine = made(plan=replace(PLAN, intakes=()))
    now = lose(machine, 1000.0, 1)
    ask, low, high = 0, 0, 0
    for _ in range(400):
        now += 100
        ask += 1
        low += machine.choose_zones(now, ask, SAFE).spill_zone == 1
        ask += 1
        high += machine.choose_zones(now, ask, PAID).spill_zone == 1
        for old in [n for n, held in machine.sessions.items() if now - held.since > 4000]:
            machine.release(now, old)
    assert machine.reserves[0].quota > 0
    assert high > low


def test_set_ups_a_second_into_a_hall_are_limited() -> None:
    plan = replace(PLAN, intakes=(Intake(1, 0.0, per_s=5.0),), tiers=(Tier(0, 1, 1.0),))
    machine = made(plan=plan)
    now = lose(machine, 1000.0, 1, 2)
    times = [now + 10 * n for n in range(400)]
    took = [t for n, t in enumerate(times) if machine.choose_zones(t, n, SAFE).spill_zone == 1]
    for since in times:
        assert sum(since <= t < since + 1000 for t in took) <= 5 + 5 + 1  # a second's store, and its own
    assert len(took) == pytest.approx(5 * 4 + 5, abs=3)  # the store, then the rate


def test_the_ramp_of_all_fronts_together_is_the_halls_however_they_are_cut_apart() -> None:
    fronts, sent = 8, []
    for number in range(fronts):
        machine = ZoneFailover(PLAN, number, fronts, 0, 1, Random(number), 0.0)
        machine.on_list(0.0, fleet(0, 1, 2), True)
        now = lose(machine, 1000.0, 1, 2)
        machine.on_list(now, fleet(0, ready_at=now, first=100), True)
        assert machine.sights[0].state is ZoneState.RETURNING
        for n in range(int(PLAN.spilling.ramp_ms / 10)):
            t = now + 10 * n
            ruling = machine.choose_zones(t, n, STAYS)
            if 0 not in ruling.barred:
                machine.on_set_up(t, n, 100)
                machine.release(t, n)
                sent.append(t - now)
    sight, span = machine.sights[0], 500.0
    for since in range(0, int(PLAN.spilling.ramp_ms - span), 100):
        most = span * sight.set_up_rate(now + since + span) + fronts
        assert sum(since <= t < since + span for t in sent) <= most
    assert len(sent) > 50


def test_an_attempt_more_at_a_hall_that_returns_is_paid_for_by_those_after_it() -> None:
    machine = made()
    now = lose(machine, 1000.0, 1, 2)
    machine.on_list(now, fleet(0, ready_at=now, first=100), True)
    while 0 in machine.choose_zones(now, 1, STAYS).barred:
        now += 10
    for _ in range(3):
        machine.on_set_up(now, 1, 100)
    assert machine.ramp.left < -1.5


def test_a_turn_that_was_not_used_is_given_back() -> None:
    machine = made()
    now = lose(machine, 1000.0, 1, 2)
    machine.on_list(now, fleet(0, ready_at=now, first=100), True)
    while 0 in machine.choose_zones(now, 1, STAYS).barred:
        now += 10
    left = machine.ramp.left
    machine.release(now, 1)
    assert machine.ramp.left == pytest.approx(left + 1)


def test_room_is_given_back_when_the_session_plays_at_home_after_all() -> None:
    machine = made()
    machine.on_list(1000.0, fleet(1, 2), True)  # failing: home first
    machine.on_list(1100.0, fleet(0, 1, 2), True)
    ruling = machine.choose_zones(1100.0, 1, SAFE)
    assert ruling.barred == (2,) and ruling.preferred == (("zone", 0),)
    assert machine.parts[0].used > 0
    machine.on_playing(1200.0, 1, 0)
    assert machine.parts[0].used == 0


def test_trials_are_never_of_a_paid_session() -> None:
    machine = made(halls=(0, 1, 2))
    for t in range(1000, 6000, 100):
        for n in range(4):
            machine.on_attempt_result(float(t), n, Outcome.TIMEOUT)
        machine.update_states(float(t))
    assert machine.sights[0].state is ZoneState.DARK
    assert 0 in machine.choose_zones(9000.0, 1, PAID).barred
    assert 0 not in machine.choose_zones(9000.0, 2, SAFE).barred
    assert 0 in machine.choose_zones(9010.0, 3, SAFE).barred  # one at a time


def test_what_was_carried_over_counts_and_more_than_there_is_lets_nobody_in() -> None:
    machine = made()
    now = lose(machine, 1000.0, 1, 2)
    for n in range(80):
        machine.restore_session(now, 1000 + n, SAFE, 3, 10 + n % 4)  # they play in hall-b
    assert machine.parts[0].free() < 0 and machine.choose_zones(now, 1, SAFE).spill_zone == 2


def test_orders_reach_all_and_outlive_a_restart_and_the_later_one_holds() -> None:
    a, b = made(fronts=2), ZoneFailover(PLAN, 1, 2, 1, 1, Random(2), 0.0)
    a.members = b.members = (0, 1)
    assert a.set_override(2, OperatorOverride.HOLD, 100.0)
    b.receive(1.0, 0, a.words(1.0, 1))
    assert b.sights[2].order is OperatorOverride.HOLD
    assert not b.set_override(2, OperatorOverride.NONE, 50.0)  # an earlier one that came late
    again = ZoneFailover(PLAN, 1, 2, 1, 2, Random(2), 0.0, saved_state=b.serialize())
    again.update_states(2.0)
    assert again.sights[2].state is ZoneState.DARK and again.status(2.0)["halls"][2]["held_out"]
    assert again.set_override(2, OperatorOverride.NONE, 200.0)
    a.receive(3.0, 1, again.words(3.0, 0))
    assert a.sights[2].order is OperatorOverride.NONE


def test_of_another_plan_the_orders_alone_are_remembered() -> None:
    old = made(fronts=2)
    old.set_override(1, OperatorOverride.HOLD, 100.0)
    old.parts[0].lend(1, 1000)
    other = replace(PLAN, tiers=PLAN.tiers[:1])
    new = ZoneFailover(other, 0, 2, 0, 7, Random(1), 0.0, saved_state=old.serialize())
    assert new.sights[1].order is OperatorOverride.HOLD and new.life == 7
    assert new.parts[0].mine() == equal_share(0, 2)


@pytest.mark.parametrize("data", [b"\xff\xff", b"\x0a"])
def test_what_cannot_be_read_is_counted_or_refused(data: bytes) -> None:
    machine = made(fronts=2)
    machine.receive(1.0, 1, data)
    assert machine.counts["unreadable"] == 1
    with pytest.raises(ValueError, match="cannot be read"):
        machine.restore(data)


def module() -> decide.Front:
    settings = i.Settings(
        classes=PLAN.classes,
        ladder_kb=PLAN.ladder_kb,
        ladder_worth=(0.25, 0.5, 0.8, 1.0),
        places_by_kind=PLAN.places_by_kind,
        link_kb_per_weight=320.0,
        cells=6,
    )
    front = decide.Front(settings, 1)
    front.handle(0.0, [i.ServerList(i.ListKind.FULL, 1, tuple(fleet(0, 1, 2)))])
    return front


def test_the_module_sends_nothing_to_a_hall_that_is_barred() -> None:
    front = module()
    zones = {s.id: s.zone for s in fleet(0, 1, 2)}
    for n in range(60):
        bars = ((), (0,), (0, 1), (0, 1, 2))[n % 4]
        told = i.NewSession(n, SAFE, n, n, 1000.0, 3, 0, 6, advice=i.Advice(bars=bars))
        actions = front.handle(1.0 + n, [told])
        asked = [a.server for a in actions if isinstance(a, i.SetUp)]
        assert all(zones[s] not in bars for s in asked)
        assert bool(asked) == (len(bars) < 3)
        assert len(bars) < 3 or any(isinstance(a, i.Refuse) for a in actions)


@given(st.binary(max_size=300))
def test_no_bytes_of_another_front_end_it_or_move_a_part(data: bytes) -> None:
    machine = made(fronts=2)
    before = [p.mine() for p in machine.parts]
    machine.receive(1.0, 1, data)
    machine.tick(1000.0)
    assert [p.mine() for p in machine.parts] == before  # nothing is lent without its plan and our life


def hear_need(machine: ZoneFailover, now: float, limit: int) -> None:
    other = ZoneFailover(PLAN, 1, machine.fronts, 2, 1, Random(9), 0.0)
    other.lives[0] = machine.life
    other.parts[limit].need = 1000
    machine.receive(now, 1, other.words(now, 0))


def test_a_session_comes_home_where_others_lack_its_room_and_its_hall_is_back() -> None:
    machine = made(fronts=2)
    now = lose(machine, 1000.0, 1, 2)
    for ask, cls in enumerate((PAID, SAFE, SAFE, SAFE)):
        assert machine.choose_zones(now, ask, cls).spill_zone == 1
        machine.on_playing(now, ask, 10)
    hear_need(machine, now, 0)
    machine.tick(now + 600)
    assert machine.pending_moves == []  # its hall is not back
    machine.on_list(now, fleet(0, 1, 2, ready_at=1.0), True)
    while machine.sights[0].state is not ZoneState.UP:
        now += 500
        machine.tick(now)
    assert machine.pending_moves == []  # nobody lacks room
    for _ in range(40):
        now += machine.message_period_ms()
        hear_need(machine, now, 0)
        machine.tick(now)
    assert sorted(machine.pending_moves) == [1, 2, 3] and machine.counts["brought_home"] == 3


def test_the_module_moves_what_plays_and_was_not_paid_for() -> None:
    front, moved = module(), []
    for n, cls in enumerate((SAFE, PAID)):
        told = i.NewSession(n, cls, n, n, 1000.0, 3, 0, 6)
        asked = [a for a in front.handle(1.0, [told]) if isinstance(a, i.SetUp)]
        advised = [i.Advised(n, i.Advice(move=True))]
        moved += [a for a in front.handle(2.0, advised) if isinstance(a, i.Move)]  # it does not play yet
        playing = i.Playing(n, 0, asked[0].server, 20.0)
        moved += [a for a in front.handle(3.0, [playing, *advised]) if isinstance(a, i.Move)]
    assert moved == [i.Move(0)]
