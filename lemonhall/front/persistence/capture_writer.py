"""The capture of a running front: calls are queued as they are made, a thread packs and writes them.

What the queue cannot take is left out and told as a gap; so is what the disk does not take.
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

from lemonhall import decide
from lemonhall import interface as i
from lemonhall.capture.capture_pb2 import Header
from lemonhall.capture.file import Block
from lemonhall.capture.ring import Ring, Told
from lemonhall.capture.shapes import pack
from lemonhall.capture.snapshot import freeze
from lemonhall.config.settings import CaptureSettings, FrontSettings
from lemonhall.problem import BadInput

log = structlog.get_logger("lemonhall.front")
QUEUE_MOST = 20_000  # calls that wait to be packed
PACK_EVERY_S = 0.2


def hider(path: str) -> Callable[[int], int]:
    """Raises `BadInput` if the key cannot be read."""
    if not path:
        return lambda viewer: viewer
    try:
        key = Path(path).read_bytes()
    except OSError as error:
        raise BadInput(path, f"the capture's key cannot be read: {error.strerror}") from error
    digest = hashlib.blake2b
    return lambda v: int.from_bytes(digest(v.to_bytes(8, "big"), key=key[:64], digest_size=8).digest(), "big")


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


class Folder:
    """Files of blocks, each beginning with a segment; the oldest go."""

    def __init__(self, folder: Path, name: str, size: int, files: int) -> None:
        self.folder, self.name, self.size, self.files = folder, name, size, files
        self.file: Any = None
        self.written = 0
        folder.mkdir(parents=True, exist_ok=True)

    def block(self, block: Block, begins: bool) -> None:
        """Raises `OSError`."""
        if self.file is None or (begins and self.written > 0):
            self.rotate()
        self.file.write(block.data)
        self.file.flush()
        self.written += len(block.data)

    def rotate(self) -> None:
        """A new file begins with each segment."""
        if self.file:
            self.file.close()
        known = sorted(self.folder.glob(f"{self.name}-*.lhc"))
        last = int(known[-1].stem.rpartition("-")[2]) if known else 0
        self.file = open(self.folder / f"{self.name}-{last + 1:06d}.lhc", "xb")  # noqa: SIM115
        self.written = 0
        for old in known[: max(0, len(known) + 1 - self.files)]:
            old.unlink(missing_ok=True)

    def full(self) -> bool:
        return self.written >= self.size


class CaptureWriter:
    """Raises `BadInput` if the folder or the key cannot be used."""

    def __init__(self, settings: CaptureSettings, header: Any, wall: Callable[[], float] = time.time) -> None:
        self.settings, self.wall = settings, wall
        self.queue: deque[tuple[str, Any]] = deque()
        self.folder: Folder | None = None
        try:
            if settings.folder:
                self.folder = Folder(Path(settings.folder), header.front, settings.size, settings.files)
        except OSError as error:
            raise BadInput(settings.folder, f"no captures can go there: {error.strerror}") from error
        hide = hider(settings.key)
        self.ring = Ring(header, settings.keep_ms, settings.memory, hide, self.on_block)
        self.lock = threading.Lock()
        self.ending = threading.Event()
        self.lost: list[float] = []  # calls, first and last time of those left out
        self.next_snapshot = float("-inf")
        self.whole = True  # whether the module's state can be written
        self.failures = self.gaps = 0
        self.wall_before: tuple[float, float] | None = None
        self.thread = threading.Thread(target=self.run, name="capture", daemon=True)
        self.thread.start()

    # on the loop

    def before_call(self, module: Any, number: int, now: float) -> None:
        """A segment begins here: at the first call without a snapshot, later with one."""
        if now < self.next_snapshot and not (self.folder and self.folder.full()):
            return
        first = self.next_snapshot == float("-inf")
        self.next_snapshot = now + self.settings.snapshots_ms
        made = b""
        if not first:
            if not self.whole:
                return
            try:
                made = freeze(module)
            except Exception as error:  # another file's module may hold what cannot be written
                self.whole = False
                log.warning("module without snapshots", why=str(error))
                return
        self.queue.append(("begin", (number, made, now, self.wall() * 1000)))

    def add_call(self, number: int, now: float, events: list[i.Event], actions: list[i.Action]) -> None:
        if len(self.queue) >= QUEUE_MOST:
            self.lost = [self.lost[0] + 1, self.lost[1], now] if self.lost else [1, now, now]
            return
        if self.lost:
            self.gaps += 1
            self.queue.append(("gap", (int(self.lost[0]), self.lost[1], self.lost[2], "too much waited")))
            self.lost = []
            self.next_snapshot = now  # a replay can go on from the next one
        wall = self.wall() * 1000
        if self.wall_before and abs((wall - self.wall_before[0]) - (now - self.wall_before[1])) > 500:
            step = (wall - self.wall_before[0]) - (now - self.wall_before[1])
            self.add_note(now, "clock", f"stepped by {step / 1000:.1f} s")
        self.wall_before = (wall, now)
        self.queue.append(("call", Told(number, now, wall, events, actions)))

    def add_note(self, now: float, who: str, text: str, session: int = 0) -> None:
        if len(self.queue) < QUEUE_MOST:
            self.queue.append(("word", (now, who, text, session)))

    def save(self) -> bytes:
        """The ring as a file, up to now."""
        self.drain()
        with self.lock:
            return self.ring.saved()

    def close(self) -> None:
        self.ending.set()
        self.thread.join()
        self.drain()
        with self.lock:
            self.ring.close_block()
            if self.folder and self.folder.file:
                self.folder.file.close()

    # in the thread

    def run(self) -> None:
        while not self.ending.wait(PACK_EVERY_S):
            self.drain()

    def drain(self) -> None:
        with self.lock:
            for _ in range(len(self.queue)):
                what, told = self.queue.popleft()
                if what == "call":
                    self.ring.call(told)
                elif what == "begin":
                    self.ring.begin(*told)
                elif what == "gap":
                    self.ring.gap(*told)
                else:
                    self.ring.word(*told)

    def on_block(self, block: Block, begins: bool) -> None:
        if self.folder is None:
            return
        try:
            self.folder.block(block, begins)
        except OSError as error:
            self.failures += 1
            if self.failures & (self.failures - 1) == 0:
                log.error("capture not written", why=str(error), times=self.failures)
            with_gap = f"the disk did not take it: {error.strerror or error}"
            self.ring.gap(block.calls, block.first, block.last, with_gap)


def write_atomically(path: Path, data: bytes) -> None:
    """Whole or not at all. Raises `OSError`."""
    fresh = path.with_name(path.name + ".new")
    with open(fresh, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(fresh, path)


__all__ = ["CaptureWriter", "capture_header", "write_atomically"]
