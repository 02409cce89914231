"""Parses the tracks of an SDP (RFC 4566, as used by RFC 2326, appendix C), their controls and clock rates."""

from __future__ import annotations

import re
from dataclasses import dataclass


@dataclass(frozen=True)
class Track:
    kind: str  # video, audio, ...
    payload_type: int
    clock_rate: int  # Hz
    control: str  # as in the server's SDP


@dataclass(frozen=True)
class Description:
    """The tracks of a session, and the SDP for the viewer, with each control replaced by `trackID=N`."""

    tracks: tuple[Track, ...]
    text: bytes
    length_s: float  # from a=range:npt; 0: not given


# Hz, by static payload type (RFC 3551)
STATIC_CLOCK_RATES = {
    0: 8000,
    8: 8000,
    10: 44100,
    11: 44100,
    14: 90000,
    26: 90000,
    31: 90000,
    32: 90000,
    33: 90000,
}
MEDIA_LINE = re.compile(r"m=(\w+) \d+(?:/\d+)? RTP/\w+ (\d{1,3})(?: .*)?")
RANGE_LINE = re.compile(r"a=range:npt=0?(?:\.0*)?-(\d+(?:\.\d+)?)")


def parse(body: bytes) -> Description:
    """Raises `ValueError` if the body is not an SDP or has no track."""
    try:
        lines = body.decode().replace("\r\n", "\n").rstrip("\n").split("\n")
    except UnicodeDecodeError as error:
        raise ValueError("SDP is not UTF-8") from error
    if lines[0] != "v=0":
        raise ValueError("SDP does not begin with v=0")
    tracks: list[Track] = []
    output_lines: list[str] = []
    length_s = 0.0
    for number, line in enumerate(lines, 1):
        if line[1:2] != "=":
            raise ValueError(f"invalid SDP line {number}: {line[:40]!r}")
        if line.startswith("m="):
            media = MEDIA_LINE.fullmatch(line)
            if not media:
                raise ValueError(f"SDP line {number}: {line[:40]!r} is not an RTP track")
            payload_type = int(media[2])
            tracks.append(Track(media[1], payload_type, STATIC_CLOCK_RATES.get(payload_type, 90000), ""))
            output_lines += [line, f"a=control:trackID={len(tracks) - 1}"]
            continue
        if range_line := RANGE_LINE.match(line):
            length_s = float(range_line[1])
        if line.startswith("a=control:"):
            if tracks:
                tracks[-1] = Track(
                    tracks[-1].kind, tracks[-1].payload_type, tracks[-1].clock_rate, line[10:].strip()
                )
            continue
        rtpmap = re.match(r"a=rtpmap:(\d+) [^/]+/(\d+)", line)
        if rtpmap and tracks and int(rtpmap[1]) == tracks[-1].payload_type and int(rtpmap[2]) > 0:
            track = tracks[-1]
            tracks[-1] = Track(track.kind, track.payload_type, int(rtpmap[2]), track.control)
        output_lines.append(line)
    if not tracks:
        raise ValueError("SDP has no track")
    return Description(tuple(tracks), ("\r\n".join(output_lines) + "\r\n").encode(), length_s)
