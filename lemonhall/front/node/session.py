"""The state of one set-up at this front: the session, and the attempt that is open or was established."""

from __future__ import annotations

from typing import Protocol

from lemonhall import interface
from lemonhall.loop import Stream, Timer
from lemonhall.node.messages import NewSetUp


class ViewerConnectionProtocol(Protocol):
    """The connection on which a set-up arrived."""

    open_sessions: dict[str, Session]
    established_sessions: dict[str, Session]
    unsent_answers: list[tuple[int, Session]]
    stream: Stream
    proven: bool

    @property
    def usable(self) -> bool: ...

    def read_pending(self) -> None: ...

    def send(self, line: bytes) -> None: ...

    def send_release(self, ref: str, line: bytes) -> None: ...


class ServerConnectionProtocol(Protocol):
    """The connection on which an attempt was sent."""

    open_attempts: dict[str, Attempt]
    stream: Stream

    def was_sent(self, attempt: Attempt) -> bool: ...

    def on_answer_overdue(self, attempt: Attempt) -> None: ...

    def cancel_set_up(self, attempt: Attempt) -> bool: ...

    def send_command(self, ref: str, kind: str, line: bytes) -> None: ...


class MediaServerProtocol(Protocol):
    """The media server of an attempt."""

    id: str
    number: int
    address: tuple[str, int]
    pending_commands: dict[tuple[str, str], bytes]

    def give_up_attempt(self, attempt: Attempt) -> bool: ...

    def on_answer_overdue(self, attempt: Attempt) -> None: ...

    def on_session_message(self, attempt: Attempt) -> None: ...

    def add_session(self, session: Session) -> None: ...

    def remove_session(self, session: Session) -> None: ...

    def send_command(self, ref: str, kind: str, line: bytes) -> None: ...


class Attempt:
    """One set-up of a session at one server, from the decider's action to its end."""

    __slots__ = (
        "connection",
        "line",
        "moves",
        "number",
        "offset",
        "sent_at",
        "server",
        "session",
        "started_at",
        "timer",
    )

    def __init__(self, session: Session, number: int, server: MediaServerProtocol, started_at: float) -> None:
        self.session, self.number, self.server, self.started_at = session, number, server, started_at
        self.connection: ServerConnectionProtocol | None = None
        self.offset = 0  # of its first byte among the bytes written to the connection
        self.line = b""  # as written to the connection
        self.sent_at = started_at  # when it was written to the connection
        self.moves = 0  # to another connection, because one broke before the kernel took a byte of the line
        self.timer: Timer | None = None


class Session:
    """`number` is the decider's id of the session; `deadline` is in seconds of the loop's clock."""

    __slots__ = (
        "attempt",
        "attempt_count",
        "deadline",
        "description_bytes",
        "established",
        "may_have_run",
        "new_session_event",
        "number",
        "ref",
        "rung",
        "set_up",
        "viewer",
    )

    def __init__(
        self,
        number: int,
        set_up: NewSetUp,
        viewer: ViewerConnectionProtocol,
        deadline: float,
        rung: int,
    ) -> None:
        self.number, self.set_up, self.ref, self.deadline = number, set_up, set_up.ref, deadline
        self.viewer: ViewerConnectionProtocol | None = viewer
        self.rung = rung
        self.description_bytes = 0  # of memory, counted while the set-up is open
        self.attempt: Attempt | None = None
        self.attempt_count = 0
        self.established = False
        self.may_have_run = False  # an attempt that has ended may have set it up
        self.new_session_event: interface.NewSession | None = None  # as sent to the decider
