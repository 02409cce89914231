"""How many set-ups a front may begin a second while it comes back. Pure.

Seen at one server, set-ups come at random: where x are usual in 100 ms, peaks of x + 3 sqrt(x) are as well
(Poisson). A fleet that comes back may make that peak twice as high and no more, which says how many it may
ask for in all. Each front's part of it goes by what it was usually asked for and by the mean of all, half
each: viewers whose front is still down come to others. The parts of all fronts together are never more than
the whole, as long as none goes by fewer fronts than there are (members/share.py sees to that).
"""

from __future__ import annotations

from math import exp, sqrt

SPAN_S = 0.1  # in which set-ups at one server are counted
SPREADS = 3.0  # of a peak over the mean
PEAK = 2.0  # times the usual peak
WINDOW_S = 30.0  # of the memory for what is usual
KNOWN_S = 5.0  # less than that was seen of it: not known
UNKNOWN_PER_SERVER = 1.0  # set-ups a server in the span, where nobody can say what is usual


def times_usual(per_server: float) -> float:
    """How many times the usual rate doubles its peak; `per_server`: usual set-ups at one in the span. 4
    down to 2."""
    if per_server <= 0:
        return PEAK * PEAK
    peak = PEAK * (per_server + SPREADS * sqrt(per_server))
    root = (sqrt(SPREADS * SPREADS + 4 * peak) - SPREADS) / 2
    return root * root / per_server


def plan(usual: float, servers: int) -> float:
    """Set-ups a second of the whole fleet while it comes back; `usual`: of the whole fleet."""
    return usual * times_usual(usual * SPAN_S / max(1, servers))


def part(own: float, mean: float, before: int, fronts: int, servers: int) -> float:
    """Set-ups a second of one front. `own`, `mean`: usual ones of it and of a front; `before`: fronts that
    these were seen of; `fronts`: that there are now, or more."""
    whole = mean * before
    if whole <= 0:
        return 0.0
    here = own * min(1.0, before / max(1, fronts))
    return plan(whole, servers) / whole * (here + whole / max(1, fronts)) / 2


def unknown(fronts: int, servers: int) -> float:
    """The same where nobody can say what is usual."""
    return UNKNOWN_PER_SERVER * max(1, servers) / SPAN_S / max(1, fronts)


class Usual:
    """What a front is asked for a second, as a decayed count. Times in ms."""

    def __init__(self, now: float) -> None:
        self.count, self.at, self.seen_s = 0.0, now, 0.0

    def pass_on(self, now: float, counts: bool) -> None:
        """`counts`: the time up to now is of the kind that is remembered."""
        passed = max(0.0, now - self.at) / 1000
        self.at = max(now, self.at)
        if counts:
            kept = exp(-passed / WINDOW_S)
            self.count *= kept
            self.seen_s = self.seen_s * kept + WINDOW_S * (1 - kept)

    def per_s(self) -> float | None:
        return self.count / self.seen_s if self.seen_s >= WINDOW_S * (1 - exp(-KNOWN_S / WINDOW_S)) else None
