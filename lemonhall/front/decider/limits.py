"""Drives the state machine of the fleet's limits at a front: forwards set-up requests and members' messages
to it, and sends its messages."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from typing import Any, Protocol

import structlog

from lemonhall.limits import AdmissionDecision, FleetLimits, LimitSettings, OutgoingMessage
from lemonhall.limits.escrow import TICKS_PER_PERIOD
from lemonhall.loop import Loop, Timer
from lemonhall.members.machine import MembershipView
from lemonhall.members.members_pb2 import LIMITS, Message

log = structlog.get_logger("lemonhall.front")
# the decision of a front that is being handed over: its successor holds the shares
HANDED_OVER = AdmissionDecision("changing guard", 200.0)


def clock_ms() -> float:
    """The clock of leases: it includes the time in suspend, and all processes of a machine share it."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


class Messenger(Protocol):
    """Sends messages to other fronts, as `Membership` does. `number` is this front's."""

    number: int

    def send_to_front(self, number: int, message: Any) -> bool: ...


class LimitsDriver:
    """Reports refusals and ended sessions to `record_event`, for the capture, and sessions to end to
    `on_session_end`."""

    def __init__(
        self,
        loop: Loop,
        machine: FleetLimits,
        messenger: Messenger | None,
        clock: Callable[[], float] = clock_ms,
        record_event: Callable[[str, int], object] = lambda text, request_id: None,
    ) -> None:
        self.loop, self.machine, self.messenger, self.now, self.record_event = (
            loop,
            machine,
            messenger,
            clock,
            record_event,
        )
        self.timer: Timer | None = None
        self.stopped = True
        self.on_session_end: Callable[[int, str], object] = lambda request_id, reason: None

    def start(self) -> None:
        self.stopped = False
        self.timer = self.loop.call_later(0.0, self.on_tick)

    def stop(self) -> None:
        """Stops sending and admitting: another process uses this front's shares from now on, or none does."""
        self.stopped = True
        if self.timer:
            self.timer.cancel()

    def update_members(self, view: MembershipView, duplicate_member: bool) -> None:
        escrow = self.machine.escrow
        escrow.members = view.members
        if escrow.duplicate_member != duplicate_member:
            escrow.duplicate_member = duplicate_member
            escrow.recompute_shares()

    def update_settings(self, settings: LimitSettings) -> None:
        self.machine.apply_settings(settings)

    # set-up requests

    def reserve(
        self, request_id: int, partner: int, cls: int, title: str, top_rung: int, moved: str
    ) -> AdmissionDecision:
        """Reserves a session under all limits that apply to it.

        `moved` is the id of a session that has left a server and is set up again; it keeps its reservation.
        """
        if moved and self.machine.resume_after_move(self.now(), request_id, moved):
            return AdmissionDecision()
        if self.stopped:
            return HANDED_OVER
        ruling = self.machine.admit(self.now(), request_id, partner, cls, title, top_rung)
        if ruling.refused_by:
            self.record_event(f"limit {ruling.refused_by}: no room", request_id)
        self.end_recalled_sessions()
        return ruling

    def may_set_up(self, request_id: int) -> bool:
        allowed = self.machine.may_start_set_up(self.now(), request_id)
        self.end_recalled_sessions()
        return allowed

    def release(self, request_id: int) -> None:
        self.machine.release(self.now(), request_id)

    def park(self, request_id: int, session: str) -> None:
        """Keeps the reservation of a session that is being moved, until it is set up again."""
        self.machine.hold_for_move(self.now(), request_id, session)

    def adopt_session(self, request_id: int, partner: int, cls: int, title: str, rung: int) -> None:
        self.machine.restore_session(self.now(), request_id, partner, cls, title, rung)

    def end_recalled_sessions(self) -> None:
        """Ends the sessions whose reservation stood on a loan that has expired."""
        request_ids, self.machine.sessions_to_end = self.machine.sessions_to_end, []
        for request_id in request_ids:
            self.record_event("its room was lent, and the loan is over", request_id)
            self.on_session_end(request_id, "loan of room over")

    # messages between fronts

    def on_tick(self) -> None:
        self.send(self.machine.tick(self.now()))
        self.end_recalled_sessions()
        self.timer = self.loop.call_later(
            self.machine.settings.period_ms / TICKS_PER_PERIOD / 1000, self.on_tick
        )

    def on_message(self, message: Any) -> None:
        if self.stopped:
            return
        self.machine.receive(self.now(), message.sender, message.limits)
        if self.machine.escrow.pending_replies or self.machine.escrow.pending_recalls:
            self.send(self.machine.tick(self.now()))
        self.end_recalled_sessions()

    def send(self, messages: list[OutgoingMessage]) -> None:
        if self.messenger is None or self.stopped:
            return
        for outgoing in messages:
            self.messenger.send_to_front(
                outgoing.to, Message(kind=LIMITS, sender=self.messenger.number, limits=outgoing.data)
            )

    # operators

    def page(self) -> tuple[int, str, bytes]:
        """The status page `/limits`."""
        return 200, "application/json", json.dumps(self.machine.status(self.now())).encode() + b"\n"

    def forget(self, front: str) -> tuple[int, str, bytes]:
        """Carries out an operator's order that a front is gone for good, and spreads it to all fronts."""
        if not front.isdecimal():
            return 400, "text/plain", b"fronts are named by their numbers\n"
        reason = self.machine.escrow.forget_front(self.now(), int(front))
        if reason:
            return 409, "text/plain", reason.encode() + b"\n"
        log.warning("front removed from the limits by an operator", front=int(front))
        return self.page()
