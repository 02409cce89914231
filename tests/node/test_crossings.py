"""Any order of what viewers, servers and time do: one answer to a set-up, one attempt out at a time, one
release on both sides of what stood."""

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

from lemonhall import interface as i
from lemonhall.front.node.servers import Link
from lemonhall.front.node.session import Attempt
from tests.node.world import Order, Peer, World
from tests.node.world import settings as defaults

EVENTS = ["ask", "ask", "pay", "up", "up", "full", "error", "reset", "end", "cut", "give up", "leave"]
EVENTS += ["connect", "list", "deaf", "hup", "wait", "refuse", "break", "break", "release", "reset viewer"]
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
    """The story of each id, from what passed on the sockets."""
    answers: Counter[str] = Counter()
    released: Counter[str] = Counter()
    stood = {m["ref"] for v in world.viewers for m in v.got if m["t"] == "up"} | world.handed
    for viewer in world.viewers:
        here = {m["ref"] for m in viewer.got if m["t"] == "up"}
        own = set()  # those whose answer has come: what comes then is a release, as is what comes elsewhere
        for message in viewer.got:
            ref = message["ref"]
            if message["t"] == "up":
                own.add(ref)
                answers[ref] += 1
            elif ref in own or ref in stood - here:
                released[ref] += 1
            else:
                answers[ref] += 1
    assert not [ref for ref, n in answers.items() if n > 1]
    # Once, but where its viewer went before the node could read that it was heard: then once more elsewhere.
    gone = {m["ref"] for v in world.viewers if v.ended for m in v.got if m["t"] == "down"}
    assert not [ref for ref, n in released.items() if n > (2 if ref in gone else 1)]
    for server in world.servers:
        for link in server.links:
            kinds = Counter((m["ref"], m["t"]) for m in link.got)
            assert not [key for key, n in kinds.items() if key[1] in ("new", "down") and n > 1]
    sessions = world.node.sessions
    assert set(sessions.by_ref) == {s.ref for s in sessions.by_number.values()}
    standing = [s for s in sessions.by_ref.values() if s.standing]
    assert sessions.standing == len(standing)
    held = [ref for s in world.node.servers.by_id.values() for ref in s.standing]
    assert sorted(held) == sorted(s.ref for s in standing)
    owed = [ref for v in world.node.viewers.links for ref in v.open]
    assert sorted(owed) == sorted(s.ref for s in sessions.by_ref.values() if not s.standing)
    module = world.node.bridge.decider.sessions  # type: ignore[attr-defined]
    assert set(module) == set(sessions.by_number)  # the module holds no session that nobody has, and no fewer


def play(world: World, steps: list[tuple[str, int]], pump: bool = True) -> None:
    causes = {"full": 34, "error": 47, "reset": 41}
    for what, n in steps:
        news = [(k, m["ref"]) for s in world.servers for k, m in s.asked("new") if not k.ended]
        links = [k for s in world.servers for k in s.links if not k.ended]
        news += [
            (k, ref) for k in links for ref in sorted(world.handed)
        ]  # what was handed over may end on any
        if what in ("ask", "pay"):
            viewer = next((v for v in world.viewers if not v.ended), None) or world.connect()
            world.ask("premium" if what == "pay" else "plain", viewer=viewer, key=f"{n:016x}")
        elif what == "wait":
            world.pass_s(0.1 * (n + 1))
        elif what == "leave" and n == 0:
            world.viewers[-1].close()
        elif what == "give up" and world.refs:
            for viewer in world.viewers:
                if not viewer.ended:
                    ref = f"{max(1, world.refs - n):016x}"
                    viewer.say({"t": "down", "ref": ref, "f": {}, "c": 16})
        elif news and what not in ("leave", "give up"):
            link, ref = news[-1 - n % len(news)]
            if what == "up" and ref not in world.handed:
                link.say({"t": "up", "ref": ref, "f": {}, "d": "v=0"})
            elif what == "noise":
                link.say(b"noise\n")
            else:
                cause = causes.get(what, 16 if what == "end" else 41)
                link.say({"t": "down", "ref": ref, "f": {}, "c": cause})
        if pump:
            world.pump(3)


@settings(max_examples=60, deadline=None)
@given(STEPS)
def test_every_order_of_crossing_events_keeps_one_answer(steps: list[tuple[str, int]]) -> None:
    world = World()
    try:
        play(world, steps)
        world.pump()
        check(world)
        world.pass_s(5.0)  # all set-ups are out of time
        world.pump()  # on a busy machine the last may only have come meanwhile
        world.pass_s(5.0)
        assert world.node.open == 0
        check(world)
    finally:
        world.close()


def mine(world: World, peer: Peer) -> list[Any]:
    """The node's end of a viewer's connection, once it is accepted."""
    found = []
    for viewer in world.node.viewers.links:
        try:
            if viewer.stream.sock.getpeername() == peer.name:
                found.append(viewer.stream.sock)
        except OSError:  # a reset lies there, or it is closed
            continue
    return found


def delivered(peer: Peer) -> None:
    """Waits until all that a peer has said lies in the node's kernel (tcp(7), SIOCOUTQ)."""
    limit = time.monotonic() + 10
    while int.from_bytes(fcntl.ioctl(peer.sock, termios.TIOCOUTQ, b"\0" * 4), "little"):
        assert time.monotonic() < limit


def ended(ends: list[Any]) -> None:
    """Waits until the end of a connection lies there."""
    for sock in ends:
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP | select.POLLHUP | select.POLLERR)
        assert poll.poll(10_000)


class Crossing:
    """Several events before each pass, and some inside it, given in a drawn order: nothing leaves for who has
    left before it, no connection carries more than it may."""

    def __init__(self, world: World, random: Random) -> None:
        self.world, self.random = world, random
        drawn = Order(world.loop.selector, lambda found: random.sample(found, len(found)))
        world.loop.selector = drawn  # type: ignore[assignment]
        self.sent: Counter[str] = (
            Counter()
        )  # as it is written: what the kernel does with it is its own affair
        self.left: dict[str, int] = {}  # who has left, and how often it had been sent on by then
        self.by: dict[str, Peer] = {}
        self.door = world.servers[0].door
        self.deaf = False

    def batch(self, batch: list[tuple[str, int]]) -> None:
        world = self.world
        for viewer in [*world.viewers]:
            viewer.read()
        for what, n in batch:
            if what not in ("wait", "hup", "connect") and self.random.random() < 0.4:
                world.loop.call_soon(self.happens, what, n)  # behind all reads, ahead of what they brought
            else:
                self.happens(what, n)
        world.loop.run_once(0.0)
        self.full()
        world.pump(1)
        self.full()
        sent_on = [ref for ref, before in self.left.items() if self.sent[ref] > before]
        assert not sent_on, "sent on after leaving"

    def full(self) -> None:
        servers = self.world.node.servers
        assert all(len(k.open) <= servers.streams for s in servers.by_id.values() for k in s.links)

    def happens(self, what: str, n: int) -> None:
        world, by = self.world, self.by
        viewers = [v for v in world.viewers if not v.ended]
        links = [k for s in world.servers for k in s.links if not k.ended]
        if what in ("ask", "pay"):
            if not viewers:
                viewers = [Peer(socket.create_connection(world.address), True)]
                world.viewers += viewers
            viewer = viewers[n % len(viewers)]
            cls = "premium" if what == "pay" else "plain"
            extras = f"home:0;copies:4;top:2;viewer:{world.refs:016x}"
            by[world.ask(cls, viewer=viewer, key=f"{n:016x}", extras=extras)["ref"]] = viewer
        elif what == "connect":
            world.viewers.append(Peer(socket.create_connection(world.address), True))
        elif what in ("give up", "release") and (refs := [r for r, v in by.items() if v in viewers]):
            ref = refs[-1 - n % len(refs)]
            cause = 16 if what == "give up" else 31
            by[ref].say({"t": "down", "ref": ref, "f": {}, "c": cause})
            delivered(by[ref])
            self.leaves([ref])
        elif what in ("leave", "reset viewer") and viewers:
            viewer = viewers[n % len(viewers)]
            ends = mine(world, viewer)
            if what != "leave":
                viewer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            viewer.close()
            ended(ends)
            if ends:  # else nobody has read its requests yet, and its end may come behind them
                self.leaves([ref for ref, v in by.items() if v is viewer])
        elif what == "break" and links:
            link = links[-1 - n % len(links)]
            if n % 2:
                link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            link.close()
        elif what == "hand over" and viewers:
            at = world.servers[n % 2].name
            extras = f"viewer:{world.refs:016x};at:{at}"
            ref = world.ask(viewer=viewers[n % len(viewers)], extras=extras)["ref"]
            world.handed.add(ref)
        elif what == "gone":
            world.names.servers = world.servers[: 1 + (len(world.names.servers) == 1)]
            world.names.seq += 1
        elif what == "restart":
            world.servers[1].started = int(world.node.bridge.now_ms())
            world.names.seq += 1
        elif what == "list":
            world.servers[0].draining = not world.servers[0].draining
            world.names.seq += 1
        elif what == "deaf" and world.servers[0].door.fileno() >= 0:  # connections hang: nobody takes them
            self.deaf = not self.deaf
            world.servers[0].door = socket.socket() if self.deaf else self.door
        elif what == "refuse":
            server = world.servers[1]
            (server.serve if server.refuses else server.refuse)()
        elif what == "hup":
            world.node.reload()
        elif what == "wait":
            world.pass_s(0.1 * (n + 1))
        else:
            play(world, [(what, n)], pump=False)

    def leaves(self, refs: list[str]) -> None:
        """The leaving lies in the node's kernel: from here on nothing may be sent on."""
        for ref in refs:
            self.left.setdefault(ref, self.sent[ref])


BATCH = st.lists(st.tuples(st.sampled_from(EVENTS), st.integers(0, 5)), min_size=1, max_size=5)


def crossed(world: World, batches: list[list[tuple[str, int]]], random: Random) -> dict[str, Peer]:
    """What it gives back: the ids that are owed an answer, each with its connection."""
    crossing = Crossing(world, random)
    put = Link.put

    def counted(link: Link, attempt: Attempt, line: bytes) -> None:
        crossing.sent[attempt.session.ref] += 1
        put(link, attempt, line)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Link, "put", counted)
        for batch in batches:
            crossing.batch(batch)
    if crossing.deaf:
        world.servers[0].door = crossing.door
    for server in world.servers:
        if server.refuses:
            server.serve()
    return {ref: v for ref, v in crossing.by.items() if ref not in crossing.left and not v.ended}


def settle(world: World, owed: dict[str, Peer]) -> None:
    """All set-ups are out of time, all viewers and servers are through: nothing is held by anybody."""
    world.pump(6)
    check(world)
    world.pass_s(5.0)
    # On a busy machine the kernel may have kept the last words back: until all is through, or a real 10 s.
    world.until(lambda: world.pass_s(5.0, 0.2) or not world.node.open)
    check(world)
    module: Any = world.node.bridge.decider
    held = sum(len(box.sessions) for box in module.held)  # also at servers that no list has told
    assert held == len(module.sessions) == world.node.sessions.standing
    assert not world.node.sessions.leaving
    world.until(lambda: world.pass_s(0.5) or all(ref in [m["ref"] for m in v.got] for ref, v in owed.items()))


def cross(batches: list[list[tuple[str, int]]], seed: int) -> None:
    told = defaults(caps={**defaults()["caps"], "maxStreams": 1 + seed % 3})
    world = World(told=told, acks=True)
    try:
        settle(world, crossed(world, batches, Random(seed)))
    finally:
        world.close()


@settings(max_examples=40, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(BATCH, max_size=12), st.integers(0, 1 << 16))
def test_several_events_a_pass_in_any_order(batches: list[list[tuple[str, int]]], seed: int) -> None:
    cross(batches, seed)


def sent_on(patch: pytest.MonkeyPatch) -> None:
    patch.setattr("lemonhall.front.node.viewers.Viewer.look", lambda self: None)


def told_last(patch: pytest.MonkeyPatch) -> None:
    def enqueue_viewer_gone(bridge: Any, told: i.NewSession) -> bool:
        bridge.enqueue(i.ViewerGone(told.id))
        return True

    patch.setattr("lemonhall.front.decider.bridge.Bridge.enqueue_viewer_gone", enqueue_viewer_gone)


def never_ended(patch: pytest.MonkeyPatch) -> None:
    patch.setattr("lemonhall.front.node.sessions.Sessions.deliver", lambda self, session, line: True)


WARM = [[("ask", 0)], [("up", 0)], [("cut", 0)], [("wait", 1)]]


@pytest.mark.parametrize(
    ("plant", "batches"),
    [
        (sent_on, [*WARM, [("ask", 0), ("leave", 0)]]),
        (told_last, [[("ask", 0)], [("wait", 0)], [("full", 0), ("give up", 0)]]),
        (never_ended, [[("ask", 0)], [("wait", 0)], [("up", 0)], [("wait", 0)]]),
    ],
)
def test_the_drawn_check_sees_what_is_planted(
    plant: Any, batches: list[list[tuple[str, int]]], monkeypatch: pytest.MonkeyPatch
) -> None:
    for seed in range(4):
        cross(batches, seed)
    plant(monkeypatch)
    with pytest.raises(AssertionError):  # noqa: PT012
        for seed in range(4):
            cross(batches, seed)


def test_the_check_sees_a_second_answer() -> None:
    world = World()
    try:
        ref, _, _ = world.play()
        session = world.node.sessions.by_ref[ref]
        assert session.viewer
        session.viewer.send(b'{"t":"up","ref":"' + ref.encode() + b'","f":{},"d":"again"}\n')
        world.until(lambda: len(world.told_of(ref, "up")) == 2)
        try:
            check(world)
        except AssertionError:
            return
        raise SystemExit("a second answer went unseen")
    finally:
        world.close()
