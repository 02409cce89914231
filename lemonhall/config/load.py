"""A tree of files as one document: includes, templates, defaults and layers, and where each value came from.

Order, from the weakest: defaults, templates (the nearest first), the node itself, then layers: site, hall,
front. A layer's word replaces what stands; what it replaced is kept for `config explain`.
"""

from __future__ import annotations

import os
from copy import deepcopy
from dataclasses import dataclass, field
from pathlib import Path

from lemonhall.config.document import Document, Entry, Node, Property, Spot, Value, read_bytes, read_text
from lemonhall.config.schema import LAYERS, Spec, find
from lemonhall.problem import BadInput, Problem, nearest

FILES_MOST = 1000
CHAIN_MOST = 32  # files that include one another


@dataclass
class Tree:
    """All nodes, in order, without includes, templates, defaults and layers. `replaced`: who lost to whom."""

    file: str
    nodes: list[Node]
    files: list[str] = field(default_factory=list)
    problems: list[Problem] = field(default_factory=list)
    replaced: dict[int, list[Value]] = field(default_factory=dict)  # by id of the value that stands

    def fail(self) -> None:
        if self.problems:
            raise BadInput(sorted(set(self.problems), key=lambda p: (p.file, p.line, p.column, p.what)))


class Loader:
    """Reads files, each once. `root`: the folder that no include may leave."""

    def __init__(self, path: Path, root: Path | None = None) -> None:
        self.path = path
        self.root = (root or path.parent).resolve()
        self.tree = Tree(str(path), [])
        self.seen: set[tuple[int, int]] = set()
        self.under_way: list[tuple[int, int]] = []

    def say(self, spot: Spot, what: str, fix: str = "") -> None:
        self.tree.problems.append(spot.problem(what, fix))

    def read(self, path: Path, asked: Spot | None, chain: tuple[str, ...]) -> Document | None:
        """One file, read whole at one time. None: it was read before, or cannot be (then that is said)."""
        spot = asked or Spot(str(path), 0, 0)
        shown = str(path)
        try:
            with open(path, "rb") as file:
                before = os.fstat(file.fileno())
                mark = (before.st_dev, before.st_ino)
                if mark in self.under_way:
                    self.say(spot, f"{path.name} includes itself", "take one of the includes out")
                    return None
                if mark in self.seen:
                    return None
                self.seen.add(mark)
                data = file.read()
                after = os.fstat(file.fileno())
        except OSError as error:
            near = nearest(path.name, sorted(p.name for p in path.parent.glob("*.kdl"))) if asked else ""
            self.say(spot, f"{shown}: {error.strerror or 'cannot be read'}", near if "did" in near else "")
            return None
        if (before.st_mtime_ns, before.st_size) != (after.st_mtime_ns, after.st_size):
            self.say(spot, f"{shown}: changed while it was read", "load it again")
            return None
        self.tree.files.append(shown)
        try:
            self.under_way.append(mark)
            return read_bytes(data, shown, chain)
        except BadInput as error:
            self.tree.problems += error.problems
            self.under_way.pop()
            return None

    def nodes_of(self, path: Path, asked: Spot | None, chain: tuple[str, ...]) -> list[Node]:
        """The nodes of a file with those of its includes in their places."""
        document = self.read(path, asked, chain)
        if document is None:
            return []
        made: list[Node] = []
        for node in document.nodes:
            if node.dropped:
                continue
            if node.name == "include":
                made += self.include(node, path, (str(path), *chain))
            else:
                made.append(node)
        self.under_way.pop()
        return made

    def include(self, node: Node, path: Path, chain: tuple[str, ...]) -> list[Node]:
        args = [a.value for a in node.args]
        if len(args) != 1 or not isinstance(args[0], str) or node.properties or node.live:
            self.say(node.spot, "include takes one path", 'as in include "partners/nile.kdl"')
            return []
        if len(chain) > CHAIN_MOST or len(self.tree.files) >= FILES_MOST:
            self.say(node.spot, f"more than {CHAIN_MOST} files in a chain, or {FILES_MOST} in all")
            return []
        wanted = Path(os.path.normpath(path.parent / args[0]))
        if not wanted.resolve().is_relative_to(self.root):
            self.say(node.spot, f"{args[0]} lies outside of {self.root.name}/", "includes stay in the folder")
            return []
        return self.nodes_of(wanted, node.spot, chain)

    # templates, defaults, layers

    def frames(self, nodes: list[Node]) -> tuple[list[Node], dict[str, Node], list[Node], list[Node]]:
        """Plain nodes; templates by name; defaults; layers."""
        plain, templates, defaults, layers = [], dict[str, Node](), [], []
        for node in nodes:
            if node.name == "template":
                name = node.args[0].value if node.args else None
                if not isinstance(name, str):
                    self.say(node.spot, "a template has a name", 'as in template "paid-view" repeat="paid"')
                elif name in templates:
                    first = templates[name].spot
                    self.say(
                        node.spot, f'template "{name}" stands twice', f"first at {first.file}:{first.line}"
                    )
                else:
                    templates[name] = node
            elif node.name == "defaults":
                defaults += node.live
            elif node.name == "layer":
                layers.append(node)
            else:
                plain.append(node)
        return plain, templates, defaults, layers

    def extend(self, node: Node, templates: dict[str, Node], under_way: tuple[str, ...] = ()) -> None:
        """Fills a node from the template that it names, and from those that this one names."""
        for child in node.live:
            self.extend(child, templates)
        asked = node.properties.get("extends")
        if asked is None:
            return
        node.entries = [
            e for e in node.entries if not (isinstance(e.item, Property) and e.item.name == "extends")
        ]
        name = asked.value
        if name in under_way:
            self.say(asked.spot, f'template "{name}" extends itself', " to ".join([*under_way, str(name)]))
            return
        if not isinstance(name, str) or name not in templates:
            self.say(asked.spot, f"{asked.source} is no template", nearest(str(name), templates))
            return
        template = deepcopy(templates[name])
        self.extend(template, templates, (*under_way, name))
        self.fill(node, template, f'template "{name}"')

    def fill(self, node: Node, source: Node, via: str) -> None:
        """Properties and kinds of children that the node does not have."""
        own = node.properties
        for name, value in source.properties.items():
            if name not in own:
                made = Value(value.value, value.unit, value.source, value.spot, value.via or via)
                node.entries.append(Entry(Property(name, made, name, made.spot)))
        names = {c.name for c in node.live}
        for child in source.live:
            if child.name not in names:
                node.children.append(deepcopy(child))
                node.has_block = True

    def apply_layer(self, nodes: list[Node], layer: Node, rank: str, specs: tuple[Spec, ...]) -> None:
        via = f"layer {rank}"
        for word in layer.live:
            spec = find(specs, word.name, len(word.args))
            found = [n for n in nodes if same(n, word, spec)]
            if not found:
                made = deepcopy(word)
                for value in made.properties.values():
                    value.via = via
                nodes.append(made)
                continue
            for node in found:
                self.override(node, word, via)

    def override(self, node: Node, word: Node, via: str) -> None:
        for name, value in word.properties.items():
            old = node.properties.get(name)
            made = Value(value.value, value.unit, value.source, value.spot, via)
            if old is not None:
                if old.via == via and (old.value, old.unit) != (made.value, made.unit):
                    place = f"{old.spot.file}:{old.spot.line}"
                    self.say(value.spot, f"{node.label}: {name} is set twice by {via}", f"first at {place}")
                self.tree.replaced[id(made)] = [old, *self.tree.replaced.get(id(old), [])]
            node.with_entry(name, made)
        for child in word.live:
            mates = [c for c in node.live if c.name == child.name and values(c) == values(child)]
            if mates:
                self.override(mates[0], child, via)
            else:
                node.children.append(deepcopy(child))
                node.has_block = True

    def load(self, specs: tuple[Spec, ...], hall: str = "", front: str = "") -> Tree:
        """The whole tree. Problems are kept in it; `hall` and `front` choose the layers, if not told else."""
        nodes = self.nodes_of(self.path, None, ())
        plain, templates, defaults, layers = self.frames(nodes)
        for template in templates.values():
            name = str(template.args[0].value)
            self.extend(deepcopy(template), templates, (name,))
        for node in (*plain, *(w for layer in layers for w in layer.live)):
            self.extend(node, templates)
        for node in plain:
            for default in defaults:
                if default.name == node.name:
                    self.fill(node, default, "defaults")
        own = next((n for n in plain if n.name == "front"), None)
        if own is not None:
            front = front or (str(own.args[0].value) if own.args else "")
            hall = hall or str(own.properties["hall"].value if "hall" in own.properties else "")
        for rank in LAYERS:
            for layer in layers:
                if self.rank(layer) == rank and self.fits(layer, hall, front):
                    self.apply_layer(plain, layer, rank, specs)
        self.tree.nodes = plain
        return self.tree

    def rank(self, layer: Node) -> str:
        name = layer.args[0].value if layer.args else None
        if name not in LAYERS:
            self.say(layer.spot, "a layer is site, hall or front", 'as in layer "hall" "hall-a" { }')
            return ""
        return str(name)

    def fits(self, layer: Node, hall: str, front: str) -> bool:
        names = [a.value for a in layer.args[1:]]
        rank = layer.args[0].value
        if rank == "site":
            return True
        return (hall if rank == "hall" else front) in names


def values(node: Node) -> list[object]:
    return [a.value for a in node.args]


def same(node: Node, word: Node, spec: Spec | None) -> bool:
    """Whether a layer's word is about a node: the same name and, where there may be several, arguments."""
    if node.name != word.name:
        return False
    return spec is None or spec.times in ("one", "maybe") or values(node) == values(word)


def load(path: str | Path, specs: tuple[Spec, ...], root: Path | None = None) -> Tree:
    """The tree of a file with all that it includes. What is wrong is in its `problems`."""
    return Loader(Path(path), root).load(specs)


def set_field(tree: Tree, node: str, name: str, value: str) -> None:
    """Gives a field of a node another value, for a trial; nodes inside of others are found as well."""
    found = [n for n in every(tree.nodes) if " ".join([n.name, *map(str, values(n))]) == node]
    if not found:
        names = [" ".join([n.name, *map(str, values(n))]) for n in every(tree.nodes)]
        tree.problems.append(Problem(tree.file, 0, 0, f"{node}: no such node", nearest(node, names)))
        return
    given = read_text(f"trial {name}={value}\n", f"--set {name}={value}").nodes[0].properties[name]
    given.via = "a trial"
    for one in found:
        one.with_entry(name, given)


def every(nodes: list[Node]) -> list[Node]:
    return [n for node in nodes for n in (node, *every(node.live))]
