"""What relays noted: a front answers for when it sent and was told, not for what was held on the way."""

from __future__ import annotations

from math import inf
from typing import Any

from lemonhall.audit.rules import attempts_at_once, unanswered
from lemonhall.audit.trace import Reader, Record, Trace
from lemonhall.config.settings import Terms
from lemonhall.interface import ServerState


def box(t: float, what: str, **more: Any) -> Record:
    return {"t": t, "who": "box:b0", "conn": 1, "what": what, **more}


def link(t: float, what: str, port: int, count: int = 0) -> Record:
    return {"t": t, "who": "links", "conn": 0, "what": what, "port": port, "bytes": count}


def set_up(t: float, read: int) -> Record:
    headers = {"Via": "RTSP/1.0 front-0", "Bandwidth": "8000"}
    url = "rtsp://h/x?ask=1.1/trackID=0"
    return box(t, "request", way="in", method="SETUP", url=url, cseq="1", headers=headers, read=read)


def read(*records: Record) -> Trace:
    return Reader().read(sorted(records, key=lambda r: r["t"]))


def test_a_set_up_that_was_held_counts_from_when_it_was_sent_to_when_it_was_given_up() -> None:
    trace = read(
        link(0, "through", 7),
        box(1, "open", life=1, port=7),
        link(10, "came", 7, 100),
        link(300, "left", 7, 100),
        set_up(4000, 100),
        box(4001, "close", reason="reset"),
    )
    (attempt,) = trace.attempts
    assert (attempt.at, attempt.end) == (10, 300)


def test_one_that_passed_at_once_counts_as_the_box_saw_it() -> None:
    trace = read(box(1, "open", life=1, port=7), set_up(40, 100), box(90, "close", reason="eof"))
    (attempt,) = trace.attempts
    assert (attempt.at, attempt.end) == (40, 90)


def test_a_stand_in_that_did_not_run_reads_late_what_came_in_time(terms: Terms) -> None:
    """The second server read its set-up at 900, the first one the end of its own at 1500: it came before."""

    def another(ago: float) -> Record:
        again = {"t": 900, "who": "box:b1", "conn": 1}
        return {**set_up(900, 100), **again, "ago": ago}

    def played(since: float, ago: float = 0.0) -> list[str]:
        end = box(1500, "close", reason="reset", since=since)
        opened = [box(1, "open", life=1, port=7), {**box(2, "open", life=1, port=8), "who": "box:b1"}]
        return attempts_at_once(read(*opened, set_up(40, 100), another(ago), end), terms)

    assert not played(since=880) and not played(since=1100)
    assert played(since=1101) and played(since=1500)  # it ran, and the first was out
    assert played(since=1001, ago=100) and not played(since=1000, ago=100)  # when the second came counts


def told(t: float, port: int, sent: int) -> Record:
    states = {"5": int(ServerState.DRAINING)}
    news = {"front": "front-0", "full": False, "boxes": states, "port": port, "sent": sent}
    return {"t": t, "who": "list", "conn": 1, "what": "told", **news}


def test_news_that_a_relay_held_are_told_when_they_came_out() -> None:
    trace = read(link(0, "through", 7), told(10, 7, 50), told(20, 7, 90), link(5000, "told", 7, 60))
    assert [t for t, *_ in trace.told] == [5000]  # the second is still on its way
    assert [t for t, *_ in read(told(10, 8, 50)).told] == [10]  # no relay between


def asked(*more: Record) -> Trace:
    ask = {
        "ask": "1.1", "cls": 0, "tenant": 0, "title": "/t", "front": "front-0", "deadline": 1000.0,
        "length": 1000.0, "top": 3, "tries": 1, "cseq": "2",
    }  # fmt: skip
    return read({"t": 100, "who": "viewer", "conn": 1, "what": "ask", **ask}, *more)


def day(t: float, what: str) -> Record:
    return {"t": t, "who": "day", "conn": 0, "what": what, "front": "front-0"}


def far(t: float, what: str, front: str = "front-0") -> Record:
    return {"t": t, "who": "links", "conn": 0, "what": what, "from": "viewers", "there": front}


def test_a_front_that_did_not_run_owes_no_answer_for_that_time_and_one_that_ran_does(terms: Terms) -> None:
    assert len(unanswered(asked(), terms)) == 1
    assert unanswered(asked(day(50, "front-frozen"), day(2000, "front-thawed")), terms) == []
    assert len(unanswered(asked(day(5, "front-frozen"), day(50, "front-thawed")), terms)) == 1
    assert len(unanswered(asked(day(9000, "front-frozen")), terms)) == 1


def test_nor_does_one_that_was_cut_off_from_its_viewers(terms: Terms) -> None:
    assert unanswered(asked(far(50, "late"), far(2000, "fine")), terms) == []
    assert len(unanswered(asked(far(5, "late"), far(50, "fine")), terms)) == 1
    assert len(unanswered(asked(far(50, "late", "front-1")), terms)) == 1
    assert asked(far(50, "late")).late == [(50, inf, "front-0")]
