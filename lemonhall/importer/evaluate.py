"""One request by the documented rules, step by step, straight from the directives. Deliberately plain: it
looks at everything in order and knows nothing of our routes. Pure.

Regular expressions are Python's here (nginx has PCRE); the router has RE2.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from urllib.parse import unquote

from lemonhall.importer.meaning import Http, Location, Server
from lemonhall.importer.read import Directive

CYCLES = 10
VARIABLE = re.compile(r"\$(?:\{(\w+)\}|(\d)|([A-Za-z_]\w*))")


@dataclass
class Outcome:
    """`upstream`: its name, or an address; or a status that nginx answers by itself, with `to` for a
    redirection. `uri`: as the upstream is asked for it."""

    upstream: str = ""
    uri: str = ""
    status: int = 0
    to: str = ""
    steps: list[str] = field(default_factory=list)


class Done(Exception):
    def __init__(self, outcome: Outcome) -> None:
        super().__init__()
        self.outcome = outcome


class Stop(Exception):
    """No more rewriting here. `kept`: the request stays in this location whatever its URI is now."""

    def __init__(self, kept: bool) -> None:
        super().__init__()
        self.kept = kept


class Again(Exception):
    """The location is to be looked for anew."""


def python_pattern(pattern: str) -> str:
    return re.sub(r"\(\?<([A-Za-z_]\w*)>", r"(?P<\1>", pattern)


def clean(path: str) -> str:
    """Decoded, dot segments resolved, slashes merged. Raises `ValueError` over the root."""
    parts: list[str] = []
    decoded = unquote(path, errors="surrogateescape")
    if "\0" in decoded or not decoded.startswith("/"):
        raise ValueError("no path")
    ends_in_slash = False
    for piece in decoded.split("/")[1:]:
        ends_in_slash = piece in ("", ".", "..")
        if piece == "..":
            if not parts:
                raise ValueError("over the root")
            parts.pop()
        elif piece not in ("", "."):
            parts.append(piece)
    return "/" + "/".join(parts) + ("/" if ends_in_slash and parts else "")


class Evaluation:
    def __init__(self, http: Http, host: str, target: str, headers: Mapping[str, str], listen: str) -> None:
        self.http, self.headers, self.listen = http, headers, listen
        self.host = host.partition(":")[0].lower()
        self.target = target
        raw, _, self.args = target.partition("?")
        self.steps: list[str] = []
        self.captures: tuple[str, ...] = ()
        self.named: dict[str, str] = {}
        self.set: dict[str, str] = {}
        self.raw = raw
        self.changed = False
        try:
            self.uri = clean(raw)
        except ValueError:
            self.uri = ""

    def say(self, what: str) -> None:
        self.steps.append(what)

    def done(self, **fields: object) -> Done:
        return Done(Outcome(steps=self.steps, **fields))  # type: ignore[arg-type]

    def run(self) -> Outcome:
        if not self.uri:
            return Outcome(status=400, steps=self.steps)
        try:
            server = self.server()
            self.say(f"server {' '.join(server.names) or '(no name)'} ({server.directive.place})")
            self.rewriting(server.directive.block or [], at_server=True)
            for _ in range(CYCLES + 1):
                try:
                    self.at(self.location(server), server)
                except Again:
                    continue
            return Outcome(status=500, steps=self.steps)
        except Done as done:
            return done.outcome

    # which server

    def server(self) -> Server:
        there = [s for s in self.http.servers if self.listen in s.listens]
        exact = [s for s in there if self.host in [n.removeprefix(".") for n in s.names if "*" not in n]]
        if self.host and exact:
            return exact[0]
        tails = [(len(n), -k, s) for k, s in enumerate(there) for n in s.names if self.tail(n)]
        if tails:
            return max(tails, key=lambda t: t[:2])[2]
        heads = [(len(n), -k, s) for k, s in enumerate(there) for n in s.names if self.head(n)]
        if heads:
            return max(heads, key=lambda t: t[:2])[2]
        for s in there:
            for name in s.names:
                if name.startswith("~") and self.search(name[1:], self.host, re.IGNORECASE):
                    return s
        return next((s for s in there if s.listens[self.listen]), there[0])

    def tail(self, name: str) -> bool:
        dotted = name[1:] if name.startswith("*.") else name if name.startswith(".") else None
        return dotted is not None and self.host.endswith(dotted) and self.host != dotted

    def head(self, name: str) -> bool:
        return name.endswith(".*") and self.host.startswith(name[:-1]) and self.host != name[:-1]

    def search(self, pattern: str, subject: str, flags: int = 0) -> bool:
        found = re.search(python_pattern(pattern), subject, flags)
        if found is None:
            return False
        self.captures = tuple(g or "" for g in found.groups())
        self.named.update({k: v or "" for k, v in found.groupdict().items()})
        return True

    # which location

    def location(self, server: Server) -> Location | None:
        found = self.among(server.locations)[0]
        where = f"{found.kind} {found.text}".strip() if found else "none"
        self.say(f"{self.uri}: location {where}" + (f" ({found.directive.place})" if found else ""))
        return found

    def among(self, locations: list[Location]) -> tuple[Location | None, bool]:
        """The location, and whether it is final: exact, or found by an expression."""
        for each in locations:
            if each.kind == "=" and each.text == self.uri:
                return each, True
        itself = any(x.kind in ("", "^~") and x.text == self.uri for x in locations)
        for each in locations:
            if each.asks_for_slash and each.text == f"{self.uri}/" and not itself:
                self.say(f"{self.uri}: the slash of location {each.text} is missing")
                raise self.done(status=301, to=self.joined(each.text))
        prefixes = [x for x in locations if x.kind in ("", "^~") and self.uri.startswith(x.text)]
        best = max(prefixes, key=lambda x: len(x.text), default=None)
        inner: Location | None = None
        if best:
            inner, final = self.among(best.nested)
            if inner and final:
                return inner, True
        if best is None or best.kind != "^~":
            for each in locations:
                if each.kind in ("~", "~*"):
                    flags = re.IGNORECASE if each.kind == "~*" else 0
                    if self.search(each.text, self.uri, flags):
                        nested, _ = self.among(each.nested)
                        return nested or each, True
        return inner or best, False

    def named_location(self, server: Server, name: str) -> Location | None:
        return next((x for x in server.locations if x.kind == "@" and x.text == name), None)

    # what happens there

    def at(self, location: Location | None, server: Server) -> None:
        if location is None:
            raise self.done(status=404)
        block = location.directive.block or []
        self.rewriting(block, at_server=False)
        for each in block:
            if each.name == "try_files":
                self.say("try_files: no files here, the last one counts")
                last = self.expand(each.args[-1])
                if last.startswith("="):
                    raise self.done(status=int(last[1:]))
                if last.startswith("@"):
                    self.at(self.named_location(server, last), server)
                    return
                path, mark, args = last.partition("?")
                self.uri, self.args = path, args if mark else self.args
                self.changed = True
                raise Again
        passes = [d for d in block if d.name == "proxy_pass"]
        if not passes:
            raise self.done(status=404)
        raise self.proxied(location, passes[0].args[0])

    def proxied(self, location: Location, target: str) -> Done:
        rest = self.expand(target.partition("://")[2])
        name, slash, uri = rest.partition("/")
        query = f"?{self.args}" if self.args else ""
        if "$" in target and slash:
            return self.done(upstream=name, uri="/" + uri)
        if slash and location.kind in ("", "^~", "=") and not self.broken:
            made = "/" + uri + self.uri[len(location.text) :]
            return self.done(upstream=name, uri=made + query)
        asked = self.uri if self.changed else self.raw
        return self.done(upstream=name, uri=asked + query)

    broken = False  # rewritten and kept here by `break`: the URI is passed as it is

    def rewriting(self, block: list[Directive], at_server: bool) -> None:
        started, kept = self.uri, False
        try:
            self.steps_of(block)
        except Stop as stopped:
            kept = stopped.kept
        if not at_server and self.uri != started and not kept:
            raise Again
        if not at_server:
            self.broken = kept and self.uri != started

    def steps_of(self, block: list[Directive]) -> None:
        for each in block:
            if each.name == "return":
                raise self.returned(each)
            if each.name == "set":
                self.set[each.args[0].lstrip("$")] = self.expand(each.args[1])
            elif each.name == "break":
                raise Stop(True)
            elif each.name == "rewrite":
                self.rewrite(each)
            elif each.name == "if" and self.holds(each.args):
                self.say(f"if {' '.join(each.args)} holds ({each.place})")
                self.steps_of(each.block or [])

    def rewrite(self, each: Directive) -> None:
        pattern, template, *flag = each.args
        if not self.search(pattern, self.uri):
            return
        made = self.expand(template)
        what = flag[0] if flag else ""
        if (
            what in ("redirect", "permanent")
            or re.match(r"(https?|rtsp)://", made)
            or made.startswith("$scheme")
        ):
            raise self.done(status=301 if what == "permanent" else 302, to=self.joined(made))
        joined = self.joined(made)
        self.uri, _, self.args = joined.partition("?")
        self.changed = True
        self.say(f"rewrite to {joined} ({each.place})")
        if what in ("last", "break"):
            raise Stop(what == "break")

    def joined(self, made: str) -> str:
        """The arguments of before follow, unless the new ones end in a question mark."""
        if made.endswith("?"):
            return made[:-1]
        if not self.args:
            return made
        return f"{made}{'&' if '?' in made else '?'}{self.args}"

    def returned(self, each: Directive) -> Done:
        first = each.args[0] if each.args else "404"
        if not first.isdigit():
            return self.done(status=302, to=self.expand(first))
        to = self.expand(each.args[1]) if len(each.args) > 1 else ""
        return self.done(status=int(first), to=to if first in ("301", "302", "303", "307", "308") else "")

    def holds(self, args: list[str]) -> bool:
        subject = self.expand(args[0])
        if len(args) == 1:
            return subject not in ("", "0")
        how, value = args[1], args[2]
        if how in ("=", "!="):
            return (subject == value) == (how == "=")
        found = self.search(value, subject, re.IGNORECASE if "*" in how else 0)
        return found != how.startswith("!")

    # variables

    def expand(self, template: str) -> str:
        return VARIABLE.sub(lambda m: self.value(m[1] or m[2] or m[3]), template)

    def value(self, name: str) -> str:
        if name.isdigit():
            return self.captures[int(name) - 1] if 0 < int(name) <= len(self.captures) else ""
        if name in self.set:
            return self.set[name]
        if name in self.named:
            return self.named[name]
        if f"${name}" in self.http.maps:
            return self.mapped(f"${name}")
        fixed = {
            "uri": self.uri,
            "document_uri": self.uri,
            "args": self.args,
            "query_string": self.args,
            "is_args": "?" if self.args else "",
            "request_uri": self.target,
            "host": self.host,
            "http_host": self.host,
        }
        if name in fixed:
            return fixed[name]
        if name.startswith("http_"):
            return self.headers.get(name[5:].replace("_", "-").lower(), "")
        if name.startswith("arg_"):
            found = [p.partition("=") for p in self.args.split("&")]
            return next((v for k, _, v in found if k == name[4:]), "")
        return ""

    def mapped(self, variable: str) -> str:
        """Exact ones first, then the expressions in file order, then the default."""
        known = self.http.maps[variable]
        subject = self.expand(known.source)
        for pattern, value in known.entries:
            if not pattern.startswith("~") and pattern.lower() == subject.lower():
                return self.expand(value)
        for pattern, value in known.entries:
            if pattern.startswith("~"):
                flags = re.IGNORECASE if pattern.startswith("~*") else 0
                if self.search(pattern.removeprefix("~").removeprefix("*"), subject, flags):
                    return self.expand(value)
        return self.expand(known.default)


def evaluate(
    http: Http, host: str, target: str, headers: Mapping[str, str] | None = None, listen: str = ""
) -> Outcome:
    """`listen`: the address at which the request comes; the first that is named if left out."""
    lowered = {k.lower(): v for k, v in (headers or {}).items()}
    return Evaluation(http, host, target, lowered, listen or http.listens[0]).run()
