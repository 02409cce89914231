"""The machine: runs the rules of one script at one point, on fuel and a memory cap.

Each instruction costs one unit of fuel, work on texts one more for every 32 letters. Texts and words that are
made count against the memory of the call. What a run would add to counters is handed out, not done: a run
that is cut off leaves nothing behind.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

import xxhash

from lemonhall.hooks.code import Op, Program, RuleCode
from lemonhall.hooks.vocabulary import BUILTINS, FACT_INDEX
from lemonhall.hooks.windows import Window

LARGEST = 1e18  # numbers beyond it are an error, not infinity
LETTERS_A_FUEL = 32
WORD_BYTES = 64
NAMES = [b.name for b in BUILTINS]
VIEWER = FACT_INDEX["viewer"]


class Host(Protocol):
    """What the front knows beside the session."""

    def load(self, hall: str) -> float: ...
    def refusals(self, window_ms: float) -> float: ...


class Nowhere:
    """A host that knows nothing."""

    def load(self, hall: str) -> float:
        return 0.0

    def refusals(self, window_ms: float) -> float:
        return 0.0


@dataclass
class Limits:
    fuel: int = 300  # instructions of one script at one point
    memory: int = 16384  # bytes of texts and words made in it


@dataclass
class Run:
    """What one script said: `(word, label, value, line)` in order, additions to counters, what it cost."""

    words: list[tuple[str, str, Any, int]] = field(default_factory=list)
    adds: list[tuple[int, Any]] = field(default_factory=list)
    fuel: int = 0
    memory: int = 0
    cut: str = ""  # why it was cut off: fuel, memory, arithmetic; "" if it ended
    cut_line: int = 0


class Cut(Exception):
    pass


def shown(kind: object, value: Any) -> str:
    """A value as text; the same on every machine."""
    if kind == "flag":
        return "true" if value else "false"
    if kind == "time":
        return f"{int(value // 3600):02d}:{int(value // 60 % 60):02d}:{int(value % 60):02d}"
    if kind == "duration":
        return f"{value / 1000:.12g}s"
    if kind == "share":
        return f"{value * 100:.12g}%"
    if kind == "rate":
        return f"{value:.12g}kBps"
    return f"{value:.12g}" if kind == "number" else str(value)


def in_trial(name: str, share: float, key: str) -> bool:
    """A stable draw: the same viewers on every front, whatever its seed (XXH3)."""
    return xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode(errors="replace")) / 2.0**64 < share


class Machine:
    """Runs one program. `counters` are its windows, by index."""

    def __init__(self, program: Program, limits: Limits, counters: list[Window]) -> None:
        self.program, self.limits, self.counters = program, limits, counters

    def run(self, point: str, facts: list[Any], host: Host, now_ms: float) -> Run:
        """All rules of the point, in order. Never raises; what goes wrong is told in `cut`."""
        made = Run()
        fuel = self.limits.fuel
        rule = None
        try:
            for rule in self.program.rules[point]:
                fuel = self.rule(rule, facts, host, now_ms, fuel, made)
        except (Cut, ZeroDivisionError) as why:
            made.cut = str(why) if isinstance(why, Cut) else "arithmetic"
            made.cut_line = rule.line if rule else 0
            made.words, made.adds = [], []
            fuel = 0 if made.cut == "fuel" else fuel
        made.fuel = self.limits.fuel - fuel
        return made

    def charge(self, made: Run, size: int) -> None:
        made.memory += size
        if made.memory > self.limits.memory:
            raise Cut("memory")

    def counted(self, index: int, key: Any, now_ms: float, made: Run) -> float:
        pending = sum(1 for at, k in made.adds if at == index and k == key)
        return float(self.counters[index].count(key, now_ms) + pending)

    def rule(self, rule: RuleCode, facts: list[Any], host: Host, now_ms: float, fuel: int, made: Run) -> int:
        """One rule; the fuel that is left. Raises `Cut`."""
        code, pc = rule.code, 0
        local: list[Any] = [None] * rule.slots
        stack: list[Any] = []
        push, pop = stack.append, stack.pop
        frames: list[tuple[Any, int, list[Any]]] = []
        while True:
            op, a, b = code[pc]
            pc += 1
            fuel -= 1
            if fuel < 0:
                raise Cut("fuel")
            if op < 4:
                if op == Op_FACT_IS:
                    push(facts[a] == b)
                elif op == Op_CONST:
                    push(a)
                elif op == Op_FACT:
                    push(facts[a])
                else:  # JUMP_IF_NOT
                    if not pop():
                        pc = a
            elif op < 8:
                if op == Op_AND:
                    if stack[-1]:
                        pop()
                    else:
                        pc = a
                elif op == Op_OR:
                    if stack[-1]:
                        pc = a
                    else:
                        pop()
                elif op == Op_LOCAL:
                    push(local[a])
                else:  # IN
                    group = pop()
                    value = pop()
                    push(lies_in(value, group) if type(group) is tuple else value in group)
            elif op < 12:
                if op == Op_IN_SPAN:
                    push(lies_in(pop(), (a, b)))
                elif op == Op_COMPARE:
                    right = pop()
                    push(a(pop(), right))
                elif op == Op_JUMP:
                    pc = a
                else:  # SET
                    local[a] = pop()
            elif op < 16:
                if op == Op_NOT:
                    push(not pop())
                elif op == Op_ARITH:
                    right = pop()
                    value = a(pop(), right)
                    if not -LARGEST < value < LARGEST:
                        raise Cut("arithmetic")
                    push(value)
                elif op == Op_JOIN:
                    right = pop()
                    joined = pop() + right
                    fuel -= len(joined) // LETTERS_A_FUEL
                    self.charge(made, len(joined))
                    push(joined)
                else:  # NEG
                    push(-pop())
            elif op < 20:
                if op == Op_COUNT:
                    push(self.counted(a, pop() if b else None, now_ms, made))
                elif op == Op_ADD:
                    self.charge(made, WORD_BYTES)
                    made.adds.append((a, pop() if b else None))
                elif op == Op_WORD:
                    word, label, line = a
                    value = pop() if b else 1.0
                    self.charge(made, WORD_BYTES + (len(value) if type(value) is str else 0))
                    made.words.append((word, label, value, line))
                else:  # LIMIT
                    index, name, line = a
                    key = pop() if b else None
                    most = pop()
                    self.charge(made, WORD_BYTES)
                    if self.counted(index, key, now_ms, made) + 1 > most:
                        made.words.append(("limit", name, most, line))
                    else:
                        made.adds.append((index, key))
            else:
                if op == Op_BUILTIN:
                    args = stack[len(stack) - b :]
                    del stack[len(stack) - b :]
                    fuel -= sum(len(v) // LETTERS_A_FUEL for v in args if type(v) is str)
                    if fuel < 0:
                        raise Cut("fuel")
                    value = self.builtin(NAMES[a], args, host)
                    if type(value) is str:
                        self.charge(made, len(value))
                    push(value)
                elif op == Op_TEXT_OF:
                    text = shown(a, pop())
                    self.charge(made, len(text))
                    push(text)
                elif op == Op_CALL:
                    callee, slots = self.program.functions[a]
                    frames.append((code, pc, local))
                    local = stack[len(stack) - b :] + [None] * (slots - b)
                    del stack[len(stack) - b :]
                    code, pc = callee, 0
                elif op == Op_RETURN:
                    if not frames:
                        return fuel
                    code, pc, local = frames.pop()
                elif op == Op_ITER:
                    local[a], local[a + 1] = list(pop()), 0
                    fuel -= len(local[a]) // LETTERS_A_FUEL
                else:  # NEXT
                    at = local[a + 1]
                    if at < len(local[a]):
                        local[a + 2], local[a + 1] = local[a][at], at + 1
                    else:
                        pc = b

    def builtin(self, name: str, args: list[Any], host: Host) -> Any:
        if name == "trial":
            return in_trial(args[0], args[1], args[2])
        if name == "load":
            return host.load(args[0])
        if name == "refusals":
            return host.refusals(args[0])
        if name == "get":
            return args[0].get(args[1], args[2])
        return PLAIN[name](*args)


PLAIN: dict[str, Any] = {
    "starts": lambda x, y: x.startswith(y),
    "ends": lambda x, y: x.endswith(y),
    "contains": lambda x, y: y in x,
    "length": lambda x: float(len(x)),
    "lower": lambda x: x.lower(),
    "min": lambda x, y: min(x, y),
    "max": lambda x, y: max(x, y),
    "abs": abs,
    "floor": lambda x: float(x // 1),
}


def lies_in(at: float, span: tuple[float, float]) -> bool:
    """Whether a second of the day lies in a span; from the first on, up to the second, across midnight."""
    low, high = span
    return low <= at < high if low < high else at >= low or at < high


# plain numbers: a look-up of an enum's member in the loop costs as much as the instruction
Op_FACT_IS, Op_CONST, Op_FACT, Op_JUMP_IF_NOT = map(int, (Op.FACT_IS, Op.CONST, Op.FACT, Op.JUMP_IF_NOT))
Op_AND, Op_OR, Op_LOCAL, Op_IN, Op_IN_SPAN = map(int, (Op.AND, Op.OR, Op.LOCAL, Op.IN, Op.IN_SPAN))
Op_COMPARE, Op_JUMP, Op_SET, Op_NOT, Op_ARITH = map(int, (Op.COMPARE, Op.JUMP, Op.SET, Op.NOT, Op.ARITH))
Op_JOIN, Op_NEG, Op_COUNT, Op_ADD, Op_WORD = map(int, (Op.JOIN, Op.NEG, Op.COUNT, Op.ADD, Op.WORD))
Op_LIMIT, Op_BUILTIN, Op_TEXT_OF, Op_CALL = map(int, (Op.LIMIT, Op.BUILTIN, Op.TEXT_OF, Op.CALL))
Op_RETURN, Op_ITER = int(Op.RETURN), int(Op.ITER)
