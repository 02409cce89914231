"""nginx files to a tree of directives, each with its file and line.

crossplane reads the words. What it gets wrong, or leaves out, is done here or said: it forgets which words
were quoted; it drops a directive that it cannot read (its error is kept as a problem); its way of joining
includes has no end for files that include each other.
"""

from __future__ import annotations

import glob
import os
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import crossplane

from lemonhall.problem import BadInput, Problem

DEPTH_MOST = 64


@dataclass
class Directive:
    name: str
    args: list[str]
    file: str
    line: int
    block: list[Directive] | None = None
    inside: str = ""  # the block that it stands in, by its directive's name

    def all(self, name: str) -> list[Directive]:
        return [d for d in self.block or [] if d.name == name]

    def first(self, name: str) -> Directive | None:
        return next(iter(self.all(name)), None)

    @property
    def place(self) -> str:
        return f"{self.file}:{self.line}"

    @property
    def text(self) -> str:
        words = " ".join([self.name, *self.args])
        return words if len(words) < 100 else words[:97] + "..."


@dataclass
class Tree:
    top: list[Directive] = field(default_factory=list)
    problems: list[Problem] = field(default_factory=list)

    def walk(self, block: list[Directive] | None = None) -> Iterator[Directive]:
        for directive in self.top if block is None else block:
            yield directive
            if directive.block:
                yield from self.walk(directive.block)


class Reader:
    """`root`: what relative includes are relative to, the folder of the first file."""

    def __init__(self, root: Path) -> None:
        self.root, self.tree = root, Tree()

    def file(self, path: Path, inside: str, open_files: tuple[str, ...]) -> list[Directive]:
        name = os.path.relpath(path, self.root) if path.is_relative_to(self.root) else str(path)
        payload = crossplane.parse(
            str(path),
            single=True,
            catch_errors=True,
            comments=False,
            strict=False,
            check_ctx=False,
            check_args=False,
        )
        for error in payload["errors"]:
            what = str(error["error"]).partition(" in ")[0]
            self.tree.problems.append(Problem(name, int(error["line"] or 0), 0, what))
        here = (*open_files, str(path.resolve()))
        return [d for config in payload["config"] for d in self.block(config["parsed"], name, inside, here)]

    def block(
        self, parsed: list[dict[str, Any]], file: str, inside: str, open_files: tuple[str, ...]
    ) -> list[Directive]:
        made: list[Directive] = []
        for each in parsed:
            directive = Directive(
                each["directive"], list(each["args"]), file, int(each["line"]), None, inside
            )
            if directive.name == "include":
                made += self.include(directive, open_files)
                continue
            if "block" in each:
                directive.block = self.block(each["block"], file, directive.name, open_files)
            made.append(directive)
        return made

    def include(self, directive: Directive, open_files: tuple[str, ...]) -> list[Directive]:
        pattern = directive.args[0] if directive.args else ""
        path = pattern if os.path.isabs(pattern) else str(self.root / pattern)
        found = sorted(glob.glob(path))
        made: list[Directive] = []
        if not found and not glob.has_magic(pattern):
            self.say(directive, f"there is no {pattern}")
        for each in found:
            if str(Path(each).resolve()) in open_files or len(open_files) > DEPTH_MOST:
                self.say(directive, f"{pattern} includes itself")
                continue
            made += self.file(Path(each), directive.inside, open_files)
        return made

    def say(self, directive: Directive, what: str) -> None:
        self.tree.problems.append(Problem(directive.file, directive.line, 1, what))


def read(paths: list[Path]) -> Tree:
    """Files, and the `*.conf` of folders, as one configuration. Raises `BadInput` for what is not there."""
    files: list[Path] = []
    for path in paths:
        if not path.exists():
            raise BadInput(str(path), "no such file")
        files += sorted(path.glob("*.conf")) if path.is_dir() else [path]
    if not files:
        raise BadInput(str(paths[0]) if paths else "", "no *.conf there")
    reader = Reader(files[0].resolve().parent)
    for path in files:
        try:
            reader.tree.top += reader.file(path.resolve(), "", ())
        except OSError as error:
            raise BadInput(str(path), error.strerror or "cannot be read") from error
    return reader.tree
