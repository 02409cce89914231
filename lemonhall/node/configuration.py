"""The configuration file of a front node: the simulator's settings, limits, addresses, the list."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from lemonhall import wire
from lemonhall.interface import Settings
from lemonhall.node.messages import Names
from lemonhall.node.records import Listed
from lemonhall.problem import BadInput

Address = tuple[str, int]


@dataclass(frozen=True)
class Configuration:
    name: str
    listen: Address
    seed: int
    sockets: int  # descriptors that the process may hold
    dns: Address
    seq: int  # of the last event in `servers`
    servers: dict[str, Listed]  # the list of the start
    settings: Settings
    names: Names
    streams: int  # set-ups that one connection to a media server carries at once
    idle_s: float  # after which an idle connection is closed
    connect_s: float


def address(text: Any, what: str) -> Address:
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise BadInput(what, f"{text!r} is no address with a port")
    return host, int(port)


def flat(value: Any, path: str = "") -> dict[str, str]:
    """Nested settings as the simulator's pairs: lists of plain values joined, those of objects counted."""
    if isinstance(value, dict):
        made: dict[str, str] = {}
        for name, inner in value.items():
            made.update(flat(inner, f"{path}.{name}" if path else str(name)))
        return made
    if isinstance(value, list):
        if any(isinstance(v, dict) for v in value):
            made = {f"{path}.count": str(len(value))}
            for n, inner in enumerate(value):
                made.update(flat(inner, f"{path}.{n}"))
            return made
        return {path: ",".join(_plain(v) for v in value)}
    return {} if value is None else {path: _plain(value)}


def _plain(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def _number(value: Any, where: str, least: float = 0.0) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < 1e15:
        raise BadInput(where, f"{value!r} is no number in range")
    return float(value)


def listed(entry: Any, where: str) -> Listed:
    """An entry of `known`; its state `removed` is the caller's to see."""
    try:
        host, port = address(entry["addr"], f"{where}.addr")
        return Listed(
            str(entry["id"]),
            host,
            port,
            str(entry["zone"]),
            str(entry["kind"]),
            int(_number(entry["cell"], f"{where}.cell")),
            entry["state"] == "draining",
            _number(entry.get("weight", 1), f"{where}.weight"),
            _number(entry.get("started_ms", 0), f"{where}.started_ms"),
        )
    except (KeyError, TypeError) as error:
        raise BadInput(where, f"lacks {error}") from None


def known_list(known: Any, where: str) -> tuple[int, dict[str, Listed]]:
    """The events of the start folded into one list, and the number of the last."""
    if not isinstance(known, dict) or not isinstance(known.get("results"), list):
        raise BadInput(where, "no events of the start")
    servers: dict[str, Listed] = {}
    for n, event in enumerate(known["results"]):
        fleet = event.get("fleet") if isinstance(event, dict) else None
        if not isinstance(fleet, dict) or not isinstance(fleet.get("servers"), list):
            continue  # of another kind: nothing here goes by it
        if fleet.get("full"):
            servers.clear()
        for m, entry in enumerate(fleet["servers"]):
            made = listed(entry, f"{where}.results[{n}].fleet.servers[{m}]")
            if entry["state"] in ("up", "draining"):
                servers[made.id] = made
            else:
                servers.pop(made.id, None)
    return int(_number(known.get("seq", 0), f"{where}.seq")), servers


def read(text: str, where: str) -> Configuration:
    """Raises `BadInput` with the file and the field."""
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise BadInput(where, f"is no JSON: {error}") from None
    if not isinstance(raw, dict):
        raise BadInput(where, "is no object")
    told = raw.get("settings")
    if not isinstance(told, dict):
        raise BadInput(f"{where}: settings", "is missing")
    pairs = flat(told)
    try:
        settings = wire.settings_of(pairs)
        caps = wire.Pairs(pairs)
        names = Names(
            tuple(caps.text(f"classes.{n}.name") for n in range(len(settings.classes))),
            tuple(caps.text(f"customers.{n}.name", "") for n in range(len(settings.tenants))),
            tuple(caps.text("areas", "").split(",")),
            tuple(caps.text("machineTypes", "").split(",")),
            settings.report_fields,
            tuple(c.deadline_ms for c in settings.classes),
            settings.cells,
            len(settings.ladder_kb),
        )
        streams = max(1, caps.whole("caps.maxStreams", 1))
        idle_s = caps.number("caps.connIdle", 15000.0) / 1000
    except (wire.WireError, ValueError) as error:
        raise BadInput(f"{where}: settings", str(error)) from None
    limits = raw.get("limits")
    limits = limits if isinstance(limits, dict) else {}
    seq, servers = known_list(raw.get("known"), f"{where}: known")
    seed = str(raw.get("seed", "0"))
    try:
        number = int(seed, 16)
    except ValueError:
        raise BadInput(f"{where}: seed", f"{seed!r} is no hex number") from None
    return Configuration(
        str(raw.get("name", "")),
        address(raw.get("listen"), f"{where}: listen"),
        number,
        int(_number(limits.get("sockets", 1024), f"{where}: limits.sockets", 16)),
        address(raw.get("dns"), f"{where}: dns"),
        seq,
        servers,
        settings,
        names,
        streams,
        idle_s,
        settings.connect_timeout_ms / 1000,
    )
