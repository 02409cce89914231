"""A place in the response queue of a viewer's connection."""

from __future__ import annotations

from lemonhall.rtsp import Request


class ResponseSlot:
    """The place of one request's response; responses are sent in the order of the requests.

    `queued_media` holds media of a session whose PLAY response still waits for earlier responses.
    """

    def __init__(self, request: Request) -> None:
        self.request = request
        self.response: bytes | None = None
        self.queued_media: list[bytes] = []
