"""Which server of a pool a session asks for first: what the module is told as a wish, no more. Pure.

The module has the last word: a server without room, or in doubt, is passed over, as for every other session.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable
from itertools import accumulate
from random import Random

import xxhash

from lemonhall.config.routing import Pool, PoolServer

POINTS = 160  # of a server of weight 1 on the ring, as ketama has them
Load = Callable[[str], float]  # sessions that this front has at an address


class PoolPicker:
    """`usable(address)`: whether the list has such a server. `pick` gives None if none is there."""

    def __init__(self, pool: Pool, random: Random) -> None:
        self.pool, self.random = pool, random
        self.current = [0] * len(pool.servers)  # of the smooth round robin
        self.ring: list[tuple[int, int]] = []
        if pool.pick == "consistent":
            self.ring = sorted(
                (xxhash.xxh3_64_intdigest(f"{s.address}#{point}".encode()), n)
                for n, s in enumerate(pool.servers)
                for point in range(POINTS * s.weight)
            )
        self.points = [at for at, _ in self.ring]

    def pick(self, key: str, usable: Callable[[str], bool], load: Load) -> PoolServer | None:
        """Backups only when no other is there."""
        there = [n for n, s in enumerate(self.pool.servers) if usable(s.address)]
        some = [n for n in there if not self.pool.servers[n].backup] or there
        if not some:
            return None
        return self.pool.servers[self.one_of(some, key, load)]

    def one_of(self, some: list[int], key: str, load: Load) -> int:
        how = self.pool.pick
        if how == "least":
            return self.least(some, load)
        if how == "random-two":
            first = self.drawn(some)
            others = [n for n in some if n != first]
            return self.least([first, self.drawn(others)], load) if others else first
        if how == "random":
            return self.drawn(some)
        if how == "hash":
            return self.hashed(some, key)
        return self.around(some, key) if how == "consistent" else self.round_robin(some)

    def round_robin(self, some: list[int]) -> int:
        """Smooth: each gains its weight, the highest is taken and loses what all gained."""
        total = 0
        for n in some:
            self.current[n] += self.pool.servers[n].weight
            total += self.pool.servers[n].weight
        best = max(some, key=lambda n: (self.current[n], -n))
        self.current[best] -= total
        return best

    def least(self, some: list[int], load: Load) -> int:
        """Fewest sessions for its weight; among equals by round robin."""
        weighed = {n: load(self.pool.servers[n].address) / self.pool.servers[n].weight for n in some}
        least = min(weighed.values())
        return self.round_robin([n for n in some if weighed[n] == least])

    def drawn(self, some: list[int]) -> int:
        sums = list(accumulate(self.pool.servers[n].weight for n in some))
        return some[bisect.bisect(sums, self.random.random() * sums[-1])]

    def hashed(self, some: list[int], key: str) -> int:
        sums = list(accumulate(self.pool.servers[n].weight for n in some))
        return some[bisect.bisect(sums, xxhash.xxh3_64_intdigest(key.encode()) % sums[-1])]

    def around(self, some: list[int], key: str) -> int:
        """The next point on the ring of a server that is there."""
        allowed = set(some)
        at = bisect.bisect(self.points, xxhash.xxh3_64_intdigest(key.encode()))
        for step in range(len(self.ring)):
            n = self.ring[(at + step) % len(self.ring)][1]
            if n in allowed:
                return n
        return some[0]
