"""What an observer who knows all could get of a day: an upper bound by capacity alone.

Every second the rates of all who want to watch are raised by the steps that earn the most worth a kB, until
the capacity is full: the sum over racks of the lesser of uplink and links that are up. No set-up takes time
there, no report is late, a session may be cut and shared at will; nobody can do better.
"""

from __future__ import annotations

import numpy as np

from lemonhall.config.day import Day
from lemonhall.model.played.draws import Wish

DOWN = ("crash", "hang", "silent", "slow-dead", "drain-dead", "deploy")
FOR_GOOD = ("slow-dead", "drain-dead")


def capacity(day: Day, seconds: int) -> np.ndarray:
    """kB a second that the fleet can carry, by second; servers that are down carry nothing."""
    links = np.zeros((day.terms.racks, seconds))
    for box in day.boxes:
        up = np.ones(seconds)
        for fault in day.faults:
            if fault.kind in DOWN and box.name in fault.targets:
                end = seconds if fault.kind in FOR_GOOD else int((fault.at_ms + fault.for_ms) / 1000)
                begin = (fault.at_ms + fault.for_ms if fault.kind in FOR_GOOD else fault.at_ms) / 1000
                if fault.kind != "deploy":
                    up[int(np.ceil(begin)) : end] = 0
        links[box.cell] += up * box.link_kb
    uplinks = np.full((day.terms.racks, seconds), day.terms.uplink_kb or np.inf)
    for fault in day.faults:
        if fault.kind == "uplink":
            span = slice(int(np.ceil(fault.at_ms / 1000)), int((fault.at_ms + fault.for_ms) / 1000))
            for rack in fault.targets:
                uplinks[int(rack), span] *= fault.part
    made: np.ndarray = np.minimum(links, uplinks).sum(axis=0)
    return made


def upper_bound(day: Day, wishes: list[Wish]) -> float:
    """Most service that a day can give, 0 to 1; worth played over worth asked, as the audit counts it."""
    terms = day.terms
    seconds = int(day.length_ms / 1000) + 61
    room = capacity(day, seconds)
    rungs = len(terms.ladder_kb)
    watching = np.zeros((len(terms.classes), rungs, seconds))
    asked = 0.0
    for wish in wishes:
        if wish.vanishes:
            continue
        begin, end = wish.at / 1000, min(seconds, (wish.at + wish.length_ms) / 1000)
        for second in range(int(begin), int(np.ceil(end))):
            watching[wish.cls, wish.top, second] += max(0.0, min(end, second + 1) - max(begin, second))
        asked += terms.classes[wish.cls].worth * wish.length_ms / 1000 * terms.ladder_worth[wish.top]
    steps = []
    for c, cls in enumerate(terms.classes):
        low = terms.ladder_kb[cls.floor] * cls.scale
        steps.append((cls.worth * terms.ladder_worth[cls.floor] / low, c, cls.floor, low))
        for r in range(cls.floor + 1, rungs):
            kb = (terms.ladder_kb[r] - terms.ladder_kb[r - 1]) * cls.scale
            gain = cls.worth * (terms.ladder_worth[r] - terms.ladder_worth[r - 1])
            steps.append((gain / kb, c, r, kb))
    got = 0.0
    left = room.copy()
    for price, c, r, kb in sorted(steps, reverse=True):
        want = watching[c, max(r, 0) :, :].sum(axis=0) * kb
        taken = np.minimum(want, left)
        left -= taken
        got += float(taken.sum()) * price
    return min(1.0, got / asked) if asked else 0.0
