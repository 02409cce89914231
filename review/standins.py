"""Stand-ins for the cases of the review: media servers, resolver, viewers, proxies, and one front node.

Each follows the platform's protocol page; the standard library is enough. All addresses are loopback.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import resource
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
SERVICE = "_app._tcp.cluster.lan"
MAX_MESSAGE = 16 * 1024  # protocol: no message exceeds 16 KiB
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: close with a reset
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 112.0


def trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The lines of record.txt: seconds since the start, what happened, fields."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started

    def write(self, what: str, **fields: Any) -> float:
        at = self.now()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at:8.3f} {what} {text}\n")
        self.file.flush()
        return at


@dataclass
class Site:
    """The settings of a small deployment, under the names of the simulator's first message."""

    classes: list[dict[str, Any]]
    specifics: dict[str, Any]
    areas: list[str]
    kinds: list[str]
    fields: list[str] = field(default_factory=lambda: ["x0", "x1"])
    customers: list[dict[str, Any]] = field(default_factory=list)
    drain_grace_ms: float = 2000.0
    idle_ms: float = 15000.0
    max_attempts: int = 3
    streams: int = 32

    def settings(self) -> dict[str, Any]:
        return {
            "areas": self.areas,
            "machineTypes": self.kinds,
            "caps": {
                "connIdle": self.idle_ms,
                "connectTimeout": 250.0,
                "maxAttempts": self.max_attempts,
                "maxOpen": 20000,
                "maxRetryAfter": 500.0,
                "maxStreams": self.streams,
                "mayCancel": True,
                "retryAfter": True,
                "peerMessages": False,
                "probing": False,
                "secondCopies": False,
            },
            "classes": self.classes,
            "customers": self.customers,
            "overShareWorth": 0.2,
            "replicasOfMe": 1,
            "selfIndex": 0,
            "myZone": 0,
            "discovery": "automatic",
            "weightSource": "none",
            "report": {"how": "answers", "fields": self.fields},
            "rules": {
                "coldFrom": 0.4,
                "warmWithin": 12000.0,
                "drainGrace": self.drain_grace_ms,
                "overloadFactor": 2.0,
                "tipAfter": 2000.0,
                "graceToAnswer": 40.0,
            },
            "specifics": self.specifics,
        }


def class_settings(name: str, semantics: str, worth: float, aim: float, deadline: float) -> dict[str, Any]:
    return {
        "name": name,
        "semantics": semantics,
        "worth": worth,
        "promise": aim,
        "hardLimit": deadline,
        "group": "all",
        "keyTtl": 5000.0,
        "streaming": True,
    }


def lost_property(reports_every_ms: float = 2500.0) -> Site:
    """As abbasiya-depot: one paid class with a floor and seats, two plain ones, three partners."""
    return Site(
        classes=[
            class_settings("claim-view", "at_most_once", 3.0, 1000.0, 5000.0),
            class_settings("browse-clip", "idempotent", 1.0, 1000.0, 4000.0),
            class_settings("audio-note", "idempotent", 1.0, 1000.0, 5000.0),
        ],
        specifics={
            "classFloor": [1, 0, 0],
            "classSeats": [2, 0, 0],
            "classTop": [4, 4, 4],
            "scaleByClass": [1.0, 1.0, 1.0],
            "live": [False, False, False],
            "ratesKb": [200.0, 350.0, 600.0, 1000.0, 1700.0],
            "levelWorth": [0.26, 0.48, 0.68, 0.85, 1.0],
            "placesByKind": [27, 18],
            "positions": 3,
            "racks": 1,
            "uplinkKb": 30000.0,
            "kbPerWeight": 15000.0,
            "fleetKb": 45000.0,
            "fullFrom": 1.2,
            "joinAdds": 1.0,
            "reportsEvery": reports_every_ms,
            "toldLate": 1000.0,
            "stallCost": 8.0,
            "switchCostS": 0.5,
        },
        areas=["hall-a", "hall-b", "hall-c"],
        kinds=["box-3c", "box-2c"],
        customers=[{"name": "nile-cabs", "quotaRps": 0.0, "share": 1.0}],
    )


def flyovers() -> Site:
    """As corrib-playback: two classes that may be set up again, a short grace for drains, no customers."""
    site = lost_property()
    site.classes = [
        class_settings("flyover", "idempotent", 1.0, 1500.0, 4000.0),
        class_settings("client-briefing", "idempotent", 2.0, 800.0, 3000.0),
    ]
    site.specifics |= {
        "classFloor": [0, 1],
        "classSeats": [0, 0],
        "classTop": [3, 4],
        "scaleByClass": [0.7, 1.4],
        "live": [False, False],
        "fullFrom": 0.0,
    }
    site.areas, site.kinds, site.customers = ["naas-road"], ["std-2core", "std-3core"], []
    site.drain_grace_ms, site.idle_ms = 250.0, 30000.0
    return site


def encode(message: dict[str, Any], ascii_only: bool = True) -> bytes:
    return json.dumps(message, separators=(",", ":"), ensure_ascii=ascii_only).encode() + b"\n"


def reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


# Media servers


@dataclass(eq=False)
class Standing:
    """A session that a media server holds."""

    ref: str
    cls: str
    title: str
    link: ServerLink
    since: float
    rung: int = 0


@dataclass(eq=False)
class ServerLink:
    """A connection from the front node."""

    number: int
    writer: asyncio.StreamWriter
    open: bool = True
    waiting: dict[str, asyncio.TimerHandle | None] = field(default_factory=dict)  # set-ups without an answer

    def send(self, message: dict[str, Any]) -> bool:
        if self.open and not self.writer.is_closing():
            self.writer.write(encode(message))
            return True
        return False


class MediaServer:
    """Answers set-ups after `set_up_s`, holds sessions for `life_s`, sends a note every `note_s`."""

    def __init__(
        self,
        record: Record,
        number: int,
        zone: str,
        kind: str,
        *,
        set_up_s: float = 0.08,
        life_s: float = 60.0,
        note_s: float = 2.5,
        site: Site | None = None,
    ) -> None:
        self.record, self.id, self.cell, self.zone, self.kind = (
            record,
            f"s-{number:08x}",
            number % 3,
            zone,
            kind,
        )
        self.set_up_s, self.life_s, self.note_s = set_up_s, life_s, note_s
        self.site = site  # where it is given, reports tell what the sessions ask of the link
        self.holds: Callable[[int], bool] = lambda title: True
        self.not_held: list[tuple[float, str]] = []  # set-ups of titles that it does not hold: when, which
        self.state, self.started_ms = "up", 0
        self.port = self.listed_port = 0
        self.links: list[ServerLink] = []
        self.numbers = itertools.count(1)
        self.sessions: dict[str, Standing] = {}
        self.unsent_releases: list[dict[str, Any]] = []
        self.refuses = False  # drains: new set-ups are turned away
        self.too_long: list[tuple[float, int]] = []  # messages over 16 KiB: when, how long
        self.set_ups: list[tuple[float, str]] = []
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        self.listener = await asyncio.start_server(self.serve, HOST, self.port, limit=1 << 20, backlog=1024)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.listed_port = self.listed_port or self.port
        if not self.started_ms:
            self.schedule_note()

    def crash(self) -> None:
        """The process dies: it resets its connections, its sessions are over, and it accepts nothing more."""
        assert self.listener
        self.listener.close()
        self.sessions.clear()
        self.unsent_releases.clear()
        for link in list(self.links):
            for timer in link.waiting.values():
                if timer:
                    timer.cancel()
            link.waiting.clear()
            link.open = False
            reset(link.writer)

    async def start_again(self) -> None:
        """At the same address and id, cold."""
        self.started_ms = int(time.time() * 1000)
        await self.start()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = ServerLink(next(self.numbers), writer)
        self.links.append(link)
        self.record.write("server-connection", server=self.id, link=link.number)
        releases, self.unsent_releases = self.unsent_releases, []
        for release in releases:
            link.send(release)
        how = "end"
        try:
            while line := await reader.readline():
                if len(line) > MAX_MESSAGE:
                    at = self.record.write("server-cannot-read", server=self.id, bytes=len(line))
                    self.too_long.append((at, len(line)))
                    how = "closed by the server: a message over 16 KiB"
                    break
                self.on_message(link, json.loads(line))
        except (ConnectionError, ValueError) as error:
            how = type(error).__name__
        link.open = False
        given_up = list(link.waiting)
        for timer in link.waiting.values():
            if timer:
                timer.cancel()
        link.waiting.clear()
        self.links.remove(link)
        self.record.write("server-connection-over", server=self.id, link=link.number, how=repr(how))
        for ref in given_up:
            self.record.write("server-set-up-broken", server=self.id, ref=ref)
        writer.close()

    def on_message(self, link: ServerLink, message: dict[str, Any]) -> None:
        kind, ref = message["t"], message.get("ref", "")
        if kind == "hb":
            link.send({"t": "hb_ok", "ref": ref, "f": {}, "c": 1})
        elif kind == "new":
            f = message["f"]
            at = self.record.write(
                "server-set-up", server=self.id, ref=ref, cls=f["class"], title=f["key"], rung=f.get("rung")
            )
            self.set_ups.append((at, ref))
            full = (
                self.site
                and self.site.specifics["fullFrom"]
                and self.load() >= self.site.specifics["fullFrom"]
            )
            if self.refuses or full:
                self.record.write("server-full", server=self.id, ref=ref)
                link.send({"t": "down", "ref": ref, "f": self.report(), "c": 34})
                return
            if not self.holds(int(f["key"], 16)):
                self.record.write("server-does-not-hold", server=self.id, ref=ref, title=f["key"])
                self.not_held.append((at, ref))
                link.send({"t": "down", "ref": ref, "f": self.report(), "c": 47})
                return
            loop = asyncio.get_running_loop()
            link.waiting[ref] = loop.call_later(self.set_up_s, self.answer, link, message)
        elif kind == "step" and ref in self.sessions:
            self.sessions[ref].rung = int(message["f"]["rung"])
        elif kind == "down":
            if ref in link.waiting:
                if timer := link.waiting.pop(ref):
                    timer.cancel()
                self.record.write("server-given-up", server=self.id, ref=ref)
            elif self.sessions.pop(ref, None):
                self.record.write("server-cut-by-front", server=self.id, ref=ref, cause=message.get("c"))

    def answer(self, link: ServerLink, message: dict[str, Any]) -> None:
        ref = message["ref"]
        link.waiting.pop(ref, None)
        f = message["f"]
        standing = Standing(ref, f["class"], f["key"], link, self.record.now(), int(f.get("rung", 0)))
        self.sessions[ref] = standing
        up = {"t": "up", "ref": ref, "f": self.report(), "d": f"v=0\r\ns={ref} at {self.id}\r\n"}
        if not link.send(up):
            del self.sessions[ref]
            return
        self.record.write("server-answer", server=self.id, ref=ref)
        asyncio.get_running_loop().call_later(self.life_s, self.end, ref)

    def load(self) -> float:
        """What is asked of its link over what the link gives."""
        if not self.site:
            return 0.3
        rates = self.site.specifics["ratesKb"]
        asked: float = sum(rates[session.rung] for session in self.sessions.values())
        return asked / float(self.site.specifics["kbPerWeight"])

    def report(self) -> dict[str, str]:
        load = f"{self.load():.2f}"
        return {"load": f"x0:{load};x1:{load}"}

    def end(self, ref: str) -> None:
        if standing := self.sessions.pop(ref, None):
            self.record.write("server-session-over", server=self.id, ref=ref)
            self.say(standing, {"t": "down", "ref": ref, "f": {}, "c": 16})

    def say(self, standing: Standing, message: dict[str, Any]) -> bool:
        """On the connection of the set-up, else on any open one; a release else on the next one opened."""
        for link in [standing.link, *self.links]:
            if link.send(message):
                return True
        if message["t"] == "down":
            self.unsent_releases.append(message)
        return False

    def send_note(self) -> None:
        """How full the link is, on one session of each front."""
        self.schedule_note()
        load = f"{self.load():.2f}"
        for standing in {id(session.link): session for session in self.sessions.values()}.values():
            said = self.say(standing, {"t": "tell", "ref": standing.ref, "f": {"note": "l", "value": load}})
            self.record.write(
                "server-note" if said else "server-note-unsent", server=self.id, ref=standing.ref
            )

    def schedule_note(self) -> None:
        self.next_note_at = self.record.now() + self.note_s
        asyncio.get_running_loop().call_later(self.note_s, self.send_note)


class Proxy:
    """Stands before a media server and passes bytes on; `reset_all` resets its connections on both sides."""

    def __init__(self, record: Record, server: MediaServer) -> None:
        self.record, self.server = record, server
        self.port = 0
        self.pairs: list[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = []
        self.passed_at = 0.0  # when the last byte was passed on

    async def start(self) -> None:
        self.listener = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            server_reader, server_writer = await asyncio.open_connection(HOST, self.server.port)
        except OSError:
            reset(writer)
            return
        pair = (writer, server_writer)
        self.pairs.append(pair)

        async def pass_on(source: asyncio.StreamReader, target: asyncio.StreamWriter) -> None:
            with contextlib.suppress(OSError):
                while data := await source.read(65536):
                    self.passed_at = self.record.now()
                    target.write(data)
            target.close()

        await asyncio.gather(pass_on(reader, server_writer), pass_on(server_reader, writer))
        if pair in self.pairs:
            self.pairs.remove(pair)

    def reset_all(self) -> None:
        pairs, self.pairs = self.pairs, []
        idle_ms = (self.record.now() - self.passed_at) * 1000
        self.record.write(
            "proxy-resets", server=self.server.id, connections=len(pairs), idle_ms=round(idle_ms)
        )
        for pair in pairs:
            for writer in pair:
                reset(writer)


# The resolver


def dns_name(name: str) -> bytes:
    return b"".join(bytes([len(part)]) + part.encode() for part in name.split(".")) + b"\0"


def dns_record(name: bytes, kind: int, data: bytes) -> bytes:
    return name + struct.pack(">HHIH", kind, 1, 1, len(data)) + data


class Resolver(asyncio.DatagramProtocol):
    """Answers each question with the list as it stands when the answer is sent, after `delay_s`."""

    def __init__(self, record: Record, servers: list[MediaServer]) -> None:
        self.record, self.servers, self.delay_s = record, servers, 0.0
        self.number = 1
        self.told: dict[int, float] = {1: 0.0}  # when the first answer that holds an event was sent
        self.questions = self.answers = 0
        self.made_for, self.made = 0, b""

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(HOST, 0))
        self.port = self.transport.get_extra_info("sockname")[1]

    def change(self, server: MediaServer, state: str) -> float:
        server.state = state
        self.number += 1
        return self.record.write("list-event", number=self.number, server=server.id, state=state)

    def datagram_received(self, data: bytes, peer: Any) -> None:
        self.questions += 1
        asyncio.get_running_loop().call_later(self.delay_s, self.answer, data, peer)

    def answer(self, query: bytes, peer: Any) -> None:
        self.transport.sendto(query[:2] + self.rest_of_answer(), peer)
        self.answers += 1
        at = self.record.now()
        for number in range(1, self.number + 1):
            if number not in self.told:
                self.told[number] = self.record.write("list-told", number=number)
        if self.delay_s:
            self.record.write("list-answer", number=self.number, after=self.delay_s, at=f"{at:.3f}")

    def rest_of_answer(self) -> bytes:
        """All of an answer but its number; made once for each event."""
        if self.made_for == self.number:
            return self.made
        listed = [server for server in self.servers if server.state != "removed"]
        question = dns_name(SERVICE) + struct.pack(">HH", 33, 1)
        answers, more = b"", b""
        for server in listed:
            host = dns_name(f"{server.id}.{server.zone}.hosts")
            priority = int(server.state == "draining")
            answers += dns_record(
                dns_name(SERVICE), 33, struct.pack(">HHH", priority, 10, server.listed_port) + host
            )
            more += dns_record(host, 1, socket.inet_aton(HOST))
            texts = [f"kind={server.kind}", f"cell={server.cell}", f"started={server.started_ms}"]
            more += dns_record(host, 16, b"".join(bytes([len(t)]) + t.encode() for t in texts))
        numbers = struct.pack(">IIIII", self.number, 1, 1, 1, 1)
        soa = dns_record(dns_name("cluster.lan"), 6, dns_name("ns.cluster.lan") * 2 + numbers)
        head = struct.pack(">HHHHH", 0x8400, 1, len(listed), 1, 2 * len(listed))
        self.made_for, self.made = self.number, head + question + answers + soa + more
        return self.made

    def error_received(self, exc: Exception) -> None:
        pass  # the front node has closed the port from which it asked


# Viewers


class Viewer:
    """A connection from viewers; keeps what was answered for each session."""

    refs = itertools.count(0x9B1F03AA00000001)

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.answers: dict[str, list[tuple[float, dict[str, Any]]]] = {}
        self.sent: dict[str, tuple[float, str, float]] = {}  # when, class, how long the viewer waits (s)
        self.over_at: float | None = None
        self.on_over: Callable[[str, dict[str, Any]], object] = lambda ref, message: None
        self.tested = asyncio.Event()

    async def connect(self, port: int) -> None:
        self.reader, self.writer = await asyncio.open_connection(HOST, port, limit=1 << 20)
        self.task = asyncio.create_task(self.read())

    async def read(self) -> None:
        with contextlib.suppress(ConnectionError):
            while line := await self.reader.readline():
                message = json.loads(line)
                if message["t"] == "hb_ok":
                    self.tested.set()
                    continue
                ref = message["ref"]
                self.record.write(
                    "viewer-got", viewer=self.name, ref=ref, t=message["t"], cause=message.get("c", "-")
                )
                self.answers.setdefault(ref, []).append((self.record.now(), message))
                if message["t"] == "down":
                    self.writer.write(encode({"t": "ack", "ref": ref, "f": {}}))
                    self.on_over(ref, message)
        self.over_at = self.record.write("viewer-connection-over", viewer=self.name)

    def ask(
        self,
        cls: str,
        title: int,
        left_ms: float,
        *,
        tenant: str = "",
        description: str = "v=0\r\n",
        ascii_only: bool = True,
        copies: int = 3,
        home: int = 0,
    ) -> str:
        ref = f"{next(self.refs):016x}"
        fields = {
            "class": cls,
            "left": str(left_ms),
            "key": f"{title:016x}",
            "extras": f"home:{home};copies:{copies};top:4;viewer:{int(ref, 16) & 0xFFFFFFFF:016x}",
        }
        if tenant:
            fields["tenant"] = tenant
        line = encode({"t": "new", "ref": ref, "f": fields, "d": description}, ascii_only)
        at = self.record.write(
            "viewer-asks", viewer=self.name, ref=ref, cls=cls, title=title, bytes=len(line)
        )
        self.sent[ref] = (at, cls, left_ms / 1000)
        self.writer.write(line)
        return ref

    def first(self, ref: str) -> dict[str, Any] | None:
        found = self.answers.get(ref)
        return found[0][1] if found else None


# The front node


class FrontNode:
    """One front node, started by the `run` line of the deploy file."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        site: Site,
        servers: list[MediaServer],
        resolver: Resolver,
        index: int = 0,
        fronts: int = 1,
    ) -> None:
        self.record, self.folder, self.name = record, folder, f"n{index}"
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            self.port = probe.getsockname()[1]
        entries = [
            {
                "id": server.id,
                "addr": f"{HOST}:{server.listed_port}",
                "zone": server.zone,
                "kind": server.kind,
                "cell": server.cell,
                "state": "up",
                "weight": 1,
                "started_ms": 0,
            }
            for server in servers
        ]
        fleet = {"version": 1, "full": True, "servers": entries}
        self.config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "seed": f"{0x8C1F30D27A5BE964 + index:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peers": [],
            "dns": f"{HOST}:{resolver.port}",
            "known": {"seq": 1, "results": [{"seq": 1, "fleet": fleet}]},
            "settings": site.settings() | {"replicasOfMe": fronts, "selfIndex": index},
        }
        self.child: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config), encoding="utf-8")
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        self.log_path = self.folder / f"{self.name}.log"
        with self.log_path.open("wb") as log:
            self.child = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env={**os.environ, "PROXY_CONFIG": str(path), "TMPDIR": str(self.folder)},
                stderr=log,
            )
        self.record.write("front-node-started", pid=self.child.pid)
        limit = time.monotonic() + 20
        while True:
            probe = Viewer(self.record, "test")
            try:
                await probe.connect(self.port)
                break
            except ConnectionRefusedError:
                if time.monotonic() > limit or self.child.returncode is not None:
                    raise RuntimeError("the front node is not ready") from None
                await asyncio.sleep(0.1)
        probe.writer.write(encode({"t": "hb", "ref": "", "f": {}, "c": 0}))
        await asyncio.wait_for(probe.tested.wait(), 5)
        probe.writer.close()
        self.record.write("front-node-ready")

    async def kill(self) -> None:
        if self.child and self.child.returncode is None:
            self.child.kill()
            await self.child.wait()

    async def stop(self) -> None:
        if self.child and self.child.returncode is None:
            self.child.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.child.wait(), 5)
            except TimeoutError:
                self.child.kill()
                await self.child.wait()
        if self.child:
            self.record.write("front-node-ended", status=self.child.returncode)
        for line in self.log_path.read_text(encoding="utf-8", errors="replace").splitlines()[-400:]:
            event = json.loads(line) if line.startswith("{") else {"event": line}
            if event["event"] not in ("summary", "rejected an invalid message from a viewer"):
                self.record.write("front-node-log", line=line)
            elif event["event"] == "summary":
                last = line
        with contextlib.suppress(NameError):
            self.record.write("front-node-log", line=last)


Case = Callable[[Record, Path], Awaitable[int]]


def run_case(case: Case) -> None:
    """Runs a case within its time. Exit: 1 the rule was broken, 0 it held, 2 the case could not run."""
    files = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (files[1], files[1]))
    record = Record(Path(sys.argv[0]).resolve().parent / "record.txt")
    record.write("start", trouble=int(trouble()))

    async def limited() -> int:
        with tempfile.TemporaryDirectory() as folder:
            return await asyncio.wait_for(case(record, Path(folder)), LIMIT_S)

    try:
        status = asyncio.run(limited())
    except Exception:
        for line in traceback.format_exc().splitlines():
            record.write("could-not-run", line=line)
        status = NOT_RUN
    record.write("exit", status=status)
    raise SystemExit(status)
