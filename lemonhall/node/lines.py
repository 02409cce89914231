"""A stream of bytes cut at line feeds, in bounded memory."""

from __future__ import annotations

from lemonhall.node.bounds import LINE_BYTES


class TooLong(Exception):
    """A message without a line feed within `LINE_BYTES`; nothing that follows can be trusted."""


class Lines:
    """`feed` what came, then `take` whole lines one by one. What it holds is at most a line and one feed."""

    __slots__ = ("at", "held", "seen")

    def __init__(self) -> None:
        self.held = bytearray()
        self.at = 0  # begin of what was not taken yet
        self.seen = 0  # up to here no line feed was found

    def feed(self, data: bytes | memoryview) -> None:
        self.held += data

    def take(self) -> bytes | None:
        """The next whole line without its line feed, or None. Raises `TooLong`."""
        end = self.held.find(b"\n", self.seen)
        if end < 0:
            if self.at:
                del self.held[: self.at]
                self.at = 0
            self.seen = len(self.held)
            if self.seen > LINE_BYTES:
                raise TooLong
            return None
        if end - self.at > LINE_BYTES:
            raise TooLong
        line = bytes(self.held[self.at : end])
        self.at = self.seen = end + 1
        if self.at == len(self.held):
            self.held.clear()
            self.at = self.seen = 0
        return line

    @property
    def partial(self) -> bool:
        """Something was fed that was not taken."""
        return self.at < len(self.held)
