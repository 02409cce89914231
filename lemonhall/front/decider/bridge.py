"""Between happenings and the module: what one pass of the loop brought goes into one call of `handle`.

The module is told nothing twice and in the order of arrival; its actions are carried out in the order
written. What an action brings about at once (a refused connection, say) waits for the next call.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from lemonhall import interface as i


class Decider(Protocol):
    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]: ...


class Capture(Protocol):
    """Told of each call, with its number from 0: before it is made, and what came of it."""

    def before_call(self, module: Decider, number: int, now: float) -> None: ...
    def add_call(self, number: int, now: float, events: list[i.Event], actions: list[i.Action]) -> None: ...
    def add_note(self, now: float, who: str, text: str, session: int = 0) -> None: ...


class Bridge:
    """`now_ms` is the module's clock; `carry_out` maps a kind of action to who does it."""

    def __init__(self, decider: Decider, now_ms: Callable[[], float]) -> None:
        self.decider, self.now_ms = decider, now_ms
        self.action_handlers: dict[type, Callable[[Any], object]] = {}
        self.events: list[i.Event] = []
        self.calls = self.events_handled = 0
        self.capture: Capture | None = None
        self.unhandled_actions = 0  # actions that nobody carries out

    def enqueue(self, event: i.Event) -> None:
        self.events.append(event)

    def remove_queued(self, event: i.Event) -> bool:
        """Takes back what the module has not heard yet; whether that was so."""
        for n, told in enumerate(self.events):
            if told is event:
                del self.events[n]
                return True
        return False

    def enqueue_viewer_gone(self, told: i.NewSession) -> bool:
        """The viewer of a session has gone; False: the module has not heard of the session, and never will.

        It is heard ahead of all that waits. Guards against the end of an attempt that came in the same pass:
        heard first, it would have the module send the next attempt for a session that nobody has any more,
        and hold its place and seat for ever, since nobody would tell that attempt's end.
        """
        if self.remove_queued(told):
            return False
        self.events.insert(0, i.ViewerGone(told.id))
        return True

    def flush(self) -> None:
        """One call for all that was told since the last; none if nothing was."""
        if self.events:
            self.call_module()

    def call_module(self) -> None:
        """Calls the module even if nothing was told: its first call, from which its timers run."""
        events, self.events = self.events, []
        self.calls += 1
        self.events_handled += len(events)
        now = self.now_ms()
        if self.capture:
            self.capture.before_call(self.decider, self.calls - 1, now)
        actions = self.decider.handle(now, events)
        if self.capture:
            self.capture.add_call(self.calls - 1, now, events, actions)
        for action in actions:
            if act := self.action_handlers.get(type(action)):
                act(action)
            else:
                self.unhandled_actions += 1
