"""Measures the router and the import: `benchmarks/importer.py`.

Time of one match at 10, 1,000 and 20,000 routes against a plain scan of the same routes in the same run; time
of an import; how the public index's directives fare.
"""

from __future__ import annotations

import json
import statistics
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random

ROOT = Path(__file__).parents[1]
sys.path.insert(0, str(ROOT))

from crossplane import analyzer  # noqa: E402

from lemonhall.cli.importing import checked, problem_of  # noqa: E402
from lemonhall.config.routing import Match, Request, Route, Router, compile_pattern  # noqa: E402
from lemonhall.importer import import_files  # noqa: E402
from lemonhall.importer.index import row_of  # noqa: E402


def routes(count: int, part: float, random: Random) -> list[Route]:
    """`part` of them by expression, the others by prefix."""
    made = []
    for n in range(count - 1):
        if random.random() < part:
            made.append(Route("/", n, matches=(Match(rf"^/p{n}/[a-z]+\.mp4$"),)))
        else:
            made.append(Route(f"/p{n}/", n))
    return [*made, Route("/", count)]


def scan(table: list[Route], path: str) -> Route | None:
    for route in table:
        if path.startswith(route.prefix) and all(
            compile_pattern(m.pattern).search(path) for m in route.matches
        ):
            return route
    return None


def matching(count: int, part: float) -> dict[str, float]:
    random = Random(7)
    table = routes(count, part, random)
    began = time.perf_counter()
    router = Router(table)
    compiled = time.perf_counter() - began
    paths = [f"/p{random.randrange(count)}/clip.mp4" for _ in range(200)]
    took, plain = [], []
    for path in paths:
        began = time.perf_counter()
        found = router.find(Request(path))
        took.append(time.perf_counter() - began)
        began = time.perf_counter()
        expected = scan(table, path)
        plain.append(time.perf_counter() - began)
        assert found is not None and getattr(found, "route", None) is expected
    router_us, scan_us = (1e6 * statistics.median(times) for times in (took, plain))
    return {
        "routes": count,
        "by_expression": part,
        "router_us": round(router_us, 1),
        "scan_us": round(scan_us, 1),
        "scan_over_router": round(scan_us / router_us, 1),
        "compile_s": round(compiled, 3),
    }


def importing(count: int, folder: Path) -> dict[str, float]:
    lines = ["upstream a { server 10.0.0.1:80; }", "server { listen 80;"]
    for n in range(count):
        kind = "~" if n % 20 == 0 else ""
        text = rf"^/r{n}/.*\.mp4$" if kind else f"/p{n}/"
        lines.append(f"location {kind} {text} {{ proxy_pass http://a; }}")
    path = folder / "many.conf"
    path.write_text("\n".join([*lines, "}"]))
    began = time.perf_counter()
    made = import_files([path], "clip", problem=problem_of)
    read = time.perf_counter() - began
    checked(made.text, "clip", "")
    return {
        "locations": count,
        "import_s": round(read, 2),
        "check_s": round(time.perf_counter() - began - read, 2),
    }


def main() -> None:
    for count in (10, 1000, 20000):
        for part in (0.0, 0.2):
            print(json.dumps(matching(count, part)), flush=True)
    with tempfile.TemporaryDirectory() as name:
        for count in (1000, 20000):
            print(json.dumps(importing(count, Path(name))), flush=True)
    print(json.dumps(Counter(row_of(name)[0] for name in analyzer.DIRECTIVES)))


if __name__ == "__main__":
    main()
