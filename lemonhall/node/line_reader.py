"""Splits a byte stream at line feeds, in bounded memory."""

from __future__ import annotations

from lemonhall.node.bounds import MAX_LINE_BYTES


class LineTooLong(Exception):
    """No line feed within `MAX_LINE_BYTES`; nothing that follows can be trusted."""


class LineReader:
    """`feed` received bytes, then call `next_line` until it is None. Holds what was fed and not returned."""

    __slots__ = ("buffer", "line_start", "scanned_to")

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.line_start = 0
        self.scanned_to = 0  # there is no line feed between `line_start` and here

    def feed(self, data: bytes | memoryview) -> None:
        self.buffer += data

    def next_line(self) -> bytes | None:
        """The next complete line without its line feed, or None. Raises `LineTooLong`."""
        end = self.buffer.find(b"\n", self.scanned_to)
        if end < 0:
            if self.line_start:
                del self.buffer[: self.line_start]
                self.line_start = 0
            self.scanned_to = len(self.buffer)
            if self.scanned_to > MAX_LINE_BYTES:
                raise LineTooLong
            return None
        if end - self.line_start > MAX_LINE_BYTES:
            raise LineTooLong
        line = bytes(self.buffer[self.line_start : end])
        self.line_start = self.scanned_to = end + 1
        if self.line_start == len(self.buffer):
            self.buffer.clear()
            self.line_start = self.scanned_to = 0
        return line

    @property
    def size(self) -> int:
        """Bytes that are held."""
        return len(self.buffer)

    @property
    def has_line(self) -> bool:
        """Whether `next_line` would return a line."""
        return self.buffer.find(b"\n", self.scanned_to) >= 0

    @property
    def has_unread(self) -> bool:
        """Whether bytes were fed that `next_line` has not returned."""
        return self.line_start < len(self.buffer)
