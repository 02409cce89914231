"""A bench's day as a day of ours: what is kept, what is named, what is refused. The sample is our own."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from lemonhall.config.day import read_day
from lemonhall.day.frombench import FRONTS_MOST, KINDS, SERVERS_MOST, from_bench
from lemonhall.interface import Repeat
from lemonhall.model.played.world import play
from lemonhall.problem import BadInput

TROUBLES = [
    {"kind": kind, "at": 2_000_000 + 500_000 * n, "len": 2_000_000, "size": 0.5, "on": [1, 30], "which": 1}
    for n, kind in enumerate(sorted(KINDS))
]


def sample(**more: Any) -> dict[str, Any]:
    made: dict[str, Any] = {
        "site": "harbour",
        "kind": "trouble",
        "length": 12_000_000,
        "zones": [{}, {}],
        "balancers": [{} for _ in range(60)],
        "servers": [{"kind": n % 2} for n in range(40)],
        "tiers": [
            {
                "kinds": [{"name": "small", "cores": 2, "cold": 4e6, "cold_from": 0.3}, {"name": "big"}],
                "connect_timeout": 250_000,
            }
        ],
        "fam": {
            "core_kb": 900.0,
            "core_slots": 6.0,
            "rates": [100.0, 200.0, 400.0],
            "worth": [0.3, 0.7, 1.0],
            "uplink_kb": [50_000.0, 40_000.0, 60_000.0],
            "uses": [{"floor": 1, "seats": 3}, {}],
            "life_s": 30.0,
            "tell": 2_000_000,
            "see": 400_000,
        },
        "classes": [
            {"name": "claim", "worth": 3.0, "aim": 1e6, "deadline": 4e6, "effect": "unsafe", "share": 0.4},
            {"name": "clip", "worth": 1.0, "aim": 1e6, "deadline": 4e6, "effect": "safe", "share": 0.6},
        ],
        "tenants": [{"name": "ferry", "traffic": 0.7, "quota": 0.8}, {"name": "tram", "traffic": 0.3}],
        "traffic": {"load": 0.9},
        "allow": {"max_attempts": 3},
        "discovery": {"notice": 700_000, "silent_notice": 3_000_000},
        "troubles": TROUBLES,
    }
    return {**made, **more}


def written(tmp_path: Path, data: Any) -> Path:
    path = tmp_path / "bench.kdl"
    path.write_text(from_bench("day.json", data).text)
    return path


def test_sizes_terms_and_every_kind_of_trouble_are_carried(tmp_path: Path) -> None:
    day = read_day(written(tmp_path, sample()))
    assert len(day.boxes) == SERVERS_MOST and len(day.fronts) == FRONTS_MOST
    assert day.length_ms == 12_000 and day.list_lag_ms == 700
    claim, clip = day.terms.classes
    assert claim.repeat is Repeat.PAID and claim.floor == 1 and claim.seats == 3
    assert clip.repeat is Repeat.SAFE and claim.deadline_ms == 4000
    ladder = day.terms.ladder_kb
    assert ladder[1] / ladder[0] == pytest.approx(2.0, rel=1e-3) and ladder[0] < 100.0
    assert [f.kind for f in day.faults] == [KINDS[t["kind"]][0] for t in TROUBLES]
    assert day.faults[0].at_ms == 2000 and day.faults[0].for_ms == 2000
    assert day.terms.halls == ("hall-0", "hall-1") and day.terms.tenant_names == ("ferry", "tram")


def test_the_fleet_is_filled_as_it_is_there(tmp_path: Path) -> None:
    report = play(read_day(written(tmp_path, sample(troubles=[]))), 1).report
    assert report.sessions > 100 and report.rules_broken == 0


def test_a_kind_that_is_not_known_is_named() -> None:
    made = from_bench("day.json", sample(troubles=[{"kind": "moon", "at": 3_000_000, "len": 1}]))
    assert made.left == ["trouble moon at 3.0 s: no counterpart here"]
    assert "60 fronts and 40 servers there, 5 and 16 here" in made.sizes


@pytest.mark.parametrize(
    "data,what",
    [
        ([], "no JSON object"),
        ({}, "servers: missing"),
        (sample(servers=[]), "without servers"),
        (sample(length="long"), "length: cannot be 'long'"),
        (sample(fam={}), "fam.core_kb: missing"),
        (sample(classes=[{"name": "x"}]), "worth"),
    ],
)
def test_what_is_no_day_of_a_bench_is_refused_by_field(data: Any, what: str) -> None:
    with pytest.raises(BadInput, match=what):
        from_bench("day.json", data)


def test_it_is_played_through_fronts_with_the_rules_checked_and_in_the_model(tmp_path: Path) -> None:
    path, out = tmp_path / "day.json", tmp_path / "ours.kdl"
    some = [t for t in TROUBLES if t["kind"] in ("fast_errors", "tenant_burst", "peer_down")]
    soon = [{**t, "at": 1_000_000, "len": 1_500_000} for t in some]
    path.write_text(json.dumps(sample(length=5_000_000, troubles=soon)))
    command = [
        sys.executable,
        "-m",
        "lemonhall",
        "day",
        str(path),
        "--from-bench",
        "--out",
        str(out),
        "--json",
    ]
    done = subprocess.run(command, capture_output=True, text=True, timeout=200, stdin=subprocess.DEVNULL)
    assert done.returncode in (0, 1), done.stdout + done.stderr
    report = json.loads(done.stdout.strip().splitlines()[-1])
    assert done.returncode == 0 and report["rules_broken"] == 0 and report["played"] > 0, done.stdout
    assert (
        report["faults"] == {"errors": 2, "surge": 1, "front-killed": 1}
        or sum(report["faults"].values()) >= 3
    )
    assert "in the model, 3 seeds: service" in done.stdout and out.exists()
