"""The configuration file: the simulator's settings under the same names, and what is wrong with its place."""

from __future__ import annotations

import json
from typing import Any

import pytest

from lemonhall import wire
from lemonhall.interface import Repeat
from lemonhall.node import configuration
from lemonhall.problem import BadInput
from tests.node.world import config, settings


def good() -> dict[str, Any]:
    made = config([], ("127.0.0.1", 5353), listen="127.0.0.1:2905")
    entry = {
        "id": "s-1",
        "addr": "127.0.0.1:99",
        "zone": "east",
        "kind": "std",
        "cell": 2,
        "state": "up",
        "weight": 4,
        "started_ms": 0,
    }
    made["known"]["results"][0]["fleet"]["servers"] = [entry, {**entry, "id": "s-2"}, {**entry, "id": "s-3"}]
    later = [{**entry, "id": "s-2", "state": "draining"}, {**entry, "id": "s-3", "state": "removed"}]
    made["known"]["results"].append({"seq": 2, "fleet": {"version": 2, "full": False, "servers": later}})
    made["known"]["seq"] = 2
    return made


def test_all_of_it_is_read() -> None:
    read = configuration.read(json.dumps(good()), "c.json")
    assert read.listen == ("127.0.0.1", 2905) and read.dns == ("127.0.0.1", 5353)
    assert (read.seq, read.sockets, read.streams, read.idle_s) == (2, 256, 4, 15.0)
    assert {name: s.draining for name, s in read.servers.items()} == {"s-1": False, "s-2": True}
    assert read.names.classes == ("premium", "plain") and read.settings.classes[0].repeat is Repeat.PAID


def test_settings_are_those_that_the_wire_reads() -> None:
    text = "\n".join(f"{k}={v}" for k, v in configuration.flat(settings()).items())
    assert (
        "classes.1.name=plain" in text and "specifics.classFloor=1,0" in text and "caps.probing=false" in text
    )
    assert wire.read_settings(text) == configuration.read(json.dumps(good()), "c").settings


@pytest.mark.parametrize(
    ("bend", "names"),
    [
        (lambda c: c.pop("dns"), "dns"),
        (lambda c: c.update(dns="nowhere"), "dns"),
        (lambda c: c.update(listen=7), "listen"),
        (lambda c: c.pop("known"), "known"),
        (lambda c: c.update(seed="xyz"), "seed"),
        (lambda c: c.update(limits={"sockets": "many"}), "limits.sockets"),
        (lambda c: c.pop("settings"), "settings"),
        (lambda c: c["settings"].pop("classes"), "classes"),
        (lambda c: c["settings"]["specifics"].pop("ratesKb"), "ratesKb"),
        (lambda c: c["known"]["results"][0]["fleet"]["servers"][0].pop("addr"), "addr"),
    ],
)
def test_what_is_wrong_is_named_with_file_and_field(bend, names: str) -> None:  # type: ignore[no-untyped-def]
    told = good()
    bend(told)
    with pytest.raises(BadInput) as bad:
        configuration.read(json.dumps(told), "c.json")
    assert "c.json" in str(bad.value) and names in str(bad.value)


@pytest.mark.parametrize("text", ["", "{", "[]", "7", "[" * 5000])
def test_a_file_that_is_no_object_is_bad_input(text: str) -> None:
    with pytest.raises(BadInput):
        configuration.read(text, "c.json")
