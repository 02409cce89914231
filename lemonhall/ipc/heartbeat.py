"""Detects peers that have been silent for too long, also when the observer itself was suspended. Pure."""

from __future__ import annotations


class HeartbeatMonitor:
    """`timeout_s`: silence after which a peer counts as hung.

    `tick` is called every `tick_s`. When a call comes much later than that, this process was not running, and
    the silence of all peers is counted from then.
    """

    def __init__(self, timeout_s: float, tick_s: float) -> None:
        self.timeout_s, self.tick_s = timeout_s, tick_s
        self.last_seen: dict[int, float] = {}
        self.reported: set[int] = set()
        self.last_tick: float | None = None

    def record(self, peer: int, now: float) -> None:
        self.last_seen[peer] = now
        self.reported.discard(peer)

    def forget(self, peer: int) -> None:
        self.last_seen.pop(peer, None)
        self.reported.discard(peer)

    def tick(self, now: float) -> list[int]:
        """Returns the peers that have been silent for too long; each is reported once per silence."""
        suspended = self.last_tick is not None and now - self.last_tick > 4 * self.tick_s
        self.last_tick = now
        if suspended:
            self.last_seen = dict.fromkeys(self.last_seen, now)
            return []
        hung = [p for p, at in self.last_seen.items() if now - at > self.timeout_s and p not in self.reported]
        self.reported.update(hung)
        return hung
