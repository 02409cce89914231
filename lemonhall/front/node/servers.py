"""Connections to media servers: several set-ups on one, and a line back for what stands.

A connection belongs to a server's id, never to its address alone: another may have taken that since.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable

from lemonhall.front.node.session import Attempt, Session
from lemonhall.interface import Outcome
from lemonhall.loop import Handler, Loop, Stream
from lemonhall.node import bounds, messages
from lemonhall.node.lines import Lines, TooLong
from lemonhall.node.messages import Bad, Down, Names, Note, Up
from lemonhall.node.outcomes import GIVEN_UP

NEVER = float("-inf")
AGAIN = "down again"  # an end that is said for the second time, and not for a third


class Link(Handler):
    """One connection to a media server."""

    def __init__(self, server: MediaServer) -> None:
        self.server, self.lines, self.address = server, Lines(), server.address
        self.up = False
        self.open: dict[str, Attempt] = {}
        # Sessions ended by a word here lately: when it was written, its id, the word.
        self.ends: deque[tuple[float, str, bytes]] = deque(maxlen=bounds.ENDS_KEPT)
        desk = server.desk
        self.used = desk.loop.now()
        self.half_since = 0.0
        self.stream = Stream.connect(
            desk.loop, server.address, self, desk.connect_s, bounds.BACKLOG_BYTES, bounds.GULP_BYTES
        )

    def on_connected(self) -> None:
        self.up = True
        self.used = self.server.desk.loop.now()
        self.server.link_up(self)

    def on_backlog_full(self) -> None:
        # A server that reads nothing any more: what was written may have run, the rest waits for nobody.
        self.stream.abort()

    def on_data(self, view: memoryview) -> None:
        desk = self.server.desk
        self.used = desk.loop.now()
        self.lines.feed(view)
        try:
            while self.stream.open and (line := self.lines.take()) is not None:
                if line:
                    desk.hear(self, messages.from_server(line, desk.names))
        except (Bad, TooLong) as error:
            # What comes behind an unreadable message cannot be told apart from noise: the connection goes,
            # with the set-ups open on it; what stands belongs to no connection and lives on.
            desk.counts["server_unreadable"] += 1
            desk.say("unreadable from a server", server=self.server.id, why=str(error) or "too long")
            self.stream.abort()
        self.server.serve_waiting()  # a set-up that has ended leaves room

    def on_closed(self, reason: str) -> None:
        self.server.link_closed(self, reason)

    def send(self, line: bytes) -> None:
        self.used = self.server.desk.loop.now()
        self.stream.write(line)

    def order(self, ref: str, kind: str, line: bytes) -> None:
        self.send(line)
        if kind == "down":
            self.ends.append((self.used, ref, line))

    def put(self, attempt: Attempt, line: bytes) -> None:
        attempt.link, attempt.offset = self, self.stream.bytes_written + self.stream.backlog_bytes
        attempt.line = line
        self.open[attempt.session.ref] = attempt
        self.send(line)

    def left(self, attempt: Attempt) -> bool:
        """Whether any byte of it was handed to the kernel: if none was, it provably never ran."""
        return self.stream.bytes_written > attempt.offset

    def take_back(self, attempt: Attempt) -> bool:
        """Takes a set-up out of the backlog of which no byte has left; whether that was still so."""
        if self.left(attempt) or not self.stream.cancel_write(attempt.line):
            return False
        for other in self.open.values():
            if other.offset > attempt.offset:
                other.offset -= len(attempt.line)
        return True


class MediaServer:
    """A server as the list has it, with its connections and the sessions of this front there."""

    def __init__(self, desk: Servers, name: str, number: int) -> None:
        self.desk, self.id, self.number = desk, name, number
        self.address: tuple[str, int] = ("", 0)
        self.listed = False
        self.started_ms = 0.0
        self.links: list[Link] = []
        self.waiting: deque[Attempt] = deque()  # for a connection
        self.serving = False  # `serve_waiting` is under way
        self.orders: dict[tuple[str, str], bytes] = {}  # for sessions that stand, until a connection is up
        self.standing: dict[str, Session] = {}
        self.ordered_at = NEVER  # the last order that found no connection
        self.heard_at = NEVER  # a word on a session that stands, or the begin of the first
        self.up_at = NEVER  # a connection came up
        self.broken_at = NEVER  # the last connection was reset while sessions stood
        self.reset = False  # the last connection that stood was reset
        self.tried_at = self.failed_at = NEVER  # a connection was tried, did not come up

    def submit(self, attempt: Attempt) -> None:
        """Writes the set-up on a connection that has room, or has it wait for a new one."""
        self.waiting.append(attempt)
        self.serve_waiting()
        if attempt in self.waiting:
            self.dial()

    def usable(self) -> Link | None:
        now, desk = self.desk.loop.now(), self.desk
        for link in list(self.links):
            fresh = now - link.used < bounds.IDLE_PART * desk.idle_s  # else it may be closing at this moment
            able = link.up and link.address == self.address and fresh and len(link.open) < desk.streams
            # What is written after the server's close may have run for all that we could prove: read first.
            if able and link.stream.read_pending():
                return link
        return None

    def write(self, link: Link, attempt: Attempt) -> None:
        session = attempt.session
        if session.viewer:
            session.viewer.look()  # nothing is sent on for a viewer whose leaving has come
        if session.attempt is not attempt:
            return
        left_ms = (session.deadline - self.desk.loop.now()) * 1000
        if attempt.timer:
            left_ms = min(left_ms, (attempt.timer.when - self.desk.loop.now()) * 1000)
        link.put(attempt, messages.set_up(session.asked, left_ms, session.rung))

    def dial(self) -> None:
        """One connection at a time, as many as the waiting need."""
        if any(not link.up for link in self.links) or not self.address[1] or self.desk.ended:
            return
        self.tried_at = self.desk.loop.now()
        if not self.desk.make_room():
            self.desk.loop.call_soon(self.fail_waiting)
            return
        try:
            self.links.append(Link(self))
        except OSError as error:  # out of descriptors: nothing was sent
            self.desk.say("no connection could be made", server=self.id, why=str(error))
            self.desk.loop.call_soon(self.fail_waiting)

    def link_up(self, link: Link) -> None:
        self.up_at = self.desk.loop.now()
        orders, self.orders = self.orders, {}
        for (ref, kind), line in orders.items():
            link.order(ref, kind, line)
        self.serve_waiting()
        if self.waiting:
            self.dial()

    def serve_waiting(self) -> None:
        """Writes what waits while a connection has room.

        What is read on the way, at the connection and at the viewer's, calls this again. Guards against
        both writing: more than the connection has room for, or what the other has written already.
        """
        if self.serving:
            return
        self.serving = True
        try:
            while self.waiting and (link := self.usable()):
                if self.waiting:
                    self.write(link, self.waiting.popleft())
        finally:
            self.serving = False

    def moved(self) -> None:
        """Its address is another: no set-up goes to the old one, where another process may listen by now."""
        for link in list(self.links):
            if not link.up:
                link.stream.abort()

    def link_closed(self, link: Link, reason: str) -> None:
        desk = self.desk
        if link in self.links:
            self.links.remove(link)
        never_up = not link.up
        if not never_up:
            self.reset = reason == "reset"
        desk.counts[f"link_{reason}{'_new' if never_up else ''}"] += 1
        if self.standing and not self.links and not never_up and self.reset:
            self.broken_at = desk.loop.now()
        for when, ref, line in link.ends:
            if desk.loop.now() - when < bounds.OVERTAKEN_S:
                self.order(ref, AGAIN, line)
        link.ends.clear()
        for attempt in list(link.open.values()):
            if not link.left(attempt) and attempt.turns < 1:
                attempt.turns += 1  # nothing of it left: the same attempt, on another connection
                attempt.link = None
                self.waiting.append(attempt)
            else:
                outcome = Outcome.RESET if link.left(attempt) else Outcome.CONNECT_FAILED
                desk.on_ended(attempt, outcome, ())
        link.open.clear()
        if never_up and reason != "local":
            self.failed_at = desk.loop.now()
            self.serve_waiting()
            if not any(other.up and other.address == self.address for other in self.links):
                self.fail_waiting()  # else they wait for room on the others, as long as their time allows
            if reason == "refused" and self.reset and not any(other.up for other in self.links):
                # No process there: it reset its connections as it ended, and cut its sessions. One that
                # drains closes them in order and refuses new ones, and what stands there plays on.
                self.lose("refused")
        elif self.waiting:
            self.serve_waiting()
            if self.waiting:
                self.dial()

    def fail_waiting(self) -> None:
        """No connection: what waits for one provably never ran."""
        waiting, self.waiting = self.waiting, deque()
        for attempt in waiting:
            self.desk.on_ended(attempt, Outcome.CONNECT_FAILED, ())

    def lose(self, why: str, before: float = float("inf")) -> None:
        """The sessions here, set up before a time, are over and nobody could say so."""
        lost = [s for s in self.standing.values() if s.attempt is None or s.attempt.began < before]
        if lost:
            self.desk.counts[f"lost_{why}"] += len(lost)
            self.desk.say("sessions lost", server=self.id, why=why, sessions=len(lost))
        for session in lost:
            self.desk.on_lost(session)
        if not self.standing:
            self.orders.clear()

    def give_up(self, attempt: Attempt) -> bool:
        """Ends the wait for an attempt; whether anything of it may have left. The connection stays."""
        link, attempt.link = attempt.link, None
        if link is None:
            if attempt in self.waiting:
                self.waiting.remove(attempt)
            return False
        link.open.pop(attempt.session.ref, None)
        if self.waiting:
            self.desk.loop.call_soon(self.serve_waiting)
        if link.take_back(attempt) or not link.left(attempt):
            return False
        # Its answer may be on its way: what stands then does not end with the connection.
        link.order(attempt.session.ref, "down", messages.down(attempt.session.ref, GIVEN_UP))
        return True

    def order(self, ref: str, kind: str, line: bytes) -> None:
        """For a session that stands: at once, or with the next connection; the newest of a kind counts.

        An end whose connection breaks right behind it is said once more: a reset may have overtaken it.
        """
        for link in sorted(self.links, key=lambda link: link.address != self.address):
            if link.up and link.stream.open and not link.stream.closing:
                link.order(ref, kind, line)
                return
        self.orders[ref, kind] = line
        self.ordered_at = self.desk.loop.now()
        self.dial()

    def stands(self, session: Session) -> None:
        if not self.standing:
            self.heard_at = self.desk.loop.now()
            self.broken_at = NEVER
        self.standing[session.ref] = session

    def falls(self, session: Session) -> None:
        self.standing.pop(session.ref, None)
        if not self.standing:
            self.broken_at = NEVER
        self.desk.forget(self)

    def idle(self, link: Link, now: float) -> bool:
        old = link.address != self.address
        return link.up and not link.open and (old or now - link.used > bounds.IDLE_PART * self.desk.idle_s)

    def sweep(self, now: float) -> None:
        """Closes what idles, keeps a line to what stands, finds out who is silent for good."""
        desk = self.desk
        if now - self.ordered_at > bounds.ORDERS_KEPT_S:
            self.orders.clear()
        self.serve_waiting()
        if (self.waiting or self.orders) and now - self.tried_at > bounds.RECONNECT_S:
            self.dial()  # the last one did not come up, or came up late
        for link in list(self.links):
            if self.idle(link, now):
                if not self.standing or any(o is not link and o.up for o in self.links):
                    if link.stream.read_pending() and self.idle(
                        link, now
                    ):  # a word of the server's may lie there
                        link.stream.close()
                elif not any(not other.up for other in self.links):
                    self.dial()  # first the new line, then the old one goes
        if not self.standing:
            return
        silent = now - self.heard_at
        unsure = silent > desk.silence_s and self.up_at < now - desk.silence_s
        if (unsure or not self.links) and now - self.tried_at > bounds.RECONNECT_S:
            self.dial()  # a line for what stands; whether it comes up tells whether the machine lives
        # A machine that vanished says nothing and takes no connection. Where a connection was reset and only
        # a new one came up, somebody else may have taken the address: without a word it is the same. A
        # server that no list has told has no address: nobody will ever say that what was handed over there
        # is over.
        gone = self.failed_at > self.up_at or self.heard_at < self.broken_at or not self.address[1]
        if silent > bounds.LOST_AFTER_S and gone:
            self.lose("silent")


class Servers:
    """All media servers that are listed or hold sessions of this front.

    `on_up`, `on_down`, `on_note` tell of the protocol; `on_ended` of an attempt's end, `on_lost` of a session
    that stood and is over.
    """

    def __init__(
        self,
        loop: Loop,
        names: Names,
        streams: int,
        idle_s: float,
        connect_s: float,
        notes_every_s: float,
        most: int,
        counts: Counter[str],
        say: Callable[..., None],
    ) -> None:
        self.loop, self.names, self.counts, self.say = loop, names, counts, say
        self.streams, self.idle_s, self.connect_s, self.most = streams, idle_s, connect_s, most
        self.silence_s = max(bounds.SILENCE_FLOOR_S, min(notes_every_s, bounds.LOST_AFTER_S - 1.5))
        self.by_id: dict[str, MediaServer] = {}
        self.by_number: dict[int, MediaServer] = {}
        self.next_number = 1
        self.ended = False  # the process ends: no new connection
        self.on_up: Callable[[Link, Up], None]
        self.on_down: Callable[[Link, Down], None]
        self.on_note: Callable[[Link, Note], None]
        self.on_ended: Callable[[Attempt, Outcome, tuple[float, ...]], None]
        self.on_lost: Callable[[Session], None]

    def named(self, name: str) -> MediaServer:
        """The server of an id; one that is not listed has no address until the list tells it."""
        known = self.by_id.get(name)
        if known is None:
            known = MediaServer(self, name, self.next_number)
            self.next_number += 1
            self.by_id[name] = self.by_number[known.number] = known
        return known

    def forget(self, server: MediaServer) -> None:
        """A server that has left the list goes with its last session."""
        if server.listed or server.standing or server.waiting or server.orders:
            return
        if any(link.open for link in server.links):
            return
        self.by_id.pop(server.id, None)
        self.by_number.pop(server.number, None)
        for link in list(server.links):
            link.stream.close_lingering(
                bounds.LINGER_S
            )  # the last word there may be an end that has to arrive

    def hear(self, link: Link, message: object) -> None:
        if isinstance(message, Up):
            self.on_up(link, message)
        elif isinstance(message, Down):
            self.on_down(link, message)
        elif isinstance(message, Note):
            self.on_note(link, message)

    @property
    def connections(self) -> int:
        return sum(len(server.links) for server in self.by_id.values())

    def make_room(self) -> bool:
        """Whether one more connection is within the budget; the one idle longest makes way."""
        links = [link for server in self.by_id.values() for link in server.links]
        if len(links) < self.most:
            return True
        idle = [link for link in links if link.up and not link.open]
        if not idle:
            return False
        oldest = min(idle, key=lambda link: (bool(link.server.standing), link.used))
        oldest.stream.close()
        return True

    def sweep(self) -> None:
        now = self.loop.now()
        for server in list(self.by_id.values()):
            server.sweep(now)
            self.forget(server)
