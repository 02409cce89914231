"""`lemonhall limits`: limits of the whole fleet, as running fronts have them; forgetting one that is gone."""

from __future__ import annotations

import json
from typing import Any

import click

from lemonhall.cli.halls import AS_JSON, ask

SUMS = ("used", "held", "borrowed", "lent", "needed", "refused")


@click.group()
def limits() -> None:
    """Limits that all fronts hold together; STATUS is the status address of a front (host:port)."""


def of_fleet(told: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Several fronts' words as one: sums, the smallest amount that one goes by, the oldest word."""
    made: dict[str, dict[str, Any]] = {}
    for one in (m for t in told for m in t["limits"]):
        sums = made.setdefault(one["limit"], {**one, **dict.fromkeys(SUMS, 0), "fronts": 0})
        sums["fronts"] += 1
        sums["goes_by"] = min(sums["goes_by"], one["goes_by"])
        sums["oldest_s"] = max(sums["oldest_s"] or 0, one["oldest_s"] or 0)
        for name in SUMS:
            sums[name] += one.get(name, 0)
    return list(made.values())


def line(m: dict[str, Any]) -> str:
    words = f"{m['limit']:<16} {m['hold']:<6} {m['used']} of {m['goes_by']} {m['of']} used"
    if m["goes_by"] != m["amount"]:
        words += f" (of {m['amount']}, once all fronts have it)"
    if m["hold"] == "soft":
        words += f", others {m.get('others', 0)}, off by {m.get('off_most', 0):g} at most"
    else:
        words += f", {m['held']} held, {m['lent']} lent, {m['borrowed']} borrowed"
        words += f", {m['needed']} needed" if m["needed"] else ""
    oldest = f", oldest word {m['oldest_s']:g} s" if m["oldest_s"] else ""
    return words + oldest + f", {m['refused']} refused"


@limits.command()
@click.argument("status", nargs=-1, required=True)
@AS_JSON
def show(status: tuple[str, ...], as_json: bool) -> None:
    """Each limit: used, held, lent, how old the words are; of several fronts their sums."""
    told = [ask(one, "/limits") for one in status]
    shown = told[0]["limits"] if len(told) == 1 else of_fleet(told)
    for m in shown:
        click.echo(line(m))
    for one in told:
        if one["waits_for"]:
            waits = " ".join(map(str, one["waits_for"]))
            click.echo(f"front {one['front']} has yet to hear from {waits}, and uses nothing of its own part")
        if one["forgotten"]:
            click.echo(f"front {one['front']} takes for gone {' '.join(map(str, one['forgotten']))}")
    if as_json:
        click.echo(json.dumps({"limits": shown, "fronts": told}))


@limits.command()
@click.argument("status")
@click.argument("front", type=int)
@AS_JSON
def forget(status: str, front: int, as_json: bool) -> None:
    """FRONT, by its number, is gone for good: its part is the others'. Refused while it speaks."""
    told = ask(status, f"/limits/forget?front={front}", "POST")
    for m in told["limits"]:
        click.echo(line(m))
    if as_json:
        click.echo(json.dumps(told))
