"""The node's own bounds, each with its reason. None of them places, refuses, retries or picks a rung."""

from __future__ import annotations

LINE_BYTES = 16 * 1024  # no message exceeds 16 KiB (protocol)
DESCRIPTION_CHARS = 8 * 1024  # half a message: it must fit into the one that we write as well
NUMBER_CHARS = 20  # of a number written as text: 64 bits have no more
LINES_A_TURN = 32  # taken from one connection before the others have their turn
GULP_BYTES = 16 * 1024  # read from one connection in a turn: what is over waits in the kernel

VIEWERS_PART = 0.45  # of the descriptors: viewers hold a third (protocol), those that do harm some more
SERVERS_PART = 0.45  # of the descriptors, for connections to media servers
OPEN_A_CONNECTION = 128  # set-ups of one viewers' connection that may be open at once
BACKLOG_BYTES = 256 * 1024  # unread by a peer: then it is taken for dead and closed
STANDING = 20_000  # sessions that may stand: with more than any uplink carries something else is wrong
WAITING_ENDS = 5_000  # releases kept until a viewers' connection opens
RELEASED_WITHIN_S = 8.0  # of a session's end, or it is lost: a release is not said again later than that
RELEASE_WAITS_S = 0.5  # for a proven connection; what is over is to be released within 1 s

SILENT_S = (
    2.0  # a viewers' connection on which nothing usable has come; such a one is owed a close within 3 s
)
HALF_LINE_S = 2.0  # from the first byte of a message to its line feed, for the same reason
VIEWER_IDLE_S = 30.0  # viewers close after 4 s without a session; this is for those that vanished

LINGER_S = 1.0  # a connection that we end is read on and what comes dropped, so that our last word arrives
EARLY_ENDS = 1_000  # ends of ids that nobody knows here, kept for hand-overs that they crossed
EARLY_ENDS_S = 8.0  # each so long: what is over is released within 8 s

ANSWER_MARGIN_S = 0.03  # before the viewer's time is up: the answer's own way
ANSWER_MARGIN_PART = 0.25  # of that time at most: some customers' deadlines are short
IDLE_PART = 0.8  # of the settings' idle time: closed by us before the server closes under a set-up
SILENCE_FLOOR_S = 4.0  # of a server with standing sessions before a new connection tells whether it lives
LOST_AFTER_S = 6.5  # of silence, all attempts to connect failing: its sessions are over (8 s by the protocol)
RECONNECT_S = 0.3  # between attempts to reach a server whose sessions stand
ORDERS_KEPT_S = 8.0  # words that find no connection: what is over is released within 8 s
OVERTAKEN_S = 1.0  # a connection that breaks so soon behind an end may have taken it along: it is said again
ENDS_KEPT = 256  # of those, on one connection
SWEEP_S = 0.25  # how often idle and silent connections are looked for

ASK_EVERY_S = 0.4  # the resolver: what is told counts as heard after 1.5 s, three answers may be lost
ASK_TIMEOUT_S = 0.25
ASK_AGAIN_MOST_S = 0.8  # between questions while none is answered
DNS_BYTES = 8 * 1024  # of an answer (protocol: 8,000)

TAKEN_AFTER_TERM_S = 0.75  # requests go on coming so long after SIGTERM (0.2 to 0.4 and 0.2 s more)
KILL_LONGEST_S = 3.0  # the kill comes after the longest deadline, taken as this where it is longer,
KILL_AFTER_S = 0.7  # and so much more (protocol)
KILL_MARGIN_S = 0.2  # before the kill all that is open has failed
END_LOOK_S = 0.02  # how often it is looked whether all is answered
LINGER_END_S = 0.08  # then connections are ended so that the last words arrive
RELOAD_AGAIN_S = 0.2  # a half-written configuration is read again
RELOAD_TRIES = 20


def answer_margin_s(left_s: float) -> float:
    return min(ANSWER_MARGIN_S, ANSWER_MARGIN_PART * left_s)


def end_after_term_s(longest_deadline_s: float) -> float:
    """Seconds from SIGTERM until what is open fails rather than meet the kill."""
    kill = min(KILL_LONGEST_S, longest_deadline_s) + KILL_AFTER_S
    return max(TAKEN_AFTER_TERM_S, kill - KILL_MARGIN_S - LINGER_END_S)
