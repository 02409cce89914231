"""Others' configuration files, read into routes and pools of ours, with a verdict on every directive."""

from lemonhall.importer.build import Imported, import_files
from lemonhall.importer.notes import DIFFERS, EXACT, LOST, NOTHING, Note, as_html, as_json, as_text

__all__ = [
    "DIFFERS",
    "EXACT",
    "LOST",
    "NOTHING",
    "Imported",
    "Note",
    "as_html",
    "as_json",
    "as_text",
    "import_files",
]
