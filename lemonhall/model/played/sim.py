"""Simulated time: a heap of calls. Times are milliseconds; calls of one time run in the order of asking."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Call:
    __slots__ = ("args", "call")

    def __init__(self, call: Callable[..., object] | None, args: tuple[Any, ...]) -> None:
        self.call, self.args = call, args

    def cancel(self) -> None:
        self.call, self.args = None, ()


class Sim:
    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[tuple[float, int, Call]] = []
        self.order = 0
        self.calls = 0

    def at(self, when: float, call: Callable[..., object], *args: Any) -> Call:
        made = Call(call, args)
        self.order += 1
        heapq.heappush(self.heap, (max(when, self.now), self.order, made))
        return made

    def after(self, ms: float, call: Callable[..., object], *args: Any) -> Call:
        return self.at(self.now + ms, call, *args)

    def run(self, until: float) -> None:
        """All calls up to a time; the clock then stands there."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, due = heapq.heappop(heap)
            if due.call is not None:
                self.calls += 1
                due.call(*due.args)
        self.now = until
