"""State machine of one set-up request at its worker. Pure: no I/O, no clock.

It decides what may be sent, what is reported to which decider, and what the end of an attempt means. A worker
outlives its decider and may lose its connection to a decider that is still running. Therefore each step is
bound to the connection over which it was allowed:

    unreported  no decider has the request: none is connected, or the one that had it has ended
    reported    the decider has the request; no attempt is in progress
    connecting  an attempt is connecting; its request may not be sent yet
    sent        its request may be sent: from here on it may have run
    playing     the viewer has been answered and media flow
    closed      the viewer has been answered, or waits no longer

When the connection is lost, an attempt that is *connecting* is dropped: nothing of it has been sent, and the
next decider is told so. One that is *sent* continues by itself: either it starts to play, or its end is
reported to the next decider as a new request, together with what that end proves. Nothing that was allowed
over one connection is done under another.
"""

from __future__ import annotations

from enum import Enum


class RequestStage(Enum):
    UNREPORTED = "held"
    REPORTED = "told"
    CONNECTING = "out"
    SENT = "left"
    PLAYING = "playing"
    CLOSED = "over"


class Announcement(Enum):
    """What the decider of a new connection is told about a request."""

    NONE = "nothing"
    REQUEST = "asked"
    ONGOING_SESSION = "carried"


class NextStep(Enum):
    """What happens to a request when its attempt has ended."""

    REPORT = "report"  # to the decider that allowed the attempt
    RESUBMIT = "again"  # no decider knows of it any more: submitted as a new request
    NONE = "nothing"


class RequestState:
    """`max_attempts` limits the attempts of one request, under whichever deciders.

    Connections are numbered from 1; 0 means that there is none.
    """

    __slots__ = (
        "connection_id",
        "claim_attempts",
        "max_attempts",
        "attempt_number",
        "unreported_run",
        "stage",
        "attempts_made",
        "claim_turn",
        "unsent_claim",
    )

    def __init__(self, max_attempts: int) -> None:
        self.max_attempts = max_attempts
        self.stage = RequestStage.UNREPORTED
        self.connection_id = 0  # of the decider that has the request
        self.attempts_made = 0
        self.attempt_number = -1  # of the attempt in progress, as its decider counts
        self.claim_turn = self.claim_attempts = 0  # as recorded in the ledger
        # turn and ordinal of an attempt that the ledger has as in progress and that never ran
        self.unsent_claim = (0, 0)
        self.unreported_run = False  # an attempt may have run, and no decider knows of it

    def announce(self, connection_id: int) -> Announcement:
        """Returns what to report over a connection that is new, or was there before this request."""
        if self.stage is RequestStage.UNREPORTED:
            self.stage, self.connection_id = RequestStage.REPORTED, connection_id
            return Announcement.REQUEST
        if self.stage is RequestStage.PLAYING and self.connection_id != connection_id:
            self.connection_id = connection_id
            self.attempt_number = 0  # the new decider counts from 0
            return Announcement.ONGOING_SESSION
        return Announcement.NONE

    def mark_unannounced(self) -> None:
        """The send queue had no room for the announcement."""
        self.stage = RequestStage.UNREPORTED

    def start_attempt(
        self, connection_id: int, number: int, wait_for_ledger: bool, claim_turn: int, claim_attempts: int
    ) -> bool:
        """Whether an attempt may start. If not, the decider is told at once that it never ran."""
        if (
            self.stage is not RequestStage.REPORTED
            or self.connection_id != connection_id
            or self.attempts_made >= self.max_attempts
        ):
            return False
        self.attempts_made += 1
        self.attempt_number, self.claim_turn, self.claim_attempts = number, claim_turn, claim_attempts
        self.unsent_claim, self.unreported_run = (0, 0), False  # the decider knows of both
        self.stage = RequestStage.CONNECTING if wait_for_ledger else RequestStage.SENT
        return True

    def allow_send(self, connection_id: int, number: int) -> bool:
        """Whether the request of the attempt in progress may be sent now."""
        if (
            self.stage is not RequestStage.CONNECTING
            or self.connection_id != connection_id
            or self.attempt_number != number
        ):
            return False
        self.stage = RequestStage.SENT
        return True

    def on_connection_lost(self) -> bool:
        """Returns True if the attempt in progress must be dropped without sending."""
        drop = self.stage is RequestStage.CONNECTING
        if drop:
            self.unsent_claim = (self.claim_turn, self.claim_attempts)
        if drop or self.stage is RequestStage.REPORTED:
            self.stage = RequestStage.UNREPORTED
        if self.stage is not RequestStage.CLOSED:
            self.connection_id = 0
        return drop

    def on_attempt_ended(self, connection_id: int, request_sent: bool, never_ran: bool) -> NextStep:
        """`request_sent`: bytes of the request were sent; `never_ran`: the outcome proves it did not run."""
        if self.stage in (RequestStage.CLOSED, RequestStage.PLAYING):
            self.stage = RequestStage.CLOSED
            return (
                NextStep.REPORT
                if self.connection_id and self.connection_id == connection_id
                else NextStep.NONE
            )
        if self.stage not in (RequestStage.CONNECTING, RequestStage.SENT):
            return NextStep.NONE
        if never_ran or not request_sent:
            self.unsent_claim = (self.claim_turn, self.claim_attempts)
        else:
            self.unreported_run = True
        # The report may be lost together with its decider, so what it proves is kept.
        if self.connection_id and self.connection_id == connection_id:
            self.stage = RequestStage.REPORTED
            return NextStep.REPORT
        self.stage = RequestStage.UNREPORTED
        return NextStep.RESUBMIT

    def on_playing(self, connection_id: int) -> Announcement:
        """The first media arrived. ONGOING_SESSION: this connection's decider does not know the session."""
        if self.stage is not RequestStage.SENT:
            return Announcement.NONE
        self.stage = RequestStage.PLAYING
        if self.connection_id and self.connection_id == connection_id:
            return Announcement.REQUEST  # the decider knows the request: `PlaybackStarted` is enough
        return self.announce(connection_id) if connection_id else Announcement.NONE

    def may_have_run(self) -> bool:
        """Whether the viewer must not be told that nothing ran. To be called before `close`."""
        return self.unreported_run or self.stage in (RequestStage.SENT, RequestStage.PLAYING)

    def close(self, connection_id: int) -> bool:
        """Closes the request. Returns whether this connection's decider knows it and must be told."""
        known = (
            bool(connection_id)
            and self.connection_id == connection_id
            and self.stage not in (RequestStage.UNREPORTED, RequestStage.CLOSED)
        )
        self.stage = RequestStage.CLOSED
        return known
