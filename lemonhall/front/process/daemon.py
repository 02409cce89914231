"""The front as a daemon: the deciding side wired to one loop, started, and stopped so that what was taken is
answered. Without workers in processes of their own viewers and servers are on the same loop, behind the same
seam."""

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
from lemonhall.front.viewers.worker import STOP_S, Worker
from lemonhall.interface import Outcome
from lemonhall.ipc import VERSION, Message, RedirectViewers, RetireWorker, StoreStatus, Welcome
from lemonhall.loop import Loop, listen
from lemonhall.loop.event_loop import READ
from lemonhall.loop.stream import start_accepting
from lemonhall.members import SwimConfig
from lemonhall.members.machine import MembershipView
from lemonhall.problem import BadInput

log = structlog.get_logger("lemonhall.front")
LOOK_BACK_S = 0.5


def load_module(path: str) -> Callable[[i.Settings, int], Decider]:
    """The `Front` of another file of decisions. Raises `BadInput` if there is none."""
    spec = importlib.util.spec_from_file_location("lemonhall_other_module", path)
    if spec is None or spec.loader is None or not Path(path).is_file():
        raise BadInput(path, "no Python file")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    if not hasattr(module, "Front"):
        raise BadInput(path, "defines no Front")
    made: Callable[[i.Settings, int], Decider] = module.Front
    return made


class Closing(Protocol):
    def close(self) -> None: ...


class Workers(Protocol):
    """Workers in processes of their own, as the daemon sees them."""

    def send_all(self, message: Message) -> None: ...
    def settle(self, settings: FrontSettings) -> None: ...
    def left(self) -> int: ...
    def opened(self) -> None: ...
    def gauges(self) -> tuple[int, int]: ...
    def close(self) -> None: ...


@dataclass
class InheritedSockets:
    """Sockets that were open before this process: of the front that it relieves, or of its parent."""

    viewers: socket.socket | None = None
    status: socket.socket | None = None
    peers: socket.socket | None = None
    members: socket.socket | None = None
    lock: int | None = None
    message: dict[str, Any] | None = None

    SOCKETS = ("viewers", "status", "peers", "members")


class Daemon:
    """`viewers` of `open`'s world are this process's own where `workers` is None, else the workers'."""

    def __init__(
        self,
        settings: FrontSettings,
        make: Callable[[i.Settings, int], Decider] = decide.Front,
        loop: Loop | None = None,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.settings, self.loop, self.wall = settings, loop or Loop(), wall
        self.start_wall_ms, self.start = wall() * 1000, self.loop.now()
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
        self.decider_queue.heard = lambda message: self.set_up_requests.on_worker_message(
            self.worker_queue, message
        )
        self.worker_queue.heard = self.worker.heard
        pools, listed = self.set_up_requests.pool_preferences, self.list_client.server_list
        pools.list_version, pools.server_ids = lambda: listed.version, listed.ids_by_address
        self.path, self.settings_tree = "", b""
        self.on_settings_changed: Callable[[bytes], object] = lambda tree: (
            None
        )  # told of settings that hold from now on
        self.stopping = self.draining = False
        self.peers: PeerSocket | None = None
        self.membership: Membership | None = None
        self.store_service: StoreService | None = None
        self.handover: Closing | None = None
        self.inherited: InheritedSockets | None = None  # from the front that this one relieves
        self.failpoint: Callable[[str], object] = lambda name: None
        self.listeners: list[socket.socket] = []
        self.host = ""
        self.capture: CaptureWriter | None = None
        self.status_pages = StatusPages(self)
        self.subsystems = Subsystems(self)
        self.set_up_requests.on_set_up_time = self.status_pages.set_up_took
        self.bridge.action_handlers.update(
            {
                i.SetTimer: self.set_timer,
                i.Probe: self.probe,
                i.SendToPeers: self.tell_peers,
                i.Subscribe: self.list_client.subscribe,
                i.Reload: self.list_client.reload,
                i.LogMessage: lambda a: log.info("remark", text=a.text),
            }
        )
        self.loop.end_of_pass_callbacks.append(self.bridge.flush)
        self.loop.on_error = self.on_error

    # settings, anew

    def remember_settings(self, path: str, tree: bytes) -> None:
        """Where the settings came from, and their checked nodes, pickled: what a reload is held against."""
        self.path, self.settings_tree = path, tree

    def reload(self) -> None:
        """Reads settings and scripts anew, beside what plays. All of it holds from one moment, or nothing."""
        if not self.path:
            self.hooks.reload()
            return
        try:
            self.reader_client.submit(("settings", self.path, self.settings_tree), self.on_settings_read)
        except OSError as error:
            log.error("settings not read", error=str(error))

    def on_settings_read(self, result: Any) -> None:
        if result is None or result[0] is None:
            problems = [str(p) for p in result[3]] if result else ["the settings could not be read"]
            self.reject_settings(problems)
            return
        new, tree, changes, _ = result
        if fixed := fixed_changes(self.settings, new):
            self.reject_settings([f"{name} cannot change while the front runs" for name in fixed])
            return
        self.settings_tree = tree
        self.on_settings_changed(tree)
        self.settings = self.set_up_requests.settings = new
        self.set_up_requests.pool_preferences.reset(new)
        self.worker.settle(new, 1)
        if self.workers:
            self.workers.settle(new)
        self.counts["settings_loaded"] += 1
        for change in changes:
            log.info("settings changed", what=change.what, danger=change.danger, place=change.place)
        log.info("settings loaded", changes=len(changes))
        if self.capture:
            for change in changes:
                self.capture.add_note(self.now_ms(), "settings", change.what)
        if self.set_up_requests.limits:
            self.set_up_requests.limits.apply_plan(self.subsystems.limits_plan())
        elif new.terms.fleet_limits:
            self.subsystems.open_limits()
        self.hooks.apply_settings(new)

    def reject_settings(self, problems: list[str]) -> None:
        self.counts["settings_refused"] += 1
        log.error("settings refused, the old ones stay", problems=problems[:20])
        self.hooks.on_load(False)

    def now_ms(self) -> float:
        """The module's clock: Unix time at the start, and from there monotonic."""
        return self.start_wall_ms + (self.loop.now() - self.start) * 1000

    def on_error(self, error: Exception) -> None:
        """A fault in one callback ends nothing else; it is counted and reported with its trace."""
        self.counts["faults"] += 1
        log.error("fault", exc_info=error)

    # starting and stopping

    def open(self) -> tuple[str, int]:
        """Listens and starts. Returns where viewers are served. Raises `OSError` if an address is taken."""
        s, taken = self.settings, self.inherited or InheritedSockets()
        if s.capture.on:
            self.capture = self.bridge.capture = CaptureWriter(s.capture, capture_header(s), self.wall)
        if s.store and self.store_service is None:
            self.open_store(s.store)
        if s.members:
            self.membership = Membership(
                self.loop,
                s.index,
                s.fronts,
                s.members.listen,
                s.members.seeds,
                read_keys(s.members.keys),
                self.bridge.enqueue,
                SystemRandom(),
                SwimConfig(period_ms=s.members.period_ms, ack_timeout_ms=0.3 * s.members.period_ms),
                taken.members,
                tuple(taken.message["fleet"]) if taken.message and taken.message["fleet"] else None,
                s.members.via,
            )
        anew = taken.message is None
        self.subsystems.open_return(anew)
        self.hooks.start()
        if taken.viewers is None:
            viewers = listen(self.loop, s.listen, self.worker.accept, reuse_port=s.share_port)
        else:
            viewers = taken.viewers
            if self.workers is None:
                start_accepting(self.loop, viewers, self.worker.accept)
        self.listeners.append(viewers)
        at = viewers.getsockname()
        self.host = self.worker.host = at if isinstance(at, str) else f"{at[0]}:{at[1]}"
        if s.status:
            self.open_status(self.status_pages.serve(), taken.status)
        if s.peers_listen:
            self.peers = PeerSocket(
                self.loop, s.peers_listen, s.index, s.peers, self.bridge.enqueue, taken.peers
            )
        self.set_up_requests.claim_resolver = ClaimResolver(self.loop, self.store_service, self.membership)
        if self.membership:
            self.membership.on_claim_message = self.set_up_requests.claim_resolver.on_message
        if s.terms.spills:
            self.subsystems.open_halls()
        if s.terms.fleet_limits:
            self.subsystems.open_limits()
        if s.record:
            self.set_up_requests.recorder = SessionRecorder(Path(s.record), s, self.loop.now() * 1000)
        if self.store_service:
            self.recall(self.store_service, anew)
        self.open_handover()
        if self.workers:
            self.workers.opened()
        else:
            self.worker.linked(self.decider_queue, self.welcome())
        self.bridge.call_module()
        if s.limits.memory:
            self.worker.watch_memory()
        self.check_overdue_requests()
        pages_at = self.listeners[1].getsockname() if len(self.listeners) > 1 else ""
        shown = pages_at if isinstance(pages_at, str) else f"{pages_at[0]}:{pages_at[1]}"
        log.info("serving", at=self.host, front=s.name, index=s.index, fronts=s.fronts, status=shown)
        return (at, 0) if isinstance(at, str) else (at[0], at[1])

    def on_list_event(self, event: i.Event) -> None:
        """What the list client tells the module goes to the machine of halls as well."""
        self.bridge.enqueue(event)
        if self.set_up_requests.zones and isinstance(event, i.ServerList) and event.kind != i.ListKind.FAILED:
            fresh = event.kind != i.ListKind.CACHED
            self.set_up_requests.zones.on_server_list(self.list_client.server_list.servers(), fresh)

    def open_handover(self) -> None:
        """Where a front can be relieved, its class says how."""

    def welcome(self, version: int = VERSION, mine: bool = True) -> Welcome:
        """What a worker must know to begin with."""
        ledger = self.store_service.ledger if self.store_service else None
        store, pruned_s = (ledger.store, ledger.pruned_s) if ledger else (0, 0)
        return Welcome(version, self.settings.index, store, pruned_s, mine)

    def send_all(self, message: Message) -> None:
        if self.workers:
            self.workers.send_all(message)
        else:
            self.worker_queue.send(message)

    def check_overdue_requests(self) -> None:
        self.set_up_requests.expire_overdue_requests()
        self.loop.call_later(LOOK_BACK_S, self.check_overdue_requests)

    def on_store_status(self, failing: bool) -> None:
        assert self.store_service
        self.send_all(StoreStatus(self.store_service.ledger.pruned_s, failing))

    def gauges(self) -> tuple[int, int]:
        """Viewers and sessions, of all workers."""
        return self.workers.gauges() if self.workers else (len(self.worker.viewers), len(self.worker.by_id))

    def open_status(
        self, accept: Callable[[socket.socket, Any], object], taken: socket.socket | None
    ) -> None:
        if taken:
            start_accepting(self.loop, taken, accept)
            self.listeners.append(taken)
        else:
            assert self.settings.status
            self.listeners.append(listen(self.loop, self.settings.status, accept))
        self.serve_status = accept

    def on_membership_view(self, view: MembershipView) -> None:
        """Another view of who is there."""
        if self.set_up_requests.limits and self.membership:
            self.set_up_requests.limits.update_members(view, self.membership.machine.duplicate_number)
        if self.set_up_requests.zones:
            self.set_up_requests.zones.update_members(view)
        if self.set_up_requests.recovery:
            self.set_up_requests.recovery.update_members(view)
        if self.capture:
            there = " ".join(map(str, view.members))
            words = f"there are {there}" + (", this one may be cut off" if view.cut_off else "")
            self.capture.add_note(self.now_ms(), "members", words)

    # change of guard

    def pause_front(self) -> None:
        """While it is not clear which process is this front: nobody is taken, no other front is spoken to."""
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
            start_accepting(self.loop, self.listeners[1], self.serve_status)
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

    def leave_front(self) -> None:
        """All has been handed over: this process goes, without a word to viewers, servers or other fronts."""
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
        random = Random(SystemRandom().getrandbits(64))  # tokens must not come twice, whatever the seed
        self.store_service = StoreService(
            self.loop, settings, self.settings.index, random, self.memory, self.wall, lock
        )
        self.list_client.store_service = self.set_up_requests.store_service = self.store_service
        self.store_service.on_failing_changed = self.on_store_status

    def memory(self) -> i.LearnedState | None:
        """What the module has learned; another file's module may not say."""
        give: Callable[[], i.LearnedState] | None = getattr(self.bridge.decider, "memory", None)
        return give() if give and self.bridge.calls else None

    def recall(self, store_service: StoreService, anew: bool) -> None:
        """What was kept of an earlier life, unless a front that lives has told it: sessions that played then
        ended with their process."""
        if not anew:
            store_service.start()
            return
        if memory := store_service.load_memory():
            self.bridge.enqueue(memory)
        lost = store_service.forget_lost_sessions()
        if memory or lost:
            age_s = round((self.now_ms() - memory.recorded_at) / 1000, 1) if memory else None
            log.info("kept state read", sessions_lost=lost, learned_s_ago=age_s)
        store_service.start()

    def drain(self) -> None:
        """Takes nothing new; what plays comes to its end, for as long as the settings allow. Then stops."""
        if self.draining or self.stopping:
            return
        self.draining = self.worker.draining = True
        log.info("draining", sessions=self.gauges()[1])
        if self.membership:
            self.membership.announce_leave()
        if self.settings.drain_to:
            self.send_all(RedirectViewers(self.settings.drain_to))
        if self.workers:
            self.workers.send_all(RetireWorker(False))
        for sock in self.listeners[:1]:
            self.loop.watch_socket(sock, 0, self.worker.accept)
            sock.close()
        self.loop.call_later(self.settings.limits.drain_ms / 1000, self.stop)
        self.drained()

    def drained(self) -> None:
        if not (self.workers.left() if self.workers else self.worker.by_id):
            self.stop()
        elif not self.stopping:
            self.loop.call_later(0.1, self.drained)

    def report_crash(self, error: BaseException) -> dict[str, Any]:
        """What is known of a crash of the loop, for its report; kept where the settings say."""
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
        """Another decider is about to take over, with the same workers: goes without a word to anybody."""
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
        self.end()

    def stop(self) -> None:
        """Takes nothing new, answers what was taken, ends what plays, then ends the loop."""
        if self.stopping:
            return
        self.stopping = True
        log.info("stopping", asked=len(self.set_up_requests.open_requests), viewers=self.gauges()[0])
        for sock in self.listeners:
            if sock.fileno() >= 0:
                self.loop.watch_socket(sock, 0, self.worker.accept)
                sock.close()
        self.reader_client.stop()
        self.loop.call_later(STOP_S, self.end)
        if self.workers:
            self.workers.send_all(RetireWorker(True))
        else:
            self.worker.stop()
        self.finish()

    def finish(self) -> None:
        """Again each moment until no answer is owed and no attempt is out."""
        if self.workers.left() if self.workers else self.worker.asks or self.set_up_requests.open_requests:
            self.loop.call_later(0.02, self.finish)
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
        self.loop.call_later(0.05, self.end)

    def end(self) -> None:
        """The last: what the store and the capture still have to write is written."""
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

    def tell_peers(self, action: i.SendToPeers) -> None:
        if self.peers:
            self.peers.send(action)

    def probe(self, action: i.Probe) -> None:
        """OPTIONS would prove a listener only; a DESCRIBE of nothing shows that requests are read."""
        address = self.list_client.server_list.addresses.get(action.server)
        began = self.loop.now()

        def done(status_code: int, _: bytes) -> None:
            outcome = {502: Outcome.CONNECT_FAILED, 504: Outcome.TIMEOUT}.get(status_code, Outcome.OK)
            took_ms = (self.loop.now() - began) * 1000
            self.bridge.enqueue(i.ProbeEnded(action.server, outcome, took_ms))

        if address is None:
            self.loop.call_soon(done, 502, b"")
        else:
            DescribeCall(self.loop, address, "/", done)
