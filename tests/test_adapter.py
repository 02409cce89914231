"""The adapter as the deploy file starts it, and the rules for the files of the policy."""

import ast
import os
import struct
import subprocess
import tomllib
from pathlib import Path

import pytest

from lemonhall import wire
from lemonhall.adapter import Host
from tests.test_wire import SETTINGS

ROOT = Path(__file__).parent.parent
EMPTY = bytes.fromhex("40c06e2000000000 00000014 00000000 00000001")


def start(data: bytes, seed: str = "0") -> subprocess.CompletedProcess[bytes]:
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=ROOT, check=True)
    env = os.environ | {"PYTHONHASHSEED": seed}
    command = ["/bin/sh", "-c", deploy["sim"]]
    return subprocess.run(command, cwd=ROOT, input=data, capture_output=True, timeout=60, env=env)


def test_it_starts_by_the_deploy_file_and_ends_with_its_input() -> None:
    done = start(EMPTY)
    assert (done.returncode, done.stdout) == (0, bytes.fromhex("00000000 0000000c 00000001"))


@pytest.mark.parametrize(
    ("data", "reason"),
    [(EMPTY[:7], b"within a frame header"), (EMPTY[:15] + b"\x01" + EMPTY[16:], b"record")],
)
def test_malformed_input_ends_it_with_one_line_on_standard_error(data: bytes, reason: bytes) -> None:
    done = start(data if len(data) < 20 else data[:12] + b"\0\0\0\x01" + data[16:])
    assert done.returncode != 0
    assert done.stderr.count(b"\n") == 1
    assert reason in done.stderr


def undocumented(tree: ast.Module) -> list[str]:
    """Public classes, functions and methods without a doc comment."""
    found = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Module | ast.ClassDef):
            for child in node.body:
                named = isinstance(child, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef)
                if named and not child.name.startswith("_") and not ast.get_docstring(child):
                    found.append(child.name)
    return found


def test_files_of_the_policy_are_documented_and_their_lines_short() -> None:
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    assert deploy["policy"]
    for name in deploy["policy"]:
        text = (ROOT / name).read_text()
        assert text.strip()
        assert max(map(len, text.splitlines())) <= 110, name
        assert undocumented(ast.parse(text)) == [], name


def test_a_missing_doc_comment_is_found() -> None:
    text = 'class A:\n    "a"\n    def b(self): pass\n    def _c(self): pass\ndef d(): pass\nclass E: pass\n'
    assert undocumented(ast.parse(text)) == ["d", "E", "b"]


def test_an_exception_in_the_module_is_sent_as_an_action(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*_: object) -> list[object]:
        raise ValueError("no such thing")

    born = struct.pack(">BHQII", wire.BORN, 3, 1, 0, len(SETTINGS)).ljust(64, b"\0")
    tail = SETTINGS.encode()
    frame = wire.HEADER.pack(5.0, wire.HEADER.size + 64 + len(tail), 1, 9) + born + tail
    assert Host().answer(frame)[12] == wire.SCHEDULE
    monkeypatch.setattr("lemonhall.decide.Front.handle", fail)
    reply = Host().answer(frame)
    assert reply[12] == wire.BUG
    assert reply.endswith(b"ValueError: no such thing")


def test_names_in_the_settings_have_no_effect() -> None:
    renamed = SETTINGS + "classes.0.name=other\nareas=x,y\nmachineTypes=m\ncustomers.0.name=z\n"
    assert wire.read_settings(renamed) == wire.read_settings(SETTINGS)
