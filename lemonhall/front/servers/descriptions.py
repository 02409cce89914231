"""Media descriptions (SDP) of titles: requested from a server once, cached, and shared by all viewers.

A DESCRIBE starts no session and takes no place at a server, so the decision module is not involved.
`choose_server` (pure) selects the server: a random one of those that are listed, ready, warm, and have not
failed a DESCRIBE lately.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from random import Random

import structlog

from lemonhall import interface
from lemonhall.loop import Handler, Loop, Stream
from lemonhall.loop.stream import Address
from lemonhall.rtsp import Parser, Response, sdp
from lemonhall.rtsp.messages import make_request

log = structlog.get_logger("lemonhall.front")
CACHE_MAX_ENTRIES = 10000
ATTEMPTS_MAX = 2
ATTEMPT_TIMEOUT_S = 1.5
FAILED_SERVER_BACKOFF_S = 5.0  # a server that failed a DESCRIBE receives no other for this long
Callback = Callable[[int, sdp.Description | None], None]  # status and description


def choose_server(
    servers: Iterable[interface.Server], now_ms: float, warm_ms: float, excluded: set[int], random: Random
) -> int | None:
    """Returns the id of the server for a DESCRIBE, or None if no server is eligible.

    Cold servers are chosen only if no warm one is ready.
    """
    ready = [
        server
        for server in servers
        if server.state == interface.ServerState.READY and server.id not in excluded
    ]
    warm = [server for server in ready if not server.ready_at or now_ms - server.ready_at >= warm_ms]
    return random.choice(warm or ready).id if ready else None


class DescribeCall(Handler):
    """One DESCRIBE on its own connection. `done` is called once, with the status and the body of the
    response.

    The status is 502 if the connection failed and 504 after the timeout.
    """

    def __init__(self, loop: Loop, address: Address, path: str, done: Callable[[int, bytes], None]) -> None:
        host = address if isinstance(address, str) else f"{address[0]}:{address[1]}"
        self.url, self.done, self.finished = f"rtsp://{host}{path}", done, False
        self.parser = Parser()
        self.timer = loop.call_later(ATTEMPT_TIMEOUT_S, self.finish, 504, b"")
        self.stream = Stream.connect(loop, address, self, ATTEMPT_TIMEOUT_S)

    def on_connected(self) -> None:
        self.stream.write(make_request("DESCRIBE", self.url, 1, ("Accept", "application/sdp")).encode())

    def on_data(self, view: memoryview) -> None:
        for event in self.parser.feed(view):
            if isinstance(event, Response):
                self.finish(event.status, event.body)
                return

    def on_closed(self, reason: str) -> None:
        self.finish(502, b"")

    def finish(self, status: int, body: bytes) -> None:
        if not self.finished:
            self.finished = True
            self.timer.cancel()
            self.stream.close()
            self.done(status, body)


class DescriptionCache:
    """An LRU cache of descriptions by title path. Concurrent requests for one title share a DESCRIBE."""

    def __init__(
        self,
        loop: Loop,
        servers: Callable[[], Iterable[interface.Server]],
        addresses: Callable[[int], Address | None],
        now_ms: Callable[[], float],
        warm_ms: float,
        random: Random,
    ) -> None:
        self.loop, self.servers, self.addresses = loop, servers, addresses
        self.now_ms, self.warm_ms, self.random = now_ms, warm_ms, random
        self.entries: OrderedDict[str, sdp.Description] = OrderedDict()
        self.callbacks: dict[str, list[Callback]] = {}  # by title, while its DESCRIBE is in progress
        self.backoffs: dict[int, float] = {}  # end of the backoff by server id, in loop time

    @staticmethod
    def key(path: str) -> str:
        return path.partition("?")[0]

    def cached(self, path: str) -> sdp.Description | None:
        return self.entries.get(self.key(path))

    def describe(self, path: str, callback: Callback) -> None:
        """Calls back with 200 and the description, or with 404, 502, 503 or 504 and None."""
        key = self.key(path)
        if known := self.entries.get(key):
            self.entries.move_to_end(key)
            callback(200, known)
        elif key in self.callbacks:
            self.callbacks[key].append(callback)
        else:
            self.callbacks[key] = [callback]
            self.request_description(key, 0)

    def request_description(self, key: str, attempts: int) -> None:
        now = self.loop.now()
        self.backoffs = {server: until for server, until in self.backoffs.items() if until > now}
        chosen = choose_server(self.servers(), self.now_ms(), self.warm_ms, set(self.backoffs), self.random)
        address = self.addresses(chosen) if chosen is not None else None
        if chosen is None or address is None:
            self.finish(key, 503, None)
            return

        def done(status: int, body: bytes) -> None:
            if status == 200:
                try:
                    self.finish(key, 200, sdp.parse(body))
                    return
                except ValueError as error:
                    log.warning(
                        "invalid SDP in DESCRIBE response; treated as a failed attempt",
                        server=chosen,
                        title=key,
                        reason=str(error),
                    )
                    status = 502
            if status == 404:
                self.finish(key, 404, None)
                return
            self.backoffs[chosen] = self.loop.now() + FAILED_SERVER_BACKOFF_S
            if attempts + 1 < ATTEMPTS_MAX:
                self.request_description(key, attempts + 1)
            else:
                self.finish(key, status if status in (502, 503, 504) else 502, None)

        DescribeCall(self.loop, address, key, done)

    def finish(self, key: str, status: int, description: sdp.Description | None) -> None:
        if description:
            self.entries[key] = description
            if len(self.entries) > CACHE_MAX_ENTRIES:
                self.entries.popitem(last=False)
        for callback in self.callbacks.pop(key, []):
            callback(status, description)
