"""How a fleet comes back after all of its fronts are killed together: on sockets, and in the model.

    python benchmarks/recovery.py [--days restart,restart-lost,restart-apart] [--plays 4] [--against FOLDER]
    python benchmarks/recovery.py --days all-lost,frozen,hall-and-servers,crash-loop [--fronts 24]
    python benchmarks/recovery.py --model 24,200 [--seeds 3]

`--against`: another checkout, played in turn with this one; its day files are taken from here. `--fronts`:
the day `restart` and the hard cases with so many fronts, more servers and load to fit. The model is played
with the machine of recovery and without it. Stand-ins and simulated servers, not machines.
"""

from __future__ import annotations

import argparse
import json
import os
import re
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[1]
sys.path.insert(0, str(ROOT))

from lemonhall.config.day import read_day  # noqa: E402
from lemonhall.model.played.world import World  # noqa: E402

KEYS = ("full_service_s", "full_service_p50_s", "full_service_worst_s", "connects_most", "list_calls_most")
SUMS = ("stale_decisions", "rules_broken", "refused", "played")
HARD = {  # faults in the place of the one of restart.kdl; {all}, {a}: the fronts, those of one hall
    "all-lost": 'fault "front-killed" {all} store="lost" at=(s)8 for=(ms)500',
    "frozen": 'fault "front-frozen" "fa0" at=(s)8 for=(s)20',
    "hall-and-servers": 'fault "hall-dark" "hall-a" at=(s)8 for=(s)1\n'
    'fault "front-killed" {a} at=(s)8 for=(ms)500',
    "crash-loop": "\n".join(
        f'fault "front-killed" "fa0" at=(ms){8000 + 700 * n} for=(ms)200' for n in range(8)
    ),
    "thrice": "\n".join(f'fault "front-killed" {{all}} at=(s){at} for=(ms)500' for at in (8, 12, 16)),
}
LENGTHS = {"frozen": 34, "thrice": 26}
ARRIVALS = {12: 1.5, 18: 2.25, 10: 1.25}  # a second of each mix of restart.kdl: of a front
TIMEOUT_S = 180


def sockets(day: Path, tree: Path) -> dict[str, Any]:
    """One play by the program of a checkout."""
    words = [sys.executable, "-m", "lemonhall", "day", str(day), "--json"]
    env = {**os.environ, "PYTHONPATH": str(tree)}
    done = subprocess.run(words, cwd=tree, env=env, capture_output=True, text=True, timeout=TIMEOUT_S)
    if done.returncode not in (0, 1) or not done.stdout.strip():
        return {}
    told: dict[str, Any] = json.loads(done.stdout.strip().splitlines()[-1])
    return told


def made(name: str, folder: Path, fronts: int = 8) -> Path:
    """restart.kdl with so many fronts, one and a half times as many servers and load to fit; with the faults
    of a hard case, if it names one."""
    text = (ROOT / "examples" / "days" / "restart.kdl").read_text(encoding="utf-8")
    halls = [fronts // 3 + (n < fronts % 3) for n in range(3)]
    if fronts != 8:
        for hall, own in zip("abc", halls, strict=True):
            text = re.sub(rf'(front "f{hall}".*count=)\d+', rf"\g<1>{own}", text)
            text = re.sub(rf'(box "{hall}".*count=)\d+', rf"\g<1>{max(1, round(own * 1.5))}", text)
        for was, each in ARRIVALS.items():
            text = text.replace(f" per-second={was} ", f" per-second={each * fronts:g} ")
        text = re.sub(r"uplink=\(kBps\)\d+", f"uplink=(kBps){500 * fronts}", text)
        for was in (64, 20):
            text = text.replace(f"quota={was}", f"quota={was * fronts // 8}")
    names = [f'"f{hall}{n}"' for hall, own in zip("abc", halls, strict=True) for n in range(own)]
    fault = HARD.get(name, 'fault "front-killed" {all} at=(s)8 for=(ms)500')
    fault = fault.format(all=" ".join(names), a=" ".join(n for n in names if n.startswith('"fa')))
    if name in LENGTHS:
        text = text.replace("length=(s)18", f"length=(s){LENGTHS[name]}")
    path = folder / f"{name}.kdl"
    path.write_text(f"{text[: text.index(chr(10) + 'fault ')]}\n{fault}\n", encoding="utf-8")
    return path


def shown(name: str, told: list[dict[str, Any]]) -> None:
    """Medians, and the least and the most; counts are added up."""
    row: dict[str, Any] = {"what": name, "plays": len(told)}
    for key in KEYS:
        values = [t[key] for t in told if key in t]  # a day without a kill has no return
        row[key] = [statistics.median(values), min(values), max(values)] if values else []
    row |= {key: sum(t.get(key, 0) for t in told) for key in SUMS}
    print(json.dumps(row), flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--days", default="restart,restart-lost,restart-apart")
    parser.add_argument("--plays", type=int, default=4)
    parser.add_argument("--against", type=Path)
    parser.add_argument("--fronts", type=int, default=8)
    parser.add_argument("--model", default="")
    parser.add_argument("--seeds", type=int, default=3)
    args = parser.parse_args()
    for size in map(int, filter(None, args.model.split(","))):
        with tempfile.TemporaryDirectory() as folder:
            day = read_day(made("restart", Path(folder), size))
        for returning in (True, False):
            plays = [World(day, seed, returning=returning).play() for seed in range(1, args.seeds + 1)]
            reports = [p.report.to_json() for p in plays]
            shown(f"model, {size} fronts, {'with' if returning else 'without'}", reports)
    if args.model:
        return
    folder = Path(tempfile.mkdtemp())
    for name in args.days.split(","):
        day_file = ROOT / "examples" / "days" / f"{name}.kdl"
        if name in HARD or args.fronts != 8:
            day_file = made(name, folder, args.fronts)
        trees = [ROOT, *([args.against.resolve()] if args.against else [])]
        told: dict[Path, list[dict[str, Any]]] = {tree: [] for tree in trees}
        for _ in range(args.plays):
            for tree in trees:
                if report := sockets(day_file, tree):
                    told[tree].append(report)
        for n, tree in enumerate(trees):
            shown(f"{name}, {'the other' if n else 'this one'}", told[tree])


if __name__ == "__main__":
    main()
