"""Change of guard on real sockets: `Guard` at the front that is relieved, `Successor` at the one that comes.

Who owns what when is `relief`'s to say; how a connection is written down, `handover`'s. Here both are carried
out: messages, sockets, batons, patience. `point` is told each step's name, so that tests can end a process
at it.
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
from lemonhall.front.handover.endpoint import HandoverEndpoint, about
from lemonhall.front.handover.state_machine import Do, Effect, HandoverTarget
from lemonhall.front.persistence.store_service import to_learned, to_memory
from lemonhall.front.process.channel import Channel, OwnershipToken
from lemonhall.front.process.daemon import Daemon, InheritedSockets
from lemonhall.front.viewers.viewer import ViewerConnection
from lemonhall.loop import Loop, Timer
from lemonhall.store.store_pb2 import Learned

log = structlog.get_logger("lemonhall.front")
PATIENCE_S = 3.0  # a successor that is silent for so long has its portion taken back
AGAIN_S = 0.02  # connections that are not quiet are looked at again after
CONNECTIONS = 16  # in one portion
FDS = 100  # in one portion
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
    """At the front that serves: waits for a successor at `path`, and hands over when one asks."""

    def __init__(
        self, daemon: Daemon, path: str, failpoint: Callable[[str], object] = lambda name: None
    ) -> None:
        """Raises `OSError` if the path cannot be listened at."""
        self.daemon = daemon
        self.baton: OwnershipToken | None = None
        self.frozen: list[ViewerConnection] = []
        self.patience: Timer | None = None
        self.look: Timer | None = None
        self.given = 0
        super().__init__(daemon.loop, path, lambda: daemon.settings, failpoint)

    def busy(self) -> bool:
        return self.daemon.stopping

    def act(self, effect: Effect) -> None:
        n = effect.portion
        if effect.do is Do.HAND:
            self.hand_front() if n == 0 else self.hand(n)
            self.patience = self.loop.call_later(PATIENCE_S, self.lose_patience, n)
        elif effect.do is Do.TRY:
            if self.patience:
                self.patience.cancel()
            baton, self.baton = self.baton, None
            self.carry_out(self.giver.tried(n, baton is not None and baton.take()))
        elif effect.do is Do.RESUME:
            self.daemon.resume_front() if n == 0 else self.resume()
        elif effect.do is Do.FORGET:
            self.forget(n)
        elif effect.do is Do.NEXT:
            self.next()
        elif effect.do is Do.SERVE:
            log.warning("serving again, the successor is no more")
            self.close_listener()
            self.listen()
            self.daemon.resume_front()
        elif effect.do is Do.DRAIN:
            self.next()  # those that were taken back stay until the successor answers, or to their end
        elif effect.do is Do.LAST:
            assert self.channel
            self.channel.send({"last": True})
        elif effect.do is Do.OVER:
            self.over()

    def lose_patience(self, n: int) -> None:
        log.warning("successor is silent", portion=n)
        self.carry_out(self.giver.answered(n))

    # portion 0

    def hand_front(self) -> None:
        self.failpoint("hand-front")
        d = self.daemon
        d.pause_front()
        sockets = {
            "viewers": d.listeners[0],
            "status": d.listeners[1] if len(d.listeners) > 1 else None,
            "peers": d.peers.sock if d.peers else None,
            "members": d.membership.sock if d.membership else None,
        }
        named = [(name, sock) for name, sock in sockets.items() if sock is not None]
        self.baton = OwnershipToken()
        fds = [self.baton.fd, *(sock.fileno() for _, sock in named)]
        lock = d.store_service.store.lock if d.store_service else None
        fds += [lock] if lock is not None else []
        memory = d.memory()
        message = {
            "portion": 0,
            "sockets": [name for name, _ in named],
            "lock": lock is not None,
            "memory": connection_state.text(to_learned(memory).SerializeToString()) if memory else "",
            "list": connection_state.text(d.list_client.server_list.snapshot().SerializeToString())
            if d.list_client.server_list.version
            else "",
            "born_ms": d.list_client.server_list.front_started_ms,
            "clock": [d.start_wall_ms, d.start],
            "fleet": list(d.membership.share.reported) if d.membership else None,
            "limits": connection_state.text(d.set_up_requests.limits.machine.escrow.handover_state())
            if d.set_up_requests.limits
            else "",
        }
        assert self.channel
        self.channel.send(message, fds)
        self.failpoint("front-sent")

    # connections

    def next(self) -> None:
        if self.giver.lost or self.channel is None:
            return
        d = self.daemon
        if not d.worker.viewers and not d.worker.asks:
            self.carry_out(self.giver.nothing_left())
            return
        ready: list[ViewerConnection] = []
        fds = 0
        for viewer in d.worker.viewers:
            if connection_state.quiet(viewer):
                fds += len(connection_state.streams(viewer))
                if ready and (fds > FDS or len(ready) >= CONNECTIONS):
                    break
                ready.append(viewer)
        if ready:
            self.frozen = ready
            self.carry_out(self.giver.portion())
        else:
            self.look = self.loop.call_later(AGAIN_S, self.next)

    def hand(self, n: int) -> None:
        self.failpoint("hand")
        d = self.daemon
        for viewer in self.frozen:
            connection_state.freeze(d, viewer)
        d.decider_queue.deliver()
        d.bridge.flush()  # what was told before of them is settled before they are written down
        self.baton = OwnershipToken()
        fds = [self.baton.fd]
        for viewer in self.frozen:
            fds += [s.sock.fileno() for s in connection_state.streams(viewer)]
        assert self.channel
        self.channel.send({"portion": n, "viewers": [connection_state.pack(d, v) for v in self.frozen]}, fds)
        self.failpoint("sent")

    def resume(self) -> None:
        frozen, self.frozen = self.frozen, []
        for viewer in frozen:
            connection_state.thaw(self.daemon, viewer)

    def forget(self, n: int) -> None:
        if n == 0:
            self.failpoint("front-given")
            log.info("relieved", viewers=len(self.daemon.worker.viewers))
            return
        frozen, self.frozen = self.frozen, []
        for viewer in frozen:
            connection_state.forget(self.daemon, viewer)
        self.given += len(frozen)
        self.failpoint("given")

    def over(self) -> None:
        self.failpoint("over")
        log.info("handed over", viewers=self.given)
        self.daemon.leave_front()


class ReplaceableDaemon(Daemon):
    """A front that may be relieved."""

    def open_handover(self) -> None:
        if self.settings.guard:
            self.handover = FrontHandoverSource(self, self.settings.guard, self.failpoint)


class FrontHandoverTarget:
    """At the front that comes. `opened` is called once it serves, `refused(why)` if it is not wanted."""

    def __init__(
        self,
        daemon: Daemon,
        path: str,
        opened: Callable[[], object],
        refused: Callable[[str], object],
        failpoint: Callable[[str], object] = lambda name: None,
    ) -> None:
        """Raises `OSError` if nobody is there to be relieved."""
        self.daemon, self.loop, self.path, self.failpoint = daemon, daemon.loop, path, failpoint
        self.opened, self.refused = opened, refused
        self.taker = HandoverTarget()
        self.built: dict[int, list[ViewerConnection]] = {}
        self.batons: dict[int, OwnershipToken] = {}
        self.inherited = InheritedSockets()
        self.took = 0
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.connect(path)
        except OSError:
            sock.close()
            raise
        self.channel = Channel(self.loop, sock, self.heard, self.ended)
        self.channel.send({"hello": about(daemon.settings)})

    def heard(self, message: dict[str, Any], fds: list[int]) -> None:
        if "refused" in message:
            self.taker.ended = True
            self.refused(f"refused by the front that serves, for: {', '.join(message['refused'])}")
            return
        if "last" in message:
            self.carry_out(self.taker.last())
            return
        n = message["portion"]
        self.batons[n] = OwnershipToken(fds.pop(0))
        try:
            if n == 0:
                self.unpack_front(message, fds)
            else:
                self.built[n] = [
                    connection_state.unpack(self.daemon, packed, fds) for packed in message["viewers"]
                ]
            fine = True
        except Exception as error:
            log.error("cannot take over", portion=n, why=str(error), exc_info=error)
            fine = False
        self.failpoint("front-unpacked" if n == 0 else "unpacked")
        self.carry_out(self.taker.handed(n, fine))

    def unpack_front(self, message: dict[str, Any], fds: list[int]) -> None:
        for name in message["sockets"]:
            setattr(self.inherited, name, socket.socket(fileno=fds.pop(0)))
        if message["lock"]:
            self.inherited.lock = fds.pop(0)
        self.inherited.message = message
        if self.daemon.settings.store and self.daemon.store_service is None:
            self.daemon.open_store(self.daemon.settings.store, self.inherited.lock)

    def ended(self) -> None:
        self.carry_out(self.taker.gone())
        if self.daemon.set_up_requests.limits:
            self.daemon.set_up_requests.limits.machine.finish_handover()
        if self.taker.serving:
            log.info("the old front has ended", viewers=self.took)

    def carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            self.act(effect)

    def act(self, effect: Effect) -> None:
        n = effect.portion
        if effect.do is Do.TRY:
            self.carry_out(self.taker.tried(n, self.batons.pop(n).take()))
        elif effect.do is Do.SERVE:
            self.serve()
        elif effect.do is Do.TOOK:
            self.failpoint("front-owned" if n == 0 else "owned")
            self.channel.send({"tried": n})
            self.failpoint("front-told" if n == 0 else "told")
        elif effect.do is Do.HERE:
            self.channel.send({"here": True})
        elif effect.do is Do.OWN:
            for viewer in self.built.pop(n):
                connection_state.start(self.daemon, viewer)
                self.took += 1
        elif effect.do is Do.DROP:
            for viewer in self.built.pop(n, []):
                connection_state.drop(viewer)
        elif effect.do is Do.END:
            self.refused("the front that serves goes on: this one could not take over")

    def serve(self) -> None:
        if self.inherited.message:
            self.adopt(self.inherited.message)
        self.opened()

    def adopt(self, message: dict[str, Any]) -> None:
        """What the old front knew, before this one is opened."""
        d = self.daemon
        d.start_wall_ms, d.start = message["clock"]
        d.list_client.server_list.front_started_ms = message["born_ms"]
        d.inherited = self.inherited
        if message["list"]:
            update = Update.FromString(base64.b64decode(message["list"]))
            if event := d.list_client.server_list.apply(update):
                d.bridge.enqueue(event)
        if message["memory"]:
            learned = Learned.FromString(base64.b64decode(message["memory"]))
            d.bridge.enqueue(to_memory(learned))


def exit_at_failpoint(name: str, points: Sequence[str] = FAILPOINTS) -> Callable[[str], object]:
    """For tests: a process that is gone at a named point, as if killed there. Raises `ValueError`."""
    if name and name not in points:
        raise ValueError(f"no point {name!r} of a change of guard")

    def failpoint(reached: str) -> None:
        if reached == name:
            os._exit(9)

    return failpoint


def wait_for_handover(loop: Loop, successor: FrontHandoverTarget) -> None:
    """Runs the loop until the successor serves or is not wanted."""
    loop.run(until=lambda: successor.taker.serving or successor.taker.ended)
