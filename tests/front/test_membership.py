"""Fronts on real sockets that find one another, see one go, and tell their modules."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path
from random import Random

import pytest

from lemonhall import decide
from lemonhall import interface as i
from lemonhall.config.settings import read_settings
from lemonhall.front.decider.membership import Membership, read_keys
from lemonhall.front.process.daemon import Daemon
from lemonhall.loop import Loop
from lemonhall.members import SwimConfig
from lemonhall.problem import BadInput
from tests.front.harness import TERMS

KEYS = {1: b"k" * 16}
FAST = SwimConfig(period_ms=40.0, ack_timeout_ms=12.0, min_suspicion_periods=3.0, max_suspicion_factor=3.0)


class Fronts:
    def __init__(self) -> None:
        self.loop = Loop()
        self.told: dict[int, list[i.Event]] = {}
        self.all: dict[int, Membership] = {}

    def add(self, number: int, keys: dict[int, bytes] | None = None, fronts: int = 1) -> Membership:
        seeds = tuple(m.local_address for m in self.all.values())[:2]
        told = self.told[number] = []
        made = Membership(
            self.loop,
            number,
            fronts,
            ("127.0.0.1", 0),
            seeds,
            keys or KEYS,
            told.append,
            Random(number),
            FAST,
        )
        self.all[number] = made
        return made

    def until(self, condition: Callable[[], object], within_s: float = 20.0) -> None:
        over: list[bool] = []
        timer = self.loop.call_later(within_s, over.append, True)
        self.loop.run(until=lambda: bool(over) or bool(condition()))
        timer.cancel()
        assert condition()

    def see(self, *members: int) -> bool:
        return all(self.all[n].machine.view().members == members for n in members)


@pytest.fixture
def fronts() -> Iterator[Fronts]:
    made = Fronts()
    yield made
    for each in made.all.values():
        each.close()
    made.loop.close()


def test_fronts_find_one_another_and_tell_their_modules(fronts: Fronts) -> None:
    for number in range(5):
        fronts.add(number)
    fronts.until(lambda: fronts.see(0, 1, 2, 3, 4))
    fronts.until(lambda: all(t and t[-1] == i.FleetChanged(5, n) for n, t in fronts.told.items()))


def test_a_front_that_goes_is_seen_and_its_share_is_kept_for_a_while(fronts: Fronts) -> None:
    for number in range(4):
        fronts.add(number)
    fronts.until(lambda: fronts.see(0, 1, 2, 3))
    fronts.until(lambda: fronts.told[0] and fronts.told[0][-1] == i.FleetChanged(4, 0))
    fronts.all[3].close()
    fronts.until(lambda: fronts.see(0, 1, 2))
    assert fronts.told[0][-1] == i.FleetChanged(4, 0)


def test_a_front_that_leaves_says_so(fronts: Fronts) -> None:
    for number in range(3):
        fronts.add(number)
    fronts.until(lambda: fronts.see(0, 1, 2))
    fronts.all[2].leave()
    fronts.until(lambda: fronts.see(0, 1))
    assert not any(fronts.all[n].machine.counts.get("declared_dead") for n in (0, 1))


def test_a_front_with_another_key_is_not_heard(fronts: Fronts) -> None:
    fronts.add(0)
    fronts.add(1)
    stranger = fronts.add(2, {1: b"x" * 16})
    fronts.until(lambda: fronts.see(0, 1) and fronts.all[0].bad > 2)
    assert stranger.machine.view().members == (2,)


def test_the_module_takes_its_shares_of_the_fronts_that_there_are() -> None:
    settings = i.Settings(
        classes=(i.SessionClass(1, i.Repeat.SAFE, 1000, 4000),),
        ladder_kb=(10.0,),
        ladder_worth=(1.0,),
        places_by_kind=(20,),
        link_kb_per_weight=500.0,
        cells=1,
        tenants=(i.Tenant(10.0),),
    )
    front = decide.Front(settings, 1)
    front.handle(0.0, [i.FleetChanged(20, 7)])
    assert (front.settings.fronts, front.settings.index) == (20, 7)
    assert replace(front.settings, fronts=1, index=0) == settings
    front.handle(1.0, [i.FleetChanged(0, 0), i.FleetChanged(4, 9)])
    assert (front.settings.fronts, front.settings.index) == (4, 3)


def test_keys_are_read_and_what_is_none_is_named(tmp_path: Path) -> None:
    path = tmp_path / "keys"
    path.write_text("# keys\n2 " + "ab" * 16 + "  # new\n1 " + "cd" * 16 + "\n")
    assert list(read_keys(path)) == [2, 1]
    for text, said in (("1 abcd\n", "keys:1:1: no key"), ("", "holds no key"), ("x\n", "keys:1:1")):
        path.write_text(text)
        with pytest.raises(BadInput, match=said):
            read_keys(path)
    with pytest.raises(BadInput, match="cannot be read"):
        read_keys(tmp_path / "none")


def test_a_daemon_joins_by_its_settings(tmp_path: Path) -> None:
    (tmp_path / "keys").write_text("1 " + "00" * 16 + "\n")
    node = 'members listen="127.0.0.1:0" keys="keys" period=(ms)50 { seed "127.0.0.1:9"; }'
    path = tmp_path / "front.kdl"
    path.write_text(TERMS + f'front "f0" hall="hall-a" listen="127.0.0.1:0" {{\n    {node}\n}}\n')
    daemon = Daemon(read_settings(path), loop=Loop())
    daemon.open()
    assert daemon.membership and isinstance(daemon.membership.local_address[1], int)
    status, _, body = daemon.status_pages.members_page()
    assert status == 200 and b'"members": [0]' in body
    daemon.stop()
    daemon.loop.run()
    assert daemon.membership is None
    path.write_text(path.read_text().replace('"keys"', '"none"'))
    with pytest.raises(BadInput, match="members: keys: there is no such file"):
        read_settings(path)
