"""What waits to be sent over the seam, within bounds, with a stated answer when there is no room. Pure.

All that one pass of the loop brings is one write. Over `high` bytes (those not yet taken by the kernel
included) an ask or a set-up is not taken, and whoever wanted it answers in its place; of notes and rungs the
newest of each ask waits. Over `most` bytes the other end is as good as gone: the link is to be closed.
"""

from __future__ import annotations

from lemonhall.seam.codec import encode
from lemonhall.seam.messages import Message, Noted, Rung, WhenFull

HIGH, MOST = 1 << 20, 16 << 20


def place(message: Message) -> tuple[int, ...]:
    """Two messages with the same place say the same thing, the later one as it is now."""
    if isinstance(message, Noted):
        return (message.KIND, message.ask, message.note)
    assert isinstance(message, Rung)
    return (message.KIND, message.ask)


class Outbox:
    def __init__(self, high: int = HIGH, most: int = MOST) -> None:
        self.high, self.most = high, most
        self.parts: list[bytes] = []
        self.bytes = 0
        self.late: dict[tuple[int, ...], Message] = {}
        self.refused = self.replaced = 0

    def put(self, message: Message, backlog: int = 0) -> bool:
        """False: it was not taken. `backlog`: bytes that were given out and wait for the kernel."""
        if message.FULL is WhenFull.KEEP:
            self.add(message)
            return True
        if self.bytes + backlog <= self.high:
            if message.FULL is WhenFull.NEWEST and self.late:
                self.late.pop(place(message), None)
            self.add(message)
            return True
        if message.FULL is WhenFull.REFUSE:
            self.refused += 1
            return False
        where = place(message)
        self.replaced += where in self.late
        self.late[where] = message
        return True

    def add(self, message: Message) -> None:
        data = encode(message)
        self.parts.append(data)
        self.bytes += len(data)

    def take(self, backlog: int = 0) -> bytes:
        """All that may be sent now, as one piece."""
        while self.late and self.bytes + backlog <= self.high:
            self.add(self.late.pop(next(iter(self.late))))
        made = b"".join(self.parts)
        self.parts, self.bytes = [], 0
        return made

    def over(self, backlog: int = 0) -> bool:
        """Whether so much waits that the other end is as good as gone."""
        return self.bytes + backlog > self.most
