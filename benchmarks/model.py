"""Measures the model: against stand-in runs, cost by size, a large comparison, what size does to service.

`benchmarks/model.py [--only credible|growth|large|equal|finding]`. `credible` plays each day on sockets
several times, and what was asked there in the model.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[1]
sys.path.insert(0, str(ROOT))

from lemonhall.audit import Report  # noqa: E402
from lemonhall.audit.rules import service_by  # noqa: E402
from lemonhall.config.day import Day, read_day  # noqa: E402
from lemonhall.day import play_day  # noqa: E402
from lemonhall.model import plot  # noqa: E402
from lemonhall.model.compare import compare  # noqa: E402
from lemonhall.model.played.world import play  # noqa: E402
from lemonhall.model.record import record, save  # noqa: E402
from lemonhall.model.result import row_of  # noqa: E402
from lemonhall.model.runs import Runner, Version, run_many  # noqa: E402
from lemonhall.model.stats import bar  # noqa: E402

DAYS = ROOT / "examples" / "days"
LARGE = DAYS / "large.kdl"


def groups(day: Day, report: Report) -> dict[str, float]:
    """Service as a whole, by class and by hall, of a run on sockets."""
    assert report.trace
    terms = day.terms
    halls = {f.name: terms.halls[f.hall] for f in day.fronts}
    by_class = service_by(report.trace, terms, lambda a: terms.class_names[a.cls])
    return {"all": report.service, **by_class, **service_by(report.trace, terms, lambda a: halls[a.front])}


def one_pair(path: Path, seed: int, folder: Path) -> tuple[dict[str, float], dict[str, float], int]:
    """A run on sockets, and the model's mean over eight draws of conduct for what was asked in it.

    Runs on sockets that are kept in the folder are not played again.
    """
    day = read_day(path)
    file = folder / f"{path.stem}-{seed}.parquet"
    measured = file.with_suffix(".json")
    if not measured.exists():
        report = play_day(day, path, seed)
        assert report.trace
        save(record(day, report.trace, report.began_ms), file)
        measured.write_text(json.dumps([groups(day, report), report.rules_broken]))
    sockets, broken = json.loads(measured.read_text())
    rows = run_many(Version(str(path), record=str(file)), range(1, 9), Runner(1))
    model = {"all": statistics.mean(r.service for r in rows)}
    for of in ("by_class", "by_hall"):
        for name in getattr(rows[0], of):
            model[name] = statistics.mean(getattr(r, of).get(name, 0.0) for r in rows)
    return sockets, model, broken


def credible(names: list[str], runs: int, at_once: int, kept: Path | None) -> dict[str, Any]:
    """For each day and group: model less sockets over paired runs, with 95% bars; whether 0 lies within."""
    made: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as temporary, ThreadPoolExecutor(at_once) as pool:
        folder = kept or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        for name in names:
            path = DAYS / f"{name}.kdl"
            pairs = list(pool.map(lambda s, p=path: one_pair(p, s, folder), range(1, runs + 1)))
            rows = {}
            for group in pairs[0][0]:
                differences = [model[group] - sockets[group] for sockets, model, _ in pairs]
                found = bar(differences)
                rows[group] = {
                    "sockets": round(statistics.mean(s[group] for s, _, _ in pairs), 4),
                    "model": round(statistics.mean(m[group] for _, m, _ in pairs), 4),
                    "difference": found.to_json(),
                    "within": found.low <= 0 <= found.high,
                }
            made[name] = {"groups": rows, "rules_broken": sum(p[2] for p in pairs)}
            print(name, json.dumps(made[name]), flush=True)
    return {"within": sum(g["within"] for d in made.values() for g in d["groups"].values())}


def scaled(fronts: int, boxes: int | None = None) -> Version:
    """The large day with so many fronts (and servers and traffic in proportion)."""
    boxes = boxes or max(6, round(160 * fronts / 200))
    part = boxes / 160
    sets = [(f"front {n}", "count", str(max(2, round(fronts / 3)))) for n in "abc"]
    sets += [(f"box {n}", "count", str(max(26, round(boxes / 3)))) for n in "abc"]
    sets += [
        (f"mix /{path}/", "per-second", f"{rate * max(part, 78 / 160):.3f}")
        for path, rate in (("nile/claims", 50), ("nile/browse", 80), ("delta/notes", 60))
    ]
    quotas = (("nile-cabs", 160), ("delta-buses", 80))
    sets += [(f"partner {name}", "quota", f"{quota * part:.3f}") for name, quota in quotas]
    return Version(str(LARGE), sets=tuple(sets))


def growth(sizes: list[int]) -> list[dict[str, Any]]:
    """One run by number of fronts, servers in proportion: seconds, sessions a second, the module's part."""
    rows = []
    for fronts in sizes:
        version = scaled(fronts)
        day = read_day(version.day, version.sets)
        row = row_of(day, 1, play(day, 1))
        rows.append(
            {
                "fronts": len(day.fronts),
                "servers": len(day.boxes),
                "sessions": row.sessions,
                "s": round(row.seconds, 2),
                "sessions_per_s": round(row.sessions / row.seconds),
                "module_part": round(row.module_part, 3),
                "service": round(row.service, 4),
                "rules_broken": row.rules_broken,
            }
        )
        print(json.dumps(rows[-1]), flush=True)
    return rows


def large(workers: int) -> dict[str, Any]:
    """The module against random choice at 200 fronts and 160 servers, bars under 0.01."""
    began = time.monotonic()
    runner = Runner(workers)
    made = compare(Version(str(LARGE)), Version(str(LARGE), "random"), runner, pairs=12, close=0.01)
    runner.close()
    return {**made.to_json(), "seconds": round(time.monotonic() - began, 1)}


def equal(comparisons: int, workers: int) -> dict[str, Any]:
    """How often two equal versions (the module, and the module with other luck) are told apart."""
    small = str(ROOT / "tests" / "model" / "small.kdl")
    runner = Runner(workers)
    found = []
    for n in range(comparisons):
        a, b = Version(small), Version(small, "other-luck")
        found.append(compare(a, b, runner, pairs=12, first_seed=1000 + 12 * n).verdict)
    runner.close()
    return {"comparisons": comparisons, "told_apart": comparisons - found.count("cannot tell")}


def finding(sizes: list[int], seeds: int, out: Path) -> list[dict[str, Any]]:
    """The same fleet and traffic under more and more fronts."""
    runner = Runner()
    points, rows = [], []
    for fronts in sizes:
        found = run_many(scaled(fronts, 160), range(1, seeds + 1), runner)
        points.append((str(fronts), found))
        rows.append(
            {
                "fronts": fronts,
                "service": bar([r.service for r in found]).to_json(),
                "by_class": {
                    c: round(statistics.mean(r.by_class[c] for r in found), 4) for c in found[0].by_class
                },
                "refused": round(sum(r.refused for r in found) / sum(r.sessions for r in found), 4),
                "rules": {k: n for k in found[0].rules if (n := sum(r.rules[k] for r in found))},
                "counts": found[0].counts,
            }
        )
        print(json.dumps(rows[-1]), flush=True)
    runner.close()
    plot.sweep_page("The same bad day under more fronts", "fronts", points).write(out)
    return rows


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--only", choices=["credible", "growth", "large", "equal", "finding"])
    words.add_argument("--days", default="eid,rolls,sag,dark-hall")
    words.add_argument("--runs", type=int, default=5)
    words.add_argument("--at-once", type=int, default=2)
    words.add_argument("--keep", type=Path, default=None, help="Folder for the runs on sockets.")
    words.add_argument("--sizes", default="")
    words.add_argument("--out", type=Path, default=Path("finding"))
    chosen = words.parse_args()
    sizes = [int(s) for s in chosen.sizes.split(",") if s]
    acts: dict[str, Callable[[], Any]] = {
        "credible": lambda: credible(chosen.days.split(","), chosen.runs, chosen.at_once, chosen.keep),
        "growth": lambda: growth(sizes or [10, 40, 100, 200, 400, 1000]),
        "large": lambda: large(0),
        "equal": lambda: equal(200, 0),
        "finding": lambda: finding(sizes or [80, 200, 400], 4, chosen.out),
    }
    for name, act in acts.items():
        if chosen.only in (None, name):
            print(name, json.dumps(act()), flush=True)


if __name__ == "__main__":
    main()
