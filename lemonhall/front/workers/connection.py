"""One end of a link over the seam, on a socket: messages in, one write a pass out."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from lemonhall.ipc import MalformedMessage, Message, MessageDecoder, SendQueue
from lemonhall.loop import Handler, Stream

log = structlog.get_logger("lemonhall.front")


class MessageConnection(Handler):
    """`heard(message)` for each message; `ended()` once. Whoever owns it calls `flush` after each pass."""

    def __init__(self, heard: Callable[[Message], object], ended: Callable[[], object]) -> None:
        self.heard, self.ended = heard, ended
        self.reader, self.outbox = MessageDecoder(), SendQueue()
        self.stream: Stream | None = None
        self.connected_callback: Callable[[], object] = lambda: None
        self.on_bytes: Callable[[], object] = lambda: None

    @property
    def open(self) -> bool:
        return self.stream is not None and self.stream.open and not self.stream.connecting

    def send(self, message: Message) -> bool:
        """False: there is no room for it, or nobody to hear it."""
        return self.open and self.stream is not None and self.outbox.put(message, self.stream.backlog_bytes)

    def flush(self) -> None:
        stream = self.stream
        if stream is None or not stream.open:
            return
        if data := self.outbox.take(stream.backlog_bytes):
            stream.write(data)
        if self.outbox.over_limit(stream.backlog_bytes):
            log.error("link given up, too much waits", bytes=stream.backlog_bytes)
            stream.abort()

    def on_connected(self) -> None:
        self.connected_callback()

    def on_data(self, view: memoryview) -> None:
        self.on_bytes()
        for message in self.reader.feed(view):
            if isinstance(message, MalformedMessage):
                log.error("link given up, not understood", why=message.reason)
                if self.stream:
                    self.stream.abort()
                return
            self.heard(message)

    def on_backlog_drained(self) -> None:
        self.flush()

    def on_closed(self, reason: str) -> None:
        self.ended()
