"""`lemonhall hooks check|fmt|run`: hook scripts, away from any front."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click

from lemonhall import interface as i
from lemonhall.config.settings import read_settings
from lemonhall.front.decider.hooks import hook_names
from lemonhall.hooks import BadScript, Engine, EngineLimits, Known, Source, compile_script, format_script
from lemonhall.hooks.advice import Session
from lemonhall.hooks.machine import Nowhere
from lemonhall.hooks.tree import nearest
from lemonhall.hooks.vocabulary import FACTS, POINTS
from lemonhall.problem import BadInput

FILES = click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
SETTINGS = click.option(
    "--settings", type=click.Path(path_type=Path), default=None, help="Check names against these settings."
)


def text_of(path: Path) -> str:
    try:
        return path.read_bytes().decode()
    except OSError as error:
        raise BadInput(str(path), error.strerror or "cannot be read") from error
    except UnicodeDecodeError as error:
        raise BadInput(str(path), f"not UTF-8 at byte {error.start}") from error


@click.group()
def hooks() -> None:
    """Hook scripts: check, format, run on an example session."""


@hooks.command()
@FILES
@SETTINGS
@click.option("--json", "as_json", is_flag=True, help="One JSON object on the last line.")
def check(files: tuple[Path, ...], settings: Path | None, as_json: bool) -> None:
    """Say all that is wrong in FILES; exit 2 if anything is."""
    known = hook_names(read_settings(settings)) if settings else Known()
    problems = []
    for path in files:
        try:
            compile_script(text_of(path), str(path), known)
        except BadScript as error:
            problems += error.problems
    for problem in problems:
        click.echo(str(problem), err=True)
    if as_json:
        click.echo(json.dumps({"files": len(files), "problems": [vars(p) for p in problems]}))
    elif not problems:
        click.echo(f"{len(files)} fine")
    sys.exit(2 if problems else 0)


@hooks.command()
@FILES
@click.option("--check", "only", is_flag=True, help="Write nothing; exit 1 if a file is not formatted.")
def fmt(files: tuple[Path, ...], only: bool) -> None:
    """Bring FILES into their one form. There are no options of style."""
    changed = 0
    for path in files:
        text = text_of(path)
        try:
            made = format_script(text, str(path))
        except BadScript as error:
            raise BadInput(str(path), "\n".join(map(str, error.problems))) from error
        if made != text:
            changed += 1
            click.echo(f"{path}: {'not formatted' if only else 'formatted'}")
            if not only:
                path.write_text(made, encoding="utf-8")
    sys.exit(1 if only and changed else 0)


def facts_of(pairs: tuple[str, ...]) -> dict[str, Any]:
    """Example facts from NAME=VALUE words. Raises `BadInput`."""
    empty = {"text": "", "flag": False}
    facts: dict[str, Any] = {f.name: empty.get(f.type, 0.0) for f in FACTS}
    kinds = {f.name: f.type for f in FACTS}
    for pair in pairs:
        name, _, value = pair.partition("=")
        if name not in kinds or name in ("time", "weekday"):
            raise BadInput(pair, f"{name!r} is no fact to give; {nearest(name, list(kinds))}")
        if kinds[name] == "text":
            facts[name] = value
        elif kinds[name] == "flag":
            if value not in ("true", "false"):
                raise BadInput(pair, "a flag is true or false")
            facts[name] = value == "true"
        else:
            try:
                facts[name] = float(value)
            except ValueError as error:
                raise BadInput(pair, f"{value!r} is no number") from error
    return facts


@hooks.command()
@FILES
@SETTINGS
@click.option("--point", type=click.Choice(list(POINTS)), default="arrival", show_default=True)
@click.option("--at", "at_s", type=float, default=0.0, help="Unix time in seconds.")
@click.option("--fact", "pairs", multiple=True, help="NAME=VALUE of the example session; durations in ms.")
@click.option("--times", type=click.IntRange(1, 100000), default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="One JSON object on the last line.")
def run(
    files: tuple[Path, ...],
    settings: Path | None,
    point: str,
    at_s: float,
    pairs: tuple[str, ...],
    times: int,
    as_json: bool,
) -> None:
    """Run FILES on an example session and show what each said and what stands."""
    read = read_settings(settings) if settings else None
    known = hook_names(read) if read else Known(racks=1 << 30)
    facts = facts_of(pairs)
    limits = EngineLimits()
    if read:
        h = read.hooks
        limits = EngineLimits(h.fuel, h.memory, h.total, h.strikes, h.fade_ms)
    engine = Engine(limits, known)
    try:
        engine.swap([Source(path.name, text_of(path)) for path in files])
    except BadScript as error:
        raise BadInput(error.problems[0].file, "\n".join(map(str, error.problems))) from error
    classes: tuple[i.SessionClass, ...] = (i.SessionClass(1, i.Repeat.SAFE, 1000, 5000),)
    asked, pause_ms = 0, 2000.0
    if read:
        names = read.terms.class_names
        classes, pause_ms = read.terms.classes, read.terms.max_pause_ms
        if facts["class"] not in names:
            fix = nearest(facts["class"], [*names])
            raise BadInput("--fact class", f"{facts['class']!r} is no class; {fix}")
        asked = names.index(facts["class"])
    session = Session(asked, facts["moved"], classes, known, pause_ms)
    values = [facts[f.name] for f in FACTS]
    for n in range(times):
        ruling = engine.ask(point, session, values, Nowhere(), n, at_s * 1000 + n, "example")
    shown = {
        "scripts": [
            {"script": t.script, "fuel": t.fuel, "cut": t.cut, "words": [list(w) for w in t.words]}
            for t in list(engine.traces)[-len(files) :]
        ],
        "refuse": ruling.advice.refuse,
        "reason": ruling.reason,
        "advice": vars(ruling.advice),
        "log": ruling.log,
        "metrics": ruling.metrics,
        "overruled": [vars(o) for o in ruling.overruled],
    }
    if as_json:
        click.echo(json.dumps(shown))
        return
    for one in engine.report():
        click.echo(f"{one['script']}: fuel {one['fuel'] / max(1, one['calls']):.0f} of {limits.fuel} a call")
    for trace in list(engine.traces)[-len(files) :]:
        if trace.cut:
            click.echo(f"  {trace.script}: cut off, {trace.cut}")
        for word, label, value, line in trace.words:
            said = f"{word} {label}".strip()
            click.echo(f"  {trace.script}:{line}: {said} = {value}")
    for o in ruling.overruled:
        click.echo(f"  overruled, {o.script}:{o.line}: {o.word}, by {o.by}: {o.why}")
    click.echo(f"  stands: {ruling.advice}" + (f", refused: {ruling.reason}" if ruling.reason else ""))
