"""What was seen in a trial, in seconds from its beginning. Pure data; the judge reads nothing else."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

NEVER = float("inf")


@dataclass
class Request:
    """A set-up as its viewer saw it. `answers`: when, type, cause, description."""

    ref: str
    node: int
    process: int  # which of the node's processes, from 0
    paid: bool
    sent_at: float
    left_s: float
    answers: list[tuple[float, str, int, str]] = field(default_factory=list)
    given_up_at: float = NEVER
    connection_ended_at: float = NEVER
    released_at: list[float] = field(default_factory=list)  # after an answer `up`


@dataclass
class ServedSetUp:
    """A set-up as its media server saw it."""

    ref: str
    server: str
    node: int
    first_byte_at: float
    read_at: float
    ended_at: float = NEVER  # the answer was written, or the set-up was given up
    unread_since: float = NEVER  # the server hung from then on: a give-up may have arrived any time after
    cause: int = 0  # of a release before the answer
    description: str = ""  # of the answer, empty if there was none
    over_at: float = NEVER  # the end of the session
    release_sent_at: float = NEVER  # when the end was last written to a connection that stayed
    buffered: bool = False  # it was read when the server no longer hung: it may have come long before


class ListState(StrEnum):
    """The state of a server in the list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True)
class ListChange:
    """`number` is the event's number in the list."""

    at: float
    number: int
    server: str
    state: ListState


@dataclass(frozen=True)
class ListAnswer:
    """A whole, valid answer of discovery that was sent to a node."""

    at: float
    node: int
    number: int


@dataclass
class Process:
    """One process of a node."""

    node: int
    started_at: float
    known_number: int  # of the list in its configuration
    ready_at: float = NEVER
    terminated_at: float = NEVER  # first SIGTERM
    killed_at: float = NEVER
    ended_at: float = NEVER
    status: int | None = None


@dataclass(frozen=True)
class Trouble:
    """A time in which discovery did not answer a node as it should."""

    node: int
    begin: float
    end: float


@dataclass
class Record:
    """All that was seen in one trial."""

    requests: dict[str, Request] = field(default_factory=dict)
    set_ups: list[ServedSetUp] = field(default_factory=list)
    list_changes: list[ListChange] = field(default_factory=list)
    list_answers: list[ListAnswer] = field(default_factory=list)
    processes: list[Process] = field(default_factory=list)
    troubles: list[Trouble] = field(default_factory=list)
    foreign_set_ups: list[str] = field(default_factory=list)  # that no viewer sent
    longest_stall_s: float = 0.0  # of the trial's own loop
    ended_at: float = 0.0

    def processes_of(self, node: int) -> list[Process]:
        """The processes of a node, in order."""
        return [process for process in self.processes if process.node == node]

    def process_at(self, node: int, at: float) -> Process:
        """The process of a node that ran at a time."""
        return [process for process in self.processes_of(node) if process.started_at <= at][-1]

    def first_told(self, process: Process, change: ListChange) -> float:
        """When the process was first sent an answer that holds a change, or started with it."""
        if process.known_number >= change.number:
            return process.started_at
        return min(
            (
                answer.at
                for answer in self.list_answers
                if answer.node == process.node
                and answer.number >= change.number
                and process.started_at <= answer.at
            ),
            default=NEVER,
        )
