from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import pytest

from tests.node.world import World


@pytest.fixture
def world() -> Iterator[World]:
    made = World()
    yield made
    made.close()


@pytest.fixture
def worlds() -> Iterator[Callable[..., World]]:
    made: list[World] = []

    def make(**more: Any) -> World:
        made.append(World(**more))
        return made[-1]

    yield make
    for one in made:
        one.close()
