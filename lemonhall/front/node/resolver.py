"""Queries discovery over UDP, often enough to learn of changes in time, and takes answers however late.

An answer is accepted from the queried address alone, under the id of a query without an answer, as a whole,
and not below the known list number; nothing else changes the list in force.
"""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable
from random import Random

from lemonhall.loop import Loop, Timer
from lemonhall.loop.event_loop import READ
from lemonhall.node import bounds, dns
from lemonhall.node.dns import DnsError, ListedServer
from lemonhall.node.query_schedule import QuerySchedule

SERVICE = "_app._tcp.cluster.lan"
READS_PER_EVENT = 8
ID_BYTES = 2


class Resolver:
    """Calls `on_list(number, servers)` for each valid response that is no older than the known list."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        list_number: int,
        random: Random,
        on_list: Callable[[int, tuple[ListedServer, ...]], None],
        counts: Counter[str],
        log_event: Callable[..., None],
    ) -> None:
        self.loop, self.address, self.list_number, self.random = loop, address, list_number, random
        self.on_list, self.counts, self.log_event = on_list, counts, log_event
        self.schedule = QuerySchedule(loop.now(), random)
        self.timer: Timer | None = None
        self.last_response = b""  # without its id; an identical response is not parsed again
        # One socket for an address, because late answers come to the port of their query.
        self.sock: socket.socket | None = None
        self.answered_at = loop.now()  # the last valid answer; the list of the start counts as one
        self.reported_silent = False
        self.send_query()

    @property
    def list_age_s(self) -> float:
        """Seconds since the list was last confirmed or changed by an answer."""
        return self.loop.now() - self.answered_at

    def change_address(self, address: tuple[str, int]) -> None:
        """Queries a new resolver at once; the old one is not listened to any more."""
        if address != self.address:
            self.address = address
            self.close_socket()
            self.schedule = QuerySchedule(self.loop.now(), self.random)
            self.send_query()

    def forget_last_response(self) -> None:
        """The next response is reported even if it is the same again."""
        self.last_response = b""

    def close(self) -> None:
        """Ends the queries."""
        if self.timer:
            self.timer.cancel()
        self.close_socket()

    def close_socket(self) -> None:
        if self.sock:
            self.loop.watch_socket(self.sock, 0, self.on_readable)
            self.sock.close()
            self.sock = None

    def open_socket(self) -> socket.socket:
        """Raises `OSError`."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.connect(self.address)  # the kernel drops datagrams from other addresses
        except OSError:
            sock.close()
            raise
        self.loop.watch_socket(sock, READ, self.on_readable)
        return sock

    def send_query(self) -> None:
        """Sends a query, also while earlier ones are unanswered."""
        query_id = self.random.randrange(1 << 16)
        while self.schedule.is_open(query_id):
            query_id = self.random.randrange(1 << 16)
        self.schedule.on_query(self.loop.now(), query_id)
        self.counts["asked_resolver"] += 1
        try:
            if self.sock is None:
                self.sock = self.open_socket()
            self.sock.send(dns.encode_query(query_id, SERVICE))
        except OSError:  # the next query tries again, on the same port: answers may be on their way to it
            self.counts["resolver_unreachable"] += 1
        self.set_timer()

    def set_timer(self) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_at(self.schedule.next_query_at, self.on_query_due)

    def on_query_due(self) -> None:
        if self.schedule.newest_id is not None:
            self.counts["resolver_silent"] += 1
        if self.list_age_s > bounds.DISCOVERY_SILENCE_S and not self.reported_silent:
            self.reported_silent = True
            self.log_event(
                "discovery silent; keeping the list and asking on",
                list=self.list_number,
                list_age_s=round(self.list_age_s, 3),
            )
        self.send_query()

    def on_readable(self, _: int) -> None:
        for _attempt in range(READS_PER_EVENT):
            if self.sock is None:
                return
            try:
                data = self.sock.recv(65536)
            except BlockingIOError:
                return
            except OSError:  # connection refused: the timer of the query retries
                return
            self.on_response(data)

    def on_response(self, data: bytes) -> None:
        """An invalid answer leaves its query open: a valid one may still come."""
        query_id = int.from_bytes(data[:ID_BYTES], "big")
        if len(data) < ID_BYTES or not self.schedule.is_open(query_id):
            self.counts["resolver_late"] += 1
            return
        if data[ID_BYTES:] != self.last_response and not self.take_list(data, query_id):
            return
        self.schedule.on_answer(self.loop.now(), query_id)
        self.on_confirmed()
        self.set_timer()

    def take_list(self, data: bytes, query_id: int) -> bool:
        """Puts the list of a response in force; False: the response is invalid or older than the list."""
        try:
            list_number, servers = dns.parse_response(data, query_id, SERVICE)
        except DnsError as error:
            self.counts["resolver_spoilt"] += 1
            self.log_event("ignored an invalid response of the resolver", why=str(error))
            return False
        if list_number < self.list_number:
            self.counts["resolver_older"] += 1
            return False
        if not servers:
            # A resolver that lost its own source returns an empty list, and accepting it would end every
            # session. If the servers are really gone, connections to them fail anyway.
            self.counts["resolver_empty"] += 1
            return False
        self.on_list(list_number, servers)
        self.list_number, self.last_response = list_number, data[ID_BYTES:]
        return True

    def on_confirmed(self) -> None:
        """A valid answer has confirmed or changed the list."""
        if self.reported_silent:
            self.reported_silent = False
            self.log_event(
                "discovery answers again", list=self.list_number, silent_s=round(self.list_age_s, 3)
            )
        self.answered_at = self.loop.now()
