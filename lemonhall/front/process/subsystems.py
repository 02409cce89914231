"""State machines next to the decision module of a front (recovery, zones, limits): creation, wiring, stop."""

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
# Wait of a starting front before it requests the server list, so that it knows of peers in recovery.
RECOVERY_WAIT_S = 0.03
DEFAULT_MAX_PAUSE_MS = 2000.0  # longest pause advised during recovery, where the settings name none


class Front(Protocol):
    """The part of the daemon that these state machines need."""

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
    """Creates the state machines of a front, connects them to their drivers, and stops them."""

    def __init__(self, front: Front) -> None:
        self.front = front

    def open_recovery(self, fresh: bool) -> None:
        """Starts recovery. A `fresh` front does not replace a running one.

        It uses the stored server list, and asks peers about its store before it uses its ledger.
        """
        settings, terms = self.front.settings, self.front.settings.terms
        machine = Recovery(
            self.front.now_ms(),
            settings.index,
            settings.fronts,
            Random(SystemRandom().getrandbits(64)),
            PhaseTimeouts(period_ms=settings.members.period_ms) if settings.members else PhaseTimeouts(),
            terms.max_pause_ms or DEFAULT_MAX_PAUSE_MS,
            (lambda: self.front.store_service.checkpoint if self.front.store_service else None),
            sum(t.quota_per_s for t in terms.tenants),
            self.front.membership is not None,
        )
        driver = self.front.set_up_requests.recovery = RecoveryDriver(
            self.front.loop,
            self.front.now_ms,
            machine,
            self.front.membership,
            self.front.store_service,
            self.front.set_up_requests.release_held_request,
            self.on_recovery_note,
        )
        if self.front.membership:
            self.front.membership.on_view_changed = self.front.on_membership_view
        self.front.list_client.on_list_alive = lambda as_of: driver.record_list_alive(
            as_of, len(self.front.list_client.server_list.boxes)
        )
        self.front.list_client.extra_delay_s = lambda: machine.list_wait_ms() / 1000
        machine.page_server.build = self.known_servers
        driver.on_page_received = self.on_state_received
        if fresh:
            self.front.list_client.load_cache()
            if not self.front.list_client.server_list.boxes:
                driver.request_list()
        if not settings.list_url:
            # There is no list to wait for.
            driver.record_list_alive(0.0, len(self.front.list_client.server_list.boxes))
        elif not (fresh and settings.members):
            self.front.list_client.start()
        else:  # by then, peers that recover as well have announced themselves
            self.front.loop.call_later(RECOVERY_WAIT_S, self.start_list_client)
        if fresh and settings.members:
            driver.verify_store(settings.members.period_ms)
        driver.start()

    def known_servers(self) -> list[Any]:
        return list_pages(self.front.list_client.server_list, self.front.memory(), self.front.now_ms())

    def on_state_received(self, page: Any) -> None:
        """Uses peers' state like a stored list and memory: parts by their age, loads as second-hand data."""
        if not self.front.list_client.adopt_list(update_from_page(page)):
            return
        memory = memory_from_page(page, self.front.memory(), self.front.now_ms())
        if memory is not None:
            self.front.bridge.enqueue(memory)
        self.front.counts["handed_servers"] += len(page.entries)
        loads = len(memory.servers) if memory else 0
        log.info("server list received from peers", servers=len(page.entries), loads=loads)
        self.on_recovery_note(f"others knew of {len(page.entries)} servers")

    def on_recovery_note(self, text: str) -> None:
        if self.front.capture:
            self.front.capture.add_note(self.front.now_ms(), "return", text)

    def start_list_client(self) -> None:
        """Starts the list client; fronts that recover together are spread over time."""
        self.front.loop.call_later(self.front.list_client.extra_delay_s(), self.front.list_client.start)

    def open_zones(self) -> None:
        """Starts the zones' state machine with its stored shares; without a store it asks peers for them."""
        stored = self.front.store_service.load_zones() if self.front.store_service else None
        settings, now = self.front.settings, self.front.now_ms()
        machine = ZoneFailover(
            ZoneSettings.of(settings.terms),
            settings.index,
            settings.fronts,
            settings.hall,
            int(self.front.wall() * 1000),
            Random(settings.seed),
            now,
            state_complete=stored is not None,
            saved_state=stored or b"",
        )
        driver = self.front.set_up_requests.zones = ZonesDriver(
            self.front.loop,
            self.front.now_ms,
            machine,
            settings.terms.cells,
            self.front.wall,
            self.front.membership,
            self.front.store_service,
            self.on_zone_note,
        )
        driver.on_move_home = self.front.set_up_requests.advise_move_home
        if self.front.membership:
            self.front.membership.on_zones_message = driver.on_message
            driver.update_members(self.front.membership.machine.view())
        driver.start()

    def on_zone_note(self, text: str) -> None:
        if self.front.capture:
            self.front.capture.add_note(self.front.now_ms(), "halls", text)

    def limit_settings(self) -> LimitSettings:
        settings = self.front.settings
        return LimitSettings.of(
            settings.terms, settings.members.period_ms if settings.members else MAX_PERIOD_MS
        )

    def open_limits(self) -> None:
        """Starts the fleet limits' state machine, with the state of the replaced process or with none.

        Where workers outlive a decider, sessions of an earlier incarnation may still play.
        """
        settings, now = self.front.settings, clock_ms()
        random = Random(SystemRandom().getrandbits(64))
        incarnation, fresh = int(self.front.wall() * 1000), settings.workers == 0
        machine = FleetLimits(
            self.limit_settings(),
            settings.index,
            settings.fronts,
            settings.hall,
            incarnation,
            random,
            now,
            fresh,
        )
        if (
            self.front.inherited
            and self.front.inherited.message
            and (state := self.front.inherited.message.get("limits"))
        ):
            machine.restore_state(now, b64decode(state))
        driver = self.front.set_up_requests.limits = LimitsDriver(
            self.front.loop, machine, self.front.membership, record_event=self.on_limit_note
        )
        driver.on_session_end = self.front.set_up_requests.end_session
        if self.front.membership:
            self.front.membership.on_limits_message = driver.on_message
            driver.update_members(self.front.membership.machine.view(), False)
        driver.start()

    def on_limit_note(self, text: str, request_id: int) -> None:
        if self.front.capture:
            self.front.capture.add_note(self.front.now_ms(), "limits", text, request_id)

    def stop(self) -> None:
        """Stops the state machines: they send and write nothing more."""
        if self.front.set_up_requests.limits:
            self.front.set_up_requests.limits.stop()
        if self.front.set_up_requests.zones:
            self.front.set_up_requests.zones.stop()
        if self.front.set_up_requests.recovery:
            self.front.set_up_requests.recovery.stop()
