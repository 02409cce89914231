"""Sends the answer to each PLAY twice (a fault of the program around the module)."""

from __future__ import annotations

from typing import Any

from lemonhall.decide import Front
from lemonhall.front.viewers.viewer import ViewerConnection

__all__ = ["Front"]
answer = ViewerConnection.answer


def twice(self: ViewerConnection, slot: Any, data: bytes) -> None:
    answer(self, slot, data)
    if slot.request.method == "PLAY":
        self.stream.write(data)


ViewerConnection.answer = twice  # type: ignore[method-assign]
