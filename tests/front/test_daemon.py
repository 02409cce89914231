"""The daemon: server list and its cache, peers, status pages, and the process as a whole."""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from threading import Timer
from typing import Any

import pytest

from lemonhall import interface as i
from lemonhall.boxlist import Box, State, Update, encode_delimited
from lemonhall.front.decider.list_client import ListClient
from lemonhall.front.decider.peers import PeerSocket, encode
from lemonhall.front.servers.descriptions import choose_server
from lemonhall.front.servers.server_list import ServerListState
from lemonhall.interface import ServerState
from lemonhall.loop import Handler, Loop, Stream, listen
from lemonhall.rtsp import Request
from lemonhall.rtsp.messages import make_response
from tests.front.harness import TERMS, FrontHarness
from tests.ports import free_port

Build = Callable[..., FrontHarness]


class ListService:
    """Answers a GET request with the bytes that a test passes to `push`, in chunks."""

    def __init__(self, loop: Loop) -> None:
        self.loop, self.streams = loop, list[Stream]()
        self.heads: list[bytes] = []
        self.listener = listen(loop, ("127.0.0.1", 0), self.accept)
        self.url = f"http://127.0.0.1:{self.listener.getsockname()[1]}/boxes"

    def accept(self, sock: socket.socket, _: object) -> None:
        server = self

        class RequestHandler(Handler):
            def on_data(self, view: memoryview) -> None:
                server.heads.append(bytes(view))
                stream.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                server.streams.append(stream)

        stream = Stream(self.loop, sock, RequestHandler())

    def push(self, data: bytes) -> None:
        for stream in self.streams:
            stream.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


def make_update(version: int, full: bool, *boxes: tuple[int, int]) -> Update:
    entries = [Box(id=n, address=f"127.0.0.1:{1000 + n}", state=State.Name(s)) for n, s in boxes]
    return Update(version=version, full=full, boxes=entries)


class ListClientHarness:
    def __init__(self, tmp_path: Path) -> None:
        self.loop, self.received_events = Loop(), list[i.Event]()
        self.server = ListService(self.loop)
        self.cache = tmp_path / "list.cache"
        self.client = self.new_client()

    def new_client(self) -> ListClient:
        return ListClient(self.loop, self.server.url, str(self.cache), "f0", self.received_events.append)

    def run_until(self, condition: Callable[[], object]) -> None:
        expired: list[bool] = []
        timer = self.loop.call_later(5.0, expired.append, True)
        self.loop.run(until=lambda: bool(expired) or bool(condition()))
        timer.cancel()
        assert condition()


def test_lists_are_received_cached_and_restored_after_a_restart(tmp_path: Path) -> None:
    harness = ListClientHarness(tmp_path)
    harness.client.start()
    harness.run_until(lambda: harness.server.streams)
    assert b"User-Agent: lemonhall/f0" in harness.server.heads[0]
    data = encode_delimited(make_update(5, True, (1, 1), (2, 1))) + encode_delimited(
        make_update(6, False, (2, 2), (3, 1))
    )
    for offset in range(0, len(data), 7):
        harness.server.push(data[offset : offset + 7])
    harness.server.push(encode_delimited(make_update(6, False, (1, 0))))  # already known
    harness.server.push(encode_delimited(make_update(7, False, (1, 0))))
    harness.run_until(lambda: len(harness.received_events) == 3)
    kinds = [e.kind for e in harness.received_events if isinstance(e, i.ServerList)]
    assert kinds == [i.ListKind.FULL, i.ListKind.CHANGES, i.ListKind.CHANGES]
    states = {s.id: s.state for s in harness.client.server_list.servers()}
    assert states == {2: ServerState.DRAINING, 3: ServerState.READY}
    assert harness.client.server_list.addresses[1] == (
        "127.0.0.1",
        1001,
    )  # attempts may still be in progress there
    harness.run_until(harness.cache.exists)
    harness.received_events.clear()
    restarted = harness.new_client()
    restarted.load_cache()
    (event,) = harness.received_events
    assert isinstance(event, i.ServerList) and event.kind == i.ListKind.CACHED
    assert {s.id for s in event.servers} == {2, 3}


def test_a_list_older_than_the_front_counts_as_cached_until_it_is_up_to_date() -> None:
    server_list = ServerListState(front_started_ms=1000.0)
    full = make_update(5, True, (1, 1), (2, 1))
    full.as_of_ms = 400.0
    change = make_update(6, False, (2, 2))
    change.as_of_ms = 900.0
    for update in (full, change):
        event = server_list.apply(update)
        assert event and event.kind == i.ListKind.CACHED
        assert {s.id for s in event.servers} == {1, 2}  # reported as a whole: removes no server
    assert server_list.apply(make_update(6, False, (1, 0))) is None
    event = server_list.apply(Update(version=6, as_of_ms=1001.0))  # no change, but up to date
    assert event and event.kind == i.ListKind.CHANGES and event.servers == ()
    assert server_list.servers()[1].state == ServerState.DRAINING


def test_a_corrupt_cache_is_ignored_and_kept(tmp_path: Path) -> None:
    harness = ListClientHarness(tmp_path)
    harness.cache.write_bytes(b"LHBL1\nrubbish that is no list")
    harness.client.load_cache()
    assert harness.received_events == [] and harness.cache.exists()


def test_a_lost_list_connection_is_reported_and_reopened(tmp_path: Path) -> None:
    harness = ListClientHarness(tmp_path)
    harness.client.start()
    harness.run_until(lambda: harness.server.streams)
    harness.server.streams[0].abort()
    harness.run_until(lambda: harness.received_events)
    (event,) = harness.received_events
    assert isinstance(event, i.ServerList) and event.kind == i.ListKind.FAILED
    harness.client.subscribe(i.Subscribe(True))
    harness.run_until(lambda: len(harness.server.streams) == 2)
    harness.server.streams = harness.server.streams[1:]
    harness.server.push(b"\xff\xff\xff\xff\xff")  # not a list: only the connection is closed
    harness.run_until(lambda: len(harness.received_events) == 2)
    harness.client.stop()


def test_peers_accept_messages_from_known_addresses_only() -> None:
    loop, received = Loop(), list[Any]()
    first = PeerSocket(loop, ("127.0.0.1", 0), 1, {}, received.append)
    second = PeerSocket(loop, ("127.0.0.1", 0), 2, {1: first.sock.getsockname()}, received.append)
    first.peers = {2: second.sock.getsockname()}
    unknown_peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    unknown_peer.sendto(encode(2, b"false"), first.sock.getsockname())
    second.send(i.SendToPeers(b"x" * 256))
    second.send(i.SendToPeers(b"not for you", to=7))
    expired: list[bool] = []
    loop.call_later(5, expired.append, True)
    loop.run(until=lambda: bool(expired) or (len(received) == 1 and first.rejected_datagrams == 1))
    assert received == [i.PeerMessage(2, b"x" * 256)] and first.rejected_datagrams == 1
    with pytest.raises(ValueError, match="257 bytes"):
        second.send(i.SendToPeers(b"x" * 257))
    for peers in (first, second):
        peers.close()
    unknown_peer.close()


def test_peer_messages_and_probes_of_the_module_are_performed(make_front: Build) -> None:
    harness = make_front()
    harness.module.injected += [i.Probe(1), i.Probe(77), i.LogMessage("hello"), i.SendToPeers(b"x")]
    harness.daemon.bridge.call_module()
    harness.run_until(lambda: len(harness.module.events_of(i.ProbeEnded)) == 2)
    assert {e.server: e.outcome for e in harness.module.events_of(i.ProbeEnded)} == {1: 200, 77: 502}
    assert harness.daemon.bridge.unhandled_actions == 0


def test_descriptions_are_requested_only_from_servers_that_accept_sessions() -> None:
    from random import Random

    def server(n: int, state: int = 1, ready_at: float = 0.0) -> i.Server:
        return i.Server(n, 0, 1.0, 0, 0, ready_at, ServerState(state))

    assert choose_server([], 0.0, 5000.0, set(), Random(1)) is None
    assert choose_server([server(1, 2), server(2, 0)], 0.0, 5000.0, set(), Random(1)) is None
    cold = server(3, ready_at=9000.0)
    assert choose_server([cold, server(4)], 10_000.0, 5000.0, set(), Random(1)) == 4
    assert choose_server([cold, server(4)], 10_000.0, 5000.0, {4}, Random(1)) == 3


def test_a_description_is_shared_by_all_requests_and_retried_at_another_server(make_front: Build) -> None:
    harness = make_front()
    failed = []

    def fail_first(connection: Any, request: Any) -> None:
        failed.append(connection.scripted_server)
        connection.scripted_server.script.clear()
        for server in harness.scripted_servers:
            server.script.clear()
        connection.stream.write(make_response(500, request.cseq).encode())

    for server in harness.scripted_servers:
        server.script["DESCRIBE"] = fail_first
    clients = [harness.connect_client() for _ in range(5)]
    for client in clients:
        client.send("DESCRIBE", "/browse/a")
    harness.run_until(lambda: all(c.answers for c in clients))
    assert {c.answers[0].status for c in clients} == {200}
    assert sum(b.count("DESCRIBE") for b in harness.scripted_servers) == 2 and len(failed) == 1
    assert b"trackID=0" in clients[0].answers[0].body
    for server in harness.scripted_servers:
        server.script["DESCRIBE"] = lambda connection, request: connection.reply(request, 404)
    cseq = clients[0].send("DESCRIBE", "/browse/missing")
    harness.run_until(lambda: clients[0].answers_to(cseq) == [404])


def get(address: tuple[str, int], path: str) -> tuple[int, str]:
    with socket.create_connection(address, timeout=5) as sock:
        sock.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        data = b""
        while piece := sock.recv(65536):
            data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split()[1]), body.decode()


class Process:
    """`lemonhall serve`, as operators start it."""

    def __init__(self, folder: Path, front: str, *arguments: str, file_bytes: int = 0) -> None:
        """`file_bytes`: limit on the size of the process's files (setrlimit(2), RLIMIT_FSIZE)."""
        path = folder / "front.kdl"
        path.write_text(TERMS + front)
        self.popen = subprocess.Popen(
            [sys.executable, "-m", "lemonhall", "--log-format", "json", "serve", str(path), *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        if file_bytes:
            resource.prlimit(self.popen.pid, resource.RLIMIT_FSIZE, (file_bytes, file_bytes))

    def serving(self) -> tuple[str, int]:
        assert self.popen.stdout
        host, _, port = json.loads(self.popen.stdout.readline())["serving"].rpartition(":")
        return host, int(port)


def test_the_process_serves_shows_its_status_and_stops_on_a_signal(tmp_path: Path) -> None:
    status = free_port()
    front = f'front "f0" hall="hall-a" listen="127.0.0.1:0" status="127.0.0.1:{status}" {{\n}}\n'
    process = Process(tmp_path, front)
    address = process.serving()
    pages = {path: get(("127.0.0.1", status), path) for path in ("/health", "/ready", "/metrics", "/no")}
    assert [pages[p][0] for p in ("/health", "/ready", "/metrics", "/no")] == [200, 503, 200, 404]
    assert "no box list" in pages["/ready"][1]
    assert 'lemonhall_now{what="sessions"} 0.0' in pages["/metrics"][1]
    with socket.create_connection(address, timeout=5) as sock:
        sock.sendall(b"OPTIONS * RTSP/1.0\r\nCSeq: 1\r\n\r\n")
        assert b"RTSP/1.0 200 OK" in sock.recv(4096)
        os.kill(process.popen.pid, signal.SIGTERM)
        assert sock.recv(4096) == b""
    _, errors = process.popen.communicate(timeout=20)
    assert process.popen.returncode == 0
    events = [json.loads(line)["event"] for line in errors.splitlines()]
    assert [e for e in events if e != "recovery phase entered"][0] == "serving" and "stopping" in events


# Sends itself a signal in the moment in which it has said that it serves.
SIGNAL_WHEN_SERVING = """
import os, signal, sys
from lemonhall import cli
from lemonhall.cli import serve
say, NAME = serve.say, sys.argv.pop()
def say_and_signal(what):
    say(what)
    if "serving" in what:
        os.kill(os.getpid(), signal.Signals[NAME])
serve.say = say_and_signal
cli.main()
"""


@pytest.mark.parametrize("name", ["SIGTERM", "SIGINT", "SIGUSR1"])
def test_a_signal_in_the_moment_of_serving_ends_the_process_in_order(tmp_path: Path, name: str) -> None:
    """KNOWN-RED 3: the handlers were set after `serving` was printed, and SIGTERM ended it with -15."""
    settings = tmp_path / "front.kdl"
    settings.write_text(TERMS + 'front "f0" hall="hall-a" listen="127.0.0.1:0" {\n}\n')
    words = [sys.executable, "-c", SIGNAL_WHEN_SERVING, "serve", str(settings), name]
    child = subprocess.run(words, capture_output=True, text=True, timeout=60, check=False)
    assert child.returncode == 0 and '"serving"' in child.stdout, child.stderr


def test_a_full_disk_at_the_start_affects_paid_sessions_only(tmp_path: Path) -> None:
    """If a store exists. If none can be created, the start fails and names the folder."""
    front = f'front "f0" hall="hall-a" listen="127.0.0.1:0" {{\n store "{tmp_path / "kept"}"\n}}\n'
    expected = "cannot write the store; refusing paid sessions"
    for full in (False, True):
        process = Process(tmp_path, front, file_bytes=4096 if full else 0)
        process.serving()
        assert process.popen.stderr
        kill_timer = Timer(20, process.popen.kill)
        kill_timer.start()
        if full:
            assert any(expected in line for line in process.popen.stderr)
        kill_timer.cancel()
        process.popen.terminate()
        _, errors = process.popen.communicate(timeout=20)
        assert process.popen.returncode == 0 and (full or expected not in errors)
    process = Process(tmp_path, front.replace("kept", "new"), file_bytes=4096)
    _, errors = process.popen.communicate(timeout=20)
    assert process.popen.returncode == 2 and str(tmp_path / "new") in errors


@pytest.mark.parametrize(
    ("front", "expected"),
    [
        ('front "f0" hall="hall-z" listen="127.0.0.1:0" {\n}\n', '"hall-z" is no hall'),
        ('front "f0" hall="hall-a" listen="192.0.2.1:9" {\n}\n', "cannot listen"),
    ],
)
def test_settings_that_cannot_be_served_exit_2(tmp_path: Path, front: str, expected: str) -> None:
    process = Process(tmp_path, front)
    _, errors = process.popen.communicate(timeout=20)
    assert process.popen.returncode == 2 and expected in errors


def test_a_module_without_a_front_class_is_rejected(tmp_path: Path) -> None:
    other = tmp_path / "other.py"
    other.write_text("x = 1\n")
    front = 'front "f0" hall="hall-a" listen="127.0.0.1:0" {\n}\n'
    process = Process(tmp_path, front, "--module", str(other))
    _, errors = process.popen.communicate(timeout=20)
    assert process.popen.returncode == 2 and "defines no Front" in errors


def test_a_front_records_its_requests_for_the_model(make_front: Build, tmp_path: Path) -> None:
    from lemonhall.config.day import read_day
    from lemonhall.front.persistence.session_recorder import SessionRecorder
    from lemonhall.model.record import wishes_of

    harness = make_front()
    recorder = harness.daemon.set_up_requests.recorder = SessionRecorder(
        tmp_path / "asked.parquet", harness.settings, 0.0
    )
    client, session = harness.play_session("/browse/title-7")
    harness.run_for(0.1)
    cseq = client.send("TEARDOWN", "/browse/title-7", ("Session", session))
    harness.run_until(lambda: client.answers_to(cseq))
    harness.play_session("/claims/title-3", client=harness.connect_client())
    recorder.stop()
    day = tmp_path / "day.kdl"
    rest = (
        'day "d" length=(s)5\nfront "f" hall="hall-a"\n'
        'fleet { box "a" kind="box" hall="hall-a" rack=0; }\ntraffic { }\n'
    )
    day.write_text(TERMS + rest)
    recorded = wishes_of(read_day(day), tmp_path / "asked-0.parquet")
    assert [(wish.cls, wish.path, wish.title) for wish in recorded] == [
        (1, "/browse/", 7),
        (0, "/claims/", 3),
    ]
    assert 50 < recorded[0].length_ms < 5000 and recorded[1].length_ms == recorded[0].length_ms


def test_viewers_of_a_draining_front_are_redirected_and_play_on(make_front: Build) -> None:
    harness = make_front()
    client, session = harness.play_session("/browse/a")
    harness.daemon.settings = replace(harness.daemon.settings, drain_to="192.0.2.7:554")
    harness.daemon.drain()
    harness.run_until(lambda: any(isinstance(h, Request) for h in client.received))
    redirect = next(h for h in client.received if isinstance(h, Request))
    assert redirect.method == "REDIRECT" and redirect.session == session
    assert redirect.headers.get("Location") == "rtsp://192.0.2.7:554/browse/a"
    client.stream.write(f"RTSP/1.0 200 OK\r\nCSeq: {redirect.cseq}\r\nSession: {session}\r\n\r\n".encode())
    before = len(client.media)
    harness.playing_server().connections[-1].media()
    harness.run_until(lambda: len(client.media) > before)
