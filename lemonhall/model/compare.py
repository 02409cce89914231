"""Two versions on the same draws: paired differences, stopped early when the answer is clear."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lemonhall.model.result import Row
from lemonhall.model.runs import Job, Runner, Version, mark_of, source_of
from lemonhall.model.stats import LOOKS, Bar, Modes, bar, judge, modes


@dataclass
class Comparison:
    """`verdict`: of B against A. Rows are pairs by seed. A version that breaks rules which the other keeps is
    worse, whatever its service."""

    a: str
    b: str
    pairs: int
    verdict: str
    bars: dict[str, Bar]  # a, b, difference
    modes: dict[str, Modes]
    rules: dict[str, int]  # broken in all runs of a and of b
    by_class: dict[str, Bar] = field(default_factory=dict)  # differences
    by_hall: dict[str, Bar] = field(default_factory=dict)
    rows: list[tuple[Row, Row]] = field(default_factory=list)

    def to_json(self) -> dict[str, Any]:
        return {
            **{name: found.to_json() for name, found in self.bars.items()},
            "pairs": self.pairs,
            "verdict": self.verdict,
            "modes": {name: vars(m) for name, m in self.modes.items()},
            "rules_broken": self.rules,
            "by_class": {name: found.to_json() for name, found in self.by_class.items()},
            "by_hall": {name: found.to_json() for name, found in self.by_hall.items()},
        }


def summary(a: str, b: str, rows: list[tuple[Row, Row]]) -> Comparison:
    differences = [y.service - x.service for x, y in rows]
    values = {"a": [x.service for x, _ in rows], "b": [y.service for _, y in rows]}
    found = {name: m for name, v in values.items() if (m := modes(v))}

    def split(of: Callable[[Row], dict[str, float]]) -> dict[str, Bar]:
        names = sorted({n for x, y in rows for n in of(x).keys() & of(y).keys()})
        pairs = {n: [of(y)[n] - of(x)[n] for x, y in rows if n in of(x) and n in of(y)] for n in names}
        return {n: bar(d) for n, d in pairs.items()}

    rules = {"a": sum(x.rules_broken for x, _ in rows), "b": sum(y.rules_broken for _, y in rows)}
    verdict = judge(differences)
    if bool(rules["a"]) != bool(rules["b"]):
        verdict = "worse" if rules["b"] else "better"
    return Comparison(
        a,
        b,
        len(rows),
        verdict,
        {"a": bar(values["a"]), "b": bar(values["b"]), "difference": bar(differences)},
        found,
        rules,
        split(lambda r: r.by_class),
        split(lambda r: r.by_hall),
        rows,
    )


def compare(
    a: Version,
    b: Version,
    runner: Runner,
    pairs: int = LOOKS[-1],
    close: float = 0.0,
    folder: Path | None = None,
    heard: Callable[[Row], object] = lambda row: None,
    first_seed: int = 1,
) -> Comparison:
    """Pairs until B is plainly better or worse, the bars are narrower than `close`, or `pairs` are done."""
    sources = [source_of(v.who) for v in (a, b)]
    folders = ["", ""]
    if folder:
        for n, (version, source) in enumerate(zip((a, b), sources, strict=True)):
            own = folder / mark_of(version, source)
            own.mkdir(parents=True, exist_ok=True)
            folders[n] = str(own)
    rows: list[tuple[Row, Row]] = []
    marks = [n for n in LOOKS if n < pairs] + [pairs]
    made: Comparison | None = None
    for look in marks:
        seeds = range(first_seed + len(rows), first_seed + look)
        jobs = [
            Job(version, source, seed, own)
            for seed in seeds
            for version, source, own in zip((a, b), sources, folders, strict=True)
        ]
        found = runner.map(jobs, heard)
        rows += list(zip(found[::2], found[1::2], strict=True))
        made = summary(str(a), str(b), rows)
        difference = made.bars["difference"]
        if made.verdict != "cannot tell" or 0 < difference.high - difference.low < 2 * close:
            break
    assert made
    return made
