"""The front node as a process: start, server list, signals, and the wiring of its parts."""

from __future__ import annotations

import gc
import os
import resource
import signal
import sys
import time
from collections import Counter
from random import Random

from lemonhall import interface
from lemonhall.decide import Front
from lemonhall.front.decider.bridge import Bridge
from lemonhall.front.node.liveness import LossReason, NoteSchedule
from lemonhall.front.node.log import log
from lemonhall.front.node.resolver import Resolver
from lemonhall.front.node.servers import MediaServers
from lemonhall.front.node.sessions import Sessions
from lemonhall.front.node.viewers import ViewerConnections
from lemonhall.loop import Loop, Timer
from lemonhall.node import bounds, configuration
from lemonhall.node.configuration import Configuration
from lemonhall.node.dns import ListedServer, list_changes
from lemonhall.problem import BadInput

EXIT_BAD_INPUT = 2
SUMMARY_INTERVAL_S = 5.0
CONFIG_VARIABLE = "PROXY_CONFIG"
MAX_LOGGED_IDS = 20  # of servers in one line of the log, of each state


class FrontNode:
    """A front node: its connections, server list and decider. Raises `OSError` if it cannot listen."""

    def __init__(self, loop: Loop, config: Configuration, config_path: str) -> None:
        self.loop, self.config, self.config_path = loop, config, config_path
        self.counts: Counter[str] = Counter()
        self.random = Random(config.seed)
        settings = config.settings
        # The decider's clock is monotonic from the Unix time at the start, because list entries carry Unix
        # times.
        clock_offset_s = self.clock_offset_s = time.time() - loop.now()
        self.bridge = Bridge(Front(settings, config.seed), lambda: (loop.now() + clock_offset_s) * 1000)
        self.bridge.action_handlers[interface.SetTimer] = self.set_timer
        self.servers = MediaServers(
            loop,
            config.names,
            config.set_ups_per_connection,
            config.idle_timeout_s,
            config.connect_timeout_s,
            NoteSchedule(config.note_interval_s, settings.report_delay_ms / 1000),
            int(config.max_descriptors * bounds.SERVER_DESCRIPTORS_SHARE),
            self.counts,
            log.emit,
        )
        self.viewers = ViewerConnections(
            loop,
            config.names,
            int(config.max_descriptors * bounds.VIEWER_DESCRIPTORS_SHARE),
            int(config.max_memory_bytes * bounds.VIEWER_BACKLOG_MEMORY_SHARE),
            self.counts,
            log.emit,
        )
        self.sessions = Sessions(
            loop,
            self.bridge,
            settings,
            self.servers,
            self.viewers,
            int(config.max_memory_bytes * bounds.OPEN_SET_UPS_MEMORY_SHARE),
            self.counts,
            log.emit,
        )
        self.viewers.is_known_ref = self.sessions.by_ref.__contains__
        self.viewers.is_serving = self.is_serving
        self.listed_servers: dict[str, ListedServer] = {}
        self.list_confirmed = False  # the resolver has returned a list
        self.stopping_since: float | None = None
        self.reload_attempts = 0
        self.reload_timer: Timer | None = None
        self.stop_timeout_s = bounds.shutdown_timeout_s(max(config.names.deadlines_ms) / 1000)
        loop.on_error = self.on_callback_error
        loop.end_of_pass_callbacks.append(self.flush_events)
        self.report_list(interface.ListKind.CACHED, config.list_number, tuple(config.servers.values()), ())
        self.bridge.call_module()
        self.resolver = Resolver(
            loop,
            config.resolver_address,
            config.list_number,
            self.random,
            self.on_list,
            self.counts,
            log.emit,
        )
        self.sessions.list_age_s = lambda: self.resolver.list_age_s
        self.viewers.listen(config.listen_address)
        self.sweep()
        self.log_summary()

    def is_serving(self) -> bool:
        return self.stopping_since is None

    def flush_events(self) -> None:
        """Calls the decider once for the events of a pass; those caused by its actions form the next call."""
        self.bridge.flush()
        if self.bridge.events:
            self.loop.call_soon(lambda: None)

    def on_callback_error(self, error: Exception) -> None:
        """Keeps the node running, and its sessions playing, after a fault in the handling of one message."""
        self.counts["faults"] += 1
        self.request_full_list()
        trace = error.__traceback__
        while trace and trace.tb_next:
            trace = trace.tb_next
        where = f"{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}" if trace else ""
        log.emit("fault", error=f"{type(error).__name__}: {error}", where=where)

    def set_timer(self, action: interface.SetTimer) -> None:
        self.loop.call_later(action.after_ms / 1000, self.bridge.enqueue, interface.TimerDue(action.token))

    # Server list

    def request_full_list(self) -> None:
        """Reports the next answer as a complete list: the decider may not have received an earlier one."""
        self.list_confirmed = False
        self.resolver.forget_last_response()

    def on_list(self, list_number: int, servers: tuple[ListedServer, ...]) -> None:
        """Reports the first response as a complete list: it confirms or replaces the list of the start."""
        changed, removed = list_changes(self.listed_servers, servers)
        if not self.list_confirmed:
            self.report_list(interface.ListKind.FULL, list_number, servers, removed)
            self.list_confirmed = True
        elif changed or removed:
            self.report_list(interface.ListKind.CHANGES, list_number, changed, removed)

    def report_list(
        self,
        kind: interface.ListKind,
        list_number: int,
        changed: tuple[ListedServer, ...],
        removed: tuple[ListedServer, ...],
    ) -> None:
        reported = []
        for entry in changed:
            self.listed_servers[entry.id] = entry
            server = self.servers.get_or_add(entry.id)
            moved = server.address != (entry.host, entry.port)
            restarted = server.listed and entry.started_ms != server.started_ms
            server.address, server.listed = (entry.host, entry.port), True
            server.draining = entry.draining
            server.started_ms = entry.started_ms
            if moved:
                server.on_address_changed()
            if restarted:
                # A new process: the sessions of the previous one are over. Sessions set up since its start
                # are its own, because a connection may reach it before the list reports it.
                server.lose_sessions(LossReason.RESTARTED, entry.started_ms / 1000 - self.clock_offset_s)
            if server.established_sessions and (moved or not server.connections):
                server.open_connection()
            state = interface.ServerState.DRAINING if entry.draining else interface.ServerState.READY
            reported.append(self.make_server(entry, server.number, state))
        for entry in removed:
            if kind is interface.ListKind.CHANGES:  # a complete list reports it by omission
                server = self.servers.get_or_add(entry.id)
                reported.append(self.make_server(entry, server.number, interface.ServerState.GONE))
        log.emit(
            "list",
            number=list_number,
            kind=kind.name.lower(),
            changed=len(changed),
            gone=len(removed),
            draining_ids=[entry.id for entry in changed if entry.draining][:MAX_LOGGED_IDS],
            ready_ids=[entry.id for entry in changed if not entry.draining][:MAX_LOGGED_IDS],
            gone_ids=[entry.id for entry in removed][:MAX_LOGGED_IDS],
        )
        self.bridge.enqueue(interface.ServerList(kind, list_number, tuple(reported)))
        # After the report, so that the decider sees attempts and sessions end on a server that takes no more.
        for entry in changed:
            if entry.draining:
                self.servers.get_or_add(entry.id).withdraw_unsent_attempts()
        for entry in removed:
            server = self.servers.get_or_add(entry.id)
            server.listed = False
            server.withdraw_unsent_attempts()
            if server.established_sessions and (successor := self.servers.listed_at(server.address)):
                server.release_at_successor(successor)
            server.lose_sessions(LossReason.GONE)
            del self.listed_servers[entry.id]
            self.servers.remove_if_unused(server)
        self.servers.listed_count = len(self.listed_servers)

    def make_server(self, entry: ListedServer, number: int, state: interface.ServerState) -> interface.Server:
        names = self.config.names
        zone = names.zones.index(entry.zone) if entry.zone in names.zones else len(names.zones)
        kind = names.kinds.index(entry.kind) if entry.kind in names.kinds else len(names.kinds)
        return interface.Server(number, kind, entry.weight, zone, entry.cell, entry.started_ms, state)

    # Signals

    def reload(self) -> None:
        """Loads the configuration again; only the address of the resolver may change while the node runs.

        If the file is invalid or half written, the old configuration stays in force and the file is read
        again. Each signal starts with the full number of attempts, also when an earlier file never became
        valid.
        """
        self.reload_attempts = 0
        self.read_configuration()

    def read_configuration(self) -> None:
        if self.reload_timer:
            self.reload_timer.cancel()
        try:
            with open(self.config_path, encoding="utf-8") as file:
                config = configuration.parse_configuration(file.read(), self.config_path)
        except (OSError, ValueError, BadInput) as error:
            self.reload_attempts += 1
            log.emit("configuration not taken", why=str(error), tries=self.reload_attempts)
            if self.reload_attempts < bounds.MAX_RELOAD_ATTEMPTS:
                self.reload_timer = self.loop.call_later(
                    bounds.RELOAD_RETRY_INTERVAL_S, self.read_configuration
                )
            return
        self.counts["reloads"] += 1
        log.emit("configuration taken", dns=config.resolver_address)
        self.resolver.change_address(config.resolver_address)

    def stop(self) -> None:
        """From here on heartbeats fail; requests that still arrive are accepted for a while and answered."""
        if self.stopping_since is None:
            self.stopping_since = self.loop.now()
            log.emit("stopping", open=self.open_set_up_count, standing=self.sessions.established_count)
            self.loop.call_later(bounds.ACCEPT_AFTER_TERM_S, self.stop_when_answered)

    @property
    def open_set_up_count(self) -> int:
        return sum(len(viewer.open_sessions) for viewer in self.viewers.connections)

    @property
    def has_unhandled_messages(self) -> bool:
        """Whether messages of viewers were read and wait for the next pass."""
        return any(viewer.deferred for viewer in self.viewers.connections)

    @property
    def has_unsent_messages(self) -> bool:
        """Whether messages are in a backlog or wait for a connection that is being opened."""
        servers = self.servers.by_id.values()
        return (
            any(viewer.stream.backlog_bytes for viewer in self.viewers.connections)
            or any(connection.stream.backlog_bytes for server in servers for connection in server.connections)
            or any(server.pending_commands and server.is_connecting for server in servers)
        )

    def stop_when_answered(self) -> None:
        """Connections queued in the kernel and unread requests count as accepted and are handled first."""
        assert self.stopping_since is not None
        self.viewers.stop_listening()
        for viewer in list(self.viewers.connections):
            viewer.read_pending()
        if (
            self.open_set_up_count or self.has_unhandled_messages or self.has_unsent_messages
        ) and self.loop.now() - self.stopping_since < self.stop_timeout_s:
            self.loop.call_later(bounds.SHUTDOWN_POLL_INTERVAL_S, self.stop_when_answered)
            return
        self.sessions.fail_open_set_ups()
        self.log_summary()
        self.close_connections()

    def close_connections(self) -> None:
        """Closes every connection so that the last messages arrive, then stops the loop."""
        self.servers.shutting_down = True
        self.viewers.send_waiting_releases(shutting_down=True)
        for viewer in list(self.viewers.connections):
            viewer.close_lingering(bounds.SHUTDOWN_LINGER_S)
        for server in list(self.servers.by_id.values()):
            for connection in list(server.connections):
                connection.stream.close_lingering(bounds.SHUTDOWN_LINGER_S)
        self.loop.call_later(bounds.SHUTDOWN_LINGER_S, self.loop.stop)

    # Periodic work

    def sweep(self) -> None:
        self.loop.call_later(bounds.SWEEP_INTERVAL_S, self.sweep)
        self.servers.sweep()
        self.sessions.sweep()
        self.viewers.sweep()

    def log_summary(self) -> None:
        self.loop.call_later(SUMMARY_INTERVAL_S, self.log_summary)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        log.emit(
            "summary",
            open=self.open_set_up_count,
            standing=self.sessions.established_count,
            viewers=len(self.viewers.connections),
            server_connections=self.servers.connection_count,
            descriptors=len(os.listdir("/proc/self/fd")),
            servers=len(self.servers.by_id),
            list=self.resolver.list_number,
            list_age_s=round(self.resolver.list_age_s, 3),
            answer_time_s=round(self.resolver.schedule.answer_time_s, 3),
            longest_pass_ms=round(self.loop.longest_pass_s * 1000, 1),
            cpu_s=round(usage.ru_utime + usage.ru_stime, 2),
            memory_mb=round(resident_memory_mb(), 1),
            counts=dict(self.counts),
        )
        self.loop.longest_pass_s = 0.0


def resident_memory_mb() -> float:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def main() -> int:
    """Returns 0 after SIGTERM, 2 after naming a configuration or an address that cannot be used."""
    path = os.environ.get(CONFIG_VARIABLE, "")
    loop = Loop()
    node: FrontNode | None = None

    def on_hup() -> None:
        if node:
            node.reload()

    def on_term() -> None:
        if node:
            node.stop()

    # Installed first, because neither signal may end the process while it starts.
    loop.add_signal_handler(signal.SIGHUP, on_hup)
    loop.add_signal_handler(signal.SIGTERM, on_term)
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    try:
        with open(path, encoding="utf-8") as file:
            config = configuration.parse_configuration(file.read(), path)
        node = FrontNode(loop, config, path)
    except BadInput as error:
        print(f"lemonhall: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    except (OSError, ValueError) as error:
        print(f"lemonhall: {CONFIG_VARIABLE}={path!r}: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    gc.collect()
    gc.freeze()
    log.emit("serving", name=config.name, listen=config.listen_address, servers=len(config.servers))
    loop.run()
    return 0
