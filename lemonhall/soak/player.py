"""Plays a schedule: starts everything, lets the events happen, and returns the record."""

from __future__ import annotations

import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from lemonhall.loop import Loop
from lemonhall.problem import BadInput
from lemonhall.soak.discovery import Discovery
from lemonhall.soak.media_server import MediaServer, node_address
from lemonhall.soak.nodes import NEW_CONNECTIONS_AFTER_TERM_S, Node
from lemonhall.soak.record import NEVER, ListState, Record
from lemonhall.soak.schedule import DiscoveryMode, Event, EventKind, Schedule
from lemonhall.soak.settings import make_configuration
from lemonhall.soak.viewers import NodeViewers

START_TIMEOUT_S = 20.0
MIN_SERVERS_UP = 2


@dataclass
class Trial:
    """What came of a schedule. `exercised` counts what was in flight when events happened."""

    record: Record
    exercised: dict[str, int]


class Player:
    """One trial in this process, with the nodes as child processes."""

    def __init__(self, schedule: Schedule, root: Path, folder: Path) -> None:
        self.schedule, self.random = schedule, Random(schedule.seed)
        self.loop, self.record = Loop(), Record()
        self.began_at = self.loop.now()
        self.exercised: dict[str, int] = {}
        site, nodes = schedule.site, schedule.nodes
        self.discovery = Discovery(self.loop, self.record, nodes)
        self.discovery.now = self.now
        self.servers = [self.make_server(number) for number in range(schedule.servers)]
        self.next_server_number = schedule.servers
        for server in self.servers:
            self.list_without_event(server)
        self.discovery.first_entries = list(self.discovery.entries.values())
        self.nodes = [
            Node(self.loop, self.record, index, site, root, folder, self.configuration_of)
            for index in range(nodes)
        ]
        self.viewers = [
            NodeViewers(self.loop, self.record, Random(schedule.seed + index), site, index)
            for index in range(nodes)
        ]
        for node, viewers in zip(self.nodes, self.viewers, strict=True):
            node.now = viewers.now = self.now
            node.on_ready, node.on_term = self.on_node_ready, self.on_node_terminated

    def now(self) -> float:
        return self.loop.now() - self.began_at

    def make_server(self, number: int) -> MediaServer:
        server = MediaServer(self.loop, self.record, self.random, number, self.schedule.nodes)
        server.now = self.now
        server.set_up_s, server.session_s = self.schedule.site.set_up_s, self.schedule.site.session_s
        server.is_requested = self.record.requests.__contains__
        return server

    def list_without_event(self, server: MediaServer) -> None:
        """Into the list of the start, which is event 1."""
        self.discovery.change(server, ListState.READY)
        self.discovery.number -= 1
        self.record.list_changes.pop()

    def configuration_of(self, index: int) -> dict[str, Any]:
        """The configuration of a node, with the list as it stands and the address of discovery."""
        discovery = node_address(index), self.discovery.ports[index]
        entries = [
            {
                "id": entry.server.id,
                "addr": f"{node_address(index)}:{entry.server.port}",
                "zone": "hall-a",
                "kind": "box-3c",
                "cell": 0,
                "state": "draining" if entry.draining else "up",
                "weight": 1,
                "started_ms": entry.started_ms,
            }
            for entry in self.discovery.entries.values()
        ]
        listen, seed = self.nodes[index].address, self.random.getrandbits(64)
        schedule = self.schedule
        return make_configuration(
            schedule.site, schedule.nodes, index, seed, listen, discovery, self.discovery.number, entries
        )

    # Nodes and viewers

    def on_node_ready(self, index: int) -> None:
        process = len(self.record.processes_of(index)) - 1
        self.viewers[index].on_node_ready(self.nodes[index].address, process)

    def on_node_terminated(self, index: int) -> None:
        viewers = self.viewers[index]
        in_flight = sum(len(connection.open_requests) for connection in viewers.connections)
        self.count("set-ups in flight at SIGTERM", in_flight)
        self.loop.call_later(NEW_CONNECTIONS_AFTER_TERM_S, viewers.stop_connecting)

    def count(self, what: str, number: int = 1) -> None:
        self.exercised[what] = self.exercised.get(what, 0) + number

    # Events

    def play_event(self, event: Event) -> None:
        self.count(f"event {event.kind}" + (f" {event.detail}" if event.detail else ""))
        if event.kind is EventKind.TERMINATE:
            self.nodes[event.target].terminate()
        elif event.kind is EventKind.RECONFIGURE:
            self.discovery.move(event.target)
            self.nodes[event.target].reconfigure()
        elif event.kind is EventKind.DISCOVERY:
            self.discovery.set_mode(DiscoveryMode(event.detail), event.value)
        elif event.kind is EventKind.CROWD:
            for viewers in self.viewers:
                viewers.rate = self.schedule.requests_per_s * event.value
        elif event.kind is EventKind.RUDE:
            self.viewers[event.target].send_rudely()
        else:
            self.play_server_event(event.kind, self.servers[event.target])

    def play_server_event(self, kind: EventKind, server: MediaServer) -> None:
        troubled = self.discovery.mode is not DiscoveryMode.NORMAL
        if kind in (EventKind.DRAIN, EventKind.REMOVE, EventKind.RETURN, EventKind.REPLACE):
            self.count("changes told during trouble", int(troubled))
        if kind is EventKind.DRAIN:
            server.draining = True
            self.discovery.change(server, ListState.DRAINING)
        elif kind is EventKind.REMOVE:
            server.end_process()
            self.discovery.change(server, ListState.GONE)
        elif kind is EventKind.RETURN:
            self.start_server(server)
            self.discovery.change(server, ListState.READY)
        elif kind is EventKind.REPLACE:
            self.replace_server(server)
        elif kind is EventKind.CRASH:
            server.end_process()
        elif kind is EventKind.RESTART:
            self.start_server(server)
            self.discovery.change(server, ListState.READY)
        elif kind is EventKind.RESET:
            server.reset_links()
        else:
            server.set_hanging(kind is EventKind.HANG)

    def start_server(self, server: MediaServer) -> None:
        if not server.alive:
            server.started_ms = int(time.time() * 1000)
            server.start()

    def replace_server(self, server: MediaServer) -> None:
        """Another server at the same address."""
        server.id = f"s-{self.next_server_number:08x}"
        self.next_server_number += 1
        self.start_server(server)
        self.discovery.change(server, ListState.READY)

    # The trial

    def run(self) -> Trial:
        """Raises `BadInput` if the nodes do not start."""
        try:
            self.start_nodes()
            self.began_at = self.loop.now()
            for process in self.record.processes:
                process.started_at, process.ready_at = 0.0, 0.0
            self.record.list_answers.clear()
            for viewers in self.viewers:
                viewers.start(self.schedule.requests_per_s)
            for event in self.schedule.events:
                self.loop.call_at(self.began_at + event.at_s, self.play_event, event)
            self.loop.longest_pass_s = 0.0
            self.loop.run(lambda: self.now() >= self.schedule.seconds)
            self.record.longest_stall_s = self.loop.longest_pass_s
            self.discovery.end_trouble(self.now())
            self.record.ended_at = self.now()
        finally:
            self.close()
        return Trial(self.record, self.exercised)

    def start_nodes(self) -> None:
        for node in self.nodes:
            node.start()
        limit = self.loop.now() + START_TIMEOUT_S
        self.loop.call_later(START_TIMEOUT_S, lambda: None)
        self.loop.run(lambda: self.all_ready or self.loop.now() > limit)
        if not self.all_ready:
            raise BadInput("nodes", f"not all were ready within {START_TIMEOUT_S:g} s")

    @property
    def all_ready(self) -> bool:
        return all(process.ready_at < NEVER for process in self.record.processes)

    def close(self) -> None:
        for viewers in self.viewers:
            viewers.stop()
        for node in self.nodes:
            node.stop()
        for viewers in self.viewers:
            viewers.close()
        for server in self.servers:
            for sock in server.listeners:
                sock.close()
            for link in server.links:
                link.stream.detach()
        for index in range(self.schedule.nodes):
            self.discovery.close_socket(index)
        self.loop.close()


def play(schedule: Schedule, root: Path, keep: Path | None = None) -> Trial:
    """Plays a schedule; logs and configurations of the nodes stay in `keep`."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        return Player(schedule, root, folder).run()
