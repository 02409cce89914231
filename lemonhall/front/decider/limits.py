"""Limits of the whole fleet at a front: fed with what its asks and members tell, its words sent."""

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
RELIEVED = AdmissionDecision("changing guard", 200.0)  # the successor holds the front's parts


def clock_ms() -> float:
    """Goes on while the machine sleeps, and is the same in all its processes: what a lease is counted by."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


class Carrier(Protocol):
    """The members' socket."""

    number: int

    def send_to_front(self, number: int, message: Any) -> bool: ...


class LimitsDriver:
    """`said`: told of what a limit refuses or ends, for the capture. `on_end`: of a session that must end."""

    def __init__(
        self,
        loop: Loop,
        machine: FleetLimits,
        messenger: Carrier | None,
        clock: Callable[[], float] = clock_ms,
        record_event: Callable[[str, int], object] = lambda words, ask: None,
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
        self.on_session_end: Callable[[int, str], object] = lambda ask, why: None

    def start(self) -> None:
        self.stopped = False
        self.timer = self.loop.call_later(0.0, self.on_tick)

    def stop(self) -> None:
        """Another process goes by this front's parts now, or none: nothing is said, or let in."""
        self.stopped = True
        if self.timer:
            self.timer.cancel()

    def update_members(self, view: MembershipView, twin: bool) -> None:
        escrow = self.machine.escrow
        escrow.members = view.members
        if escrow.duplicate_member != twin:
            escrow.duplicate_member = twin
            escrow.recompute_shares()

    def apply_plan(self, plan: LimitSettings) -> None:
        self.machine.apply_settings(plan)

    # asks

    def reserve(
        self, ask: int, partner: int, cls: int, title: str, top: int, moved: str
    ) -> AdmissionDecision:
        """`moved`: the session, if it has left a server and asks again."""
        if moved and self.machine.resume_after_move(self.now(), ask, moved):
            return AdmissionDecision()
        if self.stopped:
            return RELIEVED
        ruling = self.machine.admit(self.now(), ask, partner, cls, title, top)
        if ruling.refused_by:
            self.record_event(f"limit {ruling.refused_by}: no room", ask)
        self.end_recalled_sessions()
        return ruling

    def may_set_up(self, ask: int) -> bool:
        fine = self.machine.may_start_set_up(self.now(), ask)
        self.end_recalled_sessions()
        return fine

    def release(self, ask: int) -> None:
        self.machine.release(self.now(), ask)

    def park(self, ask: int, session: str) -> None:
        self.machine.hold_for_move(self.now(), ask, session)

    def adopt_session(self, ask: int, partner: int, cls: int, title: str, rung: int) -> None:
        self.machine.restore_session(self.now(), ask, partner, cls, title, rung)

    def end_recalled_sessions(self) -> None:
        ends, self.machine.sessions_to_end = self.machine.sessions_to_end, []
        for ask in ends:
            self.record_event("its room was lent, and the loan is over", ask)
            self.on_session_end(ask, "loan of room over")

    # words

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

    def send(self, words: list[OutgoingMessage]) -> None:
        if self.messenger is None or self.stopped:
            return
        for out in words:
            self.messenger.send_to_front(
                out.to, Message(kind=LIMITS, sender=self.messenger.number, limits=out.data)
            )

    # operators

    def page(self) -> tuple[int, str, bytes]:
        return 200, "application/json", json.dumps(self.machine.status(self.now())).encode() + b"\n"

    def forget(self, front: str) -> tuple[int, str, bytes]:
        """An operator's word that a front is gone for good; it goes to all fronts."""
        if not front.isdecimal():
            return 400, "text/plain", b"fronts are named by their numbers\n"
        why = self.machine.escrow.forget_front(self.now(), int(front))
        if why:
            return 409, "text/plain", why.encode() + b"\n"
        log.warning("front forgotten", front=int(front))
        return self.page()
