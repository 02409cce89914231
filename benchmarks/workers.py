"""A front of several workers, measured: `python -m benchmarks.workers`. Ratios, in one run each."""

from __future__ import annotations

import argparse
import json
import os
import pickle
import signal
import socket
import statistics
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

from benchmarks import front, rig
from lemonhall import decide
from lemonhall.day.children import kin_of

COUNTS = (0, 1, 2, 4, 6)
SERVERS, VIEWERS = 3, 4  # processes
AT_ONCE = 32  # set-ups under way, of each process of viewers


@contextmanager
def many_boxes(
    processes: int, each: int, fps: float = 0.0, flood: bool = False
) -> Iterator[tuple[int, list[int]]]:
    """Servers in several processes under one list: its port, and theirs."""
    with ExitStack() as stack:
        found: list[int] = []
        for _ in range(processes):
            found += stack.enter_context(front.boxes(each, fps, flood))[1]
        ports = rig.Context.Queue()
        process = rig.Context.Process(target=rig.serve_list, args=(ports, found), daemon=True)
        process.start()
        yield ports.get(timeout=30)
        process.terminate()


def family_cpu(pid: int) -> float:
    """Processor seconds of a front's processes."""
    return rig.cpu_s(pid) + sum(rig.cpu_s(child) for child in kin_of(pid, ""))


def saturate(port: int, pid: int, cycles: int) -> dict[str, Any]:
    """Set-ups as fast as they go, from several processes of viewers."""
    with ExitStack() as stack:
        paths = ["/browse/a", "/claims/b", "/browse/c", "/claims/d"]
        words = (0, cycles, AT_ONCE, 0.0)
        channels = [stack.enter_context(front.viewers([port], paths[n % 4], *words)) for n in range(VIEWERS)]
        for each in channels:
            each.get()
        deciding = (kin_of(pid, "--decide") or [pid])[0]
        kin = [c for c in kin_of(os.getpid(), "spawn") if c != pid]
        others = {f"{c}": rig.cpu_s(c) for c in kin}
        carriers = {f"worker {c}": rig.cpu_s(c) for c in kin_of(pid, "worker_process")}
        before, decided, began = family_cpu(pid), rig.cpu_s(deciding), time.monotonic()
        for each in channels:
            each.orders.put("cycles")
        results = [json.loads(each.get()) for each in channels]
        wall = time.monotonic() - began
        total = VIEWERS * cycles
        busy = {n: (rig.cpu_s(int(n.split()[-1])) - b) / wall for n, b in {**others, **carriers}.items()}
        return {
            "per_s": total / wall,
            "cpu_us": (family_cpu(pid) - before) / total * 1e6,
            "decider_us": (rig.cpu_s(deciding) - decided) / total * 1e6,
            "refused": sum(r["refused"] for r in results),
            "busy": {name: round(used, 2) for name, used in busy.items()},
            "p50_us": statistics.median(r["us"]["50"] for r in results),
            "p99_us": max(r["us"]["99"] for r in results),
        }


def set_ups(folder: Path, cycles: int, counts: tuple[int, ...] = COUNTS) -> list[dict[str, Any]]:
    """Set-ups a second at each N over the module alone on the events of that very run."""
    rows = []
    for n in counts:
        told, module = folder / f"told-{n}.pickle", folder / f"recording-{n}.py"
        module.write_text(front.RECORDING.replace("{path}", str(told)))
        with (
            many_boxes(SERVERS, 20) as (list_port, _),
            front.front(list_port, folder, str(module), fields=f"workers={n}") as (port, pid),
        ):
            row = saturate(port, pid, cycles)
        settings, seed, events = pickle.loads(told.read_bytes())
        alone = decide.Front(settings, seed)
        began = time.process_time()
        for now, batch in events:
            alone.handle(now, batch)
        module_s = (time.process_time() - began) / (VIEWERS * cycles)
        rows.append({"workers": n, "ratio": row["per_s"] * module_s, "module_us": module_s * 1e6, **row})
        print("set_ups", json.dumps(rows[-1]), flush=True)
    return rows


def relay(folder: Path, seconds: float, counts: tuple[int, ...] = (1, 2, 4)) -> list[dict[str, Any]]:
    """Bytes through N workers, one flood each, over as many bare pumps; in turn, the median of three."""
    rows = []
    for n in counts:
        ratios = []
        with (
            many_boxes(2, 2, flood=True) as (list_port, ports),
            front.front(list_port, folder, fields=f"workers={n}") as (port, _),
            ExitStack() as stack,
        ):
            pumps = []
            for k in range(n):
                out = rig.Context.Queue()
                process = rig.Context.Process(target=rig.pump, args=(out, ports[k % len(ports)]), daemon=True)
                process.start()
                stack.callback(process.terminate)
                pumps.append(out.get(timeout=30))
            for _ in range(3):
                through = together([port] * n, seconds)
                ratios.append(through / together(pumps, seconds))
        rows.append({"workers": n, "ratio": statistics.median(ratios), "ratios": ratios})
        print("relay", json.dumps(rows[-1]), flush=True)
    return rows


def together(ports: list[int], seconds: float) -> float:
    """Bytes a second of one reader for each port, at once, each in a process of its own."""
    out = rig.Context.Queue()
    readers = [rig.Context.Process(target=read, args=(out, p, seconds), daemon=True) for p in ports]
    for each in readers:
        each.start()
    total = sum(out.get(timeout=60) for _ in readers)
    for each in readers:
        each.join()
    return float(total)


def read(out: Any, port: int, seconds: float) -> None:
    out.put(front.flood_rate(port, seconds))


def added(folder: Path, cycles: int) -> dict[str, Any]:
    """Delay of a set-up at little load, with one worker and with none, in turn: what the seam adds."""
    found: dict[int, list[dict[str, float]]] = {0: [], 1: []}
    for _ in range(3):
        for n in found:
            with (
                many_boxes(1, 20) as (list_port, _),
                front.front(list_port, folder, fields=f"workers={n}") as (port, _),
                front.viewers([port], "/browse/s", 0, cycles, 1, 0.002) as channel,
            ):
                channel.get()
                channel.orders.put("cycles")
                found[n].append(json.loads(channel.get())["us"])
    middle = {
        n: {q: statistics.median(r[q] for r in rows) for q in ("50", "99")} for n, rows in found.items()
    }
    over = {q: middle[1][q] - middle[0][q] for q in ("50", "99")}
    row = {"without_us": middle[0], "with_us": middle[1], "added_us": over}
    print("seam", json.dumps(row), flush=True)
    return row


def deaths(folder: Path, playing: int, kills: int, workers: int = 4) -> dict[str, Any]:
    """Sessions that play while the decider is killed again and again, and before, in the same run."""
    with (
        many_boxes(SERVERS, 20, fps=10.0) as (list_port, _),
        front.front(list_port, folder, fields=f"workers={workers}") as (port, pid),
        ExitStack() as stack,
    ):
        channels = [stack.enter_context(watchers(port, playing // VIEWERS)) for _ in range(VIEWERS)]
        for each in channels:
            each.get(120)
        time.sleep(2.0)
        for each in channels:
            each.orders.put("mark")  # from here on the gaps of an undisturbed time
        calm_s = 1.5 * kills
        time.sleep(calm_s)
        for each in channels:
            each.orders.put("mark")
        back = []
        for _ in range(kills):
            stood_by(folder, pid)
            os.kill(kin_of(pid, "--decide")[0], signal.SIGKILL)
            back.append(first_set_up(port))
        for each in channels:
            each.orders.put("end")
        told = [json.loads(each.get(60)) for each in channels]
    calm, killed = (max(t["gaps"][n] for t in told) for n in (0, 1))
    row = {
        "playing": sum(t["playing"] for t in told),
        "kills": kills,
        "lost": sum(t["lost"] for t in told),
        "packets_missing": sum(t["missing"] for t in told),
        "packets": sum(t["packets"] for t in told),
        "longest_gap_ratio": killed / calm,
        "longest_gap_ms": {"undisturbed": calm * 1000, "killed": killed * 1000},
        "set_ups_again_ms": {"p50": statistics.median(back) * 1000, "max": max(back) * 1000},
    }
    print("deaths", json.dumps(row), flush=True)
    return row


def stood_by(folder: Path, pid: int) -> None:
    """Waits until another decider is ready."""
    until = time.monotonic() + 20
    while time.monotonic() < until:
        lines = (folder / "front.log").read_text()
        if lines.count('"standby decider ready"') > lines.count('"decider active"'):
            return
        time.sleep(0.02)
    raise TimeoutError("no decider stands by")


def first_set_up(port: int) -> float:
    """Seconds until a viewer that asks now is answered."""
    began = time.monotonic()
    with socket.create_connection(("127.0.0.1", port), timeout=20) as sock:
        base = f"rtsp://127.0.0.1:{port}/browse/after"
        transport = "Transport: RTP/AVP/TCP;unicast;interleaved=0-1\r\n"
        sock.sendall(f"SETUP {base}/trackID=0 RTSP/1.0\r\nCSeq: 1\r\n{transport}\r\n".encode())
        head = sock.recv(4096).decode()
        session = next(h.split(":")[1].split(";")[0].strip() for h in head.split("\r\n") if "Session" in h)
        sock.sendall(f"PLAY {base} RTSP/1.0\r\nCSeq: 2\r\nSession: {session}\r\n\r\n".encode())
        answer = sock.recv(4096)
    if b" 200 " not in answer[:20]:
        raise RuntimeError(f"not played: {answer[:40]!r}")
    return time.monotonic() - began


@contextmanager
def watchers(port: int, count: int) -> Iterator[rig.Channel]:
    channel = rig.Channel()
    process = rig.Context.Process(target=rig.watch, args=(channel, port, count), daemon=True)
    process.start()
    yield channel
    process.terminate()


def measure(folder: Path, cycles: int, seconds: float) -> None:
    parts = (
        lambda at: deaths(at, 1000, 10),
        lambda at: added(at, cycles // 4),
        lambda at: relay(at, seconds),
        lambda at: set_ups(at, cycles // VIEWERS),
    )
    for n, part in enumerate(parts):
        (folder / str(n)).mkdir()
        part(folder / str(n))


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--seconds", type=float, default=3.0)
    words.add_argument("--cycles", type=int, default=2000)
    chosen = words.parse_args()
    with tempfile.TemporaryDirectory() as name:
        measure(Path(name), chosen.cycles, chosen.seconds)


if __name__ == "__main__":
    main()
