"""Requests and responses of RTSP 1.0 (RFC 2326, sections 4 to 7) and the headers that carry structure."""

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
REASONS = {
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


# Fields that are met often, so that their names need neither be checked nor made lower each time.
LOWER = {
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
    """Header fields in order; names compare without case (RFC 2326, 4.2). A repeated name is kept."""

    __slots__ = ("first", "items")

    def __init__(self, items: Iterable[tuple[str, str]] = (), first: dict[str, str] | None = None) -> None:
        self.items = list(items)
        self.first = first  # by name in lower case; None: made when it is asked for

    def index(self) -> dict[str, str]:
        if self.first is None:
            self.first = {}
            for key, value in self.items:
                self.first.setdefault(key.lower(), value)
        return self.first

    def get(self, name: str, default: str = "") -> str:
        first = self.first
        if first is None:
            first = self.index()
        return first.get(LOWER.get(name) or name.lower(), default)

    def __contains__(self, name: str) -> bool:
        return name.lower() in self.index()

    def __iter__(self) -> Iterator[tuple[str, str]]:
        return iter(self.items)

    def add(self, name: str, value: str) -> None:
        if "\r" in value or "\n" in value:
            raise ValueError(f"header {name}: a value cannot hold a line break")
        self.items.append((name, value))
        self.first = None

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
        """The session's id without its parameters (RFC 2326, 12.37)."""
        return self.headers.get("Session").split(";", 1)[0].strip()

    def _encode(self, first: str) -> bytes:
        lines = [first, *(f"{name}: {value}" for name, value in self.headers)]
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
        return self._encode(f"{VERSION} {self.status} {self.reason or REASONS.get(self.status, 'Unknown')}")


def make_request(method: str, url: str, cseq: int, *headers: tuple[str, str], body: bytes = b"") -> Request:
    made = Headers([("CSeq", str(cseq))])
    for name, value in headers:
        made.add(name, value)
    return Request(made, body, method, url)


def make_response(status: int, cseq: str, *headers: tuple[str, str], body: bytes = b"") -> Response:
    made = Headers([("CSeq", cseq)] if cseq else [])
    for name, value in headers:
        made.add(name, value)
    return Response(made, body, status)


STATUS_LINES = {status: f"{VERSION} {status} {reason}\r\n" for status, reason in REASONS.items()}


def written(first: str, cseq: str, headers: Sequence[tuple[str, str]], body: bytes) -> bytes:
    """A message as bytes, for what is sent and not looked at again. Raises `ValueError` for a line break."""
    fields = "".join([f"{name}: {value}\r\n" for name, value in headers])
    if body:
        fields += f"Content-Length: {len(body)}\r\n"
    text = f"{first}CSeq: {cseq}\r\n{fields}\r\n"
    if text.count("\n") != len(headers) + 3 + bool(body) or text.count("\r") != len(headers) + 3 + bool(body):
        raise ValueError("a header's value cannot hold a line break")
    return text.encode() + body


def answer(status: int, cseq: str, *headers: tuple[str, str], body: bytes = b"") -> bytes:
    first = STATUS_LINES.get(status) or f"{VERSION} {status} Unknown\r\n"
    return written(first, cseq, headers, body)


def ask(method: str, url: str, cseq: int, *headers: tuple[str, str], body: bytes = b"") -> bytes:
    return written(f"{method} {url} {VERSION}\r\n", str(cseq), headers, body)


@dataclass(frozen=True)
class Transport:
    """One transport of a Transport header (RFC 2326, 12.39)."""

    protocol: str
    unicast: bool
    channels: tuple[int, int] | None  # RTP and RTCP channel, where interleaved
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
    """The transports that a header offers, in its order. Raises `ValueError` on a channel that is none."""
    found = []
    for offer in text.split(","):
        first, *rest = [part.strip() for part in offer.split(";")]
        if not first:
            continue
        options = dict(part.partition("=")[::2] for part in rest)
        channels = None
        if "interleaved" in options:
            pair = re.fullmatch(r"(\d{1,3})(?:-(\d{1,3}))?", options["interleaved"])
            if not pair:
                raise ValueError(f"interleaved={options['interleaved']} names no channels")
            low = int(pair[1])
            channels = (low, int(pair[2]) if pair[2] else low + 1)
            if max(channels) > 255 or channels[0] == channels[1]:
                raise ValueError(f"interleaved={options['interleaved']} is out of range")
        ssrc = options.get("ssrc", "")
        known = int(ssrc, 16) if re.fullmatch(r"[0-9A-Fa-f]{1,8}", ssrc) else None
        found.append(Transport(first, "multicast" not in options, channels, known))
    return tuple(found)


def parse_npt(text: str) -> float | None:
    """The start of a Range in normal play time (RFC 2326, 3.6), seconds; None: none given, or `now`."""
    match = re.match(r"\s*npt\s*=\s*(?:(\d+):(\d\d):(\d\d(?:\.\d*)?)|(\d+(?:\.\d*)?))", text)
    if not match:
        return None
    if match[4]:
        return float(match[4])
    return int(match[1]) * 3600 + int(match[2]) * 60 + float(match[3])


def split_url(url: str) -> tuple[str, str]:
    """Host and port as written, and the path with its query. Raises `ValueError` if it is no RTSP URL."""
    parts = URL.fullmatch(url)
    if not parts:
        raise ValueError(f"{url[:80]!r} is no RTSP URL")
    path, query = parts[2] or "/", parts[3]
    return parts[1], f"{path}?{query}" if query else path


URL = re.compile(r"(?i:rtspu?)://([^/?#\s]+)(/[^?#\s]*)?(?:\?([^#\s]*))?(?:#\S*)?")
TRACK = re.compile(r"/(?:trackID|streamid|track)=(\d{1,3})/?$", re.IGNORECASE)


def split_track(path: str) -> tuple[str, int | None]:
    """A path without its track suffix, and the track's number, if it names one."""
    if match := TRACK.search(path):
        return path[: match.start()] or "/", int(match[1])
    return (path[:-1] if path.endswith("/") and len(path) > 1 else path), None
