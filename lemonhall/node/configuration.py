"""The configuration file of a front node: the simulator's settings, limits, addresses, server list."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from lemonhall import wire
from lemonhall.interface import Settings
from lemonhall.node.dns import ListedServer
from lemonhall.node.messages import SettingsNames
from lemonhall.problem import BadInput

Address = tuple[str, int]


@dataclass(frozen=True)
class Configuration:
    name: str
    listen_address: Address
    seed: int
    max_descriptors: int  # that the process may hold
    max_memory_bytes: int  # over which the process is killed
    resolver_address: Address
    list_number: int  # sequence number of the last event in `servers`
    servers: dict[str, ListedServer]  # the list at the start
    settings: Settings
    names: SettingsNames
    set_ups_per_connection: int  # that one connection to a media server carries at once
    idle_timeout_s: float  # after which a media server closes an idle connection
    connect_timeout_s: float
    note_interval_s: float  # between regular notes of a media server with sessions of this node; 0: none


def parse_address(text: Any, field: str) -> Address:
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise BadInput(field, f"{text!r} is not an address with a port")
    return host, int(port)


def flatten_settings(value: Any, path: str = "") -> dict[str, str]:
    """Nested settings as the simulator's flat pairs.

    A list of plain values becomes one joined value; a list of objects gets a `count` and numbered paths.
    """
    if isinstance(value, dict):
        pairs: dict[str, str] = {}
        for name, inner in value.items():
            pairs.update(flatten_settings(inner, f"{path}.{name}" if path else str(name)))
        return pairs
    if isinstance(value, list):
        if any(isinstance(item, dict) for item in value):
            pairs = {f"{path}.count": str(len(value))}
            for index, inner in enumerate(value):
                pairs.update(flatten_settings(inner, f"{path}.{index}"))
            return pairs
        return {path: ",".join(_format_plain(item) for item in value)}
    return {} if value is None else {path: _format_plain(value)}


def _format_plain(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def _parse_number(value: Any, field: str, minimum: float = 0.0) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value < 1e15:
        raise BadInput(field, f"{value!r} is not a number in range")
    return float(value)


def parse_server(entry: Any, field: str) -> ListedServer:
    """An entry of `known`; the caller handles the state `removed`."""
    try:
        host, port = parse_address(entry["addr"], f"{field}.addr")
        return ListedServer(
            str(entry["id"]),
            host,
            port,
            str(entry["zone"]),
            str(entry["kind"]),
            int(_parse_number(entry["cell"], f"{field}.cell")),
            entry["state"] == "draining",
            _parse_number(entry.get("weight", 1), f"{field}.weight"),
            _parse_number(entry.get("started_ms", 0), f"{field}.started_ms"),
        )
    except (KeyError, TypeError) as error:
        raise BadInput(field, f"lacks {error}") from None


def parse_known_servers(known: Any, field: str) -> tuple[int, dict[str, ListedServer]]:
    """Applies the recorded list events in order: the sequence number of the last, and the resulting list."""
    if not isinstance(known, dict) or not isinstance(known.get("results"), list):
        raise BadInput(field, "the recorded list events are missing")
    servers: dict[str, ListedServer] = {}
    for index, event in enumerate(known["results"]):
        fleet = event.get("fleet") if isinstance(event, dict) else None
        if not isinstance(fleet, dict) or not isinstance(fleet.get("servers"), list):
            continue  # an event of another kind, which the node does not use
        if fleet.get("full"):
            servers.clear()
        for position, entry in enumerate(fleet["servers"]):
            server = parse_server(entry, f"{field}.results[{index}].fleet.servers[{position}]")
            if entry["state"] in ("up", "draining"):
                servers[server.id] = server
            else:
                servers.pop(server.id, None)
    return int(_parse_number(known.get("seq", 0), f"{field}.seq")), servers


def parse_configuration(text: str, path: str) -> Configuration:
    """Raises `BadInput` with the file and the field."""
    try:
        document = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise BadInput(path, f"is not valid JSON: {error}") from None
    if not isinstance(document, dict):
        raise BadInput(path, "is not a JSON object")
    raw_settings = document.get("settings")
    if not isinstance(raw_settings, dict):
        raise BadInput(f"{path}: settings", "is missing")
    flat_settings = flatten_settings(raw_settings)
    try:
        settings = wire.settings_of(flat_settings)
        pairs = wire.Pairs(flat_settings)
        names = SettingsNames(
            tuple(pairs.text(f"classes.{index}.name") for index in range(len(settings.classes))),
            tuple(pairs.text(f"customers.{index}.name", "") for index in range(len(settings.tenants))),
            tuple(pairs.text("areas", "").split(",")),
            tuple(pairs.text("machineTypes", "").split(",")),
            settings.report_fields,
            tuple(cls.deadline_ms for cls in settings.classes),
            settings.cells,
            len(settings.ladder_kb),
        )
        set_ups_per_connection = max(1, pairs.whole("caps.maxStreams", 1))
        idle_timeout_s = pairs.number("caps.connIdle", 15000.0) / 1000
        has_regular_notes = pairs.text("report.how", "none") == "answers"
    except (wire.WireError, ValueError) as error:
        raise BadInput(f"{path}: settings", str(error)) from None
    limits = document.get("limits")
    limits = limits if isinstance(limits, dict) else {}
    list_number, servers = parse_known_servers(document.get("known"), f"{path}: known")
    seed_text = str(document.get("seed", "0"))
    try:
        seed = int(seed_text, 16)
    except ValueError:
        raise BadInput(f"{path}: seed", f"{seed_text!r} is not a hexadecimal number") from None
    return Configuration(
        str(document.get("name", "")),
        parse_address(document.get("listen"), f"{path}: listen"),
        seed,
        int(_parse_number(limits.get("sockets", 1024), f"{path}: limits.sockets", 16)),
        int(_parse_number(limits.get("memory_mb", 192), f"{path}: limits.memory_mb", 16) * 2**20),
        parse_address(document.get("dns"), f"{path}: dns"),
        list_number,
        servers,
        settings,
        names,
        set_ups_per_connection,
        idle_timeout_s,
        settings.connect_timeout_ms / 1000,
        settings.reports_every_ms / 1000 if has_regular_notes else 0.0,
    )
