"""Phases only forward in a life, each wait with its bound; a life ends when the front was stopped."""

from __future__ import annotations

from math import inf

from hypothesis import given, settings
from hypothesis import strategies as st

from lemonhall.recovery.phases import Phase, Phases, PhaseTimeouts

STEP = st.tuples(
    st.floats(0, 900), st.sampled_from(["list", "old", "hear", "view", "calm", "strain", "look"])
)


@settings(max_examples=150, deadline=None)
@given(st.lists(STEP, max_size=60), st.integers(0, 9), st.floats(50, 1000))
def test_phases_go_forward_and_no_wait_is_longer_than_its_bound(
    steps: list[tuple[float, str]], others: int, period: float
) -> None:
    waits = PhaseTimeouts(period=period)
    made, now, members = Phases(0.0, waits, others), 0.0, [0]
    reached = []
    for passed, what in steps:
        until = now + passed
        while made.due() <= until:  # the desk's timer
            now = max(now, made.due())
            reached += [(e.phase, now) for e in made.look(now)]
        now = until
        if what in ("list", "old"):
            made.listed(now if what == "list" else -1.0)
        elif what == "hear":
            made.hear(len(made.heard) + 1)
        elif what == "view":
            members.append(len(members))
            made.view(now, tuple(members))
        made.calm = what != "strain"
        reached += [(e.phase, now) for e in made.look(now)]
    order = [phase for phase, _ in reached]
    assert order == sorted(set(order))
    at = made.entered
    bounds = [
        (Phase.NOTHING, Phase.LISTED, waits.list_ms),
        (Phase.LISTED, Phase.HEARD, waits.hear_ms),
        (Phase.HEARD, Phase.AGREED, waits.agree_ms),
    ]
    for before, after, bound in bounds:
        if before in at:
            assert at.get(after, inf if now < at[before] + bound else -inf) > -inf
            assert at.get(after, at[before]) <= at[before] + bound + 1e-6
    if Phase.FULL in at:
        assert made.fresh


def test_what_was_lacking_is_named() -> None:
    made = Phases(0.0, PhaseTimeouts(), 3)
    said = []
    for now in (2000.0, 5000.0, 11_000.0, 60_000.0):
        said += made.look(now)
    assert [(e.phase, bool(e.missing)) for e in said] == [
        (Phase.LISTED, True),
        (Phase.HEARD, True),
        (Phase.AGREED, False),  # nobody came and nobody went
    ]
    made.calm = True
    assert made.look(61_000.0) == []  # never full by an old list
    made.listed(61_000.0)
    assert [e.phase for e in made.look(61_000.0)] == [Phase.FULL]


def test_a_list_of_before_is_no_evidence() -> None:
    made = Phases(5000.0, PhaseTimeouts(), 0)
    made.listed(4999.0)
    assert made.look(5001.0) == []
    made.listed(5000.0)
    assert made.look(5002.0)[0].phase is Phase.LISTED
