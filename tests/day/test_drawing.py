"""Schedules drawn, written, read again and made small; without processes."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lemonhall.config.day import FaultSpec, read_day
from lemonhall.config.dayschema import FAULTS
from lemonhall.day.drawing import Faults, as_kdl, draw, smallest
from lemonhall.day.hunting import day_text
from lemonhall.problem import BadInput

HERE = Path(__file__).parent
DAY = read_day(HERE / "drawn.kdl")


@given(st.integers(0, 10**9), st.integers(1, 30))
@settings(max_examples=40, deadline=None)
def test_a_schedule_is_that_of_its_seed_and_lies_within_the_day(seed: int, count: int) -> None:
    faults = draw(DAY, count, seed)
    assert len(faults) == count and faults == draw(DAY, count, seed)
    assert faults == draw(DAY, count + 5, seed)[:count]
    for fault in faults:
        assert 0 < fault.at_ms < DAY.length_ms and fault.kind in FAULTS
        assert bool(fault.link) != bool(fault.targets)


def test_over_seeds_every_kind_of_fault_is_drawn() -> None:
    drawn = [f for seed in range(40) for f in draw(DAY, 5, seed)]
    kinds = {f.kind for f in drawn}
    links = {"cut", "slow-link", "silence", "reset"}
    assert kinds == links | {"front-killed", "front-frozen", "front-clock"}
    assert {f.store for f in drawn} == {"kept", "lost", "damaged", "older"}
    assert {bool(f.link and f.link.one_way) for f in drawn if f.kind in links} == {True, False}


def test_what_is_drawn_is_written_and_read_again(tmp_path: Path) -> None:
    for seed in range(30):
        faults = draw(DAY, 6, seed)
        path = tmp_path / "drawn.kdl"
        path.write_text(day_text(HERE / "drawn.kdl", seed, faults), encoding="utf-8")
        read = read_day(path)
        assert sorted(read.faults, key=repr) == sorted(faults, key=repr)
        assert read.seed == seed and read.boxes == DAY.boxes and read.terms.classes == DAY.terms.classes


def test_a_day_whose_scripts_lie_beside_it_is_refused(tmp_path: Path) -> None:
    (tmp_path / "a.hook").write_text("")
    path = tmp_path / "hooked.kdl"
    path.write_text((HERE / "drawn.kdl").read_text() + 'hooks { script "a.hook"; }\n')
    with pytest.raises(BadInput, match="hooks"):
        day_text(path, 1, ())


NEEDS: dict[str, Callable[[Faults, Faults], bool]] = {
    "one": lambda all_, some: all_[3] in some,
    "two": lambda all_, some: all_[0] in some and all_[11] in some,
    "either of two, with a third": lambda all_, some: (
        (all_[1] in some or all_[2] in some) and all_[7] in some
    ),
    "all": lambda all_, some: len(some) == len(all_),
}


@pytest.mark.parametrize("need", NEEDS)
def test_each_fault_that_is_left_is_needed(need: str) -> None:
    drawn = draw(DAY, 12, 5)
    asked: list[Faults] = []

    def breaks(some: tuple[FaultSpec, ...]) -> bool:
        asked.append(some)
        return NEEDS[need](drawn, some)

    left = smallest(drawn, breaks)
    assert NEEDS[need](drawn, left)
    for fault in left:
        assert len(left) == 1 or not NEEDS[need](drawn, tuple(f for f in left if f is not fault))
    assert len(asked) <= 2 * len(drawn) ** 2


def test_a_link_between_two_that_never_speak_is_refused(tmp_path: Path) -> None:
    text = (HERE / "drawn.kdl").read_text()
    for line, says in {
        'link "a0" "b0" delay=(ms)5': "nothing passes between these two",
        'link "front-0" "front-9"': "is no end of a link",
        'fault "cut" from="front-0" at=(s)1': "to: is missing",
        'fault "cut" "front-0" from="front-0" to="boxes" at=(s)1': "its ends are from and to",
        'fault "front-killed" "front-0" store="burnt" at=(s)1': "none of kept, lost, damaged, older",
    }.items():
        path = tmp_path / "wrong.kdl"
        path.write_text(text + line + "\n")
        with pytest.raises(BadInput, match=says):
            read_day(path)


def test_as_kdl_names_all_that_differs_from_nothing() -> None:
    assert as_kdl(FaultSpec("front-killed", 100.0, 50.0, ("front-0",), 1.0, 0.0, "lost")) == (
        'fault "front-killed" "front-0" at=(ms)100 for=(ms)50 store="lost"'
    )
