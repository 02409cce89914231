"""`lemonhall config check|fmt|diff|explain|reference|example|complete`: settings, away from any front."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict
from pathlib import Path

import click

from lemonhall.config import pages
from lemonhall.config.check import Typed
from lemonhall.config.dayschema import DAY
from lemonhall.config.document import read_bytes
from lemonhall.config.formatter import Formatter
from lemonhall.config.load import Tree
from lemonhall.config.meaning import diff as differences
from lemonhall.config.meaning import key_of, label, said
from lemonhall.config.schema import SETTINGS, Spec
from lemonhall.config.settings import bounds_of, read_tree
from lemonhall.problem import BadInput

FILE = click.Path(path_type=Path)
AS_JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object on the last line.")


def specs_of(path: Path) -> tuple[Spec, ...]:
    """The schema of a file: a day says so by its node `day`."""
    try:
        nodes = read_bytes(path.read_bytes(), str(path)).nodes
    except (OSError, BadInput):
        return SETTINGS  # what is wrong with it is told when it is read in earnest
    return DAY if any(n.name == "day" for n in nodes) else SETTINGS


def tree_of(path: Path) -> tuple[Tree, list[Typed]]:
    return read_tree(path, specs_of(path))


@click.group()
def config() -> None:
    """Settings and days: check, format, compare, explain."""


@config.command()
@click.argument("files", nargs=-1, required=True, type=FILE)
@AS_JSON
def check(files: tuple[Path, ...], as_json: bool) -> None:
    """Say all that is wrong in FILES, each with what it includes; exit 2 if anything is."""
    problems = []
    bounds = []
    for path in files:
        try:
            bounds += bounds_of(tree_of(path)[1])
        except BadInput as error:
            problems += error.problems
    for problem in problems:
        click.echo(str(problem), err=True)
    if as_json:
        click.echo(json.dumps({"files": len(files), "problems": [asdict(p) for p in problems]}))
    elif not problems:
        click.echo(f"{len(files)} fine")
        for line in bounds:
            click.echo(line)
    sys.exit(2 if problems else 0)


@config.command()
@click.argument("files", nargs=-1, required=True, type=FILE)
@click.option("--check", "only", is_flag=True, help="Write nothing; exit 1 if a file is not formatted.")
def fmt(files: tuple[Path, ...], only: bool) -> None:
    """Bring FILES into their one form. There are no options of style."""
    changed = 0
    for path in files:
        try:
            data = path.read_bytes()
        except OSError as error:
            raise BadInput(str(path), error.strerror or "cannot be read") from error
        made = Formatter(read_bytes(data, str(path))).format().encode()
        if made != data:
            changed += 1
            click.echo(f"{path}: {'not formatted' if only else 'formatted'}")
            if not only:
                path.write_bytes(made)
    sys.exit(1 if only and changed else 0)


@config.command()
@click.argument("a", type=FILE)
@click.argument("b", type=FILE)
@AS_JSON
def diff(a: Path, b: Path, as_json: bool) -> None:
    """The change in meaning from A to B; exit 1 if there is any."""
    changes = differences(tree_of(a)[1], tree_of(b)[1])
    if as_json:
        click.echo(json.dumps({"changes": [asdict(c) for c in changes]}))
    else:
        for change in changes:
            click.echo(f"{change}" + (f"  ({change.place})" if change.place else ""))
    sys.exit(1 if changes else 0)


def walk(nodes: list[Typed], inside: str = "") -> list[tuple[str, Typed]]:
    made = []
    for n, node in enumerate(nodes):
        name = inside + label(key_of(node, n))
        made.append((name, node))
        made += walk(node.children, f"{name}: ")
    return made


@config.command()
@click.argument("path", type=FILE)
@click.option("--only", default="", help="Nodes and fields whose name holds this.")
def explain(path: Path, only: str) -> None:
    """Where each value of PATH comes from, and what it replaced."""
    tree, typed = tree_of(path)
    for name, node in walk(typed):
        for field in node.spec.fields:
            title = f"{name}: {field.name}"
            if only not in title:
                continue
            value = said(node.values[field.name], field.kind)
            given = node.node.properties.get(field.name)
            if given is None:
                click.echo(f"{title} = {value}  by default")
                continue
            spot = given.spot
            via = f", {given.via}" if given.via else ""
            click.echo(f"{title} = {value}  {spot.file}:{spot.line}:{spot.column}{via}")
            for old in tree.replaced.get(id(given), []):
                via = f", {old.via}" if old.via else ""
                unit = f"({old.unit})" if old.unit else ""
                click.echo(f"    over {unit}{old.source}  {old.spot.file}:{old.spot.line}{via}")


@config.command()
def reference() -> None:
    """The operators' page of all nodes and fields, in Markdown."""
    click.echo(pages.reference(), nl=False)


@config.command()
def example() -> None:
    """A settings file to begin with."""
    click.echo(pages.example(), nl=False)


@config.command()
def complete() -> None:
    """Completion data for editors, JSON."""
    click.echo(json.dumps(pages.completion()))
