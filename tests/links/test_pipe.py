"""What passes a link, without sockets: whole and in order or lost as told, and the same for the same seed."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from lemonhall.config.day import LinkSpec, Shape
from lemonhall.links.network import Ends, Network
from lemonhall.links.pipe import (
    BYTES_MOST,
    CLEAN,
    DATAGRAMS_MOST,
    OVERTAKEN_MS,
    WAITING_MS,
    Bytes,
    Datagrams,
    End,
    together,
)

part = st.floats(0, 1)
SHAPES = st.builds(
    Shape,
    delay_ms=st.floats(0, 500),
    jitter_ms=st.floats(0, 200),
    loss=part,
    double=part,
    reorder=part,
    rate_kb=st.one_of(st.just(0.0), st.floats(1, 1000)),
    cut=st.booleans(),
    silent=st.booleans(),
)
STEPS = st.lists(
    st.tuples(st.floats(0, 300), st.one_of(SHAPES, st.binary(min_size=1, max_size=99))), max_size=40
)
FAR = 1e9


def played(pipe: Datagrams | Bytes, steps: list[tuple[float, Shape | bytes]]) -> list[tuple[float, object]]:
    """What came out, and when, where each thing is taken as soon as it is due."""
    now, out = 0.0, []
    for after, what in steps:
        now += after
        while (due := pipe.due()) is not None and due <= now:
            out += [(due, piece) for piece in pipe.take(due)]
        if isinstance(what, Shape):
            pipe.shape = what
        else:
            pipe.put(now, what)
    return out


@given(st.integers(), STEPS)
def test_the_same_seed_times_and_bytes_give_the_same(
    seed: int, steps: list[tuple[float, Shape | bytes]]
) -> None:
    for kind in (Datagrams, Bytes):
        assert played(kind(Random(seed)), steps) == played(kind(Random(seed)), steps)


@given(st.integers(), STEPS)
def test_a_stream_is_whole_and_in_order_once_the_link_is_fine(
    seed: int, steps: list[tuple[float, Shape | bytes]]
) -> None:
    pipe = Bytes(Random(seed))
    out = [piece for _, piece in played(pipe, steps)]
    pipe.shape = CLEAN
    pipe.put(FAR, End(False))
    out += pipe.take(2 * FAR)
    assert out == [*(w for _, w in steps if isinstance(w, bytes)), End(False)]
    assert pipe.held == 0 and pipe.idle


@given(st.integers(), STEPS)
def test_datagrams_come_whole_at_most_twice_and_never_early(
    seed: int, steps: list[tuple[float, Shape | bytes]]
) -> None:
    named = [(after, w if isinstance(w, Shape) else w + b"%d" % n) for n, (after, w) in enumerate(steps)]
    pipe = Datagrams(Random(seed))
    out = played(pipe, named)
    sent, now = {}, 0.0
    for after, what in named:
        now += after
        if isinstance(what, bytes):
            sent[what] = now
    for at, data in out:
        assert isinstance(data, bytes) and at >= sent[data]
        assert sum(d == data for _, d in out) <= 2
    assert len(pipe.queue) <= DATAGRAMS_MOST


def test_a_cut_lets_nothing_through_and_healing_brings_what_a_stream_held() -> None:
    stream, datagrams = Bytes(Random(1)), Datagrams(Random(1))
    for pipe in (stream, datagrams):
        pipe.shape = Shape(delay_ms=50)
        pipe.put(0.0, b"under way")
        pipe.shape = Shape(cut=True)
        pipe.put(10.0, b"held")
        assert pipe.take(1000.0) == []
        pipe.shape = CLEAN
    assert stream.take(1000.0) == [b"under way", b"held"]
    assert datagrams.take(1000.0) == [] and datagrams.lost == 2


def test_loss_doubling_and_overtaking_are_about_as_often_as_told() -> None:
    pipe = Datagrams(Random(3))
    pipe.shape = Shape(loss=0.3, double=0.2, reorder=0.1)
    for n in range(5000):
        pipe.put(float(n), b"%d" % n)
        pipe.take(float(n) - 1)  # so that no bound on what is held acts
    found = played(Datagrams(Random(3)), [(0, pipe.shape), *((1.0, b"%d" % n) for n in range(5000))])
    numbers = [int(str(data, "ascii")) for _, data in found if isinstance(data, bytes)]
    assert 0.67 < len(set(numbers)) / 5000 < 0.73
    assert 0.18 < len(numbers) / len(set(numbers)) - 1 < 0.22
    late = sum(a > b + OVERTAKEN_MS / 2 for a, b in zip(numbers, numbers[1:], strict=False))
    assert late > 200  # those that were overtaken


def test_a_slow_link_passes_what_it_can_and_its_queue_is_short() -> None:
    stream, datagrams = Bytes(Random(1)), Datagrams(Random(1))
    for pipe in (stream, datagrams):
        pipe.shape = Shape(rate_kb=10.0)
        for _ in range(30):
            pipe.put(0.0, b"x" * 1000)
    assert len(stream.take(1000.0)) == 10 and len(stream.take(3000.0)) == 20
    assert len(datagrams.take(FAR)) == WAITING_MS / 100 and datagrams.lost == 20


def test_what_is_held_is_bounded() -> None:
    stream, datagrams = Bytes(Random(1)), Datagrams(Random(1))
    stream.shape, datagrams.shape = Shape(silent=True), Shape(delay_ms=1000)
    stream.put(0.0, b"x" * BYTES_MOST)
    assert stream.full  # its source is to pause
    for _ in range(DATAGRAMS_MOST + 5):
        datagrams.put(0.0, b"x")
    assert len(datagrams.queue) == DATAGRAMS_MOST and datagrams.lost == 5


def test_a_lost_piece_of_a_stream_holds_up_what_follows() -> None:
    pipe = Bytes(Random(1))
    pipe.shape = Shape(loss=1.0)
    pipe.put(0.0, b"first")
    pipe.shape = CLEAN
    pipe.put(1.0, b"second")
    assert pipe.take(199.0) == [] and pipe.take(FAR) == [b"first", b"second"]


@given(SHAPES, SHAPES, SHAPES)
@settings(max_examples=50)
def test_several_on_one_link_are_the_same_in_any_order(a: Shape, b: Shape, c: Shape) -> None:
    one, other = together([a, b, c]), together([c, a, b])
    assert replace(one, loss=0, double=0, reorder=0, delay_ms=0, jitter_ms=0) == replace(
        other, loss=0, double=0, reorder=0, delay_ms=0, jitter_ms=0
    )
    for name in ("loss", "double", "reorder", "delay_ms", "jitter_ms"):
        assert abs(getattr(one, name) - getattr(other, name)) < 1e-6
    assert together([CLEAN, a]).cut == a.cut and 0 <= one.loss <= 1


ENDS = Ends({"front-0": "a", "front-1": "b"}, {"box-0": "a", "box-1": "b"})


def test_a_name_stands_for_a_process_a_hall_or_all_of_a_kind() -> None:
    assert ENDS.named("a") == {"front-0", "box-0"}
    assert ENDS.named("boxes") == {"box-0", "box-1"}
    assert ENDS.named("list") == {"list"} and ENDS.named("front-1") == {"front-1"}


def test_what_holds_between_two_is_all_that_was_told_until_it_is_lifted() -> None:
    network = Network(ENDS)
    network.hold(1, LinkSpec(("a", "b"), True, Shape(cut=True)))
    network.hold(2, LinkSpec(("fronts", "boxes"), False, Shape(delay_ms=5)))
    assert network.shape("front-0", "front-1").cut and not network.shape("front-1", "front-0").cut
    assert network.shape("front-0", "box-1") == Shape(delay_ms=5, cut=True)
    assert network.shape("box-1", "front-0") == Shape(delay_ms=5)
    network.lift(1)
    assert network.shape("front-0", "front-1") == CLEAN
    assert network.shape("list", "front-0") == CLEAN
