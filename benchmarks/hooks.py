"""Measures hooks: a call against one decision of the module, stalls, service, a swap under load.

`benchmarks/hooks.py [--only calls|stalls|service|swap]`. Ratios, each taken in one run.
"""

from __future__ import annotations

import argparse
import json
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[1]
sys.path.insert(0, str(ROOT))

from hdrh.histogram import HdrHistogram  # noqa: E402

from lemonhall import decide  # noqa: E402
from lemonhall import interface as i  # noqa: E402
from lemonhall.config.day import read_day  # noqa: E402
from lemonhall.config.settings import FrontSettings  # noqa: E402
from lemonhall.front.decider.hooks import hook_names  # noqa: E402
from lemonhall.hooks import Engine, EngineLimits, Source  # noqa: E402
from lemonhall.hooks.advice import Session  # noqa: E402
from lemonhall.hooks.machine import Nowhere  # noqa: E402
from lemonhall.hooks.vocabulary import FACTS  # noqa: E402

EXAMPLES = sorted((ROOT / "examples" / "hooks").glob("*.hook"))
HOSTILE = ROOT / "tests" / "hooks"
NINE = "{1, 2, 3, 4, 5, 6, 7, 8, 9}"
SPIN = f'on arrival {{ for a in {NINE} {{ for b in {NINE} {{ for c in {NINE} {{ metric "m" }} }} }} }}'
PASSES = """
import atexit, os, signal, time
from hdrh.histogram import HdrHistogram
from lemonhall.decide import Front
from lemonhall.loop import Loop
histogram = HdrHistogram(1, 60_000_000, 3)
run_once, select = Loop.run_once, None
def timed(self, wait_s=3600.0):
    if not hasattr(self, "plain_select"):
        self.plain_select = self.selector.select
        def wait(*words):
            found = self.plain_select(*words)
            self.woke = time.perf_counter()
            return found
        self.selector.select = wait
    run_once(self, wait_s)
    histogram.record_value(max(1, round((time.perf_counter() - self.woke) * 1e6)))
Loop.run_once = timed
def write():
    with open("{folder}/" + str(os.getpid()) + ".hist", "w") as file:
        file.write(histogram.encode().decode())
atexit.register(write)
"""


def calls(rounds: int) -> dict[str, Any]:
    """A hook's call at arrival against `handle` of one new session, turn by turn."""
    day = read_day(ROOT / "examples" / "days" / "bad.kdl")
    settings = FrontSettings("f", 0, 1, 0, 1, ("", 0), day.terms)
    known = hook_names(settings)
    facts = {f.name: {"text": "", "flag": False}.get(f.type, 0.0) for f in FACTS}
    facts |= {"class": "browse-clip", "partner": "delta-buses", "title": "/nile/browse/7", "viewer": "v7"}
    facts |= {"hall": "hall-a", "rung": 3.0, "sessions": 40.0, "again": True}
    session = Session(1, False, day.terms.classes, known, 2000.0)
    engines = {}
    for name, text in [*((p.stem, p.read_text()) for p in EXAMPLES), ("at the fuel cap", SPIN)]:
        limits = EngineLimits(strikes=1e12)
        engines[name] = Engine(limits, known)
        engines[name].swap([Source(name, text)])
    front = decide.Front(settings.to_module(), 1)
    servers = tuple(i.Server(n, 0, 1.0, n % 2, n % 2, 0.0, i.ServerState.READY) for n in range(1, 41))
    front.handle(0.0, [i.ServerList(i.ListKind.FULL, 1, servers)])
    spent = dict.fromkeys(engines, 0.0)
    module_s = 0.0
    wall = 1796125200000.0
    for n in range(rounds):
        now = 10.0 * n
        new = i.NewSession(n + 1, n % 3, n, n % 50, 4000.0, 3, 0, 2)
        began = time.perf_counter()
        actions = front.handle(now, [new])
        module_s += time.perf_counter() - began
        for action in actions:
            if isinstance(action, i.SetUp):
                front.handle(now, [i.Playing(action.id, 0, action.server, 20.0)])
                if n >= 200:
                    done = i.AttemptEnded(n - 199, 0, 0, i.Outcome.OK, True, 2000.0)
                    front.handle(now, [done])
        for name, engine in engines.items():
            values = [facts[f.name] for f in FACTS]
            began = time.perf_counter()
            engine.ask("arrival", session, values, Nowhere(), now, wall + now, "s")
            spent[name] += time.perf_counter() - began
    return {
        "module_us": module_s / rounds * 1e6,
        "scripts": {
            name: {
                "fuel": engine.scripts[0].fuel / engine.scripts[0].calls,
                "ratio": spent[name] / module_s,
            }
            for name, engine in engines.items()
        },
    }


def play(day: Path, folder: Path, module: str = "", seed: int | None = None) -> dict[str, Any]:
    words = [sys.executable, "-m", "lemonhall", "day", str(day), "--json", "--keep", str(folder / "kept")]
    words += ["--module", module] if module else []
    words += ["--seed", str(seed)] if seed else []
    done = subprocess.run(words, capture_output=True, text=True, timeout=300, stdin=subprocess.DEVNULL)
    made: dict[str, Any] = json.loads(done.stdout.strip().splitlines()[-1])
    return made


def stalls(folder: Path) -> dict[str, Any]:
    """Passes of the fronts' loops on the bad day, with hostile scripts and without, p50, p99, p99.9."""
    text = (HOSTILE / "hostile.kdl").read_text()
    made: dict[str, Any] = {}
    for name in ("plain", "hostile"):
        day = folder / f"{name}.kdl"
        own = re.sub(r'fault "hooks".*\n', "", text) if name == "plain" else text
        day.write_text(own.replace('"hostile/', f'"{HOSTILE}/hostile/'))
        into = folder / name
        into.mkdir()
        module = folder / f"{name}.py"
        module.write_text(PASSES.replace("{folder}", str(into)))
        report = play(day, folder, str(module))
        both = HdrHistogram(1, 60_000_000, 3)
        for path in into.glob("*.hist"):
            both.add(HdrHistogram.decode(path.read_text()))
        quantiles = {q: both.get_value_at_percentile(q) for q in (50, 99, 99.9, 100)}
        made[name] = {"us": quantiles, "passes": both.total_count, "rules_broken": report["rules_broken"]}
    ratio = made["hostile"]["us"][99.9] / made["plain"]["us"][99.9]
    return {"p99.9_ratio": ratio, **made}


def service(folder: Path, seeds: int) -> dict[str, Any]:
    """The bad day with the late-shift example (its span set to the whole day) and without."""
    example = (ROOT / "examples" / "hooks" / "late-shift.hook").read_text()
    (folder / "late.hook").write_text(example.replace("22:00..06:00", "00:00..24:00"))
    plain = (ROOT / "examples" / "days" / "bad.kdl").read_text()
    (folder / "without.kdl").write_text(plain)
    (folder / "with.kdl").write_text(plain + '\nhooks { script "late.hook"; }\n')
    pairs = []
    for seed in range(1, seeds + 1):
        pair = [play(folder / f"{name}.kdl", folder, seed=seed) for name in ("without", "with")]
        pairs.append([(p["service"], p["rules_broken"]) for p in pair])
    mean = [sum(p[n][0] for p in pairs) / seeds for n in (0, 1)]
    return {"without": mean[0], "with": mean[1], "pairs": pairs}


def swap(folder: Path) -> dict[str, Any]:
    """Fifty scripts loaded once a second while the quiet day plays."""
    scripts = folder / "fifty"
    scripts.mkdir()
    for n in range(50):
        text = EXAMPLES[n % len(EXAMPLES)].read_text()
        (scripts / f"s{n:02}.hook").write_text(text)
    text = (ROOT / "examples" / "days" / "quiet.kdl").read_text()
    faults = "".join(f'fault "hooks" "fifty" at=(s){at}\n' for at in range(1, 7))
    (folder / "swap.kdl").write_text(text + faults)
    (folder / "still.kdl").write_text(text)
    got = play(folder / "swap.kdl", folder)
    logs = "".join(p.read_text() for p in (folder / "kept").glob("front-*.log"))
    still = play(folder / "still.kdl", folder)
    keys = ("sessions", "played", "refused", "failed", "unanswered", "rules_broken", "service")
    return {
        "swaps": logs.count('"event": "hooks loaded"'),
        "with": {k: got[k] for k in keys},
        "without": {k: still[k] for k in keys},
    }


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--only", choices=["calls", "stalls", "service", "swap"])
    words.add_argument("--rounds", type=int, default=3000)
    words.add_argument("--seeds", type=int, default=2)
    chosen = words.parse_args()
    for name, act in {
        "calls": lambda _: calls(chosen.rounds),
        "stalls": stalls,
        "service": lambda folder: service(folder, chosen.seeds),
        "swap": swap,
    }.items():
        if chosen.only in (None, name):
            with tempfile.TemporaryDirectory(prefix="lemonhall-bench-") as folder:
                print(name, json.dumps(act(Path(folder))), flush=True)


if __name__ == "__main__":
    main()
