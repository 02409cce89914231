"""The decision module's messages between fronts: UDP datagrams, which may be lost.

A datagram is a magic byte, the sender's index (16 bits, big-endian) and at most 256 bytes of data.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable

from lemonhall import interface
from lemonhall.loop import Loop
from lemonhall.loop.event_loop import READ

HEADER = struct.Struct(">BH")
MAGIC = 0x4C
DATA_MAX_BYTES = 256


def encode(sender: int, data: bytes) -> bytes:
    """Raises `ValueError` if `data` is longer than 256 bytes."""
    if len(data) > DATA_MAX_BYTES:
        raise ValueError(f"{len(data)} bytes exceed the size limit of a peer message ({DATA_MAX_BYTES})")
    return HEADER.pack(MAGIC, sender) + data


def decode(datagram: bytes) -> tuple[int, bytes] | None:
    """Returns the sender and the data, or None if this is not a peer message."""
    if not HEADER.size <= len(datagram) <= HEADER.size + DATA_MAX_BYTES or datagram[0] != MAGIC:
        return None
    return HEADER.unpack_from(datagram)[1], datagram[HEADER.size :]


class PeerSocket:
    """Sends the module's peer messages and delivers those of known peers to `on_event`.

    Takes ownership of `sock`, if one is given; it must be bound already. Raises `OSError` if the address
    cannot be bound.
    """

    def __init__(
        self,
        loop: Loop,
        listen: tuple[str, int],
        index: int,
        peers: dict[int, tuple[str, int]],
        on_event: Callable[[interface.Event], None],
        sock: socket.socket | None = None,
    ) -> None:
        self.loop, self.index, self.peers, self.on_event = loop, index, peers, on_event
        family = socket.AF_INET6 if ":" in listen[0] else socket.AF_INET
        self.sock = sock or socket.socket(family, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        if sock is None:
            self.sock.bind(listen)
        self.rejected_datagrams = 0  # not a peer message, or not from the address of its sender
        loop.watch_socket(self.sock, READ, self.on_ready)

    def send(self, action: interface.SendToPeers) -> None:
        """Sends to one peer or to all. A send error is ignored, since a datagram may be lost anyway."""
        data = encode(self.index, action.data)
        for number, address in self.peers.items():
            if number != self.index and action.to in (None, number):
                try:
                    self.sock.sendto(data, address)
                except OSError:
                    continue

    def on_ready(self, _: int) -> None:
        for _turn in range(64):
            try:
                datagram, address = self.sock.recvfrom(2048)
            except BlockingIOError:
                return
            except OSError:  # ICMP error for an earlier send: the peer is down
                continue
            decoded = decode(datagram)
            if decoded is None or self.peers.get(decoded[0]) != address[:2]:
                self.rejected_datagrams += 1
                continue
            self.on_event(interface.PeerMessage(*decoded))

    def close(self) -> None:
        self.loop.watch_socket(self.sock, 0, self.on_ready)
        self.sock.close()
