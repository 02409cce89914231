"""Randomly ordered events of viewers, servers and time.

In every order each set-up gets one answer and has at most one open attempt, and each established session is
released once on both sides.
"""

from __future__ import annotations

import fcntl
import select
import socket
import termios
import time
from collections import Counter
from random import Random
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lemonhall import interface
from lemonhall.front.node.server_connection import ServerConnection
from lemonhall.front.node.session import Attempt
from tests.node.world import Peer, ReorderingSelector, World, make_settings

EVENTS = ["ask", "ask", "pay", "up", "up", "full", "error", "reset", "end", "cut", "give up", "leave"]
EVENTS += ["connect", "list", "hang", "hup", "wait", "refuse", "break", "break", "release", "reset viewer"]
EVENTS += ["hand over", "gone", "restart"]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "ask",
                "pay",
                "up",
                "up",
                "full",
                "error",
                "reset",
                "end",
                "cut",
                "give up",
                "leave",
                "noise",
                "wait",
            ]
        ),
        st.integers(0, 5),
    ),
    max_size=40,
)


def check(world: World) -> None:
    """Checks the messages of each ref on the sockets, and the tables of the node and the decider."""
    answers: Counter[str] = Counter()
    releases: Counter[str] = Counter()
    established = {
        m["ref"] for v in world.viewers for m in v.received if m["t"] == "up"
    } | world.handed_over_refs
    for viewer in world.viewers:
        answered_here = {m["ref"] for m in viewer.received if m["t"] == "up"}
        # Refs whose answer has arrived here: later messages are releases, as are those for other connections.
        own = set()
        for message in viewer.received:
            ref = message["ref"]
            if message["t"] == "up":
                own.add(ref)
                answers[ref] += 1
            elif ref in own or ref in established - answered_here:
                releases[ref] += 1
            else:
                answers[ref] += 1
    assert not [ref for ref, count in answers.items() if count > 1]
    # A release is repeated elsewhere, once, if its viewer disconnected before the node read the
    # acknowledgement.
    repeatable = {m["ref"] for v in world.viewers if v.closed for m in v.received if m["t"] == "down"}
    assert not [ref for ref, count in releases.items() if count > (2 if ref in repeatable else 1)]
    for server in world.servers:
        for connection in server.connections:
            kinds = Counter((m["ref"], m["t"]) for m in connection.received)
            assert not [key for key, count in kinds.items() if key[1] in ("new", "down") and count > 1]
    sessions = world.node.sessions
    assert set(sessions.by_ref) == {session.ref for session in sessions.by_number.values()}
    at_node = [session for session in sessions.by_ref.values() if session.established]
    assert sessions.established_count == len(at_node)
    at_servers = [ref for server in world.node.servers.by_id.values() for ref in server.established_sessions]
    assert sorted(at_servers) == sorted(session.ref for session in at_node)
    unanswered = [ref for viewer in world.node.viewers.connections for ref in viewer.open_sessions]
    assert sorted(unanswered) == sorted(
        session.ref for session in sessions.by_ref.values() if not session.established
    )
    at_decider = world.node.bridge.decider.sessions  # type: ignore[attr-defined]
    assert set(at_decider) == set(sessions.by_number)


def apply_steps(world: World, steps: list[tuple[str, int]], pump: bool = True) -> None:
    causes = {"full": 34, "error": 47, "reset": 41}
    for step, n in steps:
        set_ups = [
            (connection, message["ref"])
            for server in world.servers
            for connection, message in server.received_messages("new")
            if not connection.closed
        ]
        connections = [
            connection
            for server in world.servers
            for connection in server.connections
            if not connection.closed
        ]
        # A session that was handed over may end on any connection.
        set_ups += [(connection, ref) for connection in connections for ref in sorted(world.handed_over_refs)]
        if step in ("ask", "pay"):
            viewer = next((peer for peer in world.viewers if not peer.closed), None) or world.connect_viewer()
            world.request_set_up("premium" if step == "pay" else "plain", viewer=viewer, key=f"{n:016x}")
        elif step == "wait":
            world.advance(0.1 * (n + 1))
        elif step == "leave" and n == 0:
            world.viewers[-1].close()
        elif step == "give up" and world.ref_count:
            for viewer in world.viewers:
                if not viewer.closed:
                    ref = f"{max(1, world.ref_count - n):016x}"
                    viewer.send_data({"t": "down", "ref": ref, "f": {}, "c": 16})
        elif set_ups and step not in ("leave", "give up"):
            connection, ref = set_ups[-1 - n % len(set_ups)]
            if step == "up" and ref not in world.handed_over_refs:
                connection.send_data({"t": "up", "ref": ref, "f": {}, "d": "v=0"})
            elif step == "noise":
                connection.send_data(b"noise\n")
            else:
                cause = causes.get(step, 16 if step == "end" else 41)
                connection.send_data({"t": "down", "ref": ref, "f": {}, "c": cause})
        if pump:
            world.pump(3)


@settings(max_examples=60, deadline=None)
@given(STEPS)
def test_each_set_up_gets_one_answer_in_any_order_of_events(steps: list[tuple[str, int]]) -> None:
    world = World()
    try:
        apply_steps(world, steps)
        world.pump()
        check(world)
        for viewer in world.viewers:
            if not viewer.closed:
                wait_until_delivered(viewer)  # on a busy machine set-ups may still be on their way
        world.pump()
        world.advance(5.0)  # all set-ups time out
        assert world.node.open_set_up_count == 0
        check(world)
    finally:
        world.close()


def node_sockets_of(world: World, peer: Peer) -> list[Any]:
    """The node's socket of a viewer's connection; empty until the connection is accepted."""
    found = []
    for viewer in world.node.viewers.connections:
        try:
            if viewer.stream.sock.getpeername() == peer.local_address:
                found.append(viewer.stream.sock)
        except OSError:  # a reset has arrived, or it is closed
            continue
    return found


def wait_until_delivered(peer: Peer) -> None:
    """Waits until everything that a peer has sent is in the node's kernel (tcp(7), SIOCOUTQ)."""
    limit = time.monotonic() + 10
    while int.from_bytes(fcntl.ioctl(peer.sock, termios.TIOCOUTQ, b"\0" * 4), "little"):
        assert time.monotonic() < limit


def wait_until_ended(socks: list[Any]) -> None:
    """Waits until the end of each connection has arrived."""
    for sock in socks:
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP | select.POLLHUP | select.POLLERR)
        assert poll.poll(10_000)


class CrossingEvents:
    """Several events before each pass, and some inside it, in a random order.

    Checks that nothing is sent on for a viewer that has left, and that no connection exceeds its limit.
    """

    def __init__(self, world: World, random: Random) -> None:
        self.world, self.random = world, random
        shuffling = ReorderingSelector(world.loop.selector, lambda found: random.sample(found, len(found)))
        world.loop.selector = shuffling  # type: ignore[assignment]
        self.sent: Counter[str] = Counter()  # set-ups written to streams, whether or not the kernel took them
        self.sent_when_left: dict[str, int] = {}  # of set-ups whose viewer has left
        self.viewer_of: dict[str, Peer] = {}
        self.listen_socket = world.servers[0].listen_socket
        self.hanging = False

    def run_batch(self, batch: list[tuple[str, int]]) -> None:
        world = self.world
        for viewer in [*world.viewers]:
            viewer.read()
        for event, n in batch:
            if event not in ("wait", "hup", "connect") and self.random.random() < 0.4:
                world.loop.call_soon(self.apply, event, n)  # after all reads, before their consequences
            else:
                self.apply(event, n)
        world.loop.run_once(0.0)
        self.check_limits()
        world.pump(1)
        self.check_limits()
        sent_on = [ref for ref, before in self.sent_when_left.items() if self.sent[ref] > before]
        assert not sent_on, "sent on after the viewer left"

    def check_limits(self) -> None:
        servers = self.world.node.servers
        assert all(
            len(connection.open_attempts) <= servers.set_ups_per_connection
            for server in servers.by_id.values()
            for connection in server.connections
        )

    def apply(self, event: str, n: int) -> None:
        world, viewer_of = self.world, self.viewer_of
        viewers = [peer for peer in world.viewers if not peer.closed]
        connections = [
            connection
            for server in world.servers
            for connection in server.connections
            if not connection.closed
        ]
        if event in ("ask", "pay"):
            if not viewers:
                viewers = [Peer(socket.create_connection(world.address), True)]
                world.viewers += viewers
            viewer = viewers[n % len(viewers)]
            cls = "premium" if event == "pay" else "plain"
            extras = f"home:0;copies:4;top:2;viewer:{world.ref_count:016x}"
            viewer_of[world.request_set_up(cls, viewer=viewer, key=f"{n:016x}", extras=extras)["ref"]] = (
                viewer
            )
        elif event == "connect":
            world.viewers.append(Peer(socket.create_connection(world.address), True))
        elif event in ("give up", "release") and (
            refs := [ref for ref, viewer in viewer_of.items() if viewer in viewers]
        ):
            ref = refs[-1 - n % len(refs)]
            cause = 16 if event == "give up" else 31
            viewer_of[ref].send_data({"t": "down", "ref": ref, "f": {}, "c": cause})
            wait_until_delivered(viewer_of[ref])
            self.mark_left([ref])
        elif event in ("leave", "reset viewer") and viewers:
            viewer = viewers[n % len(viewers)]
            socks = node_sockets_of(world, viewer)
            if event != "leave":
                viewer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            viewer.close()
            wait_until_ended(socks)
            if socks:  # else its requests are not read yet, and its end may be queued behind them
                self.mark_left([ref for ref, owner in viewer_of.items() if owner is viewer])
        elif event == "break" and connections:
            connection = connections[-1 - n % len(connections)]
            if n % 2:
                connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            connection.close()
        elif event == "hand over" and viewers:
            at = world.servers[n % 2].name
            extras = f"viewer:{world.ref_count:016x};at:{at}"
            ref = world.request_set_up(viewer=viewers[n % len(viewers)], extras=extras)["ref"]
            world.handed_over_refs.add(ref)
        elif event == "gone":
            world.fake_resolver.servers = world.servers[: 1 + (len(world.fake_resolver.servers) == 1)]
            world.fake_resolver.list_number += 1
        elif event == "restart":
            world.servers[1].started_ms = int(world.node.bridge.now_ms())
            world.fake_resolver.list_number += 1
        elif event == "list":
            world.servers[0].draining = not world.servers[0].draining
            world.fake_resolver.list_number += 1
        elif event == "hang" and world.servers[0].listen_socket.fileno() >= 0:
            # Connections hang: the kernel queues them, and nobody accepts them.
            self.hanging = not self.hanging
            world.servers[0].listen_socket = socket.socket() if self.hanging else self.listen_socket
        elif event == "refuse":
            server = world.servers[1]
            (server.start_listening if server.refusing else server.refuse_connections)()
        elif event == "hup":
            world.node.reload()
        elif event == "wait":
            world.advance(0.1 * (n + 1))
        else:
            apply_steps(world, [(event, n)], pump=False)

    def mark_left(self, refs: list[str]) -> None:
        """The disconnect has arrived in the node's kernel: from here on nothing may be sent on."""
        for ref in refs:
            self.sent_when_left.setdefault(ref, self.sent[ref])


BATCH = st.lists(st.tuples(st.sampled_from(EVENTS), st.integers(0, 5)), min_size=1, max_size=5)


def run_batches(world: World, batches: list[list[tuple[str, int]]], random: Random) -> dict[str, Peer]:
    """Returns the refs that must be answered, each with its connection."""
    crossing = CrossingEvents(world, random)
    send_set_up = ServerConnection.send_set_up

    def count_and_send(connection: ServerConnection, attempt: Attempt, line: bytes) -> None:
        crossing.sent[attempt.session.ref] += 1
        send_set_up(connection, attempt, line)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(ServerConnection, "send_set_up", count_and_send)
        for batch in batches:
            crossing.run_batch(batch)
    if crossing.hanging:
        world.servers[0].listen_socket = crossing.listen_socket
    for server in world.servers:
        if server.refusing:
            server.start_listening()
    return {
        ref: viewer
        for ref, viewer in crossing.viewer_of.items()
        if ref not in crossing.sent_when_left and not viewer.closed
    }


def settle(world: World, unanswered: dict[str, Peer]) -> None:
    """Lets all set-ups time out and all messages arrive, then checks that no state is left over."""
    world.pump(6)
    check(world)
    world.advance(5.0)
    # On a busy machine the kernel may deliver the last messages late: wait, at most 10 s of real time.
    world.run_until(lambda: world.advance(5.0, 0.2) or not world.node.open_set_up_count)
    check(world)
    decider: Any = world.node.bridge.decider
    held = sum(
        len(server.sessions) for server in decider.servers_in_use
    )  # also at servers that are not listed
    assert held == len(decider.sessions) == world.node.sessions.established_count
    assert not world.node.sessions.departing
    world.run_until(
        lambda: (
            world.advance(0.5) or all(ref in [m["ref"] for m in v.received] for ref, v in unanswered.items())
        )
    )


def run_and_check(batches: list[list[tuple[str, int]]], seed: int) -> None:
    node_settings = make_settings(caps={**make_settings()["caps"], "maxStreams": 1 + seed % 3})
    world = World(settings=node_settings, acknowledges=True)
    try:
        settle(world, run_batches(world, batches, Random(seed)))
    finally:
        world.close()


@settings(max_examples=40, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(BATCH, max_size=12), st.integers(0, 1 << 16))
def test_several_events_per_pass_in_any_order(batches: list[list[tuple[str, int]]], seed: int) -> None:
    run_and_check(batches, seed)


def plant_sending_after_disconnect(patch: pytest.MonkeyPatch) -> None:
    patch.setattr("lemonhall.front.node.viewers.ViewerConnection.read_pending", lambda self: None)


def plant_late_report_of_departure(patch: pytest.MonkeyPatch) -> None:
    def enqueue_viewer_gone(bridge: Any, event: interface.NewSession) -> bool:
        bridge.enqueue(interface.ViewerGone(event.id))
        return True

    patch.setattr("lemonhall.front.decider.bridge.Bridge.enqueue_viewer_gone", enqueue_viewer_gone)


def plant_undelivered_answer(patch: pytest.MonkeyPatch) -> None:
    patch.setattr("lemonhall.front.node.sessions.Sessions.send_answer", lambda self, session, line: True)


WARM_UP = [[("ask", 0)], [("up", 0)], [("cut", 0)], [("wait", 1)]]


@pytest.mark.parametrize(
    ("plant_fault", "batches"),
    [
        (plant_sending_after_disconnect, [*WARM_UP, [("ask", 0), ("leave", 0)]]),
        (plant_late_report_of_departure, [[("ask", 0)], [("wait", 0)], [("full", 0), ("give up", 0)]]),
        (plant_undelivered_answer, [[("ask", 0)], [("wait", 0)], [("up", 0)], [("wait", 0)]]),
    ],
)
def test_the_random_check_detects_planted_faults(
    plant_fault: Any, batches: list[list[tuple[str, int]]], monkeypatch: pytest.MonkeyPatch
) -> None:
    for seed in range(4):
        run_and_check(batches, seed)
    plant_fault(monkeypatch)
    with pytest.raises(AssertionError):  # noqa: PT012
        for seed in range(4):
            run_and_check(batches, seed)


def test_the_check_detects_a_second_answer() -> None:
    world = World()
    try:
        ref, _, _ = world.establish_session()
        session = world.node.sessions.by_ref[ref]
        assert session.viewer
        session.viewer.send(b'{"t":"up","ref":"' + ref.encode() + b'","f":{},"d":"again"}\n')
        world.run_until(lambda: len(world.messages_for(ref, "up")) == 2)
        try:
            check(world)
        except AssertionError:
            return
        raise SystemExit("a second answer was not detected")
    finally:
        world.close()
