"""What becomes of the words that hooks say: which stand, which are overruled, by whom and why. Pure.

Order: scripts in the order of the settings, rules in the order of the file. Of two words that cannot both
stand the first does. Then the terms of the service are held against what stands; they always win.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from lemonhall import interface as i
from lemonhall.hooks.checker import Known

REASON_LETTERS = 64
LOG_LETTERS = 200
WHAT = {"hall": "zone", "rack": "cell", "kind": "kind"}
NO_CAP = 99


@dataclass(frozen=True)
class Said:
    """One word: by which script, at which line."""

    script: str
    word: str
    label: str
    value: Any
    line: int


@dataclass(frozen=True)
class Overruled:
    """A word that did not stand: `by` a script's name, or `terms`."""

    script: str
    line: int
    word: str
    by: str
    why: str


@dataclass(frozen=True)
class Session:
    """What the judge must know of a session. `asked` is its true class, by number."""

    asked: int
    moved: bool
    classes: tuple[i.SessionClass, ...]
    known: Known
    max_pause_ms: float


@dataclass
class Ruling:
    """What stands. `cls`: the class that the module is told."""

    cls: int
    advice: i.Advice = i.NO_ADVICE
    reason: str = ""  # of a refusal
    log: dict[str, Any] = field(default_factory=dict)
    metrics: list[tuple[str, float]] = field(default_factory=list)
    overruled: list[Overruled] = field(default_factory=list)


def lesser(own: i.SessionClass, other: i.SessionClass) -> str:
    """Why a session of one class may not be counted as another; "" if that promises no less."""
    order = (i.Repeat.SAFE, i.Repeat.KEYED, i.Repeat.PAID)
    if order.index(other.repeat) < order.index(own.repeat):
        return "its set-ups could be repeated"
    if other.floor < own.floor:
        return "its floor is lower"
    if other.scale != own.scale:
        return "its rates are others"
    if other.worth < own.worth:
        return "it is worth less"
    if other.deadline_ms > own.deadline_ms or other.aim_ms > own.aim_ms:
        return "it is answered later"
    if other.top < own.top:
        return "its best rung is lower"
    if own.seats:
        return "its seats would not be counted"
    return ""


class Judge:
    """Goes through the words of one session at one point."""

    def __init__(self, session: Session) -> None:
        self.session = session
        self.ruling = Ruling(session.asked)
        self.first: dict[Any, Said] = {}  # what was said first, by what it is about
        self.prefer: list[tuple[str, int]] = []
        self.avoid: list[tuple[str, int]] = []
        self.cap = self.start = NO_CAP
        self.pause_ms = 0.0
        self.refuse = False

    def overrule(self, said: Said, by: str, why: str) -> None:
        self.ruling.overruled.append(Overruled(said.script, said.line, said.word, by, why))

    def claim(self, said: Said, slot: Any, value: Any) -> bool:
        """Whether a word is the first on its matter, or says the same as the first."""
        held = self.first.setdefault(slot, said)
        if held is said:
            return True
        if held.value != value or held.word != said.word:
            self.overrule(said, held.script, f"{held.word} was said before, at line {held.line}")
        return False

    def judge(self, words: list[Said]) -> Ruling:
        for said in words:
            self.word(said)
        advice = i.Advice(
            tuple(self.prefer), tuple(self.avoid), self.cap, self.start, self.pause_ms, self.refuse
        )
        if advice != i.NO_ADVICE:
            self.ruling.advice = advice
        return self.ruling

    def word(self, said: Said) -> None:
        first, _, target = said.word.partition(" ")
        if first in ("prefer", "avoid"):
            self.towards(said, first, target)
        elif said.word in ("cap rung", "ask rung"):
            self.rung(said)
        elif said.word == "count as":
            self.count_as(said)
        elif said.word == "pause":
            self.pause(said)
        elif said.word in ("refuse", "limit"):
            self.refusal(said)
        elif said.word == "log":
            if self.claim(said, ("log", said.label), said.value):
                value = said.value[:LOG_LETTERS] if isinstance(said.value, str) else said.value
                self.ruling.log[said.label] = value
        elif said.word == "metric":
            if said.value < 0:
                self.overrule(said, "terms", "a counter only grows")
            else:
                self.ruling.metrics.append((said.label, said.value))

    def towards(self, said: Said, way: str, target: str) -> None:
        known = self.session.known
        if target == "rack":
            number = int(said.value) if 0 <= said.value < max(1, known.racks) else -1
        else:
            names = known.names(target)
            number = names.index(said.value) if said.value in names else -1
        if number < 0:
            self.overrule(said, "terms", f"there is no such {target}")
        elif self.claim(said, (target, number), said.value):
            (self.prefer if way == "prefer" else self.avoid).append((WHAT[target], number))

    def rung(self, said: Said) -> None:
        floor = self.session.classes[self.session.asked].floor
        rung = int(max(0.0, min(float(NO_CAP), said.value)))
        if not self.claim(said, said.word, said.value):
            return
        if rung < floor:
            self.overrule(said, "terms", f"the floor of the class is {floor}")
            rung = floor
        if said.word == "cap rung":
            self.cap = rung
        else:
            self.start = rung

    def count_as(self, said: Said) -> None:
        names, classes = self.session.known.classes, self.session.classes
        if said.value not in names:
            self.overrule(said, "terms", "there is no such class")
            return
        number = names.index(said.value)
        if number != self.session.asked and (why := lesser(classes[self.session.asked], classes[number])):
            self.overrule(said, "terms", why)
        elif self.claim(said, "count as", said.value):
            self.ruling.cls = number

    def pause(self, said: Said) -> None:
        if not self.claim(said, "pause", said.value):
            return
        most = self.session.max_pause_ms
        if not 0 < said.value <= most:
            self.overrule(said, "terms", f"a pause is over 0 s and at most {most / 1000:g} s")
        if said.value > 0:
            self.pause_ms = min(said.value, most)

    def refusal(self, said: Said) -> None:
        if self.session.moved:
            self.overrule(said, "terms", "the session has played: its set-up has run")
            return
        if self.refuse:  # several may refuse; the first gives the reason
            return
        self.refuse = True
        reason = said.label if said.word == "limit" else said.value
        self.ruling.reason = "".join(c for c in reason if " " <= c <= "~")[:REASON_LETTERS] or "refused"


def judge(session: Session, words: list[Said]) -> Ruling:
    """What stands of the words of all scripts, in their order."""
    return Judge(session).judge(words)


def merge(old: i.Advice, new: i.Advice) -> i.Advice:
    """Later advice in a session's life: new wishes over old ones, the lower cap, the rest as it was."""
    prefer = [w for w in (*new.prefer, *old.prefer) if w not in new.avoid]
    avoid = [w for w in (*new.avoid, *old.avoid) if w not in new.prefer]
    both = (tuple(dict.fromkeys(prefer)), tuple(dict.fromkeys(avoid)))
    start, pause_ms = min(old.start, new.start), old.pause_ms or new.pause_ms
    bars = tuple(sorted({*old.bars, *new.bars}))
    return i.Advice(*both, min(old.cap, new.cap), start, pause_ms, old.refuse or new.refuse, bars)
