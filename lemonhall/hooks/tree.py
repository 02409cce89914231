"""The syntax tree of a hook script. Every node knows its line and column (from 1); `depth` bounds nesting."""

from __future__ import annotations

from dataclasses import dataclass, field

from lemonhall.problem import BadInput, Problem, nearest

__all__ = ["BadInput", "BadScript", "Problem", "nearest"]


class BadScript(BadInput):
    """A script that cannot be used, with every problem that was found."""


@dataclass
class Expr:
    line: int
    column: int
    depth: int = field(default=1, kw_only=True)
    type: object = field(default=None, kw_only=True)  # set by the checker


@dataclass
class Literal(Expr):
    """`kind`: number, duration (ms), share (of 1), rate (kB a second), text, flag, time (s of the day)."""

    kind: str
    value: float | str | bool
    source: str


@dataclass
class Span(Expr):
    """From one time of the day to another, across midnight if the second is the smaller."""

    low: float
    high: float
    source: tuple[str, str]


@dataclass
class SetOf(Expr):
    items: list[Expr]


@dataclass
class Table(Expr):
    entries: list[tuple[Expr, Expr]]


@dataclass
class Name(Expr):
    name: str


@dataclass
class Call(Expr):
    name: str
    args: list[Expr]


@dataclass
class Unary(Expr):
    op: str  # not, -
    value: Expr


@dataclass
class Binary(Expr):
    op: str  # or and == != < <= > >= in + - * / and "not in"
    left: Expr
    right: Expr


@dataclass
class Statement:
    line: int
    column: int
    end_line: int


@dataclass
class Let(Statement):
    name: str
    value: Expr


@dataclass
class Block:
    statements: list[Statement]
    end_line: int


@dataclass
class If(Statement):
    condition: Expr
    then: Block
    other: If | Block | None


@dataclass
class For(Statement):
    name: str
    over: Expr
    block: Block


@dataclass
class Word(Statement):
    """`kind` and what goes with it: `prefer hall X`, `limit "name" to N in 10s by key`, ..."""

    kind: str
    target: str = ""
    value: Expr | None = None
    window: Literal | None = None
    key: Expr | None = None


@dataclass
class Zone(Statement):
    name: str


@dataclass
class Counter(Statement):
    name: str
    by: str  # type of its key; "" without
    window: Literal


@dataclass
class Function(Statement):
    name: str
    params: list[tuple[str, str]]
    body: Expr


@dataclass
class Rule(Statement):
    point: str
    when: Expr | None
    block: Block


@dataclass
class Script:
    file: str
    items: list[Statement]
    comments: list[tuple[int, bool, str]]  # line, whether it stands alone, text from the #
    lines: int
    blank: frozenset[int]  # lines that are empty
