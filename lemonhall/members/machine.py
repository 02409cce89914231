"""Who is there: messages and time in, messages and a view out. No I/O, no clock; chance is passed in.

SWIM (Das, Gupta, Motivala 2002): each period one member is pinged, in a shuffled round; without an answer
some others are asked to ping it; without theirs it is suspected, and dead unless it refutes in time; news
rides on the messages. Lifeguard (Dadgar, Phillips, Currey 2018): a member that does not hear answers doubts
itself first and gives others more time; suspicions are shortened by each member that confirms them; who is
suspected is told so by the ping itself.
"""

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

DATAGRAM_MOST = 256  # bytes, sealed
SPREAD_FACTOR = 3.0  # news is sent so many times log(members)
HEALTH_MOST = 8  # of Lifeguard's multiplier
TWIN_PERIODS = 5.0  # our number from another process for so long: not late words of our earlier life
SILENT_PERIODS = 4.0  # without any word: in a fleet, each hears one or two a period
CONFIRMS = 3  # members that shorten a suspicion to its least

Address = tuple[int, int]  # IPv4 as a number, port


class MemberState(IntEnum):
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


@dataclass(frozen=True)
class SwimConfig:
    """Times in ms. `suspect_least`: periods times log(members); `most`: that times a factor."""

    period_ms: float = 1000.0
    ack_timeout_ms: float = 300.0  # a direct answer is waited for so long; then others are asked
    indirect_probes: int = 3
    suspect_periods: float = 4.0
    suspect_factor: float = 6.0
    forget_ms: float = 300_000.0  # the dead are named so long, so that none of them is news again


@dataclass(frozen=True)
class OutgoingDatagram:
    to: Address
    data: bytes


@dataclass
class Member:
    """What is known of one. `since`: of the state, by our clock."""

    number: int
    address: Address
    incarnation: int
    boot: int
    state: MemberState
    since: float
    confirmed: set[int] = field(default_factory=set)


@dataclass(frozen=True)
class MembershipView:
    """Fronts that are taken to be there, this one among them; `cut_off`: most fell silent at once."""

    members: tuple[int, ...]
    cut_off: bool
    version: int


@dataclass
class News:
    update: Update
    left: int


@dataclass
class Probe:
    """The ping that is under way."""

    target: int
    sequence: int
    asked_at: float
    direct_until: float
    until: float
    answered: bool = False
    helpers: int = 0
    nacks: int = 0


class MembershipMachine:
    """One front's part. `random` is its own; `boot` is drawn at its start."""

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
        self.news: dict[int, News] = {}
        self.round: list[int] = []
        self.probe: Probe | None = None
        self.relayed: dict[int, tuple[int, Address, int, float]] = {}  # our ping: for whom, their sequence
        self.sequence = 0
        self.health = 0  # Lifeguard's: 0 is well
        self.next_period = 0.0
        self.now = 0.0
        self.version = 1
        self.leaving = self.duplicate_number = False
        self.twins: dict[int, float] = {}  # boots that speak under our number: since when
        self.heard_at = 0.0  # of anybody
        self.out: list[OutgoingDatagram] = []
        self.fell_silent: list[float] = []
        self.counts: dict[str, int] = {}

    # in

    def start(self, now: float) -> list[OutgoingDatagram]:
        """Joins by the seeds; asks again each period while nobody is known."""
        self.now = now
        self.next_period = now + self.config.period_ms * self.random.random()
        self.out = []
        self.join()
        return self.out

    def request_join(self, now: float) -> list[OutgoingDatagram]:
        """Asks the seeds again, for whoever cannot wait for the next period."""
        self.now, self.out = max(now, self.now), []
        if not self.leaving:
            self.join()
        return self.out

    def receive(self, now: float, sender: Address, data: bytes) -> list[OutgoingDatagram]:
        """One opened message. What cannot be read is counted and passed over."""
        self.now, self.out = max(now, self.now), []
        try:
            message = Message.FromString(data)
        except DecodeError:
            self.count("unreadable")
            return []
        if message.sender == self.number and message.boot != self.boot:
            self.on_namesake(message)
            return self.out
        if message.sender == self.number or self.leaving:
            return []
        self.heard_at = self.now
        self.hear(
            message.sender, MemberState.ALIVE, message.incarnation, sender, message.boot, message.sender
        )
        for update in message.updates:
            self.on_update(update, message.sender)
        if act := ACTS.get(message.kind):
            act(self, message, sender)
        return self.out

    def tick(self, now: float) -> list[OutgoingDatagram]:
        """To be called at `next_tick_at` or later."""
        woke_late = now - self.next_tick_at() > 2 * self.config.period_ms and self.now > 0
        self.now, self.out = max(now, self.now), []
        if self.leaving:
            return []
        if woke_late:  # paused: what we think of the others is old; ask before judging
            self.wake()
        self.watch_probe()
        self.watch_relays()
        self.watch_suspects()
        if self.now >= self.next_period:
            self.next_period = self.now + self.config.period_ms * (1 + self.health)
            self.begin_period()
        return self.out

    def next_tick_at(self) -> float:
        """When `tick` has something to do."""
        times = [self.next_period]
        if self.probe and not self.probe.answered:
            times.append(self.probe.until if self.probe.helpers else self.probe.direct_until)
        times += [until for *_, until in self.relayed.values()]
        times += [self.suspect_until(m) for m in self.members.values() if m.state is MemberState.SUSPECT]
        return min(times)

    def leave(self, now: float) -> list[OutgoingDatagram]:
        """Tells some that it goes on purpose; after that it says nothing more."""
        self.now, self.out = max(now, self.now), []
        self.incarnation += 1
        self.note(self.own(MemberState.LEFT))
        alive = [m for m in self.members.values() if m.state is MemberState.ALIVE]
        self.random.shuffle(alive)
        for member in alive[: 2 * self.config.indirect_probes]:
            self.send(member.address, PING, self.next_sequence(), member.number)
        self.leaving = True
        return self.out

    # out

    def view(self) -> MembershipView:
        """Suspects count as there: only who is dead or has left is gone."""
        there = [
            m.number for m in self.members.values() if m.state in (MemberState.ALIVE, MemberState.SUSPECT)
        ]
        return MembershipView(tuple(sorted([*there, self.number])), self.cut_off(), self.version)

    def cut_off(self) -> bool:
        """Nobody speaks, or most that we knew fell silent in a little time: more likely it is us."""
        known = sum(1 for m in self.members.values() if m.state in (MemberState.ALIVE, MemberState.SUSPECT))
        if known >= 2 and self.now - self.heard_at > SILENT_PERIODS * self.config.period_ms:
            return True
        span = max(30_000.0, 2 * self.suspicion_ms(1.0) + 4 * self.config.period_ms)
        lately = sum(1 for at in self.fell_silent if at > self.now - span)
        return lately > known and lately >= 2

    # messages

    def own(self, state: MemberState = MemberState.ALIVE) -> Update:
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
        """A message with as much news as fits, the least sent first."""
        message = Message(
            kind=kind,
            sequence=sequence,
            sender=self.number,
            incarnation=self.incarnation,
            boot=self.boot,
            target=target,
        )
        room = DATAGRAM_MOST - OVERHEAD - message.ByteSize()
        riding = [News(u, 1 << 30) for u in first]
        riding += sorted(self.news.values(), key=lambda n: -n.left)
        told: set[int] = set()
        for news in riding:
            size = news.update.ByteSize() + 2
            if news.update.member in told or size > room:
                continue
            message.updates.append(news.update)
            told.add(news.update.member)
            room -= size
            news.left -= 1
            if news.left <= 0:
                self.news.pop(news.update.member, None)
        self.out.append(OutgoingDatagram(to, message.SerializeToString()))

    def note(self, update: Update) -> None:
        """News, to be sent some times to whoever is spoken to."""
        times = int(SPREAD_FACTOR * log(len(self.members) + 2) + 1)
        self.news[update.member] = News(update, times)

    def join(self) -> None:
        for seed in self.seeds:
            self.send(seed, JOIN, self.next_sequence(), first=[self.own()])

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # what is heard of members

    def on_update(self, update: Update, source: int) -> None:
        if update.member == self.number:
            self.on_own(update)
        elif update.state in (1, 2, 3, 4):
            address = (update.host, update.port)
            self.hear(
                update.member, MemberState(update.state), update.incarnation, address, update.boot, source
            )

    def on_own(self, update: Update) -> None:
        """We are said to be suspect or dead: not so (a higher incarnation), and we were slow to answer."""
        if update.boot != self.boot and update.incarnation >= self.incarnation:  # of our earlier life
            self.incarnation = update.incarnation + 1
            self.note(self.own())
        elif update.state != MemberState.ALIVE and update.incarnation >= self.incarnation:
            self.incarnation = update.incarnation + 1
            self.health = min(HEALTH_MOST, self.health + 1)
            self.count("refuted")
            self.note(self.own())

    def on_namesake(self, message: Message) -> None:
        """Two fronts with one number: a matter for people; it is said, and nothing is decided by it."""
        self.count("twin")
        since = self.twins.setdefault(message.boot, self.now)
        if not self.duplicate_number and self.now - since > TWIN_PERIODS * self.config.period_ms:
            self.duplicate_number = True
            self.version += 1

    def hear(
        self, number: int, state: MemberState, incarnation: int, address: Address, boot: int, source: int
    ) -> None:
        """SWIM's order: a higher incarnation wins; within one, dead over suspect over alive. A new boot of a
        member that is gone is a return."""
        known = self.members.get(number)
        if known is None:
            if state in (MemberState.ALIVE, MemberState.SUSPECT):
                self.members[number] = Member(number, address, incarnation, boot, state, self.now, {source})
                self.version += 1
                self.note(self.as_update(self.members[number]))
            return
        if incarnation < known.incarnation:
            if source == number and known.state in (MemberState.SUSPECT, MemberState.DEAD):
                self.tell_back(known, address)
            return
        if incarnation == known.incarnation:
            if state is MemberState.SUSPECT and known.state is MemberState.SUSPECT:
                self.confirm(known, source)
                return
            if state <= known.state:
                if source == number and known.state is not MemberState.ALIVE and state is MemberState.ALIVE:
                    self.tell_back(known, address)
                return
        gone_before = known.state in (MemberState.DEAD, MemberState.LEFT)
        was = known.state
        known.incarnation, known.boot = incarnation, boot
        known.state, known.since = state, self.now
        known.confirmed = {source}
        if state is MemberState.ALIVE:
            known.address = address
        gone = state in (MemberState.DEAD, MemberState.LEFT)
        if gone != gone_before:
            self.version += 1
        if state is MemberState.DEAD and was is not MemberState.DEAD:
            self.fell_silent.append(self.now)
            del self.fell_silent[:-1000]
        self.note(self.as_update(known))

    def tell_back(self, known: Member, address: Address) -> None:
        """Whoever is thought of as suspect or gone is told so when it speaks: it will refute."""
        self.send(address, PING, self.next_sequence(), known.number, [self.as_update(known)])

    def confirm(self, member: Member, source: int) -> None:
        if source not in member.confirmed and len(member.confirmed) <= CONFIRMS:
            member.confirmed.add(source)
            self.note(self.as_update(member))

    # periods

    def begin_period(self) -> None:
        self.forget()
        alive = [m for m in self.members.values() if m.state in (MemberState.ALIVE, MemberState.SUSPECT)]
        if not alive:
            self.join()
            return
        if self.random.random() < 1 / (len(alive) + 1):  # now and then: heals a split that nobody remembers
            self.join()
        while True:
            if not self.round:
                self.round = [m.number for m in alive]
                self.random.shuffle(self.round)
            target = self.members.get(self.round.pop())
            if target and target.state in (MemberState.ALIVE, MemberState.SUSPECT):
                break
        c = self.config
        scale = 1 + self.health
        sequence = self.next_sequence()
        self.probe = Probe(
            target.number,
            sequence,
            self.now,
            self.now + c.ack_timeout_ms * scale,
            self.now + c.period_ms * scale * 0.95,
        )
        first = [self.as_update(target)] if target.state is MemberState.SUSPECT else []
        self.send(target.address, PING, sequence, target.number, first)

    def watch_probe(self) -> None:
        probe = self.probe
        if probe is None or probe.answered:
            return
        target = self.members.get(probe.target)
        if target is None or target.state in (MemberState.DEAD, MemberState.LEFT):
            self.probe = None
        elif not probe.helpers and self.now >= probe.direct_until:
            others = [
                m for m in self.members.values() if m.state is MemberState.ALIVE and m.number != probe.target
            ]
            self.random.shuffle(others)
            chosen = others[: self.config.indirect_probes]
            probe.helpers = max(1, len(chosen))
            for helper in chosen:
                update = [self.as_update(target)]
                self.send(helper.address, PING_REQ, probe.sequence, probe.target, update)
        elif probe.helpers and self.now >= probe.until:
            self.probe = None
            missing = max(0, probe.helpers - probe.nacks) if probe.helpers > 1 else 0
            self.health = min(HEALTH_MOST, self.health + (1 if missing or probe.helpers == 1 else 0))
            if target.state is MemberState.ALIVE:
                self.count("suspected")
                self.hear(
                    target.number,
                    MemberState.SUSPECT,
                    target.incarnation,
                    target.address,
                    target.boot,
                    self.number,
                )
            elif target.state is MemberState.SUSPECT:
                self.confirm(target, self.number)

    def watch_relays(self) -> None:
        for ours, (theirs, asker, target, until) in list(self.relayed.items()):
            if self.now >= until:
                del self.relayed[ours]
                self.send(asker, NACK, theirs, target)

    def suspicion_ms(self, part: float) -> float:
        """How long a suspicion lasts; `part` from 1 (nobody else confirms) to 0 (enough do)."""
        c = self.config
        least = c.suspect_periods * max(1.0, log(len(self.members) + 1) / log(10)) * c.period_ms
        return least + part * (c.suspect_factor - 1) * least

    def suspect_until(self, member: Member) -> float:
        confirms = min(CONFIRMS, len(member.confirmed) - 1)
        part = 1 - log(confirms + 1) / log(CONFIRMS + 1)
        return member.since + self.suspicion_ms(part) * (1 + self.health)  # who doubts itself waits

    def watch_suspects(self) -> None:
        for member in list(self.members.values()):
            if member.state is MemberState.SUSPECT and self.now >= self.suspect_until(member):
                self.count("declared_dead")
                self.hear(
                    member.number,
                    MemberState.DEAD,
                    member.incarnation,
                    member.address,
                    member.boot,
                    self.number,
                )

    def wake(self) -> None:
        """After a pause: suspicions begin anew, and we are doubtful of ourselves."""
        self.count("woke")
        self.health = HEALTH_MOST
        self.probe = None
        self.relayed.clear()
        for member in self.members.values():
            if member.state is MemberState.SUSPECT:
                member.since = self.now

    def forget(self) -> None:
        for member in list(self.members.values()):
            gone = member.state in (MemberState.DEAD, MemberState.LEFT)
            if gone and self.now - member.since > self.config.forget_ms:
                del self.members[member.number]

    # kinds

    def on_ping(self, message: Message, sender: Address) -> None:
        if message.target not in (self.number, 0):
            return  # meant for whoever had this address before
        self.send(sender, ACK, message.sequence, message.sender)

    def on_ack(self, message: Message, sender: Address) -> None:
        if relay := self.relayed.pop(message.sequence, None):
            theirs, asker, target, _ = relay
            self.send(asker, ACK, theirs, target)
        elif self.probe and message.sequence == self.probe.sequence and not self.probe.answered:
            self.probe.answered = True
            self.health = max(0, self.health - 1)

    def on_ping_req(self, message: Message, sender: Address) -> None:
        target = self.members.get(message.target)
        if target is None:
            self.send(sender, NACK, message.sequence, message.target)
            return
        ours = self.next_sequence()
        until = self.now + 0.8 * self.config.ack_timeout_ms
        self.relayed[ours] = (message.sequence, sender, message.target, until)
        self.send(target.address, PING, ours, target.number, [self.as_update(target)])

    def on_nack(self, message: Message, sender: Address) -> None:
        if self.probe and message.sequence == self.probe.sequence:
            self.probe.nacks += 1

    def on_join(self, message: Message, sender: Address) -> None:
        """As many members as fit in a few datagrams, at random: the rest comes by news and by pings."""
        known = [m for m in self.members.values() if m.state in (MemberState.ALIVE, MemberState.SUSPECT)]
        known = [m for m in known if m.number != message.sender]
        self.random.shuffle(known)
        for n in range(0, max(1, min(len(known), 48)), 6):
            some = [self.as_update(m) for m in known[n : n + 6]]
            self.send(sender, WELCOME, message.sequence, message.sender, [self.own(), *some])


ACTS = {
    int(PING): MembershipMachine.on_ping,
    int(ACK): MembershipMachine.on_ack,
    int(PING_REQ): MembershipMachine.on_ping_req,
    int(NACK): MembershipMachine.on_nack,
    int(JOIN): MembershipMachine.on_join,
}
