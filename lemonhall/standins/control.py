"""Commands to a stand-in: JSON lines in on standard input, JSON lines out on standard output."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable
from typing import Any

from lemonhall.loop import Loop
from lemonhall.loop.event_loop import READ
from lemonhall.standins.tap import Tap


def say(**fields: Any) -> None:
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


def obey(loop: Loop, command: Callable[[dict[str, Any]], None], tap: Tap) -> None:
    """Runs each command as its line comes; the end of input ends the loop: no stand-in outlives its day."""
    kept = bytearray()
    os.set_blocking(0, False)

    def on_ready(_: int) -> None:
        try:
            data = os.read(0, 65536)
        except BlockingIOError:
            return
        if not data:
            loop.stop()
            return
        kept.extend(data)
        while (end := kept.find(b"\n")) >= 0:
            line = bytes(kept[:end])
            del kept[: end + 1]
            asked = json.loads(line)
            if asked.get("do") == "flush":
                tap.flush()
                say(flushed=True)
            else:
                command(asked)

    loop.watch_socket(0, READ, on_ready)
