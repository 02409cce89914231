"""Captures of past faults: the module decides as recorded, and differently without the protection against it.

After an intended change, `lemonhall capture again FILE --reason "..."` records the new decisions
with the reason. README.md in this folder describes each capture.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from lemonhall.capture import Replay, ReplayedCall, read_capture
from tests.captures.guards import GUARDS
from tests.captures.make import differs

HERE = Path(__file__).parent


def data_of(scenario: str) -> bytes:
    return (HERE / f"{scenario}.lhc").read_bytes()


def test_there_are_at_least_twelve_captures_and_each_is_described() -> None:
    page = (HERE / "README.md").read_text(encoding="utf-8")
    assert len(GUARDS) >= 12
    assert sorted(p.stem for p in HERE.glob("*.lhc")) == sorted(GUARDS)
    assert all(f"`{scenario}`" in page for scenario in GUARDS)


@pytest.mark.parametrize("scenario", GUARDS)
def test_decisions_are_as_recorded(scenario: str) -> None:
    made = read_capture(data_of(scenario))
    assert not made.unreadable
    steps = [s for s in Replay().run(made.records) if isinstance(s, ReplayedCall)]
    differing = next((s for s in steps if not s.same), None)
    assert len(steps) > 10 and differing is None, f"call {differing.number if differing else 0}"


@pytest.mark.parametrize("scenario", GUARDS)
def test_decisions_differ_without_the_protection(scenario: str) -> None:
    assert differs(data_of(scenario), GUARDS[scenario][0])


def test_a_changed_decision_is_recorded_again_with_its_reason(tmp_path: Path) -> None:
    """A module that decides differently stands for a later version of the module."""
    source = HERE / "overlapping_deploys.lhc"
    path = tmp_path / "one.lhc"
    path.write_bytes(source.read_bytes())
    module = tmp_path / "other.py"
    module.write_text(
        "from lemonhall import decide\n"
        "class Front(decide.Front):\n"
        "    def pick_servers(self, session):\n"
        "        return super().pick_servers(session)[::-1]\n"
    )
    command = [sys.executable, "-m", "lemonhall"]

    def run(*more: object) -> subprocess.CompletedProcess[str]:
        arguments = [*command, *map(str, more)]
        return subprocess.run(arguments, capture_output=True, text=True, stdin=subprocess.DEVNULL)

    assert run("replay", path, "--module", module).returncode == 1
    assert run("capture", "again", path).returncode == 2  # not without a reason
    done = run("capture", "again", path, "--reason", "the other of two first", "--module", module)
    assert done.returncode == 0, done.stderr
    assert "the other of two first" in run("capture", "show", path).stdout
    assert run("replay", path, "--module", module).returncode == 0
    assert run("replay", path).returncode == 1
