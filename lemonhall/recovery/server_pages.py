"""What others know of servers, for a front that has lost what it knew. Pure.

Up to three are asked, page by page, for a stated time. What they say is held against one another, so that one
that is mad, or lies, can make a front miss servers or go to wrong ones for a while, never break a rule: what
more than half of them name is taken, of two states the more cautious one, of two starts the later one, of
loads and evidence the middle. It counts as a kept list does: as of another time. The box list's own word
takes its place when it comes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import inf, isfinite
from random import Random
from statistics import median
from typing import Any

from lemonhall.recovery.recovery_pb2 import Page

ASKED = 3  # fronts
WITHIN_MS = 1500.0  # then what has come is taken
AGAIN_MS = 150.0  # a page is asked for again after
SILENT = 2  # tries without an answer, after which another is asked as well
PAGE_BYTES = 900
PAGES_MOST = 64
GIVEN_PER_S = 200.0  # pages that a front gives away, to whomever
HEARSAY = 0.5  # weight of others' evidence against one's own
NUMBER_MOST = 1 << 20
EVIDENCE_MOST = 4.0
STATES = (1, 2)  # ready, draining


def build_pages(entries: Iterable[Any], as_of_ms: float, version: int) -> list[Any]:
    """Entries (of recovery.proto), in pages that fit into datagrams."""
    made: list[Any] = [Page()]
    size = 0
    for entry in entries:
        size += entry.ByteSize() + 3
        if size > PAGE_BYTES and made[-1].entries:
            made.append(Page())
            size = entry.ByteSize() + 3
        made[-1].entries.append(entry)
    del made[PAGES_MOST:]
    for number, page in enumerate(made, 1):
        page.number, page.pages, page.as_of_ms, page.version = number, len(made), as_of_ms, version
    return made


def sane(entry: Any) -> bool:
    numbers = (entry.weight, entry.started_ms, entry.evidence, entry.others_kb)
    if not all(isfinite(n) and n >= 0 for n in numbers) or entry.state not in STATES or entry.weight <= 0:
        return False
    small = max(entry.kind, entry.zone, entry.cell) < NUMBER_MOST
    return small and entry.id > 0 and 0 < len(entry.address) <= 100


@dataclass
class Giver:
    """One that was asked."""

    page: int = 1  # that is waited for
    asked_at: float = -inf
    tries: int = 0  # at that page
    pages: int = 0  # 0: not known yet
    as_of_ms: float = 0.0
    version: int = 0
    entries: dict[int, Any] = field(default_factory=dict)

    @property
    def whole(self) -> bool:
        return bool(self.pages) and self.page > self.pages


class Asking:
    """`until`: by when there has to be a result."""

    def __init__(self, until: float) -> None:
        self.until = until
        self.givers: dict[int, Giver] = {}
        self.bad = 0

    def asks(self, now: float, members: Iterable[int], random: Random) -> list[tuple[int, int]]:
        """Whom to ask for which page now."""
        others = [m for m in members if m not in self.givers]
        while sum(g.tries < SILENT or g.whole for g in self.givers.values()) < ASKED and others:
            self.givers[others.pop(random.randrange(len(others)))] = Giver()
        out = []
        for front, giver in self.givers.items():
            if not giver.whole and now - giver.asked_at >= AGAIN_MS:
                giver.asked_at, giver.tries = now, giver.tries + 1
                out.append((front, giver.page))
        return out

    def take(self, front: int, page: Any) -> bool:
        """A page that was asked for. Whether the next may be asked for at once."""
        giver = self.givers.get(front)
        if giver is None or page.number != giver.page or not 1 <= page.pages <= PAGES_MOST:
            self.bad += 1
            return False
        giver.pages, giver.as_of_ms, giver.version = page.pages, page.as_of_ms, page.version
        for entry in page.entries:
            if sane(entry):
                giver.entries[entry.id] = entry
            else:
                self.bad += 1
        giver.page, giver.tries = giver.page + 1, 0
        giver.asked_at = -inf
        return not giver.whole

    def done(self, now: float) -> bool:
        whole = sum(g.whole for g in self.givers.values())
        return now >= self.until or whole >= ASKED

    def due(self) -> float:
        again = (g.asked_at + AGAIN_MS for g in self.givers.values() if not g.whole)
        return min([self.until, *again])

    def result(self) -> Any:
        """One page of all that is believed, None if nobody has said anything whole."""
        said = [g for g in self.givers.values() if g.whole]
        if not said:
            return None
        made = Page(number=1, pages=1)
        made.as_of_ms = min(g.as_of_ms for g in said)
        made.version = min(g.version for g in said)
        for ident in sorted({i for g in said for i in g.entries}):
            named = [g.entries[ident] for g in said if ident in g.entries]
            if 2 * len(named) > len(said):
                made.entries.append(agreed(named))
        return made


def agreed(named: list[Any]) -> Any:
    """One entry of what several say of one server."""
    made = type(named[0])()
    made.CopyFrom(usual(named))
    made.state = max(e.state for e in named)
    made.started_ms = max(e.started_ms for e in named)
    made.evidence = HEARSAY * min(EVIDENCE_MOST, median(e.evidence for e in named))
    heard = [e for e in named if e.heard_ms_ago]
    made.others_kb = median(e.others_kb for e in heard) if heard else 0.0
    made.heard_ms_ago = max((e.heard_ms_ago for e in heard), default=0)
    return made


def usual(named: list[Any]) -> Any:
    """Whoever says what most say of where and what it is."""

    def same(entry: Any) -> tuple[Any, ...]:
        return entry.address, entry.kind, entry.weight, entry.zone, entry.cell

    counts = [sum(same(other) == same(entry) for other in named) for entry in named]
    return named[counts.index(max(counts))]


class Giving:
    """What this front gives away: `know` makes the pages, which are used for a second."""

    def __init__(self, build: Callable[[], list[Any]]) -> None:
        self.build = build
        self.made: list[Any] = []
        self.made_at = -inf
        self.room, self.at = GIVEN_PER_S, 0.0

    def page(self, now: float, number: int) -> Any:
        """None where there is nothing, or too much is asked."""
        self.room = min(GIVEN_PER_S, self.room + max(0.0, now - self.at) / 1000 * GIVEN_PER_S)
        self.at = max(self.at, now)
        if self.room < 1:
            return None
        if now - self.made_at > 1000:
            self.made, self.made_at = self.build(), now
        self.room -= 1
        return self.made[number - 1] if 1 <= number <= len(self.made) else None
