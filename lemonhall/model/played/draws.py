"""All that is left to chance, one stream a purpose, so that one change leaves the others' draws alone.

Who asks for what is drawn ahead with numpy (PCG64, seeded by the day's seed and the purpose). What a viewer
or a server does later is drawn by name (seed, purpose, who, which time): two versions that decide differently
still meet the same viewers.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
import xxhash

from lemonhall.config.day import Day

RAMP_MS = 400.0  # the first arrivals are spread out
LOW_TOP = 0.2  # of the viewers have a lesser screen


def stream(seed: int, purpose: str) -> np.random.Generator:
    """The generator of one purpose."""
    key = xxhash.xxh3_64_intdigest(purpose.encode())
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, key & 0xFFFFFFFF, key >> 32])))


class Named:
    """Numbers from 0 to 1 by name: the same name, the same number, in any order of asking."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def uniform(
        self, purpose: str, who: object, which: int = 0, low: float = 0.0, high: float = 1.0
    ) -> float:
        key = f"{self.seed}/{purpose}/{who}/{which}".encode()
        return low + (high - low) * xxhash.xxh3_64_intdigest(key) / 2.0**64


@dataclass(slots=True)
class Wish:
    """What one person wants to see, over all tries. Times in ms of the simulated clock."""

    number: int
    at: float
    mix: int
    cls: int
    tenant: int
    path: str
    title: int
    length_ms: float
    hall: int
    top: int
    vanishes: bool
    tries: int = 0
    watched_ms: float = 0.0
    claim: int = 0  # number of its paid claim; it stays the same until it is answered
    claim_front: str = ""  # the front that can say whether the claim ran; "": not asked for yet
    claim_ran: bool = False  # it may have


def wishes(day: Day, seed: int) -> list[Wish]:
    """Arrivals in order of time: Poisson for each mix, more of them in a surge; titles by Zipf's law."""
    made: list[Wish] = []
    rungs = len(day.terms.ladder_kb)
    halls = sorted({f.hall for f in day.fronts})
    for which, mix in enumerate(day.mixes):
        surges = [
            f for f in day.faults if f.kind == "surge" and day.terms.tenant_names[mix.tenant] in f.targets
        ]
        most = mix.per_s * max([1.0, *(1 + f.part for f in surges)])
        if most <= 0:
            continue
        arrivals = stream(seed, f"arrivals/{which}")
        expected = most * day.length_ms / 1000
        count = int(expected + 8 * np.sqrt(expected) + 16)
        at = RAMP_MS * arrivals.random() + np.cumsum(arrivals.exponential(1000 / most, count))
        now = np.full(count, mix.per_s)
        for f in surges:
            now[(at >= f.at_ms) & (at < f.at_ms + f.for_ms)] += mix.per_s * f.part
        comes = (at >= mix.since_ms) & (at < min(mix.until_ms, day.length_ms))
        at = at[(arrivals.random(count) * most < now) & comes]
        n = len(at)
        weights = np.cumsum(1 / np.arange(1, mix.titles + 1))
        title = np.searchsorted(weights, stream(seed, f"titles/{which}").random(n) * weights[-1])
        length = stream(seed, f"lengths/{which}").uniform(*mix.length_ms, n)
        hall = stream(seed, f"halls/{which}").integers(0, len(halls), n)
        top = np.where(stream(seed, f"tops/{which}").random(n) > LOW_TOP, rungs - 1, max(1, rungs - 2))
        gone = stream(seed, f"vanish/{which}").random(n) < day.drop
        for k in range(n):
            made.append(
                Wish(
                    0,
                    float(at[k]),
                    which,
                    mix.cls,
                    mix.tenant,
                    mix.path,
                    int(title[k]),
                    float(length[k]),
                    halls[int(hall[k])],
                    int(top[k]),
                    bool(gone[k]),
                )
            )
    made.sort(key=lambda w: (w.at, w.mix))
    for number, wish in enumerate(made, 1):
        wish.number = number
    return made
