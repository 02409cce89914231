"""The nodes of a tree against the schema: every value with its type, unit, bounds and references.

All problems of a tree are found in one pass. What is fine comes out as `Typed` nodes, defaults filled in.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from fractions import Fraction
from typing import Any

from lemonhall.config.document import Node, Property, Spot, Value
from lemonhall.config.schema import FRAME, NEEDED, Field, Spec, find
from lemonhall.config.units import EXACT_MOST, UNITS, convert, unit_fix
from lemonhall.problem import Problem, nearest


@dataclass
class Typed:
    """A checked node. `args` and `values` are in base units; `raw` holds what was written, where it was."""

    spec: Spec
    node: Node
    args: list[Any] = field(default_factory=list)
    rest: list[Any] = field(default_factory=list)
    values: dict[str, Any] = field(default_factory=dict)
    children: list[Typed] = field(default_factory=list)

    def __getitem__(self, name: str) -> Any:
        return self.values[name]

    @property
    def name(self) -> str:
        return str(self.args[0]) if self.args else ""

    @property
    def names(self) -> list[str]:
        """Of a node that stands for several (`count`): its name with their numbers, from 0."""
        count = self.values.get("count", 1)
        return [f"{self.name}{n}" for n in range(count)] if count > 1 else [self.name]

    def all(self, name: str) -> list[Typed]:
        return [c for c in self.children if c.spec.name == name]

    def one(self, name: str) -> Typed | None:
        return next(iter(self.all(name)), None)

    def spot(self, name: str = "") -> Spot:
        """Where a field was written, else the node."""
        value = self.node.properties.get(name)
        return value.spot if value else self.node.spot


def address(text: str) -> tuple[str, int] | str | None:
    """`host:port`, `[v6]:port` or `unix:path`; None if it is neither."""
    if text.startswith("unix:"):
        return text[5:] or None
    host, colon, port = text.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit() or int(port) > 65535 or not host:
        return None
    return host.strip("[]"), int(port)


class Checker:
    def __init__(self) -> None:
        self.problems: list[Problem] = []
        self.names: dict[str, list[str]] = {}  # of nodes that others refer to

    def say(self, spot: Spot, what: str, fix: str = "") -> None:
        self.problems.append(spot.problem(what, fix))

    def check(self, nodes: list[Node], specs: tuple[Spec, ...], file: str) -> list[Typed]:
        for name in ("class", "partner", "pool", "kind"):
            self.names[name] = [n.args[0].value for n in nodes if n.name == name and n.args]
        halls = [a.value for n in nodes if n.name == "halls" for a in n.args]
        self.names["hall"] = [h for h in halls if isinstance(h, str)]
        return self.block(nodes, specs, Spot(file, 0, 0), "")

    def block(self, nodes: list[Node], specs: tuple[Spec, ...], at: Spot, inside: str) -> list[Typed]:
        """The nodes of one block: known names, as often as they may stand, each checked."""
        made = []
        first: dict[Any, Node] = {}
        for node in nodes:
            spec = find(specs, node.name, len(node.args))
            if spec is None:
                names = [s.name for s in specs] + ([] if inside else list(FRAME))
                where = f" in {inside}" if inside else ""
                self.say(node.spot, f"{node.name}: no such node{where}", nearest(node.name, names))
                continue
            if node.kind is not None:
                self.say(node.spot, f"{node.label}: a node takes no ({node.kind})")
            once = spec.times in ("one", "maybe")
            key = node.name if once else (node.name, node.args[0].value if node.args else None)
            if (once or spec.key) and key in first:
                spot = first[key].spot
                self.say(node.spot, f"{node.label} stands twice", f"first at {spot.file}:{spot.line}")
            first.setdefault(key, node)
            made.append(self.node(node, spec))
        for spec in specs:
            if spec.times in ("one", "some") and not any(t.spec is spec for t in made):
                where = f"{inside}: " if inside else ""
                self.say(at, f"{where}{spec.name} is missing", spec.says)
        return made

    def node(self, node: Node, spec: Spec) -> Typed:
        made = Typed(spec, node)
        args = node.args
        for n, wanted in enumerate(spec.args):
            if n < len(args):
                made.args.append(self.value(node, args[n], wanted))
            else:
                self.say(node.spot, f"{node.label}: {wanted.name} is missing", wanted.says)
                made.args.append(None)
        if spec.rest:
            made.rest = [self.value(node, a, spec.rest) for a in args[len(spec.args) :]]
        elif len(args) > len(spec.args):
            extra = args[len(spec.args)]
            names = [f.name for f in spec.fields]
            fix = nearest(str(extra.value), names) if names else ""
            self.say(extra.spot, f"{node.label}: one argument too many, {extra.source[:40]}", fix)
        self.fields(node, spec, made)
        inner = list(node.live)
        if inner and not spec.children:
            self.say(inner[0].spot, f"{node.label} holds no nodes", "write it as a property: name=value")
        elif spec.children:
            made.children = self.block(inner, spec.children, node.spot, node.label)
        return made

    def fields(self, node: Node, spec: Spec, made: Typed) -> None:
        known = {f.name: f for f in spec.fields}
        seen: dict[str, Property] = {}
        for entry in node.entries:
            prop = entry.item
            if not isinstance(prop, Property) or entry.dropped:
                continue
            if prop.name not in known:
                self.say(prop.spot, f"{node.label}: {prop.name}: no such field", nearest(prop.name, known))
            elif prop.name in seen and not prop.value.via:
                self.say(prop.spot, f"{node.label}: {prop.name} stands twice", "take one out")
            seen[prop.name] = prop
        for name, wanted in known.items():
            if name in seen:
                made.values[name] = self.value(node, seen[name].value, wanted)
            elif wanted.default is NEEDED:
                self.say(node.spot, f"{node.label}: {name} is missing", wanted.says)
                made.values[name] = None
            else:
                made.values[name] = wanted.default

    def value(self, node: Node, given: Value, wanted: Field) -> Any:
        """The value in base units, or None where a problem was found."""
        raw: Any = given.value

        def wrong(what: str, fix: str = "") -> None:
            self.say(given.spot, f"{node.label}: {wanted.name}: {what}", fix)

        shown = given.source[:60]
        if wanted.kind in UNITS:
            return self.quantity(given, wanted, wrong)
        if given.unit is not None:
            return wrong(f"takes no unit, but ({given.unit}) is given", f"write {shown}")
        if wanted.kind in ("text", "address"):
            if not isinstance(raw, str):
                return wrong(f"{shown} is no text", f'write "{shown}"')
            return self.text(raw, shown, wanted, wrong)
        if wanted.kind == "flag":
            if not isinstance(raw, bool):
                return wrong(f"{shown} is no flag", "write #true or #false")
            return raw
        if isinstance(raw, bool) or not isinstance(raw, int | Fraction):
            return wrong(f"{shown} is no number", "")
        if wanted.kind == "int" and not isinstance(raw, int):
            return wrong(f"{shown} is no whole number", f"write {round(raw)}")
        if not -EXACT_MOST <= raw <= EXACT_MOST:
            return wrong(f"{shown[:30]} is past 2^53 and would not be held exactly")
        return self.bounded(raw if wanted.kind == "int" else float(raw), shown, wanted, wrong)

    def quantity(self, given: Value, wanted: Field, wrong: Any) -> Any:
        raw: Any = given.value
        shown = given.source[:60]
        if isinstance(raw, bool) or not isinstance(raw, int | Fraction):
            return wrong(f"{shown} is no number", unit_fix("1", None, wanted.kind))
        if given.unit is None:
            return wrong(f"{shown} has no unit", unit_fix(shown, None, wanted.kind))
        if given.unit not in UNITS[wanted.kind]:
            fix = unit_fix(shown, given.unit, wanted.kind)
            return wrong(f"({given.unit}) is no unit of a {wanted.kind}", fix)
        if not -EXACT_MOST <= raw <= EXACT_MOST:
            return wrong(f"{shown[:30]} is past 2^53 and would not be held exactly")
        made = convert(raw, given.unit, wanted.kind)
        return self.bounded(made, f"({given.unit}){shown}", wanted, wrong)

    def bounded(self, value: Any, shown: str, wanted: Field, wrong: Any) -> Any:
        if wanted.least is not None and value < wanted.least:
            return wrong(f"{shown} is under the least, {wanted.least:g}")
        if wanted.most is not None and value > wanted.most:
            return wrong(f"{shown} is over the most, {wanted.most:g}")
        return value

    def text(self, raw: str, shown: str, wanted: Field, wrong: Any) -> Any:
        if wanted.kind == "address":
            made = address(raw)
            return made if made is not None else wrong(f"{shown} is no address", "host:port or unix:path")
        if wanted.one_of and raw not in wanted.one_of:
            return wrong(f"{shown} is none of {', '.join(wanted.one_of)}", did(raw, wanted.one_of))
        if wanted.of and raw not in self.names[wanted.of] and raw != wanted.default:
            return wrong(f"{shown} is no {wanted.of}", nearest(raw, self.names[wanted.of]))
        return raw


def did(name: str, known: tuple[str, ...]) -> str:
    fix = nearest(name, known)
    return fix if fix.startswith("did") else ""


def top(typed: list[Typed], name: str) -> Iterator[Typed]:
    return (t for t in typed if t.spec.name == name)
