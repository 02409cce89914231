"""Message codec and send queue: any fragmentation, other versions, corrupt data, full queues."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import Any, ClassVar

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lemonhall.ipc import (
    AttemptFinished,
    ChangeRung,
    MalformedMessage,
    Message,
    MessageDecoder,
    SendQueue,
    ServerNote,
    StartAttempt,
    encode,
    negotiate_version,
)
from lemonhall.ipc.codec import FORMATS, MessageFormat
from lemonhall.ipc.messages import KINDS

TEXTS = st.text(st.characters(codec="utf-8"), max_size=20)
INTEGERS = st.integers(-(2**63), 2**63 - 1)
FIELD_VALUES = {
    "i": INTEGERS,
    "u": st.integers(0, 2**64 - 1),
    "d": st.floats(allow_nan=False),
    "?": st.booleans(),
    "s": TEXTS,
    "b": st.binary(max_size=40),
    "f": st.lists(st.floats(allow_nan=False), max_size=4).map(tuple),
    "p": st.lists(st.tuples(TEXTS, INTEGERS), max_size=3).map(tuple),
    "n": st.lists(st.tuples(TEXTS, st.floats(allow_nan=False)), max_size=3).map(tuple),
}
MESSAGES = st.one_of(
    *(st.builds(kind, *(FIELD_VALUES[code] for code in kind.FIELD_CODES)) for kind in KINDS.values())
)


def decode_pieces(data: bytes, cuts: list[int]) -> list[Any]:
    decoder, decoded, offset = MessageDecoder(), [], 0
    for cut in sorted(c % (len(data) + 1) for c in cuts):
        decoded += decoder.feed(data[offset:cut])
        offset = cut
    return decoded + decoder.feed(data[offset:])


@given(st.lists(MESSAGES, max_size=5), st.lists(st.integers(0, 10_000), max_size=6))
def test_messages_survive_a_round_trip_in_any_pieces(messages: list[Message], cuts: list[int]) -> None:
    assert decode_pieces(b"".join(map(encode, messages)), cuts) == messages


@given(st.binary(max_size=300), st.lists(st.integers(0, 300), max_size=4))
def test_random_bytes_never_raise_and_stop_the_decoder_at_the_first_fault(
    data: bytes, cuts: list[int]
) -> None:
    decoded = decode_pieces(data, cuts)
    assert all(not isinstance(m, MalformedMessage) for m in decoded[:-1])
    assert decoded == decode_pieces(data, [])


@settings(max_examples=300)
@given(MESSAGES, st.integers(0, 10_000), st.integers(0, 255))
def test_a_corrupted_byte_is_decoded_or_reported_and_nothing_after_it_is_read(
    message: Message, offset: int, value: int
) -> None:
    data = bytearray(encode(message))
    data[offset % len(data)] = value
    decoder = MessageDecoder(max_bytes=100_000)
    decoded = decoder.feed(bytes(data))
    assert len(decoded) <= len(data) // 7
    if decoder.failed:
        assert isinstance(decoded[-1], MalformedMessage) and decoder.feed(encode(message)) == []


def test_each_kind_has_its_own_number() -> None:
    assert len(KINDS) == len(FORMATS) == len({k.__name__ for k in KINDS.values()}) >= 25


@dataclass(slots=True)
class CurrentMessage(Message):
    KIND = 200
    FIELD_CODES = "uds"
    request_id: int
    sent_at: float
    reason: str


@dataclass(slots=True)
class LaterMessage(Message):
    """The same message in a later version."""

    KIND = 200
    FIELD_CODES = "uds?sb"
    DEFAULTS: ClassVar[dict[str, Any]] = {"fresh": True, "zone": "here", "payload": b"m"}
    request_id: int
    sent_at: float
    reason: str
    fresh: bool
    zone: str
    payload: bytes


def test_an_older_peer_skips_unknown_fields_and_a_newer_one_applies_defaults() -> None:
    old, new = MessageFormat(CurrentMessage), MessageFormat(LaterMessage)
    assert MessageDecoder({200: old}).feed(new.encode(LaterMessage(1, 2.0, "w", False, "x", b"y"))) == [
        CurrentMessage(1, 2.0, "w")
    ]
    assert MessageDecoder({200: new}).feed(old.encode(CurrentMessage(1, 2.0, "w"))) == [
        LaterMessage(1, 2.0, "w", True, "here", b"m")
    ]
    other = MessageDecoder({1: old})
    assert (
        other.feed(new.encode(LaterMessage(1, 2.0, "w", False, "x", b"y"))) == [] and other.unknown_kinds == 1
    )


def test_field_codes_that_do_not_match_the_fields_are_rejected() -> None:
    @dataclass(slots=True)
    class Wrong(Message):
        KIND = 201
        FIELD_CODES = "s"
        reason: str
        request_id: int

    with pytest.raises(TypeError, match="Wrong"):
        MessageFormat(Wrong)


@pytest.mark.parametrize(
    ("ours", "theirs", "agreed"),
    [((1, 1), (1, 1), 1), ((3, 1), (2, 1), 2), ((3, 3), (2, 1), 0), ((2, 1), (5, 3), 0), ((2, 2), (5, 2), 2)],
)
def test_peers_negotiate_a_common_version_or_none(
    ours: tuple[int, int], theirs: tuple[int, int], agreed: int
) -> None:
    assert negotiate_version(*ours, *theirs) == agreed == negotiate_version(*theirs, *ours)


# the send queue


def start_attempt(request_id: int) -> StartAttempt:
    return StartAttempt(request_id, 0, 7, 1, 0, 0, 4.0, 1.0, False, "127.0.0.1:9", b"")


def test_a_full_queue_rejects_requests_keeps_ends_and_the_newest_of_the_rest() -> None:
    queue = SendQueue(high_bytes=300, limit_bytes=2000)
    queued = 0
    while queue.put(start_attempt(queued)):
        queued += 1
    assert queued >= 2 and queue.rejected == 1 and not queue.over_limit()
    for rung in (1, 2, 3):
        assert queue.put(ChangeRung(5, rung, 1.0))
        assert queue.put(ServerNote(5, 0, 7, rung, 0.5))
    finished = AttemptFinished(5, 0, 7, 3, 1.0, 0.0, True, True, False, False, ())
    assert queue.put(finished)
    first = MessageDecoder().feed(queue.take(backlog_bytes=1000))
    assert first[-1] == finished and len(first) == queued + 1
    later = MessageDecoder().feed(queue.take())
    assert ChangeRung(5, 3, 1.0) in later and ChangeRung(5, 1, 1.0) not in later
    assert len([m for m in later if isinstance(m, ServerNote)]) == 3  # one for each kind of note
    assert queue.put(start_attempt(1)) and queue.take() and not queue.take()


def test_a_queue_over_its_limit_reports_it() -> None:
    queue = SendQueue(high_bytes=100, limit_bytes=500)
    assert not queue.over_limit() and queue.over_limit(backlog_bytes=501)


def test_a_deferred_message_is_dropped_when_a_newer_one_is_queued() -> None:
    queue = SendQueue(high_bytes=100, limit_bytes=5000)
    assert queue.put(ChangeRung(5, 1, 1.0), backlog_bytes=200) and queue.put(
        ChangeRung(5, 2, 1.0), backlog_bytes=0
    )
    assert MessageDecoder().feed(queue.take()) == [ChangeRung(5, 2, 1.0)] and not queue.deferred


def test_each_field_has_one_code() -> None:
    assert all(len(fields(kind)) == len(kind.FIELD_CODES) for kind in KINDS.values())  # type: ignore[arg-type]
