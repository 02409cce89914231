"""Routing of a viewer's request: its URL and headers determine what the module learns of the session.

Pure: no I/O and no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from lemonhall.config.routing import Answered, Chosen, Matched, Pool, Request, Router, title_of
from lemonhall.config.settings import Terms
from lemonhall.rtsp.messages import Headers


@dataclass(frozen=True)
class RoutingResult:
    """Class and tenant by number, the title's id for the module, and the cells that hold the title.

    The cells are `cells` consecutive ones from `first_cell`. A handover transfers the fields by name.
    """

    cls: int
    tenant: int
    title: int
    first_cell: int
    cells: int
    route: str = ""  # prefix of the route
    prefer: tuple[tuple[str, int], ...] = ()  # servers of the route's pool, in the form of a preference
    pool: str = ""  # name of the route's pool of servers by address
    key: str = ""  # hashed to select a server of the pool


def build_router(terms: Terms) -> Router:
    return Router(terms.routes, terms.normal_paths)


def route_request(
    terms: Terms, router: Router, target: str, headers: Headers, host: str
) -> tuple[RoutingResult, str] | Answered | None:
    """Returns the result and the path to request from a server, or the response that the route itself
    gives, or None if no route matches."""
    match = router.find(Request(target, host, headers.get))
    if not isinstance(match, Chosen):
        return match
    route = match.route
    title = title_of(match.path)
    in_some_cells = 0 < terms.copies < terms.cells
    result = RoutingResult(
        route.cls,
        route.tenant,
        title,
        title % terms.cells if in_some_cells else 0,
        terms.copies if in_some_cells else terms.cells,
        route.prefix,
        route.prefer,
        route.pool.name if route.pool else "",
        pool_hash_key(route.pool, target, match.path, headers, host) if route.pool else "",
    )
    return result, match.path


def pool_hash_key(pool: Pool, target: str, path: str, headers: Headers, host: str) -> str:
    """Returns the key that a hash-based pool selects a server by; empty for other pools."""
    if pool.pick not in ("hash", "consistent"):
        return ""
    matched = Matched(
        Request(target, host, headers.get), path.partition("?")[0], path.partition("?")[2], target
    )
    return matched.expand(pool.key)
