"""A viewer's session ends at its media server after a quiet time: is the end told to the viewer in time?"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins_2 import (
    NEVER,
    PAID,
    SLACK_S,
    CannotRun,
    Case,
    MediaServer,
    Request,
    Viewer,
    main,
    make_settings,
)

QUIET_S, BUSY_S = 50.0, 20.0  # lengths of the session, inside the 26 to 70 s of the class
RELEASE_S = 1.0  # "released towards its client within 1 s of the release by the media server"
WATCH_S = 12.0


class Quiet(Case):
    request: Request

    async def play(self) -> None:
        for _ in range(2):
            await self.add_server()
        node = await self.start_node(make_settings())
        viewer = Viewer(self.record, "viewer", node, comes_back=True)
        await viewer.connect()
        self.request = viewer.set_up(PAID, 5.0)
        await self.until(self.record.now() + 2.0)
        if not self.request.stands:
            raise CannotRun("the session does not stand")
        await self.until(self.request.answered_at + (QUIET_S if self.trouble else BUSY_S))
        self.server().end(self.request.ref)
        await self.until(self.record.now() + WATCH_S)
        viewer.close()

    def server(self) -> MediaServer:
        for server in self.servers:
            if self.request.ref in server.sessions:
                return server
        raise CannotRun("no media server holds the session any more")

    def judge(self) -> list[str]:
        over_at = next(s.over_at for server in self.servers for s in server.set_ups if s.over_at < NEVER)
        late_s = self.request.released_at - over_at - RELEASE_S - SLACK_S
        if late_s <= 0:
            return []
        what = "never told" if self.request.released_at == NEVER else f"told {late_s:.1f} s too late"
        return [f"{self.request.ref} was over and released by its media server at {over_at:.3f}: {what}"]


if __name__ == "__main__":
    sys.exit(main(Quiet, __file__))
