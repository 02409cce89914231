"""The interface of the decision module: settings, events, actions and reasons.

Times are in milliseconds, rates in kB/s. The module decides nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from math import inf


class Repeat(Enum):
    """Whether a session may be set up a second time."""

    SAFE = "safe"
    KEYED = "keyed"  # only within a group of servers and a time window
    PAID = "paid"  # no, because each set-up is charged


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
    """State of a server by the server list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """What a server list holds."""

    FULL = 0
    FAILED = 1  # nothing: the list could not be read
    CACHED = 2  # all servers, as stored earlier
    CHANGES = 4  # the servers that changed


class NoteKind(IntEnum):
    """What a server reports in a note while a session plays."""

    SHARE = 1  # part of the sessions' rates that the server delivers
    RUNG = 2
    LINK = 3  # rate demanded of the server's link over its capacity
    UPLINK = 4  # the same for the uplink of its rack


@dataclass(frozen=True)
class SessionClass:
    """A class of sessions. Its representation is compared at a handover, so its fields keep their names."""

    worth: float
    repeat: Repeat
    aim_ms: float
    deadline_ms: float
    keyed_group: str = "all"
    keyed_window_ms: float = 0.0
    floor: int = 0
    top: int = 99
    scale: float = 1.0  # of the rates of the ladder
    seats: int = 0  # maximum of sessions of one title at a front; 0: no limit


@dataclass(frozen=True)
class Tenant:
    """A partner whose sessions count for less worth above its quota."""

    quota_per_s: float  # new sessions over all fronts; 0: no quota


@dataclass(frozen=True)
class Settings:
    """Settings of the decision module; for rates and counts, 0 means unknown unless stated otherwise."""

    classes: tuple[SessionClass, ...]
    ladder_kb: tuple[float, ...]  # rate of each rung
    ladder_worth: tuple[float, ...]  # of each rung, as part of the worth of the class
    places_by_kind: tuple[int, ...]  # maximum of streams of a server of each kind
    link_kb_per_weight: float
    cells: int
    fronts: int = 1
    index: int = 0
    zone: int = 0
    racks: int = 0
    uplink_kb: float = 0.0  # mean uplink of a rack
    all_links_kb: float = 0.0  # all links together
    weights_are_sizes: bool = False
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    full_from: float = 0.0  # link use from which a server refuses set-ups; 0: never
    report_delay_ms: float = 1000.0
    reports_every_ms: float = 0.0  # period of the notes of link use while playing; 0: none
    report_fields: tuple[str, ...] = ()
    stall_cost: float = 0.0
    switch_cost_s: float = 0.0
    move_cost: float = 0.0
    may_probe: bool = False
    may_message_peers: bool = False
    subscribes: bool = False  # whether the server list must be subscribed to
    pause_advice: bool = True
    max_pause_ms: float = 0.0
    max_attempts: int = 1
    connect_timeout_ms: float = 250.0
    cold_from: float = 1.0
    warm_up_ms: float = 0.0
    overload_factor: float = 1.0
    tip_after_ms: float = 0.0
    retry_free: float | None = None  # retries in each span, beside their share; None: no limit
    retry_share: float = 0.0
    retry_span_ms: float = 0.0
    cross_zone_cost: float = 0.0  # of a session that plays in another zone, as a part of the result

    def __post_init__(self) -> None:
        """Raises `ValueError` with the name of a setting that no front can work with."""
        checks = {
            "fronts": self.fronts >= 1,
            "classes": bool(self.classes),
            "ladder_kb": bool(self.ladder_kb) and min(self.ladder_kb) > 0,
            "ladder_worth": len(self.ladder_worth) == len(self.ladder_kb),
            "places_by_kind": bool(self.places_by_kind) and min(self.places_by_kind) > 0,
            "link_kb_per_weight": 0 < self.link_kb_per_weight < inf,
            "cells": self.cells >= 1,
        }
        for name, valid in checks.items():
            if not valid:
                raise ValueError(f"settings: {name} cannot be {getattr(self, name)!r}")


@dataclass(frozen=True)
class Server:
    """An entry of the server list."""

    id: int
    kind: int
    weight: float
    zone: int
    cell: int
    ready_at: float  # start of its current incarnation; 0: long ago
    state: ServerState


# Events


@dataclass(frozen=True)
class ServerList:
    """A new server list or changes of it."""

    kind: ListKind
    version: int
    servers: tuple[Server, ...]


@dataclass(frozen=True)
class Advice:
    """Wishes from outside the module for a session. Only `bars` binds; terms and room take precedence."""

    prefer: tuple[tuple[str, int], ...] = ()  # ("zone", "cell", "kind" or "server"; number): use these first
    avoid: tuple[tuple[str, int], ...] = ()  # use these last
    cap: int = 99  # highest rung; it does not lower the floor
    start: int = 99  # highest rung at the set-up
    pause_ms: float = 0.0  # to advise if the session is refused; 0: that of the settings
    refuse: bool = False  # unless the session has played
    bars: tuple[int, ...] = ()  # zones in which the session must not be set up: a limit
    move: bool = False  # to another server, if it plays and may be set up again


NO_ADVICE = Advice()


@dataclass(frozen=True)
class NewSession:
    """A set-up request that must be answered within `left_ms`."""

    id: int
    cls: int  # index of its class
    viewer: int
    title: int
    left_ms: float
    top: int  # highest rung that the viewer can play
    first_cell: int  # the title is held by `cells` cells from this one
    cells: int
    tenant: int = 0  # index
    length_ms: float = 0.0  # estimated; 0: unknown
    moved: bool = False
    repeated: bool = False
    advice: Advice = NO_ADVICE
    maybe_ran: bool = False  # an earlier request for the session, here or at another front, may have run
    waited_ms: float = 0.0  # since the viewer's request, from which it counts for the budget of retries


@dataclass(frozen=True)
class AdviceChanged:
    """New advice for a known session, in place of the earlier advice."""

    id: int
    advice: Advice


@dataclass(frozen=True)
class FleetChanged:
    """The number of fronts that now run, and this front's rank among them, from 0."""

    fronts: int
    index: int


@dataclass(frozen=True)
class HandedOver:
    """A session that plays and was handed over by the predecessor."""

    session: NewSession
    server: int


@dataclass(frozen=True)
class LearnedServerState:
    """Learned state of one server. `ready_at` identifies its incarnation."""

    server: int
    ready_at: float
    failure_score: float
    ejected_until: float
    failed_at: float
    other_fronts_kb: float  # use of its link by other fronts, as reported at `updated_at`
    updated_at: float


@dataclass(frozen=True)
class LearnedState:
    """Learned state of a front, from `Front.memory`: an event for its successor or its own restart."""

    recorded_at: float
    mean_session_ms: float
    sessions_ended: int
    mean_set_up_ms: float
    set_up_deviation_ms: float
    servers: tuple[LearnedServerState, ...] = ()


@dataclass(frozen=True)
class Playing:
    """The set-up succeeded after `took_ms`."""

    id: int
    attempt: int
    server: int
    took_ms: float
    report: tuple[float, ...] = ()  # current values of `Settings.report_fields`


@dataclass(frozen=True)
class Note:
    """A server's report of a value of `NoteKind` while the session plays."""

    id: int
    attempt: int
    server: int
    kind: int
    value: float


@dataclass(frozen=True)
class AttemptEnded:
    """An attempt ended with a value of `Outcome`."""

    id: int
    attempt: int
    server: int
    outcome: int
    closed: bool  # the session is over, so there is nothing to decide
    took_ms: float
    report: tuple[float, ...] = ()  # values of `Settings.report_fields`


@dataclass(frozen=True)
class ViewerGone:
    """The viewer left while an attempt was out."""

    id: int


@dataclass(frozen=True)
class TimerDue:
    """The timer of `SetTimer` with this token expired."""

    token: int


@dataclass(frozen=True)
class ProbeEnded:
    """The result of `Probe`."""

    server: int
    outcome: int
    took_ms: float
    report: tuple[float, ...] = ()


@dataclass(frozen=True)
class PeerMessage:
    """A message of `SendToPeers` from another front."""

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

# Reasons explain decisions afterwards and have no effect.


class ReasonCode(IntEnum):
    """The reason of a decision. The meaning of `Reason.value` is in brackets."""

    DRAINING = 1
    ALREADY_TRIED = 2  # in this session
    RECENT_FAILURE = 3  # and the session is paid [failure score]
    EJECTED = 4  # [ms until it is used again]
    COLD_START = 5  # its slow start allows no set-up by this front now
    FULL = 6  # by its last report [room, kB/s]
    AVOIDED = 7  # by advice
    CANDIDATE = 8  # may be used [room, kB/s]
    NO_ROOM = 9  # neither in its reserve nor in the pool [rate, kB/s]
    RESERVE = 10  # used, in its reserve [rate, kB/s]
    POOL = 11  # used, in the pool [rate, kB/s]
    SUB_RATED = 12  # used, after sub-rating of other sessions [rate, kB/s]
    NO_SEAT = 13  # [seats of the title]
    GIVEN_UP = 14  # no server has room, or no attempt is left [attempts]
    RUNG_LOWERED = 15  # a link exceeds its target [target over use]
    RUNG_RAISED = 16  # [room, kB/s]
    RUNG_ADJUSTED = 17  # to the room that the set-up's report shows [room, kB/s]
    ZONES_BARRED = 18  # all servers with the title are in barred zones [servers listed]


@dataclass(frozen=True)
class Reason:
    """`age_ms`: age of the last report of the server's link. `server` 0: the reason concerns no server."""

    session: int
    server: int
    code: ReasonCode
    value: float = 0.0
    age_ms: float = 0.0


# Actions


@dataclass(frozen=True)
class SetUp:
    """Set the session up at the server."""

    id: int
    server: int
    timeout_ms: float  # 0: until the viewer gives up


@dataclass(frozen=True)
class SetRung:
    """Set the rung of the session."""

    id: int
    rung: int


@dataclass(frozen=True)
class Refuse:
    """Refuse the request and advise the viewer to retry after the pause."""

    id: int
    pause_ms: float


@dataclass(frozen=True)
class Fail:
    """Fail the request: a paid session that may have run must not be retried."""

    id: int


@dataclass(frozen=True)
class Move:
    """Move the session to another server."""

    id: int


@dataclass(frozen=True)
class Cancel:
    """Cancel the attempt."""

    id: int
    attempt: int


@dataclass(frozen=True)
class SetTimer:
    """Send `TimerDue` with this token after so long."""

    token: int
    after_ms: float


@dataclass(frozen=True)
class Probe:
    """Probe the server; `ProbeEnded` follows."""

    server: int


@dataclass(frozen=True)
class SendToPeers:
    """Send a message to one front, or to all others."""

    data: bytes
    to: int | None = None  # None: all


@dataclass(frozen=True)
class Subscribe:
    """Subscribe to the server list or cancel the subscription."""

    on: bool


@dataclass(frozen=True)
class Reload:
    """Load the server list again."""

    pass


@dataclass(frozen=True)
class LogMessage:
    """Write the text to the log."""

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
