"""Runs the command line: `python -m lemonhall`."""

from lemonhall.cli import main

main()
