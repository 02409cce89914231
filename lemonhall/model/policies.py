"""Textbook policies to hold the module against, in the model only: they never decide for a real session.

Each keeps the module's conduct (answers, drains, cold pace, budgets, seats) and changes one thing: which
server, or whether room is kept. So a difference is that of the policy, not of a careless program round it.
"""

from __future__ import annotations

from dataclasses import replace

import xxhash

from lemonhall import decide
from lemonhall import interface as i
from lemonhall.interface import ServerState


def able(front: decide.Front, s: decide.Session) -> list[decide.MediaServer]:
    """Servers that a set-up may go to at all."""
    return [
        b
        for b in front.server_list
        if b.entry.state == ServerState.READY
        and b.entry.id not in s.tried
        and front.now >= b.ejected_until
        and front.slow_start_allows(b)
        and not (s.paid and b.failure_score > decide.MAX_SCORE_FOR_PAID)
    ]


class RandomChoice(decide.Front):
    """One server at random."""

    def pick_servers(self, s: decide.Session) -> list[decide.MediaServer]:
        found = able(self, s)
        return [self.random.choice(found)] if found else []


class LeastLoaded(decide.Front):
    """The server that is known to have the most room, of all."""

    def pick_servers(self, s: decide.Session) -> list[decide.MediaServer]:
        found = able(self, s)
        return [max(found, key=self.free_share)] if found else []


class TwoChoices(decide.Front):
    """The less loaded of two at random, first come, first served: no reserves, no sub-rating."""

    def find_allocation(self, box: decide.MediaServer, premium: bool, kb: float) -> str:
        return "pool" if self.room(box) >= kb else ""

    def sub_rate(self, box: decide.MediaServer, s: decide.Session) -> bool:
        return False


class StaticSplit(decide.Front):
    """Each title has its server, by rendezvous hash; the next one only if that may not be used."""

    def pick_servers(self, s: decide.Session) -> list[decide.MediaServer]:
        def weight(box: decide.MediaServer) -> int:
            return xxhash.xxh3_64_intdigest(f"{s.request.title}/{box.entry.zone}/{box.entry.id}".encode())

        return sorted(able(self, s), key=weight)[:1]


class IgnoresDrains(decide.Front):
    """A planted fault: draining servers are taken for ready."""

    def on_server_list(self, event: i.ServerList) -> None:
        lines = tuple(
            replace(s, state=ServerState.READY) if s.state == ServerState.DRAINING else s
            for s in event.servers
        )
        super().on_server_list(replace(event, servers=lines))


class NeverSubRates(decide.Front):
    """A planted loss: no low session ever makes room for a premium one."""

    def sub_rate(self, box: decide.MediaServer, s: decide.Session) -> bool:
        return False


class OtherLuck(decide.Front):
    """The module with other draws of its own: as good as the module, and never the same."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__(settings, seed + 7919)


POLICIES: dict[str, type[decide.Front]] = {
    "module": decide.Front,
    "random": RandomChoice,
    "least-loaded": LeastLoaded,
    "two-choices": TwoChoices,
    "static": StaticSplit,
    "ignores-drains": IgnoresDrains,
    "never-sub-rates": NeverSubRates,
    "other-luck": OtherLuck,
}
