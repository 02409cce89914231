"""Deciders and workers that end, in the model: the day as on sockets, rules kept, flaws that are seen."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from lemonhall.config.day import Day, read_day
from lemonhall.interface import Outcome
from lemonhall.model.played import deciders
from lemonhall.model.played.world import Played, play

DAYS = Path(__file__).parents[2] / "examples" / "days"
KILLS = "".join(
    f'fault "{what}" "front-{n % 3}" at=(ms){1000 + 300 * n} for=(ms)700\n'
    for n, what in enumerate(("decider-killed", "decider-killed", "worker-killed", "decider-stopped") * 5)
)


def day(tmp_path: Path, more: str = KILLS) -> Day:
    path = tmp_path / "day.kdl"
    path.write_text((DAYS / "workers.kdl").read_text(encoding="utf-8") + more)
    return read_day(path)


def without(read: Day) -> float:
    """Service of the same day without these troubles."""
    kinds = ("decider-killed", "decider-stopped", "worker-killed", "worker-stopped")
    rest = tuple(f for f in read.faults if f.kind not in kinds)
    return play(replace(read, faults=rest), 1).report.service


def test_rules_hold_while_deciders_and_workers_end(tmp_path: Path) -> None:
    read = day(tmp_path)
    for seed in range(1, 7):
        played = play(read, seed)
        assert played.report.rules_broken == 0, played.report.broken
        assert played.counts.get("overdue", 0) <= 6  # those whose decider did not run until their deadline
    assert play(read, 1).report.service > without(read) - 0.25


def ends_all(front: Any, gap_ms: float = 0.0) -> None:
    """A decider that takes along what plays."""
    for ask in list(front.asks.values()):
        if ask.attempt:
            ask.attempt.end(Outcome.RESET)
    DIE(front, gap_ms)


def forgets(front: Any, ask: Any) -> None:
    """The next decider is not told that an attempt may have run."""
    ask.attempts = 0
    front.tell(front.session_of(ask, False, front.advise(ask, deciders.i.NO_ADVICE)))


DIE = deciders.die


def interrupted(played: Played) -> int:
    return sum(a.end - a.media_at < 900 for a in played.trace.attempts if a.media_at < 1e12)


def test_a_decider_that_took_its_sessions_along_would_be_seen(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    read = day(tmp_path)
    was = play(read, 1)
    monkeypatch.setattr(deciders, "die", ends_all)
    now = play(read, 1)
    assert now.report.service < was.report.service - 0.02 and interrupted(now) > interrupted(was)


def test_a_claim_that_may_have_run_is_not_set_up_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    more = KILLS + 'fault "answers-lost" "a0" "a1" "b0" "b1" "b2" at=(s)1 for=(s)6\n'
    read = day(tmp_path, more)
    assert all(not play(read, seed).report.broken["paid_set_up_twice"] for seed in range(1, 5))
    monkeypatch.setattr(deciders, "again", forgets)
    assert any(play(read, seed).report.broken["paid_set_up_twice"] for seed in range(1, 9))
