"""Tells from what a media server shows whether it still holds this front's established sessions.

A session that stands has to go on, and the viewer of one that is over has to hear of it within 8 s, also if
the server cannot say so. Silence is measured from the last moment at which the sessions are known to have
stood, and it counts only if a message could have arrived since then.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lemonhall.node import bounds

NEVER = float("-inf")


class LossReason(Enum):
    """Why sessions of a server are over; `proven` reasons leave no doubt that the server has ended them."""

    REFUSED = "refused"  # its connection was reset, and no process listens any more
    RESTARTED = "restarted"  # the list tells a later start
    GONE = "gone"  # the list does not have it any more
    UNREACHABLE = "unreachable"  # it shows no sign of life, and no connection comes up
    SILENT = "silent"  # its last connection was reset, and no message on a session came since
    UNLISTED = "unlisted"  # the list has never told its address, so it cannot report the end of a session

    @property
    def proven(self) -> bool:
        return self in (LossReason.REFUSED, LossReason.RESTARTED, LossReason.GONE)


@dataclass(frozen=True)
class NoteSchedule:
    """How often a server that has sessions of this front sends a note on one of them; 0: no regular notes."""

    interval_s: float
    delay_s: float


@dataclass(frozen=True)
class Doubt:
    """Another process may have taken the address: sessions that were set up before are over, if nothing
    shows until `decide_at` that the process is the same."""

    since: float
    decide_at: float


class Liveness:
    """What one server has shown. Times are seconds of the loop's clock."""

    def __init__(self, notes: NoteSchedule) -> None:
        # A server whose notes come less often could not show in time that it goes on after a reset.
        self.silence_counts = 0 < notes.interval_s <= bounds.MAX_NOTE_INTERVAL_S
        self.probe_after_s = max(
            bounds.MIN_SILENCE_S,
            min(1.5 * notes.interval_s + notes.delay_s, bounds.SERVER_LOST_AFTER_S - 1.5),
        )
        self.last_message_at = NEVER  # on an established session, or when the first session was established
        self.last_sign_of_life_at = NEVER  # any data, a connection that came up or that the server ended
        self.connected_at = self.connect_failed_at = NEVER
        self.doubts: list[Doubt] = []  # oldest first

    @property
    def doubt_since(self) -> float | None:
        return self.doubts[0].since if self.doubts else None

    def on_message(self, now: float, set_up_at: float = NEVER) -> None:
        """A message on a session that was set up at a time: the process is the same since then.

        It says nothing about sessions that were set up before a doubt that is older than the session.
        """
        self.last_message_at = self.last_sign_of_life_at = now
        self._end_doubts_after(set_up_at)

    def on_data(self, now: float, connection_up_at: float) -> None:
        """Data on a connection that came up at a time: the process is the same since then."""
        self.last_sign_of_life_at = now
        self._end_doubts_after(connection_up_at)

    def _end_doubts_after(self, moment: float) -> None:
        self.doubts = [doubt for doubt in self.doubts if doubt.since <= moment]

    def on_sign_of_life(self, now: float) -> None:
        """The machine is there; whether it still holds the sessions is open."""
        self.last_sign_of_life_at = now

    def on_connected(self, now: float) -> None:
        self.connected_at = self.last_sign_of_life_at = now

    def on_connect_failed(self, now: float) -> None:
        self.connect_failed_at = now

    def on_connect_timeout(self, now: float) -> None:
        """The machine may have vanished after its last sign of life, and come back with another process."""
        if not self.doubts:
            self.doubts.append(Doubt(now, self.last_sign_of_life_at + bounds.CUT_OFF_DECIDED_AFTER_S))

    def on_last_connection_reset(self, now: float) -> None:
        """The process may have ended at this moment. Later resets do not postpone the decision."""
        self.doubts.append(Doubt(now, now + bounds.SERVER_LOST_AFTER_S))

    def pop_due_doubt(self, now: float) -> Doubt | None:
        """Removes and returns a doubt that has to be decided."""
        for doubt in self.doubts:
            if doubt.decide_at < now:
                self.doubts.remove(doubt)
                return doubt
        return None

    def is_probe_due(self, now: float) -> bool:
        """Whether a new connection should show that the machine is alive."""
        return max(self.last_message_at, self.connected_at) < now - self.probe_after_s

    def presumed_loss(self, now: float, has_address: bool) -> LossReason | None:
        """Why the sessions have to be taken for over, if so.

        A machine that vanished sends nothing and accepts no connection. If the connections were reset, or one
        did not come up, and a new one did, another process may have taken the address: it knows none of the
        sessions that were set up before.
        """
        latest = now - bounds.SERVER_LOST_AFTER_S
        if not has_address:
            return LossReason.UNLISTED if self.last_message_at < latest else None
        if self.connect_failed_at > self.connected_at and self.last_sign_of_life_at < latest:
            return LossReason.UNREACHABLE
        if self.silence_counts and any(doubt.decide_at < now for doubt in self.doubts):
            return LossReason.SILENT
        return None

    def describe(self, now: float) -> dict[str, float | None]:
        """Ages in seconds for the log."""
        moments = {
            "message_age_s": self.last_message_at,
            "sign_of_life_age_s": self.last_sign_of_life_at,
            "doubt_age_s": self.doubt_since,
            "connected_age_s": self.connected_at,
            "connect_failed_age_s": self.connect_failed_at,
        }
        return {
            name: None if moment in (None, NEVER) else round(now - moment, 3)
            for name, moment in moments.items()
        }
