"""One session's life in the operators' words, and a picture of all of them. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from html import escape
from typing import Any

from lemonhall import interface as i
from lemonhall.capture.replay import Step, Told
from lemonhall.interface import Outcome, ReasonCode

Words = Callable[[float], str]
REASONS: dict[ReasonCode, str] = {
    ReasonCode.DRAINING: "drains",
    ReasonCode.ALREADY_TRIED: "was tried already",
    ReasonCode.RECENT_FAILURE: "failed lately, and this session is paid (evidence {v:.1f})",
    ReasonCode.EJECTED: "is left alone for {v:.0f} ms more",
    ReasonCode.COLD_START: "is cold, and it is not this front's turn",
    ReasonCode.FULL: "is known full (room {v:.0f} kB/s)",
    ReasonCode.AVOIDED: "is set aside by what was wished",
    ReasonCode.CANDIDATE: "may be asked (room {v:.0f} kB/s)",
    ReasonCode.NO_ROOM: "has no room for {v:.0f} kB/s in reserve or pool",
    ReasonCode.RESERVE: "is taken, in its reserve, at {v:.0f} kB/s",
    ReasonCode.POOL: "is taken, in the pool, at {v:.0f} kB/s",
    ReasonCode.SUB_RATED: "is taken at {v:.0f} kB/s: others there were sub-rated for it",
    ReasonCode.NO_SEAT: "all {v:.0f} seats of the title are held",
    ReasonCode.GIVEN_UP: "no server is left to ask (attempts {v:.0f})",
    ReasonCode.RUNG_LOWERED: "a lower rung: its link or uplink gives {v:.0%} of what was asked",
    ReasonCode.RUNG_RAISED: "a higher rung: {v:.0f} kB/s were free",
    ReasonCode.RUNG_ADJUSTED: "the rung that the set-up's report left room for ({v:.0f} kB/s)",
}

# Events and actions that a capture's listing shows under another name than their class has.
PRINTED_NAMES: dict[type, str] = {
    i.AdviceChanged: "Advised",
    i.FleetChanged: "Fleet",
    i.LearnedState: "Memory",
    i.SendToPeers: "TellPeers",
    i.LogMessage: "Remark",
}


def printed_name(shown: Any) -> str:
    return PRINTED_NAMES.get(type(shown), type(shown).__name__)


def reason_words(reason: i.Reason) -> str:
    words = REASONS[reason.code].format(v=reason.value)
    if not reason.server:
        return words
    known = f"heard {reason.age_ms / 1000:.1f} s before" if reason.age_ms < 1e9 else "never heard of"
    return f"server {reason.server} {words}; {known}"


def event_words(event: Any) -> str:
    """ "" for what speaks of no session."""
    if isinstance(event, i.NewSession):
        more = " again" if event.repeated else ""
        more += ", moved" if event.moved else ""
        more += ", may have run before" if event.maybe_ran else ""
        wished = "" if event.advice == i.NO_ADVICE else f"; wished: {advice_words(event.advice)}"
        asked = f"class {event.cls}, title {event.title:016x}, {event.left_ms:.0f} ms left"
        return f"asked for{more}: {asked}{wished}"
    if isinstance(event, i.HandedOver):
        return f"handed over, playing at server {event.server}"
    if isinstance(event, i.AdviceChanged):
        return f"wished from now on: {advice_words(event.advice)}"
    if isinstance(event, i.Playing):
        return f"plays at server {event.server} after {event.took_ms:.0f} ms"
    if isinstance(event, i.Note):
        return f"told by server {event.server}: {i.NoteKind(event.kind).name.lower()} {event.value:.3g}"
    if isinstance(event, i.AttemptEnded):
        known = {o.value for o in Outcome}
        how = Outcome(event.outcome).name.lower() if event.outcome in known else str(event.outcome)
        return f"attempt {event.attempt} at server {event.server} ended: {how}"
    return "the viewer is gone" if isinstance(event, i.ViewerGone) else ""


def advice_words(advice: i.Advice) -> str:
    words = [
        f"{'prefer' if wished else 'avoid'} {kind} {n}"
        for wished, pairs in ((True, advice.prefer), (False, advice.avoid))
        for kind, n in pairs
    ]
    words += [f"no rung over {advice.cap}"] if advice.cap < 99 else []
    words += [f"begin at rung {advice.start}"] if advice.start < 99 else []
    words += ["refuse"] if advice.refuse else []
    return ", ".join(words) or "nothing"


def action_words(action: Any) -> str:
    if isinstance(action, i.SetUp):
        return f"set up at server {action.server}"
    if isinstance(action, i.SetRung):
        return f"rung {action.rung}"
    if isinstance(action, i.Refuse):
        return f"refused, pause {action.pause_ms / 1000:.1f} s"
    if isinstance(action, i.Fail):
        return "failed: it may have run"
    return {i.Move: "moved", i.Cancel: "the attempt is called off"}.get(type(action), "")


def ident_of(told: Any) -> int | None:
    if isinstance(told, i.HandedOver):
        return told.session.id
    found: int | None = getattr(told, "id", None)
    return found


def story(steps: list[Step | Told], session: int, start: float) -> list[str]:
    """Lines with seconds since `start`; none if nothing speaks of this session."""
    lines, own = [], False
    for step in steps:
        if isinstance(step, Told):
            word = step.record.word if step.record.WhichOneof("what") == "word" else None
            own |= bool(word and word.session == session)
            if word and word.session in (0, session):
                lines.append(f"{(word.now - start) / 1000:9.3f} s  {word.who}: {word.text}")
            continue
        at = f"{(step.now - start) / 1000:9.3f} s  "
        for event in step.events:
            if ident_of(event) == session and (words := event_words(event)):
                own = True
                lines.append(at + words)
        for reason in step.reasons:
            if reason.session == session:
                lines.append(f"{at}  because {reason_words(reason)}")
        for action in step.recorded:
            if ident_of(action) == session and (words := action_words(action)):
                lines.append(f"{at}> {words}")
    return lines if own else []


PAGE = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{title}</title>
<style>body{{font:14px sans-serif;margin:1.5em}}text{{font:11px sans-serif}}
.p{{fill:#4a7fb5}}.r{{fill:#c0392b}}
.l{{stroke:#bbb}}.w{{stroke:#d98c00}}.s{{fill:#9db7d1}}</style><h1>{title}</h1><p>{about}</p>
"""
WIDTH, LANE, LEFT = 1100, 16, 90


@dataclass
class Front:
    """One front's capture, for a picture of several. `offset`: its clock to Unix time, ms."""

    name: str
    steps: list[Step | Told]
    offset: float = 0.0

    @property
    def span(self) -> tuple[float, float]:
        times = [s.now + self.offset for s in self.steps if isinstance(s, Step)]
        return (times[0], times[-1]) if times else (0.0, 0.0)


def timeline(steps: list[Step | Told], title: str) -> str:
    return timelines([Front("", steps)], title)


def timelines(fronts: list[Front], title: str) -> str:
    """For each front a lane a server with its sessions as bars, refusals above, list versions and words as
    lines; all on one axis of time, by each front's own wall clock."""
    held = [f for f in fronts if any(isinstance(s, Step) for s in f.steps)]
    if not held:
        return PAGE.format(title=escape(title), about="no call of the module") + "</html>\n"
    first = min(f.span[0] for f in held)
    last = max(first + 1, *(f.span[1] for f in held))

    def x(now: float) -> float:
        return LEFT + (WIDTH - LEFT) * (now - first) / (last - first)

    parts, totals = [], [0, 0, 0]
    for front in held:
        drawn = Drawn(front)
        parts.append(drawn.svg(x))
        calls = sum(isinstance(s, Step) for s in front.steps)
        totals = [a + b for a, b in zip(totals, (calls, len(drawn.bars), len(drawn.marks)), strict=True)]
    seconds = (last - first) / 1000
    about = f"{totals[0]} calls in {seconds:.1f} s, {totals[1]} sessions played, {totals[2]} refused"
    return PAGE.format(title=escape(title), about=about) + "".join(parts) + "</html>\n"


class Drawn:
    """What of one front is drawn: bars of sessions by server, marks of refusals, lines of what was told."""

    def __init__(self, front: Front) -> None:
        self.front = front
        self.bars: list[tuple[int, float, float, int]] = []
        self.marks: list[tuple[float, Any]] = []
        self.lines: list[tuple[float, str, str]] = []
        self.open_at: dict[int, tuple[int, float]] = {}
        for step in front.steps:
            if isinstance(step, Told):
                self.told(step.record)
            else:
                self.step(step, step.now + front.offset)
        last = front.span[1]
        self.bars += [(server, since, last, ident) for ident, (server, since) in self.open_at.items()]

    def told(self, record: Any) -> None:
        if record.WhichOneof("what") == "word" and not record.word.session:
            word = record.word
            self.lines.append((word.now + self.front.offset, "w", f"{word.who}: {word.text}"))

    def step(self, step: Step, now: float) -> None:
        for event in step.events:
            ident = ident_of(event)
            if isinstance(event, i.Playing | i.HandedOver) and ident is not None:
                self.open_at[ident] = (event.server, now)
            elif isinstance(event, i.AttemptEnded) and event.id in self.open_at:
                server, since = self.open_at.pop(event.id)
                self.bars.append((server, since, now, event.id))
            elif isinstance(event, i.ServerList):
                self.lines.append((now, "l", f"list {event.kind.name.lower()} {event.version}"))
        self.marks += [(now, a) for a in step.recorded if isinstance(a, i.Refuse | i.Fail)]

    def svg(self, x: Callable[[float], float]) -> str:
        lanes = {server: n for n, server in enumerate(sorted({b[0] for b in self.bars}))}
        height = 40 + LANE * (len(lanes) + 1)
        head = f"<h2>{escape(self.front.name)}</h2>" if self.front.name else ""
        out = [head, f'<svg width="{WIDTH}" height="{height}" role="img">']
        for now, kind, words in self.lines:
            at = f'x1="{x(now):.1f}" x2="{x(now):.1f}" y1="20" y2="{height}"'
            out.append(f'<line class="{kind}" {at}><title>{escape(words)}</title></line>')
        for now, action in self.marks:
            out.append(
                f'<circle class="r" cx="{x(now):.1f}" cy="12" r="2.5"><title>session {action.id}: '
                f"{escape(action_words(action))}</title></circle>"
            )
        for server, n in lanes.items():
            out.append(f'<text x="2" y="{40 + n * LANE}">server {server}</text>')
        for server, since, until, ident in self.bars:
            y = 30 + lanes[server] * LANE
            wide = max(1.0, x(until) - x(since))
            out.append(
                f'<rect class="p" opacity="0.35" x="{x(since):.1f}" y="{y}" width="{wide:.1f}" '
                f'height="{LANE - 4}"><title>session {ident}, {(until - since) / 1000:.1f} s</title></rect>'
            )
        return "".join([*out, "</svg>"])
