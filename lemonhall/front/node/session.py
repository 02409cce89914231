"""What one set-up is while it is here: the session, and the attempt that is out or stands."""

from __future__ import annotations

from typing import Protocol

from lemonhall import interface as i
from lemonhall.loop import Stream, Timer
from lemonhall.node.messages import NewSetUp


class ViewerSide(Protocol):
    """The connection that a set-up came on."""

    open: dict[str, Session]
    unsent: list[tuple[int, Session]]
    stream: Stream
    proven: bool

    @property
    def usable(self) -> bool: ...

    def look(self) -> None: ...

    def send(self, line: bytes) -> None: ...

    def release(self, ref: str, line: bytes) -> None: ...


class ServerLink(Protocol):
    """The connection that an attempt was written on."""

    open: dict[str, Attempt]
    stream: Stream

    def left(self, attempt: Attempt) -> bool: ...

    def take_back(self, attempt: Attempt) -> bool: ...

    def order(self, ref: str, kind: str, line: bytes) -> None: ...


class ServerSide(Protocol):
    """The media server of an attempt."""

    id: str
    number: int
    heard_at: float
    orders: dict[tuple[str, str], bytes]

    def give_up(self, attempt: Attempt) -> bool: ...

    def stands(self, session: Session) -> None: ...

    def falls(self, session: Session) -> None: ...

    def order(self, ref: str, kind: str, line: bytes) -> None: ...


class Attempt:
    """One set-up of a session at one server, from the module's word to its one end."""

    __slots__ = ("began", "line", "link", "number", "offset", "server", "session", "timer", "turns")

    def __init__(self, session: Session, number: int, server: ServerSide, began: float) -> None:
        self.session, self.number, self.server, self.began = session, number, server, began
        self.link: ServerLink | None = None
        self.offset = 0  # of its first byte in what the link has written
        self.line = b""  # as it was written there
        self.turns = 0  # connections that broke before a byte of it was handed to the kernel
        self.timer: Timer | None = None


class Session:
    """`number` is the module's; `deadline` in seconds of the loop's clock."""

    __slots__ = (
        "asked",
        "attempt",
        "attempts",
        "deadline",
        "number",
        "ref",
        "rung",
        "standing",
        "told",
        "viewer",
    )

    def __init__(self, number: int, asked: NewSetUp, viewer: ViewerSide, deadline: float, rung: int) -> None:
        self.number, self.asked, self.ref, self.deadline = number, asked, asked.ref, deadline
        self.viewer: ViewerSide | None = viewer
        self.rung = rung
        self.attempt: Attempt | None = None
        self.attempts = 0
        self.standing = False
        self.told: i.NewSession | None = None  # as the module was told of it
