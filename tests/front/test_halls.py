"""The machine of halls at a front, on sockets: orders from the command line, over a restart, its pages."""

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
    """Where its pages are, as its log says."""
    lines = [json.loads(x) for x in (site.folder / f"log-{nth}").read_text().splitlines() if x[:1] == "{"]
    return str(next(x["status"] for x in lines if x["event"] == "serving"))


def halls(site: ProcessHarness, *words: str) -> tuple[int, str, dict[str, Any]]:
    """The command, while the site goes on. Its exit code, what it said, its JSON."""
    child = subprocess.Popen(
        [sys.executable, "-m", "lemonhall", "halls", *words, "--json"],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        stdin=subprocess.DEVNULL,
        text=True,
    )
    site.run_until(lambda: child.poll() is not None)
    assert child.stdout
    said = child.stdout.read()
    child.stdout.close()
    last = (said.strip().splitlines() or [""])[-1]
    return child.returncode, said, json.loads(last) if last.startswith("{") else {}


def state(told: dict[str, Any], hall: str) -> dict[str, Any]:
    return next(h for h in told["halls"] if h["hall"] == hall)


@pytest.mark.parametrize("fields", ["", "workers=1"])
def test_a_hall_is_held_out_over_a_restart_and_let_in_again(make: Make, fields: str) -> None:
    site = make(fields=fields)
    front = site.start_front()
    at, status = site.serving_address(front), status_of(site, 0)
    assert site.start_session(at, "/browse/a")[1] == 200
    assert state(halls(site, "show", status)[2], "hall-a")["state"] == "up"
    told = halls(site, "hold", status, "hall-a")[2]
    assert state(told, "hall-a")["state"] == "dark" and state(told, "hall-a")["held_out"]
    assert site.start_session(at, "/browse/b")[1] in (453, 503)  # hall-b has no server: refused, at once
    assert len(site.open_clients()) == 1  # what played goes on
    front.send_signal(signal.SIGTERM)
    assert site.exit_status(front) == 0
    again = site.start_front()
    at = site.serving_address(again)
    status = status_of(site, 1)
    code, said, told = halls(site, "show", status)
    assert code == 1 and state(told, "hall-a")["held_out"] and "held out" in said
    assert site.start_session(at, "/browse/c")[1] in (453, 503)
    halls(site, "release", status, "hall-a")
    tries = 0
    while state(halls(site, "show", status)[2], "hall-a")["state"] != "up":
        tries += 1
        assert tries < 200
    assert site.start_session(at, "/browse/d")[1] == 200


def test_a_hall_that_is_not_there_and_a_front_without_halls_are_named(make: Make) -> None:
    site = make()
    front = site.start_front()
    site.serving_address(front)
    code, said, _ = halls(site, "hold", status_of(site, 0), "hall-x")
    assert code == 2 and "no hall 'hall-x'; there are hall-a hall-b" in said
    plain = make(terms=TERMS)
    other = plain.start_front()
    plain.serving_address(other)
    code, said, _ = halls(plain, "show", status_of(plain, 0))
    assert code == 2 and "no spill in the settings" in said
    code, said, _ = halls(plain, "show", "127.0.0.1:1")
    assert code == 2 and "no front answers there" in said


@pytest.mark.parametrize("fields", ["", "workers=1"])
def test_a_successor_holds_out_what_was_held_out(make: Make, fields: str) -> None:
    site = make(fields=fields)
    old = site.start_front()
    at = site.serving_address(old)
    assert site.start_session(at, "/browse/a")[1] == 200
    halls(site, "hold", status_of(site, 0), "hall-a")
    new = site.start_front("--replace")
    at = site.serving_address(new)
    told = halls(site, "show", status_of(site, 1))[2]
    assert state(told, "hall-a")["held_out"]
    assert site.start_session(at, "/browse/b")[1] in (453, 503)
    assert len(site.open_clients()) == 1
    site.assert_no_gap(site.open_clients())
