"""Remembers for a while the refs of set-ups that may have run, so that none runs twice."""

from __future__ import annotations


class UsedRefs:
    """Holds a bounded number of refs, the newest, each for `ttl_s` seconds."""

    def __init__(self, max_count: int, ttl_s: float) -> None:
        self.max_count, self.ttl_s = max_count, ttl_s
        self.used_at: dict[str, float] = {}  # oldest first

    def add(self, ref: str, now: float) -> None:
        self.used_at.pop(ref, None)
        self.used_at[ref] = now
        while len(self.used_at) > self.max_count or self._oldest_at() < now - self.ttl_s:
            del self.used_at[next(iter(self.used_at))]

    def contains(self, ref: str, now: float) -> bool:
        used_at = self.used_at.get(ref)
        return used_at is not None and used_at >= now - self.ttl_s

    def _oldest_at(self) -> float:
        return next(iter(self.used_at.values()))
