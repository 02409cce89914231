"""What a front that was killed finds on disk: its state as it was, none, a damaged or an older one."""

from __future__ import annotations

import shutil
from pathlib import Path
from random import Random

OLDER = "older"
DAMAGED = 64  # bytes of each file that are overwritten
ENDINGS = ("store", "cache")


def places(folder: Path, front: str) -> list[Path]:
    return [p for p in (folder / f"{front}.{ending}" for ending in ENDINGS) if p.exists()]


def files(place: Path) -> list[Path]:
    return sorted(p for p in place.rglob("*") if p.is_file()) if place.is_dir() else [place]


def copy(place: Path, target: Path) -> None:
    if place.is_dir():
        shutil.copytree(place, target, dirs_exist_ok=True)
    else:
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(place, target)


def keep_older(folder: Path, fronts: list[str]) -> None:
    """The state of now, for later: before the first viewer comes nobody writes it."""
    for front in fronts:
        for place in places(folder, front):
            copy(place, folder / OLDER / place.name)


def find(folder: Path, front: str, store: str, random: Random) -> None:
    """`store`: `kept`, `lost`, `damaged` (some bytes of each file are others), `older` (by `keep_older`)."""
    if store == "kept":
        return
    for place in places(folder, front):
        if store == "damaged":
            for path in files(place):
                damage(path, random)
        elif place.is_dir():
            shutil.rmtree(place)
        else:
            place.unlink()
    if store == OLDER and (folder / OLDER).exists():
        for place in (folder / OLDER).glob(f"{front}.*"):
            copy(place, folder / place.name)


def damage(path: Path, random: Random) -> None:
    data = bytearray(path.read_bytes())
    for _ in range(min(DAMAGED, len(data))):
        data[random.randrange(len(data))] = random.getrandbits(8)
    path.write_bytes(data)
