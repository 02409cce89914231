"""Serializes a viewer's connection with its sessions and their server connections, and restores it.

Only a connection with nothing in progress can be handed over: every request has been answered, and every
session is ready or playing. The sockets travel next to the message, in the order in which they are named.
Times are of the machine's monotonic clock, which both processes share.
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
from lemonhall.front.viewers.routes import RoutingResult
from lemonhall.front.viewers.session import Session, SetUpRequest, State, ViewerTrack
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


def to_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def can_hand_over(viewer: ViewerConnection) -> bool:
    """Whether nothing is in progress on the connection that the successor could not continue."""
    stream = viewer.stream
    if viewer.closing_on_error or viewer.slots or viewer.parser.has_failed or not is_usable(stream):
        return False
    return all(
        s.state is State.READY
        or (
            s.state is State.PLAYING
            and s.set_up_request
            and s.set_up_request.attempt
            and s.set_up_request.answered
            and is_playing(s.set_up_request.attempt)
        )
        for s in viewer.sessions.values()
    )


def is_usable(stream: Stream) -> bool:
    return stream.open and not stream.closing and not stream.connecting


def is_playing(attempt: Attempt) -> bool:
    return (
        attempt.state is AttemptState.PLAYING and is_usable(attempt.stream) and not attempt.parser.has_failed
    )


def connection_streams(viewer: ViewerConnection) -> list[Stream]:
    """The viewer's stream, then those of its servers in the order of its sessions."""
    requests = [s.set_up_request for s in viewer.sessions.values() if s.state is State.PLAYING]
    return [viewer.stream, *(a.attempt.stream for a in requests if a and a.attempt)]


# serialization


def pack_stream(stream: Stream) -> Packed:
    return {
        "out": to_base64(b"".join(bytes(part) for part in stream.send_queue)),
        "written": stream.bytes_written,
        "read": stream.bytes_read,
        "paused": stream.reading_paused,
        "was_full": stream.above_high_watermark,
        "stalled_since": stream.stalled_since,
    }


def pack_track(track: ViewerTrack) -> Packed:
    rtp = track.rewriter
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
        "kept": to_base64(bytes(attempt.parser.buffer)),
        "cseq": attempt.cseq,
        "session": attempt.session,
        "waiting": attempt.pending_methods,
        "report": attempt.report,
        "stream": pack_stream(attempt.stream),
    }


def pack_request(daemon: Daemon, request: SetUpRequest) -> Packed:
    assert request.attempt
    open_request = daemon.set_up_requests.open_requests.get(request.number)
    return {
        "said": to_base64(encode(request.message)),
        "memo": to_base64(daemon.set_up_requests.pack_memo(open_request) if open_request else request.memo),
        "rung": request.rung,
        "claimed": [request.request_state.claim_turn, request.request_state.claim_attempts],
        "attempt": pack_attempt(request.attempt),
    }


def pack_session(daemon: Daemon, session: Session) -> Packed:
    playing = session.state is State.PLAYING
    return {
        "id": session.id,
        "path": session.path,
        "there": session.server_path,
        "asked": asdict(session.routing),
        "viewer_name": session.viewer_name,
        "top": session.top_rung,
        "tracks": [[n, pack_track(t)] for n, t in session.tracks.items()],
        "position_s": session.position_s,
        "since": session.position_at,
        "again": session.is_repeat,
        "held_back": session.server_paused,
        "claim": str(session.claim or ""),
        "ask": pack_request(daemon, session.set_up_request) if playing and session.set_up_request else None,
    }


def pack_viewer(daemon: Daemon, viewer: ViewerConnection) -> Packed:
    return {
        "peer": str(viewer.peer),
        "kept": to_base64(bytes(viewer.parser.buffer)),
        "last": viewer.last_request,
        "last_answer": None if viewer.last_response is None else to_base64(viewer.last_response),
        "active_at": viewer.active_at,
        "asked": viewer.sent_requests,
        "stream": pack_stream(viewer.stream),
        "sessions": [pack_session(daemon, s) for s in viewer.sessions.values()],
    }


# restoring


def unpack_stream(daemon: Daemon, packed: Packed, fd: int, handler: Handler, high: int) -> Stream:
    """Restores a stream in its earlier state, with its I/O suspended."""
    stream = Stream(daemon.loop, socket.socket(fileno=fd), handler, high, io_suspended=True)
    if unsent := base64.b64decode(packed["out"]):
        stream.send_queue = deque([memoryview(unsent)])
        stream.backlog_bytes = len(unsent)
    stream.bytes_written, stream.bytes_read = packed["written"], packed["read"]
    stream.reading_paused, stream.above_high_watermark = packed["paused"], packed["was_full"]
    stream.stalled_since = packed["stalled_since"]
    return stream


def restore_parser(buffered: str) -> Parser:
    parser = Parser()
    parser.buffer = bytearray(base64.b64decode(buffered))
    return parser


def unpack_track(packed: Packed) -> ViewerTrack:
    first, second = packed["channels"]
    track = ViewerTrack((first, second), packed["control"], packed["clock"])
    track.rewriter.ssrc, track.rewriter.resync = packed["ssrc"], packed["joining"]
    track.rewriter.last_sent = None if packed["last"] is None else tuple(packed["last"])
    track.rewriter.offsets = None if packed["offsets"] is None else tuple(packed["offsets"])
    return track


def unpack_attempt(daemon: Daemon, request: SetUpRequest, packed: Packed, fd: int) -> Attempt:
    attempt = Attempt.__new__(Attempt)
    attempt.loop, attempt.owner = daemon.loop, request
    attempt.number, attempt.server, attempt.url = packed["number"], packed["server"], packed["url"]
    attempt.tracks = [(control, (a, b)) for control, (a, b) in packed["tracks"]]
    attempt.headers = [(name, value) for name, value in packed["headers"]]
    attempt.bandwidth, attempt.start_s = packed["bandwidth"], packed["start_s"]
    attempt.report_fields = daemon.settings.terms.report_fields
    attempt.state, attempt.teardown_outcome = AttemptState.PLAYING, Outcome.OK
    attempt.started_at, attempt.parser = packed["began"], restore_parser(packed["kept"])
    attempt.cseq, attempt.tracks_set_up = packed["cseq"], len(attempt.tracks)
    attempt.session, attempt.pending_methods = packed["session"], dict(packed["waiting"])
    attempt.report = tuple(packed["report"])
    attempt.play_ok = attempt.media_seen = attempt.may_send = True
    attempt.timer = None
    attempt.stream = unpack_stream(daemon, packed["stream"], fd, attempt, 1 << 18)
    return attempt


def unpack_request(daemon: Daemon, session: Session, packed: Packed, fd: int) -> SetUpRequest:
    worker = daemon.worker
    message = MessageDecoder().feed(base64.b64decode(packed["said"]))[0]
    if isinstance(message, MalformedMessage) or not isinstance(message, SetUpRequested):
        raise ValueError("the set-up request of a session is malformed")
    message.request_id = worker.next_request_number
    worker.next_request_number += 1
    request = SetUpRequest(session, message, daemon.settings.terms.max_attempts)
    request.rung, request.answered, request.memo = packed["rung"], True, base64.b64decode(packed["memo"])
    request.request_state.stage, request.request_state.attempts_made = RequestStage.PLAYING, 1
    request.request_state.claim_turn, request.request_state.claim_attempts = packed["claimed"]
    request.attempt = unpack_attempt(daemon, request, packed["attempt"], fd)
    return request


def unpack_viewer(daemon: Daemon, packed: Packed, fds: list[int]) -> ViewerConnection:
    """Restores a suspended connection; nothing is read, written or reported before `start_viewer`.

    Removes the descriptors that it needs from `fds`. Raises `KeyError`, `ValueError` or `TypeError` for
    invalid data.
    """
    viewer = ViewerConnection.__new__(ViewerConnection)
    viewer.worker, viewer.peer, viewer.limits = daemon.worker, packed["peer"], daemon.settings.limits
    viewer.parser = restore_parser(packed["kept"])
    viewer.sessions, viewer.slots = {}, deque()
    last = packed["last"]
    viewer.last_request = None if last is None else (last[0], last[1], last[2])
    viewer.last_response = None if packed["last_answer"] is None else base64.b64decode(packed["last_answer"])
    viewer.closing_on_error, viewer.message_timer, viewer.active_at = False, None, packed["active_at"]
    viewer.sent_requests = packed["asked"]
    viewer.stream = unpack_stream(daemon, packed["stream"], fds.pop(0), viewer, viewer.limits.viewer_backlog)
    viewer.idle_timer = daemon.loop.call_later(0, lambda: None)
    for session_data in packed["sessions"]:
        routed = {
            **session_data["asked"],
            "prefer": tuple((a, b) for a, b in session_data["asked"]["prefer"]),
        }
        session = Session(
            daemon.worker,
            viewer,
            session_data["path"],
            session_data["there"],
            RoutingResult(**routed),
            session_data["viewer_name"],
            session_data["top"],
        )
        session.id = session_data["id"]
        session.tracks = {n: unpack_track(t) for n, t in session_data["tracks"]}
        session.position_s, session.position_at = session_data["position_s"], session_data["since"]
        session.is_repeat, session.server_paused = session_data["again"], session_data["held_back"]
        session.claim = Token.parse(session_data["claim"])
        if session_data["ask"]:
            session.set_up_request = unpack_request(daemon, session, session_data["ask"], fds.pop(0))
            session.state = State.PLAYING
        viewer.sessions[session.id] = session
    return viewer


def start_viewer(daemon: Daemon, viewer: ViewerConnection) -> None:
    """Activates a connection of this process: reports its sessions to the module, resumes its streams."""
    worker = daemon.worker
    worker.viewers.add(viewer)
    for session in viewer.sessions.values():
        worker.add_session(session)
        if request := session.set_up_request:
            worker.requests_by_number[request.number] = request
            worker.announce_request(request)
    for stream in connection_streams(viewer):
        stream.resume_io()
    viewer.idle_timer = daemon.loop.call_later(viewer.limits.idle_ms / 1000, viewer.check_idle)
    viewer.update_message_timer()
    if viewer.stream.above_high_watermark:
        daemon.loop.call_later(viewer.limits.stalled_ms / 1000, viewer.check_stalled)


def discard_viewer(viewer: ViewerConnection) -> None:
    """Closes this process's copies of a connection that the other one owns; nothing is sent."""
    viewer.idle_timer.cancel()
    if viewer.message_timer:
        viewer.message_timer.cancel()
    for stream in connection_streams(viewer):
        stream.detach()


# at the source


def suspend_viewer(daemon: Daemon, viewer: ViewerConnection) -> None:
    """Stops all activity on the connection; the decider's messages for its sessions are ignored."""
    viewer.idle_timer.cancel()
    if viewer.message_timer:
        viewer.message_timer.cancel()
        viewer.message_timer = None
    for stream in connection_streams(viewer):
        stream.suspend_io()
    for session in viewer.sessions.values():
        if session.set_up_request:
            daemon.worker.requests_by_number.pop(session.set_up_request.number, None)


def resume_viewer(daemon: Daemon, viewer: ViewerConnection) -> None:
    """Resumes a suspended connection that stays with this process."""
    for session in viewer.sessions.values():
        if session.set_up_request and session.state is State.PLAYING:
            daemon.worker.requests_by_number[session.set_up_request.number] = session.set_up_request
    for stream in connection_streams(viewer):
        stream.resume_io()
    viewer.idle_timer = daemon.loop.call_later(viewer.limits.idle_ms / 1000, viewer.check_idle)
    viewer.update_message_timer()


def release_viewer(daemon: Daemon, viewer: ViewerConnection) -> None:
    """Forgets a connection that the successor owns, and its sessions; its claims belong to the successor."""
    discard_viewer(viewer)
    worker = daemon.worker
    worker.viewers.discard(viewer)
    for session in viewer.sessions.values():
        worker.sessions_by_id.pop(session.id, None)
        request = session.set_up_request
        if request is None or request.attempt is None:
            continue
        attempt = request.attempt
        daemon.set_up_requests.permits.pop((request.number, attempt.number), None)
        if request.request_state.close(worker.connection_id):
            worker.send_to_decider(ViewerGone(request.number, True))
            cancelled = (request.number, attempt.number, attempt.server, int(Outcome.CANCELLED), 0.0, 0.0)
            worker.send_to_decider(AttemptFinished(*cancelled, True, True, False, True, ()))
