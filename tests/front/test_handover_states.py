"""Model check of a handover: every order of steps, with either process dying at each of them.

Checked: no batch is used by both processes, none is lost unless its owner died, and one process serves.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from typing import Any

import pytest

from lemonhall.front.handover.state_machine import Action, Effect, HandoverSource, HandoverTarget


class Process:
    def __init__(self, machine: Any, owns: set[int], serves: bool) -> None:
        self.machine, self.owns, self.serves = machine, owns, serves
        self.alive = True
        self.suspended: set[int] = set()
        self.pending: list[Effect] = []
        self.drains = False
        self.inbox: list[tuple[str, int]] = []
        self.saw_peer_end = False


class HandoverModel:
    """Batches 1 to `batches` are connections; 0 is the front. `tokens`: batches whose token is free."""

    def __init__(
        self, batches: int, source: HandoverSource | None = None, target: HandoverTarget | None = None
    ) -> None:
        numbers = set(range(batches + 1))
        self.old = Process(source or HandoverSource(), set(numbers), True)
        self.new = Process(target or HandoverTarget(), set(), False)
        self.batches = batches
        self.tokens: set[int] = set()
        self.lost: set[int] = set()  # owned by a process that died
        self.deaths = 1
        self.timeouts = 1  # how often the source may run into its timeout
        self.ended_in_order = False  # a process ended after the handover, or because it cannot take over
        self.unusable = 1  # how many batches the target cannot use
        self.old.pending = self.old.machine.on_hello(True)

    def key(self) -> str:
        def describe(p: Process) -> Any:
            fields = sorted((k, str(v)) for k, v in vars(p.machine).items())
            pending = [(e.action.name, e.batch) for e in p.pending]
            flags = (p.serves, p.alive, p.saw_peer_end, p.drains)
            return (fields, sorted(p.owns), sorted(p.suspended), pending, p.inbox, flags)

        rest = (
            sorted(self.tokens),
            sorted(self.lost),
            self.deaths,
            self.timeouts,
            self.unusable,
            self.ended_in_order,
        )
        return repr((describe(self.old), describe(self.new), rest))

    def steps(self) -> Iterator[HandoverModel]:
        for name in ("old", "new"):
            process: Process = getattr(self, name)
            if not process.alive:
                continue
            if self.deaths:
                yield self.after(HandoverModel.die, name)
            if process.pending:
                yield self.after(HandoverModel.perform, name)
                continue  # a process does one thing at a time
            if process.inbox:
                yield self.after(HandoverModel.receive, name, True)
                if self.unusable and process is self.new and process.inbox[0][0] == "batch":
                    yield self.after(HandoverModel.receive, name, False)
            other = self.new if name == "old" else self.old
            if not other.alive and not process.inbox and not process.saw_peer_end:
                yield self.after(HandoverModel.see_peer_end, name)
        if (
            self.timeouts
            and self.old.alive
            and not self.old.pending
            and self.old.machine.pending_batch is not None
        ):
            yield self.after(HandoverModel.time_out)

    def after(self, step: Any, *args: Any) -> HandoverModel:
        successor = copy.deepcopy(self)
        step(successor, *args)
        return successor

    def die(self, name: str) -> None:
        process: Process = getattr(self, name)
        process.alive = process.serves = False
        self.deaths -= 1
        self.lost |= process.owns
        process.owns, process.pending = set(), []

    def see_peer_end(self, name: str) -> None:
        process: Process = getattr(self, name)
        process.saw_peer_end = True
        process.pending += process.machine.on_channel_closed()

    def time_out(self) -> None:
        self.timeouts -= 1
        self.old.pending += self.old.machine.on_claim_reported(self.old.machine.pending_batch)

    def receive(self, name: str, usable: bool) -> None:
        process: Process = getattr(self, name)
        kind, batch = process.inbox.pop(0)
        if kind == "last":
            process.pending += process.machine.on_confirmation_requested()
        elif kind == "here":
            process.pending += process.machine.on_confirmed()
        elif kind == "batch":
            self.unusable -= not usable
            process.pending += process.machine.on_batch_received(batch, usable)
        else:
            process.pending += process.machine.on_claim_reported(batch)

    def perform(self, name: str) -> None:
        process: Process = getattr(self, name)
        other = self.new if name == "old" else self.old
        effect = process.pending.pop(0)
        batch, action = effect.batch, effect.action
        if action is Action.SEND:
            process.suspended.add(batch)
            self.tokens.add(batch)
            other.inbox.append(("batch", batch))
        elif action is Action.CLAIM_TOKEN:
            won = batch in self.tokens
            self.tokens.discard(batch)
            if won:
                process.owns.add(batch)
            elif process is self.old:
                process.owns.discard(batch)
            process.pending += process.machine.on_token_claimed(batch, won)
            if won and process is self.new:
                self.old.owns.discard(batch)  # it is suspended there and not used any more
        elif action is Action.RESUME:
            process.suspended.discard(batch)
            if batch == 0:
                process.owns.add(0)
                process.serves = True
        elif action is Action.RELEASE:
            process.suspended.discard(batch)
            process.serves &= batch != 0
        elif action is Action.PREPARE_NEXT:
            remaining = sorted(n for n in process.owns if n and n not in process.suspended)
            process.pending += (
                process.machine.on_batch_ready() if remaining else process.machine.on_nothing_left()
            )
        elif action is Action.START:
            process.owns.add(batch)
        elif action is Action.SERVE:
            process.serves = True
            process.owns.add(0)
        elif action is Action.FINISH:
            process.alive, self.ended_in_order = False, True
        elif action in (Action.ASK_CONFIRMATION, Action.CONFIRM):
            other.inbox.append(("last" if action is Action.ASK_CONFIRMATION else "here", 0))
        elif action is Action.DRAIN:
            process.drains = True
        elif action is Action.REPORT_CLAIM:
            other.inbox.append(("claimed", batch))
        elif action is Action.ABORT:
            process.alive, self.ended_in_order = False, True

    def violation(self) -> str:
        both = self.old.owns & self.new.owns if self.old.alive and self.new.alive else set()
        in_use = both - self.old.suspended
        if in_use:
            return f"both own {in_use}"
        return ""

    def violation_at_rest(self) -> str:
        """Checked when no step is possible except faults."""
        if not self.old.alive and not self.new.alive:
            return "" if self.ended_in_order else "no process is left, though at most one died"
        if not self.old.serves and not self.new.serves:
            return "no process serves"
        owned = (self.old.owns if self.old.alive else set()) | (self.new.owns if self.new.alive else set())
        missing = set(range(1, self.batches + 1)) - owned - self.lost
        if missing:
            return f"no process owns {missing}"
        stuck = self.old.suspended & self.old.owns if self.old.alive else set()
        return f"suspended for good {stuck}" if stuck else ""


def explore(first: HandoverModel) -> tuple[int, list[str]]:
    """Visits all reachable states. Returns their number and the violations found."""
    seen, violations, stack = set[str](), list[str](), [first]
    while stack:
        state = stack.pop()
        key = state.key()
        if key in seen:
            continue
        seen.add(key)
        steps = list(state.steps())
        # Only faults are possible.
        at_rest = all(s.deaths < state.deaths or s.timeouts < state.timeouts for s in steps)
        if violation := state.violation() or (state.violation_at_rest() if at_rest else ""):
            violations.append(violation)
            if len(violations) > 5:
                break
        stack += steps
    return len(seen), violations


def test_one_process_serves_and_no_batch_is_shared_or_lost_whichever_process_dies() -> None:
    states, violations = explore(HandoverModel(2))
    assert not violations, violations
    assert states > 300


class ReclaimsWithoutToken(HandoverSource):
    """Takes a batch back after the timeout without claiming its token."""

    def on_claim_reported(self, batch: int) -> list[Effect]:
        if batch == self.pending_batch:
            self.pending_batch = None
            return [Effect(Action.RESUME, batch)]
        return []


class NeverServesAgain(HandoverSource):
    """Does not become the front again when its successor dies."""

    def resume_serving(self) -> list[Effect]:
        return []


class ForgetsPendingBatch(HandoverSource):
    """Gives up the batch in progress when its successor dies."""

    def on_channel_closed(self) -> list[Effect]:
        self.channel_closed = True
        self.pending_batch = None
        return self.resume_serving()


class OwnsWithoutToken(HandoverTarget):
    """Owns every batch it receives, also one that the old front has taken back."""

    def on_batch_received(self, batch: int, usable: bool) -> list[Effect]:
        return self.on_token_claimed(batch, True) if usable else super().on_batch_received(batch, usable)


@pytest.mark.parametrize(
    "source,target",
    [
        (NeverServesAgain, HandoverTarget),
        (ForgetsPendingBatch, HandoverTarget),
        (HandoverSource, OwnsWithoutToken),
        (ReclaimsWithoutToken, HandoverTarget),
    ],
)
def test_each_safeguard_is_necessary(source: type[HandoverSource], target: type[HandoverTarget]) -> None:
    first = HandoverModel(2, source(), target())
    assert explore(first)[1]
