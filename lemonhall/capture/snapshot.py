"""Serializes the decision module with its state, and restores it from a snapshot. This module does no I/O.

A capture may come from an untrusted source, and unpickling calls any function that the data names.
Therefore only classes of the module and its interface, and the standard containers below, are accepted.
"""

from __future__ import annotations

import io
import pickle
import types
from collections import Counter, OrderedDict, defaultdict, deque
from enum import Enum
from random import Random
from typing import Any

from lemonhall import decide, interface

ALLOWED_TYPES = {
    ("collections", "deque"): deque,
    ("collections", "Counter"): Counter,
    ("collections", "OrderedDict"): OrderedDict,
    ("collections", "defaultdict"): defaultdict,
    ("random", "Random"): Random,
    ("builtins", "set"): set,
    ("builtins", "frozenset"): frozenset,
    ("builtins", "object"): object,
    ("builtins", "list"): list,
    ("builtins", "int"): int,
    ("builtins", "float"): float,
}


# Snapshots of earlier versions hold earlier names of classes, handlers and attributes. They are translated
# while a snapshot is read; new snapshots hold present names only. An earlier name must not get a new meaning.
RENAMED_CLASSES: dict[tuple[str, str], str] = {
    (decide.__name__, "Box"): "MediaServer",
    (decide.__name__, "Pipe"): "Link",
    (decide.__name__, "Plan"): "DemandCurve",
    (interface.__name__, "Because"): "ReasonCode",
    (interface.__name__, "Learned"): "LearnedServerState",
    (interface.__name__, "Memory"): "LearnedState",
    (interface.__name__, "Advised"): "AdviceChanged",
    (interface.__name__, "Fleet"): "FleetChanged",
    (interface.__name__, "TellPeers"): "SendToPeers",
    (interface.__name__, "Remark"): "LogMessage",
}
RENAMED_HANDLERS: dict[str, str] = {
    "on_new": "on_new_session",
    "on_advised": "on_advice_changed",
    "on_fleet": "on_fleet_changed",
    "on_ended": "on_attempt_ended",
    "on_memory": "on_learned_state",
    "on_tick": "on_timer_due",
}
RENAMED_ATTRIBUTES: dict[type, dict[str, str]] = {
    decide.Front: {
        "untold": "uplinks_estimated",
        "out": "actions",
        "boxes": "tracked_servers",
        "order": "server_list",
        "by_cell": "servers_by_cell",
        "held": "servers_in_use",
        "usual": "fleet_use",
        "seats": "seats_taken",
        "born": "first_call_at",
        "cheapest": "lowest_worth",
        "counts": "arrivals",
        "counted_at": "arrivals_at",
        "worths": "mean_worths",
        "length_ms": "mean_session_ms",
        "ends": "sessions_ended",
        "own": "own_kb",
        "own_high": "own_premium_kb",
        "links": "all_links_kb",
        "seen_ms": "observed_ms",
        "set_up_ms": "mean_set_up_ms",
        "set_up_spread": "set_up_deviation_ms",
        "splits": "cached_quotas",
        "taken": "request_times",
        "retried": "retry_times",
        "tenant_room": "tenant_tokens",
        "plans": "demands",
        "acts": "handlers",
        "levels": "price_levels",
        "racks": "uplinks",
        "want": "loads_kb",
    },
    decide.Link: {
        "cap": "capacity_kb",
        "target": "target_use",
        "usual": "fleet_use",
        "told": "is_reported",
        "span": "full_use_kb",
        "own": "own_kb",
        "want": "loads_kb",
        "past": "own_history",
        "others": "others_kb",
        "base": "reported_own_kb",
        "limit": "own_limit_kb",
        "short_at": "shortfall_at",
        "heard_at": "reported_at",
    },
    decide.Session: {
        "told": "request",
        "plan": "demand",
        "started": "started_at",
        "changed_at": "rung_changed_at",
        "gone": "viewer_gone",
        "settled": "rung_adjusted",
        "box": "assigned_server",
        "part": "allocation",
        "erred": "error_servers",
    },
    decide.MediaServer: {
        "told": "entry",
        "pipes": "links",
        "quota_at": "quota_due_at",
        "dice": "rounding_draw",
        "share": "delivered_share",
        "share_at": "delivered_share_at",
        "evidence": "failure_score",
        "barred_until": "ejected_until",
        "backoff": "backoff_ms",
        "cold_sent": "last_set_up_at",
    },
    interface.Settings: {
        "links_kb": "all_links_kb",
        "weights_tell_size": "weights_are_sizes",
        "told_late_ms": "report_delay_ms",
        "may_tell_peers": "may_message_peers",
        "warm_within_ms": "warm_up_ms",
        "cross_cost": "cross_zone_cost",
    },
    interface.NewSession: {"again": "repeated"},
    interface.Reason: {"because": "code"},
    interface.LearnedServerState: {
        "evidence": "failure_score",
        "barred_until": "ejected_until",
        "others_kb": "other_fronts_kb",
        "heard_at": "updated_at",
    },
    interface.LearnedState: {
        "at": "recorded_at",
        "length_ms": "mean_session_ms",
        "ends": "sessions_ended",
        "set_up_ms": "mean_set_up_ms",
        "set_up_spread": "set_up_deviation_ms",
    },
}


class SnapshotError(ValueError):
    """Bytes that are not a snapshot of the module, or a snapshot of an incompatible version."""


def bound(owner: Any, name: str) -> Any:
    """Returns an event handler of the module. Snapshots refer to this function by name."""
    if not isinstance(owner, decide.Front) or not name.startswith("on_"):
        raise SnapshotError(f"no handler of the module: {name}")
    return getattr(owner, RENAMED_HANDLERS.get(name, name))


def rename_attributes(root: Any) -> None:
    """Renames the attributes of all objects reachable from `root` from earlier to present names."""
    seen, pending = set[int](), [root]
    while pending:
        value = pending.pop()
        if id(value) in seen:
            continue
        seen.add(id(value))
        if isinstance(value, dict):
            pending += [*value.keys(), *value.values()]
        elif isinstance(value, list | tuple | set | frozenset | deque):
            pending += value
        elif type(value).__module__ in (decide.__name__, interface.__name__) and not isinstance(value, Enum):
            attributes = vars(value)
            if renamed := RENAMED_ATTRIBUTES.get(type(value)):
                present = {renamed.get(name, name): each for name, each in attributes.items()}
                attributes.clear()
                attributes.update(present)
            pending += attributes.values()


class SnapshotPickler(pickle.Pickler):
    """Stores a bound handler as its owner and its name."""

    def reducer_override(self, value: Any) -> Any:
        if isinstance(value, types.MethodType):
            return bound, (value.__self__, value.__func__.__name__)
        return NotImplemented


class SnapshotUnpickler(pickle.Unpickler):
    """Accepts only the names that a snapshot may hold, and translates earlier ones."""

    def find_class(self, module: str, name: str) -> Any:
        if (module, name) in ALLOWED_TYPES:
            return ALLOWED_TYPES[module, name]
        if (module, name) == (__name__, "bound"):
            return bound
        name = RENAMED_CLASSES.get((module, name), name)
        if module in (decide.__name__, interface.__name__) and "." not in name:
            found = getattr(decide if module == decide.__name__ else interface, name, None)
            if isinstance(found, type) and (found.__module__ == module or issubclass(found, Enum)):
                return found
        raise SnapshotError(f"{module}.{name} has no place in a snapshot")


def serialize_module(module: Any) -> bytes:
    """Raises `pickle.PicklingError` or `AttributeError` for a module that cannot be serialized."""
    out = io.BytesIO()
    SnapshotPickler(out, protocol=4).dump(module)
    return out.getvalue()


def restore_module(data: bytes) -> Any:
    """Raises `SnapshotError`."""
    try:
        module = SnapshotUnpickler(io.BytesIO(data)).load()
        rename_attributes(module)
    except SnapshotError:
        raise
    except Exception as error:  # damaged bytes can make pickle raise any exception
        raise SnapshotError(f"cannot be read: {error!r}") from error
    if not isinstance(module, decide.Front):
        raise SnapshotError("holds no module")
    return module
