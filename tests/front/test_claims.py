"""Paid claims at fronts with ledgers, on real sockets: nothing leaves unwritten, nothing is set up again."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from lemonhall.boxlist import Box, State, Update
from lemonhall.config.settings import read_settings
from lemonhall.front.process.daemon import Daemon
from lemonhall.loop import Loop
from lemonhall.rtsp import Request, Response
from lemonhall.store import Standing, Token
from tests.front.harness import TERMS, TIMEOUT_S, Client, ScriptedServer, ServerConnection

PAID, FREE = "/claims/a", "/browse/a"


def free_udp() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


class Site:
    """Fronts that are members of one another, each with a store, and two boxes."""

    def __init__(self, folder: Path, fronts: int = 2) -> None:
        self.folder, self.loop, self.count = folder, Loop(), fronts
        self.faults: list[Exception] = []
        self.ports = [free_udp() for _ in range(fronts)]
        (folder / "keys").write_text("1 " + "ab" * 16 + "\n")
        self.boxes = [ScriptedServer(self.loop, n + 1) for n in range(2)]
        self.fronts: dict[int, Daemon] = {}
        self.at: dict[int, tuple[str, int]] = {}
        self.clients: list[Client] = []
        self.releases: list[threading.Event] = []
        for n in range(fronts):
            self.start(n)
        self.until(lambda: all(self.sees_all(n) for n in self.fronts))

    def sees_all(self, n: int) -> bool:
        membership = self.fronts[n].membership
        assert membership
        return len(membership.machine.view().members) == len(self.fronts)

    def start(self, n: int) -> Daemon:
        seeds = "\n".join(f'seed "127.0.0.1:{p}"' for m, p in enumerate(self.ports) if m != n)
        path = self.folder / f"f{n}.kdl"
        path.write_text(
            TERMS
            + f"""front "f{n}" hall="hall-a" index={n} fronts={self.count} seed={n} listen="127.0.0.1:0" {{
    store "f{n}.store" size=(MB)4
    members listen="127.0.0.1:{self.ports[n]}" keys="keys" period=(ms)100 {{
{seeds}
    }}
}}
"""
        )
        daemon = self.fronts[n] = Daemon(read_settings(path), loop=self.loop)
        self.loop.on_error = self.faults.append
        self.at[n] = daemon.open()
        lines = [
            Box(id=b.server_id, address=f"127.0.0.1:{b.port}", weight=1.0, state=State.READY)
            for b in self.boxes
        ]
        event = daemon.list_client.server_list.apply(Update(version=1, full=True, boxes=lines))
        assert event
        daemon.bridge.enqueue(event)
        return daemon

    def kill(self, n: int) -> None:
        """As a killed process leaves: sockets shut by the kernel, nothing more written."""
        daemon = self.fronts.pop(n)
        store_service = daemon.store_service
        assert store_service and daemon.membership
        store_service.store.commit = lambda changes: (_ for _ in ()).throw(OSError("killed"))  # type: ignore
        daemon.membership.close()
        daemon.decider_queue.on_message = lambda message: None
        for sock in daemon.listeners:
            self.loop.watch_socket(sock, 0, lambda _: None)
            sock.close()
        for ask in list(daemon.worker.asks.values()):
            if ask.attempt:
                ask.attempt.stream.abort()
        for viewer in list(daemon.worker.viewers):
            viewer.stream.abort()
        self.loop.end_of_pass_callbacks.remove(daemon.bridge.flush)
        store_service.close()

    def until(self, condition: Callable[[], object], within_s: float = TIMEOUT_S) -> None:
        over: list[bool] = []
        timer = self.loop.call_later(within_s, over.append, True)
        self.loop.run(until=lambda: bool(over) or bool(condition()))
        timer.cancel()
        assert condition(), f"not within {within_s} s"
        assert not self.faults, self.faults

    def ask(self, n: int, path: str = PAID, claim: str = "") -> tuple[Client, str, int]:
        """A viewer that has sent PLAY: its connection, its claim's token, the CSeq of PLAY."""
        client = Client(self.loop, self.at[n])
        self.clients.append(client)
        more = [("X-Claim", claim)] if claim else []
        transport = ("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1")
        cseq = client.send("SETUP", f"{path}/trackID=0", transport, *more)
        self.until(lambda: client.answers_to(cseq))
        answer = client.answers[-1]
        if answer.status != 200:
            return client, "", cseq
        play = client.send("PLAY", path, ("Session", answer.session))
        return client, answer.headers.get("X-Claim"), play

    def answer(self, client: Client, cseq: int) -> Response:
        self.until(lambda: client.answers_to(cseq))
        return client.answers[-1]

    def standing(self, n: int, claim: str) -> Standing | None:
        token = Token.parse(claim)
        store_service = self.fronts[n].store_service
        assert token and store_service
        record = store_service.lookup(token.key)
        return record.standing if record else None

    def block(self, n: int) -> Callable[[], None]:
        """The disk of a front takes no more until the returned call."""
        store_service = self.fronts[n].store_service
        assert store_service
        honest, release = store_service.store.commit, threading.Event()
        self.releases.append(release)

        def commit(changes: Any) -> list[bool]:
            release.wait(20)
            return honest(changes)

        store_service.store.commit = commit  # type: ignore[method-assign]
        return release.set

    @property
    def set_ups(self) -> int:
        return sum(b.count("SETUP") for b in self.boxes)

    def script(self, method: str, act: Callable[[ServerConnection, Request], object]) -> None:
        for box in self.boxes:
            box.script[method] = act

    def close(self) -> None:
        for release in self.releases:
            release.set()
        for client in self.clients:
            if client.stream.open:
                client.stream.abort()
        for n in list(self.fronts):
            self.kill(n)
        for box in self.boxes:
            for conn in box.connections:
                if conn.stream.open:
                    conn.stream.abort()
            box.stop_listening()
        self.loop.close()


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    made = Site(tmp_path)
    yield made
    made.close()


def silent(conn: ServerConnection, request: Request) -> None:
    """Takes the request and says nothing."""


def full(conn: ServerConnection, request: Request) -> None:
    conn.reply(request, 453)


def test_a_paid_session_gets_a_token_and_its_end_is_written(site: Site) -> None:
    client, claim, play = site.ask(0)
    assert site.answer(client, play).status == 200
    assert site.standing(0, claim) is Standing.OUT
    client.send("TEARDOWN", PAID, ("Session", client.answers[-1].session))
    site.until(lambda: site.standing(0, claim) is Standing.RAN)


def test_other_sessions_get_none_and_cost_no_write(site: Site) -> None:
    client, claim, play = site.ask(0, FREE)
    assert site.answer(client, play).status == 200 and claim == ""


def test_no_set_up_leaves_before_its_attempt_is_on_disk(site: Site) -> None:
    let_go = site.block(0)
    client, claim, play = site.ask(0)
    site.until(lambda: any(b.connections for b in site.boxes))  # the connection may be made meanwhile
    free, _, free_play = site.ask(0, FREE)
    assert site.answer(free, free_play).status == 200  # and nobody else waits
    paid = [r for b in site.boxes for r in b.requests if "/claims/" in r.url]
    assert paid == [] and client.answers_to(play) == []
    let_go()
    assert site.answer(client, play).status == 200


def test_a_disk_that_fails_stops_paid_sessions_alone_and_until_it_works(site: Site) -> None:
    store_service = site.fronts[0].store_service
    assert store_service
    honest, broken = store_service.store.commit, [True]

    def commit(changes: Any) -> list[bool]:
        if broken:
            raise OSError("No space left on device")
        return honest(changes)

    store_service.store.commit = commit  # type: ignore[method-assign]
    client, _, play = site.ask(0)
    assert site.answer(client, play).status in (453, 503)
    assert site.set_ups == 0 and store_service.failing
    early, _, cseq = site.ask(0)  # from now on at the door
    assert site.answer(early, cseq).status == 503 and early.answers[-1].headers.get("Retry-After")
    free, _, free_play = site.ask(0, FREE)
    assert site.answer(free, free_play).status == 200
    broken.clear()
    site.until(lambda: not store_service.failing)
    again, _, play = site.ask(0)
    assert site.answer(again, play).status == 200


def test_a_claim_that_may_run_is_not_set_up_again_by_another_front(site: Site) -> None:
    site.script("SETUP", silent)
    _, claim, _ = site.ask(0)
    site.until(lambda: site.set_ups == 1)
    client, again, play = site.ask(1, claim=claim)
    assert again == claim
    assert site.answer(client, play).status == 502  # the final answer, and at once
    assert site.set_ups == 1


def test_a_claim_that_never_ran_is_set_up_by_another_front_and_only_there(site: Site) -> None:
    site.script("SETUP", full)
    client, claim, play = site.ask(0)
    assert site.answer(client, play).status in (453, 503)
    for box in site.boxes:
        box.script.clear()
    other, _, play = site.ask(1, claim=claim)
    assert site.answer(other, play).status == 200
    assert site.standing(0, claim) is Standing.PASSED
    back, _, play = site.ask(0, claim=claim)
    assert site.answer(back, play).status == 502


def test_while_its_front_is_dead_nobody_sets_it_up_and_a_pause_is_advised(site: Site) -> None:
    site.script("SETUP", silent)
    _, claim, _ = site.ask(0)
    site.until(lambda: site.set_ups == 1)
    site.kill(0)
    client, _, play = site.ask(1, claim=claim)
    assert site.answer(client, play).status in (453, 503)
    assert site.set_ups == 1
    site.start(0)
    site.until(lambda: site.sees_all(1))
    client, _, play = site.ask(1, claim=claim)
    assert site.answer(client, play).status == 502
    client, _, play = site.ask(0, claim=claim)
    assert site.answer(client, play).status == 502
    assert site.set_ups == 1


def test_a_front_that_comes_back_knows_its_list_what_it_learned_and_who_played(site: Site) -> None:
    client, claim, play = site.ask(0)
    assert site.answer(client, play).status == 200
    store_service = site.fronts[0].store_service
    assert store_service
    site.fronts[0].list_client.save_cache()
    store_service.save_memory()
    site.until(lambda: not store_service.writer.queue and list(store_service.store.each("held")))
    learned = site.fronts[0].memory()
    assert learned
    site.kill(0)
    path = site.folder / "f0.kdl"
    again = Daemon(read_settings(path), loop=site.loop)
    site.fronts[0] = again
    site.at[0] = again.open()
    site.until(lambda: again.bridge.calls > 1 or again.list_client.server_list.boxes)
    assert set(again.list_client.server_list.boxes) == {1, 2}
    remembered = again.memory()
    assert remembered and remembered.mean_set_up_ms == learned.mean_set_up_ms != 150.0
    kept = again.store_service
    assert kept
    site.until(lambda: not list(kept.store.each("held")))  # who played then does not any more


def test_a_token_that_is_none_is_refused_by_name(site: Site) -> None:
    client, _, cseq = site.ask(0, claim="not-a-token")
    assert site.answer(client, cseq).status == 400


def test_a_damaged_record_counts_as_run(site: Site) -> None:
    site.script("SETUP", full)
    client, claim, play = site.ask(0)
    site.answer(client, play)
    store_service, token = site.fronts[0].store_service, Token.parse(claim)
    assert store_service and token
    site.until(lambda: not store_service.pending)
    store_service.store.commit([("claims", token.key, b"LH\x01damaged", b"?")])
    for box in site.boxes:
        box.script.clear()
    client, _, play = site.ask(0, claim=claim)
    assert site.answer(client, play).status == 502
    assert store_service.counts["damaged"]


def test_a_front_that_drains_says_so_at_once_and_speaks_for_its_claims_to_the_end(
    site: Site,
) -> None:
    client, claim, play = site.ask(0)
    assert site.answer(client, play).status == 200
    other = site.fronts[1].membership
    assert other
    site.fronts[0].drain()
    site.until(lambda: other.machine.view().members == (1,))  # told, not found out
    assert client.stream.open
    again, _, play = site.ask(1, claim=claim)
    assert site.answer(again, play).status == 502
    late = Client(site.loop, site.at[0])
    site.clients.append(late)
    site.until(lambda: late.reason)  # it takes nothing new
