"""Grouped commits beside the loop: one thread writes, in the order asked; who waits is called on the loop.

While one group is being synced the next one gathers, so the cost of a sync is shared by all that came
meanwhile, and nothing waits for a timer.
"""

from __future__ import annotations

import contextlib
import socket
import threading
from collections import deque
from collections.abc import Callable

from lemonhall.loop import Loop, Timer
from lemonhall.loop.event_loop import READ
from lemonhall.store.file import Change, Store

Then = Callable[[str], object]  # told "" once it is on disk, else why it is not
OTHERWISE = "something else has been written there meanwhile"
LATER_S = 0.05  # what nobody waits for waits so long for company
WAITING_MOST = 20_000  # changes; beyond, they are refused at once


class Writer:
    """`put` returns at once. Every `then` is called exactly once, on the loop, in order."""

    def __init__(self, loop: Loop, store: Store) -> None:
        self.loop, self.store = loop, store
        self.fresh: list[tuple[Change, Then | None]] = []  # of this turn of the loop
        self.called = False
        self.later: Timer | None = None
        self.queue: list[tuple[Change, Then | None]] = []  # shared with the thread, under `more`
        self.done: deque[list[tuple[Then, str]]] = deque()
        self.more = threading.Condition()
        self.ending = False
        self.groups = self.written = 0
        self.wake, self.woken = socket.socketpair()
        for end in (self.wake, self.woken):
            end.setblocking(False)
        loop.watch_socket(self.woken, READ, self.on_woken)
        self.thread = threading.Thread(target=self.run, name="store", daemon=True)
        self.thread.start()

    def put(self, change: Change, then: Then | None = None, soon: bool = True) -> None:
        """`soon` False: nobody waits for it; it goes with the next that somebody does, or after a while."""
        if not self.ending and len(self.fresh) + len(self.queue) < WAITING_MOST:
            self.fresh.append((change, then))
            if soon and not self.called:
                self.called = True
                self.loop.call_soon(self.pass_on)
            elif not soon and self.later is None:
                self.later = self.loop.call_later(LATER_S, self.pass_on)
        elif then:
            self.loop.call_soon(then, "too much waits to be written")

    def pass_on(self) -> None:
        """One word to the thread for all that came in one turn of the loop, or while nobody waited."""
        self.called = False
        if self.later:
            self.later.cancel()
            self.later = None
        if self.fresh:
            with self.more:
                self.queue += self.fresh
                self.more.notify()
            self.fresh = []

    def run(self) -> None:
        while True:
            with self.more:
                while not self.queue and not self.ending:
                    self.more.wait()
                group, self.queue = self.queue, []
                if not group:
                    return
            try:
                made = self.store.commit([change for change, _ in group])
                whys = ["" if fine else OTHERWISE for fine in made]
            except (OSError, ValueError) as error:
                whys = [str(error) or repr(error)] * len(group)
            self.groups += 1
            self.written += whys.count("")
            self.done.append([(then, why) for (_, then), why in zip(group, whys, strict=True) if then])
            try:
                self.wake.send(b"!")
            except (BlockingIOError, OSError):
                continue  # it is awake already, or gone

    def on_woken(self, _: int) -> None:
        with contextlib.suppress(BlockingIOError):
            self.woken.recv(4096)
        self.deliver()

    def deliver(self) -> None:
        while self.done:
            for then, why in self.done.popleft():
                self.loop.call_soon(then, why)

    def close(self) -> None:
        """Writes all that waits; the thread is over. Who still waits is called in the loop's next pass."""
        if self.woken.fileno() < 0:
            return
        self.pass_on()
        with self.more:
            self.ending = True
            self.more.notify()
        self.thread.join()
        self.loop.watch_socket(self.woken, 0, self.on_woken)
        self.woken.close()
        self.wake.close()
        self.deliver()
