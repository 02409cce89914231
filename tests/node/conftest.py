from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import pytest

from tests.node.world import World


@pytest.fixture
def world() -> Iterator[World]:
    world = World()
    yield world
    world.close()


@pytest.fixture
def worlds() -> Iterator[Callable[..., World]]:
    created: list[World] = []

    def make(**arguments: Any) -> World:
        created.append(World(**arguments))
        return created[-1]

    yield make
    for world in created:
        world.close()
