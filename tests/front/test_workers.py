"""A front with worker processes: the others go on if any process dies or hangs, at any step."""

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
LONG_DEADLINES = TERMS.replace("deadline=(ms)1200", "deadline=(ms)6000").replace(
    "deadline=(ms)1500", "deadline=(ms)6000"
)


@pytest.fixture
def make(tmp_path: Path) -> Iterator[Make]:
    harnesses: list[ProcessHarness] = []

    def build(workers: int = 2, terms: str = LONG_DEADLINES, options: str = "") -> ProcessHarness:
        harnesses.append(ProcessHarness(tmp_path, terms, f"workers={workers} {options}"))
        return harnesses[-1]

    yield build
    for harness in harnesses:
        harness.close()


def wait_for_standby(harness: ProcessHarness) -> None:
    """Waits until a standby decider is ready."""

    def ready() -> bool:
        lines = (harness.folder / "log-0").read_text()
        return lines.count('"standby decider ready"') > lines.count('"decider active"')

    harness.run_until(ready)


def decider_pid(pid: int) -> int:
    return kin_of(pid, "--decide")[0]


def worker_pids(pid: int) -> list[int]:
    return kin_of(pid, "workers.worker_process")


def socket_count(pid: int) -> int:
    targets = []
    for fd in Path(f"/proc/{pid}/fd").iterdir():
        with suppress(FileNotFoundError):  # closed since the directory was listed
            targets.append(os.readlink(fd))
    return sum("socket:" in link for link in targets)


class PageRequest(Handler):
    """Fetches /metrics from the status address."""

    def __init__(self, harness: ProcessHarness, port: str) -> None:
        self.text, self.finished = b"", False
        self.stream = Stream.connect(harness.loop, ("127.0.0.1", int(port.rpartition(":")[2])), self, 5.0)

    def on_connected(self) -> None:
        self.stream.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")

    def on_data(self, view: memoryview) -> None:
        self.text += view

    def on_closed(self, reason: str) -> None:
        self.finished = True


def fetch_metrics(harness: ProcessHarness, port: str) -> str:
    request = PageRequest(harness, port)
    while not request.finished:
        harness.loop.run_once()
    return request.text.decode()


def request_play(
    harness: ProcessHarness, address: tuple[str, int], path: str, claim: str = ""
) -> tuple[Client, int]:
    """Sends SETUP and PLAY. Returns the viewer and the CSeq of PLAY."""
    client = Client(harness.loop, address)
    options = [("X-Claim", claim)] if claim else []
    transport = ("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1")
    cseq = client.send("SETUP", f"{path}/trackID=0", transport, *options)
    harness.run_until(lambda: client.answers_to(cseq))
    session = ("Session", client.answers[-1].session)
    return client, client.send("PLAY", path, session)


def set_up_count(harness: ProcessHarness) -> int:
    return sum(server.count("SETUP") for server in harness.scripted_servers)


def test_sessions_are_spread_over_workers_and_the_metrics_count_all(make: Make) -> None:
    harness = make(3, options='status="127.0.0.1:0"')
    front = harness.start_front()
    address = harness.serving_address(front)
    before = [socket_count(pid) for pid in worker_pids(front.pid)]
    harness.play_sessions(address, 24)
    harness.assert_no_gap(harness.open_clients())
    assert len(worker_pids(front.pid)) == 3 and len(kin_of(front.pid, "--decide")) == 2
    opened = [socket_count(pid) - count for pid, count in zip(worker_pids(front.pid), before, strict=True)]
    assert sum(opened) == 48 and min(opened) >= 4  # two per session: to its viewer and to its server
    lines = [json.loads(x) for x in (harness.folder / "log-0").read_text().splitlines() if x.startswith("{")]
    port = next(x["status"] for x in lines if x["event"] == "serving")
    harness.run_until(lambda: 'what="sessions"} 24.0' in fetch_metrics(harness, port))
    assert 'lemonhall_events_total{event="played"} 24.0' in fetch_metrics(harness, port)
    front.terminate()
    assert harness.exit_status(front) == 0
    harness.run_until(lambda: not harness.open_clients())
    assert all(c.byes == 1 for c, _ in harness.clients)


def test_playing_sessions_survive_a_killed_decider_and_the_standby_takes_over(make: Make) -> None:
    harness = make(2)
    front = harness.start_front()
    address = harness.serving_address(front)
    harness.play_sessions(address, 6)
    claim = harness.start_session(address, "/claims/first")[2]
    for round_ in range(3):
        wait_for_standby(harness)
        os.kill(decider_pid(front.pid), signal.SIGKILL)
        _, status, _ = harness.start_session(address, f"/browse/after-{round_}")
        assert status == 200
    # The claim ran, and the next decider knows it.
    assert harness.start_session(address, "/claims/first", claim)[1] == 502
    assert len(harness.open_clients()) == 10
    harness.assert_no_gap(harness.open_clients())
    front.terminate()
    assert harness.exit_status(front) == 0


@pytest.mark.parametrize("point", ["given", "written", "cleared"])
def test_a_paid_claim_is_set_up_and_answered_once_if_the_decider_dies_at_a_failpoint(
    make: Make, point: str
) -> None:
    harness = make(1)
    front = harness.start_front("--die-at", point)
    address = harness.serving_address(front)
    wait_for_standby(harness)
    client, cseq = request_play(harness, address, "/claims/a")
    harness.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [200] and set_up_count(harness) == 1
    again = request_play(harness, address, "/claims/a", client.answers[0].headers.get("X-Claim"))
    harness.run_until(lambda: again[0].answers_to(again[1]))
    assert again[0].answers_to(again[1]) == [502] and set_up_count(harness) == 1
    client.stream.abort()
    again[0].stream.abort()


def hold_set_ups(harness: ProcessHarness) -> list[tuple[ServerConnection, Request]]:
    """Makes the servers keep set-up requests unanswered. Returns the list of these."""
    pending: list[tuple[ServerConnection, Request]] = []
    for server in harness.scripted_servers:
        server.script["SETUP"] = lambda connection, request: pending.append((connection, request))
    return pending


def answer_set_up(connection: ServerConnection, request: Request, status: int = 200) -> None:
    transport = f"Transport: {request.headers.get('Transport')}"
    connection.reply(request, status, "Session: s", transport) if status == 200 else connection.reply(
        request, status
    )


@pytest.mark.parametrize("status", [200, 500])
def test_a_set_up_in_progress_completes_after_the_decider_died(make: Make, status: int) -> None:
    harness = make(1)
    front = harness.start_front()
    address = harness.serving_address(front)
    pending = hold_set_ups(harness)
    wait_for_standby(harness)
    client, cseq = request_play(harness, address, "/claims/a")
    harness.run_until(lambda: pending)
    os.kill(decider_pid(front.pid), signal.SIGKILL)
    answer_set_up(*pending[0], status)
    harness.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [200 if status == 200 else 502] and set_up_count(harness) == 1
    client.stream.abort()


def test_an_attempt_that_provably_did_not_run_is_retried_under_the_next_decider(make: Make) -> None:
    harness = make(1)
    front = harness.start_front()
    address = harness.serving_address(front)
    pending = hold_set_ups(harness)
    wait_for_standby(harness)
    client, cseq = request_play(harness, address, "/claims/a")
    harness.run_until(lambda: pending)
    os.kill(decider_pid(front.pid), signal.SIGKILL)
    for server in harness.scripted_servers:
        server.script.pop("SETUP")
    answer_set_up(*pending[0], 503)  # full: the request did not run
    harness.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [200] and set_up_count(harness) == 2
    client.stream.abort()


def test_workers_answer_while_the_decider_is_stopped(make: Make) -> None:
    harness = make(2, TERMS)
    front = harness.start_front()
    address = harness.serving_address(front)
    harness.play_sessions(address, 4)
    pid = decider_pid(front.pid)
    os.kill(pid, signal.SIGSTOP)
    waiting = [request_play(harness, address, f"/{kind}/w") for kind in ("browse", "claims", "browse")]
    harness.run_until(lambda: all(c.answers_to(n) for c, n in waiting))
    assert {s for c, n in waiting for s in c.answers_to(n)} <= {503, 504}
    assert [len(c.answers_to(n)) for c, n in waiting] == [1, 1, 1]
    harness.assert_no_gap(harness.open_clients())
    before = set_up_count(harness)
    os.kill(pid, signal.SIGCONT)
    assert harness.start_session(address, "/browse/later")[1] == 200
    assert set_up_count(harness) == before + 1  # requests answered meanwhile are not set up later
    assert decider_pid(front.pid) == pid
    for client, _ in waiting:
        client.stream.abort()


def test_a_killed_worker_loses_only_its_own_viewers_and_is_restarted(make: Make) -> None:
    harness = make(2)
    front = harness.start_front()
    address = harness.serving_address(front)
    harness.play_sessions(address, 16)
    killed, surviving = worker_pids(front.pid)
    pending = hold_set_ups(harness)
    client, cseq = request_play(harness, address, "/claims/a")
    harness.run_until(lambda: pending)
    os.kill(killed, signal.SIGKILL)
    harness.run_until(lambda: len(harness.open_clients()) < 16 and len(worker_pids(front.pid)) == 2)
    assert surviving in worker_pids(front.pid) and killed not in worker_pids(front.pid)
    for server in harness.scripted_servers:
        server.script.pop("SETUP")
    before = {id(c): len(c.media) for c, _ in harness.clients}
    harness.run_until(
        lambda: all(not c.stream.open or len(c.media) > before[id(c)] for c, _ in harness.clients)
    )
    harness.assert_no_gap(harness.open_clients())
    token = client.answers[0].headers.get("X-Claim")
    if client.stream.open:  # served by the other worker: it plays, or its deadline expires
        answer_set_up(*pending[0])
        harness.run_until(lambda: client.answers_to(cseq))
        assert len(client.answers_to(cseq)) == 1
        client.stream.abort()
    again = request_play(harness, address, "/claims/a", token)
    harness.run_until(lambda: again[0].answers_to(again[1]))
    assert again[0].answers_to(again[1]) == [502]  # it may have run
    again[0].stream.abort()
    assert all(harness.start_session(address, f"/browse/n{n}")[1] == 200 for n in range(4))


def test_a_hung_worker_is_killed_and_the_others_go_on(make: Make) -> None:
    harness = make(2)
    front = harness.start_front()
    address = harness.serving_address(front)
    harness.play_sessions(address, 8)
    stopped = worker_pids(front.pid)[0]
    os.kill(stopped, signal.SIGSTOP)
    # Accepted by the worker that is running.
    clients = [request_play(harness, address, f"/browse/s{n}") for n in range(4)]
    harness.run_until(lambda: all(c.answers_to(n) == [200] for c, n in clients))
    harness.run_until(lambda: stopped not in worker_pids(front.pid) and len(worker_pids(front.pid)) == 2)
    assert harness.start_session(address, "/browse/after")[1] == 200
    for client, _ in clients:
        client.stream.abort()


def test_a_worker_that_resumes_after_its_requests_expired_answers_them_once(make: Make) -> None:
    harness = make(1, TERMS)
    front = harness.start_front()
    address = harness.serving_address(front)
    pending = hold_set_ups(harness)
    client, cseq = request_play(harness, address, "/claims/a")
    harness.run_until(lambda: pending)
    (pid,) = worker_pids(front.pid)
    os.kill(pid, signal.SIGSTOP)
    elapsed: list[bool] = []
    harness.loop.call_later(3.0, elapsed.append, True)  # the deadline, and the decider's extra wait
    harness.run_until(lambda: elapsed)
    os.kill(pid, signal.SIGCONT)
    harness.run_until(lambda: client.answers_to(cseq))
    answer_set_up(*pending[0])
    assert len(client.answers_to(cseq)) == 1 and client.answers_to(cseq)[0] != 200
    again = request_play(harness, address, "/claims/a", client.answers[0].headers.get("X-Claim"))
    harness.run_until(lambda: again[0].answers_to(again[1]))
    assert again[0].answers_to(again[1]) == [502] and set_up_count(harness) == 1
    client.stream.abort()
    again[0].stream.abort()


def test_a_reload_changes_the_number_of_workers_and_ends_no_session(make: Make) -> None:
    harness = make(2)
    front = harness.start_front()
    address = harness.serving_address(front)
    harness.play_sessions(address, 8)
    for count in (4, 1):
        harness.options = f"workers={count}"
        harness.write_settings("front.kdl", LONG_DEADLINES)
        front.send_signal(signal.SIGHUP)
        harness.run_until(lambda n=count: accepting_workers(harness) == n)
        assert harness.start_session(address, f"/browse/with-{count}")[1] == 200
    assert len(harness.open_clients()) == 10
    harness.assert_no_gap(harness.open_clients())
    for client in harness.open_clients()[:9]:
        client.stream.abort()
    harness.run_until(lambda: len(worker_pids(front.pid)) == 1, 20.0)
    front.terminate()
    assert harness.exit_status(front) == 0


def accepting_workers(harness: ProcessHarness) -> int:
    """Number of workers that accept viewers according to the log, minus those retired."""
    lines = [json.loads(x) for x in (harness.folder / "log-0").read_text().splitlines() if x.startswith("{")]
    accepting = sum(x["event"] == "worker" and x["takes"] for x in lines)
    return accepting - sum(x["event"] == "worker retires" for x in lines)


def test_a_drain_accepts_nothing_new_and_ends_with_the_last_viewer(make: Make) -> None:
    harness = make(2)
    front = harness.start_front()
    address = harness.serving_address(front)
    harness.play_sessions(address, 4)
    client = Client(harness.loop, address)
    harness.run_until(lambda: client.stream.open and not client.stream.connecting)
    cseq = client.send("OPTIONS", "/")
    harness.run_until(lambda: client.answers_to(cseq))
    front.send_signal(signal.SIGUSR1)
    harness.run_until(lambda: "draining" in (harness.folder / "log-0").read_text())

    def refused() -> bool:
        transport = ("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1")
        number = client.send("SETUP", "/browse/x/trackID=0", transport)
        harness.run_until(lambda: client.answers_to(number))
        return client.answers_to(number) == [503]

    harness.run_until(refused)
    harness.assert_no_gap(harness.open_clients())
    for playing in harness.open_clients():
        playing.stream.abort()
    client.stream.abort()
    assert harness.exit_status(front) == 0


@pytest.mark.parametrize("failpoint", ["", *("yielded", "sent", "unpacked", "owned", "told", "given")])
def test_a_handover_moves_no_session_whichever_process_dies(make: Make, failpoint: str) -> None:
    """Sessions are lost only if the old parent dies, as with any front that dies."""
    harness = make(2)
    fails_at_source = failpoint in ("yielded", "sent", "given")
    old = harness.start_front(*(["--die-at", failpoint] if failpoint and fails_at_source else []))
    address = harness.serving_address(old)
    harness.play_sessions(address, 6)
    claim = harness.start_session(address, "/claims/first")[2]
    new = harness.start_front(
        "--replace", *(["--die-at", failpoint] if failpoint and not fails_at_source else [])
    )
    if failpoint in ("unpacked", "owned", "told"):
        assert harness.exit_status(new) == 9
        harness.run_until(lambda: "serving again" in (harness.folder / "log-0").read_text())
        at_last = address
    else:
        at_last = harness.serving_address(new)
    if not fails_at_source:
        assert len(harness.open_clients()) == 7
        harness.assert_no_gap(harness.open_clients())
    assert at_last[1] == address[1] or fails_at_source
    assert harness.start_session(at_last, "/browse/new")[1] == 200
    assert harness.start_session(at_last, "/claims/first", claim)[1] == 502
    if not failpoint:
        for client in harness.open_clients():
            client.stream.abort()
        assert harness.exit_status(old) == 0
        new.terminate()
        assert harness.exit_status(new) == 0


def test_a_successor_without_workers_is_refused(make: Make) -> None:
    harness = make(1)
    front = harness.start_front()
    address = harness.serving_address(front)
    harness.play_sessions(address, 2)
    harness.options = "workers=0"
    harness.write_settings("other.kdl", LONG_DEADLINES)
    new = harness.start_front("--replace", settings="other.kdl")
    assert harness.exit_status(new) == 2
    assert "workers" in (harness.folder / "log-1").read_text()
    harness.assert_no_gap(harness.open_clients())


def worker_arguments(pid: int) -> tuple[str, str]:
    """The decider's socket path and the parent's id, from the command line of a worker."""
    command_line = Path(f"/proc/{worker_pids(pid)[0]}/cmdline").read_bytes().split(b"\0")
    arguments = json.loads(next(argument for argument in command_line if argument.startswith(b"{")))
    return arguments["seam"], arguments["family"]


def run_foreign_worker(path: str, hello: Hello, until: type[Message]) -> list[Any]:
    """Connects as a worker and sends `hello`. Returns the messages received up to one of kind `until`."""
    messages: list[Any] = []
    decoder = MessageDecoder()
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(10.0)
        sock.connect(path)
        sock.sendall(encode(hello))
        while not any(isinstance(m, until) for m in messages):
            messages += decoder.feed(sock.recv(1 << 16))
    return messages


def test_a_worker_of_another_version_or_build_accepts_nothing_new(make: Make) -> None:
    harness = make(1)
    front = harness.start_front()
    address = harness.serving_address(front)
    path, parent_id = worker_arguments(front.pid)
    newer = run_foreign_worker(path, Hello(99, 99, 70, 1, parent_id, build_id()), Welcome)
    assert [type(m) for m in newer] == [Welcome] and newer[0].version == 0
    other_build = run_foreign_worker(path, Hello(1, 1, 71, 1, parent_id, "another program"), Welcome)
    assert [(m.version, m.takes_viewers) for m in other_build if isinstance(m, Welcome)] == [(1, False)]
    assert not any(isinstance(m, Configuration) for m in other_build)
    other_parent = run_foreign_worker(path, Hello(1, 1, 72, 1, "another parent", build_id()), Welcome)
    assert not other_parent[-1].takes_viewers and not any(isinstance(m, Configuration) for m in other_parent)
    assert harness.start_session(address, "/browse/a")[1] == 200
    with socket.socket(socket.AF_UNIX) as sock:  # invalid data ends only its own connection
        sock.settimeout(10.0)
        sock.connect(path)
        sock.sendall(b"\xff" * 64)
        assert sock.recv(64) == b""
    assert harness.start_session(address, "/browse/b")[1] == 200


def test_a_request_that_finds_the_queue_full_is_answered_with_a_pause_and_not_reported(
    make_front: Callable[..., FrontHarness], monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = make_front()
    monkeypatch.setattr("lemonhall.front.process.local_queue.MAX_QUEUED", 0)
    client, _, cseq = harness.send_play("/browse/a")
    harness.run_until(lambda: client.answers_to(cseq))
    assert client.answers_to(cseq) == [503] and client.answers[-1].headers.get("Retry-After") == "2"
    assert (
        not harness.module.events_of(i.NewSession)
        and not harness.daemon.worker.requests_by_number
        and harness.set_up_count() == 0
    )
    monkeypatch.undo()
    harness.play_session("/browse/b")


def test_a_set_up_that_finds_the_queue_full_never_ran_and_the_module_goes_on(
    make_front: Callable[..., FrontHarness], monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = make_front()
    send, reject = harness.daemon.worker_queue.send, [True]
    monkeypatch.setattr(
        harness.daemon.worker_queue,
        "send",
        lambda m: False if isinstance(m, StartAttempt) and reject.pop() else send(m),
    )
    reject += [False, False, True]
    client, _, cseq = harness.send_play("/browse/a")
    harness.run_until(lambda: client.answers_to(cseq))
    assert harness.module.events_of(i.AttemptEnded)[0].outcome == i.Outcome.MOOT
    assert harness.daemon.counts["seam_full"] == 1 and len(client.answers_to(cseq)) == 1
    assert not harness.daemon.set_up_requests.attempt_registry.open_attempts or client.answers_to(cseq) == [
        200
    ]
