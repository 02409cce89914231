"""Load balancing within weighted pools: the documented distributions, and excluded servers."""

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
    pool_picker: PoolPicker, count: int, listed: str = "abcd", loads: dict[str, float] | None = None
) -> Counter[str]:
    """Picks for `count` keys and counts the picks by server; "" counts the picks of none."""

    def usable(address: str) -> bool:
        return address[0] in listed

    def load(address: str) -> float:
        return (loads or {}).get(address[0], 0.0)

    picks = [pool_picker.pick(f"key-{n}", usable, load) for n in range(count)]
    return Counter(p.address[0] if p else "" for p in picks)


def test_round_robin_is_smooth() -> None:
    pool_picker = picker("round-robin")
    order = [pool_picker.pick("", lambda a: a[0] != "d", lambda a: 0.0) for _ in range(7)]
    assert "".join(p.address[0] for p in order if p) == "aabacaa"


@pytest.mark.parametrize("pick", ["random", "hash", "consistent"])
def test_random_and_hash_pick_in_proportion_to_weights(pick: str) -> None:
    """Chi-square test with two degrees of freedom: chance exceeds 13.8 once in a thousand, and the seed is
    fixed. The hash ring, with 160 points per weight, is less exact: 10 % of the picks are allowed as
    deviation."""
    count = 7000
    picked = draw(picker(pick), count)
    expected = {"a": count * 5 / 7, "b": count / 7, "c": count / 7}
    if pick == "consistent":
        assert all(abs(picked[name] - number) < 0.1 * count for name, number in expected.items())
    else:
        assert sum((picked[name] - number) ** 2 / number for name, number in expected.items()) < 13.8
    assert picked["d"] == 0


def test_backups_are_picked_only_when_no_other_server_is_listed() -> None:
    for pick in ("round-robin", "least", "random", "random-two", "hash", "consistent"):
        assert draw(picker(pick), 50, "d") == {"d": 50}
        assert draw(picker(pick), 50, "") == {"": 50}
        assert draw(picker(pick), 50, "bd") == {"b": 50}


def test_least_picks_the_fewest_sessions_per_weight() -> None:
    assert draw(picker("least"), 20, loads={"a": 9.0, "b": 1.0, "c": 2.0}) == {"b": 20}
    assert draw(picker("least"), 20, loads={"a": 4.0, "b": 1.0, "c": 2.0}) == {"a": 20}


def test_random_two_picks_the_less_loaded_of_two() -> None:
    picked = draw(picker("random-two"), 2000, loads={"a": 100.0, "b": 0.0, "c": 0.0})
    # server a is drawn most often, but is always the more loaded of the two
    assert picked["a"] == 0 and picked["b"] > 800 and picked["c"] > 800
    equal = draw(picker("random-two"), 2000)
    assert equal["a"] > equal["b"] + equal["c"]  # equal loads: picked in proportion to the weights


def test_consistent_hash_moves_only_the_keys_of_a_removed_server() -> None:
    equal = tuple(PoolServer(f"{n}:1") for n in "abcdefghij")
    pool_picker = picker("consistent", equal)
    before = [pool_picker.pick(f"k{n}", lambda a: True, lambda a: 0.0) for n in range(1000)]
    after = [pool_picker.pick(f"k{n}", lambda a: a[0] != "c", lambda a: 0.0) for n in range(1000)]
    moved = sum(old != new for old, new in zip(before, after, strict=True))
    assert moved == sum(server is not None and server.address == "c:1" for server in before)
