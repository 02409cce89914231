"""What the directives mean: upstreams, servers, locations, maps. After the public documentation. Pure."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from lemonhall.importer.read import Directive, Tree

REWRITING = ("rewrite", "if", "return", "set", "break")
DEFAULT_LISTEN = "80"
METHODS = ("least_conn", "ip_hash", "hash", "random")
TIMES = {"ms": 1.0, "s": 1000.0, "m": 60_000.0, "h": 3_600_000.0, "d": 86_400_000.0}


@dataclass
class Peer:
    address: str
    weight: int
    backup: bool
    down: bool
    directive: Directive


@dataclass
class Upstream:
    name: str
    peers: list[Peer]
    method: str  # round-robin, least, hash, consistent, random, random-two
    key: str
    directive: Directive


@dataclass
class Location:
    """`kind`: "" (prefix), =, ^~, ~, ~* or @. `order`: in the file."""

    kind: str
    text: str
    directive: Directive
    nested: list[Location] = field(default_factory=list)

    @property
    def asks_for_slash(self) -> bool:
        """Documented: a prefix with a slash at its end, and proxy_pass: without the slash it is a 301."""
        passes = any(d.name == "proxy_pass" for d in self.directive.block or [])
        return self.kind in ("", "^~") and self.text.endswith("/") and len(self.text) > 1 and passes


@dataclass
class Server:
    names: list[str]
    listens: dict[str, bool]  # address to whether it is the default there
    locations: list[Location]
    directive: Directive


@dataclass
class Map:
    """`entries`: pattern (`~` begins a regular expression) and value, in file order."""

    source: str
    entries: list[tuple[str, str]]
    default: str
    hostnames: bool
    directive: Directive


@dataclass
class Http:
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    servers: list[Server] = field(default_factory=list)
    maps: dict[str, Map] = field(default_factory=dict)
    splits: dict[str, tuple[str, list[tuple[float, str]], Directive]] = field(default_factory=dict)
    geos: dict[str, Directive] = field(default_factory=dict)
    doubled: list[Directive] = field(default_factory=list)  # upstreams named before
    listens: list[str] = field(default_factory=list)


def milliseconds(text: str) -> float | None:
    """A time as nginx writes it: "30", "1m30s", "500ms"; seconds without a unit."""
    if re.fullmatch(r"\d+", text):
        return float(text) * 1000
    parts = re.findall(r"(\d+)(ms|[smhd])", text)
    if not parts or "".join(n + u for n, u in parts) != text.replace(" ", ""):
        return None
    return sum(float(n) * TIMES[u] for n, u in parts)


def listen_of(directive: Directive) -> tuple[str, bool]:
    address = directive.args[0] if directive.args else DEFAULT_LISTEN
    default = "default_server" in directive.args or "default" in directive.args
    return address.removeprefix("*:"), default


def peer_of(directive: Directive) -> Peer:
    words = directive.args
    weight = next((int(w[7:]) for w in words if re.fullmatch(r"weight=\d+", w)), 1)
    address = words[0] if words else ""
    if not address.startswith("unix:") and ":" not in address.rpartition("]")[2]:
        address += ":80"
    return Peer(address, max(1, weight), "backup" in words, "down" in words, directive)


def upstream_of(directive: Directive) -> Upstream:
    method, key = "round-robin", ""
    for each in directive.block or []:
        if each.name == "least_conn":
            method = "least"
        elif each.name == "ip_hash":
            method, key = "hash", "$remote_addr"
        elif each.name == "hash":
            method = "consistent" if "consistent" in each.args[1:] else "hash"
            key = each.args[0] if each.args else ""
        elif each.name == "random":
            method = "random-two" if "two" in each.args else "random"
    peers = [peer_of(d) for d in directive.all("server")]
    return Upstream(directive.args[0] if directive.args else "", peers, method, key, directive)


def location_of(directive: Directive) -> Location:
    args = directive.args
    if len(args) > 1:
        kind, text = args[0], args[1]
    elif args and args[0].startswith("@"):
        kind, text = "@", args[0]
    else:
        text = args[0] if args else ""
        kind = next((k for k in ("=", "^~", "~*", "~") if text.startswith(k)), "")
        text = text.removeprefix(kind)
    made = Location(kind, text, directive)
    made.nested = [location_of(d) for d in directive.all("location")]
    return made


def server_of(directive: Directive) -> Server:
    names = [n.lower() if not n.startswith("~") else n for d in directive.all("server_name") for n in d.args]
    listens = dict(listen_of(d) for d in directive.all("listen")) or {DEFAULT_LISTEN: False}
    locations = [location_of(d) for d in directive.all("location")]
    return Server(names or [""], listens, locations, directive)


def map_of(directive: Directive) -> Map:
    entries, default, hostnames = [], "", False
    for each in directive.block or []:
        value = each.args[0] if each.args else ""
        if each.name == "default":
            default = value
        elif each.name == "hostnames":
            hostnames = True
        elif each.name != "volatile":
            entries.append((each.name.removeprefix("\\"), value))
    return Map(directive.args[0], entries, default, hostnames, directive)


def split_of(directive: Directive) -> list[tuple[float, str]]:
    parts, left = [], 100.0
    for each in directive.block or []:
        value = each.args[0] if each.args else ""
        share = left if each.name == "*" else float(each.name.rstrip("%"))
        left -= share
        parts.append((share, value))
    return parts


def understand(tree: Tree) -> Http:
    """Blocks that stand outside of `http` count as if they stood in it: files of a folder often do."""
    made = Http()
    blocks = [d for top in tree.top for d in ((top.block or []) if top.name == "http" else [top])]
    for d in blocks:
        if d.name == "upstream" and d.args:
            if d.args[0] in made.upstreams:
                made.doubled.append(d)
            else:
                made.upstreams[d.args[0]] = upstream_of(d)
        elif d.name == "server" and d.block is not None:
            made.servers.append(server_of(d))
        elif d.name == "map" and len(d.args) == 2:
            made.maps[d.args[1]] = map_of(d)
        elif d.name == "split_clients" and len(d.args) == 2:
            made.splits[d.args[1]] = (d.args[0], split_of(d), d)
        elif d.name == "geo" and d.args:
            made.geos[d.args[-1]] = d
    loose = [location_of(d) for d in blocks if d.name == "location"]
    if loose:
        holder = Directive("server", [], loose[0].directive.file, loose[0].directive.line, [])
        holder.block = [x.directive for x in loose]
        made.servers.append(Server([""], {DEFAULT_LISTEN: False}, loose, holder))
    made.listens = list(dict.fromkeys(a for s in made.servers for a in s.listens))
    return made
