"""One end of a connection between decider and worker: decodes messages, sends one write per loop pass."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from lemonhall.ipc import MalformedMessage, Message, MessageDecoder, SendQueue
from lemonhall.loop import Handler, Stream

log = structlog.get_logger("lemonhall.front")


class MessageConnection(Handler):
    """Calls `message_callback` for each message and `closed_callback` once.

    The owner calls `flush` after each pass of the event loop.
    """

    def __init__(
        self, message_callback: Callable[[Message], object], closed_callback: Callable[[], object]
    ) -> None:
        self.message_callback, self.closed_callback = message_callback, closed_callback
        self.decoder, self.send_queue = MessageDecoder(), SendQueue()
        self.stream: Stream | None = None
        self.connected_callback: Callable[[], object] = lambda: None
        self.data_callback: Callable[[], object] = lambda: None

    @property
    def open(self) -> bool:
        return self.stream is not None and self.stream.open and not self.stream.connecting

    def send(self, message: Message) -> bool:
        """Returns False if the queue is full or the connection is not open."""
        return (
            self.open and self.stream is not None and self.send_queue.put(message, self.stream.backlog_bytes)
        )

    def flush(self) -> None:
        stream = self.stream
        if stream is None or not stream.open:
            return
        if data := self.send_queue.take(stream.backlog_bytes):
            stream.write(data)
        if self.send_queue.over_limit(stream.backlog_bytes):
            log.error(
                "peer process reads too slowly; closing the connection", backlog_bytes=stream.backlog_bytes
            )
            stream.abort()

    def on_connected(self) -> None:
        self.connected_callback()

    def on_data(self, view: memoryview) -> None:
        self.data_callback()
        for message in self.decoder.feed(view):
            if isinstance(message, MalformedMessage):
                log.error(
                    "malformed message from peer process; closing the connection", reason=message.reason
                )
                if self.stream:
                    self.stream.abort()
                return
            self.message_callback(message)

    def on_backlog_drained(self) -> None:
        self.flush()

    def on_closed(self, reason: str) -> None:
        self.closed_callback()
