"""RTP kept continuous for the viewer when a session changes servers: one SSRC, sequence, time without a gap.

Until a session has moved its bytes pass unchanged and only the last header of a run is looked at; after a
move each header is rewritten (RFC 3550, 5.1), as a translator does (7.2).
"""

from __future__ import annotations

import struct

from lemonhall.rtsp import rtp

HEADER = struct.Struct(">HII")  # sequence, timestamp, SSRC at byte 2 of an RTP packet


class RtpRewriter:
    """One track of one session. Times are seconds of the loop's clock."""

    def __init__(self, clock_rate: int) -> None:
        self.clock_rate = clock_rate
        self.ssrc: int | None = None  # as the viewer knows it
        self.last_sent: tuple[int, int, float] | None = (
            None  # sequence, timestamp, when: as sent to the viewer
        )
        self.offsets: tuple[int, int] | None = None  # added to sequence and timestamp; None: unchanged
        self.resync = False

    def on_server_changed(self) -> None:
        """The next packet comes from another server."""
        self.resync = self.last_sent is not None

    def observe(self, packet: memoryview, now: float) -> None:
        """Remembers what went out unchanged."""
        if len(packet) >= rtp.RTP.size:
            sequence, timestamp, ssrc = HEADER.unpack_from(packet, 2)
            self.last_sent = (sequence, timestamp, now)
            if self.ssrc is None:
                self.ssrc = ssrc

    def rewrite(self, packet: memoryview, now: float) -> None:
        """Changes a packet in place (it must be writable) so that it follows what the viewer has had."""
        if len(packet) < rtp.RTP.size:
            return
        sequence, timestamp, ssrc = HEADER.unpack_from(packet, 2)
        if self.resync and self.last_sent:
            was_seq, was_time, at = self.last_sent
            step = max(1, round((now - at) * self.clock_rate))
            self.offsets = ((was_seq + 1 - sequence) & 0xFFFF, (was_time + step - timestamp) & 0xFFFFFFFF)
            self.resync = False
        if self.ssrc is None:
            self.ssrc = ssrc
        add_seq, add_time = self.offsets or (0, 0)
        sequence, timestamp = (sequence + add_seq) & 0xFFFF, (timestamp + add_time) & 0xFFFFFFFF
        HEADER.pack_into(packet, 2, sequence, timestamp, self.ssrc)
        if self.last_sent is None or (sequence - self.last_sent[0]) & 0xFFFF < 0x8000:
            self.last_sent = (sequence, timestamp, now)

    def rewrite_rtcp(self, packet: rtp.RtcpPacket) -> bytes:
        """A sender report or BYE under the viewer's SSRC and time; other kinds as they are."""
        body = bytearray(packet.body)
        if self.ssrc is not None and self.offsets is not None and len(body) >= 4:
            struct.pack_into(">I", body, 0, self.ssrc)
            if packet.kind == rtp.SENDER_REPORT and len(body) >= 16:
                stamp = struct.unpack_from(">I", body, 12)[0]
                struct.pack_into(">I", body, 12, (stamp + self.offsets[1]) & 0xFFFFFFFF)
        return rtp.build_rtcp(packet.kind, packet.count, bytes(body))
