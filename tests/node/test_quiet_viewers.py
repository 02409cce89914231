"""The end of a session is told to a viewer that has had nothing to say for long."""

from __future__ import annotations

from lemonhall.node import bounds
from tests.node.test_rare import down
from tests.node.world import World

RELEASE_LIMIT_S = 1.0  # protocol: from the media server's release


def test_the_end_of_a_session_reaches_a_viewer_after_a_long_quiet_time(world: World) -> None:
    """review/8: its connection was closed after 30 s though its session stood, and the end was never told."""
    ref, _, _ = world.establish_session()
    world.advance(2 * bounds.VIEWER_IDLE_TIMEOUT_S, step=0.5)
    assert not world.viewer.closed
    server = next(server for server in world.servers if server.received_messages("new"))
    server.connections[-1].send_data(down(ref, 16))
    world.run_until(lambda: world.messages_for(ref, "down"))
    world.advance(1.0)
    assert not world.viewer.closed  # the idle time runs from the last message in either direction
    world.advance(bounds.VIEWER_IDLE_TIMEOUT_S, step=0.5)
    assert world.viewer.closed


def test_an_end_is_told_on_a_connection_that_has_said_nothing_if_there_is_no_other(world: World) -> None:
    """review/8: the viewer that came back had nothing to ask, and its new connections were passed over."""
    ref, _, connection = world.establish_session()
    world.viewer.close()
    world.run_until(lambda: not world.node.viewers.connections)
    viewer = world.connect_viewer()
    connection.send_data(down(ref, 16))
    world.run_until(lambda: ref not in world.node.sessions.by_ref)
    world.advance(RELEASE_LIMIT_S - 0.05)
    assert [m["c"] for m in viewer.received] == [16]


def test_a_release_on_a_silent_connection_waits_for_a_better_one_too(world: World) -> None:
    """The silent connection may be an abusive client's; each silent connection gets the release once."""
    ref, _, connection = world.establish_session()
    world.viewer.close()
    silent = world.connect_viewer()
    world.run_until(lambda: len(world.node.viewers.connections) == 1)
    connection.send_data(down(ref, 16))
    world.advance(1.5)
    assert len(silent.received) == 1
    viewer = world.connect_viewer()
    viewer.send_data({"t": "hb", "f": {}, "c": 0})
    world.advance(0.5)
    assert [m["t"] for m in viewer.received] == ["hb_ok", "down"]
    assert not world.node.viewers.waiting_releases


def test_connections_with_sessions_are_evicted_last(world: World) -> None:
    """Their viewers may have nothing to say until the end of the session is told."""
    world.establish_session()
    world.node.viewers.max_connections = 3
    others = []
    for _ in range(4):
        other = world.connect_viewer()
        ref, _, _ = world.establish_session(viewer=other)
        other.send_data(down(ref, 16))
        world.run_until(lambda ref=ref: ref not in world.node.sessions.by_ref)  # type: ignore[misc]
        others.append(other)
    assert not world.viewer.closed and sum(not other.closed for other in others) == 2
