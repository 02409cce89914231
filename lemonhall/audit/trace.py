"""Builds the trace of a run from tap records: viewers' requests, attempts at servers, and list updates.

Only `read_taps` does I/O.
"""

from __future__ import annotations

import json
import re
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf
from pathlib import Path
from typing import Any

from lemonhall.problem import BadInput

REQUEST_TOKEN = re.compile(r"[?&]ask=([\w.]+)")
NEVER_RAN_STATUSES = (453, 503)  # answers to SETUP that prove that no session was set up
TapRecord = dict[str, Any]


@dataclass
class SetUpRequest:
    """One PLAY request of a viewer. Times are in ms."""

    token: str
    at: float
    cls: int
    tenant: int
    title: str
    front: str
    deadline_ms: float
    length_ms: float
    top_rung: int
    tries: int  # 1 for the first try of the viewer
    claim: str = ""  # token of a paid claim, the same in all requests for it
    answers: list[tuple[float, int]] = field(default_factory=list)  # time, status
    left_at: float = inf  # when the viewer vanished or gave up; it sees no answer after that
    vanished: bool = False
    closed_at: float = inf
    closed_by_front: bool = False


@dataclass
class Attempt:
    """One SETUP at a media server, with the rates requested of it until its end.

    `at` and `end` are times on the front's side of a link that delays data, because the front is responsible
    for what it sends. They are the earliest times at which the data that began and ended the attempt can have
    arrived, not the times at which it was read.
    """

    token: str
    server: str
    incarnation: int
    front: str
    at: float
    status: int = 0  # 0: not answered
    end: float = inf
    rates: list[tuple[float, float]] = field(default_factory=list)  # since when, bit/s
    media_at: float = inf

    @property
    def never_ran(self) -> bool:
        return self.status in NEVER_RAN_STATUSES


@dataclass
class Trace:
    """Everything that the rules are checked against. Times are in ms."""

    requests: dict[str, SetUpRequest] = field(default_factory=dict)  # by token
    attempts: list[Attempt] = field(default_factory=list)
    # time, front, whether the list is complete, state by server incarnation
    list_updates: list[tuple[float, str, bool, dict[int, int]]] = field(default_factory=list)
    # by server and incarnation: time, whether it started cold
    server_starts: dict[tuple[str, int], tuple[float, bool]] = field(default_factory=dict)
    # by server and incarnation: time, fronts that had sessions there
    server_deaths: dict[tuple[str, int], tuple[float, set[str]]] = field(default_factory=dict)
    front_kills: list[tuple[float, float, str]] = field(default_factory=list)  # from, to, front
    zone_faults: list[tuple[float, str, str]] = field(default_factory=list)  # time, kind, zone
    overloads: list[tuple[float, str]] = field(default_factory=list)  # time, server that failed under load
    front_freezes: list[tuple[float, float, str]] = field(default_factory=list)  # from, to, front
    # from, to, front whose links to viewers were delayed
    front_delays: list[tuple[float, float, str]] = field(default_factory=list)
    worker_kills: list[tuple[float, str]] = field(default_factory=list)  # time, front
    # time and class of tries that reached no front
    rejected_tries: list[tuple[float, int]] = field(default_factory=list)
    server_connections: list[tuple[float, str]] = field(default_factory=list)  # time, server
    list_calls: list[float] = field(default_factory=list)
    # time at which a front reported its full phase, front, seconds since its start
    front_recoveries: list[tuple[float, str, float]] = field(default_factory=list)
    faults: dict[str, int] = field(default_factory=dict)

    def attempts_by_token(self) -> dict[str, list[Attempt]]:
        by_token: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in self.attempts:
            by_token[attempt.token].append(attempt)
        for attempts in by_token.values():
            attempts.sort(key=lambda attempt: attempt.at)
        return by_token


def read_taps(paths: Iterable[Path]) -> list[TapRecord]:
    """Returns all records in the order of time. Raises `BadInput` with the line of an invalid record."""
    records: list[TapRecord] = []
    for path in paths:
        for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
            try:
                record = json.loads(line)
                record["t"], record["who"]
            except (ValueError, KeyError, TypeError) as error:
                raise BadInput(f"{path}:{number}", "no tap record") from error
            records.append(record)
    return sorted(records, key=lambda record: record["t"])


def earliest_arrival(record: TapRecord) -> float:
    """The earliest time at which the data of a record can have arrived (see standins/arrival.py)."""
    return float(record["since"] if "since" in record else record["t"])


class RelayLog:
    """What relays recorded of connections, by port at the far side: bytes received and bytes forwarded.

    Without relays there are no records, and all times are those of the far side.
    """

    def __init__(self) -> None:
        self.relayed: set[int] = set()
        self.near_closed_at: dict[int, float] = {}
        self.received: dict[int, list[tuple[int, float]]] = defaultdict(list)  # total bytes, time
        # list updates that a relay has not forwarded yet: total bytes sent with the update, update
        self.pending: dict[int, list[tuple[int, tuple[str, bool, dict[int, int]]]]] = defaultdict(list)
        self.ports: dict[tuple[str, int], int] = {}  # by server and connection
        self.connections: dict[int, tuple[str, int]] = {}

    def add_event(self, what: str, port: int, count: int, at: float) -> None:
        if what == "through":
            self.relayed.add(port)
            self.received.pop(port, None)
            self.near_closed_at.pop(port, None)
        elif what == "came":
            self.received[port].append((count, at))
        elif what == "left":
            self.near_closed_at[port] = at

    def sent_at(self, port: int, read: int, at: float) -> float:
        """When the first `read` bytes had arrived at the relay; `at` for a connection without a relay."""
        return min((time for count, time in self.received.get(port, ()) if count >= read), default=at)

    def hold(self, port: int, sent: int, update: tuple[str, bool, dict[int, int]]) -> bool:
        """Keeps a list update until the relay has forwarded it. Returns False if there is no relay."""
        if port in self.relayed:
            self.pending[port].append((sent, update))
        return port in self.relayed

    def take_forwarded(self, port: int, count: int) -> list[tuple[str, bool, dict[int, int]]]:
        """Removes and returns the updates that are contained in the first `count` bytes."""
        updates = [update for sent, update in self.pending[port] if sent <= count]
        self.pending[port] = [(sent, update) for sent, update in self.pending[port] if sent > count]
        return updates


class TraceReader:
    """Builds a trace from tap records, which must be in the order of time."""

    def __init__(self) -> None:
        self.trace = Trace()
        self.by_connection: dict[int, SetUpRequest] = {}  # viewers' connections
        self.cseqs: dict[int, str] = {}
        self.unanswered: dict[tuple[str, int, str], Attempt] = {}  # by server, connection, CSeq
        self.running: dict[tuple[str, int], list[Attempt]] = defaultdict(list)
        self.sessions: dict[tuple[str, str], Attempt] = {}
        self.incarnations: dict[str, int] = {}
        self.relays = RelayLog()

    def read(self, records: Iterable[TapRecord]) -> Trace:
        for record in records:
            source: str = record["who"]
            if source == "viewer":
                self.on_viewer_record(record)
            elif source == "list":
                states = {int(n): int(state) for n, state in record["boxes"].items()}
                update = (record["front"], record["full"], states)
                # A call for the list is answered by the complete list.
                self.trace.list_calls += [record["t"]] * record["full"]
                if not self.relays.hold(record.get("port", 0), record.get("sent", 0), update):
                    self.trace.list_updates.append((record["t"], *update))
            elif source == "links":
                self.on_relay_record(record)
            elif source == "day":
                self.on_day_record(record)
            else:
                self.on_server_record(source[4:], record)
        return self.trace

    def on_relay_record(self, record: TapRecord) -> None:
        what, delays = record["what"], self.trace.front_delays
        if what == "told":
            self.trace.list_updates += [
                (record["t"], *update)
                for update in self.relays.take_forwarded(record["port"], record["bytes"])
            ]
        elif what == "late":
            delays.append((record["t"], inf, record["there"]))
        elif what == "fine":
            delays[:] = [
                (since, min(until, record["t"]) if front == record["there"] else until, front)
                for since, until, front in delays
            ]
        else:
            at = earliest_arrival(record)
            self.relays.add_event(what, record["port"], record["bytes"], at)
            if what == "left" and (connection := self.relays.connections.get(record["port"])):
                for attempt in self.running.get(connection, ()):
                    attempt.end = min(attempt.end, at)

    def on_day_record(self, record: TapRecord) -> None:
        if record["what"] == "front-frozen":
            self.trace.front_freezes.append((record["t"], inf, record["front"]))
        elif record["what"] == "front-thawed":
            self.trace.front_freezes = [
                (since, min(until, record["t"]) if front == record["front"] else until, front)
                for since, until, front in self.trace.front_freezes
            ]
        elif record["what"] == "front-full":
            self.trace.front_recoveries.append((record["t"], record["front"], record["after"]))
        elif record["what"] == "front-killed":
            self.trace.front_kills.append((record["t"], inf, record["front"]))
        elif record["what"] == "front-back":
            at, _, front = next(
                kill for kill in reversed(self.trace.front_kills) if kill[2] == record["front"]
            )
            self.trace.front_kills.remove((at, inf, front))
            self.trace.front_kills.append((at, record["t"], front))
        elif record["what"] == "fault":
            self.trace.faults[record["kind"]] = self.trace.faults.get(record["kind"], 0) + 1
            if record["kind"] == "worker-killed":
                self.trace.worker_kills.append((record["t"], record["target"]))
            if record["kind"] in ("hall-dark", "hall-flap"):
                self.trace.zone_faults.append((record["t"], record["kind"], record["target"]))

    def on_viewer_record(self, record: TapRecord) -> None:
        connection, what = record["conn"], record["what"]
        request = self.by_connection.get(connection)
        if what == "ask":
            new_request = SetUpRequest(
                record["ask"],
                record["t"],
                record["cls"],
                record["tenant"],
                record["title"],
                record["front"],
                record["deadline"],
                record["length"],
                record["top"],
                record["tries"],
                record.get("claim", ""),
            )
            self.trace.requests[new_request.token] = self.by_connection[connection] = new_request
            self.cseqs[connection] = record["cseq"]
        elif what == "turned-away":
            self.trace.rejected_tries.append((record["t"], record["cls"]))
        elif request is None:
            return
        elif what == "response" and record["cseq"] == self.cseqs[connection]:
            request.answers.append((record["t"], record["status"]))
        elif what in ("gave-up", "vanished"):
            request.left_at = min(request.left_at, record["t"])
            request.vanished |= what == "vanished"
        elif what == "close":
            request.closed_at = record["t"]
            request.closed_by_front = record["reason"] != "local"

    def on_server_record(self, server: str, record: TapRecord) -> None:
        what, connection = record["what"], record["conn"]
        if what == "start":
            self.incarnations[server] = record["life"]
            self.trace.server_starts[server, record["life"]] = (record["t"], record["cold"])
        elif what == "die":
            attempts = [a for (name, _), some in self.running.items() if name == server for a in some]
            fronts = {attempt.front for attempt in attempts if attempt.end > record["t"]}
            self.trace.server_deaths[server, record["life"]] = (record["t"], fronts)
            if record.get("why") == "tipped":
                self.trace.overloads.append((record["t"], server))
        elif what == "open":
            self.trace.server_connections.append((record["t"], server))
            self.relays.connections[record.get("port", 0)] = (server, connection)
            self.relays.ports[server, connection] = record.get("port", 0)
        elif what == "request":
            self.on_server_request(server, connection, record)
        elif what == "response":
            attempt = self.unanswered.pop((server, connection, record["cseq"]), None)
            if attempt:
                attempt.status = record["status"]
                if record["status"] == 200:
                    self.sessions[server, record["headers"].get("Session", "")] = attempt
                else:
                    attempt.end = min(attempt.end, record["t"])
        elif what == "media":
            if attempt := self.sessions.get((server, record["session"])):
                attempt.media_at = min(attempt.media_at, record["t"])
        elif what == "close":
            for attempt in self.running.pop((server, connection), []):
                attempt.end = min(attempt.end, max(attempt.at, earliest_arrival(record)))

    def on_server_request(self, server: str, connection: int, record: TapRecord) -> None:
        headers = record["headers"]
        bandwidth = headers.get("Bandwidth", "")
        session = headers.get("Session", "").partition(";")[0]
        arrived_at = record["t"] - record.get("ago", 0.0)
        sent_at = self.relays.sent_at(
            self.relays.ports.get((server, connection), 0), record.get("read", 0), arrived_at
        )
        if record["method"] == "SETUP" and not session:
            token = REQUEST_TOKEN.search(record["url"])
            attempt = Attempt(
                token[1] if token else "",
                server,
                self.incarnations.get(server, 0),
                headers.get("Via", "").rpartition(" ")[2],
                sent_at,
                # The front may have closed the connection while the relay delayed the request.
                end=self.relays.near_closed_at.get(self.relays.ports.get((server, connection), 0), inf),
            )
            self.trace.attempts.append(attempt)
            self.unanswered[server, connection, record["cseq"]] = attempt
            self.running[server, connection].append(attempt)
        elif record["method"] == "TEARDOWN" and (ended := self.sessions.get((server, session))):
            ended.end = min(ended.end, sent_at)
            return
        else:
            found = self.sessions.get((server, session))
            if found is None:
                return
            attempt = found
        if bandwidth.isdigit():
            attempt.rates.append((record["t"], float(bandwidth)))
