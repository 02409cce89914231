"""A front that comes back: how far it is, what it may believe, whom it asks, how many set-ups it begins. No
I/O, no clock.

Time, the list, the members' words and view, and what is asked of the front go in; words for others, phases
and what becomes of asks come out. Words carry the life of the process that says them: what an earlier life
of a front said, heard late, is void.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from math import inf, isfinite
from random import Random
from typing import Any

from google.protobuf.message import DecodeError

from lemonhall.recovery import rates
from lemonhall.recovery.admission import AdmissionResult, Gate
from lemonhall.recovery.checkpoints import (
    ASKED_MOST,
    WITNESSES,
    Seen,
    StoreCheckpoint,
    StoreTrust,
    Witnesses,
    successors,
)
from lemonhall.recovery.phases import WOKE_MS, Phase, PhaseEntry, Phases, PhaseTimeouts
from lemonhall.recovery.recovery_pb2 import Kept, Words
from lemonhall.recovery.server_pages import WITHIN_MS, Asking, Giving

SAY_IDLE = 5  # periods after which words are said though the mark is the same
ASK_MS = 50.0  # a question is asked again after, at first; then twice as long each time
ASK_TIMES = 6
LIST_CALL_MS = 20.0  # that calls for the list are apart, of all fronts that come back
LIST_WAIT_MS = 1000.0  # most that a front waits for its call
BACK_MS = 10_000.0  # a front of that age or younger is coming back as well
USUAL_MOST = 1e6
WORDS_MOST = 1200  # bytes; a datagram must not be taken apart on its way


@dataclass(frozen=True)
class OutgoingMessage:
    """Words to another front, by its number."""

    to: int
    data: bytes


@dataclass
class Other:
    """What a front said last of itself."""

    life: int
    began: float  # of that life, by our clock
    at: float
    usual: float


def to_mark(message: Any) -> StoreCheckpoint:
    return StoreCheckpoint(message.made_ms, message.count)


class Recovery:
    """`fronts`: as the settings have it. `quota_per_s`: of all partners together, where nothing is known of
    what is usual; 0: not told. `mark`: gives the store's, None without a store. Times in ms, of one clock."""

    def __init__(
        self,
        now: float,
        number: int,
        fronts: int,
        random: Random,
        waits: PhaseTimeouts,
        pause_most_ms: float,
        mark: Callable[[], StoreCheckpoint | None] = lambda: None,
        quota_per_s: float = 0.0,
        members: bool = True,
    ) -> None:
        self.number, self.fronts, self.random, self.waits = number, fronts, random, waits
        self.mark, self.quota = mark, quota_per_s
        self.life = random.getrandbits(32)
        self.born = self.now = now
        self.phases = Phases(now, waits, fronts - 1 if members else 0)
        self.gate = Gate(random, pause_most_ms)
        self.usual = rates.Usual(now)
        self.peer_checkpoints = Seen()
        self.checkpoint_query: Witnesses | None = None
        self.kept = Kept(usual=-1.0)
        self.others: dict[int, Other] = {}
        self.members: tuple[int, ...] = (number,)
        self.servers = 0
        self.query_attempts: dict[
            int, tuple[float, int]
        ] = {}  # front: when it is asked again, how often it was
        self.said: StoreCheckpoint | None = None
        self.next_words = now
        self.idle = 0
        self.counts: Counter[str] = Counter()
        self.page_server = Giving(lambda: [])
        self.asking: Asking | None = None
        self.received_pages: list[Any] = []  # what others knew, until somebody takes it from here
        self.entered_phases: list[PhaseEntry] = []  # phases, until somebody takes them from here
        self.settle()

    # what is kept

    def restore(self, data: bytes) -> None:
        """What an earlier life wrote down, if it did. What cannot be read is as if it had not."""
        if not data:
            return
        try:
            self.kept = Kept.FromString(data)
        except DecodeError:
            self.counts["unreadable"] += 1
            return
        self.phases.crowd = True
        for one in self.kept.seen:
            self.peer_checkpoints.hear(one.front, to_mark(one.mark))
        self.peer_checkpoints.fresh = False
        self.settle()

    def serialize(self) -> bytes:
        own, mean, before = self.knows()
        made = Kept(usual=own, mean=mean, fronts=before)
        for front, mark in self.peer_checkpoints.checkpoints.items():
            made.seen.add(front=front).mark.MergeFrom(self.as_words_mark(mark))
        self.peer_checkpoints.fresh = False
        return bytes(made.SerializeToString())

    @staticmethod
    def as_words_mark(mark: StoreCheckpoint) -> Any:
        return Words(own={"made_ms": mark.created_ms, "count": mark.commit_count}).own

    def query_checkpoints(self, now: float, within_ms: float) -> None:
        """Others are to be asked whether the store is the last one."""
        if mark := self.mark():
            self.checkpoint_query = Witnesses(mark, now + within_ms)

    def query_server_pages(self, now: float) -> None:
        """Others are to be asked what they know of servers."""
        self.asking = Asking(now + WITHIN_MS)

    @property
    def store_trust(self) -> StoreTrust:
        return self.checkpoint_query.trust if self.checkpoint_query else StoreTrust.SOUND

    # what is usual

    def knows(self) -> tuple[float, float, int]:
        """Set-ups a second that are usual here and at a front, and how many fronts that is of; -1: not
        known."""
        own = self.usual.per_s()
        if own is None:
            own = self.kept.usual if isfinite(self.kept.usual) else -1.0
        known = [o.usual for o in self.others.values() if o.usual >= 0]
        if own >= 0:
            known.append(own)
        mean = sum(known) / len(known) if known else 0.0
        if self.phases.phase is Phase.FULL:
            return own, mean if len(known) > 1 else self.kept.mean or mean, self.fronts
        if self.kept.mean:  # on which all agreed; whoever has been heard by now is only some
            mean = self.kept.mean
        return own, mean, max(self.kept.fronts, len(self.others) + 1)

    def settle(self) -> None:
        """The gate's pace, from what is known by now."""
        phase, gate = self.phases.phase, self.gate
        gate.shut = phase is Phase.NOTHING
        gate.eased_from = self.phases.paced_until
        if phase is Phase.FULL:
            gate.rate_per_s, gate.eased_from = inf, inf
            return
        own, mean, before = self.knows()
        if mean <= 0 and self.quota > 0:
            own = mean = self.quota / self.fronts
            before = self.fronts
        per_s = rates.part(max(0.0, own if own >= 0 else mean), mean, before, self.fronts, self.servers)
        gate.rate_per_s = per_s or rates.unknown(self.fronts, self.servers)

    # evidence

    def on_list(self, now: float, as_of: float, servers: int) -> None:
        """A list that was true at `as_of`, by the same clock; `servers`: how many it names."""
        self.pass_on(now)
        self.servers = servers
        self.phases.listed(as_of)
        self.look(now)

    def on_view(self, now: float, members: tuple[int, ...]) -> None:
        self.pass_on(now)
        self.members = members
        self.phases.view(now, members)

    def set_front_count(self, fronts: int) -> None:
        """How many fronts every share goes by: no fewer than there are."""
        self.fronts = max(1, fronts)
        self.settle()

    def receive(self, now: float, sender: int, data: bytes) -> list[OutgoingMessage]:
        """A front's words; the answer, if it asked."""
        self.pass_on(now)
        try:
            words = Words.FromString(data) if len(data) <= WORDS_MOST else None
        except DecodeError:
            words = None
        if words is None or sender == self.number:
            self.counts["unreadable"] += 1
            return []
        began, known = now - words.age_ms, self.others.get(sender)
        if known and known.life != words.life and began <= known.began:
            self.counts["of_an_earlier_life"] += 1
            return []
        usual = words.usual if isfinite(words.usual) and 0 <= words.usual <= USUAL_MOST else -1.0
        if known and known.life == words.life:
            began = known.began  # as it was first heard: a word that is late would make it older
        self.others[sender] = Other(words.life, began, now, usual)
        self.phases.hear(sender)
        if words.HasField("own"):
            self.peer_checkpoints.hear(sender, to_mark(words.own))
        if words.answer and self.checkpoint_query and sender in self.query_attempts:
            seen = to_mark(words.seen) if words.HasField("seen") else None
            self.checkpoint_query.answer(sender, seen)
        self.look(now)
        out = [self.say(sender, answer=True)] if words.ask else []
        if words.want and (page := self.page_server.page(now, words.want)):
            self.counts["pages_given"] += 1
            out.append(self.say(sender, page=page))
        if self.asking and words.HasField("page") and self.asking.take(sender, words.page):
            out += self.wanted(now)
        return out

    # asks

    def admit_request(self, now: float, number: int, worth: float, left_ms: float) -> AdmissionResult | None:
        """None: it waits, and `tick` will say."""
        self.pass_on(now)
        self.usual.count += self.ordinary
        if self.phases.phase is Phase.FULL:
            return AdmissionResult(number)
        return self.gate.admit(now, number, worth, left_ms)

    def cancel_request(self, number: int) -> None:
        self.gate.drop(number)

    # time

    def pass_on(self, now: float) -> None:
        """Time passes. What was known before a long gap is of another life."""
        if now - self.now > WOKE_MS:
            self.counts["woke"] += 1
            self.phases.begin(now)
            self.settle()
        self.now = max(self.now, now)
        self.usual.pass_on(now, self.ordinary)

    @property
    def ordinary(self) -> bool:
        """Whether what is asked for now is what is usual: not while a crowd has to wait."""
        phase = self.phases.phase
        return phase is Phase.FULL or (phase is Phase.AGREED and self.phases.calm)

    def tick(self, now: float) -> tuple[list[OutgoingMessage], list[AdmissionResult]]:
        """To be called at `due` or sooner: words, and what becomes of asks that waited."""
        self.pass_on(now)
        self.look(now)
        out = self.questions(now) + self.wanted(now)
        if now >= self.next_words:
            self.next_words = now + self.waits.period * (0.75 + 0.5 * self.random.random())
            out += self.words()
        return out, self.gate.take(now)

    def look(self, now: float) -> None:
        """What the evidence makes of the phase, the pace and the store."""
        self.phases.calm = self.gate.calm(now, self.waits.calm_ms)
        self.entered_phases += self.phases.look(now)
        self.settle()
        if self.checkpoint_query:
            self.checkpoint_query.look(now, len(self.query_attempts), self.phases.other_fronts)

    def next_tick_at(self) -> float:
        times = [self.next_words, self.phases.due(), self.gate.due(self.now), self.now + WOKE_MS / 4]
        if (asked := self.checkpoint_query) and asked.trust is StoreTrust.WAITING:
            again = (
                at
                for n, (at, so_often) in self.query_attempts.items()
                if so_often < ASK_TIMES and n not in asked.answers
            )
            times += [asked.due(), *again]
        if self.asking:
            times.append(self.asking.due())
        return min(times)

    # words

    def say(
        self, to: int, ask: bool = False, answer: bool = False, want: int = 0, page: Any = None
    ) -> OutgoingMessage:
        usual = self.usual.per_s()
        if usual is None:
            usual = self.kept.usual if self.kept.usual >= 0 else -1.0
        words = Words(
            life=self.life, age_ms=max(0, round(self.now - self.born)), usual=usual, ask=ask, answer=answer
        )
        if mark := self.mark():
            words.own.MergeFrom(self.as_words_mark(mark))
        if answer and (seen := self.peer_checkpoints.checkpoints.get(to)):
            words.seen.MergeFrom(self.as_words_mark(seen))
        if page is not None:
            words.page.MergeFrom(page)
        words.want = want
        return OutgoingMessage(to, words.SerializeToString())

    def words(self) -> list[OutgoingMessage]:
        """A mark goes to the same few, so that they are found again; and what is said to one at random, so
        that in time everybody has heard of everybody."""
        mark, self.idle = self.mark(), self.idle + 1
        if mark == self.said and self.idle < SAY_IDLE and self.phases.phase is Phase.FULL:
            return []
        self.said, self.idle = mark, 0
        near = successors(self.number, self.members, WITNESSES)
        rest = [m for m in self.members if m != self.number and m not in near]
        return [self.say(to) for to in near + ([self.random.choice(rest)] if rest else [])]

    def questions(self, now: float) -> list[OutgoingMessage]:
        """Those that would have heard of us are asked, each again and again with growing waits."""
        if self.checkpoint_query is None or self.store_trust is not StoreTrust.WAITING:
            return []
        out = []
        for front in successors(self.number, self.members, ASKED_MOST):
            at, times = self.query_attempts.get(front, (now, 0))
            if now < at or times >= ASK_TIMES or front in self.checkpoint_query.answers:
                continue
            wait = ASK_MS * 2**times * (0.5 + self.random.random())
            self.query_attempts[front] = (now + wait, times + 1)
            self.counts["asked"] += 1
            out.append(self.say(front, ask=True))
        return out

    def wanted(self, now: float) -> list[OutgoingMessage]:
        """Pages are asked for until others have given all, or their time is over."""
        if self.asking is None:
            return []
        if self.asking.done(now):
            if (result := self.asking.result()) is not None:
                self.received_pages.append(result)
            self.counts["pages_bad"] += self.asking.bad
            self.asking = None
            return []
        others = [m for m in self.members if m != self.number]
        return [self.say(to, want=page) for to, page in self.asking.asks(now, others, self.random)]

    # what else is spread out

    def list_wait_ms(self) -> float:
        """How long to wait with a call for the list: by as many fronts as are heard to come back as well."""
        back = sum(self.now - o.began < BACK_MS for o in self.others.values())
        return min(LIST_WAIT_MS, back * LIST_CALL_MS) * self.random.random()

    # what is shown

    def status(self, now: float) -> dict[str, Any]:
        phases = self.phases
        full = phases.entered.get(Phase.FULL)
        return {
            "phase": phases.phase.name.lower(),
            "since_s": round((now - phases.entered[phases.phase]) / 1000, 1),
            "full_service_s": None if full is None else round((full - phases.since) / 1000, 2),
            "entered_s": {
                p.name.lower(): round((at - phases.since) / 1000, 2) for p, at in phases.entered.items()
            },
            "lacks": {p.name.lower(): lack for p, lack in phases.lacks.items()},
            "lives": phases.lives,
            "store": self.store_trust.value,
            "heard": len(phases.heard),
            "waiting": len(self.gate.waiting),
            "set_ups_per_s": None if self.gate.rate_per_s == inf else round(self.gate.rate(now), 2),
            "counts": {**self.gate.counts, **self.counts},
        }
