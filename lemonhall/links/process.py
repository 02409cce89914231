"""The links of a day as one process: it is told who is where, what stands between whom, and obeys."""

from __future__ import annotations

import itertools
from dataclasses import asdict
from random import Random
from typing import Any

from lemonhall.config.day import Day, LinkSpec, Shape
from lemonhall.links.network import LIST, VIEWERS, Ends, Network
from lemonhall.links.relay import Address, Door, Wire
from lemonhall.loop import Loop
from lemonhall.standins.arrival import Looks
from lemonhall.standins.control import say
from lemonhall.standins.tap import Tap


def address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


def shown(at: Address) -> str:
    return f"{at[0]}:{at[1]}"


def link_from(told: dict[str, Any]) -> LinkSpec:
    return LinkSpec((told["ends"][0], told["ends"][1]), told["one_way"], Shape(**told["shape"]))


def link_to(link: LinkSpec) -> dict[str, Any]:
    """As a command holds it."""
    return {"ends": list(link.ends), "one_way": link.one_way, "shape": asdict(link.shape)}


class Links:
    """Commands: `wire` (who is where; answer: where each goes through), `aim`, `hold`, `lift`, `reset`."""

    def __init__(self, loop: Loop, tap: Tap, day: Day, seed: int) -> None:
        self.loop, self.tap, self.seed, self.looks = loop, tap, seed, Looks(loop)
        self.network = Network(Ends.of(day))
        for n, link in enumerate(day.links):
            self.network.hold(-1 - n, link)
        self.wires: dict[tuple[str, str, str], Wire] = {}  # by kind of socket, owner, other
        self.doors: dict[tuple[str, str], Door] = {}  # by who comes, to whom
        say(ready=True)

    def random(self, *words: str) -> Random:
        """Each link draws on its own: what passes one changes nothing at another."""
        return Random("/".join((str(self.seed), *words)))

    def command(self, asked: dict[str, Any]) -> None:
        act = getattr(self, "do_" + str(asked["do"]), None)
        if act is None:
            raise ValueError(f"no command of links: {asked['do']}")
        act(asked)

    def do_wire(self, asked: dict[str, Any]) -> None:
        """`members`, `peers`: addresses of fronts; `list`: of the box list. Boxes and fronts are aimed at."""
        through: dict[str, dict[str, dict[str, str]]] = {}
        for kind in ("members", "peers"):
            through[kind] = self.wire(kind, {name: address(at) for name, at in asked[kind].items()})
        fronts, boxes = self.network.ends.fronts, self.network.ends.boxes
        for front in fronts:
            self.door(front, LIST, counts_told=True).aim(address(asked["list"]))
            for box in boxes:
                self.door(front, box)
            self.door(VIEWERS, front)
        doors: dict[str, dict[str, str]] = {who: {} for who in (*fronts, VIEWERS)}
        through["doors"] = doors
        for (who, there), door in self.doors.items():
            doors[who][there] = shown(door.at)
        self.reshape()
        say(links=through)

    def wire(self, kind: str, at: dict[str, Address]) -> dict[str, dict[str, str]]:
        for one, other in itertools.permutations(at, 2):
            random = self.random(kind, one, other)
            self.wires[kind, one, other] = Wire(self.loop, one, other, at[one], random)
        for one, other in itertools.permutations(at, 2):
            self.wires[kind, one, other].back = self.wires[kind, other, one]
        return {one: {o: shown(self.wires[kind, one, o].at) for o in at if o != one} for one in at}

    def door(self, who: str, there: str, counts_told: bool = False) -> Door:
        random = self.random("tcp", who, there)
        made = self.doors[who, there] = Door(self.loop, who, there, random, self.tell, counts_told)
        return made

    def tell(self, what: str, **fields: Any) -> None:
        if what == "left":
            fields["since"] = round(self.looks.since_ms(), 2)
        self.tap.write("links", 0, what, **{"from" if k == "who" else k: v for k, v in fields.items()})

    def do_aim(self, asked: dict[str, Any]) -> None:
        """A box or a front is at an address from now on, or (without one) nowhere."""
        target = address(asked["at"]) if asked["at"] else None
        for (_, there), door in self.doors.items():
            if there == asked["end"]:
                door.aim(target)

    def do_hold(self, asked: dict[str, Any]) -> None:
        self.network.hold(asked["number"], link_from(asked["link"]))
        self.reshape()

    def do_lift(self, asked: dict[str, Any]) -> None:
        self.network.lift(asked["number"])
        self.reshape()

    def do_reset(self, asked: dict[str, Any]) -> None:
        link = link_from(asked["link"])
        for (who, there), door in self.doors.items():
            if self.network.between(link, who, there):
                if who == VIEWERS and door.pairs:
                    self.tell("late", there=there, who=who)
                    self.tell("fine", there=there, who=who)
                door.reset()

    def reshape(self) -> None:
        shape = self.network.shape
        for (_, one, other), wire in self.wires.items():
            wire.reshape(shape(one, other))
        for (who, there), door in self.doors.items():
            new = shape(who, there), shape(there, who)
            if new == (door.forth, door.back):
                continue
            if who == VIEWERS:  # what its viewers wait for is not the front's alone
                self.tell("fine" if new == (Shape(), Shape()) else "late", there=there, who=who)
            door.reshape(*new)
