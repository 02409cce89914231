"""The interface of the decision module: settings, events and actions.

Times are milliseconds, rates kB a second. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from math import inf


class Repeat(Enum):
    """What a second set-up of one session does."""

    SAFE = "safe"  # nothing
    KEYED = "keyed"  # nothing, within a group of servers and a window
    PAID = "paid"  # harm: it is paid for at set-up


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 200
    MOOT = 410
    CANCELLED = 499
    ERROR = 500
    CONNECT_FAILED = 502
    FULL = 503
    TIMEOUT = 504
    RESET = 598


class ServerState(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    FULL = 0
    FAILED = 1
    CACHED = 2
    CHANGES = 4


class NoteKind(IntEnum):
    SHARE = 1  # share of the rate delivered at the server
    RUNG = 2
    LINK = 3  # asked of the server's link over what it gives
    UPLINK = 4  # the same of its rack's uplink


@dataclass(frozen=True)
class SessionClass:
    worth: float
    repeat: Repeat
    aim_ms: float
    deadline_ms: float
    keyed_group: str = "all"
    keyed_window_ms: float = 0.0
    floor: int = 0
    top: int = 99
    scale: float = 1.0  # its rates over the ladder's
    seats: int = 0  # sessions of one title that a front may hold; 0: no cap


@dataclass(frozen=True)
class Tenant:
    quota_per_s: float  # over all fronts; 0: not told


@dataclass(frozen=True)
class Settings:
    classes: tuple[SessionClass, ...]
    ladder_kb: tuple[float, ...]  # rate of each rung
    ladder_worth: tuple[float, ...]  # what each rung earns of the class's worth
    places_by_kind: tuple[int, ...]  # streams that a server of the kind runs at most
    link_kb_per_weight: float
    cells: int
    fronts: int = 1
    index: int = 0
    zone: int = 0
    racks: int = 0  # 0: no racks told
    uplink_kb: float = 0.0  # mean uplink of a rack; 0: not told
    all_links_kb: float = 0.0  # all links together; 0: not told
    weights_are_sizes: bool = False
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    full_from: float = 0.0  # a server turns set-ups away at this link use; 0: never
    report_delay_ms: float = 1000.0
    reports_every_ms: float = 0.0  # 0: no notes of link use while playing
    report_fields: tuple[str, ...] = ()
    stall_cost: float = 0.0
    switch_cost_s: float = 0.0
    move_cost: float = 0.0
    may_probe: bool = False
    may_message_peers: bool = False
    subscribes: bool = False  # the list must be asked for
    pause_advice: bool = True
    max_pause_ms: float = 0.0
    max_attempts: int = 1
    connect_timeout_ms: float = 250.0
    cold_from: float = 1.0
    warm_up_ms: float = 0.0
    overload_factor: float = 1.0
    tip_after_ms: float = 0.0
    retry_free: float | None = None  # None: further attempts are not rationed
    retry_share: float = 0.0
    retry_span_ms: float = 0.0
    cross_zone_cost: float = 0.0  # of a session that plays in another zone, as a part of the result

    def __post_init__(self) -> None:
        """What no front can work with is refused at start, with the name of the setting."""
        checks = {
            "fronts": self.fronts >= 1,
            "classes": bool(self.classes),
            "ladder_kb": bool(self.ladder_kb) and min(self.ladder_kb) > 0,
            "ladder_worth": len(self.ladder_worth) == len(self.ladder_kb),
            "places_by_kind": bool(self.places_by_kind) and min(self.places_by_kind) > 0,
            "link_kb_per_weight": 0 < self.link_kb_per_weight < inf,
            "cells": self.cells >= 1,
        }
        for name, fine in checks.items():
            if not fine:
                raise ValueError(f"settings: {name} cannot be {getattr(self, name)!r}")


@dataclass(frozen=True)
class Server:
    id: int
    kind: int
    weight: float
    zone: int
    cell: int
    ready_at: float  # 0: long ago
    state: ServerState


# Events


@dataclass(frozen=True)
class ServerList:
    kind: ListKind
    version: int
    servers: tuple[Server, ...]


@dataclass(frozen=True)
class Advice:
    """What is wished for a session from outside. But for `bars` it binds nothing: terms, room first."""

    prefer: tuple[tuple[str, int], ...] = ()  # (zone, cell, kind or server; number): these servers first
    avoid: tuple[tuple[str, int], ...] = ()  # these last
    cap: int = 99  # no rung over it; the floor stands
    start: int = 99  # begins at this rung or under it
    pause_ms: float = 0.0  # to be advised if it is refused; 0: as the settings say
    refuse: bool = False  # unless it has played
    bars: tuple[int, ...] = ()  # zones that it may not be set up in: a limit, which binds
    move: bool = False  # off its server, if it plays and another set-up does no harm


NO_ADVICE = Advice()


@dataclass(frozen=True)
class NewSession:
    id: int
    cls: int
    viewer: int
    title: int
    left_ms: float
    top: int  # the viewer's best rung
    first_cell: int
    cells: int
    tenant: int = 0
    length_ms: float = 0.0  # rough; 0: not told
    moved: bool = False
    repeated: bool = False
    advice: Advice = NO_ADVICE
    maybe_ran: bool = False  # under an earlier number, at this front or another
    waited_ms: float = 0.0  # since it was asked for: of the budget for attempts it counts from there


@dataclass(frozen=True)
class AdviceChanged:
    """Other advice for a session that is known: it replaces what was told before."""

    id: int
    advice: Advice


@dataclass(frozen=True)
class FleetChanged:
    """How many fronts there are now, and this one's rank among them, from 0."""

    fronts: int
    index: int


@dataclass(frozen=True)
class HandedOver:
    session: NewSession
    server: int


@dataclass(frozen=True)
class LearnedServerState:
    """What was learned of one server, with the times at which it was; `ready_at` tells its life."""

    server: int
    ready_at: float
    failure_score: float
    ejected_until: float
    failed_at: float
    other_fronts_kb: float  # asked of its link by other fronts
    updated_at: float


@dataclass(frozen=True)
class LearnedState:
    """What a front has learned, given by `Front.memory` and told to one that takes its place, or its own."""

    recorded_at: float
    mean_session_ms: float
    sessions_ended: int
    mean_set_up_ms: float
    set_up_deviation_ms: float
    servers: tuple[LearnedServerState, ...] = ()


@dataclass(frozen=True)
class Playing:
    id: int
    attempt: int
    server: int
    took_ms: float
    report: tuple[float, ...] = ()  # as in `AttemptEnded`, of now


@dataclass(frozen=True)
class Note:
    id: int
    attempt: int
    server: int
    kind: int
    value: float


@dataclass(frozen=True)
class AttemptEnded:
    id: int
    attempt: int
    server: int
    outcome: int
    closed: bool
    took_ms: float
    report: tuple[float, ...] = ()


@dataclass(frozen=True)
class ViewerGone:
    id: int


@dataclass(frozen=True)
class TimerDue:
    token: int


@dataclass(frozen=True)
class ProbeEnded:
    server: int
    outcome: int
    took_ms: float
    report: tuple[float, ...] = ()


@dataclass(frozen=True)
class PeerMessage:
    sender: int
    data: bytes


Event = (
    ServerList
    | NewSession
    | AdviceChanged
    | FleetChanged
    | HandedOver
    | LearnedState
    | Playing
    | Note
    | AttemptEnded
    | ViewerGone
    | TimerDue
    | ProbeEnded
    | PeerMessage
)

# Reasons: why a decision was as it was, for who asks after the fact. They bind nothing.


class ReasonCode(IntEnum):
    """`value` in brackets."""

    DRAINING = 1
    ALREADY_TRIED = 2  # in this session already
    RECENT_FAILURE = 3  # fresh evidence against it, and the session is paid [evidence]
    EJECTED = 4  # left alone [ms more]
    COLD_START = 5  # not its turn yet
    FULL = 6  # known full [kB of room]
    AVOIDED = 7  # set aside by advice
    CANDIDATE = 8  # may be asked [kB of room]
    NO_ROOM = 9  # no room in its reserve or the pool [kB asked]
    RESERVE = 10  # taken, in its own reserve [kB]
    POOL = 11  # taken, in the pool [kB]
    SUB_RATED = 12  # taken, others were sub-rated for it [kB]
    NO_SEAT = 13  # no seat left [seats]
    GIVEN_UP = 14  # nobody has room, or no attempt is left [attempts]
    RUNG_LOWERED = 15  # to a lower rung: a pipe is over-asked [its fit]
    RUNG_RAISED = 16  # to a higher one: room stays [kB of it]
    RUNG_ADJUSTED = 17  # the rung that its set-up's report leaves room for [kB of it]
    ZONES_BARRED = 18  # all servers that it may be set up on lie in other zones [servers]


@dataclass(frozen=True)
class Reason:
    """`age_ms`: of what was known of the server's link; `server` 0: of none."""

    session: int
    server: int
    code: ReasonCode
    value: float = 0.0
    age_ms: float = 0.0


# Actions


@dataclass(frozen=True)
class SetUp:
    id: int
    server: int
    timeout_ms: float  # 0: until the viewer gives up


@dataclass(frozen=True)
class SetRung:
    id: int
    rung: int


@dataclass(frozen=True)
class Refuse:
    id: int
    pause_ms: float


@dataclass(frozen=True)
class Fail:
    id: int


@dataclass(frozen=True)
class Move:
    id: int


@dataclass(frozen=True)
class Cancel:
    id: int
    attempt: int


@dataclass(frozen=True)
class SetTimer:
    token: int
    after_ms: float


@dataclass(frozen=True)
class Probe:
    server: int


@dataclass(frozen=True)
class SendToPeers:
    data: bytes
    to: int | None = None  # None: all


@dataclass(frozen=True)
class Subscribe:
    on: bool


@dataclass(frozen=True)
class Reload:
    pass


@dataclass(frozen=True)
class LogMessage:
    text: str


Action = (
    SetUp
    | SetRung
    | Refuse
    | Fail
    | Move
    | Cancel
    | SetTimer
    | Probe
    | SendToPeers
    | Subscribe
    | Reload
    | LogMessage
)
