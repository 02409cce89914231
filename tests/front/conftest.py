from __future__ import annotations

import pickle
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from lemonhall.config.schema import SETTINGS
from lemonhall.config.settings import read_tree
from tests.front.harness import FrontHarness

Build = Callable[..., FrontHarness]


@pytest.fixture
def make_front(tmp_path: Path) -> Iterator[Callable[..., FrontHarness]]:
    made: list[FrontHarness] = []

    def build(**options: Any) -> FrontHarness:
        made.append(FrontHarness(tmp_path, **options))
        return made[-1]

    yield build
    for each in made:
        each.close()


@pytest.fixture
def reloaded(
    make_front: Build, tmp_path: Path
) -> Callable[[str], tuple[FrontHarness, Callable[[str], bool]]]:
    """A world, and what loads other terms into it: whether they were taken."""

    def build(terms: str) -> tuple[FrontHarness, Callable[[str], bool]]:
        w = make_front(terms=terms)
        path = tmp_path / "front.kdl"
        w.daemon.remember_settings(str(path), pickle.dumps(read_tree(path, SETTINGS)[1]))

        def load(other: str) -> bool:
            text = path.read_text().replace(terms, other)
            path.write_text(text)
            ended: list[bool] = []
            w.daemon.hooks.on_load = ended.append
            w.daemon.reload()
            w.run_until(lambda: ended, 30)
            path.write_text(text.replace(other, terms))
            return ended[0]

        return w, load

    return build
