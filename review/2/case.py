"""One reset of an idle connection to a media server: do its sessions go on, and do seats hold?"""

from __future__ import annotations

import asyncio
from pathlib import Path

from standins import (
    BROKEN,
    HELD,
    FrontNode,
    MediaServer,
    Proxy,
    Record,
    Resolver,
    Viewer,
    lost_property,
    run_case,
    trouble,
)

NOTE_S = 4.4  # between two notes of a media server
BEFORE_S = 0.005  # the idle connection is reset so long before the next note is due
EXCUSED_S = 8.05  # what is over may stay up to 8 s (and 50 ms) where no release could be sent
TITLE = 7


async def case(record: Record, folder: Path) -> int:
    site = lost_property(reports_every_ms=NOTE_S * 1000)
    seats = site.specifics["classSeats"][0]
    zones = site.areas
    servers = [MediaServer(record, n, zones[n], "box-3c", life_s=60.0, note_s=NOTE_S) for n in range(3)]
    proxies = {}
    for server in servers:
        await server.start()
        proxy = proxies[server.id] = Proxy(record, server)
        await proxy.start()
        server.listed_port = proxy.port
    resolver = Resolver(record, servers)
    await resolver.start()
    node = FrontNode(record, folder, site, servers, resolver)
    await node.start()
    over: list[tuple[float, str]] = []  # releases with cause 41 of sessions that their media server holds
    last_held, over_seats_since, over_seats_s = 0, record.now(), 0.0
    try:
        viewer = Viewer(record, "v1")
        await viewer.connect(node.port)
        loop = asyncio.get_running_loop()

        def on_over(ref: str, message: dict[str, object]) -> None:
            holder = next((server.id for server in servers if ref in server.sessions), None)
            if holder and any(m["t"] == "up" for _, m in viewer.answers[ref]):
                at = record.write("released-while-it-stands", ref=ref, server=holder, cause=message["c"])
                over.append((at, ref))
                # Most viewers come again after a break, 1.4 to 3 s later.
                loop.call_later(2.0, lambda: viewer.ask("claim-view", TITLE, 5000, tenant="nile-cabs"))

        viewer.on_over = on_over
        await asyncio.sleep(1.0)
        for _ in range(seats):
            ref = viewer.ask("claim-view", TITLE, 5000, tenant="nile-cabs")
            await asyncio.sleep(0.4)
            answer = viewer.first(ref)
            if answer is None or answer["t"] != "up":
                raise RuntimeError("the first sessions do not stand")
        holder = next(server for server in servers if server.sessions)
        due = holder.next_note_at  # this note is heard; the next one is due NOTE_S later
        await asyncio.sleep(due + NOTE_S - BEFORE_S - record.now())
        if trouble():
            proxies[holder.id].reset_all()
        end = record.now() + 4 * NOTE_S
        while record.now() < end:
            await asyncio.sleep(0.05)
            held = sum(s.title == f"{TITLE:016x}" for server in servers for s in server.sessions.values())
            if held != last_held:
                last_held = held
                record.write("held-of-the-title", at_media_servers=held, seats=seats)
            if held <= seats:
                over_seats_since = record.now()
            over_seats_s = max(over_seats_s, record.now() - over_seats_since)
    finally:
        await node.stop()
    for at, ref in over:
        record.write("released-by-the-front-alone", at=f"{at:.3f}", ref=ref)
    if over_seats_s > EXCUSED_S:
        record.write("RULE-BROKEN", seats=seats, more_than_that_for_s=f"{over_seats_s:.3f}")
    record.write("result", released_while_standing=len(over), over_seats_s=f"{over_seats_s:.3f}")
    return BROKEN if over_seats_s > EXCUSED_S else HELD


run_case(case)
