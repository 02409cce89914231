"""The place of one answer on a viewer's connection."""

from __future__ import annotations

from lemonhall.rtsp import Request


class Slot:
    """`tail` is media that came for a session whose answer still waits its turn."""

    def __init__(self, request: Request) -> None:
        self.request = request
        self.answer: bytes | None = None
        self.tail: list[bytes] = []
