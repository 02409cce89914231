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
from lemonhall.front.deciding.asks import Asks
from lemonhall.front.deciding.bridge import Bridge
from lemonhall.front.deciding.halls import HallsDesk
from lemonhall.front.deciding.limits import LimitsDesk, clock_ms
from lemonhall.front.deciding.listclient import ListClient
from lemonhall.front.deciding.membership import Membership
from lemonhall.front.deciding.returning import ReturnDesk, known, list_of, memory_of
from lemonhall.front.keeping.capturing import Capturer
from lemonhall.front.keeping.keeper import Keeper
from lemonhall.halls import Halls, Plan
from lemonhall.limits import Limits
from lemonhall.limits import Plan as LimitsPlan
from lemonhall.limits.plan import PERIOD_MOST_MS
from lemonhall.loop import Loop
from lemonhall.members.machine import View
from lemonhall.recovery import Recovery, Waits

log = structlog.get_logger("lemonhall.front")
# Wait of a starting front before it requests the server list, so that it knows of peers in recovery.
RECOVERY_WAIT_S = 0.03
DEFAULT_MAX_PAUSE_MS = 2000.0  # longest pause advised during recovery, where the settings name none


class Front(Protocol):
    """The part of the daemon that these state machines need."""

    settings: FrontSettings
    loop: Loop
    wall: Callable[[], float]
    asks: Asks
    bridge: Bridge
    list: ListClient
    counts: Counter[str]
    membership: Membership | None
    keeper: Keeper | None
    capture: Capturer | None
    inherited: Any

    def now_ms(self) -> float: ...
    def memory(self) -> i.Memory | None: ...
    def on_membership_view(self, view: View) -> None: ...


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
            Waits(period=settings.members.period_ms) if settings.members else Waits(),
            terms.max_pause_ms or DEFAULT_MAX_PAUSE_MS,
            (lambda: self.front.keeper.mark if self.front.keeper else None),
            sum(t.quota_per_s for t in terms.tenants),
            self.front.membership is not None,
        )
        driver = self.front.asks.returning = ReturnDesk(
            self.front.loop,
            self.front.now_ms,
            machine,
            self.front.membership,
            self.front.keeper,
            self.front.asks.let,
            self.on_recovery_note,
        )
        if self.front.membership:
            self.front.membership.on_view = self.front.on_membership_view
        self.front.list.on_sign = lambda as_of: driver.sign(as_of, len(self.front.list.list.boxes))
        self.front.list.wait_s = lambda: machine.list_wait_ms() / 1000
        machine.giving.know = self.known_servers
        driver.on_handed = self.on_state_received
        if fresh:
            self.front.list.load_cache()
            if not self.front.list.list.boxes:
                driver.want()
        if not settings.list_url:
            driver.sign(0.0, len(self.front.list.list.boxes))  # there is no list to wait for
        elif not (fresh and settings.members):
            self.front.list.start()
        else:  # by then peers that recover as well have announced it
            self.front.loop.call_later(RECOVERY_WAIT_S, self.start_list_client)
        if fresh and settings.members:
            driver.vouch(settings.members.period_ms)
        driver.start()

    def known_servers(self) -> list[Any]:
        return known(self.front.list.list, self.front.memory(), self.front.now_ms())

    def on_state_received(self, page: Any) -> None:
        """Uses peers' state like a stored list and memory: parts by their age, loads as second-hand data."""
        if not self.front.list.take_over(list_of(page)):
            return
        memory = memory_of(page, self.front.memory(), self.front.now_ms())
        if memory is not None:
            self.front.bridge.tell(memory)
        self.front.counts["handed_servers"] += len(page.entries)
        loads = len(memory.servers) if memory else 0
        log.info("server list received from peers", servers=len(page.entries), loads=loads)
        self.on_recovery_note(f"others knew of {len(page.entries)} servers")

    def on_recovery_note(self, text: str) -> None:
        if self.front.capture:
            self.front.capture.word(self.front.now_ms(), "return", text)

    def start_list_client(self) -> None:
        """Starts the list client; fronts that recover together are spread over time."""
        self.front.loop.call_later(self.front.list.wait_s(), self.front.list.start)

    def open_zones(self) -> None:
        """Starts the zones' state machine with its stored shares; without a store it asks peers for them."""
        stored = self.front.keeper.load_halls() if self.front.keeper else None
        settings, now = self.front.settings, self.front.now_ms()
        machine = Halls(
            Plan.of(settings.terms),
            settings.index,
            settings.fronts,
            settings.hall,
            int(self.front.wall() * 1000),
            Random(settings.seed),
            now,
            remembers=stored is not None,
            kept=stored or b"",
        )
        driver = self.front.asks.halls = HallsDesk(
            self.front.loop,
            self.front.now_ms,
            machine,
            settings.terms.cells,
            self.front.wall,
            self.front.membership,
            self.front.keeper,
            self.on_zone_note,
        )
        driver.on_move = self.front.asks.come_home
        if self.front.membership:
            self.front.membership.on_halls = driver.heard
            driver.view(self.front.membership.machine.view())
        driver.start()

    def on_zone_note(self, text: str) -> None:
        if self.front.capture:
            self.front.capture.word(self.front.now_ms(), "halls", text)

    def limits_plan(self) -> LimitsPlan:
        settings = self.front.settings
        return LimitsPlan.of(
            settings.terms, settings.members.period_ms if settings.members else PERIOD_MOST_MS
        )

    def open_limits(self) -> None:
        """Starts the fleet limits' state machine, with the state of the replaced process or with none.

        Where workers outlive a decider, sessions of an earlier incarnation may still play.
        """
        settings, now = self.front.settings, clock_ms()
        random = Random(SystemRandom().getrandbits(64))
        incarnation, fresh = int(self.front.wall() * 1000), settings.workers == 0
        machine = Limits(
            self.limits_plan(),
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
            machine.take_over(now, b64decode(state))
        driver = self.front.asks.limits = LimitsDesk(
            self.front.loop, machine, self.front.membership, said=self.on_limit_note
        )
        driver.on_end = self.front.asks.end_session
        if self.front.membership:
            self.front.membership.on_limits = driver.heard
            driver.view(self.front.membership.machine.view(), False)
        driver.start()

    def on_limit_note(self, text: str, request_id: int) -> None:
        if self.front.capture:
            self.front.capture.word(self.front.now_ms(), "limits", text, request_id)

    def stop(self) -> None:
        """Stops the state machines: they send and write nothing more."""
        if self.front.asks.limits:
            self.front.asks.limits.stop()
        if self.front.asks.halls:
            self.front.asks.halls.stop()
        if self.front.asks.returning:
            self.front.asks.returning.stop()
