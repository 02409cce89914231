"""Buffered TCP streams: a write goes out at once when it can, the rest waits within bounds.

A stream never drops or reorders bytes. Who writes to it asks `backlog` or is told by `full` and `drained`,
and holds back its own source: that is the whole of the back-pressure.
"""

from __future__ import annotations

import errno
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any

from lemonhall.loop.core import READ, WRITE, Loop, Timer

Address = tuple[str, int] | str  # host and port, or the path of a Unix socket
LINGER_NONE = struct.pack("ii", 1, 0)
READS_A_TURN = 4  # so that one busy stream leaves its neighbours their turn
BACKLOG = 1024  # connections that the kernel takes before they are accepted here
READS_A_LOOK = 8  # the same, where somebody has to know what has come
DROPPED_BYTES = 1 << 18  # read and dropped while a connection ends: a peer that goes on is cut off


class Handler:
    """What a stream tells its owner. `data` must copy what it wants to keep: the buffer is used again."""

    def connected(self) -> None: ...

    def data(self, view: memoryview) -> None: ...

    def closed(self, reason: str) -> None:
        """Once, whoever closed it: `refused` or `timeout` (never connected), `eof`, `reset`, `local`."""

    def full(self) -> None:
        """More than `high` bytes wait to be sent."""

    def drained(self) -> None:
        """No byte waits any more, after `full`."""


class Stream:
    """One TCP connection. `written` counts the bytes that the kernel has taken: 0 proves that none left."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        handler: Handler,
        high: int = 1 << 18,
        connecting: bool = False,
        frozen: bool = False,
        gulp: int = 0,
    ) -> None:
        """`gulp`: bytes read in a turn of the loop, at most; 0: what the loop's buffer holds, and again."""
        self.loop, self.sock, self.handler, self.high = loop, sock, handler, high
        self.gulp = gulp
        self.out: deque[memoryview | bytes] = deque()
        self.backlog = 0
        self.written = self.read = 0
        self.open, self.connecting, self.paused = True, connecting, False
        self.closing = self.was_full = False
        self.broken = False  # a write found that the peer is gone; its owner has yet to be told
        self.dropped: int | None = None  # bytes since it began to end by `finish`
        self.frozen = frozen  # neither read nor written: another process may have it soon
        self.stalled_since: float | None = None  # when the peer last stopped taking what waits
        self._timer: Timer | None = None
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not connecting:
            self._watch()

    @classmethod
    def connect(
        cls,
        loop: Loop,
        address: Address,
        handler: Handler,
        timeout_s: float,
        high: int = 1 << 18,
        gulp: int = 0,
    ) -> Stream:
        """Starts a connection; `connected` or `closed` follows, never before this returns."""
        family = socket.AF_UNIX if isinstance(address, str) else socket.AF_INET
        if not isinstance(address, str) and ":" in address[0]:
            family = socket.AF_INET6
        sock = socket.socket(family, socket.SOCK_STREAM)
        stream = cls(loop, sock, handler, high, connecting=True, gulp=gulp)
        error = sock.connect_ex(address)
        if error in (0, errno.EINPROGRESS):
            stream._timer = loop.call_later(timeout_s, stream._close, "timeout")
            stream._watch()
        else:
            loop.call_soon(stream._close, "refused")
        return stream

    def _watch(self) -> None:
        if not self.open:
            return
        ends = self.closing and self.dropped is None
        events = 0 if self.paused or self.connecting or ends else READ
        if self.out or self.connecting:
            events |= WRITE
        if self.frozen:
            events = 0
        self.loop.watch(self.sock, events, self._on_ready)

    def _on_ready(self, mask: int) -> None:
        if self.connecting:
            self._on_connected()
            return
        if mask & WRITE:
            self._flush()
        if mask & READ and self.open and self.dropped is not None:
            self._drop()
        elif mask & READ and self.open and not self.paused:
            self._read()

    def _on_connected(self) -> None:
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._close("refused")
            return
        self.connecting = False
        if self._timer:
            self._timer.cancel()
        self._watch()
        self.handler.connected()
        if self.open and self.out:
            self._flush()

    def look(self) -> bool:
        """Reads what lies there now, not in the loop's own time; whether the stream can still be used.

        For who is about to act on what a peer said: its leaving may lie behind it, or have shown at a write.
        """
        if self.broken:
            self._close("reset")
        if self.open and not (self.connecting or self.closing or self.paused or self.frozen):
            self._read(READS_A_LOOK, to_end=True)
        return self.open and not self.closing

    def _drop(self) -> None:
        try:
            count = self.sock.recv_into(self.loop.buffer, self.gulp)
        except BlockingIOError:
            return
        except OSError:
            count = 0
        assert self.dropped is not None
        self.dropped += count
        if not count or self.dropped > DROPPED_BYTES:
            self._close("local")

    def _read(self, turns: int = 0, to_end: bool = False) -> None:
        view = memoryview(self.loop.buffer)
        if self.gulp:
            view = view[: self.gulp]
        for _ in range(turns or (1 if self.gulp else READS_A_TURN)):
            try:
                count = self.sock.recv_into(view)
            except BlockingIOError:
                return
            except OSError:
                self._close("reset")
                return
            if not count:
                self._close("eof")
                return
            self.read += count
            self.handler.data(view[:count])
            if not self.open or self.paused or self.closing or (count < len(view) and not to_end):
                return

    def write(self, data: bytes | memoryview) -> None:
        """Sends now what the kernel takes; a copy of the rest waits. On a closed stream it does nothing."""
        if not self.open or self.closing:
            return
        sent = 0
        if not self.out and not self.connecting and not self.frozen:
            try:
                sent = self.sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:  # from here on it takes nothing; its owner is told in the loop's own time
                self.closing = self.broken = True
                self.loop.call_soon(self._close, "reset")
                return
            self.written += sent
            if sent == len(data):
                return
        rest = bytes(data[sent:])
        if not self.out:
            self.stalled_since = self.loop.now()
        self.out.append(memoryview(rest))
        self.backlog += len(rest)
        if self.backlog > self.high and not self.was_full:
            self.was_full = True
            self.handler.full()
        self._watch()

    def _flush(self) -> None:
        while self.out and self.open:
            chunk = memoryview(self.out[0])
            try:
                sent = self.sock.send(chunk)
            except BlockingIOError:
                return
            except OSError:
                self._close("reset")
                return
            self.written += sent
            self.backlog -= sent
            self.stalled_since = self.loop.now()
            if sent < len(chunk):
                self.out[0] = chunk[sent:]
                return
            self.out.popleft()
        if not self.open:
            return
        self.stalled_since = None
        if self.closing:
            self._end_sending()
            return
        self._watch()
        if self.was_full:
            self.was_full = False
            self.handler.drained()

    def pause(self) -> None:
        """Reads no more until `resume`; the kernel's window then holds the peer back."""
        self.paused = True
        self._watch()

    def resume(self) -> None:
        self.paused = False
        self._watch()

    def close(self, within_s: float = 2.0) -> None:
        """Closes once all is sent, or when `within_s` has passed."""
        if not self.open or self.closing:
            return
        if not self.out:
            self._close("local")
            return
        self.closing = True
        self._timer = self.loop.call_later(within_s, self._close, "local")
        self._watch()

    def finish(self, within_s: float = 1.0) -> None:
        """Closes so that what was written arrives: sends all, ends its own side, then reads on and drops
        what comes until the peer closes, `DROPPED_BYTES` have come or `within_s` has passed.

        A close with bytes unread is a reset, and a reset may undo an answer that is still on its way.
        """
        if not self.open or self.closing:
            return
        if not self.written and not self.out:  # there is no last word
            self._close("local")
            return
        self.closing, self.dropped = True, 0
        self._timer = self.loop.call_later(within_s, self._close, "local")
        if self.out:
            self._watch()
        else:
            self._end_sending()

    def _end_sending(self) -> None:
        if self.dropped is None:
            self._close("local")
            return
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close("local")
            return
        self._watch()

    def take_back(self, data: bytes) -> bool:
        """Takes a write out of what waits; False: a byte of it has left, or it is not there."""
        for n, chunk in enumerate(self.out):
            if len(chunk) == len(data) and chunk == data:  # one that has begun to leave is shorter by now
                del self.out[n]
                self.backlog -= len(data)
                self._watch()
                return True
        return False

    def freeze(self) -> None:
        """Touches the socket no more until `thaw`; what is written meanwhile waits."""
        self.frozen = True
        self._watch()

    def thaw(self) -> None:
        self.frozen = False
        self._watch()

    def let_go(self) -> None:
        """Closes this process's copy; the connection goes on where the other copy is. Nobody is told."""
        if not self.open:
            return
        self.open = False
        if self._timer:
            self._timer.cancel()
        self.loop.watch(self.sock, 0, self._on_ready)
        self.sock.close()
        self.out.clear()
        self.backlog = 0

    def abort(self) -> None:
        """Resets the connection; what waits is dropped."""
        if self.open:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            self._close("local")

    def _close(self, reason: str) -> None:
        if self.open:
            self.let_go()
            self.handler.closed(reason)


def listen(
    loop: Loop, address: Address, accept: Callable[[socket.socket, Any], object], share: bool = False
) -> socket.socket:
    """Listens and calls `accept(socket, peer)`; `share` sets SO_REUSEPORT. Raises `OSError` if it cannot."""
    if isinstance(address, str):
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    else:
        sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if share:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(address)
    sock.listen(BACKLOG)
    accept_on(loop, sock, accept)
    return sock


def accept_on(loop: Loop, sock: socket.socket, accept: Callable[[socket.socket, Any], object]) -> None:
    """Calls `accept(socket, peer)` for what comes at a socket that listens already."""
    sock.setblocking(False)
    loop.watch(sock, READ, lambda _: take_queued(sock, accept))


def take_queued(sock: socket.socket, accept: Callable[[socket.socket, Any], object], most: int = 64) -> None:
    """Takes what waits in the kernel's queue, `most` at a time: others have their turn."""
    for _turn in range(most):
        try:
            taken, peer = sock.accept()
        except BlockingIOError:
            return
        except OSError as error:
            if error.errno == errno.ECONNABORTED:  # its peer is gone already: the others are not
                continue
            if error.errno not in (errno.EMFILE, errno.ENFILE):  # out of descriptors: the next pass tries
                raise
            return
        accept(taken, peer)
