from __future__ import annotations

import pickle
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from lemonhall.config.schema import SETTINGS
from lemonhall.config.settings import read_tree
from tests.front.harness import World

Build = Callable[..., World]


@pytest.fixture
def world(tmp_path: Path) -> Iterator[Callable[..., World]]:
    made: list[World] = []

    def build(**options: Any) -> World:
        made.append(World(tmp_path, **options))
        return made[-1]

    yield build
    for each in made:
        each.close()


@pytest.fixture
def reloaded(world: Build, tmp_path: Path) -> Callable[[str], tuple[World, Callable[[str], bool]]]:
    """A world, and what loads other terms into it: whether they were taken."""

    def build(terms: str) -> tuple[World, Callable[[str], bool]]:
        w = world(terms=terms)
        path = tmp_path / "front.kdl"
        w.daemon.remember_settings(str(path), pickle.dumps(read_tree(path, SETTINGS)[1]))

        def load(other: str) -> bool:
            text = path.read_text().replace(terms, other)
            path.write_text(text)
            ended: list[bool] = []
            w.daemon.hooks.on_load = ended.append
            w.daemon.reload()
            w.until(lambda: ended, 30)
            path.write_text(text.replace(other, terms))
            return ended[0]

        return w, load

    return build
