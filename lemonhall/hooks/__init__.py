"""The hook language: scripts that speak before the module and never instead of it."""

from lemonhall.hooks.checker import Known
from lemonhall.hooks.compiler import compile_script
from lemonhall.hooks.engine import Engine, EngineLimits, Source
from lemonhall.hooks.formatter import format_script
from lemonhall.hooks.tree import BadScript, Problem

__all__ = [
    "BadScript",
    "Engine",
    "EngineLimits",
    "Known",
    "Problem",
    "Source",
    "compile_script",
    "format_script",
]
