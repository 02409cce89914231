"""The soak: schedules come from their seeds alone, the judge finds each broken rule, a short trial holds."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest

from lemonhall.node import dns
from lemonhall.soak.discovery import SERVICE, encode_answer
from lemonhall.soak.judge import judge
from lemonhall.soak.player import play
from lemonhall.soak.record import (
    NEVER,
    ListAnswer,
    ListChange,
    ListState,
    Process,
    Record,
    Request,
    ServedSetUp,
    Trouble,
)
from lemonhall.soak.schedule import (
    DiscoveryMode,
    EventKind,
    Site,
    draw_schedule,
    schedule_from_json,
)

ROOT = Path(__file__).parents[1]
SITE = Site(
    drain_grace_s=0.25,
    deadlines_s=(2.0, 3.0),
    set_ups_per_connection=4,
    idle_s=15.0,
    set_up_s=0.1,
    session_s=5.0,
)
REF = "0123456789abcdef"


def make_record(paid: bool = True) -> Record:
    """One request that is served, and whose session ends and is released in time."""
    record = Record(ended_at=100.0)
    record.processes = [Process(0, 0.0, 1, ready_at=0.1)]
    request = Request(REF, 0, 0, paid, sent_at=20.0, left_s=2.0)
    request.answers = [(20.2, "up", 0, "made")]
    request.released_at = [30.1]
    record.requests[REF] = request
    served = ServedSetUp(REF, "s-1", 0, 20.05, 20.05, ended_at=20.15, description="made", over_at=30.0)
    served.release_sent_at = 30.0
    record.set_ups = [served]
    return record


def rules(record: Record) -> list[str]:
    return [found.rule for found in judge(record, SITE)]


def add_attempt(record: Record, **changes: object) -> None:
    values = {"server": "s-2", "first_byte_at": 20.3, "read_at": 20.3, "ended_at": 20.4, "description": ""}
    record.set_ups.append(replace(record.set_ups[0], over_at=NEVER, **{**values, **changes}))  # type: ignore[arg-type]


def no_answer(record: Record) -> None:
    record.requests[REF].answers = []


def two_answers(record: Record) -> None:
    record.requests[REF].answers.append((20.3, "down", 47, ""))


def late_answer(record: Record) -> None:
    record.requests[REF].answers = [(22.6, "up", 0, "made")]


def foreign_answer(record: Record) -> None:
    record.requests[REF].answers = [(20.2, "up", 0, "not made")]
    record.requests[REF].released_at = []


def refused_after_it_ran(record: Record) -> None:
    record.requests[REF].answers = [(20.2, "down", 34, "")]


def two_releases(record: Record) -> None:
    record.requests[REF].released_at.append(30.5)


def late_release(record: Record) -> None:
    record.requests[REF].released_at = [31.2]


def ended_without_signal(record: Record) -> None:
    record.processes[0].ended_at = 50.0


def connection_ended(record: Record) -> None:
    no_answer(record)
    record.requests[REF].connection_ended_at = 20.3


def paid_twice(record: Record) -> None:
    add_attempt(record)


def out_at_two(record: Record) -> None:
    record.set_ups[0].ended_at = 20.4
    add_attempt(record, cause=34)


def four_attempts(record: Record) -> None:
    for _ in range(3):
        add_attempt(record, cause=34)


@pytest.mark.parametrize(
    ("spoil", "rule"),
    [
        (no_answer, "lost"),
        (two_answers, "duplicate"),
        (late_answer, "lost"),
        (foreign_answer, "foreign"),
        (refused_after_it_ran, "refusal"),
        (two_releases, "released_twice"),
        (late_release, "release"),
        (ended_without_signal, "crash"),
        (connection_ended, "lost"),
        (paid_twice, "unsafe"),
        (out_at_two, "two_at_once"),
        (four_attempts, "attempts"),
    ],
)
def test_the_judge_finds_each_broken_rule(spoil: Callable[[Record], None], rule: str) -> None:
    record = make_record()
    assert rules(record) == []
    spoil(record)
    assert rule in rules(record)


def test_each_excuse_of_the_judge_holds_only_within_its_bounds() -> None:
    record = make_record()
    no_answer(record)
    record.requests[REF].given_up_at = 21.0
    assert rules(record) == []
    record = make_record()
    no_answer(record)
    record.requests[REF].connection_ended_at = 20.04  # it crossed the close of a connection
    assert rules(record) == []
    record.processes[0].killed_at = record.processes[0].ended_at = 20.04  # no close, but a kill
    record.processes[0].terminated_at = 16.0
    assert rules(record) == ["lost"]
    record = make_record()
    late_release(record)
    record.requests[REF].given_up_at = 20.19  # it crossed the answer: the viewer has ended the session
    assert rules(record) == []
    record = make_record()
    out_at_two(record)
    record.set_ups[0].unread_since = 20.1  # it hung: the give-up may have arrived any time after
    assert "two_at_once" not in rules(record)


DRAINED_AT = 15.0


@pytest.mark.parametrize(
    ("answer_at", "trouble", "back_told_at", "breaks"),
    [
        (None, None, None, True),  # 1.5 s after it happened, whatever was sent
        (19.6, (14.0, 19.0), None, True),  # an answer that holds it was sent
        (None, (14.0, 15.5), None, False),  # 6 s after the end of a trouble
        (None, (10.0, 13.0), None, True),  # the trouble was over long before
        (15.5, None, 20.0, False),  # an answer that holds the return was sent
        (15.5, None, 20.1, True),  # only afterwards
    ],
)
def test_when_a_drain_counts_as_told(
    answer_at: float | None, trouble: tuple[float, float] | None, back_told_at: float | None, breaks: bool
) -> None:
    record = make_record()
    record.list_changes = [ListChange(DRAINED_AT, 2, "s-1", ListState.DRAINING)]
    if answer_at is not None:
        record.list_answers.append(ListAnswer(answer_at, 0, 2))
    if trouble:
        record.troubles.append(Trouble(0, *trouble))
    if back_told_at is not None:
        record.list_changes.append(ListChange(19.9, 3, "s-1", ListState.READY))
        record.list_answers.append(ListAnswer(back_told_at, 0, 3))
    assert rules(record) == (["drain"] if breaks else [])


def test_a_schedule_comes_from_its_seed_alone_and_survives_its_file() -> None:
    for seed in range(50):
        schedule = draw_schedule(seed, 25.0)
        assert schedule == draw_schedule(seed, 25.0) == schedule_from_json(schedule.to_json())
        assert all(0 < event.at_s < 40.0 for event in schedule.events)


def test_each_family_of_trouble_occurs_in_a_fifth_of_fifty_seeds() -> None:
    drawn = [{event.kind for event in draw_schedule(seed, 25.0).events} for seed in range(1, 51)]
    for kind in EventKind:
        assert sum(kind in kinds for kinds in drawn) >= 10, kind
    modes = [{event.detail for event in draw_schedule(seed, 25.0).events} for seed in range(1, 51)]
    for mode in DiscoveryMode:
        assert sum(mode in details for details in modes) >= 3, mode


def test_the_answers_of_the_rigs_discovery_can_be_read() -> None:
    query = dns.encode_query(7, SERVICE)
    assert dns.parse_response(encode_answer(query, 12, [], "127.0.0.10"), 7, SERVICE) == (12, ())


# Guards against any broken rule in one short trial with shutdowns, drains and two troubles of discovery.
def test_a_short_trial_holds(tmp_path: Path) -> None:
    schedule = draw_schedule(1, 10.0, nodes=2)
    trial = play(schedule, ROOT, tmp_path)
    if trial.record.longest_stall_s <= schedule.site.drain_grace_s / 2:  # else void: the rig was late itself
        assert judge(trial.record, schedule.site) == []
    assert len(trial.record.requests) > 20 and trial.record.set_ups
