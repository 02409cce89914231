"""The deploy file against the platform's terms: one process by exec, no other program, IPv4 alone, no files.

`run` is started as it stands, with an audit hook (PEP 578) in the node by a `sitecustomize` of this test.
What no audit event tells (splice, sendfile, io_uring) is looked for in the source of what the node loads
and among its descriptors.
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
WATCH = """
import json, os, sys
SEEN = os.open(os.environ["SEEN"], os.O_WRONLY | os.O_APPEND | os.O_CREAT)
def hook(event, args):
    if event == "open" and not (isinstance(args[1], str) and set(args[1]) & set("wax+")):
        return
    if event in ("import", "open") or event.split(".")[0] in ("socket", "os", "subprocess", "ctypes"):
        told = [a if isinstance(a, (int, str)) else repr(a)[:80] for a in args]
        os.write(SEEN, (json.dumps([event, *told]) + "\\n").encode())
sys.addaudithook(hook)
"""
STARTS_OTHERS = {
    "os.fork",
    "os.forkpty",
    "os.posix_spawn",
    "os.spawn",
    "os.exec",
    "os.system",
    "subprocess.Popen",
}
REFUSED = {"fork", "forkpty", "posix_spawn", "splice", "sendfile", "io_uring", "io_uring_setup", "system"}


def watched(folder: Path) -> dict[str, str]:
    (folder / "sitecustomize.py").write_text(WATCH)
    compiled = {"PYTHONDONTWRITEBYTECODE": "1"}  # `build` has done it; what Python keeps is not the node's
    return {"PYTHONPATH": str(folder), "SEEN": str(folder / "seen"), **compiled}


def seen(folder: Path) -> list[list[Any]]:
    return [json.loads(line) for line in (folder / "seen").read_text().splitlines()]


def wrong(events: list[list[Any]]) -> list[str]:
    """What the platform refuses. One pair of Unix sockets without a name is the loop's own, for signals."""
    found = [str(e) for e in events if e[0] in STARTS_OTHERS or e[0].startswith("ctypes.")]
    found += [str(e) for e in events if e[0] == "open"]  # for writing; reading is left out by the hook
    made = [e for e in events if e[0] == "socket.__new__"]
    unix = [e for e in made if e[2] == socket.AF_UNIX]
    if len(unix) > 2:
        found.append(f"{len(unix)} Unix sockets")
    kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
    found += [str(e) for e in made if e not in unix and (e[2] != socket.AF_INET or e[3] & 0xF not in kinds)]
    named = [e for e in events if e[0] in ("socket.bind", "socket.connect", "socket.sendto")]
    return found + [str(e) for e in named if "AF_UNIX" in str(e[1])]


def refused_names(paths: list[Path]) -> list[str]:
    found = []
    for path in paths:
        for node in ast.walk(ast.parse(path.read_text())):
            name = node.attr if isinstance(node, ast.Attribute) else getattr(node, "id", "")
            found += [f"{path.name}: {name}"] if name in REFUSED else []
    return found


def test_run_is_one_process_that_starts_nothing_and_opens_ipv4_sockets_alone(tmp_path: Path) -> None:
    run = DEPLOY["run"]
    assert run.startswith("exec ") and not set(run) & set(";&|`$(")
    process = NodeProcess(tmp_path, ["/bin/sh", "-c", run], **watched(tmp_path))
    try:
        process.answer(process.request_set_up("a" * 16))
        pid = process.child.pid  # the shell's number is the node's, since it ended by exec
        proc = Path(f"/proc/{pid}")
        assert b"lemonhall.front.node" in (proc / "cmdline").read_bytes()
        tasks = list((proc / "task").iterdir())
        assert len(tasks) == 1 and (tasks[0] / "children").read_text() == ""
        maps = (proc / "maps").read_text()
        assert "/libc." in maps and "/ld-" in maps  # linked dynamically
        held = [os.readlink(d) for d in (proc / "fd").iterdir()]
        assert not [h for h in held if h.startswith("anon_inode") and "eventpoll" not in h]
        process.child.send_signal(signal.SIGHUP)
        process.run_until(lambda: any(m["event"] == "configuration taken" for m in process.log_entries()))
        process.answer(process.request_set_up("b" * 16))
        process.child.send_signal(signal.SIGTERM)
        process.run_until(lambda: process.child.poll() is not None)
        assert process.child.returncode == 0
        passes = [m["longest_pass_ms"] for m in process.log_entries() if m["event"] == "summary"]
        assert passes and max(passes) < 5000  # the platform's bound is 20 s without a wait
    finally:
        process.close()
    events = seen(tmp_path)
    assert {"socket.__new__", "socket.bind", "socket.connect", "import"} <= {e[0] for e in events}
    assert wrong(events) == []
    names = {e[1] for e in events if e[0] == "import" and e[1].startswith("lemonhall")}
    paths = [ROOT / (n.replace(".", "/") + ".py") for n in names]
    assert len([p for p in paths if p.exists()]) > 15
    assert refused_names([p for p in paths if p.exists()]) == []


@pytest.mark.parametrize(
    "flaw",
    [
        "import os; os.fork() or os._exit(0)",
        "import subprocess; subprocess.run(['/bin/true'])",
        "import socket; socket.socket(socket.AF_UNIX, socket.SOCK_STREAM); socket.socketpair()",
        "import socket; socket.socket(socket.AF_INET6, socket.SOCK_STREAM)",
        "import ctypes; ctypes.CDLL(None)",
        "open('/dev/null', 'a')",
    ],
)
def test_each_thing_that_the_platform_refuses_is_seen(flaw: str, tmp_path: Path) -> None:
    env = {**os.environ, **watched(tmp_path)}
    subprocess.run([sys.executable, "-c", flaw], env=env, check=True, timeout=30)
    assert wrong(seen(tmp_path))


def test_a_name_of_a_refused_call_in_the_source_is_seen(tmp_path: Path) -> None:
    path = tmp_path / "flaw.py"
    path.write_text("import os\n\ndef f(a, b):\n    return os.sendfile(a, b, 0, 9)\n")
    assert refused_names([path]) == ["flaw.py: sendfile"]


def test_build_works_twice_on_a_new_machine_and_writes_in_its_own_folder_alone(tmp_path: Path) -> None:
    new = tmp_path / "new"
    ignored = shutil.ignore_patterns(
        "__pycache__", "model", "config", "hooks", "importer", "standins", "rtsp"
    )
    shutil.copytree(ROOT / "lemonhall", new / "lemonhall", ignore=ignored)  # most of it: it takes a while
    env = {"PATH": os.environ["PATH"], "HOME": str(new), "TMPDIR": str(new)}
    for _ in range(2):
        subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=new, env=env, check=True, timeout=120)
    assert [p.name for p in tmp_path.iterdir()] == ["new"]
    assert list((new / "lemonhall" / "__pycache__").glob("decide.*.pyc"))
    assert (new / ".venv" / "bin" / "python").exists()
