"""The machine of recovery at a front: fed with its list, members and store, its words sent, its gate kept."""

from __future__ import annotations

import json
from collections.abc import Callable
from math import inf
from typing import Any

import structlog

from lemonhall import interface as i
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
WITNESS_PERIODS = 2.0  # in which others are waited for, at the start, to speak of the store
WITNESS_LEAST_MS = 1000.0
MINUTE_MS = 60_000.0  # after which what was heard of a server is not handed on
NEVER = float("-inf")
GREET_MS = 50.0  # the seeds are greeted again after, while nobody has spoken; then twice as long each time
GREET_MOST_MS = 400.0


SAME = ("id", "address", "kind", "weight", "zone", "cell", "started_ms", "state")  # in a list and in words


def entry_of(box: Box) -> Any:
    return Entry(**{name: getattr(box, name) for name in SAME})


def box_of(entry: Any) -> Box:
    return Box(**{name: getattr(entry, name) for name in SAME})


def list_pages(boxes: ServerListState, memory: i.LearnedState | None, now: float) -> list[Any]:
    """Pages of the list and of what was learned of its servers, for one that has lost both."""
    learned = {s.server: s for s in memory.servers} if memory else {}
    entries = []
    for box in boxes.boxes.values():
        entry = entry_of(box)
        if one := learned.get(box.id):
            entry.evidence, entry.others_kb = one.failure_score, max(0.0, one.other_fronts_kb)
            entry.heard_ms_ago = max(1, round(min(MINUTE_MS, now - one.updated_at)))
            if one.updated_at < now - MINUTE_MS:
                entry.heard_ms_ago = 0
        entries.append(entry)
    return build_pages(entries, boxes.as_of_ms, boxes.version) if entries else []


def update_from_page(page: Any) -> Update:
    return Update(version=page.version, full=True, boxes=[box_of(e) for e in page.entries])


def memory_from_page(page: Any, usual: i.LearnedState | None, now: float) -> i.LearnedState | None:
    """Loads as others heard them, beside what this module knows of lengths; None: it keeps no memory."""
    if usual is None:
        return None
    servers = tuple(
        i.LearnedServerState(e.id, e.started_ms, e.evidence, 0.0, NEVER, e.others_kb, now - e.heard_ms_ago)
        for e in page.entries
        if e.heard_ms_ago
    )
    return i.LearnedState(
        now,
        usual.mean_session_ms,
        usual.sessions_ended,
        usual.mean_set_up_ms,
        usual.set_up_deviation_ms,
        servers,
    )


class RecoveryDriver:
    """`let` is told of asks that waited: they go on now (None), or are to come again after so many ms."""

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
        self.greet_ms = GREET_MS
        self.on_full: Callable[[float], object] = lambda after_s: None
        self.on_page_received: Callable[[Any], object] = lambda page: None
        if store_service:
            machine.restore(store_service.load_recovery() or b"")
            store_service.recovery_state = machine.serialize
        if members:
            members.on_recovery_message = self.on_message
            members.on_share_changed = machine.set_front_count
            self.update_members(members.machine.view())

    # the store, before anything of it is used

    def verify_store(self, period_ms: float) -> None:
        """Runs the loop until others have said whether the store is the last one, or have not in time. One
        that is not is put aside. Nothing is asked about a store that was only made now, nor where there are
        no members."""
        if (
            self.store_service is None
            or self.members is None
            or self.store_service.made
            or not self.machine.phases.other_fronts
        ):
            return
        began = self.now()
        self.machine.query_checkpoints(began, max(WITNESS_LEAST_MS, WITNESS_PERIODS * period_ms))
        self.loop.call_soon(self.on_tick)
        self.greet_seeds()
        self.loop.run(until=lambda: self.machine.store_trust is not StoreTrust.WAITING)
        witnesses = self.machine.checkpoint_query
        assert witnesses
        answers, waited = len(witnesses.answers), round(self.now() - began)
        log.info("store asked about", trust=self.machine.store_trust.value, answers=answers, waited_ms=waited)
        if self.machine.store_trust is not StoreTrust.SOUND:
            later = max((m for m in witnesses.answers.values() if m), default=None)
            self.store_service.reject_store(later if self.machine.store_trust is StoreTrust.OLDER else None)

    def greet_seeds(self) -> None:
        """A fleet that starts together finds itself sooner than by the members' periods."""
        if (
            self.members
            and self.machine.store_trust is StoreTrust.WAITING
            and not self.machine.query_attempts
        ):
            self.members.greet_seeds()
            self.loop.call_later(
                self.greet_ms * (0.5 + self.machine.random.random()) / 1000, self.greet_seeds
            )
            self.greet_ms = min(GREET_MOST_MS, 2 * self.greet_ms)

    # what is seen

    def start(self) -> None:
        self.stopped = False
        self.on_tick()

    def stop(self) -> None:
        self.stopped = True
        if self.timer:
            self.timer.cancel()

    def record_list_alive(self, as_of_ms: float, servers: int) -> None:
        """Of the list's life. `as_of_ms`: when it was true; 0: now."""
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
        """Nothing is known of servers: others are asked."""
        if self.members:
            self.machine.query_server_pages(self.now())

    # asks

    def request_admission(self, number: int, worth: float, left_ms: float) -> AdmissionResult | None:
        """None: it waits, and `let` will be told."""
        made = self.machine.admit_request(self.now(), number, worth, left_ms)
        if made is None:
            self.arm()
        return made

    def drop_request(self, number: int) -> None:
        self.machine.cancel_request(number)

    # time

    def on_tick(self) -> None:
        words, admissions = self.machine.tick(self.now())
        self.send(words)
        for admission in admissions:
            self.on_admitted(admission.request_id, admission.retry_after_ms)
        self.report_progress()

    def report_progress(self) -> None:
        """Phases that were entered are said; the timer is set for whatever comes next."""
        for page in self.machine.received_pages:
            self.on_page_received(page)
        self.machine.received_pages.clear()
        entered, self.machine.entered_phases = self.machine.entered_phases, []
        for one in entered:
            words = f"{one.phase.name.lower()} after {one.after_ms / 1000:.2f} s"
            words += f", without {one.missing}" if one.missing else ""
            gate = self.machine.gate
            log.info(
                "phase",
                pace=round(gate.rate_per_s, 1) if gate.rate_per_s < inf else None,
                waiting=len(gate.waiting),
                phase=one.phase.name.lower(),
                after_s=round(one.after_ms / 1000, 2),
                lacks=one.missing,
            )
            self.record_event(words)
            if one.phase is Phase.FULL:
                self.on_full(round(one.after_ms / 1000, 2))
        self.arm()

    def arm(self) -> None:
        if self.timer:
            self.timer.cancel()
        if not self.stopped:
            wait_s = max(0.001, (self.machine.next_tick_at() - self.now()) / 1000)
            self.timer = self.loop.call_later(wait_s, self.on_tick)

    def send(self, words: list[OutgoingMessage]) -> None:
        if self.members is None or self.stopped:
            return
        for out in words:
            message = Message(kind=RECOVERY, sender=self.members.number, recovery=out.data)
            self.members.send_to_front(out.to, message)

    # what is shown

    def show(self) -> dict[str, Any]:
        return self.machine.status(self.now())

    def page(self) -> tuple[int, str, bytes]:
        """`/health`: 200 while the process serves at all, with how far it has come back."""
        return 200, "application/json", json.dumps(self.show()).encode() + b"\n"
