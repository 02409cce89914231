"""The list out of DNS answers, held against dnspython's writer, and taken whole or not at all."""

from __future__ import annotations

from contextlib import suppress

import dns.message
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lemonhall.node import records
from lemonhall.node.records import Listed, Spoilt
from tests.node.world import answer

NAME = "_app._tcp.cluster.lan"


class Entry:
    def __init__(self, n: int) -> None:
        self.name, self.port, self.cell = f"s-{n:08x}", 2905 + n, n
        self.draining, self.started = n % 2 == 1, 1000 * n


def good(count: int = 5, seq: int = 41) -> bytes:
    return answer(records.question(7, NAME), seq, [Entry(n) for n in range(count)])  # type: ignore[list-item]


def test_the_question_is_one_that_dnspython_reads() -> None:
    asked = dns.message.from_wire(records.question(7, NAME)).question[0]
    assert str(asked) == f"{NAME}. IN SRV"


def test_a_whole_answer_is_joined() -> None:
    seq, servers = records.read(good(), 7, NAME)
    assert seq == 41 and len(servers) == 5
    found = {s.id: s for s in servers}["s-00000003"]
    assert found == Listed("s-00000003", "127.0.0.1", 2908, "east", "std", 3, True, 1.0, 3000.0)


def test_a_list_without_servers_is_a_list() -> None:
    assert records.read(good(0), 7, NAME) == (41, ())


def flags(data: bytes, value: int) -> bytes:
    return data[:2] + value.to_bytes(2, "big") + data[4:]


@pytest.mark.parametrize(
    "spoil",
    [
        lambda d: b"\0\1" + d[2:],  # another id
        lambda d: flags(d, 0x8600),  # cut short
        lambda d: flags(d, 0x8403),  # an error
        lambda d: flags(d, 0x0400),  # a query
        lambda d: d[:-1],
        lambda d: d[:40],
        lambda d: d + b"\0",
        lambda d: d[:12] + d[12:].replace(b"cluster", b"clustes", 1),  # another question
        lambda d: d[:6] + b"\xff\xff" + d[8:],  # counts
        lambda d: d[:12] + b"\xc0\x0c" + d[14:],  # a name that points to itself
        lambda d: d.replace(b"cell=", b"sell="),
        lambda d: d.replace(b"started=0", b"started=x"),
        lambda d: b"",
        lambda d: d + bytes(9000),
    ],
)
def test_a_spoilt_answer_is_refused_whole(spoil) -> None:  # type: ignore[no-untyped-def]
    data = spoil(good())
    assert data != good()
    with pytest.raises(Spoilt):
        records.read(data, 7, NAME)


@given(st.integers(0, 300), st.binary(min_size=1, max_size=6), st.integers(0, 300))
def test_no_bytes_raise_anything_else_or_loop(at: int, noise: bytes, cut: int) -> None:
    data = good(3)
    data = data[:at] + noise + data[at + len(noise) :]
    for bent in (data, data[: len(data) - cut]):
        with suppress(Spoilt):
            records.read(bent, 7, NAME)


def test_changes_between_two_lists() -> None:
    _, old = records.read(good(4), 7, NAME)
    _, new = records.read(good(3), 7, NAME)
    changed, gone = records.changes({s.id: s for s in old}, new)
    assert changed == () and [s.cell for s in gone] == [3]
    changed, gone = records.changes({}, new)
    assert changed == new and gone == ()
