"""Settings: files together, units, checks past types, meaning; each wrong file has its exact message."""

from __future__ import annotations

import os
import random
from pathlib import Path

import pytest

from lemonhall.config import read_settings
from lemonhall.config.day import read_day
from lemonhall.config.dayschema import DAY
from lemonhall.config.document import read_text
from lemonhall.config.formatter import dump
from lemonhall.config.meaning import diff
from lemonhall.config.schema import SETTINGS
from lemonhall.config.settings import FrontSettings, fixed_changes, make_settings, read_tree
from lemonhall.problem import BadInput
from tests.front.harness import TERMS

ROOT = Path(__file__).parents[2]
WRONG = sorted((Path(__file__).parent / "wrong").glob("*.kdl"))
FRONT = 'front "f0" hall="hall-a" listen="127.0.0.1:0"\n'


def put(folder: Path, **files: str) -> Path:
    """Writes files, `main` first among them; returns it."""
    for name, text in files.items():
        path = folder / f"{name}.kdl"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
    return folder / "main.kdl"


def said(path: Path) -> list[str]:
    with pytest.raises(BadInput) as caught:
        read_tree(path, SETTINGS)
    return [str(p).replace(f"{path.parent}/", "") for p in caught.value.problems]


def changes(a: Path, b: Path) -> list[str]:
    return [str(c) for c in diff(read_tree(a, SETTINGS)[1], read_tree(b, SETTINGS)[1])]


@pytest.mark.parametrize("path", WRONG, ids=lambda p: p.stem)
def test_a_wrong_file_has_exactly_this_message(path: Path) -> None:
    first = path.read_text(encoding="utf-8").split("\n", 1)[0].removeprefix("// ")
    assert " | ".join(m.replace(f"{path.name}:", "", 1) for m in said(path)) == first


def test_there_are_enough_wrong_files() -> None:
    assert len(WRONG) >= 60


@pytest.mark.parametrize("path", sorted(ROOT.glob("examples/days/*.kdl")), ids=lambda p: p.name)
def test_the_days_are_read(path: Path) -> None:
    day = read_day(path)
    assert day.boxes and day.mixes and day.terms.routes


def test_units_are_exact(tmp_path: Path) -> None:
    lines = TERMS.replace("aim=(ms)500 deadline=(ms)1200", "aim=(s)0.5 deadline=(min)1")
    lines = lines.replace("connect-timeout=(ms)250", "connect-timeout=(s)0.1")
    lines = lines.replace("(kBps)5000", "(Mbit)40").replace("from=(%)10", "from=(x)0.1")
    module = read_settings(put(tmp_path, main=lines + FRONT)).to_module()
    assert (module.classes[0].aim_ms, module.classes[0].deadline_ms) == (500.0, 60000.0)
    assert module.connect_timeout_ms == 100.0 and module.cold_from == 0.1
    assert module.link_kb_per_weight == 5000.0 and module.ladder_kb == (10.0, 20.0, 40.0)


def test_steps_of_a_tenth_do_not_drift(tmp_path: Path) -> None:
    for n in range(1, 200):
        text = f"(s){n // 10}.{n % 10}"
        path = put(tmp_path, main=TERMS.replace("connect-timeout=(ms)250", f"connect-timeout={text}") + FRONT)
        try:
            assert read_settings(path).terms.connect_timeout_ms == n * 100
        except BadInput:
            assert n * 100 > 1200  # over a deadline


def test_several_mistakes_are_told_at_once(tmp_path: Path) -> None:
    bad = TERMS.replace("worth=3", "worth=x").replace("places=50", "places=0").replace("(s)5", "5")
    assert len(said(put(tmp_path, main=bad + FRONT))) == 3


# files together


def test_includes_are_read_in_their_place(tmp_path: Path) -> None:
    route = 'route "/browse/" class="browse-clip"\n'
    parts = {"partners/browse": route, "front": FRONT}
    main = TERMS.replace(route, 'include "partners/browse.kdl"\n') + 'include "front.kdl"\n'
    both = read_settings(put(tmp_path, main=main, **parts))
    alone = read_settings(put(tmp_path / "alone", main=TERMS + FRONT))
    assert both == alone


def test_a_file_is_read_once_by_whatever_path(tmp_path: Path) -> None:
    main = TERMS + FRONT + 'include "p.kdl"\ninclude "sub/../p.kdl"\ninclude "link.kdl"\ninclude "q.kdl"\n'
    path = put(tmp_path, main=main, p='partner "a"\n', q='include "p.kdl"\n')
    (tmp_path / "sub").mkdir()
    os.symlink(tmp_path / "p.kdl", tmp_path / "link.kdl")
    assert "partner is missing" in " ".join(said(path))  # there are partners now, and just one "a"
    assert not any("twice" in s for s in said(path))


def test_a_cycle_is_named_also_through_a_link(tmp_path: Path) -> None:
    path = put(
        tmp_path, main=TERMS + FRONT + 'include "a.kdl"\n', a='include "b.kdl"\n', b='include "l.kdl"\n'
    )
    os.symlink(tmp_path / "a.kdl", tmp_path / "l.kdl")
    assert said(path) == [
        "b.kdl:1:1: l.kdl includes itself (take one of the includes out) [included from a.kdl, from main.kdl]"
    ]


def test_an_include_stays_in_the_folder(tmp_path: Path) -> None:
    put(tmp_path, outside='partner "x"\n')
    path = put(tmp_path / "in", main=TERMS + FRONT + 'include "away.kdl"\ninclude "/etc/hostname"\n')
    os.symlink(tmp_path / "outside.kdl", tmp_path / "in" / "away.kdl")
    assert [s.split(": ")[1].split(" (")[0] for s in said(path)] == [
        "away.kdl lies outside of in/",
        "/etc/hostname lies outside of in/",
    ]


def test_what_is_wrong_in_an_include_tells_the_chain(tmp_path: Path) -> None:
    path = put(
        tmp_path, main=TERMS + FRONT + 'include "a.kdl"\n', a='include "b.kdl"\n', b="titles cells=x\n"
    )
    assert said(path)[0].endswith("[included from a.kdl, from main.kdl]")
    assert said(path)[0].startswith("b.kdl:1:14: titles: cells: x is no number")


def test_two_partners_files_can_be_wrong_together(tmp_path: Path) -> None:
    """Each is right with the others' terms; together one takes the other's requests."""
    one, two = 'route "/a/" class="browse-clip"\n', 'route "/a/b/" class="browse-clip"\n'
    main = TERMS + FRONT
    assert read_settings(put(tmp_path / "1", main=main + 'include "one.kdl"\n', one=one))
    assert read_settings(put(tmp_path / "2", main=main + 'include "two.kdl"\n', two=two))
    path = put(tmp_path, main=main + 'include "one.kdl"\ninclude "two.kdl"\n', one=one, two=two)
    assert said(path)[0].startswith('two.kdl:1:1: route "/a/b/": can never match: route "/a/" covers it')


def test_templates_and_defaults_fill_what_is_left_out(tmp_path: Path) -> None:
    old = 'class "claim-view" worth=3 repeat="paid" aim=(ms)500 deadline=(ms)1200 floor=1 seats=2\n'
    new = (
        'template "paid" extends="slow" repeat="paid" floor=1\ntemplate "slow" deadline=(ms)1200 floor=0\n'
        'defaults { class aim=(ms)500; }\nclass "claim-view" extends="paid" worth=3 seats=2\n'
    )
    assert old in TERMS
    made = read_settings(put(tmp_path, main=TERMS.replace(old, new) + FRONT))
    assert made == read_settings(put(tmp_path / "plain", main=TERMS + FRONT))


def test_layers_win_in_their_order_and_say_so(tmp_path: Path) -> None:
    layers = (
        'layer "front" "f0" { class "claim-view" seats=9; }\n'
        'layer "hall" "hall-a" { class "claim-view" seats=7 floor=2; }\n'
        'layer "hall" "hall-b" { class "claim-view" seats=1; }\n'
        'layer "site" { class "claim-view" seats=5 worth=4; drain grace=(s)3; }\n'
    )
    path = put(tmp_path, main=TERMS + FRONT + layers)
    made = read_settings(path).terms
    assert (made.classes[0].seats, made.classes[0].floor, made.classes[0].worth) == (9, 2, 4)
    assert made.drain_grace_ms == 3000
    tree = read_tree(path, SETTINGS)[0]
    node = next(n for n in tree.nodes if n.name == "class")
    value = node.properties["seats"]
    assert value.via == "layer front"
    assert [v.via for v in tree.replaced[id(value)]] == ["layer hall", "layer site", ""]


def test_a_file_that_changes_while_it_is_read_is_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = put(tmp_path, main=TERMS + FRONT)
    real, calls = os.fstat, []

    def changing(fd: int) -> os.stat_result:
        calls.append(fd)
        if len(calls) == 2:
            os.utime(path, ns=(1, 1))
        return real(fd)

    monkeypatch.setattr(os, "fstat", changing)
    assert "changed while it was read" in said(path)[0]


def test_pools_become_what_the_module_may_prefer(tmp_path: Path) -> None:
    pool = 'pool "old" { hall "hall-a"; kind "box"; rack 0; }\n'
    main = pool + TERMS.replace('route "/browse/"', 'route "/browse/" pool="old"') + FRONT
    routes = read_settings(put(tmp_path, main=main)).terms.routes
    assert [r.prefer for r in routes] == [(), (("zone", 0), ("kind", 0), ("cell", 0))]


# meaning


def test_a_tree_in_another_order_and_form_means_the_same(tmp_path: Path) -> None:
    a = put(tmp_path / "a", main=TERMS + FRONT)
    nodes = read_text(TERMS + FRONT, "m").nodes
    routes = [n for n in nodes if n.name == "route"]
    for seed in range(20):
        others = [n for n in nodes if n.name != "route"]
        random.Random(seed).shuffle(others)
        text = dump([*others, *routes]).replace("(ms)500", "(s)0.5").replace("(s)5 ", "(ms)5000 ")
        assert changes(a, put(tmp_path / f"b{seed}", main=text)) == []


@pytest.mark.parametrize(
    ("old", "new", "change"),
    [
        ("deadline=(ms)1200", "deadline=(s)2", "class claim-view: deadline 1.2 s to 2 s  DANGER: answers"),
        ("deadline=(ms)1200", "deadline=(s)1", "class claim-view: deadline 1.2 s to 1 s"),
        ("floor=1", "floor=0", "class claim-view: floor 1 to 0  DANGER: sessions may be played under"),
        ("seats=2", "seats=0", "class claim-view: seats 2 to 0  DANGER: more sessions"),
        ("places=50", "places=60", "kind box: places 50 to 60"),
        ("from=(%)10", "from=(%)20", "cold: from 10% to 20%  DANGER: cold servers are sent more"),
        ("worth=1 aim", "worth=2 aim", "class browse-clip: worth 1 to 2"),
        ("rate=(kBps)40", "rate=(kBps)50", "ladder: rung 2: rate 40 kB/s to 50 kB/s"),
        ("peers=#true", "peers=#false", "allow: peers yes to no"),
        ('"127.0.0.1:0"', '"127.0.0.1:1"', "front f0: listen 127.0.0.1:0 to 127.0.0.1:1"),
    ],
)
def test_one_changed_value_shows_as_just_that(tmp_path: Path, old: str, new: str, change: str) -> None:
    a = put(tmp_path / "a", main=TERMS + FRONT)
    assert old in TERMS + FRONT
    b = put(tmp_path / "b", main=(TERMS + FRONT).replace(old, new, 1))
    found = changes(a, b)
    assert len(found) == 1 and found[0].replace("front:", "front f0:").startswith(change)
    assert ("DANGER" in found[0]) == ("DANGER" in change)


def test_routes_that_change_places_are_told_with_what_it_does(tmp_path: Path) -> None:
    late, bus = 'route "/bus/late/" class="claim-view"\n', 'route "/bus/" class="browse-clip"\n'
    far = 'route "/far/" class="browse-clip"\n'
    a = put(tmp_path / "a", main=TERMS + FRONT + late + far + bus)
    b = put(tmp_path / "b", main=TERMS + FRONT + far + late + bus)
    assert changes(a, b) == []  # no request could match both
    header = bus.replace('class="browse-clip"', 'class="claim-view" header="X-Late=1"')
    c = put(tmp_path / "c", main=TERMS + FRONT + header + bus)
    d = put(tmp_path / "d", main=TERMS + FRONT + late + header + bus)
    assert changes(c, d)[0] == "route /bus/late/: new"
    e = put(tmp_path / "e", main=TERMS + FRONT + header + late + bus)
    found = changes(d, e)
    assert found[0].startswith("route /bus/ with X-Late=1 now before /bus/late/  DANGER")


def test_a_removed_route_tells_what_its_requests_get(tmp_path: Path) -> None:
    a = put(tmp_path / "a", main=TERMS + FRONT)
    b = put(tmp_path / "b", main=TERMS.replace('route "/browse/" class="browse-clip"\n', "") + FRONT)
    found = changes(a, b)
    assert found[0].startswith("route /browse/: removed  DANGER")
    assert "have no route any more" in found[-1]


def test_what_cannot_change_while_running_is_named(tmp_path: Path) -> None:
    base = read_settings(put(tmp_path, main=TERMS + FRONT))
    changed = (TERMS + FRONT).replace("floor=1", "floor=0").replace('"127.0.0.1:0"', '"127.0.0.1:9"')
    other = read_settings(put(tmp_path / "b", main=changed))
    assert fixed_changes(base, other) == ["listen", "classes"]
    routes = TERMS.replace('"/browse/"', '"/other/"') + FRONT
    assert fixed_changes(base, read_settings(put(tmp_path / "c", main=routes))) == []


# pages


def test_the_reference_and_the_example_are_those_of_the_schema() -> None:
    from lemonhall.config import pages

    assert (ROOT / "docs" / "operate" / "settings.md").read_text(encoding="utf-8") == pages.reference()
    example = ROOT / "examples" / "settings" / "front.kdl"
    assert example.read_text(encoding="utf-8") == pages.example()
    made: FrontSettings = make_settings(read_tree(example, SETTINGS)[1])
    assert made.name == "front-0" and made.limits.memory == 800_000_000


def test_completion_knows_every_field() -> None:
    from lemonhall.config import pages

    made = pages.completion()
    assert set(made["settings"]) == {s.name for s in SETTINGS} and set(made["day"]) == {s.name for s in DAY}
    assert made["settings"]["class"]["fields"]["deadline"]["units"] == ["ms", "s", "min", "h"]


def test_quotas_that_no_fleet_could_hold_and_pools_without_servers_are_named(tmp_path: Path) -> None:
    text = (ROOT / "examples" / "days" / "eid.kdl").read_text(encoding="utf-8")
    path = tmp_path / "day.kdl"
    path.write_text(text.replace("quota=24", "quota=90"))
    with pytest.raises(BadInput, match='"nile-cabs": quota: with those before, quotas ask for 1.*% of the'):
        read_day(path)
    pool = 'pool "old" { hall "hall-a"; hall "hall-b"; rack 0; }\n'
    route = 'route "/delta/notes/"'
    path.write_text(pool + text.replace(route, f'{route} pool="old"'))
    with pytest.raises(BadInput, match='pool "old": has no server in hall-b'):
        read_day(path)


SPILL = """spill "hall-a" to="hall-b" share=(%)25
takes-in "hall-b" links=(%)30 set-ups=20
spilling ramp=(s)20
"""


def test_what_may_spill_is_told_in_the_operators_words(tmp_path: Path) -> None:
    terms = (
        TERMS.replace('halls "hall-a"', 'halls "hall-a" "hall-b"', 1) if '"hall-b"' not in TERMS else TERMS
    )
    old = put(tmp_path / "old", main=terms + SPILL + FRONT)
    new = SPILL.replace("(%)25", "(%)40").replace("links=(%)30", "links=(%)50").replace("(s)20", "(s)5")
    changed = changes(old, put(tmp_path / "new", main=terms + new + FRONT))
    assert changed == [
        "spill of hall-a to hall-b: share 25% to 40%"
        "  DANGER: more of that hall's links may be taken by another's sessions",
        "takes-in hall-b: links 30% to 50%  DANGER: it may be asked for more",
        "spilling: ramp 20 s to 5 s  DANGER: servers that return are sent more at once",
    ]
    gone = changes(old, put(tmp_path / "gone", main=terms + FRONT))
    assert any("spill of hall-a to hall-b: removed" in c and "DANGER" in c for c in gone)
