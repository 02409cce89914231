"""The resolver of a trial: a socket for each node and each configuration, and the ways in which it fails."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lemonhall.loop import Loop
from lemonhall.loop.event_loop import READ
from lemonhall.node.dns import IN, SOA, SRV, TXT, A
from lemonhall.soak.media_server import MediaServer, node_address
from lemonhall.soak.record import ListAnswer, ListChange, ListState, Record, Trouble
from lemonhall.soak.schedule import DiscoveryMode

FIRST_NUMBER = 1
SERVICE = "_app._tcp.cluster.lan"
MAX_QUERY_BYTES = 512
RCODE_SERVFAIL = 2
SOUND = (DiscoveryMode.NORMAL, DiscoveryMode.SLOW, DiscoveryMode.CROWDED, DiscoveryMode.LOSSY)


@dataclass(frozen=True)
class Entry:
    """A media server in the list."""

    server: MediaServer
    draining: bool
    started_ms: int


def encode_name(name: str) -> bytes:
    return b"".join(bytes([len(part)]) + part.encode() for part in name.split(".")) + b"\0"


def encode_record(name: bytes, kind: int, data: bytes) -> bytes:
    return name + struct.pack(">HHIH", kind, IN, 1, len(data)) + data


def encode_answer(query: bytes, number: int, entries: list[Entry], address: str, code: int = 0) -> bytes:
    """A response to a query, by RFC 1035 and RFC 2782."""
    service = encode_name(SERVICE)
    answers = more = b""
    for entry in entries:
        host = encode_name(f"{entry.server.id}.hall-a.hosts")
        numbers = struct.pack(">HHH", int(entry.draining), 10, entry.server.port)
        answers += encode_record(service, SRV, numbers + host)
        more += encode_record(host, A, socket.inet_aton(address))
        texts = ("kind=box-3c", "cell=0", f"started={entry.started_ms}")
        more += encode_record(host, TXT, b"".join(bytes([len(t)]) + t.encode() for t in texts))
    serial = struct.pack(">IIIII", number, 1, 1, 1, 1)
    authority = encode_record(encode_name("cluster.lan"), SOA, encode_name("ns.cluster.lan") * 2 + serial)
    header = struct.pack(">HHHHH", 0x8400 | code, 1, len(entries), 1, 2 * len(entries))
    return query[:2] + header + service + struct.pack(">HH", SRV, IN) + answers + authority + more


class Discovery:
    """Holds the list and answers the nodes."""

    def __init__(self, loop: Loop, record: Record, nodes: int) -> None:
        self.loop, self.record, self.nodes = loop, record, nodes
        self.now: Callable[[], float] = loop.now
        self.number = FIRST_NUMBER
        self.entries: dict[str, Entry] = {}
        self.first_entries: list[Entry] = []
        self.mode, self.answer_s = DiscoveryMode.NORMAL, 0.0
        self.trouble_began_at: float | None = None
        self.queue_free_at = 0.0  # of a crowded discovery
        self.query_count = 0
        self.sockets: list[socket.socket | None] = [None] * nodes
        self.ports = [0] * nodes
        for node in range(nodes):
            self.open_socket(node)

    def open_socket(self, node: int) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((node_address(node), self.ports[node]))
        sock.setblocking(False)
        self.ports[node] = sock.getsockname()[1]
        self.sockets[node] = sock
        self.loop.watch_socket(sock, READ, lambda _: self.on_readable(node, sock))

    def close_socket(self, node: int) -> None:
        if sock := self.sockets[node]:
            self.loop.watch_socket(sock, 0, self.close_socket)
            sock.close()
            self.sockets[node] = None

    def move(self, node: int) -> tuple[str, int]:
        """Another address for a node; the old one does not answer any more."""
        self.close_socket(node)
        self.ports[node] = 0
        self.open_socket(node)
        address = node_address(node), self.ports[node]
        if self.mode is DiscoveryMode.CLOSED:
            self.close_socket(node)
        return address

    def change(self, server: MediaServer, state: ListState) -> None:
        """Changes the list by one numbered event."""
        self.number += 1
        if state is ListState.GONE:
            self.entries.pop(server.id, None)
        else:
            self.entries[server.id] = Entry(server, state is ListState.DRAINING, server.started_ms)
        self.record.list_changes.append(ListChange(self.now(), self.number, server.id, state))

    def set_mode(self, mode: DiscoveryMode, answer_s: float) -> None:
        """From now on it answers in this way."""
        was_closed, self.mode, self.answer_s = self.mode is DiscoveryMode.CLOSED, mode, answer_s
        if mode is not DiscoveryMode.NORMAL:
            self.trouble_began_at = self.now()
        elif self.trouble_began_at is not None:
            self.end_trouble(self.now())
        for node in range(self.nodes):
            if mode is DiscoveryMode.CLOSED:
                self.close_socket(node)
            elif was_closed:
                self.open_socket(node)

    def end_trouble(self, now: float) -> None:
        """What was asked during the trouble may still be in the queue."""
        if self.trouble_began_at is not None:
            end = max(now, self.queue_free_at)
            self.record.troubles += [Trouble(node, self.trouble_began_at, end) for node in range(self.nodes)]
            self.trouble_began_at = None

    def on_readable(self, node: int, sock: socket.socket) -> None:
        while self.sockets[node] is sock:
            try:
                query, peer = sock.recvfrom(MAX_QUERY_BYTES)
            except BlockingIOError:
                return
            self.query_count += 1
            self.on_query(node, sock, query, peer)

    def on_query(self, node: int, sock: socket.socket, query: bytes, peer: Any) -> None:
        delay_s = 0.0
        if self.mode is DiscoveryMode.SILENT:
            return
        if self.mode is DiscoveryMode.LOSSY and self.query_count % 2:
            return
        if self.mode is DiscoveryMode.SLOW:
            delay_s = self.answer_s
        elif self.mode is DiscoveryMode.CROWDED:
            self.queue_free_at = max(self.queue_free_at, self.now()) + self.answer_s
            delay_s = self.queue_free_at - self.now()
        self.loop.call_later(delay_s, self.send_answer, node, sock, query, peer, self.mode)

    def send_answer(
        self, node: int, sock: socket.socket, query: bytes, peer: Any, mode: DiscoveryMode
    ) -> None:
        """The list as it stands when the answer is sent, in the way of when the query came."""
        if self.sockets[node] is not sock:
            return
        address, entries, number = node_address(node), list(self.entries.values()), self.number
        code = RCODE_SERVFAIL if mode is DiscoveryMode.FAILING else 0
        if mode is DiscoveryMode.OLDER:
            entries, number = self.first_entries, FIRST_NUMBER
        elif mode is DiscoveryMode.EMPTY:
            entries = []
        answer = encode_answer(query, number, entries, address, code)
        if mode is DiscoveryMode.CUT_SHORT:
            answer = answer[: len(answer) * 2 // 3]
        elif mode is DiscoveryMode.OTHER_ID:
            answer = bytes([answer[0] ^ 1]) + answer[1:]
        sock.sendto(answer, peer)
        if mode in SOUND:
            self.record.list_answers.append(ListAnswer(self.now(), node, number))
