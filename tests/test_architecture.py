"""Imports go down only, and the pure parts touch neither sockets nor clocks. Read from the source itself."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1] / "lemonhall"
FLOORS = {
    "cli": 7,
    "day": 6,
    "ipc": 3,
    "zones": 3,
    "limits": 2,
    "recovery": 3,
    "node": 3,
    "front": 4,
    "standins": 4,
    "links": 5,  # a stand-in like those below it, with their tap and their commands
    "model": 5,  # it plays days and holds them against the audit; nobody imports it but the command line
    "audit": 4,
    "hooks": 3,
    "config": 3,
    "members": 3,
    "store": 3,
    "capture": 3,
    "importer": 3,
    "rtsp": 2,
    "loop": 2,
    "boxlist": 2,
    "decide": 1,
    "interface": 0,
    "problem": 0,
    "layout": 0,
    "logs": 0,
}
BESIDE = ("adapter", "wire", "__init__", "__main__")
PURE = (
    "decide.py",
    "interface.py",
    "problem.py",
    "layout.py",
    "rtsp/*.py",
    "boxlist/codec.py",
    "audit/rules.py",
    "audit/trace.py",
    "front/viewers/routes.py",
    "front/servers/rtp_rewriter.py",
    "front/decider/pool_picker.py",
    "front/handover/state_machine.py",
    "config/routing.py",
    "capture/*.py",
    "day/frombench.py",
    "importer/evaluate.py",
    "importer/meaning.py",
    "importer/translate.py",
    "importer/index.py",
    "importer/notes.py",
    "front/decider/bridge.py",
    "hooks/*.py",
    "members/machine.py",
    "members/encryption.py",
    "members/front_count.py",
    "store/claims.py",
    "store/records.py",
    "ipc/*.py",
    "zones/*.py",
    "limits/*.py",
    "recovery/*.py",
    "node/*.py",
    "links/pipe.py",
    "links/network.py",
)
IMPURE = {"socket", "time", "selectors", "subprocess", "threading", "asyncio", "signal", "datetime"}
SOURCES = sorted(p for p in ROOT.rglob("*.py") if not p.name.endswith("_pb2.py"))


def imports(tree: ast.AST) -> set[str]:
    """Modules imported, also those for type checkers alone: they bind a reader as well."""
    found: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found |= {node.module} | {f"{node.module}.{alias.name}" for alias in node.names}
    return found


def part(name: str) -> str:
    return name.split(".")[1] if name.startswith("lemonhall.") else ""


def wrong_arrows(own: str, tree: ast.AST) -> list[str]:
    wrong = []
    for name in imports(tree):
        other = part(name)
        if other in FLOORS and other != own and FLOORS[other] >= FLOORS[own]:
            wrong.append(f"{own} imports {name}")
    return wrong


@pytest.mark.parametrize("path", SOURCES, ids=lambda p: str(p.relative_to(ROOT)))
def test_imports_go_down_only(path: Path) -> None:
    own = path.relative_to(ROOT).parts[0].removesuffix(".py")
    tree = ast.parse(path.read_text(encoding="utf-8"))
    assert "asyncio" not in imports(tree)
    if own in BESIDE:
        return
    assert own in FLOORS, f"{own} stands on no floor"
    assert wrong_arrows(own, tree) == []


@pytest.mark.parametrize("pattern", PURE)
def test_pure_parts_touch_no_socket_and_no_clock(pattern: str) -> None:
    paths = list(ROOT.glob(pattern))
    assert paths
    for path in paths:
        tree = ast.parse(path.read_text(encoding="utf-8"))
        names = {n.split(".")[0] for n in imports(tree)}
        allowed = {"datetime"} if path.name == "clock.py" else set()  # conversions, from a time passed in
        assert not names & (IMPURE - allowed), path
        if allowed:
            read = {n.attr for n in ast.walk(tree) if isinstance(n, ast.Attribute)}
            assert not read & {"now", "utcnow", "today"}, path


def circles(arrows: dict[str, set[str]]) -> list[list[str]]:
    """Groups of names that reach one another (Tarjan, "Depth-first search and linear graph algorithms")."""
    index: dict[str, int] = {}
    low: dict[str, int] = {}
    stack: list[str] = []
    found: list[list[str]] = []

    def visit(name: str) -> None:
        index[name] = low[name] = len(index)
        stack.append(name)
        for other in arrows.get(name, ()):
            if other not in index:
                visit(other)
                low[name] = min(low[name], low[other])
            elif other in stack:
                low[name] = min(low[name], index[other])
        if low[name] == index[name]:
            group = []
            while not group or group[-1] != name:
                group.append(stack.pop())
            if len(group) > 1:
                found.append(sorted(group))

    for name in sorted(arrows):
        if name not in index:
            visit(name)
    return found


def file_arrows() -> dict[str, set[str]]:
    """From each file to the files that it imports, by their modules' names."""
    names = {".".join(["lemonhall", *p.relative_to(ROOT).with_suffix("").parts]): p for p in SOURCES}
    arrows: dict[str, set[str]] = {}
    for name, path in names.items():
        told = imports(ast.parse(path.read_text(encoding="utf-8")))
        arrows[name] = {n for n in told if n in names and n != name}
    return arrows


def test_no_files_import_one_another_in_a_circle() -> None:
    assert circles(file_arrows()) == []


def test_no_folders_of_the_front_import_one_another_in_a_circle() -> None:
    folders: dict[str, set[str]] = {}
    for name, others in file_arrows().items():
        if name.startswith("lemonhall.front."):
            own = name.split(".")[2]
            into = {o.split(".")[2] for o in others if o.startswith("lemonhall.front.")}
            folders.setdefault(own, set()).update(into - {own})
    assert len(folders) > 5 and circles(folders) == []


def test_no_benchmarks_import_one_another_in_a_circle() -> None:
    arrows: dict[str, set[str]] = {}
    for path in sorted((ROOT.parent / "benchmarks").glob("*.py")):
        told = imports(ast.parse(path.read_text(encoding="utf-8")))
        arrows[f"benchmarks.{path.stem}"] = {n for n in told if n.startswith("benchmarks.")}
    assert len(arrows) > 5 and circles(arrows) == []


def test_the_search_for_circles_finds_one() -> None:
    assert circles({"a": {"b"}, "b": {"c"}, "c": {"b"}, "d": {"a"}}) == [["b", "c"]]


def test_the_module_and_the_adapter_need_the_standard_library_alone() -> None:
    import sys

    for name in ("decide", "interface", "adapter", "wire", "__init__"):
        tree = ast.parse((ROOT / f"{name}.py").read_text(encoding="utf-8"))
        tops = {n.split(".")[0] for n in imports(tree)}
        assert tops <= {*sys.stdlib_module_names, "lemonhall"}, name


def test_the_check_sees_an_arrow_that_goes_up() -> None:
    assert wrong_arrows("config", ast.parse("from lemonhall.front import daemon")) != []
    assert wrong_arrows("audit", ast.parse("import lemonhall.standins.tap")) != []
    assert wrong_arrows("front", ast.parse("from lemonhall.rtsp import Parser")) == []
