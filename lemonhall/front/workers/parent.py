"""Parent process of a front with workers: it opens the listeners and keeps one decider and N workers running.

    parent    listeners for viewers, status pages and workers; starts, restarts and ends the other processes
    decider   decision module, server list, members, ledger, hooks, status pages; a standby is kept loaded
    workers   viewers, media servers, media relay

How the others react when one of them ends is their own concern. The parent holds no session state, so that
little can make it fail; if it ends all the same, its children end their sessions and exit.
"""

from __future__ import annotations

import base64
import contextlib
import json
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import structlog

from lemonhall.config.settings import FrontSettings
from lemonhall.front.process.channel import Channel
from lemonhall.front.process.supervisor import Restarts
from lemonhall.ipc.heartbeat import HeartbeatMonitor
from lemonhall.loop import Loop, Timer, listen
from lemonhall.loop.stream import Address

log = structlog.get_logger("lemonhall.front")
TICK_S = 0.5
DECIDER_TIMEOUT_S = 10.0  # a decider that is silent for this long is killed; the standby takes its place
SHUTDOWN_TIMEOUT_S = 12.0  # after which children that have not exited are killed
EXIT_POLL_INTERVAL_S = 0.05
STABLE_RUN_S = 1.0  # a decider that ran this long did not fail at its start: the next one starts at once


class ChildProcess:
    """A child process with a channel to it."""

    def __init__(
        self,
        loop: Loop,
        command: Callable[[int], list[str]],
        fds: tuple[int, ...],
        on_message: Callable[[ChildProcess, dict[str, Any]], object],
        on_exit: Callable[[ChildProcess, int], object],
    ) -> None:
        """`command` gets the descriptor of the child's end. Raises `OSError` if the start fails."""
        ours, theirs = socket.socketpair()
        with theirs:
            self.process = subprocess.Popen(command(theirs.fileno()), pass_fds=(theirs.fileno(), *fds))
        self.loop, self.started_at, self.exited = loop, loop.now(), False
        self.channel = Channel(loop, ours, lambda message, _: on_message(self, message), lambda: None)

        def reaped(status: int) -> None:
            self.process.returncode = status
            self.exited = True
            self.channel.close()
            on_exit(self, status)

        loop.add_child_handler(self.process.pid, reaped)

    def send_message(self, message: dict[str, Any], fds: tuple[int, ...] = ()) -> None:
        if self.channel.open:
            self.channel.send(message, fds)

    def signal(self, number: int) -> None:
        if not self.exited:
            self.process.send_signal(number)


class WorkerSlot:
    """One of the N positions of workers; restarts its process."""

    def __init__(self) -> None:
        self.restarts = Restarts()
        self.child: ChildProcess | None = None
        self.number = 0
        self.timer: Timer | None = None
        self.wanted = True


class Parent:
    """Keeps the standby, the active decider and the workers running. `path`: of the settings file."""

    def __init__(self, path: Path, settings: FrontSettings, log_format: str, module: str, loop: Loop) -> None:
        self.path, self.settings, self.log_format, self.module = path, settings, log_format, module
        self.loop = loop
        self.parent_id = secrets.token_hex(8)
        self.folder = ""
        self.viewers: socket.socket | None = None
        self.status: socket.socket | None = None
        self.seam: socket.socket | None = None
        self.seam_path = ""
        self.decider: ChildProcess | None = None
        self.standby: ChildProcess | None = None
        self.standby_ready = False
        self.restarts = Restarts(STABLE_RUN_S)
        self.restart_timer: Timer | None = None
        self.slots: list[WorkerSlot] = []
        self.retiring: dict[int, ChildProcess] = {}  # workers that accept no new viewers, by their number
        self.next_worker_number = 1
        self.accepting: set[int] = set()  # numbers of workers that accept viewers
        self.decider_failpoint = ""  # for tests: failpoint at which the first decider ends
        self.settings_tree = ""  # the decider's current settings, base64 of pickled nodes
        self.heartbeat = HeartbeatMonitor(DECIDER_TIMEOUT_S, TICK_S)
        self.serving = self.shutting_down = self.handing_over = False
        self.exit_status = 0
        self.host = ""
        self.decider_starts = 0  # deciders activated so far
        self.on_serving: Callable[[], object] = lambda: None
        self.on_standby_ready: Callable[[], object] = lambda: None
        self.on_decider_stopped: Callable[[], object] = lambda: None
        self.on_shutdown: Callable[[], object] = lambda: None

    # start

    def open_sockets(self) -> None:
        """Raises `OSError` if an address is in use."""
        settings = self.settings

        def refuse(sock: socket.socket, _: Any) -> None:
            sock.close()

        def bind(address: Address, share: bool) -> socket.socket:
            sock = listen(self.loop, address, refuse, reuse_port=share)
            self.loop.watch_socket(sock, 0, refuse)
            return sock

        self.viewers = bind(settings.listen, settings.share_port)
        self.status = bind(settings.status, False) if settings.status else None
        self.folder = tempfile.mkdtemp(prefix="lemonhall-")  # 0700
        self.seam_path = f"{self.folder}/seam"
        self.seam = bind(self.seam_path, False)

    def start(self) -> None:
        address = self.viewers.getsockname() if self.viewers else ""
        self.host = address if isinstance(address, str) else f"{address[0]}:{address[1]}"
        self.ensure_standby()
        self.activate_standby()
        self.set_worker_count(self.settings.workers)  # workers start while the decider loads
        self.loop.call_later(TICK_S, self.tick)

    # the decider

    def ensure_standby(self) -> None:
        if self.standby is None and not self.shutting_down and not self.handing_over:
            self.standby_ready = False
            self.standby = self.start_decider()

    def start_decider(self) -> ChildProcess:
        def command(control: int) -> list[str]:
            arguments = json.dumps({"control": control, "family": self.parent_id})
            command_line = ["--log-format", self.log_format, "serve", str(self.path), "--decide", arguments]
            command_line += ["--module", self.module] if self.module else []
            command_line += ["--die-at", self.decider_failpoint] if self.decider_failpoint else []
            self.decider_failpoint = ""
            return [sys.executable, "-m", "lemonhall", *command_line]

        return ChildProcess(self.loop, command, (), self.on_decider_message, self.on_decider_exit)

    def on_decider_message(self, child: ChildProcess, message: dict[str, Any]) -> None:
        self.heartbeat.record(child.process.pid, self.loop.now())
        if "ready" in message and child is self.standby:
            self.standby_ready = True
            log.info("standby decider ready", pid=child.process.pid)
            self.on_standby_ready()
            self.activate_standby()
        if "tree" in message:
            self.settings_tree = message["tree"]
        if "open" in message and child is self.decider:
            self.on_decider_active()
        if "takes" in message:
            self.accepting.add(message["takes"])
            self.check_serving()
        if "workers" in message and child is self.decider:
            self.set_worker_count(message["workers"])
        if "hung" in message:
            self.kill_worker(message["hung"])
        if "replace" in message:
            self.replace_worker(message["replace"])

    def activate_standby(self) -> None:
        """Lets the standby decide if there is no active decider."""
        busy = (
            self.decider is not None
            or self.restart_timer is not None
            or self.shutting_down
            or self.handing_over
        )
        if busy or not self.standby_ready or self.seam is None or self.viewers is None:
            return
        child, self.standby, self.standby_ready = self.standby, None, False
        assert child
        self.decider = child
        child.started_at = self.loop.now()
        self.decider_starts += 1
        self.heartbeat.record(child.process.pid, self.loop.now())
        sockets = {"seam": self.seam, "viewers": self.viewers}
        if self.status:
            sockets["status"] = self.status
        fds = tuple(sock.fileno() for sock in sockets.values())
        child.send_message({"go": True, "tree": self.settings_tree, "sockets": list(sockets)}, fds)

    def on_decider_active(self) -> None:
        log.info(
            "decider active", pid=self.decider.process.pid if self.decider else 0, starts=self.decider_starts
        )
        self.ensure_standby()

    def check_serving(self) -> None:
        """Calls `on_serving` once, as soon as every worker accepts viewers."""
        if not self.serving and all(slot.number in self.accepting for slot in self.slots):
            self.serving = True
            self.on_serving()

    def on_decider_exit(self, child: ChildProcess, status: int) -> None:
        self.heartbeat.forget(child.process.pid)
        if child is self.standby:
            self.standby = None
            self.standby_ready = False
            if self.shutting_down:
                return
            if self.decider is None:
                self.schedule_restart(child, status)
            else:
                self.loop.call_later(1.0, self.ensure_standby)
            return
        self.decider = None
        if self.handing_over:
            self.on_decider_stopped()
        elif self.shutting_down or status == 0:
            self.exit_status = status if status > 0 else self.exit_status
            self.begin_shutdown()
        else:
            self.schedule_restart(child, status)

    def schedule_restart(self, child: ChildProcess, status: int) -> None:
        wait_s = self.restarts.next_delay(self.loop.now() - child.started_at)
        if wait_s is None or (status == 2 and not self.serving):
            # Exit status 2 means invalid input, which a restart would not fix.
            log.error(
                "decider failed too often or has invalid input; shutting down",
                crashes=self.restarts.crashes,
                status=status,
            )
            self.exit_status = 2 if status == 2 else 1
            self.begin_shutdown()
            return
        log.error("decider exited; restarting", status=status, restart_in_s=wait_s)
        if wait_s:
            self.restart_timer = self.loop.call_later(wait_s, self.restart_decider)
        else:
            self.restart_decider()

    def restart_decider(self) -> None:
        self.restart_timer = None
        self.ensure_standby()
        self.activate_standby()

    # handover

    def stop_decider(self) -> None:
        """Ends the decider without notice to other fronts; `on_decider_stopped` follows."""
        self.handing_over = True
        if self.decider:
            self.decider.send_message({"leave": True})
        else:
            self.loop.call_soon(self.on_decider_stopped)

    def resume_deciding(self) -> None:
        """The handover failed: the standby decides."""
        self.handing_over = False
        self.ensure_standby()
        self.activate_standby()

    def finish_handover(self) -> None:
        """Another parent serves. Workers stay until their sessions end, then this process exits."""
        self.shutting_down = True
        self.folder = ""  # it belongs to the successor
        if self.standby:
            self.standby.signal(signal.SIGKILL)
        for slot in self.slots:
            self.retire_worker(slot)
        self.slots = []
        self.wait_for_exit()

    # workers

    def set_worker_count(self, count: int) -> None:
        """Starts or retires workers; a retired one accepts no viewers and exits after its last session."""
        if self.shutting_down or self.handing_over:
            return
        while len(self.slots) < count:
            slot = WorkerSlot()
            self.slots.append(slot)
            self.start_worker(slot)
        while len(self.slots) > count:
            self.retire_worker(self.slots.pop())

    def retire_worker(self, slot: WorkerSlot) -> None:
        slot.wanted = False
        if slot.timer:
            slot.timer.cancel()
        if slot.child:
            self.retiring[slot.number] = slot.child
            slot.child.send_message({"retire": True})

    def start_worker(self, slot: WorkerSlot) -> None:
        assert self.viewers
        slot.timer = None
        slot.number = self.next_worker_number
        self.next_worker_number += 1
        viewers = self.viewers.fileno()

        def command(control: int) -> list[str]:
            arguments = {"number": slot.number, "family": self.parent_id, "seam": self.seam_path}
            arguments |= {"viewers": viewers, "control": control, "log_format": self.log_format}
            return [sys.executable, "-m", "lemonhall.front.workers.worker_process", json.dumps(arguments)]

        number = slot.number

        def on_exit(child: ChildProcess, status: int) -> None:
            self.on_worker_exit(slot, number, child, status)

        slot.child = ChildProcess(self.loop, command, (viewers,), lambda child, message: None, on_exit)

    def on_worker_exit(self, slot: WorkerSlot, number: int, child: ChildProcess, status: int) -> None:
        self.retiring.pop(number, None)
        if slot.child is child:
            slot.child = None
        if self.shutting_down or not slot.wanted or slot.child is not None:
            return
        wait_s = slot.restarts.next_delay(self.loop.now() - child.started_at)
        if wait_s is None:  # the cause may be fixed meanwhile; the other workers go on
            slot.restarts, wait_s = Restarts(), 30.0
        log.error("worker exited; restarting", worker=number, status=status, restart_in_s=wait_s)
        slot.timer = self.loop.call_later(wait_s, self.start_worker, slot)

    def slot_of(self, number: int) -> WorkerSlot | None:
        return next(
            (settings for settings in self.slots if settings.number == number and settings.child), None
        )

    def kill_worker(self, number: int) -> None:
        """Kills a hung worker; its sessions are lost already."""
        child = self.retiring.get(number)
        if child is None and (slot := self.slot_of(number)):
            child = slot.child
        if child:
            child.signal(signal.SIGKILL)

    def replace_worker(self, number: int) -> None:
        """Replaces a worker of another build than the decider's; the old one exits after its last session."""
        slot = self.slot_of(number)
        if slot is None or self.shutting_down:
            return
        at = self.slots.index(slot)
        self.retire_worker(slot)
        self.slots[at] = WorkerSlot()
        self.start_worker(self.slots[at])

    # timers, signals, shutdown

    def tick(self) -> None:
        now = self.loop.now()
        if self.decider:
            self.decider.send_message({"alive": now})
        for pid in self.heartbeat.tick(now):
            if self.decider and self.decider.process.pid == pid:
                log.error("decider does not respond; killing it", pid=pid)
                self.decider.signal(signal.SIGKILL)
        self.loop.call_later(TICK_S, self.tick)

    def forward_signal(self, number: int) -> None:
        """Passes a signal to the decider, which directs its workers; without one, shuts the workers down."""
        self.shutting_down |= number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)
        if self.decider:
            self.decider.signal(number)
        elif self.shutting_down:
            self.begin_shutdown()

    def begin_shutdown(self) -> None:
        """Without a decider: workers end their sessions, then this process exits."""
        self.shutting_down = True
        self.on_shutdown()
        if self.restart_timer:
            self.restart_timer.cancel()
        if self.standby:
            self.standby.signal(signal.SIGKILL)
        for child in self.worker_processes():
            child.signal(signal.SIGTERM)
        self.loop.call_later(SHUTDOWN_TIMEOUT_S, self.kill_all)
        self.wait_for_exit()

    def worker_processes(self) -> list[ChildProcess]:
        current = [slot.child for slot in self.slots if slot.child]
        return [*current, *self.retiring.values()]

    def kill_all(self) -> None:
        for child in [*self.worker_processes(), *(child for child in (self.decider, self.standby) if child)]:
            child.signal(signal.SIGKILL)

    def wait_for_exit(self) -> None:
        if self.worker_processes() or self.decider or self.standby:
            self.loop.call_later(EXIT_POLL_INTERVAL_S, self.wait_for_exit)
            return
        self.close()
        self.loop.stop()

    def close(self) -> None:
        for sock in (self.viewers, self.status, self.seam):
            if sock is not None:
                sock.close()
        if self.folder:
            shutil.rmtree(self.folder, ignore_errors=True)

    def run(self) -> int:
        """Runs until the front has ended. Returns the exit status."""
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1):
            self.loop.add_signal_handler(number, lambda n=number: self.forward_signal(n))
        self.loop.run()
        self.loop.close()
        return self.exit_status


def wait_for_activation(control: socket.socket) -> tuple[bytes, dict[str, socket.socket]]:
    """Waits as the loaded standby until the parent activates this decider.

    Returns the current settings, pickled (empty: read them from the file), and the parent's sockets by name.
    Raises `SystemExit` when the parent ends.
    """
    control.setblocking(True)
    loop = Loop()
    messages: list[dict[str, Any]] = []
    sockets: list[int] = []
    closed: list[bool] = []

    def on_message(message: dict[str, Any], fds: list[int]) -> None:
        messages.append(message)
        sockets.extend(fds)

    channel = Channel(loop, control, on_message, lambda: closed.append(True))
    channel.send({"ready": True})
    loop.run(until=lambda: bool(closed) or any("go" in m for m in messages))
    if closed:
        raise SystemExit(0)
    loop.watch_socket(control, 0, channel.on_ready)
    loop.close()
    go = next(m for m in messages if "go" in m)
    named = {name: socket.socket(fileno=fd) for name, fd in zip(go["sockets"], sockets, strict=True)}
    return base64.b64decode(go["tree"]), named


def ignore_terminal_interrupts() -> None:
    """An interrupt from the terminal reaches the whole process group; only the parent handles it."""
    with contextlib.suppress(ValueError):
        signal.signal(signal.SIGINT, signal.SIG_IGN)
