"""A day played with drawn faults; what breaks a rule is made small and written as a day that plays again."""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from lemonhall.audit import Report
from lemonhall.config.day import read_day
from lemonhall.config.dayschema import DAY
from lemonhall.config.formatter import dump
from lemonhall.config.settings import read_tree
from lemonhall.day.drawing import Faults, as_kdl, draw, smallest
from lemonhall.day.runner import DayFailed, play_day
from lemonhall.problem import BadInput

TRIES = 2  # plays of one schedule before it is said to break nothing: processes are not the same each time
PLAYS_MOST = 80  # then what is left is taken as it is
CRASH = "crash"  # in place of a check's name: a process ended that should not have


@dataclass
class Hunt:
    """`report` is of the first play, None where a process ended unasked; `broken` names checks."""

    report: Report | None
    broken: frozenset[str]
    drawn: Faults
    left: Faults = ()
    plays: int = 1
    text: str = ""  # a day file
    notes: list[str] = field(default_factory=list)


def day_text(path: Path, seed: int, faults: Faults) -> str:
    """The day in `path` with these faults instead of its own. Raises `BadInput`."""
    read = read_day(path)
    if read.hooks.files:
        raise BadInput(
            str(path), "a day with hooks is played with its written faults: its scripts lie beside it"
        )
    tree, _ = read_tree(path, DAY, ((f"day {read.name}", "seed", str(seed)),))
    nodes = [n for n in tree.nodes if n.name != "fault"]
    return dump(nodes).rstrip("\n") + "\n\n" + "".join(as_kdl(f) + "\n" for f in faults)


def hunt(
    path: Path,
    count: int,
    seed: int,
    module: str = "",
    keep: Path | None = None,
    say: Callable[[str], object] = lambda text: None,
) -> Hunt:
    """Plays the day in `path` with `count` faults drawn from `seed`; what breaks is made as small as it goes.

    `keep`: folder for taps and logs of the first play. Raises `BadInput`.
    """
    with tempfile.TemporaryDirectory(prefix="lemonhall-hunt-") as folder:

        def play(faults: Faults, where: Path | None = None) -> tuple[Report | None, frozenset[str], str]:
            file = Path(folder) / path.name
            file.write_text(day_text(path, seed, faults), encoding="utf-8")
            try:
                report = play_day(read_day(file), file, seed, where, module)
            except DayFailed as error:
                return None, frozenset({CRASH}), str(error)
            return report, frozenset(name for name, found in report.broken.items() if found), ""

        drawn = draw(read_day(path), count, seed)
        report, broken, note = play(drawn, keep)
        made = Hunt(report, broken, drawn, drawn, notes=[note] if note else [])

        def breaks(faults: Faults) -> bool:
            for _ in range(TRIES):
                if made.plays >= PLAYS_MOST:
                    return False
                made.plays += 1
                if play(faults)[1] & broken:
                    say(f"{len(faults)} faults still break it: {', '.join(sorted(broken))}")
                    return True
            return False

        if broken:
            made.left = () if breaks(()) else smallest(drawn, breaks)
            made.text = day_text(path, seed, made.left)
        return made
