"""Pictures of runs, comparisons and sweeps: PNG files, and one HTML page that opens alone."""

from __future__ import annotations

import base64
import html
import io
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt
import pyarrow.parquet as pq

from lemonhall.model.compare import Comparison
from lemonhall.model.result import Row, load_row
from lemonhall.model.stats import Bar, bar, modes
from lemonhall.problem import BadInput

WIDE = (9.0, 3.6)
GREY = "#888888"


class Page:
    """Pictures and tables, in order."""

    def __init__(self, title: str) -> None:
        self.title = title
        self.parts: list[str] = []
        self.pictures: list[tuple[str, bytes]] = []

    def text(self, words: str) -> None:
        self.parts.append(f"<p>{html.escape(words)}</p>")

    def table(self, head: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
        cells = "".join(f"<th>{html.escape(str(h))}</th>" for h in head)
        body = "".join(
            "<tr>" + "".join(f"<td>{html.escape(str(c))}</td>" for c in row) + "</tr>" for row in rows
        )
        self.parts.append(f"<table><tr>{cells}</tr>{body}</table>")

    def picture(self, name: str, figure: Any) -> None:
        data = io.BytesIO()
        figure.tight_layout()
        figure.savefig(data, format="png", dpi=110)
        plt.close(figure)
        self.pictures.append((name, data.getvalue()))
        coded = base64.b64encode(data.getvalue()).decode()
        self.parts.append(
            f'<h2>{html.escape(name)}</h2><img alt="{html.escape(name)}" src="data:image/png;base64,{coded}">'
        )

    def write(self, folder: Path) -> Path:
        """`report.html` and the pictures beside it."""
        folder.mkdir(parents=True, exist_ok=True)
        for name, data in self.pictures:
            (folder / f"{name.replace(' ', '-')}.png").write_bytes(data)
        style = (
            "body{font:15px sans-serif;margin:2em;max-width:70em}td,th{padding:.2em .8em;text-align:right}"
        )
        path = folder / "report.html"
        path.write_text(
            f"<!doctype html><meta charset=utf-8><title>{html.escape(self.title)}</title>"
            f"<style>{style}</style><h1>{html.escape(self.title)}</h1>{''.join(self.parts)}\n",
            encoding="utf-8",
        )
        return path


def bars(ax: Any, found: dict[str, Bar]) -> None:
    names = list(found)
    for n, name in enumerate(names):
        b = found[name]
        low, high = max(-2.0, b.low), min(2.0, b.high)
        ax.errorbar([n], [b.mean], yerr=[[b.mean - low], [high - b.mean]], fmt="o", capsize=4)
    ax.set_xticks(range(len(names)), names, rotation=20)
    ax.grid(axis="y", alpha=0.3)


def split(rows: list[Row]) -> dict[str, Bar]:
    """Service as a whole, by class and by hall."""
    made = {"all": bar([r.service for r in rows])}
    for of in ("by_class", "by_hall"):
        names = sorted({n for r in rows for n in getattr(r, of)})
        made |= {n: bar([getattr(r, of)[n] for r in rows if n in getattr(r, of)]) for n in names}
    return made


def run_page(title: str, rows: list[Row], folder: Path, baselines: dict[str, list[Row]]) -> Page:
    """Service with bars beside its bound and baselines; the fleet over time from the tables, if there are."""
    page = Page(title)
    found = split(rows)
    page.table(
        ["", "service", "low", "high"],
        [[n, f"{b.mean:.4f}", f"{b.low:.4f}", f"{b.high:.4f}"] for n, b in found.items()],
    )
    if two := modes([r.service for r in rows]):
        page.text(
            f"The runs fall into two groups, at {two.low:.3f} ({two.part_low:.0%}) and {two.high:.3f}: "
            "the mean describes none of them."
        )
    page.text(f"Rules broken in all runs: {sum(r.rules_broken for r in rows)}.")
    figure, ax = plt.subplots(figsize=WIDE)
    bars(ax, found)
    ax.axhline(bar([r.bound for r in rows]).mean, color=GREY, linestyle="--", label="bound by capacity")
    for name, others in baselines.items():
        ax.axhline(bar([r.service for r in others]).mean, linestyle=":", label=name)
    ax.set_ylabel("service")
    ax.legend(loc="lower right", fontsize=8)
    page.picture("service", figure)
    tables = sorted(folder.glob("seconds-*.parquet"))
    if tables:
        over_time(page, pq.read_table(tables[0]).to_pydict(), tables[0].stem)
    return page


def over_time(page: Page, table: dict[str, list[Any]], name: str) -> None:
    for what, label in (
        ("use ", "link use by hall"),
        ("rack ", "uplink use by rack"),
        ("playing ", "playing by class"),
        ("rung ", "rungs"),
    ):
        figure, ax = plt.subplots(figsize=WIDE)
        series = {k.removeprefix(what): v for k, v in table.items() if k.startswith(what)}
        if what == "rung ":
            ax.stackplot(table["at_s"], *series.values(), labels=[f"rung {k}" for k in series])
        else:
            for key, values in series.items():
                ax.plot(table["at_s"], values, label=key)
        ax.set_xlabel(f"seconds ({name})")
        ax.set_ylabel(label)
        if len(series) <= 12:
            ax.legend(fontsize=8)
        page.picture(label, figure)


def folder_page(folder: Path) -> Page:
    """All versions whose rows a folder keeps, beside one another, with the fleet over time of each."""
    page = Page(f"Runs in {folder.name}")
    points: list[tuple[str, list[Row]]] = []
    for own in sorted(p.parent for p in folder.glob("*/version.txt")):
        rows = [load_row(p) for p in sorted(own.glob("row-*.json"))]
        if rows:
            points.append((own.joinpath("version.txt").read_text(encoding="utf-8"), rows))
    if not points:
        raise BadInput(str(folder), "holds no runs; model run --out writes them")
    page.table(
        ["version", "runs", "service", "low", "high", "rules broken"],
        [
            [
                name,
                len(rows),
                *(f"{x:.4f}" for x in vars(bar([r.service for r in rows])).values()),
                sum(r.rules_broken for r in rows),
            ]
            for name, rows in points
        ],
    )
    figure, ax = plt.subplots(figsize=WIDE)
    bars(ax, {name: bar([r.service for r in rows]) for name, rows in points})
    ax.set_ylabel("service")
    page.picture("service", figure)
    figure, ax = plt.subplots(figsize=WIDE)
    for n, (name, rows) in enumerate(points):
        shares = [r.refused / max(1, r.sessions) for r in rows]
        ax.plot([n] * len(shares), shares, "o", alpha=0.5, label=name)
    ax.set_xticks(range(len(points)), [name for name, _ in points], rotation=20)
    ax.set_ylabel("part of asks refused")
    page.picture("refusals", figure)
    for own in sorted(p.parent for p in folder.glob("*/version.txt")):
        for table in sorted(own.glob("seconds-*.parquet"))[:1]:
            page.text(own.joinpath("version.txt").read_text(encoding="utf-8"))
            over_time(page, pq.read_table(table).to_pydict(), table.stem)
    return page


def compare_page(made: Comparison) -> Page:
    page = Page(f"{made.b} against {made.a}")
    page.text(f"{made.verdict}, after {made.pairs} pairs. Difference {made.bars['difference']}.")
    page.text(f"Rules broken: {made.rules['a']} and {made.rules['b']}.")
    for name, two in made.modes.items():
        page.text(f"{name} falls into two groups, at {two.low:.3f} ({two.part_low:.0%}) and {two.high:.3f}.")
    figure, ax = plt.subplots(figsize=WIDE)
    bars(ax, {"all": made.bars["difference"], **made.by_class, **made.by_hall})
    ax.axhline(0, color=GREY)
    ax.set_ylabel("difference of service")
    page.picture("difference", figure)
    figure, ax = plt.subplots(figsize=WIDE)
    ax.plot([y.service - x.service for x, y in made.rows], "o")
    ax.axhline(0, color=GREY)
    ax.set_xlabel("pair")
    ax.set_ylabel("difference of service")
    page.picture("pairs", figure)
    return page


def sweep_page(title: str, axis: str, points: list[tuple[str, list[Row]]]) -> Page:
    """Service, refusals and cost along an axis."""
    page = Page(title)
    names = [name for name, _ in points]
    page.table(
        [axis, "service", "low", "high", "bound", "refused", "rules broken", "s a run", "module's part"],
        [
            [
                name,
                *(f"{x:.4f}" for x in vars(bar([r.service for r in rows])).values()),
                f"{bar([r.bound for r in rows]).mean:.4f}",
                f"{sum(r.refused for r in rows) / max(1, sum(r.sessions for r in rows)):.1%}",
                sum(r.rules_broken for r in rows),
                f"{sum(r.seconds for r in rows) / len(rows):.2f}",
                f"{sum(r.module_part for r in rows) / len(rows):.0%}",
            ]
            for name, rows in points
        ],
    )
    figure, ax = plt.subplots(figsize=WIDE)
    bars(ax, {name: bar([r.service for r in rows]) for name, rows in points})
    ax.plot(range(len(names)), [bar([r.bound for r in rows]).mean for _, rows in points], "--", color=GREY)
    ax.set_xlabel(axis)
    ax.set_ylabel("service")
    page.picture("service", figure)
    figure, ax = plt.subplots(figsize=WIDE)
    ax.plot(names, [sum(r.seconds for r in rows) / len(rows) for _, rows in points], "o-")
    ax.set_xlabel(axis)
    ax.set_ylabel("seconds a run")
    page.picture("cost", figure)
    return page
