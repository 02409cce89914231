"""Claims that come again: their own front is asked before anything is set up. What the answers mean is the
ledger's to say (`lemonhall.store.claims`); here they are sent, sent again, and waited for."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

from lemonhall.front.persistence.store_service import StoreService
from lemonhall.loop import Loop, Timer
from lemonhall.members.members_pb2 import ASK_CLAIM, CLAIM, Message
from lemonhall.store import Answer, Begun, Standing, Token, Verdict

AGAIN_S = 0.05  # an answer is asked for anew after
Then = Callable[[Begun], object]


class Carrier(Protocol):
    """The members' socket: to a front by its number, or back to where a message came from."""

    number: int

    def send_to_front(self, number: int, message: Any) -> bool: ...


@dataclass
class Waiting:
    """A viewer waits here for word from `begun.front`."""

    begun: Begun
    until: float
    then: Then
    hops: int = 0
    timer: Timer | None = None


class ClaimResolver:
    """Each `then` is called once: with `GO`, `RAN` or `UNKNOWN`."""

    def __init__(self, loop: Loop, store_service: StoreService | None, messenger: Carrier | None) -> None:
        self.loop, self.store_service, self.messenger = loop, store_service, messenger
        self.waiting: dict[Token, Waiting] = {}
        self.counts = Counter[str]()

    def begin(self, token: Token, within_s: float, then: Then) -> None:
        """`then` follows at once if this front knows by itself, else within the time."""
        if earlier := self.waiting.get(token):  # the same claim again: whoever came last is the viewer
            self.finish(token, earlier, Begun(Verdict.UNKNOWN))
        if self.store_service is None:
            then(Begun(Verdict.UNKNOWN))
            return
        begun = self.store_service.ledger.begin(token, self.store_service.wall())
        if begun.verdict is not Verdict.ASK:
            then(begun)
            return
        wait = self.waiting[token] = Waiting(begun, self.loop.now() + within_s, then)
        self.ask(token, wait)

    def ask(self, token: Token, wait: Waiting) -> None:
        """Again and again until an answer or the end of the time: datagrams may be lost."""
        if self.waiting.get(token) is not wait:
            return
        if self.loop.now() >= wait.until or self.messenger is None or self.store_service is None:
            self.finish(token, wait, Begun(Verdict.UNKNOWN))
            return
        self.counts["asked"] += 1
        message = Message(
            kind=ASK_CLAIM,
            sender=self.messenger.number,
            claim=token.key,
            turn=wait.begun.turn,
            own_store=self.store_service.number,
            store=wait.begun.store,
        )
        self.messenger.send_to_front(wait.begun.front, message)
        wait.timer = self.loop.call_later(AGAIN_S, self.ask, token, wait)

    def finish(self, token: Token, wait: Waiting, begun: Begun) -> None:
        self.waiting.pop(token, None)
        if wait.timer:
            wait.timer.cancel()
        self.counts[begun.verdict.value] += 1
        wait.then(begun)

    def on_message(self, message: Any) -> None:
        """A message about a claim, opened and from a member."""
        try:
            token = Token.of_key(message.claim)
        except Exception:  # of another version, or none
            self.counts["unreadable"] += 1
            return
        if message.kind == ASK_CLAIM:
            self.asked(token, message)
        elif message.kind == CLAIM:
            self.answered(token, message)

    def asked(self, token: Token, message: Any) -> None:
        if self.messenger is None:
            return
        answer: Answer | None = Answer(None)
        write = None
        if self.store_service:
            by = (message.sender, message.own_store)
            wall = self.store_service.wall()
            answer, write = self.store_service.ledger.asked(token, by, message.store, message.turn, wall)
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

    def reply(self, to: int, message: Any, why: str) -> None:
        """Once what it says is on disk; if it could not be written, nothing is said and they ask again."""
        if self.messenger and not why:
            self.messenger.send_to_front(to, message)

    def answered(self, token: Token, message: Any) -> None:
        wait = self.waiting.get(token)
        if wait is None or message.sender != wait.begun.front or self.store_service is None:
            return  # an old answer, or a doubled one
        standing = Standing(message.standing) if message.standing in set(Standing) else None
        answer = Answer(standing, message.turn, message.to, message.store)
        wait.hops += 1
        begun = self.store_service.ledger.answered(token, answer, wait.hops)
        if begun.verdict is Verdict.ASK:
            if wait.timer:
                wait.timer.cancel()
            wait.begun = begun
            self.ask(token, wait)
        else:
            self.finish(token, wait, begun)
