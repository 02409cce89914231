"""Sends every session to the server that started last."""

from __future__ import annotations

from lemonhall import decide


class Front(decide.Front):
    def pick_servers(self, session: decide.Session) -> list[decide.MediaServer]:
        started = [server for server in self.server_list if server.entry.ready_at > 0]
        return sorted(started, key=lambda server: -server.entry.ready_at)[:1] or super().pick_servers(session)
