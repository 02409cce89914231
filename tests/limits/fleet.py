"""Fronts with limits and a network that keeps every word, for tests. Each front has a clock of its own."""

from __future__ import annotations

from copy import copy
from dataclasses import replace
from random import Random

from lemonhall import interface as i
from lemonhall.limits import FleetLimits, Limit, LimitKind, LimitSettings, LimitUnit
from lemonhall.limits.escrow import Escrow

VIEW, CLAIM = 0, 1
NILE, DELTA = 0, 1
PERIOD = 100.0
CLASSES = (
    i.SessionClass(1.0, i.Repeat.SAFE, 200, 400),
    i.SessionClass(3.0, i.Repeat.PAID, 200, 400, floor=1),
)


def plan(*limits: Limit) -> LimitSettings:
    return LimitSettings(tuple(sorted(limits, key=lambda m: m.name)), CLASSES, (4.0, 8.0, 14.0, 24.0), PERIOD)


def exact(amount: int, name: str = "seats", longest_ms: float = 0.0, **more: object) -> Limit:
    made = Limit(name, LimitKind.EXACT, LimitUnit.SESSIONS, amount, longest_ms=longest_ms)
    return replace(made, **more)  # type: ignore[arg-type]


def paced(per_s: float, burst: float, name: str = "pace") -> Limit:
    return Limit(name, LimitKind.PACED, LimitUnit.SET_UPS, round(1000 * per_s), burst=burst)


def soft(amount: int, rise: float, name: str = "near") -> Limit:
    return Limit(name, LimitKind.SOFT, LimitUnit.SESSIONS, amount, rise=rise)


class Fleet:
    """`now` is true time; `rates` are those of the fronts' clocks. What a front has begun and not ended
    stands, also while it does not run: `stands` is the truth that a server would see."""

    def __init__(
        self, made: LimitSettings, fronts: int, seed: int = 1, rates: tuple[float, ...] = ()
    ) -> None:
        self.plan, self.count, self.now = made, fronts, 1000.0
        self.rates = rates or (1.0,) * fronts
        self.offsets = [1e6 * n for n in range(fronts)]  # clocks that have nothing in common
        self.random = Random(seed)
        self.said: list[tuple[int, int, bytes]] = []
        self.life = 0
        self.asks = 0
        self.titles: dict[int, str] = {}
        self.stands: list[dict[int, str]] = [{} for _ in range(fronts)]
        self.frozen: set[int] = set()
        self.began: list[float] = []
        self.fronts = [self.born(n) for n in range(fronts)]

    def clock(self, number: int) -> float:
        return self.offsets[number] + self.rates[number] * self.now

    def born(self, number: int, made: LimitSettings | None = None) -> FleetLimits:
        self.life += 1
        seed = self.random.getrandbits(32)
        front = FleetLimits(
            made or self.plan, number, self.count, 0, self.life, Random(seed), self.clock(number)
        )
        front.escrow.members = tuple(range(self.count))
        return front

    def kill(self, number: int, made: LimitSettings | None = None) -> None:
        """Its sessions end with it: it is there again at once and remembers nothing."""
        self.stands[number].clear()
        self.fronts[number] = self.born(number, made)

    def tick(self, number: int) -> None:
        outs = self.fronts[number].tick(self.clock(number))
        self.said += [(number, out.to, out.data) for out in outs]
        self.obey(number)

    def give(self, place: int) -> None:
        sender, to, data = self.said[place]
        front = self.fronts[to]
        front.receive(self.clock(to), sender, data)
        if front.escrow.pending_replies:
            self.tick(to)
        self.obey(to)

    def obey(self, number: int) -> None:
        """What must end, ends."""
        front = self.fronts[number]
        ends, front.sessions_to_end = front.sessions_to_end, []
        for ask in ends:
            self.end(number, ask)

    def ask(self, number: int, title: str = "/a", cls: int = VIEW, partner: int = NILE) -> bool:
        """Asks, and sets up at once if it may."""
        self.asks += 1
        front, ask, now = self.fronts[number], self.asks, self.clock(number)
        if front.admit(now, ask, partner, cls, title).refused_by:
            self.obey(number)
            return False
        if not front.may_start_set_up(now, ask):
            front.release(now, ask)
            return False
        self.stands[number][ask] = title
        self.began.append(self.now)
        self.obey(number)
        return True

    def end(self, number: int, ask: int = 0) -> None:
        if self.stands[number]:
            ask = ask or min(self.stands[number])
            self.stands[number].pop(ask, None)
            self.fronts[number].release(self.clock(number), ask)

    def standing(self, title: str = "") -> int:
        return sum(t == title or not title for one in self.stands for t in one.values())

    def run(self, periods: float, loss: float = 0.0, cut: frozenset[frozenset[int]] = frozenset()) -> None:
        """All tick five times a period; words come, unless they are lost or their link is cut."""
        for _ in range(round(5 * periods)):
            self.now += PERIOD / 5
            for number in range(self.count):
                if number not in self.frozen:
                    self.tick(number)
            for _word in range(200 * self.count):
                if not self.said:
                    break
                sender, to, _ = self.said[0]
                lost = self.random.random() < loss or frozenset((sender, to)) in cut
                if lost or to in self.frozen:
                    self.said.pop(0)
                    continue
                self.give(0)
                self.said.pop(0)
            assert not self.said, "words without end"

    # what must hold, whoever acts next

    def could_use(self, number: int, key: tuple[int, int]) -> int:
        """What a front would go by if it woke now: loans that have run out by its clock do not count."""
        escrow, clock = self.fronts[number].escrow, self.clock(number)
        room = escrow.local_limits.get(key)
        limit = escrow.by_ident[key[0]]
        if room is None:
            room = Escrow.room(copy(escrow), limit, key[1]) if key[1] or not limit.each_title else None
            escrow.local_limits.pop(key, None)
            assert room
        waits = room.parts.unreported and clock < escrow.open_at
        own = 0 if waits else room.parts.own - room.parts.lent_sum
        held = 0
        for other, loan in room.parts.held.items():
            if clock - escrow.peers[other].asked / 1000 < escrow.settings.stands_ms(limit):
                held += loan.amount
        return own + held

    def check(self) -> None:
        for limit in self.plan.limits:
            if limit.kind is LimitKind.SOFT:
                continue
            keys = {k for f in self.fronts for k in f.escrow.local_limits if k[0] == limit.ident}
            for key in keys:
                most = sum(max(0, self.could_use(n, key)) for n in range(self.count))
                assert most <= limit.amount, f"{limit.name}: {most} could be used"
        for n, front in enumerate(self.fronts):
            for key, room in front.escrow.local_limits.items():
                if room.limit.kind is LimitKind.EXACT:
                    taken = sum(c.units.get(key, 0) for c in front.sessions.values())
                    assert room.parts.used == taken, f"front {n}: {room.parts.used} counted, {taken} taken"

    def check_standing(self) -> None:
        """Of fronts that all run; under limits that cover all sessions."""
        for limit in self.plan.limits:
            every = not limit.each_title and {limit.partner, limit.cls, limit.hall} == {-1}
            if limit.kind is LimitKind.EXACT and every:
                assert self.standing() <= limit.amount, f"{limit.name}: {self.standing()} stand"

    def check_paced(self, limit: Limit) -> None:
        times = sorted(self.began)
        for first in range(len(times)):
            for last in range(first, len(times)):
                most = self.plan.paced_most(limit, times[last] - times[first])
                began = last - first + 1
                assert began <= most + 1e-6, f"{limit.name}: {began} for {most:.2f}"


def walk(fleet: Fleet, seed: int, steps: int, kills: bool = True) -> None:
    """Steps drawn from a seed: words in any order, any number of times or never, fronts that do not run for
    long, that start anew, clocks that go on."""
    random, lease = Random(seed), fleet.plan.lease_ms
    for _ in range(steps):
        number, what = random.randrange(fleet.count), random.random()
        if what < 0.32:
            fleet.tick(number)
        elif what < 0.7 and fleet.said:
            some = len(fleet.said) - 1
            fleet.give(random.randint(max(0, some - 5) if random.random() < 0.9 else 0, some))
        elif what < 0.82:
            fleet.ask(number, title=random.choice(("/a", "/b")), cls=random.randrange(2))
        elif what < 0.88:
            fleet.end(number)
        elif what < 0.96:
            fleet.now += random.choice((1.0, PERIOD / 5, PERIOD))
        elif what < 0.985:
            fleet.now += lease * random.choice((random.random(), 1.02))
        elif what < 0.992 or not kills:
            fleet.run(2)  # for a while all is well
        else:
            fleet.kill(number)
        fleet.check()
