"""Captures: exact, read after any damage, replayed to the same decisions in any process."""

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

from lemonhall import decide
from lemonhall import interface as i
from lemonhall.capture import CannotReplay, Replay, Ring, Step, differences, read_capture, story, timeline
from lemonhall.capture.capture_pb2 import Header
from lemonhall.capture.ring import Told
from lemonhall.capture.shapes import CLASSES, BadShape, pack, shape_of, unpack
from lemonhall.capture.snapshot import (
    RENAMED_ATTRIBUTES,
    RENAMED_CLASSES,
    RENAMED_HANDLERS,
    BadSnapshot,
    freeze,
    thaw,
)
from lemonhall.capture.story import Front, timelines
from tests.conftest import make_servers, make_settings
from tests.test_front import World

INTS = st.integers(-(1 << 63), (1 << 63) - 1)
FLOATS = st.floats(allow_nan=False)
SHARED = {"settings": make_settings()}
PLAIN = [c for c in CLASSES if c is not i.Settings]
for cls in (i.SessionClass, i.Tenant):
    PLAIN.remove(cls)
st.register_type_strategy(int, INTS)
st.register_type_strategy(float, FLOATS)


def unsigned(value: Any) -> Any:
    """Titles and viewers are of 64 bits without a sign."""
    names = [f for f in ("title", "viewer") if hasattr(value, f)]
    made = replace(value, **{n: abs(getattr(value, n)) for n in names}) if names else value
    return replace(made, session=unsigned(made.session)) if isinstance(made, i.HandedOver) else made


@settings(max_examples=200, deadline=None)
@given(st.lists(st.one_of([st.from_type(c) for c in PLAIN]).map(unsigned), max_size=6))
def test_whatever_is_written_is_read_as_it_was(values: list[Any]) -> None:
    assert unpack(pack(values)) == values


def test_settings_and_all_64_bits_and_every_real_number() -> None:
    told = i.NewSession(1, 0, (1 << 64) - 1, (1 << 64) - 2, 5.0, 2, 0, 4)
    odd = i.Note(1, 0, 3, 1, math.inf)
    assert unpack(pack([SHARED["settings"], told, odd])) == [SHARED["settings"], told, odd]
    assert math.isnan(unpack(pack([replace(odd, value=math.nan)]))[0].value)


def test_every_event_and_action_of_the_interface_has_a_shape() -> None:
    from typing import get_args

    for cls in (*get_args(i.Event), *get_args(i.Action), i.Settings):
        assert cls in CLASSES and shape_of(cls) is not None


@settings(max_examples=100, deadline=None)
@given(st.binary(max_size=60))
def test_strange_bytes_are_refused_and_nothing_else_happens(data: bytes) -> None:
    try:
        unpack(data)
    except BadShape:
        return


def header(module_settings: i.Settings, seed: int = 5) -> Header:
    return Header(format=1, program="test", front="f", settings=pack([module_settings]), seed=seed)


class Recorded:
    """The random legal days of the module's own tests, with a ring round the module."""

    def __init__(self, seed: int, steps: int, snapshots: int = 0, keep: float = 1e12) -> None:
        world = self.world = World(seed, make_settings(report_fields=("x0", "x1")))
        front = world.front
        self.ring = Ring(header(front.settings, seed), keep, 1 << 30)
        self.count = 0
        honest = front.handle

        def handle(now: float, events: list[i.Event]) -> list[i.Action]:
            if self.count == 0:
                self.ring.begin(0, b"", now, now)
            elif snapshots and self.count % snapshots == 0:
                del front.handle  # as it is without this test's own wrapping
                self.ring.begin(self.count, freeze(front), now, now)
                front.handle = handle  # type: ignore[method-assign]
            actions = honest(now, events)
            self.ring.call(Told(self.count, now, now, list(events), list(actions)))
            self.count += 1
            return actions

        front.handle = handle  # type: ignore[method-assign]
        world.run(steps)
        self.data = self.ring.saved()


def replayed(data: bytes, **how: Any) -> list[Step]:
    return [s for s in Replay(**how).run(read_capture(data).records) if isinstance(s, Step)]


@pytest.fixture(scope="module")
def day() -> Recorded:
    return Recorded(3, 800)


def test_a_day_is_replayed_to_the_same_decisions(day: Recorded) -> None:
    steps = replayed(day.data)
    assert len(steps) == day.count and all(s.same for s in steps)
    assert sum(len(s.decided) for s in steps) > 500


def test_a_changed_decision_is_seen_at_its_call(day: Recorded) -> None:
    class Other(decide.Front):
        def pick_servers(self, session: decide.Session) -> list[decide.MediaServer]:
            return super().pick_servers(session)[::-1]

    steps = replayed(day.data, make=Other)
    wrong = [s for s in steps if not s.same]
    assert wrong and any(isinstance(a, i.SetUp) for a in wrong[0].recorded)


def test_reasons_are_given_and_change_nothing(day: Recorded) -> None:
    steps = replayed(day.data, why=True)
    assert all(s.same for s in steps)
    given_up = {r.code for s in steps for r in s.reasons}
    assert {
        i.ReasonCode.CANDIDATE,
        i.ReasonCode.POOL,
        i.ReasonCode.GIVEN_UP,
        i.ReasonCode.NO_SEAT,
    } <= given_up


def test_from_the_middle_by_a_snapshot_and_when_the_start_is_gone() -> None:
    recorded = Recorded(4, 600, snapshots=150, keep=20_000.0)
    steps = replayed(recorded.data)
    assert 0 < len(steps) < recorded.count and steps[0].number > 0
    assert steps[-1].number == recorded.count - 1
    assert all(s.same for s in steps)


def attribute_names(front: decide.Front) -> dict[type, set[str]]:
    """Names of the attributes of every object of the module and the interface that is reachable."""
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


def test_a_capture_written_before_names_were_changed_is_replayed(day: Recorded) -> None:
    """A snapshot is a pickle that holds names; it must stay readable when the code's names change.

    The capture was written by the version before the first change of names: a header, a snapshot of a front
    with sessions, retries, quotas and an ejected server, and the calls that followed.
    """
    records = read_capture((Path(__file__).parent / "before_renames.lhc").read_bytes()).records
    (snapshot,) = [r.snapshot for r in records if r.WhichOneof("what") == "snapshot"]
    assert b"Advised" in snapshot.module and b"may_tell_peers" in snapshot.module
    steps = [s for s in Replay().run(records) if isinstance(s, Step)]
    assert len(steps) > 30 and steps[0].number == snapshot.number and all(s.same for s in steps)
    assert sum(len(s.decided) for s in steps) > 30
    again = freeze(thaw(snapshot.module))
    assert b"Advised" not in again and b"may_tell_peers" not in again
    replay = Replay()
    assert all(s.same for s in replay.run(read_capture(day.data).records) if isinstance(s, Step))
    present, loaded = attribute_names(replay.module), attribute_names(thaw(snapshot.module))
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
        i.Settings,
    } <= set(loaded)


def test_no_earlier_name_of_a_snapshot_has_a_new_meaning() -> None:
    front = thaw(freeze(decide.Front(make_settings(), 1)))
    for (module, earlier), present in RENAMED_CLASSES.items():
        assert not hasattr(sys.modules[module], earlier) and hasattr(sys.modules[module], present)
    for earlier, present in RENAMED_HANDLERS.items():
        assert not hasattr(front, earlier) and hasattr(front, present)
    for cls, renamed in RENAMED_ATTRIBUTES.items():
        if is_dataclass(cls):
            assert not {f.name for f in fields(cls)} & set(renamed)
            assert {f.name for f in fields(cls)} >= set(renamed.values())


def test_a_snapshot_of_anything_else_is_refused() -> None:
    import os
    import pickle

    class Bad:
        def __reduce__(self) -> Any:
            return os.getcwd, ()

    cut = freeze(decide.Front(make_settings(), 1))[:-9]
    for data in (pickle.dumps(Bad()), pickle.dumps([1]), b"junk", cut):
        with pytest.raises(BadSnapshot):
            thaw(data)


def test_a_capture_cut_anywhere_is_read_as_far_as_it_goes(day: Recorded) -> None:
    whole = len(read_capture(day.data).records)
    size = len(day.data)
    for cut in range(1, size, max(1, size // 60)):
        made = read_capture(day.data[:cut])
        assert len(made.records) < whole
        assert made.troubles or not made.blocks or sum(len(b.data) for b in made.blocks) == cut


def test_a_flipped_bit_costs_its_block_and_is_named(day: Recorded) -> None:
    whole = read_capture(day.data)
    assert len(whole.blocks) > 5 and not whole.troubles
    for at in range(40, len(day.data), len(day.data) // 50):
        data = bytearray(day.data)
        data[at] ^= 0x10
        made = read_capture(bytes(data))
        assert made.troubles and len(made.blocks) == len(whole.blocks) - 1
    data = bytearray(day.data)
    data[len(whole.blocks[0].data) + len(whole.blocks[1].data) + 60] ^= 1
    with pytest.raises(CannotReplay, match="are missing"):
        replayed(bytes(data))


def test_a_newer_version_is_named(day: Recorded) -> None:
    data = bytearray(day.data)
    data[4] = 9
    assert "version 9; known is up to 1" in read_capture(bytes(data)).troubles[0].why


def test_a_gap_is_told_and_replay_goes_on_from_the_next_snapshot() -> None:
    recorded = Recorded(5, 300)
    ring = recorded.ring
    front = recorded.world.front
    del front.handle
    ring.gap(7, 1.0, 2.0, "too much waited")
    ring.begin(recorded.count + 7, freeze(front), front.now, 0.0)
    actions = front.handle(front.now + 500.0, [i.TimerDue(0)])
    ring.call(Told(recorded.count + 7, front.now, 0.0, [i.TimerDue(0)], actions))
    made = list(Replay().run(read_capture(ring.saved()).records))
    steps = [s for s in made if isinstance(s, Step)]
    assert len(steps) == recorded.count + 1 and all(s.same for s in steps)
    assert any(not isinstance(s, Step) and s.record.gap.calls == 7 for s in made)


def test_other_settings_are_told_by_session(day: Recorded) -> None:
    harsh = replace(day.world.settings, max_attempts=1)
    steps = replayed(day.data, settings=harsh)
    found = differences(steps)
    assert found and all("then" in words and "now" in words for _, words in found)


def test_a_session_has_its_story_and_the_day_its_picture(day: Recorded) -> None:
    steps = list(Replay(why=True).run(read_capture(day.data).records))
    played = next(e.id for s in steps if isinstance(s, Step) for e in s.events if isinstance(e, i.Playing))
    lines = story(steps, played, 0.0)
    text = "\n".join(lines)
    assert "asked for" in text and "because server" in text and "> set up at server" in text
    assert "plays at server" in text
    page = timeline(steps, "a <day>")
    assert "a &lt;day&gt;" in page and page.count("<rect") > 20 and "http" not in page


def test_captures_of_fronts_whose_clocks_differ_lie_on_one_line_of_time(day: Recorded) -> None:
    """Ten fronts with the same day, each with a clock of its own that its header tells."""
    steps = list(Replay().run(read_capture(day.data).records))
    fronts = [Front(f"front {n}", steps, offset=1e12 + 50.0 * n) for n in range(10)]
    page = timelines(fronts, "incident")
    assert page.count("<svg") == 10 and "front 9" in page
    lefts = [float(p.split('x="')[1].split('"')[0]) for p in page.split("<rect")[1:]]
    each = len(lefts) // 10
    assert all(lefts[n * each] < lefts[(n + 1) * each] for n in range(9))  # each a little later


def test_viewers_are_hidden_and_replay_is_the_same() -> None:
    told = i.NewSession(1, 0, 4711, 7, 4000.0, 2, 0, 12)
    front = decide.Front(make_settings(), 1)
    ring = Ring(header(make_settings(), 1), 1e12, 1 << 30, hide=lambda viewer: viewer ^ 0xABCDEF)
    ring.begin(0, b"", 10.0, 0.0)
    events: list[i.Event] = [i.ServerList(i.ListKind.FULL, 1, make_servers(3)), told]
    ring.call(Told(0, 10.0, 0.0, events, front.handle(10.0, events)))
    steps = replayed(ring.saved())
    assert steps[0].same and steps[0].events[1].viewer == 4711 ^ 0xABCDEF


REPLAY = """
import sys
from lemonhall.capture import Replay, Step, read_capture
steps = list(Replay().run(read_capture(open(sys.argv[1], "rb").read()).records))
print(len(steps), all(s.same for s in steps if isinstance(s, Step)))
"""


@pytest.mark.parametrize("seed,locale", [("0", "C"), ("77", "C.UTF-8"), ("random", "POSIX")])
def test_other_processes_decide_the_same(day: Recorded, tmp_path: Path, seed: str, locale: str) -> None:
    path = tmp_path / "day.lhc"
    path.write_bytes(day.data)
    done = subprocess.run(
        [sys.executable, "-c", REPLAY, str(path)],
        capture_output=True,
        text=True,
        env={"PYTHONHASHSEED": seed, "LC_ALL": locale, "PATH": ""},
        stdin=subprocess.DEVNULL,
    )
    assert done.stdout.split() == [str(day.count), "True"], done.stderr
