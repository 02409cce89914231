"""Runs hook scripts in the front: supplies their facts, returns their rulings, and reloads them at run time.

The script language and its engine are `lemonhall.hooks`; this module adds what needs files, a child process
or the state of the front. A new set of scripts is compiled in a child process and then replaces the old set
between two passes of the event loop, as a whole or not at all.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import asdict
from typing import Any, Protocol

import structlog

from lemonhall import interface
from lemonhall.config.settings import FrontSettings
from lemonhall.hooks import BadScript, Engine, EngineLimits, Known, Problem, Source
from lemonhall.hooks.advice import Ruling, Session
from lemonhall.hooks.code import Program
from lemonhall.hooks.vocabulary import FACTS
from lemonhall.hooks.windows import Lately
from lemonhall.ipc import SetUpRequested
from lemonhall.problem import BadInput

log = structlog.get_logger("lemonhall.front")
LINK_USE_MAX_AGE_MS = 30_000.0  # older reports of a server's link use are ignored
ZONE_LOAD_PERIOD_MS = 200.0  # minimum time between computations of one zone's load
FACT_NAMES = [fact.name for fact in FACTS]


def hook_names(settings: FrontSettings) -> Known:
    """Returns the names that scripts may use, as defined by the settings."""
    terms = settings.terms
    return Known(
        classes=terms.class_names,
        partners=terms.tenant_names,
        halls=terms.halls,
        kinds=terms.kind_names,
        routes=tuple(route.prefix for route in terms.routes),
        racks=terms.racks,
        rungs=len(terms.ladder_kb),
    )


def read_hook_sources(settings: FrontSettings) -> list[Source]:
    """Reads all scripts of the settings, in their order. Raises `BadInput` if one cannot be read."""
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
    """Compiles in a child process. `submit` raises `OSError` if the process cannot be started."""

    def submit(self, job: tuple[Any, ...], done: Callable[[Any], None]) -> None: ...


class Subject(Protocol):
    """The set-up request that a ruling is about."""

    message: SetUpRequested
    attempt_count: int


class HookRunner:
    """Runs the scripts and keeps the state of the front that they can query.

    `servers` returns the servers of the list and `sessions` the number of sessions; `now_ms` is monotonic,
    `wall_ms` is Unix time, which may step back.
    """

    def __init__(
        self,
        builder: Builder,
        settings: FrontSettings,
        servers: Callable[[], list[interface.Server]],
        sessions: Callable[[], int],
        now_ms: Callable[[], float],
        wall_ms: Callable[[], float],
    ) -> None:
        self.settings, self.servers, self.sessions = settings, servers, sessions
        self.now_ms, self.wall_ms = now_ms, wall_ms
        hooks = settings.hooks
        limits = EngineLimits(hooks.fuel, hooks.memory, hooks.total, hooks.strikes, hooks.fade_ms)
        self.engine = Engine(limits, hook_names(settings))
        self.refusal_times = Lately()
        # by server id: use of its link and time of the report
        self.link_uses: dict[int, tuple[float, float]] = {}
        # by zone name: mean link use and time of the computation
        self.zone_loads: dict[str, tuple[float, float]] = {}
        self.builder = builder
        self.building = self.reload_pending = False
        self.reloads = self.rejected_loads = 0
        self.on_load: Callable[[bool], object] = lambda success: None  # called at the end of each reload
        self.engine_sessions: dict[tuple[int, bool], Session] = {}  # by class and whether the session moved

    # loading

    def load(self) -> None:
        """Reads and compiles all scripts in this process. Raises `BadInput` that lists every problem."""
        try:
            self.engine.swap(read_hook_sources(self.settings))
        except BadScript as error:
            raise BadInput(error.problems[0].file, "\n".join(map(str, error.problems))) from error

    def start(self) -> None:
        """Loads the scripts. If one is invalid, logs the problems and starts without any of them."""
        try:
            self.load()
        except BadInput as error:
            self.reject_load(str(error).split("\n"))

    def reload(self) -> None:
        """Reloads the scripts in the background. Calls during a reload cause one more reload after it."""
        if self.building:
            self.reload_pending = True
            return
        try:
            sources = read_hook_sources(self.settings)
            self.builder.submit(
                ("hooks", sources, self.engine.known), lambda result: self.on_compiled(sources, result)
            )
            self.building = True
        except (BadInput, OSError) as error:
            self.reject_load([str(error)])

    def on_compiled(self, sources: list[Source], result: tuple[list[Program], list[Problem]] | None) -> None:
        self.building = False
        programs, problems = result or ([], [Problem("hooks", 0, 0, "the scripts could not be compiled")])
        if problems:
            self.reject_load([str(problem) for problem in problems])
        else:
            try:
                pairs = zip(sources, programs, strict=True)
                self.engine.adopt([self.engine.ready(source, program) for source, program in pairs])
                self.reloads += 1
                names = [source.name for source in sources]
                log.info("hooks loaded", scripts=names[:50], version=self.engine.version)
                self.on_load(True)
            except BadScript as error:
                self.reject_load([str(problem) for problem in error.problems])
        if self.reload_pending:
            self.reload_pending = False
            self.reload()

    def apply_settings(self, settings: FrontSettings) -> None:
        """Replaces the settings and reloads the scripts."""
        self.settings = settings
        hooks = settings.hooks
        self.engine.limits = EngineLimits(hooks.fuel, hooks.memory, hooks.total, hooks.strikes, hooks.fade_ms)
        self.engine.known = hook_names(settings)
        self.engine_sessions.clear()
        self.reload()

    def reject_load(self, problems: list[str]) -> None:
        self.rejected_loads += 1
        log.error("hooks refused: invalid scripts; keeping the current ones", problems=problems[:20])
        self.on_load(False)

    # state of the front

    def on_link_use(self, server: int, use: float) -> None:
        """Records a server's report of its link use."""
        if self.engine.scripts and 0 <= use < float("inf"):
            self.link_uses[server] = (use, self.now_ms())

    def zone_load(self, hall: str) -> float:
        """Returns the mean link use of the servers in a zone, 0 if none has reported."""
        now = self.now_ms()
        use, computed_at = self.zone_loads.get(hall, (0.0, float("-inf")))
        if now - computed_at < ZONE_LOAD_PERIOD_MS or hall not in self.settings.terms.halls:
            return use
        zone = self.settings.terms.halls.index(hall)
        reports = [
            self.link_uses[server.id]
            for server in self.servers()
            if server.zone == zone and server.id in self.link_uses
        ]
        current = [use for use, reported_at in reports if now - reported_at < LINK_USE_MAX_AGE_MS]
        use = sum(current) / len(current) if current else 0.0
        self.zone_loads[hall] = (use, now)
        return use

    def refusals(self, window_ms: float) -> float:
        return float(self.refusal_times.count(window_ms, self.now_ms()))

    # running scripts

    def run(self, point: str, subject: Subject, moved: bool, **more: Any) -> Ruling:
        """Runs the scripts for a session at a hook point.

        `more` adds the facts that are known only at that point.
        """
        message = subject.message
        if not self.engine.scripts:
            return Ruling(message.cls)
        terms = self.settings.terms
        key = (message.cls, moved)
        if key not in self.engine_sessions:
            self.engine_sessions[key] = Session(
                message.cls, moved, terms.classes, self.engine.known, terms.max_pause_ms
            )
        cls = terms.classes[message.cls]
        facts = {
            "class": terms.class_names[message.cls],
            "partner": terms.tenant_names[message.tenant] if terms.tenant_names else "",
            "title": message.path.partition("?")[0],
            "route": message.route,
            "hall": terms.halls[self.settings.hall],
            "viewer": message.viewer_name,
            "paid": cls.repeat is not interface.Repeat.SAFE,
            "again": message.again,
            "moved": moved,
            "rung": float(message.top_rung),
            "floor": float(cls.floor),
            "sessions": float(self.sessions()),
            "attempt": float(subject.attempt_count),
            **more,
        }
        ruling = self.engine.ask(
            point,
            self.engine_sessions[key],
            [facts.get(name) for name in FACT_NAMES],
            ScriptHost(self),
            self.now_ms(),
            self.wall_ms(),
            message.session_id,
        )
        if ruling.log:
            log.info(
                "session", session=message.session_id, point=point, **{"class": facts["class"]}, **ruling.log
            )
        if self.engine.events:
            for event in self.engine.events:
                log.warning(event.what, **event.fields)
            self.engine.events.clear()
        return ruling

    def page(self) -> tuple[int, str, bytes]:
        """The status page `/hooks`: statistics of the scripts, overruled advice and the latest traces."""
        engine = self.engine
        overruled = [
            {**asdict(advice), "times": count} for advice, count in engine.overruled.most_common(100)
        ]
        traces = [asdict(trace) for trace in list(engine.traces)[-50:]]
        shown = {
            "version": engine.version,
            "loaded": self.reloads,
            "refused": self.rejected_loads,
            "skipped": engine.skipped,
            "scripts": engine.report(),
            "overruled": overruled,
            "traces": traces,
        }
        return 200, "application/json", json.dumps(shown).encode() + b"\n"


class ScriptHost:
    """The host of the script engine: the state of the front that a script can query."""

    def __init__(self, hooks: HookRunner) -> None:
        self.hooks = hooks

    def load(self, hall: str) -> float:
        return self.hooks.zone_load(hall)

    def refusals(self, window_ms: float) -> float:
        return self.hooks.refusals(window_ms)
