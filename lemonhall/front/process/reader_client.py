"""The front's end of its worker process: started when it is needed, ended when it is idle."""

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

BUILD_S = 60.0  # after which a job is given up
IDLE_S = 20.0  # without work, after which the process ends
Done = Callable[[Any], None]


class ReaderClient(Handler):
    """Jobs in their order, one at a time. `done` is told of each result; None if there is none."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.child: subprocess.Popen[bytes] | None = None
        self.stream: Stream | None = None
        self.kept = bytearray()
        self.jobs: deque[tuple[tuple[Any, ...], Done]] = deque()  # the first is under way
        self.timer: Timer | None = None
        self.stopped = False

    def submit(self, job: tuple[Any, ...], done: Done) -> None:
        """Raises `OSError` if no process can be started."""
        self.jobs.append((job, done))
        if len(self.jobs) == 1:
            self.send()

    def send(self) -> None:
        if self.stream is None or not self.stream.open:
            self.start()
        assert self.stream
        self.kept = bytearray()
        data = pickle.dumps(self.jobs[0][0])
        self.stream.write(LENGTH.pack(len(data)) + data)
        self.expect(BUILD_S)

    def start(self) -> None:
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

    def expect(self, within_s: float) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(within_s, self.end)

    def on_data(self, view: memoryview) -> None:
        self.kept += view
        if len(self.kept) < LENGTH.size:
            return
        size = LENGTH.unpack_from(self.kept)[0]
        if len(self.kept) >= LENGTH.size + size:
            self.expect(IDLE_S)
            self.finish(pickle.loads(memoryview(self.kept)[LENGTH.size :]))

    def on_closed(self, reason: str) -> None:
        """The process is gone: too slow, too large, or no longer needed."""
        if self.timer:
            self.timer.cancel()
        if self.jobs:
            self.finish(None)

    def finish(self, result: Any) -> None:
        _, done = self.jobs.popleft()
        if self.stopped:
            return
        if self.jobs:
            self.send()
        done(result)  # which may ask for more

    def end(self) -> None:
        if self.child and self.child.returncode is None:
            self.child.kill()
        if self.stream:
            self.stream.abort()

    def stop(self) -> None:
        self.stopped = True
        self.end()
