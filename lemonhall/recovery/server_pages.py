"""Server state that other fronts provide to a front that has lost its own. Pure.

Up to three fronts are queried, page by page, for a limited time. Their pages are compared, so that a faulty
or lying front can make a front miss servers or use wrong ones for a while, but never break a rule: servers
named by more than half of the sources are taken over, with the more cautious of two states, the later of two
starts, and the median of loads and evidence. The result counts like a cached list: as of another time, and
replaced by the server list when that arrives.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import inf, isfinite
from random import Random
from statistics import median
from typing import Any

from lemonhall.recovery.recovery_pb2 import Page

MAX_SOURCES = 3  # fronts queried at once
QUERY_TIMEOUT_MS = 1500.0  # then the pages received so far are used
RETRY_MS = 150.0
SILENT_TRIES = 2  # tries without an answer after which another front is queried as well
PAGE_BYTES = 900
MAX_PAGES = 64
PAGES_PER_S = 200.0  # served to all other fronts together
PEER_EVIDENCE_WEIGHT = 0.5  # relative to own evidence
MAX_NUMBER = 1 << 20
MAX_EVIDENCE = 4.0
VALID_STATES = (1, 2)  # ready, draining


def build_pages(entries: Iterable[Any], as_of_ms: float, version: int) -> list[Any]:
    """Pages of entries (recovery.proto) that fit into datagrams."""
    pages: list[Any] = [Page()]
    size = 0
    for entry in entries:
        size += entry.ByteSize() + 3
        if size > PAGE_BYTES and pages[-1].entries:
            pages.append(Page())
            size = entry.ByteSize() + 3
        pages[-1].entries.append(entry)
    del pages[MAX_PAGES:]
    for number, page in enumerate(pages, 1):
        page.number, page.pages, page.as_of_ms, page.version = number, len(pages), as_of_ms, version
    return pages


def is_valid(entry: Any) -> bool:
    numbers = (entry.weight, entry.started_ms, entry.evidence, entry.others_kb)
    if (
        not all(isfinite(n) and n >= 0 for n in numbers)
        or entry.state not in VALID_STATES
        or entry.weight <= 0
    ):
        return False
    in_range = max(entry.kind, entry.zone, entry.cell) < MAX_NUMBER
    return in_range and entry.id > 0 and 0 < len(entry.address) <= 100


@dataclass
class PageSource:
    """A front that is queried."""

    next_page: int = 1
    requested_at: float = -inf
    tries: int = 0  # at the next page
    page_count: int = 0  # 0: not known yet
    as_of_ms: float = 0.0
    version: int = 0
    entries: dict[int, Any] = field(default_factory=dict)

    @property
    def complete(self) -> bool:
        return bool(self.page_count) and self.next_page > self.page_count


class PageQuery:
    """Requests the pages of several fronts and merges them. `until`: the time of the result at the latest."""

    def __init__(self, until: float) -> None:
        self.until = until
        self.sources: dict[int, PageSource] = {}
        self.invalid_count = 0

    def due_requests(self, now: float, members: Iterable[int], random: Random) -> list[tuple[int, int]]:
        """The fronts and page numbers to request now."""
        others = [m for m in members if m not in self.sources]
        while (
            sum(s.tries < SILENT_TRIES or s.complete for s in self.sources.values()) < MAX_SOURCES and others
        ):
            self.sources[others.pop(random.randrange(len(others)))] = PageSource()
        requests = []
        for front, source in self.sources.items():
            if not source.complete and now - source.requested_at >= RETRY_MS:
                source.requested_at, source.tries = now, source.tries + 1
                requests.append((front, source.next_page))
        return requests

    def on_page(self, front: int, page: Any) -> bool:
        """Handles a page. Returns whether the next one may be requested at once."""
        source = self.sources.get(front)
        if source is None or page.number != source.next_page or not 1 <= page.pages <= MAX_PAGES:
            self.invalid_count += 1
            return False
        source.page_count, source.as_of_ms, source.version = page.pages, page.as_of_ms, page.version
        for entry in page.entries:
            if is_valid(entry):
                source.entries[entry.id] = entry
            else:
                self.invalid_count += 1
        source.next_page, source.tries = source.next_page + 1, 0
        source.requested_at = -inf
        return not source.complete

    def is_done(self, now: float) -> bool:
        complete = sum(s.complete for s in self.sources.values())
        return now >= self.until or complete >= MAX_SOURCES

    def next_due_at(self) -> float:
        retries = (s.requested_at + RETRY_MS for s in self.sources.values() if not s.complete)
        return min([self.until, *retries])

    def merge_result(self) -> Any:
        """One page of all entries that are taken over; None if no source is complete."""
        complete = [s for s in self.sources.values() if s.complete]
        if not complete:
            return None
        result = Page(number=1, pages=1)
        result.as_of_ms = min(s.as_of_ms for s in complete)
        result.version = min(s.version for s in complete)
        for server_id in sorted({i for s in complete for i in s.entries}):
            named = [s.entries[server_id] for s in complete if server_id in s.entries]
            if 2 * len(named) > len(complete):
                result.entries.append(merge_entries(named))
        return result


def merge_entries(named: list[Any]) -> Any:
    """One entry of what several fronts report about one server."""
    merged = type(named[0])()
    merged.CopyFrom(majority_entry(named))
    merged.state = max(e.state for e in named)
    merged.started_ms = max(e.started_ms for e in named)
    merged.evidence = PEER_EVIDENCE_WEIGHT * min(MAX_EVIDENCE, median(e.evidence for e in named))
    with_load = [e for e in named if e.heard_ms_ago]
    merged.others_kb = median(e.others_kb for e in with_load) if with_load else 0.0
    merged.heard_ms_ago = max((e.heard_ms_ago for e in with_load), default=0)
    return merged


def majority_entry(named: list[Any]) -> Any:
    """The first entry with the address and properties that most of the entries have."""

    def properties(entry: Any) -> tuple[Any, ...]:
        return entry.address, entry.kind, entry.weight, entry.zone, entry.cell

    counts = [sum(properties(other) == properties(entry) for other in named) for entry in named]
    return named[counts.index(max(counts))]


class PageServer:
    """Serves pages to other fronts; `build` makes them, and they are used for a second."""

    def __init__(self, build: Callable[[], list[Any]]) -> None:
        self.build = build
        self.pages: list[Any] = []
        self.built_at = -inf
        self.tokens, self.updated_at = PAGES_PER_S, 0.0

    def get_page(self, now: float, number: int) -> Any:
        """None if the page does not exist or the rate limit is exceeded."""
        self.tokens = min(PAGES_PER_S, self.tokens + max(0.0, now - self.updated_at) / 1000 * PAGES_PER_S)
        self.updated_at = max(self.updated_at, now)
        if self.tokens < 1:
            return None
        if now - self.built_at > 1000:
            self.pages, self.built_at = self.build(), now
        self.tokens -= 1
        return self.pages[number - 1] if 1 <= number <= len(self.pages) else None
