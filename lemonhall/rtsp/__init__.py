"""RTSP 1.0 (RFC 2326) with interleaved RTP (section 10.12): parses bytes into events. No I/O."""

from lemonhall.rtsp.messages import REASON_PHRASES, Headers, Message, Request, Response
from lemonhall.rtsp.parser import FrameRun, MalformedInput, Parser, ParserLimits

__all__ = [
    "REASON_PHRASES",
    "FrameRun",
    "Headers",
    "MalformedInput",
    "Message",
    "Parser",
    "ParserLimits",
    "Request",
    "Response",
]
