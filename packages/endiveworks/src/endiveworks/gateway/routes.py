"""The configured routes and services, and the matching of requests to routes."""

import enum
import hashlib
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple


class RouteType(enum.Enum):
    """Whether requests may run more than once, and how they are answered."""

    IDEMPOTENT = "any"  # may run more than once
    NON_IDEMPOTENT = "never"  # runs at most once
    STREAMING = "stream"  # runs at most once; the response is an event stream


class TrafficShare(NamedTuple):
    """A service and the relative weight of its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """The services, limits and retry rules for requests of a host name and path prefix.

    Attributes:
        name: Name of the route.
        hostname: Host name in lower case, without port.
        path_prefix: Path prefix; begins and ends with a slash.
        type: Type of the requests; decides whether they may be sent again.
        shares: Services that receive the requests, with weights.
        timeout_s: Longest time that a request may take.
        target_latency_s: Target latency of a response.
        priority: Priority of the route's requests; 0 is served first.
        max_attempts: Maximum number of replicas to which one request may be sent.
        resumable: Whether an interrupted stream may resume on another replica.
        retains_turns: Whether responses are stored as turns that later requests can continue.
        retention_s: Retention time of turns and ledgers.
        sticky: Whether a replica is faster with an object that it has handled recently.
        public: Whether callers need no API key.
    """

    name: str
    hostname: str
    path_prefix: str
    type: RouteType
    shares: tuple[TrafficShare, ...]
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    resumable: bool = False
    retains_turns: bool = False
    retention_s: float = 60.0
    sticky: bool = False
    public: bool = False

    def may_retry(self) -> bool:
        """Returns whether a request may be sent again after a replica may have run it."""
        return self.type is RouteType.IDEMPOTENT or self.resumable


class EngineConfig(NamedTuple):
    """Configuration of the model replicas of a service.

    Attributes:
        slots: Maximum number of requests that one replica runs concurrently.
        memory_tokens: Tokens that fit into a replica's KV cache.
        tokens_per_event: Tokens that one event of a stream carries.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int


class Service(NamedTuple):
    """A service that requests are forwarded to; engine is None for a plain service."""

    name: str
    max_connections: int
    engine: EngineConfig | None = None


class Tenant(NamedTuple):
    """A tenant and its terms.

    Attributes:
        name: Its name, which replicas receive.
        key_digests: Digests of its API keys, see key_digest.
        priority: Priority of its requests, which goes before that of the route; 0 is served first.
        rate_per_s: Requests per second that all entries together accept; 0 for no limit.
        burst: Requests that may come at once beyond the rate.
    """

    name: str
    key_digests: tuple[bytes, ...]
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


class Limits(NamedTuple):
    """Limits on the size of a caller's requests, and timeouts of its connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingTable(NamedTuple):
    """One version of the configuration.

    Attributes:
        version: Its number.
        routes: Routes by host name.
        services: Services by name.
        limits: Limits on callers.
        tenants: Tenants by name; None if callers need no API key.
        tenants_by_key: Tenants by the digests of their API keys.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    limits: Limits
    tenants: Mapping[str, Tenant] | None = None
    tenants_by_key: Mapping[bytes, Tenant] = MappingProxyType({})


def build_routing_table(
    version: int,
    routes: tuple[Route, ...],
    services: tuple[Service, ...],
    limits: Limits,
    tenants: tuple[Tenant, ...] | None = None,
) -> RoutingTable:
    """Returns a routing table, with the routes of each host name sorted longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.hostname, []).append(route)
    ordered = {
        host: tuple(sorted(host_routes, key=lambda route: -len(route.path_prefix)))
        for host, host_routes in by_host.items()
    }
    by_key = {digest: tenant for tenant in tenants or () for digest in tenant.key_digests}
    by_name = None if tenants is None else {tenant.name: tenant for tenant in tenants}
    return RoutingTable(version, ordered, {s.name: s for s in services}, limits, by_name, by_key)


def key_digest(api_key: bytes) -> bytes:
    """Returns the digest by which an API key is looked up, so that keys are kept nowhere."""
    return hashlib.blake2b(api_key, digest_size=16).digest()


def match_route(table: RoutingTable, hostname: str, path: str) -> Route | None:
    """Returns the route whose prefix is the longest match for the path, or None."""
    routes = table.routes.get(hostname.lower(), ())
    return next((route for route in routes if path.startswith(route.path_prefix)), None)


def pick_service(route: Route, draw: float) -> str:
    """Returns a service chosen by the weights of the route; draw is a random number in [0, 1)."""
    total = sum(share.weight for share in route.shares)
    remaining = draw * total
    for share in route.shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return route.shares[-1].service
