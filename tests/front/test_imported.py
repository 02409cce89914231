"""Settings imported from nginx at a running front: the same pools, paths and redirections."""

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
from tests.front.harness import TERMS, TIMEOUT_S, Client, ScriptedServer

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
    """One front with imported settings and four scripted servers, on one loop."""

    def __init__(self, folder: Path) -> None:
        self.loop = Loop()
        self.faults: list[Exception] = []
        self.boxes = [ScriptedServer(self.loop, n + 1) for n in range(4)]
        (folder / "clips.conf").write_text(CONF % tuple(b.port for b in self.boxes[:3]))
        imported = import_files([folder / "clips.conf"], "browse-clip", problem=problem_of)
        (folder / "imported.kdl").write_text(imported.text)
        terms = TERMS.replace('route "/browse/" class="browse-clip"\n', 'include "imported.kdl"\n')
        (folder / "front.kdl").write_text(terms + 'front "f0" hall="hall-a" seed=3 listen="127.0.0.1:0"\n')
        self.daemon = Daemon(read_settings(folder / "front.kdl"), loop=self.loop)
        self.loop.on_error = self.faults.append
        self.at = self.daemon.open()
        boxes = [
            Box(id=b.server_id, address=f"127.0.0.1:{b.port}", weight=1.0, state=State.READY)
            for b in self.boxes
        ]
        event = self.daemon.list_client.server_list.apply(Update(version=1, full=True, boxes=boxes))
        assert event
        self.daemon.bridge.enqueue(event)
        self.clients: list[Client] = []

    def play(self, path: str) -> tuple[int, str]:
        """Sends SETUP and PLAY. Returns the status and the Location header of the last response."""
        client = Client(self.loop, self.at)
        self.clients.append(client)
        transport = ("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1")
        for request in (("SETUP", f"{path}/trackID=0", transport), ("PLAY", path)):
            session = [("Session", client.answers[-1].session)] if client.answers else []
            cseq = client.send(request[0], request[1], *request[2:], *session)
            expired: list[bool] = []
            timer = self.loop.call_later(TIMEOUT_S, expired.append, True)
            self.loop.run(until=lambda c=cseq, e=expired: bool(e) or bool(client.answers_to(c)))  # type: ignore
            timer.cancel()
            assert not expired and not self.faults, self.faults
            if client.answers[-1].status != 200:
                break
        return client.answers[-1].status, client.answers[-1].headers.get("Location")

    def set_ups(self) -> list[tuple[int, str]]:
        """The server's position and the path of each SETUP that reached a server."""
        found = []
        for n, box in enumerate(self.boxes):
            for request in box.requests:
                if request.method == "SETUP":
                    found.append((n, request.url.partition(f":{box.port}")[2].removesuffix("/trackID=0")))
        return found

    def close(self) -> None:
        for stream in [c.stream for c in self.clients] + [
            c.stream for b in self.boxes for c in b.connections
        ]:
            if stream.open:
                stream.abort()
        for box in self.boxes:
            box.stop_listening()
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
        assert site.play(f"/v1/{n}")[0] == 200
    assert site.play("/notes/abc.mp3")[0] == 200
    set_ups = site.set_ups()
    assert Counter(n for n, path in set_ups if path.startswith("/clips/")) == {0: 6, 1: 2}
    assert (2, "/audio/abc") in set_ups
    assert not any(n == 3 for n, _ in set_ups)


def test_routes_answer_with_redirects_and_errors(site: Site) -> None:
    status, location = site.play("/old/x")
    assert (status, location) == (301, f"rtsp://127.0.0.1:{site.at[1]}/clips/old/x")
    assert site.play("/shut/x")[0] == 403
    assert site.play("/nowhere")[0] == 404
    assert site.set_ups() == []


def test_pool_without_listed_server_is_counted_and_the_module_chooses_the_server(site: Site) -> None:
    assert site.play("/gone/x")[0] == 200
    assert site.daemon.counts["pool_empty"] == 1


def test_full_server_of_a_pool_is_replaced_by_one_outside(site: Site) -> None:
    """A pool is a preference only: unlike in nginx, a session may be played outside its pool."""
    site.boxes[2].script["SETUP"] = lambda conn, request: conn.reply(request, 453)
    assert site.play("/notes/abc.mp3")[0] == 200
    assert {n for n, _ in site.set_ups()} - {2}
