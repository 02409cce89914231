"""A front with workers, as processes: whoever dies or hangs, at whatever step, the rest goes on."""

from __future__ import annotations

import json
import os
import signal
import socket
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from lemonhall import interface as i
from lemonhall.day.children import kin_of
from lemonhall.front.workers.build_id import build_id
from lemonhall.ipc import Configuration, Hello, Message, MessageDecoder, StartAttempt, Welcome, encode
from lemonhall.loop import Handler, Stream
from lemonhall.rtsp import Request
from tests.front.harness import TERMS, Client, FrontHarness, ServerConnection
from tests.front.process_harness import ProcessHarness

Make = Callable[..., ProcessHarness]
SLOW = TERMS.replace("deadline=(ms)1200", "deadline=(ms)6000").replace(
    "deadline=(ms)1500", "deadline=(ms)6000"
)


@pytest.fixture
def make(tmp_path: Path) -> Iterator[Make]:
    made: list[ProcessHarness] = []

    def build_id(workers: int = 2, terms: str = SLOW, more: str = "") -> ProcessHarness:
        made.append(ProcessHarness(tmp_path, terms, f"workers={workers} {more}"))
        return made[-1]

    yield build_id
    for each in made:
        each.close()


def stands_by(site: ProcessHarness) -> None:
    """Waits until another decider is ready to come."""

    def ready() -> bool:
        lines = (site.folder / "log-0").read_text()
        return lines.count('"decider stands by"') > lines.count('"decider serves"')

    site.run_until(ready)


def decider(pid: int) -> int:
    return kin_of(pid, "--decide")[0]


def workers(pid: int) -> list[int]:
    return kin_of(pid, "workers.worker_process")


def sockets(pid: int) -> int:
    links = []
    for fd in Path(f"/proc/{pid}/fd").iterdir():
        with suppress(FileNotFoundError):  # closed since the folder was read
            links.append(os.readlink(fd))
    return sum("socket:" in link for link in links)


class Page(Handler):
    """What the status address tells of /metrics, up to its end."""

    def __init__(self, site: ProcessHarness, port: str) -> None:
        self.text, self.over = b"", False
        self.stream = Stream.connect(site.loop, ("127.0.0.1", int(port.rpartition(":")[2])), self, 5.0)

    def on_connected(self) -> None:
        self.stream.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")

    def on_data(self, view: memoryview) -> None:
        self.text += view

    def on_closed(self, reason: str) -> None:
        self.over = True


def page(site: ProcessHarness, port: str) -> str:
    asked_for = Page(site, port)
    while not asked_for.over:
        site.loop.run_once()
    return asked_for.text.decode()


def asked(site: ProcessHarness, at: tuple[str, int], path: str, claim: str = "") -> tuple[Client, int]:
    """A viewer that has asked to play, and the number of that request."""
    client = Client(site.loop, at)
    more = [("X-Claim", claim)] if claim else []
    transport = ("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1")
    cseq = client.send("SETUP", f"{path}/trackID=0", transport, *more)
    site.run_until(lambda: client.answers_to(cseq))
    session = ("Session", client.answers[-1].session)
    return client, client.send("PLAY", path, session)


def set_ups(site: ProcessHarness) -> int:
    return sum(box.count("SETUP") for box in site.scripted_servers)


def test_sessions_are_spread_over_workers_and_the_pages_tell_of_all(make: Make) -> None:
    site = make(3, more='status="127.0.0.1:0"')
    front = site.start_front()
    at = site.serving_address(front)
    before = [sockets(pid) for pid in workers(front.pid)]
    site.play_sessions(at, 24)
    site.assert_no_gap(site.open_clients())
    assert len(workers(front.pid)) == 3 and len(kin_of(front.pid, "--decide")) == 2
    took = [sockets(pid) - had for pid, had in zip(workers(front.pid), before, strict=True)]
    assert sum(took) == 48 and min(took) >= 4  # two a session: its viewer's and its server's
    lines = [json.loads(x) for x in (site.folder / "log-0").read_text().splitlines() if x.startswith("{")]
    port = next(x["status"] for x in lines if x["event"] == "serving")
    site.run_until(lambda: 'what="sessions"} 24.0' in page(site, port))
    assert 'lemonhall_events_total{event="played"} 24.0' in page(site, port)
    front.terminate()
    assert site.exit_status(front) == 0
    site.run_until(lambda: not site.open_clients())
    assert all(c.byes == 1 for c, _ in site.clients)


def test_a_decider_that_dies_stops_nothing_that_plays_and_the_next_goes_on(make: Make) -> None:
    site = make(2)
    front = site.start_front()
    at = site.serving_address(front)
    site.play_sessions(at, 6)
    claim = site.start_session(at, "/claims/first")[2]
    for round_ in range(3):
        stands_by(site)
        os.kill(decider(front.pid), signal.SIGKILL)
        _, status, _ = site.start_session(at, f"/browse/after-{round_}")
        assert status == 200
    assert site.start_session(at, "/claims/first", claim)[1] == 502  # it has run, and that is still known
    assert len(site.open_clients()) == 10
    site.assert_no_gap(site.open_clients())
    front.terminate()
    assert site.exit_status(front) == 0


@pytest.mark.parametrize("point", ["given", "written", "cleared"])
def test_a_paid_claim_whose_decider_dies_at_a_point_is_set_up_once_and_answered_once(
    make: Make, point: str
) -> None:
    site = make(1)
    front = site.start_front("--die-at", point)
    at = site.serving_address(front)
    stands_by(site)
    client, cseq = asked(site, at, "/claims/a")
    site.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [200] and set_ups(site) == 1
    again = asked(site, at, "/claims/a", client.answers[0].headers.get("X-Claim"))
    site.run_until(lambda: again[0].answers_to(again[1]))
    assert again[0].answers_to(again[1]) == [502] and set_ups(site) == 1
    client.stream.abort()
    again[0].stream.abort()


def held(site: ProcessHarness) -> list[tuple[ServerConnection, Request]]:
    """Servers keep the set-ups that come, unanswered."""
    kept: list[tuple[ServerConnection, Request]] = []
    for box in site.scripted_servers:
        box.script["SETUP"] = lambda conn, request: kept.append((conn, request))
    return kept


def let(conn: ServerConnection, request: Request, status: int = 200) -> None:
    transport = f"Transport: {request.headers.get('Transport')}"
    conn.reply(request, status, "Session: s", transport) if status == 200 else conn.reply(request, status)


@pytest.mark.parametrize("status", [200, 500])
def test_a_set_up_that_is_out_when_the_decider_dies_comes_to_its_end(make: Make, status: int) -> None:
    site = make(1)
    front = site.start_front()
    at = site.serving_address(front)
    kept = held(site)
    stands_by(site)
    client, cseq = asked(site, at, "/claims/a")
    site.run_until(lambda: kept)
    os.kill(decider(front.pid), signal.SIGKILL)
    let(*kept[0], status)
    site.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [200 if status == 200 else 502] and set_ups(site) == 1
    client.stream.abort()


def test_what_provably_did_not_run_is_tried_again_under_the_next_decider(make: Make) -> None:
    site = make(1)
    front = site.start_front()
    at = site.serving_address(front)
    kept = held(site)
    stands_by(site)
    client, cseq = asked(site, at, "/claims/a")
    site.run_until(lambda: kept)
    os.kill(decider(front.pid), signal.SIGKILL)
    for box in site.scripted_servers:
        box.script.pop("SETUP")
    let(*kept[0], 503)  # full: it did not run
    site.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [200] and set_ups(site) == 2
    client.stream.abort()


def test_a_decider_that_does_not_run_leaves_answers_to_the_workers(make: Make) -> None:
    site = make(2, TERMS)
    front = site.start_front()
    at = site.serving_address(front)
    site.play_sessions(at, 4)
    pid = decider(front.pid)
    os.kill(pid, signal.SIGSTOP)
    waiting = [asked(site, at, f"/{kind}/w") for kind in ("browse", "claims", "browse")]
    site.run_until(lambda: all(c.answers_to(n) for c, n in waiting))
    assert {s for c, n in waiting for s in c.answers_to(n)} <= {503, 504}
    assert [len(c.answers_to(n)) for c, n in waiting] == [1, 1, 1]
    site.assert_no_gap(site.open_clients())
    before = set_ups(site)
    os.kill(pid, signal.SIGCONT)
    assert site.start_session(at, "/browse/later")[1] == 200
    assert set_ups(site) == before + 1  # what was answered meanwhile is not set up after all
    assert decider(front.pid) == pid
    for client, _ in waiting:
        client.stream.abort()


def test_a_worker_that_dies_takes_its_own_viewers_along_and_comes_again(make: Make) -> None:
    site = make(2)
    front = site.start_front()
    at = site.serving_address(front)
    site.play_sessions(at, 16)
    gone, stays = workers(front.pid)
    kept = held(site)
    client, cseq = asked(site, at, "/claims/a")
    site.run_until(lambda: kept)
    os.kill(gone, signal.SIGKILL)
    site.run_until(lambda: len(site.open_clients()) < 16 and len(workers(front.pid)) == 2)
    assert stays in workers(front.pid) and gone not in workers(front.pid)
    for box in site.scripted_servers:
        box.script.pop("SETUP")
    had = {id(c): len(c.media) for c, _ in site.clients}
    site.run_until(lambda: all(not c.stream.open or len(c.media) > had[id(c)] for c, _ in site.clients))
    site.assert_no_gap(site.open_clients())
    token = client.answers[0].headers.get("X-Claim")
    if client.stream.open:  # it was the other's: it plays, or runs into its deadline
        let(*kept[0])
        site.run_until(lambda: client.answers_to(cseq))
        assert len(client.answers_to(cseq)) == 1
        client.stream.abort()
    again = asked(site, at, "/claims/a", token)
    site.run_until(lambda: again[0].answers_to(again[1]))
    assert again[0].answers_to(again[1]) == [502]  # it may have run
    again[0].stream.abort()
    assert all(site.start_session(at, f"/browse/n{n}")[1] == 200 for n in range(4))


def test_a_worker_that_does_not_run_is_ended_and_the_others_go_on(make: Make) -> None:
    site = make(2)
    front = site.start_front()
    at = site.serving_address(front)
    site.play_sessions(at, 8)
    stopped = workers(front.pid)[0]
    os.kill(stopped, signal.SIGSTOP)
    asks = [asked(site, at, f"/browse/s{n}") for n in range(4)]  # whoever runs takes them
    site.run_until(lambda: all(c.answers_to(n) == [200] for c, n in asks))
    site.run_until(lambda: stopped not in workers(front.pid) and len(workers(front.pid)) == 2)
    assert site.start_session(at, "/browse/after")[1] == 200
    for client, _ in asks:
        client.stream.abort()


def test_a_worker_that_wakes_after_its_sessions_were_given_up_answers_them_once(make: Make) -> None:
    site = make(1, TERMS)
    front = site.start_front()
    at = site.serving_address(front)
    kept = held(site)
    client, cseq = asked(site, at, "/claims/a")
    site.run_until(lambda: kept)
    (pid,) = workers(front.pid)
    os.kill(pid, signal.SIGSTOP)
    passed: list[bool] = []
    site.loop.call_later(3.0, passed.append, True)  # its deadline, and what the decider waits behind it
    site.run_until(lambda: passed)
    os.kill(pid, signal.SIGCONT)
    site.run_until(lambda: client.answers_to(cseq))
    let(*kept[0])
    assert len(client.answers_to(cseq)) == 1 and client.answers_to(cseq)[0] != 200
    again = asked(site, at, "/claims/a", client.answers[0].headers.get("X-Claim"))
    site.run_until(lambda: again[0].answers_to(again[1]))
    assert again[0].answers_to(again[1]) == [502] and set_ups(site) == 1
    client.stream.abort()
    again[0].stream.abort()


def test_more_and_fewer_workers_by_a_reload_and_nothing_that_plays_ends(make: Make) -> None:
    site = make(2)
    front = site.start_front()
    at = site.serving_address(front)
    site.play_sessions(at, 8)
    for count in (4, 1):
        site.options = f"workers={count}"
        site.write_settings("front.kdl", SLOW)
        front.send_signal(signal.SIGHUP)
        site.run_until(lambda n=count: taking(site) == n)
        assert site.start_session(at, f"/browse/with-{count}")[1] == 200
    assert len(site.open_clients()) == 10
    site.assert_no_gap(site.open_clients())
    for client in site.open_clients()[:9]:
        client.stream.abort()
    site.run_until(lambda: len(workers(front.pid)) == 1, 20.0)
    front.terminate()
    assert site.exit_status(front) == 0


def taking(site: ProcessHarness) -> int:
    """Workers that the log has seen to come, less those that were told to go."""
    lines = [json.loads(x) for x in (site.folder / "log-0").read_text().splitlines() if x.startswith("{")]
    came = sum(x["event"] == "worker" and x["takes"] for x in lines)
    return came - sum(x["event"] == "worker retires" for x in lines)


def test_a_drain_takes_nothing_new_and_ends_with_the_last_viewer(make: Make) -> None:
    site = make(2)
    front = site.start_front()
    at = site.serving_address(front)
    site.play_sessions(at, 4)
    client = Client(site.loop, at)
    site.run_until(lambda: client.stream.open and not client.stream.connecting)
    cseq = client.send("OPTIONS", "/")
    site.run_until(lambda: client.answers_to(cseq))
    front.send_signal(signal.SIGUSR1)
    site.run_until(lambda: "draining" in (site.folder / "log-0").read_text())

    def refused() -> bool:
        transport = ("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1")
        number = client.send("SETUP", "/browse/x/trackID=0", transport)
        site.run_until(lambda: client.answers_to(number))
        return client.answers_to(number) == [503]

    site.run_until(refused)
    site.assert_no_gap(site.open_clients())
    for each in site.open_clients():
        each.stream.abort()
    client.stream.abort()
    assert site.exit_status(front) == 0


@pytest.mark.parametrize("fault", ["", *("yielded", "sent", "unpacked", "owned", "told", "given")])
def test_a_change_of_guard_moves_no_session_whoever_dies(make: Make, fault: str) -> None:
    """The old parent dies with what plays there, as a front does; else nothing is lost."""
    site = make(2)
    mine = fault in ("yielded", "sent", "given")
    old = site.start_front(*(["--die-at", fault] if fault and mine else []))
    at = site.serving_address(old)
    site.play_sessions(at, 6)
    claim = site.start_session(at, "/claims/first")[2]
    new = site.start_front("--replace", *(["--die-at", fault] if fault and not mine else []))
    if fault in ("unpacked", "owned", "told"):
        assert site.exit_status(new) == 9
        site.run_until(lambda: "serving again" in (site.folder / "log-0").read_text())
        at_last = at
    else:
        at_last = site.serving_address(new)
    if not mine:
        assert len(site.open_clients()) == 7
        site.assert_no_gap(site.open_clients())
    assert at_last[1] == at[1] or mine
    assert site.start_session(at_last, "/browse/new")[1] == 200
    assert site.start_session(at_last, "/claims/first", claim)[1] == 502
    if not fault:
        for client in site.open_clients():
            client.stream.abort()
        assert site.exit_status(old) == 0
        new.terminate()
        assert site.exit_status(new) == 0


def test_a_successor_that_would_be_without_workers_is_refused(make: Make) -> None:
    site = make(1)
    front = site.start_front()
    at = site.serving_address(front)
    site.play_sessions(at, 2)
    site.options = "workers=0"
    site.write_settings("other.kdl", SLOW)
    new = site.start_front("--replace", settings="other.kdl")
    assert site.exit_status(new) == 2
    assert "workers" in (site.folder / "log-1").read_text()
    site.assert_no_gap(site.open_clients())


def seam_of(pid: int) -> tuple[str, str]:
    """Where a front's workers find their decider, and the name of their family; as a worker is told."""
    words = Path(f"/proc/{workers(pid)[0]}/cmdline").read_bytes().split(b"\0")
    given = json.loads(next(w for w in words if w.startswith(b"{")))
    return given["seam"], given["family"]


def worker_of(path: str, hello: Hello, until: type[Message]) -> list[Any]:
    """A worker of another program says hello: what it hears up to a kind of message."""
    heard: list[Any] = []
    reader = MessageDecoder()
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(10.0)
        sock.connect(path)
        sock.sendall(encode(hello))
        while not any(isinstance(m, until) for m in heard):
            heard += reader.feed(sock.recv(1 << 16))
    return heard


def test_a_worker_of_another_version_or_program_plays_on_and_takes_nothing_new(make: Make) -> None:
    site = make(1)
    front = site.start_front()
    at = site.serving_address(front)
    path, family = seam_of(front.pid)
    later = worker_of(path, Hello(99, 99, 70, 1, family, build_id()), Welcome)
    assert [type(m) for m in later] == [Welcome] and later[0].version == 0
    older = worker_of(path, Hello(1, 1, 71, 1, family, "another program"), Welcome)
    assert [(m.version, m.takes_viewers) for m in older if isinstance(m, Welcome)] == [(1, False)]
    assert not any(isinstance(m, Configuration) for m in older)
    stranger = worker_of(path, Hello(1, 1, 72, 1, "another parent", build_id()), Welcome)
    assert not stranger[-1].takes_viewers and not any(isinstance(m, Configuration) for m in stranger)
    assert site.start_session(at, "/browse/a")[1] == 200
    with socket.socket(socket.AF_UNIX) as sock:  # noise ends its own link and nothing else
        sock.settimeout(10.0)
        sock.connect(path)
        sock.sendall(b"\xff" * 64)
        assert sock.recv(64) == b""
    assert site.start_session(at, "/browse/b")[1] == 200


def test_an_ask_that_finds_the_queue_full_is_answered_with_a_pause_and_the_module_never_hears(
    make_front: Callable[..., FrontHarness], monkeypatch: pytest.MonkeyPatch
) -> None:
    w = make_front()
    monkeypatch.setattr("lemonhall.front.process.local_queue.MOST", 0)
    client, _, cseq = w.send_play("/browse/a")
    w.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [503] and client.answers[-1].headers.get("Retry-After") == "2"
    assert not w.module.events_of(i.NewSession) and not w.daemon.worker.asks and w.set_up_count() == 0
    monkeypatch.undo()
    w.play_session("/browse/b")


def test_a_set_up_that_finds_the_queue_full_never_was_and_the_module_goes_on(
    make_front: Callable[..., FrontHarness], monkeypatch: pytest.MonkeyPatch
) -> None:
    w = make_front()
    send, full = w.daemon.worker_queue.send, [True]
    monkeypatch.setattr(
        w.daemon.worker_queue,
        "send",
        lambda m: False if isinstance(m, StartAttempt) and full.pop() else send(m),
    )
    full += [False, False, True]
    client, _, cseq = w.send_play("/browse/a")
    w.run_until(lambda: client.answers_to(cseq))
    assert w.module.events_of(i.AttemptEnded)[0].outcome == i.Outcome.MOOT
    assert w.daemon.counts["seam_full"] == 1 and len(client.answers_to(cseq)) == 1
    assert not w.daemon.set_up_requests.attempt_table.open_attempts or client.answers_to(cseq) == [200]
