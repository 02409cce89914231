"""Replays a capture: passes the recorded events to the module and compares its decisions with the recorded.

Decisions are compared in their encoded form, so that values that print alike do not count as equal. This
module does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from lemonhall import decide, interface
from lemonhall.capture.capture_pb2 import Call, Header, Record
from lemonhall.capture.codec import CodecError, pack, unpack
from lemonhall.capture.snapshot import SnapshotError, restore_module

ModuleFactory = Callable[[interface.Settings, int], Any]


class ReplayError(ValueError):
    """The capture has no usable start, or holds calls that cannot be read."""


@dataclass
class ReplayedCall:
    """One call with its events, the recorded and the replayed decisions, and the reasons of the latter.

    `now` is the module's clock in ms; `same` tells whether both decisions are equal.
    """

    number: int
    now: float
    events: list[interface.Event]
    recorded: list[interface.Action]
    decided: list[interface.Action]
    reasons: list[interface.Reason] = field(default_factory=list)
    same: bool = True


@dataclass
class OtherRecord:
    """A record that is not a call of the module: a gap, or a note of another component."""

    record: Any


def decode_settings(header: Header) -> interface.Settings:
    """Returns the module's settings of a capture. Raises `ReplayError` if the header holds none."""
    values = unpack(header.settings)
    if len(values) != 1 or not isinstance(values[0], interface.Settings):
        raise ReplayError("the header holds no settings")
    return values[0]


class Replay:
    """Replays the records of a capture with the module of this version.

    `create_module` replaces that module, `settings` the recorded settings. With either, the replay starts
    at the first header of the capture and ignores snapshots, because a snapshot holds the state of the
    recorded module. With `with_reasons`, the reasons of each decision are collected.
    """

    def __init__(
        self,
        create_module: ModuleFactory = decide.Front,
        settings: interface.Settings | None = None,
        with_reasons: bool = False,
    ) -> None:
        self.create_module, self.settings, self.with_reasons = create_module, settings, with_reasons
        self.ignores_snapshots = create_module is not decide.Front or settings is not None
        self.header: Header | None = None
        self.module: Any = None
        self.next_number = 0

    def run(self, records: list[Record]) -> Iterator[ReplayedCall | OtherRecord]:
        """Yields each call that can be replayed, and gaps and notes between them. Raises `ReplayError`."""
        for record in records:
            kind = record.WhichOneof("what")
            if kind == "header":
                self.on_header(record.header)
            elif kind == "snapshot":
                self.on_snapshot(record.snapshot)
            elif kind == "call":
                if call := self.replay_call(record.call):
                    yield call
            else:
                if kind == "gap":
                    self.module = None  # its state is unknown until the next snapshot
                yield OtherRecord(record)
        if self.header is None:
            raise ReplayError("holds no header: its beginning is gone")

    def on_header(self, header: Header) -> None:
        if self.header is None:
            self.header = header
            self.at_start = True

    at_start = False  # True between the first header and the snapshot or call after it

    def on_snapshot(self, snapshot: Any) -> None:
        self.at_start = False
        if self.ignores_snapshots:
            if self.module is None and self.header:
                self.module, self.next_number = self.new_module(), snapshot.number
            return
        if self.module is not None and self.next_number == snapshot.number:
            return  # the replayed module is already in this state
        try:
            self.module, self.next_number = restore_module(snapshot.module), snapshot.number
        except SnapshotError as error:
            raise ReplayError(f"snapshot before call {snapshot.number}: {error}") from error

    def new_module(self) -> Any:
        assert self.header
        return self.create_module(self.settings or decode_settings(self.header), self.header.seed)

    def replay_call(self, call: Call) -> ReplayedCall | None:
        """Returns None if the module's state before the call is unknown.

        Raises `ReplayError` if calls before it are missing.
        """
        if self.at_start and self.header:
            self.module, self.next_number, self.at_start = self.new_module(), call.number, False
        if self.module is None or call.number < self.next_number:
            return None
        if call.number > self.next_number:
            raise ReplayError(f"calls {self.next_number} to {call.number - 1} are missing")
        self.next_number = call.number + 1
        try:
            events, recorded = unpack(call.events), unpack(call.actions)
        except CodecError as error:
            raise ReplayError(f"call {call.number}: {error}") from error
        if self.with_reasons and hasattr(self.module, "why"):
            self.module.why = []
        decided = list(self.module.handle(call.now, events))
        reasons = list(self.module.why or []) if self.with_reasons and hasattr(self.module, "why") else []
        same = pack(decided) == call.actions
        return ReplayedCall(call.number, call.now, events, recorded, decided, reasons, same)


@dataclass
class SessionDecisions:
    """The decisions on one session: servers of its set-ups, its rungs, and how it was ended."""

    servers: list[int] = field(default_factory=list)
    rungs: list[int] = field(default_factory=list)
    end: str = ""


def decisions_by_session(calls: list[ReplayedCall], decided: bool) -> dict[int, SessionDecisions]:
    """Collects the replayed decisions, or the recorded ones if `decided` is False."""
    by_session: dict[int, SessionDecisions] = {}
    for call in calls:
        for action in call.decided if decided else call.recorded:
            session_id = getattr(action, "id", None)
            if session_id is None:
                continue
            decisions = by_session.setdefault(session_id, SessionDecisions())
            if isinstance(action, interface.SetUp):
                decisions.servers.append(action.server)
            elif isinstance(action, interface.SetRung):
                decisions.rungs.append(action.rung)
            elif isinstance(action, interface.Refuse | interface.Fail):
                decisions.end = type(action).__name__.lower()
    return by_session


def differing_sessions(calls: list[ReplayedCall]) -> list[tuple[int, str]]:
    """Returns each session whose replayed decisions differ from the recorded ones, with a description.

    The module is given the recorded events, so it does not see the effects of its own decisions.
    """
    recorded, decided = decisions_by_session(calls, False), decisions_by_session(calls, True)
    found = []
    for session_id in sorted(recorded.keys() | decided.keys()):
        before, after = (
            recorded.get(session_id, SessionDecisions()),
            decided.get(session_id, SessionDecisions()),
        )
        differences = []
        if before.servers != after.servers:
            differences.append(f"servers {before.servers} then, {after.servers} now")
        if before.end != after.end:
            differences.append(f"{before.end or 'not refused'} then, {after.end or 'not refused'} now")
        if before.rungs != after.rungs:
            differences.append(f"rungs {before.rungs} then, {after.rungs} now")
        if differences:
            found.append((session_id, "; ".join(differences)))
    return found
