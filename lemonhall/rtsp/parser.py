"""The reader of a connection: bytes in any pieces, messages and interleaved frames out.

A run of whole frames on one even channel (media, by custom) comes out as one view on the bytes that came in,
so that a relay passes it on without a copy; frames on odd channels (RTCP) come one by one. Views are good
until the next call of `feed`. After a `Malformed` nothing more is read: the connection is to be closed.
"""

from __future__ import annotations

import re
import struct
from dataclasses import dataclass

from lemonhall.rtsp.messages import LOWER, VERSION, Headers, Request, Response

DOLLAR = 0x24
FRAME_HEADER = 4
FRAME = struct.Struct(">BBH")
BREAKS = re.compile(r"[\r\n\0]")
ONCE = {"content-length", "cseq", "session", "content-type", "content-encoding", "range"}
TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
STATUS_LINE = re.compile(r"RTSP/(\d+)\.(\d+) (\d{3})(?: (.*))?")
REQUEST_LINE = re.compile(r"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) (\S+) RTSP/(\d+)\.(\d+)")


@dataclass(frozen=True)
class Limits:
    """Bytes: of a message's head, of its body, of a URL; and header fields in number."""

    head: int = 16384
    body: int = 65536
    url: int = 2048
    fields: int = 100


@dataclass(frozen=True)
class Malformed:
    """What cannot be read: the status to answer with (RFC 2326, 7.1.1) and why; CSeq where it was seen."""

    status: int
    why: str
    cseq: str = ""


@dataclass(frozen=True)
class Frames:
    """A run of whole interleaved frames of one channel, headers included (10.12); `rtcp`: odd, one frame."""

    data: memoryview
    rtcp: bool
    last: int = 0  # where the last frame of the run begins

    @property
    def channel(self) -> int:
        return self.data[1]


Event = Request | Response | Frames | Malformed


class Parser:
    """One direction of one connection."""

    def __init__(self, limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        self.kept = bytearray()  # the start of what is not whole yet
        self.broken = False

    @property
    def in_message(self) -> bool:
        """Whether a message has begun and not ended: what a slow drip holds up."""
        return bool(self.kept) and self.kept[0] != DOLLAR

    def feed(self, data: bytes | memoryview) -> list[Event]:
        events: list[Event] = []
        if self.broken:
            return events
        view, at = memoryview(data), 0
        if self.kept:
            at = self._finish_kept(view, events)
            if at < 0:
                return events
        while at < len(view) and not self.broken:
            read = self._walk if view[at] == DOLLAR else self._message
            end = read(view, at, events)
            if end == at:
                break
            at = end
        if not self.broken and at < len(view):
            self.kept = bytearray(view[at:])
        return events

    def _finish_kept(self, view: memoryview, events: list[Event]) -> int:
        """Completes what was kept with as few new bytes as it takes; where the rest begins, or -1."""
        kept = self.kept
        if kept[0] == DOLLAR:
            take = max(0, FRAME_HEADER - len(kept))
            kept += view[:take]
            if len(kept) < FRAME_HEADER:
                return -1
            need = FRAME_HEADER + (kept[2] << 8 | kept[3]) - len(kept)
            kept += view[take : take + need]
            if len(view) - take < need:
                return -1
            self.kept = bytearray()
            events.append(Frames(memoryview(kept), bool(kept[1] & 1)))
            return take + need
        had = len(kept)
        kept += view[: self.limits.head + self.limits.body + 4]
        whole = memoryview(bytes(kept))
        end = self._message(whole, 0, events)
        if self.broken:
            return -1
        if end == 0:
            return (
                -1 if len(kept) - had == len(view) else self._fail(events, 413, "a message over the limits")
            )
        self.kept = bytearray()
        if end < had:  # bytes behind a message that had been kept: only line ends may stand before the next
            self.kept = bytearray(kept[end:had])
            return self._finish_kept(view, events)
        return end - had

    def _walk(self, view: memoryview, at: int, events: list[Event]) -> int:
        """Whole frames from `at`: runs of media, single RTCP frames; where the first not whole one begins."""
        start, last, end, run, same = at, at, len(view), -1, -1
        while at + FRAME_HEADER <= end:
            mark, channel, size = FRAME.unpack_from(view, at)
            if mark != DOLLAR or at + FRAME_HEADER + size > end:
                break
            after = at + FRAME_HEADER + size
            if channel != run:
                if at > start:
                    events.append(Frames(view[start:at], False, last - start))
                start, run = at, channel
                if channel & 1:
                    events.append(Frames(view[at:after], True))
                    start, run = after, -1
            elif size == same and end - after > 4 * (size + FRAME_HEADER):
                after = at + (size + FRAME_HEADER) * alike(view, at, size + FRAME_HEADER)
            same = size
            last, at = after - size - FRAME_HEADER, after
        if at > start:
            events.append(Frames(view[start:at], False, last - start))
        return at

    def _fail(self, events: list[Event], status: int, why: str, cseq: str = "") -> int:
        self.broken = True
        self.kept = bytearray()
        events.append(Malformed(status, why, cseq))
        return -1

    def _message(self, view: memoryview, at: int, events: list[Event]) -> int:
        """One message from `at`: the position behind it, `at` if it is not whole, -1 if it is broken."""
        begin = at
        while at < len(view) and view[at] in (13, 10):  # empty lines before a message are passed over (4.1)
            at += 1
        if at > begin:
            return at
        limits = self.limits
        head = bytes(view[at : at + limits.head + 4])
        stop = head.find(b"\r\n\r\n")
        if stop < 0 or stop > limits.head:
            if len(head) > limits.head:
                return self._fail(events, 413, f"a head over {limits.head} bytes")
            return begin
        try:
            lines = head[:stop].decode().split("\r\n")
        except UnicodeDecodeError:
            return self._fail(events, 400, "a head that is not UTF-8")
        headers = self._headers(lines[1:], events)
        if headers is None:
            return -1
        cseq = headers.get("CSeq")
        length = headers.get("Content-Length", "0").strip()
        if not (length.isascii() and length.isdigit() and len(length) < 10):
            return self._fail(events, 400, f"Content-Length {length[:20]!r} is no number", cseq)
        size = int(length)
        if size > limits.body:
            return self._fail(events, 413, f"a body of {size} bytes", cseq)
        after = at + stop + 4 + size
        if after > len(view):
            return begin
        body = bytes(view[after - size : after])
        if status := STATUS_LINE.fullmatch(lines[0]):
            if status[1] != "1":
                return self._fail(events, 505, f"not {VERSION}", cseq)
            events.append(Response(headers, body, int(status[3]), status[4] or ""))
            return after
        asked = REQUEST_LINE.fullmatch(lines[0])
        if not asked:
            return self._fail(events, 400, f"{lines[0][:60]!r} is no request line", cseq)
        if (asked[3], asked[4]) != ("1", "0"):
            return self._fail(events, 505, f"not {VERSION}", cseq)
        if len(asked[2]) > limits.url:
            return self._fail(events, 414, f"a URL over {limits.url} bytes", cseq)
        events.append(Request(headers, body, asked[1], asked[2]))
        return after

    def _headers(self, lines: list[str], events: list[Event]) -> Headers | None:
        """Fields of a head. What two readers could read in two ways is refused: one that the next reader cuts
        elsewhere carries another within it (RFC 9112, 11.2)."""
        if len(lines) > self.limits.fields:
            self._fail(events, 400, f"more than {self.limits.fields} header fields")
            return None
        items: list[tuple[str, str]] = []
        first: dict[str, str] = {}
        for line in lines:
            name, colon, value = line.partition(":")
            low = LOWER.get(name)
            if low is None or "\r" in value or "\n" in value or "\0" in value:
                if line[:1] in (" ", "\t") and items:  # folded (4.2)
                    name, before = items[-1]
                    low = name.lower()
                    if low in ONCE or BREAKS.search(line):
                        self._fail(events, 400, f"{name} goes on in a folded line", first.get("cseq", ""))
                        return None
                    items[-1] = (name, f"{before} {line.strip()}")
                    if first[low].endswith(before):
                        first[low] += f" {line.strip()}"
                    continue
                if not colon or not TOKEN.fullmatch(name) or BREAKS.search(value):
                    self._fail(events, 400, f"{line[:60]!r} is no header field", first.get("cseq", ""))
                    return None
                low = name.lower()
            value = value.strip()
            items.append((name, value))
            if low not in first:
                first[low] = value
            elif low == "transport":  # a list, which may be sent in parts (4.2)
                first[low] += f",{value}"
            elif low in ONCE and first[low] != value:
                self._fail(events, 400, f"{name} twice, with two values", first.get("cseq", ""))
                return None
        if "transfer-encoding" in first:
            self._fail(events, 400, "Transfer-Encoding, which RTSP has not", first.get("cseq", ""))
            return None
        return Headers(items, first)


def alike(view: memoryview, at: int, step: int) -> int:
    """How many frames in a row from `at` have the very same header, found without a loop over them.

    Each column of header bytes is a strided slice; what is left of it without its first byte's repeats tells.
    """
    count = (len(view) - at) // step
    end = at + count * step
    for column in range(FRAME_HEADER):
        seen = bytes(view[at + column : end : step])
        count = min(count, len(seen) - len(seen.lstrip(seen[:1])))
    return count


def split_frames(run: memoryview | bytes) -> list[tuple[int, memoryview]]:
    """The frames of a run: channel and payload of each."""
    view, at, found = memoryview(run), 0, []
    while at < len(view):
        after = at + FRAME_HEADER + (view[at + 2] << 8 | view[at + 3])
        found.append((view[at + 1], view[at + FRAME_HEADER : after]))
        at = after
    return found


def frame(channel: int, payload: bytes | memoryview) -> bytes:
    """One interleaved frame (RFC 2326, 10.12). Raises `ValueError` over 65,535 bytes."""
    if len(payload) > 0xFFFF or not 0 <= channel <= 255:
        raise ValueError(f"a frame of {len(payload)} bytes on channel {channel}")
    return bytes((DOLLAR, channel, len(payload) >> 8, len(payload) & 0xFF)) + payload
