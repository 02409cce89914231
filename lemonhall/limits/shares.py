"""One limit held in shares by all fronts without a coordinator: the shares never add up to more than the
limit.

Each front owns one share, fixed by the settings: 1/F of the limit for F fronts, by number. It lends units
that it does not need and gets them back. This is escrow as in O'Neil, "The Escrow Transactional Method" (TODS
1986), with the counters of each pair of fronts kept apart, as in bounded counters (Balegas et al., SRDS
2015):

    lender     lent[j]: sequence number and amount of the last grant to j. The amount counts as lent from
               before the grant is sent until j has reported, for this very grant, that it holds less.
    borrower   borrowed[i]: sequence number of the last grant of i that was received, and the units left
               of it.

Messages carry state, not changes, and are repeated each period, so lost, duplicated and late messages do no
harm. A grant grows only under a new sequence number and a holding shrinks only under the number that it was
granted with, so a borrower never holds more than its lender counts as lent. An incarnation is one process
with its memory; messages to or from an earlier incarnation are void. A front that starts without state may
have lent its whole share: it uses none of it until every other front has reported its holdings.

For loans that are leases (limits/escrow.py), `expire_borrowed` is called at the borrower first and then
`reclaim_lent` at the lender; `drop_settled_loans` removes loans that are zero on both sides.
"""

from __future__ import annotations

from dataclasses import dataclass

MILLIONTHS = 1_000_000  # limits that are a fraction of a whole are counted in millionths of it


@dataclass
class Loan:
    """A grant or a holding. `unacknowledged`: the other front has not confirmed the last change here, which
    is sent until its messages show that it has."""

    seq: int = 0
    amount: int = 0
    unacknowledged: bool = True


def equal_share(number: int, fronts: int, whole: int = MILLIONTHS) -> int:
    """Units of one front; over all fronts they add up to the whole. The first fronts by number own one
    more."""
    return whole // fronts + (number < whole % fronts)


class LimitShare:
    """This front's side of one limit, in whole units; the owner of the object updates `used`.

    `own`: units owned by the settings; `unreported`: fronts that may hold units and have not reported them;
    `grant_counter`: the last sequence number of a grant, shared by several limits.
    """

    def __init__(self, own: int, unreported: set[int], grant_counter: list[int] | None = None) -> None:
        self.own, self.unreported = own, set(unreported)
        self.grant_counter = grant_counter if grant_counter is not None else [0]
        self.lent: dict[int, Loan] = {}
        self.borrowed: dict[int, Loan] = {}
        self.used = 0
        self.need = 0
        self.lent_total = self.borrowed_total = 0
        self.peers_in_doubt: set[int] = set()  # fronts that may have an unacknowledged loan
        self.dirty = False  # state that must survive a restart has changed

    def capacity(self) -> int:
        """Units that may be used here."""
        return (0 if self.unreported else self.own - self.lent_total) + self.borrowed_total

    def free(self) -> int:
        return self.capacity() - self.used

    def restore(self, lent: dict[int, Loan], borrowed: dict[int, Loan]) -> None:
        """Takes over the loans that the previous incarnation stored."""
        self.lent, self.borrowed = lent, borrowed
        self.peers_in_doubt = {*lent, *borrowed}
        self.lent_total = sum(loan.amount for loan in lent.values())
        self.borrowed_total = sum(loan.amount for loan in borrowed.values())
        self.grant_counter[0] = max([self.grant_counter[0], *(loan.seq for loan in lent.values())])

    def record_grant(self, other: int, loan: Loan, after: int, amount: int) -> None:
        """Sets the amount lent to a front under a sequence number never used before and above `after`."""
        self.grant_counter[0] = max(self.grant_counter[0], after) + 1
        self.peers_in_doubt.add(other)
        self.lent_total += amount - loan.amount
        loan.seq, loan.amount, loan.unacknowledged = self.grant_counter[0], amount, True
        self.dirty = True

    def peers_to_notify(self) -> set[int]:
        """Fronts that have not acknowledged a grant or a return of units."""
        for other in [
            n
            for n in self.peers_in_doubt
            if not self.awaits_acknowledgement(self.lent, n)
            and not self.awaits_acknowledgement(self.borrowed, n)
        ]:
            self.peers_in_doubt.discard(other)
        return self.peers_in_doubt

    @staticmethod
    def awaits_acknowledgement(loans: dict[int, Loan], other: int) -> bool:
        loan = loans.get(other)
        return loan is not None and loan.unacknowledged and loan.seq > 0

    # messages of other fronts

    def on_peer_restart(self, other: int) -> None:
        """The other front restarted without state: the units that it borrowed ended with its process."""
        if loan := self.lent.get(other):
            self.record_grant(other, loan, loan.seq, 0)
        self.reset_grant_sequence(other)

    def reset_grant_sequence(self, other: int) -> None:
        """The other front numbers its grants from 1 again; its loan stays until it has received our
        report."""
        if loan := self.borrowed.get(other):
            loan.seq = 0

    def on_grant(self, other: int, seq: int, amount: int) -> None:
        """Another front, in its current incarnation, reports what it lends to our current incarnation."""
        loan = self.borrowed.setdefault(other, Loan(unacknowledged=False))
        if seq > loan.seq:
            self.borrowed_total += amount - loan.amount
            loan.seq, loan.amount, loan.unacknowledged = seq, amount, False
            self.dirty = True

    def on_holding(self, other: int, seq: int, amount: int) -> None:
        """Another front reports what it holds of this front's units."""
        loan = self.lent.setdefault(other, Loan())
        if other in self.unreported:
            self.unreported.discard(other)
            self.record_grant(other, loan, max(loan.seq, seq), amount)
        elif seq == loan.seq:
            loan.unacknowledged = False
            if amount < loan.amount:
                self.record_grant(other, loan, seq, amount)

    def lend(self, other: int, requested: int) -> int:
        """Lends the requested units, at most half of the free ones. Returns the units lent."""
        spare = max(0, self.free_own_units() - self.need)
        return self.grant(other, min(requested, (spare + 1) // 2))

    def grant(self, other: int, units: int) -> int:
        """Lends the units. Returns the units lent: none until all fronts have reported."""
        if units <= 0 or self.unreported:
            return 0
        loan = self.lent.setdefault(other, Loan())
        self.record_grant(other, loan, loan.seq, loan.amount + units)
        return units

    def free_own_units(self) -> int:
        """Free units of the own share alone: borrowed units are not lent on."""
        return max(0, min(self.own - self.lent_total, self.free()))

    def return_free(self, keep: int, only: int = -1) -> None:
        """Returns borrowed units that are free beyond `keep`, to all lenders or to `only`."""
        spare = self.free() - keep
        for other, loan in self.borrowed.items() if spare > 0 and self.borrowed_total else ():
            units = min(loan.amount, max(0, spare)) if only in (-1, other) else 0
            if units:
                self.return_units(other, loan, units)
                spare -= units

    def return_units(self, other: int, loan: Loan, units: int) -> None:
        loan.amount -= units
        loan.unacknowledged = True
        self.peers_in_doubt.add(other)
        self.borrowed_total -= units
        self.dirty = True

    # expiry of leases

    def expire_borrowed(self, other: int) -> int:
        """Ends the use of units borrowed from a front. Returns their number."""
        loan = self.borrowed.get(other)
        amount = loan.amount if loan else 0
        if loan and amount:
            self.return_units(other, loan, amount)
        return amount

    def reclaim_lent(self, other: int) -> int:
        """Takes back units whose lease has expired at the borrower. Returns their number."""
        loan = self.lent.pop(other, None)
        if loan is None:
            return 0
        self.lent_total -= loan.amount
        self.dirty = True
        return loan.amount

    def drop_settled_loans(self, other: int, listed: bool) -> None:
        """Drops loans that both sides know to be zero.

        `listed`: the other front's message named this limit; messages name every loan between the two.
        """
        loan = self.lent.get(other)
        if loan and not loan.amount and (not loan.unacknowledged or not loan.seq):
            del self.lent[other]
        loan = self.borrowed.get(other)
        if loan and not loan.amount and not listed:
            del self.borrowed[other]

    def is_idle(self) -> bool:
        """Whether the object can be dropped without losing state."""
        return not (self.used or self.need or self.lent or self.borrowed)
