"""The model: the same seed gives the same tables, nothing is lost, faults show, bounds bound."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path
from typing import Any

import pyarrow.parquet as pq
import pytest
from click.testing import CliRunner

from lemonhall import decide
from lemonhall import interface as i
from lemonhall.cli import group
from lemonhall.config.day import Day, read_day
from lemonhall.interface import Repeat
from lemonhall.model.bounds import capacity, upper_bound
from lemonhall.model.compare import compare
from lemonhall.model.played.draws import Named, stream, wishes
from lemonhall.model.played.sim import Sim
from lemonhall.model.played.world import World, play
from lemonhall.model.policies import POLICIES
from lemonhall.model.record import record, save, wishes_of
from lemonhall.model.result import Row, row_of, session_table
from lemonhall.model.runs import Runner, Version, changed, run_many
from lemonhall.problem import BadInput

DAYS = Path(__file__).parents[2] / "examples" / "days"
SHORT = DAYS / "bad-short.kdl"
CLAIMS = (  # claims for more than the servers hold, at a floor of 14 kB/s
    ("mix /nile/claims/", "per-second", "16"),
    ("link", "per-weight", "(kBps)160"),
    ("class claim-view", "floor", "2"),
)
LONG_DRAIN = (("fault deploy a0 a1", "for", "(s)8"),)


@pytest.fixture(scope="module")
def short() -> Day:
    return read_day(SHORT)


def plain(row: Row) -> dict[str, Any]:
    return {k: v for k, v in asdict(row).items() if k not in ("seconds", "module_part")}


def test_time_goes_forward_and_equal_times_in_order() -> None:
    sim, seen = Sim(), list[tuple[str, float]]()
    sim.at(5, lambda: seen.append(("b", sim.now)))
    sim.at(1, lambda: (seen.append(("a", sim.now)), sim.after(-9, lambda: seen.append(("now", sim.now)))))
    sim.at(5, lambda: seen.append(("c", sim.now)))
    sim.at(7, lambda: seen.append(("never", sim.now))).cancel()
    sim.run(10)
    assert seen == [("a", 1), ("now", 1), ("b", 5), ("c", 5)] and sim.now == 10


def test_draws_of_one_purpose_leave_the_others_alone(short: Day) -> None:
    first = wishes(short, 1)
    assert [asdict(w) for w in first] == [asdict(w) for w in wishes(short, 1)]
    assert [w.at for w in first] != [w.at for w in wishes(short, 2)]
    more = read_day(SHORT, (("mix /delta/notes/", "titles", "90"),))
    assert [w.at for w in wishes(more, 1)] == [w.at for w in first]
    assert [w.length_ms for w in wishes(more, 1)] == [w.length_ms for w in first]
    assert stream(1, "a").random() != stream(1, "b").random()
    named = Named(1)
    assert named.uniform("x", "who", 2) == Named(1).uniform("x", "who", 2) != named.uniform("x", "who", 3)


def test_the_same_seed_gives_the_same_tables(short: Day) -> None:
    one, two = play(short, 3), play(short, 3)
    assert session_table(short, one).equals(session_table(short, two))
    assert one.seconds_table == two.seconds_table
    assert plain(row_of(short, 3, one)) == plain(row_of(short, 3, two))


def test_any_number_of_workers_gives_the_same_rows() -> None:
    version = Version(str(SHORT))
    alone = run_many(version, range(1, 5), Runner(1))
    runner = Runner(3)
    try:
        many = run_many(version, range(1, 5), runner)
    finally:
        runner.close()
    assert [plain(r) for r in alone] == [plain(r) for r in many]


@pytest.mark.parametrize("name", ["bad-short", "eid", "rolls", "sag", "dark-hall"])
def test_the_rules_hold_and_every_session_is_answered_once(name: str) -> None:
    day = read_day(DAYS / f"{name}.kdl")
    played = play(day, 2)
    assert played.report.rules_broken == 0, played.report.broken
    killed = {f for _, _, f in played.trace.front_kills}
    for ask in played.trace.requests.values():
        assert len(ask.answers) == 1 or ask.vanished or ask.front in killed
    assert played.counts.get("overdue", 0) == 0
    for attempt in played.trace.attempts:
        assert attempt.end < day.length_ms + 60_000


def test_rates_over_a_link_never_exceed_it(short: Day) -> None:
    world = World(short, 4)
    seen = 0

    def look() -> None:
        nonlocal seen
        for box in world.boxes.values():
            assert box.asked >= -1e-6
            assert box.asked * box.share() <= box.spec.link_kb * (1 + 1e-9)
            assert len(box.playing) <= short.terms.places_by_kind[box.spec.kind]
            held = sum(a.kb_there * a.truth for a in box.playing)
            assert box.asked == pytest.approx(held, abs=1e-3)
            seen += len(box.playing)
        for rack in world.racks:
            sent = sum(b.asked * b.share() for b in rack.boxes)
            assert sent <= rack.uplink_kb * rack.factor * (1 + 1e-9)
        if world.sim.now < short.length_ms:
            world.sim.after(50, look)

    world.sim.at(10, look)
    world.play()
    assert seen > 1000


class Twice(decide.Front):
    """Sends paid sessions again after any end."""

    def may_retry(self, s: decide.Session) -> bool:
        return s.attempts < self.settings.max_attempts


class Late(decide.Front):
    """Never answers what it would refuse."""

    def reject_session(self, s: decide.Session) -> None:
        del self.sessions[s.request.id]


def test_rogue_modules_break_their_rule_in_the_model_too(short: Day) -> None:
    rolls = read_day(DAYS / "rolls.kdl", LONG_DRAIN)
    assert play(rolls, 1, POLICIES["ignores-drains"]).report.broken["after_drain"]
    broken = [play(short, seed, Twice).report.broken["paid_set_up_twice"] for seed in (1, 2, 3)]
    assert any(broken)
    assert not any(play(short, seed).report.rules_broken for seed in (1, 2, 3))
    late = play(short, 1, Late)
    assert late.counts["overdue"] > 0  # the program answers in the module's place


def test_a_bad_version_is_found_worse_and_another_luck_is_not() -> None:
    runner = Runner()
    try:
        day = str(DAYS / "eid.kdl")
        worse = compare(Version(day), Version(day, "static"), runner, pairs=12)
        same = compare(Version(day), Version(day, "other-luck"), runner, pairs=6)
        reserves = compare(
            Version(day, sets=CLAIMS), Version(day, "never-sub-rates", CLAIMS), runner, pairs=12
        )
        rolls = str(DAYS / "rolls.kdl")
        drains = compare(
            Version(rolls, sets=LONG_DRAIN), Version(rolls, "ignores-drains", LONG_DRAIN), runner, pairs=6
        )
    finally:
        runner.close()
    assert worse.verdict == "worse" and worse.pairs <= 12
    assert same.verdict == "cannot tell"
    assert reserves.verdict == "worse"
    assert drains.verdict == "worse" and drains.rules["a"] == 0 < drains.rules["b"]
    assert worse.to_json().keys() >= {"a", "b", "difference", "pairs"}


def test_nobody_beats_the_bound(short: Day) -> None:
    for name in ("bad-short", "eid", "dark-hall"):
        day = read_day(DAYS / f"{name}.kdl")
        for who in ("module", "random", "two-choices"):
            played = play(day, 5, POLICIES[who])
            assert played.report.service <= upper_bound(day, played.wishes) + 1e-9
    roomy = read_day(SHORT, (("link", "per-weight", "(MBps)30"), ("racks", "uplink", "(MBps)90")))
    assert upper_bound(roomy, wishes(roomy, 1)) == pytest.approx(1.0)


def test_capacity_is_that_of_links_and_uplinks_that_are_up(short: Day) -> None:
    room = capacity(short, 20)
    assert room[0] == 2 * 700  # eight links of 300 behind two uplinks of 700
    assert room[7] == 700 + 0.6 * 700  # uplink 1 gives 60%


def test_what_was_recorded_is_played_again(short: Day, tmp_path: Path) -> None:
    played = play(short, 6)
    file = tmp_path / "asked.parquet"
    save(record(short, played.trace, 0.0), file)
    asked = wishes_of(short, file)
    people = {a.token.partition(".")[0] for a in played.trace.requests.values()}
    assert len(asked) == len(people)
    again = play(short, 6, asked=asked)
    assert abs(again.report.service - played.report.service) < 0.05
    assert pq.read_table(file).column_names[:3] == ["person", "at_ms", "class"]


def test_a_record_that_is_none_is_named(short: Day, tmp_path: Path) -> None:
    bad = tmp_path / "bad.parquet"
    bad.write_text("no")
    with pytest.raises(BadInput, match="no Parquet file"):
        wishes_of(short, bad)
    table = record(short, play(short, 1).trace, 0.0)
    save(table.drop_columns(["hall"]), bad)
    with pytest.raises(BadInput, match="column hall is missing"):
        wishes_of(short, bad)
    other = read_day(SHORT, (("class browse-clip", "worth", "2"),))
    save(table.set_column(2, "class", [["clam-view"] * len(table)]), bad)
    with pytest.raises(
        BadInput, match=r"row 1: 'clam-view' is no class of this day \(did you mean claim-view"
    ):
        wishes_of(other, bad)


def test_a_run_that_was_stopped_goes_on(tmp_path: Path) -> None:
    heard: list[Row] = []
    version = Version(str(SHORT))
    first = run_many(version, [1, 2], Runner(1), tmp_path, True, heard.append)
    again = run_many(version, [1, 2, 3], Runner(1), tmp_path, True, heard.append)
    assert [r.seed for r in heard] == [1, 2, 3] and [plain(r) for r in again[:2]] == [plain(r) for r in first]
    other = Version(str(SHORT), sets=tuple(changed(["class claim-view seats=1"])))
    run_many(other, [1], Runner(1), tmp_path, False, heard.append)
    assert len(heard) == 4  # another setting is another run
    assert len(list(tmp_path.glob("*/sessions-*.parquet"))) == 3


def test_versions_are_policies_files_or_revisions(tmp_path: Path) -> None:
    file = tmp_path / "mine.py"
    file.write_text("from lemonhall.model.policies import RandomChoice as Front\n")
    mine = run_many(Version(str(SHORT), str(file)), [1], Runner(1))
    assert plain(mine[0]) == plain(run_many(Version(str(SHORT), "random"), [1], Runner(1))[0])
    with pytest.raises(BadInput, match="no policy, file or revision"):
        run_many(Version(str(SHORT), "no-such-thing"), [1], Runner(1))
    file.write_text("x = 1\n")
    with pytest.raises(BadInput, match="defines no Front"):
        run_many(Version(str(SHORT), str(file)), [1], Runner(1))


def test_a_hard_hour_of_retries_all_at_once(short: Day) -> None:
    """A thousand viewers who come again within one second: each is answered, in time, once."""
    crowd = read_day(
        DAYS / "dark-hall.kdl",
        (
            ("mix /nile/browse/", "per-second", "120"),
            ("traffic", "pause-least", "(ms)2000"),
            ("traffic", "pause-most", "(ms)2300"),
        ),
    )
    played = play(crowd, 1)
    assert played.report.rules_broken == 0
    again = sorted(a.at for a in played.trace.requests.values() if a.tries > 1)
    most = max(sum(t - 1000 < x <= t for x in again) for t in again[::50])
    assert most > 150


def test_fronts_that_hold_less_than_a_session_a_server_keep_the_rules() -> None:
    many = read_day(
        DAYS / "eid.kdl",
        tuple((f"front front-{n}", "count", "14") for n in range(3)),
    )
    assert len(many.fronts) == 42
    report = play(many, 1).report
    assert report.rules_broken == 0 and report.service > 0.3


def test_classes_that_are_paid_are_never_sent_twice(short: Day) -> None:
    played = play(short, 9)
    for token, attempts in played.trace.attempts_by_token().items():
        cls = short.terms.classes[played.trace.requests[token].cls]
        if cls.repeat is Repeat.PAID:
            assert all(a.never_ran for a in attempts[:-1])


def test_the_model_tells_the_module_what_a_front_would() -> None:
    told: set[type] = set()

    class Listening(decide.Front):
        def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
            told.update(map(type, events))
            return super().handle(now, events)

    play(read_day(DAYS / "bad-short.kdl"), 1, Listening)
    assert told >= {i.ServerList, i.NewSession, i.Playing, i.Note, i.AttemptEnded, i.ViewerGone, i.TimerDue}


def test_the_commands(tmp_path: Path) -> None:
    run = CliRunner().invoke
    words = ["model", "run", str(SHORT), "--seeds", "2", "--workers", "1", "--out", str(tmp_path), "--tables"]
    made = json.loads(run(group, [*words, "--json"]).stdout.splitlines()[-1])
    assert made["runs"] == 2 and made["rules_broken"] == 0 and "random" in made["baselines"]
    page = (tmp_path / "report.html").read_text()
    assert page.count("data:image/png;base64,") == 5 and "http" not in page
    assert run(group, ["model", "plot", str(tmp_path)]).exit_code == 0
    assert (tmp_path / "refusals.png").stat().st_size > 1000
    assert isinstance(run(group, ["model", "plot", str(tmp_path / "none")]).exception, BadInput)
    both = ["model", "compare", str(SHORT), f"{SHORT}@random", "--pairs", "2", "--workers", "1", "--json"]
    made = json.loads(run(group, both).stdout.splitlines()[-1])
    assert made["pairs"] == 2 and set(made["difference"]) == {"mean", "low", "high"}
    axis = ["model", "sweep", str(SHORT), "--axis", "class claim-view seats=1,12", "--seeds", "1"]
    made = json.loads(run(group, [*axis, "--workers", "1", "--json"]).stdout.splitlines()[-1])
    assert [p["value"] for p in made["points"]] == ["1", "12"]
    wrong = run(group, ["model", "run", str(SHORT), "--set", "class clam-view seats=1", "--workers", "1"])
    assert isinstance(wrong.exception, BadInput) and "did you mean class claim-view?" in str(wrong.exception)


def test_a_day_of_links_is_for_sockets_and_the_model_says_so() -> None:
    with pytest.raises(BadInput, match="does not play cut, front-clock, front-frozen, link, reset"):
        play(read_day(DAYS / "links.kdl"), 1)
