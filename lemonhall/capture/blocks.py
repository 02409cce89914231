"""Format of a capture file: compressed blocks of records, each with its checksum, time span and sessions.

    "LHBK"  version (1)  length (4)  xxh3_64 of the rest (8)  span and sessions  zlib of records

A file is a sequence of blocks without a file header, so everything written before a crash can be read. A
damaged block is reported and skipped: the reader continues at the next magic number. This module does no
I/O.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import xxhash
from google.protobuf.message import DecodeError

from lemonhall.capture.capture_pb2 import Record

MAGIC = b"LHBK"
VERSION = 1
BLOCK_HEADER = struct.Struct("<4sBIQ")
SPAN = struct.Struct("<ddII")  # time of the first and last record, number of calls, number of session ids
MAX_UNCOMPRESSED_BYTES = 64 << 20


@dataclass
class Block:
    """One encoded block, with the ids of its sessions. Times are of the module's clock, in ms."""

    data: bytes
    first_ms: float
    last_ms: float
    calls: int
    sessions: frozenset[int] = field(default_factory=frozenset)


def join_records(records: Iterable[bytes]) -> bytes:
    """Concatenates the records, each preceded by its length."""
    out = bytearray()
    for record in records:
        out += struct.pack("<I", len(record)) + record
    return bytes(out)


def encode_block(
    records: list[bytes], first_ms: float, last_ms: float, calls: int, sessions: set[int]
) -> Block:
    compressed = zlib.compress(join_records(records), 1)
    span = SPAN.pack(first_ms, last_ms, calls, len(sessions))
    body = span + struct.pack(f"<{len(sessions)}Q", *sorted(sessions)) + compressed
    header = BLOCK_HEADER.pack(MAGIC, VERSION, len(body), xxhash.xxh3_64_intdigest(body))
    return Block(header + body, first_ms, last_ms, calls, frozenset(sessions))


@dataclass
class UnreadableRange:
    """A part of a file that cannot be read: the offset of its first byte, and the reason."""

    offset: int
    reason: str


def read_blocks(data: bytes) -> Iterator[tuple[Block, bytes] | UnreadableRange]:
    """Yields each intact block with its compressed records, and an `UnreadableRange` for anything else."""
    offset = 0
    while offset < len(data):
        start = data.find(MAGIC, offset)
        if start < 0:
            yield UnreadableRange(offset, "no block")
            return
        if start > offset:
            yield UnreadableRange(offset, f"{start - offset} bytes that are no block")
        offset = start
        if len(data) - offset < BLOCK_HEADER.size:
            yield UnreadableRange(offset, "cut in the head of a block")
            return
        _, version, size, digest = BLOCK_HEADER.unpack_from(data, offset)
        if version > VERSION:
            yield UnreadableRange(offset, f"a block of version {version}; known is up to {VERSION}")
            offset += len(MAGIC)
            continue
        body = data[offset + BLOCK_HEADER.size : offset + BLOCK_HEADER.size + size]
        if len(body) < size or xxhash.xxh3_64_intdigest(body) != digest:
            yield UnreadableRange(
                offset, "cut off" if len(body) < size else "the checksum does not fit: damaged"
            )
            offset += len(MAGIC)
            continue
        first_ms, last_ms, calls, count = SPAN.unpack_from(body)
        sessions = struct.unpack_from(f"<{count}Q", body, SPAN.size)
        block = data[offset : offset + BLOCK_HEADER.size + size]
        yield Block(block, first_ms, last_ms, calls, frozenset(sessions)), body[SPAN.size + 8 * count :]
        offset += BLOCK_HEADER.size + size


def decode_records(compressed: bytes) -> list[Record]:
    """Raises `ValueError` if the bytes are not the compressed records of a block."""
    try:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(compressed, MAX_UNCOMPRESSED_BYTES)
        records, offset = [], 0
        while offset < len(data):
            size = struct.unpack_from("<I", data, offset)[0]
            records.append(Record.FromString(data[offset + 4 : offset + 4 + size]))
            offset += 4 + size
        return records
    except (zlib.error, struct.error, DecodeError) as error:
        raise ValueError(f"records cannot be read: {error}") from error


@dataclass
class Capture:
    """Everything that could be read of a capture file, and the ranges that could not."""

    records: list[Record] = field(default_factory=list)
    unreadable: list[UnreadableRange] = field(default_factory=list)
    blocks: list[Block] = field(default_factory=list)


def read_capture(data: bytes, session: int | None = None) -> Capture:
    """Reads a capture file. With `session`, blocks that only refer to other sessions are not decoded."""
    capture = Capture()
    for found in read_blocks(data):
        if isinstance(found, UnreadableRange):
            capture.unreadable.append(found)
            continue
        block, compressed = found
        capture.blocks.append(block)
        if session is not None and block.sessions and session not in block.sessions:
            continue
        try:
            capture.records += decode_records(compressed)
        except ValueError as error:
            capture.unreadable.append(UnreadableRange(0, str(error)))
    return capture
