"""What was asked of this front, as Parquet, for the model: a row a session, written when it is over.

The columns are those of `lemonhall day --record`. Rows are kept until there are enough for a file or the
front stops; a front that is killed loses those that are not written yet.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import structlog

from lemonhall.config.settings import FrontSettings
from lemonhall.seam import Asked

log = structlog.get_logger("lemonhall.front")
GROUP = 2000  # rows that are written together


class SessionRecorder:
    """`path`: a file for each group, `NAME-0.parquet` and on. `began_ms`: from when times count."""

    def __init__(self, path: Path, settings: FrontSettings, began_ms: float) -> None:
        import pyarrow  # only a front that records needs it

        self.arrow = pyarrow
        self.path, self.settings, self.began_ms = path, settings, began_ms
        self.open: dict[str, dict[str, Any]] = {}  # by session
        self.rows: list[dict[str, Any]] = []
        self.groups = 0

    def on_request(self, said: Asked, now_ms: float) -> None:
        """The first ask of a session; moves are not the viewer's."""
        terms = self.settings.terms
        if said.session in self.open:
            return
        self.open[said.session] = {
            "person": said.viewer >> 1,
            "at_ms": now_ms - self.began_ms,
            "class": terms.class_names[said.cls],
            "partner": terms.tenant_names[said.tenant] if terms.tenant_names else "",
            "title": said.path.partition("?")[0],
            "hall": terms.halls[self.settings.hall],
            "length_ms": None,
            "top": said.top,
            "vanishes": False,
        }

    def on_session_over(self, session: str, played_ms: float | None, vanished: bool) -> None:
        """`played_ms`: None if it never played."""
        row = self.open.pop(session, None)
        if row is None:
            return
        row["length_ms"], row["vanishes"] = played_ms, vanished
        self.rows.append(row)
        if len(self.rows) >= GROUP:
            self.write()

    def write(self) -> None:
        if not self.rows:
            return
        from pyarrow import parquet

        path = self.path.with_name(f"{self.path.stem}-{self.groups}{self.path.suffix or '.parquet'}")
        rows, self.rows = self.rows, []
        schema = self.arrow.schema(
            [
                ("person", self.arrow.int64()),
                ("at_ms", self.arrow.float64()),
                ("class", self.arrow.string()),
                ("partner", self.arrow.string()),
                ("title", self.arrow.string()),
                ("hall", self.arrow.string()),
                ("length_ms", self.arrow.float64()),
                ("top", self.arrow.int64()),
                ("vanishes", self.arrow.bool_()),
            ]
        )
        try:
            parquet.write_table(self.arrow.Table.from_pylist(rows, schema=schema), path)
            self.groups += 1
        except OSError as error:  # a full disk loses the record, not the sessions
            log.error("record not written", path=str(path), rows=len(rows), error=str(error))

    def stop(self) -> None:
        """What is still open is over."""
        for row in self.open.values():
            self.rows.append(row)
        self.open.clear()
        self.write()
