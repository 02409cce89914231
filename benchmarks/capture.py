"""Measures the capture (`benchmarks/capture.py`): set-ups a second and a relayed flood with it over without,
in turn in one run; bytes an event; the speed of a replay over real time; the suite of captures."""

from __future__ import annotations

import json
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[1]
sys.path.insert(0, str(ROOT))

from benchmarks import front as bench  # noqa: E402
from lemonhall.capture import Replay, ReplayedCall, read_capture  # noqa: E402

OFF = "capture on=#false"


def ratios(folder: Path, cycles: int) -> dict[str, Any]:
    set_ups: dict[str, list[float]] = {"off": [], "on": []}
    floods: dict[str, list[float]] = {"off": [], "on": []}
    with bench.boxes(60) as (list_port, _), bench.boxes(1, flood=True) as (flood_port, _):
        for _turn in range(3):
            for name, node in (("off", OFF), ("on", "")):
                with bench.front(list_port, folder, more=node) as (port, pid):
                    set_ups[name].append(bench.saturate(port, pid, cycles)[0])
                with bench.front(flood_port, folder, more=node) as (port, _):
                    floods[name].append(bench.flood_rate(port, 1.0))
    made = {}
    for what, rates in (("set_ups", set_ups), ("relay", floods)):
        pairs = [a / b for a, b in zip(rates["on"], rates["off"], strict=True)]
        made[what] = {"ratio": round(statistics.median(pairs), 3), "ratios": [round(p, 3) for p in pairs]}
    return made


def sizes(folder: Path, cycles: int) -> dict[str, Any]:
    """A front's files of one busy run: bytes an event, and its replay against real time."""
    where = folder / "caps"
    with (
        bench.boxes(60) as (list_port, _),
        bench.front(list_port, folder, more=f'capture folder="{where}"') as (port, pid),
    ):
        bench.saturate(port, pid, cycles)
    data = b"".join(p.read_bytes() for p in sorted(where.glob("*.lhc")))
    made = read_capture(data)
    began = time.perf_counter()
    steps = [s for s in Replay().run(made.records) if isinstance(s, ReplayedCall)]
    took = time.perf_counter() - began
    events = sum(len(s.events) for s in steps)
    actions = sum(len(s.decided) for s in steps)
    real = (steps[-1].now - steps[0].now) / 1000
    return {
        "events": events,
        "actions": actions,
        "bytes_an_event": round(len(data) / events, 1),
        "same": all(s.same for s in steps),
        "replay_times_real_time": round(real / took, 2),
    }


def suite() -> dict[str, Any]:
    files = sorted((ROOT / "tests" / "captures").glob("*.lhc"))
    began, span = time.perf_counter(), 0.0
    for path in files:
        steps = [
            s for s in Replay().run(read_capture(path.read_bytes()).records) if isinstance(s, ReplayedCall)
        ]
        span += (steps[-1].now - steps[0].now) / 1000
    took = time.perf_counter() - began
    size = sum(p.stat().st_size for p in files)
    return {
        "captures": len(files),
        "kB": round(size / 1000),
        "replay_s": round(took, 2),
        "days_s": round(span),
    }


def main() -> None:
    with tempfile.TemporaryDirectory() as name:
        print("suite", json.dumps(suite()), flush=True)
        print("sizes", json.dumps(sizes(Path(name), 400)), flush=True)
        print("ratios", json.dumps(ratios(Path(name), 600)), flush=True)


if __name__ == "__main__":
    main()
