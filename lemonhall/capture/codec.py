"""Encodes events, actions and settings of the module's interface, so that decoding returns an equal object.

An object is the number of its class, the length of its fields in bytes, and its fields in order: integers
as 8 bytes, floats as their IEEE 754 bits, strings preceded by their length, tuples by their number of
elements. Fields that an older writer did not have get their defaults; fields that a newer writer added are
skipped. This module does no I/O.
"""

from __future__ import annotations

import struct
import types
from collections.abc import Callable
from dataclasses import MISSING, fields
from enum import Enum
from operator import attrgetter
from typing import Any, Union, get_args, get_origin, get_type_hints

from lemonhall import interface

# Stored in captures: a number never gets another meaning.
CLASS_BY_NUMBER: dict[int, type[Any]] = {
    1: interface.ServerList,
    2: interface.NewSession,
    3: interface.AdviceChanged,
    4: interface.FleetChanged,
    5: interface.HandedOver,
    6: interface.LearnedState,
    7: interface.Playing,
    8: interface.Note,
    9: interface.AttemptEnded,
    10: interface.ViewerGone,
    11: interface.TimerDue,
    12: interface.ProbeEnded,
    13: interface.PeerMessage,
    20: interface.SetUp,
    21: interface.SetRung,
    22: interface.Refuse,
    23: interface.Fail,
    24: interface.Move,
    25: interface.Cancel,
    26: interface.SetTimer,
    27: interface.Probe,
    28: interface.SendToPeers,
    29: interface.Subscribe,
    30: interface.Reload,
    31: interface.LogMessage,
    40: interface.Server,
    41: interface.Advice,
    42: interface.LearnedServerState,
    43: interface.Settings,
    44: interface.SessionClass,
    45: interface.Tenant,
}
NUMBER_BY_CLASS = {cls: number for number, cls in CLASS_BY_NUMBER.items()}
OBJECT_HEADER = struct.Struct("<BI")  # number of the class, size of its fields in bytes
INT, FLOAT, COUNT = struct.Struct("<q"), struct.Struct("<d"), struct.Struct("<I")
Write = Callable[[Any, bytearray], None]  # appends a value to the output
Read = Callable[[memoryview, int], tuple[Any, int]]  # returns the value at an offset, and the offset after it


class CodecError(ValueError):
    """Bytes that do not encode an object of the interface."""


def write_int(value: int, out: bytearray) -> None:
    """Writes title and viewer ids of more than 63 bits as the negative number with the same 64 bits."""
    out += INT.pack(value if value < 1 << 63 else value - (1 << 64))


def read_int(data: memoryview, offset: int) -> tuple[int, int]:
    return INT.unpack_from(data, offset)[0], offset + 8


def write_float(value: float, out: bytearray) -> None:
    out += FLOAT.pack(value)


def read_float(data: memoryview, offset: int) -> tuple[float, int]:
    return FLOAT.unpack_from(data, offset)[0], offset + 8


def write_bytes(value: bytes, out: bytearray) -> None:
    out += COUNT.pack(len(value))
    out += value


def read_bytes(data: memoryview, offset: int) -> tuple[bytes, int]:
    size = COUNT.unpack_from(data, offset)[0]
    end = offset + 4 + size
    if end > len(data):
        raise CodecError("a text over the end")
    return bytes(data[offset + 4 : end]), end


def codec_of(hint: Any) -> tuple[Write, Read]:
    """Returns the writer and the reader for values of a type hint.

    Raises `TypeError` for a type that has no encoding.
    """
    if hint is bool:
        return (lambda value, out: out.append(value)), (lambda data, offset: (bool(data[offset]), offset + 1))
    if hint is float:
        return write_float, read_float
    if hint is int:
        return write_int, read_int
    if hint is bytes:
        return write_bytes, read_bytes
    if hint is str:
        return (lambda value, out: write_bytes(value.encode(), out)), read_text
    if isinstance(hint, type) and issubclass(hint, Enum):
        return enum_codec(hint)
    if hint in NUMBER_BY_CLASS:
        return write_object, read_object
    origin, arguments = get_origin(hint), get_args(hint)
    if origin is tuple and arguments[-1] is Ellipsis:
        return sequence_codec(*codec_of(arguments[0]))
    if origin is tuple:
        return tuple_codec([codec_of(argument) for argument in arguments])
    if origin in (Union, types.UnionType) and type(None) in arguments:
        return optional_codec(*codec_of(next(a for a in arguments if a is not type(None))))
    raise TypeError(f"no shape for {hint}")


def read_text(data: memoryview, offset: int) -> tuple[str, int]:
    encoded, end = read_bytes(data, offset)
    return encoded.decode(), end


def enum_codec(cls: type[Enum]) -> tuple[Write, Read]:
    """An enum member is encoded as its position, so the order of members must not change."""
    members = list(cls)
    positions = {member: position for position, member in enumerate(members)}

    def read(data: memoryview, offset: int) -> tuple[Enum, int]:
        return members[data[offset]], offset + 1

    return (lambda value, out: out.append(positions[value])), read


def sequence_codec(write: Write, read: Read) -> tuple[Write, Read]:
    """Codec of tuples of any length whose elements have one type."""

    def write_sequence(values: Any, out: bytearray) -> None:
        out += COUNT.pack(len(values))
        for value in values:
            write(value, out)

    def read_sequence(data: memoryview, offset: int) -> tuple[Any, int]:
        count, offset = COUNT.unpack_from(data, offset)[0], offset + 4
        if count > len(data):
            raise CodecError("more values than bytes")
        values = []
        for _ in range(count):
            value, offset = read(data, offset)
            values.append(value)
        return tuple(values), offset

    return write_sequence, read_sequence


def tuple_codec(codecs: list[tuple[Write, Read]]) -> tuple[Write, Read]:
    """Codec of tuples of a fixed length, with one codec for each element."""

    def write_tuple(values: Any, out: bytearray) -> None:
        for (write, _), value in zip(codecs, values, strict=True):
            write(value, out)

    def read_tuple(data: memoryview, offset: int) -> tuple[Any, int]:
        values = []
        for _, read in codecs:
            value, offset = read(data, offset)
            values.append(value)
        return tuple(values), offset

    return write_tuple, read_tuple


def optional_codec(write: Write, read: Read) -> tuple[Write, Read]:
    def write_optional(value: Any, out: bytearray) -> None:
        out.append(value is not None)
        if value is not None:
            write(value, out)

    def read_optional(data: memoryview, offset: int) -> tuple[Any, int]:
        return read(data, offset + 1) if data[offset] else (None, offset + 1)

    return write_optional, read_optional


UNSIGNED_FIELDS = ("viewer", "title")


FIELD_CODECS: dict[type[Any], list[tuple[str, Write, Read, Any]]] = {}


def field_codecs(cls: type[Any]) -> list[tuple[str, Write, Read, Any]]:
    """Returns the name, writer, reader and default of each field of a dataclass."""
    if cls in FIELD_CODECS:
        return FIELD_CODECS[cls]
    hints = get_type_hints(cls)
    codecs = []
    for field in fields(cls):
        write, read = codec_of(hints[field.name])
        if field.name in UNSIGNED_FIELDS:
            read = read_unsigned
        codecs.append((field.name, write, read, field.default))
    FIELD_CODECS[cls] = codecs
    return codecs


FLAT_LAYOUTS: dict[type[Any], FlatLayout | None] = {}


def read_unsigned(data: memoryview, offset: int) -> tuple[int, int]:
    return INT.unpack_from(data, offset)[0] & (1 << 64) - 1, offset + 8


# packer of header and fields, number of the class, size of the fields in bytes, getter of the field values
FlatLayout = tuple[struct.Struct, int, int, Callable[[Any], Any]]


def flat_layout(cls: type[Any]) -> FlatLayout | None:
    """Returns a layout that packs all fields at once, with the same result as writing them one by one.

    None for classes with a field that is not a plain number, or with less than two fields.
    """
    hints = get_type_hints(cls)
    formats = {int: "q", float: "d", bool: "?"}
    field_types = [hints[field.name] for field in fields(cls)]
    if (
        len(field_types) < 2
        or any(t not in formats for t in field_types)
        or set(hints) & set(UNSIGNED_FIELDS)
    ):
        return None
    packer = struct.Struct("<BI" + "".join(formats[t] for t in field_types))
    return (
        packer,
        NUMBER_BY_CLASS[cls],
        packer.size - OBJECT_HEADER.size,
        attrgetter(*(field.name for field in fields(cls))),
    )


def write_object(value: Any, out: bytearray) -> None:
    """Raises `KeyError` for an object whose class is not part of the interface."""
    cls = type(value)
    if cls not in FLAT_LAYOUTS:
        FLAT_LAYOUTS[cls] = flat_layout(cls)
    if layout := FLAT_LAYOUTS[cls]:
        packer, number, size, field_values = layout
        out += packer.pack(number, size, *field_values(value))
        return
    number = NUMBER_BY_CLASS[cls]
    start = len(out)
    out += b"\0\0\0\0\0"
    for name, write, _, _ in field_codecs(cls):
        write(getattr(value, name), out)
    OBJECT_HEADER.pack_into(out, start, number, len(out) - start - OBJECT_HEADER.size)


def read_object(data: memoryview, offset: int) -> tuple[Any, int]:
    """Raises `CodecError`."""
    try:
        number, size = OBJECT_HEADER.unpack_from(data, offset)
        cls = CLASS_BY_NUMBER[number]
        offset += OBJECT_HEADER.size
        end = offset + size
        if end > len(data):
            raise CodecError("an object over the end")
        values = {}
        for name, _, read, default in field_codecs(cls):
            if offset < end:
                values[name], offset = read(data, offset)
            elif default is MISSING:
                raise CodecError(f"{cls.__name__} without {name}")
        return cls(**values), end
    except (struct.error, IndexError, KeyError, UnicodeDecodeError) as error:
        raise CodecError(f"no object of the interface: {error!r}") from error


def pack(values: list[Any]) -> bytes:
    """Returns the encoded objects one after another. Raises `KeyError` for a class outside the interface."""
    out = bytearray()
    for value in values:
        write_object(value, out)
    return bytes(out)


def unpack(data: bytes) -> list[Any]:
    """Raises `CodecError`."""
    view, offset, values = memoryview(data), 0, []
    while offset < len(view):
        value, offset = read_object(view, offset)
        values.append(value)
    return values
