"""Limits of the whole fleet at a front of the model: the same machine as at a running one."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any, Protocol

from lemonhall import interface as i
from lemonhall.limits import AdmissionDecision, FleetLimits, LimitSettings
from lemonhall.limits.escrow import TICKS_PER_PERIOD

PERIOD_MS = 500.0  # of members, as days on sockets have it
MOVES = AdmissionDecision()


class Front(Protocol):
    """What is read of a front of the model."""

    world: Any
    index: int
    name: str
    hall: int
    life: int
    up: bool
    headless: bool
    apart: bool
    asks: dict[int, Any]
    limits: Limited | None


class Limited:
    """Of one life of a front. `hop_ms`, `loss`: of words between fronts."""

    def __init__(self, front: Front, hop_ms: float, loss: float) -> None:
        world = front.world
        self.front, self.world, self.hop_ms, self.loss = front, world, hop_ms, loss
        self.life = front.life
        plan = LimitSettings.of(world.day.terms, PERIOD_MS)
        random = Random(world.seed * 1000 + front.index + 7 * front.life)
        fronts, now = len(world.day.fronts), world.sim.now
        self.machine = FleetLimits(plan, front.index, fronts, front.hall, front.life, random, now)
        self.machine.escrow.members = tuple(range(fronts))
        self.bytes = 0
        self.tick()

    @property
    def runs(self) -> bool:
        front = self.front
        return front.up and front.life == self.life and front.limits is self and not front.headless

    def tick(self) -> None:
        if self.front.limits in (None, self) and self.front.life == self.life:
            if self.runs:
                self.say()
            self.world.sim.after(self.machine.settings.period_ms / TICKS_PER_PERIOD, self.tick)

    def say(self) -> None:
        for out in self.machine.tick(self.world.sim.now):
            other = self.world.fronts[out.to]
            self.world.peer_messages += 1
            self.bytes += len(out.data)
            names = f"{self.front.name}/{other.name}"
            draw = self.world.named.uniform("limits", names, self.world.peer_messages)
            if draw >= self.loss and other.apart == self.front.apart:
                self.world.sim.after(self.hop_ms, hear, other, self.front.index, out.data)
        self.obey()

    def hear(self, sender: int, data: bytes) -> None:
        if self.runs:
            self.machine.receive(self.world.sim.now, sender, data)
            if self.machine.escrow.pending_replies or self.machine.escrow.pending_recalls:
                self.say()
            self.obey()

    def obey(self) -> None:
        ends, self.machine.sessions_to_end = self.machine.sessions_to_end, []
        for number in ends:
            ask = self.front.asks.get(number)
            if ask and ask.attempt:
                self.world.count("ended_by_limit")
                ask.attempt.leave()

    def advise(self, ask: Any, advice: i.Advice) -> i.Advice:
        wish, now = ask.viewer.wish, self.world.sim.now
        if ask.moved and self.machine.resume_after_move(now, ask.number, str(wish.number)):
            return advice
        ruling = self.machine.admit(
            now, ask.number, wish.tenant, wish.cls, f"{wish.path}{wish.title}", wish.top
        )
        self.obey()
        if ruling.refused_by:
            self.world.count("over_limit")
            return replace(advice, refuse=True, pause_ms=max(1.0, ruling.retry_after_ms))
        return replace(advice, cap=min(advice.cap, ruling.rung_cap))

    def may(self, ask: Any) -> bool:
        fine = self.machine.may_start_set_up(self.world.sim.now, ask.number)
        self.obey()
        return fine

    def over(self, ask: Any) -> None:
        if ask.viewer.moving and not ask.gone:
            self.machine.hold_for_move(self.world.sim.now, ask.number, str(ask.viewer.wish.number))
        else:
            self.machine.release(self.world.sim.now, ask.number)


def hear(front: Front, sender: int, data: bytes) -> None:
    if front.limits:
        front.limits.hear(sender, data)
