"""Membership of fronts on real sockets: joining, leaving, failures, and the events for the module."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path
from random import Random

import pytest

from lemonhall import decide, interface
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
    """Members on one loop, by number, with the events that each one's module received."""

    def __init__(self) -> None:
        self.loop = Loop()
        self.events: dict[int, list[interface.Event]] = {}
        self.by_number: dict[int, Membership] = {}

    def add(self, number: int, keys: dict[int, bytes] | None = None, fronts: int = 1) -> Membership:
        seeds = tuple(member.local_address for member in self.by_number.values())[:2]
        events = self.events[number] = []
        member = Membership(
            self.loop,
            number,
            fronts,
            ("127.0.0.1", 0),
            seeds,
            keys or KEYS,
            events.append,
            Random(number),
            FAST,
        )
        self.by_number[number] = member
        return member

    def until(self, condition: Callable[[], object], within_s: float = 20.0) -> None:
        expired: list[bool] = []
        timer = self.loop.call_later(within_s, expired.append, True)
        self.loop.run(until=lambda: bool(expired) or bool(condition()))
        timer.cancel()
        assert condition()

    def agree(self, *members: int) -> bool:
        """Whether each of these members sees exactly these members."""
        return all(self.by_number[n].machine.view().members == members for n in members)


@pytest.fixture
def fronts() -> Iterator[Fronts]:
    made = Fronts()
    yield made
    for member in made.by_number.values():
        member.close()
    made.loop.close()


def test_fronts_find_one_another_and_report_the_fleet(fronts: Fronts) -> None:
    for number in range(5):
        fronts.add(number)
    fronts.until(lambda: fronts.agree(0, 1, 2, 3, 4))
    fronts.until(
        lambda: all(
            events and events[-1] == interface.FleetChanged(5, n) for n, events in fronts.events.items()
        )
    )


def test_share_of_a_failed_front_is_kept_for_a_while(fronts: Fronts) -> None:
    for number in range(4):
        fronts.add(number)
    fronts.until(lambda: fronts.agree(0, 1, 2, 3))
    fronts.until(lambda: fronts.events[0] and fronts.events[0][-1] == interface.FleetChanged(4, 0))
    fronts.by_number[3].close()
    fronts.until(lambda: fronts.agree(0, 1, 2))
    assert fronts.events[0][-1] == interface.FleetChanged(4, 0)


def test_leaving_front_is_removed_without_being_declared_dead(fronts: Fronts) -> None:
    for number in range(3):
        fronts.add(number)
    fronts.until(lambda: fronts.agree(0, 1, 2))
    fronts.by_number[2].leave()
    fronts.until(lambda: fronts.agree(0, 1))
    assert not any(fronts.by_number[n].machine.counts.get("declared_dead") for n in (0, 1))


def test_messages_sealed_with_an_unknown_key_are_rejected(fronts: Fronts) -> None:
    fronts.add(0)
    fronts.add(1)
    stranger = fronts.add(2, {1: b"x" * 16})
    fronts.until(lambda: fronts.agree(0, 1) and fronts.by_number[0].rejected_datagrams > 2)
    assert stranger.machine.view().members == (2,)


def test_module_applies_the_number_and_rank_of_the_fleet() -> None:
    settings = interface.Settings(
        classes=(interface.SessionClass(1, interface.Repeat.SAFE, 1000, 4000),),
        ladder_kb=(10.0,),
        ladder_worth=(1.0,),
        places_by_kind=(20,),
        link_kb_per_weight=500.0,
        cells=1,
        tenants=(interface.Tenant(10.0),),
    )
    front = decide.Front(settings, 1)
    front.handle(0.0, [interface.FleetChanged(20, 7)])
    assert (front.settings.fronts, front.settings.index) == (20, 7)
    assert replace(front.settings, fronts=1, index=0) == settings
    front.handle(1.0, [interface.FleetChanged(0, 0), interface.FleetChanged(4, 9)])
    assert (front.settings.fronts, front.settings.index) == (4, 3)


def test_key_files_are_read_and_errors_are_located(tmp_path: Path) -> None:
    path = tmp_path / "keys"
    path.write_text("# keys\n2 " + "ab" * 16 + "  # new\n1 " + "cd" * 16 + "\n")
    assert list(read_keys(path)) == [2, 1]
    for text, message in (("1 abcd\n", "keys:1:1: no key"), ("", "holds no key"), ("x\n", "keys:1:1")):
        path.write_text(text)
        with pytest.raises(BadInput, match=message):
            read_keys(path)
    with pytest.raises(BadInput, match="cannot be read"):
        read_keys(tmp_path / "none")


def test_daemon_joins_as_configured(tmp_path: Path) -> None:
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
