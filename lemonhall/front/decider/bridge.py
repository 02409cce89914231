"""Connects the event loop to the decision module: all events of one loop pass go into one call of `handle`.

The module receives each event once and in order of arrival; its actions are carried out in the order
returned. Events that an action causes at once (for instance a refused connection) are delivered with the
next call.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from lemonhall import interface


class Decider(Protocol):
    """The decision module."""

    def handle(self, now: float, events: list[interface.Event]) -> list[interface.Action]: ...


class Capture(Protocol):
    """Records the calls of the module, numbered from 0: before each call, and afterwards with its actions."""

    def before_call(self, module: Decider, number: int, now: float) -> None: ...
    def add_call(
        self, number: int, now: float, events: list[interface.Event], actions: list[interface.Action]
    ) -> None: ...
    def add_note(self, now: float, who: str, text: str, session: int = 0) -> None: ...


class Bridge:
    """Queues events for the module and dispatches its actions.

    `now_ms` is the module's clock; `action_handlers` maps each type of action to its handler.
    """

    def __init__(self, decider: Decider, now_ms: Callable[[], float]) -> None:
        self.decider, self.now_ms = decider, now_ms
        self.action_handlers: dict[type, Callable[[Any], object]] = {}
        self.events: list[interface.Event] = []
        self.calls = self.events_handled = 0
        self.capture: Capture | None = None
        self.unhandled_actions = 0  # actions of a type without a handler

    def enqueue(self, event: interface.Event) -> None:
        self.events.append(event)

    def remove_queued(self, event: interface.Event) -> bool:
        """Removes an event that the module has not received yet. Returns whether it was still queued."""
        for index, queued in enumerate(self.events):
            if queued is event:
                del self.events[index]
                return True
        return False

    def enqueue_viewer_gone(self, new_session: interface.NewSession) -> bool:
        """Reports that the viewer of a session is gone.

        Returns False if the module has not received the session's `NewSession` event; the event is then
        removed from the queue and the module never learns of the session.

        The event goes to the head of the queue. If the end of an attempt that arrived in the same pass came
        first, the module would send the next attempt for a session without a viewer and hold its place and
        seat forever, since the end of that attempt would never be reported.
        """
        if self.remove_queued(new_session):
            return False
        self.events.insert(0, interface.ViewerGone(new_session.id))
        return True

    def flush(self) -> None:
        """Calls the module once with all queued events, or not at all if there are none."""
        if self.events:
            self.call_module()

    def call_module(self) -> None:
        """Calls the module even without events, as for its first call, which starts its timers."""
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
            if handler := self.action_handlers.get(type(action)):
                handler(action)
            else:
                self.unhandled_actions += 1
