"""The return of a hall in the model: what the ramp is for, and that its absence is seen.

The module paces set-ups to cold servers by itself. So that the ramp alone is looked at, these fronts decide
by a module without that pace."""

from __future__ import annotations

from pathlib import Path

import pytest

from lemonhall import decide
from lemonhall.config.day import read_day
from lemonhall.halls import Sight
from lemonhall.limits.parts import Parts
from lemonhall.model.played.world import Played, play

DAYS = Path(__file__).parents[2] / "examples" / "days"
MANY = ("mix /nile/browse/", "per-second", "80")


class Hasty(decide.Front):
    """Takes every server for warm."""

    def slow_start_allows(self, server: decide.MediaServer) -> bool:
        return True


def played(name: str, seed: int, *sets: tuple[str, str, str], make: type[decide.Front] = Hasty) -> Played:
    return play(read_day(DAYS / f"{name}.kdl", (MANY, *sets)), seed, make)


@pytest.mark.parametrize("name", ["hall-dark", "fronts-apart"])
def test_without_its_ramp_a_return_pushes_servers_over_and_the_audit_sees_it(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    paced = [played(name, seed) for seed in (1, 2, 3)]
    with monkeypatch.context() as planted:
        planted.setattr(Sight, "pace", lambda self, now: 1e9)
        days = [played(name, seed) for seed in (1, 2, 3)]
    assert any(p.report.halls["returned_pushed_over"] for p in days)
    assert any(p.report.broken["cold_pushed_over"] for p in days)
    assert [p.report.halls["returned_pushed_over"] for p in paced] == [0, 0, 0]
    assert not any(p.report.broken["cold_pushed_over"] for p in paced)


def test_limits_hold_and_no_rule_is_broken_by_the_module_itself() -> None:
    for name in ("hall-dark", "hall-flap", "fronts-apart"):
        report = played(name, 1, make=decide.Front).report
        assert report.rules_broken == 0 and report.halls["returned_pushed_over"] == 0
        assert 0 < report.halls["spilled_most"] <= report.halls["spilled_allowed"]


def test_a_machine_that_lets_everybody_spill_is_seen_by_the_audit(monkeypatch: pytest.MonkeyPatch) -> None:
    kept = played("hall-dark", 4, make=decide.Front).report
    assert kept.halls["spilled_most"] <= kept.halls["spilled_allowed"]
    monkeypatch.setattr(Parts, "free", lambda self: 1_000_000_000)
    report = played("hall-dark", 4, make=decide.Front).report
    assert report.halls["spilled_most"] > report.halls["spilled_allowed"]


HARD = {
    "a second hall goes while it carries the spill": 'fault "hall-dark" "hall-c" at=(s)5 for=(s)3',
    "a front is killed and comes back in the outage": 'fault "front-killed" "front-2" at=(s)4 for=(ms)800',
    "all fronts of another hall start anew in the return": (
        'fault "front-killed" "front-4" "front-5" at=(ms)6500 for=(ms)400'
    ),
    "half of the hall stays away": 'fault "silent" "b0" "b2" at=(ms)6800 for=(s)9',
    "a whole hall is deployed, announced": 'fault "deploy" "c0" "c1" "c2" "c3" at=(s)5 for=(ms)1500',
    "the list lags": 'fault "list-lag" at=(s)2 for=(s)8 by=(s)2',
}


@pytest.mark.parametrize("what", HARD)
@pytest.mark.parametrize("keep", [True, False])
def test_hard_cases_keep_rules_and_limits(what: str, keep: bool, tmp_path: Path) -> None:
    text = (DAYS / "hall-dark.kdl").read_text(encoding="utf-8") + HARD[what] + "\n"
    path = tmp_path / "hard.kdl"
    path.write_text(text.replace("seed=14", f"seed=14 keep=#{str(keep).lower()}"))
    for seed in (1, 2):
        report = play(read_day(path, (MANY,)), seed).report
        assert report.rules_broken == 0, report.broken
        assert report.halls["returned_pushed_over"] == 0
        assert 0 < report.halls["spilled_most"] <= report.halls["spilled_allowed"], report.halls
