"""An older store is told by those who heard a later mark; the stated bound holds, and no more is promised."""

from __future__ import annotations

from itertools import product

from hypothesis import given, settings
from hypothesis import strategies as st

from lemonhall.recovery.checkpoints import Seen, StoreCheckpoint, StoreTrust, Witnesses, successors


def judged(
    mark: StoreCheckpoint, answers: list[StoreCheckpoint | None], others: int, now: float = 0.0
) -> StoreTrust:
    made = Witnesses(mark, until=1000.0)
    for n, seen in enumerate(answers, 1):
        made.answer(n, seen)
    return made.look(now, len(answers), others)


def test_every_history_on_a_small_scope() -> None:
    """Writes, words that come through or not, a copy; then the copy or the file is put back: every order."""
    wrong = 0
    for history in product(("write", "tell", "lost", "copy"), repeat=6):
        count, copy, heard = 1, None, None
        seen = Seen()
        for step in history:
            if step == "write":
                count += 1
            elif step == "copy":
                copy = count
            elif step == "tell":
                seen.hear(7, StoreCheckpoint(100, count))
                heard = count
        answer = seen.checkpoints.get(7)
        assert judged(StoreCheckpoint(100, count), [answer], 1, 2000.0) in (
            StoreTrust.SOUND,
            StoreTrust.UNKNOWN,
        )  # the file itself
        if copy is not None and copy < count:
            trust = judged(StoreCheckpoint(100, copy), [answer], 1, 2000.0)
            if heard is None:
                assert trust is StoreTrust.UNKNOWN
            else:
                assert (trust is StoreTrust.OLDER) == (heard > copy)
                wrong += trust is StoreTrust.SOUND
    assert wrong  # what the bound excepts: a copy made after the last word that came through


def test_a_store_that_was_lost_and_begun_anew_is_later_and_the_old_one_older() -> None:
    seen = Seen()
    seen.hear(7, StoreCheckpoint(100, 50))
    seen.hear(7, StoreCheckpoint(900, 2))
    seen.hear(7, StoreCheckpoint(100, 51))  # late words
    assert judged(StoreCheckpoint(100, 60), [seen.checkpoints[7]], 1) is StoreTrust.OLDER
    assert judged(StoreCheckpoint(900, 5), [seen.checkpoints[7]], 1) is StoreTrust.SOUND


@settings(max_examples=200)
@given(
    st.lists(st.one_of(st.none(), st.builds(StoreCheckpoint, st.just(1), st.integers(1, 20))), max_size=8),
    st.integers(1, 20),
    st.integers(1, 30),
)
def test_whoever_answers_and_in_whatever_order(
    answers: list[StoreCheckpoint | None], count: int, others: int
) -> None:
    mark = StoreCheckpoint(1, count)
    at_end = judged(mark, answers, others, 2000.0)
    assert at_end is not StoreTrust.WAITING
    later = any(a and a > mark for a in answers)
    assert (at_end is StoreTrust.OLDER) == later
    assert (at_end is StoreTrust.UNKNOWN) == (not any(answers))
    assert judged(mark, answers[::-1], others, 2000.0) is at_end


def test_it_is_known_at_once_when_enough_have_said() -> None:
    mark = StoreCheckpoint(1, 5)
    assert judged(mark, [mark], 7) is StoreTrust.WAITING
    assert judged(mark, [mark, None, mark], 7) is StoreTrust.WAITING
    assert judged(mark, [mark] * 3, 7) is StoreTrust.SOUND
    assert judged(mark, [mark], 1) is StoreTrust.SOUND
    assert judged(mark, [None, StoreCheckpoint(1, 6)], 7) is StoreTrust.OLDER


def test_those_that_are_told_are_those_that_are_asked() -> None:
    members = [0, 3, 5, 8, 11]
    assert successors(5, members, 3) == [8, 11, 0]
    assert successors(11, members, 9) == [0, 3, 5, 8]
    assert successors(5, [5], 3) == []


def test_what_is_remembered_has_an_end() -> None:
    seen = Seen()
    for n in range(10_000):
        seen.hear(n, StoreCheckpoint(1, 1))
    assert len(seen.checkpoints) == 4096
