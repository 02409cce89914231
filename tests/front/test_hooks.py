"""Hook scripts in a front on real sockets: their effect on the module and on viewers, and reloading."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from lemonhall import interface
from lemonhall.boxlist import State
from lemonhall.config.settings import read_settings
from lemonhall.front.process.daemon import Daemon
from lemonhall.loop import Loop
from tests.front.harness import TERMS, FrontHarness

Build = Callable[..., FrontHarness]
HALLS = TERMS.replace('halls "hall-a"', 'halls "hall-a" "hall-b"')


@pytest.fixture
def hooked(make_front: Build, tmp_path: Path) -> Build:
    """Builds a front that runs the scripts `texts` from a folder, which `write_scripts` rewrites."""

    def build(*texts: str, node: str = "", terms: str = HALLS, **options: Any) -> FrontHarness:
        write_scripts(tmp_path, *texts)
        terms = terms + f'hooks {node} {{ folder "hooks.d"; }}\n'
        return make_front(terms=terms, **options)

    return build


def write_scripts(folder: Path, *texts: str) -> None:
    hooks = folder / "hooks.d"
    hooks.mkdir(exist_ok=True)
    for old in hooks.glob("*.hook"):
        old.unlink()
    for index, text in enumerate(texts):
        (hooks / f"s{index}.hook").write_text(text)


def reload(harness: FrontHarness) -> bool:
    """Reloads the scripts and returns whether they were accepted."""
    ended: list[bool] = []
    harness.daemon.hooks.on_load = ended.append
    harness.daemon.hooks.reload()
    harness.run_until(lambda: ended, 30)
    return ended[0]


def split_into_zones(harness: FrontHarness) -> None:
    """Lists the first half of the servers in hall-a, the others in hall-b."""
    lines = [harness.server_entry(b) for b in harness.scripted_servers]
    for index, line in enumerate(lines):
        line.zone = int(index >= len(lines) / 2)
    harness.apply_server_list(2, True, lines)


def test_servers_of_a_preferred_zone_are_chosen(hooked: Build) -> None:
    harness = hooked('on arrival { prefer hall "hall-b" }', servers=4)
    split_into_zones(harness)
    for _ in range(8):
        harness.play_session("/browse/a")
    assert {p.server for p in harness.module.events_of(interface.Playing)} <= {3, 4}


def test_draining_servers_of_a_preferred_zone_are_passed_over(hooked: Build) -> None:
    """The session is placed in the other zone instead of being refused."""
    harness = hooked('on arrival { prefer hall "hall-b" }', servers=4)
    lines = [harness.server_entry(b) for b in harness.scripted_servers[:2]]
    lines += [harness.server_entry(b, State.DRAINING, zone=1) for b in harness.scripted_servers[2:]]
    harness.apply_server_list(2, True, [*lines])
    harness.play_session("/browse/a")
    assert harness.scripted_servers[2].count("SETUP") + harness.scripted_servers[3].count("SETUP") == 0


def test_refusal_by_a_hook_is_immediate_and_carries_its_reason(hooked: Build) -> None:
    harness = hooked('on arrival when class == "browse-clip" { refuse "closed for the night" }')
    client, _, cseq = harness.send_play("/browse/a")
    harness.run_until(lambda: client.answers_to(cseq))
    answer = client.answers[-1]
    assert (answer.status, answer.reason) == (503, "closed for the night")
    assert answer.headers.get("Retry-After") and harness.set_up_count() == 0
    harness.play_session("/claims/a", client=harness.connect_client())


def test_rung_below_the_floor_of_a_paid_class_is_overruled(hooked: Build) -> None:
    harness = hooked("on arrival { cap rung 0\n ask rung 0 }\non change { cap rung 0 }")
    harness.play_session("/claims/a")
    new_session = harness.module.events_of(interface.NewSession)[-1]
    assert new_session.advice.cap == 1 and harness.daemon.hooks.engine.overruled
    rungs = [a.rung for a in harness.module.actions if isinstance(a, interface.SetRung)]
    assert rungs and min(rungs) >= 1
    bits = [
        int(r.headers.get("Bandwidth"))
        for b in harness.scripted_servers
        for r in b.requests
        if "Bandwidth" in r.headers
    ]
    assert bits and min(bits) >= 20 * 8000


def test_rung_cap_holds_for_the_whole_session(hooked: Build) -> None:
    harness = hooked("on arrival { cap rung 1 }")
    harness.play_session("/browse/a")
    assert max(a.rung for a in harness.module.actions if isinstance(a, interface.SetRung)) == 1


def test_session_counted_as_another_class_keeps_its_deadline(hooked: Build) -> None:
    script = 'on arrival when class == "browse-clip" { count as "claim-view" }'
    harness = hooked(script)
    harness.play_session("/browse/a")
    new_session = harness.module.events_of(interface.NewSession)[-1]
    assert new_session.cls == 0 and 1000 < new_session.left_ms <= 1400


def test_break_hook_runs_before_the_module_retries(hooked: Build) -> None:
    harness = hooked('on break { avoid hall "hall-a"\n log "outcome" = outcome }', servers=2)
    split_into_zones(harness)
    for box in harness.scripted_servers:
        box.script["SETUP"] = lambda conn, request: conn.reply(request, 500)
    client, _, cseq = harness.send_play("/browse/a")
    harness.run_until(lambda: client.answers_to(cseq))
    kinds = [type(e) for e in harness.module.events]
    assert kinds.index(interface.AdviceChanged) < kinds.index(interface.AttemptEnded)
    assert harness.module.events_of(interface.AdviceChanged)[0].advice.avoid == (("zone", 0),)


def test_hook_cannot_cause_a_retry_of_a_paid_session(hooked: Build) -> None:
    harness = hooked(
        'on break { prefer hall "hall-b"\n avoid hall "hall-a" }\non arrival { prefer hall "hall-a" }',
        servers=2,
    )
    split_into_zones(harness)
    for box in harness.scripted_servers:
        box.script["SETUP"] = lambda conn, request: conn.stream.abort()
    client, _, cseq = harness.send_play("/claims/a")
    harness.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [502] and harness.set_up_count() == 1


def test_cap_set_on_a_rung_change_applies_to_the_next_change(hooked: Build) -> None:
    harness = hooked("on change when rung == 2 { cap rung 1 }")
    harness.play_session("/browse/a")
    request_id = next(iter(harness.daemon.set_up_requests.open_requests))
    harness.module.injected.append(interface.SetRung(request_id, 2))
    harness.daemon.bridge.enqueue(interface.TimerDue(99))
    harness.run_until(lambda: harness.module.events_of(interface.AdviceChanged))
    harness.run_until(
        lambda: (
            isinstance(harness.module.actions[-1], interface.SetRung) and harness.module.actions[-1].rung == 1
        )
    )
    assert harness.module.events_of(interface.AdviceChanged)[0].advice.cap == 1


def test_refusal_hook_runs_and_refusals_are_counted(hooked: Build) -> None:
    text = 'on refusal { metric "heard" }\non arrival when refusals(10s) > 1 { metric "busy" }'
    harness = hooked(text, servers=0)
    for _ in range(4):
        client, _, cseq = harness.send_play("/browse/a")
        harness.run_until(lambda c=client, n=cseq: c.answers_to(n))
    assert harness.daemon.hooks.engine.metrics == {"heard": 4, "busy": 2}
    assert b'lemonhall_hook_total{name="heard"} 4.0' in harness.daemon.status_pages.metrics_page()[2]


def test_scripts_are_replaced_during_a_set_up(hooked: Build, tmp_path: Path) -> None:
    # a long deadline, since reloading may take a while
    terms = HALLS.replace("deadline=(ms)1200", "deadline=(s)30")
    harness = hooked('on arrival { log "v" = 1 }\non break { metric "old" }', terms=terms)
    held: list[Any] = []
    for box in harness.scripted_servers:
        box.script["SETUP"] = lambda conn, request: held.append((conn, request))
    client, _, cseq = harness.send_play("/claims/a")
    harness.run_until(lambda: held)
    write_scripts(tmp_path, 'on break { metric "new" }')
    assert reload(harness)
    for conn, request in held:
        if conn.stream.open:
            conn.reply(request, 500)
    harness.run_until(lambda: client.answers_to(cseq))
    assert set(harness.daemon.hooks.engine.metrics) == {"new"}


def test_invalid_set_of_scripts_is_rejected_as_a_whole(hooked: Build, tmp_path: Path) -> None:
    harness = hooked("on arrival { cap rung 1 }")
    client, _ = harness.play_session("/browse/a")
    write_scripts(tmp_path, "on arrival { cap rung 2 }", "on arival { }")
    assert not reload(harness)
    harness.play_session("/browse/b")
    assert harness.module.events_of(interface.NewSession)[-1].advice.cap == 1
    assert harness.daemon.hooks.rejected_loads == 1 and client.stream.open
    write_scripts(tmp_path, "on arrival { cap rung 2 }")
    assert reload(harness)
    harness.play_session("/browse/c")
    assert harness.module.events_of(interface.NewSession)[-1].advice.cap == 2


def test_reload_requested_during_a_reload_loads_the_last_scripts(hooked: Build, tmp_path: Path) -> None:
    harness = hooked("on arrival { cap rung 1 }")
    ended: list[bool] = []
    harness.daemon.hooks.on_load = ended.append
    for rung in (0, 2):
        write_scripts(tmp_path, f"on arrival {{ cap rung {rung} }}")
        harness.daemon.hooks.reload()
    harness.run_until(lambda: len(ended) == 2, 30)
    harness.play_session("/browse/a")
    assert harness.module.events_of(interface.NewSession)[-1].advice.cap == 2


def test_killed_compiler_process_keeps_the_scripts(hooked: Build) -> None:
    harness = hooked("on arrival { cap rung 1 }")
    ended: list[bool] = []
    harness.daemon.hooks.on_load = ended.append
    harness.daemon.hooks.reload()
    child = harness.daemon.reader_client.child
    assert child
    child.kill()
    harness.run_until(lambda: ended, 30)
    assert ended == [False]
    assert reload(harness)  # the next reload works


def test_front_starts_without_invalid_scripts(hooked: Build) -> None:
    harness = hooked("on arival { }")
    harness.play_session("/browse/a")
    assert harness.daemon.hooks.rejected_loads == 1 and not harness.daemon.hooks.engine.scripts


def test_script_over_its_fuel_is_cut_off_and_disabled(hooked: Build) -> None:
    nine = "{1, 2, 3, 4, 5, 6, 7, 8, 9}"
    loops = f'for a in {nine} {{ for b in {nine} {{ for c in {nine} {{ metric "x" }} }} }}'
    harness = hooked(f"on arrival {{ {loops} }}", "on arrival { cap rung 1 }")
    for _ in range(5):
        harness.play_session("/browse/a")
        assert harness.module.events_of(interface.NewSession)[-1].advice.cap == 1
    assert harness.daemon.hooks.engine.scripts[0].out
    assert harness.daemon.hooks.engine.scripts[0].calls == 3


def test_hooks_page_shows_scripts_and_overruled_advice(hooked: Build) -> None:
    harness = hooked("on arrival { cap rung 0 }")
    harness.play_session("/claims/a")
    status, kind, body = harness.daemon.hooks.page()
    assert (status, kind) == (200, "application/json")
    assert b'"script": "s0.hook"' in body and b"the floor of the class is 1" in body


# draining, memory limit and crash report


def test_front_over_its_memory_limit_refuses_new_sessions_and_keeps_playing(make_front: Build) -> None:
    harness = make_front(limits="memory=(MB)1")
    client = harness.connect_client()
    transport = ("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1")
    harness.run_until(lambda: harness.daemon.worker.over_memory)
    harness.run_until(lambda: client.reason)  # a new connection is refused on accept
    assert [a.status for a in client.answers] == [503]
    assert harness.daemon.status_pages.ready_page()[0] == 503
    harness.daemon.worker.over_memory = False
    player, _ = harness.play_session("/browse/a")
    harness.daemon.worker.over_memory = True
    cseq = player.send("SETUP", "/browse/b/trackID=0", transport)
    harness.run_until(lambda: player.answers_to(cseq))
    assert player.answers_to(cseq) == [503]
    before = len(player.media)
    harness.playing_server().connections[-1].media()
    harness.run_until(lambda: len(player.media) > before)


def test_drain_waits_for_the_end_of_playing_sessions(make_front: Build) -> None:
    harness = make_front()
    player, session = harness.play_session("/browse/a")
    harness.daemon.drain()
    assert harness.daemon.status_pages.ready_page() == (503, "text/plain", b"draining\n")
    cseq = player.send("SETUP", "/browse/b/trackID=0", ("Transport", "RTP/AVP/TCP;unicast;interleaved=2-3"))
    harness.run_until(lambda: player.answers_to(cseq))
    assert player.answers_to(cseq) == [503]
    assert not harness.daemon.stopping
    player.send("TEARDOWN", "/browse/a", ("Session", session))
    harness.run_until(lambda: harness.daemon.stopping)


def test_crash_writes_a_report(tmp_path: Path) -> None:
    path = tmp_path / "front.kdl"
    report = tmp_path / "crash.json"
    path.write_text(HALLS + f'front "f" hall="hall-a" listen="127.0.0.1:0" crash-report="{report}"\n')
    daemon = Daemon(read_settings(path), loop=Loop())
    written = daemon.report_crash(ValueError("boom"))
    assert written["error"] == "ValueError('boom')" and '"front": "f"' in report.read_text()
