"""Short messages between fronts over UDP, which may be lost: a magic byte, the sender, at most 256 bytes."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable

from lemonhall import interface as i
from lemonhall.loop import Loop
from lemonhall.loop.event_loop import READ

HEADER = struct.Struct(">BH")
MAGIC = 0x4C
MOST = 256


def encode(sender: int, data: bytes) -> bytes:
    """Raises `ValueError` over 256 bytes."""
    if len(data) > MOST:
        raise ValueError(f"{len(data)} bytes are more than a message holds ({MOST})")
    return HEADER.pack(MAGIC, sender) + data


def decode(datagram: bytes) -> tuple[int, bytes] | None:
    if not HEADER.size <= len(datagram) <= HEADER.size + MOST or datagram[0] != MAGIC:
        return None
    return HEADER.unpack_from(datagram)[1], datagram[HEADER.size :]


class Peers:
    def __init__(
        self,
        loop: Loop,
        listen: tuple[str, int],
        index: int,
        peers: dict[int, tuple[str, int]],
        tell: Callable[[i.Event], None],
        sock: socket.socket | None = None,
    ) -> None:
        self.loop, self.index, self.peers, self.tell = loop, index, peers, tell
        family = socket.AF_INET6 if ":" in listen[0] else socket.AF_INET
        self.sock = sock or socket.socket(family, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        if sock is None:
            self.sock.bind(listen)
        self.strange = 0  # datagrams that were none of ours
        loop.watch_socket(self.sock, READ, self.on_ready)

    def send(self, action: i.TellPeers) -> None:
        """A message that cannot leave is lost, like one that is lost on its way."""
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
            except OSError:  # an ICMP error of an earlier send: a peer is down
                continue
            got = decode(datagram)
            if got is None or self.peers.get(got[0]) != address[:2]:
                self.strange += 1
                continue
            self.tell(i.PeerMessage(*got))

    def close(self) -> None:
        self.loop.watch_socket(self.sock, 0, self.on_ready)
        self.sock.close()
