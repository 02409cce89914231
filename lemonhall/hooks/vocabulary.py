"""What a script can know and say, in one place: points, facts, functions and words.

The checker, the machine, the reference page and the front all read it from here.
"""

from __future__ import annotations

from dataclasses import dataclass

POINTS = {
    "arrival": "a session is asked for, or asks again after a move; nothing is decided yet",
    "refusal": "the module has refused or failed a session; its answer stands",
    "break": "an attempt has ended badly, before it played or while it did; the module has not been told yet",
    "change": "the module has changed the rung of a session that plays; the change stands",
}
EVERY = frozenset(POINTS)


@dataclass(frozen=True)
class Fact:
    name: str
    type: str
    points: frozenset[str]
    says: str


FACTS = (
    Fact("class", "text", EVERY, "class of the session, as the route gave it"),
    Fact("partner", "text", EVERY, "partner, as the route gave it"),
    Fact("title", "text", EVERY, "path of what is asked for, without its query"),
    Fact("route", "text", EVERY, "prefix of the route that fitted"),
    Fact("hall", "text", EVERY, "hall of this front"),
    Fact("viewer", "text", EVERY, "who asks, as the settings' header names it; else the address"),
    Fact("paid", "flag", EVERY, "whether a set-up of the class is paid for"),
    Fact("again", "flag", EVERY, "the viewer has come again after a refusal or a break"),
    Fact("moved", "flag", EVERY, "the session has played and was moved"),
    Fact("rung", "number", EVERY, "best rung of the viewer; at `change` the rung now decided"),
    Fact("floor", "number", EVERY, "lowest rung of the class"),
    Fact("time", "time", EVERY, "time of day in the script's zone"),
    Fact("weekday", "text", EVERY, "day of the week in the script's zone, monday to sunday"),
    Fact("sessions", "number", EVERY, "sessions that this front holds"),
    Fact("attempt", "number", EVERY, "attempts made for this session so far"),
    Fact("played", "duration", frozenset({"break", "change"}), "how long the session has played"),
    Fact("outcome", "text", frozenset({"break"}), "error, connect_failed, full, timeout or reset"),
    Fact("verdict", "text", frozenset({"refusal"}), "refused or failed"),
    Fact("before", "number", frozenset({"change"}), "rung before the change"),
)
FACT_INDEX = {f.name: n for n, f in enumerate(FACTS)}
TIME, WEEKDAY = FACT_INDEX["time"], FACT_INDEX["weekday"]
WEEKDAYS = ("monday", "tuesday", "wednesday", "thursday", "friday", "saturday", "sunday")
OUTCOMES = ("error", "connect_failed", "full", "timeout", "reset")
SCALARS = ("number", "duration", "share", "rate", "text", "flag", "time")
MEASURES = ("number", "duration", "share", "rate")


@dataclass(frozen=True)
class Builtin:
    """`takes`: types; `any` a scalar, `same` a measure like the others, `K`/`V` those of the table."""

    name: str
    takes: tuple[str, ...]
    gives: str
    says: str
    optional: int = 0  # so many of the last arguments may be left out


BUILTINS = (
    Builtin("load", ("text",), "share", "use of the links of a hall, as lately reported; 0% if never heard"),
    Builtin("refusals", ("duration",), "number", "sessions that this front refused lately, at most 60s back"),
    Builtin("trial", ("text", "share", "text"), "flag", "a stable draw: named, so much of the viewers", 1),
    Builtin("starts", ("text", "text"), "flag", "whether the first begins with the second"),
    Builtin("ends", ("text", "text"), "flag", "whether the first ends with the second"),
    Builtin("contains", ("text", "text"), "flag", "whether the second stands in the first"),
    Builtin("length", ("text",), "number", "letters of a text"),
    Builtin("lower", ("text",), "text", "in small letters"),
    Builtin(
        "text", ("any",), "text", "a value as text: numbers as short as they can be, durations in seconds"
    ),
    Builtin("min", ("same", "same"), "same", "the smaller"),
    Builtin("max", ("same", "same"), "same", "the larger"),
    Builtin("abs", ("same",), "same", "without its sign"),
    Builtin("floor", ("number",), "number", "the whole number below"),
    Builtin("get", ("table", "K", "V"), "V", "what a table holds for a key, else the third"),
)
BUILTIN_INDEX = {b.name: n for n, b in enumerate(BUILTINS)}
SPECIAL = {
    "count": "count(COUNTER) or count(COUNTER, key): additions within the counter's window, never too few",
    "choose": "choose(flag, A, B): A if the flag holds, else B; the other is not worked out",
}


@dataclass(frozen=True)
class WordKind:
    """A word of a script: where it may stand, the type of its value, what it does."""

    name: str
    points: frozenset[str]
    takes: str
    says: str


AHEAD = frozenset({"arrival", "break"})
WORDS = (
    WordKind("prefer hall", AHEAD, "text", "servers of this hall first; others if none of them has room"),
    WordKind("avoid hall", AHEAD, "text", "servers of this hall last"),
    WordKind("prefer rack", AHEAD, "number", "servers of this rack first"),
    WordKind("avoid rack", AHEAD, "number", "servers of this rack last"),
    WordKind("prefer kind", AHEAD, "text", "servers of this kind first"),
    WordKind("avoid kind", AHEAD, "text", "servers of this kind last"),
    WordKind("cap rung", frozenset({"arrival", "break", "change"}), "number", "no rung over this one"),
    WordKind("ask rung", frozenset({"arrival"}), "number", "begin at this rung or under it"),
    WordKind("count as", frozenset({"arrival"}), "text", "as another class, of no lesser promise"),
    WordKind("pause", frozenset({"arrival"}), "duration", "the pause to advise if it is refused"),
    WordKind("refuse", frozenset({"arrival"}), "text", "refuse it, with this reason"),
    WordKind("limit", frozenset({"arrival"}), "number", "refuse it over so many in a window, by a key"),
    WordKind("log", EVERY, "any", "a field in the session's log line"),
    WordKind("metric", EVERY, "number", "add to a counter of the metrics page; 1 without a number"),
    WordKind("add", EVERY, "any", "add one to a counter of the script's own"),
)
WORD_KINDS = {w.name: w for w in WORDS}
