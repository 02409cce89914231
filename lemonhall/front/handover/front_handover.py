"""Handover of a front without worker processes: `FrontHandoverSource` and `FrontHandoverTarget`.

`state_machine` decides which process owns what, `connection_state` serializes a connection. This module
carries out both: messages, sockets, ownership tokens, timeouts. `failpoint` is called with the name of each
step, so that tests can end a process there.
"""

from __future__ import annotations

import base64
import os
import socket
from collections.abc import Callable, Sequence
from typing import Any

import structlog

from lemonhall.boxlist import Update
from lemonhall.front.handover import connection_state
from lemonhall.front.handover.endpoint import HandoverEndpoint, handover_properties
from lemonhall.front.handover.state_machine import Action, Effect, HandoverTarget
from lemonhall.front.persistence.store_service import to_learned, to_memory
from lemonhall.front.process.channel import Channel, OwnershipToken
from lemonhall.front.process.daemon import Daemon, InheritedSockets
from lemonhall.front.viewers.viewer import ViewerConnection
from lemonhall.loop import Loop, Timer
from lemonhall.store.store_pb2 import Learned

log = structlog.get_logger("lemonhall.front")
TARGET_TIMEOUT_S = 3.0  # after which a batch is reclaimed from a successor that does not answer
POLL_INTERVAL_S = 0.02  # before connections with requests in progress are checked again
MAX_BATCH_CONNECTIONS = 16
MAX_BATCH_FDS = 100
FAILPOINTS = (
    "hello",
    "hand-front",
    "front-sent",
    "front-unpacked",
    "front-owned",
    "front-told",
    "front-given",
    "hand",
    "sent",
    "unpacked",
    "owned",
    "told",
    "given",
    "over",
)


class FrontHandoverSource(HandoverEndpoint):
    """At the front that serves: waits for a successor at `path` and hands over to it."""

    def __init__(
        self, daemon: Daemon, path: str, failpoint: Callable[[str], object] = lambda name: None
    ) -> None:
        """Raises `OSError` if the path cannot be bound."""
        self.daemon = daemon
        self.token: OwnershipToken | None = None
        self.suspended_viewers: list[ViewerConnection] = []
        self.timeout_timer: Timer | None = None
        self.poll_timer: Timer | None = None
        self.viewers_handed_over = 0
        super().__init__(daemon.loop, path, lambda: daemon.settings, failpoint)

    def is_busy(self) -> bool:
        return self.daemon.stopping

    def perform(self, effect: Effect) -> None:
        batch = effect.batch
        if effect.action is Action.SEND:
            self.send_front() if batch == 0 else self.send_batch(batch)
            self.timeout_timer = self.loop.call_later(TARGET_TIMEOUT_S, self.on_timeout, batch)
        elif effect.action is Action.CLAIM_TOKEN:
            if self.timeout_timer:
                self.timeout_timer.cancel()
            token, self.token = self.token, None
            self.perform_all(self.source.on_token_claimed(batch, token is not None and token.claim()))
        elif effect.action is Action.RESUME:
            self.daemon.resume_front() if batch == 0 else self.resume_batch()
        elif effect.action is Action.RELEASE:
            self.release_batch(batch)
        elif effect.action is Action.PREPARE_NEXT:
            self.prepare_next()
        elif effect.action is Action.SERVE:
            log.warning("serving again: the successor ended before the handover was complete")
            self.close_listener()
            self.open_listener()
            self.daemon.resume_front()
        elif effect.action is Action.DRAIN:
            # Reclaimed sessions stay here until the successor answers, or until they end.
            self.prepare_next()
        elif effect.action is Action.ASK_CONFIRMATION:
            assert self.channel
            self.channel.send({"last": True})
        elif effect.action is Action.FINISH:
            self.finish()

    def on_timeout(self, batch: int) -> None:
        log.warning("successor did not answer in time; reclaiming the batch", batch=batch)
        self.perform_all(self.source.on_claim_reported(batch))

    # batch 0: the front itself

    def send_front(self) -> None:
        self.failpoint("hand-front")
        daemon = self.daemon
        daemon.pause_front()
        sockets = {
            "viewers": daemon.listeners[0],
            "status": daemon.listeners[1] if len(daemon.listeners) > 1 else None,
            "peers": daemon.peers.sock if daemon.peers else None,
            "members": daemon.membership.sock if daemon.membership else None,
        }
        named = [(name, sock) for name, sock in sockets.items() if sock is not None]
        self.token = OwnershipToken()
        fds = [self.token.fd, *(sock.fileno() for _, sock in named)]
        lock = daemon.store_service.store.lock_fd if daemon.store_service else None
        fds += [lock] if lock is not None else []
        memory = daemon.memory()
        message = {
            "portion": 0,
            "sockets": [name for name, _ in named],
            "lock": lock is not None,
            "memory": connection_state.to_base64(to_learned(memory).SerializeToString()) if memory else "",
            "list": connection_state.to_base64(daemon.list_client.server_list.snapshot().SerializeToString())
            if daemon.list_client.server_list.version
            else "",
            "born_ms": daemon.list_client.server_list.front_started_ms,
            "clock": [daemon.start_wall_ms, daemon.start_monotonic_s],
            "fleet": list(daemon.membership.front_count.reported) if daemon.membership else None,
            "limits": connection_state.to_base64(
                daemon.set_up_requests.limits.machine.escrow.handover_state()
            )
            if daemon.set_up_requests.limits
            else "",
        }
        assert self.channel
        self.channel.send(message, fds)
        self.failpoint("front-sent")

    # later batches: connections

    def prepare_next(self) -> None:
        if self.source.channel_closed or self.channel is None:
            return
        daemon = self.daemon
        if not daemon.worker.viewers and not daemon.worker.requests_by_number:
            self.perform_all(self.source.on_nothing_left())
            return
        ready: list[ViewerConnection] = []
        fds = 0
        for viewer in daemon.worker.viewers:
            if connection_state.can_hand_over(viewer):
                fds += len(connection_state.connection_streams(viewer))
                if ready and (fds > MAX_BATCH_FDS or len(ready) >= MAX_BATCH_CONNECTIONS):
                    break
                ready.append(viewer)
        if ready:
            self.suspended_viewers = ready
            self.perform_all(self.source.on_batch_ready())
        else:
            self.poll_timer = self.loop.call_later(POLL_INTERVAL_S, self.prepare_next)

    def send_batch(self, batch: int) -> None:
        self.failpoint("hand")
        daemon = self.daemon
        for viewer in self.suspended_viewers:
            connection_state.suspend_viewer(daemon, viewer)
        daemon.decider_queue.deliver()
        daemon.bridge.flush()  # earlier messages about these sessions are processed before they are packed
        self.token = OwnershipToken()
        fds = [self.token.fd]
        for viewer in self.suspended_viewers:
            fds += [s.sock.fileno() for s in connection_state.connection_streams(viewer)]
        assert self.channel
        self.channel.send(
            {
                "portion": batch,
                "viewers": [connection_state.pack_viewer(daemon, v) for v in self.suspended_viewers],
            },
            fds,
        )
        self.failpoint("sent")

    def resume_batch(self) -> None:
        viewers, self.suspended_viewers = self.suspended_viewers, []
        for viewer in viewers:
            connection_state.resume_viewer(self.daemon, viewer)

    def release_batch(self, batch: int) -> None:
        if batch == 0:
            self.failpoint("front-given")
            log.info(
                "successor serves as the front; handing over connections",
                viewers=len(self.daemon.worker.viewers),
            )
            return
        viewers, self.suspended_viewers = self.suspended_viewers, []
        for viewer in viewers:
            connection_state.release_viewer(self.daemon, viewer)
        self.viewers_handed_over += len(viewers)
        self.failpoint("given")

    def finish(self) -> None:
        self.failpoint("over")
        log.info("handover complete", viewers=self.viewers_handed_over)
        self.daemon.exit_after_handover()


class ReplaceableDaemon(Daemon):
    """A front without worker processes that can be handed over to a successor."""

    def open_handover(self) -> None:
        if self.settings.guard:
            self.handover = FrontHandoverSource(self, self.settings.guard, self.failpoint)


class FrontHandoverTarget:
    """At the successor. Calls `opened` once it serves, `refused(reason)` if it cannot take over."""

    def __init__(
        self,
        daemon: Daemon,
        path: str,
        opened: Callable[[], object],
        refused: Callable[[str], object],
        failpoint: Callable[[str], object] = lambda name: None,
    ) -> None:
        """Raises `OSError` if no front listens at `path`."""
        self.daemon, self.loop, self.path, self.failpoint = daemon, daemon.loop, path, failpoint
        self.opened, self.refused = opened, refused
        self.target = HandoverTarget()
        self.unpacked: dict[int, list[ViewerConnection]] = {}
        self.tokens: dict[int, OwnershipToken] = {}
        self.inherited = InheritedSockets()
        self.viewers_taken = 0
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.connect(path)
        except OSError:
            sock.close()
            raise
        self.channel = Channel(self.loop, sock, self.on_message, self.on_channel_closed)
        self.channel.send({"hello": handover_properties(daemon.settings)})

    def on_message(self, message: dict[str, Any], fds: list[int]) -> None:
        if "refused" in message:
            self.target.ended = True
            self.refused(f"refused by the front that serves, for: {', '.join(message['refused'])}")
            return
        if "last" in message:
            self.perform_all(self.target.on_confirmation_requested())
            return
        batch = message["portion"]
        self.tokens[batch] = OwnershipToken(fds.pop(0))
        try:
            if batch == 0:
                self.unpack_front(message, fds)
            else:
                self.unpacked[batch] = [
                    connection_state.unpack_viewer(self.daemon, packed, fds) for packed in message["viewers"]
                ]
            usable = True
        except Exception as error:
            log.error(
                "batch cannot be unpacked; it stays with the old front",
                batch=batch,
                error=str(error),
                exc_info=error,
            )
            usable = False
        self.failpoint("front-unpacked" if batch == 0 else "unpacked")
        self.perform_all(self.target.on_batch_received(batch, usable))

    def unpack_front(self, message: dict[str, Any], fds: list[int]) -> None:
        for name in message["sockets"]:
            setattr(self.inherited, name, socket.socket(fileno=fds.pop(0)))
        if message["lock"]:
            self.inherited.lock = fds.pop(0)
        self.inherited.message = message
        if self.daemon.settings.store and self.daemon.store_service is None:
            self.daemon.open_store(self.daemon.settings.store, self.inherited.lock)

    def on_channel_closed(self) -> None:
        self.perform_all(self.target.on_channel_closed())
        if self.daemon.set_up_requests.limits:
            self.daemon.set_up_requests.limits.machine.finish_handover()
        if self.target.serving:
            log.info("old front has ended", viewers=self.viewers_taken)

    def perform_all(self, effects: list[Effect]) -> None:
        for effect in effects:
            self.perform(effect)

    def perform(self, effect: Effect) -> None:
        batch = effect.batch
        if effect.action is Action.CLAIM_TOKEN:
            self.perform_all(self.target.on_token_claimed(batch, self.tokens.pop(batch).claim()))
        elif effect.action is Action.SERVE:
            self.serve()
        elif effect.action is Action.REPORT_CLAIM:
            self.failpoint("front-owned" if batch == 0 else "owned")
            self.channel.send({"tried": batch})
            self.failpoint("front-told" if batch == 0 else "told")
        elif effect.action is Action.CONFIRM:
            self.channel.send({"here": True})
        elif effect.action is Action.START:
            for viewer in self.unpacked.pop(batch):
                connection_state.start_viewer(self.daemon, viewer)
                self.viewers_taken += 1
        elif effect.action is Action.DISCARD:
            for viewer in self.unpacked.pop(batch, []):
                connection_state.discard_viewer(viewer)
        elif effect.action is Action.ABORT:
            self.refused("the front that serves goes on: this one could not take over")

    def serve(self) -> None:
        if self.inherited.message:
            self.adopt_state(self.inherited.message)
        self.opened()

    def adopt_state(self, message: dict[str, Any]) -> None:
        """Restores clock, server list and learned state of the old front before this front opens."""
        daemon = self.daemon
        daemon.start_wall_ms, daemon.start_monotonic_s = message["clock"]
        daemon.list_client.server_list.front_started_ms = message["born_ms"]
        daemon.inherited = self.inherited
        if message["list"]:
            update = Update.FromString(base64.b64decode(message["list"]))
            if event := daemon.list_client.server_list.apply(update):
                daemon.bridge.enqueue(event)
        if message["memory"]:
            learned = Learned.FromString(base64.b64decode(message["memory"]))
            daemon.bridge.enqueue(to_memory(learned))


def exit_at_failpoint(name: str, failpoints: Sequence[str] = FAILPOINTS) -> Callable[[str], object]:
    """For tests: a callback that ends the process at the named failpoint, as if killed there.

    Raises `ValueError` for an unknown name.
    """
    if name and name not in failpoints:
        raise ValueError(f"failpoint {name!r} does not exist in a handover")

    def failpoint(reached: str) -> None:
        if reached == name:
            os._exit(9)

    return failpoint


def wait_for_handover(loop: Loop, successor: FrontHandoverTarget) -> None:
    """Runs the loop until the successor serves or cannot take over."""
    loop.run(until=lambda: successor.target.serving or successor.target.ended)
