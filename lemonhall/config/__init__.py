"""Settings and days: KDL documents with our grammar, schema, units, checks and meaning."""

from lemonhall.config.settings import FrontSettings, Terms, read_settings
from lemonhall.problem import BadInput

__all__ = ["BadInput", "FrontSettings", "Terms", "read_settings"]
