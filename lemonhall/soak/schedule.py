"""What a trial is: a site and a list of timed events, drawn from a seed. Pure."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, replace
from enum import StrEnum
from random import Random
from typing import Any

WARM_UP_S = 2.0  # before the first event
COOL_DOWN_S = 5.0  # after the last drawn event: the longest deadline and half a second must pass
SHUTDOWN_GAP_S = (0.3, 1.5)  # between the shutdowns of a series
NEAR_TROUBLE_S = 0.5  # changes of the list fall this close to the end of a trouble of discovery


class EventKind(StrEnum):
    """What happens to a node, a media server, discovery or the viewers."""

    TERMINATE = "terminate"  # SIGTERM; SIGKILL at the protocol's earliest; then a new process
    RECONFIGURE = "reconfigure"  # a new configuration with another address of discovery, and SIGHUP
    DRAIN = "drain"
    REMOVE = "remove"  # the process ends as well
    RETURN = "return"  # a new process under the same id and address
    REPLACE = "replace"  # a new process under another id at the same address
    CRASH = "crash"  # the process ends, the list is not told
    RESTART = "restart"  # after a crash
    HANG = "hang"
    RESUME = "resume"
    RESET = "reset"  # its connections are reset, the process goes on
    DISCOVERY = "discovery"  # how it answers from now on: `detail` is a `DiscoveryMode`
    CROWD = "crowd"  # many requests for a while; `value` is the factor of the rate
    RUDE = "rude"  # a viewer that sends what cannot be read


class DiscoveryMode(StrEnum):
    """How discovery answers. `value` of the event gives the seconds of an answer where one applies."""

    NORMAL = "normal"
    SILENT = "silent"
    CLOSED = "closed"  # its port is closed
    SLOW = "slow"
    CROWDED = "crowded"  # one answer after another, all nodes in one queue
    LOSSY = "lossy"  # every second answer is lost
    FAILING = "failing"  # an error code
    CUT_SHORT = "cut_short"
    OTHER_ID = "other_id"
    OLDER = "older"  # the list of the start
    EMPTY = "empty"  # a list without servers


@dataclass(frozen=True)
class Event:
    """`target` is the number of a node or a server."""

    at_s: float
    kind: EventKind
    target: int = 0
    value: float = 0.0
    detail: str = ""


@dataclass(frozen=True)
class Site:
    """The settings of a small deployment."""

    drain_grace_s: float
    deadlines_s: tuple[float, float]  # of the class that may run once only, and of the one that may repeat
    set_ups_per_connection: int
    idle_s: float
    set_up_s: float  # of a media server
    session_s: float  # mean length

    @property
    def kill_after_s(self) -> float:
        """Protocol: SIGKILL comes no earlier than this after SIGTERM."""
        return min(3.0, max(self.deadlines_s)) + 0.7


@dataclass(frozen=True)
class Schedule:
    """A trial that can be stored and played again."""

    seed: int
    seconds: float
    nodes: int
    servers: int
    requests_per_s: float  # at each node
    site: Site
    events: tuple[Event, ...]

    def to_json(self) -> str:
        return json.dumps(asdict(self), indent=1)

    def without(self, index: int) -> Schedule:
        """The same trial without one event."""
        return replace(self, events=self.events[:index] + self.events[index + 1 :])


def schedule_from_json(text: str) -> Schedule:
    """Raises `ValueError`, `KeyError` or `TypeError` for a text that `to_json` did not write."""
    data: dict[str, Any] = json.loads(text)
    site = Site(**{**data.pop("site"), "deadlines_s": (0.0, 0.0)})
    events = tuple(Event(**{**event, "kind": EventKind(event["kind"])}) for event in data.pop("events"))
    deadlines = json.loads(text)["site"]["deadlines_s"]
    return Schedule(**data, site=replace(site, deadlines_s=tuple(deadlines)), events=events)


def draw_schedule(seed: int, seconds: float, nodes: int = 0) -> Schedule:
    """The trial of a seed, the same on every machine."""
    random = Random(seed)
    servers = random.randint(5, 8)
    nodes = nodes or random.randint(3, 4)
    site = Site(
        drain_grace_s=random.choice((0.25, 2.0)),
        deadlines_s=random.choice(((5.0, 4.0), (1.5, 1.0), (2.0, 3.0))),
        set_ups_per_connection=random.choice((1, 4, 32)),
        idle_s=random.choice((3.0, 15.0)),
        set_up_s=random.uniform(0.01, 0.15),
        session_s=random.uniform(2.0, 6.0),
    )
    end = seconds - COOL_DOWN_S
    events: list[Event] = []
    events += _draw_discovery_troubles(random, servers, end)
    events += _draw_shutdowns(random, nodes, end)
    events += _draw_server_faults(random, servers, end)
    events += _draw_viewer_faults(random, nodes, end)
    events.sort(key=lambda event: event.at_s)
    return Schedule(seed, seconds, nodes, servers, random.uniform(4.0, 12.0), site, tuple(events))


def _draw_discovery_troubles(random: Random, servers: int, end: float) -> list[Event]:
    """One or two troubles of discovery, with changes of the list close to their ends."""
    events: list[Event] = []
    changed: set[int] = set()
    at = random.uniform(WARM_UP_S, WARM_UP_S + 3.0)
    for _ in range(2):
        mode = random.choice([mode for mode in DiscoveryMode if mode is not DiscoveryMode.NORMAL])
        answer_s = random.uniform(0.3, 4.0) if mode is DiscoveryMode.SLOW else random.uniform(0.05, 0.5)
        over_at = at + random.uniform(1.0, 8.0)
        events.append(Event(at, EventKind.DISCOVERY, 0, answer_s, mode))
        events.append(Event(over_at, EventKind.DISCOVERY, 0, 0.0, DiscoveryMode.NORMAL))
        for edge in (at, over_at):
            free = [number for number in range(servers // 2) if number not in changed]
            if free:
                changed.add(number := random.choice(free))
                events += _draw_replacement(random, number, edge + random.uniform(-1, 1) * NEAR_TROUBLE_S)
        if random.random() < 0.4:
            node = random.randrange(3)
            for _ in range(random.randint(1, 3)):
                moved_at = over_at + random.uniform(-2.0, 0.5)
                events.append(Event(max(WARM_UP_S, moved_at), EventKind.RECONFIGURE, node))
        at = over_at + random.uniform(0.1, 1.5)
    return [event for event in events if event.at_s < end]


def _draw_replacement(random: Random, number: int, at: float) -> list[Event]:
    """A server drains, goes, and comes back under its id or another; all of it may fit between two calls."""
    gone_at = at + random.choice((random.uniform(0.05, 0.4), random.uniform(1.0, 6.0)))
    back_at = gone_at + random.choice((random.uniform(0.05, 0.4), random.uniform(0.5, 3.0)))
    back = random.choice((EventKind.RETURN, EventKind.RETURN, EventKind.REPLACE))
    return [
        Event(at, EventKind.DRAIN, number),
        Event(gone_at, EventKind.REMOVE, number),
        Event(back_at, back, number),
    ]


def _draw_shutdowns(random: Random, nodes: int, end: float) -> list[Event]:
    """Signals in series; sometimes a second one to the same node."""
    at = random.uniform(WARM_UP_S, end * 0.6)
    events = []
    for node in random.sample(range(nodes), random.randint(1, nodes - 1)):
        events.append(Event(at, EventKind.TERMINATE, node))
        if random.random() < 0.3:
            events.append(Event(at + random.uniform(0.01, 1.0), EventKind.TERMINATE, node))
        if random.random() < 0.3:
            events.append(Event(at + random.uniform(0.01, 0.5), EventKind.RECONFIGURE, node))
        at += random.uniform(*SHUTDOWN_GAP_S)
    return [event for event in events if event.at_s < end]


def _draw_server_faults(random: Random, servers: int, end: float) -> list[Event]:
    """Crashes, hangs and resets among the servers that the list does not change."""
    events = []
    for number in range(servers // 2, servers):
        at = random.uniform(WARM_UP_S, end)
        kind = random.choice((EventKind.CRASH, EventKind.HANG, EventKind.RESET, EventKind.RESET))
        events.append(Event(at, kind, number))
        if kind is EventKind.CRASH:
            events.append(Event(at + random.uniform(0.05, 3.0), EventKind.RESTART, number))
        if kind is EventKind.HANG:
            events.append(Event(at + random.uniform(0.5, 6.0), EventKind.RESUME, number))
    return events


def _draw_viewer_faults(random: Random, nodes: int, end: float) -> list[Event]:
    """Rude viewers, and a crowd in some trials."""
    events = [
        Event(random.uniform(WARM_UP_S, end), EventKind.RUDE, random.randrange(nodes))
        for _ in range(random.randint(1, 4))
    ]
    if random.random() < 0.3:
        at = random.uniform(WARM_UP_S, end - 2.0)
        events.append(Event(at, EventKind.CROWD, 0, random.uniform(4.0, 10.0)))
        events.append(Event(at + random.uniform(1.0, 2.0), EventKind.CROWD, 0, 1.0))
    return events
