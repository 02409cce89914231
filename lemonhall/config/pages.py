"""What is made of the schema: the operators' reference, an example file, completion data."""

from __future__ import annotations

from typing import Any

from lemonhall.config.dayschema import DAY
from lemonhall.config.schema import FRAME, LAYERS, NEEDED, SETTINGS, TERMS, Field, Spec
from lemonhall.config.units import UNITS, show

TIMES = {"one": "once", "maybe": "at most once", "some": "at least once", "any": "any number of times"}
SAMPLES: dict[str, Any] = {
    "time": "(s)5",
    "rate": "(kBps)600",
    "size": "(kB)64",
    "part": "(%)10",
    "int": "1",
    "number": "1",
    "flag": "#true",
    "address": '"127.0.0.1:8554"',
    "text": '"..."',
}


def default_of(field: Field) -> str:
    if field.default is NEEDED:
        return "needed"
    if field.default in (None, ""):
        return "-"
    return show(field.default, field.kind)


def kind_of(field: Field) -> str:
    if field.kind in UNITS:
        return f"{field.kind}: {' '.join(f'({u})' for u in UNITS[field.kind])}"
    if field.one_of:
        return ", ".join(field.one_of) if len(field.one_of) < 6 else "one of those below"
    return f"name of a {field.of}" if field.of else field.kind


def section(spec: Spec, path: str) -> list[str]:
    name = f"{path} > {spec.name}" if path else spec.name
    args = " ".join([f"*{a.name}*" for a in spec.args] + ([f"*{spec.rest.name}* ..."] if spec.rest else []))
    lines = [
        f"### `{name}` {args}".rstrip(),
        "",
        f"{spec.says.capitalize()}. Stands {TIMES[spec.times]}.",
        "",
    ]
    rows = [*spec.args, *([spec.rest] if spec.rest else []), *spec.fields]
    if rows:
        lines += ["| field | takes | default | what |", "| --- | --- | --- | --- |"]
        lines += [f"| `{f.name}` | {kind_of(f)} | {default_of(f)} | {f.says} |" for f in rows]
        lines.append("")
    for child in spec.children:
        lines += section(child, name)
    return lines


def reference() -> str:
    """The page of all nodes and fields, in Markdown."""
    lines = [
        "# Settings, field by field",
        "",
        "Made by `lemonhall config reference` from the schema, and held against it by the tests. How files",
        "are put together, checked and compared is on [the page about configuration](configuration.md).",
        "",
        "## Terms of the service",
        "",
        "The same for fronts, days and stand-ins.",
        "",
    ]
    for spec in TERMS:
        lines += section(spec, "")
    lines += ["## A front", ""]
    for spec in SETTINGS[len(TERMS) :]:
        lines += section(spec, "")
    lines += ["## A day", ""]
    for spec in DAY[len(TERMS) + 1 :]:
        lines += section(spec, "")
    return "\n".join(lines).rstrip() + "\n"


def example_node(spec: Spec, indent: str) -> list[str]:
    words = [spec.name]
    words += [EXAMPLES.get((spec.name, a.name), SAMPLES[a.kind]) for a in spec.args]
    if spec.rest:
        words.append(EXAMPLES.get((spec.name, spec.rest.name), SAMPLES[spec.rest.kind]))
    for f in spec.fields:
        if f.default is NEEDED or (spec.name, f.name) in EXAMPLES:
            words.append(f"{f.name}={EXAMPLES.get((spec.name, f.name), SAMPLES[f.kind])}")
    lines = [f"{indent}// {spec.says}"]
    inner = [
        line
        for c in spec.children
        if c.times != "any" and c.name != "members"
        for line in example_node(c, indent + "    ")
    ]
    text = indent + " ".join(words)
    return [*lines, f"{text} {{", *inner, f"{indent}}}"] if inner else [*lines, text]


EXAMPLES = {
    ("halls", "hall"): '"hall-a" "hall-b"',
    ("racks", "count"): "4",
    ("racks", "uplink"): "(Mbit)400",
    ("link", "per-weight"): "(Mbit)100",
    ("rung", "rate"): "(kBps)100",
    ("rung", "worth"): "1.0",
    ("kind", "name"): '"box-2c"',
    ("kind", "places"): "40",
    ("class", "name"): '"claim-view"',
    ("class", "worth"): "3",
    ("class", "repeat"): '"paid"',
    ("class", "aim"): "(s)2",
    ("class", "deadline"): "(s)6",
    ("class", "seats"): "3",
    ("spill", "hall"): '"hall-a"',
    ("spill", "to"): '"hall-b"',
    ("spill", "share"): "(%)25",
    ("takes-in", "hall"): '"hall-b"',
    ("takes-in", "links"): "(%)40",
    ("takes-in", "set-ups"): "50",
    ("partner", "name"): '"nile-cabs"',
    ("partner", "quota"): "20",
    ("limit", "name"): '"nile-claims"',
    ("limit", "partner"): '"nile-cabs"',
    ("limit", "sessions"): "400",
    ("limit", "longest"): "(min)10",
    ("route", "prefix"): '"/claims/"',
    ("route", "class"): '"claim-view"',
    ("route", "partner"): '"nile-cabs"',
    ("attempts", "most"): "3",
    ("attempts", "free"): "20",
    ("attempts", "share"): "(%)20",
    ("cold", "from"): "(%)10",
    ("cold", "warm"): "(s)60",
    ("cold", "factor"): "2",
    ("reports", "every"): "(s)2",
    ("reports", "late"): "(ms)500",
    ("front", "name"): '"front-0"',
    ("front", "hall"): '"hall-a"',
    ("front", "listen"): '"127.0.0.1:8554"',
    ("front", "status"): '"127.0.0.1:8080"',
    ("boxes", "url"): '"http://127.0.0.1:9000/boxes"',
    ("boxes", "cache"): '"boxes.cache"',
    ("peers", "listen"): '"127.0.0.1:8555"',
    ("limits", "sessions"): "4000",
    ("limits", "memory"): "(MB)800",
    ("hooks", "fuel"): "300",
}


def example() -> str:
    """A settings file with every node that is needed, and the usual ones beside."""
    lines = ["// A front, its terms and its neighbours. Made by `lemonhall config example`."]
    for spec in SETTINGS:
        if spec.name not in ("pool", "titles"):
            lines += ["", *example_node(spec, "")]
    return "\n".join(lines) + "\n"


def completion() -> dict[str, Any]:
    """Nodes, fields, units and texts, for editors."""

    def node(spec: Spec) -> dict[str, Any]:
        return {
            "says": spec.says,
            "times": spec.times,
            "args": [a.name for a in spec.args],
            "fields": {
                f.name: {
                    "kind": f.kind,
                    "says": f.says,
                    "needed": f.default is NEEDED,
                    "units": list(UNITS.get(f.kind, {})),
                    "one_of": list(f.one_of),
                    "names": f.of,
                }
                for f in spec.fields
            },
            "children": {c.name: node(c) for c in spec.children},
        }

    return {
        "settings": {s.name: node(s) for s in SETTINGS},
        "day": {s.name: node(s) for s in DAY},
        "frame": list(FRAME),
        "layers": list(LAYERS),
    }
