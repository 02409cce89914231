"""Sets up each safe session at two servers at once (a fault of the program around the module)."""

from __future__ import annotations

from typing import Any

from lemonhall.decide import Front
from lemonhall.front.servers.attempt import Attempt
from lemonhall.front.viewers.worker import Worker
from lemonhall.ipc import StartAttempt

__all__ = ["Front"]
on_start_attempt = Worker.on_start_attempt


class NullOwner:
    def __getattr__(self, name: str) -> Any:
        return lambda *arguments: None


def set_up_twice(self: Worker, message: StartAttempt) -> None:
    on_start_attempt(self, message)
    request = self.requests_by_number.get(message.request_id)
    if request is None or request.attempt is None or request.message.cls == 0:
        return
    attempt = request.attempt
    connecting = attempt.stream.connecting
    address = self.server_list.addresses[attempt.server] if connecting else attempt.stream.sock.getpeername()
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


Worker.on_start_attempt = set_up_twice  # type: ignore[method-assign]
