"""`lemonhall day`: a scripted day on loopback, and the six rules from what passed the sockets."""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path

import click

from lemonhall.audit import Report
from lemonhall.audit.rules import RULES
from lemonhall.config.day import read_day
from lemonhall.config.formatter import format_text
from lemonhall.day import DayFailed, play_day
from lemonhall.day.frombench import from_bench
from lemonhall.day.hunting import hunt
from lemonhall.model.played.world import play
from lemonhall.model.record import record as record_of
from lemonhall.model.record import save
from lemonhall.problem import BadInput


def show(name: str, report: Report) -> None:
    click.echo(f"{name}: {report.sessions} sessions in {report.seconds:.0f} s")
    click.echo(f"  played {report.played}, refused {report.refused}, failed {report.failed}")
    click.echo(f"  service {report.service:.3f} (worth in time over worth asked; stand-ins, not machines)")
    click.echo(f"  faults  {', '.join(f'{k} {n}' for k, n in sorted(report.faults.items())) or 'none'}")
    if report.zones:
        h = report.zones
        click.echo(
            f"  halls   spilled {100 * h['spilled_most']:.3g}% of links "
            f"of {100 * h['spilled_allowed']:.3g}% allowed, {h['returned_pushed_over']:g} pushed over "
            f"on return, recovered in {h['recovered_s']:g} s"
        )
    if report.limits:
        m = report.limits
        words = f", words {m['limit_stale_most_s']:g} s old of {m['limit_stale_bound_s']:g} s"
        stale = words if m["limit_stale_bound_s"] > 0 else ""
        click.echo(
            f"  limits  over by {m['limit_over_most']:g}, begun {m['limit_over_bound']:.3g} of what may, "
            f"used {m['limit_used_share']:.3g} of what could be{stale}"
        )
    if report.recovery:
        r = report.recovery
        full = f"in {r['full_service_s']:g} s" if r["full_service_s"] >= 0 else "not within the day"
        click.echo(
            f"  return  full service {full}; at one server {r['connects_most']:g} times the usual "
            f"connections, {r['list_calls_most']:g} calls for the list in 100 ms, "
            f"{r['stale_decisions']:g} stale decisions"
        )
    click.echo("  rules")
    for rule, checks in RULES.items():
        counts = ", ".join(f"{check} {len(report.broken[check])}" for check in checks)
        click.echo(f"    {rule:<28} {counts}")
    for check, broken in report.broken.items():
        for sentence in broken[:5]:
            click.echo(f"  broken, {check}: {sentence}")


def bench_day(path: Path, out: Path) -> None:
    """The bench's day in PATH as a day of ours, written to OUT; says what was changed."""
    try:
        data = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise BadInput(str(path), error.strerror or "cannot be read") from error
    except ValueError as error:
        raise BadInput(str(path), f"no JSON: {error}") from error
    made = from_bench(str(path), data)
    out.write_text(format_text(made.text, str(out)), encoding="utf-8")
    click.echo(made.sizes)
    for line in made.left:
        click.echo(f"not carried: {line}")


def beside(path: Path, seeds: int) -> None:
    """The same day in the model: what it says of the service."""
    read = read_day(path)
    services = [play(read, seed).report.service for seed in range(1, seeds + 1)]
    spread = f"{min(services):.3f} to {max(services):.3f}"
    click.echo(f"  in the model, {seeds} seeds: service {sum(services) / seeds:.3f} ({spread})")


def hunted(
    path: Path, count: int, seed: int, module: str, keep: Path | None, out: Path | None
) -> Report | None:
    """Plays PATH with drawn faults; writes the smallest schedule that breaks a rule, if one does."""
    made = hunt(path, count, seed, module, keep, click.echo)
    if made.report:
        show(path.stem, made.report)
    for note in made.notes:
        click.echo(f"  ended: {note}")
    if made.broken:
        target = out or Path("found") / f"{path.stem}-{seed}.kdl"
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_text(made.text, encoding="utf-8")
        what = ", ".join(sorted(made.broken))
        click.echo(f"{len(made.left)} of {count} faults break {what} ({made.plays} plays): {target}")
    return made.report


@click.command()
@click.argument("day", type=click.Path(path_type=Path))
@click.option("--from-bench", "bench", is_flag=True, help="DAY is a bench's day (JSON), not one of ours.")
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=None,
    help="Where a bench's day is written as ours, or the day that is left of drawn faults.",
)
@click.option(
    "--faults", type=click.IntRange(1, 200), help="So many drawn faults instead of the written ones."
)
@click.option("--seed", type=int, default=None, help="Another draw of the same day.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object on the last line.")
@click.option("--keep", type=click.Path(path_type=Path), default=None, help="Folder for taps and logs.")
@click.option("--record", type=click.Path(path_type=Path), default=None, help="What was asked, as Parquet.")
@click.option("--module", default="", help="Fronts decide by the Front of this file instead.")
def day(
    day: Path,
    bench: bool,
    out: Path | None,
    faults: int | None,
    seed: int | None,
    as_json: bool,
    keep: Path | None,
    record: Path | None,
    module: str,
) -> None:
    """Play DAY with fronts and stand-ins as processes; exit 1 if a rule is broken."""
    if bench:
        ours = out or Path(tempfile.mkdtemp(prefix="lemonhall-bench-")) / "bench.kdl"
        bench_day(day, ours)
        day = ours
    read = read_day(day)
    module = str(Path(module).resolve()) if module else ""
    if faults:
        found = hunted(day, faults, read.seed if seed is None else seed, module, keep, out)
        if as_json and found:
            click.echo(json.dumps(found.to_json()))
        sys.exit(1 if found is None or found.rules_broken else 0)
    try:
        report = play_day(read, day, seed, keep, module)
    except DayFailed as error:
        raise click.ClickException(f"{day}: {error}") from error
    show(read.name, report)
    if bench:
        beside(day, 3)
    if record:
        assert report.trace
        save(record_of(read, report.trace, report.began_ms), record)
    if as_json:
        click.echo(json.dumps(report.to_json()))
    sys.exit(1 if report.rules_broken else 0)
