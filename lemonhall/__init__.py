"""lemonhall: decisions of a controller of streaming sessions."""

from lemonhall.decide import Front

__all__ = ["Front"]
