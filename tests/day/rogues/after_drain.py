"""Prefers draining servers."""

from __future__ import annotations

from lemonhall import decide
from lemonhall.interface import ServerState


class Front(decide.Front):
    def pick_servers(self, session: decide.Session) -> list[decide.MediaServer]:
        return [
            server for server in self.server_list if server.entry.state == ServerState.DRAINING
        ] or super().pick_servers(session)
