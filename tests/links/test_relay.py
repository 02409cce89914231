"""Relays on real sockets: as if they were not there, then cut, silent, reset, healed."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Callable, Iterator
from random import Random
from typing import Any

import pytest

from lemonhall.config.day import Shape
from lemonhall.links.pipe import CLEAN
from lemonhall.links.relay import PLUGS, Door, Wire
from lemonhall.loop import Loop, listen

CUT = Shape(cut=True)


class Site:
    """A server and a door to it, on one loop."""

    def __init__(self) -> None:
        self.loop = Loop()
        self.taken: list[socket.socket] = []
        self.noted: list[tuple[str, dict[str, Any]]] = []
        self.server = listen(self.loop, ("127.0.0.1", 0), lambda sock, _: self.taken.append(sock))
        self.door = Door(self.loop, "who", "there", Random(1), self.note, True)
        self.door.aim(self.server.getsockname())
        self.opened: list[socket.socket] = []

    def note(self, what: str, **fields: Any) -> None:
        self.noted.append((what, fields))

    def until(self, true: Callable[[], object], within_s: float = 10.0) -> None:
        limit = time.monotonic() + within_s
        found: list[object] = []

        def done() -> bool:
            found[:] = [true()]
            self.loop.call_later(0.002, lambda: None)  # a look each 2 ms, whatever comes
            return bool(found[0]) or time.monotonic() > limit

        self.loop.run(until=done)
        assert found[0]

    def client(self) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(self.door.at)
        self.opened.append(sock)
        return sock

    def pair(self) -> tuple[socket.socket, socket.socket]:
        count = len(self.taken)
        near = self.client()
        self.until(lambda: len(self.taken) > count)
        self.taken[-1].setblocking(False)
        return near, self.taken[-1]

    def close(self) -> None:
        self.door.reset()
        self.door.aim(None)
        self.door.sock.close()
        for sock in [*self.opened, *self.taken, self.server]:
            sock.close()
        self.loop.close()


def got(sock: socket.socket, into: bytearray) -> bytes | None:
    """All that has come; None at the end, or after a reset."""
    try:
        data = sock.recv(1 << 16)
    except BlockingIOError:
        return bytes(into)
    except ConnectionResetError:
        return None
    into += data
    return bytes(into) if data else None


def up(sock: socket.socket) -> bool:
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


@pytest.fixture
def site() -> Iterator[Site]:
    made = Site()
    yield made
    made.close()


def test_a_clean_link_is_as_if_it_were_not_there(site: Site) -> None:
    near, far = site.pair()
    here, there = bytearray(), bytearray()
    near.send(b"asked")
    site.until(lambda: got(far, there) == b"asked")
    far.send(b"answered")
    site.until(lambda: got(near, here) == b"answered")
    near.close()
    site.until(lambda: got(far, there) is None)


def test_a_cut_holds_what_was_sent_and_takes_no_connection_until_it_heals(site: Site) -> None:
    near, far = site.pair()
    there = bytearray()
    site.door.reshape(CUT, CLEAN)
    near.send(b"late")
    near.close()
    late = site.client()
    with pytest.raises(AssertionError):
        site.until(lambda: up(late) or got(far, there), 0.3)
    site.door.reshape(CLEAN, CLEAN)
    site.until(lambda: got(far, there) == b"late" or there)
    site.until(lambda: up(late))  # the kernel asks again after a second
    site.until(lambda: len(site.taken) == 2)
    assert len(site.taken) == 2 and not site.door.plugs  # none of the plugs was passed on
    assert len(site.door.plug_ports) < PLUGS


def test_without_its_plugs_a_listener_would_take_connections_during_a_cut(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Door, "plug", lambda door: None)
    site.door.reshape(CUT, CUT)
    late = site.client()
    site.until(lambda: up(late))


def test_a_silent_link_takes_connections_and_passes_nothing(site: Site) -> None:
    site.door.reshape(Shape(silent=True), Shape(silent=True))
    near = site.client()
    site.until(lambda: up(near) and site.taken)
    near.send(b"held")
    there = bytearray()
    site.taken[0].setblocking(False)
    with pytest.raises(AssertionError):
        site.until(lambda: got(site.taken[0], there), 0.2)
    site.door.reshape(CLEAN, CLEAN)
    site.until(lambda: got(site.taken[0], there) == b"held")


def test_a_reset_ends_both_sides(site: Site) -> None:
    near, far = site.pair()
    site.door.reset()
    site.until(lambda: got(near, bytearray()) is None)
    site.until(lambda: got(far, bytearray()) is None)
    assert not site.door.pairs


def test_nobody_there_is_a_refusal_and_a_successor_is_found_at_the_same_address(site: Site) -> None:
    at = site.server.getsockname()
    site.door.aim(None)
    sock = socket.socket()
    site.opened.append(sock)
    assert sock.connect_ex(site.door.at) != 0
    site.door.aim(at)
    site.pair()


def test_a_slow_reader_holds_its_source_back(site: Site) -> None:
    near, far = site.pair()
    sent = 0
    site.door.reshape(Shape(silent=True), CLEAN)

    def push() -> bool:
        nonlocal sent
        with contextlib.suppress(BlockingIOError):
            sent += near.send(b"x" * 65536)
        return next(iter(site.door.pairs)).near.stream.reading_paused

    site.until(push)
    assert next(iter(site.door.pairs)).near.pipe.held < 1 << 20
    site.door.reshape(CLEAN, CLEAN)
    there = bytearray()
    site.until(lambda: got(far, there) and len(there) == sent)


def test_what_was_passed_on_is_noted_by_the_port_that_the_target_sees(site: Site) -> None:
    near, far = site.pair()
    port = far.getpeername()[1]
    far.send(b"12345678")
    here = bytearray()
    site.until(lambda: got(near, here) == b"12345678")
    site.door.reshape(Shape(delay_ms=30), CLEAN)
    near.send(b"abc")
    site.until(lambda: got(far, bytearray()))
    near.close()
    site.until(lambda: any(what == "left" for what, _ in site.noted))
    told = {what: fields["bytes"] for what, fields in site.noted if fields["port"] == port}
    assert told == {"through": 0, "told": 8, "came": 3, "left": 3}


def test_datagrams_reach_a_front_from_where_it_sends_to() -> None:
    loop = Loop()
    ends = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
    for end in ends:
        end.bind(("127.0.0.1", 0))
        end.setblocking(False)
    one, other, strange = ends
    wires = [
        Wire(loop, "0", "1", one.getsockname(), Random(1)),
        Wire(loop, "1", "0", other.getsockname(), Random(2)),
    ]
    wires[0].back, wires[1].back = wires[1], wires[0]
    strange.sendto(b"nobody", wires[0].at)
    one.sendto(b"hello", wires[0].at)
    limit = time.monotonic() + 5
    found: list[Any] = []

    def came() -> bool:
        try:
            found.append(other.recvfrom(99))
        except BlockingIOError:
            return time.monotonic() > limit
        return True

    loop.call_later(5, loop.stop)
    loop.run(until=came)
    assert found == [(b"hello", wires[1].at)]
    wires[0].reshape(CUT)
    one.sendto(b"lost", wires[0].at)
    loop.run(until=lambda: wires[0].pipe.lost == 1)
    for sock in (*ends, *(w.sock for w in wires)):
        sock.close()
    loop.close()
