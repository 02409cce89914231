"""Stand-ins of the second review: the resolver, media servers and viewers, and the start of a front node.

They follow PROTOCOL.md and DEPLOY.md. Everything runs on loopback addresses and the real clock. A case
subclasses `Case`, plays its day in `play` and judges its record in `judge`.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
SERVICE = "_app._tcp.cluster.lan"
SLACK_S = 0.05  # "every time limit is 50 ms longer"
NEVER = float("inf")
MAX_MESSAGE = 16 * 1024  # "No message exceeds 16 KiB."
LIMIT_S = 118.0  # of one script
BROKEN = 10  # exit code; `run.sh` makes 1 of it, and 2 of any other but 0

PAID, SAFE = "claim-view", "browse-clip"


def make_settings(fronts: int = 1, index: int = 0, **changes: Any) -> dict[str, Any]:
    """Settings as of abbasiya-depot, under the names of the wire; `changes` replace parts of a group."""
    classes = [
        {
            "name": name,
            "semantics": effect,
            "worth": worth,
            "promise": 1000.0,
            "hardLimit": deadline,
            "group": "all",
            "keyTtl": 5000.0,
            "lateValue": 0.0,
            "streaming": True,
        }
        for name, effect, worth, deadline in (
            (PAID, "at_most_once", 3.0, 5000.0),
            (SAFE, "idempotent", 1.0, 4000.0),
        )
    ]
    settings: dict[str, Any] = {
        "areas": ["hall-a"],
        "machineTypes": ["box-3c", "box-2c"],
        "layers": ["clip-boxes"],
        "tier": 0,
        "serviceType": "streams",
        "discovery": "automatic",
        "caps": {
            "connIdle": 15000.0,
            "connectTimeout": 250.0,
            "maxAttempts": 3,
            "maxRetryAfter": 500.0,
            "maxStreams": 32,
            "mayCancel": True,
            "retryAfter": True,
            "peerMessages": True,
            "probing": False,
            "secondCopies": False,
        },
        "classes": classes,
        "customers": [{"name": "nile-cabs", "quotaRps": 0.0, "share": 1.0}],
        "overShareWorth": 0.2,
        "replicasOfMe": fronts,
        "selfIndex": index,
        "myZone": 0,
        "report": {"how": "answers", "fields": ["x0", "x1"]},
        "rules": {
            "coldFrom": 0.4,
            "warmWithin": 12000.0,
            "drainGrace": 2000.0,
            "overloadFactor": 2.0,
            "tipAfter": 2000.0,
            "graceToAnswer": 40.0,
        },
        "costs": {"crossZone": 0.01, "moves": 0.05},
        "weightSource": "none",
        "specifics": {
            "classFloor": [1, 0],
            "classSeats": [0, 0],
            "classTop": [4, 4],
            "scaleByClass": [1.0, 1.0],
            "ratesKb": [289.0, 491.0, 836.0, 1422.0, 2420.0],
            "levelWorth": [0.28, 0.49, 0.67, 0.84, 1.0],
            "placesByKind": [27, 18],
            "positions": 1,
            "kbPerWeight": 6772.0,
            "fleetKb": 81264.0,
            "fullFrom": 1.2,
            "joinAdds": 1.0,
            "racks": 0,
            "reportsEvery": 2500.0,
            "stallCost": 8.0,
            "switchCostS": 0.38,
            "toldLate": 978.0,
        },
    }
    for group, values in changes.items():
        settings[group].update(values)
    return settings


def free_port() -> int:
    """Below the ephemeral ports, so that nothing takes it before its user listens."""
    while True:
        port = random.SystemRandom().randrange(15_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port


def new_ref() -> str:
    return f"{random.getrandbits(64):016x}"


def encode(message: dict[str, Any]) -> bytes:
    return json.dumps(message, ensure_ascii=False).encode() + b"\n"


class Record:
    """What was sent, answered and run, in seconds since the start; written to `record.txt`."""

    def __init__(self, path: Path) -> None:
        self.began_at = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")  # noqa: SIM115

    def now(self) -> float:
        return time.monotonic() - self.began_at

    def line(self, who: str, what: str) -> None:
        self.file.write(f"{self.now():9.3f} {who:<16} {what}\n")
        self.file.flush()


class Lines(asyncio.Protocol):
    """One connection of JSON lines."""

    def __init__(
        self,
        on_line: Callable[[Lines, bytes], None],
        on_end: Callable[[Lines], None],
        on_open: Callable[[Lines], None] = lambda lines: None,
    ) -> None:
        self.on_line, self.on_end, self.on_open = on_line, on_end, on_open
        self.buffer = b""
        self.open = False
        self.mute = False  # the connection stays open and carries nothing any more, in either direction
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.open = transport, True  # type: ignore[assignment]
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.on_open(self)

    def data_received(self, data: bytes) -> None:
        if self.mute:
            return
        self.buffer += data
        while self.open and b"\n" in self.buffer:
            line, self.buffer = self.buffer.split(b"\n", 1)
            if line.strip():
                self.on_line(self, line)

    def connection_lost(self, error: Exception | None) -> None:
        self.open = False
        self.on_end(self)

    def send(self, message: dict[str, Any]) -> None:
        if self.open and not self.mute:
            self.transport.write(encode(message))

    def close(self) -> None:
        if self.open:
            self.transport.close()

    def reset(self) -> None:
        if self.open:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()


class Resolver(asyncio.DatagramProtocol):
    """Answers each query with the whole list (RFC 1035); `silent` answers nothing.

    With `behind_s` it tells the list as it was that long ago.
    """

    def __init__(self, record: Record) -> None:
        self.record, self.silent, self.behind_s = record, False, 0.0
        self.number = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.history: list[tuple[float, int, list[dict[str, Any]]]] = []
        self.told: list[tuple[float, int]] = []  # when, and the number of the last event told
        self.address: tuple[str, int]
        self.transport: asyncio.DatagramTransport

    async def start(self) -> None:
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=(HOST, 0))
        self.address = self.transport.get_extra_info("sockname")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def change(self, server: MediaServer, state: str, started_ms: int | None = None) -> None:
        """One numbered event; before the start of the front nodes, part of event 1."""
        self.entries.pop(server.id, None)
        if state != "removed":
            self.entries[server.id] = {
                "id": server.id,
                "addr": f"{HOST}:{server.port}",
                "zone": "hall-a",
                "kind": server.kind,
                "cell": 0,
                "state": state,
                "weight": 1,
                "started_ms": server.started_ms if started_ms is None else started_ms,
            }
        if self.history:
            self.number += 1
            self.record.line("resolver", f"event {self.number}: {server.id} {state}")
            self.keep()

    def keep(self) -> None:
        self.history.append((self.record.now(), self.number, list(self.entries.values())))

    def known(self) -> dict[str, Any]:
        """The list of the start, for the configuration."""
        if not self.history:
            self.keep()
        fleet = {"version": 1, "full": True, "servers": list(self.entries.values())}
        return {"seq": self.number, "results": [{"seq": self.number, "fleet": fleet}]}

    def datagram_received(self, data: bytes, address: Any) -> None:
        if self.silent:
            return
        moment = self.record.now() - self.behind_s
        at, number, entries = [h for h in self.history if h[0] <= moment or h is self.history[0]][-1]
        self.told.append((self.record.now(), number))
        self.transport.sendto(list_answer(data, number, entries), address)


def _name(name: str) -> bytes:
    return b"".join(bytes([len(part)]) + part.encode() for part in name.split(".")) + b"\0"


def _record(name: str, kind: int, data: bytes) -> bytes:
    return _name(name) + struct.pack(">HHIH", kind, 1, 1, len(data)) + data


def list_answer(query: bytes, number: int, entries: list[dict[str, Any]]) -> bytes:
    """SRV records of the list, a SOA record with the number, and A and TXT records of each server."""
    answers = more = b""
    for entry in entries:
        host, port = entry["addr"].rsplit(":", 1)
        target = f"{entry['id']}.{entry['zone']}.hosts"
        priority = int(entry["state"] == "draining")
        answers += _record(SERVICE, 33, struct.pack(">HHH", priority, 10, int(port)) + _name(target))
        texts = [f"kind={entry['kind']}", f"cell={entry['cell']}", f"started={entry['started_ms']}"]
        more += _record(target, 1, socket.inet_aton(host))
        more += _record(target, 16, b"".join(bytes([len(text)]) + text.encode() for text in texts))
    soa = _name("ns.cluster.lan") + _name("root.cluster.lan") + struct.pack(">IIIII", number, 1, 1, 1, 1)
    header = query[:2] + struct.pack(">HHHHH", 0x8400, 1, len(entries), 1, 2 * len(entries))
    return header + query[12:] + answers + _record("cluster.lan", 6, soa) + more


class Stand:
    """A set-up at a media server, and its session once it stands."""

    def __init__(self, ref: str, link: Lines, read_at: float, message: dict[str, Any]) -> None:
        self.ref, self.link, self.read_at, self.message = ref, link, read_at, message
        self.stands, self.over_at = False, NEVER


class MediaServer:
    """Answers each set-up after a while. A session stands until its viewer, or `end`, ends it."""

    def __init__(self, record: Record, number: int, kind: str = "box-3c", answer_s: float = 0.08) -> None:
        self.record, self.id, self.kind, self.answer_s = record, f"s-{number:08x}", kind, answer_s
        self.started_ms, self.port = 0, 0
        self.draining = False
        self.links: list[Lines] = []
        self.sessions: dict[str, Stand] = {}  # that stand
        self.pending: dict[str, Stand] = {}  # set-ups
        self.set_ups: list[Stand] = []  # all that came
        self.notes_sent = 0
        self.again: list[str] = []  # releases that go out on the next connection as well
        self.on_set_up: Callable[[Stand], bool] = lambda stand: True  # False: handled by the case
        self.describe: Callable[[Stand], str] = lambda stand: f"v=0\r\ns={stand.ref}\r\nc=IN IP4 {HOST}\r\n"
        self.listener: asyncio.Server

    async def start(self, sock: socket.socket | None = None) -> None:
        """Listens at a free port, or on a socket that listens already."""
        loop = asyncio.get_running_loop()
        sock = sock or socket.create_server((HOST, 0))
        self.listener = await loop.create_server(
            lambda: Lines(self.on_line, self.on_end, self.on_open), sock=sock
        )
        self.port = self.listener.sockets[0].getsockname()[1]
        self.notes = loop.create_task(self.send_notes())

    def die(self) -> None:
        """The process ends: it resets its connections and cuts its sessions."""
        self.record.line(self.id, f"ends, {len(self.sessions)} sessions are cut")
        self.notes.cancel()
        self.listener.close()
        for stand in self.sessions.values():
            stand.over_at = self.record.now()
        self.sessions.clear()
        self.pending.clear()
        for link in self.links:
            link.reset()

    def on_open(self, link: Lines) -> None:
        self.links.append(link)
        self.record.line(self.id, f"connection {len(self.links)} came up")
        again, self.again = self.again, []
        for ref in again:
            self.record.line(self.id, f"release of {ref}, on the next connection as well")
            link.send({"t": "down", "ref": ref, "f": {}, "c": 16})

    def number_of(self, link: Lines) -> int:
        return self.links.index(link) + 1

    def on_end(self, link: Lines) -> None:
        """Closing a connection gives up the set-ups open on it."""
        self.record.line(self.id, f"connection {self.number_of(link)} ended")
        for stand in [stand for stand in self.pending.values() if stand.link is link]:
            del self.pending[stand.ref]

    def on_line(self, link: Lines, line: bytes) -> None:
        message = json.loads(line)
        kind, ref = message["t"], message.get("ref", "")
        if kind == "hb":
            link.send({"t": "hb_ok", "ref": ref, "f": {}, "c": 1})
        elif kind == "new":
            stand = Stand(ref, link, self.record.now(), message)
            self.set_ups.append(stand)
            self.record.line(self.id, f"set-up {ref} on connection {self.number_of(link)}")
            if self.draining:
                link.send({"t": "down", "ref": ref, "f": {}, "c": 34})
                return
            self.pending[ref] = stand
            if self.on_set_up(stand):
                asyncio.get_running_loop().call_later(self.answer_s, self.answer, stand)
        elif kind == "down":
            self.pending.pop(ref, None)
            ended = self.sessions.pop(ref, None)
            self.record.line(
                self.id, f"told that {ref} is over" + ("" if ended else " (does not stand here)")
            )
            link.send({"t": "ack", "ref": ref, "f": {}})

    def answer(self, stand: Stand) -> None:
        if self.pending.get(stand.ref) is not stand:
            return
        del self.pending[stand.ref]
        stand.stands = True
        self.sessions[stand.ref] = stand
        answer = {"t": "up", "ref": stand.ref, "f": {"load": "x0:0.1;x1:0.1"}, "d": self.describe(stand)}
        self.record.line(self.id, f"answer to {stand.ref}, {len(encode(answer))} bytes")
        stand.link.send(answer)

    def link_for(self, stand: Stand) -> Lines | None:
        """The connection of its set-up, otherwise any open one."""
        if stand.link.open:
            return stand.link
        return next((link for link in reversed(self.links) if link.open), None)

    def end(self, ref: str, cause: int = 16) -> None:
        """The session has come to its end: the release goes out now and on the next connection as well."""
        stand = self.sessions.pop(ref)
        stand.over_at = self.record.now()
        self.again.append(ref)
        if link := self.link_for(stand):
            self.record.line(self.id, f"release of {ref} on connection {self.number_of(link)}")
            link.send({"t": "down", "ref": ref, "f": {}, "c": cause})
        else:
            self.record.line(self.id, f"{ref} is over, no connection is open")

    async def send_notes(self) -> None:
        """The link's use, each 2.5 s, on one of the sessions here."""
        while True:
            await asyncio.sleep(2.5)
            if self.sessions and (stand := random.choice(list(self.sessions.values()))):
                self.notes_sent += 1
                for kind in ("l", "u"):
                    if link := self.link_for(stand):
                        note = {"note": kind, "value": "0.1"}
                        link.send({"t": "tell", "ref": stand.ref, "f": note})


class Request:
    """A set-up as its viewer saw it."""

    def __init__(self, ref: str, cls: str, sent_at: float, left_s: float) -> None:
        self.ref, self.cls, self.sent_at, self.left_s = ref, cls, sent_at, left_s
        self.answered_at = self.released_at = self.ended_at = NEVER
        self.answer: dict[str, Any] = {}
        self.connection_closed_at = NEVER

    @property
    def stands(self) -> bool:
        return self.answer.get("t") == "up" and self.released_at == NEVER and self.ended_at == NEVER


class Viewer:
    """A client of a front node with one connection; with `comes_back` it opens another when that ends."""

    def __init__(self, record: Record, name: str, node: Node, comes_back: bool = False) -> None:
        self.record, self.name, self.node, self.comes_back = record, name, node, comes_back
        self.requests: dict[str, Request] = {}
        self.lines: Lines
        self.running = True
        self.last_open = True

    async def connect(self) -> None:
        loop = asyncio.get_running_loop()
        _, self.lines = await loop.create_connection(
            lambda: Lines(self.on_line, self.on_end), *self.node.address
        )
        self.record.line(self.name, "connected")

    def on_end(self, lines: Lines) -> None:
        self.record.line(self.name, "the front node ended the connection" if self.running else "closed")
        for request in self.requests.values():
            if request.answered_at == NEVER and request.connection_closed_at == NEVER:
                request.connection_closed_at = self.record.now()
        if self.running and self.comes_back:
            asyncio.get_running_loop().create_task(self.connect_again())

    async def connect_again(self) -> None:
        await asyncio.sleep(0.05)
        try:
            await self.connect()
        except OSError:
            await self.connect_again()

    def on_line(self, lines: Lines, line: bytes) -> None:
        if len(line) + 1 > MAX_MESSAGE:
            self.record.line(self.name, f"a message of {len(line) + 1} bytes: cannot be read")
            return
        message = json.loads(line)
        request = self.requests.get(message.get("ref", ""))
        if request is None:
            return
        kind = message["t"]
        if kind not in ("up", "down", "shift"):
            return
        cause = f" cause {message['c']}" if "c" in message else ""
        if request.answered_at == NEVER and kind != "shift":
            request.answered_at, request.answer = self.record.now(), message
            self.record.line(self.name, f"answer to {request.ref}: {kind}{cause}")
        elif request.answer.get("t") == "up" and request.released_at == NEVER:
            request.released_at = self.record.now()
            self.record.line(self.name, f"release of {request.ref}: {kind}{cause}")
            lines.send({"t": "ack", "ref": request.ref, "f": {}})

    def set_up(self, cls: str, left_s: float, title: int = 7, description: str = "") -> Request:
        ref = new_ref()
        request = self.requests[ref] = Request(ref, cls, self.record.now(), left_s)
        fields = {
            "class": cls,
            "tenant": "nile-cabs",
            "left": f"{left_s * 1000:g}",
            "key": f"{title:016x}",
            "extras": f"home:0;copies:1;top:4;viewer:{new_ref()}",
        }
        text = description or f"v=0\r\ns={ref}\r\nc=IN IP4 {HOST}\r\nm=audio 31000 RTP/AVP 0\r\n"
        message = {"t": "new", "ref": ref, "f": fields, "d": text}
        size = len(encode(message))
        assert size <= MAX_MESSAGE, size
        self.record.line(self.name, f"set-up {ref} {cls}, {size} bytes, {left_s * 1000:g} ms left")
        self.lines.send(message)
        return request

    def end(self, request: Request) -> None:
        """Ends a session that stands, or gives the set-up up."""
        request.ended_at = self.record.now()
        self.record.line(self.name, f"ends {request.ref}")
        self.lines.send({"t": "down", "ref": request.ref, "f": {}, "c": 16})

    def close(self) -> None:
        self.running = False
        self.lines.close()


class Node:
    """A front node, started by `run` of the deploy file."""

    def __init__(self, case: Case, name: str, settings: dict[str, Any]) -> None:
        self.case, self.name, self.settings = case, name, settings
        self.address = (HOST, free_port())
        self.peers: list[str] = []
        self.child: subprocess.Popen[bytes]

    def start(self) -> None:
        case = self.case
        folder = case.folder / self.name
        folder.mkdir(exist_ok=True)
        config = {
            "name": self.name,
            "listen": f"{self.address[0]}:{self.address[1]}",
            "seed": new_ref(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": f"{HOST}:{free_port()}",
            "peers": [],
            "dns": f"{case.resolver.address[0]}:{case.resolver.address[1]}",
            "known": case.resolver.known(),
            "settings": self.settings,
        }
        path = folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        env = {
            **os.environ,
            "PROXY_CONFIG": str(path),
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": config["listen"],
            "TMPDIR": str(folder),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        with (folder / "log").open("ab") as log:
            self.child = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        case.children.append(self.child)
        case.record.line(self.name, "started")

    async def ready(self, limit_s: float = 30.0) -> None:
        """Waits until a test is passed."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(encode({"t": "hb", "ref": new_ref(), "f": {}, "c": 0}))
                answer = json.loads(await asyncio.wait_for(reader.readline(), 2.0))
                writer.close()
                if answer["t"] == "hb_ok" and answer["c"] == 1:
                    self.case.record.line(self.name, "passed its first test")
                    return
            except (OSError, ValueError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    @property
    def crashed(self) -> bool:
        return self.child.poll() is not None


class CannotRun(Exception):
    """The case says nothing about the rule."""


class Case:
    """One run: `play` plays, `judge` returns what broke the rule. `trouble` is False with TROUBLE=0."""

    def __init__(self, case_folder: Path, folder: Path) -> None:
        self.record = Record(case_folder / "record.txt")
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.children: list[subprocess.Popen[bytes]] = []
        self.resolver = Resolver(self.record)
        self.servers: list[MediaServer] = []

    async def add_server(self, sock: socket.socket | None = None, **options: Any) -> MediaServer:
        server = MediaServer(self.record, 1 + len(self.servers), **options)
        await server.start(sock)
        self.servers.append(server)
        self.resolver.change(server, "up")
        return server

    async def start_node(self, settings: dict[str, Any], name: str = "n0") -> Node:
        node = Node(self, name, settings)
        node.start()
        await node.ready()
        return node

    async def until(self, seconds: float) -> None:
        """Waits until so many seconds after the start."""
        await asyncio.sleep(max(0.0, seconds - self.record.now()))

    async def play(self) -> None:
        raise NotImplementedError

    def judge(self) -> list[str]:
        raise NotImplementedError

    def close(self) -> None:
        for child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGKILL)
            child.wait()


def main(make_case: type[Case], case_file: str) -> int:
    """`BROKEN`: the rule was broken. 0: it held. 2: the case could not run."""
    folder = Path(case_file).resolve().parent
    with tempfile.TemporaryDirectory() as temporary:
        case = make_case(folder, Path(temporary))
        case.record.line("case", f"trouble: {case.trouble}")
        try:

            async def play() -> None:
                await case.resolver.start()
                await case.play()

            asyncio.run(asyncio.wait_for(play(), LIMIT_S - 5))
            broken = case.judge()
            if any(child.poll() is not None for child in case.children):
                broken.append("a front node ended by itself")
        except Exception as error:
            case.record.line("case", f"could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            case.close()
            if keep := os.environ.get("KEEP"):
                subprocess.run(["cp", "-r", temporary, keep], check=False)
        for text in broken:
            case.record.line("broken", text)
            print(f"broken: {text}")
        if not broken:
            case.record.line("case", "the rule held")
            print("the rule held")
        return BROKEN if broken else 0


if __name__ == "__main__":
    sys.exit("a module of the cases, not a program")
