"""Set-ups that were decided before a server's drain or removal was told and could not be sent until then."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.node.world import FakeServer, World, make_settings


def tell_drain(world: World, server: FakeServer, gone: bool) -> None:
    server.draining = True
    if gone:
        world.fake_resolver.servers.remove(server)
    world.fake_resolver.list_number += 1
    world.node.resolver.send_query()
    world.run_until(lambda: world.node.resolver.list_number == world.fake_resolver.list_number)


def one_set_up_a_connection() -> dict[str, object]:
    settings = make_settings()
    settings["caps"]["maxStreams"] = 1
    return settings


def set_ups_at(server: FakeServer) -> int:
    return len(server.received_messages("new"))


# Guards against set-ups that wait for a connection or for room and are written after the drain was told.
@pytest.mark.parametrize("gone", [False, True], ids=["draining", "gone"])
@pytest.mark.parametrize("cls", ["plain", "premium"])
def test_a_set_up_that_waits_for_room_goes_elsewhere_once_the_drain_is_told(
    worlds: Callable[..., World], cls: str, gone: bool
) -> None:
    world = worlds(servers=2, settings=one_set_up_a_connection())
    server, other = world.servers
    world.request_set_up("plain", left="4000")
    world.request_set_up("plain", left="4000")
    world.run_until(lambda: set_ups_at(server) == 1 and set_ups_at(other) == 1)
    node_side = world.node.servers.by_id[server.name]
    node_side.open_connection = lambda: None  # type: ignore[method-assign]
    world.node.servers.by_id[other.name].open_connection = lambda: None  # type: ignore[method-assign]
    refs = [world.request_set_up(cls, left="4000")["ref"] for _ in range(2)]
    world.run_until(lambda: node_side.waiting_attempts)
    tell_drain(world, server, gone)
    assert not node_side.waiting_attempts
    for busy in world.servers:  # room on every connection
        connection, message = busy.received_messages("new")[0]
        connection.send_data({"t": "up", "ref": message["ref"], "f": {}, "d": "v=0"})
    world.run_until(lambda: set_ups_at(other) == 2)  # one of those that waited has the room
    assert set_ups_at(server) == 1  # the one of before the drain
    assert not any(world.messages_for(ref, "down") for ref in refs)


# Guards against the same with a connection that comes up late.
@pytest.mark.parametrize("gone", [False, True], ids=["draining", "gone"])
def test_a_set_up_that_waits_for_a_connection_goes_elsewhere_once_the_drain_is_told(
    world: World, gone: bool
) -> None:
    server, other = world.servers
    connecting = world.node.servers.by_id[server.name]
    connecting.usable_connection = lambda: None  # type: ignore[method-assign]
    connecting.open_connection = lambda: None  # type: ignore[method-assign]
    refs = [world.request_set_up("plain", left="4000")["ref"] for _ in range(6)]
    world.run_until(lambda: connecting.waiting_attempts)
    tell_drain(world, server, gone)
    del connecting.usable_connection, connecting.open_connection  # a connection could come up now
    connecting.open_connection()
    world.run_until(lambda: {message["ref"] for _, message in other.received_messages("new")} == set(refs))
    world.pump()
    assert set_ups_at(server) == 0
