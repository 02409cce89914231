"""The box list as this front knows it: pushed over HTTP, kept on disk for a restart, told to the module."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from urllib.parse import urlsplit

import httptools
import structlog

from lemonhall import interface as i
from lemonhall.boxlist import CacheError, Delimited, Update, from_cache, to_cache
from lemonhall.front.keeping.keeper import Keeper
from lemonhall.front.servers.listed import BoxList
from lemonhall.loop import Handler, Loop, Stream

log = structlog.get_logger("lemonhall.front")
RETRY_S = (0.2, 0.5, 1.0, 2.0)
CACHE_EVERY_S = 1.0


class ListClient(Handler):
    """Keeps one GET open; each chunk of its body brings updates. Losing it is told as `FAILED`.

    The module asks for it again by `Subscribe`, for the whole of it by `Reload`; tries are spaced out.
    """

    def __init__(
        self,
        loop: Loop,
        url: str,
        cache: str,
        name: str,
        tell: Callable[[i.Event], None],
        born_ms: float = 0.0,
    ) -> None:
        parts = urlsplit(url)
        self.loop, self.name, self.tell = loop, name, tell
        self.host, self.port = parts.hostname or "", parts.port or 80
        self.path = parts.path or "/"
        self.cache = Path(cache) if cache else None
        self.keeper: Keeper | None = None  # keeps it as well, if there is one
        self.list = BoxList(born_ms)
        self.stream: Stream | None = None
        self.tries = 0
        self.wanted = False
        self.cache_due = False
        self.fresh = False
        self.on_sign: Callable[[float], object] = lambda as_of: (
            None
        )  # of life: when the list was true; 0: now
        self.wait_s: Callable[[], float] = lambda: 0.0  # with a call, beside others who call as well
        self.parser: httptools.HttpResponseParser | None = None
        self.messages = Delimited()

    def load_cache(self) -> None:
        """A front that starts anew begins with the list that it had; a damaged one is named and left."""
        try:
            data = self.read_cache()
            if data is None:
                return
            update = from_cache(data)
        except (OSError, CacheError) as error:
            log.warning("cached box list not used", file=str(self.cache or "store"), why=str(error))
            return
        if event := self.list.apply(update, cached=True):
            self.tell(event)

    def take_over(self, update: Update) -> bool:
        """A list that others had: of use while there is none. Whether it was."""
        if self.list.version or self.list.boxes:
            return False
        if event := self.list.apply(update, cached=True):
            self.tell(event)
        return event is not None

    def read_cache(self) -> bytes | None:
        if self.keeper and (kept := self.keeper.load_list()):
            return kept
        return self.cache.read_bytes() if self.cache and self.cache.exists() else None

    def save_cache(self) -> None:
        self.cache_due = False
        if self.keeper:
            self.keeper.save_list(to_cache(self.list.snapshot()))
        if self.cache is None:
            return
        temporary = self.cache.with_suffix(".new")
        try:
            with open(temporary, "wb") as file:
                file.write(to_cache(self.list.snapshot()))
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, self.cache)
        except OSError as error:
            log.warning("box list not cached", file=str(self.cache), why=str(error))

    def start(self) -> None:
        self.wanted = True
        if self.stream is None and self.host:
            self.parser = httptools.HttpResponseParser(self)
            self.messages = Delimited()
            self.stream = Stream.connect(self.loop, (self.host, self.port), self, 2.0)

    def subscribe(self, action: i.Subscribe) -> None:
        self.wanted = action.on
        if not action.on:
            if self.stream:
                self.stream.close()
        elif self.stream is None:
            wait = RETRY_S[min(self.tries, len(RETRY_S) - 1)]
            self.tries += 1
            self.loop.call_later(wait + self.wait_s(), self.start)

    def reload(self, _: i.Reload | None) -> None:
        """The whole list anew: a new GET brings it."""
        if self.stream:
            self.stream.close()
        else:
            self.start()

    def stop(self) -> None:
        self.wanted = False
        if self.stream:
            self.stream.close()
        if self.cache_due:
            self.save_cache()

    # the stream's side

    def on_connected(self) -> None:
        assert self.stream
        self.stream.write(
            f"GET {self.path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
            f"User-Agent: lemonhall/{self.name}\r\nAccept: application/x-protobuf\r\n\r\n".encode()
        )

    def on_data(self, view: memoryview) -> None:
        assert self.parser and self.stream
        try:
            self.parser.feed_data(view)
        except (httptools.HttpParserError, ValueError) as error:
            log.warning("box list not understood", why=str(error))
            self.stream.abort()

    def on_body(self, body: bytes) -> None:
        """httptools: a piece of the body."""
        assert self.parser
        if self.parser.get_status_code() != 200:
            return
        for update in self.messages.feed(body):
            older, event = self.list.older, self.list.apply(update)
            if self.list.older > older:
                log.warning("older box list left aside", version=update.version, known=self.list.version)
            if self.list.wants_whole:
                self.list.wants_whole = False
                self.reload(None)
            if not self.list.behind:
                self.on_sign(update.as_of_ms)
            if event is None:
                continue
            self.tries, self.fresh = 0, True
            self.tell(event)
            if not self.cache_due:
                self.cache_due = True
                self.loop.call_later(CACHE_EVERY_S, self.save_cache)

    def on_closed(self, reason: str) -> None:
        self.stream = None
        self.fresh = False
        if self.wanted:
            self.tell(i.ServerList(i.ListKind.FAILED, self.list.version, ()))
