"""Recovery of a front from its own store, an outdated one, and none; two fronts on real sockets."""

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


def checkpoint_known(site: Site) -> bool:
    """Whether front 1 has received the current checkpoint of front 0's store."""
    recovery, store_service = site.fronts[1].set_up_requests.recovery, site.fronts[0].store_service
    assert recovery and store_service
    return (
        recovery.machine.peer_checkpoints.checkpoints.get(0, StoreCheckpoint(0, 0))
        >= store_service.checkpoint
    )


def copy_of_store(site: Site) -> Path:
    store_service = site.fronts[0].store_service
    assert store_service
    site.until(lambda: not (store_service.writer.unflushed or store_service.writer.queue))
    return Path(shutil.copy2(site.folder / "f0.store" / "data.mdb", site.folder / "older.mdb"))


def restore_store(site: Site, copy: Path) -> None:
    shutil.copy2(copy, site.folder / "f0.store" / "data.mdb")
    (site.folder / "f0.store" / "lock.mdb").unlink(missing_ok=True)


def run_claim_and_restore_store(site: Site) -> str:
    """Runs a claim at front 0, kills the front, and restarts it with the store from before the claim."""
    copy = copy_of_store(site)
    site.script("SETUP", silent)
    _, claim, _ = site.play(0)
    site.until(lambda: site.set_ups == 1)
    site.until(lambda: checkpoint_known(site))
    site.kill(0)
    restore_store(site, copy)
    site.start(0)
    site.until(lambda: site.sees_all(0))
    return claim


def test_outdated_store_is_set_aside_and_its_claims_count_as_run(site: Site) -> None:
    claim = run_claim_and_restore_store(site)
    store_service, recovery = site.fronts[0].store_service, site.fronts[0].set_up_requests.recovery
    assert store_service and recovery and recovery.machine.store_trust is StoreTrust.OLDER
    assert store_service.counts["disowned"] == 1 and (site.folder / "f0.store" / "older-1.mdb").exists()
    client, _, play = site.play(0, claim=claim)
    assert site.answer(client, play).status == 502  # final, and without delay
    other, _, play = site.play(1, claim=claim)
    assert site.answer(other, play).status == 502
    assert site.set_ups == 1
    assert store_service.checkpoint > StoreCheckpoint(0, 0)
    site.until(lambda: checkpoint_known(site))  # the new store's checkpoint supersedes the old one's


def test_without_verification_of_the_store_the_claim_runs_twice(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(RecoveryDriver, "verify_store", lambda self, period_ms: None)
    claim = run_claim_and_restore_store(site)
    site.play(0, claim=claim)
    site.until(lambda: site.set_ups == 2)


def test_current_store_is_confirmed_and_used(site: Site) -> None:
    site.script("SETUP", full)
    client, claim, play = site.play(0)
    assert site.answer(client, play).status in (453, 503)
    store_service = site.fronts[0].store_service
    assert store_service
    site.until(
        lambda: (
            site.standing(0, claim) is Standing.FREE and not store_service.pending and checkpoint_known(site)
        )
    )
    site.kill(0)
    site.start(0)
    recovery = site.fronts[0].set_up_requests.recovery
    assert recovery and recovery.machine.store_trust is StoreTrust.SOUND
    for box in site.boxes:
        box.script.clear()
    again, _, play = site.play(0, claim=claim)
    assert site.answer(again, play).status == 200


def test_unconfirmed_store_is_kept_but_its_ledger_is_not_used(site: Site) -> None:
    site.script("SETUP", full)
    client, claim, play = site.play(0)
    assert site.answer(client, play).status in (453, 503)
    site.until(lambda: site.standing(0, claim) is Standing.FREE)
    site.kill(1)
    site.kill(0)
    before = site.loop.now()
    site.start(0)
    assert 0.9 < site.loop.now() - before < 5  # waits for the others, but not forever
    recovery, store_service = site.fronts[0].set_up_requests.recovery, site.fronts[0].store_service
    assert recovery and store_service and recovery.machine.store_trust is StoreTrust.UNKNOWN
    for box in site.boxes:
        box.script.clear()
    again, _, play = site.play(0, claim=claim)
    assert site.answer(again, play).status == 502
    fresh, _, play = site.play(0)
    assert site.answer(fresh, play).status == 200  # new claims are served
    assert not list((site.folder / "f0.store").glob("older-*"))


def test_front_without_a_store_receives_list_and_loads_from_others(site: Site) -> None:
    client, _, play = site.play(1)
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
    other, _, play = site.play(0)
    assert site.answer(other, play).status == 200


def full_update(version: int, as_of_ms: float, *ids: int) -> Update:
    boxes = [Box(id=n, address=f"10.0.0.{n}:1", weight=1.0, state=State.READY) for n in ids]
    return Update(version=version, full=True, boxes=boxes, as_of_ms=as_of_ms)


def test_restored_list_is_ignored_until_it_has_caught_up() -> None:
    server_list = ServerListState()
    assert server_list.apply(full_update(50, 1000.0, 1, 2))
    assert server_list.apply(Update(version=57, boxes=[Box(id=1, state=State.GONE)], as_of_ms=2000.0))
    # applying this update would bring back server 1
    assert server_list.apply(full_update(50, 1000.0, 1, 2)) is None and server_list.older_updates == 1
    assert server_list.apply(Update(version=50, as_of_ms=1500.0)) is None and not server_list.needs_full_list
    assert server_list.apply(Update(version=51, as_of_ms=2500.0)) is None and server_list.needs_full_list
    assert server_list.apply(full_update(51, 2600.0, 2, 3)) and set(server_list.boxes) == {2, 3}


def test_lower_version_with_a_later_time_is_a_new_list() -> None:
    server_list = ServerListState()
    server_list.apply(full_update(50, 1000.0, 1, 2))
    assert (
        server_list.apply(full_update(1, 3000.0, 3))
        and set(server_list.boxes) == {3}
        and server_list.version == 1
    )
    assert server_list.apply(Update(version=2, boxes=[Box(id=4, address="10.0.0.4:1", state=State.READY)]))
    from_cache = ServerListState()
    from_cache.apply(server_list.snapshot(), cached=True)
    assert from_cache.apply(full_update(1, 2000.0, 9)) is None  # the same holds for a cached list
