"""The deploy file meets the platform's terms: one process by exec, no other program, only IPv4, no files.

The test runs `run` unchanged, with an audit hook (PEP 578) that a `sitecustomize` installs in the node.
Calls without an audit event (splice, sendfile, io_uring) are searched for in the source of the modules that
the node loads, and among its descriptors.
"""

from __future__ import annotations

import ast
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

from tests.node.running import ROOT, NodeProcess

DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
AUDIT_HOOK = """
import json, os, sys
SEEN = os.open(os.environ["SEEN"], os.O_WRONLY | os.O_APPEND | os.O_CREAT)
def hook(event, args):
    if event == "open" and not (isinstance(args[1], str) and set(args[1]) & set("wax+")):
        return
    if event in ("import", "open") or event.split(".")[0] in ("socket", "os", "subprocess", "ctypes"):
        arguments = [a if isinstance(a, (int, str)) else repr(a)[:80] for a in args]
        os.write(SEEN, (json.dumps([event, *arguments]) + "\\n").encode())
sys.addaudithook(hook)
"""
PROCESS_EVENTS = {
    "os.fork",
    "os.forkpty",
    "os.posix_spawn",
    "os.spawn",
    "os.exec",
    "os.system",
    "subprocess.Popen",
}
FORBIDDEN_NAMES = {
    "fork",
    "forkpty",
    "posix_spawn",
    "splice",
    "sendfile",
    "io_uring",
    "io_uring_setup",
    "system",
}


def audit_environment(folder: Path) -> dict[str, str]:
    (folder / "sitecustomize.py").write_text(AUDIT_HOOK)
    compiled = {
        "PYTHONDONTWRITEBYTECODE": "1"
    }  # `build` compiles; Python's own cache files are not the node's
    return {"PYTHONPATH": str(folder), "SEEN": str(folder / "seen"), **compiled}


def read_events(folder: Path) -> list[list[Any]]:
    return [json.loads(line) for line in (folder / "seen").read_text().splitlines()]


def find_violations(events: list[list[Any]]) -> list[str]:
    """Events that the platform forbids; the loop may use one pair of unnamed Unix sockets, for signals."""
    violations = [
        str(event) for event in events if event[0] in PROCESS_EVENTS or event[0].startswith("ctypes.")
    ]
    # The hook records only files that are opened for writing.
    violations += [str(event) for event in events if event[0] == "open"]
    created = [event for event in events if event[0] == "socket.__new__"]
    unix_sockets = [event for event in created if event[2] == socket.AF_UNIX]
    if len(unix_sockets) > 2:
        violations.append(f"{len(unix_sockets)} Unix sockets")
    kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
    violations += [
        str(event)
        for event in created
        if event not in unix_sockets and (event[2] != socket.AF_INET or event[3] & 0xF not in kinds)
    ]
    named = [event for event in events if event[0] in ("socket.bind", "socket.connect", "socket.sendto")]
    return violations + [str(event) for event in named if "AF_UNIX" in str(event[1])]


def find_forbidden_names(paths: list[Path]) -> list[str]:
    found = []
    for path in paths:
        for node in ast.walk(ast.parse(path.read_text())):
            name = node.attr if isinstance(node, ast.Attribute) else getattr(node, "id", "")
            found += [f"{path.name}: {name}"] if name in FORBIDDEN_NAMES else []
    return found


def test_run_is_one_process_that_starts_nothing_and_opens_only_ipv4_sockets(tmp_path: Path) -> None:
    run = DEPLOY["run"]
    assert run.startswith("exec ") and not set(run) & set(";&|`$(")
    process = NodeProcess(tmp_path, ["/bin/sh", "-c", run], **audit_environment(tmp_path))
    try:
        process.answer(process.request_set_up("a" * 16))
        pid = process.child.pid  # the node keeps the shell's process id, because it was started by exec
        proc = Path(f"/proc/{pid}")
        assert b"lemonhall.front.node" in (proc / "cmdline").read_bytes()
        tasks = list((proc / "task").iterdir())
        assert len(tasks) == 1 and (tasks[0] / "children").read_text() == ""
        maps = (proc / "maps").read_text()
        assert "/libc." in maps and "/ld-" in maps  # linked dynamically
        targets = [os.readlink(entry) for entry in (proc / "fd").iterdir()]
        assert not [
            target for target in targets if target.startswith("anon_inode") and "eventpoll" not in target
        ]
        process.child.send_signal(signal.SIGHUP)
        process.run_until(
            lambda: any(entry["event"] == "configuration taken" for entry in process.log_entries())
        )
        process.answer(process.request_set_up("b" * 16))
        process.child.send_signal(signal.SIGTERM)
        process.run_until(lambda: process.child.poll() is not None)
        assert process.child.returncode == 0
        longest_passes_ms = [
            entry["longest_pass_ms"] for entry in process.log_entries() if entry["event"] == "summary"
        ]
        assert (
            longest_passes_ms and max(longest_passes_ms) < 5000
        )  # the platform's bound is 20 s without a wait
    finally:
        process.close()
    events = read_events(tmp_path)
    assert {"socket.__new__", "socket.bind", "socket.connect", "import"} <= {event[0] for event in events}
    assert find_violations(events) == []
    module_names = {event[1] for event in events if event[0] == "import" and event[1].startswith("lemonhall")}
    paths = [ROOT / (name.replace(".", "/") + ".py") for name in module_names]
    assert len([path for path in paths if path.exists()]) > 15
    assert find_forbidden_names([path for path in paths if path.exists()]) == []


@pytest.mark.parametrize(
    "violation",
    [
        "import os; os.fork() or os._exit(0)",
        "import subprocess; subprocess.run(['/bin/true'])",
        "import socket; socket.socket(socket.AF_UNIX, socket.SOCK_STREAM); socket.socketpair()",
        "import socket; socket.socket(socket.AF_INET6, socket.SOCK_STREAM)",
        "import ctypes; ctypes.CDLL(None)",
        "open('/dev/null', 'a')",
    ],
)
def test_each_violation_is_detected(violation: str, tmp_path: Path) -> None:
    env = {**os.environ, **audit_environment(tmp_path)}
    subprocess.run([sys.executable, "-c", violation], env=env, check=True, timeout=30)
    assert find_violations(read_events(tmp_path))


def test_a_forbidden_name_in_the_source_is_detected(tmp_path: Path) -> None:
    path = tmp_path / "flaw.py"
    path.write_text("import os\n\ndef f(a, b):\n    return os.sendfile(a, b, 0, 9)\n")
    assert find_forbidden_names([path]) == ["flaw.py: sendfile"]


def test_build_works_twice_on_a_new_machine_and_writes_only_to_its_own_folder(tmp_path: Path) -> None:
    new = tmp_path / "new"
    ignored = shutil.ignore_patterns(
        "__pycache__", "model", "config", "hooks", "importer", "standins", "rtsp"
    )
    # A part of the package is left out to save time.
    shutil.copytree(ROOT / "lemonhall", new / "lemonhall", ignore=ignored)
    env = {"PATH": os.environ["PATH"], "HOME": str(new), "TMPDIR": str(new)}
    for _ in range(2):
        subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=new, env=env, check=True, timeout=120)
    assert [path.name for path in tmp_path.iterdir()] == ["new"]
    assert list((new / "lemonhall" / "__pycache__").glob("decide.*.pyc"))
    assert (new / ".venv" / "bin" / "python").exists()
