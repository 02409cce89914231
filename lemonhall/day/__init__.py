"""A scripted day on loopback: fronts and stand-ins as processes, faults at times, rules from the taps."""

from lemonhall.day.runner import DayFailed, play_day

__all__ = ["DayFailed", "play_day"]
