"""Worker, decider and ledger on small scopes: every order of steps, with a crash at each of them.

The world has one paid claim (its viewer may come again on another worker), up to two workers, one decider
that may crash and come again with what is on disk, links that may be cut, a server that counts what ran.
What is looked for: a claim that ran twice; an answer given twice; an ask with more attempts than it may have.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from copy import deepcopy
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import pytest

from lemonhall.seam import Book, Carry, Next, Proof, Stage, Tell
from lemonhall.store import Hold, Ledger, Record, Standing, Token, Verdict, Write

TOKEN = Token(1000, 0, 9, 1)
MOST = 2


@dataclass
class Ask:
    """At a worker. `out`: its attempt: connecting, sent (runs at the server) or gone."""

    number: int
    carry: Carry = field(default_factory=lambda: Carry(MOST))
    attempt: str = ""
    answers: list[str] = field(default_factory=list)
    sends: int = 0


class World:
    """One state. Messages lie in queues, a link a pair; a link that is cut loses what lies there."""

    def __init__(self, crashes: int, cuts: int, again: bool, overlap: bool = False) -> None:
        """`again`: one comes with the same claim once the first has its answer, or (`overlap`) earlier."""
        self.crashes, self.cuts, self.overlap = crashes, cuts, overlap
        self.disk: dict[bytes, Record] = {}
        self.ran: list[int] = []  # each set-up that the server carried out
        self.links = [0, 0]  # of each worker to the decider; 0: none
        self.next_link = 1
        self.up: list[list[Any]] = [[], []]
        self.down: list[list[Any]] = [[], []]
        self.asks: list[Ask | None] = [None, None]
        self.to_come = [0, 1] if again else [0]
        self.workers = tuple(self.to_come)
        self.next_ask = 1
        self.decide()

    # the decider, as `front.decider.set_up_requests` has it

    def decide(self) -> None:
        self.book = Book()
        self.pending: list[tuple[bytes, Record, Record | None, Any]] = []
        self.ledger = Ledger(0, 9, self.lookup, self.waits, 1e9)
        self.holds: dict[tuple[int, int], Hold] = {}
        self.open: dict[int, dict[str, Any]] = {}

    def __deepcopy__(self, memo: dict[int, Any]) -> World:
        made = World.__new__(World)
        for name, value in self.__dict__.items():
            if name != "ledger":
                setattr(made, name, deepcopy(value, memo))
        made.ledger = Ledger(0, 9, made.lookup, made.waits, 1e9)
        made.ledger.holds, made.ledger.given = dict(self.ledger.holds), self.ledger.given
        return made

    def lookup(self, key: bytes) -> Record | None:
        return next((r for k, r, _, _ in reversed(self.pending) if k == key), self.disk.get(key))

    def waits(self, key: bytes) -> bool:
        return any(k == key for k, _, _, _ in self.pending)

    def write(self, write: Any, then: Any) -> None:
        self.pending.append((write.key, write.record, write.before, then))

    def settle(self, key: tuple[int, int], ran: bool) -> None:
        hold = self.holds.pop(key, None)
        if hold and (write := self.ledger.settle(hold, ran, 1.0)):
            self.write(write, None)

    def asked(self, w: int, m: dict[str, Any]) -> None:
        if not self.book.enter(self.links[w], m["ask"]):
            return
        if m["unsent"][1] and (write := self.ledger.unsent(TOKEN, *m["unsent"], 1.0)):
            self.write(write, None)
        begun = self.ledger.begin(TOKEN, 1.0)
        go = begun.verdict is Verdict.GO and not m["ran"]
        self.open[m["ask"]] = {"w": w, "hold": begun.hold if go else None, "tries": 0, "out": None}
        self.place(m["ask"]) if go else self.final(m["ask"])

    def place(self, ask: int) -> None:
        """The module would try a server; here there is one."""
        mine = self.open[ask]
        if mine["tries"] >= MOST or mine["out"] is not None:
            self.final(ask)
            return
        number, mine["tries"] = mine["tries"], mine["tries"] + 1
        write = self.ledger.attempt(mine["hold"], 7, 1.0)
        if write is None:
            self.final(ask)
            return
        self.write(write, ("clear", ask, number, self.links[mine["w"]]))
        mine["out"] = self.book.set_up(ask, number, 7, False)
        self.holds[ask, number] = mine["hold"]
        told = {"kind": "set-up", "ask": ask, "number": number, "turn": write.record.turn}
        self.down[mine["w"]].append({**told, "made": write.record.attempts})

    def final(self, ask: int) -> None:
        mine = self.open.pop(ask)
        self.book.drop(ask)
        if mine["hold"]:
            self.ledger.over(mine["hold"])
        self.down[mine["w"]].append({"kind": "final", "ask": ask})

    def ended(self, w: int, m: dict[str, Any]) -> None:
        out = self.book.ended(self.links[w], m["ask"], m["number"])
        if out is None:
            return
        self.settle((m["ask"], m["number"]), m["ran"])
        mine = self.open.get(m["ask"])
        if mine is None or mine["out"] is not out:
            return
        mine["out"] = None
        if m["closed"]:
            self.open.pop(m["ask"])
            self.book.drop(m["ask"])
            self.ledger.over(mine["hold"])
        elif m["ran"]:
            self.final(m["ask"])
        else:
            self.place(m["ask"])

    def carried(self, w: int, m: dict[str, Any]) -> None:
        if self.book.enter(self.links[w], m["ask"]):
            out = self.book.set_up(m["ask"], 0, 7, True)
            hold = Hold(TOKEN, m["turn"], 0)
            self.holds[m["ask"], 0] = hold
            self.open[m["ask"]] = {"w": w, "hold": hold, "tries": 1, "out": out}

    def lose(self, w: int) -> None:
        asks, ends = self.book.lost(self.links[w])
        for out, proof in ends:
            self.settle((out.ask, out.number), proof is Proof.MAYBE)
        for ask in asks:
            self.ledger.over(self.open.pop(ask)["hold"] or Hold(TOKEN, 0, 0))

    # a worker, as `front.viewers.worker` has it

    def tell(self, w: int) -> None:
        ask, link = self.asks[w], self.links[w]
        if ask is None or not link:
            return
        told = ask.carry.tell(link)
        c = ask.carry
        if told is Tell.ASKED:
            self.up[w].append({"kind": "asked", "ask": ask.number, "ran": c.ran, "unsent": c.unsent})
        elif told is Tell.CARRIED:
            self.up[w].append({"kind": "carried", "ask": ask.number, "turn": c.turn})

    def end(self, w: int, left: bool, never: bool) -> None:
        ask = self.asks[w]
        assert ask
        ask.attempt = ""
        playing = ask.carry.stage is Stage.PLAYING
        number, over = ask.carry.number, ask.carry.stage in (Stage.OVER, Stage.PLAYING)
        then = ask.carry.ended(self.links[w], left, never)
        if then is Next.REPORT:
            told = {"kind": "ended", "ask": ask.number, "number": 0 if playing and number < 0 else number}
            self.up[w].append({**told, "ran": left and not never, "closed": over})
        elif then is Next.AGAIN:
            self.tell(w)

    def close(self, w: int, answer: str) -> None:
        """The ask has its last word."""
        ask = self.asks[w]
        assert ask
        maybe_ran = ask.carry.may_have_run()
        known = ask.carry.close(self.links[w])
        refused = answer == "alone" and not known and not maybe_ran
        ask.answers.append("refused" if refused else answer)
        attempt, ask.attempt = ask.attempt, ""
        if attempt:
            self.end(w, attempt == "sent", False)
        if known and answer == "alone":
            self.up[w].append({"kind": "gone", "ask": ask.number})

    # steps

    def steps(self) -> Iterator[str]:
        for w in self.workers:
            ask = self.asks[w]
            first = self.asks[0]
            after = 0 not in self.to_come and (first is None or first.answers)
            if w in self.to_come and (w == 0 or self.overlap or after):
                yield f"come {w}"
            if not self.links[w]:
                yield f"link {w}"
            elif self.cuts:
                yield f"cut {w}"
            if self.up[w] and self.links[w]:
                yield f"up {w}"
            if self.down[w] and self.links[w]:
                yield f"down {w}"
            if ask and ask.attempt == "connect" and ask.carry.stage is Stage.LEFT:
                yield f"send {w}"
            if ask and ask.attempt == "sent" and ask.carry.stage is Stage.LEFT:
                yield f"plays {w}"
                yield f"full {w}"
                yield f"reset {w}"
            if ask and ask.carry.stage is Stage.PLAYING:
                yield f"over {w}"
            if ask and not ask.answers:
                yield f"deadline {w}"
            if self.crashes and ask:
                yield f"kill {w}"
        if self.pending:
            yield "disk"
        if self.crashes:
            yield "crash"

    def step(self, name: str) -> None:
        what, _, number = name.partition(" ")
        w = int(number or 0)
        getattr(self, f"on_{what}")(w)

    def on_come(self, w: int) -> None:
        self.to_come = [n for n in self.to_come if n != w]
        self.asks[w] = Ask(self.next_ask)
        self.next_ask += 1
        self.tell(w)

    def on_link(self, w: int) -> None:
        self.links[w], self.next_link = self.next_link, self.next_link + 1
        self.tell(w)

    def on_cut(self, w: int) -> None:
        """The link ends; both sides see it, what was under way is lost."""
        self.cuts -= 1
        self.drop_link(w)
        self.lose(w)
        self.links[w] = 0

    def drop_link(self, w: int) -> None:
        self.up[w], self.down[w] = [], []
        ask = self.asks[w]
        if ask and ask.carry.cut():
            ask.attempt = ""

    def on_crash(self, _: int) -> None:
        self.crashes -= 1
        for w in (0, 1):
            self.drop_link(w)
            self.links[w] = 0
        self.decide()  # what was not on disk is lost with it

    def on_kill(self, w: int) -> None:
        """The worker ends with its viewers; the decider sees the link end."""
        self.crashes -= 1
        self.up[w], self.down[w] = [], []
        self.asks[w] = None
        if self.links[w]:
            self.lose(w)
            self.links[w] = 0

    def on_disk(self, _: int) -> None:
        key, record, before, then = self.pending.pop(0)
        fits = self.disk.get(key) == before
        if fits:
            self.disk[key] = record
        if then and fits:
            _, ask, number, link = then
            mine = self.open.get(ask)
            out = mine["out"] if mine and self.links[mine["w"]] == link else None
            if mine and out and out.number == number and self.book.clear(ask, number):
                self.down[mine["w"]].append({"kind": "cleared", "ask": ask, "number": number})

    def on_up(self, w: int) -> None:
        m = self.up[w].pop(0)
        if m["kind"] == "gone":
            if m["ask"] in self.open and self.open[m["ask"]]["out"] is None:
                mine = self.open.pop(m["ask"])
                self.book.drop(m["ask"])
                if mine["hold"]:
                    self.ledger.over(mine["hold"])
        else:
            getattr(self, m["kind"])(w, m)

    def on_down(self, w: int) -> None:
        m = self.down[w].pop(0)
        ask = self.asks[w]
        link = self.links[w]
        mine = ask if ask and ask.number == m["ask"] else None
        if m["kind"] == "set-up":
            free = mine and not mine.attempt and not mine.answers
            if free and mine and mine.carry.set_up(link, m["number"], True, m["turn"], m["made"]):
                mine.attempt = "connect"
            else:
                told = {"kind": "ended", "ask": m["ask"], "number": m["number"]}
                self.up[w].append({**told, "ran": False, "closed": mine is None or bool(mine.answers)})
        elif mine and m["kind"] == "cleared":
            mine.carry.clear(link, m["number"])
        elif mine and m["kind"] == "final" and not mine.answers:
            self.close(w, "final")

    def on_send(self, w: int) -> None:
        ask = self.asks[w]
        assert ask
        ask.attempt = "sent"
        ask.sends += 1
        self.ran.append(ask.number)

    def on_plays(self, w: int) -> None:
        ask = self.asks[w]
        assert ask
        ask.answers.append("plays")
        if ask.carry.plays(self.links[w]) is Tell.CARRIED:
            self.up[w].append({"kind": "carried", "ask": ask.number, "turn": ask.carry.turn})

    def on_full(self, w: int) -> None:
        """The server says that it did not take it."""
        ask = self.asks[w]
        assert ask
        self.ran.remove(ask.number)
        self.end(w, True, True)

    def on_reset(self, w: int) -> None:
        self.end(w, True, False)

    def on_over(self, w: int) -> None:
        self.end(w, True, False)

    def on_deadline(self, w: int) -> None:
        self.close(w, "alone")

    # what must hold

    def check(self) -> None:
        assert len(self.ran) <= 1, f"ran {len(self.ran)} times"
        for ask in self.asks:
            assert ask is None or len(ask.answers) <= 1, f"answered {ask.answers}"
            assert ask is None or ask.sends <= MOST, f"sent {ask.sends} times"
            refused = ask is not None and "refused" in ask.answers and ask.number in self.ran
            assert not refused, "told that nothing ran"

    def key(self) -> str:
        asks = [
            a
            and (
                a.number,
                a.attempt,
                a.sends,
                tuple(a.answers),
                *(getattr(a.carry, n) for n in Carry.__slots__),
            )
            for a in self.asks
        ]
        book = sorted(self.book.asks.items()), sorted((k, o.cleared) for k, o in self.book.out.items())
        rest = (self.crashes, self.cuts, self.disk, self.ran, self.links, self.up, self.down, self.to_come)
        opened = sorted((k, v["w"], v["hold"], v["tries"], v["out"]) for k, v in self.open.items())
        pending = [(k, r, b, t) for k, r, b, t in self.pending]
        return repr((asks, book, rest, opened, pending, self.ledger.holds, sorted(self.holds.items())))


def explore(world: World, most: int = 400_000) -> int:
    """All states that can be reached. Raises `AssertionError` with the way to one that must not be."""
    seen = {world.key()}
    stack: list[tuple[World, tuple[str, ...]]] = [(world, ())]
    while stack:
        here, way = stack.pop()
        for name in list(here.steps()):
            there = deepcopy(here)
            try:
                there.step(name)
                there.check()
            except AssertionError as error:
                raise AssertionError(f"{error} after {' > '.join((*way, name))}") from error
            mark = there.key()
            if mark not in seen:
                seen.add(mark)
                assert len(seen) <= most, "the scope is too large"
                stack.append((there, (*way, name)))
    return len(seen)


def wander(made: Callable[[], World], walks: int, seed: int, most: int = 80) -> set[str]:
    """Steps drawn at random, for scopes that are too large to be seen whole. The kinds of steps taken."""
    random, kinds = Random(seed), set()
    for _ in range(walks):
        world, way = made(), []
        for _ in range(most):
            names = list(world.steps())
            if not names:
                break
            way.append(random.choice(names))
            kinds.add(way[-1].split()[0])
            try:
                world.step(way[-1])
                world.check()
            except AssertionError as error:
                raise AssertionError(f"{error} after {' > '.join(way)}") from error
    return kinds


@pytest.mark.parametrize(
    ("crashes", "cuts", "again", "least"),
    [(1, 0, False, 1000), (2, 0, False, 3000), (0, 1, False, 1000), (0, 0, True, 5000)],
)
def test_no_order_of_steps_sets_a_claim_up_twice_or_answers_twice(
    crashes: int, cuts: int, again: bool, least: int
) -> None:
    assert explore(World(crashes, cuts, again)) > least


@pytest.mark.parametrize("seed", range(4))
def test_nor_does_any_walk_with_more_crashes_cuts_and_a_viewer_that_comes_again(seed: int) -> None:
    kinds = wander(lambda: World(3, 2, True, overlap=seed % 2 == 0), 1500, seed)
    assert {"crash", "kill", "cut", "disk", "send", "plays", "reset", "deadline"} <= kinds


# each defence, taken away, is missed


def never_asked(self: Book, worker: int) -> Any:
    asks, ends = lost(self, worker)
    return asks, [(out, Proof.NEVER) for out, _ in ends]


def whichever(self: Ledger, token: Token, turn: int, made: int, wall_s: float) -> Any:
    record = self.lookup(token.key)
    return Write(token.key, replace(record, standing=Standing.FREE), record) if record else None


def no_hold(self: Carry, link: int, number: int, hold: bool, turn: int, made: int) -> bool:
    return set_up(self, link, number, False, turn, made)


def forgets(self: Carry, link: int, left: bool, never_ran: bool) -> Next:
    return ended(self, link, left, True)


def twice(self: Carry, link: int, number: int, hold: bool, turn: int, made: int) -> bool:
    self.tries = 0
    return set_up(self, link, number, hold, turn, made)


def sure(self: Carry) -> bool:
    return False


lost, set_up, ended = Book.lost, Carry.set_up, Carry.ended
RUNS = "link 0, come 0, up 0, disk, down 0, down 0, send 0"
AGAIN = "link 1, come 1, up 1, disk, disk, disk, down 1, down 1, send 1"
REST = "link 0, up 0, disk, disk, down 0, down 0, send 0"
FLAWS: dict[str, tuple[type, str, Any, str]] = {
    "a lost worker's attempts are held for never run": (
        Book,
        "lost",
        never_asked,
        f"{RUNS}, kill 0, {AGAIN}",
    ),
    "a request leaves before its attempt is on disk": (
        Carry,
        "set_up",
        no_hold,
        f"link 0, come 0, up 0, down 0, send 0, crash, {AGAIN}",
    ),
    "a word about an earlier attempt frees a later one": (
        Ledger,
        "unsent",
        whichever,
        f"link 0, come 0, up 0, disk, down 0, crash, link 0, up 0, disk, cut 0, {AGAIN}, {REST}",
    ),
    "an end that proves nothing is held for a proof": (
        Carry,
        "ended",
        forgets,
        f"{RUNS}, crash, reset 0, {REST}",
    ),
    "a viewer is told that nothing ran while its request is out": (
        Carry,
        "may_have_run",
        sure,
        f"{RUNS}, crash, deadline 0",
    ),
    "attempts are counted anew under each decider": (
        Carry,
        "set_up",
        twice,
        f"{RUNS}, crash, full 0, {REST}, crash, full 0, {REST}",
    ),
}


def follow(way: str) -> None:
    """A way through a world; steps that cannot be taken are left out."""
    world = World(3, 2, True, overlap=True)
    for name in way.split(", "):
        if name in set(world.steps()):
            world.step(name)
            world.check()


@pytest.mark.parametrize("name", FLAWS)
def test_each_defence_is_missed(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    kind, method, flawed, way = FLAWS[name]
    follow(way)
    monkeypatch.setattr(kind, method, flawed)
    with pytest.raises(AssertionError, match="(ran|sent) [23] times|told that nothing ran"):
        follow(way)
