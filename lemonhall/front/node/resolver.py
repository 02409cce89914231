"""Asks the resolver over UDP, often enough that what counts as told was heard; one question at a time."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable
from random import Random

from lemonhall.loop import Loop, Timer
from lemonhall.loop.event_loop import READ
from lemonhall.node import bounds, records
from lemonhall.node.records import Listed, Spoilt

SERVICE = "_app._tcp.cluster.lan"


class Resolver:
    """`on_list(number, servers)` is told of each answer that is whole and no older than what is known."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        seq: int,
        random: Random,
        on_list: Callable[[int, tuple[Listed, ...]], None],
        counts: Counter[str],
        say: Callable[..., None],
    ) -> None:
        self.loop, self.address, self.seq, self.random = loop, address, seq, random
        self.on_list, self.counts, self.say = on_list, counts, say
        self.ident = -1  # of the question that is out
        self.timer: Timer | None = None
        self.pause_s = bounds.ASK_TIMEOUT_S
        self.last = b""  # the last good answer but for its id: the same again is not read again
        self.answered_at = loop.now()
        self.sock: socket.socket | None = None
        self.ask()

    def move(self, address: tuple[str, int]) -> None:
        """A new resolver is asked at once."""
        if address != self.address:
            self.address = address
            self.close()
            self.pause_s = bounds.ASK_TIMEOUT_S
            self.ask()

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()
        self.shut()

    def shut(self) -> None:
        if self.sock:
            self.loop.watch_socket(self.sock, 0, self.ready)
            self.sock.close()
            self.sock = None

    def ask(self) -> None:
        """A new socket for a question that was lost: another port, and nothing late can come to it."""
        try:
            if self.sock is None:
                self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                self.sock.setblocking(False)
                self.sock.connect(self.address)  # from the asked address only
                self.loop.watch_socket(self.sock, READ, self.ready)
            self.ident = self.random.randrange(1 << 16)
            self.counts["asked_resolver"] += 1
            self.sock.send(records.question(self.ident, SERVICE))
        except OSError:
            self.counts["resolver_unreachable"] += 1
            self.shut()
        self.timer = self.loop.call_later(self.pause_s, self.unanswered)

    def unanswered(self) -> None:
        self.counts["resolver_silent"] += 1
        self.ident = -1
        self.shut()
        self.pause_s = min(bounds.ASK_AGAIN_MOST_S, self.pause_s * 1.5)
        self.ask()

    def ready(self, _: int) -> None:
        for _turn in range(8):
            if self.sock is None:
                return
            try:
                data = self.sock.recv(65536)
            except BlockingIOError:
                return
            except OSError:  # refused: the question's own timer asks again
                return
            self.hear(data)

    def hear(self, data: bytes) -> None:
        if self.ident < 0 or data[:2] != self.ident.to_bytes(2, "big"):
            self.counts["resolver_late"] += 1
            return
        if data[2:] != self.last:
            try:
                seq, servers = records.read(data, self.ident, SERVICE)
            except Spoilt as spoilt:
                # Passed over; the question stands until its time is up, a good answer may still come.
                self.counts["resolver_spoilt"] += 1
                self.say("spoilt answer of the resolver", why=str(spoilt))
                return
            if seq < self.seq:
                self.counts["resolver_older"] += 1
                return
            if not servers:
                # No server at all is what a resolver says that lost its own source. Servers that are
                # dead refuse by themselves; believed, it would end every session that plays.
                self.counts["resolver_empty"] += 1
                return
            self.seq, self.last = seq, data[2:]
            self.on_list(seq, servers)
        self.ident = -1
        self.answered_at = self.loop.now()
        self.pause_s = bounds.ASK_TIMEOUT_S
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(bounds.ASK_EVERY_S, self.ask)
