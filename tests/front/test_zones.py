"""Zones at a running front: operators' orders, restarts, handovers and the status page."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.front.harness import TERMS
from tests.front.process_harness import ProcessHarness

SPILL = 'spill "hall-a" to="hall-b" share=(%)25\nspilling notice=(ms)300 trial=(ms)300 ramp=(s)1\n'
HALLS = TERMS.replace('halls "hall-a"', 'halls "hall-a" "hall-b"') + SPILL
Make = Callable[..., ProcessHarness]


@pytest.fixture
def make(tmp_path: Path) -> Iterator[Make]:
    made: list[ProcessHarness] = []

    def build(terms: str = HALLS, fields: str = "") -> ProcessHarness:
        folder = tmp_path / str(len(made))
        folder.mkdir()
        made.append(ProcessHarness(folder, terms, f'status="127.0.0.1:0" {fields}'))
        return made[-1]

    yield build
    for each in made:
        each.close()


def status_of(site: ProcessHarness, nth: int) -> str:
    """The status address of the `nth` front process, from its log."""
    lines = [json.loads(x) for x in (site.folder / f"log-{nth}").read_text().splitlines() if x[:1] == "{"]
    return str(next(x["status"] for x in lines if x["event"] == "serving"))


def run_halls(site: ProcessHarness, *arguments: str) -> tuple[int, str, dict[str, Any]]:
    """Runs `lemonhall halls` while the site runs. Returns its exit code, its output and the output's JSON."""
    child = subprocess.Popen(
        [sys.executable, "-m", "lemonhall", "halls", *arguments, "--json"],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        stdin=subprocess.DEVNULL,
        text=True,
    )
    site.run_until(lambda: child.poll() is not None)
    assert child.stdout
    output = child.stdout.read()
    child.stdout.close()
    last = (output.strip().splitlines() or [""])[-1]
    return child.returncode, output, json.loads(last) if last.startswith("{") else {}


def state(report: dict[str, Any], hall: str) -> dict[str, Any]:
    return next(h for h in report["halls"] if h["hall"] == hall)


@pytest.mark.parametrize("fields", ["", "workers=1"])
def test_zone_is_held_out_across_a_restart_and_released(make: Make, fields: str) -> None:
    site = make(fields=fields)
    front = site.start_front()
    address, status = site.serving_address(front), status_of(site, 0)
    assert site.start_session(address, "/browse/a")[1] == 200
    assert state(run_halls(site, "show", status)[2], "hall-a")["state"] == "up"
    report = run_halls(site, "hold", status, "hall-a")[2]
    assert state(report, "hall-a")["state"] == "dark" and state(report, "hall-a")["held_out"]
    assert site.start_session(address, "/browse/b")[1] in (
        453,
        503,
    )  # hall-b has no server, so the session is refused
    assert len(site.open_clients()) == 1  # the playing session continues
    front.send_signal(signal.SIGTERM)
    assert site.exit_status(front) == 0
    again = site.start_front()
    address = site.serving_address(again)
    status = status_of(site, 1)
    code, output, report = run_halls(site, "show", status)
    assert code == 1 and state(report, "hall-a")["held_out"] and "held out" in output
    assert site.start_session(address, "/browse/c")[1] in (453, 503)
    run_halls(site, "release", status, "hall-a")
    polls = 0
    while state(run_halls(site, "show", status)[2], "hall-a")["state"] != "up":
        polls += 1
        assert polls < 200
    assert site.start_session(address, "/browse/d")[1] == 200


def test_unknown_zone_and_front_without_zones_are_reported(make: Make) -> None:
    site = make()
    front = site.start_front()
    site.serving_address(front)
    code, output, _ = run_halls(site, "hold", status_of(site, 0), "hall-x")
    assert code == 2 and "no hall 'hall-x'; there are hall-a hall-b" in output
    plain = make(terms=TERMS)
    other = plain.start_front()
    plain.serving_address(other)
    code, output, _ = run_halls(plain, "show", status_of(plain, 0))
    assert code == 2 and "no spill in the settings" in output
    code, output, _ = run_halls(plain, "show", "127.0.0.1:1")
    assert code == 2 and "no front answers there" in output


@pytest.mark.parametrize("fields", ["", "workers=1"])
def test_handover_keeps_zones_held_out(make: Make, fields: str) -> None:
    site = make(fields=fields)
    old = site.start_front()
    address = site.serving_address(old)
    assert site.start_session(address, "/browse/a")[1] == 200
    run_halls(site, "hold", status_of(site, 0), "hall-a")
    new = site.start_front("--replace")
    address = site.serving_address(new)
    report = run_halls(site, "show", status_of(site, 1))[2]
    assert state(report, "hall-a")["held_out"]
    assert site.start_session(address, "/browse/b")[1] in (453, 503)
    assert len(site.open_clients()) == 1
    site.assert_no_gap(site.open_clients())
