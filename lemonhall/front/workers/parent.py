"""The parent of a front with workers: it listens, keeps one decider and N workers running, no more.

    parent    the viewers' listener, the status listener, the seam's; starts, restarts and ends the others
    decider   module, list, members, ledger, hooks, status; a second one stands by, loaded, for when it ends
    workers   viewers, media servers, relay

What the others do when one of them ends is theirs. The parent holds no state of a session, so that little can
end it; if it ends all the same, its children end what plays and go.
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
HUNG_S = 10.0  # a decider that is silent for so long is ended; the one that stands by takes its place
STOP_S = 12.0  # after which children are ended that have not ended by themselves
SWEEP_S = 0.05
STEADY_S = 1.0  # a decider that has decided for so long is no failed start: the next comes at once


class Child:
    """A process of the parent's, with a channel to it."""

    def __init__(
        self,
        loop: Loop,
        command: Callable[[int], list[str]],
        fds: tuple[int, ...],
        heard: Callable[[Child, dict[str, Any]], object],
        ended: Callable[[Child, int], object],
    ) -> None:
        """`command` is told the descriptor of the child's end. Raises `OSError` if it cannot be started."""
        ours, theirs = socket.socketpair()
        with theirs:
            self.process = subprocess.Popen(command(theirs.fileno()), pass_fds=(theirs.fileno(), *fds))
        self.loop, self.began, self.over = loop, loop.now(), False
        self.channel = Channel(loop, ours, lambda message, _: heard(self, message), lambda: None)

        def reaped(status: int) -> None:
            self.process.returncode = status
            self.over = True
            self.channel.close()
            ended(self, status)

        loop.add_child_handler(self.process.pid, reaped)

    def tell(self, message: dict[str, Any], fds: tuple[int, ...] = ()) -> None:
        if self.channel.open:
            self.channel.send(message, fds)

    def signal(self, number: int) -> None:
        if not self.over:
            self.process.send_signal(number)


class Slot:
    """One of the N places of workers."""

    def __init__(self) -> None:
        self.restarts = Restarts()
        self.child: Child | None = None
        self.number = 0
        self.timer: Timer | None = None
        self.wanted = True


class Parent:
    def __init__(self, path: Path, settings: FrontSettings, log_format: str, module: str, loop: Loop) -> None:
        self.path, self.settings, self.log_format, self.module = path, settings, log_format, module
        self.loop = loop
        self.family = secrets.token_hex(8)
        self.folder = ""
        self.viewers: socket.socket | None = None
        self.status: socket.socket | None = None
        self.seam: socket.socket | None = None
        self.seam_path = ""
        self.decider: Child | None = None
        self.spare: Child | None = None
        self.spare_ready = False
        self.restarts = Restarts(STEADY_S)
        self.waiting: Timer | None = None
        self.slots: list[Slot] = []
        self.leaving: dict[int, Child] = {}  # workers that take nothing new, by their number
        self.next_number = 1
        self.taking: set[int] = set()  # numbers of workers that have been seen to take viewers
        self.die_at = ""  # for tests: where the first decider ends
        self.tree = ""  # the settings that hold, as the decider has them
        self.pulse = HeartbeatMonitor(HUNG_S, TICK_S)
        self.serving = self.ending = self.yielding = False
        self.exit_status = 0
        self.host = ""
        self.deciders = 0  # that have been told to decide
        self.on_serving: Callable[[], object] = lambda: None
        self.on_spare: Callable[[], object] = lambda: None  # one stands by
        self.on_yielded: Callable[[], object] = lambda: None
        self.on_ending: Callable[[], object] = lambda: None

    # opening

    def listen(self) -> None:
        """Raises `OSError` if an address is taken."""
        s = self.settings

        def nobody(sock: socket.socket, _: Any) -> None:
            sock.close()

        def bound(address: Address, share: bool) -> socket.socket:
            sock = listen(self.loop, address, nobody, reuse_port=share)
            self.loop.watch_socket(sock, 0, nobody)
            return sock

        self.viewers = bound(s.listen, s.share_port)
        self.status = bound(s.status, False) if s.status else None
        self.folder = tempfile.mkdtemp(prefix="lemonhall-")  # 0700
        self.seam_path = f"{self.folder}/seam"
        self.seam = bound(self.seam_path, False)

    def open(self) -> None:
        at = self.viewers.getsockname() if self.viewers else ""
        self.host = at if isinstance(at, str) else f"{at[0]}:{at[1]}"
        self.want_spare()
        self.promote()
        self.resize(self.settings.workers)  # they are ready by the time the decider is
        self.loop.call_later(TICK_S, self.tick)

    # the decider

    def want_spare(self) -> None:
        if self.spare is None and not self.ending and not self.yielding:
            self.spare_ready = False
            self.spare = self.start_decider()

    def start_decider(self) -> Child:
        def command(control: int) -> list[str]:
            given = json.dumps({"control": control, "family": self.family})
            words = ["--log-format", self.log_format, "serve", str(self.path), "--decide", given]
            words += ["--module", self.module] if self.module else []
            words += ["--die-at", self.die_at] if self.die_at else []
            self.die_at = ""
            return [sys.executable, "-m", "lemonhall", *words]

        return Child(self.loop, command, (), self.decider_says, self.decider_ended)

    def decider_says(self, child: Child, message: dict[str, Any]) -> None:
        self.pulse.record(child.process.pid, self.loop.now())
        if "ready" in message and child is self.spare:
            self.spare_ready = True
            log.info("decider stands by", pid=child.process.pid)
            self.on_spare()
            self.promote()
        if "tree" in message:
            self.tree = message["tree"]
        if "open" in message and child is self.decider:
            self.opened()
        if "takes" in message:
            self.taking.add(message["takes"])
            self.serve()
        if "workers" in message and child is self.decider:
            self.resize(message["workers"])
        if "hung" in message:
            self.end_worker(message["hung"])
        if "replace" in message:
            self.replace(message["replace"])

    def promote(self) -> None:
        """The one that stands by decides, if nobody else does."""
        busy = self.decider is not None or self.waiting is not None or self.ending or self.yielding
        if busy or not self.spare_ready or self.seam is None or self.viewers is None:
            return
        child, self.spare, self.spare_ready = self.spare, None, False
        assert child
        self.decider = child
        child.began = self.loop.now()
        self.deciders += 1
        self.pulse.record(child.process.pid, self.loop.now())
        sockets = {"seam": self.seam, "viewers": self.viewers}
        if self.status:
            sockets["status"] = self.status
        fds = tuple(sock.fileno() for sock in sockets.values())
        child.tell({"go": True, "tree": self.tree, "sockets": list(sockets)}, fds)

    def opened(self) -> None:
        log.info("decider serves", pid=self.decider.process.pid if self.decider else 0, nth=self.deciders)
        self.want_spare()

    def serve(self) -> None:
        """Said once, when every worker takes viewers."""
        if not self.serving and all(slot.number in self.taking for slot in self.slots):
            self.serving = True
            self.on_serving()

    def decider_ended(self, child: Child, status: int) -> None:
        self.pulse.forget(child.process.pid)
        if child is self.spare:
            self.spare = None
            self.spare_ready = False
            if self.ending:
                return
            if self.decider is None:
                self.give_up_or_wait(child, status)
            else:
                self.loop.call_later(1.0, self.want_spare)
            return
        self.decider = None
        if self.yielding:
            self.on_yielded()
        elif self.ending or status == 0:
            self.exit_status = status if status > 0 else self.exit_status
            self.begin_end()
        else:
            self.give_up_or_wait(child, status)

    def give_up_or_wait(self, child: Child, status: int) -> None:
        wait_s = self.restarts.after(self.loop.now() - child.began)
        if wait_s is None or (status == 2 and not self.serving):
            # bad input, which no new start would mend
            log.error("given up", crashes=self.restarts.crashes, status=status)
            self.exit_status = 2 if status == 2 else 1
            self.begin_end()
            return
        log.error("decider ended", status=status, again_in_s=wait_s)
        if wait_s:
            self.waiting = self.loop.call_later(wait_s, self.go_on)
        else:
            self.go_on()

    def go_on(self) -> None:
        self.waiting = None
        self.want_spare()
        self.promote()

    # change of guard

    def give_way(self) -> None:
        """The decider goes, without a word to anybody; `on_yielded` follows."""
        self.yielding = True
        if self.decider:
            self.decider.tell({"leave": True})
        else:
            self.loop.call_soon(self.on_yielded)

    def take_back(self) -> None:
        """Nobody has taken over: the one that stands by decides."""
        self.yielding = False
        self.want_spare()
        self.promote()

    def relieved(self) -> None:
        """Another parent is the front. Workers stay until what they have has ended; nothing is kept here."""
        self.ending = True
        self.folder = ""  # the other's by now
        if self.spare:
            self.spare.signal(signal.SIGKILL)
        for slot in self.slots:
            self.retire(slot)
        self.slots = []
        self.sweep()

    # workers

    def resize(self, count: int) -> None:
        """So many workers from now on; those over it take nothing new and end when theirs has ended."""
        if self.ending or self.yielding:
            return
        while len(self.slots) < count:
            slot = Slot()
            self.slots.append(slot)
            self.start_worker(slot)
        while len(self.slots) > count:
            self.retire(self.slots.pop())

    def retire(self, slot: Slot) -> None:
        slot.wanted = False
        if slot.timer:
            slot.timer.cancel()
        if slot.child:
            self.leaving[slot.number] = slot.child
            slot.child.tell({"retire": True})

    def start_worker(self, slot: Slot) -> None:
        assert self.viewers
        slot.timer = None
        slot.number = self.next_number
        self.next_number += 1
        viewers = self.viewers.fileno()

        def command(control: int) -> list[str]:
            given = {"number": slot.number, "family": self.family, "seam": self.seam_path}
            given |= {"viewers": viewers, "control": control, "log_format": self.log_format}
            return [sys.executable, "-m", "lemonhall.front.workers.worker_process", json.dumps(given)]

        number = slot.number

        def ended(child: Child, status: int) -> None:
            self.worker_ended(slot, number, child, status)

        slot.child = Child(self.loop, command, (viewers,), lambda child, message: None, ended)

    def worker_ended(self, slot: Slot, number: int, child: Child, status: int) -> None:
        self.leaving.pop(number, None)
        if slot.child is child:
            slot.child = None
        if self.ending or not slot.wanted or slot.child is not None:
            return
        wait_s = slot.restarts.after(self.loop.now() - child.began)
        if wait_s is None:  # it may be mended by hand meanwhile; the others go on
            slot.restarts, wait_s = Restarts(), 30.0
        log.error("worker ended", worker=number, status=status, again_in_s=wait_s)
        slot.timer = self.loop.call_later(wait_s, self.start_worker, slot)

    def slot_of(self, number: int) -> Slot | None:
        return next((s for s in self.slots if s.number == number and s.child), None)

    def end_worker(self, number: int) -> None:
        """It hangs: what it has is lost already."""
        child = self.leaving.get(number)
        if child is None and (slot := self.slot_of(number)):
            child = slot.child
        if child:
            child.signal(signal.SIGKILL)

    def replace(self, number: int) -> None:
        """A worker of another program than the decider's: it goes when what it has has ended."""
        slot = self.slot_of(number)
        if slot is None or self.ending:
            return
        at = self.slots.index(slot)
        self.retire(slot)
        self.slots[at] = Slot()
        self.start_worker(self.slots[at])

    # time, signals, the end

    def tick(self) -> None:
        now = self.loop.now()
        if self.decider:
            self.decider.tell({"alive": now})
        for pid in self.pulse.tick(now):
            if self.decider and self.decider.process.pid == pid:
                log.error("decider hangs", pid=pid)
                self.decider.signal(signal.SIGKILL)
        self.loop.call_later(TICK_S, self.tick)

    def signalled(self, number: int) -> None:
        """To the decider, which sees to its workers; without one, to the workers themselves."""
        self.ending |= number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)
        if self.decider:
            self.decider.signal(number)
        elif self.ending:
            self.begin_end()

    def begin_end(self) -> None:
        """No decider any more: workers end what they have, then this process goes."""
        self.ending = True
        self.on_ending()
        if self.waiting:
            self.waiting.cancel()
        if self.spare:
            self.spare.signal(signal.SIGKILL)
        for child in self.workers():
            child.signal(signal.SIGTERM)
        self.loop.call_later(STOP_S, self.end_all)
        self.sweep()

    def workers(self) -> list[Child]:
        here = [slot.child for slot in self.slots if slot.child]
        return [*here, *self.leaving.values()]

    def end_all(self) -> None:
        for child in [*self.workers(), *(c for c in (self.decider, self.spare) if c)]:
            child.signal(signal.SIGKILL)

    def sweep(self) -> None:
        if self.workers() or self.decider or self.spare:
            self.loop.call_later(SWEEP_S, self.sweep)
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
        """Until the front has ended. Returns the exit status."""
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1):
            self.loop.add_signal_handler(number, lambda n=number: self.signalled(n))
        self.loop.run()
        self.loop.close()
        return self.exit_status


def wait_for_activation(control: socket.socket) -> tuple[bytes, dict[str, socket.socket]]:
    """Stands by, loaded, until the parent says so: the settings that hold (empty: read them), its sockets.

    Raises `SystemExit` when the parent ends.
    """
    control.setblocking(True)
    loop = Loop()
    told: list[dict[str, Any]] = []
    sockets: list[int] = []
    over: list[bool] = []

    def heard(message: dict[str, Any], fds: list[int]) -> None:
        told.append(message)
        sockets.extend(fds)

    channel = Channel(loop, control, heard, lambda: over.append(True))
    channel.send({"ready": True})
    loop.run(until=lambda: bool(over) or any("go" in m for m in told))
    if over:
        raise SystemExit(0)
    loop.watch_socket(control, 0, channel.on_ready)
    loop.close()
    go = next(m for m in told if "go" in m)
    named = {name: socket.socket(fileno=fd) for name, fd in zip(go["sockets"], sockets, strict=True)}
    return base64.b64decode(go["tree"]), named


def ignore_terminal_interrupts() -> None:
    """^C goes to a whole group of processes; only the parent acts on it."""
    with contextlib.suppress(ValueError):
        signal.signal(signal.SIGINT, signal.SIG_IGN)
