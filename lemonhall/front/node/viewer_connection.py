"""One connection from viewers: reads their messages within the budgets of a pass, and sends them releases."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable
from enum import IntEnum
from typing import Protocol

from lemonhall.front.node.session import Session
from lemonhall.loop import Handler, Loop, Stream
from lemonhall.node import bounds, messages
from lemonhall.node.causes import BAD_MESSAGE, REFUSED
from lemonhall.node.line_reader import LineReader, LineTooLong
from lemonhall.node.messages import Ack, Down, Heartbeat, MessageError, NewSetUp, SettingsNames

MAX_INVALID_MESSAGES = 3  # on one connection; the last of them closes it


class Trust(IntEnum):
    """How far a connection is known to belong to somebody who reads releases."""

    NONE = 0
    VALID_MESSAGE = 1  # it has sent one
    PROVEN = 2  # a session was established through it


class PassBudget:
    """Counts messages handled in the current pass of the loop, large ones as several, up to a limit."""

    def __init__(self, loop: Loop, limit: int) -> None:
        self.loop, self.limit = loop, limit
        self.counted_pass = self.handled = 0

    @property
    def is_spent(self) -> bool:
        return self.counted_pass == self.loop.pass_count and self.handled >= self.limit

    def count(self, units: int) -> None:
        if self.counted_pass != self.loop.pass_count:
            self.counted_pass, self.handled = self.loop.pass_count, 0
        self.handled += units


class ViewersProtocol(Protocol):
    """All connections from viewers together."""

    loop: Loop
    names: SettingsNames
    counts: Counter[str]
    log_event: Callable[..., None]
    budget: PassBudget
    waiting: dict[ViewerConnection, None]
    is_serving: Callable[[], bool]
    is_known_ref: Callable[[str], bool]
    on_set_up: Callable[[ViewerConnection, NewSetUp], bool]
    on_down: Callable[[ViewerConnection, Down], None]
    on_disconnected: Callable[[ViewerConnection], None]

    @property
    def max_read_ahead_bytes(self) -> int: ...

    def let_wait(self, connection: ViewerConnection) -> None: ...

    def on_connection_closed(self, connection: ViewerConnection) -> None: ...


class ViewerConnection(Handler):
    """One connection from viewers; it may carry many sessions.

    Of what has arrived only so much is handled in one pass of the loop that other connections, and the
    decider, get their turn. The rest waits for the next pass, and nothing more is read until then.
    """

    def __init__(self, owner: ViewersProtocol, sock: socket.socket) -> None:
        self.owner, self.line_reader = owner, LineReader()
        self.budget = PassBudget(owner.loop, bounds.MAX_CONNECTION_MESSAGES_PER_PASS)
        self.deferred = False  # messages that were read wait for the next pass
        self.units, self.counted_at = 0.0, owner.loop.now()  # see `recent_units`
        self.was_handled = False  # any line that came here
        self.left = False  # the viewer has closed it; what it sent before is still handled, but no set-up
        self.open_sessions: dict[str, Session] = {}  # set-ups that must still be answered here
        self.established_sessions: dict[str, Session] = {}  # that were set up or handed over here
        self.unsent_answers: list[tuple[int, Session]] = []  # in the backlog, with the offset of their end
        # Releases sent here and not acknowledged: when, the offset of their end, the line.
        self.unacknowledged_releases: dict[str, tuple[float, int, bytes]] = {}
        self.connected_at = self.last_used_at = owner.loop.now()
        self.partial_since = 0.0  # when the first byte of an incomplete message arrived
        self.sent_valid_message = False
        self.proven = False  # a session was established through it, so the peer is known to read releases
        self.invalid_message_count = 0
        self.stream = Stream(
            owner.loop, sock, self, bounds.MAX_BACKLOG_BYTES, max_read_bytes=bounds.MAX_READ_BYTES
        )

    def on_data(self, view: memoryview) -> None:
        self.last_used_at = self.owner.loop.now()
        self.line_reader.feed(view)
        if self.owner.waiting and self.line_reader.has_line:
            self.defer()  # others wait for their turn
        else:
            self.handle_lines()

    def handle_lines(self) -> None:
        """Handles the messages that were read, or as many as the budgets of the pass allow."""
        if self.deferred:
            return
        try:
            while self.usable or self.left:
                if self.is_budget_spent and self.line_reader.has_line:
                    self.defer()
                    return
                line = self.line_reader.next_line()
                if line is None:
                    break
                self.partial_since = 0.0  # what follows is another message
                self.was_handled = True
                self.count_message(1 + len(line) // bounds.MESSAGE_UNIT_BYTES)
                if line.strip():
                    self.handle_line(line)
        except LineTooLong:
            self.owner.counts["bad_too_long"] += 1
            self.close_lingering()
            return
        if not self.line_reader.has_unread:
            self.partial_since = 0.0
        elif not self.partial_since:
            self.partial_since = self.last_used_at

    @property
    def is_budget_spent(self) -> bool:
        return self.budget.is_spent or self.owner.budget.is_spent

    def count_message(self, units: int) -> None:
        self.budget.count(units)
        self.owner.budget.count(units)
        now = self.owner.loop.now()
        self.units, self.counted_at = self.recent_units(now) + units, now

    def recent_units(self, now: float) -> float:
        """What was handled of late, halved with each second: who used least has the next turn."""
        return self.units * float(0.5 ** (now - self.counted_at))

    def defer(self) -> None:
        self.partial_since = 0.0  # the message that waits is whole
        self.stream.pause_reading()
        if not self.deferred:
            self.deferred = True
            self.owner.let_wait(self)

    def resume(self) -> None:
        self.deferred = False
        self.handle_lines()
        if not self.deferred and self.usable:
            self.stream.resume_reading()

    def handle_line(self, line: bytes) -> None:
        owner = self.owner
        try:
            message = messages.parse_viewer_message(line, owner.names)
        except MessageError as error:
            self.reject_message(error)
            return
        self.sent_valid_message = True
        if isinstance(message, NewSetUp):
            self.handle_set_up(message)
        elif isinstance(message, Down):
            owner.on_down(self, message)
        elif isinstance(message, Ack):
            self.acknowledge_release(message.ref)
        elif isinstance(message, Heartbeat):
            self.send(messages.encode_heartbeat_reply(message.ref, owner.is_serving()))

    def handle_set_up(self, set_up: NewSetUp) -> None:
        owner = self.owner
        if self.left and not set_up.playing_at:
            owner.counts["left_unread"] += 1
            return
        is_full = len(self.open_sessions) >= bounds.MAX_OPEN_SET_UPS
        if is_full and not set_up.playing_at and not owner.is_known_ref(set_up.ref):
            owner.counts["refused_full_connection"] += 1
            self.send(messages.encode_down(set_up.ref, REFUSED))
        elif not owner.on_set_up(self, set_up):
            # An answer under a ref in use would be a second answer to that set-up, so close instead.
            owner.counts["bad_id"] += 1
            owner.log_event(
                "closing a viewer connection: id in use",
                ref=set_up.ref,
                open_set_ups=len(self.open_sessions),
            )
            self.close_lingering()

    def reject_message(self, error: MessageError) -> None:
        """Answers with an error under the message's ref if that ref is not in use, else closes."""
        owner = self.owner
        owner.counts["bad_message"] += 1
        owner.log_event("rejected an invalid message from a viewer", why=error.reason)
        self.invalid_message_count += 1
        if (
            not error.ref
            or owner.is_known_ref(error.ref)
            or self.invalid_message_count >= MAX_INVALID_MESSAGES
        ):
            self.close_lingering()
            return
        self.send(messages.encode_down(error.ref, BAD_MESSAGE))

    @property
    def trust(self) -> Trust:
        if self.proven:
            return Trust.PROVEN
        return Trust.VALID_MESSAGE if self.sent_valid_message else Trust.NONE

    @property
    def usable(self) -> bool:
        return self.stream.open and not self.stream.closing

    def read_pending(self) -> None:
        """Reads what has arrived: it may contain the viewer's disconnect, also behind messages that wait."""
        self.stream.read_pending()
        while self.deferred and self.stream.open and self.line_reader.size < self.owner.max_read_ahead_bytes:
            bytes_read = self.stream.bytes_read
            self.stream.read_pending(while_paused=True)
            if self.stream.bytes_read == bytes_read:
                return

    def send(self, line: bytes) -> None:
        self.stream.write(line)

    def send_release(self, ref: str, line: bytes) -> None:
        """Remembers the release until it is acknowledged, or so old that it has arrived or never will."""
        self.send(line)
        self.last_used_at = self.owner.loop.now()
        self.unacknowledged_releases[ref] = (
            self.last_used_at,
            self.stream.bytes_written + self.stream.backlog_bytes,
            line,
        )
        while len(self.unacknowledged_releases) > 1:
            oldest = next(iter(self.unacknowledged_releases))
            if self.may_be_lost(self.unacknowledged_releases[oldest]):
                break
            del self.unacknowledged_releases[oldest]

    def may_be_lost(self, release: tuple[float, int, bytes]) -> bool:
        sent_at, end, _ = release
        return self.owner.loop.now() - sent_at < bounds.RESEND_WINDOW_S or end > self.stream.bytes_written

    def acknowledge_release(self, ref: str) -> None:
        self.unacknowledged_releases.pop(ref, None)

    def close_lingering(self, within_s: float = bounds.LINGER_TIMEOUT_S) -> None:
        """Gives up its open set-ups now; what was written to it still arrives."""
        self.stream.close_lingering(within_s)
        if self.stream.open:  # else `on_closed` was called already
            self.owner.on_disconnected(self)

    def on_backlog_full(self) -> None:
        self.owner.counts["viewer_reads_nothing"] += 1
        self.stream.abort()

    def on_closed(self, reason: str) -> None:
        if self.open_sessions:
            self.owner.log_event(
                "viewer connection closed with open set-ups", why=reason, open_set_ups=len(self.open_sessions)
            )
        self.left = reason != "local"
        self.owner.on_connection_closed(self)
