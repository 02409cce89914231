"""Every order of steps of a change of guard, either process dying at each: who owns what, and who serves."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from typing import Any

import pytest

from lemonhall.front.handover.state_machine import Do, Effect, HandoverSource, HandoverTarget


class Process:
    def __init__(self, machine: Any, owns: set[int], serves: bool) -> None:
        self.machine, self.owns, self.serves = machine, owns, serves
        self.alive = True
        self.frozen: set[int] = set()
        self.todo: list[Effect] = []
        self.drains = False
        self.inbox: list[tuple[str, int]] = []
        self.heard_end = False


class World:
    """Portions 1 to `portions` are connections; 0 is the front itself. `batons`: those with their byte."""

    def __init__(
        self, portions: int, giver: HandoverSource | None = None, taker: HandoverTarget | None = None
    ) -> None:
        things = set(range(portions + 1))
        self.old = Process(giver or HandoverSource(), set(things), True)
        self.new = Process(taker or HandoverTarget(), set(), False)
        self.portions = portions
        self.batons: set[int] = set()
        self.dead: set[int] = set()  # owned by a process that died
        self.deaths = 1
        self.slow = 1  # times that the giver may lose patience
        self.left = False  # one ended in order: relieved, called off, or of no use
        self.bad = 1  # portions that the successor cannot use
        self.old.todo = self.old.machine.asked(True)

    def key(self) -> str:
        def of(p: Process) -> Any:
            m = sorted((k, str(v)) for k, v in vars(p.machine).items())
            todo = [(e.do.name, e.portion) for e in p.todo]
            flags = (p.serves, p.alive, p.heard_end, p.drains)
            return (m, sorted(p.owns), sorted(p.frozen), todo, p.inbox, flags)

        rest = (sorted(self.batons), sorted(self.dead), self.deaths, self.slow, self.bad, self.left)
        return repr((of(self.old), of(self.new), rest))

    def steps(self) -> Iterator[World]:
        for name in ("old", "new"):
            process: Process = getattr(self, name)
            if not process.alive:
                continue
            if self.deaths:
                yield self.after(World.die, name)
            if process.todo:
                yield self.after(World.act, name)
                continue  # one process does one thing at a time
            if process.inbox:
                yield self.after(World.hear, name, True)
                if self.bad and process is self.new and process.inbox[0][0] == "hand":
                    yield self.after(World.hear, name, False)
            other = self.new if name == "old" else self.old
            if not other.alive and not process.inbox and not process.heard_end:
                yield self.after(World.end_heard, name)
        if self.slow and self.old.alive and not self.old.todo and self.old.machine.out is not None:
            yield self.after(World.lose_patience)

    def after(self, act: Any, *args: Any) -> World:
        made = copy.deepcopy(self)
        act(made, *args)
        return made

    def die(self, name: str) -> None:
        process: Process = getattr(self, name)
        process.alive = process.serves = False
        self.deaths -= 1
        self.dead |= process.owns
        process.owns, process.todo = set(), []

    def end_heard(self, name: str) -> None:
        process: Process = getattr(self, name)
        process.heard_end = True
        process.todo += process.machine.gone()

    def lose_patience(self) -> None:
        self.slow -= 1
        self.old.todo += self.old.machine.answered(self.old.machine.out)

    def hear(self, name: str, fine: bool) -> None:
        process: Process = getattr(self, name)
        what, portion = process.inbox.pop(0)
        if what == "last":
            process.todo += process.machine.last()
        elif what == "here":
            process.todo += process.machine.confirmed()
        elif what == "hand":
            self.bad -= not fine
            process.todo += process.machine.handed(portion, fine)
        else:
            process.todo += process.machine.answered(portion)

    def act(self, name: str) -> None:
        process: Process = getattr(self, name)
        other = self.new if name == "old" else self.old
        effect = process.todo.pop(0)
        n, do = effect.portion, effect.do
        if do is Do.HAND:
            process.frozen.add(n)
            self.batons.add(n)
            other.inbox.append(("hand", n))
        elif do is Do.TRY:
            won = n in self.batons
            self.batons.discard(n)
            if won:
                process.owns.add(n)
            elif process is self.old:
                process.owns.discard(n)
            process.todo += process.machine.tried(n, won)
            if won and process is self.new:
                self.old.owns.discard(n)  # frozen there: it does not touch it any more
        elif do is Do.RESUME:
            process.frozen.discard(n)
            if n == 0:
                process.owns.add(0)
                process.serves = True
        elif do is Do.FORGET:
            process.frozen.discard(n)
            process.serves &= n != 0
        elif do is Do.NEXT:
            left = sorted(n for n in process.owns if n and n not in process.frozen)
            process.todo += process.machine.portion() if left else process.machine.nothing_left()
        elif do is Do.OWN:
            process.owns.add(n)
        elif do is Do.SERVE:
            process.serves = True
            process.owns.add(0)
        elif do is Do.OVER:
            process.alive, self.left = False, True
        elif do in (Do.LAST, Do.HERE):
            other.inbox.append(("last" if do is Do.LAST else "here", 0))
        elif do is Do.DRAIN:
            process.drains = True
        elif do is Do.TOOK:
            other.inbox.append(("took", n))
        elif do is Do.END:
            process.alive, self.left = False, True

    def wrong(self) -> str:
        both = self.old.owns & self.new.owns if self.old.alive and self.new.alive else set()
        working = both - self.old.frozen
        if working:
            return f"both own {working}"
        return ""

    def wrong_at_rest(self) -> str:
        """Nothing more can happen of itself."""
        if not self.old.alive and not self.new.alive:
            return "" if self.left else "nobody is left, though one at most died"
        if not self.old.serves and not self.new.serves:
            return "nobody serves"
        owned = (self.old.owns if self.old.alive else set()) | (self.new.owns if self.new.alive else set())
        missing = set(range(1, self.portions + 1)) - owned - self.dead
        if missing:
            return f"nobody owns {missing}"
        stuck = self.old.frozen & self.old.owns if self.old.alive else set()
        return f"frozen for ever {stuck}" if stuck else ""


def explore(first: World) -> tuple[int, list[str]]:
    seen, wrong, todo = set[str](), list[str](), [first]
    while todo:
        now = todo.pop()
        key = now.key()
        if key in seen:
            continue
        seen.add(key)
        steps = list(now.steps())
        resting = all(s.deaths < now.deaths or s.slow < now.slow for s in steps)  # only mishaps are left
        if why := now.wrong() or (now.wrong_at_rest() if resting else ""):
            wrong.append(why)
            if len(wrong) > 5:
                break
        todo += steps
    return len(seen), wrong


def test_somebody_serves_and_nothing_is_owned_twice_or_lost_whoever_dies_when() -> None:
    states, wrong = explore(World(2))
    assert not wrong, wrong
    assert states > 300


class ForgetsTheBaton(HandoverSource):
    """Takes a portion back when it loses patience, without asking who has it."""

    def answered(self, portion: int) -> list[Effect]:
        if portion == self.out:
            self.out = None
            return [Effect(Do.RESUME, portion)]
        return []


class GivesUpTheFront(HandoverSource):
    """Does not become the front again when its successor dies."""

    def alone(self) -> list[Effect]:
        return []


class KeepsNoCopy(HandoverSource):
    """Takes its successor's death for the end of the portion that was out."""

    def gone(self) -> list[Effect]:
        self.lost = True
        self.out = None
        return self.alone()


class TakesWithoutBaton(HandoverTarget):
    """Owns what has come, whether or not the old front has taken it back."""

    def handed(self, portion: int, fine: bool) -> list[Effect]:
        return self.tried(portion, True) if fine else super().handed(portion, fine)


@pytest.mark.parametrize(
    "giver,taker",
    [
        (GivesUpTheFront, HandoverTarget),
        (KeepsNoCopy, HandoverTarget),
        (HandoverSource, TakesWithoutBaton),
        (ForgetsTheBaton, HandoverTarget),
    ],
)
def test_each_defence_is_missed_when_it_is_taken_away(
    giver: type[HandoverSource], taker: type[HandoverTarget]
) -> None:
    first = World(2, giver(), taker())
    assert explore(first)[1]
