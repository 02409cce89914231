"""FFmpeg's own RTSP client (PyAV) plays through the front, before and after a change of rung and a move."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

import av

from lemonhall import interface as i
from lemonhall.config.day import BoxSpec
from lemonhall.standins.arrival import Looks
from lemonhall.standins.box import Box, Rack
from lemonhall.standins.tap import Tap
from tests.front.harness import FrontHarness

WANTED = 12  # frames decoded in each part


class Player(threading.Thread):
    """Decodes in a thread of its own; the loop under test runs in the main one."""

    def __init__(self, url: str) -> None:
        super().__init__(daemon=True)
        self.url, self.stop = url, False
        self.frames: list[tuple[int, int, int]] = []  # pts, width, height
        self.error: Exception | None = None

    def run(self) -> None:
        try:
            options = {"rtsp_transport": "tcp", "stimeout": "5000000"}
            with av.open(self.url, options=options, timeout=8.0) as container:
                for frame in container.decode(video=0):
                    self.frames.append((int(frame.pts or 0), frame.width, frame.height))
                    if self.stop:
                        return
        except Exception as error:
            self.error = error


def boxes(w: FrontHarness, monkeypatch: Any) -> list[Box]:
    """Two of our clip boxes on the world's loop in place of the scripted ones."""
    monkeypatch.setattr("lemonhall.standins.box.say", lambda **_: None)
    from random import Random

    rack, made = Rack(0.0, Looks(w.loop)), []
    for n in range(2):
        spec = BoxSpec(f"b{n}", 0, 0, 0, 1.0, 5000.0)
        made.append(Box(w.loop, Tap(), rack, spec, w.settings.terms, (1.0, 5.0), 25.0, Random(n)))
        made[-1].start(n + 1, cold=False)
    for scripted, box in zip(w.scripted_servers, made, strict=True):
        scripted.port = box.port
    w.apply_server_list(9, full=True)
    return made


def test_a_stock_player_decodes_through_a_change_of_rung_and_a_move(
    make_front: Callable[..., FrontHarness], monkeypatch: Any
) -> None:
    w = make_front()
    real = boxes(w, monkeypatch)
    player = Player(f"rtsp://{w.address[0]}:{w.address[1]}/browse/film")
    player.start()
    w.run_until(lambda: len(player.frames) >= WANTED or player.error, 20)
    assert player.error is None
    ask = w.module.events_of(i.NewSession)[0].id
    first = w.module.events_of(i.Playing)[0].server
    small = player.frames[-1][1:]
    w.module.injected.append(i.SetRung(ask, 0))
    w.daemon.bridge.call_module()
    w.run_until(
        lambda: player.frames[-1][1:] != small or player.error
    )  # the picture's size goes with its rate
    have = len(player.frames)
    w.run_until(lambda: len(player.frames) >= have + WANTED or player.error)
    real[first - 1].fault("errors", True, 1.0)  # so that the move goes to the other
    w.module.injected.append(i.Move(ask))
    w.daemon.bridge.call_module()
    w.run_until(lambda: len(w.module.events_of(i.Playing)) == 2)
    have = len(player.frames)
    w.run_until(lambda: len(player.frames) >= have + WANTED or player.error)
    player.stop = True
    w.run_until(lambda: not player.is_alive())
    assert player.error is None
    assert w.module.events_of(i.Playing)[1].server != first
    stamps = [f[0] for f in player.frames]
    assert stamps == sorted(stamps)
    w.run_until(lambda: not w.daemon.set_up_requests.open_requests)  # its TEARDOWN has come
    for box in real:
        box.die("test")
