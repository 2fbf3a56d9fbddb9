"""The routes and services in force, and the route of a request."""

import enum
from collections.abc import Mapping
from typing import NamedTuple


class Repeat(enum.Enum):
    """What may be done again after a request may have run."""

    ANY = "any"  # idempotent: may run more than once
    NEVER = "never"  # runs at most once
    STREAM = "stream"  # runs at most once and is answered by events


class Share(NamedTuple):
    """A service that takes a part of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of a host name and path go, and on which terms.

    Attributes:
        name: Name of the route.
        hostname: Host name in lower case, without port.
        path_prefix: Prefix of the path; begins and ends with a slash.
        repeat: What may be repeated.
        shares: Services that take the requests, with weights.
        timeout_s: Longest time for which a request is kept.
        aim_s: Time within which an answer is wanted.
        priority: Rank of the route's requests; 0 goes first.
        max_attempts: Most replicas that one request may be sent to.
        resumable: Whether a stream may go on at another replica.
        keeps_turns: Whether answers are kept, so that later requests continue from them.
        keep_s: Seconds for which turns and ledgers are kept.
    """

    name: str
    hostname: str
    path_prefix: str
    repeat: Repeat
    shares: tuple[Share, ...]
    timeout_s: float
    aim_s: float
    priority: int
    max_attempts: int
    resumable: bool = False
    keeps_turns: bool = False
    keep_s: float = 60.0

    def may_repeat(self) -> bool:
        """Tells whether a request may be sent again after it may have run."""
        return self.repeat is Repeat.ANY or self.resumable


class Engine(NamedTuple):
    """What is known of the model replicas of a service.

    Attributes:
        slots: Requests that one replica runs at once.
        memory_tokens: Tokens that fit into its memory.
        tokens_per_event: Tokens that one event of a stream stands for.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int


class Service(NamedTuple):
    """A service that requests are passed on to; engine is None for a plain service."""

    name: str
    max_connections: int
    engine: Engine | None = None


class Limits(NamedTuple):
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingTable(NamedTuple):
    """One version of the configuration."""

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    limits: Limits


def build(
    version: int, routes: tuple[Route, ...], services: tuple[Service, ...], limits: Limits
) -> RoutingTable:
    """Returns a table with the routes of each host name ordered by longest prefix."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.hostname, []).append(route)
    ordered = {
        host: tuple(sorted(found, key=lambda route: -len(route.path_prefix)))
        for host, found in by_host.items()
    }
    return RoutingTable(version, ordered, {s.name: s for s in services}, limits)


def match(table: RoutingTable, hostname: str, path: str) -> Route | None:
    """Returns the route with the longest prefix of a path, or None."""
    routes = table.routes.get(hostname.lower(), ())
    return next((route for route in routes if path.startswith(route.path_prefix)), None)


def pick_service(route: Route, draw: float) -> str:
    """Returns the service for a number drawn from 0 to 1, by the weights of the route."""
    total = sum(share.weight for share in route.shares)
    left = draw * total
    for share in route.shares:
        left -= share.weight
        if left < 0:
            return share.service
    return route.shares[-1].service
