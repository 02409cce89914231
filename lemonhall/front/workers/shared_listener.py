"""Accepts viewer connections at the listener that all workers share."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import Any

from lemonhall.loop import Loop

MAX_ACCEPTS_PER_PASS = 4  # so that the other workers get their share of a burst
IGNORED_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ECONNABORTED)


class SharedListener:
    """Calls `on_accept(socket, peer)` for each connection; `may_accept()` is checked before each."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_accept: Callable[[socket.socket, Any], object],
        may_accept: Callable[[], bool],
    ) -> None:
        self.loop, self.sock, self.on_accept, self.may_accept = loop, sock, on_accept, may_accept
        self.opened = self.watching = False
        sock.setblocking(False)

    def refresh(self) -> None:
        """Starts or stops watching the listener, as `may_accept` says now."""
        watch_now = self.opened and self.may_accept()
        if watch_now and not self.watching:
            self.loop.watch_socket_exclusively(self.sock, self.on_ready)
        elif not watch_now:
            self.loop.watch_socket(self.sock, 0, self.on_ready)
        self.watching = watch_now

    def on_ready(self, _: int) -> None:
        for count in range(MAX_ACCEPTS_PER_PASS):
            if not self.may_accept():
                self.refresh()
                return
            try:
                accepted, peer = self.sock.accept()
            except BlockingIOError:  # another worker was faster, or no connection is left
                if count:
                    self.requeue()
                return
            except OSError as error:
                if error.errno not in IGNORED_ERRORS:
                    raise
                return
            self.on_accept(accepted, peer)
        self.requeue()

    def requeue(self) -> None:
        """Moves this worker to the end of those that wait: the kernel wakes them in order of registration."""
        if self.watching:
            self.loop.watch_socket_exclusively(self.sock, self.on_ready)

    def open(self) -> None:
        self.opened = True
        self.refresh()

    def close(self) -> None:
        """Closes the listener in this process for good; other processes keep theirs."""
        if self.sock.fileno() >= 0:
            self.loop.watch_socket(self.sock, 0, self.on_ready)
            self.sock.close()
