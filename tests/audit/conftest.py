from __future__ import annotations

import pytest

from lemonhall.config.settings import Terms, read_settings
from tests.front.harness import TERMS


@pytest.fixture(scope="module")
def terms(tmp_path_factory: pytest.TempPathFactory) -> Terms:
    path = tmp_path_factory.mktemp("audit") / "terms.kdl"
    front = 'front "f0" hall="hall-a" listen="127.0.0.1:0"\n'
    path.write_text(TERMS.replace("attempts most=3", "attempts most=3 free=1 share=(%)0 span=(s)10") + front)
    return read_settings(path).terms
