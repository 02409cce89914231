"""Each check of the audit on a small trace: it accepts a clean one and reports the violation it is for."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from pathlib import Path

import pytest

from lemonhall.audit import audit, read_taps
from lemonhall.audit.rules import CHECKS, service
from lemonhall.audit.trace import Attempt, SetUpRequest, Trace, TraceReader
from lemonhall.config import BadInput
from lemonhall.config.settings import Terms

PAID, SAFE = 0, 1
FLOOR_BITS = 20 * 8000.0


def request(token: str = "1.1", cls: int = PAID, at: float = 1000.0, **fields: object) -> SetUpRequest:
    made = SetUpRequest(token, at, cls, 0, "/claims/t", "f0", 1200.0, 4000.0, 2, 1)
    made.answers = [(at + 100, 200)]
    for name, value in fields.items():
        setattr(made, name, value)
    return made


def attempt(token: str = "1.1", at: float = 1010.0, **fields: object) -> Attempt:
    made = Attempt(token, "a0", 1, "f0", at, status=200, end=at + 3000, rates=[(at, FLOOR_BITS)])
    made.media_at = at + 50
    for name, value in fields.items():
        setattr(made, name, value)
    return made


def trace(requests: list[SetUpRequest], attempts: list[Attempt]) -> Trace:
    return Trace(requests={r.token: r for r in requests}, attempts=attempts)


def clean_trace() -> Trace:
    made = trace([request(), request("2.1", SAFE)], [attempt(), attempt("2.1")])
    made.list_updates = [(0.0, "f0", True, {1: 1})]
    made.server_starts = {("a0", 1): (0.0, False)}
    return made


def test_claim_set_up_by_two_fronts_is_reported_unless_the_first_never_ran(terms: Terms) -> None:
    requests = [request("1.1", claim="c", at=1000.0), request("1.2", claim="c", at=2500.0)]
    requests[0].answers = []  # its front was killed
    attempts = [attempt("1.1", 1010.0, status=0), attempt("1.2", 2510.0, front="f1")]
    assert any("claim c" in text for text in CHECKS["paid_set_up_twice"](trace(requests, attempts), terms))
    attempts[0].status = 453
    assert not CHECKS["paid_set_up_twice"](trace(requests, attempts), terms)
    requests[1].claim = "d"
    attempts[0].status = 0
    assert not CHECKS["paid_set_up_twice"](trace(requests, attempts), terms)


def fault_unanswered(t: Trace) -> None:
    t.requests["1.1"].answers = []


def fault_answered_late(t: Trace) -> None:
    t.requests["1.1"].answers = [(1000 + 1200 + 501, 200)]


def fault_answered_twice(t: Trace) -> None:
    t.requests["1.1"].answers *= 2


def fault_paid_set_up_twice(t: Trace) -> None:
    t.attempts[0].end, t.attempts[0].status = 1100, 500
    t.attempts.append(attempt(at=1200))


def fault_refused_although_it_may_have_run(t: Trace) -> None:
    t.attempts[0].status = 0
    t.requests["1.1"].answers = [(1500, 503)]


def fault_two_attempts_at_once(t: Trace) -> None:
    t.attempts.append(attempt("2.1", at=1500))


def fault_after_drain(t: Trace) -> None:
    t.list_updates.append((-2000.0, "f0", False, {1: 2}))


def fault_missing_in_a_complete_list(t: Trace) -> None:
    t.list_updates = [(-9000.0, "f0", True, {1: 1}), (-8000.0, "f0", True, {2: 1})]


def fault_cold_overload(t: Trace) -> None:
    t.server_starts = {("a0", 1): (900.0, True)}
    t.attempts += [attempt("2.1", at=1000.0 + n, end=1001.0 + n, status=503) for n in range(9)]


def fault_under_floor(t: Trace) -> None:
    t.attempts[0].rates.append((2000.0, FLOOR_BITS / 2))


def fault_over_seats(t: Trace) -> None:
    for n in (5, 6):
        t.requests[f"{n}.1"] = request(f"{n}.1")
        t.attempts.append(attempt(f"{n}.1"))


def fault_over_budget(t: Trace) -> None:
    t.attempts += [attempt("2.1", at=5000.0 + n, end=5000.5 + n, status=500) for n in range(2)]


FAULTS: list[tuple[Callable[[Trace], None], str]] = [
    (fault_unanswered, "unanswered"),
    (fault_answered_late, "unanswered"),
    (fault_answered_twice, "answered_twice"),
    (fault_paid_set_up_twice, "paid_set_up_twice"),
    (fault_refused_although_it_may_have_run, "paid_set_up_twice"),
    (fault_two_attempts_at_once, "attempts_at_once"),
    (fault_after_drain, "after_drain"),
    (fault_missing_in_a_complete_list, "after_drain"),
    (fault_cold_overload, "cold_pushed_over"),
    (fault_under_floor, "under_floor"),
    (fault_over_seats, "over_seats"),
    (fault_over_budget, "over_budget"),
]


def test_clean_trace_has_no_violations(terms: Terms) -> None:
    report = audit(clean_trace(), terms)
    assert report.rules_broken == 0 and report.played == 2
    assert set(report.to_json()) >= {*CHECKS, "sessions", "service", "faults", "seconds", "rules_broken"}


@pytest.mark.parametrize(("add_fault", "key"), FAULTS, ids=[f[0].__name__ for f in FAULTS])
def test_each_violation_is_reported_by_its_check(
    add_fault: Callable[[Trace], None], key: str, terms: Terms
) -> None:
    made = clean_trace()
    add_fault(made)
    assert CHECKS[key](made, terms) != []


def test_retry_and_refusal_are_allowed_after_an_attempt_that_never_ran(terms: Terms) -> None:
    full = attempt(status=503, end=1100.0)
    retried = trace([request()], [full, attempt(at=1200)])
    refused = trace([request(answers=[(1300.0, 503)])], [full])
    for made in (retried, refused):
        assert audit(made, terms).rules_broken == 0


def test_killed_front_need_not_answer(terms: Terms) -> None:
    made = trace([request(answers=[])], [])
    made.front_kills = [(1200.0, inf, "f0")]
    assert CHECKS["unanswered"](made, terms) == []
    made.front_kills = [(1200.0, inf, "f1")]
    assert len(CHECKS["unanswered"](made, terms)) == 1


def test_requests_closed_by_the_death_of_their_worker_need_no_answer(terms: Terms) -> None:
    made = trace([request(answers=[], closed_at=1300.0, closed_by_front=True)], [])
    for kills, violations in (
        ([(1200.0, "f0")], 0),
        ([(1200.0, "f1")], 1),  # a worker of another front
        ([(900.0, "f0")], 1),  # closed long after the kill
        ([(1301.0, "f0")], 1),  # closed before the kill
    ):
        made.worker_kills = kills
        assert len(CHECKS["unanswered"](made, terms)) == violations
    made.worker_kills = [(1200.0, "f0")]
    made.requests["1.1"].closed_by_front = False
    assert len(CHECKS["unanswered"](made, terms)) == 1


def test_fronts_that_could_not_know_do_not_violate_the_cold_start_rule(terms: Terms) -> None:
    made = clean_trace()
    fault_cold_overload(made)
    made.list_updates = []
    assert CHECKS["cold_pushed_over"](made, terms) == []
    made.server_deaths = {("a0", 0): (500.0, {"f0"})}
    assert len(CHECKS["cold_pushed_over"](made, terms)) == 1


def test_service_counts_seconds_by_rung_up_to_the_requested_length(terms: Terms) -> None:
    played = trace([request(length_ms=4000.0)], [attempt(end=1010.0 + 50 + 2000)])
    assert service(played, terms) == pytest.approx(2 * 0.7 / 4)
    played.attempts[0].end = 99_000.0
    assert service(played, terms) == 1.0
    assert service(Trace(), terms) == 0.0


def test_invalid_tap_record_is_reported_with_its_line(tmp_path: Path) -> None:
    path = tmp_path / "x.tap"
    path.write_text('{"t":1,"who":"day","conn":0,"what":"fault","kind":"hang"}\nnonsense\n')
    with pytest.raises(BadInput, match=r"x\.tap:2"):
        read_taps([path])


def test_attempt_is_built_from_tap_records() -> None:
    def server_record(t: float, what: str, conn: int = 1, **more: object) -> dict[str, object]:
        return {"t": t, "who": "box:a0", "conn": conn, "what": what, **more}

    set_up = {"Via": "RTSP/1.0 f0", "Bandwidth": "8000"}
    records = [
        server_record(0, "start", 0, life=4, cold=True),
        server_record(1, "open"),
        server_record(2, "request", method="SETUP", url="rtsp://h/x?ask=7.1/t", cseq="1", headers=set_up),
        server_record(3, "response", status=200, cseq="1", headers={"Session": "s"}),
        server_record(4, "media", session="s"),
        server_record(
            5, "request", method="SET_PARAMETER", url="u", cseq="3", headers={**set_up, "Session": "s"}
        ),
        server_record(6, "die", 0, life=4),
        server_record(7, "close"),
    ]
    trace_read = TraceReader().read(records)
    (only,) = trace_read.attempts
    assert (only.token, only.front, only.incarnation, only.status, only.media_at, only.end) == (
        "7.1",
        "f0",
        4,
        200,
        4,
        7,
    )
    assert [r[0] for r in only.rates] == [2, 5]
    assert trace_read.server_deaths["a0", 4] == (6, {"f0"})
