"""`lemonhall members`: who a running front takes to be there."""

from __future__ import annotations

import json
import sys
import urllib.error
import urllib.request

import click

from lemonhall.problem import BadInput

WAIT_S = 3.0


@click.command()
@click.argument("status")
@click.option("--json", "as_json", is_flag=True, help="One JSON object on the last line.")
def members(status: str, as_json: bool) -> None:
    """Ask the front whose status address is STATUS (host:port); exit 1 if it is cut off or has a twin."""
    try:
        with urllib.request.urlopen(f"http://{status}/members", timeout=WAIT_S) as answer:
            told = json.load(answer)
    except urllib.error.HTTPError as error:
        raise BadInput(status, error.read().decode(errors="replace").strip()) from error
    except (OSError, ValueError) as error:
        raise BadInput(status, f"no front answers there: {error}") from error
    wrong = bool(told["cut_off"] or told["twin"])
    if as_json:
        click.echo(json.dumps(told))
    else:
        click.echo(f"front {told['number']}, incarnation {told['incarnation']}, health {told['health']}")
        click.echo(f"  there      {' '.join(map(str, told['members']))}")
        gone = [n for n, state in told["states"].items() if state in ("dead", "left")]
        click.echo(f"  gone       {' '.join(gone) or 'none'}")
        suspects = [n for n, state in told["states"].items() if state == "suspect"]
        click.echo(f"  suspected  {' '.join(suspects) or 'none'}")
        click.echo(f"  the module goes by {told['told']['fronts']} fronts, rank {told['told']['rank']}")
        if back := told.get("return"):
            lacks = "".join(f", {name} without {lack}" for name, lack in back["lacks"].items())
            click.echo(f"  phase {back['phase']} for {back['since_s']:g} s, store {back['store']}{lacks}")
        click.echo(f"  refused datagrams {told['refused']}")
        for what, said in (("cut_off", "this front may be cut off"), ("twin", "another has its number")):
            if told[what]:
                click.echo(f"  {said}")
    sys.exit(1 if wrong else 0)
