"""Receives the server list over HTTP, caches it on disk for a restart, and reports it to the module."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from urllib.parse import urlsplit

import httptools
import structlog

from lemonhall import interface
from lemonhall.boxlist import CacheError, DelimitedDecoder, Update, decode_cache, encode_cache
from lemonhall.front.persistence.store_service import StoreService
from lemonhall.front.servers.server_list import ServerListState
from lemonhall.loop import Handler, Loop, Stream

log = structlog.get_logger("lemonhall.front")
RETRY_DELAYS_S = (0.2, 0.5, 1.0, 2.0)
CACHE_DELAY_S = 1.0  # from a change to the write of the cache, which includes all changes until then


class ListClient(Handler):
    """Holds one GET request open whose response body is a stream of updates. Its loss is reported as
    `FAILED`.

    The module requests a new connection with `Subscribe` and the full list with `Reload`. Connection
    attempts are delayed by a backoff.
    """

    def __init__(
        self,
        loop: Loop,
        url: str,
        cache: str,
        name: str,
        on_event: Callable[[interface.Event], None],
        front_started_ms: float = 0.0,
    ) -> None:
        parts = urlsplit(url)
        self.loop, self.name, self.on_event = loop, name, on_event
        self.host, self.port = parts.hostname or "", parts.port or 80
        self.path = parts.path or "/"
        self.cache = Path(cache) if cache else None
        self.store_service: StoreService | None = None  # stores the list as well, if there is one
        self.server_list = ServerListState(front_started_ms)
        self.stream: Stream | None = None
        self.attempts = 0
        self.wanted = False
        self.cache_due = False
        self.fresh = False
        # called with the time for which the list is valid (Unix time in ms; 0 for now)
        self.on_list_alive: Callable[[float], object] = lambda as_of_ms: None
        # added to the backoff, so that fronts that start together do not all connect at once
        self.extra_delay_s: Callable[[], float] = lambda: 0.0
        self.parser: httptools.HttpResponseParser | None = None
        self.messages = DelimitedDecoder()

    def load_cache(self) -> None:
        """Applies the list cached before a restart. A damaged cache is logged and left in place."""
        try:
            data = self.read_cache()
            if data is None:
                return
            update = decode_cache(data)
        except (OSError, CacheError) as error:
            log.warning(
                "cannot read the cached server list; starting without it",
                file=str(self.cache or "store"),
                reason=str(error),
            )
            return
        if event := self.server_list.apply(update, cached=True):
            self.on_event(event)

    def adopt_list(self, update: Update) -> bool:
        """Applies a list of other fronts if this front has none. Returns whether it was applied."""
        if self.server_list.version or self.server_list.boxes:
            return False
        if event := self.server_list.apply(update, cached=True):
            self.on_event(event)
        return event is not None

    def read_cache(self) -> bytes | None:
        if self.store_service and (stored := self.store_service.load_list()):
            return stored
        return self.cache.read_bytes() if self.cache and self.cache.exists() else None

    def save_cache(self) -> None:
        self.cache_due = False
        if self.store_service:
            self.store_service.save_list(encode_cache(self.server_list.snapshot()))
        if self.cache is None:
            return
        temporary = self.cache.with_suffix(".new")
        try:
            with open(temporary, "wb") as file:
                file.write(encode_cache(self.server_list.snapshot()))
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, self.cache)
        except OSError as error:
            log.warning(
                "cannot write the server list cache; retrying after the next change",
                file=str(self.cache),
                reason=str(error),
            )

    def start(self) -> None:
        self.wanted = True
        if self.stream is None and self.host:
            self.parser = httptools.HttpResponseParser(self)
            self.messages = DelimitedDecoder()
            self.stream = Stream.connect(self.loop, (self.host, self.port), self, 2.0)

    def subscribe(self, action: interface.Subscribe) -> None:
        self.wanted = action.on
        if not action.on:
            if self.stream:
                self.stream.close()
        elif self.stream is None:
            delay_s = RETRY_DELAYS_S[min(self.attempts, len(RETRY_DELAYS_S) - 1)]
            self.attempts += 1
            self.loop.call_later(delay_s + self.extra_delay_s(), self.start)

    def reload(self, _: interface.Reload | None) -> None:
        """Requests the full list by a new GET, whose response starts with it."""
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

    # callbacks of the stream

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
            log.warning(
                "invalid response of the server list service; closing the connection", reason=str(error)
            )
            self.stream.abort()

    def on_body(self, body: bytes) -> None:
        """Callback of httptools for a part of the response body."""
        assert self.parser
        if self.parser.get_status_code() != 200:
            return
        for update in self.messages.feed(body):
            older_before, event = self.server_list.older_updates, self.server_list.apply(update)
            if self.server_list.older_updates > older_before:
                log.warning(
                    "ignoring a server list that is older than the current one",
                    version=update.version,
                    current_version=self.server_list.version,
                )
            if self.server_list.needs_full_list:
                self.server_list.needs_full_list = False
                self.reload(None)
            if not self.server_list.behind:
                self.on_list_alive(update.as_of_ms)
            if event is None:
                continue
            self.attempts, self.fresh = 0, True
            self.on_event(event)
            if not self.cache_due:
                self.cache_due = True
                self.loop.call_later(CACHE_DELAY_S, self.save_cache)

    def on_closed(self, reason: str) -> None:
        self.stream = None
        self.fresh = False
        if self.wanted:
            self.on_event(interface.ServerList(interface.ListKind.FAILED, self.server_list.version, ()))
