"""One limit held in parts by all fronts, without a centre: the sum of the parts is never over it.

Each front owns one part, fixed by the settings: 1/F of the limit (F fronts, by number). What it does not need
it lends, and is given back; escrow, as in O'Neil, "The Escrow Transactional Method" (TODS 1986), with the
counters of a pair of fronts kept apart, as bounded counters do (Balegas et al., SRDS 2015):

    lender     lent[j]: number and amount of the last grant to j. It counts as gone from before the grant is
               sent until j has said, of this very grant, that it holds less.
    borrower   held[i]: number of the last grant of i's that was seen, and what is left of it here.

Messages tell the state, not the step, and are sent again each period: lost, doubled and late ones do no harm.
A grant rises only with a new number, a holding falls only under the number that it was granted with, so what
one holds is at no time more than what the other counts as gone. A life is a process that remembers; words to
or of an earlier one are void. One that remembers nothing may have lent all of its own part: it uses nothing
of it until every other front has said what it holds.

Who gives loans an end (limits/machine.py) calls `lapse` where they were borrowed, then `take_back` where they
were lent; `settled` drops what has come to nothing on both sides.
"""

from __future__ import annotations

from dataclasses import dataclass

MILLION = 1_000_000  # parts of a limit that is a share are told in millionths of it


@dataclass
class Loan:
    """`open`: the other has yet to hear of the last change here; it is told until its words show that."""

    seq: int = 0
    amount: int = 0
    open: bool = True


def equal_share(number: int, fronts: int, whole: int = MILLION) -> int:
    """Whole numbers that add up to the whole over all fronts; the first ones by number have one more."""
    return whole // fronts + (number < whole % fronts)


class LimitShare:
    """This front's side of one limit, in whole units of it; `used` is the owner's to tell.

    `own`: its part by the settings. `unheard`: fronts that may hold some of it, of which nothing is known.
    `numbers`: of all grants of this front, where several limits share them.
    """

    def __init__(self, own: int, unreported: set[int], numbers: list[int] | None = None) -> None:
        self.own, self.unreported = own, set(unreported)
        self.numbers = numbers if numbers is not None else [0]
        self.lent: dict[int, Loan] = {}
        self.held: dict[int, Loan] = {}
        self.used = 0
        self.need = 0
        self.lent_sum = self.held_sum = 0
        self.telling: set[int] = set()  # who may have to hear of an open loan
        self.dirty = False  # something that must not be forgotten has changed

    def mine(self) -> int:
        """What may be used here."""
        return (0 if self.unreported else self.own - self.lent_sum) + self.held_sum

    def free(self) -> int:
        return self.mine() - self.used

    def recall(self, lent: dict[int, Loan], held: dict[int, Loan]) -> None:
        """What was kept of the life before."""
        self.lent, self.held = lent, held
        self.telling = {*lent, *held}
        self.lent_sum = sum(loan.amount for loan in lent.values())
        self.held_sum = sum(loan.amount for loan in held.values())
        self.numbers[0] = max([self.numbers[0], *(loan.seq for loan in lent.values())])

    def set_lent(self, other: int, loan: Loan, after: int, amount: int) -> None:
        """Under a number that was never used, behind `after`."""
        self.numbers[0] = max(self.numbers[0], after) + 1
        self.telling.add(other)
        self.lent_sum += amount - loan.amount
        loan.seq, loan.amount, loan.open = self.numbers[0], amount, True
        self.dirty = True

    def to_tell(self) -> set[int]:
        """Those who have yet to hear of a grant, or of what is given back to them."""
        for n in [n for n in self.telling if not self.waits(self.lent, n) and not self.waits(self.held, n)]:
            self.telling.discard(n)
        return self.telling

    @staticmethod
    def waits(loans: dict[int, Loan], other: int) -> bool:
        loan = loans.get(other)
        return loan is not None and loan.open and loan.seq > 0

    # the others

    def reborn(self, other: int) -> None:
        """The other's process remembers nothing: what it held of this front's ended with it."""
        if loan := self.lent.get(other):
            self.set_lent(other, loan, loan.seq, 0)
        self.anew(other)

    def anew(self, other: int) -> None:
        """The other counts its grants anew; what is held of it stays so until it has heard."""
        if loan := self.held.get(other):
            loan.seq = 0

    def granted(self, other: int, seq: int, amount: int) -> None:
        """Another's word on what it lends this front, said in its present life to ours."""
        loan = self.held.setdefault(other, Loan(open=False))
        if seq > loan.seq:
            self.held_sum += amount - loan.amount
            loan.seq, loan.amount, loan.open = seq, amount, False
            self.dirty = True

    def returned(self, other: int, seq: int, amount: int) -> None:
        """Another's word on what it holds of this front's."""
        loan = self.lent.setdefault(other, Loan())
        if other in self.unreported:
            self.unreported.discard(other)
            self.set_lent(other, loan, max(loan.seq, seq), amount)
        elif seq == loan.seq:
            loan.open = False
            if amount < loan.amount:
                self.set_lent(other, loan, seq, amount)

    def lend(self, other: int, asked: int) -> int:
        """Lends as much as is asked of what is free, at most half of it. What was lent."""
        spare = max(0, self.own_free() - self.need)
        return self.grant(other, min(asked, (spare + 1) // 2))

    def grant(self, other: int, given: int) -> int:
        """Lends so much. What was lent: nothing, before all have spoken."""
        if given <= 0 or self.unreported:
            return 0
        loan = self.lent.setdefault(other, Loan())
        self.set_lent(other, loan, loan.seq, loan.amount + given)
        return given

    def own_free(self) -> int:
        """Of the own part alone: what is borrowed is not lent on."""
        return max(0, min(self.own - self.lent_sum, self.free()))

    def give_back(self, keep: int, only: int = -1) -> None:
        """All that is free over `keep`, of what is held of others, or of `only`."""
        spare = self.free() - keep
        for other, loan in self.held.items() if spare > 0 and self.held_sum else ():
            less = min(loan.amount, max(0, spare)) if only in (-1, other) else 0
            if less:
                self.let_go(other, loan, less)
                spare -= less

    def let_go(self, other: int, loan: Loan, less: int) -> None:
        loan.amount -= less
        loan.open = True
        self.telling.add(other)
        self.held_sum -= less
        self.dirty = True

    # loans that end by themselves

    def lapse(self, other: int) -> int:
        """What is held of another may be used no more. How much that was."""
        loan = self.held.get(other)
        amount = loan.amount if loan else 0
        if loan and amount:
            self.let_go(other, loan, amount)
        return amount

    def take_back(self, other: int) -> int:
        """What was lent to another has lapsed there by now. How much that was."""
        loan = self.lent.pop(other, None)
        if loan is None:
            return 0
        self.lent_sum -= loan.amount
        self.dirty = True
        return loan.amount

    def settled(self, other: int, listed: bool) -> None:
        """Drops loans that both sides know to be nothing. `listed`: the other's words, which leave out
        nothing that stands between the two, named this limit."""
        loan = self.lent.get(other)
        if loan and not loan.amount and (not loan.open or not loan.seq):
            del self.lent[other]
        loan = self.held.get(other)
        if loan and not loan.amount and not listed:
            del self.held[other]

    def idle(self) -> bool:
        """Nothing would be lost with it."""
        return not (self.used or self.need or self.lent or self.held)
