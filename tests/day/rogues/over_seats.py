"""Ignores the limits of seats."""

from __future__ import annotations

from dataclasses import replace

from lemonhall import decide, interface


class Front(decide.Front):
    def __init__(self, settings: interface.Settings, seed: int) -> None:
        classes = tuple(replace(c, seats=0) for c in settings.classes)
        super().__init__(replace(settings, classes=classes), seed)
