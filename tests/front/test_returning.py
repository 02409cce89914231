"""Fronts that start on what they find: their own store, an older one, none; two fronts on real sockets."""

from __future__ import annotations

import shutil
from collections.abc import Iterator
from pathlib import Path

import pytest

from lemonhall.boxlist import Box, State, Update
from lemonhall.config.settings import read_settings
from lemonhall.front.decider.recovery import RecoveryDriver
from lemonhall.front.process.daemon import Daemon
from lemonhall.front.servers.server_list import ServerListState
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
    desk, store_service = site.fronts[1].set_up_requests.recovery, site.fronts[0].store_service
    assert desk and store_service
    return desk.machine.peer_checkpoints.checkpoints.get(0, StoreCheckpoint(0, 0)) >= store_service.checkpoint


def copy_of_store(site: Site) -> Path:
    store_service = site.fronts[0].store_service
    assert store_service
    site.until(lambda: not (store_service.writer.fresh or store_service.writer.queue))
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
    store_service, desk = site.fronts[0].store_service, site.fronts[0].set_up_requests.recovery
    assert store_service and desk and desk.machine.store_trust is StoreTrust.OLDER
    assert store_service.counts["disowned"] == 1 and (site.folder / "f0.store" / "older-1.mdb").exists()
    client, _, play = site.ask(0, claim=claim)
    assert site.answer(client, play).status == 502  # the final answer, and at once
    other, _, play = site.ask(1, claim=claim)
    assert site.answer(other, play).status == 502
    assert site.set_ups == 1
    assert store_service.checkpoint > StoreCheckpoint(0, 0)
    site.until(lambda: known_mark(site))  # the new store is the later one for the others


def test_without_the_word_of_others_the_claim_would_run_twice(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(RecoveryDriver, "verify_store", lambda self, period_ms: None)
    claim = ran_and_was_put_back(site)
    site.ask(0, claim=claim)
    site.until(lambda: site.set_ups == 2)


def test_its_own_store_is_vouched_for_and_used(site: Site) -> None:
    site.script("SETUP", full)
    client, claim, play = site.ask(0)
    assert site.answer(client, play).status in (453, 503)
    store_service = site.fronts[0].store_service
    assert store_service
    site.until(
        lambda: site.standing(0, claim) is Standing.FREE and not store_service.pending and known_mark(site)
    )
    site.kill(0)
    site.start(0)
    desk = site.fronts[0].set_up_requests.recovery
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
    desk, store_service = site.fronts[0].set_up_requests.recovery, site.fronts[0].store_service
    assert desk and store_service and desk.machine.store_trust is StoreTrust.UNKNOWN
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
    site.until(lambda: again.list_client.server_list.boxes)
    assert set(again.list_client.server_list.boxes) == {1, 2}
    assert again.counts["handed_servers"] == 2
    site.until(lambda: again.bridge.calls > 1)
    other, _, play = site.ask(0)
    assert site.answer(other, play).status == 200


def whole(version: int, as_of_ms: float, *idents: int) -> Update:
    boxes = [Box(id=n, address=f"10.0.0.{n}:1", weight=1.0, state=State.READY) for n in idents]
    return Update(version=version, full=True, boxes=boxes, as_of_ms=as_of_ms)


def test_a_list_that_was_put_back_is_left_aside_until_it_has_caught_up() -> None:
    made = ServerListState()
    assert made.apply(whole(50, 1000.0, 1, 2))
    assert made.apply(Update(version=57, boxes=[Box(id=1, state=State.GONE)], as_of_ms=2000.0))
    assert made.apply(whole(50, 1000.0, 1, 2)) is None and made.older_updates == 1  # 1 would be back
    assert made.apply(Update(version=50, as_of_ms=1500.0)) is None and not made.needs_full_list
    assert made.apply(Update(version=51, as_of_ms=2500.0)) is None and made.needs_full_list
    assert made.apply(whole(51, 2600.0, 2, 3)) and set(made.boxes) == {2, 3}


def test_numbers_that_begin_anew_are_of_a_new_list() -> None:
    made = ServerListState()
    made.apply(whole(50, 1000.0, 1, 2))
    assert made.apply(whole(1, 3000.0, 3)) and set(made.boxes) == {3} and made.version == 1
    assert made.apply(Update(version=2, boxes=[Box(id=4, address="10.0.0.4:1", state=State.READY)]))
    kept = ServerListState()
    kept.apply(made.snapshot(), cached=True)
    assert kept.apply(whole(1, 2000.0, 9)) is None  # also of a list that was kept on disk
