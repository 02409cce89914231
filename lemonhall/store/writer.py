"""Group commit in a thread of its own, in the order of the requests; callbacks run on the event loop.

While one group is being synced, the next one gathers. So all changes that arrive meanwhile share the cost of
one sync, and none waits for a timer.
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

Callback = Callable[[str], object]  # receives "" once the change is on disk, else the error
CONFLICT = "another value has been written to this key meanwhile"
DEFERRED_DELAY_S = 0.05  # longest time that a change which is not urgent waits to join a group
MAX_QUEUED_CHANGES = 20_000  # more are refused at once


class StoreWriter:
    """`put` returns at once. Each callback is called exactly once, on the loop, in order."""

    def __init__(self, loop: Loop, store: Store) -> None:
        self.loop, self.store = loop, store
        self.unflushed: list[tuple[Change, Callback | None]] = []  # not yet passed to the thread
        self.flush_scheduled = False
        self.flush_timer: Timer | None = None
        self.queue: list[
            tuple[Change, Callback | None]
        ] = []  # shared with the thread, guarded by `condition`
        self.completed: deque[list[tuple[Callback, str]]] = deque()
        self.condition = threading.Condition()
        self.closing = False
        self.groups = self.written = 0
        self.wake_sender, self.wake_receiver = socket.socketpair()
        for sock in (self.wake_sender, self.wake_receiver):
            sock.setblocking(False)
        loop.watch_socket(self.wake_receiver, READ, self.on_wake)
        self.thread = threading.Thread(target=self.run, name="store", daemon=True)
        self.thread.start()

    def put(self, change: Change, callback: Callback | None = None, urgent: bool = True) -> None:
        """Queues a change. If not `urgent`, it joins the next urgent one, or is written after a delay."""
        if not self.closing and len(self.unflushed) + len(self.queue) < MAX_QUEUED_CHANGES:
            self.unflushed.append((change, callback))
            if urgent and not self.flush_scheduled:
                self.flush_scheduled = True
                self.loop.call_soon(self.flush)
            elif not urgent and self.flush_timer is None:
                self.flush_timer = self.loop.call_later(DEFERRED_DELAY_S, self.flush)
        elif callback:
            self.loop.call_soon(callback, "the write queue is full or closed")

    def flush(self) -> None:
        """Passes all changes gathered on the loop to the thread, with a single notification."""
        self.flush_scheduled = False
        if self.flush_timer:
            self.flush_timer.cancel()
            self.flush_timer = None
        if self.unflushed:
            with self.condition:
                self.queue += self.unflushed
                self.condition.notify()
            self.unflushed = []

    def run(self) -> None:
        """Commits the queued changes, group after group, until the writer is closed. Runs in the thread."""
        while True:
            with self.condition:
                while not self.queue and not self.closing:
                    self.condition.wait()
                group, self.queue = self.queue, []
                if not group:
                    return
            try:
                applied = self.store.commit([change for change, _ in group])
                errors = ["" if was_applied else CONFLICT for was_applied in applied]
            except (OSError, ValueError) as error:
                errors = [str(error) or repr(error)] * len(group)
            self.groups += 1
            self.written += errors.count("")
            self.completed.append(
                [(callback, error) for (_, callback), error in zip(group, errors, strict=True) if callback]
            )
            try:
                self.wake_sender.send(b"!")
            except (BlockingIOError, OSError):
                continue  # the loop has been woken already, or the writer is closed

    def on_wake(self, _: int) -> None:
        with contextlib.suppress(BlockingIOError):
            self.wake_receiver.recv(4096)
        self.schedule_callbacks()

    def schedule_callbacks(self) -> None:
        while self.completed:
            for callback, error in self.completed.popleft():
                self.loop.call_soon(callback, error)

    def close(self) -> None:
        """Writes all queued changes and ends the thread. Open callbacks run in the loop's next pass."""
        if self.wake_receiver.fileno() < 0:
            return
        self.flush()
        with self.condition:
            self.closing = True
            self.condition.notify()
        self.thread.join()
        self.loop.watch_socket(self.wake_receiver, 0, self.on_wake)
        self.wake_receiver.close()
        self.wake_sender.close()
        self.schedule_callbacks()
