"""What titles look like: descriptions asked of servers once, kept, and given to every viewer that asks.

A DESCRIBE starts no session and costs a server no place, so it is no matter of the module's; which server
is asked is decided here (`choose`, pure): a listed, ready, warm one that has not failed lately, at random.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from random import Random

import structlog

from lemonhall import interface as i
from lemonhall.loop import Handler, Loop, Stream
from lemonhall.loop.stream import Address
from lemonhall.rtsp import Parser, Response, sdp
from lemonhall.rtsp.messages import make_request

log = structlog.get_logger("lemonhall.front")
KEEP = 10000  # descriptions
TRIES = 2
TRY_S = 1.5
SHUN_S = 5.0  # a server that failed a DESCRIBE is not asked for so long
Answer = Callable[[int, sdp.Description | None], None]


def choose(
    servers: Iterable[i.Server], now_ms: float, warm_ms: float, shunned: set[int], random: Random
) -> int | None:
    """A server to ask, by its number; None: nobody may be asked. Cold ones only if no other is there."""
    ready = [s for s in servers if s.state == i.ServerState.READY and s.id not in shunned]
    warm = [s for s in ready if not s.ready_at or now_ms - s.ready_at >= warm_ms]
    return random.choice(warm or ready).id if ready else None


class Call(Handler):
    """One DESCRIBE on a connection of its own."""

    def __init__(self, loop: Loop, address: Address, path: str, done: Callable[[int, bytes], None]) -> None:
        host = address if isinstance(address, str) else f"{address[0]}:{address[1]}"
        self.url, self.done, self.over = f"rtsp://{host}{path}", done, False
        self.parser = Parser()
        self.timer = loop.call_later(TRY_S, self.finish, 504, b"")
        self.stream = Stream.connect(loop, address, self, TRY_S)

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
        if not self.over:
            self.over = True
            self.timer.cancel()
            self.stream.close()
            self.done(status, body)


class Catalogue:
    def __init__(
        self,
        loop: Loop,
        servers: Callable[[], Iterable[i.Server]],
        addresses: Callable[[int], Address | None],
        now_ms: Callable[[], float],
        warm_ms: float,
        random: Random,
    ) -> None:
        self.loop, self.servers, self.addresses = loop, servers, addresses
        self.now_ms, self.warm_ms, self.random = now_ms, warm_ms, random
        self.kept: OrderedDict[str, sdp.Description] = OrderedDict()
        self.waiting: dict[str, list[Answer]] = {}
        self.shunned: dict[int, float] = {}

    @staticmethod
    def key(path: str) -> str:
        return path.partition("?")[0]

    def known(self, path: str) -> sdp.Description | None:
        return self.kept.get(self.key(path))

    def describe(self, path: str, answer: Answer) -> None:
        """Answers 200 with the description, or 404, 502, 503, 504 without; many askers share one call."""
        key = self.key(path)
        if known := self.kept.get(key):
            self.kept.move_to_end(key)
            answer(200, known)
        elif key in self.waiting:
            self.waiting[key].append(answer)
        else:
            self.waiting[key] = [answer]
            self.ask(key, 0)

    def ask(self, key: str, tried: int) -> None:
        now = self.loop.now()
        self.shunned = {n: until for n, until in self.shunned.items() if until > now}
        picked = choose(self.servers(), self.now_ms(), self.warm_ms, set(self.shunned), self.random)
        address = self.addresses(picked) if picked is not None else None
        if picked is None or address is None:
            self.finish(key, 503, None)
            return

        def done(status: int, body: bytes) -> None:
            if status == 200:
                try:
                    self.finish(key, 200, sdp.parse(body))
                    return
                except ValueError as error:
                    log.warning("description not understood", server=picked, title=key, why=str(error))
                    status = 502
            if status == 404:
                self.finish(key, 404, None)
                return
            self.shunned[picked] = self.loop.now() + SHUN_S
            if tried + 1 < TRIES:
                self.ask(key, tried + 1)
            else:
                self.finish(key, status if status in (502, 503, 504) else 502, None)

        Call(self.loop, address, key, done)

    def finish(self, key: str, status: int, description: sdp.Description | None) -> None:
        if description:
            self.kept[key] = description
            if len(self.kept) > KEEP:
                self.kept.popitem(last=False)
        for answer in self.waiting.pop(key, []):
            answer(status, description)
