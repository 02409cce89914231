"""The processes of a node in a trial: start, signals, kill at the protocol's earliest, and a new start."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from lemonhall.loop import Loop
from lemonhall.soak.media_server import node_address
from lemonhall.soak.record import NEVER, Process, Record
from lemonhall.soak.schedule import Site

NEW_CONNECTIONS_AFTER_TERM_S = 0.3  # protocol: 0.2 to 0.4
RESTART_S = 0.2  # from the end of a process to the next
READY_POLL_S = 0.02


def run_command(root: Path) -> str:
    """The `run` line of the deploy file."""
    text = (root / "deploy" / "balancer.toml").read_text(encoding="utf-8")
    return str(tomllib.loads(text)["run"])


class Node:
    """A node under its name and address, with one process at a time."""

    def __init__(
        self,
        loop: Loop,
        record: Record,
        index: int,
        site: Site,
        root: Path,
        folder: Path,
        make_configuration: Callable[[int], dict[str, Any]],
    ) -> None:
        self.loop, self.record, self.index, self.site = loop, record, index, site
        self.root, self.folder, self.make_configuration = root, folder, make_configuration
        self.now: Callable[[], float] = loop.now
        self.on_ready: Callable[[int], object] = lambda index: None
        self.on_term: Callable[[int], object] = lambda index: None
        with socket.socket() as probe:
            probe.bind((node_address(index), 0))
            self.address: tuple[str, int] = probe.getsockname()
        self.child: subprocess.Popen[bytes] | None = None
        self.process: Process | None = None
        self.running = True

    @property
    def config_path(self) -> Path:
        return self.folder / f"n{self.index}.json"

    def write_configuration(self) -> dict[str, Any]:
        config = self.make_configuration(self.index)
        self.config_path.write_text(json.dumps(config), encoding="utf-8")
        return config

    def start(self) -> None:
        """Starts a process from nothing."""
        config = self.write_configuration()
        env = {**os.environ, "PROXY_CONFIG": str(self.config_path), "PYTHONDONTWRITEBYTECODE": "1"}
        with (self.folder / f"n{self.index}.log").open("ab") as log:
            self.child = subprocess.Popen(
                ["/bin/sh", "-c", run_command(self.root)], cwd=self.root, env=env, stderr=log
            )
        self.process = Process(self.index, self.now(), config["known"]["seq"])
        self.record.processes.append(self.process)
        self.loop.add_child_handler(self.child.pid, lambda status: self.on_exit(status))
        self.await_ready()

    def await_ready(self) -> None:
        """Connects without waiting until the node takes a connection."""
        process = self.process
        if process is None or process.ended_at < NEVER:
            return
        with socket.socket() as probe:
            listening = probe.connect_ex(self.address) == 0
        if listening:
            process.ready_at = self.now()
            self.on_ready(self.index)
        else:
            self.loop.call_later(READY_POLL_S, self.await_ready)

    def terminate(self) -> None:
        """SIGTERM, also a second one; the kill follows the first."""
        if self.child is None or self.process is None or self.process.ended_at < NEVER:
            return
        self.child.send_signal(signal.SIGTERM)
        if self.process.terminated_at == NEVER:
            self.process.terminated_at = self.now()
            self.on_term(self.index)
            self.loop.call_later(self.site.kill_after_s, self.kill, self.process)

    def kill(self, process: Process) -> None:
        if self.child and process is self.process and process.ended_at == NEVER:
            process.killed_at = self.now()
            self.child.kill()

    def reconfigure(self) -> None:
        """A new configuration file and SIGHUP, never in the first second of a process."""
        process = self.process
        if self.child is None or process is None or process.ended_at < NEVER:
            return
        if process.ready_at == NEVER or self.now() - process.started_at < 1.0:
            return
        self.write_configuration()
        self.child.send_signal(signal.SIGHUP)

    def on_exit(self, status: int) -> None:
        assert self.process
        self.process.ended_at, self.process.status = self.now(), status
        if self.running:
            self.loop.call_later(RESTART_S, self.restart)

    def restart(self) -> None:
        if self.running:
            self.start()

    def stop(self) -> None:
        """Ends the process at the end of the trial."""
        self.running = False
        if self.child and self.process and self.process.ended_at == NEVER:
            self.child.kill()
            self.child.wait()
