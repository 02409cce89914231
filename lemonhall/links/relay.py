"""Relays on loopback: sockets and timers round the pure pipes.

A `Wire` stands for the UDP socket of one front as another sees it; a `Door` listens in the place of a server,
the box list or a front, for one of those that come there.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from random import Random
from typing import Any

from lemonhall.config.day import Shape
from lemonhall.links.pipe import Bytes, Datagrams, End
from lemonhall.loop import Handler, Loop, Stream
from lemonhall.loop.event_loop import READ, Timer
from lemonhall.loop.stream import start_accepting

Address = tuple[str, int]
HOST = "127.0.0.1"
CONNECT_S = 5.0
BACKLOG = 1024
PLUGS = 2  # connections that fill the queue of a listener with a backlog of 0 (Linux: listen(2))


class Due:
    """One timer for whatever a pipe holds next."""

    def __init__(self, loop: Loop, call: Callable[[], object]) -> None:
        self.loop, self.call = loop, call
        self.timer: Timer | None = None

    def at(self, due_ms: float | None) -> None:
        self.stop()
        if due_ms is not None:
            self.timer = self.loop.call_at(due_ms / 1000, self.call)

    def stop(self) -> None:
        if self.timer:
            self.timer.cancel()
            self.timer = None


class Wire:
    """What `owner` sends to `other` comes in here; what comes from `other` leaves from here, to `owner`."""

    def __init__(self, loop: Loop, owner: str, other: str, owner_at: Address, random: Random) -> None:
        self.loop, self.owner, self.other, self.owner_at = loop, owner, other, owner_at
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((HOST, 0))
        self.sock.setblocking(False)
        self.at: Address = self.sock.getsockname()
        self.back: Wire | None = None  # the same two, seen from the other
        self.pipe = Datagrams(random)
        self.timer = Due(loop, self.pass_on)
        loop.watch_socket(self.sock, READ, self.on_ready)

    def on_ready(self, _: int) -> None:
        for _turn in range(64):
            try:
                data, sender = self.sock.recvfrom(65535)
            except BlockingIOError:
                break
            except OSError:  # an ICMP error of an earlier send: nobody is there
                continue
            if sender == self.owner_at:  # nobody else speaks here
                self.pipe.put(self.loop.now() * 1000, data)
        self.pass_on()

    def pass_on(self) -> None:
        assert self.back
        for data in self.pipe.take(self.loop.now() * 1000):
            with contextlib.suppress(OSError):
                self.back.sock.sendto(data, self.back.owner_at)
        self.timer.at(self.pipe.due())

    def reshape(self, shape: Shape) -> None:
        self.pipe.shape = shape
        self.pass_on()


class Side(Handler):
    """One end of a relayed connection. Its own bytes go through `pipe` to the other side."""

    def __init__(self, pair: Pair, forth: bool, random: Random) -> None:
        self.pair, self.forth, self.pipe = pair, forth, Bytes(random)
        self.timer = Due(pair.door.loop, self.pass_on)
        self.stream: Stream
        self.came = 0  # bytes

    @property
    def other(self) -> Side:
        return self.pair.far if self.forth else self.pair.near

    def on_data(self, view: memoryview) -> None:
        self.came += len(view)
        if self.pipe.idle and not self.other.stream.connecting:
            self.deliver(view)
            return
        if self.forth:
            self.pair.door.note("came", self.pair, self.came)
        self.pipe.put(self.pair.door.loop.now() * 1000, bytes(view))
        self.pass_on()
        if self.pipe.full:
            self.stream.pause_reading()

    def deliver(self, data: bytes | memoryview) -> None:
        self.other.stream.write(data)
        self.pair.passed(self.forth, len(data))
        if self.other.stream.backlog_bytes > self.other.stream.high_watermark:
            self.stream.pause_reading()

    def on_backlog_drained(self) -> None:
        if self.other.stream.open and not self.other.pipe.full:
            self.other.stream.resume_reading()

    def on_closed(self, reason: str) -> None:
        """Its end travels behind its last byte."""
        if self.pair.over:
            return
        if self.forth:
            self.pair.door.note("left", self.pair, self.came)
        self.pipe.put(self.pair.door.loop.now() * 1000, End(reason != "eof"))
        self.pass_on()

    def pass_on(self) -> None:
        if self.other.stream.connecting:
            return
        for piece in self.pipe.take(self.pair.door.loop.now() * 1000):
            if isinstance(piece, End):
                self.pair.end(self.other.stream, piece.reset)
                return
            self.deliver(piece)
        if self.stream.open and self.stream.reading_paused and not self.pipe.full:
            self.drained_here()
        self.timer.at(self.pipe.due())

    def drained_here(self) -> None:
        if self.other.stream.backlog_bytes <= self.other.stream.high_watermark:
            self.stream.resume_reading()

    def on_connected(self) -> None:
        """Of the far side: the target took the connection."""
        self.pair.up()


class Pair:
    """A relayed connection: `near` to who came, `far` to the target."""

    def __init__(self, door: Door, sock: socket.socket, target: Address) -> None:
        self.door, self.over = door, False
        draw = door.random.random
        self.near, self.far = Side(self, True, Random(draw())), Side(self, False, Random(draw()))
        self.near.stream = Stream(door.loop, sock, self.near)
        self.far.stream = Stream.connect(door.loop, target, self.far, CONNECT_S)
        self.port = 0  # of the far side, as the target sees it
        self.told = 0  # bytes that the near side was given
        self.reshape()

    def up(self) -> None:
        self.port = self.far.stream.sock.getsockname()[1]
        self.door.note("through", self, 0)
        if self.near.came:
            self.door.note("came", self, self.near.came)
        self.near.pass_on()

    def passed(self, forth: bool, count: int) -> None:
        if not forth:
            self.told += count
            if self.door.counts_told:
                self.door.note("told", self, self.told)

    def reshape(self) -> None:
        self.near.pipe.shape, self.far.pipe.shape = self.door.forth, self.door.back
        for side in (self.near, self.far):
            side.pass_on()

    def end(self, stream: Stream, reset: bool) -> None:
        """One side has heard of the other's end: nothing passes any more."""
        self.over = True
        if reset:
            stream.abort()
        else:
            stream.close()
        self.stop()

    def reset(self) -> None:
        self.over = True
        self.near.stream.abort()
        self.far.stream.abort()
        self.stop()

    def stop(self) -> None:
        for side in (self.near, self.far):
            side.timer.stop()
        self.door.pairs.discard(self)


def bound() -> socket.socket:
    """A socket that keeps its port also when it stops listening: so does only a port that was asked for by
    number (Linux), so another socket finds a free one first."""
    with socket.socket() as finder:
        finder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        finder.bind((HOST, 0))
        made = socket.socket()
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        made.bind(finder.getsockname())
    made.setblocking(False)
    return made


class Door:
    """In the place of `there`, for what comes from `who`. Without a target it refuses, as nobody is there.

    While the link is cut either way no connection comes up: the listener's queue is kept full, so that the
    kernel leaves a new one unanswered, as on a real network.
    """

    def __init__(
        self, loop: Loop, who: str, there: str, random: Random, tell: Callable[..., None], counts_told: bool
    ) -> None:
        self.loop, self.who, self.there, self.random = loop, who, there, random
        self.tell, self.counts_told = tell, counts_told
        self.sock = bound()
        self.at: Address = self.sock.getsockname()
        self.target: Address | None = None
        self.listening = False
        self.plugs: list[socket.socket] = []
        self.plug_ports: set[int] = set()
        self.pairs: set[Pair] = set()
        self.forth = self.back = Shape()

    def note(self, what: str, pair: Pair, count: int) -> None:
        if pair.port:  # else the target has not seen it yet
            self.tell(what, who=self.who, there=self.there, port=pair.port, bytes=count)

    def aim(self, target: Address | None) -> None:
        """Where it leads from now on; None: nobody is there."""
        self.target = target
        if target and not self.listening:
            self.sock.listen(BACKLOG)
            start_accepting(self.loop, self.sock, self.accept)
            self.listening = True
            self.plug()
        elif target is None and self.listening:
            self.loop.watch_socket(self.sock, 0, lambda _: None)
            self.sock.shutdown(socket.SHUT_RD)  # a listener that is shut keeps its port and refuses
            self.listening = False
            self.unplug()

    def reshape(self, forth: Shape, back: Shape) -> None:
        self.forth, self.back = forth, back
        self.plug()
        for pair in list(self.pairs):
            pair.reshape()

    def plug(self) -> None:
        cut = self.forth.cut or self.back.cut
        if cut and self.listening and not self.plugs:
            self.loop.watch_socket(self.sock, 0, lambda _: None)
            self.sock.listen(0)
            for _ in range(PLUGS):
                plug = socket.socket()
                plug.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    plug.connect(self.at)
                self.plugs.append(plug)
                self.plug_ports.add(plug.getsockname()[1])
        elif not cut and self.plugs:
            self.unplug()
            if self.listening:
                self.sock.listen(BACKLOG)
                start_accepting(self.loop, self.sock, self.accept)

    def unplug(self) -> None:
        for plug in self.plugs:
            plug.close()
        self.plugs.clear()

    def accept(self, sock: socket.socket, peer: Any) -> None:
        if peer[1] in self.plug_ports:
            self.plug_ports.discard(peer[1])
            sock.close()
        elif self.target is None:
            sock.close()
        else:
            self.pairs.add(Pair(self, sock, self.target))

    def reset(self) -> None:
        for pair in list(self.pairs):
            pair.reset()
