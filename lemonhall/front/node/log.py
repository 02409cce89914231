"""JSON lines on standard error, rate-limited so that a flood of bad input does not flood the log.

The other programs log with structlog; the node writes the same format without it, because it costs 13 MB and
0.12 s.
"""

from __future__ import annotations

import json
import sys
import time
from collections import Counter

MAX_LINES_PER_SECOND = 20  # per event


class Log:
    """Counts the lines that the limit suppresses; the next line of the event carries them as `left_out`."""

    def __init__(self) -> None:
        self.second = 0
        self.written: Counter[str] = Counter()
        self.left_out: Counter[str] = Counter()

    def emit(self, event: str, **fields: object) -> None:
        now = time.time()
        if int(now) != self.second:
            self.second = int(now)
            self.written.clear()
        self.written[event] += 1
        if self.written[event] > MAX_LINES_PER_SECOND:
            self.left_out[event] += 1
            return
        if self.left_out[event]:
            fields["left_out"] = self.left_out.pop(event)
        line = json.dumps({"event": event, "timestamp": round(now, 3), **fields}, default=str)
        try:
            sys.stderr.write(line + "\n")
            sys.stderr.flush()
        except (OSError, ValueError):
            pass  # a log that cannot be written must not affect sessions


log = Log()
