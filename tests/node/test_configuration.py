"""The configuration file: the simulator's settings under the same names, and errors that name their place."""

from __future__ import annotations

import json
from typing import Any

import pytest

from lemonhall import wire
from lemonhall.interface import Repeat
from lemonhall.node import configuration
from lemonhall.problem import BadInput
from tests.node.world import make_configuration, make_settings


def valid_document() -> dict[str, Any]:
    document = make_configuration([], ("127.0.0.1", 5353), listen="127.0.0.1:2905")
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
    document["known"]["results"][0]["fleet"]["servers"] = [
        entry,
        {**entry, "id": "s-2"},
        {**entry, "id": "s-3"},
    ]
    later = [{**entry, "id": "s-2", "state": "draining"}, {**entry, "id": "s-3", "state": "removed"}]
    document["known"]["results"].append({"seq": 2, "fleet": {"version": 2, "full": False, "servers": later}})
    document["known"]["seq"] = 2
    return document


def test_all_fields_are_parsed() -> None:
    parsed = configuration.parse_configuration(json.dumps(valid_document()), "c.json")
    assert parsed.listen_address == ("127.0.0.1", 2905) and parsed.resolver_address == ("127.0.0.1", 5353)
    assert (
        parsed.list_number,
        parsed.max_descriptors,
        parsed.set_ups_per_connection,
        parsed.idle_timeout_s,
    ) == (2, 256, 4, 15.0)
    assert {server_id: server.draining for server_id, server in parsed.servers.items()} == {
        "s-1": False,
        "s-2": True,
    }
    assert parsed.names.classes == ("premium", "plain") and parsed.settings.classes[0].repeat is Repeat.PAID


def test_settings_equal_those_read_from_the_wire() -> None:
    text = "\n".join(
        f"{key}={value}" for key, value in configuration.flatten_settings(make_settings()).items()
    )
    assert (
        "classes.1.name=plain" in text and "specifics.classFloor=1,0" in text and "caps.probing=false" in text
    )
    assert (
        wire.read_settings(text)
        == configuration.parse_configuration(json.dumps(valid_document()), "c").settings
    )


@pytest.mark.parametrize(
    ("break_document", "field"),
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
def test_errors_name_file_and_field(break_document, field: str) -> None:  # type: ignore[no-untyped-def]
    document = valid_document()
    break_document(document)
    with pytest.raises(BadInput) as error:
        configuration.parse_configuration(json.dumps(document), "c.json")
    assert "c.json" in str(error.value) and field in str(error.value)


@pytest.mark.parametrize("text", ["", "{", "[]", "7", "[" * 5000])
def test_a_file_without_a_json_object_is_rejected(text: str) -> None:
    with pytest.raises(BadInput):
        configuration.parse_configuration(text, "c.json")
