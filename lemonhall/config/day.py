"""A day: fleet, traffic and faults, on sockets or in a model; the terms are those of a front's settings."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from pathlib import Path

from lemonhall.config.check import Typed, top
from lemonhall.config.dayschema import DAY, LINK_FAULTS
from lemonhall.config.formatter import dump
from lemonhall.config.settings import (
    TERM_NODES,
    HookSettings,
    Sets,
    Terms,
    make_hooks,
    make_terms,
    read_tree,
)


@dataclass(frozen=True)
class BoxSpec:
    name: str
    kind: int
    hall: int
    cell: int
    weight: float
    link_kb: float


@dataclass(frozen=True)
class Mix:
    """One stream of requests: arrivals a second over all fronts, session lengths in ms, titles by number.

    `front`: all come to this one; they come from `since_ms` until `until_ms` of the day."""

    cls: int
    tenant: int
    path: str
    per_s: float
    titles: int
    length_ms: tuple[float, float]
    front: str = ""
    since_ms: float = 0.0
    until_ms: float = inf


@dataclass(frozen=True)
class Shape:
    """What a link does to what passes: milliseconds, parts, kB a second (0: no limit)."""

    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    loss: float = 0.0
    double: float = 0.0
    reorder: float = 0.0
    rate_kb: float = 0.0
    cut: bool = False  # nothing passes, and no connection comes up
    silent: bool = False  # connections come up, nothing passes


@dataclass(frozen=True)
class LinkSpec:
    """What stands between two ends (processes, halls, kinds of process); both ways unless `one_way`."""

    ends: tuple[str, str]
    one_way: bool
    shape: Shape


@dataclass(frozen=True)
class FaultSpec:
    """`link`: of faults of links; `store`: what a killed front finds, `kept`, `lost`, `damaged`, `older`."""

    kind: str
    at_ms: float
    for_ms: float
    targets: tuple[str, ...]
    part: float
    by_ms: float
    store: str = "kept"
    link: LinkSpec | None = None


@dataclass(frozen=True)
class FrontSpec:
    name: str
    hall: int
    workers: int = 0


@dataclass(frozen=True)
class Day:
    name: str
    terms: Terms
    length_ms: float
    seed: int
    fronts: tuple[FrontSpec, ...]
    boxes: tuple[BoxSpec, ...]
    mixes: tuple[Mix, ...]
    faults: tuple[FaultSpec, ...]
    list_lag_ms: float
    drop: float  # part of the viewers that vanish while their session is set up
    again: float  # part of the viewers that come again after a break or a refusal
    pause_ms: tuple[float, float]
    set_up_ms: tuple[float, float]
    fps: float
    text: str  # the terms' nodes as KDL, for the settings of fronts and stand-ins
    hooks: HookSettings = HookSettings()
    keep: bool = True  # fronts keep their state on disk
    links: tuple[LinkSpec, ...] = ()  # that stand all day

    @property
    def linked(self) -> bool:
        """Whether what passes between its processes goes by relays."""
        return bool(self.links) or any(f.link for f in self.faults)


def make_boxes(fleet: Typed, terms: Terms) -> tuple[BoxSpec, ...]:
    return tuple(
        BoxSpec(
            name,
            terms.kind_names.index(b["kind"]),
            terms.halls.index(b["hall"]),
            b["rack"] + n % b["racks"],
            b["weight"],
            b["link"] or terms.link_kb_per_weight * b["weight"],
        )
        for b in fleet.all("box")
        for n, name in enumerate(b.names)
    )


def make_mixes(traffic: Typed, terms: Terms) -> tuple[Mix, ...]:
    return tuple(
        Mix(
            terms.class_names.index(m["class"]),
            terms.tenant_names.index(m["partner"]) if m["partner"] else 0,
            m.name,
            m["per-second"],
            m["titles"],
            (m["shortest"], m["longest"]),
            m["front"],
            m["since"],
            m["until"] or inf,
        )
        for m in traffic.all("mix")
    )


def make_link(node: Typed, ends: tuple[str, str]) -> LinkSpec:
    shape = Shape(
        node["delay"],
        node["jitter"],
        node["loss"],
        node["double"],
        node["reorder"],
        node["rate"],
        cut=node.name == "cut",
        silent=node.name == "silence",
    )
    return LinkSpec(ends, node["one-way"], shape)


def make_fault(node: Typed) -> FaultSpec:
    link = make_link(node, (node["from"], node["to"])) if node.name in LINK_FAULTS else None
    by_ms = -node["by"] if node["back"] else node["by"]
    rest = tuple(node.rest)
    return FaultSpec(node.name, node["at"], node["for"], rest, node["part"], by_ms, node["store"], link)


def read_day(path: str | Path, sets: Sets = ()) -> Day:
    """A day file. Raises `BadInput` with all that is wrong, each with file, line and column.

    `sets`: fields given other values, as node ("class claim-view"), field and value as it would be written.
    """
    tree, typed = read_tree(path, DAY, sets)
    terms = make_terms(typed)
    day, fleet, traffic = (next(top(typed, n)) for n in ("day", "fleet", "traffic"))
    faults = [make_fault(f) for f in top(typed, "fault")]
    return Day(
        name=day.name,
        terms=terms,
        length_ms=day["length"],
        seed=day["seed"],
        fronts=tuple(
            FrontSpec(name, terms.halls.index(f["hall"]), f["workers"])
            for f in top(typed, "front")
            for name in f.names
        ),
        boxes=make_boxes(fleet, terms),
        mixes=make_mixes(traffic, terms),
        faults=tuple(sorted(faults, key=lambda f: f.at_ms)),
        list_lag_ms=fleet["list-lag"],
        drop=traffic["drop"],
        again=traffic["again"],
        pause_ms=(traffic["pause-least"], traffic["pause-most"]),
        set_up_ms=(fleet["set-up-least"], fleet["set-up-most"]),
        fps=fleet["frames-per-second"],
        text=dump([n for n in tree.nodes if n.name in TERM_NODES and not (n.name == "link" and n.args)]),
        hooks=make_hooks(typed),
        keep=day["keep"],
        links=tuple(make_link(t, (t.args[0], t.args[1])) for t in top(typed, "link") if t.args),
    )
