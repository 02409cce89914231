"""The current server list, as the decider and its workers hold it."""

from __future__ import annotations

from collections.abc import Callable

from lemonhall import interface
from lemonhall.boxlist import Box, State, Update
from lemonhall.loop.stream import Address


def parse_address(text: str) -> Address | None:
    """Parses `host:port`, `[IPv6 address]:port` or `unix:path`. Returns None for anything else."""
    if text.startswith("unix:"):
        return text[5:]
    host, _, port = text.rpartition(":")
    return (host.strip("[]"), int(port)) if host and port.isdigit() else None


def to_server(box: Box) -> interface.Server:
    return interface.Server(
        box.id,
        box.kind,
        box.weight,
        box.zone,
        box.cell,
        box.started_ms,
        interface.ServerState(int(box.state)),
    )


class ServerListState:
    """The list after all updates so far. `apply` returns the event for the module, or None for an outdated
    update.

    An update whose `as_of_ms` is before the start of this front cannot contain a server that has started
    since. Like a cached list it leaves the module unsure about such servers, so it is reported whole and as
    `CACHED` until the list has caught up.

    A full update with a lower version than the current one is a list that was created anew if its `as_of_ms`
    is later; otherwise the list service was restored from a backup. The updates of a restored list are
    ignored (full ones counted in `older_updates`) until it has caught up; then the full list is requested.
    """

    def __init__(self, front_started_ms: float = 0.0) -> None:
        self.front_started_ms = front_started_ms
        self.version = 0
        self.as_of_ms = 0.0  # latest time for which the list was valid; 0 if it names no time
        self.older_updates = 0
        self.behind = self.needs_full_list = False
        self.boxes: dict[int, Box] = {}
        self.addresses: dict[int, Address] = {}  # including removed servers: their attempts may still end
        self.on_update: Callable[[Update], object] = lambda update: None  # called after each applied update

    def apply(self, update: Update, cached: bool = False) -> interface.ServerList | None:
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
            return interface.ServerList(interface.ListKind.CACHED, self.version, tuple(self.servers()))
        kind = interface.ListKind.FULL if update.full else interface.ListKind.CHANGES
        return interface.ServerList(kind, update.version, tuple(to_server(box) for box in update.boxes))

    def is_behind(self, update: Update) -> bool:
        """Whether the update belongs to a restored list that is older than the current one."""
        if update.full:
            lower_version = update.version < self.version
            self.behind = lower_version and 0 < update.as_of_ms <= self.as_of_ms
            self.older_updates += self.behind
        elif self.behind and update.as_of_ms > self.as_of_ms:
            self.behind, self.needs_full_list = False, True
            return True
        return self.behind

    def ids_by_address(self) -> dict[str, int]:
        """Server ids by the address text of the list (`host:port`)."""
        return {box.address: box.id for box in self.boxes.values()}

    def servers(self) -> list[interface.Server]:
        return [to_server(box) for box in self.boxes.values()]

    def snapshot(self) -> Update:
        """Returns the current list as one full update."""
        return Update(version=self.version, full=True, boxes=self.boxes.values(), as_of_ms=self.as_of_ms)
