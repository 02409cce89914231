"""Runs the state machine of the membership protocol on a UDP socket, and reports the number of fronts to the
decision module."""

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

from lemonhall import interface
from lemonhall.loop import Loop, Timer
from lemonhall.loop.event_loop import READ
from lemonhall.members import DatagramError, KeyRing, MembershipMachine, OutgoingDatagram, SwimConfig
from lemonhall.members.front_count import FrontCount
from lemonhall.members.machine import MembershipView, MemberState
from lemonhall.members.members_pb2 import ASK_CLAIM, CLAIM, HALLS, LIMITS, RECOVERY, Message
from lemonhall.problem import BadInput, Problem

log = structlog.get_logger("lemonhall.front")
DATAGRAMS_PER_PASS = 64
DATAGRAM_MAX_BYTES = 1400  # messages about zones may be longer than those of the membership protocol


def pack_address(address: tuple[str, int]) -> tuple[int, int]:
    return int(ipaddress.IPv4Address(address[0])), address[1]


def read_keys(path: Path) -> dict[int, bytes]:
    """Reads the keys of datagrams: one per line, as a number and 32 hexadecimal digits.

    The key of the first line encrypts. Raises `BadInput` if the file cannot be read or holds an invalid line.
    """
    try:
        lines = path.read_text(encoding="ascii").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise BadInput(str(path), f"keys cannot be read: {error}") from error
    keys: dict[int, bytes] = {}
    for line_number, line in enumerate(lines, 1):
        words = line.split("#")[0].split()
        if not words:
            continue
        try:
            number, key = int(words[0]), bytes.fromhex(words[1])
            if len(words) != 2 or len(key) != 16 or not 0 <= number <= 255 or number in keys:
                raise ValueError
        except (ValueError, IndexError):
            fix = "as in: 1 00112233445566778899aabbccddeeff"
            raise BadInput(
                [Problem(str(path), line_number, 1, "no key: number and 32 digits", fix)]
            ) from None
        keys[number] = key
    if not keys:
        raise BadInput(str(path), "holds no key")
    return keys


class Membership:
    """Sends and receives the datagrams of the membership protocol, and all messages between fronts.

    `on_event` receives events for the module. `now_ms` is monotonic.
    """

    def __init__(
        self,
        loop: Loop,
        number: int,
        fronts: int,
        listen: tuple[str, int],
        seeds: tuple[tuple[str, int], ...],
        keys: dict[int, bytes],
        on_event: Callable[[interface.Event], None],
        random: Random,
        config: SwimConfig | None = None,
        sock: socket.socket | None = None,
        announced: tuple[int, int] | None = None,
        via: tuple[tuple[tuple[str, int], tuple[str, int]], ...] = (),
    ) -> None:
        """Raises `OSError` if the address cannot be bound.

        `sock` and `announced` (number of fronts and own rank) come from the predecessor in a handover. `via`
        maps the addresses by which all members know a front to the address at which this one reaches it.
        """
        self.via_addresses = dict(via)
        self.member_addresses: dict[Any, tuple[str, int]] = {
            via_address: address for address, via_address in via
        }
        self.loop, self.on_event, self.number = loop, on_event, number
        self.sock = sock or socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        if sock is None:
            self.sock.bind(listen)
        self.sock.setblocking(False)
        self.local_address: tuple[str, int] = self.sock.getsockname()
        boot_id = random.getrandbits(32)
        self.keys = KeyRing(keys, boot_id)
        seed_addresses = [pack_address(seed) for seed in seeds]
        own_address = pack_address(self.local_address)
        self.machine = MembershipMachine(
            number, own_address, boot_id, seed_addresses, config or SwimConfig(), Random(random.random())
        )
        self.front_count = FrontCount(number, fronts, self.now_ms())
        if announced:
            self.front_count.reported = announced
            on_event(interface.FleetChanged(*announced))
        self.rejected_datagrams = 0
        self.view_version = 0
        self.timer: Timer | None = None
        self.on_claim_message: Callable[[Any], object] = lambda message: None
        self.on_zones_message: Callable[[Any], object] = lambda message: None
        self.on_limits_message: Callable[[Any], object] = lambda message: None
        self.on_recovery_message: Callable[[Any], object] = lambda message: None
        # called with the number of fronts by which shares are computed
        self.on_share_changed: Callable[[int], object] = lambda fronts: None
        self.blocked_ports: set[int] = set()  # for tests: datagrams from these ports are dropped
        self.on_view_changed: Callable[[MembershipView], object] = lambda view: None
        loop.watch_socket(self.sock, READ, self.on_ready)
        self.send(self.machine.start(self.now_ms()))
        self.set_timer()

    def now_ms(self) -> float:
        return self.loop.now() * 1000

    def on_ready(self, _: int) -> None:
        for _turn in range(DATAGRAMS_PER_PASS):
            try:
                data, sender = self.sock.recvfrom(DATAGRAM_MAX_BYTES)
            except BlockingIOError:
                break
            except OSError:  # ICMP error for an earlier send: that member is down
                continue
            if sender[1] in self.blocked_ports:
                continue
            if sender in self.member_addresses:
                sender = self.member_addresses[sender]
            try:
                message = self.keys.open(data)
            except DatagramError as error:
                self.rejected_datagrams += 1
                # logs the 1st, 2nd, 4th, 8th, ... rejection
                if self.rejected_datagrams & (self.rejected_datagrams - 1) == 0:
                    log.warning(
                        "rejected an invalid datagram on the members' port",
                        sender=str(sender),
                        reason=str(error),
                        rejected=self.rejected_datagrams,
                    )
                continue
            if not self.dispatch(message):
                self.send(self.machine.receive(self.now_ms(), pack_address(sender), message))
        self.set_timer()

    def dispatch(self, data: bytes) -> bool:
        """Delivers a message of another protocol that uses the members' encryption to its handler.

        Returns False if the message belongs to the membership protocol.
        """
        try:
            message = Message.FromString(data)
        except DecodeError:
            return False
        handlers = {
            ASK_CLAIM: self.on_claim_message,
            CLAIM: self.on_claim_message,
            HALLS: self.on_zones_message,
            RECOVERY: self.on_recovery_message,
            LIMITS: self.on_limits_message,
        }
        if message.kind not in handlers or message.sender == self.number:
            return False
        handlers[message.kind](message)
        return True

    def greet_seeds(self) -> None:
        """Sends join requests to the seeds now, outside the protocol's period."""
        self.send(self.machine.request_join(self.now_ms()))

    def send_to_front(self, number: int, message: Any) -> bool:
        """Sends a message to a front by its number. Returns False if the front is unknown or dead."""
        member = self.machine.members.get(number)
        if member is None or member.state is MemberState.DEAD:
            return False  # a member that has left may be draining, and still answers for its claims
        self.send([OutgoingDatagram(member.address, message.SerializeToString())])
        return True

    def on_timer(self) -> None:
        self.send(self.machine.tick(self.now_ms()))
        self.set_timer()

    def set_timer(self) -> None:
        """Sets the timer for the machine's next action, and reports a changed view or number of fronts."""
        if self.timer:
            self.timer.cancel()
        wait_ms = min(1000.0, max(1.0, self.machine.next_tick_at() - self.now_ms()))
        self.timer = self.loop.call_later(wait_ms / 1000, self.on_timer)
        view = self.machine.view()
        if view.version != self.view_version:
            self.view_version = view.version
            log.info(
                "members", there=len(view.members), cut_off=view.isolated, twin=self.machine.duplicate_number
            )
            self.on_view_changed(view)
        if announced := self.front_count.update(view, self.now_ms()):
            self.on_event(interface.FleetChanged(*announced))
            self.on_share_changed(announced[0])

    def send(self, datagrams: list[OutgoingDatagram]) -> None:
        for datagram in datagrams:
            address = str(ipaddress.IPv4Address(datagram.to[0])), datagram.to[1]
            try:
                self.sock.sendto(self.keys.seal(datagram.data), self.via_addresses.get(address, address))
            except OSError:  # unreachable: the machine detects it by the missing answer
                continue

    def pause(self) -> None:
        """Stops sending and receiving while two processes may both be this front."""
        if self.timer:
            self.timer.cancel()
        self.loop.watch_socket(self.sock, 0, self.on_ready)

    def resume(self) -> None:
        self.loop.watch_socket(self.sock, READ, self.on_ready)
        self.set_timer()

    def announce_leave(self) -> None:
        """Announces that this front leaves on purpose. It answers for its claims until it is closed."""
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
        """The status page `/members`."""
        view = self.machine.view()
        status = {
            "number": self.number,
            "members": view.members,
            "cut_off": view.isolated,
            "twin": self.machine.duplicate_number,
            "told": {"fronts": self.front_count.reported[0], "rank": self.front_count.reported[1]},
            "incarnation": self.machine.incarnation,
            "health": self.machine.health_score,
            "states": {member.number: member.state.name.lower() for member in self.machine.members.values()},
            "counts": self.machine.counts,
            "refused": self.rejected_datagrams,
        }
        return 200, "application/json", json.dumps(status).encode() + b"\n"
