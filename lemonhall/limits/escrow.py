"""What of each limit is this front's: its own part, what is lent and borrowed, and the words about it.

A loan ends by itself (leases: Gray and Cheriton, SOSP 1989). The borrower counts from when it asked, by the
stamp of its own that came back; the lender from when it heard that question. So the borrower's end lies
before the lender's, whatever is lost, late or doubled on the way, as long as the rates of their clocks differ
by no more than `DRIFT`. Nothing is kept on disk: a front that remembers nothing uses none of its own part
until every other has said what it holds of it, or every loan of the life before has run out.

Of two words of one front the later one counts, by its stamp; words name every loan between the two, so what
is not named does not stand.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from math import ceil, inf
from random import Random
from typing import Any

from google.protobuf.message import DecodeError

from lemonhall.limits.limits_pb2 import State, Words
from lemonhall.limits.local_limit import SPAN_PERIODS, Demand, LocalLimit
from lemonhall.limits.settings import (
    FANOUT,
    LENDERS_MOST,
    PAIR_MOST,
    RENEWALS,
    Limit,
    LimitKind,
    LimitSettings,
    owners,
)
from lemonhall.limits.shares import LimitShare, Loan
from lemonhall.limits.soft_counters import Counters, Entry

Key = tuple[int, int]  # of a limit, of a title
TICKS_PER_PERIOD = 5  # in a period: needs are told, and leases looked at, this often
NEEDS_MOST = 8  # named in one word, beside loans
COUNTS_MOST = 8  # of others' counters, in one word
NEWS = 2  # fronts that are spoken to each period, whoever they are
WORDS_A_PERIOD = RENEWALS + 4 * FANOUT  # but for answers
ROOMS_MOST = 20_000


@dataclass(frozen=True)
class OutgoingMessage:
    """Words to another front, by its number."""

    to: int
    data: bytes


@dataclass
class Peer:
    """Another front. `stamp`: its last words that counted; `asked`: own stamp that it has sent back."""

    life: int = 0
    stamp: int = 0
    asked: int = 0
    heard_at: float = -inf
    amounts: dict[int, int] = field(default_factory=dict)  # by limit
    spare: dict[int, int] = field(default_factory=dict)
    fronts: int = 0
    forgotten: frozenset[int] = frozenset()


class Escrow:
    """`life` grows with each start; `fresh`: no session of an earlier life of this front still stands.

    `short`: units that have lapsed, by what they were of: whoever holds sessions on them ends so many.
    """

    def __init__(
        self,
        settings: LimitSettings,
        number: int,
        fronts: int,
        life: int,
        random: Random,
        now: float,
        fresh: bool = True,
    ) -> None:
        self.settings, self.number, self.own_fronts = settings, number, fronts
        self.life, self.random, self.fresh = life, random, fresh
        self.fronts = fronts
        self.numbers = [0]
        self.unreported = set(range(fronts)) - {number}
        self.open_at = now + settings.open_ms
        self.local_limits: dict[Key, LocalLimit] = {}
        self.links: dict[int, set[Key]] = {}  # by front: what is lent or held between it and this one
        self.peers: dict[int, Peer] = {}
        self.stale: set[int] = set()  # lenders on whose loans nothing new may be set up
        self.orphans: list[tuple[float, Key, int]] = []  # loans to lives that are over: until when, what
        self.forgotten: set[int] = set()  # gone for good, by an operator's word: their parts are the others'
        self.members: tuple[int, ...] = ()
        self.duplicate_member = False  # another process goes by this number: the own part may be its
        self.pending_replies: set[int] = set()
        self.pending_recalls: set[int] = set()  # borrowers that are to give back what is free
        self.short: dict[Key, float] = {}
        self.stamp = 0
        self.due = -inf  # the next time that a lease may end
        self.next_round = now + settings.period_ms * random.random()
        self.budget = float(WORDS_A_PERIOD)
        self.counts = Counter[str]()
        self.drawn: dict[int, list[int]] = {}
        self.soft: dict[int, Counters] = {}
        self.soft_used = Counter[int]()
        self.apply_settings(settings)

    # settings

    def apply_settings(self, settings: LimitSettings) -> None:
        """Other settings: of two amounts the smaller one holds until every front has the new one."""
        before = {limit.ident: limit.amount for limit in self.settings.limits}
        for front in set(range(self.own_fronts)) - {self.number}:
            amounts = self.peers.setdefault(front, Peer()).amounts
            for ident, amount in before.items():
                amounts.setdefault(ident, amount)
        self.settings = settings
        self.by_ident = {limit.ident: limit for limit in settings.limits}
        for key, room in self.local_limits.items():
            room.limit = self.by_ident.get(key[0], room.limit)  # one that is gone is paid back as it was
        for m in settings.limits:
            if m.kind is LimitKind.SOFT:
                counters = self.soft.setdefault(m.ident, Counters(m, settings.period_ms))
                counters.limit = m
        self.soft = {ident: c for ident, c in self.soft.items() if ident in self.by_ident}
        self.recompute_shares()
        for m in settings.limits:
            if m.kind is LimitKind.PACED:
                self.room(m, 0)

    def recompute_shares(self) -> None:
        """Goes by the smallest amount, and the greatest number of fronts, that any front has said.

        Without those that are forgotten the parts of the others only grow, and add up to the limit: it makes
        no difference who hears of it first.
        """
        self.fronts = max([self.own_fronts, *(p.fronts for p in self.peers.values())])
        self.amounts = {
            m.ident: min([m.amount, *(p.amounts.get(m.ident, m.amount) for p in self.peers.values())])
            for m in self.settings.limits
        }
        self.there = sorted(set(range(self.fronts)) - self.gone())
        self.share, self.drawn = len(self.there), {}
        self.away = self.duplicate_member or any(self.number in p.forgotten for p in self.peers.values())
        for room in self.local_limits.values():
            self.cut(room)

    def gone(self) -> set[int]:
        """Forgotten, and silent since."""
        return {f for f in self.forgotten if f not in self.peers or self.peers[f].heard_at == -inf}

    def cut(self, room: LocalLimit) -> None:
        """Its own part, by what all have said."""
        room.amount = self.amounts.get(room.limit.ident, room.limit.amount)
        room.owners = self.owners(room.limit, room.title, room.amount)
        whole = room.amount // self.share + (self.number in room.owners)
        room.parts.own = (0 if self.away else whole) - room.orphaned

    def owners(self, limit: Limit, title: int, amount: int) -> list[int]:
        """Who have one unit more; of what is not by title it is found once."""
        found = self.drawn.get(limit.ident) if not title else None
        if found is None:
            found = owners(limit, title, amount, self.there)
            if not title:
                self.drawn[limit.ident] = found
        return found

    def room(self, limit: Limit, title: int) -> LocalLimit:
        key = limit.ident, title if limit.each_title else 0
        found = self.local_limits.get(key)
        if found is None:
            parts = LimitShare(0, self.unreported, self.numbers)
            span = SPAN_PERIODS * self.settings.period_ms
            found = LocalLimit(limit, key[1], parts, Demand(span), self.settings.period_ms, limit.amount)
            self.local_limits[key] = found
            self.cut(found)
        return found

    # leases

    def expire_leases(self, now: float) -> None:
        """Before anything is decided: what has ended while this process did not run, has ended."""
        if now >= self.due:
            self.look(now)

    def look(self, now: float) -> None:
        self.due = inf
        for front, keys in list(self.links.items()):
            peer = self.peers[front]
            asked = peer.asked / 1000
            (self.stale.add if now - asked >= self.settings.usable_ms() else self.stale.discard)(front)
            if front not in self.stale:
                self.due = min(self.due, asked + self.settings.usable_ms())
            for key in list(keys):
                room = self.local_limits[key]
                self.pace(now, room)
                ends, back = self.settings.stands_ms(room.limit), self.settings.back_ms(room.limit)
                if (loan := room.parts.held.get(front)) and loan.amount:
                    if now - asked >= ends:
                        self.counts["lapsed"] += 1
                        self.record_expired(key, room.parts.lapse(front))
                    else:
                        self.due = min(self.due, asked + ends)
                if front in room.parts.lent:
                    if now - peer.heard_at > back:
                        self.counts["taken_back"] += room.parts.take_back(front) > 0
                    else:
                        self.due = min(self.due, peer.heard_at + back + 1e-3)
                self.pace(now, room)
                self.unlink(front, key)
        for until, key, amount in [o for o in self.orphans if o[0] < now]:
            self.orphans.remove((until, key, amount))
            self.local_limits[key].orphaned -= amount
            self.cut(self.local_limits[key])
        self.due = min([self.due, *(until for until, _, _ in self.orphans)])
        if self.unreported and now >= self.open_at:
            self.unreported.clear()
            for key, room in self.local_limits.items():
                room.parts.unreported.clear()
                self.record_expired(key, inf)
        elif self.unreported:
            self.due = min(self.due, self.open_at)

    def record_expired(self, key: Key, units: float) -> None:
        self.short[key] = self.short.get(key, 0) + units

    def link(self, front: int, key: Key) -> None:
        self.links.setdefault(front, set()).add(key)
        self.due = -inf

    def unlink(self, front: int, key: Key) -> None:
        parts = self.local_limits[key].parts
        if front not in parts.lent and front not in parts.held:
            self.links[front].discard(key)
            if not self.links[front]:
                del self.links[front]
                self.stale.discard(front)

    def pace(self, now: float, room: LocalLimit) -> None:
        if room.paced:
            room.settle_pace(now, self.usable(room))

    def usable(self, room: LocalLimit) -> int:
        """What new sessions may be set up on, used or not."""
        lapsing = sum(room.parts.held[f].amount for f in self.stale if f in room.parts.held)
        return room.parts.mine() - lapsing - room.owed

    # words out

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Each moment; a round of words each period, needs and answers at once."""
        self.expire_leases(now)
        to: dict[int, bool] = dict.fromkeys(self.pending_replies, False)
        self.pending_replies = set()
        if now >= self.next_round:
            self.next_round = now + self.settings.period_ms
            self.budget = float(WORDS_A_PERIOD)
            for front, wants in self.round(now).items():
                to[front] = to.get(front, False) or wants
        if self.unreported and self.budget > 0:
            some = sorted(self.unreported)
            for front in self.random.sample(some, min(FANOUT, len(some))):
                to[front] = True
        for front in (*self.whom_to_ask(now), *sorted(self.pending_recalls)[:FANOUT]):
            to[front] = True
        self.pending_recalls -= set(to)
        out = []
        for front, wants in to.items():
            if front in self.members or not self.members:
                self.budget -= wants
                out.append(OutgoingMessage(front, self.words(now, front, wants)))
        return out

    def round(self, now: float) -> dict[int, bool]:
        """Who is told in this period: lenders, those whose loan ends first before others; who must hear of
        an open loan; one at random."""
        for room in self.local_limits.values():
            self.pace(now, room)
            room.ease(now)
            self.pace(now, room)
        self.sweep(now)
        self.welcome_back()
        held = [
            f for f, keys in self.links.items() if any(f in self.local_limits[k].parts.held for k in keys)
        ]
        held.sort(key=lambda f: self.peers[f].asked)
        to = dict.fromkeys(held[:RENEWALS], True)
        open_to = [f for f in self.links if f not in to and self.opened(f)]
        to.update(dict.fromkeys(open_to[:FANOUT], True))
        others = [m for m in self.members if m != self.number]
        for front in self.random.sample(others, min(NEWS, len(others))):
            to.setdefault(front, True)
        return to

    def opened(self, front: int) -> bool:
        parts = (self.local_limits[k].parts for k in self.links[front])
        return any(p.waits(p.lent, front) or p.waits(p.held, front) for p in parts)

    def sweep(self, now: float) -> None:
        for key in [k for k, room in self.local_limits.items() if room.idle(now)]:
            del self.local_limits[key]

    def wanting(self) -> list[Key]:
        return [k for k, room in self.local_limits.items() if room.parts.need]

    def whom_to_ask(self, now: float) -> list[int]:
        """Lenders for what is needed: who said that they could spare most, then those not yet asked."""
        found: dict[int, None] = {}
        for key in self.wanting():
            room, again = self.local_limits[key], self.settings.period_ms
            some = room.owners if room.amount < self.share else range(self.fronts)
            late = [f for f in self.members if f != self.number and f in some]
            late = [f for f in late if now - room.asked_of.get(f, -inf) >= again]
            spare = {f: self.peers[f].spare.get(key[0], -1) if f in self.peers else -1 for f in late}
            full = len(room.parts.held) >= LENDERS_MOST
            late = [f for f in late if not full or f in room.parts.held]
            late = [f for f in late if spare[f]] or late
            self.random.shuffle(late)
            late.sort(key=lambda f: -spare[f])
            hoped = 0
            for front in late[: max(0, min(FANOUT - len(found), int(self.budget)))]:
                if hoped >= room.parts.need:
                    break
                hoped += spare[front] if spare[front] > 0 else max(1, room.amount // self.share)
                room.asked_of[front] = now
                found[front] = None
        return list(found)

    def words(self, now: float, other: int, answer: bool) -> bytes:
        peer = self.peers.setdefault(other, Peer())
        self.stamp = max(self.stamp + 1, int(now * 1000))
        made = Words(life=self.life, to_life=peer.life, stamp=self.stamp, echo=peer.stamp)
        made.fronts, made.answer, made.fresh = self.own_fronts, answer, self.fresh
        made.forgotten.extend(sorted(self.forgotten))
        links = self.links.get(other, set())
        needs = [k for k in self.wanting() if k not in links][:NEEDS_MOST]
        for key in (*sorted(links), *needs):
            parts = self.local_limits[key].parts
            lent, held = parts.lent.get(other, Loan()), parts.held.get(other, Loan())
            made.parts.add(
                limit=key[0],
                title=key[1],
                grant_seq=lent.seq,
                grant=lent.amount,
                held_seq=held.seq,
                held=held.amount,
                need=parts.need,
                recall=self.local_limits[key].called_from(other) if lent.amount else 0,
            )
        for m in self.settings.limits:
            room = self.local_limits.get((m.ident, 0))
            spare = room.lendable(now) if room else self.unused(m)
            made.told.add(limit=m.ident, amount=m.amount, spare=spare)
        for ident, counters in self.soft.items():
            at = self.stamp
            made.counts.add(limit=ident, front=self.number, life=self.life, at=at, used=self.soft_used[ident])
            some = [f for f, e in counters.entries.items() if f != other and e.as_of < inf]
            for front in self.random.sample(some, min(COUNTS_MOST, len(some))):
                e = counters.entries[front]
                age_us = max(0, ceil(1000 * (now - e.as_of)))
                made.counts.add(limit=ident, front=front, life=e.life, at=e.at, used=e.used, age_us=age_us)
        data: bytes = made.SerializeToString()
        return data

    def unused(self, limit: Limit) -> int:
        """Spare of a limit that nobody has asked for here; of a limit by title nobody can say in a word."""
        if limit.each_title:
            return 1
        amount = self.amounts[limit.ident]
        whole = amount // self.share + (self.number in self.owners(limit, 0, amount))
        return 0 if self.unreported or self.away else whole

    # words in

    def receive(self, now: float, sender: int, data: bytes) -> None:
        """Another front's words. What cannot be read, is late, doubled or of an earlier life is counted and
        passed over."""
        self.expire_leases(now)
        try:
            words = Words.FromString(data)
        except DecodeError:
            self.counts["unreadable"] += 1
            return
        if sender == self.number or not 0 <= sender < max(self.fronts, words.fronts):
            self.counts["no_such_front"] += 1
            return
        peer = self.peers.setdefault(sender, Peer())
        if words.life < peer.life:
            self.counts["old_life"] += 1
            self.pending_replies.add(
                sender
            )  # its clock was set back: it begins another life when it hears of this
            return
        if words.life > peer.life:
            self.new_life(now, sender, peer, words)
        if words.to_life > self.life and not self.duplicate_member:
            self.life = words.to_life + 1
        if words.to_life != self.life:
            self.pending_replies.add(sender)  # it does not know us yet, or speaks to who we were
            return
        if words.stamp <= peer.stamp or words.echo > self.stamp:
            self.counts["old_words"] += 1
            return
        peer.stamp, peer.heard_at = words.stamp, now
        peer.asked = max(peer.asked, words.echo)
        self.hear_told(now, sender, peer, words)
        listed: dict[Key, Any] = {(p.limit, p.title): p for p in words.parts if p.limit in self.by_ident}
        first = sender in self.unreported
        for key in {*listed, *self.links.get(sender, ()), *(self.local_limits if first else ())}:
            self.hear_part(now, sender, key, listed.get(key), words.echo > 0)
        if first:
            self.unreported.discard(sender)
            for key in () if self.unreported else self.local_limits:
                self.record_expired(key, inf)  # what was carried over shows now whether it fits
        if words.answer:
            self.pending_replies.add(sender)
        self.due = -inf

    def serve(self, now: float, key: Key, room: LocalLimit) -> None:
        """Lends to those who lack, in the order in which they said so; then what is free of the rest of this
        front's part is asked back, for those who lack more."""
        for front, units in list(room.called.items()):
            pair = self.links.get(front, set())
            fits = key in pair or len(pair) < PAIR_MOST
            given = room.parts.grant(front, min(units, room.lendable(now))) if fits else 0
            if given:
                self.counts["lent"] += 1
                self.link(front, key)
                self.pending_replies.add(front)
            if given >= units:
                del room.called[front]
            else:
                room.called[front] = units - given
        if room.called and now - room.called_at >= self.settings.period_ms / TICKS_PER_PERIOD:
            room.called_at = now
            lent = [f for f, loan in room.parts.lent.items() if loan.amount]
            self.pending_recalls |= {f for f in lent if room.called_from(f)}

    def freed(self, now: float, key: Key) -> None:
        """Something has ended: what a lender has asked back goes back now, not in the next round."""
        room = self.local_limits[key]
        room.settle_need(now)
        for front, until in list(room.wanted_by.items()):
            if until < now:
                del room.wanted_by[front]
            elif not room.parts.need and room.parts.free() > 0:
                room.parts.give_back(room.periods(now, 1), only=front)
                self.pending_replies.add(front)

    def new_life(self, now: float, sender: int, peer: Peer, words: Any) -> None:
        """Its process remembers nothing. What stood under the life before has ended with it, or runs out."""
        for key in list(self.links.get(sender, ())):
            room = self.local_limits[key]
            until = peer.heard_at + self.settings.back_ms(room.limit)
            amount = room.parts.take_back(sender)
            if amount and not words.fresh and until > now:
                room.orphaned += amount
                self.orphans.append((until, key, amount))
                self.cut(room)
            room.parts.anew(sender)
            self.unlink(sender, key)
        peer.life, peer.stamp = words.life, 0
        peer.amounts, peer.spare = {}, {}
        self.due = -inf
        self.pending_replies.add(sender)

    def hear_told(self, now: float, sender: int, peer: Peer, words: Any) -> None:
        amounts = {t.limit: t.amount for t in words.told if t.limit in self.by_ident}
        peer.spare = {t.limit: t.spare for t in words.told}
        forgotten = frozenset(words.forgotten)
        silent = {f for f in forgotten - {self.number} if not self.speaks(now, f)}
        held, goes_by = peer.amounts, self.amounts
        other = any(goes_by[m] != n or held.get(m, n) != n for m, n in amounts.items())
        other |= words.fronts > self.fronts or peer.fronts > words.fronts
        other |= forgotten != peer.forgotten or sender in self.forgotten
        peer.amounts, peer.fronts, peer.forgotten = amounts, words.fronts, forgotten
        for front in sorted(silent - self.forgotten):
            self.forget_front(now, front)
        if other:
            self.recompute_shares()
        transit_ms = now - words.echo / 1000
        for c in words.counts if words.echo else ():
            if c.limit in self.soft and c.front != self.number:
                as_of = now - transit_ms - c.age_us / 1000
                self.soft[c.limit].join(c.front, Entry(c.life, c.at, as_of, c.used))

    def hear_part(self, now: float, sender: int, key: Key, part: Any, knows: bool) -> None:
        """`knows`: it has heard this life's words, so what it does not name it does not count as lent."""
        room = self.local_limits.get(key)
        if room is None:
            limit = self.by_ident[key[0]]
            if limit.each_title != bool(key[1]) or len(self.local_limits) >= ROOMS_MOST:
                return
            room = self.room(limit, key[1])
        self.pace(now, room)
        parts = room.parts
        if part and part.grant_seq:
            parts.granted(sender, part.grant_seq, part.grant)
        elif knows and sender in parts.held and (revoked := parts.lapse(sender)):
            self.counts["revoked"] += 1
            self.record_expired(key, revoked)
        seq, held = (part.held_seq, part.held) if part else (0, 0)
        if sender in parts.unreported and not held:
            parts.unreported.discard(sender)  # and nothing has to be taken note of
        elif sender in parts.unreported or sender in parts.lent:
            parts.returned(sender, seq, held)
        if part and (part.need or part.recall):
            room.wanted_by[sender] = now + self.settings.period_ms
            room.settle_need(now)
            if not parts.need:
                parts.give_back(room.periods(now, 1), only=sender)
        if part and part.need:
            room.called[sender] = part.need
        if room.called:
            self.serve(now, key, room)
        self.pace(now, room)
        parts.settled(sender, bool(part and part.grant_seq))
        if sender in parts.lent or sender in parts.held:
            self.link(sender, key)
        elif key in self.links.get(sender, ()):
            self.unlink(sender, key)

    # an operator's word, and a successor's

    def speaks(self, now: float, front: int) -> bool:
        peer = self.peers.get(front)
        return front in self.members or (peer is not None and now - peer.heard_at < self.settings.lease_ms)

    def forget_front(self, now: float, front: int) -> str:
        """A front is gone for good: what it held, and its own part, are the others'. Why not, or nothing."""
        if not 0 <= front < self.fronts or front == self.number:
            return f"no other front has the number {front}"
        if self.speaks(now, front):
            return f"front {front} speaks"
        for key in list(self.links.get(front, ())):
            parts = self.local_limits[key].parts
            parts.take_back(front)
            parts.lapse(front)
            parts.held.pop(front, None)
            self.unlink(front, key)
        self.peers[front] = Peer(life=self.peers[front].life if front in self.peers else 0)
        self.unreported.discard(front)
        for room in self.local_limits.values():
            room.parts.unreported.discard(front)
        for counters in self.soft.values():
            counters.forget(front, now)
        self.forgotten.add(front)
        self.due = -inf
        self.recompute_shares()
        return ""

    def welcome_back(self) -> None:
        """One that was forgotten and speaks again has its part once the others' fit without it."""
        back = self.forgotten - self.gone()
        if back and all(room.parts.free() >= 0 for room in self.local_limits.values()):
            self.forgotten -= back

    def handover_state(self) -> bytes:
        """For a successor on the same machine; this process decides nothing any more."""
        made = State(life=self.life, stamp=self.stamp, numbers=self.numbers[0], open_at=self.open_at)
        made.unheard.extend(sorted(self.unreported))
        for front, p in self.peers.items():
            made.peers.add(front=front, life=p.life, stamp=p.stamp, heard_at=p.heard_at, asked=p.asked)
        for (ident, title), room in self.local_limits.items():
            for kind, loans in ((made.lent, room.parts.lent), (made.held, room.parts.held)):
                for front, loan in loans.items():
                    kind.add(limit=ident, title=title, front=front, seq=loan.seq, amount=loan.amount)
            if room.parts.used and not room.paced:
                made.owed.add(limit=ident, title=title, amount=room.parts.used)
        data: bytes = made.SerializeToString()
        return data

    def restore_state(self, now: float, data: bytes) -> None:
        """Goes on in the place of the process that gave this `state`. Raises `ValueError`."""
        try:
            kept = State.FromString(data)
        except DecodeError as error:
            raise ValueError(f"limits cannot be read: {error}") from error
        self.life, self.stamp, self.numbers[0] = kept.life, kept.stamp, kept.numbers
        self.open_at, self.unreported = kept.open_at, set(kept.unheard)
        for p in kept.peers:
            peer = self.peers.setdefault(p.front, Peer())
            peer.life, peer.stamp, peer.heard_at, peer.asked = p.life, p.stamp, p.heard_at, p.asked
        for room in self.local_limits.values():
            room.parts.unreported = set(self.unreported)
        for loan in kept.lent:
            self.recall(loan, "lent")
        for loan in kept.held:
            self.recall(loan, "held")
        for owed in kept.owed:
            if limit := self.by_ident.get(owed.limit):
                self.room(limit, owed.title).owed = owed.amount
        self.due = -inf

    def recall(self, kept: Any, kind: str) -> None:
        if limit := self.by_ident.get(kept.limit):
            parts = self.room(limit, kept.title).parts
            getattr(parts, kind)[kept.front] = Loan(kept.seq, kept.amount)
            parts.recall(parts.lent, parts.held)
            self.link(kept.front, (kept.limit, kept.title))
