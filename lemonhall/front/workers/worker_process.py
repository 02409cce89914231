"""A worker process: `python -m lemonhall.front.workers.worker_process ARGUMENTS`, started by the parent.

It reads no settings file: its decider sends everything it needs. When the decider has ended, the worker goes
on and reconnects to the same socket until the next decider is there.
"""

from __future__ import annotations

import json
import os
import pickle
import signal
import socket
import sys
import time
from collections import Counter
from random import Random, SystemRandom
from typing import Any

import structlog

from lemonhall.boxlist import Update
from lemonhall.front.process.channel import Channel
from lemonhall.front.servers.server_list import ServerListState
from lemonhall.front.viewers.worker import Worker
from lemonhall.front.workers.build_id import build_id, freeze_garbage_collector
from lemonhall.front.workers.connection import MessageConnection
from lemonhall.front.workers.shared_listener import SharedListener
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
    Welcome,
    WorkerCounters,
)
from lemonhall.ipc.accept_policy import may_accept
from lemonhall.logs import configure
from lemonhall.loop import Loop, Stream

log = structlog.get_logger("lemonhall.front")
RECONNECT_DELAYS_S = (0.01, 0.02, 0.05, 0.1, 0.25)  # between attempts to connect to a decider
COUNTER_INTERVAL_S = 0.25


class WorkerProcess:
    """`socket_path`: where the decider listens; `listener`: for viewers, shared by all workers."""

    def __init__(
        self, worker_number: int, parent_id: str, socket_path: str, listener: socket.socket, control: Channel
    ) -> None:
        self.worker_number, self.parent_id, self.socket_path, self.control = (
            worker_number,
            parent_id,
            socket_path,
            control,
        )
        self.loop = control.loop
        self.start_monotonic_s, self.start_wall_ms = self.loop.now(), time.time() * 1000
        self.server_list = ServerListState()
        self.worker: Worker | None = None
        self.connection: MessageConnection | None = None
        self.reported_counts: Counter[str] = Counter()
        self.connect_attempts = 0
        self.own_viewers, self.mean_viewers, self.mean_received_at = 0, 0.0, float("-inf")
        self.retired = False
        self.incompatible = False  # the decider has another message version: sessions play to their end
        self.exiting = False
        address = listener.getsockname()
        self.host = address if isinstance(address, str) else f"{address[0]}:{address[1]}"
        self.listener = SharedListener(self.loop, listener, self.accept_viewer, self.may_accept)
        self.loop.end_of_pass_callbacks.append(self.flush)
        self.loop.on_error = self.on_error
        self.connect()
        self.loop.call_later(COUNTER_INTERVAL_S, self.report_counters)

    def now_ms(self) -> float:
        return self.start_wall_ms + (self.loop.now() - self.start_monotonic_s) * 1000

    def on_error(self, error: Exception) -> None:
        if self.worker:
            self.worker.counts["faults"] += 1
        log.error("fault", exc_info=error)

    # viewers

    def may_accept(self) -> bool:
        mean_age_s = self.loop.now() - self.mean_received_at
        return self.worker is not None and may_accept(self.own_viewers, self.mean_viewers, mean_age_s)

    def accept_viewer(self, sock: socket.socket, peer: Any) -> None:
        assert self.worker
        self.worker.accept(sock, peer)

    # the decider

    def connect(self) -> None:
        if self.exiting or self.incompatible:
            return
        connection = self.connection = MessageConnection(self.on_message, self.on_disconnected)
        connection.connected_callback = self.send_hello
        connection.stream = Stream.connect(
            self.loop, self.socket_path, connection, 2.0, high_watermark=1 << 20
        )

    def send_hello(self) -> None:
        assert self.connection
        self.connection.send(
            Hello(VERSION, MIN_VERSION, self.worker_number, os.getpid(), self.parent_id, build_id())
        )

    def on_disconnected(self) -> None:
        if self.worker:
            self.worker.on_decider_lost()
        delay_s = RECONNECT_DELAYS_S[min(self.connect_attempts, len(RECONNECT_DELAYS_S) - 1)]
        self.connect_attempts += 1
        self.loop.call_later(delay_s, self.connect)

    def on_message(self, message: Message) -> None:
        if isinstance(message, Ping):
            self.own_viewers, self.mean_viewers, self.mean_received_at = (
                message.worker_viewers,
                message.mean_viewers,
                self.loop.now(),
            )
            self.listener.refresh() if not self.retired else None
            assert self.connection
            self.connection.send(Pong(message.sent_at))
        elif isinstance(message, Configuration):
            self.apply_configuration(message)
        elif isinstance(message, ServerListUpdate):
            self.server_list.apply(Update.FromString(message.update))
        elif isinstance(message, Welcome):
            self.on_welcome(message)
        elif isinstance(message, RetireWorker):
            self.retire(message.end_sessions)
        elif self.worker:
            self.worker.on_decider_message(message)

    def apply_configuration(self, message: Configuration) -> None:
        settings = pickle.loads(message.settings)
        if self.worker is None:
            random = Random(SystemRandom().getrandbits(64))
            wall = time.time
            self.worker = Worker(
                self.loop, settings, self.worker_number, self.server_list, random, self.now_ms, wall
            )
            self.worker.host, self.worker.on_stopped = self.host, self.exit
            if settings.limits.memory:
                self.worker.check_memory()
        self.worker.replace_settings(settings, message.workers)

    def on_welcome(self, message: Welcome) -> None:
        self.connect_attempts = 0
        if message.version == 0:
            log.warning("decider has another message version; retiring, sessions play to their end")
            self.incompatible = True
            self.retire(False)
            return
        if self.worker is None:  # of another parent, and without settings yet
            self.exit()
            return
        assert self.connection
        self.worker.on_decider_connected(self.connection, message)
        if not message.takes_viewers:
            self.retire(False)
        elif not self.retired:
            self.listener.open()

    def report_counters(self) -> None:
        self.loop.call_later(COUNTER_INTERVAL_S, self.report_counters)
        worker = self.worker
        if worker is None or not worker.connection_id:
            return
        increments = tuple(
            (n, float(v - self.reported_counts[n]))
            for n, v in worker.counts.items()
            if v != self.reported_counts[n]
        )
        if worker.send_to_decider(
            WorkerCounters(len(worker.viewers), len(worker.sessions_by_id), increments)
        ):
            self.reported_counts = Counter(worker.counts)

    def flush(self) -> None:
        if self.connection:
            self.connection.flush()

    # shutdown

    def retire(self, end: bool) -> None:
        """Accepts no more viewers. Exits after the last session, or ends all sessions at once (`end`)."""
        if not self.retired:
            log.info("worker retires", worker=self.worker_number, at_once=end)
        self.retired = True
        self.listener.close()
        if self.worker is None:
            self.exit()
        elif end:
            self.worker.stop()
        else:
            self.worker.drain()

    def exit(self) -> None:
        """Closes the connection and stops the loop; no session is left."""
        if self.exiting:
            return
        self.exiting = True
        self.flush()
        if self.connection and self.connection.stream:
            self.connection.stream.close()
        self.loop.call_later(0.05, self.loop.stop)

    def on_parent_message(self, message: dict[str, Any], fds: list[int]) -> None:
        """Handles a message of the parent."""
        if "retire" in message:
            self.retire(False)


def main(command_line: list[str]) -> None:
    arguments = json.loads(command_line[0])
    configure(arguments["log_format"])
    loop = Loop()
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # from a terminal: the parent handles it
    listener = socket.socket(fileno=arguments["viewers"])
    control = Channel(
        loop, socket.socket(fileno=arguments["control"]), lambda message, fds: None, lambda: None
    )
    process = WorkerProcess(arguments["number"], arguments["family"], arguments["seam"], listener, control)
    control.on_message = process.on_parent_message
    control.on_closed = lambda: process.retire(True)  # the parent has ended
    loop.add_signal_handler(signal.SIGTERM, lambda: process.retire(True))
    freeze_garbage_collector()
    loop.run()


if __name__ == "__main__":
    main(sys.argv[1:])
