"""The return of a hall in the model: what the ramp is for, and that its absence is seen.

The module paces set-ups to cold servers by itself. So that the ramp alone is looked at, these fronts decide
by a module without that pace."""

from __future__ import annotations

from pathlib import Path

import pytest

from lemonhall import decide
from lemonhall.config.day import read_day
from lemonhall.halls import Sight
from lemonhall.halls.parts import Parts
from lemonhall.model.world import Played, play

DAYS = Path(__file__).parents[2] / "examples" / "days"
MANY = ("mix /nile/browse/", "per-second", "80")


class Hasty(decide.Front):
    """Takes every server for warm."""

    def warm_enough(self, box: decide.Box) -> bool:
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
    monkeypatch.setattr(Parts, "free", lambda self: 1_000_000_000)
    report = played("hall-dark", 1, make=decide.Front).report
    assert report.halls["spilled_most"] > report.halls["spilled_allowed"]
