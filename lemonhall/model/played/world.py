"""One day in simulated time: fleet, list, fronts, viewers, troubles. `play` gives what came of it."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lemonhall import decide
from lemonhall import interface as i
from lemonhall.audit import Report, audit
from lemonhall.audit.limits import limits_report
from lemonhall.audit.recovery import recovery_report
from lemonhall.audit.trace import Trace
from lemonhall.audit.zones import zone_report
from lemonhall.config.day import Day, FaultSpec
from lemonhall.config.routing import title_of
from lemonhall.config.settings import FrontSettings
from lemonhall.interface import ServerState
from lemonhall.model.played import deciders
from lemonhall.model.played.draws import Named, Wish, wishes
from lemonhall.model.played.fleet import TRUE_RATES, Box, BoxList, Rack
from lemonhall.model.played.fronts import Front, Make
from lemonhall.model.played.sim import Sim
from lemonhall.model.played.viewers import Viewer
from lemonhall.problem import BadInput

OVER_MS = 60_000.0  # behind the day's length, for its last viewers
SAMPLE_MS = 1000.0
HUNG_MS = 10_000.0  # as a parent waits for a decider that is silent


@dataclass
class Second:
    """The fleet at one second. Use of links by hall, sessions that play by class and by rung."""

    at_s: int
    by_hall: tuple[float, ...]
    by_class: tuple[int, ...]
    by_rung: tuple[int, ...]
    by_rack: tuple[float, ...]  # use of uplinks


@dataclass
class Played:
    """What came of one day. `module_s`: time that the module took of `seconds`."""

    trace: Trace
    report: Report
    seconds_table: list[Second]
    counts: dict[str, int]
    seconds: float = 0.0
    module_s: float = 0.0
    wishes: list[Wish] = field(default_factory=list)


ON_SOCKETS = ("front-frozen", "front-clock")  # of processes


class World:
    SEEN_MS = 500.0  # after which whoever keeps the list has seen that a process is gone
    PASS_MS = 0.5  # what comes within it goes into one call of the module
    HOP_MS = 0.5

    def __init__(
        self,
        day: Day,
        seed: int,
        make: Make = decide.Front,
        timer: Callable[[], float] = time.perf_counter,
        asked: list[Wish] | None = None,
        returning: bool = True,
        limited: bool = True,
    ) -> None:
        """`returning`: fronts come back by the machine of recovery; `limited`: they hold the fleet's limits.
        Raises `BadInput` for a day with faults that are played on sockets alone."""
        left = {f.kind for f in day.faults if f.link or f.kind in ON_SOCKETS} | {"link" for _ in day.links}
        if left:
            raise BadInput(day.name, f"the model does not play {', '.join(sorted(left))}: take them out")
        self.day, self.seed, self.make, self.timer = day, seed, make, timer
        self.returning = returning
        self.limited = bool(day.terms.fleet_limits) and limited
        self.sim = Sim()
        self.named = Named(seed)
        self.trace = Trace()
        self.counted: Counter[str] = Counter()
        self.module_s = 0.0
        self.peer_messages = 0
        self.seconds_table: list[Second] = []
        self.box_list = BoxList(self)
        self.lives: dict[int, Box] = {}
        self.racks = [Rack(day.terms.uplink_kb) for _ in range(day.terms.racks)]
        self.boxes = {b.name: Box(self, b, self.racks[b.cell]) for b in day.boxes}
        self.fronts = [Front(self, n, f.name, f.hall) for n, f in enumerate(day.fronts)]
        self.by_hall: dict[int, list[Front]] = {}
        for front in self.fronts:
            self.by_hall.setdefault(front.hall, []).append(front)
        self.titles: dict[tuple[str, int], tuple[int, float]] = {}
        self.wishes = wishes(day, seed) if asked is None else asked

    # what the parts ask of the world

    def hop(self) -> float:
        return self.HOP_MS

    def count(self, what: str) -> None:
        self.counted[what] += 1

    def new_life(self, box: Box) -> int:
        life = len(self.lives) + 1
        self.lives[life] = box
        return life

    def box_at(self, server: int) -> Box | None:
        """Whoever answers at a server's address now: perhaps its successor."""
        return self.lives.get(server)

    def fronts_at(self, wish: Wish) -> list[Front]:
        """Those that this person may come to."""
        if name := self.day.mixes[wish.mix].front:
            return [f for f in self.fronts if f.name == name]
        return self.by_hall.get(wish.hall, self.fronts)

    def rate(self, wish: Wish, rung: int) -> float:
        terms = self.day.terms
        return terms.ladder_kb[rung] * terms.classes[wish.cls].scale

    def title(self, wish: Wish) -> tuple[int, float]:
        key = (wish.path, wish.title)
        if key not in self.titles:
            path = f"{wish.path}title-{wish.title}"
            truth = 1 + TRUE_RATES * (2 * Random(path).random() - 1)
            self.titles[key] = (title_of(path), truth)
        return self.titles[key]

    def truth(self, wish: Wish) -> float:
        return self.title(wish)[1]

    def place_of(self, wish: Wish) -> tuple[int, int, int]:
        terms, title = self.day.terms, self.title(wish)[0]
        some = 0 < terms.copies < terms.cells
        return title, title % terms.cells if some else 0, terms.copies if some else terms.cells

    def module_settings(self, index: int) -> i.Settings:
        spec = self.day.fronts[index]
        settings = FrontSettings(
            spec.name, index, len(self.day.fronts), spec.hall, self.seed, ("", 0), self.day.terms
        )
        return settings.to_module()

    # troubles

    def befall(self, fault: FaultSpec) -> None:
        for target in fault.targets or ("",):
            self.trace.faults[fault.kind] = self.trace.faults.get(fault.kind, 0) + 1
            act = getattr(self, "on_" + fault.kind.replace("-", "_"), None)
            if act:
                act(fault, target)
            else:
                self.boxes[target].fault(fault.kind, True, fault.part)
                self.sim.after(fault.for_ms, self.boxes[target].fault, fault.kind, False, 0.0)

    def on_crash(self, fault: FaultSpec, box: str) -> None:
        self.boxes[box].die()
        self.sim.after(fault.for_ms, self.boxes[box].start, True)

    def replace(self, box: Box) -> None:
        box.die()
        box.start(True)

    def on_silent(self, fault: FaultSpec, name: str) -> None:
        box = self.boxes[name]
        box.fault("silent", True, 1.0)
        self.sim.after(self.SEEN_MS, self.box_list.says, box, box.life, ServerState.GONE)
        self.sim.after(fault.for_ms, self.replace, box)

    def on_slow_dead(self, fault: FaultSpec, name: str) -> None:
        self.boxes[name].fault("slow-dead", True, 1.0)
        self.sim.after(fault.for_ms, self.boxes[name].die)

    def drains(self, box: Box) -> None:
        if box.alive:
            self.box_list.says(box, box.life, ServerState.DRAINING)

    def on_drain_dead(self, fault: FaultSpec, name: str) -> None:
        self.drains(self.boxes[name])
        self.sim.after(fault.for_ms, self.boxes[name].die)

    def on_deploy(self, fault: FaultSpec, name: str) -> None:
        self.drains(self.boxes[name])
        self.sim.after(fault.for_ms, self.replace, self.boxes[name])

    def on_uplink(self, fault: FaultSpec, rack: str) -> None:
        self.racks[int(rack)].factor = fault.part
        self.sim.after(fault.for_ms, setattr, self.racks[int(rack)], "factor", 1.0)

    def on_list_lag(self, fault: FaultSpec, _: str) -> None:
        self.box_list.lag_ms = self.day.list_lag_ms + fault.by_ms
        self.sim.after(fault.for_ms, setattr, self.box_list, "lag_ms", self.day.list_lag_ms)

    def on_hall_dark(self, fault: FaultSpec, hall: str) -> None:
        self.trace.zone_faults.append((self.sim.now, fault.kind, hall))
        self.darken(fault, hall)

    def darken(self, fault: FaultSpec, hall: str) -> None:
        for box in self.boxes.values():
            if self.day.terms.halls[box.spec.hall] == hall:
                self.on_crash(fault, box.spec.name)

    def on_hall_flap(self, fault: FaultSpec, hall: str) -> None:
        self.on_hall_dark(fault, hall)
        self.sim.after(fault.for_ms + fault.by_ms, self.darken, fault, hall)

    def on_fronts_apart(self, fault: FaultSpec, name: str) -> None:
        front = next(f for f in self.fronts if f.name == name)
        front.apart = True
        self.sim.after(fault.for_ms, setattr, front, "apart", False)

    def on_surge(self, fault: FaultSpec, partner: str) -> None:
        """Drawn with the arrivals."""

    def on_hooks(self, fault: FaultSpec, folder: str) -> None:
        """Hooks are the running front's: the model has none."""

    on_reload = on_hooks

    def on_front_relieved(self, fault: FaultSpec, name: str) -> None:
        """A change of guard leaves sessions and what was learned as they were: here it is nothing."""

    def on_decider_killed(self, fault: FaultSpec, name: str) -> None:
        """Of a front with workers; another has one process, and nothing befalls it."""
        front = next(f for f in self.fronts if f.name == name)
        if self.day.fronts[front.index].workers:
            deciders.die(front)

    def on_decider_stopped(self, fault: FaultSpec, name: str) -> None:
        """Nothing is decided for so long; one that is stopped longer than that is held for hung."""
        front = next(f for f in self.fronts if f.name == name)
        if self.day.fronts[front.index].workers:
            deciders.die(front, min(fault.for_ms, HUNG_MS))

    def on_worker_killed(self, fault: FaultSpec, name: str) -> None:
        """Its viewers end with it: one in so many of the front's."""
        front = next(f for f in self.fronts if f.name == name)
        if count := self.day.fronts[front.index].workers:
            self.trace.worker_kills.append((self.sim.now, name))
            front.lose_part(count)

    def on_worker_stopped(self, fault: FaultSpec, name: str) -> None:
        """A second or so of silence to some viewers, which nobody sees here: they play on."""

    def on_front_killed(self, fault: FaultSpec, name: str) -> None:
        front = next(f for f in self.fronts if f.name == name)
        now = self.sim.now
        self.trace.front_kills.append((now, now + fault.for_ms, name))
        front.kill()
        self.sim.after(fault.for_ms, self.front_back, front)

    def front_back(self, front: Front) -> None:
        front.start(self.make)
        kept = tuple(front.heard.values())
        front.tell(i.ServerList(i.ListKind.CACHED, self.box_list.version, kept))
        if front.memory:
            front.tell(front.memory)
        lag = self.box_list.lag_ms
        self.sim.after(lag, self.box_list.send_whole, front.index, 0.0)

    # the day

    def sample(self) -> None:
        terms = self.day.terms
        asked = [0.0] * len(terms.halls)
        links = [0.0] * len(terms.halls)
        by_class = [0] * len(terms.classes)
        by_rung = [0] * len(terms.ladder_kb)
        for box in self.boxes.values():
            links[box.spec.hall] += box.spec.link_kb
            asked[box.spec.hall] += min(box.asked, box.spec.link_kb)
            for attempt in box.playing:
                by_class[attempt.ask.viewer.wish.cls] += 1
                by_rung[attempt.ask.rung] += 1
        use = tuple(a / max(1e-9, all_) for a, all_ in zip(asked, links, strict=True))
        at = round(self.sim.now / 1000)
        racks = tuple(round(rack.use(), 4) for rack in self.racks)
        self.seconds_table.append(Second(at, use, tuple(by_class), tuple(by_rung), racks))
        if self.sim.now < self.day.length_ms:
            self.sim.after(SAMPLE_MS, self.sample)

    def play(self) -> Played:
        began = self.timer()
        for box in self.boxes.values():
            box.start(False)
        self.box_list.lag_ms = self.day.list_lag_ms
        self.sim.heap = [h for h in self.sim.heap if getattr(h[2].call, "__name__", "") != "hear_list"]
        for front in self.fronts:
            front.start(self.make)
        self.box_list.push_whole()
        for fault in self.day.faults:
            self.sim.at(fault.at_ms, self.befall, fault)
        for wish in self.wishes:
            self.sim.at(wish.at, Viewer(self, wish).start)
        self.sim.at(SAMPLE_MS, self.sample)
        self.sim.run(self.day.length_ms + OVER_MS)
        report = audit(self.trace, self.day.terms)
        report.seconds = self.timer() - began
        if spilled := zone_report(self.trace, self.day):
            report.zones = spilled.to_json()
        machines = [f.limits.machine for f in self.fronts if f.limits]
        if limits := limits_report(self.trace, self.day, [m.status(self.sim.now) for m in machines]):
            report.limits = limits.to_json()
        if returned := recovery_report(self.trace, self.day.terms):
            report.recovery = returned.to_json()
        return Played(
            self.trace,
            report,
            self.seconds_table,
            dict(self.counted),
            report.seconds,
            self.module_s,
            self.wishes,
        )


def play(day: Day, seed: int, make: Make = decide.Front, asked: list[Wish] | None = None) -> Played:
    """One day with one seed; `asked`: recorded traffic in the place of the day's own."""
    return World(day, seed, make, asked=asked).play()
