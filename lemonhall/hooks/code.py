"""Code of a script: a flat list of `(op, a, b)` for each rule and function, jumps by index."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, auto
from typing import Any


class Op(IntEnum):
    """Instructions. `->` what is on the stack after it; a and b as said."""

    FACT_IS = 0  # -> whether fact a equals b
    CONST = auto()  # -> a
    FACT = auto()  # -> fact a
    JUMP_IF_NOT = auto()  # to a if the top was false
    AND = auto()  # to a if the top is false, else drops it
    OR = auto()  # to a if the top is true, else drops it
    LOCAL = auto()  # -> local a
    IN = auto()  # value, set or table -> flag
    IN_SPAN = auto()  # time -> flag; a: low, b: high
    COMPARE = auto()  # x, y -> flag; a: how (of `operator`)
    JUMP = auto()  # to a
    SET = auto()  # value -> ; local a
    NOT = auto()
    ARITH = auto()  # x, y -> number; a: how (of `operator`)
    JOIN = auto()  # text, text -> text
    NEG = auto()
    COUNT = auto()  # key if b -> number; a: counter
    ADD = auto()  # key if b -> ; a: counter
    WORD = auto()  # value if b -> ; a: (word, label, line)
    LIMIT = auto()  # most, key if b -> ; a: (counter, name, line)
    BUILTIN = auto()  # b values -> value; a: index
    TEXT_OF = auto()  # value -> text; a: its type
    CALL = auto()  # values -> value; a: function, b: how many
    RETURN = auto()
    ITER = auto()  # collection -> ; locals a and a + 1 hold it and where it stands
    NEXT = auto()  # local a + 2 is the next of a; to b at the end


Instruction = tuple[int, Any, Any]
Code = list[Instruction]


@dataclass(frozen=True)
class CounterSpec:
    """A windowed counter: its name (of a limit: `limit NAME`), type of its key, window in ms."""

    name: str
    by: str
    window_ms: float


@dataclass(frozen=True)
class RuleCode:
    line: int
    code: Code
    slots: int


@dataclass
class Program:
    """A script that can be run. `rules` by point, in the order of the file."""

    file: str
    zone: str
    rules: dict[str, list[RuleCode]]
    functions: list[tuple[Code, int]]
    counters: list[CounterSpec]
    uses_clock: bool
    size: int  # instructions in all
    source: str = ""
