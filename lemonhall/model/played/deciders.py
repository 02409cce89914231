"""A front with workers whose decider dies or does not run, in simulated time.

What `lemonhall.ipc.request_state` says of an ask holds here as well: what plays goes on; an attempt of which
nothing has left is dropped; one that has left goes on alone, to play or to its end; the next decider is told
all of it anew. Nothing that was allowed under one decider is done under another.
"""

from __future__ import annotations

from typing import Any

from lemonhall import interface as i
from lemonhall.interface import NoteKind, Outcome

GAP_MS = 160.0  # until the one that stands by decides (benchmarks/README.md, workers)


def die(front: Any, gap_ms: float = GAP_MS) -> None:
    """The decider is no more; the workers go on. Another is there after the gap."""
    if not front.up or front.headless:
        return
    world = front.world
    give = getattr(front.module, "memory", None)
    front.memory = give() if give and world.day.keep else None
    if front.halls:
        front.halls_kept = front.halls.serialize() if world.day.keep else b""
    front.kept_return = front.returning.serialize() if front.returning else b""
    front.held.clear()  # told anew to the next
    front.headless = True
    front.decider += 1
    front.events, front.flushing = [], False
    for ask in list(front.asks.values()):
        if ask.attempt and not ask.attempt.sent:
            ask.attempt.end(Outcome.MOOT)
    world.sim.after(gap_ms, come, front, front.life, front.decider)


def come(front: Any, life: int, decider: int) -> None:
    """The next decider: the list as it was kept, what was learned, then each ask as its worker has it."""
    if not front.up or front.life != life or front.decider != decider:
        return
    world = front.world
    front.headless = False
    front.module = front.make(world.module_settings(front.index), world.seed * 100 + front.index + decider)
    if world.day.terms.spills:
        front.start_halls()
    if world.returning:
        front.start_return()
    front.call()
    front.tell(i.ServerList(i.ListKind.CACHED, world.box_list.version, tuple(front.heard.values())))
    if front.halls:
        front.halls.on_list(world.sim.now, list(front.heard.values()), False)
    if front.memory:
        front.tell(front.memory)
    for ask in list(front.asks.values()):
        if ask.attempt and ask.answered and not ask.gone:
            carry(front, ask)
        elif not ask.attempt and not ask.answered and not ask.gone:
            again(front, ask)
    world.sim.after(world.box_list.lag_ms, world.box_list.send_whole, front.index, 0.0)


def carry(front: Any, ask: Any) -> None:
    """It plays: the decider hears under which server and at which rung."""
    attempt = ask.attempt
    attempt.number, attempt.decider, ask.attempts = 0, front.decider, 1
    front.tell(i.HandedOver(front.session_of(ask, False, i.NO_ADVICE), attempt.server))
    front.tell(i.Note(ask.number, 0, attempt.server, NoteKind.RUNG, float(ask.rung)))
    if front.halls:
        wish = ask.viewer.wish
        front.halls.restore_session(front.world.sim.now, ask.number, wish.cls, ask.rung, attempt.server)


def again(front: Any, ask: Any) -> None:
    """Nobody knows of it: it is asked for anew, with what may have run."""
    ask.attempts = 0
    ran = ask.viewer.wish.claim_ran if ask.viewer.has_claim else ask.ran
    front.admit(ask, front.session_of(ask, ran, front.advise(ask, i.NO_ADVICE)))
