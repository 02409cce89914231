"""What clients make a node hold is bounded by its memory limit, however many of them there are.

docs/incidents/large-requests-filled-the-memory.md has the failure that these guard against.
"""

from __future__ import annotations

import socket

from lemonhall.front.node.viewer_connection import ViewerConnection
from lemonhall.node.causes import REFUSED
from tests.node.test_rare import down, up
from tests.node.world import Peer, World

LARGE = "x" * 15_000


def request_large(world: World, viewer: Peer) -> str:
    message = {**world.make_set_up(), "d": LARGE}
    viewer.send_data(message)
    return str(message["ref"])


def test_descriptions_of_open_set_ups_take_a_bounded_part_of_the_memory(world: World) -> None:
    """128 on each of 460 connections could hold 900 MB; a play with 400 clients reached 260 of 192 MB."""
    assert world.node.sessions.max_open_bytes == world.node.config.max_memory_bytes // 8
    world.node.sessions.max_open_bytes = 2 * len(LARGE) + 2_000
    clients = [world.connect_viewer() for _ in range(4)]
    refs = [request_large(world, client) for client in clients]
    world.run_until(lambda: sum(bool(world.messages_for(ref)) for ref in refs) == 2)
    refused = [ref for ref in refs if world.messages_for(ref)]
    assert [m["c"] for ref in refused for m in world.messages_for(ref)] == [REFUSED] * 2
    world.establish_session()  # there is room for an ordinary one
    for client, ref in zip(clients, refs, strict=True):
        client.send_data(down(ref, 16))
    world.run_until(lambda: world.node.sessions.open_bytes == 0)
    world.wait_for_set_up(request_large(world, clients[0]))


def test_a_session_that_stands_holds_no_description(world: World) -> None:
    """Sessions stand for a minute, and up to 20,000 of them; only the set-up needs the description."""
    ref = request_large(world, world.viewer)
    _, connection, message = world.wait_for_set_up(ref)
    assert message["d"] == LARGE
    connection.send_data(up(ref))
    world.run_until(lambda: world.messages_for(ref, "up"))
    session = world.node.sessions.by_ref[ref]
    assert session.set_up.description == "" and world.node.sessions.open_bytes == 0
    assert session.attempt and session.attempt.line == b""


def test_what_viewers_leave_unread_takes_a_bounded_part_of_the_memory(world: World) -> None:
    """256 KiB on each of 460 connections are 118 MB: the largest backlogs go first."""
    viewers = world.node.viewers
    assert viewers.max_backlog_bytes == world.node.config.max_memory_bytes // 8
    known = set(viewers.connections)
    silent = [world.connect_viewer() for _ in range(3)]
    for peer in silent:
        world.viewers.remove(peer)  # nobody reads it from here on
    connections: list[ViewerConnection] = [c for c in viewers.connections if c not in known]
    for connection, size in zip(connections, (200_000, 250_000, 220_000), strict=True):
        connection.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connection.send(b" " * size + b"\n")
    backlogs = [connection.stream.backlog_bytes for connection in connections]
    assert 0 < backlogs[0] < backlogs[2] < backlogs[1]
    viewers.max_backlog_bytes = sum(backlogs)
    viewers.bound_backlogs()
    assert all(connection.usable for connection in connections)
    viewers.max_backlog_bytes = sum(backlogs) - 1
    viewers.bound_backlogs()
    assert [connection.usable for connection in connections] == [True, False, True]
    assert not world.viewer.closed and world.node.counts["viewer_reads_nothing"] == 1
    for peer in silent:
        peer.close()
