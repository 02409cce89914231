"""`lemonhall halls`: what a running front takes its halls to be; holding one out, letting it in again."""

from __future__ import annotations

import json
import sys
import urllib.error
import urllib.request
from typing import Any
from urllib.parse import quote

import click

from lemonhall.problem import BadInput

WAIT_S = 3.0
AS_JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object on the last line.")


@click.group()
def halls() -> None:
    """Losing and regaining a hall; STATUS is the status address of any front (host:port)."""


def ask(status: str, path: str, method: str = "GET") -> dict[str, Any]:
    """Raises `BadInput` if no front answers there, or it says no."""
    request = urllib.request.Request(f"http://{status}{path}", method=method)
    try:
        with urllib.request.urlopen(request, timeout=WAIT_S) as answer:
            told: dict[str, Any] = json.load(answer)
            return told
    except urllib.error.HTTPError as error:
        raise BadInput(status, error.read().decode(errors="replace").strip()) from error
    except (OSError, ValueError) as error:
        raise BadInput(status, f"no front answers there: {error}") from error


def say(told: dict[str, Any], as_json: bool) -> None:
    for hall in told["halls"]:
        words = f"{hall['hall']:<12} {hall['state']:<10} for {hall['since_s']:g} s"
        words += f", {hall['servers_ready']} servers of {hall['servers_most']}"
        words += f", back by {100 * hall['progress']:.0f}%" if hall["state"] == "returning" else ""
        words += ", held out" if hall["held_out"] else ""
        words += f", {hall['flaps']} flaps: a return takes {hall['ramp_s']:g} s" if hall["flaps"] else ""
        click.echo(words + (f" ({hall['why']})" if hall["why"] else ""))
    for limit in told["limits"]:
        parts = f"{100 * limit['used']:.3g}% used of {100 * limit['held']:.3g}% here"
        waits = f", waits for {limit['waits_for']} fronts" if limit["waits_for"] else ""
        click.echo(f"  {limit['of']} to {limit['to']}: {parts}; {100 * limit['limit']:.3g}% in all{waits}")
    if as_json:
        click.echo(json.dumps(told))


@halls.command()
@click.argument("status")
@AS_JSON
def show(status: str, as_json: bool) -> None:
    """States with their evidence, and limits; exit 1 if a hall is not up."""
    told = ask(status, "/halls")
    say(told, as_json)
    sys.exit(1 if any(h["state"] != "up" for h in told["halls"]) else 0)


ORDERS = {
    "hold": "Nothing new is set up in HALL, by any front, until it is released; what plays there goes on.",
    "release": "HALL is let in again, by its ramp; its flaps are forgotten.",
}


def order(what: str) -> None:
    """A command that gives an order to the front at STATUS, for all."""

    @halls.command(what, help=ORDERS[what])
    @click.argument("status")
    @click.argument("hall")
    @AS_JSON
    def give(status: str, hall: str, as_json: bool) -> None:
        say(ask(status, f"/halls/{what}?hall={quote(hall)}", "POST"), as_json)


for each in ORDERS:
    order(each)
