"""Structured logs on standard error."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog


def configure(form: str) -> None:
    last = (
        structlog.processors.JSONRenderer() if form == "json" else structlog.dev.ConsoleRenderer(colors=False)
    )
    processors: list[Any] = [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        *([structlog.processors.dict_tracebacks] if form == "json" else []),
    ]
    structlog.configure(
        processors=[*processors, last],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),  # processes share it: a line a write
        cache_logger_on_first_use=True,
    )
