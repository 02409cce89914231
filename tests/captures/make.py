"""Makes the captures anew: `python -m tests.captures.make`. Days are played in the model, each front with a
ring.

For each guard the smallest capture in which the module without it decides otherwise is kept.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

from lemonhall import decide
from lemonhall import interface as i
from lemonhall.capture import Replay, Ring, Step, read_capture
from lemonhall.capture.capture_pb2 import Header
from lemonhall.capture.replay import settings_of
from lemonhall.capture.ring import Told
from lemonhall.capture.shapes import pack
from lemonhall.config.day import read_day
from lemonhall.model.played.world import World
from tests.captures.guards import GUARDS

HERE = Path(__file__).parent
DAYS = HERE.parents[1] / "examples" / "days"
PLAYED = [(DAYS / f"{n}.kdl", 9) for n in ("rolls", "bad", "sag", "dark-hall", "eid", "paid", "paid-short")]
PLAYED.append((HERE / "crowd.kdl", 12))


class Recording:
    """The module with a ring round it. `mark`: what the capture calls itself."""

    def __init__(self, settings: i.Settings, seed: int, rings: dict[int, list[Ring]], mark: str) -> None:
        self.module = decide.Front(settings, seed)
        header = Header(format=1, program="model", front=f"{mark}/front-{settings.index}", seed=seed)
        header.settings = pack([settings])
        self.ring = Ring(header, 1e15, 1 << 30)
        rings.setdefault(settings.index, []).append(self.ring)
        self.count = 0

    def memory(self) -> i.LearnedState:
        return self.module.memory()

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        if not self.count:
            self.ring.begin(0, b"", now, now)
        actions = self.module.handle(now, events)
        self.ring.call(Told(self.count, now, now, list(events), list(actions)))
        self.count += 1
        return actions


def captures() -> dict[str, bytes]:
    """Of each front, and of each of its lives, of each day."""
    made = {}
    for path, seconds in PLAYED:
        name = path.stem
        day = read_day(path, ((f"day {name}", "length", f"(s){seconds}"),))
        rings: dict[int, list[Ring]] = {}
        World(day, 5, lambda s, seed, rings=rings, name=name: Recording(s, seed, rings, name)).play()  # type: ignore
        for index, lives in rings.items():
            for life, ring in enumerate(lives):
                made[f"{name}-{index}-{life}"] = ring.saved()
    return made


def relieved(data: bytes) -> bytes:
    """The second half of a capture by a successor that is told what plays, as at a change of guard."""
    replay = Replay()
    steps = [s for s in replay.run(read_capture(data).records) if isinstance(s, Step)]
    assert replay.header
    settings = settings_of(replay.header)
    old, rings = decide.Front(settings, replay.header.seed), dict[int, list[Ring]]()
    half = len(steps) // 2
    for step in steps[:half]:
        old.handle(step.now, step.events)
    new = Recording(settings, replay.header.seed + 1, rings, "relieved")
    playing = [s for s in old.sessions.values() if s.playing and s.box]
    told: list[i.Event] = [
        i.ServerList(i.ListKind.FULL, 1, tuple(b.told for b in old.order)),
        old.memory(),
        *(i.HandedOver(s.told, s.box.told.id) for s in playing if s.box),
        *(i.Note(s.told.id, 0, s.box.told.id, i.NoteKind.RUNG, float(s.rung)) for s in playing if s.box),
    ]
    new.handle(old.now, told)
    for step in steps[half:]:
        new.handle(step.now, step.events)
    return new.ring.saved()


def differs(data: bytes, make: Any) -> bool:
    return any(isinstance(s, Step) and not s.same for s in Replay(make).run(read_capture(data).records))


def main() -> None:
    made = captures()
    made["rolls-0-relieved"] = relieved(made["rolls-0-0"])
    held = sorted(made.items(), key=lambda pair: len(pair[1]))
    for story, (without, _) in GUARDS.items():
        name, data = next(((n, d) for n, d in held if differs(d, without)), ("", b""))
        if not data:
            sys.exit(f"no capture shows {story}")
        (HERE / f"{story}.lhc").write_bytes(data)
        print(f"{story}: {name}, {len(data)} bytes")


if __name__ == "__main__":
    main()
