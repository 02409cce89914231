"""What a client asked for that has left is not sent on, and what it ended is still ended.

docs/incidents/requests-of-clients-that-left.md has the failures that these guard against.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from typing import Any

import pytest

from lemonhall.node import bounds
from lemonhall.node.causes import FAILED
from lemonhall.node.used_refs import UsedRefs
from tests.node.test_liveness import releases_at
from tests.node.test_rare import LINGER_RESET, down, up
from tests.node.world import Peer, World

SENT_AT_ONCE = 500  # set-ups: about 170 KB


def connect_with_room(world: World) -> Peer:
    client = world.connect_viewer()
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
    return client


@pytest.mark.parametrize("cls", ["premium", "plain"])
def test_set_ups_of_a_client_that_has_closed_its_connection_are_not_sent_on(world: World, cls: str) -> None:
    """What was unread beyond 144 KB hid the close, and its first set-ups were sent on."""
    ref, server, _ = world.establish_session()
    client = connect_with_room(world)
    lines = [json.dumps(world.make_set_up(cls)).encode() + b"\n" for _ in range(SENT_AT_ONCE)]
    client.send_data(b"".join(lines) + json.dumps(down(ref, 16)).encode() + b"\n")
    client.close()
    world.run_until(lambda: releases_at(server, ref))  # what it sent before it left still counts
    assert [message["ref"] for s in world.servers for _, message in s.received_messages("new")] == [ref]
    assert not world.node.sessions.by_ref and world.node.open_set_up_count == 0
    assert world.node.sessions.open_bytes == 0


def test_set_ups_of_a_client_that_stays_are_all_answered(world: World) -> None:
    """The other way: a burst is read ahead and nothing of it is lost."""
    client = connect_with_room(world)
    refs: set[str] = set()

    def all_answered() -> bool:
        return len(client.received) == len(refs)

    for _ in range(3):
        set_ups = [world.make_set_up(left="0.5") for _ in range(SENT_AT_ONCE)]
        refs.update(message["ref"] for message in set_ups)
        client.send_data(b"".join(json.dumps(message).encode() + b"\n" for message in set_ups))
        world.run_until(all_answered)
    assert {message["ref"] for message in client.received} == refs


def test_what_is_read_ahead_is_bounded(world: World) -> None:
    client = connect_with_room(world)
    connection = list(world.node.viewers.connections)[-1]
    client.send_data(b'{"t":"hb","f":{}}\n' * 100_000)
    world.run_until(lambda: world.loop.run_once(0.0) or connection.deferred)
    connection.read_pending()
    read_size = bounds.MAX_READ_BYTES * 8
    assert connection.line_reader.size <= world.node.viewers.max_read_ahead_bytes + read_size


def test_a_reset_is_seen_behind_what_is_unread(world: World) -> None:
    client = connect_with_room(world)
    lines = [json.dumps(world.make_set_up()).encode() + b"\n" for _ in range(100)]
    client.send_data(b"".join(lines))
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    client.close()
    world.run_until(lambda: len(world.node.viewers.connections) == 1)
    assert not any(server.received_messages("new") for server in world.servers)


def come_back(world: World, message: dict[str, Any]) -> Peer:
    """Sends the same set-up, id included, on a new connection."""
    client = world.connect_viewer()
    client.send_data(message)
    return client


def count_set_ups(world: World, ref: str) -> int:
    return sum(m["ref"] == ref for server in world.servers for _, m in server.received_messages("new"))


@pytest.mark.parametrize("cls", ["premium", "plain"])
@pytest.mark.parametrize("before", ["left while it was open", "failed", "ended"])
def test_an_id_that_may_have_run_does_not_run_again(world: World, cls: str, before: str) -> None:
    """Its client had left, came again with the same id, and the session was set up twice."""
    client = world.connect_viewer()
    message = world.request_set_up(cls, viewer=client)
    ref = message["ref"]
    server, connection, _ = world.wait_for_set_up(ref)
    if before == "left while it was open":
        client.close()
    elif before == "failed":
        world.advance(2.0)
    else:
        connection.send_data(up(ref))
        world.run_until(lambda: world.messages_for(ref, "up"))
        client.send_data(down(ref, 16))
    world.run_until(lambda: ref not in world.node.sessions.by_ref)
    runs = count_set_ups(world, ref)
    again = come_back(world, message)
    world.run_until(lambda: again.received)
    assert [(m["t"], m["c"]) for m in again.received] == [("down", FAILED)]
    assert count_set_ups(world, ref) == runs
    world.establish_session(cls, viewer=again, left="1400")  # a new id is served


def test_an_id_that_never_ran_may_come_again(worlds: Callable[..., World]) -> None:
    """The other way: every media server refused it, or it was given up before it was sent."""
    world = worlds(servers=1)
    message = world.request_set_up()
    _, connection, _ = world.wait_for_set_up(message["ref"])
    connection.send_data(down(message["ref"], 34))
    world.run_until(lambda: world.messages_for(message["ref"], "down"))
    world.advance(10.0)
    come_back(world, message)
    world.run_until(lambda: count_set_ups(world, message["ref"]) == 2)


def test_used_refs_are_kept_for_their_time_and_in_bounded_number() -> None:
    refs = UsedRefs(3, 10.0)
    for now, ref in enumerate("abcd"):
        refs.add(ref, float(now))
    assert [refs.contains(ref, 4.0) for ref in "abcd"] == [False, True, True, True]
    assert not refs.contains("b", 11.1) and refs.contains("d", 12.9)
    refs.add("e", 12.9)
    assert list(refs.used_at) == ["d", "e"]
