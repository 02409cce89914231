"""One connection to a media server, which carries several set-ups and commands for established sessions."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Protocol

from lemonhall.front.node.liveness import Liveness
from lemonhall.front.node.session import Attempt, MediaServerProtocol, Session
from lemonhall.loop import Handler, Loop, Stream
from lemonhall.node import bounds, messages
from lemonhall.node.line_reader import LineReader, LineTooLong
from lemonhall.node.messages import MessageError, SettingsNames


class PoolProtocol(Protocol):
    """All media servers together."""

    loop: Loop
    names: SettingsNames
    counts: Counter[str]
    log_event: Callable[..., None]
    connect_timeout_s: float

    def dispatch(self, connection: ServerConnection, message: object) -> None: ...


class ConnectedServerProtocol(MediaServerProtocol, Protocol):
    """The media server that a connection belongs to."""

    liveness: Liveness
    established_sessions: dict[str, Session]

    @property
    def owner(self) -> PoolProtocol: ...

    def on_connection_up(self, connection: ServerConnection) -> None: ...

    def on_connection_closed(self, connection: ServerConnection, reason: str) -> None: ...

    def send_pending_commands(self, connection: ServerConnection) -> None: ...

    def send_waiting_attempts(self) -> None: ...


class ServerConnection(Handler):
    """One connection to a media server."""

    def __init__(self, server: ConnectedServerProtocol) -> None:
        self.server, self.line_reader, self.address = server, LineReader(), server.address
        self.connected = False
        self.up_at = 0.0  # when it came up
        self.open_attempts: dict[str, Attempt] = {}
        # Releases sent here recently: when, of which session, the line.
        self.recent_releases: deque[tuple[float, str, bytes]] = deque(maxlen=bounds.MAX_RECENT_RELEASES)
        owner = server.owner
        self.last_used_at = self.last_data_at = owner.loop.now()
        # When the first set-up was sent that got no answer in time, if nothing has arrived here since.
        self.unanswered_since: float | None = None
        self.unresponsive = False  # nothing has arrived for so long that nothing more is sent here
        self.stream = Stream.connect(
            owner.loop,
            server.address,
            self,
            owner.connect_timeout_s,
            bounds.MAX_BACKLOG_BYTES,
            bounds.MAX_READ_BYTES,
        )

    def on_connected(self) -> None:
        self.connected = True
        self.last_used_at = self.up_at = self.server.owner.loop.now()
        self.server.on_connection_up(self)

    def on_backlog_full(self) -> None:
        # The server has stopped reading: what was written may have run, and the rest would never be read.
        self.stream.abort()

    def on_data(self, view: memoryview) -> None:
        owner = self.server.owner
        self.last_used_at = self.last_data_at = owner.loop.now()
        self.unanswered_since, self.unresponsive = None, False
        self.server.liveness.on_data(self.last_data_at, self.up_at)
        self.line_reader.feed(view)
        try:
            while self.stream.open and (line := self.line_reader.next_line()) is not None:
                if line:
                    owner.dispatch(self, messages.parse_server_message(line, owner.names))
        except (MessageError, LineTooLong) as error:
            # Nothing after an invalid message can be trusted, so the connection is reset, which ends the
            # set-ups open on it. Established sessions belong to no connection and continue.
            owner.counts["server_unreadable"] += 1
            owner.log_event(
                "resetting a server connection after an invalid message",
                server=self.server.id,
                why=str(error) or "line is too long",
            )
            self.stream.abort()
        self.server.send_pending_commands(self)  # the server is heard on this connection again
        self.server.send_waiting_attempts()  # a set-up that has ended makes room

    def on_closed(self, reason: str) -> None:
        self.server.on_connection_closed(self, reason)

    @property
    def takes_commands(self) -> bool:
        can_write = self.stream.open and not (self.stream.closing or self.stream.writing_ended)
        return self.connected and can_write and not self.unresponsive

    def send(self, line: bytes) -> None:
        self.last_used_at = self.server.owner.loop.now()
        self.stream.write(line)

    def send_command(self, ref: str, kind: str, line: bytes) -> None:
        self.send(line)
        if kind == "down":
            self.recent_releases.append((self.last_used_at, ref, line))

    def send_set_up(self, attempt: Attempt, line: bytes) -> None:
        attempt.connection, attempt.offset = self, self.stream.bytes_written + self.stream.backlog_bytes
        attempt.line, attempt.sent_at = line, self.server.owner.loop.now()
        self.open_attempts[attempt.session.ref] = attempt
        self.send(line)

    def on_answer_overdue(self, attempt: Attempt) -> None:
        """A set-up that was sent here got no answer in time."""
        if self.unanswered_since is None and self.last_data_at <= attempt.sent_at:
            self.unanswered_since = attempt.sent_at

    def is_silent(self, now: float) -> bool:
        """Whether set-ups, answered neither in time nor yet, show that the connection carries nothing.

        A media server that is slow for some seconds, or drops a set-up that has little time left, does not
        make its connection silent: messages on other sessions arrive, or the set-up's time is over sooner.
        """
        unanswered = [attempt.sent_at for attempt in self.open_attempts.values()]
        if self.unanswered_since is not None:
            unanswered.append(self.unanswered_since)
        if not unanswered:
            return False
        return now - max(min(unanswered), self.last_data_at) > bounds.UNRESPONSIVE_AFTER_S

    def was_sent(self, attempt: Attempt) -> bool:
        """Whether the kernel has taken any byte of the set-up: if not, it provably never ran."""
        return self.stream.bytes_written > attempt.offset

    def cancel_set_up(self, attempt: Attempt) -> bool:
        """Removes a set-up from the backlog; False if a byte of it was sent already."""
        if self.was_sent(attempt) or not self.stream.cancel_write(attempt.line):
            return False
        for other in self.open_attempts.values():
            if other.offset > attempt.offset:
                other.offset -= len(attempt.line)
        return True
