"""Fronts that start on what they find: their own store, an older one, none; two fronts on real sockets."""

from __future__ import annotations

import shutil
from collections.abc import Iterator
from pathlib import Path

import pytest

from lemonhall.boxlist import Box, State, Update
from lemonhall.config.settings import read_settings
from lemonhall.front.deciding.returning import ReturnDesk
from lemonhall.front.process.daemon import Daemon
from lemonhall.front.servers.listed import BoxList
from lemonhall.recovery import StoreCheckpoint, StoreTrust
from lemonhall.store import Standing
from tests.front.test_claims import Site, full, silent


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    made = Site(tmp_path)
    yield made
    made.close()


def known_mark(site: Site) -> bool:
    """Whether the other front has heard of the first one's store as it is now."""
    desk, keeper = site.fronts[1].asks.returning, site.fronts[0].keeper
    assert desk and keeper
    return desk.machine.peer_checkpoints.checkpoints.get(0, StoreCheckpoint(0, 0)) >= keeper.mark


def copy_of_store(site: Site) -> Path:
    keeper = site.fronts[0].keeper
    assert keeper
    site.until(lambda: not (keeper.writer.fresh or keeper.writer.queue))
    return Path(shutil.copy2(site.folder / "f0.store" / "data.mdb", site.folder / "older.mdb"))


def put_back(site: Site, copy: Path) -> None:
    shutil.copy2(copy, site.folder / "f0.store" / "data.mdb")
    (site.folder / "f0.store" / "lock.mdb").unlink(missing_ok=True)


def ran_and_was_put_back(site: Site) -> str:
    """A claim of front 0 that runs; then the front is killed, and finds the store of before the claim."""
    copy = copy_of_store(site)
    site.script("SETUP", silent)
    _, claim, _ = site.ask(0)
    site.until(lambda: site.set_ups == 1)
    site.until(lambda: known_mark(site))
    site.kill(0)
    put_back(site, copy)
    site.start(0)
    site.until(lambda: site.sees_all(0))
    return claim


def test_a_store_of_an_older_day_is_put_aside_and_its_claims_count_as_run(site: Site) -> None:
    claim = ran_and_was_put_back(site)
    keeper, desk = site.fronts[0].keeper, site.fronts[0].asks.returning
    assert keeper and desk and desk.machine.store_trust is StoreTrust.OLDER
    assert keeper.counts["disowned"] == 1 and (site.folder / "f0.store" / "older-1.mdb").exists()
    client, _, play = site.ask(0, claim=claim)
    assert site.answer(client, play).status == 502  # the final answer, and at once
    other, _, play = site.ask(1, claim=claim)
    assert site.answer(other, play).status == 502
    assert site.set_ups == 1
    assert keeper.mark > StoreCheckpoint(0, 0)
    site.until(lambda: known_mark(site))  # the new store is the later one for the others


def test_without_the_word_of_others_the_claim_would_run_twice(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ReturnDesk, "vouch", lambda self, period_ms: None)
    claim = ran_and_was_put_back(site)
    site.ask(0, claim=claim)
    site.until(lambda: site.set_ups == 2)


def test_its_own_store_is_vouched_for_and_used(site: Site) -> None:
    site.script("SETUP", full)
    client, claim, play = site.ask(0)
    assert site.answer(client, play).status in (453, 503)
    keeper = site.fronts[0].keeper
    assert keeper
    site.until(lambda: site.standing(0, claim) is Standing.FREE and not keeper.pending and known_mark(site))
    site.kill(0)
    site.start(0)
    desk = site.fronts[0].asks.returning
    assert desk and desk.machine.store_trust is StoreTrust.SOUND
    for box in site.boxes:
        box.script.clear()
    again, _, play = site.ask(0, claim=claim)
    assert site.answer(again, play).status == 200


def test_where_nobody_can_speak_for_it_nothing_of_the_ledger_is_used(site: Site) -> None:
    site.script("SETUP", full)
    client, claim, play = site.ask(0)
    assert site.answer(client, play).status in (453, 503)
    site.until(lambda: site.standing(0, claim) is Standing.FREE)
    site.kill(1)
    site.kill(0)
    before = site.loop.now()
    site.start(0)
    assert 0.9 < site.loop.now() - before < 5  # a wait that has an end
    desk, keeper = site.fronts[0].asks.returning, site.fronts[0].keeper
    assert desk and keeper and desk.machine.store_trust is StoreTrust.UNKNOWN
    for box in site.boxes:
        box.script.clear()
    again, _, play = site.ask(0, claim=claim)
    assert site.answer(again, play).status == 502
    fresh, _, play = site.ask(0)
    assert site.answer(fresh, play).status == 200  # what is new is served
    assert not list((site.folder / "f0.store").glob("older-*"))


def test_a_front_that_lost_all_has_list_and_loads_from_the_others(site: Site) -> None:
    client, _, play = site.ask(1)
    assert site.answer(client, play).status == 200
    site.kill(0)
    shutil.rmtree(site.folder / "f0.store")
    again = Daemon(read_settings(site.folder / "f0.kdl"), loop=site.loop)
    site.fronts[0] = again
    site.at[0] = again.open()
    site.until(lambda: again.list.list.boxes)
    assert set(again.list.list.boxes) == {1, 2}
    assert again.counts["handed_servers"] == 2
    site.until(lambda: again.bridge.calls > 1)
    other, _, play = site.ask(0)
    assert site.answer(other, play).status == 200


def whole(version: int, as_of_ms: float, *idents: int) -> Update:
    boxes = [Box(id=n, address=f"10.0.0.{n}:1", weight=1.0, state=State.READY) for n in idents]
    return Update(version=version, full=True, boxes=boxes, as_of_ms=as_of_ms)


def test_a_list_that_was_put_back_is_left_aside_until_it_has_caught_up() -> None:
    made = BoxList()
    assert made.apply(whole(50, 1000.0, 1, 2))
    assert made.apply(Update(version=57, boxes=[Box(id=1, state=State.GONE)], as_of_ms=2000.0))
    assert made.apply(whole(50, 1000.0, 1, 2)) is None and made.older == 1  # 1 would be back
    assert made.apply(Update(version=50, as_of_ms=1500.0)) is None and not made.wants_whole
    assert made.apply(Update(version=51, as_of_ms=2500.0)) is None and made.wants_whole
    assert made.apply(whole(51, 2600.0, 2, 3)) and set(made.boxes) == {2, 3}


def test_numbers_that_begin_anew_are_of_a_new_list() -> None:
    made = BoxList()
    made.apply(whole(50, 1000.0, 1, 2))
    assert made.apply(whole(1, 3000.0, 3)) and set(made.boxes) == {3} and made.version == 1
    assert made.apply(Update(version=2, boxes=[Box(id=4, address="10.0.0.4:1", state=State.READY)]))
    kept = BoxList()
    kept.apply(made.snapshot(), cached=True)
    assert kept.apply(whole(1, 2000.0, 9)) is None  # also of a list that was kept on disk
