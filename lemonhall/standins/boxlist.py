"""The box list as a service: it is told of boxes at once and tells fronts late, over one long GET each."""

from __future__ import annotations

import socket
import time
from collections import deque
from typing import Any

import httptools

from lemonhall.boxlist import Box, State, Update, encode_delimited
from lemonhall.loop import Handler, Loop, Stream, listen
from lemonhall.standins.control import say
from lemonhall.standins.tap import Tap

BEAT_S = 0.5


class Follower(Handler):
    def __init__(self, service: ListService, sock: socket.socket, conn: int) -> None:
        self.service, self.conn = service, conn
        self.parser = httptools.HttpRequestParser(self)
        self.agent = ""
        self.following = False
        self.port = sock.getpeername()[1]
        self.stream = Stream(service.loop, sock, self)

    def on_data(self, view: memoryview) -> None:
        try:
            self.parser.feed_data(view)
        except httptools.HttpParserError:
            self.stream.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"user-agent":
            self.agent = value.decode().rpartition("/")[2]

    def on_message_complete(self) -> None:
        self.stream.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/x-protobuf\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        self.following = True
        boxes = self.service.public.values()
        as_of = self.service.as_of()
        self.push(Update(version=self.service.version, full=True, boxes=boxes, as_of_ms=as_of))

    def push(self, update: Update) -> None:
        through = self.service.through.get(self.agent)
        if through and update.boxes:
            update = Update.FromString(update.SerializeToString())
            for box in update.boxes:
                box.address = through.get(box.address, box.address)
        body = encode_delimited(update)
        self.stream.write(f"{len(body):x}\r\n".encode() + body + b"\r\n")
        if not update.boxes and not update.full:
            return
        told = {str(b.id): int(b.state) for b in update.boxes}
        started = {str(b.id): b.started_ms for b in update.boxes}
        self.service.tap.write(
            "list",
            self.conn,
            "told",
            front=self.agent,
            full=update.full,
            boxes=told,
            started=started,
            port=self.port,
            sent=self.stream.bytes_written + self.stream.backlog_bytes,
        )

    def on_closed(self, reason: str) -> None:
        self.service.followers.discard(self)


class ListService:
    """`lag_ms` lies between a change and its push; raising it holds back what comes, in order."""

    def __init__(self, loop: Loop, tap: Tap, lag_ms: float) -> None:
        self.loop, self.tap, self.lag_ms = loop, tap, lag_ms
        self.version = 1
        self.public: dict[int, Box] = {}
        self.followers: set[Follower] = set()
        self.through: dict[str, dict[str, str]] = {}  # of a front that reaches boxes elsewhere: where each is
        self.conns = 0
        self.due = 0.0
        self.pending: deque[float] = deque()  # when each change that is held back came in
        self.listener = listen(loop, ("127.0.0.1", 0), self.accept)
        loop.call_later(BEAT_S, self.beat)
        say(list=f"127.0.0.1:{self.listener.getsockname()[1]}")

    def accept(self, sock: socket.socket, _: Any) -> None:
        self.conns += 1
        self.followers.add(Follower(self, sock, self.conns))

    def command(self, asked: dict[str, Any]) -> None:
        if asked["do"] == "lag":
            self.lag_ms = asked["ms"]
        elif asked["do"] == "through":
            self.through.setdefault(asked["front"], {}).update(asked["addresses"])
        elif asked["do"] == "change":
            self.due = max(self.due, self.loop.now() + (0.0 if asked.get("now") else self.lag_ms / 1000))
            self.pending.append(time.time() * 1000)
            self.loop.call_at(self.due, self.publish, [Box(**b) for b in asked["boxes"]])
        else:
            raise ValueError(f"no command of the list: {asked['do']}")

    def as_of(self) -> float:
        """Unix time in ms at which the public list was true."""
        return min(time.time() * 1000 - self.lag_ms, self.pending[0] if self.pending else float("inf"))

    def beat(self) -> None:
        """Without changes as well fronts hear how far the list has come."""
        self.loop.call_later(BEAT_S, self.beat)
        as_of = self.as_of()
        for follower in self.followers:
            if follower.following:
                follower.push(Update(version=self.version, full=False, as_of_ms=as_of))

    def publish(self, boxes: list[Box]) -> None:
        self.version += 1
        self.pending.popleft()
        for box in boxes:
            if box.state == State.GONE:
                self.public.pop(box.id, None)
            else:
                self.public[box.id] = box
        for follower in self.followers:
            if follower.following:
                follower.push(Update(version=self.version, full=False, boxes=boxes, as_of_ms=self.as_of()))
        say(published=self.version)
