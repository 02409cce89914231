"""A worker as a process: `python -m lemonhall.front.workers.worker_process WORDS`, started by the parent.

It reads no settings of its own: its decider tells it all it needs. When the decider is gone it goes on, and
comes again to the same place until the next one is there.
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
AGAIN_S = (0.01, 0.02, 0.05, 0.1, 0.25)  # between tries to reach a decider
COUNT_S = 0.25


class WorkerProcess:
    """`seam`: the path at which the decider is; `listener`: the viewers', which all workers share."""

    def __init__(
        self, number: int, family: str, seam: str, listener: socket.socket, control: Channel
    ) -> None:
        self.number, self.family, self.seam, self.control = number, family, seam, control
        self.loop = control.loop
        self.start, self.start_wall_ms = self.loop.now(), time.time() * 1000
        self.listed = ServerListState()
        self.worker: Worker | None = None
        self.link: MessageConnection | None = None
        self.told: Counter[str] = Counter()
        self.tries = 0
        self.own, self.mean, self.mean_at = 0, 0.0, float("-inf")
        self.retired = False
        self.alone = False  # no decider speaks with this one: what plays comes to its end
        self.ending = False
        at = listener.getsockname()
        self.host = at if isinstance(at, str) else f"{at[0]}:{at[1]}"
        self.door = SharedListener(self.loop, listener, self.take, self.may_accept)
        self.loop.end_of_pass_callbacks.append(self.flush)
        self.loop.on_error = self.on_error
        self.connect()
        self.loop.call_later(COUNT_S, self.count)

    def now_ms(self) -> float:
        return self.start_wall_ms + (self.loop.now() - self.start) * 1000

    def on_error(self, error: Exception) -> None:
        if self.worker:
            self.worker.counts["faults"] += 1
        log.error("fault", exc_info=error)

    # viewers

    def may_accept(self) -> bool:
        told_s_ago = self.loop.now() - self.mean_at
        return self.worker is not None and may_accept(self.own, self.mean, told_s_ago)

    def take(self, sock: socket.socket, peer: Any) -> None:
        assert self.worker
        self.worker.accept(sock, peer)

    # the decider

    def connect(self) -> None:
        if self.ending or self.alone:
            return
        link = self.link = MessageConnection(self.heard, self.cut)
        link.connected_callback = self.greet
        link.stream = Stream.connect(self.loop, self.seam, link, 2.0, high_watermark=1 << 20)

    def greet(self) -> None:
        assert self.link
        self.link.send(Hello(VERSION, MIN_VERSION, self.number, os.getpid(), self.family, build_id()))

    def cut(self) -> None:
        if self.worker:
            self.worker.cut()
        wait = AGAIN_S[min(self.tries, len(AGAIN_S) - 1)]
        self.tries += 1
        self.loop.call_later(wait, self.connect)

    def heard(self, message: Message) -> None:
        if isinstance(message, Ping):
            self.own, self.mean, self.mean_at = message.worker_viewers, message.mean_viewers, self.loop.now()
            self.door.look() if not self.retired else None
            assert self.link
            self.link.send(Pong(message.sent_at))
        elif isinstance(message, Configuration):
            self.configured(message)
        elif isinstance(message, ServerListUpdate):
            self.listed.apply(Update.FromString(message.update))
        elif isinstance(message, Welcome):
            self.welcomed(message)
        elif isinstance(message, RetireWorker):
            self.retire(message.end_sessions)
        elif self.worker:
            self.worker.heard(message)

    def configured(self, message: Configuration) -> None:
        settings = pickle.loads(message.settings)
        if self.worker is None:
            random = Random(SystemRandom().getrandbits(64))
            wall = time.time
            self.worker = Worker(self.loop, settings, self.number, self.listed, random, self.now_ms, wall)
            self.worker.host, self.worker.on_empty = self.host, self.finish
            if settings.limits.memory:
                self.worker.watch_memory()
        self.worker.settle(settings, message.workers)

    def welcomed(self, message: Welcome) -> None:
        self.tries = 0
        if message.version == 0:
            log.warning("the decider speaks another version: what plays comes to its end")
            self.alone = True
            self.retire(False)
            return
        if self.worker is None:  # of another parent before it ever had settings
            self.finish()
            return
        assert self.link
        self.worker.linked(self.link, message)
        if not message.takes_viewers:
            self.retire(False)
        elif not self.retired:
            self.door.open()

    def count(self) -> None:
        self.loop.call_later(COUNT_S, self.count)
        worker = self.worker
        if worker is None or not worker.link:
            return
        news = tuple((n, float(v - self.told[n])) for n, v in worker.counts.items() if v != self.told[n])
        if worker.say(WorkerCounters(len(worker.viewers), len(worker.by_id), news)):
            self.told = Counter(worker.counts)

    def flush(self) -> None:
        if self.link:
            self.link.flush()

    # the end

    def retire(self, end: bool) -> None:
        """Takes no viewers any more. Ends when what it has has ended, or at once, in order."""
        if not self.retired:
            log.info("worker retires", worker=self.number, at_once=end)
        self.retired = True
        self.door.close()
        if self.worker is None:
            self.finish()
        elif end:
            self.worker.stop()
        else:
            self.worker.drain()

    def finish(self) -> None:
        """Nothing is left."""
        if self.ending:
            return
        self.ending = True
        self.flush()
        if self.link and self.link.stream:
            self.link.stream.close()
        self.loop.call_later(0.05, self.loop.stop)

    def ordered(self, message: dict[str, Any], fds: list[int]) -> None:
        """The parent's word."""
        if "retire" in message:
            self.retire(False)


def main(words: list[str]) -> None:
    given = json.loads(words[0])
    configure(given["log_format"])
    loop = Loop()
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # of a terminal: the parent hears it as well
    listener = socket.socket(fileno=given["viewers"])
    control = Channel(loop, socket.socket(fileno=given["control"]), lambda message, fds: None, lambda: None)
    carrier = WorkerProcess(given["number"], given["family"], given["seam"], listener, control)
    control.heard = carrier.ordered
    control.ended = lambda: carrier.retire(True)  # the parent is gone
    loop.add_signal_handler(signal.SIGTERM, lambda: carrier.retire(True))
    freeze_garbage_collector()
    loop.run()


if __name__ == "__main__":
    main(sys.argv[1:])
