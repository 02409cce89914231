"""Splitting of a byte stream at line feeds, whatever the size of the reads."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lemonhall.node.bounds import MAX_LINE_BYTES
from lemonhall.node.line_reader import LineReader, LineTooLong


@given(st.lists(st.binary(max_size=40).map(lambda b: b.replace(b"\n", b"")), max_size=12), st.data())
def test_lines_do_not_depend_on_the_size_of_reads(lines: list[bytes], data: st.DataObject) -> None:
    stream = b"".join(line + b"\n" for line in lines) + b"half"
    reader, received = LineReader(), []
    while stream:
        size = data.draw(st.integers(1, len(stream)))
        reader.feed(stream[:size])
        stream = stream[size:]
        while (line := reader.next_line()) is not None:
            received.append(line)
    assert received == lines
    assert reader.has_unread


def test_a_line_without_line_feed_is_rejected_in_bounded_memory() -> None:
    reader = LineReader()
    with pytest.raises(LineTooLong):
        for _ in range(1000):
            reader.feed(b"x" * 1000)
            assert len(reader.buffer) <= MAX_LINE_BYTES + 1000
            assert reader.next_line() is None


def test_a_line_of_maximum_length_is_accepted_and_a_longer_one_rejected() -> None:
    reader = LineReader()
    reader.feed(b"x" * MAX_LINE_BYTES + b"\n")
    assert reader.next_line() == b"x" * MAX_LINE_BYTES
    reader.feed(b"x" * (MAX_LINE_BYTES + 1) + b"\n")
    with pytest.raises(LineTooLong):
        reader.next_line()
