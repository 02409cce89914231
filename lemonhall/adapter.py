"""Runs a decision module for each front: events on standard input, actions on standard output."""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from lemonhall import wire
from lemonhall.decide import Front
from lemonhall.interface import Action, Event, Server


def _bug(error: Exception) -> wire.Bug:
    return wire.Bug(f"{type(error).__name__}: {error}")


def read_frame(source: BinaryIO) -> bytes | None:
    """The next frame, or None at the end of the input. Raises `WireError` if it ends within a frame."""
    header = source.read(wire.HEADER.size)
    if not header:
        return None
    if len(header) < wire.HEADER.size:
        raise wire.WireError(f"input ends within a frame header, after {len(header)} bytes")
    length = wire.frame_length(header)
    body = source.read(length - len(header))
    if len(header) + len(body) < length:
        raise wire.WireError(f"input ends within a frame: {len(header) + len(body)} of {length} bytes")
    return header + body


class Host:
    """The instances of this process and the server lists that their events refer to."""

    def __init__(self) -> None:
        self.fronts: dict[int, Front] = {}
        self.server_lists: dict[int, tuple[Server, ...]] = {}

    def answer(self, frame: bytes) -> bytes:
        """The reply to a frame of events. An exception in an instance is sent as an action of it.

        Raises `WireError`.
        """
        batch = wire.decode_batch(frame, self.server_lists)
        pending: dict[int, list[Event]] = {}
        actions: list[tuple[int, Action | wire.Bug]] = []
        for instance, event in batch.events:
            if isinstance(event, wire.Born):
                pending[instance] = []
                try:
                    self.fronts[instance] = Front(event.settings, event.seed)
                except Exception as error:
                    traceback.print_exc()
                    actions.append((instance, _bug(error)))
                    pending.pop(instance)
            elif isinstance(event, wire.Retired):
                pending.pop(instance, None)
                self.fronts.pop(instance, None)
            elif instance in self.fronts:
                pending.setdefault(instance, []).append(event)
            else:
                raise wire.WireError(f"batch {batch.number}: no instance {instance} was started")
        for instance, events in pending.items():
            try:
                decided = self.fronts[instance].handle(batch.now, events)
            except Exception as error:
                traceback.print_exc()
                actions.append((instance, _bug(error)))
            else:
                actions.extend((instance, action) for action in decided)
        return wire.encode_reply(batch.number, actions)


def main() -> int:
    """Answers frames until the input ends. Returns the exit code: 2 for input that cannot be read."""
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    host = Host()
    try:
        while (frame := read_frame(source)) is not None:
            sink.write(host.answer(frame))
            sink.flush()
    except wire.WireError as error:
        print(f"lemonhall.adapter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
