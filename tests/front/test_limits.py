"""Limits of the whole fleet at running fronts: refused at once with a reason, shown, handed over, and held by
eight processes while links and fronts fail."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

from click.testing import CliRunner

from lemonhall.cli import group
from lemonhall.cli.limits import line, of_fleet
from lemonhall.config.day import read_day
from lemonhall.day import play_day
from lemonhall.front.decider.limits import LimitsDriver
from lemonhall.limits import FleetLimits, LimitSettings
from lemonhall.loop import Loop
from lemonhall.model.played.world import World
from tests.front.harness import TERMS
from tests.front.harness import FrontHarness as Front
from tests.limits.fleet import PERIOD, exact_limit, settings_of

Build = Callable[..., Front]

DAYS = Path(__file__).parents[2] / "examples" / "days"


class Line:
    """Words of two desks, which know one another at once."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.other: LimitsDriver | None = None
        self.sent = 0

    def send_to_front(self, number: int, message: Any) -> bool:
        self.sent += 1
        if self.other:
            self.other.loop.call_soon(self.other.on_message, message)
        return True


class Clock:
    def __init__(self) -> None:
        self.at = 1000.0

    def __call__(self) -> float:
        return self.at


def desks(made: LimitSettings) -> tuple[Loop, Clock, list[LimitsDriver]]:
    clock = Clock()
    loop, found = Loop(lambda: clock.at / 1000), []
    lines = [Line(0), Line(1)]
    for n, carrier in enumerate(lines):
        machine = FleetLimits(made, n, 2, 0, 1, Random(n), clock.at)
        machine.escrow.members = (0, 1)
        found.append(LimitsDriver(loop, machine, carrier, clock))
    lines[0].other, lines[1].other = found[1], found[0]
    for desk in found:
        desk.start()
    run(loop, clock, 6)
    return loop, clock, found


def run(loop: Loop, clock: Clock, periods: float) -> None:
    for _ in range(round(10 * periods)):
        clock.at += PERIOD / 10
        loop.run_once(0.0)


def test_desks_share_a_limit_and_say_so() -> None:
    loop, clock, (one, other) = desks(settings_of(exact_limit(4)))
    for ask in range(1, 20):
        one.reserve(ask, 0, 0, "/a", 99, "")
        run(loop, clock, 0.5)
    told = [json.loads(desk.page()[2])["limits"][0] for desk in (one, other)]
    assert [t["used"] for t in told] == [4, 0] and told[1]["lent"] == told[0]["borrowed"] == 2
    assert one.reserve(99, 0, 0, "/a", 99, "").refused_by == "seats"
    assert other.forget("0")[0] == 409 and other.forget("x")[0] == 400
    loop.close()


def test_a_session_that_moves_keeps_its_room() -> None:
    loop, clock, (one, other) = desks(settings_of(exact_limit(2)))
    assert (
        not one.reserve(1, 0, 0, "/a", 99, "").refused_by
        and not other.reserve(1, 0, 0, "/a", 99, "").refused_by
    )
    one.park(1, "s")
    one.release(1)  # its ask is over, the session is not
    assert other.reserve(2, 0, 0, "/a", 99, "").refused_by
    assert not one.reserve(2, 0, 0, "/a", 99, "s").refused_by
    one.park(2, "s")
    one.release(2)
    run(loop, clock, 20)  # it never came
    assert not one.reserve(3, 0, 0, "/a", 99, "").refused_by
    loop.close()


def test_one_that_is_relieved_lets_nothing_in_and_its_successor_what_is_left() -> None:
    loop, clock, (one, other) = desks(settings_of(exact_limit(4)))
    for ask in range(1, 20):
        one.reserve(ask, 0, 0, "/a", 99, "")
        run(loop, clock, 0.5)
    one.stop()
    state = one.machine.escrow.handover_state()
    made = FleetLimits(settings_of(exact_limit(4)), 0, 2, 0, 9, Random(9), clock.at)
    made.restore_state(clock.at, state)
    assert one.reserve(50, 0, 0, "/a", 99, "").refused_by == "changing guard"
    assert made.admit(clock.at, 51, 0, 0, "/a").refused_by == "seats"  # what stands there counts
    made.finish_handover()
    assert not made.admit(clock.at, 52, 0, 0, "/a").refused_by
    assert other.reserve(53, 0, 0, "/a", 99, "").refused_by
    loop.close()


def test_eight_processes_keep_their_limits_while_all_that_is_between_them_fails(tmp_path: Path) -> None:
    """Counted at the servers' taps; in short form."""
    path = tmp_path / "short.kdl"
    text = (DAYS / "limits-apart.kdl").read_text()
    for long, short in (
        (r"length=\(s\)24", "length=(s)13"),
        (r"at=\(s\)6 +for=\(s\)5", "at=(s)3 for=(s)4"),
        (r"at=\(s\)8 +for=\(s\)1", "at=(s)4 for=(s)1"),
        (r"at=\(s\)9 +for=\(s\)3", "at=(s)5 for=(s)3"),
        (r"at=\(s\)14 +for=\(s\)4", "at=(s)8 for=(s)3"),
        (r"at=\(s\)16 +for=\(s\)1", "at=(s)9 for=(s)1"),
        (r"at=\(s\)13\n", "at=(s)6\n"),
        (r"\(s\)12", "(s)7"),
    ):
        text, count = re.subn(long, short, text)
        assert count
    path.write_text(text)
    report = play_day(read_day(path), path)
    told = report.to_json()
    assert told["rules_broken"] == 0 and told["limit_over_most"] == 0
    assert 0 < float(str(told["limit_over_bound"])) <= 1
    assert float(str(told["limit_stale_most_s"])) <= float(str(told["limit_stale_bound_s"]))
    assert float(str(told["limit_used_share"])) > 0.2 and report.played > 50


def used(fronts: int = 24, **more: bool) -> dict[str, float]:
    """The surge in the model, without the gate of a front that starts. One front is a true counter."""
    day = read_day(DAYS / "limits-surge.kdl")
    if fronts == 1:
        mixes = tuple(replace(mix, front="front-0") for mix in day.mixes)
        day = replace(day, fronts=day.fronts[:1], mixes=mixes)
    return World(day, 3, returning=False, **more).play().report.limits


def test_a_surge_finds_the_room_of_24_fronts_in_the_model() -> None:
    told, counter = used(), used(fronts=1)
    assert told["limit_over_most"] == 0 and told["limit_over_bound"] <= 1
    assert told["limit_used_share"] >= 0.9 * counter["limit_used_share"]
    assert used(limited=False)["limit_over_most"] > 10  # nothing else holds it


def test_cut_in_halves_each_uses_what_it_holds() -> None:
    world = World(read_day(DAYS / "limits-surge.kdl"), 3, returning=False)
    for front in world.fronts:
        front.apart = front.index % 2 == 0
    told = world.play().report.limits
    assert told["limit_over_most"] == 0 and told["limit_used_share"] < 0.7


def test_what_a_limit_refuses_is_refused_at_once_with_a_reason(make_front: Build) -> None:
    w = make_front(terms=TERMS + 'limit "one" class="browse-clip" sessions=1\n')
    client, session = w.play_session("/browse/a")
    other, _, cseq = w.send_play("/browse/b")
    w.run_until(lambda: other.answers_to(cseq))
    answer = other.answers[-1]
    assert answer.status == 503 and "limit one" in str(answer.headers.get("X-Reason") or answer.reason)
    assert float(answer.headers.get("Retry-After")) >= 1
    assert w.set_up_count() == 1 and w.daemon.counts["over_limit"] == 1
    told = json.loads(w.daemon.status_pages.limits_page()[2])["limits"][0]
    assert (told["used"], told["held"], told["refused"]) == (1, 1, 1)
    done = client.send("TEARDOWN", "/browse/a", ("Session", session))
    w.run_until(lambda: client.answers_to(done))
    w.run_until(lambda: not w.daemon.set_up_requests.attempt_table.open_attempts)
    w.play_session("/browse/b")
    assert b'lemonhall_limit_refused_total{limit="one"} 1.0' in w.daemon.status_pages.metrics_page()[2]


def test_a_limit_changes_while_sessions_stand(reloaded: Callable[..., Any]) -> None:
    limit = 'limit "two" class="browse-clip" sessions={}\n'
    w, load = reloaded(TERMS + limit.format(2))
    w.play_session("/browse/a")
    w.play_session("/browse/b")
    assert load(TERMS + limit.format(1))
    other, _, cseq = w.send_play("/browse/c")
    w.run_until(lambda: other.answers_to(cseq))
    assert other.answers_to(cseq) == [503]
    assert json.loads(w.daemon.status_pages.limits_page()[2])["limits"][0]["used"] == 2  # none is cut


def test_a_session_whose_loan_is_over_is_ended_in_order(make_front: Build) -> None:
    w = make_front(terms=TERMS + 'limit "some" class="browse-clip" sessions=3\n')
    client, _ = w.play_session("/browse/a")
    machine = w.daemon.set_up_requests.limits.machine
    local = next(iter(machine.escrow.local_limits.values()))
    local.share.own = 0  # as if it had been lent by another
    machine.escrow.record_expired((local.limit.limit_id, 0), 1)
    w.run_until(lambda: client.byes)
    w.run_until(lambda: not w.daemon.set_up_requests.open_requests)
    assert w.daemon.counts["ended_by_limit"] == 1 and local.share.used == 0


def test_room_is_held_until_an_attempt_that_is_out_has_ended(make_front: Build) -> None:
    """What its server has not yet heard the end of stands there."""
    w = make_front(terms=TERMS + 'limit "one" class="browse-clip" sessions=1\n')
    w.play_session("/browse/a")
    requests = w.daemon.set_up_requests
    (number,) = requests.open_requests
    ask = requests.open_requests[number]
    requests.close_request(ask)  # the ask is given up, its attempt is still in the book
    assert requests.limits.machine.sessions
    other, _, cseq = w.send_play("/browse/b")
    w.run_until(lambda: other.answers_to(cseq))
    assert other.answers_to(cseq) == [503]


def test_the_life_of_a_refused_session_names_the_limit(make_front: Build, tmp_path: Path) -> None:
    w = make_front(terms=TERMS + 'limit "one" class="browse-clip" sessions=1\n')
    w.play_session("/browse/a")
    other, session, cseq = w.send_play("/browse/b")
    w.run_until(lambda: other.answers_to(cseq))
    path = tmp_path / "kept.lhc"
    path.write_bytes(w.daemon.capture.save())
    done = CliRunner().invoke(group, ["why", str(path), session.partition(";")[0]])
    assert done.exit_code == 0 and "limit one: no room" in done.output, done.output


def test_limits_are_shown_of_a_front_and_of_the_fleet() -> None:
    loop, clock, (one, other) = desks(settings_of(exact_limit(4)))
    for ask in range(1, 12):
        one.reserve(ask, 0, 0, "/a", 99, "")
        run(loop, clock, 0.5)
    told = [json.loads(desk.page()[2]) for desk in (one, other)]
    assert line(told[0]["limits"][0]).startswith("seats            exact  4 of 4 sessions used, 4 held")
    (fleet,) = of_fleet(told)
    assert (fleet["fronts"], fleet["used"], fleet["lent"], fleet["borrowed"]) == (2, 4, 2, 2)
    loop.close()
