"""The seam's form against others that could carry the same message: writing, reading; ratios in one run."""

from __future__ import annotations

import json
import pickle
import statistics
import sys
import timeit
from collections.abc import Callable
from dataclasses import asdict, fields
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[1]))

from google.protobuf import descriptor_pb2, descriptor_pool, message_factory  # noqa: E402

from lemonhall.ipc import Message, MessageDecoder, PlaybackStarted, SetUpRequested, encode  # noqa: E402

KINDS = {"i": 3, "u": 4, "d": 1, "?": 8, "s": 9, "f": 1}  # protobuf's types
ROUNDS, EACH = 5, 3_000


def protobuf_of(kind: type[Message]) -> Any:
    """The same fields as a protobuf message (pairs, which are empty here, left out)."""
    file = descriptor_pb2.FileDescriptorProto(name=f"{kind.__name__}.proto", package="bench", syntax="proto3")
    made = file.message_type.add(name=kind.__name__)
    for n, (field, code) in enumerate(zip(fields(kind), kind.FIELD_CODES, strict=True), 1):  # type: ignore[arg-type]
        if code in KINDS:
            made.field.add(name=field.name, number=n, type=KINDS[code], label=3 if code == "f" else 1)
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return message_factory.GetMessageClass(pool.FindMessageTypeByName(f"bench.{kind.__name__}"))


def main() -> None:
    viewer = (0x5255D2B1A7E3F00D, 2, 0, 0, 0)
    asked = SetUpRequested(
        1 << 32, 1, 0, 0x6BE2E37A9C1F0A11, 0, 4, *viewer, 123456.75, False, False, False,
        "/browse/", (), "", "", "5e1f00d5e1f00d55", "/browse/title-17", "127.0.0.1", "",
    )  # fmt: skip
    for message in (asked, PlaybackStarted(1 << 32, 0, 7, 12.5, (0.25, 0.5))):
        kind = type(message)
        proto = protobuf_of(kind)
        names = {f.name for f in proto.DESCRIPTOR.fields}
        values = {n: v for n, v in asdict(message).items() if n in names}  # type: ignore[call-overload]

        def read_proto(data: bytes, proto: Any = proto, names: Any = tuple(names)) -> list[Any]:
            found = proto.FromString(data)
            return [getattr(found, n) for n in names]

        ways: dict[str, tuple[Callable[[], bytes], Callable[[bytes], Any]]] = {
            "seam": (lambda m=message: encode(m), lambda data: MessageDecoder().feed(data)),  # type: ignore[misc]
            "protobuf": (lambda p=proto, v=values: p(**v).SerializeToString(), read_proto),  # type: ignore[misc]
            "pickle": (lambda m=message: pickle.dumps(m, 5), pickle.loads),  # type: ignore[misc]
            "json": (lambda m=message: json.dumps(asdict(m)).encode(), json.loads),  # type: ignore
        }
        timed: dict[str, list[tuple[float, float]]] = {name: [] for name in ways}
        for _ in range(ROUNDS):
            for name, (write, read) in ways.items():
                data = write()
                timed[name].append(
                    (
                        timeit.timeit(write, number=EACH),
                        timeit.timeit(lambda r=read, d=data: r(d), number=EACH),
                    )
                )
        for name, (write, _) in ways.items():
            pairs = list(zip(timed[name], timed["seam"], strict=True))
            shown = {
                "message": kind.__name__,
                "form": name,
                "bytes": len(write()),
                "write_over_seam": round(statistics.median(a[0] / b[0] for a, b in pairs), 2),
                "read_over_seam": round(statistics.median(a[1] / b[1] for a, b in pairs), 2),
            }
            print(json.dumps(shown), flush=True)


if __name__ == "__main__":
    main()
