"""One story, told to the module by the simulator's wire and by the sockets: the same events, same meaning."""

from __future__ import annotations

import struct
from typing import Any

from lemonhall import interface as i
from lemonhall import wire
from tests.node.world import World


class Listener:
    """Stands before the module and keeps what it was told."""

    def __init__(self, module: Any) -> None:
        self.module, self.events = module, list[i.Event]()

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        self.events += events
        made: list[i.Action] = self.module.handle(now, events)
        return made


def record(code: int, *fields: object) -> bytes:
    return (bytes([code]) + wire._EVENTS[code].pack(*fields)[1:]).ljust(wire.EVENT_SIZE, b"\0")


def told_by_the_wire(ref: int, held: int, server: int) -> list[i.Event]:
    """As the simulator writes it: one that plays; one that fails over, plays and ends; one given up."""
    session = (0xAA, 7, 1500.0, 0, 0.0, 4.0, 0, 1, 2.0, 0.0)
    records = [
        record(wire.HANDOVER, 0, held, 1, 0, 0xAA, 7, 1500.0, 0.0, 0.0, 4.0, 2.0, 0, server),
        record(wire.NOTE, 0, held, 0, server, i.NoteKind.RUNG, 1.0),
        record(wire.NEW_REQUEST, 0, ref, *session),
        record(wire.REPORT_BACK, 0, ref, 0, 0, server, 5.0, 503, 2, 1.25, 0.5, 0.0, 0.0),
        record(wire.HEAD_RECEIVED, 0, ref, 1, server, 5.0),
        record(wire.NOTE, 0, ref, 1, server, i.NoteKind.LINK, 0.25),
        record(wire.NOTE, 0, ref, 1, server, i.NoteKind.SHARE, 1.0),
        record(wire.REPORT_BACK, 0, ref, 1, 1, server, 5.0, 200, 0, 0.0, 0.0, 0.0, 0.0),
        record(wire.NEW_REQUEST, 0, ref + 1, *session),
        record(wire.ABANDONED, 0, ref + 1),
    ]
    size = wire.HEADER.size + len(records) * wire.EVENT_SIZE
    frame = wire.HEADER.pack(0.0, size, len(records), 1) + b"".join(records)
    return [event for _, event in wire.decode_batch(frame, {}).events]  # type: ignore[misc]


def told_by_the_sockets(world: World) -> tuple[list[i.Event], int, int]:
    heard = Listener(world.node.bridge.decider)
    world.node.bridge.decider = heard  # type: ignore[assignment]
    at = world.servers[0]
    held = world.ask(extras=f"home:0;copies:4;top:2;viewer:00000000000000aa;at:{at.name}", left="1500")["ref"]
    world.until(lambda: at.links)
    at.links[0].say({"t": "tell", "ref": held, "f": {"note": "r", "value": "1"}})
    world.pump()
    ref = world.ask()["ref"]
    first, link, _ = world.set_up(ref)
    link.say({"t": "down", "ref": ref, "f": {"load": "x0:1.25;x1:0.5"}, "c": 34})
    second = next(s for s in world.servers if s is not first)
    world.until(lambda: second.asked("new"))
    link = second.asked("new")[0][0]
    link.say({"t": "up", "ref": ref, "f": {}, "d": "v=0"})
    world.until(lambda: world.told_of(ref, "up"))
    for note, value in (("l", "0.25"), ("d", "1.0")):
        link.say({"t": "tell", "ref": ref, "f": {"note": note, "value": value}})
    link.say({"t": "down", "ref": ref, "f": {}, "c": 16})
    world.until(lambda: world.told_of(ref, "down"))
    gone = world.ask()["ref"]
    world.set_up(gone)
    world.viewer.say({"t": "down", "ref": gone, "f": {}, "c": 16})
    world.until(lambda: any(isinstance(e, i.ViewerGone) for e in heard.events))
    numbers = [e.id for e in heard.events if isinstance(e, i.NewSession)]
    handed = next(e.session.id for e in heard.events if isinstance(e, i.HandedOver))
    return heard.events, numbers[0], handed


def plain(event: Any, names: dict[int, str]) -> Any:
    """Without what differs by nature: times taken, servers drawn by chance, numbers of ids."""
    if isinstance(event, i.HandedOver):
        return ("handed over", plain(event.session, names))
    made: dict[str, Any] = {"what": type(event).__name__}
    for name in type(event).__dataclass_fields__:
        value = getattr(event, name)
        if name == "id":
            made[name] = names.get(value, value)
        elif name == "left_ms":
            made[name] = abs(value - 1500.0) < 50
        elif name not in ("took_ms", "server"):
            made[name] = value
    return made


def test_sockets_and_simulator_tell_the_module_the_same_story(world: World) -> None:
    by_sockets, ref, held = told_by_the_sockets(world)
    kinds = (i.HandedOver, i.NewSession, i.Playing, i.Note, i.AttemptEnded, i.ViewerGone)
    names = {ref: "asked", ref + 1: "gone", held: "held"}
    got = [plain(e, names) for e in by_sockets if isinstance(e, kinds)]
    by_wire = told_by_the_wire(100, 50, 1)
    wanted = [plain(e, {100: "asked", 101: "gone", 50: "held"}) for e in by_wire]
    # The end of an attempt that was given up follows: the simulator reports it too, in its own time.
    assert got[: len(wanted)] == wanted
    rest = got[len(wanted) :]
    assert [(e["what"], e["outcome"], e["closed"]) for e in rest] == [
        ("AttemptEnded", i.Outcome.CANCELLED, True)
    ]


def test_the_comparison_sees_another_figure(world: World) -> None:
    event = i.Note(1, 0, 5, i.NoteKind.LINK, 0.25)
    assert plain(event, {1: "a"}) != plain(i.Note(1, 0, 5, i.NoteKind.LINK, 0.5), {1: "a"})
    assert plain(event, {1: "a"}) == plain(i.Note(1, 0, 9, i.NoteKind.LINK, 0.25), {1: "a"})
    assert struct.calcsize(">f") == 4
