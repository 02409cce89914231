"""lemonhall: a front that places streaming sessions on media servers."""

from lemonhall.decide import Front

__all__ = ["Front"]
