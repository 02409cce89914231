"""The machine of halls at a front: fed with what its asks, list and members tell, its words sent and kept."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, Protocol

import structlog

from lemonhall import interface as i
from lemonhall.halls import Halls, Order
from lemonhall.interface import Outcome
from lemonhall.loop import Loop, Timer
from lemonhall.members.machine import View
from lemonhall.members.members_pb2 import HALLS, Message

log = structlog.get_logger("lemonhall.front")
TICK_PART = 0.5  # of a period of words: evidence is looked at this often


class Carrier(Protocol):
    """The members' socket."""

    number: int

    def send_to_front(self, number: int, message: Any) -> bool: ...


class Disk(Protocol):
    def save_zones(self, data: bytes, then: Callable[[str], object]) -> None: ...


class ZonesDriver:
    """`now`: the module's clock, by which the list tells starts. `cells`: of the service. `said`: told of
    each change, for the capture."""

    def __init__(
        self,
        loop: Loop,
        now: Callable[[], float],
        machine: Halls,
        cells: int,
        wall: Callable[[], float],
        messenger: Carrier | None,
        store: Disk | None,
        record_event: Callable[[str], object] = lambda words: None,
    ) -> None:
        self.loop, self.now, self.machine, self.cells, self.wall = loop, now, machine, cells, wall
        self.messenger, self.store, self.record_event = messenger, store, record_event
        self.timer: Timer | None = None
        self.stopped = True
        self.on_move_home: Callable[[int], object] = lambda ask: None

    def start(self) -> None:
        self.stopped = False
        self.timer = self.loop.call_later(0.0, self.on_tick)

    def stop(self) -> None:
        self.stopped = True
        if self.timer:
            self.timer.cancel()

    # what is seen

    def on_server_list(self, servers: list[i.Server], fresh: bool) -> None:
        self.machine.listed(self.now(), servers, fresh)
        self.report_changes()

    def update_members(self, view: View) -> None:
        self.machine.members = view.members

    def on_outcome(self, server: int, outcome: Outcome) -> None:
        self.machine.seen(self.now(), server, outcome)

    def on_message(self, message: Any) -> None:
        self.machine.hear(self.now(), message.sender, message.halls)
        self.report_changes()
        if self.machine.answer:
            self.send(self.machine.tick(self.now()))

    # asks

    def advice_for(self, ask: int, cls: int, first: int, cells: int) -> i.Advice:
        row = None
        if cells < self.cells:
            row = frozenset((first + n) % self.cells for n in range(cells))
        ruling = self.machine.ask(self.now(), ask, cls, row)
        return i.Advice(prefer=ruling.prefer, cap=ruling.cap, bars=ruling.bars)

    def on_set_up(self, ask: int, server: int) -> None:
        self.machine.set_up(self.now(), ask, server)

    def on_playing(self, ask: int, server: int) -> None:
        self.machine.playing(self.now(), ask, server)

    def adopt_session(self, ask: int, cls: int, rung: int, server: int) -> None:
        self.machine.carried(self.now(), ask, cls, rung, server)

    def on_session_over(self, ask: int) -> None:
        self.machine.over(self.now(), ask)

    # words

    def on_tick(self) -> None:
        self.send(self.machine.tick(self.now()))
        self.report_changes()
        for ask in self.take_moves():
            self.on_move_home(ask)
        self.timer = self.loop.call_later(TICK_PART * self.machine.period() / 1000, self.on_tick)

    def take_moves(self) -> list[int]:
        """Asks that had better come home, each told once."""
        found, self.machine.moves = self.machine.moves, []
        return found

    def send(self, words: list[Any]) -> None:
        """What must not be forgotten is on disk before a word of it leaves."""
        if self.stopped:
            return
        if not self.machine.dirty:
            self.send_now(words)
        elif self.store is None:
            self.machine.to_keep()
            self.send_now(words)
        else:
            self.store.save_zones(
                self.machine.to_keep(), lambda why: self.send_now(words) if not why else None
            )

    def send_now(self, words: list[Any]) -> None:
        if self.messenger is None or self.stopped:
            return
        for out in words:
            self.messenger.send_to_front(
                out.to, Message(kind=HALLS, sender=self.messenger.number, halls=out.data)
            )

    def report_changes(self) -> None:
        changes, self.machine.changes = self.machine.changes, []
        for change in changes:
            log.warning("hall", hall=change.hall, state=change.state.name.lower(), why=change.why)
            self.record_event(f"{change.hall} is {change.state.name.lower()}: {change.why}")

    # operators

    def page(self) -> tuple[int, str, bytes]:
        shown = self.machine.show(self.now())
        return 200, "application/json", json.dumps(shown).encode() + b"\n"

    def order(self, hall: str, what: Order) -> tuple[int, str, bytes]:
        """An operator's order, which goes to all fronts and is kept over a restart."""
        names = self.machine.plan.halls
        if hall not in names:
            return 404, "text/plain", f"no hall {hall!r}; there are {' '.join(names)}\n".encode()
        self.machine.order(names.index(hall), what, self.wall() * 1000)
        self.machine.answer |= set(self.machine.members) - {self.machine.number}
        self.send(self.machine.tick(self.now()))
        self.report_changes()
        return self.page()
