"""The node as a process: start, signals, and the modules that it must not load."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.node.running import NODE_COMMAND, ROOT, NodeProcess
from tests.node.world import FakeResolver


@pytest.fixture
def process(tmp_path: Path) -> Iterator[NodeProcess]:
    process = NodeProcess(tmp_path)
    yield process
    process.close()


def test_after_sigterm_it_answers_open_set_ups_and_exits(process: NodeProcess) -> None:
    process.answer(process.request_set_up("a" * 16))
    open_set_up = process.request_set_up("b" * 16)
    process.child.send_signal(signal.SIGTERM)
    viewer = process.viewer
    assert viewer

    def heartbeat_fails() -> bool:
        viewer.send_data({"t": "hb", "f": {}, "c": 0})
        return bool(
            viewer.received and viewer.received[-1].get("t") == "hb_ok" and viewer.received[-1]["c"] == 0
        )

    process.run_until(heartbeat_fails)
    process.answer(open_set_up)
    process.run_until(lambda: process.child.poll() is not None)
    assert process.child.returncode == 0


def test_a_reload_changes_the_resolver_and_an_invalid_file_changes_nothing(process: NodeProcess) -> None:
    process.answer(process.request_set_up("a" * 16))
    process.path.write_text('{"half')
    process.child.send_signal(signal.SIGHUP)
    process.run_until(
        lambda: any(entry["event"] == "configuration not taken" for entry in process.log_entries())
    )
    queries_before = process.fake_resolver.query_count
    process.run_until(lambda: process.fake_resolver.query_count > queries_before)  # the old one is in force
    other = FakeResolver()
    other.servers, other.list_number = list(process.servers), 2
    process.other_resolvers.append(other)
    process.write_configuration(other)  # complete now, and read again without another signal
    process.run_until(lambda: other.query_count)
    process.answer(process.request_set_up("b" * 16))
    assert process.child.poll() is None


@pytest.mark.parametrize("text", ["", "{", '{"settings":{}}'])
def test_an_invalid_configuration_at_start_is_reported_with_exit_code_2(tmp_path: Path, text: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    env = {**os.environ, "PROXY_CONFIG": str(path)}
    done = subprocess.run(NODE_COMMAND, cwd=ROOT, env=env, capture_output=True, text=True, timeout=30)
    assert done.returncode == 2 and str(path) in done.stderr and "Traceback" not in done.stderr


def test_it_loads_only_the_standard_library_and_its_own_packages() -> None:
    code = "import sys, lemonhall.front.node.process; print(*sorted(sys.modules))"
    out = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    top_level_names = {name.split(".")[0] for name in out.stdout.split()}
    own_modules = {name for name in out.stdout.split() if name.startswith("lemonhall.")}
    assert not top_level_names & {
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
    packages = {".".join(name.split(".")[1:3]) for name in own_modules if name.count(".") > 1}
    assert packages <= {"front.node", "front.decider", "loop.event_loop", "loop.stream"} | {
        package for package in packages if package.startswith("node.")
    }
