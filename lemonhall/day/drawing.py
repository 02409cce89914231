"""Faults drawn for a day instead of the written ones, and a schedule made small. Pure.

`draw`: so many faults of links and processes from a seed. `smallest`: delta debugging (Zeller, Hildebrandt,
"Simplifying and isolating failure-inducing input", 2002): what is left fails, and without any one of it not.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from lemonhall.config.day import Day, FaultSpec, LinkSpec, Shape
from lemonhall.layout import quoted

Faults = tuple[FaultSpec, ...]
BEGIN, END = 0.1, 0.8  # of the day: faults begin in between
LENGTHS = (0.02, 0.25)  # of the day
TWO_WAYS = 0.7  # of the links that fail
STORES = ("kept", "kept", "lost", "damaged", "older")
KINDS = ("cut", "cut", "slow-link", "slow-link", "silence", "reset")
FRONTS = ("front-killed", "front-killed", "front-frozen", "front-clock")
CLOCK_MS = (1000.0, 3_600_000.0)


def drawn_ends(day: Day, random: Random) -> tuple[str, str]:
    """Two ends between which something passes: single processes, halls, or all of a kind."""
    halls = [day.terms.halls[n] for n in sorted({f.hall for f in day.fronts})]
    one = random.choice([*(f.name for f in day.fronts), *halls, "fronts"])
    others = [*(b.name for b in day.boxes), *halls, "boxes", "list", "list", "fronts"]
    return one, random.choice([o for o in others if o != one or o == "fronts"])


def drawn_shape(kind: str, random: Random) -> Shape:
    if kind != "slow-link":
        return Shape(cut=kind == "cut", silent=kind == "silence")
    rate = random.choice([0.0, 0.0, random.uniform(50.0, 500.0)])
    return Shape(
        delay_ms=round(random.uniform(0, 250)),
        jitter_ms=round(random.uniform(0, 100)),
        loss=round(random.uniform(0, 0.3), 2),
        double=round(random.uniform(0, 0.2), 2),
        reorder=round(random.uniform(0, 0.2), 2),
        rate_kb=float(round(rate)),
    )


def draw(day: Day, count: int, seed: int) -> Faults:
    """So many faults; the first of them are the same for a larger count."""
    random = Random(f"{seed}/faults")
    found = []
    for _ in range(count):
        at = round(random.uniform(BEGIN, END) * day.length_ms)
        lasting = round(random.uniform(*LENGTHS) * day.length_ms)
        if random.random() < 0.6:
            kind = random.choice(KINDS)
            ends, one_way = drawn_ends(day, random), random.random() > TWO_WAYS
            link = LinkSpec(ends, one_way, drawn_shape(kind, random))
            found.append(FaultSpec(kind, at, 0 if kind == "reset" else lasting, (), 1.0, 0.0, link=link))
            continue
        kind, front = random.choice(FRONTS), random.choice(day.fronts).name
        by, store = random.uniform(*CLOCK_MS) * random.choice((-1, 1)), random.choice(STORES)
        by = round(by) if kind == "front-clock" else 0.0
        store = store if kind == "front-killed" else "kept"
        found.append(FaultSpec(kind, at, lasting, (front,), 1.0, by, store))
    return tuple(found)


def with_faults(day: Day, faults: Faults) -> Day:
    return replace(day, faults=tuple(sorted(faults, key=lambda f: f.at_ms)))


def smallest(faults: Faults, breaks: Callable[[Faults], bool]) -> Faults:
    """Fewer faults that still break it, so that without any one of those left `breaks` did not see it."""
    parts = 2
    while len(faults) > 1:
        size = -(-len(faults) // parts)
        pieces = [faults[n : n + size] for n in range(0, len(faults), size)]
        rests = [tuple(f for f in faults if f not in piece) for piece in pieces]
        tries = [*pieces, *rests] if parts == 2 else rests
        found = next((t for t in tries if len(t) < len(faults) and t and breaks(t)), None)
        if found is not None:
            faults, parts = found, 2 if found in pieces else max(2, parts - 1)
        elif parts >= len(faults):
            break
        else:
            parts = min(len(faults), 2 * parts)
    return faults


def as_kdl(fault: FaultSpec) -> str:
    """The fault as a node of a day."""
    words = ["fault", quoted(fault.kind), *map(quoted, fault.targets), f"at=(ms){fault.at_ms:g}"]
    words += [f"for=(ms){fault.for_ms:g}"] if fault.for_ms else []
    words += [f"part=(%){100 * fault.part:g}"] if fault.part != 1 else []
    words += [f"by=(ms){abs(fault.by_ms):.0f}"] if fault.by_ms else []
    words += ["back=#true"] if fault.by_ms < 0 else []
    words += [f"store={quoted(fault.store)}"] if fault.store != "kept" else []
    if fault.link:
        words += [f"from={quoted(fault.link.ends[0])}", f"to={quoted(fault.link.ends[1])}"]
        words += ["one-way=#true"] if fault.link.one_way else []
        s = fault.link.shape
        words += [f"{n}=(ms){v:g}" for n, v in (("delay", s.delay_ms), ("jitter", s.jitter_ms)) if v]
        parts = (("loss", s.loss), ("double", s.double), ("reorder", s.reorder))
        words += [f"{n}=(%){100 * v:g}" for n, v in parts if v]
        words += [f"rate=(kBps){s.rate_kb:g}"] if s.rate_kb else []
    return " ".join(words)
