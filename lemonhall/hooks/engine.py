"""The scripts of a front: asked in order, cut off, struck out, swapped while sessions play. Pure.

A script that is cut off has said nothing, and gets a strike. Strikes fade, one in `fade_ms`; with `strikes`
of them it is left out until all but one have faded. Scripts in the shadow run behind the others; what they
would have said is counted and traced, and goes nowhere.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

from lemonhall.hooks.advice import Overruled, Ruling, Said, Session, judge
from lemonhall.hooks.checker import Known
from lemonhall.hooks.clock import local
from lemonhall.hooks.code import Program
from lemonhall.hooks.compiler import compile_script
from lemonhall.hooks.machine import Host, Limits, Machine, Run
from lemonhall.hooks.tree import BadScript, Problem
from lemonhall.hooks.vocabulary import POINTS, TIME, WEEKDAY, WEEKDAYS
from lemonhall.hooks.windows import Window

SCRIPTS_MOST = 200
TOLD_MOST = 1000  # different overrulings that are logged, each once


@dataclass(frozen=True)
class EngineLimits:
    """`fuel` and `memory` of one script at one point; `total` fuel of all scripts at one point."""

    fuel: int = 300
    memory: int = 16384
    total: int = 1500
    strikes: float = 3.0
    fade_ms: float = 30_000.0


@dataclass(frozen=True)
class Source:
    name: str
    text: str
    shadow: bool = False


@dataclass
class Script:
    """One loaded script and how it has behaved."""

    source: Source
    program: Program
    windows: list[Window]
    machine: Machine
    strikes: float = 0.0
    struck_at: float = float("-inf")
    out: bool = False
    calls: int = 0
    fuel: int = 0
    words: int = 0
    cuts: Counter[str] = field(default_factory=Counter)

    def fade(self, now_ms: float, fade_ms: float) -> None:
        gone = max(0.0, now_ms - self.struck_at) / fade_ms if self.strikes else 0.0
        left = max(0.0, self.strikes - gone)
        if self.out and left <= 1:
            self.out, self.strikes, self.struck_at = False, left, max(now_ms, self.struck_at)

    def strike(self, now_ms: float, limits: EngineLimits) -> bool:
        """Whether this strike put it out."""
        gone = max(0.0, now_ms - self.struck_at) / limits.fade_ms if self.strikes else 0.0
        self.strikes = max(0.0, self.strikes - gone) + 1
        self.struck_at = max(now_ms, self.struck_at)
        was, self.out = self.out, self.out or self.strikes > limits.strikes - 1
        return self.out and not was


@dataclass(frozen=True)
class Trace:
    """One script at one point for one session."""

    script: str
    point: str
    session: str
    fuel: int
    cut: str
    words: tuple[tuple[str, str, Any, int], ...]
    shadow: bool


@dataclass(frozen=True)
class Event:
    """Something for the log, told once: what happened and its fields."""

    what: str
    fields: dict[str, Any]


class Engine:
    def __init__(self, limits: EngineLimits, known: Known) -> None:
        self.limits, self.known = limits, known
        self.scripts: list[Script] = []
        self.events: list[Event] = []  # for the log; whoever reads them empties it
        self.overruled: Counter[Overruled] = Counter()
        self.metrics: Counter[str] = Counter()
        self.traces: deque[Trace] = deque(maxlen=256)
        self.skipped = 0  # scripts not asked since the others had used the fuel of the point
        self.version = 0
        self.clock = False
        self.now_ms = float("-inf")

    # loading

    def compile(self, source: Source) -> Script:
        """One script, ready to be adopted. Raises `BadScript`."""
        return self.ready(source, compile_script(source.text, source.name, self.known))

    def ready(self, source: Source, program: Program) -> Script:
        """A compiled program with counters and a machine of its own."""
        windows = [Window(c.window_ms) for c in program.counters]
        limits = Limits(self.limits.fuel, self.limits.memory)
        return Script(source, program, windows, Machine(program, limits, windows))

    def adopt(self, scripts: list[Script]) -> None:
        """Puts these in the place of all that were loaded. Raises `BadScript`; then nothing has changed.

        A script of the same name keeps its counters where name, key and window agree; one whose text is the
        same keeps its strikes too.
        """
        names = [s.source.name for s in scripts]
        for name in names:
            if names.count(name) > 1:
                raise BadScript([Problem(name, 1, 1, "is loaded twice", "give it another name")])
        if len(scripts) > SCRIPTS_MOST:
            raise BadScript([Problem(names[SCRIPTS_MOST], 1, 1, f"more than {SCRIPTS_MOST} scripts")])
        old = {s.source.name: s for s in self.scripts}
        for script in scripts:
            if before := old.get(script.source.name):
                inherit(script, before)
        self.scripts = sorted(scripts, key=lambda s: s.source.shadow)  # stable: shadows run last
        self.clock = any(s.program.uses_clock for s in scripts)
        self.version += 1

    def swap(self, sources: list[Source]) -> None:
        """Checks all and adopts them, or raises `BadScript` with every problem and changes nothing."""
        made, problems = [], []
        for source in sources:
            try:
                made.append(self.compile(source))
            except BadScript as error:
                problems += error.problems
        if problems:
            raise BadScript(problems)
        self.adopt(made)

    # asking

    def ask(
        self,
        point: str,
        session: Session,
        facts: list[Any],
        host: Host,
        now_ms: float,
        wall_ms: float,
        name: str = "",
    ) -> Ruling:
        """All scripts in order, and what stands of what they said. Never raises, never blocks.

        `facts`: by index of `vocabulary.FACTS`; time and weekday are filled in here. `now_ms` must not go
        back (it is held if it does); `wall_ms` is Unix time, and may.
        """
        assert point in POINTS
        self.now_ms = now_ms = max(now_ms, self.now_ms)
        said: list[Said] = []
        left = self.limits.total
        for script in self.scripts:
            if not script.program.rules[point]:
                continue
            if script.out:
                script.fade(now_ms, self.limits.fade_ms)
                if script.out:
                    continue
            if left < self.limits.fuel:
                self.skipped += 1
                continue
            if script.program.uses_clock:
                facts[TIME], day = local(script.program.zone, wall_ms)
                facts[WEEKDAY] = WEEKDAYS[day]
            run = script.machine.run(point, facts, host, now_ms)
            left -= run.fuel
            self.account(script, point, run, now_ms, name)
            if not script.source.shadow:
                said += [Said(script.source.name, *word) for word in run.words]
        if not said:
            return Ruling(session.asked)
        ruling = judge(session, said)
        for overruled in ruling.overruled:
            self.note(overruled)
        for label, amount in ruling.metrics:
            self.metrics[label] += amount  # type: ignore[assignment]  # counts may be parts
        return ruling

    def account(self, script: Script, point: str, run: Run, now_ms: float, name: str) -> None:
        script.calls += 1
        script.fuel += run.fuel
        script.words += len(run.words)
        if not run.cut:
            for index, key in run.adds:
                if not script.windows[index].has_room(key, now_ms):
                    run.cut, run.words = "state", []
                    break
            else:
                for index, key in run.adds:
                    script.windows[index].add(key, now_ms)
        if run.words or run.cut:
            words = tuple(run.words)
            self.traces.append(
                Trace(script.source.name, point, name, run.fuel, run.cut, words, script.source.shadow)
            )
        if run.cut:
            script.cuts[run.cut] += 1
            if script.cuts[run.cut] == 1:
                self.tell("script cut off", script=script.source.name, why=run.cut, line=run.cut_line)
            if script.strike(now_ms, self.limits):
                self.tell("script left out", script=script.source.name, strikes=script.strikes)

    def note(self, overruled: Overruled) -> None:
        if overruled not in self.overruled and len(self.overruled) >= TOLD_MOST:
            overruled = Overruled("others", 0, "", "", "")
        self.overruled[overruled] += 1
        if self.overruled[overruled] == 1:
            o = overruled
            self.tell("hook overruled", script=o.script, line=o.line, word=o.word, by=o.by, why=o.why)

    def tell(self, what: str, **fields: Any) -> None:
        if len(self.events) < TOLD_MOST:
            self.events.append(Event(what, fields))

    def report(self) -> list[dict[str, Any]]:
        """How each script has behaved, in their order."""
        return [
            {
                "script": s.source.name,
                "shadow": s.source.shadow,
                "calls": s.calls,
                "fuel": s.fuel,
                "words": s.words,
                "cuts": dict(s.cuts),
                "strikes": round(s.strikes, 2),
                "out": s.out,
            }
            for s in self.scripts
        ]


def inherit(script: Script, before: Script) -> None:
    """Counters survive where they mean the same; a script that did not change keeps its record."""
    kept = {spec: n for n, spec in enumerate(before.program.counters)}
    for n, spec in enumerate(script.program.counters):
        if spec in kept:
            script.windows[n] = before.windows[kept[spec]]
    script.machine.counters = script.windows
    if script.source.text == before.source.text:
        script.strikes, script.struck_at, script.out = before.strikes, before.struck_at, before.out
        script.calls, script.fuel, script.words = before.calls, before.fuel, before.words
        script.cuts = before.cuts
