"""Damaged stores are detected, set aside and never trusted, and the front starts with a new store."""

from __future__ import annotations

import os
from pathlib import Path
from random import Random

import pytest

from lemonhall.day.state import damage
from lemonhall.store import integrity
from lemonhall.store.file import MESSAGE_TYPES, Store
from lemonhall.store.records import encode_record
from lemonhall.store.store_pb2 import Held

MAX_BYTES = 1 << 24
TABLES = len(MESSAGE_TYPES) + 1


def fill_store(folder: Path, count: int = 400) -> int:
    """Creates a store with so many records of sessions, and returns the number of commits."""
    store = Store(folder, 3, MAX_BYTES, store_id=11)
    changes = []
    for n in range(count):
        key = b"%08d" % n
        changes.append(
            ("held", key, encode_record(key, Held(claim=f"c{n}", path="/a", cls=1, server=n)), b"?")
        )
    assert all(store.commit(changes))
    store.close()
    return store.last_commit


def test_an_undamaged_store_is_left_unchanged(tmp_path: Path) -> None:
    fill_store(tmp_path)
    store = Store(tmp_path, 3, MAX_BYTES, store_id=12, replace_damaged=True)
    assert store.damage == "" and store.about.store == 11
    assert len(list(store.records("held"))) == 400
    store.close()
    assert integrity.find_damage(tmp_path / "none", MAX_BYTES, TABLES) == ""


@pytest.mark.parametrize("seed", range(12))
def test_a_damaged_store_is_read_or_replaced_and_accepts_writes(seed: int, tmp_path: Path) -> None:
    written = fill_store(tmp_path)
    damage(tmp_path / "data.mdb", Random(seed))
    damaged_file = (tmp_path / "data.mdb").read_bytes()
    store = Store(tmp_path, 3, MAX_BYTES, store_id=12, replace_damaged=True)
    # The newest root page may be damaged and an older one intact; peers detect that by the commit count.
    is_older = store.last_commit < written
    found = [value for _, value in store.records("held")]  # with a `RecordError` for each damaged record
    assert store.commit([("held", b"new", encode_record(b"new", Held(claim="c")), None)]) == [True]
    assert store.get("held", b"new").claim == "c"
    store.close()
    if store.damage:
        assert found == [] and store.about.store == 12  # claims with the old number count as run
        assert (tmp_path / "damaged-1.mdb").read_bytes() == damaged_file
    else:
        assert len(found) == 400 or is_older


def test_damage_of_single_pages_is_found_by_walking_the_keys(tmp_path: Path) -> None:
    """Overwrites one page at a time. More than half of the pages must be reported; damage to the others is
    found by the checksums of the records."""
    fill_store(tmp_path)
    data = (tmp_path / "data.mdb").read_bytes()
    page_bytes, found = 4096, 0
    for start in range(0, len(data), page_bytes):
        (tmp_path / "data.mdb").write_bytes(data[:start] + b"\xa5" * page_bytes + data[start + page_bytes :])
        if integrity.find_damage(tmp_path, MAX_BYTES, TABLES):
            found += 1
    assert found > len(data) // page_bytes // 2


def test_a_crash_or_an_endless_loop_ends_only_the_checking_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    fill_store(tmp_path)
    monkeypatch.setattr(integrity, "walk_keys", lambda *_: os.abort())
    assert "SIGABRT" in integrity.find_damage(tmp_path, MAX_BYTES, TABLES)
    monkeypatch.setattr(integrity, "CHECK_TIMEOUT_S", 0.05)

    def loop_forever(*_: object) -> str:
        while True:
            pass

    monkeypatch.setattr(integrity, "walk_keys", loop_forever)
    assert "SIGKILL" in integrity.find_damage(tmp_path, MAX_BYTES, TABLES)


def test_setting_aside_does_not_overwrite_earlier_files(tmp_path: Path) -> None:
    for number in (1, 2):
        fill_store(tmp_path, 5)
        integrity.set_aside(tmp_path)
        assert (tmp_path / f"damaged-{number}.mdb").exists()
