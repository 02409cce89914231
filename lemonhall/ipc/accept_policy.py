"""Decides whether a worker accepts another viewer connection. Pure: no I/O, no clock.

All workers wait on one shared listener, so a worker that hangs delays no viewer, and one that dies loses no
connection that has not been accepted. On its own this favours the workers that wake first; therefore each
worker is told the mean number of viewers and stops accepting while it is well above that mean.
"""

from __future__ import annotations

# A worker may exceed the mean by this fraction of it and by this many viewers.
MEAN_TOLERANCE, MEAN_SLACK_VIEWERS = 0.1, 8.0


def may_accept(own_viewers: int, mean_viewers: float, mean_age_s: float, stale_s: float = 2.0) -> bool:
    """Whether a worker may accept another viewer.

    `own_viewers` and `mean_viewers` are counts of the same moment, so that a worker is not considered too
    full because it has accepted many viewers since. A mean older than `stale_s` does not apply: viewers must
    not be refused because the decider has ended.
    """
    return mean_age_s > stale_s or own_viewers <= mean_viewers * (1 + MEAN_TOLERANCE) + MEAN_SLACK_VIEWERS
