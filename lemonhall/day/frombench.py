"""A bench's day, as its tool writes it (JSON), as a day of ours at a size that one machine carries. Pure.

What is kept: the kinds of trouble with their times and parts, classes and their terms, the proportions of the
ladder, how full the fleet is, the ratio of fronts to servers, racks and halls, how late the list is. What is
changed: the number of servers and fronts, all rates by one factor, and sessions are shorter where the day is
not several of them long, since fronts here begin with none. What has no counterpart is named, never left out
in silence. Times there are microseconds, rates kB a second.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from lemonhall.layout import quoted
from lemonhall.problem import BadInput

SERVERS_MOST, FRONTS_MOST = 16, 5
FLEET_KB = 6000.0  # a second, of all links together
KINDS = {  # of trouble: ours, and whether it befalls servers, fronts, partners or the list
    "fast_errors": ("errors", "box"),
    "hang": ("hang", "box"),
    "crash": ("crash", "box"),
    "kill": ("crash", "box"),
    "ageing": ("slow-dead", "box"),
    "slow": ("slow-dead", "box"),
    "silent": ("silent", "box"),
    "gray": ("answers-lost", "box"),
    "deploy": ("deploy", "boxes"),
    "peer_down": ("front-killed", "front"),
    "balancer_down": ("front-killed", "front"),
    "tenant_burst": ("surge", "partner"),
    "burst": ("surge", "partner"),
    "discovery_stale": ("list-lag", "list"),
    "discovery_down": ("list-lag", "list"),
}


@dataclass
class Made:
    """`text`: the day as KDL; `left`: what could not be carried, in words; `sizes`: theirs and ours."""

    text: str
    left: list[str] = field(default_factory=list)
    sizes: str = ""


class Reader:
    """Raises `BadInput` with the path of a field that is missing or of another kind."""

    def __init__(self, file: str, data: Any) -> None:
        self.file, self.data = file, data

    def at(self, path: str, kind: type | tuple[type, ...] = (int, float), default: Any = None) -> Any:
        found = self.data
        for part in path.split("."):
            if isinstance(found, list) and part.isdigit() and int(part) < len(found):
                found = found[int(part)]
            elif isinstance(found, dict) and part in found:
                found = found[part]
            elif default is not None:
                return default
            else:
                raise BadInput(self.file, f"{path}: missing; no day of the bench, or of another version")
        if not isinstance(found, kind):
            raise BadInput(self.file, f"{path}: cannot be {str(found)[:40]!r}")
        return found


def ms(us: float) -> str:
    return f"(ms){max(0, round(us / 1000))}"


class Builder:
    def __init__(self, file: str, data: Any) -> None:
        self.r = Reader(file, data)
        self.left: list[str] = []
        theirs = len(self.r.at("servers", list))
        fronts = len(self.r.at("balancers", list))
        if not theirs or not fronts:
            raise BadInput(file, "a day without servers or without fronts")
        self.theirs, self.their_fronts = theirs, fronts
        self.servers = min(SERVERS_MOST, theirs)
        self.fronts = max(1, min(FRONTS_MOST, round(fronts * self.servers / theirs)))
        self.kinds = self.r.at("tiers.0.kinds", list)
        self.halls = [f"hall-{n}" for n in range(max(1, len(self.r.at("zones", list))))]
        uplinks = self.r.at("fam.uplink_kb", list, [0.0])
        self.racks = max(1, min(len(uplinks), max(len(self.halls), self.servers // 3)))
        link = self.r.at("fam.core_kb") * self.kinds[0].get("cores", 1)
        self.scale = min(1.0, FLEET_KB / (link * self.servers))
        self.link_kb = link * self.scale
        per_rack = self.theirs / max(1, len(uplinks)) * link
        self.uplink = sum(uplinks) / len(uplinks) / per_rack * self.servers / self.racks * self.link_kb
        self.partners = [t["name"] for t in self.r.at("tenants", list, [])] or ["all"]

    def build(self) -> Made:
        lines = [
            f"// From {self.r.at('site', str, 'a bench')}, a day of {self.r.at('kind', str, 'its own')}.",
            f"day {quoted('bench')} length={ms(self.r.at('length'))} seed=1",
            f"halls {' '.join(map(quoted, self.halls))}",
            f"racks count={self.racks} uplink=(kBps){max(1.0, self.uplink):.1f}",
            f"link per-weight=(kBps){self.link_kb:.1f}",
            self.ladder(),
            *self.places(),
            *self.classes(),
            *self.terms(),
            *[f"front {quoted(f'front-{n}')} hall={quoted(self.hall(n))}" for n in range(self.fronts)],
            self.fleet(),
            self.traffic(),
            *self.troubles(),
        ]
        there = f"{self.their_fronts} fronts and {self.theirs} servers there"
        sizes = f"{there}, {self.fronts} and {self.servers} here; rates by {self.scale:.4f}"
        return Made("\n".join(lines) + "\n", self.left, sizes)

    def hall(self, n: int) -> str:
        return self.halls[n % len(self.halls)]

    def ladder(self) -> str:
        rates, worth = self.r.at("fam.rates", list), self.r.at("fam.worth", list)
        rungs = [
            f"rung rate=(kBps){r * self.scale:.4f} worth={w}" for r, w in zip(rates, worth, strict=False)
        ]
        return "ladder { " + "; ".join(rungs) + " }"

    def places(self) -> list[str]:
        slots = self.r.at("fam.core_slots", default=8.0)
        made = []
        for kind in self.kinds:
            count = max(1, round(slots * kind.get("cores", 1)))
            made.append(f"kind {quoted(str(kind.get('name', 'box')))} places={count}")
        return made

    def classes(self) -> list[str]:
        uses = self.r.at("fam.uses", list, [])
        made = []
        for n, cls in enumerate(self.r.at("classes", list)):
            use = uses[n] if n < len(uses) else {}
            words = [f"class {quoted(cls['name'])} worth={cls['worth']}"]
            effect = cls.get("effect", "safe")
            words += ['repeat="paid"'] if effect == "unsafe" else []
            words += ['repeat="keyed"'] if effect == "keyed" else []
            words += [f"aim={ms(cls['aim'])} deadline={ms(cls['deadline'])}"]
            words += [f"floor={use.get('floor', 0)} top={use.get('top', 99)} scale={use.get('scale', 1.0)}"]
            words += [f"seats={use['seats']}"] if use.get("seats") else []
            made.append(" ".join(words))
        for n, name in enumerate(self.partners):
            quota = self.r.at(f"tenants.{n}.quota", default=0.0) * self.per_s() if name != "all" else 0.0
            made.append(f"partner {quoted(name)} quota={max(0.0, quota):.3f}")
            for cls in self.r.at("classes", list):
                path, whose = quoted(f"/{name}/{cls['name']}/"), f"class={quoted(cls['name'])}"
                made.append(f"route {path} {whose} partner={quoted(name)}")
        return made

    def life_ms(self) -> float:
        """A sixth of the day at most: it must fill the fleet and see it used."""
        life = 1000.0 * self.r.at("fam.life_s", default=10.0)
        return float(max(500.0, min(life, self.r.at("length") / 6000)))

    def per_s(self) -> float:
        """Arrivals a second over all fronts that ask for the same part of the fleet as there."""
        life = self.life_ms() / 1000
        rates = self.r.at("fam.rates", list)
        middle = rates[len(rates) // 2] * self.scale
        sessions = self.link_kb * self.servers / max(1e-9, middle)
        places = sum(max(1, round(self.r.at("fam.core_slots", default=8.0))) for _ in range(self.servers))
        load = self.r.at("traffic.load", default=0.8)
        return float(max(0.2, min(sessions, places) * load / life))

    def terms(self) -> list[str]:
        kind = self.kinds[0]
        attempts = max(1, int(self.r.at("allow.max_attempts", default=2)))
        budget = "" if attempts == 1 else " free=3 share=(%)20 span=(s)10"
        connect = self.r.at("tiers.0.connect_timeout", default=250_000)
        switch = self.r.at("fam.switch_s", default=0.4)
        cold = max(0.01, min(1.0, kind.get("cold_from", 0.3)))
        return [
            f"attempts most={attempts} connect-timeout={ms(connect)}{budget}",
            f"cold from=(%){100 * cold:.0f} warm={ms(max(1000, kind.get('cold', 5_000_000)))} "
            f"factor={max(1.0, self.r.at('fall_multiple', default=2.0))} "
            f"tip-after={ms(max(1000, self.r.at('fall_for', default=2_000_000)))}",
            f"drain grace={ms(self.r.at('drain_grace', default=2_000_000))}",
            f"answers grace=(ms)500 pause={ms(self.r.at('clients.max_retry_after', default=1_000_000))}",
            f'reports fields="x0 x1" every={ms(max(500_000, self.r.at("fam.tell", default=2_000_000)))} '
            f"late={ms(self.r.at('fam.see', default=500_000))} "
            f"full-from=(%){100 * self.r.at('fam.guard', default=1.2):.0f}",
            f"costs stall={self.r.at('fam.stall', default=5.0)} switch={switch:.3f} "
            f"over-share-worth={self.r.at('traffic.over_share_worth', default=0.2)}",
            "allow peers=#true",
        ]

    def fleet(self) -> str:
        lag = ms(self.r.at("discovery.notice", default=400_000))
        lines = [f"fleet list-lag={lag} set-up-least=(ms)5 set-up-most=(ms)40 frames-per-second=2 {{"]
        step = self.theirs / self.servers
        for n in range(self.servers):
            told = self.r.at(f"servers.{int(n * step)}", dict)
            kind = self.kinds[told.get("kind", 0) % len(self.kinds)]
            rack = n % self.racks
            lines.append(
                f"    box {quoted(f'box-{n}')} kind={quoted(str(kind.get('name', 'box')))} "
                f"hall={quoted(self.hall(rack))} rack={rack}"
            )
        return "\n".join([*lines, "}"])

    def traffic(self) -> str:
        life = self.life_ms()
        total = self.per_s()
        lines = [f"traffic again=(%){90 if self.r.at('clients.retries', default=1) else 0} {{"]
        titles = max(1, int(self.r.at("fam.titles", default=100) * self.servers / self.theirs))
        for n, name in enumerate(self.partners):
            part = self.r.at(f"tenants.{n}.traffic", default=1.0 / len(self.partners))
            for cls in self.r.at("classes", list):
                each = total * part * cls.get("share", 1.0)
                path = quoted(f"/{name}/{cls['name']}/")
                lines.append(
                    f"    mix {path} class={quoted(cls['name'])} "
                    f"partner={quoted(name)} per-second={each:.4f} titles={titles} "
                    f"shortest=(ms){life * 0.3:.0f} longest=(ms){life * 1.7:.0f}"
                )
        return "\n".join([*lines, "}"])

    def troubles(self) -> list[str]:
        made = []
        for n, trouble in enumerate(self.r.at("troubles", list)):
            kind = str(trouble.get("kind"))
            known = KINDS.get(kind)
            at, lasting = trouble.get("at", 0), trouble.get("len", 0)
            if known is None:
                self.left.append(f"trouble {kind} at {at / 1e6:.1f} s: no counterpart here")
                continue
            ours, whom = known
            words = [f"fault {quoted(ours)}"]
            hit = trouble.get("on") or [trouble.get("which", 0)]
            count = max(1, round(len(hit) * self.servers / self.theirs))
            if whom in ("box", "boxes"):
                boxes = dict.fromkeys(int(h) * self.servers // self.theirs % self.servers for h in hit)
                words += [quoted(f"box-{b}") for b in list(boxes)[: max(count, 2 if whom == "boxes" else 1)]]
            elif whom == "front":
                words.append(quoted(f"front-{n % self.fronts}"))
            elif whom == "partner":
                words.append(quoted(self.partners[int(trouble.get("which", 0)) % len(self.partners)]))
            words.append(f"at={ms(at)} for={ms(lasting)}")
            size = float(trouble.get("size", 1.0) or 0.0)
            if ours == "errors":
                words.append(f"part=(%){100 * max(0.05, min(1.0, size)):.0f}")
            elif ours == "surge":
                words.append(f"part=(x){max(0.5, size):.2f}")
            elif ours == "list-lag":
                words.append(f"by={ms(self.r.at('discovery.silent_notice', default=5_000_000))}")
            made.append(" ".join(words))
        return made


def from_bench(file: str, data: Any) -> Made:
    """Raises `BadInput`."""
    if not isinstance(data, dict):
        raise BadInput(file, "no day of the bench: no JSON object")
    try:
        return Builder(file, data).build()
    except (KeyError, TypeError, IndexError, ValueError) as error:
        raise BadInput(file, f"no day of the bench that is understood here: {error!r}") from error
