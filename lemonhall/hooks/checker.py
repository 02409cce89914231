"""The type checker. Finds every problem of a script in one pass; each has a place and, mostly, a fix."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from lemonhall.hooks import tree as t
from lemonhall.hooks.clock import zone_fix
from lemonhall.hooks.reader import DEPTH_MOST, KEYWORDS
from lemonhall.hooks.tree import Problem, nearest
from lemonhall.hooks.vocabulary import (
    BUILTINS,
    FACTS,
    MEASURES,
    OUTCOMES,
    POINTS,
    SCALARS,
    SPECIAL,
    WEEKDAYS,
    WORD_KINDS,
    Builtin,
    Fact,
)

Type = str | tuple[str, ...]  # a scalar's name, ("set", T), ("table", K, V) or "span"
ITEMS_MOST = 1000  # of a set or a table
COUNT_MOST = {"rules": 200, "counters": 32, "functions": 100, "names": 200}
LABEL = re.compile(r"[a-z][a-z0-9_]{0,39}")
FACT_BY_NAME = {f.name: f for f in FACTS}
BUILTIN_BY_NAME = {b.name: b for b in BUILTINS}


@dataclass(frozen=True)
class Known:
    """Names of the settings that a script is checked against; empty: not known, anything goes."""

    classes: tuple[str, ...] = ()
    partners: tuple[str, ...] = ()
    halls: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    routes: tuple[str, ...] = ()
    racks: int = 0
    rungs: int = 0

    def names(self, of: str) -> tuple[str, ...]:
        tables = {
            "class": self.classes,
            "partner": self.partners,
            "hall": self.halls,
            "kind": self.kinds,
            "route": self.routes,
            "weekday": WEEKDAYS,
            "outcome": OUTCOMES,
            "verdict": ("refused", "failed"),
        }
        return tables.get(of, ())


def show(kind: Type | None) -> str:
    if isinstance(kind, tuple):
        return f"{kind[0]} of {' to '.join(kind[1:])}"
    return kind or "?"


def zero(expr: t.Expr) -> bool:
    return isinstance(expr, t.Literal) and expr.kind in MEASURES and expr.value == 0


@dataclass
class Scope:
    """Names in sight, inner over outer; where we are."""

    names: dict[str, Type]
    point: str = ""  # "" outside of a rule
    locals: set[str] = field(default_factory=set)

    def inner(self) -> Scope:
        return Scope(dict(self.names), self.point, set())


class Checker:
    def __init__(self, script: t.Script, known: Known) -> None:
        self.script, self.known = script, known
        self.problems: list[Problem] = []
        self.globals: dict[str, Type] = {}
        self.constants: dict[str, t.Expr] = {}
        self.functions: dict[str, tuple[list[Type], Type]] = {}
        self.counters: dict[str, t.Counter] = {}
        self.later = {i.name for i in script.items if isinstance(i, t.Function | t.Let | t.Counter)}
        self.facts_used: set[str] = set()

    def say(self, at: t.Expr | t.Statement, what: str, fix: str = "") -> None:
        self.problems.append(Problem(self.script.file, at.line, at.column, what, fix))

    def check(self) -> list[Problem]:
        counts = {
            "rules": t.Rule,
            "counters": t.Counter,
            "functions": t.Function,
            "names": t.Let,
        }
        for what, kind in counts.items():
            found = [i for i in self.script.items if isinstance(i, kind)]
            if len(found) > COUNT_MOST[what]:
                self.say(found[COUNT_MOST[what]], f"more than {COUNT_MOST[what]} {what} in a script")
        zones = [i for i in self.script.items if isinstance(i, t.Zone)]
        for extra in zones[1:]:
            self.say(extra, "a second zone", "a script has one time zone")
        for item in self.script.items:
            self.item(item)
        return sorted(self.problems, key=lambda p: (p.line, p.column))

    def item(self, item: t.Statement) -> None:
        if isinstance(item, t.Zone):
            if fix := zone_fix(item.name):
                self.say(item, f"{item.name!r} is no time zone", fix)
        elif isinstance(item, t.Let):
            self.new_name(item, item.name)
            kind = self.expr(item.value, Scope({**self.globals}))
            if kind:
                self.globals[item.name] = kind
                self.constants[item.name] = item.value
        elif isinstance(item, t.Counter):
            self.new_name(item, item.name)
            if item.by and item.by not in SCALARS:
                self.say(item, f"{item.by!r} is no type of a key", nearest(item.by, list(SCALARS)))
            self.window(item, item.window)
            self.counters[item.name] = item
        elif isinstance(item, t.Function):
            self.function(item)
        elif isinstance(item, t.Rule):
            if item.point not in POINTS:
                self.say(item, f"{item.point!r} is no point", nearest(item.point, list(POINTS)))
                return
            scope = Scope({**self.globals}, item.point)
            if item.when is not None:
                self.flag(item.when, scope, "when")
            self.block(item.block, scope, 1)

    def window(self, at: t.Statement, window: t.Literal) -> None:
        if window.kind != "duration":
            self.say(window, f"a window is a duration, not a {window.kind}", "as in 10s")
        elif not 1000 <= float(window.value) <= 3_600_000:
            self.say(window, "a window is at least 1s and at most 1h")

    def new_name(self, at: t.Statement, name: str, scope: Scope | None = None) -> None:
        taken = name in self.globals or name in self.counters or name in self.functions
        if name in KEYWORDS:
            self.say(at, f"{name!r} is a word of the language", "take another name")
        elif name in FACT_BY_NAME:
            self.say(at, f"{name!r} is a fact", "take another name")
        elif name in BUILTIN_BY_NAME or name in SPECIAL:
            self.say(at, f"{name!r} is a function of the language", "take another name")
        elif taken or (scope and name in scope.locals):
            self.say(at, f"{name!r} stands twice", "take another name")

    def function(self, item: t.Function) -> None:
        self.new_name(item, item.name)
        names: dict[str, Type] = {**self.globals}
        types: list[Type] = []
        for name, kind in item.params:
            if kind not in SCALARS:
                self.say(item, f"{kind!r} is no type", nearest(kind, list(SCALARS)))
                kind = "text"
            self.new_name(item, name)
            names[name] = kind
            types.append(kind)
        if len({n for n, _ in item.params}) < len(item.params):
            self.say(item, f"{item.name} names a parameter twice")
        gives = self.expr(item.body, Scope(names, "*"))
        self.functions[item.name] = (types, gives or "?")

    # statements

    def block(self, block: t.Block, scope: Scope, depth: int) -> None:
        inner = scope.inner()
        for statement in block.statements:
            self.statement(statement, inner, depth)

    def statement(self, s: t.Statement, scope: Scope, depth: int) -> None:
        if depth > DEPTH_MOST:
            self.say(s, f"nested deeper than {DEPTH_MOST}")
        elif isinstance(s, t.Let):
            self.new_name(s, s.name, scope)
            kind = self.expr(s.value, scope)
            scope.names[s.name] = kind or "?"
            scope.locals.add(s.name)
        elif isinstance(s, t.If):
            self.flag(s.condition, scope, "if")
            self.block(s.then, scope, depth + 1)
            if isinstance(s.other, t.If):
                self.statement(s.other, scope, depth)
            elif s.other:
                self.block(s.other, scope, depth + 1)
        elif isinstance(s, t.For):
            over = self.expr(s.over, scope)
            inner = scope.inner()
            self.new_name(s, s.name)
            if isinstance(over, tuple):
                inner.names[s.name] = over[1]
            else:
                inner.names[s.name] = "?"
                if over and over != "?":
                    self.say(s.over, f"{show(over)} cannot be gone through", "a set or a table can")
            inner.locals.add(s.name)
            self.block(s.block, inner, depth + 1)
        elif isinstance(s, t.Word):
            self.word(s, scope)

    def word(self, s: t.Word, scope: Scope) -> None:
        if s.kind == "add":
            self.counter_key(s, s.target, s.key, scope)
            return
        name = f"{s.kind} {s.target}" if s.kind in ("prefer", "avoid", "cap", "ask", "count") else s.kind
        kind = WORD_KINDS.get(name)
        if kind is None:
            self.say(s, f"{name!r} is no word", nearest(name, list(WORD_KINDS)))
            return
        if scope.point not in kind.points:
            where = " or ".join(p for p in POINTS if p in kind.points)
            self.say(s, f"{name} cannot be said at {scope.point}", f"it may stand at {where}")
        if s.kind in ("log", "metric") and not LABEL.fullmatch(s.target):
            self.say(s, f"{s.target[:40]!r} is no label", "small letters, digits and _, at most 40")
        if s.kind == "limit":
            if not 0 < len(s.target) <= 64:
                self.say(s, "the name of a limit has 1 to 64 letters")
            assert s.window
            self.window(s, s.window)
            if s.key is not None:
                self.scalar(s.key, scope)
        if s.value is not None:
            found = self.expr(s.value, scope)
            if kind.takes == "any":
                if found not in (*SCALARS, "?", None):
                    self.say(s.value, f"{name} takes a single value, not a {show(found)}")
            else:
                self.expect(s.value, found, kind.takes, name)
            self.name_of(s.value, {"prefer": s.target, "avoid": s.target, "count": "class"}.get(s.kind, ""))
            self.bounds(s)

    def bounds(self, s: t.Word) -> None:
        """Numbers that are plainly out of the settings' range."""
        if not (isinstance(s.value, t.Literal) and isinstance(s.value.value, float)):
            return
        value, known = s.value.value, self.known
        if s.target == "rung" and known.rungs and not 0 <= value < known.rungs:
            self.say(s.value, f"there is no rung {value:g}", f"rungs are 0 to {known.rungs - 1}")
        if s.target == "rack" and known.racks and not 0 <= value < known.racks:
            self.say(s.value, f"there is no rack {value:g}", f"racks are 0 to {known.racks - 1}")

    # expressions

    def flag(self, e: t.Expr, scope: Scope, what: str) -> None:
        self.expect(e, self.expr(e, scope), "flag", what)

    def scalar(self, e: t.Expr, scope: Scope) -> None:
        found = self.expr(e, scope)
        if found not in (*SCALARS, "?", None):
            self.say(e, f"a key is a single value, not a {show(found)}")

    def expect(self, e: t.Expr, found: Type | None, wanted: Type, what: str) -> bool:
        if found in (wanted, "?", None):
            return True
        fix = ""
        if found == "number" and wanted in MEASURES and isinstance(e, t.Literal):
            fix = {"duration": f"write {e.source}s", "share": f"write {e.source}%"}.get(str(wanted), "")
        elif found == "text" and wanted == "flag":
            fix = "compare it: == or !="
        self.say(e, f"{what} takes a {show(wanted)}, not a {show(found)}", fix)
        return False

    def expr(self, e: t.Expr, scope: Scope) -> Type | None:
        """The type of an expression; None where a problem was found in it."""
        kind = self._expr(e, scope)
        e.type = kind
        return kind

    def _expr(self, e: t.Expr, scope: Scope) -> Type | None:
        if isinstance(e, t.Literal):
            return e.kind
        if isinstance(e, t.Span):
            return "span"
        if isinstance(e, t.SetOf):
            return self.set_of(e, scope)
        if isinstance(e, t.Table):
            return self.table(e, scope)
        if isinstance(e, t.Name):
            return self.name(e, scope)
        if isinstance(e, t.Call):
            return self.call(e, scope)
        if isinstance(e, t.Unary):
            return self.unary(e, scope)
        assert isinstance(e, t.Binary)
        return self.binary(e, scope)

    def items(self, items: list[t.Expr], scope: Scope, what: str) -> Type | None:
        if len(items) > ITEMS_MOST:
            self.say(items[ITEMS_MOST], f"more than {ITEMS_MOST} {what}")
        kinds = []
        for item in items:
            if not isinstance(item, t.Literal):
                self.say(item, f"{what} are written out", "a number, a text, a time or a flag")
            else:
                kinds.append(self.expr(item, scope))
                if kinds[-1] != kinds[0]:
                    self.say(item, f"{what} of one kind: a {show(kinds[0])} came first")
        return kinds[0] if kinds else None

    def set_of(self, e: t.SetOf, scope: Scope) -> Type | None:
        kind = self.items(e.items, scope, "members of a set")
        return ("set", str(kind)) if kind else None

    def table(self, e: t.Table, scope: Scope) -> Type | None:
        key = self.items([k for k, _ in e.entries], scope, "keys of a table")
        value = self.items([v for _, v in e.entries], scope, "values of a table")
        seen: set[object] = set()
        for k, _ in e.entries:
            if isinstance(k, t.Literal):
                if k.value in seen:
                    self.say(k, f"{k.source} stands twice in the table")
                seen.add(k.value)
        return ("table", str(key), str(value)) if key and value else None

    def name(self, e: t.Name, scope: Scope) -> Type | None:
        if e.name in scope.names:
            return scope.names[e.name]
        if fact := FACT_BY_NAME.get(e.name):
            return self.fact(e, fact, scope)
        if e.name in self.counters:
            self.say(e, f"{e.name} is a counter", f"write count({e.name})")
        elif e.name in self.functions or e.name in BUILTIN_BY_NAME:
            self.say(e, f"{e.name} is a function", f"write {e.name}(...)")
        elif e.name in self.later:
            self.say(e, f"{e.name} is used before it is defined", "move its definition up")
        else:
            names = [*scope.names, *FACT_BY_NAME]
            self.say(e, f"nothing is called {e.name[:40]}", nearest(e.name, names))
        return None

    def fact(self, e: t.Name, fact: Fact, scope: Scope) -> Type | None:
        if not scope.point:
            self.say(e, f"{e.name} is a fact of a session", "names outside of rules hold what never changes")
            return None
        if scope.point == "*" and fact.points != frozenset(POINTS):
            self.say(e, f"{e.name} is not known at every point", "give it to the function as a parameter")
            return None
        if scope.point != "*" and scope.point not in fact.points:
            where = " or ".join(p for p in POINTS if p in fact.points)
            self.say(e, f"{e.name} is not known at {scope.point}", f"it is at {where}")
            return None
        self.facts_used.add(fact.name)
        return fact.type

    def counter_key(self, at: t.Statement | t.Expr, name: str, key: t.Expr | None, scope: Scope) -> None:
        counter = self.counters.get(name)
        if not scope.point:
            self.say(at, "counters are for rules", "names outside of rules hold what never changes")
        if counter is None:
            self.say(at, f"no counter is called {name[:40]}", nearest(name, list(self.counters)))
            return
        if bool(counter.by) != (key is not None):
            wrong = "needs a key" if counter.by else "has no key"
            self.say(at, f"counter {name} {wrong}")
        if key is not None:
            self.expect(key, self.expr(key, scope), counter.by or "?", f"counter {name}")

    def call(self, e: t.Call, scope: Scope) -> Type | None:
        if e.name == "count":
            if not e.args or len(e.args) > 2 or not isinstance(e.args[0], t.Name):
                self.say(e, "count takes a counter, and its key if it has one", SPECIAL["count"])
                return None
            self.counter_key(e, e.args[0].name, e.args[1] if len(e.args) > 1 else None, scope)
            return "number"
        if e.name == "choose":
            if len(e.args) != 3:
                self.say(e, "choose takes three values", SPECIAL["choose"])
                return None
            self.flag(e.args[0], scope, "choose")
            kinds = [self.expr(a, scope) for a in e.args[1:]]
            if None not in kinds and "?" not in kinds and kinds[0] != kinds[1]:
                self.say(e, f"choose between a {show(kinds[0])} and a {show(kinds[1])}", "both of one kind")
            return kinds[0]
        if e.name in self.functions:
            takes, gives = self.functions[e.name]
            if len(takes) != len(e.args):
                self.say(e, f"{e.name} takes {len(takes)} values, not {len(e.args)}")
            for arg, wanted in zip(e.args, takes, strict=False):
                self.expect(arg, self.expr(arg, scope), wanted, e.name)
            return gives
        if builtin := BUILTIN_BY_NAME.get(e.name):
            return self.builtin(e, builtin, scope)
        if e.name in self.later:
            self.say(
                e, f"{e.name} is used before it is defined", "no function can call itself, nor later ones"
            )
        else:
            names = [*self.functions, *BUILTIN_BY_NAME, *SPECIAL]
            self.say(e, f"no function is called {e.name[:40]}", nearest(e.name, names))
        return None

    def builtin(self, e: t.Call, b: Builtin, scope: Scope) -> Type | None:
        kinds = [self.expr(a, scope) for a in e.args]
        least = len(b.takes) - b.optional
        if not least <= len(kinds) <= len(b.takes):
            many = f"{least}" if not b.optional else f"{least} to {len(b.takes)}"
            self.say(e, f"{b.name} takes {many} values, not {len(kinds)}", b.says)
            return None
        if not scope.point and b.name in ("load", "refusals", "trial"):
            self.say(e, f"{b.name} is for rules", "names outside of rules hold what never changes")
        table = kinds[0] if isinstance(kinds[0], tuple) and kinds[0][0] == "table" else None
        for arg, kind, wanted in zip(e.args, kinds, b.takes, strict=False):
            if kind is None or kind == "?":
                continue
            if wanted == "table":
                if table is None:
                    self.say(arg, f"{b.name} takes a table, not a {show(kind)}")
            elif wanted in ("K", "V"):
                if table:
                    self.expect(arg, kind, table[1 if wanted == "K" else 2], b.name)
            elif wanted == "same":
                if kind not in MEASURES:
                    self.say(arg, f"{b.name} takes a measure, not a {show(kind)}")
                elif kinds[0] in MEASURES and kind != kinds[0]:
                    self.say(arg, f"{b.name} of a {show(kinds[0])} and a {show(kind)}", "both of one kind")
            elif wanted == "any":
                if kind not in SCALARS:
                    self.say(arg, f"{b.name} takes a single value, not a {show(kind)}")
            else:
                self.expect(arg, kind, wanted, b.name)
        if b.name == "load" and e.args:
            self.name_of(e.args[0], "hall")
        if b.name == "refusals" and e.args and isinstance(e.args[0], t.Literal):
            back = e.args[0]
            if back.kind == "duration" and float(back.value) > 60_000:
                self.say(back, "refusals are kept for 60s", "write 60s or less")
        if b.gives == "V":
            return table[2] if table else None
        return kinds[0] if b.gives == "same" else b.gives

    def unary(self, e: t.Unary, scope: Scope) -> Type | None:
        kind = self.expr(e.value, scope)
        if e.op == "not":
            self.expect(e.value, kind, "flag", "not")
            return "flag"
        if kind not in (*MEASURES, "?", None):
            self.say(e, f"a {show(kind)} has no minus")
            return None
        return kind

    def binary(self, e: t.Binary, scope: Scope) -> Type | None:
        left, right = self.expr(e.left, scope), self.expr(e.right, scope)
        if e.op in ("and", "or"):
            self.expect(e.left, left, "flag", e.op)
            self.expect(e.right, right, "flag", e.op)
            return "flag"
        if e.op in ("in", "not in"):
            return self.member(e, left, right)
        if left in (None, "?") or right in (None, "?"):
            return "flag" if e.op in ("==", "!=", "<", "<=", ">", ">=") else None
        if e.op in ("==", "!="):
            if left not in SCALARS or right not in SCALARS or left != right:
                self.mismatch(e, left, right)
            self.compared(e)
            return "flag"
        if e.op in ("<", "<=", ">", ">="):
            if left != right or left not in (*MEASURES, "time"):
                self.mismatch(e, left, right)
            return "flag"
        return self.arithmetic(e, left, right)

    def mismatch(self, e: t.Binary, left: Type | None, right: Type | None) -> None:
        fix = ""
        if isinstance(e.right, t.Literal) and right == "number" and left in ("duration", "share"):
            fix = f"write {e.right.source}{'s' if left == 'duration' else '%'}"
        elif left == right and e.op not in ("==", "!="):
            fix = "only numbers, measures and times have an order"
        self.say(e, f"a {show(left)} {e.op} a {show(right)} means nothing", fix)

    def member(self, e: t.Binary, left: Type | None, right: Type | None) -> Type:
        if right == "span":
            if left not in ("time", "?", None):
                self.say(e.left, f"a {show(left)} cannot lie in a span of times")
        elif isinstance(right, tuple):
            if left not in (right[1], "?", None):
                self.say(e.left, f"a {show(left)} cannot be in a {show(right)}")
            found = self.constants.get(e.right.name) if isinstance(e.right, t.Name) else e.right
            if isinstance(e.left, t.Name) and isinstance(found, t.SetOf):
                for item in found.items:
                    self.name_of(item, e.left.name)
        elif right not in ("?", None):
            fix = "write contains(...)" if right == "text" else ""
            self.say(e.right, f"nothing can be in a {show(right)}", fix)
        return "flag"

    def arithmetic(self, e: t.Binary, left: Type, right: Type) -> Type | None:
        if e.op in "*/" and zero(e.right) and e.op == "/":
            self.say(e.right, "a division by zero")
            return None
        if e.op in "+-":
            if left == right and (left in MEASURES or (left == "text" and e.op == "+")):
                return left
        elif e.op == "*" and left in MEASURES and right in MEASURES:
            for one, other in ((left, right), (right, left)):
                if one in ("number", "share") and (one == "number" or other != "number"):
                    return other
            if {left, right} == {"number", "share"}:
                return "share"
        elif e.op == "/" and left in MEASURES and right in MEASURES:
            if left == right:
                return "number"
            if right == "number":
                return left
        self.mismatch(e, left, right)
        return None

    def compared(self, e: t.Binary) -> None:
        """A fact held against a text that it can never be."""
        for one, other in ((e.left, e.right), (e.right, e.left)):
            if isinstance(one, t.Name) and one.name in FACT_BY_NAME:
                self.name_of(other, one.name)

    def name_of(self, e: t.Expr | None, of: str) -> None:
        names = self.known.names(of)
        if names and isinstance(e, t.Literal) and e.kind == "text" and e.value not in names:
            self.say(e, f"{e.source[:60]} is no {of}", nearest(str(e.value), list(names)))


def check(script: t.Script, known: Known | None = None) -> list[Problem]:
    """All problems of a script, in the order of their places; none: it can be compiled."""
    return Checker(script, known or Known()).check()
