"""The process that emulates the links of a day: it runs the relays and executes the day runner's commands."""

from __future__ import annotations

import itertools
from dataclasses import asdict
from random import Random
from typing import Any

from lemonhall.config.day import Day, LinkSpec, Shape
from lemonhall.links.network import LIST, VIEWERS, Endpoints, Network
from lemonhall.links.relay import Address, DatagramRelay, StreamRelay
from lemonhall.loop import Loop
from lemonhall.standins.arrival import Looks
from lemonhall.standins.control import say
from lemonhall.standins.tap import Tap


def parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


def format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def link_from_json(value: dict[str, Any]) -> LinkSpec:
    return LinkSpec((value["ends"][0], value["ends"][1]), value["one_way"], Shape(**value["shape"]))


def link_to_json(link: LinkSpec) -> dict[str, Any]:
    """Returns the link as the commands `hold` and `reset` carry it."""
    return {"ends": list(link.ends), "one_way": link.one_way, "shape": asdict(link.shape)}


class NetworkEmulator:
    """Executes the commands `wire`, `aim`, `hold`, `lift` and `reset`, one `do_*` method each.

    `wire` gives the addresses of the processes; its answer gives the address of the relay for each pair.
    """

    def __init__(self, loop: Loop, tap: Tap, day: Day, seed: int) -> None:
        self.loop, self.tap, self.seed, self.looks = loop, tap, seed, Looks(loop)
        self.network = Network(Endpoints.from_day(day))
        for index, link in enumerate(day.links):
            self.network.add_link(-1 - index, link)  # negative: the links of faults have positive numbers
        # By the kind of socket (`members`, `peers`), the sender and the receiver.
        self.datagram_relays: dict[tuple[str, str, str], DatagramRelay] = {}
        self.stream_relays: dict[tuple[str, str], StreamRelay] = {}  # by client, server
        say(ready=True)

    def create_random(self, *names: str) -> Random:
        """Returns the random generator of one relay. Each relay has its own, so that the traffic of one does
        not change what happens at another."""
        return Random("/".join((str(self.seed), *names)))

    def command(self, asked: dict[str, Any]) -> None:
        handler = getattr(self, "do_" + str(asked["do"]), None)
        if handler is None:
            raise ValueError(f"unknown command of the link emulator: {asked['do']}")
        handler(asked)

    def do_wire(self, command: dict[str, Any]) -> None:
        """Creates all relays. `members` and `peers` give the addresses of fronts, `list` that of the server
        list; the targets of fronts and servers follow with `aim`."""
        relay_addresses: dict[str, dict[str, dict[str, str]]] = {}
        for kind in ("members", "peers"):
            relay_addresses[kind] = self.add_datagram_relays(
                kind, {name: parse_address(address) for name, address in command[kind].items()}
            )
        fronts, servers = self.network.endpoints.fronts, self.network.endpoints.servers
        for front in fronts:
            self.add_stream_relay(front, LIST, records_delivery=True).set_target(
                parse_address(command["list"])
            )
            for server in servers:
                self.add_stream_relay(front, server)
            self.add_stream_relay(VIEWERS, front)
        by_client: dict[str, dict[str, str]] = {client: {} for client in (*fronts, VIEWERS)}
        relay_addresses["doors"] = by_client
        for (client, server), relay in self.stream_relays.items():
            by_client[client][server] = format_address(relay.address)
        self.apply_shapes()
        say(links=relay_addresses)

    def add_datagram_relays(self, kind: str, addresses: dict[str, Address]) -> dict[str, dict[str, str]]:
        """Creates a relay for each ordered pair; returns the relay addresses by sender and receiver."""
        for sender, receiver in itertools.permutations(addresses, 2):
            random = self.create_random(kind, sender, receiver)
            self.datagram_relays[kind, sender, receiver] = DatagramRelay(
                self.loop, sender, receiver, addresses[sender], random
            )
        for sender, receiver in itertools.permutations(addresses, 2):
            self.datagram_relays[kind, sender, receiver].reverse = self.datagram_relays[
                kind, receiver, sender
            ]
        return {
            sender: {
                r: format_address(self.datagram_relays[kind, sender, r].address)
                for r in addresses
                if r != sender
            }
            for sender in addresses
        }

    def add_stream_relay(self, client: str, server: str, records_delivery: bool = False) -> StreamRelay:
        random = self.create_random("tcp", client, server)
        relay = self.stream_relays[client, server] = StreamRelay(
            self.loop, client, server, random, self.write_event, records_delivery
        )
        return relay

    def write_event(self, event: str, **fields: Any) -> None:
        """Writes an event to the tap, where the field `who` is named `from`.

        `left` gets the field `since`: the time in ms before which the end cannot have arrived.
        """
        if event == "left":
            fields["since"] = round(self.looks.since_ms(), 2)
        self.tap.write("links", 0, event, **{"from" if k == "who" else k: v for k, v in fields.items()})

    def do_aim(self, command: dict[str, Any]) -> None:
        """Sets the address of a server or a front; an empty one means that the process is down."""
        target = parse_address(command["at"]) if command["at"] else None
        for (_, server), relay in self.stream_relays.items():
            if server == command["end"]:
                relay.set_target(target)

    def do_hold(self, command: dict[str, Any]) -> None:
        """Puts the link of a fault into effect."""
        self.network.add_link(command["number"], link_from_json(command["link"]))
        self.apply_shapes()

    def do_lift(self, command: dict[str, Any]) -> None:
        """Ends the effect of a link that `hold` added."""
        self.network.remove_link(command["number"])
        self.apply_shapes()

    def do_reset(self, command: dict[str, Any]) -> None:
        """Resets all connections between the two ends of a link."""
        link = link_from_json(command["link"])
        for (client, server), relay in self.stream_relays.items():
            if self.network.connects(link, client, server):
                if client == VIEWERS and relay.connections:
                    self.write_event("late", there=server, who=client)
                    self.write_event("fine", there=server, who=client)
                relay.reset()

    def apply_shapes(self) -> None:
        """Gives each relay the shapes of the links that are in effect now."""
        effective_shape = self.network.effective_shape
        for (_, sender, receiver), datagram_relay in self.datagram_relays.items():
            datagram_relay.set_shape(effective_shape(sender, receiver))
        for (client, server), stream_relay in self.stream_relays.items():
            shapes = effective_shape(client, server), effective_shape(server, client)
            if shapes == (stream_relay.request_shape, stream_relay.reply_shape):
                continue
            if (
                client == VIEWERS
            ):  # while the link is impaired, the front alone does not cause the viewers' delays
                self.write_event("fine" if shapes == (Shape(), Shape()) else "late", there=server, who=client)
            stream_relay.set_shapes(*shapes)
