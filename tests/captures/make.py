"""Makes the captures again: `python -m tests.captures.make`.

Days are played in the model, and each front is recorded. For each protection, the smallest capture is kept in
which the module without that protection decides differently.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

from lemonhall import decide, interface
from lemonhall.capture import CaptureRing, Replay, ReplayedCall, read_capture
from lemonhall.capture.capture_pb2 import Header
from lemonhall.capture.codec import pack
from lemonhall.capture.replay import decode_settings
from lemonhall.capture.ring import RecordedCall
from lemonhall.config.day import read_day
from lemonhall.model.played.world import World
from tests.captures.guards import GUARDS

HERE = Path(__file__).parent
DAYS = HERE.parents[1] / "examples" / "days"
PLAYED = [(DAYS / f"{n}.kdl", 9) for n in ("rolls", "bad", "sag", "dark-hall", "eid", "paid", "paid-short")]
PLAYED.append((HERE / "crowd.kdl", 12))


class Recording:
    """The decision module with a ring that records its calls. `mark`: the name of the day in the header."""

    def __init__(
        self, settings: interface.Settings, seed: int, rings: dict[int, list[CaptureRing]], mark: str
    ) -> None:
        self.module = decide.Front(settings, seed)
        header = Header(format=1, program="model", front=f"{mark}/front-{settings.index}", seed=seed)
        header.settings = pack([settings])
        self.ring = CaptureRing(header, 1e15, 1 << 30)
        rings.setdefault(settings.index, []).append(self.ring)
        self.count = 0

    def memory(self) -> interface.LearnedState:
        return self.module.memory()

    def handle(self, now: float, events: list[interface.Event]) -> list[interface.Action]:
        if not self.count:
            self.ring.begin_segment(0, b"", now, now)
        actions = self.module.handle(now, events)
        self.ring.append_call(RecordedCall(self.count, now, now, list(events), list(actions)))
        self.count += 1
        return actions


def captures() -> dict[str, bytes]:
    """One for each incarnation of each front of each day."""
    made = {}
    for path, seconds in PLAYED:
        name = path.stem
        day = read_day(path, ((f"day {name}", "length", f"(s){seconds}"),))
        rings: dict[int, list[CaptureRing]] = {}
        World(day, 5, lambda s, seed, rings=rings, name=name: Recording(s, seed, rings, name)).play()  # type: ignore
        for index, incarnations in rings.items():
            for incarnation, ring in enumerate(incarnations):
                made[f"{name}-{index}-{incarnation}"] = ring.dump()
    return made


def handed_over(data: bytes) -> bytes:
    """The second half of a capture, decided by a successor that took the sessions over."""
    replay = Replay()
    steps = [s for s in replay.run(read_capture(data).records) if isinstance(s, ReplayedCall)]
    assert replay.header
    settings = decode_settings(replay.header)
    predecessor, rings = decide.Front(settings, replay.header.seed), dict[int, list[CaptureRing]]()
    half = len(steps) // 2
    for step in steps[:half]:
        predecessor.handle(step.now, step.events)
    successor = Recording(settings, replay.header.seed + 1, rings, "relieved")
    playing = [s for s in predecessor.sessions.values() if s.playing and s.assigned_server]
    events: list[interface.Event] = [
        interface.ServerList(
            interface.ListKind.FULL, 1, tuple(server.entry for server in predecessor.server_list)
        ),
        predecessor.memory(),
        *(interface.HandedOver(s.request, s.assigned_server.entry.id) for s in playing if s.assigned_server),
        *(
            interface.Note(
                s.request.id, 0, s.assigned_server.entry.id, interface.NoteKind.RUNG, float(s.rung)
            )
            for s in playing
            if s.assigned_server
        ),
    ]
    successor.handle(predecessor.now, events)
    for step in steps[half:]:
        successor.handle(step.now, step.events)
    return successor.ring.dump()


def differs(data: bytes, make: Any) -> bool:
    return any(
        isinstance(s, ReplayedCall) and not s.same for s in Replay(make).run(read_capture(data).records)
    )


def main() -> None:
    made = captures()
    made["rolls-0-relieved"] = handed_over(made["rolls-0-0"])
    by_size = sorted(made.items(), key=lambda pair: len(pair[1]))
    for scenario, (without, _) in GUARDS.items():
        name, data = next(((n, d) for n, d in by_size if differs(d, without)), ("", b""))
        if not data:
            sys.exit(f"no capture shows {scenario}")
        (HERE / f"{scenario}.lhc").write_bytes(data)
        print(f"{scenario}: {name}, {len(data)} bytes")


if __name__ == "__main__":
    main()
