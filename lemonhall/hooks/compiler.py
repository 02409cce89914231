"""From a checked tree to code for the machine. Names outside of rules are worked out here, once."""

from __future__ import annotations

import operator
from dataclasses import dataclass, field
from typing import Any

from lemonhall.hooks import tree as t
from lemonhall.hooks.checker import Known, check
from lemonhall.hooks.code import Code, CounterSpec, Op, Program, RuleCode
from lemonhall.hooks.machine import Limits, Machine, Nowhere
from lemonhall.hooks.reader import read
from lemonhall.hooks.tree import BadScript, Problem
from lemonhall.hooks.vocabulary import BUILTIN_INDEX, FACT_INDEX, POINTS, TIME, WEEKDAY

CODE_MOST = 20000  # instructions of a script
OPERATORS: dict[str, Any] = {
    "==": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
    "+": operator.add,
    "-": operator.sub,
    "*": operator.mul,
    "/": operator.truediv,
}
LET_LIMITS = Limits(fuel=5000, memory=16384)


@dataclass
class Frame:
    """Where the code of one rule or function is made: names to slots."""

    code: Code = field(default_factory=list)
    names: dict[str, int] = field(default_factory=dict)
    slots: int = 0

    def slot(self, count: int = 1) -> int:
        self.slots += count
        return self.slots - count

    def put(self, op: Op, a: object = None, b: object = None) -> int:
        self.code.append((int(op), a, b))
        return len(self.code) - 1

    def patch(self, at: int, a: object = None, b: object = None) -> None:
        op, old_a, old_b = self.code[at]
        self.code[at] = (op, old_a if a is None else a, old_b if b is None else b)


class Compiler:
    def __init__(self, script: t.Script) -> None:
        self.script = script
        self.constants: dict[str, Any] = {}
        self.functions: dict[str, int] = {}
        self.function_code: list[tuple[Code, int]] = []
        self.counters: list[CounterSpec] = []
        self.counter_index: dict[str, int] = {}
        self.uses_clock = False

    def compile(self) -> Program:
        rules: dict[str, list[RuleCode]] = {point: [] for point in POINTS}
        zone = "UTC"
        for item in self.script.items:
            if isinstance(item, t.Zone):
                zone = item.name
            elif isinstance(item, t.Let):
                self.constants[item.name] = self.value_of(item)
            elif isinstance(item, t.Counter):
                spec = CounterSpec(item.name, item.by, float(item.window.value))
                self.counter_index[item.name] = len(self.counters)
                self.counters.append(spec)
            elif isinstance(item, t.Function):
                self.function(item)
            elif isinstance(item, t.Rule):
                rules[item.point].append(self.rule(item))
        size = sum(len(c) for c, _ in self.function_code)
        size += sum(len(r.code) for of in rules.values() for r in of)
        if size > CODE_MOST:
            what = f"{size} instructions, over {CODE_MOST}"
            raise BadScript([Problem(self.script.file, 1, 1, what, "split the script")])
        return Program(
            self.script.file, zone, rules, self.function_code, self.counters, self.uses_clock, size
        )

    def value_of(self, item: t.Let) -> Any:
        """Works a name out. Raises `BadScript` if the machine cannot."""
        frame = Frame()
        self.expr(item.value, frame)
        frame.put(Op.WORD, ("let", item.name, item.line), True)
        frame.put(Op.RETURN)
        rules = {"arrival": [RuleCode(item.line, frame.code, 0)]}
        program = Program(self.script.file, "UTC", rules, self.function_code, [], False, 0)
        run = Machine(program, LET_LIMITS, []).run("arrival", [], Nowhere(), 0.0)
        if run.cut:
            why = f"{item.name} cannot be worked out: {run.cut}"
            raise BadScript([Problem(self.script.file, item.line, item.column, why)])
        return run.words[0][2]

    def function(self, item: t.Function) -> None:
        frame = Frame()
        for name, _ in item.params:
            frame.names[name] = frame.slot()
        self.expr(item.body, frame)
        frame.put(Op.RETURN)
        self.functions[item.name] = len(self.function_code)
        self.function_code.append((frame.code, frame.slots))

    def rule(self, item: t.Rule) -> RuleCode:
        frame = Frame()
        skip = None
        if item.when is not None:
            self.expr(item.when, frame)
            skip = frame.put(Op.JUMP_IF_NOT)
        self.block(item.block, frame)
        if skip is not None:
            frame.patch(skip, len(frame.code))
        frame.put(Op.RETURN)
        return RuleCode(item.line, frame.code, frame.slots)

    # statements

    def block(self, block: t.Block, frame: Frame) -> None:
        outer = dict(frame.names)
        for statement in block.statements:
            self.statement(statement, frame)
        frame.names = outer

    def statement(self, s: t.Statement, frame: Frame) -> None:
        if isinstance(s, t.Let):
            self.expr(s.value, frame)
            frame.names[s.name] = frame.slot()
            frame.put(Op.SET, frame.names[s.name])
        elif isinstance(s, t.If):
            self.condition(s, frame)
        elif isinstance(s, t.For):
            self.loop(s, frame)
        elif isinstance(s, t.Word):
            self.word(s, frame)

    def condition(self, s: t.If, frame: Frame) -> None:
        self.expr(s.condition, frame)
        skip = frame.put(Op.JUMP_IF_NOT)
        self.block(s.then, frame)
        if s.other is None:
            frame.patch(skip, len(frame.code))
            return
        over = frame.put(Op.JUMP)
        frame.patch(skip, len(frame.code))
        if isinstance(s.other, t.If):
            self.condition(s.other, frame)
        else:
            self.block(s.other, frame)
        frame.patch(over, len(frame.code))

    def loop(self, s: t.For, frame: Frame) -> None:
        self.expr(s.over, frame)
        base = frame.slot(3)
        frame.put(Op.ITER, base)
        again = frame.put(Op.NEXT, base)
        outer = dict(frame.names)
        frame.names[s.name] = base + 2
        self.block(s.block, frame)
        frame.names = outer
        frame.put(Op.JUMP, again)
        frame.patch(again, b=len(frame.code))

    def word(self, s: t.Word, frame: Frame) -> None:
        if s.key is not None and s.kind == "add":
            self.expr(s.key, frame)
        if s.kind == "add":
            frame.put(Op.ADD, self.counter_index[s.target], s.key is not None)
            return
        if s.value is not None:
            self.expr(s.value, frame)
        if s.kind == "limit":
            assert s.window
            if s.key is not None:
                self.expr(s.key, frame)
            by = str(s.key.type) if s.key is not None else ""
            spec = CounterSpec(f"limit {s.target} {len(self.counters)}", by, float(s.window.value))
            frame.put(Op.LIMIT, (len(self.counters), s.target, s.line), s.key is not None)
            self.counters.append(spec)
            return
        name = f"{s.kind} {s.target}" if s.kind in ("prefer", "avoid", "cap", "ask", "count") else s.kind
        if s.kind == "log" and s.value is not None and s.value.type not in ("number", "text", "flag"):
            frame.put(Op.TEXT_OF, s.value.type)
        label = s.target if s.kind in ("log", "metric") else ""
        frame.put(Op.WORD, (name, label, s.line), s.value is not None)

    # expressions

    def expr(self, e: t.Expr, frame: Frame) -> None:
        if isinstance(e, t.Literal):
            frame.put(Op.CONST, e.value)
        elif isinstance(e, t.SetOf):
            frame.put(Op.CONST, dict.fromkeys(i.value for i in e.items if isinstance(i, t.Literal)))
        elif isinstance(e, t.Table):
            pairs = [(k, v) for k, v in e.entries if isinstance(k, t.Literal) and isinstance(v, t.Literal)]
            frame.put(Op.CONST, {k.value: v.value for k, v in pairs})
        elif isinstance(e, t.Span):
            frame.put(Op.CONST, (e.low, e.high))
        elif isinstance(e, t.Name):
            self.name(e, frame)
        elif isinstance(e, t.Unary):
            self.expr(e.value, frame)
            frame.put(Op.NOT if e.op == "not" else Op.NEG)
        elif isinstance(e, t.Binary):
            self.binary(e, frame)
        elif isinstance(e, t.Call):
            self.call(e, frame)

    def name(self, e: t.Name, frame: Frame) -> None:
        if e.name in frame.names:
            frame.put(Op.LOCAL, frame.names[e.name])
        elif e.name in self.constants:
            frame.put(Op.CONST, self.constants[e.name])
        else:
            self.fact(e.name, frame)

    def fact(self, name: str, frame: Frame) -> None:
        index = FACT_INDEX[name]
        self.uses_clock |= index in (TIME, WEEKDAY)
        frame.put(Op.FACT, index)

    def is_fact(self, e: t.Expr, frame: Frame) -> bool:
        plain = isinstance(e, t.Name) and e.name not in frame.names and e.name not in self.constants
        return plain and isinstance(e, t.Name) and e.name in FACT_INDEX

    def binary(self, e: t.Binary, frame: Frame) -> None:
        if e.op in ("and", "or"):
            self.expr(e.left, frame)
            skip = frame.put(Op.AND if e.op == "and" else Op.OR)
            self.expr(e.right, frame)
            frame.patch(skip, len(frame.code))
            return
        if e.op in ("in", "not in"):
            self.member(e, frame)
            return
        if e.op == "==" and self.is_fact(e.left, frame) and isinstance(e.right, t.Literal):
            assert isinstance(e.left, t.Name)
            self.uses_clock |= FACT_INDEX[e.left.name] in (TIME, WEEKDAY)
            frame.put(Op.FACT_IS, FACT_INDEX[e.left.name], e.right.value)
            return
        self.expr(e.left, frame)
        self.expr(e.right, frame)
        if e.op in ("==", "!=", "<", "<=", ">", ">="):
            frame.put(Op.COMPARE, OPERATORS[e.op])
        elif e.type == "text":
            frame.put(Op.JOIN)
        else:
            frame.put(Op.ARITH, OPERATORS[e.op])

    def member(self, e: t.Binary, frame: Frame) -> None:
        self.expr(e.left, frame)
        span: Any = (e.right.low, e.right.high) if isinstance(e.right, t.Span) else None
        if isinstance(e.right, t.Name) and e.right.name not in frame.names:
            span = self.constants.get(e.right.name)
        if isinstance(span, tuple):
            frame.put(Op.IN_SPAN, *span)
        else:
            self.expr(e.right, frame)
            frame.put(Op.IN)
        if e.op == "not in":
            frame.put(Op.NOT)

    def call(self, e: t.Call, frame: Frame) -> None:
        if e.name == "count":
            assert isinstance(e.args[0], t.Name)
            if len(e.args) > 1:
                self.expr(e.args[1], frame)
            frame.put(Op.COUNT, self.counter_index[e.args[0].name], len(e.args) > 1)
            return
        if e.name == "choose":
            self.expr(e.args[0], frame)
            skip = frame.put(Op.JUMP_IF_NOT)
            self.expr(e.args[1], frame)
            over = frame.put(Op.JUMP)
            frame.patch(skip, len(frame.code))
            self.expr(e.args[2], frame)
            frame.patch(over, len(frame.code))
            return
        for arg in e.args:
            self.expr(arg, frame)
        if e.name in self.functions:
            frame.put(Op.CALL, self.functions[e.name], len(e.args))
        elif e.name == "text":
            frame.put(Op.TEXT_OF, e.args[0].type)
        else:
            if e.name == "trial" and len(e.args) == 2:
                self.fact("viewer", frame)
            count = 3 if e.name == "trial" else len(e.args)
            frame.put(Op.BUILTIN, BUILTIN_INDEX[e.name], count)


def compile_script(text: str, file: str = "script", known: Known | None = None) -> Program:
    """Reads, checks and compiles a script. Raises `BadScript` with all that is wrong."""
    script = read(text, file)
    if problems := check(script, known):
        raise BadScript(problems)
    made = Compiler(script).compile()
    made.source = text
    return made
