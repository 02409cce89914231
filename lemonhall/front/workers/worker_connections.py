"""The decider's links to its workers."""

from __future__ import annotations

import pickle
import socket
from collections.abc import Callable
from typing import Any

import structlog

from lemonhall.boxlist import Update
from lemonhall.config.settings import FrontSettings
from lemonhall.front.process.daemon import Daemon
from lemonhall.front.workers.build_id import build_id
from lemonhall.front.workers.connection import MessageConnection
from lemonhall.ipc import (
    MIN_VERSION,
    VERSION,
    Configuration,
    Hello,
    Message,
    Ping,
    Pong,
    RetireWorker,
    ServerListUpdate,
    StoreStatus,
    WorkerCounters,
    negotiate_version,
)
from lemonhall.ipc.heartbeat import HeartbeatMonitor
from lemonhall.loop import Stream
from lemonhall.loop.stream import start_accepting

log = structlog.get_logger("lemonhall.front")
TICK_S = 0.25
HUNG_S = 6.0  # a worker that is silent for so long is held for hung, and ended
HELLO_S = 5.0


class WorkerConnection:
    """To one worker. `number` is of the link; `worker` the worker's own."""

    def __init__(self, lines: WorkerConnections, sock: socket.socket, number: int) -> None:
        self.lines, self.number = lines, number
        self.link = MessageConnection(self.heard, self.ended)
        self.link.on_bytes = lambda: lines.pulse.record(number, lines.loop.now())
        self.link.stream = Stream(lines.loop, sock, self.link, high_watermark=1 << 20)
        self.hello: Hello | None = None
        self.mine = False  # it takes new viewers: of this parent, and of the same program
        self.viewers = self.sessions = 0
        lines.loop.call_later(HELLO_S, self.late)

    def late(self) -> None:
        if self.hello is None and self.link.stream:
            self.link.stream.abort()

    def send(self, message: Message) -> bool:
        return self.link.send(message)

    def heard(self, message: Message) -> None:
        lines = self.lines
        if self.hello is None:
            if isinstance(message, Hello):
                self.hello = message
                lines.greet(self, message)
        elif lines.daemon.set_up_requests.on_worker_message(self, message) or isinstance(message, Pong):
            pass
        elif isinstance(message, WorkerCounters):
            self.viewers, self.sessions = message.viewers, message.sessions
            for name, value in message.counts:
                lines.daemon.counts[name] += int(value)

    def ended(self) -> None:
        self.lines.lost(self)


class WorkerConnections:
    """`seam`: the socket at which workers come; it listens already. `tell_parent`: of what it must know."""

    def __init__(
        self,
        daemon: Daemon,
        seam: socket.socket,
        family: str,
        tell_parent: Callable[[dict[str, Any]], object],
    ) -> None:
        self.daemon, self.loop, self.seam, self.family = daemon, daemon.loop, seam, family
        self.tell_parent = tell_parent
        self.lines: dict[int, WorkerConnection] = {}
        self.links = 0
        self.pulse = HeartbeatMonitor(HUNG_S, TICK_S)
        daemon.loop.end_of_pass_callbacks.append(self.flush)
        daemon.list_client.server_list.on_update = self.on_list

    # the daemon's side

    def opened(self) -> None:
        start_accepting(self.loop, self.seam, self.accept)
        self.tick()

    def settle(self, settings: FrontSettings) -> None:
        self.tell_parent({"workers": settings.workers})
        for line in self.lines.values():
            if line.mine:
                self.configure(line, settings)

    def send_all(self, message: Message) -> None:
        for line in list(self.lines.values()):
            line.send(message)

    def left(self) -> int:
        """Workers that are still there."""
        return len(self.lines)

    def gauges(self) -> tuple[int, int]:
        lines = self.lines.values()
        return sum(line.viewers for line in lines), sum(line.sessions for line in lines)

    def close(self) -> None:
        """This process goes: what its workers have stays theirs, and is not written of any more."""
        self.loop.watch_socket(self.seam, 0, self.accept)
        for line in list(self.lines.values()):
            line.link.ended = lambda: None
            if line.link.stream:
                line.link.stream.close()

    # links

    def accept(self, sock: socket.socket, _: Any) -> None:
        self.links += 1
        line = self.lines[self.links] = WorkerConnection(self, sock, self.links)
        self.pulse.record(line.number, self.loop.now())

    def greet(self, line: WorkerConnection, hello: Hello) -> None:
        """`Welcome` comes last: a worker that hears it knows all that it needs."""
        d = self.daemon
        version = negotiate_version(VERSION, MIN_VERSION, hello.version, hello.min_version)
        same = version > 0 and hello.build_id == build_id()
        line.mine = same and hello.parent_id == self.family
        known = {"worker": hello.worker, "pid": hello.pid, "takes": line.mine}
        log.info("worker", **known)
        if line.mine:
            self.configure(line, d.settings)
            self.tell_parent({"takes": hello.worker})
            line.send(ServerListUpdate(d.list_client.server_list.snapshot().SerializeToString()))
            if d.store_service:
                line.send(StoreStatus(d.store_service.ledger.pruned_s, bool(d.store_service.failing)))
        elif hello.parent_id == self.family:
            self.tell_parent({"replace": hello.worker})
        line.send(d.welcome(version, line.mine))
        if d.stopping or d.draining:
            line.send(RetireWorker(d.stopping))

    def configure(self, line: WorkerConnection, settings: FrontSettings) -> None:
        line.send(Configuration(max(1, settings.workers), pickle.dumps(settings)))

    def lost(self, line: WorkerConnection) -> None:
        self.lines.pop(line.number, None)
        self.pulse.forget(line.number)
        if line.hello:
            log.info("worker gone", worker=line.hello.worker, sessions=line.sessions)
        self.daemon.set_up_requests.on_worker_lost(line)

    def on_list(self, update: Update) -> None:
        data = update.SerializeToString()
        for line in self.lines.values():
            if line.mine:
                line.send(ServerListUpdate(data))

    def flush(self) -> None:
        for line in list(self.lines.values()):
            line.link.flush()

    def tick(self) -> None:
        now = self.loop.now()
        mine = [line for line in self.lines.values() if line.mine]
        mean = sum(line.viewers for line in mine) / max(1, len(mine))
        for line in self.lines.values():
            line.send(Ping(now, mean, line.viewers))
        for number in self.pulse.tick(now):
            hello = self.lines[number].hello
            log.error("worker hangs", worker=hello.worker if hello else None)
            if hello:
                self.tell_parent({"hung": hello.worker})
        self.loop.call_later(TICK_S, self.tick)
