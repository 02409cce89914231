"""Drops every third answer (a fault of the program around the module)."""

from __future__ import annotations

import itertools
from typing import Any

from lemonhall.decide import Front
from lemonhall.front.viewers.session import Session

__all__ = ["Front"]
respond, count = Session.respond, itertools.count(1)


def answer_two_of_three(self: Session, response: Any) -> None:
    if next(count) % 3:
        respond(self, response)


Session.respond = answer_two_of_three  # type: ignore[method-assign]
