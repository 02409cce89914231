"""From a request to its route: the compiled table. Pure.

The first route that fits counts, as if all were tried in order. It is found by blocks of the same hosts,
exact paths and prefixes by dictionary, and regular expressions by RE2: linear in the path, whatever is
written, and all those of one prefix in one pass. What RE2 cannot express (lookaround, back references) is
refused by name.

A route may rewrite the path, answer by itself, and send on; a path that was rewritten is looked up again, ten
times at most, as the nginx documentation has it for `rewrite`.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any
from urllib.parse import unquote_to_bytes

import re2
import xxhash

CYCLES_MOST = 10
SET_FROM = 8  # regular expressions of one prefix from which they are looked for together
SET_OF = 256
SET_MEMORY = 64 << 20
PATTERN_MEMORY = 8 << 20
VARIABLE = re.compile(r"\$(?:\{(\w+)\}|(\d)|(\w+))")
Header = Callable[[str], str]
Tell = Callable[[str], object]


class BadPattern(ValueError):
    """A regular expression that RE2 does not take, and why."""


@lru_cache(maxsize=65536)
def compile_pattern(pattern: str, any_case: bool = False) -> Any:
    """Raises `BadPattern`."""
    options = re2.Options()
    options.case_sensitive = not any_case
    options.log_errors = False
    options.max_mem = PATTERN_MEMORY
    try:
        return re2.compile(pattern, options=options)
    except re2.error as error:
        why = error.args[0] if error.args else error
        raise BadPattern(why.decode(errors="replace") if isinstance(why, bytes) else str(why)) from error


@dataclass(frozen=True)
class Match:
    """The path fits a regular expression, anywhere in it."""

    pattern: str
    any_case: bool = False


@dataclass(frozen=True)
class Condition:
    """`what`: host, path, query, "header NAME" or "arg NAME". `how`: is, not, match, no-match, any-case,
    no-any-case; or given: not empty, and missing."""

    what: str
    how: str
    value: str = ""


@dataclass(frozen=True)
class Step:
    """A rewriting, or an answer, if all tests hold. `then`: "" (go on), last, break, redirect, permanent."""

    pattern: str = ""
    to: str = ""
    then: str = ""
    tests: tuple[Condition, ...] = ()
    answer: int = 0


@dataclass(frozen=True)
class PoolServer:
    address: str
    weight: int = 1
    backup: bool = False


@dataclass(frozen=True)
class Pool:
    """Servers by what they are (`wished`), or by address with weights and how one is picked."""

    name: str
    wished: tuple[tuple[str, int], ...] = ()
    servers: tuple[PoolServer, ...] = ()
    pick: str = "round-robin"
    key: str = ""


@dataclass(frozen=True)
class Route:
    """Requests whose path begins with `prefix` (and that fit all the rest) are of a class and a partner."""

    prefix: str
    cls: int = 0
    tenant: int = 0
    header: tuple[str, str] | None = None
    prefer: tuple[tuple[str, int], ...] = ()  # of its pool: servers by zone, kind and cell
    hosts: tuple[str, ...] = ()
    exact: bool = False
    matches: tuple[Match, ...] = ()
    tests: tuple[Condition, ...] = ()
    steps: tuple[Step, ...] = ()
    to: str = ""  # the path that the server is asked for; "": as it is
    answer: int = 0
    goes_on: bool = False  # its steps are done, then the routes behind it are looked at
    pool: Pool | None = None
    place: str = field(default="", compare=False)  # file and line


@dataclass(frozen=True)
class Request:
    """`target`: path with its query, as written; `header(name)` gives "" for none."""

    target: str
    host: str = ""
    header: Header = lambda name: ""


@dataclass(frozen=True)
class Chosen:
    route: Route
    path: str  # to ask the server for, with its query
    cycles: int = 0


@dataclass(frozen=True)
class Answered:
    """The route answers by itself. `to`: for a redirection."""

    status: int
    to: str = ""
    route: Route | None = None


@lru_cache(maxsize=4096)
def normal(path: str) -> str:
    """Percent-encoding decoded, `.` and `..` resolved, `//` merged. Raises `ValueError` over the root."""
    decoded = unquote_to_bytes(path).decode("utf-8", "surrogateescape")
    if "\0" in decoded or not decoded.startswith("/"):
        raise ValueError("no path")
    parts: list[str] = []
    pieces = re.sub("/+", "/", decoded)[1:].split("/")
    for n, piece in enumerate(pieces):
        last = n == len(pieces) - 1
        if piece == "..":
            if not parts:
                raise ValueError("the path leaves the root")
            parts.pop()
        elif piece != ".":
            parts.append(piece)
            continue
        if last:
            parts.append("")
    return "/" + "/".join(parts)


def host_fits(name: str, host: str) -> bool:
    """Exact, `*.tail`, `.tail` (both), `head.*`, `~regular expression`."""
    if name.startswith("~"):
        return compile_pattern(name[1:], True).search(host) is not None
    if name.startswith("*."):
        return host.endswith(name[1:]) and len(host) > len(name) - 1
    if name.startswith("."):
        return host == name[1:] or host.endswith(name)
    if name.endswith(".*"):
        return host.startswith(name[:-1]) and len(host) > len(name) - 1
    return host == name


class Matched:
    """A request on its way through the table: what variables stand for."""

    def __init__(self, request: Request, path: str, query: str, raw: str) -> None:
        self.request, self.path, self.query, self.raw = request, path, query, raw
        self.groups: tuple[str, ...] = ()

    def value(self, name: str) -> str:
        if name.isdigit():
            n = int(name) - 1
            return self.groups[n] if 0 <= n < len(self.groups) else ""
        if name in ("uri", "document_uri"):
            return self.path
        if name in ("args", "query_string"):
            return self.query
        if name == "is_args":
            return "?" if self.query else ""
        if name == "request_uri":
            return self.request.target
        if name in ("host", "http_host"):
            return self.request.host
        if name.startswith("http_"):
            return self.request.header(name[5:].replace("_", "-"))
        if name.startswith("arg_"):
            return next((v for k, v in pairs(self.query) if k == name[4:]), "")
        return ""

    def expand(self, template: str) -> str:
        return VARIABLE.sub(lambda m: self.value(m[1] or m[2] or m[3]), template)

    def subject(self, what: str) -> str:
        kind, _, name = what.partition(" ")
        if kind == "header":
            return self.request.header(name)
        return self.value({"path": "uri", "query": "args", "arg": f"arg_{name}"}.get(kind, kind))

    def holds(self, test: Condition) -> bool:
        subject = self.subject(test.what)
        if test.how in ("given", "missing"):
            return (subject not in ("", "0")) == (test.how == "given")
        if test.how in ("is", "not"):
            return (subject == test.value) == (test.how == "is")
        found = compile_pattern(test.value, "any-case" in test.how).search(subject)
        if found and not test.how.startswith("no-"):
            self.groups = tuple(g or "" for g in found.groups())
        return (found is not None) != test.how.startswith("no-")


def pairs(query: str) -> list[tuple[str, str]]:
    return [(k, v) for k, _, v in (p.partition("=") for p in query.split("&"))]


class Bucket:
    """Routes of one prefix or one exact path, by their place in the block."""

    def __init__(self) -> None:
        self.plain: list[int] = []
        self.patterned: list[int] = []
        self.sets: list[tuple[Any, list[int]]] = []  # expressions that are looked for together, and whose

    def close(self, routes: Sequence[Route]) -> None:
        """Sets are of so few expressions that one state of their automaton takes some 100 kB of the memory
        that they may use: RE2 would take a want of memory for no match."""
        if len(self.patterned) <= SET_FROM:
            return
        for start in range(0, len(self.patterned), SET_OF):
            some = self.patterned[start : start + SET_OF]
            options = re2.Options()
            options.max_mem, options.log_errors = SET_MEMORY, False
            made = re2.Set.SearchSet(options)
            for n in some:
                first = routes[n].matches[0]
                made.Add(f"(?i:{first.pattern})" if first.any_case else first.pattern)
            made.Compile()
            self.sets.append((made, some))

    def candidates(self, path: str) -> list[int]:
        if not self.sets:
            return self.plain + self.patterned if self.patterned else self.plain
        return self.plain + [some[k] for made, some in self.sets for k in made.Match(path) or ()]


class Block:
    """Neighbours in the table that are for the same hosts."""

    def __init__(self, hosts: tuple[str, ...], routes: list[Route]) -> None:
        self.hosts, self.routes = hosts, routes
        self.names = {h for h in hosts if not h.startswith(("~", "*", ".")) and not h.endswith("*")}
        self.patterns = [h for h in hosts if h not in self.names]
        self.exact: dict[str, Bucket] = {}
        self.prefixes: dict[str, Bucket] = {}
        for n, route in enumerate(routes):
            table = self.exact if route.exact else self.prefixes
            bucket = table.setdefault(route.prefix, Bucket())
            (bucket.patterned if route.matches else bucket.plain).append(n)
        for bucket in [*self.exact.values(), *self.prefixes.values()]:
            bucket.close(routes)
        self.lengths = sorted({len(p) for p in self.prefixes})

    def takes(self, host: str) -> bool:
        return not self.hosts or host in self.names or any(host_fits(p, host) for p in self.patterns)

    def find(self, at: Matched, start: int = 0) -> int | None:
        """The first route from `start` on that fits."""
        path = at.path
        found = self.exact[path].candidates(path) if path in self.exact else []
        for length in self.lengths:
            if length > len(path):
                break
            if bucket := self.prefixes.get(path[:length]):
                found = found + bucket.candidates(path)
        for n in sorted(found):
            if n >= start and fits(self.routes[n], at):
                return n
        return None


def fits(route: Route, at: Matched) -> bool:
    if route.header and at.request.header(route.header[0]) != route.header[1]:
        return False
    groups: tuple[str, ...] = ()
    for match in route.matches:
        found = compile_pattern(match.pattern, match.any_case).search(at.path)
        if not found:
            return False
        groups = tuple(g or "" for g in found.groups())
    at.groups = groups
    return all(at.holds(test) for test in route.tests)


class Router:
    """`clean`: paths are made normal before routes are looked at."""

    def __init__(self, routes: Sequence[Route], clean: bool = False) -> None:
        """Raises `BadPattern`."""
        self.clean = clean
        self.blocks: list[Block] = []
        for route in routes:
            for match in route.matches:
                compile_pattern(match.pattern, match.any_case)
        start = 0
        for n in range(1, len(routes) + 1):
            if n == len(routes) or routes[n].hosts != routes[start].hosts:
                if n > start:
                    self.blocks.append(Block(routes[start].hosts, list(routes[start:n])))
                start = n

    def find(
        self, request: Request, tell: Callable[[str], object] = lambda line: None
    ) -> Chosen | Answered | None:
        """Where a request goes; None: no route. `tell` hears of each step, in words."""
        raw, _, query = request.target.partition("?")
        host = request.host.partition(":")[0].lower().rstrip(".")
        try:
            path = normal(raw) if self.clean else raw
        except ValueError as error:
            tell(f"{raw}: {error}")
            return Answered(400)
        at = Matched(Request(request.target, host, request.header), path, query, raw)
        for cycle in range(CYCLES_MOST + 1):
            outcome = self.cycle(at, host, cycle, tell)
            if outcome != "again":
                assert not isinstance(outcome, str)
                return outcome
        tell(f"rewritten more than {CYCLES_MOST} times")
        return Answered(500)

    def cycle(self, at: Matched, host: str, cycle: int, tell: Tell) -> Chosen | Answered | None | str:
        for block in self.blocks:
            if not block.takes(host):
                continue
            start = 0
            while (n := block.find(at, start)) is not None:
                route = block.routes[n]
                start = n + 1
                if route.goes_on and cycle:
                    continue
                tell(f"{at.path}: route {route.prefix} ({route.place or 'no place'})")
                done = self.steps(route, at, tell)
                if isinstance(done, Answered):
                    return done
                if route.goes_on:
                    continue
                if done == "again":
                    return "again"
                return self.end(route, at, cycle)
        return None

    def steps(self, route: Route, at: Matched, tell: Tell) -> Answered | str:
        """Rewrites the path. "again": it is to be looked up anew."""
        changed = False
        for step in route.steps:
            if not all(at.holds(t) for t in step.tests):
                continue
            if step.answer:
                return Answered(step.answer, at.expand(step.to), route)
            if not step.pattern:  # no more of the steps
                return "again" if step.then == "last" and changed else ""
            found = compile_pattern(step.pattern).search(at.path)
            if not found:
                continue
            at.groups = tuple(g or "" for g in found.groups())
            made = at.expand(step.to)
            if step.then in ("redirect", "permanent") or re.match(r"[a-z]+://", made):
                status = 301 if step.then == "permanent" else 302
                return Answered(status, with_query(made, at.query), route)
            path, mark, query = made.partition("?")
            if not mark:
                query = at.query
            elif query and at.query:
                query = f"{query}&{at.query}"
            tell(f"{at.path} becomes {path}")
            at.path, at.query, changed = path, query, True
            if step.then == "break":
                return ""
            if step.then == "last":
                return "again"
        return "again" if changed else ""

    def end(self, route: Route, at: Matched, cycle: int) -> Chosen | Answered:
        if route.answer:
            return Answered(route.answer, at.expand(route.to), route)
        if not route.to:
            same = at.path == (normal(at.raw) if self.clean else at.raw) and not cycle
            path = at.raw if same else at.path
            return Chosen(route, path + (f"?{at.query}" if at.query else ""), cycle)
        if "$" in route.to:
            return Chosen(route, at.expand(route.to), cycle)
        return Chosen(route, with_query(route.to + at.path[len(route.prefix) :], at.query), cycle)


def with_query(made: str, query: str) -> str:
    if made.endswith("?"):
        return made[:-1]
    return f"{made}{'&' if '?' in made else '?'}{query}" if query else made


def title_of(path: str) -> int:
    """64 bits for a title: its path without the query. Stable over machines and versions (XXH3)."""
    return xxhash.xxh3_64_intdigest(path.partition("?")[0].encode())
