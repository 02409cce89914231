"""An event loop on `selectors`: timers, buffered streams, datagrams, signals and child processes."""

from lemonhall.loop.event_loop import Loop, Timer
from lemonhall.loop.stream import Handler, Stream, listen

__all__ = ["Handler", "Loop", "Stream", "Timer", "listen"]
