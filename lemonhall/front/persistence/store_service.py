"""The front's store on the event loop: the ledger, playing sessions, the server list and learned state."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import structlog
import xxhash

from lemonhall import interface
from lemonhall.config.settings import StoreSettings
from lemonhall.loop import Loop, Timer
from lemonhall.recovery import StoreCheckpoint
from lemonhall.store import (
    ClaimRecord,
    ClaimWrite,
    Ledger,
    Permit,
    RecordError,
    Standing,
    Store,
    StoreWriter,
    Token,
    decode_record,
    encode_record,
)
from lemonhall.store.file import ANY_VALUE
from lemonhall.store.store_pb2 import Claim, Held, Learned, Server
from lemonhall.store.writer import CONFLICT

log = structlog.get_logger("lemonhall.front")
SAVE_LEARNED_PERIOD_S = 2.0
PRUNE_PERIOD_S = 60.0
RETRY_PERIOD_S = 0.5  # of test writes after a failed write, until one succeeds
# keys of records
LIST, LEARNED, TEST_WRITE, ZONES, RECOVERY = b"list", b"memory", b"tried", b"halls", b"return"
DAMAGED = ClaimRecord(Standing.RAN)  # replaces a claim that cannot be read, so that it is never set up again


def to_claim(record: ClaimRecord) -> Any:
    return Claim(
        standing=int(record.standing),
        turn=record.turn,
        to=record.to,
        to_store=record.to_store,
        at_ms=int(record.at_ms),
        attempts=record.attempts,
        server=record.server,
    )


def to_record(claim: Any) -> ClaimRecord:
    return ClaimRecord(
        Standing(claim.standing),
        claim.turn,
        claim.to,
        claim.to_store,
        float(claim.at_ms),
        claim.attempts,
        claim.server,
    )


def to_learned(memory: interface.LearnedState) -> Any:
    return Learned(
        at_ms=memory.recorded_at,
        length_ms=memory.mean_session_ms,
        ends=memory.sessions_ended,
        set_up_ms=memory.mean_set_up_ms,
        set_up_spread_ms=memory.set_up_deviation_ms,
        servers=[
            Server(
                id=server.server,
                started_ms=server.ready_at,
                evidence=server.failure_score,
                barred_until_ms=server.ejected_until,
                failed_at_ms=server.failed_at,
                others_kb=server.other_fronts_kb,
                heard_at_ms=server.updated_at,
            )
            for server in memory.servers
        ],
    )


def to_memory(learned: Any) -> interface.LearnedState:
    servers = tuple(
        interface.LearnedServerState(
            server.id,
            server.started_ms,
            server.evidence,
            server.barred_until_ms,
            server.failed_at_ms,
            server.others_kb,
            server.heard_at_ms,
        )
        for server in learned.servers
    )
    return interface.LearnedState(
        learned.at_ms, learned.length_ms, learned.ends, learned.set_up_ms, learned.set_up_spread_ms, servers
    )


class StoreService:
    """Reads and writes the store. `memory` returns the learned state of the module, None if it keeps none.

    Raises `BadInput` if the store cannot be opened. A damaged store is set aside and replaced by a new one.
    `lock` is the lock's file descriptor, if the predecessor in a handover passed it on.
    """

    def __init__(
        self,
        loop: Loop,
        settings: StoreSettings,
        front: int,
        random: Random,
        memory: Callable[[], interface.LearnedState | None],
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
            lock_fd=lock,
            replace_damaged=True,
        )
        self.front = front
        # by claim: the record that is not on disk yet, and the number of pending writes
        self.pending: dict[bytes, tuple[ClaimRecord, int]] = {}
        self.counts = Counter[str]()
        self.open_ledger()
        if self.store.damage:
            consequence = "a new store is begun; paid claims of the old one count as run"
            log.error(
                "store damaged",
                folder=str(settings.folder),
                reason=self.store.damage,
                consequence=consequence,
            )
            self.counts["set_aside"] += 1
        self.failing = ""
        self.on_failing_changed: Callable[[bool], object] = lambda failing: None
        self.prune_timer: Timer | None = None
        self.save_timer: Timer | None = None
        # serializes the state of recovery (checkpoints of other fronts)
        self.recovery_state: Callable[[], bytes | None] = lambda: None

    def open_ledger(self) -> None:
        """Starts a ledger and a writer on the store's current file."""
        self.store_id = int(self.store.about.store)
        self.is_new = self.store.created
        self.ledger = Ledger(
            self.front, self.store_id, self.lookup, self.pending_has, self.settings.keep_ms / 1000
        )
        self.ledger.pruned_s = int(self.store.about.pruned_s)
        self.writer = StoreWriter(self.loop, self.store)

    @property
    def checkpoint(self) -> StoreCheckpoint:
        """Identifies the last commit of the store. Later checkpoints of the same front compare greater."""
        return StoreCheckpoint(int(self.store.about.made_ms), self.store.last_commit)

    def reject_store(self, later: StoreCheckpoint | None) -> None:
        """Discards the ledger of a store that is outdated (others know the checkpoint `later`) or not
        confirmed.

        Must be called before anything of the ledger is used. State whose age is known is kept. An outdated
        file is set aside.
        """
        store_id = self.random.getrandbits(32)
        self.writer.close()
        if later:
            reason = (
                f"other fronts know it up to commit {later.commit_count}, "
                f"the file ends at {self.checkpoint.commit_count}"
            )
            records = (("list", LIST), ("learned", LEARNED), ("learned", RECOVERY))
            kept = [
                (table, key, value, ANY_VALUE)
                for table, key in records
                if (value := self.store.get_bytes(table, key)) is not None
            ]
            aside = self.store.replace_file(
                "older", store_id, max(int(self.wall() * 1000), later.created_ms + 1)
            )
            self.open_ledger()
            self.store.commit(kept)
            consequence = f"kept as {aside.name}; "
        else:
            reason, consequence = "no other front could confirm that it is the latest one", ""
            self.store.reset_claims(store_id)
            self.open_ledger()
        consequence += "paid claims of it count as run, shares of limits are requested again"
        log.error(
            "store not trusted", folder=str(self.settings.folder), reason=reason, consequence=consequence
        )
        self.counts["disowned"] += 1

    def start(self) -> None:
        self.prune()
        self.save_learned_state()

    # the ledger

    def lookup(self, key: bytes) -> ClaimRecord | None:
        """Returns the latest record of a claim, written or pending. An unreadable record counts as run."""
        if pending := self.pending.get(key):
            return pending[0]
        try:
            found = self.store.get("claims", key)
            return None if found is None else to_record(found)
        except (RecordError, ValueError) as error:
            self.counts["damaged"] += 1
            log.error("damaged claim record; treating the claim as run", claim=key.hex(), reason=str(error))
            return DAMAGED

    def pending_has(self, key: bytes) -> bool:
        return key in self.pending

    def new_token(self) -> Token:
        return self.ledger.issue_token(self.wall(), self.random.getrandbits(64))

    def write(
        self, write: ClaimWrite, then: Callable[[str], object] | None = None, urgent: bool = True
    ) -> None:
        """Queues a write. `then` is called with "" once it is on disk, or with the error."""
        key = write.key
        self.pending[key] = (write.record, self.pending.get(key, (write.record, 0))[1] + 1)

        def written(error: str) -> None:
            record, pending_writes = self.pending[key]
            if pending_writes == 1:
                del self.pending[key]
            else:
                self.pending[key] = (record, pending_writes - 1)
            self.on_written(error)
            if then:
                then(error)

        expected = None if write.expected is None else encode_record(key, to_claim(write.expected))
        self.writer.put(
            ("claims", key, encode_record(key, to_claim(write.record)), expected), written, urgent
        )

    def record_attempt(
        self, permit: Permit, server: int, then: Callable[[str], object]
    ) -> ClaimRecord | None:
        """Records an attempt before it is sent; `then` is called as by `write`.

        Returns None, and writes nothing, if the attempt must not be sent.
        """
        write = self.ledger.begin_attempt(permit, server, self.wall())
        if write is None:
            self.counts["attempts_stopped"] += 1
            return None
        self.counts["attempts"] += 1
        self.write(write, then)
        return write.record

    def settle(self, permit: Permit, ran: bool) -> None:
        """Records the end of an attempt, and whether the session may have run."""
        if write := self.ledger.settle(permit, ran, self.wall()):
            self.counts["settled_ran" if ran else "settled_free"] += 1
            self.write(write, urgent=False)

    def settle_unsent(self, token: Token, turn: int, attempt_number: int) -> None:
        """Records that an attempt of an earlier decider was provably never sent."""
        if write := self.ledger.free_unsent(token, turn, attempt_number, self.wall()):
            self.counts["settled_unsent"] += 1
            self.write(write, urgent=False)

    def on_written(self, error: str) -> None:
        """Handles the result of a write.

        While writes fail, paid sessions are refused and a test write is repeated.
        """
        if error == CONFLICT:
            self.counts["overtaken"] += 1
            return
        if error and not self.failing:
            log.error("cannot write the store; refusing paid sessions", reason=error)
            self.loop.call_later(RETRY_PERIOD_S, self.retry_write)
        elif self.failing and not error:
            log.warning("store is writable again; accepting paid sessions")
        self.counts["failed_writes"] += bool(error)
        previous_error, self.failing = self.failing, error
        if bool(previous_error) != bool(error):
            self.on_failing_changed(bool(error))

    def retry_write(self) -> None:
        if self.failing and self.writer.wake_receiver.fileno() >= 0:
            self.writer.put(("list", TEST_WRITE, b"", ANY_VALUE), self.on_written)
            self.loop.call_later(RETRY_PERIOD_S, self.retry_write)

    # playing sessions

    def save_session(self, session: str, claim: str, path: str, cls: int, server: int) -> None:
        key = session.encode()
        held = Held(claim=claim, path=path, cls=cls, server=server, since_ms=int(self.wall() * 1000))
        self.writer.put(("held", key, encode_record(key, held), ANY_VALUE), urgent=False)

    def remove_session(self, session: str) -> None:
        self.writer.put(("held", session.encode(), None, ANY_VALUE), urgent=False)

    def forget_lost_sessions(self) -> int:
        """Removes the sessions that were playing when an earlier process ended, and returns their number."""
        keys = [key for key, _ in self.store.records("held")]
        for key in keys:
            self.writer.put(("held", key, None, ANY_VALUE))
        return len(keys)

    # server list and learned state

    def save_list(self, data: bytes) -> None:
        self.writer.put(("list", LIST, data, ANY_VALUE), self.on_written)

    def load_list(self) -> bytes | None:
        return self.store.get_bytes("list", LIST)

    def save_learned_state(self) -> None:
        if memory := self.memory():
            self.writer.put(
                ("learned", LEARNED, encode_record(LEARNED, to_learned(memory)), ANY_VALUE), self.on_written
            )
        if (state := self.recovery_state()) is not None:
            self.put_blob(RECOVERY, state, self.on_written)
        self.save_timer = self.loop.call_later(SAVE_LEARNED_PERIOD_S, self.save_learned_state)

    def load_learned_state(self) -> interface.LearnedState | None:
        value = self.store.get_bytes("learned", LEARNED)
        if value is None:
            return None
        try:
            return to_memory(decode_record(LEARNED, value, Learned))
        except RecordError as error:
            log.warning("damaged record of learned state; starting without it", reason=str(error))
            return None

    # state of other subsystems, in their own formats

    def put_blob(self, name: bytes, data: bytes, then: Callable[[str], object]) -> None:
        self.writer.put(("learned", name, xxhash.xxh3_64_digest(data) + data, ANY_VALUE), then)

    def load_blob(self, name: bytes, subsystem: str) -> bytes | None:
        """Returns the stored state; `b""` if none was ever stored; None if it, or the store, is damaged."""
        value = self.store.get_bytes("learned", name)
        if value is None:
            return None if self.store.damage else b""
        if value[:8] != xxhash.xxh3_64_digest(value[8:]):
            self.counts["damaged"] += 1
            log.error(f"stored state of {subsystem} is damaged")
            return None
        return value[8:]

    def save_zones(self, data: bytes, then: Callable[[str], object]) -> None:
        """Queues a write. `then` is called with "" once it is on disk, or with the error."""

        def written(error: str) -> None:
            self.on_written(error)
            then(error)

        self.put_blob(ZONES, data, written)

    def load_zones(self) -> bytes | None:
        """As `load_blob`; also None for a rejected store, since what this front had lent is not known."""
        return None if self.counts["disowned"] else self.load_blob(ZONES, "halls")

    def load_recovery(self) -> bytes | None:
        return self.load_blob(RECOVERY, "recovery")

    # maintenance

    def prune(self) -> None:
        """Deletes claims after the retention time. Their tokens show by themselves that they are too old."""
        oldest = max(0, int(self.wall() - self.settings.keep_ms / 1000) - 1)
        self.ledger.pruned_s = max(self.ledger.pruned_s, oldest - 1)
        try:
            self.counts["pruned"] += self.store.prune(Token(oldest, 0, 0, 0).key, self.ledger.pruned_s)
        except Exception as error:  # such as a full disk
            log.warning("cannot delete old claims; retrying after the next period", reason=str(error))
        self.prune_timer = self.loop.call_later(PRUNE_PERIOD_S, self.prune)

    def stop_upkeep(self) -> None:
        """Stops pruning and saving, which a successor does from now on."""
        for timer in (self.prune_timer, self.save_timer):
            if timer:
                timer.cancel()

    def close(self, handed_over: bool = False) -> None:
        """Completes all queued writes and closes the store.

        The learned state is saved unless the store was handed over: the successor's is newer by then.
        """
        self.stop_upkeep()
        if self.writer.wake_receiver.fileno() < 0:
            return
        if not handed_over and (memory := self.memory()):
            self.writer.put(("learned", LEARNED, encode_record(LEARNED, to_learned(memory)), ANY_VALUE))
        self.writer.close()
        self.store.close()
