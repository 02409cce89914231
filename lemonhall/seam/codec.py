"""Messages as bytes: a head of 7 bytes, a block with a number a field, all texts as one, then what is left.

    length  4 bytes, of all that follows    kind  1 byte    block  2 bytes, its size

In the block a field is its value, or how much there is of it: characters of a text, bytes, doubles, pairs.
Behind it stand all texts as one (4 bytes of size, UTF-8), so that they are read and written in one go, then
the other fields in their order. All numbers are in network order. What is read is checked: sizes against what
is there, text for UTF-8. A reader that finds a message broken says so once and reads no more; the link is
then to be closed.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, fields
from operator import attrgetter
from typing import Any

from lemonhall.seam.messages import KINDS, Message

HEAD = struct.Struct(">IBH")
BEHIND_LENGTH = HEAD.size - 4
MOST = 32 << 20  # bytes of one message: settings and whole lists are the largest
CODES = {"i": "q", "u": "Q", "d": "d", "?": "?"}
SIZE = struct.Struct(">I")
NUMBERS = {"p": struct.Struct(">q"), "n": struct.Struct(">d")}


@dataclass(frozen=True)
class Broken:
    """What was read is no message of ours."""

    why: str


def put(code: str, value: Any) -> bytes:
    """A field that is neither a number nor a text."""
    if code == "b":
        return bytes(value)
    if code == "f":
        return struct.pack(f">{len(value)}d", *value)
    number = NUMBERS[code]
    names = [name.encode() for name, _ in value]
    parts = zip(names, value, strict=True)
    return b"".join([SIZE.pack(len(name)) + name + number.pack(n) for name, (_, n) in parts])


def get(code: str, count: int, view: memoryview, at: int) -> tuple[Any, int]:
    """Raises `ValueError` or `struct.error` for what is not there."""
    if code == "b":
        if at + count > len(view):
            raise ValueError("a field that goes beyond its message")
        return bytes(view[at : at + count]), at + count
    if code == "f":
        return struct.unpack_from(f">{count}d", view, at), at + 8 * count
    number, found = NUMBERS[code], []
    for _ in range(count):
        end = at + 4 + SIZE.unpack_from(view, at)[0]
        found.append((str(view[at + 4 : end], "utf-8"), number.unpack_from(view, end)[0]))
        at = end + number.size
    return tuple(found), at


class Form:
    """How one kind of message is written and read."""

    def __init__(self, kind: type[Message]) -> None:
        self.kind = kind
        names = [f.name for f in fields(kind)]  # type: ignore[arg-type]
        if len(names) != len(kind.FORM):
            raise TypeError(f"{kind.__name__}: its fields and its form differ")
        self.names = names
        self.codes = [CODES.get(code, "I") for code in kind.FORM]
        self.block = struct.Struct(">" + "".join(self.codes))
        of = attrgetter(*names)
        self.values = of if len(names) > 1 else lambda message: (of(message),)
        self.texts = [n for n, code in enumerate(kind.FORM) if code == "s"]
        self.others = [(n, code) for n, code in enumerate(kind.FORM) if code not in CODES and code != "s"]
        self.ends = [struct.calcsize(">" + "".join(self.codes[: n + 1])) for n in range(len(names))]

    def write(self, message: Message) -> bytes:
        values = list(self.values(message))
        texts, rest = b"", b""
        if self.texts:
            texts = "".join([values[n] for n in self.texts]).encode()
            for n in self.texts:
                values[n] = len(values[n])
        for n, code in self.others:
            if value := values[n]:
                rest += put(code, value)
            values[n] = len(value)
        block = self.block
        length = BEHIND_LENGTH + block.size + SIZE.size + len(texts) + len(rest)
        head = HEAD.pack(length, self.kind.KIND, block.size)
        return b"".join((head, block.pack(*values), SIZE.pack(len(texts)), texts, rest))

    def read(self, view: memoryview, size: int) -> Message:
        """`view`: the body, `size`: of its block. Raises `ValueError`, `struct.error` or `KeyError`."""
        whole = size >= self.block.size
        values = list(self.block.unpack_from(view) if whole else self.older(view, size))
        had = len(values)
        at = size + SIZE.size + SIZE.unpack_from(view, size)[0]
        if at > len(view):
            raise ValueError("texts that go beyond their message")
        if self.texts:
            text, begin = str(view[size + SIZE.size : at], "utf-8"), 0
            for n in self.texts:
                if n < had:
                    end = begin + values[n]
                    values[n] = text[begin:end]
                    begin = end
            if begin > len(text):
                raise ValueError("a text that is not there")
        for n, code in self.others:
            if n < had:
                values[n], at = get(code, values[n], view, at) if values[n] else (EMPTY[code], at)
        return self.kind(*values, *(self.kind.LATER[name] for name in self.names[had:]))

    def older(self, view: memoryview, size: int) -> tuple[Any, ...]:
        """What a peer of an older version has sent."""
        known = self.ends.index(size) + 1 if size else 0
        return struct.unpack_from(">" + "".join(self.codes[:known]), view)


EMPTY: dict[str, Any] = {"b": b"", "f": (), "p": (), "n": ()}
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
            length, kind, size = HEAD.unpack_from(whole, at)
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
                    found.append(form.read(whole[at + HEAD.size : end], size))
                except (ValueError, KeyError, struct.error) as error:
                    return [*found, self.fail(f"kind {kind}: {error!r}")]
            at = end
        self.kept = bytearray(whole[at:])
        return found

    def fail(self, why: str) -> Broken:
        self.broken = True
        self.kept = bytearray()
        return Broken(why)
