"""Fronts that know one another: the members' machine on a UDP socket, and what the module hears of it."""

from __future__ import annotations

import ipaddress
import json
import socket
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import structlog
from google.protobuf.message import DecodeError

from lemonhall import interface as i
from lemonhall.loop import Loop, Timer
from lemonhall.loop.event_loop import READ
from lemonhall.members import DatagramError, KeyRing, MembershipMachine, OutgoingDatagram, SwimConfig
from lemonhall.members.front_count import FrontCount
from lemonhall.members.machine import MembershipView, MemberState
from lemonhall.members.members_pb2 import ASK_CLAIM, CLAIM, HALLS, LIMITS, RECOVERY, Message
from lemonhall.problem import BadInput, Problem

log = structlog.get_logger("lemonhall.front")
READS_A_TURN = 64
READ_MOST = 1400  # bytes: words about halls may be longer than a member's


def packed(at: tuple[str, int]) -> tuple[int, int]:
    return int(ipaddress.IPv4Address(at[0])), at[1]


def read_keys(path: Path) -> dict[int, bytes]:
    """A line a key: its number and 32 hexadecimal digits; the first line seals. Raises `BadInput`."""
    try:
        lines = path.read_text(encoding="ascii").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise BadInput(str(path), f"keys cannot be read: {error}") from error
    keys: dict[int, bytes] = {}
    for n, line in enumerate(lines, 1):
        words = line.split("#")[0].split()
        if not words:
            continue
        try:
            number, key = int(words[0]), bytes.fromhex(words[1])
            if len(words) != 2 or len(key) != 16 or not 0 <= number <= 255 or number in keys:
                raise ValueError
        except (ValueError, IndexError):
            fix = "as in: 1 00112233445566778899aabbccddeeff"
            raise BadInput([Problem(str(path), n, 1, "no key: number and 32 digits", fix)]) from None
        keys[number] = key
    if not keys:
        raise BadInput(str(path), "holds no key")
    return keys


class Membership:
    """`tell` takes the module's events. `now_ms` does not go back."""

    def __init__(
        self,
        loop: Loop,
        number: int,
        fronts: int,
        listen: tuple[str, int],
        seeds: tuple[tuple[str, int], ...],
        keys: dict[int, bytes],
        on_event: Callable[[i.Event], None],
        random: Random,
        config: SwimConfig | None = None,
        sock: socket.socket | None = None,
        told: tuple[int, int] | None = None,
        via: tuple[tuple[tuple[str, int], tuple[str, int]], ...] = (),
    ) -> None:
        """Raises `OSError` if the address is taken. `sock`, `told`: of a front that this one relieves.

        `via`: fronts that are reached, and heard, at another address than their own, which all know them by.
        """
        self.through = dict(via)
        self.known_as: dict[Any, tuple[str, int]] = {through: at for at, through in via}
        self.loop, self.on_event, self.number = loop, on_event, number
        self.sock = sock or socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        if sock is None:
            self.sock.bind(listen)
        self.sock.setblocking(False)
        self.local_address: tuple[str, int] = self.sock.getsockname()
        boot = random.getrandbits(32)
        self.keys = KeyRing(keys, boot)
        addresses = [packed(s) for s in seeds]
        own = packed(self.local_address)
        self.machine = MembershipMachine(
            number, own, boot, addresses, config or SwimConfig(), Random(random.random())
        )
        self.share = FrontCount(number, fronts, self.now_ms())
        if told:
            self.share.reported = told
            on_event(i.FleetChanged(*told))
        self.bad = 0
        self.version = 0
        self.timer: Timer | None = None
        self.on_claim_message: Callable[[Any], object] = lambda message: None
        self.on_zones_message: Callable[[Any], object] = lambda message: None
        self.on_limits_message: Callable[[Any], object] = lambda message: None
        self.on_recovery_message: Callable[[Any], object] = lambda message: None
        self.on_share_changed: Callable[[int], object] = lambda fronts: None  # that shares go by
        self.blocked_ports: set[int] = set()  # for tests: ports that nothing is heard from
        self.on_view_changed: Callable[[MembershipView], object] = lambda view: None
        loop.watch_socket(self.sock, READ, self.on_ready)
        self.send(self.machine.start(self.now_ms()))
        self.arm()

    def now_ms(self) -> float:
        return self.loop.now() * 1000

    def on_ready(self, _: int) -> None:
        for _turn in range(READS_A_TURN):
            try:
                data, sender = self.sock.recvfrom(READ_MOST)
            except BlockingIOError:
                break
            except OSError:  # an ICMP error of an earlier send: whoever it was to is down
                continue
            if sender[1] in self.blocked_ports:
                continue
            if sender in self.known_as:
                sender = self.known_as[sender]
            try:
                message = self.keys.open(data)
            except DatagramError as error:
                self.bad += 1
                if self.bad & (self.bad - 1) == 0:  # once, twice, four times, ...
                    log.warning(
                        "member's datagram refused", sender=str(sender), why=str(error), times=self.bad
                    )
                continue
            if not self.dispatch(message):
                self.send(self.machine.receive(self.now_ms(), packed(sender), message))
        self.arm()

    def dispatch(self, data: bytes) -> bool:
        """Words about other things travel under the same seal: they are not for the machine of members."""
        try:
            message = Message.FromString(data)
        except DecodeError:
            return False
        about = {
            ASK_CLAIM: self.on_claim_message,
            CLAIM: self.on_claim_message,
            HALLS: self.on_zones_message,
            RECOVERY: self.on_recovery_message,
            LIMITS: self.on_limits_message,
        }
        if message.kind not in about or message.sender == self.number:
            return False
        about[message.kind](message)
        return True

    def greet_seeds(self) -> None:
        """Asks the seeds who is there, out of turn."""
        self.send(self.machine.request_join(self.now_ms()))

    def send_to_front(self, number: int, message: Any) -> bool:
        """Sends to a front by its number. False if it is not known to be there."""
        member = self.machine.members.get(number)
        if member is None or member.state is MemberState.DEAD:
            return False  # one that has left may still drain, and speak for its claims
        self.send([OutgoingDatagram(member.address, message.SerializeToString())])
        return True

    def on_due(self) -> None:
        self.send(self.machine.tick(self.now_ms()))
        self.arm()

    def arm(self) -> None:
        """One timer, for whatever the machine has to do next; then a look at what the module should know."""
        if self.timer:
            self.timer.cancel()
        wait = min(1000.0, max(1.0, self.machine.next_tick_at() - self.now_ms()))
        self.timer = self.loop.call_later(wait / 1000, self.on_due)
        view = self.machine.view()
        if view.version != self.version:
            self.version = view.version
            log.info(
                "members", there=len(view.members), cut_off=view.isolated, twin=self.machine.duplicate_number
            )
            self.on_view_changed(view)
        if told := self.share.update(view, self.now_ms()):
            self.on_event(i.FleetChanged(*told))
            self.on_share_changed(told[0])

    def send(self, out: list[OutgoingDatagram]) -> None:
        for each in out:
            at = str(ipaddress.IPv4Address(each.to[0])), each.to[1]
            try:
                self.sock.sendto(self.keys.seal(each.data), self.through.get(at, at))
            except OSError:  # nobody there, or no way: the machine finds out by silence
                continue

    def pause(self) -> None:
        """Says and hears nothing, while it is not clear who is this front."""
        if self.timer:
            self.timer.cancel()
        self.loop.watch_socket(self.sock, 0, self.on_ready)

    def resume(self) -> None:
        self.loop.watch_socket(self.sock, READ, self.on_ready)
        self.arm()

    def announce_leave(self) -> None:
        """Tells the others that this front goes on purpose. It speaks for its claims until it is closed."""
        if not self.machine.leaving:
            self.send(self.machine.leave(self.now_ms()))

    def leave(self) -> None:
        self.announce_leave()
        self.close()

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()
        if self.sock.fileno() >= 0:
            self.loop.watch_socket(self.sock, 0, self.on_ready)
            self.sock.close()

    def page(self) -> tuple[int, str, bytes]:
        view = self.machine.view()
        shown = {
            "number": self.number,
            "members": view.members,
            "cut_off": view.isolated,
            "twin": self.machine.duplicate_number,
            "told": {"fronts": self.share.reported[0], "rank": self.share.reported[1]},
            "incarnation": self.machine.incarnation,
            "health": self.machine.health_score,
            "states": {m.number: m.state.name.lower() for m in self.machine.members.values()},
            "counts": self.machine.counts,
            "refused": self.bad,
        }
        return 200, "application/json", json.dumps(shown).encode() + b"\n"
