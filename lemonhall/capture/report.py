"""Renders captures for operators: the history of one session as text, and all sessions as an HTML timeline.

This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from html import escape
from typing import Any

from lemonhall import interface
from lemonhall.capture.replay import OtherRecord, ReplayedCall
from lemonhall.interface import Outcome, ReasonCode

Formatter = Callable[[float], str]
REASON_TEXTS: dict[ReasonCode, str] = {
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

# Events and actions that the listing of a capture shows under another name than their class has.
PRINTED_NAMES: dict[type, str] = {
    interface.AdviceChanged: "Advised",
    interface.FleetChanged: "Fleet",
    interface.LearnedState: "Memory",
    interface.SendToPeers: "TellPeers",
    interface.LogMessage: "Remark",
}


def printed_name(event_or_action: Any) -> str:
    return PRINTED_NAMES.get(type(event_or_action), type(event_or_action).__name__)


def describe_reason(reason: interface.Reason) -> str:
    text = REASON_TEXTS[reason.code].format(v=reason.value)
    if not reason.server:
        return text
    known = f"heard {reason.age_ms / 1000:.1f} s before" if reason.age_ms < 1e9 else "never heard of"
    return f"server {reason.server} {text}; {known}"


def describe_event(event: Any) -> str:
    """Returns "" for an event that does not belong to a session."""
    if isinstance(event, interface.NewSession):
        flags = " again" if event.repeated else ""
        flags += ", moved" if event.moved else ""
        flags += ", may have run before" if event.maybe_ran else ""
        advice = "" if event.advice == interface.NO_ADVICE else f"; wished: {describe_advice(event.advice)}"
        request = f"class {event.cls}, title {event.title:016x}, {event.left_ms:.0f} ms left"
        return f"asked for{flags}: {request}{advice}"
    if isinstance(event, interface.HandedOver):
        return f"handed over, playing at server {event.server}"
    if isinstance(event, interface.AdviceChanged):
        return f"wished from now on: {describe_advice(event.advice)}"
    if isinstance(event, interface.Playing):
        return f"plays at server {event.server} after {event.took_ms:.0f} ms"
    if isinstance(event, interface.Note):
        return (
            f"told by server {event.server}: {interface.NoteKind(event.kind).name.lower()} {event.value:.3g}"
        )
    if isinstance(event, interface.AttemptEnded):
        known = {outcome.value for outcome in Outcome}
        outcome_text = Outcome(event.outcome).name.lower() if event.outcome in known else str(event.outcome)
        return f"attempt {event.attempt} at server {event.server} ended: {outcome_text}"
    return "the viewer is gone" if isinstance(event, interface.ViewerGone) else ""


def describe_advice(advice: interface.Advice) -> str:
    texts = [
        f"{'prefer' if preferred else 'avoid'} {kind} {number}"
        for preferred, pairs in ((True, advice.prefer), (False, advice.avoid))
        for kind, number in pairs
    ]
    texts += [f"no rung over {advice.cap}"] if advice.cap < 99 else []
    texts += [f"begin at rung {advice.start}"] if advice.start < 99 else []
    texts += ["refuse"] if advice.refuse else []
    return ", ".join(texts) or "nothing"


def describe_action(action: Any) -> str:
    if isinstance(action, interface.SetUp):
        return f"set up at server {action.server}"
    if isinstance(action, interface.SetRung):
        return f"rung {action.rung}"
    if isinstance(action, interface.Refuse):
        return f"refused, pause {action.pause_ms / 1000:.1f} s"
    if isinstance(action, interface.Fail):
        return "failed: it may have run"
    return {interface.Move: "moved", interface.Cancel: "the attempt is called off"}.get(type(action), "")


def session_id_of(event_or_action: Any) -> int | None:
    if isinstance(event_or_action, interface.HandedOver):
        return event_or_action.session.id
    found: int | None = getattr(event_or_action, "id", None)
    return found


def describe_session(
    replayed: list[ReplayedCall | OtherRecord], session_id: int, start_ms: float
) -> list[str]:
    """Returns the history of a session as lines with the seconds since `start_ms` of the module's clock.

    Returns no lines if nothing in the capture refers to the session.
    """
    lines, mentioned = [], False
    for entry in replayed:
        if isinstance(entry, OtherRecord):
            note = entry.record.word if entry.record.WhichOneof("what") == "word" else None
            mentioned |= bool(note and note.session == session_id)
            if note and note.session in (0, session_id):
                lines.append(f"{(note.now - start_ms) / 1000:9.3f} s  {note.who}: {note.text}")
            continue
        at = f"{(entry.now - start_ms) / 1000:9.3f} s  "
        for event in entry.events:
            if session_id_of(event) == session_id and (text := describe_event(event)):
                mentioned = True
                lines.append(at + text)
        for reason in entry.reasons:
            if reason.session == session_id:
                lines.append(f"{at}  because {describe_reason(reason)}")
        for action in entry.recorded:
            if session_id_of(action) == session_id and (text := describe_action(action)):
                lines.append(f"{at}> {text}")
    return lines if mentioned else []


PAGE_HEADER = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{title}</title>
<style>body{{font:14px sans-serif;margin:1.5em}}text{{font:11px sans-serif}}
.p{{fill:#4a7fb5}}.r{{fill:#c0392b}}
.l{{stroke:#bbb}}.w{{stroke:#d98c00}}.s{{fill:#9db7d1}}</style><h1>{title}</h1><p>{about}</p>
"""
WIDTH_PX, LANE_HEIGHT_PX, LABEL_WIDTH_PX = 1100, 16, 90


@dataclass
class FrontCapture:
    """The replayed capture of one front. `clock_offset_ms` is added to its clock to get Unix time."""

    name: str
    replayed: list[ReplayedCall | OtherRecord]
    clock_offset_ms: float = 0.0

    @property
    def time_span(self) -> tuple[float, float]:
        """Unix time of the first and the last call, in ms."""
        times = [call.now + self.clock_offset_ms for call in self.replayed if isinstance(call, ReplayedCall)]
        return (times[0], times[-1]) if times else (0.0, 0.0)


def render_timeline(replayed: list[ReplayedCall | OtherRecord], title: str) -> str:
    """Returns the HTML page of one front."""
    return render_timelines([FrontCapture("", replayed)], title)


def render_timelines(fronts: list[FrontCapture], title: str) -> str:
    """Returns one HTML page for several fronts, drawn below one another on a common time axis.

    Each front has a lane per server with its sessions as bars, refusals above the lanes, and vertical lines
    for versions of the server list and for notes. Times are those of each front's wall clock.
    """
    with_calls = [f for f in fronts if any(isinstance(entry, ReplayedCall) for entry in f.replayed)]
    if not with_calls:
        return PAGE_HEADER.format(title=escape(title), about="no call of the module") + "</html>\n"
    first_ms = min(front.time_span[0] for front in with_calls)
    last_ms = max(first_ms + 1, *(front.time_span[1] for front in with_calls))

    def to_x(time_ms: float) -> float:
        return LABEL_WIDTH_PX + (WIDTH_PX - LABEL_WIDTH_PX) * (time_ms - first_ms) / (last_ms - first_ms)

    drawings, totals = [], [0, 0, 0]
    for front in with_calls:
        drawing = FrontDrawing(front)
        drawings.append(drawing.to_svg(to_x))
        calls = sum(isinstance(entry, ReplayedCall) for entry in front.replayed)
        totals = [
            total + count
            for total, count in zip(totals, (calls, len(drawing.bars), len(drawing.refusals)), strict=True)
        ]
    seconds = (last_ms - first_ms) / 1000
    about = f"{totals[0]} calls in {seconds:.1f} s, {totals[1]} sessions played, {totals[2]} refused"
    return PAGE_HEADER.format(title=escape(title), about=about) + "".join(drawings) + "</html>\n"


class FrontDrawing:
    """What is drawn of one front: a bar for each session, refusals, and lines for lists and notes.

    All times are Unix time in ms.
    """

    def __init__(self, front: FrontCapture) -> None:
        self.front = front
        self.bars: list[tuple[int, float, float, int]] = []  # server, start, end, session id
        self.refusals: list[tuple[float, Any]] = []  # time, action
        self.lines: list[tuple[float, str, str]] = []  # time, CSS class, title
        self.playing: dict[int, tuple[int, float]] = {}  # server and start, by session id
        for entry in front.replayed:
            if isinstance(entry, OtherRecord):
                self.add_record(entry.record)
            else:
                self.add_call(entry, entry.now + front.clock_offset_ms)
        last_ms = front.time_span[1]
        self.bars += [
            (server, start, last_ms, session_id) for session_id, (server, start) in self.playing.items()
        ]

    def add_record(self, record: Any) -> None:
        if record.WhichOneof("what") == "word" and not record.word.session:
            note = record.word
            self.lines.append((note.now + self.front.clock_offset_ms, "w", f"{note.who}: {note.text}"))

    def add_call(self, call: ReplayedCall, time_ms: float) -> None:
        for event in call.events:
            session_id = session_id_of(event)
            if isinstance(event, interface.Playing | interface.HandedOver) and session_id is not None:
                self.playing[session_id] = (event.server, time_ms)
            elif isinstance(event, interface.AttemptEnded) and event.id in self.playing:
                server, start = self.playing.pop(event.id)
                self.bars.append((server, start, time_ms, event.id))
            elif isinstance(event, interface.ServerList):
                self.lines.append((time_ms, "l", f"list {event.kind.name.lower()} {event.version}"))
        self.refusals += [
            (time_ms, action)
            for action in call.recorded
            if isinstance(action, interface.Refuse | interface.Fail)
        ]

    def to_svg(self, to_x: Callable[[float], float]) -> str:
        """`to_x` maps a time to a horizontal position."""
        lanes = {server: lane for lane, server in enumerate(sorted({bar[0] for bar in self.bars}))}
        height = 40 + LANE_HEIGHT_PX * (len(lanes) + 1)
        heading = f"<h2>{escape(self.front.name)}</h2>" if self.front.name else ""
        out = [heading, f'<svg width="{WIDTH_PX}" height="{height}" role="img">']
        for time_ms, css_class, title in self.lines:
            ends = f'x1="{to_x(time_ms):.1f}" x2="{to_x(time_ms):.1f}" y1="20" y2="{height}"'
            out.append(f'<line class="{css_class}" {ends}><title>{escape(title)}</title></line>')
        for time_ms, action in self.refusals:
            out.append(
                f'<circle class="r" cx="{to_x(time_ms):.1f}" cy="12" r="2.5"><title>session {action.id}: '
                f"{escape(describe_action(action))}</title></circle>"
            )
        for server, lane in lanes.items():
            out.append(f'<text x="2" y="{40 + lane * LANE_HEIGHT_PX}">server {server}</text>')
        for server, start, end, session_id in self.bars:
            y = 30 + lanes[server] * LANE_HEIGHT_PX
            width = max(1.0, to_x(end) - to_x(start))
            out.append(
                f'<rect class="p" opacity="0.35" x="{to_x(start):.1f}" y="{y}" width="{width:.1f}" '
                f'height="{LANE_HEIGHT_PX - 4}"><title>session {session_id}, '
                f"{(end - start) / 1000:.1f} s</title></rect>"
            )
        return "".join([*out, "</svg>"])
