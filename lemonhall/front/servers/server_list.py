"""The box list as it stands, at the decider and at its workers."""

from __future__ import annotations

from collections.abc import Callable

from lemonhall import interface as i
from lemonhall.boxlist import Box, State, Update
from lemonhall.loop.stream import Address


def parse_address(text: str) -> Address | None:
    if text.startswith("unix:"):
        return text[5:]
    host, _, port = text.rpartition(":")
    return (host.strip("[]"), int(port)) if host and port.isdigit() else None


def to_server(box: Box) -> i.Server:
    return i.Server(
        box.id, box.kind, box.weight, box.zone, box.cell, box.started_ms, i.ServerState(int(box.state))
    )


class ServerListState:
    """What the list says now. `apply` gives the event for the module, or None for what is old news.

    A list that tells of a time before this front was born cannot name a server that has started since, and
    leaves the front as unsure as its cached one: it is told as `CACHED`, whole, until the list has caught up.

    Lower numbers than before are of a list that has begun anew, if they tell of a later time; else of one
    that was put back: left aside (`older`, counted) until it has caught up, and then wanted whole.
    """

    def __init__(self, front_started_ms: float = 0.0) -> None:
        self.front_started_ms = front_started_ms
        self.version = 0
        self.as_of_ms = 0.0  # the latest time that it told of; 0: it does not say
        self.older_updates = 0
        self.behind = self.needs_full_list = False
        self.boxes: dict[int, Box] = {}
        self.addresses: dict[int, Address] = {}  # also of boxes that have left: attempts may still end there
        self.on_update: Callable[[Update], object] = lambda update: None  # of each update that was news

    def apply(self, update: Update, cached: bool = False) -> i.ServerList | None:
        if self.is_behind(update):
            return None
        news = update.full or update.version > self.version or (update.as_of_ms and not update.boxes)
        if not news or not (update.full or self.version):
            return None
        self.as_of_ms = max(self.as_of_ms, update.as_of_ms)
        if update.full:
            self.boxes = {}
        for box in update.boxes:
            if address := parse_address(box.address):
                self.addresses[box.id] = address
            if box.state == State.GONE:
                self.boxes.pop(box.id, None)
            else:
                self.boxes[box.id] = box
        self.version = max(update.version, self.version) if not update.full else update.version
        self.on_update(update)
        if cached or 0 < update.as_of_ms < self.front_started_ms:
            return i.ServerList(i.ListKind.CACHED, self.version, tuple(self.servers()))
        kind = i.ListKind.FULL if update.full else i.ListKind.CHANGES
        return i.ServerList(kind, update.version, tuple(to_server(b) for b in update.boxes))

    def is_behind(self, update: Update) -> bool:
        """Whether this tells of a time before what is known, under numbers of before."""
        if update.full:
            back = update.version < self.version
            self.behind = back and 0 < update.as_of_ms <= self.as_of_ms
            self.older_updates += self.behind
        elif self.behind and update.as_of_ms > self.as_of_ms:
            self.behind, self.needs_full_list = False, True
            return True
        return self.behind

    def ids_by_address(self) -> dict[str, int]:
        """Numbers of the servers that are listed, by host:port."""
        return {b.address: b.id for b in self.boxes.values()}

    def servers(self) -> list[i.Server]:
        return [to_server(box) for box in self.boxes.values()]

    def snapshot(self) -> Update:
        return Update(version=self.version, full=True, boxes=self.boxes.values(), as_of_ms=self.as_of_ms)
