"""`lemonhall capture`, `replay`, `why`: what a front was told, and its decisions again."""

from __future__ import annotations

import json
import sys
import urllib.error
import urllib.request
from pathlib import Path

import click

from lemonhall import decide
from lemonhall.capture import (
    Capture,
    OtherRecord,
    Replay,
    ReplayedCall,
    ReplayError,
    differing_sessions,
    read_capture,
)
from lemonhall.capture.report import (
    FrontCapture,
    describe_action,
    describe_event,
    describe_session,
    printed_name,
    render_timelines,
    session_id_of,
)
from lemonhall.capture.ring import rewrite_capture
from lemonhall.config.settings import read_settings
from lemonhall.front.persistence.capture_writer import write_atomically
from lemonhall.front.process.daemon import load_module
from lemonhall.problem import BadInput

WAIT_S = 10.0


def opened(path: Path) -> Capture:
    try:
        data = path.read_bytes()
    except OSError as error:
        raise BadInput(str(path), error.strerror or "cannot be read") from error
    made = read_capture(data)
    for trouble in made.unreadable:
        click.echo(f"{path}: byte {trouble.offset}: {trouble.reason}", err=True)
    if not made.records:
        raise BadInput(str(path), "holds nothing of a capture that can be read")
    return made


def run(path: Path, replay: Replay, made: Capture) -> list[ReplayedCall | OtherRecord]:
    steps: list[ReplayedCall | OtherRecord] = []
    try:
        for step in replay.run(made.records):
            steps.append(step)
    except ReplayError as error:
        if not steps:
            raise BadInput(str(path), str(error)) from error
        click.echo(f"{path}: {error}", err=True)
    return steps


@click.group()
def capture() -> None:
    """What a front was told, and what it decided."""


@capture.command()
@click.argument("status")
@click.argument("out", type=click.Path(path_type=Path))
def save(status: str, out: Path) -> None:
    """Save the last minutes of the front whose status address is STATUS (host:port) to OUT."""
    try:
        with urllib.request.urlopen(f"http://{status}/capture", timeout=WAIT_S) as answer:
            data = answer.read()
    except (OSError, urllib.error.URLError) as error:
        raise BadInput(status, f"no front answers there: {error}") from error
    write_atomically(out, data)
    click.echo(f"{out}: {len(data)} bytes")


@capture.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--calls", is_flag=True, help="Each call, what it was told and what was decided.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object on the last line.")
def show(file: Path, calls: bool, as_json: bool) -> None:
    """What a capture holds; exit 1 if a part of it cannot be read or was left out."""
    made = opened(file)
    kinds = [r.WhichOneof("what") for r in made.records]
    count = {kind: kinds.count(kind) for kind in ("header", "call", "gap", "snapshot", "word")}
    sessions = {s for b in made.blocks for s in b.sessions}
    seconds = (made.blocks[-1].last_ms - made.blocks[0].first_ms) / 1000 if made.blocks else 0.0
    head = next((r.header for r in made.records if r.WhichOneof("what") == "header"), None)
    if head:
        click.echo(
            f"front {head.front}, lemonhall {head.program}, module {head.module[:12]}, seed {head.seed}"
        )
    click.echo(
        f"{count['call']} calls in {seconds:.1f} s, {len(sessions)} sessions, {count['snapshot']} snapshots"
    )
    for record in made.records:
        if record.WhichOneof("what") == "gap":
            click.echo(f"gap of {record.gap.calls} calls: {record.gap.why}")
        elif record.WhichOneof("what") == "word" and record.word.who == "recorded anew":
            click.echo(f"recorded anew: {record.word.text}")
    if calls:
        for step in run(file, Replay(), made):
            if isinstance(step, ReplayedCall):
                click.echo(f"call {step.number} at {step.now:.3f}")
                for event in step.events:
                    click.echo(
                        f"  {session_id_of(event) or ''} {describe_event(event) or printed_name(event)}"
                    )
                for action in step.recorded:
                    click.echo(
                        f"  > {session_id_of(action) or ''} {describe_action(action) or printed_name(action)}"
                    )
    if as_json:
        click.echo(
            json.dumps(
                {**count, "sessions": len(sessions), "seconds": seconds, "troubles": len(made.unreadable)}
            )
        )
    sys.exit(1 if made.unreadable or count["gap"] else 0)


@capture.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--reason", required=True, help="Why other decisions are right now; it is kept in the file.")
@click.option("--module", default="", help="Decide by the Front of this file.")
def again(file: Path, reason: str, module: str) -> None:
    """Decide FILE's calls anew and keep these decisions in it, with the reason."""
    made = opened(file)
    make = load_module(module) if module else decide.Front
    steps = [s for s in run(file, Replay(make), made) if isinstance(s, ReplayedCall)]
    changed = sum(not s.same for s in steps)
    write_atomically(file, rewrite_capture(made.records, [(s.number, s.decided) for s in steps], reason))
    click.echo(f"{file}: {changed} of {len(steps)} calls decided otherwise")


@capture.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.argument("out", type=click.Path(path_type=Path))
def picture(files: tuple[Path, ...], out: Path) -> None:
    """Draw captures as one HTML page, several fronts below one another on one axis of time."""
    fronts = []
    for file in files:
        replay = Replay()
        steps = run(file, replay, opened(file))
        assert replay.header
        offset = replay.header.wall_ms - replay.header.at_ms
        fronts.append(FrontCapture(f"{replay.header.front}, {file.name}", steps, offset))
    write_atomically(
        out, render_timelines(fronts, "Captures" if len(files) > 1 else f"Capture {files[0].name}").encode()
    )


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--module", default="", help="Decide by the Front of this file instead.")
@click.option("--settings", type=click.Path(path_type=Path), default=None, help="Decide under these instead.")
def replay(file: Path, module: str, settings: Path | None) -> None:
    """Decide again what FILE recorded; exit 1 at the first difference, which is shown.

    With another module or other settings: the differences by session, on what was told then.
    """
    make = load_module(module) if module else decide.Front
    other = read_settings(settings).to_module() if settings else None
    steps = [s for s in run(file, Replay(make, other), opened(file)) if isinstance(s, ReplayedCall)]
    if module or settings:
        found = differing_sessions(steps)
        for ident, words in found:
            click.echo(f"session {ident}: {words}")
        click.echo(f"{len(found)} sessions differ in {len(steps)} calls")
        sys.exit(1 if found else 0)
    wrong = next((s for s in steps if not s.same), None)
    if wrong is None:
        click.echo(f"{len(steps)} calls, the same decisions")
        return
    click.echo(f"call {wrong.number} at {wrong.now:.3f} ms differs")
    for event in wrong.events:
        click.echo(f"  told     {event}")
    for action in wrong.recorded:
        click.echo(f"  recorded {action}")
    for action in wrong.decided:
        click.echo(f"  decided  {action}")
    sys.exit(1)


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.argument("session")
def why(file: Path, session: str) -> None:
    """The life of one SESSION: what was known of each server, why refused, why that rung.

    SESSION is the module's number, or the RTSP session that a viewer was given.
    """
    made = opened(file)
    number = int(session) if session.isdigit() else 0
    if not number:
        words = [r.word for r in made.records if r.WhichOneof("what") == "word"]
        number = next((w.session for w in words if w.who == "viewer" and session in w.text.split()), 0)
    lines: list[str] = []
    if number:
        steps = run(file, Replay(with_reasons=True), made)
        first = next((s.now for s in steps if isinstance(s, ReplayedCall)), 0.0)
        lines = describe_session(steps, number, first)
    if not lines:
        raise BadInput(str(file), f"does not speak of session {session}")
    for line in lines:
        click.echo(line)
