"""Modules import lower layers only, and pure modules use neither sockets nor clocks, by their source."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1] / "lemonhall"
LAYERS = {
    "cli": 7,
    "day": 6,
    "ipc": 3,
    "zones": 3,
    "limits": 2,
    "recovery": 3,
    "node": 3,
    "front": 4,
    "standins": 4,
    "soak": 5,  # plays front nodes as processes among stand-ins of its own
    "links": 5,  # a stand-in that uses the tap and the commands of `standins`
    "model": 5,  # plays days and audits them; only the command line imports it
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
UNLAYERED = ("adapter", "wire", "__init__", "__main__")
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
    """Imported modules, including those that only type checkers import."""
    found: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found |= {node.module} | {f"{node.module}.{alias.name}" for alias in node.names}
    return found


def package_of(name: str) -> str:
    return name.split(".")[1] if name.startswith("lemonhall.") else ""


def upward_imports(own: str, tree: ast.AST) -> list[str]:
    found = []
    for name in imports(tree):
        other = package_of(name)
        if other in LAYERS and other != own and LAYERS[other] >= LAYERS[own]:
            found.append(f"{own} imports {name}")
    return found


@pytest.mark.parametrize("path", SOURCES, ids=lambda p: str(p.relative_to(ROOT)))
def test_modules_import_lower_layers_only(path: Path) -> None:
    own = path.relative_to(ROOT).parts[0].removesuffix(".py")
    tree = ast.parse(path.read_text(encoding="utf-8"))
    assert "asyncio" not in imports(tree)
    if own in UNLAYERED:
        return
    assert own in LAYERS, f"{own} has no layer"
    assert upward_imports(own, tree) == []


@pytest.mark.parametrize("pattern", PURE)
def test_pure_modules_use_no_socket_and_no_clock(pattern: str) -> None:
    paths = list(ROOT.glob(pattern))
    assert paths
    for path in paths:
        tree = ast.parse(path.read_text(encoding="utf-8"))
        names = {n.split(".")[0] for n in imports(tree)}
        allowed = {"datetime"} if path.name == "clock.py" else set()  # converts times that are passed in
        assert not names & (IMPURE - allowed), path
        if allowed:
            read = {n.attr for n in ast.walk(tree) if isinstance(n, ast.Attribute)}
            assert not read & {"now", "utcnow", "today"}, path


def cycles(imports_of: dict[str, set[str]]) -> list[list[str]]:
    """Groups of names that import each other (Tarjan, "Depth-first search and linear graph algorithms")."""
    index: dict[str, int] = {}
    low: dict[str, int] = {}
    stack: list[str] = []
    found: list[list[str]] = []

    def visit(name: str) -> None:
        index[name] = low[name] = len(index)
        stack.append(name)
        for other in imports_of.get(name, ()):
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

    for name in sorted(imports_of):
        if name not in index:
            visit(name)
    return found


def file_imports() -> dict[str, set[str]]:
    """For each module of the package, the modules of the package that it imports."""
    names = {".".join(["lemonhall", *p.relative_to(ROOT).with_suffix("").parts]): p for p in SOURCES}
    imports_of: dict[str, set[str]] = {}
    for name, path in names.items():
        imported = imports(ast.parse(path.read_text(encoding="utf-8")))
        imports_of[name] = {n for n in imported if n in names and n != name}
    return imports_of


def test_files_have_no_import_cycle() -> None:
    assert cycles(file_imports()) == []


def test_folders_of_the_front_have_no_import_cycle() -> None:
    folders: dict[str, set[str]] = {}
    for name, others in file_imports().items():
        if name.startswith("lemonhall.front."):
            own = name.split(".")[2]
            into = {o.split(".")[2] for o in others if o.startswith("lemonhall.front.")}
            folders.setdefault(own, set()).update(into - {own})
    assert len(folders) > 5 and cycles(folders) == []


def test_benchmarks_have_no_import_cycle() -> None:
    imports_of: dict[str, set[str]] = {}
    for path in sorted((ROOT.parent / "benchmarks").glob("*.py")):
        imported = imports(ast.parse(path.read_text(encoding="utf-8")))
        imports_of[f"benchmarks.{path.stem}"] = {n for n in imported if n.startswith("benchmarks.")}
    assert len(imports_of) > 5 and cycles(imports_of) == []


def test_the_search_for_cycles_finds_one() -> None:
    assert cycles({"a": {"b"}, "b": {"c"}, "c": {"b"}, "d": {"a"}}) == [["b", "c"]]


def test_the_module_and_the_adapter_need_only_the_standard_library() -> None:
    import sys

    for name in ("decide", "interface", "adapter", "wire", "__init__"):
        tree = ast.parse((ROOT / f"{name}.py").read_text(encoding="utf-8"))
        tops = {n.split(".")[0] for n in imports(tree)}
        assert tops <= {*sys.stdlib_module_names, "lemonhall"}, name


def test_the_check_finds_an_import_of_a_higher_layer() -> None:
    assert upward_imports("config", ast.parse("from lemonhall.front import daemon")) != []
    assert upward_imports("audit", ast.parse("import lemonhall.standins.tap")) != []
    assert upward_imports("front", ast.parse("from lemonhall.rtsp import Parser")) == []
