"""Pools of servers by address: the picker's choice becomes a wish for one server of the list."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

from lemonhall.config.settings import FrontSettings
from lemonhall.front.decider.pool_picker import PoolPicker


class PoolPreferences:
    """`known`: numbers of servers by address, as the list has them now. `held`: attempts by server."""

    def __init__(
        self,
        settings: FrontSettings,
        held: Callable[[], Counter[int]],
        counts: Counter[str],
        random: Random,
    ) -> None:
        self.settings, self.attempts_by_server, self.counts, self.random = settings, held, counts, random
        self.pickers: dict[str, PoolPicker] = {}
        self.known_ids: dict[str, int] = {}
        self.known_version = -1
        self.list_version: Callable[[], int] = lambda: 0
        self.server_ids: Callable[[], dict[str, int]] = dict

    def reset(self, settings: FrontSettings) -> None:
        """After other settings: pools begin anew."""
        self.settings = settings
        self.pickers.clear()

    def preferences(self, name: str, key: str) -> tuple[tuple[str, int], ...]:
        """For a session whose route has the pool `name`; `key` is what a pick by hash goes by."""
        if not name:
            return ()
        if self.list_version() != self.known_version:
            self.known_ids, self.known_version = self.server_ids(), self.list_version()
        picker = self.pickers.get(name)
        if picker is None:
            routes = self.settings.terms.routes
            pool = next((r.pool for r in routes if r.pool and r.pool.name == name), None)
            if pool is None:
                return ()
            picker = self.pickers[name] = PoolPicker(pool, self.random)
        held = self.attempts_by_server() if picker.pool.pick in ("least", "random-two") else Counter[int]()
        chosen = picker.pick(key, self.known_ids.__contains__, lambda at: float(held[self.known_ids[at]]))
        self.counts["pool_empty"] += chosen is None
        return (("server", self.known_ids[chosen.address]),) if chosen else ()
