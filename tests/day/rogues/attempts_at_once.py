"""Sets up each safe session at two servers at once (a fault of the program around the module)."""

from __future__ import annotations

from typing import Any

from lemonhall.decide import Front
from lemonhall.front.servers.attempt import Attempt
from lemonhall.front.viewers.worker import Worker
from lemonhall.ipc import StartAttempt

__all__ = ["Front"]
set_up = Worker.set_up


class NullOwner:
    def __getattr__(self, name: str) -> Any:
        return lambda *arguments: None


def set_up_twice(self: Worker, message: StartAttempt) -> None:
    set_up(self, message)
    ask = self.asks.get(message.request_id)
    if ask is None or ask.attempt is None or ask.said.cls == 0:
        return
    attempt = ask.attempt
    connecting = attempt.stream.connecting
    address = self.listed.addresses[attempt.server] if connecting else attempt.stream.sock.getpeername()
    Attempt(
        self.loop,
        NullOwner(),
        9,
        attempt.server,
        address,
        attempt.url,
        attempt.tracks,
        attempt.headers,
        attempt.bandwidth,
        0.0,
        1.0,
        2.0,
        (),
    )


Worker.set_up = set_up_twice  # type: ignore[method-assign]
