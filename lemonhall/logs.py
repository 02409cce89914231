"""Structured logging to standard error."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog


def configure(form: str) -> None:
    """Configures structlog; `form` is "json", or anything else for readable lines."""
    renderer = (
        structlog.processors.JSONRenderer() if form == "json" else structlog.dev.ConsoleRenderer(colors=False)
    )
    processors: list[Any] = [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        *([structlog.processors.dict_tracebacks] if form == "json" else []),
    ]
    structlog.configure(
        processors=[*processors, renderer],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(
            sys.stderr
        ),  # processes share it, so each line is one write
        cache_logger_on_first_use=True,
    )
