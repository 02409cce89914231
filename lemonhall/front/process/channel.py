"""Messages with open file descriptors between two processes over a Unix socket: length, JSON, SCM_RIGHTS.

Descriptors travel with the first byte of their message (unix(7)); each message states how many belong to it.
"""

from __future__ import annotations

import json
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from lemonhall.loop import Loop
from lemonhall.loop.event_loop import READ, WRITE

LENGTH = struct.Struct(">I")
MAX_FDS = 200  # in one message; the kernel accepts 253 (SCM_MAX_FD)
MAX_MESSAGE_BYTES = 64 << 20
MessageHandler = Callable[[dict[str, Any], list[int]], object]


class Channel:
    """Calls `on_message(message, descriptors)` in order and `on_closed()` once the peer has closed."""

    def __init__(
        self, loop: Loop, sock: socket.socket, on_message: MessageHandler, on_closed: Callable[[], object]
    ) -> None:
        self.loop, self.sock, self.on_message, self.on_closed = loop, sock, on_message, on_closed
        self.open = True
        self.buffer = bytearray()
        self.received_fds: deque[int] = deque()
        self.unsent: deque[tuple[memoryview, list[int]]] = deque()
        sock.setblocking(False)
        self.update_watch()

    def update_watch(self) -> None:
        if self.open:
            self.loop.watch_socket(self.sock, READ | (WRITE if self.unsent else 0), self.on_ready)

    def send(self, message: dict[str, Any], fds: Sequence[int] = ()) -> None:
        """Sends duplicates of the descriptors; the originals stay open. Raises `ValueError` for too many."""
        if len(fds) > MAX_FDS:
            raise ValueError(f"{len(fds)} descriptors exceed the limit of a message ({MAX_FDS})")
        body = json.dumps({**message, "fds": len(fds)}, separators=(",", ":")).encode()
        copies = [os.dup(fd) for fd in fds]
        self.unsent.append((memoryview(LENGTH.pack(len(body)) + body), copies))
        self.flush()

    def flush(self) -> None:
        while self.unsent and self.open:
            data, fds = self.unsent[0]
            try:
                sent = socket.send_fds(self.sock, [data], fds) if fds else self.sock.send(data)
            except BlockingIOError:
                break
            except OSError:
                self.close_and_notify()
                return
            for fd in fds:
                os.close(fd)
            if sent == len(data):
                self.unsent.popleft()
            else:
                self.unsent[0] = (data[sent:], [])
        self.update_watch()

    def on_ready(self, mask: int) -> None:
        if mask & WRITE:
            self.flush()
        if not mask & READ or not self.open:
            return
        while self.open:
            try:
                data, fds, flags, _ = socket.recv_fds(self.sock, 1 << 16, MAX_FDS)
            except BlockingIOError:
                return
            except OSError:
                data, fds, flags = b"", [], 0
            for fd in fds:
                os.set_inheritable(fd, False)
                self.received_fds.append(fd)
            if not data or flags & socket.MSG_CTRUNC:
                self.close_and_notify()
                return
            self.buffer += data
            self.process_buffer()

    def process_buffer(self) -> None:
        while self.open and len(self.buffer) >= LENGTH.size:
            size = LENGTH.unpack_from(self.buffer)[0]
            if size > MAX_MESSAGE_BYTES:
                self.close_and_notify()
                return
            if len(self.buffer) < LENGTH.size + size:
                return
            body = bytes(self.buffer[LENGTH.size : LENGTH.size + size])
            del self.buffer[: LENGTH.size + size]
            try:
                message = json.loads(body)
                count = int(message["fds"])
            except (ValueError, KeyError, TypeError):
                self.close_and_notify()
                return
            self.on_message(
                message, [self.received_fds.popleft() for _ in range(min(count, len(self.received_fds)))]
            )

    def close_and_notify(self) -> None:
        if self.open:
            self.close()
            self.on_closed()

    def close(self) -> None:
        """Closes the channel without calling `on_closed`."""
        if not self.open:
            return
        self.open = False
        self.loop.watch_socket(self.sock, 0, self.on_ready)
        self.sock.close()
        for fd in [*self.received_fds, *(fd for _, fds in self.unsent for fd in fds)]:
            os.close(fd)
        self.received_fds.clear()
        self.unsent.clear()


class OwnershipToken:
    """A byte in a pipe that two processes share; the kernel gives it to one reader only."""

    def __init__(self, fd: int | None = None) -> None:
        if fd is None:
            self.fd, write_fd = os.pipe()
            os.write(write_fd, b"!")
            os.close(write_fd)
        else:
            self.fd = fd
        os.set_blocking(self.fd, False)

    def claim(self) -> bool:
        """Takes the byte. Returns False if the other process has taken it. To be called once."""
        try:
            return os.read(self.fd, 1) == b"!"
        except OSError:
            return False
        finally:
            os.close(self.fd)
