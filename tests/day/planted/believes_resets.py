"""Treats a connection that was reset as one that failed to connect, so that a paid set-up is retried."""

from __future__ import annotations

from dataclasses import replace

from lemonhall import decide, interface


class Front(decide.Front):
    def on_attempt_ended(self, event: interface.AttemptEnded) -> None:
        if event.outcome == interface.Outcome.RESET and not event.closed:
            event = replace(event, outcome=interface.Outcome.CONNECT_FAILED)
        super().on_attempt_ended(event)
