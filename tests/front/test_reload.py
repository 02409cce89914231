"""Reloading the settings while sessions play: all or nothing, and without effect on existing sessions."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from lemonhall import interface
from tests.front.harness import TERMS, FrontHarness

Build = Callable[..., FrontHarness]


def test_routes_change_without_interrupting_sessions(reloaded: Build) -> None:
    w, load = reloaded(TERMS)
    client, session = w.play_session("/browse/a")
    assert load(TERMS.replace('"/browse/" class="browse-clip"', '"/other/" class="browse-clip"'))
    before = len(client.media)
    w.playing_server().connections[-1].media()
    w.run_until(lambda: len(client.media) > before)
    fresh = w.connect_client()
    cseq = fresh.send("SETUP", "/browse/b/trackID=0", ("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1"))
    w.run_until(lambda: fresh.answers_to(cseq))
    assert fresh.answers_to(cseq) == [404]
    w.play_session("/other/b")
    cseq = client.send("TEARDOWN", "/browse/a", ("Session", session))
    w.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [200]


def test_class_of_a_route_changes_for_new_sessions_only(reloaded: Build) -> None:
    w, load = reloaded(TERMS)
    w.play_session("/browse/a")
    assert load(TERMS.replace('"/browse/" class="browse-clip"', '"/browse/" class="claim-view"'))
    w.play_session("/browse/b")
    assert [e.cls for e in w.module.events_of(interface.NewSession)] == [1, 0]
    assert [s.routing.cls for s in w.daemon.worker.sessions_by_id.values()] == [1, 0]


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("deadline=(ms)1200", "deadline=1200"),
        ("floor=1", "floor=0"),
        ("places=50", "places=60"),
    ],
    ids=["wrong", "a class", "a kind"],
)
def test_invalid_or_fixed_settings_are_rejected_as_a_whole(reloaded: Build, old: str, new: str) -> None:
    w, load = reloaded(TERMS)
    before = w.daemon.settings
    assert not load(TERMS.replace(old, new).replace("/browse/", "/other/"))
    assert w.daemon.settings is before and w.daemon.counts["settings_refused"] == 1
    w.play_session("/browse/a")


def test_reload_without_changes_is_accepted(reloaded: Build) -> None:
    w, load = reloaded(TERMS)
    w.play_session("/browse/a")
    assert load(TERMS)
    assert w.daemon.counts["settings_loaded"] == 1
    w.play_session("/browse/b")
