"""Handover endpoint shared by both kinds of front: where a successor connects, and which one is accepted.

What is handed over is defined by the subclasses (`front_handover`, `workers.parent_handover`).
"""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path
from typing import Any

import structlog

from lemonhall.config.settings import LIVE_TERMS, FrontSettings
from lemonhall.front.handover.state_machine import Effect, HandoverSource
from lemonhall.front.process.channel import Channel
from lemonhall.loop import Loop, listen

log = structlog.get_logger("lemonhall.front")
VERSION = 1  # of the handover protocol


def handover_properties(settings: FrontSettings) -> dict[str, Any]:
    """Settings that must be equal at source and target: the front's identity and its terms of service."""
    identity = {name: repr(getattr(settings, name)) for name in ("name", "index", "hall", "listen", "store")}
    terms = {
        f.name: repr(getattr(settings.terms, f.name))
        for f in fields(settings.terms)
        if f.name not in LIVE_TERMS
    }
    return {"version": VERSION, "workers": settings.workers > 0, **identity, **terms}


def differences(own: dict[str, Any], other: dict[str, Any]) -> list[str]:
    names = sorted(own.keys() | other.keys())
    return [name.replace("_", " ") for name in names if own.get(name) != other.get(name)]


class HandoverEndpoint:
    """Listens at `path` for a successor.

    `settings` returns the front's settings at the time of the call. `hello_failpoint` is the failpoint that
    is reached when the successor's first message arrives.
    """

    hello_failpoint = "hello"

    def __init__(
        self, loop: Loop, path: str, settings: Callable[[], FrontSettings], failpoint: Callable[[str], object]
    ) -> None:
        """Raises `OSError` if the path cannot be bound."""
        self.loop, self.path, self.settings, self.failpoint = loop, Path(path), settings, failpoint
        self.source = HandoverSource()
        self.channel: Channel | None = None
        self.listener: socket.socket | None = None
        self.open_listener()

    def is_busy(self) -> bool:
        """Whether no handover can start now."""
        raise NotImplementedError

    def perform(self, effect: Effect) -> None:
        raise NotImplementedError

    def open_listener(self) -> None:
        """Binds the path. A file that exists there was left by an earlier process: a front that still served
        would have answered, and this process would not have reached this point."""
        self.path.unlink(missing_ok=True)
        self.listener = listen(self.loop, str(self.path), self.on_connection)
        self.path.chmod(0o600)

    def on_connection(self, sock: socket.socket, _: Any) -> None:
        """Refuses explicitly while busy: a channel that just closes would mean that this front has ended."""
        if self.channel is not None or self.is_busy():
            rejected = Channel(self.loop, sock, lambda message, fds: None, lambda: None)
            rejected.send({"refused": ["another change of guard is under way"]})
            return
        self.channel = Channel(self.loop, sock, self.on_message, self.on_channel_closed)

    def on_message(self, message: dict[str, Any], fds: list[int]) -> None:
        for fd in fds:
            os.close(fd)
        if "hello" in message:
            self.failpoint(self.hello_failpoint)
            mismatches = differences(handover_properties(self.settings()), message["hello"])
            if mismatches:
                log.warning("successor refused, its settings differ; serving on", mismatches=mismatches)
                assert self.channel
                self.channel.send({"refused": mismatches})
            self.perform_all(self.source.on_hello(not mismatches))
        elif "tried" in message:
            self.perform_all(self.source.on_claim_reported(message["tried"]))
        elif "here" in message:
            self.perform_all(self.source.on_confirmed())

    def on_channel_closed(self) -> None:
        self.channel = None
        if self.source.pending_batch is not None or self.source.handed_over:
            log.warning("successor ended during handover")
        self.perform_all(self.source.on_channel_closed())

    def perform_all(self, effects: list[Effect]) -> None:
        for effect in effects:
            self.perform(effect)

    def close_listener(self) -> None:
        if self.listener:
            self.loop.watch_socket(self.listener, 0, self.on_connection)
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        """Closes listener and channel. After a handover the path is kept: it belongs to the successor."""
        was_listening = self.listener is not None
        self.close_listener()
        if was_listening and not self.source.handed_over:
            self.path.unlink(missing_ok=True)
        if self.channel:
            self.channel.close()
            self.channel = None
