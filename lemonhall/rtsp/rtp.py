"""Parses and builds headers of RTP and RTCP packets (RFC 3550) without copying the payload.

Media servers send load notes as APP packets (RFC 3550, 6.7) with the name `LMHL`: the subtype is an
`interface.NoteKind`, the data is one 32-bit float.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

RTP_HEADER = struct.Struct(">BBHII")
RTCP_HEADER = struct.Struct(">BBHI")
SENDER_REPORT, RECEIVER_REPORT, SOURCE_DESCRIPTION, BYE, APP = 200, 201, 202, 203, 204
NOTE_NAME = b"LMHL"


@dataclass(frozen=True)
class RtpHeader:
    payload_type: int
    marker: bool
    sequence: int  # 16 bits
    timestamp: int  # 32 bits, in units of the track's clock rate
    ssrc: int


def parse_rtp(packet: bytes | memoryview) -> RtpHeader:
    """Parses the fixed header (RFC 3550, 5.1). Raises `ValueError` if it is incomplete or not version 2."""
    if len(packet) < RTP_HEADER.size or packet[0] >> 6 != 2:
        raise ValueError(f"{len(packet)} bytes are not an RTP packet")
    _, marker_and_type, sequence, timestamp, ssrc = RTP_HEADER.unpack_from(packet)
    return RtpHeader(marker_and_type & 0x7F, bool(marker_and_type & 0x80), sequence, timestamp, ssrc)


def build_rtp(header: RtpHeader) -> bytes:
    return RTP_HEADER.pack(
        0x80,
        header.payload_type | header.marker << 7,
        header.sequence & 0xFFFF,
        header.timestamp & 0xFFFFFFFF,
        header.ssrc,
    )


@dataclass(frozen=True)
class RtcpPacket:
    """One packet of a compound. `count`: report or source count, or subtype; `body`: all after the header."""

    packet_type: int
    count: int
    body: bytes


def parse_rtcp(data: bytes | memoryview) -> list[RtcpPacket]:
    """Parses a compound packet (RFC 3550, 6.1). Raises `ValueError` if a packet is invalid or truncated."""
    packets, offset = [], 0
    while offset < len(data):
        if offset + 4 > len(data) or data[offset] >> 6 != 2:
            raise ValueError("not an RTCP packet")
        size = 4 + 4 * (data[offset + 2] << 8 | data[offset + 3])
        if offset + size > len(data):
            raise ValueError("RTCP packet extends beyond the end of its frame")
        packets.append(
            RtcpPacket(data[offset + 1], data[offset] & 0x1F, bytes(data[offset + 4 : offset + size]))
        )
        offset += size
    return packets


def build_rtcp(packet_type: int, count: int, body: bytes) -> bytes:
    body += b"\0" * (-len(body) % 4)
    return bytes((0x80 | count, packet_type, 0, 0))[:2] + struct.pack(">H", len(body) // 4) + body


def build_bye(ssrc: int, reason: str = "") -> bytes:
    """Builds a BYE packet (RFC 3550, 6.6). The reason is optional and truncated to 255 bytes."""
    text = reason.encode()[:255]
    return build_rtcp(BYE, 1, struct.pack(">I", ssrc) + (bytes((len(text),)) + text if text else b""))


def build_sender_report(ssrc: int, ntp_s: float, timestamp: int, packets: int, octets: int) -> bytes:
    """Builds a sender report without report blocks (RFC 3550, 6.4.1). `ntp_s`: seconds since 1900."""
    whole_seconds = int(ntp_s)
    body = struct.pack(
        ">IIIIII",
        ssrc,
        whole_seconds & 0xFFFFFFFF,
        int((ntp_s - whole_seconds) * 2**32) & 0xFFFFFFFF,
        timestamp & 0xFFFFFFFF,
        packets & 0xFFFFFFFF,
        octets & 0xFFFFFFFF,
    )
    return build_rtcp(SENDER_REPORT, 0, body)


def build_note(ssrc: int, kind: int, value: float) -> bytes:
    return build_rtcp(APP, kind, struct.pack(">I4sf", ssrc, NOTE_NAME, value))


def parse_note(packet: RtcpPacket) -> tuple[int, float] | None:
    """Returns kind and value of a load note, None if the packet is not one."""
    if packet.packet_type != APP or len(packet.body) != 12 or packet.body[4:8] != NOTE_NAME:
        return None
    return packet.count, struct.unpack_from(">f", packet.body, 8)[0]
