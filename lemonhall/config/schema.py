"""Everything that a settings file or a day may say, in one place.

The checker, the reference page, the example and the completion data are made of it; defaults are here.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

NEEDED = object()  # a field without a default
REPEATS = ("safe", "keyed", "paid")
HOLDS = ("exact", "paced", "soft")


@dataclass(frozen=True)
class Field:
    """An argument or a property. `kind`: text, flag, int, number, address, or a dimension of `units`.

    `of`: it names a node of that name; `one_of`: it is one of these texts; `empty`: may be left out.
    """

    name: str
    kind: str
    says: str
    default: Any = NEEDED
    least: float | None = None
    most: float | None = None
    of: str = ""
    one_of: tuple[str, ...] = ()


@dataclass(frozen=True)
class Spec:
    """A node. `times`: one (needed once), maybe (at most once), some (at least once), any.

    `key`: nodes are told apart by their first argument, each once.
    """

    name: str
    says: str
    times: str = "any"
    args: tuple[Field, ...] = ()
    rest: Field | None = None  # any number of arguments behind `args`
    fields: tuple[Field, ...] = ()
    children: tuple[Spec, ...] = ()
    key: bool = False


def rate(name: str, says: str, default: Any = NEEDED, least: float | None = 0.001) -> Field:
    return Field(name, "rate", says, default, least)


def time(name: str, says: str, default: Any = NEEDED, least: float = 0) -> Field:
    return Field(name, "time", says, default, least)


PICKS = ("round-robin", "least", "random", "random-two", "hash", "consistent")
THEN = ("", "last", "break", "redirect", "permanent")
TEST = Spec(
    "when",
    "a condition",
    "any",
    args=(
        Field("what", "text", 'host, path, query, "header NAME" or "arg NAME"'),
        Field(
            "how",
            "text",
            "the test",
            one_of=("is", "not", "match", "no-match", "any-case", "no-any-case", "given", "missing"),
        ),
        Field("value", "text", "text or expression; empty for given and missing"),
    ),
)
TERMS = (
    Spec("halls", "names of the halls", "one", rest=Field("hall", "text", "a hall")),
    Spec(
        "racks",
        "racks and their uplinks",
        "one",
        fields=(
            Field("count", "int", "number of racks", least=1, most=100_000),
            rate("uplink", "mean uplink of a rack; 0: not told", 0.0, 0),
        ),
    ),
    Spec("link", "links of servers", "one", fields=(rate("per-weight", "link of a server of weight 1"),)),
    Spec(
        "titles",
        "where titles are kept",
        "maybe",
        fields=(
            Field("cells", "int", "groups of servers that titles are spread over; racks, if left out", 0, 0),
            Field("copies", "int", "groups that hold one title; 0: all", 0, 0),
        ),
    ),
    Spec(
        "ladder",
        "rates at which a session can be played",
        "one",
        children=(
            Spec(
                "rung",
                "one rate; they rise",
                "some",
                fields=(
                    rate("rate", "its rate"),
                    Field("worth", "number", "part of the class's worth that it earns", least=0),
                ),
            ),
        ),
    ),
    Spec(
        "kind",
        "a kind of server",
        "some",
        args=(Field("name", "text", "its name"),),
        fields=(Field("places", "int", "sessions that it runs at most", least=1, most=100_000),),
        key=True,
    ),
    Spec(
        "class",
        "a class of sessions and its terms",
        "some",
        args=(Field("name", "text", "its name"),),
        fields=(
            Field("worth", "number", "what a second at the best rung is worth", least=0),
            Field("repeat", "text", "what a second set-up does", "safe", one_of=REPEATS),
            time("aim", "a set-up should be done by then", least=1),
            time("deadline", "the answer is due by then", least=1),
            Field("floor", "int", "lowest rung that may be played", 0, 0),
            Field("top", "int", "best rung", 99, 0),
            Field("scale", "number", "its rates over the ladder's", 1.0, 0.001),
            Field("seats", "int", "sessions of one title that a front may hold; 0: no cap", 0, 0),
            Field("spills", "flag", "its sessions may play in another hall when theirs is lost", True),
        ),
        key=True,
    ),
    Spec(
        "spill",
        "where sessions of a hall may play when it is lost: tiers, in their order",
        "any",
        args=(Field("hall", "text", "whose sessions", of="hall"),),
        fields=(
            Field("to", "text", "the hall that takes them in", of="hall"),
            Field("share", "part", "of that hall's links, at most", least=0.0001, most=1),
            Field("overflow", "flag", "also what does not fit while the hall is there", False),
        ),
    ),
    Spec(
        "takes-in",
        "what a hall takes in from all others together",
        "any",
        args=(Field("hall", "text", "the hall", of="hall"),),
        fields=(
            Field("links", "part", "of its links, at most; 0: no limit but the tiers'", 0.0, 0, 1),
            Field("set-ups", "number", "set-ups a second, at most; 0: no limit", 0.0, 0),
        ),
        key=True,
    ),
    Spec(
        "spilling",
        "how the loss and the return of a hall are told",
        "maybe",
        fields=(
            time("notice", "signs of a loss must hold for so long", 3000.0, 1),
            time("trial", "a dark hall is tried this often, less with each trial in vain", 2000.0, 1),
            time("ramp", "a hall that returns is let in over", 30_000.0, 1),
            Field("slowest", "number", "after flaps at most so many times slower", 8.0, 1),
            time("forget", "a flap is forgotten after", 300_000.0, 1),
        ),
    ),
    Spec(
        "partner",
        "who sends viewers",
        "any",
        args=(Field("name", "text", "its name"),),
        fields=(Field("quota", "number", "sessions a second over all fronts; 0: not told", 0.0, 0),),
        key=True,
    ),
    Spec(
        "limit",
        "what all fronts together hold, or begin, at most",
        "any",
        args=(Field("name", "text", "its name"),),
        fields=(
            Field("partner", "text", "of this partner's sessions; of all, if left out", "", of="partner"),
            Field("class", "text", "of this class; of all, if left out", "", of="class"),
            Field("hall", "text", "of viewers of this hall's fronts; of all, if left out", "", of="hall"),
            Field("sessions", "int", "sessions that stand; 0: not these", 0, 0, 100_000_000),
            rate("rate", "what they may take together; 0: not this", 0.0, 0),
            Field("set-ups", "number", "set-ups a second; 0: not these", 0.0, 0),
            Field("hold", "text", "how it holds while links and fronts fail", "exact", one_of=HOLDS),
            Field("each-title", "flag", "so many of each title", False),
            Field("burst", "number", "set-ups at once, of a paced one; 0: those of a second", 0.0, 0),
            Field("rise", "number", "sessions a second that one front may add, of a soft one", 0.0, 0),
            Field(
                "on-silence",
                "text",
                "sessions on lent room, where their front hears nothing of its lender",
                "keep",
                one_of=("keep", "end"),
            ),
            time("longest", "and are kept so long at most", 600_000.0, 0),
            time("back", "room of a front that is gone must be lent again within; 0: any time", 0.0),
        ),
        key=True,
    ),
    Spec(
        "pool",
        "servers that routes may prefer: those of these halls, kinds and racks",
        "any",
        args=(Field("name", "text", "its name"),),
        fields=(
            Field("pick", "text", "how one of its servers is picked", "round-robin", one_of=PICKS),
            Field("key", "text", "what a pick by hash goes by, as $uri or $http_x_viewer", "$uri"),
        ),
        children=(
            Spec("hall", "a hall of the pool", "any", args=(Field("name", "text", "its name", of="hall"),)),
            Spec("kind", "a kind of the pool", "any", args=(Field("name", "text", "its name", of="kind"),)),
            Spec("rack", "a rack of the pool", "any", args=(Field("number", "int", "its number", least=0),)),
            Spec(
                "server",
                "a server of the pool by its address, as the box list has it",
                "any",
                args=(Field("address", "text", "host:port"),),
                fields=(
                    Field("weight", "int", "its part of the sessions", 1, 1, 1_000_000),
                    Field("backup", "flag", "asked only when none of the others is there", False),
                ),
            ),
        ),
        key=True,
    ),
    Spec(
        "route",
        "requests by the beginning of their path; the first that fits counts",
        "some",
        args=(Field("prefix", "text", "begins with /"),),
        fields=(
            Field("class", "text", "class of its sessions", "", of="class"),
            Field("partner", "text", "partner of its sessions", "", of="partner"),
            Field("exact", "flag", "the path is the prefix, no longer", False),
            Field("to", "text", "path that the server is asked for; without $ it replaces the prefix", ""),
            Field("answer", "int", "status that is answered in place of a session; 0: none", 0, 0, 599),
            Field("goes-on", "flag", "its steps are done, then the routes behind it are looked at", False),
            Field("header", "text", "NAME=VALUE that the request must carry, too", ""),
            Field("pool", "text", "servers that its sessions prefer", "", of="pool"),
        ),
        children=(
            Spec(
                "host",
                "a host that the request may name; without one: any",
                "any",
                args=(Field("name", "text", "exact, *.tail, head.*, or ~regular expression"),),
            ),
            Spec(
                "match",
                "a regular expression (RE2) that the path must fit, too",
                "any",
                args=(Field("pattern", "text", "the expression"),),
                fields=(Field("any-case", "flag", "letters in either case", False),),
            ),
            Spec(
                "rewrite",
                "the path becomes another if it fits",
                "any",
                args=(Field("pattern", "text", "RE2"), Field("to", "text", "with $1, $uri, $args and so on")),
                fields=(Field("then", "text", "what follows", "", one_of=THEN),),
                children=(TEST,),
            ),
            Spec(
                "reply",
                "answers at once if its tests hold",
                "any",
                args=(Field("status", "int", "the status", least=200, most=599),),
                fields=(Field("to", "text", "where a redirection leads", ""),),
                children=(TEST,),
            ),
            Spec("stop", "no more steps if its tests hold", "any", children=(TEST,)),
            TEST,
        ),
    ),
    Spec(
        "paths",
        "how paths are read",
        "maybe",
        fields=(Field("normal", "flag", "%-encoding decoded, . and .. resolved, // merged", False),),
    ),
    Spec(
        "attempts",
        "attempts at a set-up, and the budget of further ones",
        "one",
        fields=(
            Field("most", "int", "attempts for one session", least=1),
            time("connect-timeout", "least time that an attempt is given", 250.0, 1),
            Field("free", "number", "further attempts always allowed in a span; without it: all", None, 0),
            Field("share", "part", "and so many more for the sessions asked for in it", 0.0, 0),
            time("span", "the span of the budget", 10_000.0, 1),
        ),
    ),
    Spec(
        "cold",
        "servers that have just started",
        "one",
        fields=(
            Field("from", "part", "part of its places that a cold server takes", least=0, most=1),
            time("warm", "time until it takes all", least=1),
            Field("factor", "number", "over its pace by this it tips over", least=0),
            time("tip-after", "if it goes on for so long", least=1),
        ),
    ),
    Spec(
        "drain",
        "servers that drain",
        "maybe",
        fields=(time("grace", "set-ups are let pass for so long", 2000.0),),
    ),
    Spec(
        "answers",
        "answers to viewers",
        "maybe",
        fields=(
            time("grace", "an answer may come so long behind the deadline", 500.0),
            time("pause", "longest pause that is advised with a refusal", 2000.0),
        ),
    ),
    Spec(
        "reports",
        "what servers report",
        "one",
        fields=(
            Field("fields", "text", "names of the values, in order", "x0 x1"),
            time("every", "how often while playing"),
            time("late", "how late they are heard"),
            Field("full-from", "part", "link use at which a server turns set-ups away; 0: never", 0.0, 0),
        ),
    ),
    Spec(
        "costs",
        "what viewers mind",
        "maybe",
        fields=(
            Field("stall", "number", "of a second's stall", 0.0, 0),
            Field("switch", "number", "of a change of rung, in seconds", 0.0, 0),
            Field("cross-hall", "number", "of a session that plays in another hall, as part of all", 0.0, 0),
            Field(
                "over-share-worth",
                "number",
                "part of its worth left to a session over its share",
                1.0,
                0,
            ),
        ),
    ),
    Spec(
        "allow",
        "what fronts may do",
        "maybe",
        fields=(
            Field("probe", "flag", "probe servers", False),
            Field("peers", "flag", "speak to other fronts", False),
        ),
    ),
)
HOOKS = Spec(
    "hooks",
    "scripts, in their order, and what one may use at one point of a session",
    "maybe",
    fields=(
        Field("fuel", "int", "instructions of one script", 300, 10),
        Field("memory", "size", "texts and words that it makes", 16384.0, 1024),
        Field("total", "int", "instructions of all scripts together", 1500, 10),
        Field("strikes", "number", "cuts after which a script is left out", 3.0, 1),
        time("fade", "in which one of them is forgotten", 30_000.0, 1),
    ),
    children=(
        Spec(
            "script",
            "one file",
            args=(Field("path", "text", "beside the file that names it"),),
            fields=(Field("shadow", "flag", "only recorded", False),),
        ),
        Spec(
            "folder",
            "all *.hook of a folder, by name",
            args=(Field("path", "text", "beside the file that names it"),),
            fields=(Field("shadow", "flag", "only recorded", False),),
        ),
    ),
)
LIMITS = Spec(
    "limits",
    "what one front holds at most; over it, it refuses early",
    "maybe",
    fields=(
        Field("connections", "int", "connections of viewers", 4000, 1),
        Field("sessions", "int", "sessions", 4000, 1),
        Field("memory", "size", "resident memory over which nothing new is taken; 0: no limit", 0.0, 0),
        Field("viewer-backlog", "size", "bytes that wait for one viewer", 262_144.0, 4096),
        time("stalled", "a viewer that takes nothing for so long is let go", 10_000.0, 1),
        time("head", "a message must be whole within", 5000.0, 1),
        time("idle", "a connection without a session and without a message", 60_000.0, 1),
        time("move-pause", "between a session's leaving a server and its asking again", 50.0),
        time("answer-margin", "of a deadline: the answer travels", 100.0),
        time("drain", "sessions that still play are ended so long after a drain began", 600_000.0),
    ),
)
FRONT = Spec(
    "front",
    "this front",
    "one",
    args=(Field("name", "text", "its name"),),
    fields=(
        Field("hall", "text", "where it stands", of="hall"),
        Field("listen", "address", "where viewers come"),
        Field("index", "int", "its number among the fronts", 0, 0),
        Field("fronts", "int", "how many fronts there are", 1, 1),
        Field("seed", "int", "of all that is drawn", 1),
        Field("status", "address", "health, readiness and counters over HTTP", None),
        Field("viewer-header", "text", "header that names the viewer", "X-Viewer"),
        Field("again-header", "text", "header of a viewer that comes again", "X-Again"),
        Field("claim-header", "text", "header with a paid claim's token, given and sent back", "X-Claim"),
        Field("rung-header", "text", "header with the viewer's best rung", "X-Top-Rung"),
        Field("share-port", "flag", "several processes listen on one port", False),
        Field(
            "workers",
            "int",
            "processes that carry sessions, beside the one that decides; 0: all in one",
            0,
            0,
            64,
        ),
        Field("drain-to", "text", "host:port that viewers are sent to while this one drains (REDIRECT)", ""),
        Field("guard", "text", "Unix socket, beside this file, at which a successor relieves this front", ""),
        Field("crash-report", "text", "file for the report of a crash", ""),
        Field("record", "text", "files (NAME-0.parquet and on) of what was asked, for the model", ""),
    ),
    children=(
        Spec(
            "boxes",
            "the box list",
            "maybe",
            args=(Field("url", "text", "where it is pushed from"),),
            fields=(Field("cache", "text", "file that keeps it for a restart", ""),),
        ),
        Spec(
            "peers",
            "other fronts",
            "maybe",
            fields=(Field("listen", "address", "where this one is spoken to, by UDP"),),
            children=(
                Spec(
                    "peer",
                    "one of them",
                    args=(Field("index", "int", "its number", least=0), Field("at", "address", "host:port")),
                ),
            ),
        ),
        Spec(
            "capture",
            "what the module was told and decided; the last minutes are always kept in memory",
            "maybe",
            fields=(
                Field("on", "flag", "it is kept at all", True),
                Field("folder", "text", "where all of it goes, beside this file; empty: memory alone", ""),
                time("keep", "so much stays in memory", 300_000.0, 1000),
                Field("memory", "size", "and at most so much", 16_777_216.0, 65_536),
                Field("size", "size", "one file in the folder", 67_108_864.0, 65_536),
                Field("files", "int", "files in the folder at most", 16, 1),
                time("snapshots", "the module's state is kept this often", 60_000.0, 1000),
                Field("key", "text", "file whose bytes hide viewers (keyed hash); empty: as they are", ""),
            ),
        ),
        Spec(
            "store",
            "what must not be lost, on disk",
            "maybe",
            args=(Field("folder", "text", "its folder, beside the file that names it"),),
            fields=(
                Field("size", "size", "bytes at most", 268_435_456.0, 1_048_576),
                time("keep", "a paid claim is remembered for so long", 86_400_000.0, 1000),
            ),
        ),
        Spec(
            "members",
            "fronts that find and watch one another",
            "maybe",
            fields=(
                Field("listen", "address", "where the others find this one, by UDP, IPv4"),
                Field("keys", "text", "file of shared keys, beside the file that names it"),
                time("period", "one other is asked for a sign of life in each", 1000.0, 20),
            ),
            children=(
                Spec(
                    "seed",
                    "a front that may be there already",
                    "any",
                    args=(Field("at", "address", "host:port"),),
                ),
                Spec(
                    "via",
                    "a front that is not reached, nor heard, at its own address but at another",
                    "any",
                    args=(
                        Field("at", "address", "its own, as the others know it"),
                        Field("through", "address", "where it is sent to, and heard from"),
                    ),
                ),
            ),
        ),
        LIMITS,
    ),
)
SETTINGS = (*TERMS, HOOKS, FRONT)
FRAME = ("include", "template", "defaults", "layer")  # of the language itself
LAYERS = ("site", "hall", "front")


def find(specs: tuple[Spec, ...], name: str, args: int = 0) -> Spec | None:
    """The node of that name; of two (a day's links) the one that takes so many arguments, else the first."""
    named = [s for s in specs if s.name == name]
    return next((s for s in named if len(s.args) == args), named[0] if named else None)
