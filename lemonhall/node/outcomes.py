"""The protocol's causes and the module's outcomes: one table for each direction."""

from __future__ import annotations

from lemonhall.interface import NoteKind, Outcome

GIVEN_UP = 16  # a set-up is given up; after the answer, a session has come to its end
REFUSED = 34
FAILED = 47
BAD_MESSAGE = 100  # of what cannot be used; any cause but a refusal's tells of a failure
CUT = 41
ENDED_BY_VIEWER = 31
REFUSALS = (34, 42, 102)

BEFORE = {34: Outcome.FULL, 47: Outcome.ERROR, 102: Outcome.MOOT, 41: Outcome.RESET}
AFTER = {16: Outcome.OK, 41: Outcome.RESET, 31: Outcome.CANCELLED}
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
NOTES = {"d": NoteKind.SHARE, "r": NoteKind.RUNG, "l": NoteKind.LINK, "u": NoteKind.UPLINK}


def before_answer(cause: int) -> Outcome:
    """Of a media server's release of a set-up; a cause that is not known may have run."""
    return BEFORE.get(cause, Outcome.RESET)


def after_answer(cause: int) -> Outcome:
    """Of a media server's release of a session that stood."""
    return AFTER.get(cause, Outcome.RESET)
