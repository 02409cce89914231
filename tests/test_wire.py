"""The codec with the examples of the page on the protocol, and with malformed input."""

import struct

import pytest

from lemonhall import wire
from lemonhall.interface import (
    AttemptEnded,
    HandedOver,
    ListKind,
    LogMessage,
    NewSession,
    Note,
    PeerMessage,
    Playing,
    ProbeEnded,
    Refuse,
    Repeat,
    SendToPeers,
    Server,
    ServerList,
    ServerState,
    SetRung,
    SetTimer,
    SetUp,
    TimerDue,
    ViewerGone,
)

REQUEST = (
    "09 0003 5d3a91c4 91f03b7c55d20a64 2b8e6401d9f37c10 406e000000000000 0001 4028000000000000"
    " 40400000 0000 00 40000000 00000000"
)


def frame(*records: str, tail: bytes = b"", number: int = 12) -> bytes:
    body = b"".join(bytes.fromhex(r).ljust(wire.EVENT_SIZE, b"\0") for r in records) + tail
    return wire.HEADER.pack(8413.0, wire.HEADER.size + len(body), len(records), number) + body


def events(*records: str, tail: bytes = b"") -> list[object]:
    return [e for _, e in wire.decode_batch(frame(*records, tail=tail), {}).events]


def test_empty_batch_and_reply() -> None:
    data = bytes.fromhex("40c06e2000000000 00000014 00000000 00000001")
    batch = wire.decode_batch(data, {})
    assert (batch.now, batch.number, batch.events) == (8412.25, 1, [])
    assert wire.encode_reply(1, []) == bytes.fromhex("00000000 0000000c 00000001")


def test_events_of_the_page_are_decoded() -> None:
    got = events(
        REQUEST,
        "08 0003 000000000000004d",
        "05 0005 0e6f2b19",
        "0d 0003 5d3a91c4 0000 03124a07 4022800000000000",
        "04 0003 5d3a91c4 0000 03124a07 01 3f000000",
        "0a 0003 5d3a91c4 01 0000 03124a07 4032800000000000 00c8 02 3ecccccd 3fa00000",
        "06 0003 0e6f2b19 00 0000 91f03b7c55d20a64 2b8e6401d9f37c10 406e000000000000"
        " 4028000000000000 00000000 40400000 40000000 0001 2c9011f2",
        "03 0003 00c8 2c9011f2 3ff6666666666666 02 3ecccccd 3fa00000",
    )
    key, title = 0x91F03B7C55D20A64, 0x2B8E6401D9F37C10
    assert got[0] == NewSession(0x5D3A91C4, 0, key, title, 240.0, 2, 0, 3, 0, 12.0)
    assert got[1:5] == [
        TimerDue(77),
        ViewerGone(0x0E6F2B19),
        Playing(0x5D3A91C4, 0, 0x03124A07, 9.25),
        Note(0x5D3A91C4, 0, 0x03124A07, 1, 0.5),
    ]
    assert isinstance(got[5], AttemptEnded)
    assert (got[5].closed, got[5].outcome, got[5].took_ms) == (True, 200, 18.5)
    assert got[5].report == pytest.approx((0.4, 1.25))
    assert got[6] == HandedOver(NewSession(0x0E6F2B19, 0, key, title, 240.0, 2, 0, 3, 0, 12.0), 0x2C9011F2)
    assert isinstance(got[7], ProbeEnded)
    assert got[7].took_ms == pytest.approx(1.4)


def test_lists_and_messages_are_read_from_the_tail() -> None:
    entries = bytes.fromhex(
        "0000 3f800000 03124a07 0000 0000 0000000000000000 01"
        "0000 3fc00000 2c9011f2 0001 0000 40b7d40000000000 01"
    )
    listed = events("02 0000 00000000 00000002", "07 0003 02 0000000000000029 0000", tail=entries)
    first = Server(0x03124A07, 0, 1.0, 0, 0, 0.0, ServerState.READY)
    second = Server(0x2C9011F2, 0, 1.5, 1, 0, 6100.0, ServerState.READY)
    assert listed == [ServerList(ListKind.CACHED, 41, (first, second))]
    assert events("01 0003 0002 00000000 00000004", tail=b"hi 7") == [PeerMessage(2, b"hi 7")]


def test_the_reply_of_the_page_is_encoded() -> None:
    reply = wire.encode_reply(
        12,
        [
            (3, SetUp(0x5D3A91C4, 0x03124A07, 80.0)),
            (3, SetTimer(77, 500.0)),
            (5, LogMessage("two servers known")),
        ],
    )
    assert (
        reply
        == bytes.fromhex(
            "00000003 00000065 0000000c"
            "04 0003 5d3a91c4 03124a07 4054000000000000 0000000000"
            "0d 0003 000000000000004d 407f400000000000 0000000000"
            "0c 0005 00000000 00000011 00000000000000000000000000"
        )
        + b"two servers known"
    )


def test_other_actions_are_encoded() -> None:
    reply = wire.encode_reply(1, [(3, SetRung(0x5D3A91C4, 2)), (3, Refuse(0x0E6F2B19, 250.0))])
    assert reply[12:36] == bytes.fromhex("08 0003 5d3a91c4 02" + "00" * 16)
    assert reply[36:60] == bytes.fromhex("07 0003 0e6f2b19 406f400000000000" + "00" * 9)
    reply = wire.encode_reply(1, [(3, SendToPeers(b"hi 7"))])
    assert reply[12:36] == bytes.fromhex("01 0003 ffff 00000000 00000004" + "00" * 11)


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (frame("63 0003"), "unknown record code 99"),
        (frame(REQUEST)[:-10], "length field"),
        (struct.pack(">dIII", 0.0, 20, 2, 1), "do not fit"),
        (frame("07 0003 00 0000000000000029 0007"), "no server list number 7"),
        (frame("01 0003 0002 00000000 00000004"), "beyond the frame"),
    ],
)
def test_malformed_frames_are_refused_with_a_reason(data: bytes, reason: str) -> None:
    with pytest.raises(wire.WireError, match=reason):
        wire.decode_batch(data, {})


SETTINGS = """classes.count=1
classes.0.worth=3.0
classes.0.semantics=at_most_once
classes.0.promise=1000.0
classes.0.hardLimit=5000.0
specifics.ratesKb=289.0,491.0
specifics.levelWorth=0.28,1.0
specifics.placesByKind=27
specifics.kbPerWeight=6772.0
specifics.positions=12
unheard.of=1
"""


def test_unknown_settings_are_ignored_and_missing_ones_are_named() -> None:
    read = wire.read_settings(SETTINGS)
    assert (read.classes[0].repeat, read.classes[0].top, read.fronts) == (Repeat.PAID, 1, 1)
    assert read.retry_free is None
    assert wire.read_settings(SETTINGS + "rules.budgetFree=4\n").retry_free == 4.0
    with pytest.raises(wire.WireError, match="specifics.positions is missing"):
        wire.read_settings(SETTINGS.replace("specifics.positions=12\n", ""))
    with pytest.raises(wire.WireError, match="classes.0.worth is not a number"):
        wire.read_settings(SETTINGS.replace("worth=3.0", "worth=high"))
