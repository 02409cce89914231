"""Turns the choice of a pool's picker into the preference for one server of the server list."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

from lemonhall.config.settings import FrontSettings
from lemonhall.front.decider.pool_picker import PoolPicker


class PoolPreferences:
    """Keeps one picker per pool. `attempts_by_server` counts this front's current attempts by server id."""

    def __init__(
        self,
        settings: FrontSettings,
        attempts_by_server: Callable[[], Counter[int]],
        counts: Counter[str],
        random: Random,
    ) -> None:
        self.settings, self.attempts_by_server, self.counts, self.random = (
            settings,
            attempts_by_server,
            counts,
            random,
        )
        self.pickers: dict[str, PoolPicker] = {}
        self.known_ids: dict[str, int] = {}  # server ids by address, as of `known_version` of the list
        self.known_version = -1
        self.list_version: Callable[[], int] = lambda: 0
        self.server_ids: Callable[[], dict[str, int]] = dict

    def reset(self, settings: FrontSettings) -> None:
        """Applies other settings and discards the state of all pickers."""
        self.settings = settings
        self.pickers.clear()

    def preferences(self, name: str, key: str) -> tuple[tuple[str, int], ...]:
        """Returns the preferred server for a session whose route names the pool `name`.

        `key` is hashed by the methods that select by hash. The result is empty if no server of the pool is
        listed.
        """
        if not name:
            return ()
        if self.list_version() != self.known_version:
            self.known_ids, self.known_version = self.server_ids(), self.list_version()
        picker = self.pickers.get(name)
        if picker is None:
            routes = self.settings.terms.routes
            pool = next(
                (route.pool for route in routes if route.pool and route.pool.name == name),
                None,
            )
            if pool is None:
                return ()
            picker = self.pickers[name] = PoolPicker(pool, self.random)
        attempts = (
            self.attempts_by_server() if picker.pool.pick in ("least", "random-two") else Counter[int]()
        )
        chosen = picker.pick(
            key,
            self.known_ids.__contains__,
            lambda address: float(attempts[self.known_ids[address]]),
        )
        self.counts["pool_empty"] += chosen is None
        return (("server", self.known_ids[chosen.address]),) if chosen else ()
