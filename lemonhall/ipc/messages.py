"""Messages that the workers and the decider of a front exchange.

A *set-up request* is what the decision module knows as a session: each PLAY that is accepted and each move
creates a new one. The worker assigns its number (with the worker's own number in the upper 32 bits); it is
unique for the lifetime of a front. Fields named `deadline`, `sent_at` or `playing_since` are seconds of the
machine's monotonic clock, which all processes of a front share.

`KIND` is the message's number on the wire and never changes. `FIELD_CODES` has one letter per field:

    i u  64 bits, signed and unsigned    d  double    ?  flag
    s  text    b  bytes    f  doubles    p  pairs of text and integer    n  pairs of text and double

A later version may append fields; `DEFAULTS` then holds their values for messages of an older peer, which
lack them. A decoder skips fields and kinds that it does not know.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any, ClassVar

VERSION, MIN_VERSION = 1, 1  # newest and oldest version of the messages that this program supports


class OverflowPolicy(Enum):
    """What happens to a message when the send queue is over its limit."""

    ALWAYS_QUEUE = "keep"  # queued all the same: each request causes only a bounded number of these
    KEEP_NEWEST = "newest"  # only the newest of its kind and request is sent once there is room
    REJECT = "refuse"  # not queued: the caller answers the viewer or the module itself


class Message:
    """Base of all messages; their fields are encoded in the order of their declaration."""

    __slots__ = ()
    KIND: ClassVar[int] = 0
    FIELD_CODES: ClassVar[str] = ""
    DEFAULTS: ClassVar[dict[str, Any]] = {}
    OVERFLOW: ClassVar[OverflowPolicy] = OverflowPolicy.ALWAYS_QUEUE


def negotiate_version(version: int, min_version: int, peer_version: int, peer_min_version: int) -> int:
    """Returns the newest version that both peers support, or 0 if there is none."""
    agreed = min(version, peer_version)
    return agreed if agreed >= max(min_version, peer_min_version) else 0


# from a worker to the decider


@dataclass(slots=True)
class Hello(Message):
    """First message on a connection.

    `parent_id` identifies the parent process that started the worker. `build_id` identifies the program's
    source: pickled settings can be read only by the same build.
    """

    KIND = 1
    FIELD_CODES = "uuuuss"
    version: int
    min_version: int
    worker: int
    pid: int
    parent_id: str
    build_id: str


@dataclass(slots=True)
class SetUpRequested(Message):
    """A PLAY was accepted, or a session is being moved: one answer is due by `deadline`.

    `attempts_made` counts attempts for this request under earlier deciders; `maybe_ran` is set if one of them
    may have run. `unsent_turn` and `unsent_attempt` identify an attempt by its claim's turn and its ordinal
    in that turn: the ledger has it as in progress, but it provably never ran; `unsent_attempt` 0 means none.
    """

    KIND = 2
    FIELD_CODES = "uiiuiiuiiuud???spssssss"
    OVERFLOW = OverflowPolicy.REJECT
    request_id: int
    cls: int
    tenant: int
    title: int
    first_cell: int
    cells: int
    viewer: int
    top_rung: int
    attempts_made: int
    unsent_turn: int
    unsent_attempt: int
    deadline: float
    moved: bool
    again: bool
    maybe_ran: bool
    route: str
    prefer: tuple[tuple[str, int], ...]
    pool: str
    key: str
    session_id: str
    path: str
    viewer_name: str
    claim: str


@dataclass(slots=True)
class PlaybackStarted(Message):
    """The first media of an attempt arrived. `report` holds the numbers of the server's set-up answer."""

    KIND = 3
    FIELD_CODES = "uuidf"
    request_id: int
    attempt: int
    server: int
    took_ms: float
    report: tuple[float, ...]


@dataclass(slots=True)
class AttemptFinished(Message):
    """An attempt that `StartAttempt` ordered has ended; sent exactly once for each.

    `request_sent`: the request may have been sent to the server. `request_closed`: the set-up request is
    closed, no further attempt follows. `viewer_gone`: the viewer's session has ended, so hook scripts are not
    asked for advice.
    """

    KIND = 4
    FIELD_CODES = "uuiidd????f"
    request_id: int
    attempt: int
    server: int
    outcome: int
    took_ms: float
    played_ms: float
    request_sent: bool
    request_closed: bool
    moving: bool
    viewer_gone: bool
    report: tuple[float, ...]


@dataclass(slots=True)
class ServerNote(Message):
    """A value that a server reported about a session after its set-up."""

    KIND = 5
    FIELD_CODES = "uuiid"
    OVERFLOW = OverflowPolicy.KEEP_NEWEST
    request_id: int
    attempt: int
    server: int
    note_kind: int
    value: float


@dataclass(slots=True)
class ViewerGone(Message):
    """The viewer has left. `attempt_open`: an attempt is being torn down; its `AttemptFinished` follows."""

    KIND = 6
    FIELD_CODES = "u?"
    request_id: int
    attempt_open: bool


@dataclass(slots=True)
class DeadlineExpired(Message):
    """The decider did not answer by the deadline, so the worker has answered the viewer itself."""

    KIND = 7
    FIELD_CODES = "u"
    request_id: int


@dataclass(slots=True)
class SessionClosed(Message):
    """A viewer's session has ended. A negative `played_ms` means that it never played."""

    KIND = 8
    FIELD_CODES = "d?s"
    played_ms: float
    vanished: bool
    session_id: str


@dataclass(slots=True)
class OngoingSession(Message):
    """A playing session, reported to a decider that does not know it.

    `request` is its encoded `SetUpRequested`; `memo` is what the decider that set it up wanted to keep;
    `claim_turn` and `claim_attempts` belong to its claim.
    """

    KIND = 9
    FIELD_CODES = "uiiuudbb"
    request_id: int
    server: int
    rung: int
    claim_turn: int
    claim_attempts: int
    playing_since: float
    request: bytes
    memo: bytes


@dataclass(slots=True)
class WorkerCounters(Message):
    """Counter increments since the last message, and what is open now."""

    KIND = 10
    FIELD_CODES = "uun"
    viewers: int
    sessions: int
    counts: tuple[tuple[str, float], ...]


@dataclass(slots=True)
class Pong(Message):
    KIND = 11
    FIELD_CODES = "d"
    sent_at: float


# from the decider to a worker


@dataclass(slots=True)
class Welcome(Message):
    """Answer to `Hello`. `version` 0 means that the two have no version in common.

    `store` and `pruned_s` belong to the ledger that claim tokens are made for; `store` 0 means that there is
    none. `takes_viewers` is set for a worker of the parent that this decider has; any other worker keeps the
    sessions that it has and accepts no new viewers.
    """

    KIND = 32
    FIELD_CODES = "uuuu?"
    version: int
    front: int
    store: int
    pruned_s: int
    takes_viewers: bool


@dataclass(slots=True)
class Configuration(Message):
    """Pickled settings that apply from now on. `workers`: how many workers share the front's limits."""

    KIND = 33
    FIELD_CODES = "ub"
    workers: int
    settings: bytes


@dataclass(slots=True)
class ServerListUpdate(Message):
    """The server list, either complete or as a change, in its own encoding."""

    KIND = 34
    FIELD_CODES = "b"
    update: bytes


@dataclass(slots=True)
class StoreStatus(Message):
    """Whether the store is able to record paid sessions."""

    KIND = 35
    FIELD_CODES = "u?"
    pruned_s: int
    failing: bool


@dataclass(slots=True)
class StartAttempt(Message):
    """Try this server. `wait_for_ledger`: connect, but send nothing before `AttemptRecorded`."""

    KIND = 36
    FIELD_CODES = "uuiiuudd?sb"
    OVERFLOW = OverflowPolicy.REJECT
    request_id: int
    attempt: int
    server: int
    rung: int
    claim_turn: int
    claim_attempts: int
    rate_kb: float
    timeout_s: float
    wait_for_ledger: bool
    address: str
    memo: bytes


@dataclass(slots=True)
class AttemptRecorded(Message):
    """The ledger has recorded the attempt. If `error` is not empty it has not, and nothing may be sent."""

    KIND = 37
    FIELD_CODES = "uus"
    request_id: int
    attempt: int
    error: str


@dataclass(slots=True)
class ChangeRung(Message):
    KIND = 38
    FIELD_CODES = "uid"
    OVERFLOW = OverflowPolicy.KEEP_NEWEST
    request_id: int
    rung: int
    rate_kb: float


@dataclass(slots=True)
class RefuseRequest(Message):
    KIND = 39
    FIELD_CODES = "uds"
    request_id: int
    pause_ms: float
    reason: str


@dataclass(slots=True)
class FailRequest(Message):
    KIND = 40
    FIELD_CODES = "ui"
    request_id: int
    status: int


@dataclass(slots=True)
class MoveSession(Message):
    KIND = 41
    FIELD_CODES = "u"
    request_id: int


@dataclass(slots=True)
class CancelAttempt(Message):
    KIND = 42
    FIELD_CODES = "uu"
    request_id: int
    attempt: int


@dataclass(slots=True)
class EndSession(Message):
    """End a playing session in order; it is not requested again. `bye_reason` goes into the RTCP BYE."""

    KIND = 46
    FIELD_CODES = "us"
    request_id: int
    bye_reason: str


@dataclass(slots=True)
class Ping(Message):
    """`worker_viewers`: viewers of this worker by its last report; `mean_viewers`: the mean, at the same
    time, over the workers that accept viewers."""

    KIND = 43
    FIELD_CODES = "ddu"
    sent_at: float
    mean_viewers: float
    worker_viewers: int


@dataclass(slots=True)
class RedirectViewers(Message):
    """Ask viewers with playing sessions to connect to `location` instead."""

    KIND = 44
    FIELD_CODES = "s"
    location: str


@dataclass(slots=True)
class RetireWorker(Message):
    """Accept no new viewers. `end_sessions`: also end playing sessions in order; otherwise they play on."""

    KIND = 45
    FIELD_CODES = "?"
    end_sessions: bool


KINDS: dict[int, type[Message]] = {
    kind.KIND: kind
    for kind in (
        Hello,
        SetUpRequested,
        PlaybackStarted,
        AttemptFinished,
        ServerNote,
        ViewerGone,
        DeadlineExpired,
        SessionClosed,
        OngoingSession,
        WorkerCounters,
        Pong,
        Welcome,
        Configuration,
        ServerListUpdate,
        StoreStatus,
        StartAttempt,
        AttemptRecorded,
        ChangeRung,
        RefuseRequest,
        FailRequest,
        MoveSession,
        CancelAttempt,
        EndSession,
        Ping,
        RedirectViewers,
        RetireWorker,
    )
}
