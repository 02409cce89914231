"""Converts JSON objects to typed messages and back. Nothing is forwarded that was not validated here."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from json.encoder import encode_basestring as quoted  # leaves letters of all scripts as they are
from math import isfinite
from typing import Any

from lemonhall.node.bounds import MAX_LINE_BYTES, MAX_NUMBER_CHARS
from lemonhall.node.causes import NOTE_KINDS

REF_PATTERN = re.compile(r"[0-9a-f]{16}\Z")
NUMBER_PATTERN = re.compile(r"-?\d+(\.\d+)?([eE][-+]?\d{1,3})?\Z", re.ASCII)
SERVER_ID_PATTERN = re.compile(r"[!-~]{1,128}\Z")
# Not allowed in a description: control characters except CR, LF and TAB, and lone UTF-16 surrogates, which
# UTF-8 cannot encode.
FORBIDDEN_CHARS = re.compile("[\x00-\x08\x0b\x0c\x0e-\x1f\x7f\ud800-\udfff]")
# Of a description in quotes: the answer that carries it must not exceed a message either.
MAX_DESCRIPTION_BYTES = MAX_LINE_BYTES - len('{"t":"up","ref":"0123456789abcdef","f":{},"d":}')


class MessageError(Exception):
    """A message that cannot be used: the reason, and its `ref` if that could be read (else empty)."""

    def __init__(self, reason: str, ref: str = "") -> None:
        super().__init__(reason)
        self.reason, self.ref = reason, ref


@dataclass(frozen=True, slots=True)
class SettingsNames:
    """Names from the settings, in the order of their numbers, and the upper bounds of numeric fields."""

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
    """A viewer's set-up of a session, or the handover of one that plays already (`playing_at` is set)."""

    ref: str
    cls: int
    tenant: int
    left_ms: float  # under `bounds.MIN_LEFT_MS` there is no time for an attempt
    title: int
    viewer: int
    first_cell: int
    cells: int
    top_rung: int
    retry: bool
    repeated: bool
    playing_at: str  # id of the server at which the session plays already; empty for a set-up
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
    """A media server's answer to a set-up: the session plays."""

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
class Heartbeat:
    ref: str


@dataclass(slots=True)
class IgnoredMessage:
    """`wait`, `hb_ok` or a server's `ack`: valid, but without effect."""


@dataclass(slots=True)
class Ack:
    """A viewer has received a release."""

    ref: str


def _unique_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) != len(pairs):
        raise MessageError("duplicate key")
    return fields


def _reject_constant(name: str) -> None:
    raise MessageError(f"{name} is not a valid number")


_decode = json.JSONDecoder(object_pairs_hook=_unique_pairs, parse_constant=_reject_constant).decode


def load_object(line: bytes) -> dict[str, Any]:
    """Raises `MessageError`; a line of 16 KiB costs bounded time whatever it contains."""
    try:
        message = _decode(line.decode("utf-8"))
    except (ValueError, RecursionError) as error:
        raise MessageError(f"invalid JSON: {type(error).__name__}") from None
    if not isinstance(message, dict):
        raise MessageError("not a JSON object")
    return message


def parse_number(value: Any, minimum: float, maximum: float, field: str) -> float:
    """A number, or a number written as text, within the bounds. Raises `MessageError`."""
    if isinstance(value, str):
        if len(value) > MAX_NUMBER_CHARS or not NUMBER_PATTERN.match(value):
            raise MessageError(f"{field} is not a number")
        value = float(value)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MessageError(f"{field} is not a number")
    if not minimum <= value <= maximum or not isfinite(value):
        raise MessageError(f"{field} is out of range")
    return float(value)


def parse_integer(value: Any, minimum: int, maximum: int, field: str) -> int:
    number = parse_number(value, minimum, maximum, field)
    if number != int(number):
        raise MessageError(f"{field} is not an integer")
    return int(number)


def _parse_hex_id(value: Any, field: str) -> int:
    if not isinstance(value, str) or not REF_PATTERN.match(value):
        raise MessageError(f"{field} is not 16 hex digits")
    return int(value, 16)


def _parse_description(message: dict[str, Any]) -> str:
    text = message.get("d")
    if (
        not isinstance(text, str)
        or not text
        or FORBIDDEN_CHARS.search(text)
        or len(quoted(text).encode()) > MAX_DESCRIPTION_BYTES
    ):
        raise MessageError("description is missing, too long or contains forbidden characters")
    return text


def _parse_pairs(text: Any, field: str) -> dict[str, str]:
    """Parses `a:1;b:2`; a value may contain colons."""
    if not isinstance(text, str):
        raise MessageError(f"{field} is not a string")
    pairs: dict[str, str] = {}
    for pair in text.split(";") if text else ():
        name, colon, value = pair.partition(":")
        if not name or not colon or name in pairs:
            raise MessageError(f"{field} is not a list of unique name:value pairs")
        pairs[name] = value
    return pairs


def parse_load_report(fields: dict[str, Any], names: SettingsNames) -> tuple[float, ...]:
    """The load report of a message in the order of the settings; empty if it is missing or invalid.

    A report is advisory: an invalid one does not invalidate the message that carries it.
    """
    if "load" not in fields:
        return ()
    try:
        pairs = _parse_pairs(fields["load"], "load")
        return tuple(parse_number(pairs[name], 0.0, 1e9, name) for name in names.report_fields)
    except (MessageError, KeyError):
        return ()


def _parse_head(message: dict[str, Any]) -> tuple[str, str, dict[str, Any]]:
    ref = message.get("ref")
    if not isinstance(ref, str) or not REF_PATTERN.match(ref):
        raise MessageError("ref is missing or not 16 hex digits")
    kind = message.get("t")
    if not isinstance(kind, str):
        raise MessageError("message type is missing or not a string", ref)
    fields = message.get("f", {})
    if not isinstance(fields, dict):
        raise MessageError("fields are not a JSON object", ref)
    return kind, ref, fields


def parse_viewer_message(
    line: bytes, names: SettingsNames
) -> NewSetUp | Down | Heartbeat | Ack | IgnoredMessage:
    """Raises `MessageError`, with the `ref` if that could be read."""
    message = load_object(line)
    if message.get("t") == "hb":
        ref = message.get("ref", "")
        return Heartbeat(ref if isinstance(ref, str) and REF_PATTERN.match(ref) else "")
    kind, ref, fields = _parse_head(message)
    try:
        if kind == "new":
            return _parse_new_set_up(ref, fields, message, names)
        if kind == "down":
            return Down(ref, parse_integer(message.get("c"), 0, 127, "cause"), ())
    except MessageError as error:
        raise MessageError(error.reason, ref) from None
    if kind == "ack":
        return Ack(ref)
    if kind == "wait":
        return IgnoredMessage()
    raise MessageError(f"message type {kind[:16]!r} is unknown", ref)


def _parse_new_set_up(
    ref: str, fields: dict[str, Any], message: dict[str, Any], names: SettingsNames
) -> NewSetUp:
    class_name = fields.get("class")
    if not isinstance(class_name, str) or class_name not in names.classes:
        raise MessageError("class is unknown")
    cls = names.classes.index(class_name)
    tenant = 0
    if names.tenants:
        tenant_name = fields.get("tenant")
        if not isinstance(tenant_name, str) or tenant_name not in names.tenants:
            raise MessageError("tenant is unknown")
        tenant = names.tenants.index(tenant_name)
    extras = _parse_pairs(fields.get("extras", ""), "extras")
    key = fields.get("key")
    playing_at = extras.get("at", "")
    if playing_at and not SERVER_ID_PATTERN.match(playing_at):
        raise MessageError("at is not a valid server id")
    left = fields.get("left", 0 if playing_at else None)  # a session that plays has no deadline to meet
    max_left_ms = max(names.deadlines_ms)
    return NewSetUp(
        ref,
        cls,
        tenant,
        parse_number(left, 0, 1e9 if playing_at else max_left_ms, "left"),
        _parse_hex_id(key, "key"),
        _parse_hex_id(extras.get("viewer"), "viewer"),
        parse_integer(extras.get("home", 0), 0, names.cells - 1, "home"),
        parse_integer(extras.get("copies", names.cells), 1, names.cells, "copies"),
        parse_integer(extras.get("top", names.rungs - 1), 0, names.rungs - 1, "top"),
        _parse_flag(fields.get("retry", 0), "retry"),
        _parse_flag(extras.get("again", 0), "again"),
        playing_at,
        "" if playing_at else _parse_description(message),
        class_name,
        str(key),
    )


def _parse_flag(value: Any, field: str) -> bool:
    return parse_integer(value, 0, 1, field) == 1


def parse_server_message(line: bytes, names: SettingsNames) -> Up | Down | Note | IgnoredMessage:
    """Raises `MessageError`: nothing that follows on that connection can be trusted."""
    message = load_object(line)
    if message.get("t") in ("hb_ok", "hb"):
        return IgnoredMessage()
    kind, ref, fields = _parse_head(message)
    if kind == "up":
        return Up(ref, _parse_description(message), parse_load_report(fields, names))
    if kind == "down":
        return Down(ref, parse_integer(message.get("c"), 0, 127, "cause"), parse_load_report(fields, names))
    if kind == "tell":
        if fields.get("note") not in NOTE_KINDS:
            raise MessageError("note is unknown")
        return Note(
            ref,
            NOTE_KINDS[fields["note"]],
            parse_number(fields.get("value"), 0.0, 1e9, "value"),
            parse_load_report(fields, names),
        )
    if kind in ("ack", "wait"):
        return IgnoredMessage()
    raise MessageError(f"message type {kind[:16]!r} is unknown")


# Messages to peers. Every text in them is a constant or was validated; descriptions are escaped again, in the
# shortest form, so that they keep their meaning and are not longer than they came.


def encode_set_up(set_up: NewSetUp, left_ms: float, rung: int) -> bytes:
    """A set-up for a media server: ref, class, title and description are unchanged."""
    fields = f'"class":{quoted(set_up.class_name)},"left":"{max(1, int(left_ms))}"'
    fields += f',"key":"{set_up.key}","rung":"{rung}"'
    return f'{{"t":"new","ref":"{set_up.ref}","f":{{{fields}}},"d":{quoted(set_up.description)}}}\n'.encode()


def encode_answer(ref: str, description: str) -> bytes:
    return f'{{"t":"up","ref":"{ref}","f":{{}},"d":{quoted(description)}}}\n'.encode()


def encode_down(ref: str, cause: int, wait_ms: float = 0.0) -> bytes:
    """A refusal, a failure or a release; `wait_ms` advises the viewer when to retry, 0 gives no advice."""
    fields = f'"wait":"{int(wait_ms)}"' if wait_ms >= 1 else ""
    return f'{{"t":"down","ref":"{ref}","f":{{{fields}}},"c":{cause}}}\n'.encode()


def encode_shift(ref: str) -> bytes:
    return f'{{"t":"shift","ref":"{ref}","f":{{}}}}\n'.encode()


def encode_step(ref: str, rung: int) -> bytes:
    return f'{{"t":"step","ref":"{ref}","f":{{"rung":"{rung}"}}}}\n'.encode()


def encode_ack(ref: str) -> bytes:
    return f'{{"t":"ack","ref":"{ref}","f":{{}}}}\n'.encode()


def encode_heartbeat_reply(ref: str, serving: bool) -> bytes:
    name = f'"ref":"{ref}",' if ref else ""
    return f'{{"t":"hb_ok",{name}"f":{{}},"c":{int(serving)}}}\n'.encode()
