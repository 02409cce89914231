"""Pools of servers by address: the picker's choice becomes a wish for one server of the list."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

from lemonhall.config.settings import FrontSettings
from lemonhall.front.deciding.pools import Picker


class Pools:
    """`known`: numbers of servers by address, as the list has them now. `held`: attempts by server."""

    def __init__(
        self,
        settings: FrontSettings,
        held: Callable[[], Counter[int]],
        counts: Counter[str],
        random: Random,
    ) -> None:
        self.settings, self.held, self.counts, self.random = settings, held, counts, random
        self.pickers: dict[str, Picker] = {}
        self.known: dict[str, int] = {}
        self.told_version = -1
        self.version: Callable[[], int] = lambda: 0
        self.servers: Callable[[], dict[str, int]] = dict

    def settle(self, settings: FrontSettings) -> None:
        """After other settings: pools begin anew."""
        self.settings = settings
        self.pickers.clear()

    def wish(self, name: str, key: str) -> tuple[tuple[str, int], ...]:
        """For a session whose route has the pool `name`; `key` is what a pick by hash goes by."""
        if not name:
            return ()
        if self.version() != self.told_version:
            self.known, self.told_version = self.servers(), self.version()
        picker = self.pickers.get(name)
        if picker is None:
            routes = self.settings.terms.routes
            pool = next((r.pool for r in routes if r.pool and r.pool.name == name), None)
            if pool is None:
                return ()
            picker = self.pickers[name] = Picker(pool, self.random)
        held = self.held() if picker.pool.pick in ("least", "random-two") else Counter[int]()
        chosen = picker.pick(key, self.known.__contains__, lambda at: float(held[self.known[at]]))
        self.counts["pool_empty"] += chosen is None
        return (("server", self.known[chosen.address]),) if chosen else ()
