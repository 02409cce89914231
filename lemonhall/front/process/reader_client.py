"""Client of the reader process: starts it when needed, ends it when idle."""

from __future__ import annotations

import pickle
import socket
import subprocess
import sys
from collections import deque
from collections.abc import Callable
from typing import Any

from lemonhall.front.process.reader import LENGTH
from lemonhall.loop import Handler, Loop, Stream, Timer

JOB_TIMEOUT_S = 60.0  # per job, after which the process is killed
IDLE_TIMEOUT_S = 20.0  # without a job, after which the process is killed
ResultHandler = Callable[[Any], None]


class ReaderClient(Handler):
    """Runs jobs in order, one at a time. Passes each result to its handler; None if the job failed."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.child: subprocess.Popen[bytes] | None = None
        self.stream: Stream | None = None
        self.buffer = bytearray()
        self.jobs: deque[tuple[tuple[Any, ...], ResultHandler]] = deque()  # the first one is running
        self.timer: Timer | None = None
        self.stopped = False

    def submit(self, job: tuple[Any, ...], on_result: ResultHandler) -> None:
        """Queues a job. Raises `OSError` if the process cannot be started."""
        self.jobs.append((job, on_result))
        if len(self.jobs) == 1:
            self.send_job()

    def send_job(self) -> None:
        if self.stream is None or not self.stream.open:
            self.start_process()
        assert self.stream
        self.buffer = bytearray()
        data = pickle.dumps(self.jobs[0][0])
        self.stream.write(LENGTH.pack(len(data)) + data)
        self.set_timeout(JOB_TIMEOUT_S)

    def start_process(self) -> None:
        ours, theirs = socket.socketpair()
        with theirs:
            child = self.child = subprocess.Popen(
                [sys.executable, "-m", "lemonhall.front.process.reader"],
                stdin=theirs.fileno(),
                stdout=theirs.fileno(),
                stderr=subprocess.DEVNULL,
            )

        def ended(status: int) -> None:
            child.returncode = status

        self.loop.add_child_handler(child.pid, ended)
        self.stream = Stream(self.loop, ours, self, high_watermark=1 << 28)

    def set_timeout(self, within_s: float) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(within_s, self.kill_process)

    def on_data(self, view: memoryview) -> None:
        self.buffer += view
        if len(self.buffer) < LENGTH.size:
            return
        size = LENGTH.unpack_from(self.buffer)[0]
        if len(self.buffer) >= LENGTH.size + size:
            self.set_timeout(IDLE_TIMEOUT_S)
            self.on_job_done(pickle.loads(memoryview(self.buffer)[LENGTH.size :]))

    def on_closed(self, reason: str) -> None:
        """The process has ended: over its time or memory limit, or idle."""
        if self.timer:
            self.timer.cancel()
        if self.jobs:
            self.on_job_done(None)

    def on_job_done(self, result: Any) -> None:
        _, on_result = self.jobs.popleft()
        if self.stopped:
            return
        if self.jobs:
            self.send_job()
        on_result(result)  # may submit another job

    def kill_process(self) -> None:
        if self.child and self.child.returncode is None:
            self.child.kill()
        if self.stream:
            self.stream.abort()

    def stop(self) -> None:
        self.stopped = True
        self.kill_process()
