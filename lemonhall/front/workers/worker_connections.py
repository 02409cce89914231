"""The decider's connections to its workers."""

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
WORKER_TIMEOUT_S = 6.0  # a worker that is silent for this long counts as hung and is killed
HELLO_TIMEOUT_S = 5.0


class WorkerConnection:
    """Connection to one worker. `number` identifies the connection; `hello.worker` is the worker's number."""

    def __init__(self, connections: WorkerConnections, sock: socket.socket, number: int) -> None:
        self.connections, self.number = connections, number
        self.transport = MessageConnection(self.on_message, self.on_closed)
        self.transport.data_callback = lambda: connections.heartbeat.record(number, connections.loop.now())
        self.transport.stream = Stream(connections.loop, sock, self.transport, high_watermark=1 << 20)
        self.hello: Hello | None = None
        self.takes_viewers = False  # the worker belongs to this parent and is of the same build
        self.viewers = self.sessions = 0
        connections.loop.call_later(HELLO_TIMEOUT_S, self.on_hello_timeout)

    def on_hello_timeout(self) -> None:
        if self.hello is None and self.transport.stream:
            self.transport.stream.abort()

    def send(self, message: Message) -> bool:
        return self.transport.send(message)

    def on_message(self, message: Message) -> None:
        connections = self.connections
        if self.hello is None:
            if isinstance(message, Hello):
                self.hello = message
                connections.on_hello(self, message)
        elif connections.daemon.set_up_requests.on_worker_message(self, message) or isinstance(message, Pong):
            pass
        elif isinstance(message, WorkerCounters):
            self.viewers, self.sessions = message.viewers, message.sessions
            for name, value in message.counts:
                connections.daemon.counts[name] += int(value)

    def on_closed(self) -> None:
        self.connections.on_connection_closed(self)


class WorkerConnections:
    """`listener`: listening socket for workers. `send_to_parent` sends a message to the parent process."""

    def __init__(
        self,
        daemon: Daemon,
        listener: socket.socket,
        parent_id: str,
        send_to_parent: Callable[[dict[str, Any]], object],
    ) -> None:
        self.daemon, self.loop, self.listener, self.parent_id = daemon, daemon.loop, listener, parent_id
        self.send_to_parent = send_to_parent
        self.by_number: dict[int, WorkerConnection] = {}
        self.last_number = 0
        self.heartbeat = HeartbeatMonitor(WORKER_TIMEOUT_S, TICK_S)
        daemon.loop.end_of_pass_callbacks.append(self.flush)
        daemon.list_client.server_list.on_update = self.on_server_list

    # called by the daemon

    def start_accepting(self) -> None:
        start_accepting(self.loop, self.listener, self.on_connection)
        self.tick()

    def send_settings(self, settings: FrontSettings) -> None:
        self.send_to_parent({"workers": settings.workers})
        for connection in self.by_number.values():
            if connection.takes_viewers:
                self.send_configuration(connection, settings)

    def broadcast(self, message: Message) -> None:
        for connection in list(self.by_number.values()):
            connection.send(message)

    def worker_count(self) -> int:
        """Workers that are still connected."""
        return len(self.by_number)

    def gauges(self) -> tuple[int, int]:
        connections = self.by_number.values()
        return sum(connection.viewers for connection in connections), sum(
            connection.sessions for connection in connections
        )

    def close(self) -> None:
        """This process ends: workers keep their sessions; ends of connections are not handled any more."""
        self.loop.watch_socket(self.listener, 0, self.on_connection)
        for connection in list(self.by_number.values()):
            connection.transport.closed_callback = lambda: None
            if connection.transport.stream:
                connection.transport.stream.close()

    # connections

    def on_connection(self, sock: socket.socket, _: Any) -> None:
        self.last_number += 1
        connection = self.by_number[self.last_number] = WorkerConnection(self, sock, self.last_number)
        self.heartbeat.record(connection.number, self.loop.now())

    def on_hello(self, connection: WorkerConnection, hello: Hello) -> None:
        """Answers `Hello`. `Welcome` is sent last: a worker that receives it has everything it needs."""
        daemon = self.daemon
        version = negotiate_version(VERSION, MIN_VERSION, hello.version, hello.min_version)
        same_build = version > 0 and hello.build_id == build_id()
        connection.takes_viewers = same_build and hello.parent_id == self.parent_id
        details = {"worker": hello.worker, "pid": hello.pid, "takes": connection.takes_viewers}
        log.info("worker", **details)
        if connection.takes_viewers:
            self.send_configuration(connection, daemon.settings)
            self.send_to_parent({"takes": hello.worker})
            connection.send(ServerListUpdate(daemon.list_client.server_list.snapshot().SerializeToString()))
            if daemon.store_service:
                connection.send(
                    StoreStatus(daemon.store_service.ledger.pruned_s, bool(daemon.store_service.failing))
                )
        elif hello.parent_id == self.parent_id:
            self.send_to_parent({"replace": hello.worker})
        connection.send(daemon.welcome(version, connection.takes_viewers))
        if daemon.stopping or daemon.draining:
            connection.send(RetireWorker(daemon.stopping))

    def send_configuration(self, connection: WorkerConnection, settings: FrontSettings) -> None:
        connection.send(Configuration(max(1, settings.workers), pickle.dumps(settings)))

    def on_connection_closed(self, connection: WorkerConnection) -> None:
        self.by_number.pop(connection.number, None)
        self.heartbeat.forget(connection.number)
        if connection.hello:
            log.info("worker disconnected", worker=connection.hello.worker, sessions=connection.sessions)
        self.daemon.set_up_requests.on_worker_lost(connection)

    def on_server_list(self, update: Update) -> None:
        data = update.SerializeToString()
        for connection in self.by_number.values():
            if connection.takes_viewers:
                connection.send(ServerListUpdate(data))

    def flush(self) -> None:
        for connection in list(self.by_number.values()):
            connection.transport.flush()

    def tick(self) -> None:
        now = self.loop.now()
        accepting = [connection for connection in self.by_number.values() if connection.takes_viewers]
        mean = sum(connection.viewers for connection in accepting) / max(1, len(accepting))
        for connection in self.by_number.values():
            connection.send(Ping(now, mean, connection.viewers))
        for number in self.heartbeat.tick(now):
            hello = self.by_number[number].hello
            log.error(
                "worker does not respond; asking the parent to kill it",
                worker=hello.worker if hello else None,
            )
            if hello:
                self.send_to_parent({"hung": hello.worker})
        self.loop.call_later(TICK_S, self.tick)
