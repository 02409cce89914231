"""`lemonhall soak`: drawn trials of the front node on loopback, judged by the rules of the protocol."""

from __future__ import annotations

import json
import sys
from collections import Counter
from dataclasses import asdict
from pathlib import Path

import click

from lemonhall.problem import BadInput
from lemonhall.soak.judge import Broken, judge
from lemonhall.soak.player import play
from lemonhall.soak.schedule import Schedule, draw_schedule, schedule_from_json

EXIT_BROKEN, EXIT_VOID = 1, 2
MAX_STALL_SHARE = 0.5  # of the smallest grace: a trial whose own loop was later is void
MAX_SHOWN = 5  # broken rules of one trial
DEFAULT_SECONDS = 25.0


def parse_seeds(text: str) -> range:
    """`7` or `1-50`. Raises `BadInput`."""
    first, _, last = text.partition("-")
    if not first.isdecimal() or (last and not last.isdecimal()):
        raise BadInput("--seeds", f"{text!r} is no seed and no range of seeds")
    return range(int(first), int(last or first) + 1)


def is_void(schedule: Schedule, longest_stall_s: float) -> bool:
    return longest_stall_s > MAX_STALL_SHARE * schedule.site.drain_grace_s


def describe(found: Broken) -> str:
    return f"{found.rule} at {found.at:.3f}, n{found.node}, {found.ref or 'process'}: {found.text}"


def play_one(
    schedule: Schedule, root: Path, keep: Path | None, exercised: Counter[str]
) -> tuple[str, list[Broken]]:
    """Plays a trial and prints one line for it; returns `held`, `broken` or `void`."""
    trial = play(schedule, root, keep)
    exercised.update(trial.exercised)
    exercised["requests"] += len(trial.record.requests)
    exercised["set-ups at servers"] += len(trial.record.set_ups)
    if keep:
        text = json.dumps(asdict(trial.record), indent=1)
        (keep / "record.json").write_text(text, encoding="utf-8")
    void = is_void(schedule, trial.record.longest_stall_s)
    broken = [] if void else judge(trial.record, schedule.site)
    verdict = "void" if void else "broken" if broken else "held"
    click.echo(
        f"seed {schedule.seed}: {verdict}, {len(trial.record.requests)} requests, "
        f"own loop {trial.record.longest_stall_s * 1000:.0f} ms late at most"
    )
    for found in broken[:MAX_SHOWN]:
        click.echo(f"  {describe(found)}")
    return verdict, broken


@click.command()
@click.option("--seeds", "--seed", "seeds", default="1", help="a seed, or a range: 1-50")
@click.option("--seconds", type=float, default=DEFAULT_SECONDS, show_default=True)
@click.option("--nodes", type=int, default=0, help="front nodes of a trial; drawn if not given")
@click.option("--schedule", "file", type=click.Path(path_type=Path), help="plays a stored schedule")
@click.option("--root", type=click.Path(path_type=Path), default=Path("."), help="the checkout to play")
@click.option("--keep", type=click.Path(path_type=Path), help="keeps schedules and logs in this folder")
@click.option("--json", "as_json", is_flag=True, help="one JSON object on the last line")
def soak(
    seeds: str, seconds: float, nodes: int, file: Path | None, root: Path, keep: Path | None, as_json: bool
) -> None:
    """Exit: 0 the rules held, 1 a rule was broken, 2 more than a third of the trials were void."""
    if file:
        schedules = [schedule_from_json(file.read_text(encoding="utf-8"))]
    else:
        schedules = [draw_schedule(seed, seconds, nodes) for seed in parse_seeds(seeds)]
    verdicts: Counter[str] = Counter()
    exercised: Counter[str] = Counter()
    found: list[Broken] = []
    for schedule in schedules:
        folder = keep / str(schedule.seed) if keep else None
        if folder:
            folder.mkdir(parents=True, exist_ok=True)
            (folder / "schedule.json").write_text(schedule.to_json(), encoding="utf-8")
        verdict, broken = play_one(schedule, root.resolve(), folder, exercised)
        verdicts[verdict] += 1
        found += broken
    click.echo(f"{len(schedules)} trials: " + ", ".join(f"{v} {n}" for v, n in sorted(verdicts.items())))
    for what, number in sorted(exercised.items()):
        click.echo(f"  {what}: {number}")
    if as_json:
        report = {"verdicts": verdicts, "exercised": exercised, "broken": [asdict(b) for b in found]}
        click.echo(json.dumps(report))
    if verdicts["broken"]:
        sys.exit(EXIT_BROKEN)
    if verdicts["void"] * 3 > len(schedules):
        sys.exit(EXIT_VOID)
