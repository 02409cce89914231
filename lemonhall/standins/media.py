"""Real video made from nothing: baseline JPEG over RTP (RFC 2435), of any rate, that a stock player decodes.

A macroblock of 4:2:0 holds four luma blocks of `k` coefficients each (code 00 and a sign) and two empty
chroma blocks; with the standard Huffman tables that is 32 + 12 k bits. Size and `k` give a frame of the
wanted bytes.
"""

from __future__ import annotations

import struct
from functools import lru_cache
from math import ceil, sqrt

CLOCK = 90000
PAYLOAD_TYPE = 26
FRAGMENT = 1380


def scan(columns: int, rows: int, k: int, tint: int) -> bytes:
    """The entropy-coded data of a frame; `tint` changes the first sign bits so that frames differ."""
    block = "00" + "".join("00" + ("1" if (n + tint) % 3 == 0 else "0") for n in range(k))
    block += "" if k == 63 else "1010"
    bits = block * 4 + "0000" * 2
    total = bits * (columns * rows)
    total += "1" * (-len(total) % 8)
    return int(total, 2).to_bytes(len(total) // 8, "big").replace(b"\xff", b"\xff\x00")


@lru_cache(maxsize=256)
def fragments(frame_bytes: int, tint: int) -> tuple[bytes, ...]:
    """RTP payloads (JPEG header and data) of one frame of about that size."""
    blocks = max(4, ceil(frame_bytes / 90))
    columns = max(2, min(120, round(sqrt(blocks * 4 / 3))))
    rows = max(2, min(120, ceil(blocks / columns)))
    k = max(0, min(63, round((frame_bytes * 8 / (columns * rows) - 32) / 12)))
    data = scan(columns, rows, k, tint)
    return tuple(
        struct.pack(">IBBBB", at, 1, 60, columns * 2, rows * 2) + data[at : at + FRAGMENT]
        for at in range(0, len(data), FRAGMENT)
    )


def sdp(title: str, length_s: float) -> bytes:
    lines = [
        "v=0",
        "o=- 0 0 IN IP4 127.0.0.1",
        f"s={title}",
        "t=0 0",
        f"a=range:npt=0-{length_s:g}",
        f"m=video 0 RTP/AVP {PAYLOAD_TYPE}",
        "c=IN IP4 0.0.0.0",
        "a=control:stream/0",
    ]
    return ("\r\n".join(lines) + "\r\n").encode()
