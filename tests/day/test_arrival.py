"""When what a stand-in reads came: never later than it did, and early by two looks at most while it runs."""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterator

import pytest

from lemonhall.loop import Handler, Loop, Stream
from lemonhall.standins.arrival import LOOK_S, Looks, data_ago_ms

RESET = struct.pack("ii", 1, 0)


class Clock:
    def __init__(self) -> None:
        self.at = 100.0

    def __call__(self) -> float:
        return self.at


class Told(Handler):
    """Reads to the end each time, as a box does."""

    def __init__(self, loop: Loop, sock: socket.socket, looks: Looks) -> None:
        self.loop, self.looks = loop, looks
        self.read: list[bytes] = []
        self.since: float | None = None
        self.stream = Stream(loop, sock, self)

    def on_data(self, view: memoryview) -> None:
        self.read.append(bytes(view))
        self.loop.call_soon(self.stream.read_pending)

    def on_closed(self, reason: str) -> None:
        self.since = self.looks.since_ms() / 1000


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def made(clock: Clock) -> Iterator[tuple[Loop, socket.socket, Told]]:
    loop = Loop(clock)
    door = socket.socket()
    door.bind(("127.0.0.1", 0))
    door.listen()
    far = socket.create_connection(door.getsockname())
    near, _ = door.accept()
    told = Told(loop, near, Looks(loop))
    yield loop, far, told
    far.close()
    told.stream.abort()
    door.close()
    loop.close()


def run(loop: Loop, clock: Clock, seconds: float) -> None:
    """A process that runs: it looks as often as its timers ask it to."""
    for _ in range(round(seconds / LOOK_S)):
        clock.at += LOOK_S
        loop.run_once(0.0)


def until_closed(loop: Loop, told: Told) -> None:
    while told.since is None:
        loop.run_once(0.001)


@pytest.mark.parametrize("said", [b"", b"word"])
def test_an_end_that_was_read_late_is_told_as_of_the_last_look(
    made: tuple[Loop, socket.socket, Told], clock: Clock, said: bytes
) -> None:
    loop, far, told = made
    run(loop, clock, 1.0)
    ended_at = clock.at
    far.sendall(said)
    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    far.close()
    clock.at += 1.5  # the machine runs others
    until_closed(loop, told)
    assert told.since is not None and ended_at - 2 * LOOK_S - 1e-6 <= told.since <= ended_at
    assert told.read == [said] * bool(said)


def test_a_process_that_runs_tells_an_end_early_by_two_looks_at_most(
    made: tuple[Loop, socket.socket, Told], clock: Clock
) -> None:
    loop, far, told = made
    run(loop, clock, 30.0)  # nothing came for long
    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    far.close()
    until_closed(loop, told)
    assert told.since is not None and clock.at - 2 * LOOK_S - 1e-6 <= told.since <= clock.at


@pytest.mark.skipif(not hasattr(socket, "TCP_INFO"), reason="the kernel keeps no such note")
def test_the_kernel_knows_when_data_came_that_was_not_read(made: tuple[Loop, socket.socket, Told]) -> None:
    _, far, told = made
    far.sendall(b"word")
    while data_ago_ms(told.stream.sock) < 20:  # it grows while nobody reads
        pass
    assert told.read == []
    far.sendall(b"word")
    while (ago := data_ago_ms(told.stream.sock)) >= 20:
        pass
    assert ago < 20
