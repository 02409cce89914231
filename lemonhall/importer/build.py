"""The whole import: files in, settings and notes out. Nothing is dropped in silence: a directive that no part
of the translation has spoken of gets its verdict from the index."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from lemonhall.importer.evaluate import Outcome, evaluate
from lemonhall.importer.index import row_of
from lemonhall.importer.meaning import DEFAULT_LISTEN, Http, Upstream, milliseconds, understand
from lemonhall.importer.notes import Note, Notes
from lemonhall.importer.read import Directive, Tree, read
from lemonhall.importer.translate import WEIGHT_MOST, Out, Translator
from lemonhall.layout import quoted
from lemonhall.problem import BadInput, Problem

STRUCTURE = ("http", "server", "location", "upstream", "server_name", "listen", "map", "split_clients", "if")
Problem_ = Callable[[str], str]  # why the router cannot use an expression; "" if it can
RATE = re.compile(r"rate=(\d+)r/([sm])")


@dataclass
class Imported:
    """`text`: the settings; `hooks`: a script for limits, "" if there are none."""

    text: str
    hooks: str
    notes: list[Note]
    problems: list[Problem]
    http: Http
    listen: str
    routes: int

    def evaluate(self, host: str, target: str, headers: dict[str, str] | None = None) -> Outcome:
        """What nginx would do with a request."""
        return evaluate(self.http, host, target, headers, self.listen)


class Build:
    def __init__(
        self, tree: Tree, cls: str, partner: str, listen: str, problem: Callable[[str], str]
    ) -> None:
        self.tree, self.cls, self.partner = tree, cls, partner
        self.http = understand(tree)
        self.notes = Notes(problem)
        known = self.http.listens or [DEFAULT_LISTEN]
        if listen and listen not in known:
            raise BadInput("--listen", f"no server listens at {listen}; known are {' '.join(known)}")
        self.listen = listen or known[0]
        self.limits: list[str] = []

    def run(self) -> Imported:
        if not self.http.servers:
            raise BadInput(self.tree.top[0].file if self.tree.top else "", "holds no server and no location")
        translator = Translator(self.http, self.notes, self.listen)
        translator.run()
        self.upstreams(translator)
        for doubled in self.http.doubled:
            self.notes.lost(doubled, "an upstream of that name stands before; nginx would not start", "")
        self.limit_req()
        self.structure()
        self.rest()
        text = self.settings(translator.pools, translator.routes)
        hooks = "\n".join(self.limits)
        return Imported(
            text,
            hooks,
            self.notes.sorted(),
            self.tree.problems,
            self.http,
            self.listen,
            len(translator.routes),
        )

    # notes

    def upstreams(self, translator: Translator) -> None:
        for upstream in self.http.upstreams.values():
            if upstream.name not in translator.pools:
                self.notes.nothing(upstream.directive, "no proxy_pass of these servers names it")
            for each in upstream.directive.block or []:
                if each.name in ("least_conn", "ip_hash", "hash", "random"):
                    self.method(upstream, each)
            for peer in upstream.peers:
                self.peer(peer.directive, peer.weight)

    def method(self, upstream: Upstream, each: Directive) -> None:
        spill = "a server without room is passed over, also for one outside of the pool"
        if each.name == "ip_hash":
            self.notes.differs(each, f"by the viewer's name, not its address; {spill}", "viewer-header=")
        elif each.name == "hash":
            self.notes.differs(each, f"the same parts, by another hash; {spill}", "")
        else:
            self.notes.differs(each, f"over this front's own sessions; {spill}", "")

    def peer(self, each: Directive, weight: int) -> None:
        words = [w.partition("=")[0] for w in each.args[1:]]
        lost = [w for w in words if w in ("resolve", "service", "route", "drain")]
        if weight > WEIGHT_MOST:
            self.notes.differs(each, f"weights go to {WEIGHT_MOST}", "")
        if lost:
            self.notes.lost(each, f"{' '.join(lost)}: servers come from the box list", "")
        changed = [w for w in words if w in ("max_fails", "fail_timeout", "slow_start", "max_conns")]
        if changed:
            why = {
                "max_fails": "the module leaves a server alone by its own evidence",
                "fail_timeout": "the module leaves a server alone by its own evidence",
                "slow_start": "cold servers are filled at the pace of `cold`",
                "max_conns": "places are told by the server's kind",
            }
            self.notes.differs(each, "; ".join(dict.fromkeys(f"{w}: {why[w]}" for w in changed)), "")
        else:
            self.notes.differs(each, "a wish: a server without room is passed over", "")

    def limit_req(self) -> None:
        """limit_req becomes a hook: so many in ten seconds, burst and all."""
        zones = {}
        for d in self.tree.walk():
            if d.name == "limit_req_zone":
                words = dict(w.partition("=")[::2] for w in d.args if "=" in w)
                rate = RATE.search(" ".join(d.args))
                if rate:
                    zones[words.get("zone", "").partition(":")[0]] = int(rate[1]) / (
                        60 if rate[2] == "m" else 1
                    )
        routes: dict[str, Directive] = {}
        for d in self.tree.walk():
            if d.name != "limit_req":
                continue
            words = dict(w.partition("=")[::2] for w in d.args if "=" in w)
            zone = words.get("zone", "")
            if zone not in zones:
                self.notes.lost(d, f"there is no zone {zone}", "")
                continue
            most = max(1, round(zones[zone] * 10) + int(words.get("burst") or 0))
            self.notes.differs(d, f"a hook: {most} in 10s for each viewer", "hooks { script }")
            routes[f'limit "{zone}" to {most} in 10s by viewer'] = d
        if routes:
            lines = [f"    {words}  # {d.place}" for words, d in routes.items()]
            self.limits = ["# Limits of the imported files.", "on arrival {", *lines, "}", ""]

    def structure(self) -> None:
        for d in self.tree.walk():
            if self.notes.has(d):
                continue
            if d.name == "listen":
                extra = [w for w in d.args[1:] if w not in ("default_server", "default")]
                if extra:
                    self.notes.lost(d, f"{' '.join(extra)}: the front's listener is its own", "listen=")
                else:
                    self.notes.exact(d)
            elif (
                d.name in STRUCTURE
                and (d.name != "if" or d.inside in ("server", "location"))
                or d.inside in ("map", "split_clients")
            ):
                self.notes.exact(d)
            elif d.inside == "geo":
                self.notes.lost(d, "viewers' addresses are not looked at", "")
            elif d.name.endswith("_timeout") and d.args and milliseconds(d.args[0]) is None:
                self.notes.lost(d, f"{d.args[0]} is no time", "")

    def rest(self) -> None:
        for d in self.tree.walk():
            if not self.notes.has(d):
                self.notes.put(d, *row_of(d.name))

    # settings

    def settings(self, pools: dict[str, Upstream], routes: list[Out]) -> str:
        lines = [
            "// Made by `lemonhall import nginx`; edit the files that the comments name.",
            "paths normal=#true",
        ]
        for name, upstream in pools.items():
            lines += [f"// {upstream.directive.place}", self.pool(name, upstream)]
        lines += [route.to_kdl(self.cls, self.partner) for route in routes]
        return "\n".join(lines) + "\n"

    def pool(self, name: str, upstream: Upstream) -> str:
        fields = f" pick={quoted(upstream.method)}" if upstream.method != "round-robin" else ""
        if upstream.key and upstream.method in ("hash", "consistent"):
            key = "" if "remote_addr" in upstream.key else upstream.key
            fields += f" key={quoted(key)}"
        lines = [f"pool {quoted(name)}{fields} {{"]
        merged: dict[tuple[str, bool], int] = {}
        for peer in upstream.peers:
            if not peer.down:
                at = (peer.address, peer.backup)
                merged[at] = merged.get(at, 0) + peer.weight
        for (address, backup), weight in merged.items():
            more = f" weight={min(WEIGHT_MOST, weight)}" if weight != 1 else ""
            lines.append(f"    server {quoted(address)}{more}{' backup=#true' if backup else ''}")
        return "\n".join([*lines, "}"])


def import_files(
    paths: list[Path],
    cls: str,
    partner: str = "",
    listen: str = "",
    problem: Callable[[str], str] = lambda p: "",
) -> Imported:
    """Raises `BadInput` for files that are not there or hold nothing to import."""
    return Build(read(paths), cls, partner, listen, problem).run()
