"""Reloading the settings while sessions play: all or nothing, and without effect on existing sessions."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from lemonhall import interface
from tests.front.harness import TERMS, FrontHarness

Build = Callable[..., FrontHarness]


def test_routes_change_without_interrupting_sessions(reloaded: Build) -> None:
    harness, load = reloaded(TERMS)
    client, session = harness.play_session("/browse/a")
    assert load(TERMS.replace('"/browse/" class="browse-clip"', '"/other/" class="browse-clip"'))
    before = len(client.media)
    harness.playing_server().connections[-1].media()
    harness.run_until(lambda: len(client.media) > before)
    fresh = harness.connect_client()
    cseq = fresh.send("SETUP", "/browse/b/trackID=0", ("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1"))
    harness.run_until(lambda: fresh.answers_to(cseq))
    assert fresh.answers_to(cseq) == [404]
    harness.play_session("/other/b")
    cseq = client.send("TEARDOWN", "/browse/a", ("Session", session))
    harness.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [200]


def test_class_of_a_route_changes_for_new_sessions_only(reloaded: Build) -> None:
    harness, load = reloaded(TERMS)
    harness.play_session("/browse/a")
    assert load(TERMS.replace('"/browse/" class="browse-clip"', '"/browse/" class="claim-view"'))
    harness.play_session("/browse/b")
    assert [e.cls for e in harness.module.events_of(interface.NewSession)] == [1, 0]
    assert [s.routing.cls for s in harness.daemon.worker.sessions_by_id.values()] == [1, 0]


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
    harness, load = reloaded(TERMS)
    before = harness.daemon.settings
    assert not load(TERMS.replace(old, new).replace("/browse/", "/other/"))
    assert harness.daemon.settings is before and harness.daemon.counts["settings_refused"] == 1
    harness.play_session("/browse/a")


def test_reload_without_changes_is_accepted(reloaded: Build) -> None:
    harness, load = reloaded(TERMS)
    harness.play_session("/browse/a")
    assert load(TERMS)
    assert harness.daemon.counts["settings_loaded"] == 1
    harness.play_session("/browse/b")
