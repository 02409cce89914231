"""Child processes that speak JSON lines; only children started here are ever ended, by their own ids."""

from __future__ import annotations

import contextlib
import json
import os
import subprocess
from collections.abc import Callable
from pathlib import Path
from typing import Any

from lemonhall.loop import Loop
from lemonhall.loop.event_loop import READ

Said = Callable[[dict[str, Any]], None]


def kin_of(pid: int, word: str) -> list[int]:
    """A process's own children with `word` in their command line, in the order of their start."""
    found = []
    with contextlib.suppress(OSError):  # gone meanwhile
        for child in Path(f"/proc/{pid}/task/{pid}/children").read_text().split():
            with contextlib.suppress(OSError):
                if word in Path(f"/proc/{child}/cmdline").read_text():
                    found.append(int(child))
    return found


class Child:
    def __init__(
        self,
        loop: Loop,
        name: str,
        command: list[str],
        log: Path,
        said: Said,
        ended: Callable[[int], None],
        env: dict[str, str] | None = None,
    ) -> None:
        self.loop, self.name, self.said = loop, name, said
        self.kept = bytearray()
        with open(log, "ab") as file:
            self.process = subprocess.Popen(
                command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=file, bufsize=0, env=env
            )
        self.alive = True
        self.on_end = ended
        assert self.process.stdout
        os.set_blocking(self.process.stdout.fileno(), False)
        loop.watch_socket(self.process.stdout, READ, self.on_ready)
        loop.add_child_handler(self.process.pid, self.ended)

    def on_ready(self, _: int) -> None:
        assert self.process.stdout
        data = self.process.stdout.read(65536)
        if not data:
            if data == b"":
                self.loop.watch_socket(self.process.stdout, 0, self.on_ready)
            return
        self.kept += data
        while (end := self.kept.find(b"\n")) >= 0:
            line = bytes(self.kept[:end])
            del self.kept[: end + 1]
            if line.startswith(b"{"):
                self.said(json.loads(line))

    def ended(self, status: int) -> None:
        self.alive = False
        self.process.returncode = status
        self.on_end(status)

    def tell(self, **fields: Any) -> None:
        assert self.process.stdin
        if self.alive:
            with contextlib.suppress(BrokenPipeError):
                self.process.stdin.write((json.dumps(fields) + "\n").encode())

    def close_input(self) -> None:
        assert self.process.stdin
        self.process.stdin.close()

    def signal(self, number: int) -> None:
        if self.alive:
            os.kill(self.process.pid, number)

    def kin(self, word: str) -> list[int]:
        return kin_of(self.process.pid, word)
