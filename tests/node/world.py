"""A node in this process on a clock of the test's own, with small stand-ins for all that it talks to."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Callable
from typing import Any

import dns.flags
import dns.message
import dns.rrset

from lemonhall.front.node.process import Node
from lemonhall.loop import Loop
from lemonhall.node import configuration

SERVICE = "_app._tcp.cluster.lan."
CLASSES = ("premium", "plain")


def settings(**more: Any) -> dict[str, Any]:
    """Settings under the simulator's names: a class that is paid for, one that is not."""
    made: dict[str, Any] = {
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
    made.update(more)
    return made


class Order:
    """A selector that gives what is ready in one pass as `arrange` puts it."""

    def __init__(self, inner: Any, arrange: Callable[[list[Any]], list[Any]]) -> None:
        self.inner, self.arrange = inner, arrange

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)

    def select(self, wait_s: float) -> list[Any]:
        return self.arrange(self.inner.select(wait_s))


class Peer:
    """A socket that speaks lines; `got` holds what came, unread ones first. `acks`: it says what it heard."""

    def __init__(self, sock: socket.socket, acks: bool = False) -> None:
        self.sock, self.kept, self.got = sock, b"", list[dict[str, Any]]()
        self.ended, self.acks = False, acks
        self.name = sock.getsockname()
        sock.setblocking(False)

    def read(self) -> None:
        while not self.ended:
            try:
                data = self.sock.recv(65536)
            except BlockingIOError:
                break
            except OSError:
                data = b""
            self.ended = not data
            self.kept += data
        *lines, self.kept = self.kept.split(b"\n")
        told = [json.loads(line) for line in lines]
        self.got += told
        for message in told if self.acks and not self.ended else []:
            if message["t"] == "down":
                self.say({"t": "ack", "ref": message["ref"], "f": {}})

    def say(self, data: bytes | dict[str, Any]) -> None:
        self.sock.sendall(data if isinstance(data, bytes) else json.dumps(data).encode() + b"\n")

    def close(self) -> None:
        self.sock.close()
        self.ended = True


class Server:
    """A media server: what it was asked, and the connection of each set-up."""

    def __init__(self, name: str, cell: int) -> None:
        self.name, self.cell = name, cell
        self.door = socket.create_server(("127.0.0.1", 0))
        self.door.setblocking(False)
        self.port = self.door.getsockname()[1]
        self.links: list[Peer] = []
        self.draining, self.started, self.refuses = False, 0, False

    def read(self) -> None:
        while True:
            try:
                self.links.append(Peer(self.door.accept()[0]))
            except OSError:
                break
        for link in self.links:
            if not link.ended:
                link.read()

    def asked(self, kind: str) -> list[tuple[Peer, dict[str, Any]]]:
        return [(link, m) for link in self.links for m in link.got if m["t"] == kind]

    def refuse(self) -> None:
        """Keeps the port, so that nobody else has it when it serves again."""
        self.door.close()
        self.door = socket.socket()
        self.door.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.door.setblocking(False)
        self.door.bind(("127.0.0.1", self.port))
        self.refuses = True

    def serve(self) -> None:
        self.door.listen()
        self.refuses = False

    def die(self) -> None:
        """Refuses connections and resets those that stand."""
        self.door.close()
        for link in self.links:
            if not link.ended:
                link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                link.close()


class Names:
    """The resolver: answers each question with the list, or as `spoil` makes it."""

    def __init__(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        self.seq = 1
        self.servers: list[Server] = []
        self.asked = 0
        self.spoil: Callable[[bytes], bytes | None] = lambda data: data

    def read(self) -> None:
        while True:
            try:
                data, peer = self.sock.recvfrom(4096)
            except OSError:
                return
            self.asked += 1
            if (out := self.spoil(answer(data, self.seq, self.servers))) is not None:
                self.sock.sendto(out, peer)


def answer(query: bytes, seq: int, servers: list[Server]) -> bytes:
    """As dnspython writes it, names compressed."""
    made = dns.message.make_response(dns.message.from_wire(query))
    made.flags |= dns.flags.AA
    soa = f"ns.cluster.lan. root.cluster.lan. {seq} 1 1 1 1"
    made.authority.append(dns.rrset.from_text("cluster.lan.", 1, "IN", "SOA", soa))
    lines = [f"{int(s.draining)} 10 {s.port} {s.name}.east.hosts." for s in servers]
    if lines:
        made.answer.append(dns.rrset.from_text(SERVICE, 1, "IN", "SRV", *lines))
    for s in servers:
        host = f"{s.name}.east.hosts."
        made.additional.append(dns.rrset.from_text(host, 1, "IN", "A", "127.0.0.1"))
        words = f'"kind=std" "cell={s.cell}" "started={s.started}"'
        made.additional.append(dns.rrset.from_text(host, 1, "IN", "TXT", words))
    return made.to_wire(max_size=65535)


class World:
    def __init__(
        self,
        servers: int = 2,
        sockets: int = 256,
        told: dict[str, Any] | None = None,
        resolver_answers: bool = True,
        acks: bool = False,
    ) -> None:
        self.now = 1000.0
        self.acks = acks
        self.handed: set[str] = set()  # sessions that were handed over: nobody is owed an answer
        self.names = Names()
        if not resolver_answers:
            self.names.spoil = lambda data: None
        self.servers = [Server(f"s-{n:08x}", n) for n in range(servers)]
        self.names.servers = list(self.servers)
        self.loop = Loop(clock=lambda: self.now)
        self.told = config(self.servers, self.names.address, sockets, told)
        read = configuration.read(json.dumps(self.told), "config.json")
        self.node = Node(self.loop, read, "config.json")
        self.node.fault = self.faulty  # type: ignore[method-assign]
        self.loop.on_error = self.faulty
        self.viewers: list[Peer] = []
        self.refs = 0
        listener = self.node.viewers.listener
        assert listener
        self.address = listener.getsockname()
        self.pass_s(1.0)  # the resolver has answered, no server is taken for cold
        self.viewer = self.connect()

    def faulty(self, error: Exception) -> None:
        raise error

    def connect(self) -> Peer:
        made = Peer(socket.create_connection(self.address), self.acks)
        self.viewers.append(made)
        self.pump()
        return made

    def pump(self, turns: int = 12) -> None:
        for _ in range(turns):
            self.loop.run_once(0.0)
            self.names.read()
            for server in self.servers:
                server.read()
            for viewer in self.viewers:
                viewer.read()

    def until(self, true: Callable[[], object]) -> None:
        """Runs all parties until it is so; the clock of the node stands still meanwhile."""
        limit = time.monotonic() + 10
        while not true():
            assert time.monotonic() < limit, "never came to be"
            self.loop.run_once(0.0005)
            self.pump(1)

    def pass_s(self, seconds: float, step: float = 0.05) -> None:
        """Time goes on in steps, so that what is due is due in its order."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + step)
            self.pump(2)

    def new(self, cls: str = "plain", ref: str = "", **more: Any) -> dict[str, Any]:
        self.refs += 1
        fields = {"class": cls, "tenant": "acme", "left": "1500", "key": f"{7:016x}"}
        fields["extras"] = "home:0;copies:4;top:2;viewer:00000000000000aa"
        fields.update(more)
        return {"t": "new", "ref": ref or f"{self.refs:016x}", "f": fields, "d": "v=0\r\nc=IN IP4 10.4.7.9"}

    def ask(self, cls: str = "plain", viewer: Peer | None = None, **more: Any) -> dict[str, Any]:
        made = self.new(cls, **more)
        (viewer or self.viewer).say(made)
        return made

    def set_up(self, ref: str) -> tuple[Server, Peer, dict[str, Any]]:
        """The set-up of an id at a server, once it is there: the newest."""
        found: list[tuple[Server, Peer, dict[str, Any]]] = []

        def came() -> bool:
            found[:] = [(s, k, m) for s in self.servers for k, m in s.asked("new") if m["ref"] == ref]
            return bool(found)

        self.until(came)
        return found[-1]

    def play(self, cls: str = "plain", **more: Any) -> tuple[str, Server, Peer]:
        ref = self.ask(cls, **more)["ref"]
        server, link, _ = self.set_up(ref)
        link.say({"t": "up", "ref": ref, "f": {}, "d": f"v=0 {ref}"})
        self.until(lambda: self.told_of(ref, "up"))
        return ref, server, link

    def told_of(self, ref: str, kind: str = "") -> list[dict[str, Any]]:
        """What viewers were told under an id."""
        return [m for v in self.viewers for m in v.got if m.get("ref") == ref and kind in ("", m["t"])]

    def close(self) -> None:
        self.node.resolver.close()
        self.node.viewers.stop_listening()
        for handler in [
            *self.node.viewers.links,
            *(k for s in self.node.servers.by_id.values() for k in s.links),
        ]:
            handler.stream.detach()
        for sock in [*(s.door for s in self.servers), self.names.sock, *(v.sock for v in self.viewers)]:
            sock.close()
        for server in self.servers:
            for link in server.links:
                link.sock.close()
        self.loop.close()


def config(
    servers: list[Server],
    resolver: tuple[str, int],
    sockets: int = 256,
    told: dict[str, Any] | None = None,
    listen: str = "127.0.0.1:0",
) -> dict[str, Any]:
    entries = [
        {
            "id": s.name,
            "addr": f"127.0.0.1:{s.port}",
            "zone": "east",
            "kind": "std",
            "cell": s.cell,
            "state": "up",
            "weight": 1,
            "started_ms": 0,
        }
        for s in servers
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
        "settings": told or settings(),
    }
