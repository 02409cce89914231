"""What goes wrong between viewers, front and servers, each on real sockets with a server that does it."""

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


def silent(_conn: ServerConnection, _request: Any) -> None:
    """Takes the request and never answers."""


def reset(conn: ServerConnection, _request: Any) -> None:
    conn.stream.abort()


def outcomes(w: FrontHarness) -> list[Outcome]:
    return [Outcome(e.outcome) for e in w.module.events_of(i.AttemptEnded)]


def both(w: FrontHarness, method: str, act: Callable[[ServerConnection, Any], object]) -> None:
    for box in w.scripted_servers:
        box.script[method] = act


def test_a_session_plays_and_is_asked_for_once(make_front: Build) -> None:
    w = make_front()
    client, session = w.play_session("/claims/one")
    assert w.set_up_count() == 1
    assert len(w.module.events_of(i.NewSession)) == 1
    cseq = client.send("TEARDOWN", "/claims/one", ("Session", session))
    w.run_until(lambda: client.answers_to(cseq) and w.module.events_of(i.AttemptEnded))
    assert outcomes(w) == [Outcome.OK]
    assert not w.daemon.set_up_requests.open_requests and not w.daemon.worker.by_id


def test_viewer_drops_mid_set_up_on_a_paid_class(make_front: Build) -> None:
    w = make_front()
    both(w, "SETUP", silent)
    client, _, _ = w.send_play("/claims/one")
    w.run_until(lambda: w.set_up_count() == 1)
    assert sum(w.module.inner.seats.values()) == 1  # held while the attempt is out
    client.stream.abort()
    w.run_until(lambda: w.module.events_of(i.AttemptEnded))
    ended = w.module.events_of(i.AttemptEnded)[0]
    assert (ended.outcome, ended.closed) == (Outcome.CANCELLED, True)
    w.run_until(
        lambda: any(c.reason for b in w.scripted_servers for c in b.connections)
    )  # the server sees it go
    w.run_for(0.2)
    assert w.set_up_count() == 1  # never sent again
    assert not +w.module.inner.seats and not w.daemon.set_up_requests.open_requests  # freed


@pytest.mark.parametrize("backwards", [False, True])
def test_the_end_of_an_attempt_and_the_viewers_leaving_in_one_pass(
    make_front: Build, backwards: bool
) -> None:
    """The module chose the next attempt for a session that nobody had, and held its place for ever."""
    w = make_front()
    held: list[tuple[ServerConnection, Any]] = []
    both(w, "SETUP", lambda conn, request: held.append((conn, request)))
    client, _, _ = w.send_play("/browse/one")
    w.run_until(lambda: held)
    w.loop.selector = ReorderingSelector(  # type: ignore[assignment]
        w.loop.selector, lambda found: sorted(found, key=lambda one: one[0].fd, reverse=backwards)
    )
    server, request = held[0]
    server.reply(request, 453)
    client.stream.abort()
    mine = [k.stream.sock for k in w.daemon.worker.viewers]
    for sock in mine:
        assert select.select([sock], [], [], 10)[0]
    w.run_until(lambda: w.module.events_of(i.ViewerGone) or w.module.events_of(i.AttemptEnded))
    w.run_for(0.2)
    assert w.set_up_count() == 1 and not w.daemon.set_up_requests.open_requests
    assert not w.module.inner.sessions
    assert not any(box.sessions for box in w.module.inner.boxes.values())


def test_box_vanishes_between_set_up_and_play_paid(make_front: Build) -> None:
    w = make_front()
    both(w, "PLAY", reset)
    client, _, cseq = w.send_play("/claims/one")
    w.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [502]
    assert w.set_up_count() == 1 and outcomes(w) == [Outcome.RESET]


def test_box_vanishes_between_set_up_and_play_safe(make_front: Build) -> None:
    w = make_front()
    gone: list[ScriptedServer] = []

    def vanish(conn: ServerConnection, request: Any) -> None:
        gone.append(conn.scripted_server)
        conn.scripted_server.script.clear()
        for box in w.scripted_servers:
            box.script.clear()
        conn.stream.abort()

    both(w, "PLAY", vanish)
    client, _, cseq = w.send_play("/browse/one")
    w.run_until(lambda: client.media)
    assert client.answers_to(cseq) == [200]
    assert w.set_up_count() == 2 and w.playing_server() not in gone


def test_box_accepts_and_never_answers(make_front: Build) -> None:
    w = make_front()
    slow = w.scripted_servers[0]
    for box in w.scripted_servers:
        box.script["SETUP"] = lambda conn, request: w.scripted_servers[0].script.setdefault("hung", conn)  # type: ignore
    client, _, paid = w.send_play("/claims/one")
    w.run_until(lambda: client.answers_to(paid))
    assert client.answers_to(paid) == [502] and w.set_up_count() == 1
    assert outcomes(w)[-1] == Outcome.TIMEOUT
    hung = next(b for b in w.scripted_servers if b.requests)
    for box in w.scripted_servers:
        if box is not hung:
            box.script.clear()
    other, _, safe = w.send_play("/browse/one")
    w.run_until(lambda: other.answers_to(safe))
    assert other.answers_to(safe) == [200]
    assert slow in w.scripted_servers


def test_an_answer_after_the_attempt_was_given_up_changes_nothing(make_front: Build) -> None:
    w = make_front()
    kept: list[tuple[ServerConnection, Any]] = []
    both(w, "SETUP", lambda conn, request: kept.append((conn, request)))
    client, _, cseq = w.send_play("/claims/one")
    w.run_until(lambda: client.answers_to(cseq))
    conn, request = kept[0]
    conn.reply(request, 200, "Session: late")
    w.run_for(0.2)
    assert client.answers_to(cseq) == [502]
    assert w.set_up_count() == 1 and not client.media


def test_half_a_frame_then_a_reset_reaches_no_viewer_and_no_neighbour(make_front: Build) -> None:
    w = make_front(servers=1)
    client, _ = w.play_session("/browse/one")
    _, _ = w.play_session("/browse/two", channels="2-3", client=client)
    first, second = w.scripted_servers[0].connections[-2:]
    before = len(client.media)
    first.stream.write(first.packet(b"x" * 500)[:100])
    w.run_for(0.05)
    first.stream.abort()
    w.run_until(lambda: client.byes == 1)
    second.media(b"after")
    w.run_until(lambda: len(client.media) == before + 1)
    assert client.media[-1][0] == 2 and client.media[-1][1].endswith(b"after")
    assert client.reason == ""
    assert len(w.daemon.worker.by_id) == 1


def test_teardown_crosses_the_end_of_the_stream(make_front: Build) -> None:
    w = make_front(servers=1)
    client, session = w.play_session("/claims/one")
    conn = w.scripted_servers[0].connections[-1]
    conn.stream.write(b"$\x01\x00\x08" + rtp.build_bye(w.scripted_servers[0].ssrc))
    cseq = client.send("TEARDOWN", "/claims/one", ("Session", session))
    w.run_until(lambda: client.answers_to(cseq) and w.module.events_of(i.AttemptEnded))
    assert client.answers_to(cseq)[0] in (200, 454)
    assert outcomes(w) == [Outcome.OK]
    w.run_for(0.1)
    assert len(w.module.events_of(i.AttemptEnded)) == 1 and not w.daemon.set_up_requests.open_requests


def test_two_sessions_on_one_connection_and_a_clash_of_channels(make_front: Build) -> None:
    w = make_front(servers=1)
    client, one = w.play_session("/browse/one", channels="0-1")
    _, two = w.set_up_session(
        "/browse/two", channels="0-1", client=client
    )  # taken: the answer names free ones
    assert "interleaved=2-3" in client.answers[-1].headers.get("Transport")
    cseq = client.send("PLAY", "/browse/two", ("Session", two))
    w.run_until(lambda: client.answers_to(cseq) and any(c == 2 for c, _ in client.media))
    assert one != two
    cseq = client.send("TEARDOWN", "/browse/one", ("Session", one))
    w.run_until(lambda: client.answers_to(cseq) and len(w.daemon.set_up_requests.open_requests) == 1)
    before = len(client.media)
    w.scripted_servers[0].connections[-1].media(b"on")
    w.run_until(lambda: len(client.media) > before)


def test_pipelined_requests_are_answered_in_their_order(make_front: Build) -> None:
    w = make_front(servers=1)
    kept: list[tuple[ServerConnection, Any]] = []
    w.scripted_servers[0].script["PLAY"] = lambda conn, request: kept.append((conn, request))
    client, session = w.set_up_session("/browse/one")
    play = client.send("PLAY", "/browse/one", ("Session", session))
    options = client.send("OPTIONS", "/browse/one")
    w.run_until(lambda: kept)
    w.run_for(0.1)
    assert client.answers_to(options) == []
    conn, request = kept[0]
    conn.reply(request)
    conn.media()
    w.run_until(lambda: client.answers_to(options))
    assert [r.cseq for r in client.answers[-2:]] == [str(play), str(options)]


def test_media_of_a_session_whose_answer_waits_its_turn_follows_the_answer(make_front: Build) -> None:
    w = make_front(servers=1)
    kept: list[tuple[ServerConnection, Any]] = []
    client, one = w.set_up_session("/browse/one", channels="0-1")
    _, two = w.set_up_session("/browse/two", channels="2-3", client=client)
    w.scripted_servers[0].script["PLAY"] = lambda conn, request: kept.append((conn, request))
    first = client.send("PLAY", "/browse/one", ("Session", one))
    w.run_until(lambda: kept)
    w.scripted_servers[0].script.clear()
    second = client.send("PLAY", "/browse/two", ("Session", two))
    w.run_until(lambda: w.module.events_of(i.Playing))
    w.run_for(0.1)
    assert not client.media and not client.answers_to(second)
    conn, request = kept[0]
    conn.reply(request)
    conn.media()
    w.run_until(lambda: client.answers_to(second) and len(client.media) >= 2)
    at = next(n for n, h in enumerate(client.received) if getattr(h, "cseq", "") == str(second))
    media = next(n for n, h in enumerate(client.received) if isinstance(h, tuple) and h[0] == 2)
    assert client.answers_to(first) == [200] and at < media


def test_a_repeated_cseq_is_not_carried_out_twice(make_front: Build) -> None:
    w = make_front(servers=1)
    client, session = w.set_up_session("/claims/one")
    cseq = client.send("PLAY", "/claims/one", ("Session", session))
    client.cseq -= 1
    client.send("PLAY", "/claims/one", ("Session", session))  # the same while the first is pending
    w.run_until(lambda: client.media)
    w.run_for(0.1)
    assert client.answers_to(cseq) == [200]
    client.cseq -= 1
    client.send("PLAY", "/claims/one", ("Session", session))  # and once more: the same answer
    w.run_until(lambda: client.answers_to(cseq) == [200, 200])
    client.cseq -= 1
    client.send("OPTIONS", "/claims/one")  # another request under a used number
    w.run_until(lambda: client.answers_to(cseq)[-1] == 400)
    assert len(w.module.events_of(i.NewSession)) == 1 and w.set_up_count() == 1


def test_an_address_that_refuses_never_ran_a_reset_may_have(make_front: Build) -> None:
    w = make_front()
    w.scripted_servers[0].stop_listening()
    for n in range(6):
        client, session = w.play_session(f"/claims/t{n}")
        client.send("TEARDOWN", f"/claims/t{n}", ("Session", session))
    refused = [e for e in w.module.events_of(i.AttemptEnded) if e.outcome == Outcome.CONNECT_FAILED]
    assert refused and all(e.server == w.scripted_servers[0].server_id for e in refused)
    both(w, "SETUP", reset)
    client, _, cseq = w.send_play("/claims/last")
    w.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [502] and outcomes(w)[-1] == Outcome.RESET


def test_full_proves_that_it_never_ran(make_front: Build) -> None:
    w = make_front()
    both(w, "SETUP", lambda conn, request: conn.reply(request, 503))
    client, _, cseq = w.send_play("/claims/one")
    w.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [503]
    assert "Retry-After" in client.answers[-1].headers
    assert set(outcomes(w)) == {Outcome.FULL} and w.set_up_count() == 2  # each box once


def test_a_change_of_rung_while_media_is_in_flight(make_front: Build) -> None:
    w = make_front(servers=1)
    client, _ = w.play_session("/browse/one")
    conn = w.scripted_servers[0].connections[-1]
    ask = w.module.events_of(i.NewSession)[0].id
    w.module.injected.append(i.SetRung(ask, 0))
    conn.media(b"a")
    w.daemon.bridge.call_module()
    conn.media(b"b")
    w.run_until(lambda: w.scripted_servers[0].count("SET_PARAMETER") == 1 and len(client.media) == 3)
    change = w.scripted_servers[0].requests[-1]
    assert change.body == b"rung: 0\r\n" and change.headers.get("Bandwidth") == "80000"
    assert [m[1][-1:] for m in client.media[1:]] == [b"a", b"b"]


def test_a_move_keeps_sequence_time_and_source(make_front: Build) -> None:
    w = make_front()
    client, _ = w.play_session("/browse/one")
    first = w.playing_server()
    first.connections[-1].media(b"x", stamp=9000 + 3000)
    w.run_until(lambda: len(client.media) == 2)
    first.script["SETUP"] = lambda conn, request: conn.reply(request, 503)
    w.module.injected.append(i.Move(w.module.events_of(i.NewSession)[0].id))
    w.daemon.bridge.call_module()
    w.run_until(lambda: len(client.media) == 3)
    second = w.playing_server()
    assert second is not first and first.count("TEARDOWN") == 1
    second.connections[-1].media(b"y", stamp=9000 + 1500)
    w.run_until(lambda: len(client.media) == 4)
    heads = [rtp.parse_rtp(m[1]) for m in client.media]
    assert [h.sequence for h in heads] == [heads[0].sequence + n for n in range(4)]
    assert {h.ssrc for h in heads} == {first.ssrc}
    stamps = [h.timestamp for h in heads]
    assert stamps == sorted(stamps) and stamps[2] > stamps[1]
    assert len(client.answers) == 2 and client.byes == 0  # SETUP and PLAY: the viewer was asked nothing
    asked = w.module.events_of(i.NewSession)
    assert len(asked) == 2 and asked[1].moved and asked[1].viewer == asked[0].viewer
    assert struct.unpack(">I", client.media[3][1][8:12])[0] == first.ssrc
    resumed = next(r for r in second.requests if r.method == "PLAY")
    assert resumed.headers.get("Range").startswith("npt=0.")


def test_a_move_that_finds_no_room_ends_the_stream(make_front: Build) -> None:
    w = make_front()
    client, session = w.play_session("/browse/one")
    both(w, "SETUP", lambda conn, request: conn.reply(request, 503))
    w.module.injected.append(i.Move(w.module.events_of(i.NewSession)[0].id))
    w.daemon.bridge.call_module()
    w.run_until(lambda: client.byes == 1)
    cseq = client.send("GET_PARAMETER", "/browse/one", ("Session", session))
    w.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [454] and not w.daemon.set_up_requests.open_requests


def test_a_viewer_that_stops_reading_holds_bounded_memory_and_no_neighbour(make_front: Build) -> None:
    w = make_front(servers=1, limits="viewer-backlog=(kB)64 stalled=(s)2")
    slow, _ = w.play_session("/browse/slow")
    slow_conn = w.scripted_servers[0].connections[-1]
    good, _ = w.play_session("/browse/good")
    good_conn = w.scripted_servers[0].connections[-1]
    slow.stream.pause_reading()
    viewer = next(s.viewer for s in w.daemon.worker.by_id.values() if "/slow" in s.path)
    most = 0
    packet = slow_conn.packet(b"z" * 1200)
    heard = len(good.media)
    for n in range(200):
        if slow_conn.stream.open and slow_conn.stream.backlog_bytes < 1 << 20:
            slow_conn.stream.write(packet * 100)
        good_conn.media(b"on")
        w.run_until(lambda n=n: len(good.media) == heard + n + 1)  # type: ignore[misc]
        most = max(most, viewer.stream.backlog_bytes)
    assert 64_000 <= most <= 64_000 + (1 << 17)  # its bound and what one turn may add
    assert slow_conn.stream.backlog_bytes > 0  # held back all the way to the server
    w.run_until(lambda: w.daemon.counts["viewer_stalled"] == 1)
    w.run_until(lambda: len(w.daemon.set_up_requests.open_requests) == 1)
    assert good.reason == "" and good.byes == 0


def test_cancel_calls_an_attempt_off_but_not_one_that_plays(make_front: Build) -> None:
    w = make_front(servers=1)
    client, _ = w.play_session("/browse/one")
    w.module.injected.append(i.Cancel(w.module.events_of(i.NewSession)[0].id, 0))
    w.daemon.bridge.call_module()
    w.run_for(0.05)
    assert not w.module.events_of(i.AttemptEnded)
    w.scripted_servers[0].script["SETUP"] = silent
    other, _, cseq = w.send_play("/browse/two")
    w.run_until(lambda: w.set_up_count() == 2)
    w.module.injected.append(i.Cancel(w.module.events_of(i.NewSession)[1].id, 0))
    w.daemon.bridge.call_module()
    w.run_until(lambda: other.answers_to(cseq))
    assert Outcome.CANCELLED in outcomes(w)
    assert client.byes == 0


def test_a_server_cannot_write_on_a_neighbours_channel(make_front: Build) -> None:
    w = make_front(servers=1)
    client, _ = w.play_session("/browse/one", channels="0-1")
    w.play_session("/browse/two", channels="2-3", client=client)
    second = w.scripted_servers[0].connections[-1]
    before = len(client.media)
    second.stream.write(b"$\x00\x00\x03bad")
    second.media(b"good")
    w.run_until(lambda: client.media[-1][1].endswith(b"good"))
    assert len(client.media) == before + 1 and w.daemon.counts["stray_frames"] == 1


def test_notes_on_the_rtcp_channel_reach_the_module_and_not_the_viewer(make_front: Build) -> None:
    w = make_front(servers=1)
    client, _ = w.play_session("/browse/one")
    conn = w.scripted_servers[0].connections[-1]
    note = rtp.build_note(w.scripted_servers[0].ssrc, i.NoteKind.SHARE, 0.5)
    conn.stream.write(b"$\x01" + struct.pack(">H", len(note)) + note)
    conn.media(b"end")
    w.run_until(lambda: client.media[-1][1].endswith(b"end"))
    told = [n for n in w.module.events_of(i.Note) if n.kind == i.NoteKind.SHARE]
    assert [n.value for n in told] == [0.5]
    assert not [h for h in client.received if isinstance(h, tuple) and h[0] == 1]


def test_a_module_that_never_answers_costs_the_viewer_no_answer(make_front: Build) -> None:
    class Dumb:
        def __init__(self, settings: i.Settings, seed: int) -> None: ...

        def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
            return []

    w = make_front(make=Dumb)
    client, _, cseq = w.send_play("/browse/one")
    w.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [504]
    assert w.daemon.counts["overdue"] == 1


def test_a_module_that_sends_two_at_once_is_kept_from_it(make_front: Build) -> None:
    class Twice:
        def __init__(self, settings: i.Settings, seed: int) -> None: ...

        def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
            return [
                i.SetUp(e.id, server, 0.0) for e in events if isinstance(e, i.NewSession) for server in (1, 2)
            ]

    w = make_front(make=Twice)
    client, _, cseq = w.send_play("/claims/one")
    w.run_until(lambda: client.answers_to(cseq))
    assert w.set_up_count() == 1 and outcomes(w) == [Outcome.MOOT]


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
def test_each_wrong_request_gets_its_status_and_no_other_session_notices(
    make_front: Build, raw: bytes, status: int
) -> None:
    w = make_front(servers=1)
    good, _ = w.play_session("/browse/good")
    bad = w.connect_client()
    bad.stream.write(raw)
    w.run_until(lambda: bad.answers)
    assert bad.answers[0].status == status
    before = len(good.media)
    w.scripted_servers[0].connections[-1].media(b"still")
    w.run_until(lambda: len(good.media) == before + 1)
    assert w.set_up_count() == 1


def test_a_drip_of_bytes_is_cut_off(make_front: Build) -> None:
    w = make_front(limits="head=(ms)300")
    client = w.connect_client()
    client.stream.write(b"OPTIONS * RTSP/1.0\r\n")
    w.run_for(0.15)
    client.stream.write(b"X: y\r\n")
    w.run_until(lambda: client.reason)
    assert [r.status for r in client.answers] == [408]


def test_an_idle_connection_is_closed_one_that_plays_is_kept(make_front: Build) -> None:
    w = make_front(servers=1, limits="idle=(ms)200")
    idle = w.connect_client()
    playing, _ = w.play_session("/browse/one")
    w.run_until(lambda: idle.reason)
    w.run_for(0.3)
    assert playing.reason == "" and len(w.daemon.worker.viewers) == 1


def test_an_interleaved_length_that_lies_ends_that_connection_alone(make_front: Build) -> None:
    w = make_front(servers=1)
    good, _ = w.play_session("/browse/good")
    bad, _ = w.play_session("/browse/bad")
    bad.stream.write(b"$\x01\x00\x02abOPTIONS * RTSP/1.0\r\nCSeq: 9\r\n\r\n$\x01\x00\x01abcNOT RTSP\r\n\r\n")
    w.run_until(lambda: bad.reason)
    assert [r.status for r in bad.answers][-2:] == [200, 400]
    w.run_until(lambda: len(w.daemon.set_up_requests.open_requests) == 1)
    assert good.reason == "" and good.byes == 0


def test_states_refuse_what_does_not_fit_them(make_front: Build) -> None:
    w = make_front(servers=1)
    cseq = (describing := w.connect_client()).send("DESCRIBE", "/browse/one")
    w.run_until(lambda: describing.answers_to(cseq) == [200])
    client, session = w.play_session("/browse/one")
    transport = ("Transport", "RTP/AVP/TCP;unicast;interleaved=4-5")
    again = client.send("SETUP", "/browse/one/trackID=0", ("Session", session), transport)
    none = client.send("SETUP", "/browse/one/trackID=7", transport)
    play = client.send("PLAY", "/browse/one", ("Session", session))
    other = client.send("PLAY", "/browse/two", ("Session", session))
    get = client.send("GET_PARAMETER", "/browse/one", ("Session", session), body=b"position\r\n")
    odd = client.send("GET_PARAMETER", "/browse/one", ("Session", session), body=b"jitter\r\n")
    put = client.send("SET_PARAMETER", "/browse/one", ("Session", session), body=b"volume: 9\r\n")
    w.run_until(lambda: client.answers_to(put))
    statuses = [client.answers_to(c)[0] for c in (again, none, play, other, get, odd, put)]
    assert statuses == [455, 404, 200, 404, 200, 451, 451]
    assert w.set_up_count() == 1


def test_limits_refuse_early(make_front: Build) -> None:
    w = make_front(limits="sessions=1 connections=2")
    client, _ = w.set_up_session("/browse/one")
    cseq = client.send("SETUP", "/browse/two", ("Transport", "RTP/AVP/TCP;unicast;interleaved=2-3"))
    w.run_until(lambda: client.answers_to(cseq) == [503])
    w.connect_client()
    w.run_until(lambda: len(w.daemon.worker.viewers) == 2)
    third = w.connect_client()
    w.run_until(lambda: third.reason)
    assert [r.status for r in third.answers] in ([503], [])


def test_a_drained_server_gets_nothing_new(make_front: Build) -> None:
    w = make_front()
    w.apply_server_list(2, entries=[w.server_entry(w.scripted_servers[0], State.DRAINING)])
    for n in range(5):
        w.play_session(f"/browse/t{n}")
    assert w.scripted_servers[0].count("SETUP") == 0


def test_a_clean_stop_answers_what_was_taken(make_front: Build) -> None:
    w = make_front(servers=1)
    playing, _ = w.play_session("/browse/one")
    kept: list[tuple[ServerConnection, Any]] = []
    w.scripted_servers[0].script["PLAY"] = lambda conn, request: kept.append((conn, request))
    asked, _, cseq = w.send_play("/browse/two")
    late, session = w.set_up_session("/browse/three")
    w.run_until(lambda: kept)
    w.daemon.stop()
    refused = late.send("PLAY", "/browse/three", ("Session", session))
    w.run_until(lambda: late.answers_to(refused) == [503])
    conn, request = kept[0]
    conn.reply(request)
    conn.media()
    w.run_until(lambda: asked.answers_to(cseq))
    assert asked.answers_to(cseq) == [200]
    w.run_until(lambda: playing.byes == 1 and asked.byes == 1)
    w.run_until(lambda: w.scripted_servers[0].count("TEARDOWN") == 2)
    w.run_until(lambda: not w.daemon.set_up_requests.open_requests)
