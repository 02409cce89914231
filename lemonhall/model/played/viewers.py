"""Viewers in simulated time: they ask, watch, give up, vanish, come again, as the stand-ins' do."""

from __future__ import annotations

from math import ceil
from typing import Any

from lemonhall.audit.trace import SetUpRequest as SeenAsk
from lemonhall.interface import Repeat
from lemonhall.model.played.draws import Wish
from lemonhall.model.played.fronts import Ask, Front
from lemonhall.model.played.parts import Stage

TRIES_MOST = 4
TOLD_SPREAD_S = 0.5  # as the stand-ins'
LEAST_MS = 300.0  # with less left to see, nobody comes again


class Viewer:
    """One person's current try."""

    def __init__(self, world: Stage, wish: Wish) -> None:
        self.world, self.wish = world, wish
        self.stop_at = wish.at + wish.length_ms
        self.front: Front | None = None
        self.ask: Ask | None = None
        self.seen: SeenAsk | None = None
        self.state = "away"
        self.playing_at = 0.0
        self.moving = False
        self.told_ms = 0.0  # when to come again, by the last refusal
        self.timers: list[Any] = []

    def start(self) -> None:
        """One try: it goes to a front of its hall."""
        world, wish = self.world, self.wish
        wish.tries += 1
        draw = world.named.uniform("front", wish.number, wish.tries)
        fronts = world.fronts_at(wish)
        front = fronts[min(len(fronts) - 1, int(len(fronts) * draw**1.2))]
        self.front, self.state, self.moving = front, "connecting", False
        wait = world.hop() * (4 if world.named.uniform("describes", wish.number, wish.tries) < 0.3 else 2)
        world.sim.after(wait, self.play)

    def play(self) -> None:
        world, wish, front = self.world, self.wish, self.front
        assert front
        if not front.up:
            world.trace.rejected_tries.append((world.sim.now, wish.cls))
            self.again(None)
            return
        cls = world.day.terms.classes[wish.cls]
        token = f"{wish.number}.{wish.tries}"
        self.seen = SeenAsk(
            token,
            world.sim.now,
            wish.cls,
            wish.tenant,
            f"{wish.path}title-{wish.title}",
            front.name,
            cls.deadline_ms,
            wish.length_ms,
            wish.top,
            wish.tries,
            f"{wish.number}.{wish.claim}" if self.has_claim else "",
        )
        world.trace.requests[token] = self.seen
        self.state = "asked"
        self.ask = front.ask(self, token)
        self.later(cls.deadline_ms + world.day.terms.answer_grace_ms, self.give_up)
        if wish.vanishes:
            self.later(world.named.uniform("vanishes", wish.number, wish.tries, 1.0, 30.0), self.vanish)

    @property
    def has_claim(self) -> bool:
        """Whether what it asks for is a paid claim that fronts write down."""
        day = self.world.day
        return day.keep and day.terms.classes[self.wish.cls].repeat is Repeat.PAID

    def later(self, ms: float, call: Any) -> None:
        self.timers.append(self.world.sim.after(ms, call))

    def drop_timers(self) -> None:
        for timer in self.timers:
            timer.cancel()
        self.timers = []

    def answer(self, token: str, status: int) -> None:
        if self.seen is None or self.seen.token != token:
            return
        self.seen.answers.append((self.world.sim.now, status))
        if self.state != "asked":
            return
        self.drop_timers()
        if status == 200:
            self.state = "playing"
            self.wish.claim += 1  # what is asked for after this is asked for anew
            self.wish.claim_front, self.wish.claim_ran = "", False
            self.playing_at = self.world.sim.now
            self.later(self.wish.length_ms - self.wish.watched_ms, self.finish)
        else:
            self.again(status)

    def finish(self) -> None:
        self.leave()

    def leave(self) -> None:
        """Its try is over; the front is told, if it is still there."""
        self.drop_timers()
        self.state = "away"
        ask, self.ask = self.ask, None
        if ask and self.front and self.front.up:
            self.world.sim.after(self.world.hop(), self.front.viewer_gone, ask)

    def give_up(self) -> None:
        assert self.seen
        self.seen.left_at = min(self.seen.left_at, self.world.sim.now)
        self.again(None)

    def vanish(self) -> None:
        """Drops in the middle of its set-up, without a word."""
        if self.state == "asked" and self.seen:
            self.seen.left_at, self.seen.vanished = self.world.sim.now, True
            self.leave()

    def broken(self, token: str) -> None:
        if self.state == "playing" and self.seen and self.seen.token == token:
            self.wish.watched_ms += self.world.sim.now - self.playing_at
            self.again(None)

    def lost(self) -> None:
        """Its connection broke: the front was killed, or the worker that it was at."""
        self.ask = None
        if self.seen and not self.seen.answers:
            self.seen.closed_at, self.seen.closed_by_front = self.world.sim.now, True
        if self.state == "playing" and self.seen:
            self.broken(self.seen.token)
        elif self.state != "away":
            self.again(None)

    def again(self, status: int | None) -> None:
        """Most come again after a break or a refusal; a paid session that failed is not asked for again."""
        world, wish, state = self.world, self.wish, self.state
        self.leave()
        paid = world.day.terms.classes[wish.cls].repeat is Repeat.PAID
        failed = status is not None and status not in (453, 503)
        gone = world.sim.now >= self.stop_at or wish.length_ms - wish.watched_ms < LEAST_MS
        if gone or wish.tries >= TRIES_MOST or (failed and paid):
            return
        if state == "asked" and status is None and paid and not self.has_claim:
            return  # it may run, and nobody could tell that it is the same
        if world.named.uniform("again", wish.number, wish.tries) < world.day.again:
            pause = world.named.uniform("pause", wish.number, wish.tries, *world.day.pause_ms)
            if status == 503:  # told in whole seconds; not before that, nor all at once
                draw = world.named.uniform("told", wish.number, wish.tries)
                pause = max(pause, 1000 * (ceil(self.told_ms / 1000) + TOLD_SPREAD_S * draw))
            world.sim.after(pause, self.start)
