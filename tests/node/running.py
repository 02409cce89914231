"""A node as a process beside servers and a resolver that this process plays."""

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

from tests.node.world import Names, Peer, Server, config
from tests.ports import free_port

ROOT = Path(__file__).parents[2]
NODE = [sys.executable, "-m", "lemonhall.front.node"]


class Process:
    """A node beside two servers and a resolver, all but itself in this process."""

    def __init__(self, folder: Path, command: list[str] | None = None, **env: str) -> None:
        self.names, self.servers = Names(), [Server(f"s-{n:08x}", n) for n in range(2)]
        self.names.servers = list(self.servers)
        self.path = folder / "config.json"
        self.address = ("127.0.0.1", free_port())
        self.others: list[Names] = []
        self.write(self.names)
        self.log = open(folder / "log", "w+")  # noqa: SIM115
        env = {**os.environ, "PROXY_CONFIG": str(self.path), **env}
        self.child = subprocess.Popen(command or NODE, cwd=ROOT, env=env, stderr=self.log)
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
        text = Path(self.log.name).read_text()
        return [json.loads(line) for line in text[: text.rfind("\n") + 1].splitlines()]  # whole lines alone

    def close(self) -> None:
        self.child.kill()
        self.child.wait()
        self.log.close()
        for sock in [*(n.sock for n in [self.names, *self.others]), *(s.door for s in self.servers)]:
            sock.close()
