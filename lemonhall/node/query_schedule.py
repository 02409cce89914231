"""When to query discovery, and which of the queries that were sent may still be answered.

An answer is of use however late it comes, so a query is repeated without being forgotten. How long answers
take sets the pace: a discovery that is slow, or that works through a queue, gets fewer queries, never more.
"""

from __future__ import annotations

from random import Random

from lemonhall.node import bounds


class QuerySchedule:
    """The queries to one address. Times are seconds of the caller's clock."""

    def __init__(self, now: float, random: Random) -> None:
        self.random = random
        self.sent_at: dict[int, float] = {}  # of the queries without an answer, by id, oldest first
        self.newest_id: int | None = None  # the last query, while it has no answer
        self.answer_time_s = 0.0  # the longest of late
        self.next_query_at = now
        self.retry_s = bounds.DNS_FIRST_RETRY_S

    def is_open(self, query_id: int) -> bool:
        """Whether a query with this id was sent and has no valid answer yet."""
        return query_id in self.sent_at

    def on_query(self, now: float, query_id: int) -> None:
        """A query was sent; it is repeated unless an answer comes."""
        self.sent_at[query_id] = now
        if len(self.sent_at) > bounds.DNS_MAX_OPEN_QUERIES:
            del self.sent_at[next(iter(self.sent_at))]
        self.newest_id = query_id
        # Without jitter, fronts of one pace could lose their queries in step, again and again.
        jitter = self.random.uniform(1.0, bounds.DNS_MAX_JITTER)
        self.next_query_at = now + jitter * max(self.retry_s, self.min_spacing_s)
        self.retry_s = min(bounds.DNS_MAX_RETRY_S, self.retry_s * bounds.DNS_RETRY_GROWTH)

    def on_answer(self, now: float, query_id: int) -> None:
        """A valid answer to an open query. One to an older query does not delay the next query."""
        took_s = now - self.sent_at.pop(query_id)
        self.retry_s = bounds.DNS_FIRST_RETRY_S
        if query_id != self.newest_id:
            self.answer_time_s = max(took_s, bounds.DNS_ANSWER_TIME_DECAY * self.answer_time_s)
        else:
            self.answer_time_s = took_s  # nothing newer waits: discovery keeps up
            self.newest_id = None
            self.next_query_at = now + bounds.DNS_QUERY_INTERVAL_S

    @property
    def min_spacing_s(self) -> float:
        """Between queries without an answer: a few in flight if answers are slow, then one."""
        if self.answer_time_s <= bounds.DNS_FIRST_RETRY_S:
            return 0.0
        pipelined_s = min(bounds.DNS_SLOW_SPACING_S, self.answer_time_s / bounds.DNS_MAX_IN_FLIGHT)
        crowding_s = max(0.0, self.answer_time_s - bounds.DNS_CROWDED_ANSWER_S)
        spacing_s = pipelined_s + bounds.DNS_CROWDED_SPACING * crowding_s
        return min(bounds.DNS_MAX_SPACING_S, max(bounds.DNS_QUERY_INTERVAL_S, spacing_s))
