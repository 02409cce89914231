"""Limits of the whole fleet at running fronts: refusals with a reason, the status page, handovers, and eight
processes that keep the limits while links and fronts fail."""

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


class DirectLink:
    """Delivers messages between two drivers in the same process."""

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
    """A clock in ms that the test advances."""

    def __init__(self) -> None:
        self.at = 1000.0

    def __call__(self) -> float:
        return self.at


def start_drivers(limits_plan: LimitSettings) -> tuple[Loop, Clock, list[LimitsDriver]]:
    """Starts the drivers of fronts 0 and 1, and runs them for six periods."""
    clock = Clock()
    loop, drivers = Loop(lambda: clock.at / 1000), []
    links = [DirectLink(0), DirectLink(1)]
    for number, link in enumerate(links):
        machine = FleetLimits(limits_plan, number, 2, 0, 1, Random(number), clock.at)
        machine.escrow.members = (0, 1)
        drivers.append(LimitsDriver(loop, machine, link, clock))
    links[0].other, links[1].other = drivers[1], drivers[0]
    for driver in drivers:
        driver.start()
    run(loop, clock, 6)
    return loop, clock, drivers


def run(loop: Loop, clock: Clock, periods: float) -> None:
    for _ in range(round(10 * periods)):
        clock.at += PERIOD / 10
        loop.run_once(0.0)


def test_fronts_share_a_limit_and_report_their_shares() -> None:
    loop, clock, (one, other) = start_drivers(settings_of(exact_limit(4)))
    for request_id in range(1, 20):
        one.reserve(request_id, 0, 0, "/a", 99, "")
        run(loop, clock, 0.5)
    report = [json.loads(driver.page()[2])["limits"][0] for driver in (one, other)]
    assert [t["used"] for t in report] == [4, 0] and report[1]["lent"] == report[0]["borrowed"] == 2
    assert one.reserve(99, 0, 0, "/a", 99, "").refused_by == "seats"
    assert other.forget("0")[0] == 409 and other.forget("x")[0] == 400
    loop.close()


def test_moved_session_keeps_its_reservation() -> None:
    loop, clock, (one, other) = start_drivers(settings_of(exact_limit(2)))
    assert (
        not one.reserve(1, 0, 0, "/a", 99, "").refused_by
        and not other.reserve(1, 0, 0, "/a", 99, "").refused_by
    )
    one.park(1, "s")
    one.release(1)  # ends the set-up request, not the session
    assert other.reserve(2, 0, 0, "/a", 99, "").refused_by
    assert not one.reserve(2, 0, 0, "/a", 99, "s").refused_by
    one.park(2, "s")
    one.release(2)
    run(loop, clock, 20)  # the moved session never returned
    assert not one.reserve(3, 0, 0, "/a", 99, "").refused_by
    loop.close()


def test_predecessor_admits_nothing_and_successor_admits_what_is_left() -> None:
    loop, clock, (one, other) = start_drivers(settings_of(exact_limit(4)))
    for request_id in range(1, 20):
        one.reserve(request_id, 0, 0, "/a", 99, "")
        run(loop, clock, 0.5)
    one.stop()
    state = one.machine.escrow.handover_state()
    successor = FleetLimits(settings_of(exact_limit(4)), 0, 2, 0, 9, Random(9), clock.at)
    successor.restore_state(clock.at, state)
    assert one.reserve(50, 0, 0, "/a", 99, "").refused_by == "changing guard"
    # the sessions of the predecessor count
    assert successor.admit(clock.at, 51, 0, 0, "/a").refused_by == "seats"
    successor.finish_handover()
    assert not successor.admit(clock.at, 52, 0, 0, "/a").refused_by
    assert other.reserve(53, 0, 0, "/a", 99, "").refused_by
    loop.close()


def test_eight_processes_keep_limits_while_links_and_fronts_fail(tmp_path: Path) -> None:
    """Plays a shortened version of the day `limits-apart`; sessions are counted at the servers."""
    path = tmp_path / "short.kdl"
    text = (DAYS / "limits-apart.kdl").read_text()
    for pattern, replacement in (
        (r"length=\(s\)24", "length=(s)13"),
        (r"at=\(s\)6 +for=\(s\)5", "at=(s)3 for=(s)4"),
        (r"at=\(s\)8 +for=\(s\)1", "at=(s)4 for=(s)1"),
        (r"at=\(s\)9 +for=\(s\)3", "at=(s)5 for=(s)3"),
        (r"at=\(s\)14 +for=\(s\)4", "at=(s)8 for=(s)3"),
        (r"at=\(s\)16 +for=\(s\)1", "at=(s)9 for=(s)1"),
        (r"at=\(s\)13\n", "at=(s)6\n"),
        (r"\(s\)12", "(s)7"),
    ):
        text, count = re.subn(pattern, replacement, text)
        assert count
    path.write_text(text)
    report = play_day(read_day(path), path)
    results = report.to_json()
    assert results["rules_broken"] == 0 and results["limit_over_most"] == 0
    assert 0 < float(str(results["limit_over_bound"])) <= 1
    assert float(str(results["limit_stale_most_s"])) <= float(str(results["limit_stale_bound_s"]))
    assert float(str(results["limit_used_share"])) > 0.2 and report.played > 50


def play_surge(fronts: int = 24, **options: bool) -> dict[str, float]:
    """Plays the surge in the model, without the admission gate of a starting front.

    With one front the limit is an exact counter.
    """
    day = read_day(DAYS / "limits-surge.kdl")
    if fronts == 1:
        mixes = tuple(replace(mix, front="front-0") for mix in day.mixes)
        day = replace(day, fronts=day.fronts[:1], mixes=mixes)
    return World(day, 3, returning=False, **options).play().report.limits


def test_surge_uses_the_shares_of_24_fronts_in_the_model() -> None:
    report, counter = play_surge(), play_surge(fronts=1)
    assert report["limit_over_most"] == 0 and report["limit_over_bound"] <= 1
    assert report["limit_used_share"] >= 0.9 * counter["limit_used_share"]
    assert play_surge(limited=False)["limit_over_most"] > 10  # nothing else enforces the limit


def test_each_side_of_a_partition_uses_the_shares_it_holds() -> None:
    world = World(read_day(DAYS / "limits-surge.kdl"), 3, returning=False)
    for front in world.fronts:
        front.apart = front.index % 2 == 0
    report = world.play().report.limits
    assert report["limit_over_most"] == 0 and report["limit_used_share"] < 0.7


def test_refusal_by_a_limit_carries_its_reason(make_front: Build) -> None:
    harness = make_front(terms=TERMS + 'limit "one" class="browse-clip" sessions=1\n')
    client, session = harness.play_session("/browse/a")
    other, _, cseq = harness.send_play("/browse/b")
    harness.run_until(lambda: other.answers_to(cseq))
    answer = other.answers[-1]
    assert answer.status == 503 and "limit one" in str(answer.headers.get("X-Reason") or answer.reason)
    assert float(answer.headers.get("Retry-After")) >= 1
    assert harness.set_up_count() == 1 and harness.daemon.counts["over_limit"] == 1
    report = json.loads(harness.daemon.status_pages.limits_page()[2])["limits"][0]
    assert (report["used"], report["held"], report["refused"]) == (1, 1, 1)
    done = client.send("TEARDOWN", "/browse/a", ("Session", session))
    harness.run_until(lambda: client.answers_to(done))
    harness.run_until(lambda: not harness.daemon.set_up_requests.attempt_registry.open_attempts)
    harness.play_session("/browse/b")
    assert b'lemonhall_limit_refused_total{limit="one"} 1.0' in harness.daemon.status_pages.metrics_page()[2]


def test_lowered_limit_keeps_existing_sessions(reloaded: Callable[..., Any]) -> None:
    limit = 'limit "two" class="browse-clip" sessions={}\n'
    harness, load = reloaded(TERMS + limit.format(2))
    harness.play_session("/browse/a")
    harness.play_session("/browse/b")
    assert load(TERMS + limit.format(1))
    other, _, cseq = harness.send_play("/browse/c")
    harness.run_until(lambda: other.answers_to(cseq))
    assert other.answers_to(cseq) == [503]
    # no session is ended
    assert json.loads(harness.daemon.status_pages.limits_page()[2])["limits"][0]["used"] == 2


def test_session_on_an_expired_loan_is_ended_with_a_bye(make_front: Build) -> None:
    harness = make_front(terms=TERMS + 'limit "some" class="browse-clip" sessions=3\n')
    client, _ = harness.play_session("/browse/a")
    machine = harness.daemon.set_up_requests.limits.machine
    local = next(iter(machine.escrow.local_limits.values()))
    local.share.own = 0  # as if the room had been lent by another front
    machine.escrow.record_expired((local.limit.limit_id, 0), 1)
    harness.run_until(lambda: client.byes)
    harness.run_until(lambda: not harness.daemon.set_up_requests.open_requests)
    assert harness.daemon.counts["ended_by_limit"] == 1 and local.share.used == 0


def test_reservation_is_held_until_the_attempt_has_ended(make_front: Build) -> None:
    """The session may still exist at the server until the attempt has ended."""
    harness = make_front(terms=TERMS + 'limit "one" class="browse-clip" sessions=1\n')
    harness.play_session("/browse/a")
    requests = harness.daemon.set_up_requests
    (request_id,) = requests.open_requests
    request = requests.open_requests[request_id]
    requests.close_request(request)  # the request is closed while its attempt has not ended
    assert requests.limits.machine.sessions
    other, _, cseq = harness.send_play("/browse/b")
    harness.run_until(lambda: other.answers_to(cseq))
    assert other.answers_to(cseq) == [503]


def test_why_command_names_the_limit_of_a_refused_session(make_front: Build, tmp_path: Path) -> None:
    harness = make_front(terms=TERMS + 'limit "one" class="browse-clip" sessions=1\n')
    harness.play_session("/browse/a")
    other, session, cseq = harness.send_play("/browse/b")
    harness.run_until(lambda: other.answers_to(cseq))
    path = tmp_path / "kept.lhc"
    path.write_bytes(harness.daemon.capture.save())
    done = CliRunner().invoke(group, ["why", str(path), session.partition(";")[0]])
    assert done.exit_code == 0 and "limit one: no room" in done.output, done.output


def test_limits_are_summarized_per_front_and_for_the_fleet() -> None:
    loop, clock, (one, other) = start_drivers(settings_of(exact_limit(4)))
    for request_id in range(1, 12):
        one.reserve(request_id, 0, 0, "/a", 99, "")
        run(loop, clock, 0.5)
    report = [json.loads(driver.page()[2]) for driver in (one, other)]
    assert line(report[0]["limits"][0]).startswith("seats            exact  4 of 4 sessions used, 4 held")
    (fleet,) = of_fleet(report)
    assert (fleet["fronts"], fleet["used"], fleet["lent"], fleet["borrowed"]) == (2, 4, 2, 2)
    loop.close()
