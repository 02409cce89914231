"""Which worker takes a connection: whoever is awake, but none much above the mean. Pure.

All workers wait at one listener, so a worker that hangs keeps nobody waiting and one that dies loses nobody
who has not been taken. Left to itself that favours whoever wakes first; so each is told the mean and steps
back while it has more than its part.
"""

from __future__ import annotations

OVER, SLACK = 0.1, 8.0  # above the mean: part of it, and viewers


def may_take(own: int, mean: float, told_s_ago: float, stale_s: float = 2.0) -> bool:
    """Whether a worker takes another viewer. `own` and `mean` are of one moment, so that one who has taken
    many since then is not held for too full. What was told long ago does not bind: a decider that is gone
    must not keep viewers out."""
    return told_s_ago > stale_s or own <= mean * (1 + OVER) + SLACK
