"""From what the directives mean to routes and pools that give each request the same answer. Pure.

Our table is a list of which the first that fits counts, so the documented order of locations becomes an order
of routes: exact ones, then each prefix from the longest on. Where an expression may take what a prefix would
have, its route stands before; where `^~` forbids that, behind. `rewrite` and what belongs to it become steps.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field, replace
from math import gcd

from lemonhall.importer.meaning import REWRITING, Http, Location, Map, Server, Upstream, upstream_of
from lemonhall.importer.notes import Notes
from lemonhall.importer.read import Directive
from lemonhall.layout import quoted

VARIABLE = re.compile(r"\$(?:\{(\w+)\}|(\d)|([A-Za-z_]\w*))")
PATHS = ("uri", "document_uri", "request_uri")  # variables that begin with a slash
KNOWN = {"uri", "document_uri", "args", "query_string", "is_args", "request_uri", "host", "http_host"}
WEIGHT_MOST = 1_000_000
HOW = {"=": "is", "!=": "not", "~": "match", "!~": "no-match", "~*": "any-case", "!~*": "no-any-case"}
Test = tuple[str, str, str]


@dataclass
class Step:
    """`kind`: rewrite, reply or stop."""

    kind: str
    args: list[str]
    then: str = ""
    to: str = ""
    tests: list[Test] = field(default_factory=list)


@dataclass
class Out:
    """A route to be written."""

    prefix: str
    place: str
    hosts: list[str] = field(default_factory=list)
    exact: bool = False
    matches: list[tuple[str, bool]] = field(default_factory=list)
    tests: list[Test] = field(default_factory=list)
    steps: list[Step] = field(default_factory=list)
    to: str = ""
    answer: int = 0
    goes_on: bool = False
    pool: str = ""
    captures: tuple[str, ...] = ()  # names of the last expression's groups

    def to_kdl(self, cls: str, partner: str) -> str:
        fields = []
        if not self.answer and not self.goes_on:
            fields += [f"class={quoted(cls)}"] + ([f"partner={quoted(partner)}"] if partner else [])
        fields += [f"{name}=#true" for name, on in (("exact", self.exact), ("goes-on", self.goes_on)) if on]
        fields += [f"answer={self.answer}"] if self.answer else []
        fields += [f"to={quoted(self.to)}"] if self.to else []
        fields += [f"pool={quoted(self.pool)}"] if self.pool else []
        lines = [f"    host {quoted(h)}" for h in self.hosts]
        lines += [
            f"    match {quoted(p)}{' any-case=#true' if any_case else ''}" for p, any_case in self.matches
        ]
        lines += [f"    when {' '.join(map(quoted, t))}" for t in self.tests]
        for step in self.steps:
            head = " ".join([step.kind, *(a if step.kind == "reply" else quoted(a) for a in step.args)])
            head += f" then={quoted(step.then)}" if step.then else ""
            head += f" to={quoted(step.to)}" if step.to else ""
            inner = [f"        when {' '.join(map(quoted, t))}" for t in step.tests]
            lines += [f"    {head} {{", *inner, "    }"] if inner else [f"    {head}"]
        head = " ".join([f"route {quoted(self.prefix)}", *fields])
        return "\n".join(
            [f"// {self.place}", f"{head} {{", *lines, "}"] if lines else [f"// {self.place}", head]
        )


class CannotCarry(Exception):
    """Why a location's routes would not do the same."""


class Translator:
    """`listen`: the address whose servers are carried."""

    def __init__(self, http: Http, notes: Notes, listen: str) -> None:
        self.http, self.notes, self.listen = http, notes, listen
        self.pools: dict[str, Upstream] = {}
        self.routes: list[Out] = []
        self.constants: dict[str, str] = {}

    def run(self) -> None:
        servers = [s for s in self.http.servers if self.listen in s.listens]
        for other in self.http.servers:
            if self.listen not in other.listens:
                self.notes.lost(
                    other.directive,
                    f"listens at {', '.join(other.listens)} alone",
                    "import it again with --listen for a front of its own",
                )
        for hosts, server in self.by_name(servers):
            self.server(hosts, server)

    def by_name(self, servers: list[Server]) -> list[tuple[list[str], Server]]:
        """Servers in the order of their names' rank; the default one last, for all that is left."""
        made: list[tuple[list[str], Server]] = []
        seen: set[str] = set()
        for server in servers:
            exact = []
            for name in server.names:
                plain = name.removeprefix(".") if "*" not in name and not name.startswith("~") else ""
                if plain and plain not in seen:
                    exact.append(plain)
                    seen.add(plain)
                elif plain:
                    self.notes.lost(
                        server.directive, f'"{name}" is an earlier server\'s name', "take one out"
                    )
            if exact:
                made.append((exact, server))
        ranked = [(n, s) for s in servers for n in s.names]
        tails = [(n if n.startswith("*") else f"*{n}", s) for n, s in ranked if n.startswith(("*.", "."))]
        heads = [(n, s) for n, s in ranked if n.endswith(".*")]
        for some in (tails, heads):
            for name, server in sorted(some, key=lambda pair: -len(pair[0])):
                if name not in seen:
                    seen.add(name)
                    made.append(([name], server))
        for name, server in ranked:
            if name.startswith("~"):
                pattern = self.pattern(name[1:], server.directive)
                if pattern is not None:
                    made.append(([f"~{pattern}"], server))
        default = next((s for s in servers if s.listens[self.listen]), servers[0])
        return [*made, ([], default)]

    def server(self, hosts: list[str], server: Server) -> None:
        self.constants = {}
        place = server.directive.place
        steps = self.steps(server.directive.block or [], ())
        if steps:
            self.routes.append(Out("/", place, hosts, steps=steps, goes_on=True))
        at_server = dict(self.constants)
        named = {x.text: x for x in server.locations if x.kind == "@"}
        taken: set[str] = set()  # prefixes under which nothing is left for those behind
        for out, location in self.level([x for x in server.locations if x.kind != "@"]):
            if any(out.prefix[:end] in taken for end in range(len(out.prefix) + 1)):
                continue
            if not (out.exact or out.matches):
                taken.add(out.prefix)
            self.constants = dict(at_server)
            out = replace(out, hosts=hosts)
            self.routes += self.filled(out, location, named) if location else [out]
        if not any(x.kind in ("", "^~") and x.text == "/" for x in server.locations):
            self.routes.append(Out("/", place, hosts, answer=404))

    # the order of locations

    def level(self, locations: list[Location]) -> list[tuple[Out, Location | None]]:
        """Routes in order, each with the location that fills it; None: it is whole."""
        exact = [x for x in locations if x.kind == "="]
        prefixes = sorted((x for x in locations if x.kind in ("", "^~")), key=lambda x: -len(x.text))
        expressions = [pair for x in locations if x.kind in ("~", "~*") for pair in self.expression(x)]
        guarded = [p.text for p in prefixes if p.kind == "^~" or p.nested]
        made: list[tuple[Out, Location | None]] = [
            (Out(x.text, x.directive.place, exact=True), x) for x in exact
        ]
        there = {x.text for x in locations if x.kind in ("=", "", "^~")}
        for x in prefixes:
            if x.asks_for_slash and x.text[:-1] not in there:
                bare = Out(
                    x.text[:-1], x.directive.place, exact=True, answer=301, to=f"{x.text}$is_args$args"
                )
                made.append((bare, None))
        plain: list[tuple[Out, Location | None]] = []
        for prefix in prefixes:
            special = any(prefix.text.startswith(g) for g in guarded)
            (made if special else plain).extend(self.prefix(prefix, expressions if special else []))
        return [*made, *expressions, *plain]

    def prefix(
        self, prefix: Location, expressions: list[tuple[Out, Location | None]]
    ) -> list[tuple[Out, Location | None]]:
        before = [] if prefix.kind == "^~" else expressions
        made: list[tuple[Out, Location | None]] = []
        whole = Out(prefix.text, prefix.directive.place)
        for nested, location in self.level(prefix.nested):
            out = meet(whole, nested)
            if out is None:
                continue
            if not self.final(out):
                made += [(both, x) for e, x in before if (both := meet(out, e))]
            made.append((out, location))
        made += [(both, x) for e, x in before if (both := meet(whole, e))]
        return [*made, (whole, prefix)]

    @staticmethod
    def final(out: Out) -> bool:
        return out.exact or bool(out.matches)

    def expression(self, location: Location) -> list[tuple[Out, Location | None]]:
        pattern = self.pattern(location.text, location.directive)
        if pattern is None:
            return []
        one = (pattern, location.kind == "~*")
        whole = Out("/", location.directive.place, matches=[one], captures=names_of(pattern))
        inner: list[tuple[Out, Location | None]] = []
        for out, nested in self.level(location.nested):
            captures = out.captures if out.matches else whole.captures
            inner.append((replace(out, matches=[one, *out.matches], captures=captures), nested))
        return [*inner, (whole, location)]

    def pattern(self, text: str, directive: Directive) -> str | None:
        """As RE2 has it; None, and a note, if it cannot."""
        made = re.sub(r"\(\?<([A-Za-z_]\w*)>", r"(?P<\1>", text)
        why = self.notes.pattern_problem(made)
        if why:
            self.notes.lost(directive, f"the expression {text}: {why}", "write it without, or as prefixes")
            return None
        return made

    # what a location does

    def filled(self, out: Out, location: Location, named: dict[str, Location]) -> list[Out]:
        try:
            return self.carried(out, location, named)
        except CannotCarry as error:
            self.notes.lost(
                location.directive, str(error), "its requests are answered 404 here; write a route"
            )
            return [replace(out, answer=404, steps=[])]

    def carried(self, out: Out, location: Location, named: dict[str, Location]) -> list[Out]:
        block = location.directive.block or []
        steps = self.steps(block, out.captures)
        out = replace(out, steps=[*out.steps, *steps])
        tries = next((d for d in block if d.name == "try_files"), None)
        if tries:
            return self.fallback(out, tries, named)
        passes = next((d for d in block if d.name == "proxy_pass"), None)
        if passes is None:
            return [replace(out, answer=404)]
        return self.proxied(out, location, passes)

    def fallback(self, out: Out, tries: Directive, named: dict[str, Location]) -> list[Out]:
        self.notes.differs(tries, "there are no files here: always its last argument", "")
        last = tries.args[-1]
        if last.startswith("="):
            return [replace(out, answer=int(last[1:]))]
        if last.startswith("@"):
            if last not in named:
                raise CannotCarry(f"there is no location {last}")
            return self.carried(out, named[last], {k: v for k, v in named.items() if k != last})
        if any(s.then in ("break",) for s in out.steps):
            raise CannotCarry("try_files after a rewrite that ends in break")
        to = self.template(last, tries, out.captures)
        return [
            replace(out, steps=[*out.steps, Step("rewrite", ["^", to + ("" if "?" in to else "")], "last")])
        ]

    def proxied(self, out: Out, location: Location, passes: Directive) -> list[Out]:
        target = passes.args[0] if passes.args else ""
        scheme, mark, rest = target.partition("://")
        if not mark or scheme not in ("http", "https", "rtsp"):
            raise CannotCarry(f"proxy_pass {target}: no address that can be carried")
        host, uri = parted(rest, self.constants)
        if scheme == "rtsp":
            self.notes.exact(passes)
        else:
            self.notes.differs(passes, "sessions are set up by RTSP at the same addresses", "")
        if "$" in target and uri:
            out = replace(out, to=self.template(uri, passes, out.captures))
        elif uri and location.kind in ("", "^~", "=", "@"):
            changes = any(s.kind == "rewrite" and s.then in ("", "break") for s in out.steps)
            if changes:
                raise CannotCarry("proxy_pass with a URI behind a rewrite that stays in the location")
            out = replace(out, to=uri if location.text != uri else "")
            if location.kind == "@" or out.matches or out.prefix != location.text:
                raise CannotCarry("proxy_pass with a URI, reached by more than its own prefix")
        elif uri:
            raise CannotCarry("proxy_pass with a URI in a location by expression")
        return [
            replace(each, pool=self.pool(name, passes)) for each, name in self.pools_of(out, host, passes)
        ]

    def pools_of(self, out: Out, host: str, directive: Directive) -> list[tuple[Out, str]]:
        """One route for each upstream that a variable may name."""
        found = VARIABLE.search(host)
        if not found:
            return [(out, host)]
        name = f"${found[1] or found[2] or found[3]}"
        if name[1:] in self.constants:
            return self.pools_of(out, host.replace(found[0], self.constants[name[1:]]), directive)
        if name in self.http.splits and host == found[0]:
            return [(out, name)]
        if name not in self.http.maps:
            raise CannotCarry(f"the upstream's name comes from {name}")
        return [
            (replace(out, tests=[*out.tests, *tests]), host.replace(found[0], value))
            for tests, value in self.entries(self.http.maps[name])
        ]

    def entries(self, known: Map) -> list[tuple[list[Test], str]]:
        """Tests and values of a map, in the order in which it is looked at."""
        what = subject_of(known.source)
        if what is None or known.hostnames:
            raise CannotCarry(f"a map of {known.source}")
        made: list[tuple[list[Test], str]] = []
        for regular in (False, True):
            for pattern, value in known.entries:
                if pattern.startswith("~") is not regular:
                    continue
                if "$" in value:
                    raise CannotCarry(f"a map whose value is made of variables ({value})")
                if regular:
                    any_case = pattern.startswith("~*")
                    text = self.pattern(pattern.removeprefix("~").removeprefix("*"), known.directive)
                    if text is None:
                        raise CannotCarry("a map with such an expression")
                    made.append(([(what, "any-case" if any_case else "match", text)], value))
                else:
                    made.append(([(what, "any-case", f"^{re.escape(pattern)}$")], value))
        return [*made, ([], known.default)]

    def pool(self, name: str, directive: Directive) -> str:
        """The pool for an upstream's name or an address."""
        if name.startswith("$"):
            return self.split(name)
        if not name:
            raise CannotCarry("the upstream has no name")
        if name not in self.http.upstreams:
            address = name if ":" in name.rpartition("]")[2] else f"{name}:80"
            fake = Directive("upstream", [name], directive.file, directive.line, [])
            peer = Directive("server", [address], directive.file, directive.line)
            fake.block = [peer]
            self.pools.setdefault(name, upstream_of(fake))
        else:
            known = self.http.upstreams[name]
            if not any(not p.down for p in known.peers):
                raise CannotCarry(f"upstream {name} has no server that is up")
            self.pools.setdefault(name, known)
        return name

    def split(self, name: str) -> str:
        """split_clients over upstreams: one pool of all their servers, weights multiplied out."""
        source, parts, directive = self.http.splits[name]
        made: list[tuple[float, str]] = []
        for share, value in parts:
            if value not in self.http.upstreams:
                raise CannotCarry(f"split_clients names {value}, which is no upstream")
            peers = [p for p in self.http.upstreams[value].peers if not p.down and not p.backup]
            total = sum(p.weight for p in peers)
            made += [(share * p.weight / total, p.address) for p in peers]
        weights = [max(1, round(part * 1000)) for part, _ in made]
        least = gcd(*weights)
        holder = Directive("upstream", [name], directive.file, directive.line, [])
        words = [
            Directive("server", [address, f"weight={w // least}"], directive.file, directive.line)
            for (_, address), w in zip(made, weights, strict=True)
        ]
        holder.block = [Directive("hash", [source], directive.file, directive.line), *words]
        self.pools[name.lstrip("$")] = upstream_of(holder)
        self.notes.differs(directive, "the same parts, by another hash: a client may be in another part", "")
        return name.lstrip("$")

    # rewriting

    def steps(self, block: list[Directive], captures: tuple[str, ...]) -> list[Step]:
        made: list[Step] = []
        for each in block:
            if each.name in REWRITING:
                made += self.step(each, captures, [])
        return made

    def step(self, each: Directive, captures: tuple[str, ...], tests: list[Test]) -> list[Step]:
        if each.name == "rewrite":
            pattern = self.pattern(each.args[0], each)
            if pattern is None:
                raise CannotCarry("a rewrite by an expression that cannot be carried")
            to = self.template(each.args[1], each, names_of(pattern))
            to = re.sub(r"^\$scheme://", "rtsp://", to)
            self.notes.exact(each)
            return [Step("rewrite", [pattern, to], each.args[2] if len(each.args) > 2 else "", tests=tests)]
        if each.name == "return":
            self.notes.exact(each)
            first = each.args[0] if each.args else "404"
            if not first.isdigit():
                return [Step("reply", ["302"], to=self.template(first, each, captures), tests=tests)]
            to = each.args[1] if len(each.args) > 1 else ""
            if first not in ("301", "302", "303", "307", "308"):
                if to:
                    self.notes.differs(each, "the status is answered, its text is not", "")
                if first == "444":
                    self.notes.differs(each, "nginx closes the connection; here 403 is answered", "")
                    first = "403"
                to = ""
            return [Step("reply", [first], to=self.template(to, each, captures), tests=tests)]
        if each.name == "break":
            self.notes.exact(each)
            return [Step("stop", [], tests=tests)]
        if each.name == "set":
            return self.constant(each, captures, tests)
        return self.condition(each, captures, tests)

    def constant(self, each: Directive, captures: tuple[str, ...], tests: list[Test]) -> list[Step]:
        if tests:
            raise CannotCarry("set within if")
        value = self.template(each.args[1], each, captures)
        if "$" in value:
            raise CannotCarry(f"set {each.args[0]} to what differs from request to request")
        self.constants[each.args[0].lstrip("$")] = value
        self.notes.exact(each)
        return []

    def condition(self, each: Directive, captures: tuple[str, ...], tests: list[Test]) -> list[Step]:
        what = subject_of(each.args[0]) if each.args else None
        if what is None:
            raise CannotCarry(f"if ({' '.join(each.args)})")
        if len(each.args) == 1:
            test = (what, "given", "")
        else:
            value = each.args[2]
            if "~" in each.args[1]:
                pattern = self.pattern(value, each)
                if pattern is None:
                    raise CannotCarry("if with such an expression")
                value = pattern
            elif "$" in value:
                raise CannotCarry("if against a variable")
            test = (what, HOW[each.args[1]], value)
        inner = names_of(test[2]) if test[1] in ("match", "any-case") else captures
        made: list[Step] = []
        for nested in each.block or []:
            if nested.name not in ("rewrite", "return", "break"):
                raise CannotCarry(f"{nested.name} within if")
            made += self.step(nested, inner, [*tests, test])
        if len(made) > 1 and any(s.kind == "rewrite" for s in made[:-1]) and what in ("path", "query"):
            raise CannotCarry("an if whose own rewriting changes what it looks at")
        self.notes.exact(each)
        return made

    def template(self, text: str, each: Directive, captures: tuple[str, ...]) -> str:
        """With the router's variables. Raises `CannotCarry` for others."""

        def one(found: re.Match[str]) -> str:
            name = found[1] or found[2] or found[3]
            if name in captures:
                return f"${captures.index(name) + 1}"
            if name in self.constants:
                return self.constants[name]
            if name.isdigit() or name in KNOWN or name.startswith(("http_", "arg_")) or name == "scheme":
                return found[0]
            raise CannotCarry(f"${name} is not known here ({each.text})")

        return VARIABLE.sub(one, text)


def meet(outer: Out, inner: Out) -> Out | None:
    """The inner one's route, for requests that the outer one takes as well; None if there are none."""
    longer, shorter = (inner, outer) if inner.prefix.startswith(outer.prefix) else (outer, inner)
    if not longer.prefix.startswith(shorter.prefix) or (shorter.exact and shorter.prefix != longer.prefix):
        return None
    exact = longer.exact or shorter.exact
    return replace(inner, prefix=longer.prefix, exact=exact, matches=[*outer.matches, *inner.matches])


def parted(rest: str, constants: dict[str, str]) -> tuple[str, str]:
    """Host and URI of what stands behind the scheme: the URI begins at a slash, or a variable that does."""
    for found in re.finditer(r"/|" + VARIABLE.pattern, rest):
        name = found[1] or found[2] or found[3]
        if found[0] == "/" or name in PATHS or constants.get(name, "").startswith("/"):
            return rest[: found.start()], rest[found.start() :]
    return rest, ""


def names_of(pattern: str) -> tuple[str, ...]:
    """Names of an expression's groups by their number; "" for those without."""
    made = []
    for found in re.finditer(r"\\.|\((?!\?)|\(\?P<(\w+)>", pattern):
        if not found[0].startswith("\\"):
            made.append(found[1] or "")
    return tuple(made)


def subject_of(text: str) -> str | None:
    """What a condition looks at, in the router's words."""
    name = text.strip("${}")
    if name in ("uri", "document_uri"):
        return "path"
    if name in ("args", "query_string"):
        return "query"
    if name in ("host", "http_host"):
        return "host"
    if name.startswith("http_"):
        return f"header {name[5:].replace('_', '-')}"
    return f"arg {name[4:]}" if name.startswith("arg_") else None
