"""The process beside a front that reads what may be large or hostile: hook scripts, settings.

So nothing that is read holds up the front, however it is written. Messages are pickled and have their length
in front, 8 bytes, network order; both ends are this program. The end of input ends the process.

    ("hooks", scripts, known)    ->  (programs, problems)
    ("settings", path, old)      ->  (settings, tree, changes, problems); old, tree: checked nodes, pickled
"""

from __future__ import annotations

import pickle
import resource
import struct
import sys
from typing import Any

from lemonhall.config.check import Typed
from lemonhall.config.meaning import Change, diff
from lemonhall.config.schema import SETTINGS
from lemonhall.config.settings import FrontSettings, make_settings, read_tree
from lemonhall.hooks import Known, Source, compile_script
from lemonhall.hooks.code import Program
from lemonhall.problem import BadInput, Problem

LENGTH = struct.Struct(">Q")
MEMORY_MOST = 2 << 30
SECONDS_MOST = 60  # of the processor, for one job


def build_hooks(sources: list[Source], known: Known) -> tuple[list[Program], list[Problem]]:
    programs, problems = [], []
    for source in sources:
        try:
            programs.append(compile_script(source.text, source.name, known))
        except BadInput as error:
            problems += error.problems
    return programs, problems


def read_anew(path: str, old: bytes) -> tuple[FrontSettings | None, bytes, list[Change], list[Problem]]:
    """The settings of a file, and how they differ in meaning from the checked nodes `old`."""
    try:
        typed = read_tree(path, SETTINGS)[1]
    except BadInput as error:
        return None, b"", [], error.problems
    before: list[Typed] = pickle.loads(old)
    return make_settings(typed), pickle.dumps(typed), diff(before, typed), []


JOBS: dict[str, Any] = {"hooks": build_hooks, "settings": read_anew}


def main() -> None:
    resource.setrlimit(resource.RLIMIT_AS, (MEMORY_MOST, MEMORY_MOST))
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    while len(head := source.read(LENGTH.size)) == LENGTH.size:
        used = resource.getrusage(resource.RUSAGE_SELF)
        most = int(used.ru_utime + used.ru_stime) + SECONDS_MOST
        resource.setrlimit(resource.RLIMIT_CPU, (most, resource.RLIM_INFINITY))
        job, *given = pickle.loads(source.read(LENGTH.unpack(head)[0]))
        made = pickle.dumps(JOBS[job](*given))
        sink.write(LENGTH.pack(len(made)) + made)
        sink.flush()


if __name__ == "__main__":
    main()
