"""Captures: calls of a front's decision module, recorded with its decisions for inspection and replay."""

from lemonhall.capture.blocks import Capture, UnreadableRange, read_capture
from lemonhall.capture.replay import OtherRecord, Replay, ReplayedCall, ReplayError, differing_sessions
from lemonhall.capture.report import describe_session, render_timeline
from lemonhall.capture.ring import CaptureRing

__all__ = [
    "Capture",
    "CaptureRing",
    "OtherRecord",
    "Replay",
    "ReplayError",
    "ReplayedCall",
    "UnreadableRange",
    "describe_session",
    "differing_sessions",
    "read_capture",
    "render_timeline",
]
