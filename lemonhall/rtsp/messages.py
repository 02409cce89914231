"""Requests and responses of RTSP 1.0 (RFC 2326, sections 4 to 7), and parsers of structured header values."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import lru_cache

VERSION = "RTSP/1.0"
METHODS = (
    "OPTIONS",
    "DESCRIBE",
    "ANNOUNCE",
    "SETUP",
    "PLAY",
    "PAUSE",
    "RECORD",
    "REDIRECT",
    "GET_PARAMETER",
    "SET_PARAMETER",
    "TEARDOWN",
)
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Time-out",
    413: "Request Entity Too Large",
    414: "Request-URI Too Large",
    451: "Parameter Not Understood",
    453: "Not Enough Bandwidth",
    454: "Session Not Found",
    455: "Method Not Valid in This State",
    459: "Aggregate Operation Not Allowed",
    460: "Only Aggregate Operation Allowed",
    461: "Unsupported Transport",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Time-out",
    505: "RTSP Version not supported",
    551: "Option not supported",
}


# Lower-case names of common fields. Looking them up avoids validating and converting the name each time.
LOWERCASE_NAMES = {
    name: name.lower()
    for name in (
        "CSeq",
        "Session",
        "Transport",
        "Content-Length",
        "Content-Type",
        "Content-Base",
        "Range",
        "RTP-Info",
        "Require",
        "User-Agent",
        "Accept",
        "Bandwidth",
        "Via",
        "Public",
        "Retry-After",
        "X-Viewer",
        "X-Again",
        "X-Claim",
        "X-Top-Rung",
        "endpoint-load-metrics",
    )
}


class Headers:
    """Header fields in their order, repeated ones included. Names are case-insensitive (RFC 2326, 4.2)."""

    __slots__ = ("first_values", "items")

    def __init__(
        self, items: Iterable[tuple[str, str]] = (), first_values: dict[str, str] | None = None
    ) -> None:
        self.items = list(items)
        self.first_values = first_values  # by lower-case name; None: built at the first lookup

    def index(self) -> dict[str, str]:
        """Returns the first value of each field by its lower-case name. The parser joins Transport fields."""
        if self.first_values is None:
            self.first_values = {}
            for name, value in self.items:
                self.first_values.setdefault(name.lower(), value)
        return self.first_values

    def get(self, name: str, default: str = "") -> str:
        first_values = self.first_values
        if first_values is None:
            first_values = self.index()
        return first_values.get(LOWERCASE_NAMES.get(name) or name.lower(), default)

    def __contains__(self, name: str) -> bool:
        return name.lower() in self.index()

    def __iter__(self) -> Iterator[tuple[str, str]]:
        return iter(self.items)

    def add(self, name: str, value: str) -> None:
        if "\r" in value or "\n" in value:
            raise ValueError(f"header {name}: value contains a line break")
        self.items.append((name, value))
        self.first_values = None

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Headers) and self.items == other.items

    def __repr__(self) -> str:
        return f"Headers({self.items!r})"


@dataclass
class Message:
    headers: Headers = field(default_factory=Headers)
    body: bytes = b""

    @property
    def cseq(self) -> str:
        return self.headers.get("CSeq")

    @property
    def session(self) -> str:
        """Session identifier without its parameters (RFC 2326, 12.37)."""
        return self.headers.get("Session").split(";", 1)[0].strip()

    def _encode(self, start_line: str) -> bytes:
        lines = [start_line, *(f"{name}: {value}" for name, value in self.headers)]
        if self.body or "Content-Type" in self.headers:
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join([*lines, "", ""]).encode() + self.body


@dataclass
class Request(Message):
    method: str = "OPTIONS"
    url: str = "*"

    def encode(self) -> bytes:
        return self._encode(f"{self.method} {self.url} {VERSION}")


@dataclass
class Response(Message):
    status: int = 200
    reason: str = ""

    def encode(self) -> bytes:
        return self._encode(
            f"{VERSION} {self.status} {self.reason or REASON_PHRASES.get(self.status, 'Unknown')}"
        )


def make_request(method: str, url: str, cseq: int, *headers: tuple[str, str], body: bytes = b"") -> Request:
    fields = Headers([("CSeq", str(cseq))])
    for name, value in headers:
        fields.add(name, value)
    return Request(fields, body, method, url)


def make_response(status: int, cseq: str, *headers: tuple[str, str], body: bytes = b"") -> Response:
    fields = Headers([("CSeq", cseq)] if cseq else [])
    for name, value in headers:
        fields.add(name, value)
    return Response(fields, body, status)


STATUS_LINES = {status: f"{VERSION} {status} {reason}\r\n" for status, reason in REASON_PHRASES.items()}


def encode_message(start_line: str, cseq: str, headers: Sequence[tuple[str, str]], body: bytes) -> bytes:
    """Encodes a message that is sent and not inspected afterwards, without building a `Message`.

    Raises `ValueError` if a header value contains a line break.
    """
    fields = "".join([f"{name}: {value}\r\n" for name, value in headers])
    if body:
        fields += f"Content-Length: {len(body)}\r\n"
    text = f"{start_line}CSeq: {cseq}\r\n{fields}\r\n"
    if text.count("\n") != len(headers) + 3 + bool(body) or text.count("\r") != len(headers) + 3 + bool(body):
        raise ValueError("a header value contains a line break")
    return text.encode() + body


def encode_response(status: int, cseq: str, *headers: tuple[str, str], body: bytes = b"") -> bytes:
    status_line = STATUS_LINES.get(status) or f"{VERSION} {status} Unknown\r\n"
    return encode_message(status_line, cseq, headers, body)


def encode_request(method: str, url: str, cseq: int, *headers: tuple[str, str], body: bytes = b"") -> bytes:
    return encode_message(f"{method} {url} {VERSION}\r\n", str(cseq), headers, body)


@dataclass(frozen=True)
class Transport:
    """One transport specification of a Transport header (RFC 2326, 12.39)."""

    protocol: str
    unicast: bool
    channels: tuple[int, int] | None  # RTP and RTCP channel of an interleaved transport
    ssrc: int | None = None
    mode: str = "PLAY"

    @property
    def is_interleaved(self) -> bool:
        return self.protocol.upper() == "RTP/AVP/TCP" and self.unicast

    def encode(self) -> str:
        parts = [self.protocol, "unicast" if self.unicast else "multicast"]
        if self.channels:
            parts.append(f"interleaved={self.channels[0]}-{self.channels[1]}")
        if self.ssrc is not None:
            parts.append(f"ssrc={self.ssrc:08X}")
        return ";".join(parts)


@lru_cache(maxsize=4096)
def parse_transport(text: str) -> tuple[Transport, ...]:
    """Returns the offered transports in their order. Raises `ValueError` for invalid interleaved channels."""
    transports = []
    for offer in text.split(","):
        protocol, *parameters = [part.strip() for part in offer.split(";")]
        if not protocol:
            continue
        options = dict(parameter.partition("=")[::2] for parameter in parameters)
        channels = None
        if "interleaved" in options:
            match = re.fullmatch(r"(\d{1,3})(?:-(\d{1,3}))?", options["interleaved"])
            if not match:
                raise ValueError(f"interleaved={options['interleaved']} is not a pair of channels")
            first_channel = int(match[1])
            channels = (first_channel, int(match[2]) if match[2] else first_channel + 1)
            if max(channels) > 255 or channels[0] == channels[1]:
                raise ValueError(f"interleaved={options['interleaved']} is out of range")
        ssrc_text = options.get("ssrc", "")
        ssrc = int(ssrc_text, 16) if re.fullmatch(r"[0-9A-Fa-f]{1,8}", ssrc_text) else None
        transports.append(Transport(protocol, "multicast" not in options, channels, ssrc))
    return tuple(transports)


def parse_npt(text: str) -> float | None:
    """Returns the start of a Range in normal play time (RFC 2326, 3.6) in seconds. None: absent or `now`."""
    match = re.match(r"\s*npt\s*=\s*(?:(\d+):(\d\d):(\d\d(?:\.\d*)?)|(\d+(?:\.\d*)?))", text)
    if not match:
        return None
    if match[4]:
        return float(match[4])
    return int(match[1]) * 3600 + int(match[2]) * 60 + float(match[3])


def split_url(url: str) -> tuple[str, str]:
    """Returns host and port as written, and the path with its query. Raises `ValueError` for other URLs."""
    match = URL_PATTERN.fullmatch(url)
    if not match:
        raise ValueError(f"{url[:80]!r} is not an RTSP URL")
    path, query = match[2] or "/", match[3]
    return match[1], f"{path}?{query}" if query else path


URL_PATTERN = re.compile(r"(?i:rtspu?)://([^/?#\s]+)(/[^?#\s]*)?(?:\?([^#\s]*))?(?:#\S*)?")
TRACK_SUFFIX = re.compile(r"/(?:trackID|streamid|track)=(\d{1,3})/?$", re.IGNORECASE)


def split_track(path: str) -> tuple[str, int | None]:
    """Returns the path without its track suffix, and the track number, None if there is no suffix."""
    if match := TRACK_SUFFIX.search(path):
        return path[: match.start()] or "/", int(match[1])
    return (path[:-1] if path.endswith("/") and len(path) > 1 else path), None
