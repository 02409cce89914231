"""Server state taken over from other fronts: bounded and cross-checked, with faulty, killed and silent
fronts."""

from __future__ import annotations

from random import Random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from lemonhall.recovery.recovery_pb2 import Entry, Page
from lemonhall.recovery.server_pages import (
    MAX_PAGES,
    PAGE_BYTES,
    PAGES_PER_S,
    QUERY_TIMEOUT_MS,
    PageQuery,
    PageServer,
    build_pages,
)

FALSE_ENTRIES = st.lists(st.tuples(st.integers(1, 9), st.integers(0, 4), st.floats()), max_size=12)


def entry(server_id: int, **other: Any) -> Any:
    fields = {"address": f"10.0.0.{server_id % 250}:554", "weight": 1.0, "state": 1, "started_ms": 5.0}
    return Entry(id=server_id, **{**fields, **other})


def run_query(answers: dict[int, list[Any]], members: int = 6, seed: int = 1) -> tuple[Any, float, PageQuery]:
    """Each front in `answers` sends its pages, the others are silent. Returns the result and its time."""
    query, now, random = PageQuery(QUERY_TIMEOUT_MS), 0.0, Random(seed)
    while not query.is_done(now):
        requests = query.due_requests(now, range(1, members + 1), random)
        for front, number in requests:
            pages = answers.get(front, [])
            if number <= len(pages):
                query.on_page(front, pages[number - 1])
        now = now if requests else max(now + 1.0, query.next_due_at())
    return query.merge_result(), now, query


def test_pages_fit_into_datagrams_and_their_number_is_bounded() -> None:
    pages = build_pages((entry(n) for n in range(1, 20_000)), 1.0, 9)
    assert len(pages) == MAX_PAGES
    assert all(page.ByteSize() < PAGE_BYTES + 60 for page in pages)
    small = build_pages([entry(1)], 1.0, 9)
    assert [(p.number, p.pages, p.version) for p in small] == [(1, 1, 9)]


def test_the_state_of_three_sources_is_taken_over_without_a_wait() -> None:
    known = build_pages([entry(n) for n in range(1, 60)], 7.0, 9)
    result, now, _ = run_query(dict.fromkeys(range(1, 7), known))
    assert [e.id for e in result.entries] == list(range(1, 60)) and now == 0.0
    assert result.as_of_ms == 7.0


@settings(max_examples=80)
@given(FALSE_ENTRIES, st.integers(1, 3))
def test_one_faulty_source_of_three_adds_no_server_and_changes_no_address(
    false_entries: list[tuple[int, int, float]], faulty: int
) -> None:
    """Two of three sources know servers 1 to 5, of which 4 drains; the third sends arbitrary entries."""
    true = build_pages([entry(n, state=2 if n == 4 else 1, evidence=1.0) for n in range(1, 6)], 7.0, 9)
    false = build_pages(
        [entry(i, state=s, evidence=abs(e), address="6.6.6.6:6") for i, s, e in false_entries], 9.0, 1 << 40
    )
    false = false or [Page(number=1, pages=1)]
    result, _, _ = run_query({n: false if n == faulty else true for n in (1, 2, 3)}, members=3)
    assert [e.id for e in result.entries] == [1, 2, 3, 4, 5]
    assert all(e.address == f"10.0.0.{e.id}:554" for e in result.entries)
    assert next(e for e in result.entries if e.id == 4).state == 2
    assert all(e.evidence <= 2.0 for e in result.entries)  # evidence of other fronts weighs half


def test_the_more_cautious_of_different_values_is_taken_over() -> None:
    different = [entry(1, state=1, started_ms=5.0), entry(1, state=2, started_ms=9.0), entry(1)]
    result, _, _ = run_query({n: build_pages([one], 1.0, 1) for n, one in enumerate(different, 1)}, members=3)
    assert (result.entries[0].state, result.entries[0].started_ms) == (2, 9.0)


def test_a_source_killed_between_two_pages_delays_the_result_only_to_the_timeout() -> None:
    known = build_pages([entry(n) for n in range(1, 60)], 7.0, 9)
    assert len(known) > 1
    result, now, _ = run_query({1: known[:1], 2: known, 3: known}, members=3)
    assert len(result.entries) == 59 and now == QUERY_TIMEOUT_MS
    assert run_query({}, members=3)[0] is None and run_query({}, members=0)[1] == QUERY_TIMEOUT_MS


def test_silent_fronts_are_replaced_by_others() -> None:
    known = build_pages([entry(n) for n in range(1, 6)], 7.0, 9)
    result, now, _ = run_query({5: known, 6: known}, members=6)
    assert [e.id for e in result.entries] == [1, 2, 3, 4, 5] and now == QUERY_TIMEOUT_MS
    assert run_query({4: known, 5: known, 6: known}, members=6)[1] < QUERY_TIMEOUT_MS


def test_unrequested_pages_and_invalid_entries_are_counted_and_dropped() -> None:
    query = PageQuery(QUERY_TIMEOUT_MS)
    query.due_requests(0.0, [1], Random(1))
    for front, page in (
        (2, Page(number=1, pages=1)),
        (1, Page(number=2, pages=3)),
        (1, Page(number=1, pages=99)),
    ):
        assert not query.on_page(front, page)
    invalid = [entry(1, weight=float("nan")), entry(2, state=7), entry(3, kind=1 << 30), entry(4, address="")]
    query.on_page(1, Page(number=1, pages=1, entries=invalid))
    assert query.invalid_count == 7 and list(query.merge_result().entries) == []


def test_the_number_of_pages_served_per_second_is_bounded() -> None:
    server = PageServer(lambda: build_pages([entry(1)], 1.0, 1))
    served = sum(server.get_page(0.0, 1) is not None for _ in range(2000))
    assert served == PAGES_PER_S
    assert server.get_page(1000.0, 1) is not None and server.get_page(1000.0, 2) is None
