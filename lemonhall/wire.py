"""The codec of the wire: frames of big-endian records. Nothing here decides anything."""

from __future__ import annotations

import struct
from dataclasses import dataclass

from lemonhall import interface as i

EVENT_SIZE = 64
ACTION_SIZE = 24
HEADER = struct.Struct(">dIII")
REPLY_HEADER = struct.Struct(">III")
ENTRY = struct.Struct(">HfIHHdB")
ALL_PEERS = 0xFFFF

NOTIFY, TEST, TRANSFER, ISSUE, DROP_CONNS, LISTEN, BUSY = 1, 2, 3, 4, 5, 6, 7
CHOOSE_RATE, BUG, RESPOND_ERROR, RELOAD, REMARK, SCHEDULE, ABANDON = 8, 9, 10, 11, 12, 13, 14
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
    """A frame or the settings cannot be read; the text says what and where."""


@dataclass(frozen=True)
class Born:
    seed: int
    settings: i.Settings


@dataclass(frozen=True)
class Retired:
    pass


@dataclass(frozen=True)
class Bug:
    text: str


@dataclass(frozen=True)
class Batch:
    now: float
    number: int
    events: list[tuple[int, i.Event | Born | Retired]]


def frame_length(header: bytes) -> int:
    length: int = HEADER.unpack(header)[1]
    if length < HEADER.size:
        raise WireError(f"frame length {length} is shorter than its header of {HEADER.size} bytes")
    return length


def decode_batch(frame: bytes, banks: dict[int, tuple[i.Server, ...]]) -> Batch:
    """Read one frame. `banks` holds the numbered server lists and is updated in event order."""
    now, length, count, number = HEADER.unpack_from(frame)
    if length != len(frame):
        raise WireError(f"batch {number}: length field says {length}, frame has {len(frame)} bytes")
    tail = HEADER.size + count * EVENT_SIZE
    if tail > length:
        raise WireError(f"batch {number}: {count} records do not fit into {length} bytes")
    events: list[tuple[int, i.Event | Born | Retired]] = []
    for n in range(count):
        offset = HEADER.size + n * EVENT_SIZE
        code = frame[offset]
        where = f"batch {number}, record {n}"
        layout = _EVENTS.get(code)
        if layout is None:
            raise WireError(f"{where}: unknown record code {code}")
        fields = layout.unpack_from(frame, offset)
        if code == POOL:
            banks[fields[0]] = _entries(frame, tail, fields[1], fields[2], where)
        else:
            events.append((fields[0], _event(code, fields, frame, tail, banks, where)))
    return Batch(now, number, events)


def _slice(frame: bytes, tail: int, offset: int, size: int, where: str) -> bytes:
    start = tail + offset
    if start + size > len(frame):
        raise WireError(f"{where}: data at {offset}, {size} bytes, lies beyond the frame")
    return frame[start : start + size]


def _entries(frame: bytes, tail: int, offset: int, count: int, where: str) -> tuple[i.Server, ...]:
    data = _slice(frame, tail, offset, count * ENTRY.size, where)
    servers = []
    for kind, weight, server, zone, cell, ready_at, state in ENTRY.iter_unpack(data):
        try:
            servers.append(i.Server(server, kind, weight, zone, cell, ready_at, i.ServerState(state)))
        except ValueError:
            raise WireError(f"{where}: unknown state {state} of server {server}") from None
    return tuple(servers)


def _event(
    code: int,
    f: tuple,  # type: ignore[type-arg]
    frame: bytes,
    tail: int,
    banks: dict[int, tuple[i.Server, ...]],
    where: str,
) -> i.Event | Born | Retired:
    if code == NEW_REQUEST:
        _, ref, viewer, title, left, opts, work, cells, tenant, cls, top, first = f
        return _session(ref, cls, viewer, title, left, top, first, cells, tenant, work, opts)
    if code == REPORT_BACK:
        _, ref, closed, attempt, server, took, status, n, *load = f
        return i.AttemptEnded(ref, attempt, server, status, closed != 0, took, tuple(load[:n]))
    if code == NOTE:
        return i.Note(*f[1:])
    if code == HEAD_RECEIVED:
        return i.Playing(*f[1:])
    if code == DEADLINE_HIT:
        return i.TimerDue(f[1])
    if code == ABANDONED:
        return i.ViewerGone(f[1])
    if code == TARGETS:
        try:
            kind = i.ListKind(f[1])
        except ValueError:
            raise WireError(f"{where}: unknown kind {f[1]} of server list") from None
        if kind == i.ListKind.FAILED:
            return i.ServerList(kind, f[2], ())
        if f[3] not in banks:
            raise WireError(f"{where}: no server list number {f[3]}")
        return i.ServerList(kind, f[2], banks[f[3]])
    if code == HANDOVER:
        _, ref, cls, tenant, viewer, title, left, work, first, cells, top, opts, server = f
        return i.HandedOver(
            _session(ref, cls, viewer, title, left, top, first, cells, tenant, work, opts), server
        )
    if code == PING_RESULT:
        _, status, server, took, n, *load = f
        return i.ProbeEnded(server, status, took, tuple(load[:n]))
    if code == MAIL:
        return i.PeerMessage(f[1], _slice(frame, tail, f[2], f[3], where))
    if code == BORN:
        text = _slice(frame, tail, f[2], f[3], where).decode("utf-8", "replace")
        return Born(f[1], read_settings(text))
    return Retired()


def _session(
    ref: int,
    cls: int,
    viewer: int,
    title: int,
    left: float,
    top: float,
    first: float,
    cells: float,
    tenant: int,
    work: float,
    opts: int,
) -> i.NewSession:
    return i.NewSession(
        ref,
        cls,
        viewer,
        title,
        left,
        int(top),
        int(first),
        int(cells),
        tenant,
        work,
        bool(opts & _MOVED),
        bool(opts & _AGAIN),
    )


def encode_reply(number: int, actions: list[tuple[int, i.Action | Bug]]) -> bytes:
    records: list[bytes] = []
    tail = bytearray()
    for inst, action in actions:
        records.append(_record(inst, action, tail))
    length = REPLY_HEADER.size + ACTION_SIZE * len(records) + len(tail)
    return b"".join([REPLY_HEADER.pack(len(records), length, number), *records, tail])


def _record(inst: int, a: i.Action | Bug, tail: bytearray) -> bytes:
    if isinstance(a, i.SetUp):
        return _ISSUE.pack(ISSUE, inst, a.id, a.server, a.timeout_ms)
    if isinstance(a, i.SetRung):
        return _CHOOSE_RATE.pack(CHOOSE_RATE, inst, a.id, a.rung)
    if isinstance(a, i.SetTimer):
        return _SCHEDULE.pack(SCHEDULE, inst, a.token, a.after_ms)
    if isinstance(a, i.Refuse):
        return _BUSY.pack(BUSY, inst, a.id, a.pause_ms)
    if isinstance(a, i.Fail):
        return _REF.pack(RESPOND_ERROR, inst, a.id)
    if isinstance(a, i.Move):
        return _REF.pack(TRANSFER, inst, a.id)
    if isinstance(a, i.Probe):
        return _REF.pack(TEST, inst, a.server)
    if isinstance(a, i.Cancel):
        return _ABANDON.pack(ABANDON, inst, a.id, a.attempt)
    if isinstance(a, i.Subscribe):
        return _LISTEN.pack(LISTEN, inst, a.on)
    if isinstance(a, i.Reload):
        return _RELOAD.pack(RELOAD, inst)
    offset = len(tail)
    if isinstance(a, i.SendToPeers):
        tail += a.data
        to = ALL_PEERS if a.to is None else a.to
        return _NOTIFY.pack(NOTIFY, inst, to, offset, len(a.data))
    text = a.text.encode()
    tail += text
    return _TEXT.pack(BUG if isinstance(a, Bug) else REMARK, inst, offset, len(text))


_REPEATS = {
    "idempotent": i.Repeat.SAFE,
    "deduplicated": i.Repeat.KEYED,
    "at_most_once": i.Repeat.PAID,
}


class Pairs:
    """The settings' pairs as typed look-ups; unknown keys are never asked for."""

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


def read_settings(text: str) -> i.Settings:
    """Of the first message: a pair a line."""
    return settings_of(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))


def settings_of(pairs: dict[str, str]) -> i.Settings:
    """Settings by their paths, wherever they were written. Raises `WireError`."""
    p = Pairs(pairs)
    rates = p.numbers("specifics.ratesKb", required=True)
    worths = p.numbers("specifics.levelWorth", required=True)
    if len(rates) != len(worths) or not rates:
        raise WireError("settings: specifics.ratesKb and specifics.levelWorth differ in length")
    floors = p.numbers("specifics.classFloor")
    tops = p.numbers("specifics.classTop")
    scales = p.numbers("specifics.scaleByClass")
    seats = p.numbers("specifics.classSeats")
    classes = []
    for n in range(p.whole("classes.count")):
        key = f"classes.{n}."
        repeat = p.text(key + "semantics")
        if repeat not in _REPEATS:
            raise WireError(f"settings: {key}semantics is unknown: {repeat}")
        classes.append(
            i.SessionClass(
                worth=p.number(key + "worth"),
                repeat=_REPEATS[repeat],
                aim_ms=p.number(key + "promise"),
                deadline_ms=p.number(key + "hardLimit"),
                keyed_group=p.text(key + "group", "all"),
                keyed_window_ms=p.number(key + "keyTtl", 0.0),
                floor=int(_at(floors, n, 0)),
                top=min(int(_at(tops, n, len(rates) - 1)), len(rates) - 1),
                scale=_at(scales, n, 1.0),
                seats=int(_at(seats, n, 0)),
            )
        )
    tenants = tuple(
        i.Tenant(p.number(f"customers.{n}.quotaRps", 0.0)) for n in range(p.whole("customers.count", 0))
    )
    rationed = "rules.budgetFree" in p.pairs or "rules.resendRatio" in p.pairs
    return i.Settings(
        classes=tuple(classes),
        ladder_kb=rates,
        ladder_worth=worths,
        places_by_kind=tuple(int(v) for v in p.numbers("specifics.placesByKind", required=True)),
        link_kb_per_weight=p.number("specifics.kbPerWeight"),
        cells=p.whole("specifics.positions"),
        fronts=p.whole("replicasOfMe", 1),
        index=p.whole("selfIndex", 0),
        zone=p.whole("myZone", 0),
        racks=p.whole("specifics.racks", 0),
        uplink_kb=p.number("specifics.uplinkKb", 0.0),
        all_links_kb=p.number("specifics.fleetKb", 0.0),
        weights_are_sizes=p.text("weightSource", "none") != "none",
        tenants=tenants,
        over_share_worth=p.number("overShareWorth", 1.0),
        full_from=p.number("specifics.fullFrom", 0.0),
        report_delay_ms=p.number("specifics.toldLate", 1000.0),
        reports_every_ms=p.number("specifics.reportsEvery", 0.0),
        report_fields=tuple(v for v in p.text("report.fields", "").split(",") if v),
        stall_cost=p.number("specifics.stallCost", 0.0),
        switch_cost_s=p.number("specifics.switchCostS", 0.0),
        move_cost=p.number("costs.moves", 0.0),
        cross_zone_cost=p.number("costs.crossZone", 0.0),
        may_probe=p.flag("caps.probing"),
        may_message_peers=p.flag("caps.peerMessages"),
        subscribes=p.text("discovery", "automatic") == "subscribe",
        pause_advice=p.flag("caps.retryAfter"),
        max_pause_ms=p.number("caps.maxRetryAfter", 0.0),
        max_attempts=p.whole("caps.maxAttempts", 1),
        connect_timeout_ms=p.number("caps.connectTimeout", 250.0),
        cold_from=p.number("rules.coldFrom", 1.0),
        warm_up_ms=p.number("rules.warmWithin", 0.0),
        overload_factor=p.number("rules.overloadFactor", 1.0),
        tip_after_ms=p.number("rules.tipAfter", 0.0),
        retry_free=p.number("rules.budgetFree", 0.0) if rationed else None,
        retry_share=p.number("rules.resendRatio", 0.0),
        retry_span_ms=p.number("rules.resendSpan", 0.0),
    )


def _at(values: tuple[float, ...], n: int, default: float) -> float:
    return values[n] if n < len(values) else default
