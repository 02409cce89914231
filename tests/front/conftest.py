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
    fronts: list[FrontHarness] = []

    def build(**options: Any) -> FrontHarness:
        fronts.append(FrontHarness(tmp_path, **options))
        return fronts[-1]

    yield build
    for front in fronts:
        front.close()


@pytest.fixture
def reloaded(
    make_front: Build, tmp_path: Path
) -> Callable[[str], tuple[FrontHarness, Callable[[str], bool]]]:
    """A front, and a function that reloads it with other terms and returns whether they were accepted."""

    def build(terms: str) -> tuple[FrontHarness, Callable[[str], bool]]:
        front = make_front(terms=terms)
        path = tmp_path / "front.kdl"
        front.daemon.remember_settings(str(path), pickle.dumps(read_tree(path, SETTINGS)[1]))

        def load(new_terms: str) -> bool:
            text = path.read_text().replace(terms, new_terms)
            path.write_text(text)
            results: list[bool] = []
            front.daemon.hooks.on_load = results.append
            front.daemon.reload()
            front.run_until(lambda: results, 30)
            path.write_text(text.replace(new_terms, terms))
            return results[0]

        return front, load

    return build
