"""Takes each set-up to its one answer, and each established session to its one release.

    received --SetUp--> attempt open --up--> established --release, loss, viewer--> ended
      |                      |
      |  <--attempt ended----+    (the decider answers, or starts the next attempt)
      +--Refuse, Fail--> ended

Messages may cross, but each transition happens once: a message about a session that has ended, or about an
attempt that is not the current one, is ignored.
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable

from lemonhall import interface
from lemonhall.front.decider.bridge import Bridge
from lemonhall.front.node.liveness import NEVER
from lemonhall.front.node.server_connection import ServerConnection
from lemonhall.front.node.servers import MediaServer, MediaServers
from lemonhall.front.node.session import Attempt, Session
from lemonhall.front.node.viewer_connection import ViewerConnection
from lemonhall.front.node.viewers import ViewerConnections
from lemonhall.interface import Outcome
from lemonhall.loop import Loop
from lemonhall.node import bounds, messages
from lemonhall.node.causes import (
    CONNECTION_LOST,
    ENDED_BY_VIEWER,
    FAILED,
    GIVEN_UP,
    NEVER_RAN,
    REFUSED,
    outcome_after_answer,
    outcome_before_answer,
)
from lemonhall.node.messages import Down, NewSetUp, Note, Up
from lemonhall.node.used_refs import UsedRefs


def is_holder(connection: ServerConnection, attempt: Attempt) -> bool:
    """Whether the server of an attempt may send on a connection: its own, or one to its address.

    A server that took over an address is also reached on connections that were opened under the id before.
    """
    return connection.server is attempt.server or connection.address == attempt.server.address


class Sessions:
    """All sessions of the node: turns messages into events of the decider and its actions into messages."""

    def __init__(
        self,
        loop: Loop,
        bridge: Bridge,
        settings: interface.Settings,
        servers: MediaServers,
        viewers: ViewerConnections,
        max_open_bytes: int,
        counts: Counter[str],
        log_event: Callable[..., None],
    ) -> None:
        self.loop, self.bridge, self.settings = loop, bridge, settings
        self.servers, self.viewers, self.counts, self.log_event = servers, viewers, counts, log_event
        self.by_ref: dict[str, Session] = {}
        self.by_number: dict[int, Session] = {}
        self.next_number = 1
        self.established_count = 0
        self.max_open_bytes = max_open_bytes  # that descriptions of open set-ups may take together
        self.open_bytes = 0
        # Sessions whose viewer left while the decider's actions are carried out; one may concern them.
        self.departing: dict[int, Session] = {}
        self.used_refs = UsedRefs(bounds.MAX_USED_REFS, bounds.USED_REF_TTL_S)
        # Releases of unknown refs: when, from which server (empty: from a viewer), the cause.
        self.early_releases: dict[str, tuple[float, str, int]] = {}
        self.list_age_s: Callable[[], float] = lambda: 0.0  # since the list was last confirmed
        viewers.on_set_up, viewers.on_down, viewers.on_disconnected = (
            self.accept_set_up,
            self.on_viewer_down,
            self.on_viewer_disconnected,
        )
        servers.on_up, servers.on_down, servers.on_note = (
            self.on_server_up,
            self.on_server_down,
            self.on_server_note,
        )
        servers.on_attempt_ended, servers.on_session_lost = self.end_attempt, self.end_lost_session
        bridge.action_handlers.update(
            {
                interface.SetUp: self.start_attempt,
                interface.SetRung: self.set_rung,
                interface.Refuse: self.refuse,
                interface.Fail: self.fail,
                interface.Move: self.move,
                interface.Cancel: self.cancel_attempt,
            }
        )

    # Messages from viewers

    def accept_set_up(self, viewer: ViewerConnection, set_up: NewSetUp) -> bool:
        """False: the ref belongs to another session, so the sender gets no answer under it."""
        known = self.by_ref.get(set_up.ref)
        if set_up.playing_at:
            if known is None:
                self.take_over(viewer, set_up)
            return True
        if known is not None:
            self.counts["id_twice"] += 1
            return False
        if self.used_refs.contains(set_up.ref, self.loop.now()):
            self.counts["id_again"] += 1
            viewer.send(messages.encode_down(set_up.ref, FAILED))
            return True
        if set_up.left_ms < bounds.MIN_LEFT_MS:
            self.counts["out_of_time"] += 1
            viewer.send(messages.encode_down(set_up.ref, FAILED))
            return True
        description_bytes = sys.getsizeof(set_up.description)
        if self.open_bytes + description_bytes > self.max_open_bytes:
            self.counts["refused_memory"] += 1
            viewer.send(messages.encode_down(set_up.ref, REFUSED))
            return True
        now = self.loop.now()
        floor = self.settings.classes[set_up.cls].floor
        deadline = now + set_up.left_ms / 1000 - bounds.answer_margin_s(set_up.left_ms / 1000)
        session = self.add(Session(self.next_number, set_up, viewer, deadline, floor))
        viewer.open_sessions[set_up.ref] = session
        session.description_bytes = description_bytes
        self.open_bytes += description_bytes
        self.counts["asked"] += 1
        left_ms = max(1.0, (deadline - now) * 1000)
        session.new_session_event = self.make_new_session_event(session, left_ms)
        self.bridge.enqueue(session.new_session_event)
        return True

    def add(self, session: Session) -> Session:
        self.next_number += 1
        self.by_ref[session.ref] = self.by_number[session.number] = session
        return session

    def drop_description(self, session: Session) -> None:
        """Frees the description, which only an open set-up needs."""
        self.open_bytes -= session.description_bytes
        session.description_bytes = 0
        session.set_up.description = ""

    def make_new_session_event(self, session: Session, left_ms: float) -> interface.NewSession:
        set_up = session.set_up
        return interface.NewSession(
            id=session.number,
            cls=set_up.cls,
            viewer=set_up.viewer,
            title=set_up.title,
            left_ms=left_ms,
            top=set_up.top_rung,
            first_cell=set_up.first_cell,
            cells=set_up.cells,
            tenant=set_up.tenant,
            repeated=set_up.retry or set_up.repeated,
        )

    def take_over(self, viewer: ViewerConnection, set_up: NewSetUp) -> None:
        """Takes over a session that plays already, perhaps at a server that is not listed yet."""
        if self.established_count >= bounds.MAX_ESTABLISHED_SESSIONS or not self.servers.may_add(
            set_up.playing_at
        ):
            self.counts["handover_ignored"] += 1
            return
        server = self.servers.get_or_add(set_up.playing_at)
        session = Session(self.next_number, set_up, viewer, 0.0, self.settings.classes[set_up.cls].floor)
        if self.apply_early_release(session, server):
            return
        self.add(session)
        session.attempt_count, session.established = 1, True
        session.attempt = Attempt(session, 0, server, self.loop.now())
        server.add_session(session)
        viewer.established_sessions[session.ref] = session
        self.established_count += 1
        self.counts["handed_over"] += 1
        self.bridge.enqueue(
            interface.HandedOver(
                self.make_new_session_event(session, max(1.0, set_up.left_ms)), server.number
            )
        )
        if not server.connections:
            server.open_connection()  # on which the session's notes and release arrive

    def apply_early_release(self, session: Session, server: MediaServer) -> bool:
        """Forwards a release that arrived before the handover, on another connection, to the other side."""
        received_at, server_id, cause = self.early_releases.pop(session.ref, (NEVER, "", 0))
        if self.loop.now() - received_at > bounds.EARLY_RELEASE_TTL_S or server_id not in ("", server.id):
            return False
        self.counts["ended_before_handed_over"] += 1
        if not server_id:
            server.send_command(session.ref, "down", messages.encode_down(session.ref, cause))
        elif outcome_after_answer(cause) is not Outcome.CANCELLED:
            self.viewers.release_session(session, messages.encode_down(session.ref, cause))
        self.servers.remove_if_unused(server)
        return True

    def remember_early_release(self, ref: str, server_id: str, cause: int) -> None:
        """Keeps the release of an unknown ref for a while: the handover may still be on its way."""
        self.early_releases.pop(ref, None)
        while len(self.early_releases) >= bounds.MAX_EARLY_RELEASES:
            del self.early_releases[next(iter(self.early_releases))]
        self.early_releases[ref] = self.loop.now(), server_id, cause

    def on_viewer_down(self, viewer: ViewerConnection, down: Down) -> None:
        session = self.by_ref.get(down.ref)
        viewer.acknowledge_release(down.ref)
        if session is None:
            self.remember_early_release(down.ref, "", ENDED_BY_VIEWER)
            return
        if session.established:
            self.release_at_server(session, ENDED_BY_VIEWER)
            self.end(session, Outcome.CANCELLED)
        elif session.viewer is viewer:
            self.give_up(session)

    def on_viewer_disconnected(self, viewer: ViewerConnection) -> None:
        """Gives up the set-ups open on the connection; established sessions belong to no connection."""
        for session in list(viewer.open_sessions.values()):
            self.give_up(session)
        viewer.open_sessions.clear()
        if viewer.stream.open:
            return  # we are closing it: what was written to it is still sent
        unsent_answers, viewer.unsent_answers = viewer.unsent_answers, []
        for end, session in unsent_answers:
            if (
                session.established and end > viewer.stream.bytes_written
            ):  # the answer was not sent completely
                self.counts["up_undelivered"] += 1
                self.release_at_server(session, ENDED_BY_VIEWER)
                self.end(session, Outcome.CANCELLED)

    def give_up(self, session: Session) -> None:
        self.counts["given_up"] += 1
        attempt, session.attempt = session.attempt, None
        self.report_viewer_gone(session)
        if attempt:
            session.may_have_run |= self.stop_waiting(attempt)
        self.remove(session)
        if attempt:
            took_ms = (self.loop.now() - attempt.started_at) * 1000
            self.bridge.enqueue(
                interface.AttemptEnded(
                    session.number, attempt.number, attempt.server.number, Outcome.CANCELLED, True, took_ms
                )
            )

    def report_viewer_gone(self, session: Session) -> None:
        """Reports the departure before all other events; a session not reported yet is withdrawn instead."""
        if session.new_session_event and self.bridge.enqueue_viewer_gone(session.new_session_event):
            self.departing[session.number] = session
            # Runs after all actions have been carried out.
            self.loop.call_soon(self.departing.pop, session.number, None)

    def stop_waiting(self, attempt: Attempt) -> bool:
        """Whether anything of the attempt may have been sent."""
        if attempt.timer:
            attempt.timer.cancel()
        return attempt.server.give_up_attempt(attempt)

    def remove(self, session: Session) -> None:
        """Removes the session from all tables: no answer and no release is owed any more."""
        self.drop_description(session)
        if session.may_have_run:
            self.used_refs.add(session.ref, self.loop.now())
        self.by_ref.pop(session.ref, None)
        self.by_number.pop(session.number, None)
        if session.viewer:
            session.viewer.open_sessions.pop(session.ref, None)
            session.viewer.established_sessions.pop(session.ref, None)

    # Messages from media servers

    def on_server_up(self, connection: ServerConnection, up: Up) -> None:
        attempt = connection.open_attempts.get(up.ref)
        if attempt is None:
            # A duplicate, an unknown ref, or a set-up that was already given up at its server.
            self.counts["up_unknown"] += 1
            return
        del connection.open_attempts[up.ref]
        session, attempt.connection = attempt.session, None
        if session.viewer:
            session.viewer.read_pending()  # its disconnect may be unread, and a write would succeed even so
        current = session.attempt is attempt
        if not current or not self.send_answer(session, messages.encode_answer(session.ref, up.description)):
            # No viewer would receive the session, and none would ever end it: give it up at its server too.
            self.counts["up_undelivered"] += 1
            connection.server.send_command(session.ref, "down", messages.encode_down(session.ref, GIVEN_UP))
            if current:
                self.give_up(session)
            return
        if attempt.timer:
            attempt.timer.cancel()
            attempt.timer = None
        attempt.line = b""
        session.established = session.may_have_run = True
        self.drop_description(session)
        self.established_count += 1
        self.counts["played"] += 1
        attempt.server.add_session(session)
        attempt.server.on_session_message(attempt)
        took_ms = (self.loop.now() - attempt.started_at) * 1000
        self.counts["took_ms"] += int(took_ms)
        if session.viewer:
            session.viewer.open_sessions.pop(session.ref, None)
            session.viewer.established_sessions[session.ref] = session
            session.viewer.proven = True
        server_number = attempt.server.number
        self.bridge.enqueue(
            interface.Playing(session.number, attempt.number, server_number, took_ms, up.load)
        )

    def send_answer(self, session: Session, line: bytes) -> bool:
        """False if the connection does not take the answer any more."""
        viewer = session.viewer
        if viewer is None or not viewer.usable:
            return False
        viewer.send(line)
        if viewer.usable and viewer.stream.backlog_bytes:
            viewer.unsent_answers = [
                (end, other) for end, other in viewer.unsent_answers if end > viewer.stream.bytes_written
            ]
            viewer.unsent_answers.append((viewer.stream.bytes_written + viewer.stream.backlog_bytes, session))
        return viewer.usable

    def on_server_down(self, connection: ServerConnection, down: Down) -> None:
        attempt = connection.open_attempts.get(down.ref)
        if attempt:
            del connection.open_attempts[down.ref]
            attempt.connection = None
            self.end_attempt(attempt, outcome_before_answer(down.cause), down.load)
            return
        session = self.by_ref.get(down.ref)
        if session is None:
            self.remember_early_release(down.ref, connection.server.id, down.cause)
            return
        if not session.established or session.attempt is None or not is_holder(connection, session.attempt):
            return
        self.on_session_message(session, session.attempt)
        outcome = outcome_after_answer(down.cause)
        if outcome is not Outcome.CANCELLED:  # 31: the viewer has ended the session and expects no release
            self.viewers.release_session(session, messages.encode_down(session.ref, down.cause))
        self.end(session, outcome, down.load)

    def on_session_message(self, session: Session, attempt: Attempt) -> None:
        """The server holds the session, so whoever brought it, also by a handover, is a viewer of it."""
        attempt.server.on_session_message(attempt)
        if session.viewer:
            session.viewer.proven = True

    def on_server_note(self, connection: ServerConnection, note: Note) -> None:
        session = self.by_ref.get(note.ref)
        if session is None or not session.established or session.attempt is None:
            self.counts["note_unknown"] += 1
            return
        if not is_holder(connection, session.attempt):
            return
        self.on_session_message(session, session.attempt)
        self.counts["notes"] += 1
        server_number = session.attempt.server.number
        if note.kind == interface.NoteKind.RUNG:
            session.rung = int(note.value)
        self.bridge.enqueue(
            interface.Note(session.number, session.attempt.number, server_number, note.kind, note.value)
        )

    def end_attempt(self, attempt: Attempt, outcome: Outcome, load: tuple[float, ...] = ()) -> None:
        """The end of an attempt that did not establish the session; ignored if it is not the current one."""
        session = attempt.session
        if session.attempt is not attempt or session.established:
            return
        session.attempt = None
        session.may_have_run |= outcome not in NEVER_RAN
        if attempt.timer:
            attempt.timer.cancel()
        self.counts[f"ended_{outcome.name.lower()}"] += 1
        took_ms = (self.loop.now() - attempt.started_at) * 1000
        self.log_event(
            "attempt failed",
            ref=session.ref,
            attempt=attempt.number,
            server=attempt.server.id,
            outcome=outcome.name.lower(),
            took_ms=round(took_ms, 1),
        )
        self.bridge.enqueue(
            interface.AttemptEnded(
                session.number, attempt.number, attempt.server.number, outcome, False, took_ms, load
            )
        )

    def on_attempt_timeout(self, attempt: Attempt) -> None:
        """A set-up that was never sent is reported as a failed connection: it provably did not run."""
        attempt.server.on_answer_overdue(attempt)
        may_have_run = self.stop_waiting(attempt)
        self.end_attempt(attempt, Outcome.TIMEOUT if may_have_run else Outcome.CONNECT_FAILED)

    def end_lost_session(self, session: Session) -> None:
        """The server is gone, and the session with it, or has to be taken for gone."""
        self.viewers.release_session(session, messages.encode_down(session.ref, CONNECTION_LOST))
        self.end(session, Outcome.RESET)

    def end(self, session: Session, outcome: Outcome, load: tuple[float, ...] = ()) -> None:
        """Ends an established session."""
        attempt = session.attempt
        assert attempt
        self.established_count -= 1
        self.counts[f"over_{outcome.name.lower()}"] += 1
        session.established = False
        self.remove(session)
        attempt.server.remove_session(session)
        took_ms = (self.loop.now() - attempt.started_at) * 1000
        self.bridge.enqueue(
            interface.AttemptEnded(
                session.number, attempt.number, attempt.server.number, outcome, True, took_ms, load
            )
        )

    def release_at_server(self, session: Session, cause: int) -> None:
        if session.attempt:
            server = session.attempt.server
            server.pending_commands.pop((session.ref, "step"), None)
            server.send_command(session.ref, "down", messages.encode_down(session.ref, cause))

    # Actions of the decider

    def start_attempt(self, action: interface.SetUp) -> None:
        # The viewer may have left during this very call: the decider waits for the end of this attempt.
        departing = self.departing.get(action.id)
        session = self.by_number.get(action.id) or departing
        if session is None:
            return
        now = self.loop.now()
        number = session.attempt_count
        session.attempt_count += 1
        left_s = session.deadline - now
        timeout_s = min(left_s, action.timeout_ms / 1000) if action.timeout_ms > 0 else left_s
        server = self.servers.by_number.get(action.server)
        moot = number >= self.settings.max_attempts or left_s <= 0 or session.attempt is not None
        if moot or departing or server is None or not server.listed:
            # Nothing is sent: too many attempts, two at once, no server, or no time left.
            self.counts["ended_moot"] += 1
            self.bridge.enqueue(
                interface.AttemptEnded(action.id, number, action.server, Outcome.MOOT, False, 0.0)
            )
            return
        attempt = session.attempt = Attempt(session, number, server, now)
        attempt.timer = self.loop.call_later(timeout_s, self.on_attempt_timeout, attempt)
        self.counts["attempts"] += 1
        if (list_age_s := self.list_age_s()) > bounds.DISCOVERY_SILENCE_S:
            self.log_event(
                "attempt on a list that is not confirmed",
                ref=session.ref,
                server=server.id,
                list_age_s=round(list_age_s, 3),
            )
        server.submit_attempt(attempt)

    def set_rung(self, action: interface.SetRung) -> None:
        session = self.by_number.get(action.id)
        if session is None:
            return
        session.rung = action.rung
        if session.established and session.attempt:
            self.counts["steps"] += 1
            session.attempt.server.send_command(
                session.ref, "step", messages.encode_step(session.ref, action.rung)
            )

    def refuse(self, action: interface.Refuse) -> None:
        pause_ms = action.pause_ms if self.settings.pause_advice else 0.0
        self.reject_set_up(action.id, messages.encode_down, "refused", REFUSED, pause_ms)

    def fail(self, action: interface.Fail) -> None:
        self.reject_set_up(action.id, messages.encode_down, "failed", FAILED)

    def reject_set_up(
        self,
        number: int,
        encode: Callable[..., bytes],
        counter: str,
        cause: int,
        pause_ms: float = 0.0,
    ) -> None:
        """Answers a set-up negatively, at once and finally."""
        session = self.by_number.get(number)
        if session is None or session.established:
            return
        self.counts[counter] += 1
        viewer, attempt = session.viewer, session.attempt
        self.log_event(
            f"set-up {counter}",
            ref=session.ref,
            attempts=session.attempt_count,
            left_ms=round((session.deadline - self.loop.now()) * 1000),
        )
        if attempt:
            session.may_have_run |= self.stop_waiting(attempt)
        self.remove(session)
        if viewer:
            viewer.send(encode(session.ref, cause, pause_ms))

    def move(self, action: interface.Move) -> None:
        session = self.by_number.get(action.id)
        if session and session.established:
            self.counts["moved"] += 1
            self.release_at_server(session, ENDED_BY_VIEWER)
            self.viewers.release_session(session, messages.encode_shift(session.ref))
            self.end(session, Outcome.CANCELLED)

    def cancel_attempt(self, action: interface.Cancel) -> None:
        session = self.by_number.get(action.id)
        attempt = session.attempt if session and not session.established else None
        if attempt and attempt.number == action.attempt:
            may_have_run = self.stop_waiting(attempt)
            self.end_attempt(attempt, Outcome.CANCELLED if may_have_run else Outcome.MOOT)

    def fail_open_set_ups(self) -> None:
        """Fails open set-ups before SIGKILL arrives, so that none goes unanswered."""
        for session in [session for session in self.by_ref.values() if not session.established]:
            self.counts["failed_at_end"] += 1
            self.reject_set_up(session.number, messages.encode_down, "failed", FAILED)

    def sweep(self) -> None:
        """Fails set-ups past their deadline without an attempt, in case the decider never decides on them."""
        now = self.loop.now()
        for viewer in list(self.viewers.connections):
            for session in list(viewer.open_sessions.values()):
                if session.attempt is None and now > session.deadline:
                    self.counts["overdue"] += 1
                    self.report_viewer_gone(session)
                    self.reject_set_up(session.number, messages.encode_down, "failed", FAILED)
