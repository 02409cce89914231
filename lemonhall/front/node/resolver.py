"""Queries the resolver over UDP, often enough to learn of changes in time; one query at a time."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable
from random import Random

from lemonhall.loop import Loop, Timer
from lemonhall.loop.event_loop import READ
from lemonhall.node import bounds, dns
from lemonhall.node.dns import DnsError, ListedServer

SERVICE = "_app._tcp.cluster.lan"


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
        self.query_id = -1  # of the query in flight; -1: none
        self.timer: Timer | None = None
        self.timeout_s = bounds.DNS_QUERY_TIMEOUT_S
        self.last_response = b""  # without its id; an identical response is not parsed again
        self.sock: socket.socket | None = None
        self.answered_at = loop.now()  # the last valid answer; the list of the start counts as one
        self.reported_silent = False
        self.send_query()

    @property
    def list_age_s(self) -> float:
        """Seconds since the list was last confirmed or changed by an answer."""
        return self.loop.now() - self.answered_at

    def change_address(self, address: tuple[str, int]) -> None:
        """Queries a new resolver at once."""
        if address != self.address:
            self.address = address
            self.close()
            self.timeout_s = bounds.DNS_QUERY_TIMEOUT_S
            self.send_query()

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()
        self.close_socket()

    def close_socket(self) -> None:
        if self.sock:
            self.loop.watch_socket(self.sock, 0, self.on_readable)
            self.sock.close()
            self.sock = None

    def send_query(self) -> None:
        """After a lost query the socket is new: its port differs, so a late response cannot reach it."""
        try:
            if self.sock is None:
                self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                self.sock.setblocking(False)
                self.sock.connect(self.address)  # the kernel drops datagrams from other addresses
                self.loop.watch_socket(self.sock, READ, self.on_readable)
            self.query_id = self.random.randrange(1 << 16)
            self.counts["asked_resolver"] += 1
            self.sock.send(dns.encode_query(self.query_id, SERVICE))
        except OSError:
            self.counts["resolver_unreachable"] += 1
            self.close_socket()
        self.timer = self.loop.call_later(self.timeout_s, self.on_timeout)

    def on_timeout(self) -> None:
        self.counts["resolver_silent"] += 1
        self.query_id = -1
        if self.list_age_s > bounds.DISCOVERY_SILENCE_S and not self.reported_silent:
            self.reported_silent = True
            self.log_event(
                "discovery silent; keeping the list and asking on",
                list=self.list_number,
                list_age_s=round(self.list_age_s, 3),
            )
        self.close_socket()
        self.timeout_s = min(bounds.DNS_MAX_TIMEOUT_S, self.timeout_s * 1.5)
        self.send_query()

    def on_readable(self, _: int) -> None:
        for _attempt in range(8):
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
        if self.query_id < 0 or data[:2] != self.query_id.to_bytes(2, "big"):
            self.counts["resolver_late"] += 1
            return
        if data[2:] != self.last_response:
            try:
                list_number, servers = dns.parse_response(data, self.query_id, SERVICE)
            except DnsError as error:
                # The query stays in flight until its timeout: a valid response may still arrive.
                self.counts["resolver_spoilt"] += 1
                self.log_event("ignored an invalid response of the resolver", why=str(error))
                return
            if list_number < self.list_number:
                self.counts["resolver_older"] += 1
                return
            if not servers:
                # A resolver that lost its own source returns an empty list, and accepting it would end every
                # session. If the servers are really gone, connections to them fail anyway.
                self.counts["resolver_empty"] += 1
                return
            self.list_number, self.last_response = list_number, data[2:]
            self.on_list(list_number, servers)
        self.on_confirmed()
        self.query_id = -1
        self.timeout_s = bounds.DNS_QUERY_TIMEOUT_S
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(bounds.DNS_QUERY_INTERVAL_S, self.send_query)

    def on_confirmed(self) -> None:
        """A valid answer has confirmed or changed the list."""
        if self.reported_silent:
            self.reported_silent = False
            self.log_event(
                "discovery answers again", list=self.list_number, silent_s=round(self.list_age_s, 3)
            )
        self.answered_at = self.loop.now()
