"""The parent of a front: starts again after a crash, passes signals on, gives up in the end."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

from lemonhall.front.process.supervisor import CRASHES_MOST, STEADY_S, Restarts, Supervisor
from lemonhall.loop import Loop


def test_waits_grow_and_end() -> None:
    restarts = Restarts()
    waits = [restarts.after(1.0) for _ in range(CRASHES_MOST + 1)]
    assert waits[0] == 0.0 and waits[-1] is None
    steps = [w for w in waits[1:-1] if w is not None]
    assert steps == sorted(steps) and len(steps) == CRASHES_MOST - 1
    assert restarts.after(STEADY_S) == 0.0  # a long run forgives


def supervisor(tmp_path: Path, code: str) -> Supervisor:
    script = tmp_path / "child.py"
    script.write_text(code)
    return Supervisor([sys.executable, str(script)], Loop())


def test_starts_again_until_the_front_ends_well(tmp_path: Path) -> None:
    count = tmp_path / "count"
    code = f"""
import os, pathlib, signal
path = pathlib.Path({str(count)!r})
n = int(path.read_text()) if path.exists() else 0
path.write_text(str(n + 1))
if n == 0: os.kill(os.getpid(), signal.SIGKILL)
if n == 1: raise SystemExit(3)
"""
    kept = supervisor(tmp_path, code)
    assert kept.run() == 0
    assert kept.starts == 3 and count.read_text() == "3"


def test_bad_input_is_not_tried_again(tmp_path: Path) -> None:
    kept = supervisor(tmp_path, "raise SystemExit(2)")
    assert (kept.run(), kept.starts) == (2, 1)


def test_a_front_that_cannot_stay_up_is_given_up(tmp_path: Path) -> None:
    kept = supervisor(tmp_path, "raise SystemExit(3)")
    kept.restarts.crashes = CRASHES_MOST - 1
    assert (kept.run(), kept.starts) == (1, 2)


def test_signals_go_to_the_front(tmp_path: Path) -> None:
    ready = tmp_path / "ready"
    code = f"""
import pathlib, signal, sys
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
pathlib.Path({str(ready)!r}).write_text("x")
signal.pause()
"""
    kept = supervisor(tmp_path, code)

    def poke() -> None:
        if ready.exists():
            os.kill(os.getpid(), signal.SIGTERM)
        else:
            kept.loop.call_later(0.01, poke)

    kept.on_start = lambda pid: poke()
    assert kept.run() == 0
    assert kept.starts == 1 and kept.ending
