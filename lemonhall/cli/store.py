"""`lemonhall store`: look into what a front keeps on disk, also while it runs."""

from __future__ import annotations

import json
import sys
from datetime import UTC, datetime
from pathlib import Path

import click
import lmdb

from lemonhall.problem import BadInput
from lemonhall.store import RecordError, Standing, Store, Token
from lemonhall.store.file import MESSAGE_TYPES


@click.group()
def store() -> None:
    """What a front keeps on disk."""


def opened(folder: Path) -> Store:
    if not (folder / "data.mdb").exists():
        raise BadInput(str(folder), "no store there")
    return Store(folder, readonly=True)


@store.command()
@click.argument("folder", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="One JSON object on the last line.")
def check(folder: Path, as_json: bool) -> None:
    """Read every record; exit 1 if one is damaged or of a newer version."""
    try:
        file = opened(folder)
        found = file.check_records()
        file.close()
    except lmdb.Error as error:  # pages themselves are damaged: no record behind them can be named
        click.echo(f"  bad: the file itself: {error}")
        sys.exit(1)
    assert found.about
    counts = {name: found.counts[name] for name in MESSAGE_TYPES}
    standings = {s.name.lower(): found.standings[s] for s in Standing}
    if as_json:
        shown = {
            "front": found.about.front,
            "store": f"{found.about.store:08x}",
            **counts,
            "standings": standings,
            "bytes": found.bytes_used,
            "bytes_most": found.max_bytes,
            "bad": found.damaged,
        }
        click.echo(json.dumps(shown))
    else:
        made = datetime.fromtimestamp(found.about.made_ms / 1000, UTC)
        name = f"front {found.about.front}, store {found.about.store:08x}"
        click.echo(f"{name}, made {made:%Y-%m-%d %H:%M} UTC")
        click.echo("  " + ", ".join(f"{name} {n}" for name, n in counts.items()))
        click.echo("  claims: " + ", ".join(f"{name} {n}" for name, n in standings.items()))
        click.echo(f"  {found.bytes_used} of {found.max_bytes} bytes")
        for line in found.damaged:
            click.echo(f"  bad: {line}")
    sys.exit(1 if found.damaged else 0)


@store.command()
@click.argument("folder", type=click.Path(path_type=Path))
@click.option("--claim", default="", help="One claim, by its token.")
@click.option("--most", default=50, show_default=True, help="So many of each, the newest.")
def show(folder: Path, claim: str, most: int) -> None:
    """Show claims, the newest first, and sessions that play."""
    file = opened(folder)
    try:
        if claim:
            show_claim(file, claim)
            return
        newest = list(file.records("claims"))[-most:][::-1]
        for key, record in newest:
            click.echo(line_of(key, record))
        for _, record in list(file.records("held"))[:most]:
            if not isinstance(record, RecordError):
                since = datetime.fromtimestamp(record.since_ms / 1000, UTC)
                click.echo(f"plays {record.path} at server {record.server} since {since:%H:%M:%S} UTC")
    finally:
        file.close()


def show_claim(file: Store, text: str) -> None:
    token = Token.parse(text)
    if token is None:
        raise BadInput("--claim", f"no token of a claim: {text!r}")
    try:
        record = file.get("claims", token.key)
    except RecordError as error:
        record = error
    if record is None:
        raise BadInput("--claim", "not in this store: never set up by this front, or too long ago")
    click.echo(line_of(token.key, record))


def line_of(key: bytes, record: object) -> str:
    token = Token.of_key(key)
    if isinstance(record, RecordError):
        return f"{token}  {record}; it may have run"
    at = datetime.fromtimestamp(record.at_ms / 1000, UTC)  # type: ignore[attr-defined]
    standing = Standing(record.standing)  # type: ignore[attr-defined]
    words = {
        Standing.FREE: "never ran, may be set up",
        Standing.OUT: "may have run: its end is not known",
        Standing.RAN: "ran, or may have",
        Standing.PASSED: f"passed to front {record.to}",  # type: ignore[attr-defined]
    }[standing]
    return f"{token}  {at:%Y-%m-%d %H:%M:%S}  attempts {record.attempts}  {words}"  # type: ignore[attr-defined]


@store.command()
@click.argument("folder", type=click.Path(path_type=Path))
def compact(folder: Path) -> None:
    """Make the file small again. The front must not run."""
    if not (folder / "data.mdb").exists():
        raise BadInput(str(folder), "no store there")
    look = Store(folder, readonly=True)
    front, most = int(look.about.front), int(look.env.info()["map_size"])
    look.close()
    before, after = Store(folder, front, most).compact()
    click.echo(f"{before} bytes before, {after} after")
