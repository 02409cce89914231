"""What others know, taken over: bounded, held against one another, whoever lies, is killed or is silent."""

from __future__ import annotations

from random import Random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from lemonhall.recovery.recovery_pb2 import Entry, Page
from lemonhall.recovery.server_pages import (
    GIVEN_PER_S,
    PAGE_BYTES,
    PAGES_MOST,
    WITHIN_MS,
    Asking,
    Giving,
    build_pages,
)

LIES = st.lists(st.tuples(st.integers(1, 9), st.integers(0, 4), st.floats()), max_size=12)


def entry(ident: int, **other: Any) -> Any:
    fields = {"address": f"10.0.0.{ident % 250}:554", "weight": 1.0, "state": 1, "started_ms": 5.0}
    return Entry(id=ident, **{**fields, **other})


def asked(answers: dict[int, list[Any]], members: int = 6, seed: int = 1) -> tuple[Any, float, Asking]:
    """What comes of it if each front in `answers` gives its pages, and the others say nothing."""
    made, now, random = Asking(WITHIN_MS), 0.0, Random(seed)
    while not made.done(now):
        todo = made.asks(now, range(1, members + 1), random)
        for front, number in todo:
            given = answers.get(front, [])
            if number <= len(given):
                made.take(front, given[number - 1])
        now = now if todo else max(now + 1.0, made.due())
    return made.result(), now, made


def test_pages_fit_and_have_an_end() -> None:
    made = build_pages((entry(n) for n in range(1, 20_000)), 1.0, 9)
    assert len(made) == PAGES_MOST
    assert all(page.ByteSize() < PAGE_BYTES + 60 for page in made)
    small = build_pages([entry(1)], 1.0, 9)
    assert [(p.number, p.pages, p.version) for p in small] == [(1, 1, 9)]


def test_all_that_three_know_is_taken_over_in_no_time() -> None:
    known = build_pages([entry(n) for n in range(1, 60)], 7.0, 9)
    result, now, _ = asked(dict.fromkeys(range(1, 7), known))
    assert [e.id for e in result.entries] == list(range(1, 60)) and now == 0.0
    assert result.as_of_ms == 7.0


@settings(max_examples=80)
@given(LIES, st.integers(1, 3))
def test_one_that_is_mad_names_no_server_and_moves_none(
    wrong: list[tuple[int, int, float]], mad: int
) -> None:
    """Of three that are asked one says what it likes; the others know servers 1 to 5, of which 4 drains."""
    true = build_pages([entry(n, state=2 if n == 4 else 1, evidence=1.0) for n in range(1, 6)], 7.0, 9)
    lies = build_pages(
        [entry(i, state=s, evidence=abs(e), address="6.6.6.6:6") for i, s, e in wrong], 9.0, 1 << 40
    )
    lies = lies or [Page(number=1, pages=1)]
    result, _, _ = asked({n: lies if n == mad else true for n in (1, 2, 3)}, members=3)
    assert [e.id for e in result.entries] == [1, 2, 3, 4, 5]
    assert all(e.address == f"10.0.0.{e.id}:554" for e in result.entries)
    assert next(e for e in result.entries if e.id == 4).state == 2
    assert all(e.evidence <= 2.0 for e in result.entries)  # hearsay weighs half


def test_the_more_cautious_word_is_taken() -> None:
    said = [entry(1, state=1, started_ms=5.0), entry(1, state=2, started_ms=9.0), entry(1)]
    result, _, _ = asked({n: build_pages([one], 1.0, 1) for n, one in enumerate(said, 1)}, members=3)
    assert (result.entries[0].state, result.entries[0].started_ms) == (2, 9.0)


def test_whoever_is_killed_half_way_holds_up_nothing_for_long() -> None:
    known = build_pages([entry(n) for n in range(1, 60)], 7.0, 9)
    assert len(known) > 1
    result, now, _ = asked({1: known[:1], 2: known, 3: known}, members=3)
    assert len(result.entries) == 59 and now == WITHIN_MS
    assert asked({}, members=3)[0] is None and asked({}, members=0)[1] == WITHIN_MS


def test_those_that_know_nothing_are_passed_over() -> None:
    known = build_pages([entry(n) for n in range(1, 6)], 7.0, 9)
    result, now, _ = asked({5: known, 6: known}, members=6)
    assert [e.id for e in result.entries] == [1, 2, 3, 4, 5] and now == WITHIN_MS
    assert asked({4: known, 5: known, 6: known}, members=6)[1] < WITHIN_MS


def test_pages_that_nobody_asked_for_or_that_cannot_be_are_passed_over() -> None:
    made = Asking(WITHIN_MS)
    made.asks(0.0, [1], Random(1))
    for front, page in (
        (2, Page(number=1, pages=1)),
        (1, Page(number=2, pages=3)),
        (1, Page(number=1, pages=99)),
    ):
        assert not made.take(front, page)
    bad = [entry(1, weight=float("nan")), entry(2, state=7), entry(3, kind=1 << 30), entry(4, address="")]
    made.take(1, Page(number=1, pages=1, entries=bad))
    assert made.bad == 7 and list(made.result().entries) == []


def test_a_front_gives_no_more_than_so_many_pages_a_second() -> None:
    giving = Giving(lambda: build_pages([entry(1)], 1.0, 1))
    given_away = sum(giving.page(0.0, 1) is not None for _ in range(2000))
    assert given_away == GIVEN_PER_S
    assert giving.page(1000.0, 1) is not None and giving.page(1000.0, 2) is None
