"""Where a worker takes its viewers: at the one listener that all workers share."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import Any

from lemonhall.loop import Loop

A_TURN = 4  # connections taken in one pass, so that the others have their part of a rush
CLOSED = (errno.EMFILE, errno.ENFILE, errno.ECONNABORTED)


class SharedListener:
    """`take(socket, peer)`; `may()` is asked before each."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        take: Callable[[socket.socket, Any], object],
        may: Callable[[], bool],
    ) -> None:
        self.loop, self.sock, self.take, self.may = loop, sock, take, may
        self.wanted = self.watching = False
        sock.setblocking(False)

    def look(self) -> None:
        """Opens or shuts, by what `may` says now."""
        open_now = self.wanted and self.may()
        if open_now and not self.watching:
            self.loop.watch_socket_exclusively(self.sock, self.on_ready)
        elif not open_now:
            self.loop.watch_socket(self.sock, 0, self.on_ready)
        self.watching = open_now

    def on_ready(self, _: int) -> None:
        for turn in range(A_TURN):
            if not self.may():
                self.look()
                return
            try:
                taken, peer = self.sock.accept()
            except BlockingIOError:  # another worker was faster, or these were all
                if turn:
                    self.step_back()
                return
            except OSError as error:
                if error.errno not in CLOSED:
                    raise
                return
            self.take(taken, peer)
        self.step_back()

    def step_back(self) -> None:
        """Whoever has taken some goes to the end of those that wait: the kernel wakes them in their order."""
        if self.watching:
            self.loop.watch_socket_exclusively(self.sock, self.on_ready)

    def open(self) -> None:
        self.wanted = True
        self.look()

    def close(self) -> None:
        """For good, in this process: others go on at the listener."""
        if self.sock.fileno() >= 0:
            self.loop.watch_socket(self.sock, 0, self.on_ready)
            self.sock.close()
