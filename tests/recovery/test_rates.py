"""Parts of the plan: together never more than the whole; the peak at a server at most twice the usual."""

from __future__ import annotations

from math import isclose, sqrt

from hypothesis import given
from hypothesis import strategies as st

from lemonhall.recovery import rates

RATES = st.floats(0.0, 1e4)


def peak(x: float) -> float:
    return x + rates.SPREADS * sqrt(x)


@given(st.floats(1e-6, 1e5))
def test_the_plan_doubles_the_usual_peak(per_server: float) -> None:
    times = rates.times_usual(per_server)
    assert 2 <= times <= 4 + 1e-9
    assert isclose(peak(times * per_server), rates.PEAK * peak(per_server), rel_tol=1e-6)


@given(st.lists(RATES, min_size=1, max_size=60), st.integers(0, 30), st.integers(1, 100))
def test_all_parts_together_are_no_more_than_the_plan(usual: list[float], away: int, servers: int) -> None:
    """Whoever is away, as long as each goes by no fewer fronts than there are."""
    fronts, mean = len(usual), sum(usual) / len(usual)
    there = usual[: max(1, fronts - away)]
    for told in (fronts, fronts + 7, len(there)):
        parts = [rates.part(own, mean, fronts, told, servers) for own in there]
        assert sum(parts) <= rates.plan(sum(usual), servers) * (1 + 1e-9)


def test_what_is_usual_is_known_after_a_while_and_only_of_its_own_time() -> None:
    usual = rates.Usual(0.0)
    for n in range(1, 61):
        usual.pass_on(n * 100.0, True)
        usual.count += 1
    known = usual.per_s()
    assert known is not None and 9 < known < 11.5
    usual.pass_on(60_000.0, False)  # as it comes back nothing is learned, and nothing fades
    assert usual.per_s() == known
    assert rates.Usual(0.0).per_s() is None
