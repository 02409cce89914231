"""The formatter: one form, no options. Comments stay, what they stand beside stays; twice gives the same.

Comments inside an expression move up before its statement. One empty line is kept where there were any.
"""

from __future__ import annotations

from lemonhall.hooks import tree as t
from lemonhall.hooks.reader import read
from lemonhall.layout import Layout

WIDTH = 100
INDENT = "    "
LEVELS = {"or": 1, "and": 2, "not": 3, "==": 4, "in": 4, "+": 5, "-": 5, "*": 6, "/": 6}
TIGHT = 7


def level(e: t.Expr) -> int:
    """How tightly an expression binds."""
    if isinstance(e, t.Binary):
        return LEVELS.get(e.op, 4)
    if isinstance(e, t.Unary):
        return 3 if e.op == "not" else TIGHT
    return TIGHT + 1


def show(e: t.Expr, least: int = 0) -> str:
    """An expression on one line, in brackets only where it would else mean something different."""
    text = plain(e)
    return f"({text})" if level(e) < least else text


def plain(e: t.Expr) -> str:
    if isinstance(e, t.Literal):
        return e.source
    if isinstance(e, t.Span):
        return f"{e.source[0]}..{e.source[1]}"
    if isinstance(e, t.SetOf):
        return "{" + ", ".join(map(show, e.items)) + "}"
    if isinstance(e, t.Table):
        return "{" + ", ".join(f"{show(k)}: {show(v)}" for k, v in e.entries) + "}"
    if isinstance(e, t.Name):
        return e.name
    if isinstance(e, t.Call):
        return f"{e.name}({', '.join(map(show, e.args))})"
    if isinstance(e, t.Unary):
        return f"not {show(e.value, 3)}" if e.op == "not" else f"-{show(e.value, TIGHT)}"
    assert isinstance(e, t.Binary)
    own = level(e)
    strict = own == 4  # comparisons do not chain
    return f"{show(e.left, own + strict)} {e.op} {show(e.right, own + 1)}"


def parts(e: t.Expr, op: str) -> list[t.Expr]:
    """The operands of a chain of one operator."""
    if isinstance(e, t.Binary) and e.op == op:
        return [*parts(e.left, op), e.right]
    return [e]


class Formatter(Layout):
    def __init__(self, script: t.Script) -> None:
        super().__init__(script.comments, script.blank)
        self.script = script

    def format(self) -> str:
        for item in self.script.items:
            self.before(item.line, "")
            self.item(item)
            self.after(item.end_line)
        return self.text()

    def item(self, item: t.Statement) -> None:
        if isinstance(item, t.Zone):
            self.put(f'zone "{item.name}"')
        elif isinstance(item, t.Let):
            self.let(item, "")
        elif isinstance(item, t.Counter):
            by = f" by {item.by}" if item.by else ""
            self.put(f"counter {item.name}{by} in {item.window.source}")
        elif isinstance(item, t.Function):
            params = ", ".join(f"{n}: {k}" for n, k in item.params)
            self.wrapped(f"function {item.name}({params}) = ", item.body, "", "")
        elif isinstance(item, t.Rule):
            if item.when is None:
                self.put(f"on {item.point} {{")
            else:
                self.wrapped(f"on {item.point} when ", item.when, " {", "")
            self.block(item.block, INDENT)
            self.put("}")

    def let(self, item: t.Let, indent: str) -> None:
        head = f"{indent}let {item.name} = "
        one = head + show(item.value)
        if len(one) > WIDTH and isinstance(item.value, t.SetOf | t.Table):
            self.put(head + "{")
            if isinstance(item.value, t.SetOf):
                entries = [show(e) for e in item.value.items]
            else:
                entries = [f"{show(k)}: {show(v)}" for k, v in item.value.entries]
            for entry in entries:
                self.put(f"{indent}{INDENT}{entry},")
            self.put(indent + "}")
        else:
            self.wrapped(head, item.value, "", indent)

    def wrapped(self, head: str, e: t.Expr, tail: str, indent: str) -> None:
        """On one line, or a line for each operand of its outermost `or` or `and`."""
        one = head + show(e) + tail
        if len(one) <= WIDTH or not (isinstance(e, t.Binary) and e.op in ("or", "and")):
            self.put(one)
            return
        own = LEVELS[e.op]
        first, *rest = parts(e, e.op)
        self.put(head + show(first, own))
        for n, part in enumerate(rest, 1):
            end = tail if n == len(rest) else ""
            self.put(f"{indent}{INDENT}{INDENT}{e.op} {show(part, own + 1)}{end}")

    def block(self, block: t.Block, indent: str) -> None:
        for s in block.statements:
            self.before(s.line, indent)
            self.statement(s, indent)
            self.after(s.end_line)
        self.close(block.end_line, indent)

    def statement(self, s: t.Statement, indent: str) -> None:
        if isinstance(s, t.Let):
            self.let(s, indent)
        elif isinstance(s, t.If):
            self.condition(s, indent, f"{indent}if ")
        elif isinstance(s, t.For):
            self.put(f"{indent}for {s.name} in {show(s.over)} {{")
            self.block(s.block, indent + INDENT)
            self.put(indent + "}")
        elif isinstance(s, t.Word):
            self.put(indent + self.word(s))

    def condition(self, s: t.If, indent: str, head: str) -> None:
        self.wrapped(head, s.condition, " {", indent)
        self.block(s.then, indent + INDENT)
        if s.other is None:
            self.put(indent + "}")
        elif isinstance(s.other, t.If):
            self.condition(s.other, indent, f"{indent}}} else if ")
        else:
            self.put(indent + "} else {")
            self.block(s.other, indent + INDENT)
            self.put(indent + "}")

    def word(self, s: t.Word) -> str:
        value = show(s.value, 5 if s.kind == "limit" else 0) if s.value is not None else ""
        by = f" by {show(s.key)}" if s.key is not None else ""
        if s.kind == "add":
            return f"add {s.target}{by}"
        if s.kind == "limit":
            assert s.window
            return f'limit "{quoted(s.target)}" to {value} in {s.window.source}{by}'
        if s.kind == "log":
            return f'log "{quoted(s.target)}" = {value}'
        if s.kind == "metric":
            return f'metric "{quoted(s.target)}"' + (f" add {value}" if value else "")
        return " ".join(w for w in (s.kind, s.target, value) if w)


def quoted(text: str) -> str:
    for raw, written in (("\\", "\\\\"), ('"', '\\"'), ("\n", "\\n"), ("\t", "\\t")):
        text = text.replace(raw, written)
    return text


def format_script(text: str, file: str = "script") -> str:
    """The one form of a script. Raises `BadScript` if it cannot be read."""
    return Formatter(read(text, file)).format()
