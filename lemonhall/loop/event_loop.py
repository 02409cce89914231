"""The event loop: one selector, one heap of timers, one queue of callbacks that are ready to run.

Times are seconds of the clock that is passed in (monotonic by default). A callback runs to its end; nothing
here may be called from another thread.
"""

from __future__ import annotations

import heapq
import itertools
import os
import select
import selectors
import signal
import socket
import time
from collections import deque
from collections.abc import Callable
from typing import Any

Callback = Callable[..., object]
READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
MAX_WAIT_S = 3600.0


class Timer:
    """A callback that is due at a time; `cancel` may be called at any time, also twice or after it ran."""

    __slots__ = ("args", "callback", "when")

    def __init__(self, when: float, callback: Callback | None, args: tuple[Any, ...]) -> None:
        self.when, self.callback, self.args = when, callback, args

    def cancel(self) -> None:
        self.callback = None
        self.args = ()

    @property
    def is_pending(self) -> bool:
        return self.callback is not None


class Loop:
    """Runs callbacks when sockets are ready, timers are due or signals arrive.

    `on_error(exception)` receives what a callback raises; without it the exception ends `run`.
    `end_of_pass_callbacks` run at the end of each pass, and again while they make more callbacks ready: the
    place for work that is done once for everything that one pass brought.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.selector = selectors.DefaultSelector()
        self.watches_by_fd: dict[int, tuple[int, Callback]] = {}  # what is registered with the selector
        self.timers: list[tuple[float, int, Timer]] = []
        self.timer_sequence = itertools.count()
        self.ready_calls: deque[tuple[Callback, tuple[Any, ...]]] = deque()
        self.next_pass_calls: deque[tuple[Callback, tuple[Any, ...]]] = deque()
        self.running = False
        self.on_error: Callable[[Exception], object] | None = None
        self.end_of_pass_callbacks: list[Callable[[], object]] = []
        self.pass_count = 0
        self.longest_pass_s = 0.0  # the longest stall that any callback of this loop has caused
        self.read_buffer = bytearray(1 << 18)  # shared by all streams; handlers copy what they keep
        self._signal_handlers: dict[int, tuple[Callback, Any]] = {}
        self._wakeup_sockets: tuple[socket.socket, socket.socket] | None = None

    def now(self) -> float:
        return self.clock()

    def call_soon(self, callback: Callback, *args: Any) -> None:
        """Runs the callback in the current pass if there is one, else in the next."""
        self.ready_calls.append((callback, args))

    def call_next_pass(self, callback: Callback, *args: Any) -> None:
        """Runs the callback in the next pass, after its ready sockets and due timers: for work put off."""
        self.next_pass_calls.append((callback, args))

    def call_at(self, when: float, callback: Callback, *args: Any) -> Timer:
        timer = Timer(when, callback, args)
        heapq.heappush(self.timers, (when, next(self.timer_sequence), timer))
        return timer

    def call_later(self, delay_s: float, callback: Callback, *args: Any) -> Timer:
        return self.call_at(self.clock() + max(0.0, delay_s), callback, *args)

    def watch_socket(self, sock: Any, events: int, callback: Callback) -> None:
        """Calls `callback(mask)` while the socket or descriptor is ready for `events` (READ, WRITE or both).

        0 as `events` ends the watch.
        """
        fd = sock if isinstance(sock, int) else sock.fileno()
        known = self.watches_by_fd.get(fd)
        if not events:
            if known:
                del self.watches_by_fd[fd]
                self.selector.unregister(fd)
        elif known is None:
            self.watches_by_fd[fd] = (events, callback)
            self.selector.register(fd, events, callback)
        elif known != (events, callback):
            self.watches_by_fd[fd] = (events, callback)
            self.selector.modify(fd, events, callback)

    def watch_socket_exclusively(self, sock: Any, callback: Callback) -> None:
        """As `watch_socket` for READ, for a socket on which several processes wait: an event wakes one of
        them, not all (epoll_ctl(2), EPOLLEXCLUSIVE). Without epoll this is an ordinary watch."""
        fd = sock.fileno()
        self.watch_socket(sock, READ, callback)
        if isinstance(self.selector, selectors.EpollSelector):
            epoll = select.epoll.fromfd(os.dup(self.selector.fileno()))
            epoll.unregister(fd)
            epoll.register(fd, select.EPOLLIN | select.EPOLLEXCLUSIVE)
            epoll.close()

    def add_signal_handler(self, signal_number: int, callback: Callback) -> None:
        """Calls `callback()` on the loop after the signal.

        Raises `ValueError` outside the main thread.
        """
        if self._wakeup_sockets is None:
            self._wakeup_sockets = socket.socketpair()
            for end in self._wakeup_sockets:
                end.setblocking(False)
            signal.set_wakeup_fd(self._wakeup_sockets[1].fileno(), warn_on_full_buffer=False)
            self.watch_socket(self._wakeup_sockets[0], READ, self._on_wakeup)
        previous = signal.signal(signal_number, lambda *_: None)
        self._signal_handlers[signal_number] = (
            callback,
            self._signal_handlers.get(signal_number, (callback, previous))[1],
        )

    def _on_wakeup(self, _: int) -> None:
        assert self._wakeup_sockets is not None
        try:
            signal_numbers = self._wakeup_sockets[0].recv(256)
        except BlockingIOError:
            return
        for signal_number in signal_numbers:
            if signal_number in self._signal_handlers:
                self.ready_calls.append((self._signal_handlers[signal_number][0], ()))

    def add_child_handler(self, pid: int, callback: Callback) -> None:
        """Calls `callback(exit_code)` once the child process ends, and reaps that process alone."""
        fd = os.pidfd_open(pid)

        def on_exit(_: int) -> None:
            self.watch_socket(fd, 0, on_exit)
            os.close(fd)
            try:
                exit_code = os.waitstatus_to_exitcode(os.waitpid(pid, 0)[1])
            except ChildProcessError:  # already reaped elsewhere
                exit_code = 0
            callback(exit_code)

        self.watch_socket(fd, READ, on_exit)

    def run(self, until: Callable[[], bool] | None = None) -> None:
        """Runs until `stop` is called or `until()` is true after a pass."""
        self.running = True
        while self.running and not (until and until()):
            self.run_once()
        self.running = False

    def stop(self) -> None:
        self.running = False

    def run_once(self, max_wait_s: float = MAX_WAIT_S) -> None:
        """Runs one pass: ready sockets, then due timers, then queued callbacks."""
        put_off, self.next_pass_calls = self.next_pass_calls, deque()
        while self.timers and not self.timers[0][2].is_pending:
            heapq.heappop(self.timers)
        if self.ready_calls or put_off:
            max_wait_s = 0.0
        elif self.timers:
            max_wait_s = max(0.0, min(max_wait_s, self.timers[0][0] - self.clock()))
        ready_sockets = self.selector.select(max_wait_s)
        started_at = self.clock()
        for key, mask in ready_sockets:
            known = self.watches_by_fd.get(key.fd)
            if known and known[1] == key.data:  # an earlier callback of this pass may have closed the socket
                self._run_callback(key.data, (mask,))
        while self.timers and self.timers[0][0] <= started_at:
            timer = heapq.heappop(self.timers)[2]
            if timer.callback is not None:
                callback, args = timer.callback, timer.args
                timer.cancel()
                self._run_callback(callback, args)
        self.ready_calls.extend(put_off)
        while True:
            for _ in range(len(self.ready_calls)):
                self._run_callback(*self.ready_calls.popleft())
            for end_of_pass_callback in self.end_of_pass_callbacks:
                self._run_callback(end_of_pass_callback, ())
            if not self.ready_calls:
                break
        self.pass_count += 1
        self.longest_pass_s = max(self.longest_pass_s, self.clock() - started_at)

    def _run_callback(self, callback: Callback, args: tuple[Any, ...]) -> None:
        try:
            callback(*args)
        except Exception as error:
            if self.on_error is None:
                raise
            self.on_error(error)

    def close(self) -> None:
        """Releases the selector and restores the signal handlers; sockets remain open, their owners close
        them."""
        for signal_number, (_, previous) in self._signal_handlers.items():
            signal.signal(signal_number, previous)
        if self._wakeup_sockets:
            signal.set_wakeup_fd(-1)
            for end in self._wakeup_sockets:
                end.close()
        self._signal_handlers, self._wakeup_sockets = {}, None
        self.selector.close()
