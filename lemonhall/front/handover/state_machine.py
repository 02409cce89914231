"""A change of guard, step by step: who owns what, whoever dies when. Pure: what happens in, effects out.

What is handed over goes in portions: 0 is the front itself (listeners, store, membership), each later one
some connections. With each goes a baton: a pipe that holds one byte. Both processes have it, and the kernel
gives the byte to one reader only: who reads it owns the portion, the other lets go. So there is no moment at
which both own it, and none at which neither can, whichever process dies and whatever words are lost.

`Giver` is the front that is relieved, `Taker` its successor. A channel that ends means that the other process
has ended: nobody closes it before the end.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class Do(Enum):
    """Effects. Each has a portion's number where it speaks of one."""

    HAND = auto()  # giver: freeze the portion and send it, with its baton
    TRY = auto()  # both: read the portion's baton, and say how it went by `tried`
    RESUME = auto()  # giver: it is still ours, as it was
    FORGET = auto()  # giver: it is the successor's; close our copies
    NEXT = auto()  # giver: say what the next portion is, by `portion` or `nothing_left`
    SERVE = auto()  # both: be the front: accept, take part among the members
    LAST = auto()  # giver: ask whether the successor is there, before it is left alone
    OVER = auto()  # giver: end, nothing is left here
    DRAIN = auto()  # giver: no successor takes these: play them out, beside the new front
    OWN = auto()  # taker: start what was unpacked
    DROP = auto()  # taker: close what was unpacked, it is not ours
    HERE = auto()  # taker: say so
    TOOK = auto()  # taker: tell the giver that the baton has been tried
    END = auto()  # taker: it was not needed


@dataclass(frozen=True)
class Effect:
    do: Do
    portion: int = 0


class HandoverSource:
    def __init__(self) -> None:
        self.out: int | None = None  # the portion whose owner is not known
        self.lost = False  # the channel is gone
        self.relieved = False  # the successor is the front
        self.handed = 0  # portions so far

    def asked(self, fine: bool) -> list[Effect]:
        """A successor says hello. One at a time, and only if its settings fit (`fine`)."""
        if not fine or self.out is not None or self.relieved:
            return []
        self.out, self.lost = 0, False
        return [Effect(Do.HAND, 0)]

    def answered(self, portion: int) -> list[Effect]:
        """It has tried the baton, or says that it cannot use the portion, or has been silent for too long."""
        return [Effect(Do.TRY, portion)] if portion == self.out else []

    def gone(self) -> list[Effect]:
        """The channel has ended: the successor is no more."""
        self.lost = True
        if self.out is not None:
            return [Effect(Do.TRY, self.out)]
        return self.alone()

    def tried(self, portion: int, won: bool) -> list[Effect]:
        self.out = None
        if portion == 0:
            if won or self.lost:  # never given, or the front died with it: its listeners are still here too
                return [Effect(Do.RESUME, 0)]
            self.relieved = True
            return [Effect(Do.FORGET, 0), Effect(Do.NEXT)]
        kept = [Effect(Do.RESUME if won else Do.FORGET, portion)]
        if self.lost:
            return kept + self.alone()
        return [*kept, Effect(Do.DRAIN)] if won else [*kept, Effect(Do.NEXT)]

    def portion(self) -> list[Effect]:
        """There is a next one."""
        if self.lost or not self.relieved:
            return []
        self.handed += 1
        self.out = self.handed
        return [Effect(Do.HAND, self.handed)]

    def nothing_left(self) -> list[Effect]:
        return [Effect(Do.LAST)] if self.relieved and not self.lost else []

    def confirmed(self) -> list[Effect]:
        """The successor is there and has all: from here on its end is its own matter."""
        return [Effect(Do.OVER)] if self.relieved and not self.lost and self.out is None else []

    def alone(self) -> list[Effect]:
        """The successor died after it had become the front: this one is the front again."""
        if not self.relieved:
            return []
        self.relieved = False
        return [Effect(Do.SERVE)]


class HandoverTarget:
    def __init__(self) -> None:
        self.serving = False
        self.ended = False

    def handed(self, portion: int, fine: bool) -> list[Effect]:
        """A portion has come and was unpacked. Not `fine`: it cannot be used here; its baton stays."""
        if not fine:
            if portion == 0:
                self.ended = True
                return [Effect(Do.END)]
            return [Effect(Do.DROP, portion), Effect(Do.TOOK, portion)]
        return [Effect(Do.TRY, portion)]

    def tried(self, portion: int, won: bool) -> list[Effect]:
        if not won:
            if portion == 0:
                self.ended = True
                return [Effect(Do.END)]
            return [Effect(Do.DROP, portion)]
        if portion == 0:
            self.serving = True
            return [Effect(Do.SERVE), Effect(Do.TOOK, 0)]
        return [Effect(Do.OWN, portion), Effect(Do.TOOK, portion)]

    def last(self) -> list[Effect]:
        """The old front has nothing left, and asks."""
        return [Effect(Do.HERE)] if self.serving else []

    def gone(self) -> list[Effect]:
        """The old front is no more. What it had sent has been read: if nothing, this one begins anew."""
        if self.serving or self.ended:
            return []
        self.serving = True
        return [Effect(Do.SERVE)]
