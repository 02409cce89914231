"""The recovery of a zone in the model: without the ramp servers are overloaded, and the audit detects it.

The module itself limits set-ups to cold servers. To test the ramp alone, these fronts use a module without
that limit."""

from __future__ import annotations

from pathlib import Path

import pytest

from lemonhall import decide
from lemonhall.config.day import read_day
from lemonhall.limits.shares import LimitShare
from lemonhall.model.played.world import Played, play
from lemonhall.zones import ZoneMonitor

DAYS = Path(__file__).parents[2] / "examples" / "days"
HIGH_LOAD = ("mix /nile/browse/", "per-second", "80")


class NoColdServers(decide.Front):
    """Takes every server for warm."""

    def slow_start_allows(self, server: decide.MediaServer) -> bool:
        return True


def played(
    name: str, seed: int, *sets: tuple[str, str, str], make: type[decide.Front] = NoColdServers
) -> Played:
    return play(read_day(DAYS / f"{name}.kdl", (HIGH_LOAD, *sets)), seed, make)


@pytest.mark.parametrize("name", ["hall-dark", "fronts-apart"])
def test_without_the_ramp_a_recovery_overloads_servers_and_the_audit_detects_it(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    ramped = [played(name, seed) for seed in (1, 2, 3)]
    with monkeypatch.context() as patched:
        patched.setattr(ZoneMonitor, "set_up_rate", lambda self, now: 1e9)
        unlimited = [played(name, seed) for seed in (1, 2, 3)]
    assert any(p.report.zones["returned_pushed_over"] for p in unlimited)
    assert any(p.report.broken["cold_pushed_over"] for p in unlimited)
    assert [p.report.zones["returned_pushed_over"] for p in ramped] == [0, 0, 0]
    assert not any(p.report.broken["cold_pushed_over"] for p in ramped)


def test_limits_hold_and_no_rule_is_broken_with_the_unchanged_module() -> None:
    for name in ("hall-dark", "hall-flap", "fronts-apart"):
        report = played(name, 1, make=decide.Front).report
        assert report.rules_broken == 0 and report.zones["returned_pushed_over"] == 0
        assert 0 < report.zones["spilled_most"] <= report.zones["spilled_allowed"]


def test_the_audit_detects_fronts_that_ignore_the_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    limited = played("hall-dark", 4, make=decide.Front).report
    assert limited.zones["spilled_most"] <= limited.zones["spilled_allowed"]
    monkeypatch.setattr(LimitShare, "free", lambda self: 1_000_000_000)
    report = played("hall-dark", 4, make=decide.Front).report
    assert report.zones["spilled_most"] > report.zones["spilled_allowed"]


FAULTS = {
    "a second zone is lost while it takes spilled sessions": 'fault "hall-dark" "hall-c" at=(s)5 for=(s)3',
    "a front is killed and restarts during the outage": (
        'fault "front-killed" "front-2" at=(s)4 for=(ms)800'
    ),
    "all fronts of another zone restart during the recovery": (
        'fault "front-killed" "front-4" "front-5" at=(ms)6500 for=(ms)400'
    ),
    "half of the zone stays silent": 'fault "silent" "b0" "b2" at=(ms)6800 for=(s)9',
    "a whole zone is deployed, announced": 'fault "deploy" "c0" "c1" "c2" "c3" at=(s)5 for=(ms)1500',
    "the list lags": 'fault "list-lag" at=(s)2 for=(s)8 by=(s)2',
}


@pytest.mark.parametrize("what", FAULTS)
@pytest.mark.parametrize("keep", [True, False])
def test_rules_and_limits_hold_under_further_faults(what: str, keep: bool, tmp_path: Path) -> None:
    text = (DAYS / "hall-dark.kdl").read_text(encoding="utf-8") + FAULTS[what] + "\n"
    path = tmp_path / "hard.kdl"
    path.write_text(text.replace("seed=14", f"seed=14 keep=#{str(keep).lower()}"))
    for seed in (1, 2):
        report = play(read_day(path, (HIGH_LOAD,)), seed).report
        assert report.rules_broken == 0, report.broken
        assert report.zones["returned_pushed_over"] == 0
        assert 0 < report.zones["spilled_most"] <= report.zones["spilled_allowed"], report.zones
