"""Relays on real sockets: unimpaired links, cuts, silence, resets, and recovery from each."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Callable, Iterator
from random import Random
from typing import Any

import pytest

from lemonhall.config.day import Shape
from lemonhall.links.pipe import UNIMPAIRED
from lemonhall.links.relay import BACKLOG_FILLERS, DatagramRelay, StreamRelay
from lemonhall.loop import Loop, listen

CUT = Shape(cut=True)


class Site:
    """A server and a relay to it, on one event loop."""

    def __init__(self) -> None:
        self.loop = Loop()
        self.accepted: list[socket.socket] = []
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.server = listen(self.loop, ("127.0.0.1", 0), lambda sock, _: self.accepted.append(sock))
        self.relay = StreamRelay(self.loop, "client", "server", Random(1), self.record_event, True)
        self.relay.set_target(self.server.getsockname())
        self.client_sockets: list[socket.socket] = []

    def record_event(self, event: str, **fields: Any) -> None:
        self.events.append((event, fields))

    def run_until(self, condition: Callable[[], object], timeout_s: float = 10.0) -> None:
        deadline = time.monotonic() + timeout_s
        result: list[object] = []

        def is_done() -> bool:
            result[:] = [condition()]
            self.loop.call_later(0.002, lambda: None)  # checks the condition every 2 ms even without events
            return bool(result[0]) or time.monotonic() > deadline

        self.loop.run(until=is_done)
        assert result[0]

    def start_client(self) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(self.relay.address)
        self.client_sockets.append(sock)
        return sock

    def connect(self) -> tuple[socket.socket, socket.socket]:
        """Returns the client's socket and the one that the server accepted."""
        count = len(self.accepted)
        client = self.start_client()
        self.run_until(lambda: len(self.accepted) > count)
        self.accepted[-1].setblocking(False)
        return client, self.accepted[-1]

    def close(self) -> None:
        self.relay.reset()
        self.relay.set_target(None)
        self.relay.sock.close()
        for sock in [*self.client_sockets, *self.accepted, self.server]:
            sock.close()
        self.loop.close()


def receive_into(sock: socket.socket, received: bytearray) -> bytes | None:
    """Appends what has arrived and returns all of it; None after the end of the stream or a reset."""
    try:
        data = sock.recv(1 << 16)
    except BlockingIOError:
        return bytes(received)
    except ConnectionResetError:
        return None
    received += data
    return bytes(received) if data else None


def is_connected(sock: socket.socket) -> bool:
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


@pytest.fixture
def site() -> Iterator[Site]:
    created = Site()
    yield created
    created.close()


def test_an_unimpaired_link_passes_data_and_the_end_of_the_connection(site: Site) -> None:
    client, server = site.connect()
    at_client, at_server = bytearray(), bytearray()
    client.send(b"request")
    site.run_until(lambda: receive_into(server, at_server) == b"request")
    server.send(b"response")
    site.run_until(lambda: receive_into(client, at_client) == b"response")
    client.close()
    site.run_until(lambda: receive_into(server, at_server) is None)


def test_a_cut_holds_sent_data_and_accepts_no_connection_until_it_ends(site: Site) -> None:
    client, server = site.connect()
    at_server = bytearray()
    site.relay.set_shapes(CUT, UNIMPAIRED)
    client.send(b"late")
    client.close()
    late_client = site.start_client()
    with pytest.raises(AssertionError):
        site.run_until(lambda: is_connected(late_client) or receive_into(server, at_server), 0.3)
    site.relay.set_shapes(UNIMPAIRED, UNIMPAIRED)
    site.run_until(lambda: receive_into(server, at_server) == b"late" or at_server)
    site.run_until(lambda: is_connected(late_client))  # the kernel retransmits the SYN after a second
    site.run_until(lambda: len(site.accepted) == 2)
    # None of the connections that fill the listener's queue was relayed.
    assert len(site.accepted) == 2 and not site.relay.fillers
    assert len(site.relay.filler_ports) < BACKLOG_FILLERS


def test_without_fillers_the_kernel_would_accept_connections_during_a_cut(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(StreamRelay, "update_fillers", lambda relay: None)
    site.relay.set_shapes(CUT, CUT)
    late_client = site.start_client()
    site.run_until(lambda: is_connected(late_client))


def test_a_silent_link_accepts_connections_and_passes_nothing(site: Site) -> None:
    site.relay.set_shapes(Shape(silent=True), Shape(silent=True))
    client = site.start_client()
    site.run_until(lambda: is_connected(client) and site.accepted)
    client.send(b"held")
    at_server = bytearray()
    site.accepted[0].setblocking(False)
    with pytest.raises(AssertionError):
        site.run_until(lambda: receive_into(site.accepted[0], at_server), 0.2)
    site.relay.set_shapes(UNIMPAIRED, UNIMPAIRED)
    site.run_until(lambda: receive_into(site.accepted[0], at_server) == b"held")


def test_a_reset_ends_both_sides(site: Site) -> None:
    client, server = site.connect()
    site.relay.reset()
    site.run_until(lambda: receive_into(client, bytearray()) is None)
    site.run_until(lambda: receive_into(server, bytearray()) is None)
    assert not site.relay.connections


def test_a_relay_without_target_refuses_and_accepts_again_at_the_same_address(site: Site) -> None:
    address = site.server.getsockname()
    site.relay.set_target(None)
    sock = socket.socket()
    site.client_sockets.append(sock)
    assert sock.connect_ex(site.relay.address) != 0
    site.relay.set_target(address)
    site.connect()


def test_a_slow_reader_pauses_its_source(site: Site) -> None:
    client, server = site.connect()
    sent_bytes = 0
    site.relay.set_shapes(Shape(silent=True), UNIMPAIRED)

    def send_until_paused() -> bool:
        nonlocal sent_bytes
        with contextlib.suppress(BlockingIOError):
            sent_bytes += client.send(b"x" * 65536)
        return next(iter(site.relay.connections)).client_side.stream.reading_paused

    site.run_until(send_until_paused)
    assert next(iter(site.relay.connections)).client_side.pipe.queued_bytes < 1 << 20
    site.relay.set_shapes(UNIMPAIRED, UNIMPAIRED)
    at_server = bytearray()
    site.run_until(lambda: receive_into(server, at_server) and len(at_server) == sent_bytes)


def test_events_carry_the_port_that_the_target_sees_and_the_bytes_relayed(site: Site) -> None:
    client, server = site.connect()
    port = server.getpeername()[1]
    server.send(b"12345678")
    at_client = bytearray()
    site.run_until(lambda: receive_into(client, at_client) == b"12345678")
    site.relay.set_shapes(Shape(delay_ms=30), UNIMPAIRED)
    client.send(b"abc")
    site.run_until(lambda: receive_into(server, bytearray()))
    client.close()
    site.run_until(lambda: any(event == "left" for event, _ in site.events))
    byte_counts = {event: fields["bytes"] for event, fields in site.events if fields["port"] == port}
    assert byte_counts == {"through": 0, "told": 8, "came": 3, "left": 3}


def test_a_datagram_arrives_from_the_address_that_its_receiver_sends_to() -> None:
    loop = Loop()
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
    sender, receiver, stranger = sockets
    relays = [
        DatagramRelay(loop, "0", "1", sender.getsockname(), Random(1)),
        DatagramRelay(loop, "1", "0", receiver.getsockname(), Random(2)),
    ]
    relays[0].reverse, relays[1].reverse = relays[1], relays[0]
    stranger.sendto(b"from an unknown source", relays[0].address)
    sender.sendto(b"hello", relays[0].address)
    deadline = time.monotonic() + 5
    received: list[Any] = []

    def has_arrived() -> bool:
        try:
            received.append(receiver.recvfrom(99))
        except BlockingIOError:
            return time.monotonic() > deadline
        return True

    loop.call_later(5, loop.stop)
    loop.run(until=has_arrived)
    assert received == [(b"hello", relays[1].address)]
    relays[0].set_shape(CUT)
    sender.sendto(b"lost", relays[0].address)
    loop.run(until=lambda: relays[0].pipe.lost_count == 1)
    for sock in (*sockets, *(relay.sock for relay in relays)):
        sock.close()
    loop.close()
