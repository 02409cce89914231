"""`lemonhall serve`: the front as a daemon.

Signals: TERM and INT stop, USR1 drains, HUP loads settings and hook scripts anew.
"""

from __future__ import annotations

import base64
import json
import os
import pickle
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any

import click

from lemonhall import decide
from lemonhall.config.schema import SETTINGS
from lemonhall.config.settings import FrontSettings, make_settings, read_tree
from lemonhall.front.decider import set_up_requests
from lemonhall.front.handover import front_handover
from lemonhall.front.handover.front_handover import ReplaceableDaemon
from lemonhall.front.process.channel import Channel
from lemonhall.front.process.daemon import Daemon, InheritedSockets, load_module
from lemonhall.front.process.supervisor import supervise
from lemonhall.front.workers import parent_handover
from lemonhall.front.workers.build_id import freeze_garbage_collector
from lemonhall.front.workers.parent import Parent, ignore_terminal_interrupts, wait_for_activation
from lemonhall.front.workers.worker_connections import WorkerConnections
from lemonhall.loop import Loop
from lemonhall.problem import BadInput

CRASHED = 3
DEAF = "LEMONHALL_DEAF"  # for days: a folder of files that say whom a front does not hear, how its clock is
DEAF_EVERY_S = 0.1


@click.command()
@click.argument("settings", type=click.Path(path_type=Path))
@click.option("--module", default="", help="Decide by the Front of this file instead.")
@click.option("--check", is_flag=True, help="Read settings and hooks, say what is wrong, start nothing.")
@click.option("--supervise", "kept", is_flag=True, help="Run it under a parent that starts it again.")
@click.option("--replace", is_flag=True, help="Take over from the front that serves, with what plays there.")
@click.option("--decide", "decides", default="", hidden=True, help="Of a parent: what its decider is given.")
@click.option("--die-at", default="", hidden=True, help="For tests: end at a point of a change of guard.")
def serve(
    settings: Path, module: str, check: bool, kept: bool, replace: bool, decides: str, die_at: str
) -> None:
    """Serve viewers by SETTINGS until SIGTERM; standard output says where."""
    if decides:
        decide_for(settings, module, decides, die_at)
        return
    typed = read_tree(settings, SETTINGS)[1]
    made = make_settings(typed)
    if made.workers and not (check or kept):
        with_workers(made, settings, module, replace, die_at)
        return
    wall = Wall(made.name)
    daemon = ReplaceableDaemon(made, load_module(module) if module else decide.Front, wall=wall)
    daemon.remember_settings(str(settings), pickle.dumps(typed))
    daemon.failpoint = front_handover.exit_at_failpoint(die_at) if not made.workers else daemon.failpoint
    if check or kept or replace:
        daemon.hooks.load()
    if check:
        click.echo(f"{settings}: fine")
        return
    if kept:
        words = ["--log-format", log_format(), "serve", str(settings), *(["--replace"] if replace else [])]
        sys.exit(supervise([*words, *(["--module", module] if module else [])]))
    if replace:
        relieve(daemon, settings)
    else:
        opened(daemon, settings)
    daemon.loop.add_signal_handler(signal.SIGINT, daemon.stop)
    handle_signals(daemon)
    say({"serving": daemon.host})
    run(daemon)
    if limits := daemon.set_up_requests.limits:
        say(limits.machine.status(limits.now()))


def log_format() -> str:
    return str(click.get_current_context().find_root().params["log_format"])


def with_workers(made: FrontSettings, settings: Path, module: str, replace: bool, die_at: str) -> None:
    """This process is the parent."""
    parent = Parent(settings, made, log_format(), module, Loop())
    point = front_handover.exit_at_failpoint(
        "" if die_at in set_up_requests.FAILPOINTS else die_at, parent_handover.FAILPOINTS
    )
    parent.decider_failpoint = die_at if die_at in set_up_requests.FAILPOINTS else ""
    wrong: list[str] = []

    def opened(anew: bool) -> None:
        if anew:
            listening(parent, settings)
        parent.start()
        if made.guard:
            parent_handover.ParentHandoverSource(parent, made.guard, point)

    def refused(why: str) -> None:
        wrong.append(why)
        parent.exit_status = 2
        parent.begin_shutdown()

    def relieve() -> None:
        """Once one stands by, so that the place is empty for a moment only."""
        parent.on_standby_ready = lambda: None
        try:
            parent_handover.ParentHandoverTarget(parent, made.guard, opened, refused, point)
        except OSError:
            click.echo("no front serves there: starting as the first", err=True)
            opened(True)

    parent.on_serving = lambda: say({"serving": parent.host})
    if replace:
        if not made.guard:
            raise BadInput(str(settings), '--replace needs a guard in the settings: front ... guard="FILE"')
        parent.on_standby_ready = relieve
        parent.ensure_standby()
    else:
        opened(True)
    status = parent.run()
    if wrong:
        raise BadInput(str(settings), wrong[0])
    sys.exit(status)


def listening(parent: Parent, settings: Path) -> None:
    try:
        parent.open_sockets()
    except OSError as error:
        raise BadInput(str(settings), f"cannot listen: {error.strerror}") from error


def say(what: dict[str, object]) -> None:
    click.echo(json.dumps(what))
    sys.stdout.flush()


def decide_for(settings: Path, module: str, text: str, die_at: str) -> None:
    """This process is the decider, or will be: its parent says when, and by which settings."""
    ignore_terminal_interrupts()
    given = json.loads(text)
    control = socket.socket(fileno=given["control"])
    tree, sockets = wait_for_activation(control)
    typed = pickle.loads(tree) if tree else read_tree(settings, SETTINGS)[1]
    made = make_settings(typed)
    wall = Wall(made.name)
    daemon = Daemon(made, load_module(module) if module else decide.Front, wall=wall)
    daemon.remember_settings(str(settings), pickle.dumps(typed))
    daemon.set_up_requests.failpoint = front_handover.exit_at_failpoint(die_at, set_up_requests.FAILPOINTS)

    def heard(message: dict[str, Any], _: list[int]) -> None:
        if "alive" in message:
            channel.send(message)
        if "leave" in message:
            daemon.step_down()

    def orphaned() -> None:
        """Without its parent it goes, whatever fails on the way."""
        try:
            daemon.step_down()
        finally:
            daemon.loop.stop()

    channel = Channel(daemon.loop, control, heard, orphaned)
    daemon.workers = WorkerConnections(daemon, sockets["seam"], given["family"], channel.send)
    daemon.inherited = InheritedSockets(viewers=sockets["viewers"], status=sockets.get("status"))

    def keep(tree: bytes) -> None:
        channel.send({"tree": base64.b64encode(tree).decode()})

    daemon.on_settings_changed = keep
    opened(daemon, settings)
    keep(daemon.settings_tree)
    handle_signals(daemon)
    channel.send({"open": True})
    freeze_garbage_collector()
    if channel.open:  # else its parent ended while it came up
        run(daemon)


def handle_signals(daemon: Daemon) -> None:
    """Before anybody is told that the process serves: a signal that follows must not end it at once."""
    for number, act in {
        signal.SIGTERM: daemon.stop,
        signal.SIGUSR1: daemon.drain,
        signal.SIGHUP: daemon.reload,
    }.items():
        daemon.loop.add_signal_handler(number, act)


def run(daemon: Daemon) -> None:
    """Runs the loop to its end."""
    daemon.hooks.on_load = lambda fine: say({"hooks": fine})
    if folder := os.environ.get(DEAF):
        if daemon.set_up_requests.recovery:
            daemon.set_up_requests.recovery.on_full = lambda after_s: say({"full": after_s})
        hear_less(daemon, Path(folder) / f"{daemon.settings.name}.deaf")
        if isinstance(daemon.wall, Wall):
            daemon.wall.follow(daemon.loop)
    try:
        daemon.loop.run()
    except Exception as error:
        daemon.report_crash(error)
        sys.exit(CRASHED)
    daemon.loop.close()


class Wall:
    """The system's clock; for days as far ahead as a file of the folder says, in ms, also while it runs."""

    def __init__(self, name: str) -> None:
        folder = os.environ.get(DEAF)
        self.path = Path(folder) / f"{name}.clock" if folder else None
        self.ahead_s = 0.0
        self.look()

    def __call__(self) -> float:
        return time.time() + self.ahead_s

    def look(self) -> None:
        if self.path:
            self.ahead_s = float(self.path.read_text()) / 1000 if self.path.exists() else 0.0

    def follow(self, loop: Loop) -> None:
        self.look()
        loop.call_later(DEAF_EVERY_S, self.follow, loop)


def hear_less(daemon: Daemon, path: Path) -> None:
    """For days: while the file is there, nothing is heard from the members' ports that it names."""
    if daemon.membership:
        daemon.membership.blocked_ports = (
            {int(w) for w in path.read_text().split()} if path.exists() else set()
        )
    daemon.loop.call_later(DEAF_EVERY_S, hear_less, daemon, path)


def opened(daemon: Daemon, settings: Path) -> None:
    try:
        daemon.open()
    except OSError as error:
        raise BadInput(str(settings), f"cannot listen: {error.strerror}") from error


def relieve(daemon: Daemon, settings: Path) -> None:
    """Returns once this process serves, whether it was handed the front or found nobody there."""
    if not daemon.settings.guard:
        raise BadInput(str(settings), '--replace needs a guard in the settings: front ... guard="FILE"')
    wrong: list[str] = []
    try:
        successor = front_handover.FrontHandoverTarget(
            daemon, daemon.settings.guard, lambda: opened(daemon, settings), wrong.append, daemon.failpoint
        )
    except OSError:
        click.echo("no front serves there: starting as the first", err=True)
        opened(daemon, settings)
        return
    daemon.loop.on_error = wrong_in_start
    front_handover.wait_for_handover(daemon.loop, successor)
    daemon.loop.on_error = daemon.on_error
    if wrong:
        raise BadInput(str(settings), wrong[0])


def wrong_in_start(error: Exception) -> None:
    raise error
