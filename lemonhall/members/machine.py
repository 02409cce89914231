"""The membership protocol of one front: messages and time in, messages and a view of the members out. No I/O,
no clock; randomness is passed in.

SWIM (Das, Gupta, Motivala 2002): each period one member is probed, in shuffled order; without an ack some
others are asked to probe it; without theirs it is suspected, and declared dead unless it refutes in time;
updates are piggybacked on messages. Lifeguard (Dadgar, Phillips, Currey 2018): a member that receives no acks
first assumes that it is itself slow and extends its timeouts; suspicions are shortened by each member that
confirms them; a suspected member learns of the suspicion from the probe itself."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from math import log
from random import Random

from google.protobuf.message import DecodeError

from lemonhall.members.encryption import OVERHEAD
from lemonhall.members.members_pb2 import (
    ACK,
    JOIN,
    NACK,
    PING,
    PING_REQ,
    WELCOME,
    Message,
    Update,
)

MAX_DATAGRAM_BYTES = 256  # encrypted
GOSSIP_FACTOR = 3.0  # an update is sent this often, times log(members)
MAX_HEALTH_SCORE = 8  # of Lifeguard's multiplier
DUPLICATE_PERIODS = 5.0  # own number from another process for this long: no late messages of an earlier start
ISOLATION_PERIODS = 4.0  # without any message; in a fleet each front receives one or two per period
MAX_CONFIRMATIONS = 3  # members that shorten a suspicion to its minimum

Address = tuple[int, int]  # IPv4 as a number, port


class MemberState(IntEnum):
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


@dataclass(frozen=True)
class SwimConfig:
    """Times in ms. The minimum of a suspicion is `min_suspicion_periods` times log(members); its maximum is
    that times `max_suspicion_factor`."""

    period_ms: float = 1000.0
    ack_timeout_ms: float = 300.0  # of a direct probe; then others are asked to probe
    indirect_probes: int = 3
    min_suspicion_periods: float = 4.0
    max_suspicion_factor: float = 6.0
    dead_retention_ms: float = 300_000.0  # dead members are kept this long, so that they are not added again


@dataclass(frozen=True)
class OutgoingDatagram:
    """A message to be encrypted and sent."""

    to: Address
    data: bytes


@dataclass
class Member:
    """What is known of a member. `since`: of the state, by our clock."""

    number: int
    address: Address
    incarnation: int
    boot: int
    state: MemberState
    since: float
    confirmed_by: set[int] = field(default_factory=set)


@dataclass(frozen=True)
class MembershipView:
    """Fronts that are taken to be up, including this one; `isolated`: most others became silent at once."""

    members: tuple[int, ...]
    isolated: bool
    version: int


@dataclass
class GossipUpdate:
    update: Update
    sends_left: int


@dataclass
class Probe:
    """The pending probe."""

    target: int
    sequence: int
    sent_at: float
    ack_deadline: float  # of the direct probe
    deadline: float
    acknowledged: bool = False
    indirect_count: int = 0
    nacks: int = 0


class MembershipMachine:
    """The state machine of one front. `boot` is drawn at random at each start."""

    def __init__(
        self,
        number: int,
        address: Address,
        boot: int,
        seeds: Iterable[Address],
        config: SwimConfig,
        random: Random,
    ) -> None:
        self.number, self.address, self.boot, self.config, self.random = number, address, boot, config, random
        self.seeds = [s for s in seeds if s != address]
        self.incarnation = 1
        self.members: dict[int, Member] = {}
        self.gossip: dict[int, GossipUpdate] = {}
        self.probe_order: list[int] = []
        self.probe: Probe | None = None
        # by the sequence number of our ping: the asker's sequence number and address, target, deadline
        self.relayed_probes: dict[int, tuple[int, Address, int, float]] = {}
        self.sequence = 0
        self.health_score = 0  # Lifeguard's; 0 is healthy
        self.next_period_at = 0.0
        self.now = 0.0
        self.version = 1
        self.leaving = self.duplicate_number = False
        self.duplicate_boots: dict[int, float] = {}  # other boots with our number: first received at
        self.received_at = 0.0  # of the last message from any member
        self.outgoing: list[OutgoingDatagram] = []
        self.died_at: list[float] = []
        self.counts: dict[str, int] = {}

    # inputs

    def start(self, now: float) -> list[OutgoingDatagram]:
        """Sends join requests to the seeds; they are repeated each period while no member is known."""
        self.now = now
        self.next_period_at = now + self.config.period_ms * self.random.random()
        self.outgoing = []
        self.send_join()
        return self.outgoing

    def request_join(self, now: float) -> list[OutgoingDatagram]:
        """Sends join requests again, for a caller that cannot wait for the next period."""
        self.now, self.outgoing = max(now, self.now), []
        if not self.leaving:
            self.send_join()
        return self.outgoing

    def receive(self, now: float, sender: Address, data: bytes) -> list[OutgoingDatagram]:
        """Handles a decrypted message. An unreadable one is counted and dropped."""
        self.now, self.outgoing = max(now, self.now), []
        try:
            message = Message.FromString(data)
        except DecodeError:
            self.count("unreadable")
            return []
        if message.sender == self.number and message.boot != self.boot:
            self.on_duplicate(message)
            return self.outgoing
        if message.sender == self.number or self.leaving:
            return []
        self.received_at = self.now
        self.apply_update(
            message.sender, MemberState.ALIVE, message.incarnation, sender, message.boot, message.sender
        )
        for update in message.updates:
            self.on_update(update, message.sender)
        if handler := HANDLERS.get(message.kind):
            handler(self, message, sender)
        return self.outgoing

    def tick(self, now: float) -> list[OutgoingDatagram]:
        """To be called at `next_tick_at` or later."""
        was_suspended = now - self.next_tick_at() > 2 * self.config.period_ms and self.now > 0
        self.now, self.outgoing = max(now, self.now), []
        if self.leaving:
            return []
        if was_suspended:  # the states of the others are outdated; they are probed before a decision
            self.on_resume()
        self.check_probe()
        self.check_relays()
        self.check_suspects()
        if self.now >= self.next_period_at:
            self.next_period_at = self.now + self.config.period_ms * (1 + self.health_score)
            self.start_period()
        return self.outgoing

    def next_tick_at(self) -> float:
        times = [self.next_period_at]
        if self.probe and not self.probe.acknowledged:
            times.append(self.probe.deadline if self.probe.indirect_count else self.probe.ack_deadline)
        times += [deadline for *_, deadline in self.relayed_probes.values()]
        times += [self.suspicion_ends_at(m) for m in self.members.values() if m.state is MemberState.SUSPECT]
        return min(times)

    def leave(self, now: float) -> list[OutgoingDatagram]:
        """Announces to some members that this front leaves; afterwards it sends nothing more."""
        self.now, self.outgoing = max(now, self.now), []
        self.incarnation += 1
        self.queue_update(self.own_update(MemberState.LEFT))
        alive = [m for m in self.members.values() if m.state is MemberState.ALIVE]
        self.random.shuffle(alive)
        for member in alive[: 2 * self.config.indirect_probes]:
            self.send(member.address, PING, self.next_sequence(), member.number)
        self.leaving = True
        return self.outgoing

    # view

    def view(self) -> MembershipView:
        """Suspected members count as up; only those that are dead or have left do not."""
        up = [m.number for m in self.members.values() if m.state in (MemberState.ALIVE, MemberState.SUSPECT)]
        return MembershipView(tuple(sorted([*up, self.number])), self.is_isolated(), self.version)

    def is_isolated(self) -> bool:
        """Whether no messages arrive or most known members became silent within a short time, so that the
        fault is more likely at this front."""
        known = sum(1 for m in self.members.values() if m.state in (MemberState.ALIVE, MemberState.SUSPECT))
        if known >= 2 and self.now - self.received_at > ISOLATION_PERIODS * self.config.period_ms:
            return True
        span_ms = max(30_000.0, 2 * self.suspicion_ms(1.0) + 4 * self.config.period_ms)
        recent = sum(1 for at in self.died_at if at > self.now - span_ms)
        return recent > known and recent >= 2

    # sending

    def own_update(self, state: MemberState = MemberState.ALIVE) -> Update:
        host, port = self.address
        return Update(
            member=self.number,
            state=int(state),
            incarnation=self.incarnation,
            host=host,
            port=port,
            boot=self.boot,
        )

    def as_update(self, m: Member) -> Update:
        return Update(
            member=m.number,
            state=int(m.state),
            incarnation=m.incarnation,
            host=m.address[0],
            port=m.address[1],
            boot=m.boot,
        )

    def next_sequence(self) -> int:
        self.sequence = self.sequence + 1 & 0xFFFFFFFF
        return self.sequence

    def send(
        self, to: Address, kind: int, sequence: int, target: int = 0, first: Iterable[Update] = ()
    ) -> None:
        """Sends a message with as many updates as fit: `first`, then those sent least often."""
        message = Message(
            kind=kind,
            sequence=sequence,
            sender=self.number,
            incarnation=self.incarnation,
            boot=self.boot,
            target=target,
        )
        free_bytes = MAX_DATAGRAM_BYTES - OVERHEAD - message.ByteSize()
        queued = [GossipUpdate(u, 1 << 30) for u in first]
        queued += sorted(self.gossip.values(), key=lambda g: -g.sends_left)
        included: set[int] = set()
        for gossip in queued:
            size = gossip.update.ByteSize() + 2
            if gossip.update.member in included or size > free_bytes:
                continue
            message.updates.append(gossip.update)
            included.add(gossip.update.member)
            free_bytes -= size
            gossip.sends_left -= 1
            if gossip.sends_left <= 0:
                self.gossip.pop(gossip.update.member, None)
        self.outgoing.append(OutgoingDatagram(to, message.SerializeToString()))

    def queue_update(self, update: Update) -> None:
        """Queues an update to be piggybacked on the next messages, a limited number of times."""
        sends = int(GOSSIP_FACTOR * log(len(self.members) + 2) + 1)
        self.gossip[update.member] = GossipUpdate(update, sends)

    def send_join(self) -> None:
        for seed in self.seeds:
            self.send(seed, JOIN, self.next_sequence(), first=[self.own_update()])

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # updates of members

    def on_update(self, update: Update, source: int) -> None:
        if update.member == self.number:
            self.on_own_update(update)
        elif update.state in (1, 2, 3, 4):
            address = (update.host, update.port)
            self.apply_update(
                update.member, MemberState(update.state), update.incarnation, address, update.boot, source
            )

    def on_own_update(self, update: Update) -> None:
        """Refutes, with a higher incarnation, that this front is suspect or dead; its acks were slow."""
        if update.boot != self.boot and update.incarnation >= self.incarnation:  # of an earlier start
            self.incarnation = update.incarnation + 1
            self.queue_update(self.own_update())
        elif update.state != MemberState.ALIVE and update.incarnation >= self.incarnation:
            self.incarnation = update.incarnation + 1
            self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
            self.count("refuted")
            self.queue_update(self.own_update())

    def on_duplicate(self, message: Message) -> None:
        """Two fronts with one number need an operator: it is reported, and nothing is decided by it."""
        self.count("twin")
        since = self.duplicate_boots.setdefault(message.boot, self.now)
        if not self.duplicate_number and self.now - since > DUPLICATE_PERIODS * self.config.period_ms:
            self.duplicate_number = True
            self.version += 1

    def apply_update(
        self, number: int, state: MemberState, incarnation: int, address: Address, boot: int, source: int
    ) -> None:
        """Takes over an update in SWIM's order: a higher incarnation wins; within one, dead over suspect over
        alive. A new boot of a dead member is a return."""
        known = self.members.get(number)
        if known is None:
            if state in (MemberState.ALIVE, MemberState.SUSPECT):
                self.members[number] = Member(number, address, incarnation, boot, state, self.now, {source})
                self.version += 1
                self.queue_update(self.as_update(self.members[number]))
            return
        if incarnation < known.incarnation:
            if source == number and known.state in (MemberState.SUSPECT, MemberState.DEAD):
                self.send_known_state(known, address)
            return
        if incarnation == known.incarnation:
            if state is MemberState.SUSPECT and known.state is MemberState.SUSPECT:
                self.add_confirmation(known, source)
                return
            if state <= known.state:
                if source == number and known.state is not MemberState.ALIVE and state is MemberState.ALIVE:
                    self.send_known_state(known, address)
                return
        gone_before = known.state in (MemberState.DEAD, MemberState.LEFT)
        state_before = known.state
        known.incarnation, known.boot = incarnation, boot
        known.state, known.since = state, self.now
        known.confirmed_by = {source}
        if state is MemberState.ALIVE:
            known.address = address
        gone = state in (MemberState.DEAD, MemberState.LEFT)
        if gone != gone_before:
            self.version += 1
        if state is MemberState.DEAD and state_before is not MemberState.DEAD:
            self.died_at.append(self.now)
            del self.died_at[:-1000]
        self.queue_update(self.as_update(known))

    def send_known_state(self, known: Member, address: Address) -> None:
        """Sends a member that is taken for suspect or dead its own state, so that it refutes it."""
        self.send(address, PING, self.next_sequence(), known.number, [self.as_update(known)])

    def add_confirmation(self, member: Member, source: int) -> None:
        if source not in member.confirmed_by and len(member.confirmed_by) <= MAX_CONFIRMATIONS:
            member.confirmed_by.add(source)
            self.queue_update(self.as_update(member))

    # periods

    def start_period(self) -> None:
        self.drop_dead()
        up = [m for m in self.members.values() if m.state in (MemberState.ALIVE, MemberState.SUSPECT)]
        if not up:
            self.send_join()
            return
        if self.random.random() < 1 / (
            len(up) + 1
        ):  # occasionally: heals a partition that all have forgotten
            self.send_join()
        while True:
            if not self.probe_order:
                self.probe_order = [m.number for m in up]
                self.random.shuffle(self.probe_order)
            target = self.members.get(self.probe_order.pop())
            if target and target.state in (MemberState.ALIVE, MemberState.SUSPECT):
                break
        config = self.config
        scale = 1 + self.health_score
        sequence = self.next_sequence()
        self.probe = Probe(
            target.number,
            sequence,
            self.now,
            self.now + config.ack_timeout_ms * scale,
            self.now + config.period_ms * scale * 0.95,
        )
        first = [self.as_update(target)] if target.state is MemberState.SUSPECT else []
        self.send(target.address, PING, sequence, target.number, first)

    def check_probe(self) -> None:
        probe = self.probe
        if probe is None or probe.acknowledged:
            return
        target = self.members.get(probe.target)
        if target is None or target.state in (MemberState.DEAD, MemberState.LEFT):
            self.probe = None
        elif not probe.indirect_count and self.now >= probe.ack_deadline:
            others = [
                m for m in self.members.values() if m.state is MemberState.ALIVE and m.number != probe.target
            ]
            self.random.shuffle(others)
            chosen = others[: self.config.indirect_probes]
            probe.indirect_count = max(1, len(chosen))
            for member in chosen:
                update = [self.as_update(target)]
                self.send(member.address, PING_REQ, probe.sequence, probe.target, update)
        elif probe.indirect_count and self.now >= probe.deadline:
            self.probe = None
            missing = max(0, probe.indirect_count - probe.nacks) if probe.indirect_count > 1 else 0
            self.health_score = min(
                MAX_HEALTH_SCORE, self.health_score + (1 if missing or probe.indirect_count == 1 else 0)
            )
            if target.state is MemberState.ALIVE:
                self.count("suspected")
                self.apply_update(
                    target.number,
                    MemberState.SUSPECT,
                    target.incarnation,
                    target.address,
                    target.boot,
                    self.number,
                )
            elif target.state is MemberState.SUSPECT:
                self.add_confirmation(target, self.number)

    def check_relays(self) -> None:
        for own_sequence, (sequence, asker, target, deadline) in list(self.relayed_probes.items()):
            if self.now >= deadline:
                del self.relayed_probes[own_sequence]
                self.send(asker, NACK, sequence, target)

    def suspicion_ms(self, fraction: float) -> float:
        """Length of a suspicion; `fraction` from 1 (not confirmed) to 0 (confirmed by enough members)."""
        config = self.config
        min_ms = (
            config.min_suspicion_periods * max(1.0, log(len(self.members) + 1) / log(10)) * config.period_ms
        )
        return min_ms + fraction * (config.max_suspicion_factor - 1) * min_ms

    def suspicion_ends_at(self, member: Member) -> float:
        confirmations = min(MAX_CONFIRMATIONS, len(member.confirmed_by) - 1)
        fraction = 1 - log(confirmations + 1) / log(MAX_CONFIRMATIONS + 1)
        return member.since + self.suspicion_ms(fraction) * (1 + self.health_score)  # longer if unhealthy

    def check_suspects(self) -> None:
        for member in list(self.members.values()):
            if member.state is MemberState.SUSPECT and self.now >= self.suspicion_ends_at(member):
                self.count("declared_dead")
                self.apply_update(
                    member.number,
                    MemberState.DEAD,
                    member.incarnation,
                    member.address,
                    member.boot,
                    self.number,
                )

    def on_resume(self) -> None:
        """After a suspension: suspicions start again, and this front takes itself for unhealthy."""
        self.count("woke")
        self.health_score = MAX_HEALTH_SCORE
        self.probe = None
        self.relayed_probes.clear()
        for member in self.members.values():
            if member.state is MemberState.SUSPECT:
                member.since = self.now

    def drop_dead(self) -> None:
        for member in list(self.members.values()):
            gone = member.state in (MemberState.DEAD, MemberState.LEFT)
            if gone and self.now - member.since > self.config.dead_retention_ms:
                del self.members[member.number]

    # handlers by message kind

    def on_ping(self, message: Message, sender: Address) -> None:
        if message.target not in (self.number, 0):
            return  # for the front that used this address before
        self.send(sender, ACK, message.sequence, message.sender)

    def on_ack(self, message: Message, sender: Address) -> None:
        if relay := self.relayed_probes.pop(message.sequence, None):
            sequence, asker, target, _ = relay
            self.send(asker, ACK, sequence, target)
        elif self.probe and message.sequence == self.probe.sequence and not self.probe.acknowledged:
            self.probe.acknowledged = True
            self.health_score = max(0, self.health_score - 1)

    def on_ping_req(self, message: Message, sender: Address) -> None:
        target = self.members.get(message.target)
        if target is None:
            self.send(sender, NACK, message.sequence, message.target)
            return
        own_sequence = self.next_sequence()
        deadline = self.now + 0.8 * self.config.ack_timeout_ms
        self.relayed_probes[own_sequence] = (message.sequence, sender, message.target, deadline)
        self.send(target.address, PING, own_sequence, target.number, [self.as_update(target)])

    def on_nack(self, message: Message, sender: Address) -> None:
        if self.probe and message.sequence == self.probe.sequence:
            self.probe.nacks += 1

    def on_join(self, message: Message, sender: Address) -> None:
        """Replies with as many random members as fit into a few datagrams; the rest follows by gossip and
        probes."""
        known = [m for m in self.members.values() if m.state in (MemberState.ALIVE, MemberState.SUSPECT)]
        known = [m for m in known if m.number != message.sender]
        self.random.shuffle(known)
        for n in range(0, max(1, min(len(known), 48)), 6):
            updates = [self.as_update(m) for m in known[n : n + 6]]
            self.send(sender, WELCOME, message.sequence, message.sender, [self.own_update(), *updates])


HANDLERS = {
    int(PING): MembershipMachine.on_ping,
    int(ACK): MembershipMachine.on_ack,
    int(PING_REQ): MembershipMachine.on_ping_req,
    int(NACK): MembershipMachine.on_nack,
    int(JOIN): MembershipMachine.on_join,
}
