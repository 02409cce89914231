"""Problems found in an input file, with their places; all are collected before they are reported."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from difflib import get_close_matches


@dataclass(frozen=True)
class Problem:
    """Place (line and column from 1; 0 for the whole file), description and correction of a problem."""

    file: str
    line: int
    column: int
    what: str
    fix: str = ""
    chain: tuple[str, ...] = ()  # files that include this one, innermost first

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}:{self.column}" if self.line else self.file
        fix = f" ({self.fix})" if self.fix else ""
        included = f" [included from {', from '.join(self.chain)}]" if self.chain else ""
        return f"{place}: {self.what}{fix}{included}"


class BadInput(Exception):
    """Input that cannot be used, with all problems found. `BadInput(file, what)` holds a single problem."""

    def __init__(self, problems: Iterable[Problem] | str, what: str = "") -> None:
        listed = [Problem(problems, 0, 0, what)] if isinstance(problems, str) else list(problems)
        super().__init__("\n".join(map(str, listed)))
        self.problems = listed


def nearest(name: str, known: Iterable[str]) -> str:
    """A correction for an unknown name: the most similar known name, else the list if it is short."""
    names = list(dict.fromkeys(known))
    if close := get_close_matches(name, names, 1, 0.6):
        return f"did you mean {close[0]}?"
    return f"known are {', '.join(names)}" if 0 < len(names) <= 24 else ""
