"""Viewers: they ask, watch, give up, vanish, come again. One process plays all of a day's."""

from __future__ import annotations

import bisect
import itertools
import time
from dataclasses import dataclass
from random import Random
from typing import Any

from lemonhall.config.day import Day, Mix
from lemonhall.interface import Repeat
from lemonhall.loop import Handler, Loop, Stream
from lemonhall.loop.event_loop import Timer
from lemonhall.rtsp import FrameRun, Parser, Request, Response, rtp
from lemonhall.rtsp.messages import make_request
from lemonhall.rtsp.parser import split_frames
from lemonhall.standins.control import say
from lemonhall.standins.tap import Tap

TOLD_SPREAD_S = 0.5  # viewers who were told when to come again come so much later at most
RAMP_MS = 400.0  # the first arrivals are spread out


@dataclass
class Wish:
    """What one person wants to see, over all tries. Times in ms of the monotonic clock."""

    number: int
    mix: Mix
    title: int
    length_ms: float
    hall: int
    top: int
    vanishes: bool
    tries: int = 0
    watched_ms: float = 0.0
    stop_at: float = 0.0
    claim: str = ""  # a paid claim's token, until it has been answered


class Viewer(Handler):
    """One try: a connection, SETUP, PLAY, media, TEARDOWN."""

    def __init__(self, crowd: Crowd, wish: Wish, front: str) -> None:
        self.crowd, self.wish, self.front = crowd, wish, front
        self.ask = f"{wish.number}.{wish.tries}"
        self.conn = next(crowd.conns)
        self.parser = Parser()
        self.state = "connecting"
        self.session = ""
        self.cseq = 0
        self.asked_at = self.playing_at = 0.0
        self.media_seen = False
        self.timers: list[Timer] = []
        self.over = False
        host, port = crowd.fronts[front]
        self.url = f"rtsp://{host}:{port}{wish.mix.path}title-{wish.title}?ask={self.ask}"
        self.stream = Stream.connect(crowd.loop, (host, port), self, 2.0)

    def send(self, method: str, url: str, *headers: tuple[str, str]) -> None:
        self.cseq += 1
        session = [("Session", self.session)] if self.session else []
        request = make_request(method, url, self.cseq, *session, *headers)
        self.crowd.tap.message("viewer", self.conn, "out", request)
        self.stream.write(request.encode())

    def on_connected(self) -> None:
        self.crowd.tap.write("viewer", self.conn, "open", front=self.front, ask=self.ask)
        self.state = "describing"
        if self.crowd.random.random() < 0.3:
            self.send("DESCRIBE", self.url, ("Accept", "application/sdp"))
            self.later(3000.0, self.give_up)
        else:
            self.set_up()

    def set_up(self) -> None:
        self.state = "set-up"
        claim = [("X-Claim", self.wish.claim)] if self.wish.claim else []
        self.send(
            "SETUP",
            f"{self.url}/trackID=0",
            ("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1"),
            ("X-Viewer", str(self.wish.number)),
            ("X-Top-Rung", str(self.wish.top)),
            ("X-Again", "1" if self.wish.tries > 1 else "0"),
            *claim,
        )
        self.later(3000.0, self.give_up)

    def later(self, ms: float, call: Any) -> None:
        self.timers.append(self.crowd.loop.call_later(ms / 1000, call))

    def on_data(self, view: memoryview) -> None:
        for event in self.parser.feed(view):
            if isinstance(event, Response):
                self.crowd.tap.message("viewer", self.conn, "in", event)
                self.on_response(event)
            elif isinstance(event, FrameRun):
                self.on_frames(event)
            elif isinstance(event, Request):
                self.crowd.tap.message("viewer", self.conn, "in", event)

    def on_response(self, response: Response) -> None:
        if self.state == "describing" and not self.over:
            self.drop_timers()
            self.set_up()
        elif self.state == "set-up" and not self.over:
            self.drop_timers()
            if response.status != 200:
                self.again_or_done(response)
                return
            self.session = response.session
            self.wish.claim = response.headers.get("X-Claim")
            self.state = "asked"
            self.asked_at = time.monotonic() * 1000
            cls = self.crowd.day.terms.classes[self.wish.mix.cls]
            self.send("PLAY", self.url, ("Range", "npt=0.000-"))
            self.crowd.tap.write(
                "viewer",
                self.conn,
                "ask",
                ask=self.ask,
                cls=self.wish.mix.cls,
                tenant=self.wish.mix.tenant,
                title=f"{self.wish.mix.path}title-{self.wish.title}",
                front=self.front,
                deadline=cls.deadline_ms,
                length=self.wish.length_ms,
                top=self.wish.top,
                tries=self.wish.tries,
                claim=self.wish.claim,
                cseq=str(self.cseq),
            )
            grace = self.crowd.day.terms.answer_grace_ms
            self.later(cls.deadline_ms + grace, self.give_up)
            if self.wish.vanishes:
                self.later(self.crowd.random.uniform(1.0, 30.0), self.vanish)
        elif self.state == "asked":
            self.drop_timers()
            if response.status == 200:
                self.state = "playing"
                self.wish.claim = ""  # what is asked for after this is asked for anew
                self.playing_at = time.monotonic() * 1000
                self.later(self.wish.length_ms - self.wish.watched_ms, self.finish)
            else:
                self.again_or_done(response)

    def on_frames(self, run: FrameRun) -> None:
        if run.is_rtcp:
            try:
                packets = rtp.parse_rtcp(split_frames(run.data)[0][1])
            except ValueError:
                return
            if any(p.packet_type == rtp.BYE for p in packets):
                self.crowd.tap.write("viewer", self.conn, "bye", ask=self.ask)
                self.broken()
        elif not self.media_seen:
            self.media_seen = True
            self.crowd.tap.write("viewer", self.conn, "media", ask=self.ask)

    def broken(self) -> None:
        if self.state == "playing" and not self.over:
            self.wish.watched_ms += time.monotonic() * 1000 - self.playing_at
            self.again_or_done(None)

    def on_closed(self, reason: str) -> None:
        self.crowd.tap.write("viewer", self.conn, "close", ask=self.ask, reason=reason)
        if self.over:
            return
        if self.state == "playing":
            self.broken()
        else:
            self.again_or_done(None)

    def drop_timers(self) -> None:
        for timer in self.timers:
            timer.cancel()
        self.timers = []

    def leave(self) -> None:
        self.over = True
        self.drop_timers()
        self.crowd.open.discard(self)
        if self.stream.open:
            self.stream.close()

    def finish(self) -> None:
        self.send("TEARDOWN", self.url)
        self.leave()

    def give_up(self) -> None:
        self.crowd.tap.write("viewer", self.conn, "gave-up", ask=self.ask, state=self.state)
        self.again_or_done(None)

    def vanish(self) -> None:
        """Drops in the middle of its set-up, without a word."""
        if self.state == "asked":
            self.crowd.tap.write("viewer", self.conn, "vanished", ask=self.ask)
            self.over = True
            self.drop_timers()
            self.crowd.open.discard(self)
            self.stream.abort()

    def again_or_done(self, response: Response | None) -> None:
        """Most come again after a break or a refusal; a paid session that failed is not asked for again."""
        if self.over:
            return
        self.leave()
        crowd, wish = self.crowd, self.wish
        if self.state in ("connecting", "describing", "set-up"):
            crowd.tap.write("viewer", self.conn, "turned-away", ask=self.ask, cls=wish.mix.cls)
        cls = crowd.day.terms.classes[wish.mix.cls]
        failed = response is not None and response.status not in (453, 503)
        gone = time.monotonic() * 1000 >= wish.stop_at or wish.length_ms - wish.watched_ms < 300
        if gone or wish.tries >= 4 or (failed and cls.repeat is Repeat.PAID):
            return
        unsure = self.state == "asked" and response is None and cls.repeat is Repeat.PAID
        if unsure and not wish.claim:  # it may run, and nobody could tell that it is the same
            return
        if crowd.random.random() < crowd.day.again:
            pause = crowd.random.uniform(*crowd.day.pause_ms)
            told = response.headers.get("Retry-After") if response is not None else ""
            if told.isdigit():  # not before that, nor all of them at once
                pause = max(pause, 1000 * (int(told) + TOLD_SPREAD_S * crowd.random.random()))
            crowd.loop.call_later(pause / 1000, crowd.start, wish)


class Crowd:
    """All viewers of a day: arrivals drawn ahead from the seed, so that a day asks for the same each time."""

    def __init__(self, loop: Loop, tap: Tap, day: Day, seed: int) -> None:
        self.loop, self.tap, self.day = loop, tap, day
        self.random = Random(f"{seed}/conduct")
        self.fronts: dict[str, tuple[str, int]] = {}
        self.conns = itertools.count(1)
        self.open: set[Viewer] = set()
        self.begun = 0.0
        self.left = 0
        self.wishes = draw(day, seed)

    def command(self, asked: dict[str, Any]) -> None:
        if asked["do"] == "fronts":
            for name, at in asked["fronts"].items():
                host, _, port = at.rpartition(":")
                self.fronts[name] = (host, int(port))
        elif asked["do"] == "go":
            self.begun = time.monotonic() * 1000
            for at, wish in self.wishes:
                self.left += 1
                self.loop.call_later(at / 1000, self.first, wish)
            self.loop.call_later(0.1, self.watch)
        else:
            raise ValueError(f"no command of viewers: {asked['do']}")

    def first(self, wish: Wish) -> None:
        self.left -= 1
        wish.stop_at = time.monotonic() * 1000 + wish.length_ms
        self.start(wish)

    def start(self, wish: Wish) -> None:
        day = self.day
        halls = [f.name for f in day.fronts if f.hall == wish.hall]
        names = [wish.mix.front] if wish.mix.front else halls or [f.name for f in day.fronts]
        wish.tries += 1
        self.open.add(
            Viewer(self, wish, names[min(len(names) - 1, int(len(names) * self.random.random() ** 1.2))])
        )

    def watch(self) -> None:
        """Says when the day's viewers have all come and gone, or their time is over."""
        late = time.monotonic() * 1000 > self.begun + self.day.length_ms
        if late and not self.left and not self.open:
            say(done=True)
            return
        self.loop.call_later(0.1, self.watch)


def draw(day: Day, seed: int) -> list[tuple[float, Wish]]:
    """Arrivals in ms from the start, Poisson for each mix, more of them in a surge; titles by Zipf's law."""
    found: list[tuple[float, Wish]] = []
    number = itertools.count(1)
    rungs = len(day.terms.ladder_kb)
    halls = sorted({f.hall for f in day.fronts})
    for which, mix in enumerate(day.mixes):
        random = Random(f"{seed}/arrivals/{which}")
        weights = list(itertools.accumulate(1 / n for n in range(1, mix.titles + 1)))
        surges = [
            f for f in day.faults if f.kind == "surge" and day.terms.tenant_names[mix.tenant] in f.targets
        ]
        most = mix.per_s * max([1.0, *(1 + f.part for f in surges)])
        at = RAMP_MS * random.random()
        while most > 0:
            at += random.expovariate(most) * 1000
            if at >= day.length_ms:
                break
            if not mix.since_ms <= at < mix.until_ms:
                continue
            now = mix.per_s * (1 + sum(f.part for f in surges if f.at_ms <= at < f.at_ms + f.for_ms))
            if random.random() * most >= now:
                continue
            title = bisect.bisect(weights, random.random() * weights[-1])
            found.append(
                (
                    at,
                    Wish(
                        next(number),
                        mix,
                        title,
                        random.uniform(*mix.length_ms),
                        random.choice(halls),
                        rungs - 1 if random.random() > 0.2 else max(1, rungs - 2),
                        random.random() < day.drop,
                    ),
                )
            )
    return sorted(found, key=lambda pair: pair[0])
