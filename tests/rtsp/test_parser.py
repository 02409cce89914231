"""The readers of bytes, under arbitrary splits and mutations."""

from __future__ import annotations

import struct
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lemonhall.boxlist import Box, CacheError, Delimited, State, Update, delimit, from_cache, to_cache
from lemonhall.front.decider import peers
from lemonhall.rtsp import Frames, Limits, Malformed, Parser, Request, Response, reports, rtp, sdp
from lemonhall.rtsp.messages import (
    Transport,
    make_request,
    make_response,
    parse_npt,
    parse_transport,
    split_track,
    split_url,
)
from lemonhall.rtsp.parser import frame, split_frames

NAME = st.from_regex(r"[A-Za-z][A-Za-z0-9-]{0,10}", fullmatch=True).filter(
    lambda n: n.lower() not in ("cseq", "content-length", "content-type")
)
VALUE = st.from_regex(r"[!-~]([ -~]{0,20}[!-~])?", fullmatch=True)
HEADERS = st.lists(st.tuples(NAME, VALUE), max_size=5)
METHOD = st.sampled_from(["OPTIONS", "SETUP", "PLAY", "X-TRY"])
ITEM = st.one_of(
    st.builds(
        lambda m, c, h, b: make_request(m, "rtsp://h/a", c, *h, body=b),
        METHOD,
        st.integers(0, 9**9),
        HEADERS,
        st.binary(max_size=40),
    ),
    st.builds(
        lambda s, c, h, b: make_response(s, str(c), *h, body=b),
        st.integers(100, 599),
        st.integers(0, 9**9),
        HEADERS,
        st.binary(max_size=40),
    ),
    st.tuples(st.integers(0, 5), st.binary(max_size=60)),
)


def feed(pieces: list[bytes]) -> list[Any]:
    """What a parser makes of the pieces; frames are taken apart at once, as views do not last."""
    parser, out = Parser(), list[Any]()
    for piece in pieces:
        for event in parser.feed(memoryview(bytearray(piece))):
            if isinstance(event, Frames):
                out += [(c, bytes(p)) for c, p in split_frames(event.data)]
            else:
                out.append(event)
    return out


def cut(data: bytes, marks: list[int]) -> list[bytes]:
    places = sorted({0, len(data), *(m % (len(data) + 1) for m in marks)})
    return [data[a:b] for a, b in zip(places, places[1:], strict=False)]


@given(st.lists(ITEM, max_size=8), st.lists(st.integers(0, 10**6), max_size=30))
def test_any_split_gives_the_same_events(items: list[Any], marks: list[int]) -> None:
    data = b"".join(frame(*i) if isinstance(i, tuple) else i.encode() for i in items)
    got = feed(cut(data, marks))
    assert len(got) == len(items)
    for want, have in zip(items, got, strict=True):
        if isinstance(want, tuple):
            assert have == want
        else:
            assert type(have) is type(want) and have.body == want.body
            kept = [h for h in have.headers if h[0] != "Content-Length"]
            assert kept == want.headers.items


@given(st.lists(ITEM, min_size=1, max_size=3))
def test_byte_by_byte(items: list[Any]) -> None:
    data = b"".join(frame(*i) if isinstance(i, tuple) else i.encode() for i in items)
    assert len(feed([bytes([b]) for b in data])) == len(items)


@settings(max_examples=300)
@given(
    st.lists(ITEM, min_size=1, max_size=4),
    st.lists(st.tuples(st.integers(0, 10**6), st.integers(0, 255)), max_size=6),
    st.lists(st.integers(0, 10**6), max_size=8),
)
def test_mutated_bytes_never_raise_and_end_at_the_first_fault(
    items: list[Any], changes: list[tuple[int, int]], marks: list[int]
) -> None:
    data = bytearray(b"".join(frame(*i) if isinstance(i, tuple) else i.encode() for i in items))
    for at, value in changes:
        if data:
            data[at % len(data)] = value
    got = feed(cut(bytes(data), marks))
    faults = [n for n, e in enumerate(got) if isinstance(e, Malformed)]
    assert faults in ([], [len(got) - 1])
    assert all(isinstance(e, Request | Response | Malformed | tuple) for e in got)


@given(st.binary(max_size=300), st.lists(st.integers(0, 10**6), max_size=8))
def test_noise_never_raises_and_is_read_alike_however_cut(data: bytes, marks: list[int]) -> None:
    def kinds(events: list[Any]) -> list[Any]:
        return [type(e).__name__ if not isinstance(e, tuple) else e for e in events]

    assert kinds(feed([data])) == kinds(feed(cut(data, marks)))


def test_a_run_of_media_is_one_view_and_rtcp_stands_alone() -> None:
    parser = Parser()
    data = frame(0, b"ab") + frame(0, b"c") + frame(1, b"r") + frame(2, b"d") + frame(0, b"e")
    events = [e for e in parser.feed(data) if isinstance(e, Frames)]
    assert [(e.channel, e.rtcp, bytes(e.data)) for e in events] == [
        (0, False, frame(0, b"ab") + frame(0, b"c")),
        (1, True, frame(1, b"r")),
        (2, False, frame(2, b"d")),
        (0, False, frame(0, b"e")),
    ]
    assert bytes(events[0].data[events[0].last :]) == frame(0, b"c")


def test_limits_name_what_is_too_long() -> None:
    parser = Parser(Limits(head=100))
    events = parser.feed(b"OPTIONS * RTSP/1.0\r\nX: " + b"a" * 200)
    assert isinstance(events[0], Malformed) and events[0].status == 413
    assert parser.feed(b"OPTIONS * RTSP/1.0\r\nCSeq: 1\r\n\r\n") == []  # closed for good


def test_an_endless_head_is_given_up_however_it_drips() -> None:
    parser = Parser(Limits(head=100, body=100))
    events: list[Any] = []
    for _ in range(400):
        events += parser.feed(b"a")
    assert [e.status for e in events] == [413]


def test_folded_headers_are_joined() -> None:
    events = Parser().feed(b"OPTIONS * RTSP/1.0\r\nCSeq: 1\r\nX: a\r\n  b\r\n\r\n")
    assert isinstance(events[0], Request) and events[0].headers.get("x") == "a b"


@given(st.binary(max_size=80))
def test_packet_readers_raise_nothing_but_value_errors(data: bytes) -> None:
    for read in (rtp.parse_rtp, rtp.parse_rtcp, sdp.parse, from_cache):
        try:
            read(data)  # type: ignore[operator]
        except (ValueError, CacheError):
            continue
    peers.decode(data)


@given(
    st.integers(0, 127),
    st.booleans(),
    st.integers(0, 65535),
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**32 - 1),
)
def test_rtp_headers_come_back(kind: int, marker: bool, sequence: int, stamp: int, ssrc: int) -> None:
    header = rtp.RtpHeader(kind, marker, sequence, stamp, ssrc)
    assert rtp.parse_rtp(rtp.build_rtp(header) + b"payload") == header


def test_rtcp_compound_notes_and_bye() -> None:
    data = (
        rtp.build_sender_report(7, 3_900_000_000.5, 90, 3, 400)
        + rtp.build_note(7, 3, 0.75)
        + rtp.build_bye(7, "end")
    )
    report, note, bye = rtp.parse_rtcp(data)
    assert (report.kind, struct.unpack(">I", report.body[:4])[0]) == (rtp.SENDER_REPORT, 7)
    assert rtp.read_note(note) == (3, 0.75) and rtp.read_note(bye) is None
    assert bye.kind == rtp.BYE and b"end" in bye.body
    with pytest.raises(ValueError, match="over the end"):
        rtp.parse_rtcp(data[:-4])


def test_transports_ranges_and_urls() -> None:
    offers = parse_transport("RTP/AVP;unicast;client_port=1-2, RTP/AVP/TCP;unicast;interleaved=4-5;ssrc=0A")
    assert [o.is_interleaved for o in offers] == [False, True]
    assert offers[1] == Transport("RTP/AVP/TCP", True, (4, 5), 10)
    assert parse_transport(offers[1].encode()) == (offers[1],)
    for bad in ("interleaved=x", "interleaved=5-5", "interleaved=255-256"):
        with pytest.raises(ValueError, match="interleaved"):
            parse_transport(f"RTP/AVP/TCP;unicast;{bad}")
    assert [parse_npt(t) for t in ("npt=1.5-", "npt=0:01:02.5-", "npt=now-", "")] == [1.5, 62.5, None, None]
    assert split_url("rtsp://h:1/a/b?c=d") == ("h:1", "/a/b?c=d")
    with pytest.raises(ValueError, match="no RTSP URL"):
        split_url("http://h/a")
    assert split_track("/a?ask=1/trackID=2") == ("/a?ask=1", 2)
    assert split_track("/a/") == ("/a", None)


def test_sdp_tracks_clocks_and_rewritten_controls() -> None:
    text = (
        b"v=0\r\no=- 0 0 IN IP4 x\r\ns=t\r\na=control:*\r\na=range:npt=0-12.5\r\nm=video 0 RTP/AVP 96\r\n"
        b"a=rtpmap:96 H264/90000\r\na=control:rtsp://s/x/v\r\nm=audio 0 RTP/AVP 0\r\na=control:a\r\n"
    )
    made = sdp.parse(text)
    assert [(t.kind, t.clock_rate, t.control) for t in made.tracks] == [
        ("video", 90000, "rtsp://s/x/v"),
        ("audio", 8000, "a"),
    ]
    assert made.length_s == 12.5
    assert b"a=control:trackID=0" in made.text and b"rtsp://s" not in made.text
    for bad in (b"", b"v=0\r\n", b"v=0\r\nm=video x\r\n", b"v=0\r\nnonsense\r\n"):
        with pytest.raises(ValueError, match="SDP"):
            sdp.parse(bad)


def test_load_reports() -> None:
    text = reports.encode({"x0": 0.5, "x1": 1.25})
    assert reports.decode(text, ("x0", "x1")) == (0.5, 1.25)
    assert reports.decode(text, ("x1",)) == (1.25,)
    for bad in ("", "JSON {}", "TEXT x0=nan,x1=1", "TEXT named_metrics.x0=1", "TEXT x0=-1,x1=0"):
        assert reports.decode(bad, ("x0", "x1")) == ()


UPDATE = Update(
    version=7, full=True, boxes=[Box(id=n, address="h:1", weight=1, state=State.READY) for n in range(300)]
)


@given(st.lists(st.integers(0, 10**6), max_size=10))
def test_box_lists_arrive_whole_in_any_pieces(marks: list[int]) -> None:
    reader, got = Delimited(), list[Update]()
    for piece in cut(delimit(UPDATE) + delimit(Update(version=8)), marks):
        got += reader.feed(piece)
    assert got == [UPDATE, Update(version=8)]


def test_box_lists_that_lie_are_refused() -> None:
    with pytest.raises(ValueError, match="length of more"):
        Delimited().feed(b"\xff\xff\xff\xff\xff")
    with pytest.raises(ValueError, match="a list of"):
        Delimited().feed(b"\xff\xff\xff\x7f")
    with pytest.raises(ValueError, match="no box list"):
        Delimited().feed(b"\x03\xff\xff\xff")


@given(st.integers(0, 10**6), st.integers(1, 255))
def test_a_damaged_cache_is_named(at: int, change: int) -> None:
    data = bytearray(to_cache(UPDATE))
    assert from_cache(bytes(data)) == UPDATE
    data[at % len(data)] ^= change
    with pytest.raises(CacheError):
        from_cache(bytes(data))
    with pytest.raises(CacheError, match="cut off"):
        from_cache(to_cache(UPDATE)[:-3])


@given(
    st.lists(st.tuples(st.sampled_from([0, 2]), st.sampled_from([3, 40])), min_size=1, max_size=60),
    st.lists(st.integers(0, 10**6), max_size=6),
)
def test_frames_alike_are_walked_as_others_are(shapes: list[tuple[int, int]], marks: list[int]) -> None:
    items = [(channel, bytes([n % 250]) * size) for n, (channel, size) in enumerate(shapes)]
    assert feed(cut(b"".join(frame(*item) for item in items), marks)) == items
    whole = [e for e in Parser().feed(b"".join(frame(0, b"ab") for _ in range(50))) if isinstance(e, Frames)]
    assert [(len(e.data), e.last) for e in whole] == [(300, 294)]


# messages that two readers could cut in two places

SMUGGLED = {
    "two lengths": "Content-Length: 4\r\nContent-Length: 40\r\n",
    "two lengths, one in other letters": "content-length: 4\r\nContent-LENGTH: 0\r\n",
    "a length in a folded line": "Content-Length: 4\r\n 0\r\n",
    "a length that is a list": "Content-Length: 4, 4\r\n",
    "a signed length": "Content-Length: +4\r\n",
    "a space before the colon": "Content-Length : 4\r\n",
    "a tab before the colon": "Content-Length\t: 4\r\n",
    "a name with a space before it": " Content-Length: 4\r\n",
    "a length in chunks": "Transfer-Encoding: chunked\r\n",
    "two CSeq": "CSeq: 2\r\nCSeq: 3\r\n",
    "two sessions": "Session: a\r\nSession: b\r\n",
    "a session in a folded line": "Session: a\r\n\tb\r\n",
    "a line that ends with a line feed alone": "X-A: b\nContent-Length: 4\r\n",
    "a return in a value": "X-A: b\rContent-Length: 4\r\n",
    "a zero byte": "X-A: b\0c\r\n",
    "a name that is none": "X(A): b\r\n",
    "no colon": "Content-Length\r\n",
}


@pytest.mark.parametrize("lines", SMUGGLED.values(), ids=SMUGGLED.keys())
@pytest.mark.parametrize("place", ["first", "last"])
def test_what_could_be_read_in_two_ways_is_refused_and_nothing_behind_it_is_read(
    lines: str, place: str
) -> None:
    own = "" if "CSeq" in lines else "CSeq: 1\r\n"
    fields = lines + own if place == "first" else own + lines
    inner = b"SETUP rtsp://x/claims/a RTSP/1.0\r\nCSeq: 9\r\n\r\n"
    whole = f"GET_PARAMETER rtsp://x/a RTSP/1.0\r\n{fields}\r\n".encode() + inner
    for pieces in ([whole], [whole[n : n + 1] for n in range(len(whole))]):
        parser = Parser()
        events = [event for piece in pieces for event in parser.feed(piece)]
        assert [type(e) for e in events] == [Malformed] and events[0].status == 400, events


def test_what_is_said_twice_alike_and_lists_in_parts_are_read_as_one() -> None:
    first, second = "RTP/AVP;unicast;client_port=4-5", "RTP/AVP/TCP;unicast;interleaved=2-3"
    head = "SETUP rtsp://x/a RTSP/1.0\r\nCSeq: 1\r\nCSeq: 1\r\nContent-Length: 0\r\nContent-Length: 0\r\n"
    text = f"{head}Transport: {first}\r\ntransport: {second}\r\nX-Long: a\r\n b\r\n\r\n"
    (request,) = Parser().feed(text.encode())
    assert isinstance(request, Request) and request.cseq == "1" and request.headers.get("X-long") == "a b"
    offers = parse_transport(request.headers.get("Transport"))
    assert [o.is_interleaved for o in offers] == [False, True] and offers[1].channels == (2, 3)
