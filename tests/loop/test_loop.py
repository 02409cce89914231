"""The loop and its streams on real sockets, with peers that refuse, stop reading and reset."""

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
    loop = Loop()
    yield loop
    loop.close()


def run_until(loop: Loop, condition: Callable[[], object], within_s: float = 5.0) -> None:
    timed_out: list[bool] = []
    loop.call_later(within_s, timed_out.append, True)
    loop.run(until=lambda: bool(timed_out) or bool(condition()))
    assert condition()


class RecordingHandler(Handler):
    def __init__(self) -> None:
        self.received, self.close_reasons, self.callbacks = bytearray(), list[str](), list[str]()
        self.stream: Stream | None = None

    def on_connected(self) -> None:
        self.callbacks.append("connected")

    def on_data(self, view: memoryview) -> None:
        self.received += view

    def on_closed(self, reason: str) -> None:
        self.close_reasons.append(reason)

    def on_backlog_full(self) -> None:
        self.callbacks.append("full")

    def on_backlog_drained(self) -> None:
        self.callbacks.append("drained")


def connected_pair(loop: Loop, high_watermark: int = 1 << 16) -> tuple[RecordingHandler, RecordingHandler]:
    handlers = []
    for sock in socket.socketpair():
        handler = RecordingHandler()
        handler.stream = Stream(loop, sock, handler, high_watermark)
        handlers.append(handler)
    return handlers[0], handlers[1]


def test_timers_run_in_order_and_cancelled_ones_do_not(loop: Loop) -> None:
    ran: list[int] = []
    loop.call_later(0.02, ran.append, 2)
    loop.call_later(0.01, ran.append, 1)
    cancelled = loop.call_later(0.005, ran.append, 0)
    cancelled.cancel()
    cancelled.cancel()
    run_until(loop, lambda: len(ran) == 2)
    assert ran == [1, 2]


def test_the_loop_uses_the_clock_that_is_passed_in() -> None:
    now = [100.0]
    loop = Loop(clock=lambda: now[0])
    ran: list[float] = []
    loop.call_at(103.0, lambda: ran.append(loop.now()))
    loop.run_once(0.0)
    assert ran == []
    now[0] = 103.5
    loop.run_once(0.0)
    assert ran == [103.5]
    loop.close()


def test_nested_callbacks_run_in_the_same_pass_before_end_of_pass_callbacks(loop: Loop) -> None:
    ran: list[str] = []
    loop.call_soon(lambda: loop.call_soon(ran.append, "inner"))
    loop.end_of_pass_callbacks.append(lambda: ran.append("after"))
    loop.run_once(0.0)
    assert "inner" in ran and ran[-1] == "after"


def test_an_exception_in_a_callback_is_reported_and_others_run(loop: Loop) -> None:
    errors: list[Exception] = []
    ran: list[int] = []
    loop.on_error = errors.append
    loop.call_soon(lambda: 1 // 0)
    loop.call_soon(ran.append, 1)
    loop.run_once(0.0)
    assert isinstance(errors[0], ZeroDivisionError) and ran == [1]


def test_without_on_error_an_exception_ends_the_run(loop: Loop) -> None:
    loop.call_soon(lambda: 1 // 0)
    with pytest.raises(ZeroDivisionError):
        loop.run_once(0.0)


def test_bytes_arrive_complete_and_in_order_through_a_full_backlog(loop: Loop) -> None:
    sender, receiver = connected_pair(loop)
    assert sender.stream and receiver.stream
    receiver.stream.pause_reading()
    sent = bytearray()
    for n in range(400):
        chunk = bytes([n % 251]) * 9973
        sent += chunk
        sender.stream.write(memoryview(chunk))
    assert "full" in sender.callbacks and sender.stream.backlog_bytes > 0
    receiver.stream.resume_reading()
    run_until(loop, lambda: len(receiver.received) == len(sent))
    assert receiver.received == sent and sender.callbacks == ["full", "drained"]
    assert sender.stream.backlog_bytes == 0 and sender.stream.stalled_since is None


def test_close_sends_the_backlog_first(loop: Loop) -> None:
    sender, receiver = connected_pair(loop)
    assert sender.stream and receiver.stream
    receiver.stream.pause_reading()
    sender.stream.write(b"x" * 3_000_000)
    sender.stream.close(within_s=5.0)
    sender.stream.write(b"too late")
    receiver.stream.resume_reading()
    run_until(loop, lambda: receiver.close_reasons)
    assert (
        len(receiver.received) == 3_000_000
        and sender.close_reasons == ["local"]
        and receiver.close_reasons == ["eof"]
    )


def test_close_is_limited_in_time(loop: Loop) -> None:
    sender, receiver = connected_pair(loop)
    assert sender.stream and receiver.stream
    receiver.stream.pause_reading()
    sender.stream.write(b"x" * 3_000_000)
    sender.stream.close(within_s=0.05)
    run_until(loop, lambda: sender.close_reasons)
    assert sender.close_reasons == ["local"]


def test_a_refused_connection_proves_that_nothing_was_sent(loop: Loop) -> None:
    bound = socket.socket()
    bound.bind(("127.0.0.1", 0))  # not listening
    peer = RecordingHandler()
    stream = Stream.connect(loop, bound.getsockname(), peer, 1.0)
    stream.write(b"queued")
    assert peer.close_reasons == []  # never before `connect` returns
    run_until(loop, lambda: peer.close_reasons)
    assert peer.close_reasons == ["refused"] and stream.bytes_written == 0
    bound.close()


def test_a_connection_times_out(loop: Loop) -> None:
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    clients = [socket.socket() for _ in range(8)]
    for sock in clients:  # they fill the queue of the listener, which then drops SYN segments
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
    peer = RecordingHandler()
    Stream.connect(loop, listener.getsockname(), peer, 0.1)
    run_until(loop, lambda: peer.close_reasons)
    assert peer.close_reasons == ["timeout"]
    for sock in (listener, *clients):
        sock.close()


def test_a_reset_is_distinguished_from_a_close(loop: Loop) -> None:
    accepted: list[RecordingHandler] = []

    def accept(sock: socket.socket, _: object) -> None:
        peer = RecordingHandler()
        peer.stream = Stream(loop, sock, peer)
        accepted.append(peer)

    server = listen(loop, ("127.0.0.1", 0), accept)
    clients = []
    for _ in range(2):
        client = RecordingHandler()
        client.stream = Stream.connect(loop, server.getsockname(), client, 1.0)
        clients.append(client)
    run_until(loop, lambda: len(accepted) == 2)
    for peer, method in zip(accepted, ("abort", "close"), strict=True):
        getattr(peer.stream, method)()
    run_until(loop, lambda: all(client.close_reasons for client in clients))
    assert sorted(client.close_reasons[0] for client in clients) == ["eof", "reset"]
    assert all(len(client.close_reasons) == 1 for client in clients)
    loop.watch_socket(server, 0, lambda _: None)
    server.close()


def test_a_busy_stream_does_not_starve_another(loop: Loop) -> None:
    sender, receiver = connected_pair(loop)
    other_sender, other_receiver = connected_pair(loop)
    assert sender.stream and other_sender.stream
    sender.stream.write(b"x" * 8_000_000)
    other_sender.stream.write(b"hello")
    run_until(loop, lambda: other_receiver.received)
    assert len(receiver.received) < 8_000_000


def test_signals_and_exits_of_children_are_handled_on_the_loop(loop: Loop) -> None:
    events: list[str] = []
    loop.add_signal_handler(signal.SIGUSR1, lambda: events.append("signal"))
    child = subprocess.Popen([sys.executable, "-c", "import sys; sys.exit(7)"])
    loop.add_child_handler(child.pid, lambda status: events.append(f"child {status}"))
    os.kill(os.getpid(), signal.SIGUSR1)
    run_until(loop, lambda: len(events) == 2)
    assert sorted(events) == ["child 7", "signal"]
    child.returncode = 7


def test_a_socket_closed_by_an_earlier_callback_of_the_pass_is_not_called(loop: Loop) -> None:
    pairs = [socket.socketpair() for _ in range(2)]
    called: list[int] = []

    def close_other(index: int) -> None:
        called.append(index)
        other = pairs[1 - index][0]
        loop.watch_socket(other, 0, lambda _: None)
        other.close()

    for index, (ours, theirs) in enumerate(pairs):
        loop.watch_socket(ours, READ, lambda _, index=index: close_other(index))
        theirs.send(b"x")
    loop.run_once(1.0)
    assert len(called) == 1
    for pair in pairs:
        for end in pair:
            if end.fileno() >= 0:
                loop.watch_socket(end, 0, lambda _: None)
                end.close()
