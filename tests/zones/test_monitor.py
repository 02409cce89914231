"""The state of a zone: real losses are detected, and conditions that resemble one are not."""

from __future__ import annotations

from dataclasses import replace

import pytest

from lemonhall.zones import OperatorOverride, ZoneMonitor, ZoneState
from tests.zones.fixtures import ZONE_SETTINGS, server, servers_of

NOTICE_MS = ZONE_SETTINGS.timing.notice_ms
OTHERS = servers_of(1, 2)


def monitor_with(servers: int = 4) -> ZoneMonitor:
    monitor = ZoneMonitor(ZONE_SETTINGS, 0)
    monitor.on_list(0.0, servers_of(0)[:servers], True, True)
    monitor.update(0.0)
    return monitor


def run(monitor: ZoneMonitor, since: float, until: float) -> list[ZoneState]:
    """Updates the monitor ten times per notice time. Returns the states that it changed to."""
    found, now = [], since
    while now <= until:
        if change := monitor.update(now):
            found.append(change.state)
        now += NOTICE_MS / 10
    return found


def test_a_list_that_names_only_servers_of_other_zones_is_a_loss_once_confirmed() -> None:
    monitor = monitor_with()
    monitor.on_list(1000.0, [], True, True)
    assert run(monitor, 1000.0, 1000.0 + 3 * NOTICE_MS) == [ZoneState.FAILING, ZoneState.DARK]
    assert "the list names no ready server" in monitor.reason


@pytest.mark.parametrize(("others", "fresh"), [(False, True), (True, False), (False, False)])
def test_an_empty_or_outdated_list_is_no_evidence(others: bool, fresh: bool) -> None:
    monitor = monitor_with()
    monitor.on_list(1000.0, [], others, fresh)
    assert run(monitor, 1000.0, 1000.0 + 3 * NOTICE_MS) == []


def test_a_loss_shorter_than_the_notice_time_ends_without_a_dark_zone() -> None:
    monitor = monitor_with()
    monitor.on_list(1000.0, [], True, True)
    assert run(monitor, 1000.0, 1000.0 + NOTICE_MS / 2) == [ZoneState.FAILING]
    monitor.on_list(1000.0 + NOTICE_MS / 2, servers_of(0), True, True)
    assert run(monitor, 1000.0 + NOTICE_MS / 2, 1000.0 + 4 * NOTICE_MS) == [ZoneState.UP]


def test_failures_on_one_rack_are_not_the_loss_of_a_zone() -> None:
    monitor = monitor_with()
    for now in range(1000, 6000, 200):
        monitor.on_failure(now, 0)
        monitor.on_failure(now, 2)  # the other server of rack 0
        assert monitor.update(now) is None
    monitor.on_failure(6000.0, 1)
    assert monitor.update(6000.0) is not None  # a server of the other rack fails too, and none answers


def test_failures_beside_successes_are_not_a_loss() -> None:
    monitor = monitor_with()
    for now in range(1000, 6000, 200):
        monitor.on_failure(now, 0)
        monitor.on_failure(now, 1)
        monitor.on_success(now, 2)
        monitor.on_success(now, 3)
        assert monitor.update(now) is None


def test_the_deployment_of_a_few_servers_is_not_a_loss() -> None:
    monitor = monitor_with()
    listed = [server(0, 0, 0, draining=True), server(1, 0, 1, draining=True), *servers_of(0)[2:]]
    monitor.on_list(1000.0, listed, True, True)
    monitor.on_list(1200.0, listed[2:], True, True)
    assert run(monitor, 1000.0, 1000.0 + 5 * NOTICE_MS) == []


def test_an_announced_deployment_of_the_whole_zone_is_a_loss_without_failures() -> None:
    monitor = monitor_with()
    monitor.on_list(1000.0, [server(n, 0, n % 2, draining=True) for n in range(4)], True, True)
    assert run(monitor, 1000.0, 1000.0 + 2 * NOTICE_MS) == [ZoneState.FAILING, ZoneState.DARK]


def lose(monitor: ZoneMonitor, at: float = 1000.0) -> float:
    monitor.on_list(at, [], True, True)
    run(monitor, at, at + 2 * NOTICE_MS)
    assert monitor.state is ZoneState.DARK
    return at + 2 * NOTICE_MS


def recover(monitor: ZoneMonitor, now: float, servers: int = 4) -> None:
    monitor.on_list(now, servers_of(0, ready_at=now, first=100)[:servers], True, True)
    monitor.update(now)
    assert monitor.state is ZoneState.RETURNING


def test_a_recovery_is_ramped_and_half_of_a_zone_gets_half_the_rate() -> None:
    whole, half = monitor_with(), monitor_with()
    for monitor, servers in ((whole, 4), (half, 2)):
        now = lose(monitor)
        recover(monitor, now, servers)
    rates = [
        whole.set_up_rate(now + fraction * ZONE_SETTINGS.timing.ramp_ms) for fraction in (0.0, 0.25, 0.5, 0.9)
    ]
    assert rates == sorted(rates) and rates[0] == pytest.approx(ZONE_SETTINGS.cold_from / 0.5 * rates[2])
    assert half.set_up_rate(now) == pytest.approx(whole.set_up_rate(now) / 2)
    assert run(whole, now, now + 1.1 * ZONE_SETTINGS.timing.ramp_ms) == [ZoneState.UP]


def test_flaps_slow_the_recovery_down_to_the_bound_and_are_forgotten() -> None:
    monitor, now, slowdowns = monitor_with(), 1000.0, []
    for _ in range(5):
        now = lose(monitor, now)
        recover(monitor, now)
        slowdowns.append(monitor.ramp_ms() / ZONE_SETTINGS.timing.ramp_ms)
        now += NOTICE_MS
    assert slowdowns == [1, 2, 4, 4, 4]
    done = now + 5 * ZONE_SETTINGS.timing.ramp_ms
    run(monitor, now, done)
    assert monitor.state is ZoneState.UP and monitor.flaps == 4
    run(monitor, done, done + 5 * ZONE_SETTINGS.timing.flap_memory_ms)
    assert monitor.flaps == 0


def test_a_held_zone_stays_dark_until_it_is_released() -> None:
    monitor = monitor_with()
    monitor.override = OperatorOverride.HOLD
    assert (
        run(monitor, 1000.0, 1000.0 + 5 * NOTICE_MS) == [ZoneState.DARK]
        and monitor.reason == "held out by order"
    )
    assert not monitor.probe_due(1e6)
    monitor.override = OperatorOverride.NONE
    assert run(monitor, 7000.0, 7000.0 + NOTICE_MS) == [ZoneState.RETURNING]


def test_probes_of_a_dark_zone_back_off_until_one_succeeds() -> None:
    monitor, now = monitor_with(), 1000.0
    while monitor.state is not ZoneState.DARK:
        for n in range(4):
            monitor.on_failure(now, n)
        monitor.update(now)
        now += NOTICE_MS / 10
    probes, end = [], now + 20_000
    while now < end:
        if monitor.probe_due(now):
            monitor.record_probe(now)
            monitor.on_failure(now, len(probes) % 4)
            probes.append(now)
        assert monitor.update(now) is None
        now += 50
    gaps = [b - a for a, b in zip(probes, probes[1:], strict=False)]
    assert gaps == sorted(gaps) and gaps[-1] == pytest.approx(
        4 * ZONE_SETTINGS.timing.probe_interval_ms, abs=100
    )
    monitor.on_success(now, 1)
    assert run(monitor, now, now + 3 * NOTICE_MS)[:1] == [ZoneState.RETURNING]


def report(
    monitor: ZoneMonitor, now: float, state: ZoneState, progress: float = 0.0, voters: int = 4
) -> None:
    for front in range(voters):
        monitor.on_report(now, front, state, progress)


def test_reports_of_others_decide_only_at_a_front_without_own_evidence() -> None:
    without_evidence, with_successes = monitor_with(), monitor_with()
    for now in range(20_000, 20_000 + int(3 * NOTICE_MS), 100):
        for monitor in (without_evidence, with_successes):
            report(monitor, now, ZoneState.DARK)
        with_successes.on_success(now, 1)
        without_evidence.update(now)
        with_successes.update(now)
    assert without_evidence.state is ZoneState.DARK and with_successes.state is ZoneState.UP


def test_reports_of_two_fronts_are_too_few() -> None:
    monitor = monitor_with()
    report(monitor, 20_000.0, ZoneState.DARK, voters=2)
    assert monitor.update(20_000.0) is None


def test_own_evidence_of_a_loss_outweighs_the_reports_of_others() -> None:
    monitor, now = monitor_with(), 10_000.0
    while now < 10_000 + 3 * NOTICE_MS:
        report(monitor, now, ZoneState.UP)
        for n in range(4):
            monitor.on_failure(now, n)
        monitor.update(now)
        now += 100
    assert monitor.state is ZoneState.DARK and "attempts failed" in monitor.reason


def test_a_front_started_during_an_outage_takes_a_zone_it_never_saw_for_dark() -> None:
    monitor = ZoneMonitor(ZONE_SETTINGS, 0)
    monitor.on_list(0.0, [], True, True)
    assert run(monitor, 0.0, NOTICE_MS)[:1] == [ZoneState.DARK] and "never" in monitor.reason
    recover(monitor, 3 * NOTICE_MS)


def test_a_front_started_during_a_recovery_joins_the_ramp_of_the_others() -> None:
    monitor = monitor_with()
    report(monitor, 100.0, ZoneState.RETURNING, 0.5)
    change = monitor.update(100.0)
    assert change and change.state is ZoneState.RETURNING
    assert monitor.progress(100.0) == pytest.approx(0.5)
    old = monitor_with()
    old.update(10 * NOTICE_MS)
    report(old, 10 * NOTICE_MS, ZoneState.RETURNING, 0.5)
    assert old.update(10 * NOTICE_MS) is None  # it has seen the zone up all the time


def test_the_ramp_progresses_without_jumps() -> None:
    settings = replace(ZONE_SETTINGS, timing=replace(ZONE_SETTINGS.timing, ramp_ms=1000.0))
    monitor = ZoneMonitor(settings, 0)
    monitor.on_list(0.0, servers_of(0), True, True)
    monitor.update(0.0)
    now = lose(monitor)
    assert monitor.progress(now) == 0.0
    recover(monitor, now)
    progress = [monitor.progress(now + t) for t in range(0, 1200, 100)]
    assert progress == sorted(progress) and progress[0] == 0.0 and progress[-1] == 1.0
