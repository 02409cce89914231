"""The capture of a running front: saved on request or to files, and replayed to the same decisions."""

from __future__ import annotations

import json
import subprocess
import sys
import urllib.request
from collections.abc import Callable
from pathlib import Path
from threading import Thread
from typing import Any

import pytest

from lemonhall import decide, interface
from lemonhall.capture import OtherRecord, Replay, ReplayedCall, read_capture
from lemonhall.capture.capture_pb2 import Header
from lemonhall.config.settings import CaptureSettings
from lemonhall.front.persistence import capture_writer
from lemonhall.front.persistence.capture_writer import CaptureWriter, capture_header
from lemonhall.problem import BadInput
from tests.front.harness import FrontHarness

Build = Callable[..., FrontHarness]


def steps_of(data: bytes) -> list[Any]:
    return list(Replay(with_reasons=True).run(read_capture(data).records))


def test_replay_of_a_capture_repeats_the_decisions(make_front: Build) -> None:
    harness = make_front()
    client, session = harness.play_session("/browse/a")
    harness.play_session("/claims/a")
    client.send("TEARDOWN", "/browse/a", ("Session", session))
    harness.run_until(lambda: harness.module.events_of(interface.AttemptEnded))
    assert harness.daemon.capture
    replayed = steps_of(harness.daemon.capture.save())
    steps = [s for s in replayed if isinstance(s, ReplayedCall)]
    assert len(steps) == harness.daemon.bridge.calls and all(s.same for s in steps)
    notes = [
        s.record.word
        for s in replayed
        if isinstance(s, OtherRecord) and s.record.WhichOneof("what") == "word"
    ]
    assert any(session in note.text and note.session == 1 for note in notes)


def run(*arguments: object) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "lemonhall", *map(str, arguments)]
    return subprocess.run(command, capture_output=True, text=True, stdin=subprocess.DEVNULL)


def test_commands_show_replay_and_explain_a_capture(make_front: Build, tmp_path: Path) -> None:
    harness = make_front()
    _, session = harness.play_session("/browse/a")
    assert harness.daemon.capture
    path = tmp_path / "one.lhc"
    path.write_bytes(harness.daemon.capture.save())
    shown = run("capture", "show", path, "--json", "--calls")
    summary = json.loads(shown.stdout.strip().splitlines()[-1])
    assert (
        shown.returncode == 0
        and summary["call"] == harness.daemon.bridge.calls
        and "set up at" in shown.stdout
    )
    again = run("replay", path)
    assert again.returncode == 0 and "the same decisions" in again.stdout
    for name in (session, "1"):
        life = run("why", path, name)
        assert life.returncode == 0 and "may be asked" in life.stdout and "> set up" in life.stdout
    assert run("why", path, "99").returncode == 2
    drawn = run("capture", "picture", path, tmp_path / "one.html")
    assert drawn.returncode == 0 and "<svg" in (tmp_path / "one.html").read_text()
    module = tmp_path / "other.py"
    module.write_text(
        "from lemonhall import decide\n"
        "class Front(decide.Front):\n"
        "    def send_set_up(self, s, box, rung, part):\n"
        "        super().send_set_up(s, box, s.demand.floor, part)\n"
    )
    other = run("replay", path, "--module", module)
    assert other.returncode == 1 and "session 1: " in other.stdout and "rungs" in other.stdout
    path.write_bytes(path.read_bytes()[:-5])
    assert "cut" in run("capture", "show", path).stderr
    assert run("replay", tmp_path / "none.lhc").returncode == 2


def new_writer(tmp_path: Path, **settings: Any) -> CaptureWriter:
    chosen = {"folder": str(tmp_path / "caps"), "snapshots_ms": 1e12, **settings}
    return CaptureWriter(CaptureSettings(**chosen), Header(front="f0"))


def add_call(writer: CaptureWriter, number: int, now: float) -> None:
    writer.add_call(number, now, [interface.TimerDue(number)], [interface.SetTimer(0, 500.0)])


def test_files_rotate_and_the_oldest_are_deleted(tmp_path: Path) -> None:
    writer = new_writer(tmp_path, size=65536, files=3)
    front = decide.Front.__new__(decide.Front)
    for n in range(6000):
        writer.before_call(front, n, 10.0 * n)
        add_call(writer, n, 10.0 * n)
        if n % 500 == 0:
            writer.drain()
        if n % 1000 == 999:
            writer.drain()
            assert writer.folder
            writer.folder.bytes_written = 1 << 30  # simulates a full file: the next call starts another
            writer.can_snapshot = True
            writer.next_snapshot = float("-inf")
    writer.close()
    names = sorted(p.name for p in (tmp_path / "caps").glob("*.lhc"))
    assert len(names) == 3 and names[-1] == "f0-000006.lhc"
    records = [r for n in names for r in read_capture((tmp_path / "caps" / n).read_bytes()).records]
    assert records[0].WhichOneof("what") == "header"
    assert records[-1].call.number == 5999


def test_calls_beyond_the_queue_are_recorded_as_a_gap(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(capture_writer, "DRAIN_PERIOD_S", 60.0)
    monkeypatch.setattr(capture_writer, "QUEUE_MAX_RECORDS", 50)
    writer = new_writer(tmp_path)
    for n in range(80):
        add_call(writer, n, float(n))
    writer.drain()
    add_call(writer, 80, 80.0)
    capture = read_capture(writer.save())
    gaps = [r.gap for r in capture.records if r.WhichOneof("what") == "gap"]
    assert [(g.calls, g.why) for g in gaps] == [(30, "too much waited")]
    assert [r.call.number for r in capture.records if r.WhichOneof("what") == "call"] == [*range(50), 80]
    writer.close()


def test_full_disk_loses_blocks_of_the_file_but_not_of_the_ring(tmp_path: Path) -> None:
    writer = new_writer(tmp_path)
    assert writer.folder

    def fails(block: Any, begins: bool) -> None:
        raise OSError(28, "No space left on device")

    writer.folder.write_block = fails  # type: ignore[method-assign]
    for n in range(300):
        add_call(writer, n, 20.0 * n)
    writer.drain()
    assert writer.failures > 0
    capture = read_capture(writer.save())  # the ring holds every call
    assert sum(r.WhichOneof("what") == "call" for r in capture.records) == 300
    assert any("No space left" in r.gap.why for r in capture.records if r.WhichOneof("what") == "gap")
    writer.close()


def test_step_of_the_wall_clock_is_recorded(tmp_path: Path) -> None:
    wall = [1000.0]
    writer = CaptureWriter(CaptureSettings(), Header(front="f0"), lambda: wall[0])
    add_call(writer, 0, 0.0)
    wall[0] += 7200.5
    add_call(writer, 1, 500.0)
    notes = [r.word.text for r in read_capture(writer.save()).records if r.WhichOneof("what") == "word"]
    assert notes == ["stepped by 7200.0 s"]
    writer.close()


def test_viewers_are_hashed_with_a_key_and_a_missing_key_is_reported(
    make_front: Build, tmp_path: Path
) -> None:
    key = tmp_path / "key"
    key.write_bytes(b"k" * 32)
    harness = make_front()
    new_session = interface.NewSession(1, 0, 4711, 7, 400.0, 2, 0, 1)
    encoded = []
    for path in (str(key), ""):
        writer = CaptureWriter(CaptureSettings(key=path), capture_header(harness.settings))
        writer.add_call(0, 1.0, [new_session], [])
        records = read_capture(writer.save()).records
        encoded.append(next(r.call.events for r in records if r.WhichOneof("what") == "call"))
        writer.close()
    assert (4711).to_bytes(8, "little") not in encoded[0] and (4711).to_bytes(8, "little") in encoded[1]
    with pytest.raises(BadInput, match="key cannot be read"):
        CaptureWriter(CaptureSettings(key=str(tmp_path / "none")), capture_header(harness.settings))


def test_capture_page_returns_the_ring(make_front: Build, tmp_path: Path) -> None:
    harness = make_front()
    harness.play_session("/browse/a")
    from lemonhall.front.process import status_server
    from lemonhall.loop import listen

    pages = {"/capture": harness.daemon.status_pages.capture_page}
    address = listen(harness.loop, ("127.0.0.1", 0), status_server.serve(harness.loop, pages)).getsockname()
    received: list[bytes] = []

    def fetch() -> None:
        with urllib.request.urlopen(f"http://127.0.0.1:{address[1]}/capture", timeout=5) as answer:
            received.append(answer.read())

    thread = Thread(target=fetch)
    thread.start()
    harness.run_until(lambda: received)
    thread.join()
    assert [s.same for s in steps_of(received[0]) if isinstance(s, ReplayedCall)]
