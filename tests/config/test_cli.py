"""The commands: exit codes, what they print, and that a wrong file is left as it is."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from lemonhall.cli import group
from lemonhall.problem import BadInput
from tests.front.harness import TERMS

FRONT = 'front "f0" hall="hall-a" listen="127.0.0.1:0"\n'


def run(*words: str) -> Result:
    return CliRunner().invoke(group, words)


@pytest.fixture
def main(tmp_path: Path) -> Path:
    path = tmp_path / "main.kdl"
    path.write_text(TERMS + FRONT)
    return path


def test_check(main: Path) -> None:
    assert (run("config", "check", str(main)).exit_code) == 0
    main.write_text(TERMS.replace("(s)5", "5") + FRONT)
    done = run("config", "check", str(main), "--json")
    assert done.exit_code == 2
    problem = json.loads(done.stdout.splitlines()[-1])["problems"][0]
    assert problem["line"] == 12 and problem["fix"] == "write (ms)5 or (s)5"


def test_fmt(main: Path) -> None:
    assert run("config", "fmt", "--check", str(main)).exit_code == 1
    assert run("config", "fmt", str(main)).exit_code == 0
    assert run("config", "fmt", "--check", str(main)).exit_code == 0
    main.write_text("a {")
    assert isinstance(run("config", "fmt", str(main)).exception, BadInput)
    assert main.read_text() == "a {"


def test_diff(main: Path, tmp_path: Path) -> None:
    other = tmp_path / "other.kdl"
    other.write_text((TERMS + FRONT).replace("seats=2", "seats=3"))
    assert run("config", "diff", str(main), str(main)).exit_code == 0
    done = run("config", "diff", str(main), str(other))
    assert done.exit_code == 1
    assert "class claim-view: seats 2 to 3  DANGER: more sessions of one title" in done.stdout
    listed = json.loads(run("config", "diff", str(main), str(other), "--json").stdout)["changes"]
    assert listed[0]["danger"] and listed[0]["place"].startswith(str(other))


def test_explain(main: Path) -> None:
    main.write_text(TERMS + FRONT + 'layer "site" { class "claim-view" seats=5; }\n')
    done = run("config", "explain", str(main), "--only", "claim-view: seats")
    assert done.stdout.splitlines()[0].endswith("main.kdl:16:41, layer site")
    assert done.stdout.splitlines()[1].strip().startswith("over 2 ")


def test_hooks_commands(tmp_path: Path, main: Path) -> None:
    script = tmp_path / "s.hook"
    script.write_text('on arrival when class=="claim-view" { cap rung 0 }')
    assert run("hooks", "check", str(script), "--settings", str(main)).exit_code == 0
    assert run("hooks", "fmt", "--check", str(script)).exit_code == 1
    assert run("hooks", "fmt", str(script)).exit_code == 0
    done = run("hooks", "run", str(script), "--settings", str(main), "--fact", "class=claim-view", "--json")
    made = json.loads(done.stdout)
    assert made["advice"]["cap"] == 1 and made["overruled"][0]["why"] == "the floor of the class is 1"
    shown = run("hooks", "run", str(script), "--settings", str(main), "--fact", "class=claim-view").stdout
    assert "s.hook:2: cap rung = 0.0" in shown and "overruled" in shown
    script.write_text("on arrival { cap }")
    assert run("hooks", "check", str(script)).exit_code == 2
    wrong = run("hooks", "run", str(script), "--fact", "klass=x")
    assert isinstance(wrong.exception, BadInput) and "did you mean class?" in str(wrong.exception)
