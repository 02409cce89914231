"""Changes of guard on real sockets: media without a gap, one answer each, either dying at each step."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from lemonhall.config.settings import read_settings
from lemonhall.front.handover.front_handover import FAILPOINTS, FrontHandoverTarget
from lemonhall.front.handover.front_handover import ReplaceableDaemon as Daemon
from tests.front.harness import TERMS
from tests.front.process_harness import ProcessHarness

OLD = ("hello", "hand-front", "front-sent", "front-given", "hand", "sent", "given", "over")
NEW = ("front-unpacked", "front-owned", "front-told", "unpacked", "owned", "told")
GOES_DOWN_WITH_IT = {"hand-front", "front-sent", "front-given", "hand", "hello"} | {"owned", "told"}


@pytest.fixture
def site(tmp_path: Path) -> Iterator[ProcessHarness]:
    made = ProcessHarness(tmp_path)
    yield made
    made.close()


def test_sessions_go_over_without_a_gap_and_go_on_as_before(site: ProcessHarness) -> None:
    site.write_settings("front.kdl", TERMS, store="")
    old = Daemon(read_settings(site.folder / "front.kdl"), loop=site.loop)
    at = old.open()
    site.play_sessions(at, 40)
    faults: list[Exception] = []
    new = Daemon(read_settings(site.folder / "front.kdl"), loop=site.loop)
    site.loop.on_error = faults.append
    stops: list[bool] = []
    honest, site.loop.stop = site.loop.stop, lambda: stops.append(True)  # type: ignore[method-assign]
    refused: list[str] = []
    assert old.handover
    successor = FrontHandoverTarget(new, str(old.handover.path), new.open, refused.append)
    site.run_until(lambda: stops)
    site.loop.stop = honest  # type: ignore[method-assign]
    assert not refused and not faults
    assert (
        successor.took == 40
        and not old.worker.viewers
        and not old.worker.by_id
        and not old.set_up_requests.open_requests
    )
    assert len(new.worker.by_id) == 40 and len(site.open_clients()) == 40
    site.assert_no_gap(site.open_clients())
    assert old.bridge.decider.sessions == {}  # type: ignore[attr-defined]
    assert len(new.bridge.decider.sessions) == 40  # type: ignore[attr-defined]
    client, session = site.clients[0]
    cseq = client.send("TEARDOWN", "/browse/0", ("Session", session))
    site.run_until(lambda: client.answers_to(cseq) == [200])
    site.run_until(lambda: sum(b.count("TEARDOWN") for b in site.scripted_servers) == 1)
    assert site.start_session(at, "/browse/new")[1] == 200
    assert new.counts["played"] == 1 and not faults
    for daemon in (new,):
        for sock in daemon.listeners:
            site.loop.watch_socket(sock, 0, lambda _: None)
            sock.close()
        assert daemon.handover
        daemon.handover.close()


def test_a_successor_takes_listeners_sessions_and_ledger(site: ProcessHarness) -> None:
    old = site.start_front()
    at = site.serving_address(old)
    site.play_sessions(at, 10)
    _, status, claim = site.start_session(at, "/claims/a")
    assert status == 200 and claim
    new = site.start_front("--replace")
    assert site.serving_address(new) == at
    assert site.exit_status(old) == 0
    assert len(site.open_clients()) == 11
    site.assert_no_gap(site.open_clients())
    assert site.start_session(at, "/browse/after")[1] == 200
    set_ups = sum(b.count("SETUP") for b in site.scripted_servers)
    assert site.start_session(at, "/claims/a", claim)[1] == 502  # it plays: never again
    assert sum(b.count("SETUP") for b in site.scripted_servers) == set_ups
    third = site.start_front("--replace")  # and the next one
    assert site.serving_address(third) == at
    assert site.exit_status(new) == 0
    assert len(site.open_clients()) == 12
    site.assert_no_gap(site.open_clients())


@pytest.mark.parametrize("who,point", [("old", p) for p in OLD] + [("new", p) for p in NEW])
def test_whoever_dies_at_whatever_step_the_other_goes_on(site: ProcessHarness, who: str, point: str) -> None:
    dying = ("--die-at", point)
    old = site.start_front(*(dying if who == "old" else ()))
    at = site.serving_address(old)
    site.play_sessions(at, 5)
    new = site.start_front("--replace", *(dying if who == "new" else ()))
    dead, left = (old, new) if who == "old" else (new, old)
    assert site.exit_status(dead) == 9
    if who == "old":
        at = site.serving_address(new)  # at its own port if it was never handed the listener
    while site.start_session(at, "/browse/new")[1] != 200:  # until it has its list
        site.run_until(lambda: True)
    assert left.poll() is None
    alive = site.open_clients()
    # those go down that were the dead one's: not handed over yet, or handed over for good
    assert len(alive) == (1 if point in GOES_DOWN_WITH_IT else 6), point
    site.assert_no_gap(alive)


def test_every_point_is_tried() -> None:
    assert {*OLD, *NEW} == set(FAILPOINTS)


def test_a_successor_with_other_terms_is_refused_by_name_and_the_front_goes_on(site: ProcessHarness) -> None:
    old = site.start_front()
    at = site.serving_address(old)
    site.play_sessions(at, 2)
    site.write_settings("other.kdl", TERMS.replace("places=50", "places=60"))
    new = site.start_front("--replace", settings="other.kdl")
    assert site.exit_status(new) == 2
    assert "places by kind" in (site.folder / "log-1").read_text()
    assert site.start_session(at, "/browse/new")[1] == 200 and old.poll() is None
    site.assert_no_gap(site.open_clients())


def test_a_successor_whose_settings_are_wrong_never_speaks_to_the_front(site: ProcessHarness) -> None:
    old = site.start_front()
    at = site.serving_address(old)
    site.write_settings("other.kdl", TERMS.replace("places=50", 'places="many"'))
    assert site.exit_status(site.start_front("--replace", settings="other.kdl")) == 2
    assert site.start_session(at, "/browse/new")[1] == 200


def test_with_nobody_to_relieve_it_starts_as_the_first(site: ProcessHarness) -> None:
    child = site.start_front("--replace")
    assert site.start_session(site.serving_address(child), "/browse/a")[1] == 200
    assert "starting as the first" in (site.folder / "log-0").read_text()


def test_a_successor_may_come_with_a_supervisor_of_its_own(site: ProcessHarness) -> None:
    old = site.start_front()
    at = site.serving_address(old)
    site.play_sessions(at, 2)
    new = site.start_front("--replace", "--supervise")
    assert site.serving_address(new) == at and site.exit_status(old) == 0
    site.assert_no_gap(site.open_clients())
    new.send_signal(signal.SIGTERM)
    assert site.exit_status(new) == 0
