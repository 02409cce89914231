"""`lemonhall import nginx`: partners' files to routes and pools, with a verdict on every directive."""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path

import click

from lemonhall.config.formatter import format_text
from lemonhall.config.meaning import diff
from lemonhall.config.routing import Answered, BadPattern, Request, Router, compile_pattern
from lemonhall.config.schema import SETTINGS
from lemonhall.config.settings import make_settings, read_tree
from lemonhall.importer import DIFFERS, EXACT, LOST, Imported, as_html, as_json, as_text, import_files
from lemonhall.problem import BadInput

AROUND = """halls "h"
racks count=1
link per-weight=(kBps)1
ladder { rung rate=(kBps)1 worth=1; }
kind "k" places=1
class {cls} worth=1 aim=(s)1 deadline=(s)1
{partner}
attempts most=1
cold from=(%)100 warm=(s)1 factor=1 tip-after=(s)1
reports fields="x0" every=(s)1 late=(s)1
front "f" hall="h" listen="127.0.0.1:0"
"""


@click.group("import")
def importing() -> None:
    """Read other programs' configuration."""


def problem_of(pattern: str) -> str:
    try:
        compile_pattern(pattern)
    except BadPattern as error:
        return str(error)
    return ""


def whole(text: str, cls: str, partner: str) -> str:
    """The imported part within settings that are otherwise as small as can be."""
    told = f'partner "{partner}" quota=0' if partner else ""
    return AROUND.replace("{cls}", json.dumps(cls)).replace("{partner}", told) + text


def checked(text: str, cls: str, partner: str) -> Router:
    """The router of what was written. Raises `BadInput` if our own reader does not take it."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "imported.kdl"
        path.write_text(whole(text, cls, partner), encoding="utf-8")
        terms = make_settings(read_tree(path, SETTINGS)[1]).terms
    return Router(terms.routes, terms.normal_paths)


@importing.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--class", "cls", required=True, help="The class of the imported routes' sessions.")
@click.option("--partner", default="", help="Their partner.")
@click.option("--listen", default="", help="The address whose servers are carried; else the first.")
@click.option("--out", type=click.Path(path_type=Path), default=None, help="Where the settings go.")
@click.option(
    "--report", type=click.Path(path_type=Path), default=None, help="The verdicts as one HTML page."
)
@click.option("--json", "as_json_too", is_flag=True, help="The verdicts as JSON on the last line.")
@click.option("--strict", is_flag=True, help="Exit 1 if anything differs or is not carried.")
@click.option(
    "--explain", default="", help='One request through both: "HOST /path", "HOST /path Name=value".'
)
@click.option("--against", type=click.Path(path_type=Path), default=None, help="An earlier import.")
def nginx(
    files: tuple[Path, ...],
    cls: str,
    partner: str,
    listen: str,
    out: Path | None,
    report: Path | None,
    as_json_too: bool,
    strict: bool,
    explain: str,
    against: Path | None,
) -> None:
    """Write the routes and pools of nginx FILES (or folders of *.conf); say what could not be carried."""
    made = import_files(list(files), cls, partner, listen, problem_of)
    for problem in made.problems:
        click.echo(str(problem), err=True)
    made.text = format_text(made.text, "imported.kdl")
    router = checked(made.text, cls, partner)
    if explain:
        walk(made, router, explain)
        return
    if against:
        sys.exit(show_difference(made.text, against, cls, partner))
    if out:
        out.write_text(made.text, encoding="utf-8")
        if made.hooks:
            out.with_suffix(".hook").write_text(made.hooks, encoding="utf-8")
    else:
        click.echo(made.text, nl=False)
    if report:
        report.write_text(as_html(made.notes, [str(f) for f in files]), encoding="utf-8")
    click.echo(as_text(made.notes), err=out is None)
    if as_json_too:
        verdicts = {v: sum(n.verdict == v for n in made.notes) for v in (EXACT, DIFFERS, LOST)}
        problems = [str(p) for p in made.problems]
        click.echo(json.dumps({"notes": as_json(made.notes), "problems": problems, **verdicts}))
    worse = made.problems or any(n.verdict in (DIFFERS, LOST) for n in made.notes)
    sys.exit(1 if strict and worse else 0)


def walk(made: Imported, router: Router, explain: str) -> None:
    """Both ways of one request; exit 1 if they end apart."""
    host, _, rest = explain.partition(" ")
    target, *pairs = rest.split()
    if not target.startswith("/"):
        raise BadInput("--explain", 'give "HOST /path", as in "clips.example /a/b.mp4"')
    headers = {k.lower(): v for k, _, v in (p.partition("=") for p in pairs)}
    outcome = made.evaluate(host, target, headers)
    click.echo("nginx, by its documentation:")
    for step in outcome.steps:
        click.echo(f"  {step}")
    theirs = f"answers {outcome.status} {outcome.to}".rstrip()
    if not outcome.status:
        theirs = f"upstream {outcome.upstream}, URI {outcome.uri}"
    click.echo(f"  {theirs}\nlemonhall, by the imported routes:")
    steps: list[str] = []
    found = router.find(Request(target, host, lambda n: headers.get(n.lower(), "")), steps.append)
    for step in steps:
        click.echo(f"  {step}")
    if found is None:
        ours = "answers 404"
    elif isinstance(found, Answered):
        ours = f"answers {found.status} {found.to}".rstrip()
    else:
        ours = f"upstream {found.route.pool.name if found.route.pool else '?'}, URI {found.path}"
    click.echo(f"  {ours}")
    sys.exit(0 if ours == theirs else 1)


def show_difference(text: str, against: Path, cls: str, partner: str) -> int:
    """What an import after an edit would change, in the operators' words."""
    with tempfile.TemporaryDirectory() as folder:
        trees = []
        for name, part in (("old", against.read_text(encoding="utf-8")), ("new", text)):
            path = Path(folder) / f"{name}.kdl"
            path.write_text(whole(part, cls, partner), encoding="utf-8")
            trees.append(read_tree(path, SETTINGS)[1])
        changes = diff(*trees)
    for change in changes:
        click.echo(f"{change.what}{f'  (danger: {change.danger})' if change.danger else ''}")
    if not changes:
        click.echo("the same")
    return 1 if changes else 0
