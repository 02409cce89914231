"""The adapter as started by the deploy file, and the limits of the module's text."""

import os
import subprocess
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
EMPTY = bytes.fromhex("40c06e2000000000 00000014 00000000 00000001")


def start(data: bytes, seed: str = "0") -> subprocess.CompletedProcess[bytes]:
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=ROOT, check=True)
    env = os.environ | {"PYTHONHASHSEED": seed}
    command = ["/bin/sh", "-c", deploy["sim"]]
    return subprocess.run(command, cwd=ROOT, input=data, capture_output=True, timeout=60, env=env)


def test_starts_by_the_deploy_file_and_ends_with_its_input() -> None:
    done = start(EMPTY)
    assert (done.returncode, done.stdout) == (0, bytes.fromhex("00000000 0000000c 00000001"))


@pytest.mark.parametrize(
    ("data", "says"), [(EMPTY[:7], b"within a frame header"), (EMPTY[:15] + b"\x01" + EMPTY[16:], b"record")]
)
def test_bad_input_ends_it_with_one_line(data: bytes, says: bytes) -> None:
    done = start(data if len(data) < 20 else data[:12] + b"\0\0\0\x01" + data[16:])
    assert done.returncode != 0
    assert done.stderr.count(b"\n") == 1
    assert says in done.stderr


def test_module_keeps_its_limits() -> None:
    lines = (ROOT / "lemonhall/decide.py").read_text().splitlines()
    assert 0 < sum(1 for line in lines if line.strip()) <= 650
    assert max(map(len, lines)) <= 110
