"""Change of guard where a front has workers: one parent takes over from another.

Only the parent's sockets and the decider's place change hands, as portion 0 of `guarding.relief`; a baton
says whose they are. The old decider goes first, and the new one, which stands by, comes in its place: to the
workers that is a decider that ended and another that came, which they are made for. Workers stay where they
are, under the old parent, with what plays there; they take nothing new and go when theirs has ended. No
connection moves.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import structlog

from lemonhall.front.handover.endpoint import HandoverEndpoint, about
from lemonhall.front.handover.state_machine import Do, Effect, HandoverTarget
from lemonhall.front.process.channel import Channel, OwnershipToken
from lemonhall.front.workers.parent import Parent
from lemonhall.loop import Timer

log = structlog.get_logger("lemonhall.front")
PATIENCE_S = 5.0
FAILPOINTS = ("asked", "yielded", "sent", "unpacked", "owned", "told", "given", "over")


class ParentHandoverSource(HandoverEndpoint):
    """At the parent that is relieved; listens at the guard's path. Raises `OSError` if it cannot."""

    hello = "asked"

    def __init__(
        self, parent: Parent, path: str, failpoint: Callable[[str], object] = lambda name: None
    ) -> None:
        self.parent = parent
        self.baton: OwnershipToken | None = None
        self.patience: Timer | None = None
        super().__init__(parent.loop, path, lambda: parent.settings, failpoint)
        parent.on_yielded = self.yielded
        parent.on_ending = self.close

    def busy(self) -> bool:
        return self.parent.ending or not self.parent.serving

    def act(self, effect: Effect) -> None:
        if effect.do is Do.HAND:
            self.parent.give_way()  # `yielded` follows
        elif effect.do is Do.TRY:
            if self.patience:
                self.patience.cancel()
            baton, self.baton = self.baton, None
            # without one nothing has been sent yet: it is still ours
            self.carry_out(self.giver.tried(0, baton is None or baton.take()))
        elif effect.do in (Do.RESUME, Do.SERVE):
            log.warning("serving again, nobody has taken over")
            if effect.do is Do.SERVE:
                self.close_listener()
                self.listen()
            self.parent.take_back()
        elif effect.do is Do.FORGET:
            self.failpoint("given")
        elif effect.do is Do.NEXT:
            self.carry_out(self.giver.nothing_left())
        elif effect.do is Do.LAST and self.channel:
            self.channel.send({"last": True})
        elif effect.do is Do.OVER:
            self.failpoint("over")
            log.info("relieved", workers=len(self.parent.workers()))
            self.close()
            self.parent.relieved()

    def yielded(self) -> None:
        """The decider has gone: the place is free."""
        self.failpoint("yielded")
        if self.channel is None or self.giver.out != 0:
            if not self.giver.relieved:
                self.parent.take_back()
            return
        p = self.parent
        sockets = [(n, s) for n, s in (("viewers", p.viewers), ("status", p.status), ("seam", p.seam)) if s]
        self.baton = OwnershipToken()
        fds = [self.baton.fd, *(s.fileno() for _, s in sockets)]
        told = {"sockets": [n for n, _ in sockets], "seam_path": p.seam_path, "folder": p.folder}
        self.channel.send({"portion": 0, **told, "next_number": p.next_number}, fds)
        self.patience = self.loop.call_later(PATIENCE_S, self.lose_patience)
        self.failpoint("sent")

    def lose_patience(self) -> None:
        log.warning("successor is silent")
        self.carry_out(self.giver.answered(0))


class ParentHandoverTarget:
    """At the parent that comes. `opened(anew)` is called at its turn, `refused(why)` if it is not wanted."""

    def __init__(
        self,
        parent: Parent,
        path: str,
        opened: Callable[[bool], object],
        refused: Callable[[str], object],
        failpoint: Callable[[str], object] = lambda name: None,
    ) -> None:
        """Raises `OSError` if nobody is there to be relieved."""
        self.parent, self.opened, self.refused, self.failpoint = parent, opened, refused, failpoint
        self.taker = HandoverTarget()
        self.baton: OwnershipToken | None = None
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.connect(path)
        except OSError:
            sock.close()
            raise
        self.channel = Channel(parent.loop, sock, self.heard, self.ended)
        self.channel.send({"hello": about(parent.settings)})

    def heard(self, message: dict[str, Any], fds: list[int]) -> None:
        if "refused" in message:
            self.taker.ended = True
            self.refused(f"refused by the front that serves, for: {', '.join(message['refused'])}")
        elif "last" in message:
            self.carry_out(self.taker.last())
        else:
            self.baton = OwnershipToken(fds.pop(0))
            p = self.parent
            for name in message["sockets"]:
                setattr(p, name, socket.socket(fileno=fds.pop(0)))
            p.seam_path, p.folder, p.next_number = (
                message["seam_path"],
                message["folder"],
                message["next_number"],
            )
            self.failpoint("unpacked")
            self.carry_out(self.taker.handed(0, True))

    def ended(self) -> None:
        self.carry_out(self.taker.gone())

    def carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            self.act(effect)

    def act(self, effect: Effect) -> None:
        if effect.do is Do.TRY and self.baton:
            self.carry_out(self.taker.tried(0, self.baton.take()))
        elif effect.do is Do.SERVE:
            self.opened(self.parent.seam is None)
        elif effect.do is Do.TOOK:
            self.failpoint("owned")
            self.channel.send({"tried": 0})
            self.failpoint("told")
        elif effect.do is Do.HERE:
            self.channel.send({"here": True})
        elif effect.do is Do.END:
            self.parent.folder = ""  # they are the other's
            self.refused("the front that serves goes on: this one could not take over")
