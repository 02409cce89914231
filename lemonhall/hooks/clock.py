"""Times of day and days of the week in a zone, from a Unix time that is passed in. No clock is read here.

Zones are the IANA database's (RFC 6557). Where clocks go forward, times of day that are left out never come;
where they go back, an hour comes twice. Offsets are looked up once a quarter of an hour: no zone in use
changes elsewhere.
"""

from __future__ import annotations

from datetime import UTC, datetime
from functools import lru_cache
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError, available_timezones

from lemonhall.hooks.tree import nearest

QUARTER_S = 900


@lru_cache(maxsize=64)
def zone(name: str) -> ZoneInfo:
    return ZoneInfo(name)


@lru_cache(maxsize=1)
def names() -> list[str]:
    return sorted(available_timezones())


def zone_fix(name: str) -> str:
    """Empty if there is such a zone, else what may have been meant."""
    try:
        zone(name)
        return ""
    except (ZoneInfoNotFoundError, ValueError, OSError):
        return nearest(name[:40], names()) or "a name of the IANA database, as in Africa/Cairo"


@lru_cache(maxsize=256)
def offset(name: str, quarter: int) -> float:
    """Seconds of the zone ahead of UTC in a quarter of an hour, counted from 1970."""
    there = datetime.fromtimestamp(quarter * QUARTER_S, UTC).astimezone(zone(name)).utcoffset()
    return there.total_seconds() if there else 0.0


def local(name: str, wall_ms: float) -> tuple[float, int]:
    """Second of the day and day of the week (monday 0) at a Unix time in milliseconds."""
    at = wall_ms / 1000
    at += offset(name, int(at // QUARTER_S)) if name != "UTC" else 0.0
    return at % 86400, int(at // 86400 + 3) % 7
