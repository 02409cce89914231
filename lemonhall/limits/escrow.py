"""This front's side of every limit: its own share, the loans with other fronts, and the messages about them.

A loan is a lease (Gray and Cheriton, SOSP 1989). The borrower counts its term from when it sent the request,
by its own stamp that the lender echoed; the lender counts from when it received that request. So the lease
expires at the borrower before it expires at the lender, whatever is lost, late or duplicated, as long as the
rates of their clocks differ by no more than `MAX_CLOCK_DRIFT`. Nothing is stored on disk: a front without
state uses none of its own share until every other front has reported its holdings, or every loan of the
previous incarnation has expired.

Of two messages of one front the one with the later stamp counts. Messages name every loan between two fronts,
so a loan that is not named does not exist.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from math import ceil, inf
from random import Random
from typing import Any

from google.protobuf.message import DecodeError

from lemonhall.limits.limits_pb2 import State, Words
from lemonhall.limits.local_limit import DEMAND_WINDOW_PERIODS, Demand, LocalLimit
from lemonhall.limits.settings import (
    FANOUT,
    MAX_LENDERS,
    MAX_LOANS_PER_PAIR,
    RENEWALS_PER_PERIOD,
    Limit,
    LimitKind,
    LimitSettings,
    remainder_owners,
)
from lemonhall.limits.shares import LimitShare, Loan
from lemonhall.limits.soft_counters import CounterEntry, SoftCounters

Key = tuple[int, int]  # id of a limit, digest of a title (0: all titles)
TICKS_PER_PERIOD = 5  # needs are sent and leases checked on each tick
MAX_NEEDS = 8  # named in one message, beside the loans
MAX_COUNTERS = 8  # of other fronts, in one message
RANDOM_PEERS = 2  # fronts that are sent a message each period regardless of loans
MESSAGES_PER_PERIOD = RENEWALS_PER_PERIOD + 4 * FANOUT  # replies not counted
MAX_LOCAL_LIMITS = 20_000


@dataclass(frozen=True)
class OutgoingMessage:
    """A message to another front, by its number."""

    to: int
    data: bytes


@dataclass
class Peer:
    """Another front. `stamp`: of its last message that counted; `echoed`: the last own stamp that it
    echoed."""

    incarnation: int = 0
    stamp: int = 0
    echoed: int = 0
    received_at: float = -inf
    amounts: dict[int, int] = field(default_factory=dict)  # by limit
    spare: dict[int, int] = field(default_factory=dict)
    fronts: int = 0
    forgotten: frozenset[int] = frozenset()


class Escrow:
    """This front's side of all limits, and its loans with other fronts.

    `incarnation` grows with each start; `fresh`: no session of an earlier incarnation still exists.
    `expired_units`: units that have expired, by limit and title; the caller ends sessions that used as many.
    """

    def __init__(
        self,
        settings: LimitSettings,
        number: int,
        fronts: int,
        incarnation: int,
        random: Random,
        now: float,
        fresh: bool = True,
    ) -> None:
        self.settings, self.number, self.configured_fronts = settings, number, fronts
        self.incarnation, self.random, self.fresh = incarnation, random, fresh
        self.fronts = fronts
        self.grant_counter = [0]
        self.unreported = set(range(fronts)) - {number}
        self.open_at = now + settings.restart_wait_ms
        self.local_limits: dict[Key, LocalLimit] = {}
        self.loan_keys: dict[int, set[Key]] = {}  # by front: limits with a loan between it and this one
        self.peers: dict[int, Peer] = {}
        self.stale_lenders: set[int] = set()  # nothing new may be set up on their loans
        self.orphans: list[tuple[float, Key, int]] = []  # loans to earlier incarnations: expiry, key, units
        self.forgotten: set[int] = set()  # permanently gone, by operator command; others own their shares
        self.members: tuple[int, ...] = ()
        self.duplicate_member = False  # another process uses this number and may use the own share
        self.pending_replies: set[int] = set()
        self.pending_recalls: set[int] = set()  # borrowers that are asked to return free units
        self.expired_units: dict[Key, float] = {}
        self.stamp = 0
        self.next_expiry_at = -inf  # when a lease may expire next
        self.next_period_at = now + settings.period_ms * random.random()
        self.message_budget = float(MESSAGES_PER_PERIOD)
        self.counts = Counter[str]()
        self.owners_by_limit: dict[int, list[int]] = {}
        self.soft_counters: dict[int, SoftCounters] = {}
        self.soft_used = Counter[int]()
        self.apply_settings(settings)

    # settings

    def apply_settings(self, settings: LimitSettings) -> None:
        """Takes over new settings: of two amounts the smaller one is in force until all fronts have the
        new."""
        before = {limit.limit_id: limit.amount for limit in self.settings.limits}
        for front in set(range(self.configured_fronts)) - {self.number}:
            amounts = self.peers.setdefault(front, Peer()).amounts
            for limit_id, amount in before.items():
                amounts.setdefault(limit_id, amount)
        self.settings = settings
        self.limits_by_id = {limit.limit_id: limit for limit in settings.limits}
        for key, local in self.local_limits.items():
            local.limit = self.limits_by_id.get(key[0], local.limit)  # a removed one is returned as it was
        for limit in settings.limits:
            if limit.kind is LimitKind.SOFT:
                counters = self.soft_counters.setdefault(
                    limit.limit_id, SoftCounters(limit, settings.period_ms)
                )
                counters.limit = limit
        self.soft_counters = {
            limit_id: c for limit_id, c in self.soft_counters.items() if limit_id in self.limits_by_id
        }
        self.recompute_shares()
        for limit in settings.limits:
            if limit.kind is LimitKind.PACED:
                self.local_limit(limit, 0)

    def recompute_shares(self) -> None:
        """Uses the smallest amount and the greatest number of fronts that any front has announced.

        When fronts are forgotten the shares of the others only grow and still add up to the limit, so the
        order in which fronts learn of it makes no difference."""
        self.fronts = max([self.configured_fronts, *(p.fronts for p in self.peers.values())])
        self.amounts = {
            m.limit_id: min([m.amount, *(p.amounts.get(m.limit_id, m.amount) for p in self.peers.values())])
            for m in self.settings.limits
        }
        self.owning_fronts = sorted(set(range(self.fronts)) - self.silent_forgotten())
        self.share_count, self.owners_by_limit = len(self.owning_fronts), {}
        self.owns_nothing = self.duplicate_member or any(
            self.number in p.forgotten for p in self.peers.values()
        )
        for local in self.local_limits.values():
            self.resize_share(local)

    def silent_forgotten(self) -> set[int]:
        """Forgotten fronts of which nothing has been received since."""
        return {f for f in self.forgotten if f not in self.peers or self.peers[f].received_at == -inf}

    def resize_share(self, local: LocalLimit) -> None:
        """Sets the own share by what all fronts have announced."""
        local.amount = self.amounts.get(local.limit.limit_id, local.limit.amount)
        local.remainder_owners = self.remainder_owners(local.limit, local.title, local.amount)
        own = local.amount // self.share_count + (self.number in local.remainder_owners)
        local.share.own = (0 if self.owns_nothing else own) - local.orphaned

    def remainder_owners(self, limit: Limit, title: int, amount: int) -> list[int]:
        """The fronts that own one unit more; cached for limits that are not by title."""
        found = self.owners_by_limit.get(limit.limit_id) if not title else None
        if found is None:
            found = remainder_owners(limit, title, amount, self.owning_fronts)
            if not title:
                self.owners_by_limit[limit.limit_id] = found
        return found

    def local_limit(self, limit: Limit, title: int) -> LocalLimit:
        key = limit.limit_id, title if limit.each_title else 0
        found = self.local_limits.get(key)
        if found is None:
            share = LimitShare(0, self.unreported, self.grant_counter)
            window_ms = DEMAND_WINDOW_PERIODS * self.settings.period_ms
            found = LocalLimit(limit, key[1], share, Demand(window_ms), self.settings.period_ms, limit.amount)
            self.local_limits[key] = found
            self.resize_share(found)
        return found

    # leases

    def expire_leases(self, now: float) -> None:
        """To be called before each decision: ends leases that expired while this process did not run."""
        if now >= self.next_expiry_at:
            self.check_leases(now)

    def check_leases(self, now: float) -> None:
        self.next_expiry_at = inf
        for front, keys in list(self.loan_keys.items()):
            peer = self.peers[front]
            renewed_at = peer.echoed / 1000
            (
                self.stale_lenders.add
                if now - renewed_at >= self.settings.usable_ms()
                else self.stale_lenders.discard
            )(front)
            if front not in self.stale_lenders:
                self.next_expiry_at = min(self.next_expiry_at, renewed_at + self.settings.usable_ms())
            for key in list(keys):
                local = self.local_limits[key]
                self.refill_bucket(now, local)
                session_end_ms, expiry_ms = (
                    self.settings.session_end_ms(local.limit),
                    self.settings.expiry_ms(local.limit),
                )
                if (loan := local.share.borrowed.get(front)) and loan.amount:
                    if now - renewed_at >= session_end_ms:
                        self.counts["lapsed"] += 1
                        self.record_expired(key, local.share.expire_borrowed(front))
                    else:
                        self.next_expiry_at = min(self.next_expiry_at, renewed_at + session_end_ms)
                if front in local.share.lent:
                    if now - peer.received_at > expiry_ms:
                        self.counts["taken_back"] += local.share.reclaim_lent(front) > 0
                    else:
                        self.next_expiry_at = min(self.next_expiry_at, peer.received_at + expiry_ms + 1e-3)
                self.refill_bucket(now, local)
                self.drop_loan_key(front, key)
        for until, key, amount in [o for o in self.orphans if o[0] < now]:
            self.orphans.remove((until, key, amount))
            self.local_limits[key].orphaned -= amount
            self.resize_share(self.local_limits[key])
        self.next_expiry_at = min([self.next_expiry_at, *(until for until, _, _ in self.orphans)])
        if self.unreported and now >= self.open_at:
            self.unreported.clear()
            for key, local in self.local_limits.items():
                local.share.unreported.clear()
                self.record_expired(key, inf)
        elif self.unreported:
            self.next_expiry_at = min(self.next_expiry_at, self.open_at)

    def record_expired(self, key: Key, units: float) -> None:
        self.expired_units[key] = self.expired_units.get(key, 0) + units

    def add_loan_key(self, front: int, key: Key) -> None:
        self.loan_keys.setdefault(front, set()).add(key)
        self.next_expiry_at = -inf

    def drop_loan_key(self, front: int, key: Key) -> None:
        """Drops the key if no loan is left."""
        share = self.local_limits[key].share
        if front not in share.lent and front not in share.borrowed:
            self.loan_keys[front].discard(key)
            if not self.loan_keys[front]:
                del self.loan_keys[front]
                self.stale_lenders.discard(front)

    def refill_bucket(self, now: float, local: LocalLimit) -> None:
        if local.rate_limited:
            local.refill_tokens(now, self.usable_units(local))

    def usable_units(self, local: LocalLimit) -> int:
        """Units that new sessions may use, whether or not they are in use."""
        stale = sum(local.share.borrowed[f].amount for f in self.stale_lenders if f in local.share.borrowed)
        return local.share.capacity() - stale - local.handover_units

    # outgoing messages

    def tick(self, now: float) -> list[OutgoingMessage]:
        """To be called on each tick. A round of messages leaves each period, needs and replies at once."""
        self.expire_leases(now)
        to: dict[int, bool] = dict.fromkeys(self.pending_replies, False)
        self.pending_replies = set()
        if now >= self.next_period_at:
            self.next_period_at = now + self.settings.period_ms
            self.message_budget = float(MESSAGES_PER_PERIOD)
            for front, wants_reply in self.start_period(now).items():
                to[front] = to.get(front, False) or wants_reply
        if self.unreported and self.message_budget > 0:
            unreported = sorted(self.unreported)
            for front in self.random.sample(unreported, min(FANOUT, len(unreported))):
                to[front] = True
        for front in (*self.choose_lenders(now), *sorted(self.pending_recalls)[:FANOUT]):
            to[front] = True
        self.pending_recalls -= set(to)
        out = []
        for front, wants_reply in to.items():
            if front in self.members or not self.members:
                self.message_budget -= wants_reply
                out.append(OutgoingMessage(front, self.build_message(now, front, wants_reply)))
        return out

    def start_period(self, now: float) -> dict[int, bool]:
        """The recipients of this period, and whether each should reply: lenders, those whose lease expires
        first before others; fronts with an unacknowledged loan; some at random."""
        for local in self.local_limits.values():
            self.refill_bucket(now, local)
            local.decay_need(now)
            self.refill_bucket(now, local)
        self.drop_idle(now)
        self.readmit_forgotten()
        lenders = [
            f
            for f, keys in self.loan_keys.items()
            if any(f in self.local_limits[k].share.borrowed for k in keys)
        ]
        lenders.sort(key=lambda f: self.peers[f].echoed)
        to = dict.fromkeys(lenders[:RENEWALS_PER_PERIOD], True)
        in_doubt = [f for f in self.loan_keys if f not in to and self.has_unacknowledged_loan(f)]
        to.update(dict.fromkeys(in_doubt[:FANOUT], True))
        others = [m for m in self.members if m != self.number]
        for front in self.random.sample(others, min(RANDOM_PEERS, len(others))):
            to.setdefault(front, True)
        return to

    def has_unacknowledged_loan(self, front: int) -> bool:
        shares = (self.local_limits[k].share for k in self.loan_keys[front])
        return any(
            s.awaits_acknowledgement(s.lent, front) or s.awaits_acknowledgement(s.borrowed, front)
            for s in shares
        )

    def drop_idle(self, now: float) -> None:
        for key in [k for k, local in self.local_limits.items() if local.is_idle(now)]:
            del self.local_limits[key]

    def keys_in_need(self) -> list[Key]:
        return [k for k, local in self.local_limits.items() if local.share.need]

    def choose_lenders(self, now: float) -> list[int]:
        """Fronts to request units from: those with the most spare units first, then those not asked yet."""
        found: dict[int, None] = {}
        for key in self.keys_in_need():
            local, retry_ms = self.local_limits[key], self.settings.period_ms
            owners = local.remainder_owners if local.amount < self.share_count else range(self.fronts)
            candidates = [f for f in self.members if f != self.number and f in owners]
            candidates = [f for f in candidates if now - local.requested_at.get(f, -inf) >= retry_ms]
            spare = {f: self.peers[f].spare.get(key[0], -1) if f in self.peers else -1 for f in candidates}
            full = len(local.share.borrowed) >= MAX_LENDERS
            candidates = [f for f in candidates if not full or f in local.share.borrowed]
            candidates = [f for f in candidates if spare[f]] or candidates
            self.random.shuffle(candidates)
            candidates.sort(key=lambda f: -spare[f])
            expected = 0
            for front in candidates[: max(0, min(FANOUT - len(found), int(self.message_budget)))]:
                if expected >= local.share.need:
                    break
                expected += spare[front] if spare[front] > 0 else max(1, local.amount // self.share_count)
                local.requested_at[front] = now
                found[front] = None
        return list(found)

    def build_message(self, now: float, other: int, wants_reply: bool) -> bytes:
        peer = self.peers.setdefault(other, Peer())
        self.stamp = max(self.stamp + 1, int(now * 1000))
        message = Words(life=self.incarnation, to_life=peer.incarnation, stamp=self.stamp, echo=peer.stamp)
        message.fronts, message.answer, message.fresh = self.configured_fronts, wants_reply, self.fresh
        message.forgotten.extend(sorted(self.forgotten))
        keys = self.loan_keys.get(other, set())
        needs = [k for k in self.keys_in_need() if k not in keys][:MAX_NEEDS]
        for key in (*sorted(keys), *needs):
            share = self.local_limits[key].share
            lent, borrowed = share.lent.get(other, Loan()), share.borrowed.get(other, Loan())
            message.parts.add(
                limit=key[0],
                title=key[1],
                grant_seq=lent.seq,
                grant=lent.amount,
                held_seq=borrowed.seq,
                held=borrowed.amount,
                need=share.need,
                recall=self.local_limits[key].needed_by_others_than(other) if lent.amount else 0,
            )
        for limit in self.settings.limits:
            local = self.local_limits.get((limit.limit_id, 0))
            spare = local.lendable(now) if local else self.unused_share(limit)
            message.told.add(limit=limit.limit_id, amount=limit.amount, spare=spare)
        for limit_id, counters in self.soft_counters.items():
            stamp = self.stamp
            message.counts.add(
                limit=limit_id,
                front=self.number,
                life=self.incarnation,
                at=stamp,
                used=self.soft_used[limit_id],
            )
            known = [f for f, e in counters.entries.items() if f != other and e.as_of < inf]
            for front in self.random.sample(known, min(MAX_COUNTERS, len(known))):
                entry = counters.entries[front]
                age_us = max(0, ceil(1000 * (now - entry.as_of)))
                message.counts.add(
                    limit=limit_id,
                    front=front,
                    life=entry.incarnation,
                    at=entry.counter_stamp,
                    used=entry.used,
                    age_us=age_us,
                )
        data: bytes = message.SerializeToString()
        return data

    def unused_share(self, limit: Limit) -> int:
        """Spare units of a limit without local state; 1 for a limit by title, which has no single number."""
        if limit.each_title:
            return 1
        amount = self.amounts[limit.limit_id]
        own = amount // self.share_count + (self.number in self.remainder_owners(limit, 0, amount))
        return 0 if self.unreported or self.owns_nothing else own

    # incoming messages

    def receive(self, now: float, sender: int, data: bytes) -> None:
        """Handles another front's message. Counts and drops one that is unreadable, late, duplicated or of an
        earlier incarnation."""
        self.expire_leases(now)
        try:
            message = Words.FromString(data)
        except DecodeError:
            self.counts["unreadable"] += 1
            return
        if sender == self.number or not 0 <= sender < max(self.fronts, message.fronts):
            self.counts["no_such_front"] += 1
            return
        peer = self.peers.setdefault(sender, Peer())
        if message.life < peer.incarnation:
            self.counts["old_life"] += 1
            # The sender's clock was set back; the reply makes it take a later incarnation.
            self.pending_replies.add(sender)
            return
        if message.life > peer.incarnation:
            self.on_peer_restart(now, sender, peer, message)
        if message.to_life > self.incarnation and not self.duplicate_member:
            self.incarnation = message.to_life + 1
        if message.to_life != self.incarnation:
            self.pending_replies.add(sender)  # it does not know this incarnation yet
            return
        if message.stamp <= peer.stamp or message.echo > self.stamp:
            self.counts["old_words"] += 1
            return
        peer.stamp, peer.received_at = message.stamp, now
        peer.echoed = max(peer.echoed, message.echo)
        self.apply_peer_settings(now, sender, peer, message)
        listed: dict[Key, Any] = {
            (p.limit, p.title): p for p in message.parts if p.limit in self.limits_by_id
        }
        first = sender in self.unreported
        for key in {*listed, *self.loan_keys.get(sender, ()), *(self.local_limits if first else ())}:
            self.apply_peer_share(now, sender, key, listed.get(key), message.echo > 0)
        if first:
            self.unreported.discard(sender)
            for key in () if self.unreported else self.local_limits:
                self.record_expired(key, inf)  # sessions taken over are checked against the limit from now on
        if message.answer:
            self.pending_replies.add(sender)
        self.next_expiry_at = -inf

    def serve_needs(self, now: float, key: Key, local: LocalLimit) -> None:
        """Lends to fronts in need, in the order of their requests; then recalls free units of the rest of
        this front's share for those that need more."""
        for front, units in list(local.needs_of_others.items()):
            pair = self.loan_keys.get(front, set())
            fits = key in pair or len(pair) < MAX_LOANS_PER_PAIR
            granted = local.share.grant(front, min(units, local.lendable(now))) if fits else 0
            if granted:
                self.counts["lent"] += 1
                self.add_loan_key(front, key)
                self.pending_replies.add(front)
            if granted >= units:
                del local.needs_of_others[front]
            else:
                local.needs_of_others[front] = units - granted
        if local.needs_of_others and now - local.recalled_at >= self.settings.period_ms / TICKS_PER_PERIOD:
            local.recalled_at = now
            borrowers = [f for f, loan in local.share.lent.items() if loan.amount]
            self.pending_recalls |= {f for f in borrowers if local.needed_by_others_than(f)}

    def on_units_freed(self, now: float, key: Key) -> None:
        """A session has ended: returns units that a lender has recalled at once, not in the next period."""
        local = self.local_limits[key]
        local.reduce_need(now)
        for front, until in list(local.recalled_by.items()):
            if until < now:
                del local.recalled_by[front]
            elif not local.share.need and local.share.free() > 0:
                local.share.return_free(local.demand_units(now, 1), only=front)
                self.pending_replies.add(front)

    def on_peer_restart(self, now: float, sender: int, peer: Peer, message: Any) -> None:
        """The sender started without state. Its earlier sessions have ended with it, or their leases
        expire."""
        for key in list(self.loan_keys.get(sender, ())):
            local = self.local_limits[key]
            until = peer.received_at + self.settings.expiry_ms(local.limit)
            amount = local.share.reclaim_lent(sender)
            if amount and not message.fresh and until > now:
                local.orphaned += amount
                self.orphans.append((until, key, amount))
                self.resize_share(local)
            local.share.reset_grant_sequence(sender)
            self.drop_loan_key(sender, key)
        peer.incarnation, peer.stamp = message.life, 0
        peer.amounts, peer.spare = {}, {}
        self.next_expiry_at = -inf
        self.pending_replies.add(sender)

    def apply_peer_settings(self, now: float, sender: int, peer: Peer, message: Any) -> None:
        """Takes over the sender's amounts, number of fronts, forgotten fronts and counters."""
        amounts = {t.limit: t.amount for t in message.told if t.limit in self.limits_by_id}
        peer.spare = {t.limit: t.spare for t in message.told}
        forgotten = frozenset(message.forgotten)
        unreachable = {f for f in forgotten - {self.number} if not self.is_reachable(now, f)}
        before, in_force = peer.amounts, self.amounts
        changed = any(in_force[m] != n or before.get(m, n) != n for m, n in amounts.items())
        changed |= message.fronts > self.fronts or peer.fronts > message.fronts
        changed |= forgotten != peer.forgotten or sender in self.forgotten
        peer.amounts, peer.fronts, peer.forgotten = amounts, message.fronts, forgotten
        for front in sorted(unreachable - self.forgotten):
            self.forget_front(now, front)
        if changed:
            self.recompute_shares()
        transit_ms = now - message.echo / 1000
        for count in message.counts if message.echo else ():
            if count.limit in self.soft_counters and count.front != self.number:
                as_of = now - transit_ms - count.age_us / 1000
                self.soft_counters[count.limit].merge(
                    count.front, CounterEntry(count.life, count.at, as_of, count.used)
                )

    def apply_peer_share(self, now: float, sender: int, key: Key, part: Any, knows_us: bool) -> None:
        """Takes over the sender's side of one limit.

        `knows_us`: it has received a message of this incarnation, so a loan that it does not name is not
        lent."""
        local = self.local_limits.get(key)
        if local is None:
            limit = self.limits_by_id[key[0]]
            if limit.each_title != bool(key[1]) or len(self.local_limits) >= MAX_LOCAL_LIMITS:
                return
            local = self.local_limit(limit, key[1])
        self.refill_bucket(now, local)
        share = local.share
        if part and part.grant_seq:
            share.on_grant(sender, part.grant_seq, part.grant)
        elif knows_us and sender in share.borrowed and (revoked := share.expire_borrowed(sender)):
            self.counts["revoked"] += 1
            self.record_expired(key, revoked)
        seq, held = (part.held_seq, part.held) if part else (0, 0)
        if sender in share.unreported and not held:
            share.unreported.discard(sender)  # it holds nothing, so there is no loan to record
        elif sender in share.unreported or sender in share.lent:
            share.on_holding(sender, seq, held)
        if part and (part.need or part.recall):
            local.recalled_by[sender] = now + self.settings.period_ms
            local.reduce_need(now)
            if not share.need:
                share.return_free(local.demand_units(now, 1), only=sender)
        if part and part.need:
            local.needs_of_others[sender] = part.need
        if local.needs_of_others:
            self.serve_needs(now, key, local)
        self.refill_bucket(now, local)
        share.drop_settled_loans(sender, bool(part and part.grant_seq))
        if sender in share.lent or sender in share.borrowed:
            self.add_loan_key(sender, key)
        elif key in self.loan_keys.get(sender, ()):
            self.drop_loan_key(sender, key)

    # operator commands, and handover to a successor

    def is_reachable(self, now: float, front: int) -> bool:
        peer = self.peers.get(front)
        return front in self.members or (peer is not None and now - peer.received_at < self.settings.lease_ms)

    def forget_front(self, now: float, front: int) -> str:
        """Gives the share and the holdings of a permanently lost front to the others.

        Returns the reason for a refusal, or an empty string.
        """
        if not 0 <= front < self.fronts or front == self.number:
            return f"no other front has the number {front}"
        if self.is_reachable(now, front):
            return f"front {front} speaks"
        for key in list(self.loan_keys.get(front, ())):
            share = self.local_limits[key].share
            share.reclaim_lent(front)
            share.expire_borrowed(front)
            share.borrowed.pop(front, None)
            self.drop_loan_key(front, key)
        self.peers[front] = Peer(incarnation=self.peers[front].incarnation if front in self.peers else 0)
        self.unreported.discard(front)
        for local in self.local_limits.values():
            local.share.unreported.discard(front)
        for counters in self.soft_counters.values():
            counters.forget_front(front, now)
        self.forgotten.add(front)
        self.next_expiry_at = -inf
        self.recompute_shares()
        return ""

    def readmit_forgotten(self) -> None:
        """A forgotten front that sends messages again gets its share once the others' use fits without it."""
        back = self.forgotten - self.silent_forgotten()
        if back and all(local.share.free() >= 0 for local in self.local_limits.values()):
            self.forgotten -= back

    def handover_state(self) -> bytes:
        """The state for a successor on the same machine; this process must make no decision after it."""
        state = State(
            life=self.incarnation, stamp=self.stamp, numbers=self.grant_counter[0], open_at=self.open_at
        )
        state.unheard.extend(sorted(self.unreported))
        for front, peer in self.peers.items():
            state.peers.add(
                front=front,
                life=peer.incarnation,
                stamp=peer.stamp,
                heard_at=peer.received_at,
                asked=peer.echoed,
            )
        for (limit_id, title), local in self.local_limits.items():
            for stored, loans in ((state.lent, local.share.lent), (state.held, local.share.borrowed)):
                for front, loan in loans.items():
                    stored.add(limit=limit_id, title=title, front=front, seq=loan.seq, amount=loan.amount)
            if local.share.used and not local.rate_limited:
                state.owed.add(limit=limit_id, title=title, amount=local.share.used)
        data: bytes = state.SerializeToString()
        return data

    def restore_state(self, now: float, data: bytes) -> None:
        """Continues from the `handover_state` of the predecessor. Raises `ValueError` if it is unreadable."""
        try:
            state = State.FromString(data)
        except DecodeError as error:
            raise ValueError(f"limits cannot be read: {error}") from error
        self.incarnation, self.stamp, self.grant_counter[0] = state.life, state.stamp, state.numbers
        self.open_at, self.unreported = state.open_at, set(state.unheard)
        for stored in state.peers:
            peer = self.peers.setdefault(stored.front, Peer())
            peer.incarnation, peer.stamp, peer.received_at, peer.echoed = (
                stored.life,
                stored.stamp,
                stored.heard_at,
                stored.asked,
            )
        for local in self.local_limits.values():
            local.share.unreported = set(self.unreported)
        for loan in state.lent:
            self.restore_loan(loan, "lent")
        for loan in state.held:
            self.restore_loan(loan, "borrowed")
        for owed in state.owed:
            if limit := self.limits_by_id.get(owed.limit):
                self.local_limit(limit, owed.title).handover_units = owed.amount
        self.next_expiry_at = -inf

    def restore_loan(self, stored: Any, side: str) -> None:
        """`side`: name of the loans in `LimitShare`."""
        if limit := self.limits_by_id.get(stored.limit):
            share = self.local_limit(limit, stored.title).share
            getattr(share, side)[stored.front] = Loan(stored.seq, stored.amount)
            share.restore(share.lent, share.borrowed)
            self.add_loan_key(stored.front, (stored.limit, stored.title))
