"""Maps the protocol's causes to the outcomes of `lemonhall.interface`, one table per phase of a session."""

from __future__ import annotations

from lemonhall.interface import NoteKind, Outcome

GIVEN_UP = 16  # before the answer: the set-up was given up; after it: the session ended normally
REFUSED = 34
FAILED = 47
BAD_MESSAGE = 100  # answers an unusable message; every cause that is not a refusal means a failure
CONNECTION_LOST = 41
ENDED_BY_VIEWER = 31

OUTCOMES_BEFORE_ANSWER = {34: Outcome.FULL, 47: Outcome.ERROR, 102: Outcome.MOOT, 41: Outcome.RESET}
OUTCOMES_AFTER_ANSWER = {16: Outcome.OK, 41: Outcome.RESET, 31: Outcome.CANCELLED}
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
NOTE_KINDS = {"d": NoteKind.SHARE, "r": NoteKind.RUNG, "l": NoteKind.LINK, "u": NoteKind.UPLINK}


def outcome_before_answer(cause: int) -> Outcome:
    """For a media server's release of a set-up; a set-up with an unknown cause may have run."""
    return OUTCOMES_BEFORE_ANSWER.get(cause, Outcome.RESET)


def outcome_after_answer(cause: int) -> Outcome:
    """For a media server's release of an established session."""
    return OUTCOMES_AFTER_ANSWER.get(cause, Outcome.RESET)
