"""Imported nginx files through the real front: the same pool, the same path, the same redirections."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import pytest

from lemonhall.boxlist import Box, State, Update
from lemonhall.cli.importing import problem_of
from lemonhall.config.settings import read_settings
from lemonhall.front.process.daemon import Daemon
from lemonhall.importer import import_files
from lemonhall.loop import Loop
from tests.front.world import TERMS, WAIT_S, Client, ScriptedBox

CONF = """
upstream clips { server 127.0.0.1:%d weight=3; server 127.0.0.1:%d; }
upstream notes { server 127.0.0.1:%d; }
upstream gone { server 127.0.0.1:9; }
server {
    listen 80;
    rewrite ^/v1/(.*)$ /clips/$1;
    location /clips/ { proxy_pass http://clips; }
    location ~ ^/notes/(\\w+)\\.mp3$ { proxy_pass http://notes/audio/$1; }
    location /old/ { return 301 /clips$uri; }
    location /shut/ { return 403; }
    location /gone/ { proxy_pass http://gone; }
}
"""


class Site:
    def __init__(self, folder: Path) -> None:
        self.loop = Loop()
        self.faults: list[Exception] = []
        self.boxes = [ScriptedBox(self.loop, n + 1) for n in range(4)]
        (folder / "clips.conf").write_text(CONF % tuple(b.port for b in self.boxes[:3]))
        imported = import_files([folder / "clips.conf"], "browse-clip", problem=problem_of)
        (folder / "imported.kdl").write_text(imported.text)
        terms = TERMS.replace('route "/browse/" class="browse-clip"\n', 'include "imported.kdl"\n')
        (folder / "front.kdl").write_text(terms + 'front "f0" hall="hall-a" seed=3 listen="127.0.0.1:0"\n')
        self.daemon = Daemon(read_settings(folder / "front.kdl"), loop=self.loop)
        self.loop.on_error = self.faults.append
        self.at = self.daemon.open()
        lines = [
            Box(id=b.ident, address=f"127.0.0.1:{b.port}", weight=1.0, state=State.READY) for b in self.boxes
        ]
        event = self.daemon.list.list.apply(Update(version=1, full=True, boxes=lines))
        assert event
        self.daemon.bridge.tell(event)
        self.clients: list[Client] = []

    def ask(self, path: str) -> tuple[int, str]:
        """Status of SETUP or PLAY, and Location."""
        client = Client(self.loop, self.at)
        self.clients.append(client)
        transport = ("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1")
        for request in (("SETUP", f"{path}/trackID=0", transport), ("PLAY", path)):
            session = [("Session", client.answers[-1].session)] if client.answers else []
            cseq = client.send(request[0], request[1], *request[2:], *session)
            over: list[bool] = []
            timer = self.loop.call_later(WAIT_S, over.append, True)
            self.loop.run(until=lambda c=cseq, o=over: bool(o) or bool(client.answers_to(c)))  # type: ignore
            timer.cancel()
            assert not over and not self.faults, self.faults
            if client.answers[-1].status != 200:
                break
        return client.answers[-1].status, client.answers[-1].headers.get("Location")

    def asked_at(self) -> list[tuple[int, str]]:
        found = []
        for n, box in enumerate(self.boxes):
            for request in box.requests:
                if request.method == "SETUP":
                    found.append((n, request.url.partition(f":{box.port}")[2].removesuffix("/trackID=0")))
        return found

    def close(self) -> None:
        for stream in [c.stream for c in self.clients] + [c.stream for b in self.boxes for c in b.conns]:
            if stream.open:
                stream.abort()
        for box in self.boxes:
            box.shut()
        for sock in self.daemon.listeners:
            self.loop.watch_socket(sock, 0, lambda _: None)
            sock.close()
        self.loop.close()


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    made = Site(tmp_path)
    yield made
    made.close()


def test_requests_reach_their_pools_by_weight_and_path(site: Site) -> None:
    for n in range(8):
        assert site.ask(f"/v1/{n}")[0] == 200
    assert site.ask("/notes/abc.mp3")[0] == 200
    seen = site.asked_at()
    assert Counter(n for n, path in seen if path.startswith("/clips/")) == {0: 6, 1: 2}
    assert (2, "/audio/abc") in seen
    assert not any(n == 3 for n, _ in seen)


def test_answers_of_the_routes_are_given(site: Site) -> None:
    status, location = site.ask("/old/x")
    assert (status, location) == (301, f"rtsp://127.0.0.1:{site.at[1]}/clips/old/x")
    assert site.ask("/shut/x")[0] == 403
    assert site.ask("/nowhere")[0] == 404
    assert site.asked_at() == []


def test_a_pool_without_a_listed_server_is_counted_and_the_module_places_it(site: Site) -> None:
    assert site.ask("/gone/x")[0] == 200
    assert site.daemon.counts["pool_empty"] == 1


def test_a_full_server_is_passed_over_within_and_beyond_the_pool(site: Site) -> None:
    """The wish is no more than one: what was a pool's alone at nginx may be played elsewhere here."""
    site.boxes[2].script["SETUP"] = lambda conn, request: conn.reply(request, 453)
    assert site.ask("/notes/abc.mp3")[0] == 200
    assert {n for n, _ in site.asked_at()} - {2}
