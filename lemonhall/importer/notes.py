"""What became of each directive: carried exactly, with a difference, or not; why, and what to do. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass
from html import escape

from lemonhall.importer.read import Directive

EXACT, DIFFERS, LOST, NOTHING = "exact", "differs", "not carried", "no effect"
ORDER = (LOST, DIFFERS, NOTHING, EXACT)


@dataclass(frozen=True)
class Note:
    file: str
    line: int
    directive: str
    verdict: str
    why: str = ""
    do: str = ""

    def __str__(self) -> str:
        tail = f": {self.why}" if self.why else ""
        return f"{self.file}:{self.line}: {self.directive}: {self.verdict}{tail}" + (
            f" ({self.do})" if self.do else ""
        )


class Notes:
    """One verdict for each directive, the worst that was given. `compile_problem`: why the router cannot use
    an expression, "" if it can."""

    def __init__(self, compile_problem: Callable[[str], str]) -> None:
        self.pattern_problem = compile_problem
        self.by_directive: dict[int, Note] = {}
        self.kept: list[Directive] = []  # so that no identity is used again

    def put(self, d: Directive, verdict: str, why: str, do: str) -> None:
        known = self.by_directive.get(id(d))
        if known is None or ORDER.index(verdict) < ORDER.index(known.verdict):
            self.by_directive[id(d)] = Note(d.file, d.line, d.text, verdict, why, do)
            self.kept.append(d)

    def exact(self, d: Directive) -> None:
        self.put(d, EXACT, "", "")

    def differs(self, d: Directive, why: str, do: str) -> None:
        self.put(d, DIFFERS, why, do)

    def lost(self, d: Directive, why: str, do: str) -> None:
        self.put(d, LOST, why, do)

    def nothing(self, d: Directive, why: str) -> None:
        self.put(d, NOTHING, why, "")

    def has(self, d: Directive) -> bool:
        return id(d) in self.by_directive

    def sorted(self) -> list[Note]:
        return sorted(self.by_directive.values(), key=lambda n: (n.file, n.line, n.directive))

    def counts(self) -> Counter[str]:
        return Counter(n.verdict for n in self.by_directive.values())


def as_text(notes: list[Note]) -> str:
    """The worst first; what is carried exactly is only counted."""
    lines = [str(n) for verdict in ORDER[:3] for n in notes if n.verdict == verdict]
    counts = Counter(n.verdict for n in notes)
    return "\n".join([*lines, ", ".join(f"{v} {counts[v]}" for v in ORDER[::-1])])


def as_json(notes: list[Note]) -> list[dict[str, object]]:
    return [asdict(n) for n in notes]


PAGE = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Import of nginx files</title>
<style>body{font:15px/1.5 sans-serif;margin:2em;max-width:75em}table{border-collapse:collapse;width:100%}
td,th{text-align:left;padding:.25em .6em;border-bottom:1px solid #ddd;vertical-align:top}code{font-size:13px}
.lost{background:#fbe3e0}.differs{background:#fcf3d7}</style>
"""


def as_html(notes: list[Note], sources: list[str]) -> str:
    """One page that opens alone."""
    counts = Counter(n.verdict for n in notes)
    total = max(1, len(notes))
    head = "".join(
        f"<tr><td>{v}</td><td>{counts[v]}</td><td>{100 * counts[v] / total:.0f}%</td></tr>"
        for v in ORDER[::-1]
    )
    style = {LOST: "lost", DIFFERS: "differs"}
    rows = "".join(
        f'<tr class="{style.get(n.verdict, "")}"><td>{escape(n.file)}:{n.line}</td>'
        f"<td><code>{escape(n.directive)}</code></td><td>{n.verdict}</td><td>{escape(n.why)}</td>"
        f"<td>{escape(n.do)}</td></tr>"
        for verdict in ORDER
        for n in notes
        if n.verdict == verdict
    )
    names = ", ".join(escape(s) for s in sources)
    return (
        f"{PAGE}<h1>Import of {names}</h1><table><tr><th>verdict</th><th>directives</th><th></th></tr>{head}"
        "</table><h2>Directives</h2><table><tr><th>place</th><th>directive</th><th>verdict</th><th>why</th>"
        f"<th>what to do</th></tr>{rows}</table></html>\n"
    )
