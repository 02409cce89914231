"""A media server of a trial: one port on an address for each node, so that it knows whose a connection is."""

from __future__ import annotations

import json
import socket
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from lemonhall.loop import Handler, Loop, Stream
from lemonhall.loop.stream import start_accepting
from lemonhall.node.causes import GIVEN_UP, REFUSED
from lemonhall.node.line_reader import LineReader
from lemonhall.soak.record import NEVER, Record, ServedSetUp
from lemonhall.soak.settings import NOTE_INTERVAL_S

LISTEN_BACKLOG = 256
BIND_ATTEMPTS = 20
BUFFERED_S = 0.05  # after a hang: what is read then had come before
RELEASE_ARRIVES_S = 0.3  # a connection that ends sooner after a release may have lost it


def node_address(node: int) -> str:
    """The loopback address at which a node reaches all other parties."""
    return f"127.0.0.{10 + node}"


def encode(message: dict[str, Any]) -> bytes:
    return json.dumps(message).encode() + b"\n"


class NodeLink(Handler):
    """One connection from a node."""

    def __init__(self, server: MediaServer, node: int, sock: socket.socket) -> None:
        self.server, self.node, self.reader = server, node, LineReader()
        self.open_set_ups: dict[str, ServedSetUp] = {}
        self.line_began_at = 0.0
        self.releases: deque[tuple[float, ServedSetUp]] = deque(maxlen=64)
        self.stream = Stream(server.loop, sock, self)

    def on_data(self, view: memoryview) -> None:
        now = self.server.now()
        if not self.reader.has_unread:
            self.line_began_at = now
        self.reader.feed(view)
        while self.stream.open and (line := self.reader.next_line()) is not None:
            self.server.on_message(self, json.loads(line), self.line_began_at)
            self.line_began_at = now

    def send(self, message: dict[str, Any]) -> None:
        self.stream.write(encode(message))

    def on_closed(self, reason: str) -> None:
        self.server.on_link_closed(self)


class MediaServer:
    """Answers set-ups after a while and holds sessions; `process_number` changes with each new process."""

    def __init__(self, loop: Loop, record: Record, random: Random, number: int, nodes: int) -> None:
        self.loop, self.record, self.random, self.number, self.nodes = loop, record, random, number, nodes
        self.id = f"s-{number:08x}"
        self.now: Callable[[], float] = loop.now
        self.set_up_s = self.session_s = 0.0
        self.is_requested: Callable[[str], bool] = lambda ref: True
        self.started_ms = 0
        self.process_number = 0
        self.resumed_at = -NEVER
        self.draining = self.hanging = False
        self.port = 0
        self.listeners: list[socket.socket] = []
        self.links: list[NodeLink] = []
        self.sessions: dict[str, ServedSetUp] = {}
        self.session_links: dict[str, NodeLink] = {}  # the connection of each session's set-up
        self.repeated_releases: list[ServedSetUp] = []  # to be sent on the next connection as well
        self.start()
        self.send_notes()

    @property
    def alive(self) -> bool:
        return bool(self.listeners)

    def start(self) -> None:
        """Listens at its port again, or at one that is free on the addresses of all nodes."""
        for _ in range(BIND_ATTEMPTS):
            try:
                self.listen_at(self.port)
                break
            except OSError:
                for sock in self.listeners:
                    sock.close()
                self.listeners.clear()
                if self.port:
                    raise
        self.port = self.listeners[0].getsockname()[1]
        for node, sock in enumerate(self.listeners):
            self.accept_on(sock, node)

    def listen_at(self, port: int) -> None:
        """Raises `OSError` if the port is in use on one of the addresses."""
        for node in range(self.nodes):
            sock = socket.socket()
            self.listeners.append(sock)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((node_address(node), port))
            port = sock.getsockname()[1]
            sock.listen(LISTEN_BACKLOG)

    def accept_on(self, sock: socket.socket, node: int) -> None:
        def accept(accepted: socket.socket, _: Any) -> None:
            link = NodeLink(self, node, accepted)
            self.links.append(link)
            if self.hanging:
                link.stream.pause_reading()
            self.send_repeated_releases(link)

        start_accepting(self.loop, sock, accept)

    def end_process(self) -> None:
        """Refuses connections, resets those that are open, and its sessions are over."""
        now = self.now()
        self.process_number += 1
        self.hanging = self.draining = False
        for sock in self.listeners:
            self.loop.watch_socket(sock, 0, self.start)
            sock.close()
        self.listeners.clear()
        for session in self.sessions.values():
            session.over_at = now
        self.sessions.clear()
        self.session_links.clear()
        self.repeated_releases.clear()
        self.reset_links()

    def reset_links(self) -> None:
        for link in list(self.links):
            link.stream.abort()

    def set_hanging(self, hanging: bool) -> None:
        """A process that hangs reads and answers nothing; the kernel goes on accepting."""
        self.hanging = hanging
        if not hanging:
            self.resumed_at = self.now()
        for link in self.links:
            for set_up in link.open_set_ups.values():
                set_up.unread_since = min(set_up.unread_since, self.now())
            if hanging:
                link.stream.pause_reading()
            else:
                link.stream.resume_reading()

    def on_message(self, link: NodeLink, message: dict[str, Any], began_at: float) -> None:
        kind, ref = message["t"], message.get("ref", "")
        if kind == "hb":
            link.send({"t": "hb_ok", "ref": ref, "f": {}, "c": 1})
        elif kind == "new":
            self.on_set_up(link, ref, began_at)
        elif kind == "down":
            self.on_down(link, ref)

    def on_set_up(self, link: NodeLink, ref: str, began_at: float) -> None:
        if not self.is_requested(ref):
            self.record.foreign_set_ups.append(f"{ref} at {self.id}")
        set_up = ServedSetUp(ref, self.id, link.node, began_at, self.now())
        set_up.buffered = self.now() - self.resumed_at < BUFFERED_S
        self.record.set_ups.append(set_up)
        if self.draining:
            set_up.ended_at, set_up.cause = self.now(), REFUSED
            link.send({"t": "down", "ref": ref, "f": {}, "c": REFUSED})
            return
        link.open_set_ups[ref] = set_up
        delay_s = self.set_up_s * self.random.uniform(0.5, 1.5)
        self.loop.call_later(delay_s, self.answer, link, set_up, self.process_number)

    def answer(self, link: NodeLink, set_up: ServedSetUp, process_number: int) -> None:
        if process_number != self.process_number or link.open_set_ups.get(set_up.ref) is not set_up:
            return
        if self.hanging:
            self.loop.call_later(0.05, self.answer, link, set_up, process_number)
            return
        del link.open_set_ups[set_up.ref]
        set_up.ended_at = self.now()
        set_up.description = f"v=0 {set_up.ref} {self.id} {self.random.random()}"
        self.sessions[set_up.ref] = set_up
        self.session_links[set_up.ref] = link
        link.send({"t": "up", "ref": set_up.ref, "f": {"load": "x0:0.2;x1:0.2"}, "d": set_up.description})
        length_s = self.random.expovariate(1 / self.session_s)
        self.loop.call_later(length_s, self.end_session, set_up, process_number)

    def end_session(self, set_up: ServedSetUp, process_number: int) -> None:
        if process_number != self.process_number or self.sessions.get(set_up.ref) is not set_up:
            return
        if self.hanging:
            self.loop.call_later(0.05, self.end_session, set_up, process_number)
            return
        del self.sessions[set_up.ref]
        set_up.over_at = self.now()
        self.repeated_releases.append(set_up)
        own = self.session_links.pop(set_up.ref)
        if link := own if own.stream.open else self.link_of(set_up.node):
            self.send_release(link, set_up)

    def link_of(self, node: int) -> NodeLink | None:
        return next((link for link in self.links if link.node == node and link.stream.open), None)

    def send_release(self, link: NodeLink, set_up: ServedSetUp) -> None:
        set_up.release_sent_at = self.now()
        link.releases.append((self.now(), set_up))
        link.send({"t": "down", "ref": set_up.ref, "f": {}, "c": GIVEN_UP})

    def send_repeated_releases(self, link: NodeLink) -> None:
        """A server sends a release also on the next connection that is opened."""
        for set_up in [set_up for set_up in self.repeated_releases if set_up.node == link.node]:
            self.repeated_releases.remove(set_up)
            self.send_release(link, set_up)

    def on_down(self, link: NodeLink, ref: str) -> None:
        """The node gives a set-up up or releases a session."""
        set_up = link.open_set_ups.pop(ref, None)
        if set_up:
            set_up.ended_at = self.now()
        self.session_links.pop(ref, None)
        session = self.sessions.pop(ref, None)
        if session:
            session.over_at = self.now()

    def on_link_closed(self, link: NodeLink) -> None:
        """Closing a connection gives up the set-ups open on it."""
        if link in self.links:
            self.links.remove(link)
        for sent_at, set_up in link.releases:
            if self.now() - sent_at < RELEASE_ARRIVES_S:
                set_up.release_sent_at = NEVER  # it may have been lost with the connection
        for set_up in link.open_set_ups.values():
            set_up.ended_at = min(set_up.ended_at, self.now())
        link.open_set_ups.clear()

    def send_notes(self) -> None:
        """A note on one session of each node."""
        self.loop.call_later(NOTE_INTERVAL_S, self.send_notes)
        if self.hanging:
            return
        for node in range(self.nodes):
            link = self.link_of(node)
            session = next((held for held in self.sessions.values() if held.node == node), None)
            if link and session:
                link.send({"t": "tell", "ref": session.ref, "f": {"note": "l", "value": "0.2"}})
