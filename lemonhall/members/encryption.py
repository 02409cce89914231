"""Datagrams under a shared key: nobody else can make one, or send one again. Pure.

    key id (1), boot (4), counter (8), AES-GCM of the message and its tag (16)

The nonce is boot and counter: a front draws its boot at each start and never counts back, so no nonce comes
twice under one key but by chance of the draw (2^-32 a restart). A receiver takes each counter of a boot once,
out of order within a window (as IPsec's, RFC 4303, 3.4.3). Keys are rotated without a gap: all listed keys
open, the first seals.
"""

from __future__ import annotations

import struct
from collections import OrderedDict

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

HEAD = struct.Struct(">BIQ")
TAG = 16
OVERHEAD = HEAD.size + TAG
WINDOW = 256  # counters behind the highest that are still taken
BOOTS_MOST = 4096  # senders that are remembered
KEY_BYTES = 16


class DatagramError(Exception):
    """A datagram that is not ours, was changed, or came before: why."""


class KeyRing:
    """`keys`: by their number (0 to 255), 16 bytes each; the first seals, all open. Raises `ValueError`."""

    def __init__(self, keys: dict[int, bytes], boot: int) -> None:
        self.boot, self.counter = boot, 0
        self.seen: OrderedDict[int, list[int]] = OrderedDict()  # by boot: highest, bits behind it
        self.set_keys(keys)

    def set_keys(self, keys: dict[int, bytes]) -> None:
        if not keys or any(len(k) != KEY_BYTES or not 0 <= n <= 255 for n, k in keys.items()):
            raise ValueError(f"keys are {KEY_BYTES} bytes each, numbered 0 to 255, at least one")
        self.keys = {number: AESGCM(key) for number, key in keys.items()}
        self.sealing = next(iter(keys))

    def seal(self, message: bytes) -> bytes:
        self.counter += 1
        head = HEAD.pack(self.sealing, self.boot, self.counter)
        return head + self.keys[self.sealing].encrypt(head[1:], message, head)

    def open(self, data: bytes) -> bytes:
        """The message. Raises `BadSeal`."""
        if len(data) < OVERHEAD:
            raise DatagramError("too short")
        number, boot, counter = HEAD.unpack_from(data)
        key = self.keys.get(number)
        if key is None:
            raise DatagramError(f"key {number} is not known")
        try:
            message = key.decrypt(data[1 : HEAD.size], data[HEAD.size :], data[: HEAD.size])
        except InvalidTag:
            raise DatagramError("made with another key, or changed") from None
        if boot == self.boot:
            raise DatagramError("our own")
        self.take(boot, counter)
        return message

    def take(self, boot: int, counter: int) -> None:
        """Each counter once. Only what was sealed comes here, so nobody can move the window but members."""
        known = self.seen.setdefault(boot, [0, 0])
        self.seen.move_to_end(boot)
        if len(self.seen) > BOOTS_MOST:
            self.seen.popitem(last=False)
        highest, bits = known
        if counter > highest:
            known[1] = ((bits << (counter - highest)) | 1) & ((1 << WINDOW) - 1)
            known[0] = counter
            return
        behind = highest - counter
        if behind >= WINDOW:
            raise DatagramError("too old")
        if bits >> behind & 1:
            raise DatagramError("came before")
        known[1] |= 1 << behind
