"""The event loop. It can be read in a sitting: one selector, one heap of timers, one queue of what is ready.

Times are seconds of the clock that is passed in (monotonic by default). A callback runs to its end; nothing
here is safe to call from another thread.
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
LONGEST_WAIT_S = 3600.0


class Timer:
    """A call that is due at a time; `cancel` may be called at any time, also twice or after it ran."""

    __slots__ = ("args", "call", "when")

    def __init__(self, when: float, call: Callback | None, args: tuple[Any, ...]) -> None:
        self.when, self.call, self.args = when, call, args

    def cancel(self) -> None:
        self.call = None
        self.args = ()

    @property
    def alive(self) -> bool:
        return self.call is not None


class Loop:
    """Runs callbacks when sockets are ready, times are due or signals arrive.

    `on_error(exception)` is told of what a callback raises; without one the exception ends `run`.
    `after_pass` runs at the end of each pass, and again while it makes more ready: the place for work that is
    done once for all that one instant brought.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.selector = selectors.DefaultSelector()
        self.watched: dict[int, tuple[int, Callback]] = {}  # by descriptor: what the selector knows
        self.timers: list[tuple[float, int, Timer]] = []
        self.order = itertools.count()
        self.ready: deque[tuple[Callback, tuple[Any, ...]]] = deque()
        self.running = False
        self.on_error: Callable[[Exception], object] | None = None
        self.after_pass: list[Callable[[], object]] = []
        self.passes = 0
        self.longest_pass_s = 0.0  # the longest stall that anything on this loop has caused
        self.buffer = bytearray(1 << 18)  # every stream reads into it; what is kept is copied out
        self._signals: dict[int, tuple[Callback, Any]] = {}
        self._wake: tuple[socket.socket, socket.socket] | None = None

    def now(self) -> float:
        return self.clock()

    def call_soon(self, call: Callback, *args: Any) -> None:
        """Runs the call in this pass if one is under way, else in the next."""
        self.ready.append((call, args))

    def call_at(self, when: float, call: Callback, *args: Any) -> Timer:
        timer = Timer(when, call, args)
        heapq.heappush(self.timers, (when, next(self.order), timer))
        return timer

    def call_later(self, after_s: float, call: Callback, *args: Any) -> Timer:
        return self.call_at(self.clock() + max(0.0, after_s), call, *args)

    def watch(self, sock: Any, events: int, call: Callback) -> None:
        """Calls `call(mask)` while `sock` is ready for `events` (READ, WRITE or both); 0 stops the watch."""
        fd = sock if isinstance(sock, int) else sock.fileno()
        known = self.watched.get(fd)
        if not events:
            if known:
                del self.watched[fd]
                self.selector.unregister(fd)
        elif known is None:
            self.watched[fd] = (events, call)
            self.selector.register(fd, events, call)
        elif known != (events, call):
            self.watched[fd] = (events, call)
            self.selector.modify(fd, events, call)

    def watch_alone(self, sock: Any, call: Callback) -> None:
        """As `watch` for READ, for a socket at which several processes wait: what comes wakes one, not
        all (epoll_ctl(2), EPOLLEXCLUSIVE). Without epoll it is a plain watch."""
        fd = sock.fileno()
        self.watch(sock, READ, call)
        if isinstance(self.selector, selectors.EpollSelector):
            same = select.epoll.fromfd(os.dup(self.selector.fileno()))
            same.unregister(fd)
            same.register(fd, select.EPOLLIN | select.EPOLLEXCLUSIVE)
            same.close()

    def on_signal(self, number: int, call: Callback) -> None:
        """Calls `call()` on the loop after the signal; only from the main thread (`ValueError` elsewhere)."""
        if self._wake is None:
            self._wake = socket.socketpair()
            for end in self._wake:
                end.setblocking(False)
            signal.set_wakeup_fd(self._wake[1].fileno(), warn_on_full_buffer=False)
            self.watch(self._wake[0], READ, self._on_wake)
        old = signal.signal(number, lambda *_: None)
        self._signals[number] = (call, self._signals.get(number, (call, old))[1])

    def _on_wake(self, _: int) -> None:
        assert self._wake is not None
        try:
            numbers = self._wake[0].recv(256)
        except BlockingIOError:
            return
        for number in numbers:
            if number in self._signals:
                self.ready.append((self._signals[number][0], ()))

    def on_child(self, pid: int, call: Callback) -> None:
        """Calls `call(status)` once the child ends; the child is reaped by its own id, never by any other."""
        fd = os.pidfd_open(pid)

        def ended(_: int) -> None:
            self.watch(fd, 0, ended)
            os.close(fd)
            try:
                status = os.waitstatus_to_exitcode(os.waitpid(pid, 0)[1])
            except ChildProcessError:  # somebody else has reaped it
                status = 0
            call(status)

        self.watch(fd, READ, ended)

    def run(self, until: Callable[[], bool] | None = None) -> None:
        """Runs until `stop` is called or `until()` is true after a pass."""
        self.running = True
        while self.running and not (until and until()):
            self.run_once()
        self.running = False

    def stop(self) -> None:
        self.running = False

    def run_once(self, wait_s: float = LONGEST_WAIT_S) -> None:
        while self.timers and not self.timers[0][2].alive:
            heapq.heappop(self.timers)
        if self.ready:
            wait_s = 0.0
        elif self.timers:
            wait_s = max(0.0, min(wait_s, self.timers[0][0] - self.clock()))
        happened = self.selector.select(wait_s)
        began = self.clock()
        for key, mask in happened:
            known = self.watched.get(key.fd)
            if known and known[1] == key.data:  # not closed, or given away, by a call before it in this pass
                self._call(key.data, (mask,))
        while self.timers and self.timers[0][0] <= began:
            timer = heapq.heappop(self.timers)[2]
            if timer.call is not None:
                call, args = timer.call, timer.args
                timer.cancel()
                self._call(call, args)
        while True:
            for _ in range(len(self.ready)):
                self._call(*self.ready.popleft())
            for after in self.after_pass:
                self._call(after, ())
            if not self.ready:
                break
        self.passes += 1
        self.longest_pass_s = max(self.longest_pass_s, self.clock() - began)

    def _call(self, call: Callback, args: tuple[Any, ...]) -> None:
        try:
            call(*args)
        except Exception as error:
            if self.on_error is None:
                raise
            self.on_error(error)

    def close(self) -> None:
        """Gives back the selector and the signal handlers; sockets are their owners' to close."""
        for number, (_, old) in self._signals.items():
            signal.signal(number, old)
        if self._wake:
            signal.set_wakeup_fd(-1)
            for end in self._wake:
                end.close()
        self._signals, self._wake = {}, None
        self.selector.close()
