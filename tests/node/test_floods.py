"""One client at full speed takes neither the time nor the memory of the others.

docs/incidents/one-client-held-up-all-others.md has the failures that these guard against.
"""

from __future__ import annotations

import json
from collections.abc import Callable

import pytest

from lemonhall.front.node.viewer_connection import PassBudget, Trust
from lemonhall.node import bounds
from tests.node.test_growth import table_sizes
from tests.node.test_rare import note
from tests.node.world import Peer, World

HEARTBEAT = b'{"t":"hb","f":{}}\n'


class SpentBudget(PassBudget):
    is_spent = True  # type: ignore[assignment]


def run_pass(world: World) -> None:
    world.loop.run_once(0.0)
    for viewer in world.viewers:
        viewer.read()


def most_per_pass(world: World, count: Callable[[], int], total: int) -> int:
    """The largest increase of a count in one pass of the loop, until it has reached the total."""
    most = 0
    while (before := count()) < total:
        run_pass(world)
        most = max(most, count() - before)
    return most


def test_a_pass_handles_a_bounded_part_of_what_one_client_sends(world: World) -> None:
    """All of 16 KiB were handled at once, some 900 messages, and again at each set-up that was sent on."""
    flooder = world.connect_viewer()
    flooder.send_data(HEARTBEAT * 900)
    most = most_per_pass(world, lambda: len(flooder.received), 900)
    assert 0 < most <= bounds.MAX_CONNECTION_MESSAGES_PER_PASS


def test_a_pass_handles_a_bounded_part_of_what_all_clients_send(world: World) -> None:
    """400 clients at full speed: passes of 4.4 s, and answers to others up to 6.1 s late."""
    flooders = [world.connect_viewer() for _ in range(20)]
    for flooder in flooders:
        flooder.send_data(HEARTBEAT * 100)
    most = most_per_pass(world, lambda: sum(len(flooder.received) for flooder in flooders), 2000)
    assert 0 < most <= bounds.MAX_MESSAGES_PER_PASS


def test_a_connection_that_is_closed_while_its_messages_wait_is_read_to_the_end(world: World) -> None:
    """Input that is unread at the close makes a reset of it, which may destroy what was written before."""
    flooder = world.connect_viewer()
    connection = list(world.node.viewers.connections)[-1]
    heartbeats = 2 * bounds.MAX_CONNECTION_MESSAGES_PER_PASS
    flooder.send_data(HEARTBEAT * heartbeats + b"noise\n" + HEARTBEAT * 3000)
    world.run_until(lambda: connection.stream.discarded_bytes)
    world.run_until(lambda: flooder.closed)
    assert len(flooder.received) == heartbeats


@pytest.mark.parametrize("begun", ["in one piece", "in two pieces"])
def test_a_whole_message_that_waits_is_not_taken_for_silence(world: World, begun: str) -> None:
    """Its connection was closed as silent or half-written although the message had come whole in time."""
    message = json.dumps(world.make_set_up(left="4000")).encode() + b"\n"
    viewer = world.connect_viewer()
    if begun == "in two pieces":
        viewer.send_data(message[:50])
        world.pump()
        message = message[50:]
    viewers = world.node.viewers
    budget, viewers.budget = viewers.budget, SpentBudget(world.loop, 0)  # others take all of it
    viewer.send_data(message)
    world.advance(bounds.NO_MESSAGE_TIMEOUT_S + 0.5)
    assert not viewer.closed
    viewers.budget = budget
    world.wait_for_set_up(f"{world.ref_count:016x}")


def test_the_connection_that_used_least_has_the_next_turn(world: World) -> None:
    """Connections that were not put off came first, and what waited was not handled while they kept on."""
    fields = {f"a{n}": 1 for n in range(1300)}
    line = json.dumps({"t": "hb", "f": fields}, separators=(",", ":")).encode() + b"\n"
    flooders = [world.connect_viewer() for _ in range(40)]
    for flooder in flooders:
        flooder.send_data(line * 4)
    run_pass(world)
    run_pass(world)
    assert len(world.node.viewers.waiting) > 20
    ref = world.request_set_up()["ref"]
    run_pass(world)
    run_pass(world)
    assert ref in world.node.sessions.by_ref  # though as many wait as before
    assert len(world.node.viewers.waiting) > 20
    world.run_until(lambda: all(len(flooder.received) == 4 for flooder in flooders))


def test_a_set_up_is_sent_on_while_a_flood_is_under_way(world: World) -> None:
    flooder = world.connect_viewer()
    for _ in range(8):
        flooder.send_data(HEARTBEAT * 900)
    run_pass(world)
    ref = world.request_set_up()["ref"]
    world.wait_for_set_up(ref)
    assert len(flooder.received) < 8 * 900
    world.run_until(lambda: len(flooder.received) == 8 * 900)  # and it gets all its answers


def hand_over(world: World, viewer: Peer, server_ids: list[str]) -> None:
    for server_id in server_ids:
        extras = f"home:0;copies:4;top:2;viewer:00000000000000aa;at:{server_id}"
        viewer.send_data(world.make_set_up(extras=extras))


def test_handovers_that_name_ever_new_servers_take_bounded_room(world: World) -> None:
    """One client took a node from 15 to 189 MB of its 192 in 25 s, and it was not given back."""
    before = table_sizes(world)
    flooder = world.connect_viewer()
    servers = world.node.servers
    for start in range(0, 3 * bounds.MAX_UNLISTED_SERVERS, 128):
        hand_over(world, flooder, [f"x-{start + n:08x}" for n in range(128)])
        world.pump(6)
    assert len(servers.by_id) == len(world.servers) + bounds.MAX_UNLISTED_SERVERS
    world.establish_session(viewer=world.connect_viewer())  # others are served
    flooder.close()
    world.advance(bounds.SERVER_LOST_AFTER_S + bounds.UNLISTED_COMMAND_TTL_S + 1.0, step=0.25)
    after = table_sizes(world)
    assert len(servers.by_id) == len(world.servers)
    assert {name for name in before if after.get(name, 0) > before[name] + 64} == set()


def test_a_handover_of_a_listed_server_is_taken_beside_many_unknown_ones(world: World) -> None:
    """The other way: room is short for servers that the list lacks alone."""
    flooder = world.connect_viewer()
    for start in range(0, bounds.MAX_UNLISTED_SERVERS + 128, 128):
        hand_over(world, flooder, [f"x-{start + n:08x}" for n in range(128)])
        world.pump(6)
    taken = world.node.counts["handed_over"]
    hand_over(world, world.viewer, [world.servers[0].name])
    world.run_until(lambda: world.node.counts["handed_over"] > taken)


def test_a_handover_proves_a_viewer_only_once_the_server_confirms_it(world: World) -> None:
    """A client that named any server got the releases of others, which it did not read."""
    hand_over(world, world.viewer, [world.servers[0].name])
    world.run_until(lambda: world.servers[0].connections)
    connection = next(iter(world.node.viewers.connections))
    assert connection.trust is Trust.VALID_MESSAGE
    ref = next(iter(connection.established_sessions))
    world.servers[0].connections[0].send_data(note(ref))
    world.run_until(lambda: connection.trust is Trust.PROVEN)


def send_burst(world: World, viewer: Peer, count: int) -> list[str]:
    set_ups = [world.make_set_up() for _ in range(count)]
    viewer.send_data(b"".join(json.dumps(message).encode() + b"\n" for message in set_ups))
    return [message["ref"] for message in set_ups]


def test_what_waits_for_the_next_pass_is_answered_before_the_end_of_the_process(world: World) -> None:
    """Set-ups that were read are taken, also when the process is told to end meanwhile."""
    world.advance(1.0)
    refs = send_burst(world, world.viewer, bounds.MAX_OPEN_SET_UPS // 2)
    run_pass(world)
    assert world.node.has_unhandled_messages
    world.node.stopping_since = world.now
    world.node.stop_when_answered()
    for ref in refs:
        if not world.messages_for(ref):
            _, connection, _ = world.wait_for_set_up(ref)
            connection.send_data({"t": "down", "ref": ref, "f": {}, "c": 34})
    world.run_until(lambda: all(world.messages_for(ref) for ref in refs))


def test_a_pass_handles_fewer_messages_where_they_are_large(world: World) -> None:
    """Heads of 1,300 short fields take as long to read as dozens of ordinary messages."""
    fields = {f"a{n}": 1 for n in range(1300)}
    line = json.dumps({"t": "hb", "f": fields}, separators=(",", ":")).encode() + b"\n"
    flooders = [world.connect_viewer() for _ in range(40)]
    for flooder in flooders:
        flooder.send_data(line)
    most = most_per_pass(world, lambda: sum(len(flooder.received) for flooder in flooders), 40)
    weight = 1 + len(line) // bounds.MESSAGE_UNIT_BYTES
    assert most <= 1 + bounds.MAX_MESSAGES_PER_PASS // weight
