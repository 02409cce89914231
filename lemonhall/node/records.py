"""DNS over UDP for one question: the SRV records of the list of media servers (RFC 1035, RFC 2782).

The reader takes an answer as a whole or not at all. It is our own since dnspython's costs 13 MB and 0.2 s at
the start and 27 ms an answer of 60 servers (docs/design/front-node.md), and the node has half a core.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from math import isfinite

from lemonhall.node.bounds import DNS_BYTES

A, SOA, TXT, SRV, IN = 1, 6, 16, 33, 1
LABELS = 32  # of one name, pointers included
_HEAD = struct.Struct(">HHHHHH")
_RECORD = struct.Struct(">HHIH")
_SRV = struct.Struct(">HHH")


class Spoilt(Exception):
    """An answer that cannot be trusted, and why."""


@dataclass(frozen=True, slots=True)
class Listed:
    """A media server of the list. `started_ms`: Unix time of a late start, else 0."""

    id: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    draining: bool
    weight: float
    started_ms: float


def _encoded(name: str) -> bytes:
    return b"".join(bytes([len(part)]) + part.encode() for part in name.rstrip(".").split(".")) + b"\0"


def question(ident: int, name: str) -> bytes:
    """The query for the SRV records of `name`; `ident` of 16 bits, unpredictable."""
    return _HEAD.pack(ident, 0x0100, 1, 0, 0, 0) + _encoded(name) + struct.pack(">HH", SRV, IN)


class _Reader:
    def __init__(self, data: bytes) -> None:
        self.data = data
        self.names: dict[int, tuple[str, int]] = {}  # by offset: the name and what follows it

    def name(self, at: int, deep: int = 0) -> tuple[str, int]:
        """The name at an offset and the offset behind it; pointers lead backwards only, so none loops."""
        if known := self.names.get(at):
            return known
        data, start = self.data, at
        labels: list[str] = []
        while True:
            if at >= len(data) or len(labels) > LABELS or deep > LABELS:
                raise Spoilt("a name has no end")
            size = data[at]
            if size == 0:
                end = at + 1
                break
            if size >= 0xC0:
                if at + 2 > len(data):
                    raise Spoilt("a name has no end")
                to = (size & 0x3F) << 8 | data[at + 1]
                if to >= start:
                    raise Spoilt("a name points forward")
                labels.append(self.name(to, deep + 1)[0])
                end = at + 2
                break
            if size > 63 or at + 1 + size > len(data):
                raise Spoilt("a label is too long")
            labels.append(data[at + 1 : at + 1 + size].decode("latin-1").lower())
            at += 1 + size
        made = ".".join(part for part in labels if part)
        if len(made) > 255:
            raise Spoilt("a name is too long")
        self.names[start] = (made, end)
        return made, end


def _texts(data: bytes) -> dict[str, str]:
    made: dict[str, str] = {}
    at = 0
    while at < len(data):
        size = data[at]
        if at + 1 + size > len(data):
            raise Spoilt("a text is cut off")
        name, _, value = data[at + 1 : at + 1 + size].decode("latin-1").partition("=")
        made[name] = value
        at += 1 + size
    return made


def read(data: bytes, ident: int, name: str) -> tuple[int, tuple[Listed, ...]]:
    """The number of the last event and the whole list. Raises `Spoilt`."""
    if not _HEAD.size <= len(data) <= DNS_BYTES:
        raise Spoilt(f"{len(data)} bytes")
    got, flags, questions, answers, authorities, more = _HEAD.unpack_from(data)
    if got != ident:
        raise Spoilt("another id")
    if flags & 0x8000 == 0 or flags & 0x7800 or questions != 1:
        raise Spoilt("no answer to a query")
    if flags & 0x0200:
        raise Spoilt("cut short")
    if flags & 0x000F:
        raise Spoilt(f"error {flags & 15}")
    reader = _Reader(data)
    asked, at = reader.name(_HEAD.size)
    if asked != name.lower().rstrip(".") or data[at : at + 4] != struct.pack(">HH", SRV, IN):
        raise Spoilt("another question")
    at += 4
    targets: dict[str, tuple[int, int, int]] = {}
    addresses: dict[str, str] = {}
    texts: dict[str, dict[str, str]] = {}
    serial: int | None = None
    for _ in range(answers + authorities + more):
        owner, at = reader.name(at)
        if at + _RECORD.size > len(data):
            raise Spoilt("fewer records than told")
        kind, cls, _, size = _RECORD.unpack_from(data, at)
        at += _RECORD.size
        end = at + size
        if end > len(data):
            raise Spoilt("a record is cut off")
        if cls == IN and kind == SRV and owner == asked:
            if size < _SRV.size + 1:
                raise Spoilt("an SRV record is cut off")
            priority, weight, port = _SRV.unpack_from(data, at)
            target, after = reader.name(at + _SRV.size)
            if after != end or target in targets:
                raise Spoilt("an SRV record cannot be read")
            targets[target] = (priority, weight, port)
        elif cls == IN and kind == A:
            if size != 4:
                raise Spoilt("an address cannot be read")
            addresses[owner] = ".".join(map(str, data[at:end]))
        elif cls == IN and kind == TXT:
            texts[owner] = _texts(data[at:end])
        elif cls == IN and kind == SOA:
            if size < 22:
                raise Spoilt("an SOA record is cut off")
            serial = int.from_bytes(data[end - 20 : end - 16], "big")
        at = end
    if at != len(data):
        raise Spoilt("more bytes than told")
    if serial is None:
        raise Spoilt("no number")
    return serial, tuple(_joined(t, *told, addresses, texts) for t, told in targets.items())


def _joined(
    target: str,
    priority: int,
    weight: int,
    port: int,
    addresses: dict[str, str],
    texts: dict[str, dict[str, str]],
) -> Listed:
    """A target with all that belongs to it; one that lacks anything spoils the answer."""
    labels = target.split(".")
    words = texts.get(target)
    if len(labels) < 2 or target not in addresses or words is None or priority not in (0, 1) or not port:
        raise Spoilt(f"{target} is not whole")
    try:
        started = float(words.get("started", "0"))
        cell = int(words["cell"])
        kind = words["kind"]
    except (KeyError, ValueError):
        raise Spoilt(f"{target} is not whole") from None
    if not isfinite(started) or started < 0 or cell < 0:
        raise Spoilt(f"{target} has figures out of range")
    return Listed(
        labels[0], addresses[target], port, labels[1], kind, cell, priority == 1, weight / 10, started
    )


def changes(old: dict[str, Listed], new: tuple[Listed, ...]) -> tuple[tuple[Listed, ...], tuple[Listed, ...]]:
    """Entries that are new or differ, and those that are gone."""
    named = {server.id for server in new}
    gone = tuple(server for name, server in old.items() if name not in named)
    return tuple(server for server in new if old.get(server.id) != server), gone
