"""Model check of the ledger of paid claims in small scopes: every order of steps, with a crash at each.

The model's fronts run the real `Ledger`. Around it are a disk that takes writes in order (a crash loses the
pending ones), a network that delivers messages late, never or twice, and a viewer that may present its claim
to any front at any time.
"""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

import pytest

from lemonhall.store import (
    ClaimAnswer,
    ClaimDecision,
    ClaimRecord,
    ClaimWrite,
    Ledger,
    Permit,
    Standing,
    Token,
    Verdict,
)

TOKEN = Token(100, 0, 70, 5)
KEEP_S = 1000.0
SKIPPED_HOPS = 6  # counted in advance, so that a chain is followed for two hops instead of eight
MAX_MESSAGES = 2  # in transit, before a query is repeated


@dataclass
class Front:
    """`pending`: writes that are not on disk yet, each with the step that follows when it is."""

    number: int
    disk: dict[bytes, ClaimRecord] = field(default_factory=dict)
    pending: list[tuple[ClaimWrite, tuple[Any, ...]]] = field(default_factory=list)
    permits: dict[Token, Permit] = field(default_factory=dict)
    permits_issued: int = 0
    query: ClaimDecision | None = None  # a viewer waits for another front's answer
    hops: int = 0
    permit: Permit | None = None  # issued for a viewer and not used yet
    attempt_open: bool = False  # a set-up that may run has been sent
    is_up: bool = True
    crashes: int = 0


@dataclass
class World:
    fronts: list[Front]
    messages: tuple[tuple[Any, ...], ...] = ()
    visits: int = 3  # times that the viewer may still present its claim
    crashes: int = 1
    duplicates: int = 1
    write_failures: int = 0
    ran: int = 0  # set-ups that were sent and may have run
    refused: int = 0

    def key(self) -> tuple[Any, ...]:
        parts = []
        for f in self.fronts:
            valid = f.permit is not None and f.permits.get(TOKEN) == f.permit  # all that numbers matter for
            permits = tuple(p.turn for p in f.permits.values())
            unused = (f.permit.turn, valid) if f.permit else None
            pending = tuple((w.record, then[0], str(then[1:])) for w, then in f.pending)
            disk = tuple(f.disk.values())
            parts.append((disk, pending, permits, f.query, f.hops, unused, f.attempt_open, f.is_up))
        return (
            tuple(parts),
            self.messages,
            self.visits,
            self.crashes,
            self.duplicates,
            self.write_failures,
            self.ran,
        )


class Explorer:
    """`no_wait`: the step that does not wait for its write
    to be on disk (a fault)."""

    def __init__(self, ledger_class: Callable[..., Ledger] = Ledger, no_wait: str = "") -> None:
        self.ledger_class, self.no_wait = ledger_class, no_wait
        self.seen: set[tuple[Any, ...]] = set()
        self.max_ran = 0

    def ledger(self, front: Front) -> Ledger:
        def lookup(key: bytes) -> ClaimRecord | None:
            for write, _ in reversed(front.pending):
                if write.key == key:
                    return write.record
            return front.disk.get(key)

        def is_pending(key: bytes) -> bool:
            return bool(front.pending) and self.no_wait != "query"

        ledger = self.ledger_class(front.number, 70 + front.number, lookup, is_pending, KEEP_S)
        ledger.permits, ledger.permits_issued = front.permits, front.permits_issued
        return ledger

    def explore(self, world: World) -> int:
        """Visits all reachable states and returns their number. Stops at the first that breaks the rule."""
        queue = deque([world])
        while queue:
            state = queue.popleft()  # breadth first, so that the shortest path to a fault is found
            key = state.key()
            if key in self.seen:
                continue
            self.seen.add(key)
            self.max_ran = max(self.max_ran, state.ran)
            if state.ran > 1:
                return len(self.seen)
            queue += self.steps(state)
        return len(self.seen)

    def steps(self, world: World) -> Iterator[World]:
        for number, front in enumerate(world.fronts):
            if not front.is_up:
                yield self.step(world, self.restart, number)
                continue
            if world.visits:
                yield self.step(world, self.visit, number)
            if front.permit:
                yield self.step(world, self.attempt, number)
            if front.pending:
                yield self.step(world, self.commit, number)
                if world.write_failures:
                    yield self.step(world, self.fail_commit, number)
            if front.attempt_open:
                yield self.step(world, self.finish_attempt, number, True)
                yield self.step(world, self.finish_attempt, number, False)
            if front.query:
                yield self.step(world, self.send_query, number)
            if world.crashes:
                yield self.step(world, self.crash, number)
        for index in range(len(world.messages)):
            yield self.step(world, self.deliver, index, False)
            if world.duplicates:
                yield self.step(world, self.deliver, index, True)

    def step(self, world: World, action: Callable[..., None], *args: Any) -> World:
        successor = World(
            [
                replace(f, disk=dict(f.disk), pending=list(f.pending), permits=dict(f.permits))
                for f in world.fronts
            ],
            world.messages,
            world.visits,
            world.crashes,
            world.duplicates,
            world.write_failures,
            world.ran,
            world.refused,
        )
        action(successor, *args)
        return successor

    # steps

    def visit(self, world: World, number: int) -> None:
        """The viewer presents its claim here, at whichever front it was before: it has had no answer."""
        world.visits -= 1
        front = world.fronts[number]
        front.query, front.hops = None, 0
        ledger = self.ledger(front)
        self.on_decision(world, front, ledger.decide(TOKEN, 200.0), ledger)

    def on_decision(self, world: World, front: Front, decision: ClaimDecision, ledger: Ledger) -> None:
        front.permits_issued = ledger.permits_issued
        front.query = decision if decision.verdict is Verdict.ASK else None
        if decision.verdict is Verdict.GO:
            front.permit = decision.permit
        elif decision.verdict is not Verdict.ASK:
            world.refused += 1

    def send_query(self, world: World, number: int) -> None:
        query = world.fronts[number].query
        assert query
        message = ("query", query.front, number, query.store, query.turn)
        if message not in world.messages and len(world.messages) < MAX_MESSAGES:
            world.messages = (*world.messages, message)

    def attempt(self, world: World, number: int) -> None:
        front = world.fronts[number]
        assert front.permit
        permit, front.permit = front.permit, None
        write = self.ledger(front).begin_attempt(permit, 9, 200.0)
        if write:
            if self.no_wait == "attempt":
                self.send_set_up(world, front)
            front.pending.append((write, ("send_set_up",)))

    def send_set_up(self, world: World, front: Front) -> None:
        front.attempt_open = True
        world.ran += 1

    def commit(self, world: World, number: int) -> None:
        front = world.fronts[number]
        write, then = front.pending.pop(0)
        front.disk[write.key] = write.record
        if then[0] == "send_set_up" and self.no_wait != "attempt":
            self.send_set_up(world, front)
        elif then[0] == "send_answer" and self.no_wait != "answer":
            world.messages = (*world.messages, then[1])

    def fail_commit(self, world: World, number: int) -> None:
        world.write_failures -= 1
        world.fronts[number].pending.pop(0)

    def finish_attempt(self, world: World, number: int, ran: bool) -> None:
        """The attempt ends. If not `ran`, it is proven that it never ran."""
        front = world.fronts[number]
        front.attempt_open = False
        world.ran -= not ran
        record = front.disk.get(TOKEN.key)
        permit = Permit(TOKEN, record.turn if record else 0, 0)
        if write := self.ledger(front).settle(permit, ran, 200.0):
            front.pending.append((write, ("nothing",)))

    def crash(self, world: World, number: int) -> None:
        world.crashes -= 1
        front = world.fronts[number]
        world.fronts[number] = Front(front.number, front.disk, is_up=False)

    def restart(self, world: World, number: int) -> None:
        world.fronts[number].is_up = True

    def deliver(self, world: World, index: int, keep: bool) -> None:
        """Delivers a message; `keep`: it is delivered again later."""
        message = world.messages[index]
        if keep:
            world.duplicates -= 1
        else:
            world.messages = world.messages[:index] + world.messages[index + 1 :]
        front = world.fronts[message[1]]
        if not front.is_up:
            return
        ledger = self.ledger(front)
        if message[0] == "query":
            _, _, sender, store, turn = message
            answer, write = ledger.answer_query(TOKEN, (sender, 70 + sender), store, turn, 200.0)
            if answer is None:
                return
            reply = ("answer", sender, message[1], answer)
            if write:
                front.pending.append((write, ("send_answer", reply)))
            if (not write or self.no_wait == "answer") and reply not in world.messages:
                world.messages = (*world.messages, reply)
        else:
            _, _, sender, answer = message
            if front.query and front.query.front == sender:
                front.hops += 1
                self.on_decision(
                    world, front, ledger.apply_answer(TOKEN, answer, front.hops + SKIPPED_HOPS), ledger
                )


def make_world(fronts: int, **more: Any) -> World:
    return World([Front(n) for n in range(fronts)], **more)


@pytest.mark.parametrize(
    "scope",
    [
        {"fronts": 1, "visits": 3, "crashes": 2, "write_failures": 1},
        {"fronts": 2, "visits": 2, "crashes": 1, "duplicates": 0},
        {"fronts": 2, "visits": 2, "crashes": 0, "duplicates": 1},
        {"fronts": 3, "visits": 2, "crashes": 0, "duplicates": 0},
    ],
    ids=str,
)
def test_no_order_of_steps_runs_a_claim_twice(scope: dict[str, int]) -> None:
    explorer = Explorer()
    states = explorer.explore(make_world(**scope))
    assert states > 100
    assert explorer.max_ran == 1


class KeepsPermits(Ledger):
    """A permit stays valid after the claim's transfer and after later permits."""

    def begin_attempt(self, permit: Permit, server: int, wall_s: float) -> ClaimWrite | None:
        return ClaimWrite(permit.token.key, ClaimRecord(Standing.OUT, permit.turn))


class ForgetsTransfer(KeepsPermits):
    """Sets up a claim that it has transferred. Without the permits that are kept as well, the check of the
    record before an attempt would prevent it."""

    def decide_by_record(self, token: Token, record: ClaimRecord) -> ClaimDecision:
        if record.standing is Standing.PASSED:
            return self.issue_permit(token, record.turn)
        return super().decide_by_record(token, record)


class TrustsViewers(Ledger):
    """Sets up another front's claim without a query."""

    def decide(self, token: Token, wall_s: float) -> ClaimDecision:
        decision = super().decide(token, wall_s)
        return self.issue_permit(token, 0) if decision.verdict is Verdict.ASK else decision


class FreeAfterCrash(KeepsPermits):
    """Treats an attempt that was open at a crash as never sent."""

    def decide(self, token: Token, wall_s: float) -> ClaimDecision:
        record = self.lookup(token.key)
        if record and record.standing is Standing.OUT:
            return self.issue_permit(token, record.turn)
        return super().decide(token, wall_s)


class IgnoresTurns(Ledger):
    """Takes outdated messages about a claim for current ones."""

    def answer_query(
        self, token: Token, requester: tuple[int, int], store: int, turn: int, wall_s: float
    ) -> tuple[ClaimAnswer | None, ClaimWrite | None]:
        answer, write = super().answer_query(token, requester, store, 99, wall_s)
        return answer, write


@pytest.mark.parametrize(
    "ledger_class,no_wait",
    [
        (Ledger, "attempt"),
        (Ledger, "answer"),
        (Ledger, "query"),
        (ForgetsTransfer, ""),
        (KeepsPermits, ""),
        (TrustsViewers, ""),
        (FreeAfterCrash, ""),
        (IgnoresTurns, ""),
    ],
)
def test_without_each_safeguard_a_claim_runs_twice(ledger_class: type[Ledger], no_wait: str) -> None:
    explorer = Explorer(ledger_class, no_wait)
    explorer.explore(make_world(2, visits=2, crashes=1, duplicates=0))
    assert explorer.max_ran > 1


def test_a_claim_that_never_ran_may_be_set_up_by_another_front() -> None:
    explorer = Explorer()
    world = make_world(2, visits=2)
    explorer.visit(world, 0)
    explorer.attempt(world, 0)
    explorer.commit(world, 0)
    explorer.finish_attempt(world, 0, False)
    explorer.commit(world, 0)
    explorer.visit(world, 1)
    explorer.send_query(world, 1)
    explorer.deliver(world, 0, False)
    while world.fronts[0].pending:
        explorer.commit(world, 0)
    explorer.deliver(world, 0, False)
    assert world.fronts[1].permit
    explorer.attempt(world, 1)
    explorer.commit(world, 1)
    assert world.ran == 1


def make_ledger(disk: dict[bytes, ClaimRecord], front: int = 0, store: int = 70) -> Ledger:
    return Ledger(front, store, disk.get, lambda key: False, KEEP_S)


def test_a_token_is_parsed_from_its_text_and_malformed_texts_are_none() -> None:
    assert Token.parse(str(TOKEN)) == TOKEN
    assert Token.of_key(TOKEN.key) == TOKEN
    for text in ("", "1-2-3", "x-1-2-3", "1-2-3-4-5", "1-2-3-+4", "123456789-1-2-3", "1- 2-3-4", "1-2-3-é"):
        assert Token.parse(text) is None, text


def test_keys_of_tokens_sort_by_time() -> None:
    tokens = [Token(t, 9 - t % 10, 1, 5) for t in (1, 255, 256, 70000)]
    assert sorted(t.key for t in tokens) == [t.key for t in tokens]


def test_a_claim_of_a_lost_ledger_or_past_retention_counts_as_run() -> None:
    assert make_ledger({}, store=71).decide(TOKEN, 200.0).verdict is Verdict.RAN
    assert make_ledger({}).decide(TOKEN, 100 + KEEP_S + 1).verdict is Verdict.RAN
    assert make_ledger({}).decide(TOKEN, 200.0).verdict is Verdict.GO
    assert make_ledger({}, store=71).answer_query(TOKEN, (1, 71), 70, 0, 200.0) == (ClaimAnswer(None), None)
    assert make_ledger({}).answer_query(TOKEN, (1, 71), 70, 0, 100 + KEEP_S + 1) == (
        ClaimAnswer(Standing.RAN),
        None,
    )


def test_a_clock_that_jumps_forward_and_back_does_not_make_old_claims_new() -> None:
    """While the clock was ahead, records were pruned. Claims that may be missing count as run, new ones are
    accepted."""
    ledger = make_ledger({})
    ledger.pruned_s = 150
    assert ledger.decide(TOKEN, 120.0).verdict is Verdict.RAN
    assert ledger.answer_query(TOKEN, (1, 71), 70, 0, 120.0) == (ClaimAnswer(Standing.RAN), None)
    assert ledger.decide(ledger.issue_token(120.0, 9), 121.0).verdict is Verdict.GO


def test_a_claim_transferred_to_a_lost_ledger_is_not_transferred_again() -> None:
    """Front 1 owned the claim in its old ledger, where it may have run; its new ledger has no record."""
    new_ledger = make_ledger({}, front=1, store=99)
    assert new_ledger.answer_query(TOKEN, (2, 72), 71, 1, 200.0) == (ClaimAnswer(None), None)
    to_old_ledger = ClaimAnswer(Standing.PASSED, 1, 1, 71)
    assert new_ledger.apply_answer(TOKEN, to_old_ledger, 1).verdict is Verdict.RAN


def test_a_chain_of_transfers_is_followed_for_a_limited_number_of_hops() -> None:
    answer = ClaimAnswer(Standing.PASSED, 5, 2, 72)
    assert make_ledger({}).apply_answer(TOKEN, answer, 8).verdict is Verdict.UNKNOWN
    assert make_ledger({}).apply_answer(TOKEN, answer, 7) == ClaimDecision(
        Verdict.ASK, front=2, store=72, turn=5
    )


def test_steps_do_not_change_the_world_that_they_start_from() -> None:
    """The explorer relies on it: worlds share nothing that a step changes."""
    world = make_world(2)
    original = copy.deepcopy(world)
    for successor in Explorer().steps(world):
        assert successor is not world
    assert world == original
