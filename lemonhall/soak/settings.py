"""The configuration file of a node in a trial."""

from __future__ import annotations

from typing import Any

from lemonhall.soak.schedule import Site

PAID, PLAIN = "claim-view", "browse-clip"
CLASSES = (PAID, PLAIN)
MAX_ATTEMPTS = 3
NOTE_INTERVAL_S = 1.0
PLACES = 500  # sessions on a media server: more than a trial has
MEMORY_MB, DESCRIPTORS = 192, 1024


def make_settings(site: Site, nodes: int, index: int) -> dict[str, Any]:
    """Settings under the simulator's names."""
    semantics = ("at_most_once", "idempotent")
    return {
        "areas": ["hall-a"],
        "machineTypes": ["box-3c"],
        "caps": {
            "connIdle": site.idle_s * 1000,
            "connectTimeout": 250.0,
            "maxAttempts": MAX_ATTEMPTS,
            "maxRetryAfter": 500.0,
            "maxStreams": site.set_ups_per_connection,
            "mayCancel": True,
            "retryAfter": True,
            "peerMessages": False,
            "probing": False,
        },
        "classes": [
            {
                "name": name,
                "semantics": how,
                "worth": worth,
                "promise": deadline_s * 500,
                "hardLimit": deadline_s * 1000,
                "group": "all",
                "keyTtl": 5000.0,
            }
            for name, how, worth, deadline_s in zip(
                CLASSES, semantics, (3.0, 1.0), site.deadlines_s, strict=True
            )
        ],
        "customers": [],
        "replicasOfMe": nodes,
        "selfIndex": index,
        "myZone": 0,
        "report": {"how": "answers", "fields": ["x0", "x1"]},
        "rules": {"coldFrom": 1.0, "warmWithin": 0.0, "drainGrace": site.drain_grace_s * 1000},
        "specifics": {
            "classFloor": [0, 0],
            "classSeats": [0, 0],
            "classTop": [2, 2],
            "scaleByClass": [1.0, 1.0],
            "ratesKb": [10.0, 20.0, 40.0],
            "levelWorth": [0.3, 0.7, 1.0],
            "placesByKind": [PLACES],
            "positions": 1,
            "kbPerWeight": 90000.0,
            "racks": 0,
            "reportsEvery": NOTE_INTERVAL_S * 1000,
            "toldLate": 200.0,
        },
    }


def make_configuration(
    site: Site,
    nodes: int,
    index: int,
    seed: int,
    listen: tuple[str, int],
    discovery: tuple[str, int],
    list_number: int,
    entries: list[dict[str, Any]],
) -> dict[str, Any]:
    """What `PROXY_CONFIG` holds; `entries` is the list of media servers at the start of the process."""
    fleet = {"version": 1, "full": True, "servers": entries}
    return {
        "name": f"n{index}",
        "listen": f"{listen[0]}:{listen[1]}",
        "seed": f"{seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
        "peers": [],
        "dns": f"{discovery[0]}:{discovery[1]}",
        "known": {"seq": list_number, "results": [{"seq": list_number, "fleet": fleet}]},
        "settings": make_settings(site, nodes, index),
    }
