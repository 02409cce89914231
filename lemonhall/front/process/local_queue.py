"""The seam within one process: a pair of queues, emptied in the pass of the loop in which they are filled."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from lemonhall.ipc import Message
from lemonhall.ipc.messages import OverflowPolicy
from lemonhall.loop import Loop

MOST = 10_000  # messages that wait one way


class LocalQueue:
    """One way. `number` is that of the link, as for one between processes."""

    def __init__(self, loop: Loop, number: int) -> None:
        self.loop, self.number = loop, number
        self.heard: Callable[[Message], object] = lambda message: None
        self.waiting: deque[Message] = deque()
        self.called = False

    def send(self, message: Message) -> bool:
        if len(self.waiting) >= MOST and message.OVERFLOW is OverflowPolicy.REJECT:
            return False
        self.waiting.append(message)
        if not self.called:
            self.called = True
            self.loop.call_soon(self.deliver)
        return True

    def deliver(self) -> None:
        """A fault with one message keeps none of the others waiting."""
        self.called = False
        for _ in range(len(self.waiting)):
            message = self.waiting.popleft()
            try:
                self.heard(message)
            except Exception as error:
                if self.loop.on_error is None:
                    raise
                self.loop.on_error(error)
