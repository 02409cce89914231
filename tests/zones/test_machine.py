"""Which zones a session may use while its home zone is up, lost or recovering: limits, reserves and the
ramp."""

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
from tests.zones.fixtures import NO_SPILL, PAID, SAFE, ZONE_SETTINGS, servers_of

NOTICE_MS = ZONE_SETTINGS.timing.notice_ms


def failover_with(
    home_zone: int = 0,
    fronts: int = 1,
    settings: ZoneSettings = ZONE_SETTINGS,
    zones: tuple[int, ...] = (0, 1, 2),
) -> ZoneFailover:
    failover = ZoneFailover(settings, 0, fronts, home_zone, 1, Random(1), 0.0)
    failover.on_list(0.0, servers_of(*zones), True)
    return failover


def lose_home_zone(failover: ZoneFailover, now: float, *remaining: int) -> float:
    """Lists the servers of the remaining zones only. Returns the time at which the home zone is dark."""
    failover.on_list(now, servers_of(*remaining), True)
    failover.update_states(now + NOTICE_MS)
    assert failover.monitors[failover.home_zone].state is ZoneState.DARK
    return now + NOTICE_MS


def test_a_session_plays_only_in_its_home_zone_while_that_is_up() -> None:
    decision = failover_with().choose_zones(10.0, 1, SAFE)
    assert decision == ZoneDecision(barred=(1, 2))


def test_an_overflow_tier_is_allowed_while_the_home_zone_is_up_and_is_not_preferred() -> None:
    decision = failover_with(home_zone=1).choose_zones(10.0, 1, SAFE)
    assert decision.barred == (0,) and decision.preferred == (("zone", 1),) and decision.spill_zone == 2


def test_a_title_that_the_home_zone_does_not_hold_is_unrestricted() -> None:
    failover = failover_with()
    assert failover.choose_zones(10.0, 1, SAFE, frozenset({4})) == ZoneDecision()
    assert failover.choose_zones(10.0, 2, SAFE, frozenset({1, 4})).barred == (1, 2)


def test_sessions_of_a_lost_zone_use_the_first_tier_then_the_next_then_are_refused() -> None:
    failover = failover_with()
    now = lose_home_zone(failover, 1000.0, 1, 2)
    spill_zones = [failover.choose_zones(now, n, SAFE).spill_zone for n in range(200)]
    first, second = spill_zones.count(1), spill_zones.count(2)
    assert spill_zones == [1] * first + [2] * second + [-1] * (200 - first - second)
    links_kb = 4 * ZONE_SETTINGS.link_kb_per_weight
    floor_kb = ZONE_SETTINGS.ladder_kb[0]
    # the intake of hall-b (20%) binds before its tier (25%)
    used = [failover.shares[n].used / 1e6 * limit for n, (_, limit) in enumerate(ZONE_SETTINGS.limits)]
    assert used[0] <= 0.2 and used[1] <= 0.1 and used[3] <= 0.2
    assert used[0] > 0.2 - floor_kb / links_kb and used[1] > 0.1 - floor_kb / links_kb
    assert failover.choose_zones(now, 999, SAFE) == ZoneDecision(barred=(0, 1, 2))  # refused at once
    for n in range(200):
        failover.release(now, n)
    assert [s.used for s in failover.shares] == [0] * len(failover.shares)


def test_a_class_that_may_not_spill_is_refused() -> None:
    failover = failover_with()
    now = lose_home_zone(failover, 1000.0, 1, 2)
    assert failover.choose_zones(now, 1, NO_SPILL).barred == (0, 1, 2)


def test_a_tier_whose_zone_is_lost_is_skipped() -> None:
    failover = failover_with()
    now = lose_home_zone(failover, 1000.0, 2)  # hall-b is lost as well
    assert failover.choose_zones(now, 1, SAFE).spill_zone == 2


def test_a_spilled_session_goes_above_its_floor_only_while_many_units_are_free() -> None:
    failover = failover_with()
    now = lose_home_zone(failover, 1000.0, 1, 2)
    caps = [
        d.rung_cap for d in (failover.choose_zones(now, n, SAFE) for n in range(200)) if d.spill_zone == 1
    ]
    assert caps[0] == 3 and caps[-1] == 0 and caps == sorted(caps, reverse=True)


def test_the_reserve_for_premium_sessions_follows_method_ii() -> None:
    failover = failover_with(settings=replace(ZONE_SETTINGS, intakes=()))
    now = lose_home_zone(failover, 1000.0, 1)
    request_id, low, premium = 0, 0, 0
    for _ in range(400):
        now += 100
        request_id += 1
        low += failover.choose_zones(now, request_id, SAFE).spill_zone == 1
        request_id += 1
        premium += failover.choose_zones(now, request_id, PAID).spill_zone == 1
        for old in [n for n, reservation in failover.sessions.items() if now - reservation.since > 4000]:
            failover.release(now, old)
    assert failover.reserves[0].quota > 0
    assert premium > low


def test_the_set_up_rate_into_a_zone_is_limited() -> None:
    settings = replace(ZONE_SETTINGS, intakes=(Intake(1, 0.0, per_s=5.0),), tiers=(Tier(0, 1, 1.0),))
    failover = failover_with(settings=settings)
    now = lose_home_zone(failover, 1000.0, 1, 2)
    times = [now + 10 * n for n in range(400)]
    spilled = [t for n, t in enumerate(times) if failover.choose_zones(t, n, SAFE).spill_zone == 1]
    for since in times:
        # the full bucket of one second, the rate of this second, and one token
        assert sum(since <= t < since + 1000 for t in spilled) <= 5 + 5 + 1
    assert len(spilled) == pytest.approx(5 * 4 + 5, abs=3)  # the rate, after the full bucket


def test_the_ramps_of_all_fronts_together_stay_within_the_rate_of_the_zone() -> None:
    fronts, sent = 8, []
    for number in range(fronts):
        failover = ZoneFailover(ZONE_SETTINGS, number, fronts, 0, 1, Random(number), 0.0)
        failover.on_list(0.0, servers_of(0, 1, 2), True)
        now = lose_home_zone(failover, 1000.0, 1, 2)
        failover.on_list(now, servers_of(0, ready_at=now, first=100), True)
        assert failover.monitors[0].state is ZoneState.RETURNING
        for n in range(int(ZONE_SETTINGS.timing.ramp_ms / 10)):
            t = now + 10 * n
            decision = failover.choose_zones(t, n, NO_SPILL)
            if 0 not in decision.barred:
                failover.on_set_up(t, n, 100)
                failover.release(t, n)
                sent.append(t - now)
    monitor, span = failover.monitors[0], 500.0
    for since in range(0, int(ZONE_SETTINGS.timing.ramp_ms - span), 100):
        bound = span * monitor.set_up_rate(now + since + span) + fronts
        assert sum(since <= t < since + span for t in sent) <= bound
    assert len(sent) > 50


def test_further_set_ups_in_a_recovering_zone_take_tokens_in_advance() -> None:
    failover = failover_with()
    now = lose_home_zone(failover, 1000.0, 1, 2)
    failover.on_list(now, servers_of(0, ready_at=now, first=100), True)
    while 0 in failover.choose_zones(now, 1, NO_SPILL).barred:
        now += 10
    for _ in range(3):
        failover.on_set_up(now, 1, 100)
    assert failover.ramp_bucket.tokens < -1.5


def test_an_unused_ramp_token_is_returned() -> None:
    failover = failover_with()
    now = lose_home_zone(failover, 1000.0, 1, 2)
    failover.on_list(now, servers_of(0, ready_at=now, first=100), True)
    while 0 in failover.choose_zones(now, 1, NO_SPILL).barred:
        now += 10
    tokens = failover.ramp_bucket.tokens
    failover.release(now, 1)
    assert failover.ramp_bucket.tokens == pytest.approx(tokens + 1)


def test_units_are_released_when_the_session_plays_in_its_home_zone() -> None:
    failover = failover_with()
    failover.on_list(1000.0, servers_of(1, 2), True)  # failing: the home zone is tried first
    failover.on_list(1100.0, servers_of(0, 1, 2), True)
    decision = failover.choose_zones(1100.0, 1, SAFE)
    assert decision.barred == (2,) and decision.preferred == (("zone", 0),)
    assert failover.shares[0].used > 0
    failover.on_playing(1200.0, 1, 0)
    assert failover.shares[0].used == 0


def test_a_paid_session_is_never_a_probe() -> None:
    failover = failover_with(zones=(0, 1, 2))
    for t in range(1000, 6000, 100):
        for n in range(4):
            failover.on_attempt_result(float(t), n, Outcome.TIMEOUT)
        failover.update_states(float(t))
    assert failover.monitors[0].state is ZoneState.DARK
    assert 0 in failover.choose_zones(9000.0, 1, PAID).barred
    assert 0 not in failover.choose_zones(9000.0, 2, SAFE).barred
    assert 0 in failover.choose_zones(9010.0, 3, SAFE).barred  # one probe at a time


def test_restored_sessions_count_and_block_a_tier_that_they_exceed() -> None:
    failover = failover_with()
    now = lose_home_zone(failover, 1000.0, 1, 2)
    for n in range(80):
        failover.restore_session(now, 1000 + n, SAFE, 3, 10 + n % 4)  # they play in hall-b
    assert failover.shares[0].free() < 0 and failover.choose_zones(now, 1, SAFE).spill_zone == 2


def test_overrides_reach_all_fronts_survive_a_restart_and_the_latest_one_holds() -> None:
    a, b = failover_with(fronts=2), ZoneFailover(ZONE_SETTINGS, 1, 2, 1, 1, Random(2), 0.0)
    a.members = b.members = (0, 1)
    assert a.set_override(2, OperatorOverride.HOLD, 100.0)
    b.receive(1.0, 0, a.build_message(1.0, 1))
    assert b.monitors[2].override is OperatorOverride.HOLD
    assert not b.set_override(2, OperatorOverride.NONE, 50.0)  # an earlier one that arrived late
    restarted = ZoneFailover(ZONE_SETTINGS, 1, 2, 1, 2, Random(2), 0.0, saved_state=b.serialize())
    restarted.update_states(2.0)
    assert restarted.monitors[2].state is ZoneState.DARK and restarted.status(2.0)["halls"][2]["held_out"]
    assert restarted.set_override(2, OperatorOverride.NONE, 200.0)
    a.receive(3.0, 1, restarted.build_message(3.0, 0))
    assert a.monitors[2].override is OperatorOverride.NONE


def test_only_overrides_are_restored_from_a_state_with_other_settings() -> None:
    old = failover_with(fronts=2)
    old.set_override(1, OperatorOverride.HOLD, 100.0)
    old.shares[0].lend(1, 1000)
    other = replace(ZONE_SETTINGS, tiers=ZONE_SETTINGS.tiers[:1])
    new = ZoneFailover(other, 0, 2, 0, 7, Random(1), 0.0, saved_state=old.serialize())
    assert new.monitors[1].override is OperatorOverride.HOLD and new.incarnation == 7
    assert new.shares[0].capacity() == equal_share(0, 2)


@pytest.mark.parametrize("data", [b"\xff\xff", b"\x0a"])
def test_unreadable_messages_are_counted_and_unreadable_state_is_refused(data: bytes) -> None:
    failover = failover_with(fronts=2)
    failover.receive(1.0, 1, data)
    assert failover.counts["unreadable"] == 1
    with pytest.raises(ValueError, match="cannot be read"):
        failover.restore(data)


def module() -> decide.Front:
    settings = i.Settings(
        classes=ZONE_SETTINGS.classes,
        ladder_kb=ZONE_SETTINGS.ladder_kb,
        ladder_worth=(0.25, 0.5, 0.8, 1.0),
        places_by_kind=ZONE_SETTINGS.places_by_kind,
        link_kb_per_weight=320.0,
        cells=6,
    )
    front = decide.Front(settings, 1)
    front.handle(0.0, [i.ServerList(i.ListKind.FULL, 1, tuple(servers_of(0, 1, 2)))])
    return front


def test_the_module_sends_nothing_to_a_barred_zone() -> None:
    front = module()
    zones = {s.id: s.zone for s in servers_of(0, 1, 2)}
    for n in range(60):
        bars = ((), (0,), (0, 1), (0, 1, 2))[n % 4]
        session = i.NewSession(n, SAFE, n, n, 1000.0, 3, 0, 6, advice=i.Advice(bars=bars))
        actions = front.handle(1.0 + n, [session])
        attempted = [a.server for a in actions if isinstance(a, i.SetUp)]
        assert all(zones[s] not in bars for s in attempted)
        assert bool(attempted) == (len(bars) < 3)
        assert len(bars) < 3 or any(isinstance(a, i.Refuse) for a in actions)


@given(st.binary(max_size=300))
def test_no_message_bytes_raise_or_change_a_share(data: bytes) -> None:
    failover = failover_with(fronts=2)
    before = [s.capacity() for s in failover.shares]
    failover.receive(1.0, 1, data)
    failover.tick(1000.0)
    # nothing is lent without the digest of the settings and the current incarnation
    assert [s.capacity() for s in failover.shares] == before


def receive_need(failover: ZoneFailover, now: float, limit: int) -> None:
    other = ZoneFailover(ZONE_SETTINGS, 1, failover.fronts, 2, 1, Random(9), 0.0)
    other.peer_incarnations[0] = failover.incarnation
    other.shares[limit].need = 1000
    failover.receive(now, 1, other.build_message(now, 0))


def test_sessions_move_home_when_other_fronts_need_their_units_and_the_home_zone_is_up() -> None:
    failover = failover_with(fronts=2)
    now = lose_home_zone(failover, 1000.0, 1, 2)
    for request_id, cls in enumerate((PAID, SAFE, SAFE, SAFE)):
        assert failover.choose_zones(now, request_id, cls).spill_zone == 1
        failover.on_playing(now, request_id, 10)
    receive_need(failover, now, 0)
    failover.tick(now + 600)
    assert failover.pending_moves == []  # the home zone is not up
    failover.on_list(now, servers_of(0, 1, 2, ready_at=1.0), True)
    while failover.monitors[0].state is not ZoneState.UP:
        now += 500
        failover.tick(now)
    assert failover.pending_moves == []  # no front needs units
    for _ in range(40):
        now += failover.message_period_ms()
        receive_need(failover, now, 0)
        failover.tick(now)
    assert sorted(failover.pending_moves) == [1, 2, 3] and failover.counts["brought_home"] == 3


def test_the_module_moves_only_playing_sessions_that_are_not_paid() -> None:
    front, moved = module(), []
    for n, cls in enumerate((SAFE, PAID)):
        session = i.NewSession(n, cls, n, n, 1000.0, 3, 0, 6)
        set_ups = [a for a in front.handle(1.0, [session]) if isinstance(a, i.SetUp)]
        advised = [i.AdviceChanged(n, i.Advice(move=True))]
        moved += [a for a in front.handle(2.0, advised) if isinstance(a, i.Move)]  # does not play yet
        playing = i.Playing(n, 0, set_ups[0].server, 20.0)
        moved += [a for a in front.handle(3.0, [playing, *advised]) if isinstance(a, i.Move)]
    assert moved == [i.Move(0)]
