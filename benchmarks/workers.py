"""A front of several workers, measured: `benchmarks/front.py --only workers`. Ratios, in one run each."""

from __future__ import annotations

import json
import os
import pickle
import statistics
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

from benchmarks import front, rig
from lemonhall import decide
from lemonhall.day.children import kin_of

COUNTS = (0, 1, 2, 4, 6)
SERVERS, VIEWERS = 3, 4  # processes
AT_ONCE = 32  # set-ups under way, of each process of viewers


@contextmanager
def many_boxes(
    processes: int, each: int, fps: float = 0.0, flood: bool = False
) -> Iterator[tuple[int, list[int]]]:
    """Servers in several processes under one list: its port, and theirs."""
    with ExitStack() as stack:
        found: list[int] = []
        for _ in range(processes):
            found += stack.enter_context(front.boxes(each, fps, flood))[1]
        ports = rig.Context.Queue()
        process = rig.Context.Process(target=rig.serve_list, args=(ports, found), daemon=True)
        process.start()
        yield ports.get(timeout=30)
        process.terminate()


def family_cpu(pid: int) -> float:
    """Processor seconds of a front's processes."""
    return rig.cpu_s(pid) + sum(rig.cpu_s(child) for child in kin_of(pid, ""))


def saturate(port: int, pid: int, cycles: int) -> dict[str, Any]:
    """Set-ups as fast as they go, from several processes of viewers."""
    with ExitStack() as stack:
        paths = ["/browse/a", "/claims/b", "/browse/c", "/claims/d"]
        words = (0, cycles, AT_ONCE, 0.0)
        channels = [stack.enter_context(front.viewers([port], paths[n % 4], *words)) for n in range(VIEWERS)]
        for each in channels:
            each.get()
        deciding = (kin_of(pid, "--decide") or [pid])[0]
        kin = [c for c in kin_of(os.getpid(), "spawn") if c != pid]
        others = {f"{c}": rig.cpu_s(c) for c in kin}
        carriers = {f"worker {c}": rig.cpu_s(c) for c in kin_of(pid, "carrier")}
        before, decided, began = family_cpu(pid), rig.cpu_s(deciding), time.monotonic()
        for each in channels:
            each.orders.put("cycles")
        results = [json.loads(each.get()) for each in channels]
        wall = time.monotonic() - began
        total = VIEWERS * cycles
        busy = {n: (rig.cpu_s(int(n.split()[-1])) - b) / wall for n, b in {**others, **carriers}.items()}
        return {
            "per_s": total / wall,
            "cpu_us": (family_cpu(pid) - before) / total * 1e6,
            "decider_us": (rig.cpu_s(deciding) - decided) / total * 1e6,
            "refused": sum(r["refused"] for r in results),
            "busy": {name: round(used, 2) for name, used in busy.items()},
            "p50_us": statistics.median(r["us"]["50"] for r in results),
            "p99_us": max(r["us"]["99"] for r in results),
        }


def set_ups(folder: Path, cycles: int, counts: tuple[int, ...] = COUNTS) -> list[dict[str, Any]]:
    """Set-ups a second at each N over the module alone on the events of that very run."""
    rows = []
    for n in counts:
        told, module = folder / f"told-{n}.pickle", folder / f"recording-{n}.py"
        module.write_text(front.RECORDING.replace("{path}", str(told)))
        with (
            many_boxes(SERVERS, 20) as (list_port, _),
            front.front(list_port, folder, str(module), fields=f"workers={n}") as (port, pid),
        ):
            row = saturate(port, pid, cycles)
        settings, seed, events = pickle.loads(told.read_bytes())
        alone = decide.Front(settings, seed)
        began = time.process_time()
        for now, batch in events:
            alone.handle(now, batch)
        module_s = (time.process_time() - began) / (VIEWERS * cycles)
        rows.append({"workers": n, "ratio": row["per_s"] * module_s, "module_us": module_s * 1e6, **row})
        print("set_ups", json.dumps(rows[-1]), flush=True)
    return rows


def measure(folder: Path, cycles: int, seconds: float, sizes: list[int]) -> None:
    set_ups(folder, cycles)
