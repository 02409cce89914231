"""Evidence of one front about one zone, and the state of the zone that follows from it.

    up         normal operation
    failing    evidence of a loss: sessions may spill over, the zone is tried first
    dark       the evidence has held: only single probes are sent
    returning  the zone is available again: set-ups are admitted at the rate of a ramp

Evidence of a loss is a fresh list that names no ready server of the zone but names others; failed attempts on
most of its racks and on most of the servers seen lately, with no success since; or a loss reported by most
other fronts where this front has no evidence of its own. The loss of one rack or the deployment of a few
servers is not the loss of a zone, and an empty or outdated list is no evidence."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import IntEnum

from lemonhall import interface as i
from lemonhall.interface import ServerState
from lemonhall.zones.settings import ZoneSettings

FAILED_SHARE = 0.5  # of the racks, and of the servers seen lately, on which attempts fail
MIN_VOTES = 3  # of other fronts, for a majority to count
VOTE_COUNT_NOTICES = 0.1  # interval at which reports are counted, in notice times
REPORT_NOTICES = 4.0  # age at which another front's report expires, in notice times
RATE_SAFETY_FACTOR = 1.3  # ratio of the set-ups that cold servers can take to those that a recovery admits


class ZoneState(IntEnum):
    UP = 0
    FAILING = 1
    DARK = 2
    RETURNING = 3


class OperatorOverride(IntEnum):
    NONE = 0
    HOLD = 1  # nothing is sent to the zone until it is released


@dataclass(frozen=True)
class StateChange:
    """A zone has changed its state at this front."""

    zone: str
    state: ZoneState
    reason: str


@dataclass
class ServerView:
    """What this front knows of a server."""

    cell: int
    ready: bool
    places: int
    link_kb: float
    started_at: float  # of its incarnation, from the list; 0: long ago
    last_success_at: float = float("-inf")
    last_failure_at: float = float("-inf")


@dataclass
class ZoneMonitor:
    """One zone as seen by this front. `now` in ms, of a monotonic clock."""

    settings: ZoneSettings
    zone: int
    servers: dict[int, ServerView] = field(default_factory=dict)
    state: ZoneState = ZoneState.UP
    since: float = 0.0
    reason: str = ""
    last_failure_at: float = float("-inf")
    ready_count: int = 0  # this field and the next two are computed from each list
    cells: set[int] = field(default_factory=set)
    link_kb: float = 0.0
    max_ready: int = 0  # servers that were ready at once, lately
    max_ready_at: float = 0.0
    list_received: bool = False
    first_seen_at: float | None = None  # when the zone was first seen available; None after a state change
    unlisted: bool = False  # a fresh list names no ready server here but names others
    last_success_at: float = float("-inf")
    evidence_since: float | None = None  # evidence of a loss has held since then
    flaps: int = 0
    flapped_at: float = float("-inf")
    probed_at: float = float("-inf")
    probe_count: int = 0
    ramp_started_at: float = 0.0
    initial_progress: float = 0.0  # of the ramp, made before this front started
    reports: dict[int, tuple[ZoneState, float, float]] = field(
        default_factory=dict
    )  # by front: state, progress, time of receipt
    votes: Counter[ZoneState] = field(default_factory=Counter)
    votes_counted_at: float = float("-inf")
    override: OperatorOverride = OperatorOverride.NONE
    override_at: float = 0.0

    # evidence

    def update_servers(self, listed: list[i.Server], whole: bool) -> None:
        """Takes over the zone's servers in the list: all of them, or those that have changed."""
        settings, known = self.settings, dict(self.servers)
        if whole:
            self.servers = {}
        for entry in listed:
            if entry.state == ServerState.GONE:
                self.servers.pop(entry.id, None)
                continue
            link_kb = max(1.0, settings.link_kb_per_weight * entry.weight)
            ready = entry.state == ServerState.READY
            view = ServerView(entry.cell, ready, settings.places(entry), link_kb, entry.ready_at)
            if (old := known.get(entry.id)) and old.started_at == entry.ready_at:
                view.last_success_at, view.last_failure_at = old.last_success_at, old.last_failure_at
            self.servers[entry.id] = view
        self.ready_count = sum(s.ready for s in self.servers.values())
        self.cells = {s.cell for s in self.servers.values()}
        self.link_kb = sum(s.link_kb for s in self.servers.values())

    def on_list(self, now: float, listed: list[i.Server], others: bool, fresh: bool) -> None:
        """Handles the zone's servers of a whole list; `others`: it names ready servers of other zones."""
        self.update_servers(listed, True)
        self.evaluate_list(now, others, fresh)

    def evaluate_list(self, now: float, others: bool, fresh: bool) -> None:
        """Derives evidence about the zone as a whole from the list."""
        settings, ready_count = self.settings, self.ready_count
        if fresh:
            self.unlisted = ready_count == 0 and others
            if not self.list_received and ready_count:
                self.since = self.first_seen_at = now  # up, unless other fronts report something else
            self.list_received = True
        if ready_count >= self.max_ready or now - self.max_ready_at > settings.timing.flap_memory_ms:
            self.max_ready, self.max_ready_at = ready_count, now

    def ready_servers(self) -> int:
        return self.ready_count

    def total_link_kb(self) -> float:
        return self.link_kb

    def on_success(self, now: float, server: int) -> None:
        if known := self.servers.get(server):
            known.last_success_at = self.last_success_at = now

    def on_failure(self, now: float, server: int) -> None:
        if known := self.servers.get(server):
            known.last_failure_at = self.last_failure_at = now

    def on_report(self, now: float, front: int, state: ZoneState, progress: float) -> None:
        self.reports[front] = (state, progress, now)

    # state

    def loss_evidence(self, now: float) -> str:
        """This front's own evidence of a loss, as a reason for operators; empty if there is none."""
        if self.unlisted:
            return "the list names no ready server of it" if self.max_ready else "the list has never named it"
        span = 2 * self.settings.timing.notice_ms
        if self.last_failure_at <= now - span:
            return ""
        recent = [s for s in self.servers.values() if max(s.last_success_at, s.last_failure_at) > now - span]
        failed = [s for s in recent if s.last_failure_at > s.last_success_at]
        racks = self.cells
        failed_racks = {s.cell for s in failed}
        live_racks = {s.cell for s in recent if s.last_success_at >= s.last_failure_at}
        too_few = len(failed) < min(2, len(self.servers)) or len(failed_racks) < min(2, len(racks))
        if (
            too_few
            or len(failed) <= FAILED_SHARE * len(recent)
            or len(live_racks) >= FAILED_SHARE * len(racks)
        ):
            return ""
        return f"attempts failed on {len(failed)} servers of {len(failed_racks)} racks of {len(racks)}"

    def majority_reports(self, now: float, states: tuple[ZoneState, ...]) -> bool:
        """Whether most fronts with a recent report, and at least `MIN_VOTES`, report one of the states."""
        if now - self.votes_counted_at >= VOTE_COUNT_NOTICES * self.settings.timing.notice_ms:
            self.votes_counted_at, since = now, now - self.report_max_age_ms()
            self.votes = Counter(s for s, _, at in self.reports.values() if at > since)
        recent = self.votes.total()
        return recent >= MIN_VOTES and 2 * sum(self.votes[s] for s in states) > recent

    def report_max_age_ms(self) -> float:
        return REPORT_NOTICES * self.settings.timing.notice_ms

    def update(self, now: float) -> StateChange | None:
        """Derives the state from the evidence. To be called on each tick."""
        timing = self.settings.timing
        reason = self.loss_evidence(now)
        succeeded = self.last_success_at > now - timing.notice_ms
        no_evidence = not reason and not succeeded and self.state is not ZoneState.RETURNING
        if no_evidence and self.majority_reports(now, (ZoneState.DARK,)):
            reason = "most other fronts have lost it"
        self.evidence_since = (
            (now if self.evidence_since is None else self.evidence_since) if reason else None
        )
        confirmed = self.evidence_since is not None and now - self.evidence_since >= timing.notice_ms
        if self.override is OperatorOverride.HOLD:
            return (
                self.change_state(now, ZoneState.DARK, "held out by order")
                if self.state is not ZoneState.DARK
                else None
            )
        if self.state is ZoneState.UP:
            if reason:
                return self.change_state(
                    now, ZoneState.DARK if self.unlisted and not self.max_ready else ZoneState.FAILING, reason
                )
            new = self.first_seen_at is not None and now - self.first_seen_at < 2 * timing.notice_ms
            if new and self.majority_reports(now, (ZoneState.DARK, ZoneState.RETURNING)):
                return self.join_recovery(now)
            if self.flaps and now - max(self.flapped_at, self.since) > timing.flap_memory_ms:
                self.flaps, self.flapped_at = self.flaps - 1, now
        elif self.state is ZoneState.FAILING:
            if confirmed:
                return self.change_state(now, ZoneState.DARK, reason)
            if not reason and now - self.since >= timing.notice_ms:
                return self.change_state(now, ZoneState.UP, "the signs have passed")
        elif self.state is ZoneState.DARK:
            if not reason and not self.unlisted and self.ready_servers() and self.has_recovered(now):
                return self.change_state(
                    now,
                    ZoneState.RETURNING,
                    f"{self.ready_servers()} servers are there of {self.max_ready}",
                )
        elif confirmed and reason:
            self.flaps, self.flapped_at = self.flaps + 1, now
            return self.change_state(now, ZoneState.DARK, reason)
        elif self.progress(now) >= 1.0 and self.is_warm(now):
            return self.change_state(now, ZoneState.UP, "the ramp is done")
        return None

    def has_recovered(self, now: float) -> bool:
        """Whether servers started since the zone went dark, or one accepted a probe."""
        restarted = any(
            s.ready and s.started_at > 0 and s.last_failure_at <= s.last_success_at
            for s in self.servers.values()
        )
        attempted = any(s.last_failure_at > float("-inf") for s in self.servers.values())
        return self.last_success_at > self.since or (restarted and not attempted) or not attempted

    def join_recovery(self, now: float) -> StateChange:
        """This front has just started: takes the progress of the recovery from the other fronts."""
        recent = [(s, p) for s, p, at in self.reports.values() if now - at < self.report_max_age_ms()]
        self.initial_progress = min([p for s, p in recent if s is ZoneState.RETURNING], default=0.0)
        return self.change_state(now, ZoneState.RETURNING, "other fronts say that it returns")

    def change_state(self, now: float, state: ZoneState, reason: str) -> StateChange:
        if state is ZoneState.RETURNING:
            self.ramp_started_at = now - self.initial_progress * self.ramp_ms()
            self.initial_progress = 0.0
        if state is ZoneState.DARK:
            self.probe_count, self.probed_at = 0, now
        if state in (ZoneState.UP, ZoneState.RETURNING):
            self.evidence_since = None
        self.state, self.since, self.reason, self.first_seen_at = state, now, reason, None
        return StateChange(self.settings.zones[self.zone], state, reason)

    # recovery

    def slowdown(self) -> float:
        """Factor of the ramp's length: doubles with each flap, up to the bound of the settings."""
        return float(min(self.settings.timing.max_slowdown, 2.0 ** min(30, self.flaps)))

    def ramp_ms(self) -> float:
        return self.settings.timing.ramp_ms * self.slowdown()

    def progress(self, now: float) -> float:
        """Progress of the recovery, 0 to 1; 1 when the zone is up."""
        if self.state is ZoneState.UP or self.state is ZoneState.FAILING:
            return 1.0
        if self.state is ZoneState.DARK:
            return 0.0
        return min(1.0, max(0.0, (now - self.ramp_started_at) / max(1.0, self.ramp_ms())))

    def set_up_rate(self, now: float) -> float:
        """Set-ups per ms that all fronts together may send to the zone.

        Each server takes its places over the warm-up time, times its warmth (see the rule for cold servers in
        DESIGN). The warmth follows from its start and is no greater than the progress of the ramp.
        """
        progress, warm_ms = self.progress(now), max(1.0, self.settings.warm_ms)
        places = sum(
            s.places * max(self.settings.cold_from, min(progress, self.warmth(now, s)))
            for s in self.servers.values()
            if s.ready
        )
        return places / warm_ms / RATE_SAFETY_FACTOR

    def warmth(self, now: float, server: ServerView) -> float:
        """Warmth of a server, 0 to 1, by its start in the list."""
        if server.started_at <= 0:
            return 1.0
        return min(1.0, max(0.0, now - server.started_at) / max(1.0, self.settings.warm_ms))

    def is_warm(self, now: float) -> bool:
        """Whether most ready servers are warm: one that has just started does not delay the zone."""
        ready = [s for s in self.servers.values() if s.ready]
        return 2 * sum(self.warmth(now, s) >= 1.0 for s in ready) > len(ready)

    def probe_due(self, now: float) -> bool:
        """Whether one session may probe a dark zone whose servers are listed; backs off with each probe."""
        wait_ms = self.settings.timing.probe_interval_ms * min(
            self.settings.timing.max_slowdown, 2.0 ** min(30, self.probe_count)
        )
        wait_ms *= self.slowdown()
        can_probe = (
            self.state is ZoneState.DARK
            and self.ready_servers() > 0
            and self.override is OperatorOverride.NONE
        )
        return can_probe and now - self.probed_at >= wait_ms

    def record_probe(self, now: float) -> None:
        self.probed_at, self.probe_count = now, self.probe_count + 1
