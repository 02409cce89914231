"""The store's file: one LMDB environment in a folder, owned by one front at a time.

LMDB commits by writing copies of the changed pages and then one of two root pages, with a sync in between: a
crash at any point leaves the last complete commit. The map size bounds the file; when the map or the disk is
full, a write is refused and the existing data stays.
"""

from __future__ import annotations

import errno
import fcntl
import os
import shutil
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import lmdb

from lemonhall.problem import BadInput
from lemonhall.store import integrity
from lemonhall.store.records import RecordError, decode_record, encode_record
from lemonhall.store.store_pb2 import About, Claim, Held, Learned

# by table: the type of its values; None: values in a format of their own
MESSAGE_TYPES: dict[str, Any] = {"claims": Claim, "held": Held, "learned": Learned, "list": None}
ABOUT_KEY = b"about"
COMMIT_COUNT_KEY = b"count"  # in the same table as `ABOUT_KEY`
FORMAT = 1
ANY_VALUE = b"?"
Change = tuple[str, bytes, bytes | None, bytes | None]
"""Table, key, value (None: delete the key) and expected present value (None: no value; or `ANY_VALUE`)."""


@dataclass
class CheckReport:
    """Result of reading all records. `damaged` describes each record that cannot be used."""

    about: About | None = None
    counts: Counter[str] = field(default_factory=Counter)
    standings: Counter[int] = field(default_factory=Counter)
    damaged: list[str] = field(default_factory=list)
    bytes_used: int = 0
    max_bytes: int = 0


class Store:
    """Raises `BadInput` that names the folder if it cannot be opened, is in use or of a newer version.

    `store_id` and `wall_ms` go into a newly created file. `lock_fd`: descriptor of the lock, if a predecessor
    handed it over; else the lock is acquired. `replace_damaged`: a file that cannot be read is set aside and
    replaced by a new one with another number; `damage` then holds the reason and the name of the old file.
    """

    def __init__(
        self,
        folder: Path,
        front: int = 0,
        max_bytes: int = 1 << 28,
        store_id: int = 0,
        wall_ms: float = 0.0,
        readonly: bool = False,
        lock_fd: int | None = None,
        replace_damaged: bool = False,
    ) -> None:
        self.folder, self.max_bytes, self.readonly = folder, max_bytes, readonly
        self.lock_fd: int | None = lock_fd
        self.damage = ""
        try:
            if not readonly:
                folder.mkdir(parents=True, exist_ok=True)
                if lock_fd is None:
                    self.lock_fd = self.acquire_lock()
                    if replace_damaged and (
                        reason := integrity.find_damage(folder, max_bytes, len(MESSAGE_TYPES) + 1)
                    ):
                        self.damage = f"{reason}; kept as {integrity.set_aside(folder).name}"
            self.env = self.open_env()
            self.open_tables(front, store_id, wall_ms)
        except (lmdb.Error, OSError) as error:
            self.release_lock()
            raise BadInput(str(folder), f"the store cannot be opened: {error}") from error
        except BadInput:
            self.release_lock()
            raise

    def open_env(self) -> Any:
        return lmdb.open(
            str(self.folder),
            map_size=self.max_bytes,
            max_dbs=len(MESSAGE_TYPES) + 1,
            readonly=self.readonly,
            lock=True,
            create=not self.readonly,
            metasync=True,
            sync=True,
            max_readers=16,
        )

    def open_tables(self, front: int, store_id: int, wall_ms: float) -> None:
        create = not self.readonly
        self.about_table = self.env.open_db(ABOUT_KEY, create=create)
        about = self.read_about()
        self.created = about is None  # whether the file is a new one
        if about is None:
            if self.readonly:
                raise BadInput(str(self.folder), "no store of lemonhall")
            about = About(store=store_id, front=front, made_ms=int(wall_ms), format=FORMAT)
            with self.env.begin(write=True) as txn:
                txn.put(ABOUT_KEY, encode_record(ABOUT_KEY, about), db=self.about_table)
        if about.format > FORMAT:
            raise BadInput(
                str(self.folder), f"the store is of format {about.format}; known is up to {FORMAT}"
            )
        if not self.readonly and about.front != front:
            raise BadInput(str(self.folder), f"the store is front {about.front}'s, not front {front}'s")
        self.about = about
        with self.env.begin(db=self.about_table) as txn:
            # number of the last commit on disk
            self.last_commit = int.from_bytes(txn.get(COMMIT_COUNT_KEY) or b"", "big")
        self.tables = {name: self.env.open_db(name.encode(), create=create) for name in MESSAGE_TYPES}

    def read_about(self) -> About | None:
        with self.env.begin() as txn:
            value = txn.get(ABOUT_KEY, db=self.about_table)
        if value is None:
            return None
        try:
            return decode_record(ABOUT_KEY, value, About)
        except RecordError as error:
            raise BadInput(str(self.folder), f"the store's first record: {error}") from error

    def acquire_lock(self) -> int:
        fd = os.open(self.folder / "owner", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(fd)
            if error.errno in (errno.EWOULDBLOCK, errno.EACCES):
                raise BadInput(str(self.folder), "another front holds this store") from error
            raise
        return fd

    def replace_file(self, name: str, store_id: int, created_ms: int) -> Path:
        """Sets the file aside as `<name>-<number>.mdb`, creates a new one under the same lock, and returns
        the path of the old one."""
        assert self.lock_fd is not None
        front = int(self.about.front)
        self.env.close()
        old_file = integrity.set_aside(self.folder, name)
        self.env = self.open_env()
        self.open_tables(front, store_id, created_ms)
        return old_file

    def reset_claims(self, store_id: int) -> None:
        """Deletes all claims and gives the file a new number, so that claims of the old one count as run."""
        self.about.store = store_id
        with self.env.begin(write=True) as txn:
            txn.drop(self.tables["claims"], delete=False)
            txn.put(ABOUT_KEY, encode_record(ABOUT_KEY, self.about), db=self.about_table)

    def release_lock(self) -> None:
        if self.lock_fd is not None:
            os.close(self.lock_fd)
            self.lock_fd = None

    def close(self) -> None:
        self.env.close()
        self.release_lock()

    # reading

    def get(self, table: str, key: bytes) -> Any:
        """Returns the message of a key, None if the key has none. Raises `RecordError` if it is unusable."""
        with self.env.begin(db=self.tables[table], buffers=False) as txn:
            value = txn.get(key)
        return None if value is None else decode_record(key, bytes(value), MESSAGE_TYPES[table])

    def get_bytes(self, table: str, key: bytes) -> bytes | None:
        with self.env.begin(db=self.tables[table]) as txn:
            value = txn.get(key)
        return None if value is None else bytes(value)

    def records(self, table: str) -> Iterator[tuple[bytes, Any]]:
        """Yields keys and messages in the order of keys, with a `RecordError` for each unusable message."""
        with self.env.begin(db=self.tables[table]) as txn:
            for key, value in txn.cursor():
                try:
                    yield bytes(key), decode_record(bytes(key), bytes(value), MESSAGE_TYPES[table])
                except RecordError as error:
                    yield bytes(key), error

    # writing

    def commit(self, changes: Iterable[Change]) -> list[bool]:
        """Applies the changes in one transaction, which is on disk when this returns.

        Returns for each change whether it was applied; a change is skipped if the present value is not the
        expected one. LMDB runs one write transaction at a time across all processes, so no other write comes
        between this comparison and the change. Raises `OSError` if nothing could be written.
        """
        applied: list[bool] = []
        try:
            with self.env.begin(write=True) as txn:
                number = int.from_bytes(txn.get(COMMIT_COUNT_KEY, db=self.about_table) or b"", "big") + 1
                txn.put(COMMIT_COUNT_KEY, number.to_bytes(8, "big"), db=self.about_table)
                for table, key, value, expected in changes:
                    db = self.tables[table]
                    applied.append(expected == ANY_VALUE or txn.get(key, db=db) == expected)
                    if not applied[-1]:
                        continue
                    if value is None:
                        txn.delete(key, db=db)
                    else:
                        txn.put(key, value, db=db)
        except lmdb.Error as error:
            raise OSError(errno.ENOSPC, f"transaction not written: {error}") from error
        self.last_commit = number
        return applied

    def prune(self, before_key: bytes, pruned_s: int, max_records: int = 10_000) -> int:
        """Deletes claims with keys below `before_key`, `max_records` at most, and returns their number.

        Also stores that claims issued up to `pruned_s` (Unix time) may be missing, so that they do not look
        new after the clock has been set back.
        """
        table = self.tables["claims"]
        with self.env.begin(write=True, db=table) as txn:
            if pruned_s > self.about.pruned_s:
                self.about.pruned_s = pruned_s
                txn.put(ABOUT_KEY, encode_record(ABOUT_KEY, self.about), db=self.about_table)
            cursor = txn.cursor()
            deleted = 0
            while deleted < max_records and cursor.first() and bytes(cursor.key()) < before_key:
                cursor.delete()
                deleted += 1
        return deleted

    # maintenance

    def check_records(self) -> CheckReport:
        """Reads every record."""
        report = CheckReport(about=self.about, max_bytes=self.env.info()["map_size"])
        stat = self.env.stat()
        report.bytes_used = (self.env.info()["last_pgno"] + 1) * stat["psize"]
        for name, message_type in MESSAGE_TYPES.items():
            if message_type is None:
                with self.env.begin(db=self.tables[name]) as txn:
                    report.counts[name] = txn.stat()["entries"]
                continue
            for key, value in self.records(name):
                report.counts[name] += 1
                if isinstance(value, RecordError):
                    report.damaged.append(f"{name} {key.hex()}: {value}")
                elif name == "claims":
                    report.standings[value.standing] += 1
        return report

    def compact(self) -> tuple[int, int]:
        """Rewrites the file without free pages and closes the store.

        Returns the file's size in bytes before and after.
        """
        size_before = os.path.getsize(self.folder / "data.mdb")
        new_folder = self.folder / "fresh"
        shutil.rmtree(new_folder, ignore_errors=True)
        new_folder.mkdir()
        self.env.copy(str(new_folder), compact=True)
        self.env.close()
        with open(new_folder / "data.mdb", "rb") as file:
            os.fsync(file.fileno())
        os.replace(new_folder / "data.mdb", self.folder / "data.mdb")
        shutil.rmtree(new_folder)
        folder_fd = os.open(self.folder, os.O_RDONLY)
        os.fsync(folder_fd)
        os.close(folder_fd)
        self.release_lock()
        return size_before, os.path.getsize(self.folder / "data.mdb")
