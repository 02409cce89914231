"""Which processes there are, what stands between them now, and what a name of several means. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from lemonhall.config.day import Day, LinkSpec, Shape
from lemonhall.links.pipe import CLEAN, together

LIST, VIEWERS = "list", "viewers"


@dataclass(frozen=True)
class Ends:
    """Fronts and boxes by name, with their halls; beside them the box list and the viewers."""

    fronts: dict[str, str]
    boxes: dict[str, str]

    @classmethod
    def of(cls, day: Day) -> Ends:
        halls = day.terms.halls
        return cls({f.name: halls[f.hall] for f in day.fronts}, {b.name: halls[b.hall] for b in day.boxes})

    def named(self, name: str) -> frozenset[str]:
        """A process, a hall's fronts and boxes, or all of a kind. Raises `KeyError` for no name of any."""
        groups = {"fronts": self.fronts, "boxes": self.boxes, LIST: [LIST], VIEWERS: [VIEWERS]}
        if name in groups:
            return frozenset(groups[name])
        every = {**self.fronts, **self.boxes}
        found = frozenset({name} & every.keys()) or frozenset(n for n, hall in every.items() if hall == name)
        if not found:
            raise KeyError(name)
        return found


@dataclass
class Network:
    """What stands now, by its number: the day's links first, then faults as they come and go."""

    ends: Ends
    holding: dict[int, tuple[frozenset[str], frozenset[str], LinkSpec]] = field(default_factory=dict)

    def hold(self, number: int, link: LinkSpec) -> None:
        self.holding[number] = self.ends.named(link.ends[0]), self.ends.named(link.ends[1]), link

    def lift(self, number: int) -> None:
        self.holding.pop(number, None)

    def between(self, link: LinkSpec, one: str, other: str) -> bool:
        """Whether a link's ends are these two, in either order."""
        first, second = self.ends.named(link.ends[0]), self.ends.named(link.ends[1])
        return (one in first and other in second) or (other in first and one in second)

    def shape(self, source: str, target: str) -> Shape:
        """Of what goes from `source` to `target`."""
        found = [
            link.shape
            for first, second, link in self.holding.values()
            if (source in first and target in second)
            or (not link.one_way and target in first and source in second)
        ]
        return together(found) if found else CLEAN
