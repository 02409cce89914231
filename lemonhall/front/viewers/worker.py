"""The carrying side of a front: viewers and their sessions, attempts, what the decider says of them.

A worker decides nothing of a session. It tells its decider what is asked and what happened, does what it is
told, and sees to three things by itself: one answer to each PLAY by its deadline, whatever becomes of the
decider; never two attempts at once nor more than allowed; and nothing of a paid attempt leaves before its
decider has cleared it. What holds when the decider is gone is `lemonhall.ipc.request_state`'s to say.
"""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random, SystemRandom
from typing import Any, Protocol

import structlog

from lemonhall.config.settings import FrontSettings
from lemonhall.front.servers.attempt import Attempt
from lemonhall.front.servers.descriptions import DescriptionCache
from lemonhall.front.servers.server_list import ServerListState, parse_address
from lemonhall.front.viewers import routes
from lemonhall.front.viewers.session import Ask, Session, State
from lemonhall.front.viewers.viewer import ViewerConnection
from lemonhall.interface import Outcome, Repeat
from lemonhall.ipc import (
    Announcement,
    AttemptFinished,
    AttemptRecorded,
    CancelAttempt,
    ChangeRung,
    DeadlineExpired,
    EndSession,
    FailRequest,
    Message,
    MoveSession,
    NextStep,
    OngoingSession,
    PlaybackStarted,
    RedirectViewers,
    RefuseRequest,
    RetireWorker,
    ServerNote,
    SessionClosed,
    SetUpRequested,
    StartAttempt,
    StoreStatus,
    ViewerGone,
    Welcome,
    encode,
)
from lemonhall.loop import Loop
from lemonhall.rtsp.messages import make_response
from lemonhall.store import Token

log = structlog.get_logger("lemonhall.front")
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
BACKSTOP_S = 0.05  # behind the deadline: by then the decider should have said something
STOP_S = 10.0  # a clean stop takes no longer
MEMORY_EVERY_S = 0.5
BUSY_PAUSE_MS = 2000.0  # advised to a viewer that nobody can decide about now
STATM, PAGE_BYTES = Path("/proc/self/statm"), 4096


class Uplink(Protocol):
    """To the decider, while there is one."""

    def send(self, message: Message) -> bool: ...


class Worker:
    """`number` is unique for the life of the front; `listed` the box list as this process has it."""

    def __init__(
        self,
        loop: Loop,
        settings: FrontSettings,
        number: int,
        listed: ServerListState,
        random: Random,
        now_ms: Callable[[], float],
        wall: Callable[[], float],
        counts: Counter[str] | None = None,
    ) -> None:
        self.loop, self.settings, self.number, self.listed = loop, settings, number, listed
        self.now_ms, self.wall, self.random = now_ms, wall, random
        self.counts = Counter[str]() if counts is None else counts
        self.tokens = Random(SystemRandom().getrandbits(64))  # must not come twice, whatever the seed
        self.uplink: Uplink | None = None
        self.link, self.links = 0, 0  # the number of the link that is there, 0: none; of the last one
        self.welcome: Welcome | None = None  # the last that was heard
        self.store_failing = False
        self.pruned_s = 0
        self.by_id: dict[str, Session] = {}
        self.asks: dict[int, Ask] = {}
        self.next_ask = (number << 32) + 1
        self.viewers: set[ViewerConnection] = set()
        self.descriptions = DescriptionCache(
            loop,
            listed.servers,
            listed.addresses.get,
            now_ms,
            settings.terms.warm_ms,
            Random(random.random()),
        )
        self.router = routes.table(settings.terms)
        self.share = 1  # of how many workers the limits of the front are
        self.host = ""
        self.stopping = self.draining = self.over_memory = False
        self.on_empty: Callable[[], object] = lambda: None  # nothing is left, after `retire`
        self.hear: dict[type[Message], Callable[[Any], object]] = {
            StartAttempt: self.set_up,
            AttemptRecorded: self.cleared,
            ChangeRung: self.set_rung,
            RefuseRequest: self.refused,
            FailRequest: self.failed,
            MoveSession: self.move,
            CancelAttempt: self.cancel,
            EndSession: self.finish_session,
            StoreStatus: self.stored,
            RedirectViewers: self.redirect,
            RetireWorker: self.retired,
        }

    def settle(self, settings: FrontSettings, share: int) -> None:
        """Other settings from now on, and how many share the front's limits."""
        self.settings, self.share = settings, share
        self.router = routes.table(settings.terms)

    # the link to the decider

    def heard(self, message: Message) -> bool:
        """The decider's word. False: it is not about sessions."""
        if act := self.hear.get(type(message)):
            act(message)
            return True
        return False

    def linked(self, uplink: Uplink, welcome: Welcome) -> None:
        """A decider is there: it hears of what is asked and what plays."""
        self.uplink, self.welcome = uplink, welcome
        self.pruned_s = welcome.pruned_s
        self.links += 1
        self.link = self.links
        for ask in list(self.asks.values()):
            self.tell(ask)

    def cut(self) -> None:
        """It is gone. What plays goes on; what has not left is dropped, and asked for again later."""
        if not self.link:
            return
        self.uplink, self.link = None, 0
        for ask in list(self.asks.values()):
            if ask.carry.on_connection_lost() and ask.attempt:
                attempt, ask.attempt = ask.attempt, None
                attempt.end(Outcome.MOOT)

    def say(self, message: Message) -> bool:
        return self.uplink is not None and self.uplink.send(message)

    def tell(self, ask: Ask) -> None:
        """Tells a new decider what it must know of an ask."""
        if not self.link or ask.answered and ask.attempt is None:
            return
        told = ask.carry.announce(self.link)
        if told is Announcement.REQUEST:
            said = ask.said
            paid = self.settings.terms.classes[said.cls].repeat is Repeat.PAID
            said.attempts_made, said.maybe_ran = ask.carry.attempts_made, ask.carry.unreported_run and paid
            said.unsent_turn, said.unsent_attempt = ask.carry.unsent_claim
            if not self.say(said):
                ask.carry.mark_unannounced()
                self.no_room(ask)
        elif told is Announcement.ONGOING_SESSION:
            self.tell_carried(ask)

    def tell_carried(self, ask: Ask) -> None:
        attempt = ask.attempt
        assert attempt
        attempt.number = 0  # the decider counts anew
        carry, since = ask.carry, ask.session.since or self.loop.now()
        told = (ask.number, attempt.server, ask.rung, carry.claim_turn, carry.claim_attempts, since)
        self.say(OngoingSession(*told, encode(ask.said), ask.memo))

    def no_room(self, ask: Ask) -> None:
        """Too much waits for the decider: this one is answered here."""
        self.counts["seam_full"] += 1
        self.answer_alone(ask)

    def stored(self, message: StoreStatus) -> None:
        self.store_failing, self.pruned_s = message.failing, message.pruned_s

    # viewers

    def accept(self, sock: socket.socket, peer: Any) -> None:
        most = -(-self.settings.limits.connections // self.share)
        if self.stopping or self.over_memory or len(self.viewers) >= most:
            self.counts["connections_refused"] += 1
            try:
                sock.setblocking(False)
                sock.send(make_response(503, "", ("Retry-After", "2")).encode())
            except OSError:
                pass
            sock.close()
            return
        self.counts["connections"] += 1
        self.viewers.add(ViewerConnection(self, sock, peer))

    def viewer_closed(self, viewer: ViewerConnection) -> None:
        self.viewers.discard(viewer)

    def no_more(self) -> str:
        """Why no session is taken now, as its counter is called; "" if one is."""
        if self.stopping or self.draining:
            return "refused_stopping"
        if self.over_memory:
            return "refused_memory"
        most = -(-self.settings.limits.sessions // self.share)
        return "over_limit" if len(self.by_id) >= most else ""

    def watch_memory(self) -> None:
        """Over the limit nothing new is taken until a tenth of it is free again; what plays goes on."""
        resident = int(STATM.read_text().split()[1]) * PAGE_BYTES
        most = self.settings.limits.memory
        was, self.over_memory = self.over_memory, resident > (0.9 * most if self.over_memory else most)
        if was != self.over_memory:
            log.warning("memory", over=self.over_memory, resident=resident, limit=most)
        self.loop.call_later(MEMORY_EVERY_S, self.watch_memory)

    def new_token(self) -> Token | None:
        """Of a new paid claim; None where no ledger is kept."""
        welcome = self.welcome
        if welcome is None or not welcome.store:
            return None
        serial = self.tokens.getrandbits(64)
        return Token.new(self.wall(), self.pruned_s, welcome.front, welcome.store, serial)

    # sessions

    def new_id(self) -> str:
        while (made := f"{self.random.getrandbits(64):016x}") in self.by_id:
            pass
        return made

    def add(self, session: Session) -> None:
        self.by_id[session.id] = session

    def forget(self, session: Session) -> None:
        if self.by_id.pop(session.id, None) and self.link:
            ask = session.ask
            played = (self.loop.now() - session.since) * 1000 if session.since else -1.0
            vanished = played < 0 and ask is not None and not ask.answered
            self.say(SessionClosed(played, vanished, session.id))
        session.viewer.sessions.pop(session.id, None)

    def begin_ask(self, session: Session, moved: bool) -> None:
        """The answer is owed from here, by this worker."""
        terms, asked = self.settings.terms, session.asked
        left_ms = max(1.0, terms.classes[asked.cls].deadline_ms - self.settings.limits.answer_margin_ms)
        number = self.next_ask
        self.next_ask += 1
        said = SetUpRequested(
            number,
            asked.cls,
            asked.tenant,
            asked.title,
            asked.first_cell,
            asked.cells,
            session.viewer_id,
            session.top,
            0,
            0,
            0,
            self.loop.now() + left_ms / 1000,
            moved,
            session.again,
            False,
            asked.route,
            asked.prefer,
            asked.pool,
            asked.key,
            session.id,
            session.path,
            session.viewer_name,
            str(session.claim or ""),
        )
        ask = session.ask = self.asks[number] = Ask(session, said, terms.max_attempts)
        ask.backstop = self.loop.call_at(ask.deadline + BACKSTOP_S, self.overdue, ask)
        self.tell(ask)

    def drop(self, ask: Ask) -> None:
        """Nothing more happens under it."""
        if ask.backstop:
            ask.backstop.cancel()
        self.asks.pop(ask.number, None)

    def finish(self, ask: Ask) -> bool:
        """Over without play: an attempt that is out is called off. Whether the decider knows of it."""
        known = ask.carry.close(self.link)
        attempt, ask.attempt = ask.attempt, None
        self.drop(ask)
        if attempt:
            attempt.end(Outcome.CANCELLED)
        return known

    def overdue(self, ask: Ask) -> None:
        """Nobody has decided in time. The viewer is answered all the same."""
        if ask.answered:
            return
        self.counts["answered_alone"] += 1
        self.answer_alone(ask)

    def answer_alone(self, ask: Ask) -> None:
        """With a pause if it is certain that nothing of it ran; else it has failed, as far as one can say."""
        maybe_ran = ask.carry.may_have_run()
        known = self.finish(ask)
        if known:
            self.say(DeadlineExpired(ask.number))
        if known or maybe_ran:
            ask.session.failed(504)
        else:
            ask.session.refused(BUSY_PAUSE_MS)

    def viewer_gone(self, session: Session) -> None:
        """The attempt that is out is let go of; the decider is told of its end when it comes."""
        ask = session.ask
        if ask is None or ask.number not in self.asks:
            return
        attempt = ask.attempt
        if ask.carry.close(self.link):
            self.say(ViewerGone(ask.number, attempt is not None))
        if attempt:
            attempt.teardown()
        else:
            self.drop(ask)

    # told by attempts

    def playing(self, ask: Ask, attempt: Attempt, took_ms: float) -> None:
        ask.answered = True
        if ask.backstop:
            ask.backstop.cancel()
        told = ask.carry.on_playing(self.link)
        if told is Announcement.REQUEST:
            self.say(PlaybackStarted(ask.number, attempt.number, attempt.server, took_ms, attempt.report))
        elif told is Announcement.ONGOING_SESSION:
            self.tell_carried(ask)

    def note(self, ask: Ask, attempt: Attempt, kind: int, value: float) -> None:
        if self.link and ask.carry.connection_id == self.link:
            self.say(ServerNote(ask.number, attempt.number, attempt.server, kind, value))

    def attempt_ended(self, ask: Ask, attempt: Attempt, outcome: Outcome, report: tuple[float, ...]) -> None:
        session, now = ask.session, self.loop.now()
        left = attempt.may_have_run
        known_over = ask.attempt is not attempt  # called off: its ask has had its last word
        then = ask.carry.on_attempt_ended(self.link, left, outcome in NEVER_RAN)
        gone = session.state is State.ENDED
        closed = known_over or ask.answered or gone
        if then is NextStep.REPORT:
            played_ms = (now - session.since) * 1000 if ask.answered else 0.0
            took_ms = (now - attempt.started_at) * 1000
            ids = (ask.number, attempt.number, attempt.server, int(outcome), took_ms, played_ms)
            self.say(AttemptFinished(*ids, left, closed, session.state is State.MOVING, gone, report))
        if known_over:
            return
        ask.attempt = None
        if not closed:
            if then is NextStep.RESUBMIT:
                self.tell(ask)
            return
        self.drop(ask)
        if session.ask is not ask:
            return
        if session.state is State.PLAYING:
            session.end("end" if outcome == Outcome.OK else "broken")
        elif session.state is State.MOVING:
            pause_s = self.settings.limits.move_pause_ms / 1000
            self.loop.call_later(pause_s, self.ask_again, session, ask)

    def ask_again(self, session: Session, left: Ask) -> None:
        if session.state is State.MOVING and session.ask is left:
            self.begin_ask(session, moved=True)

    # said by the decider

    def set_up(self, m: StartAttempt) -> None:
        ask = self.asks.get(m.request_id)
        address = parse_address(m.address) if m.address[:1] != "/" else m.address
        may = ask is not None and address is not None and ask.attempt is None and not ask.answered
        may = may and ask is not None and ask.session.state in (State.ASKED, State.MOVING)
        if not (
            may
            and ask
            and ask.carry.start_attempt(
                self.link, m.attempt, m.wait_for_ledger, m.claim_turn, m.claim_attempts
            )
        ):
            over = ask is None or ask.session.state is State.ENDED
            moot = (m.request_id, m.attempt, m.server, int(Outcome.MOOT), 0.0, 0.0)
            self.say(AttemptFinished(*moot, False, over, False, over, ()))
            return
        assert address is not None
        session = ask.session
        host = address if isinstance(address, str) else f"{address[0]}:{address[1]}"
        base = f"rtsp://{host}{session.there}"
        tracks = [
            (t.control if "://" in t.control else f"{base}/{t.control}", t.channels)
            for _, t in sorted(session.tracks.items())
        ]
        for track in session.tracks.values():
            track.rtp.on_server_changed()
        ask.rung, ask.memo = m.rung, m.memo
        ask.attempt = Attempt(
            self.loop,
            ask,
            m.attempt,
            m.server,
            address,
            base,
            tracks,
            [("Via", f"RTSP/1.0 {self.settings.name}")],
            m.rate_kb,
            session.position(),
            self.settings.terms.connect_timeout_ms / 1000,
            min(m.timeout_s, max(0.001, ask.deadline - self.loop.now())),
            self.settings.terms.report_fields,
            may_send=not m.wait_for_ledger,
        )

    def cleared(self, m: AttemptRecorded) -> None:
        ask = self.asks.get(m.request_id)
        if ask is None or ask.attempt is None or ask.attempt.number != m.attempt:
            return
        if m.error:
            ask.attempt.on_claim_written(m.error)
        elif ask.carry.allow_send(self.link, m.attempt):
            ask.attempt.on_claim_written("")

    def set_rung(self, m: ChangeRung) -> None:
        ask = self.asks.get(m.request_id)
        if ask:
            ask.rung = m.rung
            if ask.attempt:
                ask.attempt.set_bandwidth(m.rate_kb, m.rung)

    def refused(self, m: RefuseRequest) -> None:
        self.final(m.request_id, lambda session: session.refused(m.pause_ms, m.reason))

    def failed(self, m: FailRequest) -> None:
        self.final(m.request_id, lambda session: session.failed(m.status))

    def final(self, number: int, answer: Callable[[Session], object]) -> None:
        """The decider's last word, once."""
        ask = self.asks.get(number)
        if ask and not ask.answered:
            self.finish(ask)
            answer(ask.session)

    def move(self, m: MoveSession) -> None:
        """Off its server; it asks again shortly, as moved, and the viewer keeps its stream's numbering."""
        ask = self.asks.get(m.request_id)
        if ask is None or ask.session.state is not State.PLAYING:
            return
        session, attempt = ask.session, ask.attempt
        session.position_s, session.since = session.position(), self.loop.now()
        session.state = State.MOVING
        if attempt:
            attempt.teardown(Outcome.CANCELLED)

    def cancel(self, m: CancelAttempt) -> None:
        """An attempt that plays is not called off."""
        ask = self.asks.get(m.request_id)
        if ask and not ask.answered and ask.attempt and ask.attempt.number == m.attempt:
            ask.attempt.end(Outcome.CANCELLED)

    def finish_session(self, m: EndSession) -> None:
        """What plays, or is on its way to another server, ends in order: BYE to the viewer, TEARDOWN."""
        ask = self.asks.get(m.request_id)
        if ask and ask.session.state in (State.PLAYING, State.MOVING):
            ask.session.end(m.bye_reason)
            if ask.attempt:
                ask.attempt.teardown()

    def redirect(self, m: RedirectViewers) -> None:
        for viewer in list(self.viewers):
            viewer.redirect(m.location)

    # the end

    def retired(self, m: RetireWorker) -> None:
        self.stop() if m.end_sessions else self.drain()

    def drain(self) -> None:
        """Takes nothing new; what plays comes to its end, for as long as the settings allow."""
        if self.draining or self.stopping:
            return
        self.draining = True
        self.loop.call_later(self.settings.limits.drain_ms / 1000, self.stop)
        self.drained()

    def drained(self) -> None:
        if not self.by_id:
            self.stop()
        elif not self.stopping:
            self.loop.call_later(0.1, self.drained)

    def stop(self) -> None:
        """Ends what plays, in order: the viewer hears BYE, the server TEARDOWN. Answers what was taken."""
        if self.stopping:
            return
        self.stopping = True
        self.loop.call_later(STOP_S, self.end)
        self.ending()

    def ending(self) -> None:
        """Again each moment until no answer is owed and no attempt is out."""
        for ask in list(self.asks.values()):
            if ask.session.state in (State.PLAYING, State.MOVING):
                ask.session.end("front stops")
                if ask.attempt:
                    self.loop.call_soon(partial(ask.attempt.teardown))
        if self.asks:
            self.loop.call_later(0.02, self.ending)
            return
        for viewer in list(self.viewers):
            viewer.stream.close()
        self.end()

    def end(self) -> None:
        done, self.on_empty = self.on_empty, lambda: None
        done()
