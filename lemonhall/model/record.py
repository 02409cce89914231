"""Recorded traffic: what was asked, as Parquet, made from a run's trace and played by the model.

A row is one person: the first try that was seen, in ms from the day's start. What comes after (give up, come
again) is conduct, which the model draws itself.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pyarrow as pa
import pyarrow.parquet as pq

from lemonhall.audit.trace import Trace
from lemonhall.config.day import Day
from lemonhall.model.played.draws import Wish
from lemonhall.problem import BadInput, nearest

COLUMNS = ("person", "at_ms", "class", "partner", "title", "hall", "length_ms", "top", "vanishes")


def record(day: Day, trace: Trace, began_ms: float) -> pa.Table:
    """What was asked in a run that began at a time of the trace's clock."""
    terms = day.terms
    halls = {f.name: terms.halls[f.hall] for f in day.fronts}
    first: dict[str, Any] = {}
    for ask in trace.requests.values():
        person = ask.token.partition(".")[0]
        if person not in first or ask.tries < first[person].tries:
            first[person] = ask
    rows = [
        {
            "person": int(person),
            "at_ms": max(0.0, ask.at - began_ms),
            "class": terms.class_names[ask.cls],
            "partner": terms.tenant_names[ask.tenant] if terms.tenant_names else "",
            "title": ask.title,
            "hall": halls[ask.front],
            "length_ms": ask.length_ms,
            "top": ask.top_rung,
            "vanishes": ask.vanished,
        }
        for person, ask in first.items()
    ]
    return pa.Table.from_pylist(sorted(rows, key=lambda r: (r["at_ms"], r["person"])))


def save(table: pa.Table, path: Path) -> None:
    pq.write_table(table, path)


def wishes_of(day: Day, path: Path) -> list[Wish]:
    """The people of a record, for a day with the same names. Raises `BadInput` that names column or row."""
    try:
        table = pq.read_table(path)
    except (OSError, pa.ArrowInvalid) as error:
        raise BadInput(str(path), f"no Parquet file: {error}") from error
    for column in COLUMNS:
        if column not in table.column_names:
            fix = nearest(column, table.column_names)
            raise BadInput(str(path), f"column {column} is missing ({fix})")
    terms = day.terms
    known_ms = [r for r in table.column("length_ms").to_pylist() if r is not None]
    usual = sum(known_ms) / len(known_ms) if known_ms else 1000.0  # for those that never played
    made = []
    for number, row in enumerate(table.to_pylist(), 1):
        names = (("class", terms.class_names), ("partner", terms.tenant_names), ("hall", terms.halls))
        for what, known in names:
            if row[what] not in known and (row[what] or known):
                fix = nearest(str(row[what]), known)
                raise BadInput(str(path), f"row {number}: {row[what]!r} is no {what} of this day ({fix})")
        path_of, _, title = row["title"].rpartition("title-")
        cls = terms.class_names.index(row["class"])
        mix = next((n for n, m in enumerate(day.mixes) if m.path == path_of and m.cls == cls), 0)
        made.append(
            Wish(
                row["person"],
                row["at_ms"],
                mix,
                cls,
                terms.tenant_names.index(row["partner"]) if row["partner"] else 0,
                path_of or row["title"],
                int(title) if title.isdigit() else 0,
                usual if row["length_ms"] is None else row["length_ms"],
                terms.halls.index(row["hall"]),
                min(row["top"], len(terms.ladder_kb) - 1),
                row["vanishes"],
            )
        )
    return made
