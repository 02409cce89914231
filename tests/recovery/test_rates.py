"""Rates of recovering fronts: together never more than the fleet rate, whose peak is twice the usual one."""

from __future__ import annotations

from math import isclose, sqrt

from hypothesis import given
from hypothesis import strategies as st

from lemonhall.recovery import rates

RATES = st.floats(0.0, 1e4)


def peak(x: float) -> float:
    return x + rates.STANDARD_DEVIATIONS * sqrt(x)


@given(st.floats(1e-6, 1e5))
def test_the_rate_factor_doubles_the_usual_peak(per_server: float) -> None:
    factor = rates.rate_factor(per_server)
    assert 2 <= factor <= 4 + 1e-9
    assert isclose(peak(factor * per_server), rates.PEAK_FACTOR * peak(per_server), rel_tol=1e-6)


@given(st.lists(RATES, min_size=1, max_size=60), st.integers(0, 30), st.integers(1, 100))
def test_the_front_rates_add_up_to_at_most_the_fleet_rate(
    usual: list[float], away: int, servers: int
) -> None:
    """With any fronts down, as long as each counts no fewer fronts than there are."""
    fronts, mean = len(usual), sum(usual) / len(usual)
    up = usual[: max(1, fronts - away)]
    for counted in (fronts, fronts + 7, len(up)):
        front_rates = [rates.front_rate(own, mean, fronts, counted, servers) for own in up]
        assert sum(front_rates) <= rates.fleet_rate(sum(usual), servers) * (1 + 1e-9)


def test_the_request_rate_is_known_after_some_time_and_only_of_observed_time() -> None:
    usual = rates.RequestRate(0.0)
    for n in range(1, 61):
        usual.advance(n * 100.0, True)
        usual.count += 1
    known = usual.per_s()
    assert known is not None and 9 < known < 11.5
    usual.advance(60_000.0, False)  # during a recovery nothing is observed, and nothing decays
    assert usual.per_s() == known
    assert rates.RequestRate(0.0).per_s() is None
