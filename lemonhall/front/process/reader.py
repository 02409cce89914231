"""Reader process: compiles hook scripts and reads settings, whose input may be large or hostile.

In a process of its own the input cannot delay the front, whatever it contains. Messages are pickled, preceded
by their length (8 bytes, network byte order); both ends are of the same program. The end of input ends the
process.

    ("hooks", scripts, known)    ->  (programs, problems)
    ("settings", path, previous) ->  (settings, tree, changes, problems)

`previous` and `tree` are checked nodes of settings, pickled.
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
MAX_MEMORY_BYTES = 2 << 30
MAX_CPU_S = 60  # processor time of one job


def compile_hooks(sources: list[Source], known: Known) -> tuple[list[Program], list[Problem]]:
    programs, problems = [], []
    for source in sources:
        try:
            programs.append(compile_script(source.text, source.name, known))
        except BadInput as error:
            problems += error.problems
    return programs, problems


def read_changed_settings(
    path: str, previous_tree: bytes
) -> tuple[FrontSettings | None, bytes, list[Change], list[Problem]]:
    """Returns the settings of a file, and how their meaning differs from that of `previous_tree`."""
    try:
        typed = read_tree(path, SETTINGS)[1]
    except BadInput as error:
        return None, b"", [], error.problems
    previous: list[Typed] = pickle.loads(previous_tree)
    return make_settings(typed), pickle.dumps(typed), diff(previous, typed), []


JOBS: dict[str, Any] = {"hooks": compile_hooks, "settings": read_changed_settings}


def main() -> None:
    resource.setrlimit(resource.RLIMIT_AS, (MAX_MEMORY_BYTES, MAX_MEMORY_BYTES))
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    while len(head := source.read(LENGTH.size)) == LENGTH.size:
        used = resource.getrusage(resource.RUSAGE_SELF)
        cpu_limit_s = int(used.ru_utime + used.ru_stime) + MAX_CPU_S
        resource.setrlimit(resource.RLIMIT_CPU, (cpu_limit_s, resource.RLIM_INFINITY))
        job, *arguments = pickle.loads(source.read(LENGTH.unpack(head)[0]))
        result = pickle.dumps(JOBS[job](*arguments))
        sink.write(LENGTH.pack(len(result)) + result)
        sink.flush()


if __name__ == "__main__":
    main()
