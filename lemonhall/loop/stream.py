"""Buffered TCP streams: a write is sent at once if possible, the rest waits in a send queue.

A stream never drops or reorders bytes. Back-pressure is the writer's task: it reads `backlog_bytes`, or
reacts to `on_backlog_full` and `on_backlog_drained`, and slows down its own source.
"""

from __future__ import annotations

import errno
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any

from lemonhall.loop.event_loop import READ, WRITE, Loop, Timer

Address = tuple[str, int] | str  # host and port, or the path of a Unix socket
NO_LINGER = struct.pack("ii", 1, 0)
READS_PER_EVENT = 4  # so that a busy stream does not starve the others
LISTEN_BACKLOG = 1024  # connections that the kernel queues until they are accepted
READS_PER_READ_PENDING = 8  # higher than READS_PER_EVENT: the caller depends on what has arrived
MAX_DISCARDED_BYTES = 1 << 18  # during a lingering close: a peer that sends more is disconnected


class Handler:
    """Callbacks of a stream to its owner. `on_data` must copy what it keeps: the buffer is reused."""

    def on_connected(self) -> None: ...

    def on_data(self, view: memoryview) -> None: ...

    def on_closed(self, reason: str) -> None:
        """Called once, whichever side closed: `refused` or `timeout` (never connected), `eof`, `reset`,
        `local`."""

    def on_backlog_full(self) -> None:
        """More than `high_watermark` bytes wait to be sent."""

    def on_backlog_drained(self) -> None:
        """No byte waits any more, after `on_backlog_full`."""


class Stream:
    """One TCP connection. `bytes_written` counts the bytes that the kernel took; 0 proves that none left."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        handler: Handler,
        high_watermark: int = 1 << 18,
        connecting: bool = False,
        io_suspended: bool = False,
        max_read_bytes: int = 0,
    ) -> None:
        """`max_read_bytes` limits what is read per event; 0: several reads of the loop's whole buffer."""
        self.loop, self.sock, self.handler, self.high_watermark = loop, sock, handler, high_watermark
        self.max_read_bytes = max_read_bytes
        self.send_queue: deque[memoryview | bytes] = deque()
        self.backlog_bytes = 0
        self.bytes_written = self.bytes_read = 0
        self.open, self.connecting, self.reading_paused = True, connecting, False
        self.closing = self.above_high_watermark = self.writing_ended = False
        self.write_failed = False  # the peer is gone, and `on_closed` has not been called yet
        self.discarded_bytes: int | None = None  # since `close_lingering` was called
        self.io_suspended = io_suspended  # neither read nor written: the socket may move to another process
        self.stalled_since: float | None = None  # when the peer last stopped taking the queued bytes
        self._timer: Timer | None = None
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not connecting:
            self._update_watch()

    @classmethod
    def connect(
        cls,
        loop: Loop,
        address: Address,
        handler: Handler,
        timeout_s: float,
        high_watermark: int = 1 << 18,
        max_read_bytes: int = 0,
    ) -> Stream:
        """Starts a connection; `on_connected` or `on_closed` follows, never before this returns."""
        family = socket.AF_UNIX if isinstance(address, str) else socket.AF_INET
        if not isinstance(address, str) and ":" in address[0]:
            family = socket.AF_INET6
        sock = socket.socket(family, socket.SOCK_STREAM)
        stream = cls(loop, sock, handler, high_watermark, connecting=True, max_read_bytes=max_read_bytes)
        error = sock.connect_ex(address)
        if error in (0, errno.EINPROGRESS):
            stream._timer = loop.call_later(timeout_s, stream._close, "timeout")
            stream._update_watch()
        else:
            loop.call_soon(stream._close, "refused")
        return stream

    def _update_watch(self) -> None:
        if not self.open:
            return
        flushing = self.closing and self.discarded_bytes is None
        events = 0 if self.reading_paused or self.connecting or flushing else READ
        if self.send_queue or self.connecting:
            events |= WRITE
        if self.io_suspended:
            events = 0
        self.loop.watch_socket(self.sock, events, self._on_ready)

    def _on_ready(self, mask: int) -> None:
        if self.connecting:
            self._finish_connect()
            return
        if mask & WRITE:
            self._flush_send_queue()
        if mask & READ and self.open and self.discarded_bytes is not None:
            self._read_and_discard()
        elif mask & READ and self.open and not self.reading_paused:
            self._read()

    def _finish_connect(self) -> None:
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._close("refused")
            return
        self.connecting = False
        if self._timer:
            self._timer.cancel()
        self._update_watch()
        self.handler.on_connected()
        if self.open and self.send_queue:
            self._flush_send_queue()

    def read_pending(self, while_paused: bool = False) -> bool:
        """Reads at once what has arrived, without waiting for the loop; returns whether the stream is usable.

        For a caller that is about to act on a message of the peer: the peer's close may be queued behind that
        message, or may have shown when a write failed.
        """
        if self.write_failed:
            self._close("reset")
        paused = self.reading_paused and not while_paused
        if self.open and not (self.connecting or self.closing or paused or self.io_suspended):
            self._read(READS_PER_READ_PENDING, to_end=True)
        return self.open and not self.closing

    def _read_and_discard(self) -> None:
        try:
            count = self.sock.recv_into(self.loop.read_buffer, self.max_read_bytes)
        except BlockingIOError:
            return
        except OSError:
            count = 0
        assert self.discarded_bytes is not None
        self.discarded_bytes += count
        if not count or self.discarded_bytes > MAX_DISCARDED_BYTES:
            self._close("local")

    def _read(self, max_reads: int = 0, to_end: bool = False) -> None:
        view = memoryview(self.loop.read_buffer)
        if self.max_read_bytes:
            view = view[: self.max_read_bytes]
        for _ in range(max_reads or (1 if self.max_read_bytes else READS_PER_EVENT)):
            try:
                count = self.sock.recv_into(view)
            except BlockingIOError:
                return
            except OSError:
                self._close("reset")
                return
            if not count:
                self._close("reset" if self.write_failed else "eof")  # the write has taken the error
                return
            self.bytes_read += count
            self.handler.on_data(view[:count])
            if not self.open or self.reading_paused or self.closing or (count < len(view) and not to_end):
                return

    def write(self, data: bytes | memoryview) -> None:
        """Sends what the kernel takes now and queues a copy of the rest; does nothing on a closed stream."""
        if not self.open or self.closing or self.writing_ended:
            return
        sent = 0
        if not self.send_queue and not self.connecting and not self.io_suspended:
            try:
                sent = self.sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:  # nothing more can be sent; `on_closed` follows from the loop, not from this call
                self.closing = self.write_failed = True
                self.loop.call_soon(self._close, "reset")
                return
            self.bytes_written += sent
            if sent == len(data):
                return
        rest = bytes(data[sent:])
        if not self.send_queue:
            self.stalled_since = self.loop.now()
        self.send_queue.append(memoryview(rest))
        self.backlog_bytes += len(rest)
        if self.backlog_bytes > self.high_watermark and not self.above_high_watermark:
            self.above_high_watermark = True
            self.handler.on_backlog_full()
        self._update_watch()

    def _flush_send_queue(self) -> None:
        while self.send_queue and self.open:
            chunk = memoryview(self.send_queue[0])
            try:
                sent = self.sock.send(chunk)
            except BlockingIOError:
                return
            except OSError:
                self._close("reset")
                return
            self.bytes_written += sent
            self.backlog_bytes -= sent
            self.stalled_since = self.loop.now()
            if sent < len(chunk):
                self.send_queue[0] = chunk[sent:]
                return
            self.send_queue.popleft()
        if not self.open:
            return
        self.stalled_since = None
        if self.closing:
            self._end_sending()
            return
        self._update_watch()
        if self.above_high_watermark:
            self.above_high_watermark = False
            self.handler.on_backlog_drained()

    def pause_reading(self) -> None:
        """Reads nothing until `resume_reading`; the TCP window then slows the peer down."""
        self.reading_paused = True
        self._update_watch()

    def resume_reading(self) -> None:
        self.reading_paused = False
        self._update_watch()

    def close(self, within_s: float = 2.0) -> None:
        """Closes once everything is sent, or after `within_s`."""
        if not self.open or self.closing:
            return
        if not self.send_queue:
            self._close("local")
            return
        self.closing = True
        self._timer = self.loop.call_later(within_s, self._close, "local")
        self._update_watch()

    def close_lingering(self, within_s: float = 1.0) -> None:
        """Closes so that what was written arrives: sends everything, shuts down the sending side, then reads
        and discards until the peer closes, `MAX_DISCARDED_BYTES` are exceeded or `within_s` has passed.

        A close with unread bytes sends a reset, and a reset may destroy an answer that is still in flight.
        """
        if not self.open or self.closing:
            return
        if not self.bytes_written and not self.send_queue:  # nothing was written that could get lost
            self._close("local")
            return
        self.closing, self.discarded_bytes = True, 0
        self.reading_paused = False
        self._timer = self.loop.call_later(within_s, self._close, "local")
        if self.send_queue:
            self._update_watch()
        else:
            self._end_sending()

    def end_writing(self, within_s: float) -> None:
        """Shuts down the sending side and goes on reading until the peer closes or `within_s` has passed.

        For a stream without queued writes; what is written afterwards is dropped.
        """
        if not self.open or self.closing:
            return
        self.writing_ended = True
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close("reset")
            return
        self._timer = self.loop.call_later(within_s, self._close, "local")

    def _end_sending(self) -> None:
        if self.discarded_bytes is None:
            self._close("local")
            return
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close("local")
            return
        self._update_watch()

    def cancel_write(self, data: bytes) -> bool:
        """Removes a write from the send queue; False if a byte of it was sent or it is not queued."""
        for index, chunk in enumerate(self.send_queue):
            if len(chunk) == len(data) and chunk == data:  # a chunk that was sent in part is shorter by now
                del self.send_queue[index]
                self.backlog_bytes -= len(data)
                self._update_watch()
                return True
        return False

    def suspend_io(self) -> None:
        """Neither reads nor writes the socket until `resume_io`; writes are queued meanwhile."""
        self.io_suspended = True
        self._update_watch()

    def resume_io(self) -> None:
        self.io_suspended = False
        self._update_watch()

    def detach(self) -> None:
        """Closes this process's descriptor without `on_closed`; the connection stays up if another process
        holds a copy of the descriptor."""
        if not self.open:
            return
        self.open = False
        if self._timer:
            self._timer.cancel()
        self.loop.watch_socket(self.sock, 0, self._on_ready)
        self.sock.close()
        self.send_queue.clear()
        self.backlog_bytes = 0

    def abort(self) -> None:
        """Resets the connection and drops what is queued."""
        if self.open:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            self._close("local")

    def _close(self, reason: str) -> None:
        if self.open:
            self.detach()
            self.handler.on_closed(reason)


def listen(
    loop: Loop,
    address: Address,
    on_accept: Callable[[socket.socket, Any], object],
    reuse_port: bool = False,
) -> socket.socket:
    """Listens and calls `on_accept(socket, peer)`; `reuse_port` sets SO_REUSEPORT. Raises `OSError`."""
    if isinstance(address, str):
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    else:
        sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if reuse_port:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(address)
    sock.listen(LISTEN_BACKLOG)
    start_accepting(loop, sock, on_accept)
    return sock


def start_accepting(
    loop: Loop, sock: socket.socket, on_accept: Callable[[socket.socket, Any], object]
) -> None:
    """Calls `on_accept(socket, peer)` for each connection to a socket that listens already."""
    sock.setblocking(False)
    loop.watch_socket(sock, READ, lambda _: accept_queued(sock, on_accept))


def accept_queued(
    sock: socket.socket, on_accept: Callable[[socket.socket, Any], object], limit: int = 64
) -> None:
    """Accepts at most `limit` connections from the kernel's queue, so that other callbacks can run."""
    for _attempt in range(limit):
        try:
            connection, peer = sock.accept()
        except BlockingIOError:
            return
        except OSError as error:
            if error.errno == errno.ECONNABORTED:  # this peer is gone already; the others are not
                continue
            if error.errno not in (errno.EMFILE, errno.ENFILE):  # out of descriptors: the next pass retries
                raise
            return
        on_accept(connection, peer)
