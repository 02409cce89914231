"""Datagrams encrypted with a shared key: only fronts can make one, and none can be replayed. Pure.

    key number (1), boot (4), counter (8), AES-GCM of the message with its tag (16)

The nonce is boot and counter. A front draws its boot at each start and never decreases its counter, so a
nonce repeats under one key only if the draw does (2^-32 per restart). A receiver accepts each counter of a
boot once, and out of order within a window (as IPsec: RFC 4303, 3.4.3). Keys are rotated without a gap: all
listed keys decrypt, the first one encrypts."""

from __future__ import annotations

import struct
from collections import OrderedDict

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

HEADER = struct.Struct(">BIQ")
TAG_BYTES = 16
OVERHEAD = HEADER.size + TAG_BYTES
REPLAY_WINDOW = 256  # counters below the highest one that are still accepted
MAX_SENDERS = 4096  # boots whose counters are remembered
KEY_BYTES = 16


class DatagramError(Exception):
    """A datagram that is foreign, modified or replayed; the message is the reason."""


class KeyRing:
    """The shared keys and the replay protection of one front.

    `keys`: by number (0 to 255), 16 bytes each; the first one encrypts, all decrypt. Raises `ValueError`.
    """

    def __init__(self, keys: dict[int, bytes], boot: int) -> None:
        self.boot, self.counter = boot, 0
        self.received: OrderedDict[int, list[int]] = OrderedDict()  # by boot: highest counter, bits below it
        self.set_keys(keys)

    def set_keys(self, keys: dict[int, bytes]) -> None:
        if not keys or any(len(k) != KEY_BYTES or not 0 <= n <= 255 for n, k in keys.items()):
            raise ValueError(f"at least one key is required, each of {KEY_BYTES} bytes, numbered 0 to 255")
        self.keys = {number: AESGCM(key) for number, key in keys.items()}
        self.sealing_key = next(iter(keys))

    def seal(self, message: bytes) -> bytes:
        self.counter += 1
        header = HEADER.pack(self.sealing_key, self.boot, self.counter)
        return header + self.keys[self.sealing_key].encrypt(header[1:], message, header)

    def open(self, data: bytes) -> bytes:
        """Returns the message. Raises `DatagramError`."""
        if len(data) < OVERHEAD:
            raise DatagramError("datagram is too short")
        number, boot, counter = HEADER.unpack_from(data)
        key = self.keys.get(number)
        if key is None:
            raise DatagramError(f"key {number} is unknown")
        try:
            message = key.decrypt(data[1 : HEADER.size], data[HEADER.size :], data[: HEADER.size])
        except InvalidTag:
            raise DatagramError("encrypted with another key, or modified") from None
        if boot == self.boot:
            raise DatagramError("datagram was sent by this front")
        self.check_replay(boot, counter)
        return message

    def check_replay(self, boot: int, counter: int) -> None:
        """Accepts each counter once. Called for authentic datagrams only, so that only members move the
        window."""
        known = self.received.setdefault(boot, [0, 0])
        self.received.move_to_end(boot)
        if len(self.received) > MAX_SENDERS:
            self.received.popitem(last=False)
        highest, bits = known
        if counter > highest:
            known[1] = ((bits << (counter - highest)) | 1) & ((1 << REPLAY_WINDOW) - 1)
            known[0] = counter
            return
        behind = highest - counter
        if behind >= REPLAY_WINDOW:
            raise DatagramError("counter is too old")
        if bits >> behind & 1:
            raise DatagramError("datagram was received before")
        known[1] |= 1 << behind
