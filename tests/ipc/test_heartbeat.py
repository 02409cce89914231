"""Who is held for hung, and who takes the next viewer."""

from __future__ import annotations

from lemonhall.ipc.accept_policy import may_accept
from lemonhall.ipc.heartbeat import HeartbeatMonitor


def test_silence_is_named_once_and_our_own_sleep_counts_for_nobody() -> None:
    pulse = HeartbeatMonitor(timeout_s=6.0, tick_s=0.25)
    pulse.record(1, 0.0)
    pulse.record(2, 0.0)
    now = 0.0
    named = []
    while now < 7.0:
        now += 0.25
        pulse.record(1, now)
        named += pulse.tick(now)
    assert named == [2]
    pulse.record(2, now)  # awake again
    assert pulse.tick(now + 60.0) == []  # we did not run
    assert pulse.tick(now + 60.25) == []
    pulse.forget(1)
    later = [pulse.tick(now + 60.25 + 0.25 * n) for n in range(1, 30)]
    assert sum(later, []) == [2]


def test_one_far_over_the_mean_steps_back_until_nobody_says_what_the_mean_is() -> None:
    assert may_accept(100, 100.0, 0.1) and may_accept(117, 100.0, 0.1)
    assert not may_accept(200, 100.0, 0.1)
    assert may_accept(200, 100.0, 10.0)
    assert may_accept(5, 0.0, 0.1)  # a few are no lot
