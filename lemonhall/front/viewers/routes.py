"""From a viewer's URL and headers to what the module is told of the session. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from lemonhall.config.routing import Answered, Chosen, Matched, Pool, Request, Router, title_of
from lemonhall.config.settings import Terms
from lemonhall.rtsp.messages import Headers


@dataclass(frozen=True)
class Asked:
    """Class and partner by number, title as the module knows it, the cells that hold it."""

    cls: int
    tenant: int
    title: int
    first_cell: int
    cells: int
    route: str = ""  # prefix of the route
    prefer: tuple[tuple[str, int], ...] = ()  # servers of the route's pool, as advice names them
    pool: str = ""  # a pool of servers by address
    key: str = ""  # what a pick by hash from it goes by


def table(terms: Terms) -> Router:
    return Router(terms.routes, terms.normal_paths)


def match(
    terms: Terms, router: Router, target: str, headers: Headers, host: str
) -> tuple[Asked, str] | Answered | None:
    """What is asked for and the path to ask a server for; or the route's own answer; None: no route."""
    found = router.find(Request(target, host, headers.get))
    if not isinstance(found, Chosen):
        return found
    route = found.route
    title = title_of(found.path)
    some = 0 < terms.copies < terms.cells
    asked = Asked(
        route.cls,
        route.tenant,
        title,
        title % terms.cells if some else 0,
        terms.copies if some else terms.cells,
        route.prefix,
        route.prefer,
        route.pool.name if route.pool else "",
        key_of(route.pool, target, found.path, headers, host) if route.pool else "",
    )
    return asked, found.path


def key_of(pool: Pool, target: str, path: str, headers: Headers, host: str) -> str:
    """What a pick by hash goes by."""
    if pool.pick not in ("hash", "consistent"):
        return ""
    at = Matched(Request(target, host, headers.get), path.partition("?")[0], path.partition("?")[2], target)
    return at.expand(pool.key)
