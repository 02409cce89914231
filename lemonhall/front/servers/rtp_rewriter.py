"""Keeps RTP continuous for the viewer when a session moves to another server: one SSRC, and sequence numbers
and timestamps without a gap.

Until the first move packets pass unchanged and only the last header of a run is examined. After a move every
header is rewritten (RFC 3550, 5.1), as a translator does (7.2).
"""

from __future__ import annotations

import struct

from lemonhall.rtsp import rtp

HEADER = struct.Struct(">HII")  # sequence number, timestamp, SSRC: at byte 2 of an RTP packet


class RtpRewriter:
    """The continuity of one track of one session. Times are seconds of the loop's clock."""

    def __init__(self, clock_rate: int) -> None:
        self.clock_rate = clock_rate
        self.ssrc: int | None = None  # as the viewer knows it
        # sequence number and timestamp as sent to the viewer, and the time of sending
        self.last_sent: tuple[int, int, float] | None = None
        # added to sequence number and timestamp; None before the first move
        self.offsets: tuple[int, int] | None = None
        self.resync = False  # the next packet is the first one of another server

    def on_server_changed(self) -> None:
        self.resync = self.last_sent is not None

    def observe(self, packet: memoryview, now: float) -> None:
        """Records a packet that is forwarded unchanged."""
        if len(packet) >= rtp.RTP_HEADER.size:
            sequence, timestamp, ssrc = HEADER.unpack_from(packet, 2)
            self.last_sent = (sequence, timestamp, now)
            if self.ssrc is None:
                self.ssrc = ssrc

    def rewrite(self, packet: memoryview, now: float) -> None:
        """Rewrites a packet in place to continue the viewer's stream. `packet` must be writable."""
        if len(packet) < rtp.RTP_HEADER.size:
            return
        sequence, timestamp, ssrc = HEADER.unpack_from(packet, 2)
        if self.resync and self.last_sent:
            last_sequence, last_timestamp, sent_at = self.last_sent
            step = max(1, round((now - sent_at) * self.clock_rate))
            self.offsets = (
                (last_sequence + 1 - sequence) & 0xFFFF,
                (last_timestamp + step - timestamp) & 0xFFFFFFFF,
            )
            self.resync = False
        if self.ssrc is None:
            self.ssrc = ssrc
        sequence_offset, timestamp_offset = self.offsets or (0, 0)
        sequence, timestamp = (
            (sequence + sequence_offset) & 0xFFFF,
            (timestamp + timestamp_offset) & 0xFFFFFFFF,
        )
        HEADER.pack_into(packet, 2, sequence, timestamp, self.ssrc)
        if self.last_sent is None or (sequence - self.last_sent[0]) & 0xFFFF < 0x8000:
            self.last_sent = (sequence, timestamp, now)

    def rewrite_rtcp(self, packet: rtp.RtcpPacket) -> bytes:
        """Returns the packet with the viewer's SSRC and, in a sender report, the viewer's timestamp."""
        body = bytearray(packet.body)
        if self.ssrc is not None and self.offsets is not None and len(body) >= 4:
            struct.pack_into(">I", body, 0, self.ssrc)
            if packet.packet_type == rtp.SENDER_REPORT and len(body) >= 16:
                timestamp = struct.unpack_from(">I", body, 12)[0]
                struct.pack_into(">I", body, 12, (timestamp + self.offsets[1]) & 0xFFFFFFFF)
        return rtp.build_rtcp(packet.packet_type, packet.count, bytes(body))
