"""JSON objects to typed messages and back. Nothing is passed on that was not checked here."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from json.encoder import encode_basestring_ascii as quoted
from math import isfinite
from typing import Any

from lemonhall.node.bounds import DESCRIPTION_CHARS, NUMBER_CHARS
from lemonhall.node.outcomes import NOTES

REF = re.compile(r"[0-9a-f]{16}\Z")
NUMBER = re.compile(r"-?\d+(\.\d+)?([eE][-+]?\d{1,3})?\Z", re.ASCII)
NAME = re.compile(r"[!-~]{1,128}\Z")  # of a server
# What no description holds: controls but CR, LF, TAB, and halves of UTF-16 pairs, which no UTF-8 can carry.
UNCLEAN = re.compile("[\x00-\x08\x0b\x0c\x0e-\x1f\x7f\ud800-\udfff]")


class Bad(Exception):
    """A message that cannot be used: why, and its id where that can be read (else empty)."""

    def __init__(self, why: str, ref: str = "") -> None:
        super().__init__(why)
        self.why, self.ref = why, ref


@dataclass(frozen=True, slots=True)
class Names:
    """What the settings call things, in the order of their numbers, and the bounds of figures."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    report_fields: tuple[str, ...]
    deadlines_ms: tuple[float, ...]  # by class
    cells: int
    rungs: int


@dataclass(slots=True)
class NewSetUp:
    ref: str
    cls: int
    tenant: int
    left_ms: float
    title: int
    viewer: int
    home: int
    copies: int
    top: int
    retry: bool
    again: bool
    at: str  # the server at which it plays already; empty: none
    description: str
    class_name: str
    key: str


@dataclass(slots=True)
class Down:
    """A release, a refusal or the end of a set-up."""

    ref: str
    cause: int
    load: tuple[float, ...]


@dataclass(slots=True)
class Up:
    ref: str
    description: str
    load: tuple[float, ...]


@dataclass(slots=True)
class Note:
    ref: str
    kind: int
    value: float
    load: tuple[float, ...]


@dataclass(slots=True)
class Test:
    ref: str


@dataclass(slots=True)
class Free:
    """`wait`, `hb_ok`, a server's `ack`: they mean nothing here."""


@dataclass(slots=True)
class Ack:
    """A viewer has heard a release."""

    ref: str


def _pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    made = dict(pairs)
    if len(made) != len(pairs):
        raise Bad("a key twice")
    return made


def _no_constant(name: str) -> None:
    raise Bad(f"{name} is no number")


_decode = json.JSONDecoder(object_pairs_hook=_pairs, parse_constant=_no_constant).decode


def load_object(line: bytes) -> dict[str, Any]:
    """Raises `Bad`; a line of 16 KiB costs a bounded time whatever it holds."""
    try:
        made = _decode(line.decode("utf-8"))
    except (ValueError, RecursionError) as error:
        raise Bad(f"no JSON: {type(error).__name__}") from None
    if not isinstance(made, dict):
        raise Bad("not an object")
    return made


def number(value: Any, least: float, most: float, what: str) -> float:
    """A number, or one written as text, within bounds. Raises `Bad`."""
    if isinstance(value, str):
        if len(value) > NUMBER_CHARS or not NUMBER.match(value):
            raise Bad(f"{what} is no number")
        value = float(value)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise Bad(f"{what} is no number")
    if not least <= value <= most or not isfinite(value):
        raise Bad(f"{what} is out of range")
    return float(value)


def whole(value: Any, least: int, most: int, what: str) -> int:
    made = number(value, least, most, what)
    if made != int(made):
        raise Bad(f"{what} is not whole")
    return int(made)


def _hex(value: Any, what: str) -> int:
    if not isinstance(value, str) or not REF.match(value):
        raise Bad(f"{what} is not 16 hex digits")
    return int(value, 16)


def _description(message: dict[str, Any]) -> str:
    text = message.get("d")
    if not isinstance(text, str) or not text or len(text) > DESCRIPTION_CHARS or UNCLEAN.search(text):
        raise Bad("no description")
    return text


def _words(text: Any, what: str) -> dict[str, str]:
    """`a:1;b:2`; the value may hold colons."""
    if not isinstance(text, str):
        raise Bad(f"{what} is no text")
    made: dict[str, str] = {}
    for part in text.split(";") if text else ():
        name, colon, value = part.partition(":")
        if not name or not colon or name in made:
            raise Bad(f"{what} cannot be read")
        made[name] = value
    return made


def report(fields: dict[str, Any], names: Names) -> tuple[float, ...]:
    """The load report of a message in the order of the settings; empty where there is none or it is spoilt.

    A report is advice: one that cannot be read spoils no answer that can.
    """
    if "load" not in fields:
        return ()
    try:
        words = _words(fields["load"], "load")
        return tuple(number(words[name], 0.0, 1e9, name) for name in names.report_fields)
    except (Bad, KeyError):
        return ()


def _head(message: dict[str, Any]) -> tuple[str, str, dict[str, Any]]:
    ref = message.get("ref")
    if not isinstance(ref, str) or not REF.match(ref):
        raise Bad("no id")
    kind = message.get("t")
    if not isinstance(kind, str):
        raise Bad("no type", ref)
    fields = message.get("f", {})
    if not isinstance(fields, dict):
        raise Bad("fields are no object", ref)
    return kind, ref, fields


def from_viewer(line: bytes, names: Names) -> NewSetUp | Down | Test | Ack | Free:
    """Raises `Bad`, with the id if that much could be read."""
    message = load_object(line)
    if message.get("t") == "hb":
        ref = message.get("ref", "")
        return Test(ref if isinstance(ref, str) and REF.match(ref) else "")
    kind, ref, fields = _head(message)
    try:
        if kind == "new":
            return _new(ref, fields, message, names)
        if kind == "down":
            return Down(ref, whole(message.get("c"), 0, 127, "cause"), ())
    except Bad as bad:
        raise Bad(bad.why, ref) from None
    if kind == "ack":
        return Ack(ref)
    if kind == "wait":
        return Free()
    raise Bad(f"type {kind[:16]!r} is unknown", ref)


def _new(ref: str, fields: dict[str, Any], message: dict[str, Any], names: Names) -> NewSetUp:
    class_name = fields.get("class")
    if not isinstance(class_name, str) or class_name not in names.classes:
        raise Bad("class is unknown")
    cls = names.classes.index(class_name)
    tenant = 0
    if names.tenants:
        tenant_name = fields.get("tenant")
        if not isinstance(tenant_name, str) or tenant_name not in names.tenants:
            raise Bad("tenant is unknown")
        tenant = names.tenants.index(tenant_name)
    extras = _words(fields.get("extras", ""), "extras")
    key = fields.get("key")
    at = extras.get("at", "")
    if at and not NAME.match(at):
        raise Bad("at names no server")
    left = fields.get("left", 0 if at else None)  # of what stands already nothing is waited for
    most = max(names.deadlines_ms)
    return NewSetUp(
        ref,
        cls,
        tenant,
        number(left, 0 if at else 1, 1e9 if at else most, "left"),
        _hex(key, "key"),
        _hex(extras.get("viewer"), "viewer"),
        whole(extras.get("home", 0), 0, names.cells - 1, "home"),
        whole(extras.get("copies", names.cells), 1, names.cells, "copies"),
        whole(extras.get("top", names.rungs - 1), 0, names.rungs - 1, "top"),
        _flag(fields.get("retry", 0), "retry"),
        _flag(extras.get("again", 0), "again"),
        at,
        "" if at else _description(message),
        class_name,
        str(key),
    )


def _flag(value: Any, what: str) -> bool:
    return whole(value, 0, 1, what) == 1


def from_server(line: bytes, names: Names) -> Up | Down | Note | Free:
    """Raises `Bad`: what follows on that connection cannot be trusted."""
    message = load_object(line)
    if message.get("t") in ("hb_ok", "hb"):
        return Free()
    kind, ref, fields = _head(message)
    if kind == "up":
        return Up(ref, _description(message), report(fields, names))
    if kind == "down":
        return Down(ref, whole(message.get("c"), 0, 127, "cause"), report(fields, names))
    if kind == "tell":
        if fields.get("note") not in NOTES:
            raise Bad("note is unknown")
        return Note(
            ref, NOTES[fields["note"]], number(fields.get("value"), 0.0, 1e9, "value"), report(fields, names)
        )
    if kind in ("ack", "wait"):
        return Free()
    raise Bad(f"type {kind[:16]!r} is unknown")


# What we write. Every text that goes in was checked or is ours; descriptions are quoted anew, same meaning.


def set_up(asked: NewSetUp, left_ms: float, rung: int) -> bytes:
    """A set-up for a media server: id, class, title and description unchanged."""
    fields = f'"class":{quoted(asked.class_name)},"left":"{max(1, int(left_ms))}"'
    fields += f',"key":"{asked.key}","rung":"{rung}"'
    return f'{{"t":"new","ref":"{asked.ref}","f":{{{fields}}},"d":{quoted(asked.description)}}}\n'.encode()


def answer(ref: str, description: str) -> bytes:
    return f'{{"t":"up","ref":"{ref}","f":{{}},"d":{quoted(description)}}}\n'.encode()


def down(ref: str, cause: int, wait_ms: float = 0.0) -> bytes:
    """A refusal, a failure, a release; `wait_ms`: how long the viewer is to stay away, 0: no advice."""
    fields = f'"wait":"{int(wait_ms)}"' if wait_ms >= 1 else ""
    return f'{{"t":"down","ref":"{ref}","f":{{{fields}}},"c":{cause}}}\n'.encode()


def shift(ref: str) -> bytes:
    return f'{{"t":"shift","ref":"{ref}","f":{{}}}}\n'.encode()


def step(ref: str, rung: int) -> bytes:
    return f'{{"t":"step","ref":"{ref}","f":{{"rung":"{rung}"}}}}\n'.encode()


def ack(ref: str) -> bytes:
    return f'{{"t":"ack","ref":"{ref}","f":{{}}}}\n'.encode()


def tested(ref: str, passed: bool) -> bytes:
    name = f'"ref":"{ref}",' if ref else ""
    return f'{{"t":"hb_ok",{name}"f":{{}},"c":{int(passed)}}}\n'.encode()
