"""Many runs: a version of the program on a day, over seeds, on all cores, with rows kept as they come."""

from __future__ import annotations

import hashlib
import importlib.util
import multiprocessing
import subprocess
import tempfile
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lemonhall import decide
from lemonhall.config.day import Day, read_day
from lemonhall.model.played.fronts import Make
from lemonhall.model.played.world import play
from lemonhall.model.policies import POLICIES
from lemonhall.model.record import wishes_of
from lemonhall.model.result import Row, load_row, row_of, save_row, write_tables
from lemonhall.problem import BadInput, nearest


@dataclass(frozen=True)
class Version:
    """A day and who decides: a policy's name, a file with a `Front`, or a git revision of the module.

    Written `DAY`, `DAY@POLICY`, `DAY@FILE.py` or `DAY@REVISION`. `sets`: fields changed, as by `--set`.
    """

    day: str
    who: str = "module"
    sets: tuple[tuple[str, str, str], ...] = ()
    record: str = ""  # file of recorded traffic

    @classmethod
    def parse(cls, text: str) -> Version:
        day, _, who = text.partition("@")
        return cls(day, who or "module")

    def __str__(self) -> str:
        sets = "".join(f" {node} {field}={value}" for node, field, value in self.sets)
        return f"{Path(self.day).name}@{self.who}{sets}"


def front_of(source: str, name: str) -> Make:
    """The `Front` that Python text defines. Raises `BadInput`."""
    with tempfile.NamedTemporaryFile("w", suffix=".py") as file:
        file.write(source)
        file.flush()
        spec = importlib.util.spec_from_file_location("lemonhall_version", file.name)
        assert spec and spec.loader
        module = importlib.util.module_from_spec(spec)
        try:
            spec.loader.exec_module(module)
        except Exception as error:
            raise BadInput(name, f"cannot be loaded: {error!r}") from error
    if not hasattr(module, "Front"):
        raise BadInput(name, "defines no Front")
    made: Make = module.Front
    return made


def source_of(who: str) -> str:
    """The text of a version that is a file or a git revision; "" for a policy. Raises `BadInput`."""
    if who in POLICIES:
        return ""
    if Path(who).is_file():
        return Path(who).read_text(encoding="utf-8")
    folder = Path(decide.__file__).parents[1]
    words = ["git", "show", f"{who}:lemonhall/decide.py"]
    done = subprocess.run(words, cwd=folder, capture_output=True, text=True, stdin=subprocess.DEVNULL)
    if done.returncode:
        raise BadInput(who, f"no policy, file or revision; {nearest(who, POLICIES)}")
    return done.stdout


def make_of(who: str, source: str) -> Make:
    return POLICIES[who] if not source else front_of(source, who)


@dataclass(frozen=True)
class Job:
    """One day, one seed, one version: all that another process needs."""

    version: Version
    source: str
    seed: int
    folder: str = ""
    tables: bool = False


def day_of(version: Version) -> Day:
    """The version's day with its changed fields. Raises `BadInput`."""
    return read_day(version.day, version.sets)


def run_job(job: Job) -> Row:
    day = day_of(job.version)
    asked = wishes_of(day, Path(job.version.record)) if job.version.record else None
    played = play(day, job.seed, make_of(job.version.who, job.source), asked)
    row = row_of(day, job.seed, played)
    if job.folder:
        folder = Path(job.folder)
        if job.tables:
            write_tables(day, job.seed, played, folder)
        save_row(row, folder / f"row-{job.seed}.json")
    return row


def mark_of(version: Version, source: str) -> str:
    """What makes two runs the same: the day's text with its changes, and who decides."""
    day = day_of(version)
    parts = (day.terms, day.fronts, day.boxes, day.mixes, day.faults, day.length_ms, day.keep)
    text = repr((parts, version.who, source))
    if version.record:
        text += hashlib.sha256(Path(version.record).read_bytes()).hexdigest()
    return hashlib.sha256(text.encode()).hexdigest()[:16]


Heard = Callable[[Row], object]


class Runner:
    """A pool of processes. Results come in the order of the jobs, however many work."""

    def __init__(self, workers: int = 0) -> None:
        count = workers or multiprocessing.cpu_count()
        context = multiprocessing.get_context("spawn")
        self.pool = ProcessPoolExecutor(count, context) if count > 1 else None
        self.count = count

    def close(self) -> None:
        if self.pool:
            self.pool.shutdown(cancel_futures=True)

    def map(self, jobs: Iterable[Job], heard: Heard = lambda row: None) -> list[Row]:
        """All rows in the order of the jobs; `heard` is told of each as it comes."""
        listed = list(jobs)
        if self.pool is None:
            rows = []
            for job in listed:
                rows.append(run_job(job))
                heard(rows[-1])
            return rows
        waiting: dict[Future[Row], int] = {self.pool.submit(run_job, j): n for n, j in enumerate(listed)}
        found: dict[int, Row] = {}
        while waiting:
            done, _ = wait(waiting, return_when=FIRST_COMPLETED)
            for future in done:
                found[waiting.pop(future)] = future.result()
                heard(future.result())
        return [found[n] for n in range(len(listed))]


def run_many(
    version: Version,
    seeds: Iterable[int],
    runner: Runner,
    folder: Path | None = None,
    tables: bool = False,
    heard: Heard = lambda row: None,
) -> list[Row]:
    """One version over seeds. With a folder, rows that are there already are taken from it."""
    source = source_of(version.who)
    own = None
    if folder:
        own = folder / mark_of(version, source)
        own.mkdir(parents=True, exist_ok=True)
        (own / "version.txt").write_text(str(version), encoding="utf-8")
    kept: dict[int, Row] = {}
    wanted = list(seeds)
    if own:
        for seed in wanted:
            path = own / f"row-{seed}.json"
            if path.exists():
                kept[seed] = load_row(path)
    jobs = [Job(version, source, s, str(own or ""), tables) for s in wanted if s not in kept]
    made = {row.seed: row for row in runner.map(jobs, heard)}
    return [kept.get(seed) or made[seed] for seed in wanted]


def changed(pairs: Iterable[str]) -> Iterator[tuple[str, str, str]]:
    """`--set "class claim-view seats=3"` as node, field, value. Raises `BadInput`."""
    for pair in pairs:
        left, equals, value = pair.rpartition("=")
        node, space, name = left.rpartition(" ")
        if not (equals and space and value):
            raise BadInput(pair, 'write "NODE [NAME] FIELD=VALUE", as in "class claim-view seats=3"')
        yield node.strip(), name, value


def table_rows(rows: list[Row]) -> list[dict[str, Any]]:
    return [{"seed": r.seed, "service": r.service, "refused": r.refused, "failed": r.failed} for r in rows]
