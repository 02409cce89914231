"""Who may set up a paid claim, and whether it may have run already. Pure: no I/O, no clock, no chance.

A claim has a token, made by the front that first takes it and given back by a viewer that comes again. At any
time at most one front may decide on it: the one that made it, until it passes it on, and so along the chain.
`turn` counts the passings, so old words about a claim are told from new ones. What a front has written
counts, not what it remembers, so each step that others rely on is written before it is told or done:

    OUT     before the set-up leaves      after a crash it stays OUT: it may have run, for ever
    PASSED  before the other front hears  after a crash this front still knows that it is not its own

What is written late (an end) errs to the safe side: OUT where FREE would be true.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum, IntEnum

KEY = struct.Struct(">IIIQ")
HOPS_MOST = 8


class Standing(IntEnum):
    """As in proto/store.proto."""

    FREE = 1
    OUT = 2
    RAN = 3
    PASSED = 4


@dataclass(frozen=True, order=True)
class Token:
    """A claim's identity. `issued_s`: Unix time; `store`: the file that the front kept its ledger in then."""

    issued_s: int
    front: int
    store: int
    serial: int

    @property
    def key(self) -> bytes:
        """In the order of time, so that the oldest come first."""
        return KEY.pack(self.issued_s, self.front, self.store, self.serial)

    def __str__(self) -> str:
        return f"{self.issued_s:08x}-{self.front:x}-{self.store:08x}-{self.serial:016x}"

    @staticmethod
    def new(wall_s: float, pruned_s: int, front: int, store: int, serial: int) -> Token:
        """Of now, but behind what the ledger may have taken away already. `serial`: 64 bits of chance."""
        return Token(max(int(wall_s), pruned_s + 1), front, store, serial)

    @staticmethod
    def of_key(key: bytes) -> Token:
        """Raises `struct.error` if it is none."""
        return Token(*KEY.unpack(key))

    @staticmethod
    def parse(text: str) -> Token | None:
        parts = text.strip().split("-")
        sizes = (8, 8, 8, 16)
        if len(parts) != 4 or any(not 1 <= len(p) <= n for p, n in zip(parts, sizes, strict=True)):
            return None
        try:
            values = [int(p, 16) for p in parts]
        except ValueError:
            return None
        return Token(*values) if all(p.isalnum() for p in parts) else None


@dataclass(frozen=True)
class Record:
    standing: Standing
    turn: int = 0
    to: int = 0
    to_store: int = 0
    at_ms: float = 0.0
    attempts: int = 0
    server: int = 0


class Verdict(Enum):
    GO = "go"  # this front may set it up
    ASK = "ask"  # another front must say first
    RAN = "ran"  # it may have run: never again
    UNKNOWN = "unknown"  # nobody can say now


@dataclass(frozen=True)
class Hold:
    """The right to set up a claim; void once another hold of it is given, or it is passed on."""

    token: Token
    turn: int
    number: int


@dataclass(frozen=True)
class Begun:
    verdict: Verdict
    hold: Hold | None = None
    front: int = 0  # ASK: whom
    store: int = 0  # ASK: the ledger that it had when it was given the claim
    turn: int = 0  # ASK: in which turn it was


@dataclass(frozen=True)
class Write:
    """`before`: what was known when this was decided. If something else lies there by now (a successor shares
    the file for a while), it is not written."""

    key: bytes
    record: Record
    before: Record | None = None


@dataclass(frozen=True)
class Answer:
    """To another front. `PASSED`: the claim is `to`'s, since `turn`; RAN: it may have run."""

    standing: Standing | None  # None: not known here
    turn: int = 0
    to: int = 0
    to_store: int = 0


class Ledger:
    """`lookup(key)` gives what is written, or is about to be; `waits(key)`: it is only about to be. `keep_s`:
    for how long a claim is remembered; an older token may have run. `wall_s` in the calls is Unix time."""

    def __init__(
        self,
        front: int,
        store: int,
        lookup: Callable[[bytes], Record | None],
        waits: Callable[[bytes], bool],
        keep_s: float,
    ) -> None:
        self.front, self.store, self.keep_s = front, store, keep_s
        self.lookup, self.waits = lookup, waits
        self.pruned_s = 0  # claims made up to then may have been taken away
        self.holds: dict[Token, Hold] = {}
        self.given = 0

    def make(self, wall_s: float, serial: int) -> Token:
        """A claim that is new, also by a clock that has gone back."""
        return Token.new(wall_s, self.pruned_s, self.front, self.store, serial)

    def too_old(self, token: Token, wall_s: float) -> bool:
        return wall_s - token.issued_s > self.keep_s or token.issued_s <= self.pruned_s

    def begin(self, token: Token, wall_s: float) -> Begun:
        """A viewer asks for the claim here."""
        record = self.lookup(token.key)
        if self.too_old(token, wall_s):
            return Begun(Verdict.RAN)
        if record is None:
            if token.front != self.front:
                return Begun(Verdict.ASK, front=token.front, store=token.store)
            if token.store != self.store:  # of a ledger that this front has no more
                return Begun(Verdict.RAN)
            return self.hold(token, 0)
        return self.judge(token, record)

    def judge(self, token: Token, record: Record) -> Begun:
        if record.standing is Standing.FREE:
            return self.hold(token, record.turn)
        if record.standing is Standing.PASSED:
            return Begun(Verdict.ASK, front=record.to, store=record.to_store, turn=record.turn)
        return Begun(Verdict.RAN)

    def hold(self, token: Token, turn: int) -> Begun:
        self.given += 1
        hold = self.holds[token] = Hold(token, turn, self.given)
        return Begun(Verdict.GO, hold)

    def asked(
        self, token: Token, by: tuple[int, int], store: int, turn: int, wall_s: float
    ) -> tuple[Answer | None, Write | None]:
        """Another front (`by`: its number and its ledger's) asks, having heard that the claim is this one's,
        with the ledger `store`, since `turn` (0: by its token).

        The answer must not leave before the write, if there is one, is on disk. None: nothing can be said
        yet, what it would rest on is not on disk; they ask again.
        """
        if self.waits(token.key):
            return None, None
        record = self.lookup(token.key)
        if self.too_old(token, wall_s):
            return Answer(Standing.RAN), None
        if record is not None and record.turn >= turn:
            if record.standing is Standing.PASSED:
                return Answer(Standing.PASSED, record.turn, record.to, record.to_store), None
            if record.standing is not Standing.FREE:
                return Answer(Standing.RAN), None
            turn = record.turn
        elif store != self.store or (turn == 0 and (token.front, token.store) != (self.front, self.store)):
            return Answer(None), None  # it was given to a ledger that this front has no more, or never
        self.holds.pop(token, None)
        passed = Record(Standing.PASSED, turn + 1, *by, wall_s * 1000)
        return Answer(Standing.PASSED, turn + 1, *by), Write(token.key, passed, record)

    def answered(self, token: Token, answer: Answer, hops: int) -> Begun:
        """What the front that was asked said; `hops`: how many were asked before."""
        if answer.standing is not Standing.PASSED:  # it may have run, or nobody knows any more
            return Begun(Verdict.RAN)
        record = self.lookup(token.key)
        if record is not None and record.turn >= answer.turn:  # what is written here is newer
            begun = self.judge(token, record)
        elif answer.to == self.front:
            mine = answer.to_store == self.store
            return self.hold(token, answer.turn) if mine else Begun(Verdict.RAN)
        else:
            begun = Begun(Verdict.ASK, front=answer.to, store=answer.to_store, turn=answer.turn)
        return Begun(Verdict.UNKNOWN) if begun.verdict is Verdict.ASK and hops >= HOPS_MOST else begun

    def attempt(self, hold: Hold, server: int, wall_s: float) -> Write | None:
        """What must be on disk before the set-up may leave; None: it may not leave at all."""
        if self.holds.get(hold.token) != hold:
            return None
        record = self.lookup(hold.token.key)
        made = 0
        if record is not None:
            if record.turn > hold.turn or (record.turn == hold.turn and record.standing is not Standing.FREE):
                return None
            made = record.attempts
        return Write(
            hold.token.key,
            Record(Standing.OUT, hold.turn, 0, 0, wall_s * 1000, made + 1, server),
            record,
        )

    def settle(self, hold: Hold, ran: bool, wall_s: float) -> Write | None:
        """What is known of an attempt's end. It may be written late."""
        record = self.lookup(hold.token.key)
        if record is None or record.standing is not Standing.OUT or record.turn != hold.turn:
            return None
        if ran:
            self.over(hold)
        standing = Standing.RAN if ran else Standing.FREE
        return Write(hold.token.key, replace(record, standing=standing, at_ms=wall_s * 1000), record)

    def unsent(self, token: Token, turn: int, made: int, wall_s: float) -> Write | None:
        """The attempt that was written as the `made`th in its turn provably never left, says who had it.

        A word about an earlier attempt than the one that is written says nothing of that one."""
        record = self.lookup(token.key)
        if (
            record is None
            or record.standing is not Standing.OUT
            or (record.turn, record.attempts) != (turn, made)
        ):
            return None
        return Write(token.key, replace(record, standing=Standing.FREE, at_ms=wall_s * 1000), record)

    def over(self, hold: Hold) -> None:
        """Nothing more is asked under this hold."""
        if self.holds.get(hold.token) == hold:
            del self.holds[hold.token]
