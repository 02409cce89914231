"""What a front keeps on disk, from the loop: the ledger, sessions that play, the list, what was learned."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import structlog
import xxhash

from lemonhall import interface as i
from lemonhall.config.settings import StoreSettings
from lemonhall.loop import Loop, Timer
from lemonhall.recovery import StoreCheckpoint
from lemonhall.store import (
    BadRecord,
    Hold,
    Ledger,
    Record,
    Standing,
    Store,
    Token,
    Write,
    Writer,
    unwrap,
    wrap,
)
from lemonhall.store.file import ANYTHING
from lemonhall.store.store_pb2 import Claim, Held, Learned, Server
from lemonhall.store.writer import OTHERWISE

log = structlog.get_logger("lemonhall.front")
MEMORY_EVERY_S = 2.0
PRUNE_EVERY_S = 60.0
TRY_EVERY_S = 0.5  # after a write that failed, until one succeeds
LIST, MEMORY, TRIED, HALLS, RETURN = b"list", b"memory", b"tried", b"halls", b"return"
DAMAGED = Record(Standing.RAN)  # what stands for a claim that cannot be read: never again


def to_claim(record: Record) -> Any:
    return Claim(
        standing=int(record.standing),
        turn=record.turn,
        to=record.to,
        to_store=record.to_store,
        at_ms=int(record.at_ms),
        attempts=record.attempts,
        server=record.server,
    )


def to_record(claim: Any) -> Record:
    return Record(
        Standing(claim.standing),
        claim.turn,
        claim.to,
        claim.to_store,
        float(claim.at_ms),
        claim.attempts,
        claim.server,
    )


def to_learned(memory: i.LearnedState) -> Any:
    return Learned(
        at_ms=memory.recorded_at,
        length_ms=memory.mean_session_ms,
        ends=memory.sessions_ended,
        set_up_ms=memory.mean_set_up_ms,
        set_up_spread_ms=memory.set_up_deviation_ms,
        servers=[
            Server(
                id=s.server,
                started_ms=s.ready_at,
                evidence=s.failure_score,
                barred_until_ms=s.ejected_until,
                failed_at_ms=s.failed_at,
                others_kb=s.other_fronts_kb,
                heard_at_ms=s.updated_at,
            )
            for s in memory.servers
        ],
    )


def to_memory(learned: Any) -> i.LearnedState:
    servers = tuple(
        i.LearnedServerState(
            s.id,
            s.started_ms,
            s.evidence,
            s.barred_until_ms,
            s.failed_at_ms,
            s.others_kb,
            s.heard_at_ms,
        )
        for s in learned.servers
    )
    return i.LearnedState(
        learned.at_ms,
        learned.length_ms,
        learned.ends,
        learned.set_up_ms,
        learned.set_up_spread_ms,
        servers,
    )


class StoreService:
    """Raises `BadInput` if the store cannot be opened. `memory` gives what the module has learned."""

    def __init__(
        self,
        loop: Loop,
        settings: StoreSettings,
        front: int,
        random: Random,
        memory: Callable[[], i.LearnedState | None],
        wall: Callable[[], float] = time.time,
        lock: int | None = None,
    ) -> None:
        self.loop, self.settings, self.random, self.memory, self.wall = loop, settings, random, memory, wall
        self.store = Store(
            Path(settings.folder),
            front,
            settings.size,
            random.getrandbits(32),
            wall() * 1000,
            lock=lock,
            aside=True,
        )
        self.front = front
        self.pending: dict[bytes, tuple[Record, int]] = {}  # claims on their way to the disk
        self.counts = Counter[str]()
        self.open_ledger()
        if self.store.damaged:
            meaning = "a new store is begun; paid claims of the old one count as run"
            log.error("store damaged", folder=str(settings.folder), why=self.store.damaged, means=meaning)
            self.counts["set_aside"] += 1
        self.failing = ""
        self.on_failing_changed: Callable[[bool], object] = lambda failing: None  # of writing
        self.prune_timer: Timer | None = None
        self.memory_timer: Timer | None = None
        self.recovery_state: Callable[[], bytes | None] = lambda: None  # what is kept of the others' marks

    def open_ledger(self) -> None:
        """On the file as it is."""
        self.number = int(self.store.about.store)
        self.made = self.store.created
        self.ledger = Ledger(
            self.front, self.number, self.lookup, self.pending_has, self.settings.keep_ms / 1000
        )
        self.ledger.pruned_s = int(self.store.about.pruned_s)
        self.writer = Writer(self.loop, self.store)

    @property
    def checkpoint(self) -> StoreCheckpoint:
        """How far the store is written; a later mark of this front's is greater."""
        return StoreCheckpoint(int(self.store.about.made_ms), self.store.commits)

    def reject_store(self, later: StoreCheckpoint | None) -> None:
        """The store is not the last one (others heard of `later`), or nobody can say so: nothing of its
        ledger is used, before anything was. What may be believed by its age is kept; an older file is put
        aside."""
        draw = self.random.getrandbits(32)
        self.writer.close()
        if later:
            why = (
                f"others heard of it up to commit {later.commit_count}, it has {self.checkpoint.commit_count}"
            )
            names = (("list", LIST), ("learned", MEMORY), ("learned", RETURN))
            kept = [(t, k, v, ANYTHING) for t, k in names if (v := self.store.raw(t, k)) is not None]
            aside = self.store.renew("older", draw, max(int(self.wall() * 1000), later.created_ms + 1))
            self.open_ledger()
            self.store.commit(kept)
            means = f"kept as {aside.name}; "
        else:
            why, means = "nobody could say whether it is the last one", ""
            self.store.renumber(draw)
            self.open_ledger()
        means += "paid claims of it count as run, parts of limits are asked for anew"
        log.error("store not believed", folder=str(self.settings.folder), why=why, means=means)
        self.counts["disowned"] += 1

    def start(self) -> None:
        self.prune()
        self.save_memory()

    # the ledger

    def lookup(self, key: bytes) -> Record | None:
        """What is written of a claim, or is on its way. One that cannot be read may have run."""
        if waiting := self.pending.get(key):
            return waiting[0]
        try:
            found = self.store.get("claims", key)
            return None if found is None else to_record(found)
        except (BadRecord, ValueError) as error:
            self.counts["damaged"] += 1
            log.error("damaged claim", claim=key.hex(), why=str(error))
            return DAMAGED

    def pending_has(self, key: bytes) -> bool:
        return key in self.pending

    def new_token(self) -> Token:
        return self.ledger.make(self.wall(), self.random.getrandbits(64))

    def write(self, write: Write, then: Callable[[str], object] | None = None, soon: bool = True) -> None:
        """`then` is told "" once it is on disk, else why it is not."""
        key = write.key
        self.pending[key] = (write.record, self.pending.get(key, (write.record, 0))[1] + 1)

        def written(why: str) -> None:
            record, waiting = self.pending[key]
            if waiting == 1:
                del self.pending[key]
            else:
                self.pending[key] = (record, waiting - 1)
            self.on_written(why)
            if then:
                then(why)

        before = None if write.before is None else wrap(key, to_claim(write.before))
        self.writer.put(("claims", key, wrap(key, to_claim(write.record)), before), written, soon)

    def attempt(self, hold: Hold, server: int, then: Callable[[str], object]) -> Record | None:
        """Writes that an attempt may leave, and says when it may. None: it may not, nothing is written."""
        write = self.ledger.attempt(hold, server, self.wall())
        if write is None:
            self.counts["attempts_stopped"] += 1
            return None
        self.counts["attempts"] += 1
        self.write(write, then)
        return write.record

    def settle(self, hold: Hold, ran: bool) -> None:
        if write := self.ledger.settle(hold, ran, self.wall()):
            self.counts["settled_ran" if ran else "settled_free"] += 1
            self.write(write, soon=False)

    def settle_unsent(self, token: Token, turn: int, made: int) -> None:
        """An attempt that was written by an earlier decider provably never left."""
        if write := self.ledger.unsent(token, turn, made, self.wall()):
            self.counts["settled_unsent"] += 1
            self.write(write, soon=False)

    def on_written(self, why: str) -> None:
        """How a write went. While they fail no paid session is taken; small tries go on meanwhile."""
        if why == OTHERWISE:
            self.counts["overtaken"] += 1
            return
        if why and not self.failing:
            log.error("store cannot be written, no paid sessions", why=why)
            self.loop.call_later(TRY_EVERY_S, self.try_again)
        elif self.failing and not why:
            log.warning("store can be written again")
        self.counts["failed_writes"] += bool(why)
        was, self.failing = self.failing, why
        if bool(was) != bool(why):
            self.on_failing_changed(bool(why))

    def try_again(self) -> None:
        if self.failing and self.writer.woken.fileno() >= 0:
            self.writer.put(("list", TRIED, b"", ANYTHING), self.on_written)
            self.loop.call_later(TRY_EVERY_S, self.try_again)

    # sessions that play

    def save_session(self, session: str, claim: str, path: str, cls: int, server: int) -> None:
        key = session.encode()
        held = Held(claim=claim, path=path, cls=cls, server=server, since_ms=int(self.wall() * 1000))
        self.writer.put(("held", key, wrap(key, held), ANYTHING), soon=False)

    def remove_session(self, session: str) -> None:
        self.writer.put(("held", session.encode(), None, ANYTHING), soon=False)

    def forget_lost_sessions(self) -> int:
        """Sessions that played when this was last written: they ended with their process. Forgets them."""
        keys = [key for key, _ in self.store.each("held")]
        for key in keys:
            self.writer.put(("held", key, None, ANYTHING))
        return len(keys)

    # the list and what was learned

    def save_list(self, data: bytes) -> None:
        self.writer.put(("list", LIST, data, ANYTHING), self.on_written)

    def load_list(self) -> bytes | None:
        return self.store.raw("list", LIST)

    def save_memory(self) -> None:
        if memory := self.memory():
            self.writer.put(("learned", MEMORY, wrap(MEMORY, to_learned(memory)), ANYTHING), self.on_written)
        if (kept := self.recovery_state()) is not None:
            self.put_blob(RETURN, kept, self.on_written)
        self.memory_timer = self.loop.call_later(MEMORY_EVERY_S, self.save_memory)

    def load_memory(self) -> i.LearnedState | None:
        value = self.store.raw("learned", MEMORY)
        if value is None:
            return None
        try:
            return to_memory(unwrap(MEMORY, value, Learned))
        except BadRecord as error:
            log.warning("what was learned is not used", why=str(error))
            return None

    # what machines keep, in forms of their own

    def put_blob(self, name: bytes, data: bytes, then: Callable[[str], object]) -> None:
        self.writer.put(("learned", name, xxhash.xxh3_64_digest(data) + data, ANYTHING), then)

    def load_blob(self, name: bytes, what: str) -> bytes | None:
        """What was kept; `b""` if nothing ever was; None if it is damaged."""
        value = self.store.raw("learned", name)
        if value is None:
            return None if self.store.damaged else b""
        if value[:8] != xxhash.xxh3_64_digest(value[8:]):
            self.counts["damaged"] += 1
            log.error(f"what was kept of {what} is damaged")
            return None
        return value[8:]

    def save_zones(self, data: bytes, then: Callable[[str], object]) -> None:
        """`then` is told "" once it is on disk, else why it is not."""

        def written(why: str) -> None:
            self.on_written(why)
            then(why)

        self.put_blob(HALLS, data, written)

    def load_zones(self) -> bytes | None:
        """As `load_own`; None as well if the store was not believed: what it had lent is not known."""
        return None if self.counts["disowned"] else self.load_blob(HALLS, "halls")

    def load_recovery(self) -> bytes | None:
        return self.load_blob(RETURN, "the return")

    # upkeep

    def prune(self) -> None:
        """Claims older than they are kept for go: a token of that age is known to be too old by itself."""
        oldest = max(0, int(self.wall() - self.settings.keep_ms / 1000) - 1)
        self.ledger.pruned_s = max(self.ledger.pruned_s, oldest - 1)
        try:
            self.counts["pruned"] += self.store.prune(Token(oldest, 0, 0, 0).key, self.ledger.pruned_s)
        except Exception as error:  # a full disk: tried again
            log.warning("old claims not taken away", why=str(error))
        self.prune_timer = self.loop.call_later(PRUNE_EVERY_S, self.prune)

    def stop_upkeep(self) -> None:
        """No upkeep from here on: a successor does it."""
        for timer in (self.prune_timer, self.memory_timer):
            if timer:
                timer.cancel()

    def close(self, handed_over: bool = False) -> None:
        """All that waits is written first; what was learned not if a successor knows more by now."""
        self.stop_upkeep()
        if self.writer.woken.fileno() < 0:
            return
        if not handed_over and (memory := self.memory()):
            self.writer.put(("learned", MEMORY, wrap(MEMORY, to_learned(memory)), ANYTHING))
        self.writer.close()
        self.store.close()
