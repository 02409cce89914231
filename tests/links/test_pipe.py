"""Links without sockets: what arrives, what is lost, in which order, and the same for the same seed."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from lemonhall.config.day import LinkSpec, Shape
from lemonhall.links.network import Endpoints, Network
from lemonhall.links.pipe import (
    MAX_QUEUED_BYTES,
    MAX_QUEUED_DATAGRAMS,
    MAX_QUEUING_DELAY_MS,
    REORDER_DELAY_MS,
    UNIMPAIRED,
    DatagramPipe,
    EndOfStream,
    StreamPipe,
    combine_shapes,
)

probability = st.floats(0, 1)
SHAPES = st.builds(
    Shape,
    delay_ms=st.floats(0, 500),
    jitter_ms=st.floats(0, 200),
    loss=probability,
    double=probability,
    reorder=probability,
    rate_kb=st.one_of(st.just(0.0), st.floats(1, 1000)),
    cut=st.booleans(),
    silent=st.booleans(),
)
STEPS = st.lists(
    st.tuples(st.floats(0, 300), st.one_of(SHAPES, st.binary(min_size=1, max_size=99))), max_size=40
)
DISTANT_MS = 1e9  # later than anything that a pipe delays


def run_steps(
    pipe: DatagramPipe | StreamPipe, steps: list[tuple[float, Shape | bytes]]
) -> list[tuple[float, object]]:
    """Applies each step (a delay in ms, then a shape or data); returns arrivals with their due times."""
    now, arrivals = 0.0, []
    for delay_ms, item in steps:
        now += delay_ms
        while (due := pipe.next_due_ms()) is not None and due <= now:
            arrivals += [(due, piece) for piece in pipe.take_due(due)]
        if isinstance(item, Shape):
            pipe.shape = item
        else:
            pipe.put(now, item)
    return arrivals


@given(st.integers(), STEPS)
def test_equal_seeds_and_inputs_give_equal_arrivals(
    seed: int, steps: list[tuple[float, Shape | bytes]]
) -> None:
    for pipe_class in (DatagramPipe, StreamPipe):
        assert run_steps(pipe_class(Random(seed)), steps) == run_steps(pipe_class(Random(seed)), steps)


@given(st.integers(), STEPS)
def test_a_stream_is_complete_and_in_order_once_the_link_is_unimpaired(
    seed: int, steps: list[tuple[float, Shape | bytes]]
) -> None:
    pipe = StreamPipe(Random(seed))
    arrived = [piece for _, piece in run_steps(pipe, steps)]
    pipe.shape = UNIMPAIRED
    pipe.put(DISTANT_MS, EndOfStream(False))
    arrived += pipe.take_due(2 * DISTANT_MS)
    assert arrived == [*(item for _, item in steps if isinstance(item, bytes)), EndOfStream(False)]
    assert pipe.queued_bytes == 0 and pipe.transparent


@given(st.integers(), STEPS)
def test_datagrams_arrive_unchanged_at_most_twice_and_never_before_they_were_sent(
    seed: int, steps: list[tuple[float, Shape | bytes]]
) -> None:
    numbered_steps = [
        (delay_ms, item if isinstance(item, Shape) else item + b"%d" % index)
        for index, (delay_ms, item) in enumerate(steps)
    ]
    pipe = DatagramPipe(Random(seed))
    arrivals = run_steps(pipe, numbered_steps)
    sent_at, now = {}, 0.0
    for delay_ms, item in numbered_steps:
        now += delay_ms
        if isinstance(item, bytes):
            sent_at[item] = now
    for arrived_at, data in arrivals:
        assert isinstance(data, bytes) and arrived_at >= sent_at[data]
        assert sum(d == data for _, d in arrivals) <= 2
    assert len(pipe.queue) <= MAX_QUEUED_DATAGRAMS


def test_nothing_arrives_during_a_cut_and_a_stream_delivers_its_queue_afterwards() -> None:
    stream, datagrams = StreamPipe(Random(1)), DatagramPipe(Random(1))
    for pipe in (stream, datagrams):
        pipe.shape = Shape(delay_ms=50)
        pipe.put(0.0, b"in flight")
        pipe.shape = Shape(cut=True)
        pipe.put(10.0, b"sent during the cut")
        assert pipe.take_due(1000.0) == []
        pipe.shape = UNIMPAIRED
    assert stream.take_due(1000.0) == [b"in flight", b"sent during the cut"]
    assert datagrams.take_due(1000.0) == [] and datagrams.lost_count == 2


def test_loss_duplication_and_reordering_are_about_as_frequent_as_configured() -> None:
    pipe = DatagramPipe(Random(3))
    pipe.shape = Shape(loss=0.3, double=0.2, reorder=0.1)
    for index in range(5000):
        pipe.put(float(index), b"%d" % index)
        pipe.take_due(float(index) - 1)  # keeps the queue below its bound
    arrivals = run_steps(
        DatagramPipe(Random(3)), [(0, pipe.shape), *((1.0, b"%d" % index) for index in range(5000))]
    )
    numbers = [int(str(data, "ascii")) for _, data in arrivals if isinstance(data, bytes)]
    assert 0.67 < len(set(numbers)) / 5000 < 0.73
    assert 0.18 < len(numbers) / len(set(numbers)) - 1 < 0.22
    overtaken_count = sum(a > b + REORDER_DELAY_MS / 2 for a, b in zip(numbers, numbers[1:], strict=False))
    assert overtaken_count > 200


def test_a_rate_limited_link_passes_its_rate_and_has_a_short_datagram_queue() -> None:
    stream, datagrams = StreamPipe(Random(1)), DatagramPipe(Random(1))
    for pipe in (stream, datagrams):
        pipe.shape = Shape(rate_kb=10.0)
        for _ in range(30):
            pipe.put(0.0, b"x" * 1000)
    assert len(stream.take_due(1000.0)) == 10 and len(stream.take_due(3000.0)) == 20
    assert len(datagrams.take_due(DISTANT_MS)) == MAX_QUEUING_DELAY_MS / 100 and datagrams.lost_count == 20


def test_queues_are_bounded() -> None:
    stream, datagrams = StreamPipe(Random(1)), DatagramPipe(Random(1))
    stream.shape, datagrams.shape = Shape(silent=True), Shape(delay_ms=1000)
    stream.put(0.0, b"x" * MAX_QUEUED_BYTES)
    assert stream.full  # the source has to pause
    for _ in range(MAX_QUEUED_DATAGRAMS + 5):
        datagrams.put(0.0, b"x")
    assert len(datagrams.queue) == MAX_QUEUED_DATAGRAMS and datagrams.lost_count == 5


def test_a_lost_piece_of_a_stream_delays_what_follows() -> None:
    pipe = StreamPipe(Random(1))
    pipe.shape = Shape(loss=1.0)
    pipe.put(0.0, b"first")
    pipe.shape = UNIMPAIRED
    pipe.put(1.0, b"second")
    assert pipe.take_due(199.0) == [] and pipe.take_due(DISTANT_MS) == [b"first", b"second"]


@given(SHAPES, SHAPES, SHAPES)
@settings(max_examples=50)
def test_the_order_of_combined_shapes_does_not_matter(a: Shape, b: Shape, c: Shape) -> None:
    combined, reordered = combine_shapes([a, b, c]), combine_shapes([c, a, b])
    assert replace(combined, loss=0, double=0, reorder=0, delay_ms=0, jitter_ms=0) == replace(
        reordered, loss=0, double=0, reorder=0, delay_ms=0, jitter_ms=0
    )
    for name in ("loss", "double", "reorder", "delay_ms", "jitter_ms"):
        assert abs(getattr(combined, name) - getattr(reordered, name)) < 1e-6
    assert combine_shapes([UNIMPAIRED, a]).cut == a.cut and 0 <= combined.loss <= 1


ENDPOINTS = Endpoints({"front-0": "a", "front-1": "b"}, {"box-0": "a", "box-1": "b"})


def test_a_name_selects_a_process_a_zone_or_all_processes_of_a_kind() -> None:
    assert ENDPOINTS.resolve("a") == {"front-0", "box-0"}
    assert ENDPOINTS.resolve("boxes") == {"box-0", "box-1"}
    assert ENDPOINTS.resolve("list") == {"list"} and ENDPOINTS.resolve("front-1") == {"front-1"}


def test_all_links_between_two_processes_apply_until_they_are_removed() -> None:
    network = Network(ENDPOINTS)
    network.add_link(1, LinkSpec(("a", "b"), True, Shape(cut=True)))
    network.add_link(2, LinkSpec(("fronts", "boxes"), False, Shape(delay_ms=5)))
    assert (
        network.effective_shape("front-0", "front-1").cut
        and not network.effective_shape("front-1", "front-0").cut
    )
    assert network.effective_shape("front-0", "box-1") == Shape(delay_ms=5, cut=True)
    assert network.effective_shape("box-1", "front-0") == Shape(delay_ms=5)
    network.remove_link(1)
    assert network.effective_shape("front-0", "front-1") == UNIMPAIRED
    assert network.effective_shape("list", "front-0") == UNIMPAIRED
