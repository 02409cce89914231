"""Sets every session to the lowest rung of the ladder, which may be below its floor."""

from __future__ import annotations

from lemonhall import decide, interface


class Front(decide.Front):
    def handle(self, now: float, events: list[interface.Event]) -> list[interface.Action]:
        actions = super().handle(now, events)
        return [
            interface.SetRung(action.id, 0) if isinstance(action, interface.SetRung) else action
            for action in actions
        ]
