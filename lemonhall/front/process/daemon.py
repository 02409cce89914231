"""The daemon: connects the decider's parts on one event loop, starts them, and stops them in order.

When it stops, every accepted request is answered first. Without worker processes, viewers and media servers
are handled on the same loop, through the same message interface.
"""

from __future__ import annotations

import importlib.util
import json
import socket
import time
import traceback
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random, SystemRandom
from typing import Any, Protocol

import structlog

from lemonhall import decide
from lemonhall import interface as i
from lemonhall.config.settings import FrontSettings, StoreSettings, fixed_changes
from lemonhall.front.decider.bridge import Bridge, Decider
from lemonhall.front.decider.claim_resolver import ClaimResolver
from lemonhall.front.decider.hooks import HookRunner
from lemonhall.front.decider.list_client import ListClient
from lemonhall.front.decider.membership import Membership, read_keys
from lemonhall.front.decider.peers import PeerSocket
from lemonhall.front.decider.set_up_requests import SetUpRequests
from lemonhall.front.persistence.capture_writer import CaptureWriter, capture_header
from lemonhall.front.persistence.session_recorder import SessionRecorder
from lemonhall.front.persistence.store_service import StoreService
from lemonhall.front.process.local_queue import LocalQueue
from lemonhall.front.process.reader_client import ReaderClient
from lemonhall.front.process.status_pages import StatusPages
from lemonhall.front.process.subsystems import Subsystems
from lemonhall.front.servers.descriptions import DescribeCall
from lemonhall.front.viewers.worker import STOP_TIMEOUT_S, Worker
from lemonhall.interface import Outcome
from lemonhall.ipc import VERSION, Message, RedirectViewers, RetireWorker, StoreStatus, Welcome
from lemonhall.loop import Loop, listen
from lemonhall.loop.event_loop import READ
from lemonhall.loop.stream import start_accepting
from lemonhall.members import SwimConfig
from lemonhall.members.machine import MembershipView
from lemonhall.problem import BadInput

log = structlog.get_logger("lemonhall.front")
OVERDUE_CHECK_INTERVAL_S = 0.5


def load_module(path: str) -> Callable[[i.Settings, int], Decider]:
    """Loads the `Front` class of another decision module. Raises `BadInput` if there is none."""
    spec = importlib.util.spec_from_file_location("lemonhall_other_module", path)
    if spec is None or spec.loader is None or not Path(path).is_file():
        raise BadInput(path, "no Python file")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    if not hasattr(module, "Front"):
        raise BadInput(path, "defines no Front")
    front_class: Callable[[i.Settings, int], Decider] = module.Front
    return front_class


class Closable(Protocol):
    def close(self) -> None: ...


class Workers(Protocol):
    """Worker processes, as the daemon sees them."""

    def broadcast(self, message: Message) -> None: ...
    def send_settings(self, settings: FrontSettings) -> None: ...
    def worker_count(self) -> int: ...
    def start_accepting(self) -> None: ...
    def gauges(self) -> tuple[int, int]: ...
    def close(self) -> None: ...


@dataclass
class InheritedSockets:
    """Sockets opened before this process, by the front that it replaces or by its parent.

    From a front that is replaced come also the lock of its store and the message with its state.
    """

    viewers: socket.socket | None = None
    status: socket.socket | None = None
    peers: socket.socket | None = None
    members: socket.socket | None = None
    lock: int | None = None
    message: dict[str, Any] | None = None

    SOCKETS = ("viewers", "status", "peers", "members")


class Daemon:
    """A front, or its decider. Without `workers` this process handles the viewers itself."""

    def __init__(
        self,
        settings: FrontSettings,
        make: Callable[[i.Settings, int], Decider] = decide.Front,
        loop: Loop | None = None,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.settings, self.loop, self.wall = settings, loop or Loop(), wall
        self.start_wall_ms, self.start_monotonic_s = wall() * 1000, self.loop.now()
        random = Random(settings.seed)
        self.bridge = Bridge(make(settings.to_module(), settings.seed), self.now_ms)
        self.list_client = ListClient(
            self.loop,
            settings.list_url,
            settings.list_cache,
            settings.name,
            self.on_list_event,
            self.start_wall_ms,
        )
        self.reader_client = ReaderClient(self.loop)
        self.hooks = HookRunner(
            self.reader_client,
            settings,
            self.list_client.server_list.servers,
            lambda: self.gauges()[1],
            self.now_ms,
            lambda: self.wall() * 1000,
        )
        self.counts = Counter[str]()
        self.set_up_requests = SetUpRequests(
            self.loop,
            settings,
            self.bridge,
            Random(random.random()),
            self.list_client.server_list.addresses.get,
            self.hooks,
            self.counts,
        )
        self.workers: Workers | None = None
        self.worker = Worker(
            self.loop,
            settings,
            0,
            self.list_client.server_list,
            Random(random.random()),
            self.now_ms,
            wall,
            self.counts,
        )
        self.decider_queue, self.worker_queue = LocalQueue(self.loop, 1), LocalQueue(self.loop, 1)
        self.decider_queue.on_message = lambda message: self.set_up_requests.on_worker_message(
            self.worker_queue, message
        )
        self.worker_queue.on_message = self.worker.on_decider_message
        pools, listed = self.set_up_requests.pool_preferences, self.list_client.server_list
        pools.list_version, pools.server_ids = lambda: listed.version, listed.ids_by_address
        self.path, self.settings_tree = "", b""
        # Called with settings that were accepted in a reload.
        self.on_settings_changed: Callable[[bytes], object] = lambda tree: None
        self.stopping = self.draining = False
        self.peers: PeerSocket | None = None
        self.membership: Membership | None = None
        self.store_service: StoreService | None = None
        self.handover: Closable | None = None
        self.inherited: InheritedSockets | None = None  # from the front that this one replaces, or the parent
        self.failpoint: Callable[[str], object] = lambda name: None
        self.listeners: list[socket.socket] = []
        self.host = ""
        self.capture: CaptureWriter | None = None
        self.status_pages = StatusPages(self)
        self.subsystems = Subsystems(self)
        self.set_up_requests.on_set_up_time = self.status_pages.observe_set_up
        self.bridge.action_handlers.update(
            {
                i.SetTimer: self.set_timer,
                i.Probe: self.probe,
                i.SendToPeers: self.send_to_peers,
                i.Subscribe: self.list_client.subscribe,
                i.Reload: self.list_client.reload,
                i.LogMessage: lambda action: log.info("remark", text=action.text),
            }
        )
        self.loop.end_of_pass_callbacks.append(self.bridge.flush)
        self.loop.on_error = self.on_error

    # reload of settings

    def remember_settings(self, path: str, tree: bytes) -> None:
        """Keeps the settings' path and pickled checked nodes, which a reload is compared with."""
        self.path, self.settings_tree = path, tree

    def reload(self) -> None:
        """Reloads settings and hook scripts while sessions play. All changes apply at once, or none."""
        if not self.path:
            self.hooks.reload()
            return
        try:
            self.reader_client.submit(("settings", self.path, self.settings_tree), self.on_settings_read)
        except OSError as error:
            log.error("settings cannot be read; keeping the current ones", error=str(error))

    def on_settings_read(self, result: Any) -> None:
        if result is None or result[0] is None:
            problems = [str(p) for p in result[3]] if result else ["the settings could not be read"]
            self.reject_settings(problems)
            return
        settings, tree, changes, _ = result
        if fixed := fixed_changes(self.settings, settings):
            self.reject_settings([f"{name} cannot change while the front runs" for name in fixed])
            return
        self.settings_tree = tree
        self.on_settings_changed(tree)
        self.settings = self.set_up_requests.settings = settings
        self.set_up_requests.pool_preferences.reset(settings)
        self.worker.replace_settings(settings, 1)
        if self.workers:
            self.workers.send_settings(settings)
        self.counts["settings_loaded"] += 1
        for change in changes:
            log.info("settings changed", what=change.what, danger=change.danger, place=change.place)
        log.info("settings loaded", changes=len(changes))
        if self.capture:
            for change in changes:
                self.capture.add_note(self.now_ms(), "settings", change.what)
        if self.set_up_requests.limits:
            self.set_up_requests.limits.update_settings(self.subsystems.limit_settings())
        elif settings.terms.fleet_limits:
            self.subsystems.open_limits()
        self.hooks.apply_settings(settings)

    def reject_settings(self, problems: list[str]) -> None:
        self.counts["settings_refused"] += 1
        log.error("new settings rejected; keeping the current ones", problems=problems[:20])
        self.hooks.on_load(False)

    def now_ms(self) -> float:
        """The decision module's clock: Unix time at the start, monotonic from then on."""
        return self.start_wall_ms + (self.loop.now() - self.start_monotonic_s) * 1000

    def on_error(self, error: Exception) -> None:
        """Counts and logs an exception of one callback, with its trace; everything else goes on."""
        self.counts["faults"] += 1
        log.error("fault", exc_info=error)

    # starting and stopping

    def open(self) -> tuple[str, int]:
        """Listens and starts. Returns the viewers' address. Raises `OSError` if an address is in use."""
        settings, inherited = self.settings, self.inherited or InheritedSockets()
        if settings.capture.on:
            self.capture = self.bridge.capture = CaptureWriter(
                settings.capture, capture_header(settings), self.wall
            )
        if settings.store and self.store_service is None:
            self.open_store(settings.store)
        if settings.members:
            self.membership = Membership(
                self.loop,
                settings.index,
                settings.fronts,
                settings.members.listen,
                settings.members.seeds,
                read_keys(settings.members.keys),
                self.bridge.enqueue,
                SystemRandom(),
                SwimConfig(
                    period_ms=settings.members.period_ms, ack_timeout_ms=0.3 * settings.members.period_ms
                ),
                inherited.members,
                tuple(inherited.message["fleet"])
                if inherited.message and inherited.message["fleet"]
                else None,
                settings.members.via,
            )
        fresh = inherited.message is None
        self.subsystems.open_recovery(fresh)
        self.hooks.start()
        if inherited.viewers is None:
            viewers = listen(self.loop, settings.listen, self.worker.accept, reuse_port=settings.share_port)
        else:
            viewers = inherited.viewers
            if self.workers is None:
                start_accepting(self.loop, viewers, self.worker.accept)
        self.listeners.append(viewers)
        address = viewers.getsockname()
        self.host = self.worker.host = address if isinstance(address, str) else f"{address[0]}:{address[1]}"
        if settings.status:
            self.open_status(self.status_pages.connection_handler(), inherited.status)
        if settings.peers_listen:
            self.peers = PeerSocket(
                self.loop,
                settings.peers_listen,
                settings.index,
                settings.peers,
                self.bridge.enqueue,
                inherited.peers,
            )
        self.set_up_requests.claim_resolver = ClaimResolver(self.loop, self.store_service, self.membership)
        if self.membership:
            self.membership.on_claim_message = self.set_up_requests.claim_resolver.on_message
        if settings.terms.spills:
            self.subsystems.open_zones()
        if settings.terms.fleet_limits:
            self.subsystems.open_limits()
        if settings.record:
            self.set_up_requests.recorder = SessionRecorder(
                Path(settings.record), settings, self.loop.now() * 1000
            )
        if self.store_service:
            self.restore_stored_state(self.store_service, fresh)
        self.open_handover()
        if self.workers:
            self.workers.start_accepting()
        else:
            self.worker.on_decider_connected(self.decider_queue, self.welcome())
        self.bridge.call_module()
        if settings.limits.memory:
            self.worker.check_memory()
        self.check_overdue_requests()
        pages_at = self.listeners[1].getsockname() if len(self.listeners) > 1 else ""
        status_address = pages_at if isinstance(pages_at, str) else f"{pages_at[0]}:{pages_at[1]}"
        log.info(
            "serving",
            at=self.host,
            front=settings.name,
            index=settings.index,
            fronts=settings.fronts,
            status=status_address,
        )
        return (address, 0) if isinstance(address, str) else (address[0], address[1])

    def on_list_event(self, event: i.Event) -> None:
        """Passes an event of the list client to the module, and server lists to the zones' state machine."""
        self.bridge.enqueue(event)
        if self.set_up_requests.zones and isinstance(event, i.ServerList) and event.kind != i.ListKind.FAILED:
            fresh = event.kind != i.ListKind.CACHED
            self.set_up_requests.zones.on_server_list(self.list_client.server_list.servers(), fresh)

    def open_handover(self) -> None:
        """Overridden where the front can be handed over to a successor."""

    def welcome(self, version: int = VERSION, takes_viewers: bool = True) -> Welcome:
        """The first message to a worker."""
        ledger = self.store_service.ledger if self.store_service else None
        store, pruned_s = (ledger.store, ledger.pruned_s) if ledger else (0, 0)
        return Welcome(version, self.settings.index, store, pruned_s, takes_viewers)

    def broadcast(self, message: Message) -> None:
        if self.workers:
            self.workers.broadcast(message)
        else:
            self.worker_queue.send(message)

    def check_overdue_requests(self) -> None:
        self.set_up_requests.expire_overdue_requests()
        self.loop.call_later(OVERDUE_CHECK_INTERVAL_S, self.check_overdue_requests)

    def on_store_status(self, failing: bool) -> None:
        assert self.store_service
        self.broadcast(StoreStatus(self.store_service.ledger.pruned_s, failing))

    def gauges(self) -> tuple[int, int]:
        """Numbers of viewers and sessions, over all workers."""
        return (
            self.workers.gauges()
            if self.workers
            else (len(self.worker.viewers), len(self.worker.sessions_by_id))
        )

    def open_status(
        self, accept: Callable[[socket.socket, Any], object], inherited: socket.socket | None
    ) -> None:
        if inherited:
            start_accepting(self.loop, inherited, accept)
            self.listeners.append(inherited)
        else:
            assert self.settings.status
            self.listeners.append(listen(self.loop, self.settings.status, accept))
        self.status_handler = accept

    def on_membership_view(self, view: MembershipView) -> None:
        """Passes a new view of the fleet's members on."""
        if self.set_up_requests.limits and self.membership:
            self.set_up_requests.limits.update_members(view, self.membership.machine.duplicate_number)
        if self.set_up_requests.zones:
            self.set_up_requests.zones.update_members(view)
        if self.set_up_requests.recovery:
            self.set_up_requests.recovery.update_members(view)
        if self.capture:
            members = " ".join(map(str, view.members))
            text = f"there are {members}" + (", this one may be cut off" if view.isolated else "")
            self.capture.add_note(self.now_ms(), "members", text)

    # handover

    def pause_front(self) -> None:
        """Accepts no connection and sends nothing to other fronts while the front's owner is not known."""
        for sock in self.listeners:
            self.loop.watch_socket(sock, 0, self.worker.accept)
        if self.membership:
            self.membership.pause()
        self.subsystems.stop()
        if self.peers:
            self.loop.watch_socket(self.peers.sock, 0, self.peers.on_ready)

    def resume_front(self) -> None:
        start_accepting(self.loop, self.listeners[0], self.worker.accept)
        if len(self.listeners) > 1:
            start_accepting(self.loop, self.listeners[1], self.status_handler)
        if self.membership:
            self.membership.resume()
        if self.set_up_requests.zones:
            self.set_up_requests.zones.start()
        if self.set_up_requests.limits:
            self.set_up_requests.limits.start()
        if self.set_up_requests.recovery:
            self.set_up_requests.recovery.start()
        if self.peers:
            self.loop.watch_socket(self.peers.sock, READ, self.peers.on_ready)

    def exit_after_handover(self) -> None:
        """Everything has been handed over: exits without notice to viewers, servers or other fronts."""
        self.stopping = True
        self.subsystems.stop()
        self.list_client.wanted = False
        if self.list_client.stream:
            self.list_client.stream.abort()
        self.list_client.stop()
        self.reader_client.stop()
        if self.set_up_requests.recorder:
            self.set_up_requests.recorder.stop()
        if self.membership:
            self.membership.close()
        if self.peers:
            self.peers.close()
        for sock in self.listeners:
            sock.close()
        if self.capture:
            self.capture.close()
        if self.store_service:
            self.store_service.close(handed_over=True)
        if self.handover:
            self.handover.close()
        self.loop.stop()

    def open_store(self, settings: StoreSettings, lock: int | None = None) -> None:
        random = Random(SystemRandom().getrandbits(64))  # tokens must be unique, whatever the seed
        self.store_service = StoreService(
            self.loop, settings, self.settings.index, random, self.memory, self.wall, lock
        )
        self.list_client.store_service = self.set_up_requests.store_service = self.store_service
        self.store_service.on_failing_changed = self.on_store_status

    def memory(self) -> i.LearnedState | None:
        """What the module has learned; None if another module does not provide it."""
        get_memory: Callable[[], i.LearnedState] | None = getattr(self.bridge.decider, "memory", None)
        return get_memory() if get_memory and self.bridge.calls else None

    def restore_stored_state(self, store_service: StoreService, fresh: bool) -> None:
        """Restores what an earlier process stored, unless a running front handed its state over.

        Sessions that were playing then have ended with their process.
        """
        if not fresh:
            store_service.start()
            return
        if memory := store_service.load_learned_state():
            self.bridge.enqueue(memory)
        lost = store_service.forget_lost_sessions()
        if memory or lost:
            age_s = round((self.now_ms() - memory.recorded_at) / 1000, 1) if memory else None
            log.info("stored state restored", sessions_lost=lost, learned_state_age_s=age_s)
        store_service.start()

    def drain(self) -> None:
        """Accepts nothing new and lets sessions play on, as long as the settings allow. Then stops."""
        if self.draining or self.stopping:
            return
        self.draining = self.worker.draining = True
        log.info("draining", sessions=self.gauges()[1])
        if self.membership:
            self.membership.announce_leave()
        if self.settings.drain_to:
            self.broadcast(RedirectViewers(self.settings.drain_to))
        if self.workers:
            self.workers.broadcast(RetireWorker(False))
        for sock in self.listeners[:1]:
            self.loop.watch_socket(sock, 0, self.worker.accept)
            sock.close()
        self.loop.call_later(self.settings.limits.drain_ms / 1000, self.stop)
        self.check_drained()

    def check_drained(self) -> None:
        if not (self.workers.worker_count() if self.workers else self.worker.sessions_by_id):
            self.stop()
        elif not self.stopping:
            self.loop.call_later(0.1, self.check_drained)

    def report_crash(self, error: BaseException) -> dict[str, Any]:
        """Returns a report about a crash of the loop, and writes it to the file that the settings name."""
        report = {
            "at_ms": self.wall() * 1000,
            "front": self.settings.name,
            "error": repr(error),
            "trace": traceback.format_exception(error),
            "passes": self.loop.pass_count,
            "longest_pass_s": self.loop.longest_pass_s,
            "viewers": self.gauges()[0],
            "sessions": self.gauges()[1],
            "asks": len(self.set_up_requests.open_requests),
            "counts": dict(self.counts),
            "hooks": self.hooks.engine.report(),
        }
        log.error("crash", error=repr(error))
        if self.capture:
            report["capture_gaps"] = self.capture.gaps
        if self.settings.crash_report:
            Path(self.settings.crash_report).write_text(json.dumps(report, indent=1) + "\n")
        return report

    def step_down(self) -> None:
        """Another decider is about to take over with the same workers: exits without notice to anyone."""
        self.stopping = True
        self.subsystems.stop()
        self.list_client.wanted = False
        self.reader_client.stop()
        if self.set_up_requests.recorder:
            self.set_up_requests.recorder.stop()
        if self.membership:
            self.membership.close()
            self.membership = None
        if self.peers:
            self.peers.close()
            self.peers = None
        self.shut_down()

    def stop(self) -> None:
        """Accepts nothing new, answers open requests, ends playing sessions, then ends the loop."""
        if self.stopping:
            return
        self.stopping = True
        log.info("stopping", open_requests=len(self.set_up_requests.open_requests), viewers=self.gauges()[0])
        for sock in self.listeners:
            if sock.fileno() >= 0:
                self.loop.watch_socket(sock, 0, self.worker.accept)
                sock.close()
        self.reader_client.stop()
        self.loop.call_later(STOP_TIMEOUT_S, self.shut_down)
        if self.workers:
            self.workers.broadcast(RetireWorker(True))
        else:
            self.worker.stop()
        self.finish_stop()

    def finish_stop(self) -> None:
        """Repeats until no request is open and no attempt is in progress, then closes the other parts."""
        if (
            self.workers.worker_count()
            if self.workers
            else self.worker.requests_by_number or self.set_up_requests.open_requests
        ):
            self.loop.call_later(0.02, self.finish_stop)
            return
        self.list_client.stop()
        if self.set_up_requests.recorder:
            self.set_up_requests.recorder.stop()
        if self.handover:
            self.handover.close()
        if self.membership:
            self.membership.leave()
            self.membership = None
        if self.peers:
            self.peers.close()
            self.peers = None
        self.loop.call_later(0.05, self.shut_down)

    def shut_down(self) -> None:
        """Writes what store and capture still have to write, and ends the loop."""
        self.subsystems.stop()
        if self.workers:
            self.workers.close()
        if self.capture:
            self.capture.close()
        if self.store_service:
            self.store_service.close()
        self.loop.stop()

    # actions

    def set_timer(self, action: i.SetTimer) -> None:
        self.loop.call_later(action.after_ms / 1000, self.bridge.enqueue, i.TimerDue(action.token))

    def send_to_peers(self, action: i.SendToPeers) -> None:
        if self.peers:
            self.peers.send(action)

    def probe(self, action: i.Probe) -> None:
        """Sends DESCRIBE for an empty path: its answer shows that requests are read; OPTIONS would not."""
        address = self.list_client.server_list.addresses.get(action.server)
        started_at = self.loop.now()

        def on_done(status_code: int, _: bytes) -> None:
            outcome = {502: Outcome.CONNECT_FAILED, 504: Outcome.TIMEOUT}.get(status_code, Outcome.OK)
            took_ms = (self.loop.now() - started_at) * 1000
            self.bridge.enqueue(i.ProbeEnded(action.server, outcome, took_ms))

        if address is None:
            self.loop.call_soon(on_done, 502, b"")
        else:
            DescribeCall(self.loop, address, "/", on_done)
