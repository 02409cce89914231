"""Measures what fronts keep and how they change hands: `benchmarks/state.py [--only PART]`.

ledger  set-ups a second of paid sessions with a store over without one, in turn in one run
kills   fronts killed at random under paid claims that come again: claims set up twice
guard   the gap in media at a change of guard with 500 playing sessions, beside the same time without one
roll    service through a roll of all fronts: relieved, killed with kept state, killed without
"""

from __future__ import annotations

import argparse
import json
import os
import re
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

ROOT = Path(__file__).parents[1]
sys.path.insert(0, str(ROOT))

from benchmarks import front as bench  # noqa: E402
from benchmarks import rig  # noqa: E402
from lemonhall.boxlist import Box, State, Update, encode_delimited  # noqa: E402
from lemonhall.loop import Handler, Loop, Stream, listen  # noqa: E402
from lemonhall.rtsp import FrameRun, Parser, Request, Response, rtp  # noqa: E402
from lemonhall.rtsp.messages import make_request  # noqa: E402
from lemonhall.rtsp.parser import encode_frame  # noqa: E402

# ledger


def ledger(folder: Path, cycles: int) -> dict[str, Any]:
    rates: dict[str, list[float]] = {"without": [], "with": []}
    with bench.boxes(60) as (list_port, _):
        for turn in range(3):
            for name in ("without", "with"):
                kept = f'store "s{turn}" size=(MB)64' if name == "with" else ""
                with bench.front(list_port, folder, more=kept) as (port, pid):
                    rates[name].append(bench.saturate(port, pid, cycles, "/claims/a")[0])
    ratios = [a / b for a, b in zip(rates["with"], rates["without"], strict=True)]
    return {"ratio": statistics.median(ratios), "ratios": ratios, "per_s": rates}


# kills

CLAIM = re.compile(r"claim=(\d+)")
TERMS = bench.TERMS.replace("places=40", "places=400")


class Server(Handler):
    """Half of its set-ups play; some are refused as full, which proves that they never ran; some are never
    answered, some answered and cut off."""

    def __init__(self, fleet: Fleet, sock: Any) -> None:
        self.fleet, self.parser = fleet, Parser()
        self.stream = Stream(fleet.loop, sock, self)

    def on_data(self, view: memoryview) -> None:
        for event in self.parser.feed(view):
            if isinstance(event, Request):
                self.respond(event)

    def respond(self, request: Request) -> None:
        found = CLAIM.search(request.url)
        if request.method == "SETUP" and found:
            number, draw = int(found[1]), self.fleet.random.random()
            self.fleet.set_ups += 1
            if draw < 0.35:
                self.reply(request, 453)
                return
            self.fleet.ran[number] += 1
            if draw < 0.5:
                return
            self.fleet.loop.call_later(self.fleet.random.uniform(0.0, 0.03), self.reply, request, 200)
            return
        self.reply(request, 200)
        if request.method == "PLAY":
            self.stream.write(rig.packets(1))

    def reply(self, request: Request, status: int) -> None:
        transport = f"Transport: {request.headers.get('Transport')}\r\n" if request.method == "SETUP" else ""
        self.stream.write(
            f"RTSP/1.0 {status} X\r\nCSeq: {request.cseq}\r\nSession: s\r\n{transport}\r\n".encode()
        )


class Claimant(Handler):
    """A viewer with one claim: comes again, anywhere, until it has played or was told that it never will."""

    def __init__(self, fleet: Fleet, number: int, token: str = "", tries: int = 0) -> None:
        self.fleet, self.number, self.token, self.tries = fleet, number, token, tries
        self.parser, self.over, self.asked = Parser(), False, False
        port = fleet.random.choice(list(fleet.ports.values()))
        self.url = f"rtsp://127.0.0.1:{port}/claims/t{number % 40}?claim={number}"
        self.timer = fleet.loop.call_later(7.0, self.again)
        self.stream = Stream.connect(fleet.loop, ("127.0.0.1", port), self, 1.0)

    def on_connected(self) -> None:
        claim = [("X-Claim", self.token)] if self.token and not self.fleet.forget else []
        transport = ("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1")
        request = make_request("SETUP", f"{self.url}/trackID=0", 1, transport, *claim)
        self.stream.write(request.encode())

    def on_data(self, view: memoryview) -> None:
        for event in self.parser.feed(view):
            if isinstance(event, Response) and not self.over:
                self.on_response(event)

    def on_response(self, response: Response) -> None:
        if not self.asked:
            if response.status != 200:
                self.again()
                return
            self.asked = True
            self.token = response.headers.get("X-Claim")
            play = make_request("PLAY", self.url, 2, ("Session", response.session))
            self.stream.write(play.encode())
        else:
            self.fleet.answers[response.status] += 1
            self.again() if response.status in (453, 503) else self.end()

    def on_closed(self, reason: str) -> None:
        if not self.over:
            self.fleet.cut += self.asked
            self.again()

    def end(self) -> None:
        self.over = True
        self.timer.cancel()
        if self.stream.open:
            self.stream.close()
        self.fleet.left -= 1

    def again(self) -> None:
        if self.over:
            return
        self.end()
        if self.tries < 8:
            self.fleet.left += 1
            pause = self.fleet.random.uniform(0.02, 0.6)
            self.fleet.loop.call_later(pause, self.fleet.claim, self.number, self.token, self.tries + 1)


class Fleet:
    """Two fronts with stores that know one another, servers, and claimants; one front at a time is killed."""

    def __init__(self, folder: Path, seed: int, kills: int, forget: bool) -> None:
        self.forget = forget  # viewers do not send their token: what the measure must see
        self.folder, self.random, self.kills = folder, Random(seed), kills
        self.loop = Loop()
        self.ran: Counter[int] = Counter()
        self.answers: Counter[int] = Counter()
        self.set_ups = self.cut = self.left = self.made = self.killed = 0
        self.ports: dict[int, int] = {}
        self.processes: dict[int, subprocess.Popen[str]] = {}
        boxes = []
        for n in range(3):
            at = listen(self.loop, ("127.0.0.1", 0), lambda sock, _: Server(self, sock))
            address = f"127.0.0.1:{at.getsockname()[1]}"
            boxes.append(Box(id=n + 1, address=address, weight=1.0, cell=0, state=State.READY))
        body = encode_delimited(Update(version=2, full=True, boxes=boxes))
        self.kept: list[Any] = []
        self.list = listen(self.loop, ("127.0.0.1", 0), lambda sock, _: self.send_list(sock, body))
        self.members = [rig_port() for _ in range(2)]
        (folder / "keys").write_text("1 " + "cd" * 16 + "\n")
        for n in range(2):
            self.start(n)

    def send_list(self, sock: Any, body: bytes) -> None:
        stream = Stream(self.loop, sock, Handler())
        stream.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/x-protobuf\r\n\r\n" + body)
        self.kept.append(stream)

    def start(self, n: int) -> None:
        path = self.folder / f"f{n}.kdl"
        path.write_text(
            f'{TERMS}\nfront "f{n}" hall="hall-a" index={n} fronts=2 listen="127.0.0.1:0" {{\n'
            f'boxes "http://127.0.0.1:{self.list.getsockname()[1]}/b"\nstore "f{n}.store" size=(MB)64\n'
            f'members listen="127.0.0.1:{self.members[n]}" keys="keys" period=(ms)200 {{\n'
            f'seed "127.0.0.1:{self.members[1 - n]}"\n}}\n}}\n'
        )
        words = [sys.executable, "-m", "lemonhall", "--log-format", "json", "serve", str(path)]
        with open(self.folder / f"f{n}.log", "ab") as log:
            child = subprocess.Popen(words, stdout=subprocess.PIPE, stderr=log, text=True, cwd=ROOT)
        self.processes[n] = child
        out = child.stdout
        assert out

        def said(_: int) -> None:
            self.loop.watch_socket(out, 0, said)
            line = out.readline()
            if line:
                self.ports[n] = int(json.loads(line)["serving"].rpartition(":")[2])
                self.loop.call_later(self.random.uniform(0.2, 0.9), self.kill, n)

        self.loop.watch_socket(out, 1, said)

    def kill(self, n: int) -> None:
        if self.killed >= self.kills:
            return
        self.killed += 1
        del self.ports[n]
        os.kill(self.processes[n].pid, signal.SIGKILL)
        self.processes[n].wait()
        self.loop.call_later(self.random.uniform(0.0, 0.3), self.start, n)

    def claim(self, number: int, token: str = "", tries: int = 0) -> None:
        if not self.ports:
            self.loop.call_later(0.05, self.claim, number, token, tries)
            return
        Claimant(self, number, token, tries)

    def arrive(self) -> None:
        if self.killed < self.kills:
            self.made += 1
            self.left += 1
            self.claim(self.made)
            self.loop.call_later(self.random.expovariate(40.0), self.arrive)

    def play(self) -> dict[str, Any]:
        self.loop.run(until=lambda: len(self.ports) == 2)
        self.arrive()
        self.loop.run(until=lambda: self.killed >= self.kills and self.left <= 0)
        for child in self.processes.values():
            child.kill()
            child.wait()
        return {
            "kills": self.killed,
            "claims": self.made,
            "set_ups": self.set_ups,
            "cut_off": self.cut,
            "answers": dict(sorted(self.answers.items())),
            "twice": sum(n > 1 for n in self.ran.values()),
        }


def rig_port() -> int:
    import socket

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def one_fleet(out: Any, seed: int, kills: int, forget: bool) -> None:
    with tempfile.TemporaryDirectory() as name:
        out.put(Fleet(Path(name), seed, kills, forget).play())


def kills(count: int, fleets: int, forget: bool) -> dict[str, Any]:
    out = rig.Context.Queue()
    for seed in range(fleets):
        share = count // fleets + (seed < count % fleets)
        rig.Context.Process(target=one_fleet, args=(out, seed, share, forget), daemon=True).start()
    rows = [out.get(timeout=900) for _ in range(fleets)]
    total: Counter[str] = Counter()
    for row in rows:
        total.update({k: v for k, v in row.items() if k != "answers"})
        total.update({f"answered_{k}": v for k, v in row["answers"].items()})
    return dict(total)


# change of guard


class Steady(Handler):
    """A server that sends a packet of each session every `every_s`."""

    def __init__(self, loop: Loop, sock: Any, every_s: float) -> None:
        self.loop, self.every_s, self.parser, self.sequence = loop, every_s, Parser(), 0
        self.stream = Stream(loop, sock, self)

    def on_data(self, view: memoryview) -> None:
        for event in self.parser.feed(view):
            if isinstance(event, Request):
                transport = f"Transport: {event.headers.get('Transport')}\r\n" * (event.method == "SETUP")
                head = f"RTSP/1.0 200 OK\r\nCSeq: {event.cseq}\r\nSession: s\r\n{transport}\r\n"
                self.stream.write(head.encode())
                if event.method == "PLAY":
                    self.tick()

    def tick(self) -> None:
        if self.stream.open:
            header = rtp.RtpHeader(26, False, self.sequence & 0xFFFF, self.sequence * 9000, 7)
            self.sequence += 1
            self.stream.write(encode_frame(0, rtp.build_rtp(header) + b"m" * 400))
            self.loop.call_later(self.every_s, self.tick)


def steady(ports: Any, count: int, every_s: float) -> None:
    loop = Loop()
    boxes = []
    for n in range(count):
        at = listen(loop, ("127.0.0.1", 0), lambda sock, _: Steady(loop, sock, every_s))
        address = f"127.0.0.1:{at.getsockname()[1]}"
        boxes.append(Box(id=n + 1, address=address, weight=1.0, cell=n % 2, state=State.READY))
    body = encode_delimited(Update(version=2, full=True, boxes=boxes))
    kept = []

    def send_list(sock: Any) -> None:
        stream = Stream(loop, sock, Handler())
        stream.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/x-protobuf\r\n\r\n" + body)
        kept.append(stream)

    at = listen(loop, ("127.0.0.1", 0), lambda sock, _: send_list(sock))
    ports.put(at.getsockname()[1])
    loop.run()


class Watcher(Handler):
    """A viewer that notes when its packets come, and whether one is missing."""

    def __init__(self, loop: Loop, port: int, number: int) -> None:
        self.loop, self.parser, self.times = loop, Parser(), list[float]()
        self.sequence, self.missing, self.lost = -1, 0, False
        self.url = f"rtsp://127.0.0.1:{port}/browse/{number}"
        self.stream = Stream.connect(loop, ("127.0.0.1", port), self, 5.0)

    def on_connected(self) -> None:
        transport = ("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1")
        self.stream.write(make_request("SETUP", f"{self.url}/trackID=0", 1, transport).encode())

    def on_data(self, view: memoryview) -> None:
        for event in self.parser.feed(view):
            if isinstance(event, Response) and event.cseq == "1":
                self.stream.write(make_request("PLAY", self.url, 2, ("Session", event.session)).encode())
            elif isinstance(event, FrameRun) and not event.is_rtcp:
                self.times.append(self.loop.now())
                at = 0
                data = event.data
                while at < len(data):
                    size = data[at + 2] << 8 | data[at + 3]
                    sequence = data[at + 6] << 8 | data[at + 7]
                    self.missing += self.sequence >= 0 and sequence != (self.sequence + 1) & 0xFFFF
                    self.sequence = sequence
                    at += 4 + size

    def on_closed(self, reason: str) -> None:
        self.lost = True

    def gap(self, since: float, until: float) -> float:
        times = [t for t in self.times if since <= t <= until]
        return max((b - a for a, b in zip(times, times[1:], strict=False)), default=until - since)


def guard(folder: Path, sessions: int, every_s: float) -> dict[str, Any]:
    ports = rig.Context.Queue()
    process = rig.Context.Process(target=steady, args=(ports, 30, every_s), daemon=True)
    process.start()
    loop = Loop()
    watchers: list[Watcher] = []

    def spend(seconds: float) -> tuple[float, float]:
        began, over = loop.now(), list[bool]()
        loop.call_later(seconds, over.append, True)
        loop.run(until=lambda: bool(over))
        return began, loop.now()

    fields = 'guard="g.sock"'
    with bench.front(ports.get(timeout=30), folder, fields=fields) as (port, pid):
        for n in range(sessions):
            watchers.append(Watcher(loop, port, n))
            spend(0.004)
        loop.run(until=lambda: all(w.times or w.lost for w in watchers))
        quiet = spend(4.0)
        words = [sys.executable, "-m", "lemonhall", "serve", str(folder / "bench.kdl"), "--replace"]
        child = subprocess.Popen(
            words, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True, cwd=ROOT
        )
        gone = os.pidfd_open(pid)
        ended: list[bool] = []
        loop.watch_socket(gone, 1, lambda _: (ended.append(True), loop.watch_socket(gone, 0, lambda _: None)))
        began = loop.now()
        loop.run(until=lambda: bool(ended))
        took = (began, loop.now())
        after = spend(1.0)
        child.kill()
        child.wait()
    process.terminate()

    def figures(window: tuple[float, float]) -> dict[str, float]:
        gaps = sorted(1000 * (w.gap(*window) - every_s) for w in watchers)
        at = {"p50": len(gaps) // 2, "p99": int(len(gaps) * 0.99), "longest": -1}
        return {name: round(gaps[n], 1) for name, n in at.items()}

    return {
        "sessions": sessions,
        "lost": sum(w.lost for w in watchers if w.loop.now() >= after[1] and not w.times[-1] > took[1]),
        "missing_packets": sum(w.missing for w in watchers),
        "ms_over_the_packets_pace": figures((took[0], after[1])),
        "the_same_before": figures(quiet),
        "seconds_from_start_of_the_successor": round(took[1] - took[0], 2),
    }


# roll


def roll(seeds: int) -> dict[str, Any]:
    """The day examples/days/roll.kdl as it is, and with its fronts killed in place of relieved."""
    relieved = (ROOT / "examples/days/roll.kdl").read_text()
    killed = re.sub(r'"front-relieved" ("front-\d") at=(\S+)', r'"front-killed" \1 at=\2 for=(s)1', relieved)
    forgetful = killed.replace('day "roll"', 'day "roll" keep=#false')
    made: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as name:
        for what, text in (("relieved", relieved), ("killed_kept", killed), ("killed_lost", forgetful)):
            path = Path(name) / f"{what}.kdl"
            path.write_text(text)
            services, rules = [], 0
            for seed in range(1, seeds + 1):
                words = [sys.executable, "-m", "lemonhall", "day", str(path), "--json", "--seed", str(seed)]
                done = subprocess.run(words, capture_output=True, text=True, stdin=subprocess.DEVNULL)
                report = json.loads(done.stdout.strip().splitlines()[-1])
                services.append(report["service"])
                rules += report["rules_broken"]
            made[what] = {"sockets": round(statistics.mean(services), 4), "rules_broken": rules}
        for what in ("killed_kept", "killed_lost"):
            words = [sys.executable, "-m", "lemonhall", "model", "run", str(Path(name) / f"{what}.kdl")]
            words += ["--seeds", "32", "--json", "--baselines", ""]
            done = subprocess.run(words, capture_output=True, text=True, stdin=subprocess.DEVNULL)
            made[what]["model"] = json.loads(done.stdout.strip().splitlines()[-1])
    return made


def main() -> None:
    words = argparse.ArgumentParser()
    words.add_argument("--only", choices=["ledger", "kills", "guard", "roll"])
    words.add_argument("--cycles", type=int, default=1000)
    words.add_argument("--kills", type=int, default=500)
    words.add_argument("--fleets", type=int, default=6)
    words.add_argument("--forget", action="store_true", help="Viewers send no token: doubles must be seen.")
    words.add_argument("--sessions", type=int, default=500)
    words.add_argument("--seeds", type=int, default=3)
    chosen = words.parse_args()
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as name:
        parts = {
            "ledger": lambda: ledger(Path(name), chosen.cycles),
            "kills": lambda: kills(chosen.kills, chosen.fleets, chosen.forget),
            "guard": lambda: guard(Path(name), chosen.sessions, 0.1),
            "roll": lambda: roll(chosen.seeds),
        }
        for part, measure in parts.items():
            if chosen.only in (None, part):
                print(part, json.dumps(measure()), f"({time.monotonic() - began:.0f} s)", flush=True)


if __name__ == "__main__":
    main()
