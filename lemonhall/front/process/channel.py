"""Messages with open descriptors between two processes, over a Unix socket: a length, JSON, and SCM_RIGHTS.

Descriptors travel with the first byte of their message (unix(7)); each message says how many are its own.
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
FDS_MOST = 200  # in one message; the kernel takes 253
BYTES_MOST = 64 << 20
Heard = Callable[[dict[str, Any], list[int]], object]


class Channel:
    """`heard(message, descriptors)`, in order; `ended()` once, when the other process has closed its end."""

    def __init__(self, loop: Loop, sock: socket.socket, heard: Heard, ended: Callable[[], object]) -> None:
        self.loop, self.sock, self.heard, self.ended = loop, sock, heard, ended
        self.open = True
        self.kept = bytearray()
        self.fds: deque[int] = deque()
        self.out: deque[tuple[memoryview, list[int]]] = deque()
        sock.setblocking(False)
        self.watch()

    def watch(self) -> None:
        if self.open:
            self.loop.watch_socket(self.sock, READ | (WRITE if self.out else 0), self.on_ready)

    def send(self, message: dict[str, Any], fds: Sequence[int] = ()) -> None:
        """The descriptors stay open here; copies of them travel. Raises `ValueError` for too many."""
        if len(fds) > FDS_MOST:
            raise ValueError(f"{len(fds)} descriptors are more than a message carries ({FDS_MOST})")
        body = json.dumps({**message, "fds": len(fds)}, separators=(",", ":")).encode()
        copies = [os.dup(fd) for fd in fds]
        self.out.append((memoryview(LENGTH.pack(len(body)) + body), copies))
        self.flush()

    def flush(self) -> None:
        while self.out and self.open:
            data, fds = self.out[0]
            try:
                sent = socket.send_fds(self.sock, [data], fds) if fds else self.sock.send(data)
            except BlockingIOError:
                break
            except OSError:
                self.end()
                return
            for fd in fds:
                os.close(fd)
            if sent == len(data):
                self.out.popleft()
            else:
                self.out[0] = (data[sent:], [])
        self.watch()

    def on_ready(self, mask: int) -> None:
        if mask & WRITE:
            self.flush()
        if not mask & READ or not self.open:
            return
        while self.open:
            try:
                data, fds, flags, _ = socket.recv_fds(self.sock, 1 << 16, FDS_MOST)
            except BlockingIOError:
                return
            except OSError:
                data, fds, flags = b"", [], 0
            for fd in fds:
                os.set_inheritable(fd, False)
                self.fds.append(fd)
            if not data or flags & socket.MSG_CTRUNC:
                self.end()
                return
            self.kept += data
            self.take()

    def take(self) -> None:
        while self.open and len(self.kept) >= LENGTH.size:
            size = LENGTH.unpack_from(self.kept)[0]
            if size > BYTES_MOST:
                self.end()
                return
            if len(self.kept) < LENGTH.size + size:
                return
            body = bytes(self.kept[LENGTH.size : LENGTH.size + size])
            del self.kept[: LENGTH.size + size]
            try:
                message = json.loads(body)
                count = int(message["fds"])
            except (ValueError, KeyError, TypeError):
                self.end()
                return
            self.heard(message, [self.fds.popleft() for _ in range(min(count, len(self.fds)))])

    def end(self) -> None:
        if self.open:
            self.close()
            self.ended()

    def close(self) -> None:
        """Without a word to the owner."""
        if not self.open:
            return
        self.open = False
        self.loop.watch_socket(self.sock, 0, self.on_ready)
        self.sock.close()
        for fd in [*self.fds, *(fd for _, fds in self.out for fd in fds)]:
            os.close(fd)
        self.fds.clear()
        self.out.clear()


class OwnershipToken:
    """A byte in a pipe, which the kernel gives to one reader only."""

    def __init__(self, fd: int | None = None) -> None:
        if fd is None:
            self.fd, write = os.pipe()
            os.write(write, b"!")
            os.close(write)
        else:
            self.fd = fd
        os.set_blocking(self.fd, False)

    def take(self) -> bool:
        """Whether it was still there; it is gone now. To be called once."""
        try:
            return os.read(self.fd, 1) == b"!"
        except OSError:
            return False
        finally:
            os.close(self.fd)
