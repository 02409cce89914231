"""Measures configuration: checking many files, growth with routes, a reload under the bad day.

`benchmarks/config.py [--only check|growth|reload]`. Ratios, each taken in one run.
"""

from __future__ import annotations

import argparse
import json
import resource
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[1]
sys.path.insert(0, str(ROOT))

import ckdl  # noqa: E402

from benchmarks.hooks import PASSES, play  # noqa: E402

TERMS = (ROOT / "examples" / "settings" / "front.kdl").read_text()
TIMED = """
import json, resource, sys, time
from lemonhall.config.schema import SETTINGS
from lemonhall.config.settings import read_tree
began = time.process_time()
read_tree(sys.argv[1], SETTINGS)
print(json.dumps([time.process_time() - began, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024]))
"""


def write_tree(folder: Path, files: int, routes: int) -> Path:
    """A settings file that includes `files` others with `routes` routes between them."""
    each = routes // files
    includes = []
    for n in range(files):
        lines = [
            f'route "/partner-{n}/path-{k}/" class="claim-view" partner="nile-cabs"' for k in range(each)
        ]
        (folder / f"p{n}.kdl").write_text("\n".join(lines) + "\n")
        includes.append(f'include "p{n}.kdl"')
    main = folder / "main.kdl"
    main.write_text(TERMS + "\n".join(includes) + "\n")
    return main


def check(folder: Path, files: int, routes: int) -> dict[str, Any]:
    """Seconds and peak memory of a check in a process of its own; over ckdl's parse of the same bytes."""
    main = write_tree(folder, files, routes)
    done = subprocess.run(
        [sys.executable, "-c", TIMED, str(main)], capture_output=True, text=True, check=True, cwd=ROOT
    )
    seconds, peak = json.loads(done.stdout)
    texts = [p.read_text() for p in folder.glob("*.kdl")]
    began = time.process_time()
    for text in texts:
        ckdl.parse(text)
    alone = time.process_time() - began
    return {"files": files, "routes": routes, "s": seconds, "peak_MB": peak, "over_ckdl": seconds / alone}


def growth(folder: Path) -> list[dict[str, Any]]:
    rows = []
    for routes in (1000, 5000, 20000, 50000):
        own = folder / str(routes)
        own.mkdir()
        row = check(own, 200 if routes >= 5000 else 50, routes)
        row["us_a_route"] = row["s"] / routes * 1e6
        rows.append(row)
    return rows


def reload(folder: Path) -> dict[str, Any]:
    """The bad day with five reloads and without: rules, passes of the loops."""
    text = (ROOT / "examples" / "days" / "bad.kdl").read_text()
    late = 'route "/late/" class="audio-note" partner="delta-buses"\n'
    (folder / "other.kdl").write_text(text.replace('route "/nile/claims/"', late + 'route "/nile/claims/"'))
    (folder / "still.kdl").write_text(text)
    faults = "".join(
        f'fault "reload" "{"other" if n % 2 else "still"}.kdl" at=(s){4 * n}\n' for n in range(1, 6)
    )
    (folder / "loads.kdl").write_text(text + faults)
    made: dict[str, Any] = {}
    from hdrh.histogram import HdrHistogram

    for name in ("still", "loads"):
        into = folder / f"{name}.d"
        into.mkdir()
        module = folder / f"{name}.py"
        module.write_text(PASSES.replace("{folder}", str(into)))
        report = play(folder / f"{name}.kdl", folder, str(module))
        both = HdrHistogram(1, 60_000_000, 3)
        for path in into.glob("*.hist"):
            both.add(HdrHistogram.decode(path.read_text()))
        logs = "".join(p.read_text() for p in (folder / "kept").glob("front-*.log"))
        made[name] = {
            "us": {q: both.get_value_at_percentile(q) for q in (99, 99.9, 100)},
            "rules_broken": report["rules_broken"],
            "service": report["service"],
            "loaded": logs.count('"event": "settings loaded"'),
            "failed": report["failed"],
        }
        for path in (folder / "kept").glob("front-*.log"):
            path.unlink()
    made["p99.9_ratio"] = made["loads"]["us"][99.9] / made["still"]["us"][99.9]
    made["longest_ratio"] = made["loads"]["us"][100] / made["still"]["us"][100]
    return made


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--only", choices=["check", "growth", "reload"])
    chosen = words.parse_args()
    acts: dict[str, Callable[[Path], Any]] = {
        "check": lambda folder: check(folder, 200, 5000),
        "growth": growth,
        "reload": reload,
    }
    for name, act in acts.items():
        if chosen.only in (None, name):
            with tempfile.TemporaryDirectory(prefix="lemonhall-bench-") as folder:
                print(name, json.dumps(act(Path(folder))), flush=True)
    print("peak of this process, MB", resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)


if __name__ == "__main__":
    main()
