"""Load balancing within a pool: selects the server that a session prefers. Pure.

The selection is a preference only. The decision module decides finally and passes over a server that is
full or suspect, as it does for every other session.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable
from itertools import accumulate
from random import Random

import xxhash

from lemonhall.config.routing import Pool, PoolServer

RING_POINTS = 160  # hash ring points for a server of weight 1, as in ketama
Load = Callable[[str], float]  # the number of sessions that this front has at an address


class PoolPicker:
    """Selects servers of one pool by the pool's method (round robin, least sessions, random, hash, ...)."""

    def __init__(self, pool: Pool, random: Random) -> None:
        self.pool, self.random = pool, random
        self.current_weights = [0] * len(pool.servers)  # state of the smooth weighted round robin
        self.ring: list[tuple[int, int]] = []
        if pool.pick == "consistent":
            self.ring = sorted(
                (xxhash.xxh3_64_intdigest(f"{server.address}#{point}".encode()), index)
                for index, server in enumerate(pool.servers)
                for point in range(RING_POINTS * server.weight)
            )
        self.ring_hashes = [point_hash for point_hash, _ in self.ring]

    def pick(self, key: str, usable: Callable[[str], bool], load: Load) -> PoolServer | None:
        """Returns the server for `key`, or None if the server list has no server of the pool.

        `usable(address)` returns whether the server list contains the address. Backup servers are selected
        only when no other server is listed.
        """
        listed = [index for index, server in enumerate(self.pool.servers) if usable(server.address)]
        candidates = [index for index in listed if not self.pool.servers[index].backup] or listed
        if not candidates:
            return None
        return self.pool.servers[self.pick_candidate(candidates, key, load)]

    def pick_candidate(self, candidates: list[int], key: str, load: Load) -> int:
        method = self.pool.pick
        if method == "least":
            return self.pick_least_loaded(candidates, load)
        if method == "random-two":
            first = self.pick_random(candidates)
            others = [index for index in candidates if index != first]
            return self.pick_least_loaded([first, self.pick_random(others)], load) if others else first
        if method == "random":
            return self.pick_random(candidates)
        if method == "hash":
            return self.pick_by_hash(candidates, key)
        return (
            self.pick_from_ring(candidates, key)
            if method == "consistent"
            else self.pick_round_robin(candidates)
        )

    def pick_round_robin(self, candidates: list[int]) -> int:
        """Smooth weighted round robin: every candidate gains its weight; the one with the highest current
        weight is selected and loses the sum of all weights."""
        total = 0
        for index in candidates:
            self.current_weights[index] += self.pool.servers[index].weight
            total += self.pool.servers[index].weight
        best = max(candidates, key=lambda index: (self.current_weights[index], -index))
        self.current_weights[best] -= total
        return best

    def pick_least_loaded(self, candidates: list[int], load: Load) -> int:
        """Selects the fewest sessions per weight; round robin decides between equals."""
        loads = {
            index: load(self.pool.servers[index].address) / self.pool.servers[index].weight
            for index in candidates
        }
        least = min(loads.values())
        return self.pick_round_robin([index for index in candidates if loads[index] == least])

    def pick_random(self, candidates: list[int]) -> int:
        cumulative = list(accumulate(self.pool.servers[index].weight for index in candidates))
        return candidates[bisect.bisect(cumulative, self.random.random() * cumulative[-1])]

    def pick_by_hash(self, candidates: list[int], key: str) -> int:
        cumulative = list(accumulate(self.pool.servers[index].weight for index in candidates))
        return candidates[bisect.bisect(cumulative, xxhash.xxh3_64_intdigest(key.encode()) % cumulative[-1])]

    def pick_from_ring(self, candidates: list[int], key: str) -> int:
        """Selects the candidate with the next point on the hash ring."""
        allowed = set(candidates)
        position = bisect.bisect(self.ring_hashes, xxhash.xxh3_64_intdigest(key.encode()))
        for step in range(len(self.ring)):
            index = self.ring[(position + step) % len(self.ring)][1]
            if index in allowed:
                return index
        return candidates[0]
