"""The node as a process: its start, its signals, and what it does not load."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.node.running import NODE, ROOT, Process
from tests.node.world import Names


@pytest.fixture
def process(tmp_path: Path) -> Iterator[Process]:
    made = Process(tmp_path)
    yield made
    made.close()


def test_it_serves_and_ends_by_itself_on_sigterm_with_all_answered(process: Process) -> None:
    process.answer(process.ask("a" * 16))
    owed = process.ask("b" * 16)
    process.child.send_signal(signal.SIGTERM)
    viewer = process.viewer
    assert viewer

    def failing() -> bool:
        viewer.say({"t": "hb", "f": {}, "c": 0})
        return bool(viewer.got and viewer.got[-1].get("t") == "hb_ok" and viewer.got[-1]["c"] == 0)

    process.until(failing)
    process.answer(owed)
    process.until(lambda: process.child.poll() is not None)
    assert process.child.returncode == 0


def test_a_new_configuration_moves_the_resolver_and_a_bad_one_changes_nothing(process: Process) -> None:
    process.answer(process.ask("a" * 16))
    process.path.write_text('{"half')
    process.child.send_signal(signal.SIGHUP)
    process.until(lambda: any(m["event"] == "configuration not taken" for m in process.said()))
    asked = process.names.asked
    process.until(lambda: process.names.asked > asked)  # the old one is in force
    other = Names()
    other.servers, other.seq = list(process.servers), 2
    process.others.append(other)
    process.write(other)  # whole by now: it is read again by itself
    process.until(lambda: other.asked)
    process.answer(process.ask("b" * 16))
    assert process.child.poll() is None


@pytest.mark.parametrize("text", ["", "{", '{"settings":{}}'])
def test_a_bad_configuration_at_the_start_is_named_with_exit_code_2(tmp_path: Path, text: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    env = {**os.environ, "PROXY_CONFIG": str(path)}
    done = subprocess.run(NODE, cwd=ROOT, env=env, capture_output=True, text=True, timeout=30)
    assert done.returncode == 2 and str(path) in done.stderr and "Traceback" not in done.stderr


def test_it_loads_the_standard_library_and_its_own_packages_alone() -> None:
    code = "import sys, lemonhall.front.node.process; print(*sorted(sys.modules))"
    out = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    tops = {name.split(".")[0] for name in out.stdout.split()}
    own = {n for n in out.stdout.split() if n.startswith("lemonhall.")}
    assert not tops & {
        "click",
        "numpy",
        "pyarrow",
        "lark",
        "matplotlib",
        "structlog",
        "lmdb",
        "asyncio",
        "dns",
    }
    packages = {".".join(n.split(".")[1:3]) for n in own if n.count(".") > 1}
    assert packages <= {"front.node", "front.deciding", "loop.event_loop", "loop.stream"} | {
        p for p in packages if p.startswith("node.")
    }
