"""Ports for processes that listen a moment later."""

from __future__ import annotations

import socket
from random import SystemRandom

RANGE = range(15_000, 32_000)  # below those that the kernel gives to whoever asks for any (ip(7))


def free_port() -> int:
    """Not one of the kernel's: until its owner listens it may be given to another, whom we would talk to."""
    while True:
        port = SystemRandom().choice(RANGE)
        with socket.socket() as alone:
            try:
                alone.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
