"""Relays on loopback: the sockets and timers around the pure pipes.

A `DatagramRelay` takes the place of a front's UDP socket for one other front. A `StreamRelay` listens in the
place of a media server, the server list or a front, for the connections of one client.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from random import Random
from typing import Any

from lemonhall.config.day import Shape
from lemonhall.links.pipe import DatagramPipe, EndOfStream, StreamPipe
from lemonhall.loop import Handler, Loop, Stream
from lemonhall.loop.event_loop import READ, Timer
from lemonhall.loop.stream import start_accepting

Address = tuple[str, int]
LOOPBACK = "127.0.0.1"
CONNECT_TIMEOUT_S = 5.0
LISTEN_BACKLOG = 1024
BACKLOG_FILLERS = 2  # connections that fill the queue of a listener with a backlog of 0 (Linux: listen(2))


class PipeTimer:
    """One timer for the next arrival at a pipe."""

    def __init__(self, loop: Loop, callback: Callable[[], object]) -> None:
        self.loop, self.callback = loop, callback
        self.timer: Timer | None = None

    def schedule(self, due_ms: float | None) -> None:
        """Replaces the pending call by one at `due_ms`, or by none."""
        self.unschedule()
        if due_ms is not None:
            self.timer = self.loop.call_at(due_ms / 1000, self.callback)

    def unschedule(self) -> None:
        if self.timer:
            self.timer.cancel()
            self.timer = None


class DatagramRelay:
    """The UDP socket of `receiver` as `sender` sees it.

    Datagrams from `sender` to `receiver` arrive here; those from `receiver` to `sender` leave from here.
    """

    def __init__(
        self, loop: Loop, sender: str, receiver: str, sender_address: Address, random: Random
    ) -> None:
        self.loop, self.sender, self.receiver, self.sender_address = loop, sender, receiver, sender_address
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((LOOPBACK, 0))
        self.sock.setblocking(False)
        self.address: Address = self.sock.getsockname()
        self.reverse: DatagramRelay | None = None  # the relay of the same two fronts in the other direction
        self.pipe = DatagramPipe(random)
        self.timer = PipeTimer(loop, self.forward_due)
        loop.watch_socket(self.sock, READ, self.on_ready)

    def on_ready(self, _: int) -> None:
        for _read in range(64):
            try:
                data, source = self.sock.recvfrom(65535)
            except BlockingIOError:
                break
            except OSError:  # an ICMP error for an earlier datagram: its port is closed
                continue
            if source == self.sender_address:  # datagrams of any other source are ignored
                self.pipe.put(self.loop.now() * 1000, data)
        self.forward_due()

    def forward_due(self) -> None:
        assert self.reverse
        for data in self.pipe.take_due(self.loop.now() * 1000):
            with contextlib.suppress(OSError):
                self.reverse.sock.sendto(data, self.reverse.sender_address)
        self.timer.schedule(self.pipe.next_due_ms())

    def set_shape(self, shape: Shape) -> None:
        self.pipe.shape = shape
        self.forward_due()


class RelaySide(Handler):
    """One side of a relayed connection. The bytes that it receives go through `pipe` to the other side."""

    def __init__(self, connection: RelayedConnection, is_client: bool, random: Random) -> None:
        self.connection, self.is_client, self.pipe = connection, is_client, StreamPipe(random)
        self.timer = PipeTimer(connection.relay.loop, self.forward_due)
        self.stream: Stream
        self.received_bytes = 0

    @property
    def other(self) -> RelaySide:
        return self.connection.target_side if self.is_client else self.connection.client_side

    def on_data(self, view: memoryview) -> None:
        self.received_bytes += len(view)
        if self.pipe.transparent and not self.other.stream.connecting:
            self.deliver(view)
            return
        if self.is_client:
            self.connection.relay.record_event("came", self.connection, self.received_bytes)
        self.pipe.put(self.connection.relay.loop.now() * 1000, bytes(view))
        self.forward_due()
        if self.pipe.full:
            self.stream.pause_reading()

    def deliver(self, data: bytes | memoryview) -> None:
        self.other.stream.write(data)
        self.connection.on_delivered(self.is_client, len(data))
        if self.other.stream.backlog_bytes > self.other.stream.high_watermark:
            self.stream.pause_reading()

    def on_backlog_drained(self) -> None:
        if self.other.stream.open and not self.other.pipe.full:
            self.other.stream.resume_reading()

    def on_closed(self, reason: str) -> None:
        """Queues the end of the connection behind its last byte."""
        if self.connection.ended:
            return
        if self.is_client:
            self.connection.relay.record_event("left", self.connection, self.received_bytes)
        self.pipe.put(self.connection.relay.loop.now() * 1000, EndOfStream(reason != "eof"))
        self.forward_due()

    def forward_due(self) -> None:
        if self.other.stream.connecting:
            return
        for piece in self.pipe.take_due(self.connection.relay.loop.now() * 1000):
            if isinstance(piece, EndOfStream):
                self.connection.finish(self.other.stream, piece.reset)
                return
            self.deliver(piece)
        if self.stream.open and self.stream.reading_paused and not self.pipe.full:
            self.resume_if_drained()
        self.timer.schedule(self.pipe.next_due_ms())

    def resume_if_drained(self) -> None:
        if self.other.stream.backlog_bytes <= self.other.stream.high_watermark:
            self.stream.resume_reading()

    def on_connected(self) -> None:
        """The target accepted the connection; only the target side connects."""
        self.connection.on_target_connected()


class RelayedConnection:
    """A relayed connection: `client_side` to the client that connected, `target_side` to the target."""

    def __init__(self, relay: StreamRelay, sock: socket.socket, target: Address) -> None:
        self.relay, self.ended = relay, False
        draw = relay.random.random
        self.client_side, self.target_side = (
            RelaySide(self, True, Random(draw())),
            RelaySide(self, False, Random(draw())),
        )
        self.client_side.stream = Stream(relay.loop, sock, self.client_side)
        self.target_side.stream = Stream.connect(relay.loop, target, self.target_side, CONNECT_TIMEOUT_S)
        self.target_port = 0  # local port of the target side, which the target sees; 0 until it is connected
        self.delivered_bytes = 0  # to the client
        self.apply_shapes()

    def on_target_connected(self) -> None:
        self.target_port = self.target_side.stream.sock.getsockname()[1]
        self.relay.record_event("through", self, 0)
        if self.client_side.received_bytes:
            self.relay.record_event("came", self, self.client_side.received_bytes)
        self.client_side.forward_due()

    def on_delivered(self, from_client: bool, byte_count: int) -> None:
        if not from_client:
            self.delivered_bytes += byte_count
            if self.relay.records_delivery:
                self.relay.record_event("told", self, self.delivered_bytes)

    def apply_shapes(self) -> None:
        self.client_side.pipe.shape, self.target_side.pipe.shape = (
            self.relay.request_shape,
            self.relay.reply_shape,
        )
        for side in (self.client_side, self.target_side):
            side.forward_due()

    def finish(self, stream: Stream, reset: bool) -> None:
        """Ends `stream` as the other side ended; nothing is relayed any more."""
        self.ended = True
        if reset:
            stream.abort()
        else:
            stream.close()
        self.release()

    def reset(self) -> None:
        self.ended = True
        self.client_side.stream.abort()
        self.target_side.stream.abort()
        self.release()

    def release(self) -> None:
        for side in (self.client_side, self.target_side):
            side.timer.unschedule()
        self.relay.connections.discard(self)


def bind_port() -> socket.socket:
    """Returns a TCP socket that keeps its port even when it stops listening.

    Linux keeps only a port that was bound by number, so another socket finds a free one first.
    """
    with socket.socket() as finder:
        finder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        finder.bind((LOOPBACK, 0))
        bound = socket.socket()
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind(finder.getsockname())
    bound.setblocking(False)
    return bound


class StreamRelay:
    """Listens in the place of `server` for the connections of `client`; without a target it refuses them.

    While the link is cut in either direction no connection is established: the listener's queue is kept full,
    so that the kernel leaves a new connection request unanswered, as on a real network.
    """

    def __init__(
        self,
        loop: Loop,
        client: str,
        server: str,
        random: Random,
        write_event: Callable[..., None],
        records_delivery: bool,
    ) -> None:
        """`records_delivery`: bytes that are delivered to the client are recorded as events, too."""
        self.loop, self.client, self.server, self.random = loop, client, server, random
        self.write_event, self.records_delivery = write_event, records_delivery
        self.sock = bind_port()
        self.address: Address = self.sock.getsockname()
        self.target: Address | None = None
        self.listening = False
        self.fillers: list[socket.socket] = []
        self.filler_ports: set[int] = set()
        self.connections: set[RelayedConnection] = set()
        self.request_shape = self.reply_shape = Shape()  # from the client, and to it

    def record_event(self, event: str, connection: RelayedConnection, byte_count: int) -> None:
        if connection.target_port:  # otherwise the target has not seen the connection yet
            self.write_event(
                event, who=self.client, there=self.server, port=connection.target_port, bytes=byte_count
            )

    def set_target(self, target: Address | None) -> None:
        """Sets the address that new connections are relayed to; None: the server is down."""
        self.target = target
        if target and not self.listening:
            self.sock.listen(LISTEN_BACKLOG)
            start_accepting(self.loop, self.sock, self.on_accepted)
            self.listening = True
            self.update_fillers()
        elif target is None and self.listening:
            self.loop.watch_socket(self.sock, 0, lambda _: None)
            self.sock.shutdown(socket.SHUT_RD)  # a listener that is shut down keeps its port and refuses
            self.listening = False
            self.close_fillers()

    def set_shapes(self, request_shape: Shape, reply_shape: Shape) -> None:
        self.request_shape, self.reply_shape = request_shape, reply_shape
        self.update_fillers()
        for connection in list(self.connections):
            connection.apply_shapes()

    def update_fillers(self) -> None:
        """Fills the listener's queue when a cut begins, and accepts connections again when it ends."""
        cut = self.request_shape.cut or self.reply_shape.cut
        if cut and self.listening and not self.fillers:
            self.loop.watch_socket(self.sock, 0, lambda _: None)
            self.sock.listen(0)
            for _ in range(BACKLOG_FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    filler.connect(self.address)
                self.fillers.append(filler)
                self.filler_ports.add(filler.getsockname()[1])
        elif not cut and self.fillers:
            self.close_fillers()
            if self.listening:
                self.sock.listen(LISTEN_BACKLOG)
                start_accepting(self.loop, self.sock, self.on_accepted)

    def close_fillers(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()

    def on_accepted(self, sock: socket.socket, address: Any) -> None:
        if address[1] in self.filler_ports:
            self.filler_ports.discard(address[1])
            sock.close()
        elif self.target is None:
            sock.close()
        else:
            self.connections.add(RelayedConnection(self, sock, self.target))

    def reset(self) -> None:
        for connection in list(self.connections):
            connection.reset()
