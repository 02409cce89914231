"""A stand-in of a media server keeps its port through its deaths."""

from __future__ import annotations

import json
import socket

import pytest

from lemonhall.config.day import read_day
from lemonhall.loop import Loop
from lemonhall.standins.box import run_rack
from lemonhall.standins.tap import Tap
from tests.day.test_days import DAYS


def test_nobody_else_is_given_the_port_of_a_dead_server(capsys: pytest.CaptureFixture[str]) -> None:
    """Days side by side got it: the successor could not listen, or fronts of another day played there."""
    day = read_day(DAYS / "quiet.kdl")
    loop = Loop()
    box = day.boxes[0]
    command = run_rack(loop, Tap(), day.terms, [box], 1e6, (1.0, 2.0), 4.0, 1)
    command({"do": "start", "box": box.name, "life": 1, "cold": False})
    host, _, port = json.loads(capsys.readouterr().out.splitlines()[-1])["at"].rpartition(":")
    at = (host, int(port))
    socket.create_connection(at).close()
    command({"do": "die", "box": box.name})
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(at)
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(at)
    command({"do": "start", "box": box.name, "life": 2, "cold": True})
    assert json.loads(capsys.readouterr().out.splitlines()[-1])["at"] == f"{host}:{port}"
    socket.create_connection(at).close()
    loop.close()
