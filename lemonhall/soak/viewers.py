"""The viewers of a trial: connections to each node, requests at a rate, and what comes back."""

from __future__ import annotations

import json
from collections.abc import Callable
from random import Random
from typing import Any

from lemonhall.loop import Handler, Loop, Stream
from lemonhall.node.causes import GIVEN_UP
from lemonhall.node.line_reader import LineReader
from lemonhall.soak.media_server import encode
from lemonhall.soak.record import Record, Request
from lemonhall.soak.schedule import Site
from lemonhall.soak.settings import CLASSES

CONNECTIONS = 3  # of the viewers of one node
CONNECT_TIMEOUT_S = 1.0
RECONNECT_S = 0.1
GIVE_UP_SHARE = 0.05  # of requests whose viewer leaves early
HURRIED_SHARE = 0.05  # of requests with little time left
RUDE_TEXTS = (
    b"nonsense\n",
    b'{"t":"new","ref":1}\n',
    b'{"t":"new"' * 2000,
    b"\xff\xfe\n" * 50,
    b"{}\n" * 100,
)


class ViewerConnection(Handler):
    """One connection from viewers to a node."""

    def __init__(self, viewers: NodeViewers, process: int) -> None:
        self.viewers, self.process, self.reader = viewers, process, LineReader()
        self.open_requests: dict[str, Request] = {}
        self.connected = False
        self.stream = Stream.connect(viewers.loop, viewers.address, self, CONNECT_TIMEOUT_S)

    @property
    def usable(self) -> bool:
        return self.connected and self.stream.open and not self.stream.closing

    def on_connected(self) -> None:
        self.connected = True

    def send(self, message: dict[str, Any]) -> None:
        self.stream.write(encode(message))

    def on_data(self, view: memoryview) -> None:
        self.reader.feed(view)
        while self.stream.open and (line := self.reader.next_line()) is not None:
            self.viewers.on_message(self, json.loads(line))

    def on_closed(self, reason: str) -> None:
        for request in self.open_requests.values():
            request.connection_ended_at = self.viewers.now()
        self.open_requests.clear()
        self.viewers.on_closed(self)


class NodeViewers:
    """The viewers of one node. They use their connections for as long as these are open."""

    def __init__(self, loop: Loop, record: Record, random: Random, site: Site, node: int) -> None:
        self.loop, self.record, self.random, self.site, self.node = loop, record, random, site, node
        self.now: Callable[[], float] = loop.now
        self.address: tuple[str, int] = ("", 0)
        self.process = -1  # the number of the node's process that is ready
        self.accepts = False  # new connections are made
        self.connections: list[ViewerConnection] = []
        self.rate = 0.0
        self.running = True

    def on_node_ready(self, address: tuple[str, int], process: int) -> None:
        self.address, self.process, self.accepts = address, process, True
        self.keep_connected()

    def stop_connecting(self) -> None:
        """New connections end some time after SIGTERM; those that are open stay in use."""
        self.accepts = False

    def keep_connected(self) -> None:
        while self.accepts and self.running and len(self.connections) < CONNECTIONS:
            self.connections.append(ViewerConnection(self, self.process))

    def on_closed(self, connection: ViewerConnection) -> None:
        if connection in self.connections:
            self.connections.remove(connection)
        self.loop.call_later(RECONNECT_S, self.keep_connected)

    def start(self, rate: float) -> None:
        self.rate = rate
        self.schedule_request()

    def stop(self) -> None:
        self.running = False

    def schedule_request(self) -> None:
        if self.running:
            self.loop.call_later(self.random.expovariate(self.rate), self.request)

    def request(self) -> None:
        self.schedule_request()
        usable = [connection for connection in self.connections if connection.usable]
        if not usable:
            return
        connection = self.random.choice(usable)
        cls = self.random.randrange(len(CLASSES))
        left_s = self.site.deadlines_s[cls]
        if self.random.random() < HURRIED_SHARE:
            left_s = self.random.uniform(0.02, 0.2)
        request = Request(
            f"{self.random.getrandbits(64):016x}", self.node, connection.process, cls == 0, self.now(), left_s
        )
        self.record.requests[request.ref] = request
        connection.open_requests[request.ref] = request
        connection.send(self.make_set_up(request, CLASSES[cls]))
        if self.random.random() < GIVE_UP_SHARE:
            self.loop.call_later(self.random.uniform(0.0, 0.3), self.give_up, connection, request)

    def make_set_up(self, request: Request, cls: str) -> dict[str, Any]:
        fields = {
            "class": cls,
            "left": f"{request.left_s * 1000:.0f}",
            "key": f"{self.random.randrange(40):016x}",
            "extras": f"home:0;copies:1;top:2;viewer:{int(request.ref[:8], 16):016x}",
        }
        return {"t": "new", "ref": request.ref, "f": fields, "d": f"v=0 {request.ref}"}

    def give_up(self, connection: ViewerConnection, request: Request) -> None:
        if not request.answers and connection.usable:
            request.given_up_at = self.now()
            connection.open_requests.pop(request.ref, None)
            connection.send({"t": "down", "ref": request.ref, "f": {}, "c": GIVEN_UP})

    def on_message(self, connection: ViewerConnection, message: dict[str, Any]) -> None:
        request = self.record.requests.get(message.get("ref", ""))
        if request is None:
            return
        kind, cause = message["t"], int(message.get("c", 0))
        connection.open_requests.pop(request.ref, None)
        stood = any(answer[1] == "up" for answer in request.answers)
        if kind in ("down", "shift") and stood:
            request.released_at.append(self.now())
            connection.send({"t": "ack", "ref": request.ref, "f": {}})
        elif kind in ("up", "down"):
            request.answers.append((self.now(), kind, cause, message.get("d", "")))

    def send_rudely(self) -> None:
        """A client that sends what cannot be read, on a connection of its own."""
        if not self.accepts:
            return
        RudeClient(self.loop, self.address, self.random.choice(RUDE_TEXTS))

    def close(self) -> None:
        for connection in list(self.connections):
            connection.stream.detach()


class RudeClient(Handler):
    """Sends a text and reads until the node closes."""

    def __init__(self, loop: Loop, address: tuple[str, int], text: bytes) -> None:
        self.text = text
        self.stream = Stream.connect(loop, address, self, CONNECT_TIMEOUT_S)

    def on_connected(self) -> None:
        self.stream.write(self.text)
