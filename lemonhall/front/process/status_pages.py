"""Status pages of a front, and its counters in the Prometheus exposition format."""

from __future__ import annotations

import json
import socket
from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol
from urllib.parse import unquote

import prometheus_client as prom
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from lemonhall.front.decider.hooks import HookRunner
from lemonhall.front.decider.list_client import ListClient
from lemonhall.front.decider.membership import Membership
from lemonhall.front.decider.set_up_requests import SetUpRequests
from lemonhall.front.persistence.capture_writer import CaptureWriter
from lemonhall.front.persistence.store_service import StoreService
from lemonhall.front.process import status_server
from lemonhall.front.viewers.worker import Worker
from lemonhall.loop import Loop
from lemonhall.recovery import Phase
from lemonhall.zones import OperatorOverride

# Upper bounds of the histogram's buckets.
SET_UP_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5)


class Front(Protocol):
    """The part of the daemon that the status pages need."""

    loop: Loop
    set_up_requests: SetUpRequests
    list_client: ListClient
    worker: Worker
    hooks: HookRunner
    counts: Counter[str]
    stopping: bool
    draining: bool
    membership: Membership | None
    store_service: StoreService | None
    capture: CaptureWriter | None

    def gauges(self) -> tuple[int, int]: ...


class StatusPages:
    """Handlers of the status pages, and a Prometheus collector of the front's counters."""

    def __init__(self, front: Front) -> None:
        self.front = front
        self.registry = prom.CollectorRegistry()
        self.set_up_seconds = prom.Histogram(
            "lemonhall_set_up_seconds",
            "From the attempt's start to the first media",
            registry=self.registry,
            buckets=SET_UP_BUCKETS_S,
        )
        self.registry.register(self)

    def observe_set_up(self, ms: float) -> None:
        self.set_up_seconds.observe(ms / 1000)

    def connection_handler(self) -> Callable[[socket.socket, Any], object]:
        """Returns the handler of connections to the status address."""
        pages: dict[str, status_server.Page] = {
            "/health": self.health_page,
            "/ready": self.ready_page,
            "/metrics": self.metrics_page,
            "/hooks": self.front.hooks.page,
            "/members": self.members_page,
            "/capture": self.capture_page,
            "/halls": self.halls_page,
            "/limits": self.limits_page,
        }
        commands: dict[str, status_server.Command] = {
            "/halls/hold": lambda hall: self.order_hall(hall, OperatorOverride.HOLD),
            "/halls/release": lambda hall: self.order_hall(hall, OperatorOverride.NONE),
            "/limits/forget": self.forget_front,
        }
        return status_server.serve(self.front.loop, pages, commands)

    # pages

    def ready_page(self) -> tuple[int, str, bytes]:
        if self.front.stopping or self.front.draining:
            return 503, "text/plain", b"stopping\n" if self.front.stopping else b"draining\n"
        if self.front.worker.over_memory:
            return 503, "text/plain", b"over its memory\n"
        if not self.front.list_client.server_list.boxes:
            return 503, "text/plain", b"no box list yet\n"
        return 200, "text/plain", b"ready\n"

    def health_page(self) -> tuple[int, str, bytes]:
        """200 while the event loop runs, with the phase of recovery."""
        driver = self.front.set_up_requests.recovery
        return driver.page() if driver else (200, "text/plain", b"ok\n")

    def members_page(self) -> tuple[int, str, bytes]:
        if self.front.membership is None:
            return 404, "text/plain", b"no members in the settings\n"
        status, content_type, body = self.front.membership.page()
        driver = self.front.set_up_requests.recovery
        content = {**json.loads(body), "return": driver.show() if driver else None}
        return status, content_type, json.dumps(content).encode() + b"\n"

    def capture_page(self) -> tuple[int, str, bytes]:
        """The capture of the last minutes, as a file."""
        if self.front.capture is None:
            return 404, "text/plain", b"the settings say capture on=#false\n"
        return 200, "application/octet-stream", self.front.capture.save()

    def metrics_page(self) -> tuple[int, str, bytes]:
        return 200, "text/plain; version=0.0.4", prom.generate_latest(self.registry)

    def halls_page(self) -> tuple[int, str, bytes]:
        if self.front.set_up_requests.zones is None:
            return 404, "text/plain", b"no spill in the settings\n"
        return self.front.set_up_requests.zones.page()

    def order_hall(self, hall: str, what: OperatorOverride) -> tuple[int, str, bytes]:
        if self.front.set_up_requests.zones is None:
            return 404, "text/plain", b"no spill in the settings\n"
        return self.front.set_up_requests.zones.order(unquote(hall.removeprefix("hall=")), what)

    def limits_page(self) -> tuple[int, str, bytes]:
        if self.front.set_up_requests.limits is None:
            return 404, "text/plain", b"no limit in the settings\n"
        return self.front.set_up_requests.limits.page()

    def forget_front(self, query: str) -> tuple[int, str, bytes]:
        if self.front.set_up_requests.limits is None:
            return 404, "text/plain", b"no limit in the settings\n"
        return self.front.set_up_requests.limits.forget(query.removeprefix("front="))

    # counters

    def phase_metrics(self) -> list[Any]:
        phase = GaugeMetricFamily(
            "lemonhall_phase", "How far the front has come back: 1 at its phase", labels=["phase"]
        )
        full = GaugeMetricFamily("lemonhall_full_service_seconds", "From its start until its phase was full")
        if self.front.set_up_requests.recovery:
            content = self.front.set_up_requests.recovery.show()
            for entry in Phase:
                phase.add_metric([entry.name.lower()], float(entry.name.lower() == content["phase"]))
            if content["full_service_s"] is not None:
                full.add_metric([], content["full_service_s"])
        return [phase, full]

    def limit_metrics(self) -> list[Any]:
        limits = GaugeMetricFamily("lemonhall_limit", "Of the fleet's limits here", labels=["limit", "what"])
        refused = CounterMetricFamily("lemonhall_limit_refused", "Told that it is full", labels=["limit"])
        if driver := self.front.set_up_requests.limits:
            for limit in driver.machine.status(driver.now())["limits"]:
                refused.add_metric([limit["limit"]], limit["refused"])
                for what in ("goes_by", "used", "held", "borrowed", "lent", "needed", "others", "off_most"):
                    if what in limit:
                        limits.add_metric([limit["limit"], what], limit[what])
        return [limits, refused]

    def collect(self) -> list[Any]:
        """Called by prometheus_client to collect the metrics."""
        events = CounterMetricFamily("lemonhall_events", "What happened, by name", labels=["event"])
        for name, value in sorted(Counter(self.front.counts).items()):
            events.add_metric([name], value)
        current = GaugeMetricFamily("lemonhall_now", "What is open now, by name", labels=["what"])
        viewers, sessions = self.front.gauges()
        current.add_metric(["viewers"], viewers)
        current.add_metric(["sessions"], sessions)
        current.add_metric(["asks"], len(self.front.set_up_requests.open_requests))
        current.add_metric(["boxes"], len(self.front.list_client.server_list.boxes))
        current.add_metric(["list_version"], self.front.list_client.server_list.version)
        events.add_metric(["older_lists"], self.front.list_client.server_list.older_updates)
        current.add_metric(["longest_pass_seconds"], self.front.loop.longest_pass_s)
        hook_metrics = CounterMetricFamily("lemonhall_hook", "Counted by hook scripts", labels=["name"])
        for name, value in sorted(self.front.hooks.engine.metrics.items()):
            hook_metrics.add_metric([name], value)
        scripts = CounterMetricFamily("lemonhall_hook_script", "Of each script", labels=["script", "what"])
        for entry in self.front.hooks.engine.report():
            for what in ("calls", "fuel", "words"):
                scripts.add_metric([entry["script"], what], entry[what])
            scripts.add_metric([entry["script"], "cuts"], sum(entry["cuts"].values()))
        overruled = CounterMetricFamily("lemonhall_hooks_overruled", "Words that did not stand")
        overruled.add_metric([], sum(self.front.hooks.engine.overruled.values()))
        if self.front.store_service:
            for name, value in sorted(
                (self.front.store_service.counts + self.front.set_up_requests.claim_resolver.counts).items()
            ):
                events.add_metric([f"store_{name}"], value)
            current.add_metric(["store_groups"], self.front.store_service.writer.groups)
        return [
            events,
            current,
            hook_metrics,
            scripts,
            overruled,
            *self.phase_metrics(),
            *self.limit_metrics(),
        ]
