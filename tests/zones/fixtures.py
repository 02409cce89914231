"""Settings of three zones and servers of a list, for tests."""

from __future__ import annotations

from lemonhall import interface as i
from lemonhall.zones import FailoverTiming, Intake, Tier, ZoneSettings

SAFE, PAID, NO_SPILL = 0, 1, 2
ZONE_SETTINGS = ZoneSettings(
    zones=("hall-a", "hall-b", "hall-c"),
    classes=(
        i.SessionClass(1.0, i.Repeat.SAFE, 1000, 4000),
        i.SessionClass(3.0, i.Repeat.PAID, 1000, 5000, floor=1),
        i.SessionClass(1.0, i.Repeat.SAFE, 1000, 4000),
    ),
    tiers=(Tier(0, 1, 0.25), Tier(0, 2, 0.1), Tier(1, 2, 0.25, overflow=True)),
    intakes=(Intake(1, 0.2),),
    timing=FailoverTiming(1000.0, 500.0, 10_000.0, 4.0, 60_000.0),
    no_spill=frozenset({NO_SPILL}),
    ladder_kb=(4.0, 8.0, 14.0, 24.0),
    places_by_kind=(30,),
    link_kb_per_weight=320.0,
    cold_from=0.1,
    warm_ms=8000.0,
)


def server(server_id: int, zone: int, cell: int, ready_at: float = 0.0, draining: bool = False) -> i.Server:
    state = i.ServerState.DRAINING if draining else i.ServerState.READY
    return i.Server(server_id, 0, 1.0, zone, cell, ready_at, state)


def servers_of(*zones: int, ready_at: float = 0.0, first: int = 0) -> list[i.Server]:
    """Four servers on two racks of each of the zones."""
    return [server(first + 10 * z + n, z, 2 * z + n % 2, ready_at) for z in zones for n in range(4)]
