"""From a script's text to its tree. Raises `BadScript`; nothing else, whatever the text."""

from __future__ import annotations

import math
import re
from pathlib import Path
from typing import Any, NoReturn, cast

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken, VisitError

from lemonhall.hooks import tree as t
from lemonhall.hooks.tree import BadScript, Problem, nearest

SOURCE_MOST = 65536  # bytes of a script
DEPTH_MOST = 40  # of expressions, and of blocks in one another
UNITS: dict[str, tuple[str, float]] = {
    "ms": ("duration", 1.0),
    "s": ("duration", 1000.0),
    "min": ("duration", 60_000.0),
    "h": ("duration", 3_600_000.0),
    "%": ("share", 0.01),
    "kBps": ("rate", 1.0),
    "MBps": ("rate", 1000.0),
    "kbit": ("rate", 0.125),
    "Mbit": ("rate", 125.0),
}
KEYWORDS = (
    "zone",
    "let",
    "counter",
    "function",
    "on",
    "when",
    "if",
    "else",
    "for",
    "in",
    "by",
    "to",
    "and",
    "or",
    "not",
    "true",
    "false",
    "prefer",
    "avoid",
    "cap",
    "ask",
    "count",
    "pause",
    "refuse",
    "limit",
    "log",
    "metric",
    "add",
)
STARTS = {"on": "a rule", "let": "a name", "counter": "a counter", "function": "a function", "zone": "a zone"}
PIECES = re.compile(r'"(?:\\.|[^"\\\n])*"|#[^\n]*')
ESCAPES = {"n": "\n", "t": "\t", '"': '"', "\\": "\\"}
SHOWN = {
    "NAME": "a name",
    "TEXT": "a text in quotes",
    "NUMBER": "a number",
    "QUANTITY": "a number with a unit",
    "TIME": "a time of day",
    "EQUAL": "=",
    "LPAR": "(",
    "RPAR": ")",
    "COMMA": ",",
    "COLON": ":",
    "OPEN": "{",
    "LBRACE": "{",
    "CLOSE": "}",
    "RBRACE": "}",
    "COMPARE": "a comparison",
    "PLUS": "+",
    "MINUS": "-",
    "STAR": "*",
    "SLASH": "/",
    "$END": "the end",
}


class Stop(Exception):
    """A problem seen while the tree is built: token, what, fix."""

    def __init__(self, line: int, column: int, what: str, fix: str = "") -> None:
        super().__init__(what)
        self.line, self.column, self.what, self.fix = line, column, what, fix


def spot(token: Token) -> tuple[int, int]:
    return token.line or 1, token.column or 1


def stop(token: Token, what: str, fix: str = "") -> NoReturn:
    raise Stop(*spot(token), what, fix)


def deeper(line: int, column: int, *parts: t.Expr) -> int:
    depth = 1 + max((p.depth for p in parts), default=0)
    if depth > DEPTH_MOST:
        raise Stop(line, column, f"nested deeper than {DEPTH_MOST}", "give a part of it a name with let")
    return depth


def seconds(token: Token) -> float:
    hour, minute, *rest = (int(p) for p in str(token).split(":"))
    second = rest[0] if rest else 0
    if minute > 59 or second > 59 or hour * 3600 + minute * 60 + second > 86400:
        stop(token, f"{token} is no time of day", "hours 00 to 23, minutes and seconds 00 to 59, or 24:00")
    return float(hour * 3600 + minute * 60 + second)


def unquoted(token: Token) -> str:
    def one(match: re.Match[str]) -> str:
        if match[1] not in ESCAPES:
            stop(token, f"\\{match[1]} means nothing in a text", 'known are \\n \\t \\" \\\\')
        return ESCAPES[match[1]]

    return re.sub(r"\\(.)", one, str(token)[1:-1], flags=re.DOTALL)


def end_of(expr: t.Expr | None) -> int:
    """The last line that an expression is known to reach."""
    if expr is None:
        return 0
    parts: list[t.Expr] = []
    if isinstance(expr, t.Binary):
        parts = [expr.left, expr.right]
    elif isinstance(expr, t.Unary):
        parts = [expr.value]
    elif isinstance(expr, t.Call):
        parts = expr.args
    elif isinstance(expr, t.SetOf):
        parts = expr.items
    elif isinstance(expr, t.Table):
        parts = [p for pair in expr.entries for p in pair]
    return max([expr.line, *map(end_of, parts)])


class Builder(Transformer[Any, Any]):
    """Called by the parser as it reduces, so nothing here recurses over the text."""

    def number(self, c: list[Token]) -> t.Literal:
        value = float(c[0])
        if not math.isfinite(value) or value > 1e15:
            stop(c[0], "a number out of range", "at most 1e15")
        return t.Literal(*spot(c[0]), "number", value, str(c[0]))

    def quantity(self, c: list[Token]) -> t.Literal:
        match = re.fullmatch(r"(\d+(?:\.\d+)?)(.+)", str(c[0]))
        assert match
        if match[2] not in UNITS:
            stop(c[0], f"{match[2][:20]!r} is no unit", nearest(match[2][:20], list(UNITS)))
        kind, factor = UNITS[match[2]]
        value = float(match[1]) * factor
        if not math.isfinite(value) or value > 1e15:
            stop(c[0], "a number out of range", "at most 1e15")
        return t.Literal(*spot(c[0]), kind, value, str(c[0]))

    def text(self, c: list[Token]) -> t.Literal:
        return t.Literal(*spot(c[0]), "text", unquoted(c[0]), str(c[0]))

    def time(self, c: list[Token]) -> t.Literal:
        value = seconds(c[0])
        if value == 86400:
            stop(c[0], "24:00 may only end a span", "write 00:00")
        return t.Literal(*spot(c[0]), "time", value, str(c[0]))

    def span(self, c: list[Token]) -> t.Span:
        low, high = seconds(c[0]), seconds(c[1])
        if low == high:
            stop(c[0], "a span of no length", "write 00:00..24:00 for the whole day")
        return t.Span(*spot(c[0]), low, high, (str(c[0]), str(c[1])))

    def flag(self, c: list[Token]) -> t.Literal:
        return t.Literal(*spot(c[0]), "flag", str(c[0]) == "true", str(c[0]))

    def name(self, c: list[Token]) -> t.Name:
        return t.Name(*spot(c[0]), str(c[0]))

    def args(self, c: list[t.Expr]) -> list[t.Expr]:
        return c

    def call(self, c: list[Any]) -> t.Call:
        args = c[1] or []
        return t.Call(*spot(c[0]), str(c[0]), args, depth=deeper(*spot(c[0]), *args))

    def entry(self, c: list[t.Expr]) -> tuple[t.Expr, t.Expr]:
        return c[0], c[1]

    def table(self, c: list[Any]) -> t.Table:
        entries = [e for e in c[1:] if isinstance(e, tuple)]
        parts = [p for pair in entries for p in pair]
        return t.Table(*spot(c[0]), entries, depth=deeper(*spot(c[0]), *parts))

    def set(self, c: list[Any]) -> t.SetOf:
        items = [e for e in c[1:] if isinstance(e, t.Expr)]
        return t.SetOf(*spot(c[0]), items, depth=deeper(*spot(c[0]), *items))

    def unary(self, c: list[Any]) -> t.Unary:
        return t.Unary(*spot(c[0]), str(c[0]), c[1], depth=deeper(*spot(c[0]), c[1]))

    def binary(self, c: list[Any]) -> t.Binary:
        left, op, right = c
        at = (left.line, left.column)
        return t.Binary(*at, str(op), left, right, depth=deeper(*at, left, right))

    def not_in(self, c: list[Any]) -> t.Binary:
        return self.binary([c[0], "not in", c[3]])

    # statements

    def zone(self, c: list[Token]) -> t.Zone:
        return t.Zone(*spot(c[0]), spot(c[1])[0], unquoted(c[1]))

    def let(self, c: list[Any]) -> t.Let:
        return t.Let(*spot(c[0]), end_of(c[2]), str(c[1]), c[2])

    def counter(self, c: list[Any]) -> t.Counter:
        by = str(c[3]) if c[2] is not None else ""
        return t.Counter(*spot(c[0]), spot(c[-1])[0], str(c[1]), by, self.quantity([c[-1]]))

    def param(self, c: list[Token]) -> tuple[str, str]:
        return str(c[0]), str(c[1])

    def params(self, c: list[tuple[str, str]]) -> list[tuple[str, str]]:
        return c

    def function(self, c: list[Any]) -> t.Function:
        return t.Function(*spot(c[0]), end_of(c[3]), str(c[1]), c[2] or [], c[3])

    def rule(self, c: list[Any]) -> t.Rule:
        return t.Rule(*spot(c[0]), c[-1].end_line, str(c[1]), c[3], c[-1])

    def block(self, c: list[Any]) -> t.Block:
        return t.Block(c[:-1], spot(c[-1])[0])

    def if_(self, c: list[Any]) -> t.If:
        other = c[4] if len(c) > 4 else None
        end = other.end_line if other else c[2].end_line
        return t.If(*spot(c[0]), end, c[1], c[2], other)

    def for_(self, c: list[Any]) -> t.For:
        return t.For(*spot(c[0]), c[4].end_line, str(c[1]), c[3], c[4])

    def towards(self, c: list[Any]) -> t.Word:
        return t.Word(*spot(c[0]), end_of(c[2]), str(c[0]), str(c[1]), c[2])

    def rung(self, c: list[Any]) -> t.Word:
        if str(c[1]) != "rung":
            stop(c[1], f"{c[0]} is followed by rung", f"write {c[0]} rung")
        return t.Word(*spot(c[0]), end_of(c[2]), str(c[0]), "rung", c[2])

    def count_as(self, c: list[Any]) -> t.Word:
        if str(c[1]) != "as":
            stop(c[1], "count is followed by as", "write count as CLASS")
        return t.Word(*spot(c[0]), end_of(c[2]), "count", "as", c[2])

    def plain(self, c: list[Any]) -> t.Word:
        return t.Word(*spot(c[0]), end_of(c[1]), str(c[0]), "", c[1])

    def limit(self, c: list[Any]) -> t.Word:
        window = self.quantity([c[5]])
        end = max(window.line, end_of(c[7]))
        return t.Word(*spot(c[0]), end, "limit", unquoted(c[1]), c[3], window, c[7])

    def log(self, c: list[Any]) -> t.Word:
        return t.Word(*spot(c[0]), end_of(c[2]), "log", unquoted(c[1]), c[2])

    def metric(self, c: list[Any]) -> t.Word:
        return t.Word(*spot(c[0]), max(spot(c[1])[0], end_of(c[3])), "metric", unquoted(c[1]), c[3])

    def add(self, c: list[Any]) -> t.Word:
        return t.Word(*spot(c[0]), max(spot(c[1])[0], end_of(c[3])), "add", str(c[1]), key=c[3])

    def start(self, c: list[t.Statement]) -> list[t.Statement]:
        return c


setattr(Builder, "if", Builder.if_)
setattr(Builder, "for", Builder.for_)
GRAMMAR = (Path(__file__).parent / "grammar.lark").read_text(encoding="utf-8")
PARSER = Lark(GRAMMAR, parser="lalr", transformer=Builder(), maybe_placeholders=True)


def read(text: str, file: str = "script") -> t.Script:
    """The tree of a script. Raises `BadScript` with the first thing that cannot be read."""
    if len(text.encode(errors="replace")) > SOURCE_MOST:
        raise BadScript([Problem(file, 1, 1, f"a script over {SOURCE_MOST} bytes", "split it")])
    check_blocks(text, file)
    try:
        items = cast("list[t.Statement]", PARSER.parse(text))
    except VisitError as error:
        found = error.orig_exc
        if not isinstance(found, Stop):
            raise
        raise BadScript([Problem(file, found.line, found.column, found.what, found.fix)]) from None
    except Stop as found:
        raise BadScript([Problem(file, found.line, found.column, found.what, found.fix)]) from None
    except UnexpectedInput as error:
        raise BadScript([explain(error, text, file)]) from None
    comments = []
    lines = text.split("\n")
    for match in PIECES.finditer(text):
        if match[0].startswith("#"):
            line = text.count("\n", 0, match.start())
            alone = not lines[line].split("#", 1)[0].strip()
            comments.append((line + 1, alone, match[0].rstrip()))
    blank = frozenset(n for n, line in enumerate(lines, 1) if not line.strip())
    return t.Script(file, items, comments, len(lines), blank)


def check_blocks(text: str, file: str) -> None:
    """Blocks in blocks are walked by recursion later: their depth is bounded before anything is built."""
    depth = 0
    for match in re.finditer(r'"(?:\\.|[^"\\\n])*"|#[^\n]*|[{}]|\belse\b', text):
        depth += {"{": 1, "}": -1}.get(match[0], 0)
        if depth > DEPTH_MOST:
            line = text.count("\n", 0, match.start()) + 1
            column = match.start() - text.rfind("\n", 0, match.start())
            raise BadScript([Problem(file, line, column, f"nested deeper than {DEPTH_MOST}")])
    if len(re.findall(r"\belse\s+if\b", text)) > 200:
        raise BadScript([Problem(file, 1, 1, "more than 200 else if", "use a table")])


def explain(error: UnexpectedInput, text: str, file: str) -> Problem:
    """What the parser could not take, in the words of the language."""
    line, column = max(1, error.line), max(1, error.column)
    if isinstance(error, UnexpectedCharacters):
        char = text[error.pos_in_stream or 0 : (error.pos_in_stream or 0) + 1]
        fix = 'texts stand in "double quotes" and end on their line' if char in "\"'" else ""
        fix = "equality is written ==" if char == "=" else fix
        return Problem(file, line, column, f"{char!r} cannot stand here", fix)
    if not isinstance(error, UnexpectedToken):
        return Problem(file, line, column, "the script ends too early", "is a } missing?")
    token = error.token
    if token.type == "$END":
        last = text.rstrip("\n").count("\n") + 1
        return Problem(file, last, 1, "the script ends in the middle of something", "is a } missing?")
    names = sorted({SHOWN.get(e, e.lower()) for e in error.expected})
    words = [n for n in names if n in KEYWORDS]
    fix = f"expected {', '.join(names)}" if len(names) <= 6 else ""
    if token.type == "NAME" and (near := nearest(str(token), words)).startswith("did"):
        fix = near
    elif token.type == "NAME" and "prefer" in names:
        fix = "the words are prefer, avoid, cap, ask, count as, pause, refuse, limit, log, metric, add"
    elif str(token) == "=":
        fix = "equality is written =="
    elif token.type == "NUMBER" and "QUANTITY" in error.expected and "NUMBER" not in error.expected:
        fix = "it needs a unit, as in 10s"
    elif not fix and str(token) in STARTS:
        fix = f"{STARTS[str(token)]} cannot begin here; is a }} missing before it?"
    return Problem(file, line, column, f"{str(token)[:40]!r} cannot stand here", fix)
