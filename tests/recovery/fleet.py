"""A fleet of machines in simulated time; words between them are lost, late and doubled."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random

from lemonhall.recovery import OutgoingMessage, Phase, PhaseTimeouts, Recovery, StoreCheckpoint


@dataclass
class Front:
    machine: Recovery
    mark: StoreCheckpoint
    entered: dict[Phase, float] = field(default_factory=dict)
    went: list[float] = field(default_factory=list)
    told_off: int = 0


class Fleet:
    """`loss`: chance of a word; lists of now come to each `list_ms` after its start, if at all."""

    def __init__(self, count: int, seed: int, loss: float = 0.0, list_ms: float | None = 300.0) -> None:
        self.random, self.loss, self.list_ms = Random(seed), loss, list_ms
        self.count, self.now, self.order = count, 0.0, 0
        self.fronts: dict[int, Front] = {}
        self.heap: list[tuple[float, int, int, int, bytes]] = []
        self.kept: dict[int, tuple[bytes, StoreCheckpoint]] = {}

    def start(self, number: int, ask: bool = False, mark: StoreCheckpoint | None = None) -> Front:
        data, last = self.kept.get(number, (b"", StoreCheckpoint(1000 + number, 1)))
        made = Recovery(
            self.now,
            number,
            self.count,
            Random(self.random.random()),
            PhaseTimeouts(period=500.0),
            2000.0,
            lambda: self.fronts[number].mark,
        )
        front = self.fronts[number] = Front(made, mark or last)
        made.restore(data)
        if ask:
            made.query_checkpoints(self.now, 1000.0)
        for other in self.fronts.values():
            other.machine.on_view(self.now, tuple(sorted(self.fronts)))
        return front

    def kill(self, number: int) -> None:
        front = self.fronts.pop(number)
        self.kept[number] = front.machine.serialize(), front.mark

    def post(self, sender: int, words: list[OutgoingMessage]) -> None:
        for out in words:
            for _ in range(1 + (self.random.random() < self.loss)):
                if self.random.random() >= self.loss:
                    self.order += 1
                    late = self.random.uniform(0.5, 3.0) + 200 * (self.random.random() < self.loss)
                    heapq.heappush(self.heap, (self.now + late, self.order, sender, out.to, out.data))

    def step(self, until: float) -> None:
        """To the next thing that happens, or to that time."""
        due = min([f.machine.next_tick_at() for f in self.fronts.values()], default=until)
        self.now = max(self.now, min(until, due, self.heap[0][0] if self.heap else until))
        while self.heap and self.heap[0][0] <= self.now:
            _, _, sender, to, data = heapq.heappop(self.heap)
            if to in self.fronts:
                self.post(to, self.fronts[to].machine.receive(self.now, sender, data))
        for number, front in self.fronts.items():
            if front.machine.next_tick_at() <= self.now:
                words, lets = front.machine.tick(self.now)
                self.post(number, words)
                front.went += [self.now] * sum(let.retry_after_ms is None for let in lets)
                front.told_off += sum(let.retry_after_ms is not None for let in lets)
            for one in front.machine.entered_phases:
                front.entered[one.phase] = self.now
            front.machine.entered_phases.clear()

    def run(self, until: float) -> None:
        while self.now < until:
            born = {n: f.machine.phases.since for n, f in self.fronts.items()}
            for number, front in self.fronts.items():
                if self.list_ms is not None and self.now >= born[number] + self.list_ms:
                    front.machine.on_list(self.now, self.now, 12)
            self.step(min(until, self.now + 50.0))
            self.now += 1e-3

    def ask(self, number: int, ident: int, worth: float = 1.0, left_ms: float = 4000.0) -> None:
        front = self.fronts[number]
        if let := front.machine.admit_request(self.now, ident, worth, left_ms):
            if let.retry_after_ms is None:
                front.went.append(self.now)
            else:
                front.told_off += 1
