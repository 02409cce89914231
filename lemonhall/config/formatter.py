"""The formatter of KDL documents: one form, no options. Comments, order and meaning stay.

Comments inside of a node's line move up before it. What is behind a /- stays behind it.
"""

from __future__ import annotations

from lemonhall.config.document import Document, Entry, Node, Property, Value, read_text
from lemonhall.layout import Layout

WIDTH = 110
INDENT = "    "


def show_value(value: Value) -> str:
    unit = f"({plain(value.unit)})" if value.unit is not None else ""
    return unit + value.source


def plain(text: str) -> str:
    """A name as it may stand without quotes, else in them."""
    bare = text and not set(text) & set(' \\/(){};[]"#=<>,\t\r\n') and not text[0].isdigit()
    if bare and text not in ("true", "false", "null", "inf", "-inf", "nan") and text[0] not in "+-.":
        return text
    for raw, written in (("\\", "\\\\"), ('"', '\\"'), ("\n", "\\n"), ("\t", "\\t"), ("\r", "\\r")):
        text = text.replace(raw, written)
    return f'"{text}"'


def show_entry(entry: Entry) -> str:
    item = entry.item
    drop = "/-" if entry.dropped else ""
    if isinstance(item, Property):
        return f"{drop}{item.source}={show_value(item.value)}"
    return drop + show_value(item)


class Formatter(Layout):
    def __init__(self, document: Document) -> None:
        super().__init__([(c.line, c.alone, c.text) for c in document.comments], document.blank)
        self.document = document

    def format(self) -> str:
        self.nodes(self.document.nodes, "")
        return self.text()

    def nodes(self, nodes: list[Node], indent: str) -> None:
        for node in nodes:
            self.before(node.spot.line, indent)
            self.node(node, indent)
            self.after(node.end_line)

    def node(self, node: Node, indent: str) -> None:
        kind = f"({plain(node.kind)})" if node.kind is not None else ""
        pieces = [f"{indent}{'/-' if node.dropped else ''}{kind}{node.source}"]
        pieces += [show_entry(e) for e in node.entries]
        block = (" /-{" if node.block_dropped else " {") if node.has_block else ""
        line = pieces[0]
        for piece in pieces[1:]:
            if len(line.rpartition("\n")[2]) + 1 + len(piece) + len(block) > WIDTH and "\n" not in piece:
                line += f" \\\n{indent}{INDENT}{piece}"
            else:
                line += f" {piece}"
        self.lines += (line + block).split("\n")
        if node.has_block:
            own = node.entries[-1].item if node.entries else None
            value = own.value if isinstance(own, Property) else own
            self.after(value.spot.line if isinstance(value, Value) else node.spot.line)
            self.nodes(node.children, indent + INDENT)
            self.close(node.end_line, indent + INDENT)
            self.put(indent + "}")


def format_text(text: str, file: str = "document") -> str:
    """The one form of a document. Raises `BadInput` if it cannot be read."""
    return Formatter(read_text(text, file)).format()


def dump(nodes: list[Node]) -> str:
    """Nodes as a document, without comments."""
    return Formatter(Document("", [flat(n) for n in nodes], [], frozenset(), 0)).format()


def flat(node: Node) -> Node:
    """A copy with all on one line: nodes that come from several files have no common lines."""
    entries = [Entry(e.item) for e in node.entries if not e.dropped]
    return Node(
        node.name,
        node.spot,
        plain(node.name),
        None,
        entries,
        [flat(c) for c in node.live],
        bool(node.live),
    )
