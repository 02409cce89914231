"""What one run came to: a row of figures, and tables as Parquet that other tools can open."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field
from math import inf
from pathlib import Path
from typing import Any

import pyarrow as pa
import pyarrow.parquet as pq

from lemonhall.audit.rules import played_worth, service_by
from lemonhall.audit.trace import NEVER_RAN_STATUSES
from lemonhall.config.day import Day
from lemonhall.model.bounds import upper_bound
from lemonhall.model.played.world import Played


@dataclass
class Row:
    """One day with one seed, under one version."""

    seed: int
    service: float
    by_class: dict[str, float]
    by_hall: dict[str, float]
    sessions: int
    played: int
    refused: int
    failed: int
    rules: dict[str, int]
    bound: float
    seconds: float
    module_part: float
    counts: dict[str, int] = field(default_factory=dict)

    @property
    def rules_broken(self) -> int:
        return sum(self.rules.values())


def row_of(day: Day, seed: int, played: Played) -> Row:
    terms, report = day.terms, played.report
    halls = {f.name: terms.halls[f.hall] for f in day.fronts}
    by_class = service_by(played.trace, terms, lambda ask: terms.class_names[ask.cls])
    by_hall = service_by(played.trace, terms, lambda ask: halls[ask.front])
    return Row(
        seed,
        report.service,
        by_class,
        by_hall,
        report.sessions,
        report.played,
        report.refused,
        report.failed,
        {name: len(found) for name, found in report.broken.items()},
        upper_bound(day, played.wishes),
        played.seconds,
        played.module_s / max(1e-9, played.seconds),
        played.counts,
    )


def session_table(day: Day, played: Played) -> pa.Table:
    """A row an ask: what was asked, answered and played. Times in ms, worths as in the terms."""
    terms = day.terms
    got: dict[str, float] = {}
    for attempt in played.trace.attempts:
        if ask := played.trace.requests.get(attempt.token):
            got[attempt.token] = got.get(attempt.token, 0.0) + played_worth(attempt, ask, terms)
    halls = {f.name: terms.halls[f.hall] for f in day.fronts}
    rows: list[dict[str, Any]] = []
    for ask in played.trace.requests.values():
        first = ask.answers[0] if ask.answers else (inf, 0)
        status = first[1]
        verdict = "played" if 200 <= status < 300 else "refused" if status in NEVER_RAN_STATUSES else "failed"
        rows.append(
            {
                "ask": ask.token,
                "at_ms": ask.at,
                "class": terms.class_names[ask.cls],
                "partner": terms.tenant_names[ask.tenant] if terms.tenant_names else "",
                "title": ask.title,
                "hall": halls[ask.front],
                "front": ask.front,
                "length_ms": ask.length_ms,
                "top": ask.top_rung,
                "tries": ask.tries,
                "verdict": verdict if ask.answers else "none",
                "answered_ms": first[0] - ask.at if ask.answers else None,
                "worth": got.get(ask.token, 0.0),
            }
        )
    return pa.Table.from_pylist(rows)


def second_table(day: Day, played: Played) -> pa.Table:
    """A row a second: use of links by hall and uplinks by rack, sessions that play by class and by rung."""
    terms = day.terms
    rows = []
    for s in played.seconds_table:
        row: dict[str, Any] = {"at_s": s.at_s}
        row |= {f"use {h}": u for h, u in zip(terms.halls, s.by_hall, strict=True)}
        row |= {f"playing {c}": n for c, n in zip(terms.class_names, s.by_class, strict=True)}
        row |= {f"rung {r}": n for r, n in enumerate(s.by_rung)}
        row |= {f"rack {r}": use for r, use in enumerate(s.by_rack)}
        rows.append(row)
    return pa.Table.from_pylist(rows)


def write_tables(day: Day, seed: int, played: Played, folder: Path) -> None:
    pq.write_table(session_table(day, played), folder / f"sessions-{seed}.parquet")
    pq.write_table(second_table(day, played), folder / f"seconds-{seed}.parquet")


def save_row(row: Row, path: Path) -> None:
    """Written whole or not at all: a run that is stopped leaves no half of a row."""
    part = path.with_suffix(".part")
    part.write_text(json.dumps(asdict(row)), encoding="utf-8")
    part.replace(path)


def load_row(path: Path) -> Row:
    return Row(**json.loads(path.read_text(encoding="utf-8")))
