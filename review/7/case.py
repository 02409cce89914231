"""One of two connections to a media server can no longer be used: is the end of a session told in time?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins_2 import (
    NEVER,
    PAID,
    SAFE,
    SLACK_S,
    CannotRun,
    Case,
    Lines,
    MediaServer,
    Request,
    Stand,
    Viewer,
    main,
    make_settings,
)

UNSENT_S = 8.0  # "or, if no release could be sent, within 8 s of its end"
BURST, BURST_S = 180, 2.0  # set-ups: "on one day up to 90" a second come to the busiest front node
LARGE = {"placesByKind": [200, 150], "kbPerWeight": 120000.0, "fleetKb": 240000.0}
ANSWER_S = 0.9  # of a media server under the burst; a session is wanted playing within 1 s


class Dead(Case):
    first: Lines  # the connection that fails
    ended: Stand
    request: Request  # of the session that ends

    async def play(self) -> None:
        for _ in range(2):
            await self.add_server(answer_s=ANSWER_S)
        server = self.servers[0]
        node = await self.start_node(make_settings(specifics=LARGE))
        viewers = [Viewer(self.record, f"viewer {n}", node) for n in range(6)]
        for viewer in viewers:
            await viewer.connect()
        for n in range(BURST):
            viewers[n % len(viewers)].set_up(PAID, 5.0, title=n)
            await asyncio.sleep(BURST_S / BURST)
        await asyncio.sleep(2.0)
        for other in self.servers:
            other.answer_s = 0.08
        by_link = [[s for s in server.sessions.values() if s.link is link] for link in server.links]
        if len(by_link) < 2 or min(len(sessions) for sessions in by_link[:2]) < 2:
            raise CannotRun("the media server holds sessions on one connection only")
        self.first, self.ended = server.links[0], by_link[0][0]
        # All but one viewer of the first connection's sessions have seen enough.
        for viewer in viewers:
            for request in viewer.requests.values():
                if request.ref == self.ended.ref:
                    self.request = request
                elif any(stand.ref == request.ref for stand in by_link[0]):
                    viewer.end(request)
        await asyncio.sleep(1.0)
        ordinary = asyncio.get_running_loop().create_task(self.ordinary(viewers[0]))
        await self.fail_first(server)
        await asyncio.sleep(1.0)
        server.end(self.ended.ref)
        await asyncio.sleep(UNSENT_S + 2.0)
        ordinary.cancel()
        for viewer in viewers:
            viewer.close()

    async def ordinary(self, viewer: Viewer) -> None:
        """About one set-up a second, as of a small deployment."""
        while True:
            viewer.set_up(SAFE, 4.0)
            await asyncio.sleep(1.0)

    async def fail_first(self, server: MediaServer) -> None:
        """The next answer on the first connection never arrives; the connection stays open."""
        came = asyncio.Event()

        def take(stand: Stand) -> bool:
            if stand.link is self.first and not came.is_set():
                came.set()
                if self.trouble:
                    self.record.line(
                        server.id, f"the answer to {stand.ref} never arrives; connection 1 is of no use"
                    )
                    self.first.mute = True
                    return False
            return True

        server.on_set_up = take
        await asyncio.wait_for(came.wait(), 15.0)

    def judge(self) -> list[str]:
        late_s = self.request.released_at - self.ended.over_at - UNSENT_S - SLACK_S
        if late_s <= 0:
            return []
        what = "not told" if self.request.released_at == NEVER else f"told {late_s:.1f} s too late"
        return [f"{self.ended.ref} was over at {self.ended.over_at:.3f}: {what}"]


if __name__ == "__main__":
    sys.exit(main(Dead, __file__))
