"""Limits and timeouts of the node. None of them takes part in placement, refusals, retries or rungs."""

from __future__ import annotations

MAX_LINE_BYTES = 16 * 1024  # no message exceeds 16 KiB (protocol)
MAX_NUMBER_CHARS = 20  # of a number written as text: 64 bits need no more
MAX_READ_BYTES = 16 * 1024  # read from one connection per event; the rest waits in the kernel

VIEWER_DESCRIPTORS_SHARE = 0.45  # viewers hold a third of the descriptors (protocol), abusive ones some more
SERVER_DESCRIPTORS_SHARE = 0.45  # of the descriptors, for connections to media servers
MAX_READ_AHEAD_BYTES = 4 * 2**20  # of one viewer connection: what a kernel may hold of a client that has left
MESSAGE_UNIT_BYTES = 1024  # a message counts as one, and one more for each of these
MAX_CONNECTION_MESSAGES_PER_PASS = 32  # of one viewer connection, so that others get their turn
MAX_MESSAGES_PER_PASS = 128  # of all viewer connections: a pass must stay far under an answer's time
MAX_OPEN_SET_UPS = 128  # per viewer connection; one more is refused
OPEN_SET_UPS_MEMORY_SHARE = 0.125  # for their descriptions, which are copied for a media server
VIEWER_BACKLOG_MEMORY_SHARE = 0.125  # for what viewers leave unread, all together
MAX_BACKLOG_BYTES = 256 * 1024  # unread by a peer, which is then considered dead and disconnected
MAX_UNLISTED_SERVERS = 512  # that viewers named in handovers: what a list that lags may lack
MAX_ESTABLISHED_SESSIONS = 20_000  # more than any uplink carries: a higher number means a fault elsewhere
MAX_WAITING_RELEASES = 5_000  # kept until a viewer connection opens
RELEASE_DEADLINE_S = 8.0  # after a session's end; later than that a release is lost and is not sent again
PROVEN_CONNECTION_WAIT_S = 0.5  # of a release; an ended session must be released within 1 s
QUIET_CONNECTION_S = 0.3  # after which a connection without a valid message may get a release

NO_MESSAGE_TIMEOUT_S = (
    2.0  # for a viewer connection without any valid message, which must be closed within 3 s
)
PARTIAL_LINE_TIMEOUT_S = 2.0  # from the first byte of a message to its line feed, for the same reason
VIEWER_IDLE_TIMEOUT_S = 30.0  # without a session: viewers close after 4 s; this covers those that vanished

LINGER_TIMEOUT_S = 1.0  # after our close, input is read and discarded so that our last message arrives
MAX_USED_REFS = 8_192  # of ended set-ups that may have run: 90 a second for longer than they are kept
USED_REF_TTL_S = 20.0  # several times the longest deadline, for a client that comes back
MAX_EARLY_RELEASES = 1_000  # releases of unknown refs, kept because a handover may have crossed them
EARLY_RELEASE_TTL_S = 8.0  # an ended session is released within 8 s

MIN_LEFT_MS = 1.0  # of a set-up that is placed: media servers are told whole milliseconds
ANSWER_MARGIN_S = 0.03  # before the viewer's deadline: time for the answer to travel
ANSWER_MARGIN_FRACTION = 0.25  # of the time to the deadline at most: some customers' deadlines are short
IDLE_TIMEOUT_FRACTION = 0.8  # of the server's idle timeout: we close first, never the server during a set-up
RETIRED_CONNECTION_S = 8.0  # after our end of it: a release that the server sends on it still counts
UNRESPONSIVE_AFTER_S = (
    4.0  # without data on a connection with an unanswered set-up: 8 s less time to reconnect
)
MIN_SILENCE_S = 4.0  # of a server with established sessions, before a new connection probes it
SERVER_LOST_AFTER_S = 6.5  # without evidence that its sessions go on: they are over (8 s by the protocol)
CUT_OFF_DECIDED_AFTER_S = 7.5  # after the last sign of life of a machine that came back: 8 s less a sweep
MAX_NOTE_INTERVAL_S = SERVER_LOST_AFTER_S - 1.0  # of a server whose silence on a new connection counts
RECONNECT_INTERVAL_S = 0.3  # to a server that has established sessions
MAX_RECONNECT_INTERVAL_S = 4.0  # after back-off, for commands that wait: released within 8 s of the repair
UNLISTED_COMMAND_TTL_S = 8.0  # of commands for a server that the list does not have
RESEND_WINDOW_S = 1.0  # a connection that breaks this soon after a release may have lost it: it is sent again
MAX_RECENT_RELEASES = 256  # remembered per connection for that
SWEEP_INTERVAL_S = 0.25  # between searches for idle and silent connections

DNS_QUERY_INTERVAL_S = 0.4  # a reported change must be known after 1.5 s: three responses may get lost
DNS_FIRST_RETRY_S = 0.25  # from a query without an answer to the next
DNS_RETRY_GROWTH = 1.5  # of that time with each further query
DNS_MAX_RETRY_S = 0.6
DNS_MAX_JITTER = 1.5  # of the times until a query is repeated
DNS_MAX_IN_FLIGHT = 2  # queries, once the answer time is known,
DNS_SLOW_SPACING_S = 0.9  # or more where they would be further apart: a change must be known after 1.5 s
DNS_CROWDED_ANSWER_S = 4.0  # answer time from which queries become rarer: they wait in a queue
DNS_CROWDED_SPACING = 2.0  # seconds between queries for each second above that; one in flight from 6 s on
DNS_MAX_SPACING_S = 4.0  # with jitter 6 s: a change must be known 6 s after discovery could be reached
DNS_ANSWER_TIME_DECAY = 0.9  # of the longest answer time with each faster answer
DNS_MAX_OPEN_QUERIES = 32  # that a late answer may still belong to
DISCOVERY_SILENCE_S = 2.0  # without a valid answer, until the log says so
MAX_DNS_RESPONSE_BYTES = 8 * 1024  # protocol: 8,000

ACCEPT_AFTER_TERM_S = 0.75  # requests keep coming this long after SIGTERM (0.2 to 0.4 and 0.2 s more)
MAX_KILL_DEADLINE_S = 3.0  # SIGKILL follows after the longest deadline, capped at this value,
KILL_DELAY_S = 0.7  # plus this delay (protocol)
KILL_MARGIN_S = 0.2  # this long before SIGKILL every open set-up has failed
SHUTDOWN_POLL_INTERVAL_S = 0.02  # between checks whether everything is answered
SHUTDOWN_LINGER_S = 0.08  # for closing connections so that the last messages arrive
RELOAD_RETRY_INTERVAL_S = 0.2  # for a configuration that is only half written
MAX_RELOAD_ATTEMPTS = 20


def answer_margin_s(left_s: float) -> float:
    return min(ANSWER_MARGIN_S, ANSWER_MARGIN_FRACTION * left_s)


def shutdown_timeout_s(longest_deadline_s: float) -> float:
    """Seconds from SIGTERM after which open set-ups fail, so that they are answered before SIGKILL."""
    kill = min(MAX_KILL_DEADLINE_S, longest_deadline_s) + KILL_DELAY_S
    return max(ACCEPT_AFTER_TERM_S, kill - KILL_MARGIN_S - SHUTDOWN_LINGER_S)
