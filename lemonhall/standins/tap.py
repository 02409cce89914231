"""What passed a stand-in's sockets, one JSON object a line, in ms of the machine's monotonic clock."""

from __future__ import annotations

import json
import time
from typing import Any, TextIO

from lemonhall.rtsp import Request, Response

KEPT = (
    "Via",
    "Bandwidth",
    "Session",
    "Transport",
    "Retry-After",
    "X-Viewer",
    "X-Again",
    "X-Top-Rung",
    "X-Claim",
)


class Tap:
    """`who` names the socket's owner; without a file nothing is written."""

    def __init__(self, path: str = "") -> None:
        self.file: TextIO | None = None
        if path:
            self.file = open(path, "a", encoding="utf-8", buffering=1 << 16)  # noqa: SIM115

    def write(self, who: str, conn: int, what: str, **fields: Any) -> None:
        if self.file:
            record = {
                "t": round(time.monotonic() * 1000, 2),
                "who": who,
                "conn": conn,
                "what": what,
                **fields,
            }
            self.file.write(json.dumps(record, separators=(",", ":")) + "\n")

    def message(
        self,
        who: str,
        conn: int,
        way: str,
        message: Request | Response,
        read: int | None = None,
        ago_ms: float = 0.0,
    ) -> None:
        """A message that came in (`in`) or went out (`out`). `read`: bytes of its connection up to it;
        `ago_ms`: how long it lay unread."""
        headers = {name: message.headers.get(name) for name in KEPT if name in message.headers}
        body = message.body.decode(errors="replace") if len(message.body) < 200 else ""
        if isinstance(message, Request):
            self.write(
                who,
                conn,
                "request",
                way=way,
                method=message.method,
                url=message.url,
                cseq=message.cseq,
                headers=headers,
                body=body,
                **({} if read is None else {"read": read}),
                **({"ago": ago_ms} if ago_ms else {}),
            )
        else:
            self.write(
                who, conn, "response", way=way, status=message.status, cseq=message.cseq, headers=headers
            )

    def flush(self) -> None:
        if self.file:
            self.file.flush()
