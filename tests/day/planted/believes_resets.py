"""Takes a connection that was reset for one that never came up: nothing can have run there."""

from __future__ import annotations

from dataclasses import replace

from lemonhall import decide
from lemonhall import interface as i


class Front(decide.Front):
    def on_ended(self, event: i.AttemptEnded) -> None:
        if event.outcome == i.Outcome.RESET and not event.closed:
            event = replace(event, outcome=i.Outcome.CONNECT_FAILED)
        super().on_ended(event)
