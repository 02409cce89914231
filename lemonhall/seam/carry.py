"""One ask at its worker: what may be sent, what is told to which decider, what an end means. Pure.

A worker outlives its decider, and may lose its link to one that lives. So each step is bound to the link over
which it was allowed:

    held     no decider has it: none is there, or the one that had it is gone
    told     the decider has it; no attempt is out
    out      an attempt connects; its request may not leave yet
    left     its request may leave: from here on it may have run
    playing  the viewer has its answer
    over     the viewer has its answer, or nobody waits for one

When the link is lost an attempt that is *out* is dropped: nothing of it has left, and the next decider is
told so. One that has *left* goes on alone; it comes to play, or its end is told to the next decider as a new
ask, with what the end proves. Nothing that was allowed over one link is done under another.
"""

from __future__ import annotations

from enum import Enum


class Stage(Enum):
    HELD = "held"
    TOLD = "told"
    OUT = "out"
    LEFT = "left"
    PLAYING = "playing"
    OVER = "over"


class Tell(Enum):
    """What the decider of a new link hears of an ask."""

    NOTHING = "nothing"
    ASKED = "asked"
    CARRIED = "carried"


class Next(Enum):
    """What becomes of an ask when its attempt has ended."""

    REPORT = "report"  # the decider that allowed it hears of it
    AGAIN = "again"  # nobody knows of it any more: it is asked for anew
    NOTHING = "nothing"


class Carry:
    """`most`: attempts of one ask, under whichever deciders. Links are numbered from 1; 0: there is none."""

    __slots__ = ("link", "made", "most", "number", "ran", "stage", "tries", "turn", "unsent")

    def __init__(self, most: int) -> None:
        self.most = most
        self.stage = Stage.HELD
        self.link = 0  # over which the decider has it
        self.tries = 0  # attempts so far
        self.number = -1  # of the attempt that is out, as its decider counts
        self.turn = self.made = 0  # of its claim, as the ledger has it
        self.unsent = (0, 0)  # turn and number of an attempt that the ledger has as out and that never ran
        self.ran = False  # an attempt may have run, and nobody was told

    def tell(self, link: int) -> Tell:
        """A link is there, or has been for this new ask."""
        if self.stage is Stage.HELD:
            self.stage, self.link = Stage.TOLD, link
            return Tell.ASKED
        if self.stage is Stage.PLAYING and self.link != link:
            self.link = link
            self.number = 0  # the decider counts anew
            return Tell.CARRIED
        return Tell.NOTHING

    def untell(self) -> None:
        """There was no room for it in the queue."""
        self.stage = Stage.HELD

    def set_up(self, link: int, number: int, hold: bool, turn: int, made: int) -> bool:
        """Whether an attempt may begin. If not, the decider hears at once that it never did."""
        if self.stage is not Stage.TOLD or self.link != link or self.tries >= self.most:
            return False
        self.tries += 1
        self.number, self.turn, self.made = number, turn, made
        self.unsent, self.ran = (0, 0), False  # the decider has heard of both
        self.stage = Stage.OUT if hold else Stage.LEFT
        return True

    def clear(self, link: int, number: int) -> bool:
        """Whether the request of the attempt that is out may leave now."""
        if self.stage is not Stage.OUT or self.link != link or self.number != number:
            return False
        self.stage = Stage.LEFT
        return True

    def cut(self) -> bool:
        """The link is gone. True: the attempt that is out is to be dropped, unsent."""
        drop = self.stage is Stage.OUT
        if drop:
            self.unsent = (self.turn, self.made)
        if drop or self.stage is Stage.TOLD:
            self.stage = Stage.HELD
        if self.stage is not Stage.OVER:
            self.link = 0
        return drop

    def ended(self, link: int, left: bool, never_ran: bool) -> Next:
        """The attempt has ended. `left`: bytes of its request had left; `never_ran`: its end proves that."""
        if self.stage in (Stage.OVER, Stage.PLAYING):
            self.stage = Stage.OVER
            return Next.REPORT if self.link and self.link == link else Next.NOTHING
        if self.stage not in (Stage.OUT, Stage.LEFT):
            return Next.NOTHING
        if never_ran or not left:
            self.unsent = (self.turn, self.made)
        else:
            self.ran = True
        if self.link and self.link == link:  # the report may be lost with its decider: what it proves stays
            self.stage = Stage.TOLD
            return Next.REPORT
        self.stage = Stage.HELD
        return Next.AGAIN

    def plays(self, link: int) -> Tell:
        """Media have come. CARRIED: the decider of this link has not heard of it and is told now."""
        if self.stage is not Stage.LEFT:
            return Tell.NOTHING
        self.stage = Stage.PLAYING
        if self.link and self.link == link:
            return Tell.ASKED  # it knows: the usual word is enough
        return self.tell(link) if link else Tell.NOTHING

    def may_have_run(self) -> bool:
        """Whether the viewer must not be told that nothing ran: asked before `close`."""
        return self.ran or self.stage in (Stage.LEFT, Stage.PLAYING)

    def close(self, link: int) -> bool:
        """The ask is over. Whether the decider of this link knows of it, and so must hear of its end."""
        known = bool(link) and self.link == link and self.stage not in (Stage.HELD, Stage.OVER)
        self.stage = Stage.OVER
        return known
