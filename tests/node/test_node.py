"""A node among fake peers: answers, releases, crossing messages, faults of servers and viewers."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from lemonhall.node import bounds
from tests.node.world import FakeServer, World, make_settings


def up(ref: str) -> dict[str, object]:
    return {"t": "up", "ref": ref, "f": {}, "d": f"v=0 {ref}"}


def down(ref: str, cause: int) -> dict[str, object]:
    return {"t": "down", "ref": ref, "f": {}, "c": cause}


def test_a_session_is_answered_unchanged_and_released_once(world: World) -> None:
    ref, _, connection = world.establish_session()
    assert [m["d"] for m in world.messages_for(ref, "up")] == [f"v=0 {ref}"]
    connection.send_data(down(ref, 16))
    connection.send_data(down(ref, 16))
    world.run_until(lambda: world.messages_for(ref, "down"))
    world.pump()
    assert [m["c"] for m in world.messages_for(ref, "down")] == [16]
    assert world.node.sessions.by_ref == {} and world.node.sessions.established_count == 0


def test_heartbeats_succeed_while_serving_and_fail_after_stop(world: World) -> None:
    world.viewer.send_data({"t": "hb", "f": {}, "c": 0})
    world.run_until(lambda: world.viewer.received)
    world.node.stop()
    world.viewer.send_data({"t": "hb", "f": {}, "c": 0})
    world.run_until(lambda: len(world.viewer.received) == 2)
    assert [m["c"] for m in world.viewer.received] == [1, 0]


def test_a_release_uses_a_proven_connection_if_its_own_is_closed(world: World) -> None:
    ref, _, connection = world.establish_session()
    other = world.connect_viewer()
    world.establish_session(viewer=other)
    unproven = world.connect_viewer()
    unproven.send_data({"t": "hb", "f": {}, "c": 0})
    world.run_until(lambda: unproven.received)  # used last, but no session was established through it
    world.viewer.close()
    world.pump()
    connection.send_data(down(ref, 16))
    world.run_until(lambda: world.messages_for(ref, "down"))
    assert [m["t"] for m in unproven.received] == ["hb_ok"] and other.received[-1]["ref"] == ref


def test_a_release_waits_for_the_next_connection(world: World) -> None:
    ref, _, connection = world.establish_session()
    world.viewer.close()
    world.pump()
    connection.send_data(down(ref, 16))
    world.run_until(lambda: not world.node.sessions.established_count)
    later = world.connect_viewer()
    later.send_data({"t": "hb", "f": {}, "c": 0})
    world.advance(bounds.PROVEN_CONNECTION_WAIT_S + 2 * bounds.SWEEP_INTERVAL_S)
    assert [m["t"] for m in later.received] == ["hb_ok", "down"] and later.received[1]["ref"] == ref


def test_a_handed_over_session_gets_no_answer_but_its_release(world: World) -> None:
    server = world.servers[1]
    set_up = world.request_set_up(extras=f"viewer:00000000000000aa;at:{server.name}")
    world.request_set_up(
        ref=set_up["ref"], extras=f"viewer:00000000000000aa;at:{server.name}"
    )  # handed over before
    world.request_set_up(extras="viewer:00000000000000ab;at:s-none")  # at a server that is not listed
    world.run_until(lambda: server.connections)
    assert world.node.sessions.established_count == 2 and world.viewer.received == []
    server.connections[0].send_data(down(set_up["ref"], 41))
    world.run_until(lambda: world.messages_for(set_up["ref"], "down"))


@pytest.mark.parametrize("cls", ["premium", "plain"])
def test_a_set_up_is_refused_with_a_pause_if_every_server_is_down(
    worlds: Callable[..., World], cls: str
) -> None:
    world = worlds(servers=2)
    for server in world.servers:
        server.kill()
    ref = world.request_set_up(cls)["ref"]
    world.run_until(lambda: world.messages_for(ref))
    assert [(m["t"], m["c"]) for m in world.messages_for(ref)] == [("down", 34)]  # provably nothing ran
    assert world.messages_for(ref)[0]["f"] == {"wait": "500"}


@pytest.mark.parametrize(("cls", "attempt_count", "final_cause"), [("premium", 1, 47), ("plain", 2, 34)])
def test_an_attempt_that_may_have_run_is_retried_only_for_idempotent_classes(
    world: World, cls: str, attempt_count: int, final_cause: int
) -> None:
    ref = world.request_set_up(cls)["ref"]
    for n in range(attempt_count):
        world.run_until(
            lambda n=n: sum(len(server.received_messages("new")) for server in world.servers) == n + 1
        )  # type: ignore[misc]
        server, connection, _ = world.wait_for_set_up(ref)
        if n + 1 < attempt_count:
            connection.send_data(down(ref, 41))
        else:
            newest = [
                (open_connection, message)
                for server in world.servers
                for open_connection, message in server.received_messages("new")
                if not open_connection.closed
            ]
            for open_connection, _ in newest:
                open_connection.send_data(down(ref, 41))
    world.run_until(lambda: world.messages_for(ref))
    assert [m["c"] for m in world.messages_for(ref)] == [final_cause]
    assert sum(len(server.received_messages("new")) for server in world.servers) == attempt_count


def test_after_a_servers_refusal_another_server_is_tried(world: World) -> None:
    ref = world.request_set_up("premium")["ref"]
    first, connection, _ = world.wait_for_set_up(ref)
    connection.send_data({"t": "down", "ref": ref, "f": {"load": "x0:1.3;x1:0.2"}, "c": 34})
    world.run_until(lambda: sum(len(server.received_messages("new")) for server in world.servers) == 2)
    second = next(server for server in world.servers if server is not first)
    second.received_messages("new")[0][0].send_data(up(ref))
    world.run_until(lambda: world.messages_for(ref, "up"))


def test_a_give_up_and_the_answer_cross_in_both_orders(world: World) -> None:
    for first in ("viewer", "server"):
        ref = world.request_set_up()["ref"]
        _, connection, _ = world.wait_for_set_up(ref)
        if first == "viewer":
            world.viewer.send_data(down(ref, 16))
            world.pump()
            connection.send_data(up(ref))
        else:
            connection.send_data(up(ref))
            world.pump()
            world.viewer.send_data(down(ref, 16))
        world.run_until(lambda: [m for m in connection.received if m["t"] == "down" and m["ref"] == ref])  # noqa: B023
        world.pump()
        assert len(world.messages_for(ref)) == (first == "server")
        assert len([m for m in connection.received if m["t"] == "down" and m["ref"] == ref]) == 1
    assert world.node.sessions.by_ref == {}
    world.establish_session()  # the connection is still usable


def test_a_timeout_is_answered_in_time_and_a_late_answer_is_dropped(world: World) -> None:
    ref = world.request_set_up("premium", left="800")["ref"]
    _, connection, _ = world.wait_for_set_up(ref)
    world.advance(0.79, 0.01)
    assert [m["c"] for m in world.messages_for(ref)] == [47]  # it may have run
    connection.send_data(up(ref))
    world.pump()
    assert len(world.messages_for(ref)) == 1 and [m["t"] for m in connection.received] == ["new", "down"]


def test_set_ups_share_a_connection_up_to_the_limit(worlds: Callable[..., World]) -> None:
    world = worlds(servers=1)
    refs = [world.request_set_up()["ref"] for _ in range(6)]
    server = world.servers[0]
    world.run_until(lambda: len(server.received_messages("new")) == 6)
    assert sorted(sum(message["t"] == "new" for message in peer.received) for peer in server.connections) == [
        2,
        4,
    ]
    for connection, message in server.received_messages("new"):
        connection.send_data(up(message["ref"]))
    world.run_until(lambda: all(world.messages_for(ref, "up") for ref in refs))


@pytest.mark.parametrize(
    "data",
    [b"\xff\xfe noise\n", b"{}\n", b"x" * 40000, b'{"t":"up","ref":"00","f":{}}\n', b"[" * 9000 + b"\n"],
)
def test_invalid_bytes_from_a_server_end_its_connection_but_no_session(world: World, data: bytes) -> None:
    played, server, connection = world.establish_session()
    ref = world.request_set_up("premium", extras="home:0;copies:4;viewer:00000000000000ac")["ref"]
    other, other_connection, _ = world.wait_for_set_up(ref)
    other_connection.send_data(data)
    world.run_until(lambda: world.messages_for(ref))
    assert [m["c"] for m in world.messages_for(ref)] == [47]  # it may have run: failed, not refused
    world.run_until(lambda: other_connection.closed)
    assert played in world.node.sessions.by_ref  # the established session continues
    world.advance(1.0)
    world.run_until(
        lambda: any(not peer.closed for peer in server.connections)
    )  # and its server is reconnected
    next(peer for peer in server.connections if not peer.closed).send_data(down(played, 16))
    world.run_until(lambda: world.messages_for(played, "down"))


def test_duplicates_and_unknown_refs_are_ignored(world: World) -> None:
    ref = world.request_set_up()["ref"]
    _, connection, _ = world.wait_for_set_up(ref)
    connection.send_data(up("f" * 16))
    connection.send_data(up(ref))
    connection.send_data(up(ref))
    connection.send_data(down("e" * 16, 41))
    world.run_until(lambda: world.messages_for(ref))
    world.pump()
    assert len(world.messages_for(ref)) == 1 and not connection.closed


def test_sessions_of_a_process_that_ends_are_released_to_their_viewers(worlds: Callable[..., World]) -> None:
    world = worlds(servers=1)
    ref, server, _ = world.establish_session()
    server.kill()
    world.run_until(lambda: not any(server.connections for server in world.node.servers.by_id.values()))
    world.advance(2 * bounds.RECONNECT_INTERVAL_S + bounds.SWEEP_INTERVAL_S)
    assert [m["c"] for m in world.messages_for(ref, "down")] == [41]


def test_a_silent_machine_is_detected_within_eight_seconds(world: World) -> None:
    ref, server, connection = world.establish_session()
    server.listen_socket.close()  # open connections stay open and silent; new ones fail
    world.advance(7.5)
    assert [m["c"] for m in world.messages_for(ref, "down")] == [41]


def test_a_silent_server_that_accepts_connections_keeps_its_sessions(world: World) -> None:
    ref, server, connection = world.establish_session()
    world.advance(12.0)
    assert world.messages_for(ref, "down") == []
    connection.send_data({"t": "tell", "ref": ref, "f": {"note": "d", "value": "0"}})
    world.pump()
    assert ref in world.node.sessions.by_ref


def test_a_set_up_that_was_never_sent_is_sent_on_another_connection(worlds: Callable[..., World]) -> None:
    world = worlds(servers=1)
    ref, server, connection = world.establish_session()
    node_connection = world.node.servers.by_id[server.name].connections[0]
    node_connection.stream.sock.shutdown(1)  # the kernel takes no more bytes
    next_ref = world.request_set_up("premium")["ref"]
    _, other, _ = world.wait_for_set_up(next_ref)
    assert other is not connection
    other.send_data(up(next_ref))
    world.run_until(lambda: world.messages_for(next_ref, "up"))


def test_a_draining_server_gets_no_set_ups_and_a_removed_one_loses_its_sessions(world: World) -> None:
    draining_server = world.servers[0]
    draining_server.draining = True
    world.fake_resolver.list_number = 2
    world.advance(1.0)
    for _ in range(6):
        _, server, _ = world.establish_session()
        assert server is world.servers[1]
    ref = next(iter(world.node.sessions.by_ref))
    world.fake_resolver.servers = [draining_server]
    world.fake_resolver.list_number = 3
    world.advance(1.0)
    assert [m["c"] for m in world.messages_for(ref, "down")] == [41]
    assert world.servers[1].name not in world.node.servers.by_id


def test_a_new_server_at_the_address_of_a_removed_one_is_a_different_server(world: World) -> None:
    old = world.servers[0]
    new = FakeServer("s-000000ff", old.cell)
    new.listen_socket.close()
    new.listen_socket, new.port = old.listen_socket, old.port
    world.servers[0] = new
    new.connections = old.connections
    world.fake_resolver.servers = [new, world.servers[1]]
    world.fake_resolver.list_number = 2
    world.advance(1.0)
    assert {server.id for server in world.node.servers.by_id.values()} == {
        "s-000000ff",
        world.servers[1].name,
    }


def test_a_faulty_resolver_changes_nothing_and_is_queried_again(world: World) -> None:
    world.fake_resolver.servers, world.fake_resolver.list_number = [], 0
    world.advance(2.0)  # an older list
    world.fake_resolver.list_number = 5
    world.fake_resolver.alter_response = lambda data: data[: len(data) // 2]
    world.advance(2.0)
    world.fake_resolver.alter_response = lambda data: None
    queries_before = world.fake_resolver.query_count
    world.advance(3.0)
    assert 2 < world.fake_resolver.query_count - queries_before < 9  # with backoff
    assert len(world.node.listed_servers) == 2
    world.fake_resolver.servers = [world.servers[1]]
    world.fake_resolver.alter_response = lambda data: data
    world.advance(1.5)
    assert set(world.node.listed_servers) == {world.servers[1].name}


def test_a_moved_session_is_released_on_both_sides(world: World) -> None:
    from lemonhall.interface import Move

    ref, _, connection = world.establish_session()
    world.node.sessions.move(Move(world.node.sessions.by_ref[ref].number))
    world.run_until(lambda: world.messages_for(ref, "shift"))
    world.run_until(lambda: [m for m in connection.received if m["t"] == "down"])
    connection.send_data(down(ref, 31))
    world.pump()
    assert [m["t"] for m in world.messages_for(ref)] == ["up", "shift"]


def test_open_set_ups_fail_before_sigkill(world: World) -> None:
    ref = world.request_set_up("premium", left="4000")["ref"]
    world.wait_for_set_up(ref)
    world.loop.running = True
    world.node.stop()
    world.advance(3.4)
    assert world.loop.running and not world.messages_for(ref)
    world.advance(0.2)
    assert not world.loop.running and [m["c"] for m in world.messages_for(ref)] == [47]


def test_stopping_answers_accepted_set_ups_and_ends_by_itself(world: World) -> None:
    ref = world.request_set_up()["ref"]
    _, connection, _ = world.wait_for_set_up(ref)
    world.loop.running = True
    world.node.stop()
    late = world.connect_viewer()  # new connections keep arriving for a while
    late_ref = world.request_set_up(viewer=late)["ref"]
    world.wait_for_set_up(late_ref)
    world.advance(0.9)
    assert world.loop.running  # an answer is still owed
    for server in world.servers:
        for open_connection, message in server.received_messages("new"):
            open_connection.send_data(up(message["ref"]))
    world.run_until(lambda: world.messages_for(ref, "up") and world.messages_for(late_ref, "up"))
    world.advance(0.2)
    assert not world.loop.running


def test_the_first_response_of_the_resolver_confirms_the_list(worlds: Callable[..., World]) -> None:
    """A restarted front filled all servers at the slow-start rate for 12 s, because it took them for cold."""
    settings = make_settings()
    settings["rules"]["warmWithin"] = 12000.0
    world = worlds(settings=settings)
    assert world.node.list_confirmed and world.node.bridge.decider.list_fresh  # type: ignore[attr-defined]
    for _ in range(6):
        world.establish_session()
    silent = worlds(settings=settings, resolver_answers=False)
    assert not silent.node.list_confirmed
    refs = [silent.request_set_up()["ref"] for _ in range(6)]  # an unconfirmed list may hide a restart
    silent.run_until(lambda: any(silent.messages_for(ref, "down") for ref in refs))
