"""Connections from viewers: set-ups and what ends them, tests, and releases that wait for a connection."""

from __future__ import annotations

import socket
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from lemonhall.front.node.session import Session
from lemonhall.loop import Handler, Loop, Stream, listen
from lemonhall.loop.stream import LISTEN_BACKLOG, accept_queued
from lemonhall.node import bounds, messages
from lemonhall.node.lines import Lines, TooLong
from lemonhall.node.messages import Ack, Bad, Down, Names, NewSetUp, Test
from lemonhall.node.outcomes import BAD_MESSAGE

FOREVER = float("inf")
BAD_A_CONNECTION = 3  # messages that could be named but not used; then the connection is closed


class Viewer(Handler):
    """One connection from viewers; it may carry many sessions."""

    def __init__(self, desk: Viewers, sock: socket.socket) -> None:
        self.desk, self.lines = desk, Lines()
        self.open: dict[str, Session] = {}  # set-ups that are owed an answer here
        self.unsent: list[tuple[int, Session]] = []  # answers in the backlog, and where each ends
        # Releases written here that nobody has said were heard: when, where each ends, the word.
        self.releases: dict[str, tuple[float, int, bytes]] = {}
        self.since = self.used = desk.loop.now()
        self.half_since = 0.0  # when the message began that has no end yet
        self.useful = False  # it brought a message that could be used
        self.proven = False  # a session came to stand through it: whoever is there reads releases
        self.bad = 0
        self.stream = Stream(desk.loop, sock, self, bounds.BACKLOG_BYTES, max_read_bytes=bounds.GULP_BYTES)

    def on_data(self, view: memoryview) -> None:
        desk = self.desk
        self.used = desk.loop.now()
        self.lines.feed(view)
        try:
            while self.usable and (line := self.lines.take()) is not None:
                if line.strip():
                    self.hear(line)
        except TooLong:
            desk.counts["bad_too_long"] += 1
            self.finish()
            return
        if not self.lines.partial:
            self.half_since = 0.0
        elif not self.half_since:
            self.half_since = self.used

    def hear(self, line: bytes) -> None:
        desk = self.desk
        try:
            message = messages.from_viewer(line, desk.names)
        except Bad as bad:
            self.refuse_bad(bad)
            return
        self.useful = True
        if isinstance(message, NewSetUp):
            if len(self.open) >= bounds.OPEN_A_CONNECTION or not desk.on_new(self, message):
                # An answer under an id that is open would be that one's second answer: no word, a close.
                desk.counts["bad_id"] += 1
                self.finish()
        elif isinstance(message, Down):
            desk.on_down(self, message)
        elif isinstance(message, Ack):
            self.heard(message.ref)
        elif isinstance(message, Test):
            self.send(messages.tested(message.ref, desk.serves()))

    def refuse_bad(self, bad: Bad) -> None:
        """An error under its own id where it has one that nobody else uses, else a close."""
        desk = self.desk
        desk.counts["bad_message"] += 1
        desk.say("bad message from a viewer", why=bad.why)
        self.bad += 1
        if not bad.ref or desk.known(bad.ref) or self.bad >= BAD_A_CONNECTION:
            self.finish()
            return
        self.send(messages.down(bad.ref, BAD_MESSAGE))

    @property
    def usable(self) -> bool:
        return self.stream.open and not self.stream.closing

    def look(self) -> None:
        """Reads what lies there now: its leaving may be in it."""
        self.stream.read_pending()

    def send(self, line: bytes) -> None:
        self.stream.write(line)

    def release(self, ref: str, line: bytes) -> None:
        """Kept until it is heard, or so old that it has arrived or never will."""
        self.send(line)
        self.releases[ref] = self.desk.loop.now(), self.stream.bytes_written + self.stream.backlog_bytes, line
        while len(self.releases) > 1:
            oldest = next(iter(self.releases))
            if self.may_be_lost(self.releases[oldest]):
                break
            del self.releases[oldest]

    def may_be_lost(self, release: tuple[float, int, bytes]) -> bool:
        when, end, _ = release
        return self.desk.loop.now() - when < bounds.OVERTAKEN_S or end > self.stream.bytes_written

    def heard(self, ref: str) -> None:
        self.releases.pop(ref, None)

    def finish(self, within_s: float = bounds.LINGER_S) -> None:
        """What is open on it is given up now; what was written to it still arrives."""
        self.stream.close_lingering(within_s)
        if self.stream.open:  # else its close has been told
            self.desk.on_left(self)

    def on_backlog_full(self) -> None:
        self.desk.counts["viewer_reads_nothing"] += 1
        self.stream.abort()

    def on_closed(self, reason: str) -> None:
        self.desk.left(self)


class Viewers:
    """`on_new` is told of a set-up (False: not taken), `on_down` of its end, `on_left` of a close."""

    def __init__(
        self, loop: Loop, names: Names, most: int, counts: Counter[str], say: Callable[..., None]
    ) -> None:
        self.loop, self.names, self.most, self.counts, self.say = loop, names, most, counts, say
        self.links: dict[Viewer, None] = {}
        # Releases, each with the time up to which it waits for a proven connection, and up to which at all.
        self.waiting: deque[tuple[float, float, bytes]] = deque(maxlen=bounds.WAITING_ENDS)
        self.listener: socket.socket | None = None
        self.serves: Callable[[], bool] = lambda: True
        self.known: Callable[[str], bool] = lambda ref: False
        self.on_new: Callable[[Viewer, NewSetUp], bool]
        self.on_down: Callable[[Viewer, Down], None]
        self.on_left: Callable[[Viewer], None]

    def listen(self, address: tuple[str, int]) -> None:
        """Raises `OSError`."""
        self.listener = listen(self.loop, address, self.accept)

    def stop_listening(self) -> None:
        """What was accepted by the kernel was taken: it is accepted here before the door closes."""
        if self.listener:
            accept_queued(self.listener, self.accept, LISTEN_BACKLOG)
            self.loop.watch_socket(self.listener, 0, self.accept)
            self.listener.close()
            self.listener = None

    def accept(self, sock: socket.socket, peer: Any) -> None:
        if len(self.links) >= self.most and not self.make_room():
            self.counts["turned_away"] += 1
            sock.close()
            return
        self.counts["accepted"] += 1
        viewer = Viewer(self, sock)
        self.links[viewer] = None

    def make_room(self) -> bool:
        """Guards usual viewers against connections by the hundred: the one of least use makes way.

        One on which a set-up lies unread is of use: it was taken already.
        """
        idle = [v for v in self.links if not v.open]
        for least in sorted(idle, key=lambda v: (v.usable, v.proven, v.useful, v.used)):
            if least.stream.read_pending() and least.open:
                continue
            self.counts["evicted"] += 1
            if least.usable:
                least.stream.close()
            else:
                least.stream.abort()  # it was ending
            return True
        return False

    def left(self, viewer: Viewer) -> None:
        self.links.pop(viewer, None)
        self.on_left(viewer)
        releases, viewer.releases = viewer.releases, {}
        for release in releases.values():
            if viewer.may_be_lost(release):
                self.counts["released_again"] += 1
                self.release_elsewhere(release[2], release[0] + bounds.RELEASED_WITHIN_S)

    def release(self, session: Session, line: bytes) -> None:
        """What ends a session that stood: on its own connection, else on another, else on the next.

        Another is one through which a session came to stand. Guards against what was seen on the day of rude
        viewers: a release on a connection of theirs is read by nobody, and the session's own had made way.
        """
        own = session.viewer
        if own and own.usable:
            own.release(session.ref, line)
            return
        self.counts["released_elsewhere"] += 1
        self.release_elsewhere(line)

    def release_elsewhere(self, line: bytes, until: float = FOREVER) -> None:
        if other := self.best(True):
            other.send(line)
        else:
            self.waiting.append((self.loop.now() + bounds.RELEASE_WAITS_S, until, line))

    def best(self, proven: bool) -> Viewer | None:
        """The connection used last, of those that are proven or at least brought something usable."""
        able = [v for v in self.links if v.usable]
        able = [v for v in able if v.proven or (v.useful and not proven)]
        return max(able, key=lambda v: (v.proven, -v.bad, v.used), default=None)

    def send_waiting(self, last: bool = False) -> None:
        """`last`: the process ends, and a connection that is not proven is better than none."""
        while self.waiting:
            proven_until, until, line = self.waiting[0]
            other = self.best(self.loop.now() < proven_until and not last)
            if self.loop.now() < until:
                if other is None:
                    return
                other.send(line)
            self.waiting.popleft()

    def sweep(self) -> None:
        """Closes what says nothing usable, what stops within a message, and what idles for long."""
        now = self.loop.now()
        self.send_waiting()
        for viewer in list(self.links):
            if not viewer.usable:
                continue
            half = viewer.half_since and now - viewer.half_since > bounds.HALF_LINE_S
            silent = not viewer.useful and now - viewer.since > bounds.SILENT_S
            idle = not viewer.open and now - viewer.used > bounds.VIEWER_IDLE_S
            if half or silent or idle:
                used = viewer.used
                viewer.look()
                if viewer.open or (idle and viewer.used > used):
                    continue  # a set-up lay unread: it was taken
                self.counts["closed_half" if half else "closed_silent" if silent else "closed_idle"] += 1
                viewer.finish()
