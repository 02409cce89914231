"""The rate of set-ups that a front may start while it recovers. Pure.

At one server set-ups arrive at random: with a mean of x in 100 ms, peaks of x + 3 sqrt(x) are normal
(Poisson). A recovering fleet may double that peak and no more, which bounds the rate of the whole fleet. The
share of each front follows half from its own usual request rate and half from the mean of all fronts, because
viewers of a front that is still down reconnect to other fronts. The shares of all fronts never add up to more
than the whole, as long as no front counts fewer fronts than there are (see members/front_count.py).
"""

from __future__ import annotations

from math import exp, sqrt

SPAN_S = 0.1  # in which set-ups at one server are counted
STANDARD_DEVIATIONS = 3.0  # of a normal peak above the mean
PEAK_FACTOR = 2.0  # of the usual peak
WINDOW_S = 30.0  # time constant of the usual request rate
MIN_OBSERVED_S = 5.0  # with less observation the usual rate is unknown
DEFAULT_SET_UPS_PER_SERVER = 1.0  # in the span, where the usual rate is unknown


def rate_factor(per_server: float) -> float:
    """Factor of the usual rate that doubles its peak, from 4 down to 2. `per_server`: usual set-ups at one
    server in the span."""
    if per_server <= 0:
        return PEAK_FACTOR * PEAK_FACTOR
    peak = PEAK_FACTOR * (per_server + STANDARD_DEVIATIONS * sqrt(per_server))
    root = (sqrt(STANDARD_DEVIATIONS * STANDARD_DEVIATIONS + 4 * peak) - STANDARD_DEVIATIONS) / 2
    return root * root / per_server


def fleet_rate(usual: float, servers: int) -> float:
    """Set-ups/s of the whole fleet while it recovers; `usual`: usual rate of the whole fleet."""
    return usual * rate_factor(usual * SPAN_S / max(1, servers))


def front_rate(own: float, mean: float, fronts_before: int, fronts: int, servers: int) -> float:
    """Set-ups/s of one front. `own`, `mean`: usual rates of this front and of all; `fronts_before`: number of
    fronts when they were measured; `fronts`: number of fronts now, or more."""
    whole = mean * fronts_before
    if whole <= 0:
        return 0.0
    own_now = own * min(1.0, fronts_before / max(1, fronts))
    return fleet_rate(whole, servers) / whole * (own_now + whole / max(1, fronts)) / 2


def default_front_rate(fronts: int, servers: int) -> float:
    """Set-ups/s of one front where the usual rate is unknown."""
    return DEFAULT_SET_UPS_PER_SERVER * max(1, servers) / SPAN_S / max(1, fronts)


class RequestRate:
    """Requests/s at a front, as an exponentially decayed count. Times in ms."""

    def __init__(self, now: float) -> None:
        self.count, self.updated_at, self.observed_s = 0.0, now, 0.0

    def advance(self, now: float, counts: bool) -> None:
        """`counts`: whether the time up to now belongs to normal operation and is observed."""
        passed_s = max(0.0, now - self.updated_at) / 1000
        self.updated_at = max(now, self.updated_at)
        if counts:
            kept = exp(-passed_s / WINDOW_S)
            self.count *= kept
            self.observed_s = self.observed_s * kept + WINDOW_S * (1 - kept)

    def per_s(self) -> float | None:
        """None if the observed time is too short."""
        return (
            self.count / self.observed_s
            if self.observed_s >= WINDOW_S * (1 - exp(-MIN_OBSERVED_S / WINDOW_S))
            else None
        )
