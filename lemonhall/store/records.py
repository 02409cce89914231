"""Encoding of stored values: an envelope with version and checksum around a protobuf message. No I/O.

    "LH"  version (1 byte)  xxh3_64 of key and body (8 bytes)  body

The checksum covers the key, so a value that was moved to another key counts as damaged too.
"""

from __future__ import annotations

from typing import Any, TypeVar

import xxhash
from google.protobuf.message import DecodeError

MAGIC = b"LH"
VERSION = 1
HEADER_BYTES = len(MAGIC) + 1 + 8
MessageT = TypeVar("MessageT", bound=Any)


class RecordError(Exception):
    """A stored value that cannot be used. `newer`: it was written by a later version of lemonhall."""

    def __init__(self, reason: str, newer: bool = False) -> None:
        super().__init__(reason)
        self.newer = newer


def encode_record(key: bytes, message: Any) -> bytes:
    body: bytes = message.SerializeToString()
    return b"".join([MAGIC, bytes([VERSION]), xxhash.xxh3_64_digest(key + body), body])


def decode_record(key: bytes, value: bytes, message_type: type[MessageT]) -> MessageT:
    """Returns the message in a value. Raises `RecordError`."""
    if len(value) < HEADER_BYTES or value[:2] != MAGIC:
        raise RecordError("no record of lemonhall")
    if value[2] > VERSION:
        raise RecordError(f"of version {value[2]}; this one reads up to {VERSION}", newer=True)
    body = value[HEADER_BYTES:]
    if value[3:HEADER_BYTES] != xxhash.xxh3_64_digest(key + body):
        raise RecordError("the checksum does not fit: damaged")
    try:
        message: MessageT = message_type.FromString(body)
        return message
    except DecodeError as error:
        raise RecordError(f"cannot be read: {error}") from error
