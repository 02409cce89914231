"""The decider's registry of requests and attempts per worker: each attempt ends exactly once. Pure.

An attempt is added when its set-up is sent to a worker, marked when its request may be sent to the server,
and ends once: by the worker's report, or because the worker's connection is lost. An attempt that is lost
before it was allowed to send never ran; any other may have run.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Execution(Enum):
    """What is known of an attempt whose worker was lost."""

    NEVER_RAN = "never"  # provably
    MAY_HAVE_RUN = "maybe"


@dataclass
class OpenAttempt:
    """An attempt that has started and not ended."""

    connection_id: int
    request_id: int
    number: int
    server: int
    send_allowed: bool


class AttemptRegistry:
    """Workers are known by the number of their connection: a worker that reconnects counts as a new one."""

    def __init__(self) -> None:
        self.owners: dict[int, int] = {}  # connection that has the request, by request
        self.open_attempts: dict[tuple[int, int], OpenAttempt] = {}  # by request and attempt number
        self.requests_by_connection: dict[int, set[int]] = {}

    def add_request(self, connection_id: int, request_id: int) -> bool:
        """Returns False if the request is registered already, for this or another connection."""
        if request_id in self.owners:
            return False
        self.owners[request_id] = connection_id
        self.requests_by_connection.setdefault(connection_id, set()).add(request_id)
        return True

    def add_attempt(self, request_id: int, number: int, server: int, send_allowed: bool) -> OpenAttempt:
        attempt = self.open_attempts[request_id, number] = OpenAttempt(
            self.owners[request_id], request_id, number, server, send_allowed
        )
        return attempt

    def allow_send(self, request_id: int, number: int) -> bool:
        """Returns whether the worker must be told that the request may be sent."""
        attempt = self.open_attempts.get((request_id, number))
        if attempt is None or attempt.send_allowed:
            return False
        attempt.send_allowed = True
        return True

    def finish_attempt(self, connection_id: int, request_id: int, number: int) -> OpenAttempt | None:
        """Removes the attempt. Returns None if it belongs to another worker or has ended already."""
        attempt = self.open_attempts.get((request_id, number))
        if attempt is None or attempt.connection_id != connection_id:
            return None
        return self.open_attempts.pop((request_id, number))

    def remove_request(self, request_id: int) -> None:
        """Removes a closed request. An attempt of it that is still open stays until it ends."""
        connection_id = self.owners.pop(request_id, None)
        if connection_id is not None:
            self.requests_by_connection[connection_id].discard(request_id)

    def remove_connection(self, connection_id: int) -> tuple[list[int], list[tuple[OpenAttempt, Execution]]]:
        """Removes a lost worker. Returns its requests, and its attempts with what is known of each."""
        requests = sorted(self.requests_by_connection.pop(connection_id, ()))
        for request_id in requests:
            del self.owners[request_id]
        ends = []
        for attempt in [a for a in self.open_attempts.values() if a.connection_id == connection_id]:
            del self.open_attempts[attempt.request_id, attempt.number]
            ends.append((attempt, Execution.MAY_HAVE_RUN if attempt.send_allowed else Execution.NEVER_RAN))
        return requests, ends
