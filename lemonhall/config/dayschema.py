"""Everything that a day may say beyond the terms: fleet, traffic, links between processes, faults."""

from __future__ import annotations

from lemonhall.config.schema import HOOKS, TERMS, Field, Spec, rate, time

FAULTS = {
    "crash": "resets all, refuses connections; a cold successor after `for`",
    "hang": "accepts, never answers, sends nothing, for `for`",
    "silent": "as hang, leaves the list; a cold successor after `for`",
    "errors": "answers set-ups 500 with chance `part`, for `for`",
    "slow-dead": "set-ups take ever longer for `for`, then it crashes for good",
    "drain-dead": "the list says draining; after `for` it crashes for good",
    "answers-lost": "set-ups run, their answers are not sent, for `for`",
    "deploy": "drained, replaced by a cold successor after `for`",
    "uplink": "a rack's uplink gives `part` of its rate, for `for`",
    "list-lag": "the list is pushed `by` later, for `for`",
    "surge": "a partner sends `part` more traffic, for `for`",
    "front-killed": "a front is killed, and started again after `for`",
    "decider-killed": "of a front with workers, the process that decides is killed",
    "decider-stopped": "the same process does not run, for `for`",
    "worker-killed": "of a front with workers, one that carries is killed",
    "worker-stopped": "one that carries does not run, for `for`",
    "front-relieved": "a successor takes a front over, with all that plays there",
    "hall-dark": "all servers of a hall crash at once; cold successors after `for`",
    "hall-flap": "as hall-dark, twice: dark for `for`, back for `by`, dark again, back",
    "fronts-apart": "the fronts named hear nothing of the others, nor these of them, for `for`",
    "hooks": "fronts load the scripts of a folder, together or one after another, each `by` later",
    "reload": "fronts read their settings anew, with a file in the place of the day's terms",
    "front-frozen": "a front's processes do not run (SIGSTOP), for `for`",
    "front-clock": "a front's clock is `by` ahead, or behind (`back`), for `for`",
    "cut": "nothing passes between `from` and `to`, and no connection comes up, for `for`",
    "silence": "connections between `from` and `to` come up, nothing passes, for `for`",
    "slow-link": "what passes between `from` and `to` is late, lost, doubled, overtaken or slow, for `for`",
    "reset": "connections between `from` and `to` are reset",
}
LINK_FAULTS = ("cut", "silence", "slow-link", "reset")
STORES = ("kept", "lost", "damaged", "older")
ENDS = ("fronts", "boxes", "list", "viewers")  # beside the names of fronts, servers and halls
SHAPE = (  # of a link, standing or for a while
    time("delay", "each way", 0.0),
    time("jitter", "and up to so much more, drawn for each piece", 0.0),
    Field("loss", "part", "datagrams that are lost; of streams, pieces that are sent again later", 0.0, 0, 1),
    Field("double", "part", "datagrams that come twice", 0.0, 0, 1),
    Field("reorder", "part", "datagrams that later ones overtake", 0.0, 0, 1),
    rate("rate", "so much passes at most; 0: no limit", 0.0, 0),
    Field("one-way", "flag", "only from the first to the second", False),
)
DAY = (
    *TERMS,
    HOOKS,
    Spec(
        "day",
        "the day as a whole",
        "one",
        args=(Field("name", "text", "its name"),),
        fields=(
            time("length", "how long viewers come", least=1),
            Field("seed", "int", "of all that is drawn", 1),
            Field("keep", "flag", "fronts keep their state on disk, over a kill", True),
        ),
    ),
    Spec(
        "front",
        "a front of the day",
        "some",
        args=(Field("name", "text", "its name"),),
        fields=(
            Field("hall", "text", "where it stands", of="hall"),
            Field("count", "int", "so many, named with numbers from 0", 1, 1, 10_000),
            Field("workers", "int", "processes of each that carry sessions", 0, 0, 64),
        ),
        key=True,
    ),
    Spec(
        "fleet",
        "the servers and their list",
        "one",
        fields=(
            time("list-lag", "the list is pushed so late", 200.0),
            time("set-up-least", "a set-up takes", 5.0),
            time("set-up-most", "to", 25.0),
            Field("frames-per-second", "number", "pictures of a stream", 5.0, 0.5),
        ),
        children=(
            Spec(
                "box",
                "a server",
                "some",
                args=(Field("name", "text", "its name"),),
                fields=(
                    Field("kind", "text", "its kind", of="kind"),
                    Field("hall", "text", "where it stands", of="hall"),
                    Field("rack", "int", "its rack", least=0),
                    Field("count", "int", "so many, named with numbers from 0", 1, 1, 10_000),
                    Field("racks", "int", "racks that they are spread over, from `rack` on", 1, 1),
                    Field("weight", "number", "its link over that of weight 1", 1.0, 0.001),
                    rate("link", "its true link; left out: by its weight", None),
                ),
                key=True,
            ),
        ),
    ),
    Spec(
        "traffic",
        "who asks",
        "one",
        fields=(
            Field("again", "part", "viewers that come again after a break or a refusal", 0.9, 0, 1),
            Field("drop", "part", "viewers that vanish while their session is set up", 0.0, 0, 1),
            time("pause-least", "they come again after", 1400.0),
            time("pause-most", "to", 3400.0),
        ),
        children=(
            Spec(
                "mix",
                "one stream of requests",
                "any",
                args=(Field("path", "text", "what their paths begin with"),),
                fields=(
                    Field("class", "text", "their class", of="class"),
                    Field("partner", "text", "their partner", "", of="partner"),
                    Field("per-second", "number", "arrivals a second over all fronts", least=0),
                    Field("titles", "int", "different titles", 50, 1),
                    time("shortest", "sessions last", least=1),
                    time("longest", "to", least=1),
                    Field("front", "text", "the one that they come to; any of their hall, if left out", ""),
                    time("since", "they come from then on", 0.0),
                    time("until", "to; 0: to the end of the day", 0.0),
                ),
            ),
        ),
    ),
    Spec(
        "link",
        "what stands between two ends all day",
        "any",
        args=(
            Field("from", "text", "a front, a server, a hall, or " + ", ".join(ENDS)),
            Field("to", "text", "the other end"),
        ),
        fields=SHAPE,
    ),
    Spec(
        "fault",
        "something that happens",
        "any",
        args=(Field("what", "text", "what happens", one_of=tuple(FAULTS)),),
        rest=Field("target", "text", "whom it befalls"),
        fields=(
            time("at", "when"),
            time("for", "for how long", 0.0),
            Field("part", "part", "how much", 1.0, 0),
            time("by", "by how much", 0.0),
            Field("back", "flag", "a clock goes back, not forward", False),
            Field("store", "text", "of a front that is killed: what it finds", "kept", one_of=STORES),
            Field("from", "text", "of links: a front, a server, a hall, or " + ", ".join(ENDS), ""),
            Field("to", "text", "and the other end", ""),
            *SHAPE,
        ),
    ),
)
