"""Limits of the whole fleet: what of a limit lopsided demand finds, how soon, and what the words cost.

    python benchmarks/limits.py [--fronts 8,24,200,1000] [--seconds 20]
    python benchmarks/limits.py --days limits-surge,limits-apart [--plays 3]
    python benchmarks/limits.py --set-ups 5

The first runs the machines alone, with words that take a tenth of a period and are lost at a rate: one front
gets all demand, then another, beside one over the number of fronts each and one counter that knows all. The
second plays days on sockets. The third sets up sessions through a running front with limits and without, in
turns. Stand-ins and simulated servers, not machines.
"""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

ROOT = Path(__file__).parents[1]
sys.path.insert(0, str(ROOT))

from benchmarks import front as bench_front  # noqa: E402
from lemonhall import interface as i  # noqa: E402
from lemonhall.limits import FleetLimits, Limit, LimitKind, LimitSettings, LimitUnit  # noqa: E402
from lemonhall.limits.escrow import TICKS_PER_PERIOD  # noqa: E402

PERIOD = 500.0
CLASSES = (i.SessionClass(1.0, i.Repeat.SAFE, 1000, 4000),)
LASTING_S = (2.0, 4.0)
LIMITS = """
limit "a-all" sessions=100000
limit "b-browse" class="browse-clip" sessions=100000
limit "c-pace" set-ups=100000 burst=100000 hold="paced"
limit "d-near" sessions=100000 hold="soft" rise=100000
"""


class Fleet:
    """`shared`: they speak to one another; else each has its own part alone."""

    def __init__(self, fronts: int, amount: int, loss: float, shared: bool) -> None:
        plan = LimitSettings(
            (Limit("all", LimitKind.EXACT, LimitUnit.SESSIONS, amount),), CLASSES, (1.0,), PERIOD
        )
        self.now, self.loss, self.shared, self.random = 1000.0, loss, shared, Random(1)
        self.fronts = [FleetLimits(plan, n, fronts, 0, 1, Random(n), self.now) for n in range(fronts)]
        self.words = self.bytes = 0
        self.flying: list[tuple[int, int, bytes]] = []
        for front in self.fronts:
            front.escrow.members = tuple(range(fronts))
            if not shared:
                front.escrow.unreported.clear()
        self.ends: list[tuple[float, int, int]] = []
        self.asks = self.stands = 0

    def say(self, number: int) -> None:
        for out in self.fronts[number].tick(self.now):
            self.words, self.bytes = self.words + 1, self.bytes + len(out.data)
            if self.random.random() >= self.loss:
                self.flying.append((number, out.to, out.data))

    def step(self, busy: int, per_s: float) -> None:
        """A tenth of a period. Needs and answers leave at once and come a step later."""
        self.now += PERIOD / 10
        flying, self.flying = self.flying, []
        for sender, to, data in flying if self.shared else ():
            front = self.fronts[to]
            front.receive(self.now, sender, data)
            if front.escrow.pending_replies or front.escrow.pending_recalls:
                self.say(to)
        if round(self.now / (PERIOD / 10)) % (10 // TICKS_PER_PERIOD) == 0 and self.shared:
            for number in range(len(self.fronts)):
                self.say(number)
        for _ in range(self.draw(per_s * PERIOD / 10_000)):
            self.asks += 1
            front = self.fronts[busy]
            if not front.admit(self.now, self.asks, 0, 0, "/a").refused_by and front.may_start_set_up(
                self.now, self.asks
            ):
                lasts = 1000 * self.random.uniform(*LASTING_S)
                self.ends.append((self.now + lasts, busy, self.asks))
                self.stands += 1
        over = [e for e in self.ends if e[0] <= self.now]
        self.ends = [e for e in self.ends if e[0] > self.now]
        for _, number, ask in over:
            self.fronts[number].release(self.now, ask)
            self.stands -= 1

    def draw(self, mean: float) -> int:
        return int(mean) + (self.random.random() < mean % 1)


def surge(fronts: int, amount: int, seconds: float, loss: float = 0.0, shared: bool = True) -> dict[str, Any]:
    """All demand, 1.3 times what the limit holds, at one front, from the middle on at another."""
    fleet = Fleet(fronts, amount, loss, shared)
    for _ in range(40):  # four periods: they know one another
        fleet.step(0, 0.0)
    per_s = 1.3 * amount / statistics.mean(LASTING_S)
    fleet.words = fleet.bytes = 0
    used, most, reached, over = [], 0, [0.0, 0.0], 0
    steps = round(seconds * 1000 / (PERIOD / 10))
    for n in range(steps):
        half = 2 * n // steps
        busy = (1 % fronts, fronts - 1)[half]
        fleet.step(busy, per_s)
        held = fleet.fronts[busy].status(fleet.now)["limits"][0]["held"]
        if not reached[half] and held + (fleet.stands if half else 0) >= 0.9 * amount:
            reached[half] = (n - half * steps / 2) * PERIOD / 10_000
        used.append(min(1.0, fleet.stands / amount))
        most, over = max(most, fleet.stands), max(over, fleet.stands - amount)
    each = fleet.bytes / fronts / seconds
    return {
        "used": statistics.mean(used[len(used) // 8 :]),
        "steady": statistics.mean(used[steps // 8 : steps // 2]),
        "most": most / amount,
        "over": over,
        "reached_s": [round(r, 2) for r in reached],
        "words_s": round(fleet.words / fronts / seconds, 1),
        "bytes_s": round(each),
    }


def machines(sizes: list[int], seconds: float) -> None:
    for fronts in sizes:
        amount = 4 * fronts if fronts < 100 else 2 * fronts
        counter = surge(1, amount, seconds)["used"]
        print(f"a limit of {amount}: one counter that knows all uses {counter:.3f}")
        for loss in (0.0, 0.3):
            told = surge(fronts, amount, seconds, loss)
            alone = surge(fronts, amount, seconds, shared=False)["used"] if not loss else 0.0
            part = f" (1/{fronts} each: {alone:.3f})" if alone else ""
            print(
                f"{fronts:>5} fronts, {100 * loss:.0f}% lost: {told['used'] / counter:.3f} of the counter's, "
                f"{told['steady'] / counter:.3f} before demand moves"
                f"{part}, over by {told['over']}, 0.9 reached in {told['reached_s']} s, "
                f"{told['words_s']} words and {told['bytes_s']} bytes a second and front"
            )


def days(names: list[str], plays: int) -> None:
    keys = ("limit_over_most", "limit_over_bound", "limit_used_share", "limit_stale_most_s", "rules_broken")
    for name in names:
        for _ in range(plays):
            words = [sys.executable, "-m", "lemonhall", "day", f"examples/days/{name}.kdl", "--json"]
            done = subprocess.run(words, cwd=ROOT, capture_output=True, text=True, timeout=180)
            told = json.loads(done.stdout.strip().splitlines()[-1]) if done.stdout.strip() else {}
            print(name, {key: told.get(key) for key in keys})


def set_ups(turns: int, cycles: int) -> None:
    """In turns, so that both meet the same machine; the ratio of medians."""
    plain = bench_front.TERMS
    found: dict[bool, list[float]] = {False: [], True: []}
    with tempfile.TemporaryDirectory() as folder, bench_front.boxes(60) as (list_port, _):
        for _ in range(turns):
            for limited in (False, True):
                bench_front.TERMS = plain + LIMITS * limited
                with bench_front.front(list_port, Path(folder)) as (port, pid):
                    _, each_s, refused = bench_front.saturate(port, pid, cycles)
                assert refused < 0.01 * cycles, f"{refused} refused"
                found[limited].append(1 / each_s)
    bench_front.TERMS = plain
    without, with_limits = (statistics.median(found[n]) for n in (False, True))
    print(f"set-ups a CPU second: {without:.0f} without, {with_limits:.0f} with four limits")
    print(f"ratio {with_limits / without:.3f}; single ones {[round(x) for x in found[False] + found[True]]}")


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--fronts", default="8,24,200")
    words.add_argument("--seconds", type=float, default=20.0)
    words.add_argument("--days", default="")
    words.add_argument("--plays", type=int, default=3)
    words.add_argument("--set-ups", type=int, default=0, dest="set_ups")
    asked = words.parse_args()
    began = time.monotonic()
    if asked.days:
        days(asked.days.split(","), asked.plays)
    elif asked.set_ups:
        set_ups(asked.set_ups, 2000)
    else:
        machines([int(n) for n in asked.fronts.split(",")], asked.seconds)
    print(f"{time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main()
