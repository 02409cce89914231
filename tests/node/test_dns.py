"""The server list in DNS responses written by dnspython: accepted as a whole or rejected."""

from __future__ import annotations

from contextlib import suppress

import dns.message
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lemonhall.node import dns as node_dns
from lemonhall.node.dns import DnsError, ListedServer
from tests.node.world import build_response

NAME = "_app._tcp.cluster.lan"


class Entry:
    def __init__(self, number: int) -> None:
        self.name, self.port, self.cell = f"s-{number:08x}", 2905 + number, number
        self.draining, self.started_ms = number % 2 == 1, 1000 * number


def make_response(count: int = 5, list_number: int = 41) -> bytes:
    return build_response(
        node_dns.encode_query(7, NAME),
        list_number,
        [Entry(number) for number in range(count)],  # type: ignore[list-item]
    )


def test_dnspython_parses_the_query() -> None:
    question = dns.message.from_wire(node_dns.encode_query(7, NAME)).question[0]
    assert str(question) == f"{NAME}. IN SRV"


def test_records_of_a_server_are_joined() -> None:
    list_number, servers = node_dns.parse_response(make_response(), 7, NAME)
    assert list_number == 41 and len(servers) == 5
    found = {s.id: s for s in servers}["s-00000003"]
    assert found == ListedServer("s-00000003", "127.0.0.1", 2908, "east", "std", 3, True, 1.0, 3000.0)


def test_an_empty_list_is_valid() -> None:
    assert node_dns.parse_response(make_response(0), 7, NAME) == (41, ())


def with_flags(data: bytes, value: int) -> bytes:
    return data[:2] + value.to_bytes(2, "big") + data[4:]


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda d: b"\0\1" + d[2:],  # another id
        lambda d: with_flags(d, 0x8600),  # truncated
        lambda d: with_flags(d, 0x8403),  # response code NXDOMAIN
        lambda d: with_flags(d, 0x0400),  # a query, not a response
        lambda d: d[:-1],
        lambda d: d[:40],
        lambda d: d + b"\0",
        lambda d: d[:12] + d[12:].replace(b"cluster", b"clustes", 1),  # another name in the question
        lambda d: d[:6] + b"\xff\xff" + d[8:],  # record count
        lambda d: d[:12] + b"\xc0\x0c" + d[14:],  # a name pointer to itself
        lambda d: d.replace(b"cell=", b"sell="),
        lambda d: d.replace(b"started=0", b"started=x"),
        lambda d: b"",
        lambda d: d + bytes(9000),
    ],
)
def test_a_corrupt_response_is_rejected_as_a_whole(corrupt) -> None:  # type: ignore[no-untyped-def]
    data = corrupt(make_response())
    assert data != make_response()
    with pytest.raises(DnsError):
        node_dns.parse_response(data, 7, NAME)


@given(st.integers(0, 300), st.binary(min_size=1, max_size=6), st.integers(0, 300))
def test_arbitrary_bytes_raise_only_dns_errors_and_terminate(offset: int, noise: bytes, cut: int) -> None:
    data = make_response(3)
    data = data[:offset] + noise + data[offset + len(noise) :]
    for corrupted in (data, data[: len(data) - cut]):
        with suppress(DnsError):
            node_dns.parse_response(corrupted, 7, NAME)


def test_changes_between_two_lists() -> None:
    _, old = node_dns.parse_response(make_response(4), 7, NAME)
    _, new = node_dns.parse_response(make_response(3), 7, NAME)
    changed, removed = node_dns.list_changes({server.id: server for server in old}, new)
    assert changed == () and [server.cell for server in removed] == [3]
    changed, removed = node_dns.list_changes({}, new)
    assert changed == new and removed == ()
