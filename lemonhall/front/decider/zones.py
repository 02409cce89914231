"""The machine of halls at a front: fed with what its asks, list and members tell, its words sent and kept."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, Protocol

import structlog

from lemonhall import interface as i
from lemonhall.interface import Outcome
from lemonhall.loop import Loop, Timer
from lemonhall.members.machine import MembershipView
from lemonhall.members.members_pb2 import HALLS, Message
from lemonhall.zones import OperatorOverride, ZoneFailover

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
        machine: ZoneFailover,
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
        self.machine.on_list(self.now(), servers, fresh)
        self.report_changes()

    def update_members(self, view: MembershipView) -> None:
        self.machine.members = view.members

    def on_outcome(self, server: int, outcome: Outcome) -> None:
        self.machine.on_attempt_result(self.now(), server, outcome)

    def on_message(self, message: Any) -> None:
        self.machine.receive(self.now(), message.sender, message.halls)
        self.report_changes()
        if self.machine.pending_replies:
            self.send(self.machine.tick(self.now()))

    # asks

    def advice_for(self, ask: int, cls: int, first: int, cells: int) -> i.Advice:
        row = None
        if cells < self.cells:
            row = frozenset((first + n) % self.cells for n in range(cells))
        ruling = self.machine.choose_zones(self.now(), ask, cls, row)
        return i.Advice(prefer=ruling.preferred, cap=ruling.rung_cap, bars=ruling.barred)

    def on_set_up(self, ask: int, server: int) -> None:
        self.machine.on_set_up(self.now(), ask, server)

    def on_playing(self, ask: int, server: int) -> None:
        self.machine.on_playing(self.now(), ask, server)

    def adopt_session(self, ask: int, cls: int, rung: int, server: int) -> None:
        self.machine.restore_session(self.now(), ask, cls, rung, server)

    def on_session_over(self, ask: int) -> None:
        self.machine.release(self.now(), ask)

    # words

    def on_tick(self) -> None:
        self.send(self.machine.tick(self.now()))
        self.report_changes()
        for ask in self.take_moves():
            self.on_move_home(ask)
        self.timer = self.loop.call_later(TICK_PART * self.machine.message_period_ms() / 1000, self.on_tick)

    def take_moves(self) -> list[int]:
        """Asks that had better come home, each told once."""
        found, self.machine.pending_moves = self.machine.pending_moves, []
        return found

    def send(self, words: list[Any]) -> None:
        """What must not be forgotten is on disk before a word of it leaves."""
        if self.stopped:
            return
        if not self.machine.dirty:
            self.send_now(words)
        elif self.store is None:
            self.machine.serialize()
            self.send_now(words)
        else:
            self.store.save_zones(
                self.machine.serialize(), lambda why: self.send_now(words) if not why else None
            )

    def send_now(self, words: list[Any]) -> None:
        if self.messenger is None or self.stopped:
            return
        for out in words:
            self.messenger.send_to_front(
                out.to, Message(kind=HALLS, sender=self.messenger.number, halls=out.data)
            )

    def report_changes(self) -> None:
        changes, self.machine.state_changes = self.machine.state_changes, []
        for change in changes:
            log.warning("hall", hall=change.zone, state=change.state.name.lower(), why=change.reason)
            self.record_event(f"{change.zone} is {change.state.name.lower()}: {change.reason}")

    # operators

    def page(self) -> tuple[int, str, bytes]:
        shown = self.machine.status(self.now())
        return 200, "application/json", json.dumps(shown).encode() + b"\n"

    def order(self, hall: str, what: OperatorOverride) -> tuple[int, str, bytes]:
        """An operator's order, which goes to all fronts and is kept over a restart."""
        names = self.machine.settings.zones
        if hall not in names:
            return 404, "text/plain", f"no hall {hall!r}; there are {' '.join(names)}\n".encode()
        self.machine.set_override(names.index(hall), what, self.wall() * 1000)
        self.machine.pending_replies |= set(self.machine.members) - {self.machine.number}
        self.send(self.machine.tick(self.now()))
        self.report_changes()
        return self.page()
