"""One direction of an emulated link, for datagrams or for the bytes of a connection. Pure.

Times are milliseconds of any monotonic clock. `take_due` returns what has arrived by a given time, and
`next_due_ms` the time of the next arrival. A change of `shape` applies to what is put in afterwards, except
that a cut or a silence takes effect at once.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from random import Random

from lemonhall.config.day import Shape

UNIMPAIRED = Shape()
MIN_RTO_MS = 200.0  # TCP's minimum retransmission timeout; RFC 6298 allows one second
MAX_RETRANSMISSIONS = 5  # of one piece that is lost repeatedly; the timeout doubles each time
REORDER_DELAY_MS = 20.0  # a reordered datagram is delayed by this and twice the jitter, so others overtake it
MAX_QUEUING_DELAY_MS = (
    1000.0  # a rate-limited link drops datagrams that would wait longer, as a full queue does
)
MAX_QUEUED_DATAGRAMS = 4096  # more are dropped
MAX_QUEUED_BYTES = 1 << 18  # of a stream; its source has to pause above this


def combine_shapes(shapes: list[Shape]) -> Shape:
    """Combines links in series: delays add up, losses are independent, the lowest rate applies."""
    combined = UNIMPAIRED
    for shape in shapes:
        rates = [r for r in (combined.rate_kb, shape.rate_kb) if r]
        combined = Shape(
            combined.delay_ms + shape.delay_ms,
            combined.jitter_ms + shape.jitter_ms,
            1 - (1 - combined.loss) * (1 - shape.loss),
            1 - (1 - combined.double) * (1 - shape.double),
            1 - (1 - combined.reorder) * (1 - shape.reorder),
            min(rates) if rates else 0.0,
            combined.cut or shape.cut,
            combined.silent or shape.silent,
        )
    return combined


class RateLimiter:
    """Serializes transmissions over a link of limited rate."""

    def __init__(self) -> None:
        self.free_at_ms = float("-inf")

    def transmit(self, now: float, size: int, rate_kb: float) -> float:
        """Returns when a transmission of `size` bytes, submitted at `now`, ends; a rate of 0 is no limit."""
        if not rate_kb:
            return now
        self.free_at_ms = max(now, self.free_at_ms) + size / rate_kb  # 1 kB/s is 1 byte per ms
        return self.free_at_ms


class DatagramPipe:
    """Delays, drops, duplicates and reorders datagrams, each independently.

    Each datagram takes five draws whatever the shape is, so that a change of shape does not change the draws
    of later datagrams.
    """

    def __init__(self, random: Random) -> None:
        self.random, self.shape = random, UNIMPAIRED
        self.rate_limiter = RateLimiter()
        self.queue: list[tuple[float, int, bytes]] = []
        self.queued_count = self.lost_count = 0

    def put(self, now: float, data: bytes) -> None:
        shape = self.shape
        loss_draw, double_draw, reorder_draw, jitter_draw, copy_jitter_draw = (
            self.random.random() for _ in range(5)
        )
        if shape.cut or shape.silent or loss_draw < shape.loss:
            self.lost_count += 1
            return
        for draw in (jitter_draw, copy_jitter_draw)[: 1 + (double_draw < shape.double)]:
            sent_at = self.rate_limiter.transmit(now, len(data), shape.rate_kb)
            if sent_at - now > MAX_QUEUING_DELAY_MS or len(self.queue) >= MAX_QUEUED_DATAGRAMS:
                self.lost_count += 1
                continue
            reorder_delay = REORDER_DELAY_MS + 2 * shape.jitter_ms if reorder_draw < shape.reorder else 0.0
            self.queued_count += 1
            heapq.heappush(
                self.queue,
                (sent_at + shape.delay_ms + draw * shape.jitter_ms + reorder_delay, self.queued_count, data),
            )

    def next_due_ms(self) -> float | None:
        return self.queue[0][0] if self.queue else None

    def take_due(self, now: float) -> list[bytes]:
        """Returns the datagrams that have arrived; those that fall due during a cut or a silence are lost."""
        arrived = []
        while self.queue and self.queue[0][0] <= now:
            arrived.append(heapq.heappop(self.queue)[2])
        if self.shape.cut or self.shape.silent:
            self.lost_count += len(arrived)
            return []
        return arrived


@dataclass(frozen=True)
class EndOfStream:
    """The end of a connection, queued behind its last byte. `reset`: it ended by a reset."""

    reset: bool


class StreamPipe:
    """One direction of a TCP connection: complete and in order; a loss delays everything that follows it.

    While the link is cut or silent nothing comes out. Afterwards all that was queued comes out, including the
    end of the stream.
    """

    def __init__(self, random: Random) -> None:
        self.random, self.shape = random, UNIMPAIRED
        self.rate_limiter = RateLimiter()
        self.queue: list[tuple[float, bytes | EndOfStream]] = []
        self.queued_bytes = 0
        self.last_due_ms = float("-inf")

    @property
    def full(self) -> bool:
        return self.queued_bytes >= MAX_QUEUED_BYTES

    @property
    def transparent(self) -> bool:
        """Whether nothing is queued and the link is unimpaired, so that a piece may bypass the pipe."""
        return not self.queue and self.shape == UNIMPAIRED

    def put(self, now: float, piece: bytes | EndOfStream) -> None:
        shape = self.shape
        extra_delay, rto = self.random.random() * shape.jitter_ms, MIN_RTO_MS
        size = len(piece) if isinstance(piece, bytes) else 0
        for _ in range(MAX_RETRANSMISSIONS):
            if self.random.random() >= shape.loss:
                break
            extra_delay, rto = extra_delay + rto, 2 * rto
        due = self.rate_limiter.transmit(now, size, shape.rate_kb) + shape.delay_ms + extra_delay
        self.last_due_ms = max(self.last_due_ms, due)
        self.queued_bytes += size
        self.queue.append((self.last_due_ms, piece))

    def next_due_ms(self) -> float | None:
        if not self.queue or self.shape.cut or self.shape.silent:
            return None
        return self.queue[0][0]

    def take_due(self, now: float) -> list[bytes | EndOfStream]:
        count = 0
        if not (self.shape.cut or self.shape.silent):
            while count < len(self.queue) and self.queue[count][0] <= now:
                count += 1
        arrived, self.queue = [piece for _, piece in self.queue[:count]], self.queue[count:]
        self.queued_bytes -= sum(len(p) for p in arrived if isinstance(p, bytes))
        return arrived
