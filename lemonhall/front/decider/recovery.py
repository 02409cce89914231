"""Drives the state machine of recovery at a front: forwards the server list, members' messages and set-up
requests to it, sends its messages, verifies the store at the start, and applies the admission gate."""

from __future__ import annotations

import json
from collections.abc import Callable
from math import inf
from typing import Any

import structlog

from lemonhall import interface
from lemonhall.boxlist import Box, Update
from lemonhall.front.decider.membership import Membership
from lemonhall.front.persistence.store_service import StoreService
from lemonhall.front.servers.server_list import ServerListState
from lemonhall.loop import Loop, Timer
from lemonhall.members.machine import MembershipView
from lemonhall.members.members_pb2 import RECOVERY, Message
from lemonhall.recovery import AdmissionResult, OutgoingMessage, Phase, Recovery, StoreTrust
from lemonhall.recovery.recovery_pb2 import Entry
from lemonhall.recovery.server_pages import build_pages

log = structlog.get_logger("lemonhall.front")
CHECKPOINT_QUERY_PERIODS = 2.0  # membership periods to wait at the start for the checkpoints that others know
CHECKPOINT_QUERY_MIN_MS = 1000.0
LOAD_MAX_AGE_MS = 60_000.0  # older loads of a server are not sent to other fronts
NEVER = float("-inf")
GREET_DELAY_MS = 50.0  # until the seeds are contacted again while no front has answered; doubles each time
GREET_DELAY_MAX_MS = 400.0


SHARED_FIELDS = ("id", "address", "kind", "weight", "zone", "cell", "started_ms", "state")  # of Box and Entry


def entry_from_box(box: Box) -> Any:
    return Entry(**{name: getattr(box, name) for name in SHARED_FIELDS})


def box_from_entry(entry: Any) -> Box:
    return Box(**{name: getattr(entry, name) for name in SHARED_FIELDS})


def list_pages(server_list: ServerListState, memory: interface.LearnedState | None, now: float) -> list[Any]:
    """Returns the server list with the learned state, in pages, for a front that has lost both."""
    learned = {state.server: state for state in memory.servers} if memory else {}
    entries = []
    for box in server_list.boxes.values():
        entry = entry_from_box(box)
        if state := learned.get(box.id):
            entry.evidence, entry.others_kb = state.failure_score, max(0.0, state.other_fronts_kb)
            entry.heard_ms_ago = max(1, round(min(LOAD_MAX_AGE_MS, now - state.updated_at)))
            if state.updated_at < now - LOAD_MAX_AGE_MS:
                entry.heard_ms_ago = 0
        entries.append(entry)
    return build_pages(entries, server_list.as_of_ms, server_list.version) if entries else []


def update_from_page(page: Any) -> Update:
    return Update(version=page.version, full=True, boxes=[box_from_entry(entry) for entry in page.entries])


def memory_from_page(
    page: Any, current: interface.LearnedState | None, now: float
) -> interface.LearnedState | None:
    """Returns the loads that other fronts know, combined with this module's own statistics of sessions.

    Returns None if `current` is None, that is, if the module keeps no learned state.
    """
    if current is None:
        return None
    servers = tuple(
        interface.LearnedServerState(
            entry.id,
            entry.started_ms,
            entry.evidence,
            0.0,
            NEVER,
            entry.others_kb,
            now - entry.heard_ms_ago,
        )
        for entry in page.entries
        if entry.heard_ms_ago
    )
    return interface.LearnedState(
        now,
        current.mean_session_ms,
        current.sessions_ended,
        current.mean_set_up_ms,
        current.set_up_deviation_ms,
        servers,
    )


class RecoveryDriver:
    """Applies the machine's decisions.

    `on_admitted` receives each request that waited, with None if it may proceed, or the pause in ms after
    which it should be repeated. `record_event` receives each phase for the capture.
    """

    def __init__(
        self,
        loop: Loop,
        now: Callable[[], float],
        machine: Recovery,
        members: Membership | None,
        store_service: StoreService | None,
        on_admitted: Callable[[int, float | None], object],
        record_event: Callable[[str], object],
    ) -> None:
        self.loop, self.now, self.machine, self.members, self.store_service = (
            loop,
            now,
            machine,
            members,
            store_service,
        )
        self.on_admitted, self.record_event = on_admitted, record_event
        self.timer: Timer | None = None
        self.stopped = False
        self.greet_delay_ms = GREET_DELAY_MS
        self.on_full: Callable[[float], object] = lambda after_s: None
        self.on_page_received: Callable[[Any], object] = lambda page: None
        if store_service:
            machine.restore(store_service.load_recovery() or b"")
            store_service.recovery_state = machine.serialize
        if members:
            members.on_recovery_message = self.on_message
            members.on_share_changed = machine.set_front_count
            self.update_members(members.machine.view())

    # verification of the store, before anything in it is used

    def verify_store(self, period_ms: float) -> None:
        """Runs the loop until other fronts have confirmed that the store is the latest one, or a timeout
        expires.

        A store that is not confirmed is rejected. A newly created store is not verified, nor is any without
        members.
        """
        if (
            self.store_service is None
            or self.members is None
            or self.store_service.is_new
            or not self.machine.phases.other_fronts
        ):
            return
        started_at = self.now()
        self.machine.query_checkpoints(
            started_at, max(CHECKPOINT_QUERY_MIN_MS, CHECKPOINT_QUERY_PERIODS * period_ms)
        )
        self.loop.call_soon(self.on_tick)
        self.greet_seeds()
        self.loop.run(until=lambda: self.machine.store_trust is not StoreTrust.WAITING)
        query = self.machine.checkpoint_query
        assert query
        answers, waited_ms = len(query.answers), round(self.now() - started_at)
        log.info(
            "verified the store with other fronts",
            trust=self.machine.store_trust.value,
            answers=answers,
            waited_ms=waited_ms,
        )
        if self.machine.store_trust is not StoreTrust.SOUND:
            later = max((checkpoint for checkpoint in query.answers.values() if checkpoint), default=None)
            self.store_service.reject_store(later if self.machine.store_trust is StoreTrust.OLDER else None)

    def greet_seeds(self) -> None:
        """Contacts the seeds repeatedly: fronts that start together find one another within a period."""
        if (
            self.members
            and self.machine.store_trust is StoreTrust.WAITING
            and not self.machine.query_attempts
        ):
            self.members.greet_seeds()
            self.loop.call_later(
                self.greet_delay_ms * (0.5 + self.machine.random.random()) / 1000, self.greet_seeds
            )
            self.greet_delay_ms = min(GREET_DELAY_MAX_MS, 2 * self.greet_delay_ms)

    # observations

    def start(self) -> None:
        self.stopped = False
        self.on_tick()

    def stop(self) -> None:
        self.stopped = True
        if self.timer:
            self.timer.cancel()

    def record_list_alive(self, as_of_ms: float, servers: int) -> None:
        """Records that the server list was valid at `as_of_ms` (0 for now) with this number of servers."""
        self.machine.on_list(self.now(), as_of_ms or self.now(), servers)
        self.report_progress()

    def update_members(self, view: MembershipView) -> None:
        self.machine.on_view(self.now(), view.members)
        if self.timer:
            self.on_tick()

    def on_message(self, message: Any) -> None:
        self.send(self.machine.receive(self.now(), message.sender, message.recovery))
        self.report_progress()

    def request_list(self) -> None:
        """Requests the server list from other fronts, as this one has none."""
        if self.members:
            self.machine.query_server_pages(self.now())

    # set-up requests

    def request_admission(self, request_id: int, worth: float, left_ms: float) -> AdmissionResult | None:
        """Returns the decision, or None if the request waits; `on_admitted` is called for it later."""
        admission = self.machine.admit_request(self.now(), request_id, worth, left_ms)
        if admission is None:
            self.set_timer()
        return admission

    def drop_request(self, request_id: int) -> None:
        self.machine.cancel_request(request_id)

    # timer

    def on_tick(self) -> None:
        messages, admissions = self.machine.tick(self.now())
        self.send(messages)
        for admission in admissions:
            self.on_admitted(admission.request_id, admission.retry_after_ms)
        self.report_progress()

    def report_progress(self) -> None:
        """Reports received pages and entered phases, and sets the timer."""
        for page in self.machine.received_pages:
            self.on_page_received(page)
        self.machine.received_pages.clear()
        phases, self.machine.entered_phases = self.machine.entered_phases, []
        for entered in phases:
            text = f"{entered.phase.name.lower()} after {entered.after_ms / 1000:.2f} s"
            text += f", without {entered.missing}" if entered.missing else ""
            gate = self.machine.gate
            log.info(
                "recovery phase entered",
                admissions_per_s=round(gate.rate_per_s, 1) if gate.rate_per_s < inf else None,
                waiting_requests=len(gate.waiting),
                phase=entered.phase.name.lower(),
                after_s=round(entered.after_ms / 1000, 2),
                missing=entered.missing,
            )
            self.record_event(text)
            if entered.phase is Phase.FULL:
                self.on_full(round(entered.after_ms / 1000, 2))
        self.set_timer()

    def set_timer(self) -> None:
        if self.timer:
            self.timer.cancel()
        if not self.stopped:
            wait_s = max(0.001, (self.machine.next_tick_at() - self.now()) / 1000)
            self.timer = self.loop.call_later(wait_s, self.on_tick)

    def send(self, messages: list[OutgoingMessage]) -> None:
        if self.members is None or self.stopped:
            return
        for outgoing in messages:
            message = Message(kind=RECOVERY, sender=self.members.number, recovery=outgoing.data)
            self.members.send_to_front(outgoing.to, message)

    # status page

    def show(self) -> dict[str, Any]:
        return self.machine.status(self.now())

    def page(self) -> tuple[int, str, bytes]:
        """The status page `/health`: 200 while the process serves at all, with the progress of recovery."""
        return 200, "application/json", json.dumps(self.show()).encode() + b"\n"
