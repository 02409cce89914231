"""Checks a run against the six rules and measures its service, from the taps of all processes."""

from lemonhall.audit.rules import Report, audit
from lemonhall.audit.trace import Trace, read_taps

__all__ = ["Report", "Trace", "audit", "read_taps"]
