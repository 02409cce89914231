"""One set-up from its last byte to its one answer, and what stands to its one release.

    asked --SetUp--> out --up--> standing --release, loss, viewer--> over
      |               |
      |  <--ended-----+    (the module answers, or sends the next attempt)
      +--Refuse, Fail--> over

Whatever crosses, each arrow is taken once: what names a session that is over, or an attempt that is not the
one that is out, is passed over.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from lemonhall import interface as i
from lemonhall.front.deciding.bridge import Bridge
from lemonhall.front.node.servers import NEVER, Link, MediaServer, Servers
from lemonhall.front.node.session import Attempt, Session
from lemonhall.front.node.viewers import Viewer, Viewers
from lemonhall.interface import Outcome
from lemonhall.loop import Loop
from lemonhall.node import bounds, messages
from lemonhall.node.messages import Down, NewSetUp, Note, Up
from lemonhall.node.outcomes import (
    CUT,
    ENDED_BY_VIEWER,
    FAILED,
    GIVEN_UP,
    REFUSED,
    after_answer,
    before_answer,
)


class Sessions:
    def __init__(
        self,
        loop: Loop,
        bridge: Bridge,
        settings: i.Settings,
        servers: Servers,
        viewers: Viewers,
        counts: Counter[str],
        say: Callable[..., None],
    ) -> None:
        self.loop, self.bridge, self.settings = loop, bridge, settings
        self.servers, self.viewers, self.counts, self.say = servers, viewers, counts, say
        self.by_ref: dict[str, Session] = {}
        self.by_number: dict[int, Session] = {}
        self.next_number = 1
        self.standing = 0
        self.leaving: dict[int, Session] = {}  # gone while actions are carried out, one perhaps theirs
        self.early: dict[str, tuple[float, str, int]] = {}  # ends of unknown ids: when, server, cause
        viewers.on_new, viewers.on_down, viewers.on_left = self.new, self.viewer_down, self.viewer_left
        servers.on_up, servers.on_down, servers.on_note = self.server_up, self.server_down, self.server_note
        servers.on_ended, servers.on_lost = self.ended, self.lost
        bridge.carry_out.update(
            {
                i.SetUp: self.set_up,
                i.SetRung: self.set_rung,
                i.Refuse: self.refuse,
                i.Fail: self.fail,
                i.Move: self.move,
                i.Cancel: self.cancel,
            }
        )

    # what viewers say

    def new(self, viewer: Viewer, asked: NewSetUp) -> bool:
        """False: its id belongs to another, and whoever sent it gets no answer under it."""
        known = self.by_ref.get(asked.ref)
        if asked.at:
            if known is None:
                self.hand_over(viewer, asked)
            return True
        if known is not None:
            self.counts["id_twice"] += 1
            return False
        now = self.loop.now()
        floor = self.settings.classes[asked.cls].floor
        deadline = now + asked.left_ms / 1000 - bounds.answer_margin_s(asked.left_ms / 1000)
        session = self.enter(Session(self.next_number, asked, viewer, deadline, floor))
        viewer.open[asked.ref] = session
        self.counts["asked"] += 1
        left_ms = max(1.0, (deadline - now) * 1000)
        session.told = self.told(session, left_ms)
        self.bridge.tell(session.told)
        return True

    def enter(self, session: Session) -> Session:
        self.next_number += 1
        self.by_ref[session.ref] = self.by_number[session.number] = session
        return session

    def told(self, session: Session, left_ms: float) -> i.NewSession:
        a = session.asked
        return i.NewSession(
            id=session.number,
            cls=a.cls,
            viewer=a.viewer,
            title=a.title,
            left_ms=left_ms,
            top=a.top,
            first_cell=a.home,
            cells=a.copies,
            tenant=a.tenant,
            again=a.retry or a.again,
        )

    def hand_over(self, viewer: Viewer, asked: NewSetUp) -> None:
        """It plays already at a server, perhaps one that the list has not told yet."""
        if self.standing >= bounds.STANDING:
            return
        server = self.servers.named(asked.at)
        session = Session(self.next_number, asked, viewer, 0.0, self.settings.classes[asked.cls].floor)
        viewer.proven = True
        if self.ended_before(session, server):
            return
        self.enter(session)
        session.attempts, session.standing = 1, True
        session.attempt = Attempt(session, 0, server, self.loop.now())
        server.stands(session)
        self.standing += 1
        self.counts["handed_over"] += 1
        self.bridge.tell(i.HandedOver(self.told(session, max(1.0, asked.left_ms)), server.number))
        if not server.links:
            server.dial()  # its notes and its release come on a connection of ours

    def ended_before(self, session: Session, server: MediaServer) -> bool:
        """Its end crossed the hand-over, on another connection: it is told on at once to the other side."""
        when, by, cause = self.early.pop(session.ref, (NEVER, "", 0))
        if self.loop.now() - when > bounds.EARLY_ENDS_S or by not in ("", server.id):
            return False
        self.counts["ended_before_handed_over"] += 1
        if not by:
            server.order(session.ref, "down", messages.down(session.ref, cause))
        elif after_answer(cause) is not Outcome.CANCELLED:
            self.viewers.release(session, messages.down(session.ref, cause))
        self.servers.forget(server)
        return True

    def note_early(self, ref: str, by: str, cause: int) -> None:
        """The end of an id that nobody knows here, kept a while: a hand-over may be on its way."""
        self.early.pop(ref, None)
        while len(self.early) >= bounds.EARLY_ENDS:
            del self.early[next(iter(self.early))]
        self.early[ref] = self.loop.now(), by, cause

    def viewer_down(self, viewer: Viewer, down: Down) -> None:
        session = self.by_ref.get(down.ref)
        viewer.heard(down.ref)
        if session is None:
            self.note_early(down.ref, "", ENDED_BY_VIEWER)
            return
        if session.standing:
            self.cut(session, ENDED_BY_VIEWER)
            self.over(session, Outcome.CANCELLED)
        elif session.viewer is viewer:
            self.given_up(session)

    def viewer_left(self, viewer: Viewer) -> None:
        """Its connection is gone: what was open on it is given up, what stands belongs to no connection."""
        for session in list(viewer.open.values()):
            self.given_up(session)
        viewer.open.clear()
        if viewer.stream.open:
            return  # it is ended by us: what was written to it still goes out
        unsent, viewer.unsent = viewer.unsent, []
        for end, session in unsent:
            if session.standing and end > viewer.stream.bytes_written:  # its answer never left whole
                self.counts["up_undelivered"] += 1
                self.cut(session, ENDED_BY_VIEWER)
                self.over(session, Outcome.CANCELLED)

    def given_up(self, session: Session) -> None:
        self.counts["given_up"] += 1
        attempt, session.attempt = session.attempt, None
        self.leave(session)
        self.drop(session)
        if attempt:
            self.end_wait(attempt)
            took = (self.loop.now() - attempt.began) * 1000
            self.bridge.tell(
                i.AttemptEnded(
                    session.number, attempt.number, attempt.server.number, Outcome.CANCELLED, True, took
                )
            )

    def leave(self, session: Session) -> None:
        """The module hears of it ahead of all else, or never hears of the session at all."""
        if session.told and self.bridge.left(session.told):
            self.leaving[session.number] = session
            self.loop.call_soon(self.leaving.pop, session.number, None)  # runs once all is carried out

    def end_wait(self, attempt: Attempt) -> bool:
        if attempt.timer:
            attempt.timer.cancel()
        return attempt.server.give_up(attempt)

    def drop(self, session: Session) -> None:
        """Out of every table: nothing more is owed."""
        self.by_ref.pop(session.ref, None)
        self.by_number.pop(session.number, None)
        if session.viewer:
            session.viewer.open.pop(session.ref, None)

    # what servers say

    def server_up(self, link: Link, up: Up) -> None:
        attempt = link.open.get(up.ref)
        if attempt is None:
            self.counts["up_unknown"] += (
                1  # a second copy, an unknown id, or one that was given up: told already
            )
            return
        del link.open[up.ref]
        session, attempt.link = attempt.session, None
        if session.viewer:
            session.viewer.look()  # its leaving may lie unread: a write would be taken all the same
        here = session.attempt is attempt
        if not here or not self.deliver(session, messages.answer(session.ref, up.description)):
            # Nobody is there to have it, and nobody would ever end it: it is given up at its server as well.
            self.counts["up_undelivered"] += 1
            link.server.order(session.ref, "down", messages.down(session.ref, GIVEN_UP))
            if here:
                self.given_up(session)
            return
        if attempt.timer:
            attempt.timer.cancel()
            attempt.timer = None
        attempt.line = b""
        session.standing = True
        self.standing += 1
        self.counts["played"] += 1
        attempt.server.stands(session)
        attempt.server.heard_at = self.loop.now()
        took = (self.loop.now() - attempt.began) * 1000
        self.counts["took_ms"] += int(took)
        if session.viewer:
            session.viewer.open.pop(session.ref, None)
            session.viewer.proven = True
        number = attempt.server.number
        self.bridge.tell(i.Playing(session.number, attempt.number, number, took, up.load))

    def deliver(self, session: Session, line: bytes) -> bool:
        """Writes an answer; False where its connection takes nothing any more."""
        viewer = session.viewer
        if viewer is None or not viewer.usable:
            return False
        viewer.send(line)
        if viewer.usable and viewer.stream.backlog_bytes:
            viewer.unsent = [(end, s) for end, s in viewer.unsent if end > viewer.stream.bytes_written]
            viewer.unsent.append((viewer.stream.bytes_written + viewer.stream.backlog_bytes, session))
        return viewer.usable

    def server_down(self, link: Link, down: Down) -> None:
        attempt = link.open.get(down.ref)
        if attempt:
            del link.open[down.ref]
            attempt.link = None
            self.ended(attempt, before_answer(down.cause), down.load)
            return
        session = self.by_ref.get(down.ref)
        if session is None:
            self.note_early(down.ref, link.server.id, down.cause)
            return
        if not session.standing or session.attempt is None or session.attempt.server is not link.server:
            return
        link.server.heard_at = self.loop.now()
        outcome = after_answer(down.cause)
        if outcome is not Outcome.CANCELLED:  # 31: its viewer has ended it and is owed no release
            self.viewers.release(session, messages.down(session.ref, down.cause))
        self.over(session, outcome, down.load)

    def server_note(self, link: Link, note: Note) -> None:
        session = self.by_ref.get(note.ref)
        if session is None or not session.standing or session.attempt is None:
            return
        if session.attempt.server is not link.server:
            return
        link.server.heard_at = self.loop.now()
        self.counts["notes"] += 1
        number = link.server.number
        if note.kind == i.NoteKind.RUNG:
            session.rung = int(note.value)
        self.bridge.tell(i.Note(session.number, session.attempt.number, number, note.kind, note.value))

    def ended(self, attempt: Attempt, outcome: Outcome, load: tuple[float, ...] = ()) -> None:
        """The one end of an attempt that did not come to stand."""
        session = attempt.session
        if session.attempt is not attempt or session.standing:
            return
        session.attempt = None
        if attempt.timer:
            attempt.timer.cancel()
        self.counts[f"ended_{outcome.name.lower()}"] += 1
        took = (self.loop.now() - attempt.began) * 1000
        self.bridge.tell(
            i.AttemptEnded(session.number, attempt.number, attempt.server.number, outcome, False, took, load)
        )

    def timed_out(self, attempt: Attempt) -> None:
        """No answer in time. What never left is told as no connection: it provably did not run."""
        left = self.end_wait(attempt)
        self.ended(attempt, Outcome.TIMEOUT if left else Outcome.CONNECT_FAILED)

    def lost(self, session: Session) -> None:
        """Its server is gone, and with it the session."""
        self.viewers.release(session, messages.down(session.ref, CUT))
        self.over(session, Outcome.RESET)

    def over(self, session: Session, outcome: Outcome, load: tuple[float, ...] = ()) -> None:
        """The one end of a session that stood."""
        attempt = session.attempt
        assert attempt
        self.standing -= 1
        self.counts[f"over_{outcome.name.lower()}"] += 1
        session.standing = False
        self.drop(session)
        attempt.server.falls(session)
        took = (self.loop.now() - attempt.began) * 1000
        self.bridge.tell(
            i.AttemptEnded(session.number, attempt.number, attempt.server.number, outcome, True, took, load)
        )

    def cut(self, session: Session, cause: int) -> None:
        if session.attempt:
            server = session.attempt.server
            server.orders.pop((session.ref, "step"), None)
            server.order(session.ref, "down", messages.down(session.ref, cause))

    # what the module decides

    def set_up(self, action: i.SetUp) -> None:
        left = self.leaving.get(action.id)  # in this very call: the module waits for the end of this attempt
        session = self.by_number.get(action.id) or left
        if session is None:
            return
        now = self.loop.now()
        number = session.attempts
        session.attempts += 1
        left_s = session.deadline - now
        limit_s = min(left_s, action.timeout_ms / 1000) if action.timeout_ms > 0 else left_s
        server = self.servers.by_number.get(action.server)
        moot = number >= self.settings.max_attempts or left_s <= 0 or session.attempt is not None
        if moot or left or server is None or not server.listed:
            self.counts["ended_moot"] += 1  # nothing is sent: too many, two at once, nowhere, or too late
            self.bridge.tell(i.AttemptEnded(action.id, number, action.server, Outcome.MOOT, False, 0.0))
            return
        attempt = session.attempt = Attempt(session, number, server, now)
        attempt.timer = self.loop.call_later(limit_s, self.timed_out, attempt)
        self.counts["attempts"] += 1
        server.submit(attempt)

    def set_rung(self, action: i.SetRung) -> None:
        session = self.by_number.get(action.id)
        if session is None:
            return
        session.rung = action.rung
        if session.standing and session.attempt:
            self.counts["steps"] += 1
            session.attempt.server.order(session.ref, "step", messages.step(session.ref, action.rung))

    def refuse(self, action: i.Refuse) -> None:
        pause = action.pause_ms if self.settings.pause_advice else 0.0
        self.final(action.id, messages.down, "refused", REFUSED, pause)

    def fail(self, action: i.Fail) -> None:
        self.final(action.id, messages.down, "failed", FAILED)

    def final(
        self, number: int, line: Callable[..., bytes], name: str, cause: int, pause: float = 0.0
    ) -> None:
        """The module's last word, at once."""
        session = self.by_number.get(number)
        if session is None or session.standing:
            return
        self.counts[name] += 1
        viewer, attempt = session.viewer, session.attempt
        self.drop(session)
        if attempt:
            self.end_wait(attempt)
        if viewer:
            viewer.send(line(session.ref, cause, pause))

    def move(self, action: i.Move) -> None:
        session = self.by_number.get(action.id)
        if session and session.standing:
            self.counts["moved"] += 1
            self.cut(session, ENDED_BY_VIEWER)
            self.viewers.release(session, messages.shift(session.ref))
            self.over(session, Outcome.CANCELLED)

    def cancel(self, action: i.Cancel) -> None:
        session = self.by_number.get(action.id)
        attempt = session.attempt if session and not session.standing else None
        if attempt and attempt.number == action.attempt:
            left = self.end_wait(attempt)
            self.ended(attempt, Outcome.CANCELLED if left else Outcome.MOOT)

    def fail_open(self) -> None:
        """Guards what was taken against the kill after SIGTERM: it fails now rather than go unanswered."""
        for session in [s for s in self.by_ref.values() if not s.standing]:
            self.counts["failed_at_end"] += 1
            self.final(session.number, messages.down, "failed", FAILED)

    def sweep(self) -> None:
        """Guards against a set-up that nobody decides on: it gets its answer by its deadline all the same."""
        now = self.loop.now()
        for viewer in list(self.viewers.links):
            for session in list(viewer.open.values()):
                if session.attempt is None and now > session.deadline:
                    self.counts["overdue"] += 1
                    self.leave(session)
                    self.final(session.number, messages.down, "failed", FAILED)
