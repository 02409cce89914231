"""Decides which front may set up a paid claim, and whether it may have run. No I/O, no clock, no randomness.

A claim is identified by a token. The front that first receives the claim creates the token; a viewer that
returns presents it again. At any time at most one front owns the claim and may decide on it: the front that
created it, until it transfers the claim to another front, which may transfer it again. `turn` counts the
transfers and distinguishes outdated messages about a claim from current ones. Only written records count, not
what a front has in memory, so each step that others rely on is written before it is announced or carried out:

    OUT     written before the set-up is sent          after a crash the claim stays OUT for good, since the
                                                       set-up may have run
    PASSED  written before the answer is sent          after a crash this front still knows that it does not
                                                       own the claim

The end of an attempt may be written late: until then the record is OUT instead of FREE, which is safe.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum, IntEnum

KEY = struct.Struct(">IIIQ")
MAX_HOPS = 8


class Standing(IntEnum):
    """State of a claim, as in proto/store.proto."""

    FREE = 1
    OUT = 2
    RAN = 3
    PASSED = 4


@dataclass(frozen=True, order=True)
class Token:
    """Identity of a claim.

    `issued_s`: Unix time; `store`: number of the store in which the creating front kept its ledger then;
    `serial`: 64 random bits.
    """

    issued_s: int
    front: int
    store: int
    serial: int

    @property
    def key(self) -> bytes:
        """Key of the claim's record. Keys sort by time, the oldest first."""
        return KEY.pack(self.issued_s, self.front, self.store, self.serial)

    def __str__(self) -> str:
        return f"{self.issued_s:08x}-{self.front:x}-{self.store:08x}-{self.serial:016x}"

    @staticmethod
    def new(wall_s: float, pruned_s: int, front: int, store: int, serial: int) -> Token:
        """Creates a token of the current time, but later than the claims that may have been pruned."""
        return Token(max(int(wall_s), pruned_s + 1), front, store, serial)

    @staticmethod
    def of_key(key: bytes) -> Token:
        """Raises `struct.error` if the key is not a token's."""
        return Token(*KEY.unpack(key))

    @staticmethod
    def parse(text: str) -> Token | None:
        parts = text.strip().split("-")
        max_lengths = (8, 8, 8, 16)
        if len(parts) != 4 or any(not 1 <= len(p) <= n for p, n in zip(parts, max_lengths, strict=True)):
            return None
        try:
            values = [int(p, 16) for p in parts]
        except ValueError:
            return None
        return Token(*values) if all(p.isalnum() for p in parts) else None


@dataclass(frozen=True)
class ClaimRecord:
    """A stored claim. `to` and `to_store`: the new owner if PASSED; `server`: of the latest attempt."""

    standing: Standing
    turn: int = 0
    to: int = 0
    to_store: int = 0
    at_ms: float = 0.0
    attempts: int = 0
    server: int = 0


class Verdict(Enum):
    GO = "go"  # this front may set up the claim
    ASK = "ask"  # another front must be queried first
    RAN = "ran"  # the claim may have run and is never set up again
    UNKNOWN = "unknown"  # cannot be decided now


@dataclass(frozen=True)
class Permit:
    """The right to set up a claim, until another permit is issued for the claim or it is transferred."""

    token: Token
    turn: int
    number: int


@dataclass(frozen=True)
class ClaimDecision:
    """Whether a claim may be set up here. If the verdict is ASK, `front` is the front to query, `store` the
    number of its store when it received the claim, and `turn` the claim's turn since then."""

    verdict: Verdict
    permit: Permit | None = None
    front: int = 0
    store: int = 0
    turn: int = 0


@dataclass(frozen=True)
class ClaimWrite:
    """A write conditional on `expected`, the record that the decision was based on.

    The write is skipped if the file has another record by then: a successor shares the file for a while.
    """

    key: bytes
    record: ClaimRecord
    expected: ClaimRecord | None = None


@dataclass(frozen=True)
class ClaimAnswer:
    """The answer to another front. PASSED: `to` owns the claim since `turn`; RAN: the claim may have run."""

    standing: Standing | None  # None: the claim is not known here
    turn: int = 0
    to: int = 0
    to_store: int = 0


class Ledger:
    """Decides on claims by their records. `wall_s` in the methods is Unix time.

    `lookup(key)` returns the latest record, written or pending; `is_pending(key)` whether it is pending.
    `keep_s` is the retention time of claims; a claim with an older token counts as run.
    """

    def __init__(
        self,
        front: int,
        store: int,
        lookup: Callable[[bytes], ClaimRecord | None],
        is_pending: Callable[[bytes], bool],
        keep_s: float,
    ) -> None:
        self.front, self.store, self.keep_s = front, store, keep_s
        self.lookup, self.is_pending = lookup, is_pending
        self.pruned_s = 0  # records of claims issued up to this time may have been pruned
        self.permits: dict[Token, Permit] = {}
        self.permits_issued = 0

    def issue_token(self, wall_s: float, serial: int) -> Token:
        """Creates the token of a new claim, valid also if the clock has been set back."""
        return Token.new(wall_s, self.pruned_s, self.front, self.store, serial)

    def is_expired(self, token: Token, wall_s: float) -> bool:
        return wall_s - token.issued_s > self.keep_s or token.issued_s <= self.pruned_s

    def decide(self, token: Token, wall_s: float) -> ClaimDecision:
        """Decides on a claim that a viewer has presented to this front."""
        record = self.lookup(token.key)
        if self.is_expired(token, wall_s):
            return ClaimDecision(Verdict.RAN)
        if record is None:
            if token.front != self.front:
                return ClaimDecision(Verdict.ASK, front=token.front, store=token.store)
            if token.store != self.store:  # created in a ledger that this front no longer has
                return ClaimDecision(Verdict.RAN)
            return self.issue_permit(token, 0)
        return self.decide_by_record(token, record)

    def decide_by_record(self, token: Token, record: ClaimRecord) -> ClaimDecision:
        if record.standing is Standing.FREE:
            return self.issue_permit(token, record.turn)
        if record.standing is Standing.PASSED:
            return ClaimDecision(Verdict.ASK, front=record.to, store=record.to_store, turn=record.turn)
        return ClaimDecision(Verdict.RAN)

    def issue_permit(self, token: Token, turn: int) -> ClaimDecision:
        self.permits_issued += 1
        permit = self.permits[token] = Permit(token, turn, self.permits_issued)
        return ClaimDecision(Verdict.GO, permit)

    def answer_query(
        self, token: Token, requester: tuple[int, int], store: int, turn: int, wall_s: float
    ) -> tuple[ClaimAnswer | None, ClaimWrite | None]:
        """Answers the query of another front that takes this front for the claim's owner.

        `requester` holds the numbers of that front and of its store. `store` is this front's store that it
        knows as the owner, `turn` the turn since when (0: by the token).

        The answer must not be sent before the write, if there is one, is on disk. Returns no answer (None)
        while the record that it would be based on is not on disk; the requester repeats its query.
        """
        if self.is_pending(token.key):
            return None, None
        record = self.lookup(token.key)
        if self.is_expired(token, wall_s):
            return ClaimAnswer(Standing.RAN), None
        if record is not None and record.turn >= turn:
            if record.standing is Standing.PASSED:
                return ClaimAnswer(Standing.PASSED, record.turn, record.to, record.to_store), None
            if record.standing is not Standing.FREE:
                return ClaimAnswer(Standing.RAN), None
            turn = record.turn
        elif store != self.store or (turn == 0 and (token.front, token.store) != (self.front, self.store)):
            return ClaimAnswer(None), None  # owned by a ledger that this front no longer has, or never owned
        self.permits.pop(token, None)
        passed = ClaimRecord(Standing.PASSED, turn + 1, *requester, wall_s * 1000)
        return ClaimAnswer(Standing.PASSED, turn + 1, *requester), ClaimWrite(token.key, passed, record)

    def apply_answer(self, token: Token, answer: ClaimAnswer, hops: int) -> ClaimDecision:
        """Decides by the answer of a queried front; `hops` is the number of fronts queried for the claim."""
        if answer.standing is not Standing.PASSED:  # the claim may have run, or no front knows it any more
            return ClaimDecision(Verdict.RAN)
        record = self.lookup(token.key)
        if record is not None and record.turn >= answer.turn:  # the record here is newer than the answer
            decision = self.decide_by_record(token, record)
        elif answer.to == self.front:
            is_own_store = answer.to_store == self.store
            return self.issue_permit(token, answer.turn) if is_own_store else ClaimDecision(Verdict.RAN)
        else:
            decision = ClaimDecision(Verdict.ASK, front=answer.to, store=answer.to_store, turn=answer.turn)
        return (
            ClaimDecision(Verdict.UNKNOWN)
            if decision.verdict is Verdict.ASK and hops >= MAX_HOPS
            else decision
        )

    def begin_attempt(self, permit: Permit, server: int, wall_s: float) -> ClaimWrite | None:
        """Returns the write that must be on disk before the set-up is sent.

        Returns None if the set-up must not be sent.
        """
        if self.permits.get(permit.token) != permit:
            return None
        record = self.lookup(permit.token.key)
        attempts = 0
        if record is not None:
            if record.turn > permit.turn or (
                record.turn == permit.turn and record.standing is not Standing.FREE
            ):
                return None
            attempts = record.attempts
        return ClaimWrite(
            permit.token.key,
            ClaimRecord(Standing.OUT, permit.turn, 0, 0, wall_s * 1000, attempts + 1, server),
            record,
        )

    def settle(self, permit: Permit, ran: bool, wall_s: float) -> ClaimWrite | None:
        """Returns the write that records the end of an attempt. It may be written late."""
        record = self.lookup(permit.token.key)
        if record is None or record.standing is not Standing.OUT or record.turn != permit.turn:
            return None
        if ran:
            self.end_permit(permit)
        standing = Standing.RAN if ran else Standing.FREE
        return ClaimWrite(permit.token.key, replace(record, standing=standing, at_ms=wall_s * 1000), record)

    def free_unsent(self, token: Token, turn: int, attempts: int, wall_s: float) -> ClaimWrite | None:
        """Frees a claim whose attempt was provably never sent, as reported by the process that had it.

        `attempts` is the attempt's number within its turn. A report on an earlier attempt than the recorded
        one proves nothing about the recorded one, so it returns None.
        """
        record = self.lookup(token.key)
        if (
            record is None
            or record.standing is not Standing.OUT
            or (record.turn, record.attempts) != (turn, attempts)
        ):
            return None
        return ClaimWrite(token.key, replace(record, standing=Standing.FREE, at_ms=wall_s * 1000), record)

    def end_permit(self, permit: Permit) -> None:
        """Ends a permit under which no more attempts are made."""
        if self.permits.get(permit.token) == permit:
            del self.permits[permit.token]
