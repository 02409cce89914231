"""The same sequence of events reaches the decider from the simulator's wire and from the sockets."""

from __future__ import annotations

import struct
from typing import Any

from lemonhall import interface, wire
from tests.node.world import World


class EventRecorder:
    """Forwards to a decider and records the events that it receives."""

    def __init__(self, wrapped: Any) -> None:
        self.wrapped, self.events = wrapped, list[interface.Event]()

    def handle(self, now: float, events: list[interface.Event]) -> list[interface.Action]:
        self.events += events
        actions: list[interface.Action] = self.wrapped.handle(now, events)
        return actions


def record(code: int, *fields: object) -> bytes:
    return (bytes([code]) + wire._EVENTS[code].pack(*fields)[1:]).ljust(wire.EVENT_SIZE, b"\0")


def events_from_wire(ref: int, handed_over_ref: int, server: int) -> list[interface.Event]:
    """As the simulator writes them: a session that plays, one that fails over and ends, one given up."""
    session = (0xAA, 7, 1500.0, 0, 0.0, 4.0, 0, 1, 2.0, 0.0)
    records = [
        record(wire.HANDOVER, 0, handed_over_ref, 1, 0, 0xAA, 7, 1500.0, 0.0, 0.0, 4.0, 2.0, 0, server),
        record(wire.NOTE, 0, handed_over_ref, 0, server, interface.NoteKind.RUNG, 1.0),
        record(wire.NEW_REQUEST, 0, ref, *session),
        record(wire.REPORT_BACK, 0, ref, 0, 0, server, 5.0, 503, 2, 1.25, 0.5, 0.0, 0.0),
        record(wire.HEAD_RECEIVED, 0, ref, 1, server, 5.0),
        record(wire.NOTE, 0, ref, 1, server, interface.NoteKind.LINK, 0.25),
        record(wire.NOTE, 0, ref, 1, server, interface.NoteKind.SHARE, 1.0),
        record(wire.REPORT_BACK, 0, ref, 1, 1, server, 5.0, 200, 0, 0.0, 0.0, 0.0, 0.0),
        record(wire.NEW_REQUEST, 0, ref + 1, *session),
        record(wire.ABANDONED, 0, ref + 1),
    ]
    size = wire.HEADER.size + len(records) * wire.EVENT_SIZE
    frame = wire.HEADER.pack(0.0, size, len(records), 1) + b"".join(records)
    return [event for _, event in wire.decode_batch(frame, {}).events]  # type: ignore[misc]


def events_from_sockets(world: World) -> tuple[list[interface.Event], int, int]:
    recorder = EventRecorder(world.node.bridge.decider)
    world.node.bridge.decider = recorder  # type: ignore[assignment]
    server = world.servers[0]
    handed_over_ref = world.request_set_up(
        extras=f"home:0;copies:4;top:2;viewer:00000000000000aa;at:{server.name}", left="1500"
    )["ref"]
    world.run_until(lambda: server.connections)
    server.connections[0].send_data({"t": "tell", "ref": handed_over_ref, "f": {"note": "r", "value": "1"}})
    world.pump()
    ref = world.request_set_up()["ref"]
    first, connection, _ = world.wait_for_set_up(ref)
    connection.send_data({"t": "down", "ref": ref, "f": {"load": "x0:1.25;x1:0.5"}, "c": 34})
    second = next(other for other in world.servers if other is not first)
    world.run_until(lambda: second.received_messages("new"))
    connection = second.received_messages("new")[0][0]
    connection.send_data({"t": "up", "ref": ref, "f": {}, "d": "v=0"})
    world.run_until(lambda: world.messages_for(ref, "up"))
    for note, value in (("l", "0.25"), ("d", "1.0")):
        connection.send_data({"t": "tell", "ref": ref, "f": {"note": note, "value": value}})
    connection.send_data({"t": "down", "ref": ref, "f": {}, "c": 16})
    world.run_until(lambda: world.messages_for(ref, "down"))
    given_up_ref = world.request_set_up()["ref"]
    world.wait_for_set_up(given_up_ref)
    world.viewer.send_data({"t": "down", "ref": given_up_ref, "f": {}, "c": 16})
    world.run_until(lambda: any(isinstance(event, interface.ViewerGone) for event in recorder.events))
    numbers = [event.id for event in recorder.events if isinstance(event, interface.NewSession)]
    handed_over = next(
        event.session.id for event in recorder.events if isinstance(event, interface.HandedOver)
    )
    return recorder.events, numbers[0], handed_over


def normalize(event: Any, names: dict[int, str]) -> Any:
    """Without the values that differ by nature: durations, randomly chosen servers, session numbers."""
    if isinstance(event, interface.HandedOver):
        return ("handed over", normalize(event.session, names))
    fields: dict[str, Any] = {"what": type(event).__name__}
    for name in type(event).__dataclass_fields__:
        value = getattr(event, name)
        if name == "id":
            fields[name] = names.get(value, value)
        elif name == "left_ms":
            fields[name] = abs(value - 1500.0) < 50
        elif name not in ("took_ms", "server"):
            fields[name] = value
    return fields


def test_sockets_and_simulator_produce_the_same_events(world: World) -> None:
    from_sockets, ref, handed_over = events_from_sockets(world)
    kinds = (
        interface.HandedOver,
        interface.NewSession,
        interface.Playing,
        interface.Note,
        interface.AttemptEnded,
        interface.ViewerGone,
    )
    names = {ref: "asked", ref + 1: "gone", handed_over: "held"}
    events = [normalize(event, names) for event in from_sockets if isinstance(event, kinds)]
    from_wire = events_from_wire(100, 50, 1)
    expected = [normalize(event, {100: "asked", 101: "gone", 50: "held"}) for event in from_wire]
    # The end of the given-up attempt follows; the simulator reports it too, but at another time.
    assert events[: len(expected)] == expected
    rest = events[len(expected) :]
    assert [(event["what"], event["outcome"], event["closed"]) for event in rest] == [
        ("AttemptEnded", interface.Outcome.CANCELLED, True)
    ]


def test_the_comparison_detects_a_different_value(world: World) -> None:
    event = interface.Note(1, 0, 5, interface.NoteKind.LINK, 0.25)
    assert normalize(event, {1: "a"}) != normalize(
        interface.Note(1, 0, 5, interface.NoteKind.LINK, 0.5), {1: "a"}
    )
    assert normalize(event, {1: "a"}) == normalize(
        interface.Note(1, 0, 9, interface.NoteKind.LINK, 0.25), {1: "a"}
    )
    assert struct.calcsize(">f") == 4
