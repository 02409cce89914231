"""Phases only advance within an incarnation, and each wait ends by its timeout."""

from __future__ import annotations

from math import inf

from hypothesis import given, settings
from hypothesis import strategies as st

from lemonhall.recovery.phases import Phase, PhaseTimeouts, PhaseTracker

STEP = st.tuples(
    st.floats(0, 900), st.sampled_from(["list", "old", "report", "members", "calm", "strain", "update"])
)


@settings(max_examples=150, deadline=None)
@given(st.lists(STEP, max_size=60), st.integers(0, 9), st.floats(50, 1000))
def test_phases_advance_and_no_wait_exceeds_its_timeout(
    steps: list[tuple[float, str]], other_fronts: int, period_ms: float
) -> None:
    timeouts = PhaseTimeouts(period_ms=period_ms)
    tracker, now, members = PhaseTracker(0.0, timeouts, other_fronts), 0.0, [0]
    entered = []
    for passed_ms, what in steps:
        until = now + passed_ms
        while tracker.next_due_at() <= until:  # the driver's timer
            now = max(now, tracker.next_due_at())
            entered += [(e.phase, now) for e in tracker.update(now)]
        now = until
        if what in ("list", "old"):
            tracker.on_list(now if what == "list" else -1.0)
        elif what == "report":
            tracker.on_report(len(tracker.reporting_fronts) + 1)
        elif what == "members":
            members.append(len(members))
            tracker.on_members(now, tuple(members))
        tracker.calm = what != "strain"
        entered += [(e.phase, now) for e in tracker.update(now)]
    order = [phase for phase, _ in entered]
    assert order == sorted(set(order))
    at = tracker.entered_at
    bounds = [
        (Phase.NOTHING, Phase.LISTED, timeouts.list_ms),
        (Phase.LISTED, Phase.HEARD, timeouts.report_ms),
        (Phase.HEARD, Phase.AGREED, timeouts.agreement_ms),
    ]
    for before, after, bound in bounds:
        if before in at:
            assert at.get(after, inf if now < at[before] + bound else -inf) > -inf
            assert at.get(after, at[before]) <= at[before] + bound + 1e-6
    if Phase.FULL in at:
        assert tracker.has_fresh_list


def test_a_phase_entered_by_timeout_names_the_missing_evidence() -> None:
    tracker = PhaseTracker(0.0, PhaseTimeouts(), 3)
    entered = []
    for now in (2000.0, 5000.0, 11_000.0, 60_000.0):
        entered += tracker.update(now)
    assert [(e.phase, bool(e.missing)) for e in entered] == [
        (Phase.LISTED, True),
        (Phase.HEARD, True),
        (Phase.AGREED, False),  # the members did not change
    ]
    tracker.calm = True
    assert tracker.update(61_000.0) == []  # never full with an outdated list
    tracker.on_list(61_000.0)
    assert [e.phase for e in tracker.update(61_000.0)] == [Phase.FULL]


def test_a_list_from_before_the_start_is_no_evidence() -> None:
    tracker = PhaseTracker(5000.0, PhaseTimeouts(), 0)
    tracker.on_list(4999.0)
    assert tracker.update(5001.0) == []
    tracker.on_list(5000.0)
    assert tracker.update(5002.0)[0].phase is Phase.LISTED
