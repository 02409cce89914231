"""Faults between viewers, front and servers, each on real sockets with a scripted server that causes it."""

from __future__ import annotations

import select
import struct
from collections.abc import Callable
from typing import Any

import pytest

from lemonhall import interface as i
from lemonhall.boxlist import State
from lemonhall.interface import Outcome
from lemonhall.rtsp import rtp
from tests.front.harness import FrontHarness, ScriptedServer, ServerConnection
from tests.node.world import ReorderingSelector

Build = Callable[..., FrontHarness]


def never_answer(_connection: ServerConnection, _request: Any) -> None:
    """Reads the request and never answers."""


def reset_connection(connection: ServerConnection, _request: Any) -> None:
    connection.stream.abort()


def outcomes(harness: FrontHarness) -> list[Outcome]:
    return [Outcome(e.outcome) for e in harness.module.events_of(i.AttemptEnded)]


def script_all(
    harness: FrontHarness, method: str, handler: Callable[[ServerConnection, Any], object]
) -> None:
    for server in harness.scripted_servers:
        server.script[method] = handler


def test_a_session_plays_after_one_set_up_request(make_front: Build) -> None:
    harness = make_front()
    client, session = harness.play_session("/claims/one")
    assert harness.set_up_count() == 1
    assert len(harness.module.events_of(i.NewSession)) == 1
    cseq = client.send("TEARDOWN", "/claims/one", ("Session", session))
    harness.run_until(lambda: client.answers_to(cseq) and harness.module.events_of(i.AttemptEnded))
    assert outcomes(harness) == [Outcome.OK]
    assert not harness.daemon.set_up_requests.open_requests and not harness.daemon.worker.sessions_by_id


def test_viewer_drops_mid_set_up_on_a_paid_class(make_front: Build) -> None:
    harness = make_front()
    script_all(harness, "SETUP", never_answer)
    client, _, _ = harness.send_play("/claims/one")
    harness.run_until(lambda: harness.set_up_count() == 1)
    assert sum(harness.module.inner.seats_taken.values()) == 1  # reserved while the attempt is in progress
    client.stream.abort()
    harness.run_until(lambda: harness.module.events_of(i.AttemptEnded))
    ended = harness.module.events_of(i.AttemptEnded)[0]
    assert (ended.outcome, ended.closed) == (Outcome.CANCELLED, True)
    # The server sees the connection close.
    harness.run_until(lambda: any(c.reason for b in harness.scripted_servers for c in b.connections))
    harness.run_for(0.2)
    assert harness.set_up_count() == 1  # not retried
    assert (
        not +harness.module.inner.seats_taken and not harness.daemon.set_up_requests.open_requests
    )  # released


@pytest.mark.parametrize("backwards", [False, True])
def test_an_attempt_ends_and_the_viewer_leaves_in_one_pass_of_the_loop(
    make_front: Build, backwards: bool
) -> None:
    """Regression: the module started another attempt for a session without a viewer and kept its place."""
    harness = make_front()
    pending: list[tuple[ServerConnection, Any]] = []
    script_all(harness, "SETUP", lambda connection, request: pending.append((connection, request)))
    client, _, _ = harness.send_play("/browse/one")
    harness.run_until(lambda: pending)
    harness.loop.selector = ReorderingSelector(  # type: ignore[assignment]
        harness.loop.selector, lambda events: sorted(events, key=lambda one: one[0].fd, reverse=backwards)
    )
    server, request = pending[0]
    server.reply(request, 453)
    client.stream.abort()
    viewer_sockets = [viewer.stream.sock for viewer in harness.daemon.worker.viewers]
    for sock in viewer_sockets:
        assert select.select([sock], [], [], 10)[0]
    harness.run_until(
        lambda: harness.module.events_of(i.ViewerGone) or harness.module.events_of(i.AttemptEnded)
    )
    harness.run_for(0.2)
    assert harness.set_up_count() == 1 and not harness.daemon.set_up_requests.open_requests
    assert not harness.module.inner.sessions
    assert not any(server.sessions for server in harness.module.inner.tracked_servers.values())


def test_a_server_resets_between_setup_and_play_of_a_paid_session(make_front: Build) -> None:
    harness = make_front()
    script_all(harness, "PLAY", reset_connection)
    client, _, cseq = harness.send_play("/claims/one")
    harness.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [502]
    assert harness.set_up_count() == 1 and outcomes(harness) == [Outcome.RESET]


def test_a_server_resets_between_setup_and_play_of_a_safe_session(make_front: Build) -> None:
    harness = make_front()
    aborted: list[ScriptedServer] = []

    def abort_once(connection: ServerConnection, request: Any) -> None:
        aborted.append(connection.scripted_server)
        connection.scripted_server.script.clear()
        for server in harness.scripted_servers:
            server.script.clear()
        connection.stream.abort()

    script_all(harness, "PLAY", abort_once)
    client, _, cseq = harness.send_play("/browse/one")
    harness.run_until(lambda: client.media)
    assert client.answers_to(cseq) == [200]
    assert harness.set_up_count() == 2 and harness.playing_server() not in aborted


def test_a_server_accepts_and_never_answers(make_front: Build) -> None:
    harness = make_front()
    slow = harness.scripted_servers[0]
    for server in harness.scripted_servers:
        server.script["SETUP"] = lambda connection, request: harness.scripted_servers[0].script.setdefault(
            "hung", connection
        )  # type: ignore
    client, _, paid = harness.send_play("/claims/one")
    harness.run_until(lambda: client.answers_to(paid))
    assert client.answers_to(paid) == [502] and harness.set_up_count() == 1
    assert outcomes(harness)[-1] == Outcome.TIMEOUT
    used = next(b for b in harness.scripted_servers if b.requests)
    for server in harness.scripted_servers:
        if server is not used:
            server.script.clear()
    other, _, safe = harness.send_play("/browse/one")
    harness.run_until(lambda: other.answers_to(safe))
    assert other.answers_to(safe) == [200]
    assert slow in harness.scripted_servers


def test_an_answer_after_the_attempt_timed_out_is_ignored(make_front: Build) -> None:
    harness = make_front()
    pending: list[tuple[ServerConnection, Any]] = []
    script_all(harness, "SETUP", lambda connection, request: pending.append((connection, request)))
    client, _, cseq = harness.send_play("/claims/one")
    harness.run_until(lambda: client.answers_to(cseq))
    connection, request = pending[0]
    connection.reply(request, 200, "Session: late")
    harness.run_for(0.2)
    assert client.answers_to(cseq) == [502]
    assert harness.set_up_count() == 1 and not client.media


def test_half_a_frame_and_a_reset_reach_neither_the_viewer_nor_other_sessions(make_front: Build) -> None:
    harness = make_front(servers=1)
    client, _ = harness.play_session("/browse/one")
    _, _ = harness.play_session("/browse/two", channels="2-3", client=client)
    first, second = harness.scripted_servers[0].connections[-2:]
    before = len(client.media)
    first.stream.write(first.packet(b"x" * 500)[:100])
    harness.run_for(0.05)
    first.stream.abort()
    harness.run_until(lambda: client.byes == 1)
    second.media(b"after")
    harness.run_until(lambda: len(client.media) == before + 1)
    assert client.media[-1][0] == 2 and client.media[-1][1].endswith(b"after")
    assert client.reason == ""
    assert len(harness.daemon.worker.sessions_by_id) == 1


def test_teardown_crosses_the_end_of_the_stream(make_front: Build) -> None:
    harness = make_front(servers=1)
    client, session = harness.play_session("/claims/one")
    connection = harness.scripted_servers[0].connections[-1]
    connection.stream.write(b"$\x01\x00\x08" + rtp.build_bye(harness.scripted_servers[0].ssrc))
    cseq = client.send("TEARDOWN", "/claims/one", ("Session", session))
    harness.run_until(lambda: client.answers_to(cseq) and harness.module.events_of(i.AttemptEnded))
    assert client.answers_to(cseq)[0] in (200, 454)
    assert outcomes(harness) == [Outcome.OK]
    harness.run_for(0.1)
    assert (
        len(harness.module.events_of(i.AttemptEnded)) == 1
        and not harness.daemon.set_up_requests.open_requests
    )


def test_two_sessions_on_one_connection_and_a_clash_of_channels(make_front: Build) -> None:
    harness = make_front(servers=1)
    client, one = harness.play_session("/browse/one", channels="0-1")
    # The channels are in use: the answer offers free ones.
    _, two = harness.set_up_session("/browse/two", channels="0-1", client=client)
    assert "interleaved=2-3" in client.answers[-1].headers.get("Transport")
    cseq = client.send("PLAY", "/browse/two", ("Session", two))
    harness.run_until(lambda: client.answers_to(cseq) and any(c == 2 for c, _ in client.media))
    assert one != two
    cseq = client.send("TEARDOWN", "/browse/one", ("Session", one))
    harness.run_until(
        lambda: client.answers_to(cseq) and len(harness.daemon.set_up_requests.open_requests) == 1
    )
    before = len(client.media)
    harness.scripted_servers[0].connections[-1].media(b"on")
    harness.run_until(lambda: len(client.media) > before)


def test_pipelined_requests_are_answered_in_their_order(make_front: Build) -> None:
    harness = make_front(servers=1)
    pending: list[tuple[ServerConnection, Any]] = []
    harness.scripted_servers[0].script["PLAY"] = lambda connection, request: pending.append(
        (connection, request)
    )
    client, session = harness.set_up_session("/browse/one")
    play = client.send("PLAY", "/browse/one", ("Session", session))
    options = client.send("OPTIONS", "/browse/one")
    harness.run_until(lambda: pending)
    harness.run_for(0.1)
    assert client.answers_to(options) == []
    connection, request = pending[0]
    connection.reply(request)
    connection.media()
    harness.run_until(lambda: client.answers_to(options))
    assert [r.cseq for r in client.answers[-2:]] == [str(play), str(options)]


def test_media_of_a_session_whose_answer_waits_its_turn_follows_the_answer(make_front: Build) -> None:
    harness = make_front(servers=1)
    pending: list[tuple[ServerConnection, Any]] = []
    client, one = harness.set_up_session("/browse/one", channels="0-1")
    _, two = harness.set_up_session("/browse/two", channels="2-3", client=client)
    harness.scripted_servers[0].script["PLAY"] = lambda connection, request: pending.append(
        (connection, request)
    )
    first = client.send("PLAY", "/browse/one", ("Session", one))
    harness.run_until(lambda: pending)
    harness.scripted_servers[0].script.clear()
    second = client.send("PLAY", "/browse/two", ("Session", two))
    harness.run_until(lambda: harness.module.events_of(i.Playing))
    harness.run_for(0.1)
    assert not client.media and not client.answers_to(second)
    connection, request = pending[0]
    connection.reply(request)
    connection.media()
    harness.run_until(lambda: client.answers_to(second) and len(client.media) >= 2)
    answer_index = next(n for n, h in enumerate(client.received) if getattr(h, "cseq", "") == str(second))
    media_index = next(n for n, h in enumerate(client.received) if isinstance(h, tuple) and h[0] == 2)
    assert client.answers_to(first) == [200] and answer_index < media_index


def test_a_repeated_cseq_is_not_processed_twice(make_front: Build) -> None:
    harness = make_front(servers=1)
    client, session = harness.set_up_session("/claims/one")
    cseq = client.send("PLAY", "/claims/one", ("Session", session))
    client.cseq -= 1
    client.send("PLAY", "/claims/one", ("Session", session))  # repeated while the first is in progress
    harness.run_until(lambda: client.media)
    harness.run_for(0.1)
    assert client.answers_to(cseq) == [200]
    client.cseq -= 1
    client.send("PLAY", "/claims/one", ("Session", session))  # repeated again: gets the same answer
    harness.run_until(lambda: client.answers_to(cseq) == [200, 200])
    client.cseq -= 1
    client.send("OPTIONS", "/claims/one")  # another request with a CSeq already used
    harness.run_until(lambda: client.answers_to(cseq)[-1] == 400)
    assert len(harness.module.events_of(i.NewSession)) == 1 and harness.set_up_count() == 1


def test_a_refused_connection_never_ran_and_a_reset_one_may_have_run(make_front: Build) -> None:
    harness = make_front()
    harness.scripted_servers[0].stop_listening()
    for n in range(6):
        client, session = harness.play_session(f"/claims/t{n}")
        client.send("TEARDOWN", f"/claims/t{n}", ("Session", session))
    refused = [e for e in harness.module.events_of(i.AttemptEnded) if e.outcome == Outcome.CONNECT_FAILED]
    assert refused and all(e.server == harness.scripted_servers[0].server_id for e in refused)
    script_all(harness, "SETUP", reset_connection)
    client, _, cseq = harness.send_play("/claims/last")
    harness.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [502] and outcomes(harness)[-1] == Outcome.RESET


def test_a_full_answer_proves_that_the_request_never_ran(make_front: Build) -> None:
    harness = make_front()
    script_all(harness, "SETUP", lambda connection, request: connection.reply(request, 503))
    client, _, cseq = harness.send_play("/claims/one")
    harness.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [503]
    assert "Retry-After" in client.answers[-1].headers
    assert set(outcomes(harness)) == {Outcome.FULL} and harness.set_up_count() == 2  # each server once


def test_a_change_of_rung_while_media_is_in_flight(make_front: Build) -> None:
    harness = make_front(servers=1)
    client, _ = harness.play_session("/browse/one")
    connection = harness.scripted_servers[0].connections[-1]
    request_id = harness.module.events_of(i.NewSession)[0].id
    harness.module.injected.append(i.SetRung(request_id, 0))
    connection.media(b"a")
    harness.daemon.bridge.call_module()
    connection.media(b"b")
    harness.run_until(
        lambda: harness.scripted_servers[0].count("SET_PARAMETER") == 1 and len(client.media) == 3
    )
    change = harness.scripted_servers[0].requests[-1]
    assert change.body == b"rung: 0\r\n" and change.headers.get("Bandwidth") == "80000"
    assert [m[1][-1:] for m in client.media[1:]] == [b"a", b"b"]


def test_a_move_keeps_sequence_time_and_source(make_front: Build) -> None:
    harness = make_front()
    client, _ = harness.play_session("/browse/one")
    first = harness.playing_server()
    first.connections[-1].media(b"x", stamp=9000 + 3000)
    harness.run_until(lambda: len(client.media) == 2)
    first.script["SETUP"] = lambda connection, request: connection.reply(request, 503)
    harness.module.injected.append(i.Move(harness.module.events_of(i.NewSession)[0].id))
    harness.daemon.bridge.call_module()
    harness.run_until(lambda: len(client.media) == 3)
    second = harness.playing_server()
    assert second is not first and first.count("TEARDOWN") == 1
    second.connections[-1].media(b"y", stamp=9000 + 1500)
    harness.run_until(lambda: len(client.media) == 4)
    headers = [rtp.parse_rtp(m[1]) for m in client.media]
    assert [h.sequence for h in headers] == [headers[0].sequence + n for n in range(4)]
    assert {h.ssrc for h in headers} == {first.ssrc}
    timestamps = [h.timestamp for h in headers]
    assert timestamps == sorted(timestamps) and timestamps[2] > timestamps[1]
    # Two answers, to SETUP and PLAY: the viewer does not notice the move.
    assert len(client.answers) == 2 and client.byes == 0
    requests = harness.module.events_of(i.NewSession)
    assert len(requests) == 2 and requests[1].moved and requests[1].viewer == requests[0].viewer
    assert struct.unpack(">I", client.media[3][1][8:12])[0] == first.ssrc
    resumed = next(r for r in second.requests if r.method == "PLAY")
    assert resumed.headers.get("Range").startswith("npt=0.")


def test_a_move_without_a_free_server_ends_the_stream(make_front: Build) -> None:
    harness = make_front()
    client, session = harness.play_session("/browse/one")
    script_all(harness, "SETUP", lambda connection, request: connection.reply(request, 503))
    harness.module.injected.append(i.Move(harness.module.events_of(i.NewSession)[0].id))
    harness.daemon.bridge.call_module()
    harness.run_until(lambda: client.byes == 1)
    cseq = client.send("GET_PARAMETER", "/browse/one", ("Session", session))
    harness.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [454] and not harness.daemon.set_up_requests.open_requests


def test_a_viewer_that_stops_reading_uses_bounded_memory_and_blocks_no_other(make_front: Build) -> None:
    harness = make_front(servers=1, limits="viewer-backlog=(kB)64 stalled=(s)2")
    slow, _ = harness.play_session("/browse/slow")
    slow_connection = harness.scripted_servers[0].connections[-1]
    good, _ = harness.play_session("/browse/good")
    good_connection = harness.scripted_servers[0].connections[-1]
    slow.stream.pause_reading()
    viewer = next(s.viewer for s in harness.daemon.worker.sessions_by_id.values() if "/slow" in s.path)
    largest_backlog = 0
    packet = slow_connection.packet(b"z" * 1200)
    before = len(good.media)
    for n in range(200):
        if slow_connection.stream.open and slow_connection.stream.backlog_bytes < 1 << 20:
            slow_connection.stream.write(packet * 100)
        good_connection.media(b"on")
        harness.run_until(lambda n=n: len(good.media) == before + n + 1)  # type: ignore[misc]
        largest_backlog = max(largest_backlog, viewer.stream.backlog_bytes)
    assert 64_000 <= largest_backlog <= 64_000 + (1 << 17)  # its limit, and what one pass of the loop may add
    assert slow_connection.stream.backlog_bytes > 0  # back-pressure reaches the server
    harness.run_until(lambda: harness.daemon.counts["viewer_stalled"] == 1)
    harness.run_until(lambda: len(harness.daemon.set_up_requests.open_requests) == 1)
    assert good.reason == "" and good.byes == 0


def test_cancel_ends_an_attempt_but_not_a_playing_session(make_front: Build) -> None:
    harness = make_front(servers=1)
    client, _ = harness.play_session("/browse/one")
    harness.module.injected.append(i.Cancel(harness.module.events_of(i.NewSession)[0].id, 0))
    harness.daemon.bridge.call_module()
    harness.run_for(0.05)
    assert not harness.module.events_of(i.AttemptEnded)
    harness.scripted_servers[0].script["SETUP"] = never_answer
    other, _, cseq = harness.send_play("/browse/two")
    harness.run_until(lambda: harness.set_up_count() == 2)
    harness.module.injected.append(i.Cancel(harness.module.events_of(i.NewSession)[1].id, 0))
    harness.daemon.bridge.call_module()
    harness.run_until(lambda: other.answers_to(cseq))
    assert Outcome.CANCELLED in outcomes(harness)
    assert client.byes == 0


def test_a_server_cannot_write_on_the_channel_of_another_session(make_front: Build) -> None:
    harness = make_front(servers=1)
    client, _ = harness.play_session("/browse/one", channels="0-1")
    harness.play_session("/browse/two", channels="2-3", client=client)
    second = harness.scripted_servers[0].connections[-1]
    before = len(client.media)
    second.stream.write(b"$\x00\x00\x03bad")
    second.media(b"good")
    harness.run_until(lambda: client.media[-1][1].endswith(b"good"))
    assert len(client.media) == before + 1 and harness.daemon.counts["stray_frames"] == 1


def test_notes_on_the_rtcp_channel_reach_the_module_and_not_the_viewer(make_front: Build) -> None:
    harness = make_front(servers=1)
    client, _ = harness.play_session("/browse/one")
    connection = harness.scripted_servers[0].connections[-1]
    note = rtp.build_note(harness.scripted_servers[0].ssrc, i.NoteKind.SHARE, 0.5)
    connection.stream.write(b"$\x01" + struct.pack(">H", len(note)) + note)
    connection.media(b"end")
    harness.run_until(lambda: client.media[-1][1].endswith(b"end"))
    notes = [n for n in harness.module.events_of(i.Note) if n.kind == i.NoteKind.SHARE]
    assert [n.value for n in notes] == [0.5]
    assert not [h for h in client.received if isinstance(h, tuple) and h[0] == 1]


def test_a_viewer_is_answered_if_the_module_is_silent(make_front: Build) -> None:
    class SilentModule:
        def __init__(self, settings: i.Settings, seed: int) -> None: ...

        def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
            return []

    harness = make_front(make=SilentModule)
    client, _, cseq = harness.send_play("/browse/one")
    harness.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [504]
    assert harness.daemon.counts["overdue"] == 1


def test_a_module_cannot_start_two_attempts_at_once(make_front: Build) -> None:
    class DoubleSetUpModule:
        def __init__(self, settings: i.Settings, seed: int) -> None: ...

        def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
            return [
                i.SetUp(e.id, server, 0.0) for e in events if isinstance(e, i.NewSession) for server in (1, 2)
            ]

    harness = make_front(make=DoubleSetUpModule)
    client, _, cseq = harness.send_play("/claims/one")
    harness.run_until(lambda: client.answers_to(cseq))
    assert harness.set_up_count() == 1 and outcomes(harness) == [Outcome.MOOT]


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"NONSENSE\r\n\r\n", 400),
        (b"OPTIONS * RTSP/1.0\r\n\r\n", 400),
        (b"OPTIONS * RTSP/1.0\r\nCSeq: one\r\n\r\n", 400),
        (b"OPTIONS * RTSP/1.0\r\nCSeq 1\r\n\r\n", 400),
        (b"OPTIONS * RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n", 400),
        (b"OPTIONS * RTSP/1.0\r\nCSeq : 1\r\n\r\n", 400),
        (b"OPTIONS * RTSP/2.0\r\nCSeq: 1\r\n\r\n", 505),
        (b"FROB rtsp://h/browse/a RTSP/1.0\r\nCSeq: 1\r\n\r\n", 501),
        (b"RECORD rtsp://h/browse/a RTSP/1.0\r\nCSeq: 1\r\n\r\n", 405),
        (b"PAUSE rtsp://h/browse/a RTSP/1.0\r\nCSeq: 1\r\n\r\n", 405),
        (b"DESCRIBE rtsp://h/none RTSP/1.0\r\nCSeq: 1\r\n\r\n", 404),
        (b"DESCRIBE http://h/browse/a RTSP/1.0\r\nCSeq: 1\r\n\r\n", 400),
        (b"SETUP rtsp://h/none RTSP/1.0\r\nCSeq: 1\r\nTransport: RTP/AVP/TCP;unicast\r\n\r\n", 404),
        (b"SETUP rtsp://h/browse/a RTSP/1.0\r\nCSeq: 1\r\nTransport: RTP/AVP;unicast\r\n\r\n", 461),
        (b"SETUP rtsp://h/browse/a RTSP/1.0\r\nCSeq: 1\r\n\r\n", 461),
        (
            b"SETUP rtsp://h/browse/a RTSP/1.0\r\nCSeq: 1\r\n"
            b"Transport: RTP/AVP/TCP;unicast;interleaved=900\r\n\r\n",
            400,
        ),
        (
            b"SETUP rtsp://h/browse/a RTSP/1.0\r\nCSeq: 1\r\nSession: no\r\n"
            b"Transport: RTP/AVP/TCP;unicast;interleaved=0-1\r\n\r\n",
            454,
        ),
        (b"PLAY rtsp://h/browse/a RTSP/1.0\r\nCSeq: 1\r\nSession: no\r\n\r\n", 454),
        (b"TEARDOWN rtsp://h/browse/a RTSP/1.0\r\nCSeq: 1\r\n\r\n", 454),
        (b"GET_PARAMETER rtsp://h/browse/a RTSP/1.0\r\nCSeq: 1\r\n\r\n", 200),
        (b"OPTIONS * RTSP/1.0\r\nCSeq: 1\r\nRequire: funky\r\n\r\n", 551),
        (b"OPTIONS * RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 99999999\r\n\r\n", 413),
        (b"OPTIONS * RTSP/1.0\r\nCSeq: 1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"OPTIONS rtsp://h/" + b"a" * 3000 + b" RTSP/1.0\r\nCSeq: 1\r\n\r\n", 414),
        (b"OPTIONS * RTSP/1.0\r\nCSeq: 1\r\nX: " + b"y" * 20000, 413),
        (b"\xff\xfe\xfd\r\n\r\n", 400),
    ],
)
def test_each_invalid_request_gets_its_status_and_other_sessions_play_on(
    make_front: Build, raw: bytes, status: int
) -> None:
    harness = make_front(servers=1)
    good, _ = harness.play_session("/browse/good")
    bad = harness.connect_client()
    bad.stream.write(raw)
    harness.run_until(lambda: bad.answers)
    assert bad.answers[0].status == status
    before = len(good.media)
    harness.scripted_servers[0].connections[-1].media(b"still")
    harness.run_until(lambda: len(good.media) == before + 1)
    assert harness.set_up_count() == 1


def test_a_request_that_arrives_too_slowly_is_rejected(make_front: Build) -> None:
    harness = make_front(limits="head=(ms)300")
    client = harness.connect_client()
    client.stream.write(b"OPTIONS * RTSP/1.0\r\n")
    harness.run_for(0.15)
    client.stream.write(b"X: y\r\n")
    harness.run_until(lambda: client.reason)
    assert [r.status for r in client.answers] == [408]


def test_an_idle_connection_is_closed_and_a_playing_one_is_kept(make_front: Build) -> None:
    harness = make_front(servers=1, limits="idle=(ms)200")
    idle = harness.connect_client()
    playing, _ = harness.play_session("/browse/one")
    harness.run_until(lambda: idle.reason)
    harness.run_for(0.3)
    assert playing.reason == "" and len(harness.daemon.worker.viewers) == 1


def test_a_wrong_interleaved_length_ends_only_that_connection(make_front: Build) -> None:
    harness = make_front(servers=1)
    good, _ = harness.play_session("/browse/good")
    bad, _ = harness.play_session("/browse/bad")
    bad.stream.write(b"$\x01\x00\x02abOPTIONS * RTSP/1.0\r\nCSeq: 9\r\n\r\n$\x01\x00\x01abcNOT RTSP\r\n\r\n")
    harness.run_until(lambda: bad.reason)
    assert [r.status for r in bad.answers][-2:] == [200, 400]
    harness.run_until(lambda: len(harness.daemon.set_up_requests.open_requests) == 1)
    assert good.reason == "" and good.byes == 0


def test_requests_that_do_not_fit_the_session_state_are_refused(make_front: Build) -> None:
    harness = make_front(servers=1)
    cseq = (describing := harness.connect_client()).send("DESCRIBE", "/browse/one")
    harness.run_until(lambda: describing.answers_to(cseq) == [200])
    client, session = harness.play_session("/browse/one")
    transport = ("Transport", "RTP/AVP/TCP;unicast;interleaved=4-5")
    again = client.send("SETUP", "/browse/one/trackID=0", ("Session", session), transport)
    none = client.send("SETUP", "/browse/one/trackID=7", transport)
    play = client.send("PLAY", "/browse/one", ("Session", session))
    other = client.send("PLAY", "/browse/two", ("Session", session))
    get_parameter = client.send("GET_PARAMETER", "/browse/one", ("Session", session), body=b"position\r\n")
    unknown_parameter = client.send("GET_PARAMETER", "/browse/one", ("Session", session), body=b"jitter\r\n")
    set_parameter = client.send("SET_PARAMETER", "/browse/one", ("Session", session), body=b"volume: 9\r\n")
    harness.run_until(lambda: client.answers_to(set_parameter))
    statuses = [
        client.answers_to(c)[0]
        for c in (again, none, play, other, get_parameter, unknown_parameter, set_parameter)
    ]
    assert statuses == [455, 404, 200, 404, 200, 451, 451]
    assert harness.set_up_count() == 1


def test_limits_on_sessions_and_connections_are_enforced(make_front: Build) -> None:
    harness = make_front(limits="sessions=1 connections=2")
    client, _ = harness.set_up_session("/browse/one")
    cseq = client.send("SETUP", "/browse/two", ("Transport", "RTP/AVP/TCP;unicast;interleaved=2-3"))
    harness.run_until(lambda: client.answers_to(cseq) == [503])
    harness.connect_client()
    harness.run_until(lambda: len(harness.daemon.worker.viewers) == 2)
    third = harness.connect_client()
    harness.run_until(lambda: third.reason)
    assert [r.status for r in third.answers] in ([503], [])


def test_a_drained_server_gets_nothing_new(make_front: Build) -> None:
    harness = make_front()
    harness.apply_server_list(2, entries=[harness.server_entry(harness.scripted_servers[0], State.DRAINING)])
    for n in range(5):
        harness.play_session(f"/browse/t{n}")
    assert harness.scripted_servers[0].count("SETUP") == 0


def test_a_stop_answers_accepted_requests_first(make_front: Build) -> None:
    harness = make_front(servers=1)
    playing, _ = harness.play_session("/browse/one")
    pending: list[tuple[ServerConnection, Any]] = []
    harness.scripted_servers[0].script["PLAY"] = lambda connection, request: pending.append(
        (connection, request)
    )
    waiting, _, cseq = harness.send_play("/browse/two")
    late, session = harness.set_up_session("/browse/three")
    harness.run_until(lambda: pending)
    harness.daemon.stop()
    refused = late.send("PLAY", "/browse/three", ("Session", session))
    harness.run_until(lambda: late.answers_to(refused) == [503])
    connection, request = pending[0]
    connection.reply(request)
    connection.media()
    harness.run_until(lambda: waiting.answers_to(cseq))
    assert waiting.answers_to(cseq) == [200]
    harness.run_until(lambda: playing.byes == 1 and waiting.byes == 1)
    harness.run_until(lambda: harness.scripted_servers[0].count("TEARDOWN") == 2)
    harness.run_until(lambda: not harness.daemon.set_up_requests.open_requests)
