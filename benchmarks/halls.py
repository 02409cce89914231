"""Losing and regaining a hall in the model: with the machine of halls, without it, and without its ramp.

    python benchmarks/halls.py [--fronts 200] [--seeds 50] [--processes 7] [--fault flap] [--apart]
    python benchmarks/halls.py --sockets --seeds 4

The same traffic for each version of a seed, so differences are paired. Simulated servers and fronts.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import re
import subprocess
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[1]))

from lemonhall.audit.zones import zone_report  # noqa: E402
from lemonhall.config.day import Day, read_day  # noqa: E402
from lemonhall.model.played.world import play  # noqa: E402
from lemonhall.model.stats import bar  # noqa: E402
from lemonhall.zones import ZoneMonitor  # noqa: E402

LARGE = Path(__file__).parents[1] / "examples" / "days" / "large.kdl"
NODES = """
spill "hall-a" to="hall-b" share=(%)20
spill "hall-a" to="hall-c" share=(%)15
spill "hall-b" to="hall-c" share=(%)20
spill "hall-b" to="hall-a" share=(%)15
spill "hall-c" to="hall-a" share=(%)20
spill "hall-c" to="hall-b" share=(%)15
takes-in "hall-a" links=(%)30
takes-in "hall-b" links=(%)30
takes-in "hall-c" links=(%)30
spilling notice=(s)1 trial=(s)1 ramp=(s)12 slowest=4 forget=(s)60
"""
FAULTS = {
    "dark": 'fault "hall-dark" "hall-a" at=(s)14 for=(s)10\n',
    "flap": 'fault "hall-flap" "hall-a" at=(s)10 for=(s)6 by=(s)6\n',
}
VERSIONS = ("halls", "without", "no ramp")


def day_of(fronts: int, servers: int, fault: str, apart: bool, version: str) -> Day:
    text = LARGE.read_text(encoding="utf-8")
    text = text[: text.index("\nfault ")]
    third = [fronts // 3 + (n < fronts % 3) for n in range(3)]
    boxes = [servers // 3 + (n < servers % 3) for n in range(3)]
    for hall, old in zip("abc", (68, 66, 66), strict=True):
        count, own = third["abc".index(hall)], boxes["abc".index(hall)]
        line = f'front "{hall}" hall="hall-{hall}" count='
        text = text.replace(f"{line}{old}", f"{line}{count}")
        for was in (56, 52):
            line = f'box "{hall}" kind="box-2c" hall="hall-{hall}" rack={8 * "abc".index(hall)} count={was}'
            text = text.replace(line, line.replace(f"count={was}", f"count={own}"))
    for name in ("quota", "per-second"):  # as many ask as there are servers to play
        scaled = lambda m, name=name: f"{name}={int(m[1]) * servers / 160:g}"  # noqa: E731
        text = re.sub(rf"{name}=(\d+)", scaled, text)
    text = text.replace("length=(s)40", "length=(s)50") + "\n" + FAULTS[fault]
    if apart:
        names = [f'"{h}{n}"' for h, some in zip("abc", third, strict=True) for n in range(some // 2)]
        text += f'fault "fronts-apart" {" ".join(names)} at=(s)16 for=(s)28\n'
    if version != "without":
        at = text.index("route ")
        text = text[:at] + NODES + text[at:]
    with tempfile.NamedTemporaryFile("w", suffix=".kdl") as file:
        file.write(text)
        file.flush()
        return read_day(file.name)


def run(job: tuple[int, int, str, bool, str, int]) -> dict[str, Any]:
    fronts, servers, fault, apart, version, seed = job
    day = day_of(fronts, servers, fault, apart, version)
    told = day if version != "without" else day_of(fronts, servers, fault, apart, "halls")
    pace = ZoneMonitor.set_up_rate
    if version == "no ramp":
        ZoneMonitor.set_up_rate = lambda self, now: 1e9  # type: ignore[method-assign]
    try:
        played = play(day, seed)
    finally:
        ZoneMonitor.set_up_rate = pace  # type: ignore[method-assign]
    # without the machine nothing is limited: what it would have been held against is the same
    found = zone_report(played.trace, replace(told, faults=day.faults))
    assert found
    lost = [at for at, _, _ in played.trace.zone_faults]
    tipped = sum(at > min(lost) for at, _ in played.trace.overloads)
    return {
        "version": version,
        "seed": seed,
        "service": played.report.service,
        "rules": played.report.rules_broken,
        "refused": played.report.refused,
        "most": found.spilled_most,
        "allowed": found.spilled_allowed,
        "pushed": found.overloaded,
        "tipped": tipped,
        "recovered": found.recovered_s,
        "seconds": played.seconds,
    }


def on_sockets(seeds: int) -> None:
    """The days of the examples as processes on loopback, with and without what may spill, in turn."""
    for name in ("hall-dark", "hall-flap", "fronts-apart"):
        text = (LARGE.parent / f"{name}.kdl").read_text(encoding="utf-8")
        nodes = ("spill ", "takes-in ", "spilling ")
        bare = "\n".join(line for line in text.splitlines() if not line.startswith(nodes))
        found: dict[str, list[dict[str, Any]]] = {"halls": [], "without": []}
        with tempfile.TemporaryDirectory() as folder:
            for version, written in (("halls", text), ("without", bare)):
                (Path(folder) / f"{version}.kdl").write_text(written, encoding="utf-8")
            for seed in range(1, seeds + 1):
                for version, rows in found.items():
                    words = [sys.executable, "-m", "lemonhall", "day", f"{folder}/{version}.kdl", "--json"]
                    done = subprocess.run(
                        [*words, "--seed", str(seed)],
                        capture_output=True,
                        text=True,
                        stdin=subprocess.DEVNULL,
                    )
                    rows.append(json.loads(done.stdout.strip().splitlines()[-1]))
        with_, without = found["halls"], found["without"]
        pairs = [a["service"] - b["service"] for a, b in zip(with_, without, strict=True)]
        print(f"{name} on sockets, {seeds} seeds")
        print(f"  halls {bar([r['service'] for r in with_])}, without {bar([r['service'] for r in without])}")
        print(f"  halls less without {bar(pairs)}, paired")
        print(f"  rules broken {[r['rules_broken'] for r in with_]} {[r['rules_broken'] for r in without]}")
        over = max(r["spilled_most"] / r["spilled_allowed"] for r in with_)
        pushed = sum(r["returned_pushed_over"] for r in with_)
        back = [r["recovered_s"] for r in with_]
        print(f"  spilled over allowed at most {over:.3f}, pushed over {pushed}, recovered in {back} s")


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--fronts", type=int, default=200)
    parser.add_argument("--servers", type=int, default=160)
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--processes", type=int, default=7)
    parser.add_argument("--fault", default="dark", choices=sorted(FAULTS))
    parser.add_argument("--apart", action="store_true")
    parser.add_argument("--versions", default=",".join(VERSIONS))
    parser.add_argument("--sockets", action="store_true")
    args = parser.parse_args()
    if args.sockets:
        on_sockets(args.seeds)
        return
    versions = args.versions.split(",")
    jobs = [
        (args.fronts, args.servers, args.fault, args.apart, version, seed)
        for seed in range(1, args.seeds + 1)
        for version in versions
    ]
    with ProcessPoolExecutor(args.processes, multiprocessing.get_context("spawn")) as pool:
        rows = list(pool.map(run, jobs))
    size = f"{args.fronts} fronts, {args.servers} servers, {args.seeds} seeds"
    print(f"{size}, {args.fault}, apart {args.apart}")
    by = {v: [r for r in rows if r["version"] == v] for v in versions}
    for version, some in by.items():
        over = max(r["most"] / r["allowed"] for r in some)
        back = sorted(r["recovered"] for r in some)
        print(
            f"  {version:<8} service {bar([r['service'] for r in some])}, "
            f"rules broken {sum(r['rules'] for r in some)}, "
            f"spilled over allowed at most {over:.3f}, pushed over {sum(r['pushed'] for r in some)}, "
            f"recovered in {back[len(back) // 2]:.1f} s "
            f"(p50; longest {back[-1]:.1f}, never {sum(b < 0 for b in back)}), "
            f"{sum(r['seconds'] for r in some) / len(some):.0f} s each"
        )
        if version != versions[0]:
            pairs = [a["service"] - b["service"] for a, b in zip(by[versions[0]], some, strict=True)]
            print(f"    {versions[0]} less {version}: {bar(pairs)}, paired")
    print(json.dumps(rows[: len(versions)]))


if __name__ == "__main__":
    main()
