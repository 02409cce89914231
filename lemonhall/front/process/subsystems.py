"""The machines that stand beside the module at a front (the return, halls, limits): made, wired to their
desks, and stopped together."""

from __future__ import annotations

from base64 import b64decode
from collections import Counter
from collections.abc import Callable
from random import Random, SystemRandom
from typing import Any, Protocol

import structlog

from lemonhall import interface as i
from lemonhall.config.settings import FrontSettings
from lemonhall.front.decider.bridge import Bridge
from lemonhall.front.decider.limits import LimitsDriver, clock_ms
from lemonhall.front.decider.list_client import ListClient
from lemonhall.front.decider.membership import Membership
from lemonhall.front.decider.recovery import RecoveryDriver, list_pages, memory_from_page, update_from_page
from lemonhall.front.decider.set_up_requests import SetUpRequests
from lemonhall.front.decider.zones import ZonesDriver
from lemonhall.front.persistence.capture_writer import CaptureWriter
from lemonhall.front.persistence.store_service import StoreService
from lemonhall.limits import FleetLimits, LimitSettings
from lemonhall.limits.settings import MAX_PERIOD_MS
from lemonhall.loop import Loop
from lemonhall.members.machine import MembershipView
from lemonhall.recovery import PhaseTimeouts, Recovery
from lemonhall.zones import ZoneFailover, ZoneSettings

log = structlog.get_logger("lemonhall.front")
HEAR_S = 0.03  # a front that starts waits so long before its call for the list
PAUSE_MS = 2000.0  # the longest advised while a front comes back, where the settings name none


class Front(Protocol):
    """The daemon, as far as these machines need it."""

    settings: FrontSettings
    loop: Loop
    wall: Callable[[], float]
    set_up_requests: SetUpRequests
    bridge: Bridge
    list_client: ListClient
    counts: Counter[str]
    membership: Membership | None
    store_service: StoreService | None
    capture: CaptureWriter | None
    inherited: Any

    def now_ms(self) -> float: ...
    def memory(self) -> i.LearnedState | None: ...
    def on_membership_view(self, view: MembershipView) -> None: ...


class Subsystems:
    def __init__(self, front: Front) -> None:
        self.front = front

    def open_return(self, anew: bool) -> None:
        """The machine of recovery. `anew`: not in the place of a front that lives, so the list is the kept
        one, and others are asked about the store before anything of its ledger is used."""
        s, terms = self.front.settings, self.front.settings.terms
        machine = Recovery(
            self.front.now_ms(),
            s.index,
            s.fronts,
            Random(SystemRandom().getrandbits(64)),
            PhaseTimeouts(period_ms=s.members.period_ms) if s.members else PhaseTimeouts(),
            terms.max_pause_ms or PAUSE_MS,
            (lambda: self.front.store_service.checkpoint if self.front.store_service else None),
            sum(t.quota_per_s for t in terms.tenants),
            self.front.membership is not None,
        )
        desk = self.front.set_up_requests.recovery = RecoveryDriver(
            self.front.loop,
            self.front.now_ms,
            machine,
            self.front.membership,
            self.front.store_service,
            self.front.set_up_requests.release_held_request,
            self.return_said,
        )
        if self.front.membership:
            self.front.membership.on_view_changed = self.front.on_membership_view
        self.front.list_client.on_list_alive = lambda as_of: desk.record_list_alive(
            as_of, len(self.front.list_client.server_list.boxes)
        )
        self.front.list_client.extra_delay_s = lambda: machine.list_wait_ms() / 1000
        machine.page_server.build = self.known
        desk.on_page_received = self.handed
        if anew:
            self.front.list_client.load_cache()
            if not self.front.list_client.server_list.boxes:
                desk.request_list()
        if not s.list_url:
            desk.record_list_alive(
                0.0, len(self.front.list_client.server_list.boxes)
            )  # nothing is waited for
        elif not (anew and s.members):
            self.front.list_client.start()
        else:  # by then whoever comes back as well has spoken
            self.front.loop.call_later(HEAR_S, self.call_list)
        if anew and s.members:
            desk.verify_store(s.members.period_ms)
        desk.start()

    def known(self) -> list[Any]:
        return list_pages(self.front.list_client.server_list, self.front.memory(), self.front.now_ms())

    def handed(self, page: Any) -> None:
        """What others knew counts as a kept list and a memory: each by its age, the loads as hearsay."""
        if not self.front.list_client.adopt_list(update_from_page(page)):
            return
        memory = memory_from_page(page, self.front.memory(), self.front.now_ms())
        if memory is not None:
            self.front.bridge.enqueue(memory)
        self.front.counts["handed_servers"] += len(page.entries)
        loads = len(memory.servers) if memory else 0
        log.info("list handed on by others", servers=len(page.entries), loads=loads)
        self.return_said(f"others knew of {len(page.entries)} servers")

    def return_said(self, words: str) -> None:
        if self.front.capture:
            self.front.capture.add_note(self.front.now_ms(), "return", words)

    def call_list(self) -> None:
        """Of fronts that are heard to come back together each in its time."""
        self.front.loop.call_later(self.front.list_client.extra_delay_s(), self.front.list_client.start)

    def open_halls(self) -> None:
        """The machine of halls, with what was kept of its parts; without a store it has to ask for them."""
        kept = self.front.store_service.load_zones() if self.front.store_service else None
        s, now = self.front.settings, self.front.now_ms()
        machine = ZoneFailover(
            ZoneSettings.of(s.terms),
            s.index,
            s.fronts,
            s.hall,
            int(self.front.wall() * 1000),
            Random(s.seed),
            now,
            state_complete=kept is not None,
            saved_state=kept or b"",
        )
        halls = self.front.set_up_requests.zones = ZonesDriver(
            self.front.loop,
            self.front.now_ms,
            machine,
            s.terms.cells,
            self.front.wall,
            self.front.membership,
            self.front.store_service,
            self.hall_said,
        )
        halls.on_move_home = self.front.set_up_requests.advise_move_home
        if self.front.membership:
            self.front.membership.on_zones_message = halls.on_message
            halls.update_members(self.front.membership.machine.view())
        halls.start()

    def hall_said(self, words: str) -> None:
        if self.front.capture:
            self.front.capture.add_note(self.front.now_ms(), "halls", words)

    def limits_plan(self) -> LimitSettings:
        s = self.front.settings
        return LimitSettings.of(s.terms, s.members.period_ms if s.members else MAX_PERIOD_MS)

    def open_limits(self) -> None:
        """The machine of the fleet's limits: as the process that is relieved had it, or as one that remembers
        nothing. Where workers outlive a decider, sessions of the life before may stand."""
        s, now = self.front.settings, clock_ms()
        random = Random(SystemRandom().getrandbits(64))
        life, fresh = int(self.front.wall() * 1000), s.workers == 0
        machine = FleetLimits(self.limits_plan(), s.index, s.fronts, s.hall, life, random, now, fresh)
        if (
            self.front.inherited
            and self.front.inherited.message
            and (state := self.front.inherited.message.get("limits"))
        ):
            machine.restore_state(now, b64decode(state))
        desk = self.front.set_up_requests.limits = LimitsDriver(
            self.front.loop, machine, self.front.membership, record_event=self.limit_said
        )
        desk.on_session_end = self.front.set_up_requests.end_session
        if self.front.membership:
            self.front.membership.on_limits_message = desk.on_message
            desk.update_members(self.front.membership.machine.view(), False)
        desk.start()

    def limit_said(self, words: str, ask: int) -> None:
        if self.front.capture:
            self.front.capture.add_note(self.front.now_ms(), "limits", words, ask)

    def stop(self) -> None:
        """Nothing more is said or written by this process."""
        if self.front.set_up_requests.limits:
            self.front.set_up_requests.limits.stop()
        if self.front.set_up_requests.zones:
            self.front.set_up_requests.zones.stop()
        if self.front.set_up_requests.recovery:
            self.front.set_up_requests.recovery.stop()
