"""What both kinds of front have in common where they are relieved: the place at which a successor asks, its
first words, and who it must be. What is handed over is theirs (`guard`, `workers/changing`)."""

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
VERSION = 1


def about(s: FrontSettings) -> dict[str, Any]:
    """What must be the same at both, field by field: who the front is, and the terms of its service."""
    own = {name: repr(getattr(s, name)) for name in ("name", "index", "hall", "listen", "store")}
    terms = {f.name: repr(getattr(s.terms, f.name)) for f in fields(s.terms) if f.name not in LIVE_TERMS}
    return {"version": VERSION, "workers": s.workers > 0, **own, **terms}


def differences(ours: dict[str, Any], theirs: dict[str, Any]) -> list[str]:
    names = sorted(ours.keys() | theirs.keys())
    return [name.replace("_", " ") for name in names if ours.get(name) != theirs.get(name)]


class HandoverEndpoint:
    """Listens at `path` for a successor. `settings`: the front's, as they are when it comes.

    `hello`: the name of the point at which its first word is heard."""

    hello = "hello"

    def __init__(
        self, loop: Loop, path: str, settings: Callable[[], FrontSettings], failpoint: Callable[[str], object]
    ) -> None:
        """Raises `OSError` if the path cannot be listened at."""
        self.loop, self.path, self.settings, self.failpoint = loop, Path(path), settings, failpoint
        self.giver = HandoverSource()
        self.channel: Channel | None = None
        self.listener: socket.socket | None = None
        self.listen()

    def busy(self) -> bool:
        """Nobody can be relieved now."""
        raise NotImplementedError

    def act(self, effect: Effect) -> None:
        raise NotImplementedError

    def listen(self) -> None:
        """What lies at the path is of an earlier life: nobody who serves lets another come so far."""
        self.path.unlink(missing_ok=True)
        self.listener = listen(self.loop, str(self.path), self.accept)
        self.path.chmod(0o600)

    def accept(self, sock: socket.socket, _: Any) -> None:
        """One that cannot be let in is told so: a channel that just ends would say that nobody is here."""
        if self.channel is not None or self.busy():
            other = Channel(self.loop, sock, lambda message, fds: None, lambda: None)
            other.send({"refused": ["another change of guard is under way"]})
            return
        self.channel = Channel(self.loop, sock, self.heard, self.ended)

    def heard(self, message: dict[str, Any], fds: list[int]) -> None:
        for fd in fds:
            os.close(fd)
        if "hello" in message:
            self.failpoint(self.hello)
            other = differences(about(self.settings()), message["hello"])
            if other:
                log.warning("successor refused", other=other)
                assert self.channel
                self.channel.send({"refused": other})
            self.carry_out(self.giver.asked(not other))
        elif "tried" in message:
            self.carry_out(self.giver.answered(message["tried"]))
        elif "here" in message:
            self.carry_out(self.giver.confirmed())

    def ended(self) -> None:
        self.channel = None
        if self.giver.out is not None or self.giver.relieved:
            log.warning("successor has ended")
        self.carry_out(self.giver.gone())

    def carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            self.act(effect)

    def close_listener(self) -> None:
        if self.listener:
            self.loop.watch_socket(self.listener, 0, self.accept)
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        """A path that another listens at by now is left alone."""
        had = self.listener is not None
        self.close_listener()
        if had and not self.giver.relieved:
            self.path.unlink(missing_ok=True)
        if self.channel:
            self.channel.close()
            self.channel = None
