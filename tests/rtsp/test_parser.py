"""Parsers of RTSP, RTP, RTCP, SDP and server lists, with arbitrary splits and mutations of their input."""

from __future__ import annotations

import struct
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lemonhall.boxlist import (
    Box,
    CacheError,
    DelimitedDecoder,
    State,
    Update,
    decode_cache,
    encode_cache,
    encode_delimited,
)
from lemonhall.front.decider import peers
from lemonhall.rtsp import (
    FrameRun,
    MalformedInput,
    Parser,
    ParserLimits,
    Request,
    Response,
    reports,
    rtp,
    sdp,
)
from lemonhall.rtsp.messages import (
    Transport,
    make_request,
    make_response,
    parse_npt,
    parse_transport,
    split_track,
    split_url,
)
from lemonhall.rtsp.parser import encode_frame, split_frames

NAME = st.from_regex(r"[A-Za-z][A-Za-z0-9-]{0,10}", fullmatch=True).filter(
    lambda name: name.lower() not in ("cseq", "content-length", "content-type")
)
VALUE = st.from_regex(r"[!-~]([ -~]{0,20}[!-~])?", fullmatch=True)
HEADERS = st.lists(st.tuples(NAME, VALUE), max_size=5)
METHOD = st.sampled_from(["OPTIONS", "SETUP", "PLAY", "X-TRY"])
ITEM = st.one_of(
    st.builds(
        lambda method, cseq, headers, body: make_request(method, "rtsp://h/a", cseq, *headers, body=body),
        METHOD,
        st.integers(0, 9**9),
        HEADERS,
        st.binary(max_size=40),
    ),
    st.builds(
        lambda status, cseq, headers, body: make_response(status, str(cseq), *headers, body=body),
        st.integers(100, 599),
        st.integers(0, 9**9),
        HEADERS,
        st.binary(max_size=40),
    ),
    st.tuples(st.integers(0, 5), st.binary(max_size=60)),
)


def parse_pieces(pieces: list[bytes]) -> list[Any]:
    """Returns the events of the pieces. Runs of frames are split and copied, since views do not last."""
    parser, events = Parser(), list[Any]()
    for piece in pieces:
        for event in parser.feed(memoryview(bytearray(piece))):
            if isinstance(event, FrameRun):
                events += [(c, bytes(p)) for c, p in split_frames(event.data)]
            else:
                events.append(event)
    return events


def split_at(data: bytes, positions: list[int]) -> list[bytes]:
    """Splits the data at the positions, taken modulo its length."""
    offsets = sorted({0, len(data), *(p % (len(data) + 1) for p in positions)})
    return [data[a:b] for a, b in zip(offsets, offsets[1:], strict=False)]


@given(st.lists(ITEM, max_size=8), st.lists(st.integers(0, 10**6), max_size=30))
def test_any_split_gives_the_same_events(items: list[Any], positions: list[int]) -> None:
    data = b"".join(encode_frame(*i) if isinstance(i, tuple) else i.encode() for i in items)
    events = parse_pieces(split_at(data, positions))
    assert len(events) == len(items)
    for item, event in zip(items, events, strict=True):
        if isinstance(item, tuple):
            assert event == item
        else:
            assert type(event) is type(item) and event.body == item.body
            headers = [h for h in event.headers if h[0] != "Content-Length"]
            assert headers == item.headers.items


@given(st.lists(ITEM, min_size=1, max_size=3))
def test_input_in_single_bytes_gives_all_events(items: list[Any]) -> None:
    data = b"".join(encode_frame(*i) if isinstance(i, tuple) else i.encode() for i in items)
    assert len(parse_pieces([bytes([b]) for b in data])) == len(items)


@settings(max_examples=300)
@given(
    st.lists(ITEM, min_size=1, max_size=4),
    st.lists(st.tuples(st.integers(0, 10**6), st.integers(0, 255)), max_size=6),
    st.lists(st.integers(0, 10**6), max_size=8),
)
def test_mutated_input_raises_nothing_and_parsing_stops_at_the_first_error(
    items: list[Any], changes: list[tuple[int, int]], positions: list[int]
) -> None:
    data = bytearray(b"".join(encode_frame(*i) if isinstance(i, tuple) else i.encode() for i in items))
    for position, value in changes:
        if data:
            data[position % len(data)] = value
    events = parse_pieces(split_at(bytes(data), positions))
    errors = [n for n, e in enumerate(events) if isinstance(e, MalformedInput)]
    assert errors in ([], [len(events) - 1])
    assert all(isinstance(e, Request | Response | MalformedInput | tuple) for e in events)


@given(st.binary(max_size=300), st.lists(st.integers(0, 10**6), max_size=8))
def test_random_bytes_raise_nothing_and_give_the_same_events_for_any_split(
    data: bytes, positions: list[int]
) -> None:
    def kinds(events: list[Any]) -> list[Any]:
        return [type(e).__name__ if not isinstance(e, tuple) else e for e in events]

    assert kinds(parse_pieces([data])) == kinds(parse_pieces(split_at(data, positions)))


def test_consecutive_media_frames_are_one_run_and_rtcp_frames_are_separate() -> None:
    parser = Parser()
    data = (
        encode_frame(0, b"ab")
        + encode_frame(0, b"c")
        + encode_frame(1, b"r")
        + encode_frame(2, b"d")
        + encode_frame(0, b"e")
    )
    events = [e for e in parser.feed(data) if isinstance(e, FrameRun)]
    assert [(e.channel, e.is_rtcp, bytes(e.data)) for e in events] == [
        (0, False, encode_frame(0, b"ab") + encode_frame(0, b"c")),
        (1, True, encode_frame(1, b"r")),
        (2, False, encode_frame(2, b"d")),
        (0, False, encode_frame(0, b"e")),
    ]
    assert bytes(events[0].data[events[0].last_offset :]) == encode_frame(0, b"c")


def test_a_head_over_the_limit_is_rejected_and_nothing_more_is_read() -> None:
    parser = Parser(ParserLimits(max_head_bytes=100))
    events = parser.feed(b"OPTIONS * RTSP/1.0\r\nX: " + b"a" * 200)
    assert isinstance(events[0], MalformedInput) and events[0].status == 413
    assert parser.feed(b"OPTIONS * RTSP/1.0\r\nCSeq: 1\r\n\r\n") == []  # stays closed


def test_an_endless_head_is_rejected_if_sent_in_single_bytes() -> None:
    parser = Parser(ParserLimits(max_head_bytes=100, max_body_bytes=100))
    events: list[Any] = []
    for _ in range(400):
        events += parser.feed(b"a")
    assert [e.status for e in events] == [413]


def test_folded_headers_are_joined() -> None:
    events = Parser().feed(b"OPTIONS * RTSP/1.0\r\nCSeq: 1\r\nX: a\r\n  b\r\n\r\n")
    assert isinstance(events[0], Request) and events[0].headers.get("x") == "a b"


@given(st.binary(max_size=80))
def test_packet_parsers_raise_only_value_errors(data: bytes) -> None:
    for parse_packet in (rtp.parse_rtp, rtp.parse_rtcp, sdp.parse, decode_cache):
        try:
            parse_packet(data)  # type: ignore[operator]
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
def test_rtp_headers_are_parsed_as_built(
    payload_type: int, marker: bool, sequence: int, timestamp: int, ssrc: int
) -> None:
    header = rtp.RtpHeader(payload_type, marker, sequence, timestamp, ssrc)
    assert rtp.parse_rtp(rtp.build_rtp(header) + b"payload") == header


def test_a_compound_of_sender_report_load_note_and_bye_is_parsed() -> None:
    data = (
        rtp.build_sender_report(7, 3_900_000_000.5, 90, 3, 400)
        + rtp.build_note(7, 3, 0.75)
        + rtp.build_bye(7, "end")
    )
    report, note, bye = rtp.parse_rtcp(data)
    assert (report.packet_type, struct.unpack(">I", report.body[:4])[0]) == (rtp.SENDER_REPORT, 7)
    assert rtp.parse_note(note) == (3, 0.75) and rtp.parse_note(bye) is None
    assert bye.packet_type == rtp.BYE and b"end" in bye.body
    with pytest.raises(ValueError, match="beyond the end"):
        rtp.parse_rtcp(data[:-4])


def test_transports_ranges_and_urls_are_parsed() -> None:
    offers = parse_transport("RTP/AVP;unicast;client_port=1-2, RTP/AVP/TCP;unicast;interleaved=4-5;ssrc=0A")
    assert [o.is_interleaved for o in offers] == [False, True]
    assert offers[1] == Transport("RTP/AVP/TCP", True, (4, 5), 10)
    assert parse_transport(offers[1].encode()) == (offers[1],)
    for invalid in ("interleaved=x", "interleaved=5-5", "interleaved=255-256"):
        with pytest.raises(ValueError, match="interleaved"):
            parse_transport(f"RTP/AVP/TCP;unicast;{invalid}")
    assert [parse_npt(t) for t in ("npt=1.5-", "npt=0:01:02.5-", "npt=now-", "")] == [1.5, 62.5, None, None]
    assert split_url("rtsp://h:1/a/b?c=d") == ("h:1", "/a/b?c=d")
    with pytest.raises(ValueError, match="not an RTSP URL"):
        split_url("http://h/a")
    assert split_track("/a?ask=1/trackID=2") == ("/a?ask=1", 2)
    assert split_track("/a/") == ("/a", None)


def test_sdp_gives_tracks_and_clock_rates_with_rewritten_controls() -> None:
    text = (
        b"v=0\r\no=- 0 0 IN IP4 x\r\ns=t\r\na=control:*\r\na=range:npt=0-12.5\r\nm=video 0 RTP/AVP 96\r\n"
        b"a=rtpmap:96 H264/90000\r\na=control:rtsp://s/x/v\r\nm=audio 0 RTP/AVP 0\r\na=control:a\r\n"
    )
    description = sdp.parse(text)
    assert [(t.kind, t.clock_rate, t.control) for t in description.tracks] == [
        ("video", 90000, "rtsp://s/x/v"),
        ("audio", 8000, "a"),
    ]
    assert description.length_s == 12.5
    assert b"a=control:trackID=0" in description.text and b"rtsp://s" not in description.text
    for invalid in (b"", b"v=0\r\n", b"v=0\r\nm=video x\r\n", b"v=0\r\nnonsense\r\n"):
        with pytest.raises(ValueError, match="SDP"):
            sdp.parse(invalid)


def test_load_reports_are_decoded_as_encoded() -> None:
    text = reports.encode({"x0": 0.5, "x1": 1.25})
    assert reports.decode(text, ("x0", "x1")) == (0.5, 1.25)
    assert reports.decode(text, ("x1",)) == (1.25,)
    for invalid in ("", "JSON {}", "TEXT x0=nan,x1=1", "TEXT named_metrics.x0=1", "TEXT x0=-1,x1=0"):
        assert reports.decode(invalid, ("x0", "x1")) == ()


UPDATE = Update(
    version=7, full=True, boxes=[Box(id=n, address="h:1", weight=1, state=State.READY) for n in range(300)]
)


@given(st.lists(st.integers(0, 10**6), max_size=10))
def test_server_lists_are_decoded_from_any_split(positions: list[int]) -> None:
    decoder, updates = DelimitedDecoder(), list[Update]()
    for piece in split_at(encode_delimited(UPDATE) + encode_delimited(Update(version=8)), positions):
        updates += decoder.feed(piece)
    assert updates == [UPDATE, Update(version=8)]


def test_server_lists_with_invalid_length_or_body_are_rejected() -> None:
    with pytest.raises(ValueError, match="length prefix has more"):
        DelimitedDecoder().feed(b"\xff\xff\xff\xff\xff")
    with pytest.raises(ValueError, match="server list of"):
        DelimitedDecoder().feed(b"\xff\xff\xff\x7f")
    with pytest.raises(ValueError, match="not a server list"):
        DelimitedDecoder().feed(b"\x03\xff\xff\xff")


@given(st.integers(0, 10**6), st.integers(1, 255))
def test_a_damaged_or_truncated_cache_is_rejected(position: int, change: int) -> None:
    data = bytearray(encode_cache(UPDATE))
    assert decode_cache(bytes(data)) == UPDATE
    data[position % len(data)] ^= change
    with pytest.raises(CacheError):
        decode_cache(bytes(data))
    with pytest.raises(CacheError, match="truncated"):
        decode_cache(encode_cache(UPDATE)[:-3])


@given(
    st.lists(st.tuples(st.sampled_from([0, 2]), st.sampled_from([3, 40])), min_size=1, max_size=60),
    st.lists(st.integers(0, 10**6), max_size=6),
)
def test_frames_with_equal_headers_are_parsed_as_others_are(
    shapes: list[tuple[int, int]], positions: list[int]
) -> None:
    items = [(channel, bytes([n % 250]) * size) for n, (channel, size) in enumerate(shapes)]
    assert parse_pieces(split_at(b"".join(encode_frame(*item) for item in items), positions)) == items
    runs = [
        e
        for e in Parser().feed(b"".join(encode_frame(0, b"ab") for _ in range(50)))
        if isinstance(e, FrameRun)
    ]
    assert [(len(e.data), e.last_offset) for e in runs] == [(300, 294)]


# messages that two parsers could delimit differently

AMBIGUOUS_HEADERS = {
    "two lengths": "Content-Length: 4\r\nContent-Length: 40\r\n",
    "two lengths, in different case": "content-length: 4\r\nContent-LENGTH: 0\r\n",
    "a length in a folded line": "Content-Length: 4\r\n 0\r\n",
    "a length that is a list": "Content-Length: 4, 4\r\n",
    "a signed length": "Content-Length: +4\r\n",
    "a space before the colon": "Content-Length : 4\r\n",
    "a tab before the colon": "Content-Length\t: 4\r\n",
    "a space before the name": " Content-Length: 4\r\n",
    "a chunked body": "Transfer-Encoding: chunked\r\n",
    "two CSeq": "CSeq: 2\r\nCSeq: 3\r\n",
    "two sessions": "Session: a\r\nSession: b\r\n",
    "a session in a folded line": "Session: a\r\n\tb\r\n",
    "a line that ends with a line feed alone": "X-A: b\nContent-Length: 4\r\n",
    "a carriage return in a value": "X-A: b\rContent-Length: 4\r\n",
    "a zero byte": "X-A: b\0c\r\n",
    "an invalid name": "X(A): b\r\n",
    "no colon": "Content-Length\r\n",
}


@pytest.mark.parametrize("lines", AMBIGUOUS_HEADERS.values(), ids=AMBIGUOUS_HEADERS.keys())
@pytest.mark.parametrize("place", ["first", "last"])
def test_ambiguous_heads_are_rejected_and_nothing_after_them_is_read(lines: str, place: str) -> None:
    cseq = "" if "CSeq" in lines else "CSeq: 1\r\n"
    fields = lines + cseq if place == "first" else cseq + lines
    smuggled = b"SETUP rtsp://x/claims/a RTSP/1.0\r\nCSeq: 9\r\n\r\n"
    data = f"GET_PARAMETER rtsp://x/a RTSP/1.0\r\n{fields}\r\n".encode() + smuggled
    for pieces in ([data], [data[n : n + 1] for n in range(len(data))]):
        parser = Parser()
        events = [event for piece in pieces for event in parser.feed(piece)]
        assert [type(e) for e in events] == [MalformedInput] and events[0].status == 400, events


def test_repeated_equal_fields_and_split_lists_are_joined() -> None:
    first, second = "RTP/AVP;unicast;client_port=4-5", "RTP/AVP/TCP;unicast;interleaved=2-3"
    start = "SETUP rtsp://x/a RTSP/1.0\r\nCSeq: 1\r\nCSeq: 1\r\nContent-Length: 0\r\nContent-Length: 0\r\n"
    text = f"{start}Transport: {first}\r\ntransport: {second}\r\nX-Long: a\r\n b\r\n\r\n"
    (request,) = Parser().feed(text.encode())
    assert isinstance(request, Request) and request.cseq == "1" and request.headers.get("X-long") == "a b"
    offers = parse_transport(request.headers.get("Transport"))
    assert [o.is_interleaved for o in offers] == [False, True] and offers[1].channels == (2, 3)
