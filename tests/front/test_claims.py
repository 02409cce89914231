"""Paid claims at fronts with a ledger, on real sockets: set-ups are recorded first and never repeated."""

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
    """Fronts that are members of one another, each with a store, and two scripted servers, on one loop."""

    def __init__(self, folder: Path, fronts: int = 2) -> None:
        self.folder, self.loop, self.count = folder, Loop(), fronts
        self.faults: list[Exception] = []
        self.ports = [free_udp() for _ in range(fronts)]
        (folder / "keys").write_text("1 " + "ab" * 16 + "\n")
        self.boxes = [ScriptedServer(self.loop, index + 1) for index in range(2)]
        self.fronts: dict[int, Daemon] = {}
        self.at: dict[int, tuple[str, int]] = {}
        self.clients: list[Client] = []
        self.releases: list[threading.Event] = []
        for index in range(fronts):
            self.start(index)
        self.until(lambda: all(self.sees_all(index) for index in self.fronts))

    def sees_all(self, index: int) -> bool:
        membership = self.fronts[index].membership
        assert membership
        return len(membership.machine.view().members) == len(self.fronts)

    def start(self, index: int) -> Daemon:
        seeds = "\n".join(f'seed "127.0.0.1:{p}"' for m, p in enumerate(self.ports) if m != index)
        path = self.folder / f"f{index}.kdl"
        path.write_text(
            TERMS + f'front "f{index}" hall="hall-a" index={index} fronts={self.count} seed={index} '
            f"""listen="127.0.0.1:0" {{
    store "f{index}.store" size=(MB)4
    members listen="127.0.0.1:{self.ports[index]}" keys="keys" period=(ms)100 {{
{seeds}
    }}
}}
"""
        )
        daemon = self.fronts[index] = Daemon(read_settings(path), loop=self.loop)
        self.loop.on_error = self.faults.append
        self.at[index] = daemon.open()
        boxes = [
            Box(id=b.server_id, address=f"127.0.0.1:{b.port}", weight=1.0, state=State.READY)
            for b in self.boxes
        ]
        event = daemon.list_client.server_list.apply(Update(version=1, full=True, boxes=boxes))
        assert event
        daemon.bridge.enqueue(event)
        return daemon

    def kill(self, index: int) -> None:
        """Ends a front as SIGKILL does: its sockets are closed, and nothing more is written."""
        daemon = self.fronts.pop(index)
        store_service = daemon.store_service
        assert store_service and daemon.membership
        store_service.store.commit = lambda changes: (_ for _ in ()).throw(OSError("killed"))  # type: ignore
        daemon.membership.close()
        daemon.decider_queue.on_message = lambda message: None
        for sock in daemon.listeners:
            self.loop.watch_socket(sock, 0, lambda _: None)
            sock.close()
        for ask in list(daemon.worker.requests_by_number.values()):
            if ask.attempt:
                ask.attempt.stream.abort()
        for viewer in list(daemon.worker.viewers):
            viewer.stream.abort()
        self.loop.end_of_pass_callbacks.remove(daemon.bridge.flush)
        store_service.close()

    def until(self, condition: Callable[[], object], within_s: float = TIMEOUT_S) -> None:
        expired: list[bool] = []
        timer = self.loop.call_later(within_s, expired.append, True)
        self.loop.run(until=lambda: bool(expired) or bool(condition()))
        timer.cancel()
        assert condition(), f"not within {within_s} s"
        assert not self.faults, self.faults

    def play(self, index: int, path: str = PAID, claim: str = "") -> tuple[Client, str, int]:
        """Sends SETUP and PLAY to front `n`.

        Returns the viewer's connection, the token of its claim and the CSeq of PLAY.
        """
        client = Client(self.loop, self.at[index])
        self.clients.append(client)
        claim_header = [("X-Claim", claim)] if claim else []
        transport = ("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1")
        cseq = client.send("SETUP", f"{path}/trackID=0", transport, *claim_header)
        self.until(lambda: client.answers_to(cseq))
        answer = client.answers[-1]
        if answer.status != 200:
            return client, "", cseq
        play = client.send("PLAY", path, ("Session", answer.session))
        return client, answer.headers.get("X-Claim"), play

    def answer(self, client: Client, cseq: int) -> Response:
        self.until(lambda: client.answers_to(cseq))
        return client.answers[-1]

    def standing(self, index: int, claim: str) -> Standing | None:
        token = Token.parse(claim)
        store_service = self.fronts[index].store_service
        assert token and store_service
        record = store_service.lookup(token.key)
        return record.standing if record else None

    def block(self, index: int) -> Callable[[], None]:
        """Blocks the disk writes of a front until the returned function is called."""
        store_service = self.fronts[index].store_service
        assert store_service
        commit_to_disk, release = store_service.store.commit, threading.Event()
        self.releases.append(release)

        def commit(changes: Any) -> list[bool]:
            release.wait(20)
            return commit_to_disk(changes)

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
        for index in list(self.fronts):
            self.kill(index)
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
    """Reads the request and does not respond."""


def full(conn: ServerConnection, request: Request) -> None:
    conn.reply(request, 453)


def test_paid_session_gets_a_token_and_its_end_is_written(site: Site) -> None:
    client, claim, play = site.play(0)
    assert site.answer(client, play).status == 200
    assert site.standing(0, claim) is Standing.OUT
    client.send("TEARDOWN", PAID, ("Session", client.answers[-1].session))
    site.until(lambda: site.standing(0, claim) is Standing.RAN)


def test_unpaid_session_gets_no_token(site: Site) -> None:
    client, claim, play = site.play(0, FREE)
    assert site.answer(client, play).status == 200 and claim == ""


def test_set_up_is_sent_only_after_its_attempt_is_on_disk(site: Site) -> None:
    release = site.block(0)
    client, claim, play = site.play(0)
    site.until(lambda: any(b.connections for b in site.boxes))  # connecting does not wait for the disk
    free, _, free_play = site.play(0, FREE)
    assert site.answer(free, free_play).status == 200  # unpaid sessions do not wait for the disk
    paid = [r for b in site.boxes for r in b.requests if "/claims/" in r.url]
    assert paid == [] and client.answers_to(play) == []
    release()
    assert site.answer(client, play).status == 200


def test_failing_disk_stops_only_paid_sessions_until_it_works_again(site: Site) -> None:
    store_service = site.fronts[0].store_service
    assert store_service
    commit_to_disk, broken = store_service.store.commit, [True]

    def commit(changes: Any) -> list[bool]:
        if broken:
            raise OSError("No space left on device")
        return commit_to_disk(changes)

    store_service.store.commit = commit  # type: ignore[method-assign]
    client, _, play = site.play(0)
    assert site.answer(client, play).status in (453, 503)
    assert site.set_ups == 0 and store_service.failing
    early, _, cseq = site.play(0)  # further paid sessions are refused by the worker
    assert site.answer(early, cseq).status == 503 and early.answers[-1].headers.get("Retry-After")
    free, _, free_play = site.play(0, FREE)
    assert site.answer(free, free_play).status == 200
    broken.clear()
    site.until(lambda: not store_service.failing)
    again, _, play = site.play(0)
    assert site.answer(again, play).status == 200


def test_claim_that_may_run_is_not_set_up_by_another_front(site: Site) -> None:
    site.script("SETUP", silent)
    _, claim, _ = site.play(0)
    site.until(lambda: site.set_ups == 1)
    client, again, play = site.play(1, claim=claim)
    assert again == claim
    assert site.answer(client, play).status == 502  # final, and without delay
    assert site.set_ups == 1


def test_claim_that_never_ran_passes_to_another_front(site: Site) -> None:
    site.script("SETUP", full)
    client, claim, play = site.play(0)
    assert site.answer(client, play).status in (453, 503)
    for box in site.boxes:
        box.script.clear()
    other, _, play = site.play(1, claim=claim)
    assert site.answer(other, play).status == 200
    assert site.standing(0, claim) is Standing.PASSED
    back, _, play = site.play(0, claim=claim)
    assert site.answer(back, play).status == 502


def test_claim_of_a_dead_front_is_not_set_up_and_a_pause_is_advised(site: Site) -> None:
    site.script("SETUP", silent)
    _, claim, _ = site.play(0)
    site.until(lambda: site.set_ups == 1)
    site.kill(0)
    client, _, play = site.play(1, claim=claim)
    assert site.answer(client, play).status in (453, 503)
    assert site.set_ups == 1
    site.start(0)
    site.until(lambda: site.sees_all(1))
    client, _, play = site.play(1, claim=claim)
    assert site.answer(client, play).status == 502
    client, _, play = site.play(0, claim=claim)
    assert site.answer(client, play).status == 502
    assert site.set_ups == 1


def test_restarted_front_restores_list_and_learned_state_and_forgets_lost_sessions(site: Site) -> None:
    client, claim, play = site.play(0)
    assert site.answer(client, play).status == 200
    store_service = site.fronts[0].store_service
    assert store_service
    site.fronts[0].list_client.save_cache()
    store_service.save_learned_state()
    site.until(lambda: not store_service.writer.queue and list(store_service.store.records("held")))
    learned = site.fronts[0].memory()
    assert learned
    site.kill(0)
    path = site.folder / "f0.kdl"
    again = Daemon(read_settings(path), loop=site.loop)
    site.fronts[0] = again
    site.at[0] = again.open()
    site.until(lambda: again.bridge.calls > 1 or again.list_client.server_list.boxes)
    assert set(again.list_client.server_list.boxes) == {1, 2}
    restored = again.memory()
    assert restored and restored.mean_set_up_ms == learned.mean_set_up_ms != 150.0
    restarted_store = again.store_service
    assert restarted_store
    # the sessions of the killed process are forgotten
    site.until(lambda: not list(restarted_store.store.records("held")))


def test_invalid_token_is_rejected(site: Site) -> None:
    client, _, cseq = site.play(0, claim="not-a-token")
    assert site.answer(client, cseq).status == 400


def test_damaged_claim_record_counts_as_run(site: Site) -> None:
    site.script("SETUP", full)
    client, claim, play = site.play(0)
    site.answer(client, play)
    store_service, token = site.fronts[0].store_service, Token.parse(claim)
    assert store_service and token
    site.until(lambda: not store_service.pending)
    store_service.store.commit([("claims", token.key, b"LH\x01damaged", b"?")])
    for box in site.boxes:
        box.script.clear()
    client, _, play = site.play(0, claim=claim)
    assert site.answer(client, play).status == 502
    assert store_service.counts["damaged"]


def test_draining_front_announces_it_and_answers_for_its_claims_until_the_end(
    site: Site,
) -> None:
    client, claim, play = site.play(0)
    assert site.answer(client, play).status == 200
    other = site.fronts[1].membership
    assert other
    site.fronts[0].drain()
    site.until(lambda: other.machine.view().members == (1,))  # announced, not detected as a failure
    assert client.stream.open
    again, _, play = site.play(1, claim=claim)
    assert site.answer(again, play).status == 502
    late = Client(site.loop, site.at[0])
    site.clients.append(late)
    site.until(lambda: late.reason)  # new connections are refused
