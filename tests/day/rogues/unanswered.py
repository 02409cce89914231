"""A front that loses every third answer (a fault of the program round the module)."""

from __future__ import annotations

import itertools
from typing import Any

from lemonhall.decide import Front
from lemonhall.front.viewers.session import Session

__all__ = ["Front"]
answer, turn = Session.answer, itertools.count(1)


def lossy(self: Session, response: Any) -> None:
    if next(turn) % 3:
        answer(self, response)


Session.answer = lossy  # type: ignore[method-assign]
