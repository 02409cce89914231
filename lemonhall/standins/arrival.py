"""When what a process reads came, where the machine may not have run it meanwhile.

A tap writes when something was read. On a machine with more to do than cores that is up to seconds after it
came, and who is judged by it (two attempts out at once, a cold server pushed over) had no part in that.
"""

from __future__ import annotations

import socket
import struct

from lemonhall.loop import Loop

LOOK_S = 0.02
TCP_INFO = struct.Struct("8B24I")  # tcp_info of linux/tcp.h, as far as it is read
LAST_DATA_RECEIVED = 8 + 11  # milliseconds since the kernel had the last data


def data_ago_ms(sock: socket.socket) -> float:
    """How long ago the last bytes came to a connection, by the kernel's own note; 0 where it keeps none."""
    if not hasattr(socket, "TCP_INFO"):
        return 0.0
    try:
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
    except OSError:
        return 0.0
    return float(TCP_INFO.unpack(told)[LAST_DATA_RECEIVED]) if len(told) == TCP_INFO.size else 0.0


class Looks:
    """When this process last looked at its sockets before what it reads now: none of that came earlier.

    Holds for connections that are read to their end each time. It looks each `LOOK_S` at least while it runs,
    so the time told is early by no more than two of those, and by what it did not run.
    """

    def __init__(self, loop: Loop) -> None:
        self.loop, self.counted = loop, -1
        self.last = self.before = self.older = loop.now()  # ends of passes: the next thing is a look
        loop.end_of_pass_callbacks.append(self.ended)
        self.tick()

    def tick(self) -> None:
        self.loop.call_later(LOOK_S, self.tick)

    def ended(self) -> None:
        if self.counted != self.loop.pass_count:
            self.counted = self.loop.pass_count
            self.older, self.before = self.before, self.last
        self.last = self.loop.now()

    def since_ms(self) -> float:
        """In ms of the loop's clock. What came before the look of the pass before was read in that pass."""
        return 1000 * (self.older if self.counted == self.loop.pass_count else self.before)
