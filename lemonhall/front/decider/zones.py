"""Drives the state machine of zone failover at a front: forwards set-up requests, the server list and
members' messages to it, and stores and sends its messages."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, Protocol

import structlog

from lemonhall import interface
from lemonhall.interface import Outcome
from lemonhall.loop import Loop, Timer
from lemonhall.members.machine import MembershipView
from lemonhall.members.members_pb2 import HALLS, Message
from lemonhall.zones import OperatorOverride, ZoneFailover

log = structlog.get_logger("lemonhall.front")
TICK_PERIOD_SHARE = 0.5  # of the message period: how often the machine evaluates its evidence


class Messenger(Protocol):
    """Sends messages to other fronts, as `Membership` does. `number` is this front's."""

    number: int

    def send_to_front(self, number: int, message: Any) -> bool: ...


class ZoneStore(Protocol):
    """Stores the machine's state and then calls `then` with "", or with the error."""

    def save_zones(self, data: bytes, then: Callable[[str], object]) -> None: ...


class ZonesDriver:
    """Applies the machine's decisions.

    `now` is the module's clock, in which the list gives start times; `cells` is the number of cells of the
    service. `record_event` receives each change of a zone's state for the capture.
    """

    def __init__(
        self,
        loop: Loop,
        now: Callable[[], float],
        machine: ZoneFailover,
        cells: int,
        wall: Callable[[], float],
        messenger: Messenger | None,
        store: ZoneStore | None,
        record_event: Callable[[str], object] = lambda text: None,
    ) -> None:
        self.loop, self.now, self.machine, self.cells, self.wall = loop, now, machine, cells, wall
        self.messenger, self.store, self.record_event = messenger, store, record_event
        self.timer: Timer | None = None
        self.stopped = True
        self.on_move_home: Callable[[int], object] = lambda request_id: None

    def start(self) -> None:
        self.stopped = False
        self.timer = self.loop.call_later(0.0, self.on_tick)

    def stop(self) -> None:
        self.stopped = True
        if self.timer:
            self.timer.cancel()

    # observations

    def on_server_list(self, servers: list[interface.Server], fresh: bool) -> None:
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

    # set-up requests

    def advice_for(self, request_id: int, cls: int, first_cell: int, cells: int) -> interface.Advice:
        """Returns the advice on zones for a request that may use `cells` cells from `first_cell` on."""
        usable_cells = None
        if cells < self.cells:
            usable_cells = frozenset((first_cell + offset) % self.cells for offset in range(cells))
        ruling = self.machine.choose_zones(self.now(), request_id, cls, usable_cells)
        return interface.Advice(prefer=ruling.preferred, cap=ruling.rung_cap, bars=ruling.barred)

    def on_set_up(self, request_id: int, server: int) -> None:
        self.machine.on_set_up(self.now(), request_id, server)

    def on_playing(self, request_id: int, server: int) -> None:
        self.machine.on_playing(self.now(), request_id, server)

    def adopt_session(self, request_id: int, cls: int, rung: int, server: int) -> None:
        self.machine.restore_session(self.now(), request_id, cls, rung, server)

    def on_session_over(self, request_id: int) -> None:
        self.machine.release(self.now(), request_id)

    # messages between fronts

    def on_tick(self) -> None:
        self.send(self.machine.tick(self.now()))
        self.report_changes()
        for request_id in self.take_moves():
            self.on_move_home(request_id)
        self.timer = self.loop.call_later(
            TICK_PERIOD_SHARE * self.machine.message_period_ms() / 1000, self.on_tick
        )

    def take_moves(self) -> list[int]:
        """Returns the requests whose sessions should move back to their own zone, each once."""
        request_ids, self.machine.pending_moves = self.machine.pending_moves, []
        return request_ids

    def send(self, messages: list[Any]) -> None:
        """Sends messages after the state that they announce is on disk, as it must survive a restart."""
        if self.stopped:
            return
        if not self.machine.dirty:
            self.send_now(messages)
        elif self.store is None:
            self.machine.serialize()
            self.send_now(messages)
        else:
            self.store.save_zones(
                self.machine.serialize(), lambda error: self.send_now(messages) if not error else None
            )

    def send_now(self, messages: list[Any]) -> None:
        if self.messenger is None or self.stopped:
            return
        for outgoing in messages:
            self.messenger.send_to_front(
                outgoing.to, Message(kind=HALLS, sender=self.messenger.number, halls=outgoing.data)
            )

    def report_changes(self) -> None:
        changes, self.machine.state_changes = self.machine.state_changes, []
        for change in changes:
            log.warning(
                "zone state changed",
                hall=change.zone,
                state=change.state.name.lower(),
                reason=change.reason,
            )
            self.record_event(f"{change.zone} is {change.state.name.lower()}: {change.reason}")

    # operators

    def page(self) -> tuple[int, str, bytes]:
        """The status page `/halls`."""
        status = self.machine.status(self.now())
        return 200, "application/json", json.dumps(status).encode() + b"\n"

    def order(self, hall: str, override: OperatorOverride) -> tuple[int, str, bytes]:
        """Carries out an operator's order, which is sent to all fronts and kept across restarts."""
        names = self.machine.settings.zones
        if hall not in names:
            return 404, "text/plain", f"no hall {hall!r}; there are {' '.join(names)}\n".encode()
        self.machine.set_override(names.index(hall), override, self.wall() * 1000)
        self.machine.pending_replies |= set(self.machine.members) - {self.machine.number}
        self.send(self.machine.tick(self.now()))
        self.report_changes()
        return self.page()
