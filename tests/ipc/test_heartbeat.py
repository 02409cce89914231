"""Detection of hung peers, and which workers accept the next viewer."""

from __future__ import annotations

from lemonhall.ipc.accept_policy import may_accept
from lemonhall.ipc.heartbeat import HeartbeatMonitor


def test_a_silent_peer_is_reported_once_and_own_suspension_blames_no_peer() -> None:
    monitor = HeartbeatMonitor(timeout_s=6.0, tick_s=0.25)
    monitor.record(1, 0.0)
    monitor.record(2, 0.0)
    now = 0.0
    hung = []
    while now < 7.0:
        now += 0.25
        monitor.record(1, now)
        hung += monitor.tick(now)
    assert hung == [2]
    monitor.record(2, now)  # running again
    assert monitor.tick(now + 60.0) == []  # this process was suspended
    assert monitor.tick(now + 60.25) == []
    monitor.forget(1)
    later = [monitor.tick(now + 60.25 + 0.25 * n) for n in range(1, 30)]
    assert sum(later, []) == [2]


def test_a_worker_far_above_the_mean_stops_accepting_until_the_mean_is_stale() -> None:
    assert may_accept(100, 100.0, 0.1) and may_accept(117, 100.0, 0.1)
    assert not may_accept(200, 100.0, 0.1)
    assert may_accept(200, 100.0, 10.0)
    assert may_accept(5, 0.0, 0.1)  # the slack allows a few viewers at any mean
