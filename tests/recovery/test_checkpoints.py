"""An outdated store is detected by fronts that received a later checkpoint, within the guarantee of the
module and no further."""

from __future__ import annotations

from itertools import product

from hypothesis import given, settings
from hypothesis import strategies as st

from lemonhall.recovery.checkpoints import (
    CheckpointQuery,
    PeerCheckpoints,
    StoreCheckpoint,
    StoreTrust,
    ring_successors,
)


def trust_of(
    checkpoint: StoreCheckpoint, answers: list[StoreCheckpoint | None], other_fronts: int, now: float = 0.0
) -> StoreTrust:
    query = CheckpointQuery(checkpoint, until=1000.0)
    for n, known in enumerate(answers, 1):
        query.on_answer(n, known)
    return query.evaluate(now, len(answers), other_fronts)


def test_every_short_history_of_writes_messages_and_copies() -> None:
    """All sequences of six steps; then the copy or the file itself is restored."""
    wrongly_trusted = 0
    for history in product(("write", "send", "lost", "copy"), repeat=6):
        count, copied, received = 1, None, None
        peer = PeerCheckpoints()
        for step in history:
            if step == "write":
                count += 1
            elif step == "copy":
                copied = count
            elif step == "send":
                peer.record(7, StoreCheckpoint(100, count))
                received = count
        answer = peer.checkpoints.get(7)
        assert trust_of(StoreCheckpoint(100, count), [answer], 1, 2000.0) in (
            StoreTrust.SOUND,
            StoreTrust.UNKNOWN,
        )  # the file itself
        if copied is not None and copied < count:
            trust = trust_of(StoreCheckpoint(100, copied), [answer], 1, 2000.0)
            if received is None:
                assert trust is StoreTrust.UNKNOWN
            else:
                assert (trust is StoreTrust.OLDER) == (received > copied)
                wrongly_trusted += trust is StoreTrust.SOUND
    assert wrongly_trusted  # outside the guarantee: copies made after the last message that arrived


def test_a_newly_created_store_is_later_than_the_lost_one() -> None:
    peer = PeerCheckpoints()
    peer.record(7, StoreCheckpoint(100, 50))
    peer.record(7, StoreCheckpoint(900, 2))
    peer.record(7, StoreCheckpoint(100, 51))  # a late message
    assert trust_of(StoreCheckpoint(100, 60), [peer.checkpoints[7]], 1) is StoreTrust.OLDER
    assert trust_of(StoreCheckpoint(900, 5), [peer.checkpoints[7]], 1) is StoreTrust.SOUND


@settings(max_examples=200)
@given(
    st.lists(st.one_of(st.none(), st.builds(StoreCheckpoint, st.just(1), st.integers(1, 20))), max_size=8),
    st.integers(1, 20),
    st.integers(1, 30),
)
def test_the_result_does_not_depend_on_the_order_of_answers(
    answers: list[StoreCheckpoint | None], count: int, other_fronts: int
) -> None:
    checkpoint = StoreCheckpoint(1, count)
    at_end = trust_of(checkpoint, answers, other_fronts, 2000.0)
    assert at_end is not StoreTrust.WAITING
    later = any(a and a > checkpoint for a in answers)
    assert (at_end is StoreTrust.OLDER) == later
    assert (at_end is StoreTrust.UNKNOWN) == (not any(answers))
    assert trust_of(checkpoint, answers[::-1], other_fronts, 2000.0) is at_end


def test_the_result_is_known_as_soon_as_enough_fronts_have_answered() -> None:
    checkpoint = StoreCheckpoint(1, 5)
    assert trust_of(checkpoint, [checkpoint], 7) is StoreTrust.WAITING
    assert trust_of(checkpoint, [checkpoint, None, checkpoint], 7) is StoreTrust.WAITING
    assert trust_of(checkpoint, [checkpoint] * 3, 7) is StoreTrust.SOUND
    assert trust_of(checkpoint, [checkpoint], 1) is StoreTrust.SOUND
    assert trust_of(checkpoint, [None, StoreCheckpoint(1, 6)], 7) is StoreTrust.OLDER


def test_checkpoints_go_to_the_fronts_that_are_queried_later() -> None:
    members = [0, 3, 5, 8, 11]
    assert ring_successors(5, members, 3) == [8, 11, 0]
    assert ring_successors(11, members, 9) == [0, 3, 5, 8]
    assert ring_successors(5, [5], 3) == []


def test_the_number_of_kept_checkpoints_is_bounded() -> None:
    peer = PeerCheckpoints()
    for n in range(10_000):
        peer.record(n, StoreCheckpoint(1, 1))
    assert len(peer.checkpoints) == 4096
