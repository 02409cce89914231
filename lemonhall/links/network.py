"""The processes of a day, the links in effect between them, and the names that select processes. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from lemonhall.config.day import Day, LinkSpec, Shape
from lemonhall.links.pipe import UNIMPAIRED, combine_shapes

LIST, VIEWERS = "list", "viewers"


@dataclass(frozen=True)
class Endpoints:
    """The zone of each front and media server by name; the server list and the viewers have none."""

    fronts: dict[str, str]
    servers: dict[str, str]

    @classmethod
    def from_day(cls, day: Day) -> Endpoints:
        zones = day.terms.halls
        return cls({f.name: zones[f.hall] for f in day.fronts}, {b.name: zones[b.hall] for b in day.boxes})

    def resolve(self, name: str) -> frozenset[str]:
        """Returns the processes that `name` selects: one process, all fronts and servers of a zone, or all
        processes of a kind. Raises `KeyError` for an unknown name."""
        groups = {"fronts": self.fronts, "boxes": self.servers, LIST: [LIST], VIEWERS: [VIEWERS]}
        if name in groups:
            return frozenset(groups[name])
        zone_of = {**self.fronts, **self.servers}
        found = frozenset({name} & zone_of.keys()) or frozenset(
            p for p, zone in zone_of.items() if zone == name
        )
        if not found:
            raise KeyError(name)
        return found


@dataclass
class Network:
    """The links in effect by number: those of the day from the start, those of faults while they last."""

    endpoints: Endpoints
    active_links: dict[int, tuple[frozenset[str], frozenset[str], LinkSpec]] = field(default_factory=dict)

    def add_link(self, number: int, link: LinkSpec) -> None:
        self.active_links[number] = (
            self.endpoints.resolve(link.ends[0]),
            self.endpoints.resolve(link.ends[1]),
            link,
        )

    def remove_link(self, number: int) -> None:
        self.active_links.pop(number, None)

    def connects(self, link: LinkSpec, process: str, peer: str) -> bool:
        """Returns whether the two processes are at the two ends of a link, in either order."""
        first, second = self.endpoints.resolve(link.ends[0]), self.endpoints.resolve(link.ends[1])
        return (process in first and peer in second) or (peer in first and process in second)

    def effective_shape(self, source: str, destination: str) -> Shape:
        """Returns the combined shape of all links that apply to traffic from `source` to `destination`."""
        found = [
            link.shape
            for first, second, link in self.active_links.values()
            if (source in first and destination in second)
            or (not link.one_way and destination in first and source in second)
        ]
        return combine_shapes(found) if found else UNIMPAIRED
