"""State machine of a handover: which process owns what, whichever of them ends at any step. Pure: no I/O.

Inputs are method calls, outputs are effects. A front is handed over in batches: batch 0 is the front itself
(listeners, store, membership), each later one some connections. Each batch comes with an ownership token: a
pipe that holds one byte. Both processes have the pipe, and the kernel gives the byte to one reader only: the
process that reads it owns the batch, the other releases its copies. So at no moment do both own a batch, and
there is none at which neither can, whichever process ends and whichever messages are lost.

`HandoverSource` is the front that is replaced, `HandoverTarget` its successor. A closed channel means that
the other process has ended: neither closes it before its end.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class Action(Enum):
    """What a process has to do. Effects that concern a batch carry its number."""

    SEND = auto()  # source: suspend the batch and send it with its token
    CLAIM_TOKEN = auto()  # both: read the batch's token and pass the result to `on_token_claimed`
    RESUME = auto()  # source: resume the batch, this process still owns it
    RELEASE = auto()  # source: the successor owns the batch; close the copies here
    PREPARE_NEXT = auto()  # source: prepare the next batch, then call `on_batch_ready` or `on_nothing_left`
    SERVE = auto()  # both: serve as the front: accept connections, act as a member of the fleet
    ASK_CONFIRMATION = auto()  # source: before ending, ask the successor to confirm that it serves
    FINISH = auto()  # source: end, nothing is left here
    DRAIN = auto()  # source: the successor cannot take these sessions; keep them until they end
    START = auto()  # target: start the unpacked batch
    DISCARD = auto()  # target: close the unpacked batch, the source owns it
    CONFIRM = auto()  # target: confirm that this process serves
    REPORT_CLAIM = auto()  # target: tell the source that the token has been tried
    ABORT = auto()  # target: end, the source goes on


@dataclass(frozen=True)
class Effect:
    action: Action
    batch: int = 0


class HandoverSource:
    """The front that is replaced. Each method handles an event and returns the effects to perform."""

    def __init__(self) -> None:
        self.pending_batch: int | None = None  # batch sent, owner not known yet
        self.channel_closed = False  # the successor has ended
        self.handed_over = False  # the successor serves as the front
        self.batches_sent = 0  # connection batches sent so far

    def on_hello(self, compatible: bool) -> list[Effect]:
        """A successor has connected. Accepted one at a time, and only if its settings are `compatible`."""
        if not compatible or self.pending_batch is not None or self.handed_over:
            return []
        self.pending_batch, self.channel_closed = 0, False
        return [Effect(Action.SEND, 0)]

    def on_claim_reported(self, batch: int) -> list[Effect]:
        """The successor has tried the token, cannot use the batch, or did not answer in time."""
        return [Effect(Action.CLAIM_TOKEN, batch)] if batch == self.pending_batch else []

    def on_channel_closed(self) -> list[Effect]:
        """The successor has ended."""
        self.channel_closed = True
        if self.pending_batch is not None:
            return [Effect(Action.CLAIM_TOKEN, self.pending_batch)]
        return self.resume_serving()

    def on_token_claimed(self, batch: int, won: bool) -> list[Effect]:
        self.pending_batch = None
        if batch == 0:
            # Not handed over, or lost with the successor; in both cases the listeners are still open here.
            if won or self.channel_closed:
                return [Effect(Action.RESUME, 0)]
            self.handed_over = True
            return [Effect(Action.RELEASE, 0), Effect(Action.PREPARE_NEXT)]
        effects = [Effect(Action.RESUME if won else Action.RELEASE, batch)]
        if self.channel_closed:
            return effects + self.resume_serving()
        return [*effects, Effect(Action.DRAIN)] if won else [*effects, Effect(Action.PREPARE_NEXT)]

    def on_batch_ready(self) -> list[Effect]:
        """Another batch is ready to be sent."""
        if self.channel_closed or not self.handed_over:
            return []
        self.batches_sent += 1
        self.pending_batch = self.batches_sent
        return [Effect(Action.SEND, self.batches_sent)]

    def on_nothing_left(self) -> list[Effect]:
        return [Effect(Action.ASK_CONFIRMATION)] if self.handed_over and not self.channel_closed else []

    def on_confirmed(self) -> list[Effect]:
        """The successor has everything and serves; this process is not needed any more."""
        return (
            [Effect(Action.FINISH)]
            if self.handed_over and not self.channel_closed and self.pending_batch is None
            else []
        )

    def resume_serving(self) -> list[Effect]:
        """The successor ended after it had become the front: this process serves again."""
        if not self.handed_over:
            return []
        self.handed_over = False
        return [Effect(Action.SERVE)]


class HandoverTarget:
    """The successor. Each method handles an event and returns the effects to perform."""

    def __init__(self) -> None:
        self.serving = False
        self.ended = False

    def on_batch_received(self, batch: int, usable: bool) -> list[Effect]:
        """A batch was received and unpacked. If it is not `usable` here, its token is left alone."""
        if not usable:
            if batch == 0:
                self.ended = True
                return [Effect(Action.ABORT)]
            return [Effect(Action.DISCARD, batch), Effect(Action.REPORT_CLAIM, batch)]
        return [Effect(Action.CLAIM_TOKEN, batch)]

    def on_token_claimed(self, batch: int, won: bool) -> list[Effect]:
        if not won:
            if batch == 0:
                self.ended = True
                return [Effect(Action.ABORT)]
            return [Effect(Action.DISCARD, batch)]
        if batch == 0:
            self.serving = True
            return [Effect(Action.SERVE), Effect(Action.REPORT_CLAIM, 0)]
        return [Effect(Action.START, batch), Effect(Action.REPORT_CLAIM, batch)]

    def on_confirmation_requested(self) -> list[Effect]:
        """The source has nothing left and asks for confirmation."""
        return [Effect(Action.CONFIRM)] if self.serving else []

    def on_channel_closed(self) -> list[Effect]:
        """The source has ended; all it sent was read. If that was nothing, this front starts fresh."""
        if self.serving or self.ended:
            return []
        self.serving = True
        return [Effect(Action.SERVE)]
