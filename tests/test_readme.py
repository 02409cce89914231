"""The example in the README runs unchanged."""

from pathlib import Path

import pytest


def test_example_of_the_readme(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    code = text.split("```python\n")[1].split("```")[0]
    exec(compile(code, "README.md", "exec"), {})
    printed = capsys.readouterr().out
    assert printed.startswith("session 1 goes to server ") and printed.endswith("at rung 2\n")
