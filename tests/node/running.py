"""Runs a node as a process; this process plays its servers, fake_resolver and viewer."""

from __future__ import annotations

import json
import os
import selectors
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tests.node.world import FakeResolver, FakeServer, Peer, make_configuration
from tests.ports import free_port

ROOT = Path(__file__).parents[2]
NODE_COMMAND = [sys.executable, "-m", "lemonhall.front.node"]


class NodeProcess:
    """A node process with two fake servers and a fake resolver."""

    def __init__(self, folder: Path, command: list[str] | None = None, **env: str) -> None:
        self.fake_resolver, self.servers = FakeResolver(), [FakeServer(f"s-{n:08x}", n) for n in range(2)]
        self.fake_resolver.servers = list(self.servers)
        self.path = folder / "config.json"
        self.address = ("127.0.0.1", free_port())
        self.other_resolvers: list[FakeResolver] = []
        self.write_configuration(self.fake_resolver)
        self.log = open(folder / "log", "w+")  # noqa: SIM115
        env = {**os.environ, "PROXY_CONFIG": str(self.path), **env}
        self.child = subprocess.Popen(command or NODE_COMMAND, cwd=ROOT, env=env, stderr=self.log)
        self.viewer: Peer | None = None
        self.request_count = 0
        self.run_until(self.connect_viewer)

    def write_configuration(self, resolver: FakeResolver) -> None:
        listen = f"127.0.0.1:{self.address[1]}"
        self.path.write_text(json.dumps(make_configuration(self.servers, resolver.address, listen=listen)))

    def connect_viewer(self) -> bool:
        try:
            self.viewer = Peer(socket.create_connection(self.address))
        except ConnectionRefusedError:
            return False
        return True

    def pump(self) -> None:
        for fake_resolver in [self.fake_resolver, *self.other_resolvers]:
            fake_resolver.read()
        for server in self.servers:
            server.read()
        if self.viewer:
            self.viewer.read()

    def run_until(self, condition: Callable[[], object]) -> None:
        limit = time.monotonic() + 20
        with selectors.DefaultSelector() as empty_selector:
            while not condition():
                assert time.monotonic() < limit, Path(self.log.name).read_text()[-2000:]
                empty_selector.select(0.002)
                self.pump()

    def request_set_up(self, ref: str) -> dict[str, Any]:
        assert self.viewer
        fields = {"class": "plain", "tenant": "acme", "left": "3000", "key": f"{7:016x}"}
        fields["extras"] = "home:0;copies:4;top:2;viewer:00000000000000aa"
        self.viewer.send_data({"t": "new", "ref": ref, "f": fields, "d": "v=0"})
        found: list[tuple[Peer, dict[str, Any]]] = []

        def arrived() -> bool:
            found[:] = [
                (connection, message)
                for server in self.servers
                for connection, message in server.received_messages("new")
                if message["ref"] == ref
            ]
            return bool(found)

        self.run_until(arrived)
        return {"connection": found[-1][0], "ref": ref}

    def servers_of_set_ups(self, count: int) -> list[FakeServer]:
        """Requests set-ups on a new connection and answers each; returns the servers that they came to."""
        self.run_until(self.connect_viewer)
        chosen = []
        for _ in range(count):
            self.request_count += 1
            set_up = self.request_set_up(f"{self.request_count:016x}")
            chosen += [server for server in self.servers if set_up["connection"] in server.connections]
            self.answer(set_up)
        return chosen

    def answer(self, set_up: dict[str, Any]) -> None:
        set_up["connection"].send_data({"t": "up", "ref": set_up["ref"], "f": {}, "d": "v=0"})
        viewer = self.viewer
        assert viewer
        self.run_until(lambda: any(message.get("ref") == set_up["ref"] for message in viewer.received))

    def log_entries(self) -> list[dict[str, Any]]:
        text = Path(self.log.name).read_text()
        return [json.loads(line) for line in text[: text.rfind("\n") + 1].splitlines()]  # complete lines only

    def close(self) -> None:
        self.child.kill()
        self.child.wait()
        self.log.close()
        for sock in [
            *(fake_resolver.sock for fake_resolver in [self.fake_resolver, *self.other_resolvers]),
            *(server.listen_socket for server in self.servers),
        ]:
            sock.close()
