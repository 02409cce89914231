"""Tens of thousands of short sessions: no table of the node or the module grows with what has gone."""

from __future__ import annotations

import gc
import json
import socket
import tracemalloc
from collections import deque
from typing import Any

from tests.node.world import Peer, World

ROUNDS, AT_ONCE = 300, 40


def tables(world: World) -> dict[str, int]:
    """The size of each container that the node and the module hold on to, by where it stands."""
    found: dict[str, int] = {}

    def look(name: str, thing: Any) -> None:
        for key, value in vars(thing).items():
            bounded = getattr(value, "maxlen", None) is not None
            if isinstance(value, dict | list | set | deque) and not bounded:
                found[f"{name}.{key}"] = len(value)

    node = world.node
    for name, thing in (
        ("node", node),
        ("sessions", node.sessions),
        ("servers", node.servers),
        ("viewers", node.viewers),
        ("module", node.bridge.decider),
    ):
        look(name, thing)
    for server in node.servers.by_id.values():
        look("server", server)
    for link in node.viewers.links:
        look("viewer", link)
    found["loop.timers"] = len([t for t in world.loop.timers if t[2].is_pending])
    return found


def one_round(world: World, number: int) -> None:
    """A new connection, sessions of new ids, titles and viewers, all over; a server replaced at times."""
    viewer = Peer(socket.create_connection(world.address))
    lines = b""
    for n in range(AT_ONCE):
        made = world.new(key=f"{number * 1000 + n:016x}")
        made["f"]["extras"] = f"home:0;copies:4;top:2;viewer:{number * 1000 + n:016x}"
        lines += json.dumps(made).encode() + b"\n"
    viewer.say(lines)
    world.viewers = [viewer]

    def answered() -> bool:
        for server in world.servers:
            for link in server.links:
                for message in link.got:
                    if message["t"] == "new":
                        link.say({"t": "up", "ref": message["ref"], "f": {}, "d": "v=0"})
                        link.say({"t": "down", "ref": message["ref"], "f": {}, "c": 16})
                link.got.clear()
        ends = [m for m in viewer.got if m["t"] == "down"]
        return len(ends) == AT_ONCE

    world.until(answered)
    viewer.close()
    world.pump(2)
    world.now += 0.3
    if number % 20 == 0:
        world.names.seq += 1
        old = world.names.servers.pop(0)
        old.name = f"s-{number + 5000:08x}"  # another server at the address of one that has gone
        world.names.servers.append(old)
        world.pass_s(0.6)
    for server in world.servers:
        server.links = [link for link in server.links if not link.ended]


def test_nothing_grows_with_sessions_that_are_over() -> None:
    world = World()
    try:
        sizes, memory = [], []
        tracemalloc.start()
        for number in range(1, ROUNDS + 1):
            one_round(world, number)
            if number in (ROUNDS // 3, ROUNDS):
                gc.collect()
                sizes.append(tables(world))
                memory.append(tracemalloc.get_traced_memory()[0])
        assert world.node.counts["asked"] == ROUNDS * AT_ONCE
        grown = {k: (sizes[0].get(k, 0), n) for k, n in sizes[1].items() if n > sizes[0].get(k, 0) + 64}
        assert grown == {}
        assert memory[1] - memory[0] < 300_000, memory
    finally:
        tracemalloc.stop()
        world.close()


def test_the_look_at_tables_sees_one_that_grows() -> None:
    world = World()
    try:
        before = tables(world)
        world.node.sessions.by_ref.update({str(n): None for n in range(100)})  # type: ignore[misc]
        assert tables(world)["sessions.by_ref"] == before["sessions.by_ref"] + 100
        world.node.sessions.by_ref.clear()
    finally:
        world.close()
