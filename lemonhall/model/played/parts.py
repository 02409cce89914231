"""What the parts of the model ask of one another, so that none needs to know who stands above it."""

from __future__ import annotations

from typing import Any, Protocol

from lemonhall import interface as i
from lemonhall.audit.trace import Attempt as Seen
from lemonhall.audit.trace import Trace
from lemonhall.config.day import Day
from lemonhall.interface import NoteKind, Outcome
from lemonhall.model.played.draws import Named, Wish
from lemonhall.model.played.sim import Sim


class Caller(Protocol):
    """An attempt, as the server has it that it goes to."""

    ask: Any  # a server asks for its token
    front: Any  # and for its name
    number: int
    kb: float
    kb_there: float
    truth: float
    sent: bool
    over: bool
    seen: Seen | None

    def refused(self) -> None: ...
    def broken(self) -> None: ...
    def answered(self, status: int, report: tuple[float, ...]) -> None: ...
    def media(self) -> None: ...
    def note(self, kind: NoteKind, value: float) -> None: ...
    def hear(self, report: tuple[float, ...]) -> None: ...
    def end(self, outcome: Outcome) -> None: ...


class Watcher(Protocol):
    """A viewer, as the front has it that it asks."""

    wish: Wish
    moving: bool
    ask: Any
    told_ms: float

    @property
    def has_claim(self) -> bool: ...
    def answer(self, token: str, status: int) -> None: ...
    def broken(self, token: str) -> None: ...
    def lost(self) -> None: ...


class Stage(Protocol):
    """The world, as its parts see it."""

    SEEN_MS: float
    PASS_MS: float
    day: Day
    seed: int
    sim: Sim
    named: Named
    trace: Trace
    module_s: float
    peer_messages: int
    fronts: Any
    box_list: Any
    timer: Any
    returning: bool
    limited: bool

    def hop(self) -> float: ...
    def count(self, what: str) -> None: ...
    def new_life(self, box: Any) -> int: ...
    def box_at(self, server: int) -> Any: ...
    def fronts_at(self, wish: Wish) -> Any: ...
    def rate(self, wish: Wish, rung: int) -> float: ...
    def truth(self, wish: Wish) -> float: ...
    def place_of(self, wish: Wish) -> tuple[int, int, int]: ...
    def module_settings(self, index: int) -> i.Settings: ...
