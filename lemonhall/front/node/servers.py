"""Media servers: their connections, the attempts and commands that wait for one, and sessions on them.

A connection belongs to a server's id, never to its address alone: another server may have taken over the
address since.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable

from lemonhall.front.node.liveness import NEVER, Liveness, LossReason, NoteSchedule
from lemonhall.front.node.server_connection import ServerConnection
from lemonhall.front.node.session import Attempt, Session
from lemonhall.interface import Outcome
from lemonhall.loop import Loop
from lemonhall.node import bounds, messages
from lemonhall.node.causes import CONNECTION_LOST, GIVEN_UP
from lemonhall.node.messages import Down, Note, SettingsNames, Up

ENDED_BY_SERVER = ("reset", "eof")  # reasons of a close
REPEATED_DOWN = "repeated down"  # kind of a release that is sent for the second and last time


class MediaServer:
    """A server of the list, with its connections and this front's sessions on it."""

    def __init__(self, owner: MediaServers, server_id: str, number: int) -> None:
        self.owner, self.id, self.number = owner, server_id, number
        self.address: tuple[str, int] = ("", 0)
        self.listed = self.draining = False
        self.started_ms = 0.0
        self.connections: list[ServerConnection] = []
        self.retired_connections: list[ServerConnection] = []  # idle ones that we have ended
        self.waiting_attempts: deque[Attempt] = deque()  # for a connection with room
        self.sending_waiting = False  # `send_waiting_attempts` is running
        # Commands for established sessions that wait for a connection, by session and kind.
        self.pending_commands: dict[tuple[str, str], bytes] = {}
        self.established_sessions: dict[str, Session] = {}
        self.command_queued_at = NEVER  # the last time that a command found no connection
        self.liveness = Liveness(owner.notes)
        self.last_connection_reset = False  # the last connection that had been up was reset
        self.connect_started_at = NEVER
        self.command_retry_s = bounds.RECONNECT_INTERVAL_S  # until the next connection for waiting commands

    @property
    def takes_set_ups(self) -> bool:
        return self.listed and not self.draining

    @property
    def is_connecting(self) -> bool:
        return any(not connection.connected for connection in self.connections)

    @property
    def is_connected(self) -> bool:
        return any(connection.connected for connection in self.connections)

    def submit_attempt(self, attempt: Attempt) -> None:
        """Sends the set-up on a connection that has room, or queues it for a new one."""
        self.waiting_attempts.append(attempt)
        self.send_waiting_attempts()
        if attempt in self.waiting_attempts:
            self.open_connection()

    def usable_connection(self) -> ServerConnection | None:
        now, owner = self.owner.loop.now(), self.owner
        for connection in list(self.connections):
            # A connection near the server's idle timeout may be closing at this moment.
            fresh = now - connection.last_used_at < bounds.IDLE_TIMEOUT_FRACTION * owner.idle_timeout_s
            suitable = (
                connection.connected
                and not connection.unresponsive
                and connection.address == self.address
                and fresh
                and len(connection.open_attempts) < owner.set_ups_per_connection
            )
            # A set-up written after the server's close could not be proven unexecuted, so read first.
            if suitable and connection.stream.read_pending():
                return connection
        return None

    def send_attempt(self, connection: ServerConnection, attempt: Attempt) -> None:
        session = attempt.session
        if session.viewer:
            session.viewer.read_pending()  # its disconnect, if any: then nothing is sent on
        if session.attempt is not attempt:
            return
        left_ms = (session.deadline - self.owner.loop.now()) * 1000
        if attempt.timer:
            left_ms = min(left_ms, (attempt.timer.when - self.owner.loop.now()) * 1000)
        connection.send_set_up(attempt, messages.encode_set_up(session.set_up, left_ms, session.rung))

    def open_connection(self) -> None:
        """Opens one connection at a time, until the waiting attempts have enough."""
        if self.is_connecting or not self.address[1] or self.owner.shutting_down:
            return
        self.connect_started_at = self.owner.loop.now()
        if not self.owner.make_room_for_connection():
            self.owner.loop.call_soon(self.fail_waiting_attempts)
            return
        try:
            self.connections.append(ServerConnection(self))
        except OSError as error:  # out of descriptors: nothing was sent
            self.owner.log_event(
                "cannot open a connection to a server; failing the attempts that wait for it",
                server=self.id,
                why=str(error),
            )
            self.owner.loop.call_soon(self.fail_waiting_attempts)

    def on_connection_up(self, connection: ServerConnection) -> None:
        self.liveness.on_connected(self.owner.loop.now())
        self.command_retry_s = bounds.RECONNECT_INTERVAL_S
        self.send_pending_commands(connection)
        self.send_waiting_attempts()
        if self.waiting_attempts:
            self.open_connection()

    def send_waiting_attempts(self) -> None:
        """Sends waiting attempts while a connection has room.

        Input that is read in between, from the server or from the viewer, calls this method again. Without
        the guard, both calls would send: more than the connection has room for, or the same attempt twice.
        """
        if self.sending_waiting:
            return
        self.sending_waiting = True
        try:
            while self.waiting_attempts and (connection := self.usable_connection()):
                if self.waiting_attempts:
                    self.send_attempt(connection, self.waiting_attempts.popleft())
        finally:
            self.sending_waiting = False

    def on_address_changed(self) -> None:
        """Cancels connects to the old address: another process may listen there by now."""
        for connection in list(self.connections):
            if not connection.connected:
                connection.stream.abort()

    def on_connection_closed(self, connection: ServerConnection, reason: str) -> None:
        now = self.owner.loop.now()
        if connection in self.retired_connections:
            self.retired_connections.remove(connection)
            return
        if connection in self.connections:
            self.connections.remove(connection)
        self.owner.counts[f"link_{reason}{'' if connection.connected else '_new'}"] += 1
        self.owner.log_event(
            "server connection closed",
            server=self.id,
            why=reason,
            connected=connection.connected,
            open_set_ups=len(connection.open_attempts),
            idle_s=round(now - connection.last_used_at, 3),
        )
        ended_by_server = connection.connected and reason in ENDED_BY_SERVER
        if connection.connected:
            self.last_connection_reset = reason == "reset"
        if ended_by_server:
            self.liveness.on_sign_of_life(now)
            if self.last_connection_reset and self.established_sessions and not self.is_connected:
                self.liveness.on_last_connection_reset(now)
        self.repeat_recent_releases(connection, now - bounds.RESEND_WINDOW_S)
        self.end_open_attempts(connection)
        if not connection.connected and reason != "local":
            self.on_connect_failed(now, reason)
        elif self.waiting_attempts:
            self.send_waiting_attempts()
            if self.waiting_attempts:
                self.open_connection()
        if ended_by_server:
            # At once, because what the server has to tell in the meantime does not arrive. Not after a close
            # of our own, which may have made room for the connection of another server.
            self.reconnect_for_sessions(now)

    def repeat_recent_releases(self, connection: ServerConnection, since: float) -> None:
        """Sends on another connection the releases that were sent here after a time."""
        releases = list(connection.recent_releases)
        connection.recent_releases.clear()
        for sent_at, ref, line in releases:
            if sent_at >= since:
                self.send_command(ref, REPEATED_DOWN, line)

    def end_open_attempts(self, connection: ServerConnection) -> None:
        """Ends the set-ups that a broken connection carried, but for those of which nothing was sent."""
        for attempt in list(connection.open_attempts.values()):
            if connection.was_sent(attempt):
                # The server may have answered: then it holds the session, which belongs to no connection.
                self.send_give_up(attempt)
                self.owner.on_attempt_ended(attempt, Outcome.RESET, ())
            elif attempt.moves < 1 and self.takes_set_ups:
                attempt.moves += 1  # the same attempt goes to another connection
                attempt.connection = None
                self.waiting_attempts.append(attempt)
            else:
                self.owner.on_attempt_ended(attempt, Outcome.CONNECT_FAILED, ())
        connection.open_attempts.clear()

    def on_connect_failed(self, now: float, reason: str) -> None:
        self.liveness.on_connect_failed(now)
        if reason == "timeout" and self.established_sessions:
            self.liveness.on_connect_timeout(now)
        self.send_waiting_attempts()
        if not any(other.connected and other.address == self.address for other in self.connections):
            self.fail_waiting_attempts()  # else they wait for room on the others until they time out
        if reason == "refused" and self.last_connection_reset and not self.is_connected:
            # The process is gone: it reset its connections when it ended, and its sessions are over. A
            # draining server closes its connections in order and refuses new ones; its sessions continue.
            self.lose_sessions(LossReason.REFUSED)

    def reconnect_for_sessions(self, now: float) -> None:
        """Opens a connection on which the notes and releases of established sessions can arrive."""
        if self.established_sessions and not self.connections:
            self.reconnect(now)

    def reconnect(self, now: float) -> None:
        """Opens a connection unless one has just been tried."""
        if now - self.connect_started_at > bounds.RECONNECT_INTERVAL_S:
            self.open_connection()

    def fail_waiting_attempts(self) -> None:
        """Ends the attempts that wait for a connection: they provably never ran."""
        waiting, self.waiting_attempts = self.waiting_attempts, deque()
        for attempt in waiting:
            self.owner.on_attempt_ended(attempt, Outcome.CONNECT_FAILED, ())

    def withdraw_unsent_attempts(self) -> None:
        """Ends the attempts of which nothing was sent: a server that drains or is gone gets no new work."""
        unsent, self.waiting_attempts = list(self.waiting_attempts), deque()
        for connection in self.connections:
            for attempt in list(connection.open_attempts.values()):
                if connection.cancel_set_up(attempt):
                    del connection.open_attempts[attempt.session.ref]
                    attempt.connection = None
                    unsent.append(attempt)
        for attempt in unsent:
            self.owner.on_attempt_ended(attempt, Outcome.MOOT, ())

    def lose_sessions(self, reason: LossReason, before: float = float("inf")) -> None:
        """Ends the sessions that were set up here before a time: the server can no longer report them."""
        lost = [
            session
            for session in self.established_sessions.values()
            if session.attempt is None or session.attempt.sent_at < before
        ]
        if lost:
            self.owner.counts[f"lost_{reason.value}"] += len(lost)
            self.owner.log_event(
                "sessions lost",
                server=self.id,
                why=reason.value,
                sessions=len(lost),
                **self.liveness.describe(self.owner.loop.now()),
            )
        for session in lost:
            if not reason.proven:
                self.release_lost_session(session, reason)
            self.owner.on_session_lost(session)
        if reason.proven and not self.established_sessions:
            self.pending_commands.clear()

    def release_at_successor(self, successor: MediaServer) -> None:
        """Releases the sessions at the server that has the address now.

        It may hold some: it was reached under this id until the list told of it.
        """
        for session in self.established_sessions.values():
            successor.send_command(session.ref, "down", messages.encode_down(session.ref, CONNECTION_LOST))

    def release_lost_session(self, session: Session, reason: LossReason) -> None:
        """The server may hold the session still: without a release it would stand there beside its successor.

        Connections that stay open to a machine that cannot be reached carry nothing.
        """
        line = messages.encode_down(session.ref, CONNECTION_LOST)
        self.pending_commands.pop((session.ref, "step"), None)
        if reason is LossReason.UNREACHABLE:
            self.queue_command(session.ref, "down", line)
        else:
            self.send_command(session.ref, "down", line)

    def on_answer_overdue(self, attempt: Attempt) -> None:
        """The attempt is about to be given up because its time is over."""
        if attempt.connection and attempt.connection.was_sent(attempt):
            attempt.connection.on_answer_overdue(attempt)

    def give_up_attempt(self, attempt: Attempt) -> bool:
        """Stops waiting for an attempt, on a connection that stays; whether any of it may have been sent."""
        connection, attempt.connection = attempt.connection, None
        if connection is None:
            if attempt in self.waiting_attempts:
                self.waiting_attempts.remove(attempt)
            return False
        connection.open_attempts.pop(attempt.session.ref, None)
        if self.waiting_attempts:
            self.owner.loop.call_soon(self.send_waiting_attempts)
        if connection.cancel_set_up(attempt) or not connection.was_sent(attempt):
            return False
        # Its answer may be on the way, and an established session would outlive the connection.
        ref = attempt.session.ref
        connection.send_command(ref, "down", messages.encode_down(ref, GIVEN_UP))
        return True

    def send_give_up(self, attempt: Attempt) -> None:
        ref = attempt.session.ref
        self.send_command(ref, "down", messages.encode_down(ref, GIVEN_UP))

    def send_command(self, ref: str, kind: str, line: bytes) -> None:
        """Sends a command for an established session, at once or on the next connection.

        Of several waiting commands of a kind only the newest is sent. A release whose connection breaks right
        after it is sent once more, because a reset may have destroyed it.
        """
        for connection in sorted(self.connections, key=lambda connection: connection.address != self.address):
            if connection.takes_commands:
                connection.send_command(ref, kind, line)
                return
        self.queue_command(ref, kind, line)

    def queue_command(self, ref: str, kind: str, line: bytes) -> None:
        self.pending_commands[ref, kind] = line
        self.command_queued_at = self.owner.loop.now()
        self.open_connection()

    def send_pending_commands(self, connection: ServerConnection) -> None:
        """Sends the commands that wait, on a connection that works: it has come up, or has brought data."""
        if not self.pending_commands or not connection.takes_commands:
            return
        commands, self.pending_commands = self.pending_commands, {}
        for (ref, kind), line in commands.items():
            connection.send_command(ref, kind, line)

    def on_session_message(self, attempt: Attempt) -> None:
        """A message on an established session has arrived."""
        self.liveness.on_message(self.owner.loop.now(), attempt.sent_at)

    def add_session(self, session: Session) -> None:
        if not self.established_sessions:
            self.liveness.on_message(self.owner.loop.now())
        self.established_sessions[session.ref] = session

    def remove_session(self, session: Session) -> None:
        self.established_sessions.pop(session.ref, None)
        self.owner.remove_if_unused(self)

    def is_idle(self, connection: ServerConnection, now: float) -> bool:
        outdated = connection.address != self.address
        return (
            connection.connected
            and not connection.open_attempts
            and (
                outdated
                or connection.unresponsive
                or now - connection.last_used_at > bounds.IDLE_TIMEOUT_FRACTION * self.owner.idle_timeout_s
            )
        )

    def sweep(self, now: float) -> None:
        """Closes idle connections, keeps one to a server with established sessions, detects dead servers."""
        self.sweep_pending_commands(now)
        self.find_unresponsive_connections(now)
        self.send_waiting_attempts()
        if self.waiting_attempts:
            self.reconnect(now)  # the last connect failed or took too long
        self.close_idle_connections(now)
        if not self.established_sessions:
            return
        self.reconnect_for_sessions(now)
        if self.liveness.is_probe_due(now):
            self.reconnect(now)  # whether it succeeds shows whether the machine is alive
        if reason := self.liveness.presumed_loss(now, has_address=bool(self.address[1])):
            self.lose_presumed_sessions(reason)

    def lose_presumed_sessions(self, reason: LossReason) -> None:
        """Those in doubt where a new process may have the address, else all."""
        if reason is not LossReason.SILENT:
            self.lose_sessions(reason)
        elif doubt := self.liveness.pop_due_doubt(self.owner.loop.now()):
            self.lose_sessions(reason, doubt.since)

    def sweep_pending_commands(self, now: float) -> None:
        """Tries to connect for the commands that wait, with back-off.

        A listed server may hold their sessions for as long as nothing reaches it.
        """
        if not self.pending_commands:
            return
        if not self.listed and now - self.command_queued_at > bounds.UNLISTED_COMMAND_TTL_S:
            self.pending_commands.clear()
        elif now - self.connect_started_at > self.command_retry_s:
            self.command_retry_s = min(2 * self.command_retry_s, bounds.MAX_RECONNECT_INTERVAL_S)
            self.open_connection()

    def find_unresponsive_connections(self, now: float) -> None:
        """Sends nothing more on connections that carry nothing, and repeats elsewhere what was sent there."""
        for connection in list(self.connections):
            if connection.unresponsive or not connection.is_silent(now):
                continue
            connection.unresponsive = True
            self.owner.counts["unresponsive"] += 1
            self.owner.log_event(
                "server connection unresponsive; using others",
                server=self.id,
                silent_s=round(now - connection.last_data_at, 3),
                open_set_ups=len(connection.open_attempts),
            )
            self.repeat_recent_releases(connection, connection.last_data_at)
            if self.established_sessions:
                # The server sends the releases that it has sent in vain also on the next connection opened.
                self.open_connection()

    def close_idle_connections(self, now: float) -> None:
        for connection in list(self.connections):
            if not self.is_idle(connection, now):
                continue
            has_other = any(
                other is not connection and other.connected and not other.unresponsive
                for other in self.connections
            )
            if self.established_sessions and not has_other:
                self.open_connection()  # the idle connection is closed once its replacement is up
            elif connection.stream.read_pending() and self.is_idle(connection, now):
                # A message of the server may have been unread.
                self.end_connection(connection)
                if connection.unresponsive and self.established_sessions:
                    self.open_connection()  # for the releases that were sent until this one ended

    def end_connection(self, connection: ServerConnection) -> None:
        """Ends an idle connection, and hears what the server has sent on it until it ends it as well."""
        if not self.established_sessions:
            connection.stream.close()
            return
        self.connections.remove(connection)
        self.retired_connections.append(connection)
        connection.stream.end_writing(bounds.RETIRED_CONNECTION_S)


class MediaServers:
    """All media servers that are listed or have sessions of this front.

    `on_up`, `on_down` and `on_note` receive the messages of the protocol, `on_attempt_ended` the end of an
    attempt, `on_session_lost` an established session whose server is gone.
    """

    def __init__(
        self,
        loop: Loop,
        names: SettingsNames,
        set_ups_per_connection: int,
        idle_timeout_s: float,
        connect_timeout_s: float,
        notes: NoteSchedule,
        max_connections: int,
        counts: Counter[str],
        log_event: Callable[..., None],
    ) -> None:
        self.loop, self.names, self.counts, self.log_event = loop, names, counts, log_event
        self.set_ups_per_connection, self.idle_timeout_s, self.connect_timeout_s, self.max_connections = (
            set_ups_per_connection,
            idle_timeout_s,
            connect_timeout_s,
            max_connections,
        )
        self.notes = notes
        self.by_id: dict[str, MediaServer] = {}
        self.by_number: dict[int, MediaServer] = {}
        self.listed_count = 0  # of `by_id`
        self.next_number = 1
        self.shutting_down = False  # no new connections
        self.on_up: Callable[[ServerConnection, Up], None]
        self.on_down: Callable[[ServerConnection, Down], None]
        self.on_note: Callable[[ServerConnection, Note], None]
        self.on_attempt_ended: Callable[[Attempt, Outcome, tuple[float, ...]], None]
        self.on_session_lost: Callable[[Session], None]

    def get_or_add(self, server_id: str) -> MediaServer:
        """The server with an id; one that is not listed has no address until it is."""
        server = self.by_id.get(server_id)
        if server is None:
            server = MediaServer(self, server_id, self.next_number)
            self.next_number += 1
            self.by_id[server_id] = self.by_number[server.number] = server
        return server

    def listed_at(self, address: tuple[str, int]) -> MediaServer | None:
        """The listed server that has an address."""
        return next(
            (server for server in self.by_id.values() if server.listed and server.address == address), None
        )

    def may_add(self, server_id: str) -> bool:
        """Whether a viewer may name the server: it is known, or few are that the list does not have."""
        unlisted_count = len(self.by_id) - self.listed_count
        return server_id in self.by_id or unlisted_count < bounds.MAX_UNLISTED_SERVERS

    def remove_if_unused(self, server: MediaServer) -> None:
        """Removes a server that has left the list and has no session, attempt or command left."""
        if server.listed or server.established_sessions or server.waiting_attempts or server.pending_commands:
            return
        if any(connection.open_attempts for connection in server.connections):
            return
        self.by_id.pop(server.id, None)
        self.by_number.pop(server.number, None)
        for connection in [*server.connections, *server.retired_connections]:
            # The last message may be a release, which has to arrive.
            connection.stream.close_lingering(bounds.LINGER_TIMEOUT_S)

    def dispatch(self, connection: ServerConnection, message: object) -> None:
        if isinstance(message, Up):
            self.on_up(connection, message)
        elif isinstance(message, Down):
            self.on_down(connection, message)
        elif isinstance(message, Note):
            self.on_note(connection, message)

    @property
    def connection_count(self) -> int:
        return sum(
            len(server.connections) + len(server.retired_connections) for server in self.by_id.values()
        )

    def make_room_for_connection(self) -> bool:
        """Whether one more connection is allowed; closes the one that has been idle longest if necessary."""
        connections = [connection for server in self.by_id.values() for connection in server.connections]
        if self.connection_count < self.max_connections:
            return True
        for server in self.by_id.values():
            if server.retired_connections:
                server.retired_connections[0].stream.abort()
                return True
        idle = [
            connection for connection in connections if connection.connected and not connection.open_attempts
        ]
        if not idle:
            return False
        oldest = min(
            idle,
            key=lambda connection: (
                bool(connection.server.established_sessions),
                connection.last_used_at,
            ),
        )
        oldest.stream.close()
        return True

    def sweep(self) -> None:
        now = self.loop.now()
        for server in list(self.by_id.values()):
            server.sweep(now)
            self.remove_if_unused(server)
