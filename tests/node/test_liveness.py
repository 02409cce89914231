"""Sessions go on while their media server may hold them, and are told to be over in time where it does not.

docs/incidents/sessions-released-after-a-reset.md has the failure that most of these guard against.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from typing import Any

import pytest

from lemonhall.front.node.liveness import Doubt, Liveness, LossReason, NoteSchedule
from lemonhall.loop.event_loop import READ
from lemonhall.node import bounds
from lemonhall.node.causes import GIVEN_UP
from tests.node.test_rare import (
    LINGER_RESET,
    down,
    no_state_left,
    note,
    order_ready_sockets,
    up,
    wait_until_readable,
)
from tests.node.world import FakeServer, Peer, World, make_settings

RELEASE_LIMIT_S = 8.0  # protocol: from the end of a session to its release, where the server sends none
SWEEP_S = bounds.SWEEP_INTERVAL_S
NOTE_INTERVAL_S = 4.4
BEFORE_NOTE_S = 0.05


def settings_with_notes(interval_s: float, how: str = "answers") -> dict[str, Any]:
    settings = make_settings()
    settings["specifics"]["reportsEvery"] = interval_s * 1000
    settings["report"]["how"] = how
    return settings


@pytest.fixture
def noted(worlds: Callable[..., World]) -> World:
    """One server, which sends a note on one of its sessions every 4.4 s."""
    return worlds(servers=1, settings=settings_with_notes(NOTE_INTERVAL_S))


def reset_connections(server: FakeServer) -> None:
    for connection in [peer for peer in server.connections if not peer.closed]:
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        connection.close()


def reset(world: World, server: FakeServer) -> Peer:
    """Resets all connections; returns the one that the node then opens."""
    known = len(server.connections)
    reset_connections(server)
    world.run_until(lambda: world.advance(0.01) or len(server.connections) > known)
    return server.connections[-1]


def world_server(world: World, server: FakeServer) -> Any:
    return world.node.servers.by_id[server.name]


def send_note(world: World, connection: Peer, ref: str) -> None:
    before = world.node.counts["notes"]
    connection.send_data(note(ref))
    world.run_until(lambda: world.node.counts["notes"] > before)


def releases_at(server: FakeServer, ref: str) -> list[int]:
    return [m["c"] for _, m in server.received_messages("down") if m["ref"] == ref]


def stands(world: World, ref: str) -> bool:
    return world.node.sessions.by_ref[ref].established and not world.messages_for(ref, "down")


def test_a_session_goes_on_if_a_reset_destroys_the_note_that_was_due(noted: World) -> None:
    """review/2: released 2.2 s after the reset, because the silence was counted from before it."""
    ref, server, connection = noted.establish_session("premium")
    send_note(noted, connection, ref)
    noted.advance(NOTE_INTERVAL_S - BEFORE_NOTE_S)
    connection = reset(noted, server)  # the note that is due now is not sent
    noted.advance(NOTE_INTERVAL_S + BEFORE_NOTE_S)
    assert stands(noted, ref)
    send_note(noted, connection, ref)
    noted.advance(NOTE_INTERVAL_S)
    assert stands(noted, ref) and not releases_at(server, ref)


def test_a_server_that_reset_its_connection_is_connected_at_once(noted: World) -> None:
    """The new connection waited for the next sweep, and what the server had to tell until then was lost."""
    ref, server, _ = noted.establish_session()
    noted.advance(1.0)
    reset_connections(server)
    noted.run_until(lambda: len(server.connections) == 2)  # the clock stands still
    assert stands(noted, ref)


def test_a_process_that_took_the_address_after_a_reset_is_found_out_in_time(noted: World) -> None:
    """The other way: nothing comes on the new connection, so the session is over since the reset."""
    ref, server, connection = noted.establish_session("premium")
    send_note(noted, connection, ref)
    noted.advance(NOTE_INTERVAL_S - BEFORE_NOTE_S)
    connection = reset(noted, server)
    noted.advance(NOTE_INTERVAL_S)
    reset(noted, server)  # does not begin the wait anew
    assert stands(noted, ref)
    noted.advance(RELEASE_LIMIT_S - NOTE_INTERVAL_S - 1.0)
    assert [m["c"] for m in noted.messages_for(ref, "down")] == [41] and no_state_left(noted)
    assert noted.node.counts["lost_silent"] == 1


def test_a_session_that_is_taken_for_over_after_a_reset_is_released_at_its_server(noted: World) -> None:
    """review/2: the server held it for good, and three sessions of a title stood where seats are two."""
    ref, server, connection = noted.establish_session("premium")
    noted.advance(0.5)
    reset(noted, server)
    noted.advance(RELEASE_LIMIT_S)
    assert noted.messages_for(ref, "down") and releases_at(server, ref) == [41]


@pytest.mark.parametrize(
    ("cut_off_s", "reached_by"),
    [(7.0, "reconnect"), (20.0, "reconnect"), (20.0, "old connection"), (20.0, "next set-up")],
)
def test_a_session_lost_in_a_cut_off_is_released_at_its_server_when_it_is_reached(
    worlds: Callable[..., World], cut_off_s: float, reached_by: str
) -> None:
    """The server held the session until its natural end, beside its viewer's next one."""
    settings = settings_with_notes(NOTE_INTERVAL_S)
    settings["caps"]["connIdle"] = 120_000.0
    world = worlds(servers=1, settings=settings)
    ref, server, connection = world.establish_session("premium")
    server.refuse_connections()  # the open connection stays open and silent
    world.advance(cut_off_s)
    assert [m["c"] for m in world.messages_for(ref, "down")] == [41] and not releases_at(server, ref)
    server.start_listening()
    if reached_by == "reconnect":
        world.advance(bounds.MAX_RECONNECT_INTERVAL_S + 2 * SWEEP_S)
    elif reached_by == "old connection":
        connection.send_data(note(ref))
    else:
        connection.close()
        world.run_until(lambda: not world_server(world, server).connections)
        world.request_set_up()
    world.run_until(lambda: releases_at(server, ref))
    world.advance(2.0)
    assert releases_at(server, ref) == [41]


def test_a_viewers_release_reaches_its_server_after_a_long_cut_off(noted: World) -> None:
    """It was dropped after 8 s, and the server held the session until its natural end."""
    ref, server, connection = noted.establish_session("premium")
    server.refuse_connections()
    connection.close()
    noted.run_until(lambda: not world_server(noted, server).connections)
    noted.viewer.send_data(down(ref, 31))
    noted.advance(2 * RELEASE_LIMIT_S)
    server.start_listening()
    noted.advance(bounds.MAX_RECONNECT_INTERVAL_S + 2 * SWEEP_S)
    assert releases_at(server, ref) == [31]


def test_a_session_lost_at_an_unlisted_server_is_released_when_the_list_tells_it(world: World) -> None:
    late = FakeServer("s-0000000f", 2)
    world.servers.append(late)
    ref = world.request_set_up(extras=f"viewer:00000000000000aa;at:{late.name}")["ref"]
    world.advance(RELEASE_LIMIT_S)
    assert [m["c"] for m in world.messages_for(ref, "down")] == [41]
    world.fake_resolver.servers, world.fake_resolver.list_number = list(world.servers), 2
    world.advance(2.0)
    assert releases_at(late, ref) == [41]


def test_releases_for_a_server_that_left_the_list_are_forgotten(noted: World) -> None:
    _, server, _ = noted.establish_session()
    server.refuse_connections()
    noted.advance(RELEASE_LIMIT_S)
    assert world_server(noted, server).pending_commands
    other = FakeServer("s-0000000e", 1)
    noted.servers.append(other)
    noted.fake_resolver.servers, noted.fake_resolver.list_number = [other], 2
    noted.advance(2.0)
    assert server.name not in noted.node.servers.by_id


def test_a_release_that_waits_for_an_unreachable_server_does_not_hold_the_shutdown(noted: World) -> None:
    _, server, _ = noted.establish_session()
    server.refuse_connections()
    noted.advance(2 * RELEASE_LIMIT_S)
    assert world_server(noted, server).pending_commands
    noted.loop.running = True
    noted.node.stop()
    noted.advance(bounds.ACCEPT_AFTER_TERM_S + bounds.SHUTDOWN_LINGER_S + 0.1)
    assert not noted.loop.running


# Set-ups whose connection breaks


@pytest.mark.parametrize("how", ["invalid answer", "reset"])
def test_a_set_up_whose_connection_breaks_is_given_up_at_its_server(noted: World, how: str) -> None:
    """The server may have answered: it held a session that no viewer had, and that no front counted."""
    refs = [noted.request_set_up("premium", extras=f"viewer:{n:016x}")["ref"] for n in (1, 2)]
    for ref in refs:
        server, connection, _ = noted.wait_for_set_up(ref)
    if how == "reset":
        reset_connections(server)
    else:
        connection.send_data(b"noise\n" + json.dumps(up(refs[1])).encode() + b"\n")
    noted.run_until(lambda: all(noted.messages_for(ref, "down") for ref in refs))
    noted.run_until(lambda: all(releases_at(server, ref) == [GIVEN_UP] for ref in refs))
    assert no_state_left(noted)


def test_no_connection_is_opened_for_the_set_ups_of_a_process_that_has_ended(noted: World) -> None:
    ref = noted.request_set_up("premium")["ref"]
    server, _, _ = noted.wait_for_set_up(ref)
    server.kill()
    noted.run_until(lambda: noted.messages_for(ref, "down"))
    noted.advance(1.0)
    assert noted.node.counts["link_refused_new"] == 1
    assert not world_server(noted, server).pending_commands


# Servers that send no regular notes


@pytest.mark.parametrize(
    "settings",
    [settings_with_notes(0.0), settings_with_notes(2.5, "none"), settings_with_notes(9.0)],
    ids=["no notes", "no reports in answers", "rare notes"],
)
def test_a_reset_proves_nothing_where_no_note_is_due_in_time(
    worlds: Callable[..., World], settings: dict[str, Any]
) -> None:
    """Each reset of an idle connection ended every session of the server there."""
    world = worlds(servers=1, settings=settings)
    ref, server, _ = world.establish_session("premium")
    world.advance(bounds.SERVER_LOST_AFTER_S)
    for _ in range(2):
        reset(world, server)
        world.advance(RELEASE_LIMIT_S + 1.0)
        assert stands(world, ref)
    server.kill()
    world.advance(1.0)
    assert [m["c"] for m in world.messages_for(ref, "down")] == [41]


def test_one_failed_connect_ends_no_session_that_is_silent(worlds: Callable[..., World]) -> None:
    """Where no note is due, all sessions of a server ended once one of its connections did not come up."""
    world = worlds(servers=1, settings=settings_with_notes(0.0))
    ref, server, _ = world.establish_session()
    world.advance(7.0)
    server.refuse_connections()
    world.run_until(lambda: world.advance(0.05) or world.node.counts["link_refused_new"])  # the next probe
    server.start_listening()
    world.advance(4.0)
    assert stands(world, ref)


@pytest.mark.parametrize("quiet_s", [0.0, 3.0, 5.5, 9.0])
def test_a_machine_that_vanishes_is_found_out_in_time_without_notes(
    worlds: Callable[..., World], quiet_s: float
) -> None:
    """The other way: its connections stay open and silent, and new ones never come up."""
    world = worlds(servers=1, settings=settings_with_notes(0.0))
    ref, server, _ = world.establish_session()
    world.advance(quiet_s)
    server.refuse_connections()
    world.advance(RELEASE_LIMIT_S - 2 * SWEEP_S)
    assert [m["c"] for m in world.messages_for(ref, "down")] == [41]


def test_a_reset_counts_also_while_another_connection_is_being_opened(noted: World) -> None:
    """The sessions of a process that had ended stood until the list told it."""
    order_ready_sockets(noted, descending=False)
    ref, server, _ = noted.establish_session()
    noted.advance(0.5)
    node_connection = world_server(noted, server).connections[0]
    reset_connections(server)
    wait_until_readable(node_connection)
    world_server(noted, server).open_connection()
    noted.advance(RELEASE_LIMIT_S - 1.0)
    assert [m["c"] for m in noted.messages_for(ref, "down")] == [41]


# The rule alone


def liveness(interval_s: float = NOTE_INTERVAL_S, now: float = 100.0) -> Liveness:
    state = Liveness(NoteSchedule(interval_s, 1.0))
    state.on_message(now)
    state.on_connected(now)
    return state


def test_a_message_ends_the_doubt_that_a_reset_raised() -> None:
    state = liveness()
    state.on_last_connection_reset(104.0)
    state.on_connected(104.1)
    state.on_message(108.5)
    assert state.presumed_loss(200.0, has_address=True) is None


@pytest.mark.parametrize("resets", [[104.0], [104.0, 106.0, 110.0]])
def test_the_wait_runs_from_the_first_reset(resets: list[float]) -> None:
    state = liveness()
    for moment in resets:
        state.on_last_connection_reset(moment)
        state.on_connected(moment + 0.1)
    lost_at = resets[0] + bounds.SERVER_LOST_AFTER_S
    assert state.presumed_loss(lost_at - 0.01, has_address=True) is None
    assert state.presumed_loss(lost_at + 0.01, has_address=True) is LossReason.SILENT


def test_a_message_on_a_newer_session_says_nothing_about_older_ones() -> None:
    state = liveness()
    for reset_at in (104.0, 107.0):
        state.on_last_connection_reset(reset_at)
    state.on_message(108.0, set_up_at=107.5)
    assert [doubt.since for doubt in state.doubts] == [104.0, 107.0]
    state.on_message(109.0, set_up_at=105.0)  # the process is the same since 105
    assert [doubt.since for doubt in state.doubts] == [104.0]
    lost_at = 104.0 + bounds.SERVER_LOST_AFTER_S
    assert state.presumed_loss(lost_at + 0.01, has_address=True) is LossReason.SILENT
    assert state.pop_due_doubt(lost_at + 0.01) == Doubt(104.0, lost_at)
    assert state.presumed_loss(200.0, has_address=True) is None


def test_a_machine_that_was_away_and_is_back_has_to_show_that_it_holds_its_sessions() -> None:
    """review/10: a connection that came up cleared it, though the process behind it was a new one."""
    state = liveness()
    state.on_data(105.0, connection_up_at=100.0)
    state.on_connect_failed(109.7)
    state.on_connect_timeout(109.7)
    state.on_connected(110.2)
    state.on_message(110.5, set_up_at=110.3)
    state.on_data(110.6, connection_up_at=110.2)
    lost_at = 105.0 + bounds.CUT_OFF_DECIDED_AFTER_S
    assert state.presumed_loss(lost_at - 0.01, has_address=True) is None
    assert state.presumed_loss(lost_at + 0.01, has_address=True) is LossReason.SILENT
    assert state.pop_due_doubt(lost_at + 0.01) == Doubt(109.7, lost_at)


@pytest.mark.parametrize("shown_by", ["old connection", "old session"])
def test_a_connection_that_never_came_up_says_nothing_of_a_machine_that_goes_on(shown_by: str) -> None:
    """The other way: one in fifty connections to media servers never comes up."""
    state = liveness()
    state.on_connect_timeout(104.0)
    state.on_connected(104.5)
    if shown_by == "old connection":
        state.on_data(105.0, connection_up_at=100.0)
    else:
        state.on_message(105.0, set_up_at=103.0)
    assert state.presumed_loss(200.0, has_address=True) is None


def test_sessions_of_an_ended_process_are_over_though_the_next_one_answers(noted: World) -> None:
    """KNOWN-RED 18: an answer of the process that took the address ended the doubt; the list told it."""
    old, server, connection = noted.establish_session()
    send_note(noted, connection, old)
    noted.advance(1.0)
    connection = reset(noted, server)  # in its place a new process, which knows nothing of the session
    noted.advance(0.5)
    new, _, connection = noted.establish_session()
    for _ in range(6):
        send_note(noted, connection, new)
        noted.advance(1.1)
    assert [m["c"] for m in noted.messages_for(old, "down")] == [41] and stands(noted, new)
    assert releases_at(server, old) == [41]
    noted.advance(RELEASE_LIMIT_S)
    assert stands(noted, new)


def test_sessions_go_on_though_newer_ones_answer_if_one_of_them_is_heard_of(noted: World) -> None:
    """The other way: the process is the same, and a note on any older session shows it."""
    first, server, connection = noted.establish_session()
    second, _, _ = noted.establish_session()
    noted.advance(1.0)
    connection = reset(noted, server)
    new, _, connection = noted.establish_session()
    noted.advance(4.0)
    send_note(noted, connection, second)
    for _ in range(6):
        send_note(noted, connection, new)
        noted.advance(1.1)
    assert all(stands(noted, ref) for ref in (first, second, new))


def test_sessions_set_up_under_the_id_of_a_process_that_is_gone_end_at_both_sides(
    worlds: Callable[..., World],
) -> None:
    """They stand at the process that took the address; only the viewer was told that they are over."""
    world = worlds(servers=1)
    server = world.servers[0]
    ref, _, _ = world.establish_session()
    server.name = "s-00000009"
    world.fake_resolver.list_number += 1
    world.node.resolver.send_query()
    world.run_until(lambda: world.messages_for(ref, "down"))
    world.run_until(lambda: releases_at(server, ref))


def test_an_unreachable_server_is_lost_from_its_last_sign_of_life() -> None:
    state = liveness()
    state.on_sign_of_life(105.0)
    state.on_connect_failed(105.5)
    lost_at = 105.0 + bounds.SERVER_LOST_AFTER_S
    assert state.presumed_loss(lost_at - 0.01, has_address=True) is None
    assert state.presumed_loss(lost_at + 0.01, has_address=True) is LossReason.UNREACHABLE
    state.on_connected(lost_at)
    assert state.presumed_loss(lost_at + 0.01, has_address=True) is None


# Guards against ends that are ignored because the server's process is reached under the id before it as well.
@pytest.mark.parametrize("message", ["release", "note"])
def test_a_server_that_took_over_an_address_is_heard_on_older_connections(
    worlds: Callable[..., World], message: str
) -> None:
    world = worlds(servers=1)
    server = world.servers[0]
    _, older, _ = world.wait_for_set_up(world.request_set_up(left="4000")["ref"])  # keeps the connection open
    server.name = "s-00000009"
    world.fake_resolver.list_number += 1
    world.node.resolver.send_query()
    world.run_until(lambda: "s-00000009" in world.node.servers.by_id)
    ref, _, connection = world.establish_session()
    assert connection is not older and not older.closed
    if message == "release":
        older.send_data(down(ref, 16))
        world.run_until(lambda: world.messages_for(ref, "down"))
    else:
        older.send_data(note(ref))
        world.run_until(lambda: world.node.counts["notes"])


# Guards against sessions that outlive their process because a write took a reset's error before it was read.
def test_a_reset_that_a_write_meets_first_counts_as_a_reset(worlds: Callable[..., World]) -> None:
    world = worlds(servers=1)
    server = world.servers[0]
    ref, _, connection = world.establish_session()
    world.node.servers.by_id[server.name].open_connection()
    world.run_until(lambda: len(server.connections) == 2)
    first, second = world.node.servers.by_id[server.name].connections
    server.refuse_connections()
    reset_connections(server)
    wait_until_readable(first)
    wait_until_readable(second)
    first.stream._on_ready(READ)
    second.stream.write(b"\n")  # as a give-up that the first connection carried
    second.stream._on_ready(READ)  # in the same pass, before the close that the write has scheduled
    world.advance(2 * bounds.RECONNECT_INTERVAL_S + SWEEP_S)
    world.run_until(lambda: world.messages_for(ref, "down"))


# Guards against a release that is lost because it was sent while the node closed that connection as idle.
def test_a_release_that_crosses_the_close_of_an_idle_connection_is_heard(
    worlds: Callable[..., World],
) -> None:
    world = worlds(servers=1)
    server = world.servers[0]
    ref, _, connection = world.establish_session()
    world.advance(bounds.IDLE_TIMEOUT_FRACTION * 15.0 + 2 * SWEEP_S)
    world.run_until(lambda: connection.closed)  # replaced, and ended by the node
    connection.sock.sendall(json.dumps(down(ref, 16)).encode() + b"\n")
    world.run_until(lambda: world.messages_for(ref, "down"))
    retired = world.node.servers.by_id[server.name].retired_connections
    count = len(retired)
    connection.sock.close()
    world.run_until(lambda: len(retired) < count)


def test_a_connection_that_its_server_does_not_close_ends_after_a_while(worlds: Callable[..., World]) -> None:
    world = worlds(servers=1)
    server = world.servers[0]
    _, _, connection = world.establish_session()
    world.advance(bounds.IDLE_TIMEOUT_FRACTION * 15.0 + 2 * SWEEP_S)
    world.run_until(lambda: connection.closed)
    first = world.node.servers.by_id[server.name].retired_connections[0]
    world.advance(bounds.RETIRED_CONNECTION_S + SWEEP_S)
    assert not first.stream.open
