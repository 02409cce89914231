"""A fleet of recovering fronts in simulated time; messages between them are lost, late and duplicated."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random

from lemonhall.recovery import OutgoingMessage, Phase, PhaseTimeouts, Recovery, StoreCheckpoint


@dataclass
class Front:
    machine: Recovery
    checkpoint: StoreCheckpoint
    entered_at: dict[Phase, float] = field(default_factory=dict)
    admitted_at: list[float] = field(default_factory=list)
    deferred_count: int = 0


class Fleet:
    """`loss`: probability that a message is lost; each front receives current lists from `list_ms` after its
    start, if at all."""

    def __init__(self, count: int, seed: int, loss: float = 0.0, list_ms: float | None = 300.0) -> None:
        self.random, self.loss, self.list_ms = Random(seed), loss, list_ms
        self.count, self.now, self.order = count, 0.0, 0
        self.fronts: dict[int, Front] = {}
        self.in_flight: list[tuple[float, int, int, int, bytes]] = []
        self.stored: dict[int, tuple[bytes, StoreCheckpoint]] = {}

    def start(self, number: int, query: bool = False, checkpoint: StoreCheckpoint | None = None) -> Front:
        """`query`: asks the other fronts about the store, which is at `checkpoint` or as it was left."""
        data, last = self.stored.get(number, (b"", StoreCheckpoint(1000 + number, 1)))
        machine = Recovery(
            self.now,
            number,
            self.count,
            Random(self.random.random()),
            PhaseTimeouts(period_ms=500.0),
            2000.0,
            lambda: self.fronts[number].checkpoint,
        )
        front = self.fronts[number] = Front(machine, checkpoint or last)
        machine.restore(data)
        if query:
            machine.query_checkpoints(self.now, 1000.0)
        for other in self.fronts.values():
            other.machine.on_view(self.now, tuple(sorted(self.fronts)))
        return front

    def kill(self, number: int) -> None:
        front = self.fronts.pop(number)
        self.stored[number] = front.machine.serialize(), front.checkpoint

    def send(self, sender: int, messages: list[OutgoingMessage]) -> None:
        for message in messages:
            for _ in range(1 + (self.random.random() < self.loss)):
                if self.random.random() >= self.loss:
                    self.order += 1
                    delay_ms = self.random.uniform(0.5, 3.0) + 200 * (self.random.random() < self.loss)
                    heapq.heappush(
                        self.in_flight, (self.now + delay_ms, self.order, sender, message.to, message.data)
                    )

    def step(self, until: float) -> None:
        """Advances to the next event, or to that time."""
        due = min([f.machine.next_tick_at() for f in self.fronts.values()], default=until)
        self.now = max(self.now, min(until, due, self.in_flight[0][0] if self.in_flight else until))
        while self.in_flight and self.in_flight[0][0] <= self.now:
            _, _, sender, to, data = heapq.heappop(self.in_flight)
            if to in self.fronts:
                self.send(to, self.fronts[to].machine.receive(self.now, sender, data))
        for number, front in self.fronts.items():
            if front.machine.next_tick_at() <= self.now:
                messages, results = front.machine.tick(self.now)
                self.send(number, messages)
                front.admitted_at += [self.now] * sum(r.retry_after_ms is None for r in results)
                front.deferred_count += sum(r.retry_after_ms is not None for r in results)
            for entry in front.machine.entered_phases:
                front.entered_at[entry.phase] = self.now
            front.machine.entered_phases.clear()

    def run(self, until: float) -> None:
        while self.now < until:
            started_at = {n: f.machine.phases.incarnation_started_at for n, f in self.fronts.items()}
            for number, front in self.fronts.items():
                if self.list_ms is not None and self.now >= started_at[number] + self.list_ms:
                    front.machine.on_list(self.now, self.now, 12)
            self.step(min(until, self.now + 50.0))
            self.now += 1e-3

    def request(self, number: int, request_id: int, worth: float = 1.0, left_ms: float = 4000.0) -> None:
        front = self.fronts[number]
        if result := front.machine.admit_request(self.now, request_id, worth, left_ms):
            if result.retry_after_ms is None:
                front.admitted_at.append(self.now)
            else:
                front.deferred_count += 1
