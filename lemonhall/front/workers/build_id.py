"""What this program's text is called: processes that share settings in pickled form must be of the same."""

from __future__ import annotations

import gc
import hashlib
from functools import cache
from pathlib import Path

import lemonhall


def freeze_garbage_collector() -> None:
    """What was loaded is there to stay: the collector of cycles looks at it no more, at the rest less often.
    Sessions are freed by their counts; few things here are in cycles."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)


@cache
def build_id() -> str:
    """A digest of what settings and messages are made of. Of the files as they are when first asked."""
    root = Path(lemonhall.__file__).parent
    digest = hashlib.blake2b(digest_size=12)
    for part in ("config", "ipc", "front"):
        for path in sorted((root / part).rglob("*.py")):
            digest.update(path.read_bytes())
    digest.update((root / "interface.py").read_bytes())
    return digest.hexdigest()
