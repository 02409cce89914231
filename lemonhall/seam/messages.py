"""What a worker and the decider say to each other.

An *ask* is what the module knows as a session: a new one for each PLAY that is taken and for each move. Its
number is the worker's (the worker's own number in the upper 32 bits), unique for the life of a front. Times
named `at` or `deadline` are seconds of the machine's monotonic clock, which all processes of a front share.

`KIND` is the message's number on the wire, for ever. `FORM` has a letter a field:

    i u  64 bits, signed and unsigned    d  double    ?  flag
    s  text    b  bytes    f  doubles    p  pairs of text and integer    n  pairs of text and double

A later version may add fields at the end; `LATER` then says what they are where an older peer has not sent
them. A reader passes over fields and kinds that it does not know.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any, ClassVar

VERSION, LEAST = 1, 1  # of the messages: the newest and the oldest that this program speaks


class WhenFull(Enum):
    """What becomes of a message when too much waits already."""

    KEEP = "keep"  # sent all the same: each ask causes only so many
    NEWEST = "newest"  # the newest of its kind and ask is sent when there is room; older ones are left out
    REFUSE = "refuse"  # not taken: who wanted to send it answers in its place


class Message:
    __slots__ = ()
    KIND: ClassVar[int] = 0
    FORM: ClassVar[str] = ""
    LATER: ClassVar[dict[str, Any]] = {}
    FULL: ClassVar[WhenFull] = WhenFull.KEEP


def agree(version: int, least: int, their_version: int, their_least: int) -> int:
    """The version that two peers speak with one another; 0: there is none."""
    agreed = min(version, their_version)
    return agreed if agreed >= max(least, their_least) else 0


# from a worker


@dataclass(slots=True)
class Hello(Message):
    """The first on a link. `family`: of which parent it is. `build` names the program's text: only the same
    one reads the same settings."""

    KIND = 1
    FORM = "uuuuss"
    version: int
    least: int
    worker: int
    pid: int
    family: str
    build: str


@dataclass(slots=True)
class Asked(Message):
    """PLAY was taken, or a session was moved: one answer is owed by `deadline`.

    `tries`: attempts that were made for it before, under a decider that is gone. `ran`: one of them may have
    run. `unsent_turn`, `unsent_made`: of an attempt that the ledger has as out (in its turn, the how manieth)
    and that provably never ran; `unsent_made` 0: none.
    """

    KIND = 2
    FORM = "uiiuiiuiiuud???spssssss"
    FULL = WhenFull.REFUSE
    ask: int
    cls: int
    tenant: int
    title: int
    first_cell: int
    cells: int
    viewer: int
    top: int
    tries: int
    unsent_turn: int
    unsent_made: int
    deadline: float
    moved: bool
    again: bool
    ran: bool
    route: str
    prefer: tuple[tuple[str, int], ...]
    pool: str
    key: str
    session: str
    path: str
    viewer_name: str
    claim: str


@dataclass(slots=True)
class Playing(Message):
    """The first media of an attempt have come. `report`: numbers that came with the set-up's answer."""

    KIND = 3
    FORM = "uuidf"
    ask: int
    attempt: int
    server: int
    took_ms: float
    report: tuple[float, ...]


@dataclass(slots=True)
class Ended(Message):
    """The one end of an attempt that was told by `SetUp`.

    `left`: the request may have left. `closed`: nothing more is asked under this ask. `gone`: the viewer's
    session is over, so that nobody is asked for wishes.
    """

    KIND = 4
    FORM = "uuiidd????f"
    ask: int
    attempt: int
    server: int
    outcome: int
    took_ms: float
    played_ms: float
    left: bool
    closed: bool
    moving: bool
    gone: bool
    report: tuple[float, ...]


@dataclass(slots=True)
class Noted(Message):
    """A server's late word on a session."""

    KIND = 5
    FORM = "uuiid"
    FULL = WhenFull.NEWEST
    ask: int
    attempt: int
    server: int
    note: int
    value: float


@dataclass(slots=True)
class Gone(Message):
    """The viewer is gone. `out`: an attempt is being let go of; its end follows."""

    KIND = 6
    FORM = "u?"
    ask: int
    out: bool


@dataclass(slots=True)
class Lapsed(Message):
    """No word came by the deadline: the worker has given the viewer its answer."""

    KIND = 7
    FORM = "u"
    ask: int


@dataclass(slots=True)
class Over(Message):
    """A viewer's session is no more. `played_ms` below 0: it never played."""

    KIND = 8
    FORM = "d?s"
    played_ms: float
    vanished: bool
    session: str


@dataclass(slots=True)
class Carried(Message):
    """A session that plays, told to a decider that has not heard of it. `asked`: its `Asked`, as bytes.

    `memo`: what the decider that set it up wished to be remembered; `turn`, `made`: of its claim.
    """

    KIND = 9
    FORM = "uiiuudbb"
    ask: int
    server: int
    rung: int
    turn: int
    made: int
    since: float
    asked: bytes
    memo: bytes


@dataclass(slots=True)
class Counted(Message):
    """What was counted since the last, and what is open now."""

    KIND = 10
    FORM = "uun"
    viewers: int
    sessions: int
    counts: tuple[tuple[str, float], ...]


@dataclass(slots=True)
class Pong(Message):
    KIND = 11
    FORM = "d"
    at: float


# from the decider


@dataclass(slots=True)
class Welcome(Message):
    """The answer to `Hello`. `version` 0: they do not speak with one another.

    `store`, `pruned_s`: of the ledger that tokens are made for; store 0: there is none. `mine`: a worker of
    the parent that this decider has; another's plays on what it has and takes nothing new.
    """

    KIND = 32
    FORM = "uuuu?"
    version: int
    front: int
    store: int
    pruned_s: int
    mine: bool


@dataclass(slots=True)
class Configured(Message):
    """Settings from now on, pickled; `workers`: how many share the front's limits."""

    KIND = 33
    FORM = "ub"
    workers: int
    settings: bytes


@dataclass(slots=True)
class Listed(Message):
    """The box list, whole or what changed, in its own bytes."""

    KIND = 34
    FORM = "b"
    update: bytes


@dataclass(slots=True)
class Stored(Message):
    """Whether paid sessions can be taken, as far as the store goes."""

    KIND = 35
    FORM = "u?"
    pruned_s: int
    failing: bool


@dataclass(slots=True)
class SetUp(Message):
    """Try this server. `hold`: connect, but let nothing leave before `Cleared`."""

    KIND = 36
    FORM = "uuiiuudd?sb"
    FULL = WhenFull.REFUSE
    ask: int
    attempt: int
    server: int
    rung: int
    turn: int
    made: int
    rate_kb: float
    limit_s: float
    hold: bool
    address: str
    memo: bytes


@dataclass(slots=True)
class Cleared(Message):
    """The ledger has the attempt; `why` not empty: it has not, nothing may leave."""

    KIND = 37
    FORM = "uus"
    ask: int
    attempt: int
    why: str


@dataclass(slots=True)
class Rung(Message):
    KIND = 38
    FORM = "uid"
    FULL = WhenFull.NEWEST
    ask: int
    rung: int
    rate_kb: float


@dataclass(slots=True)
class Refused(Message):
    KIND = 39
    FORM = "uds"
    ask: int
    pause_ms: float
    reason: str


@dataclass(slots=True)
class Failed(Message):
    KIND = 40
    FORM = "ui"
    ask: int
    status: int


@dataclass(slots=True)
class Move(Message):
    KIND = 41
    FORM = "u"
    ask: int


@dataclass(slots=True)
class Cancel(Message):
    KIND = 42
    FORM = "uu"
    ask: int
    attempt: int


@dataclass(slots=True)
class Finish(Message):
    """What plays is ended in order; nobody asks again for it."""

    KIND = 46
    FORM = "us"
    ask: int
    why: str


@dataclass(slots=True)
class Ping(Message):
    """`own`: viewers of this worker, as it told last; `mean`: of one that takes new ones, as of then."""

    KIND = 43
    FORM = "ddu"
    at: float
    mean: float
    own: int


@dataclass(slots=True)
class Redirect(Message):
    """Ask viewers that play to go elsewhere."""

    KIND = 44
    FORM = "s"
    to: str


@dataclass(slots=True)
class Retire(Message):
    """Take nothing new. `end`: what plays is ended in order as well; else it comes to its end."""

    KIND = 45
    FORM = "?"
    end: bool


KINDS: dict[int, type[Message]] = {
    kind.KIND: kind
    for kind in (
        Hello,
        Asked,
        Playing,
        Ended,
        Noted,
        Gone,
        Lapsed,
        Over,
        Carried,
        Counted,
        Pong,
        Welcome,
        Configured,
        Listed,
        Stored,
        SetUp,
        Cleared,
        Rung,
        Refused,
        Failed,
        Move,
        Cancel,
        Finish,
        Ping,
        Redirect,
        Retire,
    )
}
