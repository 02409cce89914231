"""Writes the capture of a running front: calls of the module are queued, and a thread encodes and stores
them.

Calls that exceed the queue, or that cannot be written to disk, are recorded as gaps.
"""

from __future__ import annotations

import hashlib
import os
import threading
import time
from collections import deque
from collections.abc import Callable
from importlib.metadata import version
from pathlib import Path
from typing import Any

import structlog

from lemonhall import decide, interface
from lemonhall.capture.blocks import Block
from lemonhall.capture.capture_pb2 import Header
from lemonhall.capture.codec import pack
from lemonhall.capture.ring import CaptureRing, RecordedCall
from lemonhall.capture.snapshot import serialize_module
from lemonhall.config.settings import CaptureSettings, FrontSettings
from lemonhall.problem import BadInput

log = structlog.get_logger("lemonhall.front")
QUEUE_MAX_RECORDS = 20_000
DRAIN_PERIOD_S = 0.2


def viewer_hasher(path: str) -> Callable[[int], int]:
    """Returns the function that pseudonymizes viewer ids: a keyed hash, or the identity if `path` is empty.

    Raises `BadInput` if the key file cannot be read.
    """
    if not path:
        return lambda viewer: viewer
    try:
        key = Path(path).read_bytes()
    except OSError as error:
        raise BadInput(path, f"the capture's key cannot be read: {error.strerror}") from error
    blake2b = hashlib.blake2b
    return lambda viewer: int.from_bytes(
        blake2b(viewer.to_bytes(8, "big"), key=key[:64], digest_size=8).digest(), "big"
    )


def capture_header(settings: FrontSettings) -> Any:
    source = Path(decide.__file__).read_bytes()
    return Header(
        format=1,
        program=version("lemonhall"),
        module=hashlib.sha256(source).hexdigest(),
        front=settings.name,
        settings=pack([settings.to_module()]),
        seed=settings.seed,
    )


class CaptureFolder:
    """Numbered capture files, each starting at a segment. The oldest files are deleted beyond `files`.

    `size` is the number of bytes after which a new file is started. Raises `OSError` if the folder cannot be
    created.
    """

    def __init__(self, folder: Path, name: str, size: int, files: int) -> None:
        self.folder, self.name, self.size, self.files = folder, name, size, files
        self.file: Any = None
        self.bytes_written = 0
        folder.mkdir(parents=True, exist_ok=True)

    def write_block(self, block: Block, starts_segment: bool) -> None:
        """Raises `OSError` if the block cannot be written."""
        if self.file is None or (starts_segment and self.bytes_written > 0):
            self.rotate()
        self.file.write(block.data)
        self.file.flush()
        self.bytes_written += len(block.data)

    def rotate(self) -> None:
        """Starts the next file and deletes the oldest ones."""
        if self.file:
            self.file.close()
        existing = sorted(self.folder.glob(f"{self.name}-*.lhc"))
        last = int(existing[-1].stem.rpartition("-")[2]) if existing else 0
        self.file = open(self.folder / f"{self.name}-{last + 1:06d}.lhc", "xb")  # noqa: SIM115
        self.bytes_written = 0
        for old in existing[: max(0, len(existing) + 1 - self.files)]:
            old.unlink(missing_ok=True)

    def is_full(self) -> bool:
        return self.bytes_written >= self.size


class CaptureWriter:
    """Keeps the latest calls in a ring in memory and, if configured, in files.

    Calls, notes and snapshots are added on the event loop; encoding and file I/O run in a thread of this
    writer. Raises `BadInput` if the folder or the key cannot be used.
    """

    def __init__(self, settings: CaptureSettings, header: Any, wall: Callable[[], float] = time.time) -> None:
        self.settings, self.wall = settings, wall
        self.queue: deque[tuple[str, Any]] = deque()
        self.folder: CaptureFolder | None = None
        try:
            if settings.folder:
                self.folder = CaptureFolder(
                    Path(settings.folder), header.front, settings.size, settings.files
                )
        except OSError as error:
            raise BadInput(settings.folder, f"cannot create the capture folder: {error.strerror}") from error
        hash_viewer = viewer_hasher(settings.key)
        self.ring = CaptureRing(header, settings.keep_ms, settings.memory, hash_viewer, self.on_block)
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.dropped: list[float] = []  # number of calls dropped, and the times of the first and the last
        self.next_snapshot = float("-inf")
        self.can_snapshot = True  # False once the module's state could not be serialized
        self.failures = self.gaps = 0
        # wall clock and module clock at the last call, in ms
        self.last_clocks: tuple[float, float] | None = None
        self.thread = threading.Thread(target=self.run, name="capture", daemon=True)
        self.thread.start()

    # called on the event loop

    def before_call(self, module: Any, number: int, now: float) -> None:
        """Starts a segment if one is due: the first without a snapshot of the module, later ones with one."""
        if now < self.next_snapshot and not (self.folder and self.folder.is_full()):
            return
        first = self.next_snapshot == float("-inf")
        self.next_snapshot = now + self.settings.snapshots_ms
        snapshot = b""
        if not first:
            if not self.can_snapshot:
                return
            try:
                snapshot = serialize_module(module)
            except Exception as error:  # the state of an operator's own module may not be serializable
                self.can_snapshot = False
                log.warning("cannot serialize the module; capturing without snapshots", reason=str(error))
                return
        self.queue.append(("begin", (number, snapshot, now, self.wall() * 1000)))

    def add_call(
        self, number: int, now: float, events: list[interface.Event], actions: list[interface.Action]
    ) -> None:
        if len(self.queue) >= QUEUE_MAX_RECORDS:
            self.dropped = [self.dropped[0] + 1, self.dropped[1], now] if self.dropped else [1, now, now]
            return
        if self.dropped:
            self.gaps += 1
            self.queue.append(
                ("gap", (int(self.dropped[0]), self.dropped[1], self.dropped[2], "too much waited"))
            )
            self.dropped = []
            self.next_snapshot = now  # replay resumes after the gap at the next snapshot
        wall = self.wall() * 1000
        if self.last_clocks and abs((wall - self.last_clocks[0]) - (now - self.last_clocks[1])) > 500:
            step = (wall - self.last_clocks[0]) - (now - self.last_clocks[1])
            self.add_note(now, "clock", f"stepped by {step / 1000:.1f} s")
        self.last_clocks = (wall, now)
        self.queue.append(("call", RecordedCall(number, now, wall, events, actions)))

    def add_note(self, now: float, who: str, text: str, session: int = 0) -> None:
        if len(self.queue) < QUEUE_MAX_RECORDS:
            self.queue.append(("word", (now, who, text, session)))

    def save(self) -> bytes:
        """Returns the ring as the bytes of a capture file, including the latest call."""
        self.drain()
        with self.lock:
            return self.ring.dump()

    def close(self) -> None:
        self.stopping.set()
        self.thread.join()
        self.drain()
        with self.lock:
            self.ring.close_block()
            if self.folder and self.folder.file:
                self.folder.file.close()

    # called in the thread

    def run(self) -> None:
        while not self.stopping.wait(DRAIN_PERIOD_S):
            self.drain()

    def drain(self) -> None:
        with self.lock:
            for _ in range(len(self.queue)):
                kind, record = self.queue.popleft()
                if kind == "call":
                    self.ring.append_call(record)
                elif kind == "begin":
                    self.ring.begin_segment(*record)
                elif kind == "gap":
                    self.ring.append_gap(*record)
                else:
                    self.ring.append_note(*record)

    def on_block(self, block: Block, starts_segment: bool) -> None:
        if self.folder is None:
            return
        try:
            self.folder.write_block(block, starts_segment)
        except OSError as error:
            self.failures += 1
            if self.failures & (self.failures - 1) == 0:
                log.error(
                    "cannot write capture file; block recorded as a gap",
                    reason=str(error),
                    failures=self.failures,
                )
            reason = f"the disk did not take it: {error.strerror or error}"
            self.ring.append_gap(block.calls, block.first_ms, block.last_ms, reason)


def write_atomically(path: Path, data: bytes) -> None:
    """Replaces the file at `path` as a whole or leaves it unchanged. Raises `OSError`."""
    temporary = path.with_name(path.name + ".new")
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)


__all__ = ["CaptureWriter", "capture_header", "write_atomically"]
