"""DNS over UDP for one query: the SRV records of the list of media servers (RFC 1035, RFC 2782).

A response is accepted as a whole or rejected. The parser is our own because dnspython costs 13 MB and 0.2 s
at the start and 27 ms per response with 60 servers (docs/design/front-node.md), and the node has half a core.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from math import isfinite

from lemonhall.node.bounds import MAX_DNS_RESPONSE_BYTES

A, SOA, TXT, SRV, IN = 1, 6, 16, 33, 1
MAX_LABELS = 32  # of one name, pointers included
_HEADER = struct.Struct(">HHHHHH")
_RECORD = struct.Struct(">HHIH")
_SRV = struct.Struct(">HHH")


class DnsError(Exception):
    """The DNS response cannot be trusted; the text is the reason."""


@dataclass(frozen=True, slots=True)
class ListedServer:
    """An entry of the list of media servers. `started_ms`: Unix time of a late start, else 0."""

    id: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    draining: bool
    weight: float
    started_ms: float


def _encode_name(name: str) -> bytes:
    return b"".join(bytes([len(part)]) + part.encode() for part in name.rstrip(".").split(".")) + b"\0"


def encode_query(query_id: int, name: str) -> bytes:
    """The query for the SRV records of `name`; `query_id` has 16 bits and must be unpredictable."""
    return _HEADER.pack(query_id, 0x0100, 1, 0, 0, 0) + _encode_name(name) + struct.pack(">HH", SRV, IN)


class _NameReader:
    def __init__(self, data: bytes) -> None:
        self.data = data
        self.names: dict[int, tuple[str, int]] = {}  # by offset: the name and the offset after it

    def read_name(self, offset: int, depth: int = 0) -> tuple[str, int]:
        """The name at an offset and the offset after it; pointers must lead backwards, so none can loop."""
        if known := self.names.get(offset):
            return known
        data, start = self.data, offset
        labels: list[str] = []
        while True:
            if offset >= len(data) or len(labels) > MAX_LABELS or depth > MAX_LABELS:
                raise DnsError("name is not terminated")
            length = data[offset]
            if length == 0:
                end = offset + 1
                break
            if length >= 0xC0:
                if offset + 2 > len(data):
                    raise DnsError("name is not terminated")
                pointer = (length & 0x3F) << 8 | data[offset + 1]
                if pointer >= start:
                    raise DnsError("name pointer does not lead backwards")
                labels.append(self.read_name(pointer, depth + 1)[0])
                end = offset + 2
                break
            if length > 63 or offset + 1 + length > len(data):
                raise DnsError("label is too long")
            labels.append(data[offset + 1 : offset + 1 + length].decode("latin-1").lower())
            offset += 1 + length
        name = ".".join(label for label in labels if label)
        if len(name) > 255:
            raise DnsError("name is too long")
        self.names[start] = (name, end)
        return name, end


def _parse_txt(data: bytes) -> dict[str, str]:
    fields: dict[str, str] = {}
    offset = 0
    while offset < len(data):
        size = data[offset]
        if offset + 1 + size > len(data):
            raise DnsError("TXT record is truncated")
        name, _, value = data[offset + 1 : offset + 1 + size].decode("latin-1").partition("=")
        fields[name] = value
        offset += 1 + size
    return fields


def parse_response(data: bytes, query_id: int, name: str) -> tuple[int, tuple[ListedServer, ...]]:
    """The list's sequence number and the complete list. Raises `DnsError`."""
    if not _HEADER.size <= len(data) <= MAX_DNS_RESPONSE_BYTES:
        raise DnsError(f"{len(data)} bytes is not a valid size of a response")
    response_id, flags, question_count, answer_count, authority_count, additional_count = _HEADER.unpack_from(
        data
    )
    if response_id != query_id:
        raise DnsError("response id does not match the query")
    if flags & 0x8000 == 0 or flags & 0x7800 or question_count != 1:
        raise DnsError("not a response to a standard query")
    if flags & 0x0200:
        raise DnsError("response is truncated")
    if flags & 0x000F:
        raise DnsError(f"response code {flags & 15}")
    reader = _NameReader(data)
    queried_name, offset = reader.read_name(_HEADER.size)
    if queried_name != name.lower().rstrip(".") or data[offset : offset + 4] != struct.pack(">HH", SRV, IN):
        raise DnsError("question does not match the query")
    offset += 4
    targets: dict[str, tuple[int, int, int]] = {}
    addresses: dict[str, str] = {}
    texts: dict[str, dict[str, str]] = {}
    serial: int | None = None
    for _ in range(answer_count + authority_count + additional_count):
        owner, offset = reader.read_name(offset)
        if offset + _RECORD.size > len(data):
            raise DnsError("fewer records than announced")
        record_type, record_class, _, size = _RECORD.unpack_from(data, offset)
        offset += _RECORD.size
        end = offset + size
        if end > len(data):
            raise DnsError("record is truncated")
        if record_class == IN and record_type == SRV and owner == queried_name:
            if size < _SRV.size + 1:
                raise DnsError("SRV record is truncated")
            priority, weight, port = _SRV.unpack_from(data, offset)
            target, end_of_target = reader.read_name(offset + _SRV.size)
            if end_of_target != end or target in targets:
                raise DnsError("SRV record is invalid")
            targets[target] = (priority, weight, port)
        elif record_class == IN and record_type == A:
            if size != 4:
                raise DnsError("A record is invalid")
            addresses[owner] = ".".join(map(str, data[offset:end]))
        elif record_class == IN and record_type == TXT:
            texts[owner] = _parse_txt(data[offset:end])
        elif record_class == IN and record_type == SOA:
            if size < 22:
                raise DnsError("SOA record is truncated")
            serial = int.from_bytes(data[end - 20 : end - 16], "big")
        offset = end
    if offset != len(data):
        raise DnsError("trailing bytes after the last record")
    if serial is None:
        raise DnsError("SOA record with the serial number is missing")
    return serial, tuple(
        _build_server(target, *numbers, addresses, texts) for target, numbers in targets.items()
    )


def _build_server(
    target: str,
    priority: int,
    weight: int,
    port: int,
    addresses: dict[str, str],
    texts: dict[str, dict[str, str]],
) -> ListedServer:
    """Joins the records of a target; a target that lacks a record invalidates the whole response."""
    labels = target.split(".")
    fields = texts.get(target)
    if len(labels) < 2 or target not in addresses or fields is None or priority not in (0, 1) or not port:
        raise DnsError(f"{target} has missing or invalid records")
    try:
        started_ms = float(fields.get("started", "0"))
        cell = int(fields["cell"])
        kind = fields["kind"]
    except (KeyError, ValueError):
        raise DnsError(f"{target} has missing or invalid TXT fields") from None
    if not isfinite(started_ms) or started_ms < 0 or cell < 0:
        raise DnsError(f"{target} has TXT fields out of range")
    return ListedServer(
        labels[0], addresses[target], port, labels[1], kind, cell, priority == 1, weight / 10, started_ms
    )


def list_changes(
    old: dict[str, ListedServer], new: tuple[ListedServer, ...]
) -> tuple[tuple[ListedServer, ...], tuple[ListedServer, ...]]:
    """Entries that are new or differ, and entries that were removed."""
    new_ids = {server.id for server in new}
    removed = tuple(server for server_id, server in old.items() if server_id not in new_ids)
    return tuple(server for server in new if old.get(server.id) != server), removed
