"""Quantities with their units, as KDL type annotations: `(ms)250`, `(s)5`, `(kBps)600`, `(%)40`. Exact.

A number is a fraction until it has been converted; only then it becomes the nearest binary number, once.
"""

from __future__ import annotations

from fractions import Fraction

EXACT_MOST = 2**53  # whole numbers beyond it have no binary number of their own
UNITS: dict[str, dict[str, Fraction]] = {
    "time": {k: Fraction(v) for k, v in {"ms": 1, "s": 1000, "min": 60_000, "h": 3_600_000}.items()},
    "rate": {
        "kBps": Fraction(1),
        "MBps": Fraction(1000),
        "kbit": Fraction(1, 8),
        "Mbit": Fraction(125),
    },
    "size": {
        "B": Fraction(1),
        "kB": Fraction(1000),
        "MB": Fraction(10**6),
        "KiB": Fraction(1024),
        "MiB": Fraction(1024**2),
    },
    "part": {"%": Fraction(1, 100), "x": Fraction(1)},
}
BASE = {"time": "ms", "rate": "kB a second", "size": "bytes", "part": "of 1"}
MEANT = {  # what is written for something else, by the dimension that is wanted
    ("m", "time"): "minutes are (min), milliseconds (ms)",
    ("sec", "time"): "seconds are (s)",
    ("secs", "time"): "seconds are (s)",
    ("minutes", "time"): "minutes are (min)",
    ("kB/s", "rate"): "kB a second are (kBps)",
    ("MB/s", "rate"): "MB a second are (MBps)",
    ("kB", "rate"): "kB is a size; kB a second are (kBps)",
    ("MB", "rate"): "MB is a size; MB a second are (MBps), megabits (Mbit)",
    ("MiB", "rate"): "MiB is a size; MB a second are (MBps)",
    ("Mbps", "rate"): "megabits a second are (Mbit)",
    ("Mb", "rate"): "megabits a second are (Mbit)",
    ("kbps", "rate"): "kilobits a second are (kbit)",
    ("Mbit", "size"): "Mbit is a rate; sizes are (MB) or (MiB)",
    ("kbit", "size"): "kbit is a rate; sizes are (kB) or (KiB)",
    ("K", "size"): "1000 bytes are (kB), 1024 (KiB)",
    ("M", "size"): "a million bytes are (MB), 1048576 (MiB)",
    ("percent", "part"): "percents are (%)",
}


def convert(number: int | Fraction, unit: str, kind: str) -> float:
    """The number in the dimension's base unit. Raises `KeyError` for a unit that is none of it."""
    return float(Fraction(number) * UNITS[kind][unit])


def unit_fix(written: str, unit: str | None, kind: str) -> str:
    """What was likely meant by a number with no unit, or one that is none of the dimension."""
    if unit is None:
        return f"write {' or '.join(f'({u}){written}' for u in list(UNITS[kind])[:2])}"
    if meant := MEANT.get((unit, kind)):
        return meant
    return f"units of a {kind} are {', '.join(f'({u})' for u in UNITS[kind])}"


def show(value: object, kind: str) -> str:
    """A value in the operators' words: 5 s, 250 ms, 600 kB/s, 40%."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if value is None:
        return "none"
    if kind == "time" and isinstance(value, int | float):
        return f"{value / 1000:g} s" if value >= 1000 else f"{value:g} ms"
    if kind == "rate":
        return f"{value:g} kB/s"
    if kind == "size":
        return f"{value:g} B"
    if kind == "part" and isinstance(value, int | float):
        return f"{value * 100:g}%"
    return f"{value:g}" if isinstance(value, float) else str(value)
