"""Captures: encoding, reading of damaged files, and replay to the same decisions in any process."""

from __future__ import annotations

import math
import subprocess
import sys
from collections import deque
from dataclasses import fields, is_dataclass, replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lemonhall import decide, interface
from lemonhall.capture import (
    CaptureRing,
    Replay,
    ReplayedCall,
    ReplayError,
    describe_session,
    differing_sessions,
    read_capture,
    render_timeline,
)
from lemonhall.capture.capture_pb2 import Header
from lemonhall.capture.codec import NUMBER_BY_CLASS, CodecError, field_codecs, pack, unpack
from lemonhall.capture.report import FrontCapture, render_timelines
from lemonhall.capture.ring import RecordedCall
from lemonhall.capture.snapshot import (
    RENAMED_ATTRIBUTES,
    RENAMED_CLASSES,
    RENAMED_HANDLERS,
    SnapshotError,
    restore_module,
    serialize_module,
)
from tests.conftest import make_servers, make_settings
from tests.test_front import World

INTS = st.integers(-(1 << 63), (1 << 63) - 1)
FLOATS = st.floats(allow_nan=False)
SHARED = {"settings": make_settings()}
GENERATED_CLASSES = [c for c in NUMBER_BY_CLASS if c is not interface.Settings]
for cls in (interface.SessionClass, interface.Tenant):
    GENERATED_CLASSES.remove(cls)
st.register_type_strategy(int, INTS)
st.register_type_strategy(float, FLOATS)


def with_unsigned_ids(value: Any) -> Any:
    """Makes titles and viewer ids, which are unsigned 64-bit integers, non-negative."""
    names = [name for name in ("title", "viewer") if hasattr(value, name)]
    changed = replace(value, **{name: abs(getattr(value, name)) for name in names}) if names else value
    return (
        replace(changed, session=with_unsigned_ids(changed.session))
        if isinstance(changed, interface.HandedOver)
        else changed
    )


@settings(max_examples=200, deadline=None)
@given(st.lists(st.one_of([st.from_type(c) for c in GENERATED_CLASSES]).map(with_unsigned_ids), max_size=6))
def test_decoded_objects_equal_the_encoded_ones(values: list[Any]) -> None:
    assert unpack(pack(values)) == values


def test_settings_unsigned_ids_infinity_and_nan_are_preserved() -> None:
    new_session = interface.NewSession(1, 0, (1 << 64) - 1, (1 << 64) - 2, 5.0, 2, 0, 4)
    note = interface.Note(1, 0, 3, 1, math.inf)
    assert unpack(pack([SHARED["settings"], new_session, note])) == [SHARED["settings"], new_session, note]
    assert math.isnan(unpack(pack([replace(note, value=math.nan)]))[0].value)


def test_every_event_and_action_of_the_interface_has_an_encoding() -> None:
    from typing import get_args

    for cls in (*get_args(interface.Event), *get_args(interface.Action), interface.Settings):
        assert cls in NUMBER_BY_CLASS and field_codecs(cls) is not None


@settings(max_examples=100, deadline=None)
@given(st.binary(max_size=60))
def test_random_bytes_raise_no_other_error(data: bytes) -> None:
    try:
        unpack(data)
    except CodecError:
        return


def header(module_settings: interface.Settings, seed: int = 5) -> Header:
    return Header(format=1, program="test", front="f", settings=pack([module_settings]), seed=seed)


class RecordedRun:
    """A random run of the module's own tests (`tests/test_front.py`), recorded by a ring.

    `snapshots` is the number of calls between snapshots, 0 for none.
    """

    def __init__(self, seed: int, steps: int, snapshots: int = 0, keep: float = 1e12) -> None:
        world = self.world = World(seed, make_settings(report_fields=("x0", "x1")))
        front = world.front
        self.ring = CaptureRing(header(front.settings, seed), keep, 1 << 30)
        self.count = 0
        original_handle = front.handle

        def handle(now: float, events: list[interface.Event]) -> list[interface.Action]:
            if self.count == 0:
                self.ring.begin_segment(0, b"", now, now)
            elif snapshots and self.count % snapshots == 0:
                del front.handle  # the snapshot must not hold this wrapper
                self.ring.begin_segment(self.count, serialize_module(front), now, now)
                front.handle = handle  # type: ignore[method-assign]
            actions = original_handle(now, events)
            self.ring.append_call(RecordedCall(self.count, now, now, list(events), list(actions)))
            self.count += 1
            return actions

        front.handle = handle  # type: ignore[method-assign]
        world.run(steps)
        self.data = self.ring.dump()


def replay_calls(data: bytes, **options: Any) -> list[ReplayedCall]:
    return [s for s in Replay(**options).run(read_capture(data).records) if isinstance(s, ReplayedCall)]


@pytest.fixture(scope="module")
def recorded_run() -> RecordedRun:
    return RecordedRun(3, 800)


def test_replay_repeats_the_decisions(recorded_run: RecordedRun) -> None:
    steps = replay_calls(recorded_run.data)
    assert len(steps) == recorded_run.count and all(s.same for s in steps)
    assert sum(len(s.decided) for s in steps) > 500


def test_changed_decision_is_reported_at_its_call(recorded_run: RecordedRun) -> None:
    class ReversedPicks(decide.Front):
        def pick_servers(self, session: decide.Session) -> list[decide.MediaServer]:
            return super().pick_servers(session)[::-1]

    steps = replay_calls(recorded_run.data, create_module=ReversedPicks)
    differing = [s for s in steps if not s.same]
    assert differing and any(isinstance(a, interface.SetUp) for a in differing[0].recorded)


def test_reasons_are_collected_without_changing_decisions(recorded_run: RecordedRun) -> None:
    steps = replay_calls(recorded_run.data, with_reasons=True)
    assert all(s.same for s in steps)
    codes = {r.code for s in steps for r in s.reasons}
    assert {
        interface.ReasonCode.CANDIDATE,
        interface.ReasonCode.POOL,
        interface.ReasonCode.GIVEN_UP,
        interface.ReasonCode.NO_SEAT,
    } <= codes


def test_replay_starts_at_a_snapshot_when_the_start_was_dropped() -> None:
    recorded = RecordedRun(4, 600, snapshots=150, keep=20_000.0)
    steps = replay_calls(recorded.data)
    assert 0 < len(steps) < recorded.count and steps[0].number > 0
    assert steps[-1].number == recorded.count - 1
    assert all(s.same for s in steps)


def attribute_names(front: decide.Front) -> dict[type, set[str]]:
    """Returns the attribute names of all reachable objects of the module and the interface, by class."""
    found: dict[type, set[str]] = {}
    seen, pending = set[int](), list[Any]([front])
    while pending:
        value = pending.pop()
        if id(value) in seen:
            continue
        seen.add(id(value))
        if isinstance(value, dict):
            pending += [*value, *value.values()]
        elif isinstance(value, list | tuple | deque):
            pending += value
        elif type(value).__module__ in ("lemonhall.decide", "lemonhall.interface") and hasattr(
            value, "__dict__"
        ):
            found.setdefault(type(value), set()).update(vars(value))
            pending += vars(value).values()
    return found


def test_capture_written_before_names_were_changed_is_replayed(recorded_run: RecordedRun) -> None:
    """A snapshot is a pickle that holds names of the code and must stay readable when these are changed.

    The capture was written by the version before the first change of names: a header, a snapshot of a front
    with sessions, retries, quotas and an ejected server, and the calls that followed.
    """
    records = read_capture((Path(__file__).parent / "before_renames.lhc").read_bytes()).records
    (snapshot,) = [r.snapshot for r in records if r.WhichOneof("what") == "snapshot"]
    assert b"Advised" in snapshot.module and b"may_tell_peers" in snapshot.module
    steps = [s for s in Replay().run(records) if isinstance(s, ReplayedCall)]
    assert len(steps) > 30 and steps[0].number == snapshot.number and all(s.same for s in steps)
    assert sum(len(s.decided) for s in steps) > 30
    rewritten = serialize_module(restore_module(snapshot.module))
    assert b"Advised" not in rewritten and b"may_tell_peers" not in rewritten
    replay = Replay()
    assert all(
        s.same for s in replay.run(read_capture(recorded_run.data).records) if isinstance(s, ReplayedCall)
    )
    present, loaded = attribute_names(replay.module), attribute_names(restore_module(snapshot.module))
    for cls, renamed in RENAMED_ATTRIBUTES.items():
        assert not present.get(cls, set()) & set(renamed), "an earlier name has a new meaning"
    for cls in loaded:
        assert loaded[cls] == ({f.name for f in fields(cls)} if is_dataclass(cls) else present[cls])
    assert {
        decide.Front,
        decide.MediaServer,
        decide.Link,
        decide.DemandCurve,
        decide.Session,
        interface.Settings,
    } <= set(loaded)


def test_no_earlier_name_of_a_snapshot_has_a_new_meaning() -> None:
    front = restore_module(serialize_module(decide.Front(make_settings(), 1)))
    for (module, earlier), present in RENAMED_CLASSES.items():
        assert not hasattr(sys.modules[module], earlier) and hasattr(sys.modules[module], present)
    for earlier, present in RENAMED_HANDLERS.items():
        assert not hasattr(front, earlier) and hasattr(front, present)
    for cls, renamed in RENAMED_ATTRIBUTES.items():
        if is_dataclass(cls):
            assert not {f.name for f in fields(cls)} & set(renamed)
            assert {f.name for f in fields(cls)} >= set(renamed.values())


def test_snapshot_of_anything_else_is_refused() -> None:
    import os
    import pickle

    class CallsFunction:
        def __reduce__(self) -> Any:
            return os.getcwd, ()

    truncated = serialize_module(decide.Front(make_settings(), 1))[:-9]
    for data in (pickle.dumps(CallsFunction()), pickle.dumps([1]), b"junk", truncated):
        with pytest.raises(SnapshotError):
            restore_module(data)


def test_truncated_capture_is_read_up_to_the_last_intact_block(recorded_run: RecordedRun) -> None:
    whole = len(read_capture(recorded_run.data).records)
    size = len(recorded_run.data)
    for cut in range(1, size, max(1, size // 60)):
        capture = read_capture(recorded_run.data[:cut])
        assert len(capture.records) < whole
        assert capture.unreadable or not capture.blocks or sum(len(b.data) for b in capture.blocks) == cut


def test_flipped_bit_loses_one_block_and_is_reported(recorded_run: RecordedRun) -> None:
    whole = read_capture(recorded_run.data)
    assert len(whole.blocks) > 5 and not whole.unreadable
    for at in range(40, len(recorded_run.data), len(recorded_run.data) // 50):
        data = bytearray(recorded_run.data)
        data[at] ^= 0x10
        capture = read_capture(bytes(data))
        assert capture.unreadable and len(capture.blocks) == len(whole.blocks) - 1
    data = bytearray(recorded_run.data)
    data[len(whole.blocks[0].data) + len(whole.blocks[1].data) + 60] ^= 1
    with pytest.raises(ReplayError, match="are missing"):
        replay_calls(bytes(data))


def test_newer_version_is_reported(recorded_run: RecordedRun) -> None:
    data = bytearray(recorded_run.data)
    data[4] = 9
    assert "version 9; known is up to 1" in read_capture(bytes(data)).unreadable[0].reason


def test_replay_continues_after_a_gap_at_the_next_snapshot() -> None:
    recorded = RecordedRun(5, 300)
    ring = recorded.ring
    front = recorded.world.front
    del front.handle
    ring.append_gap(7, 1.0, 2.0, "too much waited")
    ring.begin_segment(recorded.count + 7, serialize_module(front), front.now, 0.0)
    actions = front.handle(front.now + 500.0, [interface.TimerDue(0)])
    ring.append_call(RecordedCall(recorded.count + 7, front.now, 0.0, [interface.TimerDue(0)], actions))
    entries = list(Replay().run(read_capture(ring.dump()).records))
    steps = [s for s in entries if isinstance(s, ReplayedCall)]
    assert len(steps) == recorded.count + 1 and all(s.same for s in steps)
    assert any(not isinstance(s, ReplayedCall) and s.record.gap.calls == 7 for s in entries)


def test_differences_under_other_settings_are_listed_by_session(recorded_run: RecordedRun) -> None:
    one_attempt = replace(recorded_run.world.settings, max_attempts=1)
    steps = replay_calls(recorded_run.data, settings=one_attempt)
    found = differing_sessions(steps)
    assert found and all("then" in text and "now" in text for _, text in found)


def test_session_is_described_and_the_run_drawn(recorded_run: RecordedRun) -> None:
    steps = list(Replay(with_reasons=True).run(read_capture(recorded_run.data).records))
    played = next(
        e.id
        for s in steps
        if isinstance(s, ReplayedCall)
        for e in s.events
        if isinstance(e, interface.Playing)
    )
    lines = describe_session(steps, played, 0.0)
    text = "\n".join(lines)
    assert "asked for" in text and "because server" in text and "> set up at server" in text
    assert "plays at server" in text
    page = render_timeline(steps, "a <day>")
    assert "a &lt;day&gt;" in page and page.count("<rect") > 20 and "http" not in page


def test_fronts_whose_clocks_differ_share_one_time_axis(recorded_run: RecordedRun) -> None:
    """Ten fronts with the same run; the clock offset of each is 50 ms more than that of the one before."""
    steps = list(Replay().run(read_capture(recorded_run.data).records))
    fronts = [FrontCapture(f"front {n}", steps, clock_offset_ms=1e12 + 50.0 * n) for n in range(10)]
    page = render_timelines(fronts, "incident")
    assert page.count("<svg") == 10 and "front 9" in page
    lefts = [float(p.split('x="')[1].split('"')[0]) for p in page.split("<rect")[1:]]
    each = len(lefts) // 10
    assert all(lefts[n * each] < lefts[(n + 1) * each] for n in range(9))


def test_capture_with_hashed_viewers_replays_to_the_same_decisions() -> None:
    new_session = interface.NewSession(1, 0, 4711, 7, 4000.0, 2, 0, 12)
    front = decide.Front(make_settings(), 1)
    ring = CaptureRing(
        header(make_settings(), 1), 1e12, 1 << 30, hash_viewer=lambda viewer: viewer ^ 0xABCDEF
    )
    ring.begin_segment(0, b"", 10.0, 0.0)
    events: list[interface.Event] = [
        interface.ServerList(interface.ListKind.FULL, 1, make_servers(3)),
        new_session,
    ]
    ring.append_call(RecordedCall(0, 10.0, 0.0, events, front.handle(10.0, events)))
    steps = replay_calls(ring.dump())
    assert steps[0].same and steps[0].events[1].viewer == 4711 ^ 0xABCDEF


REPLAY_SCRIPT = """
import sys
from lemonhall.capture import Replay, ReplayedCall, read_capture
steps = list(Replay().run(read_capture(open(sys.argv[1], "rb").read()).records))
print(len(steps), all(s.same for s in steps if isinstance(s, ReplayedCall)))
"""


@pytest.mark.parametrize("seed,locale", [("0", "C"), ("77", "C.UTF-8"), ("random", "POSIX")])
def test_other_processes_make_the_same_decisions(
    recorded_run: RecordedRun, tmp_path: Path, seed: str, locale: str
) -> None:
    path = tmp_path / "run.lhc"
    path.write_bytes(recorded_run.data)
    done = subprocess.run(
        [sys.executable, "-c", REPLAY_SCRIPT, str(path)],
        capture_output=True,
        text=True,
        env={"PYTHONHASHSEED": seed, "LC_ALL": locale, "PATH": ""},
        stdin=subprocess.DEVNULL,
    )
    assert done.stdout.split() == [str(recorded_run.count), "True"], done.stderr
