"""Supervisor of one front: starts it, forwards signals, restarts it after a crash.

The delay of a restart depends on earlier crashes alone (`Restarts`, pure): none at first, then an exponential
backoff. After too many crashes in a row the supervisor exits, so that whatever monitors it notices.
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
FIRST_DELAY_S, DELAY_FACTOR, MAX_DELAY_S = 0.1, 2.0, 10.0
STABLE_RUN_S = 60.0  # a run of this length resets the count of crashes
MAX_CRASHES = 8  # in a row, after which the supervisor gives up
FORWARDED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


class Restarts:
    """Computes restart delays. A run of at least `stable_run_s` resets the count of crashes."""

    def __init__(self, stable_run_s: float = STABLE_RUN_S) -> None:
        self.stable_run_s = stable_run_s
        self.crashes = 0

    def next_delay(self, ran_s: float) -> float | None:
        """Returns the seconds until the next start after a run of `ran_s`, or None to give up."""
        self.crashes = 1 if ran_s >= self.stable_run_s else self.crashes + 1
        if self.crashes > MAX_CRASHES:
            return None
        return (
            0.0 if self.crashes == 1 else min(MAX_DELAY_S, FIRST_DELAY_S * DELAY_FACTOR ** (self.crashes - 2))
        )


class Supervisor:
    """Runs `command`, which shares this process's standard output and error."""

    def __init__(self, command: list[str], loop: Loop | None = None) -> None:
        self.command, self.loop = command, loop or Loop()
        self.restarts = Restarts()
        self.child: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0
        self.shutting_down = False
        self.status = 0
        self.starts = 0
        self.restart_timer: Timer | None = None
        self.on_start: Callable[[int], object] = lambda pid: None

    def run(self) -> int:
        """Runs until the front exits with 0 or 2, has to end, or fails too often. Returns the exit status."""
        for number in FORWARDED_SIGNALS:
            self.loop.add_signal_handler(number, lambda n=number: self.forward_signal(n))
        self.start()
        self.loop.run()
        self.loop.close()
        return self.status

    def start(self) -> None:
        self.started_at = self.loop.now()
        self.starts += 1
        self.child = subprocess.Popen(self.command)
        self.loop.add_child_handler(self.child.pid, self.on_exit)
        self.on_start(self.child.pid)

    def forward_signal(self, number: int) -> None:
        self.shutting_down |= number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)
        if self.child:
            os.kill(self.child.pid, number)
        elif self.shutting_down:  # waiting for a restart
            if self.restart_timer:
                self.restart_timer.cancel()
            self.loop.stop()

    def on_exit(self, status: int) -> None:
        assert self.child
        self.child.returncode = status
        self.child = None
        self.status = status
        if (
            status == 0 or status == 2 or self.shutting_down
        ):  # 2: invalid input, which a restart would not fix
            self.loop.stop()
            return
        delay_s = self.restarts.next_delay(self.loop.now() - self.started_at)
        if delay_s is None:
            log.error("front crashed too often; giving up", crashes=self.restarts.crashes - 1, status=status)
            self.status = 1
            self.loop.stop()
            return
        log.error("front exited; restarting", status=status, restart_in_s=delay_s)
        self.restart_timer = self.loop.call_later(delay_s, self.start)


def supervise(arguments: list[str]) -> int:
    """Keeps `python -m lemonhall ARGUMENTS` running."""
    return Supervisor([sys.executable, "-m", "lemonhall", *arguments]).run()
