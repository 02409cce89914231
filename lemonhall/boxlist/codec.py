"""Encoding of server lists: a stream of messages, each after its length as a varint, and the cached list."""

from __future__ import annotations

import xxhash
from google.protobuf.message import DecodeError

from lemonhall.boxlist.boxlist_pb2 import Update

MAGIC = b"LHBL1\n"
MAX_MESSAGE_BYTES = 1 << 24


class CacheError(Exception):
    """A cached list cannot be used."""


def encode_delimited(update: Update) -> bytes:
    body: bytes = update.SerializeToString()
    size, prefix = len(body), bytearray()
    while size > 0x7F:
        prefix.append(size & 0x7F | 0x80)
        size >>= 7
    prefix.append(size)
    return bytes(prefix) + body


class DelimitedDecoder:
    """Decodes a stream of messages in pieces of any size. Raises `ValueError` for invalid input."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Update]:
        self.buffer += data
        updates: list[Update] = []
        while True:
            size = shift = prefix_bytes = 0
            for prefix_bytes, byte in enumerate(self.buffer[:5], 1):  # noqa: B007
                size |= (byte & 0x7F) << shift
                shift += 7
                if byte < 0x80:
                    break
            else:
                if len(self.buffer) >= 5:
                    raise ValueError("length prefix has more than five bytes")
                return updates
            if size > MAX_MESSAGE_BYTES:
                raise ValueError(f"server list of {size} bytes is too large")
            if len(self.buffer) < prefix_bytes + size:
                return updates
            try:
                updates.append(Update.FromString(bytes(self.buffer[prefix_bytes : prefix_bytes + size])))
            except DecodeError as error:
                raise ValueError(f"not a server list: {error}") from error
            del self.buffer[: prefix_bytes + size]


def encode_cache(update: Update) -> bytes:
    body: bytes = update.SerializeToString()
    return b"".join([MAGIC, xxhash.xxh3_64_digest(body), body])


def decode_cache(data: bytes) -> Update:
    """Raises `CacheError` if the data is truncated, damaged or not a cached list of this version."""
    if not data.startswith(MAGIC):
        raise CacheError("not a cached server list of this version")
    body = data[len(MAGIC) + 8 :]
    if data[len(MAGIC) : len(MAGIC) + 8] != xxhash.xxh3_64_digest(body):
        raise CacheError("checksum mismatch: the cached list is truncated or damaged")
    try:
        return Update.FromString(body)
    except DecodeError as error:
        raise CacheError(f"not a server list: {error}") from error
