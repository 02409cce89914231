"""Fronts with limits, each with its own clock, and a network that keeps every message, for tests."""

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


def settings_of(*limits: Limit) -> LimitSettings:
    return LimitSettings(tuple(sorted(limits, key=lambda m: m.name)), CLASSES, (4.0, 8.0, 14.0, 24.0), PERIOD)


def exact_limit(amount: int, name: str = "seats", session_grace_ms: float = 0.0, **more: object) -> Limit:
    limit = Limit(name, LimitKind.EXACT, LimitUnit.SESSIONS, amount, session_grace_ms=session_grace_ms)
    return replace(limit, **more)  # type: ignore[arg-type]


def rate_limit(per_s: float, burst: float, name: str = "pace") -> Limit:
    return Limit(name, LimitKind.PACED, LimitUnit.SET_UPS, round(1000 * per_s), burst=burst)


def soft_limit(amount: int, rise_per_s: float, name: str = "near") -> Limit:
    return Limit(name, LimitKind.SOFT, LimitUnit.SESSIONS, amount, rise_per_s=rise_per_s)


class Fleet:
    """`now` is true time, `clock_rates` are the rates of the fronts' clocks.

    `playing` holds the sessions that the servers see: a session that a front has started plays until the
    front ends it, also while the front is paused."""

    def __init__(
        self, settings: LimitSettings, fronts: int, seed: int = 1, clock_rates: tuple[float, ...] = ()
    ) -> None:
        self.settings, self.count, self.now = settings, fronts, 1000.0
        self.clock_rates = clock_rates or (1.0,) * fronts
        self.clock_offsets = [1e6 * n for n in range(fronts)]  # unrelated clocks
        self.random = Random(seed)
        self.sent: list[tuple[int, int, bytes]] = []  # sender, recipient, data
        self.incarnation = 0
        self.requests = 0
        self.titles: dict[int, str] = {}
        self.playing: list[dict[int, str]] = [{} for _ in range(fronts)]  # by front: title by request
        self.paused: set[int] = set()
        self.started_at: list[float] = []
        self.fronts = [self.start_front(n) for n in range(fronts)]

    def clock(self, number: int) -> float:
        return self.clock_offsets[number] + self.clock_rates[number] * self.now

    def start_front(self, number: int, settings: LimitSettings | None = None) -> FleetLimits:
        self.incarnation += 1
        seed = self.random.getrandbits(32)
        front = FleetLimits(
            settings or self.settings,
            number,
            self.count,
            0,
            self.incarnation,
            Random(seed),
            self.clock(number),
        )
        front.escrow.members = tuple(range(self.count))
        return front

    def restart(self, number: int, settings: LimitSettings | None = None) -> None:
        """Kills a front with its sessions and starts it again at once, without state."""
        self.playing[number].clear()
        self.fronts[number] = self.start_front(number, settings)

    def tick(self, number: int) -> None:
        messages = self.fronts[number].tick(self.clock(number))
        self.sent += [(number, message.to, message.data) for message in messages]
        self.end_expired(number)

    def deliver(self, place: int) -> None:
        sender, to, data = self.sent[place]
        front = self.fronts[to]
        front.receive(self.clock(to), sender, data)
        if front.escrow.pending_replies:
            self.tick(to)
        self.end_expired(to)

    def end_expired(self, number: int) -> None:
        """Ends the sessions that the front has to end."""
        front = self.fronts[number]
        ended, front.sessions_to_end = front.sessions_to_end, []
        for request_id in ended:
            self.end(number, request_id)

    def request(self, number: int, title: str = "/a", cls: int = VIEW, partner: int = NILE) -> bool:
        """Requests a session and sets it up at once if it is admitted."""
        self.requests += 1
        front, request_id, now = self.fronts[number], self.requests, self.clock(number)
        if front.admit(now, request_id, partner, cls, title).refused_by:
            self.end_expired(number)
            return False
        if not front.may_start_set_up(now, request_id):
            front.release(now, request_id)
            return False
        self.playing[number][request_id] = title
        self.started_at.append(self.now)
        self.end_expired(number)
        return True

    def end(self, number: int, request_id: int = 0) -> None:
        if self.playing[number]:
            request_id = request_id or min(self.playing[number])
            self.playing[number].pop(request_id, None)
            self.fronts[number].release(self.clock(number), request_id)

    def playing_count(self, title: str = "") -> int:
        return sum(t == title or not title for sessions in self.playing for t in sessions.values())

    def run(self, periods: float, loss: float = 0.0, cut: frozenset[frozenset[int]] = frozenset()) -> None:
        """Ticks all fronts five times a period; delivers messages unless they are lost or their link is
        cut."""
        for _ in range(round(5 * periods)):
            self.now += PERIOD / 5
            for number in range(self.count):
                if number not in self.paused:
                    self.tick(number)
            for _message in range(200 * self.count):
                if not self.sent:
                    break
                sender, to, _ = self.sent[0]
                lost = self.random.random() < loss or frozenset((sender, to)) in cut
                if lost or to in self.paused:
                    self.sent.pop(0)
                    continue
                self.deliver(0)
                self.sent.pop(0)
            assert not self.sent, "messages do not end"

    # invariants

    def usable_bound(self, number: int, key: tuple[int, int]) -> int:
        """Units that a front would use if it ran now: leases that have expired by its clock do not count."""
        escrow, clock = self.fronts[number].escrow, self.clock(number)
        local = escrow.local_limits.get(key)
        limit = escrow.limits_by_id[key[0]]
        if local is None:
            local = (
                Escrow.local_limit(copy(escrow), limit, key[1]) if key[1] or not limit.each_title else None
            )
            escrow.local_limits.pop(key, None)
            assert local
        waits = local.share.unreported and clock < escrow.open_at
        own = 0 if waits else local.share.own - local.share.lent_total
        borrowed = 0
        for other, loan in local.share.borrowed.items():
            if clock - escrow.peers[other].echoed / 1000 < escrow.settings.session_end_ms(limit):
                borrowed += loan.amount
        return own + borrowed

    def check(self) -> None:
        for limit in self.settings.limits:
            if limit.kind is LimitKind.SOFT:
                continue
            keys = {k for f in self.fronts for k in f.escrow.local_limits if k[0] == limit.limit_id}
            for key in keys:
                usable = sum(max(0, self.usable_bound(n, key)) for n in range(self.count))
                assert usable <= limit.amount, f"{limit.name}: {usable} could be used"
        for n, front in enumerate(self.fronts):
            for key, local in front.escrow.local_limits.items():
                if local.limit.kind is LimitKind.EXACT:
                    reserved = sum(r.units.get(key, 0) for r in front.sessions.values())
                    assert local.share.used == reserved, (
                        f"front {n}: {local.share.used} counted, {reserved} reserved"
                    )

    def check_playing(self) -> None:
        """For fleets without paused fronts, under limits that cover all sessions."""
        for limit in self.settings.limits:
            covers_all = not limit.each_title and {limit.partner, limit.cls, limit.zone} == {-1}
            if limit.kind is LimitKind.EXACT and covers_all:
                assert self.playing_count() <= limit.amount, f"{limit.name}: {self.playing_count()} play"

    def check_rate(self, limit: Limit) -> None:
        times = sorted(self.started_at)
        for first in range(len(times)):
            for last in range(first, len(times)):
                bound = self.settings.max_set_ups(limit, times[last] - times[first])
                started = last - first + 1
                assert started <= bound + 1e-6, f"{limit.name}: {started} for {bound:.2f}"


def random_walk(fleet: Fleet, seed: int, steps: int, kills: bool = True) -> None:
    """Random steps: messages in any order, any number of times or never, fronts that are paused for long or
    restarted, and time that passes."""
    random, lease_ms = Random(seed), fleet.settings.lease_ms
    for _ in range(steps):
        number, draw = random.randrange(fleet.count), random.random()
        if draw < 0.32:
            fleet.tick(number)
        elif draw < 0.7 and fleet.sent:
            last = len(fleet.sent) - 1
            fleet.deliver(random.randint(max(0, last - 5) if random.random() < 0.9 else 0, last))
        elif draw < 0.82:
            fleet.request(number, title=random.choice(("/a", "/b")), cls=random.randrange(2))
        elif draw < 0.88:
            fleet.end(number)
        elif draw < 0.96:
            fleet.now += random.choice((1.0, PERIOD / 5, PERIOD))
        elif draw < 0.985:
            fleet.now += lease_ms * random.choice((random.random(), 1.02))
        elif draw < 0.992 or not kills:
            fleet.run(2)  # two periods without faults
        else:
            fleet.restart(number)
        fleet.check()
