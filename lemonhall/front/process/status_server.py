"""Minimal HTTP server for the status pages, one request per connection."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import httptools

from lemonhall.loop import Handler, Loop, Stream

Page = Callable[[], tuple[int, str, bytes]]  # status, content type, body
Command = Callable[[str], tuple[int, str, bytes]]  # called with the query string
PHRASES = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 503: "Unavailable"}
CONNECTION_TIMEOUT_S = 10.0


class StatusConnection(Handler):
    """One HTTP connection; it is closed after one response, or after `CONNECTION_TIMEOUT_S`."""

    def __init__(
        self, loop: Loop, sock: socket.socket, pages: dict[str, Page], commands: dict[str, Command]
    ) -> None:
        self.pages, self.commands = pages, commands
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.stream = Stream(loop, sock, self)
        self.timer = loop.call_later(CONNECTION_TIMEOUT_S, self.stream.close)

    def on_data(self, view: memoryview) -> None:
        try:
            self.parser.feed_data(view)
        except httptools.HttpParserUpgrade:
            self.stream.close()
        except httptools.HttpParserError:
            self.respond(400, "text/plain", b"no HTTP request\n")

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        url, self.url = self.url, b""
        path, _, query = url.decode(errors="replace").partition("?")
        page, method = self.pages.get(path), self.parser.get_method()
        if method == b"POST" and path in self.commands:
            self.respond(*self.commands[path](query))
        elif method != b"GET":
            self.respond(405, "text/plain", b"GET only\n")
        elif page is None:
            self.respond(404, "text/plain", f"known are {' '.join(self.pages)}\n".encode())
        else:
            self.respond(*page())

    def respond(self, status: int, content_type: str, body: bytes) -> None:
        head = (
            f"HTTP/1.1 {status} {PHRASES[status]}\r\n"
            f"Content-Type: {content_type}\r\nContent-Length: {len(body)}\r\n"
        )
        self.stream.write(head.encode() + b"Connection: close\r\n\r\n" + body)
        self.stream.close()

    def on_closed(self, reason: str) -> None:
        self.timer.cancel()


def serve(
    loop: Loop, pages: dict[str, Page], commands: dict[str, Command] | None = None
) -> Callable[[socket.socket, Any], object]:
    """Returns the handler of new connections. `pages` are served to GET, `commands` to POST."""
    return lambda sock, _: StatusConnection(loop, sock, pages, commands or {})
