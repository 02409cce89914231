"""Codec of the adapter's protocol: frames of big-endian records."""

from __future__ import annotations

import struct
from dataclasses import dataclass

from lemonhall import interface

EVENT_SIZE = 64
ACTION_SIZE = 24
HEADER = struct.Struct(">dIII")
REPLY_HEADER = struct.Struct(">III")
ENTRY = struct.Struct(">HfIHHdB")
ALL_PEERS = 0xFFFF

# Codes of action records.
NOTIFY, TEST, TRANSFER, ISSUE, DROP_CONNS, LISTEN, BUSY = 1, 2, 3, 4, 5, 6, 7
CHOOSE_RATE, BUG, RESPOND_ERROR, RELOAD, REMARK, SCHEDULE, ABANDON = 8, 9, 10, 11, 12, 13, 14
# Codes of event records.
MAIL, POOL, PING_RESULT, NOTE, ABANDONED, HANDOVER, TARGETS = 1, 2, 3, 4, 5, 6, 7
DEADLINE_HIT, NEW_REQUEST, REPORT_BACK, BORN, RETIRE, HEAD_RECEIVED = 8, 9, 10, 11, 12, 13

_EVENTS = {
    MAIL: struct.Struct(">xHHII"),
    POOL: struct.Struct(">xHII"),
    PING_RESULT: struct.Struct(">xHHIdB4f"),
    NOTE: struct.Struct(">xHIHIBf"),
    ABANDONED: struct.Struct(">xHI"),
    HANDOVER: struct.Struct(">xHIBHQQddfffHI"),
    TARGETS: struct.Struct(">xHBQH"),
    DEADLINE_HIT: struct.Struct(">xHQ"),
    NEW_REQUEST: struct.Struct(">xHIQQdHdfHBff"),
    REPORT_BACK: struct.Struct(">xHIBHIdHB4f"),
    BORN: struct.Struct(">xHQII"),
    RETIRE: struct.Struct(">xH"),
    HEAD_RECEIVED: struct.Struct(">xHIHId"),
}
_MOVED, _AGAIN = 8, 16
_ISSUE = struct.Struct(">BHIId5x")
_CHOOSE_RATE = struct.Struct(">BHIB16x")
_BUSY = struct.Struct(">BHId9x")
_REF = struct.Struct(">BHI17x")
_ABANDON = struct.Struct(">BHIH15x")
_SCHEDULE = struct.Struct(">BHQd5x")
_LISTEN = struct.Struct(">BHB20x")
_RELOAD = struct.Struct(">BH21x")
_NOTIFY = struct.Struct(">BHHII11x")
_TEXT = struct.Struct(">BHII13x")


class WireError(Exception):
    """A frame or the settings cannot be read. The text names the place and the fault."""


@dataclass(frozen=True)
class Born:
    """An instance starts."""

    seed: int
    settings: interface.Settings


@dataclass(frozen=True)
class Retired:
    """An instance ends."""

    pass


@dataclass(frozen=True)
class Bug:
    """An exception in an instance, reported in place of its actions."""

    text: str


@dataclass(frozen=True)
class Batch:
    """A frame of events, each with the number of its instance."""

    now: float
    number: int
    events: list[tuple[int, interface.Event | Born | Retired]]


def frame_length(header: bytes) -> int:
    """Bytes of the whole frame. Raises `WireError`."""
    length: int = HEADER.unpack(header)[1]
    if length < HEADER.size:
        raise WireError(f"frame length {length} is shorter than its header of {HEADER.size} bytes")
    return length


def decode_batch(frame: bytes, server_lists: dict[int, tuple[interface.Server, ...]]) -> Batch:
    """Reads one frame. `server_lists` holds the numbered server lists and is updated in the order of records.

    Raises `WireError`.
    """
    now, length, count, number = HEADER.unpack_from(frame)
    if length != len(frame):
        raise WireError(f"batch {number}: length field says {length}, frame has {len(frame)} bytes")
    tail = HEADER.size + count * EVENT_SIZE
    if tail > length:
        raise WireError(f"batch {number}: {count} records do not fit into {length} bytes")
    events: list[tuple[int, interface.Event | Born | Retired]] = []
    for n in range(count):
        offset = HEADER.size + n * EVENT_SIZE
        code = frame[offset]
        where = f"batch {number}, record {n}"
        layout = _EVENTS.get(code)
        if layout is None:
            raise WireError(f"{where}: unknown record code {code}")
        fields = layout.unpack_from(frame, offset)
        if code == POOL:
            server_lists[fields[0]] = _entries(frame, tail, fields[1], fields[2], where)
        else:
            events.append((fields[0], _event(code, fields, frame, tail, server_lists, where)))
    return Batch(now, number, events)


def _slice(frame: bytes, tail: int, offset: int, size: int, where: str) -> bytes:
    start = tail + offset
    if start + size > len(frame):
        raise WireError(f"{where}: data at {offset}, {size} bytes, lies beyond the frame")
    return frame[start : start + size]


def _entries(frame: bytes, tail: int, offset: int, count: int, where: str) -> tuple[interface.Server, ...]:
    data = _slice(frame, tail, offset, count * ENTRY.size, where)
    servers = []
    for kind, weight, server, zone, cell, ready_at, state in ENTRY.iter_unpack(data):
        try:
            servers.append(
                interface.Server(server, kind, weight, zone, cell, ready_at, interface.ServerState(state))
            )
        except ValueError:
            raise WireError(f"{where}: unknown state {state} of server {server}") from None
    return tuple(servers)


def _event(
    code: int,
    fields: tuple,  # type: ignore[type-arg]
    frame: bytes,
    tail: int,
    server_lists: dict[int, tuple[interface.Server, ...]],
    where: str,
) -> interface.Event | Born | Retired:
    if code == NEW_REQUEST:
        _, number, viewer, title, left_ms, flags, length_ms, cells, tenant, cls, top, first_cell = fields
        return _session(number, cls, viewer, title, left_ms, top, first_cell, cells, tenant, length_ms, flags)
    if code == REPORT_BACK:
        _, number, closed, attempt, server, took_ms, status, count, *report = fields
        return interface.AttemptEnded(
            number, attempt, server, status, closed != 0, took_ms, tuple(report[:count])
        )
    if code == NOTE:
        return interface.Note(*fields[1:])
    if code == HEAD_RECEIVED:
        return interface.Playing(*fields[1:])
    if code == DEADLINE_HIT:
        return interface.TimerDue(fields[1])
    if code == ABANDONED:
        return interface.ViewerGone(fields[1])
    if code == TARGETS:
        try:
            kind = interface.ListKind(fields[1])
        except ValueError:
            raise WireError(f"{where}: unknown kind {fields[1]} of server list") from None
        if kind == interface.ListKind.FAILED:
            return interface.ServerList(kind, fields[2], ())
        if fields[3] not in server_lists:
            raise WireError(f"{where}: no server list number {fields[3]}")
        return interface.ServerList(kind, fields[2], server_lists[fields[3]])
    if code == HANDOVER:
        _, number, cls, tenant, viewer, title, left_ms, length_ms, first_cell, cells, top, flags, server = (
            fields
        )
        return interface.HandedOver(
            _session(number, cls, viewer, title, left_ms, top, first_cell, cells, tenant, length_ms, flags),
            server,
        )
    if code == PING_RESULT:
        _, status, server, took_ms, count, *report = fields
        return interface.ProbeEnded(server, status, took_ms, tuple(report[:count]))
    if code == MAIL:
        return interface.PeerMessage(fields[1], _slice(frame, tail, fields[2], fields[3], where))
    if code == BORN:
        text = _slice(frame, tail, fields[2], fields[3], where).decode("utf-8", "replace")
        return Born(fields[1], read_settings(text))
    return Retired()


def _session(
    number: int,
    cls: int,
    viewer: int,
    title: int,
    left_ms: float,
    top: float,
    first_cell: float,
    cells: float,
    tenant: int,
    length_ms: float,
    flags: int,
) -> interface.NewSession:
    return interface.NewSession(
        number,
        cls,
        viewer,
        title,
        left_ms,
        int(top),
        int(first_cell),
        int(cells),
        tenant,
        length_ms,
        bool(flags & _MOVED),
        bool(flags & _AGAIN),
    )


def encode_reply(number: int, actions: list[tuple[int, interface.Action | Bug]]) -> bytes:
    """The reply to batch `number`: actions with the numbers of their instances."""
    records: list[bytes] = []
    tail = bytearray()
    for instance, action in actions:
        records.append(_record(instance, action, tail))
    length = REPLY_HEADER.size + ACTION_SIZE * len(records) + len(tail)
    return b"".join([REPLY_HEADER.pack(len(records), length, number), *records, tail])


def _record(instance: int, action: interface.Action | Bug, tail: bytearray) -> bytes:
    if isinstance(action, interface.SetUp):
        return _ISSUE.pack(ISSUE, instance, action.id, action.server, action.timeout_ms)
    if isinstance(action, interface.SetRung):
        return _CHOOSE_RATE.pack(CHOOSE_RATE, instance, action.id, action.rung)
    if isinstance(action, interface.SetTimer):
        return _SCHEDULE.pack(SCHEDULE, instance, action.token, action.after_ms)
    if isinstance(action, interface.Refuse):
        return _BUSY.pack(BUSY, instance, action.id, action.pause_ms)
    if isinstance(action, interface.Fail):
        return _REF.pack(RESPOND_ERROR, instance, action.id)
    if isinstance(action, interface.Move):
        return _REF.pack(TRANSFER, instance, action.id)
    if isinstance(action, interface.Probe):
        return _REF.pack(TEST, instance, action.server)
    if isinstance(action, interface.Cancel):
        return _ABANDON.pack(ABANDON, instance, action.id, action.attempt)
    if isinstance(action, interface.Subscribe):
        return _LISTEN.pack(LISTEN, instance, action.on)
    if isinstance(action, interface.Reload):
        return _RELOAD.pack(RELOAD, instance)
    offset = len(tail)
    if isinstance(action, interface.SendToPeers):
        tail += action.data
        to = ALL_PEERS if action.to is None else action.to
        return _NOTIFY.pack(NOTIFY, instance, to, offset, len(action.data))
    text = action.text.encode()
    tail += text
    return _TEXT.pack(BUG if isinstance(action, Bug) else REMARK, instance, offset, len(text))


_REPEATS = {
    "idempotent": interface.Repeat.SAFE,
    "deduplicated": interface.Repeat.KEYED,
    "at_most_once": interface.Repeat.PAID,
}


class Pairs:
    """Typed access to the settings. Unknown keys are ignored; each method raises `WireError`."""

    def __init__(self, pairs: dict[str, str]) -> None:
        self.pairs = pairs

    def text(self, key: str, default: str | None = None) -> str:
        value = self.pairs.get(key)
        if value is not None:
            return value
        if default is None:
            raise WireError(f"settings: {key} is missing")
        return default

    def number(self, key: str, default: float | None = None) -> float:
        value = self.text(key, None if default is None else str(default))
        try:
            return float(value)
        except ValueError:
            raise WireError(f"settings: {key} is not a number: {value}") from None

    def whole(self, key: str, default: int | None = None) -> int:
        return int(self.number(key, default))

    def flag(self, key: str, default: bool = False) -> bool:
        return self.text(key, "true" if default else "false") == "true"

    def numbers(self, key: str, required: bool = False) -> tuple[float, ...]:
        value = self.text(key, None if required else "")
        try:
            return tuple(float(v) for v in value.split(",") if v)
        except ValueError:
            raise WireError(f"settings: {key} is not a list of numbers: {value}") from None


def read_settings(text: str) -> interface.Settings:
    """The settings of the first message, with one `key=value` per line. Raises `WireError`."""
    return settings_of(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))


def settings_of(pairs: dict[str, str]) -> interface.Settings:
    """Settings from their keys, whatever file they come from. Raises `WireError`."""
    values = Pairs(pairs)
    rates = values.numbers("specifics.ratesKb", required=True)
    worths = values.numbers("specifics.levelWorth", required=True)
    if len(rates) != len(worths) or not rates:
        raise WireError("settings: specifics.ratesKb and specifics.levelWorth differ in length")
    floors = values.numbers("specifics.classFloor")
    tops = values.numbers("specifics.classTop")
    scales = values.numbers("specifics.scaleByClass")
    seats = values.numbers("specifics.classSeats")
    classes = []
    for n in range(values.whole("classes.count")):
        key = f"classes.{n}."
        repeat = values.text(key + "semantics")
        if repeat not in _REPEATS:
            raise WireError(f"settings: {key}semantics is unknown: {repeat}")
        classes.append(
            interface.SessionClass(
                worth=values.number(key + "worth"),
                repeat=_REPEATS[repeat],
                aim_ms=values.number(key + "promise"),
                deadline_ms=values.number(key + "hardLimit"),
                keyed_group=values.text(key + "group", "all"),
                keyed_window_ms=values.number(key + "keyTtl", 0.0),
                floor=int(_at(floors, n, 0)),
                top=min(int(_at(tops, n, len(rates) - 1)), len(rates) - 1),
                scale=_at(scales, n, 1.0),
                seats=int(_at(seats, n, 0)),
            )
        )
    tenants = tuple(
        interface.Tenant(values.number(f"customers.{n}.quotaRps", 0.0))
        for n in range(values.whole("customers.count", 0))
    )
    has_retry_budget = "rules.budgetFree" in values.pairs or "rules.resendRatio" in values.pairs
    return interface.Settings(
        classes=tuple(classes),
        ladder_kb=rates,
        ladder_worth=worths,
        places_by_kind=tuple(int(v) for v in values.numbers("specifics.placesByKind", required=True)),
        link_kb_per_weight=values.number("specifics.kbPerWeight"),
        cells=values.whole("specifics.positions"),
        fronts=values.whole("replicasOfMe", 1),
        index=values.whole("selfIndex", 0),
        zone=values.whole("myZone", 0),
        racks=values.whole("specifics.racks", 0),
        uplink_kb=values.number("specifics.uplinkKb", 0.0),
        all_links_kb=values.number("specifics.fleetKb", 0.0),
        weights_are_sizes=values.text("weightSource", "none") != "none",
        tenants=tenants,
        over_share_worth=values.number("overShareWorth", 1.0),
        full_from=values.number("specifics.fullFrom", 0.0),
        report_delay_ms=values.number("specifics.toldLate", 1000.0),
        reports_every_ms=values.number("specifics.reportsEvery", 0.0),
        report_fields=tuple(v for v in values.text("report.fields", "").split(",") if v),
        stall_cost=values.number("specifics.stallCost", 0.0),
        switch_cost_s=values.number("specifics.switchCostS", 0.0),
        move_cost=values.number("costs.moves", 0.0),
        cross_zone_cost=values.number("costs.crossZone", 0.0),
        may_probe=values.flag("caps.probing"),
        may_message_peers=values.flag("caps.peerMessages"),
        subscribes=values.text("discovery", "automatic") == "subscribe",
        pause_advice=values.flag("caps.retryAfter"),
        max_pause_ms=values.number("caps.maxRetryAfter", 0.0),
        max_attempts=values.whole("caps.maxAttempts", 1),
        connect_timeout_ms=values.number("caps.connectTimeout", 250.0),
        cold_from=values.number("rules.coldFrom", 1.0),
        warm_up_ms=values.number("rules.warmWithin", 0.0),
        overload_factor=values.number("rules.overloadFactor", 1.0),
        tip_after_ms=values.number("rules.tipAfter", 0.0),
        retry_free=values.number("rules.budgetFree", 0.0) if has_retry_budget else None,
        retry_share=values.number("rules.resendRatio", 0.0),
        retry_span_ms=values.number("rules.resendSpan", 0.0),
    )


def _at(listed: tuple[float, ...], n: int, default: float) -> float:
    return listed[n] if n < len(listed) else default
