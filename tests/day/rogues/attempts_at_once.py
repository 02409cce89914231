"""A front that sends each safe session to a second server while the first attempt is out."""

from __future__ import annotations

from typing import Any

from lemonhall.decide import Front
from lemonhall.front.servers.attempt import Attempt
from lemonhall.front.viewers.worker import Worker
from lemonhall.ipc import StartAttempt

__all__ = ["Front"]
set_up = Worker.set_up


class Nobody:
    def __getattr__(self, name: str) -> Any:
        return lambda *words: None


def doubled(self: Worker, message: StartAttempt) -> None:
    set_up(self, message)
    ask = self.asks.get(message.request_id)
    if ask is None or ask.attempt is None or ask.said.cls == 0:
        return
    a = ask.attempt
    connecting = a.stream.connecting
    address = self.listed.addresses[a.server] if connecting else a.stream.sock.getpeername()
    Attempt(
        self.loop,
        Nobody(),
        9,
        a.server,
        address,
        a.url,
        a.tracks,
        a.headers,
        a.bandwidth,
        0.0,
        1.0,
        2.0,
        (),
    )


Worker.set_up = doubled  # type: ignore[method-assign]
