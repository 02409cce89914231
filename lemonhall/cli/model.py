"""`lemonhall model run|compare|sweep`: days in simulated time, many of them, with bars and pictures."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

from lemonhall.model import plot
from lemonhall.model.compare import compare as compare_versions
from lemonhall.model.policies import POLICIES
from lemonhall.model.result import Row
from lemonhall.model.runs import Heard, Runner, Version, changed, mark_of, run_many, source_of
from lemonhall.model.stats import bar, modes
from lemonhall.problem import BadInput

SEEDS = click.option("--seeds", type=click.IntRange(1, 10000), default=8, show_default=True)
WORKERS = click.option("--workers", type=click.IntRange(0, 512), default=0, help="Processes; 0: all cores.")
OUT = click.option("--out", type=click.Path(path_type=Path), default=None, help="Folder for rows and pages.")
SET = click.option("--set", "sets", multiple=True, help='"NODE [NAME] FIELD=VALUE", for a trial.')
AS_JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object on the last line.")


@click.group()
def model() -> None:
    """The fleet in simulated time: runs, comparisons, sweeps."""


@contextmanager
def progress(total: int, what: str) -> Iterator[Heard]:
    """A bar on standard error, where somebody looks."""
    columns = (TextColumn(what), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, console=Console(stderr=True), disable=not sys.stderr.isatty()) as shown:
        task = shown.add_task(what, total=total)
        yield lambda row: shown.advance(task)


def show_rows(name: str, rows: list[Row]) -> None:
    click.echo(f"{name}: service {bar([r.service for r in rows])} over {len(rows)} runs")
    click.echo(f"  bound by capacity {bar([r.bound for r in rows]).mean:.4f}")
    for of in ("by_class", "by_hall"):
        for group in sorted({n for r in rows for n in getattr(r, of)}):
            found = bar([getattr(r, of)[group] for r in rows if group in getattr(r, of)])
            click.echo(f"    {group:<20} {found}")
    click.echo(f"  sessions {sum(r.sessions for r in rows)}, refused {sum(r.refused for r in rows)}")
    broken = {k: sum(r.rules[k] for r in rows) for k in rows[0].rules}
    click.echo(f"  rules broken {sum(broken.values())} {({k: n for k, n in broken.items() if n}) or ''}")
    if two := modes([r.service for r in rows]):
        click.echo(f"  two groups: {two.low:.3f} ({two.part_low:.0%} of runs) and {two.high:.3f}")


@model.command()
@click.argument("version")
@SEEDS
@WORKERS
@OUT
@SET
@click.option("--record", default="", help="Recorded traffic (Parquet) in the place of the day's own.")
@click.option("--tables", is_flag=True, help="Per session and per second, as Parquet in the folder.")
@click.option("--baselines", default="random", show_default=True, help="Policies beside it, by comma.")
@AS_JSON
def run(
    version: str,
    seeds: int,
    workers: int,
    out: Path | None,
    sets: tuple[str, ...],
    record: str,
    tables: bool,
    baselines: str,
    as_json: bool,
) -> None:
    """Play VERSION (DAY, or DAY@POLICY, DAY@FILE.py, DAY@REVISION) with many seeds.

    With --out, rows that are there already are not run again: a run that was stopped goes on.
    """
    began = time.monotonic()
    wanted = replace(Version.parse(version), sets=tuple(changed(sets)), record=record)
    others = [b for b in baselines.split(",") if b]
    for other in others:
        if other not in POLICIES:
            raise BadInput(other, f"no policy; known are {', '.join(POLICIES)}")
    runner = Runner(workers)
    try:
        with progress(seeds * (1 + len(others)), "runs") as heard:
            rows = run_many(wanted, range(1, seeds + 1), runner, out, tables, heard)
            beside = {
                b: run_many(replace(wanted, who=b), range(1, seeds + 1), runner, out, False, heard)
                for b in others
            }
    finally:
        runner.close()
    show_rows(str(wanted), rows)
    for name, found in beside.items():
        click.echo(f"  {name}: service {bar([r.service for r in found])}")
    if out:
        own = out / mark_of(wanted, source_of(wanted.who))
        click.echo(f"  {plot.run_page(str(wanted), rows, own, beside).write(out)}")
    if as_json:
        shown: dict[str, Any] = {
            "service": bar([r.service for r in rows]).to_json(),
            "bound": bar([r.bound for r in rows]).to_json(),
            "baselines": {n: bar([r.service for r in f]).to_json() for n, f in beside.items()},
            "rules_broken": sum(r.rules_broken for r in rows),
            "sessions": sum(r.sessions for r in rows),
            "runs": len(rows),
            "seconds": round(time.monotonic() - began, 1),
        }
        click.echo(json.dumps(shown))


@model.command()
@click.argument("a")
@click.argument("b")
@click.option("--pairs", type=click.IntRange(2, 1000), default=48, show_default=True, help="At most.")
@click.option("--close", type=float, default=0.0, help="Stop when the bars are under this to each side.")
@WORKERS
@OUT
@click.option("--set", "sets", multiple=True, help="Changes B: NODE [NAME] FIELD=VALUE.")
@AS_JSON
def compare(
    a: str,
    b: str,
    pairs: int,
    close: float,
    workers: int,
    out: Path | None,
    sets: tuple[str, ...],
    as_json: bool,
) -> None:
    """B against A on the same draws; stops as soon as the answer is clear."""
    began = time.monotonic()
    runner = Runner(workers)
    versions = Version.parse(a), replace(Version.parse(b), sets=tuple(changed(sets)))
    try:
        with progress(2 * pairs, "runs") as heard:
            made = compare_versions(*versions, runner, pairs, close, out, heard)
    finally:
        runner.close()
    for name, found in (("a", str(versions[0])), ("b", str(versions[1]))):
        click.echo(f"{name} {found}: service {made.bars[name]}, rules broken {made.rules[name]}")
    click.echo(f"difference {made.bars['difference']}, {made.pairs} pairs: b is {made.verdict}")
    for name, two in made.modes.items():
        click.echo(f"  {name}: two groups, {two.low:.3f} ({two.part_low:.0%} of runs) and {two.high:.3f}")
    for group, difference in (*made.by_class.items(), *made.by_hall.items()):
        click.echo(f"  {group:<20} {difference}")
    if out:
        click.echo(f"  {plot.compare_page(made).write(out)}")
    if as_json:
        click.echo(json.dumps({**made.to_json(), "seconds": round(time.monotonic() - began, 1)}))


@model.command()
@click.argument("version")
@click.option("--axis", required=True, help='"NODE [NAME] FIELD=V1,V2,...".')
@SEEDS
@WORKERS
@OUT
@SET
@AS_JSON
def sweep(
    version: str,
    axis: str,
    seeds: int,
    workers: int,
    out: Path | None,
    sets: tuple[str, ...],
    as_json: bool,
) -> None:
    """VERSION with one field at several values, on the same draws."""
    base = Version.parse(version)
    ((node, field, values),) = changed([axis])
    points = []
    runner = Runner(workers)
    try:
        chosen = values.split(",")
        with progress(len(chosen) * seeds, "runs") as heard:
            for value in chosen:
                at = replace(base, sets=(*changed(sets), (node, field, value)))
                rows = run_many(at, range(1, seeds + 1), runner, out, False, heard)
                points.append((value, rows))
    finally:
        runner.close()
    for value, rows in points:
        broken = sum(r.rules_broken for r in rows)
        cost = sum(r.seconds for r in rows) / len(rows)
        bound = bar([r.bound for r in rows]).mean
        click.echo(
            f"{field}={value}: service {bar([r.service for r in rows])}, bound {bound:.4f}, "
            f"rules broken {broken}, {cost:.2f} s a run"
        )
    if out:
        click.echo(f"  {plot.sweep_page(str(base), f'{node} {field}', points).write(out)}")
    if as_json:
        shown = [{"value": v, "service": bar([r.service for r in rows]).to_json()} for v, rows in points]
        click.echo(json.dumps({"points": shown}))


@model.command("plot")
@click.argument("folder", type=click.Path(path_type=Path))
def draw(folder: Path) -> None:
    """Pictures and a page of the runs that FOLDER keeps (`model run --out FOLDER`)."""
    click.echo(plot.folder_page(folder).write(folder))
