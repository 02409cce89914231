"""Parser of a connection: takes bytes in pieces of any size, returns messages and interleaved frames.

Consecutive complete frames on one even channel (media, by convention) are returned as one view of the input,
so that a relay forwards them without a copy. Frames on odd channels (RTCP) are returned one by one. Views are
valid until the next call of `feed`. After a `MalformedInput` the parser ignores all input, and the connection
should be closed.
"""

from __future__ import annotations

import re
import struct
from dataclasses import dataclass

from lemonhall.rtsp.messages import LOWERCASE_NAMES, VERSION, Headers, Request, Response

FRAME_MARKER = 0x24
FRAME_HEADER_BYTES = 4
FRAME_HEADER = struct.Struct(">BBH")
FORBIDDEN_IN_VALUE = re.compile(r"[\r\n\0]")
SINGLE_VALUE_FIELDS = {"content-length", "cseq", "session", "content-type", "content-encoding", "range"}
FIELD_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
STATUS_LINE = re.compile(r"RTSP/(\d+)\.(\d+) (\d{3})(?: (.*))?")
REQUEST_LINE = re.compile(r"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) (\S+) RTSP/(\d+)\.(\d+)")


@dataclass(frozen=True)
class ParserLimits:
    """Limits of one message. The head is the start line with all header fields."""

    max_head_bytes: int = 16384
    max_body_bytes: int = 65536
    max_url_bytes: int = 2048
    max_fields: int = 100


@dataclass(frozen=True)
class MalformedInput:
    """Input that cannot be parsed, with the status to send (RFC 2326, 7.1.1), and the CSeq if known."""

    status: int
    reason: str
    cseq: str = ""


@dataclass(frozen=True)
class FrameRun:
    """Complete interleaved frames of one channel, headers included (RFC 2326, 10.12).

    `is_rtcp`: the channel is odd, and the run is a single frame.
    """

    data: memoryview
    is_rtcp: bool
    last_offset: int = 0  # of the last frame of the run

    @property
    def channel(self) -> int:
        return self.data[1]


Event = Request | Response | FrameRun | MalformedInput


class Parser:
    """Parses one direction of one connection."""

    def __init__(self, limits: ParserLimits | None = None) -> None:
        self.limits = limits or ParserLimits()
        self.buffer = bytearray()  # an incomplete message or frame
        self.has_failed = False

    @property
    def in_message(self) -> bool:
        """Whether a message is incomplete. A slow sender can keep it so, hence callers apply a timeout."""
        return bool(self.buffer) and self.buffer[0] != FRAME_MARKER

    def feed(self, data: bytes | memoryview) -> list[Event]:
        events: list[Event] = []
        if self.has_failed:
            return events
        view, offset = memoryview(data), 0
        if self.buffer:
            offset = self._complete_buffer(view, events)
            if offset < 0:
                return events
        while offset < len(view) and not self.has_failed:
            read = self._read_frames if view[offset] == FRAME_MARKER else self._read_message
            end = read(view, offset, events)
            if end == offset:
                break
            offset = end
        if not self.has_failed and offset < len(view):
            self.buffer = bytearray(view[offset:])
        return events

    def _complete_buffer(self, view: memoryview, events: list[Event]) -> int:
        """Completes the buffered message or frame with as few new bytes as needed.

        Returns the offset of the remaining bytes, or -1 if there are none or the input is malformed.
        """
        buffer = self.buffer
        if buffer[0] == FRAME_MARKER:
            missing_header = max(0, FRAME_HEADER_BYTES - len(buffer))
            buffer += view[:missing_header]
            if len(buffer) < FRAME_HEADER_BYTES:
                return -1
            missing_payload = FRAME_HEADER_BYTES + (buffer[2] << 8 | buffer[3]) - len(buffer)
            buffer += view[missing_header : missing_header + missing_payload]
            if len(view) - missing_header < missing_payload:
                return -1
            self.buffer = bytearray()
            events.append(FrameRun(memoryview(buffer), bool(buffer[1] & 1)))
            return missing_header + missing_payload
        old_length = len(buffer)
        buffer += view[: self.limits.max_head_bytes + self.limits.max_body_bytes + 4]
        combined = memoryview(bytes(buffer))
        end = self._read_message(combined, 0, events)
        if self.has_failed:
            return -1
        if end == 0:
            return (
                -1
                if len(buffer) - old_length == len(view)
                else self._fail(events, 413, "message exceeds the limits")
            )
        self.buffer = bytearray()
        if end < old_length:  # the buffer began with empty lines, which are read alone
            self.buffer = bytearray(buffer[end:old_length])
            return self._complete_buffer(view, events)
        return end - old_length

    def _read_frames(self, view: memoryview, offset: int, events: list[Event]) -> int:
        """Reads complete frames: runs of media, single frames of RTCP.

        Returns the offset of the first byte that is not part of a complete frame.
        """
        run_start, last_frame, end, run_channel, last_size = offset, offset, len(view), -1, -1
        while offset + FRAME_HEADER_BYTES <= end:
            marker, channel, size = FRAME_HEADER.unpack_from(view, offset)
            if marker != FRAME_MARKER or offset + FRAME_HEADER_BYTES + size > end:
                break
            after = offset + FRAME_HEADER_BYTES + size
            if channel != run_channel:
                if offset > run_start:
                    events.append(FrameRun(view[run_start:offset], False, last_frame - run_start))
                run_start, run_channel = offset, channel
                if channel & 1:
                    events.append(FrameRun(view[offset:after], True))
                    run_start, run_channel = after, -1
            elif size == last_size and end - after > 4 * (size + FRAME_HEADER_BYTES):
                after = offset + (size + FRAME_HEADER_BYTES) * count_equal_headers(
                    view, offset, size + FRAME_HEADER_BYTES
                )
            last_size = size
            last_frame, offset = after - size - FRAME_HEADER_BYTES, after
        if offset > run_start:
            events.append(FrameRun(view[run_start:offset], False, last_frame - run_start))
        return offset

    def _fail(self, events: list[Event], status: int, reason: str, cseq: str = "") -> int:
        self.has_failed = True
        self.buffer = bytearray()
        events.append(MalformedInput(status, reason, cseq))
        return -1

    def _read_message(self, view: memoryview, offset: int, events: list[Event]) -> int:
        """Reads one message, or the empty lines before one.

        Returns the offset behind it, `offset` if the message is incomplete, -1 if it is malformed.
        """
        start = offset
        while offset < len(view) and view[offset] in (13, 10):  # empty lines are ignored (RFC 2326, 4.1)
            offset += 1
        if offset > start:
            return offset
        limits = self.limits
        head = bytes(view[offset : offset + limits.max_head_bytes + 4])
        head_length = head.find(b"\r\n\r\n")
        if head_length < 0 or head_length > limits.max_head_bytes:
            if len(head) > limits.max_head_bytes:
                return self._fail(events, 413, f"message head exceeds {limits.max_head_bytes} bytes")
            return start
        try:
            lines = head[:head_length].decode().split("\r\n")
        except UnicodeDecodeError:
            return self._fail(events, 400, "message head is not UTF-8")
        headers = self._read_headers(lines[1:], events)
        if headers is None:
            return -1
        cseq = headers.get("CSeq")
        length = headers.get("Content-Length", "0").strip()
        if not (length.isascii() and length.isdigit() and len(length) < 10):
            return self._fail(events, 400, f"Content-Length {length[:20]!r} is not a valid number", cseq)
        body_bytes = int(length)
        if body_bytes > limits.max_body_bytes:
            return self._fail(events, 413, f"body of {body_bytes} bytes exceeds the limit", cseq)
        end = offset + head_length + 4 + body_bytes
        if end > len(view):
            return start
        body = bytes(view[end - body_bytes : end])
        if status_line := STATUS_LINE.fullmatch(lines[0]):
            if status_line[1] != "1":
                return self._fail(events, 505, f"version is not {VERSION}", cseq)
            events.append(Response(headers, body, int(status_line[3]), status_line[4] or ""))
            return end
        request_line = REQUEST_LINE.fullmatch(lines[0])
        if not request_line:
            return self._fail(events, 400, f"{lines[0][:60]!r} is not a request line", cseq)
        if (request_line[3], request_line[4]) != ("1", "0"):
            return self._fail(events, 505, f"version is not {VERSION}", cseq)
        if len(request_line[2]) > limits.max_url_bytes:
            return self._fail(events, 414, f"URL exceeds {limits.max_url_bytes} bytes", cseq)
        events.append(Request(headers, body, request_line[1], request_line[2]))
        return end

    def _read_headers(self, lines: list[str], events: list[Event]) -> Headers | None:
        """Parses the header fields.

        Rejects every head that two parsers could interpret differently: a message that the next hop delimits
        elsewhere can smuggle another message in its body (RFC 9112, 11.2).
        """
        if len(lines) > self.limits.max_fields:
            self._fail(events, 400, f"message has more than {self.limits.max_fields} header fields")
            return None
        items: list[tuple[str, str]] = []
        first_values: dict[str, str] = {}
        for line in lines:
            name, colon, value = line.partition(":")
            key = LOWERCASE_NAMES.get(name)
            if key is None or "\r" in value or "\n" in value or "\0" in value:
                if line[:1] in (" ", "\t") and items:  # folded line (RFC 2326, 4.2)
                    name, previous = items[-1]
                    key = name.lower()
                    if key in SINGLE_VALUE_FIELDS or FORBIDDEN_IN_VALUE.search(line):
                        self._fail(
                            events, 400, f"{name} is continued in a folded line", first_values.get("cseq", "")
                        )
                        return None
                    items[-1] = (name, f"{previous} {line.strip()}")
                    if first_values[key].endswith(previous):
                        first_values[key] += f" {line.strip()}"
                    continue
                if not colon or not FIELD_NAME.fullmatch(name) or FORBIDDEN_IN_VALUE.search(value):
                    self._fail(
                        events, 400, f"{line[:60]!r} is not a header field", first_values.get("cseq", "")
                    )
                    return None
                key = name.lower()
            value = value.strip()
            items.append((name, value))
            if key not in first_values:
                first_values[key] = value
            elif key == "transport":  # a list, which may be split over several fields (RFC 2326, 4.2)
                first_values[key] += f",{value}"
            elif key in SINGLE_VALUE_FIELDS and first_values[key] != value:
                self._fail(
                    events, 400, f"{name} is repeated with another value", first_values.get("cseq", "")
                )
                return None
        if "transfer-encoding" in first_values:
            self._fail(events, 400, "Transfer-Encoding is not defined for RTSP", first_values.get("cseq", ""))
            return None
        return Headers(items, first_values)


def count_equal_headers(view: memoryview, offset: int, frame_bytes: int) -> int:
    """Counts the consecutive frames of equal size from `offset` whose headers are identical.

    Avoids a loop over the frames: one strided slice holds the same header byte of all frames, and
    stripping the leading repetitions of its first byte shows how many frames agree in it.
    """
    count = (len(view) - offset) // frame_bytes
    end = offset + count * frame_bytes
    for column in range(FRAME_HEADER_BYTES):
        header_byte = bytes(view[offset + column : end : frame_bytes])
        count = min(count, len(header_byte) - len(header_byte.lstrip(header_byte[:1])))
    return count


def split_frames(run: memoryview | bytes) -> list[tuple[int, memoryview]]:
    """Returns channel and payload of each frame of a run."""
    view, offset, frames = memoryview(run), 0, []
    while offset < len(view):
        end = offset + FRAME_HEADER_BYTES + (view[offset + 2] << 8 | view[offset + 3])
        frames.append((view[offset + 1], view[offset + FRAME_HEADER_BYTES : end]))
        offset = end
    return frames


def encode_frame(channel: int, payload: bytes | memoryview) -> bytes:
    """Encodes one interleaved frame (RFC 2326, 10.12). Raises `ValueError` above 65,535 bytes of payload."""
    if len(payload) > 0xFFFF or not 0 <= channel <= 255:
        raise ValueError(f"invalid frame: {len(payload)} bytes on channel {channel}")
    return bytes((FRAME_MARKER, channel, len(payload) >> 8, len(payload) & 0xFF)) + payload
