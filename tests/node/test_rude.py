"""Abusive viewers get an error or a close within the time limit and do not affect other viewers."""

from __future__ import annotations

import json
from collections.abc import Callable
from contextlib import suppress

import pytest

from lemonhall.node import bounds
from lemonhall.node.causes import REFUSED
from tests.node.world import Peer, World

INVALID_LINES = [
    b"noise\n",
    b"\xff\xff\xff\n",
    b"[]\n",
    b'{"t":"new"}\n',
    b'{"t":"new","ref":"short","f":{}}\n',
    b"[" * 16000 + b"\n",
    b"x" * 17000,
]


def rejected(world: World, viewer: Peer) -> Callable[[], bool]:
    return lambda: viewer.closed or any(m["t"] == "down" for m in viewer.received)


@pytest.mark.parametrize("data", INVALID_LINES, ids=lambda d: repr(d[:20]))
def test_an_unreadable_line_closes_only_its_own_connection(world: World, data: bytes) -> None:
    abuser = world.connect_viewer()
    abuser.send_data(data)
    world.run_until(lambda: abuser.closed)
    world.establish_session()


def test_invalid_fields_get_an_error_and_are_not_forwarded(world: World) -> None:
    abuser = world.connect_viewer()
    invalid = [
        world.make_set_up("nobody"),
        world.make_set_up(left="-1"),
        world.make_set_up(tenant="x"),
        world.make_set_up(key="?"),
    ]
    for message in invalid[:2]:
        abuser.send_data(message)
    world.run_until(lambda: len(abuser.received) == 2)
    assert [m["c"] for m in abuser.received] == [100, 100]
    for message in invalid[2:]:
        abuser.send_data(message)
    world.run_until(lambda: abuser.closed)  # too many of them: the connection is closed
    assert all(not server.received_messages("new") for server in world.servers)


@pytest.mark.parametrize("start", [b"", b'{"t":"new","ref":'])
def test_silent_and_incomplete_connections_are_closed_within_three_seconds(
    world: World, start: bytes
) -> None:
    abuser = world.connect_viewer()
    abuser.send_data(start)
    world.advance(2.9)
    assert abuser.closed and not world.viewer.received
    # The ordinary viewer is closed too, because it has sent nothing; it may reconnect.
    assert not world.node.viewers.connections


def test_a_ref_in_use_gets_no_second_answer(world: World) -> None:
    set_up = world.request_set_up()
    _, connection, _ = world.wait_for_set_up(set_up["ref"])
    abuser = world.connect_viewer()
    abuser.send_data({**set_up, "d": "v=0 another"})
    world.run_until(lambda: abuser.closed)
    assert abuser.received == []
    connection.send_data({"t": "up", "ref": set_up["ref"], "f": {}, "d": "v=0 mine"})
    world.run_until(lambda: world.messages_for(set_up["ref"]))
    assert [m["d"] for m in world.messages_for(set_up["ref"])] == ["v=0 mine"]


def test_invalid_fields_under_a_foreign_ref_get_no_answer(world: World) -> None:
    set_up = world.request_set_up()
    world.wait_for_set_up(set_up["ref"])
    abuser = world.connect_viewer()
    abuser.send_data(world.make_set_up("nobody", ref=set_up["ref"]))
    world.run_until(lambda: abuser.closed)
    assert abuser.received == [] and world.messages_for(set_up["ref"]) == []


def test_a_viewer_cannot_give_up_a_foreign_set_up(world: World) -> None:
    set_up = world.request_set_up()
    world.wait_for_set_up(set_up["ref"])
    abuser = world.connect_viewer()
    abuser.send_data({"t": "down", "ref": set_up["ref"], "f": {}, "c": 16})
    world.pump()
    assert set_up["ref"] in world.node.sessions.by_ref


def test_hundreds_of_set_ups_given_up_at_once_leave_no_state(world: World) -> None:
    abuser = world.connect_viewer()
    lines = b""
    for n in range(400):
        message = world.make_set_up(ref=f"{n + 5000:016x}")
        lines += json.dumps(message).encode() + b"\n"
        lines += json.dumps({"t": "down", "ref": message["ref"], "f": {}, "c": 16}).encode() + b"\n"
    for start in range(0, len(lines), 16000):
        abuser.send_data(lines[start : start + 16000])
        world.pump(3)
    world.pump()
    assert world.node.sessions.by_ref == {} and all(
        not server.waiting_attempts for server in world.node.servers.by_id.values()
    )
    world.establish_session()


def test_open_set_ups_per_connection_are_limited(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(bounds, "MAX_OPEN_SET_UPS", 8)
    abuser = world.connect_viewer()
    refs = [f"{n + 5000:016x}" for n in range(40)]
    abuser.send_data(b"".join(json.dumps(world.make_set_up(ref=ref)).encode() + b"\n" for ref in refs))
    world.run_until(lambda: all(world.messages_for(ref) for ref in refs[8:]))
    assert [m["c"] for ref in refs[8:] for m in world.messages_for(ref)] == [REFUSED] * 32
    assert world.node.counts["asked"] == world.node.open_set_up_count == 8 and not abuser.closed
    for ref in refs[:8]:  # a set-up too many closed the connection, and these got no answer
        _, connection, _ = world.wait_for_set_up(ref)
        connection.send_data({"t": "up", "ref": ref, "f": {}, "d": "v=0"})
    world.run_until(lambda: all(world.messages_for(ref, "up") for ref in refs[:8]))
    world.establish_session(viewer=world.connect_viewer())


def test_hundreds_of_connections_leave_room_for_ordinary_viewers(worlds: Callable[..., World]) -> None:
    world = worlds(sockets=64)
    ref, _, connection = world.establish_session()
    connections = [world.connect_viewer() for _ in range(100)]
    assert len(world.node.viewers.connections) <= 64 * bounds.VIEWER_DESCRIPTORS_SHARE
    assert sum(not viewer.closed for viewer in connections) < 64 * bounds.VIEWER_DESCRIPTORS_SHARE
    assert not world.viewer.closed  # it has a session; connections without one are evicted first
    world.establish_session()
    connection.send_data({"t": "down", "ref": ref, "f": {}, "c": 16})
    world.run_until(lambda: world.messages_for(ref, "down"))


def test_a_viewer_that_reads_nothing_is_closed(world: World) -> None:
    abuser = world.connect_viewer()
    world.viewers.remove(abuser)  # its socket is not read from here on
    counts = world.node.counts

    def send_until_closed() -> int:
        with suppress(OSError):
            abuser.sock.send(b'{"t":"hb","f":{},"c":0}\n' * 600)
        return counts["viewer_reads_nothing"]

    world.run_until(send_until_closed)
    assert counts["viewer_reads_nothing"]
    abuser.sock.close()
    world.establish_session()
