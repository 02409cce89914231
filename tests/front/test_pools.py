"""Picks from weighted pools: the documented distributions, and who is left out."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from lemonhall.config.routing import Pool, PoolServer
from lemonhall.front.decider.pool_picker import PoolPicker

SERVERS = (PoolServer("a:1", 5), PoolServer("b:1", 1), PoolServer("c:1", 1), PoolServer("d:1", 9, True))


def picker(pick: str, servers: tuple[PoolServer, ...] = SERVERS) -> PoolPicker:
    return PoolPicker(Pool("p", (), servers, pick), Random(5))


def draw(
    of: PoolPicker, count: int, there: str = "abcd", loads: dict[str, float] | None = None
) -> Counter[str]:
    def usable(address: str) -> bool:
        return address[0] in there

    def load(address: str) -> float:
        return (loads or {}).get(address[0], 0.0)

    picks = [of.pick(f"key-{n}", usable, load) for n in range(count)]
    return Counter(p.address[0] if p else "" for p in picks)


def test_round_robin_is_smooth_as_documented() -> None:
    of = picker("round-robin")
    order = [of.pick("", lambda a: a[0] != "d", lambda a: 0.0) for _ in range(7)]
    assert "".join(p.address[0] for p in order if p) == "aabacaa"


@pytest.mark.parametrize("pick", ["random", "hash", "consistent"])
def test_chance_and_hash_keep_to_the_weights(pick: str) -> None:
    """Chi-square with two degrees of freedom; 13.8 is passed once in a thousand by chance, and the draw is
    the same each time. A ring of 160 points a weight is rougher: it is held to a tenth."""
    count = 7000
    got = draw(picker(pick), count)
    expected = {"a": count * 5 / 7, "b": count / 7, "c": count / 7}
    if pick == "consistent":
        assert all(abs(got[k] - e) < 0.1 * count for k, e in expected.items())
    else:
        assert sum((got[k] - e) ** 2 / e for k, e in expected.items()) < 13.8
    assert got["d"] == 0


def test_backups_come_only_when_no_other_is_there() -> None:
    for pick in ("round-robin", "least", "random", "random-two", "hash", "consistent"):
        assert draw(picker(pick), 50, "d") == {"d": 50}
        assert draw(picker(pick), 50, "") == {"": 50}
        assert draw(picker(pick), 50, "bd") == {"b": 50}


def test_least_goes_by_sessions_over_weight() -> None:
    assert draw(picker("least"), 20, loads={"a": 9.0, "b": 1.0, "c": 2.0}) == {"b": 20}
    assert draw(picker("least"), 20, loads={"a": 4.0, "b": 1.0, "c": 2.0}) == {"a": 20}


def test_two_at_random_then_the_lesser() -> None:
    got = draw(picker("random-two"), 2000, loads={"a": 100.0, "b": 0.0, "c": 0.0})
    assert got["a"] == 0 and got["b"] > 800 and got["c"] > 800  # it is drawn most, and never the lesser
    equal = draw(picker("random-two"), 2000)
    assert equal["a"] > equal["b"] + equal["c"]  # among equals the weights count


def test_a_ring_moves_few_keys_when_a_server_goes() -> None:
    same = tuple(PoolServer(f"{n}:1") for n in "abcdefghij")
    of = picker("consistent", same)
    before = [of.pick(f"k{n}", lambda a: True, lambda a: 0.0) for n in range(1000)]
    after = [of.pick(f"k{n}", lambda a: a[0] != "c", lambda a: 0.0) for n in range(1000)]
    moved = sum(x != y for x, y in zip(before, after, strict=True))
    assert moved == sum(x is not None and x.address == "c:1" for x in before)
