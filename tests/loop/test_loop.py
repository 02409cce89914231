"""The loop and its streams on real sockets, against peers that refuse, stop reading and reset."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable, Iterator

import pytest

from lemonhall.loop import Handler, Loop, Stream, listen
from lemonhall.loop.event_loop import READ


@pytest.fixture
def loop() -> Iterator[Loop]:
    made = Loop()
    yield made
    made.close()


def until(loop: Loop, condition: Callable[[], object], within_s: float = 5.0) -> None:
    over: list[bool] = []
    loop.call_later(within_s, over.append, True)
    loop.run(until=lambda: bool(over) or bool(condition()))
    assert condition()


class Peer(Handler):
    def __init__(self) -> None:
        self.got, self.reasons, self.marks = bytearray(), list[str](), list[str]()
        self.stream: Stream | None = None

    def on_connected(self) -> None:
        self.marks.append("connected")

    def on_data(self, view: memoryview) -> None:
        self.got += view

    def on_closed(self, reason: str) -> None:
        self.reasons.append(reason)

    def on_backlog_full(self) -> None:
        self.marks.append("full")

    def on_backlog_drained(self) -> None:
        self.marks.append("drained")


def pair(loop: Loop, high: int = 1 << 16) -> tuple[Peer, Peer]:
    made = []
    for sock in socket.socketpair():
        peer = Peer()
        peer.stream = Stream(loop, sock, peer, high)
        made.append(peer)
    return made[0], made[1]


def test_timers_run_in_order_and_cancelled_ones_do_not(loop: Loop) -> None:
    ran: list[int] = []
    loop.call_later(0.02, ran.append, 2)
    loop.call_later(0.01, ran.append, 1)
    gone = loop.call_later(0.005, ran.append, 0)
    gone.cancel()
    gone.cancel()
    until(loop, lambda: len(ran) == 2)
    assert ran == [1, 2]


def test_time_is_the_clock_that_is_passed_in() -> None:
    at = [100.0]
    loop = Loop(clock=lambda: at[0])
    ran: list[float] = []
    loop.call_at(103.0, lambda: ran.append(loop.now()))
    loop.run_once(0.0)
    assert ran == []
    at[0] = 103.5
    loop.run_once(0.0)
    assert ran == [103.5]
    loop.close()


def test_work_made_by_work_runs_in_the_same_pass_and_after_pass_sees_all(loop: Loop) -> None:
    seen: list[str] = []
    loop.call_soon(lambda: loop.call_soon(seen.append, "inner"))
    loop.end_of_pass_callbacks.append(lambda: seen.append("after"))
    loop.run_once(0.0)
    assert "inner" in seen and seen[-1] == "after"


def test_a_fault_in_one_callback_is_told_and_others_run(loop: Loop) -> None:
    errors: list[Exception] = []
    ran: list[int] = []
    loop.on_error = errors.append
    loop.call_soon(lambda: 1 // 0)
    loop.call_soon(ran.append, 1)
    loop.run_once(0.0)
    assert isinstance(errors[0], ZeroDivisionError) and ran == [1]


def test_without_a_listener_for_faults_they_end_the_run(loop: Loop) -> None:
    loop.call_soon(lambda: 1 // 0)
    with pytest.raises(ZeroDivisionError):
        loop.run_once(0.0)


def test_bytes_arrive_whole_and_in_order_through_a_full_buffer(loop: Loop) -> None:
    a, b = pair(loop)
    assert a.stream and b.stream
    b.stream.pause_reading()
    sent = bytearray()
    for n in range(400):
        chunk = bytes([n % 251]) * 9973
        sent += chunk
        a.stream.write(memoryview(chunk))
    assert "full" in a.marks and a.stream.backlog_bytes > 0
    b.stream.resume_reading()
    until(loop, lambda: len(b.got) == len(sent))
    assert b.got == sent and a.marks == ["full", "drained"]
    assert a.stream.backlog_bytes == 0 and a.stream.stalled_since is None


def test_close_sends_what_waits_first(loop: Loop) -> None:
    a, b = pair(loop)
    assert a.stream and b.stream
    b.stream.pause_reading()
    a.stream.write(b"x" * 3_000_000)
    a.stream.close(within_s=5.0)
    a.stream.write(b"too late")
    b.stream.resume_reading()
    until(loop, lambda: b.reasons)
    assert len(b.got) == 3_000_000 and a.reasons == ["local"] and b.reasons == ["eof"]


def test_close_does_not_wait_for_ever(loop: Loop) -> None:
    a, b = pair(loop)
    assert a.stream and b.stream
    b.stream.pause_reading()
    a.stream.write(b"x" * 3_000_000)
    a.stream.close(within_s=0.05)
    until(loop, lambda: a.reasons)
    assert a.reasons == ["local"]


def test_connect_refused_proves_that_nothing_left(loop: Loop) -> None:
    held = socket.socket()
    held.bind(("127.0.0.1", 0))  # bound, not listening
    peer = Peer()
    stream = Stream.connect(loop, held.getsockname(), peer, 1.0)
    stream.write(b"queued")
    assert peer.reasons == []  # never before connect returns
    until(loop, lambda: peer.reasons)
    assert peer.reasons == ["refused"] and stream.bytes_written == 0
    held.close()


def test_connect_time_out(loop: Loop) -> None:
    deaf = socket.socket()
    deaf.bind(("127.0.0.1", 0))
    deaf.listen(0)
    fill = [socket.socket() for _ in range(8)]
    for sock in fill:  # its queue is full: the next SYN is dropped
        sock.setblocking(False)
        sock.connect_ex(deaf.getsockname())
    peer = Peer()
    Stream.connect(loop, deaf.getsockname(), peer, 0.1)
    until(loop, lambda: peer.reasons)
    assert peer.reasons == ["timeout"]
    for sock in (deaf, *fill):
        sock.close()


def test_a_reset_is_told_apart_from_an_end(loop: Loop) -> None:
    taken: list[Peer] = []

    def accept(sock: socket.socket, _: object) -> None:
        peer = Peer()
        peer.stream = Stream(loop, sock, peer)
        taken.append(peer)

    server = listen(loop, ("127.0.0.1", 0), accept)
    clients = []
    for _ in range(2):
        client = Peer()
        client.stream = Stream.connect(loop, server.getsockname(), client, 1.0)
        clients.append(client)
    until(loop, lambda: len(taken) == 2)
    for peer, end in zip(taken, ("abort", "close"), strict=True):
        getattr(peer.stream, end)()
    until(loop, lambda: all(c.reasons for c in clients))
    assert sorted(c.reasons[0] for c in clients) == ["eof", "reset"]
    assert all(len(c.reasons) == 1 for c in clients)
    loop.watch_socket(server, 0, lambda _: None)
    server.close()


def test_a_busy_stream_leaves_its_neighbour_a_turn(loop: Loop) -> None:
    a, b = pair(loop)
    c, d = pair(loop)
    assert a.stream and c.stream
    a.stream.write(b"x" * 8_000_000)
    c.stream.write(b"hello")
    until(loop, lambda: d.got)
    assert len(b.got) < 8_000_000


def test_signals_and_children_are_heard_on_the_loop(loop: Loop) -> None:
    heard: list[str] = []
    loop.add_signal_handler(signal.SIGUSR1, lambda: heard.append("signal"))
    child = subprocess.Popen([sys.executable, "-c", "import sys; sys.exit(7)"])
    loop.add_child_handler(child.pid, lambda status: heard.append(f"child {status}"))
    os.kill(os.getpid(), signal.SIGUSR1)
    until(loop, lambda: len(heard) == 2)
    assert sorted(heard) == ["child 7", "signal"]
    child.returncode = 7


def test_a_socket_closed_by_a_call_before_it_in_the_same_pass_is_not_called(loop: Loop) -> None:
    pairs = [socket.socketpair() for _ in range(2)]
    called: list[int] = []

    def close_the_other(n: int) -> None:
        called.append(n)
        other = pairs[1 - n][0]
        loop.watch_socket(other, 0, lambda _: None)
        other.close()

    for n, (ours, theirs) in enumerate(pairs):
        loop.watch_socket(ours, READ, lambda _, n=n: close_the_other(n))
        theirs.send(b"x")
    loop.run_once(1.0)
    assert len(called) == 1
    for pair in pairs:
        for end in pair:
            if end.fileno() >= 0:
                loop.watch_socket(end, 0, lambda _: None)
                end.close()
