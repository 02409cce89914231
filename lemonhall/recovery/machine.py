"""Recovery of one front: its phase, the state that it may trust, the fronts that it queries, and the rate of
set-ups that it starts. No I/O, no clock.

Inputs are time, the server list, messages and the membership, and requests; outputs are messages, phases and
results of requests. Messages carry the incarnation of their sender: a late message of an earlier incarnation
is dropped.
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
from lemonhall.recovery.admission import AdmissionGate, AdmissionResult
from lemonhall.recovery.checkpoints import (
    CHECKPOINT_PEERS,
    MAX_QUERIED,
    CheckpointQuery,
    PeerCheckpoints,
    StoreCheckpoint,
    StoreTrust,
    ring_successors,
)
from lemonhall.recovery.phases import SUSPENDED_MS, Phase, PhaseEntry, PhaseTimeouts, PhaseTracker
from lemonhall.recovery.recovery_pb2 import Kept, Words
from lemonhall.recovery.server_pages import QUERY_TIMEOUT_MS, PageQuery, PageServer

IDLE_PERIODS = 5  # after which messages are sent although the checkpoint is unchanged
QUERY_RETRY_MS = 50.0  # first retry interval of a checkpoint query; doubles with each retry
MAX_QUERY_TRIES = 6
LIST_REQUEST_GAP_MS = 20.0  # between the list requests of all recovering fronts
MAX_LIST_WAIT_MS = 1000.0  # of one front before its list request
RECOVERING_AGE_MS = 10_000.0  # fronts of at most this age are recovering as well
MAX_USUAL_RATE = 1e6
MAX_MESSAGE_BYTES = 1200  # a datagram must not be fragmented


@dataclass(frozen=True)
class OutgoingMessage:
    """A message to another front, by its number."""

    to: int
    data: bytes


@dataclass
class PeerReport:
    """The last report of a front about itself."""

    incarnation: int
    started_at: float  # of that incarnation, by our clock
    received_at: float
    usual: float


def to_checkpoint(message: Any) -> StoreCheckpoint:
    return StoreCheckpoint(message.made_ms, message.count)


class Recovery:
    """The state machine of one front.

    `fronts`: by the settings. `quota_per_s`: of all partners together, used where the usual rate is
    unknown; 0: not set. `get_checkpoint`: of the store, None without a store. Times in ms, of one clock."""

    def __init__(
        self,
        now: float,
        number: int,
        fronts: int,
        random: Random,
        timeouts: PhaseTimeouts,
        max_retry_ms: float,
        get_checkpoint: Callable[[], StoreCheckpoint | None] = lambda: None,
        quota_per_s: float = 0.0,
        members: bool = True,
    ) -> None:
        self.number, self.fronts, self.random, self.timeouts = number, fronts, random, timeouts
        self.get_checkpoint, self.quota_per_s = get_checkpoint, quota_per_s
        self.incarnation = random.getrandbits(32)
        self.created_at = self.now = now
        self.phases = PhaseTracker(now, timeouts, fronts - 1 if members else 0)
        self.gate = AdmissionGate(random, max_retry_ms)
        self.request_rate = rates.RequestRate(now)
        self.peer_checkpoints = PeerCheckpoints()
        self.checkpoint_query: CheckpointQuery | None = None
        self.stored = Kept(usual=-1.0)
        self.peers: dict[int, PeerReport] = {}
        self.members: tuple[int, ...] = (number,)
        self.server_count = 0
        self.query_attempts: dict[int, tuple[float, int]] = {}  # by front: time of the next try, tries so far
        self.sent_checkpoint: StoreCheckpoint | None = None
        self.next_period_at = now
        self.idle_periods = 0
        self.counts: Counter[str] = Counter()
        self.page_server = PageServer(lambda: [])
        self.page_query: PageQuery | None = None
        self.received_pages: list[Any] = []  # merged results, until the caller takes them
        self.entered_phases: list[PhaseEntry] = []  # until the caller takes them
        self.update_gate()

    # stored state

    def restore(self, data: bytes) -> None:
        """Takes over the state that an earlier incarnation stored. Unreadable state counts as none."""
        if not data:
            return
        try:
            self.stored = Kept.FromString(data)
        except DecodeError:
            self.counts["unreadable"] += 1
            return
        self.phases.expects_reconnects = True
        for one in self.stored.seen:
            self.peer_checkpoints.record(one.front, to_checkpoint(one.mark))
        self.peer_checkpoints.dirty = False
        self.update_gate()

    def serialize(self) -> bytes:
        own, mean, fronts_before = self.usual_rates()
        state = Kept(usual=own, mean=mean, fronts=fronts_before)
        for front, checkpoint in self.peer_checkpoints.checkpoints.items():
            state.seen.add(front=front).mark.MergeFrom(self.encode_checkpoint(checkpoint))
        self.peer_checkpoints.dirty = False
        return bytes(state.SerializeToString())

    @staticmethod
    def encode_checkpoint(checkpoint: StoreCheckpoint) -> Any:
        return Words(own={"made_ms": checkpoint.created_ms, "count": checkpoint.commit_count}).own

    def query_checkpoints(self, now: float, timeout_ms: float) -> None:
        """Starts to ask other fronts whether the store is the latest one."""
        if checkpoint := self.get_checkpoint():
            self.checkpoint_query = CheckpointQuery(checkpoint, now + timeout_ms)

    def query_server_pages(self, now: float) -> None:
        """Starts to ask other fronts for their state of servers."""
        self.page_query = PageQuery(now + QUERY_TIMEOUT_MS)

    @property
    def store_trust(self) -> StoreTrust:
        return self.checkpoint_query.trust if self.checkpoint_query else StoreTrust.SOUND

    # rates

    def usual_rates(self) -> tuple[float, float, int]:
        """The usual rate of set-ups/s of this front (-1: unknown), the mean of all fronts, and the number of
        fronts that the mean is of."""
        own = self.request_rate.per_s()
        if own is None:
            own = self.stored.usual if isfinite(self.stored.usual) else -1.0
        known = [p.usual for p in self.peers.values() if p.usual >= 0]
        if own >= 0:
            known.append(own)
        mean = sum(known) / len(known) if known else 0.0
        if self.phases.phase is Phase.FULL:
            return own, mean if len(known) > 1 else self.stored.mean or mean, self.fronts
        if self.stored.mean:  # the mean of all fronts; only some have reported by now
            mean = self.stored.mean
        return own, mean, max(self.stored.fronts, len(self.peers) + 1)

    def update_gate(self) -> None:
        """Sets the gate's rate limit by what is known now."""
        phase, gate = self.phases.phase, self.gate
        gate.closed = phase is Phase.NOTHING
        gate.rate_ends_at = self.phases.rate_limited_until
        if phase is Phase.FULL:
            gate.rate_per_s, gate.rate_ends_at = inf, inf
            return
        own, mean, fronts_before = self.usual_rates()
        if mean <= 0 and self.quota_per_s > 0:
            own = mean = self.quota_per_s / self.fronts
            fronts_before = self.fronts
        per_s = rates.front_rate(
            max(0.0, own if own >= 0 else mean), mean, fronts_before, self.fronts, self.server_count
        )
        gate.rate_per_s = per_s or rates.default_front_rate(self.fronts, self.server_count)

    # evidence

    def on_list(self, now: float, as_of: float, server_count: int) -> None:
        """Handles a list that was true at `as_of`, by the same clock."""
        self.advance(now)
        self.server_count = server_count
        self.phases.on_list(as_of)
        self.update(now)

    def on_view(self, now: float, members: tuple[int, ...]) -> None:
        self.advance(now)
        self.members = members
        self.phases.on_members(now, members)

    def set_front_count(self, fronts: int) -> None:
        """Sets the number of fronts that every share is computed from: no fewer than there are."""
        self.fronts = max(1, fronts)
        self.update_gate()

    def receive(self, now: float, sender: int, data: bytes) -> list[OutgoingMessage]:
        """Handles a front's message. Returns the replies."""
        self.advance(now)
        try:
            message = Words.FromString(data) if len(data) <= MAX_MESSAGE_BYTES else None
        except DecodeError:
            message = None
        if message is None or sender == self.number:
            self.counts["unreadable"] += 1
            return []
        started_at, known = now - message.age_ms, self.peers.get(sender)
        if known and known.incarnation != message.life and started_at <= known.started_at:
            self.counts["of_an_earlier_life"] += 1
            return []
        usual = message.usual if isfinite(message.usual) and 0 <= message.usual <= MAX_USUAL_RATE else -1.0
        if known and known.incarnation == message.life:
            started_at = known.started_at  # from the first message; a late one would make it seem older
        self.peers[sender] = PeerReport(message.life, started_at, now, usual)
        self.phases.on_report(sender)
        if message.HasField("own"):
            self.peer_checkpoints.record(sender, to_checkpoint(message.own))
        if message.answer and self.checkpoint_query and sender in self.query_attempts:
            checkpoint = to_checkpoint(message.seen) if message.HasField("seen") else None
            self.checkpoint_query.on_answer(sender, checkpoint)
        self.update(now)
        out = [self.build_message(sender, answer=True)] if message.ask else []
        if message.want and (page := self.page_server.get_page(now, message.want)):
            self.counts["pages_given"] += 1
            out.append(self.build_message(sender, page=page))
        if self.page_query and message.HasField("page") and self.page_query.on_page(sender, message.page):
            out += self.page_requests(now)
        return out

    # requests

    def admit_request(
        self, now: float, request_id: int, worth: float, left_ms: float
    ) -> AdmissionResult | None:
        """Returns None if the request waits; `tick` returns its result later."""
        self.advance(now)
        self.request_rate.count += self.is_usual_load
        if self.phases.phase is Phase.FULL:
            return AdmissionResult(request_id)
        return self.gate.admit(now, request_id, worth, left_ms)

    def cancel_request(self, request_id: int) -> None:
        self.gate.cancel(request_id)

    # time

    def advance(self, now: float) -> None:
        """Advances the time. After a long gap a new incarnation starts, since earlier knowledge is
        outdated."""
        if now - self.now > SUSPENDED_MS:
            self.counts["woke"] += 1
            self.phases.start_incarnation(now)
            self.update_gate()
        self.now = max(self.now, now)
        self.request_rate.advance(now, self.is_usual_load)

    @property
    def is_usual_load(self) -> bool:
        """Whether requests now show the usual rate: not while reconnecting viewers have to wait."""
        phase = self.phases.phase
        return phase is Phase.FULL or (phase is Phase.AGREED and self.phases.calm)

    def tick(self, now: float) -> tuple[list[OutgoingMessage], list[AdmissionResult]]:
        """To be called at `next_tick_at` or earlier. Returns messages, and results of waiting requests."""
        self.advance(now)
        self.update(now)
        out = self.checkpoint_requests(now) + self.page_requests(now)
        if now >= self.next_period_at:
            self.next_period_at = now + self.timeouts.period_ms * (0.75 + 0.5 * self.random.random())
            out += self.period_messages()
        return out, self.gate.poll(now)

    def update(self, now: float) -> None:
        """Derives the phase, the rate limit and the trust in the store from the evidence."""
        self.phases.calm = self.gate.is_calm(now, self.timeouts.calm_ms)
        self.entered_phases += self.phases.update(now)
        self.update_gate()
        if self.checkpoint_query:
            self.checkpoint_query.evaluate(now, len(self.query_attempts), self.phases.other_fronts)

    def next_tick_at(self) -> float:
        times = [
            self.next_period_at,
            self.phases.next_due_at(),
            self.gate.next_due_at(self.now),
            self.now + SUSPENDED_MS / 4,
        ]
        if (query := self.checkpoint_query) and query.trust is StoreTrust.WAITING:
            retries = (
                at
                for front, (at, tries) in self.query_attempts.items()
                if tries < MAX_QUERY_TRIES and front not in query.answers
            )
            times += [query.next_due_at(), *retries]
        if self.page_query:
            times.append(self.page_query.next_due_at())
        return min(times)

    # messages

    def build_message(
        self, to: int, ask: bool = False, answer: bool = False, want: int = 0, page: Any = None
    ) -> OutgoingMessage:
        """`ask`: queries the checkpoint of this front's store; `answer`: replies to such a query; `want`:
        number of a requested page; `page`: a page for the recipient."""
        usual = self.request_rate.per_s()
        if usual is None:
            usual = self.stored.usual if self.stored.usual >= 0 else -1.0
        message = Words(
            life=self.incarnation,
            age_ms=max(0, round(self.now - self.created_at)),
            usual=usual,
            ask=ask,
            answer=answer,
        )
        if checkpoint := self.get_checkpoint():
            message.own.MergeFrom(self.encode_checkpoint(checkpoint))
        if answer and (known := self.peer_checkpoints.checkpoints.get(to)):
            message.seen.MergeFrom(self.encode_checkpoint(known))
        if page is not None:
            message.page.MergeFrom(page)
        message.want = want
        return OutgoingMessage(to, message.SerializeToString())

    def period_messages(self) -> list[OutgoingMessage]:
        """Messages of this period: to the same few fronts, so that they can be found again after a restart,
        and to one at random, so that in time all fronts hear of each other."""
        checkpoint, self.idle_periods = self.get_checkpoint(), self.idle_periods + 1
        if (
            checkpoint == self.sent_checkpoint
            and self.idle_periods < IDLE_PERIODS
            and self.phases.phase is Phase.FULL
        ):
            return []
        self.sent_checkpoint, self.idle_periods = checkpoint, 0
        peers = ring_successors(self.number, self.members, CHECKPOINT_PEERS)
        rest = [m for m in self.members if m != self.number and m not in peers]
        return [self.build_message(to) for to in peers + ([self.random.choice(rest)] if rest else [])]

    def checkpoint_requests(self, now: float) -> list[OutgoingMessage]:
        """Queries to the fronts that may know this front's checkpoint, retried with exponential backoff."""
        if self.checkpoint_query is None or self.store_trust is not StoreTrust.WAITING:
            return []
        out = []
        for front in ring_successors(self.number, self.members, MAX_QUERIED):
            at, tries = self.query_attempts.get(front, (now, 0))
            if now < at or tries >= MAX_QUERY_TRIES or front in self.checkpoint_query.answers:
                continue
            wait_ms = QUERY_RETRY_MS * 2**tries * (0.5 + self.random.random())
            self.query_attempts[front] = (now + wait_ms, tries + 1)
            self.counts["asked"] += 1
            out.append(self.build_message(front, ask=True))
        return out

    def page_requests(self, now: float) -> list[OutgoingMessage]:
        """Requests for pages until other fronts have sent all, or the query times out."""
        if self.page_query is None:
            return []
        if self.page_query.is_done(now):
            if (result := self.page_query.merge_result()) is not None:
                self.received_pages.append(result)
            self.counts["pages_bad"] += self.page_query.invalid_count
            self.page_query = None
            return []
        others = [m for m in self.members if m != self.number]
        return [
            self.build_message(to, want=page)
            for to, page in self.page_query.due_requests(now, others, self.random)
        ]

    # list requests

    def list_wait_ms(self) -> float:
        """Random wait before a list request, longer the more other fronts are recovering."""
        recovering = sum(self.now - p.started_at < RECOVERING_AGE_MS for p in self.peers.values())
        return min(MAX_LIST_WAIT_MS, recovering * LIST_REQUEST_GAP_MS) * self.random.random()

    # status

    def status(self, now: float) -> dict[str, Any]:
        phases = self.phases
        full_at = phases.entered_at.get(Phase.FULL)
        return {
            "phase": phases.phase.name.lower(),
            "since_s": round((now - phases.entered_at[phases.phase]) / 1000, 1),
            "full_service_s": None
            if full_at is None
            else round((full_at - phases.incarnation_started_at) / 1000, 2),
            "entered_s": {
                p.name.lower(): round((at - phases.incarnation_started_at) / 1000, 2)
                for p, at in phases.entered_at.items()
            },
            "lacks": {p.name.lower(): missing for p, missing in phases.missing.items()},
            "lives": phases.incarnations,
            "store": self.store_trust.value,
            "heard": len(phases.reporting_fronts),
            "waiting": len(self.gate.waiting),
            "set_ups_per_s": None if self.gate.rate_per_s == inf else round(self.gate.rate(now), 2),
            "counts": {**self.gate.counts, **self.counts},
        }
