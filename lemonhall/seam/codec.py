"""Messages as bytes: a head of 7 bytes, the fixed fields in one block, then the others one after another.

    length  4 bytes, of all that follows    kind  1 byte    fixed  2 bytes, the size of the fixed block

All numbers are in network order. What is read is checked: sizes against what is there, text for UTF-8. A
reader that finds a message broken says so once and reads no more; the link is then to be closed.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass, fields
from operator import attrgetter
from typing import Any

from lemonhall.seam.messages import KINDS, Message

HEAD = struct.Struct(">IBH")
BEHIND_LENGTH = HEAD.size - 4
MOST = 32 << 20  # bytes of one message: settings and whole lists are the largest
CODES = {"i": "q", "u": "Q", "d": "d", "?": "?"}
SIZE, COUNT, INTEGER, DOUBLE = (
    struct.Struct(">I"),
    struct.Struct(">H"),
    struct.Struct(">q"),
    struct.Struct(">d"),
)


@dataclass(frozen=True)
class Broken:
    """What was read is no message of ours."""

    why: str


def put_bytes(value: bytes) -> bytes:
    return SIZE.pack(len(value)) + value


def put_text(value: str) -> bytes:
    return put_bytes(value.encode())


def put_doubles(value: tuple[float, ...]) -> bytes:
    return COUNT.pack(len(value)) + struct.pack(f">{len(value)}d", *value)


def put_pairs(number: struct.Struct) -> Callable[[tuple[tuple[str, Any], ...]], bytes]:
    def put(value: tuple[tuple[str, Any], ...]) -> bytes:
        return COUNT.pack(len(value)) + b"".join(put_text(name) + number.pack(n) for name, n in value)

    return put


def get_bytes(view: memoryview, at: int) -> tuple[bytes, int]:
    at += 4
    end = at + SIZE.unpack_from(view, at - 4)[0]
    if end > len(view):
        raise ValueError("a field that goes beyond its message")
    return bytes(view[at:end]), end


def get_text(view: memoryview, at: int) -> tuple[str, int]:
    at += 4
    end = at + SIZE.unpack_from(view, at - 4)[0]
    if end == at:
        return "", at
    if end > len(view):
        raise ValueError("a field that goes beyond its message")
    return str(view[at:end], "utf-8"), end


def get_doubles(view: memoryview, at: int) -> tuple[tuple[float, ...], int]:
    count = COUNT.unpack_from(view, at)[0]
    at += COUNT.size
    return struct.unpack_from(f">{count}d", view, at), at + 8 * count


def get_pairs(number: struct.Struct) -> Callable[[memoryview, int], tuple[Any, int]]:
    def get(view: memoryview, at: int) -> tuple[Any, int]:
        count = COUNT.unpack_from(view, at)[0]
        at += COUNT.size
        found = []
        for _ in range(count):
            name, at = get_text(view, at)
            found.append((name, number.unpack_from(view, at)[0]))
            at += number.size
        return tuple(found), at

    return get


PUT: dict[str, Callable[[Any], bytes]] = {
    "s": put_text,
    "b": put_bytes,
    "f": put_doubles,
    "p": put_pairs(INTEGER),
    "n": put_pairs(DOUBLE),
}
GET: dict[str, Callable[[memoryview, int], tuple[Any, int]]] = {
    "s": get_text,
    "b": get_bytes,
    "f": get_doubles,
    "p": get_pairs(INTEGER),
    "n": get_pairs(DOUBLE),
}


class Form:
    """How one kind of message is written and read."""

    def __init__(self, kind: type[Message]) -> None:
        self.kind = kind
        names = [f.name for f in fields(kind)]  # type: ignore[arg-type]
        codes = kind.FORM
        first = next((n for n, code in enumerate(codes) if code not in CODES), len(codes))
        if len(names) != len(codes) or any(code in CODES for code in codes[first:]):
            raise TypeError(f"{kind.__name__}: its fields and its form differ")
        self.block = struct.Struct(">" + "".join(CODES[c] for c in codes[:first]))
        self.names, self.first = names, first
        one = attrgetter(*names[:first]) if first else lambda message: ()
        self.fixed = (lambda message: (one(message),)) if first == 1 else one
        self.put = [(attrgetter(n), PUT[c]) for n, c in zip(names[first:], codes[first:], strict=True)]
        self.get = [GET[c] for c in codes[first:]]
        self.ends = []  # of each fixed field in the block
        size = 0
        for code in codes[:first]:
            size += struct.calcsize(">" + CODES[code])
            self.ends.append(size)

    def write(self, message: Message) -> bytes:
        block = self.block
        body = block.pack(*self.fixed(message)) + b"".join(put(of(message)) for of, put in self.put)
        return HEAD.pack(BEHIND_LENGTH + len(body), self.kind.KIND, block.size) + body

    def read(self, view: memoryview, fixed: int) -> Message:
        """`view`: the body. Raises `ValueError`, `struct.error` or `KeyError`."""
        if fixed > len(view):
            raise ValueError("a fixed block that goes beyond its message")
        at = fixed
        whole = fixed >= self.block.size
        values = list(self.block.unpack_from(view)) if whole else self.older(view, fixed)
        if at == len(view) and self.get:
            return self.kind(*values, *(self.kind.LATER[n] for n in self.names[self.first :]))
        for n, get in enumerate(self.get):
            if at == len(view):  # an older peer has no such field
                values.append(self.kind.LATER[self.names[self.first + n]])
                continue
            value, at = get(view, at)
            values.append(value)
        return self.kind(*values)

    def older(self, view: memoryview, fixed: int) -> list[Any]:
        known = self.ends.index(fixed) + 1 if fixed else 0
        codes = "".join(CODES[c] for c in self.kind.FORM[:known])
        later = [self.kind.LATER[name] for name in self.names[known : self.first]]
        return [*struct.unpack_from(">" + codes, view), *later]


FORMS = {number: Form(kind) for number, kind in KINDS.items()}


def encode(message: Message) -> bytes:
    """Raises `struct.error` for a number that its field cannot hold, `ValueError` over 32 MiB."""
    made = FORMS[message.KIND].write(message)
    if len(made) > MOST:
        raise ValueError(f"{len(made)} bytes are more than a message holds ({MOST})")
    return made


class Reader:
    """One direction of one link: bytes in any pieces, messages out. Kinds that are not known are counted."""

    def __init__(self, forms: dict[int, Form] | None = None, most: int = MOST) -> None:
        self.forms, self.most = forms or FORMS, most
        self.kept = bytearray()
        self.broken = False
        self.unknown = 0

    def feed(self, data: bytes | memoryview) -> list[Message | Broken]:
        found: list[Message | Broken] = []
        if self.broken:
            return found
        if self.kept:
            self.kept += data
            whole = memoryview(bytes(self.kept))
        else:
            whole = memoryview(data)
        at = 0
        while len(whole) - at >= HEAD.size:
            length, kind, fixed = HEAD.unpack_from(whole, at)
            if not BEHIND_LENGTH <= length <= self.most:
                return [*found, self.fail(f"a message of {length} bytes")]
            end = at + 4 + length
            if end > len(whole):
                break
            form = self.forms.get(kind)
            if form is None:
                self.unknown += 1
            else:
                try:
                    found.append(form.read(whole[at + HEAD.size : end], fixed))
                except (ValueError, KeyError, struct.error) as error:
                    return [*found, self.fail(f"kind {kind}: {error!r}")]
            at = end
        self.kept = bytearray(whole[at:])
        return found

    def fail(self, why: str) -> Broken:
        self.broken = True
        self.kept = bytearray()
        return Broken(why)
