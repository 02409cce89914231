"""Settings of the failover between zones. Pure."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from functools import cached_property
from typing import Any, Protocol

from lemonhall import interface as i


@dataclass(frozen=True)
class Tier:
    """Sessions of the zone `hall` may use `share` of the links of the zone `to`. The tiers of a zone are
    tried in their order.

    `overflow`: also while `hall` is up, when it is full. `ZoneSettings.digest` contains the names of the
    class and its fields."""

    hall: int
    to: int
    share: float
    overflow: bool = False


@dataclass(frozen=True)
class Intake:
    """Limits on what a zone takes in from all others: share of its links, and set-ups/s; 0: no such limit.

    `ZoneSettings.digest` contains the names of the class and its fields.
    """

    hall: int
    links: float
    per_s: float = 0.0


@dataclass(frozen=True)
class FailoverTiming:
    """Times of detecting the loss and the recovery of a zone, in ms.

    `notice_ms`: time that evidence must hold; `probe_interval_ms`: interval of probes to a dark zone;
    `ramp_ms`: length of a recovery; `max_slowdown`: bound of the factor by which flaps lengthen it;
    `flap_memory_ms`: time after which a flap no longer counts.
    """

    notice_ms: float = 3000.0
    probe_interval_ms: float = 2000.0
    ramp_ms: float = 30_000.0
    max_slowdown: float = 8.0
    flap_memory_ms: float = 300_000.0


class Terms(Protocol):
    """The fields that are read of the service's terms."""

    @property
    def halls(self) -> tuple[str, ...]: ...
    @property
    def classes(self) -> tuple[i.SessionClass, ...]: ...
    @property
    def spills(self) -> Sequence[Any]: ...
    @property
    def takes_in(self) -> Sequence[Any]: ...
    @property
    def spilling(self) -> Any: ...
    @property
    def no_spill(self) -> frozenset[int]: ...
    @property
    def places_by_kind(self) -> tuple[int, ...]: ...
    @property
    def ladder_kb(self) -> tuple[float, ...]: ...
    @property
    def link_kb_per_weight(self) -> float: ...
    @property
    def cold_from(self) -> float: ...
    @property
    def warm_ms(self) -> float: ...


@dataclass(frozen=True)
class ZoneSettings:
    """Settings of all zones. Nothing is validated here: invalid settings are refused when they are loaded."""

    zones: tuple[str, ...]
    classes: tuple[i.SessionClass, ...]
    tiers: tuple[Tier, ...]
    intakes: tuple[Intake, ...]
    timing: FailoverTiming
    no_spill: frozenset[int]
    ladder_kb: tuple[float, ...]
    places_by_kind: tuple[int, ...]
    link_kb_per_weight: float
    cold_from: float
    warm_ms: float

    @classmethod
    def of(cls, terms: Terms) -> ZoneSettings:
        return cls(
            zones=terms.halls,
            classes=terms.classes,
            tiers=tuple(Tier(t.hall, t.to, t.share, t.overflow) for t in terms.spills),
            intakes=tuple(Intake(t.hall, t.links, t.per_s) for t in terms.takes_in),
            timing=FailoverTiming(
                terms.spilling.notice_ms,
                terms.spilling.trial_ms,
                terms.spilling.ramp_ms,
                terms.spilling.slowest,
                terms.spilling.forget_ms,
            ),
            no_spill=terms.no_spill,
            ladder_kb=terms.ladder_kb,
            places_by_kind=terms.places_by_kind,
            link_kb_per_weight=terms.link_kb_per_weight,
            cold_from=terms.cold_from,
            warm_ms=terms.warm_ms,
        )

    @cached_property
    def limits(self) -> tuple[tuple[int, float], ...]:
        """The zone that takes sessions in and the share of its links, of each tier and then each intake."""
        return tuple([(t.to, t.share) for t in self.tiers] + [(t.hall, t.links or 1.0) for t in self.intakes])

    @cached_property
    def digest(self) -> int:
        """Fronts share limits only with fronts that have the same tiers and intakes."""
        return zlib.crc32(repr((self.zones, self.tiers, self.intakes)).encode())

    def limits_of(self, tier: Tier) -> tuple[int, ...]:
        """Indexes of the limits that a session under a tier counts against."""
        own = [self.tiers.index(tier)]
        return tuple(own + [len(self.tiers) + n for n, t in enumerate(self.intakes) if t.hall == tier.to])

    def places(self, server: i.Server) -> int:
        table = self.places_by_kind
        return table[server.kind] if server.kind < len(table) else max(1, min(table))
