"""Measures members in simulated time: how long until a silent front is seen, false alarms, bytes, by size.

`benchmarks/members.py [--sizes 10,80,200]`. The network is that of the tests (late 0.2 to 2 ms), periods are
of one second.
"""

from __future__ import annotations

import argparse
import json
import socket
import statistics
import subprocess
import sys
import tempfile
import time
import urllib.request
from math import e
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[1]
sys.path.insert(0, str(ROOT))

from benchmarks.front import TERMS  # noqa: E402
from lemonhall.members.machine import Member, MemberState  # noqa: E402
from tests.members.network import Network  # noqa: E402


def acquaint(net: Network) -> None:
    """Gives every front the whole view at once: at a thousand, finding one another takes minutes here."""
    for node in net.nodes.values():
        node.machine.members = {
            n: Member(n, other.machine.address, 1, other.machine.boot, MemberState.ALIVE, net.now)
            for n, other in net.nodes.items()
            if other is not node
        }


def measure(size: int, kills: int, loss: float, minutes: float, known: bool) -> dict[str, Any]:
    """Kills some fronts one after another; then a while without kills, for false alarms and bytes."""
    began = time.monotonic()
    net = Network(size)
    net.record_view = lambda node: None  # type: ignore[method-assign]  # views are looked at here, not kept
    for number in range(size):
        net.add(number, (0, 1, 2))
    if known:
        acquaint(net)
        net.run(2000.0)
    else:
        net.run_until_agreed(600_000)
    net.loss = loss
    first, everybody = [], []
    for victim in range(size - 1, size - 1 - kills, -1):
        at = net.now
        net.kill(victim)
        seen: dict[int, float] = {}
        while len(seen) < len(net.up()) and net.now - at < 180_000:
            net.run(200.0)
            for n in net.up():
                known = net.nodes[n].machine.members.get(victim)
                if n not in seen and (known is None or known.state is MemberState.DEAD):
                    seen[n] = net.now - at
        first.append(min(seen.values()) / 1000)
        everybody.append(max(seen.values()) / 1000)
    suspected = sum(node.machine.counts.get("suspected", 0) for node in net.nodes.values())
    declared = sum(node.machine.counts.get("declared_dead", 0) for node in net.nodes.values())
    sent, at = net.sent_bytes, net.now
    net.run(minutes * 60_000)
    hours = len(net.up()) * (net.now - at) / 3_600_000
    later = sum(node.machine.counts.get("declared_dead", 0) for node in net.nodes.values())
    doubts = sum(node.machine.counts.get("suspected", 0) for node in net.nodes.values())
    return {
        "fronts": size,
        "loss": loss,
        "first_s": round(statistics.median(first), 1),
        "all_s": round(statistics.median(everybody), 1),
        "swim_first_s": round(e / (e - 1), 2),  # its expectation of the first failed ping, before suspicion
        "false_deaths_a_front_hour": round((later - declared) / hours, 3),
        "false_suspicions_a_front_hour": round((doubts - suspected) / hours, 3),
        "bytes_s_front": round((net.sent_bytes - sent) / (net.now - at) * 1000 / len(net.up())),
        "largest": net.largest_bytes,
        "took_s": round(time.monotonic() - began, 1),
    }


def processes(count: int, kills: int, folder: Path) -> dict[str, Any]:
    """Real fronts on loopback, periods of 500 ms: until the first and until all see a killed one as dead."""
    ports = [[free_port(), free_port()] for _ in range(count)]
    (folder / "keys").write_text("1 " + "ef" * 16 + chr(10))
    running: dict[int, subprocess.Popen[bytes]] = {}
    for n, (status, members) in enumerate(ports):
        seeds = " ".join(f'seed "127.0.0.1:{ports[m][1]}";' for m in range(3) if m != n)
        path = folder / f"f{n}.kdl"
        path.write_text(
            f'{TERMS} front "f{n}" hall="hall-a" index={n} fronts={count} listen="127.0.0.1:0" '
            f'status="127.0.0.1:{status}" {{ members listen="127.0.0.1:{members}" keys="keys" '
            f"period=(ms)500 {{ {seeds} }} }}" + chr(10)
        )
        words = [sys.executable, "-m", "lemonhall", "serve", str(path)]
        running[n] = subprocess.Popen(words, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)

    def view(n: int) -> dict[str, Any]:
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{ports[n][0]}/members", timeout=2) as answer:
                shown: dict[str, Any] = json.load(answer)
                return shown
        except OSError:
            return {"members": [], "counts": {}}

    while any(len(view(n)["members"]) < count for n in running):
        time.sleep(0.2)
    first, everybody = [], []
    for victim in range(count - 1, count - 1 - kills, -1):
        running[victim].kill()
        running.pop(victim).wait()
        at, seen = time.monotonic(), dict[int, float]()
        while len(seen) < len(running):
            for n in running.keys() - seen.keys():
                if victim not in view(n)["members"]:
                    seen[n] = time.monotonic() - at
            time.sleep(0.05)
        first.append(min(seen.values()))
        everybody.append(max(seen.values()))
    suspected = sum(view(n)["counts"].get("suspected", 0) for n in running)
    dead = sum(view(n)["counts"].get("declared_dead", 0) for n in running)
    for child in running.values():
        child.kill()
        child.wait()
    return {
        "processes": count,
        "kills": kills,
        "first_s": round(statistics.median(first), 2),
        "all_s": round(statistics.median(everybody), 2),
        "longest_s": round(max(everybody), 2),
        "suspected": suspected,
        "declared_dead": dead,
    }


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--sizes", default="10,80,200")
    words.add_argument("--processes", type=int, default=0, help="Real fronts in place of simulated ones.")
    words.add_argument("--known", action="store_true", help="Fronts know one another at the start.")
    words.add_argument("--losses", default="0,0.1")
    words.add_argument("--kills", type=int, default=5)
    words.add_argument("--minutes", type=float, default=5.0)
    chosen = words.parse_args()
    if chosen.processes:
        with tempfile.TemporaryDirectory() as name:
            print(json.dumps(processes(chosen.processes, chosen.kills, Path(name))), flush=True)
        return
    for size in map(int, chosen.sizes.split(",")):
        for loss in map(float, chosen.losses.split(",")):
            made = measure(size, chosen.kills, loss, chosen.minutes, chosen.known)
            print(json.dumps(made), flush=True)


if __name__ == "__main__":
    main()
