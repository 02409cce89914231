"""Resolves claims that were made at another front: queries their own front before anything is set up.

What the answers mean is decided by the ledger (`lemonhall.store.claims`); this module sends the queries,
repeats them and waits for the answers.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

from lemonhall.front.persistence.store_service import StoreService
from lemonhall.loop import Loop, Timer
from lemonhall.members.members_pb2 import ASK_CLAIM, CLAIM, Message
from lemonhall.store import ClaimAnswer, ClaimDecision, Standing, Token, Verdict

RETRY_S = 0.05  # between repetitions of a query
Callback = Callable[[ClaimDecision], object]


class Messenger(Protocol):
    """Sends messages to other fronts, as `Membership` does. `number` is this front's."""

    number: int

    def send_to_front(self, number: int, message: Any) -> bool: ...


@dataclass
class PendingQuery:
    """A claim whose viewer waits for the answer of `decision.front`, until the loop time `deadline`."""

    decision: ClaimDecision
    deadline: float
    callback: Callback
    hops: int = 0
    timer: Timer | None = None


class ClaimResolver:
    """Each callback is called once, with `GO`, `RAN` or `UNKNOWN`."""

    def __init__(self, loop: Loop, store_service: StoreService | None, messenger: Messenger | None) -> None:
        self.loop, self.store_service, self.messenger = loop, store_service, messenger
        self.queries: dict[Token, PendingQuery] = {}
        self.counts = Counter[str]()

    def begin(self, token: Token, timeout_s: float, callback: Callback) -> None:
        """Calls back at once if this front can decide on the claim by itself, else within the timeout."""
        if earlier := self.queries.get(token):  # the same claim again: the latest request is the viewer's
            self.finish(token, earlier, ClaimDecision(Verdict.UNKNOWN))
        if self.store_service is None:
            callback(ClaimDecision(Verdict.UNKNOWN))
            return
        decision = self.store_service.ledger.decide(token, self.store_service.wall())
        if decision.verdict is not Verdict.ASK:
            callback(decision)
            return
        query = self.queries[token] = PendingQuery(decision, self.loop.now() + timeout_s, callback)
        self.send_query(token, query)

    def send_query(self, token: Token, query: PendingQuery) -> None:
        """Sends the query repeatedly until its answer or its deadline, since datagrams may be lost."""
        if self.queries.get(token) is not query:
            return
        if self.loop.now() >= query.deadline or self.messenger is None or self.store_service is None:
            self.finish(token, query, ClaimDecision(Verdict.UNKNOWN))
            return
        self.counts["asked"] += 1
        message = Message(
            kind=ASK_CLAIM,
            sender=self.messenger.number,
            claim=token.key,
            turn=query.decision.turn,
            own_store=self.store_service.store_id,
            store=query.decision.store,
        )
        self.messenger.send_to_front(query.decision.front, message)
        query.timer = self.loop.call_later(RETRY_S, self.send_query, token, query)

    def finish(self, token: Token, query: PendingQuery, decision: ClaimDecision) -> None:
        self.queries.pop(token, None)
        if query.timer:
            query.timer.cancel()
        self.counts[decision.verdict.value] += 1
        query.callback(decision)

    def on_message(self, message: Any) -> None:
        """Handles a decrypted message of another member about a claim."""
        try:
            token = Token.of_key(message.claim)
        except Exception:  # no token, or one of another version
            self.counts["unreadable"] += 1
            return
        if message.kind == ASK_CLAIM:
            self.on_query(token, message)
        elif message.kind == CLAIM:
            self.on_answer(token, message)

    def on_query(self, token: Token, message: Any) -> None:
        if self.messenger is None:
            return
        answer: ClaimAnswer | None = ClaimAnswer(None)
        write = None
        if self.store_service:
            requester = (message.sender, message.own_store)
            wall_s = self.store_service.wall()
            answer, write = self.store_service.ledger.answer_query(
                token, requester, message.store, message.turn, wall_s
            )
        if answer is None:
            return
        self.counts["answered"] += 1
        reply = Message(
            kind=CLAIM,
            sender=self.messenger.number,
            claim=token.key,
            turn=answer.turn,
            standing=int(answer.standing or 0),
            to=answer.to,
            store=answer.to_store,
        )
        if write and self.store_service:
            self.store_service.write(write, partial(self.reply, message.sender, reply))
        else:
            self.reply(message.sender, reply, "")

    def reply(self, recipient: int, message: Any, error: str) -> None:
        """Sends an answer whose content is on disk. After a write error none is sent; the query repeats."""
        if self.messenger and not error:
            self.messenger.send_to_front(recipient, message)

    def on_answer(self, token: Token, message: Any) -> None:
        query = self.queries.get(token)
        if query is None or message.sender != query.decision.front or self.store_service is None:
            return  # outdated or duplicate answer
        standing = Standing(message.standing) if message.standing in set(Standing) else None
        answer = ClaimAnswer(standing, message.turn, message.to, message.store)
        query.hops += 1
        decision = self.store_service.ledger.apply_answer(token, answer, query.hops)
        if decision.verdict is Verdict.ASK:
            if query.timer:
                query.timer.cancel()
            query.decision = decision
            self.send_query(token, query)
        else:
            self.finish(token, query, decision)
