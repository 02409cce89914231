"""Keeps the latest calls of a front's decision module in memory, as blocks that can be saved at any time.

Each segment begins with a header and a snapshot of the module, so it can be replayed without the segments
before it. Whole segments are dropped once they are older than the retention time or the ring exceeds its
size. This module does no I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lemonhall import interface
from lemonhall.capture.blocks import Block, encode_block
from lemonhall.capture.capture_pb2 import Call, Gap, Header, Record, Snapshot, Word
from lemonhall.capture.codec import pack

BLOCK_BYTES = 1 << 17  # uncompressed records after which a block is closed
BLOCK_MS = 1000.0


@dataclass
class RecordedCall:
    """One call of the module. `now` is the module's clock, `wall_ms` Unix time, both in ms."""

    number: int
    now: float
    wall_ms: float
    events: list[interface.Event]
    actions: list[interface.Action]


def session_ids(call: RecordedCall) -> set[int]:
    """Returns the ids of the sessions that the call's events and actions refer to."""
    found = set()
    for event_or_action in (*call.events, *call.actions):
        session_id = getattr(event_or_action, "id", None)
        if session_id is not None:
            found.add(session_id)
        elif isinstance(event_or_action, interface.HandedOver):
            found.add(event_or_action.session.id)
    return found


def pseudonymize(event: interface.Event, hash_viewer: Callable[[int], int]) -> interface.Event:
    """Replaces viewer ids, so that viewers can be distinguished in a capture but not identified."""
    if isinstance(event, interface.NewSession):
        return interface.NewSession(**{**vars(event), "viewer": hash_viewer(event.viewer)})
    if isinstance(event, interface.HandedOver):
        return interface.HandedOver(pseudonymize(event.session, hash_viewer), event.server)  # type: ignore[arg-type]
    return event


def rewrite_capture(
    records: list[Any], decisions: list[tuple[int, list[interface.Action]]], reason: str
) -> bytes:
    """Returns a capture file of the same calls with other decisions and a note of the reason.

    `decisions` holds the new actions by call number.
    """
    actions_by_call = dict(decisions)
    bodies, sessions, last_ms = [], set[int](), 0.0
    for record in records:
        if record.WhichOneof("what") == "call" and record.call.number in actions_by_call:
            record.call.actions = pack(actions_by_call[record.call.number])
            sessions |= set(record.call.sessions)
            last_ms = record.call.now
        # A snapshot holds the state of the module that made the earlier decisions.
        if record.WhichOneof("what") != "snapshot":
            bodies.append(record.SerializeToString())
    note = Word(now=last_ms, who="recorded anew", text=reason)
    bodies.append(Record(word=note).SerializeToString())
    return encode_block(bodies, 0.0, last_ms, len(decisions), sessions).data


@dataclass
class Segment:
    """Consecutive blocks that can be replayed on their own. `size` is their size in bytes."""

    blocks: list[Block]
    last_ms: float = 0.0
    size: int = 0


class CaptureRing:
    """Encodes records into blocks and keeps the latest segments.

    `header` is copied to the start of each segment; `keep_ms` and `max_bytes` limit the age and the size of
    what is kept. `hash_viewer` maps viewer ids to the recorded ones. `on_block` receives each block as it
    is completed, and whether the block starts a segment.
    """

    def __init__(
        self,
        header: Header,
        keep_ms: float,
        max_bytes: int,
        hash_viewer: Callable[[int], int] = lambda viewer: viewer,
        on_block: Callable[[Block, bool], object] = lambda block, starts_segment: None,
    ) -> None:
        self.header, self.keep_ms, self.max_bytes = header, keep_ms, max_bytes
        self.hash_viewer, self.on_block = hash_viewer, on_block
        self.segments: deque[Segment] = deque()
        # records of the block that is still open, their size in bytes, calls, sessions and time span
        self.records: list[bytes] = []
        self.records_size = self.calls = 0
        self.sessions: set[int] = set()
        self.first_ms = self.last_ms = 0.0
        # totals since the ring was created
        self.total_events = 0
        self.total_bytes = 0

    def begin_segment(self, number: int, module: bytes, now: float, wall_ms: float) -> None:
        """Starts a segment before call `number`.

        `module` is the serialized module as it is before that call, or b"" for one that is newly created.
        """
        self.close_block()
        self.segments.append(Segment([]))
        header = Header()
        header.CopyFrom(self.header)
        header.at_ms, header.wall_ms = now, wall_ms
        self.append_record(Record(header=header), now)
        if module:
            self.append_record(Record(snapshot=Snapshot(number=number, module=module)), now)
        self.close_block(starts_segment=True)
        self.drop_old_segments(now)

    def append_call(self, call: RecordedCall) -> None:
        events = [pseudonymize(event, self.hash_viewer) for event in call.events]
        sessions = session_ids(call)
        self.total_events += len(events)
        message = Call(
            number=call.number,
            now=call.now,
            wall_ms=call.wall_ms,
            events=pack(events),
            actions=pack(call.actions),
            sessions=sorted(sessions),
        )
        self.sessions |= sessions
        self.calls += 1
        self.append_record(Record(call=message), call.now)
        if self.records_size >= BLOCK_BYTES or call.now - self.first_ms >= BLOCK_MS:
            self.close_block()

    def append_gap(self, calls: int, first_ms: float, last_ms: float, reason: str) -> None:
        """Records that `calls` calls were not captured."""
        self.append_record(
            Record(gap=Gap(calls=calls, to=last_ms, why=reason, **{"from": first_ms})), last_ms
        )

    def append_note(self, now: float, who: str, text: str, session: int = 0) -> None:
        """Records a message of another component (`who`), of one session or, with 0, of the whole front."""
        if session:
            self.sessions.add(session)
        self.append_record(Record(word=Word(now=now, who=who, text=text, session=session)), now)

    def append_record(self, record: Any, now: float) -> None:
        if not self.records:
            self.first_ms = now
        body = record.SerializeToString()
        self.records.append(body)
        self.records_size += len(body)
        self.last_ms = now

    def close_block(self, starts_segment: bool = False) -> None:
        """Encodes the records of the open block, if it has any, and adds the block to the newest segment."""
        if not self.records:
            return
        block = encode_block(self.records, self.first_ms, self.last_ms, self.calls, self.sessions)
        self.records, self.records_size, self.calls, self.sessions = [], 0, 0, set()
        if not self.segments:
            self.segments.append(Segment([]))
        segment = self.segments[-1]
        segment.blocks.append(block)
        segment.last_ms = block.last_ms
        segment.size += len(block.data)
        self.total_bytes += len(block.data)
        self.on_block(block, starts_segment)
        self.drop_old_segments(block.last_ms)

    def drop_old_segments(self, now: float) -> None:
        """Drops segments beyond the age and size limits; the newest segment is always kept."""
        while len(self.segments) > 1:
            size = sum(segment.size for segment in self.segments)
            if self.segments[0].last_ms >= now - self.keep_ms and size <= self.max_bytes:
                return
            self.segments.popleft()

    def dump(self) -> bytes:
        """Closes the open block and returns all segments as a capture file."""
        self.close_block()
        return b"".join(block.data for segment in self.segments for block in segment.blocks)
