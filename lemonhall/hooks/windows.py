"""Counters with a window. Memory is bounded, and a count is never too small.

A window is kept in twenty parts. The part that lies half outside still counts, so that "at most 20 in 10 s"
holds for every 10 s there are; a count may be too large by what came in that one part.
"""

from __future__ import annotations

from collections import deque
from typing import Any

PARTS = 20
KEYS_MOST = 1000


class Window:
    """Additions by key. Times are milliseconds; a step back is taken as standing still."""

    def __init__(self, window_ms: float, keys_most: int = KEYS_MOST) -> None:
        self.window_ms, self.part_ms = window_ms, window_ms / PARTS
        self.keys_most = keys_most
        self.by_key: dict[Any, deque[list[float]]] = {}  # [number of the part, additions]
        self.latest = float("-inf")
        self.turned_away = 0  # additions under a new key while there were too many

    def clock(self, now_ms: float) -> float:
        self.latest = max(self.latest, now_ms)
        return self.latest

    def _trim(self, key: Any, now_ms: float) -> deque[list[float]] | None:
        parts = self.by_key.get(key)
        if parts is None:
            return None
        while parts and (parts[0][0] + 1) * self.part_ms <= now_ms - self.window_ms:
            parts.popleft()
        if not parts:
            del self.by_key[key]
            return None
        return parts

    def count(self, key: Any, now_ms: float) -> int:
        parts = self._trim(key, self.clock(now_ms))
        return int(sum(n for _, n in parts)) if parts else 0

    def has_room(self, key: Any, now_ms: float) -> bool:
        """Whether an addition under this key fits; looks for keys that have run out if it does not."""
        now_ms = self.clock(now_ms)
        if key in self.by_key or len(self.by_key) < self.keys_most:
            return True
        for known in list(self.by_key):
            self._trim(known, now_ms)
        return len(self.by_key) < self.keys_most

    def add(self, key: Any, now_ms: float) -> None:
        now_ms = self.clock(now_ms)
        part = now_ms // self.part_ms
        parts = self.by_key.setdefault(key, deque())
        if parts and parts[-1][0] == part:
            parts[-1][1] += 1
        else:
            parts.append([part, 1])


class Lately:
    """How often something happened in the last seconds, at most 60; kept by the second."""

    SPAN_S = 60

    def __init__(self) -> None:
        self.by_second: deque[list[int]] = deque()
        self.latest = 0

    def add(self, now_ms: float) -> None:
        self.latest = max(self.latest, int(now_ms // 1000))
        if self.by_second and self.by_second[-1][0] == self.latest:
            self.by_second[-1][1] += 1
        else:
            self.by_second.append([self.latest, 1])
        while self.by_second[0][0] < self.latest - self.SPAN_S:
            self.by_second.popleft()

    def count(self, window_ms: float, now_ms: float) -> int:
        """Never too few: the second that lies half outside counts."""
        since = int((max(now_ms, self.latest * 1000) - window_ms) // 1000)
        return sum(n for second, n in self.by_second if second >= since)
