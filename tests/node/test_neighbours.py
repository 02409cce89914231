"""What one request or one client brings harms no other request on the connection and no other client."""

from __future__ import annotations

import pytest

from lemonhall.front.node.viewer_connection import MAX_INVALID_MESSAGES
from lemonhall.node import bounds
from lemonhall.node.causes import FAILED
from tests.node.world import World


@pytest.mark.parametrize("left", ["0", "0.5", "0.999"])
def test_set_ups_with_hardly_any_time_left_cost_only_themselves(world: World, left: str) -> None:
    """review/6: the third one closed the connection, and a paid set-up open on it got no answer."""
    ordinary = world.request_set_up("premium")["ref"]
    _, connection, _ = world.wait_for_set_up(ordinary)
    hurried = [world.request_set_up(left=left)["ref"] for _ in range(2 * MAX_INVALID_MESSAGES)]
    world.run_until(lambda: all(world.messages_for(ref) for ref in hurried))
    assert [m["c"] for ref in hurried for m in world.messages_for(ref)] == [FAILED] * len(hurried)
    assert world.node.counts["attempts"] == 1  # no media server is asked for them
    connection.send_data({"t": "up", "ref": ordinary, "f": {}, "d": "v=0"})
    world.run_until(lambda: world.messages_for(ordinary, "up"))


def test_a_connection_that_always_has_a_message_under_way_is_not_closed(world: World) -> None:
    """Each message came whole within its time, yet the connection was closed as half-written after 2 s."""
    line = b'{"t":"hb","f":{}}\n'
    world.viewer.send_data(line[:5])
    for sent in range(1, 9):
        world.viewer.send_data(line[5:] + line[:5])
        world.run_until(lambda sent=sent: len(world.viewer.received) == sent)  # type: ignore[misc]
        world.advance(bounds.PARTIAL_LINE_TIMEOUT_S / 2)
    assert not world.viewer.closed
    world.advance(bounds.PARTIAL_LINE_TIMEOUT_S)  # the other way: the last one never comes whole
    assert world.viewer.closed
