"""The node as a process: its start, its signals, and what it does not load."""

from __future__ import annotations

import json
import os
import selectors
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.node.world import Names, Peer, Server, config

ROOT = Path(__file__).parents[2]


class Process:
    """A node beside two servers and a resolver, all but itself in this process."""

    def __init__(self, folder: Path) -> None:
        self.names, self.servers = Names(), [Server(f"s-{n:08x}", n) for n in range(2)]
        self.names.servers = list(self.servers)
        self.path = folder / "config.json"
        with socket.create_server(("127.0.0.1", 0)) as probe:
            self.address = probe.getsockname()
        self.others: list[Names] = []
        self.write(self.names)
        self.log = open(folder / "log", "w+")  # noqa: SIM115
        env = {**os.environ, "PROXY_CONFIG": str(self.path)}
        command = [sys.executable, "-m", "lemonhall.front.node"]
        self.child = subprocess.Popen(command, cwd=ROOT, env=env, stderr=self.log)
        self.viewer: Peer | None = None
        self.until(self.connect)

    def write(self, names: Names) -> None:
        listen = f"127.0.0.1:{self.address[1]}"
        self.path.write_text(json.dumps(config(self.servers, names.address, listen=listen)))

    def connect(self) -> bool:
        try:
            self.viewer = Peer(socket.create_connection(self.address))
        except ConnectionRefusedError:
            return False
        return True

    def pump(self) -> None:
        for names in [self.names, *self.others]:
            names.read()
        for server in self.servers:
            server.read()
        if self.viewer:
            self.viewer.read()

    def until(self, true: Callable[[], object]) -> None:
        limit = time.monotonic() + 20
        with selectors.DefaultSelector() as nothing:
            while not true():
                assert time.monotonic() < limit, Path(self.log.name).read_text()[-2000:]
                nothing.select(0.002)
                self.pump()

    def ask(self, ref: str) -> dict[str, Any]:
        assert self.viewer
        fields = {"class": "plain", "tenant": "acme", "left": "3000", "key": f"{7:016x}"}
        fields["extras"] = "home:0;copies:4;top:2;viewer:00000000000000aa"
        self.viewer.say({"t": "new", "ref": ref, "f": fields, "d": "v=0"})
        found: list[tuple[Peer, dict[str, Any]]] = []

        def came() -> bool:
            found[:] = [(k, m) for s in self.servers for k, m in s.asked("new") if m["ref"] == ref]
            return bool(found)

        self.until(came)
        return {"link": found[-1][0], "ref": ref}

    def answer(self, asked: dict[str, Any]) -> None:
        asked["link"].say({"t": "up", "ref": asked["ref"], "f": {}, "d": "v=0"})
        viewer = self.viewer
        assert viewer
        self.until(lambda: any(m.get("ref") == asked["ref"] for m in viewer.got))

    def said(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in Path(self.log.name).read_text().splitlines()]

    def close(self) -> None:
        self.child.kill()
        self.child.wait()
        self.log.close()
        for sock in [*(n.sock for n in [self.names, *self.others]), *(s.door for s in self.servers)]:
            sock.close()


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
    command = [sys.executable, "-m", "lemonhall.front.node"]
    done = subprocess.run(command, cwd=ROOT, env=env, capture_output=True, text=True, timeout=30)
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
    assert packages <= {"front.node", "front.deciding", "loop.core", "loop.stream"} | {
        p for p in packages if p.startswith("node.")
    }
