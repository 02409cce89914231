"""Streams cut at line feeds, however the bytes come."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lemonhall.node.bounds import LINE_BYTES
from lemonhall.node.lines import Lines, TooLong


@given(st.lists(st.binary(max_size=40).map(lambda b: b.replace(b"\n", b"")), max_size=12), st.data())
def test_lines_are_the_same_however_they_are_cut(lines: list[bytes], data: st.DataObject) -> None:
    stream = b"".join(line + b"\n" for line in lines) + b"half"
    reader, got = Lines(), []
    while stream:
        size = data.draw(st.integers(1, len(stream)))
        reader.feed(stream[:size])
        stream = stream[size:]
        while (line := reader.take()) is not None:
            got.append(line)
    assert got == lines
    assert reader.partial


def test_a_line_without_end_is_refused_in_bounded_memory() -> None:
    reader = Lines()
    with pytest.raises(TooLong):
        for _ in range(1000):
            reader.feed(b"x" * 1000)
            assert len(reader.held) <= LINE_BYTES + 1000
            assert reader.take() is None


def test_a_line_of_the_greatest_length_passes_and_a_longer_one_does_not() -> None:
    reader = Lines()
    reader.feed(b"x" * LINE_BYTES + b"\n")
    assert reader.take() == b"x" * LINE_BYTES
    reader.feed(b"x" * (LINE_BYTES + 1) + b"\n")
    with pytest.raises(TooLong):
        reader.take()
