"""The command line: one click group, one file a sub-command."""

from __future__ import annotations

import sys
from importlib import import_module

import click

from lemonhall import logs
from lemonhall.problem import BadInput

BAD_INPUT = 2
COMMANDS = ["capture", "config", "day", "halls", "hooks", "import", "limits", "members", "model"]
COMMANDS += ["replay", "serve", "soak", "standin", "store", "why"]
NAMED = {  # those that do not stand in a file of their name: file and command
    "import": ("importing", "importing"),
    "replay": ("capture", "replay"),
    "why": ("capture", "why"),
}


class Lazy(click.Group):
    """A sub-command's file is read when it is called: a front that starts again waits for no plots."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        file, name = NAMED.get(cmd_name, (cmd_name, cmd_name))
        made: click.Command = getattr(import_module(f"lemonhall.cli.{file}"), name)
        return made


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
@click.option("--log-format", type=click.Choice(["json", "console"]), default="console", show_default=True)
@click.version_option(package_name="lemonhall")
def group(log_format: str) -> None:
    """A session front: viewers' sessions placed on media servers and shaped there."""
    logs.configure(log_format)


def main() -> None:
    """Exit: 0 all well, 1 a check found something, 2 bad input, named."""
    try:
        group(standalone_mode=False)
    except BadInput as error:
        click.echo(str(error), err=True)
        sys.exit(BAD_INPUT)
    except click.exceptions.Exit as error:
        sys.exit(error.exit_code)
    except click.ClickException as error:
        error.show()
        sys.exit(BAD_INPUT)
    except click.Abort:
        sys.exit(130)
