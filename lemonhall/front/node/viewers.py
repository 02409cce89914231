"""Connections from viewers: set-ups and their ends, heartbeats, and releases that wait for a connection."""

from __future__ import annotations

import socket
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lemonhall.front.node.session import Session
from lemonhall.front.node.viewer_connection import PassBudget, Trust, ViewerConnection
from lemonhall.loop import Loop, listen
from lemonhall.loop.stream import LISTEN_BACKLOG, accept_queued
from lemonhall.node import bounds
from lemonhall.node.messages import Down, NewSetUp, SettingsNames

FOREVER = float("inf")


@dataclass(slots=True)
class WaitingRelease:
    """The end of an established session for which no proven connection was open."""

    line: bytes
    since: float
    expires_at: float
    sent_on: ViewerConnection | None = None  # the last connection without a valid message that got it

    def needed_trust(self, now: float) -> Trust:
        return Trust.PROVEN if now - self.since < bounds.PROVEN_CONNECTION_WAIT_S else Trust.VALID_MESSAGE


class ViewerConnections:
    """All connections from viewers, and the releases that wait for one.

    `on_set_up` receives a set-up (returns False: not accepted), `on_down` its end, `on_disconnected` a close.
    """

    def __init__(
        self,
        loop: Loop,
        names: SettingsNames,
        max_connections: int,
        max_backlog_bytes: int,
        counts: Counter[str],
        log_event: Callable[..., None],
    ) -> None:
        self.loop, self.names, self.max_connections, self.counts, self.log_event = (
            loop,
            names,
            max_connections,
            counts,
            log_event,
        )
        self.max_backlog_bytes = max_backlog_bytes  # unread by viewers, of all connections together
        self.connections: dict[ViewerConnection, None] = {}
        self.budget = PassBudget(loop, bounds.MAX_MESSAGES_PER_PASS)
        self.waiting: dict[ViewerConnection, None] = {}  # whose messages wait for the next pass
        self.waiting_releases: deque[WaitingRelease] = deque(maxlen=bounds.MAX_WAITING_RELEASES)
        self.listener: socket.socket | None = None
        self.is_serving: Callable[[], bool] = lambda: True
        self.is_known_ref: Callable[[str], bool] = lambda ref: False
        self.on_set_up: Callable[[ViewerConnection, NewSetUp], bool]
        self.on_down: Callable[[ViewerConnection, Down], None]
        self.on_disconnected: Callable[[ViewerConnection], None]

    def let_wait(self, connection: ViewerConnection) -> None:
        if not self.waiting:
            self.loop.call_next_pass(self.resume_waiting)
        self.waiting[connection] = None

    def resume_waiting(self) -> None:
        """Handles what waits, of the connections that used least first, as far as the budget goes."""
        now = self.loop.now()
        waiting, self.waiting = self.waiting, {}
        for connection in sorted(waiting, key=lambda connection: connection.recent_units(now)):
            if self.budget.is_spent:
                self.let_wait(connection)
            else:
                connection.resume()

    @property
    def max_read_ahead_bytes(self) -> int:
        """How much of one connection's input may wait to be handled, so that its close is seen behind it."""
        return min(bounds.MAX_READ_AHEAD_BYTES, self.max_backlog_bytes // max(1, len(self.connections)))

    def listen(self, address: tuple[str, int]) -> None:
        """Raises `OSError`."""
        self.listener = listen(self.loop, address, self.accept)

    def stop_listening(self) -> None:
        """Accepts the connections that the kernel has queued, then closes the listener."""
        if self.listener:
            accept_queued(self.listener, self.accept, LISTEN_BACKLOG)
            self.loop.watch_socket(self.listener, 0, self.accept)
            self.listener.close()
            self.listener = None

    def accept(self, sock: socket.socket, peer: Any) -> None:
        if len(self.connections) >= self.max_connections and not self.evict_connection():
            self.counts["turned_away"] += 1
            sock.close()
            return
        self.counts["accepted"] += 1
        connection = ViewerConnection(self, sock)
        self.connections[connection] = None

    def evict_connection(self) -> bool:
        """Closes the least useful connection without open set-ups; returns whether there was one.

        Keeps ordinary viewers connected when a client opens hundreds of connections. A connection on which
        a set-up is unread is kept: the node has accepted that set-up.
        """
        idle = [connection for connection in self.connections if not connection.open_sessions]
        for candidate in sorted(
            idle,
            key=lambda connection: (
                connection.usable,
                bool(connection.established_sessions),
                connection.trust,
                connection.deferred,
                connection.last_used_at,
            ),
        ):
            if candidate.stream.read_pending() and candidate.open_sessions:
                continue
            self.counts["evicted"] += 1
            if candidate.usable:
                candidate.stream.close()
            else:
                candidate.stream.abort()  # it was closing already
            return True
        return False

    def on_connection_closed(self, connection: ViewerConnection) -> None:
        self.connections.pop(connection, None)
        self.on_disconnected(connection)
        releases, connection.unacknowledged_releases = connection.unacknowledged_releases, {}
        for release in releases.values():
            if connection.may_be_lost(release):
                self.counts["released_again"] += 1
                self.send_release_elsewhere(release[2], release[0] + bounds.RELEASE_DEADLINE_S)

    def release_session(self, session: Session, line: bytes) -> None:
        """Sends the end of an established session on its own connection, else on another, else on the next.

        Only a connection through which a session was established counts as another. Otherwise the release
        could go to an abusive client that never reads it, after the session's own connection was evicted.
        """
        own = session.viewer
        if own and own.usable:
            own.send_release(session.ref, line)
            return
        self.counts["released_elsewhere"] += 1
        self.send_release_elsewhere(line)

    def send_release_elsewhere(self, line: bytes, expires_at: float = FOREVER) -> None:
        if other := self.best_connection(Trust.PROVEN):
            other.send(line)
        else:
            self.waiting_releases.append(WaitingRelease(line, self.loop.now(), expires_at))

    def best_connection(self, needed: Trust) -> ViewerConnection | None:
        """Of the connections that are trusted enough: the most trusted one, and of those the last used."""
        candidates = [
            connection for connection in self.connections if connection.usable and connection.trust >= needed
        ]
        return max(
            candidates,
            key=lambda connection: (
                connection.trust,
                -connection.invalid_message_count,
                connection.last_used_at,
            ),
            default=None,
        )

    def send_waiting_releases(self, shutting_down: bool = False) -> None:
        """Sends what has waited long enough on the best connection there is.

        Where that has never sent a valid message, it may be the quiet viewer's or an abusive client's, so the
        release goes on waiting for a better one until it expires.
        """
        now = self.loop.now()
        kept = []
        for release in self.waiting_releases:
            needed = Trust.NONE if shutting_down else release.needed_trust(now)
            if now >= release.expires_at:
                continue
            if other := self.best_connection(needed):
                other.send(release.line)
                continue
            kept.append(release)
            if needed is Trust.VALID_MESSAGE:
                self.send_untrusted(release)
        self.waiting_releases.clear()
        self.waiting_releases.extend(kept)

    def send_untrusted(self, release: WaitingRelease) -> None:
        """Sends a release on the newest connection without a valid message, once on each."""
        other = self.best_connection(Trust.NONE)
        if other is None or other is release.sent_on:
            return
        if self.loop.now() - other.connected_at < bounds.QUIET_CONNECTION_S:
            return  # its first message may be on the way
        self.counts["released_untrusted"] += 1
        other.send(release.line)
        release.sent_on = other
        release.expires_at = min(release.expires_at, release.since + bounds.RELEASE_DEADLINE_S)

    def sweep(self) -> None:
        """Closes connections without a valid message, with an incomplete message, or idle for too long."""
        now = self.loop.now()
        self.send_waiting_releases()
        self.bound_backlogs()
        for connection in list(self.connections):
            if not connection.usable:
                continue
            partial = (
                connection.partial_since and now - connection.partial_since > bounds.PARTIAL_LINE_TIMEOUT_S
            )
            silent = (
                not connection.sent_valid_message
                and (connection.was_handled or not connection.deferred)  # else its first message waits
                and now - connection.connected_at > bounds.NO_MESSAGE_TIMEOUT_S
            )
            carries_sessions = connection.open_sessions or connection.established_sessions
            idle = not carries_sessions and now - connection.last_used_at > bounds.VIEWER_IDLE_TIMEOUT_S
            if partial or silent or idle:
                last_used_at = connection.last_used_at
                connection.read_pending()
                if connection.open_sessions or (idle and connection.last_used_at > last_used_at):
                    continue  # a set-up was unread and has been accepted
                why = "half" if partial else "silent" if silent else "idle"
                self.counts[f"closed_{why}"] += 1
                self.log_event(
                    "closing a viewer connection", why=why, idle_s=round(now - connection.last_used_at, 3)
                )
                connection.close_lingering()

    def bound_backlogs(self) -> None:
        """Disconnects the viewers that have left most unread where all of it takes too much memory."""
        unread = sum(connection.stream.backlog_bytes for connection in self.connections)
        if unread <= self.max_backlog_bytes:
            return
        for connection in sorted(self.connections, key=lambda connection: -connection.stream.backlog_bytes):
            if unread <= self.max_backlog_bytes:
                return
            unread -= connection.stream.backlog_bytes
            connection.on_backlog_full()
