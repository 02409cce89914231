"""Binary encoding of messages: a 7-byte header, a block with one number per field, texts, other fields.

    length  4 bytes, counts everything after it    kind  1 byte    block  2 bytes, size of the block

The block holds a field's value, or its size: characters of a text, bytes, doubles, or pairs. After the block
come all texts joined into one (4 bytes of size, UTF-8), so that one call encodes or decodes them, then the
other fields in order. All numbers are in network byte order. Everything read is validated: sizes against
the data present, text as UTF-8. A decoder that finds a malformed message reports it once and decodes no more;
the connection must then be closed.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, fields
from operator import attrgetter
from typing import Any

from lemonhall.ipc.messages import KINDS, Message

HEADER = struct.Struct(">IBH")
LENGTH_OVERHEAD = HEADER.size - 4  # part of the header that `length` counts
MAX_MESSAGE_BYTES = 32 << 20  # pickled settings and complete server lists are the largest messages
STRUCT_CODES = {"i": "q", "u": "Q", "d": "d", "?": "?"}
SIZE = struct.Struct(">I")
PAIR_NUMBERS = {"p": struct.Struct(">q"), "n": struct.Struct(">d")}


@dataclass(frozen=True)
class MalformedMessage:
    """The bytes received are not a valid message."""

    reason: str


def encode_field(code: str, value: Any) -> bytes:
    """Encodes a field that is neither a number nor a text."""
    if code == "b":
        return bytes(value)
    if code == "f":
        return struct.pack(f">{len(value)}d", *value)
    number = PAIR_NUMBERS[code]
    names = [name.encode() for name, _ in value]
    pairs = zip(names, value, strict=True)
    return b"".join([SIZE.pack(len(name)) + name + number.pack(n) for name, (_, n) in pairs])


def decode_field(code: str, count: int, view: memoryview, offset: int) -> tuple[Any, int]:
    """Returns the value and the offset after it. Raises `ValueError` or `struct.error` for missing data."""
    if code == "b":
        if offset + count > len(view):
            raise ValueError("a bytes field exceeds its message")
        return bytes(view[offset : offset + count]), offset + count
    if code == "f":
        return struct.unpack_from(f">{count}d", view, offset), offset + 8 * count
    number, pairs = PAIR_NUMBERS[code], []
    for _ in range(count):
        end = offset + 4 + SIZE.unpack_from(view, offset)[0]
        pairs.append((str(view[offset + 4 : end], "utf-8"), number.unpack_from(view, end)[0]))
        offset = end + number.size
    return tuple(pairs), offset


class MessageFormat:
    """Encoder and decoder of one kind of message."""

    def __init__(self, kind: type[Message]) -> None:
        self.kind = kind
        names = [f.name for f in fields(kind)]  # type: ignore[arg-type]
        if len(names) != len(kind.FIELD_CODES):
            raise TypeError(f"{kind.__name__}: number of fields and FIELD_CODES differ")
        self.names = names
        self.codes = [STRUCT_CODES.get(code, "I") for code in kind.FIELD_CODES]
        self.block = struct.Struct(">" + "".join(self.codes))
        getter = attrgetter(*names)
        self.values = getter if len(names) > 1 else lambda message: (getter(message),)
        self.texts = [n for n, code in enumerate(kind.FIELD_CODES) if code == "s"]
        self.others = [
            (n, code) for n, code in enumerate(kind.FIELD_CODES) if code not in STRUCT_CODES and code != "s"
        ]
        self.ends = [struct.calcsize(">" + "".join(self.codes[: n + 1])) for n in range(len(names))]

    def encode(self, message: Message) -> bytes:
        values = list(self.values(message))
        texts, rest = b"", b""
        if self.texts:
            texts = "".join([values[n] for n in self.texts]).encode()
            for n in self.texts:
                values[n] = len(values[n])
        for n, code in self.others:
            if value := values[n]:
                rest += encode_field(code, value)
            values[n] = len(value)
        block = self.block
        length = LENGTH_OVERHEAD + block.size + SIZE.size + len(texts) + len(rest)
        header = HEADER.pack(length, self.kind.KIND, block.size)
        return b"".join((header, block.pack(*values), SIZE.pack(len(texts)), texts, rest))

    def decode(self, view: memoryview, block_size: int) -> Message:
        """Decodes a message's body. Raises `ValueError`, `struct.error` or `KeyError`."""
        complete = block_size >= self.block.size
        values = list(self.block.unpack_from(view) if complete else self.unpack_older_block(view, block_size))
        field_count = len(values)
        offset = block_size + SIZE.size + SIZE.unpack_from(view, block_size)[0]
        if offset > len(view):
            raise ValueError("the texts exceed their message")
        if self.texts:
            text, begin = str(view[block_size + SIZE.size : offset], "utf-8"), 0
            for n in self.texts:
                if n < field_count:
                    end = begin + values[n]
                    values[n] = text[begin:end]
                    begin = end
            if begin > len(text):
                raise ValueError("text fields claim more characters than the message holds")
        for n, code in self.others:
            if n < field_count:
                values[n], offset = (
                    decode_field(code, values[n], view, offset) if values[n] else (EMPTY[code], offset)
                )
        return self.kind(*values, *(self.kind.DEFAULTS[name] for name in self.names[field_count:]))

    def unpack_older_block(self, view: memoryview, block_size: int) -> tuple[Any, ...]:
        """Unpacks the shorter block of a peer of an older version."""
        known = self.ends.index(block_size) + 1 if block_size else 0
        return struct.unpack_from(">" + "".join(self.codes[:known]), view)


EMPTY: dict[str, Any] = {"b": b"", "f": (), "p": (), "n": ()}
FORMATS = {number: MessageFormat(kind) for number, kind in KINDS.items()}


def encode(message: Message) -> bytes:
    """Raises `struct.error` for a number out of its field's range, `ValueError` for over 32 MiB."""
    data = FORMATS[message.KIND].encode(message)
    if len(data) > MAX_MESSAGE_BYTES:
        raise ValueError(f"{len(data)} bytes exceed the limit of a message ({MAX_MESSAGE_BYTES})")
    return data


class MessageDecoder:
    """Decodes one direction of one connection from bytes in pieces of any size. Unknown kinds are counted."""

    def __init__(
        self, formats: dict[int, MessageFormat] | None = None, max_bytes: int = MAX_MESSAGE_BYTES
    ) -> None:
        self.formats, self.max_bytes = formats or FORMATS, max_bytes
        self.buffer = bytearray()
        self.failed = False
        self.unknown_kinds = 0

    def feed(self, data: bytes | memoryview) -> list[Message | MalformedMessage]:
        messages: list[Message | MalformedMessage] = []
        if self.failed:
            return messages
        if self.buffer:
            self.buffer += data
            view = memoryview(bytes(self.buffer))
        else:
            view = memoryview(data)
        offset = 0
        while len(view) - offset >= HEADER.size:
            length, kind, block_size = HEADER.unpack_from(view, offset)
            if not LENGTH_OVERHEAD <= length <= self.max_bytes:
                return [*messages, self.fail(f"invalid message length of {length} bytes")]
            end = offset + 4 + length
            if end > len(view):
                break
            message_format = self.formats.get(kind)
            if message_format is None:
                self.unknown_kinds += 1
            else:
                try:
                    messages.append(message_format.decode(view[offset + HEADER.size : end], block_size))
                except (ValueError, KeyError, struct.error) as error:
                    return [*messages, self.fail(f"message kind {kind}: {error!r}")]
            offset = end
        self.buffer = bytearray(view[offset:])
        return messages

    def fail(self, reason: str) -> MalformedMessage:
        self.failed = True
        self.buffer = bytearray()
        return MalformedMessage(reason)
