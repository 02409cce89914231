"""Times behind a relay: a front is judged by when it sent and received, not by delays on the way."""

from __future__ import annotations

from math import inf
from typing import Any

from lemonhall.audit.rules import attempts_at_once, unanswered
from lemonhall.audit.trace import TapRecord, Trace, TraceReader
from lemonhall.config.settings import Terms
from lemonhall.interface import ServerState


def server_record(t: float, what: str, **more: Any) -> TapRecord:
    return {"t": t, "who": "box:b0", "conn": 1, "what": what, **more}


def relay_record(t: float, what: str, port: int, count: int = 0) -> TapRecord:
    return {"t": t, "who": "links", "conn": 0, "what": what, "port": port, "bytes": count}


def set_up_record(t: float, read: int) -> TapRecord:
    headers = {"Via": "RTSP/1.0 front-0", "Bandwidth": "8000"}
    url = "rtsp://h/x?ask=1.1/trackID=0"
    return server_record(
        t, "request", way="in", method="SETUP", url=url, cseq="1", headers=headers, read=read
    )


def read_trace(*records: TapRecord) -> Trace:
    return TraceReader().read(sorted(records, key=lambda r: r["t"]))


def test_delayed_set_up_is_open_from_its_sending_until_the_front_closed() -> None:
    trace = read_trace(
        relay_record(0, "through", 7),
        server_record(1, "open", life=1, port=7),
        relay_record(10, "came", 7, 100),
        relay_record(300, "left", 7, 100),
        set_up_record(4000, 100),
        server_record(4001, "close", reason="reset"),
    )
    (attempt,) = trace.attempts
    assert (attempt.at, attempt.end) == (10, 300)


def test_set_up_without_a_relay_has_the_times_of_the_server() -> None:
    trace = read_trace(
        server_record(1, "open", life=1, port=7),
        set_up_record(40, 100),
        server_record(90, "close", reason="eof"),
    )
    (attempt,) = trace.attempts
    assert (attempt.at, attempt.end) == (40, 90)


def test_late_reading_of_a_stand_in_is_not_charged_to_the_front(terms: Terms) -> None:
    """A stand-in that was not scheduled reads late: the first attempt's end, read at 1500, arrived before.

    The second server reads its set-up at 900. `since` is the earliest arrival of the end, `ago` the time by
    which the set-up arrived before it was read.
    """

    def second_set_up(ago: float) -> TapRecord:
        other_server = {"t": 900, "who": "box:b1", "conn": 1}
        return {**set_up_record(900, 100), **other_server, "ago": ago}

    def violations(since: float, ago: float = 0.0) -> list[str]:
        end = server_record(1500, "close", reason="reset", since=since)
        opens = [
            server_record(1, "open", life=1, port=7),
            {**server_record(2, "open", life=1, port=8), "who": "box:b1"},
        ]
        return attempts_at_once(read_trace(*opens, set_up_record(40, 100), second_set_up(ago), end), terms)

    assert not violations(since=880) and not violations(since=1100)
    assert violations(since=1101) and violations(since=1500)  # the first attempt was still open
    # The arrival of the second set-up counts.
    assert violations(since=1001, ago=100) and not violations(since=1000, ago=100)


def list_record(t: float, port: int, sent: int) -> TapRecord:
    states = {"5": int(ServerState.DRAINING)}
    update = {"front": "front-0", "full": False, "boxes": states, "port": port, "sent": sent}
    return {"t": t, "who": "list", "conn": 1, "what": "told", **update}


def test_list_update_counts_from_when_the_relay_forwarded_it() -> None:
    trace = read_trace(
        relay_record(0, "through", 7),
        list_record(10, 7, 50),
        list_record(20, 7, 90),
        relay_record(5000, "told", 7, 60),
    )
    assert [t for t, *_ in trace.list_updates] == [5000]  # the second is not forwarded yet
    assert [t for t, *_ in read_trace(list_record(10, 8, 50)).list_updates] == [10]  # no relay


def request_trace(*more: TapRecord) -> Trace:
    request = {
        "ask": "1.1", "cls": 0, "tenant": 0, "title": "/t", "front": "front-0", "deadline": 1000.0,
        "length": 1000.0, "top": 3, "tries": 1, "cseq": "2",
    }  # fmt: skip
    return read_trace({"t": 100, "who": "viewer", "conn": 1, "what": "ask", **request}, *more)


def day_record(t: float, what: str) -> TapRecord:
    return {"t": t, "who": "day", "conn": 0, "what": what, "front": "front-0"}


def delay_record(t: float, what: str, front: str = "front-0") -> TapRecord:
    return {"t": t, "who": "links", "conn": 0, "what": what, "from": "viewers", "there": front}


def test_frozen_front_need_not_answer_before_it_runs_again(terms: Terms) -> None:
    assert len(unanswered(request_trace(), terms)) == 1
    assert (
        unanswered(request_trace(day_record(50, "front-frozen"), day_record(2000, "front-thawed")), terms)
        == []
    )
    assert (
        len(unanswered(request_trace(day_record(5, "front-frozen"), day_record(50, "front-thawed")), terms))
        == 1
    )
    assert len(unanswered(request_trace(day_record(9000, "front-frozen")), terms)) == 1


def test_front_with_delayed_links_to_its_viewers_need_not_answer(terms: Terms) -> None:
    assert unanswered(request_trace(delay_record(50, "late"), delay_record(2000, "fine")), terms) == []
    assert len(unanswered(request_trace(delay_record(5, "late"), delay_record(50, "fine")), terms)) == 1
    assert len(unanswered(request_trace(delay_record(50, "late", "front-1")), terms)) == 1
    assert request_trace(delay_record(50, "late")).front_delays == [(50, inf, "front-0")]
