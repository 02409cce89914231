"""The store on a real disk: damage, newer versions, two owners, a full map, a process killed as it writes."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from lemonhall.loop import Loop
from lemonhall.problem import BadInput
from lemonhall.store import RecordError, Standing, Store, StoreWriter, decode_record, encode_record
from lemonhall.store.file import ANY_VALUE
from lemonhall.store.store_pb2 import About, Claim


@pytest.fixture
def store(tmp_path: Path) -> Iterator[Store]:
    store = Store(tmp_path / "s", front=3, store_id=77, max_bytes=1 << 20)
    yield store
    store.close()


def make_claim(standing: Standing = Standing.OUT, turn: int = 0) -> Claim:
    return Claim(standing=int(standing), turn=turn, at_ms=5)


def put(store: Store, key: bytes, message: Claim, expected: bytes | None = ANY_VALUE) -> list[bool]:
    return store.commit([("claims", key, encode_record(key, message), expected)])


def test_committed_changes_are_there_after_reopening(store: Store, tmp_path: Path) -> None:
    assert put(store, b"k", make_claim()) == [True]
    store.close()
    reopened = Store(tmp_path / "s", front=3, store_id=88)
    assert reopened.get("claims", b"k").standing == Standing.OUT
    assert reopened.about.store == 77  # the number given at creation stays
    reopened.close()


def test_a_second_owner_is_refused_and_the_first_still_writes(store: Store, tmp_path: Path) -> None:
    with pytest.raises(BadInput, match="another front holds this store"):
        Store(tmp_path / "s", front=3)
    put(store, b"k", make_claim())


def test_a_store_of_another_front_is_refused(store: Store, tmp_path: Path) -> None:
    store.close()
    with pytest.raises(BadInput, match="front 3's, not front 4's"):
        Store(tmp_path / "s", front=4)


def test_a_store_of_a_newer_format_is_refused_and_left_unchanged(store: Store, tmp_path: Path) -> None:
    newer = encode_record(b"about", About(store=77, front=3, format=9))
    with store.env.begin(write=True) as txn:
        txn.put(b"about", newer, db=store.about_table)
    store.close()
    before = (tmp_path / "s" / "data.mdb").read_bytes()
    with pytest.raises(BadInput, match="of format 9; known is up to 1"):
        Store(tmp_path / "s", front=3)
    assert (tmp_path / "s" / "data.mdb").read_bytes() == before


@pytest.mark.parametrize(
    "corrupt,reason",
    [
        (lambda v: v[:-1] + bytes([v[-1] ^ 1]), "the checksum does not fit"),
        (lambda v: v[:5], "no record of lemonhall"),
        (lambda v: b"XX" + v[2:], "no record of lemonhall"),
        (lambda v: v[:2] + b"\x09" + v[3:], "of version 9; this one reads up to 1"),
    ],
)
def test_damaged_and_newer_records_are_reported(store: Store, corrupt: object, reason: str) -> None:
    assert callable(corrupt)
    store.commit([("claims", b"k", corrupt(encode_record(b"k", make_claim())), ANY_VALUE)])
    put(store, b"l", make_claim())
    with pytest.raises(RecordError, match=reason):
        store.get("claims", b"k")
    report = store.check_records()
    assert report.counts["claims"] == 2 and report.standings[Standing.OUT] == 1
    assert len(report.damaged) == 1 and reason in report.damaged[0] and b"k".hex() in report.damaged[0]


def test_a_value_under_another_key_counts_as_damaged() -> None:
    with pytest.raises(RecordError):
        decode_record(b"other", encode_record(b"k", make_claim()), Claim)


def test_a_change_is_applied_only_to_the_expected_value(store: Store) -> None:
    first, second = encode_record(b"k", make_claim()), encode_record(b"k", make_claim(Standing.RAN))
    assert store.commit([("claims", b"k", first, None), ("claims", b"k", second, None)]) == [True, False]
    assert put(store, b"k", make_claim(Standing.FREE), second) == [False]
    assert put(store, b"k", make_claim(Standing.FREE), first) == [True]


def test_a_full_map_refuses_writes_and_keeps_existing_records(tmp_path: Path) -> None:
    small = Store(tmp_path / "small", max_bytes=1 << 17)
    put(small, b"first", make_claim())
    with pytest.raises(OSError, match="not written"):
        for n in range(1000):
            small.commit([("list", bytes([n % 251, n // 251]), os.urandom(3000), ANY_VALUE)])
    assert small.get("claims", b"first").standing == Standing.OUT
    small.close()


def test_old_claims_are_pruned_and_the_file_can_be_compacted(store: Store, tmp_path: Path) -> None:
    keys = [n.to_bytes(4, "big") for n in range(2000)]
    store.commit([("claims", k, encode_record(k, make_claim()), ANY_VALUE) for k in keys])
    assert store.prune((1500).to_bytes(4, "big"), 7, max_records=1000) == 1000
    assert store.prune((1500).to_bytes(4, "big"), 7) == 500
    assert store.check_records().counts["claims"] == 500
    size_before, size_after = store.compact()
    assert size_after < size_before
    reopened = Store(tmp_path / "s", front=3)
    assert reopened.check_records().counts["claims"] == 500 and not reopened.check_records().damaged
    assert reopened.about.pruned_s == 7
    reopened.close()


def test_a_folder_that_cannot_be_created_is_reported(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("not a folder")
    with pytest.raises(BadInput, match="cannot be opened"):
        Store(tmp_path / "file" / "s")


def test_a_file_of_garbage_is_reported_and_its_lock_released(tmp_path: Path) -> None:
    (tmp_path / "s").mkdir()
    (tmp_path / "s" / "data.mdb").write_bytes(b"garbage" * 4096)
    with pytest.raises(BadInput, match="cannot be opened"):
        Store(tmp_path / "s")
    with pytest.raises(BadInput, match="cannot be opened"):  # not "another front holds this store"
        Store(tmp_path / "s")


def run_until(loop: Loop, condition: object, timeout_s: float = 10.0) -> None:
    assert callable(condition)
    timed_out: list[bool] = []
    timer = loop.call_later(timeout_s, timed_out.append, True)
    loop.run(until=lambda: bool(timed_out) or bool(condition()))
    timer.cancel()
    assert condition()


def test_callbacks_run_in_order_and_writes_share_commits(store: Store) -> None:
    loop, results = Loop(), list[tuple[int, str]]()
    writer = StoreWriter(loop, store)
    for n in range(500):
        key = n.to_bytes(4, "big")
        writer.put(
            ("claims", key, encode_record(key, make_claim()), None),
            lambda error, n=n: results.append((n, error)),
        )
    run_until(loop, lambda: len(results) == 500)
    assert results == [(n, "") for n in range(500)]
    assert writer.groups < 250 and writer.written == 500
    writer.close()
    loop.close()


def test_a_write_error_reaches_the_callback_and_later_writes_succeed(store: Store) -> None:
    loop, results = Loop(), list[str]()
    writer = StoreWriter(loop, store)
    commit_to_disk, failing = store.commit, [True]

    def commit(changes: object) -> list[bool]:
        if failing:
            raise OSError(28, "No space left on device")
        return commit_to_disk(changes)  # type: ignore[arg-type]

    store.commit = commit  # type: ignore[method-assign,assignment]
    writer.put(("claims", b"a", b"", ANY_VALUE), results.append)
    run_until(loop, lambda: len(results) == 1)
    assert "No space left" in results[0]
    failing.clear()
    writer.put(("claims", b"a", b"", ANY_VALUE), results.append)
    run_until(loop, lambda: len(results) == 2)
    assert results[1] == ""
    writer.close()
    loop.close()


def test_queued_changes_are_written_on_close(store: Store) -> None:
    loop, results = Loop(), list[str]()
    writer = StoreWriter(loop, store)
    writer.put(("claims", b"a", encode_record(b"a", make_claim()), None), results.append)
    writer.close()
    assert store.get("claims", b"a").standing == Standing.OUT
    loop.run_once(0)
    assert results == [""]
    writer.put(("claims", b"b", b"", None), results.append)  # after close: the callback receives an error
    loop.run_once(0)
    assert results[1] != ""
    loop.close()


WRITE_FOREVER = """
import sys
from pathlib import Path
from lemonhall.store import Store, encode_record
from lemonhall.store.store_pb2 import Claim
store = Store(Path(sys.argv[1]), front=3)
n = store.check_records().counts["claims"]
while True:
    key = n.to_bytes(4, "big")
    store.commit([("claims", key, encode_record(key, Claim(standing=2, at_ms=n)), None)])
    print(n, flush=True)
    n += 1
"""


def test_a_killed_writer_leaves_every_record_that_it_reported_as_written(tmp_path: Path) -> None:
    for _ in range(8):
        command = [sys.executable, "-c", WRITE_FOREVER, str(tmp_path / "s")]
        child = subprocess.Popen(command, stdout=subprocess.PIPE)
        assert child.stdout
        last_reported = -1
        for _ in range(25):
            last_reported = int(child.stdout.readline())
        os.kill(child.pid, signal.SIGKILL)
        last_reported = int((child.stdout.read().split() or [b"%d" % last_reported])[-1])
        child.wait()
        store = Store(tmp_path / "s", front=3)
        report = store.check_records()
        store.close()
        assert not report.damaged and report.counts["claims"] in (last_reported + 1, last_reported + 2)


def test_a_reader_process_sees_committed_records_while_the_owner_runs(store: Store, tmp_path: Path) -> None:
    put(store, b"k", make_claim())
    reader = subprocess.run(
        [sys.executable, "-m", "lemonhall", "store", "check", str(tmp_path / "s"), "--json"],
        capture_output=True,
        text=True,
        stdin=subprocess.DEVNULL,
    )
    assert reader.returncode == 0 and '"claims": 1' in reader.stdout
