"""What this program's text is called: processes that share settings in pickled form must be of the same."""

from __future__ import annotations

import hashlib
from functools import cache
from pathlib import Path

import lemonhall


@cache
def build() -> str:
    """A digest of what settings and messages are made of. Of the files as they are when first asked."""
    root = Path(lemonhall.__file__).parent
    digest = hashlib.blake2b(digest_size=12)
    for part in ("config", "seam", "front"):
        for path in sorted((root / part).rglob("*.py")):
            digest.update(path.read_bytes())
    digest.update((root / "interface.py").read_bytes())
    return digest.hexdigest()
