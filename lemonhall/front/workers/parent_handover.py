"""Handover of a front with worker processes: one parent takes over from another.

Only the parent's sockets and the role of the decider are handed over, as batch 0 of `handover.state_machine`;
an ownership token decides who has them. The old decider ends first, and the new parent's standby takes its
place. To the workers this looks like a decider that ended and another one that started, which they handle
anyway. Workers stay under the old parent and keep the sessions that they have; they accept no new viewers and
exit after their last session. No connection is moved.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import structlog

from lemonhall.front.handover.endpoint import HandoverEndpoint, handover_properties
from lemonhall.front.handover.state_machine import Action, Effect, HandoverTarget
from lemonhall.front.process.channel import Channel, OwnershipToken
from lemonhall.front.workers.parent import Parent
from lemonhall.loop import Timer

log = structlog.get_logger("lemonhall.front")
TARGET_TIMEOUT_S = 5.0  # after which a successor that does not answer loses the handover
FAILPOINTS = ("asked", "yielded", "sent", "unpacked", "owned", "told", "given", "over")


class ParentHandoverSource(HandoverEndpoint):
    """At the parent that is replaced: listens at `path`. Raises `OSError` if the path cannot be bound."""

    hello = "asked"

    def __init__(
        self, parent: Parent, path: str, failpoint: Callable[[str], object] = lambda name: None
    ) -> None:
        self.parent = parent
        self.token: OwnershipToken | None = None
        self.timeout_timer: Timer | None = None
        super().__init__(parent.loop, path, lambda: parent.settings, failpoint)
        parent.on_decider_stopped = self.on_decider_stopped
        parent.on_shutdown = self.close

    def is_busy(self) -> bool:
        return self.parent.shutting_down or not self.parent.serving

    def perform(self, effect: Effect) -> None:
        if effect.action is Action.SEND:
            self.parent.stop_decider()  # `on_decider_stopped` follows
        elif effect.action is Action.CLAIM_TOKEN:
            if self.timeout_timer:
                self.timeout_timer.cancel()
            token, self.token = self.token, None
            # Without a token nothing has been sent yet, so this process still owns the front.
            self.perform_all(self.source.on_token_claimed(0, token is None or token.claim()))
        elif effect.action in (Action.RESUME, Action.SERVE):
            log.warning("serving again: the successor has not taken over")
            if effect.action is Action.SERVE:
                self.close_listener()
                self.open_listener()
            self.parent.resume_deciding()
        elif effect.action is Action.RELEASE:
            self.failpoint("given")
        elif effect.action is Action.PREPARE_NEXT:
            self.perform_all(self.source.on_nothing_left())
        elif effect.action is Action.ASK_CONFIRMATION and self.channel:
            self.channel.send({"last": True})
        elif effect.action is Action.FINISH:
            self.failpoint("over")
            log.info(
                "successor serves as the front; workers keep their sessions",
                workers=len(self.parent.worker_processes()),
            )
            self.close()
            self.parent.finish_handover()

    def on_decider_stopped(self) -> None:
        """The decider has ended; hands the sockets over, or resumes if the successor has left meanwhile."""
        self.failpoint("yielded")
        if self.channel is None or self.source.pending_batch != 0:
            if not self.source.handed_over:
                self.parent.resume_deciding()
            return
        parent = self.parent
        sockets = [
            (n, s)
            for n, s in (("viewers", parent.viewers), ("status", parent.status), ("seam", parent.seam))
            if s
        ]
        self.token = OwnershipToken()
        fds = [self.token.fd, *(s.fileno() for _, s in sockets)]
        state = {"sockets": [n for n, _ in sockets], "seam_path": parent.seam_path, "folder": parent.folder}
        self.channel.send({"portion": 0, **state, "next_number": parent.next_worker_number}, fds)
        self.timeout_timer = self.loop.call_later(TARGET_TIMEOUT_S, self.on_timeout)
        self.failpoint("sent")

    def on_timeout(self) -> None:
        log.warning("successor did not answer in time; reclaiming the front")
        self.perform_all(self.source.on_claim_reported(0))


class ParentHandoverTarget:
    """At the successor. Calls `opened(fresh)` when it may serve, `refused(reason)` if it cannot take over.

    `fresh` is set if the old parent ended before it handed over any socket.
    """

    def __init__(
        self,
        parent: Parent,
        path: str,
        opened: Callable[[bool], object],
        refused: Callable[[str], object],
        failpoint: Callable[[str], object] = lambda name: None,
    ) -> None:
        """Raises `OSError` if no front listens at `path`."""
        self.parent, self.opened, self.refused, self.failpoint = parent, opened, refused, failpoint
        self.target = HandoverTarget()
        self.token: OwnershipToken | None = None
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.connect(path)
        except OSError:
            sock.close()
            raise
        self.channel = Channel(parent.loop, sock, self.on_message, self.on_channel_closed)
        self.channel.send({"hello": handover_properties(parent.settings)})

    def on_message(self, message: dict[str, Any], fds: list[int]) -> None:
        if "refused" in message:
            self.target.ended = True
            self.refused(f"refused by the front that serves, for: {', '.join(message['refused'])}")
        elif "last" in message:
            self.perform_all(self.target.on_confirmation_requested())
        else:
            self.token = OwnershipToken(fds.pop(0))
            parent = self.parent
            for name in message["sockets"]:
                setattr(parent, name, socket.socket(fileno=fds.pop(0)))
            parent.seam_path, parent.folder, parent.next_worker_number = (
                message["seam_path"],
                message["folder"],
                message["next_number"],
            )
            self.failpoint("unpacked")
            self.perform_all(self.target.on_batch_received(0, True))

    def on_channel_closed(self) -> None:
        self.perform_all(self.target.on_channel_closed())

    def perform_all(self, effects: list[Effect]) -> None:
        for effect in effects:
            self.perform(effect)

    def perform(self, effect: Effect) -> None:
        if effect.action is Action.CLAIM_TOKEN and self.token:
            self.perform_all(self.target.on_token_claimed(0, self.token.claim()))
        elif effect.action is Action.SERVE:
            self.opened(self.parent.seam is None)
        elif effect.action is Action.REPORT_CLAIM:
            self.failpoint("owned")
            self.channel.send({"tried": 0})
            self.failpoint("told")
        elif effect.action is Action.CONFIRM:
            self.channel.send({"here": True})
        elif effect.action is Action.ABORT:
            self.parent.folder = ""  # it belongs to the old parent
            self.refused("the front that serves goes on: this one could not take over")
