"""A node in this process on a clock that the test controls, with small fakes of all its peers."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Callable
from typing import Any

import dns.flags
import dns.message
import dns.rrset

from lemonhall.front.node.process import FrontNode
from lemonhall.loop import Loop
from lemonhall.node import configuration

SERVICE = "_app._tcp.cluster.lan."
CLASSES = ("premium", "plain")


def make_settings(**overrides: Any) -> dict[str, Any]:
    """Settings under the simulator's names, with one paid and one unpaid class."""
    settings: dict[str, Any] = {
        "areas": ["east", "west"],
        "machineTypes": ["std"],
        "caps": {
            "connIdle": 15000.0,
            "connectTimeout": 250.0,
            "maxAttempts": 3,
            "maxRetryAfter": 500.0,
            "maxStreams": 4,
            "mayCancel": True,
            "retryAfter": True,
            "peerMessages": True,
            "probing": False,
        },
        "classes": [
            {
                "name": name,
                "semantics": how,
                "worth": worth,
                "promise": 1000.0,
                "hardLimit": 4000.0,
                "group": "all",
                "keyTtl": 5000.0,
            }
            for name, how, worth in (("premium", "at_most_once", 3.0), ("plain", "idempotent", 1.0))
        ],
        "customers": [{"name": "acme", "quotaRps": 0.0, "share": 1.0}],
        "replicasOfMe": 1,
        "selfIndex": 0,
        "myZone": 0,
        "report": {"how": "answers", "fields": ["x0", "x1"]},
        "rules": {"coldFrom": 0.4, "warmWithin": 0.0, "drainGrace": 2000.0},
        "specifics": {
            "classFloor": [1, 0],
            "classSeats": [2, 0],
            "classTop": [2, 2],
            "scaleByClass": [1.0, 1.0],
            "ratesKb": [300.0, 800.0, 2000.0],
            "levelWorth": [0.3, 0.7, 1.0],
            "placesByKind": [20],
            "positions": 4,
            "kbPerWeight": 9000.0,
            "racks": 0,
            "reportsEvery": 2500.0,
            "toldLate": 900.0,
        },
    }
    settings.update(overrides)
    return settings


class ReorderingSelector:
    """A selector that returns the ready sockets of a pass in the order that `reorder` chooses."""

    def __init__(self, inner: Any, reorder: Callable[[list[Any]], list[Any]]) -> None:
        self.inner, self.reorder = inner, reorder

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)

    def select(self, timeout_s: float) -> list[Any]:
        return self.reorder(self.inner.select(timeout_s))


class Peer:
    """A client socket for JSON lines; `received` holds the messages read so far.

    With `acknowledges` it acknowledges each release.
    """

    def __init__(self, sock: socket.socket, acknowledges: bool = False) -> None:
        self.sock, self.buffer, self.received = sock, b"", list[dict[str, Any]]()
        self.closed, self.acknowledges = False, acknowledges
        self.local_address = sock.getsockname()
        sock.setblocking(False)

    def read(self) -> None:
        while not self.closed:
            try:
                data = self.sock.recv(65536)
            except BlockingIOError:
                break
            except OSError:
                data = b""
            self.closed = not data
            self.buffer += data
        *lines, self.buffer = self.buffer.split(b"\n")
        messages = [json.loads(line) for line in lines]
        self.received += messages
        for message in messages if self.acknowledges and not self.closed else []:
            if message["t"] == "down":
                self.send_data({"t": "ack", "ref": message["ref"], "f": {}})

    def send_data(self, data: bytes | dict[str, Any]) -> None:
        self.sock.sendall(data if isinstance(data, bytes) else json.dumps(data).encode() + b"\n")

    def close(self) -> None:
        self.sock.close()
        self.closed = True


class FakeServer:
    """A media server that records what it receives on each connection."""

    def __init__(self, name: str, cell: int) -> None:
        self.name, self.cell = name, cell
        self.listen_socket = socket.create_server(("127.0.0.1", 0))
        self.listen_socket.setblocking(False)
        self.port = self.listen_socket.getsockname()[1]
        self.connections: list[Peer] = []
        self.draining, self.started_ms, self.refusing = False, 0, False

    def read(self) -> None:
        while True:
            try:
                self.connections.append(Peer(self.listen_socket.accept()[0]))
            except OSError:
                break
        for connection in self.connections:
            if not connection.closed:
                connection.read()

    def received_messages(self, kind: str) -> list[tuple[Peer, dict[str, Any]]]:
        return [
            (connection, message)
            for connection in self.connections
            for message in connection.received
            if message["t"] == kind
        ]

    def refuse_connections(self) -> None:
        """Keeps the port bound, so that it is still free when the server listens again."""
        self.listen_socket.close()
        self.listen_socket = socket.socket()
        self.listen_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listen_socket.setblocking(False)
        self.listen_socket.bind(("127.0.0.1", self.port))
        self.refusing = True

    def start_listening(self) -> None:
        self.listen_socket.listen()
        self.refusing = False

    def kill(self) -> None:
        """Refuses new connections and resets the open ones."""
        self.listen_socket.close()
        for connection in self.connections:
            if not connection.closed:
                connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                connection.close()


class FakeResolver:
    """The resolver: answers each query with the server list, passed through `alter_response`.

    An answer is sent `answer_delay(n)` seconds after the n-th query, or never if that is infinite, and holds
    the list as it stands when it is sent.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.answer_delay: Callable[[int], float] = lambda query: 0.0
        self.waiting_queries: list[tuple[float, bytes, Any]] = []  # due time, query, sender
        self.answered_numbers: list[int] = []  # list numbers of the answers sent, in order
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        self.list_number = 1
        self.servers: list[FakeServer] = []
        self.query_count = 0
        self.alter_response: Callable[[bytes], bytes | None] = lambda data: data

    def read(self) -> None:
        while True:
            try:
                data, peer = self.sock.recvfrom(4096)
            except OSError:
                break
            self.query_count += 1
            due_at = self.clock() + self.answer_delay(self.query_count)
            self.waiting_queries.append((due_at, data, peer))
        for waiting in sorted(self.waiting_queries, key=lambda waiting: waiting[0]):
            if waiting[0] <= self.clock():
                self.waiting_queries.remove(waiting)
                self.send_answer(*waiting[1:])

    def send_answer(self, query: bytes, peer: Any) -> None:
        response = self.alter_response(build_response(query, self.list_number, self.servers))
        if response is not None:
            self.sock.sendto(response, peer)
            self.answered_numbers.append(self.list_number)


def build_response(query: bytes, list_number: int, servers: list[FakeServer]) -> bytes:
    """A response written by dnspython, with compressed names."""
    response = dns.message.make_response(dns.message.from_wire(query))
    response.flags |= dns.flags.AA
    soa = f"ns.cluster.lan. root.cluster.lan. {list_number} 1 1 1 1"
    response.authority.append(dns.rrset.from_text("cluster.lan.", 1, "IN", "SOA", soa))
    targets = [f"{int(server.draining)} 10 {server.port} {server.name}.east.hosts." for server in servers]
    if targets:
        response.answer.append(dns.rrset.from_text(SERVICE, 1, "IN", "SRV", *targets))
    for server in servers:
        host = f"{server.name}.east.hosts."
        response.additional.append(dns.rrset.from_text(host, 1, "IN", "A", "127.0.0.1"))
        fields = f'"kind=std" "cell={server.cell}" "started={server.started_ms}"'
        response.additional.append(dns.rrset.from_text(host, 1, "IN", "TXT", fields))
    return response.to_wire(max_size=65535)


class World:
    """The node, its fake peers and the clock; tests run all of them step by step."""

    def __init__(
        self,
        servers: int = 2,
        sockets: int = 256,
        settings: dict[str, Any] | None = None,
        resolver_answers: bool = True,
        acknowledges: bool = False,
    ) -> None:
        self.now = 1000.0
        self.acknowledges = acknowledges
        self.handed_over_refs: set[str] = set()  # handed-over sessions, which get no answer
        self.fake_resolver = FakeResolver(lambda: self.now)
        if not resolver_answers:
            self.fake_resolver.alter_response = lambda data: None
        self.servers = [FakeServer(f"s-{n:08x}", n) for n in range(servers)]
        self.fake_resolver.servers = list(self.servers)
        self.loop = Loop(clock=lambda: self.now)
        self.config = make_configuration(self.servers, self.fake_resolver.address, sockets, settings)
        parsed = configuration.parse_configuration(json.dumps(self.config), "config.json")
        self.node = FrontNode(self.loop, parsed, "config.json")
        self.node.on_callback_error = self.raise_error  # type: ignore[method-assign]
        self.loop.on_error = self.raise_error
        self.viewers: list[Peer] = []
        self.ref_count = 0
        listener = self.node.viewers.listener
        assert listener
        self.address = listener.getsockname()
        self.advance(1.0)  # the resolver has answered, so no server counts as cold
        self.viewer = self.connect_viewer()

    def raise_error(self, error: Exception) -> None:
        raise error

    def connect_viewer(self) -> Peer:
        viewer = Peer(socket.create_connection(self.address), self.acknowledges)
        self.viewers.append(viewer)
        self.pump()
        return viewer

    def pump(self, passes: int = 12) -> None:
        """Runs the node and all peers for some passes of the loop."""
        for _ in range(passes):
            self.loop.run_once(0.0)
            self.fake_resolver.read()
            for server in self.servers:
                server.read()
            for viewer in self.viewers:
                viewer.read()

    def run_until(self, condition: Callable[[], object]) -> None:
        """Runs the node and all peers until the condition holds; the node's clock does not advance."""
        limit = time.monotonic() + 10
        while not condition():
            assert time.monotonic() < limit, "the condition did not become true"
            self.loop.run_once(0.0005)
            self.pump(1)

    def advance(self, seconds: float, step: float = 0.05) -> None:
        """Advances the clock in steps, so that timers run in their order."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + step)
            self.pump(2)

    def make_set_up(self, cls: str = "plain", ref: str = "", **overrides: Any) -> dict[str, Any]:
        self.ref_count += 1
        fields = {"class": cls, "tenant": "acme", "left": "1500", "key": f"{7:016x}"}
        fields["extras"] = "home:0;copies:4;top:2;viewer:00000000000000aa"
        fields.update(overrides)
        return {
            "t": "new",
            "ref": ref or f"{self.ref_count:016x}",
            "f": fields,
            "d": "v=0\r\nc=IN IP4 10.4.7.9",
        }

    def request_set_up(
        self, cls: str = "plain", viewer: Peer | None = None, **overrides: Any
    ) -> dict[str, Any]:
        message = self.make_set_up(cls, **overrides)
        (viewer or self.viewer).send_data(message)
        return message

    def wait_for_set_up(self, ref: str) -> tuple[FakeServer, Peer, dict[str, Any]]:
        """Waits until the set-up arrives at a server; returns the newest: server, connection, message."""
        found: list[tuple[FakeServer, Peer, dict[str, Any]]] = []

        def arrived() -> bool:
            found[:] = [
                (server, connection, message)
                for server in self.servers
                for connection, message in server.received_messages("new")
                if message["ref"] == ref
            ]
            return bool(found)

        self.run_until(arrived)
        return found[-1]

    def establish_session(self, cls: str = "plain", **overrides: Any) -> tuple[str, FakeServer, Peer]:
        ref = self.request_set_up(cls, **overrides)["ref"]
        server, connection, _ = self.wait_for_set_up(ref)
        connection.send_data({"t": "up", "ref": ref, "f": {}, "d": f"v=0 {ref}"})
        self.run_until(lambda: self.messages_for(ref, "up"))
        return ref, server, connection

    def messages_for(self, ref: str, kind: str = "") -> list[dict[str, Any]]:
        """What viewers received under a ref."""
        return [
            message
            for viewer in self.viewers
            for message in viewer.received
            if message.get("ref") == ref and kind in ("", message["t"])
        ]

    def close(self) -> None:
        self.node.resolver.close()
        self.node.viewers.stop_listening()
        for handler in [
            *self.node.viewers.connections,
            *(connection for server in self.node.servers.by_id.values() for connection in server.connections),
        ]:
            handler.stream.detach()
        for sock in [
            *(server.listen_socket for server in self.servers),
            self.fake_resolver.sock,
            *(viewer.sock for viewer in self.viewers),
        ]:
            sock.close()
        for server in self.servers:
            for connection in server.connections:
                connection.sock.close()
        self.loop.close()


def make_configuration(
    servers: list[FakeServer],
    resolver: tuple[str, int],
    sockets: int = 256,
    settings: dict[str, Any] | None = None,
    listen: str = "127.0.0.1:0",
) -> dict[str, Any]:
    entries = [
        {
            "id": server.name,
            "addr": f"127.0.0.1:{server.port}",
            "zone": "east",
            "kind": "std",
            "cell": server.cell,
            "state": "up",
            "weight": 1,
            "started_ms": 0,
        }
        for server in servers
    ]
    return {
        "name": "n0",
        "listen": listen,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
        "peers": [],
        "dns": f"{resolver[0]}:{resolver[1]}",
        "known": {
            "seq": 1,
            "results": [{"seq": 1, "fleet": {"version": 1, "full": True, "servers": entries}}],
        },
        "settings": settings or make_settings(),
    }
