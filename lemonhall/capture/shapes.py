"""The interface's events, actions and settings as bytes, exactly: what is read is equal to what was written.

Each class has a number, then its length, then its fields in order: whole numbers as 8 bytes, reals as their
IEEE bits, texts behind their length, tuples behind their count. Fields that an older writer did not have take
their defaults; those of a newer one are passed over. Pure.
"""

from __future__ import annotations

import struct
import types
from collections.abc import Callable
from dataclasses import MISSING, fields
from enum import Enum
from operator import attrgetter
from typing import Any, Union, get_args, get_origin, get_type_hints

from lemonhall import interface as i

NUMBERS: dict[int, type[Any]] = {
    1: i.ServerList,
    2: i.NewSession,
    3: i.AdviceChanged,
    4: i.FleetChanged,
    5: i.HandedOver,
    6: i.LearnedState,
    7: i.Playing,
    8: i.Note,
    9: i.AttemptEnded,
    10: i.ViewerGone,
    11: i.TimerDue,
    12: i.ProbeEnded,
    13: i.PeerMessage,
    20: i.SetUp,
    21: i.SetRung,
    22: i.Refuse,
    23: i.Fail,
    24: i.Move,
    25: i.Cancel,
    26: i.SetTimer,
    27: i.Probe,
    28: i.SendToPeers,
    29: i.Subscribe,
    30: i.Reload,
    31: i.LogMessage,
    40: i.Server,
    41: i.Advice,
    42: i.LearnedServerState,
    43: i.Settings,
    44: i.SessionClass,
    45: i.Tenant,
}
CLASSES = {cls: number for number, cls in NUMBERS.items()}
HEAD = struct.Struct("<BI")
WHOLE, REAL, COUNT = struct.Struct("<q"), struct.Struct("<d"), struct.Struct("<I")
Write = Callable[[Any, bytearray], None]
Read = Callable[[memoryview, int], tuple[Any, int]]


class BadShape(ValueError):
    """Bytes that are no object of the interface."""


def whole(value: int, out: bytearray) -> None:
    """Titles and viewers use all 64 bits."""
    out += WHOLE.pack(value if value < 1 << 63 else value - (1 << 64))


def read_whole(data: memoryview, at: int) -> tuple[int, int]:
    return WHOLE.unpack_from(data, at)[0], at + 8


def real(value: float, out: bytearray) -> None:
    out += REAL.pack(value)


def read_real(data: memoryview, at: int) -> tuple[float, int]:
    return REAL.unpack_from(data, at)[0], at + 8


def raw(value: bytes, out: bytearray) -> None:
    out += COUNT.pack(len(value))
    out += value


def read_raw(data: memoryview, at: int) -> tuple[bytes, int]:
    size = COUNT.unpack_from(data, at)[0]
    end = at + 4 + size
    if end > len(data):
        raise BadShape("a text over the end")
    return bytes(data[at + 4 : end]), end


def coder(kind: Any) -> tuple[Write, Read]:
    """How values of a type hint are written and read."""
    if kind is bool:
        return (lambda v, out: out.append(v)), (lambda data, at: (bool(data[at]), at + 1))
    if kind is float:
        return real, read_real
    if kind is int:
        return whole, read_whole
    if kind is bytes:
        return raw, read_raw
    if kind is str:
        return (lambda v, out: raw(v.encode(), out)), text
    if isinstance(kind, type) and issubclass(kind, Enum):
        return enumerated(kind)
    if kind in CLASSES:
        return put, get
    origin, inside = get_origin(kind), get_args(kind)
    if origin is tuple and inside[-1] is Ellipsis:
        return many(*coder(inside[0]))
    if origin is tuple:
        return row([coder(k) for k in inside])
    if origin in (Union, types.UnionType) and type(None) in inside:
        return maybe(*coder(next(k for k in inside if k is not type(None))))
    raise TypeError(f"no shape for {kind}")


def text(data: memoryview, at: int) -> tuple[str, int]:
    found, end = read_raw(data, at)
    return found.decode(), end


def enumerated(kind: type[Enum]) -> tuple[Write, Read]:
    order = list(kind)
    places = {member: n for n, member in enumerate(order)}

    def read(data: memoryview, at: int) -> tuple[Enum, int]:
        return order[data[at]], at + 1

    return (lambda v, out: out.append(places[v])), read


def many(write: Write, read: Read) -> tuple[Write, Read]:
    def write_all(values: Any, out: bytearray) -> None:
        out += COUNT.pack(len(values))
        for value in values:
            write(value, out)

    def read_all(data: memoryview, at: int) -> tuple[Any, int]:
        count, at = COUNT.unpack_from(data, at)[0], at + 4
        if count > len(data):
            raise BadShape("more values than bytes")
        made = []
        for _ in range(count):
            value, at = read(data, at)
            made.append(value)
        return tuple(made), at

    return write_all, read_all


def row(coders: list[tuple[Write, Read]]) -> tuple[Write, Read]:
    def write_row(values: Any, out: bytearray) -> None:
        for (write, _), value in zip(coders, values, strict=True):
            write(value, out)

    def read_row(data: memoryview, at: int) -> tuple[Any, int]:
        made = []
        for _, read in coders:
            value, at = read(data, at)
            made.append(value)
        return tuple(made), at

    return write_row, read_row


def maybe(write: Write, read: Read) -> tuple[Write, Read]:
    def write_maybe(value: Any, out: bytearray) -> None:
        out.append(value is not None)
        if value is not None:
            write(value, out)

    def read_maybe(data: memoryview, at: int) -> tuple[Any, int]:
        return read(data, at + 1) if data[at] else (None, at + 1)

    return write_maybe, read_maybe


UNSIGNED = ("viewer", "title")


SHAPES: dict[type[Any], list[tuple[str, Write, Read, Any]]] = {}


def shape_of(cls: type[Any]) -> list[tuple[str, Write, Read, Any]]:
    """Name, writer, reader and default of each field."""
    if cls in SHAPES:
        return SHAPES[cls]
    hints = get_type_hints(cls)
    made = []
    for f in fields(cls):
        write, read = coder(hints[f.name])
        if f.name in UNSIGNED:
            read = read_unsigned
        made.append((f.name, write, read, f.default))
    SHAPES[cls] = made
    return made


FLAT: dict[type[Any], Flat | None] = {}


def read_unsigned(data: memoryview, at: int) -> tuple[int, int]:
    return WHOLE.unpack_from(data, at)[0] & (1 << 64) - 1, at + 8


Flat = tuple[struct.Struct, int, int, Callable[[Any], Any]]


def flat(cls: type[Any]) -> Flat | None:
    """For classes of numbers alone: all fields in one go, as they would be written one by one."""
    hints = get_type_hints(cls)
    letters = {int: "q", float: "d", bool: "?"}
    kinds = [hints[f.name] for f in fields(cls)]
    if len(kinds) < 2 or any(k not in letters for k in kinds) or set(hints) & set(UNSIGNED):
        return None
    packer = struct.Struct("<BI" + "".join(letters[k] for k in kinds))
    return packer, CLASSES[cls], packer.size - HEAD.size, attrgetter(*(f.name for f in fields(cls)))


def put(value: Any, out: bytearray) -> None:
    """Raises `KeyError` for what is none of the interface's."""
    cls = type(value)
    if cls not in FLAT:
        FLAT[cls] = flat(cls)
    if quick := FLAT[cls]:
        packer, number, size, values = quick
        out += packer.pack(number, size, *values(value))
        return
    number = CLASSES[cls]
    start = len(out)
    out += b"\0\0\0\0\0"
    for name, write, _, _ in shape_of(cls):
        write(getattr(value, name), out)
    HEAD.pack_into(out, start, number, len(out) - start - HEAD.size)


def get(data: memoryview, at: int) -> tuple[Any, int]:
    """Raises `BadShape`."""
    try:
        number, size = HEAD.unpack_from(data, at)
        cls = NUMBERS[number]
        at += HEAD.size
        end = at + size
        if end > len(data):
            raise BadShape("an object over the end")
        values = {}
        for name, _, read, default in shape_of(cls):
            if at < end:
                values[name], at = read(data, at)
            elif default is MISSING:
                raise BadShape(f"{cls.__name__} without {name}")
        return cls(**values), end
    except (struct.error, IndexError, KeyError, UnicodeDecodeError) as error:
        raise BadShape(f"no object of the interface: {error!r}") from error


def pack(values: list[Any]) -> bytes:
    out = bytearray()
    for value in values:
        put(value, out)
    return bytes(out)


def unpack(data: bytes) -> list[Any]:
    """Raises `BadShape`."""
    view, at, made = memoryview(data), 0, []
    while at < len(view):
        value, at = get(view, at)
        made.append(value)
    return made
