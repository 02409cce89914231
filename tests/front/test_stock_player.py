"""FFmpeg's RTSP client (through PyAV) plays through the front, across a change of rung and a move."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

import av

from lemonhall import interface
from lemonhall.config.day import BoxSpec
from lemonhall.standins.arrival import Looks
from lemonhall.standins.box import Box, Rack
from lemonhall.standins.tap import Tap
from tests.front.harness import FrontHarness

FRAMES_PER_PHASE = 12  # to be decoded before the next step of the test


class Player(threading.Thread):
    """Decodes in its own thread, as the event loop under test runs in the main thread."""

    def __init__(self, url: str) -> None:
        super().__init__(daemon=True)
        self.url, self.stop_requested = url, False
        self.frames: list[tuple[int, int, int]] = []  # pts, width, height
        self.error: Exception | None = None

    def run(self) -> None:
        try:
            options = {"rtsp_transport": "tcp", "stimeout": "5000000"}
            with av.open(self.url, options=options, timeout=8.0) as container:
                for frame in container.decode(video=0):
                    self.frames.append((int(frame.pts or 0), frame.width, frame.height))
                    if self.stop_requested:
                        return
        except Exception as error:
            self.error = error


def start_clip_servers(harness: FrontHarness, monkeypatch: Any) -> list[Box]:
    """Replaces the two scripted servers by stand-ins that send video, on the harness's loop."""
    monkeypatch.setattr("lemonhall.standins.box.say", lambda **_: None)
    from random import Random

    rack, servers = Rack(0.0, Looks(harness.loop)), []
    for n in range(2):
        spec = BoxSpec(f"b{n}", 0, 0, 0, 1.0, 5000.0)
        servers.append(
            Box(harness.loop, Tap(), rack, spec, harness.settings.terms, (1.0, 5.0), 25.0, Random(n))
        )
        servers[-1].start(n + 1, cold=False)
    for scripted, server in zip(harness.scripted_servers, servers, strict=True):
        scripted.port = server.port
    harness.apply_server_list(9, full=True)
    return servers


def test_a_stock_player_decodes_through_a_change_of_rung_and_a_move(
    make_front: Callable[..., FrontHarness], monkeypatch: Any
) -> None:
    harness = make_front()
    servers = start_clip_servers(harness, monkeypatch)
    player = Player(f"rtsp://{harness.address[0]}:{harness.address[1]}/browse/film")
    player.start()
    harness.run_until(lambda: len(player.frames) >= FRAMES_PER_PHASE or player.error, 20)
    assert player.error is None
    request_id = harness.module.events_of(interface.NewSession)[0].id
    first_server = harness.module.events_of(interface.Playing)[0].server
    size_before = player.frames[-1][1:]
    harness.module.injected.append(interface.SetRung(request_id, 0))
    harness.daemon.bridge.call_module()
    # the stand-in's picture size depends on the rate
    harness.run_until(lambda: player.frames[-1][1:] != size_before or player.error)
    frame_count = len(player.frames)
    harness.run_until(lambda: len(player.frames) >= frame_count + FRAMES_PER_PHASE or player.error)
    servers[first_server - 1].fault("errors", True, 1.0)  # so that the move leads to the other server
    harness.module.injected.append(interface.Move(request_id))
    harness.daemon.bridge.call_module()
    harness.run_until(lambda: len(harness.module.events_of(interface.Playing)) == 2)
    frame_count = len(player.frames)
    harness.run_until(lambda: len(player.frames) >= frame_count + FRAMES_PER_PHASE or player.error)
    player.stop_requested = True
    harness.run_until(lambda: not player.is_alive())
    assert player.error is None
    assert harness.module.events_of(interface.Playing)[1].server != first_server
    timestamps = [frame[0] for frame in player.frames]
    assert timestamps == sorted(timestamps)
    harness.run_until(lambda: not harness.daemon.set_up_requests.open_requests)  # TEARDOWN has arrived
    for server in servers:
        server.die("test")
