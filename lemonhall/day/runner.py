"""Plays one day: starts the processes, waits for each to be ready, carries out the faults, reads the taps."""

from __future__ import annotations

import contextlib
import fcntl
import json
import os
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random, SystemRandom
from typing import Any

from lemonhall.audit import Report, audit, read_taps
from lemonhall.audit.limits import limits_report
from lemonhall.audit.recovery import recovery_report
from lemonhall.audit.trace import TraceReader
from lemonhall.audit.zones import zone_report
from lemonhall.config.day import Day, FaultSpec, read_day
from lemonhall.day import state
from lemonhall.day.children import Child
from lemonhall.interface import ServerState
from lemonhall.links.process import link_to_json
from lemonhall.loop import Loop
from lemonhall.standins.tap import Tap

READY_S = 30.0  # for all processes to start
OVER_S = 40.0  # behind the day's length, for its last viewers
CARRIER = "lemonhall.front.workers.worker_process"  # how a worker is called
PORTS, PORT_RANGE = SystemRandom(), (15_000, 32_000)  # below those that the kernel gives away
SEEN_S = 0.5  # after which whoever keeps the list has seen that a process is gone


class DayFailed(Exception):
    """The day could not be played to its end: which process did what."""


def free_port() -> tuple[socket.socket, int]:
    """A port that is held (bound, not listening) so that a front that shares it can come and go.

    Not one that the kernel gives to whoever asks for any: a process that starts later must find it free, also
    for datagrams, which nobody can hold for it. Days played at the same time ask one after another.
    """
    with open(Path(tempfile.gettempdir()) / f"lemonhall-ports-{os.getuid()}", "a") as turn:
        fcntl.flock(turn, fcntl.LOCK_EX)
        while True:
            with socket.socket() as alone, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
                port = PORTS.randrange(*PORT_RANGE)
                try:
                    alone.bind(("127.0.0.1", port))
                    datagrams.bind(("127.0.0.1", port))
                except OSError:
                    continue
            held = socket.socket()
            held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            try:
                held.bind(("127.0.0.1", port))
                return held, port
            except OSError:
                held.close()


class Runner:
    def __init__(
        self,
        day: Day,
        day_path: Path,
        folder: Path,
        seed: int,
        module: str = "",
        keep_state: bool = True,
    ) -> None:
        self.keep_state = keep_state and day.keep
        self.limits_told: list[dict[str, Any]] = []  # of fronts that stopped in order
        self.relieved: dict[str, int] = {}  # fronts whose old process has yet to end, how many
        self.coming: set[str] = set()  # fronts whose successor has not said that it serves
        self.day, self.day_path, self.folder, self.seed, self.module = day, day_path, folder, seed, module
        self.loop = Loop()
        self.children: dict[str, Child] = {}
        self.tap = Tap(str(folder / "day.tap"))
        self.lives: dict[str, int] = {}
        self.life_specs: dict[int, dict[str, Any]] = {}
        self.next_life = 1
        self.list_at = ""
        self.ports: dict[str, int] = {}
        self.member_ports: dict[str, int] = {}
        self.held: list[socket.socket] = []
        self.serving: set[str] = set()
        self.apart: set[str] = set()  # fronts that hear none of the others
        self.down: set[str] = set()  # fronts that were killed and do not serve yet
        self.gone: set[str] = set()  # those of them that were not started again yet
        self.done = self.ending = False
        self.old: list[Child] = []  # processes that were relieved
        self.flushed = 0
        self.published = 1
        self.failure = ""
        self.specs = {b.name: b for b in day.boxes}
        self.hook_sets: list[tuple[float, list[Path]]] = []  # yet to be loaded: wait before, scripts
        self.loading: set[str] = set()  # fronts that have not said how it went
        self.text = day.text
        self.hooks_due = False  # a timer for the next set is set
        self.through: dict[str, Any] = {}  # where each process reaches each other, if by relays
        self.box_at: dict[str, str] = {}
        self.stopped: set[int] = set()  # descriptors of processes that do not run
        self.holding = 0  # links that faults hold, counted

    # processes

    def spawn(self, name: str, *words: str) -> Child:
        log = self.folder / f"{name}.log"
        command = [sys.executable, "-m", "lemonhall", *words]
        self.children[name] = Child(
            self.loop,
            name,
            command,
            log,
            partial(self.said, name),
            partial(self.ended, name),
            {**os.environ, "LEMONHALL_DEAF": str(self.folder)},
        )
        return self.children[name]

    def standin(self, kind: str, name: str, *words: str) -> Child:
        tap = self.folder / f"{name}.tap"
        return self.spawn(
            name, "standin", kind, str(self.day_path), "--tap", str(tap), "--seed", str(self.seed), *words
        )

    def ended(self, name: str, status: int) -> None:
        if status == 0 and self.relieved.get(name):
            self.relieved[name] -= 1
            return
        if not self.ending and not (name in self.ports and name not in self.serving):
            last = (self.folder / f"{name}.log").read_text(errors="replace").strip().splitlines()[-1:]
            self.failure = f"{name} ended with {status}: {' '.join(last)}"

    def said(self, name: str, what: dict[str, Any]) -> None:
        if "list" in what:
            self.list_at = what["list"]
        elif "links" in what:
            self.through = what["links"]
        elif "box" in what:
            spec = self.specs[what["box"]]
            self.life_specs[what["life"]] = {
                "id": what["life"],
                "address": what["at"],
                "kind": spec.kind,
                "weight": spec.weight,
                "zone": spec.hall,
                "cell": spec.cell,
                "started_ms": what["started_ms"],
            }
            self.lives[spec.name] = what["life"]
            self.box_at[spec.name] = what["at"]
            if self.through:
                self.aim(spec.name, what["at"])
            self.list_says(what["life"], ServerState.READY, now=self.published == 1)
        elif "died" in what:
            if self.lives.get(what["died"]) == what["life"]:
                del self.lives[what["died"]]
                self.aim(what["died"], "")
            self.loop.call_later(SEEN_S, self.list_says, what["life"], ServerState.GONE)
        elif "serving" in what:
            self.serving.add(name)
            came = "front-relieved" if name in self.coming else "front-up"
            self.tap.write("day", 0, "front-back" if name in self.down else came, front=name)
            self.coming.discard(name)
            self.down.discard(name)
            self.aim(name, what["serving"])
            at = self.through["doors"]["viewers"][name] if self.through else what["serving"]
            self.children["viewers"].tell(do="fronts", fronts={name: at})
        elif "limits" in what:
            self.limits_told.append(what)
        elif "full" in what:
            self.tap.write("day", 0, "front-full", front=name, after=what["full"])
        elif "hooks" in what:
            self.loaded(name)
        elif "published" in what:
            self.published = what["published"]
        elif "done" in what:
            self.done = True
        elif "flushed" in what:
            self.flushed += 1

    def wait(self, until: Callable[[], bool], within_s: float, what: str) -> None:
        """Runs the loop until the condition holds. Raises `DayFailed` if it does not, or a process ends."""
        expired: list[bool] = []
        timer = self.loop.call_later(within_s, expired.append, True)
        self.loop.run(until=lambda: bool(expired or self.failure) or until())
        timer.cancel()
        if self.failure:
            raise DayFailed(self.failure)
        if not until():
            raise DayFailed(f"{what} within {within_s:g} s")

    # the list

    def list_says(self, life: int, state: ServerState, now: bool = False) -> None:
        box = {**self.life_specs[life], "state": int(state)}
        self.children["list"].tell(do="change", boxes=[box], now=now)

    # fronts

    def on_reload(self, fault: FaultSpec, target: str, after_s: float) -> None:
        """The terms of another day's file take the place of this one's; fronts are told to read them."""
        self.text = read_day(self.day_path.parent / target).text
        for n, front in enumerate(self.day.fronts):
            self.front_settings(front.name, n)
            if front.name in self.serving:
                self.children[front.name].signal(signal.SIGHUP)

    def front_settings(self, name: str, index: int) -> Path:
        day, fronts = self.day, self.day.fronts
        others = [f.name for f in fronts if f.name != name]
        peer_at, via = {n: f"127.0.0.1:{self.ports[n]}" for n in others}, ""
        list_at = self.list_at
        if self.through:
            peer_at, list_at = self.through["peers"].get(name, {}), self.through["doors"][name]["list"]
            reached = self.through["members"].get(name, {})
            via = "\n".join(f'        via "127.0.0.1:{self.member_ports[n]}" "{reached[n]}"' for n in others)
        peers = "\n".join(f'        peer {n} "{peer_at[f.name]}"' for n, f in enumerate(fronts) if n != index)
        hall = day.terms.halls[fronts[index].hall]
        own = self.member_ports[name]
        seeds = "\n".join(f'        seed "127.0.0.1:{p}"' for p in self.member_ports.values() if p != own)
        text = f"""{self.text}
{self.hook_nodes()}
front "{name}" index={index} fronts={len(fronts)} hall="{hall}" seed={self.seed * 100 + index} \\
        guard="{name}.guard" \\
        workers={fronts[index].workers} listen="127.0.0.1:{self.ports[name]}" share-port=#true {{
    boxes "http://{list_at}/boxes" cache="{"" if self.keep_state else f"{self.folder / name}.cache"}"
    {f'store "{name}.store" size=(MB)16' if self.keep_state else ""}
    peers listen="127.0.0.1:{self.ports[name]}" {{
{peers}
    }}
    members listen="127.0.0.1:{own}" keys="members.keys" period=(ms)500 {{
{seeds}
{via}
    }}
}}
"""
        path = self.folder / f"{name}.kdl"
        path.write_text(text, encoding="utf-8")
        return path

    def hook_nodes(self) -> str:
        """The day's scripts, and a folder that `hooks` happenings fill while it runs."""
        h = self.day.hooks
        lines = [
            f'    {"folder" if f.folder else "script"} "{f.path}"{" shadow=#true" if f.shadow else ""}'
            for f in h.files
        ]
        if any(f.kind == "hooks" for f in self.day.faults):
            (self.folder / "hooks.d").mkdir(exist_ok=True)
            lines.append(f'    folder "{self.folder / "hooks.d"}"')
        if not lines:
            return ""
        head = f"hooks fuel={h.fuel} memory=(B){h.memory} total={h.total} strikes={h.strikes:g}"
        return "\n".join([f"{head} fade=(ms){h.fade_ms:g} {{", *lines, "}"])

    def start_front(self, name: str, *words: str) -> None:
        index = [f.name for f in self.day.fronts].index(name)
        if self.module:
            words = (*words, "--module", self.module)
        self.spawn(name, "--log-format", "json", "serve", str(self.front_settings(name, index)), *words)

    # faults

    def befall(self, fault: FaultSpec) -> None:
        if self.ending:  # the last viewer has gone before
            return
        after_s = fault.for_ms / 1000
        for target in fault.targets or ("",):
            self.tap.write("day", 0, "fault", kind=fault.kind, target=target)
            act = getattr(self, "on_" + fault.kind.replace("-", "_"), None)
            if act:
                act(fault, target, after_s)
            else:
                self.switch(target, fault.kind, True, fault.part)
                self.loop.call_later(after_s, self.switch, target, fault.kind, False, 0.0)

    def rack(self, box: str) -> Child:
        return self.children[f"rack-{self.specs[box].cell}"]

    def switch(self, box: str, kind: str, on: bool, part: float) -> None:
        if box in self.lives:
            self.rack(box).tell(do="fault", box=box, kind=kind, on=on, part=part)

    def die(self, box: str) -> None:
        if box in self.lives:
            self.rack(box).tell(do="die", box=box)

    def start_box(self, box: str, cold: bool) -> None:
        life, self.next_life = self.next_life, self.next_life + 1
        self.rack(box).tell(do="start", box=box, life=life, cold=cold)

    def replace(self, box: str) -> None:
        self.die(box)
        self.start_box(box, cold=True)

    def on_crash(self, fault: FaultSpec, box: str, after_s: float) -> None:
        self.die(box)
        self.loop.call_later(after_s, self.start_box, box, True)

    def on_silent(self, fault: FaultSpec, box: str, after_s: float) -> None:
        self.switch(box, "silent", True, 1.0)
        if box in self.lives:
            self.loop.call_later(SEEN_S, self.list_says, self.lives[box], ServerState.GONE)
        self.loop.call_later(after_s, self.replace, box)

    def on_slow_dead(self, fault: FaultSpec, box: str, after_s: float) -> None:
        self.switch(box, "slow-dead", True, 1.0)
        self.loop.call_later(after_s, self.die, box)

    def on_drain_dead(self, fault: FaultSpec, box: str, after_s: float) -> None:
        if box in self.lives:
            self.list_says(self.lives[box], ServerState.DRAINING)
        self.loop.call_later(after_s, self.die, box)

    def on_deploy(self, fault: FaultSpec, box: str, after_s: float) -> None:
        if box in self.lives:
            self.list_says(self.lives[box], ServerState.DRAINING)
        self.loop.call_later(after_s, self.replace, box)

    def on_hall_dark(self, fault: FaultSpec, hall: str, after_s: float) -> None:
        for box in self.day.boxes:
            if self.day.terms.halls[box.hall] == hall:
                self.on_crash(fault, box.name, after_s)

    def on_hall_flap(self, fault: FaultSpec, hall: str, after_s: float) -> None:
        self.on_hall_dark(fault, hall, after_s)
        self.loop.call_later(after_s + fault.by_ms / 1000, self.on_hall_dark, fault, hall, after_s)

    def on_fronts_apart(self, fault: FaultSpec, front: str, after_s: float) -> None:
        """Each side is told not to hear the other's ports."""
        self.apart.add(front)
        self.tell_apart()
        self.loop.call_later(after_s, self.together, front)

    def together(self, front: str) -> None:
        self.apart.discard(front)
        self.tell_apart()

    def tell_apart(self) -> None:
        for name in self.member_ports:
            others = [p for n, p in self.member_ports.items() if (n in self.apart) != (name in self.apart)]
            path = self.folder / f"{name}.deaf"
            part = path.with_suffix(".part")
            part.write_text(" ".join(map(str, others)))
            part.replace(path)

    def on_uplink(self, fault: FaultSpec, rack: str, after_s: float) -> None:
        child = self.children[f"rack-{rack}"]
        child.tell(do="uplink", part=fault.part)
        self.loop.call_later(after_s, partial(child.tell, do="uplink", part=1.0))

    def on_list_lag(self, fault: FaultSpec, _: str, after_s: float) -> None:
        child = self.children["list"]
        child.tell(do="lag", ms=self.day.list_lag_ms + fault.by_ms)
        self.loop.call_later(after_s, partial(child.tell, do="lag", ms=self.day.list_lag_ms))

    def on_hooks(self, fault: FaultSpec, target: str, after_s: float) -> None:
        """A folder's scripts are put where the fronts look for them; they are told to look."""
        scripts = sorted((self.day_path.parent / target).glob("*.hook"))
        sets = [[script] for script in scripts] if fault.by_ms else [scripts]
        self.hook_sets += [(fault.by_ms / 1000, one) for one in sets]
        if not (self.loading or self.hooks_due):
            self.load_hooks()

    def loaded(self, front: str) -> None:
        """A front has loaded or refused a set; the next comes when all have."""
        if front in self.loading:
            self.loading.discard(front)
            if not self.loading and self.hook_sets and not self.hooks_due:
                self.hooks_due = True
                self.loop.call_later(self.hook_sets[0][0], self.load_hooks)

    def load_hooks(self) -> None:
        self.hooks_due = False
        if self.loading or not self.hook_sets:
            return
        scripts = self.hook_sets.pop(0)[1]
        folder = self.folder / "hooks.d"
        for old in folder.glob("*.hook"):
            old.unlink()
        for script in scripts:
            (folder / script.name).write_bytes(script.read_bytes())
        self.loading = set(self.serving)
        for name in sorted(self.serving):
            self.children[name].signal(signal.SIGHUP)

    # links between processes

    def aim(self, end: str, at: str) -> None:
        """A process is at an address from now on, or nowhere; whoever goes to it by a relay finds it so."""
        if self.through and not self.ending:
            self.children["links"].tell(do="aim", end=end, at=at)

    def set_links(self) -> None:
        """One relay for each pair of processes that speak; who is where is known to the relays alone."""
        links = self.standin("links", "links")
        members = {name: f"127.0.0.1:{port}" for name, port in self.member_ports.items()}
        peers = {name: f"127.0.0.1:{port}" for name, port in self.ports.items()}
        links.tell(do="wire", members=members, peers=peers, list=self.list_at)
        self.wait(lambda: bool(self.through), READY_S, "the links were not ready")
        for front in self.day.fronts:
            doors = self.through["doors"][front.name]
            at = {self.box_at[b.name]: doors[b.name] for b in self.day.boxes}
            self.children["list"].tell(do="through", front=front.name, addresses=at)
        for name, at_box in self.box_at.items():
            self.aim(name, at_box)

    def hold(self, fault: FaultSpec, after_s: float) -> None:
        assert fault.link
        self.holding += 1
        links, number = self.children["links"], self.holding
        links.tell(do="hold", number=number, link=link_to_json(fault.link))
        self.loop.call_later(after_s, partial(links.tell, do="lift", number=number))

    def on_cut(self, fault: FaultSpec, _: str, after_s: float) -> None:
        self.hold(fault, after_s)

    on_silence = on_slow_link = on_cut

    def on_reset(self, fault: FaultSpec, _: str, after_s: float) -> None:
        assert fault.link
        self.children["links"].tell(do="reset", link=link_to_json(fault.link))

    # fronts as processes

    def on_front_frozen(self, fault: FaultSpec, front: str, after_s: float) -> None:
        if front in self.serving:
            child = self.children[front]
            self.tap.write("day", 0, "front-frozen", front=front)
            self.stop_for([child.process.pid, *child.kin("--decide"), *child.kin(CARRIER)], after_s, front)

    def on_front_clock(self, fault: FaultSpec, front: str, after_s: float) -> None:
        """Its clock is off from now on, also for a successor; then it is right again."""
        self.set_clock(front, fault.by_ms)
        self.loop.call_later(after_s, self.set_clock, front, 0.0)

    def set_clock(self, front: str, ahead_ms: float) -> None:
        path = self.folder / f"{front}.clock"
        part = path.with_suffix(".part")
        part.write_text(f"{ahead_ms:g}")
        part.replace(path)

    def on_surge(self, fault: FaultSpec, partner: str, after_s: float) -> None:
        """Drawn with the arrivals."""

    def on_front_killed(self, fault: FaultSpec, front: str, after_s: float) -> None:
        if front in self.gone:
            return  # nobody is there to be killed; it comes back as the first kill had it
        self.gone.add(front)
        self.down.add(front)
        self.serving.discard(front)
        self.loaded(front)
        self.tap.write("day", 0, "front-killed", front=front)
        self.children[front].signal(signal.SIGKILL)
        self.aim(front, "")
        self.loop.call_later(after_s, self.come_back, front, fault.store)

    def come_back(self, front: str, store: str) -> None:
        """A front that was killed starts anew, with what it finds on disk."""
        self.gone.discard(front)
        if not self.ending:
            state.find(self.folder, front, store, Random(f"{self.seed}/{front}"))
            self.start_front(front)

    def kin_of(self, front: str, word: str) -> list[int]:
        return self.children[front].kin(word) if front in self.serving else []

    def on_decider_killed(self, fault: FaultSpec, front: str, after_s: float) -> None:
        """The one that decides is older than the one that stands by."""
        for pid in self.kin_of(front, "--decide")[:1]:
            os.kill(pid, signal.SIGKILL)

    def on_worker_killed(self, fault: FaultSpec, front: str, after_s: float) -> None:
        for pid in self.kin_of(front, CARRIER)[:1]:
            os.kill(pid, signal.SIGKILL)

    def on_decider_stopped(self, fault: FaultSpec, front: str, after_s: float) -> None:
        self.stop_for(self.kin_of(front, "--decide")[:1], after_s)

    def on_worker_stopped(self, fault: FaultSpec, front: str, after_s: float) -> None:
        self.stop_for(self.kin_of(front, CARRIER)[:1], after_s)

    def stop_for(self, pids: list[int], after_s: float, front: str = "") -> None:
        for pid in pids:
            held = os.pidfd_open(pid)
            signal.pidfd_send_signal(held, signal.SIGSTOP)
            self.stopped.add(held)
            self.loop.call_later(after_s, self.wake, held, front)

    def wake(self, held: int, front: str = "") -> None:
        if held not in self.stopped:
            return
        self.stopped.discard(held)
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(held, signal.SIGCONT)
        os.close(held)
        if front:
            self.tap.write("day", 0, "front-thawed", front=front)

    def on_front_relieved(self, fault: FaultSpec, front: str, after_s: float) -> None:
        if front not in self.serving:
            return
        self.relieved[front] = self.relieved.get(front, 0) + 1
        self.coming.add(front)
        self.old.append(self.children[front])
        self.start_front(front, "--replace")

    # the day

    def play(self) -> Report:
        began = time.monotonic()
        try:
            self.set_out()
            self.wait(lambda: self.done, self.day.length_ms / 1000 + OVER_S, "viewers were not done")
            self.wait(lambda: not (self.hook_sets or self.loading), OVER_S, "the hooks were not loaded")
            self.wind_up()
        finally:
            self.ending = True
            for child in [*self.children.values(), *self.old]:
                child.signal(signal.SIGKILL)
            for held in self.held:
                held.close()
        self.tap.flush()
        records = read_taps(sorted(self.folder.glob("*.tap")))
        report = audit(TraceReader().read(records), self.day.terms)
        report.began_ms = next((r["t"] for r in records if r["who"] == "day" and r["what"] == "go"), 0.0)
        report.seconds = time.monotonic() - began
        spilled = zone_report(report.trace, self.day) if report.trace else None
        report.zones = spilled.to_json() if spilled else {}
        limits = limits_report(report.trace, self.day, self.limits_told) if report.trace else None
        report.limits = limits.to_json() if limits else {}
        if limits:  # what the fronts said at their end, and what was seen of each
            told = {"fronts": self.limits_told, "seen": limits.by_limit}
            (self.folder / "limits.json").write_text(json.dumps(told, indent=1), encoding="utf-8")
        returned = recovery_report(report.trace, self.day.terms) if report.trace else None
        report.recovery = returned.to_json() if returned else {}
        return report

    def set_out(self) -> None:
        day = self.day
        for front in day.fronts:
            held, self.ports[front.name] = free_port()
            other, self.member_ports[front.name] = free_port()
            self.held += [held, other]
        (self.folder / "members.keys").write_text(f"1 {secrets.token_hex(16)}\n", encoding="ascii")
        self.standin("list", "list")
        self.wait(lambda: bool(self.list_at), READY_S, "the box list was not ready")
        for cell in sorted({b.cell for b in day.boxes}):
            self.standin("box", f"rack-{cell}", "--rack", str(cell))
        for box in day.boxes:
            self.start_box(box.name, cold=False)
        self.wait(lambda: len(self.lives) == len(day.boxes), READY_S, "the boxes were not ready")
        self.wait(lambda: self.published > len(day.boxes), READY_S, "the list was not published")
        if day.linked:
            self.set_links()
        viewers = self.standin("viewers", "viewers")
        for front in day.fronts:
            self.start_front(front.name)
        self.wait(lambda: len(self.serving) == len(day.fronts), READY_S, "the fronts were not ready")
        if any(f.store == "older" for f in day.faults):
            state.keep_older(self.folder, [f.name for f in day.fronts])
        viewers.tell(do="go")
        self.tap.write("day", 0, "go")
        for fault in day.faults:
            self.loop.call_later(fault.at_ms / 1000, self.befall, fault)

    def wind_up(self) -> None:
        """Fronts stop in order; then every stand-in writes out its tap."""
        self.ending = True
        for held in list(self.stopped):
            self.wake(held)
        fronts = [self.children[f.name] for f in self.day.fronts] + self.old
        for child in fronts:
            child.signal(signal.SIGTERM)
        self.wait(lambda: not any(c.alive for c in fronts), READY_S, "the fronts did not stop")
        # one that was still coming up has no handler for the signal yet
        early = [c for c in fronts if c.name not in self.serving and c.process.returncode == -signal.SIGTERM]
        bad = [c for c in fronts if c.process.returncode and c not in early]
        if bad:
            raise DayFailed(f"{bad[0].name} ended with {bad[0].process.returncode}")
        others = [c for c in self.children.values() if c not in fronts]
        for child in others:
            child.tell(do="flush")
        self.wait(lambda: self.flushed == len(others), READY_S, "the taps were not written")
        for child in others:
            child.close_input()
        self.wait(lambda: not any(c.alive for c in others), READY_S, "the stand-ins did not stop")


def play_day(
    day: Day,
    day_path: Path,
    seed: int | None = None,
    keep: Path | None = None,
    module: str = "",
    keep_state: bool = True,
) -> Report:
    """Plays the day in processes on loopback. `keep`: a folder that taps and logs stay in; else a temporary
    one. `module`: a file of decisions for the fronts; `keep_state`: they have stores. Raises `DayFailed`."""
    chosen = day.seed if seed is None else seed
    if keep:
        keep.mkdir(parents=True, exist_ok=True)
        for old in keep.glob("*.tap"):
            old.unlink()
        for old in keep.glob("*.store"):
            shutil.rmtree(old)
        return Runner(day, day_path.resolve(), keep.resolve(), chosen, module, keep_state).play()
    with tempfile.TemporaryDirectory(prefix="lemonhall-day-") as folder:
        return Runner(day, day_path.resolve(), Path(folder), chosen, module, keep_state).play()
