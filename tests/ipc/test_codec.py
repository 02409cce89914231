"""Messages of the seam as bytes: in any pieces, of other versions, and as noise."""

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

TEXT = st.text(st.characters(codec="utf-8"), max_size=20)
INTEGER = st.integers(-(2**63), 2**63 - 1)
OF = {
    "i": INTEGER,
    "u": st.integers(0, 2**64 - 1),
    "d": st.floats(allow_nan=False),
    "?": st.booleans(),
    "s": TEXT,
    "b": st.binary(max_size=40),
    "f": st.lists(st.floats(allow_nan=False), max_size=4).map(tuple),
    "p": st.lists(st.tuples(TEXT, INTEGER), max_size=3).map(tuple),
    "n": st.lists(st.tuples(TEXT, st.floats(allow_nan=False)), max_size=3).map(tuple),
}
MESSAGES = st.one_of(*(st.builds(kind, *(OF[code] for code in kind.FIELD_CODES)) for kind in KINDS.values()))


def read(data: bytes, cuts: list[int]) -> list[Any]:
    reader, found, at = MessageDecoder(), [], 0
    for cut in sorted(c % (len(data) + 1) for c in cuts):
        found += reader.feed(data[at:cut])
        at = cut
    return found + reader.feed(data[at:])


@given(st.lists(MESSAGES, max_size=5), st.lists(st.integers(0, 10_000), max_size=6))
def test_messages_come_back_in_any_pieces(messages: list[Message], cuts: list[int]) -> None:
    assert read(b"".join(map(encode, messages)), cuts) == messages


@given(st.binary(max_size=300), st.lists(st.integers(0, 300), max_size=4))
def test_noise_never_raises_and_ends_at_the_first_fault(data: bytes, cuts: list[int]) -> None:
    found = read(data, cuts)
    assert all(not isinstance(m, MalformedMessage) for m in found[:-1])
    assert found == read(data, [])


@settings(max_examples=300)
@given(MESSAGES, st.integers(0, 10_000), st.integers(0, 255))
def test_a_changed_byte_is_read_or_named_and_nothing_beyond_it(message: Message, at: int, to: int) -> None:
    data = bytearray(encode(message))
    data[at % len(data)] = to
    reader = MessageDecoder(max_bytes=100_000)
    found = reader.feed(bytes(data))
    assert len(found) <= len(data) // 7
    if reader.failed:
        assert isinstance(found[-1], MalformedMessage) and reader.feed(encode(message)) == []


def test_every_kind_is_known_by_one_number() -> None:
    assert len(KINDS) == len(FORMATS) == len({k.__name__ for k in KINDS.values()}) >= 25


@dataclass(slots=True)
class Now(Message):
    KIND = 200
    FIELD_CODES = "uds"
    ask: int
    at: float
    why: str


@dataclass(slots=True)
class Then(Message):
    """As a later version has it."""

    KIND = 200
    FIELD_CODES = "uds?sb"
    DEFAULTS: ClassVar[dict[str, Any]] = {"fresh": True, "where": "here", "more": b"m"}
    ask: int
    at: float
    why: str
    fresh: bool
    where: str
    more: bytes


def test_an_older_peer_passes_over_what_it_does_not_know_and_a_newer_fills_in() -> None:
    old, new = MessageFormat(Now), MessageFormat(Then)
    assert MessageDecoder({200: old}).feed(new.encode(Then(1, 2.0, "w", False, "x", b"y"))) == [
        Now(1, 2.0, "w")
    ]
    assert MessageDecoder({200: new}).feed(old.encode(Now(1, 2.0, "w"))) == [
        Then(1, 2.0, "w", True, "here", b"m")
    ]
    strange = MessageDecoder({1: old})
    assert strange.feed(new.encode(Then(1, 2.0, "w", False, "x", b"y"))) == [] and strange.unknown_kinds == 1


def test_a_form_that_does_not_fit_its_fields_is_refused() -> None:
    @dataclass(slots=True)
    class Wrong(Message):
        KIND = 201
        FIELD_CODES = "s"
        why: str
        ask: int

    with pytest.raises(TypeError, match="Wrong"):
        MessageFormat(Wrong)


@pytest.mark.parametrize(
    ("ours", "theirs", "agreed"),
    [((1, 1), (1, 1), 1), ((3, 1), (2, 1), 2), ((3, 3), (2, 1), 0), ((2, 1), (5, 3), 0), ((2, 2), (5, 2), 2)],
)
def test_versions_agree_or_do_not_speak(ours: tuple[int, int], theirs: tuple[int, int], agreed: int) -> None:
    assert negotiate_version(*ours, *theirs) == agreed == negotiate_version(*theirs, *ours)


# the queue


def set_up(ask: int) -> StartAttempt:
    return StartAttempt(ask, 0, 7, 1, 0, 0, 4.0, 1.0, False, "127.0.0.1:9", b"")


def test_a_full_queue_takes_no_asks_keeps_ends_and_the_newest_of_the_rest() -> None:
    box = SendQueue(high_bytes=300, limit_bytes=2000)
    taken = 0
    while box.put(set_up(taken)):
        taken += 1
    assert taken >= 2 and box.rejected == 1 and not box.over_limit()
    for rung in (1, 2, 3):
        assert box.put(ChangeRung(5, rung, 1.0))
        assert box.put(ServerNote(5, 0, 7, rung, 0.5))
    end = AttemptFinished(5, 0, 7, 3, 1.0, 0.0, True, True, False, False, ())
    assert box.put(end)
    first = MessageDecoder().feed(box.take(backlog_bytes=1000))
    assert first[-1] == end and len(first) == taken + 1
    later = MessageDecoder().feed(box.take())
    assert ChangeRung(5, 3, 1.0) in later and ChangeRung(5, 1, 1.0) not in later
    assert len([m for m in later if isinstance(m, ServerNote)]) == 3  # of three kinds
    assert box.put(set_up(1)) and box.take() and not box.take()


def test_a_queue_far_over_its_bound_says_so() -> None:
    box = SendQueue(high_bytes=100, limit_bytes=500)
    assert not box.over_limit() and box.over_limit(backlog_bytes=501)


def test_an_old_word_that_waits_gives_way_to_one_that_is_taken() -> None:
    box = SendQueue(high_bytes=100, limit_bytes=5000)
    assert box.put(ChangeRung(5, 1, 1.0), backlog_bytes=200) and box.put(
        ChangeRung(5, 2, 1.0), backlog_bytes=0
    )
    assert MessageDecoder().feed(box.take()) == [ChangeRung(5, 2, 1.0)] and not box.deferred


def test_fields_are_told_apart_by_place_alone() -> None:
    assert all(len(fields(kind)) == len(kind.FIELD_CODES) for kind in KINDS.values())  # type: ignore[arg-type]
