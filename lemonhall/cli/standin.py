"""`lemonhall standin`: one stand-in process; commands come as JSON lines on standard input."""

from __future__ import annotations

from pathlib import Path
from random import Random

import click

from lemonhall.config.day import read_day
from lemonhall.links.process import NetworkEmulator
from lemonhall.loop import Loop
from lemonhall.standins.box import run_rack
from lemonhall.standins.boxlist import ListService
from lemonhall.standins.control import obey
from lemonhall.standins.tap import Tap
from lemonhall.standins.viewers import Crowd


@click.command()
@click.argument("kind", type=click.Choice(["box", "list", "viewers", "links"]))
@click.argument("settings", type=click.Path(path_type=Path))
@click.option("--tap", default="", help="File for what passes the sockets.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--rack", type=int, default=0, show_default=True, help="Which rack's boxes to run.")
def standin(kind: str, settings: Path, tap: str, seed: int, rack: int) -> None:
    """Run the stand-in KIND of the day SETTINGS until standard input ends."""
    day = read_day(settings)
    loop, written = Loop(), Tap(tap)
    if kind == "list":
        command = ListService(loop, written, day.list_lag_ms).command
    elif kind == "viewers":
        command = Crowd(loop, written, day, seed).command
    elif kind == "links":
        command = NetworkEmulator(loop, written, day, seed).command
    else:
        spread = 1 + 0.25 * (2 * Random(f"{seed}/rack/{rack}").random() - 1)
        specs = [b for b in day.boxes if b.cell == rack]
        uplink_kb = day.terms.uplink_kb * spread
        command = run_rack(loop, written, day.terms, specs, uplink_kb, day.set_up_ms, day.fps, seed)
    obey(loop, command, written)
    loop.run()
    written.flush()
