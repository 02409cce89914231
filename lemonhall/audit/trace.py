"""From tap records to asks, attempts and what fronts were told. Pure but for `read_taps`."""

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

ASK = re.compile(r"[?&]ask=([\w.]+)")
NEVER_RAN = (453, 503)  # answers to a SETUP that prove that nothing was set up
Record = dict[str, Any]


@dataclass
class Ask:
    """One PLAY of a viewer's. Times in ms."""

    token: str
    at: float
    cls: int
    tenant: int
    title: str
    front: str
    deadline_ms: float
    length_ms: float
    top: int
    tries: int
    claim: str = ""  # a paid claim's token: the same over several asks
    answers: list[tuple[float, int]] = field(default_factory=list)
    left_at: float = inf  # vanished or gave up: from here nobody can see an answer
    vanished: bool = False
    closed_at: float = inf
    cut: bool = False  # it was the front's end that closed


@dataclass
class Attempt:
    """One SETUP at a media server, with the rates asked of it until its end.

    `at` and `end` are of the front's side of a link that holds things back: it answers for what it sends.
    They are when what began and ended it came, or the earliest that it can have, not when it was read.
    """

    token: str
    box: str
    life: int
    front: str
    at: float
    status: int = 0  # 0: not answered
    end: float = inf
    rates: list[tuple[float, float]] = field(default_factory=list)  # since when, bits a second
    media_at: float = inf

    @property
    def never_ran(self) -> bool:
        return self.status in NEVER_RAN


@dataclass
class Trace:
    asks: dict[str, Ask] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    told: list[tuple[float, str, bool, dict[int, int]]] = field(default_factory=list)
    starts: dict[tuple[str, int], tuple[float, bool]] = field(default_factory=dict)  # (box, life): at, cold
    deaths: dict[tuple[str, int], tuple[float, set[str]]] = field(
        default_factory=dict
    )  # at, who had sessions
    kills: list[tuple[float, float, str]] = field(default_factory=list)  # from, to, front
    hall_faults: list[tuple[float, str, str]] = field(default_factory=list)  # at, kind, hall
    tipped: list[tuple[float, str]] = field(default_factory=list)  # at, box that was pushed over
    frozen: list[tuple[float, float, str]] = field(default_factory=list)  # from, to, front that did not run
    late: list[tuple[float, float, str]] = field(default_factory=list)  # from, to, front far from its viewers
    worker_kills: list[tuple[float, str]] = field(default_factory=list)  # at, front
    turned_away: list[tuple[float, int]] = field(default_factory=list)  # tries that came to no ask: at, class
    connects: list[tuple[float, str]] = field(default_factory=list)  # at, box
    list_calls: list[float] = field(default_factory=list)
    full: list[tuple[float, str, float]] = field(default_factory=list)  # at, front, seconds since its start
    faults: dict[str, int] = field(default_factory=dict)

    def by_token(self) -> dict[str, list[Attempt]]:
        found: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in self.attempts:
            found[attempt.token].append(attempt)
        for attempts in found.values():
            attempts.sort(key=lambda a: a.at)
        return found


def read_taps(paths: Iterable[Path]) -> list[Record]:
    """All records in the order of time. Raises `BadInput` with file and line for what is none."""
    records: list[Record] = []
    for path in paths:
        for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
            try:
                record = json.loads(line)
                record["t"], record["who"]
            except (ValueError, KeyError, TypeError) as error:
                raise BadInput(f"{path}:{number}", "no tap record") from error
            records.append(record)
    return sorted(records, key=lambda r: r["t"])


def earliest(r: Record) -> float:
    """When what was read here can have come first (standins/arrival.py)."""
    return float(r["since"] if "since" in r else r["t"])


class Links:
    """What relays noted of connections, by their port at the far side: bytes that came, that were passed on.

    Without relays nothing is noted, and every time is that of the far side.
    """

    def __init__(self) -> None:
        self.through: set[int] = set()
        self.left: dict[int, float] = {}  # when the near side ended
        self.came: dict[int, list[tuple[int, float]]] = defaultdict(list)  # bytes up to then, when
        self.held: dict[int, list[tuple[int, tuple[str, bool, dict[int, int]]]]] = defaultdict(list)
        self.ports: dict[tuple[str, int], int] = {}  # of a box's connection
        self.conns: dict[int, tuple[str, int]] = {}

    def note(self, what: str, port: int, count: int, at: float) -> None:
        if what == "through":
            self.through.add(port)
            self.came.pop(port, None)
            self.left.pop(port, None)
        elif what == "came":
            self.came[port].append((count, at))
        elif what == "left":
            self.left[port] = at

    def sent(self, port: int, read: int, at: float) -> float:
        """When the last of so many bytes came to the relay; `at`, if it was passed on at once."""
        return min((when for count, when in self.came.get(port, ()) if count >= read), default=at)

    def hold(self, port: int, sent: int, told: tuple[str, bool, dict[int, int]]) -> bool:
        """News on its way to a front through a relay: not told until it is passed on."""
        if port in self.through:
            self.held[port].append((sent, told))
        return port in self.through

    def given(self, port: int, count: int) -> list[tuple[str, bool, dict[int, int]]]:
        """The news that so many bytes hold."""
        found = [told for sent, told in self.held[port] if sent <= count]
        self.held[port] = [(sent, told) for sent, told in self.held[port] if sent > count]
        return found


class Reader:
    """Builds a trace from records in the order of time."""

    def __init__(self) -> None:
        self.trace = Trace()
        self.by_conn: dict[int, Ask] = {}  # a viewer's connection
        self.cseqs: dict[int, str] = {}
        self.waiting: dict[tuple[str, int, str], Attempt] = {}  # SETUP by box, connection, CSeq
        self.open: dict[tuple[str, int], list[Attempt]] = defaultdict(list)
        self.sessions: dict[tuple[str, str], Attempt] = {}
        self.lives: dict[str, int] = {}
        self.links = Links()

    def read(self, records: Iterable[Record]) -> Trace:
        for r in records:
            who: str = r["who"]
            if who == "viewer":
                self.viewer(r)
            elif who == "list":
                states = {int(n): int(state) for n, state in r["boxes"].items()}
                told = (r["front"], r["full"], states)
                self.trace.list_calls += [r["t"]] * r["full"]  # a call is answered by the whole of it
                if not self.links.hold(r.get("port", 0), r.get("sent", 0), told):
                    self.trace.told.append((r["t"], *told))
            elif who == "links":
                self.link(r)
            elif who == "day":
                self.day(r)
            else:
                self.box(who[4:], r)
        return self.trace

    def link(self, r: Record) -> None:
        what, late = r["what"], self.trace.late
        if what == "told":
            self.trace.told += [(r["t"], *told) for told in self.links.given(r["port"], r["bytes"])]
        elif what == "late":
            late.append((r["t"], inf, r["there"]))
        elif what == "fine":
            late[:] = [(at, min(to, r["t"]) if f == r["there"] else to, f) for at, to, f in late]
        else:
            at = earliest(r)
            self.links.note(what, r["port"], r["bytes"], at)
            if what == "left" and (conn := self.links.conns.get(r["port"])):
                for attempt in self.open.get(conn, ()):
                    attempt.end = min(attempt.end, at)

    def day(self, r: Record) -> None:
        if r["what"] == "front-frozen":
            self.trace.frozen.append((r["t"], inf, r["front"]))
        elif r["what"] == "front-thawed":
            self.trace.frozen = [
                (at, min(to, r["t"]) if front == r["front"] else to, front)
                for at, to, front in self.trace.frozen
            ]
        elif r["what"] == "front-full":
            self.trace.full.append((r["t"], r["front"], r["after"]))
        elif r["what"] == "front-killed":
            self.trace.kills.append((r["t"], inf, r["front"]))
        elif r["what"] == "front-back":
            at, _, front = next(k for k in reversed(self.trace.kills) if k[2] == r["front"])
            self.trace.kills.remove((at, inf, front))
            self.trace.kills.append((at, r["t"], front))
        elif r["what"] == "fault":
            self.trace.faults[r["kind"]] = self.trace.faults.get(r["kind"], 0) + 1
            if r["kind"] == "worker-killed":
                self.trace.worker_kills.append((r["t"], r["target"]))
            if r["kind"] in ("hall-dark", "hall-flap"):
                self.trace.hall_faults.append((r["t"], r["kind"], r["target"]))

    def viewer(self, r: Record) -> None:
        conn, what = r["conn"], r["what"]
        ask = self.by_conn.get(conn)
        if what == "ask":
            made = Ask(
                r["ask"],
                r["t"],
                r["cls"],
                r["tenant"],
                r["title"],
                r["front"],
                r["deadline"],
                r["length"],
                r["top"],
                r["tries"],
                r.get("claim", ""),
            )
            self.trace.asks[made.token] = self.by_conn[conn] = made
            self.cseqs[conn] = r["cseq"]
        elif what == "turned-away":
            self.trace.turned_away.append((r["t"], r["cls"]))
        elif ask is None:
            return
        elif what == "response" and r["cseq"] == self.cseqs[conn]:
            ask.answers.append((r["t"], r["status"]))
        elif what in ("gave-up", "vanished"):
            ask.left_at = min(ask.left_at, r["t"])
            ask.vanished |= what == "vanished"
        elif what == "close":
            ask.closed_at = r["t"]
            ask.cut = r["reason"] != "local"

    def box(self, box: str, r: Record) -> None:
        what, conn = r["what"], r["conn"]
        if what == "start":
            self.lives[box] = r["life"]
            self.trace.starts[box, r["life"]] = (r["t"], r["cold"])
        elif what == "die":
            there = [a for (at, _), some in self.open.items() if at == box for a in some]
            witnesses = {a.front for a in there if a.end > r["t"]}
            self.trace.deaths[box, r["life"]] = (r["t"], witnesses)
            if r.get("why") == "tipped":
                self.trace.tipped.append((r["t"], box))
        elif what == "open":
            self.trace.connects.append((r["t"], box))
            self.links.conns[r.get("port", 0)] = (box, conn)
            self.links.ports[box, conn] = r.get("port", 0)
        elif what == "request":
            self.box_request(box, conn, r)
        elif what == "response":
            attempt = self.waiting.pop((box, conn, r["cseq"]), None)
            if attempt:
                attempt.status = r["status"]
                if r["status"] == 200:
                    self.sessions[box, r["headers"].get("Session", "")] = attempt
                else:
                    attempt.end = min(attempt.end, r["t"])
        elif what == "media":
            if attempt := self.sessions.get((box, r["session"])):
                attempt.media_at = min(attempt.media_at, r["t"])
        elif what == "close":
            for attempt in self.open.pop((box, conn), []):
                attempt.end = min(attempt.end, max(attempt.at, earliest(r)))

    def box_request(self, box: str, conn: int, r: Record) -> None:
        headers = r["headers"]
        bits = headers.get("Bandwidth", "")
        session = headers.get("Session", "").partition(";")[0]
        came = r["t"] - r.get("ago", 0.0)
        sent = self.links.sent(self.links.ports.get((box, conn), 0), r.get("read", 0), came)
        if r["method"] == "SETUP" and not session:
            token = ASK.search(r["url"])
            attempt = Attempt(
                token[1] if token else "",
                box,
                self.lives.get(box, 0),
                headers.get("Via", "").rpartition(" ")[2],
                sent,
                end=self.links.left.get(self.links.ports.get((box, conn), 0), inf),  # held back until now
            )
            self.trace.attempts.append(attempt)
            self.waiting[box, conn, r["cseq"]] = attempt
            self.open[box, conn].append(attempt)
        elif r["method"] == "TEARDOWN" and (ended := self.sessions.get((box, session))):
            ended.end = min(ended.end, sent)
            return
        else:
            found = self.sessions.get((box, session))
            if found is None:
                return
            attempt = found
        if bits.isdigit():
            attempt.rates.append((r["t"], float(bits)))
