"""A connection to a media server on which an answer never arrives carries nothing more: others are used.

docs/incidents/a-connection-of-no-use-stays-in-use.md has the failure that these guard against.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from lemonhall.node import bounds
from tests.node.test_liveness import NOTE_INTERVAL_S, releases_at, send_note, settings_with_notes
from tests.node.test_rare import down
from tests.node.world import FakeServer, Peer, World

RELEASE_LIMIT_S = 8.0  # protocol: from the end of a session, where its release could not be sent
PAID_LIMIT_S = 9.0  # a paid set-up is waited for to its end
STREAMS = 4  # set-ups that one connection carries at once, by the settings


@pytest.fixture
def two_links(worlds: Callable[..., World]) -> tuple[World, FakeServer, list[str]]:
    """One server with two connections; the sessions `refs[:4]` were set up on the first of them."""
    settings = settings_with_notes(NOTE_INTERVAL_S)
    settings["classes"][0]["hardLimit"] = PAID_LIMIT_S * 1000
    world = worlds(servers=1, settings=settings)
    server = world.servers[0]
    refs = [world.request_set_up(left="3000")["ref"] for _ in range(STREAMS + 1)]
    for ref in refs:
        world.wait_for_set_up(ref)
    for ref in refs:
        _, connection, _ = world.wait_for_set_up(ref)
        connection.send_data({"t": "up", "ref": ref, "f": {}, "d": "v=0"})
    world.run_until(lambda: all(world.messages_for(ref, "up") for ref in refs))
    assert len(server.connections) == 2
    return world, server, refs


def lose_an_answer(world: World) -> Peer:
    """The set-up is sent and nothing comes back; returns its connection."""
    ref = world.request_set_up(left="3000")["ref"]
    _, connection, _ = world.wait_for_set_up(ref)
    return connection


def keep_alive(world: World, seconds: float, connection: Peer, ref: str) -> None:
    """Notes on a session of another connection, as from a server that goes on."""
    for _ in range(round(seconds / 0.5)):
        send_note(world, connection, ref)
        world.advance(0.5)


def test_the_end_of_a_session_arrives_although_its_connection_is_of_no_use(
    two_links: tuple[World, FakeServer, list[str]],
) -> None:
    """review/7: notes on the other connection hid it, none was opened, and the end was never told."""
    world, server, refs = two_links
    dead = lose_an_answer(world)
    assert dead is server.connections[0]
    other = server.connections[1]
    keep_alive(world, RELEASE_LIMIT_S - 1.0, other, refs[-1])  # `refs[0]` has ended meanwhile
    assert len(server.connections) >= 3
    server.connections[2].send_data(down(refs[0], 16))  # "also on the next one opened"
    world.run_until(lambda: world.messages_for(refs[0], "down"))
    keep_alive(world, 4.0, other, refs[-1])
    assert dead.closed and not other.closed
    assert len(server.connections) <= 4  # one when it was found, one after its end
    assert not any(world.messages_for(ref, "down") for ref in refs[1:])


def test_nothing_is_sent_on_a_connection_of_no_use(two_links: tuple[World, FakeServer, list[str]]) -> None:
    """review/7: set-ups and releases went on to the oldest connection."""
    world, server, refs = two_links
    open_ref = world.request_set_up("premium", left="8900")["ref"]  # keeps the connection open
    _, dead, _ = world.wait_for_set_up(open_ref)
    keep_alive(world, bounds.UNRESPONSIVE_AFTER_S + 0.5, server.connections[1], refs[-1])
    assert not dead.closed
    before = len(dead.received)
    for ref in refs[:3]:
        world.viewer.send_data(down(ref, 16))
        world.run_until(lambda ref=ref: releases_at(server, ref))  # type: ignore[misc]
    world.wait_for_set_up(world.request_set_up()["ref"])
    assert len(dead.received) == before


def test_a_release_that_a_connection_of_no_use_took_is_sent_again(
    two_links: tuple[World, FakeServer, list[str]],
) -> None:
    """review/9: the server held the session to the end, beside its viewer's next one."""
    world, server, refs = two_links
    dead = lose_an_answer(world)
    world.viewer.send_data(down(refs[0], 16))
    world.run_until(lambda: releases_at(server, refs[0]))
    assert down(refs[0], 31)["c"] in releases_at(server, refs[0])
    keep_alive(world, bounds.UNRESPONSIVE_AFTER_S + 1.0, server.connections[1], refs[-1])
    heard: list[Any] = [
        connection for connection, m in server.received_messages("down") if m["ref"] == refs[0]
    ]
    assert heard[0] is dead and len(heard) == 2 and heard[1] is not dead


def test_a_slow_server_keeps_its_connections(two_links: tuple[World, FakeServer, list[str]]) -> None:
    """The other way: answers that are 3 s late, and hurried set-ups without one, open no connection."""
    world, server, refs = two_links
    slow = world.request_set_up(left="2000")["ref"]
    _, connection, _ = world.wait_for_set_up(slow)
    for _ in range(3):
        world.request_set_up(left="20")
        world.advance(1.0)
    connection.send_data({"t": "up", "ref": slow, "f": {}, "d": "v=0"})
    keep_alive(world, 6.0, connection, refs[0])
    assert len(server.connections) == 2 and not world.node.counts["unresponsive"]


def test_a_connection_that_works_again_is_used_again(two_links: tuple[World, FakeServer, list[str]]) -> None:
    """The other way: its answer was only late, and another set-up keeps the connection open."""
    world, server, refs = two_links
    ref = world.request_set_up("premium", left="8900")["ref"]
    _, late, _ = world.wait_for_set_up(ref)
    keep_alive(world, 6.0, server.connections[1], refs[-1])
    assert world.node.counts["unresponsive"] == 1 and not late.closed
    late.send_data({"t": "up", "ref": ref, "f": {}, "d": "v=0"})
    world.run_until(lambda: world.messages_for(ref, "up"))
    assert world.wait_for_set_up(world.request_set_up()["ref"])[1] is late


def test_a_server_that_hangs_gets_few_new_connections(worlds: Callable[..., World]) -> None:
    """Each set-up that it swallows may cost two connections at most, and an idle one is not replaced."""
    world = worlds(servers=1, settings=settings_with_notes(NOTE_INTERVAL_S))
    ref, server, connection = world.establish_session()
    for _ in range(10):
        world.request_set_up(left="1000")
        keep_alive(world, 1.0, connection, ref)
    assert len(server.connections) <= 2
