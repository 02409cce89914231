"""The gate: at most the pace, the worthiest first, each wait with an end, turns for those told off."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from lemonhall.recovery.admission import HOLD_PART, AdmissionResult, Gate

ASKS = st.lists(
    st.tuples(st.floats(0, 3000), st.sampled_from([1.0, 3.0]), st.floats(10, 5000)), min_size=1, max_size=120
)


def gate(per_s: float, seed: int = 1) -> Gate:
    made = Gate(Random(seed), 2000.0)
    made.rate_per_s = per_s
    return made


def run(
    made: Gate, asks: list[tuple[float, float, float]], open_at: float = 0.0
) -> dict[int, list[tuple[float, AdmissionResult]]]:
    """Asks at their times, `take` whenever it is due; what became of each, when."""
    out: dict[int, list[tuple[float, AdmissionResult]]] = {}
    todo = sorted((at, n) for n, (at, _, _) in enumerate(asks))
    now, made.shut = 0.0, open_at > 0
    while todo or made.waiting:
        now = max(now, min([made.due(now)] + [at for at, _ in todo[:1]] + [open_at] * (now < open_at)))
        made.shut = now < open_at
        for let in made.take(now):
            out.setdefault(let.request_id, []).append((now, let))
        while todo and todo[0][0] <= now:
            _, n = todo.pop(0)
            if let := made.admit(now, n, asks[n][1], asks[n][2]):
                out.setdefault(n, []).append((now, let))
        now += 1e-6
    return out


@settings(max_examples=60, deadline=None)
@given(ASKS, st.floats(0.5, 80), st.sampled_from([0.0, 700.0]))
def test_each_ask_has_one_word_in_time_and_no_more_go_than_the_pace(
    asks: list[tuple[float, float, float]], per_s: float, open_at: float
) -> None:
    out = run(gate(per_s), asks, open_at)
    assert sorted(out) == list(range(len(asks)))
    went = []
    for n, words in out.items():
        assert len(words) == 1
        at, let = words[0]
        assert at <= asks[n][0] + HOLD_PART * asks[n][2] + 0.01
        if let.retry_after_ms is None:
            went.append(at)
        else:
            assert 0 < let.retry_after_ms <= 2000.0
    went.sort()
    for n, first in enumerate(went):
        for m in range(n, len(went)):
            burst = max(1.0, per_s * 0.1)
            assert m - n + 1 <= burst + per_s * (went[m] - first) / 1000 + 1e-3 + 1
    assert all(at >= open_at for at in went)


def test_the_worthier_go_first() -> None:
    out = run(gate(10.0), [(0.0, 1.0, 4000.0)] * 15 + [(1.0, 3.0, 4000.0)] * 10)
    went = sorted((words[0][0], n) for n, words in out.items() if words[0][1].retry_after_ms is None)
    assert all(n >= 15 for _, n in went[1:11])  # one had gone before they came


def test_those_told_to_come_again_are_told_different_times() -> None:
    out = run(gate(10.0), [(0.0, 1.0, 1000.0)] * 20)
    told = [at + let.retry_after_ms for ((at, let),) in out.values() if let.retry_after_ms is not None]
    assert len(told) >= 12
    assert len({round(t) for t in told}) == len(told)
    assert max(told) - min(told) > 1000


def test_past_its_end_the_pace_doubles_each_second_so_that_it_cannot_last() -> None:
    made = gate(2.0)
    made.eased_from = 1000.0
    assert [round(made.rate(t)) for t in (0.0, 1000.0, 2000.0, 4000.0)] == [2, 2, 4, 16]


def test_calm_is_when_nobody_had_to_wait_for_long() -> None:
    made = gate(10.0)
    assert made.calm(0.0, 1000.0)
    made.admit(0.0, 1, 1.0, 4000.0)
    made.admit(0.0, 2, 1.0, 4000.0)
    made.admit(0.0, 3, 1.0, 4000.0)
    assert [let.request_id for let in made.take(101.0)] == [2]
    assert not made.calm(150.0, 1000.0)
    assert [let.request_id for let in made.take(210.0)] == [3]
    assert not made.calm(1000.0, 1000.0) and made.calm(1300.0, 1000.0)


def test_who_has_gone_is_not_spoken_of_again() -> None:
    made = gate(1.0)
    assert made.admit(0.0, 1, 1.0, 4000.0) == AdmissionResult(1)
    assert made.admit(0.0, 2, 1.0, 4000.0) is None
    assert made.drop(2) and not made.drop(2)
    assert made.take(5000.0) == [] and made.due(5000.0) == float("inf")
