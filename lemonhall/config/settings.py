"""The settings of one front: service terms that all fronts share, and what is this front's own."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

from lemonhall import interface as i
from lemonhall.config import rules
from lemonhall.config.check import Checker, Typed, top
from lemonhall.config.load import Loader, Tree, set_field
from lemonhall.config.routing import Condition, Match, Pool, PoolServer, Route, Step
from lemonhall.config.schema import SETTINGS, TERMS, Spec
from lemonhall.limits.settings import MAX_PERIOD_MS, Limit, LimitKind, LimitSettings, LimitUnit
from lemonhall.problem import BadInput

__all__ = ["BadInput"]
Address = tuple[str, int] | str
REPEATS = {"safe": i.Repeat.SAFE, "keyed": i.Repeat.KEYED, "paid": i.Repeat.PAID}


@dataclass(frozen=True)
class SpillTier:
    """Sessions of `hall` may take `share` of the links of `to`; tiers of one hall stand in their order."""

    hall: int
    to: int
    share: float
    overflow: bool = False


@dataclass(frozen=True)
class TakesIn:
    """What a hall takes in of all others: part of its links, set-ups a second; 0: no limit."""

    hall: int
    links: float
    per_s: float


@dataclass(frozen=True)
class SpillTimes:
    notice_ms: float = 3000.0
    trial_ms: float = 2000.0
    ramp_ms: float = 30_000.0
    slowest: float = 8.0
    forget_ms: float = 300_000.0


@dataclass(frozen=True)
class Terms:
    """What holds for the service as a whole; the same for fronts, stand-ins, the model and the audit."""

    class_names: tuple[str, ...]
    classes: tuple[i.SessionClass, ...]
    tenant_names: tuple[str, ...]
    tenants: tuple[i.Tenant, ...]
    halls: tuple[str, ...]
    kind_names: tuple[str, ...]
    places_by_kind: tuple[int, ...]
    ladder_kb: tuple[float, ...]
    ladder_worth: tuple[float, ...]
    routes: tuple[Route, ...]
    normal_paths: bool
    link_kb_per_weight: float
    racks: int
    uplink_kb: float
    cells: int
    copies: int  # cells that hold a title; 0: all
    over_share_worth: float
    drain_grace_ms: float
    answer_grace_ms: float
    cold_from: float
    warm_ms: float
    overload_factor: float
    tip_after_ms: float
    max_attempts: int
    connect_timeout_ms: float
    retry_free: float | None
    retry_share: float
    retry_span_ms: float
    max_pause_ms: float
    report_fields: tuple[str, ...]
    reports_every_ms: float
    told_late_ms: float
    full_from: float
    stall_cost: float
    switch_cost_s: float
    may_probe: bool
    may_tell_peers: bool
    spills: tuple[SpillTier, ...] = ()
    takes_in: tuple[TakesIn, ...] = ()
    spilling: SpillTimes = SpillTimes()
    no_spill: frozenset[int] = frozenset()  # classes whose sessions stay in their hall
    fleet_limits: tuple[Limit, ...] = ()
    cross_cost: float = 0.0


@dataclass(frozen=True)
class Limits:
    """What one front holds at most; over it, it refuses early."""

    connections: int = 4000
    sessions: int = 4000
    viewer_backlog: int = 262144  # bytes that wait for one viewer before its server is held back
    stalled_ms: float = 10000.0  # a viewer that takes nothing for so long is let go
    head_ms: float = 5000.0  # a message must be whole within
    idle_ms: float = 60000.0  # a connection without a session and without a message
    move_pause_ms: float = 50.0  # between a session's leaving a server and its asking again
    answer_margin_ms: float = 100.0  # of a deadline: the answer travels
    memory: int = 0  # bytes resident over which nothing new is taken; 0: no limit
    drain_ms: float = 600_000.0  # sessions that still play are ended so long after a drain began


@dataclass(frozen=True)
class HookFile:
    """A script, or a folder whose scripts (`*.hook`) are loaded by name."""

    path: Path
    folder: bool = False
    shadow: bool = False


@dataclass(frozen=True)
class HookSettings:
    """Scripts in their order, and what one of them may use at one point of a session."""

    files: tuple[HookFile, ...] = ()
    fuel: int = 300
    memory: int = 16384
    total: int = 1500  # fuel of all scripts at one point
    strikes: float = 3.0
    fade_ms: float = 30_000.0


@dataclass(frozen=True)
class MemberSettings:
    listen: tuple[str, int]
    keys: Path
    period_ms: float
    seeds: tuple[tuple[str, int], ...]
    via: tuple[
        tuple[tuple[str, int], tuple[str, int]], ...
    ] = ()  # own address of another, where it is reached


@dataclass(frozen=True)
class StoreSettings:
    """Where a front keeps what it must not lose; a claim is remembered for `keep_ms`."""

    folder: Path
    size: int = 1 << 28  # bytes at most
    keep_ms: float = 86_400_000.0


@dataclass(frozen=True)
class CaptureSettings:
    """Of what the module was told and decided. Sizes in bytes."""

    on: bool = True
    folder: str = ""
    keep_ms: float = 300_000.0
    memory: int = 1 << 24
    size: int = 1 << 26
    files: int = 16
    snapshots_ms: float = 60_000.0
    key: str = ""


@dataclass(frozen=True)
class FrontSettings:
    name: str
    index: int
    fronts: int
    hall: int
    seed: int
    listen: Address
    terms: Terms
    status: Address | None = None
    peers_listen: tuple[str, int] | None = None
    peers: dict[int, tuple[str, int]] = field(default_factory=dict)
    list_url: str = ""
    list_cache: str = ""
    viewer_header: str = "X-Viewer"
    again_header: str = "X-Again"
    rung_header: str = "X-Top-Rung"
    share_port: bool = False
    limits: Limits = Limits()
    hooks: HookSettings = HookSettings()
    crash_report: str = ""  # file for the report of a crash of the loop
    members: MemberSettings | None = None
    record: str = ""  # file that says what was asked
    claim_header: str = "X-Claim"
    store: StoreSettings | None = None
    drain_to: str = ""  # host:port for viewers of a front that drains
    capture: CaptureSettings = CaptureSettings()
    guard: str = ""  # Unix socket at which a successor may ask to take over
    workers: int = 0  # processes that carry sessions; 0: the one that decides does

    def to_module(self) -> i.Settings:
        """The settings of the decision module, milliseconds and kB a second as there."""
        t = self.terms
        return i.Settings(
            classes=t.classes,
            ladder_kb=t.ladder_kb,
            ladder_worth=t.ladder_worth,
            places_by_kind=t.places_by_kind,
            link_kb_per_weight=t.link_kb_per_weight,
            cells=t.cells,
            fronts=self.fronts,
            index=self.index,
            zone=self.hall,
            racks=t.racks,
            uplink_kb=t.uplink_kb,
            weights_are_sizes=True,
            tenants=t.tenants,
            over_share_worth=t.over_share_worth,
            full_from=t.full_from,
            report_delay_ms=t.told_late_ms,
            reports_every_ms=t.reports_every_ms,
            report_fields=t.report_fields,
            stall_cost=t.stall_cost,
            switch_cost_s=t.switch_cost_s,
            cross_zone_cost=t.cross_cost,
            may_probe=t.may_probe,
            may_message_peers=t.may_tell_peers,
            max_pause_ms=t.max_pause_ms,
            max_attempts=t.max_attempts,
            connect_timeout_ms=t.connect_timeout_ms,
            cold_from=t.cold_from,
            warm_up_ms=t.warm_ms,
            overload_factor=t.overload_factor,
            tip_after_ms=t.tip_after_ms,
            retry_free=t.retry_free,
            retry_share=t.retry_share,
            retry_span_ms=t.retry_span_ms,
        )


TERM_NODES = tuple(s.name for s in TERMS)


Sets = tuple[tuple[str, str, str], ...]


def read_tree(path: str | Path, specs: tuple[Spec, ...], sets: Sets = ()) -> tuple[Tree, list[Typed]]:
    """A file with all that it includes, checked. Raises `BadInput` with all that is wrong.

    `sets`: fields given other values for a trial: node with its name, field, value as it would be written.
    """
    tree = Loader(Path(path)).load(specs)
    for node, name, value in sets:
        set_field(tree, node, name, value)
    tree.fail()
    checker = Checker()
    typed = checker.check(tree.nodes, specs, tree.file)
    tree.problems += checker.problems
    tree.fail()
    tree.problems += rules.check(typed, tree.file)
    tree.fail()
    return tree, typed


def header_of(text: str) -> tuple[str, str] | None:
    name, equals, value = text.partition("=")
    return (name, value) if equals else None


def pools_of(typed: list[Typed], names: dict[str, list[str]]) -> dict[str, Pool]:
    made = {}
    for pool in top(typed, "pool"):
        wished = [("zone", names["hall"].index(c.name)) for c in pool.all("hall")]
        wished += [("kind", names["kind"].index(c.name)) for c in pool.all("kind")]
        wished += [("cell", c.args[0]) for c in pool.all("rack")]
        servers = tuple(PoolServer(s.name, s["weight"], s["backup"]) for s in pool.all("server"))
        made[pool.name] = Pool(pool.name, tuple(wished), servers, pool["pick"], pool["key"])
    return made


def steps_of(route: Typed) -> tuple[Step, ...]:
    made = []
    for child in route.children:
        if child.spec.name not in ("rewrite", "reply", "stop"):
            continue
        tests = tuple(Condition(*t.args) for t in child.all("when"))
        if child.spec.name == "rewrite":
            made.append(Step(child.args[0], child.args[1], child["then"], tests))
        elif child.spec.name == "reply":
            made.append(Step("", child["to"], "", tests, child.args[0]))
        else:
            made.append(Step(tests=tests))
    return tuple(made)


def route_of(r: Typed, names: dict[str, list[str]], pools: dict[str, Pool]) -> Route:
    pool = pools.get(r["pool"])
    return Route(
        r.name,
        names["class"].index(r["class"]) if r["class"] else 0,
        names["partner"].index(r["partner"]) if r["partner"] else 0,
        header_of(r["header"]),
        pool.wished if pool else (),
        tuple(h.name for h in r.all("host")),
        r["exact"],
        tuple(Match(m.name, m["any-case"]) for m in r.all("match")),
        tuple(Condition(*t.args) for t in r.all("when")),
        steps_of(r),
        r["to"],
        r["answer"],
        r["goes-on"],
        pool if pool and pool.servers else None,
        f"{r.node.spot.file}:{r.node.spot.line}",
    )


def routes_of(typed: list[Typed], names: dict[str, list[str]]) -> tuple[Route, ...]:
    pools = pools_of(typed, names)
    return tuple(route_of(r, names, pools) for r in top(typed, "route"))


def make_terms(typed: list[Typed]) -> Terms:
    """The shared terms of a checked tree."""

    def one(name: str) -> Typed:
        return next(top(typed, name))

    def value(name: str, field_name: str) -> Any:
        """Of a node that may be left out: then the schema's default."""
        found = next(top(typed, name), None)
        if found:
            return found[field_name]
        spec = next(s for s in TERMS if s.name == name)
        return next(f.default for f in spec.fields if f.name == field_name)

    names = {n: [t.name for t in top(typed, n)] for n in ("class", "partner", "kind")}
    names["hall"] = one("halls").rest
    rungs = one("ladder").all("rung")
    count = one("racks")["count"]
    attempts, cold, reports = one("attempts"), one("cold"), one("reports")
    return Terms(
        class_names=tuple(names["class"]),
        classes=tuple(
            i.SessionClass(
                worth=c["worth"],
                repeat=REPEATS[c["repeat"]],
                aim_ms=c["aim"],
                deadline_ms=c["deadline"],
                floor=c["floor"],
                top=c["top"],
                scale=c["scale"],
                seats=c["seats"],
            )
            for c in top(typed, "class")
        ),
        tenant_names=tuple(names["partner"]),
        tenants=tuple(i.Tenant(p["quota"]) for p in top(typed, "partner")),
        halls=tuple(names["hall"]),
        kind_names=tuple(names["kind"]),
        places_by_kind=tuple(k["places"] for k in top(typed, "kind")),
        ladder_kb=tuple(r["rate"] for r in rungs),
        ladder_worth=tuple(r["worth"] for r in rungs),
        routes=routes_of(typed, names),
        normal_paths=value("paths", "normal"),
        link_kb_per_weight=next(t for t in top(typed, "link") if not t.args)["per-weight"],
        racks=count,
        uplink_kb=one("racks")["uplink"],
        cells=value("titles", "cells") or count,
        copies=value("titles", "copies"),
        over_share_worth=value("costs", "over-share-worth"),
        drain_grace_ms=value("drain", "grace"),
        answer_grace_ms=value("answers", "grace"),
        cold_from=cold["from"],
        warm_ms=cold["warm"],
        overload_factor=cold["factor"],
        tip_after_ms=cold["tip-after"],
        max_attempts=attempts["most"],
        connect_timeout_ms=attempts["connect-timeout"],
        retry_free=attempts["free"],
        retry_share=attempts["share"],
        retry_span_ms=attempts["span"],
        max_pause_ms=value("answers", "pause"),
        report_fields=tuple(reports["fields"].split()),
        reports_every_ms=reports["every"],
        told_late_ms=reports["late"],
        full_from=reports["full-from"],
        stall_cost=value("costs", "stall"),
        switch_cost_s=value("costs", "switch"),
        may_probe=value("allow", "probe"),
        may_tell_peers=value("allow", "peers"),
        spills=tuple(
            SpillTier(names["hall"].index(s.name), names["hall"].index(s["to"]), s["share"], s["overflow"])
            for s in top(typed, "spill")
        ),
        takes_in=tuple(
            TakesIn(names["hall"].index(t.name), t["links"], t["set-ups"]) for t in top(typed, "takes-in")
        ),
        spilling=SpillTimes(
            *(value("spilling", name) for name in ("notice", "trial", "ramp", "slowest", "forget"))
        ),
        no_spill=frozenset(n for n, c in enumerate(top(typed, "class")) if not c["spills"]),
        fleet_limits=tuple(make_limit(t, names) for t in top(typed, "limit")),
        cross_cost=value("costs", "cross-hall"),
    )


def bounds_of(typed: list[Typed]) -> list[str]:
    """What each limit of the whole fleet is held to, a line each."""
    limits = list(top(typed, "limit"))
    if not limits:
        return []
    terms = make_terms(typed)
    members = [m for f in top(typed, "front") if "index" in f.values and (m := f.one("members"))]
    plan = LimitSettings.of(terms, members[0]["period"] if members else MAX_PERIOD_MS)
    return [f'limit "{m.name}": {plan.describe_bound(m)}' for m in plan.limits]


def make_limit(node: Typed, names: dict[str, list[str]]) -> Limit:
    def place(kind: str) -> int:
        return names[kind].index(node[kind]) if node[kind] else -1

    amounts = {
        "sessions": node["sessions"],
        "rate": int(node["rate"]),
        "set-ups": round(1000 * node["set-ups"]),
    }
    unit = next((name for name, amount in amounts.items() if amount), "sessions")
    keeps = node["on-silence"] == "keep" and node["hold"] == "exact"
    return Limit(
        node.name,
        LimitKind(node["hold"]),
        LimitUnit(unit),
        amounts[unit],
        place("partner"),
        place("class"),
        place("hall"),
        node["each-title"],
        node["burst"] or max(1.0, node["set-ups"]),
        node["rise"],
        node["longest"] if keeps else 0.0,
    )


def make_hooks(typed: list[Typed]) -> HookSettings:
    """Scripts lie beside the file that names them."""
    node = next(top(typed, "hooks"), None)
    if node is None:
        return HookSettings()
    files = tuple(
        HookFile(Path(c.node.spot.file).resolve().parent / c.name, c.spec.name == "folder", c["shadow"])
        for c in node.children
    )
    return HookSettings(
        files, node["fuel"], int(node["memory"]), node["total"], node["strikes"], node["fade"]
    )


def make_limits(node: Typed | None) -> Limits:
    if node is None:
        return Limits()
    return Limits(
        connections=node["connections"],
        sessions=node["sessions"],
        viewer_backlog=int(node["viewer-backlog"]),
        stalled_ms=node["stalled"],
        head_ms=node["head"],
        idle_ms=node["idle"],
        move_pause_ms=node["move-pause"],
        answer_margin_ms=node["answer-margin"],
        memory=int(node["memory"]),
        drain_ms=node["drain"],
    )


def make_members(node: Typed | None) -> MemberSettings | None:
    if node is None:
        return None
    keys = Path(node.node.spot.file).resolve().parent / node["keys"]
    seeds = tuple(s.args[0] for s in node.all("seed"))
    return MemberSettings(
        node["listen"], keys, node["period"], seeds, tuple((v.args[0], v.args[1]) for v in node.all("via"))
    )


def make_capture(node: Typed | None) -> CaptureSettings:
    if node is None:
        return CaptureSettings()
    return CaptureSettings(
        node["on"],
        beside(node, node["folder"]),
        node["keep"],
        int(node["memory"]),
        int(node["size"]),
        node["files"],
        node["snapshots"],
        beside(node, node["key"]),
    )


def beside(node: Typed, name: str) -> str:
    """A file's path, beside the file that names it; "" stays."""
    return str(Path(node.node.spot.file).resolve().parent / name) if name else ""


def make_store(node: Typed | None) -> StoreSettings | None:
    if node is None:
        return None
    folder = Path(node.node.spot.file).resolve().parent / node.name
    return StoreSettings(folder, int(node["size"]), node["keep"])


def make_settings(typed: list[Typed]) -> FrontSettings:
    terms = make_terms(typed)
    front = next(top(typed, "front"))
    boxes, peers = front.one("boxes"), front.one("peers")
    return FrontSettings(
        name=front.name,
        index=front["index"],
        fronts=front["fronts"],
        hall=terms.halls.index(front["hall"]),
        seed=front["seed"],
        listen=front["listen"],
        terms=terms,
        status=front["status"],
        peers_listen=peers["listen"] if peers else None,
        peers={p.args[0]: p.args[1] for p in peers.all("peer")} if peers else {},
        list_url=boxes.name if boxes else "",
        list_cache=boxes["cache"] if boxes else "",
        viewer_header=front["viewer-header"],
        again_header=front["again-header"],
        rung_header=front["rung-header"],
        share_port=front["share-port"],
        limits=make_limits(front.one("limits")),
        hooks=make_hooks(typed),
        crash_report=front["crash-report"],
        members=make_members(front.one("members")),
        record=front["record"],
        claim_header=front["claim-header"],
        store=make_store(front.one("store")),
        drain_to=front["drain-to"],
        capture=make_capture(front.one("capture")),
        guard=beside(front, front["guard"]),
        workers=front["workers"],
    )


def read_settings(path: str | Path) -> FrontSettings:
    """A front's settings. Raises `BadInput` with all that is wrong, each with file, line and column."""
    return make_settings(read_tree(path, SETTINGS)[1])


LIVE = (
    "terms",
    "limits",
    "hooks",
    "viewer_header",
    "again_header",
    "rung_header",
    "crash_report",
    "claim_header",
    "drain_to",
    "workers",
)
LIVE_TERMS = ("routes", "normal_paths", "fleet_limits")


def fixed_changes(old: FrontSettings, new: FrontSettings) -> list[str]:
    """What differs and cannot change while a front runs: the module and the sockets were made with it."""
    fixed = [
        f.name for f in fields(old) if f.name not in LIVE and getattr(old, f.name) != getattr(new, f.name)
    ]
    fixed += [
        f.name
        for f in fields(old.terms)
        if f.name not in LIVE_TERMS and getattr(old.terms, f.name) != getattr(new.terms, f.name)
    ]
    if (old.workers == 0) != (new.workers == 0):
        fixed.append("workers (to or from 0)")
    return [name.replace("_", " ") for name in fixed]
