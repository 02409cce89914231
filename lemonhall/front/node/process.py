"""The front node as a process: start, list, signals, and the wiring of it all."""

from __future__ import annotations

import gc
import os
import resource
import signal
import sys
import time
from collections import Counter
from random import Random

from lemonhall import interface as i
from lemonhall.decide import Front
from lemonhall.front.deciding.bridge import Bridge
from lemonhall.front.node.log import log
from lemonhall.front.node.resolver import Resolver
from lemonhall.front.node.servers import Servers
from lemonhall.front.node.sessions import Sessions
from lemonhall.front.node.viewers import Viewers
from lemonhall.loop import Loop, Timer
from lemonhall.node import bounds, configuration
from lemonhall.node.configuration import Configuration
from lemonhall.node.records import Listed, changes
from lemonhall.problem import BadInput

BAD_INPUT = 2
SUMMARY_S = 5.0
CONFIG = "PROXY_CONFIG"


class Node:
    """Raises `OSError` if it cannot listen."""

    def __init__(self, loop: Loop, told: Configuration, path: str) -> None:
        self.loop, self.told, self.path = loop, told, path
        self.counts: Counter[str] = Counter()
        self.random = Random(told.seed)
        settings = told.settings
        # The module's clock: Unix time at the start, running on monotonically. List entries tell Unix times.
        offset = self.offset = time.time() - loop.now()
        self.bridge = Bridge(Front(settings, told.seed), lambda: (loop.now() + offset) * 1000)
        self.bridge.carry_out[i.SetTimer] = self.set_timer
        notes_s = (settings.reports_every_ms * 1.5 + settings.told_late_ms) / 1000
        self.servers = Servers(
            loop,
            told.names,
            told.streams,
            told.idle_s,
            told.connect_s,
            notes_s,
            int(told.sockets * bounds.SERVERS_PART),
            self.counts,
            log.say,
        )
        self.viewers = Viewers(
            loop, told.names, int(told.sockets * bounds.VIEWERS_PART), self.counts, log.say
        )
        self.sessions = Sessions(
            loop, self.bridge, settings, self.servers, self.viewers, self.counts, log.say
        )
        self.viewers.known = self.sessions.by_ref.__contains__
        self.viewers.serves = self.serves
        self.listed: dict[str, Listed] = {}
        self.confirmed = False  # the resolver has told the list
        self.stopping_at: float | None = None
        self.reload_tries = 0
        self.reload_timer: Timer | None = None
        self.end_after_s = bounds.end_after_term_s(max(told.names.deadlines_ms) / 1000)
        loop.on_error = self.fault
        loop.end_of_pass_callbacks.append(self.flush)
        self.tell_list(i.ListKind.CACHED, told.seq, tuple(told.servers.values()), ())
        self.bridge.call()
        self.resolver = Resolver(loop, told.dns, told.seq, self.random, self.on_list, self.counts, log.say)
        self.viewers.listen(told.listen)
        self.sweep()
        self.summary()

    def serves(self) -> bool:
        return self.stopping_at is None

    def flush(self) -> None:
        """One call of the module for all that a pass brought; what its actions bring about is the next."""
        self.bridge.flush()
        if self.bridge.events:
            self.loop.call_soon(lambda: None)

    def fault(self, error: Exception) -> None:
        """Guards what plays against a fault in the handling of one message."""
        self.counts["faults"] += 1
        trace = error.__traceback__
        while trace and trace.tb_next:
            trace = trace.tb_next
        where = f"{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}" if trace else ""
        log.say("fault", error=f"{type(error).__name__}: {error}", where=where)

    def set_timer(self, action: i.SetTimer) -> None:
        self.loop.call_later(action.after_ms / 1000, self.bridge.tell, i.TimerDue(action.token))

    # the list

    def on_list(self, seq: int, servers: tuple[Listed, ...]) -> None:
        """The first answer is the whole list as the resolver has it, no longer the one of the start."""
        changed, gone = changes(self.listed, servers)
        if not self.confirmed:
            self.confirmed = True
            self.tell_list(i.ListKind.FULL, seq, servers, gone)
        elif changed or gone:
            self.tell_list(i.ListKind.CHANGES, seq, changed, gone)

    def tell_list(
        self, kind: i.ListKind, seq: int, changed: tuple[Listed, ...], gone: tuple[Listed, ...]
    ) -> None:
        told = []
        for entry in changed:
            self.listed[entry.id] = entry
            server = self.servers.named(entry.id)
            moved = server.address != (entry.host, entry.port)
            restarted = server.listed and entry.started_ms != server.started_ms
            server.address, server.listed = (entry.host, entry.port), True
            server.started_ms = entry.started_ms
            if moved:
                server.moved()
            if restarted:
                # Another process: the sessions of the one before are over. Those that were set up since its
                # start are its own: it was reached before the list told of it.
                server.lose("restarted", entry.started_ms / 1000 - self.offset)
            if server.standing and (moved or not server.links):
                server.dial()
            state = i.ServerState.DRAINING if entry.draining else i.ServerState.READY
            told.append(self.entry(entry, server.number, state))
        for entry in gone:
            del self.listed[entry.id]
            if kind is i.ListKind.CHANGES:  # a whole list tells it by leaving it out
                server = self.servers.named(entry.id)
                told.append(self.entry(entry, server.number, i.ServerState.GONE))
        log.say("list", number=seq, kind=kind.name.lower(), changed=len(changed), gone=len(gone))
        self.bridge.tell(i.ServerList(kind, seq, tuple(told)))
        for entry in gone:  # after the module has heard it: what ends with it ends on a server that is gone
            server = self.servers.named(entry.id)
            server.listed = False
            server.lose("gone")
            self.servers.forget(server)

    def entry(self, entry: Listed, number: int, state: i.ServerState) -> i.Server:
        names = self.told.names
        zone = names.zones.index(entry.zone) if entry.zone in names.zones else len(names.zones)
        kind = names.kinds.index(entry.kind) if entry.kind in names.kinds else len(names.kinds)
        return i.Server(number, kind, entry.weight, zone, entry.cell, entry.started_ms, state)

    # signals

    def reload(self) -> None:
        """A new configuration: of what it tells the resolver's address may change while the node runs.

        A file that is bad or half written keeps the old one in force and is read again, as often after each
        signal: an earlier file that never came right takes nothing of it.
        """
        self.reload_tries = 0
        self.read_again()

    def read_again(self) -> None:
        if self.reload_timer:
            self.reload_timer.cancel()
        try:
            with open(self.path, encoding="utf-8") as file:
                told = configuration.read(file.read(), self.path)
        except (OSError, ValueError, BadInput) as error:
            self.reload_tries += 1
            log.say("configuration not taken", why=str(error), tries=self.reload_tries)
            if self.reload_tries < bounds.RELOAD_TRIES:
                self.reload_timer = self.loop.call_later(bounds.RELOAD_AGAIN_S, self.read_again)
            return
        self.counts["reloads"] += 1
        log.say("configuration taken", dns=told.dns)
        self.resolver.move(told.dns)

    def stop(self) -> None:
        """Tests fail from here on; what still comes is taken as long as it may come, and answered."""
        if self.stopping_at is None:
            self.stopping_at = self.loop.now()
            log.say("stopping", open=self.open, standing=self.sessions.standing)
            self.loop.call_later(bounds.TAKEN_AFTER_TERM_S, self.end_when_answered)

    @property
    def open(self) -> int:
        return sum(len(viewer.open) for viewer in self.viewers.links)

    @property
    def unsent(self) -> bool:
        """Words that the kernel has not taken yet, or that wait for a connection which is coming up."""
        servers = self.servers.by_id.values()
        return (
            any(viewer.stream.backlog_bytes for viewer in self.viewers.links)
            or any(link.stream.backlog_bytes for server in servers for link in server.links)
            or any(server.orders and server.links for server in servers)
        )

    def end_when_answered(self) -> None:
        """What the kernel has taken was taken: queued connections and unread requests are before the end."""
        assert self.stopping_at is not None
        self.viewers.stop_listening()
        for viewer in list(self.viewers.links):
            viewer.look()
        if (self.open or self.unsent) and self.loop.now() - self.stopping_at < self.end_after_s:
            self.loop.call_later(bounds.END_LOOK_S, self.end_when_answered)
            return
        self.sessions.fail_open()
        self.summary()
        self.end()

    def end(self) -> None:
        """Ends every connection so that the last words arrive, then the process."""
        self.servers.ended = True
        self.viewers.send_waiting(last=True)
        for viewer in list(self.viewers.links):
            viewer.finish(bounds.LINGER_END_S)
        for server in list(self.servers.by_id.values()):
            for link in list(server.links):
                link.stream.close_lingering(bounds.LINGER_END_S)
        self.loop.call_later(bounds.LINGER_END_S, self.loop.stop)

    # upkeep

    def sweep(self) -> None:
        self.loop.call_later(bounds.SWEEP_S, self.sweep)
        self.servers.sweep()
        self.sessions.sweep()
        self.viewers.sweep()

    def summary(self) -> None:
        self.loop.call_later(SUMMARY_S, self.summary)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        log.say(
            "summary",
            open=self.open,
            standing=self.sessions.standing,
            viewers=len(self.viewers.links),
            server_connections=self.servers.connections,
            descriptors=len(os.listdir("/proc/self/fd")),
            servers=len(self.servers.by_id),
            list=self.resolver.seq,
            longest_pass_ms=round(self.loop.longest_pass_s * 1000, 1),
            cpu_s=round(usage.ru_utime + usage.ru_stime, 2),
            memory_mb=round(resident_mb(), 1),
            counts=dict(self.counts),
        )
        self.loop.longest_pass_s = 0.0


def resident_mb() -> float:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def main() -> int:
    """Exit: 0 after SIGTERM, 2 for a configuration or an address that cannot be used, named."""
    path = os.environ.get(CONFIG, "")
    loop = Loop()
    node: Node | None = None

    def on_hup() -> None:
        if node:
            node.reload()

    def on_term() -> None:
        if node:
            node.stop()

    # Before anything else, since neither signal may end the process while it starts.
    loop.add_signal_handler(signal.SIGHUP, on_hup)
    loop.add_signal_handler(signal.SIGTERM, on_term)
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    try:
        with open(path, encoding="utf-8") as file:
            told = configuration.read(file.read(), path)
        node = Node(loop, told, path)
    except BadInput as error:
        print(f"lemonhall: {error}", file=sys.stderr)
        return BAD_INPUT
    except (OSError, ValueError) as error:
        print(f"lemonhall: {CONFIG}={path!r}: {error}", file=sys.stderr)
        return BAD_INPUT
    gc.collect()
    gc.freeze()
    log.say("serving", name=told.name, listen=told.listen, servers=len(told.servers))
    loop.run()
    return 0
