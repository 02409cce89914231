"""Load reports in responses, in the text format of ORCA (`endpoint-load-metrics: TEXT k=v, ...`). No I/O."""

from __future__ import annotations

from math import isfinite

HEADER = "endpoint-load-metrics"


def encode(values: dict[str, float]) -> str:
    return "TEXT " + ",".join(f"named_metrics.{name}={value:.4g}" for name, value in values.items())


def decode(text: str, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Returns the values of `fields` in their order, or `()` if one is missing or the format is another."""
    format_name, _, rest = text.strip().partition(" ")
    if format_name.upper() != "TEXT":
        return ()
    values: dict[str, float] = {}
    for metric in rest.split(","):
        name, equals, value = metric.strip().partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if equals and isfinite(number) and number >= 0:
            values[name.removeprefix("named_metrics.")] = number
    if any(name not in values for name in fields):
        return ()
    return tuple(values[name] for name in fields)
