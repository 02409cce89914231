"""Changes of guard on real sockets: media without a gap, one answer each, either dying at each step."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from lemonhall.config.settings import read_settings
from lemonhall.front.guarding.guard import POINTS, Successor
from lemonhall.front.guarding.guard import GuardedDaemon as Daemon
from tests.front.site import Site
from tests.front.world import TERMS

OLD = ("hello", "hand-front", "front-sent", "front-given", "hand", "sent", "given", "over")
NEW = ("front-unpacked", "front-owned", "front-told", "unpacked", "owned", "told")
GOES_DOWN_WITH_IT = {"hand-front", "front-sent", "front-given", "hand", "hello"} | {"owned", "told"}


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    made = Site(tmp_path)
    yield made
    made.close()


def test_sessions_go_over_without_a_gap_and_go_on_as_before(site: Site) -> None:
    site.write("front.kdl", TERMS, store="")
    old = Daemon(read_settings(site.folder / "front.kdl"), loop=site.loop)
    at = old.open()
    site.playing(at, 40)
    faults: list[Exception] = []
    new = Daemon(read_settings(site.folder / "front.kdl"), loop=site.loop)
    site.loop.on_error = faults.append
    stops: list[bool] = []
    honest, site.loop.stop = site.loop.stop, lambda: stops.append(True)  # type: ignore[method-assign]
    refused: list[str] = []
    assert old.guard
    successor = Successor(new, str(old.guard.path), new.open, refused.append)
    site.until(lambda: stops)
    site.loop.stop = honest  # type: ignore[method-assign]
    assert not refused and not faults
    assert (
        successor.took == 40
        and not old.worker.viewers
        and not old.worker.by_id
        and not old.set_up_requests.open_requests
    )
    assert len(new.worker.by_id) == 40 and len(site.open()) == 40
    site.no_gap(site.open())
    assert old.bridge.decider.sessions == {}  # type: ignore[attr-defined]
    assert len(new.bridge.decider.sessions) == 40  # type: ignore[attr-defined]
    client, session = site.clients[0]
    cseq = client.send("TEARDOWN", "/browse/0", ("Session", session))
    site.until(lambda: client.answers_to(cseq) == [200])
    site.until(lambda: sum(b.count("TEARDOWN") for b in site.boxes) == 1)
    assert site.viewer(at, "/browse/new")[1] == 200
    assert new.counts["played"] == 1 and not faults
    for daemon in (new,):
        for sock in daemon.listeners:
            site.loop.watch_socket(sock, 0, lambda _: None)
            sock.close()
        assert daemon.guard
        daemon.guard.close()


def test_a_successor_takes_listeners_sessions_and_ledger(site: Site) -> None:
    old = site.serve()
    at = site.started(old)
    site.playing(at, 10)
    _, status, claim = site.viewer(at, "/claims/a")
    assert status == 200 and claim
    new = site.serve("--replace")
    assert site.started(new) == at
    assert site.ended(old) == 0
    assert len(site.open()) == 11
    site.no_gap(site.open())
    assert site.viewer(at, "/browse/after")[1] == 200
    set_ups = sum(b.count("SETUP") for b in site.boxes)
    assert site.viewer(at, "/claims/a", claim)[1] == 502  # it plays: never again
    assert sum(b.count("SETUP") for b in site.boxes) == set_ups
    third = site.serve("--replace")  # and the next one
    assert site.started(third) == at
    assert site.ended(new) == 0
    assert len(site.open()) == 12
    site.no_gap(site.open())


@pytest.mark.parametrize("who,point", [("old", p) for p in OLD] + [("new", p) for p in NEW])
def test_whoever_dies_at_whatever_step_the_other_goes_on(site: Site, who: str, point: str) -> None:
    dying = ("--die-at", point)
    old = site.serve(*(dying if who == "old" else ()))
    at = site.started(old)
    site.playing(at, 5)
    new = site.serve("--replace", *(dying if who == "new" else ()))
    dead, left = (old, new) if who == "old" else (new, old)
    assert site.ended(dead) == 9
    if who == "old":
        at = site.started(new)  # at its own port if it was never handed the listener
    while site.viewer(at, "/browse/new")[1] != 200:  # until it has its list
        site.until(lambda: True)
    assert left.poll() is None
    alive = site.open()
    # those go down that were the dead one's: not handed over yet, or handed over for good
    assert len(alive) == (1 if point in GOES_DOWN_WITH_IT else 6), point
    site.no_gap(alive)


def test_every_point_is_tried() -> None:
    assert {*OLD, *NEW} == set(POINTS)


def test_a_successor_with_other_terms_is_refused_by_name_and_the_front_goes_on(site: Site) -> None:
    old = site.serve()
    at = site.started(old)
    site.playing(at, 2)
    site.write("other.kdl", TERMS.replace("places=50", "places=60"))
    new = site.serve("--replace", settings="other.kdl")
    assert site.ended(new) == 2
    assert "places by kind" in (site.folder / "log-1").read_text()
    assert site.viewer(at, "/browse/new")[1] == 200 and old.poll() is None
    site.no_gap(site.open())


def test_a_successor_whose_settings_are_wrong_never_speaks_to_the_front(site: Site) -> None:
    old = site.serve()
    at = site.started(old)
    site.write("other.kdl", TERMS.replace("places=50", 'places="many"'))
    assert site.ended(site.serve("--replace", settings="other.kdl")) == 2
    assert site.viewer(at, "/browse/new")[1] == 200


def test_with_nobody_to_relieve_it_starts_as_the_first(site: Site) -> None:
    child = site.serve("--replace")
    assert site.viewer(site.started(child), "/browse/a")[1] == 200
    assert "starting as the first" in (site.folder / "log-0").read_text()


def test_a_successor_may_come_with_a_supervisor_of_its_own(site: Site) -> None:
    old = site.serve()
    at = site.started(old)
    site.playing(at, 2)
    new = site.serve("--replace", "--supervise")
    assert site.started(new) == at and site.ended(old) == 0
    site.no_gap(site.open())
    new.send_signal(signal.SIGTERM)
    assert site.ended(new) == 0
