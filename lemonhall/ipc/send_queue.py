"""Bounded queue of messages to be sent to a peer process. Pure: no I/O.

All messages of one pass of the event loop become one write. While more than `high_bytes` are queued (bytes
that the kernel has not accepted yet included), requests and set-ups are rejected, and the sender answers in
the peer's place; of notes and rung changes only the newest of each request is kept. Above `limit_bytes` the
peer counts as lost, and the connection must be closed.
"""

from __future__ import annotations

from lemonhall.ipc.codec import encode
from lemonhall.ipc.messages import ChangeRung, Message, OverflowPolicy, ServerNote

HIGH_BYTES, LIMIT_BYTES = 1 << 20, 16 << 20


def replacement_key(message: Message) -> tuple[int, ...]:
    """Of two messages with the same key the later one replaces the earlier one."""
    if isinstance(message, ServerNote):
        return (message.KIND, message.request_id, message.note_kind)
    assert isinstance(message, ChangeRung)
    return (message.KIND, message.request_id)


class SendQueue:
    """Encoded messages of one direction of one connection, until they are written."""

    def __init__(self, high_bytes: int = HIGH_BYTES, limit_bytes: int = LIMIT_BYTES) -> None:
        self.high_bytes, self.limit_bytes = high_bytes, limit_bytes
        self.encoded: list[bytes] = []
        self.queued_bytes = 0
        self.deferred: dict[tuple[int, ...], Message] = {}  # newest of each key, until there is room
        self.rejected = self.replaced = 0

    def put(self, message: Message, backlog_bytes: int = 0) -> bool:
        """Returns False if the message was rejected. `backlog_bytes`: taken out already, not yet written."""
        if message.OVERFLOW is OverflowPolicy.ALWAYS_QUEUE:
            self.append(message)
            return True
        if self.queued_bytes + backlog_bytes <= self.high_bytes:
            if message.OVERFLOW is OverflowPolicy.KEEP_NEWEST and self.deferred:
                self.deferred.pop(replacement_key(message), None)
            self.append(message)
            return True
        if message.OVERFLOW is OverflowPolicy.REJECT:
            self.rejected += 1
            return False
        key = replacement_key(message)
        self.replaced += key in self.deferred
        self.deferred[key] = message
        return True

    def append(self, message: Message) -> None:
        data = encode(message)
        self.encoded.append(data)
        self.queued_bytes += len(data)

    def take(self, backlog_bytes: int = 0) -> bytes:
        """Removes and returns everything that may be written now."""
        while self.deferred and self.queued_bytes + backlog_bytes <= self.high_bytes:
            self.append(self.deferred.pop(next(iter(self.deferred))))
        data = b"".join(self.encoded)
        self.encoded, self.queued_bytes = [], 0
        return data

    def over_limit(self, backlog_bytes: int = 0) -> bool:
        """Whether so much is queued that the peer counts as lost."""
        return self.queued_bytes + backlog_bytes > self.limit_bytes
