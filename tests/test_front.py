"""The decision module: its six rules with random legal event sequences, and a test for each known failure."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterator
from dataclasses import replace
from random import Random
from typing import Any

import pytest

from lemonhall.decide import COLD_GAP_MARGIN, Front, MediaServer
from lemonhall.interface import (
    Action,
    AttemptEnded,
    Event,
    Fail,
    HandedOver,
    ListKind,
    NewSession,
    Note,
    NoteKind,
    Outcome,
    Playing,
    Refuse,
    Server,
    ServerList,
    ServerState,
    SetRung,
    SetTimer,
    Settings,
    SetUp,
    Tenant,
    TimerDue,
    ViewerGone,
)
from tests.conftest import make_servers, make_settings

RAN = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


def request(number: int, cls: int = 1, title: int = 7, left_ms: float = 4000.0, top: int = 4) -> NewSession:
    return NewSession(number, cls, number, title, left_ms, top, 0, 12)


def started(
    settings: Settings, servers: tuple[Server, ...], now: float = 0.0, handed: bool = True, seed: int = 5
) -> Front:
    """A front with a fresh list; with `handed`, one session was handed over for each server."""
    front = Front(settings, seed)
    events: list[Event] = [ServerList(ListKind.CACHED, 1, servers), ServerList(ListKind.FULL, 2, servers)]
    if handed:
        events += [HandedOver(request(9000 + n, title=900 + n), s.id) for n, s in enumerate(servers)]
        events += [Note(9000 + n, 0, s.id, NoteKind.RUNG, 0.0) for n, s in enumerate(servers)]
    front.handle(now, events)
    return front


def of(actions: list[Action], kind: type) -> list[Action]:
    return [a for a in actions if isinstance(a, kind)]


class World:
    """Random servers and viewers within the protocol, and a check of the rules for each action."""

    def __init__(self, seed: int, settings: Settings) -> None:
        self.random = Random(seed)
        self.settings = settings
        self.now = 1000.0
        self.front = Front(settings, seed)
        self.servers = {s.id: s for s in make_servers(8)}
        self.due: list[tuple[float, int, Event]] = []
        self.live: dict[int, NewSession] = {}
        self.asked_at: dict[int, float] = {}
        self.out: dict[int, tuple[int, int]] = {}  # by session: attempt, server
        self.playing: dict[int, int] = {}
        self.ran: dict[int, bool] = {}
        self.attempts: dict[int, int] = {}
        self.answered: dict[int, int] = {}
        self.forbidden: dict[int, bool] = {}
        self.retries: list[float] = []
        self.log: list[Action] = []
        self.count = 0

    def later(self, after: float, event: Event) -> None:
        self.count += 1
        self.due.append((self.now + after, self.count, event))

    def run(self, steps: int) -> None:
        self.step([ServerList(ListKind.CACHED, 1, tuple(self.servers.values()))])
        for n in range(steps):
            self.now += self.random.choice([10.0, 50.0, 200.0])
            ready = sorted(d for d in self.due if d[0] <= self.now)
            self.due = [d for d in self.due if d[0] > self.now]
            events: list[Event] = [e for d in ready if (e := self.still_valid(d[2])) is not None]
            if self.random.random() < 0.5:
                cls = self.random.randrange(2)
                new = request(n, cls, self.random.randrange(4), self.settings.classes[cls].deadline_ms)
                self.live[n], self.asked_at[n], self.attempts[n], self.ran[n] = new, self.now, 0, False
                self.answered[n] = 0
                events.append(new)
            if self.random.random() < 0.03:
                server = self.random.choice(list(self.servers.values()))
                state = self.random.choice(list(ServerState))
                self.servers[server.id] = replace(server, state=state)
                self.forbidden[server.id] = state != ServerState.READY
                events.insert(0, ServerList(ListKind.CHANGES, n, (self.servers[server.id],)))
            self.step(events)

    def still_valid(self, event: Event) -> Event | None:
        if isinstance(event, Playing):
            if self.out.get(event.id, (-1, 0))[0] != event.attempt:
                return None
            self.playing[event.id] = event.server
            self.answered[event.id] += 1
            self.live.pop(event.id, None)
        if isinstance(event, AttemptEnded):
            if self.out.get(event.id, (-1, 0))[0] != event.attempt:
                return None
            del self.out[event.id]
            self.playing.pop(event.id, None)
            if not event.closed:
                self.ran[event.id] |= event.outcome in RAN
        if isinstance(event, Note) and event.id not in self.playing:
            return None
        return event

    def step(self, events: list[Event]) -> None:
        actions = self.front.handle(self.now, events)
        self.log += actions
        for a in actions:
            self.check(a)
        for number, new in list(self.live.items()):  # rule 1: each request is answered by its deadline
            assert number in self.out or self.answered[number] == 1, "a request is not answered"
            assert self.now <= self.asked_at[number] + new.left_ms + 250

    def check(self, a: Action) -> None:
        if isinstance(a, SetTimer):
            self.later(a.after_ms, TimerDue(a.token))
        elif isinstance(a, SetRung):
            new = self.live.get(a.id)
            if new is not None:
                assert self.settings.classes[new.cls].floor <= a.rung <= new.top  # rule 5
        elif isinstance(a, Refuse | Fail):
            self.answered[a.id] += 1
            assert self.answered[a.id] == 1 and a.id not in self.out  # rule 1
            if isinstance(a, Refuse) and self.live[a.id].cls == 0:
                assert not self.ran[a.id]  # rule 2
            del self.live[a.id]
        elif isinstance(a, SetUp):
            self.check_set_up(a)

    def check_set_up(self, a: SetUp) -> None:
        new = self.live[a.id]
        assert a.id not in self.out, "two attempts at once"
        assert not self.forbidden.get(a.server), "listed as draining or gone"  # rule 3
        assert not (new.cls == 0 and self.ran[a.id]), "a paid set-up is repeated"  # rule 2
        same = [r for r in self.out if (self.titles[r]) == (new.cls, new.title)]
        seats = self.settings.classes[new.cls].seats
        assert not seats or len(same) < seats  # rule 5
        attempt = self.attempts[a.id]
        assert attempt < self.settings.max_attempts
        if attempt and self.settings.retry_free is not None:  # rule 6
            since = self.now - self.settings.retry_span_ms
            self.retries = [t for t in self.retries if t > since] + [self.now]
            taken = sum(1 for t in self.asked_at.values() if t > since)
            assert len(self.retries) <= self.settings.retry_free + self.settings.retry_share * taken
        self.attempts[a.id] += 1
        self.out[a.id] = (attempt, a.server)
        self.titles[a.id] = (new.cls, new.title)
        left = self.asked_at[a.id] + new.left_ms - self.now
        limit = min(a.timeout_ms or left, left)
        chance = self.random.random()
        if chance < 0.6:
            self.later(60.0, Playing(a.id, attempt, a.server, 60.0))
            self.later(80.0, Note(a.id, attempt, a.server, NoteKind.LINK, self.random.random() * 1.3))
            end = self.random.choice([Outcome.OK, Outcome.RESET, Outcome.CANCELLED])
            self.later(
                100 + self.random.random() * 20000, AttemptEnded(a.id, attempt, a.server, end, True, 9.0)
            )
        elif chance < 0.8:
            self.later(limit, AttemptEnded(a.id, attempt, a.server, Outcome.TIMEOUT, False, limit))
        else:
            failed = self.random.choice([*RAN[:3], Outcome.FULL, Outcome.CONNECT_FAILED])
            self.later(min(limit, 30.0), AttemptEnded(a.id, attempt, a.server, failed, False, 30.0))

    @property
    def titles(self) -> dict[int, tuple[int, int]]:
        return self.__dict__.setdefault("_titles", {})


@pytest.mark.parametrize("seed", range(6))
def test_rules_hold_on_random_days(seed: int) -> None:
    rationed = {"retry_free": 2.0, "retry_share": 0.1, "retry_span_ms": 5000.0} if seed % 2 else {}
    fields = ("x0", "x1") if seed % 3 else ("utilization",)
    world = World(seed, make_settings(report_fields=fields, **rationed))
    world.run(1500)
    assert of(world.log, SetUp) and of(world.log, Refuse) and of(world.log, Fail)
    world.now += 60000
    last = sorted(world.due)
    world.due = []
    world.step([e for d in last if (e := world.still_valid(d[2])) is not None])
    kept = world.front.sessions
    assert len(kept) == len(world.out), "state of sessions that ended is kept"


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    code = (
        "import sys; sys.path.insert(0, 'tests')\n"
        "from test_front import World, make_settings\n"
        "w = World(3, make_settings()); w.run(400); print(w.log)"
    )
    runs = [
        subprocess.run(
            [sys.executable, "-c", code], env={"PYTHONHASHSEED": s}, capture_output=True, check=True
        ).stdout
        for s in ("1", "2")
    ]
    assert len(runs[0]) > 1000 and runs[0] == runs[1]


def test_a_paid_set_up_that_may_have_run_fails_and_is_not_retried(settings: Settings) -> None:
    front = started(settings, make_servers())
    (sent,) = of(front.handle(20000.0, [request(1, cls=0)]), SetUp)
    end = AttemptEnded(1, 0, sent.server, Outcome.ERROR, False, 5.0)
    assert of(front.handle(20010.0, [end]), SetUp | Refuse | Fail) == [Fail(1)]


def test_a_paid_session_that_may_have_run_before_fails_at_once(
    settings: Settings,
) -> None:
    front = started(settings, make_servers(4))
    out = front.handle(10.0, [replace(request(1, cls=0), maybe_ran=True)])
    assert of(out, Fail) and not of(out, SetUp)
    assert of(front.handle(20.0, [replace(request(2, cls=1), maybe_ran=True)]), SetUp)


def test_learned_state_is_taken_over_except_of_servers_that_restarted(settings: Settings) -> None:
    servers = make_servers(3)
    front = started(settings, servers)
    front.handle(10.0, [request(1)])
    sent = of(front.handle(11.0, [request(2)]), SetUp)[0]
    front.handle(500.0, [AttemptEnded(2, 0, sent.server, Outcome.RESET, False, 400.0)])
    kept = front.memory()
    bad = next(s for s in kept.servers if s.server == sent.server)
    assert bad.failure_score > 0 and bad.ejected_until > 500.0
    successor = Front(settings, 6)
    restarted = tuple(replace(s, ready_at=400.0) if s.id == servers[0].id else s for s in servers)
    successor.handle(600.0, [ServerList(ListKind.CACHED, 3, restarted), kept])
    server = successor.tracked_servers[sent.server]
    has_restarted = sent.server == servers[0].id
    assert server.ejected_until == (float("-inf") if has_restarted else bad.ejected_until)
    assert (
        successor.mean_set_up_ms == kept.mean_set_up_ms
        and successor.memory().mean_session_ms == kept.mean_session_ms
    )
    late = Front(settings, 6)
    late.handle(600.0 + 90_000.0, [ServerList(ListKind.CACHED, 3, servers), kept])
    assert late.tracked_servers[sent.server].failure_score == 0.0  # the failure is too old to count


def test_a_paid_set_up_that_never_ran_is_retried_at_another_server(settings: Settings) -> None:
    front = started(settings, make_servers())
    (sent,) = of(front.handle(20000.0, [request(1, cls=0)]), SetUp)
    end = AttemptEnded(1, 0, sent.server, Outcome.CONNECT_FAILED, False, 5.0)
    (again,) = of(front.handle(20010.0, [end]), SetUp)
    assert again.server != sent.server


def test_a_list_applies_to_requests_earlier_in_its_batch(settings: Settings) -> None:
    servers = make_servers(2)
    front = started(settings, servers)
    drained = replace(servers[0], state=ServerState.DRAINING)
    events: list[Event] = [request(n) for n in range(6)]
    actions = front.handle(20000.0, [*events, ServerList(ListKind.CHANGES, 3, (drained,))])
    assert of(actions, SetUp) and all(a.server != servers[0].id for a in of(actions, SetUp))


def test_a_request_without_any_server_is_refused_at_once(settings: Settings) -> None:
    front = Front(settings, 1)
    assert of(front.handle(0.0, [request(1)]), Refuse) == [Refuse(1, 500.0)]


def test_a_timeout_at_the_deadline_is_answered_in_its_batch(settings: Settings) -> None:
    front = started(settings, make_servers())
    (sent,) = of(front.handle(20000.0, [request(1)]), SetUp)
    end = AttemptEnded(1, 0, sent.server, Outcome.TIMEOUT, False, 4000.0)
    assert of(front.handle(24000.0, [end]), SetUp | Refuse | Fail) == [Refuse(1, 500.0)]


@pytest.mark.parametrize("fronts", [1, 3])
def test_a_cold_server_gets_set_ups_at_its_rate_from_all_fronts_together(fronts: int) -> None:
    cold = make_servers(1, ready_at=1000.0)
    group = [started(make_settings(fronts=fronts, index=n), cold, 1000.0, False) for n in range(fronts)]
    sent: list[float] = []
    for n in range(600):
        now = 1000.0 + n * 10
        for k, front in enumerate(group):
            sent += [now for _ in of(front.handle(now, [request(n * 10 + k, top=0)]), SetUp)]
    gap = 12000.0 / 27 / 0.4 * COLD_GAP_MARGIN
    assert len(sent) > 2
    assert all(later - earlier > gap / 2 for earlier, later in zip(sent, sent[1:], strict=False))


def test_a_server_whose_restart_is_not_listed_yet_is_cold(settings: Settings) -> None:
    """A server that reset its sessions has restarted and is cold, long before the list shows it."""
    front = started(settings, make_servers(1))
    front.handle(20000.0, [AttemptEnded(9000, 0, 100, Outcome.RESET, True, 9.0)])
    sent = 0
    for n in range(300):
        now = 23000.0 + n * 10
        for a in of(front.handle(now, [request(n, top=0)]), SetUp):
            sent += 1
            front.handle(now, [Playing(a.id, 0, 100, 1.0)])
    assert sent == 1


def test_a_failing_server_is_ejected_and_then_tried_once(settings: Settings) -> None:
    front = started(settings, make_servers(4))
    front.handle(20000.0, [AttemptEnded(9000, 0, 100, Outcome.RESET, True, 9.0)])
    at_once = [a for n in range(12) for a in of(front.handle(20010.0, [request(n)]), SetUp)]
    assert at_once and all(a.server != 100 for a in at_once)
    later = [a for n in range(40) for a in of(front.handle(23000.0, [request(100 + n)]), SetUp)]
    assert sum(a.server == 100 for a in later) <= 1


def test_a_shortfall_on_one_link_does_not_lower_its_rack() -> None:
    """A shortfall at one server only is one of its link; other sessions of the rack keep their rungs."""
    front = started(make_settings(report_fields=("utilization",)), make_servers(6))
    before = front.uplinks[0].own_limit_kb
    front.handle(20000.0, [Note(9000, 0, 100, NoteKind.SHARE, 0.5)])
    assert front.uplinks[0].own_limit_kb == before
    rack = [n for n in range(6) if n % 3 == 0]
    front.handle(24000.0, [Note(9000 + n, 0, 100 + n, NoteKind.SHARE, 0.5) for n in rack])
    assert front.uplinks[0].own_limit_kb < before


def test_a_link_above_its_target_lowers_low_sessions(settings: Settings) -> None:
    front = started(settings, make_servers(1))
    notes: list[Event] = [Note(9000, 0, 100, NoteKind.RUNG, 4.0), Note(9000, 0, 100, NoteKind.LINK, 1.6)]
    front.handle(20000.0, notes)
    assert [a.rung < 4 for a in of(front.handle(20500.0, [TimerDue(0)]), SetRung)] == [True]


def test_a_viewer_that_left_during_its_set_up_keeps_its_seat_until_the_end_is_reported(
    settings: Settings,
) -> None:
    front = started(settings, make_servers())
    sent = [a for n in (1, 2) for a in of(front.handle(20000.0, [request(n, cls=0)]), SetUp)]
    front.handle(20010.0, [ViewerGone(1), ViewerGone(2)])
    assert of(front.handle(20020.0, [request(3, cls=0)]), SetUp | Refuse) == [Refuse(3, 500.0)]
    front.handle(20030.0, [AttemptEnded(1, 0, sent[0].server, Outcome.CANCELLED, True, 9.0)])
    assert of(front.handle(20040.0, [request(4, cls=0)]), SetUp)


def test_sub_rating_lowers_alpha_low_sessions_and_raises_them_afterwards(settings: Settings) -> None:
    front = started(settings, make_servers(1), handed=False)
    server = front.tracked_servers[100]
    handed = [HandedOver(request(n, title=n), 100) for n in range(4)]
    front.handle(20000.0, [*handed, *(Note(n, 0, 100, NoteKind.RUNG, 2.0) for n in range(4))])
    server.link.record_use(20000.0, 1.0 * server.link.capacity_kb, 0.0)  # at the target, so there is no room
    actions = front.handle(20010.0, [request(50, cls=0, title=50)])
    lowered = {a.id: a.rung for a in of(actions, SetRung) if a.id < 4}
    assert len(lowered) == 2 and of(actions, SetUp)
    server.link.record_use(20020.0, 0.3 * server.link.capacity_kb, 0.0)
    front.handle(20100.0, [Playing(50, 0, 100, 60.0)])
    actions = front.handle(20200.0, [AttemptEnded(50, 0, 100, Outcome.OK, True, 190.0)])
    raised = {a.id: a.rung for a in of(actions, SetRung)}
    assert raised.items() >= dict.fromkeys(lowered, 2).items()


def test_premium_may_use_the_rest_of_its_reserve_together_with_the_pool(settings: Settings) -> None:
    """A rest of the reserve that is too small for a session must not prevent its admission."""
    front = started(settings, make_servers(1), handed=False)
    server = front.tracked_servers[100]
    server.quota, server.slot_kb, server.quota_due_at = (1, 0), 300.0, 30000.0
    front.now = 20000.0
    for link in server.links:
        link.record_use(20000.0, 0.0, 0.0)
    server.link.change_own(20000.0, front.room(server) - 550.0)
    assert front.room(server) == pytest.approx(550.0)  # 250 of it in the pool; the session needs 491
    assert of(front.handle(20000.0, [request(2, cls=0, title=2)]), SetUp)


def test_servers_known_to_be_full_are_not_used(settings: Settings) -> None:
    front = started(settings, make_servers(6))
    for n in range(5):
        front.tracked_servers[100 + n].link.record_use(20000.0, 1.5 * 6772.0, 0.0)
    front.tracked_servers[105].link.record_use(20000.0, 0.2 * 6772.0, 0.0)
    sent = [a for n in range(3) for a in of(front.handle(20000.0, [request(n, top=0)]), SetUp)]
    assert [a.server for a in sent] == [105, 105, 105]


def test_a_shortfall_that_use_does_not_explain_stands_for_a_missing_report(settings: Settings) -> None:
    """A link gives less and sends no reports: the delivered share must make its room smaller."""
    front = started(settings, make_servers(2))
    for n in range(2):
        front.tracked_servers[100 + n].link.record_use(18000.0, 0.5 * 6772.0, 0.0)
        front.uplinks[n].record_use(18000.0, 0.5 * 18548.0, 0.0)
    before = front.room(front.tracked_servers[100])
    front.handle(20000.0, [Note(9000, 0, 100, NoteKind.SHARE, 0.6)])
    assert front.room(front.tracked_servers[100]) < before


def test_a_delivered_share_of_zero_means_a_stalled_server_not_a_slow_link(settings: Settings) -> None:
    front = started(settings, make_servers(4))
    before = front.tracked_servers[100].link.others_kb
    front.handle(20000.0, [Note(9000, 0, 100, NoteKind.SHARE, 0.0)])
    assert front.tracked_servers[100].link.others_kb == before
    sent = [a for n in range(8) for a in of(front.handle(20010.0, [request(n)]), SetUp)]
    assert sent and all(a.server != 100 for a in sent)


def test_decisions_do_not_depend_on_numbers(settings: Settings) -> None:
    """Other numbers of servers, sessions, viewers and titles give the same decisions."""

    def play(shift: int) -> list[tuple[str, int]]:
        servers = tuple(replace(s, id=s.id + shift) for s in make_servers(6))
        front = started(settings, servers)
        log: list[Action] = []
        for n in range(40):
            new = replace(request(n + shift, cls=n % 2), viewer=n + 3 * shift, title=n % 5 + shift)
            log += front.handle(20000.0 + n * 50, [new])
        return [(type(a).__name__, getattr(a, "server", shift) - shift) for a in log]

    assert play(0) == play(5000)


def test_a_session_is_sub_rated_once_only(settings: Settings) -> None:
    front = started(settings, make_servers(1), handed=False)
    server = front.tracked_servers[100]
    handed = [HandedOver(request(n, title=n), 100) for n in range(2)]
    front.handle(20000.0, [*handed, *(Note(n, 0, 100, NoteKind.RUNG, 4.0) for n in range(2))])
    taken = []
    for number in (50, 51):
        now = 20000.0 + number
        server.link.record_use(now, 1.2 * server.link.capacity_kb, 0.0)
        taken.append(bool(of(front.handle(now, [request(number, cls=0, title=number)]), SetUp)))
    assert front.sessions[0].rung > 0 and front.sessions[1].rung > 0, "they could be lowered further"
    assert taken == [True, False]


def test_an_estimate_of_an_uplink_without_reports_refuses_nobody() -> None:
    """A front without sessions gets no reports, so an estimate above the target would refuse for ever."""
    settings = make_settings(fronts=20, report_fields=("utilization",), full_from=0.0, uplink_kb=6000.0)
    front = started(settings, make_servers(6), handed=False)
    sent = [n for n in range(5) if of(front.handle(20000.0 + 3000 * n, [request(n, top=0)]), SetUp)]
    assert sent == [0, 1, 2, 3, 4]


@pytest.mark.parametrize("fronts", [3, 40, 150])
def test_fronts_share_the_whole_room_of_a_server_by_chance(fronts: int) -> None:
    """Many fronts act on one report with a request each: together they use the room and do not exceed it."""
    settings = make_settings(fronts=fronts, racks=0, uplink_kb=0.0)
    room_kb, floor, sent, runs = 0.45 * 6772.0, 289.0, 0, 40
    for run in range(runs):
        for n in range(fronts):
            front = Front(replace(settings, index=n), 1000 * run + n)
            front.handle(0.0, [ServerList(ListKind.FULL, 1, make_servers(1))])
            link = front.tracked_servers[100].link
            link.record_use(2500.0, link.target_use * link.capacity_kb - room_kb, 0.0)
            sent += len(of(front.handle(2500.0, [request(1, top=0)]), SetUp))
    fits = room_kb / floor
    assert min(fronts, fits / 2) <= sent / runs <= min(fronts, fits * 1.15)


def test_a_cold_server_gets_neither_no_set_ups_nor_too_many_from_many_fronts() -> None:
    """100 fronts with rare requests keep the rate together, though no single front's turn comes in time."""
    cold = make_servers(8, ready_at=61000.0)
    group = [started(make_settings(fronts=100, index=n), cold, 1000.0, False) for n in range(100)]
    random, sent = Random(3), []
    for front in group:
        front.arrivals, front.observed_ms, front.arrivals_at = [9.0, 0.0], 60000.0, 61000.0
    for tick in range(1100):
        now = 61000.0 + tick * 10
        for n, front in enumerate(group):
            if random.random() < 0.0015:  # 15 requests a second in all
                ups = of(front.handle(now, [request(tick * 1000 + n, top=0)]), SetUp)
                sent += [(now, a.server) for a in ups]
    assert len(sent) >= len(cold), "some got no set-up"
    for server in (s.id for s in cold):
        times = [at for at, to in sent if to == server]
        pace = 0.4 * (27 if server % 2 == 0 else 18) / 12000.0
        most = 2.0 * pace * 2000.0 + 2
        assert all(sum(at <= other < at + 2000 for other in times) <= most for at in times)


def test_a_tenant_within_its_rate_is_within_it_at_many_fronts() -> None:
    """A front's share of the rate is below one session in the burst time, so few requests are no excess."""
    settings = make_settings(fronts=175, tenants=(Tenant(15.0),), over_share_worth=0.2)
    front = started(settings, make_servers(6), handed=False)
    assert not any(front.exceeds_tenant_rate(0) for _ in range(3))  # close together by chance
    assert front.exceeds_tenant_rate(0) and front.exceeds_tenant_rate(0)  # a burst is noticed
    front.now += 60000.0
    assert not front.exceeds_tenant_rate(0)


class CountingList(list[MediaServer]):
    """A list of servers that counts how many are read."""

    reads = 0

    def __getitem__(self, n: Any) -> Any:
        self.reads += 1
        return super().__getitem__(n)

    def __iter__(self) -> Iterator[MediaServer]:
        self.reads += len(self)
        return super().__iter__()


def test_work_grows_with_own_sessions_and_not_with_the_fleet() -> None:
    """With 3 sessions, timers and requests read no more servers of 160 than of 20."""
    reads = []
    for count in (20, 160):
        front = started(make_settings(fronts=200, cells=count), make_servers(count), handed=False)
        new = [replace(request(n, title=n, top=0), cells=count) for n in range(13)]
        front.handle(20000.0, [HandedOver(session, 100 + session.id) for session in new[:3]])
        full = [
            Note(n.id, 0, 100 + n.id, NoteKind.LINK, 1.0) for n in new[:3]
        ]  # otherwise only these would be used
        front.handle(20000.0, full)
        front.server_list = order = CountingList(front.server_list)
        for session in new[3:]:
            front.handle(20000.0 + 500 * session.id, [TimerDue(0), session])
        reads.append(order.reads)
    assert 0 < reads[1] <= reads[0] * 1.2


def servers_of_ten(use: float) -> set[int]:
    """Where ten requests go, with sessions at three of 20 servers whose links report `use`."""
    front = started(make_settings(fronts=200, cells=20), make_servers(20), handed=False)
    new = [replace(request(n, title=n, top=0), cells=20) for n in range(13)]
    front.handle(20000.0, [HandedOver(session, 100 + session.id) for session in new[:3]])
    front.handle(20001.0, [Note(n.id, 0, 100 + n.id, NoteKind.LINK, use) for n in new[:3]])
    actions = [a for n in new[3:] for a in front.handle(20500.0 + n.id, [n])]
    return {a.server for a in actions if isinstance(a, SetUp)}


def test_servers_with_own_sessions_are_used_first_while_they_have_the_usual_room() -> None:
    """Otherwise each of many fronts connects to all servers and knows the load of few."""
    assert servers_of_ten(0.5) <= {100, 101, 102}
    elsewhere = servers_of_ten(0.97)
    assert len(elsewhere) > 1 and not elsewhere & {100, 101, 102}


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("fronts", 0),
        ("classes", ()),
        ("ladder_kb", ()),
        ("ladder_worth", (0.5,)),
        ("places_by_kind", ()),
        ("link_kb_per_weight", float("nan")),
        ("cells", 0),
    ],
)
def test_invalid_settings_are_refused_by_name(name: str, value: object) -> None:
    with pytest.raises(ValueError, match=name):
        make_settings(**{name: value})


def test_unknown_report_fields_are_ignored_and_missing_limits_take_defaults(settings: Settings) -> None:
    front = started(replace(settings, report_fields=("strange", "x0"), max_pause_ms=0.0), make_servers())
    (sent,) = of(front.handle(20000.0, [request(1)]), SetUp)
    front.handle(20050.0, [Playing(1, 0, sent.server, 50.0)])
    front.handle(20100.0, [AttemptEnded(1, 0, sent.server, Outcome.OK, True, 9.0, (7.0, 0.6))])
    link = front.tracked_servers[sent.server].link
    assert link.others_kb + link.reported_own_kb == pytest.approx(0.6 * link.capacity_kb, rel=0.5)


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -1.0])
@pytest.mark.parametrize("kind", [*NoteKind, 99])
def test_notes_out_of_range_have_no_effect(settings: Settings, kind: int, value: float) -> None:
    front = started(settings, make_servers())
    before = [(s.rung, s.kb) for s in front.sessions.values()]
    room = {n: front.room(b) for n, b in front.tracked_servers.items()}
    assert front.handle(0.0, [Note(9000, 0, 100, kind, value)]) == []
    assert before == [(s.rung, s.kb) for s in front.sessions.values()]
    assert room == {n: front.room(b) for n, b in front.tracked_servers.items()}


def test_events_of_unknown_sessions_and_servers_have_no_effect(settings: Settings) -> None:
    front = started(settings, make_servers())
    unknown: list[Event] = [
        Playing(777, 0, 5, 9.0),
        Note(777, 0, 5, NoteKind.LINK, 0.5),
        AttemptEnded(777, 0, 5, Outcome.RESET, True, 9.0, (0.5, 0.5)),
        ViewerGone(777),
    ]
    assert front.handle(20000.0, unknown) == [] and len(front.sessions) == 6


def test_late_and_repeated_ends_do_not_affect_the_current_attempt(settings: Settings) -> None:
    front = started(settings, make_servers())
    (first,) = of(front.handle(20000.0, [request(1)]), SetUp)
    end = AttemptEnded(1, 0, first.server, Outcome.CONNECT_FAILED, False, 5.0)
    (second,) = of(front.handle(20010.0, [end]), SetUp)
    assert front.handle(20020.0, [end]) == []
    server = front.sessions[1].assigned_server
    assert server is not None and server.entry.id == second.server
    done = AttemptEnded(1, 1, second.server, Outcome.OK, True, 5.0)
    assert front.handle(20030.0, [Playing(1, 1, second.server, 9.0), done, done]) == []


def test_a_server_that_is_listed_twice_is_tracked_once(settings: Settings) -> None:
    servers = make_servers(3)
    front = started(settings, (*servers, *servers), handed=False)
    assert len(front.tracked_servers) == len(front.server_list) == 3
    gone = replace(servers[0], state=ServerState.GONE)
    front.handle(20000.0, [ServerList(ListKind.CHANGES, 3, (gone, gone))])
    assert len(front.tracked_servers) == len(front.server_list) == 2


def test_method_two_works_with_the_few_arrivals_of_one_front_of_a_hundred() -> None:
    """Sessions held stand for arrivals, so a front with few requests still sets reserves."""
    settings = make_settings(fronts=100)
    front = started(settings, make_servers(6), handed=False)
    held: list[Event] = [HandedOver(request(n, cls=n % 2, title=n), 100 + n % 6) for n in range(8)]
    front.handle(0.0, held)
    for n in range(5):
        front.handle(2000.0 + 3000 * n, [request(50 + n, cls=n % 2, title=50 + n)])
    assert front.cached_quotas and any(sum(split) for split in front.cached_quotas.values())


def test_one_low_session_is_sub_rated_where_a_front_has_few() -> None:
    """One front rarely has alpha low sessions on a server; one that frees enough is sufficient."""
    front = started(make_settings(fronts=100), make_servers(1), handed=False)
    server = front.tracked_servers[100]
    front.handle(20000.0, [HandedOver(request(1, title=1), 100), Note(1, 0, 100, NoteKind.RUNG, 3.0)])
    server.link.record_use(20000.0, server.link.capacity_kb, 0.0)
    actions = front.handle(20010.0, [request(50, cls=0, title=50)])
    assert [a.id for a in of(actions, SetUp)] == [50]
    assert front.sessions[1].rung < 3 and front.sessions[1].was_sub_rated


def test_a_rise_above_the_usual_jump_is_not_smoothed(settings: Settings) -> None:
    """If all links give less at once, smoothing would halve the first reaction. Small rises are noise."""
    front = started(settings, make_servers(1), handed=False)
    link = front.tracked_servers[100].link
    for n in range(40):  # reports that vary by a tenth
        link.record_use(20000.0 + n * 2500, (0.5 + 0.1 * (n % 2)) * link.capacity_kb, 0.0)
    link.record_use(122000.0, 0.62 * link.capacity_kb, 0.0)
    assert link.others_kb < 0.61 * link.capacity_kb
    link.record_use(124500.0, 1.4 * link.capacity_kb, 0.0)
    assert link.others_kb == pytest.approx(1.4 * link.capacity_kb)


def test_sessions_are_raised_into_much_room_at_once_and_no_further() -> None:
    """One step in each control period took 15 s to fill links a third full, with 13 sessions a server."""
    settings = make_settings(reports_every_ms=2500.0)
    servers = make_servers(1)
    front = started(settings, servers, handed=False)
    count = 6
    events: list[Event] = [HandedOver(request(9000 + n, title=900 + n), servers[0].id) for n in range(count)]
    events += [Note(9000 + n, 0, servers[0].id, NoteKind.RUNG, 0.0) for n in range(count)]
    front.handle(100.0, events)
    front.handle(20000.0, [Note(9000, 0, servers[0].id, NoteKind.LINK, 0.2)])
    raised = of(front.handle(20500.0, [TimerDue(0)]), SetRung)
    link = front.tracked_servers[servers[0].id].link
    assert len({a.id for a in raised if isinstance(a, SetRung)}) > 1
    assert link.own_kb <= link.capacity_kb  # the raised sessions fit
    again = of(front.handle(21000.0, [TimerDue(0)]), SetRung)
    assert link.own_kb <= link.capacity_kb and len(again) <= 1  # without a new report the room is used up


@pytest.mark.parametrize(("errors", "suspected"), [(1, 1), (2, 0), (3, 0)])
def test_an_error_from_two_servers_is_a_fault_of_the_session(errors: int, suspected: int) -> None:
    """Malformed requests with ids that no server knows had ejected seven of twelve servers at once."""
    front = started(make_settings(), make_servers(6))
    now, actions = 100.0, front.handle(100.0, [request(1)])
    for attempt in range(errors):
        (sent,) = (a for a in actions if isinstance(a, SetUp))
        now += 5.0
        ended = AttemptEnded(1, attempt, sent.server, Outcome.ERROR, False, 5.0)
        actions = front.handle(now, [ended])
    assert sum(server.failure_score > 0 for server in front.tracked_servers.values()) == suspected
    assert not [server for server in front.tracked_servers.values() if server.ejected_until > now]


def test_a_server_that_fails_many_sessions_is_ejected_nevertheless() -> None:
    front = started(make_settings(), make_servers(6))
    bad, now = 100, 100.0
    for n in range(40):
        now += 20.0
        actions, attempt = front.handle(now, [request(n + 1, title=n)]), 0
        while sent := [a for a in actions if isinstance(a, SetUp)]:
            ended: Event = Playing(n + 1, attempt, sent[0].server, 5.0)
            if sent[0].server == bad:
                ended = AttemptEnded(n + 1, attempt, bad, Outcome.ERROR, False, 5.0)
            actions, attempt = front.handle(now, [ended]), attempt + 1
        if front.tracked_servers[bad].ejected_until > now:
            return
    pytest.fail("never ejected")


def test_a_delayed_request_counts_from_its_arrival() -> None:
    """The retry budget depends on the requests of viewers in the span, not on when the module got them."""
    settings = replace(make_settings(), retry_free=1.0, retry_share=0.0, retry_span_ms=5000.0)
    front = started(settings, make_servers(4))
    front.handle(100.0, [replace(request(1), waited_ms=2400.0)])
    assert front.request_times[-1] == 100.0 - 2400.0


def crossing_share(cost: float, use: float = 0.0, count: int = 60) -> float:
    """Part of first set-ups that go to another zone; `use` is that of the links in the own zone."""
    settings = replace(make_settings(), zone=1, cross_zone_cost=cost)
    servers = tuple(replace(s, zone=n % 2) for n, s in enumerate(make_servers(12)))
    found = 0
    for seed in range(count):
        front = started(settings, servers, seed=seed)
        notes = [Note(9000 + n, 0, s.id, NoteKind.LINK, use * s.zone) for n, s in enumerate(servers)]
        front.handle(500.0, list(notes))
        (made,) = of(front.handle(1000.0, [request(1)]), SetUp)
        found += servers[[s.id for s in servers].index(made.server)].zone != settings.zone
    return found / count


def test_a_cost_of_other_zones_keeps_sessions_in_their_own() -> None:
    assert crossing_share(0.3) <= 0.05 and 0.25 <= crossing_share(0.0) <= 0.75


def test_sessions_leave_a_zone_that_is_fuller_by_more_than_the_cost() -> None:
    assert crossing_share(0.05, use=0.7) >= 0.5 and crossing_share(0.9, use=0.7) <= 0.1
