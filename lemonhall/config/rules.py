"""What types cannot tell: values that are each right and wrong together. Pure but for the files of hooks."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any
from zlib import crc32

from lemonhall.config.check import Typed, top
from lemonhall.config.dayschema import ENDS, FAULTS, LINK_FAULTS
from lemonhall.config.routing import BadPattern, compile_pattern
from lemonhall.config.units import show
from lemonhall.limits.settings import (
    LEASE_PERIODS,
    MAX_CLOCK_DRIFT,
    MAX_LIMITS,
    MAX_PERIOD_MS,
    lease_expiry_ms,
)
from lemonhall.problem import Problem, nearest

Hosts = tuple[str, ...]

Say = Callable[..., None]
EPS = 1e-9


class Rules:
    def __init__(self, typed: list[Typed]) -> None:
        self.typed = typed
        self.problems: list[Problem] = []
        self.rungs = [r for ladder in top(typed, "ladder") for r in ladder.all("rung")]
        self.halls = [h for t in top(typed, "halls") for h in t.rest]

    def say(self, node: Typed, field: str, what: str, fix: str = "") -> None:
        name = f"{node.node.label}: {field}: " if field else f"{node.node.label}: "
        self.problems.append(node.spot(field).problem(name + what, fix))

    def all(self, name: str) -> list[Typed]:
        return list(top(self.typed, name))

    def run(self) -> list[Problem]:
        for check in (
            self.ladder,
            self.classes,
            self.routes,
            self.attempts,
            self.pools,
            self.hooks,
            self.fronts,
            self.days,
            self.quotas,
            self.faults,
            self.links,
            self.spills,
            self.limits,
        ):
            check()
        return self.problems

    def ladder(self) -> None:
        for below, rung in zip(self.rungs, self.rungs[1:], strict=False):
            if rung["rate"] <= below["rate"]:
                self.say(rung, "rate", "is not over that of the rung before", "rungs rise")
        if len(set(self.halls)) < len(self.halls):
            twice = next(h for n, h in enumerate(self.halls) if h in self.halls[:n])
            self.say(self.all("halls")[0], "", f'"{twice}" stands twice')

    def classes(self) -> None:
        link = next((t["per-weight"] for t in self.all("link") if not t.args), float("inf"))
        for c in self.all("class"):
            if c["floor"] >= len(self.rungs):
                self.say(c, "floor", f"rung {c['floor']} of {len(self.rungs)}", "rungs are counted from 0")
            elif self.rungs and self.rungs[c["floor"]]["rate"] * c["scale"] > link:
                rate = show(self.rungs[c["floor"]]["rate"] * c["scale"], "rate")
                what = f"{rate} at the floor do not fit a link of {show(link, 'rate')}"
                self.say(c, "floor", what, "no server could ever play it")
            if c["floor"] > c["top"]:
                self.say(c, "floor", f"lies over the top, {c['top']}")
            if c["aim"] > c["deadline"]:
                what = f"{show(c['aim'], 'time')} lies over the deadline, {show(c['deadline'], 'time')}"
                self.say(c, "aim", what)
            if c["seats"] and c["repeat"] != "paid":
                self.say(c, "seats", "seats are for paid classes", 'write repeat="paid", or take them out')

    def routes(self) -> None:
        before: list[Typed] = []
        by_prefix: dict[tuple[str, str, Hosts], Typed] = {}
        partners = self.all("partner")
        for route in self.all("route"):
            prefix, header = route.name, route["header"]
            if not prefix.startswith("/"):
                self.say(route, "", f'"{prefix}" does not begin with /', f'write "/{prefix}"')
            name, equals, _ = header.partition("=")
            if header and not (equals and name):
                self.say(route, "header", f'"{header}" is no NAME=VALUE', 'as in "X-Counter=7"')
            sends = not route["answer"] and not route["goes-on"]
            if sends and not route["class"]:
                self.say(route, "", "class is missing", "class of its sessions")
            if sends and partners and not route["partner"]:
                self.say(route, "", "partner is missing", nearest("", [p.name for p in partners]))
            self.patterns(route)
            hosts = tuple(sorted(h.name for h in route.all("host")))
            if cover := self.cover(by_prefix, prefix, header, hosts):
                spot = cover.node.spot
                what = f"can never match: {cover.node.label} covers it"
                self.say(route, "", what, f"move it before {spot.file}:{spot.line}")
            if not (route["exact"] or route["goes-on"] or route.all("match") or route.all("when")):
                by_prefix.setdefault((prefix, header, hosts), route)
            before.append(route)

    @staticmethod
    def cover(
        before: dict[tuple[str, str, tuple[str, ...]], Typed],
        prefix: str,
        header: str,
        hosts: tuple[str, ...],
    ) -> Typed | None:
        """An earlier route that takes all that this one could: a shorter prefix, no or the same header, any
        host or the same ones, and no expression."""
        for end in range(len(prefix) + 1):
            for wanted in {"", header}:
                for named in {(), hosts}:
                    if found := before.get((prefix[:end], wanted, named)):
                        return found
        return None

    def patterns(self, route: Typed) -> None:
        """Regular expressions that the router cannot use."""
        given = [(m, m.name, "") for m in route.all("match")]
        given += [(h, h.name[1:], "") for h in route.all("host") if h.name.startswith("~")]
        steps = [c for c in route.children if c.spec.name in ("rewrite", "reply", "stop")]
        own = [t for t in route.all("when") if "match" in t.args[1] or "case" in t.args[1]]
        given += [(t, t.args[2], "") for t in own]
        given += [(s, s.args[0], "") for s in steps if s.spec.name == "rewrite"]
        for step in steps:
            given += [
                (t, t.args[2], "") for t in step.all("when") if "match" in t.args[1] or "case" in t.args[1]
            ]
        for node, pattern, field in given:
            try:
                compile_pattern(pattern)
            except BadPattern as error:
                self.say(node, field, f'"{pattern}": {error}', "RE2 has no lookaround and no back references")

    def attempts(self) -> None:
        for a in self.all("attempts"):
            budget = (a["free"] or 0) + a["share"]
            if a["most"] == 1 and budget > 0:
                field = "free" if a["free"] else "share"
                self.say(a, field, "a budget of further attempts, but most=1", "write most=2 or more")
            if a["most"] > 1 and a["free"] == 0 and a["share"] == 0:
                self.say(a, "most", "further attempts, but no budget for them", "give free or share")
            for c in self.all("class"):
                if a["connect-timeout"] > c["deadline"]:
                    what = f"{show(a['connect-timeout'], 'time')} lies over the deadline of {c.node.label}"
                    self.say(a, "connect-timeout", what)
        for answers, c in ((a, c) for a in self.all("front") for c in self.all("class")):
            limits = answers.one("limits")
            if limits and limits["answer-margin"] >= c["deadline"]:
                self.say(limits, "answer-margin", f"leaves nothing of the deadline of {c.node.label}")

    def pools(self) -> None:
        racks = next((t["count"] for t in self.all("racks")), 0)
        boxes = [b for f in self.all("fleet") for b in f.all("box")]
        used = {r["pool"] for r in self.all("route")}
        for pool in self.all("pool"):
            if not pool.children:
                self.say(pool, "", "names no hall, kind or rack", "it would be all servers")
            for rack in pool.all("rack"):
                if rack.args[0] >= racks:
                    self.say(rack, "", f"rack {rack.args[0]} of {racks}", "racks are counted from 0")
            if pool.name not in used:
                self.say(pool, "", "no route uses it", f'write pool="{pool.name}" at a route')
            if boxes:
                self.pool_in_fleet(pool, boxes)

    def pool_in_fleet(self, pool: Typed, boxes: list[Typed]) -> None:
        wished: dict[str, set[Any]] = {w: {c.args[0] for c in pool.all(w)} for w in ("hall", "kind", "rack")}
        fits = [b for b in boxes if all(not names or b[w] in names for w, names in wished.items())]
        for hall in sorted(wished["hall"] or set(self.halls)):
            if not any(b["hall"] == hall for b in fits):
                self.say(pool, "", f"has no server in {hall}", "add one, or take the hall out")

    def hooks(self) -> None:
        for hooks in self.all("hooks"):
            if hooks["total"] < hooks["fuel"]:
                self.say(hooks, "total", f"{hooks['total']} is under the fuel of one script, {hooks['fuel']}")
            for script in hooks.all("script"):
                path = Path(script.node.spot.file).resolve().parent / script.name
                if not path.is_file():
                    near = nearest(path.name, sorted(p.name for p in path.parent.glob("*.hook")))
                    self.say(script, "", "there is no such file", near)

    def fronts(self) -> None:
        for front in self.all("front"):
            if "index" not in front.values:
                continue
            if front["index"] >= front["fronts"]:
                what = f"{front['index']} is no number under fronts={front['fronts']}"
                self.say(front, "index", what, "fronts are counted from 0")
            if members := front.one("members"):
                for node, at in [
                    (members, members["listen"]),
                    *((s, s.args[0]) for s in members.all("seed")),
                    *((v, at) for v in members.all("via") for at in v.args),
                ]:
                    if isinstance(at, str) or not at[0].replace(".", "").isdigit():
                        self.say(node, "", "fronts find one another by UDP over IPv4", "write a.b.c.d:port")
                keys = Path(members.node.spot.file).resolve().parent / members["keys"]
                if not keys.is_file():
                    self.say(members, "keys", "there is no such file", "a line a key: number, 32 hex digits")
            if peers := front.one("peers"):
                places = [(peers, peers["listen"]), *((p, p.args[1]) for p in peers.all("peer"))]
                for node, at in places:
                    if isinstance(at, str):
                        self.say(node, "", "fronts speak by UDP", "write host:port")
                for peer in peers.all("peer"):
                    if peer.args[0] == front["index"]:
                        self.say(peer, "", "is this front itself", "take it out")

    def days(self) -> None:
        racks = next((t["count"] for t in self.all("racks")), 0)
        for box in (b for f in self.all("fleet") for b in f.all("box")):
            last = box["rack"] + min(box["racks"], box["count"]) - 1
            if last >= racks:
                self.say(box, "rack", f"rack {last} of {racks}", "racks are counted from 0")
        pairs = [(m, "shortest", "longest") for t in self.all("traffic") for m in t.all("mix")]
        pairs += [(t, "pause-least", "pause-most") for t in self.all("traffic")]
        pairs += [(f, "set-up-least", "set-up-most") for f in self.all("fleet")]
        fronts = [name for f in self.all("front") for name in f.names]
        for mix in (m for t in self.all("traffic") for m in t.all("mix")):
            if mix["front"] and mix["front"] not in fronts:
                self.say(mix, "front", f'"{mix["front"]}" is no front', nearest(mix["front"], fronts))
            if mix["until"] and mix["until"] <= mix["since"]:
                self.say(mix, "until", "lies before since", "nobody would come")
        for node, low, high in pairs:
            if node[low] > node[high] + EPS:
                self.say(node, low, f"{show(node[low], 'time')} is over {high}, {show(node[high], 'time')}")

    def quotas(self) -> None:
        """Where the fleet and the lengths of sessions are told (in days): quotas that no fleet could hold."""
        kinds = {k.name: k["places"] for k in self.all("kind")}
        boxes = [b for f in self.all("fleet") for b in f.all("box")]
        places = sum(kinds.get(b["kind"], 0) * b["count"] for b in boxes)
        mixes = [m for t in self.all("traffic") for m in t.all("mix")]
        held = 0.0
        for partner in self.all("partner"):
            own = [m for m in mixes if m["partner"] == partner.name and m["per-second"]]
            asked = sum(m["per-second"] for m in own)
            lasting = sum(m["per-second"] * (m["shortest"] + m["longest"]) / 2000 for m in own)
            held += partner["quota"] * lasting / asked if asked else 0.0
            if places and held > places + EPS:
                part = f"{100 * held / places:.0f}% of the fleet's {places} places"
                self.say(partner, "quota", f"with those before, quotas ask for {part}", "lower one")
                break

    def faults(self) -> None:
        boxes = [name for f in self.all("fleet") for b in f.all("box") for name in b.names]
        racks = [str(n) for n in range(next((t["count"] for t in self.all("racks")), 0))]
        fronts = [name for f in self.all("front") for name in f.names]
        partners = [p.name for p in self.all("partner")]
        targets = {"uplink": racks, "front-killed": fronts, "surge": partners, "list-lag": []}
        parts = [f"{who}-{what}" for who in ("decider", "worker") for what in ("killed", "stopped")]
        whole = ["front-relieved", "fronts-apart", "front-frozen", "front-clock"]
        targets |= dict.fromkeys([*whole, *parts], fronts)
        targets |= dict.fromkeys(["hall-dark", "hall-flap"], self.halls)
        for fault in self.all("fault"):
            if fault.name in LINK_FAULTS:
                self.ends(fault, [(end, fault[end]) for end in ("from", "to")])
                continue
            if fault.name in ("hooks", "reload"):
                folder = Path(fault.node.spot.file).resolve().parent
                for target in fault.rest:
                    if not (folder / target).exists():
                        self.say(fault, "", f"there is no {target}", "")
                known = fault.rest
            else:
                known = targets.get(fault.name, boxes)
            for target in fault.rest:
                if target not in known:
                    self.say(fault, "", f'"{target}" cannot befall this', nearest(target, known))
            if not fault.rest and fault.name != "list-lag":
                self.say(fault, "", "names nothing that it befalls", FAULTS[fault.name])

    def links(self) -> None:
        linked = any(t.args for t in self.all("link")) or any(
            f.name in LINK_FAULTS for f in self.all("fault")
        )
        boxes = {name for f in self.all("fleet") for b in f.all("box") for name in b.names}
        for front in self.all("front") if linked else ():
            if both := sorted(boxes.intersection(front.names)):  # what one end is called nobody else is
                self.say(front, "", f'"{both[0]}" is a server as well', "give it another name")
        for link in (t for t in self.all("link") if t.args):
            self.ends(link, [("", str(end)) for end in link.args])

    def ends(self, node: Typed, named: list[tuple[str, str]]) -> None:
        """The two ends of a link: names that stand for a process, between which something passes at all."""
        fronts = [name for f in self.all("front") for name in f.names]
        boxes = [name for f in self.all("fleet") for b in f.all("box") for name in b.names]
        known = [*fronts, *boxes, *self.halls, *ENDS]
        for field, end in named:
            if not end:
                self.say(node, field, "is missing", "a front, a server, a hall, or " + ", ".join(ENDS))
            elif end not in known:
                self.say(node, field, f'"{end}" is no end of a link', nearest(end, known))
        told = {end for _, end in named}
        if node.rest:
            self.say(node, "", "its ends are from and to", "take the names out")
        if len(told & {"list", "viewers", "boxes", *boxes}) == 2 or told in ({"list"}, {"viewers"}):
            self.say(node, "", "nothing passes between these two", "one end is a front, or a hall")

    def limits(self) -> None:
        """Limits that say nothing, two things, or promise what the fronts' words cannot keep."""
        idents: dict[int, str] = {}
        for n, limit in enumerate(self.all("limit")):
            hold, said = limit["hold"], [f for f in ("sessions", "rate", "set-ups") if limit[f]]
            if len(said) != 1:
                what = f"says {' and '.join(said) or 'no amount'}"
                self.say(limit, said[1] if said else "", what, "one of sessions, rate or set-ups")
                continue
            fits = {"exact": ("sessions", "rate"), "paced": ("set-ups",), "soft": ("sessions",)}[hold]
            if said[0] not in fits:
                other = "paced" if said[0] == "set-ups" else "exact"
                what = f'hold="{hold}" is for {" or ".join(fits)}'
                self.say(limit, "hold", what, f'write hold="{other}"')
            if limit["each-title"] and (hold != "exact" or said[0] != "sessions"):
                self.say(limit, "each-title", "is for exact numbers of sessions", "take it out")
            if hold == "soft" and not limit["rise"]:
                self.say(limit, "rise", "is missing", "how fast one front may add bounds how far off it is")
            if hold == "paced" and 0 < limit["burst"] < 1:
                self.say(limit, "burst", "no set-up would ever fit", "write burst=1 or more")
            if n >= MAX_LIMITS:
                what = f"the {n + 1}th limit: one datagram names {MAX_LIMITS}"
                self.say(limit, "", what, "take one out")
            made = crc32(limit.name.encode())
            if idents.setdefault(made, limit.name) != limit.name:
                self.say(limit, "", f'has the digest of "{idents[made]}"', "give it another name")
            floors = [
                self.rungs[c["floor"]]["rate"] * c["scale"]
                for c in self.all("class")
                if c["floor"] < len(self.rungs) and limit["class"] in ("", c.name)
            ]
            if limit["rate"] and floors and min(floors) > limit["rate"]:
                self.say(limit, "rate", f"no session fits: the least takes {show(min(floors), 'rate')}")
            self.limit_back(limit)
        for front in self.all("front") if self.all("limit") else ():
            if front.values.get("fronts", 1) > 1 and not front.one("members"):
                what = "fronts hold limits together by their members' words, and there are no members"
                self.say(front, "", what, "write members, or fronts=1")

    def limit_back(self, limit: Typed) -> None:
        """Whether room comes back in the time that the file asks for, by the periods of members."""
        deadline = max((c["deadline"] for c in self.all("class")), default=0.0)
        periods = [m["period"] for f in self.all("front") if "index" in f.values and (m := f.one("members"))]
        keeps = limit["on-silence"] == "keep" and limit["hold"] == "exact"
        longest = limit["longest"] if keeps else 0.0
        for period in periods if limit["back"] else ():
            least = lease_expiry_ms(min(MAX_PERIOD_MS, period), longest, deadline)
            if least <= limit["back"]:
                continue
            lease = LEASE_PERIODS * min(MAX_PERIOD_MS, period)
            left = limit["back"] - deadline - lease * (1 + MAX_CLOCK_DRIFT)
            what = f"room of a front that is gone is back after {show(least, 'time')}"
            fix = f"write longest={show(max(0.0, left / (1 + MAX_CLOCK_DRIFT)), 'time')} or less"
            if left <= 0:
                fix = "a shorter period of the members, or a later back"
            self.say(limit, "back", what, fix)

    def spills(self) -> None:
        """Tiers that lead nowhere, or ask for more than a hall has."""
        into: dict[str, float] = {}
        pairs: set[tuple[str, str]] = set()
        intakes = {t.name: t for t in self.all("takes-in")}
        for tier in self.all("spill"):
            to, share = tier["to"], tier["share"]
            if to == tier.name:
                self.say(tier, "to", "a circle: sessions of a hall cannot spill into it", "name another hall")
            if (tier.name, to) in pairs:
                self.say(tier, "to", f'"{to}" is a tier of "{tier.name}" already', "one tier a pair of halls")
            pairs.add((tier.name, to))
            into[to] = into.get(to, 0.0) + share
            if into[to] > 1 + EPS:
                what = f'with those before, tiers take {100 * into[to]:.4g}% of the links of "{to}"'
                self.say(tier, "share", what, "lower one: they stay within 100%")
            limit = intakes[to]["links"] if to in intakes else 0.0
            if limit and share > limit + EPS:
                what = f'{100 * share:.4g}% lie over what "{to}" takes in, {100 * limit:.4g}%'
                self.say(tier, "share", what, "it could never be used")
        if pairs and not any(c["spills"] for c in self.all("class")):
            self.say(self.all("spill")[0], "", "no class may spill", "write spills=#true at one")
        for intake in self.all("takes-in"):
            if intake.name not in into:
                self.say(intake, "", "no tier leads there", f'write spill "..." to="{intake.name}"')
        if self.all("spilling") and not pairs:
            self.say(self.all("spilling")[0], "", "nothing may spill", 'write spill "..." to="..."')


def check(typed: list[Typed], file: str) -> list[Problem]:
    """All that is wrong with a tree whose values are each right."""
    return Rules(typed).run()
