"""Checks in a child process that a store's file can be read, so that damage does not affect the front.

LMDB trusts its pages. A damaged page may crash the process that reads it (a segmentation fault, a failed
assertion), send it into an endless loop, or raise an error. So a child process first walks every key of every
table, and the end of that child is taken as the result. Values are not checked here; they have checksums of
their own (records.py).
"""

from __future__ import annotations

import os
import select
import signal
import time
from pathlib import Path

import lmdb

CHECK_TIMEOUT_S = 20.0  # 300,000 keys in 23 MB take 0.25 s
MAX_REASON_BYTES = 300


def walk_keys(folder: Path, max_bytes: int, tables: int) -> str:
    """Returns why the file cannot be read, or "" if it can. May crash the process that calls it."""
    try:
        flags = {"readonly": True, "lock": False, "create": False}
        env = lmdb.open(str(folder), map_size=max_bytes, max_dbs=tables, **flags)
        names = []
        with env.begin() as txn:
            names = [bytes(key) for key, _ in txn.cursor()]
        for name in names:
            table = env.open_db(name, create=False)
            with env.begin(db=table) as txn:
                expected, last, count = txn.stat()["entries"], b"", 0
                for key, value in txn.cursor():
                    count += 1
                    if bytes(key) <= last and count > 1 or count > expected:
                        return f"keys of table {name.decode(errors='replace')} are out of order"
                    last = bytes(key)
                    len(value)
                if count != expected:
                    return f"{expected - count} keys of table {name.decode(errors='replace')} are missing"
        env.close()
    except lmdb.Error as error:
        return str(error)
    return ""


def find_damage(folder: Path, max_bytes: int, tables: int) -> str:
    """Returns why a store's file cannot be read safely, or "" if it can or does not exist.

    The calling process must have no threads, since it forks, and must hold the store's lock, so that no other
    process writes meanwhile.
    """
    if not (folder / "data.mdb").exists():
        return ""
    read_end, write_end = os.pipe()
    child = os.fork()
    if child == 0:
        reason = "the check did not run"
        try:
            os.close(read_end)
            reason = walk_keys(folder, max_bytes, tables)
            os.write(write_end, reason.encode(errors="replace")[:MAX_REASON_BYTES])
        finally:
            os._exit(1 if reason else 0)
    os.close(write_end)
    child_fd = os.pidfd_open(child)
    try:
        deadline = time.monotonic() + CHECK_TIMEOUT_S
        while not select.select([child_fd], [], [], max(0.0, deadline - time.monotonic()))[0]:
            if time.monotonic() >= deadline:
                os.kill(child, signal.SIGKILL)
        status = os.waitstatus_to_exitcode(os.waitpid(child, 0)[1])
        reported = os.read(read_end, MAX_REASON_BYTES).decode(errors="replace")
    finally:
        os.close(child_fd)
        os.close(read_end)
    if status < 0:
        return f"reading the file killed the checking process ({signal.Signals(-status).name})"
    return reported if status else ""


def set_aside(folder: Path, name: str = "damaged") -> Path:
    """Renames the file to the first unused `<name>-<number>.mdb`, and returns that path. No data is lost."""
    number = 1
    while (target := folder / f"{name}-{number}.mdb").exists():
        number += 1
    os.replace(folder / "data.mdb", target)
    (folder / "lock.mdb").unlink(missing_ok=True)
    return target
