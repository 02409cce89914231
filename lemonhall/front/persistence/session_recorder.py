"""Records the requested sessions as Parquet for the model: one row per session, added when the session is
over.

The columns are those of `lemonhall day --record`. Rows are buffered until there are enough for a file or the
front stops; a front that is killed loses the buffered rows.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import structlog

from lemonhall.config.settings import FrontSettings
from lemonhall.ipc import SetUpRequested

log = structlog.get_logger("lemonhall.front")
ROWS_PER_FILE = 2000


class SessionRecorder:
    """Writes files numbered from 0: `NAME-0.parquet` and so on for the path `NAME.parquet`.

    Times in the rows count from `start_ms`.
    """

    def __init__(self, path: Path, settings: FrontSettings, start_ms: float) -> None:
        import pyarrow  # imported here as only a front that records sessions needs it

        self.arrow = pyarrow
        self.path, self.settings, self.start_ms = path, settings, start_ms
        self.open_rows: dict[str, dict[str, Any]] = {}  # rows of sessions that are not over, by session id
        self.rows: list[dict[str, Any]] = []
        self.files_written = 0

    def on_request(self, message: SetUpRequested, now_ms: float) -> None:
        """Opens the row at the first request of a session. Moves are not the viewer's requests."""
        terms = self.settings.terms
        if message.session_id in self.open_rows:
            return
        self.open_rows[message.session_id] = {
            "person": message.viewer >> 1,
            "at_ms": now_ms - self.start_ms,
            "class": terms.class_names[message.cls],
            "partner": terms.tenant_names[message.tenant] if terms.tenant_names else "",
            "title": message.path.partition("?")[0],
            "hall": terms.halls[self.settings.hall],
            "length_ms": None,
            "top": message.top_rung,
            "vanishes": False,
        }

    def on_session_over(self, session: str, played_ms: float | None, vanished: bool) -> None:
        """Completes the row. `played_ms` is None if the session never played."""
        row = self.open_rows.pop(session, None)
        if row is None:
            return
        row["length_ms"], row["vanishes"] = played_ms, vanished
        self.rows.append(row)
        if len(self.rows) >= ROWS_PER_FILE:
            self.write()

    def write(self) -> None:
        if not self.rows:
            return
        from pyarrow import parquet

        path = self.path.with_name(f"{self.path.stem}-{self.files_written}{self.path.suffix or '.parquet'}")
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
            self.files_written += 1
        except OSError as error:  # with a full disk the rows are lost, the sessions play on
            log.error(
                "cannot write recorded sessions; rows dropped",
                path=str(path),
                rows=len(rows),
                error=str(error),
            )

    def stop(self) -> None:
        """Writes all rows, including those of sessions that are not over."""
        for row in self.open_rows.values():
            self.rows.append(row)
        self.open_rows.clear()
        self.write()
