"""A viewer's connection with its sessions and their servers' connections, written down and read again.

Only what is quiet can be handed over: every answer has been given, every session waits or plays. The sockets
themselves travel beside it, in the order in which they are named. Times are of the machine's monotonic clock,
which both processes share.
"""

from __future__ import annotations

import base64
import socket
from collections import deque
from dataclasses import asdict
from typing import Any

from lemonhall.front.process.daemon import Daemon
from lemonhall.front.servers.attempt import Attempt
from lemonhall.front.servers.attempt import State as AttemptState
from lemonhall.front.viewers.routes import Asked
from lemonhall.front.viewers.session import Ask, Session, State, ViewerTrack
from lemonhall.front.viewers.viewer import ViewerConnection
from lemonhall.interface import Outcome
from lemonhall.ipc import (
    AttemptFinished,
    MalformedMessage,
    MessageDecoder,
    RequestStage,
    SetUpRequested,
    ViewerGone,
    encode,
)
from lemonhall.loop import Handler, Stream
from lemonhall.rtsp import Parser
from lemonhall.store import Token

Packed = dict[str, Any]


def text(data: bytes) -> str:
    return base64.b64encode(data).decode()


def quiet(viewer: ViewerConnection) -> bool:
    """Whether nothing is under way on it that the other process could not go on with."""
    stream = viewer.stream
    if viewer.ending or viewer.slots or viewer.parser.broken or not fit(stream):
        return False
    return all(
        s.state is State.READY
        or (s.state is State.PLAYING and s.ask and s.ask.attempt and s.ask.answered and plays(s.ask.attempt))
        for s in viewer.sessions.values()
    )


def fit(stream: Stream) -> bool:
    return stream.open and not stream.closing and not stream.connecting


def plays(attempt: Attempt) -> bool:
    return attempt.state is AttemptState.PLAYING and fit(attempt.stream) and not attempt.parser.broken


def streams(viewer: ViewerConnection) -> list[Stream]:
    """The viewer's, then its servers', in the order of its sessions."""
    asks = [s.ask for s in viewer.sessions.values() if s.state is State.PLAYING]
    return [viewer.stream, *(a.attempt.stream for a in asks if a and a.attempt)]


# writing


def pack_stream(stream: Stream) -> Packed:
    return {
        "out": text(b"".join(bytes(part) for part in stream.send_queue)),
        "written": stream.bytes_written,
        "read": stream.bytes_read,
        "paused": stream.reading_paused,
        "was_full": stream.above_high_watermark,
        "stalled_since": stream.stalled_since,
    }


def pack_track(track: ViewerTrack) -> Packed:
    rtp = track.rtp
    return {
        "channels": track.channels,
        "control": track.control,
        "clock": rtp.clock_rate,
        "ssrc": rtp.ssrc,
        "last": rtp.last_sent,
        "offsets": rtp.offsets,
        "joining": rtp.resync,
    }


def pack_attempt(attempt: Attempt) -> Packed:
    return {
        "number": attempt.number,
        "server": attempt.server,
        "url": attempt.url,
        "tracks": attempt.tracks,
        "headers": attempt.headers,
        "bandwidth": attempt.bandwidth,
        "start_s": attempt.start_s,
        "began": attempt.started_at,
        "kept": text(bytes(attempt.parser.kept)),
        "cseq": attempt.cseq,
        "session": attempt.session,
        "waiting": attempt.pending_methods,
        "report": attempt.report,
        "stream": pack_stream(attempt.stream),
    }


def pack_ask(daemon: Daemon, ask: Ask) -> Packed:
    assert ask.attempt
    known = daemon.set_up_requests.open_requests.get(ask.number)
    return {
        "said": text(encode(ask.said)),
        "memo": text(daemon.set_up_requests.pack_memo(known) if known else ask.memo),
        "rung": ask.rung,
        "claimed": [ask.carry.claim_turn, ask.carry.claim_attempts],
        "attempt": pack_attempt(ask.attempt),
    }


def pack_session(daemon: Daemon, session: Session) -> Packed:
    playing = session.state is State.PLAYING
    return {
        "id": session.id,
        "path": session.path,
        "there": session.there,
        "asked": asdict(session.asked),
        "viewer_name": session.viewer_name,
        "top": session.top,
        "tracks": [[n, pack_track(t)] for n, t in session.tracks.items()],
        "position_s": session.position_s,
        "since": session.since,
        "again": session.again,
        "held_back": session.held_back,
        "claim": str(session.claim or ""),
        "ask": pack_ask(daemon, session.ask) if playing and session.ask else None,
    }


def pack(daemon: Daemon, viewer: ViewerConnection) -> Packed:
    return {
        "peer": str(viewer.peer),
        "kept": text(bytes(viewer.parser.kept)),
        "last": viewer.last,
        "last_answer": None if viewer.last_answer is None else text(viewer.last_answer),
        "active_at": viewer.active_at,
        "asked": viewer.asked,
        "stream": pack_stream(viewer.stream),
        "sessions": [pack_session(daemon, s) for s in viewer.sessions.values()],
    }


# reading


def unpack_stream(daemon: Daemon, packed: Packed, fd: int, handler: Handler, high: int) -> Stream:
    """As it was, but frozen."""
    stream = Stream(daemon.loop, socket.socket(fileno=fd), handler, high, io_suspended=True)
    if waiting := base64.b64decode(packed["out"]):
        stream.send_queue = deque([memoryview(waiting)])
        stream.backlog_bytes = len(waiting)
    stream.bytes_written, stream.bytes_read = packed["written"], packed["read"]
    stream.reading_paused, stream.above_high_watermark = packed["paused"], packed["was_full"]
    stream.stalled_since = packed["stalled_since"]
    return stream


def parser_of(kept: str) -> Parser:
    parser = Parser()
    parser.kept = bytearray(base64.b64decode(kept))
    return parser


def unpack_track(packed: Packed) -> ViewerTrack:
    first, second = packed["channels"]
    track = ViewerTrack((first, second), packed["control"], packed["clock"])
    track.rtp.ssrc, track.rtp.resync = packed["ssrc"], packed["joining"]
    track.rtp.last_sent = None if packed["last"] is None else tuple(packed["last"])
    track.rtp.offsets = None if packed["offsets"] is None else tuple(packed["offsets"])
    return track


def unpack_attempt(daemon: Daemon, ask: Ask, packed: Packed, fd: int) -> Attempt:
    attempt = Attempt.__new__(Attempt)
    attempt.loop, attempt.owner = daemon.loop, ask
    attempt.number, attempt.server, attempt.url = packed["number"], packed["server"], packed["url"]
    attempt.tracks = [(control, (a, b)) for control, (a, b) in packed["tracks"]]
    attempt.headers = [(name, value) for name, value in packed["headers"]]
    attempt.bandwidth, attempt.start_s = packed["bandwidth"], packed["start_s"]
    attempt.report_fields = daemon.settings.terms.report_fields
    attempt.state, attempt.teardown_outcome = AttemptState.PLAYING, Outcome.OK
    attempt.started_at, attempt.parser = packed["began"], parser_of(packed["kept"])
    attempt.cseq, attempt.tracks_set_up = packed["cseq"], len(attempt.tracks)
    attempt.session, attempt.pending_methods = packed["session"], dict(packed["waiting"])
    attempt.report = tuple(packed["report"])
    attempt.play_ok = attempt.media_seen = attempt.may_send = True
    attempt.timer = None
    attempt.stream = unpack_stream(daemon, packed["stream"], fd, attempt, 1 << 18)
    return attempt


def unpack_ask(daemon: Daemon, session: Session, packed: Packed, fd: int) -> Ask:
    worker = daemon.worker
    said = MessageDecoder().feed(base64.b64decode(packed["said"]))[0]
    if isinstance(said, MalformedMessage) or not isinstance(said, SetUpRequested):
        raise ValueError("a session that cannot be read")
    said.request_id = worker.next_ask
    worker.next_ask += 1
    ask = Ask(session, said, daemon.settings.terms.max_attempts)
    ask.rung, ask.answered, ask.memo = packed["rung"], True, base64.b64decode(packed["memo"])
    ask.carry.stage, ask.carry.attempts_made = RequestStage.PLAYING, 1
    ask.carry.claim_turn, ask.carry.claim_attempts = packed["claimed"]
    ask.attempt = unpack_attempt(daemon, ask, packed["attempt"], fd)
    return ask


def unpack(daemon: Daemon, packed: Packed, fds: list[int]) -> ViewerConnection:
    """Built and frozen: nothing is read, written or told before `start`. Takes as many of `fds` as it needs.

    Raises `KeyError`, `ValueError` or `TypeError` for what cannot be read.
    """
    viewer = ViewerConnection.__new__(ViewerConnection)
    viewer.worker, viewer.peer, viewer.limits = daemon.worker, packed["peer"], daemon.settings.limits
    viewer.parser = parser_of(packed["kept"])
    viewer.sessions, viewer.slots = {}, deque()
    last = packed["last"]
    viewer.last = None if last is None else (last[0], last[1], last[2])
    viewer.last_answer = None if packed["last_answer"] is None else base64.b64decode(packed["last_answer"])
    viewer.ending, viewer.head_timer, viewer.active_at = False, None, packed["active_at"]
    viewer.asked = packed["asked"]
    viewer.stream = unpack_stream(daemon, packed["stream"], fds.pop(0), viewer, viewer.limits.viewer_backlog)
    viewer.idle_timer = daemon.loop.call_later(0, lambda: None)
    for each in packed["sessions"]:
        asked = {**each["asked"], "prefer": tuple((a, b) for a, b in each["asked"]["prefer"])}
        session = Session(
            daemon.worker,
            viewer,
            each["path"],
            each["there"],
            Asked(**asked),
            each["viewer_name"],
            each["top"],
        )
        session.id = each["id"]
        session.tracks = {n: unpack_track(t) for n, t in each["tracks"]}
        session.position_s, session.since = each["position_s"], each["since"]
        session.again, session.held_back = each["again"], each["held_back"]
        session.claim = Token.parse(each["claim"])
        if each["ask"]:
            session.ask = unpack_ask(daemon, session, each["ask"], fds.pop(0))
            session.state = State.PLAYING
        viewer.sessions[session.id] = session
    return viewer


def start(daemon: Daemon, viewer: ViewerConnection) -> None:
    """It is this process's now: the module hears of what plays, and bytes flow."""
    worker = daemon.worker
    worker.viewers.add(viewer)
    for session in viewer.sessions.values():
        worker.add(session)
        if ask := session.ask:
            worker.asks[ask.number] = ask
            worker.tell(ask)
    for stream in streams(viewer):
        stream.resume_io()
    viewer.idle_timer = daemon.loop.call_later(viewer.limits.idle_ms / 1000, viewer.idle)
    viewer.watch_head()
    if viewer.stream.above_high_watermark:
        daemon.loop.call_later(viewer.limits.stalled_ms / 1000, viewer.check_stalled)


def drop(viewer: ViewerConnection) -> None:
    """It is the other process's: our copies are closed without a word to anybody."""
    viewer.idle_timer.cancel()
    if viewer.head_timer:
        viewer.head_timer.cancel()
    for stream in streams(viewer):
        stream.detach()


# at the front that is relieved


def freeze(daemon: Daemon, viewer: ViewerConnection) -> None:
    """From here on nobody touches it; the decider's words for its sessions find nobody."""
    viewer.idle_timer.cancel()
    if viewer.head_timer:
        viewer.head_timer.cancel()
        viewer.head_timer = None
    for stream in streams(viewer):
        stream.suspend_io()
    for session in viewer.sessions.values():
        if session.ask:
            daemon.worker.asks.pop(session.ask.number, None)


def thaw(daemon: Daemon, viewer: ViewerConnection) -> None:
    """It stayed here after all."""
    for session in viewer.sessions.values():
        if session.ask and session.state is State.PLAYING:
            daemon.worker.asks[session.ask.number] = session.ask
    for stream in streams(viewer):
        stream.resume_io()
    viewer.idle_timer = daemon.loop.call_later(viewer.limits.idle_ms / 1000, viewer.idle)
    viewer.watch_head()


def forget(daemon: Daemon, viewer: ViewerConnection) -> None:
    """It has gone to the successor: the module here counts it no more, its claim is the other's."""
    drop(viewer)
    worker = daemon.worker
    worker.viewers.discard(viewer)
    for session in viewer.sessions.values():
        worker.by_id.pop(session.id, None)
        ask = session.ask
        if ask is None or ask.attempt is None:
            continue
        attempt = ask.attempt
        daemon.set_up_requests.holds.pop((ask.number, attempt.number), None)
        if ask.carry.close(worker.link):
            worker.say(ViewerGone(ask.number, True))
            cancelled = (ask.number, attempt.number, attempt.server, int(Outcome.CANCELLED), 0.0, 0.0)
            worker.say(AttemptFinished(*cancelled, True, True, False, True, ()))
