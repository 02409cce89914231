"""Admission control: the rate holds, higher worth goes first, each wait ends, and retry times are spread."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from lemonhall.recovery.admission import MAX_WAIT_SHARE, AdmissionGate, AdmissionResult

REQUESTS = st.lists(
    st.tuples(st.floats(0, 3000), st.sampled_from([1.0, 3.0]), st.floats(10, 5000)), min_size=1, max_size=120
)  # time, worth, time left


def gate_with(per_s: float, seed: int = 1) -> AdmissionGate:
    gate = AdmissionGate(Random(seed), 2000.0)
    gate.rate_per_s = per_s
    return gate


def run(
    gate: AdmissionGate, requests: list[tuple[float, float, float]], open_at: float = 0.0
) -> dict[int, list[tuple[float, AdmissionResult]]]:
    """Submits requests at their times and polls whenever due. Returns the results with their times."""
    results: dict[int, list[tuple[float, AdmissionResult]]] = {}
    pending = sorted((at, n) for n, (at, _, _) in enumerate(requests))
    now, gate.closed = 0.0, open_at > 0
    while pending or gate.waiting:
        now = max(
            now, min([gate.next_due_at(now)] + [at for at, _ in pending[:1]] + [open_at] * (now < open_at))
        )
        gate.closed = now < open_at
        for result in gate.poll(now):
            results.setdefault(result.request_id, []).append((now, result))
        while pending and pending[0][0] <= now:
            _, n = pending.pop(0)
            if result := gate.admit(now, n, requests[n][1], requests[n][2]):
                results.setdefault(n, []).append((now, result))
        now += 1e-6
    return results


@settings(max_examples=60, deadline=None)
@given(REQUESTS, st.floats(0.5, 80), st.sampled_from([0.0, 700.0]))
def test_each_request_gets_one_result_in_time_and_the_rate_holds(
    requests: list[tuple[float, float, float]], per_s: float, open_at: float
) -> None:
    results = run(gate_with(per_s), requests, open_at)
    assert sorted(results) == list(range(len(requests)))
    admitted = []
    for n, found in results.items():
        assert len(found) == 1
        at, result = found[0]
        assert at <= requests[n][0] + MAX_WAIT_SHARE * requests[n][2] + 0.01
        if result.retry_after_ms is None:
            admitted.append(at)
        else:
            assert 0 < result.retry_after_ms <= 2000.0
    admitted.sort()
    for n, first in enumerate(admitted):
        for m in range(n, len(admitted)):
            burst = max(1.0, per_s * 0.1)
            assert m - n + 1 <= burst + per_s * (admitted[m] - first) / 1000 + 1e-3 + 1
    assert all(at >= open_at for at in admitted)


def test_requests_of_higher_worth_are_admitted_first() -> None:
    results = run(gate_with(10.0), [(0.0, 1.0, 4000.0)] * 15 + [(1.0, 3.0, 4000.0)] * 10)
    admitted = sorted((found[0][0], n) for n, found in results.items() if found[0][1].retry_after_ms is None)
    assert all(n >= 15 for _, n in admitted[1:11])  # one was admitted before they arrived


def test_deferred_requests_get_different_retry_times() -> None:
    results = run(gate_with(10.0), [(0.0, 1.0, 1000.0)] * 20)
    retry_at = [
        at + result.retry_after_ms
        for ((at, result),) in results.values()
        if result.retry_after_ms is not None
    ]
    assert len(retry_at) >= 12
    assert len({round(t) for t in retry_at}) == len(retry_at)
    assert max(retry_at) - min(retry_at) > 1000


def test_the_rate_doubles_each_second_after_its_end() -> None:
    gate = gate_with(2.0)
    gate.rate_ends_at = 1000.0
    assert [round(gate.rate(t)) for t in (0.0, 1000.0, 2000.0, 4000.0)] == [2, 2, 4, 16]


def test_the_gate_is_calm_while_no_request_waits_for_long() -> None:
    gate = gate_with(10.0)
    assert gate.is_calm(0.0, 1000.0)
    gate.admit(0.0, 1, 1.0, 4000.0)
    gate.admit(0.0, 2, 1.0, 4000.0)
    gate.admit(0.0, 3, 1.0, 4000.0)
    assert [result.request_id for result in gate.poll(101.0)] == [2]
    assert not gate.is_calm(150.0, 1000.0)
    assert [result.request_id for result in gate.poll(210.0)] == [3]
    assert not gate.is_calm(1000.0, 1000.0) and gate.is_calm(1300.0, 1000.0)


def test_a_cancelled_request_gets_no_result() -> None:
    gate = gate_with(1.0)
    assert gate.admit(0.0, 1, 1.0, 4000.0) == AdmissionResult(1)
    assert gate.admit(0.0, 2, 1.0, 4000.0) is None
    assert gate.cancel(2) and not gate.cancel(2)
    assert gate.poll(5000.0) == [] and gate.next_due_at(5000.0) == float("inf")
