"""Hooks in the front: facts in, rulings out, scripts loaded while sessions play.

What a script may say and what becomes of it is `lemonhall.hooks`; here is only what needs files, a child
process and the front's own sights. A new set of scripts is read and compiled in a process of its own, then
adopted between two passes of the loop, all or nothing.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import asdict
from typing import Any, Protocol

import structlog

from lemonhall import interface as i
from lemonhall.config.settings import FrontSettings
from lemonhall.hooks import BadScript, Engine, EngineLimits, Known, Problem, Source
from lemonhall.hooks.advice import Ruling, Session
from lemonhall.hooks.code import Program
from lemonhall.hooks.vocabulary import FACTS
from lemonhall.hooks.windows import Lately
from lemonhall.problem import BadInput
from lemonhall.seam import Asked

log = structlog.get_logger("lemonhall.front")
HEARD_MS = 30_000.0  # a report of a link's use is believed for so long
LOAD_EVERY_MS = 200.0  # the use of a hall is worked out anew this often
NAMES = [f.name for f in FACTS]


def hook_names(settings: FrontSettings) -> Known:
    """Names that scripts are checked against."""
    t = settings.terms
    return Known(
        classes=t.class_names,
        partners=t.tenant_names,
        halls=t.halls,
        kinds=t.kind_names,
        routes=tuple(r.prefix for r in t.routes),
        racks=t.racks,
        rungs=len(t.ladder_kb),
    )


def read_hook_sources(settings: FrontSettings) -> list[Source]:
    """All scripts of the settings, in their order. Raises `BadInput` if one cannot be read."""
    sources = []
    for entry in settings.hooks.files:
        paths = sorted(entry.path.glob("*.hook")) if entry.folder else [entry.path]
        for path in paths:
            try:
                text = path.read_bytes().decode()
            except OSError as error:
                raise BadInput(str(path), error.strerror or "cannot be read") from error
            except UnicodeDecodeError as error:
                raise BadInput(str(path), f"not UTF-8 at byte {error.start}") from error
            sources.append(Source(path.name, text, entry.shadow))
    return sources


class Builder(Protocol):
    """Whoever reads and compiles elsewhere. `ask` raises `OSError` if nobody can."""

    def ask(self, job: tuple[Any, ...], done: Callable[[Any], None]) -> None: ...


class Subject(Protocol):
    """What a ruling is about."""

    said: Asked
    attempts: int


class HookRunner:
    """`servers` gives the box list; `now_ms` does not go back, `wall_ms` is Unix time and may."""

    def __init__(
        self,
        builder: Builder,
        settings: FrontSettings,
        servers: Callable[[], list[i.Server]],
        sessions: Callable[[], int],
        now_ms: Callable[[], float],
        wall_ms: Callable[[], float],
    ) -> None:
        self.settings, self.servers, self.sessions = settings, servers, sessions
        self.now_ms, self.wall_ms = now_ms, wall_ms
        h = settings.hooks
        limits = EngineLimits(h.fuel, h.memory, h.total, h.strikes, h.fade_ms)
        self.engine = Engine(limits, hook_names(settings))
        self.refusal_times = Lately()
        self.uses: dict[int, tuple[float, float]] = {}  # of a server's link: use, when heard
        self.loads: dict[str, tuple[float, float]] = {}  # of a hall: use, when worked out
        self.builder = builder
        self.building = self.again = False
        self.reloads = self.rejected_loads = 0
        self.on_load: Callable[[bool], object] = lambda fine: None  # told of the end of each reload
        self.judged: dict[tuple[int, bool], Session] = {}

    # loading

    def load(self) -> None:
        """Reads and compiles all scripts here and now. Raises `BadInput` with every problem."""
        try:
            self.engine.swap(read_hook_sources(self.settings))
        except BadScript as error:
            raise BadInput(error.problems[0].file, "\n".join(map(str, error.problems))) from error

    def start(self) -> None:
        """A front comes up whatever its scripts: without any of them, and saying so, if one is bad."""
        try:
            self.load()
        except BadInput as error:
            self.reject_load(str(error).split("\n"))

    def reload(self) -> None:
        """Reads the scripts anew, beside what plays; one reload at a time, the last one asked for counts."""
        if self.building:
            self.again = True
            return
        try:
            sources = read_hook_sources(self.settings)
            self.builder.ask(
                ("hooks", sources, self.engine.known), lambda result: self.on_compiled(sources, result)
            )
            self.building = True
        except (BadInput, OSError) as error:
            self.reject_load([str(error)])

    def on_compiled(self, sources: list[Source], result: tuple[list[Program], list[Problem]] | None) -> None:
        self.building = False
        programs, problems = result or ([], [Problem("hooks", 0, 0, "the scripts could not be compiled")])
        if problems:
            self.reject_load([str(p) for p in problems])
        else:
            try:
                pairs = zip(sources, programs, strict=True)
                self.engine.adopt([self.engine.ready(source, program) for source, program in pairs])
                self.reloads += 1
                names = [s.name for s in sources]
                log.info("hooks loaded", scripts=names[:50], version=self.engine.version)
                self.on_load(True)
            except BadScript as error:
                self.reject_load([str(p) for p in error.problems])
        if self.again:
            self.again = False
            self.reload()

    def apply_settings(self, settings: FrontSettings) -> None:
        """Other settings from now on; the scripts are read anew under them."""
        self.settings = settings
        h = settings.hooks
        self.engine.limits = EngineLimits(h.fuel, h.memory, h.total, h.strikes, h.fade_ms)
        self.engine.known = hook_names(settings)
        self.judged.clear()
        self.reload()

    def reject_load(self, problems: list[str]) -> None:
        self.rejected_loads += 1
        log.error("hooks refused, the old ones stay", problems=problems[:20])
        self.on_load(False)

    # what the front sees

    def on_link_use(self, server: int, use: float) -> None:
        """A server's link use, as it was reported."""
        if self.engine.scripts and 0 <= use < float("inf"):
            self.uses[server] = (use, self.now_ms())

    def zone_load(self, hall: str) -> float:
        now = self.now_ms()
        use, at = self.loads.get(hall, (0.0, float("-inf")))
        if now - at < LOAD_EVERY_MS or hall not in self.settings.terms.halls:
            return use
        zone = self.settings.terms.halls.index(hall)
        heard = [self.uses[s.id] for s in self.servers() if s.zone == zone and s.id in self.uses]
        fresh = [use for use, when in heard if now - when < HEARD_MS]
        use = sum(fresh) / len(fresh) if fresh else 0.0
        self.loads[hall] = (use, now)
        return use

    def refusals(self, window_ms: float) -> float:
        return float(self.refusal_times.count(window_ms, self.now_ms()))

    # asking; the machine's host is a part of this one

    def run(self, point: str, subject: Subject, moved: bool, **more: Any) -> Ruling:
        """What the scripts say of a session at a point. `more`: facts that are known only there."""
        asked = subject.said
        if not self.engine.scripts:
            return Ruling(asked.cls)
        terms = self.settings.terms
        key = (asked.cls, moved)
        if key not in self.judged:
            self.judged[key] = Session(asked.cls, moved, terms.classes, self.engine.known, terms.max_pause_ms)
        cls = terms.classes[asked.cls]
        facts = {
            "class": terms.class_names[asked.cls],
            "partner": terms.tenant_names[asked.tenant] if terms.tenant_names else "",
            "title": asked.path.partition("?")[0],
            "route": asked.route,
            "hall": terms.halls[self.settings.hall],
            "viewer": asked.viewer_name,
            "paid": cls.repeat is not i.Repeat.SAFE,
            "again": asked.again,
            "moved": moved,
            "rung": float(asked.top),
            "floor": float(cls.floor),
            "sessions": float(self.sessions()),
            "attempt": float(subject.attempts),
            **more,
        }
        ruling = self.engine.ask(
            point,
            self.judged[key],
            [facts.get(name) for name in NAMES],
            Sight(self),
            self.now_ms(),
            self.wall_ms(),
            asked.session,
        )
        if ruling.log:
            log.info("session", session=asked.session, point=point, **{"class": facts["class"]}, **ruling.log)
        if self.engine.events:
            for event in self.engine.events:
                log.warning(event.what, **event.fields)
            self.engine.events.clear()
        return ruling

    def page(self) -> tuple[int, str, bytes]:
        """How the scripts behave, what was overruled, and the last that were heard."""
        e = self.engine
        overruled = [{**asdict(o), "times": n} for o, n in e.overruled.most_common(100)]
        traces = [asdict(t) for t in list(e.traces)[-50:]]
        shown = {
            "version": e.version,
            "loaded": self.reloads,
            "refused": self.rejected_loads,
            "skipped": e.skipped,
            "scripts": e.report(),
            "overruled": overruled,
            "traces": traces,
        }
        return 200, "application/json", json.dumps(shown).encode() + b"\n"


class Sight:
    """The machine's host: what a script may look at of the front."""

    def __init__(self, hooks: HookRunner) -> None:
        self.hooks = hooks

    def load(self, hall: str) -> float:
        return self.hooks.zone_load(hall)

    def refusals(self, window_ms: float) -> float:
        return self.hooks.refusals(window_ms)
