"""Thousands of short sessions: no table of the node or the decider grows with sessions that have ended."""

from __future__ import annotations

import gc
import json
import socket
import tracemalloc
from collections import deque
from typing import Any

from tests.node.world import Peer, World

ROUNDS, SESSIONS_PER_ROUND = 300, 40


def table_sizes(world: World) -> dict[str, int]:
    """The size of each unbounded container of the node and the decider, by its path."""
    sizes: dict[str, int] = {}

    def add_sizes(name: str, owner: Any) -> None:
        for key, value in vars(owner).items():
            bounded = getattr(value, "maxlen", None) is not None
            if isinstance(value, dict | list | set | deque) and not bounded:
                sizes[f"{name}.{key}"] = len(value)

    node = world.node
    for name, owner in (
        ("node", node),
        ("sessions", node.sessions),
        ("servers", node.servers),
        ("viewers", node.viewers),
        ("decider", node.bridge.decider),
    ):
        add_sizes(name, owner)
    for server in node.servers.by_id.values():
        add_sizes("server", server)
    for connection in node.viewers.connections:
        add_sizes("viewer", connection)
    sizes["loop.timers"] = len([entry for entry in world.loop.timers if entry[2].is_pending])
    return sizes


def play_round(world: World, number: int) -> None:
    """Sessions with new refs, titles and viewers on a new connection, all ended; at times a new server."""
    viewer = Peer(socket.create_connection(world.address))
    lines = b""
    for n in range(SESSIONS_PER_ROUND):
        message = world.make_set_up(key=f"{number * 1000 + n:016x}")
        message["f"]["extras"] = f"home:0;copies:4;top:2;viewer:{number * 1000 + n:016x}"
        lines += json.dumps(message).encode() + b"\n"
    viewer.send_data(lines)
    world.viewers = [viewer]

    def answered() -> bool:
        for server in world.servers:
            for connection in server.connections:
                for message in connection.received:
                    if message["t"] == "new":
                        connection.send_data({"t": "up", "ref": message["ref"], "f": {}, "d": "v=0"})
                        connection.send_data({"t": "down", "ref": message["ref"], "f": {}, "c": 16})
                connection.received.clear()
        releases = [message for message in viewer.received if message["t"] == "down"]
        return len(releases) == SESSIONS_PER_ROUND

    world.run_until(answered)
    viewer.close()
    world.pump(2)
    world.now += 0.3
    if number % 20 == 0:
        world.fake_resolver.list_number += 1
        old = world.fake_resolver.servers.pop(0)
        old.name = f"s-{number + 5000:08x}"  # a new server at the address of a removed one
        world.fake_resolver.servers.append(old)
        world.advance(0.6)
    for server in world.servers:
        server.connections = [connection for connection in server.connections if not connection.closed]


def test_no_table_grows_with_ended_sessions() -> None:
    world = World()
    try:
        sizes, memory_bytes = [], []
        tracemalloc.start()
        for number in range(1, ROUNDS + 1):
            play_round(world, number)
            if number in (ROUNDS // 3, ROUNDS):
                gc.collect()
                sizes.append(table_sizes(world))
                memory_bytes.append(tracemalloc.get_traced_memory()[0])
        assert world.node.counts["asked"] == ROUNDS * SESSIONS_PER_ROUND
        grown = {
            name: (sizes[0].get(name, 0), size)
            for name, size in sizes[1].items()
            if size > sizes[0].get(name, 0) + 64
        }
        assert grown == {}
        assert memory_bytes[1] - memory_bytes[0] < 300_000, memory_bytes
    finally:
        tracemalloc.stop()
        world.close()


def test_table_sizes_detects_a_growing_table() -> None:
    world = World()
    try:
        before = table_sizes(world)
        world.node.sessions.by_ref.update({str(n): None for n in range(100)})  # type: ignore[misc]
        assert table_sizes(world)["sessions.by_ref"] == before["sessions.by_ref"] + 100
        world.node.sessions.by_ref.clear()
    finally:
        world.close()
