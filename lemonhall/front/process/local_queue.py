"""Connection between decider and worker in one process: queues delivered in the same pass of the loop."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from lemonhall.ipc import Message
from lemonhall.ipc.messages import OverflowPolicy
from lemonhall.loop import Loop

MAX_QUEUED = 10_000  # messages per direction


class LocalQueue:
    """One direction. `number` identifies the connection, as `WorkerConnection.number` does."""

    def __init__(self, loop: Loop, number: int) -> None:
        self.loop, self.number = loop, number
        self.on_message: Callable[[Message], object] = lambda message: None
        self.queue: deque[Message] = deque()
        self.scheduled = False

    def send(self, message: Message) -> bool:
        if len(self.queue) >= MAX_QUEUED and message.OVERFLOW is OverflowPolicy.REJECT:
            return False
        self.queue.append(message)
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self.deliver)
        return True

    def deliver(self) -> None:
        """Delivers all queued messages; an exception in the handler of one does not stop the others."""
        self.scheduled = False
        for _ in range(len(self.queue)):
            message = self.queue.popleft()
            try:
                self.on_message(message)
            except Exception as error:
                if self.loop.on_error is None:
                    raise
                self.loop.on_error(error)
