"""Supervisor of a front: restarts after a crash, forwards signals, gives up after too many crashes."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

from lemonhall.front.process.supervisor import MAX_CRASHES, STABLE_RUN_S, Restarts, Supervisor
from lemonhall.loop import Loop


def test_delays_grow_until_the_supervisor_gives_up() -> None:
    restarts = Restarts()
    delays = [restarts.next_delay(1.0) for _ in range(MAX_CRASHES + 1)]
    assert delays[0] == 0.0 and delays[-1] is None
    steps = [w for w in delays[1:-1] if w is not None]
    assert steps == sorted(steps) and len(steps) == MAX_CRASHES - 1
    assert restarts.next_delay(STABLE_RUN_S) == 0.0  # a long run resets the count


def supervisor(tmp_path: Path, code: str) -> Supervisor:
    script = tmp_path / "child.py"
    script.write_text(code)
    return Supervisor([sys.executable, str(script)], Loop())


def test_restarts_until_the_front_exits_with_success(tmp_path: Path) -> None:
    count = tmp_path / "count"
    code = f"""
import os, pathlib, signal
path = pathlib.Path({str(count)!r})
n = int(path.read_text()) if path.exists() else 0
path.write_text(str(n + 1))
if n == 0: os.kill(os.getpid(), signal.SIGKILL)
if n == 1: raise SystemExit(3)
"""
    supervised = supervisor(tmp_path, code)
    assert supervised.run() == 0
    assert supervised.starts == 3 and count.read_text() == "3"


def test_invalid_input_is_not_retried(tmp_path: Path) -> None:
    supervised = supervisor(tmp_path, "raise SystemExit(2)")
    assert (supervised.run(), supervised.starts) == (2, 1)


def test_a_front_that_keeps_crashing_is_given_up(tmp_path: Path) -> None:
    supervised = supervisor(tmp_path, "raise SystemExit(3)")
    supervised.restarts.crashes = MAX_CRASHES - 1
    assert (supervised.run(), supervised.starts) == (1, 2)


def test_signals_are_forwarded_to_the_front(tmp_path: Path) -> None:
    ready = tmp_path / "ready"
    code = f"""
import pathlib, signal, sys
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
pathlib.Path({str(ready)!r}).write_text("x")
signal.pause()
"""
    supervised = supervisor(tmp_path, code)

    def terminate_when_ready() -> None:
        if ready.exists():
            os.kill(os.getpid(), signal.SIGTERM)
        else:
            supervised.loop.call_later(0.01, terminate_when_ready)

    supervised.on_start = lambda pid: terminate_when_ready()
    assert supervised.run() == 0
    assert supervised.starts == 1 and supervised.shutting_down
