"""Answers of discovery that are late, bad, doubled or out of order; a change of its address."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from lemonhall import interface
from lemonhall.node import bounds
from tests.node.world import FakeResolver, World


def drop(data: bytes) -> bytes | None:
    return None


def report_failure(data: bytes) -> bytes | None:
    return data[:3] + bytes([data[3] | 2]) + data[4:]


def truncate(data: bytes) -> bytes | None:
    return data[:2] + bytes([data[2] | 2]) + data[3:]


def cut_short(data: bytes) -> bytes | None:
    return data[:-30]


def use_another_id(data: bytes) -> bytes | None:
    return bytes([data[0] ^ 1, data[1]]) + data[2:]


BAD_ANSWERS: list[Callable[[bytes], bytes | None]] = [
    drop,
    report_failure,
    truncate,
    cut_short,
    use_another_id,
]


def list_state(world: World) -> list[tuple[str, bool]]:
    return sorted((server.id, server.draining) for server in world.node.listed_servers.values())


def drain(world: World, number: int = 0) -> None:
    world.servers[number].draining = True
    world.fake_resolver.list_number += 1


@pytest.mark.parametrize("answer_s", [0.0, 1.0, 4.0])
@pytest.mark.parametrize("bad_answer", BAD_ANSWERS)
def test_a_bad_answer_leaves_the_list_in_force_and_the_next_good_one_counts(
    world: World, bad_answer: Callable[[bytes], bytes | None], answer_s: float
) -> None:
    world.fake_resolver.answer_delay = lambda query: answer_s
    drain(world)
    world.advance(answer_s + 1.0)
    kept = list_state(world)
    assert kept == [("s-00000000", True), ("s-00000001", False)]
    world.fake_resolver.alter_response = bad_answer
    world.servers[0].draining, world.servers[1].draining = False, True
    world.fake_resolver.list_number += 1
    world.advance(answer_s + 5.0)
    assert list_state(world) == kept
    world.fake_resolver.alter_response = lambda data: data
    world.advance(answer_s + 1.5)
    assert list_state(world) == [("s-00000000", False), ("s-00000001", True)]


@pytest.mark.parametrize("answer_s", [0.0, 1.0, 4.0])
def test_lists_that_are_older_or_empty_leave_the_list_in_force(world: World, answer_s: float) -> None:
    world.fake_resolver.answer_delay = lambda query: answer_s
    drain(world)
    world.advance(answer_s + 1.0)
    kept = list_state(world)
    world.servers[0].draining = False
    world.fake_resolver.list_number -= 1
    world.advance(answer_s + 2.0)
    assert list_state(world) == kept and world.node.counts["resolver_older"] > 0
    world.fake_resolver.list_number += 2
    world.fake_resolver.servers = []
    world.advance(answer_s + 2.0)
    assert list_state(world) == kept and world.node.counts["resolver_empty"] > 0


def test_an_older_answer_that_comes_after_a_newer_one_changes_nothing(world: World) -> None:
    held: list[bytes] = []

    def hold(data: bytes) -> bytes | None:
        held.append(data)
        return None

    world.fake_resolver.alter_response = hold
    world.advance(0.5)
    drain(world)
    world.advance(1.0)
    port = world.node.resolver.sock.getsockname()  # type: ignore[union-attr]
    world.fake_resolver.sock.sendto(held[-1], port)
    world.pump()
    assert ("s-00000000", True) in list_state(world)
    world.fake_resolver.sock.sendto(held[0], port)  # an answer to an earlier query, with the list before
    world.fake_resolver.sock.sendto(held[-1], port)  # a second copy
    world.pump()
    assert ("s-00000000", True) in list_state(world)
    assert world.node.counts["resolver_older"] == 1 and world.node.counts["resolver_late"] == 1


@pytest.mark.parametrize("answer_s", [0.0, 1.0, 4.0])
def test_a_new_address_is_asked_at_once_and_the_old_one_is_not_heard_any_more(
    world: World, answer_s: float
) -> None:
    old, new = world.fake_resolver, FakeResolver(lambda: world.now)
    try:
        old.answer_delay = lambda query: 2.0
        world.advance(5.0)  # queries to the old address are unanswered when the address changes
        drain(world, 1)
        new.servers, new.list_number = list(world.servers), old.list_number + 1
        new.answer_delay = lambda query: answer_s
        world.node.resolver.change_address(new.address)
        world.fake_resolver = new
        old.list_number = 99
        old.servers = old.servers[:1]
        world.advance(answer_s + 0.1)
        for waiting in old.waiting_queries:
            old.send_answer(*waiting[1:])
        world.pump()
        assert list_state(world) == [("s-00000000", False), ("s-00000001", True)]
        assert world.node.resolver.list_number == new.list_number
    finally:
        old.sock.close()


def test_a_closed_port_is_asked_again_soon(world: World) -> None:
    address = world.fake_resolver.address
    world.fake_resolver.sock.close()
    world.advance(20.0)
    back = FakeResolver(lambda: world.now)
    back.sock.close()
    back.sock = type(back.sock)(back.sock.family, back.sock.type)
    back.sock.bind(address)
    back.sock.setblocking(False)
    back.servers, back.list_number = list(world.servers), 1
    world.fake_resolver = back
    drain(world)
    world.advance(bounds.DNS_MAX_RETRY_S * bounds.DNS_MAX_JITTER + 0.1)
    assert ("s-00000000", True) in list_state(world)


# Guards against a change of the list that is lost for good because a fault ended its handling half way.
@pytest.mark.parametrize("part", ["list", "decider"])
def test_a_list_that_was_lost_in_a_fault_is_reported_again(world: World, part: str) -> None:
    errors: list[Exception] = []
    node = world.node
    world.loop.on_error = lambda error: (errors.append(error), node.on_callback_error(error))
    node.on_callback_error = type(node).on_callback_error.__get__(node)  # type: ignore[method-assign]

    def fail_once(*_: object) -> None:
        owner, name = (node, "make_server") if part == "list" else (node.bridge.decider, "handle")
        delattr(owner, name)  # the class's own is back
        raise RuntimeError("injected")

    drain(world)
    if part == "list":
        node.make_server = fail_once  # type: ignore[method-assign,assignment]
    else:
        report_list = node.report_list

        def report_and_fail(*arguments: Any) -> None:
            del node.report_list
            report_list(*arguments)
            node.bridge.decider.handle = fail_once  # type: ignore[method-assign,assignment]

        node.report_list = report_and_fail  # type: ignore[method-assign]
    world.advance(bounds.DNS_QUERY_INTERVAL_S + 2.0)
    assert len(errors) == 1 and node.counts["faults"] == 1
    tracked = node.bridge.decider.tracked_servers  # type: ignore[attr-defined]
    draining = [n for n, server in tracked.items() if server.entry.state is interface.ServerState.DRAINING]
    assert draining == [node.servers.by_id["s-00000000"].number]
