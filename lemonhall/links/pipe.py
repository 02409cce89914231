"""What passes one way over one link: datagrams, or the bytes of a connection. Pure.

Times are milliseconds of any clock that does not go back. What is put in comes out of `take` once it is due;
`due` says when that is. A change of `shape` holds for what is put in from then on, and a cut at once.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from random import Random

from lemonhall.config.day import Shape

CLEAN = Shape()
RETRANSMIT_MS = 200.0  # the least time after which TCP sends again what was lost (RFC 6298 allows a second)
DOUBLINGS = 5  # of that time, for a piece that is lost again and again
OVERTAKEN_MS = 20.0  # a datagram that is to be overtaken is held so long, and twice the jitter
WAITING_MS = 1000.0  # datagrams that a slow link could not pass within this are dropped, as a full queue does
DATAGRAMS_MOST = 4096  # held at once; more are dropped
BYTES_MOST = 1 << 18  # held of a stream; its source is to pause


def together(shapes: list[Shape]) -> Shape:
    """Several things that stand between two: delays add, losses are independent, the slowest rate counts."""
    made = CLEAN
    for s in shapes:
        rates = [r for r in (made.rate_kb, s.rate_kb) if r]
        made = Shape(
            made.delay_ms + s.delay_ms,
            made.jitter_ms + s.jitter_ms,
            1 - (1 - made.loss) * (1 - s.loss),
            1 - (1 - made.double) * (1 - s.double),
            1 - (1 - made.reorder) * (1 - s.reorder),
            min(rates) if rates else 0.0,
            made.cut or s.cut,
            made.silent or s.silent,
        )
    return made


class Slow:
    """When a link of so many kB a second has passed a piece."""

    def __init__(self) -> None:
        self.free_at = float("-inf")

    def passed(self, now: float, size: int, rate_kb: float) -> float:
        if not rate_kb:
            return now
        self.free_at = max(now, self.free_at) + size / rate_kb  # a kB a second is a byte a ms
        return self.free_at


class Datagrams:
    """Each is late, lost, doubled or overtaken on its own; five draws a datagram, whatever the shape says."""

    def __init__(self, random: Random) -> None:
        self.random, self.shape = random, CLEAN
        self.slow = Slow()
        self.queue: list[tuple[float, int, bytes]] = []
        self.count = self.lost = 0

    def put(self, now: float, data: bytes) -> None:
        s = self.shape
        lose, twice, over, early, late = (self.random.random() for _ in range(5))
        if s.cut or s.silent or lose < s.loss:
            self.lost += 1
            return
        for draw in (early, late)[: 1 + (twice < s.double)]:
            sent = self.slow.passed(now, len(data), s.rate_kb)
            if sent - now > WAITING_MS or len(self.queue) >= DATAGRAMS_MOST:
                self.lost += 1
                continue
            held = OVERTAKEN_MS + 2 * s.jitter_ms if over < s.reorder else 0.0
            self.count += 1
            heapq.heappush(self.queue, (sent + s.delay_ms + draw * s.jitter_ms + held, self.count, data))

    def due(self) -> float | None:
        return self.queue[0][0] if self.queue else None

    def take(self, now: float) -> list[bytes]:
        """What arrives by now; what is under way when the link is cut never does."""
        found = []
        while self.queue and self.queue[0][0] <= now:
            found.append(heapq.heappop(self.queue)[2])
        if self.shape.cut or self.shape.silent:
            self.lost += len(found)
            return []
        return found


@dataclass(frozen=True)
class End:
    """The end of a connection, behind its last byte. `reset`: as a reset."""

    reset: bool


class Bytes:
    """One way of a connection: in order and whole, as TCP shows it. Loss is lateness of all that follows.

    While the link is cut or silent nothing comes out; then all that was held does, the end included.
    """

    def __init__(self, random: Random) -> None:
        self.random, self.shape = random, CLEAN
        self.slow = Slow()
        self.queue: list[tuple[float, bytes | End]] = []
        self.held = 0  # bytes
        self.last = float("-inf")

    @property
    def full(self) -> bool:
        return self.held >= BYTES_MOST

    @property
    def idle(self) -> bool:
        """Nothing is held and nothing stands between: a piece may pass at once."""
        return not self.queue and self.shape == CLEAN

    def put(self, now: float, piece: bytes | End) -> None:
        s = self.shape
        wait, again = self.random.random() * s.jitter_ms, RETRANSMIT_MS
        size = len(piece) if isinstance(piece, bytes) else 0
        for _ in range(DOUBLINGS):
            if self.random.random() >= s.loss:
                break
            wait, again = wait + again, 2 * again
        when = self.slow.passed(now, size, s.rate_kb) + s.delay_ms + wait
        self.last = max(self.last, when)
        self.held += size
        self.queue.append((self.last, piece))

    def due(self) -> float | None:
        if not self.queue or self.shape.cut or self.shape.silent:
            return None
        return self.queue[0][0]

    def take(self, now: float) -> list[bytes | End]:
        count = 0
        if not (self.shape.cut or self.shape.silent):
            while count < len(self.queue) and self.queue[count][0] <= now:
                count += 1
        found, self.queue = [piece for _, piece in self.queue[:count]], self.queue[count:]
        self.held -= sum(len(p) for p in found if isinstance(p, bytes))
        return found
