"""A node process whose discovery answers late: changes of the list are taken, and bad answers change nothing.

Incident: docs/incidents/drains-missed-with-slow-discovery.md
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.node.running import NodeProcess

SET_UPS = 8  # as many as one server has room for; the less loaded of two servers is chosen
SERVICE_S = 1.0  # of one query in a crowded discovery


@pytest.fixture
def node(tmp_path: Path) -> Iterator[NodeProcess]:
    node = NodeProcess(tmp_path)
    node.run_until(lambda: node.fake_resolver.answered_numbers)
    yield node
    node.close()


def change_list(node: NodeProcess) -> int:
    node.fake_resolver.list_number += 1
    return node.fake_resolver.list_number


def wait_until_told(node: NodeProcess, number: int, answers: int = 1) -> None:
    """Until discovery has sent this many answers that hold the change."""
    node.run_until(lambda: sum(n >= number for n in node.fake_resolver.answered_numbers) >= answers)


def drain(node: NodeProcess) -> None:
    node.servers[0].draining = True
    wait_until_told(node, change_list(node))


def every_second_after(seconds: float) -> Callable[[int], float]:
    return lambda query: seconds if query % 2 else math.inf


def one_after_another(node: NodeProcess) -> Callable[[int], float]:
    """Each answer takes `SERVICE_S`; queries wait for those before them."""
    return lambda query: SERVICE_S * (1 + len(node.fake_resolver.waiting_queries))


# Guards against drains that are missed because every answer of discovery comes later than the node waits.
@pytest.mark.parametrize("delay_s", [1.0, 1.9, 4.0])
def test_a_drain_told_by_a_slow_answer_is_kept(node: NodeProcess, delay_s: float) -> None:
    node.fake_resolver.answer_delay = lambda query: delay_s
    drain(node)
    assert node.servers[0] not in node.servers_of_set_ups(SET_UPS)


# Guards against the same where every second answer is lost besides.
def test_a_drain_is_kept_if_every_second_answer_is_lost_and_the_others_are_slow(node: NodeProcess) -> None:
    node.fake_resolver.answer_delay = every_second_after(1.9)
    drain(node)
    assert node.servers[0] not in node.servers_of_set_ups(SET_UPS)


# Guards against a queue at a crowded discovery that repeated queries keep longer than the node waits.
def test_a_drain_told_by_a_crowded_discovery_is_kept(node: NodeProcess) -> None:
    node.fake_resolver.answer_delay = one_after_another(node)
    wait_until_told(node, 1, answers=8)
    drain(node)
    assert node.servers[0] not in node.servers_of_set_ups(SET_UPS)


# Guards against set-ups to a server that drained, went and is back, before any answer has told its return.
def test_a_server_that_returns_gets_no_set_up_before_slow_discovery_has_told_it(node: NodeProcess) -> None:
    returning = node.servers[0]
    node.fake_resolver.answer_delay = lambda query: 1.0
    drain(node)
    returning.refuse_connections()
    node.fake_resolver.servers.remove(returning)
    wait_until_told(node, change_list(node))
    returning.start_listening()  # its process is up; the list does not have it yet
    assert returning not in node.servers_of_set_ups(SET_UPS)
    returning.draining = False
    node.fake_resolver.servers.append(returning)
    wait_until_told(node, change_list(node))
    assert returning in node.servers_of_set_ups(SET_UPS)
