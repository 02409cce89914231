"""Identifies the program's source code: processes that share pickled settings must be of the same build."""

from __future__ import annotations

import gc
import hashlib
from functools import cache
from pathlib import Path

import lemonhall


def freeze_garbage_collector() -> None:
    """Exempts everything loaded so far from garbage collection, and collects the rest less often.

    Sessions are freed by reference counting; few objects here are in reference cycles.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)


@cache
def build_id() -> str:
    """A digest of the files that define settings and messages, as they are at the first call."""
    root = Path(lemonhall.__file__).parent
    digest = hashlib.blake2b(digest_size=12)
    for folder in ("config", "ipc", "front"):
        for path in sorted((root / folder).rglob("*.py")):
            digest.update(path.read_bytes())
    digest.update((root / "interface.py").read_bytes())
    return digest.hexdigest()
