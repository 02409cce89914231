"""The change in meaning from one tree of settings to another, in the operators' words.

Held against each other are values in base units with their defaults, never texts: units, order of nodes that
have no order, templates and includes make no difference.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from lemonhall.config.check import Typed, top
from lemonhall.config.routing import Answered, Request, Router
from lemonhall.config.settings import routes_of
from lemonhall.config.units import show

ORDERED = (
    "route",
    "rung",
    "script",
    "folder",
    "spill",
)  # order is meaning; keys of the others tell them apart


@dataclass(frozen=True)
class Change:
    """One change. `danger`: why it may break a promise; "" if it does not. `place`: where it is written."""

    what: str
    danger: str = ""
    place: str = ""

    def __str__(self) -> str:
        danger = f"  DANGER: {self.danger}" if self.danger else ""
        return f"{self.what}{danger}"


Rule = Callable[[Any, Any], bool]


def falls(a: Any, b: Any) -> bool:
    return b is not None and (a is None or b < a)


def rises(a: Any, b: Any) -> bool:
    return a is not None and (b is None or b > a)


DANGERS: dict[tuple[str, str], tuple[Rule, str]] = {
    ("class", "floor"): (falls, "sessions may be played under what was promised"),
    ("class", "seats"): (
        lambda a, b: bool(a) and (b == 0 or b > a),
        "more sessions of one title than before",
    ),
    ("class", "deadline"): (rises, "answers may come later than was promised"),
    ("class", "repeat"): (lambda a, b: b == "safe", "set-ups that are paid for could be made twice"),
    ("class", "worth"): (falls, "it gives way to other classes"),
    ("drain", "grace"): (rises, "sessions may be set up for longer on servers that go away"),
    ("answers", "grace"): (rises, "answers may come later"),
    ("cold", "from"): (rises, "cold servers are sent more"),
    ("cold", "factor"): (rises, "cold servers are sent more before it counts"),
    ("cold", "warm"): (falls, "servers count as warm sooner"),
    ("attempts", "most"): (rises, "more attempts for a session"),
    ("attempts", "free"): (rises, "more further attempts"),
    ("attempts", "share"): (rises, "more further attempts"),
    ("reports", "full-from"): (rises, "servers are filled further"),
    ("partner", "quota"): (falls, "more of its sessions count as over their share"),
    ("spill", "share"): (rises, "more of that hall's links may be taken by another's sessions"),
    ("spill", "overflow"): (lambda a, b: bool(b), "its neighbour is asked without a loss"),
    ("takes-in", "links"): (lambda a, b: b == 0 or 0 < a < b, "it may be asked for more"),
    ("takes-in", "set-ups"): (lambda a, b: b == 0 or 0 < a < b, "it may be asked for more"),
    ("spilling", "ramp"): (falls, "servers that return are sent more at once"),
    ("class", "spills"): (lambda a, b: not b, "its sessions are refused when their hall is lost"),
    ("limits", "memory"): (lambda a, b: b == 0, "no limit is left"),
}
GONE = {
    "class": "its sessions have no terms",
    "route": "requests that it took go elsewhere",
    "partner": "its quota is gone",
    "limits": "limits go back to what is usual",
    "spill": "sessions are refused that could play there",
    "takes-in": "the hall's own limit is gone",
    "drain": "the grace goes back to what is usual",
}


def key_of(node: Typed, count: int) -> tuple[Any, ...]:
    """What a node is known by among its like."""
    if node.spec.name == "route":
        hosts = " ".join(sorted(h.name for h in node.all("host")))
        patterns = " ".join(
            [*(m.name for m in node.all("match")), *(" ".join(t.args) for t in node.all("when"))]
        )
        return ("route", node.name, node["header"], hosts, patterns, node["exact"], node["goes-on"])
    if node.spec.times in ("one", "maybe"):
        return (node.spec.name,)
    if node.spec.name == "spill":
        return ("spill", node.name, node["to"])
    if node.spec.name == "rung":
        return (node.spec.name, count)
    return (node.spec.name, *node.args, *node.rest)


def keyed(nodes: list[Typed]) -> dict[tuple[Any, ...], Typed]:
    made: dict[tuple[Any, ...], Typed] = {}
    counts: dict[str, int] = {}
    for node in nodes:
        counts[node.spec.name] = count = counts.get(node.spec.name, -1) + 1
        key = key_of(node, count)
        while key in made:  # the same node again, as faults and mixes may be
            key = (*key, "again")
        made[key] = node
    return made


def label(key: tuple[Any, ...]) -> str:
    name, *rest = [k for k in key if k != "again"]
    if name == "route":
        words = [f" with {rest[1]}" if rest[1] else "", f" for {rest[2]}" if rest[2] else ""]
        words += [f" matching {rest[3]}" if rest[3] else "", " alone" if rest[4] else ""]
        return f"route {rest[0]}" + "".join(words)
    if name == "spill":
        return f"spill of {rest[0]} to {rest[1]}"
    if rest and name in ("class", "partner", "kind", "pool", "front", "box", "mix", "script", "folder"):
        return f"{name} {rest[0]}"
    return " ".join([str(name), *(str(r) for r in rest)])


def compare(a: list[Typed], b: list[Typed], inside: str = "") -> Iterator[Change]:
    """The differences of two blocks, nodes in the order of the first."""
    old, new = keyed(a), keyed(b)
    for key, node in old.items():
        if key not in new:
            danger = GONE.get(node.spec.name, "")
            yield Change(f"{inside}{label(key)}: removed", danger, place(node))
        else:
            yield from differences(node, new[key], f"{inside}{label(key)}")
    for key, node in new.items():
        if key not in old:
            yield Change(f"{inside}{label(key)}: new", "", place(node))
    yield from orders(old, new, inside)


def place(node: Typed, field: str = "") -> str:
    spot = node.spot(field)
    return f"{spot.file}:{spot.line}:{spot.column}"


def differences(a: Typed, b: Typed, name: str) -> Iterator[Change]:
    for field in a.spec.fields:
        old, new = a.values.get(field.name), b.values.get(field.name)
        if old == new:
            continue
        rule, why = DANGERS.get((a.spec.name, field.name), (lambda x, y: False, ""))
        words = f"{name}: {field.name} {said(old, field.kind)} to {said(new, field.kind)}"
        yield Change(words, why if rule(old, new) else "", place(b, field.name))
    if a.rest != b.rest and a.spec.times in ("one", "maybe"):
        yield Change(f"{name}: {', '.join(map(str, a.rest))} to {', '.join(map(str, b.rest))}", "", place(b))
    yield from compare(a.children, b.children, f"{name}: ")


def said(value: Any, kind: str) -> str:
    if kind == "address" and isinstance(value, tuple):
        return f"{value[0]}:{value[1]}"
    return show(value, kind) if value != "" else "none"


def orders(
    old: dict[tuple[Any, ...], Typed], new: dict[tuple[Any, ...], Typed], inside: str
) -> Iterator[Change]:
    """Nodes whose order is meaning and that have changed places: routes only where both could match."""
    for name in ORDERED:
        before = [k for k in old if k[0] == name and k in new]
        after = {k: n for n, k in enumerate(k for k in new if k[0] == name)}
        if name == "rung" or [after[k] for k in before] == sorted(after[k] for k in before):
            continue
        if name == "route":
            pairs = list(crossed(before, after))
        else:
            pairs = [(y, x) for x, y in zip(before, before[1:], strict=False) if after[x] > after[y]]
        for moved, over in pairs:
            words = f"{inside}{label(moved)} now before {label(over)[len(name) + 1 :]}"
            danger = "the same requests, another answer" if name == "route" else ""
            yield Change(words, danger, place(new[moved]))


def crossed(before: list[tuple[Any, ...]], after: dict[tuple[Any, ...], int]) -> Iterator[Any]:
    """Pairs of routes in changed order of which one's prefix begins the other's: found by prefix."""
    by_prefix: dict[str, list[tuple[Any, ...]]] = {}
    rank = {k: n for n, k in enumerate(before)}
    for key in before:
        by_prefix.setdefault(key[1], []).append(key)
    for key in before:
        for end in range(len(key[1]) + 1):
            for other in by_prefix.get(key[1][:end], ()):
                if other != key and (rank[key] < rank[other]) != (after[key] < after[other]):
                    yield (key, other) if after[key] < after[other] else (other, key)


# requests drawn from the routes themselves


Asked = tuple[str, str, str]  # path, header, host


def requests(typed: list[Typed]) -> list[Asked]:
    """Example requests, path, header and host: at each route's prefix, below it, and just beside it."""
    made: dict[Asked, None] = {}
    for route in top(typed, "route"):
        prefix, header = route.name, route["header"]
        hosts = [h.name for h in route.all("host") if not set("*~") & set(h.name)] or [""]
        for path in (prefix, f"{prefix}clip-1", f"{prefix}a/b/clip-2", prefix.rstrip("/") + "-x"):
            for host in hosts:
                made[path, "", host] = None
                if header:
                    made[path, header, host] = None
    return list(made)


class Matcher:
    """Where requests go: class, partner and pool by name."""

    def __init__(self, typed: list[Typed]) -> None:
        self.names = {n: [t.name for t in top(typed, n)] for n in ("class", "partner", "kind")}
        self.names["hall"] = [h for t in top(typed, "halls") for h in t.rest]
        paths = next(top(typed, "paths"), None)
        self.router = Router(routes_of(typed, self.names), bool(paths and paths["normal"]))
        self.by_place = {f"{r.node.spot.file}:{r.node.spot.line}": r for r in top(typed, "route")}

    def match(self, path: str, header: str, host: str) -> tuple[str, str, str] | None:
        """None: no route."""
        name, _, value = header.partition("=")
        found = self.router.find(Request(path, host, lambda n: value if n == name else ""))
        if found is None:
            return None
        if isinstance(found, Answered):
            return (f"answer {found.status}", "", "")
        route = self.by_place[found.route.place]
        return route["class"], route["partner"], route["pool"]


def moved_requests(a: list[Typed], b: list[Typed]) -> Iterator[Change]:
    asked = list(dict.fromkeys([*requests(a), *requests(b)]))
    old, new = Matcher(a), Matcher(b)
    outcomes = [(old.match(*r), new.match(*r), r) for r in asked]
    for what, index in (("class", 0), ("partner", 1), ("pool", 2)):
        changed = [r for x, y, r in outcomes if x and y and x[index] != y[index]]
        if changed:
            share = 100 * len(changed) / len(asked)
            yield Change(f"{share:.3g}% of example requests change {what}, as {changed[0][0]}")
    lost = [r for x, y, r in outcomes if x and not y]
    if lost:
        share = 100 * len(lost) / len(asked)
        yield Change(
            f"{share:.3g}% of example requests have no route any more, as {lost[0][0]}", "they get 404"
        )


def diff(a: list[Typed], b: list[Typed]) -> list[Change]:
    """All changes of meaning from one checked tree to another; none: they say the same."""
    return [*compare(a, b), *moved_requests(a, b)]
