"""Retries paid sessions although an earlier attempt may have run."""

from __future__ import annotations

from lemonhall import decide


class Front(decide.Front):
    def may_retry(self, session: decide.Session) -> bool:
        return session.attempts < self.settings.max_attempts and session.deadline - self.now > 100

    def send_set_up(
        self, session: decide.Session, server: decide.MediaServer, rung: int, allocation: str
    ) -> None:
        session.paid = False  # gives the attempt a timeout that leaves time for a retry
        super().send_set_up(session, server, rung, allocation)
