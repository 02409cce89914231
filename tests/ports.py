"""Free ports for processes that tests start."""

from __future__ import annotations

import socket
from random import SystemRandom

RANGE = range(15_000, 32_000)  # below the kernel's ephemeral ports (ip(7))


def free_port() -> int:
    """Not an ephemeral port: the kernel could give that to another process before its user listens on it."""
    while True:
        port = SystemRandom().choice(RANGE)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
