"""A parent that keeps one front running: starts it, passes signals on, starts it again after a crash.

When to start again is a function of the past alone (`Restarts`, pure): at once, then after ever longer waits;
a front that crashes too often in a row is given up, since whoever watches the supervisor must hear of it.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Callable

import structlog

from lemonhall.loop import Loop, Timer

log = structlog.get_logger("lemonhall.front")
FIRST_S, FACTOR, LONGEST_S = 0.1, 2.0, 10.0
STEADY_S = 60.0  # after which past crashes are forgotten
CRASHES_MOST = 8  # in a row
PASSED_ON = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


class Restarts:
    """How long to wait before the next start. `ran_s`: how long the last run was; one of `steady_s` makes
    good for the crashes before it."""

    def __init__(self, steady_s: float = STEADY_S) -> None:
        self.steady_s = steady_s
        self.crashes = 0

    def after(self, ran_s: float) -> float | None:
        """Seconds until the next start; None: give up."""
        self.crashes = 1 if ran_s >= self.steady_s else self.crashes + 1
        if self.crashes > CRASHES_MOST:
            return None
        return 0.0 if self.crashes == 1 else min(LONGEST_S, FIRST_S * FACTOR ** (self.crashes - 2))


class Supervisor:
    """`command`: the front's; it shares this process's standard output and error."""

    def __init__(self, command: list[str], loop: Loop | None = None) -> None:
        self.command, self.loop = command, loop or Loop()
        self.restarts = Restarts()
        self.child: subprocess.Popen[bytes] | None = None
        self.began = 0.0
        self.ending = False
        self.status = 0
        self.starts = 0
        self.waiting: Timer | None = None
        self.on_start: Callable[[int], object] = lambda pid: None

    def run(self) -> int:
        """Until the front ends well, or is told to end, or is given up. Returns the exit status."""
        for number in PASSED_ON:
            self.loop.add_signal_handler(number, lambda n=number: self.signalled(n))
        self.start()
        self.loop.run()
        self.loop.close()
        return self.status

    def start(self) -> None:
        self.began = self.loop.now()
        self.starts += 1
        self.child = subprocess.Popen(self.command)
        self.loop.add_child_handler(self.child.pid, self.ended)
        self.on_start(self.child.pid)

    def signalled(self, number: int) -> None:
        self.ending |= number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)
        if self.child:
            os.kill(self.child.pid, number)
        elif self.ending:  # between two starts
            if self.waiting:
                self.waiting.cancel()
            self.loop.stop()

    def ended(self, status: int) -> None:
        assert self.child
        self.child.returncode = status
        self.child = None
        self.status = status
        if status == 0 or status == 2 or self.ending:  # 2: bad input, which no new start would mend
            self.loop.stop()
            return
        wait_s = self.restarts.after(self.loop.now() - self.began)
        if wait_s is None:
            log.error("given up", crashes=self.restarts.crashes - 1, status=status)
            self.status = 1
            self.loop.stop()
            return
        log.error("front ended", status=status, again_in_s=wait_s)
        self.waiting = self.loop.call_later(wait_s, self.start)


def supervise(words: list[str]) -> int:
    """Keeps `python -m lemonhall WORDS` running."""
    return Supervisor([sys.executable, "-m", "lemonhall", *words]).run()
