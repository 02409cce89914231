from __future__ import annotations

import pytest

from lemonhall.interface import Repeat, Server, ServerState, SessionClass, Settings


def make_settings(**changes: object) -> Settings:
    values: dict[str, object] = {
        "classes": (
            SessionClass(3.0, Repeat.PAID, 1000.0, 5000.0, floor=1, top=4, seats=2),
            SessionClass(1.0, Repeat.SAFE, 1000.0, 4000.0, top=4),
        ),
        "ladder_kb": (289.0, 491.0, 836.0, 1422.0, 2420.0),
        "ladder_worth": (0.28, 0.49, 0.67, 0.84, 1.0),
        "places_by_kind": (27, 18),
        "link_kb_per_weight": 6772.0,
        "cells": 12,
        "fronts": 3,
        "racks": 3,
        "uplink_kb": 18548.0,
        "full_from": 1.2,
        "reports_every_ms": 2500.0,
        "report_fields": ("x0", "x1"),
        "switch_cost_s": 0.4,
        "max_pause_ms": 500.0,
        "max_attempts": 3,
        "cold_from": 0.4,
        "warm_up_ms": 12000.0,
        "overload_factor": 2.0,
        "tip_after_ms": 2000.0,
    }
    return Settings(**(values | changes))  # type: ignore[arg-type]


def make_servers(count: int = 6, **changes: object) -> tuple[Server, ...]:
    values: dict[str, object] = {"weight": 1.0, "zone": 0, "ready_at": 0.0, "state": ServerState.READY}
    return tuple(
        Server(id=100 + n, kind=n % 2, cell=n, **(values | changes))  # type: ignore[arg-type]
        for n in range(count)
    )


@pytest.fixture
def settings() -> Settings:
    return make_settings()
